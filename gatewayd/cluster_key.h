/** @file
 * The key that the nodes' messages to each other are authenticated with.  The
 * first node of a fleet makes it and keeps it in the platform's API, which
 * only nodes and operators can read: whoever can only send datagrams must not
 * be able to declare a node dead or hand out a configuration.
 */
#ifndef GATEWAYD_CLUSTER_KEY_H
#define GATEWAYD_CLUSTER_KEY_H

#include "common/loop.h"
#include "common/platform_client.h"

/** Hex digits of a key, with the NUL. */
#define CLUSTER_KEY_BYTES 65

struct cluster_key;

/** Called once, when the key is known. */
typedef void cluster_key_cb (void *user, const char key[CLUSTER_KEY_BYTES]);

/** Begin to read the key, or to make it. */
struct cluster_key *cluster_key_create (struct loop *loop,
                                        struct platform_client *client,
                                        cluster_key_cb *cb, void *user);

/** Release; NULL is allowed. */
void cluster_key_destroy (struct cluster_key *key);

#endif
