#include "beryl/ids.h"
#include "ctl.h"

enum ctl_exit
command_describe (struct ctl *ctl, int argc, char **argv)
{
  const char *kind = ctl_kind (argv[0]);
  char status_name[BERYL_NAME_BYTES];
  struct beryl_error error = { 0 };
  struct beryl_error status_error = { 0 };
  json_t *object;
  json_t *status;
  json_t *whole;

  if (kind == NULL)
    return CTL_USAGE;
  object = ctl_get (ctl, kind, argv[1], &error);
  if (object == NULL)
    return ctl_report_error (&error);
  ctl_status_name (kind, argv[1], status_name, sizeof status_name);
  status = ctl_get (ctl, "status", status_name, &status_error);
  whole = ctl_plain_object (json_object_get (object, "value"));
  json_object_set (whole, "version", json_object_get (object, "version"));
  if (status != NULL)
    json_object_set (whole, "status", json_object_get (status, "value"));
  else
    json_object_set_new (whole, "status", json_string ("not judged yet"));
  if (ctl->format == CTL_FORMAT_JSON)
    ctl_print_json (whole);
  else
    ctl_print_yaml (whole);
  json_decref (whole);
  json_decref (status);
  json_decref (object);
  return CTL_OK;
}
