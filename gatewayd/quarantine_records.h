/** @file
 * Records of quarantined requests in the platform's API, which outlive all
 * nodes.  They stand among the records of nodes, so that the list of those
 * brings them without a call of their own.  An operator lifts a quarantine by
 * deleting its record.
 */
#ifndef GATEWAYD_QUARANTINE_RECORDS_H
#define GATEWAYD_QUARANTINE_RECORDS_H

#include "beryl/quarantine.h"
#include "common/loop.h"
#include "common/platform_client.h"
#include "settings.h"

struct quarantine_records;

/** Create; QUARANTINE must outlive it. */
struct quarantine_records *
quarantine_records_create (struct loop *loop, struct platform_client *client,
                           const struct gateway_settings *settings,
                           struct beryl_quarantine *quarantine);

/** Release; the records stay.  NULL is allowed. */
void quarantine_records_destroy (struct quarantine_records *records);

/** Put FINGERPRINT on record for LEFT_MS, until that is done. */
void quarantine_records_add (struct quarantine_records *records,
                             uint64_t fingerprint, int64_t left_ms);

/** Take all records of the kind, those of nodes included. */
void quarantine_records_update (struct quarantine_records *records,
                                const struct beryl_object *objects,
                                size_t count);

#endif
