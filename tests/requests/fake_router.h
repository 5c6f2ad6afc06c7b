/** @file
 * Controls of the fake router that replaces the real one in tests.
 */
#ifndef TESTS_FAKE_ROUTER_H
#define TESTS_FAKE_ROUTER_H

#include "beryl/router.h"

/** Allow at most LIMIT reservations at once; more jobs wait. */
void fake_router_limit (struct beryl_router *router, uint32_t limit);

/** Refuse every job with REASON; "" ends this. */
void fake_router_refuse (struct beryl_router *router, const char *reason);

/** Set whether decode engines are available. */
void fake_router_decodes (struct beryl_router *router, bool decodes);

/** Return the number of open reservations. */
uint32_t fake_router_open (const struct beryl_router *router);

#endif
