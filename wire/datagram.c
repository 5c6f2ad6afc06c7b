#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "wire/link.h"

#define SHA256_BYTES 32
#define RECEIVE_BYTES 2048
/* Datagrams that are read at once beside each of the 32 that libuv reads in a
 * turn; a flood must not keep everything else out. */
#define READ_AHEAD 15

struct datagram
{
  uv_udp_t udp;
  datagram_cb *cb;
  void *user;
  EVP_MAC_CTX *keys[DATAGRAM_KEYS_MAX]; /* each keyed once, then reused */
  uint32_t key_count;
  uint16_t port;
  uint64_t received_total;
  uint64_t sent_total;
  uint64_t refused;
  char buffer[RECEIVE_BYTES];
  unsigned char sealed[DATAGRAM_MAX_BYTES + DATAGRAM_MAC_BYTES];
  size_t sealed_bytes; /* 0: none */
};

/** Compute the MAC of BYTES under KEY.  Fetching the algorithm takes longer
 * than the hash of a datagram, so that the context keeps it and the key. */
static bool
mac_compute (EVP_MAC_CTX *key, const void *bytes, size_t bytes_count,
             unsigned char mac[SHA256_BYTES])
{
  size_t length = 0;

  return EVP_MAC_init (key, NULL, 0, NULL) == 1
         && EVP_MAC_update (key, bytes, bytes_count) == 1
         && EVP_MAC_final (key, mac, &length, SHA256_BYTES) == 1
         && length == SHA256_BYTES;
}

/** Return a context that holds KEY; NULL if the library has none. */
static EVP_MAC_CTX *
mac_create (const void *key, size_t key_bytes)
{
  char digest[] = "SHA256";
  const OSSL_PARAM params[]
      = { OSSL_PARAM_construct_utf8_string (OSSL_MAC_PARAM_DIGEST, digest, 0),
          OSSL_PARAM_construct_end () };
  EVP_MAC *mac = EVP_MAC_fetch (NULL, "HMAC", NULL);
  EVP_MAC_CTX *context = mac != NULL ? EVP_MAC_CTX_new (mac) : NULL;

  EVP_MAC_free (mac);
  if (context != NULL && EVP_MAC_init (context, key, key_bytes, params) == 1)
    return context;
  EVP_MAC_CTX_free (context);
  return NULL;
}

/** Whether one of the keys gives the MAC that follows BYTES.  Guards against
 * anybody who can reach the port declaring a node dead. */
static bool
mac_matches (const struct datagram *d, const unsigned char *bytes,
             size_t bytes_count)
{
  for (uint32_t i = 0; i < d->key_count; i++)
    {
      unsigned char mac[SHA256_BYTES];

      if (mac_compute (d->keys[i], bytes, bytes_count, mac)
          && CRYPTO_memcmp (mac, bytes + bytes_count, DATAGRAM_MAC_BYTES) == 0)
        return true;
    }
  return false;
}

static void
receive_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  struct datagram *d = handle->data;

  *buffer = uv_buf_init (d->buffer, sizeof d->buffer);
}

/** Strip the MAC; false if it is missing or wrong. */
static bool
authenticate (const struct datagram *d, const unsigned char *bytes,
              size_t *bytes_count)
{
  if (d->key_count == 0)
    return true;
  if (*bytes_count < DATAGRAM_MAC_BYTES)
    return false;
  *bytes_count -= DATAGRAM_MAC_BYTES;
  return mac_matches (d, bytes, *bytes_count);
}

static uint16_t
address_port (const struct sockaddr *address)
{
  if (address->sa_family == AF_INET6)
    return ntohs (((const struct sockaddr_in6 *)address)->sin6_port);
  return ntohs (((const struct sockaddr_in *)address)->sin_port);
}

static void
take (struct datagram *d, const char *bytes, size_t bytes_count,
      const struct sockaddr *address)
{
  char name[64] = "";
  struct frame *frame;

  d->received_total += bytes_count;
  if (!authenticate (d, (const unsigned char *)bytes, &bytes_count)
      || !(frame = frame_parse (bytes, bytes_count, NULL)))
    {
      d->refused++;
      return;
    }
  uv_ip_name (address, name, sizeof name);
  d->cb (d->user, frame, name, address_port (address));
  frame_destroy (frame);
}

/** Take what else is waiting: timers that judge silence run behind libuv's
 * read, which leaves the rest of a burst unread. */
static void
take_waiting (struct datagram *d)
{
  struct sockaddr_in6 address = { 0 }; /* or one of IPv4, which is smaller */
  uv_os_fd_t fd;

  for (uint32_t i = 0; i < READ_AHEAD; i++)
    {
      socklen_t length = sizeof address;
      ssize_t count;

      if (uv_is_closing ((uv_handle_t *)&d->udp)
          || uv_fileno ((uv_handle_t *)&d->udp, &fd) != 0)
        return;
      count = recvfrom (fd, d->buffer, sizeof d->buffer, MSG_DONTWAIT,
                        (struct sockaddr *)&address, &length);
      if (count < 0)
        return;
      if (count > 0)
        take (d, d->buffer, (size_t)count, (struct sockaddr *)&address);
    }
}

static void
received (uv_udp_t *udp, ssize_t count, const uv_buf_t *buffer,
          const struct sockaddr *address, unsigned int flags)
{
  struct datagram *d = udp->data;

  if (count <= 0 || !address)
    return;
  take (d, buffer->base, (size_t)count, address);
  take_waiting (d);
}

/** Read an IP number and port into STORAGE. */
static bool
address_parse (const char *address, uint16_t port,
               struct sockaddr_storage *storage)
{
  return uv_ip4_addr (address, port, (struct sockaddr_in *)storage) == 0
         || uv_ip6_addr (address, port, (struct sockaddr_in6 *)storage) == 0;
}

static uint16_t
bound_port (const uv_udp_t *udp)
{
  struct sockaddr_storage storage;
  int length = sizeof storage;

  if (uv_udp_getsockname (udp, (struct sockaddr *)&storage, &length) != 0)
    return 0;
  return address_port ((struct sockaddr *)&storage);
}

struct datagram *
datagram_open (struct loop *loop, const char *address, uint16_t port,
               datagram_cb *cb, void *user, struct beryl_error *error)
{
  struct sockaddr_storage storage = { 0 };
  struct datagram *d;
  int status;

  if (!address_parse (address, port, &storage))
    {
      beryl_error_set (error, BERYL_ERROR_INVALID,
                       "\"%s\" is not an IP number", address);
      return NULL;
    }
  d = calloc (1, sizeof *d);
  d->cb = cb;
  d->user = user;
  uv_udp_init (loop_uv (loop), &d->udp);
  d->udp.data = d;
  status = uv_udp_bind (&d->udp, (const struct sockaddr *)&storage, 0);
  if (status == 0)
    status = uv_udp_recv_start (&d->udp, receive_alloc, received);
  if (status == 0)
    {
      d->port = bound_port (&d->udp);
      return d;
    }
  beryl_error_set (error, BERYL_ERROR_UNAVAILABLE, "bind %s:%u: %s", address,
                   port, uv_strerror (status));
  datagram_close (d);
  return NULL;
}

bool
datagram_add_key (struct datagram *d, const void *key, size_t key_bytes)
{
  EVP_MAC_CTX *context;

  if (d->key_count == DATAGRAM_KEYS_MAX || key_bytes > DATAGRAM_KEY_MAX_BYTES)
    return false;
  context = mac_create (key, key_bytes);
  if (context == NULL)
    return false;
  d->keys[d->key_count++] = context;
  return true;
}

void
datagram_clear_keys (struct datagram *d)
{
  for (uint32_t i = 0; i < d->key_count; i++)
    EVP_MAC_CTX_free (d->keys[i]);
  d->key_count = 0;
}

bool
datagram_seal (struct datagram *d, struct frame_writer *writer)
{
  unsigned char mac[SHA256_BYTES];
  size_t bytes_count;
  const void *bytes = frame_writer_finish (writer, &bytes_count);

  d->sealed_bytes = 0;
  if (!bytes || bytes_count > DATAGRAM_MAX_BYTES)
    return false;
  memcpy (d->sealed, bytes, bytes_count);
  if (d->key_count > 0)
    {
      if (!mac_compute (d->keys[0], bytes, bytes_count, mac))
        return false;
      memcpy (d->sealed + bytes_count, mac, DATAGRAM_MAC_BYTES);
      bytes_count += DATAGRAM_MAC_BYTES;
    }
  d->sealed_bytes = bytes_count;
  return true;
}

bool
datagram_send_sealed (struct datagram *d, const char *address, uint16_t port)
{
  struct sockaddr_storage storage = { 0 };
  uv_buf_t buffer
      = uv_buf_init ((char *)d->sealed, (unsigned int)d->sealed_bytes);
  int sent;

  if (d->sealed_bytes == 0 || !address_parse (address, port, &storage))
    return false;
  sent = uv_udp_try_send (&d->udp, &buffer, 1,
                          (const struct sockaddr *)&storage);
  if (sent < 0)
    return false;
  d->sent_total += (uint64_t)sent;
  return true;
}

bool
datagram_send (struct datagram *d, const char *address, uint16_t port,
               struct frame_writer *writer)
{
  return datagram_seal (d, writer) && datagram_send_sealed (d, address, port);
}

uint16_t
datagram_port (const struct datagram *d)
{
  return d->port;
}

uint64_t
datagram_received_bytes (const struct datagram *d)
{
  return d->received_total;
}

uint64_t
datagram_sent_bytes (const struct datagram *d)
{
  return d->sent_total;
}

uint64_t
datagram_refused (const struct datagram *d)
{
  return d->refused;
}

static void
datagram_freed (uv_handle_t *handle)
{
  struct datagram *d = handle->data;

  datagram_clear_keys (d);
  free (d);
}

void
datagram_close (struct datagram *d)
{
  if (d)
    uv_close ((uv_handle_t *)&d->udp, datagram_freed);
}
