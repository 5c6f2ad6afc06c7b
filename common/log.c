#include "common/loop.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Lines that may come at once, in seconds of the rate. */
#define BURST_S 2

static struct
{
  const char *program;
  enum log_format format;
  GLogLevelFlags threshold;
  int fd;
  uint32_t lines_per_s; /* 0: any number */
  double tokens;
  gint64 filled_us;
  struct log_counts counts;
  uint64_t lost_told; /* lost lines that a line has told of */
} log_state = {
  "beryl", LOG_FORMAT_TEXT, G_LOG_LEVEL_INFO, STDERR_FILENO, 0, 0, 0, { 0 }, 0
};

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
  g_snprintf (text, text_bytes, "%s.%03ldZ", seconds, ts.tv_nsec / 1000000);
}

/* GLib's own fields carry source places; they would only lengthen lines. */
static bool
field_is_own (const GLogField *field)
{
  return strcmp (field->key, "MESSAGE") != 0
         && strcmp (field->key, "PRIORITY") != 0
         && !g_str_has_prefix (field->key, "CODE_")
         && !g_str_has_prefix (field->key, "GLIB_");
}

static gssize
field_length (const GLogField *field)
{
  return field->length < 0 ? (gssize)strlen (field->value) : field->length;
}

static const GLogField *
message_of (const GLogField *fields, gsize n_fields)
{
  for (gsize i = 0; i < n_fields; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      return &fields[i];
  return NULL;
}

static void
format_text (GString *line, const char *time_text, GLogLevelFlags level,
             const GLogField *fields, gsize n_fields)
{
  const GLogField *message = message_of (fields, n_fields);

  g_string_append_printf (line, "%s %s %s: ", time_text, log_state.program,
                          level_name (level));
  if (message != NULL)
    g_string_append_len (line, message->value, field_length (message));
  for (gsize i = 0; i < n_fields; i++)
    {
      if (!field_is_own (&fields[i]))
        continue;
      g_string_append_printf (line, " %s=", fields[i].key);
      g_string_append_len (line, fields[i].value, field_length (&fields[i]));
    }
}

static void
format_json (GString *line, const char *time_text, GLogLevelFlags level,
             const GLogField *fields, gsize n_fields)
{
  json_t *record = json_object ();
  char *text;

  json_object_set_new (record, "time", json_string (time_text));
  json_object_set_new (record, "level", json_string (level_name (level)));
  json_object_set_new (record, "program", json_string (log_state.program));
  for (gsize i = 0; i < n_fields; i++)
    {
      bool message = strcmp (fields[i].key, "MESSAGE") == 0;

      if (message || field_is_own (&fields[i]))
        json_object_set_new (
            record, message ? "message" : fields[i].key,
            json_stringn (fields[i].value, (size_t)field_length (&fields[i])));
    }
  text = json_dumps (record, JSON_COMPACT);
  g_string_append (line, text != NULL ? text : "{}");
  free (text);
  json_decref (record);
}

/* Whether one more line fits the rate.  A flood of lines would take the
 * processor from the requests that it tells of. */
static bool
rate_allows (GLogLevelFlags level)
{
  gint64 now_us = g_get_monotonic_time ();
  double most = (double)log_state.lines_per_s * BURST_S;

  if (log_state.lines_per_s == 0 || level <= G_LOG_LEVEL_WARNING)
    return true;
  log_state.tokens += (double)(now_us - log_state.filled_us)
                      * log_state.lines_per_s / G_USEC_PER_SEC;
  log_state.filled_us = now_us;
  if (log_state.tokens > most)
    log_state.tokens = most;
  if (log_state.tokens < 1)
    return false;
  log_state.tokens -= 1;
  return true;
}

/* Writes a whole line or none: a reader that stands still must not hold the
 * process, and half a line would spoil the next one. */
static void
write_line (GString *line)
{
  gssize written;

  g_string_append_c (line, '\n');
  do
    written = write (log_state.fd, line->str, line->len);
  while (written < 0 && errno == EINTR);
  if (written == (gssize)line->len)
    log_state.counts.written++;
  else
    log_state.counts.lost++;
}

static void
write_lost (const char *time_text)
{
  uint64_t lost = log_state.counts.lost + log_state.counts.suppressed;
  GString *line;

  if (lost == log_state.lost_told)
    return;
  line = g_string_new (NULL);
  g_string_append_printf (
      line, "%s %s warning: log lines=%" G_GUINT64_FORMAT " not written",
      time_text, log_state.program, lost - log_state.lost_told);
  log_state.lost_told = lost;
  write_line (line);
  g_string_free (line, TRUE);
}

static GLogWriterOutput
log_write (GLogLevelFlags level, const GLogField *fields, gsize n_fields,
           gpointer user)
{
  char time_text[48];
  GString *line;

  if (level > log_state.threshold)
    return G_LOG_WRITER_HANDLED;
  if (!rate_allows (level))
    {
      log_state.counts.suppressed++;
      return G_LOG_WRITER_HANDLED;
    }
  format_time (time_text, sizeof time_text);
  if (log_state.format == LOG_FORMAT_TEXT)
    write_lost (time_text);
  line = g_string_sized_new (256);
  if (log_state.format == LOG_FORMAT_JSON)
    format_json (line, time_text, level, fields, n_fields);
  else
    format_text (line, time_text, level, fields, n_fields);
  write_line (line);
  g_string_free (line, TRUE);
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

void
log_bound (int fd, uint32_t lines_per_s)
{
  int flags = fcntl (fd, F_GETFL);

  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  log_state.fd = fd;
  log_state.lines_per_s = lines_per_s;
  log_state.tokens = (double)lines_per_s * BURST_S;
  log_state.filled_us = g_get_monotonic_time ();
}

struct log_counts
log_counts (void)
{
  return log_state.counts;
}
