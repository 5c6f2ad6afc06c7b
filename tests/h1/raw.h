/** @file
 * Plain sockets on the test's own loop: bytes in, bytes out, and how the
 * connection ended.
 */
#ifndef TESTS_H1_RAW_H
#define TESTS_H1_RAW_H

#include <glib.h>

#include "common/loop.h"

enum raw_end
{
  RAW_OPEN,
  RAW_FIN,
  RAW_RESET,
};

struct raw
{
  struct loop *loop;
  int fd;
  GString *got;
  enum raw_end end;
};

/** Connect to a port on loopback. */
struct raw *raw_connect (struct loop *loop, uint16_t port);

/** Connect to a port of ADDRESS, one of loopback. */
struct raw *raw_connect_address (struct loop *loop, const char *address,
                                 uint16_t port);

/** Listen on loopback; PORT is set.  Accept with raw_accept. */
int raw_listen (uint16_t *port);

/** Listen likewise, with a queue that is full: connections are not
 * established. */
int raw_listen_full (uint16_t *port);

/** Turn the loop until a connection has come. */
struct raw *raw_accept (struct loop *loop, int listener);

/** Send bytes. */
void raw_send (struct raw *raw, const char *text);

/** Receive what has come, without turning the loop. */
void raw_read (struct raw *raw);

/** Turn the loop until NEEDLE was received; fails the test after 3 s. */
void raw_expect (struct raw *raw, const char *needle);

/** Turn the loop until the connection ended, and check how. */
void raw_expect_end (struct raw *raw, enum raw_end end);

/** Turn the loop for MS. */
void raw_turn (struct loop *loop, int64_t ms);

/** Close; ABRUPT sends a reset. */
void raw_close (struct raw *raw, bool abrupt);

#endif
