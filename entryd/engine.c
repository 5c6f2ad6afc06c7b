#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "engine_parse.h"
#include "outbound.h"

#define SMALL_ANSWER_BYTES 65536
#define LINE_BYTES (1U << 20)
#define CANCEL_TIMEOUT_MS 2000
/* An engine that is silent this long after a deadline is given up. */
#define GRACE_MS 100

static json_t *
stream_json (struct beryl_stream_id stream)
{
  char incarnation[24];

  g_snprintf (incarnation, sizeof incarnation, "%" G_GUINT64_FORMAT,
              stream.incarnation);
  return json_pack ("{s:s, s:I}", "incarnation", incarnation, "counter",
                    (json_int_t)stream.counter);
}

/* Starts a POST of BODY, which it releases; an answer of more than
 * ANSWER_MAX_BYTES (0: any) is given up. */
static void
post (struct outbound *out, const struct beryl_endpoint *endpoint,
      const char *path, json_t *body, int64_t timeout_ms,
      size_t answer_max_bytes)
{
  static const struct http_header headers[]
      = { { "content-type", "application/json" } };
  char *text = json_dumps (body, JSON_COMPACT);
  struct http_request request = {
    .method = "POST",
    .address = endpoint->address,
    .port = endpoint->port,
    .path = path,
    .headers = headers,
    .header_count = G_N_ELEMENTS (headers),
    .body = text,
    .body_bytes = strlen (text),
    .timeout_ms = timeout_ms,
    .answer_max_bytes = answer_max_bytes,
  };

  out->call = http_call_start (out->entry->http, &request, &out->base);
  free (text);
  json_decref (body);
}

static int64_t
left_ms (const struct entry *entry, int64_t deadline_ms)
{
  int64_t left = deadline_ms - loop_now_ms (entry->loop);

  return left > 1 ? left : 1;
}

static void
collect (struct http_call_handler *handler, struct http_call *call,
         const void *bytes, size_t bytes_count)
{
  struct outbound *out = (struct outbound *)handler;

  g_string_append_len (out->body, bytes, (gssize)bytes_count);
}

/* Whether STATUS says that the engine did not run the request. */
static bool
is_refusal (unsigned int status, bool decode)
{
  return status == 429 || status == 409 || (decode && status == 404);
}

static void
report_refused (struct outbound *out)
{
  struct beryl_event event = { .type = BERYL_EVENT_EXCHANGE_REFUSED };

  event.refused.retry_after_ms
      = engine_parse_retry_after (out->body->str, out->body->len);
  outbound_event (out, &event);
}

static void
report_prefill (struct outbound *out)
{
  struct beryl_event event = { .type = BERYL_EVENT_PREFILL_DONE };
  struct engine_prefill_answer answer;

  if (!engine_parse_prefill (out->body->str, out->body->len, &answer))
    {
      outbound_failed (out, true, "the engine's answer is malformed");
      return;
    }
  event.prefill.kv_handle = answer.kv_handle;
  event.prefill.kv_bytes = answer.kv_bytes;
  event.prefill.cached_tokens = answer.cached_tokens;
  event.prefill.kv_ttl_ms = answer.kv_lives_ms;
  outbound_event (out, &event);
  engine_prefill_clear (&answer);
}

static void
prefill_done (struct http_call_handler *handler, struct http_call *call)
{
  struct outbound *out = (struct outbound *)handler;
  unsigned int status = http_call_status (call);

  out->call = NULL;
  outbound_enter (out);
  if (status == 200)
    report_prefill (out);
  else if (is_refusal (status, false))
    report_refused (out);
  else
    outbound_failed (out, true, "the engine answered with an error");
  outbound_drop (out);
  outbound_leave (out);
}

static const struct http_call_handler_impl prefill_impl = {
  .data = collect,
  .done = prefill_done,
  .failed = outbound_broken,
};

static struct outbound *
start (struct entry *entry, const struct beryl_action *action,
       const struct http_call_handler_impl *impl)
{
  struct outbound *out = outbound_create (entry, action->exchange, impl);

  g_strlcpy (out->endpoint, action->start.endpoint, sizeof out->endpoint);
  out->attempt = action->start.attempt;
  out->stream = action->start.stream;
  return out;
}

/* The call's class as the engines' priority. */
static const char *
priority_of (const struct entry *entry, const struct beryl_call *call)
{
  const struct beryl_service *service
      = beryl_config_service (entry->config, call->service);

  return beryl_class_name (service != NULL ? service->call_class
                                           : BERYL_CLASS_NORMAL);
}

/* The rest is read by the model's name, which the service holds. */
static const char *
model_of (const struct entry *entry, const struct beryl_call *call)
{
  const struct beryl_service *service
      = beryl_config_service (entry->config, call->service);

  return service != NULL ? service->model : "";
}

void
engine_prefill (struct entry *entry, const struct beryl_action *action)
{
  const struct beryl_call *call = action->start.call;
  const struct beryl_endpoint *endpoint
      = entry_endpoint (entry, action->start.endpoint);
  struct outbound *out = start (entry, action, &prefill_impl);
  int64_t left = left_ms (entry, action->start.deadline_ms);
  json_t *body;

  if (endpoint == NULL)
    {
      outbound_fail_later (out, "the endpoint is gone");
      return;
    }
  body = json_pack (
      "{s:o, s:i, s:s, s:s, s:s%, s:i, s:i, s:s, s:I}", "stream",
      stream_json (action->start.stream), "attempt",
      (int)action->start.attempt, "request_id", call->request_id, "model",
      model_of (entry, call), "prompt", call->prompt, call->prompt_bytes,
      "prompt_tokens", (int)call->prompt_tokens, "max_tokens",
      (int)call->max_tokens, "priority", priority_of (entry, call),
      "deadline_ms", (json_int_t)left);
  post (out, endpoint, "/v1/prefill", body, left + GRACE_MS,
        SMALL_ANSWER_BYTES);
}

static void
report_end (struct outbound *out, const struct engine_line *line)
{
  struct beryl_event event = { .type = BERYL_EVENT_EXCHANGE_END };

  out->finished = true;
  event.end.finish_reason = line->finish_reason;
  event.end.answer_bytes = line->answer_bytes;
  outbound_event (out, &event);
}

static void
report_text (struct outbound *out, const struct engine_line *line)
{
  struct beryl_event event = { .type = BERYL_EVENT_EXCHANGE_DATA };

  event.data.attempt = line->attempt;
  event.data.offset = line->offset;
  event.data.bytes = line->text;
  event.data.bytes_count = line->text_bytes;
  event.data.tokens = line->tokens;
  outbound_event (out, &event);
}

/* Drops lines of another attempt: after a cut the engine may still flush
 * them, and their end would be taken for this attempt's.  A malformed line
 * is dropped too; its bytes are then missing at the end. */
static void
take_line (struct outbound *out, const char *text, size_t text_bytes)
{
  struct engine_line line;
  bool read = engine_parse_line (text, text_bytes, &line);

  if (!read || line.attempt != out->attempt)
    counters_add (out->entry->counters, "beryl_engine_lines_dropped_total", "",
                  1);
  else if (line.done)
    report_end (out, &line);
  else
    report_text (out, &line);
  if (read)
    engine_line_clear (&line);
}

static void
take_lines (struct outbound *out)
{
  size_t from = 0;
  char *end;

  while (!out->dropped
         && (end = memchr (out->body->str + from, '\n', out->body->len - from))
                != NULL)
    {
      size_t n = (size_t)(end - out->body->str) - from;

      if (n > 0)
        take_line (out, out->body->str + from, n);
      from += n + 1;
    }
  g_string_erase (out->body, 0, (gssize)from);
}

/* Ends the exchange, whose engine has sent more than it may. */
static void
give_up (struct outbound *out, const char *reason)
{
  http_call_cancel (out->call);
  out->call = NULL;
  outbound_failed (out, true, reason);
}

static void
decode_data (struct http_call_handler *handler, struct http_call *call,
             const void *bytes, size_t bytes_count)
{
  struct outbound *out = (struct outbound *)handler;

  outbound_enter (out);
  collect (handler, call, bytes, bytes_count);
  if (http_call_status (call) == 200)
    take_lines (out);
  else if (out->body->len > SMALL_ANSWER_BYTES)
    give_up (out, HTTP_ENDLESS_ANSWER);
  if (!out->dropped && out->body->len > LINE_BYTES)
    give_up (out, "the engine's line is too long");
  outbound_leave (out);
}

static void
decode_done (struct http_call_handler *handler, struct http_call *call)
{
  struct outbound *out = (struct outbound *)handler;
  unsigned int status = http_call_status (call);

  out->call = NULL;
  outbound_enter (out);
  if (is_refusal (status, true))
    report_refused (out);
  else if (!out->finished)
    outbound_failed (out, true,
                     status == 200 ? "the answer ended early"
                                   : "the engine answered with an error");
  outbound_drop (out);
  outbound_leave (out);
}

static const struct http_call_handler_impl decode_impl = {
  .data = decode_data,
  .done = decode_done,
  .failed = outbound_broken,
};

void
engine_decode (struct entry *entry, const struct beryl_action *action)
{
  const struct beryl_call *call = action->start.call;
  const struct beryl_endpoint *endpoint
      = entry_endpoint (entry, action->start.endpoint);
  const struct beryl_endpoint *source
      = entry_endpoint (entry, action->start.kv_endpoint);
  struct outbound *out = start (entry, action, &decode_impl);
  char kv_address[96] = "";
  json_t *body;

  if (endpoint == NULL)
    {
      outbound_fail_later (out, "the endpoint is gone");
      return;
    }
  if (source != NULL)
    g_snprintf (kv_address, sizeof kv_address, "%s:%u", source->address,
                source->port);
  body = json_pack ("{s:o, s:i, s:s, s:s, s:s, s:I, s:i, s:s}", "stream",
                    stream_json (action->start.stream), "attempt",
                    (int)action->start.attempt, "request_id", call->request_id,
                    "kv_handle", action->start.kv_handle, "kv_address",
                    kv_address, "offset", (json_int_t)action->start.offset,
                    "max_tokens", (int)call->max_tokens, "priority",
                    priority_of (entry, call));
  post (out, endpoint, "/v1/decode", body,
        left_ms (entry, action->start.deadline_ms) + GRACE_MS, 0);
}

static void
cancel_done (struct http_call_handler *handler, struct http_call *call)
{
  struct outbound *out = (struct outbound *)handler;
  struct beryl_event event = { .type = BERYL_EVENT_CANCEL_CONFIRMED };

  out->call = NULL;
  event.cancel.endpoint = out->endpoint;
  event.cancel.stream = out->stream;
  outbound_enter (out);
  /* Without this word the cancel is repeated: a reply may be lost, and an
   * engine may still be importing. */
  if (http_call_status (call) == 200
      && engine_parse_released (out->body->str, out->body->len)
      && !out->entry->closing)
    entry_event (out->entry, &event);
  outbound_drop (out);
  outbound_leave (out);
}

static void
cancel_failed (struct http_call_handler *handler, struct http_call *call,
               bool sent, const char *reason)
{
  struct outbound *out = (struct outbound *)handler;

  counters_add (out->entry->counters, "beryl_cancels_failed_total", "", 1);
  outbound_drop (out);
}

static const struct http_call_handler_impl cancel_impl = {
  .data = collect,
  .done = cancel_done,
  .failed = cancel_failed,
};

void
engine_cancel (struct entry *entry, const struct beryl_action *action)
{
  const struct beryl_endpoint *endpoint
      = entry_endpoint (entry, action->hold.endpoint);
  struct outbound *out;
  char incarnation[24];
  json_int_t counter = (json_int_t)action->hold.stream.counter;

  if (endpoint == NULL)
    return;
  counters_add (entry->counters, "beryl_cancels_total", "", 1);
  out = outbound_create (entry, 0, &cancel_impl);
  g_strlcpy (out->endpoint, action->hold.endpoint, sizeof out->endpoint);
  out->stream = action->hold.stream;
  g_snprintf (incarnation, sizeof incarnation, "%" G_GUINT64_FORMAT,
              action->hold.stream.incarnation);
  post (out, endpoint, "/v1/cancel",
        json_pack ("{s:s, s:I, s:I}", "incarnation", incarnation, "from",
                   counter, "to", counter),
        CANCEL_TIMEOUT_MS, SMALL_ANSWER_BYTES);
}
