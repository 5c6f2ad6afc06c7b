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
fixture_init (struct fixture *b)
{
  struct platform_client_settings settings = { .address = "127.0.0.1" };

  memset (b, 0, sizeof *b);
  b->loop = loop_create ();
  b->http = http_context_create (b->loop, NULL);
  b->platform = platform_create (b->loop, b->http, "127.0.0.1", 0, NULL);
  ck_assert_ptr_nonnull (b->platform);
  b->counters = counters_create ();
  settings.port = platform_port (b->platform);
  settings.core.call_timeout_ms = 500;
  b->client
      = platform_client_create (b->loop, b->http, &settings, b->counters);
}

static void
fixture_clear (struct fixture *b)
{
  platform_client_destroy (b->client);
  http_context_destroy (b->http);
  platform_destroy (b->platform);
  counters_destroy (b->counters);
  loop_destroy (b->loop);
}

static void
on_result (void *user, const struct beryl_platform_result *result)
{
  struct fixture *b = user;

  b->code = result->code;
  b->version = result->version;
  b->object_count = result->object_count;
  if (result->object_count)
    snprintf (b->value, sizeof b->value, "%s", result->objects[0].value);
  loop_quit (b->loop);
}

static void
on_event (void *user, const struct beryl_platform_event *event)
{
  struct fixture *b = user;
  size_t used = strlen (b->events);

  snprintf (b->events + used, sizeof b->events - used, "%s%s",
            event->deleted ? "-" : "+", event->object.name);
  if (strlen (b->events) == b->wanted_events)
    loop_quit (b->loop);
}

static void
on_instances (void *user, uint64_t revision,
              const struct beryl_instance *items, size_t count)
{
  struct fixture *b = user;

  b->instances++;
  loop_quit (b->loop);
}

static const struct platform_client_options options
    = { .use = BERYL_USE_CLAIM, .timeout_ms = 8000, .wait = true };

static void
put (struct fixture *b, const char *name, enum beryl_condition condition,
     uint64_t version, const char *nonce)
{
  char value[128];
  struct beryl_platform_write w
      = { "log", name, condition, version, value, 0, nonce };

  w.value_bytes
      = (size_t)snprintf (value, sizeof value, "{\"nonce\":\"%s\"}", nonce);
  platform_client_put (b->client, &options, &w, on_result, b);
  loop_run (b->loop);
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
set_faults (struct fixture *b, const char *faults)
{
  static const struct http_call_handler_impl impl
      = { .done = faults_done, .failed = faults_failed };
  struct faults_call o = { { &impl }, b->loop };
  struct http_request request = { .method = "PUT",
                                  .address = "127.0.0.1",
                                  .port = platform_port (b->platform),
                                  .path = "/standin/faults",
                                  .body = faults,
                                  .body_bytes = strlen (faults) };

  http_call_start (b->http, &request, &o.base);
  loop_run (b->loop);
}

START_TEST (test_objects)
{
  struct fixture b;

  fixture_init (&b);
  put (&b, "a", BERYL_IF_ABSENT, 0, "n1");
  ck_assert_int_eq (b.code, BERYL_OK);
  put (&b, "a", BERYL_IF_ABSENT, 0, "n2");
  ck_assert_int_eq (b.code, BERYL_ERROR_CONFLICT);
  put (&b, "a", BERYL_IF_VERSION, b.version, "n3");
  ck_assert_int_eq (b.code, BERYL_OK);
  platform_client_get (b.client, &options, "log", "a", 0, on_result, &b);
  loop_run (b.loop);
  ck_assert_str_eq (b.value, "{\"nonce\":\"n3\"}");
  platform_client_list (b.client, &options, "log", "", on_result, &b);
  loop_run (b.loop);
  ck_assert_uint_eq (b.object_count, 1);
  platform_client_delete (b.client, &options, "log", "a", b.version, on_result,
                          &b);
  loop_run (b.loop);
  ck_assert_int_eq (b.code, BERYL_OK);
  platform_client_get (b.client, &options, "log", "a", 0, on_result, &b);
  loop_run (b.loop);
  ck_assert_int_eq (b.code, BERYL_ERROR_NOT_FOUND);
  ck_assert_uint_eq (*counters_cell (b.counters, "beryl_platform_writes_total",
                                     "use=\"claim\""),
                     4);
  fixture_clear (&b);
}
END_TEST

START_TEST (test_watch)
{
  static const struct platform_watch_callbacks callbacks
      = { .event = on_event, .instances = on_instances };
  struct fixture b;

  fixture_init (&b);
  put (&b, "a", BERYL_IF_ABSENT, 0, "n1");
  b.wanted_events = 2;
  platform_client_watch (b.client, BERYL_USE_CONFIG, "log", &callbacks, &b);
  loop_run (b.loop);
  b.wanted_events = 4;
  put (&b, "b", BERYL_IF_ABSENT, 0, "n1");
  loop_run (b.loop);
  ck_assert_str_eq (b.events, "+a+b");
  platform_client_watch_instances (b.client, &callbacks, &b);
  loop_run (b.loop);
  ck_assert_uint_eq (b.instances, 1);
  fixture_clear (&b);
}
END_TEST

/* The platform commits a create and closes the connection without a reply.
   Over real sockets, too, the write must be reported as granted. */
START_TEST (test_lost_reply)
{
  struct fixture b;

  fixture_init (&b);
  set_faults (&b, "{\"lose_replies\":1}");
  put (&b, "a", BERYL_IF_ABSENT, 0, "n1");
  ck_assert_int_eq (b.code, BERYL_OK);
  ck_assert_uint_eq (b.version, 1);
  fixture_clear (&b);
}
END_TEST

START_TEST (test_outage)
{
  struct platform_client_options short_timeout = options;
  struct fixture b;

  short_timeout.timeout_ms = 300;
  fixture_init (&b);
  set_faults (&b, "{\"outage\":true}");
  platform_client_get (b.client, &short_timeout, "log", "a", 0, on_result, &b);
  loop_run (b.loop);
  ck_assert_int_eq (b.code, BERYL_ERROR_UNAVAILABLE);
  set_faults (&b, "{\"outage\":false}");
  platform_client_get (b.client, &options, "log", "a", 0, on_result, &b);
  loop_run (b.loop);
  ck_assert_int_eq (b.code, BERYL_ERROR_NOT_FOUND);
  fixture_clear (&b);
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
