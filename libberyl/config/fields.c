#include "beryl/fields.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "beryl/config.h"

/* Tolerance for the rounding error of products such as 7.3 * 1000. */
#define ROUNDING_ERROR 1e-6

void
beryl_location_report (const struct beryl_location *location,
                       const char *member, const char *format, ...)
{
  char pointer[384];
  char message[256];
  va_list ap;

  va_start (ap, format);
  vsnprintf (message, sizeof message, format, ap);
  va_end (ap);
  snprintf (pointer, sizeof pointer, "%s%s%s", location->pointer,
            member != NULL ? "/" : "", member != NULL ? member : "");
  beryl_findings_add (location->findings, pointer, 0, 0, "%s%s%s",
                      location->object,
                      location->object[0] != '\0' ? ": " : "", message);
}

void
beryl_location_enter (struct beryl_location *child,
                      const struct beryl_location *location, const char *key)
{
  int capacity = (int)sizeof child->pointer - 2;
  int used = (int)strlen (location->pointer);

  *child = *location;
  snprintf (child->pointer, sizeof child->pointer, "%s/%.*s",
            location->pointer, capacity > used ? capacity - used : 0, key);
}

bool
beryl_field_name_valid (const char *text)
{
  size_t n = strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789._-");

  return n > 0 && text[n] == '\0' && n < BERYL_NAME_BYTES;
}

static bool
text_is_printable (const char *text)
{
  for (; *text != '\0'; text++)
    if ((unsigned char)*text < 0x20 || *text == 0x7f)
      return false;
  return true;
}

static void
read_text (const struct beryl_location *location,
           const struct beryl_field *field, json_t *value, char *target)
{
  const char *text = json_string_value (value);

  if (text == NULL)
    beryl_location_report (location, field->key, "%s must be text",
                           field->key);
  else if (strlen (text) >= field->bytes)
    beryl_location_report (location, field->key, "%s has more than %zu bytes",
                           field->key, field->bytes - 1);
  else if (!text_is_printable (text))
    beryl_location_report (location, field->key,
                           "%s contains control characters", field->key);
  else if (field->type == BERYL_FIELD_NAME && !beryl_field_name_valid (text))
    beryl_location_report (location, field->key,
                           "%s must match [a-z0-9._-]{1,63}", field->key);
  else
    memcpy (target, text, strlen (text) + 1);
}

static void
read_address (const struct beryl_location *location,
              const struct beryl_field *field, json_t *value, char *target)
{
  const char *text = json_string_value (value);
  unsigned char number[16];

  if (text == NULL
      || (inet_pton (AF_INET, text, number) != 1
          && inet_pton (AF_INET6, text, number) != 1))
    beryl_location_report (location, field->key, "%s must be an IP number",
                           field->key);
  else
    read_text (location, field, value, target);
}

static void
store_integer (const struct beryl_field *field, json_int_t n, void *target)
{
  switch (field->type)
    {
    case BERYL_FIELD_UINT16:
      *(uint16_t *)target = (uint16_t)n;
      break;
    case BERYL_FIELD_UINT32:
      *(uint32_t *)target = (uint32_t)n;
      break;
    case BERYL_FIELD_UINT64:
      *(uint64_t *)target = (uint64_t)n;
      break;
    default:
      *(int64_t *)target = n;
      break;
    }
}

/* Limits N to the maximum if the field is rounded down, and raises it to the
   minimum if it is rounded up.  A negative number is not raised, as it is an
   error rather than a small value. */
static double
clamp_number (const struct beryl_field *field, double n)
{
  if (field->rounding == BERYL_ROUND_DOWN && n > field->max)
    return field->max;
  if (field->rounding == BERYL_ROUND_UP && n >= 0 && n < field->min)
    return field->min;
  return n;
}

/* Reads a number within the field's range, in the unit of the JSON text. */
static bool
read_number (const struct beryl_location *location,
             const struct beryl_field *field, json_t *value, double *number)
{
  bool whole = field->type != BERYL_FIELD_DOUBLE;
  double n = clamp_number (field, json_number_value (value));

  if (whole && field->rounding == BERYL_ROUND_NONE && !json_is_integer (value))
    beryl_location_report (location, field->key, "%s must be an integer",
                           field->key);
  else if (!json_is_number (value))
    beryl_location_report (location, field->key, "%s must be a number",
                           field->key);
  else if (n < field->min || n > field->max)
    beryl_location_report (location, field->key,
                           whole ? "%s must be from %.0f to %.0f"
                                 : "%s must be from %g to %g",
                           field->key, field->min, field->max);
  else
    {
      *number = n;
      return true;
    }
  return false;
}

static void
read_integer (const struct beryl_location *location,
              const struct beryl_field *field, json_t *value, void *target)
{
  double unit = field->unit != 0 ? field->unit : 1;
  double n;

  if (!read_number (location, field, value, &n))
    return;
  if (json_is_integer (value) && n == (double)json_integer_value (value)
      && unit == 1)
    store_integer (field, json_integer_value (value), target);
  else if (field->rounding == BERYL_ROUND_UP)
    store_integer (field, (json_int_t)ceil (n * unit - ROUNDING_ERROR),
                   target);
  else
    store_integer (field, (json_int_t)floor (n * unit + ROUNDING_ERROR),
                   target);
}

static void
read_class (const struct beryl_location *location,
            const struct beryl_field *field, json_t *value,
            enum beryl_class *target)
{
  const char *text = json_string_value (value);

  for (int c = BERYL_CLASS_URGENT; c <= BERYL_CLASS_BATCH; c++)
    if (text != NULL && strcmp (text, beryl_class_name (c)) == 0)
      {
        *target = c;
        return;
      }
  beryl_location_report (location, field->key,
                         "%s must be urgent, normal or batch", field->key);
}

static void
read_role (const struct beryl_location *location,
           const struct beryl_field *field, json_t *value,
           enum beryl_role *target)
{
  const char *text = json_string_value (value);

  for (int r = BERYL_ROLE_PREFILL; r <= BERYL_ROLE_SERVICE; r++)
    if (text != NULL && strcmp (text, beryl_role_name (r)) == 0)
      {
        *target = r;
        return;
      }
  beryl_location_report (location, field->key,
                         "%s must be prefill, decode, both or service",
                         field->key);
}

static void
read_bool (const struct beryl_location *location,
           const struct beryl_field *field, json_t *value, bool *target)
{
  if (!json_is_boolean (value))
    beryl_location_report (location, field->key, "%s must be true or false",
                           field->key);
  else
    *target = json_is_true (value);
}

static void
read_field (const struct beryl_location *location,
            const struct beryl_field *field, json_t *value, void *target)
{
  void *p = (char *)target + field->offset;
  struct beryl_location child;

  switch (field->type)
    {
    case BERYL_FIELD_NAME:
    case BERYL_FIELD_TEXT:
      read_text (location, field, value, p);
      return;
    case BERYL_FIELD_UINT16:
    case BERYL_FIELD_UINT32:
    case BERYL_FIELD_UINT64:
    case BERYL_FIELD_INT64:
      read_integer (location, field, value, p);
      return;
    case BERYL_FIELD_DOUBLE:
      read_number (location, field, value, p);
      return;
    case BERYL_FIELD_BOOL:
      read_bool (location, field, value, p);
      return;
    case BERYL_FIELD_CLASS:
      read_class (location, field, value, p);
      return;
    case BERYL_FIELD_ROLE:
      read_role (location, field, value, p);
      return;
    case BERYL_FIELD_ADDRESS:
      read_address (location, field, value, p);
      return;
    case BERYL_FIELD_CUSTOM:
      beryl_location_enter (&child, location, field->key);
      field->custom (&child, value, target);
      return;
    }
}

static const struct beryl_field *
find_field (const struct beryl_field *fields, size_t field_count,
            const char *key)
{
  for (size_t i = 0; i < field_count; i++)
    if (strcmp (fields[i].key, key) == 0)
      return &fields[i];
  return NULL;
}

void
beryl_fields_read (const struct beryl_location *location, json_t *json,
                   const struct beryl_field *fields, size_t field_count,
                   void *target)
{
  const char *key;
  json_t *value;

  if (!json_is_object (json))
    {
      beryl_location_report (location, NULL, "must be an object");
      return;
    }
  json_object_foreach (json, key, value)
  {
    const struct beryl_field *field = find_field (fields, field_count, key);

    if (field == NULL)
      beryl_location_report (location, key, "unknown key \"%.64s\"", key);
    else if (!json_is_null (value) || !field->null_is_default)
      read_field (location, field, value, target);
  }
  for (size_t i = 0; i < field_count; i++)
    if (fields[i].required && json_object_get (json, fields[i].key) == NULL)
      beryl_location_report (location, NULL, "%s is missing", fields[i].key);
}
