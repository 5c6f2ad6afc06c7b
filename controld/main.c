/** @file
 * beryl-controld: membership, configuration, leases, planning and clean-up
 * of one instance.
 */
#include <getopt.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/settings.h"
#include "control.h"
#include "entry_task.h"
#include "gossip_task.h"
#include "metrics_task.h"

static const char usage[]
    = "Usage: beryl-controld [OPTION]... SETTINGS-FILE\n"
      "Keep this instance in agreement with the others.\n\n"
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
  control_stop (user);
}

static void
announce (const struct control *control)
{
  printf ("listening %s %u local %u metrics %u\n", control->settings.address,
          gossip_task_port (control->gossip), entry_task_port (control->entry),
          metrics_task_port (control->metrics));
  fflush (stdout);
}

static int
run (const struct control_settings *settings)
{
  struct beryl_error error = { 0 };
  struct loop *loop = loop_create ();
  struct http_context *http = http_context_create (loop, NULL);
  struct control *control = control_create (settings, loop, http, &error);

  if (control != NULL)
    {
      loop_on_stop (loop, stop, control);
      announce (control);
      loop_run (loop);
      control_close (control);
    }
  else
    fprintf (stderr, "beryl-controld: %s\n", error.message);
  http_context_destroy (http);
  if (control != NULL)
    control_destroy (control);
  loop_destroy (loop);
  return control != NULL ? EXIT_SUCCESS : EXIT_FAILURE;
}

static bool
load (const char *path, struct control_settings *settings)
{
  struct beryl_findings *findings = beryl_findings_create ();
  bool valid = control_settings_load (settings, path, findings);

  settings_print_findings (findings);
  beryl_findings_destroy (findings);
  return valid;
}

int
main (int argc, char **argv)
{
  struct control_settings settings;
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
        puts ("beryl-controld " BERYL_VERSION);
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
  log_init ("beryl-controld", settings.log_format, settings.log_level);
  return run (&settings);
}
