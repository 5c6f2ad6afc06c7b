#include "engine_call.h"

#include "metrics.h"

struct engine_call
{
  struct h1_call_handler base;
  struct h1_call *http;
  const struct h1_head *head;
  GString *body;
  enum engine_call_kind kind;
  char engine[BERYL_NAME_BYTES];
  struct counters *counters;
  engine_call_cb *cb;
  void *user;
};

static void
call_free (struct engine_call *call)
{
  g_string_free (call->body, TRUE);
  g_free (call);
}

static void
call_head (struct h1_call_handler *handler, struct h1_call *http,
           const struct h1_head *head)
{
  ((struct engine_call *)handler)->head = head;
}

static void
call_data (struct h1_call_handler *handler, struct h1_call *http,
           const char *bytes, size_t bytes_count)
{
  struct engine_call *call = (struct engine_call *)handler;

  g_string_append_len (call->body, bytes, (gssize)bytes_count);
}

static void
call_done (struct h1_call_handler *handler, struct h1_call *http)
{
  struct engine_call *call = (struct engine_call *)handler;
  struct engine_response response = { .head = call->head,
                                      .body = call->body->str,
                                      .body_bytes = call->body->len };

  call->cb (call->user, &response);
  call_free (call);
}

static void
call_failed (struct h1_call_handler *handler, struct h1_call *http,
             enum h1_failure failure, bool sent)
{
  struct engine_call *call = (struct engine_call *)handler;
  struct engine_response response = { .failure = failure, .sent = sent };

  if (failure == H1_FAILURE_ENDLESS)
    metrics_count_endless (call->counters, engine_call_name (call->kind),
                           call->engine);
  call->cb (call->user, &response);
  call_free (call);
}

static const struct h1_call_handler_impl impl = {
  .head = call_head,
  .data = call_data,
  .done = call_done,
  .failed = call_failed,
};

struct engine_call *
engine_call_start (struct loop *loop, const struct beryl_live_info *engine,
                   const GString *head, const GString *body,
                   enum engine_call_kind kind, struct counters *counters,
                   engine_call_cb *cb, void *user)
{
  struct engine_call *call = g_new0 (struct engine_call, 1);
  struct h1_request request = {
    .address = engine->address,
    .port = engine->port,
    .head = head->str,
    .head_bytes = head->len,
    .body = body != NULL ? body->str : NULL,
    .body_bytes = body != NULL ? body->len : 0,
    .limits = answer_limits_engine_call (kind),
  };

  call->base.impl = &impl;
  call->body = g_string_new (NULL);
  call->kind = kind;
  call->counters = counters;
  g_strlcpy (call->engine, engine->id, sizeof call->engine);
  call->cb = cb;
  call->user = user;
  call->http = h1_call_start (loop, &request, &call->base);
  return call;
}

void
engine_call_cancel (struct engine_call *call)
{
  if (call == NULL)
    return;
  h1_call_cancel (call->http);
  call_free (call);
}
