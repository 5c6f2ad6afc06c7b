/** @file
 * Tracks leaving endpoints and listed nodes.
 *
 * Leaving endpoints come from the platform's instance list and from drain
 * objects and become instance facts in the acceptor's log.  Listed nodes
 * confirm the membership.
 */
#ifndef CONTROLD_INSTANCE_TRACKER_H
#define CONTROLD_INSTANCE_TRACKER_H

#include "control.h"

struct instance_tracker;

/** Called after the acceptor was given new facts. */
typedef void instance_tracker_changed_cb (void *user);

/** Start watching; ACCEPTOR is borrowed. */
struct instance_tracker *
instance_tracker_create (struct control *control,
                         struct beryl_acceptor *acceptor,
                         instance_tracker_changed_cb *moved, void *user);

/** Stop watching and release; NULL is allowed. */
void instance_tracker_destroy (struct instance_tracker *facts);

/** Expire leaving endpoints, confirm the members and delete orphaned drains;
 * called once a second.  False until the list was read. */
bool instance_tracker_tick (struct instance_tracker *facts);

#endif
