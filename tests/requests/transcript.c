#include "transcript.h"

#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/requests.h"
#include "fake_router.h"
#include "test_config.h"

#define INCARNATION 7

struct session
{
  struct beryl_requests_owner base;
  FILE *out;
};

/* Attributes of an event line, in the order of the file. */
struct line
{
  int64_t at_ms;
  char verb[32];
  char id[64]; /* the second word */
  char names[12][32];
  char values[12][256];
  int count;
};

static const char *
get (const struct line *line, const char *name, const char *absent)
{
  for (int i = 0; i < line->count; i++)
    if (strcmp (line->names[i], name) == 0)
      return line->values[i];
  return absent;
}

static uint64_t
get_number (const struct line *line, const char *name, uint64_t absent)
{
  const char *text = get (line, name, NULL);

  return text != NULL ? strtoull (text, NULL, 0) : absent;
}

static void
print_stream (FILE *out, struct beryl_stream_id stream)
{
  fprintf (out, " stream=%" PRIu64 "/%" PRIu64, stream.incarnation,
           stream.counter);
}

static void
print_start (FILE *out, const char *verb, const struct beryl_action *a)
{
  fprintf (out, "%s x%" PRIu64 " request=%" PRIu64 " endpoint=%s attempt=%u",
           verb, a->exchange, a->request, a->start.endpoint, a->start.attempt);
  if (a->type == BERYL_ACTION_SERVICE)
    return;
  print_stream (out, a->start.stream);
  if (a->type == BERYL_ACTION_DECODE)
    fprintf (out, " kv=%s@%s offset=%" PRIu64, a->start.kv_handle,
             a->start.kv_endpoint, a->start.offset);
}

static void
print_hold (FILE *out, const char *verb, const struct beryl_action *a)
{
  fprintf (out, "%s endpoint=%s", verb, a->hold.endpoint);
  print_stream (out, a->hold.stream);
}

static void
print_decision (FILE *out, const struct beryl_action *a)
{
  static const char *const verdicts[] = { "start", "wait", "refuse" };
  const struct beryl_plan *plan = a->decision.plan;

  fprintf (out, "decision request=%" PRIu64 " %s", a->request,
           verdicts[plan->verdict]);
  if (plan->verdict == BERYL_VERDICT_REFUSE)
    fprintf (out, " reason=\"%s\"", plan->reason);
}

static void
print_action (FILE *out, const struct beryl_action *a)
{
  switch (a->type)
    {
    case BERYL_ACTION_REPLY_HEAD:
      fprintf (out, "head request=%" PRIu64 " status=%u", a->request,
               a->head.status);
      return;
    case BERYL_ACTION_REPLY_DATA:
      fprintf (out, "data request=%" PRIu64 " offset=%" PRIu64 " \"%.*s\"",
               a->request, a->data.offset, (int)a->data.bytes_count,
               (const char *)a->data.bytes);
      return;
    case BERYL_ACTION_REPLY_END:
      fprintf (out, "end request=%" PRIu64, a->request);
      return;
    case BERYL_ACTION_REPLY_ERROR:
      fprintf (out,
               "error request=%" PRIu64 " %s outcome=%s retry_after=%" PRIi64
               " \"%s\"",
               a->request, beryl_problem_name (a->error.problem),
               beryl_outcome_name (a->error.outcome), a->error.retry_after_ms,
               a->error.detail);
      return;
    case BERYL_ACTION_REPLY_TRUNCATE:
      fprintf (out, "cut request=%" PRIu64, a->request);
      return;
    case BERYL_ACTION_PREFILL:
      print_start (out, "prefill", a);
      return;
    case BERYL_ACTION_DECODE:
      print_start (out, "decode", a);
      return;
    case BERYL_ACTION_SERVICE:
      print_start (out, "service", a);
      return;
    case BERYL_ACTION_ABORT:
      fprintf (out, "abort x%" PRIu64, a->exchange);
      return;
    case BERYL_ACTION_PAUSE:
      fprintf (out, "%s x%" PRIu64, a->pause.paused ? "pause" : "resume",
               a->exchange);
      return;
    case BERYL_ACTION_CANCEL:
      print_hold (out, "cancel", a);
      return;
    case BERYL_ACTION_HOLD_RECORD:
      print_hold (out, "hold-record", a);
      return;
    case BERYL_ACTION_HOLD_ERASE:
      print_hold (out, "hold-erase", a);
      return;
    case BERYL_ACTION_CLAIM:
      fprintf (out, "claim request=%" PRIu64 " organisation=%s key=%s",
               a->request, a->claim.organisation, a->claim.key);
      return;
    case BERYL_ACTION_FORWARD:
      fprintf (out,
               "forward x%" PRIu64 " request=%" PRIu64 " incarnation=%" PRIu64,
               a->exchange, a->request, a->forward.incarnation);
      return;
    case BERYL_ACTION_DECISION:
      print_decision (out, a);
      return;
    case BERYL_ACTION_DRAINED:
      fprintf (out, "drained");
      return;
    }
}

static void
session_act (struct beryl_requests_owner *owner,
             const struct beryl_action *action)
{
  struct session *session = (struct session *)owner;

  fprintf (session->out, "< ");
  print_action (session->out, action);
  fprintf (session->out, "\n");
}

static const struct beryl_requests_owner_impl session_impl
    = { .act = session_act };

/* Splits "> 120 verb id name=value name=value". */
static bool
parse (char *text, struct line *line)
{
  char *save = NULL;
  char *word = strtok_r (text + 1, " \n", &save);

  *line = (struct line){ 0 };
  if (word == NULL)
    return false;
  line->at_ms = strtoll (word, NULL, 10);
  for (int n = 0; (word = strtok_r (NULL, " \n", &save)) != NULL; n++)
    {
      char *equals = strchr (word, '=');

      if (n == 0)
        snprintf (line->verb, sizeof line->verb, "%s", word);
      else if (equals == NULL)
        snprintf (line->id, sizeof line->id, "%s", word);
      else
        {
          *equals = '\0';
          snprintf (line->names[line->count], sizeof line->names[0], "%s",
                    word);
          snprintf (line->values[line->count++], sizeof line->values[0], "%s",
                    equals + 1);
        }
    }
  return true;
}

static void
fill_key (struct beryl_call *call, const struct line *line)
{
  const char *bound = get (line, "bound", NULL);
  const char *free_key = get (line, "free", NULL);

  if (bound != NULL)
    {
      call->key_kind = BERYL_KEY_BOUND;
      call->key = bound;
      call->key_incarnation = get_number (line, "incarnation", INCARNATION);
    }
  else if (free_key != NULL)
    {
      call->key_kind = BERYL_KEY_FREE;
      call->key = free_key;
    }
}

static void
fill_call (struct beryl_call *call, const struct line *line)
{
  call->request = strtoull (line->id, NULL, 10);
  call->request_id = get (line, "id", line->id);
  call->organisation = get (line, "organisation", "permits");
  call->service = get (line, "service", "status");
  call->method = "POST";
  call->path = "/x";
  call->body = get (line, "body", "body");
  call->body_bytes = strlen (call->body);
  call->prompt = "prompt";
  call->prompt_bytes = 6;
  call->prompt_tokens = (uint32_t)get_number (line, "prompt_tokens", 100);
  call->max_tokens = 20;
  call->stream = get_number (line, "stream", 0) != 0;
  call->deadline_ms = (int64_t)get_number (line, "deadline", 0);
  call->forwarded = get_number (line, "forwarded", 0) != 0;
  fill_key (call, line);
}

static void
fill_claim (struct beryl_event *event, const struct line *line)
{
  static const char *const results[]
      = { "granted", "taken", "mismatch", "unavailable", "unknown" };
  const char *result = get (line, "result", "");

  event->type = BERYL_EVENT_CLAIM_RESULT;
  event->claim.incarnation = get_number (line, "incarnation", 0);
  for (int i = 0; i < 5; i++)
    if (strcmp (result, results[i]) == 0)
      event->claim.result = (enum beryl_claim_result)i;
}

static void
fill_exchange (struct beryl_event *event, const struct line *line)
{
  const char *text = get (line, "text", "");

  event->exchange = strtoull (line->id + 1, NULL, 10);
  if (strcmp (line->verb, "refused") == 0)
    {
      event->type = BERYL_EVENT_EXCHANGE_REFUSED;
      event->refused.retry_after_ms
          = (int64_t)get_number (line, "retry_after", 0);
    }
  else if (strcmp (line->verb, "sent") == 0)
    event->type = BERYL_EVENT_EXCHANGE_SENT;
  else if (strcmp (line->verb, "head") == 0)
    {
      event->type = BERYL_EVENT_EXCHANGE_HEAD;
      event->head.status = (unsigned int)get_number (line, "status", 200);
      event->head.content_type = "application/json";
    }
  else if (strcmp (line->verb, "prefilled") == 0)
    {
      event->type = BERYL_EVENT_PREFILL_DONE;
      event->prefill.kv_handle = get (line, "kv", "kv1");
    }
  else if (strcmp (line->verb, "data") == 0)
    {
      event->type = BERYL_EVENT_EXCHANGE_DATA;
      event->data.offset = get_number (line, "offset", 0);
      event->data.bytes = text;
      event->data.bytes_count = strlen (text);
      event->data.tokens = 1;
      event->data.attempt = (uint32_t)get_number (line, "attempt", 0);
    }
  else if (strcmp (line->verb, "end") == 0)
    {
      event->type = BERYL_EVENT_EXCHANGE_END;
      event->end.finish_reason = get (line, "finish", NULL);
      event->end.answer_bytes = get_number (line, "bytes", 0);
    }
  else if (strcmp (line->verb, "failed") == 0)
    {
      event->type = BERYL_EVENT_EXCHANGE_FAILED;
      event->failed.sent = get_number (line, "sent", 1) != 0;
      event->failed.reason = "reset";
    }
  else
    ck_abort_msg ("unknown event '%s'", line->verb);
}

static void
fill_event (struct beryl_event *event, const struct line *line)
{
  event->request = strtoull (line->id, NULL, 10);
  if (strcmp (line->verb, "call") == 0)
    fill_call (&event->call, line);
  else if (strcmp (line->verb, "gone") == 0)
    event->type = BERYL_EVENT_CALLER_GONE;
  else if (strcmp (line->verb, "drained") == 0)
    event->type = BERYL_EVENT_CALLER_CAUGHT_UP;
  else if (strcmp (line->verb, "tick") == 0)
    event->type = BERYL_EVENT_TICK;
  else if (strcmp (line->verb, "stop") == 0)
    event->type = BERYL_EVENT_DRAIN;
  else if (strcmp (line->verb, "claimed") == 0)
    fill_claim (event, line);
  else if (strcmp (line->verb, "cancelled") == 0)
    {
      event->type = BERYL_EVENT_CANCEL_CONFIRMED;
      event->cancel.endpoint = get (line, "endpoint", "");
      event->cancel.stream.incarnation = INCARNATION;
      event->cancel.stream.counter = get_number (line, "counter", 0);
    }
  else if (strcmp (line->verb, "fetch") == 0)
    {
      event->type = BERYL_EVENT_FETCH;
      event->fetch.organisation = get (line, "organisation", "permits");
      event->fetch.id_or_key = get (line, "of", "");
      event->fetch.offset = get_number (line, "offset", 0);
    }
  else if (strcmp (line->verb, "forward-error") == 0)
    {
      event->type = BERYL_EVENT_FORWARD_ERROR;
      event->exchange = strtoull (line->id + 1, NULL, 10);
      event->forward_error.problem = BERYL_PROBLEM_KEY_ANSWERED;
      event->forward_error.outcome = BERYL_OUTCOME_ANSWERED;
      event->forward_error.detail = "told by the other node";
    }
  else
    fill_exchange (event, line);
}

static bool
control_router (struct beryl_router *router, const struct line *line)
{
  if (strcmp (line->verb, "router-limit") == 0)
    fake_router_limit (router, (uint32_t)strtoul (line->id, NULL, 10));
  else if (strcmp (line->verb, "router-decodes") == 0)
    fake_router_decodes (router, strcmp (line->id, "0") != 0);
  else if (strcmp (line->verb, "router-refuses") == 0)
    fake_router_refuse (router, line->id);
  else
    return false;
  return true;
}

static void
play_line (struct beryl_requests *requests, struct beryl_router *router,
           const char *text)
{
  struct beryl_event event = { 0 };
  struct line line;
  char copy[1024];

  snprintf (copy, sizeof copy, "%s", text);
  if (!parse (copy, &line) || control_router (router, &line))
    return;
  fill_event (&event, &line);
  beryl_requests_handle_event (requests, &event, line.at_ms);
}

char *
transcript_read (const char *path)
{
  char *text = NULL;
  size_t text_bytes = 0;
  FILE *in = fopen (path, "r");
  FILE *out;
  int c;

  if (in == NULL)
    return NULL;
  out = open_memstream (&text, &text_bytes);
  while ((c = fgetc (in)) != EOF)
    fputc (c, out);
  fclose (out);
  fclose (in);
  return text;
}

char *
transcript_play (const char *path)
{
  struct beryl_requests_settings settings = {
    .incarnation = INCARNATION,
    .slow_reader_bytes = 16,
    .slow_reader_ms = 5000,
    .answer_retention_ms = 60000,
    .answer_retention_bytes = 1 << 20,
  };
  struct beryl_router *router
      = beryl_router_create ("n1", "", BERYL_POLICY_PLANNED, 1);
  struct session session = { .base.impl = &session_impl };
  struct beryl_requests *requests;
  char *played = NULL;
  size_t played_bytes = 0;
  char text[1024];
  FILE *in = fopen (path, "r");

  ck_assert_msg (in != NULL, "cannot read %s", path);
  session.out = open_memstream (&played, &played_bytes);
  requests = beryl_requests_create (&settings, router, &session.base);
  beryl_router_set_config (router, test_config (), 0);
  beryl_requests_set_config (requests, test_config (), 0);
  while (fgets (text, sizeof text, in) != NULL)
    {
      if (text[0] == '<' || text[0] == '=')
        continue;
      fputs (text, session.out);
      if (text[0] == '>')
        play_line (requests, router, text);
    }
  fprintf (session.out, "= open=%u reserved=%u\n",
           beryl_requests_open_count (requests), fake_router_open (router));
  fclose (session.out);
  fclose (in);
  beryl_requests_destroy (requests);
  beryl_router_destroy (router);
  return played;
}
