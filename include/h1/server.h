/** @file
 * HTTP/1.1 server for messages that are passed on unchanged: every header
 * field in order, bodies by length or in chunks, kept connections.
 *
 * The parser is libhttp-parser, the sockets are libuv's.  Requests whose
 * framing is ambiguous (two lengths, a length beside chunks) are refused and
 * their connection closed, since the next hop could see a second request in
 * them.  One thread; every call is made on the loop's thread.
 */
#ifndef H1_SERVER_H
#define H1_SERVER_H

#include "beryl/error.h"
#include "common/loop.h"
#include "h1/head.h"

struct h1_server;

/** One request and its answer; owned by the server. */
struct h1_exchange;

struct h1_server_handler;

/** What the owner of a server does with its requests.  closed and drained
 * may run inside the owner's calls that write, finish or cut. */
struct h1_server_handler_impl
{
  /** A whole request has arrived, within the limits. */
  void (*request) (struct h1_server_handler *handler, struct h1_exchange *ex);
  /** The caller has read most of what was queued; may be NULL. */
  void (*drained) (struct h1_server_handler *handler, struct h1_exchange *ex);
  /** The exchange ended: WHOLE if the answer's last byte was handed to the
   * kernel, otherwise the caller left or the answer was cut.  EX is invalid
   * after this call. */
  void (*closed) (struct h1_server_handler *handler, struct h1_exchange *ex,
                  bool whole);
};

/** A handler; the first member selects the implementation. */
struct h1_server_handler
{
  const struct h1_server_handler_impl *impl;
};

/** What a caller may send and how long it may take; zero takes the default
 * in brackets. */
struct h1_limits
{
  uint32_t header_bytes;     /**< [16384]; more: 431 */
  uint32_t body_bytes;       /**< [4 MiB]; more: 413 */
  int64_t header_timeout_ms; /**< from the first byte of a head [10000] */
  /** Without a byte [60000]; twice as long between two requests while less
   * than half of the connections are open. */
  int64_t idle_timeout_ms;
  uint32_t connections;      /**< open at a time [3000] */
  uint64_t all_bodies_bytes; /**< of all open requests [64 MiB]; more: 503 */
};

/** Counts of a server. */
struct h1_server_counts
{
  uint64_t accepted;
  uint64_t requests;
  uint64_t crowded_out; /**< refused since all bodies are too large */
  uint64_t malformed;   /**< refused with 400, 408, 413, 431 or 501 */
  uint64_t turned_away; /**< connections closed at the limit */
  uint64_t kept_unread; /**< idle ones not closed: a request was waiting */
};

/** Listen on ADDRESS ("ip"), PORT (0 lets the kernel choose); NULL and ERROR
 * on failure. */
struct h1_server *h1_server_create (struct loop *loop, const char *address,
                                    uint16_t port,
                                    struct h1_server_handler *handler,
                                    struct beryl_error *error);

/** Close all connections and release SERVER; closed callbacks run.  NULL is
 * allowed. */
void h1_server_destroy (struct h1_server *server);

/** Use LIMITS from now on. */
void h1_server_set_limits (struct h1_server *server,
                           const struct h1_limits *limits);

/** Each answer from now on closes its connection, and connections on which
 * nothing was asked are closed after IDLE_MS.  New ones are still taken. */
void h1_server_drain (struct h1_server *server, int64_t idle_ms);

/** Take no new connections from now on; they are refused. */
void h1_server_close_listener (struct h1_server *server);

/** Return the port in use. */
uint16_t h1_server_port (const struct h1_server *server);

/** Return the numbers of open connections and of requests being answered. */
uint32_t h1_server_connections (const struct h1_server *server);
uint32_t h1_server_open (const struct h1_server *server);

/** Return the counts, owned by SERVER. */
const struct h1_server_counts *
h1_server_counts (const struct h1_server *server);

/** The owner's pointer on an exchange, NULL at first. */
void h1_exchange_set_user (struct h1_exchange *ex, void *user);
void *h1_exchange_user (const struct h1_exchange *ex);

/** The request; lives as long as the exchange. */
const struct h1_head *h1_exchange_head (const struct h1_exchange *ex);
const char *h1_exchange_body (const struct h1_exchange *ex,
                              size_t *body_bytes);

/** Return the loop's time when the first byte of the request came. */
int64_t h1_exchange_begun_ms (const struct h1_exchange *ex);

/** How an answer's body is delimited. */
enum h1_framing
{
  H1_FRAMING_LENGTH,
  H1_FRAMING_CHUNKED, /**< closing the connection for HTTP/1.0 callers */
  H1_FRAMING_CLOSE,   /**< ended by the connection's end */
};

/** Answer at once; framing and connection fields are added. */
void h1_exchange_reply (struct h1_exchange *ex, unsigned int status,
                        const struct h1_field *fields, size_t field_count,
                        const char *body, size_t body_bytes);

/** Begin an answer that follows in pieces.  FIELDS must not contain framing
 * or connection fields; LENGTH is used with H1_FRAMING_LENGTH. */
void h1_exchange_begin (struct h1_exchange *ex, unsigned int status,
                        const char *reason, const struct h1_field *fields,
                        size_t field_count, enum h1_framing framing,
                        uint64_t length);

/** Queue bytes of the body; they are copied. */
void h1_exchange_write (struct h1_exchange *ex, const char *bytes,
                        size_t bytes_count);

/** End the body.  An answer that is short of its length is cut instead. */
void h1_exchange_finish (struct h1_exchange *ex);

/** Close the connection so that the caller sees an incomplete answer. */
void h1_exchange_cut (struct h1_exchange *ex);

/** Return queued bytes that the kernel has not taken. */
size_t h1_exchange_pending_bytes (const struct h1_exchange *ex);

#endif
