#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdlib.h>
#include <string.h>

#include "wire/link.h"

#define SHA256_BYTES 32
#define RECEIVE_BYTES 2048

struct key
{
  unsigned char bytes[DATAGRAM_KEY_MAX_BYTES];
  int bytes_count;
};

struct datagram
{
  uv_udp_t udp;
  datagram_cb *cb;
  void *user;
  struct key keys[DATAGRAM_KEYS_MAX];
  uint32_t key_count;
  uint16_t port;
  uint64_t received_total;
  uint64_t sent_total;
  uint64_t refused;
  char buffer[RECEIVE_BYTES];
};

static void
mac_compute (const struct key *key, const void *bytes, size_t bytes_count,
             unsigned char mac[SHA256_BYTES])
{
  unsigned int length = 0;

  HMAC (EVP_sha256 (), key->bytes, key->bytes_count, bytes, bytes_count, mac,
        &length);
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

      mac_compute (&d->keys[i], bytes, bytes_count, mac);
      if (CRYPTO_memcmp (mac, bytes + bytes_count, DATAGRAM_MAC_BYTES) == 0)
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
received (uv_udp_t *udp, ssize_t count, const uv_buf_t *buffer,
          const struct sockaddr *address, unsigned int flags)
{
  struct datagram *d = udp->data;
  size_t bytes_count = (size_t)count;
  char name[64] = "";
  struct frame *frame;

  if (count <= 0 || !address)
    return;
  d->received_total += bytes_count;
  if (!authenticate (d, (const unsigned char *)buffer->base, &bytes_count)
      || !(frame = frame_parse (buffer->base, bytes_count, NULL)))
    {
      d->refused++;
      return;
    }
  uv_ip_name (address, name, sizeof name);
  d->cb (d->user, frame, name, address_port (address));
  frame_destroy (frame);
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
  struct key *k = &d->keys[d->key_count];

  if (d->key_count == DATAGRAM_KEYS_MAX || key_bytes > sizeof k->bytes)
    return false;
  memcpy (k->bytes, key, key_bytes);
  k->bytes_count = (int)key_bytes;
  d->key_count++;
  return true;
}

void
datagram_clear_keys (struct datagram *d)
{
  OPENSSL_cleanse (d->keys, sizeof d->keys);
  d->key_count = 0;
}

bool
datagram_send (struct datagram *d, const char *address, uint16_t port,
               struct frame_writer *writer)
{
  struct sockaddr_storage storage = { 0 };
  unsigned char mac[SHA256_BYTES];
  size_t bytes_count;
  const void *bytes = frame_writer_finish (writer, &bytes_count);
  uv_buf_t buffers[2];
  unsigned int buffer_count = 1;
  int sent;

  if (!bytes || bytes_count > DATAGRAM_MAX_BYTES
      || !address_parse (address, port, &storage))
    return false;
  buffers[0] = uv_buf_init ((char *)bytes, (unsigned int)bytes_count);
  if (d->key_count > 0)
    {
      mac_compute (&d->keys[0], bytes, bytes_count, mac);
      buffers[1] = uv_buf_init ((char *)mac, DATAGRAM_MAC_BYTES);
      buffer_count = 2;
    }
  sent = uv_udp_try_send (&d->udp, buffers, buffer_count,
                          (const struct sockaddr *)&storage);
  if (sent < 0)
    return false;
  d->sent_total += (uint64_t)sent;
  return true;
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
