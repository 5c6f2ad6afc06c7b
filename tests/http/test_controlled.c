#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "common/yaml.h"
#include "wire/link.h"
#include "wire/local.h"
#include "../suite.h"
#include "world.h"

#define PROMPT "{\"model\":\"advies-1\",\"prompt\":\"How wide?\"}"
/* Above the time between two reports of entryd. */
#define REPORTED_MS 1300

/* A beryl-controld at the interface. */
struct control
{
  struct link_handler base;
  struct link_listener *listener;
  struct link *link;
  struct frame_writer *writer;
  struct local_holds holds; /* as last told */
  uint32_t holds_told;
  uint64_t applied;
  struct local_load load; /* of advies, as last told */
  uint32_t loads_told;
  uint32_t arrived; /* in all reports */
  uint64_t prompt_tokens;
  uint64_t output_tokens;
};

static struct world *world;
static struct control control;
static struct answer answer;

static void
control_take (const struct local_message *message)
{
  const struct local_holds *holds = &message->holds;

  if (message->type == LOCAL_HOLDS)
    {
      control.holds_told++;
      g_free (control.holds.items);
      control.holds.count = holds->count;
      control.holds.items
          = g_memdup2 (holds->items, holds->count * sizeof *holds->items);
    }
  if (message->type == LOCAL_APPLIED)
    control.applied = message->applied.config_version;
  if (message->type != LOCAL_LOAD)
    return;
  for (size_t i = 0; i < message->loads.count; i++)
    if (strcmp (message->loads.items[i].service, "advies") == 0)
      {
        control.load = message->loads.items[i];
        control.arrived += control.load.arrived;
        control.prompt_tokens += control.load.prompt_tokens;
        control.output_tokens += control.load.output_tokens;
        control.loads_told++;
      }
}

static void
control_frame (struct link_handler *handler, struct link *link,
               struct frame *frame)
{
  struct local_message message;

  ck_assert (local_read (frame, &message));
  control_take (&message);
  local_message_clear (&message);
}

static void
control_closed (struct link_handler *handler, struct link *link,
                const char *reason)
{
  control.link = NULL;
}

static const struct link_handler_impl control_impl
    = { .frame = control_frame, .closed = control_closed };

static struct link_handler *
control_accept (void *user, struct link *link)
{
  control.link = link;
  return &control.base;
}

/* Sends a view with the objects JSON, or with those of before if NULL. */
static void
send_view (uint64_t version, char *json)
{
  struct local_message message = { .type = LOCAL_VIEW };

  message.view.config_version = version;
  message.view.objects_json = json;
  message.view.objects_bytes = json != NULL ? strlen (json) : 0;
  local_put (control.writer, &message);
  ck_assert (link_send (control.link, control.writer));
  world_run (world, 100);
}

static char *
objects_of_file (void)
{
  struct beryl_findings *findings = beryl_findings_create ();
  struct yaml_file *file = yaml_file_load (world->path, findings);
  char *json = json_dumps (json_array_get (yaml_file_documents (file), 0),
                           JSON_COMPACT);

  yaml_file_destroy (file);
  beryl_findings_destroy (findings);
  return json;
}

static void
set_up (void)
{
  struct loop *loop = loop_create ();
  char *json;

  memset (&control, 0, sizeof control);
  control.base.impl = &control_impl;
  control.writer = frame_writer_create (LOCAL_VIEW);
  control.listener
      = link_listen (loop, "127.0.0.1", 0, control_accept, NULL, NULL);
  ck_assert_ptr_nonnull (control.listener);
  world
      = world_create_controlled (loop, link_listener_port (control.listener));
  world_run (world, 100);
  ck_assert_ptr_nonnull (control.link);
  json = objects_of_file ();
  send_view (1, json);
  free (json);
}

static void
tear_down (void)
{
  link_listener_close (control.listener);
  if (control.link != NULL)
    link_close (control.link);
  world_destroy (world);
  frame_writer_destroy (control.writer);
  g_free (control.holds.items);
}

static void
complete (void)
{
  world_call (world, &answer, "POST", "/v1/completions", NULL, NULL, PROMPT);
  ck_assert_msg (answer.status == 200, "%u %s", answer.status,
                 answer.body->str);
  answer_clear (&answer);
}

/* An engine's memory stays full after a node has crashed.  Controld cancels
 * what it was told of; it must hear of a hold before the engine does, and by
 * a window, since a message a request would put its work into each call. */
START_TEST (test_holds_are_told_by_windows)
{
  struct http_call *open;

  world->decode_mode = DECODE_STUCK;
  open = world_send (world, &answer, "POST", "/v1/completions", NULL, NULL,
                     PROMPT);
  world_run (world, 200);
  ck_assert_uint_eq (control.holds.count, 1);
  ck_assert_str_eq (control.holds.items[0].endpoint, "e1");
  ck_assert_uint_eq (control.holds.items[0].incarnation,
                     world->entry->incarnation);
  ck_assert_uint_ge (control.holds.items[0].to, control.holds.items[0].from);
  http_call_cancel (open);
  answer_clear (&answer);
  world_run (world, REPORTED_MS);
  ck_assert_uint_eq (control.holds.count, 0);
  world->decode_mode = DECODE_ANSWER;
  control.holds_told = 0;
  for (int i = 0; i < 20; i++)
    complete ();
  ck_assert_uint_ge (control.holds_told, 1);
  ck_assert_uint_le (control.holds_told, 8);
}
END_TEST

/* A pool stays cold although callers wait, or warm for nobody.  The planner
 * sees demand only by these reports: what arrived and came out since the last
 * one, what runs now, and once that there is nothing any more. */
START_TEST (test_demand_is_reported)
{
  struct http_call *open;

  complete ();
  complete ();
  world_run (world, REPORTED_MS);
  ck_assert_uint_eq (control.arrived, 2);
  ck_assert_uint_gt (control.prompt_tokens, 0);
  ck_assert_uint_eq (control.output_tokens, 4);
  ck_assert_uint_eq (control.load.running, 0);
  world->decode_mode = DECODE_STUCK;
  open = world_send (world, &answer, "POST", "/v1/completions", NULL, NULL,
                     PROMPT);
  world_run (world, REPORTED_MS);
  ck_assert_uint_eq (control.arrived, 3);
  ck_assert_uint_eq (control.load.arrived, 0);
  ck_assert_uint_eq (control.load.running, 1);
  ck_assert_uint_eq (control.load.waiting, 0);
  http_call_cancel (open);
  answer_clear (&answer);
  world_run (world, 2 * REPORTED_MS);
  ck_assert_uint_eq (control.load.running, 0);
  control.loads_told = 0;
  world_run (world, REPORTED_MS);
  ck_assert_uint_eq (control.loads_told, 0);
}
END_TEST

static char *
without_engine (const char *json)
{
  json_t *objects = json_loads (json, 0, NULL);
  size_t i;
  json_t *object;
  char *text;

  json_array_foreach (objects, i, object)
  {
    if (strcmp (json_string_value (json_object_get (object, "name")), "e1")
        != 0)
      continue;
    json_array_remove (objects, i);
    break;
  }
  text = json_dumps (objects, JSON_COMPACT);
  json_decref (objects);
  return text;
}

/* A service's pool is at size nothing.  Its callers wait, or are turned away
 * at their deadline; unless both count as waiting, nobody ever warms an engine
 * for them. */
START_TEST (test_demand_of_an_empty_pool)
{
  char *all = objects_of_file ();
  char *json = without_engine (all);
  struct http_call *open;

  send_view (2, json);
  free (all);
  free (json);
  open = world_send (world, &answer, "POST", "/v1/completions", NULL, NULL,
                     PROMPT);
  world_run (world, REPORTED_MS);
  ck_assert_uint_eq (control.load.waiting, 1);
  ck_assert_uint_eq (control.load.running, 0);
  http_call_cancel (open);
  answer_clear (&answer);
  world_run (world, 2 * REPORTED_MS);
  ck_assert_uint_eq (control.load.waiting, 0);
  world_call (world, &answer, "POST", "/v1/completions", "x-deadline-ms",
              "100", PROMPT);
  ck_assert_msg (answer.status == 503, "%u %s", answer.status,
                 answer.body->str);
  answer_clear (&answer);
  control.loads_told = 0;
  while (control.loads_told == 0)
    world_run (world, 20);
  ck_assert_uint_eq (control.load.arrived, 1);
  ck_assert_uint_eq (control.load.waiting, 1);
}
END_TEST

/* A release's new field spoils a configuration for this entryd only.  It goes
 * on with the one before; said to use the new one, nobody would look for the
 * calls that still follow the old rules. */
START_TEST (test_applied_is_what_is_used)
{
  char broken[] = "[{\"kind\":\"service\"}]";
  char *json = objects_of_file ();

  ck_assert_uint_eq (control.applied, 1);
  send_view (2, broken);
  ck_assert_uint_eq (control.applied, 1);
  send_view (3, json);
  ck_assert_uint_eq (control.applied, 3);
  free (json);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("controlled");
  TCase *tcase = tcase_create ("controlled");

  tcase_set_timeout (tcase, 30);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, test_holds_are_told_by_windows);
  tcase_add_test (tcase, test_demand_is_reported);
  tcase_add_test (tcase, test_demand_of_an_empty_pool);
  tcase_add_test (tcase, test_applied_is_what_is_used);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
