/** @file
 * Frames of the inner protocol: an eight-byte header and a msgpack map with
 * small integer keys.
 *
 * Header, big-endian: body length (4 bytes), protocol version (1), zero (1),
 * message type (2).  The same form travels over TCP and in one datagram.
 * A reader skips fields that it does not know, so that releases can be
 * mixed; it refuses another major version.  Sizes, depth and the number of
 * values are bounded before anything is allocated.
 */
#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/error.h"

/** Protocol version in the header. */
#define FRAME_VERSION 1
/** Bytes of the header. */
#define FRAME_HEADER_BYTES 8
/** Largest body. */
#define FRAME_BODY_MAX_BYTES (4U << 20)
/** Deepest nesting of maps and arrays in a body, the outer map included. */
#define FRAME_DEPTH_MAX 12
/** Most values in one body, keys included. */
#define FRAME_VALUES_MAX 262144

/** Builds one frame. */
struct frame_writer;

/** Begin a frame of TYPE. */
struct frame_writer *frame_writer_create (uint16_t type);

/** Release WRITER; NULL is allowed. */
void frame_writer_destroy (struct frame_writer *writer);

/** Begin again with a frame of TYPE, keeping the buffer. */
void frame_writer_reset (struct frame_writer *writer, uint16_t type);

/** Add a field.  Inside an array KEY is ignored and a value is appended.
 * A NULL string or zero BYTES with NULL adds an empty one. */
void frame_put_uint (struct frame_writer *writer, uint32_t key,
                     uint64_t value);
void frame_put_int (struct frame_writer *writer, uint32_t key, int64_t value);
void frame_put_bool (struct frame_writer *writer, uint32_t key, bool value);
void frame_put_double (struct frame_writer *writer, uint32_t key,
                       double value);
void frame_put_string (struct frame_writer *writer, uint32_t key,
                       const char *value);
void frame_put_bytes (struct frame_writer *writer, uint32_t key,
                      const void *bytes, size_t bytes_count);

/** Open a nested map or array as the value of KEY; end it with
 * frame_put_end. */
void frame_put_map (struct frame_writer *writer, uint32_t key);
void frame_put_array (struct frame_writer *writer, uint32_t key);
void frame_put_end (struct frame_writer *writer);

/** Complete the frame and return it with its header; owned by WRITER.
 * Returns NULL if a limit was exceeded or a container is still open. */
const void *frame_writer_finish (struct frame_writer *writer,
                                 size_t *frame_bytes);

/** A frame that was read. */
struct frame;

/** Read a header.  Returns false if the version or size is refused.  BYTES
 * holds FRAME_HEADER_BYTES. */
bool frame_read_header (const void *bytes, uint16_t *type,
                        uint32_t *body_bytes, struct beryl_error *error);

/** Parse one whole frame, header included.  Returns NULL and fills ERROR if
 * it is malformed, over a limit, or followed by other bytes.  The frame keeps
 * its own copy. */
struct frame *frame_parse (const void *bytes, size_t bytes_count,
                           struct beryl_error *error);

/** Release FRAME; NULL is allowed. */
void frame_destroy (struct frame *frame);

/** Return the message type. */
uint16_t frame_type (const struct frame *frame);

/** Return the bytes of the whole frame, header included. */
const void *frame_raw (const struct frame *frame, size_t *bytes_count);

/** Whether every field read so far had the expected type and every needed
 * one was there.  Check it once, after reading all fields. */
bool frame_valid (const struct frame *frame);

/** Mark FRAME invalid: a field has an impossible value. */
void frame_fail (struct frame *frame);

/** A map inside a frame; valid as long as the frame.  Reading from an empty
 * one (object NULL) finds nothing. */
struct frame_map
{
  struct frame *frame;
  const void *object;
};

/** An array inside a frame. */
struct frame_array
{
  struct frame *frame;
  const void *object;
  uint32_t count;
};

/** Return the outer map. */
struct frame_map frame_root (struct frame *frame);

/** Whether MAP has KEY, of any type. */
bool frame_has (struct frame_map map, uint32_t key);

/** Read an optional field.  Absent: FALLBACK.  Of another type or out of
 * range: FALLBACK, and the frame becomes invalid. */
uint64_t frame_uint (struct frame_map map, uint32_t key, uint64_t fallback);
int64_t frame_int (struct frame_map map, uint32_t key, int64_t fallback);
bool frame_bool (struct frame_map map, uint32_t key, bool fallback);
double frame_double (struct frame_map map, uint32_t key, double fallback);

/** Read a needed field; the frame becomes invalid if it is absent. */
uint64_t frame_need_uint (struct frame_map map, uint32_t key);
int64_t frame_need_int (struct frame_map map, uint32_t key);

/** Copy a string into VALUE, with its NUL; false if absent.  A string that
 * does not fit or holds a NUL makes the frame invalid. */
bool frame_string (struct frame_map map, uint32_t key, char *value,
                   size_t value_bytes);
void frame_need_string (struct frame_map map, uint32_t key, char *value,
                        size_t value_bytes);

/** Return bytes owned by the frame, not terminated; NULL if absent. */
const void *frame_bytes (struct frame_map map, uint32_t key,
                         size_t *bytes_count);

/** Return a nested container; empty if absent. */
struct frame_map frame_map (struct frame_map map, uint32_t key);
struct frame_array frame_array (struct frame_map map, uint32_t key);

/** Read element I of ARRAY, as the functions above. */
struct frame_map frame_array_map (struct frame_array array, uint32_t i);
uint64_t frame_array_uint (struct frame_array array, uint32_t i);
/** The same; a larger number makes the frame invalid. */
uint32_t frame_array_uint32 (struct frame_array array, uint32_t i);
void frame_array_string (struct frame_array array, uint32_t i, char *value,
                         size_t value_bytes);

#endif
