#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/discovery.h"
#include "sim.h"

#define ORGANISATIONS 2200

struct fleet
{
  struct beryl_discovery_node nodes[400];
  char names[400][24];
  char data_centres[10][8];
  char regions[3][8];
  size_t node_count;
  char organisations[ORGANISATIONS][24];
  struct beryl_discovery_organisation listed[ORGANISATIONS];
  size_t caller_centre[ORGANISATIONS]; /* index of its callers' data centre */
  struct beryl_discovery *discovery;
};

static struct fleet *
fleet_create (size_t node_count, size_t data_centre_count)
{
  struct fleet *f = calloc (1, sizeof *f);

  f->node_count = node_count;
  for (size_t i = 0; i < data_centre_count; i++)
    snprintf (f->data_centres[i], sizeof f->data_centres[i], "dc%zu", i);
  for (size_t i = 0; i < 3; i++)
    snprintf (f->regions[i], sizeof f->regions[i], "r%zu", i);
  for (size_t i = 0; i < node_count; i++)
    {
      size_t dc = i % data_centre_count;

      snprintf (f->names[i], sizeof f->names[i], "node-%zu", i);
      f->nodes[i].name = f->names[i];
      f->nodes[i].data_centre = f->data_centres[dc];
      f->nodes[i].region = f->regions[dc % 3];
    }
  for (size_t i = 0; i < ORGANISATIONS; i++)
    {
      snprintf (f->organisations[i], sizeof f->organisations[i], "org-%zu", i);
      f->listed[i].name = f->organisations[i];
      f->listed[i].data_centre = "";
      f->caller_centre[i] = i % data_centre_count;
    }
  f->discovery = beryl_discovery_create ();
  beryl_discovery_set_nodes (f->discovery, f->nodes, f->node_count);
  beryl_discovery_set_organisations (f->discovery, f->listed, ORGANISATIONS);
  return f;
}

static void
fleet_destroy (struct fleet *f)
{
  beryl_discovery_destroy (f->discovery);
  free (f);
}

/* Sets the home data centre of all organisations. */
static void
fleet_set_homes (struct fleet *f)
{
  for (size_t i = 0; i < ORGANISATIONS; i++)
    f->listed[i].data_centre = f->data_centres[f->caller_centre[i]];
  beryl_discovery_set_organisations (f->discovery, f->listed, ORGANISATIONS);
}

/* Returns the largest deviation of a node's load from the mean, in percent. */
static double
fleet_imbalance_percent (const struct fleet *f, bool by_data_centre)
{
  double load[400] = { 0 };
  double mean = 100.0 * ORGANISATIONS / (double)f->node_count;
  double worst = 0;

  for (size_t i = 0; i < ORGANISATIONS; i++)
    {
      struct beryl_discovery_choice c[BERYL_DISCOVERY_MAX];
      const char *dc
          = by_data_centre ? f->data_centres[f->caller_centre[i]] : "";
      size_t n = beryl_discovery_choose (f->discovery, f->organisations[i], dc,
                                         "", c, BERYL_DISCOVERY_MAX);

      for (size_t j = 0; j < n; j++)
        load[c[j].node] += c[j].weight;
    }
  for (size_t i = 0; i < f->node_count; i++)
    {
      double off = load[i] > mean ? load[i] - mean : mean - load[i];

      worst = off > worst ? off : worst;
    }
  return 100 * worst / mean;
}

/* Guards against a lasting load imbalance, as callers cache their answers.
 * With plain hashing of 2,200 names some of 8 nodes get 20% more than others,
 * and calls there miss deadlines while other nodes are idle. */
START_TEST (load_is_even)
{
  struct fleet *today = fleet_create (8, 4);
  struct fleet *target = fleet_create (400, 10);

  ck_assert_double_le (fleet_imbalance_percent (today, false), 10);
  ck_assert_double_le (fleet_imbalance_percent (today, true), 10);
  ck_assert_double_le (fleet_imbalance_percent (target, false), 10);
  printf ("unevenness: 8 nodes %.1f%%, by data centre %.1f%%; 400 nodes "
          "%.1f%%, by data centre %.1f%%\n",
          fleet_imbalance_percent (today, false),
          fleet_imbalance_percent (today, true),
          fleet_imbalance_percent (target, false),
          fleet_imbalance_percent (target, true));
  fleet_destroy (today);
  fleet_destroy (target);
}
END_TEST

/* Guards against a load imbalance within data centres: 400 nodes in ten data
 * centres, with each organisation's callers in one of them.  Ranked among all
 * 2,200 organisations, the 220 of one data centre fall on its 40 nodes at
 * random, and some node permanently has half as much again as the others. */
START_TEST (load_is_even_by_data_centre)
{
  struct fleet *f = fleet_create (400, 10);
  double worst = 0;

  fleet_set_homes (f);
  ck_assert_double_le (fleet_imbalance_percent (f, true), 10);
  printf ("declared data centres: 400 nodes %.1f%%",
          fleet_imbalance_percent (f, true));
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      struct sim *sim = sim_create (seed);
      double off;

      for (size_t i = 0; i < ORGANISATIONS; i++)
        f->caller_centre[i] = (size_t)sim_random (sim, 10);
      sim_destroy (sim);
      fleet_set_homes (f);
      off = fleet_imbalance_percent (f, true);
      worst = off > worst ? off : worst;
    }
  printf (", at random, worst of 20 seeds %.1f%%\n", worst);
  ck_assert_double_le (worst, 10);
  fleet_destroy (f);
}
END_TEST

/* Guards against sending most callers to remote nodes when nearly all are in
 * one data centre.  An even load would reassign nine of ten organisations;
 * only a quarter may be, all within the region, which has enough capacity. */
START_TEST (most_organisations_stay_local)
{
  struct fleet *f = fleet_create (400, 10);
  size_t away = 0;

  memset (f->caller_centre, 0, sizeof f->caller_centre);
  fleet_set_homes (f);
  for (size_t i = 0; i < ORGANISATIONS; i++)
    {
      struct beryl_discovery_choice c[BERYL_DISCOVERY_MAX];

      beryl_discovery_choose (f->discovery, f->organisations[i], "dc0", "r0",
                              c, BERYL_DISCOVERY_MAX);
      ck_assert_str_eq (f->nodes[c[0].node].region, "r0");
      away += strcmp (f->nodes[c[0].node].data_centre, "dc0") != 0;
    }
  ck_assert_uint_eq (away, ORGANISATIONS / 4);
  fleet_destroy (f);
}
END_TEST

/* When the home data centre of organisations fails, they must be distributed
 * evenly over the live nodes of the region: 220 over 120 nodes are 183 percent
 * of an organisation each. */
START_TEST (lost_home_data_centre_falls_back_to_region)
{
  struct fleet *f = fleet_create (400, 10);
  uint32_t load[400] = { 0 };

  fleet_set_homes (f);
  for (size_t i = 0; i < f->node_count; i++)
    f->nodes[i].suspect = i % 10 == 0;
  beryl_discovery_set_nodes (f->discovery, f->nodes, f->node_count);
  for (size_t i = 0; i < ORGANISATIONS; i += 10)
    {
      struct beryl_discovery_choice c[BERYL_DISCOVERY_MAX];
      size_t n = beryl_discovery_choose (f->discovery, f->organisations[i],
                                         "dc0", "r0", c, BERYL_DISCOVERY_MAX);

      ck_assert_uint_ge (n, 4);
      for (size_t j = 0; j < n; j++)
        load[c[j].node] += c[j].weight;
      ck_assert_str_eq (f->nodes[c[0].node].region, "r0");
      ck_assert (!f->nodes[c[0].node].suspect);
    }
  for (size_t i = 0; i < f->node_count; i++)
    ck_assert_uint_le (load[i], 220);
  fleet_destroy (f);
}
END_TEST

/* Guards against answers with a node that is shutting down, which would send a
 * caller to a closed port a few seconds later. */
START_TEST (leaving_nodes_are_not_named)
{
  struct fleet *f = fleet_create (8, 4);

  f->nodes[0].leaving = true;
  f->nodes[5].leaving = true;
  beryl_discovery_set_nodes (f->discovery, f->nodes, f->node_count);
  for (size_t i = 0; i < ORGANISATIONS; i++)
    {
      struct beryl_discovery_choice c[BERYL_DISCOVERY_MAX];
      size_t n = beryl_discovery_choose (f->discovery, f->organisations[i],
                                         "dc0", "r0", c, BERYL_DISCOVERY_MAX);

      ck_assert_uint_gt (n, 0);
      for (size_t j = 0; j < n; j++)
        ck_assert (!f->nodes[c[j].node].leaving);
    }
  fleet_destroy (f);
}
END_TEST

/* When a data centre loses power, its nodes become suspect.  Its callers must
 * get nodes of the region's other data centres, with a live node first in
 * every answer. */
START_TEST (lost_data_centre_falls_back_to_region)
{
  struct fleet *f = fleet_create (12, 6);
  struct beryl_discovery_choice c[BERYL_DISCOVERY_MAX];
  size_t n;

  for (size_t i = 0; i < f->node_count; i++)
    f->nodes[i].suspect = i % 6 == 0;
  beryl_discovery_set_nodes (f->discovery, f->nodes, f->node_count);
  n = beryl_discovery_choose (f->discovery, "org-1", "dc0", "r0", c,
                              BERYL_DISCOVERY_MAX);
  ck_assert_uint_ge (n, 2);
  ck_assert_str_eq (f->nodes[c[0].node].data_centre, "dc3");
  for (size_t j = 0; j < n; j++)
    ck_assert (!(f->nodes[c[j].node].suspect && c[j].weight > 0));
  fleet_destroy (f);
}
END_TEST

/* Guards against an empty answer when all nodes are suspect at once, as after
 * a failure of this node's own network card: callers would be turned away
 * although the nodes are alive. */
START_TEST (suspects_are_the_last_resort)
{
  struct fleet *f = fleet_create (8, 4);
  struct beryl_discovery_choice c[BERYL_DISCOVERY_MAX];
  uint32_t weight = 0;
  size_t n;

  for (size_t i = 0; i < f->node_count; i++)
    f->nodes[i].suspect = true;
  beryl_discovery_set_nodes (f->discovery, f->nodes, f->node_count);
  n = beryl_discovery_choose (f->discovery, "org-1", "dc0", "r0", c,
                              BERYL_DISCOVERY_MAX);
  ck_assert_uint_gt (n, 0);
  for (size_t j = 0; j < n; j++)
    weight += c[j].weight;
  ck_assert_uint_eq (weight, 100);
  fleet_destroy (f);
}
END_TEST

START_TEST (no_nodes_no_choices)
{
  struct beryl_discovery *d = beryl_discovery_create ();
  struct beryl_discovery_choice c[2];

  ck_assert_uint_eq (beryl_discovery_choose (d, "o", "", "", c, 2), 0);
  beryl_discovery_destroy (d);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("discovery");
  TCase *t = tcase_create ("choose");
  SRunner *r;
  int failed;

  tcase_set_timeout (t, 30);
  tcase_add_test (t, load_is_even);
  tcase_add_test (t, load_is_even_by_data_centre);
  tcase_add_test (t, most_organisations_stay_local);
  tcase_add_test (t, lost_home_data_centre_falls_back_to_region);
  tcase_add_test (t, leaving_nodes_are_not_named);
  tcase_add_test (t, lost_data_centre_falls_back_to_region);
  tcase_add_test (t, suspects_are_the_last_resort);
  tcase_add_test (t, no_nodes_no_choices);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
