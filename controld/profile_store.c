#include "profile_store.h"

#include <glib.h>
#include <stdlib.h>

#define WRITE_MS 3000
#define LIST_MS 60000
/* Kind of the objects that hold the profiles. */
#define PROFILE_KIND "plans"
#define SAVE_INTERVAL_MS 600000

struct profile_store
{
  struct control *control;
  struct beryl_planner *planner; /* borrowed */
  uint64_t request;              /* pending list request; 0: none */
  int64_t next_save_ms;          /* time of the next save */
};

static void
profile_written (void *user, const struct beryl_platform_result *result)
{
  (void)user;
  if (result->code != BERYL_OK)
    g_info ("saving a profile failed: %s",
            beryl_error_code_name (result->code));
}

static void
profile_save (struct profile_store *p, const char *service)
{
  struct platform_client_options options
      = { .use = BERYL_USE_STATUS, .timeout_ms = WRITE_MS };
  struct beryl_platform_write write
      = { .kind = PROFILE_KIND, .name = service, .condition = BERYL_IF_ANY };
  char *text = beryl_planner_save (p->planner, service, &write.value_bytes);

  write.value = text;
  if (text != NULL)
    platform_client_put (p->control->platform, &options, &write,
                         profile_written, NULL);
  free (text);
}

void
profile_store_tick (struct profile_store *p)
{
  int64_t now_ms = control_now_ms (p->control);

  if (p->request != 0 || now_ms < p->next_save_ms)
    return;
  p->next_save_ms = now_ms + SAVE_INTERVAL_MS;
  for (size_t i = 0; i < beryl_planner_service_count (p->planner); i++)
    profile_save (p, beryl_planner_service_name (p->planner, i));
}

static void
profiles_listed (void *user, const struct beryl_platform_result *result)
{
  struct profile_store *p = user;

  p->request = 0;
  if (result->code != BERYL_OK)
    return;
  for (size_t i = 0; i < result->object_count; i++)
    if (beryl_planner_restore (p->planner, result->objects[i].name,
                               result->objects[i].value,
                               result->objects[i].value_bytes))
      g_info ("profile of %s restored", result->objects[i].name);
}

struct profile_store *
profile_store_create (struct control *control, struct beryl_planner *planner)
{
  struct platform_client_options options
      = { .use = BERYL_USE_STATUS, .timeout_ms = LIST_MS, .wait = true };
  struct profile_store *p = g_new0 (struct profile_store, 1);

  p->control = control;
  p->planner = planner;
  p->next_save_ms = control_now_ms (control) + SAVE_INTERVAL_MS;
  p->request = platform_client_list (control->platform, &options, PROFILE_KIND,
                                     "", profiles_listed, p);
  return p;
}

void
profile_store_destroy (struct profile_store *p)
{
  if (p == NULL)
    return;
  if (p->request != 0)
    platform_client_forget (p->control->platform, p->request);
  g_free (p);
}
