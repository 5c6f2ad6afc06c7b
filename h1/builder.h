/** @file
 * Collects a head from the parser's pieces; server and client share it.
 */
#ifndef H1_BUILDER_H
#define H1_BUILDER_H

#include <glib.h>
#include <http_parser.h>

#include "h1/head.h"

enum head_part
{
  HEAD_NOTHING,
  HEAD_START, /* target or reason */
  HEAD_NAME,
  HEAD_VALUE,
};

struct head_builder
{
  GString *text;  /* all strings, each with its NUL */
  GArray *starts; /* gsize: where start line, names and values begin */
  enum head_part part;
  struct h1_head head;
};

void head_builder_init (struct head_builder *b);
void head_builder_clear (struct head_builder *b);

/** Forget the message before. */
void head_builder_reset (struct head_builder *b);

/** Add a piece of PART. */
void head_builder_add (struct head_builder *b, enum head_part part,
                       const char *bytes, size_t bytes_count);

/** Resolve the strings; no piece may follow. */
void head_builder_finish (struct head_builder *b, const http_parser *parser);

/** Append the status line, FIELDS and the connection's state to OUT. */
void head_format_answer (GString *out, unsigned int status, const char *reason,
                         const struct h1_field *fields, size_t field_count);

#endif
