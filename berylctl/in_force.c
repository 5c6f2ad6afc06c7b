#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "beryl/ids.h"
#include "ctl.h"

#define STATUS_KIND "status"
#define IN_FORCE_PREFIX "in-force."
#define POLL_MS 200

/* As beryl-controld names them. */
void
ctl_status_name (const char *kind, const char *name, char *status,
                 size_t status_bytes)
{
  char *whole = g_strconcat (kind, ".", name, NULL);

  if (strlen (whole) < BERYL_NAME_BYTES)
    g_strlcpy (status, whole, status_bytes);
  else
    g_snprintf (status, (gulong)status_bytes,
                "%.46s%016" G_GINT64_MODIFIER "x", whole,
                (guint64)XXH3_64bits (whole, strlen (whole)));
  g_free (whole);
}

static json_int_t
member (const json_t *object, const char *key)
{
  return json_integer_value (
      json_object_get (json_object_get (object, "value"), key));
}

/* What the system found out about a version of an object. */
enum judged
{
  JUDGED_NOT_YET,
  JUDGED_ACCEPTED,
  JUDGED_REJECTED,
};

static enum judged
judged (struct ctl *ctl, const char *kind, const char *name, uint64_t version,
        json_int_t *configuration)
{
  char status_name[BERYL_NAME_BYTES];
  struct beryl_error error = { 0 };
  json_t *status;
  const char *state;
  enum judged result = JUDGED_NOT_YET;

  ctl_status_name (kind, name, status_name, sizeof status_name);
  status = ctl_get (ctl, STATUS_KIND, status_name, &error);
  if (status == NULL)
    return JUDGED_NOT_YET;
  state = json_string_value (
      json_object_get (json_object_get (status, "value"), "state"));
  if (member (status, "version") >= (json_int_t)version && state != NULL)
    result
        = strcmp (state, "accepted") == 0 ? JUDGED_ACCEPTED : JUDGED_REJECTED;
  *configuration = member (status, "configuration");
  if (result == JUDGED_REJECTED)
    fprintf (stderr, "berylctl: %s %s is rejected:\n%s\n", kind, name,
             json_string_value (json_object_get (
                 json_object_get (status, "value"), "findings")));
  json_decref (status);
  return result;
}

/* Whether all data centres have CONFIGURATION; REPORT prints those that have
 * not. */
static bool
everywhere (struct ctl *ctl, json_int_t configuration, bool report)
{
  struct beryl_error error = { 0 };
  json_t *list = ctl_list (ctl, STATUS_KIND, IN_FORCE_PREFIX, &error);
  bool all = json_array_size (list) > 0;
  size_t i;
  json_t *item;

  json_array_foreach (list, i, item)
  {
    /* A data centre whose nodes have all left holds nothing back. */
    if (member (item, "configuration") >= configuration
        || member (item, "nodes") == 0)
      continue;
    all = false;
    if (report)
      fprintf (stderr,
               "berylctl: %s is at configuration %" JSON_INTEGER_FORMAT
               ", wanted %" JSON_INTEGER_FORMAT "\n",
               json_string_value (json_object_get (
                   json_object_get (item, "value"), "data_centre")),
               member (item, "configuration"), configuration);
  }
  json_decref (list);
  return all;
}

enum ctl_exit
ctl_wait_in_force (struct ctl *ctl, const char *kind, const char *name,
                   uint64_t version)
{
  int64_t end_ms = loop_now_ms (ctl->loop) + ctl->timeout_ms;
  json_int_t configuration = 0;
  enum judged state = JUDGED_NOT_YET;

  while (loop_now_ms (ctl->loop) < end_ms)
    {
      if (state == JUDGED_NOT_YET)
        state = judged (ctl, kind, name, version, &configuration);
      if (state == JUDGED_REJECTED)
        return CTL_REJECTED;
      if (state == JUDGED_ACCEPTED && everywhere (ctl, configuration, false))
        return CTL_OK;
      ctl_sleep (ctl, POLL_MS);
    }
  if (state == JUDGED_NOT_YET)
    fprintf (stderr, "berylctl: %s %s is written but not judged yet\n", kind,
             name);
  else if (everywhere (ctl, configuration, true))
    return CTL_OK;
  return CTL_NOT_IN_FORCE;
}
