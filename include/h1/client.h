/** @file
 * HTTP/1.1 client for requests that are passed on unchanged.
 *
 * One connection per call: closing it cancels the call, an answer that comes
 * late or twice can never be taken for another call's, and whether any byte
 * of the request was handed to the socket is known for certain.
 */
#ifndef H1_CLIENT_H
#define H1_CLIENT_H

#include "common/loop.h"
#include "h1/head.h"

/** One call in flight. */
struct h1_call;

struct h1_call_handler;

/** Why a call ended without a whole answer. */
enum h1_failure
{
  H1_FAILURE_REFUSED, /**< nobody listens there */
  H1_FAILURE_CONNECT, /**< no connection in time */
  /** The connection broke, or its end, which alone would complete the answer,
   * came before the endpoint had received the request. */
  H1_FAILURE_RESET,
  H1_FAILURE_CLOSED,  /**< it ended before the answer was whole */
  H1_FAILURE_GARBLED, /**< what came is not an HTTP answer */
  H1_FAILURE_ENDLESS, /**< the answer exceeds its limits */
  H1_FAILURE_SILENT,  /**< no byte of an answer has come in time */
};

/** Limits of an answer, beyond which it is taken for one without an end and
 * the connection is closed; 0: none. */
struct h1_answer_limits
{
  /** Bytes that are no body: heads, also interim ones, and framing. Those of
   * the framing may grow with the body. */
  size_t head_bytes;
  size_t body_bytes;
  int64_t head_ms; /**< from the first byte of a head to its end */
  int64_t body_ms; /**< from the first byte after the head to the end */
  int64_t all_ms;  /**< from the connection to the end */
};

/** What the owner of a call does with its answer. */
struct h1_call_handler_impl
{
  /** The head arrived. */
  void (*head) (struct h1_call_handler *handler, struct h1_call *call,
                const struct h1_head *head);
  /** Bytes of the body. */
  void (*data) (struct h1_call_handler *handler, struct h1_call *call,
                const char *bytes, size_t bytes_count);
  /** The answer is whole.  CALL is invalid after this call. */
  void (*done) (struct h1_call_handler *handler, struct h1_call *call);
  /** The call ended early.  SENT is false only if no byte of the request was
   * handed to the socket.  CALL is invalid after this call. */
  void (*failed) (struct h1_call_handler *handler, struct h1_call *call,
                  enum h1_failure failure, bool sent);
};

/** A handler; the first member selects the implementation. */
struct h1_call_handler
{
  const struct h1_call_handler_impl *impl;
};

/** A request; everything is copied. */
struct h1_request
{
  const char *address; /**< IPv4 number */
  uint16_t port;
  const char *head; /**< start line and fields, with the empty line */
  size_t head_bytes;
  const char *body;
  size_t body_bytes;
  bool no_answer_body;        /**< the method is HEAD */
  int64_t connect_timeout_ms; /**< 0: 1000 */
  struct h1_answer_limits limits;
  /** Close the connection as soon as there is one, and it has been held; that
   * is told as a whole answer without a head. */
  bool connect_only;
  /** Wait for this time before anything is sent on the connection, to see
   * whether the endpoint closes it at once. */
  int64_t hold_ms;
};

/** Start a call.  Never calls HANDLER before it returns. */
struct h1_call *h1_call_start (struct loop *loop,
                               const struct h1_request *request,
                               struct h1_call_handler *handler);

/** Close the connection; no callback follows.  CALL is invalid after. */
void h1_call_cancel (struct h1_call *call);

/** Keep the head of CALL, which has ended, until h1_call_release. */
void h1_call_retain (struct h1_call *call);
void h1_call_release (struct h1_call *call);

/** Return whether any byte of the request was handed to the socket. */
bool h1_call_sent (const struct h1_call *call);

/** Stop and restart reading, for back-pressure. */
void h1_call_pause (struct h1_call *call, bool paused);

/** Return the stable name of FAILURE. */
const char *h1_failure_name (enum h1_failure failure);

#endif
