#include "gossip_task.h"

#include <glib.h>
#include <string.h>

#include "peer_port.h"
#include "common/ticker.h"
#include "wire/gossip.h"
#include "wire/link.h"

struct gossip_task
{
  struct beryl_membership_owner base;
  struct control *control;
  struct datagram *datagram;
  struct peer_port *peers;
  struct ticker *ticker;
  struct frame_writer *writer;
  uint64_t sent;
  uint64_t received;
};

static void
task_send (struct beryl_membership_owner *owner, const char *address,
           uint16_t port, const struct beryl_gossip *message)
{
  struct gossip_task *task = (struct gossip_task *)owner;

  gossip_put (task->writer, message);
  task->sent++;
  datagram_send (task->datagram, address, port, task->writer);
}

static void
task_changed (struct beryl_membership_owner *owner,
              const struct beryl_member *member)
{
  struct gossip_task *task = (struct gossip_task *)owner;

  g_info ("member %s of %s at %s:%u is %s%s, incarnation %" G_GUINT64_FORMAT,
          member->name, member->data_centre, member->address, member->port,
          beryl_member_state_name (member->state),
          member->leaving ? " and leaving" : "", member->incarnation);
  control_member_changed (task->control, member);
}

static void
task_pull_config (struct beryl_membership_owner *owner,
                  const struct beryl_member *peer)
{
  struct gossip_task *task = (struct gossip_task *)owner;

  peer_port_pull (task->peers, peer);
}

static void
task_sync (struct beryl_membership_owner *owner,
           const struct beryl_member *peer)
{
  struct gossip_task *task = (struct gossip_task *)owner;

  peer_port_compare (task->peers, peer);
}

static const struct beryl_membership_owner_impl owner_impl = {
  .send = task_send,
  .changed = task_changed,
  .pull_config = task_pull_config,
  .sync = task_sync,
};

void
gossip_task_wake (struct gossip_task *task)
{
  ticker_set (task->ticker, beryl_membership_next_ms (task->control->members));
}

static void
datagram_received (void *user, struct frame *frame, const char *address,
                   uint16_t port)
{
  struct gossip_task *task = user;
  struct beryl_gossip message;

  if (!gossip_read (frame, &message))
    return;
  task->received++;
  beryl_membership_receive (task->control->members, &message, address, port,
                            control_now_ms (task->control));
  gossip_task_wake (task);
}

static void
task_tick (void *user)
{
  struct gossip_task *task = user;

  beryl_membership_tick (task->control->members,
                         control_now_ms (task->control));
  gossip_task_wake (task);
}

static struct beryl_membership *
members_create (struct gossip_task *task, uint16_t port)
{
  const struct control_settings *from = &task->control->settings;
  struct beryl_membership_settings settings = { 0 };
  struct beryl_member *self = &settings.self;

  memcpy (self->name, from->node, sizeof self->name);
  memcpy (self->address, from->address, sizeof self->address);
  memcpy (self->data_centre, from->data_centre, sizeof self->data_centre);
  memcpy (self->region, from->region, sizeof self->region);
  self->port = port;
  /* Higher than any previous incarnation, unless the clock was set back; in
   * that case peers report the higher one and it is raised. */
  self->incarnation = (uint64_t)g_get_real_time () / 1000;
  settings.seed = control_random (task->control, UINT64_MAX);
  settings.probe_ms = from->probe_ms;
  settings.ack_ms = from->probe_ms * 3 / 10;
  return beryl_membership_create (&settings, &task->base,
                                  control_now_ms (task->control));
}

static void
keys_add (struct gossip_task *task)
{
  const struct control_settings *settings = &task->control->settings;

  if (settings->cluster_key[0] != '\0')
    datagram_add_key (task->datagram, settings->cluster_key,
                      strlen (settings->cluster_key));
  if (settings->cluster_key_accepted[0] != '\0')
    datagram_add_key (task->datagram, settings->cluster_key_accepted,
                      strlen (settings->cluster_key_accepted));
}

struct gossip_task *
gossip_task_create (struct control *control, struct beryl_error *error)
{
  struct gossip_task *task = g_new0 (struct gossip_task, 1);

  task->base.impl = &owner_impl;
  task->control = control;
  task->peers = peer_port_create (control, error);
  if (task->peers != NULL)
    task->datagram = datagram_open (control->loop, control->settings.address,
                                    peer_port_number (task->peers),
                                    datagram_received, task, error);
  if (task->datagram == NULL)
    {
      gossip_task_destroy (task);
      return NULL;
    }
  keys_add (task);
  task->writer = frame_writer_create (GOSSIP_DATAGRAM);
  task->ticker = ticker_create (control->loop, task_tick, task);
  control->members = members_create (task, peer_port_number (task->peers));
  gossip_task_wake (task);
  return task;
}

void
gossip_task_destroy (struct gossip_task *task)
{
  if (task == NULL)
    return;
  ticker_destroy (task->ticker);
  datagram_close (task->datagram);
  peer_port_destroy (task->peers);
  frame_writer_destroy (task->writer);
  g_free (task);
}

uint16_t
gossip_task_port (const struct gossip_task *task)
{
  return peer_port_number (task->peers);
}

bool
gossip_task_has_peers (const struct gossip_task *task)
{
  const struct control *control = task->control;

  for (size_t i = 0; i < beryl_membership_count (control->members); i++)
    {
      const struct beryl_member *m
          = beryl_membership_get (control->members, i);

      if (m->state == BERYL_MEMBER_ALIVE
          && m != beryl_membership_self (control->members))
        return true;
    }
  return false;
}

void
gossip_task_contact_seeds (struct gossip_task *task)
{
  char **seeds;

  if (task->control->settings.seeds[0] == '\0' || gossip_task_has_peers (task))
    return;
  seeds = g_strsplit (task->control->settings.seeds, ",", -1);
  for (char **seed = seeds; *seed != NULL; seed++)
    {
      struct beryl_member member;

      if (control_seed_parse (g_strstrip (*seed), &member))
        peer_port_compare (task->peers, &member);
    }
  g_strfreev (seeds);
}

void
gossip_task_send_loads (struct gossip_task *task,
                        const struct beryl_member *member,
                        const struct local_loads *loads)
{
  struct local_message message = { .type = LOCAL_LOAD, .loads = *loads };

  peer_port_send (task->peers, member, &message);
}

void
gossip_task_send_holds (struct gossip_task *task,
                        const struct beryl_member *member,
                        const struct local_holds *holds)
{
  struct local_message message = { .type = LOCAL_HOLDS, .holds = *holds };

  peer_port_send (task->peers, member, &message);
}

static uint64_t
members_count (const struct control *control, enum beryl_member_state state)
{
  uint64_t count = 0;

  for (size_t i = 0; i < beryl_membership_count (control->members); i++)
    {
      const struct beryl_member *m
          = beryl_membership_get (control->members, i);

      count += m->state == state && !m->leaving;
    }
  return count;
}

static uint64_t
members_count_leaving (const struct control *control)
{
  uint64_t count = 0;

  for (size_t i = 0; i < beryl_membership_count (control->members); i++)
    {
      const struct beryl_member *m
          = beryl_membership_get (control->members, i);

      count += m->state != BERYL_MEMBER_DEAD && m->leaving;
    }
  return count;
}

void
gossip_task_update_counters (struct gossip_task *task)
{
  struct counters *set = task->control->counters;

  counters_set (set, "beryl_gossip_bytes_total", "direction=\"sent\"",
                datagram_sent_bytes (task->datagram));
  counters_set (set, "beryl_gossip_bytes_total", "direction=\"received\"",
                datagram_received_bytes (task->datagram));
  counters_set (set, "beryl_gossip_messages_total", "direction=\"sent\"",
                task->sent);
  counters_set (set, "beryl_gossip_messages_total", "direction=\"received\"",
                task->received);
  counters_set (set, "beryl_gossip_refused_total", "",
                datagram_refused (task->datagram));
  counters_set (set, "beryl_members", "state=\"alive\"",
                members_count (task->control, BERYL_MEMBER_ALIVE));
  counters_set (set, "beryl_members", "state=\"leaving\"",
                members_count_leaving (task->control));
  counters_set (set, "beryl_members", "state=\"suspect\"",
                members_count (task->control, BERYL_MEMBER_SUSPECT));
  peer_port_update_counters (task->peers);
}
