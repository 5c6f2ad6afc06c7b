#include "traffic.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <sys/socket.h>

/* The kernel's counts also have heads, TLS and what libwebsockets adds, which
 * no callback tells. */
void
http_traffic_add (int fd, uint64_t *sent_bytes, uint64_t *received_bytes)
{
  struct tcp_info info;
  socklen_t info_bytes = sizeof info;

  if (fd < 0 || getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &info_bytes) != 0
      || info_bytes < offsetof (struct tcp_info, tcpi_bytes_retrans))
    return;
  *sent_bytes += info.tcpi_bytes_sent;
  *received_bytes += info.tcpi_bytes_received;
}
