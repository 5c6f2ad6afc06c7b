/** @file
 * Helpers that make requests for the tests of the platform client.
 */
#ifndef TESTS_PLATFORM_REQUEST_HELPERS_H
#define TESTS_PLATFORM_REQUEST_HELPERS_H

#include "fake.h"

/** Return the options of a request with a deadline in SECONDS. */
struct beryl_platform_options request_options (const struct fake *f,
                                               enum beryl_platform_use use,
                                               int64_t seconds, bool wait);

/** Write {"nonce":NONCE} to object NAME under CONDITION; return the request.
 */
uint64_t request_put (struct fake_client *c, const char *name,
                      enum beryl_condition condition, uint64_t version,
                      const char *nonce, int64_t seconds);

/** Read object NAME; return the request. */
uint64_t request_get (struct fake_client *c, const char *name,
                      uint64_t min_version, int64_t seconds);

/** Write directly into the store, as another client would. */
void store_write_as_other (struct fake *f, const char *name,
                           const char *value);

/** Return the number of writes that took effect. */
uint32_t store_count_writes (struct fake *f);

#endif
