/** @file
 * A process's settings file: YAML, read once at the start, every finding
 * with its place, unknown keys refused.
 */
#ifndef COMMON_SETTINGS_H
#define COMMON_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>

#include "beryl/fields.h"
#include "beryl/findings.h"

/** Read the file PATH into TARGET, which holds the defaults.  False if
 * there were findings. */
bool settings_load (const char *path, const struct beryl_field *fields,
                    size_t field_count, void *target,
                    struct beryl_findings *findings);

/** Print FINDINGS on standard error, one a line. */
void settings_print_findings (const struct beryl_findings *findings);

#endif
