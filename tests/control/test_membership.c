#include <check.h>
#include <stdio.h>

#include "cluster.h"
#include "mutant.h"

/* Guards against slow discovery when all instances start together and know
 * only the instance list. */
START_TEST (members_discover_each_other)
{
  struct cluster *c = cluster_create (1, 8, 4, 1);
  int64_t took_ms = cluster_until_alive (c, 30000);

  printf ("8 nodes find each other in %ld ms\n", took_ms);
  ck_assert_int_le (took_ms, 10000);
  cluster_destroy (c);
}
END_TEST

/* Guards against slow failure detection: callers are given the address of a
 * node that lost power until the others suspect it.  No other node may become
 * suspect. */
START_TEST (dead_node_is_suspected)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct cluster *c = cluster_create (seed, 8, 4, 1);
      int64_t took_ms;

      cluster_until_alive (c, 30000);
      c->nodes[3].down = true;
      took_ms = cluster_until_suspected (c, 3, 60000);
      ck_assert_int_le (took_ms, 6000);
      for (int i = 0; i < 8; i++)
        ck_assert (i == 3
                   || cluster_seen_as (c, i, BERYL_MEMBER_SUSPECT) == 0);
      cluster_destroy (c);
    }
}
END_TEST

/* Guards against discovery returning a node for more than two seconds after it
 * received SIGTERM, even with packet loss. */
START_TEST (leaving_node_is_announced)
{
  struct cluster *c = cluster_create (2, 40, 4, 2);
  int behind = 0;

  cluster_until_alive (c, 60000);
  c->loss_percent = 5;
  beryl_membership_leave (c->nodes[7].m, cluster_now_ms (c));
  cluster_run (c, 2000);
  for (int i = 0; i < c->node_count; i++)
    behind += !beryl_membership_find (c->nodes[i].m, c->list[7].name)->leaving;
  ck_assert_int_eq (behind, 0);
  cluster_destroy (c);
}
END_TEST

/* Guards against declaring nodes dead during a partition of three minutes
 * between regions.  The streams of these nodes would be cancelled, and
 * hundreds of them would have to rejoin at once afterwards. */
START_TEST (region_partition_heals)
{
  struct cluster *c = cluster_create (3, 24, 6, 3);
  int64_t took_ms;

  cluster_until_alive (c, 60000);
  c->partitioned_region = 1;
  cluster_run (c, 180000);
  ck_assert_int_eq (cluster_seen_as (c, 1, BERYL_MEMBER_SUSPECT), 16);
  c->partitioned_region = -1;
  took_ms = cluster_until_alive (c, 120000);
  printf ("24 nodes, region apart for 180 s: whole after %ld ms\n", took_ms);
  ck_assert_int_le (took_ms, 30000);
  for (int i = 0; i < c->node_count; i++)
    ck_assert_uint_eq (c->nodes[i].deaths, 0);
  cluster_destroy (c);
}
END_TEST

/* Guards against cancelling the streams of live nodes because the instance
 * list flaps: in most readings some live instances are missing. */
START_TEST (flapping_list_causes_no_death)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      struct cluster *c = cluster_create (seed, 12, 3, 1);

      cluster_until_alive (c, 30000);
      c->list_flaps = true;
      c->loss_percent = 5;
      cluster_run (c, 60000);
      for (int i = 0; i < c->node_count; i++)
        ck_assert_msg (c->nodes[i].deaths == 0, "seed %lu", seed);
      cluster_destroy (c);
    }
}
END_TEST

/* A silent instance is dead, and its work may be cancelled, only once it is
 * also missing from the platform's instance list. */
START_TEST (absence_from_list_confirms_death)
{
  struct cluster *c = cluster_create (4, 8, 4, 1);

  cluster_until_alive (c, 30000);
  c->nodes[7].down = true;
  cluster_run (c, 30000);
  ck_assert_int_eq (cluster_seen_as (c, 7, BERYL_MEMBER_DEAD), 0);
  ck_assert_int_eq (cluster_seen_as (c, 7, BERYL_MEMBER_SUSPECT), 7);
  c->listed_count = 7;
  cluster_run (c, 10000);
  ck_assert_int_eq (cluster_seen_as (c, 7, BERYL_MEMBER_DEAD), 7);
  cluster_destroy (c);
}
END_TEST

/* Guards against a late record of a node's previous incarnation affecting the
 * new one, when the node restarts while the others still suspect it. */
START_TEST (restart_replaces_previous_incarnation)
{
  struct cluster *c = cluster_create (5, 8, 4, 1);
  struct beryl_member old;

  cluster_until_alive (c, 30000);
  old = *beryl_membership_self (c->nodes[2].m);
  old.state = BERYL_MEMBER_DEAD;
  c->nodes[2].down = true;
  cluster_run (c, 8000);
  beryl_membership_destroy (c->nodes[2].m);
  node_start (&c->nodes[2]);
  ck_assert_int_le (cluster_until_alive (c, 30000), 15000);
  beryl_membership_merge (c->nodes[0].m, &old, 1, cluster_now_ms (c));
  cluster_run (c, 5000);
  ck_assert_int_eq (cluster_seen_as (c, 2, BERYL_MEMBER_ALIVE), 7);
  cluster_destroy (c);
}
END_TEST

/* A node that is paused for ten seconds by a slow host becomes suspect.  When
 * it resumes, it must refute this and must not suspect all others because
 * their answers are missing. */
START_TEST (paused_node_refutes)
{
  struct cluster *c = cluster_create (6, 12, 3, 1);
  uint64_t incarnation;

  cluster_until_alive (c, 30000);
  incarnation = beryl_membership_self (c->nodes[4].m)->incarnation;
  c->nodes[4].frozen = true;
  cluster_run (c, 10000);
  ck_assert_int_eq (cluster_seen_as (c, 4, BERYL_MEMBER_SUSPECT), 11);
  c->nodes[4].frozen = false;
  ck_assert_int_le (cluster_until_alive (c, 30000), 15000);
  ck_assert_uint_gt (beryl_membership_self (c->nodes[4].m)->incarnation,
                     incarnation);
  cluster_destroy (c);
}
END_TEST

/* Guards against declaring a paused node dead because a single reading of the
 * instance list misses it.  Its streams, which it continues when it resumes,
 * would be cancelled. */
START_TEST (single_missing_listing_causes_no_death)
{
  struct cluster *c = cluster_create (9, 12, 3, 1);

  cluster_until_alive (c, 30000);
  c->nodes[11].frozen = true;
  cluster_run (c, 9000);
  c->listed_count = 11;
  cluster_run (c, 1500);
  c->listed_count = 12;
  cluster_run (c, 2000);
  c->nodes[11].frozen = false;
  cluster_run (c, 5000);
  for (int i = 0; i < c->node_count; i++)
    ck_assert_uint_eq (c->nodes[i].deaths, 0);
  cluster_destroy (c);
}
END_TEST

/* Guards against a slow announcement of configuration changes, which leaves
 * some nodes on old rules, with packet loss. */
START_TEST (config_version_propagates)
{
  struct cluster *c = cluster_create (7, 40, 4, 2);
  int64_t start_ms;
  int behind = 40;

  cluster_until_alive (c, 60000);
  c->loss_percent = 5;
  start_ms = cluster_now_ms (c);
  beryl_membership_set_config (c->nodes[0].m, 9, start_ms);
  while (behind > 0 && cluster_now_ms (c) - start_ms < 20000)
    {
      cluster_run (c, 10);
      behind = 0;
      for (int i = 0; i < c->node_count; i++)
        behind += beryl_membership_self (c->nodes[i].m)->config_version != 9;
    }
  printf ("40 nodes, 5%% loss: version known everywhere after %ld ms\n",
          cluster_now_ms (c) - start_ms);
  ck_assert_int_le (cluster_now_ms (c) - start_ms, 2000);
  cluster_destroy (c);
}
END_TEST

/* Guards against callers connecting to a failed data centre: its nodes must be
 * suspect everywhere within seconds, whereas probing in normal order would
 * take the bridges a minute.  Also checks the traffic of an idle cluster.
 * bench_membership measures the same for 400 nodes. */
START_TEST (lost_data_centre_is_suspected)
{
  struct cluster *c = cluster_create (8, 120, 6, 3);
  uint64_t before;
  uint64_t rate;

  ck_assert_int_le (cluster_until_alive (c, 60000), 20000);
  cluster_run (c, 10000);
  before = cluster_sent_bytes (c);
  cluster_run (c, 10000);
  rate = (cluster_sent_bytes (c) - before) / 120 / 10;
  printf ("120 nodes at rest: %lu B/s sent per node\n", rate);
  ck_assert_uint_le (rate, 2000);
  ck_assert_int_le (cluster_lose_data_centre (c, 2, 60000), 15000);
  cluster_destroy (c);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("membership");
  TCase *t = tcase_create ("cluster");
  SRunner *r;
  int failed;

  mutant_choose ();
  tcase_set_timeout (t, 55);
  tcase_add_test (t, members_discover_each_other);
  tcase_add_test (t, dead_node_is_suspected);
  tcase_add_test (t, leaving_node_is_announced);
  tcase_add_test (t, region_partition_heals);
  tcase_add_test (t, flapping_list_causes_no_death);
  tcase_add_test (t, absence_from_list_confirms_death);
  tcase_add_test (t, restart_replaces_previous_incarnation);
  tcase_add_test (t, paused_node_refutes);
  tcase_add_test (t, single_missing_listing_causes_no_death);
  tcase_add_test (t, config_version_propagates);
  tcase_add_test (t, lost_data_centre_is_suspected);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
