#include "common/yaml.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <yaml.h>

/* Where a value stood; both count from 1. */
struct mark
{
  uint32_t line;
  uint32_t column;
};

struct yaml_file
{
  char *name;
  json_t *documents;
  GHashTable *marks; /* JSON pointer -> struct mark */
};

struct reader
{
  yaml_parser_t parser;
  struct yaml_file *file;
  struct beryl_findings *findings;
  GString *pointer;
  uint32_t depth;
  uint32_t values;
  bool failed; /* the rest cannot be read */
};

static void
reader_finding (struct reader *reader, yaml_mark_t mark, const char *message)
{
  beryl_findings_add (reader->findings, reader->file->name,
                      (uint32_t)mark.line + 1, (uint32_t)mark.column + 1, "%s",
                      message);
}

static bool
next_event (struct reader *reader, yaml_event_t *event)
{
  if (reader->failed)
    return false;
  if (yaml_parser_parse (&reader->parser, event))
    return true;
  reader->failed = true;
  reader_finding (reader, reader->parser.problem_mark,
                  reader->parser.problem != NULL ? reader->parser.problem
                                                 : "not valid YAML");
  return false;
}

static void
remember_mark (struct reader *reader, yaml_mark_t mark)
{
  struct mark *m = g_new (struct mark, 1);

  m->line = (uint32_t)mark.line + 1;
  m->column = (uint32_t)mark.column + 1;
  g_hash_table_replace (reader->file->marks, g_strdup (reader->pointer->str),
                        m);
}

/* Refuses what would let a small file grow, and files that are too large
 * for any use here. */
static bool
within_limits (struct reader *reader, yaml_mark_t mark)
{
  if (++reader->values > YAML_VALUES_MAX)
    {
      reader->failed = true;
      reader_finding (reader, mark, "too many values");
    }
  else if (reader->depth > YAML_DEPTH_MAX)
    {
      reader->failed = true;
      reader_finding (reader, mark, "nested too deeply");
    }
  return !reader->failed;
}

static void
refuse_extras (struct reader *reader, const yaml_event_t *event,
               const yaml_char_t *anchor, const yaml_char_t *tag)
{
  if (anchor != NULL)
    reader_finding (reader, event->start_mark,
                    "anchors are not accepted: write the value out");
  if (tag != NULL)
    reader_finding (reader, event->start_mark, "tags are not accepted");
}

static bool
is_one_of (const char *text, const char *const *words)
{
  for (size_t i = 0; words[i] != NULL; i++)
    if (strcmp (text, words[i]) == 0)
      return true;
  return false;
}

static json_t *
plain_scalar (const char *text)
{
  static const char *const nulls[] = { "", "~", "null", "Null", "NULL", NULL };
  static const char *const trues[] = { "true", "True", "TRUE", NULL };
  static const char *const falses[] = { "false", "False", "FALSE", NULL };
  char *end;
  gint64 integer;
  double number;

  if (is_one_of (text, nulls))
    return json_null ();
  if (is_one_of (text, trues))
    return json_true ();
  if (is_one_of (text, falses))
    return json_false ();
  if (strchr ("+-.0123456789", text[0]) == NULL
      || strspn (text, "+-.0123456789eE") != strlen (text))
    return json_string (text);
  errno = 0;
  integer = g_ascii_strtoll (text, &end, 10);
  if (*end == '\0' && errno == 0)
    return json_integer (integer);
  errno = 0;
  number = g_ascii_strtod (text, &end);
  if (*end == '\0' && errno == 0)
    return json_real (number);
  return json_string (text);
}

static json_t *
read_scalar (struct reader *reader, const yaml_event_t *event)
{
  const char *text = (const char *)event->data.scalar.value;
  json_t *value;

  refuse_extras (reader, event, event->data.scalar.anchor,
                 event->data.scalar.tag);
  if (event->data.scalar.style == YAML_PLAIN_SCALAR_STYLE)
    value = plain_scalar (text);
  else
    value = json_stringn (text, event->data.scalar.length);
  if (value != NULL)
    return value;
  reader_finding (reader, event->start_mark, "text is not valid UTF-8");
  return json_null ();
}

static json_t *read_value (struct reader *reader, yaml_event_t *event);

/* Reads the value that begins with EVENT as the member KEY of the current
 * place. */
static json_t *
read_child (struct reader *reader, yaml_event_t *event, const char *key)
{
  gsize length = reader->pointer->len;
  json_t *value;

  g_string_append_printf (reader->pointer, "/%s", key);
  reader->depth++;
  value = read_value (reader, event);
  reader->depth--;
  g_string_truncate (reader->pointer, length);
  return value;
}

static json_t *
read_sequence (struct reader *reader)
{
  json_t *array = json_array ();
  yaml_event_t event;
  char index[24];

  while (next_event (reader, &event))
    {
      if (event.type == YAML_SEQUENCE_END_EVENT)
        {
          yaml_event_delete (&event);
          break;
        }
      snprintf (index, sizeof index, "%zu", json_array_size (array));
      json_array_append_new (array, read_child (reader, &event, index));
      yaml_event_delete (&event);
    }
  return array;
}

static char *
read_key (struct reader *reader, const yaml_event_t *event,
          const json_t *object)
{
  const char *text;

  if (event->type != YAML_SCALAR_EVENT)
    {
      reader->failed = true;
      reader_finding (reader, event->start_mark, "a key must be text");
      return NULL;
    }
  text = (const char *)event->data.scalar.value;
  refuse_extras (reader, event, event->data.scalar.anchor,
                 event->data.scalar.tag);
  if (json_object_get (object, text) != NULL)
    reader_finding (reader, event->start_mark, "the key is given twice");
  return g_strdup (text);
}

static json_t *
read_mapping (struct reader *reader)
{
  json_t *object = json_object ();
  yaml_event_t event;

  while (next_event (reader, &event))
    {
      bool end = event.type == YAML_MAPPING_END_EVENT;
      char *key = end ? NULL : read_key (reader, &event, object);

      yaml_event_delete (&event);
      if (key == NULL)
        break;
      if (next_event (reader, &event))
        {
          json_object_set_new (object, key, read_child (reader, &event, key));
          yaml_event_delete (&event);
        }
      g_free (key);
    }
  return object;
}

static json_t *
read_value (struct reader *reader, yaml_event_t *event)
{
  if (!within_limits (reader, event->start_mark))
    return json_null ();
  remember_mark (reader, event->start_mark);
  switch (event->type)
    {
    case YAML_SCALAR_EVENT:
      return read_scalar (reader, event);
    case YAML_SEQUENCE_START_EVENT:
      refuse_extras (reader, event, event->data.sequence_start.anchor,
                     event->data.sequence_start.tag);
      return read_sequence (reader);
    case YAML_MAPPING_START_EVENT:
      refuse_extras (reader, event, event->data.mapping_start.anchor,
                     event->data.mapping_start.tag);
      return read_mapping (reader);
    case YAML_ALIAS_EVENT:
      reader_finding (reader, event->start_mark,
                      "aliases are not accepted: write the value out");
      return json_null ();
    default:
      reader->failed = true;
      reader_finding (reader, event->start_mark, "unexpected YAML");
      return json_null ();
    }
}

static void
read_documents (struct reader *reader)
{
  yaml_event_t event;
  bool end = false;

  while (!end && next_event (reader, &event))
    {
      char index[24];

      end = event.type == YAML_STREAM_END_EVENT;
      snprintf (index, sizeof index, "%zu",
                json_array_size (reader->file->documents));
      if (event.type == YAML_SCALAR_EVENT
          || event.type == YAML_SEQUENCE_START_EVENT
          || event.type == YAML_MAPPING_START_EVENT)
        json_array_append_new (reader->file->documents,
                               read_child (reader, &event, index));
      yaml_event_delete (&event);
    }
}

struct yaml_file *
yaml_file_parse (const char *name, const char *text, size_t text_bytes,
                 struct beryl_findings *findings)
{
  struct reader reader = { .findings = findings };
  size_t before = beryl_findings_count (findings);
  struct yaml_file *file = g_new0 (struct yaml_file, 1);

  file->name = g_strdup (name);
  file->documents = json_array ();
  file->marks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  reader.file = file;
  reader.pointer = g_string_new (NULL);
  yaml_parser_initialize (&reader.parser);
  yaml_parser_set_input_string (&reader.parser, (const unsigned char *)text,
                                text_bytes);
  read_documents (&reader);
  yaml_parser_delete (&reader.parser);
  g_string_free (reader.pointer, TRUE);
  if (beryl_findings_count (findings) == before)
    return file;
  yaml_file_destroy (file);
  return NULL;
}

static char *
read_text (const char *path, size_t *text_bytes,
           struct beryl_findings *findings)
{
  bool standard_input = strcmp (path, "-") == 0;
  FILE *f = standard_input ? stdin : fopen (path, "rb");
  char *text;

  if (f == NULL)
    {
      beryl_findings_add (findings, path, 0, 0, "cannot be read: %s",
                          g_strerror (errno));
      return NULL;
    }
  text = g_malloc (YAML_FILE_MAX_BYTES + 1);
  *text_bytes = fread (text, 1, YAML_FILE_MAX_BYTES + 1, f);
  if (!standard_input)
    fclose (f);
  if (*text_bytes <= YAML_FILE_MAX_BYTES)
    return text;
  beryl_findings_add (findings, path, 0, 0, "is longer than %u bytes",
                      YAML_FILE_MAX_BYTES);
  g_free (text);
  return NULL;
}

struct yaml_file *
yaml_file_load (const char *path, struct beryl_findings *findings)
{
  size_t text_bytes;
  char *text = read_text (path, &text_bytes, findings);
  struct yaml_file *file;

  if (text == NULL)
    return NULL;
  file = yaml_file_parse (path, text, text_bytes, findings);
  g_free (text);
  return file;
}

void
yaml_file_destroy (struct yaml_file *file)
{
  if (file == NULL)
    return;
  json_decref (file->documents);
  g_hash_table_destroy (file->marks);
  g_free (file->name);
  g_free (file);
}

json_t *
yaml_file_documents (const struct yaml_file *file)
{
  return file->documents;
}

static const struct mark *
find_mark (const struct yaml_file *file, const char *pointer)
{
  char *copy = g_strdup (pointer != NULL ? pointer : "");
  const struct mark *mark = g_hash_table_lookup (file->marks, copy);

  while (mark == NULL && strrchr (copy, '/') != NULL)
    {
      *strrchr (copy, '/') = '\0';
      mark = g_hash_table_lookup (file->marks, copy);
    }
  g_free (copy);
  return mark;
}

void
yaml_file_place_findings (const struct yaml_file *file,
                          const struct beryl_findings *findings,
                          struct beryl_findings *to)
{
  for (size_t i = 0; i < beryl_findings_count (findings); i++)
    {
      const struct beryl_finding *f = beryl_findings_get (findings, i);
      const struct mark *mark = find_mark (file, f->file);

      beryl_findings_add (to, file->name, mark != NULL ? mark->line : 0,
                          mark != NULL ? mark->column : 0, "%s", f->message);
    }
}
