/** @file
 * The configuration that all tests of this folder share.
 */
#ifndef TESTS_TEST_CONFIG_H
#define TESTS_TEST_CONFIG_H

#include "beryl/config.h"

/** Services advice (model, idempotent), verdict (model, non-idempotent),
 * status (plain, idempotent) and letters (plain, non-idempotent), each with
 * two endpoints of a kind. */
const struct beryl_config *test_config (void);

#endif
