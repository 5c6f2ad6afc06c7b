/** @file
 * server.c accepts and reads, exchange.c answers.
 */
#ifndef H1_SERVER_PRIVATE_H
#define H1_SERVER_PRIVATE_H

#include "builder.h"
#include "h1/server.h"

enum exchange_state
{
  EXCHANGE_RECEIVING,
  EXCHANGE_WAITING,   /* the handler has it, no answer yet */
  EXCHANGE_ANSWERING, /* the head is out */
  EXCHANGE_FINISHED,  /* the last byte is queued */
};

struct h1_exchange
{
  struct connection *connection;
  void *user;
  enum exchange_state state;
  struct head_builder builder;
  size_t head_bytes;
  GString *body;
  int64_t begun_ms;
  enum h1_framing framing;
  uint64_t left; /* bytes of a stated length that are to come */
  bool head_request;
  unsigned int refusal; /* status that the checks found, or 0 */
  bool http_1_0;
  bool keep_alive;
  bool above_water;
};

struct connection
{
  uv_tcp_t tcp;
  struct h1_server *server;
  guint position; /* in the server's connections */
  http_parser parser;
  struct h1_exchange *exchange; /* NULL between requests */
  GString *early;   /* read before the answer to the request before ended */
  GString *later;   /* to be written after the write that is under way */
  int64_t heard_ms; /* last byte in or out */
  int64_t idle_timeout_ms;  /* in force when it began to rest */
  int64_t discard_until_ms; /* refused: read on until then; 0: not so */
  bool reading;
  bool closing;
  bool close_when_written;
};

struct h1_server
{
  struct loop *loop;
  uv_tcp_t listener;
  struct loop_timer *sweep;
  struct h1_server_handler *handler;
  struct h1_limits limits;
  struct h1_server_counts counts;
  GPtrArray *connections;
  uint32_t open;
  uint64_t bodies_bytes; /* of all open requests */
  int64_t drain_at_ms;   /* idle connections close from then on; 0: never */
  bool destroyed;
  uint32_t refs; /* the owner, and sockets until they are closed */
};

/** Close CONNECTION; its exchange's closed callback runs. */
void connection_close (struct connection *connection);

/** Send FIN and read on for a while, so that the caller sees the answer to
 * a request whose rest it is still sending. */
void connection_close_softly (struct connection *connection);

/** Queue bytes. */
void connection_write (struct connection *connection, const char *bytes,
                       size_t bytes_count);

/** Everything of an answer was handed to the kernel. */
void exchange_written (struct connection *connection);

/** The caller has read on; tell the handler if it was held back. */
void exchange_drained (struct connection *connection);

struct h1_exchange *exchange_create (struct connection *connection);
void exchange_free (struct h1_exchange *ex);

#endif
