/** @file
 * Table-driven decoding of JSON objects into structs, with validation.
 */
#ifndef BERYL_FIELDS_H
#define BERYL_FIELDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "beryl/findings.h"

/** Location in a JSON document; findings refer to it by its JSON pointer. */
struct beryl_location
{
  struct beryl_findings *findings;
  char object[160];  /**< object for messages, as "service chat" */
  char pointer[256]; /**< JSON pointer, as "/3/spec" */
};

/** Types of fields. */
enum beryl_field_type
{
  BERYL_FIELD_NAME, /**< an object's name */
  BERYL_FIELD_TEXT, /**< printable text that fits its buffer */
  BERYL_FIELD_UINT16,
  BERYL_FIELD_UINT32,
  BERYL_FIELD_UINT64,
  BERYL_FIELD_INT64,
  BERYL_FIELD_DOUBLE,
  BERYL_FIELD_BOOL,
  BERYL_FIELD_CLASS,
  BERYL_FIELD_ROLE,
  BERYL_FIELD_ADDRESS, /**< an IP address */
  BERYL_FIELD_CUSTOM,  /**< decoded by the field's custom function */
};

/** Handling of a number that is not an integer or is out of range. */
enum beryl_rounding
{
  BERYL_ROUND_NONE, /**< reported as a finding */
  BERYL_ROUND_DOWN, /**< rounded down and limited to the maximum */
  BERYL_ROUND_UP,   /**< rounded up and raised to the minimum, unless
                       negative */
};

/** Maps one member of a JSON object to a struct member. */
struct beryl_field
{
  const char *key;
  enum beryl_field_type type;
  size_t offset;
  size_t bytes; /**< size of a text buffer */
  double min;   /**< lower bound of a number, in the unit of the JSON text */
  double max;   /**< upper bound, likewise */
  enum beryl_rounding rounding;
  double unit; /**< factor from the JSON unit to the member's; 0 means 1.
                  Ignored for BERYL_FIELD_DOUBLE */
  bool required;
  bool null_is_default; /**< null leaves the member unchanged */
  void (*custom) (const struct beryl_location *location, json_t *value,
                  void *target);
};

/** Add a finding at LOCATION, or at its member MEMBER unless that is NULL. */
void beryl_location_report (const struct beryl_location *location,
                            const char *member, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Set CHILD to the member KEY of LOCATION. */
void beryl_location_enter (struct beryl_location *child,
                           const struct beryl_location *location,
                           const char *key);

/** Return whether TEXT is a valid object name. */
bool beryl_field_name_valid (const char *text);

/** Decode JSON into TARGET.  Unknown members, missing required members and
 * invalid values are reported as findings. */
void beryl_fields_read (const struct beryl_location *location, json_t *json,
                        const struct beryl_field *fields, size_t field_count,
                        void *target);

#endif
