/** @file
 * Failure: an endpoint that sends bytes which are no event of its run amid the
 * events of a stream.  A piece is an event only if it has the form of one and
 * a higher id than the event before it.
 *
 * Ids increase, and nothing else is certain of them: an event may hold several
 * tokens, and the id may count these.  So an id that is further ahead than by
 * one is no fault by itself.  What a node has learned of an endpoint's
 * numbering decides only how long such an event waits for those behind it,
 * which show whether it was the run's, and whether it is believed as the last
 * one.
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
#define EVENT_FOLLOWERS_MAX 4

/** Place in the answer to a request, which may come from several runs. */
struct event_sequence
{
  bool known;    /**< whether it is known after which event the run begins */
  bool has_last; /**< there is an event before the next one */
  bool joins;    /**< the next event is the first one of a run that goes on
                    after an event of another run */
  uint64_t last_id; /**< of the event before */
  uint32_t steps;   /**< of the answer so far, as in the numbering */
  uint32_t jumps;
};

/** Return why an event with ID cannot be next in SEQUENCE, at an endpoint with
 * NUMBERING.  A run that goes on must not leave out what was lost with the run
 * before it: if ids have gone by ones so far, it begins with the next one. */
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

/** Return whether ids are known to increase by more than one, so that they
 * do not count events. */
bool event_numbering_jumps (const struct beryl_event_numbering *numbering);

/** Return whether a run that has ended in order is whole, although it ended
 * before an event that is further ahead than by one had enough followers.
 * JUMPS: such events among those that wait.  ENDPOINT and SERVICE: numbering
 * of its endpoint, and of all endpoints of the service. */
bool event_sequence_ends (const struct event_sequence *sequence,
                          const struct beryl_event_numbering *endpoint,
                          const struct beryl_event_numbering *service,
                          uint32_t jumps);

/** An event with ID is the next one of SEQUENCE. */
void event_sequence_advance (struct event_sequence *sequence, uint64_t id);

/** Learn from an event with ID, before event_sequence_advance for it. */
void event_numbering_learn (struct beryl_event_numbering *numbering,
                            const struct event_sequence *sequence,
                            uint64_t id);

#endif
