#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "store.h"
#include "../suite.h"

/** Names of the visited objects. */
struct seen
{
  char text[256];
  uint32_t count;
  uint32_t stop_at;
};

static bool
visit (void *user, const struct store_revision *r)
{
  struct seen *seen = user;
  size_t used = strlen (seen->text);

  snprintf (seen->text + used, sizeof seen->text - used, "%s%s%s",
            used ? " " : "", r->deleted ? "-" : "", r->name);
  return ++seen->count != seen->stop_at;
}

static enum store_status
put (struct store *s, const char *name, enum store_condition condition,
     uint64_t *version, const char *value, int64_t now_ms)
{
  return store_put (s, "config", name, condition, version, value,
                    strlen (value), now_ms);
}

START_TEST (test_conditions)
{
  struct store *s = store_create ();
  struct store_revision r;
  uint64_t v = 0;

  ck_assert_int_eq (put (s, "a", STORE_IF_VERSION, &(uint64_t){ 3 }, "1", 10),
                    STORE_CONFLICT);
  ck_assert_int_eq (put (s, "a", STORE_IF_ABSENT, &v, "1", 10), STORE_OK);
  ck_assert_uint_eq (v, 1);
  ck_assert_int_eq (put (s, "a", STORE_IF_ABSENT, &v, "2", 10),
                    STORE_CONFLICT);
  ck_assert_uint_eq (v, 1);
  ck_assert_int_eq (put (s, "a", STORE_IF_VERSION, &v, "2", 11), STORE_OK);
  ck_assert_uint_eq (v, 2);
  ck_assert_int_eq (
      store_delete (s, "config", "a", STORE_IF_VERSION, &(uint64_t){ 1 }, 12),
      STORE_CONFLICT);
  ck_assert_int_eq (store_delete (s, "config", "a", STORE_IF_VERSION, &v, 12),
                    STORE_OK);
  ck_assert_int_eq (store_get (s, "config", "a", 12, &r), STORE_ABSENT);
  ck_assert_int_eq (store_delete (s, "config", "a", STORE_IF_ANY, &v, 12),
                    STORE_ABSENT);
  ck_assert_int_eq (put (s, "a", STORE_IF_ABSENT, &v, "3", 13), STORE_OK);
  ck_assert_uint_eq (v, 4);
  ck_assert_int_eq (put (s, "A", STORE_IF_ANY, &v, "3", 13), STORE_INVALID);
  ck_assert_int_eq (store_put (s, "config", "big", STORE_IF_ANY, &v, "",
                               STORE_VALUE_MAX_BYTES + 1, 13),
                    STORE_TOO_LARGE);
  store_destroy (s);
}
END_TEST

START_TEST (test_reads_of_the_past)
{
  struct store *s = store_create ();
  struct store_revision r;
  struct seen seen = { 0 };
  uint64_t v = 0;

  put (s, "a", STORE_IF_ANY, &v, "old", 100);
  put (s, "a", STORE_IF_ANY, &v, "new", 200);
  put (s, "b", STORE_IF_ANY, &v, "1", 300);
  ck_assert_int_eq (store_get (s, "config", "a", 50, &r), STORE_ABSENT);
  ck_assert_int_eq (store_get (s, "config", "a", 150, &r), STORE_OK);
  ck_assert_str_eq (r.value, "old");
  ck_assert_int_eq (store_get (s, "config", "a", 200, &r), STORE_OK);
  ck_assert_str_eq (r.value, "new");
  ck_assert_uint_eq (store_revision_at (s, 250), 2);
  store_list (s, "config", "", "", 250, visit, &seen);
  ck_assert_str_eq (seen.text, "a");
  store_destroy (s);
}
END_TEST

START_TEST (test_list_pages)
{
  struct store *s = store_create ();
  struct seen all = { 0 }, rest = { 0 }, prefixed = { 0 };
  uint64_t v = 0;

  put (s, "b-2", STORE_IF_ANY, &v, "1", 1);
  put (s, "a", STORE_IF_ANY, &v, "1", 1);
  put (s, "b-1", STORE_IF_ANY, &v, "1", 1);
  store_put (s, "config-2", "z", STORE_IF_ANY, &v, "1", 1, 1);
  store_list (s, "config", "", "", 1, visit, &all);
  ck_assert_str_eq (all.text, "a b-1 b-2");
  store_list (s, "config", "", "a", 1, visit, &rest);
  ck_assert_str_eq (rest.text, "b-1 b-2");
  store_list (s, "config", "b-", "b-1", 1, visit, &prefixed);
  ck_assert_str_eq (prefixed.text, "b-2");
  store_destroy (s);
}
END_TEST

START_TEST (test_events)
{
  struct store *s = store_create ();
  struct seen seen = { 0 }, late = { 0 };
  uint64_t v = 0;

  put (s, "a", STORE_IF_ANY, &v, "1", 1);
  store_put (s, "other", "x", STORE_IF_ANY, &v, "1", 1, 1);
  store_delete (s, "config", "a", STORE_IF_ANY, &v, 2);
  ck_assert_int_eq (store_events (s, "config", 0, visit, &seen), STORE_OK);
  ck_assert_str_eq (seen.text, "a -a");
  store_compact (s);
  ck_assert_int_eq (store_events (s, "config", 2, visit, &late),
                    STORE_COMPACTED);
  ck_assert_int_eq (store_events (s, "config", 3, visit, &late), STORE_OK);
  for (uint32_t i = 0; i <= STORE_EVENTS_MAX; i++)
    put (s, "b", STORE_IF_ANY, &v, "1", 3);
  ck_assert_int_eq (store_events (s, "config", 3, visit, &late),
                    STORE_COMPACTED);
  ck_assert_int_eq (store_events (s, "config", v - 1, visit, &late), STORE_OK);
  ck_assert_str_eq (late.text, "b");
  store_destroy (s);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store");
  TCase *tc = tcase_create ("store");

  tcase_add_test (tc, test_conditions);
  tcase_add_test (tc, test_reads_of_the_past);
  tcase_add_test (tc, test_list_pages);
  tcase_add_test (tc, test_events);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
