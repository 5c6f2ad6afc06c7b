/** @file
 * What the stand-in engines say they did.
 */
#ifndef LOAD_TRUTH_H
#define LOAD_TRUTH_H

#include <jansson.h>

#include "caller.h"

/** Sums over all engines. */
struct truth
{
  uint64_t prefill_tokens;
  uint64_t wasted_prefill_tokens;
  uint64_t held;    /**< streams that still hold engine memory */
  uint64_t doubled; /**< requests decoded to their end more than once */
  uint32_t unread;  /**< engines that did not answer */
};

/** Ask all ENGINES; runs the loop until they have answered.  RUN selects
 * the requests that are looked at. */
void truth_collect (struct loop *loop, struct http_context *http,
                    const struct caller_target *engines, size_t engine_count,
                    const char *run, struct truth *truth);

#endif
