/** @file
 * Serves the configuration to peers that are behind and pulls it from peers
 * that are ahead, so that a node without access to the store follows the
 * others.
 *
 * Nodes connect to each other over TCP, at the peer port.  Each configuration
 * carries a message authentication code (MAC), computed with the cluster
 * key.
 */
#ifndef GATEWAYD_CONFIG_SYNC_H
#define GATEWAYD_CONFIG_SYNC_H

#include <stddef.h>
#include <stdint.h>

#include "beryl/error.h"
#include "common/loop.h"

struct config_sync;
struct config_sync_owner;

/** Callbacks to the owner. */
struct config_sync_owner_impl
{
  /** A configuration that is newer than this node's was received from a
   * peer. */
  void (*configuration_received) (struct config_sync_owner *owner,
                                  uint64_t revision, const char *value,
                                  size_t value_bytes);
};

/** The owner; the first member selects the implementation. */
struct config_sync_owner
{
  const struct config_sync_owner_impl *impl;
};

/** Listen at IP and PORT; return NULL and set ERROR on failure. */
struct config_sync *config_sync_create (struct loop *loop, const char *ip,
                                        uint16_t port,
                                        struct config_sync_owner *owner,
                                        struct beryl_error *error);

/** Close and release; NULL is allowed. */
void config_sync_destroy (struct config_sync *sync);

/** Set the key that authenticates configurations. */
void config_sync_set_key (struct config_sync *sync, const char *key);

/** Set the configuration that peers may pull: VALUE, at REVISION. */
void config_sync_set_configuration (struct config_sync *sync,
                                    uint64_t revision, const char *value,
                                    size_t value_bytes);

/** Pull the configuration of the peer at ADDRESS and PORT, unless a pull is in
 * progress. */
void config_sync_pull (struct config_sync *sync, const char *address,
                       uint16_t port);

/** Close connections without progress; to be called several times a second. */
void config_sync_expire (struct config_sync *sync);

#endif
