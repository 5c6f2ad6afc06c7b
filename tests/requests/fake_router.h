/** @file
 * Controls of the router that stands in for the real one in tests.
 */
#ifndef TESTS_FAKE_ROUTER_H
#define TESTS_FAKE_ROUTER_H

#include "beryl/router.h"

/** Let only LIMIT reservations exist at once; more jobs wait. */
void fake_router_limit (struct beryl_router *router, uint32_t limit);

/** Refuse every job for REASON; "" ends it. */
void fake_router_refuse (struct beryl_router *router, const char *reason);

/** Whether a decode engine can be had. */
void fake_router_decodes (struct beryl_router *router, bool decodes);

/** Return the number of reservations that were not released. */
uint32_t fake_router_open (const struct beryl_router *router);

#endif
