/** @file
 * Drains whose planner is gone.
 *
 * The planner's drains keep cold engines leaving until it loads them again.
 * When no planner runs any more, the acceptor deletes them.
 */
#ifndef CONTROLD_ORPHANS_H
#define CONTROLD_ORPHANS_H

#include "control.h"

struct orphans;

/** Create without drains. */
struct orphans *orphans_create (struct control *control);

/** Release; NULL is allowed.  A deletion under way may still take effect. */
void orphans_destroy (struct orphans *orphans);

/** A drain exists, or (VERSION 0) does not any more. */
void orphans_observe (struct orphans *orphans, const char *endpoint,
                      uint64_t version);

/** Once a second: look for the planner, and delete what it left. */
void orphans_second (struct orphans *orphans);

#endif
