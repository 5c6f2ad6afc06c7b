#include "reply.h"

#include <stdlib.h>
#include <string.h>

#include "completion_format.h"
#include "demand.h"
#include "peers.h"
#include "problem.h"

static void
add_headers (struct entry_request *request)
{
  http_exchange_add_header (request->exchange, "x-request-id",
                            request->request_id);
}

static void
begin (struct entry_request *request, unsigned int status,
       const char *content_type)
{
  if (request->begun)
    return;
  request->begun = true;
  add_headers (request);
  http_exchange_start (request->exchange, status, content_type);
}

static bool
is_model (const struct entry_request *request)
{
  return request->shape != REPLY_PLAIN;
}

/* The head of an answer that is whole at once waits for its end, so that
 * head and body are one write with a known length. */
static void
reply_head (struct entry_request *request, const struct beryl_action *action)
{
  if (is_model (request))
    {
      if (request->stream)
        begin (request, 200, "text/event-stream");
      return;
    }
  request->status = action->head.status;
  g_free (request->content_type);
  request->content_type = g_strdup (action->head.content_type);
}

static void
reply_data (struct entry_request *request, const struct beryl_action *action)
{
  if (is_model (request) && request->stream)
    {
      char *event = completion_chunk (request, action->data.bytes,
                                      action->data.bytes_count);

      http_exchange_write (request->exchange, event, strlen (event));
      g_free (event);
      return;
    }
  if (is_model (request) || request->text->len == 0)
    {
      g_string_append_len (request->text, action->data.bytes,
                           (gssize)action->data.bytes_count);
      return;
    }
  /* A second piece of a plain answer: it is streamed from here on. */
  begin (request, request->status, request->content_type);
  if (!request->flushed)
    http_exchange_write (request->exchange, request->text->str,
                         request->text->len);
  request->flushed = true;
  http_exchange_write (request->exchange, action->data.bytes,
                       action->data.bytes_count);
}

static void
end_model (struct entry_request *request, const struct beryl_action *action)
{
  char *body;

  if (!request->stream)
    {
      body = completion_whole (request, action);
      add_headers (request);
      http_exchange_respond (request->exchange, 200, "application/json", body,
                             strlen (body));
      free (body);
      return;
    }
  begin (request, 200, "text/event-stream");
  body = completion_last_chunk (request, action);
  http_exchange_write (request->exchange, body, strlen (body));
  g_free (body);
  http_exchange_finish (request->exchange);
}

static void
end_plain (struct entry_request *request)
{
  if (request->begun)
    {
      http_exchange_finish (request->exchange);
      return;
    }
  add_headers (request);
  http_exchange_respond (request->exchange, request->status,
                         request->content_type, request->text->str,
                         request->text->len);
}

static void
reply_end (struct entry *entry, struct entry_request *request,
           const struct beryl_action *action)
{
  request->answered = true;
  counters_add (entry->counters, "beryl_answers_total", "outcome=\"answered\"",
                1);
  if (request->service[0] != '\0')
    demand_answered (entry->demand, request->service,
                     action->end.completion_tokens);
  if (is_model (request))
    end_model (request, action);
  else
    end_plain (request);
}

static void
count_problem (struct entry *entry, const struct beryl_action *action)
{
  char labels[96];

  g_snprintf (labels, sizeof labels, "outcome=\"%s\",problem=\"%s\"",
              beryl_outcome_name (action->error.outcome),
              beryl_problem_name (action->error.problem));
  counters_add (entry->counters, "beryl_problems_total", labels, 1);
}

/* An answer that was not begun towards the caller can still be told as a
 * problem; a begun one is cut, so that nobody takes a part for the whole. */
static void
reply_cut (struct entry *entry, struct entry_request *request)
{
  struct beryl_action problem = { .type = BERYL_ACTION_REPLY_ERROR };

  counters_add (entry->counters, "beryl_answers_total", "outcome=\"cut\"", 1);
  request->answered = true;
  if (request->begun)
    {
      http_exchange_abort (request->exchange);
      return;
    }
  problem.error.problem = BERYL_PROBLEM_ENDPOINT_FAILED;
  problem.error.outcome = BERYL_OUTCOME_UNKNOWN;
  problem.error.detail = "the answer broke off";
  problem_respond_action (request->exchange, &problem, request->request_id);
}

void
reply_act (struct entry *entry, const struct beryl_action *action)
{
  struct entry_request *request
      = g_hash_table_lookup (entry->open, &action->request);

  if (request == NULL || request->answered)
    return;
  if (request->peer != NULL)
    {
      peer_reply (request, action);
      return;
    }
  switch (action->type)
    {
    case BERYL_ACTION_REPLY_HEAD:
      reply_head (request, action);
      return;
    case BERYL_ACTION_REPLY_DATA:
      reply_data (request, action);
      return;
    case BERYL_ACTION_REPLY_END:
      reply_end (entry, request, action);
      return;
    case BERYL_ACTION_REPLY_ERROR:
      request->answered = true;
      count_problem (entry, action);
      if (action->error.problem == BERYL_PROBLEM_NO_CAPACITY
          && request->service[0] != '\0')
        demand_refused (entry->demand, request->service);
      problem_respond_action (request->exchange, action, request->request_id);
      return;
    default:
      reply_cut (entry, request);
      return;
    }
}
