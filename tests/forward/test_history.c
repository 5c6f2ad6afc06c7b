/* Hundreds of requests run against engines that refuse, reject, disconnect,
   stop responding and lose answers at random, while callers disconnect and
   engines come and go. In any order: each caller gets exactly one end; a
   stream has each event once and in order; "not run" is true; a request that
   may run only once runs once; nothing stays reserved at an engine; and, as
   fx_close checks, repeats stay within their budget. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../suite.h"
#include "fixture.h"

#define SEEDS 120
#define REQUESTS 60
#define ENGINES 9
#define TIMEOUT_MS 8000
/* Share of the sends of a kind that is struck, and the time until they fail.
 */
#define STRUCK 0.6
#define STRUCK_MS 2

enum action
{
  ACTION_REPLY,      /* answer to an exchange other than RUN */
  ACTION_HEAD,       /* a stream begins */
  ACTION_EVENT,      /* the stream's next event */
  ACTION_REJECT,     /* answer "not run" */
  ACTION_REFUSE,     /* the same, to an exchange other than RUN */
  ACTION_ERROR,      /* complete answer with an error */
  ACTION_CONNECT,    /* no connection */
  ACTION_LOST,       /* reset before any answer */
  ACTION_ARRIVAL,    /* a request arrives */
  ACTION_DISCONNECT, /* its caller disconnects */
  ACTION_CHANGE,     /* an engine is added or removed */
  ACTION_PEER,       /* a peer reports runs */
};

/* A scheduled event. */
struct scheduled
{
  int64_t at_ms;
  enum action action;
  uint64_t number; /* exchange or request */
};

/* What strikes most of the sends of one kind, beside the random faults. */
enum strike
{
  STRIKE_NONE,
  STRIKE_PROMPTS_BREAK,
  STRIKE_PROMPTS_REFUSED,
  STRIKE_RUNS_BREAK,
  STRIKE_RUNS_REJECTED,
  STRIKE_MOVED_BREAK,
  STRIKE_MOVED_REJECTED,
  STRIKE_ALL_BREAK,
  STRIKE_COUNT
};

struct caller
{
  uint64_t events; /* number of events of its complete answer */
  bool left;
  uint32_t executions;
  int64_t arrived_ms;
};

struct history
{
  struct fx fx; /* must be the first member: the owner is cast to it */
  uint64_t random;
  bool once;
  double faults; /* share of exchanges that fail */
  enum strike strike;
  GArray *schedule;
  struct caller callers[REQUESTS + 1];
  GHashTable
      *next_event; /* maps an exchange's id to the next event it sends */
  GHashTable *reservations; /* reservations that engines have granted */
};

static uint64_t
draw (struct history *h, uint64_t below)
{
  uint64_t z = h->random += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return (z ^ (z >> 31)) % below;
}

static bool
chance (struct history *h, double part)
{
  return (double)draw (h, 1000000) < part * 1000000;
}

static void
schedule_action (struct history *h, int64_t after_ms, enum action action,
                 uint64_t number)
{
  struct scheduled scheduled = { h->fx.now_ms + after_ms, action, number };

  g_array_append_val (h->schedule, scheduled);
}

static int64_t
some_ms (struct history *h)
{
  return 1 + (int64_t)draw (h, 60);
}

static bool
from_move (const struct fx_exchange *x)
{
  return g_str_has_prefix (x->kv_handle, "mv");
}

/* Schedules that X fails if its kind is struck; returns whether it does. */
static bool
strike (struct history *h, const struct fx_exchange *x)
{
  bool run = x->kind == BERYL_EXCHANGE_RUN;
  bool prompt = x->kind == BERYL_EXCHANGE_PREFILL;
  bool moved = run && from_move (x);
  enum strike s = h->strike;
  bool breaks = (prompt && s == STRIKE_PROMPTS_BREAK)
                || (run && s == STRIKE_RUNS_BREAK)
                || (moved && s == STRIKE_MOVED_BREAK)
                || ((run || prompt) && s == STRIKE_ALL_BREAK);
  bool rejects = (run && s == STRIKE_RUNS_REJECTED)
                 || (moved && s == STRIKE_MOVED_REJECTED);
  bool refuses = prompt && s == STRIKE_PROMPTS_REFUSED;

  if ((!breaks && !rejects && !refuses) || !chance (h, STRUCK))
    return false;
  if (breaks && run && !moved)
    h->callers[x->request].executions++;
  schedule_action (h, STRUCK_MS,
                   breaks    ? ACTION_LOST
                   : refuses ? ACTION_REFUSE
                             : ACTION_REJECT,
                   x->id);
  return true;
}

/* Schedules what an engine does with a run; nothing if it does not respond. */
static void
schedule_run (struct history *h, struct fx_exchange *x)
{
  double faults = h->faults;

  if (strike (h, x))
    return;
  if (chance (h, faults / 5))
    schedule_action (h, some_ms (h), ACTION_CONNECT, x->id);
  else if (chance (h, faults / 2))
    schedule_action (h, some_ms (h), ACTION_REJECT, x->id);
  else
    {
      if (!from_move (x))
        h->callers[x->request].executions++;
      if (chance (h, faults / 4))
        schedule_action (h, some_ms (h), ACTION_LOST, x->id);
      else if (chance (h, faults / 8))
        schedule_action (h, some_ms (h), ACTION_ERROR, x->id);
      else if (!chance (h, faults / 8))
        schedule_action (h, some_ms (h), ACTION_HEAD, x->id);
    }
}

static void
exchange_started (struct fx *fx, struct fx_exchange *x)
{
  struct history *h = (struct history *)fx;

  switch (x->kind)
    {
    case BERYL_EXCHANGE_RUN:
      g_hash_table_remove (h->reservations, x->handle);
      schedule_run (h, x);
      return;
    case BERYL_EXCHANGE_UNRESERVE:
      ck_assert_msg (g_hash_table_remove (h->reservations, x->handle),
                     "%s was given back, but is not taken", x->handle);
      break;
    default:
      break;
    }
  if (!strike (h, x))
    schedule_action (h, some_ms (h), ACTION_REPLY, x->id);
}

static struct fx_exchange *
find_open (struct history *h, uint64_t id)
{
  for (guint i = 0; i < h->fx.exchanges->len; i++)
    {
      struct fx_exchange *x = g_ptr_array_index (h->fx.exchanges, i);

      if (x->id == id)
        return x->open ? x : NULL;
    }
  return NULL;
}

/* The engine stops the run and ends its stream, before or after it answers the
   move. */
static void
end_moved_stream (struct history *h, const struct fx_exchange *move)
{
  struct fx_exchange *run
      = fx_open_of (&h->fx, move->request, BERYL_EXCHANGE_RUN);

  if (run == NULL)
    return;
  if (chance (h, 0.5))
    fx_broken (&h->fx, run, BERYL_FAILURE_CLOSED, true);
  else
    schedule_action (h, some_ms (h), ACTION_LOST, run->id);
  g_hash_table_remove (h->next_event, GUINT_TO_POINTER (run->id));
}

static void
reply_move (struct history *h, struct fx_exchange *x)
{
  struct beryl_engine_result result = { .status = 200 };
  uint64_t kind = draw (h, 10);

  if (kind < 7) /* stopped, and moved or not */
    {
      g_snprintf (result.handle, sizeof result.handle, "mv-%u",
                  (unsigned int)x->id);
      result.ok = kind < 5;
      end_moved_stream (h, x);
    }
  else if (kind == 7)
    result.not_found = true;
  if (x->open && kind == 9)
    fx_broken (&h->fx, x, BERYL_FAILURE_RESET, true);
  else if (x->open)
    fx_result (&h->fx, x, &result);
}

static void
reply (struct history *h, struct fx_exchange *x)
{
  struct beryl_engine_result result = { .ok = true, .status = 200 };

  if (x->kind == BERYL_EXCHANGE_MOVE)
    {
      reply_move (h, x);
      return;
    }
  if (chance (h, h->faults / 4))
    {
      bool sent = chance (h, 0.5);

      fx_broken (&h->fx, x, sent ? BERYL_FAILURE_RESET : BERYL_FAILURE_CONNECT,
                 sent);
      return;
    }
  if (chance (h, h->faults / 2))
    {
      result = (struct beryl_engine_result){ .not_run = true, .status = 503 };
      result.wrong_stage = chance (h, 0.1);
    }
  else
    {
      g_snprintf (result.handle, sizeof result.handle, "h-%u",
                  (unsigned int)x->id);
      if (x->kind == BERYL_EXCHANGE_RESERVE)
        g_hash_table_add (h->reservations, g_strdup (result.handle));
    }
  fx_result (&h->fx, x, &result);
}

static void
send_event (struct history *h, struct fx_exchange *x)
{
  gpointer key = GUINT_TO_POINTER (x->id);
  uint64_t next = GPOINTER_TO_UINT (g_hash_table_lookup (h->next_event, key));
  struct caller *caller = &h->callers[x->request];

  if (next == 0) /* the run was stopped */
    return;
  if (next > caller->events)
    {
      fx_done (&h->fx, x);
      return;
    }
  if (chance (h, h->faults / 10))
    {
      fx_data (&h->fx, x, "id: 1\nda");
      if (x->open)
        fx_broken (&h->fx, x, BERYL_FAILURE_RESET, true);
      return;
    }
  fx_event (&h->fx, x, next);
  g_hash_table_insert (h->next_event, key, GUINT_TO_POINTER (next + 1));
  if (!chance (h, h->faults / 30)) /* otherwise no events from now on */
    schedule_action (h, 30 + (int64_t)draw (h, 40), ACTION_EVENT, x->id);
}

static void
begin_stream (struct history *h, struct fx_exchange *x)
{
  uint64_t next = x->resumes ? x->last_event + 1 : 1;

  if (x->resumes && x->last_event > 0 && chance (h, 0.3))
    next--; /* it may start a little earlier */
  g_hash_table_insert (h->next_event, GUINT_TO_POINTER (x->id),
                       GUINT_TO_POINTER (next > 0 ? next : 1));
  fx_stream (&h->fx, x);
  schedule_action (h, some_ms (h), ACTION_EVENT, x->id);
}

static void
run_exchange_action (struct history *h, enum action action, uint64_t number)
{
  struct fx_exchange *x = find_open (h, number);

  if (x == NULL)
    return;
  switch (action)
    {
    case ACTION_REPLY:
      reply (h, x);
      return;
    case ACTION_HEAD:
      begin_stream (h, x);
      return;
    case ACTION_EVENT:
      send_event (h, x);
      return;
    case ACTION_REJECT:
      fx_not_run (&h->fx, x, 503);
      return;
    case ACTION_REFUSE:
      fx_refused (&h->fx, x);
      return;
    case ACTION_ERROR:
      fx_answer (&h->fx, x, 500, "error");
      return;
    case ACTION_CONNECT:
      fx_broken (&h->fx, x, BERYL_FAILURE_CONNECT, false);
      return;
    default:
      fx_broken (&h->fx, x, BERYL_FAILURE_RESET, true);
    }
}

static void
change_engine (struct history *h)
{
  char id[16];

  g_snprintf (id, sizeof id, "e%u", (unsigned int)draw (h, ENGINES));
  if (chance (h, 0.4))
    fx_endpoint (&h->fx, id,
                 chance (h, 0.4) ? BERYL_STAGE_PREFILL : BERYL_STAGE_DECODE);
  else if (beryl_live_set_find (h->fx.endpoints, id) != NULL)
    {
      if (chance (h, 0.5))
        fx_leaving (&h->fx, id);
      else
        fx_remove (&h->fx, id);
    }
}

static void
report_peer_runs (struct history *h)
{
  struct beryl_engine_run runs[4];
  size_t count = draw (h, 5);
  char id[16];

  for (size_t i = 0; i < count; i++)
    {
      g_snprintf (id, sizeof id, "e%u", (unsigned int)draw (h, ENGINES));
      runs[i] = (struct beryl_engine_run){
        .engine = beryl_name_hash (id),
        .prompt_tokens = (uint32_t)draw (h, 4000),
        .expected_tokens = (uint32_t)draw (h, 2000),
        .generated_tokens = (uint32_t)draw (h, 1000),
        .started = chance (h, 0.8),
      };
    }
  beryl_forward_peer_runs (h->fx.forward, "peer", runs, count, h->fx.now_ms);
}

static void
run_action (struct history *h, const struct scheduled *scheduled)
{
  switch (scheduled->action)
    {
    case ACTION_ARRIVAL:
      h->callers[scheduled->number].arrived_ms = h->fx.now_ms;
      fx_arrive (&h->fx, scheduled->number);
      return;
    case ACTION_DISCONNECT:
      h->callers[scheduled->number].left
          = h->fx.answers[scheduled->number].ends == 0;
      beryl_forward_cancel (h->fx.forward, scheduled->number, h->fx.now_ms);
      return;
    case ACTION_CHANGE:
      change_engine (h);
      return;
    case ACTION_PEER:
      report_peer_runs (h);
      return;
    default:
      run_exchange_action (h, scheduled->action, scheduled->number);
    }
}

/* Removes the earliest scheduled event; false if there is none up to
   END_MS. */
static bool
next_scheduled (struct history *h, int64_t end_ms, struct scheduled *scheduled)
{
  guint best = 0;

  if (h->schedule->len == 0)
    return false;
  for (guint i = 1; i < h->schedule->len; i++)
    if (g_array_index (h->schedule, struct scheduled, i).at_ms
        < g_array_index (h->schedule, struct scheduled, best).at_ms)
      best = i;
  *scheduled = g_array_index (h->schedule, struct scheduled, best);
  if (scheduled->at_ms > end_ms)
    return false;
  g_array_remove_index (h->schedule, best);
  return true;
}

/* Ticks may schedule new events, so time advances one event at a time. */
static void
run_until (struct history *h, int64_t end_ms)
{
  while (h->fx.now_ms < end_ms)
    {
      struct scheduled scheduled;

      while (next_scheduled (h, h->fx.now_ms, &scheduled))
        run_action (h, &scheduled);
      fx_pass (&h->fx, 1);
    }
}

static void
check_stream (const struct history *h, uint64_t number)
{
  const struct fx_answer *answer = &h->fx.answers[number];
  GString *expected = g_string_new (NULL);
  const char *body = answer->body != NULL ? answer->body->str : "";
  uint64_t count = 0;

  while (expected->len < strlen (body) && count < h->callers[number].events)
    {
      count++;
      g_string_append_printf (expected, "id: %u\ndata: e%u\n\n",
                              (unsigned int)count, (unsigned int)count);
    }
  if (strcmp (body, "error") != 0)
    {
      ck_assert_str_eq (body, expected->str);
      if (answer->whole)
        ck_assert_uint_eq (count, h->callers[number].events);
    }
  g_string_free (expected, TRUE);
}

static void
check_caller (const struct history *h, uint64_t number)
{
  const struct caller *caller = &h->callers[number];
  const struct fx_answer *answer = &h->fx.answers[number];

  ck_assert_msg (answer->ends == (caller->left ? 0 : 1),
                 "request %u has %u ends", (unsigned int)number, answer->ends);
  check_stream (h, number);
  if (answer->refused && answer->refusal.not_run)
    ck_assert_msg (caller->executions == 0, "request %u ran, and not",
                   (unsigned int)number);
  ck_assert_uint_le (caller->executions, h->once ? 1 : 3);
}

static void
check_none_open (const struct history *h)
{
  for (guint i = 0; i < h->fx.exchanges->len; i++)
    {
      const struct fx_exchange *x = g_ptr_array_index (h->fx.exchanges, i);

      ck_assert_msg (!x->open, "exchange %u, %s of %u at %s, is open since %d",
                     (unsigned int)x->id, beryl_exchange_name (x->kind),
                     (unsigned int)x->request, x->endpoint,
                     (int)(x->started_ms - 100000));
    }
}

static void
check_all (const struct history *h)
{
  uint32_t answered = 0;

  for (uint64_t i = 1; i <= REQUESTS; i++)
    {
      check_caller (h, i);
      answered += h->fx.answers[i].whole;
    }
  ck_assert_uint_eq (beryl_forward_open_count (h->fx.forward), 0);
  ck_assert_uint_eq (beryl_forward_waiting_count (h->fx.forward), 0);
  check_none_open (h);
  for (size_t i = 0; i < beryl_live_set_count (h->fx.endpoints); i++)
    {
      const struct beryl_live_endpoint *live
          = beryl_live_set_get (h->fx.endpoints, i);

      ck_assert_uint_eq (live->open_exchanges, 0);
      ck_assert_uint_eq (live->open_prefills, 0);
      ck_assert_uint_eq (live->open_prefill_tokens, 0);
    }
  ck_assert_uint_gt (answered, 0);
}

/* Some requests have the same content. */
static uint64_t
fingerprint (uint64_t request)
{
  return 1 + request % (REQUESTS / 2);
}

static void
run_history (uint64_t seed, bool once, bool fingerprints, enum strike strike)
{
  struct history *h = g_new0 (struct history, 1);
  struct fx_terms terms = fx_model_terms ();
  int64_t begin_ms;

  h->random = seed;
  h->once = once;
  h->strike = strike;
  terms.route.timeout_ms = TIMEOUT_MS;
  terms.repeat_ratio = 0;
  terms.repeat_slack = 30;
  if (once)
    {
      terms.route.repeat = BERYL_REPEAT_ONCE;
      terms.route.resumable = false;
      terms.route.endpoints_max = 1;
    }
  fx_open (&h->fx, &terms);
  h->fx.started = exchange_started;
  if (fingerprints)
    h->fx.fingerprint = fingerprint;
  h->schedule = g_array_new (FALSE, FALSE, sizeof (struct scheduled));
  h->next_event = g_hash_table_new (NULL, NULL);
  h->reservations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  h->faults = (double)draw (h, 5) / 10;
  begin_ms = h->fx.now_ms;
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "e%u", i);
      fx_endpoint (&h->fx, id,
                   i < 3 ? BERYL_STAGE_PREFILL : BERYL_STAGE_DECODE);
    }
  for (uint64_t i = 1; i <= REQUESTS; i++)
    {
      int64_t after_ms = (int64_t)draw (h, 6000);

      h->callers[i].events = 1 + draw (h, 25);
      schedule_action (h, after_ms, ACTION_ARRIVAL, i);
      if (chance (h, 0.1))
        schedule_action (h, after_ms + 1 + (int64_t)draw (h, 1500),
                         ACTION_DISCONNECT, i);
    }
  for (uint32_t i = 0; i < 20; i++)
    {
      schedule_action (h, (int64_t)draw (h, 6000), ACTION_CHANGE, 0);
      schedule_action (h, (int64_t)draw (h, 6000), ACTION_PEER, 0);
    }
  run_until (h, begin_ms + 6000 + TIMEOUT_MS + 1000);
  check_all (h);
  ck_assert_uint_eq (g_hash_table_size (h->reservations), 0);
  g_hash_table_destroy (h->next_event);
  g_hash_table_destroy (h->reservations);
  g_array_free (h->schedule, TRUE);
  fx_close (&h->fx);
  g_free (h);
}

START_TEST (test_resumable)
{
  run_history ((uint64_t)_i, false, false, STRIKE_NONE);
}
END_TEST

START_TEST (test_once)
{
  run_history ((uint64_t)_i + 100000, true, false, STRIKE_NONE);
}
END_TEST

/* Engines that crash during runs cause requests to be quarantined. */
START_TEST (test_suspects)
{
  run_history ((uint64_t)_i + 200000, _i % 3 == 0, true, STRIKE_NONE);
}
END_TEST

/* Guards against sends that take no repeat: of one kind of send, most fail. */
START_TEST (test_struck)
{
  enum strike strike
      = (enum strike) (STRIKE_NONE + 1 + _i % (STRIKE_COUNT - 1));

  run_history ((uint64_t)_i + 300000, false, false, strike);
}
END_TEST

int
main (int argc, char **argv)
{
  Suite *suite = suite_create ("forward histories");
  TCase *tcase = tcase_create ("histories");
  int first = argc > 1 ? atoi (argv[1]) : 0;
  int count = argc > 2 ? atoi (argv[2]) : SEEDS;

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_resumable, first, first + count);
  tcase_add_loop_test (tcase, test_once, first, first + count);
  tcase_add_loop_test (tcase, test_suspects, first, first + count / 2);
  suite_add_tcase (suite, tcase);
  tcase = tcase_create ("struck");
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_struck, first, first + count);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
