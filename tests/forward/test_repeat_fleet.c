#include <check.h>
#include <string.h>

#include "../suite.h"
#include "arrivals.h"
#include "fixture.h"

/* Fleets of whole forwarders in virtual time, whose engines break off most of
   what reaches them, while nodes restart; judged by what arrives. */
#define SEEDS 12
#define NODES_MAX 32
#define STEP_MS 5
#define SPAN_MS 24000
#define REPORT_MS 30
#define WINDOW_MS 10000
#define RATIO 0.2
#define SLACK 54
/* Requests of the whole fleet, in a second. */
#define REQUESTS_PER_S 18
#define RESTART_MS 3000

struct node
{
  struct fx fx; /* must be the first member: the owner is cast to it */
  struct fleet *fleet;
  uint64_t last_request;
};

/* An answer that an engine is going to give. */
struct answer
{
  uint64_t exchange;
  int64_t due_ms;
  bool breaks;
};

struct fleet
{
  struct node *nodes;
  uint32_t count;
  GArray **answers; /* struct answer, one array a node */
  GArray *repeats_ms;
  GArray *requests_ms;
  GRand *random;
  double struck; /* share of the sends that break off */
  int64_t now_ms;
};

static int64_t
work_ms (enum beryl_exchange_kind kind)
{
  return kind == BERYL_EXCHANGE_PREFILL ? 60
         : kind == BERYL_EXCHANGE_RUN   ? 300
                                        : 3;
}

static void
exchange_started (struct fx *fx, struct fx_exchange *x)
{
  struct node *node = (struct node *)fx;
  struct fleet *fleet = node->fleet;
  bool send
      = x->kind == BERYL_EXCHANGE_RUN || x->kind == BERYL_EXCHANGE_PREFILL;
  struct answer answer
      = { .exchange = x->id,
          .breaks = send && g_rand_double (fleet->random) < fleet->struck };

  answer.due_ms = fx->now_ms + (answer.breaks ? 2 : work_ms (x->kind));
  g_array_append_val (fleet->answers[node - fleet->nodes], answer);
}

static struct fx_exchange *
find_open (struct fx *fx, uint64_t id)
{
  for (guint i = fx->exchanges->len; i > 0; i--)
    {
      struct fx_exchange *x = g_ptr_array_index (fx->exchanges, i - 1);

      if (x->id == id)
        return x->open ? x : NULL;
    }
  return NULL;
}

static void
give_answer (struct fx *fx, const struct answer *answer)
{
  struct beryl_engine_result not_found
      = { .status = 404, .not_found = true, .not_run = true };
  struct fx_exchange *x = find_open (fx, answer->exchange);

  if (x == NULL)
    return;
  if (answer->breaks)
    fx_broken (fx, x, BERYL_FAILURE_RESET, true);
  else if (x->kind == BERYL_EXCHANGE_MOVE)
    fx_result (fx, x, &not_found);
  else if (x->kind != BERYL_EXCHANGE_RUN)
    fx_ok (fx, x, "h");
  else
    {
      fx_stream (fx, x);
      fx_event (fx, x, 1);
      fx_done (fx, x);
    }
}

static void
start_node (struct fleet *fleet, uint32_t index, int64_t started_ms)
{
  struct fx_terms terms = fx_model_terms ();
  struct node *node = &fleet->nodes[index];
  char id[16];

  terms.repeat_ratio = RATIO;
  terms.repeat_slack = SLACK;
  terms.started_ms = started_ms;
  fx_open_seeded (&node->fx, &terms, index + 1);
  node->fx.now_ms = fleet->now_ms;
  node->fx.started = exchange_started;
  node->fleet = fleet;
  beryl_forward_set_node_count (node->fx.forward, fleet->count);
  for (uint32_t i = 0; i < 12; i++)
    {
      g_snprintf (id, sizeof id, "e%u", i);
      fx_endpoint (&node->fx, id,
                   i < 4 ? BERYL_STAGE_PREFILL : BERYL_STAGE_DECODE);
    }
}

static void
end_node (struct fleet *fleet, uint32_t index)
{
  struct node *node = &fleet->nodes[index];
  GArray *repeats = arrivals_repeats (&node->fx);

  g_array_append_vals (fleet->repeats_ms, repeats->data, repeats->len);
  g_array_append_vals (fleet->requests_ms, node->fx.requests_ms->data,
                       node->fx.requests_ms->len);
  g_array_unref (repeats);
  fx_close (&node->fx);
  g_array_set_size (fleet->answers[index], 0);
}

static void
give_due_answers (struct fleet *fleet, uint32_t index)
{
  GArray *answers = fleet->answers[index];

  for (guint i = answers->len; i > 0; i--)
    {
      struct answer answer = g_array_index (answers, struct answer, i - 1);

      if (answer.due_ms > fleet->now_ms)
        continue;
      g_array_remove_index_fast (answers, i - 1);
      give_answer (&fleet->nodes[index].fx, &answer);
    }
}

/* Every node tells the others that it is alive, and lends and borrows. */
static void
exchange_loans (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      struct beryl_budget_transfers asks, loans;
      char name[32];

      g_snprintf (name, sizeof name, "node-%u", i + 1);
      beryl_forward_repeat_transfers (fleet->nodes[i].fx.forward, &asks,
                                      &loans, fleet->now_ms);
      for (uint32_t peer = 0; peer < fleet->count; peer++)
        if (peer != i)
          {
            struct beryl_forward *to = fleet->nodes[peer].fx.forward;

            beryl_forward_peer_runs (to, name, NULL, 0, fleet->now_ms);
            beryl_forward_peer_transfers (to, name, &asks, &loans,
                                          fleet->now_ms);
          }
    }
}

static void
step (struct fleet *fleet)
{
  double chance = REQUESTS_PER_S * STEP_MS / 1000.0;

  fleet->now_ms += STEP_MS;
  if (g_rand_double (fleet->random) < chance)
    {
      struct node *node = &fleet->nodes[g_rand_int_range (
          fleet->random, 0, (gint32)fleet->count)];

      node->fx.now_ms = fleet->now_ms;
      fx_arrive (&node->fx, ++node->last_request);
    }
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      fx_pass (&fleet->nodes[i].fx, fleet->now_ms - fleet->nodes[i].fx.now_ms);
      give_due_answers (fleet, i);
    }
  if (fleet->now_ms % REPORT_MS == 0)
    exchange_loans (fleet);
}

/* Nodes that end at the same moment and start again. */
static void
restart (struct fleet *fleet, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t index = (uint32_t)g_rand_int_range (fleet->random, 0,
                                                   (gint32)fleet->count);

      end_node (fleet, index);
      start_node (fleet, index, fleet->now_ms);
    }
}

static void
play (uint32_t seed, uint32_t count, double struck, uint32_t restarts)
{
  struct fleet fleet = {
    .nodes = g_new0 (struct node, count),
    .count = count,
    .answers = g_new0 (GArray *, count),
    .repeats_ms = g_array_new (FALSE, FALSE, sizeof (int64_t)),
    .requests_ms = g_array_new (FALSE, FALSE, sizeof (int64_t)),
    .random = g_rand_new_with_seed (seed),
    .struck = struck,
    .now_ms = 100000,
  };

  for (uint32_t i = 0; i < count; i++)
    {
      fleet.answers[i] = g_array_new (FALSE, FALSE, sizeof (struct answer));
      start_node (&fleet, i, 0);
    }
  for (int64_t past_ms = 0; past_ms < SPAN_MS; past_ms += STEP_MS)
    {
      step (&fleet);
      if (past_ms > 0 && past_ms % RESTART_MS == 0)
        restart (&fleet, restarts);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      end_node (&fleet, i);
      g_array_unref (fleet.answers[i]);
    }
  ck_assert_uint_gt (fleet.repeats_ms->len, 0);
  arrivals_check (fleet.repeats_ms, fleet.requests_ms, RATIO, SLACK,
                  WINDOW_MS);
  g_array_unref (fleet.repeats_ms);
  g_array_unref (fleet.requests_ms);
  g_rand_free (fleet.random);
  g_free (fleet.answers);
  g_free (fleet.nodes);
}

/* Guards against more repeats of a fleet than its limit while engines break
 * off most sends. */
START_TEST (test_struck_engines) { play ((uint32_t)_i, 7, 0.6, 0); }
END_TEST

/* Guards against that while nodes restart, too. */
START_TEST (test_struck_engines_and_restarts)
{
  play ((uint32_t)_i + 100, 7, 0.5, 4);
}
END_TEST

START_TEST (test_larger_fleet)
{
  play ((uint32_t)_i + 200, NODES_MAX, 0.6, 8);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fleets whose engines break off");
  TCase *tcase = tcase_create ("fleets");

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_struck_engines, 0, SEEDS);
  tcase_add_loop_test (tcase, test_struck_engines_and_restarts, 0, SEEDS);
  tcase_add_loop_test (tcase, test_larger_fleet, 0, 2);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
