/** @file
 * Records of quarantined requests in the platform's API, which survive a
 * restart of all nodes.
 *
 * They have the kind of the node records, so that the list of those returns
 * them without another call.  An operator lifts a quarantine by deleting its
 * record.
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

/** Write a record that quarantines FINGERPRINT for REMAINING_MS; retries until
 * it is written. */
void quarantine_records_add (struct quarantine_records *records,
                             uint64_t fingerprint, int64_t remaining_ms);

/** Update the quarantine from all records of the kind, which include those of
 * nodes. */
void quarantine_records_update (struct quarantine_records *records,
                                const struct beryl_object *objects,
                                size_t count);

#endif
