/** @file
 * Which nodes of a data centre watch the list of endpoints, and which are fed
 * by them.
 *
 * A change of a watched list costs one call a watcher, so that a fleet in
 * which every node watches makes nodes times changes of them.  A few nodes of
 * each data centre watch and pass on what they see, also that nothing changed.
 * A node that hears none of them for a while watches by itself.
 */
#ifndef BERYL_RELAY_H
#define BERYL_RELAY_H

#include <stdbool.h>
#include <stdint.h>

/** What a node does. */
enum beryl_relay_role
{
  BERYL_RELAY_STANDALONE, /**< watches, for itself only */
  BERYL_RELAY_WATCHER,    /**< watches, and passes on what it sees */
  BERYL_RELAY_FOLLOWER,   /**< is fed, and makes no calls */
};

struct beryl_relay;

/** Create for a node that has to know of a leaving endpoint LEAVE_MS after the
 * list shows it. */
struct beryl_relay *beryl_relay_create (int64_t leave_ms);

/** Release RELAY; NULL is allowed. */
void beryl_relay_destroy (struct beryl_relay *relay);

/** The data centre has NODES live ones, this one included; STANDS: this one is
 * among those that are to watch. */
void beryl_relay_set_group (struct beryl_relay *relay, uint32_t nodes,
                            bool stands);

/** A watcher of the data centre passed on that it has been answered. */
void beryl_relay_note_update (struct beryl_relay *relay, int64_t now_ms);

/** Return what this node does at NOW_MS. */
enum beryl_relay_role beryl_relay_role (const struct beryl_relay *relay,
                                        int64_t now_ms);

/** Return how long a call of a watcher waits for a change, if calls follow
 * SPACING_MS after an answer. */
int64_t beryl_relay_poll_timeout_ms (const struct beryl_relay *relay,
                                     int64_t spacing_ms);

/** Return a name for logs. */
const char *beryl_relay_role_name (enum beryl_relay_role role);

#endif
