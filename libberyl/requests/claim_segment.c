/* Names and JSON encoding of segment objects. */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim_private.h"

/* Encoded claim: digest (two words), incarnation and body hash, 16 hex digits
 * for each 8 bytes. */
#define CLAIM_TEXT_BYTES 64
#define CLAIM_FORMAT "%016" PRIx64 "%016" PRIx64 "%016" PRIx64 "%016" PRIx64

struct segment_writer
{
  json_t *root;
  json_t *claims;
};

void
segment_prefix (char *prefix, uint32_t shard)
{
  snprintf (prefix, SEGMENT_NAME_BYTES, "s%03u-", shard);
}

void
segment_name (char *name, uint32_t shard, uint64_t from, uint64_t to)
{
  if (from == to)
    snprintf (name, SEGMENT_NAME_BYTES, "s%03u-%010" PRIu64, shard, from);
  else
    snprintf (name, SEGMENT_NAME_BYTES, "s%03u-%010" PRIu64 "-%010" PRIu64,
              shard, from, to);
}

bool
segment_parse_name (const char *name, uint32_t shard, uint64_t *from,
                    uint64_t *to)
{
  char prefix[SEGMENT_NAME_BYTES];
  char *end;

  segment_prefix (prefix, shard);
  if (strncmp (name, prefix, strlen (prefix)) != 0)
    return false;
  *from = strtoull (name + strlen (prefix), &end, 10);
  *to = *from;
  if (*end == '-')
    *to = strtoull (end + 1, &end, 10);
  return *end == '\0' && *to >= *from;
}

static bool
decode_claim (const char *text, struct map_key *key, struct claim *claim)
{
  uint64_t n[4];

  if (text == NULL || strlen (text) != CLAIM_TEXT_BYTES)
    return false;
  for (int i = 0; i < 4; i++)
    {
      char part[17];
      char *end;

      memcpy (part, text + (size_t)i * 16, 16);
      part[16] = '\0';
      n[i] = strtoull (part, &end, 16);
      if (*end != '\0')
        return false;
    }
  *key = (struct map_key){ n[0], n[1] };
  claim->incarnation = n[2];
  claim->call_hash = n[3];
  return true;
}

bool
segment_decode (const struct beryl_object *object, uint64_t sequence,
                segment_visit visit, void *data, uint32_t *count)
{
  json_t *root = json_loadb (object->value, object->value_bytes, 0, NULL);
  json_t *claims = json_object_get (root, "claims");
  bool valid = json_is_array (claims);
  json_t *item;
  size_t i;

  *count = (uint32_t)json_array_size (claims);
  json_array_foreach (claims, i, item)
  {
    struct claim claim = { .sequence = sequence };
    struct map_key key;

    if (decode_claim (json_string_value (item), &key, &claim))
      visit (data, key, &claim);
    else
      valid = false;
  }
  json_decref (root);
  return valid;
}

struct segment_writer *
segment_writer_create (const char *nonce)
{
  struct segment_writer *writer = malloc (sizeof *writer);

  if (writer == NULL)
    return NULL;
  writer->root = json_object ();
  writer->claims = json_array ();
  json_object_set_new (writer->root, "nonce", json_string (nonce));
  json_object_set_new (writer->root, "claims", writer->claims);
  return writer;
}

void
segment_writer_add (struct segment_writer *writer, struct map_key key,
                    const struct claim *claim)
{
  char text[CLAIM_TEXT_BYTES + 1];

  snprintf (text, sizeof text, CLAIM_FORMAT, key.high, key.low,
            claim->incarnation, claim->call_hash);
  json_array_append_new (writer->claims, json_string (text));
}

char *
segment_writer_finish (struct segment_writer *writer)
{
  char *value = json_dumps (writer->root, JSON_COMPACT);

  json_decref (writer->root);
  free (writer);
  return value;
}
