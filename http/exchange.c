#include <stdio.h>
#include <string.h>

#include "server_private.h"

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

struct http_exchange *
http_exchange_create (struct http_server *server, struct lws *wsi)
{
  struct http_exchange *ex = g_new0 (struct http_exchange, 1);

  ex->server = server;
  ex->wsi = wsi;
  ex->begun_ms = loop_now_ms (server->context->loop);
  ex->headers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  ex->body = g_byte_array_new ();
  ex->out = g_byte_array_new ();
  ex->extra_headers = g_string_new (NULL);
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

void
http_exchange_free (struct http_exchange *ex)
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
