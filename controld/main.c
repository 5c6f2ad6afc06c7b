/** @file
 * beryl-controld: membership, configuration, leases, planning and clean-up
 * of one instance.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/daemon.h"
#include "control.h"
#include "entry_task.h"
#include "gossip_task.h"
#include "metrics_task.h"

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
load (void *settings, const char *path, struct beryl_findings *findings)
{
  return control_settings_load (settings, path, findings);
}

static const struct daemon_program program
    = { .name = "beryl-controld",
        .purpose = "Keep this instance in agreement with the others.",
        .load = load };

int
main (int argc, char **argv)
{
  struct control_settings settings;
  int status;

  if (!daemon_start (&program, argc, argv, &settings, &status))
    return status;
  log_init (program.name, settings.log_format, settings.log_level);
  return run (&settings);
}
