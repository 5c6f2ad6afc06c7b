/** @file
 * Decides which nodes of a data centre watch the endpoint list and which
 * receive it from them.
 *
 * Each change of a watched list costs one call per watcher, so the cost grows
 * with the number of watching nodes.  A few nodes of each data centre watch
 * and relay what they see, including that nothing changed.  A node that
 * receives nothing from them for a while watches by itself.
 */
#ifndef BERYL_RELAY_H
#define BERYL_RELAY_H

#include <stdbool.h>
#include <stdint.h>

/** Role of a node. */
enum beryl_relay_role
{
  BERYL_RELAY_STANDALONE, /**< watches for itself only */
  BERYL_RELAY_WATCHER,    /**< watches and relays what it sees */
  BERYL_RELAY_FOLLOWER, /**< receives the list from watchers and makes no calls
                         */
};

struct beryl_relay;

/** Create the relay state of a node that must learn of a leaving endpoint
 * within LEAVE_MS after the list shows it. */
struct beryl_relay *beryl_relay_create (int64_t leave_ms);

/** Release RELAY; NULL is allowed. */
void beryl_relay_destroy (struct beryl_relay *relay);

/** Set the number of live nodes in the data centre, this one included, and
 * whether this node is elected to watch. */
void beryl_relay_set_nodes (struct beryl_relay *relay, uint32_t nodes,
                            bool elected);

/** Record an update relayed by a watcher of the data centre. */
void beryl_relay_note_update (struct beryl_relay *relay, int64_t now_ms);

/** Return the role of this node at NOW_MS. */
enum beryl_relay_role beryl_relay_role (const struct beryl_relay *relay,
                                        int64_t now_ms);

/** Return the long-poll timeout of a watcher's calls, given that it pauses for
 * SPACING_MS between an answer and the next call. */
int64_t beryl_relay_poll_timeout_ms (const struct beryl_relay *relay,
                                     int64_t spacing_ms);

/** Return the stable name of ROLE for logs. */
const char *beryl_relay_role_name (enum beryl_relay_role role);

#endif
