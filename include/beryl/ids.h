/** @file
 * Identifiers shared by all modules.
 */
#ifndef BERYL_IDS_H
#define BERYL_IDS_H

#include <stdint.h>

/** Size of the longest name of an object, node or endpoint, including its NUL.
 */
#define BERYL_NAME_BYTES 64

/** Identifier of an engine stream.  Identifiers are enumerable, so that the
 * streams of a dead process can be cancelled by a range of counters. */
struct beryl_stream_id
{
  uint64_t incarnation; /**< incarnation of the beryl-entryd that opened it */
  uint64_t counter;     /**< counts from 1 in that incarnation */
};

#endif
