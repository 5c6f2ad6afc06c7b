/** @file
 * The widely used JSON shapes of completions and chat completions.
 */
#ifndef ENTRYD_COMPLETION_FORMAT_H
#define ENTRYD_COMPLETION_FORMAT_H

#include "entry.h"

/** Return a server-sent event with the next piece of text; g_free() it. */
char *completion_chunk (const struct entry_request *request, const void *bytes,
                        size_t bytes_count);

/** Return the last events: finish reason, usage and [DONE]; g_free() it. */
char *completion_last_chunk (const struct entry_request *request,
                             const struct beryl_action *end);

/** Return the whole answer of a call without streaming; g_free() it. */
char *completion_whole (const struct entry_request *request,
                        const struct beryl_action *end);

#endif
