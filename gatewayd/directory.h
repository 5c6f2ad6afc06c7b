/** @file
 * Answers who is there: callers ask which nodes to connect to, the platform
 * whether this one is ready.
 */
#ifndef GATEWAYD_DIRECTORY_H
#define GATEWAYD_DIRECTORY_H

#include "beryl/error.h"
#include "common/loop.h"
#include "gateway/wire.h"
#include "settings.h"

struct directory;
struct directory_owner;

/** What the owner knows. */
struct directory_owner_impl
{
  /** Whether this node takes callers. */
  bool (*is_ready) (struct directory_owner *owner);
  /** Add "ip:port" texts (g_malloc'd) of the nodes that callers at PLACE may
   * use. */
  void (*append_addresses) (struct directory_owner *owner,
                            const struct gateway_location *place,
                            GPtrArray *addresses);
  /** Write the process's metrics; free() the text. */
  char *(*format_metrics) (struct directory_owner *owner);
};

/** The owner; the first member selects the implementation. */
struct directory_owner
{
  const struct directory_owner_impl *impl;
};

/** Listen on the settings' ports; NULL and ERROR on failure. */
struct directory *directory_create (struct loop *loop,
                                    const struct gateway_wire *wire,
                                    const struct gateway_settings *settings,
                                    struct directory_owner *owner,
                                    struct beryl_error *error);

/** Change how long callers may keep an answer. */
void directory_set_address_keep (struct directory *directory,
                                 int64_t address_keep_ms);

/** Close all and release; NULL is allowed. */
void directory_destroy (struct directory *directory);

#endif
