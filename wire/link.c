#include "wire/link.h"

#include <stdlib.h>
#include <string.h>

/** Smallest receive buffer. */
#define RECEIVE_MIN_BYTES 4096
#define LISTEN_BACKLOG 512
#define PEER_BYTES 64

struct link
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  struct link_handler *handler;
  void *user;
  char peer[PEER_BYTES];
  unsigned char *received; /**< bytes of frames that are not whole yet */
  size_t received_size;
  size_t received_capacity;
  uint64_t received_total;
  uint64_t sent_total;
  bool connected;
  bool refused;
  bool closing;
};

struct link_listener
{
  uv_tcp_t tcp;
  link_accept_cb *cb;
  void *user;
  uint16_t port;
};

/** A frame that waits for the kernel. */
struct send
{
  uv_write_t request;
  struct link *link;
  char bytes[];
};

static void
link_freed (uv_handle_t *handle)
{
  struct link *l = handle->data;

  free (l->received);
  free (l);
}

void
link_close (struct link *l)
{
  if (l->closing)
    return;
  l->closing = true;
  uv_close ((uv_handle_t *)&l->tcp, link_freed);
}

/** End L for a reason of the network or the peer, and tell the owner. */
static void
link_fail (struct link *l, const char *reason)
{
  if (l->closing)
    return;
  link_close (l);
  l->handler->impl->closed (l->handler, l, reason);
}

static void
receive_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  struct link *l = handle->data;
  size_t needed = l->received_size + RECEIVE_MIN_BYTES;

  if (l->received_capacity < needed)
    {
      l->received_capacity = needed + l->received_capacity / 2;
      l->received = realloc (l->received, l->received_capacity);
    }
  buffer->base = (char *)l->received + l->received_size;
  buffer->len = l->received_capacity - l->received_size;
}

/** Deliver one frame of BYTES_COUNT bytes; false if the link ended. */
static bool
frame_deliver (struct link *l, const unsigned char *bytes, size_t bytes_count)
{
  struct beryl_error error = { 0 };
  struct frame *frame = frame_parse (bytes, bytes_count, &error);

  if (!frame)
    {
      link_fail (l, error.message);
      return false;
    }
  l->handler->impl->frame (l->handler, l, frame);
  frame_destroy (frame);
  return !l->closing;
}

/** Deliver all whole frames that have arrived. */
static void
frames_deliver (struct link *l)
{
  size_t at = 0;

  while (l->received_size - at >= FRAME_HEADER_BYTES)
    {
      struct beryl_error error = { 0 };
      uint16_t type;
      uint32_t body_bytes;
      size_t whole;

      if (!frame_read_header (l->received + at, &type, &body_bytes, &error))
        {
          link_fail (l, error.message);
          return;
        }
      whole = FRAME_HEADER_BYTES + (size_t)body_bytes;
      if (l->received_size - at < whole)
        break;
      if (!frame_deliver (l, l->received + at, whole))
        return;
      at += whole;
    }
  l->received_size -= at;
  memmove (l->received, l->received + at, l->received_size);
}

static void
received (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  struct link *l = stream->data;

  if (l->closing)
    return;
  if (count < 0)
    {
      link_fail (l, count == UV_EOF ? "closed by peer"
                                    : uv_strerror ((int)count));
      return;
    }
  l->received_size += (size_t)count;
  l->received_total += (uint64_t)count;
  frames_deliver (l);
}

static struct link *
link_new (struct loop *loop, struct link_handler *handler)
{
  struct link *l = calloc (1, sizeof *l);

  l->handler = handler;
  uv_tcp_init (loop_uv (loop), &l->tcp);
  l->tcp.data = l;
  l->connect.data = l;
  return l;
}

static void
link_start (struct link *l)
{
  l->connected = true;
  uv_tcp_nodelay (&l->tcp, 1);
  uv_read_start ((uv_stream_t *)&l->tcp, receive_alloc, received);
}

static void
link_connected (uv_connect_t *request, int status)
{
  struct link *l = request->data;

  if (l->closing)
    return;
  if (status < 0)
    {
      l->refused = status == UV_ECONNREFUSED;
      link_fail (l, uv_strerror (status));
      return;
    }
  link_start (l);
  if (l->handler->impl->opened)
    l->handler->impl->opened (l->handler, l);
}

/** Read an IP number and port into STORAGE. */
static bool
address_parse (const char *address, uint16_t port,
               struct sockaddr_storage *storage, struct beryl_error *error)
{
  if (uv_ip4_addr (address, port, (struct sockaddr_in *)storage) == 0)
    return true;
  if (uv_ip6_addr (address, port, (struct sockaddr_in6 *)storage) == 0)
    return true;
  return beryl_error_set (error, BERYL_ERROR_INVALID,
                          "\"%s\" is not an IP number", address);
}

struct link *
link_connect (struct loop *loop, const char *address, uint16_t port,
              struct link_handler *handler, struct beryl_error *error)
{
  struct sockaddr_storage storage = { 0 };
  struct link *l;
  int status;

  if (!address_parse (address, port, &storage, error))
    return NULL;
  l = link_new (loop, handler);
  strncpy (l->peer, address, sizeof l->peer - 1);
  status = uv_tcp_connect (&l->connect, &l->tcp,
                           (const struct sockaddr *)&storage, link_connected);
  if (status == 0)
    return l;
  beryl_error_set (error, BERYL_ERROR_UNAVAILABLE, "connect to %s: %s",
                   address, uv_strerror (status));
  link_close (l);
  return NULL;
}

static void
send_done (uv_write_t *request, int status)
{
  struct send *send = request->data;
  struct link *l = send->link;

  free (send);
  if (status < 0)
    link_fail (l, uv_strerror (status));
}

bool
link_send (struct link *l, struct frame_writer *writer)
{
  size_t bytes_count;
  const void *bytes = frame_writer_finish (writer, &bytes_count);
  struct send *send;
  uv_buf_t buffer;

  /* A peer that has stopped reading would otherwise fill this process's
     memory; past the bound the owner is refused and decides. */
  if (!bytes || l->closing
      || link_pending_bytes (l) + bytes_count > LINK_QUEUE_BYTES)
    return false;
  send = malloc (sizeof *send + bytes_count);
  send->link = l;
  send->request.data = send;
  memcpy (send->bytes, bytes, bytes_count);
  buffer = uv_buf_init (send->bytes, (unsigned int)bytes_count);
  if (uv_write (&send->request, (uv_stream_t *)&l->tcp, &buffer, 1, send_done)
      < 0)
    {
      free (send);
      return false;
    }
  l->sent_total += bytes_count;
  return true;
}

size_t
link_pending_bytes (const struct link *l)
{
  return uv_stream_get_write_queue_size ((const uv_stream_t *)&l->tcp);
}

bool
link_refused (const struct link *l)
{
  return l->refused;
}

const char *
link_peer (const struct link *l)
{
  return l->peer;
}

void
link_set_user (struct link *l, void *user)
{
  l->user = user;
}

void *
link_user (const struct link *l)
{
  return l->user;
}

void
link_set_handler (struct link *l, struct link_handler *handler)
{
  l->handler = handler;
}

uint64_t
link_received_bytes (const struct link *l)
{
  return l->received_total;
}

uint64_t
link_sent_bytes (const struct link *l)
{
  return l->sent_total;
}

/** Note the IP number of an accepted connection. */
static void
peer_note (struct link *l)
{
  struct sockaddr_storage storage;
  int length = sizeof storage;

  if (uv_tcp_getpeername (&l->tcp, (struct sockaddr *)&storage, &length) == 0)
    uv_ip_name ((const struct sockaddr *)&storage, l->peer, sizeof l->peer);
}

static void
accepted (uv_stream_t *stream, int status)
{
  struct link_listener *listener = stream->data;
  struct link *l;

  if (status < 0)
    return;
  l = calloc (1, sizeof *l);
  uv_tcp_init (stream->loop, &l->tcp);
  l->tcp.data = l;
  if (uv_accept (stream, (uv_stream_t *)&l->tcp) != 0)
    {
      link_close (l);
      return;
    }
  peer_note (l);
  l->handler = listener->cb (listener->user, l);
  if (l->closing)
    return;
  if (l->handler)
    link_start (l);
  else
    link_close (l);
}

static void
listener_freed (uv_handle_t *handle)
{
  free (handle->data);
}

/** Return the port that the kernel chose for a bound socket. */
static uint16_t
bound_port (const uv_tcp_t *tcp)
{
  struct sockaddr_storage storage;
  int length = sizeof storage;

  if (uv_tcp_getsockname (tcp, (struct sockaddr *)&storage, &length) != 0)
    return 0;
  if (storage.ss_family == AF_INET6)
    return ntohs (((struct sockaddr_in6 *)&storage)->sin6_port);
  return ntohs (((struct sockaddr_in *)&storage)->sin_port);
}

struct link_listener *
link_listen (struct loop *loop, const char *address, uint16_t port,
             link_accept_cb *cb, void *user, struct beryl_error *error)
{
  struct sockaddr_storage storage = { 0 };
  struct link_listener *listener;
  int status;

  if (!address_parse (address, port, &storage, error))
    return NULL;
  listener = calloc (1, sizeof *listener);
  listener->cb = cb;
  listener->user = user;
  uv_tcp_init (loop_uv (loop), &listener->tcp);
  listener->tcp.data = listener;
  status = uv_tcp_bind (&listener->tcp, (const struct sockaddr *)&storage, 0);
  if (status == 0)
    status
        = uv_listen ((uv_stream_t *)&listener->tcp, LISTEN_BACKLOG, accepted);
  if (status == 0)
    {
      listener->port = bound_port (&listener->tcp);
      return listener;
    }
  beryl_error_set (error, BERYL_ERROR_UNAVAILABLE, "listen on %s:%u: %s",
                   address, port, uv_strerror (status));
  link_listener_close (listener);
  return NULL;
}

uint16_t
link_listener_port (const struct link_listener *listener)
{
  return listener->port;
}

void
link_listener_close (struct link_listener *listener)
{
  if (listener)
    uv_close ((uv_handle_t *)&listener->tcp, listener_freed);
}
