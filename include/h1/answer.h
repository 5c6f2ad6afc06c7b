/** @file
 * Reads one HTTP/1.1 answer from the bytes of a connection.
 *
 * The parser takes more than the grammar of RFC 9110 and RFC 9112 allows, so
 * that heads and chunks are checked by it first: bytes that break it are no
 * answer, and nothing of them is passed on.
 */
#ifndef H1_ANSWER_H
#define H1_ANSWER_H

#include "h1/head.h"

/** How far an answer has been read. */
enum h1_answer_state
{
  H1_ANSWER_READING, /**< more is due */
  H1_ANSWER_WHOLE,   /**< what may follow belongs to no request */
  H1_ANSWER_GARBLED, /**< what came is not an HTTP answer */
  H1_ANSWER_ENDLESS, /**< it is longer than it may be */
};

struct h1_answer_handler;

/** What the owner of an answer does with its parts.  The answer may not be
 * destroyed in these. */
struct h1_answer_handler_impl
{
  /** The first byte of a head, also of an interim one; may be NULL. */
  void (*begin) (struct h1_answer_handler *handler);
  /** The head of the final answer; lives as long as the answer. */
  void (*head) (struct h1_answer_handler *handler, const struct h1_head *head);
  /** Bytes of the body. */
  void (*data) (struct h1_answer_handler *handler, const char *bytes,
                size_t bytes_count);
};

/** A handler; the first member selects the implementation. */
struct h1_answer_handler
{
  const struct h1_answer_handler_impl *impl;
};

/** Bytes that an answer may have; 0: any number. */
struct h1_answer_bytes
{
  /** That are no body: heads, also interim ones, and framing.  Those of the
   * framing may grow with the body. */
  size_t head_bytes;
  size_t body_bytes;
};

struct h1_answer;

/** Create a reader.  WITHOUT_BODY: the request's method is HEAD. */
struct h1_answer *h1_answer_create (bool without_body,
                                    struct h1_answer_bytes limits,
                                    struct h1_answer_handler *handler);
void h1_answer_destroy (struct h1_answer *answer);

/** Read bytes of the connection; none are taken once the state is another
 * than H1_ANSWER_READING. */
enum h1_answer_state h1_answer_read (struct h1_answer *answer,
                                     const char *bytes, size_t bytes_count);

/** Read the orderly end of the connection, which completes an answer without
 * a stated length, and only such an answer.  If it is cut, the state stays
 * H1_ANSWER_READING. */
enum h1_answer_state h1_answer_end (struct h1_answer *answer);

/** Whether a head has come in part. */
bool h1_answer_in_head (const struct h1_answer *answer);

/** Bytes that were read, and those of the body among them. */
uint64_t h1_answer_read_bytes (const struct h1_answer *answer);
uint64_t h1_answer_body_bytes (const struct h1_answer *answer);

#endif
