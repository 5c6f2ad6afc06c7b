/** @file
 * Client of the platform's object API, without I/O.
 *
 * One client serves all uses in a process.  It shares a call budget among
 * the uses, joins equal reads, repairs watches after gaps, backs off with
 * jitter, settles writes whose reply was lost, and stops calling a platform
 * that does not answer (circuit breaker).
 *
 * Requests, answers and the time go in; calls to make and results come out
 * through a vtable.  No callback runs inside a call that makes a request;
 * results are emitted by beryl_platform_tick, _answer and _failed.  Not
 * thread-safe.  Times are milliseconds of one monotonic clock.
 */
#ifndef BERYL_PLATFORM_H
#define BERYL_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/error.h"
#include "beryl/ids.h"

struct beryl_platform;

/** Who spends a call; each use has a share of the budget. */
enum beryl_platform_use
{
  BERYL_USE_LEASE,
  BERYL_USE_CLAIM,
  BERYL_USE_CONFIG,
  BERYL_USE_INSTANCES,
  BERYL_USE_STATUS,
  BERYL_USE_OPERATOR,
  BERYL_USE_COUNT,
};

/** Return the name of USE, for counters. */
const char *beryl_platform_use_name (enum beryl_platform_use use);

/** Condition of a write or deletion. */
enum beryl_condition
{
  BERYL_IF_ANY,     /**< unconditional: a lost reply stays unknown */
  BERYL_IF_ABSENT,  /**< create */
  BERYL_IF_VERSION, /**< only over the given version */
};

/** Settings; zero members take the defaults in brackets. */
struct beryl_platform_settings
{
  double reads_per_s;                /**< this process's budget [20] */
  double writes_per_s;               /**< [10] */
  uint32_t weights[BERYL_USE_COUNT]; /**< shares under contention */
  /** Until a call's answer begins, watches apart, and the longest silence
   * within any answer [2000]. */
  int64_t call_timeout_ms;
  int64_t watch_wait_ms;     /**< how long a watch may wait [20000] */
  int64_t watch_spacing_ms;  /**< least time between two watches [100] */
  int64_t backoff_min_ms;    /**< [100] */
  int64_t backoff_max_ms;    /**< [5000] */
  uint32_t breaker_failures; /**< in a row that open the breaker [5] */
  uint32_t queue_max;        /**< waiting requests [4096] */
};

/** One object. */
struct beryl_object
{
  const char *kind;
  const char *name;
  uint64_t version;
  const char *value; /**< JSON text */
  size_t value_bytes;
  /** The value as jansson has read it, valid as long as the text, so that
   * nobody needs to read a large one again; NULL: not at hand. */
  const struct json_t *parsed;
};

/** The end of a request. */
struct beryl_platform_result
{
  uint64_t request;
  /** OK; NOT_FOUND; CONFLICT: the condition did not hold; LIMIT: the queue is
   * full or the platform refused the size; UNAVAILABLE: nothing happened;
   * UNKNOWN: the write may have taken effect; INVALID: malformed answer. */
  enum beryl_error_code code;
  /** OK: of the object that was read or written, or the revision of a list;
   * CONFLICT: the current one, 0 if absent. */
  uint64_t version;
  /** CONFLICT after a lost reply: the current value is another's, but this
   * write may have been in force before it.  Impossible for objects that are
   * created once and never changed. */
  bool overwritten;
  const struct beryl_object *objects; /**< get: one; list: all */
  size_t object_count;
};

/** A change seen by a watch. */
struct beryl_platform_event
{
  uint64_t watch;
  bool deleted;
  struct beryl_object object; /**< no value if deleted */
};

/** One entry of the platform's instance list. */
struct beryl_instance
{
  char name[BERYL_NAME_BYTES];
  bool is_entry; /**< one of ours, else an endpoint's */
  bool leaving;
  char address[64];
  uint16_t port;
  char data_centre[BERYL_NAME_BYTES];
  char region[BERYL_NAME_BYTES];
};

/** What a call does. */
enum beryl_platform_op
{
  BERYL_OP_GET,
  BERYL_OP_LIST,
  BERYL_OP_PUT,
  BERYL_OP_DELETE,
  BERYL_OP_WATCH,
  BERYL_OP_INSTANCES,
};

/** Return the name of OP, for logs. */
const char *beryl_platform_op_name (enum beryl_platform_op op);

/** A call to make.  The typed members say the same as METHOD, PATH and the
 * two conditions, for platforms that spell their calls differently. */
struct beryl_platform_call
{
  uint64_t id;
  enum beryl_platform_op op;
  const char *kind;
  const char *name;               /**< LIST: prefix, may be "" */
  const char *after;              /**< LIST: names after this one, may be "" */
  uint64_t revision;              /**< WATCH, INSTANCES: changes after it */
  int64_t wait_ms;                /**< WATCH, INSTANCES */
  enum beryl_condition condition; /**< PUT, DELETE */
  uint64_t version;               /**< of BERYL_IF_VERSION */
  const char *method;
  const char *path;     /**< with the query */
  const char *if_match; /**< NULL: no header */
  bool if_none_match;   /**< send "If-None-Match: *" */
  const char *body;     /**< NULL: none */
  size_t body_bytes;
  int64_t timeout_ms; /**< until the answer begins to arrive */
  /** Longest silence within the answer.  The whole of it has no bound: what a
   * slow link needs for a large object would come in vain, again and again. */
  int64_t idle_timeout_ms;
};

struct beryl_platform_handler;

/** Actions.  Pointers are valid during the call. */
struct beryl_platform_handler_impl
{
  /** Make a call; its end is told by beryl_platform_answer or _failed, not
   * from inside this function. */
  void (*send) (struct beryl_platform_handler *handler,
                const struct beryl_platform_call *call);
  /** Give up a call; its end is not told any more. */
  void (*abort) (struct beryl_platform_handler *handler, uint64_t call);
  /** A request ended. */
  void (*result) (struct beryl_platform_handler *handler,
                  const struct beryl_platform_result *result);
  /** A watch saw a change.  Versions of one name only grow. */
  void (*event) (struct beryl_platform_handler *handler,
                 const struct beryl_platform_event *event);
  /** All changes up to REVISION have been told. */
  void (*synced) (struct beryl_platform_handler *handler, uint64_t watch,
                  uint64_t revision);
  /** The instance list changed; whole list. */
  void (*instances) (struct beryl_platform_handler *handler, uint64_t watch,
                     uint64_t revision, const struct beryl_instance *items,
                     size_t count);
};

/** A handler; the first member selects the implementation. */
struct beryl_platform_handler
{
  const struct beryl_platform_handler_impl *impl;
};

/** Create a client; SEED fixes jitter and nonces.  HANDLER must outlive it. */
struct beryl_platform *
beryl_platform_create (const struct beryl_platform_settings *settings,
                       struct beryl_platform_handler *handler, uint64_t seed);

/** Release P without any callback; NULL is allowed. */
void beryl_platform_destroy (struct beryl_platform *p);

/** Change the budget, for example when the fleet grows. */
void beryl_platform_set_rates (struct beryl_platform *p, double reads_per_s,
                               double writes_per_s);

/** Return how many calls a second one of NODES may make of the FLEET_PER_S
 * that the API gives to all. */
double beryl_platform_node_rate (double fleet_per_s, uint32_t nodes);

/** How long a request may take and what it does in an outage. */
struct beryl_platform_options
{
  enum beryl_platform_use use;
  int64_t deadline_ms; /**< absolute; the result comes by then */
  /** Wait through an outage until the deadline; otherwise the request ends
   * UNAVAILABLE at once while the breaker is open. */
  bool wait_for_recovery;
};

/** Read an object whose version is at least MIN_VERSION; an older one, from
 * a replica that lags, is asked for again.  Returns the request's number. */
uint64_t beryl_platform_get (struct beryl_platform *p,
                             const struct beryl_platform_options *options,
                             const char *kind, const char *name,
                             uint64_t min_version, int64_t now_ms);

/** Read all objects of KIND whose names begin with PREFIX (may be ""). */
uint64_t beryl_platform_list (struct beryl_platform *p,
                              const struct beryl_platform_options *options,
                              const char *kind, const char *prefix,
                              int64_t now_ms);

/** A write. */
struct beryl_platform_write
{
  const char *kind;
  const char *name;
  enum beryl_condition condition;
  uint64_t version;  /**< of BERYL_IF_VERSION */
  const char *value; /**< JSON object */
  size_t value_bytes;
  /** If not NULL: VALUE has the member "nonce" with this text, unique to
   * this write.  A conditional write whose reply was lost is then settled:
   * repeated under its condition, and if that fails, by reading whether the
   * current value carries the nonce.  NULL: a lost reply is UNKNOWN. */
  const char *nonce;
};

/** Write an object; everything is copied. */
uint64_t beryl_platform_put (struct beryl_platform *p,
                             const struct beryl_platform_options *options,
                             const struct beryl_platform_write *write,
                             int64_t now_ms);

/** Delete an object; VERSION 0 is unconditional.  An absent one is OK. */
uint64_t beryl_platform_delete (struct beryl_platform *p,
                                const struct beryl_platform_options *options,
                                const char *kind, const char *name,
                                uint64_t version, int64_t now_ms);

/** Forget a request: no result follows.  A write may still take effect. */
void beryl_platform_cancel (struct beryl_platform *p, uint64_t request);

/** Watch all objects of KIND: first each one as an event, then changes.
 * Returns the watch's number. */
uint64_t beryl_platform_watch (struct beryl_platform *p,
                               enum beryl_platform_use use, const char *kind,
                               int64_t now_ms);

/** Have WATCH look at once, because somebody has seen a change that it has
 * not: its waiting call may be on a connection that went silent.  Nothing if
 * an answer is arriving. */
void beryl_platform_watch_refresh (struct beryl_platform *p, uint64_t watch);

/** Take the COUNT changes that another watcher of the same kind saw after
 * revision AFTER, up to REVISION, in order of versions, as though the platform
 * had told them.  The callbacks of events run inside the call.  False if WATCH
 * has not seen all up to AFTER, or has not been listed yet: nothing is taken
 * then. */
bool beryl_platform_watch_apply (struct beryl_platform *p, uint64_t watch,
                                 uint64_t after, uint64_t revision,
                                 const struct beryl_platform_event *events,
                                 size_t count);

/** While RESTING, have WATCH make no call but those that a poke asks for:
 * somebody else feeds it.  It looks at once when the rest ends. */
void beryl_platform_watch_pause (struct beryl_platform *p, uint64_t watch,
                                 bool paused);

/** Have calls of WATCH wait for WAIT_MS from the next one on; 0: as all. */
void beryl_platform_watch_set_wait (struct beryl_platform *p, uint64_t watch,
                                    int64_t wait_ms);

/** Change the longest delay before a call that failed is made again. */
void beryl_platform_set_backoff_max (struct beryl_platform *p,
                                     int64_t backoff_max_ms);

/** Whether an answer for WATCH is arriving. */
bool beryl_platform_watch_is_receiving (struct beryl_platform *p,
                                        uint64_t watch);

/** Change how long a watch may wait, from its next call on. */
void beryl_platform_set_default_watch_wait (struct beryl_platform *p,
                                            int64_t watch_wait_ms);

/** Watch the instance list. */
uint64_t beryl_platform_watch_instances (struct beryl_platform *p,
                                         int64_t now_ms);

/** End a watch. */
void beryl_platform_unwatch (struct beryl_platform *p, uint64_t watch);

/** Longest nonce with its NUL. */
#define BERYL_NONCE_BYTES 33

/** Write a new nonce of 32 hex digits. */
void beryl_platform_nonce (struct beryl_platform *p,
                           char nonce[BERYL_NONCE_BYTES]);

/** An answer to a call.  RETRY_AFTER_MS is 0 if the header was absent. */
void beryl_platform_answer (struct beryl_platform *p, uint64_t call,
                            unsigned int status, int64_t retry_after_ms,
                            const char *body, size_t body_bytes,
                            int64_t now_ms);

/** The same with a body that was read already; NULL: malformed. */
void beryl_platform_answer_json (struct beryl_platform *p, uint64_t call,
                                 unsigned int status, int64_t retry_after_ms,
                                 const struct json_t *json, int64_t now_ms);

/** The answer of CALL begins to arrive. */
void beryl_platform_answer_started (struct beryl_platform *p, uint64_t call);

/** A call ended without an answer; SENT is false only if no byte of it was
 * handed to the network. */
void beryl_platform_failed (struct beryl_platform *p, uint64_t call, bool sent,
                            int64_t now_ms);

/** Let time pass: start calls, expire requests. */
void beryl_platform_tick (struct beryl_platform *p, int64_t now_ms);

/** Return when the next tick is needed, or BERYL_NEVER_MS. */
int64_t beryl_platform_next_ms (const struct beryl_platform *p);

/** Whether the platform is thought to be away (the breaker is open). */
bool beryl_platform_is_unreachable (const struct beryl_platform *p);

/** Counts of one use. */
struct beryl_platform_use_counts
{
  uint64_t reads;   /**< calls sent, watches apart */
  uint64_t writes;  /**< calls sent */
  uint64_t watches; /**< calls sent */
  uint64_t joined;  /**< reads answered by another's call */
  uint64_t delayed; /**< calls that waited for the budget */
  uint64_t failed;  /**< requests that ended UNAVAILABLE or UNKNOWN */
};

/** Counts of the client. */
struct beryl_platform_counts
{
  struct beryl_platform_use_counts uses[BERYL_USE_COUNT];
  uint64_t refused;        /**< answers 429 */
  uint64_t errors;         /**< answers 5xx, timeouts, resets */
  uint64_t breaker_opened; /**< times */
  uint64_t settled;        /**< writes with a lost reply whose end is known */
  uint64_t unsettled;      /**< writes that ended UNKNOWN */
  uint64_t stale;          /**< reads older than needed */
  uint64_t relisted;       /**< watches repaired by a list */
  uint64_t malformed;      /**< answers that could not be read */
};

/** Return the counts, owned by P. */
const struct beryl_platform_counts *
beryl_platform_counts (const struct beryl_platform *p);

/** Whether TEXT, which may be NULL, is a kind or name that calls may carry. */
bool beryl_platform_name_valid (const char *text);

#endif
