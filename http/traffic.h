/** @file
 * Apart from the other headers: libuv's includes netinet/tcp.h, whose struct
 * tcp_info lacks what the kernel's has.
 */
#ifndef HTTP_TRAFFIC_H
#define HTTP_TRAFFIC_H

#include <stdint.h>

/** Add what the connection FD has moved; a closed one (-1) adds nothing. */
void http_traffic_add (int fd, uint64_t *sent_bytes, uint64_t *received_bytes);

#endif
