/** @file
 * Shared by the files of this folder only.
 */
#ifndef HTTP_PRIVATE_H
#define HTTP_PRIVATE_H

#include <libwebsockets.h>

#include "http/context.h"
#include "tls.h"

struct http_context
{
  struct loop *loop;
  struct lws_context *lws;
  struct lws_vhost *client_vhost;
  char *ca_file;               /* NULL: the system's certificates */
  SSL_CTX *client_tls;         /* created by the first call over TLS */
  struct http_server *servers; /* linked by next */
  struct lws *active;          /* client connection whose callback runs */
  struct http_traffic traffic; /* of client calls that have ended */
};

/** Callback of the server protocol. */
int http_server_callback (struct lws *wsi, enum lws_callback_reasons reason,
                          void *user, void *in, size_t len);

/** Callback of the client protocol. */
int http_client_callback (struct lws *wsi, enum lws_callback_reasons reason,
                          void *user, void *in, size_t len);

/** Return what calls over TLS share; NULL if its file cannot be read. */
SSL_CTX *http_context_client_tls (struct http_context *context);

/** Release the memory of all servers of CONTEXT. */
void http_servers_free (struct http_context *context);

/** Bytes that one lws_write takes at most. */
#define HTTP_WRITE_BYTES 16384

#endif
