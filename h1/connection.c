#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <linux/sockios.h>

#include "h1/connection.h"

bool
h1_connection_reset (int fd)
{
  struct tcp_info info;
  socklen_t info_bytes = sizeof info;

  return getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &info_bytes) == 0
         && info.tcpi_state == TCP_CLOSE;
}

bool
h1_connection_delivered (int fd)
{
  int unacknowledged_bytes;

  return ioctl (fd, SIOCOUTQ, &unacknowledged_bytes) != 0
         || unacknowledged_bytes == 0;
}
