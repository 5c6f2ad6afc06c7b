#include "config_sync.h"

#include <glib.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <string.h>

#include "wire/gossip.h"
#include "wire/link.h"

/* A connection on which nothing moves for so long is given up.  The whole
 * transfer has no bound: a slow link needs what it needs, and with a bound it
 * would begin again with the next peer, without an end. */
#define SILENT_MS 1000
#define PROOF_BYTES 32

enum answer_field
{
  ANSWER_VALUE = 1,
  ANSWER_REVISION,
  ANSWER_PROOF,
};

struct config_sync
{
  struct config_sync_owner *owner;
  struct loop *loop;
  struct link_listener *listener;
  struct frame_writer *writer;
  GPtrArray *open; /* struct pull, in either direction */
  bool pulling;
  uint64_t revision; /* of the configuration here */
  GString *value;
  char key[DATAGRAM_KEY_MAX_BYTES + 1]; /* "": not known yet */
};

/* Proves that a node of this fleet gave the configuration: whoever can only
 * connect must not be able to hand out one. */
static void
prove (const struct config_sync *p, uint64_t revision, const char *value,
       size_t value_bytes, unsigned char proof[PROOF_BYTES])
{
  GString *text = g_string_new_len (value, (gssize)value_bytes);
  unsigned int bytes = PROOF_BYTES;

  g_string_append_printf (text, "%" G_GUINT64_FORMAT, revision);
  HMAC (EVP_sha256 (), p->key, (int)strlen (p->key),
        (const unsigned char *)text->str, text->len, proof, &bytes);
  g_string_free (text, TRUE);
}

/* A connection on which a configuration is pulled. */
struct pull
{
  struct link_handler base;
  struct config_sync *pulls;
  struct link *link;
  bool asks;     /* this side does */
  char peer[64]; /* its address */
  int64_t began_ms;
  int64_t moved_ms;  /* when it last got further */
  uint64_t progress; /* as it was seen then */
};

static void
pull_free (void *pointer)
{
  struct pull *pull = pointer;

  if (pull->asks)
    pull->pulls->pulling = false;
  g_free (pull);
}

/* One line for each configuration that was asked of a peer. */
static void
log_end (const struct pull *pull, const char *outcome)
{
  if (pull->asks)
    g_info ("configuration pull peer=%s outcome=%s bytes=%" G_GUINT64_FORMAT
            " age_ms=%" G_GINT64_FORMAT,
            pull->peer, outcome, link_received_bytes (pull->link),
            loop_now_ms (pull->pulls->loop) - pull->began_ms);
}

static void
pull_end (struct pull *pull, const char *outcome)
{
  struct link *link = pull->link;

  log_end (pull, outcome);
  g_ptr_array_remove_fast (pull->pulls->open, pull);
  link_close (link);
}

static void
pull_opened (struct link_handler *handler, struct link *link)
{
  struct pull *pull = (struct pull *)handler;

  gossip_put_number (pull->pulls->writer, GOSSIP_PULL, pull->pulls->revision);
  link_send (link, pull->pulls->writer);
}

static void
answer_pull (struct pull *pull, uint64_t after)
{
  struct config_sync *p = pull->pulls;
  unsigned char proof[PROOF_BYTES];

  if (p->revision <= after)
    gossip_put_number (p->writer, GOSSIP_SAME, p->revision);
  else
    {
      prove (p, p->revision, p->value->str, p->value->len, proof);
      frame_writer_reset (p->writer, GOSSIP_SNAPSHOT);
      frame_put_bytes (p->writer, ANSWER_VALUE, p->value->str, p->value->len);
      frame_put_uint (p->writer, ANSWER_REVISION, p->revision);
      frame_put_bytes (p->writer, ANSWER_PROOF, proof, sizeof proof);
    }
  link_send (pull->link, p->writer);
}

static void
take_answer (struct pull *pull, struct frame *frame)
{
  struct config_sync *p = pull->pulls;
  struct frame_map map = frame_root (frame);
  uint64_t revision = frame_uint (map, ANSWER_REVISION, 0);
  size_t bytes = 0, proof_bytes = 0;
  const char *value = frame_bytes (map, ANSWER_VALUE, &bytes);
  const void *proof = frame_bytes (map, ANSWER_PROOF, &proof_bytes);
  unsigned char expected[PROOF_BYTES];

  if (frame_type (frame) != GOSSIP_SNAPSHOT || !frame_valid (frame)
      || value == NULL || proof == NULL || proof_bytes != PROOF_BYTES)
    {
      pull_end (pull, "none");
      return;
    }
  prove (p, revision, value, bytes, expected);
  if (CRYPTO_memcmp (proof, expected, PROOF_BYTES) != 0)
    g_warning ("configuration from a peer refused: wrong key");
  else if (revision > p->revision)
    p->owner->impl->configuration_received (p->owner, revision, value, bytes);
  pull_end (pull, "whole");
}

static void
pull_frame (struct link_handler *handler, struct link *link,
            struct frame *frame)
{
  struct pull *pull = (struct pull *)handler;
  uint64_t after = 0;

  if (pull->asks)
    take_answer (pull, frame);
  else if (frame_type (frame) == GOSSIP_PULL
           && gossip_read_number (frame, &after))
    answer_pull (pull, after);
  else
    pull_end (pull, "malformed");
}

static void
pull_closed (struct link_handler *handler, struct link *link,
             const char *reason)
{
  struct pull *pull = (struct pull *)handler;

  log_end (pull, "closed");
  g_ptr_array_remove_fast (pull->pulls->open, pull);
}

static const struct link_handler_impl pull_impl
    = { .opened = pull_opened, .frame = pull_frame, .closed = pull_closed };

static struct pull *
pull_create (struct config_sync *p, bool asks)
{
  struct pull *pull = g_new0 (struct pull, 1);

  pull->base.impl = &pull_impl;
  pull->pulls = p;
  pull->asks = asks;
  pull->began_ms = loop_now_ms (p->loop);
  pull->moved_ms = pull->began_ms;
  return pull;
}

void
config_sync_pull (struct config_sync *p, const char *address, uint16_t port)
{
  struct pull *pull;

  if (p->pulling)
    return;
  pull = pull_create (p, true);
  g_strlcpy (pull->peer, address, sizeof pull->peer);
  pull->link = link_connect (p->loop, address, port, &pull->base, NULL);
  if (pull->link == NULL)
    {
      g_free (pull);
      return;
    }
  p->pulling = true;
  g_ptr_array_add (p->open, pull);
}

static struct link_handler *
accept_pull (void *user, struct link *link)
{
  struct config_sync *p = user;
  struct pull *pull = pull_create (p, false);

  pull->link = link;
  g_ptr_array_add (p->open, pull);
  return &pull->base;
}

/* Notes whether the answer got further since the last look.  What comes in at
 * the answering side does not count: whoever sends its question byte by byte
 * would hold the connection for as long as it likes. */
static void
note_moved (struct pull *pull, int64_t now_ms)
{
  uint64_t progress = pull->asks ? link_received_bytes (pull->link)
                                 : link_pending_bytes (pull->link);

  if (progress == pull->progress)
    return;
  pull->progress = progress;
  pull->moved_ms = now_ms;
}

void
config_sync_expire (struct config_sync *p)
{
  int64_t now_ms = loop_now_ms (p->loop);

  for (guint i = p->open->len; i > 0; i--)
    {
      struct pull *pull = g_ptr_array_index (p->open, i - 1);

      note_moved (pull, now_ms);
      if (now_ms - pull->moved_ms > SILENT_MS)
        pull_end (pull, "timeout");
    }
}

void
config_sync_set_key (struct config_sync *p, const char *key)
{
  g_strlcpy (p->key, key, sizeof p->key);
}

void
config_sync_set_configuration (struct config_sync *p, uint64_t revision,
                               const char *value, size_t value_bytes)
{
  p->revision = revision;
  g_string_truncate (p->value, 0);
  g_string_append_len (p->value, value, (gssize)value_bytes);
}

struct config_sync *
config_sync_create (struct loop *loop, const char *ip, uint16_t port,
                    struct config_sync_owner *owner, struct beryl_error *error)
{
  struct config_sync *p = g_new0 (struct config_sync, 1);

  p->owner = owner;
  p->loop = loop;
  p->open = g_ptr_array_new_with_free_func (pull_free);
  p->value = g_string_new (NULL);
  p->writer = frame_writer_create (GOSSIP_PULL);
  p->listener = link_listen (loop, ip, port, accept_pull, p, error);
  if (p->listener != NULL)
    return p;
  config_sync_destroy (p);
  return NULL;
}

void
config_sync_destroy (struct config_sync *p)
{
  if (p == NULL)
    return;
  while (p->open->len > 0)
    pull_end (g_ptr_array_index (p->open, 0), "stopped");
  g_ptr_array_free (p->open, TRUE);
  link_listener_close (p->listener);
  frame_writer_destroy (p->writer);
  g_string_free (p->value, TRUE);
  g_free (p);
}
