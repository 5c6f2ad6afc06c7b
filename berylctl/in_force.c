#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "beryl/ids.h"
#include "ctl.h"

#define STATUS_KIND "status"
#define IN_FORCE_PREFIX "in-force."
#define POLL_MS 200

/* Must match status_name() of beryl-controld. */
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
value_integer (const json_t *object, const char *key)
{
  return json_integer_value (
      json_object_get (json_object_get (object, "value"), key));
}

/* Validation result of a version of an object. */
enum validation_state
{
  VALIDATION_PENDING,
  VALIDATION_ACCEPTED,
  VALIDATION_REJECTED,
};

static enum validation_state
validation_read (struct ctl *ctl, const char *kind, const char *name,
                 uint64_t version, json_int_t *configuration)
{
  char status_name[BERYL_NAME_BYTES];
  struct beryl_error error = { 0 };
  json_t *status;
  const char *state;
  enum validation_state result = VALIDATION_PENDING;

  ctl_status_name (kind, name, status_name, sizeof status_name);
  status = ctl_get (ctl, STATUS_KIND, status_name, &error);
  if (status == NULL)
    return VALIDATION_PENDING;
  state = json_string_value (
      json_object_get (json_object_get (status, "value"), "state"));
  if (value_integer (status, "version") >= (json_int_t)version
      && state != NULL)
    result = strcmp (state, "accepted") == 0 ? VALIDATION_ACCEPTED
                                             : VALIDATION_REJECTED;
  *configuration = value_integer (status, "configuration");
  if (result == VALIDATION_REJECTED)
    fprintf (stderr, "berylctl: %s %s is rejected:\n%s\n", kind, name,
             json_string_value (json_object_get (
                 json_object_get (status, "value"), "findings")));
  json_decref (status);
  return result;
}

/* Returns whether CONFIGURATION is in force in all data centres; REPORT prints
 * those where it is not. */
static bool
in_force_everywhere (struct ctl *ctl, json_int_t configuration, bool report)
{
  struct beryl_error error = { 0 };
  json_t *list = ctl_list (ctl, STATUS_KIND, IN_FORCE_PREFIX, &error);
  bool all = json_array_size (list) > 0;
  size_t i;
  json_t *item;

  json_array_foreach (list, i, item)
  {
    /* Data centres whose nodes have all left are ignored. */
    if (value_integer (item, "configuration") >= configuration
        || value_integer (item, "nodes") == 0)
      continue;
    all = false;
    if (report)
      fprintf (stderr,
               "berylctl: %s is at configuration %" JSON_INTEGER_FORMAT
               ", wanted %" JSON_INTEGER_FORMAT "\n",
               json_string_value (json_object_get (
                   json_object_get (item, "value"), "data_centre")),
               value_integer (item, "configuration"), configuration);
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
  enum validation_state state = VALIDATION_PENDING;

  while (loop_now_ms (ctl->loop) < end_ms)
    {
      if (state == VALIDATION_PENDING)
        state = validation_read (ctl, kind, name, version, &configuration);
      if (state == VALIDATION_REJECTED)
        return CTL_REJECTED;
      if (state == VALIDATION_ACCEPTED
          && in_force_everywhere (ctl, configuration, false))
        return CTL_OK;
      ctl_sleep (ctl, POLL_MS);
    }
  if (state == VALIDATION_PENDING)
    fprintf (stderr, "berylctl: %s %s is written but not validated yet\n",
             kind, name);
  else if (in_force_everywhere (ctl, configuration, true))
    return CTL_OK;
  return CTL_NOT_IN_FORCE;
}
