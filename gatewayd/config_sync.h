/** @file
 * Hands the configuration to peers that are behind, and takes it from peers
 * that are ahead: a node that the store turns away alone follows the others.
 * Connections between nodes; a proof by the fleet's key goes with each
 * configuration.
 */
#ifndef GATEWAYD_PULLS_H
#define GATEWAYD_PULLS_H

#include <stddef.h>
#include <stdint.h>

#include "beryl/error.h"
#include "common/loop.h"

struct config_sync;
struct config_sync_owner;

/** What the owner does with an answer. */
struct config_sync_owner_impl
{
  /** A peer gave a configuration that is newer than this node's. */
  void (*configuration_received) (struct config_sync_owner *owner,
                                  uint64_t revision, const char *value,
                                  size_t value_bytes);
};

/** The owner; the first member selects the implementation. */
struct config_sync_owner
{
  const struct config_sync_owner_impl *impl;
};

/** Listen at IP and PORT; NULL and ERROR on failure. */
struct config_sync *config_sync_create (struct loop *loop, const char *ip,
                                        uint16_t port,
                                        struct config_sync_owner *owner,
                                        struct beryl_error *error);

/** Close and release; NULL is allowed. */
void config_sync_destroy (struct config_sync *sync);

/** Prove and check configurations by KEY. */
void config_sync_set_key (struct config_sync *sync, const char *key);

/** This node has the configuration VALUE of REVISION. */
void config_sync_set_configuration (struct config_sync *sync,
                                    uint64_t revision, const char *value,
                                    size_t value_bytes);

/** Ask the peer at ADDRESS and PORT for its configuration, unless a question
 * is open. */
void config_sync_pull (struct config_sync *sync, const char *address,
                       uint16_t port);

/** Give up connections on which nothing moves; to be called several times a
 * second. */
void config_sync_expire (struct config_sync *sync);

#endif
