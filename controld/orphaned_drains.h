/** @file
 * Deletes drains when no planner runs any more.
 *
 * The planner's drains keep cold engines leaving until it loads them again.
 * Without a planner, the acceptor deletes them.
 */
#ifndef CONTROLD_ORPHANED_DRAINS_H
#define CONTROLD_ORPHANED_DRAINS_H

#include "control.h"

struct orphaned_drains;

/** Create without drains. */
struct orphaned_drains *orphaned_drains_create (struct control *control);

/** Release; NULL is allowed.  A pending deletion may still take effect. */
void orphaned_drains_destroy (struct orphaned_drains *orphans);

/** Record that a drain exists at VERSION, or is gone if VERSION is 0. */
void orphaned_drains_observe (struct orphaned_drains *orphans,
                              const char *endpoint, uint64_t version);

/** Check for a planner and delete drains that have none; called once a
 * second. */
void orphaned_drains_tick (struct orphaned_drains *orphans);

#endif
