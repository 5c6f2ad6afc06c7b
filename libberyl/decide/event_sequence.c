#include "event_sequence.h"

/* Ids go by ones if so many events for each jump have done so. */
#define STEPS_PER_JUMP 16
/* Number of recent events that are remembered: an endpoint may change how it
   numbers events. */
#define WINDOW_EVENTS 256
/* Events of an answer whose ids have gone by ones that speak against one far
   ahead at its end. */
#define STEPS_OF_ANSWER 2

const char *
event_fault_name (enum event_fault fault)
{
  static const char *const names[]
      = { "none",   "not_text",     "unknown_field", "without_id",
          "bad_id", "without_data", "repeated",      "skipped" };

  return names[fault];
}

static bool
is_known (const struct beryl_event_numbering *numbering)
{
  return numbering->steps + numbering->jumps >= STEPS_PER_JUMP;
}

static bool
is_consecutive (const struct beryl_event_numbering *numbering)
{
  return numbering->steps >= STEPS_PER_JUMP * (numbering->jumps + 1);
}

static bool
is_sparse (const struct beryl_event_numbering *numbering)
{
  return is_known (numbering) && numbering->jumps >= numbering->steps;
}

/* Returns whether ids have gone by ones in the answer so far. */
static bool
goes_by_ones (const struct event_sequence *sequence)
{
  return sequence->jumps == 0 && sequence->steps >= STEPS_OF_ANSWER;
}

bool
event_sequence_jumps (const struct event_sequence *sequence, uint64_t id)
{
  uint64_t last_id = sequence->has_last ? sequence->last_id : 0;

  return sequence->known && id > last_id && id - last_id > 1;
}

enum event_fault
event_sequence_check (const struct event_sequence *sequence,
                      const struct beryl_event_numbering *numbering,
                      uint64_t id)
{
  if (!sequence->known)
    return EVENT_OK;
  if (sequence->has_last && id <= sequence->last_id)
    return EVENT_REPEATED;
  if (sequence->joins && event_sequence_jumps (sequence, id)
      && (is_consecutive (numbering)
          || (goes_by_ones (sequence) && !is_sparse (numbering))))
    return EVENT_SKIPPED;
  return EVENT_OK;
}

uint32_t
event_sequence_followers (const struct event_sequence *sequence,
                          const struct beryl_event_numbering *numbering)
{
  if (is_sparse (numbering))
    return 0;
  /* A broken endpoint may send several odd pieces in a row. */
  if (sequence->jumps == 0
      && (is_consecutive (numbering)
          || (goes_by_ones (sequence) && !is_known (numbering))))
    return EVENT_FOLLOWERS_MAX;
  return 1;
}

bool
event_numbering_jumps (const struct beryl_event_numbering *numbering)
{
  return numbering->jumps > 0 && !is_consecutive (numbering);
}

bool
event_sequence_ends (const struct event_sequence *sequence,
                     const struct beryl_event_numbering *endpoint,
                     const struct beryl_event_numbering *service,
                     uint32_t jumps)
{
  const struct beryl_event_numbering *numbering
      = is_known (endpoint) ? endpoint : service;

  if (sequence->jumps > 0 || jumps > 1)
    return true;
  if (is_consecutive (endpoint))
    return false;
  if (event_numbering_jumps (numbering))
    return true;
  return !goes_by_ones (sequence);
}

void
event_sequence_advance (struct event_sequence *sequence, uint64_t id)
{
  if (event_sequence_jumps (sequence, id))
    sequence->jumps++;
  else if (sequence->has_last)
    sequence->steps++;
  sequence->known = true;
  sequence->has_last = true;
  sequence->joins = false;
  sequence->last_id = id;
}

void
event_numbering_learn (struct beryl_event_numbering *numbering,
                       const struct event_sequence *sequence, uint64_t id)
{
  if (event_sequence_jumps (sequence, id))
    numbering->jumps++;
  else if (sequence->known && sequence->has_last)
    numbering->steps++;
  if (numbering->steps + numbering->jumps < WINDOW_EVENTS)
    return;
  numbering->steps /= 2;
  numbering->jumps /= 2;
}
