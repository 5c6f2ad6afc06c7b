/** @file
 * beryl-gatewayd: forwards callers' requests to endpoints by route.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "common/daemon.h"
#include "gateway.h"
#include "platform.h"

static void
stop (void *user)
{
  gateway_stop (user);
}

/* Context of a settings reload. */
struct reloader
{
  const char *path;
  struct gateway *gateway;
};

static void
reload (void *user)
{
  const struct reloader *r = user;
  struct beryl_findings *findings = beryl_findings_create ();
  struct gateway_settings settings;

  if (gateway_settings_load (&settings, r->path, findings))
    {
      log_set_level (settings.log_level);
      log_bound (STDOUT_FILENO, settings.log_lines_per_s);
      gateway_reload (r->gateway, &settings);
    }
  else
    {
      char *text = beryl_findings_format (findings);

      g_warning ("reload failed, keeping the current settings: %s", text);
      free (text);
    }
  beryl_findings_destroy (findings);
}

static int
run (const struct gateway_settings *settings, const char *path)
{
  struct beryl_error error = { 0 };
  struct reloader reloader = { .path = path };
  struct loop *loop = loop_create ();
  struct http_context *http;
  struct gateway *gateway;
  bool started;

  loop_limit_descriptors (settings->descriptors_max);
  http = http_context_create (loop, NULL);
  gateway = gateway_create (loop, http, platform_gateway_wire (), settings,
                            &error);
  started = gateway != NULL;
  if (started)
    {
      reloader.gateway = gateway;
      loop_on_stop (loop, stop, gateway);
      loop_on_reload (loop, reload, &reloader);
      g_info ("started node=%s data_centre=%s version=%s", settings->node,
              settings->data_centre, BERYL_VERSION);
      loop_run (loop);
    }
  else
    fprintf (stderr, "beryl-gatewayd: %s\n", error.message);
  gateway_destroy (gateway);
  http_context_destroy (http);
  loop_destroy (loop);
  return started ? EXIT_SUCCESS : EXIT_FAILURE;
}

static bool
load (void *settings, const char *path, struct beryl_findings *findings)
{
  return gateway_settings_load (settings, path, findings);
}

static const struct daemon_program program
    = { .name = "beryl-gatewayd",
        .purpose = "Forward callers' requests to endpoints by route.",
        .load = load };

int
main (int argc, char **argv)
{
  struct gateway_settings settings;
  int status;

  if (!daemon_start (&program, argc, argv, &settings, &status))
    return status;
  log_init (program.name, LOG_FORMAT_TEXT, settings.log_level);
  log_bound (STDOUT_FILENO, settings.log_lines_per_s);
  /* daemon_start has loaded this file: the last argument. */
  return run (&settings, argv[argc - 1]);
}
