/** @file
 * beryl-entryd: takes callers' requests and answers them.
 */
#include <getopt.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/settings.h"
#include "entry.h"

/* A request needs two; each new socket costs the HTTP library a walk over a
 * table of this size. */
#define DESCRIPTORS 4608

static const char usage[]
    = "Usage: beryl-entryd [OPTION]... SETTINGS-FILE\n"
      "Take callers' requests and answer them.\n\n"
      "  -c, --check-settings  check the settings file and exit\n"
      "  -h, --help            print this help and exit\n"
      "  -v, --version         print the version and exit\n";

enum
{
  EXIT_USAGE = 2,
  EXIT_SETTINGS = 3,
};

static const struct option options[] = {
  { "check-settings", no_argument, NULL, 'c' },
  { "help", no_argument, NULL, 'h' },
  { "version", no_argument, NULL, 'v' },
  { 0 },
};

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
load (const char *path, struct entry_settings *settings)
{
  struct beryl_findings *findings = beryl_findings_create ();
  bool valid = entry_settings_load (settings, path, findings);

  settings_print_findings (findings);
  beryl_findings_destroy (findings);
  return valid;
}

int
main (int argc, char **argv)
{
  struct entry_settings settings;
  bool check_only = false;
  int option;

  while ((option = getopt_long (argc, argv, "chv", options, NULL)) != -1)
    switch (option)
      {
      case 'c':
        check_only = true;
        break;
      case 'h':
        fputs (usage, stdout);
        return EXIT_SUCCESS;
      case 'v':
        puts ("beryl-entryd " BERYL_VERSION);
        return EXIT_SUCCESS;
      default:
        fputs (usage, stderr);
        return EXIT_USAGE;
      }
  if (optind + 1 != argc)
    {
      fputs (usage, stderr);
      return EXIT_USAGE;
    }
  if (!load (argv[optind], &settings))
    return EXIT_SETTINGS;
  if (check_only)
    return EXIT_SUCCESS;
  log_init ("beryl-entryd", settings.log_format, settings.log_level);
  return run (&settings);
}
