/** @file
 * HTTP client, one connection per call: closing the connection cancels the
 * call, and whether any byte of the request was handed to the socket is known
 * for certain.  libwebsockets moves the bytes, h1/answer.h reads the answer.
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http/context.h"

/** Reason of a call that failed since its answer is longer, or goes on for
 * longer, than it may. */
#define HTTP_ENDLESS_ANSWER "the answer has no end"

/** One call in flight. */
struct http_call;

struct http_call_handler;

/** What the owner of a call does with its answer. */
struct http_call_handler_impl
{
  /** The status line and headers arrived; may be NULL. */
  void (*head) (struct http_call_handler *handler, struct http_call *call,
                unsigned int status);
  /** Bytes of the answer's body; may be NULL. */
  void (*data) (struct http_call_handler *handler, struct http_call *call,
                const void *bytes, size_t bytes_count);
  /** The answer is whole.  CALL is invalid after this call. */
  void (*done) (struct http_call_handler *handler, struct http_call *call);
  /** The call ended early.  SENT is false only if no byte of the request
   * was handed to the socket.  CALL is invalid after this call. */
  void (*failed) (struct http_call_handler *handler, struct http_call *call,
                  bool sent, const char *reason);
};

/** A handler; the first member selects the implementation. */
struct http_call_handler
{
  const struct http_call_handler_impl *impl;
};

/** A request header. */
struct http_header
{
  const char *name; /**< lower case */
  const char *value;
};

/** A request; everything is copied. */
struct http_request
{
  const char *method;
  const char *address; /**< IP number */
  uint16_t port;
  const char *path; /**< with the query */
  const struct http_header *headers;
  size_t header_count;
  const void *body;
  size_t body_bytes;
  /** Until the first byte of the answer's body, or, without the next member,
   * for the whole call; 0: none. */
  int64_t timeout_ms;
  /** Longest silence within the answer's body, which may then take as long as
   * a slow network needs for it; 0: none. */
  int64_t idle_timeout_ms;
  /** Longest body of an answer; 0: any. */
  size_t answer_max_bytes;
  bool tls;
  const char *tls_host; /**< name to verify; NULL: ADDRESS */
};

/** Start a call.  Never calls HANDLER before it returns. */
struct http_call *http_call_start (struct http_context *context,
                                   const struct http_request *request,
                                   struct http_call_handler *handler);

/** Close the connection; no callback follows.  CALL is invalid after. */
void http_call_cancel (struct http_call *call);

/** Stop and restart reading, for back-pressure. */
void http_call_pause (struct http_call *call, bool paused);

/** Return a response header by its lower-case NAME, or NULL; valid from
 * the head callback on. */
const char *http_call_header (struct http_call *call, const char *name);

/** Return the status; 0 before the head callback. */
unsigned int http_call_status (const struct http_call *call);

/** Whether a byte of the request was handed to the socket. */
bool http_call_sent (const struct http_call *call);

#endif
