#include "private.h"

/* Size of the token buckets, in seconds of their rate. */
#define BURST_S 1.0

static struct budget *
budget_of (struct beryl_platform *p, const struct job *job)
{
  return &p->budgets[job->rate_class];
}

void
platform_schedule_init (struct beryl_platform *p)
{
  TAILQ_INIT (&p->sleeping);
  TAILQ_INIT (&p->calling);
  for (int c = 0; c < RATE_COUNT; c++)
    for (int u = 0; u < BERYL_USE_COUNT; u++)
      TAILQ_INIT (&p->budgets[c].ready[u]);
}

void
platform_job_ready (struct beryl_platform *p, struct job *job)
{
  job->state = JOB_READY;
  job->counted_delayed = false;
  TAILQ_INSERT_TAIL (&budget_of (p, job)->ready[job->use], job, entry);
}

void
platform_job_sleep (struct beryl_platform *p, struct job *job,
                    int64_t until_ms)
{
  job->state = JOB_SLEEPING;
  job->not_before_ms = until_ms;
  TAILQ_INSERT_TAIL (&p->sleeping, job, entry);
}

void
platform_job_back_off (struct beryl_platform *p, struct job *job,
                       int64_t now_ms)
{
  int64_t limit_ms = p->settings.backoff_min_ms;

  for (uint32_t i = 0;
       i < job->failures && limit_ms < p->settings.backoff_max_ms; i++)
    limit_ms *= 2;
  if (limit_ms > p->settings.backoff_max_ms)
    limit_ms = p->settings.backoff_max_ms;
  job->failures++;
  platform_job_sleep (
      p, job, now_ms + platform_random_jitter_ms (&p->random, limit_ms));
}

/** Remove JOB from the queue of its state and make it idle. */
static void
job_unqueue (struct beryl_platform *p, struct job *job)
{
  switch (job->state)
    {
    case JOB_IDLE:
      return;
    case JOB_SLEEPING:
      TAILQ_REMOVE (&p->sleeping, job, entry);
      break;
    case JOB_READY:
      TAILQ_REMOVE (&budget_of (p, job)->ready[job->use], job, entry);
      break;
    case JOB_CALLING:
      TAILQ_REMOVE (&p->calling, job, entry);
      break;
    }
  job->state = JOB_IDLE;
}

void
platform_job_stop (struct beryl_platform *p, struct job *job)
{
  bool calling = job->state == JOB_CALLING;

  job_unqueue (p, job);
  if (!calling)
    return;
  platform_breaker_aborted (p, job->call);
  p->handler->impl->abort (p->handler, job->call);
}

struct job *
platform_job_find (struct beryl_platform *p, uint64_t call)
{
  struct job *job;

  for (job = TAILQ_FIRST (&p->calling); job; job = TAILQ_NEXT (job, entry))
    if (job->call == call)
      return job;
  return NULL;
}

struct job *
platform_job_take (struct beryl_platform *p, uint64_t call)
{
  struct job *job = platform_job_find (p, call);

  if (job)
    job_unqueue (p, job);
  return job;
}

static void
wake_sleeping (struct beryl_platform *p, int64_t now_ms)
{
  struct job *job = TAILQ_FIRST (&p->sleeping);

  while (job)
    {
      struct job *next = TAILQ_NEXT (job, entry);

      if (job->not_before_ms <= now_ms)
        {
          job_unqueue (p, job);
          platform_job_ready (p, job);
        }
      job = next;
    }
}

static void
budget_refill (struct budget *b, int64_t now_ms)
{
  double capacity = b->rate_per_s * BURST_S;

  if (capacity < 1)
    capacity = 1;
  if (now_ms > b->refilled_ms)
    b->tokens += (double)(now_ms - b->refilled_ms) * b->rate_per_s / 1000.0;
  if (b->tokens > capacity)
    b->tokens = capacity;
  b->refilled_ms = now_ms;
}

/** Pick the next job by weighted fair queueing: the use whose next call
 * would finish first in virtual time goes first.  A busy use thus cannot
 * starve another one, and an idle use does not accumulate credit. */
static struct job *
budget_pick (struct beryl_platform *p, struct budget *b)
{
  struct job *best = NULL;
  double best_finish = 0;

  for (int u = 0; u < BERYL_USE_COUNT; u++)
    {
      struct job *job = TAILQ_FIRST (&b->ready[u]);
      double start
          = b->finish[u] > b->virtual_time ? b->finish[u] : b->virtual_time;
      double finish = start + 1.0 / p->settings.weights[u];

      if (!job || (best && finish >= best_finish))
        continue;
      best = job;
      best_finish = finish;
    }
  return best;
}

static void
count_call (struct beryl_platform *p, const struct job *job)
{
  struct beryl_platform_use_counts *counts = &p->counts.uses[job->use];

  if (job->is_watch)
    counts->watches++;
  else if (job->rate_class == RATE_WRITES)
    counts->writes++;
  else
    counts->reads++;
}

static void
job_call (struct beryl_platform *p, struct budget *b, struct job *job,
          int64_t now_ms)
{
  struct beryl_platform_call call
      = { .id = ++p->last_id,
          .timeout_ms = p->settings.call_timeout_ms,
          .idle_timeout_ms = p->settings.call_timeout_ms };
  char path[PATH_BYTES];
  double start = b->finish[job->use];

  if (start < b->virtual_time)
    start = b->virtual_time;
  b->virtual_time = start;
  b->finish[job->use] = start + 1.0 / p->settings.weights[job->use];
  b->tokens -= 1;
  job_unqueue (p, job);
  job->state = JOB_CALLING;
  job->call = call.id;
  job->answer_started = false;
  TAILQ_INSERT_TAIL (&p->calling, job, entry);
  platform_breaker_sent (p, call.id);
  count_call (p, job);
  job->impl->call (p, job, &call, path, now_ms);
  p->handler->impl->send (p->handler, &call);
}

/** Count the ready jobs that wait for tokens, each once. */
static void
count_delayed (struct beryl_platform *p, struct budget *b)
{
  for (int u = 0; u < BERYL_USE_COUNT; u++)
    {
      struct job *job;

      for (job = TAILQ_FIRST (&b->ready[u]); job;
           job = TAILQ_NEXT (job, entry))
        {
          if (job->counted_delayed)
            break;
          job->counted_delayed = true;
          p->counts.uses[u].delayed++;
        }
    }
}

static void
budget_run (struct beryl_platform *p, struct budget *b, int64_t now_ms)
{
  struct job *job;

  budget_refill (b, now_ms);
  if (now_ms < b->paused_until_ms)
    return;
  while ((job = budget_pick (p, b)))
    {
      if (!platform_breaker_allows (&p->breaker, now_ms))
        return;
      if (b->tokens < 1)
        {
          count_delayed (p, b);
          return;
        }
      job_call (p, b, job, now_ms);
    }
}

void
platform_schedule_run (struct beryl_platform *p, int64_t now_ms)
{
  wake_sleeping (p, now_ms);
  for (int c = 0; c < RATE_COUNT; c++)
    budget_run (p, &p->budgets[c], now_ms);
}

static bool
budget_is_idle (const struct budget *b)
{
  for (int u = 0; u < BERYL_USE_COUNT; u++)
    if (!TAILQ_EMPTY (&b->ready[u]))
      return false;
  return true;
}

/** Return the time at which B may make its next call. */
static int64_t
budget_next_ms (const struct beryl_platform *p, const struct budget *b)
{
  int64_t at_ms = b->refilled_ms;

  if (budget_is_idle (b) || p->breaker.state == BREAKER_HALF_OPEN)
    return BERYL_NEVER_MS;
  if (b->tokens < 1)
    at_ms += (int64_t)((1 - b->tokens) * 1000.0 / b->rate_per_s) + 1;
  if (at_ms < b->paused_until_ms)
    at_ms = b->paused_until_ms;
  if (p->breaker.state == BREAKER_OPEN && at_ms < p->breaker.open_until_ms)
    at_ms = p->breaker.open_until_ms;
  return at_ms;
}

int64_t
platform_schedule_next_ms (const struct beryl_platform *p)
{
  int64_t next_ms = BERYL_NEVER_MS;
  const struct job *job;

  for (job = TAILQ_FIRST (&p->sleeping); job; job = TAILQ_NEXT (job, entry))
    {
      if (job->not_before_ms < next_ms)
        next_ms = job->not_before_ms;
    }
  for (int c = 0; c < RATE_COUNT; c++)
    {
      int64_t at_ms = budget_next_ms (p, &p->budgets[c]);

      if (at_ms < next_ms)
        next_ms = at_ms;
    }
  return next_ms;
}
