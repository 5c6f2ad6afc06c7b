/** @file
 * The command line that the daemons share: one settings file, and options to
 * check it, print help and print the version.
 */
#ifndef COMMON_DAEMON_H
#define COMMON_DAEMON_H

#include <stdbool.h>

#include "beryl/findings.h"

/** Exit statuses besides EXIT_SUCCESS and EXIT_FAILURE. */
enum daemon_exit
{
  DAEMON_EXIT_USAGE = 2,
  DAEMON_EXIT_SETTINGS = 3,
};

/** A daemon's name, purpose and settings. */
struct daemon_program
{
  const char *name;
  const char *purpose; /**< one sentence for --help */
  /** Read PATH into SETTINGS; false if there are findings. */
  bool (*load) (void *settings, const char *path,
                struct beryl_findings *findings);
};

/** Take the command line and load SETTINGS.  Returns true if the daemon
 * should run; otherwise *STATUS is its exit status. */
bool daemon_start (const struct daemon_program *program, int argc, char **argv,
                   void *settings, int *status);

#endif
