/** @file
 * Datagram with what a node has found out about requests that crash endpoints,
 * and about endpoints that take only so many requests a second.
 * Each item stands by itself: it may come late, twice, or never.
 */
#ifndef WIRE_NOTICES_H
#define WIRE_NOTICES_H

#include "beryl/limits.h"
#include "beryl/quarantine.h"
#include "wire/frame.h"

/** Frame type. */
#define NOTICES_DATAGRAM 50

/** The message. */
struct notices_message
{
  struct beryl_quarantine_update quarantine;
  struct beryl_limits_update limits;
};

/** Begin a frame in WRITER and put MESSAGE into it. */
void notices_put (struct frame_writer *writer,
                  const struct notices_message *message);

/** Read one; false if malformed. */
bool notices_read (struct frame *frame, struct notices_message *message);

#endif
