#include "stage.h"

#include <check.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>

static bool
engine_serves (struct stage *s)
{
  return s->engine_role[0] != '\0' && strcmp (s->engine_role, "none") != 0;
}

static bool
engine_rests (struct stage *s)
{
  return strcmp (s->engine_role, "none") == 0;
}

static bool
facts_gone (struct stage *s)
{
  struct beryl_config_log_object fact;

  return !beryl_config_log_find (s->nodes[0]->config_log, BERYL_INSTANCE_KIND,
                                 "engine-1", &fact);
}

/* A fake engine that takes orders; it is asked for its load before it is
 * unloaded. */
static void
orders_request (struct http_handler *handler, struct http_exchange *ex)
{
  struct stage *s = stage_of_engine (handler);
  const char *path = http_exchange_path (ex);
  size_t bytes = 0;
  const char *body = http_exchange_body (ex, &bytes);
  char answer[200] = "{}";

  if (strcmp (path, "/v1/orders") == 0)
    {
      json_t *json = json_loadb (body, bytes, 0, NULL);
      json_t *serve = json_object_get (json, "serve");

      ck_assert_int_gt (json_integer_value (json_object_get (json, "fence")),
                        0);
      g_strlcpy (s->engine_role,
                 json_string_value (json_object_get (serve, "role")),
                 sizeof s->engine_role);
      if (engine_rests (s))
        ck_assert_uint_gt (s->load_reads, 0);
      json_decref (json);
    }
  else if (strcmp (path, "/v1/load") == 0)
    {
      s->load_reads++;
      g_strlcpy (answer,
                 "{\"decoding\":0,\"prefill_queue\":0,\"kv_bytes_held\":0}",
                 sizeof answer);
    }
  else
    g_snprintf (answer, sizeof answer,
                "{\"serve\":{\"model\":\"%s\",\"version\":\"%s\","
                "\"role\":\"%s\"},\"loading\":false,\"ready\":%s}",
                engine_serves (s) ? "m" : "", engine_serves (s) ? "1" : "",
                engine_serves (s) ? s->engine_role : "none",
                engine_serves (s) ? "true" : "false");
  http_exchange_respond (ex, 200, "application/json", answer, strlen (answer));
}

static const struct http_handler_impl orders_impl
    = { .request = orders_request, .closed = stage_engine_closed };

static bool
planner_runs (struct stage *s)
{
  return s->nodes[0]->planner != NULL;
}

static void
report_demand (void *user)
{
  struct stage *s = user;
  struct local_load load = { .service = "s" };
  struct local_loads loads = { &load, 1 };

  load.waiting = s->waiting;
  control_report_local_loads (s->nodes[0], &loads);
}

/* Story: nobody calls, so the engine is unloaded to cost nothing; a call
 * waits, and it is loaded again.  Before it is unloaded all nodes must have
 * heard that it takes no new work, or a stream would be cut off. */
START_TEST (engine_rests_and_returns)
{
  struct stage s;
  struct beryl_config_log_object fact;
  struct loop_timer *timer;

  stage_open (&s, 0);
  s.planner = true;
  stage_node (&s, "key", "");
  /* The instance list stays empty and has no revision: facts must go all the
   * same. */
  stage_engine (&s, &orders_impl);
  ck_assert (stage_await (&s, planner_runs, 5000));
  s.waiting = 1;
  timer = loop_timer_start (s.loop, 10, 300, report_demand, &s);
  ck_assert (stage_await (&s, engine_serves, 10000));
  s.waiting = 0;
  ck_assert (stage_await (&s, engine_rests, 20000));
  ck_assert (beryl_config_log_find (s.nodes[0]->config_log,
                                    BERYL_INSTANCE_KIND, "engine-1", &fact));
  s.waiting = 1;
  ck_assert (stage_await (&s, engine_serves, 10000));
  ck_assert (stage_await (&s, facts_gone, 10000));
  loop_timer_stop (timer);
  stage_close (&s);
}
END_TEST

static bool
drain_exists (struct stage *s)
{
  return !facts_gone (s);
}

/* Story: operators switch the planner off while the engine is cold.  Its
 * drain stays, the engine is leaving for ever, and calls are held until their
 * deadlines, also once operators have loaded it by hand.  The acceptor must
 * take the drain away; but not one that operators wrote themselves. */
START_TEST (switched_off_planner_leaves_no_drain)
{
  struct stage s;
  struct beryl_config_log_object fact;

  stage_open (&s, 0);
  s.planner = true;
  stage_node (&s, "key", "");
  s.planner = false;
  stage_node (&s, "key", "");
  stage_list (&s, 0);
  stage_list (&s, 1);
  stage_engine (&s, &orders_impl);
  ck_assert (stage_await (&s, planner_runs, 5000));
  ck_assert (stage_await (&s, drain_exists, 10000));
  stage_put (&s, "/v1/objects/drains/engine-2", "{\"by\":\"operator\"}");
  stage_await (&s, stage_never, 7000);
  ck_assert (drain_exists (&s));
  role_task_release (s.nodes[0]->roles);
  ck_assert (stage_await (&s, facts_gone, 20000));
  stage_await (&s, stage_never, 2500);
  ck_assert (beryl_config_log_find (s.nodes[0]->config_log,
                                    BERYL_INSTANCE_KIND, "engine-2", &fact));
  stage_close (&s);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("orders");
  TCase *t = tcase_create ("processes");
  SRunner *r;
  int failed;

  tcase_set_timeout (t, 50);
  tcase_add_test (t, engine_rests_and_returns);
  tcase_add_test (t, switched_off_planner_leaves_no_drain);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
