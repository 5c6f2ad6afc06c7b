#include <check.h>
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "beryl/routes.h"

#define MANY 10000
/* Of struct beryl_route_key. */
#define DIGEST_BYTES 32
#define KEY_BYTES (DIGEST_BYTES + sizeof (uint32_t))

static struct beryl_routes *routes;

static void
setup (void)
{
  routes = beryl_routes_create (1);
}

static void
teardown (void)
{
  beryl_routes_unref (routes);
}

static size_t
add (const char *name, const char *key)
{
  struct beryl_route_organisation organisation = { 0 };
  size_t index;

  snprintf (organisation.name, sizeof organisation.name, "%s", name);
  index = beryl_routes_add_organisation (routes, &organisation);
  if (key != NULL)
    beryl_routes_add_key (routes, index, key);
  return index;
}

static const char *
holder (const char *key)
{
  const struct beryl_route_organisation *organisation
      = beryl_routes_authenticate (routes, key);

  return organisation != NULL ? organisation->name : "";
}

START_TEST (test_keys)
{
  size_t second;

  add ("first", "key-1");
  second = add ("second", "key-2");
  beryl_routes_add_key (routes, second, "key-3");
  add ("third", NULL);
  ck_assert (beryl_routes_freeze (routes));
  ck_assert_str_eq (holder ("key-1"), "first");
  ck_assert_str_eq (holder ("key-2"), "second");
  ck_assert_str_eq (holder ("key-3"), "second");
  ck_assert_str_eq (holder ("key-4"), "");
  ck_assert_str_eq (holder ("key-"), "");
  ck_assert_str_eq (holder (""), "");
}
END_TEST

START_TEST (test_no_organisations)
{
  ck_assert (beryl_routes_freeze (routes));
  ck_assert_str_eq (holder ("key-1"), "");
}
END_TEST

/* Guards against requests that count for one of two organisations by chance.
 */
START_TEST (test_key_of_two_organisations)
{
  add ("first", "key-1");
  add ("second", "key-1");
  ck_assert (!beryl_routes_freeze (routes));
}
END_TEST

START_TEST (test_key_twice_in_one_organisation)
{
  size_t index = add ("first", "key-1");

  beryl_routes_add_key (routes, index, "key-1");
  ck_assert (beryl_routes_freeze (routes));
  ck_assert_str_eq (holder ("key-1"), "first");
}
END_TEST

START_TEST (test_one_name_twice)
{
  add ("first", "key-1");
  add ("first", "key-2");
  ck_assert (!beryl_routes_freeze (routes));
}
END_TEST

/* Guards against a key table that holds the keys themselves. */
START_TEST (test_keys_are_not_kept)
{
  static const char key[] = "a-key-that-nobody-must-find";
  const char *bytes;
  size_t size;

  add ("first", key);
  ck_assert (beryl_routes_freeze (routes));
  bytes = (const char *)routes->keys;
  size = routes->key_count * 36;
  for (size_t i = 0; i + 8 <= size; i++)
    ck_assert_int_ne (memcmp (bytes + i, key, 8), 0);
}
END_TEST

/* Nodes report use by ids, so that these must not depend on the order in which
 * a configuration lists the organisations. */
START_TEST (test_ids_are_the_same_at_all_nodes)
{
  struct beryl_routes *other = beryl_routes_create (1);
  struct beryl_route_organisation organisation = { 0 };

  for (int i = 0; i < MANY; i++)
    {
      char name[24];

      snprintf (name, sizeof name, "org-%d", i);
      add (name, name);
      snprintf (organisation.name, sizeof organisation.name, "org-%d",
                MANY - 1 - i);
      beryl_routes_add_organisation (other, &organisation);
    }
  ck_assert (beryl_routes_freeze (routes));
  ck_assert (beryl_routes_freeze (other));
  for (size_t i = 0; i < MANY; i++)
    {
      ck_assert_uint_eq (routes->organisations[i].id,
                         other->organisations[i].id);
      ck_assert_str_eq (routes->organisations[i].name,
                        other->organisations[i].name);
      ck_assert (i == 0
                 || routes->organisations[i].id
                        > routes->organisations[i - 1].id);
    }
  ck_assert_str_eq (holder ("org-4711"), "org-4711");
  beryl_routes_unref (other);
}
END_TEST

START_TEST (test_long_key)
{
  char key[4097];

  memset (key, 'k', sizeof key - 1);
  key[sizeof key - 1] = '\0';
  add ("first", key);
  ck_assert (beryl_routes_freeze (routes));
  ck_assert_str_eq (holder (key), "first");
  key[4095] = 'l';
  ck_assert_str_eq (holder (key), "");
}
END_TEST

/* Each digest is under the table's secret, not only the first. */
START_TEST (test_digests_differ_between_tables)
{
  struct beryl_routes *first = routes;

  add ("first", "key-1");
  add ("second", "key-2");
  ck_assert (beryl_routes_freeze (first));
  for (int second_only = 0; second_only < 2; second_only++)
    {
      routes = beryl_routes_create (1);
      add ("first", second_only ? "key-2" : "key-1");
      ck_assert (beryl_routes_freeze (routes));
      /* A key begins with its digest. */
      for (size_t i = 0; i < 2; i++)
        ck_assert_int_ne (memcmp (routes->keys,
                                  (const char *)first->keys + i * KEY_BYTES,
                                  DIGEST_BYTES),
                          0);
      beryl_routes_unref (routes);
    }
  routes = first;
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("organisations");
  TCase *tcase = tcase_create ("organisations");

  /* Ten thousand digests take seconds under the sanitizers. */
  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_keys);
  tcase_add_test (tcase, test_no_organisations);
  tcase_add_test (tcase, test_digests_differ_between_tables);
  tcase_add_test (tcase, test_key_of_two_organisations);
  tcase_add_test (tcase, test_key_twice_in_one_organisation);
  tcase_add_test (tcase, test_one_name_twice);
  tcase_add_test (tcase, test_keys_are_not_kept);
  tcase_add_test (tcase, test_ids_are_the_same_at_all_nodes);
  tcase_add_test (tcase, test_long_key);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
