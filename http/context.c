#include "private.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEADER_BYTES 4096
#define HEADER_POOL 8192
#define SERVICE_BUFFER_BYTES 16384
#define LIBRARY_TIMEOUT_S 86400
#define CLOSING_TURNS 10

static void
forward_log (int level, const char *line)
{
  size_t n = strlen (line);

  while (n > 0 && line[n - 1] == '\n')
    n--;
  g_debug ("libwebsockets: %.*s", (int)n, line);
}

/* On a machine without IPv6 the library opens no socket at all unless it is
 * told so. */
static uint64_t
address_options (void)
{
  int fd = socket (AF_INET6, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return LWS_SERVER_OPTION_DISABLE_IPV6;
  close (fd);
  return 0;
}

struct http_context *
http_context_create (struct loop *loop, const char *ca_file)
{
  static const struct lws_protocols client_protocols[] = {
    { "http", http_client_callback, 0, 0 },
    { NULL, NULL, 0, 0 },
  };
  struct http_context *context = g_new0 (struct http_context, 1);
  struct lws_context_creation_info info = { 0 };
  void *loops[] = { loop_uv (loop) };

  lws_set_log_level (LLL_ERR, forward_log);
  info.options = LWS_SERVER_OPTION_LIBUV | LWS_SERVER_OPTION_EXPLICIT_VHOSTS
                 | LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT | address_options ();
  info.foreign_loops = loops;
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.max_http_header_data = HEADER_BYTES;
  info.max_http_header_pool = HEADER_POOL;
  info.pt_serv_buf_size = SERVICE_BUFFER_BYTES;
  info.user = context;
  /* The library would end a client's call that waits longer than this for
   * its answer, 20 s by default; each call has a limit of its own. */
  info.timeout_secs = LIBRARY_TIMEOUT_S;
  context->loop = loop;
  context->lws = lws_create_context (&info);
  if (context->lws == NULL)
    {
      g_free (context);
      return NULL;
    }
  info.protocols = client_protocols;
  info.vhost_name = "client";
  context->ca_file = g_strdup (ca_file);
  context->client_vhost = lws_create_vhost (context->lws, &info);
  return context;
}

static void
run_closing (struct http_context *context)
{
  for (int i = 0; i < CLOSING_TURNS; i++)
    uv_run (loop_uv (context->loop), UV_RUN_NOWAIT);
}

void
http_context_destroy (struct http_context *context)
{
  if (context == NULL)
    return;
  /* On a foreign libuv loop the first call only closes the handles; the
   * memory goes with a second call, after the loop has reported them. */
  lws_context_destroy (context->lws);
  run_closing (context);
  lws_context_destroy (context->lws);
  run_closing (context);
  http_servers_free (context);
  SSL_CTX_free (context->client_tls);
  g_free (context->ca_file);
  g_free (context);
}

SSL_CTX *
http_context_client_tls (struct http_context *context)
{
  if (context->client_tls == NULL)
    context->client_tls = http_tls_context_create (context->ca_file);
  return context->client_tls;
}

struct http_traffic
http_context_client_traffic (const struct http_context *context)
{
  return context->traffic;
}
