#include "world.h"

#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_source.h"
#include "peers.h"

#define CALL_TIMEOUT_MS 5000
#define LATE_MS 300
#define SERVICE_TEXT "{\"status\":\"granted\"}"

/* SHA-256 of "other". */
#define OTHER_DIGEST                                                          \
  "d9298a10d1b0735837dc4bd85dac641b0f3cef27a47e5d53a54f2f3f5b2fcffa"

/* SHA-256 of "secret". */
#define DIGEST                                                                \
  "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

static struct world *
world_of_service (struct http_handler *handler)
{
  return (struct world *)((char *)handler
                          - G_STRUCT_OFFSET (struct world, service));
}

static struct world *
world_of_engine (struct http_handler *handler)
{
  return (struct world *)((char *)handler
                          - G_STRUCT_OFFSET (struct world, engine));
}

static void
respond (struct http_exchange *ex, unsigned int status, const char *text)
{
  http_exchange_respond (ex, status, "application/json", text, strlen (text));
}

static void
answer_late (void *user)
{
  struct world *world = user;

  loop_timer_stop (world->late_timer);
  world->late_timer = NULL;
  if (world->late != NULL)
    respond (world->late, 200, SERVICE_TEXT);
}

static void
service_request_arrived (struct http_handler *handler,
                         struct http_exchange *ex)
{
  struct world *world = world_of_service (handler);
  const char *deadline = http_exchange_header (ex, "x-deadline-ms");
  const char *id = http_exchange_header (ex, "x-request-id");

  g_strlcpy (world->last_deadline, deadline != NULL ? deadline : "",
             sizeof world->last_deadline);
  g_strlcpy (world->last_request_id, id != NULL ? id : "",
             sizeof world->last_request_id);
  if (world->service_mode == SERVICE_REFUSE)
    {
      http_exchange_add_header (ex, "x-not-run", "true");
      respond (ex, 503, "{}");
      return;
    }
  world->service_runs++;
  if (world->service_mode == SERVICE_ANSWER)
    respond (ex, 200, SERVICE_TEXT);
  if (world->service_mode == SERVICE_LATE)
    {
      world->late = ex;
      world->late_timer
          = loop_timer_start (world->loop, LATE_MS, 0, answer_late, world);
    }
  if (world->service_mode != SERVICE_DIE_HALFWAY)
    return;
  http_exchange_start (ex, 200, "application/json");
  http_exchange_write (ex, "{\"sta", 5);
  http_exchange_abort (ex);
}

static void
decode (struct world *world, struct http_exchange *ex, json_t *body)
{
  int attempt = (int)json_integer_value (json_object_get (body, "attempt"));
  char line[160];

  world->decodes++;
  if (world->decode_mode == DECODE_FULL)
    {
      respond (ex, 429, "{\"error\":\"full\",\"retry_after_ms\":10}");
      return;
    }
  http_exchange_start (ex, 200, "application/x-ndjson");
  if (world->decode_mode == DECODE_LATE_ATTEMPT)
    {
      g_snprintf (line, sizeof line,
                  "{\"attempt\":%d,\"offset\":0,\"text\":\"WRONG\","
                  "\"tokens\":1}\n{\"attempt\":%d,\"done\":true,"
                  "\"answer_bytes\":0}\n",
                  attempt + 1, attempt + 1);
      http_exchange_write (ex, line, strlen (line));
    }
  g_snprintf (line, sizeof line,
              "{\"attempt\":%d,\"offset\":0,\"text\":\"width \","
              "\"tokens\":1}\n",
              attempt);
  http_exchange_write (ex, line, strlen (line));
  if (world->decode_mode == DECODE_STUCK)
    return;
  g_snprintf (line, sizeof line,
              "{\"attempt\":%d,\"offset\":6,\"text\":\"ok\",\"tokens\":1}\n",
              attempt);
  http_exchange_write (ex, line, strlen (line));
  g_snprintf (line, sizeof line,
              "{\"attempt\":%d,\"done\":true,\"finish_reason\":\"stop\","
              "\"answer_bytes\":8,\"completion_tokens\":2}\n",
              attempt);
  if (world->decode_mode != DECODE_NO_END)
    http_exchange_write (ex, line, strlen (line));
  http_exchange_finish (ex);
}

static void
engine_request_arrived (struct http_handler *handler, struct http_exchange *ex)
{
  struct world *world = world_of_engine (handler);
  const char *path = http_exchange_path (ex);
  size_t n;
  const void *bytes = http_exchange_body (ex, &n);
  json_t *body = json_loadb (bytes, n, 0, NULL);

  if (strcmp (path, "/v1/prefill") == 0)
    {
      char text[120];

      world->prefills++;
      world->prompt_bytes
          = json_string_length (json_object_get (body, "prompt"));
      g_snprintf (text, sizeof text,
                  "{\"kv_handle\":\"kv1\",\"kv_bytes\":10,"
                  "\"cached_tokens\":0,\"expires_ms\":%" G_GINT64_FORMAT "}",
                  world->kv_lives_ms);
      respond (ex, 200, text);
    }
  else if (strcmp (path, "/v1/decode") == 0)
    decode (world, ex, body);
  else if (strcmp (path, "/v1/cancel") == 0)
    {
      world->cancels++;
      respond (ex, 200, "{\"cancelled\":1,\"held\":0}");
    }
  else
    respond (ex, 404, "{}");
  json_decref (body);
}

static void
engine_closed (struct http_handler *handler, struct http_exchange *ex,
               bool whole)
{
}

static void
service_closed (struct http_handler *handler, struct http_exchange *ex,
                bool whole)
{
  struct world *world = world_of_service (handler);

  if (world->late == ex)
    world->late = NULL;
}

static const struct http_handler_impl service_impl
    = { .request = service_request_arrived, .closed = service_closed };
static const struct http_handler_impl engine_impl
    = { .request = engine_request_arrived, .closed = engine_closed };

static void
write_config (struct world *world)
{
  int fd;
  FILE *f;

  strcpy (world->path, "/tmp/beryl-world-XXXXXX");
  fd = mkstemp (world->path);
  f = fdopen (fd, "w");
  fprintf (f,
           "- {api_version: beryl/v1, kind: service, name: lookup, spec: "
           "{class: urgent, deadline_ms: 1000, rules: [{method: POST, path: "
           "'*', class: urgent, non_idempotent: true}]}}\n"
           "- {api_version: beryl/v1, kind: service, name: advies, spec: "
           "{model: advies-1, deadline_ms: 30000}}\n"
           "- {api_version: beryl/v1, kind: model, name: advies-1, spec: "
           "{version: '1', context_tokens: 60000}}\n"
           "- {api_version: beryl/v1, kind: organisation, name: loket, spec: "
           "{token_sha256: [%s]}}\n"
           "- {api_version: beryl/v1, kind: organisation, name: other, spec: "
           "{token_sha256: [%s]}}\n"
           "- {api_version: beryl/v1, kind: system, name: system, spec: "
           "{entry_answer_ttl_ms: 200, log_level: error}}\n"
           "- {api_version: beryl/v1, kind: endpoint, name: s1, spec: "
           "{service: lookup, address: 127.0.0.1, port: %u, role: service}}\n"
           "- {api_version: beryl/v1, kind: endpoint, name: e1, spec: "
           "{service: advies, address: 127.0.0.1, port: %u, role: both, "
           "slots: 20, link_bytes_per_s: 1000000000}}\n",
           DIGEST, OTHER_DIGEST, http_server_port (world->service_server),
           http_server_port (world->engine_server));
  fclose (f);
}

static void
create_entry (struct world *world, size_t node)
{
  char path[] = "/tmp/beryl-entry-XXXXXX";
  struct beryl_findings *findings = beryl_findings_create ();
  struct beryl_error error = { 0 };
  struct entry_settings *settings = &world->node_settings[node];
  FILE *f = fdopen (mkstemp (path), "w");

  fprintf (f,
           "node: n%zu\naddress: 127.0.0.1\ndata_centre: hal-noord\n"
           "log_level: error\nseed: 7\n"
           "max_body_bytes: 1000000\nheader_timeout_s: 1\n"
           "cluster_key: %s\nplatform_port: %u\n",
           node + 1, world->keys[node],
           world->platform != NULL ? platform_port (world->platform) : 0);
  if (world->control_port != 0)
    fprintf (f, "control_port: %u\n", world->control_port);
  else
    fprintf (f, "static_config: %s\n", world->path);
  fclose (f);
  ck_assert (entry_settings_load (settings, path, findings));
  remove (path);
  beryl_findings_destroy (findings);
  world->nodes[node]
      = entry_create (settings, world->loop, world->http, &error);
  ck_assert_msg (world->nodes[node] != NULL, "%s", error.message);
}

static struct world *
create_fakes (struct loop *loop)
{
  struct world *world = g_new0 (struct world, 1);
  struct http_server_settings settings
      = { .address = "127.0.0.1", .max_body_bytes = 1U << 20 };

  log_init ("test", LOG_FORMAT_TEXT, "error");
  world->service.impl = &service_impl;
  world->engine.impl = &engine_impl;
  world->loop = loop;
  world->http = http_context_create (world->loop, NULL);
  world->service_server
      = http_server_create (world->http, &settings, &world->service, NULL);
  world->engine_server
      = http_server_create (world->http, &settings, &world->engine, NULL);
  world->keys[0] = "key of the cluster";
  world->kv_lives_ms = 800;
  write_config (world);
  return world;
}

struct world *
world_create (void)
{
  struct world *world = create_fakes (loop_create ());

  create_entry (world, 0);
  world->entry = world->nodes[0];
  return world;
}

struct world *
world_create_controlled (struct loop *loop, uint16_t control_port)
{
  struct world *world = create_fakes (loop);

  world->control_port = control_port;
  create_entry (world, 0);
  world->entry = world->nodes[0];
  return world;
}

struct world *
world_create_two (const char *second_key)
{
  struct world *world = create_fakes (loop_create ());

  world->keys[1] = second_key;
  world->platform
      = platform_create (world->loop, world->http, "127.0.0.1", 0, NULL);
  create_entry (world, 0);
  create_entry (world, 1);
  world->entry = world->nodes[0];
  world_introduce (world);
  return world;
}

static void
describe (const struct entry *entry, struct local_member *member)
{
  g_strlcpy (member->node, entry->settings->node, sizeof member->node);
  g_strlcpy (member->address, "127.0.0.1", sizeof member->address);
  member->incarnation = entry->incarnation;
  member->http_port = http_server_port (entry->server);
  member->peer_port = peers_port (entry->peers);
}

void
world_introduce (struct world *world)
{
  struct local_member members[2];
  struct local_view view = { .members = members };

  memset (members, 0, sizeof members);
  for (size_t i = 0; i < 2; i++)
    if (world->nodes[i] != NULL)
      describe (world->nodes[i], &members[view.member_count++]);
  for (size_t i = 0; i < 2; i++)
    if (world->nodes[i] != NULL)
      config_source_view (world->nodes[i], &view);
}

void
world_kill (struct world *world, size_t node)
{
  entry_close (world->nodes[node]);
  /* Its calls in flight end before its memory goes. */
  world_run (world, 100);
  entry_destroy (world->nodes[node]);
  world->nodes[node] = NULL;
}

void
world_destroy (struct world *world)
{
  for (size_t i = 0; i < 2; i++)
    if (world->nodes[i] != NULL)
      entry_close (world->nodes[i]);
  http_context_destroy (world->http);
  for (size_t i = 0; i < 2; i++)
    entry_destroy (world->nodes[i]);
  platform_destroy (world->platform);
  loop_destroy (world->loop);
  remove (world->path);
  g_free (world);
}

static void
answer_head (struct http_call_handler *handler, struct http_call *call,
             unsigned int status)
{
  struct answer *answer = (struct answer *)handler;
  const char *id = http_call_header (call, "x-request-id");
  const char *retry = http_call_header (call, "retry-after");

  answer->status = status;
  g_strlcpy (answer->request_id, id != NULL ? id : "",
             sizeof answer->request_id);
  g_strlcpy (answer->retry_after, retry != NULL ? retry : "",
             sizeof answer->retry_after);
}

static void
answer_data (struct http_call_handler *handler, struct http_call *call,
             const void *bytes, size_t n)
{
  struct answer *answer = (struct answer *)handler;

  g_string_append_len (answer->body, bytes, (gssize)n);
}

static void
answer_done (struct http_call_handler *handler, struct http_call *call)
{
  struct answer *answer = (struct answer *)handler;

  answer->ended = true;
  loop_quit (answer->world->loop);
}

static void
answer_failed (struct http_call_handler *handler, struct http_call *call,
               bool sent, const char *reason)
{
  struct answer *answer = (struct answer *)handler;

  answer->failed = true;
  answer->ended = true;
  loop_quit (answer->world->loop);
}

static const struct http_call_handler_impl answer_impl = {
  .head = answer_head,
  .data = answer_data,
  .done = answer_done,
  .failed = answer_failed,
};

struct http_call *
world_send (struct world *world, struct answer *answer, const char *method,
            const char *path, const char *header, const char *value,
            const char *body)
{
  struct http_header headers[] = {
    { "authorization", "Bearer secret" },
    { header, value },
  };
  struct http_request request = {
    .method = method,
    .address = "127.0.0.1",
    .port = http_server_port (world->entry->server),
    .path = path,
    .headers = headers,
    .header_count = header != NULL ? 2 : 1,
    .body = body,
    .body_bytes = body != NULL ? strlen (body) : 0,
    .timeout_ms = CALL_TIMEOUT_MS,
  };

  /* A header of the test's own replaces the token. */
  if (header != NULL && strcmp (header, "authorization") == 0)
    {
      request.headers = headers + 1;
      request.header_count = 1;
    }
  memset (answer, 0, sizeof *answer);
  answer->base.impl = &answer_impl;
  answer->world = world;
  answer->body = g_string_new (NULL);
  return http_call_start (world->http, &request, &answer->base);
}

void
world_call (struct world *world, struct answer *answer, const char *method,
            const char *path, const char *header, const char *value,
            const char *body)
{
  world_send (world, answer, method, path, header, value, body);
  while (!answer->ended)
    loop_run (world->loop);
}

static void
quit (void *user)
{
  loop_quit (user);
}

void
world_run (struct world *world, int64_t ms)
{
  struct loop_timer *timer
      = loop_timer_start (world->loop, ms, 0, quit, world->loop);

  loop_run (world->loop);
  loop_timer_stop (timer);
}

void
answer_clear (struct answer *answer)
{
  g_string_free (answer->body, TRUE);
}
