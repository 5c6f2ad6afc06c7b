/** @file
 * See demo.h.
 */
#include "demo.h"

#include <getopt.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ARRIVAL_MS 10
#define PROGRESS_MS 1000
/* Callers wait this long for what is open; then the engines get time to let
 * go of what was cut off. */
#define LINGER_MS 25000
#define SETTLE_MS 3000

static bool
parse_place (const char *text, struct place *place)
{
  const char *colon = strrchr (text, ':');

  if (colon == NULL || (size_t)(colon - text) >= sizeof place->address)
    return false;
  g_strlcpy (place->address, text, (gsize)(colon - text) + 1);
  place->port = (uint16_t)strtoul (colon + 1, NULL, 10);
  return place->port != 0;
}

static bool
add_place (const char *text, struct place *places, size_t *count)
{
  return *count < DEMO_PLACES_MAX && parse_place (text, &places[(*count)++]);
}

static void
arrive (void *user)
{
  struct demo *demo = user;

  if (loop_now_ms (demo->loop) >= demo->end_ms)
    return;
  for (int k = 0; k < CALL_KINDS; k++)
    {
      /* Exponential gaps, from a seeded source. */
      demo->due[k] -= demo->rate[k] * ARRIVAL_MS / 1000.0;
      while (demo->due[k] <= 0)
        {
          call_send (demo, (enum call_kind)k);
          demo->due[k] += -log (1 - g_rand_double (demo->rand));
        }
    }
}

static void
progress (void *user)
{
  struct demo *demo = user;
  struct tally sum = { 0 };

  for (int k = 0; k < CALL_KINDS; k++)
    {
      sum.asked += demo->tally[k].asked;
      sum.answered += demo->tally[k].answered;
      sum.not_run += demo->tally[k].not_run;
      sum.unknown += demo->tally[k].unknown;
      sum.lost += demo->tally[k].lost;
    }
  fprintf (stderr,
           "%3d s  asked %5u  answered %5u  not run %3u  unknown %3u  "
           "lost %u  open %u\n",
           (int)((loop_now_ms (demo->loop) - demo->begin_ms) / 1000),
           sum.asked, sum.answered, sum.not_run, sum.unknown, sum.lost,
           demo->open);
}

static void
refresh (void *user)
{
  targets_refresh (user);
}

static void
run_until (struct demo *demo, int64_t until_ms, bool idle_is_enough)
{
  while (loop_now_ms (demo->loop) < until_ms
         && !(idle_is_enough && demo->open == 0))
    uv_run (loop_uv (demo->loop), UV_RUN_ONCE);
}

static void
wait_for_targets (struct demo *demo)
{
  int64_t end_ms = loop_now_ms (demo->loop) + 5000;

  targets_refresh (demo);
  while (demo->target_count == 0 && loop_now_ms (demo->loop) < end_ms)
    uv_run (loop_uv (demo->loop), UV_RUN_ONCE);
}

static bool
run (struct demo *demo, int64_t duration_ms)
{
  struct loop_timer *timers[3];
  bool kept;

  /* Timers keep the loop turning while nothing else happens. */
  timers[0] = loop_timer_start (demo->loop, 500, 500, refresh, demo);
  wait_for_targets (demo);
  demo->begin_ms = loop_now_ms (demo->loop);
  demo->end_ms = demo->begin_ms + duration_ms;
  timers[1]
      = loop_timer_start (demo->loop, ARRIVAL_MS, ARRIVAL_MS, arrive, demo);
  timers[2] = loop_timer_start (demo->loop, PROGRESS_MS, PROGRESS_MS, progress,
                                demo);
  run_until (demo, demo->end_ms, false);
  run_until (demo, demo->end_ms + LINGER_MS, true);
  run_until (demo, loop_now_ms (demo->loop) + SETTLE_MS, false);
  truth_read (demo);
  kept = report_print (demo);
  for (size_t i = 0; i < G_N_ELEMENTS (timers); i++)
    loop_timer_stop (timers[i]);
  return kept;
}

int
main (int argc, char **argv)
{
  static const struct option options[] = {
    { "entry", required_argument, NULL, 'e' },
    { "service", required_argument, NULL, 's' },
    { "engine", required_argument, NULL, 'g' },
    { "token", required_argument, NULL, 't' },
    { "seconds", required_argument, NULL, 'd' },
    { 0 },
  };
  struct demo demo = { .rate = { 12, 60, 30 } };
  char *bearer = NULL;
  int64_t duration_ms = 20000;
  bool valid = true;
  int option;

  while ((option = getopt_long (argc, argv, "e:s:g:t:d:", options, NULL))
         != -1)
    switch (option)
      {
      case 'e':
        valid &= add_place (optarg, demo.seeds, &demo.seed_count);
        break;
      case 's':
        valid &= add_place (optarg, demo.services, &demo.service_count);
        break;
      case 'g':
        valid &= add_place (optarg, demo.engines, &demo.engine_count);
        break;
      case 't':
        g_free (bearer);
        bearer = g_strconcat ("Bearer ", optarg, NULL);
        break;
      case 'd':
        duration_ms = strtol (optarg, NULL, 10) * 1000;
        break;
      default:
        valid = false;
      }
  if (!valid || demo.seed_count == 0 || bearer == NULL)
    return 2;
  log_init ("demo", LOG_FORMAT_TEXT, "error");
  demo.bearer = bearer;
  demo.rand = g_rand_new_with_seed (1);
  demo.letters = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  demo.first_token_ms = g_array_new (FALSE, FALSE, sizeof (int32_t));
  demo.between_tokens_ms = g_array_new (FALSE, FALSE, sizeof (int32_t));
  demo.urgent_ms = g_array_new (FALSE, FALSE, sizeof (int32_t));
  demo.loop = loop_create ();
  demo.http = http_context_create (demo.loop, NULL);
  valid = run (&demo, duration_ms);
  http_context_destroy (demo.http);
  loop_destroy (demo.loop);
  g_array_free (demo.first_token_ms, TRUE);
  g_array_free (demo.between_tokens_ms, TRUE);
  g_array_free (demo.urgent_ms, TRUE);
  g_hash_table_destroy (demo.letters);
  g_rand_free (demo.rand);
  g_free (bearer);
  return valid ? EXIT_SUCCESS : EXIT_FAILURE;
}
