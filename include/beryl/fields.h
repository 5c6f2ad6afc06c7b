/** @file
 * Table-driven reading of JSON objects into structs, with findings.
 */
#ifndef BERYL_FIELDS_H
#define BERYL_FIELDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "beryl/findings.h"

/** Where the reader stands; findings name it as a JSON pointer. */
struct beryl_location
{
  struct beryl_findings *findings;
  char object[160];  /**< "service adviesmodel", for messages */
  char pointer[256]; /**< "/3/spec" */
};

/** Types of members. */
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
  BERYL_FIELD_ADDRESS, /**< an IP number */
  BERYL_FIELD_CUSTOM,  /**< read by a function of its own */
};

/** What becomes of a number that a member cannot hold as it is. */
enum beryl_rounding
{
  BERYL_ROUND_NONE, /**< a finding */
  BERYL_ROUND_DOWN, /**< rounded down, and no more than the greatest */
  BERYL_ROUND_UP,   /**< rounded up, and no less than the least */
};

/** One member of a JSON object and where it goes. */
struct beryl_field
{
  const char *key;
  enum beryl_field_type type;
  size_t offset;
  size_t bytes; /**< of text buffers */
  double min;   /**< of numbers, in the unit of the text */
  double max;
  enum beryl_rounding rounding;
  double unit; /**< the member's units in one of the text's; 0: 1 */
  bool required;
  bool null_is_default; /**< null leaves the member as it was */
  void (*custom) (const struct beryl_location *location, json_t *value,
                  void *target);
};

/** Add a finding at PLACE, below MEMBER unless it is NULL. */
void beryl_location_report (const struct beryl_location *location,
                            const char *member, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Set CHILD to the member KEY below PLACE. */
void beryl_location_enter (struct beryl_location *child,
                           const struct beryl_location *location,
                           const char *key);

/** Whether TEXT is a valid object name. */
bool beryl_field_name_valid (const char *text);

/** Read JSON into TARGET; members that the table lacks are findings. */
void beryl_fields_read (const struct beryl_location *location, json_t *json,
                        const struct beryl_field *fields, size_t field_count,
                        void *target);

#endif
