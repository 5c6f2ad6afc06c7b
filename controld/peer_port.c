#include "peer_port.h"

#include <glib.h>
#include <string.h>

#include "cleanup_task.h"
#include "config_task.h"
#include "secret.h"
#include "wire/gossip.h"
#include "wire/link.h"

/* Connections are closed after this time. */
#define EXCHANGE_TIMEOUT_MS 5000
#define EXCHANGES_MAX 64
/* Size limit of the log entries in one answer. */
#define ENTRIES_BYTES (256U * 1024U)

enum field
{
  FIELD_SECRET = 1,
  FIELD_NODE,
};

/* One incoming or outgoing connection. */
struct exchange
{
  struct link_handler base;
  struct peer_port *port;
  struct link *link;
  bool authenticated; /* the challenge was answered */
  bool is_pull;
  char node[BERYL_NAME_BYTES]; /* name of the peer */
  uint8_t challenge[SECRET_CHALLENGE_BYTES];
  struct frame_writer *request; /* outgoing; sent after the proof */
  int64_t started_ms;
};

struct peer_port
{
  struct control *control;
  struct link_listener *listener;
  GPtrArray *exchanges;
  struct frame_writer *writer;
  struct loop_timer *timer;
  bool pulling;
  uint64_t sent_bytes;
  uint64_t received_bytes;
  uint64_t pulls;
  uint64_t snapshots;
  uint64_t refused;
};

static bool
requires_key (const struct peer_port *port)
{
  return port->control->settings.cluster_key[0] != '\0';
}

static void
exchange_free (void *data)
{
  struct exchange *x = data;

  x->port->sent_bytes += link_sent_bytes (x->link);
  x->port->received_bytes += link_received_bytes (x->link);
  if (x->is_pull)
    x->port->pulling = false;
  frame_writer_destroy (x->request);
  g_free (x);
}

static void
exchange_end (struct exchange *x)
{
  struct link *link = x->link;

  g_ptr_array_remove_fast (x->port->exchanges, x);
  link_close (link);
}

static struct exchange *
exchange_create (struct peer_port *port, const struct link_handler_impl *impl)
{
  struct exchange *x = g_new0 (struct exchange, 1);

  x->base.impl = impl;
  x->port = port;
  x->started_ms = control_now_ms (port->control);
  return x;
}

static void
answer_pull (struct exchange *x, uint64_t after)
{
  struct peer_port *port = x->port;
  const struct beryl_config_log *spread = port->control->config_log;
  enum gossip_frame type = GOSSIP_ENTRIES;
  size_t bytes = 0;
  char *text;

  if (beryl_config_log_version (spread) <= after)
    {
      gossip_put_number (port->writer, GOSSIP_SAME, after);
      link_send (x->link, port->writer);
      return;
    }
  text = beryl_config_log_entries_after (spread, after, ENTRIES_BYTES, &bytes);
  if (text == NULL)
    {
      type = GOSSIP_SNAPSHOT;
      text = beryl_config_log_snapshot (spread, &bytes);
      port->snapshots++;
    }
  gossip_put_text (port->writer, type, text, bytes);
  link_send (x->link, port->writer);
  free (text);
}

static void
answer_compare (struct exchange *x, uint64_t digest)
{
  struct peer_port *port = x->port;

  if (beryl_membership_digest (port->control->members) == digest)
    gossip_put_number (port->writer, GOSSIP_SAME, digest);
  else
    gossip_put_members (port->writer, port->control->members);
  link_send (x->link, port->writer);
}

static void
merge_members (struct exchange *x, struct frame *frame)
{
  size_t count = 0;
  struct beryl_member *members = gossip_read_members (frame, &count);
  struct control *control = x->port->control;

  if (members == NULL)
    return;
  beryl_membership_merge (control->members, members, count,
                          control_now_ms (control));
  free (members);
}

static void
handle_message (struct exchange *x, struct frame *frame)
{
  struct control *control = x->port->control;
  struct local_message message;

  if (local_read (frame, &message) && message.type == LOCAL_LOAD)
    control_report_loads (control, &message.loads, x->node);
  else if (message.type == LOCAL_HOLDS)
    cleanup_task_replicate (control->cleanup, x->node, &message.holds);
  local_message_clear (&message);
}

static void
accepted_authenticate (struct exchange *x, struct frame *frame)
{
  const struct control_settings *s = &x->port->control->settings;
  struct frame_map map = frame_root (frame);
  size_t bytes = 0;
  const void *proof = frame_bytes (map, FIELD_SECRET, &bytes);

  frame_string (map, FIELD_NODE, x->node, sizeof x->node);
  x->authenticated
      = frame_type (frame) == GOSSIP_SECRET && frame_valid (frame)
        && (!requires_key (x->port)
            || secret_verify_proof (s->cluster_key, x->challenge, proof, bytes)
            || secret_verify_proof (s->cluster_key_accepted, x->challenge,
                                    proof, bytes));
  if (x->authenticated)
    return;
  x->port->refused++;
  g_warning ("connection from %s refused: wrong cluster key",
             link_peer (x->link));
  exchange_end (x);
}

static void
accepted_frame (struct link_handler *handler, struct link *link,
                struct frame *frame)
{
  struct exchange *x = (struct exchange *)handler;
  uint64_t number = 0;

  (void)link;
  if (!x->authenticated)
    {
      accepted_authenticate (x, frame);
      return;
    }
  switch (frame_type (frame))
    {
    case GOSSIP_COMPARE:
      if (gossip_read_number (frame, &number))
        answer_compare (x, number);
      return;
    case GOSSIP_PULL:
      if (gossip_read_number (frame, &number))
        answer_pull (x, number);
      return;
    case GOSSIP_MEMBERS:
      merge_members (x, frame);
      exchange_end (x);
      return;
    default:
      handle_message (x, frame);
      exchange_end (x);
      return;
    }
}

static void
exchange_closed (struct link_handler *handler, struct link *link,
                 const char *reason)
{
  struct exchange *x = (struct exchange *)handler;

  (void)link;
  (void)reason;
  g_ptr_array_remove_fast (x->port->exchanges, x);
}

static const struct link_handler_impl accepted_impl = {
  .frame = accepted_frame,
  .closed = exchange_closed,
};

/* The challenge is sent even without a key, so that every exchange starts the
 * same way. */
static void
challenge_send (struct exchange *x)
{
  struct peer_port *port = x->port;

  for (size_t i = 0; i < sizeof x->challenge; i++)
    x->challenge[i] = (uint8_t)control_random (port->control, 256);
  frame_writer_reset (port->writer, GOSSIP_SECRET);
  frame_put_bytes (port->writer, FIELD_SECRET, x->challenge,
                   sizeof x->challenge);
  link_send (x->link, port->writer);
}

static struct link_handler *
port_accept (void *user, struct link *link)
{
  struct peer_port *port = user;
  struct exchange *x;

  if (port->exchanges->len >= EXCHANGES_MAX)
    return NULL;
  x = exchange_create (port, &accepted_impl);
  x->link = link;
  g_ptr_array_add (port->exchanges, x);
  challenge_send (x);
  return &x->base;
}

static void
request_send (struct exchange *x, struct frame *frame)
{
  struct peer_port *port = x->port;
  const char *key = port->control->settings.cluster_key;
  uint8_t proof[SECRET_PROOF_BYTES] = { 0 };
  size_t bytes = 0;
  const void *challenge
      = frame_bytes (frame_root (frame), FIELD_SECRET, &bytes);

  if (bytes != SECRET_CHALLENGE_BYTES
      || (key[0] != '\0' && !secret_compute_proof (key, challenge, proof)))
    {
      exchange_end (x);
      return;
    }
  x->authenticated = true;
  frame_writer_reset (port->writer, GOSSIP_SECRET);
  frame_put_bytes (port->writer, FIELD_SECRET, proof, sizeof proof);
  frame_put_string (port->writer, FIELD_NODE, port->control->settings.node);
  link_send (x->link, port->writer);
  link_send (x->link, x->request);
}

static void
apply_config (struct exchange *x, struct frame *frame)
{
  struct config_task *config = x->port->control->config;
  size_t bytes = 0;
  const char *text = gossip_read_text (frame, &bytes);

  if (text == NULL)
    return;
  if (frame_type (frame) == GOSSIP_ENTRIES)
    config_task_apply_entries (config, text, bytes, x->node);
  else
    config_task_load_snapshot (config, text, bytes, x->node);
}

/* An answer ends the exchange, except that a member list is answered with
 * ours; the peer closes after it. */
static void
request_frame (struct link_handler *handler, struct link *link,
               struct frame *frame)
{
  struct exchange *x = (struct exchange *)handler;

  (void)link;
  switch (frame_type (frame))
    {
    case GOSSIP_SECRET:
      if (!x->authenticated)
        request_send (x, frame);
      return;
    case GOSSIP_ENTRIES:
    case GOSSIP_SNAPSHOT:
      apply_config (x, frame);
      break;
    case GOSSIP_MEMBERS:
      merge_members (x, frame);
      gossip_put_members (x->port->writer, x->port->control->members);
      link_send (x->link, x->port->writer);
      return;
    default:
      break;
    }
  exchange_end (x);
}

static const struct link_handler_impl request_impl = {
  .frame = request_frame,
  .closed = exchange_closed,
};

/* Takes ownership of REQUEST. */
static struct exchange *
request_start (struct peer_port *port, const struct beryl_member *member,
               struct frame_writer *request)
{
  struct exchange *x;

  if (port->exchanges->len >= EXCHANGES_MAX)
    {
      frame_writer_destroy (request);
      return NULL;
    }
  x = exchange_create (port, &request_impl);
  x->request = request;
  memcpy (x->node, member->name, sizeof x->node);
  x->link = link_connect (port->control->loop, member->address, member->port,
                          &x->base, NULL);
  if (x->link == NULL)
    {
      frame_writer_destroy (request);
      g_free (x);
      return NULL;
    }
  g_ptr_array_add (port->exchanges, x);
  return x;
}

void
peer_port_compare (struct peer_port *port, const struct beryl_member *member)
{
  struct frame_writer *request = frame_writer_create (GOSSIP_COMPARE);

  gossip_put_number (request, GOSSIP_COMPARE,
                     beryl_membership_digest (port->control->members));
  request_start (port, member, request);
}

void
peer_port_pull (struct peer_port *port, const struct beryl_member *member)
{
  struct frame_writer *request;
  struct exchange *x;

  if (port->pulling)
    return;
  request = frame_writer_create (GOSSIP_PULL);
  gossip_put_number (request, GOSSIP_PULL,
                     beryl_config_log_version (port->control->config_log));
  x = request_start (port, member, request);
  if (x == NULL)
    return;
  x->is_pull = true;
  port->pulling = true;
  port->pulls++;
}

void
peer_port_send (struct peer_port *port, const struct beryl_member *member,
                const struct local_message *message)
{
  struct frame_writer *request = frame_writer_create (LOCAL_LOAD);

  local_put (request, message);
  request_start (port, member, request);
}

/* Closes the connections of peers that died or hang. */
static void
port_expire (void *user)
{
  struct peer_port *port = user;
  int64_t now_ms = control_now_ms (port->control);

  for (guint i = port->exchanges->len; i > 0; i--)
    {
      struct exchange *x = g_ptr_array_index (port->exchanges, i - 1);

      if (now_ms - x->started_ms >= EXCHANGE_TIMEOUT_MS)
        exchange_end (x);
    }
}

struct peer_port *
peer_port_create (struct control *control, struct beryl_error *error)
{
  struct peer_port *port = g_new0 (struct peer_port, 1);

  port->control = control;
  port->exchanges = g_ptr_array_new_with_free_func (exchange_free);
  port->writer = frame_writer_create (GOSSIP_COMPARE);
  port->listener
      = link_listen (control->loop, control->settings.address,
                     control->settings.port, port_accept, port, error);
  if (port->listener == NULL)
    {
      peer_port_destroy (port);
      return NULL;
    }
  port->timer = loop_timer_start (control->loop, EXCHANGE_TIMEOUT_MS / 5,
                                  EXCHANGE_TIMEOUT_MS / 5, port_expire, port);
  return port;
}

void
peer_port_destroy (struct peer_port *port)
{
  if (port == NULL)
    return;
  loop_timer_stop (port->timer);
  while (port->exchanges->len > 0)
    exchange_end (g_ptr_array_index (port->exchanges, 0));
  g_ptr_array_unref (port->exchanges);
  link_listener_close (port->listener);
  frame_writer_destroy (port->writer);
  g_free (port);
}

uint16_t
peer_port_number (const struct peer_port *port)
{
  return link_listener_port (port->listener);
}

void
peer_port_update_counters (struct peer_port *port)
{
  struct counters *set = port->control->counters;

  counters_set (set, "beryl_peer_bytes_total", "direction=\"sent\"",
                port->sent_bytes);
  counters_set (set, "beryl_peer_bytes_total", "direction=\"received\"",
                port->received_bytes);
  counters_set (set, "beryl_config_pulls_total", "", port->pulls);
  counters_set (set, "beryl_config_snapshots_sent_total", "", port->snapshots);
  counters_set (set, "beryl_peer_refused_total", "", port->refused);
}
