#include "common/platform_client.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/clock.h"
#include "beryl/revision.h"
#include "http/client.h"

/** Longest answer that is read, as a default: a page of 500 large objects is
 * refused. */
#define ANSWER_MAX_BYTES (16U << 20)
#define MAX_HEADERS 4
/** Counts of a use, and of the client. */
#define USE_CELLS 6
#define CLIENT_CELLS 11
#define CELL_COUNT (BERYL_USE_COUNT * USE_CELLS + CLIENT_CELLS)

struct platform_client
{
  struct beryl_platform_handler base;
  struct loop *loop;
  struct http_context *http;
  struct beryl_platform *core;
  char *address;
  uint16_t port;
  bool tls;
  char *tls_host;
  char *authorization;
  const struct platform_wire *wire; /* NULL: native */
  uint64_t *cells[CELL_COUNT];      /* exported counts; NULL: none */
  struct loop_timer *timer;
  int64_t timer_ms;
  size_t answer_max_bytes;
  uint64_t endless;     /* answers that were given up since they had no end */
  GHashTable *calls;    /* id to struct call */
  GHashTable *requests; /* id to struct request */
  GHashTable *watches;  /* id to struct watch_owner */
  GHashTable *spent;    /* set of struct call, to be freed in another turn */
};

/** An HTTP call of the core. */
struct call
{
  struct http_call_handler base;
  struct platform_client *client;
  uint64_t id;
  enum beryl_platform_op op;
  char kind[BERYL_NAME_BYTES];
  struct http_call *http;
  GString *body;
  size_t max_bytes; /* a longer answer is given up; 0: none is */
  int64_t began_ms;
  uint64_t era; /* that the answer states; 0: none */
  unsigned int status;
  int64_t retry_ms;
  struct platform_reading *reading; /* NULL: read at once */
  bool is_read;
  struct loop_timer *step_timer; /* for the next step of the reading */
};

struct request
{
  platform_client_cb *cb;
  void *user;
};

struct watch_owner
{
  struct platform_watch_callbacks callbacks;
  void *user;
};

/** Copy the core's counts to the exported cells. */
static void
counts_export (struct platform_client *c)
{
  const struct beryl_platform_counts *counts = beryl_platform_counts (c->core);
  size_t n = 0;

  if (!c->cells[0])
    return;
  for (int u = 0; u < BERYL_USE_COUNT; u++)
    {
      const struct beryl_platform_use_counts *use = &counts->uses[u];

      *c->cells[n++] = use->reads;
      *c->cells[n++] = use->writes;
      *c->cells[n++] = use->watches;
      *c->cells[n++] = use->joined;
      *c->cells[n++] = use->delayed;
      *c->cells[n++] = use->failed;
    }
  *c->cells[n++] = counts->refused;
  *c->cells[n++] = counts->errors;
  *c->cells[n++] = counts->breaker_opened;
  *c->cells[n++] = counts->settled;
  *c->cells[n++] = counts->unsettled;
  *c->cells[n++] = counts->stale;
  *c->cells[n++] = counts->relisted;
  *c->cells[n++] = counts->malformed;
  *c->cells[n++] = beryl_platform_is_unreachable (c->core);
  *c->cells[n++] = beryl_platform_era (c->core);
  *c->cells[n++] = c->endless;
}

static void timer_arm (struct platform_client *c);

static void
timer_cb (void *user)
{
  struct platform_client *c = user;

  loop_timer_stop (c->timer);
  c->timer = NULL;
  beryl_platform_tick (c->core, loop_now_ms (c->loop));
  timer_arm (c);
}

/** Wake the core when it next has something to do. */
static void
timer_arm (struct platform_client *c)
{
  int64_t next_ms = beryl_platform_next_ms (c->core);
  int64_t now_ms = loop_now_ms (c->loop);

  counts_export (c);
  if (c->timer && c->timer_ms == next_ms)
    return;
  loop_timer_stop (c->timer);
  c->timer = NULL;
  if (next_ms == BERYL_NEVER_MS)
    return;
  c->timer_ms = next_ms;
  c->timer = loop_timer_start (
      c->loop, next_ms > now_ms ? next_ms - now_ms : 0, 0, timer_cb, c);
}

static void
call_free (void *pointer)
{
  struct call *call = pointer;
  const struct platform_wire *wire = call->client->wire;

  if (call->http)
    http_call_cancel (call->http);
  loop_timer_stop (call->step_timer);
  if (wire && call->reading)
    wire->impl->read_free (call->reading);
  g_string_free (call->body, TRUE);
  g_free (call);
}

/** Take CALL out of the table without freeing it. */
static void
call_steal (struct call *call)
{
  call->http = NULL;
  g_hash_table_steal (call->client->calls, &call->id);
}

/** Tell of an answer that had begun to arrive and will not be read: what came
 * of it was received for nothing. */
static void
log_cut_off (const struct call *call, const char *reason)
{
  if (call->body->len > 0)
    g_info ("store answer cut off kind=%s op=%s bytes=%zu age_ms="
            "%" G_GINT64_FORMAT " reason=%s",
            call->kind, beryl_platform_op_name (call->op), call->body->len,
            loop_now_ms (call->client->loop) - call->began_ms, reason);
}

/** Tell of a long poll that the platform did not answer at all: changes were
 * not heard of meanwhile. */
static void
log_silent_watch (const struct call *call, bool sent, const char *reason)
{
  if (sent && call->op == BERYL_OP_WATCH && call->body->len == 0)
    g_info ("store watch without an answer kind=%s age_ms=%" G_GINT64_FORMAT
            " reason=%s",
            call->kind, loop_now_ms (call->client->loop) - call->began_ms,
            reason);
}

/** Give CALL up, since its answer has more than BYTES bytes. */
static void
answer_too_long (struct call *call, size_t bytes)
{
  struct platform_client *c = call->client;
  struct http_call *http = call->http;

  g_info ("store answer too long kind=%s op=%s bytes=%zu, listing instead",
          call->kind, beryl_platform_op_name (call->op), bytes);
  call_steal (call);
  http_call_cancel (http);
  beryl_platform_answer_too_long (c->core, call->id, loop_now_ms (c->loop));
  call_free (call);
  timer_arm (c);
}

/** Read the store's era from the head of an answer; 0 if it has none. */
static uint64_t
read_era (const struct platform_client *c, struct http_call *http)
{
  const char *name = c->wire != NULL ? c->wire->impl->era_header : NULL;
  const char *text = name != NULL ? http_call_header (http, name) : NULL;

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
}

static void
call_head (struct http_call_handler *handler, struct http_call *http,
           unsigned int status)
{
  struct call *call = (struct call *)handler;
  const char *text = http_call_header (http, "content-length");
  uint64_t bytes = text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;

  call->era = read_era (call->client, http);
  if (call->max_bytes > 0 && bytes > call->max_bytes)
    answer_too_long (call, bytes);
}

static void
call_data (struct http_call_handler *handler, struct http_call *http,
           const void *bytes, size_t bytes_count)
{
  struct call *call = (struct call *)handler;

  if (call->max_bytes > 0 && call->body->len + bytes_count > call->max_bytes)
    {
      answer_too_long (call, call->body->len + bytes_count);
      return;
    }

  if (call->body->len == 0)
    beryl_platform_answer_started (call->client->core, call->id);
  g_string_append_len (call->body, bytes, (gssize)bytes_count);
}

/** Read the seconds of a Retry-After header. */
static int64_t
retry_after_ms (struct http_call *http)
{
  const char *text = http_call_header (http, "retry-after");
  long seconds = text ? strtol (text, NULL, 10) : 0;

  return seconds > 0 && seconds < 3600 ? seconds * 1000 : 0;
}

/** Tell the core the era that the answer to CALL states; return false if it is
 * an earlier one or none, and the answer is to be discarded.  A refusal says
 * nothing of the store's contents and may come from something before it. */
static bool
record_era (struct platform_client *c, const struct call *call,
            unsigned int status)
{
  uint64_t before = beryl_platform_era (c->core);

  if (call->era == 0 && (status == 429 || status >= 500))
    return true;
  if (call->era > before)
    g_info ("store era=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT,
            call->era, before);
  if (beryl_platform_set_era (c->core, call->id, call->era,
                              loop_now_ms (c->loop)))
    return true;
  g_info ("store answer of era=%" G_GUINT64_FORMAT " discarded kind=%s op=%s "
          "known=%" G_GUINT64_FORMAT,
          call->era, call->kind, beryl_platform_op_name (call->op), before);
  return false;
}

static void
add_era (json_t *object, const char *key, uint64_t era)
{
  json_int_t number = json_integer_value (json_object_get (object, key));

  if (number > 0)
    json_object_set_new (object, key,
                         json_integer ((json_int_t)beryl_revision_make (
                             era, (uint64_t)number)));
}

/** Turn the revisions in NATIVE into positions. */
static void
add_era_to_answer (json_t *native, uint64_t era)
{
  static const char *const lists[] = { "items", "events" };

  add_era (native, "version", era);
  add_era (native, "revision", era);
  for (size_t i = 0; i < G_N_ELEMENTS (lists); i++)
    {
      json_t *list = json_object_get (native, lists[i]);
      json_t *object;
      size_t n;

      json_array_foreach (list, n, object)
      {
        add_era (object, "version", era);
      }
    }
}

/** Hand in an answer of a platform that spells it differently. */
static void
translated_answer (struct platform_client *c, struct call *call)
{
  const struct platform_wire_impl *impl = c->wire->impl;
  unsigned int status = call->status;
  json_t *native;

  if (call->reading)
    {
      native = impl->read_end (c->wire, call->reading, call->op, call->kind,
                               &status);
      /* The text of its values has been copied. */
      g_string_free (call->body, TRUE);
      call->body = g_string_new (NULL);
    }
  else
    native = impl->answer (c->wire, call->op, call->kind, &status,
                           call->body->str, call->body->len);
  add_era_to_answer (native, call->era);
  beryl_platform_answer_json (c->core, call->id, status, call->retry_ms,
                              native, loop_now_ms (c->loop));
  json_decref (native);
}

/** Hand in the answer to CALL, which is no longer in the table. */
static void
hand_in (struct platform_client *c, struct call *call)
{
  if (!record_era (c, call, call->status))
    beryl_platform_failed (c->core, call->id, true, loop_now_ms (c->loop));
  else if (c->wire != NULL)
    translated_answer (c, call);
  else
    beryl_platform_answer (c->core, call->id, call->status, call->retry_ms,
                           call->body->str, call->body->len,
                           loop_now_ms (c->loop));
}

static void
spent_cb (void *user)
{
  struct call *call = user;

  g_hash_table_remove (call->client->spent, call);
}

static void step_cb (void *user);

/** Go on with CALL in another turn of the loop, in which it also reads its
 * connections. */
static void
step_later (struct call *call, loop_timer_cb *cb)
{
  loop_timer_stop (call->step_timer);
  call->step_timer = loop_timer_start (call->client->loop, 1, 0, cb, call);
}

/** Do the next part of the work for a long answer: read some of it, hand it in
 * or free what was read. */
static void
step_cb (void *user)
{
  struct call *call = user;
  struct platform_client *c = call->client;

  if (!call->is_read)
    {
      call->is_read
          = c->wire->impl->read_some (call->reading, PLATFORM_READ_STEP_BYTES);
      step_later (call, step_cb);
      return;
    }
  call_steal (call);
  g_hash_table_add (c->spent, call);
  step_later (call, spent_cb);
  hand_in (c, call);
  timer_arm (c);
}

static void
call_done (struct http_call_handler *handler, struct http_call *http)
{
  struct call *call = (struct call *)handler;
  struct platform_client *c = call->client;

  call->status = http_call_status (http);
  call->retry_ms = retry_after_ms (http);
  call->http = NULL;
  if (c->wire != NULL && call->body->len > PLATFORM_READ_STEP_BYTES)
    {
      call->reading = c->wire->impl->read_begin (c->wire, call->body->str,
                                                 call->body->len);
      step_later (call, step_cb);
      return;
    }
  call_steal (call);
  hand_in (c, call);
  call_free (call);
  timer_arm (c);
}

static void
call_failed (struct http_call_handler *handler, struct http_call *http,
             bool sent, const char *reason)
{
  struct call *call = (struct call *)handler;
  struct platform_client *c = call->client;

  call_steal (call);
  g_debug ("platform call failed: %s", reason);
  c->endless += strcmp (reason, HTTP_ENDLESS_ANSWER) == 0;
  log_cut_off (call, reason);
  log_silent_watch (call, sent, reason);
  beryl_platform_failed (c->core, call->id, sent, loop_now_ms (c->loop));
  call_free (call);
  timer_arm (c);
}

static const struct http_call_handler_impl call_impl
    = { .head = call_head,
        .data = call_data,
        .done = call_done,
        .failed = call_failed };

/** Fill in the headers of a call; return their number. */
static size_t
headers_of (struct platform_client *c, const struct beryl_platform_call *call,
            struct http_header headers[MAX_HEADERS])
{
  size_t n = 0;

  if (call->if_match && c->wire == NULL)
    headers[n++] = (struct http_header){ "if-match", call->if_match };
  if (call->if_none_match && c->wire == NULL)
    headers[n++] = (struct http_header){ "if-none-match", "*" };
  if (call->body)
    headers[n++] = (struct http_header){ "content-type", "application/json" };
  if (c->authorization)
    headers[n++] = (struct http_header){ "authorization", c->authorization };
  return n;
}

static void
core_send (struct beryl_platform_handler *handler,
           const struct beryl_platform_call *core_call)
{
  struct platform_client *c = (struct platform_client *)handler;
  struct http_header headers[MAX_HEADERS];
  struct http_request request = {
    .method = core_call->method,
    .address = c->address,
    .port = c->port,
    .path = core_call->path,
    .headers = headers,
    .header_count = headers_of (c, core_call, headers),
    .body = core_call->body,
    .body_bytes = core_call->body_bytes,
    .timeout_ms = core_call->timeout_ms,
    .idle_timeout_ms = core_call->idle_timeout_ms,
    .answer_max_bytes = c->answer_max_bytes,
    .tls = c->tls,
    .tls_host = c->tls_host,
  };
  struct call *call = g_new0 (struct call, 1);
  struct platform_wire_call out = { 0 };

  call->base.impl = &call_impl;
  call->client = c;
  call->id = core_call->id;
  call->op = core_call->op;
  g_strlcpy (call->kind, core_call->kind, sizeof call->kind);
  call->body = g_string_new (NULL);
  call->max_bytes = core_call->answer_max_bytes;
  call->began_ms = loop_now_ms (c->loop);
  g_hash_table_insert (c->calls, &call->id, call);
  if (c->wire != NULL)
    {
      struct beryl_platform_call numbered = *core_call;

      numbered.version = beryl_revision_number (core_call->version);
      numbered.revision = beryl_revision_number (core_call->revision);
      c->wire->impl->call (c->wire, &numbered, &out);
      request.method = out.method;
      request.path = out.path;
      request.body = out.body;
      request.body_bytes = out.body != NULL ? strlen (out.body) : 0;
    }
  call->http = http_call_start (c->http, &request, &call->base);
  g_free (out.path);
  g_free (out.body);
}

static void
core_abort (struct beryl_platform_handler *handler, uint64_t id)
{
  struct platform_client *c = (struct platform_client *)handler;
  const struct call *call = g_hash_table_lookup (c->calls, &id);

  if (call != NULL)
    log_cut_off (call, "given up");
  g_hash_table_remove (c->calls, &id);
}

static void
core_result (struct beryl_platform_handler *handler,
             const struct beryl_platform_result *result)
{
  struct platform_client *c = (struct platform_client *)handler;
  struct request *request
      = g_hash_table_lookup (c->requests, &result->request);
  struct request copy;

  if (!request)
    return;
  copy = *request;
  g_hash_table_remove (c->requests, &result->request);
  copy.cb (copy.user, result);
}

static void
core_event (struct beryl_platform_handler *handler,
            const struct beryl_platform_event *event)
{
  struct platform_client *c = (struct platform_client *)handler;
  struct watch_owner *w = g_hash_table_lookup (c->watches, &event->watch);

  if (w && w->callbacks.event)
    w->callbacks.event (w->user, event);
}

static void
core_synced (struct beryl_platform_handler *handler, uint64_t watch,
             uint64_t revision)
{
  struct platform_client *c = (struct platform_client *)handler;
  struct watch_owner *w = g_hash_table_lookup (c->watches, &watch);

  if (w && w->callbacks.synced)
    w->callbacks.synced (w->user, revision);
}

static void
core_instances (struct beryl_platform_handler *handler, uint64_t watch,
                uint64_t revision, const struct beryl_instance *items,
                size_t count)
{
  struct platform_client *c = (struct platform_client *)handler;
  struct watch_owner *w = g_hash_table_lookup (c->watches, &watch);

  if (w && w->callbacks.instances)
    w->callbacks.instances (w->user, revision, items, count);
}

static const struct beryl_platform_handler_impl core_impl
    = { core_send,  core_abort,  core_result,
        core_event, core_synced, core_instances };

static void
cells_create (struct platform_client *c, struct counters *counters)
{
  static const char *const use_names[USE_CELLS] = {
    "beryl_platform_reads_total",   "beryl_platform_writes_total",
    "beryl_platform_watches_total", "beryl_platform_joined_total",
    "beryl_platform_delayed_total", "beryl_platform_failed_total",
  };
  static const char *const names[CLIENT_CELLS] = {
    "beryl_platform_refused_total",
    "beryl_platform_errors_total",
    "beryl_platform_breaker_total",
    "beryl_platform_settled_total",
    "beryl_platform_unsettled_total",
    "beryl_platform_stale_total",
    "beryl_platform_relisted_total",
    "beryl_platform_malformed_total",
    "beryl_platform_away",
    "beryl_platform_era",
    "beryl_platform_endless_total",
  };
  size_t n = 0;

  if (!counters)
    return;
  for (int u = 0; u < BERYL_USE_COUNT; u++)
    {
      char label[64];

      g_snprintf (label, sizeof label, "use=\"%s\"",
                  beryl_platform_use_name ((enum beryl_platform_use)u));
      for (size_t i = 0; i < USE_CELLS; i++)
        c->cells[n++] = counters_cell (counters, use_names[i], label);
    }
  for (size_t i = 0; i < CLIENT_CELLS; i++)
    c->cells[n++] = counters_cell (counters, names[i], "");
}

struct platform_client *
platform_client_create (struct loop *loop, struct http_context *http,
                        const struct platform_client_settings *settings,
                        struct counters *counters)
{
  struct platform_client *c = g_new0 (struct platform_client, 1);

  c->base.impl = &core_impl;
  c->loop = loop;
  c->http = http;
  c->address = g_strdup (settings->address);
  c->port = settings->port;
  c->tls = settings->tls;
  c->tls_host = g_strdup (settings->tls_host);
  c->wire = settings->wire;
  c->answer_max_bytes = settings->answer_max_bytes > 0
                            ? settings->answer_max_bytes
                            : ANSWER_MAX_BYTES;
  if (settings->token)
    c->authorization = g_strconcat ("Bearer ", settings->token, NULL);
  cells_create (c, counters);
  c->calls
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, call_free);
  c->requests
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  c->watches
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  c->spent
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, call_free, NULL);
  c->core = beryl_platform_create (&settings->core, &c->base, settings->seed);
  return c;
}

void
platform_client_destroy (struct platform_client *c)
{
  if (!c)
    return;
  loop_timer_stop (c->timer);
  beryl_platform_destroy (c->core);
  g_hash_table_destroy (c->calls);
  g_hash_table_destroy (c->spent);
  g_hash_table_destroy (c->requests);
  g_hash_table_destroy (c->watches);
  g_free (c->address);
  g_free (c->tls_host);
  g_free (c->authorization);
  g_free (c);
}

struct beryl_platform *
platform_client_core (struct platform_client *c)
{
  return c->core;
}

static struct beryl_platform_options
options_of (struct platform_client *c,
            const struct platform_client_options *options, int64_t now_ms)
{
  return (struct beryl_platform_options){
    .use = options->use,
    .deadline_ms = now_ms + options->timeout_ms,
    .wait_for_recovery = options->wait,
  };
}

static void *
key_new (uint64_t id)
{
  return g_memdup2 (&id, sizeof id);
}

/** Note who made request ID, and wake the core. */
static uint64_t
request_note (struct platform_client *c, uint64_t id, platform_client_cb *cb,
              void *user)
{
  struct request *request = g_new0 (struct request, 1);

  request->cb = cb;
  request->user = user;
  g_hash_table_insert (c->requests, key_new (id), request);
  timer_arm (c);
  return id;
}

uint64_t
platform_client_get (struct platform_client *c,
                     const struct platform_client_options *options,
                     const char *kind, const char *name, uint64_t min_version,
                     platform_client_cb *cb, void *user)
{
  int64_t now_ms = loop_now_ms (c->loop);
  struct beryl_platform_options o = options_of (c, options, now_ms);

  return request_note (
      c, beryl_platform_get (c->core, &o, kind, name, min_version, now_ms), cb,
      user);
}

uint64_t
platform_client_list (struct platform_client *c,
                      const struct platform_client_options *options,
                      const char *kind, const char *prefix,
                      platform_client_cb *cb, void *user)
{
  int64_t now_ms = loop_now_ms (c->loop);
  struct beryl_platform_options o = options_of (c, options, now_ms);

  return request_note (
      c, beryl_platform_list (c->core, &o, kind, prefix, now_ms), cb, user);
}

uint64_t
platform_client_put (struct platform_client *c,
                     const struct platform_client_options *options,
                     const struct beryl_platform_write *write,
                     platform_client_cb *cb, void *user)
{
  int64_t now_ms = loop_now_ms (c->loop);
  struct beryl_platform_options o = options_of (c, options, now_ms);

  return request_note (c, beryl_platform_put (c->core, &o, write, now_ms), cb,
                       user);
}

uint64_t
platform_client_delete (struct platform_client *c,
                        const struct platform_client_options *options,
                        const char *kind, const char *name, uint64_t version,
                        platform_client_cb *cb, void *user)
{
  int64_t now_ms = loop_now_ms (c->loop);
  struct beryl_platform_options o = options_of (c, options, now_ms);

  return request_note (
      c, beryl_platform_delete (c->core, &o, kind, name, version, now_ms), cb,
      user);
}

void
platform_client_forget (struct platform_client *c, uint64_t request)
{
  beryl_platform_cancel (c->core, request);
  g_hash_table_remove (c->requests, &request);
}

/** Note who owns watch ID, and wake the core. */
static uint64_t
watch_note (struct platform_client *c, uint64_t id,
            const struct platform_watch_callbacks *callbacks, void *user)
{
  struct watch_owner *w = g_new0 (struct watch_owner, 1);

  w->callbacks = *callbacks;
  w->user = user;
  g_hash_table_insert (c->watches, key_new (id), w);
  timer_arm (c);
  return id;
}

uint64_t
platform_client_watch (struct platform_client *c, enum beryl_platform_use use,
                       const char *kind,
                       const struct platform_watch_callbacks *callbacks,
                       void *user)
{
  int64_t now_ms = loop_now_ms (c->loop);

  return watch_note (c, beryl_platform_watch (c->core, use, kind, now_ms),
                     callbacks, user);
}

uint64_t
platform_client_watch_instances (
    struct platform_client *c,
    const struct platform_watch_callbacks *callbacks, void *user)
{
  int64_t now_ms = loop_now_ms (c->loop);

  return watch_note (c, beryl_platform_watch_instances (c->core, now_ms),
                     callbacks, user);
}

void
platform_client_poke (struct platform_client *c, uint64_t watch)
{
  beryl_platform_watch_refresh (c->core, watch);
  timer_arm (c);
}

bool
platform_client_feed (struct platform_client *c, uint64_t watch,
                      uint64_t after, uint64_t revision,
                      const struct beryl_platform_event *events, size_t count)
{
  return beryl_platform_watch_apply (c->core, watch, after, revision, events,
                                     count);
}

void
platform_client_watch_rest (struct platform_client *c, uint64_t watch,
                            bool resting, int64_t wait_ms)
{
  beryl_platform_watch_set_wait (c->core, watch, wait_ms);
  beryl_platform_watch_pause (c->core, watch, resting);
  timer_arm (c);
}

bool
platform_client_watch_arriving (struct platform_client *c, uint64_t watch)
{
  return beryl_platform_watch_is_receiving (c->core, watch);
}

void
platform_client_unwatch (struct platform_client *c, uint64_t watch)
{
  beryl_platform_unwatch (c->core, watch);
  g_hash_table_remove (c->watches, &watch);
}
