/** @file
 * Failure: an endpoint that sends bytes which are no event of its run amid the
 * events of a stream.  A piece is an event only if it has the form of one and
 * a higher id than the event before it.
 *
 * Ids increase, by one or by more: an event may hold several tokens, and the
 * id may count these.  Until NUMBERING shows which, an event further ahead
 * waits for those behind it; as the last one it is believed unless its own
 * answer speaks against it.
 */
#ifndef DECIDE_EVENT_SEQUENCE_H
#define DECIDE_EVENT_SEQUENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "beryl/event_numbering.h"

/** Why a piece of a stream is not the next event of its run. */
enum event_fault
{
  EVENT_OK,
  EVENT_NOT_TEXT,      /**< not UTF-8, or with NUL or CR within a line */
  EVENT_UNKNOWN_FIELD, /**< a line is no field of an event */
  EVENT_WITHOUT_ID,
  EVENT_BAD_ID, /**< its id is no decimal number, or it has several */
  EVENT_WITHOUT_DATA,
  EVENT_REPEATED, /**< the run has had this id, or a higher one */
  EVENT_SKIPPED,  /**< events before it are missing */
};

/** Return the stable name of FAULT. */
const char *event_fault_name (enum event_fault fault);

/** Largest result of event_sequence_followers. */
#define EVENT_FOLLOWERS_MAX 1

/** Place in the answer to a request, which may come from several runs. */
struct event_sequence
{
  bool known;    /**< whether it is known after which event the run begins */
  bool has_last; /**< there is an event before the next one */
  uint64_t last_id; /**< of the event before */
  uint32_t steps;   /**< of the answer so far, as in the numbering */
  uint32_t jumps;
};

/** Return why an event with ID cannot be next in SEQUENCE.  Ids of events
 * increase; they do so by one if NUMBERING shows that. */
enum event_fault
event_sequence_check (const struct event_sequence *sequence,
                      const struct beryl_event_numbering *numbering,
                      uint64_t id);

/** Return whether an event with ID would be further ahead than by one. */
bool event_sequence_jumps (const struct event_sequence *sequence, uint64_t id);

/** Return how many events have to follow one that is further ahead than by one
 * before it is forwarded, at an endpoint with NUMBERING. */
uint32_t
event_sequence_followers (const struct event_sequence *sequence,
                          const struct beryl_event_numbering *numbering);

/** Return whether a run that has ended in order is whole, although it ended
 * with an event that is further ahead than by one and has no followers. */
bool event_sequence_ends (const struct event_sequence *sequence,
                          const struct beryl_event_numbering *numbering);

/** An event with ID is the next one of SEQUENCE. */
void event_sequence_advance (struct event_sequence *sequence, uint64_t id);

/** Learn from an event with ID, before event_sequence_advance for it. */
void event_numbering_learn (struct beryl_event_numbering *numbering,
                            const struct event_sequence *sequence,
                            uint64_t id);

#endif
