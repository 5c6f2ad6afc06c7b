/* A long answer is read in several turns of the loop, between which other
 * things are done. */
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "../suite.h"
#include "common/platform_client.h"
#include "server.h"

#define LONG_BYTES (100U << 10)
#define STEPS 4

struct fixture
{
  struct loop *loop;
  struct http_context *http;
  struct platform *platform;
  struct platform_client *client;
  uint64_t watch;
  uint32_t begun, steps, ended, freed, whole; /* readings */
  uint32_t turns;                             /* of other work between steps */
  struct loop_timer *other;
  void (*act) (struct fixture *f); /* once, between two steps */
  uint32_t events;
  size_t event_bytes;
  bool freed_before_event;
  enum beryl_error_code code;
};

static struct fixture f;

struct platform_reading
{
  const char *body;
  size_t body_bytes;
  uint32_t steps;
};

static void
other_work (void *user)
{
  f.turns++;
  loop_timer_stop (f.other);
  f.other = NULL;
  if (f.act != NULL && f.steps == 2)
    {
      f.act (&f);
      f.act = NULL;
    }
}

/* Due before the next step, if that is in another turn. */
static void
expect_other_work (void)
{
  ck_assert_ptr_null (f.other);
  f.other = loop_timer_start (f.loop, 0, 0, other_work, NULL);
}

static void
wire_call (const struct platform_wire *wire,
           const struct beryl_platform_call *call,
           struct platform_wire_call *out)
{
  out->method = call->method;
  out->path = g_strdup (call->path);
  out->body
      = call->body != NULL ? g_strndup (call->body, call->body_bytes) : NULL;
}

static json_t *
wire_answer (const struct platform_wire *wire, enum beryl_platform_op op,
             const char *kind, unsigned int *status, const char *body,
             size_t body_bytes)
{
  f.whole++;
  return json_loadb (body, body_bytes, 0, NULL);
}

static struct platform_reading *
wire_read_begin (const struct platform_wire *wire, const char *body,
                 size_t body_bytes)
{
  struct platform_reading *r = g_new0 (struct platform_reading, 1);

  f.begun++;
  r->body = body;
  r->body_bytes = body_bytes;
  expect_other_work ();
  return r;
}

static bool
wire_read_some (struct platform_reading *r, size_t bytes)
{
  ck_assert_uint_eq (bytes, PLATFORM_READ_STEP_BYTES);
  r->steps++;
  f.steps++;
  expect_other_work ();
  return r->steps == STEPS;
}

static json_t *
wire_read_end (const struct platform_wire *wire, struct platform_reading *r,
               enum beryl_platform_op op, const char *kind,
               unsigned int *status)
{
  ck_assert_uint_eq (r->steps, STEPS);
  f.ended++;
  expect_other_work ();
  return json_loadb (r->body, r->body_bytes, 0, NULL);
}

static void
wire_read_free (struct platform_reading *r)
{
  f.freed++;
  g_free (r);
}

static const struct platform_wire_impl wire_impl = {
  .call = wire_call,
  .answer = wire_answer,
  .read_begin = wire_read_begin,
  .read_some = wire_read_some,
  .read_end = wire_read_end,
  .read_free = wire_read_free,
};
static const struct platform_wire wire = { &wire_impl };

static void
on_event (void *user, const struct beryl_platform_event *event)
{
  f.events++;
  f.event_bytes = event->object.value_bytes;
  f.freed_before_event = f.freed > 0;
}

static const struct platform_watch_callbacks callbacks = { .event = on_event };

static void
on_put (void *user, const struct beryl_platform_result *result)
{
  f.code = result->code;
  loop_quit (f.loop);
}

static void
put (size_t bytes)
{
  static const struct platform_client_options options
      = { .use = BERYL_USE_CONFIG, .timeout_ms = 8000, .wait = true };
  char *text = g_malloc (bytes);
  struct beryl_platform_write write = { .kind = "config",
                                        .name = "main",
                                        .condition = BERYL_IF_ANY,
                                        .value = text,
                                        .value_bytes = bytes };

  memset (text, 'a', bytes);
  text[0] = text[bytes - 1] = '"';
  platform_client_put (f.client, &options, &write, on_put, &f);
  loop_run (f.loop);
  ck_assert_int_eq (f.code, BERYL_OK);
  g_free (text);
}

static void
setup (void)
{
  struct platform_client_settings settings
      = { .address = "127.0.0.1", .wire = &wire };

  memset (&f, 0, sizeof f);
  f.loop = loop_create ();
  f.http = http_context_create (f.loop, NULL);
  f.platform = platform_create (f.loop, f.http, "127.0.0.1", 0, NULL);
  settings.port = platform_port (f.platform);
  f.client = platform_client_create (f.loop, f.http, &settings, NULL);
}

static void
teardown (void)
{
  platform_client_destroy (f.client);
  loop_timer_stop (f.other);
  ck_assert_uint_eq (f.freed, f.begun);
  http_context_destroy (f.http);
  platform_destroy (f.platform);
  loop_destroy (f.loop);
}

static void
quit (void *user)
{
  loop_quit (f.loop);
}

static void
run_ms (int64_t ms)
{
  struct loop_timer *timer = loop_timer_start (f.loop, ms, 0, quit, NULL);

  loop_run (f.loop);
  loop_timer_stop (timer);
}

static void
watch_until (const uint32_t *count)
{
  f.watch = platform_client_watch (f.client, BERYL_USE_CONFIG, "config",
                                   &callbacks, &f);
  for (int i = 0; *count == 0 && i < 500; i++)
    run_ms (10);
  run_ms (20);
}

START_TEST (test_long_answer)
{
  put (LONG_BYTES);
  watch_until (&f.events);
  ck_assert_uint_eq (f.events, 1);
  ck_assert_uint_eq (f.event_bytes, LONG_BYTES);
  ck_assert_uint_eq (f.begun, 1);
  ck_assert_uint_eq (f.ended, 1);
  /* After each step, and after the event. */
  ck_assert_uint_eq (f.turns, 1 + STEPS + 1);
  ck_assert (!f.freed_before_event);
  ck_assert_uint_eq (f.freed, 1);
}
END_TEST

START_TEST (test_short_answer)
{
  put (1000);
  watch_until (&f.events);
  ck_assert_uint_eq (f.events, 1);
  ck_assert_uint_eq (f.begun, 0);
  ck_assert_uint_gt (f.whole, 0);
}
END_TEST

static void
unwatch (struct fixture *fixture)
{
  platform_client_unwatch (f.client, f.watch);
}

START_TEST (test_unwatched_while_read)
{
  put (LONG_BYTES);
  f.act = unwatch;
  watch_until (&f.freed);
  ck_assert_uint_eq (f.steps, 2);
  ck_assert_uint_eq (f.ended, 0);
  ck_assert_uint_eq (f.events, 0);
}
END_TEST

static void
stop_here (struct fixture *fixture)
{
  loop_quit (f.loop);
}

START_TEST (test_destroyed_while_read)
{
  put (LONG_BYTES);
  f.act = stop_here;
  f.watch = platform_client_watch (f.client, BERYL_USE_CONFIG, "config",
                                   &callbacks, &f);
  loop_run (f.loop);
  ck_assert_uint_eq (f.steps, 2);
  ck_assert_uint_eq (f.freed, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("turns");
  TCase *tcase = tcase_create ("turns");

  tcase_set_timeout (tcase, 30);
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_long_answer);
  tcase_add_test (tcase, test_short_answer);
  tcase_add_test (tcase, test_unwatched_while_read);
  tcase_add_test (tcase, test_destroyed_while_read);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
