/* Where the processor time of a change of the configuration goes. */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../../libberyl/platform/private.h"
#include "beryl/platform.h"
#include "demo.h"
#include "platform.h"

#define ROUNDS 20
#define KEYS_PER_ORGANISATION 4

enum step
{
  STEP_READ,      /* a part of the answer's text; all of them */
  STEP_TRANSLATE, /* what was read into native events */
  STEP_OBJECT,    /* an event into an object */
  STEP_ROUTES,    /* the object into a routing table */
  STEP_COPY,      /* its text for peers */
  STEP_FREE,
  STEP_COUNT,
};

static const char *const names[STEP_COUNT]
    = { "read", "translate", "object", "routes", "copy", "free" };

static double
cpu_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static void
add_organisations (json_t *spec, size_t count)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < count; i++)
    {
      json_t *keys = json_array ();
      char name[48];

      for (int k = 0; k < KEYS_PER_ORGANISATION; k++)
        {
          snprintf (name, sizeof name, "key-%zu-%d-0123456789abcdef", i, k);
          json_array_append_new (keys, json_string (name));
        }
      snprintf (name, sizeof name, "organisation-%zu", i);
      json_array_append_new (
          list, json_pack ("{s:s, s:o, s:i, s:i}", "name", name, "api_keys",
                           keys, "rate_per_s", 100, "burst", 100));
    }
  json_object_set_new (spec, "tenants", list);
}

/* Returns the store's answer to a watch that brings one version. */
static char *
answer_text (size_t routes, size_t organisations)
{
  json_t *spec = demo_configuration (7, "plain", NULL);
  json_t *answer;
  char *text;

  demo_add_routes (spec, routes);
  add_organisations (spec, organisations);
  answer = json_pack ("{s:[{s:{s:{s:s, s:i}, s:o}, s:b}], s:i}", "events",
                      "object", "metadata", "name", "main", "revision", 9,
                      "spec", spec, "tombstone", 0, "store_revision", 9);
  text = json_dumps (answer, JSON_COMPACT);
  json_decref (answer);
  return text;
}

/* Times of one way to take a change in. */
struct times
{
  double spent_ms[STEP_COUNT];
  double longest_ms; /* sum of the longest turns of the loop */
};

struct clock
{
  struct times *times;
  double at_ms;
  double turn_ms;    /* of the turn so far */
  double longest_ms; /* of one change */
};

static void
step_done (struct clock *clock, enum step step)
{
  double now_ms = cpu_ms ();

  clock->times->spent_ms[step] += now_ms - clock->at_ms;
  clock->turn_ms += now_ms - clock->at_ms;
  clock->at_ms = now_ms;
}

static void
turn_done (struct clock *clock)
{
  clock->longest_ms = MAX (clock->longest_ms, clock->turn_ms);
  clock->turn_ms = 0;
}

/* Reads an answer in turns of the loop of their own. */
static struct platform_reading *
read_in_turns (const char *text, struct clock *clock)
{
  const struct gateway_wire *wire = platform_gateway_wire ();
  struct platform_reading *reading
      = wire->store.impl->read_begin (&wire->store, text, strlen (text));
  bool done;

  do
    {
      done = wire->store.impl->read_some (reading, PLATFORM_READ_STEP_BYTES);
      step_done (clock, STEP_READ);
      turn_done (clock);
    }
  while (!done);
  return reading;
}

static void
measure (const char *text, bool in_turns, struct times *times)
{
  const struct gateway_wire *wire = platform_gateway_wire ();
  struct clock clock = { .times = times, .at_ms = cpu_ms () };
  struct platform_reading *reading
      = in_turns ? read_in_turns (text, &clock) : NULL;
  struct beryl_error error = { 0 };
  unsigned int status = 200;
  struct beryl_object object;
  struct beryl_routes *routes;
  GString *copies[2];
  json_t *native;

  if (in_turns)
    native = wire->store.impl->read_end (&wire->store, reading, BERYL_OP_WATCH,
                                         "config", &status);
  else
    native = wire->store.impl->answer (&wire->store, BERYL_OP_WATCH, "config",
                                       &status, text, strlen (text));
  step_done (&clock, STEP_TRANSLATE);
  if (!platform_object_read (
          json_array_get (json_object_get (native, "events"), 0), "config",
          &object))
    abort ();
  step_done (&clock, STEP_OBJECT);
  routes = wire->impl->read_routes (wire, &object, &error);
  if (routes == NULL)
    abort ();
  step_done (&clock, STEP_ROUTES);
  for (int i = 0; i < 2; i++)
    copies[i] = g_string_new_len (object.value, (gssize)object.value_bytes);
  step_done (&clock, STEP_COPY);
  for (int i = 0; i < 2; i++)
    g_string_free (copies[i], TRUE);
  beryl_routes_unref (routes);
  platform_object_clear (&object);
  json_decref (native);
  step_done (&clock, STEP_FREE);
  if (in_turns)
    {
      turn_done (&clock);
      wire->store.impl->read_free (reading);
      step_done (&clock, STEP_FREE);
    }
  turn_done (&clock);
  times->longest_ms += clock.longest_ms;
}

/* Prints a line; returns the processor time of a change. */
static double
print_times (const char *way, const struct times *times)
{
  double sum_ms = 0;

  printf (" %8s", way);
  for (int step = 0; step < STEP_COUNT; step++)
    {
      printf (" %9.2f", times->spent_ms[step] / ROUNDS);
      sum_ms += times->spent_ms[step] / ROUNDS;
    }
  printf (" %9.2f %9.2f\n", sum_ms, times->longest_ms / ROUNDS);
  return sum_ms;
}

int
main (void)
{
  static const size_t sizes[][2] = {
    { 16, 16 }, { 2800, 16 }, { 20000, 16 }, { 16, 2200 }, { 2800, 2200 }
  };
  static const char *const ways[] = { "at once", "in turns" };

  json_t *json;

  printf ("%8s %8s %8s %8s", "routes", "organis.", "KB", "read");
  for (int step = 0; step < STEP_COUNT; step++)
    printf (" %9s", names[step]);
  printf (" %9s %9s\n", "sum, ms", "longest");
  json = json_array ();
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      char *text = answer_text (sizes[i][0], sizes[i][1]);

      for (int in_turns = 0; in_turns < 2; in_turns++)
        {
          struct times times = { 0 };
          double sum_ms;

          for (int round = 0; round < ROUNDS; round++)
            measure (text, in_turns, &times);
          printf ("%8zu %8zu %8zu", sizes[i][0], sizes[i][1],
                  strlen (text) / 1024);
          sum_ms = print_times (ways[in_turns], &times);
          json_array_append_new (
              json,
              json_pack ("{s:I, s:I, s:b, s:f, s:f}", "routes",
                         (json_int_t)sizes[i][0], "organisations",
                         (json_int_t)sizes[i][1], "in_turns", in_turns, "ms",
                         sum_ms, "longest_ms", times.longest_ms / ROUNDS));
        }
      free (text);
    }
  json_dumpf (json, stdout, JSON_COMPACT | JSON_REAL_PRECISION (4));
  putchar ('\n');
  json_decref (json);
  return 0;
}
