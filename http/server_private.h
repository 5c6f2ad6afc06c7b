/** @file
 * The server's files share one exchange: server.c listens and dispatches,
 * exchange.c holds the request, answer.c writes the answer.
 */
#ifndef HTTP_SERVER_PRIVATE_H
#define HTTP_SERVER_PRIVATE_H

#include <glib.h>

#include "http/server.h"
#include "private.h"

enum exchange_state
{
  EXCHANGE_RECEIVING,
  EXCHANGE_WAITING, /* the handler has it, no answer yet */
  EXCHANGE_STARTED, /* answering */
};

struct http_server
{
  struct http_context *context;
  struct http_server *next;
  struct http_handler *handler;
  struct http_server_settings settings;
  struct lws_vhost *vhost;
  char *address;
  char *cert_file;
  char *key_file;
  GPtrArray *exchanges;
  struct loop_timer *sweep;
  struct lws_protocols protocols[2];
};

struct http_exchange
{
  struct http_server *server;
  struct lws *wsi;
  void *user;
  guint position; /* in the server's exchanges */
  enum exchange_state state;
  int64_t begun_ms; /* its head had arrived */
  char method[16];
  char *path;
  char *query;
  char peer[64];
  GByteArray *body;
  GHashTable *headers; /* request headers looked up so far */
  GString *extra_headers;
  GByteArray *out;
  size_t out_taken;
  size_t out_since_drained; /* bytes queued since the handler was told */
  unsigned int status;
  char *content_type;
  bool streamed;
  bool head_sent;
  bool finished;
  bool aborted;
  bool above_water;
  bool held;      /* polling for input is off */
  bool had_input; /* the caller sent its next request early */
  struct loop_timer *abort_timer;
};

/** Create the exchange of the request whose head has arrived on WSI. */
struct http_exchange *http_exchange_create (struct http_server *server,
                                            struct lws *wsi);

/** Release EX without telling the handler. */
void http_exchange_free (struct http_exchange *ex);

/** What http_answer_write has done. */
enum answer_result
{
  ANSWER_CONTINUES,
  ANSWER_WHOLE,  /**< its last byte was handed to the kernel */
  ANSWER_FAILED, /**< the connection must be closed */
};

/** Write the next piece of the answer; the connection is writable. */
enum answer_result http_answer_write (struct http_exchange *ex);

/** Stop or restart polling the connection for input. */
void http_answer_hold (struct http_exchange *ex, bool held);

#endif
