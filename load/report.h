/** @file
 * One self-contained HTML page from the results of runs.
 */
#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

/** Write a page about RUNS, an array of beryl-load results. */
void report_write (json_t *runs, FILE *out);

/** Read the FILES and write the page to OUT; false if one is unreadable. */
bool report_files (char *const *files, size_t file_count, FILE *out);

#endif
