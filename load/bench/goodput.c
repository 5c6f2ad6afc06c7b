/** @file
 * beryl-bench-goodput: goodput and wasted prefill of all policies on the
 * same arrivals, in virtual time.
 */
#include <getopt.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define LOADS_MAX 16
#define LAGGED_MS 500
#define LAGGED_REPORT_LOSS 0.2
#define LAGGED_EVENT_LOSS 0.05

/* Filling up is left out of the goodput. */
#define WARM_UP_S 60

struct variant
{
  const char *name;
  enum beryl_policy policy;
  bool exact;
  bool lengths;
  bool early;
};

static const struct variant variants[] = {
  { "random", BERYL_POLICY_RANDOM, false, false, false },
  { "round_robin", BERYL_POLICY_ROUND_ROBIN, false, false, false },
  { "least_reported", BERYL_POLICY_LEAST_REPORTED, false, false, false },
  { "two_choices", BERYL_POLICY_TWO_CHOICES, false, false, false },
  { "planned", BERYL_POLICY_PLANNED, false, false, false },
  { "planned_early", BERYL_POLICY_PLANNED, false, false, true },
  { "exact", BERYL_POLICY_EXACT, true, false, false },
  { "oracle", BERYL_POLICY_EXACT, true, true, false },
};

struct options
{
  double loads[LOADS_MAX];
  size_t load_count;
  uint32_t duration_s;
  uint64_t seed; /* 0: the scenario's */
  const char *only;
  bool fresh;
  bool lagged;
  bool trace;
  double heavy_part; /* below 0: the scenario's */
  double waste_weight;
  enum sim_fault fault;
};

static void
usage (FILE *out)
{
  fputs ("usage: beryl-bench-goodput [--loads L,L...] [--duration S]\n"
         "  [--seed N] [--only POLICY] [--fresh] [--lagged] [--trace]\n"
         "  [--heavy PART] [--waste-weight W] [--fault NAME] SCENARIO...\n"
         "Without --fresh or --lagged runs both.\n",
         out);
}

static void
parse_loads (struct options *o, const char *text)
{
  char **parts = g_strsplit (text, ",", -1);
  o->load_count = 0;
  for (size_t i = 0; parts[i] && o->load_count < LOADS_MAX; i++)
    o->loads[o->load_count++] = g_ascii_strtod (parts[i], NULL);
  g_strfreev (parts);
}

static bool
parse_fault (struct options *o, const char *name)
{
  for (int i = 0; i < SIM_FAULT_COUNT; i++)
    if (strcmp (sim_fault_name ((enum sim_fault)i), name) == 0)
      {
        o->fault = (enum sim_fault)i;
        return true;
      }
  return false;
}

static bool
parse (struct options *o, int argc, char **argv)
{
  static const struct option options[]
      = { { "loads", required_argument, NULL, 'l' },
          { "duration", required_argument, NULL, 'd' },
          { "seed", required_argument, NULL, 's' },
          { "only", required_argument, NULL, 'o' },
          { "fresh", no_argument, NULL, 'f' },
          { "lagged", no_argument, NULL, 'g' },
          { "trace", no_argument, NULL, 't' },
          { "heavy", required_argument, NULL, 'y' },
          { "waste-weight", required_argument, NULL, 'w' },
          { "fault", required_argument, NULL, 'x' },
          { 0 } };
  int option;
  while ((option = getopt_long (argc, argv, "", options, NULL)) != -1)
    switch (option)
      {
      case 'l':
        parse_loads (o, optarg);
        break;
      case 'd':
        o->duration_s = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 's':
        o->seed = strtoull (optarg, NULL, 10);
        break;
      case 'o':
        o->only = optarg;
        break;
      case 'f':
        o->fresh = true;
        break;
      case 'g':
        o->lagged = true;
        break;
      case 't':
        o->trace = true;
        break;
      case 'y':
        o->heavy_part = g_ascii_strtod (optarg, NULL);
        break;
      case 'w':
        o->waste_weight = g_ascii_strtod (optarg, NULL);
        break;
      case 'x':
        if (!parse_fault (o, optarg))
          return false;
        break;
      default:
        return false;
      }
  if (!o->fresh && !o->lagged)
    o->fresh = o->lagged = true;
  return optind < argc;
}

static double
percent (uint64_t part, uint64_t all)
{
  return all ? 100.0 * (double)part / (double)all : 100;
}

static void
print_header (void)
{
  printf ("%-12s %-7s %5s %-15s %8s %7s %7s %7s %8s %9s %9s %6s %7s %7s\n",
          "scenario", "reports", "load", "policy", "goodput", "of cap",
          "waste%", "refused", "missed", "urgent%", "ttft95ms", "fair", "full",
          "expired");
}

/* Mean answers per second in a part of the run. */
static double
rate_between (const struct sim_result *r, uint32_t from_s, uint32_t to_s)
{
  uint64_t sum = 0;
  for (uint32_t i = from_s; i < to_s && i < r->seconds; i++)
    sum += r->met_in_second[i];
  return to_s > from_s ? (double)sum / (to_s - from_s) : 0;
}

/* Seconds after the fault's end until a ten-second mean is back at 95% of
 * what it was before; -1: not in this run. */
static double
recovery_s (const struct sim_result *r, uint32_t from_s, uint32_t to_s)
{
  double before = rate_between (r, from_s / 2, from_s);
  for (uint32_t s = to_s; s + 10 <= r->seconds; s++)
    if (rate_between (r, s, s + 10) >= 0.95 * before)
      return s - to_s;
  return -1;
}

static void
add_fault_fields (json_t *row, const struct sim_result *r,
                  const struct sim_settings *s)
{
  uint32_t from = (uint32_t)(s->fault_from_ms / 1000);
  uint32_t to = (uint32_t)(s->fault_to_ms / 1000);
  double before = rate_between (r, from / 2, from);
  double during = rate_between (r, from, to);
  double recovery = recovery_s (r, from, to);
  json_object_set_new (row, "fault", json_string (sim_fault_name (s->fault)));
  json_object_set_new (row, "before_per_s", json_real (before));
  json_object_set_new (row, "during_per_s", json_real (during));
  json_object_set_new (row, "recovery_s", json_real (recovery));
  printf ("    %s: before %.2f/s, during %.2f/s, recovered after %.0f s\n",
          sim_fault_name (s->fault), before, during, recovery);
}

static json_t *
report (const struct scenario *s, const struct variant *v, bool lagged,
        const struct sim_settings *settings, const struct sim_result *r)
{
  double goodput = rate_between (r, WARM_UP_S, s->duration_s);
  double of_capacity = goodput / scenario_capacity_per_s (s);
  double waste
      = r->prefill_tokens ? percent (r->wasted_tokens, r->prefill_tokens) : 0;
  double urgent = percent (r->urgent_met, r->urgent_offered);
  double ttft = (double)histogram_percentile_us (r->first_token, 95) / 1000;
  printf ("%-12s %-7s %5.2f %-15s %8.2f %7.3f %7.2f %7llu %8llu %9.3f %9.0f "
          "%6.2f %7llu %7llu\n",
          s->name, lagged ? "lagged" : "fresh", s->load, v->name, goodput,
          of_capacity, waste, (unsigned long long)r->long_refused,
          (unsigned long long)r->long_missed, urgent, ttft, r->least_fair,
          (unsigned long long)r->full, (unsigned long long)r->expired);
  json_t *row = json_pack (
      "{s:s,s:b,s:f,s:s,s:f,s:f,s:f,s:I,s:I,s:I,s:f,s:f,s:f,s:f,s:f}",
      "scenario", s->name, "lagged", lagged, "load", s->load, "policy",
      v->name, "goodput_per_s", goodput, "goodput_of_capacity", of_capacity,
      "waste_percent", waste, "offered", (json_int_t)r->long_offered,
      "refused", (json_int_t)r->long_refused, "missed",
      (json_int_t)r->long_missed, "urgent_percent", urgent, "patient_percent",
      percent (r->patient_met, r->patient_offered), "first_token_p95_ms", ttft,
      "between_tokens_p95_ms",
      (double)histogram_percentile_us (r->between_tokens, 95) / 1000,
      "least_fair", r->least_fair);
  if (settings->fault != SIM_FAULT_NONE)
    add_fault_fields (row, r, settings);
  fflush (stdout);
  return row;
}

static void
run_load (const struct options *o, const struct scenario *s, bool lagged,
          json_t *rows)
{
  struct beryl_error error = { 0 };
  struct arrivals *arrivals = arrivals_create (s, &error);
  if (!arrivals)
    {
      fprintf (stderr, "%s\n", error.message);
      exit (EXIT_FAILURE);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (variants); i++)
    {
      const struct variant *v = &variants[i];
      struct sim_settings settings = {
        .scenario = s,
        .arrivals = arrivals,
        .policy = v->policy,
        .exact = v->exact,
        .lengths = v->lengths,
        .early = v->early,
        .report_lag_ms = lagged ? LAGGED_MS : 0,
        .report_loss = lagged ? LAGGED_REPORT_LOSS : 0,
        .event_loss = lagged ? LAGGED_EVENT_LOSS : 0,
        .fault = o->fault,
        .fault_from_ms = (int64_t)s->duration_s * 1000 * 2 / 5,
        .fault_to_ms = (int64_t)s->duration_s * 1000 * 3 / 5,
        .trace = o->trace,
      };
      struct sim_result result;
      if (o->only && strcmp (o->only, v->name) != 0)
        continue;
      sim_run (&settings, &result);
      json_array_append_new (rows, report (s, v, lagged, &settings, &result));
      sim_result_release (&result);
    }
  arrivals_destroy (arrivals);
}

static void
run_scenario (const struct options *o, const char *path, json_t *rows)
{
  struct scenario s;
  struct beryl_findings *findings = beryl_findings_create ();
  scenario_init (&s);
  if (!scenario_load (path, &s, findings))
    {
      char *text = beryl_findings_format (findings);
      fputs (text, stderr);
      free (text);
      exit (EXIT_FAILURE);
    }
  beryl_findings_destroy (findings);
  s.duration_s = o->duration_s;
  if (o->seed)
    s.seed = o->seed;
  if (o->heavy_part >= 0)
    s.heavy_part = o->heavy_part;
  if (o->waste_weight >= 0)
    s.waste_weight = o->waste_weight;
  for (size_t i = 0; i < o->load_count; i++)
    {
      s.load = o->loads[i];
      if (o->fresh)
        run_load (o, &s, false, rows);
      if (o->lagged)
        run_load (o, &s, true, rows);
    }
}

int
main (int argc, char **argv)
{
  struct options o = { .loads = { 0.5, 0.7, 0.9, 1.0, 1.1, 1.3 },
                       .load_count = 6,
                       .duration_s = 360,
                       .heavy_part = -1,
                       .waste_weight = -1 };
  if (!parse (&o, argc, argv))
    {
      usage (stderr);
      return EXIT_FAILURE;
    }
  json_t *rows = json_array ();
  print_header ();
  for (int i = optind; i < argc; i++)
    run_scenario (&o, argv[i], rows);
  json_t *all = json_pack ("{s:s,s:o}", "bench", "goodput", "rows", rows);
  char *line = json_dumps (all, JSON_COMPACT | JSON_REAL_PRECISION (6));
  puts (line);
  free (line);
  json_decref (all);
  return EXIT_SUCCESS;
}
