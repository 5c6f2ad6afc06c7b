/** @file
 * The state of beryl-entryd that its files share.
 *
 * Everything runs on one loop thread.  An event goes into beryl_requests by
 * entry_event; its actions come back while that call runs, and no action
 * makes a new event before it has returned.
 */
#ifndef ENTRYD_ENTRY_H
#define ENTRYD_ENTRY_H

#include <glib.h>

#include "beryl/config.h"
#include "beryl/clock.h"
#include "beryl/requests.h"
#include "beryl/router.h"
#include "common/counters.h"
#include "common/loop.h"
#include "control_link.h"
#include "http/client.h"
#include "http/server.h"
#include "settings.h"

/** Shape of an answer. */
enum reply_shape
{
  REPLY_PLAIN,      /**< the endpoint's bytes as they are */
  REPLY_COMPLETION, /**< text_completion JSON */
  REPLY_CHAT,       /**< chat.completion JSON */
};

/** One caller's request from its arrival to the end of its connection. */
struct entry_request
{
  uint64_t handle;
  struct http_exchange *exchange; /**< NULL: it came from another node */
  struct peer *peer;              /**< that node's connection */
  uint64_t peer_id;               /**< that node's number of it */
  uint64_t peer_queued_bytes;     /**< sent since it was told drained */
  uint64_t peer_sent_bytes;       /**< of the answer */
  enum reply_shape shape;
  bool stream;
  bool begun;    /**< the answer's head went out */
  bool flushed;  /**< TEXT went out */
  bool answered; /**< the last byte was queued */
  GString *text; /**< what waits for the answer's end */
  unsigned int status;
  char *content_type;
  char *model;
  char request_id[72];
  char service[BERYL_NAME_BYTES]; /**< "": a fetch */
  bool waiting;                   /**< the router has not started it */
  int64_t created_s;              /**< calendar time, for the answer */
};

/** beryl-entryd. */
struct entry
{
  struct beryl_requests_owner owner;    /**< takes the actions */
  struct http_handler handler;          /**< takes the callers */
  struct control_link_owner link_owner; /**< takes the views */
  const struct entry_settings *settings;
  struct loop *loop;
  struct http_context *http;
  struct http_server *server;
  struct counters *counters;
  uint64_t *requests_total; /**< cells of the hot path */
  uint64_t *answered_total;
  uint64_t *decisions_total[BERYL_VERDICT_REFUSE + 1];
  struct beryl_router *router;
  struct beryl_requests *requests;
  struct beryl_config *config;
  struct control_link *link;
  struct hold_keeper *holds;
  struct claims_link *claims;
  struct peers *peers;
  struct engine_watch *engine_watch;
  struct decisions *decisions;
  struct demand *demand;
  GHashTable *open;      /**< handle -> struct entry_request */
  GHashTable *exchanges; /**< handle -> struct outbound */
  GHashTable *endpoints; /**< name -> struct beryl_endpoint */
  struct loop_timer *drain_poll;
  int64_t drain_accept_until_ms;
  struct loop_timer *tick;
  int64_t tick_ms; /**< when TICK is due */
  bool tick_stale; /**< an event may have changed that */
  uv_prepare_t *prepare;
  uint64_t incarnation;
  uint64_t next_handle;
  char *objects_json; /**< of the last view that brought them */
  struct local_member *members;
  size_t member_count;
  char (*leaving)[BERYL_NAME_BYTES];
  size_t leaving_count;
  bool isolated;
  bool draining;
  bool drained;
  bool closing; /**< events would find half of it released */
};

/** Create on the loop's HTTP context; NULL and ERROR on failure. */
struct entry *entry_create (const struct entry_settings *settings,
                            struct loop *loop, struct http_context *http,
                            struct beryl_error *error);

/** Make no more events; call it before the HTTP context is destroyed. */
void entry_close (struct entry *entry);

/** Release, after the HTTP context; NULL is allowed. */
void entry_destroy (struct entry *entry);

/** Begin the planned stop; the loop quits when it is done. */
void entry_drain (struct entry *entry);

/** Hand an event to beryl_requests and run what is due after it. */
void entry_event (struct entry *entry, const struct beryl_event *event);

/** Take a checked configuration, which ENTRY then owns. */
void entry_use_config (struct entry *entry, struct beryl_config *config);

/** Find an endpoint of the configuration; NULL if it is gone. */
const struct beryl_endpoint *entry_endpoint (const struct entry *entry,
                                             const char *name);

/** Return a handle that was not used before. */
uint64_t entry_new_handle (struct entry *entry);

#endif
