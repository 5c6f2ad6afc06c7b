#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/config.h"
#include "beryl/config_log.h"
#include "mutant.h"
#include "sim.h"
#include "store.h"

#define NODES 4
#define KINDS 7
#define NAMES 5
#define ENTRIES_MAX 4096
#define RUN_MS 40000
#define SETTLE_MS 30000
#define SEEDS 100

static const char *const kinds[KINDS]
    = { "system",  "organisation", "model",   "service",
        "urgency", "pool",         "endpoint" };

struct world;

struct node
{
  struct beryl_acceptor_owner base;
  struct world *world;
  struct beryl_config_log *log;
  struct beryl_acceptor *acceptor;
  uint64_t cursors[KINDS];
  bool listed[KINDS];
  uint64_t starts; /* number of starts */
  int64_t paused_until_ms;
  uint64_t version; /* highest version since the last start */
  uint32_t rejected;
};

struct world
{
  struct sim *sim;
  struct store *store;
  struct node nodes[NODES];
  bool outage;
  int64_t lag_ms;
  uint32_t lost_percent;
  bool faults_stopped;
  char *states[ENTRIES_MAX]; /* objects at each version, as seen first */
  uint64_t highest;
  uint32_t divergences;
  uint32_t invalid;
  uint32_t regressions;
  uint32_t lost_races;
  uint64_t sources[KINDS][NAMES]; /* version of each object last accepted */
  uint32_t reversions;
};

/* Returns the time whose state a read returns; in the past for a lagging
 * replica. */
static int64_t
read_time_ms (struct world *w)
{
  if (w->lag_ms == 0 || sim_chance (w->sim, 50))
    return sim_now_ms (w->sim);
  return sim_now_ms (w->sim) - (int64_t)sim_random (w->sim, w->lag_ms + 1);
}

/* Checks the invariants that all nodes have the same objects at a version and
 * that these form a valid configuration. */
static void
state_check (struct node *n)
{
  struct world *w = n->world;
  uint64_t version = beryl_config_log_version (n->log);
  size_t bytes = 0;
  char *text = beryl_config_log_objects (n->log, &bytes);
  struct beryl_findings *findings;
  struct beryl_config *config;

  ck_assert_uint_lt (version, ENTRIES_MAX);
  w->regressions += version < n->version;
  n->version = version;
  if (w->states[version] != NULL)
    {
      w->divergences += strcmp (w->states[version], text) != 0;
      free (text);
      return;
    }
  findings = beryl_findings_create ();
  config = beryl_config_parse (text, bytes, version, findings);
  w->invalid += config == NULL;
  beryl_config_destroy (config);
  beryl_findings_destroy (findings);
  w->states[version] = text;
  w->highest = version > w->highest ? version : w->highest;
}

struct deletion
{
  const char *name;
  bool seen;
};

static bool
deletion_visit (void *user, const struct store_revision *r)
{
  struct deletion *d = user;

  d->seen = d->seen || (r->deleted && strcmp (r->name, d->name) == 0);
  return true;
}

/* Checks the invariants that an object only changes to a later version of the
 * operator's object and disappears only if the operator deleted it after the
 * version in force. */
static void
change_check (struct world *w, json_t *change)
{
  const char *kind = json_string_value (json_object_get (change, "kind"));
  const char *name = json_string_value (json_object_get (change, "name"));
  uint64_t source
      = (uint64_t)json_integer_value (json_object_get (change, "source"));
  struct deletion d = { name, false };
  uint64_t *last;
  int k = 0;

  while (strcmp (kinds[k], kind) != 0)
    k++;
  last = &w->sources[k][name[1] - '0'];
  if (json_object_get (change, "object") != NULL)
    {
      w->reversions += source <= *last;
      *last = source;
      return;
    }
  store_events (w->store, kind, *last, deletion_visit, &d);
  w->reversions += !d.seen;
}

static void
entry_check (struct world *w, const char *entry, size_t bytes)
{
  json_t *json = json_loadb (entry, bytes, 0, NULL);
  json_t *change;
  size_t i;

  json_array_foreach (json_object_get (json, "changes"), i, change)
  {
    change_check (w, change);
  }
  json_decref (json);
}

static void
node_apply (struct node *n, const char *entry, size_t bytes)
{
  struct beryl_error error = { 0 };

  ck_assert_int_ne (beryl_config_log_apply (n->log, entry, bytes, &error),
                    BERYL_CONFIG_LOG_INVALID);
  if (beryl_config_log_version (n->log) > n->world->highest)
    entry_check (n->world, entry, bytes);
  state_check (n);
}

static void
node_read_log (struct node *n)
{
  struct store_revision r;
  char name[BERYL_NAME_BYTES];
  /* A watch may report a later entry first. */
  uint64_t skip = sim_chance (n->world->sim, 10) ? 2 : 1;

  for (;;)
    {
      beryl_config_log_entry_name (beryl_config_log_version (n->log) + skip,
                                   name);
      skip = 1;
      if (store_get (n->world->store, BERYL_ACCEPTED_KIND, name,
                     read_time_ms (n->world), &r)
          != STORE_OK)
        return;
      node_apply (n, r.value, r.value_bytes);
    }
}

struct observation
{
  struct node *node;
  uint64_t limit;
  int kind;
};

static bool
observation_visit (void *user, const struct store_revision *r)
{
  struct observation *f = user;

  if (r->version > f->limit)
    return false;
  beryl_acceptor_observe (f->node->acceptor, r->kind, r->name, r->version,
                          r->deleted ? NULL : r->value, r->value_bytes);
  f->node->cursors[f->kind] = r->version;
  return true;
}

/* Simulates the watch of one kind: a list first, then changes, possibly from a
 * lagging replica, but never backwards. */
static void
node_watch (struct node *n, int kind)
{
  struct world *w = n->world;
  int64_t at_ms = read_time_ms (w);
  struct observation f = { n, store_revision_at (w->store, at_ms), kind };

  if (!n->listed[kind])
    {
      store_list (w->store, kinds[kind], "", "", at_ms, observation_visit, &f);
      n->listed[kind] = true;
    }
  else if (f.limit > n->cursors[kind])
    store_events (w->store, kinds[kind], n->cursors[kind], observation_visit,
                  &f);
  if (f.limit <= n->cursors[kind])
    f.limit = n->cursors[kind];
  n->cursors[kind] = f.limit;
  beryl_acceptor_synced (n->acceptor, kinds[kind], f.limit);
}

struct entry_write
{
  uint64_t starts;
  uint64_t version;
  size_t bytes;
  char text[];
};

static void
write_done (void *user, void *data)
{
  struct node *n = user;
  const struct entry_write *e = data;

  if (n->starts == e->starts && !n->world->outage)
    node_read_log (n);
}

/* Executes a create at the platform, possibly long after it was sent. */
static void
write_served (void *user, void *data)
{
  struct node *n = user;
  struct world *w = n->world;
  const struct entry_write *e = data;
  struct entry_write *reply;
  char name[BERYL_NAME_BYTES];
  uint64_t version = 0;

  if (w->outage)
    return;
  beryl_config_log_entry_name (e->version, name);
  w->lost_races
      += store_put (w->store, BERYL_ACCEPTED_KIND, name, STORE_IF_ABSENT,
                    &version, e->text, e->bytes, sim_now_ms (w->sim))
         == STORE_CONFLICT;
  if (sim_chance (w->sim, w->lost_percent))
    return;
  reply = malloc (sizeof *reply);
  reply->starts = e->starts;
  sim_after (w->sim, 5, write_done, n, reply);
}

static void
node_propose (struct node *n)
{
  struct world *w = n->world;
  size_t bytes = 0;
  char *text = beryl_acceptor_propose (n->acceptor, &bytes);
  struct entry_write *e;

  if (text == NULL)
    return;
  e = malloc (sizeof *e + bytes);
  e->starts = n->starts;
  e->version = beryl_config_log_version (n->log) + 1;
  e->bytes = bytes;
  memcpy (e->text, text, bytes);
  free (text);
  sim_after (w->sim,
             !w->faults_stopped && sim_chance (w->sim, 10)
                 ? (int64_t)sim_random (w->sim, 15000)
                 : 3,
             write_served, n, e);
}

/* Every node acts as the acceptor, which is a stricter test than an unreliable
 * lease. */
static void
node_step (void *user, void *data)
{
  struct node *n = user;
  struct world *w = n->world;

  (void)data;
  sim_after (w->sim, 100 + (int64_t)sim_random (w->sim, 200), node_step, n,
             NULL);
  if (sim_now_ms (w->sim) < n->paused_until_ms || w->outage)
    return;
  node_read_log (n);
  for (int i = 0; i < KINDS; i++)
    node_watch (n, i);
  node_propose (n);
}

static void
peer_entries (struct node *to, const struct node *from)
{
  size_t bytes = 0;
  uint64_t have = beryl_config_log_version (to->log);
  char *text = beryl_config_log_entries_after (from->log, have, 4096, &bytes);
  struct beryl_error error = { 0 };
  json_t *array;
  json_t *entry;
  size_t i;

  if (text == NULL)
    {
      text = beryl_config_log_snapshot (from->log, &bytes);
      ck_assert_int_ne (beryl_config_log_load (to->log, text, bytes, &error),
                        BERYL_CONFIG_LOG_INVALID);
      free (text);
      state_check (to);
      return;
    }
  array = json_loadb (text, bytes, 0, NULL);
  ck_assert_ptr_nonnull (array);
  json_array_foreach (array, i, entry)
  {
    char *dump = json_dumps (entry, JSON_COMPACT);

    node_apply (to, dump, strlen (dump));
    free (dump);
  }
  json_decref (array);
  free (text);
}

/* Runs anti-entropy between two random nodes, also during an outage. */
static void
world_gossip (void *user, void *data)
{
  struct world *w = user;
  struct node *a = &w->nodes[sim_random (w->sim, NODES)];
  struct node *b = &w->nodes[sim_random (w->sim, NODES)];

  (void)data;
  sim_after (w->sim, 300, world_gossip, w, NULL);
  if (a != b && sim_now_ms (w->sim) >= a->paused_until_ms
      && sim_now_ms (w->sim) >= b->paused_until_ms)
    peer_entries (a, b);
}

static void
node_validated (struct beryl_acceptor_owner *owner,
                const struct beryl_validation_result *result)
{
  struct node *n = (struct node *)owner;

  n->rejected += !result->accepted;
  ck_assert (result->accepted || result->findings[0] != '\0');
}

static const struct beryl_acceptor_owner_impl node_impl
    = { .validated = node_validated };

static void
node_start (struct node *n)
{
  n->base.impl = &node_impl;
  n->starts++;
  n->version = 0;
  n->log = beryl_config_log_create ();
  n->acceptor = beryl_acceptor_create (n->log, &n->base);
  memset (n->cursors, 0, sizeof n->cursors);
  memset (n->listed, 0, sizeof n->listed);
}

static void
node_stop (struct node *n)
{
  beryl_acceptor_destroy (n->acceptor);
  beryl_config_log_destroy (n->log);
}

static int
operator_value (struct world *w, char *value, size_t bytes, const char *kind,
                const char *name)
{
  uint64_t n = sim_random (w->sim, 1000);
  char spec[160];

  if (strcmp (kind, "model") == 0)
    snprintf (spec, sizeof spec, "{\"version\":\"v%lu\"}", n);
  else if (strcmp (kind, "service") == 0)
    snprintf (spec, sizeof spec, "{\"model\":\"n%lu\",\"deadline_ms\":%lu}",
              sim_random (w->sim, NAMES), n + 1);
  else
    snprintf (spec, sizeof spec,
              "{\"service\":\"n%lu\",\"role\":\"both\",\"min_endpoints\":%lu}",
              sim_random (w->sim, NAMES), n);
  if (sim_chance (w->sim, 15))
    snprintf (spec, sizeof spec, "{\"nonsense\":%lu}", n);
  return snprintf (value, bytes,
                   "{\"api_version\":\"beryl/v1\",\"kind\":\"%s\","
                   "\"name\":\"%s\",\"spec\":%s}",
                   kind, name, spec);
}

static void
operator_edit (void *user, void *data)
{
  static const char *const edited[] = { "model", "service", "pool" };
  struct world *w = user;
  const char *kind = edited[sim_random (w->sim, 3)];
  char name[8];
  char value[400];
  uint64_t version = 0;
  int bytes;

  (void)data;
  if (w->faults_stopped)
    return;
  sim_after (w->sim, (int64_t)sim_random (w->sim, 1500), operator_edit, w,
             NULL);
  snprintf (name, sizeof name, "n%lu", sim_random (w->sim, NAMES));
  bytes = operator_value (w, value, sizeof value, kind, name);
  if (sim_chance (w->sim, 20))
    store_delete (w->store, kind, name, STORE_IF_ANY, &version,
                  sim_now_ms (w->sim));
  else
    store_put (w->store, kind, name, STORE_IF_ANY, &version, value,
               (size_t)bytes, sim_now_ms (w->sim));
}

static void
inject_fault (void *user, void *data)
{
  struct world *w = user;
  struct node *n = &w->nodes[sim_random (w->sim, NODES)];

  (void)data;
  if (w->faults_stopped)
    return;
  switch (sim_random (w->sim, 5))
    {
    case 0:
      n->paused_until_ms
          = sim_now_ms (w->sim) + (int64_t)sim_random (w->sim, 12000);
      break;
    case 1:
      w->outage = !w->outage;
      break;
    case 2:
      w->lost_percent = (uint32_t)sim_random (w->sim, 50);
      break;
    case 3:
      w->lag_ms = (int64_t)sim_random (w->sim, 8000);
      break;
    default:
      node_stop (n);
      node_start (n);
      break;
    }
  sim_after (w->sim, (int64_t)sim_random (w->sim, 4000), inject_fault, w,
             NULL);
}

static void
world_run (struct world *w, uint64_t seed)
{
  memset (w, 0, sizeof *w);
  w->sim = sim_create (seed);
  w->store = store_create ();
  for (int i = 0; i < NODES; i++)
    {
      w->nodes[i].world = w;
      node_start (&w->nodes[i]);
      sim_after (w->sim, (int64_t)sim_random (w->sim, 200), node_step,
                 &w->nodes[i], NULL);
    }
  sim_after (w->sim, 10, operator_edit, w, NULL);
  sim_after (w->sim, 20, world_gossip, w, NULL);
  sim_after (w->sim, 2000, inject_fault, w, NULL);
  sim_run (w->sim, RUN_MS);
  w->faults_stopped = true;
  w->outage = false;
  w->lag_ms = 0;
  w->lost_percent = 0;
  sim_run (w->sim, RUN_MS + SETTLE_MS);
}

static void
world_end (struct world *w)
{
  for (int i = 0; i < NODES; i++)
    node_stop (&w->nodes[i]);
  for (size_t i = 0; i < ENTRIES_MAX; i++)
    free (w->states[i]);
  store_destroy (w->store);
  sim_destroy (w->sim);
}

/* Guards against diverging or reverted configurations, in which a rule comes
 * back that an operator had replaced.  Operators edit and delete objects, some
 * edits are invalid, several nodes act as the acceptor, and creates of paused
 * nodes arrive late; replicas lag, replies are lost, nodes restart and the
 * platform has outages. */
START_TEST (one_configuration_in_every_history)
{
  uint64_t entries = 0;
  uint32_t rejected = 0;
  uint32_t races = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world w;

      world_run (&w, seed);
      ck_assert_msg (w.divergences == 0, "seed %lu: states differ", seed);
      ck_assert_msg (w.reversions == 0, "seed %lu: reverted", seed);
      ck_assert_msg (w.regressions == 0, "seed %lu: fell back", seed);
      ck_assert_msg (w.invalid == 0, "seed %lu: invalid in force", seed);
      for (int i = 0; i < NODES; i++)
        {
          ck_assert_msg (beryl_config_log_version (w.nodes[i].log)
                             == w.highest,
                         "seed %lu: node %d is behind", seed, i);
          rejected += w.nodes[i].rejected;
        }
      entries += w.highest;
      races += w.lost_races;
      world_end (&w);
    }
  printf ("%d seeds: %lu entries, %u rejections, %u lost races\n", SEEDS,
          entries, rejected, races);
  ck_assert_uint_gt (races, 0);
  ck_assert_uint_gt (rejected, 0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("spread-history");
  TCase *t = tcase_create ("histories");
  SRunner *r;
  int failed;

  mutant_choose ();
  tcase_set_timeout (t, 50);
  tcase_add_test (t, one_configuration_in_every_history);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
