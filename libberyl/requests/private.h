/** @file
 * Internals shared by the files of this folder.
 */
#ifndef BERYL_REQUESTS_PRIVATE_H
#define BERYL_REQUESTS_PRIVATE_H

#include "../base/guard.h"
#include "beryl/clock.h"
#include "beryl/requests.h"
#include "../base/buffer.h"
#include "../base/map.h"
#include "reassembly.h"
#include "retry_budget.h"

#define ENDPOINT_EXCLUDED_MAX 8
#define KV_HANDLE_BYTES 128
#define CONTENT_TYPE_BYTES 96
#define FINISH_REASON_BYTES 32
#define PREFIX_BLOCKS_MAX 256
/** Refused attempts that a request tolerates before it fails; also the limit
 * of decode refusals for each KV cache. */
#define REFUSALS_MAX 4
/** Longest time between two events, in ms: a tick is due by then. */
#define TICK_INTERVAL_MAX_MS 500

/** An answer, complete or partial. */
struct answer
{
  unsigned int status;
  char content_type[CONTENT_TYPE_BYTES];
  char finish_reason[FINISH_REASON_BYTES];
  uint32_t prompt_tokens;
  uint32_t completion_tokens;
  struct buffer body;
};

/** What is kept of a call after it has ended.  The record of a call with a key
 * lives as long as this incarnation, so that no second call with the key runs;
 * its answer and its request id are kept only for the retention time. */
struct record
{
  struct record *next; /**< next in order of expiry */
  struct map_key key;
  struct map_key id;
  uint64_t call_hash;    /**< call_compute_hash of the call; 0 without a key */
  struct answer *answer; /**< NULL: not retained */
  uint64_t reader;       /**< handle of the caller that is reading the
                              answer; 0: none */
  int64_t expires_ms;    /**< BERYL_NEVER_MS: not listed for expiry */
  enum beryl_outcome outcome; /**< PENDING while the call is open */
  bool keyed; /**< in by_key: no second call with KEY may run */
  bool free_key;
  bool claimed;   /**< a free key whose claim was granted to this
                       incarnation */
  bool delivered; /**< the caller has read the complete answer */
};

/** State of a request. */
enum request_phase
{
  PHASE_NONE,  /**< not started, or being freed */
  PHASE_CLAIM, /**< waiting for the claim of its key */
  PHASE_PLAN,  /**< waiting for a plan of the router */
  PHASE_PREFILL,
  PHASE_DECODE,
  PHASE_SERVICE,
  PHASE_FORWARD,
};

/** A stream of this process that may occupy memory of an engine. */
struct hold
{
  struct hold *next;
  char endpoint[BERYL_NAME_BYTES];
  struct beryl_stream_id stream;
  bool cancelling;
  int64_t final_from_ms; /**< a confirmation before this time is not final */
  int64_t next_ms;       /**< when CANCEL is sent again */
  int64_t backoff_ms;
  uint32_t cancels; /**< CANCEL actions so far */
};

/** One call to an endpoint or to another node. */
struct exchange
{
  uint64_t id;
  struct request *request;
  char endpoint[BERYL_NAME_BYTES];
  uint32_t number; /**< the request's exchange number at its start */
  bool paused;
  bool ended;            /**< not used */
  uint64_t answer_bytes; /**< not used */
};

/** A call that has no final reply yet, or whose answer is still read from its
 * endpoint after the caller has disconnected. */
struct request
{
  struct request *next;
  struct request *previous;
  struct request *next_waiting; /**< in PHASE_PLAN: next request of the same
                                     class */
  struct request *previous_waiting;
  uint64_t arrival_number; /**< order of arrival */
  struct beryl_call call;  /**< own copy, including strings */
  enum request_phase phase;
  enum beryl_class call_class;
  bool plain; /**< call of a plain service, not of a model */
  bool idempotent;
  bool detached;      /**< nothing more is sent to the caller: it has
                           disconnected, or got an error at the deadline */
  bool reply_started; /**< REPLY_HEAD was sent */
  bool may_have_run;  /**< the outcome of an attempt is unknown */
  int64_t arrived_ms;
  struct record *record;
  struct exchange *exchange;
  struct answer answer;
  struct reassembly reassembly;

  uint64_t ticket; /**< router reservation; 0: none */
  char prefill[BERYL_NAME_BYTES];
  char answer_endpoint[BERYL_NAME_BYTES]; /**< decode engine, or the plain
                                             service's endpoint */
  char kv_handle[KV_HANDLE_BYTES];
  struct beryl_stream_id stream;
  uint32_t exchange_number; /**< number of the latest exchange with an endpoint
                               (prefill, decode, resume or service call); sent
                               as its attempt number */
  uint32_t resumes;         /**< reconnects of the current decode */
  uint32_t refusals;        /**< refusals that ended an attempt */
  uint32_t decode_refusals; /**< refusals of decodes of the current KV cache */
  bool first_token_seen;
  bool engine_call_in_flight; /**< a call that was aborted, or failed after it
                                 was sent, may still arrive */
  int64_t plan_at_ms; /**< PHASE_PLAN: when the request is planned again */
  int64_t kv_expires_ms;
  int64_t decode_retry_at_ms; /**< when to look for a decode engine again */
  char excluded[ENDPOINT_EXCLUDED_MAX][BERYL_NAME_BYTES];
  uint32_t excluded_count;

  uint64_t replied_bytes; /**< bytes of the answer's body passed to the
                               caller */
  uint64_t queued_bytes;  /**< passed to the caller, not read yet */
  int64_t slow_since_ms;  /**< when the reader fell behind; BERYL_NEVER_MS:
                               it keeps up */
  uint64_t *block_hashes;
  size_t block_count;
};

/** Requests of one class in PHASE_PLAN, ordered by arrival. */
struct waiting_list
{
  struct request *first;
  struct request *last;
};

/** State of one object. */
struct beryl_requests
{
  struct beryl_requests_settings settings;
  struct beryl_router *router;
  struct beryl_requests_owner *owner;
  const struct beryl_config *config;
  struct request *first;
  struct request *last;
  struct waiting_list waiting[BERYL_CLASS_BATCH + 1];
  /** No open request's deadline, decode retry or slow-reader limit is due
   * before this time; it may be too early, since it is not raised when a
   * request ends. */
  int64_t earliest_due_ms;
  uint64_t last_arrival_number;
  uint32_t open;
  struct map by_handle;   /**< struct request, of callers that are still
                               connected */
  struct map by_exchange; /**< struct exchange */
  struct map by_reader;   /**< struct record, by the reader of its answer */
  struct map by_key;      /**< struct record, never removed */
  struct map by_id;       /**< struct record, until it expires */
  struct record *expiring_first;
  struct record *expiring_last;
  uint64_t retained_bytes;
  struct hold *holds;
  struct retry_budgets budgets;
  uint64_t last_exchange;
  uint64_t last_stream;
  bool capacity_freed;        /**< capacity may be free: plan waiting
                                   requests again */
  int64_t last_event_ms;      /**< INT64_MIN: no event yet */
  int64_t plan_not_before_ms; /**< no request is planned before this */
  bool draining;
  bool drained_reported;
};

/* requests.c */
void requests_emit (struct beryl_requests *requests,
                    const struct beryl_action *action);
void request_destroy (struct beryl_requests *requests,
                      struct request *request);

/* call.c: copies of calls */
bool call_copy (struct beryl_call *copy, const struct beryl_call *call);
void call_clear (struct beryl_call *copy);
uint64_t call_compute_hash (const struct beryl_call *call);

/* admit.c */
void requests_admit (struct beryl_requests *requests,
                     const struct beryl_call *call, int64_t now_ms);
void request_on_claim_result (struct beryl_requests *requests,
                              struct request *request,
                              const struct beryl_event *event, int64_t now_ms);
void request_forward (struct beryl_requests *requests, struct request *request,
                      uint64_t incarnation);

/* plan.c: log of decisions */
/** Emit a routing decision, for the owner to log. */
void plan_emit_decision (struct beryl_requests *requests,
                         const struct request *request,
                         const struct beryl_plan *plan);

/* timers.c: due times and requests waiting for a plan */
void request_set_phase (struct beryl_requests *requests,
                        struct request *request, enum request_phase phase);
void requests_schedule_due (struct beryl_requests *requests, int64_t due_ms);
void requests_handle_due (struct beryl_requests *requests, int64_t now_ms);

/* plan.c: planning */
void request_plan (struct beryl_requests *requests, struct request *request,
                   int64_t now_ms);
void requests_detect_suspension (struct beryl_requests *requests,
                                 int64_t now_ms);
void requests_plan_waiting (struct beryl_requests *requests, int64_t now_ms);
void request_exclude (struct request *request, const char *endpoint);

/* attempt.c: attempts to run a request at endpoints */
void attempt_prefill (struct beryl_requests *requests, struct request *request,
                      int64_t now_ms);
void attempt_service (struct beryl_requests *requests, struct request *request,
                      int64_t now_ms);
void attempt_stop (struct beryl_requests *requests, struct request *request,
                   enum beryl_release how, const char *endpoint,
                   int64_t now_ms);
void attempt_bind_decode (struct beryl_requests *requests,
                          struct request *request, const char *refused_by,
                          int64_t now_ms);
bool attempt_resume (struct beryl_requests *requests, struct request *request,
                     bool sent, int64_t now_ms);
void attempt_failed (struct beryl_requests *requests, struct request *request,
                     enum beryl_outcome outcome, bool refused,
                     const char *endpoint, int64_t retry_after_ms,
                     int64_t now_ms);
void attempt_release (struct beryl_requests *requests, struct request *request,
                      enum beryl_release how, const char *endpoint,
                      int64_t now_ms);

/* attempt_event.c */
void attempt_handle_event (struct beryl_requests *requests,
                           struct exchange *exchange,
                           const struct beryl_event *event, int64_t now_ms);

/* attempt.c: exchanges */
void attempt_pause (struct beryl_requests *requests, struct request *request,
                    bool paused);
struct exchange *exchange_open (struct beryl_requests *requests,
                                struct request *request, const char *endpoint);
void exchange_close (struct beryl_requests *requests, struct request *request);

/* answer.c: replies to callers */
void request_deliver (struct beryl_requests *requests, struct request *request,
                      const void *bytes, size_t bytes_count, uint32_t tokens,
                      int64_t now_ms);
void request_complete (struct beryl_requests *requests,
                       struct request *request, int64_t now_ms);
void request_fail (struct beryl_requests *requests, struct request *request,
                   enum beryl_problem problem, int64_t retry_after_ms,
                   const char *detail, int64_t now_ms);
void request_fail_with_outcome (struct beryl_requests *requests,
                                struct request *request,
                                enum beryl_problem problem,
                                enum beryl_outcome outcome,
                                int64_t retry_after_ms, const char *detail,
                                int64_t now_ms);
void request_on_caller_gone (struct beryl_requests *requests,
                             struct request *request, int64_t now_ms);
void request_on_caller_caught_up (struct beryl_requests *requests,
                                  struct request *request);
void request_on_deadline (struct beryl_requests *requests,
                          struct request *request, int64_t now_ms);
void answer_send (struct beryl_requests *requests, uint64_t handle,
                  const struct answer *answer, uint64_t offset);
void requests_reply_error (struct beryl_requests *requests, uint64_t handle,
                           enum beryl_problem problem,
                           enum beryl_outcome outcome, int64_t retry_after_ms,
                           const char *detail);

/* records.c: keys, outcomes and retained answers */
struct record *record_open (struct beryl_requests *requests,
                            const struct beryl_call *call, bool keyed);
bool record_authoritative (const struct record *record);
struct record *record_find (struct beryl_requests *requests,
                            const char *organisation, const char *key);
void record_close (struct beryl_requests *requests, struct request *request,
                   enum beryl_outcome outcome, int64_t now_ms);
void record_on_reader_event (struct beryl_requests *requests,
                             const struct beryl_event *event);
void records_expire (struct beryl_requests *requests, int64_t now_ms);
void records_clear (struct beryl_requests *requests);
void requests_fetch (struct beryl_requests *requests,
                     const struct beryl_event *event, int64_t now_ms);

/* hold.c */
bool hold_record (struct beryl_requests *requests, const char *endpoint,
                  struct beryl_stream_id stream);
void hold_erase_if_active (struct beryl_requests *requests,
                           const char *endpoint,
                           struct beryl_stream_id stream);
void hold_cancel (struct beryl_requests *requests, const char *endpoint,
                  struct beryl_stream_id stream, bool in_flight,
                  int64_t now_ms);
void hold_confirmed (struct beryl_requests *requests, const char *endpoint,
                     struct beryl_stream_id stream, int64_t now_ms);
void holds_retry_cancels (struct beryl_requests *requests, int64_t now_ms);
void holds_drop_removed_endpoints (struct beryl_requests *requests);
int64_t holds_next_ms (const struct beryl_requests *requests);
bool holds_cancelling (const struct beryl_requests *requests);
void holds_clear (struct beryl_requests *requests);

#endif
