/** @file
 * Key that authenticates the messages between nodes.
 *
 * The first node of a fleet creates it and stores it as an object in the
 * platform's API, which is meant to be read only by nodes and operators.
 * Without it, anyone who can send datagrams could declare a node dead or
 * distribute a configuration.
 */
#ifndef GATEWAYD_CLUSTER_KEY_H
#define GATEWAYD_CLUSTER_KEY_H

#include "common/loop.h"
#include "common/platform_client.h"

/** Size of a key in hex digits, including the NUL. */
#define CLUSTER_KEY_BYTES 65

struct cluster_key;

/** Called when the key is available, and each time it has been checked. */
typedef void cluster_key_cb (void *user, const char key[CLUSTER_KEY_BYTES]);

/** Start reading the key, or creating it if there is none; retries until it
 * succeeds. */
struct cluster_key *cluster_key_create (struct loop *loop,
                                        struct platform_client *client,
                                        cluster_key_cb *cb, void *user);

/** Read the key again, since the store may have lost it; it is then written
 * again. */
void cluster_key_check (struct cluster_key *key);

/** Release; NULL is allowed. */
void cluster_key_destroy (struct cluster_key *key);

#endif
