/** @file
 * Configuration shared by the tests of this folder.
 */
#ifndef TESTS_TEST_CONFIG_H
#define TESTS_TEST_CONFIG_H

#include "beryl/config.h"

/** Return a configuration with the services advice (model, idempotent),
 * verdict (model, non-idempotent), status (plain, idempotent) and letters
 * (plain, non-idempotent), each with two endpoints of each role. */
const struct beryl_config *test_config (void);

#endif
