#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private.h"

/* Part of a long name after which a list continues, and the highest character
 * of UTF-8, which follows it. */
#define AFTER_CUT_BYTES (LISTING_AFTER_BYTES - 8)
#define AFTER_LONG "\xf4\x8f\xbf\xbf"
/* Follows a NUL in the order of names. */
#define AFTER_NUL "\x01"

bool
beryl_platform_name_valid (const char *text)
{
  size_t length;

  if (!text)
    return false;
  length = strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789._-");
  return length > 0 && length < BERYL_NAME_BYTES && text[length] == '\0';
}

bool
platform_number_read (const json_t *json, const char *key, uint64_t *number)
{
  const json_t *value = json_object_get (json, key);

  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return false;
  *number = (uint64_t)json_integer_value (value);
  return true;
}

/** Return the text of VALUE, to be freed: the one that came, if it was kept.
 */
static char *
value_text (const json_t *object, const json_t *value)
{
  const char *text = json_string_value (
      json_object_get (object, BERYL_PLATFORM_VALUE_TEXT));

  return text ? strdup (text)
              : json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY
                                       | JSON_REAL_PRECISION (17));
}

bool
platform_object_read (const json_t *json, const char *kind,
                      struct beryl_object *object)
{
  const char *object_kind = json_string_value (json_object_get (json, "kind"));
  const char *name = json_string_value (json_object_get (json, "name"));
  const json_t *value = json_object_get (json, "value");

  *object = (struct beryl_object){ 0 };
  if (!beryl_platform_name_valid (name) || !object_kind
      || strcmp (object_kind, kind) != 0
      || !platform_number_read (json, "version", &object->version))
    return false;
  object->kind = strdup (kind);
  object->name = strdup (name);
  if (!value)
    return true;
  object->parsed = json_incref ((json_t *)value);
  object->value = value_text (json, value);
  object->value_bytes = object->value ? strlen (object->value) : 0;
  return true;
}

void
platform_object_clear (struct beryl_object *object)
{
  free ((char *)object->kind);
  free ((char *)object->name);
  free ((char *)object->value);
  json_decref ((json_t *)object->parsed);
}

static void
listing_append (struct listing *l, const struct beryl_object *object)
{
  if (l->count == l->capacity)
    {
      l->capacity = l->capacity ? 2 * l->capacity : 16;
      l->objects = realloc (l->objects, l->capacity * sizeof *l->objects);
    }
  l->objects[l->count++] = *object;
}

/** Add the items of a page.  Their names must increase; otherwise a platform
 * that repeats a page would keep the listing running for ever. */
static bool
listing_add_items (struct listing *l, const json_t *items, const char *kind)
{
  size_t i;
  json_t *item;

  json_array_foreach ((json_t *)items, i, item)
  {
    struct beryl_object object;

    if (!platform_object_read (item, kind, &object))
      return false;
    listing_append (l, &object);
    if (!object.value || strcmp (object.name, l->after) <= 0)
      return false;
    memcpy (l->after, object.name, strlen (object.name) + 1);
  }
  return true;
}

/** Return whether BYTE is one of a character of UTF-8, but not its first. */
static bool
is_continuation (char byte)
{
  return ((unsigned char)byte & 0xc0) == 0x80;
}

/** Copy NAME.  Of a name that is too long, or has a NUL, the beginning is
 * copied and a character added that lets all names which begin so come before:
 * valid names are shorter, and have no NUL. */
static void
after_copy (char after[LISTING_AFTER_BYTES], const json_t *name)
{
  const char *text = json_string_value (name);
  size_t length = strlen (text);
  const char *end = length < json_string_length (name) ? AFTER_NUL : "";

  if (length > AFTER_CUT_BYTES)
    {
      length = AFTER_CUT_BYTES;
      while (is_continuation (text[length]))
        length--;
      end = AFTER_LONG;
    }
  snprintf (after, LISTING_AFTER_BYTES, "%.*s%s", (int)length, text, end);
}

/** Continue after the last object of a page, even if that object is not
 * in the list. */
static void
listing_advance (struct listing *l, const json_t *json)
{
  const json_t *name = json_object_get (json, "after");
  char after[LISTING_AFTER_BYTES];

  if (!json_is_string (name))
    return;
  after_copy (after, name);
  if (strcmp (after, l->after) > 0)
    memcpy (l->after, after, sizeof l->after);
}

bool
platform_listing_add (struct listing *l, const json_t *json, const char *kind)
{
  const json_t *items = json_object_get (json, "items");
  const json_t *more = json_object_get (json, "more");
  uint64_t revision;
  char before[LISTING_AFTER_BYTES];

  if (!json_is_array (items) || !json_is_boolean (more)
      || !platform_number_read (json, "revision", &revision))
    return false;
  memcpy (before, l->after, sizeof before);
  if (!listing_add_items (l, items, kind))
    return false;
  listing_advance (l, json);
  l->more = json_is_true (more);
  if (l->more && strcmp (before, l->after) == 0)
    return false;
  /* Pages may have different revisions.  Only a watch that starts from the
     lowest is sure to report all later changes. */
  if (l->revision == 0 || revision < l->revision)
    l->revision = revision;
  return true;
}

void
platform_listing_clear (struct listing *l)
{
  for (size_t i = 0; i < l->count; i++)
    platform_object_clear (&l->objects[i]);
  free (l->objects);
  *l = (struct listing){ 0 };
}

/** Copy a string member; return false if it is missing or does not fit. */
static bool
text_read (const json_t *json, const char *key, char *value,
           size_t value_bytes)
{
  const char *text = json_string_value (json_object_get (json, key));

  if (!text || strlen (text) >= value_bytes)
    return false;
  memcpy (value, text, strlen (text) + 1);
  return true;
}

bool
platform_instance_read (const json_t *json, struct beryl_instance *instance)
{
  char kind[16], state[16];
  uint64_t port;

  *instance = (struct beryl_instance){ 0 };
  if (!text_read (json, "name", instance->name, sizeof instance->name)
      || !beryl_platform_name_valid (instance->name)
      || !text_read (json, "kind", kind, sizeof kind)
      || !text_read (json, "state", state, sizeof state)
      || !text_read (json, "address", instance->address,
                     sizeof instance->address)
      || !text_read (json, "data_centre", instance->data_centre,
                     sizeof instance->data_centre)
      || !text_read (json, "region", instance->region, sizeof instance->region)
      || !platform_number_read (json, "port", &port) || port > UINT16_MAX)
    return false;
  instance->port = (uint16_t)port;
  instance->is_entry = strcmp (kind, "entry") == 0;
  instance->leaving = strcmp (state, "leaving") == 0;
  return instance->is_entry || strcmp (kind, "endpoint") == 0;
}

bool
platform_value_has_nonce (const struct beryl_object *object, const char *nonce)
{
  json_t *json;
  const char *found;
  bool same;

  if (!object->value)
    return false;
  json = json_loadb (object->value, object->value_bytes, 0, NULL);
  found = json_string_value (json_object_get (json, "nonce"));
  same = found && strcmp (found, nonce) == 0;
  json_decref (json);
  return same;
}
