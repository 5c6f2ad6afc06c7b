#include <math.h>

#include "estimate.h"

/* The weight of an observation halves after about 70 further ones. */
#define LINE_DECAY 0.99
#define MEAN_GAIN 0.05

void
estimate_line_init (struct estimate_line *line, double a, double b,
                    double x_max)
{
  *line = (struct estimate_line){ 0 };
  estimate_line_add (line, 0, a, 1);
  estimate_line_add (line, x_max, a + b * x_max, 1);
  line->spread = 0;
}

void
estimate_line_add (struct estimate_line *line, double x, double y,
                   double weight)
{
  if (line->weight > 1)
    line->spread += MEAN_GAIN * weight
                    * (fabs (y - estimate_line_at (line, x)) - line->spread);
  double keep = line->weight > 2 ? 1 - (1 - LINE_DECAY) * weight : 1;
  line->weight = line->weight * keep + weight;
  line->x = line->x * keep + weight * x;
  line->y = line->y * keep + weight * y;
  line->xx = line->xx * keep + weight * x * x;
  line->xy = line->xy * keep + weight * x * y;
}

double
estimate_line_at (const struct estimate_line *line, double x)
{
  double det = line->weight * line->xx - line->x * line->x;
  double mean = line->y / line->weight;
  if (det <= 1e-9 * line->weight * line->xx)
    return fmax (0, mean);
  double b = (line->weight * line->xy - line->x * line->y) / det;
  if (b < 0) /* noise: costs do not decrease with size */
    return fmax (0, mean);
  return fmax (0, mean + b * (x - line->x / line->weight));
}

void
estimate_mean_init (struct estimate_mean *mean, double value, double sd)
{
  mean->mean = value;
  mean->variance = sd * sd;
}

void
estimate_mean_add (struct estimate_mean *mean, double value)
{
  double d = value - mean->mean;
  mean->mean += MEAN_GAIN * d;
  mean->variance = (1 - MEAN_GAIN) * (mean->variance + MEAN_GAIN * d * d);
}

double
estimate_mean_plus_sd (const struct estimate_mean *mean, double z)
{
  return mean->mean + z * sqrt (mean->variance);
}

uint32_t
estimate_poisson_lower_bound (double mu, double certainty)
{
  double term = exp (-mu);
  double below = term; /* P (X < k + 1) */
  uint32_t k = 0;
  while (1 - below >= certainty && k < 10000)
    {
      k++;
      term *= mu / k;
      below += term;
    }
  return k;
}
