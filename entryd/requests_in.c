#include <errno.h>
#include <string.h>

#include "calls.h"
#include "completion_parse.h"
#include "demand.h"
#include "peers.h"
#include "problem.h"

/* Begins a call of SERVICE by the request's common parts. */
static void
fill_call (struct beryl_event *event, struct entry_request *request,
           const struct caller *caller, const struct beryl_service *service)
{
  struct http_exchange *ex = request->exchange;
  struct beryl_call *call = &event->call;

  g_strlcpy (request->service, service->name, sizeof request->service);
  request->waiting = true;
  event->type = BERYL_EVENT_CALL;
  event->request = request->handle;
  call->request = request->handle;
  call->request_id = request->request_id;
  call->organisation = caller->organisation->name;
  call->service = service->name;
  call->key_kind = caller->key_kind;
  call->key = caller->key;
  call->key_incarnation = caller->key_incarnation;
  call->deadline_ms = caller->deadline_ms;
  call->method = http_exchange_method (ex);
  call->path = "/";
  call->content_type = http_exchange_header (ex, "content-type");
  call->body = http_exchange_body (ex, &call->body_bytes);
}

static void
model_event (struct entry *entry, struct http_exchange *ex,
             const struct caller *caller, const struct beryl_service *service,
             struct completion *completion, enum reply_shape shape)
{
  struct entry_request *request = calls_open (entry, ex, caller, shape);
  struct beryl_event event = { 0 };

  if (request == NULL)
    return;
  request->stream = completion->stream;
  request->model = g_strdup (completion->model);
  fill_call (&event, request, caller, service);
  event.call.stream = completion->stream;
  event.call.prompt = completion->prompt;
  event.call.prompt_bytes = completion->prompt_bytes;
  event.call.prompt_tokens = completion->prompt_tokens;
  event.call.max_tokens = completion->max_tokens;
  demand_arrived (entry->demand, service->name, completion->prompt_tokens);
  entry_event (entry, &event);
}

static void
model_request (struct entry *entry, struct http_exchange *ex, bool chat)
{
  struct caller caller;
  struct completion completion;
  struct beryl_error error = { 0 };
  const struct beryl_service *service;
  size_t body_bytes;
  const void *body = http_exchange_body (ex, &body_bytes);

  if (!caller_read (entry, ex, &caller))
    return;
  if (!completion_parse (body, body_bytes, chat, &completion, &error))
    {
      problem_respond (ex, ENTRY_INVALID_REQUEST, caller.request_id,
                       error.message);
      return;
    }
  service = beryl_config_service_of_model (entry->config, completion.model);
  if (service == NULL)
    problem_respond (ex, ENTRY_UNKNOWN_MODEL, caller.request_id,
                     completion.model);
  else
    model_event (entry, ex, &caller, service, &completion,
                 chat ? REPLY_CHAT : REPLY_COMPLETION);
  completion_clear (&completion);
}

void
completions_request (struct entry *entry, struct http_exchange *ex,
                     const char *path)
{
  model_request (entry, ex, false);
}

void
chat_request (struct entry *entry, struct http_exchange *ex, const char *path)
{
  model_request (entry, ex, true);
}

/* Splits "SERVICE/rest" and puts the query back on. */
static char *
service_path (struct http_exchange *ex, const char *path, char *name,
              size_t name_bytes)
{
  size_t n = strcspn (path, "/");
  const char *query = http_exchange_query (ex);
  const char *rest = path[n] != '\0' ? path + n : "/";

  g_strlcpy (name, path, MIN (name_bytes, n + 1));
  if (query == NULL || query[0] == '\0')
    return g_strdup (rest);
  return g_strdup_printf ("%s?%s", rest, query);
}

void
service_request (struct entry *entry, struct http_exchange *ex,
                 const char *path)
{
  char name[BERYL_NAME_BYTES];
  char *rest;
  struct caller caller;
  struct entry_request *request;
  struct beryl_event event = { 0 };
  const struct beryl_service *service;

  if (!caller_read (entry, ex, &caller))
    return;
  rest = service_path (ex, path, name, sizeof name);
  service = beryl_config_service (entry->config, name);
  if (service == NULL || service->model[0] != '\0')
    {
      problem_respond (ex, ENTRY_UNKNOWN_SERVICE, caller.request_id, name);
      g_free (rest);
      return;
    }
  request = calls_open (entry, ex, &caller, REPLY_PLAIN);
  if (request != NULL)
    {
      fill_call (&event, request, &caller, service);
      event.call.path = rest;
      demand_arrived (entry->demand, service->name, 0);
      entry_event (entry, &event);
    }
  g_free (rest);
}

static bool
read_offset (struct http_exchange *ex, uint64_t *offset)
{
  char text[32];
  char *end;

  *offset = 0;
  if (!http_exchange_argument (ex, "offset", text, sizeof text))
    return true;
  errno = 0;
  *offset = g_ascii_strtoull (text, &end, 10);
  return errno == 0 && end != text && *end == '\0' && text[0] != '-';
}

/* Asks the node that an id or key names, if it is another one. */
static bool
fetch_elsewhere (struct entry *entry, struct entry_request *request,
                 const struct caller *caller, const char *id, uint64_t offset)
{
  struct peer_fetch fetch = { .offset = offset };
  uint64_t incarnation;

  if ((!named_incarnation (id, 'r', &incarnation)
       && !named_incarnation (id, 'b', &incarnation))
      || incarnation == entry->incarnation)
    return false;
  g_strlcpy (fetch.organisation, caller->organisation->name,
             sizeof fetch.organisation);
  g_strlcpy (fetch.request_id, id, sizeof fetch.request_id);
  return peers_fetch (entry->peers, request, incarnation, &fetch);
}

void
fetch_request (struct entry *entry, struct http_exchange *ex, const char *path)
{
  struct caller caller;
  struct entry_request *request;
  struct beryl_event event = { .type = BERYL_EVENT_FETCH };
  uint64_t offset;

  if (!caller_read (entry, ex, &caller))
    return;
  if (!read_offset (ex, &offset))
    {
      problem_respond (ex, ENTRY_INVALID_REQUEST, caller.request_id,
                       "offset must be a number of bytes");
      return;
    }
  request = calls_open (entry, ex, &caller, REPLY_PLAIN);
  if (request == NULL
      || fetch_elsewhere (entry, request, &caller, path, offset))
    return;
  event.request = request->handle;
  event.fetch.organisation = caller.organisation->name;
  event.fetch.id_or_key = path;
  event.fetch.offset = offset;
  entry_event (entry, &event);
}
