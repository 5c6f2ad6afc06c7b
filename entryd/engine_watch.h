/** @file
 * Polls the engines for their load and their prefix-cache events.
 *
 * The rate is bounded for each engine over the whole fleet: the more nodes
 * there are, the more rarely each of them asks.
 */
#ifndef ENTRYD_ENGINE_WATCH_H
#define ENTRYD_ENGINE_WATCH_H

#include "entry.h"

struct engine_watch;

/** Create; polls whatever the configuration holds. */
struct engine_watch *engine_watch_create (struct entry *entry);

/** Stop polling; calls in flight end with the HTTP context. */
void engine_watch_close (struct engine_watch *watch);

/** Release, after the HTTP context; NULL is allowed. */
void engine_watch_destroy (struct engine_watch *watch);

#endif
