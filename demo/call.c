#include <stdlib.h>
#include <string.h>

#include "demo.h"

#define TRIES_MAX 4
#define AVOID_MS 3000
#define RETRY_MS 50
#define DOCUMENT_DEADLINE_MS 20000
#define URGENT_DEADLINE_MS 500
/* No answer this long after the deadline counts as lost. */
#define LOST_AFTER_MS 3000
#define PREAMBLES 3
#define PREAMBLE_BYTES 6000
#define PLAN_MIN_BYTES 500
#define PLAN_MAX_BYTES 4000
#define BODY_KEPT_BYTES 4096
#define DONE "data: [DONE]"

/* One call of a caller, with its repeats. */
struct call
{
  struct http_call_handler base;
  struct demo *demo;
  struct loop_timer *retry;
  enum call_kind kind;
  char id[48];
  char key[80];
  struct place place;
  uint32_t tries;
  int64_t asked_ms;
  int64_t piece_ms;
  GString *body; /* the last bytes of the answer */
};

static void send_now (struct call *call);

static void
call_free (struct call *call)
{
  call->demo->open--;
  loop_timer_stop (call->retry);
  g_string_free (call->body, TRUE);
  g_free (call);
}

static int64_t
deadline_ms (enum call_kind kind)
{
  return kind == CALL_DOCUMENT ? DOCUMENT_DEADLINE_MS : URGENT_DEADLINE_MS;
}

static void
note (GArray *samples, int64_t value)
{
  int32_t ms = (int32_t)value;

  g_array_append_val (samples, ms);
}

static void
remember (struct call *call, enum beryl_outcome outcome)
{
  if (call->kind == CALL_LETTER)
    g_hash_table_insert (call->demo->letters, g_strdup (call->id),
                         GINT_TO_POINTER ((int)outcome + 1));
}

static void
end_answered (struct call *call)
{
  struct tally *tally = &call->demo->tally[call->kind];
  int64_t took_ms = loop_now_ms (call->demo->loop) - call->asked_ms;

  tally->answered++;
  if (took_ms <= deadline_ms (call->kind))
    tally->in_time++;
  if (call->kind != CALL_DOCUMENT)
    note (call->demo->urgent_ms, took_ms);
  remember (call, BERYL_OUTCOME_ANSWERED);
  call_free (call);
}

static void
end_told (struct call *call, enum beryl_outcome outcome)
{
  struct tally *tally = &call->demo->tally[call->kind];

  if (outcome == BERYL_OUTCOME_NOT_RUN)
    tally->not_run++;
  else
    tally->unknown++;
  remember (call, outcome);
  call_free (call);
}

static void
retry_due (void *user)
{
  struct call *call = user;

  loop_timer_stop (call->retry);
  call->retry = NULL;
  send_now (call);
}

/* Only what has not run, or may run twice, is sent again. */
static bool
try_again (struct call *call, bool may_have_run)
{
  if (may_have_run && call->kind != CALL_STATUS)
    return false;
  if (call->tries >= TRIES_MAX)
    return false;
  call->retry
      = loop_timer_start (call->demo->loop, RETRY_MS, 0, retry_due, call);
  return true;
}

static void
on_data (struct http_call_handler *handler, struct http_call *http,
         const void *bytes, size_t bytes_count)
{
  struct call *call = (struct call *)handler;
  int64_t now_ms = loop_now_ms (call->demo->loop);

  if (call->kind == CALL_DOCUMENT && http_call_status (http) == 200)
    {
      if (call->piece_ms == 0)
        note (call->demo->first_token_ms, now_ms - call->asked_ms);
      else
        note (call->demo->between_tokens_ms, now_ms - call->piece_ms);
      call->piece_ms = now_ms;
    }
  g_string_append_len (call->body, bytes, (gssize)bytes_count);
  if (call->body->len > 2 * BODY_KEPT_BYTES)
    g_string_erase (call->body, 0,
                    (gssize)(call->body->len - BODY_KEPT_BYTES));
}

static enum beryl_outcome
told_outcome (const struct call *call)
{
  json_t *root = json_loadb (call->body->str, call->body->len, 0, NULL);
  const char *text = json_string_value (json_object_get (root, "outcome"));
  enum beryl_outcome outcome = BERYL_OUTCOME_UNKNOWN;

  if (text != NULL && strcmp (text, "not_run") == 0)
    outcome = BERYL_OUTCOME_NOT_RUN;
  json_decref (root);
  return outcome;
}

static void
on_done (struct http_call_handler *handler, struct http_call *http)
{
  struct call *call = (struct call *)handler;
  enum beryl_outcome outcome;

  if (http_call_status (http) == 200)
    {
      if (call->kind != CALL_DOCUMENT
          || strstr (call->body->str, DONE) != NULL)
        end_answered (call);
      else
        end_told (call, BERYL_OUTCOME_UNKNOWN);
      return;
    }
  outcome = told_outcome (call);
  if (!try_again (call, outcome != BERYL_OUTCOME_NOT_RUN))
    end_told (call, outcome);
}

static void
on_failed (struct http_call_handler *handler, struct http_call *http,
           bool sent, const char *reason)
{
  struct call *call = (struct call *)handler;
  struct target *target = targets_find (call->demo, &call->place);

  if (sent && strcmp (reason, "timeout") == 0)
    {
      call->demo->tally[call->kind].lost++;
      call_free (call);
      return;
    }
  if (target != NULL)
    {
      target->avoid_until_ms = loop_now_ms (call->demo->loop) + AVOID_MS;
      target->cut += sent;
    }
  targets_refresh (call->demo);
  if (!try_again (call, sent))
    end_told (call, sent ? BERYL_OUTCOME_UNKNOWN : BERYL_OUTCOME_NOT_RUN);
}

static const struct http_call_handler_impl call_impl = {
  .data = on_data,
  .done = on_done,
  .failed = on_failed,
};

/* Each municipality's dossiers begin with the same preamble. */
static char *
document_body (struct demo *demo)
{
  int preamble = g_rand_int_range (demo->rand, 0, PREAMBLES);
  int plan_bytes
      = g_rand_int_range (demo->rand, PLAN_MIN_BYTES, PLAN_MAX_BYTES);
  GString *body = g_string_new (
      "{\"model\":\"advies\",\"stream\":true,\"max_tokens\":48,\"prompt\":\"");

  for (int i = 0; i < PREAMBLE_BYTES; i++)
    g_string_append_c (body, (gchar)('a' + (i * 7 + preamble * 3) % 26));
  for (int i = 0; i < plan_bytes; i++)
    g_string_append_c (body,
                       (gchar)('a' + g_rand_int_range (demo->rand, 0, 26)));
  g_string_append (body, "\"}");
  return g_string_free (body, FALSE);
}

static void
send_now (struct call *call)
{
  struct demo *demo = call->demo;
  struct target *target = targets_choose (demo);
  char deadline[24];
  struct http_header headers[] = {
    { "authorization", demo->bearer },
    { "x-request-id", call->id },
    { "x-deadline-ms", deadline },
    { "idempotency-key", call->key },
  };
  struct http_request request = { .headers = headers, .header_count = 3 };
  char *body = NULL;

  call->tries++;
  if (target == NULL)
    {
      if (!try_again (call, false))
        end_told (call, BERYL_OUTCOME_NOT_RUN);
      return;
    }
  call->place = target->place;
  g_string_truncate (call->body, 0);
  call->piece_ms = 0;
  g_snprintf (deadline, sizeof deadline, "%d", (int)deadline_ms (call->kind));
  request.address = call->place.address;
  request.port = call->place.port;
  request.timeout_ms = deadline_ms (call->kind) + LOST_AFTER_MS;
  request.method = "GET";
  request.path = "/v1/services/vergunning-api/status?permit=7";
  if (call->kind == CALL_DOCUMENT)
    {
      body = document_body (demo);
      request.method = "POST";
      request.path = "/v1/completions";
    }
  if (call->kind == CALL_LETTER)
    {
      /* A new key for each try: the one before provably has not run. */
      g_snprintf (call->key, sizeof call->key, "b-%s-%s", target->incarnation,
                  call->id);
      body = g_strdup ("{\"letter\":\"status\"}");
      request.method = "POST";
      request.path = "/v1/services/vergunning-api/letters";
      request.header_count = 4;
    }
  request.body = body;
  request.body_bytes = body != NULL ? strlen (body) : 0;
  http_call_start (demo->http, &request, &call->base);
  g_free (body);
}

void
call_send (struct demo *demo, enum call_kind kind)
{
  struct call *call = g_new0 (struct call, 1);

  call->base.impl = &call_impl;
  call->demo = demo;
  call->kind = kind;
  call->asked_ms = loop_now_ms (demo->loop);
  call->body = g_string_new (NULL);
  g_snprintf (call->id, sizeof call->id, "demo-%d-%" G_GUINT64_FORMAT,
              (int)kind, ++demo->last_id);
  demo->tally[kind].asked++;
  demo->open++;
  send_now (call);
}
