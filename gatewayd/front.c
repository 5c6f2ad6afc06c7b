#include "front.h"

#include <string.h>

struct front
{
  struct h1_server_handler base;
  struct loop *loop;
  const struct gateway_wire *wire;
  struct beryl_forward *forward;
  struct h1_server *server;
  GHashTable *open; /* number to struct h1_exchange */
  uint64_t last_request;
};

/* What an exchange of the server keeps of its request. */
struct caller
{
  uint64_t request; /* first, so that it serves as the table's key */
  bool over;        /* the forwarder has ended it */
  char id[BERYL_REQUEST_ID_BYTES];
};

static struct h1_exchange *
exchange_of (const struct front *front, uint64_t request)
{
  return g_hash_table_lookup (front->open, &request);
}

/* Takes a request out before its answer ends, so that the end of the
 * exchange is not told to the forwarder, which knows. */
static struct h1_exchange *
take (struct front *front, uint64_t request)
{
  struct h1_exchange *ex = exchange_of (front, request);
  struct caller *caller;

  if (ex == NULL)
    return NULL;
  caller = h1_exchange_user (ex);
  caller->over = true;
  g_hash_table_remove (front->open, &request);
  return ex;
}

static void
request_arrived (struct h1_server_handler *handler, struct h1_exchange *ex)
{
  struct front *front = (struct front *)handler;
  struct caller *caller = g_new0 (struct caller, 1);
  struct beryl_forward_request request = { 0 };
  int64_t now_ms = loop_now_ms (front->loop);

  caller->request = ++front->last_request;
  h1_exchange_set_user (ex, caller);
  g_hash_table_insert (front->open, &caller->request, ex);
  front->wire->impl->read_request (front->wire, h1_exchange_head (ex), now_ms,
                                   &request);
  g_strlcpy (caller->id, request.id, sizeof caller->id);
  request.handle = caller->request;
  request.arrived_ms = now_ms;
  beryl_forward_submit (front->forward, &request, now_ms);
}

static void
caller_drained (struct h1_server_handler *handler, struct h1_exchange *ex)
{
  struct front *front = (struct front *)handler;
  const struct caller *caller = h1_exchange_user (ex);

  if (!caller->over)
    beryl_forward_set_caller_paused (front->forward, caller->request, false);
}

static void
exchange_closed (struct h1_server_handler *handler, struct h1_exchange *ex,
                 bool whole)
{
  struct front *front = (struct front *)handler;
  struct caller *caller = h1_exchange_user (ex);

  if (!caller->over)
    {
      take (front, caller->request);
      beryl_forward_cancel (front->forward, caller->request,
                            loop_now_ms (front->loop));
    }
  g_free (caller);
}

static const struct h1_server_handler_impl handler_impl = {
  .request = request_arrived,
  .drained = caller_drained,
  .closed = exchange_closed,
};

struct front *
front_create (struct loop *loop, const struct gateway_wire *wire,
              const struct gateway_address *address,
              struct beryl_forward *forward, struct beryl_error *error)
{
  struct front *front = g_new0 (struct front, 1);

  front->base.impl = &handler_impl;
  front->loop = loop;
  front->wire = wire;
  front->forward = forward;
  front->open = g_hash_table_new (g_int64_hash, g_int64_equal);
  front->server = h1_server_create (loop, address->ip, address->port,
                                    &front->base, error);
  if (front->server != NULL)
    return front;
  front_destroy (front);
  return NULL;
}

void
front_destroy (struct front *front)
{
  if (front == NULL)
    return;
  h1_server_destroy (front->server);
  g_hash_table_destroy (front->open);
  g_free (front);
}

struct h1_server *
front_server (struct front *front)
{
  return front->server;
}

const struct h1_head *
front_request (const struct front *front, uint64_t request, const char **body,
               size_t *body_bytes)
{
  struct h1_exchange *ex = exchange_of (front, request);

  if (ex == NULL)
    return NULL;
  *body = h1_exchange_body (ex, body_bytes);
  return h1_exchange_head (ex);
}

/* Passes on all fields but those of the endpoint's connection and framing. */
static GArray *
fields_to_pass (const struct h1_head *head)
{
  GArray *fields = g_array_new (FALSE, FALSE, sizeof (struct h1_field));

  for (size_t i = 0; i < head->field_count; i++)
    if (!h1_head_hop_by_hop (head, head->fields[i].name)
        && g_ascii_strcasecmp (head->fields[i].name, "content-length") != 0)
      g_array_append_val (fields, head->fields[i]);
  return fields;
}

void
front_begin (struct front *front, uint64_t request, const struct h1_head *head,
             bool has_length, uint64_t length)
{
  struct h1_exchange *ex = exchange_of (front, request);
  GArray *fields;

  if (ex == NULL || head == NULL)
    return;
  fields = fields_to_pass (head);
  h1_exchange_begin (
      ex, head->status, head->reason,
      (const struct h1_field *)(const void *)fields->data, fields->len,
      has_length ? H1_FRAMING_LENGTH : H1_FRAMING_CHUNKED, length);
  g_array_free (fields, TRUE);
}

/* A caller that does not read holds its endpoint back, instead of having
 * the whole answer kept here. */
#define SLOW_BYTES 65536

void
front_data (struct front *front, uint64_t request, const char *bytes,
            size_t bytes_count)
{
  struct h1_exchange *ex = exchange_of (front, request);

  if (ex == NULL)
    return;
  h1_exchange_write (ex, bytes, bytes_count);
  if (h1_exchange_pending_bytes (ex) > SLOW_BYTES)
    beryl_forward_set_caller_paused (front->forward, request, true);
}

void
front_end (struct front *front, uint64_t request)
{
  struct h1_exchange *ex = take (front, request);

  if (ex != NULL)
    h1_exchange_finish (ex);
}

void
front_cut (struct front *front, uint64_t request)
{
  struct h1_exchange *ex = take (front, request);

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
front_refuse (struct front *front, uint64_t request,
              const struct beryl_refusal *refusal)
{
  struct h1_exchange *ex = take (front, request);
  struct caller *caller;
  GPtrArray *pointers;
  struct h1_field *fields;

  if (ex == NULL)
    return;
  caller = h1_exchange_user (ex);
  pointers = g_ptr_array_new_with_free_func (field_free);
  front->wire->impl->format_refusal (front->wire, refusal, caller->id,
                                     pointers);
  fields = g_new (struct h1_field, pointers->len + 1);
  for (guint i = 0; i < pointers->len; i++)
    fields[i] = *(struct h1_field *)g_ptr_array_index (pointers, i);
  h1_exchange_reply (ex, refusal->status, fields, pointers->len, "", 0);
  g_free (fields);
  g_ptr_array_free (pointers, TRUE);
}
