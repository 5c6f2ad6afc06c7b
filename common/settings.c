#include "common/settings.h"

#include <stdio.h>
#include <stdlib.h>

#include "common/yaml.h"

bool
settings_load (const char *path, const struct beryl_field *fields,
               size_t field_count, void *target,
               struct beryl_findings *findings)
{
  struct yaml_file *file = yaml_file_load (path, findings);
  struct beryl_findings *placed;
  struct beryl_location place = { 0 };
  size_t count;

  if (file == NULL)
    return false;
  placed = beryl_findings_create ();
  place.findings = placed;
  snprintf (place.pointer, sizeof place.pointer, "/0");
  if (json_array_size (yaml_file_documents (file)) != 1)
    beryl_location_report (&place, NULL, "must be one YAML document");
  else
    beryl_fields_read (&place, json_array_get (yaml_file_documents (file), 0),
                       fields, field_count, target);
  count = beryl_findings_count (placed);
  yaml_file_place_findings (file, placed, findings);
  beryl_findings_destroy (placed);
  yaml_file_destroy (file);
  return count == 0;
}

void
settings_print_findings (const struct beryl_findings *findings)
{
  char *text = beryl_findings_format (findings);

  fputs (text, stderr);
  free (text);
}
