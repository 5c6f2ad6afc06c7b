#include "registry.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_MS 3000
#define RETRY_MS 200
/* The first lists follow each other quickly, since the nodes of a fleet start
 * together.  Later changes spread by gossip, and the list only corrects what
 * gossip has missed. */
#define INITIAL_LIST_MS 1000
#define INITIAL_LIST_COUNT 2
/* With more nodes each one lists less often. */
#define LIST_MIN_MS 10000
#define LIST_PER_NODE_MS 2000

struct registry
{
  struct loop *loop;
  struct platform_client *client;
  const struct gateway_settings *settings;
  struct registry_owner *owner;
  struct loop_timer *timer;
  uint64_t request;
  uint64_t version;          /* of the record; 0 until this process wrote it */
  uint64_t existing_version; /* of a record left by an earlier process */
  uint64_t delete_request;   /* request that removes another node's record */
  uint32_t list_count;
};

static const struct platform_client_options call_options
    = { .use = BERYL_USE_STATUS, .timeout_ms = CALL_TIMEOUT_MS, .wait = true };

static void write_record (struct registry *r);
static void list_records (void *user);

static void
schedule (struct registry *r, int64_t delay_ms, loop_timer_cb *cb)
{
  loop_timer_stop (r->timer);
  r->timer = loop_timer_start (r->loop, delay_ms, 0, cb, r);
}

static void
retry_write (void *user)
{
  write_record (user);
}

static void
write_done (void *user, const struct beryl_platform_result *result)
{
  struct registry *r = user;

  r->request = 0;
  if (result->code == BERYL_OK)
    {
      r->version = result->version;
      g_info ("registered node=%s incarnation=%" G_GUINT64_FORMAT,
              r->settings->node, r->version);
      r->owner->impl->registered (r->owner, r->version);
      schedule (r, 1, list_records);
      return;
    }
  if (result->code == BERYL_ERROR_CONFLICT)
    r->existing_version = result->version;
  else
    g_warning ("registering node=%s failed: %s", r->settings->node,
               beryl_error_code_name (result->code));
  schedule (r, result->code == BERYL_ERROR_CONFLICT ? 1 : RETRY_MS,
            retry_write);
}

static char *
format_record (struct registry *r, const char *nonce)
{
  const struct gateway_settings *s = r->settings;
  json_t *record
      = json_pack ("{s:s, s:i, s:s, s:s, s:s}", "address", s->front.ip, "port",
                   (int)s->peer_port, "data_centre", s->data_centre, "region",
                   s->region, "nonce", nonce);
  char *text = json_dumps (record, JSON_COMPACT);

  json_decref (record);
  return text;
}

static void
write_record (struct registry *r)
{
  char nonce[BERYL_NONCE_BYTES];
  struct beryl_platform_write write = {
    .kind = REGISTRY_KIND,
    .name = r->settings->node,
    .condition = r->existing_version != 0 ? BERYL_IF_VERSION : BERYL_IF_ABSENT,
    .version = r->existing_version,
    .nonce = nonce,
  };
  char *text;

  beryl_platform_nonce (platform_client_core (r->client), nonce);
  text = format_record (r, nonce);
  write.value = text;
  write.value_bytes = strlen (text);
  r->request
      = platform_client_put (r->client, &call_options, &write, write_done, r);
  free (text);
}

static void
copy_text (const json_t *record, const char *key, char *to, size_t to_bytes)
{
  const char *text = json_string_value (json_object_get (record, key));

  g_strlcpy (to, text != NULL ? text : "", to_bytes);
}

static bool
read_record (const struct beryl_object *object,
             struct beryl_listed_instance *item)
{
  json_t *record = json_loadb (object->value, object->value_bytes, 0, NULL);

  *item = (struct beryl_listed_instance){ 0 };
  g_strlcpy (item->name, object->name, sizeof item->name);
  copy_text (record, "address", item->address, sizeof item->address);
  copy_text (record, "data_centre", item->data_centre,
             sizeof item->data_centre);
  copy_text (record, "region", item->region, sizeof item->region);
  item->port = (uint16_t)json_integer_value (json_object_get (record, "port"));
  json_decref (record);
  return item->address[0] != '\0' && item->port != 0;
}

/* OBJECTS counts node records and quarantine records. */
static int64_t
list_delay_ms (const struct registry *r, size_t objects)
{
  if (r->list_count < INITIAL_LIST_COUNT)
    return INITIAL_LIST_MS;
  return MAX (LIST_MIN_MS, (int64_t)objects * LIST_PER_NODE_MS);
}

static void
delete_done (void *user, const struct beryl_platform_result *result)
{
  ((struct registry *)user)->delete_request = 0;
}

/* Removes one record at a time; the next list shows the others again.  Names
 * of quarantine records are not those of nodes, so should_remove is false for
 * them. */
static void
remove_stale_record (struct registry *r, const struct beryl_object *objects,
                     size_t count)
{
  for (size_t i = 0; i < count && r->delete_request == 0; i++)
    {
      const char *node = objects[i].name;

      if (strcmp (node, r->settings->node) == 0
          || !r->owner->impl->should_remove (r->owner, node))
        continue;
      g_info ("record of node=%s is being removed", node);
      r->delete_request
          = platform_client_delete (r->client, &call_options, REGISTRY_KIND,
                                    node, objects[i].version, delete_done, r);
    }
}

static bool
contains_own (const struct registry *r,
              const struct beryl_listed_instance *items, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (items[i].name, r->settings->node) == 0)
      return true;
  return false;
}

static void
list_done (void *user, const struct beryl_platform_result *result)
{
  struct registry *r = user;
  struct beryl_listed_instance *items;
  size_t count = 0;

  r->request = 0;
  r->list_count++;
  schedule (r, list_delay_ms (r, result->object_count), list_records);
  if (result->code != BERYL_OK)
    return;
  r->owner->impl->objects_listed (r->owner, result->objects,
                                  result->object_count);
  items = g_new0 (struct beryl_listed_instance, result->object_count + 1);
  for (size_t i = 0; i < result->object_count; i++)
    count += read_record (&result->objects[i], &items[count]);
  r->owner->impl->records_listed (r->owner, items, count);
  remove_stale_record (r, result->objects, result->object_count);
  /* Another node has removed this one's record, for instance in a partition:
     register again. */
  if (!contains_own (r, items, count))
    {
      r->existing_version = 0;
      schedule (r, 1, retry_write);
    }
  g_free (items);
}

static void
list_records (void *user)
{
  struct registry *r = user;
  struct platform_client_options options = call_options;

  options.wait = false;
  r->request = platform_client_list (r->client, &options, REGISTRY_KIND, "",
                                     list_done, r);
}

void
registry_refresh (struct registry *r)
{
  if (r->version != 0 && r->request == 0)
    schedule (r, 1, list_records);
}

struct registry *
registry_create (struct loop *loop, struct platform_client *client,
                 const struct gateway_settings *settings,
                 struct registry_owner *owner)
{
  struct registry *r = g_new0 (struct registry, 1);

  r->loop = loop;
  r->client = client;
  r->settings = settings;
  r->owner = owner;
  write_record (r);
  return r;
}

void
registry_destroy (struct registry *r)
{
  if (r == NULL)
    return;
  loop_timer_stop (r->timer);
  if (r->request != 0)
    platform_client_forget (r->client, r->request);
  if (r->delete_request != 0)
    platform_client_forget (r->client, r->delete_request);
  g_free (r);
}

static void
withdraw_done (void *user, const struct beryl_platform_result *result)
{
  struct registry *r = user;

  r->request = 0;
  if (result->code != BERYL_OK)
    g_warning ("withdrawing node=%s failed: %s", r->settings->node,
               beryl_error_code_name (result->code));
}

void
registry_withdraw (struct registry *r)
{
  loop_timer_stop (r->timer);
  r->timer = NULL;
  if (r->request != 0)
    platform_client_forget (r->client, r->request);
  r->request = 0;
  if (r->version != 0)
    r->request = platform_client_delete (r->client, &call_options,
                                         REGISTRY_KIND, r->settings->node,
                                         r->version, withdraw_done, r);
}
