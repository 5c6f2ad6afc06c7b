/** @file
 * HTTP/1.1 server on libwebsockets.  One thread; every call is
 * made on the loop's thread.
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/error.h"
#include "http/context.h"

struct http_server;

/** One request and its answer; owned by the server. */
struct http_exchange;

struct http_handler;

/** What the owner of a server does with its requests. */
struct http_handler_impl
{
  /** A whole request has arrived, its body within the limit. */
  void (*request) (struct http_handler *handler, struct http_exchange *ex);
  /** Buffered output has fallen below half of the high-water mark, or some
   * tens of kilobytes have gone out and nothing is left; may be NULL. */
  void (*drained) (struct http_handler *handler, struct http_exchange *ex);
  /** The exchange ended: WHOLE if the answer's last byte was handed to the
   * kernel.  EX is invalid after this call. */
  void (*closed) (struct http_handler *handler, struct http_exchange *ex,
                  bool whole);
};

/** A handler; the first member selects the implementation. */
struct http_handler
{
  const struct http_handler_impl *impl;
};

/** Settings of a server. */
struct http_server_settings
{
  const char *address;       /**< IP number to listen on */
  uint16_t port;             /**< 0 lets the kernel choose */
  uint32_t max_body_bytes;   /**< a longer body is refused with 413 */
  uint32_t header_timeout_s; /**< for slow headers and bodies; 0: 10 s */
  const char *tls_cert_file; /**< NULL: plain text */
  const char *tls_key_file;
};

/** Listen; returns NULL and fills ERROR on failure. */
struct http_server *
http_server_create (struct http_context *context,
                    const struct http_server_settings *settings,
                    struct http_handler *handler, struct beryl_error *error);

/** Return the port in use. */
uint16_t http_server_port (const struct http_server *server);

/** Return the number of open exchanges. */
uint32_t http_server_open (const struct http_server *server);

/** The owner's pointer on an exchange, NULL at first. */
void http_exchange_set_user (struct http_exchange *ex, void *user);
void *http_exchange_user (const struct http_exchange *ex);

/** Parts of the request; strings live as long as the exchange. */
const char *http_exchange_method (const struct http_exchange *ex);
const char *http_exchange_path (const struct http_exchange *ex);
const char *http_exchange_query (const struct http_exchange *ex);
const char *http_exchange_peer (const struct http_exchange *ex);
const void *http_exchange_body (const struct http_exchange *ex,
                                size_t *body_bytes);

/** Return a request header by its lower-case NAME, or NULL. */
const char *http_exchange_header (struct http_exchange *ex, const char *name);

/** Copy the value of query argument NAME into VALUE; false if absent. */
bool http_exchange_argument (const struct http_exchange *ex, const char *name,
                             char *value, size_t value_bytes);

/** Add a response header; before start or respond. */
void http_exchange_add_header (struct http_exchange *ex, const char *name,
                               const char *value);

/** Answer at once with a whole body. */
void http_exchange_respond (struct http_exchange *ex, unsigned int status,
                            const char *content_type, const void *body,
                            size_t body_bytes);

/** Begin a streamed answer. */
void http_exchange_start (struct http_exchange *ex, unsigned int status,
                          const char *content_type);

/** Queue bytes of a streamed answer; they are copied. */
void http_exchange_write (struct http_exchange *ex, const void *bytes,
                          size_t bytes_count);

/** End a streamed answer after the queued bytes. */
void http_exchange_finish (struct http_exchange *ex);

/** Cut the connection, so that the caller sees an incomplete answer. */
void http_exchange_abort (struct http_exchange *ex);

/** Return queued bytes that the kernel has not taken. */
size_t http_exchange_pending_bytes (const struct http_exchange *ex);

#endif
