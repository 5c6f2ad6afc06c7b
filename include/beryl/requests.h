/** @file
 * State machine of the requests of one node, from arrival to the single final
 * reply.
 *
 * Events are passed in with the current time and actions come out through a
 * vtable; the module does no I/O.  It is not thread-safe; one process may
 * create several objects.  Pointers inside an event or action are valid only
 * during the call.  The owner's act callback must not call
 * beryl_requests_handle_event.
 *
 * Every call ends with exactly one of REPLY_END, REPLY_ERROR and
 * REPLY_TRUNCATE, unless its caller has disconnected.  An answer counts as
 * delivered when BERYL_EVENT_CALLER_CAUGHT_UP follows REPLY_END.  Between the
 * two a fetch is refused with BERYL_PROBLEM_KEY_IN_USE; if the caller
 * disconnects instead, the answer of a call with a key can be fetched for the
 * retention time.
 */
#ifndef BERYL_REQUESTS_H
#define BERYL_REQUESTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/config.h"
#include "beryl/ids.h"
#include "beryl/outcome.h"
#include "beryl/router.h"

struct beryl_requests;

/** Idempotency key kinds: how a call is protected against running twice. */
enum beryl_key_kind
{
  BERYL_KEY_NONE,
  BERYL_KEY_BOUND, /**< names the one incarnation that may run the call */
  BERYL_KEY_FREE,  /**< chosen by the caller, not bound to an incarnation; a
                      non-idempotent call claims it in the object API */
};

/** Types of input events. */
enum beryl_event_type
{
  BERYL_EVENT_CALL,             /**< a complete request arrived */
  BERYL_EVENT_CALLER_GONE,      /**< the caller's connection closed */
  BERYL_EVENT_CALLER_CAUGHT_UP, /**< the caller has read all queued bytes */
  BERYL_EVENT_EXCHANGE_SENT,    /**< a byte was handed to the socket; has no
                                     effect */
  BERYL_EVENT_EXCHANGE_REFUSED, /**< the endpoint rejected the call without
                                     running it */
  BERYL_EVENT_EXCHANGE_HEAD, /**< status and content type received from a plain
                                service or a forward */
  BERYL_EVENT_PREFILL_DONE,  /**< prefill finished; KV cache exported */
  BERYL_EVENT_EXCHANGE_DATA, /**< answer bytes received, with their
                                  offset */
  BERYL_EVENT_EXCHANGE_END,  /**< the answer is complete */
  BERYL_EVENT_EXCHANGE_FAILED,  /**< reset, timeout or error */
  BERYL_EVENT_FORWARD_ERROR,    /**< the node forwarded to replied with an
                                     error */
  BERYL_EVENT_CANCEL_CONFIRMED, /**< the endpoint has freed a stream's
                                     memory */
  BERYL_EVENT_CLAIM_RESULT,     /**< result of BERYL_ACTION_CLAIM */
  BERYL_EVENT_FETCH,            /**< a caller asks for an outcome or the
                                     rest of an answer */
  BERYL_EVENT_TICK,             /**< timer expired */
  BERYL_EVENT_DRAIN,            /**< graceful shutdown started; calls are
                                     still admitted */
};

/** Results of BERYL_ACTION_CLAIM. */
enum beryl_claim_result
{
  BERYL_CLAIM_GRANTED,     /**< durably recorded: this node may run the call */
  BERYL_CLAIM_TAKEN,       /**< already granted, to the incarnation given */
  BERYL_CLAIM_MISMATCH,    /**< the key was used for a different request */
  BERYL_CLAIM_UNAVAILABLE, /**< not known to be granted; no call with the key
                              has run */
  BERYL_CLAIM_UNKNOWN, /**< not known to be granted; this call has not run, but
                          an earlier one with the key may have */
};

/** Errors reported to callers; each has a stable type in problem+json. */
enum beryl_problem
{
  BERYL_PROBLEM_NO_SERVICE,
  BERYL_PROBLEM_OVER_LIMIT,
  BERYL_PROBLEM_NO_CAPACITY,
  BERYL_PROBLEM_DEADLINE,
  BERYL_PROBLEM_ENDPOINT_FAILED,
  BERYL_PROBLEM_KEY_IN_USE,        /**< a call with this key is running */
  BERYL_PROBLEM_KEY_ANSWERED,      /**< the call was answered; the answer
                                        may be fetched */
  BERYL_PROBLEM_KEY_MISMATCH,      /**< the key was used for a different
                                        request */
  BERYL_PROBLEM_KEY_UNKNOWN,       /**< the key's outcome cannot be
                                        determined */
  BERYL_PROBLEM_CLAIM_UNAVAILABLE, /**< object API unavailable: not run */
  BERYL_PROBLEM_NOT_FOUND,
  BERYL_PROBLEM_CONTEXT_LENGTH, /**< prompt and answer exceed the model's
                                     context */
};

/** A request as received from a caller. */
struct beryl_call
{
  uint64_t request;       /**< handle chosen by the owner: not 0, and
                               unique per process */
  const char *request_id; /**< echoed in the reply and logged */
  const char *organisation;
  const char *service;
  const char *method; /**< plain services only */
  const char *path;   /**< plain services only; includes the query */
  const char *content_type;
  const void *body; /**< copied */
  size_t body_bytes;
  enum beryl_key_kind key_kind;
  const char *key;          /**< NULL for BERYL_KEY_NONE */
  uint64_t key_incarnation; /**< for BERYL_KEY_BOUND: the incarnation that
                                 may run it */
  bool forwarded;           /**< forwarded by another node */
  int64_t deadline_ms;      /**< absolute; 0: take the timeout from the
                                 configuration */
  bool stream;              /**< send the answer as it is generated */
  const char *prompt;       /**< model services only */
  size_t prompt_bytes;
  uint32_t prompt_tokens;
  uint32_t max_tokens;
};

/** One input event.  An exchange is one call to an endpoint or to another
 * node, started by an action. */
struct beryl_event
{
  enum beryl_event_type type;
  uint64_t request;  /**< for caller events and claim results */
  uint64_t exchange; /**< for exchange events */
  union
  {
    struct beryl_call call;
    struct
    {
      unsigned int status;
      const char *content_type;
    } head;
    struct
    {
      const char *kv_handle;
      uint64_t kv_bytes;
      uint32_t cached_tokens;
      int64_t kv_ttl_ms; /**< time until the KV cache expires; 0: unknown */
    } prefill;
    struct
    {
      uint64_t offset; /**< position of the first byte in the complete
                            answer */
      const void *bytes;
      size_t bytes_count;
      uint32_t tokens;
      uint32_t attempt; /**< attempt number reported by the engine; 0: not
                             reported */
    } data;
    struct
    {
      const char *finish_reason; /**< model services only; may be NULL */
      uint64_t answer_bytes; /**< total length reported by the endpoint; 0: an
                                empty answer if it comes from a decode,
                                otherwise unknown */
    } end;
    struct
    {
      bool sent; /**< a byte was handed to the socket */
      const char *reason;
    } failed;
    struct
    {
      int64_t retry_after_ms;
    } refused;
    struct
    {
      const char *endpoint;
      struct beryl_stream_id stream;
    } cancel;
    struct
    {
      enum beryl_claim_result result;
      uint64_t incarnation; /**< TAKEN: the incarnation that was granted the
                                 key */
    } claim;
    struct
    {
      const char *organisation;
      const char *id_or_key; /**< request id or key */
      uint64_t offset;
    } fetch;
    struct
    {
      enum beryl_problem problem;
      enum beryl_outcome outcome;
      int64_t retry_after_ms;
      const char *detail;
    } forward_error;
  };
};

/** Types of output actions. */
enum beryl_action_type
{
  BERYL_ACTION_REPLY_HEAD,     /**< start the reply: status and content type */
  BERYL_ACTION_REPLY_DATA,     /**< send the next bytes of the answer */
  BERYL_ACTION_REPLY_END,      /**< the answer is complete */
  BERYL_ACTION_REPLY_ERROR,    /**< reply with an error only */
  BERYL_ACTION_REPLY_TRUNCATE, /**< close a started reply as incomplete */
  BERYL_ACTION_PREFILL,        /**< start a prefill at an engine */
  BERYL_ACTION_DECODE,         /**< import the KV cache and decode */
  BERYL_ACTION_SERVICE,        /**< call a plain service */
  BERYL_ACTION_ABORT,          /**< close an exchange's connection */
  BERYL_ACTION_PAUSE,          /**< pause or resume reading from an exchange's
                                    connection */
  BERYL_ACTION_CANCEL,         /**< ask an engine to drop a stream and free
                                    its memory */
  BERYL_ACTION_HOLD_RECORD,    /**< record a hold with this instance's control
                                    daemon, which cancels it if this process
                                    dies; sent before the hold is created */
  BERYL_ACTION_HOLD_ERASE,     /**< the hold no longer exists, or its endpoint
                                    was removed from the configuration */
  BERYL_ACTION_CLAIM,          /**< claim a free key durably */
  /** Forward the call to the node of that incarnation, as an exchange.  Its
   * reply arrives as EXCHANGE_HEAD, EXCHANGE_DATA, EXCHANGE_END or
   * FORWARD_ERROR; if the node is gone or unreachable, as EXCHANGE_FAILED. */
  BERYL_ACTION_FORWARD,
  BERYL_ACTION_DECISION, /**< log a routing decision */
  BERYL_ACTION_DRAINED,  /**< after DRAIN: no request is open and no
                             cancel awaits its confirmation; sent again when
                             later calls have ended */
};

/** One output action. */
struct beryl_action
{
  enum beryl_action_type type;
  uint64_t request;
  uint64_t exchange; /**< new for PREFILL, DECODE, SERVICE and FORWARD */
  union
  {
    struct
    {
      unsigned int status;
      const char *content_type;
    } head;
    struct
    {
      uint64_t offset;
      const void *bytes;
      size_t bytes_count;
      uint32_t tokens;
    } data;
    struct
    {
      const char *finish_reason;
      uint32_t prompt_tokens;
      uint32_t completion_tokens;
    } end;
    struct
    {
      enum beryl_problem problem;
      enum beryl_outcome outcome;
      int64_t retry_after_ms; /**< 0: retrying is pointless */
      const char *detail;
    } error;
    struct
    {
      const char *endpoint;
      struct beryl_stream_id stream;
      uint32_t attempt;
      const char *kv_handle;   /**< DECODE */
      const char *kv_endpoint; /**< DECODE: endpoint that holds the KV cache */
      uint64_t offset;         /**< DECODE: first byte of the answer to send */
      const struct beryl_call *call;
      int64_t deadline_ms;
    } start;
    struct
    {
      bool paused;
    } pause;
    struct
    {
      const char *endpoint;
      struct beryl_stream_id stream;
    } hold; /**< CANCEL, HOLD_RECORD, HOLD_ERASE */
    struct
    {
      const char *organisation;
      const char *key;
      uint64_t call_hash; /**< of service, method, path, body and prompt */
    } claim;
    struct
    {
      uint64_t incarnation;
      const struct beryl_call *call;
    } forward;
    struct
    {
      const char *request_id;
      const struct beryl_plan *plan;
    } decision;
  };
};

struct beryl_requests_owner;

/** Receiver of actions. */
struct beryl_requests_owner_impl
{
  void (*act) (struct beryl_requests_owner *owner,
               const struct beryl_action *action);
};

/** Base of the owner; the owner's struct starts with it. */
struct beryl_requests_owner
{
  const struct beryl_requests_owner_impl *impl;
};

/** Settings of one object. */
struct beryl_requests_settings
{
  uint64_t incarnation;
  uint64_t seed;               /**< not used */
  uint32_t slow_reader_bytes;  /**< unread bytes above which reading from
                                    the exchange is paused; 0: no limit */
  int64_t slow_reader_ms;      /**< time a slow caller has to catch up
                                    before its call fails */
  int64_t answer_retention_ms; /**< how long a finished answer can be
                                    fetched */
  uint32_t answer_retention_bytes;
};

/** Create an object; ROUTER and OWNER must outlive it.  Returns NULL if out of
 * memory. */
struct beryl_requests *
beryl_requests_create (const struct beryl_requests_settings *settings,
                       struct beryl_router *router,
                       struct beryl_requests_owner *owner);

/** Free REQUESTS; NULL is allowed. */
void beryl_requests_destroy (struct beryl_requests *requests);

/** Use CONFIG, which must stay valid until the next call of this function. */
void beryl_requests_set_config (struct beryl_requests *requests,
                                const struct beryl_config *config,
                                int64_t now_ms);

/** Handle one event at time NOW_MS; resulting actions are emitted before it
 * returns. */
void beryl_requests_handle_event (struct beryl_requests *requests,
                                  const struct beryl_event *event,
                                  int64_t now_ms);

/** Return when the next BERYL_EVENT_TICK is due, at most 500 ms after the last
 * event.  A gap of 1500 ms between events means that the process was
 * suspended; no request is then planned for 100 ms, in which the owner can
 * apply pending configuration updates. */
int64_t beryl_requests_next_ms (const struct beryl_requests *requests);

/** Return the number of open requests: those without a final reply, and those
 * whose answer is still read from a service for a later fetch. */
uint32_t beryl_requests_open_count (const struct beryl_requests *requests);

/** Return the stable type name of PROBLEM, for example "key-in-use". */
const char *beryl_problem_name (enum beryl_problem problem);

#endif
