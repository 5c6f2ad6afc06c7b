/** @file
 * Reassembles the pieces of one answer: delivers each byte once and in order.
 */
#ifndef BERYL_REQUESTS_REASSEMBLY_H
#define BERYL_REQUESTS_REASSEMBLY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Most bytes that are buffered behind a gap. */
#define REASSEMBLY_BUFFER_MAX_BYTES (256U * 1024)

/** A piece that arrived before the bytes that precede it. */
struct piece;

/** State of one answer; zero-initialise. */
struct reassembly
{
  uint64_t next;          /**< offset of the next byte to deliver */
  struct piece *buffered; /**< pieces behind a gap, sorted by offset */
  size_t buffered_bytes;
};

/** Receives the next bytes in order. */
typedef void (*reassembly_sink) (void *data, const void *bytes,
                                 size_t bytes_count, uint32_t tokens);

/** Add a piece and pass all bytes that are now in order to SINK.  Returns
 * false if too many bytes wait behind a gap or memory is exhausted. */
bool reassembly_add (struct reassembly *reassembly, uint64_t offset,
                     const void *bytes, size_t bytes_count, uint32_t tokens,
                     reassembly_sink sink, void *data);

/** Discard the buffered pieces, for a new attempt. */
void reassembly_discard_buffered (struct reassembly *reassembly);

#endif
