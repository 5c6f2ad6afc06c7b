/** @file
 * The entry instances as a caller knows them: asked of GET /v1/entry, kept for
 * the answer's lifetime, and chosen by weight.
 */
#ifndef LOAD_ENTRIES_H
#define LOAD_ENTRIES_H

#include <jansson.h>

#include "caller.h"

/** At most so many entry instances are kept. */
#define ENTRIES_MAX 64

struct entries;

/** Where to ask first: COUNT addresses, which are copied. */
struct entries *entries_create (const struct caller_target *seeds,
                                size_t count);
void entries_destroy (struct entries *entries);

/** Take an answer of /v1/entry; false, and nothing changes, if it names no
 * instance. */
bool entries_take (struct entries *entries, const json_t *answer);

/** Return how long the last answer is good, 0 before the first one. */
int64_t entries_ttl_ms (const struct entries *entries);

/** Choose an instance by RANDOM, evenly from 0 to below 1; before the first
 * answer one of the given addresses. */
const struct caller_target *entries_choose (const struct entries *entries,
                                            double random);

/** Ask now, running the loop until there is an answer or none has come of any
 * given address, and then each time that the answer's lifetime has passed.
 * False if nobody answered. */
bool entries_start (struct entries *entries, struct loop *loop,
                    struct http_context *http, const char *token);

/** End asking; before the HTTP context is destroyed. */
void entries_stop (struct entries *entries);

#endif
