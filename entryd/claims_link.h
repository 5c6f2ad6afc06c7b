/** @file
 * Makes the claims of free keys durable.
 */
#ifndef ENTRYD_CLAIMS_LINK_H
#define ENTRYD_CLAIMS_LINK_H

#include "entry.h"

/** Do BERYL_ACTION_CLAIM; its result comes back as an event. */
void claims_link_claim (struct entry *entry,
                        const struct beryl_action *action);

#endif
