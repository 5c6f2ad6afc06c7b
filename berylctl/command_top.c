#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

static uint64_t
counter (const char *metrics, const char *name)
{
  const char *p = strstr (metrics, name);

  while (p != NULL && p != metrics && p[-1] != '\n')
    p = strstr (p + 1, name);
  if (p == NULL)
    return 0;
  return g_ascii_strtoull (p + strlen (name), NULL, 10);
}

static void
add_node (struct ctl *ctl, GPtrArray *rows, const char *name,
          const char *address, uint16_t port)
{
  struct beryl_error error = { 0 };
  unsigned int status;
  char *text = ctl_http_get (ctl, address, port, "/metrics", &status, &error);

  if (text == NULL)
    {
      g_ptr_array_add (
          rows, g_strdup_printf ("%s\t%s:%u\taway", name, address, port));
      return;
    }
  g_ptr_array_add (
      rows,
      g_strdup_printf (
          "%s\t%s:%u\t%llu\t%llu\t%llu\t%llu\t%llu", name, address, port,
          (unsigned long long)counter (text, "beryl_http_requests_total "),
          (unsigned long long)counter (
              text, "beryl_answers_total{outcome=\"answered\"} "),
          (unsigned long long)counter (text, "beryl_open_requests "),
          (unsigned long long)counter (text, "beryl_holds "),
          (unsigned long long)counter (text, "beryl_config_version ")));
  g_free (text);
}

static json_t *
read_instances (struct ctl *ctl, struct beryl_error *error)
{
  unsigned int status;
  char *text = ctl_http_get (ctl, ctl->platform_address, ctl->platform_port,
                             "/v1/instances", &status, error);
  json_t *root = text != NULL ? json_loads (text, 0, NULL) : NULL;

  g_free (text);
  if (root == NULL && error->code == BERYL_OK)
    beryl_error_set (error, BERYL_ERROR_UNAVAILABLE,
                     "the instance list cannot be read");
  return root;
}

static void
add_instances (struct ctl *ctl, GPtrArray *rows, const json_t *root)
{
  size_t i;
  json_t *item;

  json_array_foreach (json_object_get (root, "items"), i, item)
  {
    const char *kind = json_string_value (json_object_get (item, "kind"));

    if (kind != NULL && strcmp (kind, "entry") == 0)
      add_node (ctl, rows, json_string_value (json_object_get (item, "name")),
                json_string_value (json_object_get (item, "address")),
                (uint16_t)json_integer_value (json_object_get (item, "port")));
  }
}

enum ctl_exit
command_top (struct ctl *ctl, int argc, char **argv)
{
  GPtrArray *rows = g_ptr_array_new_with_free_func (g_free);
  struct beryl_error error = { 0 };
  json_t *root;

  g_ptr_array_add (
      rows,
      g_strdup ("NODE\tADDRESS\tCALLS\tANSWERED\tOPEN\tHOLDS\tCONFIGURATION"));
  if (ctl->entry_port != 0)
    add_node (ctl, rows, "-", ctl->entry_address, ctl->entry_port);
  else
    {
      root = read_instances (ctl, &error);
      if (root == NULL)
        {
          g_ptr_array_free (rows, TRUE);
          return ctl_fail (&error);
        }
      add_instances (ctl, rows, root);
      json_decref (root);
    }
  ctl_print_table ((char *const *)rows->pdata, rows->len);
  g_ptr_array_free (rows, TRUE);
  return CTL_OK;
}
