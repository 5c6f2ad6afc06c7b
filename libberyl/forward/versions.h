/** @file
 * Software versions of a service's endpoints, and records of the versions at
 * which streams began.
 */
#ifndef FORWARD_VERSIONS_H
#define FORWARD_VERSIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "../base/map.h"

/** Versions that are remembered of one service. */
#define VERSIONS_MAX 8

/** One version of a service. */
struct version_seen
{
  uint32_t version; /**< as returned by beryl_live_version */
  bool listed;      /**< an endpoint of the list has it */
  int64_t seen_ms;  /**< when one last had it */
};

/** The versions of a service; zero-initialise. */
struct version_history
{
  struct version_seen items[VERSIONS_MAX];
  size_t count;
};

/** Begin an update: no version counts as listed until version_history_list. */
void version_history_begin (struct version_history *history, int64_t now_ms);
void version_history_list (struct version_history *history, uint32_t version,
                           int64_t now_ms);
/** Return the only version that the list has had since SINCE_MS, or 0. */
uint32_t version_history_sole (const struct version_history *history,
                               int64_t since_ms);

/** Record of one stream. */
struct stream_record
{
  TAILQ_ENTRY (stream_record) entry;
  uint64_t stream;
  uint32_t version;
  int64_t until_ms; /**< nobody can resume the stream any more */
};

TAILQ_HEAD (stream_record_list, stream_record);

/** Records by stream; initialise with stream_records_init. */
struct stream_records
{
  struct map by_stream;
  struct stream_record_list oldest_first;
  size_t count;
};

void stream_records_init (struct stream_records *records);
void stream_records_clear (struct stream_records *records);
/** Add a record, or replace that of the same stream; the oldest ones are
 * dropped where there are too many. */
void stream_records_put (struct stream_records *records, uint64_t stream,
                         uint32_t version, int64_t until_ms, int64_t now_ms);
/** Return the record of STREAM, or NULL. */
const struct stream_record *
stream_records_find (const struct stream_records *records, uint64_t stream,
                     int64_t now_ms);

#endif
