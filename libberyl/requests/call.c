#include <stdlib.h>
#include <string.h>

#include "private.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

static bool
copy_text (const char **copy, const char *text, bool *whole)
{
  if (text == NULL)
    return true;
  *copy = strdup (text);
  if (*copy == NULL)
    *whole = false;
  return *whole;
}

/* A NUL follows the bytes, so that a prompt is also a string. */
static void
copy_bytes (const void **copy, const void *bytes, size_t count, bool *whole)
{
  char *mine;

  *copy = NULL;
  if (bytes == NULL)
    return;
  mine = malloc (count + 1);
  if (mine == NULL)
    {
      *whole = false;
      return;
    }
  memcpy (mine, bytes, count);
  mine[count] = '\0';
  *copy = mine;
}

bool
call_copy (struct beryl_call *copy, const struct beryl_call *call)
{
  const void *prompt = NULL;
  bool whole = true;

  *copy = *call;
  copy->request_id = copy->organisation = copy->service = NULL;
  copy->method = copy->path = copy->content_type = copy->key = NULL;
  copy_text (&copy->request_id, call->request_id, &whole);
  copy_text (&copy->organisation, call->organisation, &whole);
  copy_text (&copy->service, call->service, &whole);
  copy_text (&copy->method, call->method, &whole);
  copy_text (&copy->path, call->path, &whole);
  copy_text (&copy->content_type, call->content_type, &whole);
  copy_text (&copy->key, call->key, &whole);
  copy_bytes (&copy->body, call->body, call->body_bytes, &whole);
  copy_bytes (&prompt, call->prompt, call->prompt_bytes, &whole);
  copy->prompt = prompt;
  return whole;
}

void
call_clear (struct beryl_call *copy)
{
  free ((void *)copy->request_id);
  free ((void *)copy->organisation);
  free ((void *)copy->service);
  free ((void *)copy->method);
  free ((void *)copy->path);
  free ((void *)copy->content_type);
  free ((void *)copy->key);
  free ((void *)copy->body);
  free ((void *)copy->prompt);
  *copy = (struct beryl_call){ 0 };
}

static uint64_t
hash_text (const char *text, uint64_t seed)
{
  if (text == NULL)
    return seed;
  return XXH3_64bits_withSeed (text, strlen (text) + 1, seed);
}

/* Covers all that makes two calls different, not only the body. */
uint64_t
call_body_hash (const struct beryl_call *call)
{
  uint64_t h = hash_text (call->service, 1);

  h = hash_text (call->method, h);
  h = hash_text (call->path, h);
  h = XXH3_64bits_withSeed (call->body, call->body_bytes, h);
  return XXH3_64bits_withSeed (call->prompt, call->prompt_bytes, h);
}
