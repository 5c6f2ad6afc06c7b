#include "history_private.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* After this long an endpoint that leaves gets no new work. */
#define LEAVING_MS 2000

struct history *
history_create (void)
{
  return calloc (1, sizeof (struct history));
}

void
history_destroy (struct history *history)
{
  if (history == NULL)
    return;
  for (size_t i = 0; i < history->event_count; i++)
    free ((char *)history->events[i].text);
  free (history->events);
  free (history->jobs);
  free (history);
}

void
history_add_job (struct history *history, const struct history_job *job)
{
  history->jobs = realloc (history->jobs,
                           (history->job_count + 1) * sizeof *history->jobs);
  history->jobs[history->job_count++] = *job;
}

void
history_add (struct history *history, const struct history_event *event)
{
  struct history_event *copy;

  if (history->event_count == history->event_capacity)
    {
      history->event_capacity = history->event_capacity * 2 + 64;
      history->events = realloc (
          history->events, history->event_capacity * sizeof *history->events);
    }
  copy = &history->events[history->event_count++];
  *copy = *event;
  copy->text = event->text != NULL ? strdup (event->text) : NULL;
}

const char *
history_invariant_name (enum history_invariant invariant)
{
  static const char *const names[] = {
    [INVARIANT_RUNS_ONCE] = "runs once",
    [INVARIANT_NOT_RUN_IS_TRUE] = "not run is true",
    [INVARIANT_ANSWERED_ONCE] = "answered once",
    [INVARIANT_WHOLE_AND_OWN] = "whole and own",
    [INVARIANT_KEYS_APART] = "keys apart",
    [INVARIANT_NOTHING_HELD] = "nothing held",
    [INVARIANT_HOLD_TOLD] = "hold told first",
    [INVARIANT_STOP_CUTS_NOBODY] = "stop cuts nobody",
    [INVARIANT_LEAVING_RESTS] = "leaving rests",
    [INVARIANT_EVERYONE_HEARS] = "everyone hears",
    [INVARIANT_LIVING_KEPT] = "living kept",
  };

  return names[invariant];
}

/* The checks of one history. */
struct check
{
  const struct history *history;
  struct history_verdict *verdict;
};

static void __attribute__ ((format (printf, 3, 4)))
broken (struct check *check, enum history_invariant invariant,
        const char *format, ...)
{
  struct history_verdict *verdict = check->verdict;
  char text[160];
  va_list ap;

  verdict->broken[invariant]++;
  if (verdict->first[0] != '\0')
    return;
  va_start (ap, format);
  vsnprintf (text, sizeof text, format, ap);
  va_end (ap);
  snprintf (verdict->first, sizeof verdict->first, "%s: %s",
            history_invariant_name (invariant), text);
}

static const struct history_event *
event_at (const struct check *check, size_t i)
{
  return &check->history->events[i];
}

/* A billing verdict that runs twice bills a station twice. */
static void
check_runs_once (struct check *check)
{
  size_t jobs = check->history->job_count;
  uint32_t *runs = calloc (jobs + 1, sizeof *runs);

  for (size_t i = 0; i < check->history->event_count; i++)
    if (event_at (check, i)->type == HISTORY_RUN)
      runs[event_at (check, i)->job]++;
  for (size_t j = 0; j < jobs; j++)
    if (check->history->jobs[j].non_idempotent && runs[j] > 1)
      broken (check, INVARIANT_RUNS_ONCE, "job %zu ran %u times", j, runs[j]);
  free (runs);
}

/* A caller that hears "not run" acts on it: it asks elsewhere.  A run of that
 * try at any time, or of its key before that moment, makes it a lie. */
static void
check_not_run (struct check *check)
{
  const struct history *history = check->history;

  for (size_t i = 0; i < history->event_count; i++)
    {
      const struct history_event *told = event_at (check, i);

      if (told->type != HISTORY_TOLD || told->outcome != BERYL_OUTCOME_NOT_RUN)
        continue;
      for (size_t k = 0; k < history->event_count; k++)
        {
          const struct history_event *run = event_at (check, k);
          bool same_key = history->jobs[told->job].keyed && k < i;

          if (run->type == HISTORY_RUN && run->job == told->job
              && (run->attempt == told->attempt || same_key))
            broken (check, INVARIANT_NOT_RUN_IS_TRUE,
                    "job %u try %u was told not run (%s) and ran as try %u",
                    told->job, told->attempt,
                    beryl_problem_name (told->problem), run->attempt);
        }
    }
}

/* A doubled status reply confuses the counter and sends two letters. */
static void
check_answered_once (struct check *check)
{
  size_t jobs = check->history->job_count;
  uint32_t *ends = calloc (jobs + 1, sizeof *ends);

  for (size_t i = 0; i < check->history->event_count; i++)
    if (event_at (check, i)->type == HISTORY_ENDED)
      ends[event_at (check, i)->job]++;
  for (size_t j = 0; j < jobs; j++)
    if (check->history->jobs[j].keyed && ends[j] > 1)
      broken (check, INVARIANT_ANSWERED_ONCE, "job %zu was answered %u times",
              j, ends[j]);
  free (ends);
}

/* What one try of a job received, from the bytes of its events. */
static char *
received (const struct check *check, uint32_t job, uint32_t attempt,
          uint64_t *start)
{
  char *text = calloc (1, 1);
  size_t count = 0;

  *start = 0;
  for (size_t i = 0; i < check->history->event_count; i++)
    {
      const struct history_event *e = event_at (check, i);
      size_t more;

      if (e->type != HISTORY_BYTES || e->job != job || e->attempt != attempt)
        continue;
      if (count == 0)
        *start = e->offset;
      more = strlen (e->text);
      text = realloc (text, count + more + 1);
      memcpy (text + count, e->text, more + 1);
      count += more;
    }
  return text;
}

static bool
matches_run (const struct check *check, uint32_t job, const char *text,
             uint64_t start, bool whole)
{
  for (size_t i = 0; i < check->history->event_count; i++)
    {
      const struct history_event *run = event_at (check, i);
      size_t run_bytes;

      if (run->type != HISTORY_RUN || run->job != job)
        continue;
      run_bytes = strlen (run->text);
      if (start > run_bytes)
        continue;
      if (whole ? strcmp (text, run->text + start) == 0
                : strncmp (text, run->text + start, strlen (text)) == 0)
        return true;
    }
  return false;
}

/* Every caller receives the whole answer to its own request: all bytes of
 * one run, in order, each once; and a part of it if it was cut. */
static void
check_whole_and_own (struct check *check)
{
  for (size_t i = 0; i < check->history->event_count; i++)
    {
      const struct history_event *e = event_at (check, i);
      bool whole = e->type == HISTORY_ENDED;
      uint64_t start;
      char *text;

      if (!whole && e->type != HISTORY_CUT && e->type != HISTORY_LEFT
          && e->type != HISTORY_BROKEN)
        continue;
      text = received (check, e->job, e->attempt, &start);
      if ((whole || text[0] != '\0')
          && !matches_run (check, e->job, text, start, whole))
        broken (check, INVARIANT_WHOLE_AND_OWN,
                "job %u try %u received \"%.60s\" from %zu", e->job,
                e->attempt, text, (size_t)start);
      free (text);
    }
}

/* One organisation's key must not be seen by another that uses the same
 * text: not its answer, and not that it exists. */
static void
check_keys_apart (struct check *check)
{
  for (size_t i = 0; i < check->history->event_count; i++)
    {
      const struct history_event *e = event_at (check, i);

      if (e->type == HISTORY_TOLD && check->history->jobs[e->job].other_key
          && e->attempt == 0
          && (e->problem == BERYL_PROBLEM_KEY_MISMATCH
              || e->problem == BERYL_PROBLEM_KEY_ANSWERED))
        broken (check, INVARIANT_KEYS_APART, "job %u heard %s", e->job,
                beryl_problem_name (e->problem));
    }
}

/* An endpoint that is leaving receives no new work after a few seconds. */
static void
check_leaving (struct check *check)
{
  for (size_t i = 0; i < check->history->event_count; i++)
    for (size_t k = i + 1; event_at (check, i)->type == HISTORY_LEAVING
                           && k < check->history->event_count;
         k++)
      {
        const struct history_event *leaving = event_at (check, i);
        const struct history_event *run = event_at (check, k);

        if (run->type == HISTORY_RUN && run->endpoint == leaving->endpoint
            && run->at_ms > leaving->at_ms + LEAVING_MS)
          broken (check, INVARIANT_LEAVING_RESTS,
                  "endpoint %u got work %lld ms after it left", run->endpoint,
                  (long long)(run->at_ms - leaving->at_ms));
      }
}

/* Events that are findings by themselves. */
static void
check_findings (struct check *check)
{
  for (size_t i = 0; i < check->history->event_count; i++)
    {
      const struct history_event *e = event_at (check, i);

      switch (e->type)
        {
        case HISTORY_HELD:
          /* Engine memory that nobody waits for is capacity lost. */
          broken (check, INVARIANT_NOTHING_HELD, "endpoint %u holds %s",
                  e->endpoint, e->text);
          break;
        case HISTORY_UNTOLD:
          /* If the process dies now, nobody can free this memory. */
          broken (check, INVARIANT_HOLD_TOLD, "endpoint %u: %s", e->endpoint,
                  e->text);
          break;
        case HISTORY_LATE:
          /* A caller that hears nothing can neither wait nor go on. */
          broken (check, INVARIANT_EVERYONE_HEARS, "job %u try %u", e->job,
                  e->attempt);
          break;
        case HISTORY_CLEANED:
          /* Cancelling a living node's streams cuts off its callers. */
          broken (check, INVARIANT_LIVING_KEPT, "%s", e->text);
          break;
        case HISTORY_BROKEN:
          /* A planned stop is a graceful shutdown. */
          if (e->planned)
            broken (check, INVARIANT_STOP_CUTS_NOBODY, "job %u try %u", e->job,
                    e->attempt);
          break;
        default:
          break;
        }
    }
}

bool
history_check (const struct history *history, struct history_verdict *verdict)
{
  struct check check = { history, verdict };

  memset (verdict, 0, sizeof *verdict);
  check_runs_once (&check);
  check_not_run (&check);
  check_answered_once (&check);
  check_whole_and_own (&check);
  check_keys_apart (&check);
  check_leaving (&check);
  check_findings (&check);
  return verdict->first[0] == '\0';
}
