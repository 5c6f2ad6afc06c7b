#include "engine_parse.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static json_t *
load_object (const void *text, size_t text_bytes)
{
  json_t *root = json_loadb (text, text_bytes, 0, NULL);

  if (json_is_object (root))
    return root;
  json_decref (root);
  return NULL;
}

/* Guards against an engine's negative or huge number: cast to the unsigned
 * fields of an event it became a sequence after which no cache event counted,
 * or a time that overflowed. */
static bool
read_u64 (const json_t *object, const char *name, uint64_t most,
          uint64_t *value)
{
  const json_t *number = json_object_get (object, name);

  *value = 0;
  if (number == NULL)
    return true;
  /* A negative one is beyond every limit once it is cast. */
  if (!json_is_integer (number)
      || (uint64_t)json_integer_value (number) > most)
    return false;
  *value = (uint64_t)json_integer_value (number);
  return true;
}

static bool
read_u32 (const json_t *object, const char *name, uint32_t *value)
{
  uint64_t wide;
  bool ok = read_u64 (object, name, UINT32_MAX, &wide);

  *value = (uint32_t)wide;
  return ok;
}

static bool
read_ms (const json_t *object, const char *name, int64_t *value)
{
  uint64_t wide;
  bool ok = read_u64 (object, name, INT64_MAX, &wide);

  *value = wide < (uint64_t)ENGINE_TIME_MAX_MS ? (int64_t)wide
                                               : ENGINE_TIME_MAX_MS;
  return ok;
}

/* 64-bit numbers travel as decimal strings. */
static bool
read_decimal (const json_t *value, uint64_t *number)
{
  const char *text = json_string_value (value);
  char *end;

  if (text == NULL || text[0] < '0' || text[0] > '9')
    return false;
  errno = 0;
  *number = strtoull (text, &end, 10);
  return errno == 0 && *end == '\0';
}

bool
engine_parse_prefill (const void *text, size_t text_bytes,
                      struct engine_prefill_answer *answer)
{
  json_t *root = load_object (text, text_bytes);

  memset (answer, 0, sizeof *answer);
  answer->root = root;
  answer->kv_handle = json_string_value (json_object_get (root, "kv_handle"));
  if (answer->kv_handle != NULL
      && read_u64 (root, "kv_bytes", INT64_MAX, &answer->kv_bytes)
      && read_u32 (root, "cached_tokens", &answer->cached_tokens)
      && read_ms (root, "expires_ms", &answer->kv_lives_ms))
    return true;
  engine_prefill_clear (answer);
  return false;
}

void
engine_prefill_clear (struct engine_prefill_answer *answer)
{
  json_decref (answer->root);
  memset (answer, 0, sizeof *answer);
}

static bool
read_end (const json_t *root, struct engine_line *line)
{
  line->finish_reason
      = json_string_value (json_object_get (root, "finish_reason"));
  return read_u64 (root, "answer_bytes", INT64_MAX, &line->answer_bytes);
}

static bool
read_text (const json_t *root, struct engine_line *line)
{
  const json_t *text = json_object_get (root, "text");

  line->text = json_string_value (text);
  line->text_bytes = json_string_length (text);
  return line->text != NULL
         && read_u64 (root, "offset", INT64_MAX, &line->offset)
         && read_u32 (root, "tokens", &line->tokens);
}

bool
engine_parse_line (const void *text, size_t text_bytes,
                   struct engine_line *line)
{
  json_t *root = load_object (text, text_bytes);

  memset (line, 0, sizeof *line);
  line->root = root;
  line->done = json_is_true (json_object_get (root, "done"));
  if (root != NULL && read_u32 (root, "attempt", &line->attempt)
      && (line->done ? read_end (root, line) : read_text (root, line)))
    return true;
  engine_line_clear (line);
  return false;
}

void
engine_line_clear (struct engine_line *line)
{
  json_decref (line->root);
  memset (line, 0, sizeof *line);
}

int64_t
engine_parse_retry_after (const void *text, size_t text_bytes)
{
  json_t *root = load_object (text, text_bytes);
  int64_t retry_after_ms = 0;

  if (!read_ms (root, "retry_after_ms", &retry_after_ms))
    retry_after_ms = 0;
  json_decref (root);
  return retry_after_ms;
}

bool
engine_parse_released (const void *text, size_t text_bytes)
{
  json_t *root = load_object (text, text_bytes);
  const json_t *held = json_object_get (root, "held");
  bool released = json_is_integer (held) && json_integer_value (held) == 0;

  json_decref (root);
  return released;
}

bool
engine_parse_load (const void *text, size_t text_bytes,
                   struct engine_load *load)
{
  json_t *root = load_object (text, text_bytes);
  bool ok;

  memset (load, 0, sizeof *load);
  ok = root != NULL && read_u32 (root, "decoding", &load->decoding)
       && read_u32 (root, "prefill_queue", &load->prefill_queue)
       && read_u64 (root, "prefill_queue_tokens", INT64_MAX,
                    &load->prefill_queue_tokens)
       && read_u64 (root, "kv_bytes_held", INT64_MAX, &load->kv_bytes_held)
       && read_ms (root, "age_ms", &load->age_ms);
  json_decref (root);
  return ok;
}

static bool
read_changes (const json_t *events, struct engine_cache *cache)
{
  size_t n = json_array_size (events);

  cache->changes = calloc (n + 1, sizeof *cache->changes);
  if (cache->changes == NULL || !json_is_array (events))
    return false;
  for (cache->count = 0; cache->count < n; cache->count++)
    {
      struct engine_cache_change *change = &cache->changes[cache->count];
      const json_t *item = json_array_get (events, cache->count);

      change->added = json_is_true (json_object_get (item, "added"));
      if (!read_u64 (item, "sequence", INT64_MAX, &change->sequence)
          || !read_decimal (json_object_get (item, "block"), &change->block))
        return false;
    }
  return true;
}

static bool
read_blocks (const json_t *blocks, struct engine_cache *cache)
{
  size_t n = json_array_size (blocks);

  cache->blocks = calloc (n + 1, sizeof *cache->blocks);
  if (cache->blocks == NULL || !json_is_array (blocks))
    return false;
  for (cache->count = 0; cache->count < n; cache->count++)
    if (!read_decimal (json_array_get (blocks, cache->count),
                       &cache->blocks[cache->count]))
      return false;
  return true;
}

static bool
parse_cache (const void *text, size_t text_bytes, const char *name,
             bool (*read) (const json_t *items, struct engine_cache *cache),
             struct engine_cache *cache)
{
  json_t *root = load_object (text, text_bytes);
  bool ok;

  memset (cache, 0, sizeof *cache);
  ok = root != NULL && read_u64 (root, "last", INT64_MAX, &cache->last)
       && read (json_object_get (root, name), cache);
  json_decref (root);
  if (!ok)
    engine_cache_clear (cache);
  return ok;
}

bool
engine_parse_events (const void *text, size_t text_bytes,
                     struct engine_cache *cache)
{
  return parse_cache (text, text_bytes, "events", read_changes, cache);
}

bool
engine_parse_blocks (const void *text, size_t text_bytes,
                     struct engine_cache *cache)
{
  return parse_cache (text, text_bytes, "blocks", read_blocks, cache);
}

void
engine_cache_clear (struct engine_cache *cache)
{
  free (cache->changes);
  free (cache->blocks);
  memset (cache, 0, sizeof *cache);
}
