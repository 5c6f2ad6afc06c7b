#include <stdlib.h>
#include <string.h>

#include "outbound.h"

#define HEADERS_MAX 5
#define GRACE_MS 100

static void
plain_head (struct http_call_handler *handler, struct http_call *call,
            unsigned int status)
{
  struct outbound *out = (struct outbound *)handler;
  struct beryl_event event = { .type = BERYL_EVENT_EXCHANGE_HEAD };
  const char *not_run = http_call_header (call, "x-not-run");

  out->refused
      = status == 503 && not_run != NULL && strcmp (not_run, "true") == 0;
  if (out->refused)
    return;
  event.head.status = status;
  event.head.content_type = http_call_header (call, "content-type");
  outbound_enter (out);
  outbound_event (out, &event);
  outbound_leave (out);
}

static void
plain_data (struct http_call_handler *handler, struct http_call *call,
            const void *bytes, size_t bytes_count)
{
  struct outbound *out = (struct outbound *)handler;
  struct beryl_event event = { .type = BERYL_EVENT_EXCHANGE_DATA };

  if (out->refused)
    return;
  event.data.offset = out->offset;
  event.data.bytes = bytes;
  event.data.bytes_count = bytes_count;
  out->offset += bytes_count;
  outbound_enter (out);
  outbound_event (out, &event);
  outbound_leave (out);
}

static void
plain_done (struct http_call_handler *handler, struct http_call *call)
{
  struct outbound *out = (struct outbound *)handler;
  struct beryl_event event = { .type = BERYL_EVENT_EXCHANGE_END };

  out->call = NULL;
  event.end.answer_bytes = out->offset;
  if (out->refused)
    event = (struct beryl_event){ .type = BERYL_EVENT_EXCHANGE_REFUSED };
  outbound_enter (out);
  outbound_event (out, &event);
  outbound_drop (out);
  outbound_leave (out);
}

static const struct http_call_handler_impl plain_impl = {
  .head = plain_head,
  .data = plain_data,
  .done = plain_done,
  .failed = outbound_broken,
};

static size_t
fill_headers (const struct beryl_call *call, const char *left,
              struct http_header *headers)
{
  size_t n = 0;

  headers[n++] = (struct http_header){ "x-request-id", call->request_id };
  headers[n++] = (struct http_header){ "x-deadline-ms", left };
  headers[n++] = (struct http_header){ "x-organisation", call->organisation };
  if (call->content_type != NULL)
    headers[n++] = (struct http_header){ "content-type", call->content_type };
  if (call->key != NULL)
    headers[n++] = (struct http_header){ "idempotency-key", call->key };
  return n;
}

void
plain_call (struct entry *entry, const struct beryl_action *action)
{
  const struct beryl_call *call = action->start.call;
  const struct beryl_endpoint *endpoint
      = entry_endpoint (entry, action->start.endpoint);
  struct outbound *out
      = outbound_create (entry, action->exchange, &plain_impl);
  int64_t left_ms = action->start.deadline_ms - loop_now_ms (entry->loop);
  struct http_header headers[HEADERS_MAX];
  struct http_request request = { 0 };
  char left[24];

  if (endpoint == NULL)
    {
      outbound_fail_later (out, "the endpoint is gone");
      return;
    }
  left_ms = left_ms > 1 ? left_ms : 1;
  g_snprintf (left, sizeof left, "%" G_GINT64_FORMAT, left_ms);
  request.method = call->method;
  request.address = endpoint->address;
  request.port = endpoint->port;
  request.path = call->path;
  request.header_count = fill_headers (call, left, headers);
  request.headers = headers;
  request.body = call->body;
  request.body_bytes = call->body_bytes;
  request.timeout_ms = left_ms + GRACE_MS;
  out->call = http_call_start (entry->http, &request, &out->base);
}
