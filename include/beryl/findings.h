/** @file
 * Problems found in an input file, collected with their positions and reported
 * together instead of stopping at the first.
 */
#ifndef BERYL_FINDINGS_H
#define BERYL_FINDINGS_H

#include <stddef.h>
#include <stdint.h>

/** Problem in an input; line and column count from 1, 0 is unknown. */
struct beryl_finding
{
  char *file;
  uint32_t line;
  uint32_t column;
  char *message;
};

/** A list of findings. */
struct beryl_findings;

/** Create an empty list. */
struct beryl_findings *beryl_findings_create (void);

/** Release FINDINGS; NULL is allowed. */
void beryl_findings_destroy (struct beryl_findings *findings);

/** Add a finding; FILE may be NULL.  Strings are copied. */
void beryl_findings_add (struct beryl_findings *findings, const char *file,
                         uint32_t line, uint32_t column, const char *format,
                         ...) __attribute__ ((format (printf, 5, 6)));

/** Return the number of findings. */
size_t beryl_findings_count (const struct beryl_findings *findings);

/** Return finding I, owned by the list. */
const struct beryl_finding *
beryl_findings_get (const struct beryl_findings *findings, size_t i);

/** Return all findings as "file:line:column: message" lines; free() it. */
char *beryl_findings_format (const struct beryl_findings *findings);

#endif
