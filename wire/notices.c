#include "wire/notices.h"

#include <string.h>

enum field
{
  FIELD_CRASHES = 1, /* numbers in a row, as the others */
  FIELD_CLEARED,
  FIELD_QUARANTINED,
  FIELD_NODE,
  FIELD_LIMITS,
};

#define NUMBERS_PER_CRASH 2
#define NUMBERS_PER_QUARANTINED 2
#define NUMBERS_PER_LIMIT 6

static void
put_quarantine (struct frame_writer *writer,
                const struct beryl_quarantine_update *news)
{
  frame_put_array (writer, FIELD_CRASHES);
  for (size_t i = 0; i < news->crash_count; i++)
    {
      frame_put_uint (writer, 0, news->crashes[i].fingerprint);
      frame_put_uint (writer, 0, news->crashes[i].endpoint);
    }
  frame_put_end (writer);
  frame_put_array (writer, FIELD_CLEARED);
  for (size_t i = 0; i < news->cleared_count; i++)
    frame_put_uint (writer, 0, news->cleared[i]);
  frame_put_end (writer);
  frame_put_array (writer, FIELD_QUARANTINED);
  for (size_t i = 0; i < news->quarantined_count; i++)
    {
      frame_put_uint (writer, 0, news->quarantined[i].fingerprint);
      frame_put_uint (writer, 0, news->quarantined[i].remaining_s);
    }
  frame_put_end (writer);
}

static void
put_limits (struct frame_writer *writer,
            const struct beryl_limits_update *news)
{
  frame_put_uint (writer, FIELD_NODE, news->node);
  frame_put_array (writer, FIELD_LIMITS);
  for (size_t i = 0; i < news->count; i++)
    {
      const struct beryl_limit_item *item = &news->items[i];

      frame_put_uint (writer, 0, item->endpoint);
      frame_put_uint (writer, 0, item->advertised);
      frame_put_uint (writer, 0, item->answer_kind);
      frame_put_uint (writer, 0, item->millirequests_per_s);
      frame_put_uint (writer, 0, item->age_ms);
      frame_put_uint (writer, 0, item->sent);
    }
  frame_put_end (writer);
}

void
notices_put (struct frame_writer *writer,
             const struct notices_message *message)
{
  frame_writer_reset (writer, NOTICES_DATAGRAM);
  put_quarantine (writer, &message->quarantine);
  put_limits (writer, &message->limits);
}

/* Returns the array KEY of at most MOST items of NUMBERS each; an empty one,
 * and FRAME fails, if it is not that. */
static struct frame_array
read_array (struct frame *frame, enum field key, uint32_t most,
            uint32_t numbers)
{
  struct frame_array array = frame_array (frame_root (frame), key);

  if (array.count <= most * numbers && array.count % numbers == 0)
    return array;
  frame_fail (frame);
  array.count = 0;
  return array;
}

static void
read_quarantine (struct frame *frame, struct beryl_quarantine_update *news)
{
  struct frame_array crashes = read_array (
      frame, FIELD_CRASHES, BERYL_CRASHES_MAX, NUMBERS_PER_CRASH);
  struct frame_array cleared
      = read_array (frame, FIELD_CLEARED, BERYL_CLEARED_MAX, 1);
  struct frame_array quarantined
      = read_array (frame, FIELD_QUARANTINED, BERYL_QUARANTINED_MAX,
                    NUMBERS_PER_QUARANTINED);

  for (uint32_t i = 0; i < crashes.count; i += NUMBERS_PER_CRASH)
    news->crashes[news->crash_count++] = (struct beryl_crash){
      .fingerprint = frame_array_uint (crashes, i),
      .endpoint = frame_array_uint32 (crashes, i + 1),
    };
  for (uint32_t i = 0; i < cleared.count; i++)
    news->cleared[news->cleared_count++] = frame_array_uint (cleared, i);
  for (uint32_t i = 0; i < quarantined.count; i += NUMBERS_PER_QUARANTINED)
    news->quarantined[news->quarantined_count++] = (struct beryl_quarantined){
      .fingerprint = frame_array_uint (quarantined, i),
      .remaining_s = frame_array_uint32 (quarantined, i + 1),
    };
}

static void
read_limits (struct frame *frame, struct beryl_limits_update *news)
{
  struct frame_array array = read_array (
      frame, FIELD_LIMITS, BERYL_LIMIT_ITEMS_MAX, NUMBERS_PER_LIMIT);
  uint64_t node = frame_uint (frame_root (frame), FIELD_NODE, 0);

  if (node > UINT32_MAX)
    frame_fail (frame);
  news->node = (uint32_t)node;
  for (uint32_t i = 0; i < array.count; i += NUMBERS_PER_LIMIT)
    news->items[news->count++] = (struct beryl_limit_item){
      .endpoint = frame_array_uint32 (array, i),
      .advertised = frame_array_uint32 (array, i + 1) != 0,
      .answer_kind = frame_array_uint32 (array, i + 2),
      .millirequests_per_s = frame_array_uint32 (array, i + 3),
      .age_ms = frame_array_uint32 (array, i + 4),
      .sent = frame_array_uint32 (array, i + 5),
    };
}

bool
notices_read (struct frame *frame, struct notices_message *message)
{
  memset (message, 0, sizeof *message);
  if (frame_type (frame) != NOTICES_DATAGRAM)
    return false;
  read_quarantine (frame, &message->quarantine);
  read_limits (frame, &message->limits);
  return frame_valid (frame);
}
