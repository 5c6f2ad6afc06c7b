#include <string.h>

#include "peers_private.h"

#define DRAINED_BYTES 32768
#define PENDING_LOW_BYTES 65536

static struct entry_request *
open_request (struct peer *peer, uint64_t id, const char *request_id)
{
  struct entry *entry = peer->peers->entry;
  struct entry_request *request = g_new0 (struct entry_request, 1);

  request->handle = entry_new_handle (entry);
  request->peer = peer;
  request->peer_id = id;
  g_strlcpy (request->request_id, request_id, sizeof request->request_id);
  g_hash_table_insert (entry->open, &request->handle, request);
  g_hash_table_insert (peer->serving, &request->peer_id, request);
  return request;
}

static void
free_request (struct entry *entry, struct entry_request *request)
{
  g_hash_table_remove (entry->open, &request->handle);
  g_free (request);
}

static void
serve_forward (struct peer *peer, const struct peer_message *message)
{
  struct entry *entry = peer->peers->entry;
  struct entry_request *request
      = open_request (peer, message->id, message->forward.request_id);
  struct beryl_event event = { .type = BERYL_EVENT_CALL };

  peer_forward_to_call (&message->forward, request->handle, &event.call,
                        loop_now_ms (entry->loop));
  event.request = request->handle;
  entry_event (entry, &event);
}

static void
serve_fetch (struct peer *peer, const struct peer_message *message)
{
  struct entry *entry = peer->peers->entry;
  struct entry_request *request
      = open_request (peer, message->id, message->fetch.request_id);
  struct beryl_event event = { .type = BERYL_EVENT_FETCH };

  event.request = request->handle;
  event.fetch.organisation = message->fetch.organisation;
  event.fetch.id_or_key = message->fetch.request_id;
  event.fetch.offset = message->fetch.offset;
  entry_event (entry, &event);
}

static void
serve_caller (struct peer *peer, const struct peer_message *message)
{
  struct entry *entry = peer->peers->entry;
  struct entry_request *request
      = g_hash_table_lookup (peer->serving, &message->id);
  struct beryl_event event = { .type = message->type == PEER_CALLER_GONE
                                           ? BERYL_EVENT_CALLER_GONE
                                           : BERYL_EVENT_CALLER_CAUGHT_UP };

  if (request == NULL)
    return;
  event.request = request->handle;
  entry_event (entry, &event);
  g_hash_table_remove (peer->serving, &message->id);
  free_request (entry, request);
}

void
serve_message (struct peer *peer, const struct peer_message *message)
{
  switch (message->type)
    {
    case PEER_FORWARD:
      serve_forward (peer, message);
      return;
    case PEER_FETCH:
      serve_fetch (peer, message);
      return;
    case PEER_CALLER_GONE:
    case PEER_CALLER_DRAINED:
      serve_caller (peer, message);
      return;
    default:
      return;
    }
}

void
serve_broken (struct peer *peer)
{
  struct entry *entry = peer->peers->entry;
  GList *all = g_hash_table_get_values (peer->serving);

  g_hash_table_remove_all (peer->serving);
  for (GList *l = all; l != NULL; l = l->next)
    {
      struct entry_request *request = l->data;
      struct beryl_event event = {
        .type = BERYL_EVENT_CALLER_GONE,
        .request = request->handle,
      };

      request->peer = NULL;
      entry_event (entry, &event);
      free_request (entry, request);
    }
  g_list_free (all);
}

/* Bytes that the link has taken count as read while an answer is made; the
 * last word about a whole answer is the other node's. */
void
serve_sweep (struct peer *peer)
{
  GList *all;

  if (link_pending_bytes (peer->link) > PENDING_LOW_BYTES)
    return;
  all = g_hash_table_get_values (peer->serving);
  for (GList *l = all; l != NULL; l = l->next)
    {
      struct entry_request *request = l->data;
      struct beryl_event event = {
        .type = BERYL_EVENT_CALLER_CAUGHT_UP,
        .request = request->handle,
      };

      if (request->answered || request->peer_queued_bytes < DRAINED_BYTES)
        continue;
      request->peer_queued_bytes = 0;
      entry_event (peer->peers->entry, &event);
    }
  g_list_free (all);
}

static void
fill_error (struct peer_error *error, const struct beryl_action *action)
{
  error->problem = action->error.problem;
  error->outcome = action->error.outcome;
  error->retry_after_ms = action->error.retry_after_ms;
  g_strlcpy (error->detail,
             action->error.detail != NULL ? action->error.detail : "",
             sizeof error->detail);
}

static void
fill_reply (struct peer_message *m, struct entry_request *request,
            const struct beryl_action *action)
{
  switch (action->type)
    {
    case BERYL_ACTION_REPLY_HEAD:
      m->type = PEER_HEAD;
      m->head.status = action->head.status;
      g_strlcpy (m->head.content_type,
                 action->head.content_type != NULL ? action->head.content_type
                                                   : "",
                 sizeof m->head.content_type);
      return;
    case BERYL_ACTION_REPLY_DATA:
      m->type = PEER_DATA;
      m->data.offset = action->data.offset;
      m->data.bytes = action->data.bytes;
      m->data.bytes_count = action->data.bytes_count;
      m->data.tokens = action->data.tokens;
      request->peer_queued_bytes += action->data.bytes_count;
      request->peer_sent_bytes
          = action->data.offset + action->data.bytes_count;
      return;
    case BERYL_ACTION_REPLY_END:
      m->type = PEER_END;
      m->end.answer_bytes = request->peer_sent_bytes;
      m->end.prompt_tokens = action->end.prompt_tokens;
      m->end.completion_tokens = action->end.completion_tokens;
      if (action->end.finish_reason != NULL)
        g_strlcpy (m->end.finish_reason, action->end.finish_reason,
                   sizeof m->end.finish_reason);
      return;
    case BERYL_ACTION_REPLY_ERROR:
      m->type = PEER_ERROR;
      fill_error (&m->error, action);
      return;
    default:
      m->type = PEER_CUT;
      return;
    }
}

void
peer_reply (struct entry_request *request, const struct beryl_action *action)
{
  struct peer_message *m = g_new0 (struct peer_message, 1);

  m->id = request->peer_id;
  fill_reply (m, request, action);
  request->answered = m->type != PEER_HEAD && m->type != PEER_DATA;
  /* A queue that is full would leave a hole in the answer; the end's length
   * lets the asker find it, and it takes the answer for cut. */
  if (request->peer->link != NULL)
    peer_send (request->peer, m);
  g_free (m);
}
