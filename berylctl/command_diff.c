#include <stdio.h>

#include "ctl.h"

static enum ctl_exit
diff_object (struct ctl *ctl, const json_t *object, size_t *differences)
{
  const char *kind = json_string_value (json_object_get (object, "kind"));
  const char *name = json_string_value (json_object_get (object, "name"));
  struct beryl_error error = { 0 };
  json_t *current = ctl_get (ctl, kind, name, &error);

  if (current == NULL && error.code != BERYL_ERROR_NOT_FOUND)
    return ctl_report_error (&error);
  printf ("%s %s%s\n", kind, name, current == NULL ? " (new)" : "");
  *differences += ctl_print_difference (
      json_object_get (json_object_get (current, "value"), "spec"),
      json_object_get (object, "spec"));
  json_decref (current);
  return CTL_OK;
}

enum ctl_exit
command_diff (struct ctl *ctl, int argc, char **argv)
{
  struct ctl_objects objects;
  enum ctl_exit code = CTL_OK;
  size_t differences = 0;
  size_t i;
  json_t *object;

  if (!ctl_objects_load (ctl, &objects, argv, argc))
    return CTL_FINDINGS;
  json_array_foreach (objects.items, i, object)
  {
    if (code == CTL_OK)
      code = diff_object (ctl, object, &differences);
  }
  if (code == CTL_OK)
    printf ("%zu differences\n", differences);
  ctl_objects_clear (&objects);
  return code;
}
