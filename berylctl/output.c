#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#include "ctl.h"

#define NUMBER_BYTES 40

void
ctl_print_json (const json_t *value)
{
  char *text = json_dumps (value, JSON_INDENT (2) | JSON_ENCODE_ANY);

  puts (text);
  free (text);
}

static void
emit_scalar (yaml_emitter_t *emitter, const char *text, size_t text_bytes,
             bool quoted)
{
  yaml_event_t event;

  yaml_scalar_event_initialize (
      &event, NULL, NULL, (yaml_char_t *)text, (int)text_bytes, 1, 1,
      quoted ? YAML_DOUBLE_QUOTED_SCALAR_STYLE : YAML_PLAIN_SCALAR_STYLE);
  yaml_emitter_emit (emitter, &event);
}

/* Returns whether a plain TEXT would not be parsed as a string. */
static bool
needs_quotes (const char *text)
{
  static const char *const words[] = { "true", "false", "null", "~" };

  for (size_t i = 0; i < G_N_ELEMENTS (words); i++)
    if (g_ascii_strcasecmp (text, words[i]) == 0)
      return true;
  return text[0] == '\0' || strchr ("+-.0123456789", text[0]) != NULL;
}

static void
emit_number (yaml_emitter_t *emitter, const json_t *value)
{
  char text[NUMBER_BYTES];

  if (json_is_integer (value))
    snprintf (text, sizeof text, "%" JSON_INTEGER_FORMAT,
              json_integer_value (value));
  else
    g_ascii_dtostr (text, sizeof text, json_real_value (value));
  emit_scalar (emitter, text, strlen (text), false);
}

static void emit_value (yaml_emitter_t *emitter, const json_t *value);

static void
emit_array (yaml_emitter_t *emitter, const json_t *value)
{
  yaml_event_t event;
  size_t i;
  json_t *item;

  yaml_sequence_start_event_initialize (&event, NULL, NULL, 1,
                                        YAML_BLOCK_SEQUENCE_STYLE);
  yaml_emitter_emit (emitter, &event);
  json_array_foreach (value, i, item) { emit_value (emitter, item); }
  yaml_sequence_end_event_initialize (&event);
  yaml_emitter_emit (emitter, &event);
}

static void
emit_object (yaml_emitter_t *emitter, const json_t *value)
{
  yaml_event_t event;
  const char *key;
  json_t *item;

  yaml_mapping_start_event_initialize (&event, NULL, NULL, 1,
                                       YAML_BLOCK_MAPPING_STYLE);
  yaml_emitter_emit (emitter, &event);
  json_object_foreach ((json_t *)value, key, item)
  {
    emit_scalar (emitter, key, strlen (key), needs_quotes (key));
    emit_value (emitter, item);
  }
  yaml_mapping_end_event_initialize (&event);
  yaml_emitter_emit (emitter, &event);
}

static void
emit_value (yaml_emitter_t *emitter, const json_t *value)
{
  switch (json_typeof (value))
    {
    case JSON_OBJECT:
      emit_object (emitter, value);
      return;
    case JSON_ARRAY:
      emit_array (emitter, value);
      return;
    case JSON_STRING:
      emit_scalar (emitter, json_string_value (value),
                   json_string_length (value),
                   needs_quotes (json_string_value (value)));
      return;
    case JSON_INTEGER:
    case JSON_REAL:
      emit_number (emitter, value);
      return;
    case JSON_TRUE:
      emit_scalar (emitter, "true", 4, false);
      return;
    case JSON_FALSE:
      emit_scalar (emitter, "false", 5, false);
      return;
    case JSON_NULL:
      emit_scalar (emitter, "null", 4, false);
      return;
    }
}

static void
emit_document (yaml_emitter_t *emitter, const json_t *value)
{
  yaml_event_t event;

  yaml_document_start_event_initialize (&event, NULL, NULL, NULL, 0);
  yaml_emitter_emit (emitter, &event);
  emit_value (emitter, value);
  yaml_document_end_event_initialize (&event, 1);
  yaml_emitter_emit (emitter, &event);
}

/* An array is printed as one document per item, the form that apply reads. */
void
ctl_print_yaml (const json_t *value)
{
  yaml_emitter_t emitter;
  yaml_event_t event;
  size_t i;
  json_t *item;

  yaml_emitter_initialize (&emitter);
  yaml_emitter_set_output_file (&emitter, stdout);
  yaml_emitter_set_unicode (&emitter, 1);
  yaml_stream_start_event_initialize (&event, YAML_UTF8_ENCODING);
  yaml_emitter_emit (&emitter, &event);
  if (json_is_array (value))
    json_array_foreach (value, i, item) { emit_document (&emitter, item); }
  else
    emit_document (&emitter, value);
  yaml_stream_end_event_initialize (&event);
  yaml_emitter_emit (&emitter, &event);
  yaml_emitter_delete (&emitter);
}

static void
measure_row (const char *row, GArray *widths)
{
  char **cells = g_strsplit (row, "\t", -1);

  for (guint i = 0; cells[i] != NULL; i++)
    {
      guint width = (guint)strlen (cells[i]);

      if (i >= widths->len)
        g_array_append_val (widths, width);
      else if (width > g_array_index (widths, guint, i))
        g_array_index (widths, guint, i) = width;
    }
  g_strfreev (cells);
}

static void
print_row (const char *row, const GArray *widths)
{
  char **cells = g_strsplit (row, "\t", -1);

  for (guint i = 0; cells[i] != NULL; i++)
    if (cells[i + 1] == NULL)
      puts (cells[i]);
    else
      printf ("%-*s  ", (int)g_array_index (widths, guint, i), cells[i]);
  g_strfreev (cells);
}

void
ctl_print_table (char *const *rows, size_t row_count)
{
  GArray *widths = g_array_new (FALSE, TRUE, sizeof (guint));

  for (size_t i = 0; i < row_count; i++)
    measure_row (rows[i], widths);
  for (size_t i = 0; i < row_count; i++)
    print_row (rows[i], widths);
  g_array_free (widths, TRUE);
}
