#include <check.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "accept_task.h"
#include "config_task.h"
#include "control.h"
#include "control_link.h"
#include "entry_task.h"
#include "gossip_task.h"
#include "http/client.h"
#include "http/server.h"
#include "role_task.h"
#include "server.h"

#define NODES_MAX 4
#define POLL_MS 10
#define MODEL                                                                 \
  "{\"api_version\":\"beryl/v1\",\"kind\":\"model\",\"name\":\"m\","          \
  "\"spec\":{\"version\":\"1\"}}"
#define SERVICE                                                               \
  "{\"api_version\":\"beryl/v1\",\"kind\":\"service\",\"name\":\"s\","        \
  "\"spec\":{\"model\":\"m\"}}"

/* Real controlds, a platform and an engine at the interface, on one loop. */
struct stage
{
  struct loop *loop;
  struct http_context *http;
  struct platform *platform;
  struct control *nodes[NODES_MAX];
  int count;
  struct http_call_handler caller;
  int calls; /* under way */
  struct control_link_owner owner;
  uint64_t view_config;
  size_t view_members;
  size_t view_leaving;
  uint32_t views_with_objects;
  struct http_handler engine;
  struct http_server *engine_server;
  char cancelled[200];
  char engine_role[16]; /* as ordered */
  uint32_t load_reads;
  uint32_t waiting;
  bool (*until) (struct stage *s);
  int64_t deadline_ms;
  bool reached;
};

static struct stage *
stage_of_caller (struct http_call_handler *handler)
{
  return (struct stage *)((char *)handler - offsetof (struct stage, caller));
}

static void
call_done (struct http_call_handler *handler, struct http_call *call)
{
  ck_assert_uint_eq (http_call_status (call), 200);
  stage_of_caller (handler)->calls--;
}

static void
call_failed (struct http_call_handler *handler, struct http_call *call,
             bool sent, const char *reason)
{
  (void)call;
  (void)sent;
  ck_abort_msg ("call failed: %s", reason);
  stage_of_caller (handler)->calls--;
}

static const struct http_call_handler_impl caller_impl
    = { .done = call_done, .failed = call_failed };

static void
poll_condition (void *user)
{
  struct stage *s = user;

  s->reached = s->until (s);
  if (s->reached || loop_now_ms (s->loop) > s->deadline_ms)
    loop_quit (s->loop);
}

static bool
stage_await (struct stage *s, bool (*until) (struct stage *s), int64_t most_ms)
{
  struct loop_timer *timer;

  s->until = until;
  s->reached = false;
  s->deadline_ms = loop_now_ms (s->loop) + most_ms;
  timer = loop_timer_start (s->loop, 1, POLL_MS, poll_condition, s);
  loop_run (s->loop);
  loop_timer_stop (timer);
  return s->reached;
}

static bool
no_calls (struct stage *s)
{
  return s->calls == 0;
}

static bool
never (struct stage *s)
{
  (void)s;
  return false;
}

static void
stage_put (struct stage *s, const char *path, const char *body)
{
  struct http_request request = { .method = "PUT",
                                  .address = "127.0.0.1",
                                  .path = path,
                                  .body = body,
                                  .body_bytes = strlen (body) };

  request.port = platform_port (s->platform);
  s->calls++;
  http_call_start (s->http, &request, &s->caller);
  ck_assert (stage_await (s, no_calls, 5000));
}

static void
stage_list (struct stage *s, int i)
{
  const struct control *c = s->nodes[i];
  char path[80];
  char body[300];

  g_snprintf (path, sizeof path, "/v1/instances/%s", c->settings.node);
  g_snprintf (body, sizeof body,
              "{\"name\":\"%s\",\"kind\":\"entry\",\"address\":\"127.0.0.1\","
              "\"port\":%u,\"data_centre\":\"%s\",\"region\":\"r\","
              "\"state\":\"live\"}",
              c->settings.node, gossip_task_port (c->gossip),
              c->settings.data_centre);
  stage_put (s, path, body);
}

/* Whether the next node plans. */
static bool stage_node_planner;

static void
stage_node (struct stage *s, const char *key, const char *seeds)
{
  struct control_settings settings = { .address = "127.0.0.1",
                                       .data_centre = "hal-noord",
                                       .region = "r",
                                       .platform_address = "127.0.0.1",
                                       .lease_ttl_ms = 1000,
                                       .lease_margin_ms = 100,
                                       .probe_ms = 100 };
  struct beryl_error error = { 0 };

  g_snprintf (settings.node, sizeof settings.node, "entry-%d", s->count);
  g_strlcpy (settings.cluster_key, key, sizeof settings.cluster_key);
  g_strlcpy (settings.seeds, seeds, sizeof settings.seeds);
  settings.platform_port = platform_port (s->platform);
  settings.seed = (uint64_t)s->count + 1;
  settings.planner = stage_node_planner;
  settings.planner_idle_ms = 1000;
  s->nodes[s->count] = control_create (&settings, s->loop, s->http, &error);
  ck_assert_msg (s->nodes[s->count] != NULL, "%s", error.message);
  s->count++;
}

static void
stage_open (struct stage *s, int nodes)
{
  memset (s, 0, sizeof *s);
  log_init ("test", LOG_FORMAT_TEXT, "error");
  s->caller.impl = &caller_impl;
  s->loop = loop_create ();
  s->http = http_context_create (s->loop, NULL);
  s->platform = platform_create (s->loop, s->http, "127.0.0.1", 0, NULL);
  ck_assert_ptr_nonnull (s->platform);
  for (int i = 0; i < nodes; i++)
    stage_node (s, "key", "");
  for (int i = 0; i < nodes; i++)
    stage_list (s, i);
}

static void
stage_close (struct stage *s)
{
  for (int i = 0; i < s->count; i++)
    if (s->nodes[i] != NULL)
      control_close (s->nodes[i]);
  http_context_destroy (s->http);
  for (int i = 0; i < s->count; i++)
    if (s->nodes[i] != NULL)
      control_destroy (s->nodes[i]);
  platform_destroy (s->platform);
  loop_destroy (s->loop);
}

static bool
all_know_all (struct stage *s)
{
  for (int i = 0; i < s->count; i++)
    for (size_t j = 0; j < (size_t)s->count; j++)
      {
        const struct beryl_membership *m = s->nodes[i]->members;

        if (beryl_membership_count (m) != (size_t)s->count
            || beryl_membership_get (m, j)->state != BERYL_MEMBER_ALIVE)
          return false;
      }
  return true;
}

static bool
all_have (struct stage *s, uint64_t version)
{
  for (int i = 0; i < s->count; i++)
    if (beryl_spread_version (s->nodes[i]->spread) < version)
      return false;
  return true;
}

static bool
all_have_1 (struct stage *s)
{
  return all_have (s, 1);
}

static bool
all_have_2 (struct stage *s)
{
  return all_have (s, 2);
}

/* Story: operators apply a model and a service; every node must have both
 * within a moment, though only one of them watches the platform. */
START_TEST (change_reaches_all_nodes)
{
  struct stage s;

  stage_open (&s, 3);
  ck_assert (stage_await (&s, all_know_all, 10000));
  stage_put (&s, "/v1/objects/model/m", MODEL);
  ck_assert (stage_await (&s, all_have_1, 10000));
  stage_put (&s, "/v1/objects/service/s", SERVICE);
  ck_assert (stage_await (&s, all_have_2, 5000));
  for (int i = 0; i < s.count; i++)
    {
      const struct beryl_config *config
          = config_task_parsed (s.nodes[i]->config);

      ck_assert_ptr_nonnull (config);
      ck_assert_ptr_nonnull (beryl_config_service (config, "s"));
    }
  stage_close (&s);
}
END_TEST

/* Story: the platform is out while a node is replaced.  The new node cannot
 * read the list nor the log; it must get both from a peer, and the others
 * must go on with what was accepted. */
START_TEST (outage_during_a_replacement)
{
  struct stage s;
  char seeds[40];

  stage_open (&s, 2);
  ck_assert (stage_await (&s, all_know_all, 10000));
  stage_put (&s, "/v1/objects/model/m", MODEL);
  ck_assert (stage_await (&s, all_have_1, 10000));
  stage_put (&s, "/standin/faults", "{\"outage\":true}");
  g_snprintf (seeds, sizeof seeds, "127.0.0.1:%u",
              gossip_task_port (s.nodes[0]->gossip));
  stage_node (&s, "key", seeds);
  ck_assert (stage_await (&s, all_know_all, 10000));
  ck_assert (stage_await (&s, all_have_1, 10000));
  stage_put (&s, "/standin/faults", "{\"outage\":false}");
  stage_put (&s, "/v1/objects/service/s", SERVICE);
  ck_assert (stage_await (&s, all_have_2, 15000));
  stage_close (&s);
}
END_TEST

static struct stage *
stage_of_owner (struct control_link_owner *owner)
{
  return (struct stage *)((char *)owner - offsetof (struct stage, owner));
}

static void
owner_view (struct control_link_owner *owner, const struct local_view *view)
{
  struct stage *s = stage_of_owner (owner);

  s->view_config = view->config_version;
  s->view_members = view->member_count;
  s->view_leaving = view->leaving_count;
  s->views_with_objects += view->objects_json != NULL;
}

static const struct control_link_owner_impl owner_impl
    = { .view = owner_view };

static bool
view_complete (struct stage *s)
{
  return s->view_config == 1 && s->view_members == 1 && s->view_leaving == 1;
}

static struct control_link *
stage_link (struct stage *s, uint64_t incarnation)
{
  struct local_hello hello = { .incarnation = incarnation, .http_port = 8080 };

  s->owner.impl = &owner_impl;
  return control_link_create (s->loop, entry_task_port (s->nodes[0]->entry),
                              &hello, 1, &s->owner);
}

/* Story: an endpoint is marked leaving in the platform's list.  Entryd must
 * hear of it in its view, or it goes on sending it work. */
START_TEST (view_reaches_entryd)
{
  struct stage s;
  struct control_link *link;

  stage_open (&s, 1);
  stage_put (&s, "/v1/instances/engine-1",
             "{\"name\":\"engine-1\",\"kind\":\"endpoint\","
             "\"address\":\"127.0.0.1\",\"port\":1,\"data_centre\":\"d\","
             "\"region\":\"r\",\"state\":\"leaving\"}");
  stage_put (&s, "/v1/objects/model/m", MODEL);
  link = stage_link (&s, 77);
  stage_await (&s, view_complete, 5000);
  ck_assert_uint_ge (s.view_config, 1);
  ck_assert_uint_eq (s.view_members, 1);
  ck_assert_uint_eq (s.view_leaving, 1);
  ck_assert_uint_le (s.views_with_objects, 3);
  control_link_destroy (link);
  stage_close (&s);
}
END_TEST

static void
engine_request (struct http_handler *handler, struct http_exchange *ex)
{
  struct stage *s
      = (struct stage *)((char *)handler - offsetof (struct stage, engine));
  static const char answer[] = "{\"cancelled\":1,\"held\":0}";
  size_t bytes = 0;
  const char *body = http_exchange_body (ex, &bytes);

  g_snprintf (s->cancelled, sizeof s->cancelled, "%s %.*s",
              http_exchange_path (ex), (int)bytes, body);
  http_exchange_respond (ex, 200, "application/json", answer,
                         sizeof answer - 1);
}

static void
engine_closed (struct http_handler *handler, struct http_exchange *ex,
               bool whole)
{
  (void)handler;
  (void)ex;
  (void)whole;
}

static const struct http_handler_impl engine_impl
    = { .request = engine_request, .closed = engine_closed };

static bool
engine_was_told (struct stage *s)
{
  return s->cancelled[0] != '\0';
}

static bool
view_has_config (struct stage *s)
{
  return s->view_config >= 1;
}

/* Story: entryd is killed in the middle of streams.  Nobody else knows them;
 * unless controld cancels them, the engine's memory stays held. */
START_TEST (dead_entryd_is_cleaned_up)
{
  struct stage s;
  struct http_server_settings settings
      = { .address = "127.0.0.1", .max_body_bytes = 4096 };
  struct local_hold hold = { "engine-1", 77, 3, 9 };
  struct local_holds holds = { &hold, 1 };
  struct control_link *link;
  char object[300];

  stage_open (&s, 1);
  s.engine.impl = &engine_impl;
  s.engine_server = http_server_create (s.http, &settings, &s.engine, NULL);
  g_snprintf (object, sizeof object,
              "{\"api_version\":\"beryl/v1\",\"kind\":\"endpoint\","
              "\"name\":\"engine-1\",\"spec\":{\"service\":\"s\","
              "\"address\":\"127.0.0.1\",\"port\":%u,\"role\":\"both\"}}",
              http_server_port (s.engine_server));
  stage_put (&s, "/v1/objects/model/m", MODEL);
  stage_put (&s, "/v1/objects/service/s", SERVICE);
  stage_put (&s, "/v1/objects/endpoint/engine-1", object);
  link = stage_link (&s, 77);
  control_link_holds (link, &holds);
  ck_assert (stage_await (&s, view_has_config, 5000));
  stage_await (&s, never, 1500);
  ck_assert_str_eq (s.cancelled, "");
  control_link_destroy (link);
  ck_assert (stage_await (&s, engine_was_told, 3000));
  ck_assert_str_eq (s.cancelled,
                    "/v1/cancel {\"incarnation\":\"77\",\"from\":3,\"to\":9}");
  stage_close (&s);
}
END_TEST

static bool
second_is_alone (struct stage *s)
{
  const struct beryl_member *m
      = beryl_membership_find (s->nodes[1]->members, "entry-0");

  return m != NULL && m->state == BERYL_MEMBER_ALIVE;
}

/* Story: a process without the cluster's key is started by mistake, or by
 * somebody else, and lists itself.  It must neither learn the members and
 * the configuration nor change them. */
START_TEST (wrong_key_is_kept_out)
{
  struct stage s;
  char seeds[40];

  stage_open (&s, 1);
  stage_put (&s, "/v1/objects/model/m", MODEL);
  ck_assert (stage_await (&s, all_have_1, 10000));
  stage_put (&s, "/standin/faults", "{\"outage\":true}");
  g_snprintf (seeds, sizeof seeds, "127.0.0.1:%u",
              gossip_task_port (s.nodes[0]->gossip));
  stage_node (&s, "other", seeds);
  ck_assert (!stage_await (&s, second_is_alone, 3000));
  ck_assert_uint_eq (beryl_spread_version (s.nodes[1]->spread), 0);
  ck_assert_uint_eq (beryl_membership_count (s.nodes[0]->members), 1);
  stage_close (&s);
}
END_TEST

static int
holder (struct stage *s, enum control_role role)
{
  for (int i = 0; i < s->count; i++)
    if (s->nodes[i] != NULL && role_task_held (s->nodes[i]->roles, role, NULL))
      return i;
  return -1;
}

static bool
all_roles_held (struct stage *s)
{
  return holder (s, CONTROL_ROLE_WATCHER) >= 0
         && holder (s, CONTROL_ROLE_ACCEPTOR) >= 0;
}

static bool
acceptor_is_another (struct stage *s)
{
  return holder (s, CONTROL_ROLE_ACCEPTOR) >= 0;
}

/* Story: the node that accepts changes dies without a word.  Another must
 * take over within the lease's time, and changes made meanwhile must come
 * into force. */
START_TEST (acceptor_dies)
{
  struct stage s;
  int dead;

  stage_open (&s, 3);
  ck_assert (stage_await (&s, all_know_all, 10000));
  ck_assert (stage_await (&s, all_roles_held, 10000));
  dead = holder (&s, CONTROL_ROLE_ACCEPTOR);
  control_close (s.nodes[dead]);
  /* The closed one is released with the stage; only its place is moved. */
  if (dead != 2)
    {
      struct control *last = s.nodes[2];

      s.nodes[2] = s.nodes[dead];
      s.nodes[dead] = last;
    }
  s.count = 2;
  stage_put (&s, "/v1/objects/model/m", MODEL);
  ck_assert (stage_await (&s, acceptor_is_another, 10000));
  ck_assert (stage_await (&s, all_have_1, 10000));
  control_close (s.nodes[0]);
  control_close (s.nodes[1]);
  http_context_destroy (s.http);
  for (int i = 0; i < 3; i++)
    control_destroy (s.nodes[i]);
  platform_destroy (s.platform);
  loop_destroy (s.loop);
}
END_TEST

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
  struct beryl_spread_object fact;

  return !beryl_spread_find (s->nodes[0]->spread, BERYL_INSTANCE_KIND,
                             "engine-1", &fact);
}

/* A fake engine that takes orders; it is asked for its load before it is
 * unloaded. */
static void
orders_request (struct http_handler *handler, struct http_exchange *ex)
{
  struct stage *s
      = (struct stage *)((char *)handler - offsetof (struct stage, engine));
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
    = { .request = orders_request, .closed = engine_closed };

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
  control_local_loads (s->nodes[0], &loads);
}

/* Story: nobody calls, so the engine is unloaded to cost nothing; a call
 * waits, and it is loaded again.  Before it is unloaded all nodes must have
 * heard that it takes no new work, or a stream would be cut off. */
START_TEST (engine_rests_and_returns)
{
  struct stage s;
  struct http_server_settings settings
      = { .address = "127.0.0.1", .max_body_bytes = 4096 };
  struct beryl_spread_object fact;
  struct loop_timer *timer;
  char object[300];

  stage_open (&s, 0);
  stage_node_planner = true;
  stage_node (&s, "key", "");
  stage_node_planner = false;
  /* The instance list stays empty and has no revision: facts must go all the
   * same. */
  s.engine.impl = &orders_impl;
  s.engine_server = http_server_create (s.http, &settings, &s.engine, NULL);
  g_snprintf (object, sizeof object,
              "{\"api_version\":\"beryl/v1\",\"kind\":\"endpoint\","
              "\"name\":\"engine-1\",\"spec\":{\"service\":\"s\","
              "\"address\":\"127.0.0.1\",\"port\":%u,\"role\":\"both\"}}",
              http_server_port (s.engine_server));
  stage_put (&s, "/v1/objects/model/m", MODEL);
  stage_put (&s, "/v1/objects/service/s", SERVICE);
  stage_put (&s, "/v1/objects/endpoint/engine-1", object);
  ck_assert (stage_await (&s, planner_runs, 5000));
  s.waiting = 1;
  timer = loop_timer_start (s.loop, 10, 300, report_demand, &s);
  ck_assert (stage_await (&s, engine_serves, 10000));
  s.waiting = 0;
  ck_assert (stage_await (&s, engine_rests, 20000));
  ck_assert (beryl_spread_find (s.nodes[0]->spread, BERYL_INSTANCE_KIND,
                                "engine-1", &fact));
  s.waiting = 1;
  ck_assert (stage_await (&s, engine_serves, 10000));
  ck_assert (stage_await (&s, facts_gone, 10000));
  loop_timer_stop (timer);
  stage_close (&s);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("controld");
  TCase *t = tcase_create ("processes");
  SRunner *r;
  int failed;

  tcase_set_timeout (t, 50);
  tcase_add_test (t, change_reaches_all_nodes);
  tcase_add_test (t, outage_during_a_replacement);
  tcase_add_test (t, view_reaches_entryd);
  tcase_add_test (t, dead_entryd_is_cleaned_up);
  tcase_add_test (t, wrong_key_is_kept_out);
  tcase_add_test (t, acceptor_dies);
  tcase_add_test (t, engine_rests_and_returns);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
