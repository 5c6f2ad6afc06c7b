/** @file
 * The grammar of an answer's head and of a chunked body, RFC 9112, checked
 * byte by byte beside the parser.
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
  GRAMMAR_CHUNK_SIZE,
  GRAMMAR_CHUNK_EXTENSION,
  GRAMMAR_CHUNK_SIZE_END, /* LF */
  GRAMMAR_CHUNK_DATA,
  GRAMMAR_CHUNK_DATA_CR,
  GRAMMAR_CHUNK_DATA_LF,
  GRAMMAR_WHOLE, /* the head, or the chunked body with its trailer */
  GRAMMAR_BROKEN,
};

struct answer_grammar
{
  enum grammar_state state;
  uint32_t count;       /* bytes or digits of the present element */
  bool has_field;       /* a line with white space in front continues it */
  uint64_t chunk_bytes; /* left of the present chunk */
};

/** Expect a head. */
void grammar_begin_head (struct answer_grammar *g);

/** Expect a chunked body. */
void grammar_begin_chunks (struct answer_grammar *g);

/** Return how many of BYTES come before the first that breaks the grammar, or
 * behind the last of the head or body. */
size_t grammar_take (struct answer_grammar *g, const char *bytes,
                     size_t bytes_count);

#endif
