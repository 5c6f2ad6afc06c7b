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

struct pulls;
struct pulls_owner;

/** What the owner does with an answer. */
struct pulls_owner_impl
{
  /** A peer gave a configuration that is newer than this node's. */
  void (*configuration) (struct pulls_owner *owner, uint64_t revision,
                         const char *value, size_t value_bytes);
};

/** The owner; the first member selects the implementation. */
struct pulls_owner
{
  const struct pulls_owner_impl *impl;
};

/** Listen at IP and PORT; NULL and ERROR on failure. */
struct pulls *pulls_create (struct loop *loop, const char *ip, uint16_t port,
                            struct pulls_owner *owner,
                            struct beryl_error *error);

/** Close and release; NULL is allowed. */
void pulls_destroy (struct pulls *pulls);

/** Prove and check configurations by KEY. */
void pulls_set_key (struct pulls *pulls, const char *key);

/** This node has the configuration VALUE of REVISION. */
void pulls_set_configuration (struct pulls *pulls, uint64_t revision,
                              const char *value, size_t value_bytes);

/** Ask the peer at ADDRESS and PORT for its configuration, unless a question
 * is open. */
void pulls_ask (struct pulls *pulls, const char *address, uint16_t port);

/** Give up connections on which nothing moves; to be called several times a
 * second. */
void pulls_expire (struct pulls *pulls);

#endif
