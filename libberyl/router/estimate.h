/** @file
 * Cost estimates learned from what was seen.
 */
#ifndef ROUTER_ESTIMATE_H
#define ROUTER_ESTIMATE_H

#include <stdint.h>

/** A line y = a + b * x fitted to observations that fade exponentially. */
struct estimate_line
{
  double weight, x, y, xx, xy;
  double spread; /**< mean absolute deviation of y from the line */
};

/** A mean and a variance that fade exponentially. */
struct estimate_mean
{
  double mean, variance;
};

/** Start LINE at y = A + B * x, believed for X between 0 and X_MAX. */
void estimate_line_init (struct estimate_line *line, double a, double b,
                         double x_max);

/** Add an observation; WEIGHT 1 is usual, less for a doubtful one. */
void estimate_line_add (struct estimate_line *line, double x, double y,
                        double weight);

/** Return the line's value at X, never negative. */
double estimate_line_at (const struct estimate_line *line, double x);

/** Start at MEAN with a standard deviation of SD. */
void estimate_mean_init (struct estimate_mean *mean, double value, double sd);

/** Add an observation. */
void estimate_mean_add (struct estimate_mean *mean, double value);

/** Return the mean plus Z standard deviations. */
double estimate_mean_plus_sd (const struct estimate_mean *mean, double z);

/** Return the largest K for which a Poisson variable of mean MU is at least
 * K with probability CERTAINTY or more. */
uint32_t estimate_poisson_quantile (double mu, double certainty);

#endif
