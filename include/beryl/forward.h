/** @file
 * Forwards requests to endpoints according to the routes, from a request's
 * arrival at this node to its single final answer.
 *
 * Plain requests go to one endpoint of their service. Generations (model
 * calls) are planned in reverse order: memory is reserved at a decode engine
 * first, then a prefill engine processes the prompt, then the decode engine
 * fetches the KV cache and streams the output. A prompt is never prefilled
 * before memory for its KV cache is reserved.
 *
 * The module does no I/O: events and the current time are passed in, actions
 * go out through a vtable. The owner's functions must not call back into the
 * instance, except for the beryl_forward_* functions that only return a value.
 * Not thread-safe. Times are milliseconds of one monotonic clock.
 */
#ifndef BERYL_FORWARD_H
#define BERYL_FORWARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/quotas.h"
#include "beryl/run_outcomes.h"
#include "beryl/admission.h"
#include "beryl/capacity.h"
#include "beryl/clock.h"
#include "beryl/engine_load.h"
#include "beryl/limits.h"
#include "beryl/live.h"
#include "beryl/quarantine.h"
#include "beryl/routes.h"
#include "beryl/stages.h"

struct beryl_forward;

/** Size of a request id, terminator included. */
#define BERYL_REQUEST_ID_BYTES 72

/** Size of the handle of a reservation or of a KV cache, terminator
 * included. */
#define BERYL_ENGINE_HANDLE_BYTES 64

/** Parts of a prompt that are looked at; those after them are not. */
#define BERYL_PROMPT_PARTS_MAX 64

/** What a node states about a request that it hands over to a peer, since it
 * reaches no endpoint itself. */
struct beryl_handoff
{
  char organisation[BERYL_NAME_BYTES]; /**< the caller's; "" if unknown */
  uint32_t endpoints_run; /**< endpoints that may have run the request */
  uint64_t configuration_version; /**< the peer must have it, or a newer one */
};

/** A caller's request. */
struct beryl_forward_request
{
  uint64_t handle;                 /**< owner's handle of the request */
  char id[BERYL_REQUEST_ID_BYTES]; /**< used in the log and in moves */
  bool id_exact; /**< ID is the caller's id, unchanged, by which endpoints know
                    the request too; needed to move its run */
  const char *host;
  const char *path;
  const char
      *key; /**< that identifies the caller's organisation; NULL: none */
  int64_t arrived_ms;
  int64_t deadline_ms; /**< absolute; BERYL_NEVER_MS if none was given */
  uint32_t prompt_tokens;
  uint32_t output_tokens_max;
  uint32_t output_tokens_hint; /**< caller's estimate; 0 if none */
  uint32_t prompt_hash;        /**< hash of the prompt; 0 if unknown */
  /** Digests of the parts of the prompt that other requests may share. */
  uint64_t prompt_parts[BERYL_PROMPT_PARTS_MAX];
  uint32_t prompt_part_count;
  bool resumes; /**< the caller resumes a stream after LAST_EVENT_ID */
  uint64_t last_event_id;
  /** Id of the caller's request that brought the first event of the stream;
   * "" if not stated. */
  char resumed_id[BERYL_REQUEST_ID_BYTES];
  const struct beryl_handoff *handoff; /**< of the peer that handed it over;
                                          NULL: it came from its caller */
};

/** Kinds of exchanges with endpoints. */
enum beryl_exchange_kind
{
  BERYL_EXCHANGE_RUN,     /**< the request itself; its answer is forwarded */
  BERYL_EXCHANGE_PREFILL, /**< process the prompt and keep its KV cache */
  BERYL_EXCHANGE_RESERVE, /**< reserve memory and a slot (one concurrent run)
                             at a decode engine for a limited time */
  BERYL_EXCHANGE_UNRESERVE,
  BERYL_EXCHANGE_DROP_KV, /**< free a KV cache that will not be fetched */
  /** Stop a run and copy its memory to another engine, where it continues. */
  BERYL_EXCHANGE_MOVE,
  /** Connect and close, to test whether a process still listens there. */
  BERYL_EXCHANGE_DIAL,
  /** The request itself, to a peer that sends it to an endpoint; its answer is
   * forwarded. */
  BERYL_EXCHANGE_HANDOFF,
};

/** Return whether exchanges of KIND carry the caller's request. */
bool beryl_exchange_carries_request (enum beryl_exchange_kind kind);

/** Parameters of an exchange to start. The comments name the kinds that use a
 * field. */
struct beryl_exchange_start
{
  uint64_t exchange;
  uint64_t request; /**< request it belongs to; 0 for clean-up after the
                       request has ended */
  enum beryl_exchange_kind kind;
  const struct beryl_live_endpoint *endpoint;
  int64_t connect_timeout_ms;
  /** RUN, PREFILL, DIAL: time from the connection until the request is sent,
   * or the dial has succeeded, in which the endpoint may close it. */
  int64_t hold_ms;
  int64_t remaining_ms; /**< RUN, PREFILL: time until the request's deadline; 0
                           if it has none */
  uint32_t tokens; /**< RESERVE: memory to reserve; PREFILL: prompt tokens, for
                      accounting */
  int64_t lease_ms;        /**< RESERVE */
  const char *reservation; /**< RUN: reservation to use, or NULL; UNRESERVE */
  const char *kv_handle;   /**< RUN: KV cache to fetch, or NULL; DROP_KV */
  const char *kv_address;  /**< RUN: address of the engine that holds it */
  uint16_t kv_port;
  bool resumes; /**< RUN, PREFILL: resume after the events forwarded from
                   earlier runs, up to LAST_EVENT_ID; not set for a resumption
                   that only the caller requested */
  uint64_t last_event_id;
  const char *organisation; /**< RUN, PREFILL: the caller's; NULL if unknown */
  bool has_rank;            /**< RUN, PREFILL: RANK is to be told */
  uint32_t rank; /**< that of its route among those of the service; 0 is the
                    most urgent */
  bool authenticated; /**< RUN, PREFILL: callers' keys are for this node, not
                         for endpoints */
  struct beryl_handoff handoff; /**< HANDOFF */
  const char *extra_fields; /**< HANDOFF: header fields to add, complete lines;
                               set by the owner */
  const char *run_id;       /**< MOVE: the request's id */
  const struct beryl_live_endpoint
      *target; /**< MOVE: engine to move the run to */
};

/** Why this node itself refused or failed a request. */
enum beryl_refusal_reason
{
  BERYL_REFUSAL_NO_CONFIGURATION,
  BERYL_REFUSAL_NO_ROUTE,
  BERYL_REFUSAL_NO_ENDPOINT, /**< no endpoint of the service may be used */
  BERYL_REFUSAL_NO_ROOM, /**< no engine had free memory, or no prefill engine
                            could take the prompt, in time */
  BERYL_REFUSAL_ATTEMPTS_EXHAUSTED, /**< it has not run; every endpoint was
                                       tried or no repeat is left */
  BERYL_REFUSAL_DEADLINE,
  BERYL_REFUSAL_ENDPOINT_FAILED,
  BERYL_REFUSAL_STOPPING,
  BERYL_REFUSAL_QUARANTINED,     /**< it has crashed endpoints that ran it */
  BERYL_REFUSAL_LIMITED,         /**< the endpoints' rate limits are reached */
  BERYL_REFUSAL_UNAUTHENTICATED, /**< no key, or one of no organisation */
  BERYL_REFUSAL_PAUSED, /**< all its endpoints have asked for a pause */
  BERYL_REFUSAL_QUOTA,  /**< its organisation's quota is used up */
  BERYL_REFUSAL_UNKNOWN_STREAM, /**< it is not known which version began the
                                   stream that it resumes */
  BERYL_REFUSAL_VERSION_GONE,   /**< no endpoint has the version that began its
                                   stream */
  BERYL_REFUSAL_OVERLOADED,    /**< its service has no room for requests of its
                                  rank */
  BERYL_REFUSAL_OVER_SHARE,    /**< its service has little room, and its
                                  organisation has had its share */
  BERYL_REFUSAL_NO_CONNECTION, /**< this node has its part of all endpoints'
                                  connections */
  BERYL_REFUSAL_RUNS_BREAK,    /**< its engines break off most runs */
};

/** A final answer that this node generates itself. */
struct beryl_refusal
{
  unsigned int status;
  enum beryl_refusal_reason reason;
  bool not_run;  /**< the request has not run and never will */
  bool declined; /**< a peer handed the request over, and may try another */
  int64_t retry_after_ms; /**< 0: none */
};

/** A piece of a stream that is not the next event of its run, for the log. */
struct beryl_event_finding
{
  const char *fault; /**< stable name */
  bool has_id;
  uint64_t id;       /**< of the piece, if HAS_ID */
  uint64_t after_id; /**< of the event before it; 0 if it is the first */
};

/** One step in the processing of a request, for the log. */
struct beryl_request_step
{
  const char *step;       /**< stable name, for example "reserve" */
  bool final;             /**< last step of the request */
  const char *id;         /**< id of the request */
  const char *resumed_id; /**< of the request whose stream it resumes; "" if
                             none */
  const char *route;
  const char *service;
  const char *organisation; /**< the caller's; "" if unknown */
  /** What its refusal was decided by; NULL unless the quota is used up. */
  const struct beryl_quota_state *quota;
  /** The same if the service has no room for it, or NULL. */
  const struct beryl_admission_verdict *admission;
  /** What is wrong with a piece of its stream, or NULL. */
  const struct beryl_event_finding *event;
  const struct beryl_live_endpoint *endpoint; /**< may be NULL */
  const char *outcome;                        /**< stable name */
  int64_t age_ms;         /**< since the request's arrival */
  int64_t first_event_ms; /**< first event, since the arrival; 0 if none yet */
  int64_t longest_gap_ms; /**< longest time between two events */
  int64_t value;          /**< meaning depends on STEP and OUTCOME */
  uint32_t sends;   /**< prompts and runs sent to endpoints from this node */
  uint32_t repeats; /**< repeats taken from the service's budget for it */
  uint64_t fingerprint; /**< of the request's content; 0 if not computed yet */
  uint64_t config_version;
  uint64_t endpoint_revision;
};

/** The software version at which a stream began. */
struct beryl_stream_record
{
  uint64_t stream;       /**< digest of the request's id and its scope */
  uint32_t version;      /**< digest of the version */
  uint32_t remaining_ms; /**< time for which the stream can be resumed */
};

/** Question of a peer that does not know STREAM. */
struct beryl_stream_question
{
  uint64_t stream;
  uint32_t service; /**< beryl_name_hash of its name */
};

/** Answer to it. */
struct beryl_stream_answer
{
  uint64_t stream;
  uint32_t version;      /**< at which it began; 0: unknown here too */
  uint32_t sole_version; /**< the only one that any stream of the service that
                            is still open can have begun at; 0: unknown */
  bool several_versions; /**< the service has, or had until recently, several
                            versions */
};

struct beryl_forward_owner;

/** Actions. Pointers are valid only during the call. */
struct beryl_forward_owner_impl
{
  /** Start an exchange; exactly one event reports its end. */
  void (*start) (struct beryl_forward_owner *owner,
                 const struct beryl_exchange_start *start);
  /** Close an exchange's connection; no event follows. */
  void (*abort) (struct beryl_forward_owner *owner, uint64_t exchange);
  /** Return whether any byte of an open exchange may have been handed to its
   * connection. May be NULL: it may have. */
  bool (*sent) (struct beryl_forward_owner *owner, uint64_t exchange);
  /** Pause or resume reading from an exchange. */
  void (*pause) (struct beryl_forward_owner *owner, uint64_t exchange,
                 bool paused);
  /** Begin the answer to REQUEST with the head of EXCHANGE's answer. VERBATIM:
   * its body will be the same bytes; else it is a stream, which another
   * exchange may continue, and has no length that is known. */
  void (*answer_begin) (struct beryl_forward_owner *owner, uint64_t request,
                        uint64_t exchange, bool verbatim);
  void (*answer_data) (struct beryl_forward_owner *owner, uint64_t request,
                       const char *bytes, size_t bytes_count);
  /** The answer is complete. */
  void (*answer_end) (struct beryl_forward_owner *owner, uint64_t request);
  /** Terminate an answer that has begun as incomplete. */
  void (*answer_abort) (struct beryl_forward_owner *owner, uint64_t request);
  /** Answer REQUEST with this node's own answer; nothing was sent before. */
  void (*refuse) (struct beryl_forward_owner *owner, uint64_t request,
                  const struct beryl_refusal *refusal);
  /** Return the fingerprint of an open request's content, which is equal for
   * requests with the same caller, target and body, whatever their ids; 0 if
   * unknown. ORGANISATION is the caller's, "" if it is unknown, or NULL if
   * callers do not authenticate. May be NULL. */
  uint64_t (*fingerprint) (struct beryl_forward_owner *owner, uint64_t request,
                           const char *organisation);
  /** Requests with FINGERPRINT are sent to no endpoint for LEFT_MS; 0 lifts
   * the quarantine. May be NULL. */
  void (*quarantine_changed) (struct beryl_forward_owner *owner,
                              uint64_t fingerprint, int64_t left_ms,
                              enum beryl_quarantine_cause cause);
  /** Log a step. May be NULL. */
  void (*log_step) (struct beryl_forward_owner *owner,
                    const struct beryl_request_step *step);
  /** Log a change of ENDPOINT's state that the endpoint list does not show
   * yet. WHAT is the new state, for example "replaced" or "limited
   * milli_per_s=5"; FROM is the PEER argument of
   * beryl_forward_peer_endpoint_reports for a reported state, "peer" for a
   * rate limit that a peer reported, or "own call". May be NULL. */
  void (*log_endpoint_state) (struct beryl_forward_owner *owner,
                              const struct beryl_live_endpoint *endpoint,
                              const char *what, const char *from);
  /** ENDPOINT's answer to an exchange of KIND had no end, and its connection
   * is closed. May be NULL. */
  void (*endless_answer) (struct beryl_forward_owner *owner,
                          enum beryl_exchange_kind kind,
                          const struct beryl_live_endpoint *endpoint);
  /** The stream of RECORD has begun, and several versions may be in service:
   * give the record to some peers. May be NULL. */
  void (*stream_begun) (struct beryl_forward_owner *owner,
                        const struct beryl_stream_record *record);
  /** Ask those peers which have the record; return how many are asked. Answers
   * come by beryl_forward_stream_answered. May be NULL. */
  uint32_t (*find_stream) (struct beryl_forward_owner *owner,
                           const struct beryl_stream_question *question);
  /** Have the list of endpoints confirmed soon, see beryl_live_set_synced. May
   * be NULL. */
  void (*confirm_list) (struct beryl_forward_owner *owner);
  /** This node has lost the connection to all endpoints (LOST), or has it
   * back; the state before has lasted for LASTED_MS. May be NULL. */
  void (*contact_changed) (struct beryl_forward_owner *owner, bool lost,
                           int64_t lasted_ms);
};

/** The owner; its first member selects the implementation. */
struct beryl_forward_owner
{
  const struct beryl_forward_owner_impl *impl;
};

/** Settings; the repeat limits apply to the whole fleet. */
struct beryl_forward_settings
{
  char node[BERYL_NAME_BYTES]; /**< name of this node */
  char data_centre[BERYL_NAME_BYTES];
  uint64_t seed;
  double repeat_ratio;   /**< repeats (retries and hedged sends) per request,
                            fleet-wide */
  uint32_t repeat_slack; /**< repeats allowed beyond the ratio, fleet-wide */
  int64_t repeat_window_ms;
  double quota_slack;      /**< what an organisation may exceed its quota
                                  by, fleet-wide */
  int64_t started_ms;      /**< start of this process */
  const char *event_field; /**< name of a field that events of streams may
                              have besides those of the standard; NULL: none.
                              Static storage. */
};

/** Create an instance. ENDPOINTS and OWNER must outlive it. */
struct beryl_forward *
beryl_forward_create (const struct beryl_forward_settings *settings,
                      struct beryl_live_set *endpoints,
                      struct beryl_forward_owner *owner);

/** Free FORWARD without calling any action; NULL is allowed. */
void beryl_forward_destroy (struct beryl_forward *forward);

/** Use ROUTES for requests that arrive from now on. */
void beryl_forward_set_routes (struct beryl_forward *forward,
                               struct beryl_routes *routes);

/** Change the limits on repeats. */
void beryl_forward_set_repeat_limits (struct beryl_forward *forward,
                                      double repeat_ratio,
                                      uint32_t repeat_slack,
                                      int64_t repeat_window_ms);

/** Change what organisations may exceed their quotas by. */
void beryl_forward_set_quota_slack (struct beryl_forward *forward,
                                    double slack);

/** Set the number of nodes that share the repeat budget and the quotas; 0
 * counts as 1. */
void beryl_forward_set_node_count (struct beryl_forward *forward,
                                   uint32_t nodes);

/** Set the interval at which a live peer reports its runs, even if nothing has
 * changed. */
void beryl_forward_set_report_interval (struct beryl_forward *forward,
                                        int64_t interval_ms);

/** Set whether the reports of any live node fail to reach this node. */
void beryl_forward_set_reports_incomplete (struct beryl_forward *forward,
                                           bool incomplete);

/** A caller's request has arrived completely. REQUEST is copied, except HOST
 * and PATH, which are only used during the call. */
void beryl_forward_submit (struct beryl_forward *forward,
                           const struct beryl_forward_request *request,
                           int64_t now_ms);

/** The caller of REQUEST has disconnected: cancel everything that runs for
 * it. */
void beryl_forward_cancel (struct beryl_forward *forward, uint64_t request,
                           int64_t now_ms);

/** The caller of REQUEST reads too slowly (PAUSED), or has caught up. */
void beryl_forward_set_caller_paused (struct beryl_forward *forward,
                                      uint64_t request, bool paused);

/** What an answer lacks of the marks by which endpoints identify their
 * answers; all false: nothing. */
struct beryl_answer_marks
{
  bool lacks_id;   /**< it does not state the id of the request, which has one
                    */
  bool other_id;   /**< it states the id of another request */
  bool lacks_seal; /**< it has no proof that the endpoint has made it */
};

/** Head of the answer to an exchange. */
struct beryl_answer_head
{
  struct beryl_answer_marks marks;
  struct beryl_rate_limit limit;
  bool leaving;     /**< the endpoint states that it leaves */
  int64_t pause_ms; /**< the endpoint wants no requests from this node for so
                       long; 0: it does not say so */
  unsigned int status;
  bool not_run; /**< the endpoint states that it did not run the request */
  bool event_stream;         /**< the body is a stream of server-sent events */
  bool ends_with_connection; /**< the body has no length and no chunks */
  bool misdirected;          /**< another endpoint has the address now */
  bool wrong_stage;          /**< the engine has another stage now */
  bool declined;             /**< HANDOFF: the peer did not take the request */
};

/** The head of the answer to a RUN exchange has arrived. */
void beryl_forward_answer_head (struct beryl_forward *forward,
                                uint64_t exchange,
                                const struct beryl_answer_head *head,
                                int64_t now_ms);

/** Body bytes of the answer to a RUN exchange have arrived. */
void beryl_forward_answer_data (struct beryl_forward *forward,
                                uint64_t exchange, const char *bytes,
                                size_t bytes_count, int64_t now_ms);

/** The answer to a RUN exchange is complete as far as its connection tells.
 * Return false if that is still to be confirmed: the exchange's head is needed
 * until the exchange is aborted. */
bool beryl_forward_answer_done (struct beryl_forward *forward,
                                uint64_t exchange, int64_t now_ms);

/** Result of an exchange other than RUN. */
struct beryl_engine_result
{
  struct beryl_answer_marks marks;
  struct beryl_rate_limit limit;
  bool leaving;     /**< the endpoint states that it leaves */
  int64_t pause_ms; /**< as in struct beryl_answer_head */
  bool ok;
  bool not_run;     /**< PREFILL: the engine states that it did not process the
                       prompt */
  bool misdirected; /**< another endpoint has the address now */
  bool wrong_stage; /**< the engine has another stage now */
  /** Handle of the reservation or KV cache. A MOVE that failed may have one
   * too: the run has stopped and its memory is still at the source engine. */
  char handle[BERYL_ENGINE_HANDLE_BYTES];
  uint32_t tokens;     /**< PREFILL: tokens processed */
  bool not_found;      /**< MOVE: the engine does not run the request */
  bool refused;        /**< MOVE: it has not stopped the run */
  unsigned int status; /**< HTTP status of the answer, for the log */
};

/** An exchange other than RUN was answered. */
void beryl_forward_exchange_result (struct beryl_forward *forward,
                                    uint64_t exchange,
                                    const struct beryl_engine_result *result,
                                    int64_t now_ms);

/** How an exchange failed. */
enum beryl_exchange_failure
{
  BERYL_FAILURE_CONNECT, /**< no connection; no byte was sent */
  BERYL_FAILURE_RESET,
  BERYL_FAILURE_CLOSED,
  BERYL_FAILURE_MALFORMED,
  BERYL_FAILURE_ENDLESS, /**< more bytes than such an answer may have, or they
                            came for longer than it may take */
  BERYL_FAILURE_SILENT,  /**< no byte of an answer in the time that it may
                            take */
};

/** An exchange ended without a complete answer. SENT is false only if no byte
 * of the request reached the socket. */
void beryl_forward_exchange_failed (struct beryl_forward *forward,
                                    uint64_t exchange,
                                    enum beryl_exchange_failure how, bool sent,
                                    int64_t now_ms);

/** The process will stop at END_MS. Waiting and new requests that might not be
 * answered by then are refused as not run, so that their callers retry at
 * another node; those that run are left to end. */
void beryl_forward_stop (struct beryl_forward *forward, int64_t end_ms,
                         int64_t now_ms);

/** The process stops now: end all open requests. Those that were not sent are
 * refused as not run, and answers that have begun are cut off. */
void beryl_forward_stop_end (struct beryl_forward *forward, int64_t now_ms);

/** Return the quarantine of requests that crash endpoints; entries from peers
 * and from stored records are added to it. */
struct beryl_quarantine *
beryl_forward_quarantine (struct beryl_forward *forward);

/** Return the organisations' quotas, to exchange reports of their use. */
struct beryl_quotas *beryl_forward_quotas (struct beryl_forward *forward);

/** Return the learned capacity of endpoints, to exchange observations. */
struct beryl_capacity *beryl_forward_capacity (struct beryl_forward *forward);

/** Return what is believed of ENDPOINT at the work of its stage. */
struct beryl_capacity_belief
beryl_forward_belief (struct beryl_forward *forward,
                      const struct beryl_live_endpoint *endpoint,
                      int64_t now_ms);

/** Return the admission control of plain services, to exchange demand. */
struct beryl_admission *
beryl_forward_admission (struct beryl_forward *forward);

/** Return how runs at engines end, to exchange reports of it. */
struct beryl_run_outcomes *
beryl_forward_run_outcomes (struct beryl_forward *forward);

/** Return the routes in use; NULL before the first configuration. */
const struct beryl_routes *
beryl_forward_routes (const struct beryl_forward *forward);

/** Return the rate limits that endpoints have stated. */
struct beryl_limits *beryl_forward_limits (struct beryl_forward *forward);

/** Apply a peer's report of rate limits and of the requests it sends to the
 * limited endpoints. */
void beryl_forward_peer_limits (struct beryl_forward *forward,
                                const struct beryl_limits_update *update,
                                int64_t now_ms);

/** Keep RECORD for a peer. */
void beryl_forward_learn_stream (struct beryl_forward *forward,
                                 const struct beryl_stream_record *record,
                                 int64_t now_ms);

/** Answer a peer's question. */
void
beryl_forward_describe_stream (struct beryl_forward *forward,
                               const struct beryl_stream_question *question,
                               struct beryl_stream_answer *answer,
                               int64_t now_ms);

/** A peer has answered a question of this node. */
void beryl_forward_stream_answered (struct beryl_forward *forward,
                                    const struct beryl_stream_answer *answer,
                                    int64_t now_ms);

/** The set of endpoints has changed: requests that wait for an engine try
 * again. */
void beryl_forward_endpoints_changed (struct beryl_forward *forward,
                                      int64_t now_ms);

/** Replace the runs of PEER, its waiting requests included, by the COUNT items
 * of RUNS. */
void beryl_forward_peer_runs (struct beryl_forward *forward, const char *peer,
                              const struct beryl_engine_run *runs,
                              size_t count, int64_t now_ms);

/** Add to REPORTS the endpoint states that this node has detected by its own
 * calls. */
void beryl_forward_endpoint_reports (const struct beryl_forward *forward,
                                     struct beryl_endpoint_updates *reports,
                                     int64_t now_ms);

/** Apply the endpoint states that PEER reports: the name of another node, or
 * of a component of this one. It is logged as the source of the states. */
void beryl_forward_peer_endpoint_reports (
    struct beryl_forward *forward, const char *peer,
    const struct beryl_endpoint_updates *reports, int64_t now_ms);

/** Write this node's profiles of its services' generations. */
void beryl_forward_profiles (const struct beryl_forward *forward,
                             struct beryl_generation_profiles *profiles);

/** Apply PEER's profiles. */
void
beryl_forward_peer_profiles (struct beryl_forward *forward, const char *peer,
                             const struct beryl_generation_profiles *profiles);

/** Write this node's requests to borrow repeats (ASKS) and the loans it
 * grants. Each is returned once. */
void beryl_forward_repeat_transfers (struct beryl_forward *forward,
                                     struct beryl_budget_transfers *asks,
                                     struct beryl_budget_transfers *loans,
                                     int64_t now_ms);

/** Apply PEER's requests for repeats and its loans; those addressed to other
 * nodes are ignored. */
void beryl_forward_peer_transfers (struct beryl_forward *forward,
                                   const char *peer,
                                   const struct beryl_budget_transfers *asks,
                                   const struct beryl_budget_transfers *loans,
                                   int64_t now_ms);

/** A peer that requests may be handed over to. */
struct beryl_forward_peer
{
  char name[BERYL_NAME_BYTES];
  char address[48]; /**< IP address for callers */
  uint16_t port;
  char data_centre[BERYL_NAME_BYTES];
  bool takes_requests; /**< it reaches endpoints and is not stopping */
};

/** Add or update a peer, which is removed by beryl_forward_remove_peer. */
void beryl_forward_set_peer (struct beryl_forward *forward,
                             const struct beryl_forward_peer *peer,
                             int64_t now_ms);

/** PEER has left the fleet; its runs and profiles are dropped. */
void beryl_forward_remove_peer (struct beryl_forward *forward,
                                const char *peer);

/** Return whether a report to the peers is due: since the last call of
 * beryl_forward_runs this node's runs have changed, an endpoint was found to
 * be replaced or unreachable, a loan of repeats is wanted or granted, or much
 * of an organisation's quota was used here. */
bool beryl_forward_report_due (const struct beryl_forward *forward);

/** Write up to MOST of this node's runs and return their number: first those
 * with a reservation, then the requests that wait for one, each newest first.
 * No report is due after that. */
size_t beryl_forward_runs (struct beryl_forward *forward,
                           struct beryl_engine_run *runs, size_t most,
                           int64_t now_ms);

/** ENGINE (a beryl_live_hash) has the prompt with PROMPT_HASH cached. */
void beryl_forward_prompt_cached (struct beryl_forward *forward,
                                  uint32_t prompt_hash, uint32_t engine,
                                  int64_t now_ms);

/** Return the mean lengths and the speeds of SERVICE's generations, merged
 * from the profiles of all nodes. */
struct beryl_generation_mix
beryl_forward_merged_profile (struct beryl_forward *forward,
                              const char *service, int64_t now_ms);

/** Return the tokens of KV memory that the runs of all nodes use at ENGINE of
 * SERVICE. */
uint64_t beryl_forward_engine_used_tokens (
    struct beryl_forward *forward, const char *service,
    const struct beryl_live_endpoint *engine, int64_t now_ms);

/** Run the timers that are due. */
void beryl_forward_tick (struct beryl_forward *forward, int64_t now_ms);

/** Return when the next tick is due, or BERYL_NEVER_MS. */
int64_t beryl_forward_next_tick_ms (const struct beryl_forward *forward);

/** Return whether this node can connect to endpoints, as far as it has
 * tried. */
bool beryl_forward_reaches_endpoints (const struct beryl_forward *forward);

/** Return the number of open requests. */
uint32_t beryl_forward_open_count (const struct beryl_forward *forward);

/** Return the number of requests that wait for engine memory. */
uint32_t beryl_forward_waiting_count (const struct beryl_forward *forward);

/** Return the stable name of a refusal reason or an exchange kind. */
const char *beryl_refusal_name (enum beryl_refusal_reason reason);
const char *beryl_exchange_name (enum beryl_exchange_kind kind);

#endif
