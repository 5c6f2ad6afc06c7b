/** @file
 * The last routing decisions: a log line each, and kept for a while for
 * operators who ask why.
 */
#ifndef ENTRYD_DECISIONS_H
#define ENTRYD_DECISIONS_H

#include "entry.h"

struct decisions;

/** Create an empty list. */
struct decisions *decisions_create (void);

/** Release; NULL is allowed. */
void decisions_destroy (struct decisions *decisions);

/** Log and keep a BERYL_ACTION_DECISION. */
void decisions_add (struct entry *entry, const struct beryl_action *action);

/** Answer GET /v1/explain/{id}; needs the operators' token. */
void explain_request (struct entry *entry, struct http_exchange *ex,
                      const char *path);

#endif
