/** @file
 * How an endpoint numbers the events of its streams.
 */
#ifndef BERYL_EVENT_NUMBERING_H
#define BERYL_EVENT_NUMBERING_H

#include <stdint.h>

/** Numbering of recent events, of one endpoint or of all endpoints of a
 * service; zero-initialise. */
struct beryl_event_numbering
{
  uint32_t steps; /**< events with the id after that of the event before */
  uint32_t jumps; /**< events with a higher one */
};

#endif
