/** @file
 * Faults that tests order from the platform stand-in, and its rates.
 */
#ifndef STANDIN_FAULTS_H
#define STANDIN_FAULTS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** Tokens of one rate. */
struct rate
{
  double per_s; /**< 0: no limit */
  double tokens;
  int64_t filled_ms;
};

struct faults
{
  bool outage;           /**< answer 503 */
  bool hang;             /**< do not answer */
  bool drop_watches;     /**< cut waiting watches */
  int64_t slow_ms;       /**< half before the effect, half after it */
  uint32_t lose_replies; /**< cut that many writes after their effect */
  int64_t stale_ms;      /**< age of what reads see */
  int64_t instances_lag_ms;
  struct rate reads;
  struct rate writes;
};

/** Change the members that JSON names; false if one is unknown. */
bool faults_apply (struct faults *faults, const json_t *json);

/** Spend one call; false if the rate is used up. */
bool rate_spend (struct rate *rate, int64_t now_ms);

#endif
