#include <glib.h>
#include <stdio.h>

#include "ctl.h"

static const char *
json_text (const json_t *value, const char *key)
{
  const char *text = json_string_value (json_object_get (value, key));

  return text != NULL ? text : "-";
}

static void
print_decisions (const json_t *root)
{
  size_t i;
  json_t *item;

  json_array_foreach (json_object_get (root, "decisions"), i, item)
  {
    printf ("%s: %s, prefill %s, decode %s, first token in "
            "%" JSON_INTEGER_FORMAT " ms\n  weighed: %s\n",
            json_text (item, "verdict"), json_text (item, "reason"),
            json_text (item, "prefill"), json_text (item, "decode"),
            json_integer_value (json_object_get (item, "first_token_ms")),
            json_text (item, "alternatives"));
  }
}

static enum ctl_exit
explain_at_entry (struct ctl *ctl, char **argv)
{
  struct beryl_error error = { 0 };
  char *escaped = g_uri_escape_string (argv[0], NULL, FALSE);
  char *path = g_strconcat ("/v1/explain/", escaped, NULL);
  unsigned int status = 0;
  char *text = NULL;
  json_t *root;

  if (ctl->entry_port != 0)
    text = ctl_http_get (ctl, ctl->entry_address, ctl->entry_port, path,
                         &status, &error);
  else
    beryl_error_set (&error, BERYL_ERROR_INVALID,
                     "--entry is needed: the node that took the request");
  g_free (path);
  g_free (escaped);
  if (text == NULL)
    return ctl_report_error (&error);
  root = json_loads (text, 0, NULL);
  g_free (text);
  if (status == 200 && ctl->format == CTL_FORMAT_TABLE)
    print_decisions (root);
  else if (root != NULL)
    ctl_print_json (root);
  json_decref (root);
  if (status == 200)
    return CTL_OK;
  return status == 404 ? CTL_NOT_FOUND : CTL_FAILED;
}

enum ctl_exit
command_explain (struct ctl *ctl, int argc, char **argv)
{
  if (ctl->log != NULL)
    return ctl_explain_log (ctl->log, argv[0]);
  return explain_at_entry (ctl, argv);
}
