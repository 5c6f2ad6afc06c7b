#include <string.h>

#include "builder.h"

const char *
h1_head_find (const struct h1_head *head, const char *name)
{
  for (size_t i = 0; i < head->field_count; i++)
    if (g_ascii_strcasecmp (head->fields[i].name, name) == 0)
      return head->fields[i].value;
  return NULL;
}

size_t
h1_head_count (const struct h1_head *head, const char *name)
{
  size_t count = 0;

  for (size_t i = 0; i < head->field_count; i++)
    count += g_ascii_strcasecmp (head->fields[i].name, name) == 0;
  return count;
}

bool
h1_status_without_body (unsigned int status)
{
  return status / 100 == 1 || status == 204 || status == 304;
}

/* Whether the comma-separated LIST names NAME. */
static bool
list_names (const char *list, const char *name)
{
  size_t name_bytes = strlen (name);

  while (*list != '\0')
    {
      size_t length;

      list += strspn (list, ", \t");
      length = strcspn (list, ", \t");
      if (length == name_bytes
          && g_ascii_strncasecmp (list, name, length) == 0)
        return true;
      list += length;
    }
  return false;
}

bool
h1_head_hop_by_hop (const struct h1_head *head, const char *name)
{
  static const char *const fixed[] = { "connection",
                                       "keep-alive",
                                       "proxy-authenticate",
                                       "proxy-authorization",
                                       "proxy-connection",
                                       "te",
                                       "trailer",
                                       "transfer-encoding",
                                       "upgrade" };

  for (size_t i = 0; i < G_N_ELEMENTS (fixed); i++)
    if (g_ascii_strcasecmp (fixed[i], name) == 0)
      return true;
  for (size_t i = 0; i < head->field_count; i++)
    if (g_ascii_strcasecmp (head->fields[i].name, "connection") == 0
        && list_names (head->fields[i].value, name))
      return true;
  return false;
}

bool
h1_head_framing_known (const struct h1_head *head)
{
  const char *length = h1_head_find (head, "content-length");
  const char *coding = h1_head_find (head, "transfer-encoding");

  if (length != NULL
      && (*length == '\0' || length[strspn (length, "0123456789")] != '\0'
          || h1_head_count (head, "content-length") > 1))
    return false;
  return coding == NULL
         || (length == NULL && g_ascii_strcasecmp (coding, "chunked") == 0
             && h1_head_count (head, "transfer-encoding") == 1);
}

void
head_builder_init (struct head_builder *b)
{
  *b = (struct head_builder){ 0 };
  b->text = g_string_new (NULL);
  b->starts = g_array_new (FALSE, FALSE, sizeof (gsize));
}

void
head_builder_clear (struct head_builder *b)
{
  g_string_free (b->text, TRUE);
  g_array_free (b->starts, TRUE);
  g_free (b->head.fields);
}

void
head_builder_reset (struct head_builder *b)
{
  g_string_truncate (b->text, 0);
  g_array_set_size (b->starts, 0);
  g_free (b->head.fields);
  b->head = (struct h1_head){ 0 };
  b->part = HEAD_NOTHING;
}

/* Starts the next string; a field without a value still gets an empty one,
 * so that names and values alternate. */
static void
start_string (struct head_builder *b, enum head_part part)
{
  gsize start;

  if (b->part != HEAD_NOTHING)
    g_string_append_c (b->text, '\0');
  if (b->part == HEAD_NAME && part == HEAD_NAME)
    {
      start = b->text->len;
      g_array_append_val (b->starts, start);
      g_string_append_c (b->text, '\0');
    }
  start = b->text->len;
  g_array_append_val (b->starts, start);
  b->part = part;
}

void
head_builder_add (struct head_builder *b, enum head_part part,
                  const char *bytes, size_t bytes_count)
{
  if (b->part == HEAD_NOTHING && part != HEAD_START)
    start_string (b, HEAD_START);
  if (b->part != part)
    start_string (b, part);
  g_string_append_len (b->text, bytes, (gssize)bytes_count);
}

/* The parser keeps white space behind a value, which is not part of it. */
static char *
value_at (const struct head_builder *b, gsize start)
{
  return g_strchomp (b->text->str + start);
}

void
head_builder_finish (struct head_builder *b, const http_parser *parser)
{
  struct h1_head *head = &b->head;
  const gsize *starts;

  if (b->part == HEAD_NOTHING)
    start_string (b, HEAD_START);
  if (b->part == HEAD_NAME)
    start_string (b, HEAD_VALUE);
  starts = (const gsize *)(const void *)b->starts->data;
  head->target = b->text->str + starts[0];
  head->reason = head->target;
  head->method = http_method_str ((enum http_method)parser->method);
  head->status = parser->status_code;
  head->field_count = (b->starts->len - 1) / 2;
  head->fields = g_new (struct h1_field, head->field_count);
  for (size_t i = 0; i < head->field_count; i++)
    {
      head->fields[i].name = b->text->str + starts[1 + 2 * i];
      head->fields[i].value = value_at (b, starts[2 + 2 * i]);
    }
}

static const char *
standard_reason (unsigned int status)
{
  return http_status_str ((enum http_status)status);
}

void
head_format_answer (GString *out, unsigned int status, const char *reason,
                    const struct h1_field *fields, size_t field_count)
{
  g_string_append_printf (out, "HTTP/1.1 %u %s\r\n", status,
                          reason != NULL ? reason : standard_reason (status));
  for (size_t i = 0; i < field_count; i++)
    g_string_append_printf (out, "%s: %s\r\n", fields[i].name,
                            fields[i].value);
}
