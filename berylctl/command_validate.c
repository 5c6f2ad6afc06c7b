#include <stdio.h>

#include "ctl.h"

enum ctl_exit
command_validate (struct ctl *ctl, int argc, char **argv)
{
  struct ctl_objects objects;

  if (!ctl_objects_load (ctl, &objects, argv, argc))
    return CTL_FINDINGS;
  printf ("%zu objects are valid\n", json_array_size (objects.items));
  ctl_objects_clear (&objects);
  return CTL_OK;
}
