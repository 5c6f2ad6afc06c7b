#include <poll.h>
#include <stdio.h>
#include <string.h>

#include "server_private.h"

#define DEFAULT_HEADER_TIMEOUT_S 10
#define SWEEP_INTERVAL_MS 50

/* The per-connection storage that libwebsockets keeps for us. */
struct session
{
  struct http_exchange *exchange;
};

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
  http_exchange_free (ex);
}

static void
exchange_deliver (struct http_exchange *ex)
{
  lws_set_timeout (ex->wsi, NO_PENDING_TIMEOUT, 0);
  ex->state = EXCHANGE_WAITING;
  ex->server->handler->impl->request (ex->server->handler, ex);
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
  if (http_exchange_header (ex, "transfer-encoding"))
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
  ex = http_exchange_create (server_of (wsi), wsi);
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

static int
answer_writable (struct session *session, struct lws *wsi)
{
  struct http_exchange *ex = session->exchange;

  if (ex == NULL)
    return 0;
  switch (http_answer_write (ex))
    {
    case ANSWER_CONTINUES:
      return 0;
    case ANSWER_FAILED:
      return -1;
    case ANSWER_WHOLE:
      break;
    }
  http_answer_hold (ex, false);
  exchange_close (session, true);
  return lws_http_transaction_completed (wsi) != 0 ? -1 : 0;
}

int
http_server_callback (struct lws *wsi, enum lws_callback_reasons reason,
                      void *user, void *in, size_t len)
{
  struct session *session = user;

  switch (reason)
    {
    case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
      /* The library's own limit for a connection that says nothing is that
       * of the whole context, which must suit long calls of clients too. */
      lws_set_timeout (wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                       (int)server_of (wsi)->settings.header_timeout_s);
      return 0;
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
      return answer_writable (session, wsi);
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

/* A body that comes slowly or never would hold its buffer for ever. */
static bool
is_too_slow (const struct http_exchange *ex, int64_t now_ms)
{
  return ex->state == EXCHANGE_RECEIVING
         && now_ms - ex->begun_ms
                > (int64_t)ex->server->settings.header_timeout_s * 1000;
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
  int64_t now_ms = loop_now_ms (server->context->loop);

  if (n == 0)
    return;
  fds = g_new0 (struct pollfd, n);
  gone = g_new0 (struct lws *, n);
  for (guint i = 0; i < n; i++)
    {
      struct http_exchange *ex = g_ptr_array_index (server->exchanges, i);

      fds[i].fd = -1;
      if (is_too_slow (ex, now_ms))
        gone[gone_count++] = ex->wsi;
      if (ex->state == EXCHANGE_RECEIVING)
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
              http_answer_hold (ex, true);
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
  if (settings->header_timeout_s == 0)
    server->settings.header_timeout_s = DEFAULT_HEADER_TIMEOUT_S;
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
  info.timeout_secs_ah_idle = server->settings.header_timeout_s;
  info.keepalive_timeout = 30;
  info.options = LWS_SERVER_OPTION_LIBUV;
  if (server->cert_file != NULL)
    {
      info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
      info.ssl_cert_filepath = server->cert_file;
      info.ssl_private_key_filepath = server->key_file;
      /* libwebsockets 4.1 drops the headers it does not know from HTTP/2
       * requests.  A lost Idempotency-Key would let a call run twice without
       * anybody noticing, so that HTTP/2 is not offered. */
      info.alpn = "http/1.1";
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
