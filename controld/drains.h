/** @file
 * Engines that take no new work before the planner unloads them.
 *
 * An engine that is unloaded in the middle of streams cuts off their callers.
 * An object of kind BERYL_DRAIN_KIND makes it leave for all nodes; some
 * seconds later nothing new can reach it.
 */
#ifndef CONTROLD_DRAINS_H
#define CONTROLD_DRAINS_H

#include "control.h"

struct drains;

/** Create, with what a former planner left. */
struct drains *drains_create (struct control *control);

/** Release; NULL is allowed. */
void drains_destroy (struct drains *drains);

/** Whether no new work reaches ENDPOINT any more; begins its drain if it has
 * none. */
bool drains_ensure (struct drains *drains, const char *endpoint);

/** Let work in again, if ENDPOINT was drained. */
void drains_end (struct drains *drains, const char *endpoint);

#endif
