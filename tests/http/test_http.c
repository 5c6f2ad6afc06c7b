#include <glib.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "http/client.h"
#include "http/server.h"
#include "../suite.h"

/* A server that echoes, streams, cuts or stays silent, as the path says. */
struct echo
{
  struct http_handler base;
  uint32_t closed_whole;
  uint32_t closed_early;
  char header[64];
};

struct result
{
  struct http_call_handler base;
  struct loop *loop;
  GString *body;
  unsigned int status;
  uint32_t done;
  uint32_t failed;
  uint32_t wanted;
  bool sent;
};

static void
echo_request (struct http_handler *handler, struct http_exchange *ex)
{
  struct echo *echo = (struct echo *)handler;
  const char *path = http_exchange_path (ex);
  const char *header = http_exchange_header (ex, "x-request-id");
  size_t n;
  const void *body = http_exchange_body (ex, &n);

  if (header != NULL)
    g_strlcpy (echo->header, header, sizeof echo->header);
  if (strcmp (path, "/echo") == 0)
    {
      char *text = g_strdup_printf ("%s %s %.*s", http_exchange_method (ex),
                                    http_exchange_query (ex), (int)n,
                                    (const char *)body);

      http_exchange_add_header (ex, "x-request-id", "back");
      http_exchange_respond (ex, 201, "text/plain", text, strlen (text));
      g_free (text);
    }
  else if (strcmp (path, "/count") == 0)
    {
      char *text = g_strdup_printf ("%zu", n);

      http_exchange_respond (ex, 200, "text/plain", text, strlen (text));
      g_free (text);
    }
  else if (strcmp (path, "/stream") == 0)
    {
      http_exchange_start (ex, 200, "text/event-stream");
      for (int i = 0; i < 1000; i++)
        http_exchange_write (ex,
                             "0123456789012345678901234567890123456789"
                             "012345678901234567890123456789012345678\n",
                             80);
      http_exchange_finish (ex);
    }
  else if (strcmp (path, "/cut") == 0)
    {
      http_exchange_start (ex, 200, "text/plain");
      http_exchange_write (ex, "half", 4);
    }
}

static void
echo_drained (struct http_handler *handler, struct http_exchange *ex)
{
}

static void
echo_closed (struct http_handler *handler, struct http_exchange *ex,
             bool whole)
{
  struct echo *echo = (struct echo *)handler;

  if (whole)
    echo->closed_whole++;
  else
    echo->closed_early++;
}

static const struct http_handler_impl echo_impl = {
  .request = echo_request,
  .drained = echo_drained,
  .closed = echo_closed,
};

static void
result_end (struct result *result)
{
  if (result->done + result->failed == result->wanted)
    loop_quit (result->loop);
}

static void
result_data (struct http_call_handler *handler, struct http_call *call,
             const void *bytes, size_t n)
{
  struct result *result = (struct result *)handler;

  g_string_append_len (result->body, bytes, (gssize)n);
}

static void
result_done (struct http_call_handler *handler, struct http_call *call)
{
  struct result *result = (struct result *)handler;

  result->done++;
  result->status = http_call_status (call);
  result_end (result);
}

static void
result_failed (struct http_call_handler *handler, struct http_call *call,
               bool sent, const char *reason)
{
  struct result *result = (struct result *)handler;

  result->failed++;
  result->sent = sent;
  result_end (result);
}

static const struct http_call_handler_impl result_impl = {
  .data = result_data,
  .done = result_done,
  .failed = result_failed,
};

struct fixture
{
  struct loop *loop;
  struct http_context *context;
  struct http_server *server;
  struct echo echo;
  struct result result;
};

static struct fixture fx;

static void
set_up (void)
{
  struct http_server_settings settings = {
    .address = "127.0.0.1",
    .max_body_bytes = 1 << 20,
  };
  struct beryl_error error = { 0 };

  memset (&fx, 0, sizeof fx);
  fx.loop = loop_create ();
  fx.context = http_context_create (fx.loop, NULL);
  fx.echo.base.impl = &echo_impl;
  fx.server
      = http_server_create (fx.context, &settings, &fx.echo.base, &error);
  ck_assert_msg (fx.server != NULL, "%s", error.message);
  fx.result.base.impl = &result_impl;
  fx.result.loop = fx.loop;
  fx.result.body = g_string_new (NULL);
  fx.result.wanted = 1;
}

static void
tear_down (void)
{
  http_context_destroy (fx.context);
  loop_destroy (fx.loop);
  g_string_free (fx.result.body, TRUE);
}

static struct http_call *
start (const char *method, const char *path, const char *body,
       size_t body_bytes, uint16_t port)
{
  struct http_header header = { "x-request-id", "r-1" };
  struct http_request request = {
    .method = method,
    .address = "127.0.0.1",
    .port = port,
    .path = path,
    .headers = &header,
    .header_count = 1,
    .body = body,
    .body_bytes = body_bytes,
    .timeout_ms = 3000,
  };

  return http_call_start (fx.context, &request, &fx.result.base);
}

START_TEST (methods_bodies_and_headers_arrive)
{
  static const char *const all[] = { "GET", "POST", "PUT", "DELETE", "PATCH" };

  for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
    {
      char *want = g_strdup_printf ("%s a=1&b=2 %s", all[i],
                                    i == 0 || i == 3 ? "" : "hello");

      fx.result.done = 0;
      g_string_truncate (fx.result.body, 0);
      start (all[i], "/echo?a=1&b=2", "hello", i == 0 || i == 3 ? 0 : 5,
             http_server_port (fx.server));
      loop_run (fx.loop);
      ck_assert_uint_eq (fx.result.done, 1);
      ck_assert_uint_eq (fx.result.status, 201);
      ck_assert_str_eq (fx.result.body->str, want);
      ck_assert_str_eq (fx.echo.header, "r-1");
      g_free (want);
    }
  ck_assert_uint_eq (fx.echo.closed_whole, G_N_ELEMENTS (all));
}
END_TEST

START_TEST (large_bodies_arrive_whole)
{
  char *body = g_strnfill (900000, 'x');

  start ("POST", "/count", body, 900000, http_server_port (fx.server));
  loop_run (fx.loop);
  ck_assert_str_eq (fx.result.body->str, "900000");
  g_free (body);
}
END_TEST

START_TEST (oversized_body_is_refused)
{
  char *body = g_strnfill (1500000, 'x');

  start ("POST", "/count", body, 1500000, http_server_port (fx.server));
  loop_run (fx.loop);
  ck_assert (fx.result.failed == 1 || fx.result.status == 413);
  g_free (body);
}
END_TEST

START_TEST (streams_arrive_whole)
{
  start ("GET", "/stream", NULL, 0, http_server_port (fx.server));
  loop_run (fx.loop);
  ck_assert_uint_eq (fx.result.done, 1);
  ck_assert_uint_eq (fx.result.body->len, 80000);
}
END_TEST

/* An operator sees control stay far below its 2 KB a second while it moves
 * more: heads, and calls that were cancelled, were not in any count. */
START_TEST (traffic_of_calls_is_counted)
{
  char *body = g_strnfill (900000, 'x');
  struct http_traffic before = http_context_client_traffic (fx.context);
  struct http_traffic after;

  ck_assert_uint_eq (before.sent_bytes, 0);
  start ("POST", "/count", body, 900000, http_server_port (fx.server));
  loop_run (fx.loop);
  after = http_context_client_traffic (fx.context);
  ck_assert_uint_gt (after.sent_bytes, 900000 + 100);
  ck_assert_uint_lt (after.sent_bytes, 900000 + 1000);
  ck_assert_uint_gt (after.received_bytes, strlen ("900000") + 30);
  ck_assert_uint_lt (after.received_bytes, 1000);
  before = after;
  fx.result.done = 0;
  start ("GET", "/stream", NULL, 0, http_server_port (fx.server));
  loop_run (fx.loop);
  after = http_context_client_traffic (fx.context);
  ck_assert_uint_gt (after.received_bytes - before.received_bytes, 80000);
  ck_assert_uint_lt (after.sent_bytes - before.sent_bytes, 1000);
  g_free (body);
}
END_TEST

/* A caller reads half an answer and the server dies.  The connection closes
 * without the last chunk; the client must report a failure and not take the
 * half for the whole. */
static void
abort_server_side (void *user)
{
  http_context_destroy (fx.context);
  fx.context = NULL;
}

START_TEST (half_an_answer_is_a_failure)
{
  struct loop_timer *timer;

  start ("GET", "/cut", NULL, 0, http_server_port (fx.server));
  timer = loop_timer_start (fx.loop, 100, 0, abort_server_side, NULL);
  loop_run (fx.loop);
  loop_timer_stop (timer);
  ck_assert_uint_eq (fx.result.done, 0);
  ck_assert_uint_eq (fx.result.failed, 1);
  ck_assert (fx.result.sent);
}
END_TEST

START_TEST (refused_connection_sent_nothing)
{
  start ("GET", "/echo", NULL, 0, 1);
  loop_run (fx.loop);
  ck_assert_uint_eq (fx.result.failed, 1);
  ck_assert (!fx.result.sent);
}
END_TEST

static void
cancel_call (void *user)
{
  http_call_cancel (user);
}

static void
quit (void *user)
{
  loop_quit (fx.loop);
}

/* A caller goes away while the endpoint still works.  Closing the connection
 * is the cancel; the endpoint's side must see it at once. */
START_TEST (cancel_closes_the_exchange)
{
  struct http_call *call
      = start ("GET", "/silent", NULL, 0, http_server_port (fx.server));
  struct loop_timer *cancel
      = loop_timer_start (fx.loop, 50, 0, cancel_call, call);
  struct loop_timer *stop = loop_timer_start (fx.loop, 200, 0, quit, NULL);

  loop_run (fx.loop);
  loop_timer_stop (cancel);
  loop_timer_stop (stop);
  ck_assert_uint_eq (fx.echo.closed_early, 1);
  ck_assert_uint_eq (fx.result.done + fx.result.failed, 0);
  ck_assert_uint_gt (http_context_client_traffic (fx.context).sent_bytes, 50);
}
END_TEST

START_TEST (many_calls_leave_nothing_open)
{
  fx.result.wanted = 500;
  for (int i = 0; i < 500; i++)
    start ("POST", "/count", "abc", 3, http_server_port (fx.server));
  loop_run (fx.loop);
  ck_assert_uint_eq (fx.result.done, 500);
  ck_assert_uint_eq (http_server_open (fx.server), 0);
}
END_TEST

/* Writes a certificate for 127.0.0.1 and its key. */
static void
write_certificate (const char *cert_file, const char *key_file)
{
  EVP_PKEY *key = EVP_EC_gen ("prime256v1");
  X509 *cert = X509_new ();
  X509_EXTENSION *names
      = X509V3_EXT_conf_nid (NULL, NULL, NID_subject_alt_name, "IP:127.0.0.1");
  FILE *file;

  X509_set_version (cert, X509_VERSION_3);
  ASN1_INTEGER_set (X509_get_serialNumber (cert), 1);
  X509_gmtime_adj (X509_getm_notBefore (cert), -3600);
  X509_gmtime_adj (X509_getm_notAfter (cert), 86400);
  X509_set_pubkey (cert, key);
  X509_NAME_add_entry_by_txt (X509_get_subject_name (cert), "CN", MBSTRING_ASC,
                              (const unsigned char *)"127.0.0.1", -1, -1, 0);
  X509_set_issuer_name (cert, X509_get_subject_name (cert));
  X509_add_ext (cert, names, -1);
  ck_assert_int_gt (X509_sign (cert, key, EVP_sha256 ()), 0);
  file = fopen (cert_file, "w");
  ck_assert_ptr_nonnull (file);
  PEM_write_X509 (file, cert);
  fclose (file);
  file = fopen (key_file, "w");
  ck_assert_ptr_nonnull (file);
  PEM_write_PrivateKey (file, key, NULL, NULL, 0, NULL, NULL);
  fclose (file);
  X509_EXTENSION_free (names);
  X509_free (cert);
  EVP_PKEY_free (key);
}

/* Guards against calls over TLS that lose a long request or answer, and
 * against a server that is believed without the certificate. */
START_TEST (tls_calls_arrive_whole)
{
  char *dir = g_dir_make_tmp ("http-XXXXXX", NULL);
  char *cert_file = g_build_filename (dir, "cert.pem", NULL);
  char *key_file = g_build_filename (dir, "key.pem", NULL);
  struct http_server_settings settings = { .address = "127.0.0.1",
                                           .max_body_bytes = 1 << 20,
                                           .tls_cert_file = cert_file,
                                           .tls_key_file = key_file };
  struct http_request request = { .method = "POST",
                                  .address = "127.0.0.1",
                                  .path = "/count",
                                  .timeout_ms = 3000,
                                  .tls = true,
                                  .tls_host = "127.0.0.1" };
  struct beryl_error error = { 0 };
  char *body = g_strnfill (900000, 'x');

  write_certificate (cert_file, key_file);
  http_context_destroy (fx.context);
  fx.context = http_context_create (fx.loop, _i == 0 ? cert_file : NULL);
  fx.server
      = http_server_create (fx.context, &settings, &fx.echo.base, &error);
  ck_assert_msg (fx.server != NULL, "%s", error.message);
  request.port = http_server_port (fx.server);
  request.body = body;
  request.body_bytes = 900000;
  http_call_start (fx.context, &request, &fx.result.base);
  loop_run (fx.loop);
  ck_assert_uint_eq (fx.result.done, _i == 0);
  ck_assert_uint_eq (fx.result.failed, _i == 1);
  if (_i == 0)
    ck_assert_str_eq (fx.result.body->str, "900000");
  unlink (cert_file);
  unlink (key_file);
  rmdir (dir);
  g_free (body);
  g_free (cert_file);
  g_free (key_file);
  g_free (dir);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("http");
  TCase *tc = tcase_create ("http");

  tcase_add_checked_fixture (tc, set_up, tear_down);
  tcase_set_timeout (tc, 20);
  tcase_add_test (tc, methods_bodies_and_headers_arrive);
  tcase_add_test (tc, large_bodies_arrive_whole);
  tcase_add_test (tc, oversized_body_is_refused);
  tcase_add_test (tc, streams_arrive_whole);
  tcase_add_test (tc, traffic_of_calls_is_counted);
  tcase_add_test (tc, half_an_answer_is_a_failure);
  tcase_add_loop_test (tc, tls_calls_arrive_whole, 0, 2);
  tcase_add_test (tc, refused_connection_sent_nothing);
  tcase_add_test (tc, cancel_closes_the_exchange);
  tcase_add_test (tc, many_calls_leave_nothing_open);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
