/** @file
 * Shared by the files of this folder only.
 */
#ifndef HTTP_PRIVATE_H
#define HTTP_PRIVATE_H

#include <libwebsockets.h>

#include "http/context.h"

struct http_context
{
  struct loop *loop;
  struct lws_context *lws;
  struct lws_vhost *client_vhost;
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

/** Release the memory of all servers of CONTEXT. */
void http_servers_free (struct http_context *context);

/** Bytes that one lws_write takes at most. */
#define HTTP_WRITE_BYTES 16384

#endif
