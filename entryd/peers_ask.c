#include <string.h>

#include "peers_private.h"
#include "reply.h"

static const struct local_member *
member_of_incarnation (const struct entry *entry, uint64_t incarnation)
{
  for (size_t i = 0; i < entry->member_count; i++)
    if (entry->members[i].incarnation == incarnation)
      return &entry->members[i];
  return NULL;
}

static struct asked *
ask (struct peers *peers, uint64_t incarnation, struct peer_message *message)
{
  const struct local_member *member
      = member_of_incarnation (peers->entry, incarnation);
  struct peer *peer
      = member != NULL ? peers_outgoing (peers, member->node) : NULL;
  struct asked *asked;

  message->id = ++peers->last_id;
  if (peer == NULL || !peer_send (peer, message))
    return NULL;
  asked = g_new0 (struct asked, 1);
  asked->id = message->id;
  asked->peer = peer;
  g_hash_table_insert (peers->asked, &asked->id, asked);
  return asked;
}

/* A forward that cannot be made, told from the loop. */
struct unreachable
{
  struct entry *entry;
  struct loop_timer *timer;
  uint64_t exchange;
};

static void
tell_unreachable (void *user)
{
  struct unreachable *u = user;
  struct beryl_event event = {
    .type = BERYL_EVENT_EXCHANGE_FAILED,
    .exchange = u->exchange,
  };

  event.failed.reason = "the node of the key is not known or away";
  loop_timer_stop (u->timer);
  entry_event (u->entry, &event);
  g_free (u);
}

void
peers_forward (struct peers *peers, const struct beryl_action *action)
{
  struct peer_message *message = g_new0 (struct peer_message, 1);
  struct entry_request *request
      = g_hash_table_lookup (peers->entry->open, &action->request);
  struct asked *asked;

  /* No engine is to be warmed here for what another node runs. */
  if (request != NULL)
    request->waiting = false;
  message->type = PEER_FORWARD;
  peer_forward_from_call (&message->forward, action->forward.call,
                          loop_now_ms (peers->entry->loop));
  asked = ask (peers, action->forward.incarnation, message);
  g_free (message);
  counters_add (peers->entry->counters, "beryl_forwards_total",
                asked != NULL ? "result=\"sent\"" : "result=\"unreachable\"",
                1);
  if (asked != NULL)
    {
      asked->exchange = action->exchange;
      asked->request = action->request;
      g_hash_table_insert (peers->forwards, &asked->exchange, asked);
    }
  else
    {
      struct unreachable *u = g_new0 (struct unreachable, 1);

      u->entry = peers->entry;
      u->exchange = action->exchange;
      u->timer
          = loop_timer_start (peers->entry->loop, 0, 0, tell_unreachable, u);
    }
}

static void
asked_end (struct peers *peers, struct asked *asked)
{
  asked->ended = true;
  if (asked->exchange != 0)
    g_hash_table_remove (peers->forwards, &asked->exchange);
}

static void
asked_free (struct peers *peers, struct asked *asked)
{
  asked_end (peers, asked);
  g_hash_table_remove (peers->asked, &asked->id);
}

bool
peers_abort (struct peers *peers, uint64_t exchange)
{
  struct asked *asked = g_hash_table_lookup (peers->forwards, &exchange);
  struct peer_message message = { .type = PEER_CALLER_GONE };

  if (asked == NULL)
    return false;
  message.id = asked->id;
  peer_send (asked->peer, &message);
  asked_free (peers, asked);
  return true;
}

bool
peers_fetch (struct peers *peers, struct entry_request *request,
             uint64_t incarnation, const struct peer_fetch *fetch)
{
  struct peer_message *message = g_new0 (struct peer_message, 1);
  struct asked *asked;

  message->type = PEER_FETCH;
  message->fetch = *fetch;
  asked = ask (peers, incarnation, message);
  g_free (message);
  if (asked == NULL)
    return false;
  asked->request = request->handle;
  return true;
}

static struct asked *
asked_of_request (struct peers *peers, uint64_t request)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->asked);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct asked *)value)->request == request)
      return value;
  return NULL;
}

void
peers_caller_ended (struct peers *peers, struct entry_request *request,
                    bool whole)
{
  struct asked *asked = asked_of_request (peers, request->handle);
  struct peer_message message
      = { .type = whole ? PEER_CALLER_DRAINED : PEER_CALLER_GONE };

  if (asked == NULL)
    return;
  message.id = asked->id;
  peer_send (asked->peer, &message);
  asked_free (peers, asked);
}

/* Messages of a forwarded call become events of its exchange. */
static void
forward_event (struct peers *peers, struct asked *asked,
               const struct peer_message *m)
{
  struct beryl_event event = { .exchange = asked->exchange };

  switch (m->type)
    {
    case PEER_HEAD:
      event.type = BERYL_EVENT_EXCHANGE_HEAD;
      event.head.status = m->head.status;
      event.head.content_type = m->head.content_type;
      break;
    case PEER_DATA:
      event.type = BERYL_EVENT_EXCHANGE_DATA;
      event.data.offset = m->data.offset;
      event.data.bytes = m->data.bytes;
      event.data.bytes_count = m->data.bytes_count;
      event.data.tokens = m->data.tokens;
      break;
    case PEER_END:
      event.type = BERYL_EVENT_EXCHANGE_END;
      event.end.finish_reason = m->end.finish_reason;
      event.end.answer_bytes = m->end.answer_bytes;
      asked_end (peers, asked);
      break;
    case PEER_ERROR:
      event.type = BERYL_EVENT_FORWARD_ERROR;
      event.forward_error.problem = m->error.problem;
      event.forward_error.outcome = m->error.outcome;
      event.forward_error.retry_after_ms = m->error.retry_after_ms;
      event.forward_error.detail = m->error.detail;
      asked_end (peers, asked);
      break;
    default:
      event.type = BERYL_EVENT_EXCHANGE_FAILED;
      event.failed.sent = true;
      event.failed.reason = "the other node cut the answer";
      asked_end (peers, asked);
    }
  entry_event (peers->entry, &event);
}

/* Messages of a fetch are the answer itself. */
static void
fetch_reply (struct peers *peers, struct asked *asked,
             const struct peer_message *m)
{
  struct beryl_action action = { .request = asked->request };

  switch (m->type)
    {
    case PEER_HEAD:
      action.type = BERYL_ACTION_REPLY_HEAD;
      action.head.status = m->head.status;
      action.head.content_type = m->head.content_type;
      break;
    case PEER_DATA:
      action.type = BERYL_ACTION_REPLY_DATA;
      action.data.bytes = m->data.bytes;
      action.data.bytes_count = m->data.bytes_count;
      break;
    case PEER_END:
      action.type = BERYL_ACTION_REPLY_END;
      break;
    case PEER_ERROR:
      action.type = BERYL_ACTION_REPLY_ERROR;
      action.error.problem = m->error.problem;
      action.error.outcome = m->error.outcome;
      action.error.retry_after_ms = m->error.retry_after_ms;
      action.error.detail = m->error.detail;
      break;
    default:
      action.type = BERYL_ACTION_REPLY_TRUNCATE;
    }
  reply_act (peers->entry, &action);
}

void
ask_message (struct peer *peer, const struct peer_message *message)
{
  struct asked *asked = g_hash_table_lookup (peer->peers->asked, &message->id);

  if (asked == NULL || asked->ended)
    return;
  if (asked->exchange != 0)
    forward_event (peer->peers, asked, message);
  else
    fetch_reply (peer->peers, asked, message);
}

/* The other node may be dead or the connection cut: whether it ran the call
 * is not known here. */
void
ask_broken (struct peer *peer)
{
  struct peer_message cut = { .type = PEER_CUT };
  GList *all = g_hash_table_get_values (peer->peers->asked);

  for (GList *l = all; l != NULL; l = l->next)
    {
      struct asked *asked = l->data;

      if (asked->peer != peer)
        continue;
      if (!asked->ended && asked->exchange != 0)
        forward_event (peer->peers, asked, &cut);
      else if (!asked->ended)
        fetch_reply (peer->peers, asked, &cut);
      g_hash_table_remove (peer->peers->asked, &asked->id);
    }
  g_list_free (all);
}
