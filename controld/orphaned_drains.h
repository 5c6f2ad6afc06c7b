/** @file
 * Drains whose planner is gone.
 *
 * The planner's drains keep cold engines leaving until it loads them again.
 * When no planner runs any more, the acceptor deletes them.
 */
#ifndef CONTROLD_ORPHANS_H
#define CONTROLD_ORPHANS_H

#include "control.h"

struct orphaned_drains;

/** Create without drains. */
struct orphaned_drains *orphaned_drains_create (struct control *control);

/** Release; NULL is allowed.  A deletion under way may still take effect. */
void orphaned_drains_destroy (struct orphaned_drains *orphans);

/** A drain exists, or (VERSION 0) does not any more. */
void orphaned_drains_observe (struct orphaned_drains *orphans, const char *endpoint,
                      uint64_t version);

/** Once a second: look for the planner, and delete what it left. */
void orphaned_drains_tick (struct orphaned_drains *orphans);

#endif
