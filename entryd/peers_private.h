/** @file
 * Shared by the files of the peer links.
 */
#ifndef ENTRYD_PEERS_PRIVATE_H
#define ENTRYD_PEERS_PRIVATE_H

#include "peers.h"
#include "peers_secret.h"
#include "wire/link.h"

/** The frame before HELLO: its only field is the proof of the cluster's key.
 */
#define PEER_PROOF_TYPE 63
#define PEER_PROOF_KEY 1

struct peers
{
  struct entry *entry;
  struct link_listener *listener;
  struct frame_writer *writer;
  struct loop_timer *sweep;
  GHashTable *outgoing; /* node -> struct peer */
  GPtrArray *incoming;  /* struct peer */
  GHashTable *asked;    /* id -> struct asked */
  GHashTable *forwards; /* exchange -> struct asked */
  uint64_t last_id;
};

/** One connection. */
struct peer
{
  struct link_handler base;
  struct peers *peers;
  struct link *link;
  char node[BERYL_NAME_BYTES]; /**< "": not proved yet */
  bool incoming;
  uint8_t proof[PEER_PROOF_BYTES]; /**< from the other side */
  size_t proof_bytes;
  bool refused;        /**< it asked without a proof; close it */
  GHashTable *serving; /**< id -> struct entry_request, of incoming ones */
};

/** A call that another node answers for us. */
struct asked
{
  uint64_t id;
  uint64_t exchange; /**< of beryl_requests; 0: a fetch */
  uint64_t request;  /**< our caller's handle */
  struct peer *peer;
  uint64_t answer_bytes;
  bool ended; /**< the answer is whole or has failed */
};

/** Send a message; false if the link refused it. */
bool peer_send (struct peer *peer, const struct peer_message *message);

/** Messages that the asking side gets. */
void ask_message (struct peer *peer, const struct peer_message *message);

/** The link of an asker broke. */
void ask_broken (struct peer *peer);

/** Messages that the answering side gets. */
void serve_message (struct peer *peer, const struct peer_message *message);

/** The link of an asked node broke: its callers are gone. */
void serve_broken (struct peer *peer);

/** Tell the requests of a peer that what was sent has been taken. */
void serve_sweep (struct peer *peer);

/** Return the connection to NODE, making it if needed, or NULL. */
struct peer *peers_outgoing (struct peers *peers, const char *node);

#endif
