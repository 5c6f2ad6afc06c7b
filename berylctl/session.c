#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "http/client.h"

#define CALL_TIMEOUT_MS 5000
#define BODY_BYTES (16U << 20)

/* A platform request that is waited for. */
struct pending
{
  bool done;
  enum beryl_error_code code;
  uint64_t version;
  json_t *objects;
};

static const struct platform_client_options options
    = { BERYL_USE_OPERATOR, CALL_TIMEOUT_MS, true };

void
ctl_connect (struct ctl *ctl)
{
  struct platform_client_settings settings = {
    .address = ctl->platform_address,
    .port = ctl->platform_port,
    .token = g_getenv ("BERYL_PLATFORM_TOKEN"),
    .seed = (uint64_t)g_get_real_time (),
  };

  if (ctl->loop != NULL)
    return;
  settings.core.reads_per_s = 200;
  settings.core.writes_per_s = 100;
  ctl->loop = loop_create ();
  ctl->http = http_context_create (ctl->loop, NULL);
  ctl->platform
      = platform_client_create (ctl->loop, ctl->http, &settings, NULL);
}

void
ctl_disconnect (struct ctl *ctl)
{
  if (ctl->loop == NULL)
    return;
  platform_client_destroy (ctl->platform);
  http_context_destroy (ctl->http);
  loop_destroy (ctl->loop);
  ctl->loop = NULL;
}

void
ctl_wait (struct ctl *ctl, const bool *done)
{
  while (!*done)
    uv_run (loop_uv (ctl->loop), UV_RUN_ONCE);
}

static void
timer_expired (void *user)
{
  *(bool *)user = true;
}

void
ctl_sleep (struct ctl *ctl, int64_t ms)
{
  bool done = false;
  struct loop_timer *timer;

  ctl_connect (ctl);
  timer = loop_timer_start (ctl->loop, ms, 0, timer_expired, &done);
  ctl_wait (ctl, &done);
  loop_timer_stop (timer);
}

static json_t *
object_json (const struct beryl_object *object)
{
  json_t *value
      = json_loadb (object->value, object->value_bytes, JSON_DECODE_ANY, NULL);

  return json_pack ("{s:s, s:s, s:I, s:o}", "kind", object->kind, "name",
                    object->name, "version", (json_int_t)object->version,
                    "value", value != NULL ? value : json_null ());
}

static void
request_done (void *user, const struct beryl_platform_result *result)
{
  struct pending *pending = user;

  pending->done = true;
  pending->code = result->code;
  pending->version = result->version;
  pending->objects = json_array ();
  for (size_t i = 0; i < result->object_count; i++)
    json_array_append_new (pending->objects,
                           object_json (&result->objects[i]));
}

static bool
request_succeeded (const struct pending *pending, const char *kind,
                   const char *name, struct beryl_error *error)
{
  static const char *const texts[] = {
    [BERYL_ERROR_INVALID] = "the object API's answer is malformed",
    [BERYL_ERROR_NOT_FOUND] = "there is no such object",
    [BERYL_ERROR_CONFLICT] = "it was changed by somebody else",
    [BERYL_ERROR_LIMIT] = "a limit was reached",
    [BERYL_ERROR_UNAVAILABLE] = "the object API is away; nothing was changed",
    [BERYL_ERROR_UNKNOWN] = "no answer; it may have been changed",
    [BERYL_ERROR_DENIED] = "denied",
    [BERYL_ERROR_INTERNAL] = "internal error",
  };

  if (pending->code == BERYL_OK)
    return true;
  return beryl_error_set (error, pending->code, "%s %s: %s", kind, name,
                          texts[pending->code]);
}

json_t *
ctl_get (struct ctl *ctl, const char *kind, const char *name,
         struct beryl_error *error)
{
  struct pending pending = { 0 };
  json_t *object = NULL;

  ctl_connect (ctl);
  platform_client_get (ctl->platform, &options, kind, name, 0, request_done,
                       &pending);
  ctl_wait (ctl, &pending.done);
  if (request_succeeded (&pending, kind, name, error))
    object = json_incref (json_array_get (pending.objects, 0));
  json_decref (pending.objects);
  return object;
}

json_t *
ctl_list (struct ctl *ctl, const char *kind, const char *prefix,
          struct beryl_error *error)
{
  struct pending pending = { 0 };

  ctl_connect (ctl);
  platform_client_list (ctl->platform, &options, kind, prefix, request_done,
                        &pending);
  ctl_wait (ctl, &pending.done);
  if (request_succeeded (&pending, kind, prefix, error))
    return pending.objects;
  json_decref (pending.objects);
  return NULL;
}

uint64_t
ctl_put (struct ctl *ctl, const char *kind, const char *name, json_t *value,
         uint64_t version, struct beryl_error *error)
{
  struct pending pending = { 0 };
  char nonce[BERYL_NONCE_BYTES];
  char *text;
  struct beryl_platform_write write = {
    .kind = kind,
    .name = name,
    .condition = version == 0 ? BERYL_IF_ABSENT : BERYL_IF_VERSION,
    .version = version,
    .nonce = nonce,
  };

  ctl_connect (ctl);
  /* If the reply is lost, the nonce identifies the stored write as ours. */
  beryl_platform_nonce (platform_client_core (ctl->platform), nonce);
  json_object_set_new (value, "nonce", json_string (nonce));
  text = json_dumps (value, JSON_COMPACT);
  write.value = text;
  write.value_bytes = strlen (text);
  platform_client_put (ctl->platform, &options, &write, request_done,
                       &pending);
  ctl_wait (ctl, &pending.done);
  free (text);
  json_decref (pending.objects);
  return request_succeeded (&pending, kind, name, error) ? pending.version : 0;
}

bool
ctl_delete (struct ctl *ctl, const char *kind, const char *name,
            uint64_t version, struct beryl_error *error)
{
  struct pending pending = { 0 };

  ctl_connect (ctl);
  platform_client_delete (ctl->platform, &options, kind, name, version,
                          request_done, &pending);
  ctl_wait (ctl, &pending.done);
  json_decref (pending.objects);
  return request_succeeded (&pending, kind, name, error);
}

struct fetch
{
  struct http_call_handler base;
  bool done;
  bool failed;
  unsigned int status;
  GString *body;
};

static void
fetch_data (struct http_call_handler *handler, struct http_call *call,
            const void *bytes, size_t bytes_count)
{
  struct fetch *fetch = (struct fetch *)handler;

  g_string_append_len (fetch->body, bytes, (gssize)bytes_count);
}

static void
fetch_done (struct http_call_handler *handler, struct http_call *call)
{
  struct fetch *fetch = (struct fetch *)handler;

  fetch->status = http_call_status (call);
  fetch->done = true;
}

static void
fetch_failed (struct http_call_handler *handler, struct http_call *call,
              bool sent, const char *reason)
{
  struct fetch *fetch = (struct fetch *)handler;

  fetch->failed = true;
  fetch->done = true;
}

static const struct http_call_handler_impl fetch_impl = {
  .data = fetch_data,
  .done = fetch_done,
  .failed = fetch_failed,
};

char *
ctl_http_get (struct ctl *ctl, const char *address, uint16_t port,
              const char *path, unsigned int *status,
              struct beryl_error *error)
{
  struct fetch fetch = { .base.impl = &fetch_impl };
  char *bearer
      = g_strconcat ("Bearer ", ctl->token != NULL ? ctl->token : "", NULL);
  struct http_header header = { "authorization", bearer };
  struct http_request request = {
    .method = "GET",
    .address = address,
    .port = port,
    .path = path,
    .headers = &header,
    .header_count = ctl->token != NULL ? 1 : 0,
    .timeout_ms = CALL_TIMEOUT_MS,
    .answer_max_bytes = BODY_BYTES,
  };

  ctl_connect (ctl);
  fetch.body = g_string_new (NULL);
  http_call_start (ctl->http, &request, &fetch.base);
  ctl_wait (ctl, &fetch.done);
  g_free (bearer);
  *status = fetch.status;
  if (!fetch.failed)
    return g_string_free (fetch.body, FALSE);
  g_string_free (fetch.body, TRUE);
  beryl_error_set (error, BERYL_ERROR_UNAVAILABLE, "%s:%u does not answer",
                   address, port);
  return NULL;
}

enum ctl_exit
ctl_report_error (const struct beryl_error *error)
{
  fprintf (stderr, "berylctl: %s\n", error->message);
  switch (error->code)
    {
    case BERYL_ERROR_NOT_FOUND:
      return CTL_NOT_FOUND;
    case BERYL_ERROR_CONFLICT:
      return CTL_CONFLICT;
    case BERYL_ERROR_UNAVAILABLE:
      return CTL_UNAVAILABLE;
    case BERYL_ERROR_UNKNOWN:
      return CTL_UNKNOWN;
    default:
      return CTL_FAILED;
    }
}
