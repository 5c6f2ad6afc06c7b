/** @file
 * Makes the claims of free keys durable: the claim log over the platform
 * client and the links to the other nodes.
 */
#ifndef ENTRYD_CLAIMS_LINK_H
#define ENTRYD_CLAIMS_LINK_H

#include "beryl/claims.h"
#include "entry.h"

struct claims_link;

/** Create; works without a platform too, and refuses all claims then. */
struct claims_link *claims_link_create (struct entry *entry, uint64_t seed);

/** Release, before the HTTP context; NULL is allowed. */
void claims_link_destroy (struct claims_link *link);

/** Do BERYL_ACTION_CLAIM; its result comes back as an event. */
void claims_link_claim (struct claims_link *link,
                        const struct beryl_action *action);

/** The live nodes changed. */
void claims_link_members (struct claims_link *link, const char *const *nodes,
                          size_t node_count);

/** A message came from NODE. */
void claims_link_message (struct claims_link *link, const char *node,
                          const struct beryl_claim_message *message);

/** Messages to NODE are lost. */
void claims_link_unreachable (struct claims_link *link, const char *node);

/** The configuration changed: the log may begin. */
void claims_link_config (struct claims_link *link,
                         const struct beryl_config *config);

#endif
