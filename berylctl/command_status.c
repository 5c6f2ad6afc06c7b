#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

static const char *
json_text (const json_t *value, const char *key)
{
  const char *text = json_string_value (json_object_get (value, key));

  return text != NULL ? text : "";
}

static void
add_in_force (GPtrArray *rows, const json_t *value)
{
  json_t *behind = json_object_get (value, "behind");
  GString *names = g_string_new (NULL);
  size_t i;
  json_t *name;

  json_array_foreach (behind, i, name)
  {
    g_string_append_printf (names, "%s%s", i > 0 ? "," : "",
                            json_string_value (name));
  }
  g_ptr_array_add (
      rows,
      g_strdup_printf (
          "%s\t%" JSON_INTEGER_FORMAT "\t%" JSON_INTEGER_FORMAT
          "\t%" JSON_INTEGER_FORMAT "\t%s",
          json_text (value, "data_centre"),
          json_integer_value (json_object_get (value, "configuration")),
          json_integer_value (json_object_get (value, "newest")),
          json_integer_value (json_object_get (value, "nodes")), names->str));
  g_string_free (names, TRUE);
}

static void
print_status (const json_t *list)
{
  GPtrArray *rows = g_ptr_array_new_with_free_func (g_free);
  size_t i;
  json_t *item;

  g_ptr_array_add (rows,
                   g_strdup ("DATA CENTRE\tIN FORCE\tNEWEST\tNODES\tBEHIND"));
  json_array_foreach (list, i, item)
  {
    const json_t *value = json_object_get (item, "value");

    if (json_object_get (value, "data_centre") != NULL)
      add_in_force (rows, value);
  }
  ctl_print_table ((char *const *)rows->pdata, rows->len);
  g_ptr_array_free (rows, TRUE);
  json_array_foreach (list, i, item)
  {
    const json_t *value = json_object_get (item, "value");

    if (strcmp (json_text (value, "state"), "rejected") == 0)
      printf ("rejected: %s %s: %s\n", json_text (value, "kind"),
              json_text (value, "name"), json_text (value, "findings"));
  }
}

enum ctl_exit
command_status (struct ctl *ctl, int argc, char **argv)
{
  struct beryl_error error = { 0 };
  json_t *list = ctl_list (ctl, "status", "", &error);

  if (list == NULL)
    return ctl_report_error (&error);
  if (ctl->format == CTL_FORMAT_JSON)
    ctl_print_json (list);
  else if (ctl->format == CTL_FORMAT_YAML)
    ctl_print_yaml (list);
  else
    print_status (list);
  json_decref (list);
  return CTL_OK;
}
