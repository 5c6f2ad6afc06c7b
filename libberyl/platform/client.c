#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/random.h"
#include "private.h"

/* Defaults of the settings. */
#define READS_PER_S 20.0
#define WRITES_PER_S 10.0
#define CALL_TIMEOUT_MS 2000
#define WATCH_WAIT_MS 20000
#define WATCH_SPACING_MS 100
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000
#define BREAKER_FAILURES 5
#define QUEUE_MAX 4096

static const uint32_t default_weights[BERYL_USE_COUNT] = {
  [BERYL_USE_LEASE] = 8,     [BERYL_USE_CLAIM] = 8,  [BERYL_USE_CONFIG] = 4,
  [BERYL_USE_INSTANCES] = 2, [BERYL_USE_STATUS] = 1, [BERYL_USE_OPERATOR] = 4
};

static const char *const use_names[BERYL_USE_COUNT]
    = { "lease", "claim", "config", "instances", "status", "operator" };

const char *
beryl_platform_use_name (enum beryl_platform_use use)
{
  return use_names[use];
}

const char *
beryl_platform_op_name (enum beryl_platform_op op)
{
  static const char *const names[]
      = { "get", "list", "put", "delete", "watch", "instances" };

  return names[op];
}

static void
default_ms (int64_t *value, int64_t fallback)
{
  if (*value == 0)
    *value = fallback;
}

static void
settings_complete (struct beryl_platform_settings *s)
{
  if (s->reads_per_s <= 0)
    s->reads_per_s = READS_PER_S;
  if (s->writes_per_s <= 0)
    s->writes_per_s = WRITES_PER_S;
  if (s->breaker_failures == 0)
    s->breaker_failures = BREAKER_FAILURES;
  if (s->queue_max == 0)
    s->queue_max = QUEUE_MAX;
  default_ms (&s->call_timeout_ms, CALL_TIMEOUT_MS);
  default_ms (&s->watch_wait_ms, WATCH_WAIT_MS);
  default_ms (&s->first_wait_ms, s->watch_wait_ms);
  default_ms (&s->watch_spacing_ms, WATCH_SPACING_MS);
  default_ms (&s->backoff_min_ms, BACKOFF_MIN_MS);
  default_ms (&s->backoff_max_ms, BACKOFF_MAX_MS);
  for (int u = 0; u < BERYL_USE_COUNT; u++)
    if (s->weights[u] == 0)
      s->weights[u] = default_weights[u];
}

struct beryl_platform *
beryl_platform_create (const struct beryl_platform_settings *settings,
                       struct beryl_platform_handler *handler, uint64_t seed)
{
  struct beryl_platform *p = calloc (1, sizeof *p);

  p->handler = handler;
  p->random = seed;
  if (settings)
    p->settings = *settings;
  settings_complete (&p->settings);
  LIST_INIT (&p->fetches);
  LIST_INIT (&p->watches);
  LIST_INIT (&p->completed);
  LIST_INIT (&p->delivering);
  platform_schedule_init (p);
  beryl_platform_set_rates (p, p->settings.reads_per_s,
                            p->settings.writes_per_s);
  /* A new client may make its first call at once. */
  for (int c = 0; c < RATE_COUNT; c++)
    p->budgets[c].tokens = 1;
  return p;
}

/** Drop open calls, so that freeing their owners does not abort them: destroy
 * invokes no callbacks. */
static void
calls_forget (struct beryl_platform *p)
{
  struct job *job;

  while ((job = TAILQ_FIRST (&p->calling)))
    {
      TAILQ_REMOVE (&p->calling, job, entry);
      job->state = JOB_IDLE;
    }
}

static void
waiters_free (struct waiter_list *list)
{
  struct waiter *w;

  while ((w = LIST_FIRST (list)))
    {
      LIST_REMOVE (w, entry);
      free (w);
    }
}

void
beryl_platform_destroy (struct beryl_platform *p)
{
  struct fetch *f;
  struct watch *w;

  if (!p)
    return;
  calls_forget (p);
  while ((f = LIST_FIRST (&p->fetches)))
    platform_fetch_free (p, f);
  while ((w = LIST_FIRST (&p->watches)))
    platform_watch_free (p, w);
  waiters_free (&p->completed);
  waiters_free (&p->delivering);
  free (p);
}

void
beryl_platform_set_rates (struct beryl_platform *p, double reads_per_s,
                          double writes_per_s)
{
  p->budgets[RATE_READS].rate_per_s = reads_per_s;
  p->budgets[RATE_WRITES].rate_per_s = writes_per_s;
}

void
beryl_platform_nonce (struct beryl_platform *p, char nonce[BERYL_NONCE_BYTES])
{
  uint64_t high = random_next (&p->random);
  uint64_t low = random_next (&p->random);

  snprintf (nonce, BERYL_NONCE_BYTES, "%016" PRIx64 "%016" PRIx64, high, low);
}

/** Return the pause after a 429 answer: the one that the platform asks for, or
 * one that doubles with each refusal in a row. */
static int64_t
refused_pause_ms (const struct beryl_platform *p, const struct budget *b,
                  int64_t retry_after_ms)
{
  int64_t pause_ms
      = retry_after_ms > 0 ? retry_after_ms : p->settings.backoff_min_ms;

  for (uint32_t i = 1;
       i < b->refusals && pause_ms < p->settings.backoff_max_ms; i++)
    pause_ms *= 2;
  return pause_ms < p->settings.backoff_max_ms ? pause_ms
                                               : p->settings.backoff_max_ms;
}

/** Handle a 429 answer: this process or the whole fleet exceeds its rate, or
 * the platform turns this node away. */
static void
answer_limited (struct beryl_platform *p, struct job *job,
                int64_t retry_after_ms, int64_t now_ms)
{
  struct budget *b = &p->budgets[job->rate_class];
  int64_t pause_ms;

  b->refusals++;
  pause_ms = refused_pause_ms (p, b, retry_after_ms);
  p->counts.refused++;
  platform_breaker_succeeded (p);
  /* Jitter keeps the fleet from returning all at once. */
  b->paused_until_ms = now_ms + pause_ms
                       + platform_random_jitter_ms (&p->random, pause_ms / 2);
  platform_job_ready (p, job);
}

void
beryl_platform_answer_json (struct beryl_platform *p, uint64_t call,
                            unsigned int status, int64_t retry_after_ms,
                            const struct json_t *json, int64_t now_ms)
{
  struct job *job = platform_job_take (p, call);

  if (!job)
    return;
  if (status == 429)
    {
      answer_limited (p, job, retry_after_ms, now_ms);
      return;
    }
  p->budgets[job->rate_class].refusals = 0;
  if (status >= 500)
    {
      p->counts.errors++;
      platform_breaker_failed (p, call, true, now_ms);
      /* 503 means that the call was not executed; with any other error a
         write may have taken effect. */
      job->impl->failed (p, job, status == 503, now_ms);
      return;
    }
  platform_breaker_succeeded (p);
  job->impl->answer (p, job, status, json, now_ms);
}

void
beryl_platform_answer (struct beryl_platform *p, uint64_t call,
                       unsigned int status, int64_t retry_after_ms,
                       const char *body, size_t body_bytes, int64_t now_ms)
{
  /* Accept NUL characters in strings, which other writers may have stored;
     otherwise the whole answer would be lost. */
  json_t *json
      = json_loadb (body ? body : "", body_bytes, JSON_ALLOW_NUL, NULL);

  beryl_platform_answer_json (p, call, status, retry_after_ms, json, now_ms);
  json_decref (json);
}

void
beryl_platform_answer_too_long (struct beryl_platform *p, uint64_t call,
                                int64_t now_ms)
{
  /* As if the history were gone: a list shows the newest state alone. */
  beryl_platform_answer_json (p, call, 410, 0, NULL, now_ms);
}

void
beryl_platform_answer_started (struct beryl_platform *p, uint64_t call)
{
  struct job *job = platform_job_find (p, call);

  if (job)
    job->answer_started = true;
}

void
beryl_platform_failed (struct beryl_platform *p, uint64_t call, bool sent,
                       int64_t now_ms)
{
  struct job *job = platform_job_take (p, call);

  if (!job)
    return;
  p->counts.errors++;
  platform_breaker_failed (p, call, !job->is_watch, now_ms);
  job->impl->failed (p, job, !sent, now_ms);
}

void
beryl_platform_tick (struct beryl_platform *p, int64_t now_ms)
{
  /* Requests that do not wait for recovery fail only after one of them had the
     chance to become the probe.  Otherwise a process that makes only such
     requests would consider the platform unreachable for ever after an outage.
   */
  platform_fetches_expire (p, false, now_ms);
  platform_schedule_run (p, now_ms);
  platform_fetches_expire (p, true, now_ms);
}

int64_t
beryl_platform_next_ms (const struct beryl_platform *p)
{
  int64_t expiry_ms = platform_fetches_next_ms (p);
  int64_t calls_ms = platform_schedule_next_ms (p);

  return expiry_ms < calls_ms ? expiry_ms : calls_ms;
}

bool
beryl_platform_is_unreachable (const struct beryl_platform *p)
{
  return p->breaker.state != BREAKER_CLOSED;
}

const struct beryl_platform_counts *
beryl_platform_counts (const struct beryl_platform *p)
{
  return &p->counts;
}
