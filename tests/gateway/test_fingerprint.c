#include <check.h>
#include <string.h>

#include "../suite.h"
#include "fingerprint.h"

static uint64_t
fingerprint (const char *id, const char *host, const char *target,
             const char *caller, const char *body)
{
  struct h1_field fields[] = { { "Host", host }, { "X-Request-Id", id } };
  struct h1_head head = {
    .method = "POST", .target = target, .fields = fields, .field_count = 2
  };

  return fingerprint_request (&head, caller, body, strlen (body));
}

/* Guards against not recognising a request that is retried under another
 * id. */
START_TEST (test_same_request)
{
  ck_assert_uint_eq (fingerprint ("1", "h", "/x", "c", "body"),
                     fingerprint ("2", "h", "/x", "c", "body"));
}
END_TEST

/* Guards against equal fingerprints of requests that differ. */
START_TEST (test_other_requests)
{
  uint64_t first = fingerprint ("1", "h", "/x", "c", "body");

  ck_assert_uint_ne (first, 0);
  ck_assert_uint_ne (first, fingerprint ("1", "h", "/x", "c", "other"));
  ck_assert_uint_ne (first, fingerprint ("1", "h", "/x", "d", "body"));
  ck_assert_uint_ne (first, fingerprint ("1", "h", "/y", "c", "body"));
  ck_assert_uint_ne (first, fingerprint ("1", "i", "/x", "c", "body"));
  ck_assert_uint_ne (fingerprint ("1", "h", "/x", "c", ""), 0);
  ck_assert_uint_ne (fingerprint ("1", "h", "/x", "ab", ""),
                     fingerprint ("1", "h", "/x", "a", "b"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fingerprints");
  TCase *tcase = tcase_create ("fingerprints");

  tcase_add_test (tcase, test_same_request);
  tcase_add_test (tcase, test_other_requests);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
