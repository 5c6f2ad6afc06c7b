#include <stdlib.h>
#include <string.h>

#include "private.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

static bool
copy_text (const char **copy, const char *text, bool *complete)
{
  if (text == NULL)
    return true;
  *copy = strdup (text);
  if (*copy == NULL)
    *complete = false;
  return *complete;
}

/* A NUL is appended, so that a prompt is also a string. */
static void
copy_bytes (const void **copy, const void *bytes, size_t count, bool *complete)
{
  char *duplicate;

  *copy = NULL;
  if (bytes == NULL)
    return;
  duplicate = malloc (count + 1);
  if (duplicate == NULL)
    {
      *complete = false;
      return;
    }
  memcpy (duplicate, bytes, count);
  duplicate[count] = '\0';
  *copy = duplicate;
}

bool
call_copy (struct beryl_call *copy, const struct beryl_call *call)
{
  const void *prompt = NULL;
  bool complete = true;

  *copy = *call;
  copy->request_id = copy->organisation = copy->service = NULL;
  copy->method = copy->path = copy->content_type = copy->key = NULL;
  copy_text (&copy->request_id, call->request_id, &complete);
  copy_text (&copy->organisation, call->organisation, &complete);
  copy_text (&copy->service, call->service, &complete);
  copy_text (&copy->method, call->method, &complete);
  copy_text (&copy->path, call->path, &complete);
  copy_text (&copy->content_type, call->content_type, &complete);
  copy_text (&copy->key, call->key, &complete);
  copy_bytes (&copy->body, call->body, call->body_bytes, &complete);
  copy_bytes (&prompt, call->prompt, call->prompt_bytes, &complete);
  copy->prompt = prompt;
  return complete;
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

/* Covers service, method, path, body and prompt, so that a key cannot be used
 * for another operation with the same body. */
uint64_t
call_compute_hash (const struct beryl_call *call)
{
  uint64_t h = hash_text (call->service, 1);

  h = hash_text (call->method, h);
  h = hash_text (call->path, h);
  h = XXH3_64bits_withSeed (call->body, call->body_bytes, h);
  return XXH3_64bits_withSeed (call->prompt, call->prompt_bytes, h);
}
