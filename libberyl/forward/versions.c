#include "versions.h"

#include <stdlib.h>

/* Some 6 MB; a node begins far fewer streams within their lifetime. */
#define RECORDS_MAX 65536

void
version_history_begin (struct version_history *history, int64_t now_ms)
{
  for (size_t i = 0; i < history->count; i++)
    {
      struct version_seen *seen = &history->items[i];

      if (seen->listed)
        seen->seen_ms = now_ms;
      seen->listed = false;
    }
}

/* Returns the slot for a version that is not in HISTORY: a new one, or that of
   the version that was seen least recently. */
static struct version_seen *
free_slot (struct version_history *history)
{
  struct version_seen *oldest = &history->items[0];

  if (history->count < VERSIONS_MAX)
    return &history->items[history->count++];
  for (size_t i = 1; i < VERSIONS_MAX; i++)
    if (history->items[i].seen_ms < oldest->seen_ms)
      oldest = &history->items[i];
  return oldest;
}

void
version_history_list (struct version_history *history, uint32_t version,
                      int64_t now_ms)
{
  struct version_seen *seen = NULL;

  for (size_t i = 0; i < history->count; i++)
    if (history->items[i].version == version)
      seen = &history->items[i];
  if (seen == NULL)
    seen = free_slot (history);
  *seen = (struct version_seen){ .version = version,
                                 .listed = true,
                                 .seen_ms = now_ms };
}

uint32_t
version_history_sole (const struct version_history *history, int64_t since_ms)
{
  uint32_t sole = 0;

  for (size_t i = 0; i < history->count; i++)
    {
      const struct version_seen *seen = &history->items[i];

      if (!seen->listed && seen->seen_ms < since_ms)
        continue;
      if (sole != 0)
        return 0;
      sole = seen->version;
    }
  return sole;
}

void
stream_records_init (struct stream_records *records)
{
  *records = (struct stream_records){ 0 };
  TAILQ_INIT (&records->oldest_first);
}

static void
drop (struct stream_records *records, struct stream_record *record)
{
  map_remove (&records->by_stream, map_key_from_number (record->stream));
  TAILQ_REMOVE (&records->oldest_first, record, entry);
  records->count--;
  free (record);
}

void
stream_records_clear (struct stream_records *records)
{
  struct stream_record *record;

  while ((record = TAILQ_FIRST (&records->oldest_first)) != NULL)
    drop (records, record);
  map_clear (&records->by_stream);
}

void
stream_records_put (struct stream_records *records, uint64_t stream,
                    uint32_t version, int64_t until_ms, int64_t now_ms)
{
  struct stream_record *record;

  record = map_get (&records->by_stream, map_key_from_number (stream));
  if (record != NULL)
    drop (records, record);
  while ((record = TAILQ_FIRST (&records->oldest_first)) != NULL
         && (record->until_ms <= now_ms || records->count >= RECORDS_MAX))
    drop (records, record);
  record = calloc (1, sizeof *record);
  record->stream = stream;
  record->version = version;
  record->until_ms = until_ms;
  if (!map_put (&records->by_stream, map_key_from_number (stream), record))
    {
      free (record);
      return;
    }
  TAILQ_INSERT_TAIL (&records->oldest_first, record, entry);
  records->count++;
}

const struct stream_record *
stream_records_find (const struct stream_records *records, uint64_t stream,
                     int64_t now_ms)
{
  const struct stream_record *record
      = map_get (&records->by_stream, map_key_from_number (stream));

  return record != NULL && now_ms < record->until_ms ? record : NULL;
}
