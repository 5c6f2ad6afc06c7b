/** @file
 * Functions shared by the modules of the routing table.
 */
#ifndef ROUTES_PRIVATE_H
#define ROUTES_PRIVATE_H

#include "beryl/routes.h"

/* organisations.c */
/** Draw the secret of the keys' digests. */
void organisations_init (struct beryl_routes *routes);
void organisations_clear (struct beryl_routes *routes);
/** Sort organisations and keys; false if a name or a key is not unique. */
bool organisations_freeze (struct beryl_routes *routes);

/* service_ranks.c */
/** Collect the ranks of the requests of each service with engines. */
void service_ranks_freeze (struct beryl_routes *routes);

#endif
