#include "config_sync.h"

#include <glib.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <string.h>

#include "wire/gossip.h"
#include "wire/link.h"

/* A connection without progress for this long is closed.  The whole transfer
 * has no time limit: over a slow link it would restart with the next peer each
 * time and never end. */
#define IDLE_TIMEOUT_MS 1000
#define MAC_BYTES 32

enum response_field
{
  RESPONSE_VALUE = 1,
  RESPONSE_REVISION,
  RESPONSE_MAC,
};

struct config_sync
{
  struct config_sync_owner *owner;
  struct loop *loop;
  struct link_listener *listener;
  struct frame_writer *writer;
  GPtrArray *transfers; /* struct transfer, served and pulled ones */
  bool pulling;
  uint64_t revision; /* of this node's configuration */
  GString *value;
  char key[DATAGRAM_KEY_MAX_BYTES + 1]; /* "" until known */
};

/* Computes the MAC of a configuration, so that nobody who can merely connect
 * is able to distribute one. */
static void
compute_mac (const struct config_sync *sync, uint64_t revision,
             const char *value, size_t value_bytes,
             unsigned char mac[MAC_BYTES])
{
  GString *text = g_string_new_len (value, (gssize)value_bytes);
  unsigned int bytes = MAC_BYTES;

  g_string_append_printf (text, "%" G_GUINT64_FORMAT, revision);
  HMAC (EVP_sha256 (), sync->key, (int)strlen (sync->key),
        (const unsigned char *)text->str, text->len, mac, &bytes);
  g_string_free (text, TRUE);
}

/* A connection over which a configuration is pulled. */
struct transfer
{
  struct link_handler base;
  struct config_sync *sync;
  struct link *link;
  bool is_client; /* this node pulls */
  char peer[64];  /* address of the peer, if this node pulls */
  int64_t start_ms;
  int64_t progress_ms; /* time of the last progress */
  uint64_t progress;   /* byte count at that time */
};

static void
transfer_free (void *pointer)
{
  struct transfer *transfer = pointer;

  if (transfer->is_client)
    transfer->sync->pulling = false;
  g_free (transfer);
}

/* Logs the end of a connection if this node pulled over it.  The outcome is
 * "whole" for any complete response and "none" for one without a
 * configuration. */
static void
log_outcome (const struct transfer *transfer, const char *outcome)
{
  if (transfer->is_client)
    g_info ("configuration pull peer=%s outcome=%s bytes=%" G_GUINT64_FORMAT
            " age_ms=%" G_GINT64_FORMAT,
            transfer->peer, outcome, link_received_bytes (transfer->link),
            loop_now_ms (transfer->sync->loop) - transfer->start_ms);
}

static void
transfer_end (struct transfer *transfer, const char *outcome)
{
  struct link *link = transfer->link;

  log_outcome (transfer, outcome);
  g_ptr_array_remove_fast (transfer->sync->transfers, transfer);
  link_close (link);
}

static void
transfer_opened (struct link_handler *handler, struct link *link)
{
  struct transfer *transfer = (struct transfer *)handler;

  gossip_put_number (transfer->sync->writer, GOSSIP_PULL,
                     transfer->sync->revision);
  link_send (link, transfer->sync->writer);
}

static void
send_response (struct transfer *transfer, uint64_t after)
{
  struct config_sync *sync = transfer->sync;
  unsigned char mac[MAC_BYTES];

  if (sync->revision <= after)
    gossip_put_number (sync->writer, GOSSIP_SAME, sync->revision);
  else
    {
      compute_mac (sync, sync->revision, sync->value->str, sync->value->len,
                   mac);
      frame_writer_reset (sync->writer, GOSSIP_SNAPSHOT);
      frame_put_bytes (sync->writer, RESPONSE_VALUE, sync->value->str,
                       sync->value->len);
      frame_put_uint (sync->writer, RESPONSE_REVISION, sync->revision);
      frame_put_bytes (sync->writer, RESPONSE_MAC, mac, sizeof mac);
    }
  link_send (transfer->link, sync->writer);
}

static void
receive_response (struct transfer *transfer, struct frame *frame)
{
  struct config_sync *sync = transfer->sync;
  struct frame_map map = frame_root (frame);
  uint64_t revision = frame_uint (map, RESPONSE_REVISION, 0);
  size_t bytes = 0, mac_bytes = 0;
  const char *value = frame_bytes (map, RESPONSE_VALUE, &bytes);
  const void *mac = frame_bytes (map, RESPONSE_MAC, &mac_bytes);
  unsigned char expected_mac[MAC_BYTES];

  if (frame_type (frame) != GOSSIP_SNAPSHOT || !frame_valid (frame)
      || value == NULL || mac == NULL || mac_bytes != MAC_BYTES)
    {
      transfer_end (transfer, "none");
      return;
    }
  compute_mac (sync, revision, value, bytes, expected_mac);
  if (CRYPTO_memcmp (mac, expected_mac, MAC_BYTES) != 0)
    g_warning ("configuration from a peer rejected: MAC does not match");
  else if (revision > sync->revision)
    sync->owner->impl->configuration_received (sync->owner, revision, value,
                                               bytes);
  transfer_end (transfer, "whole");
}

static void
transfer_frame (struct link_handler *handler, struct link *link,
                struct frame *frame)
{
  struct transfer *transfer = (struct transfer *)handler;
  uint64_t after = 0;

  if (transfer->is_client)
    receive_response (transfer, frame);
  else if (frame_type (frame) == GOSSIP_PULL
           && gossip_read_number (frame, &after))
    send_response (transfer, after);
  else
    transfer_end (transfer, "malformed");
}

static void
transfer_closed (struct link_handler *handler, struct link *link,
                 const char *reason)
{
  struct transfer *transfer = (struct transfer *)handler;

  log_outcome (transfer, "closed");
  g_ptr_array_remove_fast (transfer->sync->transfers, transfer);
}

static const struct link_handler_impl transfer_impl = {
  .opened = transfer_opened, .frame = transfer_frame, .closed = transfer_closed
};

static struct transfer *
transfer_create (struct config_sync *sync, bool is_client)
{
  struct transfer *transfer = g_new0 (struct transfer, 1);

  transfer->base.impl = &transfer_impl;
  transfer->sync = sync;
  transfer->is_client = is_client;
  transfer->start_ms = loop_now_ms (sync->loop);
  transfer->progress_ms = transfer->start_ms;
  return transfer;
}

void
config_sync_pull (struct config_sync *sync, const char *address, uint16_t port)
{
  struct transfer *transfer;

  if (sync->pulling)
    return;
  transfer = transfer_create (sync, true);
  g_strlcpy (transfer->peer, address, sizeof transfer->peer);
  transfer->link
      = link_connect (sync->loop, address, port, &transfer->base, NULL);
  if (transfer->link == NULL)
    {
      g_free (transfer);
      return;
    }
  sync->pulling = true;
  g_ptr_array_add (sync->transfers, transfer);
}

static struct link_handler *
accept_transfer (void *user, struct link *link)
{
  struct config_sync *sync = user;
  struct transfer *transfer = transfer_create (sync, false);

  transfer->link = link;
  g_ptr_array_add (sync->transfers, transfer);
  return &transfer->base;
}

/* Updates the time of the last progress.  On the serving side received bytes
 * do not count: a peer that sends its request byte by byte could hold the
 * connection for as long as it likes. */
static void
update_progress (struct transfer *transfer, int64_t now_ms)
{
  uint64_t progress = transfer->is_client
                          ? link_received_bytes (transfer->link)
                          : link_pending_bytes (transfer->link);

  if (progress == transfer->progress)
    return;
  transfer->progress = progress;
  transfer->progress_ms = now_ms;
}

void
config_sync_expire (struct config_sync *sync)
{
  int64_t now_ms = loop_now_ms (sync->loop);

  for (guint i = sync->transfers->len; i > 0; i--)
    {
      struct transfer *transfer = g_ptr_array_index (sync->transfers, i - 1);

      update_progress (transfer, now_ms);
      if (now_ms - transfer->progress_ms > IDLE_TIMEOUT_MS)
        transfer_end (transfer, "timeout");
    }
}

void
config_sync_set_key (struct config_sync *sync, const char *key)
{
  g_strlcpy (sync->key, key, sizeof sync->key);
}

void
config_sync_set_configuration (struct config_sync *sync, uint64_t revision,
                               const char *value, size_t value_bytes)
{
  sync->revision = revision;
  g_string_truncate (sync->value, 0);
  g_string_append_len (sync->value, value, (gssize)value_bytes);
}

struct config_sync *
config_sync_create (struct loop *loop, const char *ip, uint16_t port,
                    struct config_sync_owner *owner, struct beryl_error *error)
{
  struct config_sync *sync = g_new0 (struct config_sync, 1);

  sync->owner = owner;
  sync->loop = loop;
  sync->transfers = g_ptr_array_new_with_free_func (transfer_free);
  sync->value = g_string_new (NULL);
  sync->writer = frame_writer_create (GOSSIP_PULL);
  sync->listener = link_listen (loop, ip, port, accept_transfer, sync, error);
  if (sync->listener != NULL)
    return sync;
  config_sync_destroy (sync);
  return NULL;
}

void
config_sync_destroy (struct config_sync *sync)
{
  if (sync == NULL)
    return;
  while (sync->transfers->len > 0)
    transfer_end (g_ptr_array_index (sync->transfers, 0), "stopped");
  g_ptr_array_free (sync->transfers, TRUE);
  link_listener_close (sync->listener);
  frame_writer_destroy (sync->writer);
  g_string_free (sync->value, TRUE);
  g_free (sync);
}
