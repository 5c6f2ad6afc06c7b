#include <string.h>

#include "../suite.h"
#include "beryl/fields.h"

struct bounds
{
  uint32_t slack;
  int64_t window_ms;
  int64_t lease_ms;
  double rate;
};

#define OFFSET(member) .offset = offsetof (struct bounds, member)

static const struct beryl_field fields[] = {
  { .key = "slack",
    .type = BERYL_FIELD_UINT32,
    OFFSET (slack),
    .max = 1000,
    .rounding = BERYL_ROUND_DOWN,
    .null_is_default = true },
  { .key = "window_s",
    .type = BERYL_FIELD_INT64,
    OFFSET (window_ms),
    .min = 0.1,
    .max = 60,
    .rounding = BERYL_ROUND_UP,
    .unit = 1000 },
  { .key = "lease_ms",
    .type = BERYL_FIELD_INT64,
    OFFSET (lease_ms),
    .max = 60 },
  { .key = "rate",
    .type = BERYL_FIELD_DOUBLE,
    OFFSET (rate),
    .max = 10,
    .rounding = BERYL_ROUND_DOWN },
};

/* Reads TEXT into BOUNDS; returns the number of findings. */
static size_t
read_bounds (const char *text, struct bounds *bounds)
{
  struct beryl_location location = { .findings = beryl_findings_create () };
  json_t *json = json_loads (text, 0, NULL);
  size_t count;

  ck_assert_ptr_nonnull (json);
  *bounds = (struct bounds){ .slack = 7, .window_ms = 7, .lease_ms = 7 };
  beryl_fields_read (&location, json, fields, sizeof fields / sizeof *fields,
                     bounds);
  count = beryl_findings_count (location.findings);
  beryl_findings_destroy (location.findings);
  json_decref (json);
  return count;
}

/* Guards against a process that does not start because a limit is not an
 * integer. */
START_TEST (test_rounded_to_the_safe_side)
{
  struct bounds bounds;

  ck_assert_uint_eq (
      read_bounds ("{\"slack\":67.9,\"window_s\":7.0001,\"rate\":2.5}",
                   &bounds),
      0);
  ck_assert_uint_eq (bounds.slack, 67);
  ck_assert_int_eq (bounds.window_ms, 7001);
  ck_assert_double_eq (bounds.rate, 2.5);
  ck_assert_uint_eq (
      read_bounds ("{\"slack\":52.0,\"window_s\":7.3}", &bounds), 0);
  ck_assert_uint_eq (bounds.slack, 52);
  ck_assert_int_eq (bounds.window_ms, 7300);
}
END_TEST

/* Guards against a limit that overflows, or that is rejected although it can
 * safely be clamped. */
START_TEST (test_beyond_the_range)
{
  struct bounds bounds;

  ck_assert_uint_eq (
      read_bounds ("{\"slack\":1e18,\"window_s\":0,\"rate\":1e18}", &bounds),
      0);
  ck_assert_uint_eq (bounds.slack, 1000);
  ck_assert_int_eq (bounds.window_ms, 100);
  ck_assert_double_eq (bounds.rate, 10);
  ck_assert_uint_eq (
      read_bounds ("{\"slack\":-0.5,\"window_s\":61,\"rate\":-1}", &bounds),
      3);
  ck_assert_uint_eq (read_bounds ("{\"window_s\":-0.5}", &bounds), 1);
  ck_assert_uint_eq (bounds.slack, 7);
  ck_assert_int_eq (bounds.window_ms, 7);
}
END_TEST

/* Guards against reading a value that the platform left null as zero. */
START_TEST (test_null_is_the_default)
{
  struct bounds bounds;

  ck_assert_uint_eq (read_bounds ("{\"slack\":null}", &bounds), 0);
  ck_assert_uint_eq (bounds.slack, 7);
  ck_assert_uint_eq (read_bounds ("{\"window_s\":null}", &bounds), 1);
}
END_TEST

START_TEST (test_exact_members_stay_strict)
{
  struct bounds bounds;

  ck_assert_uint_eq (read_bounds ("{\"lease_ms\":30}", &bounds), 0);
  ck_assert_int_eq (bounds.lease_ms, 30);
  ck_assert_uint_eq (read_bounds ("{\"lease_ms\":30.0}", &bounds), 1);
  ck_assert_uint_eq (read_bounds ("{\"lease_ms\":61}", &bounds), 1);
  ck_assert_uint_eq (read_bounds ("{\"lease_ms\":\"30\"}", &bounds), 1);
  ck_assert_uint_eq (read_bounds ("{\"slack\":true}", &bounds), 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fields");
  TCase *tcase = tcase_create ("fields");

  tcase_add_test (tcase, test_rounded_to_the_safe_side);
  tcase_add_test (tcase, test_beyond_the_range);
  tcase_add_test (tcase, test_null_is_the_default);
  tcase_add_test (tcase, test_exact_members_stay_strict);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
