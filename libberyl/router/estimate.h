/** @file
 * Cost estimates fitted to observations.
 */
#ifndef ROUTER_ESTIMATE_H
#define ROUTER_ESTIMATE_H

#include <stdint.h>

/** Line y = a + b * x fitted to exponentially weighted observations. */
struct estimate_line
{
  double weight, x, y, xx, xy; /**< weighted sums of 1, x, y, x * x, x * y */
  double spread; /**< mean absolute deviation of y from the line; not used */
};

/** Exponentially weighted mean and variance. */
struct estimate_mean
{
  double mean, variance;
};

/** Initialise LINE to y = A + B * X, with one observation each at 0 and X_MAX.
 */
void estimate_line_init (struct estimate_line *line, double a, double b,
                         double x_max);

/** Add an observation; WEIGHT is usually 1, less for a doubtful one. */
void estimate_line_add (struct estimate_line *line, double x, double y,
                        double weight);

/** Return the line's value at X, never negative. */
double estimate_line_at (const struct estimate_line *line, double x);

/** Initialise to mean VALUE with standard deviation SD. */
void estimate_mean_init (struct estimate_mean *mean, double value, double sd);

/** Add an observation. */
void estimate_mean_add (struct estimate_mean *mean, double value);

/** Return the mean plus Z standard deviations. */
double estimate_mean_plus_sd (const struct estimate_mean *mean, double z);

/** Return the largest K for which a Poisson variable of mean MU is at least
 * K with probability CERTAINTY or more. */
uint32_t estimate_poisson_lower_bound (double mu, double certainty);

#endif
