#include "demand.h"

#include <string.h>

#define REPORT_MS 500

/* What has come since the last report. */
struct demand
{
  struct entry *entry;
  struct loop_timer *timer;
  GHashTable *services; /* name -> struct local_load */
};

static struct local_load *
load_of (struct demand *demand, const char *service)
{
  struct local_load *load = g_hash_table_lookup (demand->services, service);

  if (load != NULL)
    return load;
  load = g_new0 (struct local_load, 1);
  g_strlcpy (load->service, service, sizeof load->service);
  g_hash_table_insert (demand->services, load->service, load);
  return load;
}

static void
count_open (struct demand *demand)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, demand->entry->open);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry_request *request = value;

      if (request->service[0] == '\0' || request->answered)
        continue;
      if (request->waiting)
        load_of (demand, request->service)->waiting++;
      else
        load_of (demand, request->service)->running++;
    }
}

static gboolean
is_idle (gpointer key, gpointer value, gpointer user)
{
  const struct local_load *load = value;

  return load->arrived == 0 && load->waiting == 0 && load->running == 0
         && load->output_tokens == 0;
}

static void
start_again (struct local_load *load)
{
  char service[BERYL_NAME_BYTES];

  memcpy (service, load->service, sizeof service);
  memset (load, 0, sizeof *load);
  memcpy (load->service, service, sizeof service);
}

static void
report (void *user)
{
  struct demand *demand = user;
  struct local_loads loads = { 0 };
  GHashTableIter iter;
  gpointer value;

  if (demand->entry->link == NULL)
    return;
  count_open (demand);
  loads.items
      = g_new0 (struct local_load, g_hash_table_size (demand->services) + 1);
  g_hash_table_iter_init (&iter, demand->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    loads.items[loads.count++] = *(struct local_load *)value;
  if (loads.count > 0)
    control_link_loads (demand->entry->link, &loads);
  g_free (loads.items);
  /* A service is told idle once, then not at all. */
  g_hash_table_foreach_remove (demand->services, is_idle, NULL);
  g_hash_table_iter_init (&iter, demand->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    start_again (value);
}

struct demand *
demand_create (struct entry *entry)
{
  struct demand *demand = g_new0 (struct demand, 1);

  demand->entry = entry;
  demand->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  demand->timer
      = loop_timer_start (entry->loop, REPORT_MS, REPORT_MS, report, demand);
  return demand;
}

void
demand_destroy (struct demand *demand)
{
  if (demand == NULL)
    return;
  loop_timer_stop (demand->timer);
  g_hash_table_destroy (demand->services);
  g_free (demand);
}

void
demand_arrived (struct demand *demand, const char *service,
                uint32_t prompt_tokens)
{
  struct local_load *load = load_of (demand, service);

  load->arrived++;
  load->prompt_tokens += prompt_tokens;
}

void
demand_answered (struct demand *demand, const char *service,
                 uint32_t output_tokens)
{
  load_of (demand, service)->output_tokens += output_tokens;
}

/* It is not waiting any more, but it is demand that a pool of size nothing
 * must hear of, or nobody would ever warm an engine. */
void
demand_refused (struct demand *demand, const char *service)
{
  load_of (demand, service)->waiting++;
}
