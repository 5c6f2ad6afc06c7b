#include "calls.h"

#include <stdlib.h>
#include <string.h>

#include "decisions.h"
#include "peers.h"
#include "problem.h"

/* A path and what serves it. */
struct route
{
  const char *prefix;
  bool exact;         /* nothing may follow */
  const char *method; /* NULL: any */
  bool needs_config;
  void (*serve) (struct entry *entry, struct http_exchange *ex,
                 const char *path);
};

/* Sorted by prefix. */
static const struct route routes[] = {
  { "/healthz", true, "GET", false, health_request },
  { "/metrics", true, "GET", false, metrics_request },
  { "/readyz", true, "GET", false, ready_request },
  { "/v1/chat/completions", true, "POST", true, chat_request },
  { "/v1/completions", true, "POST", true, completions_request },
  { "/v1/entry", true, "GET", true, discovery_request },
  { "/v1/explain/", false, "GET", false, explain_request },
  { "/v1/members", true, "GET", false, members_request },
  { "/v1/requests/", false, "GET", true, fetch_request },
  { "/v1/services/", false, NULL, true, service_request },
};

static const struct route *
find_route (const char *path)
{
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      size_t n = strlen (routes[i].prefix);

      if (strncmp (path, routes[i].prefix, n) == 0
          && (!routes[i].exact || path[n] == '\0'))
        return &routes[i];
    }
  return NULL;
}

static struct entry *
entry_of (struct http_handler *handler)
{
  return (struct entry *)((char *)handler
                          - G_STRUCT_OFFSET (struct entry, handler));
}

static void
take_request (struct http_handler *handler, struct http_exchange *ex)
{
  struct entry *entry = entry_of (handler);
  const char *path = http_exchange_path (ex);
  const struct route *route = find_route (path);

  ++*entry->requests_total;
  if (route == NULL)
    problem_respond (ex, ENTRY_NO_ROUTE, NULL, path);
  else if (route->method != NULL
           && strcmp (route->method, http_exchange_method (ex)) != 0)
    problem_respond (ex, ENTRY_METHOD, NULL, route->method);
  else if (route->needs_config && entry->config == NULL)
    problem_respond (ex, ENTRY_NOT_READY, NULL, NULL);
  else
    route->serve (entry, ex, path + strlen (route->prefix));
}

struct entry_request *
calls_open (struct entry *entry, struct http_exchange *ex,
            const struct caller *caller, enum reply_shape shape)
{
  struct entry_request *request;

  if (g_hash_table_size (entry->open) >= entry->settings->max_open_requests)
    {
      problem_respond (ex, ENTRY_OVERLOADED, caller->request_id, NULL);
      return NULL;
    }
  request = g_new0 (struct entry_request, 1);
  request->handle = entry_new_handle (entry);
  request->exchange = ex;
  request->shape = shape;
  request->text = g_string_new (NULL);
  request->created_s = g_get_real_time () / G_USEC_PER_SEC;
  g_strlcpy (request->request_id, caller->request_id,
             sizeof request->request_id);
  http_exchange_set_user (ex, request);
  g_hash_table_insert (entry->open, &request->handle, request);
  return request;
}

static void
request_event (struct entry *entry, struct entry_request *request,
               enum beryl_event_type type)
{
  struct beryl_event event = { .type = type, .request = request->handle };

  entry_event (entry, &event);
}

static void
caller_drained (struct http_handler *handler, struct http_exchange *ex)
{
  struct entry_request *request = http_exchange_user (ex);

  if (request != NULL && !request->answered)
    request_event (entry_of (handler), request, BERYL_EVENT_CALLER_CAUGHT_UP);
}

static void
caller_closed (struct http_handler *handler, struct http_exchange *ex,
               bool whole)
{
  struct entry *entry = entry_of (handler);
  struct entry_request *request = http_exchange_user (ex);

  if (request == NULL)
    return;
  g_hash_table_remove (entry->open, &request->handle);
  if (!entry->closing)
    {
      request_event (entry, request,
                     whole ? BERYL_EVENT_CALLER_CAUGHT_UP
                           : BERYL_EVENT_CALLER_GONE);
      peers_caller_ended (entry->peers, request, whole);
    }
  if (!whole)
    counters_add (entry->counters, "beryl_callers_gone_total", "", 1);
  g_string_free (request->text, TRUE);
  g_free (request->content_type);
  g_free (request->model);
  g_free (request);
}

static const struct http_handler_impl handler_impl = {
  .request = take_request,
  .drained = caller_drained,
  .closed = caller_closed,
};

void
calls_handler_init (struct http_handler *handler)
{
  handler->impl = &handler_impl;
}

void
health_request (struct entry *entry, struct http_exchange *ex,
                const char *path)
{
  http_exchange_respond (ex, 200, "text/plain", "ok\n", 3);
}

void
ready_request (struct entry *entry, struct http_exchange *ex, const char *path)
{
  const char *reason = NULL;

  if (entry->draining)
    reason = "leaving\n";
  else if (entry->config == NULL)
    reason = "no configuration\n";
  else if (entry->isolated)
    reason = "isolated\n";
  if (reason != NULL)
    http_exchange_respond (ex, 503, "text/plain", reason, strlen (reason));
  else
    http_exchange_respond (ex, 200, "text/plain", "ready\n", 6);
}

void
metrics_request (struct entry *entry, struct http_exchange *ex,
                 const char *path)
{
  char *text;

  counters_set (entry->counters, "beryl_open_requests", "",
                beryl_requests_open_count (entry->requests));
  counters_set (entry->counters, "beryl_open_exchanges", "",
                http_server_open (entry->server));
  counters_set (entry->counters, "beryl_endpoint_exchanges", "",
                g_hash_table_size (entry->exchanges));
  text = counters_format (entry->counters);
  http_exchange_respond (ex, 200, "text/plain; version=0.0.4", text,
                         strlen (text));
  free (text);
}
