#include "peers.h"

#include <string.h>

#include "claims_link.h"
#include "peers_private.h"

#define SWEEP_MS 50

bool
peer_send (struct peer *peer, const struct peer_message *message)
{
  struct frame_writer *writer = peer->peers->writer;

  peer_put (writer, message);
  return link_send (peer->link, writer);
}

static void
peer_free (struct peer *peer)
{
  g_hash_table_destroy (peer->serving);
  g_free (peer);
}

static void
keep_proof (struct peer *peer, struct frame *frame)
{
  size_t n = 0;
  const void *proof = frame_bytes (frame_root (frame), PEER_PROOF_KEY, &n);

  if (proof == NULL || n > sizeof peer->proof)
    return;
  memcpy (peer->proof, proof, n);
  peer->proof_bytes = n;
}

/* Whoever may forward calls may name any organisation. */
static bool
is_proved (const struct peer *peer, const struct peer_hello *hello)
{
  const struct entry *entry = peer->peers->entry;
  const struct entry_settings *settings = entry->settings;

  if (!peer->incoming
      || (settings->cluster_key[0] == '\0'
          && settings->cluster_key_accepted[0] == '\0'))
    return true;
  return peer_proof_check (settings->cluster_key, hello->node,
                           hello->incarnation, entry->incarnation, peer->proof,
                           peer->proof_bytes)
         || peer_proof_check (settings->cluster_key_accepted, hello->node,
                              hello->incarnation, entry->incarnation,
                              peer->proof, peer->proof_bytes);
}

static void
take_hello (struct peer *peer, const struct peer_hello *hello)
{
  if (is_proved (peer, hello))
    {
      g_strlcpy (peer->node, hello->node, sizeof peer->node);
      return;
    }
  counters_add (peer->peers->entry->counters, "beryl_peer_refused_total", "",
                1);
  g_warning ("%s at %s does not prove the cluster's key", hello->node,
             link_peer (peer->link));
}

static void
take_message (struct peer *peer, const struct peer_message *message)
{
  struct entry *entry = peer->peers->entry;

  if (message->type == PEER_HELLO)
    take_hello (peer, &message->hello);
  else if (peer->node[0] == '\0')
    peer->refused = true;
  else if (message->type == PEER_CLAIM)
    claims_link_message (entry->claims, peer->node, &message->claim);
  else if (peer->incoming)
    serve_message (peer, message);
  else
    ask_message (peer, message);
}

static void
peer_frame (struct link_handler *handler, struct link *link,
            struct frame *frame)
{
  struct peer *peer = (struct peer *)handler;
  struct peer_message *message;

  if (frame_type (frame) == PEER_PROOF_TYPE)
    {
      keep_proof (peer, frame);
      return;
    }
  message = g_new0 (struct peer_message, 1);
  if (peer_read (frame, message))
    take_message (peer, message);
  else
    counters_add (peer->peers->entry->counters, "beryl_peer_malformed_total",
                  "", 1);
  g_free (message);
}

static void
peer_closed (struct link_handler *handler, struct link *link,
             const char *reason)
{
  struct peer *peer = (struct peer *)handler;
  struct peers *peers = peer->peers;

  peer->link = NULL;
  if (peer->incoming)
    {
      g_ptr_array_remove_fast (peers->incoming, peer);
      serve_broken (peer);
    }
  else
    {
      g_hash_table_remove (peers->outgoing, peer->node);
      /* A home whose connection merely broke may live and go on to say "not
       * run" of the keys that this node would write behind its back. */
      if (link_refused (link))
        claims_link_unreachable (peers->entry->claims, peer->node);
      ask_broken (peer);
    }
  peer_free (peer);
}

static const struct link_handler_impl peer_impl = {
  .frame = peer_frame,
  .closed = peer_closed,
};

static struct peer *
peer_create (struct peers *peers, const char *node, bool incoming)
{
  struct peer *peer = g_new0 (struct peer, 1);

  peer->base.impl = &peer_impl;
  peer->peers = peers;
  peer->incoming = incoming;
  peer->serving = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_strlcpy (peer->node, node, sizeof peer->node);
  return peer;
}

static void
send_proof (struct peer *peer, uint64_t to)
{
  struct entry *entry = peer->peers->entry;
  struct frame_writer *writer = peer->peers->writer;
  uint8_t proof[PEER_PROOF_BYTES];

  if (entry->settings->cluster_key[0] == '\0'
      || !peer_proof_make (entry->settings->cluster_key, entry->settings->node,
                           entry->incarnation, to, proof))
    return;
  frame_writer_reset (writer, PEER_PROOF_TYPE);
  frame_put_bytes (writer, PEER_PROOF_KEY, proof, sizeof proof);
  link_send (peer->link, writer);
}

static void
send_hello (struct peer *peer)
{
  struct peer_message hello = { .type = PEER_HELLO };
  struct entry *entry = peer->peers->entry;

  hello.hello.incarnation = entry->incarnation;
  g_strlcpy (hello.hello.node, entry->settings->node, sizeof hello.hello.node);
  peer_send (peer, &hello);
}

static const struct local_member *
member_of (const struct entry *entry, const char *node)
{
  for (size_t i = 0; i < entry->member_count; i++)
    if (strcmp (entry->members[i].node, node) == 0)
      return &entry->members[i];
  return NULL;
}

struct peer *
peers_outgoing (struct peers *peers, const char *node)
{
  struct peer *peer = g_hash_table_lookup (peers->outgoing, node);
  const struct local_member *member = member_of (peers->entry, node);

  if (peer != NULL)
    return peer;
  if (member == NULL || member->peer_port == 0)
    return NULL;
  peer = peer_create (peers, node, false);
  peer->link = link_connect (peers->entry->loop, member->address,
                             member->peer_port, &peer->base, NULL);
  if (peer->link == NULL)
    {
      peer_free (peer);
      return NULL;
    }
  g_hash_table_insert (peers->outgoing, peer->node, peer);
  send_proof (peer, member->incarnation);
  send_hello (peer);
  return peer;
}

/* A first hurdle, for clusters without a key the only one. */
static bool
is_member_address (const struct entry *entry, const char *address)
{
  for (size_t i = 0; i < entry->member_count; i++)
    if (strcmp (entry->members[i].address, address) == 0)
      return true;
  return false;
}

static struct link_handler *
accept_peer (void *user, struct link *link)
{
  struct peers *peers = user;
  struct peer *peer;

  if (!is_member_address (peers->entry, link_peer (link)))
    {
      counters_add (peers->entry->counters, "beryl_peer_refused_total", "", 1);
      g_warning ("refused a peer connection from %s: not a member",
                 link_peer (link));
      return NULL;
    }
  peer = peer_create (peers, "", true);
  peer->link = link;
  g_ptr_array_add (peers->incoming, peer);
  return &peer->base;
}

static void
close_peer (struct peer *peer)
{
  link_close (peer->link);
  peer_free (peer);
}

static void
sweep (void *user)
{
  struct peers *peers = user;

  for (guint i = peers->incoming->len; i > 0; i--)
    {
      struct peer *peer = g_ptr_array_index (peers->incoming, i - 1);

      if (!peer->refused)
        {
          serve_sweep (peer);
          continue;
        }
      g_ptr_array_remove_index_fast (peers->incoming, i - 1);
      close_peer (peer);
    }
}

struct peers *
peers_create (struct entry *entry, struct beryl_error *error)
{
  struct peers *peers = g_new0 (struct peers, 1);

  peers->entry = entry;
  peers->listener
      = link_listen (entry->loop, entry->settings->address,
                     entry->settings->peer_port, accept_peer, peers, error);
  if (peers->listener == NULL)
    {
      g_free (peers);
      return NULL;
    }
  peers->writer = frame_writer_create (PEER_HELLO);
  peers->outgoing = g_hash_table_new (g_str_hash, g_str_equal);
  peers->incoming = g_ptr_array_new ();
  peers->asked
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  peers->forwards = g_hash_table_new (g_int64_hash, g_int64_equal);
  peers->sweep
      = loop_timer_start (entry->loop, SWEEP_MS, SWEEP_MS, sweep, peers);
  return peers;
}

void
peers_destroy (struct peers *peers)
{
  GHashTableIter iter;
  gpointer value;

  if (peers == NULL)
    return;
  loop_timer_stop (peers->sweep);
  link_listener_close (peers->listener);
  for (guint i = 0; i < peers->incoming->len; i++)
    close_peer (g_ptr_array_index (peers->incoming, i));
  g_hash_table_iter_init (&iter, peers->outgoing);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      g_hash_table_iter_steal (&iter);
      close_peer (value);
    }
  g_ptr_array_free (peers->incoming, TRUE);
  g_hash_table_destroy (peers->outgoing);
  g_hash_table_destroy (peers->forwards);
  g_hash_table_destroy (peers->asked);
  frame_writer_destroy (peers->writer);
  g_free (peers);
}

uint16_t
peers_port (const struct peers *peers)
{
  return link_listener_port (peers->listener);
}

bool
peers_send_claim (struct peers *peers, const char *node,
                  const struct beryl_claim_message *message)
{
  struct peer *peer = peers_outgoing (peers, node);
  struct peer_message m = { .type = PEER_CLAIM };

  if (peer == NULL)
    return false;
  m.claim = *message;
  return peer_send (peer, &m);
}
