/** @file
 * The life of requests that are passed on to endpoints by route, from their
 * arrival at one node to their one final answer.
 *
 * Plain requests go to one endpoint of their service.  Generations (model
 * calls) are planned backwards: memory is reserved at a decode engine, then
 * the prompt is read by a prefill engine, then the decode engine takes the
 * KV cache over and streams.  A prompt is never read without a place for it
 * to go.
 *
 * Events and the time go in, actions come out through a vtable; nothing here
 * does I/O.  The owner's functions must not call back into the instance,
 * except that answers may be read by beryl_forward_* queries.  Not
 * thread-safe.  Times are milliseconds of one monotonic clock.
 */
#ifndef BERYL_FORWARD_H
#define BERYL_FORWARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/clock.h"
#include "beryl/engine_load.h"
#include "beryl/limits.h"
#include "beryl/live.h"
#include "beryl/quarantine.h"
#include "beryl/routes.h"
#include "beryl/stages.h"

struct beryl_forward;

/** Longest request id that is logged. */
#define BERYL_REQUEST_ID_BYTES 72

/** Longest name of a reservation or of a KV cache at an engine. */
#define BERYL_ENGINE_HANDLE_BYTES 64

/** What a caller's request says of itself. */
struct beryl_forward_request
{
  uint64_t request;                /**< the shell's handle */
  char id[BERYL_REQUEST_ID_BYTES]; /**< for the log and for moves */
  bool id_exact; /**< ID is what the endpoints know the request by */
  const char *host;
  const char *path;
  int64_t arrived_ms;
  int64_t deadline_ms; /**< absolute; BERYL_NEVER_MS: none said */
  uint32_t prompt_tokens;
  uint32_t output_tokens_max;
  uint32_t output_tokens_hint; /**< the caller's estimate; 0: none */
  uint32_t prompt_key; /**< the same for the same prompt; 0: not known */
  bool resumes;        /**< the caller goes on after an event */
  uint64_t last_event;
};

/** Exchanges with endpoints. */
enum beryl_exchange_kind
{
  BERYL_EXCHANGE_RUN,     /**< the request itself; its answer goes on */
  BERYL_EXCHANGE_PREFILL, /**< have the prompt read and kept */
  BERYL_EXCHANGE_RESERVE, /**< a lease on decode memory and a slot */
  BERYL_EXCHANGE_UNRESERVE,
  BERYL_EXCHANGE_DROP_KV, /**< free a KV cache that nobody will take */
  /** Stop a run and copy its memory to another engine, where it goes on. */
  BERYL_EXCHANGE_MOVE,
  /** Connect and close: whether something still listens there. */
  BERYL_EXCHANGE_DIAL,
};

/** An exchange to start. */
struct beryl_exchange_start
{
  uint64_t exchange;
  uint64_t request; /**< whose; 0 for clean-up after a request has ended */
  enum beryl_exchange_kind kind;
  const struct beryl_live *endpoint;
  int64_t connect_timeout_ms;
  int64_t left_ms;         /**< RUN, PREFILL: time left to the request */
  uint32_t tokens;         /**< RESERVE */
  int64_t lease_ms;        /**< RESERVE */
  const char *reservation; /**< RUN: to be used, or NULL; UNRESERVE */
  const char *kv_handle;   /**< RUN: KV cache to take, or NULL; DROP_KV */
  const char *kv_address;  /**< RUN: of the engine that has it */
  uint16_t kv_port;
  bool resumes; /**< RUN, PREFILL: go on after LAST_EVENT */
  uint64_t last_event;
  const char *run_id;              /**< MOVE: the request's id */
  const struct beryl_live *target; /**< MOVE: where to */
};

/** Why a request was refused or failed by this node itself. */
enum beryl_refusal_reason
{
  BERYL_REFUSAL_NO_CONFIGURATION,
  BERYL_REFUSAL_NO_ROUTE,
  BERYL_REFUSAL_NO_ENDPOINT,
  BERYL_REFUSAL_NO_ROOM, /**< engines have no memory in time */
  BERYL_REFUSAL_ENDPOINTS_FULL,
  BERYL_REFUSAL_DEADLINE,
  BERYL_REFUSAL_ENDPOINT_FAILED,
  BERYL_REFUSAL_STOPPING,
  BERYL_REFUSAL_QUARANTINED, /**< endpoints that run it crash */
  BERYL_REFUSAL_LIMITED,     /**< endpoints take no more a second */
};

/** The final answer that this node gives itself. */
struct beryl_refusal
{
  unsigned int status;
  enum beryl_refusal_reason reason;
  bool not_run;           /**< it has not run and never will */
  int64_t retry_after_ms; /**< 0: none */
};

/** One step in the life of a request, for the log. */
struct beryl_decision
{
  const char *step; /**< stable name, for example "reserve" */
  bool final;       /**< the request ends by it */
  const char *id;   /**< the request's */
  const char *route;
  const char *service;
  const struct beryl_live *endpoint; /**< may be NULL */
  const char *outcome;               /**< stable name */
  int64_t age_ms;                    /**< of the request */
  int64_t first_event_ms;            /**< from its arrival; 0: none yet */
  int64_t longest_gap_ms;            /**< between two events */
  int64_t number;       /**< tokens, bytes, milliseconds: STEP tells */
  uint64_t fingerprint; /**< of what is asked; 0: was not needed so far */
  uint64_t config_version;
  uint64_t endpoint_revision;
};

struct beryl_forward_owner;

/** Actions.  Pointers are valid during the call. */
struct beryl_forward_owner_impl
{
  /** Start an exchange; its end is told by one event. */
  void (*start) (struct beryl_forward_owner *owner,
                 const struct beryl_exchange_start *start);
  /** Close an exchange's connection; no event follows. */
  void (*abort) (struct beryl_forward_owner *owner, uint64_t exchange);
  /** Stop or restart reading an exchange. */
  void (*pause) (struct beryl_forward_owner *owner, uint64_t exchange,
                 bool paused);
  /** Begin the answer with the head of EXCHANGE's answer. */
  void (*answer_begin) (struct beryl_forward_owner *owner, uint64_t request,
                        uint64_t exchange);
  void (*answer_data) (struct beryl_forward_owner *owner, uint64_t request,
                       const char *bytes, size_t bytes_count);
  /** The answer is whole. */
  void (*answer_end) (struct beryl_forward_owner *owner, uint64_t request);
  /** End a begun answer as incomplete. */
  void (*answer_cut) (struct beryl_forward_owner *owner, uint64_t request);
  /** The only answer: this node's own. */
  void (*refuse) (struct beryl_forward_owner *owner, uint64_t request,
                  const struct beryl_refusal *refusal);
  /** Return the fingerprint of what REQUEST, which is open, asks: the same for
   * the same caller, target and body, whatever its id; 0: not known.  May be
   * NULL. */
  uint64_t (*fingerprint) (struct beryl_forward_owner *owner,
                           uint64_t request);
  /** FINGERPRINT goes to no endpoint for LEFT_MS, or may again (0).  May be
   * NULL. */
  void (*quarantined) (struct beryl_forward_owner *owner, uint64_t fingerprint,
                       int64_t left_ms, enum beryl_quarantine_cause cause);
  /** Something was decided; may be NULL. */
  void (*decided) (struct beryl_forward_owner *owner,
                   const struct beryl_decision *decision);
  /** WHAT is believed of ENDPOINT from now on, before the list shows it; FROM
   * is the peer who told, or "own call".  May be NULL. */
  void (*learned) (struct beryl_forward_owner *owner,
                   const struct beryl_live *endpoint, const char *what,
                   const char *from);
};

/** The owner; the first member selects the implementation. */
struct beryl_forward_owner
{
  const struct beryl_forward_owner_impl *impl;
};

/** Terms that the whole fleet keeps to. */
struct beryl_forward_settings
{
  char node[BERYL_NAME_BYTES]; /**< this one's name */
  char data_centre[BERYL_NAME_BYTES];
  uint64_t seed;
  double repeat_ratio;   /**< second sends per request, fleet-wide */
  uint32_t repeat_slack; /**< beyond the ratio, fleet-wide */
  int64_t repeat_window_ms;
};

/** Create; LIVES and OWNER must outlive it. */
struct beryl_forward *
beryl_forward_create (const struct beryl_forward_settings *settings,
                      struct beryl_live_set *lives,
                      struct beryl_forward_owner *owner);

/** Release without any action; NULL is allowed. */
void beryl_forward_destroy (struct beryl_forward *forward);

/** Use ROUTES for requests that arrive from now on. */
void beryl_forward_set_routes (struct beryl_forward *forward,
                               struct beryl_routes *routes);

/** Change the terms of repeats. */
void beryl_forward_set_repeats (struct beryl_forward *forward,
                                double repeat_ratio, uint32_t repeat_slack,
                                int64_t repeat_window_ms);

/** How many nodes share the repeat budget; 0 counts as 1. */
void beryl_forward_set_nodes (struct beryl_forward *forward, uint32_t nodes);

/** A peer that lives tells what it runs in INTERVAL_MS, also if nothing
 * changed. */
void beryl_forward_set_interval (struct beryl_forward *forward,
                                 int64_t interval_ms);

/** Whether other nodes live that this one cannot hear. */
void beryl_forward_set_isolated (struct beryl_forward *forward, bool isolated);

/** A caller's whole request arrived.  It is copied. */
void beryl_forward_arrived (struct beryl_forward *forward,
                            const struct beryl_forward_request *request,
                            int64_t now_ms);

/** Its caller has gone: nothing of it may go on running. */
void beryl_forward_caller_gone (struct beryl_forward *forward,
                                uint64_t request, int64_t now_ms);

/** Its caller reads too slowly (PAUSED), or has read on. */
void beryl_forward_caller_slow (struct beryl_forward *forward,
                                uint64_t request, bool paused);

/** What the head of an exchange's answer says. */
struct beryl_answer_head
{
  struct beryl_rate_limit limit;
  unsigned int status;
  bool not_run;     /**< the endpoint says that it did not run the request */
  bool events;      /**< the body is a series of events */
  bool misdirected; /**< another endpoint has the address now */
  bool wrong_stage; /**< the engine does other work now */
};

/** The head of an answer to RUN. */
void beryl_forward_head (struct beryl_forward *forward, uint64_t exchange,
                         const struct beryl_answer_head *head, int64_t now_ms);

/** Bytes of the body of an answer to RUN. */
void beryl_forward_data (struct beryl_forward *forward, uint64_t exchange,
                         const char *bytes, size_t bytes_count,
                         int64_t now_ms);

/** The answer to RUN is whole. */
void beryl_forward_done (struct beryl_forward *forward, uint64_t exchange,
                         int64_t now_ms);

/** How an exchange other than RUN ended. */
struct beryl_engine_result
{
  struct beryl_rate_limit limit;
  bool ok;
  bool not_run;     /**< PREFILL: the engine says that it did not read */
  bool misdirected; /**< another endpoint has the address now */
  bool wrong_stage; /**< the engine does other work now */
  /** Reservation or KV cache.  A MOVE that was not ok may have one too: the
   * run has stopped and its memory is still at its engine. */
  char handle[BERYL_ENGINE_HANDLE_BYTES];
  uint32_t tokens;     /**< read by PREFILL */
  bool not_found;      /**< MOVE: the engine does not run the request */
  unsigned int status; /**< of the answer, for the log */
};

/** The end of an exchange other than RUN that was answered. */
void beryl_forward_result (struct beryl_forward *forward, uint64_t exchange,
                           const struct beryl_engine_result *result,
                           int64_t now_ms);

/** How an exchange broke. */
enum beryl_break
{
  BERYL_BREAK_CONNECT, /**< no connection; no byte was sent */
  BERYL_BREAK_RESET,
  BERYL_BREAK_CLOSED,
  BERYL_BREAK_GARBLED,
};

/** An exchange ended without a whole answer.  SENT is false only if no byte
 * of the request reached the socket. */
void beryl_forward_broken (struct beryl_forward *forward, uint64_t exchange,
                           enum beryl_break how, bool sent, int64_t now_ms);

/** A planned stop ends the process at END_MS: requests that would not be
 * answered by then are refused as not run, so that their callers go to
 * another node. */
void beryl_forward_stop (struct beryl_forward *forward, int64_t end_ms,
                         int64_t now_ms);

/** Return what is known of requests that crash endpoints; what is taken from
 * peers and records goes there. */
struct beryl_quarantine *
beryl_forward_quarantine (struct beryl_forward *forward);

/** Return the limits that endpoints name. */
struct beryl_limits *beryl_forward_limits (struct beryl_forward *forward);

/** A peer tells of limits, and of what it sends there. */
void beryl_forward_peer_limits (struct beryl_forward *forward,
                                const struct beryl_limits_update *news,
                                int64_t now_ms);

/** The set of endpoints changed: look again who waits for one. */
void beryl_forward_lives_changed (struct beryl_forward *forward,
                                  int64_t now_ms);

/** PEER has these generations at engines and no others. */
void beryl_forward_peer_runs (struct beryl_forward *forward, const char *peer,
                              const struct beryl_engine_run *runs,
                              size_t count, int64_t now_ms);

/** Add to NEWS what this node found out about endpoints by its own calls, and
 * take what PEER (also this node itself) tells. */
void beryl_forward_news (const struct beryl_forward *forward,
                         struct beryl_endpoint_updates *news, int64_t now_ms);
void beryl_forward_peer_news (struct beryl_forward *forward, const char *peer,
                              const struct beryl_endpoint_updates *news,
                              int64_t now_ms);

/** Write what this node has learned of its services' generations, and take
 * what PEER has. */
void beryl_forward_profiles (const struct beryl_forward *forward,
                             struct beryl_generation_profiles *profiles);
void
beryl_forward_peer_profiles (struct beryl_forward *forward, const char *peer,
                             const struct beryl_generation_profiles *profiles);

/** Write the questions for repeats that this node has now, and the loans that
 * it gives. */
void beryl_forward_repeat_transfers (struct beryl_forward *forward,
                                     struct beryl_repeat_transfers *asks,
                                     struct beryl_repeat_transfers *loans,
                                     int64_t now_ms);

/** PEER asks for repeats and lends some; those that are for other nodes are
 * passed over. */
void beryl_forward_peer_transfers (struct beryl_forward *forward,
                                   const char *peer,
                                   const struct beryl_repeat_transfers *asks,
                                   const struct beryl_repeat_transfers *loans,
                                   int64_t now_ms);

/** PEER has gone, and its generations with it. */
void beryl_forward_peer_gone (struct beryl_forward *forward, const char *peer);

/** Whether this node's generations at engines changed since they were read;
 * read up to MOST of them, the newest first. */
bool beryl_forward_runs_changed (const struct beryl_forward *forward);
size_t beryl_forward_runs (struct beryl_forward *forward,
                           struct beryl_engine_run *runs, size_t most,
                           int64_t now_ms);

/** ENGINE (beryl_live_hash) keeps the prompt with KEY. */
void beryl_forward_prompt_kept (struct beryl_forward *forward, uint32_t key,
                                uint32_t engine, int64_t now_ms);

/** Return what all nodes have learned of SERVICE's generations. */
struct beryl_generation_mix beryl_forward_mix (struct beryl_forward *forward,
                                               const char *service);

/** Return the memory that all nodes' runs use at ENGINE of SERVICE. */
uint64_t beryl_forward_engine_used (struct beryl_forward *forward,
                                    const char *service,
                                    const struct beryl_live *engine,
                                    int64_t now_ms);

/** Let time pass. */
void beryl_forward_tick (struct beryl_forward *forward, int64_t now_ms);

/** Return when the next tick is due, or BERYL_NEVER_MS. */
int64_t beryl_forward_next_ms (const struct beryl_forward *forward);

/** Return the numbers of open requests, and of those that wait for room. */
uint32_t beryl_forward_open (const struct beryl_forward *forward);
uint32_t beryl_forward_waiting (const struct beryl_forward *forward);

/** Return the stable name of REASON. */
const char *beryl_refusal_name (enum beryl_refusal_reason reason);
const char *beryl_exchange_name (enum beryl_exchange_kind kind);

#endif
