/** @file
 * Turns the answers of beryl_requests into HTTP answers.
 */
#ifndef ENTRYD_REPLY_H
#define ENTRYD_REPLY_H

#include "entry.h"

/** Do a REPLY action. */
void reply_act (struct entry *entry, const struct beryl_action *action);

#endif
