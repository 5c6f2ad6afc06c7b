/** @file
 * beryl-entryd: takes callers' requests and answers them.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/daemon.h"
#include "entry.h"

/* A request needs two; each new socket costs the HTTP library a walk over a
 * table of this size. */
#define DESCRIPTORS 4608

static void
stop (void *user)
{
  entry_drain (user);
}

static void
announce (const struct entry *entry)
{
  const struct entry_settings *settings = entry->settings;
  unsigned int port = http_server_port (entry->server);

  g_info ("%s listens on %s port %u, incarnation %016" G_GINT64_MODIFIER "x",
          settings->node, settings->address, port, entry->incarnation);
  printf ("listening %s %u\n", settings->address, port);
  fflush (stdout);
}

static int
run (const struct entry_settings *settings)
{
  struct beryl_error error = { 0 };
  struct loop *loop = loop_create ();
  struct http_context *http;
  struct entry *entry;
  bool started;

  loop_limit_descriptors (DESCRIPTORS);
  http = http_context_create (loop, NULL);
  entry = entry_create (settings, loop, http, &error);
  started = entry != NULL;
  if (started)
    {
      loop_on_stop (loop, stop, entry);
      announce (entry);
      loop_run (loop);
      entry_close (entry);
    }
  else
    fprintf (stderr, "beryl-entryd: %s\n", error.message);
  http_context_destroy (http);
  entry_destroy (entry);
  loop_destroy (loop);
  return started ? EXIT_SUCCESS : EXIT_FAILURE;
}

static bool
load (void *settings, const char *path, struct beryl_findings *findings)
{
  return entry_settings_load (settings, path, findings);
}

static const struct daemon_program program
    = { .name = "beryl-entryd",
        .purpose = "Take callers' requests and answer them.",
        .load = load };

int
main (int argc, char **argv)
{
  struct entry_settings settings;
  int status;

  if (!daemon_start (&program, argc, argv, &settings, &status))
    return status;
  log_init (program.name, settings.log_format, settings.log_level);
  return run (&settings);
}
