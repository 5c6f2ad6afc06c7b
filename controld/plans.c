#include "plans.h"

#include <glib.h>
#include <stdlib.h>

#define WRITE_MS 3000
#define LIST_MS 60000
/* What was learned of the days is kept in objects of this kind, for the next
 * planner. */
#define PLAN_KIND "plans"
#define SAVE_MS 600000

struct plans
{
  struct control *control;
  struct beryl_planner *planner; /* borrowed */
  uint64_t restoring;            /* request under way; 0: none */
  int64_t save_ms;               /* when profiles are saved next */
};

static void
plan_written (void *user, const struct beryl_platform_result *result)
{
  (void)user;
  if (result->code != BERYL_OK)
    g_info ("plan not written: %s", beryl_error_code_name (result->code));
}

static void
plan_save (struct plans *p, const char *service)
{
  struct platform_client_options options
      = { .use = BERYL_USE_STATUS, .timeout_ms = WRITE_MS };
  struct beryl_platform_write write
      = { .kind = PLAN_KIND, .name = service, .condition = BERYL_IF_ANY };
  char *text = beryl_planner_save (p->planner, service, &write.value_bytes);

  write.value = text;
  if (text != NULL)
    platform_client_put (p->control->platform, &options, &write, plan_written,
                         NULL);
  free (text);
}

void
plans_tick (struct plans *p)
{
  int64_t now_ms = control_now_ms (p->control);

  if (p->restoring != 0 || now_ms < p->save_ms)
    return;
  p->save_ms = now_ms + SAVE_MS;
  for (size_t i = 0; i < beryl_planner_service_count (p->planner); i++)
    plan_save (p, beryl_planner_service_name (p->planner, i));
}

static void
plans_listed (void *user, const struct beryl_platform_result *result)
{
  struct plans *p = user;

  p->restoring = 0;
  if (result->code != BERYL_OK)
    return;
  for (size_t i = 0; i < result->object_count; i++)
    if (beryl_planner_restore (p->planner, result->objects[i].name,
                               result->objects[i].value,
                               result->objects[i].value_bytes))
      g_info ("profile of %s restored", result->objects[i].name);
}

struct plans *
plans_create (struct control *control, struct beryl_planner *planner)
{
  struct platform_client_options options
      = { .use = BERYL_USE_STATUS, .timeout_ms = LIST_MS, .wait = true };
  struct plans *p = g_new0 (struct plans, 1);

  p->control = control;
  p->planner = planner;
  p->save_ms = control_now_ms (control) + SAVE_MS;
  p->restoring = platform_client_list (control->platform, &options, PLAN_KIND,
                                       "", plans_listed, p);
  return p;
}

void
plans_destroy (struct plans *p)
{
  if (p == NULL)
    return;
  if (p->restoring != 0)
    platform_client_forget (p->control->platform, p->restoring);
  g_free (p);
}
