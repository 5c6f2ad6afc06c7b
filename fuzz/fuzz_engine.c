/** @file
 * Answers of engines, and lines and cache events within them.
 */
#include <stdlib.h>
#include <string.h>

#include "engine_parse.h"
#include "fuzz.h"

/** Abort unless a string that was handed out can be read to its end. */
static void
check_text (const char *text, size_t text_bytes)
{
  if (strlen (text) > text_bytes)
    abort ();
}

static void
read_exchange (const uint8_t *data, size_t size)
{
  struct engine_prefill_answer answer;
  struct engine_line line;
  int64_t retry_after_ms = engine_parse_retry_after (data, size);

  if (retry_after_ms < 0 || retry_after_ms > ENGINE_TIME_MAX_MS)
    abort ();
  engine_parse_released (data, size);
  if (engine_parse_prefill (data, size, &answer))
    {
      check_text (answer.kv_handle, size);
      if (answer.kv_lives_ms < 0 || answer.kv_lives_ms > ENGINE_TIME_MAX_MS)
        abort ();
      engine_prefill_clear (&answer);
    }
  if (engine_parse_line (data, size, &line))
    {
      if (line.done == (line.text != NULL))
        abort ();
      if (line.text != NULL)
        check_text (line.text, line.text_bytes);
      engine_line_clear (&line);
    }
}

static void
read_watch (const uint8_t *data, size_t size)
{
  struct engine_load load;
  struct engine_cache cache;

  if (engine_parse_load (data, size, &load)
      && (load.age_ms < 0 || load.age_ms > ENGINE_TIME_MAX_MS))
    abort ();
  if (engine_parse_events (data, size, &cache))
    {
      for (size_t i = 0; i < cache.count; i++)
        if (cache.changes[i].sequence > INT64_MAX)
          abort ();
      engine_cache_clear (&cache);
    }
  if (engine_parse_blocks (data, size, &cache))
    {
      if (cache.blocks == NULL || cache.count > size)
        abort ();
      engine_cache_clear (&cache);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  read_exchange (data, size);
  read_watch (data, size);
  return 0;
}
