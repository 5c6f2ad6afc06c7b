/* Unit tests of reassembly, retry budgets and the map. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../libberyl/base/map.h"
#include "../../libberyl/requests/reassembly.h"
#include "../../libberyl/requests/retry_budget.h"
#include "../suite.h"

/* Every call of a failing service fails: without a budget each first attempt
 * would be retried several times, when the service can sustain the least. */
START_TEST (retries_are_a_share_of_first_tries)
{
  struct retry_budgets budgets = { 0 };
  int retries = 0;

  for (int i = 0; i < 1000; i++)
    {
      retry_budget_earn (&budgets, "status", 20);
      for (int k = 0; k < 4; k++)
        retries += retry_budget_spend (&budgets, "status");
    }
  ck_assert_int_le (retries, 200 + RETRY_BUDGET_BURST);
  ck_assert_int_ge (retries, 190);
  ck_assert (!retry_budget_spend (&budgets, "letters"));
  retry_budget_earn (&budgets, "letters", 20);
  ck_assert (retry_budget_spend (&budgets, "letters"));
  retry_budgets_clear (&budgets);
}
END_TEST

static void
append (void *data, const void *bytes, size_t bytes_count, uint32_t tokens)
{
  strncat (data, bytes, bytes_count);
}

START_TEST (pieces_come_out_once_and_in_order)
{
  struct reassembly r = { 0 };
  char out[64] = "";

  ck_assert (reassembly_add (&r, 6, "gh", 2, 0, append, out));
  ck_assert (reassembly_add (&r, 2, "cdef", 4, 0, append, out));
  ck_assert (reassembly_add (&r, 4, "ef", 2, 0, append, out));
  ck_assert_str_eq (out, "");
  ck_assert (reassembly_add (&r, 0, "abc", 3, 0, append, out));
  ck_assert_str_eq (out, "abcdefgh");
  ck_assert (reassembly_add (&r, 0, "abcdefgh", 8, 0, append, out));
  ck_assert_str_eq (out, "abcdefgh");
  ck_assert_uint_eq (r.next, 8);
  ck_assert_uint_eq (r.buffered_bytes, 0);
}
END_TEST

/* A faulty engine sends everything but the first byte: the pieces buffered
 * behind the gap must be bounded. */
START_TEST (waiting_pieces_are_bounded)
{
  struct reassembly r = { 0 };
  static char piece[4096];
  char out[8] = "";
  bool accepted = true;

  for (uint64_t i = 0; accepted && i < 1000; i++)
    accepted = reassembly_add (&r, 1 + i * sizeof piece, piece, sizeof piece,
                               0, append, out);
  ck_assert (!accepted);
  ck_assert_uint_le (r.buffered_bytes, REASSEMBLY_BUFFER_MAX_BYTES);
  reassembly_discard_buffered (&r);
  ck_assert_uint_eq (r.buffered_bytes, 0);
}
END_TEST

START_TEST (map_keeps_what_was_not_removed)
{
  struct map map = { 0 };
  static int values[3000];

  for (uint64_t i = 0; i < 3000; i++)
    ck_assert (map_put (&map, map_key_from_number (i * 7), &values[i]));
  for (uint64_t i = 0; i < 3000; i += 3)
    map_remove (&map, map_key_from_number (i * 7));
  for (uint64_t i = 0; i < 3000; i++)
    ck_assert_ptr_eq (map_get (&map, map_key_from_number (i * 7)),
                      i % 3 == 0 ? NULL : &values[i]);
  ck_assert_uint_eq (map.count, 2000);
  map_clear (&map);
}
END_TEST

/* Scope "ab" with name "c" and scope "a" with name "bc" are different keys. */
START_TEST (digest_separates_scope_and_name)
{
  struct map_key a = map_key_from_name ("ab", "c");
  struct map_key b = map_key_from_name ("a", "bc");

  ck_assert (a.high != b.high && a.low != b.low);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("parts");
  TCase *tcase = tcase_create ("parts");

  tcase_add_test (tcase, retries_are_a_share_of_first_tries);
  tcase_add_test (tcase, pieces_come_out_once_and_in_order);
  tcase_add_test (tcase, waiting_pieces_are_bounded);
  tcase_add_test (tcase, map_keeps_what_was_not_removed);
  tcase_add_test (tcase, digest_separates_scope_and_name);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
