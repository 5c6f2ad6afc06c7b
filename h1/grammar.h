/** @file
 * The grammar of an answer's head, RFC 9112, checked byte by byte beside the
 * parser.
 */
#ifndef H1_GRAMMAR_H
#define H1_GRAMMAR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum grammar_state
{
  GRAMMAR_VERSION,
  GRAMMAR_VERSION_END, /* the blank behind it */
  GRAMMAR_STATUS,
  GRAMMAR_STATUS_END,
  GRAMMAR_REASON,
  GRAMMAR_LINE_END, /* LF */
  GRAMMAR_LINE,     /* the first byte of a field's line */
  GRAMMAR_NAME,
  GRAMMAR_VALUE,
  GRAMMAR_LAST_LINE_END, /* LF of the empty line */
  GRAMMAR_WHOLE,
  GRAMMAR_BROKEN,
};

struct answer_grammar
{
  enum grammar_state state;
  uint32_t count; /* bytes or digits of the present element */
  bool has_field; /* a line with white space in front continues it */
};

/** Expect a head. */
void grammar_begin_head (struct answer_grammar *g);

/** Return how many of BYTES come before the first that breaks the grammar, or
 * behind the last of the head. */
size_t grammar_take (struct answer_grammar *g, const char *bytes,
                     size_t bytes_count);

#endif
