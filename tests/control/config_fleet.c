#include "config_fleet.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/clock.h"

#define KIND "config"
#define NAME "main"
#define STEP_MS 10
#define SPACING_MS 400
#define CALL_TIMEOUT_MS 700
/* As in gatewayd/store.c. */
#define CALLS_PER_BOUND 4
#define WATCH_MAX_MS 25000
/* Of a node's links' rate to the store's. */
#define STORE_LINK_FACTOR 100
/* How long after its start a node knows of no other. */
#define ALONE_MS 500

/* A call of a node, from when it is sent until it is answered or fails. */
struct call
{
  struct call *next;
  struct config_node *node;
  uint64_t id;
  enum beryl_platform_op op;
  uint64_t after;
  int64_t answer_by_ms; /* end of the long poll */
  int64_t fail_ms;
  bool silent;
};

static int64_t
now_ms (const struct config_fleet *f)
{
  return cluster_now_ms (f->cluster);
}

static bool
is_running (const struct config_node *n)
{
  return !n->member->down && !n->member->frozen;
}

static void
use (struct config_node *n, uint64_t revision)
{
  if (revision <= n->revision)
    return;
  n->revision = revision;
  n->in_use_ms = now_ms (n->fleet);
  beryl_freshness_seen (n->freshness, revision, n->in_use_ms);
  beryl_membership_set_config (n->member->m, revision, n->in_use_ms);
}

static void
node_send (struct beryl_platform_handler *handler,
           const struct beryl_platform_call *core_call)
{
  struct config_node *n = (struct config_node *)handler;
  struct call *call = calloc (1, sizeof *call);

  n->calls++;
  call->node = n;
  call->id = core_call->id;
  call->op = core_call->op;
  call->after = core_call->revision;
  call->answer_by_ms = now_ms (n->fleet) + core_call->wait_ms;
  call->fail_ms = now_ms (n->fleet) + core_call->timeout_ms;
  call->silent = n->turned_away;
  call->next = n->fleet->calls;
  n->fleet->calls = call;
}

/* Removes a call from the list and returns it. */
static struct call *
take_call (struct config_fleet *f, const struct config_node *n, uint64_t id)
{
  for (struct call **link = &f->calls; *link != NULL; link = &(*link)->next)
    {
      struct call *call = *link;

      if (call->node != n || call->id != id)
        continue;
      *link = call->next;
      return call;
    }
  return NULL;
}

static void
node_abort (struct beryl_platform_handler *handler, uint64_t id)
{
  struct config_node *n = (struct config_node *)handler;

  free (take_call (n->fleet, n, id));
}

static void
node_event (struct beryl_platform_handler *handler,
            const struct beryl_platform_event *event)
{
  use ((struct config_node *)handler, event->object.version);
}

static void
node_synced (struct beryl_platform_handler *handler, uint64_t watch,
             uint64_t revision)
{
}

static void
node_result (struct beryl_platform_handler *handler,
             const struct beryl_platform_result *result)
{
}

static void
node_instances (struct beryl_platform_handler *handler, uint64_t watch,
                uint64_t revision, const struct beryl_instance *items,
                size_t count)
{
}

static const struct beryl_platform_handler_impl node_impl
    = { node_send,  node_abort,  node_result,
        node_event, node_synced, node_instances };

/* An answer on its way. */
struct delivery
{
  uint64_t id;
  unsigned int status;
  size_t text_bytes;
  char text[256];
};

static void
deliver (void *user, void *data)
{
  struct config_node *n = user;
  const struct delivery *d = data;

  if (is_running (n))
    beryl_platform_answer (n->store, d->id, d->status, 0, d->text,
                           d->text_bytes, now_ms (n->fleet));
}

/* Returns the time at which a transfer of MS on a link that is free at
 * *FREE_MS ends, and occupies the link. */
static int64_t
occupy (const struct config_fleet *f, int64_t *free_ms, int64_t ms)
{
  if (*free_ms < now_ms (f))
    *free_ms = now_ms (f);
  *free_ms += ms;
  return *free_ms;
}

/* Answers CALL, which is freed, by JSON, of which it takes ownership.  An
 * answer with an object passes the store's link and the node's. */
static void
answer (struct config_fleet *f, struct call *call, unsigned int status,
        json_t *json, bool has_object)
{
  struct delivery *d = malloc (sizeof *d);
  int64_t at_ms = now_ms (f) + 1 + (int64_t)sim_random (f->cluster->sim, 5);

  if (has_object)
    {
      int64_t sent_ms
          = occupy (f, &f->store_free_ms, f->transfer_ms / STORE_LINK_FACTOR);
      int64_t received_ms
          = occupy (f, &call->node->link_free_ms, f->transfer_ms);

      at_ms = sent_ms > at_ms ? sent_ms : at_ms;
      at_ms = received_ms > at_ms ? received_ms : at_ms;
      beryl_platform_answer_started (call->node->store, call->id);
    }
  d->id = call->id;
  d->status = status;
  d->text_bytes = json_dumpb (json, d->text, sizeof d->text, JSON_COMPACT);
  json_decref (json);
  if (d->text_bytes > sizeof d->text)
    abort ();
  sim_after (f->cluster->sim, at_ms - now_ms (f), deliver, call->node, d);
  free (take_call (f, call->node, call->id));
}

static json_t *
object_json (uint64_t revision)
{
  return json_pack ("{s:s, s:s, s:s, s:I, s:{}}", "type", "put", "kind", KIND,
                    "name", NAME, "version", (json_int_t)revision, "value");
}

/* Answers CALL if it is due; returns whether it was. */
static bool
serve (struct config_fleet *f, struct call *call)
{
  uint64_t listed = f->listed_revision != 0 ? f->listed_revision : f->revision;
  bool changed = f->revision > call->after;

  if (call->silent)
    return false;
  if (call->op == BERYL_OP_LIST)
    answer (
        f, call, 200,
        json_pack ("{s:[o], s:b, s:I}", "items", object_json (listed), "more",
                   0, "revision",
                   (json_int_t)(f->listed_revision != 0 ? f->listed_revision
                                                        : f->store_revision)),
        true);
  else if (call->after < f->history_start)
    answer (f, call, 410, json_object (), false);
  else if (changed)
    answer (f, call, 200,
            json_pack ("{s:[o], s:I}", "events", object_json (f->revision),
                       "revision", (json_int_t)f->store_revision),
            true);
  else if (now_ms (f) >= call->answer_by_ms)
    answer (f, call, 200,
            json_pack ("{s:[], s:I}", "events", "revision",
                       (json_int_t)f->store_revision),
            false);
  else
    return false;
  return true;
}

static void
fail (struct config_fleet *f, struct call *call)
{
  struct config_node *n = call->node;
  uint64_t id = call->id;

  free (take_call (f, n, id));
  if (is_running (n))
    beryl_platform_failed (n->store, id, true, now_ms (f));
}

static void
store_step (void *user, void *data)
{
  struct config_fleet *f = user;
  struct call *call = f->calls;

  sim_after (f->cluster->sim, STEP_MS, store_step, f, NULL);
  while (call != NULL)
    {
      struct call *next = call->next;

      if (!serve (f, call) && now_ms (f) >= call->fail_ms)
        fail (f, call);
      call = next;
    }
}

/* A configuration that is pulled. */
struct pulled
{
  uint64_t revision;
};

static void
pull_end (void *user, void *data)
{
  struct config_node *n = user;
  const struct pulled *p = data;

  n->pulling = false;
  if (is_running (n))
    use (n, p->revision);
}

/* Pulls from a peer that has the newest revision as far as N knows. */
static void
pull (struct config_node *n)
{
  struct config_fleet *f = n->fleet;
  struct config_node *from = NULL;
  uint64_t seen = 0;
  struct pulled *p;
  int64_t sent_ms, received_ms;

  for (int i = 0; i < f->count; i++)
    {
      const struct beryl_member *peer
          = beryl_membership_find (n->member->m, f->cluster->list[i].name);

      if (peer != NULL && peer->config_version > n->revision
          && is_running (&f->nodes[i])
          && sim_random (f->cluster->sim, ++seen) == 0)
        from = &f->nodes[i];
    }
  if (from == NULL || n->pulling)
    return;
  n->pulling = true;
  p = malloc (sizeof *p);
  p->revision = from->revision;
  sent_ms = occupy (f, &from->link_free_ms, f->transfer_ms);
  received_ms = occupy (f, &n->link_free_ms, f->transfer_ms);
  sim_after (f->cluster->sim,
             (sent_ms > received_ms ? sent_ms : received_ms) - now_ms (f) + 3,
             pull_end, n, p);
}

/* Sets the waits of N's watch as if it knew NODES nodes, RANK of which sort
 * before it. */
static void
set_waits (struct config_node *n, int nodes, uint32_t rank)
{
  int64_t bound_ms = n->fleet->bound_ms;
  int64_t wait_ms = nodes * bound_ms / CALLS_PER_BOUND;

  if (wait_ms < bound_ms / 2)
    wait_ms = bound_ms / 2;
  if (wait_ms > WATCH_MAX_MS)
    wait_ms = WATCH_MAX_MS;
  beryl_platform_set_watch_waits (
      n->store, beryl_platform_first_wait_ms (wait_ms, rank), wait_ms);
}

/* Sets them by the nodes of the fleet but the missing one. */
static void
update_waits (struct config_node *n)
{
  const struct config_fleet *f = n->fleet;
  int index = n->member->index;
  bool is_missing = f->missing >= 0;

  set_waits (n, f->count - is_missing,
             (uint32_t)(index - (is_missing && f->missing < index)));
}

static void
node_step (void *user, void *data)
{
  struct config_node *n = user;
  struct config_fleet *f = n->fleet;
  struct beryl_freshness_store store = { 0 };

  sim_after (f->cluster->sim, STEP_MS, node_step, n, NULL);
  if (!is_running (n))
    return;
  if (now_ms (f) - f->started_ms >= ALONE_MS)
    update_waits (n);
  if (beryl_platform_next_ms (n->store) <= now_ms (f))
    beryl_platform_tick (n->store, now_ms (f));
  store.unreachable = beryl_platform_is_unreachable (n->store);
  store.answering = beryl_platform_watch_is_receiving (n->store, n->watch);
  switch (beryl_freshness_step (n->freshness, &store, now_ms (f)))
    {
    case BERYL_FRESHNESS_WAIT:
      break;
    case BERYL_FRESHNESS_ASK_STORE:
      beryl_platform_watch_refresh (n->store, n->watch);
      break;
    case BERYL_FRESHNESS_PULL:
      pull (n);
      break;
    }
}

static void
config_heard (struct node *member, uint64_t version)
{
  struct config_fleet *f = member->cluster->user;

  beryl_freshness_heard (f->nodes[member->index].freshness, version,
                         now_ms (f));
}

static void
open_node (struct config_fleet *f, int i)
{
  struct config_node *n = &f->nodes[i];
  struct beryl_platform_settings settings
      = { .reads_per_s = 50,
          .call_timeout_ms = CALL_TIMEOUT_MS,
          .watch_spacing_ms = SPACING_MS,
          .backoff_min_ms = 50,
          .backoff_max_ms = 1300 };

  n->base.impl = &node_impl;
  n->fleet = f;
  n->member = &f->cluster->nodes[i];
  n->freshness = beryl_freshness_create (f->bound_ms);
  n->store = beryl_platform_create (&settings, &n->base, (uint64_t)i + 1);
  set_waits (n, 1, 0);
  n->watch
      = beryl_platform_watch (n->store, BERYL_USE_CONFIG, KIND, now_ms (f));
  sim_after (f->cluster->sim, 1 + (int64_t)sim_random (f->cluster->sim, 10),
             node_step, n, NULL);
}

struct config_fleet *
config_fleet_create (uint64_t seed, int nodes, int data_centres,
                     int64_t bound_ms)
{
  struct config_fleet *f = calloc (1, sizeof *f);

  f->cluster = cluster_create (seed, nodes, data_centres, 1);
  f->cluster->config_heard = config_heard;
  f->cluster->user = f;
  f->count = nodes;
  f->bound_ms = bound_ms;
  f->revision = 1;
  f->store_revision = 1;
  f->transfer_ms = 1;
  f->started_ms = now_ms (f);
  f->missing = -1;
  for (int i = 0; i < nodes; i++)
    open_node (f, i);
  sim_after (f->cluster->sim, STEP_MS, store_step, f, NULL);
  cluster_until_alive (f->cluster, 60000);
  config_fleet_run (f, 2000);
  return f;
}

void
config_fleet_destroy (struct config_fleet *f)
{
  while (f->calls != NULL)
    free (take_call (f, f->calls->node, f->calls->id));
  for (int i = 0; i < f->count; i++)
    {
      beryl_platform_destroy (f->nodes[i].store);
      beryl_freshness_destroy (f->nodes[i].freshness);
    }
  cluster_destroy (f->cluster);
  free (f);
}

void
config_fleet_run (struct config_fleet *f, int64_t for_ms)
{
  cluster_run (f->cluster, for_ms);
}

void
config_fleet_change (struct config_fleet *f)
{
  f->revision = ++f->store_revision;
  f->changed_ms = now_ms (f);
}

void
config_fleet_silence (struct config_fleet *f, int dc, int spared)
{
  for (struct call *call = f->calls; call != NULL; call = call->next)
    {
      int i = call->node->member->index;

      if ((dc < 0 || i % f->cluster->data_centres == dc) && i != spared)
        call->silent = true;
    }
}

void
config_fleet_compact (struct config_fleet *f)
{
  f->history_start = f->store_revision;
  for (struct call *call = f->calls; call != NULL; call = call->next)
    call->fail_ms = now_ms (f);
}

static int
count_behind (const struct config_fleet *f)
{
  int behind = 0;

  for (int i = 0; i < f->count; i++)
    behind += is_running (&f->nodes[i]) && f->nodes[i].revision != f->revision;
  return behind;
}

int
config_fleet_wait (struct config_fleet *f, int64_t for_ms)
{
  int64_t end_ms = now_ms (f) + for_ms;

  while (count_behind (f) > 0 && now_ms (f) < end_ms)
    config_fleet_run (f, STEP_MS);
  return count_behind (f);
}
