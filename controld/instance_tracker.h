/** @file
 * Which endpoints are leaving, and which nodes are listed.
 *
 * Both come from the platform's instance list and the planner's drains; the
 * first become facts of the acceptor's log, the second witness the members.
 */
#ifndef CONTROLD_FACTS_H
#define CONTROLD_FACTS_H

#include "control.h"

struct instance_tracker;

/** The acceptor was told something new. */
typedef void instance_tracker_changed_cb (void *user);

/** Begin to watch; ACCEPTOR is borrowed. */
struct instance_tracker *instance_tracker_create (struct control *control,
                            struct beryl_acceptor *acceptor,
                            instance_tracker_changed_cb *moved, void *user);

/** End; NULL is allowed. */
void instance_tracker_destroy (struct instance_tracker *facts);

/** Once a second: take endpoints back, witness the members, delete drains
 * without a planner.  False until the list was read. */
bool instance_tracker_tick (struct instance_tracker *facts);

#endif
