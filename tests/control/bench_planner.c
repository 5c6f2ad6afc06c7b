/* Compares pool sizing policies on daily load curves in virtual time:
 * engine-hours, calls that arrived while no engine was warm, and calls that
 * got a slot by their deadline.  The first two days are warm-up and not
 * counted. */
#include <math.h>
#include <stdio.h>

#include "sim.h"
#include "fleet_sim.h"

#define DAY_S 86400
#define WARMUP_DAYS 2
#define DAYS 5
#define SIZINGS 4
#define LOADS 2
#define DATA_CENTRE_COUNTS 2

/* Office hours: no load at night, a steep rise at nine, a dip at noon. */
static double
office_rate (int second)
{
  double hour = second / 3600.0;

  if (hour < 7.5 || hour > 18.5)
    return 0;
  if (hour < 9)
    return 4 * (hour - 7.5) / 1.5 * 0.4;
  if (hour > 12 && hour < 13)
    return 2.5;
  return 4 + sin ((hour - 9) * M_PI / 4.5);
}

/* Load all day, with an evening peak and a burst near the end of each hour. */
static double
radio_rate (int second)
{
  double hour = second / 3600.0;
  double base = 2 + 1.8 * sin ((hour - 10) * M_PI / 12);

  return second % 3600 > 3000 && second % 3600 < 3300 ? base * 2.2 : base;
}

struct curve
{
  const char *name;
  double (*rate) (int second);
};

static const struct curve curves[]
    = { { "office", office_rate }, { "radio", radio_rate } };

struct row
{
  const char *curve;
  enum beryl_sizing sizing;
  int64_t load_ms;
  int data_centres; /* 1: no spare capacity for a lost one */
  struct fleet_sim_counts counts;
};

/* The load varies randomly between days (up to 25 %) and between the quarter
 * hours of a day (up to 15 %). */
static void
row_measure (struct row *row, const struct curve *curve)
{
  struct fleet_sim_settings settings = { .sizing = row->sizing,
                                         .engines = 24,
                                         .data_centres = row->data_centres,
                                         .load_ms = row->load_ms,
                                         .call_ms = 20000,
                                         .deadline_ms = 30000,
                                         .seed = 11 };
  struct fleet_sim *fleet = fleet_sim_create (&settings);
  struct sim *random = sim_create (5);
  double level = 1;
  double noise = 1;

  for (int day = 0; day < DAYS; day++)
    {
      level = 0.75 + (double)sim_random (random, 50) / 100;
      if (day == WARMUP_DAYS)
        fleet_sim_reset_counts (fleet);
      for (int second = 0; second < DAY_S; second++)
        {
          if (second % 900 == 0)
            noise = 0.85 + (double)sim_random (random, 30) / 100;
          fleet_sim_run_second (fleet, curve->rate (second) * level * noise);
        }
    }
  row->counts = *fleet_sim_counts (fleet);
  sim_destroy (random);
  fleet_sim_destroy (fleet);
}

static double
goodput (const struct row *row)
{
  return 100.0 * (double)row->counts.started_in_time
         / (double)row->counts.calls;
}

static double
hours_a_day (const struct row *row)
{
  return row->counts.engine_hours / (DAYS - WARMUP_DAYS);
}

int
main (void)
{
  static const int64_t load_ms[LOADS] = { 60000, 300000 };
  static const int data_centre_counts[DATA_CENTRE_COUNTS] = { 3, 1 };
  struct row rows[DATA_CENTRE_COUNTS * LOADS * 2 * SIZINGS];
  int count = 0;

  printf ("curve     DCs  load s  sizing     engine-hours/day  cold waits  "
          "in time %%  loads\n");
  for (int c = 0; c < 2 * DATA_CENTRE_COUNTS; c++)
    for (int l = 0; l < LOADS; l++)
      for (int i = 0; i < SIZINGS; i++)
        {
          struct row *row = &rows[count++];

          row->curve = curves[c / DATA_CENTRE_COUNTS].name;
          row->data_centres = data_centre_counts[c % DATA_CENTRE_COUNTS];
          row->sizing = (enum beryl_sizing)i;
          row->load_ms = load_ms[l];
          row_measure (row, &curves[c / DATA_CENTRE_COUNTS]);
          printf ("%-7s %5d  %6ld  %-9s  %16.1f  %10lu  %9.2f  %5u\n",
                  row->curve, row->data_centres, row->load_ms / 1000,
                  beryl_sizing_name (row->sizing), hours_a_day (row),
                  row->counts.arrived_cold, goodput (row), row->counts.loads);
          fflush (stdout);
        }
  printf ("{\"bench\":\"planner\",\"rows\":[");
  for (int i = 0; i < count; i++)
    printf ("%s{\"curve\":\"%s\",\"data_centres\":%d,\"load_ms\":%ld,"
            "\"sizing\":\"%s\","
            "\"engine_hours_per_day\":%.1f,\"cold_waits\":%lu,"
            "\"in_time_percent\":%.2f,\"loads\":%u}",
            i > 0 ? "," : "", rows[i].curve, rows[i].data_centres,
            rows[i].load_ms, beryl_sizing_name (rows[i].sizing),
            hours_a_day (&rows[i]), rows[i].counts.arrived_cold,
            goodput (&rows[i]), rows[i].counts.loads);
  printf ("]}\n");
  return 0;
}
