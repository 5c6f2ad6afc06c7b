#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "private.h"

/* Loads are saved as integers in hundredths. */
#define LOAD_SCALE 100

static json_t *
profile_pack (const struct beryl_sizer *sizer)
{
  json_t *array = json_array ();
  size_t count = 0;
  const double *profile = beryl_sizer_profile (sizer, &count);

  for (size_t i = 0; i < count; i++)
    json_array_append_new (
        array,
        json_integer (profile[i] < 0 ? -1
                                     : (json_int_t)(profile[i] * LOAD_SCALE)));
  return array;
}

char *
beryl_planner_save (const struct beryl_planner *p, const char *service,
                    size_t *bytes_count)
{
  const struct service *s = planner_service (p, service);
  json_t *json;
  char *text;

  if (s == NULL)
    return NULL;
  json = json_object ();
  json_object_set_new (json, "step_ms",
                       json_integer ((json_int_t)p->settings.step_ms));
  json_object_set_new (json, "decode", profile_pack (s->decode_sizer));
  json_object_set_new (json, "prefill", profile_pack (s->prefill_sizer));
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  *bytes_count = text != NULL ? strlen (text) : 0;
  return text;
}

static void
profile_unpack (struct beryl_sizer *sizer, json_t *array)
{
  json_t *value;
  size_t i;

  json_array_foreach (array, i, value)
  {
    json_int_t load = json_integer_value (value);

    if (json_is_integer (value) && load >= 0)
      beryl_sizer_restore_step (sizer, i, (double)load / LOAD_SCALE);
  }
}

bool
beryl_planner_restore (struct beryl_planner *p, const char *service,
                       const char *text, size_t bytes_count)
{
  struct service *s = planner_service (p, service);
  json_t *json = json_loadb (text, bytes_count, JSON_REJECT_DUPLICATES, NULL);
  json_t *step = json_object_get (json, "step_ms");
  bool ok = s != NULL && json_integer_value (step) == p->settings.step_ms;

  if (ok)
    {
      profile_unpack (s->decode_sizer, json_object_get (json, "decode"));
      profile_unpack (s->prefill_sizer, json_object_get (json, "prefill"));
    }
  json_decref (json);
  return ok;
}

size_t
beryl_planner_service_count (const struct beryl_planner *p)
{
  return p->service_count;
}

const char *
beryl_planner_service_name (const struct beryl_planner *p, size_t i)
{
  return p->services[i].name;
}
