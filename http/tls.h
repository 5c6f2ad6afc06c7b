/** @file
 * TLS of a client's connection, apart from its socket: bytes go in and out.
 */
#ifndef HTTP_TLS_H
#define HTTP_TLS_H

#include <openssl/ssl.h>
#include <stdbool.h>
#include <stddef.h>

struct http_tls;

/** Create what client connections share.  CA_FILE verifies servers; NULL: the
 * system's certificates do.  NULL if the file cannot be read. */
SSL_CTX *http_tls_context_create (const char *ca_file);

/** Begin a connection to the server called HOST, a name or an IP number. */
struct http_tls *http_tls_create (SSL_CTX *context, const char *host);
void http_tls_destroy (struct http_tls *tls);

/** Take bytes that the socket has received.  False if the handshake failed. */
bool http_tls_receive (struct http_tls *tls, const char *bytes,
                       size_t bytes_count);

/** Read what the server has sent; returns the number of bytes, 0 for none, -1
 * if the connection is broken. */
int http_tls_read (struct http_tls *tls, char *bytes, size_t bytes_count);

/** Whether the handshake is over, so that bytes may be written. */
bool http_tls_ready (const struct http_tls *tls);

/** Write bytes to the server; false if the connection is broken. */
bool http_tls_write (struct http_tls *tls, const char *bytes,
                     size_t bytes_count);

/** Take bytes that the socket is to send; returns their number. */
size_t http_tls_take (struct http_tls *tls, unsigned char *bytes,
                      size_t bytes_count);

/** Whether any such bytes are left. */
bool http_tls_pending (const struct http_tls *tls);

/** Whether the server has ended the connection in order. */
bool http_tls_closed (const struct http_tls *tls);

#endif
