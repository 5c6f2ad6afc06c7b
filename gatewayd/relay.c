#include "relay.h"

#include <glib.h>
#include <string.h>

#include "beryl/relay.h"
#include "store.h"
#include "wire/link.h"

/* Interval at which the candidates for watchers and the silence of watchers
 * are checked. */
#define ROLE_CHECK_MS 100
/* Watchers in each data centre.  If there were only one, its loss would affect
 * all of its followers at once. */
#define WATCHER_COUNT 2
#define ROLE_NAME "endpoint-watcher"
/* Maximum size of the changes in one message, which must fit into a datagram
 * together with its other fields. */
#define MESSAGE_MAX_BYTES (DATAGRAM_MAX_BYTES - 64)
/* Encoded size of a change, less its name and value. */
#define CHANGE_OVERHEAD_BYTES 24

struct relay
{
  struct loop *loop;
  const struct gateway_settings *settings;
  struct platform_source *source;
  struct members *members;
  struct counters *counters;
  struct beryl_relay *core; /* decides the role */
  enum beryl_relay_role role;
  struct loop_timer *role_timer;
};

static void
update_role (void *user)
{
  struct relay *r = user;
  enum beryl_relay_role role;

  beryl_relay_set_nodes (
      r->core, members_local_count (r->members),
      members_is_local_candidate (r->members, ROLE_NAME, WATCHER_COUNT));
  role = beryl_relay_role (r->core, loop_now_ms (r->loop));
  if (role == r->role)
    return;
  g_info ("endpoint list role=%s before=%s", beryl_relay_role_name (role),
          beryl_relay_role_name (r->role));
  r->role = role;
  platform_source_set_role (
      r->source, role,
      beryl_relay_poll_timeout_ms (r->core, STORE_WATCH_SPACING_MS));
}

struct relay *
relay_create (struct loop *loop, const struct gateway_settings *settings,
              struct platform_source *source, struct members *members,
              struct counters *counters)
{
  struct relay *r = g_new0 (struct relay, 1);

  r->loop = loop;
  r->settings = settings;
  r->source = source;
  r->members = members;
  r->counters = counters;
  r->core = beryl_relay_create (settings->endpoint_leave_ms);
  r->role_timer
      = loop_timer_start (loop, ROLE_CHECK_MS, ROLE_CHECK_MS, update_role, r);
  return r;
}

void
relay_destroy (struct relay *r)
{
  if (r == NULL)
    return;
  loop_timer_stop (r->role_timer);
  beryl_relay_destroy (r->core);
  g_free (r);
}

static size_t
change_bytes (const struct entry_change *change)
{
  return strlen (change->name) + change->value_bytes + CHANGE_OVERHEAD_BYTES;
}

/* Fills MESSAGE with as many of COUNT changes as fit into one datagram;
 * returns their number, 0 if the first one is too large. */
static size_t
fill_message (struct changes_message *message,
              const struct entry_change *changes, size_t count)
{
  size_t bytes = 0;

  message->count = 0;
  while (message->count < count && message->count < CHANGES_MAX)
    {
      const struct entry_change *change = &changes[message->count];

      bytes += change_bytes (change);
      if (bytes > MESSAGE_MAX_BYTES)
        break;
      message->changes[message->count++] = *change;
    }
  return message->count;
}

/* Returns whether all changes have distinct versions.  Deletions that follow
 * from a full list do not, and messages must not be split between changes of
 * one version. */
static bool
has_distinct_versions (const struct entry_change *changes, size_t count)
{
  for (size_t i = 1; i < count; i++)
    if (changes[i].version == changes[i - 1].version)
      return false;
  return true;
}

void
relay_send (struct relay *r, uint64_t after, uint64_t revision,
            const struct entry_change *changes, size_t count, bool complete)
{
  struct changes_message message = { .after = after };
  size_t sent = 0;

  /* AFTER is 0 for the first full list, which is not relayed. */
  if (r->role != BERYL_RELAY_WATCHER || after == 0)
    return;
  if (!complete || !has_distinct_versions (changes, count))
    {
      /* Followers detect a gap and poll the store themselves. */
      message.after = revision;
      count = 0;
    }
  if (count == 0)
    {
      message.revision = revision;
      members_send_changes (r->members, &message);
    }
  while (sent < count)
    {
      size_t taken = fill_message (&message, changes + sent, count - sent);

      /* A change that fits into no datagram is left out, which is a gap
         too. */
      sent += taken > 0 ? taken : 1;
      message.revision = sent == count ? revision : changes[sent - 1].version;
      if (taken > 0)
        members_send_changes (r->members, &message);
      message.after = message.revision;
    }
}

bool
relay_is_watcher (const struct relay *r)
{
  return r->role == BERYL_RELAY_WATCHER;
}

void
relay_receive (struct relay *r, const struct changes_message *message)
{
  counters_add (r->counters, "beryl_gateway_changes_fed_total", "", 1);
  beryl_relay_note_update (r->core, loop_now_ms (r->loop));
  if (r->role != BERYL_RELAY_WATCHER)
    platform_source_apply_changes (r->source, message);
}
