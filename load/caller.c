#include "caller.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "http/client.h"
#include "sse.h"
#include "text.h"

/* An answer this long after its deadline counts as lost. */
#define GRACE_MS 10000

struct caller
{
  struct http_call_handler base;
  const struct caller_settings *settings;
  struct http_call *call;
  struct sse *sse;
  GString *text; /* of a completion, or the whole body */
  GString *body; /* of a problem */
  uint64_t answer_seed;
  bool finished; /* [DONE] was seen */
  struct call_outcome outcome;
  int64_t deadline_ms;
  int64_t last_us;
  caller_done_cb *done;
  void *user;
};

static int64_t
since_start_us (const struct caller *c)
{
  return (loop_now_ms (c->settings->loop) - c->settings->started_ms) * 1000;
}

static void
end (struct caller *c, enum call_end how)
{
  struct call_outcome *o = &c->outcome;
  o->end = how;
  o->ended_us = since_start_us (c);
  o->took_us = o->ended_us - o->arrival->at_us;
  o->in_time = o->took_us <= c->deadline_ms * 1000;
  if (o->tokens > 1)
    o->between_us
        = (c->last_us - (o->arrival->at_us + o->first_us)) / (o->tokens - 1);
  c->done (o, c->user);
  sse_destroy (c->sse);
  g_string_free (c->text, TRUE);
  g_string_free (c->body, TRUE);
  g_free (c);
}

static void
take_text (struct caller *c, const char *text)
{
  size_t bytes = strlen (text);
  if (bytes == 0)
    return;
  c->last_us = since_start_us (c);
  if (c->outcome.first_us == 0)
    c->outcome.first_us = MAX (1, c->last_us - c->outcome.arrival->at_us);
  c->outcome.tokens
      += (uint32_t)((bytes + ENGINE_TOKEN_BYTES - 1) / ENGINE_TOKEN_BYTES);
  g_string_append (c->text, text);
}

static void
take_event (const char *data, void *user)
{
  struct caller *c = user;
  const char *text = NULL;
  if (strcmp (data, "[DONE]") == 0)
    {
      c->finished = true;
      return;
    }
  json_t *json = json_loads (data, 0, NULL);
  if (json_unpack (json, "{s:[{s:s}]}", "choices", "text", &text) == 0)
    take_text (c, text);
  json_decref (json);
}

static void
call_head (struct http_call_handler *handler, struct http_call *call,
           unsigned int status)
{
  ((struct caller *)handler)->outcome.status = status;
}

static void
call_data (struct http_call_handler *handler, struct http_call *call,
           const void *bytes, size_t n)
{
  struct caller *c = (struct caller *)handler;
  if (c->outcome.status != 200)
    g_string_append_len (c->body, bytes, (gssize)n);
  else if (c->outcome.arrival->type == ARRIVAL_LONG)
    sse_feed (c->sse, bytes, n);
  else
    g_string_append_len (c->text, bytes, (gssize)n);
}

/* Whether the text is the stand-in engine's answer to this very prompt. */
static bool
right_answer (const struct caller *c)
{
  const struct arrival *a = c->outcome.arrival;
  uint32_t tokens = engine_text_tokens (c->answer_seed, a->max_tokens);
  char *want = g_malloc ((size_t)tokens * ENGINE_TOKEN_BYTES + 1);
  engine_text_write (c->answer_seed, 0, tokens, want);
  bool right = strcmp (want, c->text->str) == 0;
  g_free (want);
  return right;
}

/* Quotes would end the field of a CSV line. */
static void
note_detail (struct caller *c, const char *text)
{
  g_strlcpy (c->outcome.detail, text, sizeof c->outcome.detail);
  g_strdelimit (c->outcome.detail, "\"\n", ' ');
}

/* A problem names the outcome; without one it may have run. */
static enum call_end
problem_end (struct caller *c)
{
  const char *outcome = NULL;
  const char *detail = "";
  json_int_t retry_after_ms = 0;
  json_t *json = json_loads (c->body->str, 0, NULL);
  json_unpack (json, "{s?s,s?s,s?I}", "outcome", &outcome, "detail", &detail,
               "retry_after_ms", &retry_after_ms);
  note_detail (c, detail);
  enum call_end how = outcome && strcmp (outcome, "not_run") == 0
                          ? CALL_NOT_RUN
                          : CALL_UNKNOWN;
  c->outcome.retry_after_ms = retry_after_ms;
  json_decref (json);
  return how;
}

static void
call_done (struct http_call_handler *handler, struct http_call *call)
{
  struct caller *c = (struct caller *)handler;
  if (c->outcome.status != 200)
    end (c, problem_end (c));
  else if (c->outcome.arrival->type != ARRIVAL_LONG)
    end (c, CALL_ANSWERED);
  else if (!c->finished)
    end (c, CALL_CUT);
  else if (c->settings->check_answers && !right_answer (c))
    end (c, CALL_WRONG);
  else
    end (c, CALL_ANSWERED);
}

static void
call_failed (struct http_call_handler *handler, struct http_call *call,
             bool sent, const char *reason)
{
  struct caller *c = (struct caller *)handler;
  note_detail (c, reason);
  if (!sent)
    end (c, CALL_NOT_RUN);
  else if (c->outcome.status == 200)
    end (c, CALL_CUT);
  else
    end (c, g_str_has_prefix (reason, "timeout") ? CALL_LOST : CALL_UNKNOWN);
}

static const struct http_call_handler_impl impl = {
  .head = call_head,
  .data = call_data,
  .done = call_done,
  .failed = call_failed,
};

static char *
completion_body (struct caller *c)
{
  const struct arrival *a = c->outcome.arrival;
  char *prompt = arrival_prompt (a);
  c->answer_seed = engine_text_seed (prompt, strlen (prompt));
  json_t *json = json_pack ("{s:s,s:s,s:b,s:i}", "model",
                            c->settings->scenario->model, "prompt", prompt,
                            "stream", 1, "max_tokens", (int)a->max_tokens);
  char *body = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  free (prompt);
  return body;
}

static int64_t
deadline_of (const struct scenario *s, enum arrival_type type)
{
  if (type == ARRIVAL_URGENT)
    return s->urgent_deadline_ms;
  return type == ARRIVAL_PATIENT ? s->patient_deadline_ms : s->deadline_ms;
}

static char *
path_of (const struct scenario *s, enum arrival_type type)
{
  if (type == ARRIVAL_LONG)
    return g_strdup ("/v1/completions");
  return g_strdup_printf ("/v1/services/%s%s", s->plain_service,
                          type == ARRIVAL_URGENT ? s->urgent_path
                                                 : s->patient_path);
}

/* Evenly from 0 to below 1, the same in each run. */
static double
part_of (uint64_t id)
{
  return (double)(id * UINT64_C (0x9e3779b97f4a7c15) >> 11)
         / (double)(1LL << 53);
}

void
caller_key (const struct scenario *s, const struct caller_target *target,
            const char *request_id, const struct arrival *a, char *key,
            size_t key_bytes)
{
  double part = part_of (a->id);

  key[0] = '\0';
  if (a->type != ARRIVAL_PATIENT)
    return;
  if (part < s->bound_key_part && target->incarnation[0] != '\0')
    g_snprintf (key, key_bytes, "b-%s-%s", target->incarnation, request_id);
  else if (part < s->bound_key_part + s->free_key_part)
    g_strlcpy (key, request_id, key_bytes);
}

struct caller *
caller_start (const struct caller_settings *settings,
              const struct arrival *arrival,
              const struct caller_target *target, const char *token,
              caller_done_cb *done, void *user)
{
  struct caller *c = g_new0 (struct caller, 1);
  const struct scenario *s = settings->scenario;
  bool is_long = arrival->type == ARRIVAL_LONG;
  char bearer[300];
  char id[64];
  char deadline[24];
  char key[100];

  c->base.impl = &impl;
  c->settings = settings;
  c->outcome.arrival = arrival;
  c->outcome.entry_port = target->port;
  c->deadline_ms = deadline_of (s, arrival->type);
  c->text = g_string_new (NULL);
  c->body = g_string_new (NULL);
  c->sse = sse_create (take_event, c);
  c->done = done;
  c->user = user;
  g_snprintf (bearer, sizeof bearer, "Bearer %s", token);
  g_snprintf (id, sizeof id, "%s-%" G_GUINT64_FORMAT, settings->run,
              arrival->id);
  g_snprintf (deadline, sizeof deadline, "%" G_GINT64_FORMAT, c->deadline_ms);
  caller_key (s, target, id, arrival, key, sizeof key);
  const struct http_header headers[] = {
    { "authorization", bearer },   { "content-type", "application/json" },
    { "x-deadline-ms", deadline }, { "x-request-id", id },
    { "idempotency-key", key }, /* the last: left out if there is none */
  };
  size_t header_count = G_N_ELEMENTS (headers) - (key[0] == '\0');
  char *body = is_long ? completion_body (c) : NULL;
  char *path = path_of (s, arrival->type);
  struct http_request request = {
    .method = arrival->type == ARRIVAL_URGENT ? "GET" : "POST",
    .address = target->address,
    .port = target->port,
    .path = path,
    .headers = headers,
    .header_count = header_count,
    .body = body,
    .body_bytes = body ? strlen (body) : 0,
    .timeout_ms = c->deadline_ms + GRACE_MS,
  };
  c->call = http_call_start (settings->http, &request, &c->base);
  g_free (path);
  free (body);
  return c;
}
