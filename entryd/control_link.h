/** @file
 * The loopback connection of beryl-entryd to its beryl-controld.
 *
 * Reconnects with jitter; while controld is away the last view stays in
 * force.
 */
#ifndef ENTRYD_CONTROL_LINK_H
#define ENTRYD_CONTROL_LINK_H

#include "common/loop.h"
#include "wire/local.h"

struct control_link;
struct control_link_owner;

/** What the owner does with the link's news. */
struct control_link_owner_impl
{
  /** A view arrived; VIEW is valid during the call.  Its objects_json is
   * NULL if the configuration did not change. */
  void (*view) (struct control_link_owner *owner,
                const struct local_view *view);
  /** The connection came up or went away; may be NULL. */
  void (*connected) (struct control_link_owner *owner, bool up);
};

/** The owner; the first member selects the implementation. */
struct control_link_owner
{
  const struct control_link_owner_impl *impl;
};

/** Connect to controld at 127.0.0.1:PORT and keep connected.  HELLO is
 * copied and sent after each connect.  SEED spreads the reconnects. */
struct control_link *control_link_create (struct loop *loop, uint16_t port,
                                          const struct local_hello *hello,
                                          uint64_t seed,
                                          struct control_link_owner *owner);

/** Close; NULL is allowed. */
void control_link_destroy (struct control_link *link);

/** Say what this entryd holds.  Repeated after a reconnect. */
void control_link_holds (struct control_link *link,
                         const struct local_holds *holds);

/** Say the demand since the last report; lost while controld is away. */
void control_link_loads (struct control_link *link,
                         const struct local_loads *loads);

/** Say that the configuration VERSION is in use.  Sent only if it differs
 * from what was said before; repeated after a reconnect. */
void control_link_applied (struct control_link *link, uint64_t version);

/** Say that a planned stop has begun.  Repeated after a reconnect. */
void control_link_leave (struct control_link *link);

#endif
