#include "history_private.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time after which a leaving endpoint must receive no new work. */
#define LEAVING_GRACE_MS 2000

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
    [INVARIANT_AT_MOST_ONCE] = "at most once",
    [INVARIANT_NOT_RUN_CORRECT] = "not run is correct",
    [INVARIANT_ANSWERED_ONCE] = "answered once",
    [INVARIANT_ANSWER_CORRECT] = "complete own answer",
    [INVARIANT_KEYS_ISOLATED] = "keys isolated",
    [INVARIANT_NO_HOLD_LEAKED] = "no hold leaked",
    [INVARIANT_HOLD_REPORTED] = "hold reported first",
    [INVARIANT_GRACEFUL_STOP] = "graceful stop",
    [INVARIANT_LEAVING_IDLE] = "leaving endpoint idle",
    [INVARIANT_ALWAYS_ANSWERED] = "always answered",
    [INVARIANT_LIVE_NODE_KEPT] = "live node kept",
  };

  return names[invariant];
}

/* Context of the checks of one history. */
struct check
{
  const struct history *history;
  struct history_result *result;
};

static void __attribute__ ((format (printf, 3, 4)))
violation (struct check *check, enum history_invariant invariant,
           const char *format, ...)
{
  struct history_result *result = check->result;
  char text[160];
  va_list ap;

  result->violations[invariant]++;
  if (result->first_violation[0] != '\0')
    return;
  va_start (ap, format);
  vsnprintf (text, sizeof text, format, ap);
  va_end (ap);
  snprintf (result->first_violation, sizeof result->first_violation, "%s: %s",
            history_invariant_name (invariant), text);
}

static const struct history_event *
event_at (const struct check *check, size_t i)
{
  return &check->history->events[i];
}

/* A non-idempotent call that runs twice, such as billing, charges a customer
 * twice. */
static void
check_at_most_once (struct check *check)
{
  size_t jobs = check->history->job_count;
  uint32_t *runs = calloc (jobs + 1, sizeof *runs);

  for (size_t i = 0; i < check->history->event_count; i++)
    if (event_at (check, i)->type == HISTORY_RUN)
      runs[event_at (check, i)->job]++;
  for (size_t j = 0; j < jobs; j++)
    if (check->history->jobs[j].non_idempotent && runs[j] > 1)
      violation (check, INVARIANT_AT_MOST_ONCE, "job %zu ran %u times", j,
                 runs[j]);
  free (runs);
}

/* A caller that is told "not run" acts on it and calls elsewhere.  It is wrong
 * if that attempt runs at any time, or if the call's key ran before. */
static void
check_not_run_correct (struct check *check)
{
  const struct history *history = check->history;

  for (size_t i = 0; i < history->event_count; i++)
    {
      const struct history_event *error = event_at (check, i);

      if (error->type != HISTORY_ERROR
          || error->outcome != BERYL_OUTCOME_NOT_RUN)
        continue;
      for (size_t k = 0; k < history->event_count; k++)
        {
          const struct history_event *run = event_at (check, k);
          bool same_key = history->jobs[error->job].keyed && k < i;

          if (run->type == HISTORY_RUN && run->job == error->job
              && (run->attempt == error->attempt || same_key))
            violation (check, INVARIANT_NOT_RUN_CORRECT,
                       "job %u attempt %u was told not run (%s) and ran as "
                       "attempt %u",
                       error->job, error->attempt,
                       beryl_problem_name (error->problem), run->attempt);
        }
    }
}

/* A call with a key that is answered twice makes its caller act twice. */
static void
check_answered_once (struct check *check)
{
  size_t jobs = check->history->job_count;
  uint32_t *ends = calloc (jobs + 1, sizeof *ends);

  for (size_t i = 0; i < check->history->event_count; i++)
    if (event_at (check, i)->type == HISTORY_COMPLETED)
      ends[event_at (check, i)->job]++;
  for (size_t j = 0; j < jobs; j++)
    if (check->history->jobs[j].keyed && ends[j] > 1)
      violation (check, INVARIANT_ANSWERED_ONCE,
                 "job %zu was answered %u times", j, ends[j]);
  free (ends);
}

/* Returns the bytes that one attempt of a job received. */
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

      if (e->type != HISTORY_DATA || e->job != job || e->attempt != attempt)
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
             uint64_t start, bool complete)
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
      if (complete ? strcmp (text, run->text + start) == 0
                   : strncmp (text, run->text + start, strlen (text)) == 0)
        return true;
    }
  return false;
}

/* Every caller receives the complete answer to its own request: all bytes of
 * one run, in order, each once; or a part of it if the reply was truncated. */
static void
check_answer_correct (struct check *check)
{
  for (size_t i = 0; i < check->history->event_count; i++)
    {
      const struct history_event *e = event_at (check, i);
      bool complete = e->type == HISTORY_COMPLETED;
      uint64_t start;
      char *text;

      if (!complete && e->type != HISTORY_TRUNCATED
          && e->type != HISTORY_CALLER_CLOSED
          && e->type != HISTORY_CONNECTION_LOST)
        continue;
      text = received (check, e->job, e->attempt, &start);
      if ((complete || text[0] != '\0')
          && !matches_run (check, e->job, text, start, complete))
        violation (check, INVARIANT_ANSWER_CORRECT,
                   "job %u attempt %u received \"%.60s\" from offset %zu",
                   e->job, e->attempt, text, (size_t)start);
      free (text);
    }
}

/* A key of one organisation must be invisible to another one that uses the
 * same text: both its answer and its existence. */
static void
check_keys_isolated (struct check *check)
{
  for (size_t i = 0; i < check->history->event_count; i++)
    {
      const struct history_event *e = event_at (check, i);

      if (e->type == HISTORY_ERROR && check->history->jobs[e->job].other_key
          && e->attempt == 0
          && (e->problem == BERYL_PROBLEM_KEY_MISMATCH
              || e->problem == BERYL_PROBLEM_KEY_ANSWERED))
        violation (check, INVARIANT_KEYS_ISOLATED, "job %u was told %s",
                   e->job, beryl_problem_name (e->problem));
    }
}

/* A leaving endpoint receives no new work after a few seconds. */
static void
check_leaving (struct check *check)
{
  for (size_t i = 0; i < check->history->event_count; i++)
    for (size_t k = i + 1;
         event_at (check, i)->type == HISTORY_ENDPOINT_LEAVING
         && k < check->history->event_count;
         k++)
      {
        const struct history_event *leaving = event_at (check, i);
        const struct history_event *run = event_at (check, k);

        if (run->type == HISTORY_RUN && run->endpoint == leaving->endpoint
            && run->at_ms > leaving->at_ms + LEAVING_GRACE_MS)
          violation (check, INVARIANT_LEAVING_IDLE,
                     "endpoint %u got work %lld ms after it left",
                     run->endpoint, (long long)(run->at_ms - leaving->at_ms));
      }
}

/* Events that are violations by themselves. */
static void
check_single_events (struct check *check)
{
  for (size_t i = 0; i < check->history->event_count; i++)
    {
      const struct history_event *e = event_at (check, i);

      switch (e->type)
        {
        case HISTORY_HOLD_LEAKED:
          /* Engine memory that nobody waits for is lost capacity. */
          violation (check, INVARIANT_NO_HOLD_LEAKED, "endpoint %u holds %s",
                     e->endpoint, e->text);
          break;
        case HISTORY_HOLD_UNREPORTED:
          /* If the process died now, nobody could free this memory. */
          violation (check, INVARIANT_HOLD_REPORTED, "endpoint %u: %s",
                     e->endpoint, e->text);
          break;
        case HISTORY_NO_ANSWER:
          /* A caller without an answer can neither wait nor go on. */
          violation (check, INVARIANT_ALWAYS_ANSWERED, "job %u attempt %u",
                     e->job, e->attempt);
          break;
        case HISTORY_LIVE_NODE_CANCELLED:
          /* Cancelling the streams of a live node cuts off its callers. */
          violation (check, INVARIANT_LIVE_NODE_KEPT, "%s", e->text);
          break;
        case HISTORY_CONNECTION_LOST:
          /* A graceful shutdown breaks no caller's connection. */
          if (e->planned)
            violation (check, INVARIANT_GRACEFUL_STOP, "job %u attempt %u",
                       e->job, e->attempt);
          break;
        default:
          break;
        }
    }
}

bool
history_check (const struct history *history, struct history_result *result)
{
  struct check check = { history, result };

  memset (result, 0, sizeof *result);
  check_at_most_once (&check);
  check_not_run_correct (&check);
  check_answered_once (&check);
  check_answer_correct (&check);
  check_keys_isolated (&check);
  check_leaving (&check);
  check_single_events (&check);
  return result->first_violation[0] == '\0';
}
