/** @file
 * Drains engines before the planner unloads them.
 *
 * Unloading an engine in the middle of streams would cut off their callers.
 * An object of kind BERYL_DRAIN_KIND marks the engine as leaving at all
 * nodes; some seconds later no new work can reach it.
 */
#ifndef CONTROLD_DRAINS_H
#define CONTROLD_DRAINS_H

#include "control.h"

struct drains;

/** Create, and read the drains that a previous planner left. */
struct drains *drains_create (struct control *control);

/** Release; NULL is allowed. */
void drains_destroy (struct drains *drains);

/** Start draining ENDPOINT unless that was done, and return whether new work
 * can no longer reach it. */
bool drains_ensure (struct drains *drains, const char *endpoint);

/** Delete the drain of ENDPOINT, if there is one. */
void drains_end (struct drains *drains, const char *endpoint);

#endif
