/** @file
 * Header field by which a node hands a request over to a peer (struct
 * beryl_handoff).  It is authenticated by the fleet's key: a caller that could
 * set it would evade its organisation's quota.
 */
#ifndef GATEWAYD_HANDOFF_H
#define GATEWAYD_HANDOFF_H

#include <glib.h>

#include "beryl/forward.h"
#include "h1/head.h"

/** Append the field, with its line end, for the request with HEAD. */
void handoff_append (const char *key, const struct h1_head *head,
                     const struct beryl_handoff *handoff, GString *out);

/** Read the field of a request into HANDOFF; return false if there is none, or
 * if it is not authentic.  KEY "" authenticates nothing. */
bool handoff_read (const char *key, const struct h1_head *head,
                   struct beryl_handoff *handoff);

#endif
