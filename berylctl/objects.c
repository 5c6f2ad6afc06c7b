#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/config.h"
#include "common/settings.h"
#include "ctl.h"

const char *
ctl_kind (const char *text)
{
  for (int k = BERYL_KIND_SERVICE; k <= BERYL_KIND_SYSTEM; k++)
    if (strcmp (text, beryl_kind_name ((enum beryl_kind)k)) == 0)
      return beryl_kind_name ((enum beryl_kind)k);
  fprintf (stderr,
           "berylctl: the kinds are service, pool, model, organisation, "
           "urgency, endpoint and system\n");
  return NULL;
}

json_t *
ctl_plain_object (const json_t *object)
{
  json_t *plain = json_copy ((json_t *)object);

  json_object_del (plain, "version");
  json_object_del (plain, "previous");
  json_object_del (plain, "nonce");
  return plain;
}

/* Adds the FINDINGS on document number DOCUMENT to TO, their paths prefixed by
 * its JSON pointer. */
static void
add_prefixed (const struct beryl_findings *findings, size_t document,
              struct beryl_findings *to)
{
  for (size_t i = 0; i < beryl_findings_count (findings); i++)
    {
      const struct beryl_finding *f = beryl_findings_get (findings, i);
      char pointer[512];

      snprintf (pointer, sizeof pointer, "/%zu%s", document,
                f->file != NULL ? f->file : "");
      beryl_findings_add (to, pointer, 0, 0, "%s", f->message);
    }
}

static void
check_documents (const struct yaml_file *file, struct beryl_findings *findings)
{
  struct beryl_findings *below = beryl_findings_create ();
  size_t i;
  json_t *document;

  json_array_foreach (yaml_file_documents (file), i, document)
  {
    struct beryl_findings *own = beryl_findings_create ();
    char *text = json_dumps (document, JSON_COMPACT | JSON_ENCODE_ANY);

    beryl_config_check_object (text, strlen (text), own);
    add_prefixed (own, i, below);
    free (text);
    beryl_findings_destroy (own);
  }
  yaml_file_place_findings (file, below, findings);
  beryl_findings_destroy (below);
}

static void
check_configuration (const json_t *items, struct beryl_findings *findings)
{
  char *text = json_dumps (items, JSON_COMPACT);

  beryl_config_destroy (beryl_config_parse (text, strlen (text), 1, findings));
  free (text);
}

bool
ctl_objects_load (struct ctl *ctl, struct ctl_objects *objects,
                  char *const *paths, int path_count)
{
  struct beryl_findings *findings = beryl_findings_create ();
  bool valid;

  objects->items = json_array ();
  for (int i = 0; i < path_count; i++)
    {
      struct yaml_file *file = yaml_file_load (paths[i], findings);

      if (file == NULL)
        continue;
      check_documents (file, findings);
      json_array_extend (objects->items, yaml_file_documents (file));
      yaml_file_destroy (file);
    }
  if (beryl_findings_count (findings) == 0 && ctl->whole)
    check_configuration (objects->items, findings);
  valid = beryl_findings_count (findings) == 0;
  settings_print_findings (findings);
  beryl_findings_destroy (findings);
  if (!valid)
    ctl_objects_clear (objects);
  return valid;
}

void
ctl_objects_clear (struct ctl_objects *objects)
{
  json_decref (objects->items);
  objects->items = NULL;
}
