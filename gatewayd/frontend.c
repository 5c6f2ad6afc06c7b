#include "frontend.h"

#include <string.h>

#include "handoff.h"

struct frontend
{
  struct h1_server_handler base;
  struct loop *loop;
  const struct gateway_wire *wire;
  struct beryl_forward *forward;
  struct h1_server *server;
  GHashTable *requests; /* request number to h1_exchange */
  uint64_t last_request;
  const char *key; /* "" until it is known */
};

/* State of a request, attached to its h1_exchange: the request and response at
 * this server, as opposed to the forwarder's exchanges with endpoints. */
struct request_state
{
  uint64_t request; /* the table's key points here */
  bool finished;    /* removed from the table */
  char id[BERYL_REQUEST_ID_BYTES];
};

static struct h1_exchange *
find_exchange (const struct frontend *frontend, uint64_t request)
{
  return g_hash_table_lookup (frontend->requests, &request);
}

/* Removes a request from the table and marks it as finished, so that
 * exchange_closed does not cancel it at the forwarder. */
static struct h1_exchange *
detach_exchange (struct frontend *frontend, uint64_t request)
{
  struct h1_exchange *ex = find_exchange (frontend, request);
  struct request_state *state;

  if (ex == NULL)
    return NULL;
  state = h1_exchange_user (ex);
  state->finished = true;
  g_hash_table_remove (frontend->requests, &request);
  return ex;
}

static void
request_arrived (struct h1_server_handler *handler, struct h1_exchange *ex)
{
  struct frontend *frontend = (struct frontend *)handler;
  struct request_state *state = g_new0 (struct request_state, 1);
  struct beryl_forward_request request = { 0 };
  struct beryl_handoff handoff;
  int64_t now_ms = loop_now_ms (frontend->loop);

  state->request = ++frontend->last_request;
  h1_exchange_set_user (ex, state);
  g_hash_table_insert (frontend->requests, &state->request, ex);
  frontend->wire->impl->read_request (frontend->wire, h1_exchange_head (ex),
                                      now_ms, &request);
  g_strlcpy (state->id, request.id, sizeof state->id);
  request.handle = state->request;
  request.arrived_ms = now_ms;
  if (handoff_read (frontend->key, h1_exchange_head (ex), &handoff))
    request.handoff = &handoff;
  beryl_forward_submit (frontend->forward, &request, now_ms);
}

static void
caller_caught_up (struct h1_server_handler *handler, struct h1_exchange *ex)
{
  struct frontend *frontend = (struct frontend *)handler;
  const struct request_state *state = h1_exchange_user (ex);

  if (!state->finished)
    beryl_forward_set_caller_paused (frontend->forward, state->request, false);
}

static void
exchange_closed (struct h1_server_handler *handler, struct h1_exchange *ex,
                 bool whole)
{
  struct frontend *frontend = (struct frontend *)handler;
  struct request_state *state = h1_exchange_user (ex);

  if (!state->finished)
    {
      detach_exchange (frontend, state->request);
      beryl_forward_cancel (frontend->forward, state->request,
                            loop_now_ms (frontend->loop));
    }
  else if (!whole)
    g_info ("request id=%s connection closed before the answer was written",
            state->id);
  g_free (state);
}

static const struct h1_server_handler_impl handler_impl = {
  .request = request_arrived,
  .drained = caller_caught_up,
  .closed = exchange_closed,
};

struct frontend *
frontend_create (struct loop *loop, const struct gateway_wire *wire,
                 const struct gateway_address *address,
                 struct beryl_forward *forward, struct beryl_error *error)
{
  struct frontend *frontend = g_new0 (struct frontend, 1);

  frontend->base.impl = &handler_impl;
  frontend->loop = loop;
  frontend->wire = wire;
  frontend->forward = forward;
  frontend->key = "";
  frontend->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  frontend->server = h1_server_create (loop, address->ip, address->port,
                                       &frontend->base, error);
  if (frontend->server != NULL)
    return frontend;
  frontend_destroy (frontend);
  return NULL;
}

void
frontend_set_key (struct frontend *frontend, const char *key)
{
  frontend->key = key;
}

void
frontend_destroy (struct frontend *frontend)
{
  if (frontend == NULL)
    return;
  h1_server_destroy (frontend->server);
  g_hash_table_destroy (frontend->requests);
  g_free (frontend);
}

struct h1_server *
frontend_server (struct frontend *frontend)
{
  return frontend->server;
}

const struct h1_head *
frontend_request (const struct frontend *frontend, uint64_t request,
                  const char **body, size_t *body_bytes)
{
  struct h1_exchange *ex = find_exchange (frontend, request);

  if (ex == NULL)
    return NULL;
  *body = h1_exchange_body (ex, body_bytes);
  return h1_exchange_head (ex);
}

/* Returns the fields of HEAD to forward: all except hop-by-hop and framing
 * fields. */
static GArray *
end_to_end_fields (const struct h1_head *head)
{
  GArray *fields = g_array_new (FALSE, FALSE, sizeof (struct h1_field));

  for (size_t i = 0; i < head->field_count; i++)
    if (!h1_head_hop_by_hop (head, head->fields[i].name)
        && g_ascii_strcasecmp (head->fields[i].name, GATEWAY_HANDOFF_FIELD)
               != 0
        && g_ascii_strcasecmp (head->fields[i].name, "content-length") != 0)
      g_array_append_val (fields, head->fields[i]);
  return fields;
}

void
frontend_begin_response (struct frontend *frontend, uint64_t request,
                         const struct h1_head *head, bool has_length,
                         uint64_t length)
{
  struct h1_exchange *ex = find_exchange (frontend, request);
  GArray *fields;

  if (ex == NULL || head == NULL)
    return;
  fields = end_to_end_fields (head);
  h1_exchange_begin (
      ex, head->status, head->reason,
      (const struct h1_field *)(const void *)fields->data, fields->len,
      has_length ? H1_FRAMING_LENGTH : H1_FRAMING_CHUNKED, length);
  g_array_free (fields, TRUE);
}

/* Unsent bytes above which reading from the endpoint is paused, so that a slow
 * caller's whole response is not buffered here. */
#define PENDING_MAX_BYTES 65536

void
frontend_write (struct frontend *frontend, uint64_t request, const char *bytes,
                size_t bytes_count)
{
  struct h1_exchange *ex = find_exchange (frontend, request);

  if (ex == NULL)
    return;
  h1_exchange_write (ex, bytes, bytes_count);
  if (h1_exchange_pending_bytes (ex) > PENDING_MAX_BYTES)
    beryl_forward_set_caller_paused (frontend->forward, request, true);
}

void
frontend_finish (struct frontend *frontend, uint64_t request)
{
  struct h1_exchange *ex = detach_exchange (frontend, request);

  if (ex != NULL)
    h1_exchange_finish (ex);
}

void
frontend_truncate (struct frontend *frontend, uint64_t request)
{
  struct h1_exchange *ex = detach_exchange (frontend, request);

  if (ex != NULL)
    h1_exchange_cut (ex);
}

static void
field_free (void *pointer)
{
  struct h1_field *field = pointer;

  g_free ((char *)field->value);
  g_free (field);
}

void
frontend_refuse (struct frontend *frontend, uint64_t request,
                 const struct beryl_refusal *refusal)
{
  struct h1_exchange *ex = detach_exchange (frontend, request);
  struct request_state *state;
  GPtrArray *pointers;
  struct h1_field *fields;
  size_t count;

  if (ex == NULL)
    return;
  state = h1_exchange_user (ex);
  pointers = g_ptr_array_new_with_free_func (field_free);
  frontend->wire->impl->format_refusal (frontend->wire, refusal, state->id,
                                        pointers);
  count = pointers->len;
  fields = g_new (struct h1_field, count + 1);
  for (guint i = 0; i < count; i++)
    fields[i] = *(struct h1_field *)g_ptr_array_index (pointers, i);
  if (refusal->declined)
    fields[count++] = (struct h1_field){ GATEWAY_HANDOFF_FIELD, "declined" };
  h1_exchange_reply (ex, refusal->status, fields, count, "", 0);
  g_free (fields);
  g_ptr_array_free (pointers, TRUE);
}
