#include "claims_link.h"

#include <string.h>

#include "common/platform_client.h"
#include "peers.h"

#define READ_TIMEOUT_MS 2000
#define WRITE_TIMEOUT_MS 3000

struct claims_link
{
  struct beryl_claims_owner owner;
  struct entry *entry;
  struct platform_client *platform;
  struct beryl_claims *claims; /* NULL: no platform or no configuration */
  uint64_t seed;
  char **nodes;
  GQueue results;    /* struct result, told from the loop */
  GQueue lost;       /* names of nodes, told from the loop */
  GHashTable *calls; /* struct call in flight, owned */
  struct loop_timer *later;
  struct loop_timer *tick;
};

/* A claim's end on its way to beryl_requests. */
struct result
{
  uint64_t request;
  enum beryl_claim_result result;
  uint64_t incarnation;
};

/* One call of the claim log to the object API. */
struct call
{
  struct claims_link *link;
  uint64_t call;
};

static void arm (struct claims_link *link);

static void
tell_results (struct claims_link *link)
{
  struct result *result;

  while ((result = g_queue_pop_head (&link->results)) != NULL)
    {
      struct beryl_event event = {
        .type = BERYL_EVENT_CLAIM_RESULT,
        .request = result->request,
      };

      event.claim.result = result->result;
      event.claim.incarnation = result->incarnation;
      entry_event (link->entry, &event);
      g_free (result);
    }
}

static void
tell_lost (struct claims_link *link)
{
  char *node;

  while ((node = g_queue_pop_head (&link->lost)) != NULL)
    {
      if (link->claims != NULL)
        beryl_claims_node_down (link->claims, node,
                                loop_now_ms (link->entry->loop));
      g_free (node);
    }
}

/* The log's callbacks may not call it, and neither may an action of
 * beryl_requests cause an event; what follows waits for the loop. */
static void
run_later (void *user)
{
  struct claims_link *link = user;

  loop_timer_stop (link->later);
  link->later = NULL;
  tell_lost (link);
  tell_results (link);
  arm (link);
}

static void
schedule_later (struct claims_link *link)
{
  if (link->later == NULL)
    link->later = loop_timer_start (link->entry->loop, 0, 0, run_later, link);
}

static void
add_result (struct claims_link *link, uint64_t request,
            enum beryl_claim_result code, uint64_t incarnation)
{
  struct result *result = g_new0 (struct result, 1);
  char labels[32];
  static const char *const names[] = {
    [BERYL_CLAIM_GRANTED] = "granted",
    [BERYL_CLAIM_TAKEN] = "taken",
    [BERYL_CLAIM_MISMATCH] = "mismatch",
    [BERYL_CLAIM_UNAVAILABLE] = "unavailable",
    [BERYL_CLAIM_UNKNOWN] = "unknown",
  };

  g_snprintf (labels, sizeof labels, "result=\"%s\"", names[code]);
  counters_add (link->entry->counters, "beryl_claims_total", labels, 1);
  result->request = request;
  result->result = code;
  result->incarnation = incarnation;
  g_queue_push_tail (&link->results, result);
  schedule_later (link);
}

static struct claims_link *
link_of (struct beryl_claims_owner *owner)
{
  return (struct claims_link *)owner;
}

static void
on_result (struct beryl_claims_owner *owner, uint64_t request,
           enum beryl_claim_result result, uint64_t incarnation)
{
  add_result (link_of (owner), request, result, incarnation);
}

static void
on_send (struct beryl_claims_owner *owner, const char *node,
         const struct beryl_claim_message *message)
{
  /* What could not be sent is asked again; it does not prove that NODE's
   * process is gone, which only a refused connection does. */
  peers_send_claim (link_of (owner)->entry->peers, node, message);
}

static struct call *
call_create (struct claims_link *link, uint64_t number)
{
  struct call *call = g_new0 (struct call, 1);

  call->link = link;
  call->call = number;
  g_hash_table_add (link->calls, call);
  return call;
}

static void
read_ended (void *user, const struct beryl_platform_result *result)
{
  struct call *call = user;
  struct claims_link *link = call->link;

  beryl_claims_read_done (link->claims, call->call, result->code,
                          result->objects, result->object_count,
                          loop_now_ms (link->entry->loop));
  g_hash_table_remove (link->calls, call);
  arm (link);
}

static void
write_ended (void *user, const struct beryl_platform_result *result)
{
  struct call *call = user;
  struct claims_link *link = call->link;

  beryl_claims_write_done (link->claims, call->call, result->code,
                           loop_now_ms (link->entry->loop));
  g_hash_table_remove (link->calls, call);
  arm (link);
}

static const struct platform_client_options read_options
    = { BERYL_USE_CLAIM, READ_TIMEOUT_MS, false };
static const struct platform_client_options write_options
    = { BERYL_USE_CLAIM, WRITE_TIMEOUT_MS, false };

static void
on_list (struct beryl_claims_owner *owner, uint64_t call, const char *prefix)
{
  struct claims_link *link = link_of (owner);

  platform_client_list (link->platform, &read_options, BERYL_CLAIMS_KIND,
                        prefix, read_ended, call_create (link, call));
}

static void
on_get (struct beryl_claims_owner *owner, uint64_t call, const char *name)
{
  struct claims_link *link = link_of (owner);

  platform_client_get (link->platform, &read_options, BERYL_CLAIMS_KIND, name,
                       0, read_ended, call_create (link, call));
}

static void
on_create (struct beryl_claims_owner *owner, uint64_t call, const char *name,
           const char *value, size_t value_bytes, const char *nonce)
{
  struct claims_link *link = link_of (owner);
  struct beryl_platform_write write = {
    .kind = BERYL_CLAIMS_KIND,
    .name = name,
    .condition = BERYL_IF_ABSENT,
    .value = value,
    .value_bytes = value_bytes,
    .nonce = nonce,
  };

  platform_client_put (link->platform, &write_options, &write, write_ended,
                       call_create (link, call));
}

static void
on_remove (struct beryl_claims_owner *owner, uint64_t call, const char *name)
{
  struct claims_link *link = link_of (owner);

  platform_client_delete (link->platform, &write_options, BERYL_CLAIMS_KIND,
                          name, 0, write_ended, call_create (link, call));
}

static const struct beryl_claims_owner_impl owner_impl = {
  .result = on_result,
  .send = on_send,
  .list = on_list,
  .get = on_get,
  .create = on_create,
  .remove = on_remove,
};

static void
tick (void *user)
{
  struct claims_link *link = user;

  loop_timer_stop (link->tick);
  link->tick = NULL;
  beryl_claims_tick (link->claims, loop_now_ms (link->entry->loop));
  arm (link);
}

static void
arm (struct claims_link *link)
{
  int64_t next_ms;
  int64_t now_ms = loop_now_ms (link->entry->loop);

  if (link->claims == NULL)
    return;
  loop_timer_stop (link->tick);
  link->tick = NULL;
  next_ms = beryl_claims_next_ms (link->claims);
  if (next_ms != BERYL_NEVER_MS)
    link->tick = loop_timer_start (link->entry->loop,
                                   next_ms > now_ms ? next_ms - now_ms : 1, 0,
                                   tick, link);
}

static struct platform_client *
create_platform (struct entry *entry, uint64_t seed)
{
  const struct entry_settings *settings = entry->settings;
  struct platform_client_settings s = {
    .address = settings->platform_address,
    .port = settings->platform_port,
    .seed = seed,
  };
  struct platform_client *platform;
  char *token = NULL;

  if (settings->platform_token_file[0] != '\0'
      && g_file_get_contents (settings->platform_token_file, &token, NULL,
                              NULL))
    s.token = g_strstrip (token);
  platform
      = platform_client_create (entry->loop, entry->http, &s, entry->counters);
  g_free (token);
  return platform;
}

struct claims_link *
claims_link_create (struct entry *entry, uint64_t seed)
{
  struct claims_link *link = g_new0 (struct claims_link, 1);

  link->entry = entry;
  link->seed = seed;
  link->owner.impl = &owner_impl;
  link->calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  if (entry->settings->platform_port != 0)
    link->platform = create_platform (entry, seed);
  return link;
}

void
claims_link_destroy (struct claims_link *link)
{
  if (link == NULL)
    return;
  loop_timer_stop (link->tick);
  loop_timer_stop (link->later);
  platform_client_destroy (link->platform);
  g_hash_table_destroy (link->calls);
  beryl_claims_destroy (link->claims);
  g_queue_clear_full (&link->results, g_free);
  g_queue_clear_full (&link->lost, g_free);
  g_strfreev (link->nodes);
  g_free (link);
}

void
claims_link_claim (struct claims_link *link, const struct beryl_action *action)
{
  if (link->claims == NULL)
    {
      add_result (link, action->request, BERYL_CLAIM_UNAVAILABLE, 0);
      return;
    }
  beryl_claims_claim (link->claims, action->request,
                      action->claim.organisation, action->claim.key,
                      action->claim.call_hash,
                      loop_now_ms (link->entry->loop));
  arm (link);
}

static void
give_members (struct claims_link *link)
{
  if (link->claims == NULL || link->nodes == NULL)
    return;
  beryl_claims_set_members (link->claims, (const char *const *)link->nodes,
                            g_strv_length (link->nodes),
                            loop_now_ms (link->entry->loop));
  arm (link);
}

void
claims_link_members (struct claims_link *link, const char *const *nodes,
                     size_t node_count)
{
  GPtrArray *names = g_ptr_array_new ();

  for (size_t i = 0; i < node_count; i++)
    g_ptr_array_add (names, g_strdup (nodes[i]));
  g_ptr_array_add (names, NULL);
  g_strfreev (link->nodes);
  link->nodes = (char **)g_ptr_array_free (names, FALSE);
  give_members (link);
}

void
claims_link_message (struct claims_link *link, const char *node,
                     const struct beryl_claim_message *message)
{
  if (link->claims == NULL)
    return;
  beryl_claims_handle_message (link->claims, node, message,
                               loop_now_ms (link->entry->loop));
  arm (link);
}

void
claims_link_unreachable (struct claims_link *link, const char *node)
{
  g_queue_push_tail (&link->lost, g_strdup (node));
  schedule_later (link);
}

/* The number of shards may never change, so that the first configuration
 * decides it; retention follows it too. */
void
claims_link_config (struct claims_link *link,
                    const struct beryl_config *config)
{
  struct beryl_claims_settings settings = {
    .node = link->entry->settings->node,
    .incarnation = link->entry->incarnation,
    .seed = link->seed,
    .shards = config->system.claim_shards,
    .retention_ms = config->system.claim_retention_ms,
  };

  if (link->platform == NULL || link->claims != NULL)
    return;
  link->claims = beryl_claims_create (&settings, &link->owner);
  give_members (link);
}
