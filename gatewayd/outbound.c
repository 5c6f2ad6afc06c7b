#include "outbound.h"

#include <string.h>

#include "answer_limits.h"

struct outbound
{
  struct loop *loop;
  const struct gateway_wire *wire;
  struct beryl_forward *forward;
  GHashTable *calls; /* exchange number to struct call */
};

struct call
{
  struct h1_call_handler base;
  struct outbound *outbound;
  uint64_t exchange;
  enum beryl_exchange_kind kind;
  char endpoint[BERYL_NAME_BYTES];
  char *request_id; /* that it concerns; NULL: none */
  struct h1_call *http;
  struct h1_call *ended;      /* the same, once it has; for the head */
  const struct h1_head *head; /* NULL until it has arrived */
  bool no_body;               /* by the method of the request */
  GString *body;              /* response body; unused if it is forwarded */
};

static void
call_free (void *pointer)
{
  struct call *call = pointer;

  if (call->http != NULL)
    h1_call_cancel (call->http);
  if (call->ended != NULL)
    h1_call_release (call->ended);
  g_string_free (call->body, TRUE);
  g_free (call->request_id);
  g_free (call);
}

/* Returns whether the caller gets the answer to CALL. */
static bool
forwards_answer (const struct call *call)
{
  return call->kind == BERYL_EXCHANGE_RUN
         || call->kind == BERYL_EXCHANGE_HANDOFF;
}

static struct gateway_asked
call_asked_for (const struct call *call)
{
  return (struct gateway_asked){ .kind = call->kind,
                                 .endpoint = call->endpoint,
                                 .request_id = call->request_id };
}

static void
call_head (struct h1_call_handler *handler, struct h1_call *http,
           const struct h1_head *head)
{
  struct call *call = (struct call *)handler;
  struct outbound *o = call->outbound;
  struct gateway_asked asked = call_asked_for (call);
  struct beryl_answer_head response = { 0 };

  call->head = head;
  if (!forwards_answer (call))
    return;
  o->wire->impl->read_response (o->wire, &asked, head, &response);
  if (call->no_body)
    response.ends_with_connection = false;
  response.declined = call->kind == BERYL_EXCHANGE_HANDOFF
                      && head->status == 503
                      && h1_head_find (head, GATEWAY_HANDOFF_FIELD) != NULL;
  beryl_forward_answer_head (o->forward, call->exchange, &response,
                             loop_now_ms (o->loop));
}

static void
call_data (struct h1_call_handler *handler, struct h1_call *http,
           const char *bytes, size_t bytes_count)
{
  struct call *call = (struct call *)handler;
  struct outbound *o = call->outbound;

  if (forwards_answer (call))
    beryl_forward_answer_data (o->forward, call->exchange, bytes, bytes_count,
                               loop_now_ms (o->loop));
  else
    g_string_append_len (call->body, bytes, (gssize)bytes_count);
}

/* Removes CALL, whose HTTP call has ended, from the table.  The caller frees
 * it with call_free after reporting the event. */
static void
call_detach (struct call *call)
{
  g_hash_table_steal (call->outbound->calls, &call->exchange);
  call->http = NULL;
}

static void
report_result (struct call *call)
{
  struct outbound *o = call->outbound;
  struct gateway_asked asked = call_asked_for (call);
  struct beryl_engine_result result = { 0 };

  if (call->kind == BERYL_EXCHANGE_DIAL)
    result.ok = true;
  else
    o->wire->impl->read_engine_response (o->wire, &asked, call->head,
                                         call->body->str, call->body->len,
                                         &result);
  call_detach (call);
  beryl_forward_exchange_result (o->forward, call->exchange, &result,
                                 loop_now_ms (o->loop));
  call_free (call);
}

static void
call_done (struct h1_call_handler *handler, struct h1_call *http)
{
  struct call *call = (struct call *)handler;
  struct outbound *o = call->outbound;
  uint64_t exchange = call->exchange;

  call->http = NULL;
  if (!forwards_answer (call))
    {
      report_result (call);
      return;
    }
  /* The call stays in the table meanwhile, because the forwarder may begin the
     caller's response, which reads the head by exchange number. */
  h1_call_retain (http);
  call->ended = http;
  if (beryl_forward_answer_done (o->forward, exchange, loop_now_ms (o->loop)))
    g_hash_table_remove (o->calls, &exchange);
}

static enum beryl_exchange_failure
convert_failure (enum h1_failure failure)
{
  switch (failure)
    {
    case H1_FAILURE_REFUSED:
    case H1_FAILURE_CONNECT:
      return BERYL_FAILURE_CONNECT;
    case H1_FAILURE_RESET:
      return BERYL_FAILURE_RESET;
    case H1_FAILURE_CLOSED:
      return BERYL_FAILURE_CLOSED;
    case H1_FAILURE_ENDLESS:
      return BERYL_FAILURE_ENDLESS;
    case H1_FAILURE_SILENT:
      return BERYL_FAILURE_SILENT;
    case H1_FAILURE_GARBLED:
      break;
    }
  return BERYL_FAILURE_MALFORMED;
}

static void
call_failed (struct h1_call_handler *handler, struct h1_call *http,
             enum h1_failure failure, bool sent)
{
  struct call *call = (struct call *)handler;
  struct outbound *o = call->outbound;

  call_detach (call);
  beryl_forward_exchange_failed (o->forward, call->exchange,
                                 convert_failure (failure), sent,
                                 loop_now_ms (o->loop));
  call_free (call);
}

static const struct h1_call_handler_impl call_impl = {
  .head = call_head,
  .data = call_data,
  .done = call_done,
  .failed = call_failed,
};

struct outbound *
outbound_create (struct loop *loop, const struct gateway_wire *wire,
                 struct beryl_forward *forward)
{
  struct outbound *o = g_new0 (struct outbound, 1);

  o->loop = loop;
  o->wire = wire;
  o->forward = forward;
  o->calls
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, call_free);
  return o;
}

void
outbound_destroy (struct outbound *o)
{
  if (o == NULL)
    return;
  g_hash_table_destroy (o->calls);
  g_free (o);
}

void
outbound_start (struct outbound *o, const struct beryl_exchange_start *start,
                const struct h1_head *head, const char *body,
                size_t body_bytes)
{
  struct call *call = g_new0 (struct call, 1);
  struct h1_request request = {
    .address = start->endpoint->info.address,
    .port = start->endpoint->info.port,
    .connect_timeout_ms = start->connect_timeout_ms,
    .limits = answer_limits_exchange (start),
    .hold_ms = start->hold_ms,
  };
  GString *out = g_string_sized_new (1024);
  GString *engine_body = g_string_new (NULL);

  if (start->kind == BERYL_EXCHANGE_DIAL)
    request.connect_only = true;
  else if (beryl_exchange_carries_request (start->kind))
    {
      o->wire->impl->format_request (o->wire, head, body_bytes, start, out);
      request.body = body;
      request.body_bytes = body_bytes;
      request.no_answer_body = strcmp (head->method, "HEAD") == 0;
      call->no_body = request.no_answer_body;
      call->request_id
          = g_strdup (o->wire->impl->read_request_id (o->wire, head));
    }
  else
    {
      o->wire->impl->format_engine_call (o->wire, start, out, engine_body);
      call->request_id = g_strdup (start->run_id);
      request.body = engine_body->str;
      request.body_bytes = engine_body->len;
    }
  request.head = out->str;
  request.head_bytes = out->len;
  call->base.impl = &call_impl;
  call->outbound = o;
  call->exchange = start->exchange;
  call->kind = start->kind;
  memcpy (call->endpoint, start->endpoint->info.id, sizeof call->endpoint);
  call->body = g_string_new (NULL);
  g_hash_table_insert (o->calls, &call->exchange, call);
  call->http = h1_call_start (o->loop, &request, &call->base);
  g_string_free (out, TRUE);
  g_string_free (engine_body, TRUE);
}

static struct call *
call_find (const struct outbound *o, uint64_t exchange)
{
  return g_hash_table_lookup (o->calls, &exchange);
}

void
outbound_abort (struct outbound *o, uint64_t exchange)
{
  struct call *call = call_find (o, exchange);

  if (call == NULL)
    return;
  g_hash_table_steal (o->calls, &call->exchange);
  call_free (call);
}

bool
outbound_sent (const struct outbound *o, uint64_t exchange)
{
  const struct call *call = call_find (o, exchange);

  return call == NULL || call->http == NULL || h1_call_sent (call->http);
}

void
outbound_pause (struct outbound *o, uint64_t exchange, bool paused)
{
  struct call *call = call_find (o, exchange);

  if (call != NULL && call->http != NULL)
    h1_call_pause (call->http, paused);
}

const struct h1_head *
outbound_response_head (const struct outbound *o, uint64_t exchange)
{
  const struct call *call = call_find (o, exchange);

  return call != NULL ? call->head : NULL;
}

bool
outbound_response_length (const struct outbound *o, uint64_t exchange,
                          uint64_t *length)
{
  const struct h1_head *head = outbound_response_head (o, exchange);
  const char *text
      = head != NULL ? h1_head_find (head, "content-length") : NULL;

  if (text == NULL)
    return false;
  *length = g_ascii_strtoull (text, NULL, 10);
  return true;
}
