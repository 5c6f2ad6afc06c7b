/** @file
 * Start line and header fields of an HTTP/1.1 message, in the order and
 * spelling in which they came.
 */
#ifndef H1_HEAD_H
#define H1_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** One header field. */
struct h1_field
{
  const char *name;
  const char *value;
};

/** A parsed head; strings live as long as the message it belongs to. */
struct h1_head
{
  const char *method;  /**< of a request */
  const char *target;  /**< of a request: path and query */
  unsigned int status; /**< of an answer */
  const char *reason;  /**< of an answer, may be "" */
  struct h1_field *fields;
  size_t field_count;
};

/** Return the value of the first field NAME (any case), or NULL. */
const char *h1_head_find (const struct h1_head *head, const char *name);

/** Return how many fields are called NAME (any case). */
size_t h1_head_count (const struct h1_head *head, const char *name);

/** Return whether answers with STATUS never have a body. */
bool h1_status_without_body (unsigned int status);

/** Return whether the body of an answer with HEAD can be told from its
 * framing: one length, or the coding "chunked" alone, or neither. */
bool h1_head_framing_known (const struct h1_head *head);

/** Whether NAME concerns one connection only, so that it is never passed
 * on: the fixed hop-by-hop fields, and what Connection lists. */
bool h1_head_hop_by_hop (const struct h1_head *head, const char *name);

#endif
