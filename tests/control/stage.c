#include "stage.h"

#include <check.h>
#include <glib.h>
#include <string.h>

#define POLL_MS 10
/* Calls to the platform at once. */
#define CALLS_MAX 25
#define READS_MAX 40
#define READ_SPACING_MS 200

static struct stage *
stage_of_caller (struct http_call_handler *handler)
{
  return (struct stage *)((char *)handler - offsetof (struct stage, caller));
}

static void
call_done (struct http_call_handler *handler, struct http_call *call)
{
  struct stage *s = stage_of_caller (handler);

  ck_assert (s->reading || http_call_status (call) == 200);
  s->calls--;
}

static void
call_data (struct http_call_handler *handler, struct http_call *call,
           const void *bytes, size_t bytes_count)
{
  struct stage *s = stage_of_caller (handler);

  (void)call;
  if (s->reading)
    g_string_append_len (s->read, bytes, (gssize)bytes_count);
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
    = { .data = call_data, .done = call_done, .failed = call_failed };

static void
poll_condition (void *user)
{
  struct stage *s = user;

  s->reached = s->until (s);
  if (s->reached || loop_now_ms (s->loop) > s->deadline_ms)
    loop_quit (s->loop);
}

bool
stage_await (struct stage *s, bool (*until) (struct stage *s), int64_t most_ms)
{
  int64_t begun_ms = loop_now_ms (s->loop);
  struct loop_timer *timer;

  s->until = until;
  s->reached = false;
  s->deadline_ms = begun_ms + most_ms;
  timer = loop_timer_start (s->loop, 1, POLL_MS, poll_condition, s);
  loop_run (s->loop);
  loop_timer_stop (timer);
  if (!s->reached && until != stage_never)
    fprintf (stderr, "not reached after %ld of %ld ms%s\n",
             (long)(loop_now_ms (s->loop) - begun_ms), (long)most_ms,
             loop_stopping (s->loop) ? ", by a signal" : "");
  return s->reached;
}

static bool
no_calls (struct stage *s)
{
  return s->calls == 0;
}

bool
stage_never (struct stage *s)
{
  (void)s;
  return false;
}

static void
stage_begin (struct stage *s, const char *method, const char *path,
             const char *body)
{
  struct http_request request = { .method = method,
                                  .address = "127.0.0.1",
                                  .path = path,
                                  .body = body,
                                  .body_bytes = strlen (body) };

  request.port = platform_port (s->platform);
  s->calls++;
  http_call_start (s->http, &request, &s->caller);
}

static void
stage_call (struct stage *s, const char *method, const char *path,
            const char *body)
{
  stage_begin (s, method, path, body);
  ck_assert (stage_await (s, no_calls, 5000));
}

void
stage_put (struct stage *s, const char *path, const char *body)
{
  stage_call (s, "PUT", path, body);
}

void
stage_delete (struct stage *s, const char *path)
{
  stage_call (s, "DELETE", path, "");
}

bool
stage_reads (struct stage *s, const char *path, const char *part)
{
  bool found = false;

  s->reading = true;
  for (int i = 0; i < READS_MAX && !found; i++)
    {
      if (i > 0)
        stage_await (s, stage_never, READ_SPACING_MS);
      s->read = g_string_new (NULL);
      stage_call (s, "GET", path, "");
      found = strstr (s->read->str, part) != NULL;
      g_string_free (s->read, TRUE);
    }
  s->reading = false;
  return found;
}

void
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

void
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
  settings.planner = s->planner;
  settings.planner_idle_ms = 1000;
  s->nodes[s->count] = control_create (&settings, s->loop, s->http, &error);
  ck_assert_msg (s->nodes[s->count] != NULL, "%s", error.message);
  s->count++;
}

void
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

void
stage_close (struct stage *s)
{
  for (int i = 0; i < s->count; i++)
    if (s->nodes[i] != NULL)
      control_close (s->nodes[i]);
  http_context_destroy (s->http);
  for (int i = 0; i < s->count; i++)
    if (s->nodes[i] != NULL)
      control_destroy (s->nodes[i]);
  for (int i = 0; i < s->dead_count; i++)
    control_destroy (s->dead[i]);
  platform_destroy (s->platform);
  loop_destroy (s->loop);
}

void
stage_kill (struct stage *s, int i)
{
  control_close (s->nodes[i]);
  s->dead[s->dead_count++] = s->nodes[i];
  s->nodes[i] = s->nodes[--s->count];
}

bool
stage_all_know_all (struct stage *s)
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
    if (beryl_config_log_version (s->nodes[i]->config_log) < version)
      return false;
  return true;
}

bool
stage_all_have_1 (struct stage *s)
{
  return all_have (s, 1);
}

bool
stage_all_have_2 (struct stage *s)
{
  return all_have (s, 2);
}

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

struct control_link *
stage_link (struct stage *s, uint64_t incarnation)
{
  struct local_hello hello = { .incarnation = incarnation, .http_port = 8080 };

  s->owner.impl = &owner_impl;
  return control_link_create (s->loop, entry_task_port (s->nodes[0]->entry),
                              &hello, 1, &s->owner);
}

struct stage *
stage_of_engine (struct http_handler *handler)
{
  return (struct stage *)((char *)handler - offsetof (struct stage, engine));
}

void
stage_engine_closed (struct http_handler *handler, struct http_exchange *ex,
                     bool whole)
{
  (void)handler;
  (void)ex;
  (void)whole;
}

static void
stage_endpoint (struct stage *s, const char *name)
{
  char path[80];
  char object[300];

  g_snprintf (path, sizeof path, "/v1/objects/endpoint/%s", name);
  g_snprintf (object, sizeof object,
              "{\"api_version\":\"beryl/v1\",\"kind\":\"endpoint\","
              "\"name\":\"%s\",\"spec\":{\"service\":\"s\","
              "\"address\":\"127.0.0.1\",\"port\":%u,\"role\":\"both\"}}",
              name, http_server_port (s->engine_server));
  stage_begin (s, "PUT", path, object);
}

void
stage_engine (struct stage *s, const struct http_handler_impl *impl)
{
  struct http_server_settings settings
      = { .address = "127.0.0.1", .max_body_bytes = 4096 };

  s->engine.impl = impl;
  s->engine_server = http_server_create (s->http, &settings, &s->engine, NULL);
  stage_put (s, "/v1/objects/model/m", MODEL);
  stage_put (s, "/v1/objects/service/s", SERVICE);
  stage_endpoint (s, "engine-1");
  ck_assert (stage_await (s, no_calls, 5000));
}

void
stage_endpoints (struct stage *s, int count)
{
  char name[32];

  for (int i = 0; i < count; i++)
    {
      g_snprintf (name, sizeof name, "more-%d", i);
      stage_endpoint (s, name);
      if (s->calls == CALLS_MAX || i == count - 1)
        ck_assert (stage_await (s, no_calls, 5000));
    }
}
