/** @file
 * Where the configuration comes from: beryl-controld, or a file for tests
 * and first steps.
 */
#ifndef ENTRYD_CONFIG_SOURCE_H
#define ENTRYD_CONFIG_SOURCE_H

#include "entry.h"

/** Begin; false and ERROR if the file cannot be used. */
bool config_source_start (struct entry *entry, struct beryl_error *error);

/** Take a view of beryl-controld. */
void config_source_view (struct entry *entry, const struct local_view *view);

/** Stop and release. */
void config_source_stop (struct entry *entry);

#endif
