#include "common/daemon.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/settings.h"

static const struct option options[] = {
  { "check-settings", no_argument, NULL, 'c' },
  { "help", no_argument, NULL, 'h' },
  { "version", no_argument, NULL, 'v' },
  { 0 },
};

static void
print_usage (const struct daemon_program *program, FILE *out)
{
  fprintf (out,
           "Usage: %s [OPTION]... SETTINGS-FILE\n"
           "%s\n\n"
           "  -c, --check-settings  check the settings file and exit\n"
           "  -h, --help            print this help and exit\n"
           "  -v, --version         print the version and exit\n",
           program->name, program->purpose);
}

static bool
load (const struct daemon_program *program, const char *path, void *settings)
{
  struct beryl_findings *findings = beryl_findings_create ();
  bool valid = program->load (settings, path, findings);

  settings_print_findings (findings);
  beryl_findings_destroy (findings);
  return valid;
}

bool
daemon_start (const struct daemon_program *program, int argc, char **argv,
              void *settings, int *status)
{
  bool check_only = false;
  int option;

  *status = EXIT_SUCCESS;
  while ((option = getopt_long (argc, argv, "chv", options, NULL)) != -1)
    switch (option)
      {
      case 'c':
        check_only = true;
        break;
      case 'h':
        print_usage (program, stdout);
        return false;
      case 'v':
        printf ("%s %s\n", program->name, BERYL_VERSION);
        return false;
      default:
        print_usage (program, stderr);
        *status = DAEMON_EXIT_USAGE;
        return false;
      }
  if (optind + 1 != argc)
    {
      print_usage (program, stderr);
      *status = DAEMON_EXIT_USAGE;
      return false;
    }
  if (!load (program, argv[optind], settings))
    {
      *status = DAEMON_EXIT_SETTINGS;
      return false;
    }
  return !check_only;
}
