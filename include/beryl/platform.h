/** @file
 * Sans-I/O client of the platform's object API.
 *
 * One client serves all uses in a process.  It shares a call budget among
 * the uses, coalesces equal reads, relists watches after gaps, backs off with
 * jitter, determines the outcome of writes whose answer was lost, and stops
 * calling a platform that does not answer (circuit breaker).
 *
 * Requests, answers and the time are inputs; calls to make and results are
 * emitted through a vtable.  Functions that make a request never invoke a
 * callback.  Results and events are emitted by beryl_platform_tick, _answer,
 * _answer_json, _failed and _watch_apply; functions that cancel, end, pause or
 * refresh may invoke abort.
 * Not thread-safe.  Times are milliseconds of one monotonic clock.
 */
#ifndef BERYL_PLATFORM_H
#define BERYL_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/error.h"
#include "beryl/ids.h"

struct beryl_platform;

/** Purpose of a call; each use has a weighted share of the budget. */
enum beryl_platform_use
{
  BERYL_USE_LEASE, /**< leases of roles */
  BERYL_USE_CLAIM, /**< the claim log; see claims.h */
  BERYL_USE_CONFIG,
  BERYL_USE_INSTANCES,
  BERYL_USE_STATUS,   /**< other records of the nodes, such as status, plans
                         and checkpoints */
  BERYL_USE_OPERATOR, /**< berylctl */
  BERYL_USE_COUNT,
};

/** Return the name of USE, as in metrics. */
const char *beryl_platform_use_name (enum beryl_platform_use use);

/** Precondition of a write or deletion. */
enum beryl_condition
{
  BERYL_IF_ANY, /**< none; the outcome stays unknown if the answer is lost */
  BERYL_IF_ABSENT,  /**< the object does not exist */
  BERYL_IF_VERSION, /**< the object has the given version */
};

/** Settings; zero selects the default in brackets. */
struct beryl_platform_settings
{
  double reads_per_s;                /**< read budget of this process [20] */
  double writes_per_s;               /**< write budget of this process [10] */
  uint32_t weights[BERYL_USE_COUNT]; /**< shares under contention [lease
                                        and claim 8, config and operator 4,
                                        instances 2, status 1] */
  /** Time until the answer to a call other than a watch must begin, and the
   * idle timeout within any answer [2000]. */
  int64_t call_timeout_ms;
  int64_t watch_wait_ms;    /**< long-poll time of a watch call [20000] */
  int64_t first_wait_ms;    /**< how long after a change the first call ends
                               [watch_wait_ms] */
  int64_t watch_spacing_ms; /**< delay between two calls of a watch [100] */
  int64_t backoff_min_ms;   /**< first backoff delay [100] */
  int64_t backoff_max_ms;   /**< longest backoff delay [5000] */
  uint32_t
      breaker_failures; /**< failures in a row that open the breaker [5] */
  uint32_t queue_max;   /**< maximum number of pending requests [4096] */
};

/** An object of the platform. */
struct beryl_object
{
  const char *kind;
  const char *name;
  uint64_t version;
  const char *value; /**< JSON text */
  size_t value_bytes;
  /** The value as parsed by jansson, valid as long as the text; saves parsing
   * a large value again.  NULL: not available. */
  const struct json_t *parsed;
};

/** Result of a request. */
struct beryl_platform_result
{
  uint64_t request;
  /** OK; NOT_FOUND; CONFLICT: the condition did not hold; LIMIT: the queue is
   * full or the platform refused the size; UNAVAILABLE: the request had no
   * effect; UNKNOWN: the write may have taken effect; INVALID: bad name, or
   * refused by the platform. */
  enum beryl_error_code code;
  /** OK: version of the object that was read or written, or revision of the
   * list; CONFLICT: current version of the object, 0 if absent. */
  uint64_t version;
  /** CONFLICT after a lost answer: the current value was written by another
   * client, but this write may have taken effect before it.  Cannot occur for
   * objects that are created once and never changed. */
  bool overwritten;
  const struct beryl_object *objects; /**< one for a get, all for a list */
  size_t object_count;
};

/** A change reported by a watch. */
struct beryl_platform_event
{
  uint64_t watch;
  bool deleted;
  struct beryl_object object; /**< without a value if deleted */
};

/** One item of the platform's instance list. */
struct beryl_instance
{
  char name[BERYL_NAME_BYTES];
  bool is_entry; /**< runs beryl-entryd; otherwise it is an endpoint */
  bool leaving;
  char address[64];
  uint16_t port;
  char data_centre[BERYL_NAME_BYTES];
  char region[BERYL_NAME_BYTES];
};

/** Operation of a call. */
enum beryl_platform_op
{
  BERYL_OP_GET,
  BERYL_OP_LIST,
  BERYL_OP_PUT,
  BERYL_OP_DELETE,
  BERYL_OP_WATCH,
  BERYL_OP_INSTANCES,
};

/** Return the name of OP, as in logs. */
const char *beryl_platform_op_name (enum beryl_platform_op op);

/** A call to make.  The typed members carry the same information as METHOD,
 * PATH, IF_MATCH and IF_NONE_MATCH, for platforms with a different API. */
struct beryl_platform_call
{
  uint64_t id;
  enum beryl_platform_op op;
  const char *kind;
  const char *name;               /**< LIST: prefix, may be "" */
  const char *after;              /**< LIST: name to continue after, or "" */
  uint64_t revision;              /**< WATCH, INSTANCES: last one seen */
  int64_t wait_ms;                /**< WATCH, INSTANCES: long-poll time */
  enum beryl_condition condition; /**< PUT, DELETE */
  uint64_t version;               /**< for BERYL_IF_VERSION */
  const char *method;
  const char *path;     /**< including the query */
  const char *if_match; /**< NULL: no header */
  bool if_none_match;   /**< send "If-None-Match: *" */
  const char *body;     /**< NULL: none */
  size_t body_bytes;
  int64_t timeout_ms; /**< time until the answer must begin */
  /** Idle timeout within the answer.  Its total time is not limited: a large
   * object on a slow link would time out on every attempt. */
  int64_t idle_timeout_ms;
  /** Longest answer that is of use; a longer one is to be given up and
   * reported by beryl_platform_answer_too_long.  0: no limit. */
  size_t answer_max_bytes;
};

struct beryl_platform_handler;

/** Callbacks.  Pointers are valid only during the call. */
struct beryl_platform_handler_impl
{
  /** Make a call.  Its end is reported through beryl_platform_answer or
   * _failed, but not from inside this function. */
  void (*send) (struct beryl_platform_handler *handler,
                const struct beryl_platform_call *call);
  /** Abort a call; its end must not be reported any more. */
  void (*abort) (struct beryl_platform_handler *handler, uint64_t call);
  /** A request has ended. */
  void (*result) (struct beryl_platform_handler *handler,
                  const struct beryl_platform_result *result);
  /** A watch reports a change.  The versions of one name only increase. */
  void (*event) (struct beryl_platform_handler *handler,
                 const struct beryl_platform_event *event);
  /** All changes up to REVISION have been reported. */
  void (*synced) (struct beryl_platform_handler *handler, uint64_t watch,
                  uint64_t revision);
  /** The instance list has changed; ITEMS is the complete list. */
  void (*instances) (struct beryl_platform_handler *handler, uint64_t watch,
                     uint64_t revision, const struct beryl_instance *items,
                     size_t count);
};

/** Base of the handler; embed it as the first member. */
struct beryl_platform_handler
{
  const struct beryl_platform_handler_impl *impl;
};

/** Create a client.  SEED determines jitter and nonces; HANDLER must outlive
 * the client. */
struct beryl_platform *
beryl_platform_create (const struct beryl_platform_settings *settings,
                       struct beryl_platform_handler *handler, uint64_t seed);

/** Free P without invoking callbacks; NULL is allowed. */
void beryl_platform_destroy (struct beryl_platform *p);

/** Change the call budget, for example when the fleet grows. */
void beryl_platform_set_rates (struct beryl_platform *p, double reads_per_s,
                               double writes_per_s);

/** Return the calls per second that each of NODES nodes may make if the API
 * serves FLEET_PER_S to the whole fleet: an equal share of half of it, but at
 * least 4. */
double beryl_platform_node_rate (double fleet_per_s, uint32_t nodes);

/** Return how long after a change the first call of a watch ends at the node
 * with RANK in the fleet, a part of WAIT_MS.  A change answers the calls of
 * all nodes together; by first calls of unlike length the later ones end at
 * different times, and one node soon asks anew if all calls have gone
 * silent. */
int64_t beryl_platform_first_wait_ms (int64_t wait_ms, uint32_t rank);

/** Deadline of a request and its behaviour during an outage. */
struct beryl_platform_options
{
  enum beryl_platform_use use;
  int64_t deadline_ms; /**< absolute time by which the result is emitted */
  /** Wait for the end of an outage until the deadline; otherwise the request
   * fails at once with UNAVAILABLE while the breaker is open. */
  bool wait_for_recovery;
};

/** Read an object at version MIN_VERSION or later; the read is repeated while
 * a lagging replica returns an older version.  Returns the request's id. */
uint64_t beryl_platform_get (struct beryl_platform *p,
                             const struct beryl_platform_options *options,
                             const char *kind, const char *name,
                             uint64_t min_version, int64_t now_ms);

/** Read all objects of KIND whose names begin with PREFIX (may be ""). */
uint64_t beryl_platform_list (struct beryl_platform *p,
                              const struct beryl_platform_options *options,
                              const char *kind, const char *prefix,
                              int64_t now_ms);

/** A write request. */
struct beryl_platform_write
{
  const char *kind;
  const char *name;
  enum beryl_condition condition;
  uint64_t version;  /**< for BERYL_IF_VERSION */
  const char *value; /**< JSON object */
  size_t value_bytes;
  /** Text of the member "nonce" of VALUE, unique to this write, or NULL.  It
   * allows a conditional write whose answer was lost to be settled: the write
   * is repeated under its condition, and on a conflict the current value is
   * read to see whether it has the nonce.  NULL: a lost answer is UNKNOWN. */
  const char *nonce;
};

/** Write an object; WRITE is copied. */
uint64_t beryl_platform_put (struct beryl_platform *p,
                             const struct beryl_platform_options *options,
                             const struct beryl_platform_write *write,
                             int64_t now_ms);

/** Delete an object; VERSION 0 is unconditional.  Deleting an absent object
 * is OK. */
uint64_t beryl_platform_delete (struct beryl_platform *p,
                                const struct beryl_platform_options *options,
                                const char *kind, const char *name,
                                uint64_t version, int64_t now_ms);

/** Cancel a request; no result follows.  A write may still take effect. */
void beryl_platform_cancel (struct beryl_platform *p, uint64_t request);

/** Watch all objects of KIND: each existing one is reported as an event first,
 * then every change.  Returns the watch's id; 0 if KIND is invalid. */
uint64_t beryl_platform_watch (struct beryl_platform *p,
                               enum beryl_platform_use use, const char *kind,
                               int64_t now_ms);

/** Have WATCH poll at once, because another node's watch has seen a change
 * that it has not: its long poll may be on a dead connection.  No effect while
 * an answer is being received. */
void beryl_platform_watch_refresh (struct beryl_platform *p, uint64_t watch);

/** Apply COUNT changes, in order of versions, that another node's watch of the
 * same kind has seen after revision AFTER up to REVISION, as though the
 * platform had reported them.  Event callbacks run inside the call.  Returns
 * false and applies nothing if WATCH has not seen everything up to AFTER or
 * has not received its first list yet. */
bool beryl_platform_watch_apply (struct beryl_platform *p, uint64_t watch,
                                 uint64_t after, uint64_t revision,
                                 const struct beryl_platform_event *events,
                                 size_t count);

/** Pause or resume WATCH.  A paused watch receives changes through
 * beryl_platform_watch_apply and starts no further poll except by
 * beryl_platform_watch_refresh; a call that is already queued or in
 * progress, a listing and retries after a failure go on.  It polls at once
 * when it is resumed. */
void beryl_platform_watch_pause (struct beryl_platform *p, uint64_t watch,
                                 bool paused);

/** Set the long-poll time of WATCH from its next call on; 0: the default. */
void beryl_platform_watch_set_wait (struct beryl_platform *p, uint64_t watch,
                                    int64_t wait_ms);

/** Set the longest backoff delay. */
void beryl_platform_set_backoff_max (struct beryl_platform *p,
                                     int64_t backoff_max_ms);

/** Return whether an answer for WATCH is being received. */
bool beryl_platform_watch_is_receiving (struct beryl_platform *p,
                                        uint64_t watch);

/** Set the default long-poll times of watches from their next calls on: the
 * first ends FIRST_MS after the last change, the others follow at intervals of
 * WAIT_MS and the delay between two calls; see
 * beryl_platform_first_wait_ms. */
void beryl_platform_set_watch_waits (struct beryl_platform *p,
                                     int64_t first_ms, int64_t wait_ms);

/** Watch the instance list. */
uint64_t beryl_platform_watch_instances (struct beryl_platform *p,
                                         int64_t now_ms);

/** End a watch. */
void beryl_platform_unwatch (struct beryl_platform *p, uint64_t watch);

/** Size of a nonce including its NUL. */
#define BERYL_NONCE_BYTES 33

/** Write a new nonce of 32 hex digits. */
void beryl_platform_nonce (struct beryl_platform *p,
                           char nonce[BERYL_NONCE_BYTES]);

/** Record the era that the answer to CALL states, before the answer is
 * reported; 0: it states none.  In a new era the platform has come back from
 * an older copy: all watches list again, conditions on versions of earlier
 * eras no longer hold, and for some seconds objects that are missing are kept
 * and those that were deleted stay so, as their writers repeat what was lost.
 * Versions and revisions of answers are positions (revision.h).  Returns false
 * if the era is over; the call is then to be reported as failed. */
bool beryl_platform_set_era (struct beryl_platform *p, uint64_t call,
                             uint64_t era, int64_t now_ms);

/** Return the newest era; 0 if the platform states none. */
uint64_t beryl_platform_era (const struct beryl_platform *p);

/** Report the answer to a call.  RETRY_AFTER_MS is 0 if the header was
 * absent. */
void beryl_platform_answer (struct beryl_platform *p, uint64_t call,
                            unsigned int status, int64_t retry_after_ms,
                            const char *body, size_t body_bytes,
                            int64_t now_ms);

/** Member of an object in a parsed body: its value's text as it came, which
 * need not be printed then.  No parser accepts the name, so that no platform
 * can state it. */
#define BERYL_PLATFORM_VALUE_TEXT                                             \
  "\xff"                                                                      \
  "text"

/** Likewise with a parsed body; NULL: malformed. */
void beryl_platform_answer_json (struct beryl_platform *p, uint64_t call,
                                 unsigned int status, int64_t retry_after_ms,
                                 const struct json_t *json, int64_t now_ms);

/** Report that the answer to CALL is longer than its answer_max_bytes and was
 * given up. */
void beryl_platform_answer_too_long (struct beryl_platform *p, uint64_t call,
                                     int64_t now_ms);

/** Report that the answer to CALL has begun to arrive. */
void beryl_platform_answer_started (struct beryl_platform *p, uint64_t call);

/** Report that a call ended without an answer.  SENT is false only if no byte
 * of it was handed to the network. */
void beryl_platform_failed (struct beryl_platform *p, uint64_t call, bool sent,
                            int64_t now_ms);

/** Start the calls that are due and expire requests. */
void beryl_platform_tick (struct beryl_platform *p, int64_t now_ms);

/** Return the time of the next tick, or BERYL_NEVER_MS. */
int64_t beryl_platform_next_ms (const struct beryl_platform *p);

/** Return whether the platform is considered unreachable (the breaker is not
 * closed). */
bool beryl_platform_is_unreachable (const struct beryl_platform *p);

/** Counters of one use. */
struct beryl_platform_use_counts
{
  uint64_t reads;   /**< read calls sent, without watches */
  uint64_t writes;  /**< write calls sent */
  uint64_t watches; /**< watch calls sent */
  uint64_t joined;  /**< reads that shared a call already pending */
  uint64_t delayed; /**< calls delayed by the budget */
  uint64_t failed;  /**< requests that ended UNAVAILABLE or UNKNOWN */
};

/** Counters of the client. */
struct beryl_platform_counts
{
  struct beryl_platform_use_counts uses[BERYL_USE_COUNT];
  uint64_t refused;        /**< 429 answers */
  uint64_t errors;         /**< 5xx answers, timeouts and resets */
  uint64_t breaker_opened; /**< times the breaker opened */
  uint64_t settled;   /**< writes with a lost answer whose outcome was found */
  uint64_t unsettled; /**< writes that ended UNKNOWN */
  uint64_t stale;    /**< answers to reads or watches from a lagging replica */
  uint64_t relisted; /**< watches that had to list again after a gap */
  uint64_t malformed; /**< answers that could not be parsed */
  uint64_t restored;  /**< times a new era was seen, the first one included */
};

/** Return the counters, owned by P. */
const struct beryl_platform_counts *
beryl_platform_counts (const struct beryl_platform *p);

/** Return whether TEXT, which may be NULL, is a valid kind or name. */
bool beryl_platform_name_valid (const char *text);

#endif
