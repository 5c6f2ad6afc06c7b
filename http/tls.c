#include "tls.h"

#include <arpa/inet.h>
#include <glib.h>
#include <openssl/err.h>

struct http_tls
{
  SSL *ssl;
  BIO *in;  /* received, owned by ssl */
  BIO *out; /* to be sent, owned by ssl */
};

SSL_CTX *
http_tls_context_create (const char *ca_file)
{
  SSL_CTX *context = SSL_CTX_new (TLS_client_method ());

  if (context == NULL)
    return NULL;
  SSL_CTX_set_verify (context, SSL_VERIFY_PEER, NULL);
  SSL_CTX_set_min_proto_version (context, TLS1_2_VERSION);
  if (ca_file == NULL)
    SSL_CTX_set_default_verify_paths (context);
  else if (SSL_CTX_load_verify_locations (context, ca_file, NULL) != 1)
    {
      SSL_CTX_free (context);
      return NULL;
    }
  return context;
}

struct http_tls *
http_tls_create (SSL_CTX *context, const char *host)
{
  struct http_tls *tls = g_new0 (struct http_tls, 1);
  struct in6_addr number;

  tls->ssl = SSL_new (context);
  tls->in = BIO_new (BIO_s_mem ());
  tls->out = BIO_new (BIO_s_mem ());
  SSL_set_bio (tls->ssl, tls->in, tls->out);
  SSL_set_connect_state (tls->ssl);
  if (inet_pton (AF_INET, host, &number) == 1
      || inet_pton (AF_INET6, host, &number) == 1)
    X509_VERIFY_PARAM_set1_ip_asc (SSL_get0_param (tls->ssl), host);
  else
    {
      SSL_set_tlsext_host_name (tls->ssl, host);
      SSL_set1_host (tls->ssl, host);
    }
  SSL_do_handshake (tls->ssl);
  ERR_clear_error ();
  return tls;
}

void
http_tls_destroy (struct http_tls *tls)
{
  if (tls == NULL)
    return;
  SSL_free (tls->ssl);
  g_free (tls);
}

/* Whether RESULT of a call only says that more bytes are needed. */
static bool
wants_more (const struct http_tls *tls, int result)
{
  int error = SSL_get_error (tls->ssl, result);

  ERR_clear_error ();
  return error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE;
}

bool
http_tls_receive (struct http_tls *tls, const char *bytes, size_t bytes_count)
{
  int result;

  if (BIO_write (tls->in, bytes, (int)bytes_count) != (int)bytes_count)
    return false;
  if (http_tls_ready (tls))
    return true;
  result = SSL_do_handshake (tls->ssl);
  return result == 1 || wants_more (tls, result);
}

int
http_tls_read (struct http_tls *tls, char *bytes, size_t bytes_count)
{
  int result;

  if (!http_tls_ready (tls))
    return 0;
  result = SSL_read (tls->ssl, bytes, (int)bytes_count);
  if (result > 0)
    return result;
  return wants_more (tls, result) || http_tls_closed (tls) ? 0 : -1;
}

bool
http_tls_ready (const struct http_tls *tls)
{
  return SSL_is_init_finished (tls->ssl);
}

bool
http_tls_write (struct http_tls *tls, const char *bytes, size_t bytes_count)
{
  return SSL_write (tls->ssl, bytes, (int)bytes_count) == (int)bytes_count;
}

size_t
http_tls_take (struct http_tls *tls, unsigned char *bytes, size_t bytes_count)
{
  int taken = BIO_read (tls->out, bytes, (int)bytes_count);

  return taken > 0 ? (size_t)taken : 0;
}

bool
http_tls_pending (const struct http_tls *tls)
{
  return BIO_ctrl_pending (tls->out) > 0;
}

bool
http_tls_closed (const struct http_tls *tls)
{
  return (SSL_get_shutdown (tls->ssl) & SSL_RECEIVED_SHUTDOWN) != 0;
}
