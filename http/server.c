#include "http/server.h"

#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>

#include "private.h"

#define DEFAULT_HEADER_TIMEOUT_S 10
#define SWEEP_INTERVAL_MS 50
#define HIGH_WATER_BYTES 65536
#define HEAD_BYTES 4096
#define CHUNK_OVERHEAD_BYTES 16

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
  bool multiplexed; /* HTTP/2 stream */
  bool streamed;
  bool head_sent;
  bool finished;
  bool final_sent;
  bool aborted;
  bool above_water;
  bool held;      /* polling for input is off */
  bool had_input; /* the caller sent its next request early */
  struct loop_timer *abort_timer;
};

/* The per-connection storage that libwebsockets keeps for us. */
struct session
{
  struct http_exchange *exchange;
};

static const struct
{
  enum lws_token_indexes token;
  const char *method;
} methods[] = {
  { WSI_TOKEN_GET_URI, "GET" },         { WSI_TOKEN_POST_URI, "POST" },
  { WSI_TOKEN_PUT_URI, "PUT" },         { WSI_TOKEN_DELETE_URI, "DELETE" },
  { WSI_TOKEN_PATCH_URI, "PATCH" },     { WSI_TOKEN_HEAD_URI, "HEAD" },
  { WSI_TOKEN_OPTIONS_URI, "OPTIONS" },
};

static const struct
{
  const char *name;
  enum lws_token_indexes token;
} known_headers[] = {
  { "authorization", WSI_TOKEN_HTTP_AUTHORIZATION },
  { "content-type", WSI_TOKEN_HTTP_CONTENT_TYPE },
  { "content-length", WSI_TOKEN_HTTP_CONTENT_LENGTH },
  { "if-match", WSI_TOKEN_HTTP_IF_MATCH },
  { "if-none-match", WSI_TOKEN_HTTP_IF_NONE_MATCH },
  { "accept", WSI_TOKEN_HTTP_ACCEPT },
  { "host", WSI_TOKEN_HOST },
  { "transfer-encoding", WSI_TOKEN_HTTP_TRANSFER_ENCODING },
  { "user-agent", WSI_TOKEN_HTTP_USER_AGENT },
};

static char *
copy_token (struct lws *wsi, enum lws_token_indexes token)
{
  int n = lws_hdr_total_length (wsi, token);
  char *value;

  if (n <= 0)
    return NULL;
  value = g_malloc0 ((gsize)n + 1);
  if (lws_hdr_copy (wsi, value, n + 1, token) < 0)
    {
      g_free (value);
      return NULL;
    }
  return value;
}

static char *
copy_custom (struct lws *wsi, const char *name)
{
  char key[80];
  int n;
  char *value;

  snprintf (key, sizeof key, "%s:", name);
  n = lws_hdr_custom_length (wsi, key, (int)strlen (key));
  if (n < 0)
    return NULL;
  value = g_malloc0 ((gsize)n + 1);
  lws_hdr_custom_copy (wsi, value, n + 1, key, (int)strlen (key));
  return value;
}

const char *
http_exchange_header (struct http_exchange *ex, const char *name)
{
  char *value = g_hash_table_lookup (ex->headers, name);

  if (value != NULL || ex->wsi == NULL)
    return value;
  for (size_t i = 0; i < G_N_ELEMENTS (known_headers) && value == NULL; i++)
    if (strcmp (known_headers[i].name, name) == 0)
      value = copy_token (ex->wsi, known_headers[i].token);
  if (value == NULL)
    value = copy_custom (ex->wsi, name);
  if (value != NULL)
    g_hash_table_insert (ex->headers, g_strdup (name), value);
  return value;
}

static char *
copy_query (struct lws *wsi)
{
  GString *query = g_string_new (NULL);
  char fragment[1024];

  for (int i = 0; lws_hdr_copy_fragment (wsi, fragment, sizeof fragment,
                                         WSI_TOKEN_HTTP_URI_ARGS, i)
                  >= 0;
       i++)
    {
      if (query->len > 0)
        g_string_append_c (query, '&');
      g_string_append (query, fragment);
    }
  return g_string_free (query, FALSE);
}

static struct http_exchange *
exchange_create (struct http_server *server, struct lws *wsi)
{
  struct http_exchange *ex = g_new0 (struct http_exchange, 1);

  ex->server = server;
  ex->wsi = wsi;
  ex->headers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  ex->body = g_byte_array_new ();
  ex->out = g_byte_array_new ();
  ex->extra_headers = g_string_new (NULL);
  ex->multiplexed = lws_get_network_wsi (wsi) != wsi;
  lws_get_peer_simple (wsi, ex->peer, sizeof ex->peer);
  for (size_t i = 0; i < G_N_ELEMENTS (methods); i++)
    {
      ex->path = copy_token (wsi, methods[i].token);
      if (ex->path == NULL)
        continue;
      g_strlcpy (ex->method, methods[i].method, sizeof ex->method);
      break;
    }
  if (ex->path == NULL)
    {
      /* HTTP/2 carries the method and the path as pseudo-headers. */
      char *method = copy_token (wsi, WSI_TOKEN_HTTP_COLON_METHOD);

      ex->path = copy_token (wsi, WSI_TOKEN_HTTP_COLON_PATH);
      g_strlcpy (ex->method, method != NULL ? method : "GET",
                 sizeof ex->method);
      g_free (method);
    }
  if (ex->path == NULL)
    ex->path = g_strdup ("/");
  ex->query = copy_query (wsi);
  ex->position = server->exchanges->len;
  g_ptr_array_add (server->exchanges, ex);
  return ex;
}

static void
server_forget (struct http_server *server, struct http_exchange *ex)
{
  struct http_exchange *last;

  g_ptr_array_remove_index_fast (server->exchanges, ex->position);
  if (ex->position >= server->exchanges->len)
    return;
  last = g_ptr_array_index (server->exchanges, ex->position);
  last->position = ex->position;
}

static void
exchange_free (struct http_exchange *ex)
{
  server_forget (ex->server, ex);
  loop_timer_stop (ex->abort_timer);
  g_free (ex->path);
  g_free (ex->query);
  g_free (ex->content_type);
  g_byte_array_free (ex->body, TRUE);
  g_byte_array_free (ex->out, TRUE);
  g_hash_table_destroy (ex->headers);
  g_string_free (ex->extra_headers, TRUE);
  g_free (ex);
}

/* Ends an exchange once; libwebsockets reports one close by several
 * callbacks, so the session forgets it first. */
static void
exchange_close (struct session *session, bool whole)
{
  struct http_exchange *ex = session->exchange;

  if (ex == NULL)
    return;
  session->exchange = NULL;
  ex->wsi = NULL;
  if (ex->state != EXCHANGE_RECEIVING)
    ex->server->handler->impl->closed (ex->server->handler, ex, whole);
  exchange_free (ex);
}

static void
exchange_deliver (struct http_exchange *ex)
{
  lws_set_timeout (ex->wsi, NO_PENDING_TIMEOUT, 0);
  ex->state = EXCHANGE_WAITING;
  ex->server->handler->impl->request (ex->server->handler, ex);
}

static int
append_header_line (struct lws *wsi, const char *name, const char *value,
                    unsigned char **p, unsigned char *end)
{
  return lws_add_http_header_by_name (wsi, (const unsigned char *)name,
                                      (const unsigned char *)value,
                                      (int)strlen (value), p, end);
}

static int
append_extra_headers (struct http_exchange *ex, unsigned char **p,
                      unsigned char *end)
{
  char **lines = g_strsplit (ex->extra_headers->str, "\n", -1);
  int bad = 0;

  for (size_t i = 0; lines[i] != NULL && lines[i + 1] != NULL; i += 2)
    bad |= append_header_line (ex->wsi, lines[i], lines[i + 1], p, end);
  g_strfreev (lines);
  return bad;
}

/* Formats the answer's head into BUF; returns its length or -1. */
static int
format_head (struct http_exchange *ex, unsigned char *buf, size_t buf_bytes)
{
  unsigned char *p = buf;
  unsigned char *end = buf + buf_bytes;
  bool bad;

  bad = lws_add_http_header_status (ex->wsi, ex->status, &p, end) != 0;
  if (ex->content_type != NULL)
    bad |= append_header_line (ex->wsi, "content-type:", ex->content_type, &p,
                               end)
           != 0;
  bad |= append_extra_headers (ex, &p, end) != 0;
  if (!ex->streamed)
    bad |= lws_add_http_header_content_length (ex->wsi, ex->out->len, &p, end)
           != 0;
  else if (!ex->multiplexed)
    bad |= append_header_line (ex->wsi, "transfer-encoding:", "chunked", &p,
                               end)
           != 0;
  bad |= lws_finalize_http_header (ex->wsi, &p, end) != 0;
  return bad ? -1 : (int)(p - buf);
}

/* Formats the next piece of the body behind P; sets *FINAL at the end. */
static size_t
take_body (struct http_exchange *ex, unsigned char *p, size_t room,
           bool *final)
{
  size_t left = ex->out->len - ex->out_taken;
  size_t n = left < room ? left : room;
  bool chunked = ex->streamed && !ex->multiplexed;
  unsigned char *start = p;

  *final = ex->finished && n == left;
  if (chunked && n > 0)
    p += sprintf ((char *)p, "%zx\r\n", n);
  if (n > 0)
    memcpy (p, ex->out->data + ex->out_taken, n);
  p += n;
  if (chunked && n > 0)
    p += sprintf ((char *)p, "\r\n");
  if (chunked && *final)
    p += sprintf ((char *)p, "0\r\n\r\n");
  ex->out_taken += n;
  if (ex->out_taken == ex->out->len)
    {
      g_byte_array_set_size (ex->out, 0);
      ex->out_taken = 0;
    }
  return (size_t)(p - start);
}

static void
report_drained (struct http_exchange *ex)
{
  struct http_handler *handler = ex->server->handler;
  size_t pending = http_exchange_pending_bytes (ex);

  /* A caller that keeps up never lets the buffer rise; its owner, which
   * counts what it has queued, must hear of it all the same. */
  if (!(ex->above_water && pending <= HIGH_WATER_BYTES / 2)
      && !(pending == 0 && ex->out_since_drained >= HIGH_WATER_BYTES / 2))
    return;
  ex->above_water = false;
  ex->out_since_drained = 0;
  if (handler->impl->drained != NULL)
    handler->impl->drained (handler, ex);
}

static int
write_head_alone (struct http_exchange *ex, unsigned char *buf, int head_bytes)
{
  enum lws_write_protocol how = LWS_WRITE_HTTP_HEADERS;

  if (ex->finished && ex->out->len == 0)
    {
      how |= LWS_WRITE_H2_STREAM_END;
      ex->final_sent = true;
    }
  if (lws_write (ex->wsi, buf, (size_t)head_bytes, how) < 0)
    return -1;
  return 0;
}

/* While an HTTP/1.1 answer is made, libwebsockets neither reads the socket
 * nor stops polling it, so that a caller which sends its next request early
 * would make the loop spin.  A held connection is not polled for input; nor
 * does it become writable, so that writing ends the hold. */
static void
exchange_hold (struct http_exchange *ex, bool held)
{
  if (ex->held == held || ex->multiplexed)
    return;
  ex->held = held;
  lws_rx_flow_control (ex->wsi, held ? 0 : 1);
}

static void
request_write (struct http_exchange *ex)
{
  exchange_hold (ex, false);
  lws_callback_on_writable (ex->wsi);
}

static int
exchange_write (struct session *session)
{
  struct http_exchange *ex = session->exchange;
  struct lws *wsi = ex->wsi;
  unsigned char
      buf[LWS_PRE + HEAD_BYTES + HTTP_WRITE_BYTES + CHUNK_OVERHEAD_BYTES * 2];
  unsigned char *p = buf + LWS_PRE;
  size_t n = 0;
  bool final = false;

  if (ex->aborted)
    return -1;
  if (ex->state != EXCHANGE_STARTED)
    return 0;
  if (!ex->head_sent)
    {
      int head_bytes = format_head (ex, p, HEAD_BYTES);

      if (head_bytes < 0)
        return -1;
      ex->head_sent = true;
      n = (size_t)head_bytes;
      if (ex->multiplexed)
        {
          if (write_head_alone (ex, p, head_bytes) < 0)
            return -1;
          if (!ex->final_sent)
            {
              lws_callback_on_writable (wsi);
              return 0;
            }
          n = 0;
          final = true;
        }
    }
  if (!ex->final_sent)
    {
      size_t body_bytes = take_body (ex, p + n, HTTP_WRITE_BYTES, &final);

      if (n + body_bytes > 0 || final)
        {
          /* On HTTP/1.1 head and body are one raw write. */
          if (lws_write (wsi, p, n + body_bytes,
                         final ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
              < 0)
            return -1;
        }
    }
  if (final)
    {
      exchange_hold (ex, false);
      exchange_close (session, true);
      return lws_http_transaction_completed (wsi) != 0 ? -1 : 0;
    }
  if (http_exchange_pending_bytes (ex) > 0 || ex->finished)
    lws_callback_on_writable (wsi);
  else if (ex->had_input)
    exchange_hold (ex, true);
  report_drained (ex);
  return 0;
}

static struct http_server *
server_of (struct lws *wsi)
{
  return lws_vhost_user (lws_get_vhost (wsi));
}

static bool
expects_body (struct http_exchange *ex)
{
  const char *length = http_exchange_header (ex, "content-length");

  if (length != NULL)
    return g_ascii_strtoull (length, NULL, 10) > 0;
  return false;
}

static void
refuse (struct http_exchange *ex, unsigned int status, const char *problem)
{
  ex->state = EXCHANGE_WAITING;
  http_exchange_add_header (ex, "connection", "close");
  http_exchange_respond (ex, status, "application/problem+json", problem,
                         strlen (problem));
}

/* Refuses what libwebsockets would let grow or misread before a handler
 * sees it.  Returns true if an answer was given. */
static bool
refuse_early (struct http_exchange *ex)
{
  const char *length = http_exchange_header (ex, "content-length");

  if (length != NULL
      && g_ascii_strtoull (length, NULL, 10)
             > ex->server->settings.max_body_bytes)
    {
      refuse (ex, 413,
              "{\"type\":\"body-too-large\",\"status\":413,"
              "\"outcome\":\"not_run\"}");
      return true;
    }
  if (!ex->multiplexed && http_exchange_header (ex, "transfer-encoding"))
    {
      refuse (ex, 411,
              "{\"type\":\"length-required\",\"status\":411,"
              "\"outcome\":\"not_run\"}");
      return true;
    }
  return false;
}

static int
request_head (struct session *session, struct lws *wsi)
{
  struct http_exchange *ex;

  exchange_close (session, false);
  ex = exchange_create (server_of (wsi), wsi);
  session->exchange = ex;
  if (refuse_early (ex))
    return 0;
  if (!expects_body (ex))
    exchange_deliver (ex);
  return 0;
}

static int
request_body (struct session *session, const void *in, size_t len)
{
  struct http_exchange *ex = session->exchange;

  if (ex == NULL || ex->state != EXCHANGE_RECEIVING)
    return 0;
  if (ex->body->len + len > ex->server->settings.max_body_bytes)
    return -1;
  g_byte_array_append (ex->body, in, (guint)len);
  return 0;
}

int
http_server_callback (struct lws *wsi, enum lws_callback_reasons reason,
                      void *user, void *in, size_t len)
{
  struct session *session = user;

  switch (reason)
    {
    case LWS_CALLBACK_HTTP:
      return request_head (session, wsi);
    case LWS_CALLBACK_HTTP_BODY:
      return request_body (session, in, len);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      if (session->exchange != NULL
          && session->exchange->state == EXCHANGE_RECEIVING)
        exchange_deliver (session->exchange);
      return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      if (session->exchange != NULL)
        return exchange_write (session);
      return 0;
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
    case LWS_CALLBACK_WSI_DESTROY:
      if (session != NULL)
        exchange_close (session, false);
      return 0;
    default:
      return lws_callback_http_dummy (wsi, reason, user, in, len);
    }
}

/* Closes the exchanges whose caller has closed or reset its connection, which
 * libwebsockets does not notice before the answer is written; a half-close
 * counts as leaving. */
static void
sweep_gone (void *user)
{
  struct http_server *server = user;
  guint n = server->exchanges->len;
  struct pollfd *fds;
  struct lws **gone;
  guint gone_count = 0;

  if (n == 0)
    return;
  fds = g_new0 (struct pollfd, n);
  gone = g_new0 (struct lws *, n);
  for (guint i = 0; i < n; i++)
    {
      struct http_exchange *ex = g_ptr_array_index (server->exchanges, i);

      fds[i].fd = -1;
      if (ex->multiplexed || ex->state == EXCHANGE_RECEIVING)
        continue;
      fds[i].fd = lws_get_socket_fd (ex->wsi);
      fds[i].events = POLLRDHUP | (ex->held ? 0 : POLLIN);
    }
  if (poll (fds, n, 0) > 0)
    for (guint i = 0; i < n; i++)
      {
        struct http_exchange *ex = g_ptr_array_index (server->exchanges, i);

        if (fds[i].revents & (POLLRDHUP | POLLHUP | POLLERR))
          gone[gone_count++] = ex->wsi;
        else if (fds[i].revents & POLLIN)
          {
            ex->had_input = true;
            if (http_exchange_pending_bytes (ex) == 0 && !ex->finished)
              exchange_hold (ex, true);
          }
      }
  for (guint i = 0; i < gone_count; i++)
    lws_set_timeout (gone[i], PENDING_TIMEOUT_USER_REASON_BASE,
                     LWS_TO_KILL_SYNC);
  g_free (gone);
  g_free (fds);
}

static void
server_free (struct http_server *server)
{
  loop_timer_stop (server->sweep);
  g_ptr_array_free (server->exchanges, TRUE);
  g_free (server->address);
  g_free (server->cert_file);
  g_free (server->key_file);
  g_free (server);
}

struct http_server *
http_server_create (struct http_context *context,
                    const struct http_server_settings *settings,
                    struct http_handler *handler, struct beryl_error *error)
{
  struct http_server *server = g_new0 (struct http_server, 1);
  struct lws_context_creation_info info = { 0 };
  char name[32];

  server->context = context;
  server->handler = handler;
  server->exchanges = g_ptr_array_new ();
  server->settings = *settings;
  server->address = g_strdup (settings->address);
  server->cert_file = g_strdup (settings->tls_cert_file);
  server->key_file = g_strdup (settings->tls_key_file);
  server->protocols[0] = (struct lws_protocols){ "http", http_server_callback,
                                                 sizeof (struct session), 0 };
  snprintf (name, sizeof name, "server-%p", (void *)server);
  info.vhost_name = name;
  info.port = settings->port;
  info.iface = server->address;
  info.protocols = server->protocols;
  info.user = server;
  info.timeout_secs = settings->header_timeout_s != 0
                          ? settings->header_timeout_s
                          : DEFAULT_HEADER_TIMEOUT_S;
  info.keepalive_timeout = 30;
  info.options = LWS_SERVER_OPTION_LIBUV;
  if (server->cert_file != NULL)
    {
      info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
      info.ssl_cert_filepath = server->cert_file;
      info.ssl_private_key_filepath = server->key_file;
      info.alpn = "h2,http/1.1";
    }
  server->vhost = lws_create_vhost (context->lws, &info);
  if (server->vhost == NULL || lws_get_vhost_listen_port (server->vhost) <= 0)
    {
      beryl_error_set (error, BERYL_ERROR_UNAVAILABLE,
                       "cannot listen on %s port %u", settings->address,
                       settings->port);
      server_free (server);
      return NULL;
    }
  server->sweep = loop_timer_start (context->loop, SWEEP_INTERVAL_MS,
                                    SWEEP_INTERVAL_MS, sweep_gone, server);
  server->next = context->servers;
  context->servers = server;
  return server;
}

void
http_servers_free (struct http_context *context)
{
  while (context->servers != NULL)
    {
      struct http_server *server = context->servers;

      context->servers = server->next;
      server_free (server);
    }
}

uint16_t
http_server_port (const struct http_server *server)
{
  return (uint16_t)lws_get_vhost_listen_port (server->vhost);
}

uint32_t
http_server_open (const struct http_server *server)
{
  return server->exchanges->len;
}

void
http_exchange_set_user (struct http_exchange *ex, void *user)
{
  ex->user = user;
}

void *
http_exchange_user (const struct http_exchange *ex)
{
  return ex->user;
}

const char *
http_exchange_method (const struct http_exchange *ex)
{
  return ex->method;
}

const char *
http_exchange_path (const struct http_exchange *ex)
{
  return ex->path;
}

const char *
http_exchange_query (const struct http_exchange *ex)
{
  return ex->query;
}

const char *
http_exchange_peer (const struct http_exchange *ex)
{
  return ex->peer;
}

const void *
http_exchange_body (const struct http_exchange *ex, size_t *body_bytes)
{
  *body_bytes = ex->body->len;
  return ex->body->data;
}

bool
http_exchange_argument (const struct http_exchange *ex, const char *name,
                        char *value, size_t value_bytes)
{
  size_t n = strlen (name);
  const char *p = ex->query;

  while (p != NULL && *p != '\0')
    {
      const char *end = strchrnul (p, '&');

      if (strncmp (p, name, n) == 0 && p[n] == '=')
        {
          char *raw = g_strndup (p + n + 1, (gsize)(end - p) - n - 1);
          char *plain = g_uri_unescape_string (raw, NULL);

          g_strlcpy (value, plain != NULL ? plain : raw, value_bytes);
          g_free (plain);
          g_free (raw);
          return true;
        }
      p = *end == '&' ? end + 1 : end;
    }
  return false;
}

void
http_exchange_add_header (struct http_exchange *ex, const char *name,
                          const char *value)
{
  /* A line break in a value would let its source forge headers. */
  char *clean = g_strdelimit (g_strdup (value), "\r\n", ' ');

  g_string_append_printf (ex->extra_headers, "%s:\n%s\n", name, clean);
  g_free (clean);
}

void
http_exchange_respond (struct http_exchange *ex, unsigned int status,
                       const char *content_type, const void *body,
                       size_t body_bytes)
{
  if (ex->state != EXCHANGE_WAITING)
    return;
  ex->state = EXCHANGE_STARTED;
  ex->status = status;
  ex->content_type = g_strdup (content_type);
  if (body_bytes > 0)
    g_byte_array_append (ex->out, body, (guint)body_bytes);
  ex->finished = true;
  request_write (ex);
}

void
http_exchange_start (struct http_exchange *ex, unsigned int status,
                     const char *content_type)
{
  if (ex->state != EXCHANGE_WAITING)
    return;
  ex->state = EXCHANGE_STARTED;
  ex->status = status;
  ex->content_type = g_strdup (content_type);
  ex->streamed = true;
  request_write (ex);
}

void
http_exchange_write (struct http_exchange *ex, const void *bytes,
                     size_t bytes_count)
{
  if (ex->finished || bytes_count == 0)
    return;
  if (ex->out_taken > HIGH_WATER_BYTES)
    {
      g_byte_array_remove_range (ex->out, 0, (guint)ex->out_taken);
      ex->out_taken = 0;
    }
  g_byte_array_append (ex->out, bytes, (guint)bytes_count);
  ex->out_since_drained += bytes_count;
  if (http_exchange_pending_bytes (ex) > HIGH_WATER_BYTES)
    ex->above_water = true;
  request_write (ex);
}

void
http_exchange_finish (struct http_exchange *ex)
{
  if (ex->finished)
    return;
  ex->finished = true;
  request_write (ex);
}

static void
abort_now (void *user)
{
  struct http_exchange *ex = user;

  lws_set_timeout (ex->wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                   LWS_TO_KILL_SYNC);
}

/* A connection must not be closed inside its own callback, and a caller that
 * reads nothing never makes its socket writable: hence the timer. */
void
http_exchange_abort (struct http_exchange *ex)
{
  if (ex->aborted)
    return;
  ex->aborted = true;
  ex->abort_timer
      = loop_timer_start (ex->server->context->loop, 0, 0, abort_now, ex);
}

size_t
http_exchange_pending_bytes (const struct http_exchange *ex)
{
  return ex->out->len - ex->out_taken;
}
