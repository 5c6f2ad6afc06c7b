#include "sse.h"

#include <glib.h>
#include <string.h>

#define DATA "data: "

struct sse
{
  sse_cb *cb;
  void *user;
  GString *line;
};

struct sse *
sse_create (sse_cb *cb, void *user)
{
  struct sse *sse = g_new0 (struct sse, 1);
  sse->cb = cb;
  sse->user = user;
  sse->line = g_string_new (NULL);
  return sse;
}

void
sse_destroy (struct sse *sse)
{
  if (sse == NULL)
    return;
  g_string_free (sse->line, TRUE);
  g_free (sse);
}

static void
end_line (struct sse *sse)
{
  if (g_str_has_suffix (sse->line->str, "\r"))
    g_string_truncate (sse->line, sse->line->len - 1);
  if (g_str_has_prefix (sse->line->str, DATA))
    sse->cb (sse->line->str + strlen (DATA), sse->user);
  g_string_truncate (sse->line, 0);
}

void
sse_feed (struct sse *sse, const void *bytes, size_t bytes_count)
{
  const char *text = bytes;
  for (size_t i = 0; i < bytes_count; i++)
    if (text[i] == '\n')
      end_line (sse);
    else
      g_string_append_c (sse->line, text[i]);
}
