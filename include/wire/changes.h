/** @file
 * Datagram with changes of the list of endpoints, from a node that watches the
 * list to the others of its data centre.
 */
#ifndef WIRE_CHANGES_H
#define WIRE_CHANGES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"
#include "wire/frame.h"

/** Frame type. */
#define CHANGES_DATAGRAM 49

/** Most changes in one message. */
#define CHANGES_MAX 16

/** A change of one entry. */
struct entry_change
{
  char name[BERYL_NAME_BYTES];
  uint64_t version;
  const char *value; /**< JSON text, borrowed; NULL: deleted */
  size_t value_bytes;
};

/** All changes after one revision of the list, up to another. */
struct changes_message
{
  uint64_t after;
  uint64_t revision;
  struct entry_change changes[CHANGES_MAX]; /**< in order of versions */
  size_t count;
};

/** Begin a frame in WRITER and put MESSAGE into it. */
void changes_put (struct frame_writer *writer,
                  const struct changes_message *message);

/** Read one; values are borrowed from FRAME.  False if malformed. */
bool changes_read (struct frame *frame, struct changes_message *message);

#endif
