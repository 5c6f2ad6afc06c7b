#include <glib.h>
#include <stdio.h>

#include "ctl.h"

/* Returns the object with its version, in the form that apply reads. */
static json_t *
editable_object (const json_t *stored)
{
  json_t *object = ctl_plain_object (json_object_get (stored, "value"));

  json_object_set (object, "version", json_object_get (stored, "version"));
  return object;
}

static void
print_names (const json_t *list)
{
  GPtrArray *rows = g_ptr_array_new_with_free_func (g_free);
  size_t i;
  json_t *item;

  g_ptr_array_add (rows, g_strdup ("KIND\tNAME\tVERSION"));
  json_array_foreach (list, i, item)
  {
    g_ptr_array_add (
        rows, g_strdup_printf (
                  "%s\t%s\t%" JSON_INTEGER_FORMAT,
                  json_string_value (json_object_get (item, "kind")),
                  json_string_value (json_object_get (item, "name")),
                  json_integer_value (json_object_get (item, "version"))));
  }
  ctl_print_table ((char *const *)rows->pdata, rows->len);
  g_ptr_array_free (rows, TRUE);
}

static json_t *
read_objects (struct ctl *ctl, const char *kind, const char *name,
              struct beryl_error *error)
{
  json_t *object;

  if (name == NULL)
    return ctl_list (ctl, kind, "", error);
  object = ctl_get (ctl, kind, name, error);
  return object != NULL ? json_pack ("[o]", object) : NULL;
}

enum ctl_exit
command_get (struct ctl *ctl, int argc, char **argv)
{
  const char *kind = ctl_kind (argv[0]);
  struct beryl_error error = { 0 };
  json_t *list;
  json_t *objects;
  size_t i;
  json_t *item;

  if (kind == NULL)
    return CTL_USAGE;
  list = read_objects (ctl, kind, argc > 1 ? argv[1] : NULL, &error);
  if (list == NULL)
    return ctl_report_error (&error);
  objects = json_array ();
  json_array_foreach (list, i, item)
  {
    json_array_append_new (objects, editable_object (item));
  }
  if (ctl->format == CTL_FORMAT_TABLE)
    print_names (list);
  else if (ctl->format == CTL_FORMAT_JSON)
    ctl_print_json (objects);
  else
    ctl_print_yaml (objects);
  json_decref (objects);
  json_decref (list);
  return CTL_OK;
}
