/** @file
 * What the kernel knows of a connection whose end has been read.  The error of
 * a reset is told once, to whichever call meets it; these tell it later too.
 */
#ifndef H1_CONNECTION_H
#define H1_CONNECTION_H

#include <stdbool.h>

/** Return whether the connection FD was reset; false if the kernel does not
 * tell. */
bool h1_connection_reset (int fd);

/** Return whether the peer's kernel has received all that was sent on FD; true
 * if ours does not tell.  A peer that answers a request which it has read has
 * received it. */
bool h1_connection_delivered (int fd);

#endif
