/** @file
 * Which endpoints are leaving, and which nodes are listed.
 *
 * Both come from the platform's instance list and the planner's drains; the
 * first become facts of the acceptor's log, the second witness the members.
 */
#ifndef CONTROLD_FACTS_H
#define CONTROLD_FACTS_H

#include "control.h"

struct facts;

/** The acceptor was told something new. */
typedef void facts_moved_cb (void *user);

/** Begin to watch; ACCEPTOR is borrowed. */
struct facts *facts_create (struct control *control,
                            struct beryl_acceptor *acceptor,
                            facts_moved_cb *moved, void *user);

/** End; NULL is allowed. */
void facts_destroy (struct facts *facts);

/** Once a second: take endpoints back, witness the members, delete drains
 * without a planner.  False until the list was read. */
bool facts_second (struct facts *facts);

#endif
