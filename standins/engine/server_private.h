/** @file
 * State shared by the routes of standin-engine.
 */
#ifndef ENGINE_SERVER_PRIVATE_H
#define ENGINE_SERVER_PRIVATE_H

#include <glib.h>
#include <jansson.h>

#include "http/client.h"
#include "http/server.h"
#include "server.h"

/** How often load and cache events are sampled. */
#define ENGINE_SAMPLE_MS 50
#define ENGINE_SAMPLES 128

/** What a report of a past moment said. */
struct engine_sample
{
  int64_t at_ms;
  struct engine_load load;
  uint64_t cache_last;
};

/** Faults on order. */
struct engine_faults
{
  bool stall_transfers;
  bool freeze;
  double link_factor;
  bool drop_events;
  bool lie_events;
  bool reports_stopped;
};

enum engine_wait_type
{
  ENGINE_WAIT_PREFILL,
  ENGINE_WAIT_EXPORT,
  ENGINE_WAIT_DECODE,
  ENGINE_WAIT_EVENTS,
};

/** An exchange that is answered later. */
struct engine_wait
{
  enum engine_wait_type type;
  struct engine_server *server;
  struct http_exchange *ex; /**< NULL once it is closed */
  struct beryl_stream_id stream;
  uint32_t attempt;
  uint64_t seed;
  uint32_t from;  /**< DECODE: first token to send */
  bool started;   /**< DECODE: the answer has begun */
  uint64_t after; /**< EVENTS */
  int64_t until_ms;
  struct engine_import *import;
};

/** A KV cache on its way here; the first member handles the call. */
struct engine_import
{
  struct http_call_handler base;
  struct engine_wait *wait;
  struct http_call *call;
  GString *body;
  unsigned int status;
};

struct engine_server
{
  struct http_handler base;
  struct engine_sink sink;
  struct loop *loop;
  struct http_context *http;
  struct http_server *http_server;
  struct engine_server_settings settings;
  struct engine_model *model;
  struct engine_faults faults;
  struct loop_timer *timer;
  struct loop_timer *sampler;
  struct engine_sample samples[ENGINE_SAMPLES];
  uint64_t sample_count;
  struct engine_sample frozen_sample;
  GPtrArray *waits; /**< of struct engine_wait */
  json_t *serve;    /**< the order in force */
  char serving_model[BERYL_NAME_BYTES];
  enum beryl_role role;
  bool loading;
  struct loop_timer *load_timer;
  uint64_t fence;
};

/* server.c */
int64_t engine_now_ms (struct engine_server *s);
void engine_settle (struct engine_server *s);
void engine_respond (struct http_exchange *ex, unsigned int status,
                     json_t *body);
void engine_respond_error (struct http_exchange *ex, unsigned int status,
                           const char *error);
struct engine_wait *engine_wait_add (struct engine_server *s,
                                     struct http_exchange *ex,
                                     enum engine_wait_type type);
void engine_wait_end (struct engine_wait *w);
json_t *engine_body (struct http_exchange *ex);
bool engine_serves (const struct engine_server *s, const char *model,
                    enum beryl_role role);

/* route_*.c */
void route_prefill (struct engine_server *s, struct http_exchange *ex);
void route_decode (struct engine_server *s, struct http_exchange *ex);
void route_kv (struct engine_server *s, struct http_exchange *ex);
void route_cancel (struct engine_server *s, struct http_exchange *ex);
void route_holds (struct engine_server *s, struct http_exchange *ex);
void route_load (struct engine_server *s, struct http_exchange *ex);
void route_events (struct engine_server *s, struct http_exchange *ex);
void route_cache (struct engine_server *s, struct http_exchange *ex);
void route_orders (struct engine_server *s, struct http_exchange *ex);
void route_state (struct engine_server *s, struct http_exchange *ex);
void route_truth (struct engine_server *s, struct http_exchange *ex);
void route_faults (struct engine_server *s, struct http_exchange *ex);
void engine_decode_output (struct engine_wait *w,
                           const struct engine_output *o);
void engine_events_answer (struct engine_wait *w);
bool engine_events_ready (const struct engine_wait *w);
const struct engine_sample *engine_sample_of (const struct engine_server *s,
                                              int64_t lag_ms);
void engine_serve (struct engine_server *s, json_t *serve);
void engine_import_cancel (struct engine_import *import);

#endif
