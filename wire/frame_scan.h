/** @file
 * Check of a msgpack body's bounds before the library decodes it.
 */
#ifndef WIRE_FRAME_SCAN_H
#define WIRE_FRAME_SCAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Whether BYTES are exactly one msgpack value, nested at most DEPTH_MAX
 * deep, with at most VALUES_MAX values, whose counts and lengths stay inside
 * BYTES. */
bool frame_scan (const uint8_t *bytes, size_t bytes_count, uint32_t depth_max,
                 uint32_t values_max);

#endif
