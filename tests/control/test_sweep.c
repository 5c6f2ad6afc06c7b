#include "control_fixture.h"

#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Can be set on the command line for measurements. */
static int engine_count = 900;
/* A sweep takes 15 s; a third more is allowed for slow machines. */
#define SWEEP_LIMIT_MS 20000
/* Longer than the interval of a wait's checks. */
#define HOLD_UP_US 30000
#define HOLD_UPS 5

static void
engine_request (struct http_handler *handler, struct http_exchange *ex)
{
  static const char answer[] = "{\"serve\":{\"model\":\"m\",\"version\":\"1\","
                               "\"role\":\"both\"},\"loading\":false,"
                               "\"ready\":true}";

  if (strcmp (http_exchange_path (ex), "/v1/state") == 0)
    fixture_of_engine (handler)->state_reads++;
  http_exchange_respond (ex, 200, "application/json", answer,
                         sizeof answer - 1);
}

static const struct http_handler_impl engine_impl
    = { .request = engine_request, .closed = fixture_engine_closed };

static bool
planner_has_all (struct control_fixture *f)
{
  const struct beryl_config *config = config_task_parsed (f->nodes[0]->config);

  return f->nodes[0]->planner != NULL && config != NULL
         && config->endpoint_count == (size_t)engine_count;
}

static bool
all_were_polled (struct control_fixture *f)
{
  return f->state_reads >= (uint32_t)engine_count;
}

/* All engines of a large fleet must be polled within one sweep.  At a fixed 20
 * polls a second the planner saw state changes after minutes, and calls waited
 * for engines that it believed warm. */
START_TEST (large_fleet_is_polled)
{
  struct control_fixture f;
  int64_t started_ms;

  fixture_open (&f, 0);
  f.planner = true;
  fixture_add_node (&f, "key", "");
  fixture_add_engine (&f, &engine_impl);
  fixture_add_endpoints (&f, engine_count - 1);
  ck_assert (fixture_wait_until (&f, planner_has_all, 30000));
  f.state_reads = 0;
  started_ms = loop_now_ms (f.loop);
  ck_assert (fixture_wait_until (&f, all_were_polled, SWEEP_LIMIT_MS));
  printf ("%d engines asked in %ld ms\n", engine_count,
          (long)(loop_now_ms (f.loop) - started_ms));
  fixture_close (&f);
}
END_TEST

static bool
holds_once (struct control_fixture *f)
{
  return f->state_reads++ == 0;
}

static void
ignore (void *user)
{
}

/* Keeps the loop busy for a while, as a planner that starts does, and lets it
 * notice. */
static void
hold_up (void *user)
{
  struct control_fixture *f = user;

  if (++f->load_reads > HOLD_UPS)
    return;
  g_usleep (HOLD_UP_US);
  loop_timer_stop (loop_timer_start (f->loop, 1000, 0, ignore, NULL));
}

/* Guards against a wait that ends without success as its condition, which was
 * met, no longer is when the loop looks again before it ends. */
START_TEST (condition_is_met_once)
{
  struct control_fixture f;
  struct loop_timer *timer;

  fixture_open (&f, 0);
  timer = loop_timer_start (f.loop, 1, 1, hold_up, &f);
  ck_assert (fixture_wait_until (&f, holds_once, 5000));
  loop_timer_stop (timer);
  fixture_close (&f);
}
END_TEST

int
main (int argc, char **argv)
{
  Suite *s = suite_create ("sweep");
  TCase *t = tcase_create ("processes");
  SRunner *r;
  int failed;

  if (argc > 1)
    engine_count = atoi (argv[1]);
  tcase_set_timeout (t, 60);
  tcase_add_test (t, large_fleet_is_polled);
  tcase_add_test (t, condition_is_met_once);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
