#include "common/loop.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static struct
{
  const char *program;
  enum log_format format;
  GLogLevelFlags threshold;
} log_state = { "beryl", LOG_FORMAT_TEXT, G_LOG_LEVEL_INFO };

static const char *
level_name (GLogLevelFlags level)
{
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
    return "info";
  return "debug";
}

static void
format_time (char *text, size_t text_bytes)
{
  struct timespec ts;
  struct tm tm;
  char seconds[32];

  clock_gettime (CLOCK_REALTIME, &ts);
  gmtime_r (&ts.tv_sec, &tm);
  strftime (seconds, sizeof seconds, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (text, text_bytes, "%s.%03ldZ", seconds, ts.tv_nsec / 1000000);
}

static char *
field_text (const GLogField *field)
{
  if (field->length < 0)
    return g_strdup (field->value);
  return g_strndup (field->value, (gsize)field->length);
}

/* GLib's own fields carry source places; they would only lengthen lines. */
static gboolean
field_is_own (const GLogField *field)
{
  return strcmp (field->key, "MESSAGE") != 0
         && strcmp (field->key, "PRIORITY") != 0
         && !g_str_has_prefix (field->key, "CODE_")
         && !g_str_has_prefix (field->key, "GLIB_");
}

static GLogWriterOutput
log_write (GLogLevelFlags level, const GLogField *fields, gsize n_fields,
           gpointer user)
{
  char time_text[48];
  char *line;
  json_t *record = json_object ();

  if (level > log_state.threshold)
    {
      json_decref (record);
      return G_LOG_WRITER_HANDLED;
    }
  format_time (time_text, sizeof time_text);
  for (gsize i = 0; i < n_fields; i++)
    {
      char *value = field_text (&fields[i]);

      if (strcmp (fields[i].key, "MESSAGE") == 0)
        json_object_set_new (record, "message", json_string (value));
      else if (field_is_own (&fields[i]))
        json_object_set_new (record, fields[i].key, json_string (value));
      g_free (value);
    }
  if (log_state.format == LOG_FORMAT_JSON)
    {
      json_object_set_new (record, "time", json_string (time_text));
      json_object_set_new (record, "level", json_string (level_name (level)));
      json_object_set_new (record, "program", json_string (log_state.program));
      line = json_dumps (record, JSON_COMPACT);
      fprintf (stderr, "%s\n", line);
      free (line);
    }
  else
    {
      const char *key;
      json_t *value;

      fprintf (stderr, "%s %s %s: %s", time_text, log_state.program,
               level_name (level),
               json_string_value (json_object_get (record, "message")));
      json_object_foreach (record, key,
                           value) if (strcmp (key, "message") != 0)
          fprintf (stderr, " %s=%s", key, json_string_value (value));
      fputc ('\n', stderr);
    }
  json_decref (record);
  return G_LOG_WRITER_HANDLED;
}

bool
log_set_level (const char *level)
{
  static const struct
  {
    const char *name;
    GLogLevelFlags threshold;
  } levels[] = {
    { "error", G_LOG_LEVEL_CRITICAL },
    { "warning", G_LOG_LEVEL_WARNING },
    { "info", G_LOG_LEVEL_INFO },
    { "debug", G_LOG_LEVEL_DEBUG },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (levels); i++)
    if (strcmp (level, levels[i].name) == 0)
      {
        log_state.threshold = levels[i].threshold;
        return true;
      }
  return false;
}

bool
log_level_enabled (int level)
{
  return (GLogLevelFlags)level <= log_state.threshold;
}

void
log_init (const char *program, enum log_format format, const char *level)
{
  log_state.program = program;
  log_state.format = format;
  log_set_level (level);
  g_log_set_writer_func (log_write, NULL, NULL);
}
