/** @file
 * Identifiers shared by all parts.
 */
#ifndef BERYL_IDS_H
#define BERYL_IDS_H

#include <stdint.h>

/** Longest name of an object, node or endpoint, with its NUL. */
#define BERYL_NAME_BYTES 64

/** Names one engine stream; enumerable, so that the streams of a dead
 * process can be cancelled by a window of counters. */
struct beryl_stream_id
{
  uint64_t incarnation; /**< of the beryl-entryd that opened it */
  uint64_t counter;     /**< counts from 1 in that incarnation */
};

#endif
