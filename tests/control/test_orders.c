#include "control_fixture.h"

#include <check.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>

static bool
engine_is_loaded (struct control_fixture *f)
{
  return f->engine_role[0] != '\0' && strcmp (f->engine_role, "none") != 0;
}

static bool
engine_is_unloaded (struct control_fixture *f)
{
  return strcmp (f->engine_role, "none") == 0;
}

static bool
engine_not_leaving (struct control_fixture *f)
{
  struct beryl_config_log_object fact;

  return !beryl_config_log_find (f->nodes[0]->config_log, BERYL_INSTANCE_KIND,
                                 "engine-1", &fact);
}

/* A fake engine that follows orders.  Its load must be read before an order
 * unloads it. */
static void
orders_request (struct http_handler *handler, struct http_exchange *ex)
{
  struct control_fixture *f = fixture_of_engine (handler);
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
      g_strlcpy (f->engine_role,
                 json_string_value (json_object_get (serve, "role")),
                 sizeof f->engine_role);
      if (engine_is_unloaded (f))
        ck_assert_uint_gt (f->load_reads, 0);
      json_decref (json);
    }
  else if (strcmp (path, "/v1/load") == 0)
    {
      f->load_reads++;
      g_strlcpy (answer,
                 "{\"decoding\":0,\"prefill_queue\":0,\"kv_bytes_held\":0}",
                 sizeof answer);
    }
  else
    g_snprintf (answer, sizeof answer,
                "{\"serve\":{\"model\":\"%s\",\"version\":\"%s\","
                "\"role\":\"%s\"},\"loading\":false,\"ready\":%s}",
                engine_is_loaded (f) ? "m" : "",
                engine_is_loaded (f) ? "1" : "",
                engine_is_loaded (f) ? f->engine_role : "none",
                engine_is_loaded (f) ? "true" : "false");
  http_exchange_respond (ex, 200, "application/json", answer, strlen (answer));
}

static const struct http_handler_impl orders_impl
    = { .request = orders_request, .closed = fixture_engine_closed };

static bool
planner_runs (struct control_fixture *f)
{
  return f->nodes[0]->planner != NULL;
}

static void
report_demand (void *user)
{
  struct control_fixture *f = user;
  struct local_load load = { .service = "s" };
  struct local_loads loads = { &load, 1 };

  load.waiting = f->reported_waiting;
  control_report_local_loads (f->nodes[0], &loads);
}

/* An idle engine is unloaded, and loaded again when a call waits.  It must be
 * leaving at all nodes before it is unloaded, or streams would be cut off. */
START_TEST (idle_engine_is_unloaded_and_reloaded)
{
  struct control_fixture f;
  struct beryl_config_log_object fact;
  struct loop_timer *timer;

  fixture_open (&f, 0);
  f.planner = true;
  fixture_add_node (&f, "key", "");
  /* The instance list stays empty and has no revision; facts must still be
   * withdrawn. */
  fixture_add_engine (&f, &orders_impl);
  ck_assert (fixture_wait_until (&f, planner_runs, 5000));
  f.reported_waiting = 1;
  timer = loop_timer_start (f.loop, 10, 300, report_demand, &f);
  ck_assert (fixture_wait_until (&f, engine_is_loaded, 10000));
  f.reported_waiting = 0;
  ck_assert (fixture_wait_until (&f, engine_is_unloaded, 20000));
  ck_assert (beryl_config_log_find (f.nodes[0]->config_log,
                                    BERYL_INSTANCE_KIND, "engine-1", &fact));
  f.reported_waiting = 1;
  ck_assert (fixture_wait_until (&f, engine_is_loaded, 10000));
  ck_assert (fixture_wait_until (&f, engine_not_leaving, 10000));
  loop_timer_stop (timer);
  fixture_close (&f);
}
END_TEST

static bool
engine_is_leaving (struct control_fixture *f)
{
  return !engine_not_leaving (f);
}

/* The planner is switched off while the engine is cold.  Its drain would keep
 * the engine leaving forever, and calls would be held until their deadlines,
 * even after operators load the engine by hand.  The acceptor must delete this
 * drain, but not one that an operator wrote. */
START_TEST (orphaned_drain_is_deleted)
{
  struct control_fixture f;
  struct beryl_config_log_object fact;

  fixture_open (&f, 0);
  f.planner = true;
  fixture_add_node (&f, "key", "");
  f.planner = false;
  fixture_add_node (&f, "key", "");
  fixture_list_node (&f, 0);
  fixture_list_node (&f, 1);
  fixture_add_engine (&f, &orders_impl);
  ck_assert (fixture_wait_until (&f, planner_runs, 5000));
  ck_assert (fixture_wait_until (&f, engine_is_leaving, 10000));
  fixture_put (&f, "/v1/objects/drains/engine-2", "{\"by\":\"operator\"}");
  fixture_wait_until (&f, fixture_never, 7000);
  ck_assert (engine_is_leaving (&f));
  role_task_release (f.nodes[0]->roles);
  ck_assert (fixture_wait_until (&f, engine_not_leaving, 20000));
  fixture_wait_until (&f, fixture_never, 2500);
  ck_assert (beryl_config_log_find (f.nodes[0]->config_log,
                                    BERYL_INSTANCE_KIND, "engine-2", &fact));
  fixture_close (&f);
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
  tcase_add_test (t, idle_engine_is_unloaded_and_reloaded);
  tcase_add_test (t, orphaned_drain_is_deleted);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
