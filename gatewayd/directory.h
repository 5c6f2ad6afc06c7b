/** @file
 * HTTP server for node discovery, readiness and metrics: callers ask which
 * nodes to connect to, the platform asks whether this node is ready.
 */
#ifndef GATEWAYD_DIRECTORY_H
#define GATEWAYD_DIRECTORY_H

#include "beryl/error.h"
#include "common/loop.h"
#include "gateway/wire.h"
#include "settings.h"

struct directory;
struct directory_owner;

/** Queries to the owner. */
struct directory_owner_impl
{
  /** Return whether this node accepts callers. */
  bool (*is_ready) (struct directory_owner *owner);
  /** Append the addresses of the nodes that callers at LOCATION may use, as
   * g_malloc'd "ip:port" strings. */
  void (*append_addresses) (struct directory_owner *owner,
                            const struct gateway_location *location,
                            GPtrArray *addresses);
  /** Return the process's metrics as text, to be freed with free(). */
  char *(*format_metrics) (struct directory_owner *owner);
};

/** The owner; the first member selects the implementation. */
struct directory_owner
{
  const struct directory_owner_impl *impl;
};

/** Listen on the ready, directory and metrics ports; return NULL and set ERROR
 * on failure. */
struct directory *directory_create (struct loop *loop,
                                    const struct gateway_wire *wire,
                                    const struct gateway_settings *settings,
                                    struct directory_owner *owner,
                                    struct beryl_error *error);

/** Set how long callers may cache addresses. */
void directory_set_address_keep (struct directory *directory,
                                 int64_t address_keep_ms);

/** Close all connections and release; NULL is allowed. */
void directory_destroy (struct directory *directory);

#endif
