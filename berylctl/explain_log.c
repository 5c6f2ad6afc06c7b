#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

/* Explains a request from the log of beryl-gatewayd: the decisions on the
 * request, and the node's events on its endpoints and the store meanwhile. */

/* Node events are shown from this long before the request's first line until
 * this long after its last one, as they may have influenced it. */
#define CONTEXT_BEFORE_MS 3000
#define CONTEXT_AFTER_MS 1000

struct line
{
  int64_t at_ms;    /* Unix time */
  const char *text; /* after the level */
};

/* Description of a step's outcome; OUTCOME NULL matches any. */
struct outcome_text
{
  const char *step;
  const char *outcome;
  const char *text;
};

static const struct outcome_text outcome_texts[] = {
  { "reserve", "granted", "the engine reserved {n} tokens of memory" },
  { "reserve", "full", "the engine has no room for {n} tokens" },
  { "wait", "engines_full",
    "no engine was asked: the least loaded is forecast to use {n}% of its "
    "memory" },
  { "wait", "engines_refuse", "all engines that were asked are full" },
  { "wait", "prefill_behind",
    "the prefill queue would delay its prompt by {n} ms: too late" },
  { "wait", "no_engine", "no engine of the service accepts work" },
  { "prefill", "sent", "sent with {n} prompt tokens to process" },
  { "prefill", "done", "the prompt was processed in {n} ms" },
  { "prefill", "refused",
    "the engine did not process the prompt, status {n}" },
  { "prefill", "wrong_stage", "the engine serves another stage now" },
  { "prefill", "broken", "the connection broke" },
  { "decode", "kv_taken", "sent with its KV cache" },
  { "decode", "left",
    "not sent: the engine is leaving; another one is selected" },
  { "decode", "warm",
    "sent without prefill: the engine has the prompt in its cache" },
  { "decode", "alone",
    "sent without prefill: the engine processes the prompt itself" },
  { "send", "sent", "send number {n}" },
  { "send", "not_run",
    "the endpoint reported that it did not run it, status {n}" },
  { "send", "wrong_stage", "the engine serves another stage now" },
  { "send", "no_connection", "no connection" },
  { "send", "reset", "the connection broke" },
  { "send", "closed", "the connection closed before the answer was complete" },
  { "send", "garbled", "the answer is malformed" },
  { "connection", "over_limit",
    "the endpoint reset the connection before anything was sent; this node "
    "had {n} open" },
  { "prompt", "held",
    "its prompt is not processed for engines that break off most runs; {n}% "
    "of them succeed" },
  { "handoff", "sent",
    "no endpoint can be reached; handed over to a peer, try {n}" },
  { "handoff", "taken",
    "handed over by a peer; {n} endpoints may have run it there" },
  { "handoff", "answered", "the peer's answer began, status {n}" },
  { "handoff", "declined", "the peer cannot take it, status {n}" },
  { "handoff", "no_connection", "no connection to the peer" },
  { "handoff", "reset", "the connection to the peer broke" },
  { "handoff", "closed",
    "the peer's connection closed before the answer was complete" },
  { "handoff", "garbled", "the peer's answer is malformed" },
  { "repeat", "taken",
    "the next send is a repeat; the budget has {n} more for the service" },
  { "repeat", "move_lost",
    "a moved run was not taken by its engine and counts as a repeat" },
  { "repeat", "denied",
    "not sent again: the budget of repeats has {n} left, fewer than needed" },
  { "head", "answered", "the answer began, status {n}" },
  { "head", "error", "the endpoint failed, status {n}" },
  { "stall", "seen", "no event for {n} ms" },
  { "stall", "preempted",
    "the engine has preempted the run for lack of memory" },
  { "stall", "engine_silent", "the engine is considered dead after {n} ms" },
  { "stall", "engine_dead", "the engine cannot be connected to" },
  { "foreign", "without_id",
    "the endpoint's answer, status {n}, names no request: not forwarded" },
  { "foreign", "other_request",
    "the endpoint answered another request, status {n}: not forwarded" },
  { "foreign", "without_seal",
    "the endpoint's answer, status {n}, has no seal: not forwarded" },
  { "foreign", "no_stream",
    "the endpoint's answer, status {n}, is no stream: not forwarded" },
  { "foreign", "empty_stream",
    "the endpoint's stream ended without an event" },
  { "event", "not_text",
    "after {n} events the endpoint sent bytes that are no text" },
  { "event", "unknown_field",
    "after {n} events the endpoint sent a line that is no field of an event" },
  { "event", "without_id",
    "after {n} events the endpoint sent one without an id" },
  { "event", "bad_id",
    "after {n} events the endpoint sent one whose id is no number" },
  { "event", "without_data",
    "after {n} events the endpoint sent one without data, id {event_id}" },
  { "event", "repeated",
    "after {n} events the endpoint sent id {event_id} behind id {after_id}" },
  { "event", "skipped",
    "after {n} events the endpoint sent id {event_id} behind id {after_id}: "
    "events are missing" },
  { "move", "asked", "the run is to continue there after {n} events" },
  { "move", "done", "its KV cache is there" },
  { "move", "no_room", "there was no room; it continues where it was" },
  { "move", "not_moved", "it was not moved, status {n}" },
  { "move", "no_target",
    "the engine is running out of memory and no other has room" },
  { "answer", "whole",
    "answered completely: {n} (events of a stream, or the status)" },
  { "cut", NULL, "ended as incomplete after {n} events" },
  { "refuse", "no_route", "refused: no route matches its host and path" },
  { "refuse", "no_configuration",
    "refused as not run: no configuration is known yet" },
  { "refuse", "no_endpoint",
    "refused as not run: no endpoint of the service accepts work" },
  { "refuse", "no_room",
    "refused as not run: no engine had room in time; retry after {n} ms" },
  { "refuse", "endpoints_full",
    "refused as not run: every endpoint rejected it; retry after {n} ms" },
  { "refuse", "no_connection",
    "refused as not run: its endpoints accept no more connections from this "
    "node; retry after {n} ms" },
  { "refuse", "runs_break",
    "refused as not run: its engines break off most runs; retry after {n} "
    "ms" },
  { "refuse", "deadline", "its deadline has passed" },
  { "refuse", "endpoint_failed",
    "its endpoint failed and it may not be sent again" },
  { "resume", "asked", "{n} peers are asked where its stream began" },
  { "resume", "recorded",
    "resumes after event {n}, at the version of the stream's first event" },
  { "resume", "found",
    "resumes after event {n}, at the version that a peer has recorded" },
  { "resume", "sole_version",
    "resumes after event {n}: only one version has been in service" },
  { "resume", "unnamed",
    "resumes after event {n} of a stream that it does not name; only one "
    "version has been in service" },
  { "refuse", "unknown_stream",
    "refused as not run: nobody knows the version that began its stream" },
  { "refuse", "version_gone",
    "no endpoint is left of the version that began its stream" },
  { "cut", "version_gone",
    "cut off: no endpoint is left of the version that began it" },
  { "refuse", "quarantined",
    "refused: endpoints that ran the same request have crashed" },
  { "refuse", "limited",
    "refused as not run: its endpoints report a limit and have reached it; "
    "retry after {n} ms" },
  { "refuse", "paused",
    "refused as not run: all its endpoints have asked for a pause; retry "
    "after {n} ms" },
  { "refuse", "unauthenticated",
    "refused: it has no key, or one that no organisation holds" },
  { "refuse", "quota",
    "refused as not run: organisation {organisation} has {available} "
    "available of its {limit_per_s} per second, {used_per_s} per second were "
    "used, by reports up to {report_age_ms} ms old; its rank {rank} leaves "
    "{set_aside} to more urgent requests; retry after {n} ms" },
  { "refuse", "overloaded",
    "refused as not run: the endpoints of its service take {room_per_s} "
    "requests per second, {asked_per_s} are asked for, and there is no room "
    "for anyone of its rank; retry after {n} ms" },
  { "refuse", "over_share",
    "refused as not run: the endpoints of its service take {room_per_s} "
    "requests per second, {asked_per_s} are asked for, and the share of "
    "organisation {organisation} is {granted_per_s}; retry after {n} ms" },
  { "stop", "late",
    "not sent: the node is stopping and might end before it, which may take "
    "{n} ms" },
  { "stop", "fits",
    "sent while the node is stopping: it takes {n} ms at most" },
  { "stop", "ended",
    "the node stops before its answer ends, after {n} events" },
  { "refuse", "stopping",
    "refused: the node is stopping, another one serves" },
  { "caller_gone", NULL, "its caller disconnected after {n} events" },
};

static const char *
outcome_text (const char *step, const char *outcome)
{
  for (size_t i = 0; i < G_N_ELEMENTS (outcome_texts); i++)
    if (strcmp (outcome_texts[i].step, step) == 0
        && (outcome_texts[i].outcome == NULL
            || strcmp (outcome_texts[i].outcome, outcome) == 0))
      return outcome_texts[i].text;
  return "";
}

/* Returns the value of KEY in a line of key=value words, or "-"; to be
 * released with g_free(). */
static char *
line_value (const char *text, const char *key)
{
  char *needle = g_strdup_printf (" %s=", key);
  const char *at = strstr (text, needle);
  char *value = g_strdup ("-");

  if (at != NULL)
    {
      at += strlen (needle);
      g_free (value);
      value = g_strndup (at, strcspn (at, " \r\n"));
    }
  g_free (needle);
  return value;
}

/* Returns TEMPLATE with each {key} replaced by the key's value in a line of
 * key=value words; to be released with g_free(). */
static char *
expand_template (const char *template, const char *line)
{
  GString *out = g_string_new (NULL);
  const char *open;

  while ((open = strchr (template, '{')) != NULL)
    {
      const char *end = strchr (open, '}');
      char *key, *value;

      if (end == NULL)
        break;
      key = g_strndup (open + 1, (gsize)(end - open - 1));
      value = line_value (line, key);
      g_string_append_len (out, template, (gssize)(open - template));
      g_string_append (out, value);
      g_free (key);
      g_free (value);
      template = end + 1;
    }
  g_string_append (out, template);
  return g_string_free (out, FALSE);
}

/* Parses "TIME program level: text", which may follow other words. */
static bool
line_parse (const char *raw, struct line *line)
{
  const char *program = strstr (raw, " beryl-gatewayd ");
  const char *colon = program != NULL ? strstr (program, ": ") : NULL;
  const char *time = program;
  GDateTime *at;
  char *word;

  if (colon == NULL)
    return false;
  while (time > raw && time[-1] != ' ')
    time--;
  word = g_strndup (time, (gsize)(program - time));
  at = g_date_time_new_from_iso8601 (word, NULL);
  g_free (word);
  if (at == NULL)
    return false;
  line->at_ms = g_date_time_to_unix (at) * 1000
                + g_date_time_get_microsecond (at) / 1000;
  line->text = colon + 2;
  g_date_time_unref (at);
  return true;
}

/* Returns the parsed lines, which point into TEXT; its newlines are replaced
 * by NUL. */
static GArray *
lines_parse (char *text)
{
  GArray *lines = g_array_new (FALSE, FALSE, sizeof (struct line));
  char *rest = text;
  char *raw;

  while ((raw = strsep (&rest, "\n")) != NULL)
    {
      struct line line;

      if (line_parse (raw, &line))
        g_array_append_val (lines, line);
    }
  return lines;
}

static bool
is_request_line (const struct line *line, const char *id)
{
  char *own = g_strdup_printf ("request id=%s ", id);
  bool is = g_str_has_prefix (line->text, own);

  g_free (own);
  return is;
}

/* Returns whether LINE reports an event that may influence the request. */
static bool
is_context (const struct line *line, GHashTable *endpoints)
{
  static const char *const always[] = {
    "store ", "configuration ", "started ", "stop", "lease ", "reload "
  };
  GHashTableIter iter;
  void *endpoint;

  for (size_t i = 0; i < G_N_ELEMENTS (always); i++)
    if (g_str_has_prefix (line->text, always[i]))
      return true;
  if (g_str_has_prefix (line->text, "request "))
    return false;
  g_hash_table_iter_init (&iter, endpoints);
  while (g_hash_table_iter_next (&iter, &endpoint, NULL))
    if (strstr (line->text, endpoint) != NULL)
      return true;
  return false;
}

static void
print_decision (const struct line *line, int64_t first_ms)
{
  char *step = line_value (line->text, "step");
  char *outcome = line_value (line->text, "outcome");
  char *endpoint = line_value (line->text, "endpoint");
  char *configuration = line_value (line->text, "configuration");
  char *seen = line_value (line->text, "seen");

  char *text = expand_template (outcome_text (step, outcome), line->text);

  printf ("%7" G_GINT64_FORMAT " ms  %-11s %-14s %-16s %s"
          " [configuration %s, entry %s]\n",
          line->at_ms - first_ms, step, outcome, endpoint, text, configuration,
          seen);
  g_free (text);
  g_free (step);
  g_free (outcome);
  g_free (endpoint);
  g_free (configuration);
  g_free (seen);
}

static void
collect_endpoint (GHashTable *endpoints, const struct line *line)
{
  char *endpoint = line_value (line->text, "endpoint");

  if (strcmp (endpoint, "-") == 0)
    g_free (endpoint);
  else
    g_hash_table_add (endpoints, endpoint);
}

static void
print_lines (const GArray *lines, const char *id, GHashTable *endpoints,
             int64_t first_ms, int64_t last_ms)
{
  for (guint i = 0; i < lines->len; i++)
    {
      const struct line *line = &g_array_index (lines, struct line, i);

      if (is_request_line (line, id))
        print_decision (line, first_ms);
      else if (line->at_ms >= first_ms - CONTEXT_BEFORE_MS
               && line->at_ms <= last_ms + CONTEXT_AFTER_MS
               && is_context (line, endpoints))
        printf ("%7" G_GINT64_FORMAT " ms  node: %s\n", line->at_ms - first_ms,
                line->text);
    }
}

static char *
read_log (const char *path, struct beryl_error *error)
{
  GString *text = g_string_new (NULL);
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  char block[65536];
  size_t count;

  if (file == NULL)
    {
      beryl_error_set (error, BERYL_ERROR_INVALID, "%s cannot be read", path);
      g_string_free (text, TRUE);
      return NULL;
    }
  while ((count = fread (block, 1, sizeof block, file)) > 0)
    g_string_append_len (text, block, (gssize)count);
  if (file != stdin)
    fclose (file);
  return g_string_free (text, FALSE);
}

enum ctl_exit
ctl_explain_log (const char *path, const char *id)
{
  struct beryl_error error = { 0 };
  char *text = read_log (path, &error);
  GHashTable *endpoints;
  GArray *lines;
  int64_t first_ms = 0, last_ms = 0;

  if (text == NULL)
    return ctl_report_error (&error);
  lines = lines_parse (text);
  endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < lines->len; i++)
    {
      const struct line *line = &g_array_index (lines, struct line, i);

      if (!is_request_line (line, id))
        continue;
      if (first_ms == 0)
        first_ms = line->at_ms;
      last_ms = line->at_ms;
      collect_endpoint (endpoints, line);
    }
  if (first_ms != 0)
    print_lines (lines, id, endpoints, first_ms, last_ms);
  else
    fprintf (stderr, "berylctl: %s has no line of request %s\n", path, id);
  g_hash_table_destroy (endpoints);
  g_array_free (lines, TRUE);
  g_free (text);
  return first_ms != 0 ? CTL_OK : CTL_NOT_FOUND;
}
