#include "server.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "faults.h"
#include "http/server.h"
#include "operation.h"
#include "store.h"

/** How often waiting watches are looked at for lag and expiry. */
#define SWEEP_MS 20
/** Enough for a value of the largest size and its escapes. */
#define BODY_MAX_BYTES (2U << 20)

struct platform
{
  struct http_handler base;
  struct loop *loop;
  struct http_server *server;
  struct store *objects;
  struct store *instances;
  struct faults faults;
  struct loop_timer *sweep;
  GPtrArray *calls; /* those that have not been answered */
  uint64_t counts[OPERATION_TYPE_COUNT];
  uint64_t limited;
  uint64_t lost_replies;
};

enum stage
{
  STAGE_BEFORE,  /* delayed before its effect */
  STAGE_WAITING, /* a watch with nothing to tell */
  STAGE_AFTER,   /* done, the answer is delayed */
  STAGE_HUNG,    /* never answered */
};

/** A call in progress; it takes effect even if its caller goes away. */
struct call
{
  struct platform *platform;
  struct http_exchange *ex; /* NULL once closed */
  struct operation *op;
  enum stage stage;
  int64_t due_ms;
  struct answer answer;
};

static void
call_free (void *pointer)
{
  struct call *c = pointer;

  if (c->ex)
    http_exchange_set_user (c->ex, NULL);
  operation_destroy (c->op);
  g_free (c->answer.body);
  g_free (c);
}

static void
respond (struct http_exchange *ex, const struct answer *answer)
{
  http_exchange_respond (ex, answer->status, "application/json", answer->body,
                         strlen (answer->body));
}

static void
respond_json (struct http_exchange *ex, unsigned int status, json_t *json)
{
  struct answer answer = { status, json_dumps (json, JSON_COMPACT) };

  respond (ex, &answer);
  g_free (answer.body);
  json_decref (json);
}

static void
respond_error (struct http_exchange *ex, unsigned int status, const char *text)
{
  respond_json (ex, status, json_pack ("{s:s}", "error", text));
}

/** Deliver the answer, or lose it if a test ordered that. */
static void
call_deliver (struct call *c)
{
  struct faults *f = &c->platform->faults;
  bool effective
      = operation_type_writes (c->op->type) && c->answer.status == 200;
  struct http_exchange *ex = c->ex;

  if (!ex)
    return;
  c->ex = NULL;
  http_exchange_set_user (ex, NULL);
  if (!effective || f->lose_replies == 0)
    {
      respond (ex, &c->answer);
      return;
    }
  f->lose_replies--;
  c->platform->lost_replies++;
  http_exchange_abort (ex);
}

/** Make the call take effect; true once its answer has been given. */
static bool
call_run (struct call *c, int64_t now_ms)
{
  struct platform *p = c->platform;
  struct faults *f = &p->faults;

  if (!operation_run (c->op, p->objects, p->instances, now_ms,
                      now_ms - f->stale_ms, now_ms - f->instances_lag_ms,
                      &c->answer))
    {
      c->stage = STAGE_WAITING;
      c->due_ms = now_ms + c->op->wait_ms;
      return false;
    }
  if (f->slow_ms > 0)
    {
      c->stage = STAGE_AFTER;
      c->due_ms = now_ms + f->slow_ms / 2;
      return false;
    }
  call_deliver (c);
  return true;
}

/** A watch that waited in vain: tell the revision reached. */
static void
call_expire (struct call *c, int64_t now_ms)
{
  struct platform *p = c->platform;
  bool instances = c->op->type == OPERATION_INSTANCES;
  struct store *store = instances ? p->instances : p->objects;
  uint64_t revision = store_revision_at (store, now_ms);

  if (instances)
    revision = c->op->after;
  if (!c->ex)
    return;
  http_exchange_set_user (c->ex, NULL);
  if (instances)
    {
      c->op->wait_ms = 0;
      operation_run (c->op, p->objects, p->instances, now_ms, now_ms,
                     now_ms - p->faults.instances_lag_ms, &c->answer);
      respond (c->ex, &c->answer);
    }
  else
    respond_json (
        c->ex, 200,
        json_pack ("{s:I,s:[]}", "revision", (json_int_t)revision, "events"));
  c->ex = NULL;
}

static void
call_cut (struct call *c)
{
  if (!c->ex)
    return;
  http_exchange_set_user (c->ex, NULL);
  http_exchange_abort (c->ex);
  c->ex = NULL;
}

/** Move a call on; true once it is finished. */
static bool
call_advance (struct call *c, int64_t now_ms)
{
  struct answer answer = { 0 };
  struct platform *p = c->platform;

  switch (c->stage)
    {
    case STAGE_HUNG:
      return !c->ex;
    case STAGE_BEFORE:
      return now_ms >= c->due_ms && call_run (c, now_ms);
    case STAGE_AFTER:
      if (now_ms < c->due_ms)
        return false;
      call_deliver (c);
      return true;
    case STAGE_WAITING:
      break;
    }
  if (!c->ex)
    return true;
  if (p->faults.drop_watches || p->faults.outage)
    {
      call_cut (c);
      return true;
    }
  if (operation_run (c->op, p->objects, p->instances, now_ms, now_ms,
                     now_ms - p->faults.instances_lag_ms, &answer))
    {
      c->answer = answer;
      call_deliver (c);
      return true;
    }
  if (now_ms < c->due_ms)
    return false;
  call_expire (c, now_ms);
  return true;
}

static void
sweep (void *user)
{
  struct platform *p = user;
  int64_t now_ms = loop_now_ms (p->loop);

  for (guint i = 0; i < p->calls->len;)
    {
      if (call_advance (g_ptr_array_index (p->calls, i), now_ms))
        g_ptr_array_remove_index_fast (p->calls, i);
      else
        i++;
    }
}

/** Whether a fault answers the call at once. */
static bool
gate (struct platform *p, const struct operation *op, struct http_exchange *ex,
      int64_t now_ms)
{
  struct rate *rate = operation_type_writes (op->type) ? &p->faults.writes
                                                       : &p->faults.reads;

  if (p->faults.outage)
    {
      respond_error (ex, 503, "outage");
      return true;
    }
  if (rate_spend (rate, now_ms))
    return false;
  p->limited++;
  http_exchange_add_header (ex, "Retry-After", "1");
  respond_error (ex, 429, "over the rate");
  return true;
}

/** Whether the platform's own agents make this call; faults and rates are
 * the callers', not theirs. */
static bool
agent_call (const struct operation *op)
{
  return op->type == OPERATION_INSTANCE_PUT
         || op->type == OPERATION_INSTANCE_DELETE;
}

static struct operation *
operation_of (struct http_exchange *ex)
{
  char *path = g_strdup_printf ("%s?%s", http_exchange_path (ex),
                                http_exchange_query (ex));
  size_t n;
  const char *body = http_exchange_body (ex, &n);
  struct operation *op = operation_create (
      http_exchange_method (ex), path, http_exchange_header (ex, "if-match"),
      http_exchange_header (ex, "if-none-match") != NULL, body, n);

  g_free (path);
  return op;
}

static void
call_start (struct platform *p, struct http_exchange *ex)
{
  struct operation *op = operation_of (ex);
  int64_t now_ms = loop_now_ms (p->loop);
  struct call *c;

  if (!op)
    {
      respond_error (ex, 404, "no such call");
      return;
    }
  p->counts[op->type]++;
  if (!agent_call (op) && !p->faults.hang && gate (p, op, ex, now_ms))
    {
      operation_destroy (op);
      return;
    }
  c = g_new0 (struct call, 1);
  c->platform = p;
  c->ex = ex;
  c->op = op;
  http_exchange_set_user (ex, c);
  if (!agent_call (op) && p->faults.hang)
    c->stage = STAGE_HUNG;
  else if (!agent_call (op) && p->faults.slow_ms > 0)
    c->due_ms = now_ms + p->faults.slow_ms / 2;
  else if (call_run (c, now_ms))
    {
      call_free (c);
      sweep (p);
      return;
    }
  g_ptr_array_add (p->calls, c);
}

static bool
write_json (void *user, const struct store_revision *r)
{
  json_array_append_new (user,
                         json_pack ("{s:I,s:s,s:s,s:b,s:I}", "revision",
                                    (json_int_t)r->version, "kind", r->kind,
                                    "name", r->name, "deleted", r->deleted,
                                    "time_ms", (json_int_t)r->time_ms));
  return true;
}

static void
counters_respond (struct platform *p, struct http_exchange *ex)
{
  char text[32] = "0";
  json_t *calls = json_object ();
  json_t *writes = json_array ();

  http_exchange_argument (ex, "after", text, sizeof text);
  for (int i = 0; i < OPERATION_TYPE_COUNT; i++)
    json_object_set_new (calls, operation_type_name ((enum operation_type)i),
                         json_integer ((json_int_t)p->counts[i]));
  store_writes (p->objects, g_ascii_strtoull (text, NULL, 10), write_json,
                writes);
  respond_json (ex, 200,
                json_pack ("{s:o,s:I,s:I,s:I,s:o}", "calls", calls, "limited",
                           (json_int_t)p->limited, "lost_replies",
                           (json_int_t)p->lost_replies, "open",
                           (json_int_t)p->calls->len, "writes", writes));
}

static void
faults_request (struct platform *p, struct http_exchange *ex)
{
  size_t n;
  const char *body = http_exchange_body (ex, &n);
  json_t *json = json_loadb (body ? body : "", n, 0, NULL);

  if (json && faults_apply (&p->faults, json))
    respond_json (ex, 200, json_object ());
  else
    respond_error (ex, 400, "malformed or unknown fault");
  json_decref (json);
}

static void
request (struct http_handler *handler, struct http_exchange *ex)
{
  struct platform *p = (struct platform *)handler;
  const char *path = http_exchange_path (ex);

  if (strcmp (path, "/standin/faults") == 0)
    faults_request (p, ex);
  else if (strcmp (path, "/standin/counters") == 0)
    counters_respond (p, ex);
  else if (strcmp (path, "/standin/compact") == 0)
    {
      store_compact (p->objects);
      respond_json (ex, 200, json_object ());
    }
  else
    call_start (p, ex);
}

static void
closed (struct http_handler *handler, struct http_exchange *ex, bool whole)
{
  struct call *c = http_exchange_user (ex);

  if (c)
    c->ex = NULL;
}

static const struct http_handler_impl impl = { request, NULL, closed };

struct platform *
platform_create (struct loop *loop, struct http_context *http,
                 const char *address, uint16_t port, struct beryl_error *error)
{
  const struct http_server_settings settings
      = { .address = address, .port = port, .max_body_bytes = BODY_MAX_BYTES };
  struct platform *p = g_new0 (struct platform, 1);

  p->base.impl = &impl;
  p->loop = loop;
  p->objects = store_create ();
  p->instances = store_create ();
  p->calls = g_ptr_array_new_with_free_func (call_free);
  p->server = http_server_create (http, &settings, &p->base, error);
  p->sweep = loop_timer_start (loop, SWEEP_MS, SWEEP_MS, sweep, p);
  if (p->server)
    return p;
  platform_destroy (p);
  return NULL;
}

uint16_t
platform_port (const struct platform *p)
{
  return http_server_port (p->server);
}

void
platform_destroy (struct platform *p)
{
  if (!p)
    return;
  loop_timer_stop (p->sweep);
  g_ptr_array_unref (p->calls);
  store_destroy (p->objects);
  store_destroy (p->instances);
  g_free (p);
}
