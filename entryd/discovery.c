#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/discovery.h"
#include "calls.h"
#include "problem.h"

/* Without members this node is the only one. */
static struct local_member
self_member (struct entry *entry)
{
  const struct entry_settings *settings = entry->settings;
  struct local_member self = {
    .incarnation = entry->incarnation,
    .http_port = http_server_port (entry->server),
    .state = entry->draining ? LOCAL_MEMBER_LEAVING : LOCAL_MEMBER_LIVE,
  };

  g_strlcpy (self.node, settings->node, sizeof self.node);
  g_strlcpy (self.address, settings->address, sizeof self.address);
  g_strlcpy (self.data_centre, settings->data_centre, sizeof self.data_centre);
  g_strlcpy (self.region, settings->region, sizeof self.region);
  return self;
}

/* An answer names only nodes whose entryd is up: without an incarnation no
 * key could be bound to it. */
static size_t
fill_nodes (const struct entry *entry, const struct local_member *members,
            size_t member_count, struct beryl_discovery_node *nodes)
{
  for (size_t i = 0; i < member_count; i++)
    {
      const struct local_member *m = &members[i];
      bool self = strcmp (m->node, entry->settings->node) == 0;

      nodes[i].name = m->node;
      nodes[i].data_centre = m->data_centre;
      nodes[i].region = m->region;
      nodes[i].suspect = m->state == LOCAL_MEMBER_SUSPECT;
      nodes[i].leaving = m->state == LOCAL_MEMBER_LEAVING
                         || m->incarnation == 0
                         || (self && (entry->draining || entry->isolated));
    }
  return member_count;
}

static json_t *
format_member (const struct local_member *m, uint32_t weight, bool tls)
{
  char incarnation[20];
  char url[96];

  g_snprintf (incarnation, sizeof incarnation, "%016" G_GINT64_MODIFIER "x",
              m->incarnation);
  g_snprintf (url, sizeof url,
              strchr (m->address, ':') != NULL ? "%s://[%s]:%u" : "%s://%s:%u",
              tls ? "https" : "http", m->address, m->http_port);
  return json_pack ("{s:s, s:s, s:i, s:s, s:s, s:s, s:s, s:i}", "node",
                    m->node, "address", m->address, "port", (int)m->http_port,
                    "url", url, "data_centre", m->data_centre, "region",
                    m->region, "incarnation", incarnation, "weight",
                    (int)weight);
}

static void
choose (struct entry *entry, const struct caller *caller,
        const char *data_centre, const char *region,
        const struct local_member *members, size_t member_count, json_t *list)
{
  struct beryl_discovery_choice choices[BERYL_DISCOVERY_MAX];
  struct beryl_discovery *discovery = beryl_discovery_create ();
  struct beryl_discovery_node *nodes
      = g_new0 (struct beryl_discovery_node, member_count + 1);
  struct beryl_discovery_organisation *organisations
      = g_new0 (struct beryl_discovery_organisation,
                entry->config->organisation_count + 1);
  size_t n;

  for (size_t i = 0; i < entry->config->organisation_count; i++)
    {
      organisations[i].name = entry->config->organisations[i].name;
      organisations[i].data_centre
          = entry->config->organisations[i].data_centre;
    }
  fill_nodes (entry, members, member_count, nodes);
  beryl_discovery_set_nodes (discovery, nodes, member_count);
  beryl_discovery_set_organisations (discovery, organisations,
                                     entry->config->organisation_count);
  n = beryl_discovery_choose (discovery, caller->organisation->name,
                              data_centre, region, choices,
                              BERYL_DISCOVERY_MAX);
  for (size_t i = 0; i < n; i++)
    json_array_append_new (
        list, format_member (&members[choices[i].node], choices[i].weight,
                             entry->settings->tls_cert_file[0] != '\0'));
  beryl_discovery_destroy (discovery);
  g_free (nodes);
  g_free (organisations);
}

void
discovery_request (struct entry *entry, struct http_exchange *ex,
                   const char *path)
{
  struct caller caller;
  char data_centre[BERYL_NAME_BYTES];
  char region[BERYL_NAME_BYTES];
  struct local_member self = self_member (entry);
  json_t *list;
  json_t *body;
  char cache[48];
  char *text;

  if (!caller_read (entry, ex, &caller))
    return;
  if (!http_exchange_argument (ex, "data_centre", data_centre,
                               sizeof data_centre))
    g_strlcpy (data_centre, entry->settings->data_centre, sizeof data_centre);
  if (!http_exchange_argument (ex, "region", region, sizeof region))
    g_strlcpy (region, entry->settings->region, sizeof region);
  list = json_array ();
  if (entry->member_count > 0)
    choose (entry, &caller, data_centre, region, entry->members,
            entry->member_count, list);
  else
    choose (entry, &caller, data_centre, region, &self, 1, list);
  body = json_pack ("{s:I, s:o}", "ttl_ms",
                    (json_int_t)entry->config->system.entry_answer_ttl_ms,
                    "entries", list);
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  g_snprintf (cache, sizeof cache, "private, max-age=%d",
              (int)(entry->config->system.entry_answer_ttl_ms / 1000));
  http_exchange_add_header (ex, "cache-control", cache);
  http_exchange_add_header (ex, "x-request-id", caller.request_id);
  http_exchange_respond (ex, 200, "application/json", text, strlen (text));
  free (text);
}

/* For operators: all nodes, also those that are not handed out. */
void
members_request (struct entry *entry, struct http_exchange *ex,
                 const char *path)
{
  struct local_member self = self_member (entry);
  const struct local_member *members = &self;
  size_t count = 1;
  json_t *list;
  char *text;

  if (!caller_is_operator (entry, ex))
    {
      problem_respond (ex, ENTRY_UNAUTHORIZED, NULL,
                       "an operator's token is needed");
      return;
    }
  if (entry->member_count > 0)
    {
      members = entry->members;
      count = entry->member_count;
    }
  list = json_array ();
  for (size_t i = 0; i < count; i++)
    json_array_append_new (
        list, format_member (&members[i], 0,
                             entry->settings->tls_cert_file[0] != '\0'));
  text = json_dumps (list, JSON_COMPACT);
  json_decref (list);
  http_exchange_respond (ex, 200, "application/json", text, strlen (text));
  free (text);
}
