#include "outbound.h"

#include <string.h>

#include "peers.h"

struct outbound *
outbound_create (struct entry *entry, uint64_t exchange,
                 const struct http_call_handler_impl *impl)
{
  struct outbound *out = g_new0 (struct outbound, 1);

  out->base.impl = impl;
  out->entry = entry;
  out->exchange = exchange;
  out->body = g_string_new (NULL);
  if (exchange != 0)
    g_hash_table_insert (entry->exchanges, &out->exchange, out);
  return out;
}

static void
outbound_free (struct outbound *out)
{
  loop_timer_stop (out->failure);
  g_string_free (out->body, TRUE);
  g_free (out);
}

static void
outbound_unlink (struct outbound *out)
{
  if (out->exchange != 0 && !out->dropped)
    g_hash_table_remove (out->entry->exchanges, &out->exchange);
  out->dropped = true;
}

void
outbound_drop (struct outbound *out)
{
  outbound_unlink (out);
  if (out->depth == 0)
    outbound_free (out);
}

/* An event may abort its own exchange; what a callback still uses is only
 * released when the callback leaves. */
void
outbound_enter (struct outbound *out)
{
  out->depth++;
}

void
outbound_leave (struct outbound *out)
{
  if (--out->depth == 0 && out->dropped)
    outbound_free (out);
}

void
outbound_event (struct outbound *out, struct beryl_event *event)
{
  if (out->dropped || out->entry->closing || out->exchange == 0)
    return;
  event->exchange = out->exchange;
  entry_event (out->entry, event);
}

void
outbound_failed (struct outbound *out, bool sent, const char *reason)
{
  struct beryl_event event = { .type = BERYL_EVENT_EXCHANGE_FAILED };

  event.failed.sent = sent;
  event.failed.reason = reason;
  outbound_enter (out);
  outbound_event (out, &event);
  outbound_unlink (out);
  outbound_leave (out);
}

static void
fail_now (void *user)
{
  struct outbound *out = user;

  outbound_failed (out, false, out->reason);
}

void
outbound_fail_later (struct outbound *out, const char *reason)
{
  out->reason = reason;
  out->failure = loop_timer_start (out->entry->loop, 0, 0, fail_now, out);
}

void
outbound_broken (struct http_call_handler *handler, struct http_call *call,
                 bool sent, const char *reason)
{
  struct outbound *out = (struct outbound *)handler;

  out->call = NULL;
  outbound_failed (out, sent, reason);
}

void
outbound_drop_all (struct entry *entry)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, entry->exchanges);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct outbound *out = value;

      if (out->call != NULL)
        continue;
      g_hash_table_iter_remove (&iter);
      out->exchange = 0;
      outbound_drop (out);
    }
}

static void
abort_exchange (struct entry *entry, const struct beryl_action *action)
{
  struct outbound *out
      = g_hash_table_lookup (entry->exchanges, &action->exchange);

  if (out == NULL)
    {
      peers_abort (entry->peers, action->exchange);
      return;
    }
  if (out->call != NULL)
    http_call_cancel (out->call);
  out->call = NULL;
  outbound_drop (out);
}

static void
pause_exchange (struct entry *entry, const struct beryl_action *action)
{
  struct outbound *out
      = g_hash_table_lookup (entry->exchanges, &action->exchange);

  if (out != NULL && out->call != NULL)
    http_call_pause (out->call, action->pause.paused);
}

void
outbound_act (struct entry *entry, const struct beryl_action *action)
{
  switch (action->type)
    {
    case BERYL_ACTION_PREFILL:
      engine_prefill (entry, action);
      return;
    case BERYL_ACTION_DECODE:
      engine_decode (entry, action);
      return;
    case BERYL_ACTION_CANCEL:
      engine_cancel (entry, action);
      return;
    case BERYL_ACTION_SERVICE:
      plain_call (entry, action);
      return;
    case BERYL_ACTION_FORWARD:
      peers_forward (entry->peers, action);
      return;
    case BERYL_ACTION_ABORT:
      abort_exchange (entry, action);
      return;
    case BERYL_ACTION_PAUSE:
      pause_exchange (entry, action);
      return;
    default:
      return;
    }
}
