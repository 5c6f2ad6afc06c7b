#include "drains.h"

#include <glib.h>

/* Time for all nodes to learn of a drain and for work that was sent before
 * to arrive. */
#define DRAIN_SETTLE_MS 5000
#define WRITE_MS 3000
#define LIST_MS 60000

struct drains
{
  struct control *control;
  uint64_t listing;          /* pending list request; 0: none */
  GHashTable *leaving_since; /* endpoint to the time its leaving fact was
                              * seen, int64_t * in ms */
};

static void
drain_record (struct drains *d, const char *endpoint)
{
  int64_t *since_ms = g_new (int64_t, 1);

  *since_ms = control_now_ms (d->control);
  g_hash_table_replace (d->leaving_since, g_strdup (endpoint), since_ms);
}

/* A previous planner may have died during a drain. */
static void
drains_listed (void *user, const struct beryl_platform_result *result)
{
  struct drains *d = user;

  d->listing = 0;
  for (size_t i = 0; result->code == BERYL_OK && i < result->object_count; i++)
    drain_record (d, result->objects[i].name);
}

struct drains *
drains_create (struct control *control)
{
  struct platform_client_options options
      = { .use = BERYL_USE_CONFIG, .timeout_ms = LIST_MS, .wait = true };
  struct drains *d = g_new0 (struct drains, 1);

  d->control = control;
  d->leaving_since
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  d->listing = platform_client_list (control->platform, &options,
                                     BERYL_DRAIN_KIND, "", drains_listed, d);
  return d;
}

void
drains_destroy (struct drains *d)
{
  if (d == NULL)
    return;
  if (d->listing != 0)
    platform_client_forget (d->control->platform, d->listing);
  g_hash_table_destroy (d->leaving_since);
  g_free (d);
}

static void
drain_written (void *user, const struct beryl_platform_result *result)
{
  (void)user;
  if (result->code != BERYL_OK)
    g_info ("updating a drain failed: %s",
            beryl_error_code_name (result->code));
}

static void
drain_write (struct drains *d, const char *endpoint)
{
  static const char value[] = "{\"by\":\"planner\"}";
  struct platform_client_options options
      = { .use = BERYL_USE_CONFIG, .timeout_ms = WRITE_MS };
  struct beryl_platform_write write = { .kind = BERYL_DRAIN_KIND,
                                        .name = endpoint,
                                        .condition = BERYL_IF_ANY,
                                        .value = value,
                                        .value_bytes = sizeof value - 1 };

  platform_client_put (d->control->platform, &options, &write, drain_written,
                       NULL);
}

bool
drains_ensure (struct drains *d, const char *endpoint)
{
  struct beryl_config_log_object fact;
  const int64_t *since_ms;

  if (!beryl_config_log_find (d->control->config_log, BERYL_INSTANCE_KIND,
                              endpoint, &fact))
    {
      g_hash_table_remove (d->leaving_since, endpoint);
      drain_write (d, endpoint);
      return false;
    }
  since_ms = g_hash_table_lookup (d->leaving_since, endpoint);
  if (since_ms != NULL)
    return control_now_ms (d->control) - *since_ms >= DRAIN_SETTLE_MS;
  drain_record (d, endpoint);
  return false;
}

void
drains_end (struct drains *d, const char *endpoint)
{
  struct platform_client_options options
      = { .use = BERYL_USE_CONFIG, .timeout_ms = WRITE_MS };

  if (g_hash_table_remove (d->leaving_since, endpoint))
    platform_client_delete (d->control->platform, &options, BERYL_DRAIN_KIND,
                            endpoint, 0, drain_written, NULL);
}
