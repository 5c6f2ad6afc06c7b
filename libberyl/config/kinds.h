/** @file
 * Field tables, defaults and checks of the object kinds.
 */
#ifndef CONFIG_KINDS_H
#define CONFIG_KINDS_H

#include "beryl/config.h"
#include "beryl/fields.h"

/** An urgency object: call rules that are appended to those of its service. */
struct urgency
{
  char name[BERYL_NAME_BYTES];
  char service[BERYL_NAME_BYTES];
  struct beryl_call_rule *rules;
  size_t rule_count;
};

/** Description of an object kind. */
struct kind
{
  enum beryl_kind kind;
  size_t bytes; /**< size of its struct, which begins with the name unless it
                   is the system */
  const struct beryl_field *fields;
  size_t field_count;
  /** Sets the defaults; may be NULL. */
  void (*defaults) (void *target);
  /** Checks members against each other; may be NULL. */
  void (*check) (const struct beryl_location *location, const void *target);
};

/** Return the kind called NAME, or NULL. */
const struct kind *kind_find (const char *name);

/** Set the defaults of the system object. */
void kind_system_defaults (void *target);

#endif
