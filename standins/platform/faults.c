#include "faults.h"

#include <string.h>

/** Burst of a rate, in seconds of it. */
#define BURST_S 1.0

static void
rate_set (struct rate *rate, double per_s)
{
  rate->per_s = per_s;
  rate->tokens = per_s * BURST_S;
}

bool
faults_apply (struct faults *f, const json_t *json)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)json, key, value)
  {
    double number = json_number_value (value);
    bool on = json_is_true (value);

    if (strcmp (key, "outage") == 0)
      f->outage = on;
    else if (strcmp (key, "hang") == 0)
      f->hang = on;
    else if (strcmp (key, "drop_watches") == 0)
      f->drop_watches = on;
    else if (strcmp (key, "slow_ms") == 0)
      f->slow_ms = (int64_t)number;
    else if (strcmp (key, "lose_replies") == 0)
      f->lose_replies = (uint32_t)number;
    else if (strcmp (key, "stale_ms") == 0)
      f->stale_ms = (int64_t)number;
    else if (strcmp (key, "instances_lag_ms") == 0)
      f->instances_lag_ms = (int64_t)number;
    else if (strcmp (key, "reads_per_s") == 0)
      rate_set (&f->reads, number);
    else if (strcmp (key, "writes_per_s") == 0)
      rate_set (&f->writes, number);
    else
      return false;
  }
  return true;
}

bool
rate_spend (struct rate *rate, int64_t now_ms)
{
  double most = rate->per_s * BURST_S;

  if (rate->per_s <= 0)
    return true;
  rate->tokens += (double)(now_ms - rate->filled_ms) * rate->per_s / 1000.0;
  if (rate->tokens > most)
    rate->tokens = most;
  rate->filled_ms = now_ms;
  if (rate->tokens < 1)
    return false;
  rate->tokens -= 1;
  return true;
}
