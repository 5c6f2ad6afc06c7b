/** @file
 * The tables of the kinds of objects.
 */
#ifndef CONFIG_KINDS_H
#define CONFIG_KINDS_H

#include "beryl/config.h"
#include "beryl/fields.h"

/** An urgency object: call rules that are added to its service's. */
struct urgency
{
  char name[BERYL_NAME_BYTES];
  char service[BERYL_NAME_BYTES];
  struct beryl_call_rule *rules;
  size_t rule_count;
};

/** A kind of objects. */
struct kind
{
  enum beryl_kind kind;
  size_t bytes; /**< of its struct; all but the system's begin with the name */
  const struct beryl_field *fields;
  size_t field_count;
  /** Set the defaults; may be NULL. */
  void (*defaults) (void *target);
  /** Check members against each other; may be NULL. */
  void (*check) (const struct beryl_location *location, const void *target);
};

/** Return the kind of a name, or NULL. */
const struct kind *kind_find (const char *name);

/** Set the defaults of the system object. */
void kind_system_defaults (void *target);

#endif
