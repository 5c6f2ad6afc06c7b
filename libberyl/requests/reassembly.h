/** @file
 * Puts the pieces of one answer in order and drops what was delivered.
 */
#ifndef BERYL_REQUESTS_REASSEMBLY_H
#define BERYL_REQUESTS_REASSEMBLY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes that may wait for a gap to close. */
#define REASSEMBLY_BUFFER_MAX_BYTES (256U * 1024)

/** A piece that came before the bytes in front of it. */
struct piece;

/** State of one answer; zero-initialise. */
struct reassembly
{
  uint64_t next;          /**< offset of the next byte to deliver */
  struct piece *buffered; /**< in the order of offsets */
  size_t buffered_bytes;
};

/** Where bytes go that are next in order. */
typedef void (*reassembly_sink) (void *data, const void *bytes,
                                 size_t bytes_count, uint32_t tokens);

/** Take a piece, handing SINK what is in order now.  False if too much
 * waits for a gap. */
bool reassembly_add (struct reassembly *reassembly, uint64_t offset,
                     const void *bytes, size_t bytes_count, uint32_t tokens,
                     reassembly_sink sink, void *data);

/** Forget the pieces that wait, for a new attempt. */
void reassembly_discard_buffered (struct reassembly *reassembly);

#endif
