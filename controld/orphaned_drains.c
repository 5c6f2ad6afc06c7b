#include "orphaned_drains.h"

#include <glib.h>

#include "role_task.h"

#define CALL_MS 3000
/* Consecutive reads of the planner's lease, one per TTL, that must show the
 * same version: a live planner renews several times per TTL. */
#define UNCHANGED_READS 5
/* Deletion rate limit, as the platform's write budget is shared. */
#define DELETES_PER_SECOND 10

struct orphaned_drains
{
  struct control *control;
  GHashTable *drains;       /* endpoint to the drain's version, uint64_t * */
  uint64_t request;         /* pending lease read; 0: none */
  int64_t next_read_ms;     /* time of the next lease read */
  uint64_t lease_version;   /* lease version at the last read */
  uint32_t unchanged_reads; /* consecutive reads with that version */
};

struct orphaned_drains *
orphaned_drains_create (struct control *control)
{
  struct orphaned_drains *o = g_new0 (struct orphaned_drains, 1);

  o->control = control;
  o->drains = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return o;
}

void
orphaned_drains_destroy (struct orphaned_drains *o)
{
  if (o == NULL)
    return;
  if (o->request != 0)
    platform_client_forget (o->control->platform, o->request);
  g_hash_table_destroy (o->drains);
  g_free (o);
}

void
orphaned_drains_observe (struct orphaned_drains *o, const char *endpoint,
                         uint64_t version)
{
  if (version == 0)
    g_hash_table_remove (o->drains, endpoint);
  else
    g_hash_table_replace (o->drains, g_strdup (endpoint),
                          g_memdup2 (&version, sizeof version));
}

static bool
planner_is_member (const struct control *control)
{
  for (size_t i = 0; i < beryl_membership_count (control->members); i++)
    {
      const struct beryl_member *m
          = beryl_membership_get (control->members, i);

      if ((m->roles & BERYL_MEMBER_PLANNER) != 0
          && m->state != BERYL_MEMBER_DEAD)
        return true;
    }
  return false;
}

/* A failed read restarts the count: after an outage the planner needs time to
 * renew, and until then the lease looks unchanged. */
static void
lease_read (void *user, const struct beryl_platform_result *result)
{
  struct orphaned_drains *o = user;
  uint64_t version = 0;

  o->request = 0;
  if (result->code == BERYL_OK)
    version = result->objects[0].version;
  else if (result->code != BERYL_ERROR_NOT_FOUND)
    {
      o->unchanged_reads = 0;
      return;
    }
  o->unchanged_reads = o->unchanged_reads > 0 && version == o->lease_version
                           ? o->unchanged_reads + 1
                           : 1;
  o->lease_version = version;
}

static void
lease_poll (struct orphaned_drains *o)
{
  struct platform_client_options options
      = { .use = BERYL_USE_CONFIG, .timeout_ms = CALL_MS };
  int64_t now_ms = control_now_ms (o->control);

  if (o->request != 0 || now_ms < o->next_read_ms)
    return;
  o->next_read_ms = now_ms + o->control->settings.lease_ttl_ms;
  o->request = platform_client_get (
      o->control->platform, &options, CONTROL_LEASE_KIND,
      control_role_name (CONTROL_ROLE_PLANNER), 0, lease_read, o);
}

static void
drain_deleted (void *user, const struct beryl_platform_result *result)
{
  (void)user;
  if (result->code != BERYL_OK)
    g_info ("deleting a drain failed: %s",
            beryl_error_code_name (result->code));
}

/* Deletes only the observed versions: a planner that starts now writes newer
 * ones, which must stay.  Failed deletions are retried until the watch reports
 * the drain as deleted. */
static void
drains_delete (struct orphaned_drains *o)
{
  struct platform_client_options options
      = { .use = BERYL_USE_CONFIG, .timeout_ms = CALL_MS };
  GHashTableIter iter;
  void *endpoint;
  void *version;

  g_hash_table_iter_init (&iter, o->drains);
  for (int i = 0; i < DELETES_PER_SECOND
                  && g_hash_table_iter_next (&iter, &endpoint, &version);
       i++)
    {
      g_warning ("no planner is running: deleting its drain of %s",
                 (const char *)endpoint);
      counters_add (o->control->counters, "beryl_orphaned_drains_total", "",
                    1);
      platform_client_delete (o->control->platform, &options, BERYL_DRAIN_KIND,
                              endpoint, *(uint64_t *)version, drain_deleted,
                              NULL);
    }
}

/* A planner that is switched off leaves its drains behind; their engines stay
 * leaving, and calls for them are held until their deadlines.  Neither the
 * membership nor the lease alone proves that no planner runs: a partitioned
 * planner keeps renewing, and one that lost its lease in an outage is still
 * running.  Both must show no planner. */
void
orphaned_drains_tick (struct orphaned_drains *o)
{
  if (g_hash_table_size (o->drains) == 0 || planner_is_member (o->control)
      || beryl_platform_is_unreachable (
          platform_client_core (o->control->platform)))
    {
      o->unchanged_reads = 0;
      return;
    }
  if (o->unchanged_reads >= UNCHANGED_READS)
    drains_delete (o);
  else
    lease_poll (o);
}
