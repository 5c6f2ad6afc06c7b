#include <stdio.h>

#include "ctl.h"

static void
print_event (void *user, const struct beryl_platform_event *event)
{
  printf ("%s %s %s version %llu\n", event->deleted ? "deleted" : "changed",
          event->object.kind, event->object.name,
          (unsigned long long)event->object.version);
  fflush (stdout);
}

static void
stop (void *user)
{
  *(bool *)user = true;
}

/* Prints changes until it is interrupted. */
enum ctl_exit
command_watch (struct ctl *ctl, int argc, char **argv)
{
  static const struct platform_watch_callbacks callbacks
      = { .event = print_event };
  const char *kind = ctl_kind (argv[0]);
  bool done = false;

  if (kind == NULL)
    return CTL_USAGE;
  ctl_connect (ctl);
  loop_on_stop (ctl->loop, stop, &done);
  platform_client_watch (ctl->platform, BERYL_USE_OPERATOR, kind, &callbacks,
                         NULL);
  ctl_wait (ctl, &done);
  return CTL_OK;
}
