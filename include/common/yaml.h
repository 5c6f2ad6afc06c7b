/** @file
 * YAML files as JSON documents that remember where each value stood.
 *
 * Anchors, aliases and tags are refused: nothing here needs them, and nested
 * aliases let a few lines grow without bound.
 */
#ifndef COMMON_YAML_H
#define COMMON_YAML_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/findings.h"

/** Largest file, deepest nesting and most values that are read. */
#define YAML_FILE_MAX_BYTES (1U << 20)
#define YAML_DEPTH_MAX 32
#define YAML_VALUES_MAX 200000

/** A file that was read. */
struct yaml_file;

/** Read the file PATH, "-" for standard input.  Returns NULL if there were
 * findings; all that can be told are added with their place. */
struct yaml_file *yaml_file_load (const char *path,
                                  struct beryl_findings *findings);

/** Read TEXT; NAME is used in findings. */
struct yaml_file *yaml_file_parse (const char *name, const char *text,
                                   size_t text_bytes,
                                   struct beryl_findings *findings);

/** Release FILE; NULL is allowed. */
void yaml_file_destroy (struct yaml_file *file);

/** Return the array of the file's documents, owned by FILE. */
json_t *yaml_file_documents (const struct yaml_file *file);

/** Add FINDINGS, whose files are JSON pointers into the documents, to TO
 * with the file's name, line and column.  A pointer to something absent
 * gets the place of the nearest value around it. */
void yaml_file_place_findings (const struct yaml_file *file,
                               const struct beryl_findings *findings,
                               struct beryl_findings *to);

#endif
