/** @file
 * The life of every request at one node, from its arrival to its one final
 * answer.
 *
 * Events go in with the time, actions come out through a vtable; nothing
 * here does I/O.  Not thread-safe; any number of instances may live in one
 * process.  Pointers inside an event or action are valid during the call.
 * An owner's act must not call back into the instance.
 *
 * Every call ends by exactly one of REPLY_END, REPLY_ERROR and REPLY_CUT,
 * unless its caller has gone.  A caller's handle may be used again after
 * that.  An answer counts as delivered when BERYL_EVENT_CALLER_DRAINED comes
 * after REPLY_END; until then, or after BERYL_EVENT_CALLER_GONE, the answer
 * of a call with a key may be fetched.
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

/** How a call is protected against being run twice. */
enum beryl_key_kind
{
  BERYL_KEY_NONE,
  BERYL_KEY_BOUND, /**< names the incarnation that alone may run it */
  BERYL_KEY_FREE,  /**< the caller's own; claimed in the object API */
};

/** Events. */
enum beryl_event_type
{
  BERYL_EVENT_CALL,             /**< a caller's request arrived whole */
  BERYL_EVENT_CALLER_GONE,      /**< its connection closed */
  BERYL_EVENT_CALLER_DRAINED,   /**< the caller has read what was queued */
  BERYL_EVENT_EXCHANGE_SENT,    /**< a byte was handed to the socket */
  BERYL_EVENT_EXCHANGE_REFUSED, /**< the endpoint says it did not run it */
  BERYL_EVENT_EXCHANGE_HEAD,    /**< plain service: status and content type */
  BERYL_EVENT_PREFILL_DONE,     /**< KV cache is exported */
  BERYL_EVENT_EXCHANGE_DATA,    /**< answer bytes at an offset */
  BERYL_EVENT_EXCHANGE_END,     /**< the answer is whole */
  BERYL_EVENT_EXCHANGE_FAILED,  /**< reset, timeout or error */
  BERYL_EVENT_FORWARD_ERROR,    /**< the other node's final problem */
  BERYL_EVENT_CANCEL_CONFIRMED, /**< the endpoint holds nothing of a stream */
  BERYL_EVENT_CLAIM_RESULT,     /**< answer to BERYL_ACTION_CLAIM */
  BERYL_EVENT_FETCH,            /**< caller wants an outcome or the rest */
  BERYL_EVENT_TICK,             /**< time passed */
  BERYL_EVENT_DRAIN,            /**< planned stop has begun */
};

/** Results of a claim. */
enum beryl_claim_result
{
  BERYL_CLAIM_GRANTED,     /**< durable: this node may run the call */
  BERYL_CLAIM_TAKEN,       /**< another call with this key was granted */
  BERYL_CLAIM_MISMATCH,    /**< the key was used for another request body */
  BERYL_CLAIM_UNAVAILABLE, /**< not granted, and it will never be */
  BERYL_CLAIM_UNKNOWN,     /**< the write may have taken effect */
};

/** Problems told to callers; each has a stable type in problem+json. */
enum beryl_problem
{
  BERYL_PROBLEM_NO_SERVICE,
  BERYL_PROBLEM_OVER_LIMIT,
  BERYL_PROBLEM_NO_CAPACITY,
  BERYL_PROBLEM_DEADLINE,
  BERYL_PROBLEM_ENDPOINT_FAILED,
  BERYL_PROBLEM_KEY_IN_USE,        /**< a call with this key is running */
  BERYL_PROBLEM_KEY_ANSWERED,      /**< it was answered; fetch the rest */
  BERYL_PROBLEM_KEY_MISMATCH,      /**< the key belongs to another body */
  BERYL_PROBLEM_KEY_UNKNOWN,       /**< its node is gone: outcome unknown */
  BERYL_PROBLEM_CLAIM_UNAVAILABLE, /**< object API away: not run */
  BERYL_PROBLEM_NOT_FOUND,
  BERYL_PROBLEM_CONTEXT_LENGTH, /**< prompt longer than the model takes */
};

/** A caller's request. */
struct beryl_call
{
  uint64_t request;       /**< the shell's handle, unique per process */
  const char *request_id; /**< echoed and logged */
  const char *organisation;
  const char *service;
  const char *method; /**< plain services */
  const char *path;   /**< plain services, with the query */
  const char *content_type;
  const void *body; /**< copied */
  size_t body_bytes;
  enum beryl_key_kind key_kind;
  const char *key;          /**< NULL for BERYL_KEY_NONE */
  uint64_t key_incarnation; /**< of a bound key */
  bool forwarded;           /**< came from another node */
  int64_t deadline_ms;      /**< absolute; 0: from the configuration */
  bool stream;              /**< answer as it is made */
  const char *prompt;       /**< model services */
  size_t prompt_bytes;
  uint32_t prompt_tokens;
  uint32_t max_tokens;
};

/** One event; EXCHANGE fields name what an action started. */
struct beryl_event
{
  enum beryl_event_type type;
  uint64_t request;  /**< caller events and claim results */
  uint64_t exchange; /**< exchange events */
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
      int64_t kv_ttl_ms; /**< how long the KV cache is kept; 0: unknown */
    } prefill;
    struct
    {
      uint64_t offset; /**< of the first byte in the whole answer */
      const void *bytes;
      size_t bytes_count;
      uint32_t tokens;
      uint32_t attempt; /**< as the engine says; 0: it does not */
    } data;
    struct
    {
      const char *finish_reason; /**< model services; may be NULL */
      uint64_t answer_bytes;     /**< whole length as the endpoint says */
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
      uint64_t incarnation; /**< TAKEN: who was granted it */
    } claim;
    struct
    {
      const char *organisation;
      const char *request_id; /**< or the key */
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

/** Actions. */
enum beryl_action_type
{
  BERYL_ACTION_REPLY_HEAD,     /**< begin the answer */
  BERYL_ACTION_REPLY_DATA,     /**< next bytes of the answer */
  BERYL_ACTION_REPLY_END,      /**< the answer is whole */
  BERYL_ACTION_REPLY_ERROR,    /**< the only answer: a problem */
  BERYL_ACTION_REPLY_TRUNCATE, /**< end a begun answer as incomplete */
  BERYL_ACTION_PREFILL,        /**< start a prefill at an engine */
  BERYL_ACTION_DECODE,         /**< import the KV cache and decode */
  BERYL_ACTION_SERVICE,        /**< call a plain service */
  BERYL_ACTION_ABORT,          /**< close an exchange's connection */
  BERYL_ACTION_PAUSE,          /**< stop or restart reading an exchange */
  BERYL_ACTION_CANCEL,         /**< ask an engine to drop a stream */
  BERYL_ACTION_HOLD_RECORD,    /**< tell the hold keeper, before it is made */
  BERYL_ACTION_HOLD_ERASE,     /**< the engine has confirmed it is gone */
  BERYL_ACTION_CLAIM,          /**< make a free key's claim durable */
  /** Pass the call to the node of that incarnation, as an exchange: its
   * answer comes back by EXCHANGE_HEAD, DATA, END or FORWARD_ERROR.  If that
   * node is gone or cannot be reached, EXCHANGE_FAILED. */
  BERYL_ACTION_FORWARD,
  BERYL_ACTION_DECISION, /**< log line of a routing decision */
  BERYL_ACTION_DRAINED,  /**< after DRAIN: no request is open */
};

/** One action. */
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
      int64_t retry_after_ms; /**< 0: no later try makes sense */
      const char *detail;
    } error;
    struct
    {
      const char *endpoint;
      struct beryl_stream_id stream;
      uint32_t attempt;
      const char *kv_handle;   /**< DECODE */
      const char *kv_endpoint; /**< DECODE: where the KV cache is */
      uint64_t offset;         /**< DECODE: resume from this byte */
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
      uint64_t body_hash;
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

/** Where actions go. */
struct beryl_requests_owner_impl
{
  void (*act) (struct beryl_requests_owner *owner,
               const struct beryl_action *action);
};

/** The owner; the first member selects the implementation. */
struct beryl_requests_owner
{
  const struct beryl_requests_owner_impl *impl;
};

/** Settings. */
struct beryl_requests_settings
{
  uint64_t incarnation;
  uint64_t seed;
  uint32_t slow_reader_bytes;  /**< pause the engine above this */
  int64_t slow_reader_ms;      /**< cancel a caller that reads nothing */
  int64_t answer_retention_ms; /**< how long a cut answer may be fetched */
  uint32_t answer_retention_bytes;
};

/** Create; ROUTER and OWNER must outlive it. */
struct beryl_requests *
beryl_requests_create (const struct beryl_requests_settings *settings,
                       struct beryl_router *router,
                       struct beryl_requests_owner *owner);

/** Release; NULL is allowed. */
void beryl_requests_destroy (struct beryl_requests *requests);

/** Use CONFIG, which must stay valid until the next call of this. */
void beryl_requests_set_config (struct beryl_requests *requests,
                                const struct beryl_config *config,
                                int64_t now_ms);

/** Take one event. */
void beryl_requests_handle_event (struct beryl_requests *requests,
                                  const struct beryl_event *event,
                                  int64_t now_ms);

/** Return when the next BERYL_EVENT_TICK is due.  It is due twice a second at
 * least: a longer gap shows that the process was stopped, and it then rests a
 * moment for the shell to bring the configuration up to date. */
int64_t beryl_requests_next_ms (const struct beryl_requests *requests);

/** Return the number of requests without a final answer. */
uint32_t beryl_requests_open_count (const struct beryl_requests *requests);

/** Return the stable problem type, for example "key-in-use". */
const char *beryl_problem_name (enum beryl_problem problem);

#endif
