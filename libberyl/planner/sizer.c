#include <stdlib.h>

#include "beryl/planner.h"

#define DAY_MS 86400000
/* Weight of a new day in the profile. */
#define PROFILE_GAIN 0.4
/* Number of recent ratios of load to profile that the correction averages, as
 * in BARISTA. */
#define RATIOS_MAX 5
/* Bounds of the correction, so that a wrong profile cannot dominate. */
#define CORRECTION_MIN 0.5
#define CORRECTION_MAX 2.0
/* Load of a step that has not been observed yet. */
#define UNKNOWN (-1.0)
/* Ratios to loads below this are noise. */
#define LOAD_MIN 0.5

struct beryl_sizer
{
  enum beryl_sizing sizing;
  int64_t step_ms;
  int64_t horizon_ms;
  size_t steps;
  double profile[BERYL_SIZER_STEPS_MAX]; /* load by time of day */
  double ratios[RATIOS_MAX];             /* recent ratios of load to profile */
  size_t ratio_count;
};

struct beryl_sizer *
beryl_sizer_create (enum beryl_sizing sizing, int64_t step_ms,
                    int64_t horizon_ms)
{
  struct beryl_sizer *s = calloc (1, sizeof *s);

  if (s == NULL)
    return NULL;
  s->sizing = sizing;
  s->step_ms = step_ms;
  s->horizon_ms = horizon_ms;
  s->steps = (size_t)(DAY_MS / step_ms);
  if (s->steps > BERYL_SIZER_STEPS_MAX)
    s->steps = BERYL_SIZER_STEPS_MAX;
  for (size_t i = 0; i < BERYL_SIZER_STEPS_MAX; i++)
    s->profile[i] = UNKNOWN;
  return s;
}

void
beryl_sizer_destroy (struct beryl_sizer *s)
{
  free (s);
}

static size_t
step_at (const struct beryl_sizer *s, int64_t day_ms)
{
  int64_t in_day = ((day_ms % DAY_MS) + DAY_MS) % DAY_MS;

  return (size_t)(in_day * (int64_t)s->steps / DAY_MS);
}

static void
profile_update (struct beryl_sizer *s, size_t step, double load)
{
  if (s->profile[step] >= 0)
    s->profile[step] += PROFILE_GAIN * (load - s->profile[step]);
  else
    s->profile[step] = load;
}

const double *
beryl_sizer_profile (const struct beryl_sizer *s, size_t *step_count)
{
  *step_count = s->steps;
  return s->profile;
}

void
beryl_sizer_restore_step (struct beryl_sizer *s, size_t step, double load)
{
  if (step < s->steps && load >= 0)
    s->profile[step] = load;
}

static double
correction (const struct beryl_sizer *s)
{
  size_t count = s->ratio_count < RATIOS_MAX ? s->ratio_count : RATIOS_MAX;
  double mean = 0;

  if (count == 0)
    return 1;
  for (size_t i = 0; i < count; i++)
    mean += s->ratios[i];
  mean /= (double)count;
  if (mean < CORRECTION_MIN)
    return CORRECTION_MIN;
  return mean > CORRECTION_MAX ? CORRECTION_MAX : mean;
}

/* Returns the peak of the profile until an engine ordered now is warm. */
static double
forecast (const struct beryl_sizer *s, int64_t day_ms, double load)
{
  double peak = UNKNOWN;

  for (int64_t ahead_ms = s->step_ms; ahead_ms <= s->horizon_ms + s->step_ms;
       ahead_ms += s->step_ms)
    {
      size_t step = step_at (s, day_ms + ahead_ms);

      if (s->profile[step] > peak)
        peak = s->profile[step];
    }
  return peak < 0 ? load : peak;
}

static double
max_load (double a, double b)
{
  return a > b ? a : b;
}

double
beryl_sizer_step (struct beryl_sizer *s, double load, int64_t day_ms)
{
  size_t step = step_at (s, day_ms);
  double forecast_load;

  if (s->profile[step] > LOAD_MIN)
    s->ratios[s->ratio_count++ % RATIOS_MAX] = load / s->profile[step];
  forecast_load = forecast (s, day_ms, load);
  profile_update (s, step, load);
  switch (s->sizing)
    {
    case BERYL_SIZING_REACTIVE:
      return load;
    case BERYL_SIZING_FORECAST:
      return forecast_load;
    case BERYL_SIZING_CORRECTED:
      return forecast_load * correction (s);
    case BERYL_SIZING_HYBRID:
      return max_load (load, forecast_load * correction (s));
    }
  return load;
}

const char *
beryl_sizing_name (enum beryl_sizing sizing)
{
  switch (sizing)
    {
    case BERYL_SIZING_REACTIVE:
      return "reactive";
    case BERYL_SIZING_FORECAST:
      return "forecast";
    case BERYL_SIZING_CORRECTED:
      return "corrected";
    case BERYL_SIZING_HYBRID:
      return "hybrid";
    }
  return "reactive";
}
