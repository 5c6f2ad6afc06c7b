#include <stdio.h>

#include "ctl.h"

enum ctl_exit
command_drain (struct ctl *ctl, int argc, char **argv)
{
  struct beryl_error error = { 0 };
  json_t *object = ctl_get (ctl, "endpoint", argv[0], &error);
  json_t *value;
  uint64_t version;
  uint64_t written;

  if (object == NULL)
    return ctl_report_error (&error);
  version = (uint64_t)json_integer_value (json_object_get (object, "version"));
  value = json_deep_copy (json_object_get (object, "value"));
  json_decref (object);
  json_object_set_new (json_object_get (value, "spec"), "leaving",
                       json_true ());
  written = ctl_put (ctl, "endpoint", argv[0], value, version, &error);
  json_decref (value);
  if (written == 0)
    return ctl_report_error (&error);
  printf ("endpoint %s is leaving\n", argv[0]);
  return ctl_wait_in_force (ctl, "endpoint", argv[0], written);
}
