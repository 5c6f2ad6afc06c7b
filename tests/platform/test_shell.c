#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/platform_client.h"
#include "http/client.h"
#include "server.h"
#include "../suite.h"

/* The stand-in platform and a client in one process, connected by HTTP over
 * loopback. */
struct fixture
{
  struct loop *loop;
  struct http_context *http;
  struct platform *platform;
  struct counters *counters;
  struct platform_client *client;
  enum beryl_error_code code;
  uint64_t version;
  size_t object_count;
  char value[128];
  char events[256];
  uint32_t instances;
  uint32_t wanted_events;
};

static void
fixture_init (struct fixture *f)
{
  struct platform_client_settings settings = { .address = "127.0.0.1" };

  memset (f, 0, sizeof *f);
  f->loop = loop_create ();
  f->http = http_context_create (f->loop, NULL);
  f->platform = platform_create (f->loop, f->http, "127.0.0.1", 0, NULL);
  ck_assert_ptr_nonnull (f->platform);
  f->counters = counters_create ();
  settings.port = platform_port (f->platform);
  settings.core.call_timeout_ms = 500;
  f->client
      = platform_client_create (f->loop, f->http, &settings, f->counters);
}

static void
fixture_clear (struct fixture *f)
{
  platform_client_destroy (f->client);
  http_context_destroy (f->http);
  platform_destroy (f->platform);
  counters_destroy (f->counters);
  loop_destroy (f->loop);
}

static void
on_result (void *user, const struct beryl_platform_result *result)
{
  struct fixture *f = user;

  f->code = result->code;
  f->version = result->version;
  f->object_count = result->object_count;
  if (result->object_count)
    snprintf (f->value, sizeof f->value, "%s", result->objects[0].value);
  loop_quit (f->loop);
}

static void
on_event (void *user, const struct beryl_platform_event *event)
{
  struct fixture *f = user;
  size_t used = strlen (f->events);

  snprintf (f->events + used, sizeof f->events - used, "%s%s",
            event->deleted ? "-" : "+", event->object.name);
  if (strlen (f->events) == f->wanted_events)
    loop_quit (f->loop);
}

static void
on_instances (void *user, uint64_t revision,
              const struct beryl_instance *items, size_t count)
{
  struct fixture *f = user;

  f->instances++;
  loop_quit (f->loop);
}

static const struct platform_client_options options
    = { .use = BERYL_USE_CLAIM, .timeout_ms = 8000, .wait = true };

static void
put (struct fixture *f, const char *name, enum beryl_condition condition,
     uint64_t version, const char *nonce)
{
  char value[128];
  struct beryl_platform_write w
      = { "log", name, condition, version, value, 0, nonce };

  w.value_bytes
      = (size_t)snprintf (value, sizeof value, "{\"nonce\":\"%s\"}", nonce);
  platform_client_put (f->client, &options, &w, on_result, f);
  loop_run (f->loop);
}

struct faults_call
{
  struct http_call_handler base;
  struct loop *loop;
};

static void
faults_done (struct http_call_handler *handler, struct http_call *call)
{
  ck_assert_uint_eq (http_call_status (call), 200);
  loop_quit (((struct faults_call *)handler)->loop);
}

static void
faults_failed (struct http_call_handler *handler, struct http_call *call,
               bool sent, const char *reason)
{
  ck_abort_msg ("setting faults failed: %s", reason);
}

/** Configures the faults of the stand-in platform. */
static void
set_faults (struct fixture *f, const char *faults)
{
  static const struct http_call_handler_impl impl
      = { .done = faults_done, .failed = faults_failed };
  struct faults_call o = { { &impl }, f->loop };
  struct http_request request = { .method = "PUT",
                                  .address = "127.0.0.1",
                                  .port = platform_port (f->platform),
                                  .path = "/standin/faults",
                                  .body = faults,
                                  .body_bytes = strlen (faults) };

  http_call_start (f->http, &request, &o.base);
  loop_run (f->loop);
}

START_TEST (test_objects)
{
  struct fixture f;

  fixture_init (&f);
  put (&f, "a", BERYL_IF_ABSENT, 0, "n1");
  ck_assert_int_eq (f.code, BERYL_OK);
  put (&f, "a", BERYL_IF_ABSENT, 0, "n2");
  ck_assert_int_eq (f.code, BERYL_ERROR_CONFLICT);
  put (&f, "a", BERYL_IF_VERSION, f.version, "n3");
  ck_assert_int_eq (f.code, BERYL_OK);
  platform_client_get (f.client, &options, "log", "a", 0, on_result, &f);
  loop_run (f.loop);
  ck_assert_str_eq (f.value, "{\"nonce\":\"n3\"}");
  platform_client_list (f.client, &options, "log", "", on_result, &f);
  loop_run (f.loop);
  ck_assert_uint_eq (f.object_count, 1);
  platform_client_delete (f.client, &options, "log", "a", f.version, on_result,
                          &f);
  loop_run (f.loop);
  ck_assert_int_eq (f.code, BERYL_OK);
  platform_client_get (f.client, &options, "log", "a", 0, on_result, &f);
  loop_run (f.loop);
  ck_assert_int_eq (f.code, BERYL_ERROR_NOT_FOUND);
  ck_assert_uint_eq (*counters_cell (f.counters, "beryl_platform_writes_total",
                                     "use=\"claim\""),
                     4);
  fixture_clear (&f);
}
END_TEST

START_TEST (test_watch)
{
  static const struct platform_watch_callbacks callbacks
      = { .event = on_event, .instances = on_instances };
  struct fixture f;

  fixture_init (&f);
  put (&f, "a", BERYL_IF_ABSENT, 0, "n1");
  f.wanted_events = 2;
  platform_client_watch (f.client, BERYL_USE_CONFIG, "log", &callbacks, &f);
  loop_run (f.loop);
  f.wanted_events = 4;
  put (&f, "b", BERYL_IF_ABSENT, 0, "n1");
  loop_run (f.loop);
  ck_assert_str_eq (f.events, "+a+b");
  platform_client_watch_instances (f.client, &callbacks, &f);
  loop_run (f.loop);
  ck_assert_uint_eq (f.instances, 1);
  fixture_clear (&f);
}
END_TEST

/* The platform commits a create and closes the connection without a reply.
   Over real sockets, too, the write must be reported as granted. */
START_TEST (test_lost_reply)
{
  struct fixture f;

  fixture_init (&f);
  set_faults (&f, "{\"lose_replies\":1}");
  put (&f, "a", BERYL_IF_ABSENT, 0, "n1");
  ck_assert_int_eq (f.code, BERYL_OK);
  ck_assert_uint_eq (f.version, 1);
  fixture_clear (&f);
}
END_TEST

START_TEST (test_outage)
{
  struct platform_client_options short_timeout = options;
  struct fixture f;

  short_timeout.timeout_ms = 300;
  fixture_init (&f);
  set_faults (&f, "{\"outage\":true}");
  platform_client_get (f.client, &short_timeout, "log", "a", 0, on_result, &f);
  loop_run (f.loop);
  ck_assert_int_eq (f.code, BERYL_ERROR_UNAVAILABLE);
  set_faults (&f, "{\"outage\":false}");
  platform_client_get (f.client, &options, "log", "a", 0, on_result, &f);
  loop_run (f.loop);
  ck_assert_int_eq (f.code, BERYL_ERROR_NOT_FOUND);
  fixture_clear (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("shell");
  TCase *tc = tcase_create ("shell");

  tcase_set_timeout (tc, 20);
  tcase_add_test (tc, test_objects);
  tcase_add_test (tc, test_watch);
  tcase_add_test (tc, test_lost_reply);
  tcase_add_test (tc, test_outage);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
