/** @file
 * The platform client on the process's loop: beryl/platform.h over
 * http/client.h, with a callback for each request.
 *
 * One thread.  No callback runs inside a call of the owner.  Once a request
 * is forgotten or the client destroyed, its callback is not run.
 */
#ifndef COMMON_PLATFORM_CLIENT_H
#define COMMON_PLATFORM_CLIENT_H

#include "beryl/platform.h"
#include "common/counters.h"
#include "common/loop.h"
#include "http/context.h"

struct platform_client;

struct platform_wire;
struct platform_reading;

/** A longer answer of a translated platform is read in steps of this size,
 * each in a turn of the loop. */
#define PLATFORM_READ_STEP_BYTES ((size_t)64 << 10)

/** A call as it goes out. */
struct platform_wire_call
{
  const char *method;
  char *path; /**< g_malloc'd */
  char *body; /**< g_malloc'd, NULL: none */
};

/** How a platform that spells its object API differently is called.  Calls
 * are translated on their way out and answers into the native form on their
 * way back; what a call or an answer means stays the core's to decide. */
struct platform_wire_impl
{
  void (*call) (const struct platform_wire *wire,
                const struct beryl_platform_call *call,
                struct platform_wire_call *out);
  /** Translate the answer to a call of OP on KIND.  *STATUS may be changed.
   * Returns the native body, a new reference, or NULL if it is malformed. */
  struct json_t *(*answer) (const struct platform_wire *wire,
                            enum beryl_platform_op op, const char *kind,
                            unsigned int *status, const char *body,
                            size_t body_bytes);
  /** Begin to read a long answer, of which a part is read at a time.  BODY
   * must stay until read_end. */
  struct platform_reading *(*read_begin) (const struct platform_wire *wire,
                                          const char *body, size_t body_bytes);
  /** Read about the next BYTES; return whether all is read. */
  bool (*read_some) (struct platform_reading *reading, size_t bytes);
  /** Return what ANSWER would of the same body, after all is read. */
  struct json_t *(*read_end) (const struct platform_wire *wire,
                              struct platform_reading *reading,
                              enum beryl_platform_op op, const char *kind,
                              unsigned int *status);
  /** Free a reading, read to its end or not. */
  void (*read_free) (struct platform_reading *reading);
  /** Header of each answer with the number of the store's era, which rises
   * when the store comes back from an older copy; NULL if there is none. */
  const char *era_header;
};

/** A wire; the first member selects the implementation. */
struct platform_wire
{
  const struct platform_wire_impl *impl;
};

/** Where the platform is and how to call it. */
struct platform_client_settings
{
  const char *address; /**< IP number; copied */
  uint16_t port;
  bool tls;
  const char *tls_host;             /**< name to verify; NULL: ADDRESS */
  const char *token;                /**< sent as a bearer token; NULL: none */
  const struct platform_wire *wire; /**< NULL: the native one */
  struct beryl_platform_settings core;
  size_t answer_max_bytes; /**< longest answer that is read; 0: 16 MB */
  uint64_t seed;
};

/** The end of a request; RESULT is valid during the call. */
typedef void platform_client_cb (void *user,
                                 const struct beryl_platform_result *result);

/** Callbacks of a watch; each may be NULL. */
struct platform_watch_callbacks
{
  void (*event) (void *user, const struct beryl_platform_event *event);
  void (*synced) (void *user, uint64_t revision);
  void (*instances) (void *user, uint64_t revision,
                     const struct beryl_instance *items, size_t count);
};

/** Create a client.  COUNTERS (may be NULL) takes beryl_platform_*. */
struct platform_client *
platform_client_create (struct loop *loop, struct http_context *http,
                        const struct platform_client_settings *settings,
                        struct counters *counters);

/** Cancel all calls and release CLIENT; NULL is allowed. */
void platform_client_destroy (struct platform_client *client);

/** Return the core, for its counts and state. */
struct beryl_platform *platform_client_core (struct platform_client *client);

/** How a request is made. */
struct platform_client_options
{
  enum beryl_platform_use use;
  int64_t timeout_ms; /**< the callback runs by then */
  bool wait;          /**< as in struct beryl_platform_options */
};

/** Requests, as in beryl/platform.h; return the request's number. */
uint64_t platform_client_get (struct platform_client *client,
                              const struct platform_client_options *options,
                              const char *kind, const char *name,
                              uint64_t min_version, platform_client_cb *cb,
                              void *user);
uint64_t platform_client_list (struct platform_client *client,
                               const struct platform_client_options *options,
                               const char *kind, const char *prefix,
                               platform_client_cb *cb, void *user);
uint64_t platform_client_put (struct platform_client *client,
                              const struct platform_client_options *options,
                              const struct beryl_platform_write *write,
                              platform_client_cb *cb, void *user);
uint64_t platform_client_delete (struct platform_client *client,
                                 const struct platform_client_options *options,
                                 const char *kind, const char *name,
                                 uint64_t version, platform_client_cb *cb,
                                 void *user);

/** Forget a request: its callback is not run. */
void platform_client_forget (struct platform_client *client, uint64_t request);

/** Watch objects of KIND. */
uint64_t
platform_client_watch (struct platform_client *client,
                       enum beryl_platform_use use, const char *kind,
                       const struct platform_watch_callbacks *callbacks,
                       void *user);

/** Watch the instance list. */
uint64_t platform_client_watch_instances (
    struct platform_client *client,
    const struct platform_watch_callbacks *callbacks, void *user);

/** Have WATCH look at once. */
void platform_client_poke (struct platform_client *client, uint64_t watch);

/** Take changes that another watcher saw, as beryl_platform_watch_apply does;
 * the callbacks of WATCH run inside the call. */
bool platform_client_feed (struct platform_client *client, uint64_t watch,
                           uint64_t after, uint64_t revision,
                           const struct beryl_platform_event *events,
                           size_t count);

/** Begin or end a rest of WATCH, and set how long its calls wait, as
 * beryl_platform_watch_pause and beryl_platform_watch_set_wait do. */
void platform_client_watch_rest (struct platform_client *client,
                                 uint64_t watch, bool resting,
                                 int64_t wait_ms);

/** Whether an answer for WATCH is arriving. */
bool platform_client_watch_arriving (struct platform_client *client,
                                     uint64_t watch);

/** End a watch. */
void platform_client_unwatch (struct platform_client *client, uint64_t watch);

#endif
