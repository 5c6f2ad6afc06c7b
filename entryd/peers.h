/** @file
 * Links between beryl-entryd processes: calls of bound keys are forwarded to
 * the node of their key, answers are fetched from the node that keeps them,
 * claims go to the home of their shard.
 *
 * Who asks connects; the other side answers on the same connection.
 */
#ifndef ENTRYD_PEERS_H
#define ENTRYD_PEERS_H

#include "entry.h"
#include "wire/peer.h"

struct peers;

/** Listen on the settings' peer port; NULL and ERROR on failure. */
struct peers *peers_create (struct entry *entry, struct beryl_error *error);

/** Release; NULL is allowed. */
void peers_destroy (struct peers *peers);

/** Return the port in use. */
uint16_t peers_port (const struct peers *peers);

/** Send a claim message to NODE; false if that is impossible. */
bool peers_send_claim (struct peers *peers, const char *node,
                       const struct beryl_claim_message *message);

/** Do BERYL_ACTION_FORWARD. */
void peers_forward (struct peers *peers, const struct beryl_action *action);

/** The exchange of a forwarded call is given up; false if it is none. */
bool peers_abort (struct peers *peers, uint64_t exchange);

/** Ask the node of INCARNATION for an answer; false if it is not known. */
bool peers_fetch (struct peers *peers, struct entry_request *request,
                  uint64_t incarnation, const struct peer_fetch *fetch);

/** The caller of a request that another node answered has ended. */
void peers_caller_ended (struct peers *peers, struct entry_request *request,
                         bool whole);

/** Pass an answer on to the node that asked. */
void peer_reply (struct entry_request *request,
                 const struct beryl_action *action);

#endif
