#include "config_source.h"

#include <stdlib.h>
#include <string.h>

#include "common/yaml.h"
#include "claims_link.h"
#include "peers.h"
#include "wire/local.h"

#define STATIC_VERSION 1

/* A file holds one array of objects or one object a document. */
static char *
file_objects (const struct yaml_file *file)
{
  json_t *documents = yaml_file_documents (file);
  json_t *first = json_array_get (documents, 0);

  return json_dumps (json_is_array (first) ? first : documents, JSON_COMPACT);
}

static struct beryl_config *
read_static (const char *path, struct beryl_findings *findings)
{
  struct yaml_file *file = yaml_file_load (path, findings);
  struct beryl_config *config;
  char *json;

  if (file == NULL)
    return NULL;
  json = file_objects (file);
  config = beryl_config_parse (json, strlen (json), STATIC_VERSION, findings);
  free (json);
  yaml_file_destroy (file);
  return config;
}

static bool
use_static (struct entry *entry, struct beryl_error *error)
{
  struct beryl_findings *findings = beryl_findings_create ();
  struct beryl_config *config
      = read_static (entry->settings->static_config, findings);
  char *text = beryl_findings_format (findings);

  if (config != NULL)
    entry_use_config (entry, config);
  else
    beryl_error_set (error, BERYL_ERROR_INVALID, "%s: %s",
                     entry->settings->static_config, text);
  free (text);
  beryl_findings_destroy (findings);
  return config != NULL;
}

/* Endpoints that the instance list says are leaving get no new work, even
 * though their objects do not say so. */
static void
mark_leaving (struct beryl_config *config, const struct local_view *view)
{
  for (size_t i = 0; i < view->leaving_count; i++)
    for (size_t j = 0; j < config->endpoint_count; j++)
      if (strcmp (config->endpoints[j].name, view->leaving[i]) == 0)
        config->endpoints[j].leaving = true;
}

/* A view may bring new objects, new leaving endpoints, or both. */
static void
view_config (struct entry *entry, const struct local_view *view)
{
  struct beryl_findings *findings;
  struct beryl_config *config;

  if (view->objects_json != NULL)
    {
      g_free (entry->objects_json);
      entry->objects_json
          = g_strndup (view->objects_json, view->objects_bytes);
    }
  if (entry->objects_json == NULL || view->config_version == 0)
    return;
  findings = beryl_findings_create ();
  config
      = beryl_config_parse (entry->objects_json, strlen (entry->objects_json),
                            view->config_version, findings);
  if (config != NULL)
    {
      mark_leaving (config, view);
      entry_use_config (entry, config);
    }
  else
    {
      char *text = beryl_findings_format (findings);

      g_warning ("an accepted configuration does not parse here: %s", text);
      free (text);
    }
  beryl_findings_destroy (findings);
}

static bool
same_leaving (const struct entry *entry, const struct local_view *view)
{
  size_t n = view->leaving_count;

  return n == entry->leaving_count
         && (n == 0
             || memcmp (entry->leaving, view->leaving,
                        n * sizeof *view->leaving)
                    == 0);
}

static void
keep_leaving (struct entry *entry, const struct local_view *view)
{
  g_free (entry->leaving);
  entry->leaving_count = view->leaving_count;
  entry->leaving
      = g_memdup2 (view->leaving, view->leaving_count * sizeof *view->leaving);
}

static void
keep_members (struct entry *entry, const struct local_view *view)
{
  const char **names = g_new0 (const char *, view->member_count + 1);
  size_t live = 0;

  g_free (entry->members);
  entry->member_count = view->member_count;
  entry->members
      = g_memdup2 (view->members, view->member_count * sizeof *view->members);
  for (size_t i = 0; i < entry->member_count; i++)
    if (entry->members[i].state == LOCAL_MEMBER_LIVE)
      names[live++] = entry->members[i].node;
  beryl_router_set_members (entry->router, names, live,
                            loop_now_ms (entry->loop));
  /* Cut off, this node would be every shard's home by its own view, and as
   * such call keys "not run" that the others have written meanwhile. */
  claims_link_members (entry->claims, names, view->isolated ? 0 : live);
  g_free (names);
  counters_set (entry->counters, "beryl_members", "", live);
}

void
config_source_view (struct entry *entry, const struct local_view *view)
{
  bool changed = view->objects_json != NULL || !same_leaving (entry, view);

  entry->isolated = view->isolated;
  keep_members (entry, view);
  keep_leaving (entry, view);
  if (changed)
    view_config (entry, view);
  counters_set (entry->counters, "beryl_config_stale_ms", "",
                (uint64_t)view->stale_ms);
}

static void
take_view (struct control_link_owner *owner, const struct local_view *view)
{
  struct entry *entry
      = (struct entry *)((char *)owner
                         - G_STRUCT_OFFSET (struct entry, link_owner));

  config_source_view (entry, view);
  /* Not the view's version: what does not parse here is not in use. */
  if (entry->config != NULL)
    control_link_applied (entry->link, entry->config->version);
}

static void
link_connected (struct control_link_owner *owner, bool up)
{
  struct entry *entry
      = (struct entry *)((char *)owner
                         - G_STRUCT_OFFSET (struct entry, link_owner));

  counters_set (entry->counters, "beryl_control_connected", "", up);
  g_info ("beryl-controld is %s", up ? "connected" : "away");
}

static const struct control_link_owner_impl link_impl = {
  .view = take_view,
  .connected = link_connected,
};

bool
config_source_start (struct entry *entry, struct beryl_error *error)
{
  const struct entry_settings *settings = entry->settings;
  struct local_hello hello = {
    .incarnation = entry->incarnation,
    .http_port = http_server_port (entry->server),
    .peer_port = peers_port (entry->peers),
  };

  if (settings->static_config[0] != '\0')
    {
      const char *self = settings->node;

      beryl_router_set_members (entry->router, &self, 1,
                                loop_now_ms (entry->loop));
      claims_link_members (entry->claims, &self, 1);
      return use_static (entry, error);
    }
  entry->link_owner.impl = &link_impl;
  entry->link
      = control_link_create (entry->loop, settings->control_port, &hello,
                             entry->incarnation, &entry->link_owner);
  return true;
}

void
config_source_stop (struct entry *entry)
{
  if (entry->link != NULL)
    control_link_destroy (entry->link);
  entry->link = NULL;
  g_free (entry->objects_json);
  g_free (entry->members);
  g_free (entry->leaving);
}
