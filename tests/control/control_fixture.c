#include "control_fixture.h"

#include <check.h>
#include <glib.h>
#include <string.h>

#define POLL_MS 10
/* Concurrent requests to the platform. */
#define CALLS_MAX 25
#define READS_MAX 40
#define READ_INTERVAL_MS 200

static struct control_fixture *
fixture_of_caller (struct http_call_handler *handler)
{
  return (
      struct control_fixture *)((char *)handler
                                - offsetof (struct control_fixture, caller));
}

static void
call_done (struct http_call_handler *handler, struct http_call *call)
{
  struct control_fixture *f = fixture_of_caller (handler);

  ck_assert (f->capture_response || http_call_status (call) == 200);
  f->pending_calls--;
}

static void
call_data (struct http_call_handler *handler, struct http_call *call,
           const void *bytes, size_t bytes_count)
{
  struct control_fixture *f = fixture_of_caller (handler);

  (void)call;
  if (f->capture_response)
    g_string_append_len (f->response, bytes, (gssize)bytes_count);
}

static void
call_failed (struct http_call_handler *handler, struct http_call *call,
             bool sent, const char *reason)
{
  (void)call;
  (void)sent;
  ck_abort_msg ("call failed: %s", reason);
  fixture_of_caller (handler)->pending_calls--;
}

static const struct http_call_handler_impl caller_impl
    = { .data = call_data, .done = call_done, .failed = call_failed };

static void
poll_condition (void *user)
{
  struct control_fixture *f = user;

  /* A late loop may look again before it ends. */
  if (!f->reached)
    f->reached = f->condition (f);
  if (f->reached || loop_now_ms (f->loop) > f->deadline_ms)
    loop_quit (f->loop);
}

bool
fixture_wait_until (struct control_fixture *f,
                    bool (*condition) (struct control_fixture *f),
                    int64_t timeout_ms)
{
  int64_t started_ms = loop_now_ms (f->loop);
  struct loop_timer *timer;

  f->condition = condition;
  f->reached = false;
  f->deadline_ms = started_ms + timeout_ms;
  timer = loop_timer_start (f->loop, 1, POLL_MS, poll_condition, f);
  loop_run (f->loop);
  loop_timer_stop (timer);
  if (!f->reached && condition != fixture_never)
    fprintf (stderr, "not reached after %ld of %ld ms%s\n",
             (long)(loop_now_ms (f->loop) - started_ms), (long)timeout_ms,
             loop_stopping (f->loop) ? ", by a signal" : "");
  return f->reached;
}

static bool
calls_finished (struct control_fixture *f)
{
  return f->pending_calls == 0;
}

bool
fixture_never (struct control_fixture *f)
{
  (void)f;
  return false;
}

static void
fixture_start_call (struct control_fixture *f, const char *method,
                    const char *path, const char *body)
{
  struct http_request request = { .method = method,
                                  .address = "127.0.0.1",
                                  .path = path,
                                  .body = body,
                                  .body_bytes = strlen (body) };

  request.port = platform_port (f->platform);
  f->pending_calls++;
  http_call_start (f->http, &request, &f->caller);
}

static void
fixture_call (struct control_fixture *f, const char *method, const char *path,
              const char *body)
{
  fixture_start_call (f, method, path, body);
  ck_assert (fixture_wait_until (f, calls_finished, 5000));
}

void
fixture_put (struct control_fixture *f, const char *path, const char *body)
{
  fixture_call (f, "PUT", path, body);
}

void
fixture_delete (struct control_fixture *f, const char *path)
{
  fixture_call (f, "DELETE", path, "");
}

bool
fixture_wait_for_text (struct control_fixture *f, const char *path,
                       const char *part)
{
  bool found = false;

  f->capture_response = true;
  for (int i = 0; i < READS_MAX && !found; i++)
    {
      if (i > 0)
        fixture_wait_until (f, fixture_never, READ_INTERVAL_MS);
      f->response = g_string_new (NULL);
      fixture_call (f, "GET", path, "");
      found = strstr (f->response->str, part) != NULL;
      g_string_free (f->response, TRUE);
    }
  f->capture_response = false;
  return found;
}

void
fixture_list_node (struct control_fixture *f, int i)
{
  const struct control *c = f->nodes[i];
  char path[80];
  char body[300];

  g_snprintf (path, sizeof path, "/v1/instances/%s", c->settings.node);
  g_snprintf (body, sizeof body,
              "{\"name\":\"%s\",\"kind\":\"entry\",\"address\":\"127.0.0.1\","
              "\"port\":%u,\"data_centre\":\"%s\",\"region\":\"r\","
              "\"state\":\"live\"}",
              c->settings.node, gossip_task_port (c->gossip),
              c->settings.data_centre);
  fixture_put (f, path, body);
}

void
fixture_add_node (struct control_fixture *f, const char *key,
                  const char *seeds)
{
  struct control_settings settings = { .address = "127.0.0.1",
                                       .data_centre = "hal-noord",
                                       .region = "r",
                                       .platform_address = "127.0.0.1",
                                       .lease_ttl_ms = 1000,
                                       .lease_margin_ms = 100,
                                       .probe_ms = 100 };
  struct beryl_error error = { 0 };

  g_snprintf (settings.node, sizeof settings.node, "entry-%d", f->count);
  g_strlcpy (settings.cluster_key, key, sizeof settings.cluster_key);
  g_strlcpy (settings.seeds, seeds, sizeof settings.seeds);
  settings.platform_port = platform_port (f->platform);
  settings.seed = (uint64_t)f->count + 1;
  settings.planner = f->planner;
  settings.planner_idle_ms = 1000;
  f->nodes[f->count] = control_create (&settings, f->loop, f->http, &error);
  ck_assert_msg (f->nodes[f->count] != NULL, "%s", error.message);
  f->count++;
}

void
fixture_open (struct control_fixture *f, int nodes)
{
  memset (f, 0, sizeof *f);
  log_init ("test", LOG_FORMAT_TEXT, "error");
  f->caller.impl = &caller_impl;
  f->loop = loop_create ();
  f->http = http_context_create (f->loop, NULL);
  f->platform = platform_create (f->loop, f->http, "127.0.0.1", 0, NULL);
  ck_assert_ptr_nonnull (f->platform);
  for (int i = 0; i < nodes; i++)
    fixture_add_node (f, "key", "");
  for (int i = 0; i < nodes; i++)
    fixture_list_node (f, i);
}

void
fixture_close (struct control_fixture *f)
{
  for (int i = 0; i < f->count; i++)
    if (f->nodes[i] != NULL)
      control_close (f->nodes[i]);
  http_context_destroy (f->http);
  for (int i = 0; i < f->count; i++)
    if (f->nodes[i] != NULL)
      control_destroy (f->nodes[i]);
  for (int i = 0; i < f->dead_count; i++)
    control_destroy (f->dead[i]);
  platform_destroy (f->platform);
  loop_destroy (f->loop);
}

void
fixture_kill_node (struct control_fixture *f, int i)
{
  control_close (f->nodes[i]);
  f->dead[f->dead_count++] = f->nodes[i];
  f->nodes[i] = f->nodes[--f->count];
}

bool
fixture_all_members_alive (struct control_fixture *f)
{
  for (int i = 0; i < f->count; i++)
    for (size_t j = 0; j < (size_t)f->count; j++)
      {
        const struct beryl_membership *m = f->nodes[i]->members;

        if (beryl_membership_count (m) != (size_t)f->count
            || beryl_membership_get (m, j)->state != BERYL_MEMBER_ALIVE)
          return false;
      }
  return true;
}

static bool
all_have (struct control_fixture *f, uint64_t version)
{
  for (int i = 0; i < f->count; i++)
    if (beryl_config_log_version (f->nodes[i]->config_log) < version)
      return false;
  return true;
}

bool
fixture_all_have_version_1 (struct control_fixture *f)
{
  return all_have (f, 1);
}

bool
fixture_all_have_version_2 (struct control_fixture *f)
{
  return all_have (f, 2);
}

static struct control_fixture *
fixture_of_owner (struct control_link_owner *owner)
{
  return (
      struct control_fixture *)((char *)owner
                                - offsetof (struct control_fixture, owner));
}

static void
owner_view (struct control_link_owner *owner, const struct local_view *view)
{
  struct control_fixture *f = fixture_of_owner (owner);

  f->view_config_version = view->config_version;
  f->view_members = view->member_count;
  f->view_leaving = view->leaving_count;
  f->views_with_objects += view->objects_json != NULL;
}

static const struct control_link_owner_impl owner_impl
    = { .view = owner_view };

struct control_link *
fixture_connect_entry (struct control_fixture *f, uint64_t incarnation)
{
  struct local_hello hello = { .incarnation = incarnation, .http_port = 8080 };

  f->owner.impl = &owner_impl;
  return control_link_create (f->loop, entry_task_port (f->nodes[0]->entry),
                              &hello, 1, &f->owner);
}

struct control_fixture *
fixture_of_engine (struct http_handler *handler)
{
  return (
      struct control_fixture *)((char *)handler
                                - offsetof (struct control_fixture, engine));
}

void
fixture_engine_closed (struct http_handler *handler, struct http_exchange *ex,
                       bool whole)
{
  (void)handler;
  (void)ex;
  (void)whole;
}

static void
fixture_put_endpoint (struct control_fixture *f, const char *name)
{
  char path[80];
  char object[300];

  g_snprintf (path, sizeof path, "/v1/objects/endpoint/%s", name);
  g_snprintf (object, sizeof object,
              "{\"api_version\":\"beryl/v1\",\"kind\":\"endpoint\","
              "\"name\":\"%s\",\"spec\":{\"service\":\"s\","
              "\"address\":\"127.0.0.1\",\"port\":%u,\"role\":\"both\"}}",
              name, http_server_port (f->engine_server));
  fixture_start_call (f, "PUT", path, object);
}

void
fixture_add_engine (struct control_fixture *f,
                    const struct http_handler_impl *impl)
{
  struct http_server_settings settings
      = { .address = "127.0.0.1", .max_body_bytes = 4096 };

  f->engine.impl = impl;
  f->engine_server = http_server_create (f->http, &settings, &f->engine, NULL);
  fixture_put (f, "/v1/objects/model/m", MODEL);
  fixture_put (f, "/v1/objects/service/s", SERVICE);
  fixture_put_endpoint (f, "engine-1");
  ck_assert (fixture_wait_until (f, calls_finished, 5000));
}

void
fixture_add_endpoints (struct control_fixture *f, int count)
{
  char name[32];

  for (int i = 0; i < count; i++)
    {
      g_snprintf (name, sizeof name, "more-%d", i);
      fixture_put_endpoint (f, name);
      if (f->pending_calls == CALLS_MAX || i == count - 1)
        ck_assert (fixture_wait_until (f, calls_finished, 5000));
    }
}
