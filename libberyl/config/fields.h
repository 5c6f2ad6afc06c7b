/** @file
 * Table-driven reading of JSON objects into structs, with findings.
 */
#ifndef CONFIG_FIELDS_H
#define CONFIG_FIELDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "beryl/findings.h"

/** Where the reader stands; findings name it as a JSON pointer. */
struct place
{
  struct beryl_findings *findings;
  const char *object; /**< "service adviesmodel", for messages */
  char pointer[256];  /**< "/3/spec" */
};

/** Types of members. */
enum field_type
{
  FIELD_NAME, /**< an object's name */
  FIELD_TEXT, /**< printable text that fits its buffer */
  FIELD_UINT16,
  FIELD_UINT32,
  FIELD_UINT64,
  FIELD_INT64,
  FIELD_DOUBLE,
  FIELD_BOOL,
  FIELD_CLASS,
  FIELD_ROLE,
  FIELD_ADDRESS, /**< an IP number */
  FIELD_CUSTOM,  /**< read by a function of its own */
};

/** One member of a JSON object and where it goes. */
struct field
{
  const char *key;
  enum field_type type;
  size_t offset;
  size_t bytes; /**< of text buffers */
  double min;   /**< of numbers */
  double max;
  bool required;
  void (*custom) (const struct place *place, json_t *value, void *target);
};

/** Add a finding at PLACE, below MEMBER unless it is NULL. */
void place_finding (const struct place *place, const char *member,
                    const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Set CHILD to the member KEY below PLACE. */
void place_enter (struct place *child, const struct place *place,
                  const char *key);

/** Whether TEXT is a valid object name. */
bool field_name_valid (const char *text);

/** Read JSON into TARGET; members that the table lacks are findings. */
void fields_read (const struct place *place, json_t *json,
                  const struct field *fields, size_t field_count,
                  void *target);

#endif
