/** @file
 * beryl-load: sends a scenario's calls to a running system, each at its
 * intended time, and reports what became of them.
 */
#include <getopt.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "caller.h"
#include "common/settings.h"
#include "entries.h"
#include "report.h"
#include "results.h"
#include "truth.h"

#define PROGRESS_MS 5000
#define DRAIN_MS 60000

struct options
{
  struct scenario scenario;
  GArray *entries; /* of struct caller_target */
  GArray *engines;
  GPtrArray *tokens;
  json_t *notes;
  const char *json_file;
  const char *csv_file;
  bool check_answers;
};

struct run
{
  const struct options *options;
  struct loop *loop;
  struct caller_settings callers;
  struct arrivals *arrivals;
  struct entries *entries;
  GRand *random; /* which entry instance */
  size_t next;
  uint32_t open;
  struct results *results;
  struct loop_timer *timer;
  struct loop_timer *progress;
  FILE *csv;
};

static void
usage (FILE *out)
{
  fputs (
      "usage: beryl-load [OPTION]... --entry IP:PORT SCENARIO.yaml\n"
      "       beryl-load report RESULTS.json... >PAGE.html\n"
      "  --entry IP:PORT      an entry instance to ask for the addresses to\n"
      "                       use (GET /v1/entry); repeat for several\n"
      "  --token TEXT         a bearer token; repeat: organisation i uses\n"
      "                       token i modulo their number\n"
      "  --engine IP:PORT     a stand-in engine, asked for waste; repeat\n"
      "  --load X             of the decode capacity, over the scenario's\n"
      "  --duration SECONDS   over the scenario's\n"
      "  --seed N             over the scenario's\n"
      "  --check-answers      compare with the stand-in engines' text\n"
      "  --note S:TEXT        mark second S on the time line; repeat\n"
      "  --json FILE          write the results\n"
      "  --csv FILE           write a line for each call\n",
      out);
}

static bool
add_target (GArray *list, const char *text)
{
  struct caller_target t = { 0 };
  const char *colon = strrchr (text, ':');
  if (colon == NULL || (size_t)(colon - text) >= sizeof t.address)
    return false;
  memcpy (t.address, text, (size_t)(colon - text));
  t.port = (uint16_t)strtoul (colon + 1, NULL, 10);
  g_array_append_val (list, t);
  return t.port != 0;
}

static bool
add_note (json_t *notes, const char *text)
{
  char *rest;
  double s = g_ascii_strtod (text, &rest);
  if (rest == text || *rest != ':')
    return false;
  json_array_append_new (notes,
                         json_pack ("{s:f,s:s}", "s", s, "text", rest + 1));
  return true;
}

static bool
load_scenario (struct options *o, const char *path)
{
  struct beryl_findings *findings = beryl_findings_create ();
  bool ok = scenario_load (path, &o->scenario, findings);
  if (!ok)
    settings_print_findings (findings);
  beryl_findings_destroy (findings);
  return ok;
}

static bool
parse (struct options *o, int argc, char **argv)
{
  static const struct option options[]
      = { { "entry", required_argument, NULL, 'e' },
          { "token", required_argument, NULL, 't' },
          { "engine", required_argument, NULL, 'g' },
          { "load", required_argument, NULL, 'l' },
          { "duration", required_argument, NULL, 'd' },
          { "seed", required_argument, NULL, 's' },
          { "check-answers", no_argument, NULL, 'k' },
          { "note", required_argument, NULL, 'n' },
          { "json", required_argument, NULL, 'j' },
          { "csv", required_argument, NULL, 'c' },
          { "help", no_argument, NULL, 'h' },
          { 0 } };
  double load = -1;
  uint32_t duration_s = 0;
  uint64_t seed = 0;
  bool ok = true;
  int option;
  while (ok && (option = getopt_long (argc, argv, "h", options, NULL)) != -1)
    switch (option)
      {
      case 'e':
        ok = add_target (o->entries, optarg);
        break;
      case 't':
        g_ptr_array_add (o->tokens, optarg);
        break;
      case 'g':
        ok = add_target (o->engines, optarg);
        break;
      case 'l':
        load = g_ascii_strtod (optarg, NULL);
        break;
      case 'd':
        duration_s = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 's':
        seed = strtoull (optarg, NULL, 10);
        break;
      case 'k':
        o->check_answers = true;
        break;
      case 'n':
        ok = add_note (o->notes, optarg);
        break;
      case 'j':
        o->json_file = optarg;
        break;
      case 'c':
        o->csv_file = optarg;
        break;
      case 'h':
        usage (stdout);
        exit (EXIT_SUCCESS);
      default:
        ok = false;
      }
  if (!ok || optind + 1 != argc || o->entries->len == 0 || o->tokens->len == 0)
    {
      usage (stderr);
      return false;
    }
  if (!load_scenario (o, argv[optind]))
    return false;
  o->scenario.entries = o->entries->len;
  if (load >= 0)
    o->scenario.load = load;
  if (duration_s > 0)
    o->scenario.duration_s = duration_s;
  if (seed > 0)
    o->scenario.seed = seed;
  return true;
}

static void
quit_when_done (struct run *r)
{
  if (r->next == r->arrivals->count && r->open == 0)
    loop_quit (r->loop);
}

static void
call_ended (const struct call_outcome *outcome, void *user)
{
  struct run *r = user;
  results_add (r->results, outcome);
  if (r->csv)
    results_csv_line (outcome, r->csv);
  r->open--;
  quit_when_done (r);
}

static void
send_one (struct run *r, const struct arrival *a)
{
  const struct options *o = r->options;
  const struct caller_target *target
      = entries_choose (r->entries, g_rand_double (r->random));
  const char *token = o->tokens->pdata[a->organisation % o->tokens->len];
  results_asked (r->results, a);
  r->open++;
  caller_start (&r->callers, a, target, token, call_ended, r);
}

/* Send all that is due; the next timer is set by the intended time, so that
 * a late turn does not delay the calls after it. */
static void
send_due (void *user)
{
  struct run *r = user;
  int64_t now_us = (loop_now_ms (r->loop) - r->callers.started_ms) * 1000;
  while (r->next < r->arrivals->count
         && r->arrivals->items[r->next].at_us <= now_us)
    send_one (r, &r->arrivals->items[r->next++]);
  loop_timer_stop (r->timer);
  r->timer = NULL;
  if (r->next < r->arrivals->count)
    {
      int64_t wait_us = r->arrivals->items[r->next].at_us - now_us;
      r->timer
          = loop_timer_start (r->loop, (wait_us + 999) / 1000, 0, send_due, r);
    }
  quit_when_done (r);
}

static void
print_progress (void *user)
{
  struct run *r = user;
  int64_t elapsed = loop_now_ms (r->loop) - r->callers.started_ms;
  results_progress (r->results, elapsed, stderr);
  if (elapsed > (int64_t)r->options->scenario.duration_s * 1000
                    + r->options->scenario.deadline_ms + DRAIN_MS)
    loop_quit (r->loop);
}

static void
add_truth (struct run *r, json_t *json)
{
  const GArray *engines = r->options->engines;
  struct truth t;
  if (engines->len == 0)
    return;
  truth_collect (r->loop, r->callers.http,
                 (const struct caller_target *)(void *)engines->data,
                 engines->len, r->callers.run, &t);
  json_object_set_new (
      json, "engines",
      json_pack ("{s:I,s:I,s:I,s:I,s:i}", "prefill_tokens",
                 (json_int_t)t.prefill_tokens, "wasted_prefill_tokens",
                 (json_int_t)t.wasted_prefill_tokens, "held",
                 (json_int_t)t.held, "doubled", (json_int_t)t.doubled,
                 "unread", (int)t.unread));
}

static bool
write_json (const struct options *o, json_t *json)
{
  size_t flags = JSON_INDENT (1) | JSON_REAL_PRECISION (6);
  if (o->json_file && json_dump_file (json, o->json_file, flags) != 0)
    {
      fprintf (stderr, "beryl-load: cannot write %s\n", o->json_file);
      return false;
    }
  json_object_del (json, "time_line");
  char *line = json_dumps (json, JSON_COMPACT | JSON_REAL_PRECISION (6));
  puts (line);
  free (line);
  return true;
}

/* Ask for the addresses, then send all calls and wait for their ends. */
static bool
run_calls (struct run *r)
{
  const struct options *o = r->options;
  const struct caller_target *seeds = (const void *)o->entries->data;

  r->entries = entries_create (seeds, o->entries->len);
  r->random = g_rand_new_with_seed ((guint32)o->scenario.seed);
  bool ok = entries_start (r->entries, r->loop, r->callers.http,
                           o->tokens->pdata[0]);
  if (ok)
    {
      r->callers.started_ms = loop_now_ms (r->loop);
      r->progress = loop_timer_start (r->loop, PROGRESS_MS, PROGRESS_MS,
                                      print_progress, r);
      r->timer = loop_timer_start (r->loop, 0, 0, send_due, r);
      loop_run (r->loop);
      loop_timer_stop (r->timer);
      loop_timer_stop (r->progress);
      results_progress (r->results,
                        loop_now_ms (r->loop) - r->callers.started_ms, stderr);
    }
  else
    fputs ("beryl-load: no entry instance answered GET /v1/entry\n", stderr);
  entries_stop (r->entries);
  entries_destroy (r->entries);
  g_rand_free (r->random);
  return ok;
}

static bool
report_run (struct run *r)
{
  json_t *json = results_json (r->results);
  json_object_set (json, "faults", r->options->notes);
  add_truth (r, json);
  bool ok = write_json (r->options, json);
  json_decref (json);
  return ok;
}

static bool
run_load (const struct options *o)
{
  struct beryl_error error = { 0 };
  char id[48];
  struct run r = { .options = o };
  r.arrivals = arrivals_create (&o->scenario, &error);
  if (!r.arrivals)
    {
      fprintf (stderr, "beryl-load: %s\n", error.message);
      return false;
    }
  if (o->csv_file)
    {
      r.csv = fopen (o->csv_file, "w");
      if (!r.csv)
        {
          fprintf (stderr, "beryl-load: cannot write %s\n", o->csv_file);
          arrivals_destroy (r.arrivals);
          return false;
        }
      results_csv_head (r.csv);
    }
  r.loop = loop_create ();
  r.results = results_create (&o->scenario);
  r.callers.http = http_context_create (r.loop, NULL);
  r.callers.loop = r.loop;
  r.callers.scenario = &o->scenario;
  r.callers.check_answers = o->check_answers;
  g_snprintf (id, sizeof id, "load%" G_GINT64_MODIFIER "x",
              (guint64)g_get_real_time ());
  r.callers.run = id;
  bool ok = run_calls (&r) && report_run (&r);
  http_context_destroy (r.callers.http);
  if (r.csv)
    fclose (r.csv);
  loop_destroy (r.loop);
  results_destroy (r.results);
  arrivals_destroy (r.arrivals);
  return ok;
}

int
main (int argc, char **argv)
{
  struct options o = { 0 };
  if (argc > 2 && strcmp (argv[1], "report") == 0)
    return report_files (argv + 2, (size_t)argc - 2, stdout) ? EXIT_SUCCESS
                                                             : EXIT_FAILURE;
  o.notes = json_array ();
  scenario_init (&o.scenario);
  o.entries = g_array_new (FALSE, TRUE, sizeof (struct caller_target));
  o.engines = g_array_new (FALSE, TRUE, sizeof (struct caller_target));
  o.tokens = g_ptr_array_new ();
  bool ok = parse (&o, argc, argv) && run_load (&o);
  g_array_free (o.entries, TRUE);
  g_array_free (o.engines, TRUE);
  g_ptr_array_free (o.tokens, TRUE);
  json_decref (o.notes);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
