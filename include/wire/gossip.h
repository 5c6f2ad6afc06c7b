/** @file
 * Messages between the beryl-controlds of different nodes: gossip in
 * datagrams, and comparison of member lists and pull of the configuration
 * over a connection.
 */
#ifndef WIRE_GOSSIP_H
#define WIRE_GOSSIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/membership.h"
#include "wire/frame.h"

/** Frame types. */
enum gossip_frame
{
  GOSSIP_DATAGRAM = 32,
  GOSSIP_COMPARE,  /**< "my list has this hash" */
  GOSSIP_MEMBERS,  /**< the whole list; both sides send theirs */
  GOSSIP_SAME,     /**< the hashes are equal */
  GOSSIP_PULL,     /**< "give me the configuration after this version" */
  GOSSIP_ENTRIES,  /**< JSON array of entries, see beryl/spread.h */
  GOSSIP_SNAPSHOT, /**< JSON snapshot, see beryl/spread.h */
  GOSSIP_SECRET,   /**< proof of the key, first frame of a connection */
};

/** Begin a frame in WRITER and put a gossip message into it. */
void gossip_put (struct frame_writer *writer,
                 const struct beryl_gossip *message);

/** Read one; false if malformed. */
bool gossip_read (struct frame *frame, struct beryl_gossip *message);

/** Begin a frame with all members of M. */
void gossip_put_members (struct frame_writer *writer,
                         const struct beryl_membership *m);

/** Read them; the array is malloc'd, NULL if malformed or empty. */
struct beryl_member *gossip_read_members (struct frame *frame, size_t *count);

/** Begin a frame that holds one number: GOSSIP_COMPARE, GOSSIP_PULL. */
void gossip_put_number (struct frame_writer *writer, enum gossip_frame type,
                        uint64_t number);

/** Read it; false if malformed. */
bool gossip_read_number (struct frame *frame, uint64_t *number);

/** Begin a frame that holds one text: GOSSIP_ENTRIES, GOSSIP_SNAPSHOT. */
void gossip_put_text (struct frame_writer *writer, enum gossip_frame type,
                      const char *text, size_t bytes_count);

/** Read it; owned by FRAME, NULL if malformed. */
const char *gossip_read_text (struct frame *frame, size_t *bytes_count);

#endif
