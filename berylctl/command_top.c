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
read_members (struct ctl *ctl, struct beryl_error *error)
{
  unsigned int status = 0;
  char *text;
  json_t *list = NULL;

  if (ctl->entry_port == 0)
    {
      beryl_error_set (error, BERYL_ERROR_INVALID,
                       "--entry is needed: any entry node");
      return NULL;
    }
  text = ctl_http_get (ctl, ctl->entry_address, ctl->entry_port, "/v1/members",
                       &status, error);
  if (text == NULL)
    return NULL;
  if (status == 200)
    list = json_loads (text, 0, NULL);
  else
    beryl_error_set (error, BERYL_ERROR_DENIED,
                     "the entry node answers %u; is $BERYL_TOKEN the "
                     "operators' token?",
                     status);
  g_free (text);
  return list;
}

enum ctl_exit
command_top (struct ctl *ctl, int argc, char **argv)
{
  GPtrArray *rows;
  struct beryl_error error = { 0 };
  json_t *members = read_members (ctl, &error);
  size_t i;
  json_t *item;

  if (members == NULL)
    return ctl_report_error (&error);
  rows = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (
      rows,
      g_strdup ("NODE\tADDRESS\tCALLS\tANSWERED\tOPEN\tHOLDS\tCONFIGURATION"));
  json_array_foreach (members, i, item)
      add_node (ctl, rows, json_string_value (json_object_get (item, "node")),
                json_string_value (json_object_get (item, "address")),
                (uint16_t)json_integer_value (json_object_get (item, "port")));
  ctl_print_table ((char *const *)rows->pdata, rows->len);
  g_ptr_array_free (rows, TRUE);
  json_decref (members);
  return CTL_OK;
}
