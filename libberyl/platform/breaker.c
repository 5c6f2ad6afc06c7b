#include "private.h"

/* Circuit breaker.  Without it every request would take its whole timeout
   during an outage, and the fleet's retries would keep the platform
   overloaded.  After a number of failures in a row only one probe at a time is
   sent, at jittered and increasing intervals; a successful probe closes the
   breaker. */

bool
platform_breaker_allows (const struct breaker *b, int64_t now_ms)
{
  switch (b->state)
    {
    case BREAKER_CLOSED:
      return true;
    case BREAKER_OPEN:
      return now_ms >= b->open_until_ms;
    default:
      return false;
    }
}

/** Return the delay before the next probe. */
static int64_t
probe_delay_ms (struct beryl_platform *p)
{
  int64_t limit_ms = p->settings.backoff_min_ms;

  for (uint32_t i = 0; i < p->breaker.openings; i++)
    {
      limit_ms *= 2;
      if (limit_ms >= p->settings.backoff_max_ms)
        break;
    }
  if (limit_ms > p->settings.backoff_max_ms)
    limit_ms = p->settings.backoff_max_ms;
  return platform_random_jitter_ms (&p->random, limit_ms);
}

static void
breaker_open (struct beryl_platform *p, int64_t now_ms)
{
  struct breaker *b = &p->breaker;

  if (b->state == BREAKER_CLOSED)
    p->counts.breaker_opened++;
  b->state = BREAKER_OPEN;
  b->openings++;
  b->open_until_ms = now_ms + probe_delay_ms (p);
}

void
platform_breaker_sent (struct beryl_platform *p, uint64_t call)
{
  if (p->breaker.state != BREAKER_OPEN)
    return;
  p->breaker.state = BREAKER_HALF_OPEN;
  p->breaker.probe = call;
}

void
platform_breaker_succeeded (struct beryl_platform *p)
{
  p->breaker.state = BREAKER_CLOSED;
  p->breaker.failures = 0;
  p->breaker.openings = 0;
}

void
platform_breaker_failed (struct beryl_platform *p, uint64_t call,
                         bool can_open, int64_t now_ms)
{
  struct breaker *b = &p->breaker;

  if (b->state == BREAKER_HALF_OPEN && b->probe == call)
    breaker_open (p, now_ms);
  else if (b->state == BREAKER_CLOSED && can_open
           && ++b->failures >= p->settings.breaker_failures)
    breaker_open (p, now_ms);
}

void
platform_breaker_aborted (struct beryl_platform *p, uint64_t call)
{
  /* The probe was aborted.  The next call may probe at once, as the breaker
     would otherwise stay half open for ever. */
  if (p->breaker.state == BREAKER_HALF_OPEN && p->breaker.probe == call)
    p->breaker.state = BREAKER_OPEN;
}
