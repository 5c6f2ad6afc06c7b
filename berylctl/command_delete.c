#include <stdio.h>

#include "ctl.h"

enum ctl_exit
command_delete (struct ctl *ctl, int argc, char **argv)
{
  const char *kind = ctl_kind (argv[0]);
  struct beryl_error error = { 0 };
  json_t *object;
  uint64_t version;

  if (kind == NULL)
    return CTL_USAGE;
  object = ctl_get (ctl, kind, argv[1], &error);
  if (object == NULL)
    return ctl_report_error (&error);
  version = (uint64_t)json_integer_value (json_object_get (object, "version"));
  json_decref (object);
  /* Deletes only the version that was read, so no concurrent edit is lost. */
  if (!ctl_delete (ctl, kind, argv[1], version, &error))
    return ctl_report_error (&error);
  printf ("%s %s deleted\n", kind, argv[1]);
  return CTL_OK;
}
