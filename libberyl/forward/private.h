/** @file
 * Structures and functions shared by the modules of the forwarder.
 */
#ifndef FORWARD_PRIVATE_H
#define FORWARD_PRIVATE_H

#include <stddef.h>
#include <sys/queue.h>

#include "../base/buffer.h"
#include "../base/map.h"
#include "../base/random.h"
#include "../decide/answer_check.h"
#include "../decide/completion.h"
#include "../decide/endpoint_choice.h"
#include "beryl/clock.h"
#include "beryl/forward.h"
#include "../decide/prompt_gate.h"
#include "run_table.h"
#include "call_overhead.h"
#include "events.h"
#include "held_events.h"
#include "pace.h"
#include "prompt_locations.h"
#include "repeat_budget.h"
#include "versions.h"

/** Retry-After for a request that finds no endpoint. */
#define RETRY_AFTER_MS 1000
/** Endpoints that a request remembers as tried. */
#define TRIED_MAX 8

/** The other nodes' profiles of a service's generations. */
struct peer_profiles
{
  struct peer_profile *items;
  size_t count;
  size_t unmerged; /**< received since the fleet's paces were last merged */
};

/** Whether this node can connect to its endpoints. */
enum contact_state
{
  CONTACT_OK,
  CONTACT_DOUBTED, /**< connections to some have failed, others are dialled */
  CONTACT_LOST,    /**< no endpoint can be reached */
};

struct contact
{
  enum contact_state state;
  int64_t since_ms;   /**< when it entered this state */
  int64_t reached_ms; /**< start of the newest exchange that an endpoint has
                         answered; 0: none */
  int64_t round_ms;   /**< when the next round of dials is due, while lost */
  uint32_t dials_open;
  bool ends_unconfirmed; /**< of some endpoints, see contact_failed */
  bool handoff_due; /**< the loss was noticed, open requests are not yet handed
                       over */
};

/** State of a service. */
struct service
{
  char name[BERYL_NAME_BYTES];
  struct repeat_budget budget;
  bool leaves_without_repeat; /**< one of its runs does */
  uint32_t loan_serial; /**< of the last request for a loan of repeats; 0 if
                           none is open */
  int64_t loan_requested_ms;  /**< when the last loan was requested */
  int64_t objective_ms;       /**< shortest one of the routes by which
                                 plain requests have come; 0: none */
  int64_t calls_since_ms;     /**< when a plain request came first; 0: never */
  double answer_mean_ms;      /**< smoothed time to the head of an answer; 0 if
                                 unknown */
  double answer_deviation_ms; /**< mean deviation of it */
  struct spill spill; /**< plain requests that go to other data centres */
  struct output_model
      output_model; /**< output lengths and decode speed of its generations */
  double prompt_tokens_mean;   /**< mean prompt length of its generations */
  double output_tokens_mean;   /**< mean expected output of its generations */
  uint32_t arrived;            /**< number of generations that arrived */
  struct pace prefill_pace;    /**< time per token of its prefill engines, from
                                  this node's own prefills */
  double prefill_ms_per_token; /**< prefill time used in estimates; may be the
                                  fleet's median */
  struct call_overhead call_overhead; /**< durations of reservation calls, as
                                         the overhead of a call */
  struct peer_profiles peer_profiles;
  uint64_t kv_tokens;             /**< KV memory of one engine; 0 if unknown */
  struct completion answers;      /**< time to the end of plain answers */
  struct completion first_events; /**< time to generations' first events */
  struct completion outputs;      /**< time from these to their ends */
  struct beryl_event_numbering event_numbering;
  uint32_t waiting;             /**< this node's waiting generations */
  struct place_classes classes; /**< generations of all nodes */
  int64_t classes_ms;           /**< when they were last summed */
  struct prompt_gate prompt_gate;
  struct version_history versions;
  int64_t stream_life_ms;    /**< longest time that callers gave a stream */
  int64_t earliest_retry_ms; /**< earliest retry time for the next refused
                                caller */
};

struct request;

/** One exchange with an endpoint. */
struct exchange
{
  TAILQ_ENTRY (exchange) entry;
  uint64_t id;
  struct request *request; /**< NULL if its request has ended */
  enum beryl_exchange_kind kind;
  struct beryl_live_endpoint *endpoint;
  int64_t started_ms;
  uint32_t version; /**< of its endpoint's software when it began */
  bool has_head;
  uint64_t events;              /**< of a generation, so far */
  uint64_t repeated_events;     /**< that came once more */
  uint64_t comment_bytes;       /**< since the last event */
  struct event_splitter pieces; /**< of a stream of numbered events */
  struct event_sequence sequence;
  bool may_be_stopped;     /* a move may have stopped its run */
  struct held_events held; /**< those that only later ones confirm */
  size_t remembered_bytes; /**< of pieces and held; in the forwarder's sum */
  bool paused;
  bool contact_dial; /**< counted in the dials_open of struct contact */
  struct beryl_answer_head head;
  uint32_t tokens;
  double queued_tokens; /**< PREFILL: at its endpoint when it began */
  uint32_t overdue;     /**< PREFILL: times it was seen to be late */
};

TAILQ_HEAD (exchange_list, exchange);

enum phase
{
  PHASE_LOOKING_UP, /**< peers are asked where the resumed stream began */
  PHASE_WAITING,    /**< waits until it asks an engine for memory again */
  PHASE_RESERVING,  /**< a decode engine was asked for a reservation */
  PHASE_PREFILLING,
  PHASE_RUNNING,    /**< the request was sent to an endpoint */
  PHASE_CONFIRMING, /**< its stream has ended, and the endpoint is dialled */
  PHASE_HANDED_OFF, /**< the request was sent to a peer */
};

/** A generation's memory at a decode engine. */
struct reservation
{
  struct beryl_live_endpoint
      *endpoint; /**< NULL if none; a reference is held */
  char handle[BERYL_ENGINE_HANDLE_BYTES]; /**< empty if used up by the run, or
                                             if the memory is that of a moved
                                             run */
  uint32_t tokens;
  int64_t expires_ms;
};

/** A KV cache that an engine keeps for a request until a run fetches it: of a
 * prefilled prompt, or the memory of a run that a move has stopped. */
struct kv_cache
{
  struct beryl_live_endpoint
      *endpoint; /**< NULL if none; a reference is held */
  char handle[BERYL_ENGINE_HANDLE_BYTES];
  int64_t expires_ms;
  uint32_t uses; /**< runs it was handed to */
};

/** Looking up the version at which a stream began. */
struct version_lookup
{
  int64_t begun_ms;
  uint32_t asked; /**< peers */
  uint32_t answers;
  uint32_t agreeing; /**< peers that have seen this version only */
  bool contradicted; /**< a peer has seen another version */
  bool repeated;
};

/** One request of a caller. */
struct request
{
  TAILQ_ENTRY (request) entry;
  struct beryl_forward_request params; /**< host and path are NULL */
  struct beryl_routes *routes;
  const struct beryl_route *route;
  const struct beryl_route_service *config;
  const struct beryl_route_organisation *organisation; /**< NULL if unknown */
  uint32_t quota_cost;            /**< set aside in its organisation's quota,
                                         until it is sent; 0 if none */
  struct beryl_quota_state quota; /**< as of its arrival */
  bool over_quota;                /**< it is refused for that */
  struct beryl_admission_verdict
      admission; /**< of a plain request; its last one */
  struct service *service;
  uint32_t rank; /**< among the requests of its service, if it has engines */
  enum phase phase;
  bool waiting; /**< counted as waiting for memory, in PHASE_RESERVING too */
  int64_t deadline_ms;        /**< absolute; the final answer is due by then */
  int64_t timer_ms;           /**< when its timer fires */
  struct exchange *primary;   /**< open exchange, or NULL */
  struct exchange *secondary; /**< concurrent exchange: a hedged send, a move
                                 or a reservation */
  uint32_t plain_sends;       /**< times a plain request was sent */
  uint32_t sends;             /**< prompts and runs sent to endpoints */
  bool prompt_accepted;       /**< an engine has accepted its prompt */
  uint32_t repeats_taken;     /**< from the budget of its service */
  bool repeat_held;           /**< one is set aside there for a moved run */
  bool leaves_without_repeat; /**< none was left to set aside */
  uint32_t endpoints_run_count; /**< endpoints that may have run it */
  bool may_have_run;
  bool handed_over;          /**< a peer has handed it over to this node */
  uint32_t handoffs;         /**< peers that this node has handed it over to */
  uint64_t fingerprint;      /**< of its content; 0 if not computed yet */
  uint64_t tried[TRIED_MAX]; /**< hashes of endpoint ids */
  uint32_t tried_count;
  /* The answer. */
  bool answer_begun;
  bool caller_slow;
  struct buffer buffered; /**< body bytes not forwarded yet */
  uint64_t event_count;   /**< events forwarded to the caller */
  uint64_t run_events;    /**< those of the current run */
  uint64_t last_event_id;
  uint64_t last_event_hash;  /**< of its bytes */
  uint64_t unconfirmed_id;   /**< of an event with which a run of it ended, and
                                which nothing confirmed; 0: none */
  uint32_t empty_end_engine; /**< beryl_live_hash of the endpoint whose run
                                ended behind last_event_id without another
                                event; 0: none */
  bool skipped_ids;      /**< its events have ids that are not consecutive */
  bool events_in_doubt;  /**< its last event may be no event of its run */
  int64_t last_event_ms; /**< time of the last event, of the answer's head or
                            of the start of the run */
  uint64_t pace_events;  /**< run_events when the engine's pace was learned */
  int64_t pace_ms;       /**< time of that event */
  int64_t leave_slow_ms; /**< when it may be moved from a slow engine again */
  uint32_t version;      /**< that its stream began at; 0: it has no event */
  bool version_told;     /**< peers have a record of that */
  struct version_lookup lookup; /**< in PHASE_LOOKING_UP */
  /* Generations. */
  struct reservation reservation;
  struct kv_cache kv;
  uint32_t expected_tokens; /**< estimated output: the median */
  int64_t first_event_ms;
  int64_t longest_gap_ms;
  struct beryl_live_endpoint *move_target; /**< NULL if none; reference held */
  bool move_stopped; /**< the engine has stopped the run for the move */
  bool
      prefilled; /**< a prefill engine has, or may have, accepted its prompt */
  uint32_t broken_prefill_engine; /**< beryl_live_hash of the engine at which
                                     its last prefill broke off; 0 if none */
  bool local_prefill;   /**< its decode engine prefills the prompt itself */
  uint32_t warm_engine; /**< beryl_live_hash of the engine that has its prompt
                           cached; 0 if none */
  bool continues_run;   /**< the next run continues a moved one */
  bool stalled;         /**< its stream has produced no event for too long */
  bool relocating; /**< looks for another engine while its run is still open */
  bool stream_ended;    /**< the stream of a move's source engine has ended */
  bool gated;           /**< the prompt gate has decided about it */
  bool held;            /**< its prompt is not read for engines that break
                           runs */
  bool sound_engines;   /**< others break none, when the gate decided */
  uint32_t failed_asks; /**< engines that refused or did not answer in the
                           current round */
  bool suspect;     /**< it may have crashed an endpoint, or a request with its
                       fingerprint has */
  bool tries_parts; /**< it runs although parts of its prompt are held back */
  int64_t run_ms;   /**< when its current run was sent */
  int64_t first_run_ms; /**< when its first one was; 0: never */
  int64_t waiting_since_ms;
  const char *wait_reason; /**< last logged reason to wait; NULL if none */
};

TAILQ_HEAD (request_list, request);

struct beryl_forward
{
  struct beryl_forward_settings settings;
  struct beryl_live_set *endpoints;
  struct beryl_forward_owner *owner;
  struct beryl_routes *routes; /**< NULL before the first configuration */
  uint32_t nodes;
  uint32_t sharing_nodes;  /**< by which the slack of repeats is divided */
  uint32_t known_nodes;    /**< count when the slack was last divided */
  int64_t nodes_left_ms;   /**< when that count last fell */
  bool reports_incomplete; /**< reports of some live nodes do not arrive */
  struct map requests_by_handle;
  struct map exchanges_by_id;
  struct request_list requests;
  struct exchange_list exchanges;
  struct service **services;
  size_t service_count;
  uint32_t open_count;
  uint32_t waiting_count;
  uint64_t last_exchange_id;
  uint64_t random;
  int64_t next_balance_ms; /**< next check of the engines' memory */
  int64_t stop_ms;         /**< planned stop; BERYL_NEVER_MS if none */
  struct contact contact;
  struct beryl_live_set *peers; /**< that requests may be handed over to */
  struct run_table run_table;   /**< runs of the other nodes at engines */
  struct prompt_locations prompt_locations; /**< where prompts ran recently */
  struct beryl_budget_transfers pending_loans; /**< granted, not sent yet */
  uint32_t last_loan_serial;
  bool report_due; /**< a report to the peers is due, see
                      beryl_forward_report_due */
  struct beryl_quotas *quotas;
  struct beryl_capacity *capacity;
  struct beryl_admission *admission;
  struct beryl_run_outcomes *run_outcomes;
  struct beryl_limits *limits;
  uint32_t reachable_nodes; /**< nodes whose reports have arrived recently, and
                               this one */
  int64_t reachable_counted_ms; /**< when they were last counted */
  struct beryl_quarantine_owner quarantine_owner;
  struct beryl_quarantine *quarantine;
  struct stream_records streams; /**< that callers may resume here */
  int64_t versions_known_ms;     /**< when endpoints were first listed;
                                    0: never */
  int64_t next_version_check_ms;
  size_t remembered_bytes;     /**< memory of all streams' incomplete events */
  int64_t suspects_until_ms;   /**< latest deadline of this node's suspects */
  int64_t quarantine_check_ms; /**< when to check open requests for newly
                                  quarantined ones; BERYL_NEVER_MS if none */
};

/* forward.c */
struct service *forward_service (struct beryl_forward *f, const char *name);
/** Return the service whose name has HASH (beryl_name_hash), or NULL. */
struct service *forward_service_by_hash (const struct beryl_forward *f,
                                         uint32_t hash);
/** Start an exchange with ENDPOINT for R; R is NULL for clean-up. */
struct exchange *forward_exchange_start (struct beryl_forward *f,
                                         struct request *r,
                                         struct beryl_exchange_start *start,
                                         struct beryl_live_endpoint *endpoint,
                                         int64_t now_ms);
/** Free an exchange whose connection is closed. */
void forward_exchange_free (struct beryl_forward *f, struct exchange *x);
/** Close the connection of X and free it. */
void forward_exchange_abort (struct beryl_forward *f, struct exchange *x);
/** Detach X from R. A pending RESERVE is left to complete, so that the
 * reservation can be released; any other exchange is aborted. */
void forward_exchange_detach (struct beryl_forward *f, struct request *r,
                              struct exchange *x);

/** Send R to an endpoint, or look for one. */
void forward_request_place (struct beryl_forward *f, struct request *r,
                            int64_t now_ms);

/* stop.c */
/** Refuse R and return true if the process stops and might end before R's
 * answer does. */
bool stop_refuse (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** The same for a request that is about to be sent to run. */
bool stop_refuse_run (struct beryl_forward *f, struct request *r,
                      int64_t now_ms);
/** R's answer is complete: learn from how long its run took. */
void stop_learn_run (struct request *r, int64_t now_ms);

/* resume.c */
/** Where a stream can go on. */
enum resume_places
{
  RESUME_NO_ENDPOINT, /**< the service has none of any version */
  RESUME_NOWHERE,     /**< only other versions have endpoints */
  RESUME_AT_LEAVING,  /**< only at endpoints that are leaving */
  RESUME_AT_READY,
};

/** Find the version that R must keep, if it resumes a stream; return true if R
 * was refused, or waits for peers' answers. */
bool resume_look_up (struct beryl_forward *f, struct request *r,
                     int64_t now_ms);
/** R's timer has fired in PHASE_LOOKING_UP. */
void resume_timer (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** X brings the first event of R's stream that its caller gets. */
void resume_first_event (struct beryl_forward *f, struct request *r,
                         const struct exchange *x, int64_t now_ms);
/** Return whether R's stream may go on at ENDPOINT. */
bool resume_keeps_version (const struct request *r,
                           const struct beryl_live_endpoint *endpoint);
/** Return where endpoints of R's version are, whether or not they have
 * room. */
enum resume_places resume_places (const struct beryl_forward *f,
                                  const struct request *r, int64_t now_ms);
/** If only endpoints of other versions than R's are left, end R and return
 * true. */
bool resume_refuse_without_version (struct beryl_forward *f, struct request *r,
                                    int64_t now_ms);
void resume_endpoints_changed (struct beryl_forward *f, int64_t now_ms);
void resume_tick (struct beryl_forward *f, int64_t now_ms);

/* endpoint_reports.c */
/** An answer shows that another process now has ENDPOINT's address. */
void endpoint_report_replaced (struct beryl_forward *f,
                               struct beryl_live_endpoint *endpoint,
                               int64_t now_ms);
/** ENDPOINT has stated in an answer that it leaves. */
void endpoint_report_leaving (struct beryl_forward *f,
                              struct beryl_live_endpoint *endpoint,
                              int64_t now_ms);
/** The endpoint of X did not accept a connection, or broke off a prefill at
 * once. */
void endpoint_report_unreachable (struct beryl_forward *f,
                                  const struct exchange *x, int64_t now_ms);

/* contact.c */
/** The connection attempt of X failed. Its endpoint counts as ended once an
 * exchange that began later was answered: until then the fault may be this
 * node's. */
void contact_failed (struct beryl_forward *f, struct exchange *x,
                     int64_t now_ms);
/** X was answered by its endpoint. */
void contact_answered (struct beryl_forward *f, struct exchange *x,
                       int64_t now_ms);
/** Return whether an exchange that began at BEGUN_MS or later was answered. */
bool contact_since (const struct beryl_forward *f, int64_t begun_ms);
void contact_tick (struct beryl_forward *f, int64_t now_ms);
int64_t contact_next_ms (const struct beryl_forward *f);

/* handoff.c */
/** Hand R over to a peer; return false if it may not be, or if there is no
 * peer. */
bool handoff_start (struct beryl_forward *f, struct request *r,
                    int64_t now_ms);
/** Do so if no endpoint can be reached. */
bool handoff_if_lost (struct beryl_forward *f, struct request *r,
                      int64_t now_ms);
/** Do so if some endpoints cannot be reached, and it is not known yet whether
 * others can. */
bool handoff_if_doubted (struct beryl_forward *f, struct request *r,
                         int64_t now_ms);
/** Hand over the open requests that have no answer yet. */
void handoff_all (struct beryl_forward *f, int64_t now_ms);
/** The head of the answer to X, a handoff, has arrived. */
void handoff_answer_head (struct beryl_forward *f, struct exchange *x,
                          int64_t now_ms);
/** R's handoff ended early. MAY_RUN: it was sent, so that it may run, and no
 * answer to it had begun. */
void handoff_interrupted (struct beryl_forward *f, struct request *r,
                          bool may_run, int64_t now_ms);

/* crashes.c */
void crashes_init (struct beryl_forward *f);
/** R's run at ENDPOINT ended in a reset or closed connection. */
void crashes_run_interrupted (struct beryl_forward *f, struct request *r,
                              struct beryl_live_endpoint *endpoint,
                              int64_t now_ms);
/** ENDPOINT accepts no connections, or its address belongs to another process.
 */
void crashes_endpoint_ended (struct beryl_forward *f,
                             const struct beryl_live_endpoint *endpoint,
                             int64_t now_ms);
/** Turn the digests of R's prompt parts into their fingerprints. */
void crashes_set_parts (struct request *r);
/** An endpoint has begun to write R's answer: the parts of its prompt are
 * sound. */
void crashes_written (struct beryl_forward *f, const struct request *r,
                      int64_t now_ms);
/** R has arrived: mark it if it may crash endpoints. */
void crashes_arrived (struct beryl_forward *f, struct request *r,
                      int64_t now_ms);
/** R was answered completely. */
void crashes_answered (struct beryl_forward *f, struct request *r,
                       int64_t now_ms);
/** Return whether R is quarantined: it may be sent to no endpoint. */
bool crashes_is_quarantined (struct beryl_forward *f, struct request *r,
                             int64_t now_ms);
/** If R is quarantined, refuse it and return true. */
bool crashes_refuse (struct beryl_forward *f, struct request *r,
                     int64_t now_ms);
/** Mark R as a suspect: it, or a request with its fingerprint, may have
 * crashed an endpoint. */
void crashes_mark_suspect (struct beryl_forward *f, struct request *r,
                           int64_t now_ms);
/** Return whether this node or a peer may have an open suspect. */
bool crashes_any_suspect (const struct beryl_forward *f, int64_t now_ms);
/** Return whether R is a suspect that may still crash its endpoint. */
bool crashes_is_suspect (const struct request *r, int64_t now_ms);
/** Return whether a suspect other than R runs at ENDPOINT. */
bool crashes_suspect_at (const struct beryl_forward *f,
                         const struct request *r,
                         const struct beryl_live_endpoint *endpoint,
                         int64_t now_ms);
void crashes_tick (struct beryl_forward *f, int64_t now_ms);

/* repeats.c */
/** Return the limits on repeats, which are the same for all services. */
struct repeat_limits repeats_limits (struct beryl_forward *f, int64_t now_ms);
/** Count the arrival of a request at S; the repeat budget grows with it. */
void repeats_count_request (struct beryl_forward *f, struct service *s,
                            int64_t now_ms);
/** Return how many repeats the budget of R's service has left. */
uint32_t repeats_left (struct beryl_forward *f, const struct request *r,
                       int64_t now_ms);
/** Return how many repeats must be taken before R's next run is sent. */
uint32_t repeats_for_run (const struct request *r);
/** Return how many must be taken before R's prompt and then its run are sent,
 * or before R is handed over, whatever becomes of these sends. */
uint32_t repeats_for_prompt_and_run (const struct request *r);
/** Take COUNT repeats for R; false if fewer are left, and none is taken. */
bool repeats_take (struct beryl_forward *f, struct request *r, uint32_t count,
                   int64_t now_ms);
/** R's prompt, or R itself, is sent to an endpoint. */
void repeats_count_send (struct request *r);
/** The exchange of KIND that was started last for R got no connection, so that
 * nothing was sent. */
void repeats_not_sent (struct request *r, enum beryl_exchange_kind kind);
/** Set a repeat aside in case that a moved run of R is not taken; false if
 * none is left. Does nothing if there is one already. */
bool repeats_hold (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** The same for a run that would be lost with its engine. If none is left, one
 * run of a service at a time is moved without, as most moves need none; and no
 * more of them after one was not taken. */
bool repeats_hold_to_leave (struct beryl_forward *f, struct request *r,
                            int64_t now_ms);
/** R's moved run was taken, or is given up. */
void repeats_release (struct request *r);
/** The engine of R's run has not taken it. If it continued a moved run, it
 * counts as a send now. */
void repeats_count_lost_move (struct beryl_forward *f, struct request *r,
                              int64_t now_ms);
/** A peer that R was handed over to may have sent it. */
void repeats_count_handoff (struct request *r);

/* speeds.c */
/** Count UNITS of WORK that this node sends to ENDPOINT of S. */
void speeds_count_sent (struct beryl_forward *f, const struct service *s,
                        const struct beryl_live_endpoint *endpoint,
                        enum beryl_work work, uint32_t units, int64_t now_ms);
/** ENDPOINT has done UNITS of WORK of this node in TOOK_MS. */
void speeds_learn (struct beryl_forward *f, const struct service *s,
                   const struct beryl_live_endpoint *endpoint,
                   enum beryl_work work, uint32_t units, int64_t took_ms,
                   int64_t now_ms);
/** ENDPOINT has not done UNITS of WORK of this node after OPEN_MS. */
void speeds_learn_overdue (struct beryl_forward *f, const struct service *s,
                           const struct beryl_live_endpoint *endpoint,
                           enum beryl_work work, uint32_t units,
                           int64_t open_ms, int64_t now_ms);
/** ENDPOINT has turned away a request because it is full. */
void speeds_learn_full (struct beryl_forward *f, const struct service *s,
                        const struct beryl_live_endpoint *endpoint,
                        enum beryl_work work, int64_t now_ms);
/** Return what is believed of ENDPOINT. */
struct beryl_capacity_belief
speeds_of (struct beryl_forward *f, const struct service *s,
           const struct beryl_live_endpoint *endpoint, enum beryl_work work,
           int64_t now_ms);

/* quota.c */
/** Take over the organisations' quotas from ROUTES. */
void quota_set_routes (struct beryl_forward *f,
                       const struct beryl_routes *routes);
/** If the quota of R's organisation is used up, refuse R and return
 * true. */
bool quota_refuse (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** R is sent to an endpoint; its first send counts. */
void quota_count_sent (struct beryl_forward *f, struct request *r,
                       int64_t now_ms);
/** R ends; what was set aside for it, and not sent, is free again. */
void quota_release (struct beryl_forward *f, struct request *r);

/* pauses.c */
/** ENDPOINT wants no requests from this node for PAUSE_MS. */
void pauses_learn (struct beryl_forward *f,
                   struct beryl_live_endpoint *endpoint, int64_t pause_ms,
                   int64_t now_ms);
/** Return how long all endpoints of S with STAGE that accept work are paused;
 * 0 if one is not, or if there is none. */
int64_t pauses_left_ms (const struct beryl_forward *f, const struct service *s,
                        enum beryl_stage stage, int64_t now_ms);
/** If all endpoints of STAGE that could serve R are paused for longer than R
 * may wait (WAIT_MS), refuse it and return true. R has not run. */
bool pauses_refuse (struct beryl_forward *f, struct request *r,
                    enum beryl_stage stage, int64_t wait_ms, int64_t now_ms);

/* connections.c */
/** Return whether this node's part of ENDPOINT's connections has one left for
 * R. */
bool connections_allow (const struct beryl_forward *f, const struct request *r,
                        const struct beryl_live_endpoint *endpoint,
                        int64_t now_ms);
/** Return for how long the new connection to ENDPOINT, which is counted as
 * open, is to be watched before R is sent. */
int64_t connections_hold_ms (const struct beryl_forward *f,
                             const struct request *r,
                             const struct beryl_live_endpoint *endpoint,
                             int64_t now_ms);
/** X failed. Return whether its endpoint has only reset a connection beyond
 * its limit, before anything was sent. */
bool connections_was_over_limit (struct beryl_forward *f, struct exchange *x,
                                 enum beryl_exchange_failure how, bool sent,
                                 int64_t now_ms);
/** The endpoint of X has answered that it is full. */
void connections_full (struct beryl_forward *f, const struct exchange *x,
                       int64_t now_ms);
/** If R gets no connection to any endpoint, refuse it and return true. */
bool connections_refuse (struct beryl_forward *f, struct request *r,
                         int64_t now_ms);

/* prompts.c */
/** A run or prefill of R at ENDPOINT has begun to be answered (GOOD), or has
 * broken off. */
void prompts_record (struct beryl_forward *f, const struct request *r,
                     const struct beryl_live_endpoint *endpoint, bool good,
                     int64_t now_ms);
/** Return whether it is known of late how ENDPOINT's runs end. */
bool prompts_known (struct beryl_forward *f, const struct service *s,
                    const struct beryl_live_endpoint *endpoint,
                    int64_t now_ms);
/** Return the part of ENDPOINT's runs that is expected to succeed. */
double prompts_success (struct beryl_forward *f, const struct service *s,
                        const struct beryl_live_endpoint *endpoint,
                        int64_t now_ms);
/** Return whether ENDPOINT breaks so many runs that others are preferred. */
bool prompts_break_at (struct beryl_forward *f, const struct service *s,
                       const struct beryl_live_endpoint *endpoint,
                       int64_t now_ms);
/** Decide once whether R's prompt may be read for an engine that breaks runs,
 * if R's service has any. */
void prompts_gate (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** No sound engine has room for R. If its prompt may not be read for another,
 * refuse R and return true. */
bool prompts_refuse_held (struct beryl_forward *f, struct request *r,
                          int64_t now_ms);

/* rates.c */
/** The answer to X stated LIMIT; SERVED tells whether the request was
 * served. */
void rates_learn (struct beryl_forward *f, const struct exchange *x,
                  const struct beryl_rate_limit *limit, bool served,
                  int64_t now_ms);
/** Return whether ENDPOINT has stated a rate limit. */
bool rates_is_limited (const struct beryl_forward *f,
                       const struct beryl_live_endpoint *endpoint);
/** Return whether ENDPOINT's rate limit allows a request of S now. */
bool rates_allows (struct beryl_forward *f, struct service *s,
                   const struct beryl_live_endpoint *endpoint, int64_t now_ms);
/** Count a request of S that is sent to ENDPOINT. */
void rates_count_sent (struct beryl_forward *f, struct service *s,
                       const struct beryl_live_endpoint *endpoint,
                       int64_t now_ms);
/** Return the Retry-After for a request of S that no rate limit allows; 0 if
 * no endpoint of S has a limit. */
int64_t rates_retry_after_ms (struct beryl_forward *f, struct service *s,
                              int64_t now_ms);

/* profile.c */
void profile_clear (struct peer_profiles *profiles);
/** Learn from a prefill of TOKENS that took an engine of S TOOK_MS. */
void profile_learn_prefill (struct service *s, uint32_t tokens,
                            int64_t took_ms);
/** Learn from a stream of S that produced TOKENS in TOOK_MS. */
void profile_learn_stream (struct service *s, uint32_t tokens,
                           int64_t took_ms);
/** Drop the profiles of PEER, which has left the fleet. */
void profile_remove_peer (struct beryl_forward *f, const char *peer);

/* loans.c */
/** Called when a repeat of S was sent or denied; if few repeats are left,
 * makes a report due, which will request a loan from a peer. */
void loans_report_if_low (struct beryl_forward *f, struct service *s,
                          int64_t now_ms);

/* request.c */
/** Create a request from PARAMS, which are copied, and choose one of ROUTE's
 * services for it.  ORGANISATION is the caller's, or NULL. */
struct request *
forward_request_new (struct beryl_forward *f,
                     const struct beryl_forward_request *params,
                     const struct beryl_route *route,
                     const struct beryl_route_organisation *organisation);
/** Free R, which must have no open exchange. */
void forward_request_free (struct beryl_forward *f, struct request *r);
/** Return the fingerprint of R's content; 0 if the owner does not know it. */
uint64_t forward_request_fingerprint (struct beryl_forward *f,
                                      struct request *r);
/** Log one step of R. The meaning of NUMBER depends on STEP and OUTCOME. */
void forward_request_log (struct beryl_forward *f, const struct request *r,
                          const char *step,
                          const struct beryl_live_endpoint *endpoint,
                          const char *outcome, int64_t number, int64_t now_ms);
/** Log a piece of R's stream from ENDPOINT that is not its next event. */
void forward_request_log_event (struct beryl_forward *f,
                                const struct request *r,
                                const struct beryl_live_endpoint *endpoint,
                                const struct beryl_event_finding *finding,
                                int64_t now_ms);
/** End R: detach its open exchanges (forward_exchange_detach), release its
 * memory at engines and free it. */
void forward_request_end (struct beryl_forward *f, struct request *r,
                          int64_t now_ms);
/** Answer R with a refusal by this node and end it. */
void forward_request_refuse (struct beryl_forward *f, struct request *r,
                             unsigned int status,
                             enum beryl_refusal_reason reason,
                             int64_t retry_after_ms, int64_t now_ms);
/** End R with 503 if it cannot have run, and otherwise with 502 or 504. */
void forward_request_fail (struct beryl_forward *f, struct request *r,
                           enum beryl_refusal_reason reason, int64_t now_ms);
/** Return whether R is a generation, which is planned at model engines. */
bool forward_request_is_generation (const struct request *r);
/** Return whether R's run can be moved to another engine. */
bool forward_request_is_movable (const struct request *r);
/** Return whether R is idempotent: it may be sent again although it may have
 * run. */
bool forward_request_is_repeatable (const struct request *r);
/** Record that R's current run has started, or may have started, at its
 * endpoint. A run that continues a moved one is not counted again. Clears R's
 * continues_run. */
void forward_request_record_run (struct request *r);
/** Record it, too, if the run ends before it was answered. */
void forward_request_record_lost_run (struct beryl_forward *f,
                                      struct request *r, int64_t now_ms);
void forward_request_mark_tried (struct request *r,
                                 const struct beryl_live_endpoint *endpoint);
bool forward_request_was_tried (const struct request *r,
                                const struct beryl_live_endpoint *endpoint);

/* plain.c */
void plain_start (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** An exchange of R ended without an answer that can be forwarded. */
void plain_send_failed (struct beryl_forward *f, struct request *r,
                        int64_t now_ms);
void plain_timer (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** Learn from the time to the head of an answer. */
void service_learn_answer_time (struct service *s, int64_t took_ms);
/** Return after how long an answer is unusually late, so that a hedged send is
 * worthwhile. */
int64_t service_hedge_delay_ms (const struct service *s);

/* plain_admission.c */
/** The routes have changed. */
void plain_admission_set_routes (struct beryl_forward *f);
/** Count R, which is to be sent to an endpoint. If there is no room for it at
 * its service and it has not run, refuse it and return true. */
bool plain_admission_refuse (struct beryl_forward *f, struct request *r,
                             int64_t now_ms);

/* placement.c */
/** Queue R for memory at a decode engine, and try to reserve some. */
void placement_start (struct beryl_forward *f, struct request *r,
                      int64_t now_ms);
/** R gave up its reservation, or did not ask for one, since its prompt cannot
 * be prefilled in time: refuse it, or let it wait on if it is late anyway. */
void placement_refuse_or_defer (struct beryl_forward *f, struct request *r,
                                int64_t now_ms);
/** End R's wait for memory. */
void placement_wait_end (struct beryl_forward *f, struct request *r);
/** Ask the next engine for memory. */
void placement_ask (struct beryl_forward *f, struct request *r,
                    int64_t now_ms);
/** Handle R's timer while it waits: ask again, or give up. */
void placement_timer (struct beryl_forward *f, struct request *r,
                      int64_t now_ms);
/** The engine of X granted or refused a reservation. */
void placement_granted (struct beryl_forward *f, struct exchange *x,
                        const struct beryl_engine_result *result,
                        int64_t now_ms);
void placement_refused (struct beryl_forward *f, struct exchange *x,
                        int64_t now_ms);
/** An engine that R asked for a reservation refused or did not answer: ask
 * another. */
void placement_ask_failed (struct beryl_forward *f, struct request *r,
                           int64_t now_ms);
/** Engines were added or removed: waiting requests ask again at the next
 * tick. */
void placement_wake_all (struct beryl_forward *f, int64_t now_ms);
/** Ask ENDPOINT to reserve the memory that R needs. */
struct exchange *placement_reserve (struct beryl_forward *f, struct request *r,
                                    struct beryl_live_endpoint *endpoint,
                                    int64_t now_ms);
/** Record the reservation that the engine of X has granted to R; frees X. */
void placement_accept (struct beryl_forward *f, struct exchange *x,
                       const struct beryl_engine_result *result,
                       int64_t now_ms);
/** Release the reservation RESERVATION at its engine if it is still held, and
 * clear it. */
void reservation_release (struct beryl_forward *f,
                          struct reservation *reservation, int64_t now_ms);
/** Clear RESERVATION without calling the engine. */
void reservation_clear (struct beryl_forward *f,
                        struct reservation *reservation);
/** Ask ENDPOINT to release the reservation HANDLE. */
void reservation_cancel (struct beryl_forward *f,
                         struct beryl_live_endpoint *endpoint,
                         const char *handle, int64_t now_ms);

/** Return when R is refused unless it has a reservation. */
int64_t placement_give_up_ms (const struct request *r);

/* generation.c */
void generation_start (struct beryl_forward *f, struct request *r,
                       int64_t now_ms);
/** Start an exchange with ENDPOINT as R's primary one. It resumes after the
 * last event that was forwarded. */
void generation_start_exchange (struct beryl_forward *f, struct request *r,
                                struct beryl_exchange_start *start,
                                struct beryl_live_endpoint *endpoint,
                                int64_t now_ms);
/** R has a reservation: prefill its prompt, or run it. */
void generation_reserved (struct beryl_forward *f, struct request *r,
                          int64_t now_ms);
/** Send R to the engine that has its reservation, with its KV cache if there
 * is one. */
void generation_run (struct beryl_forward *f, struct request *r,
                     int64_t now_ms);
/** Handle the answer to X, an exchange of any kind but RUN. */
void generation_exchange_result (struct beryl_forward *f, struct exchange *x,
                                 const struct beryl_engine_result *result,
                                 int64_t now_ms);
/** An exchange of R of KIND failed; SENT as in beryl_forward_exchange_failed.
 */
void generation_exchange_failed (struct beryl_forward *f, struct request *r,
                                 enum beryl_exchange_kind kind, bool sent,
                                 int64_t now_ms);
/** The engine states that it did not run R; WRONG_STAGE: because it now has
 * another stage. */
void generation_run_rejected (struct beryl_forward *f, struct request *r,
                              bool wrong_stage, int64_t now_ms);
void generation_timer (struct beryl_forward *f, struct request *r,
                       int64_t now_ms);
/** Release R's reservation and KV cache at their engines. */
void generation_release (struct beryl_forward *f, struct request *r,
                         int64_t now_ms);
/** R's run at its decode engine has ended. */
void generation_run_ended (struct beryl_forward *f, struct request *r);
/** Clear KV without calling the engine. */
void kv_clear (struct beryl_forward *f, struct kv_cache *kv);

/** Plan R again after a failure; its KV cache is used again if it is still
 * valid. */
void generation_restart (struct beryl_forward *f, struct request *r,
                         int64_t now_ms);
/** Record that ENDPOINT has the other stage now, as it has reported itself. */
void generation_record_other_stage (struct beryl_live_endpoint *endpoint);
/** ENDPOINT rejected a prefill, rejected a run despite its reservation, or has
 * lost a KV cache: do not ask it for a while, like a full engine. */
void generation_back_off (struct beryl_live_endpoint *endpoint,
                          int64_t now_ms);

/* prefill.c */
/** Return whether R, which has no reservation yet, could not have its prompt
 * prefilled in time. */
bool prefill_would_be_late (struct beryl_forward *f, const struct request *r,
                            int64_t now_ms);
/** Return the expected time until R's prompt is prefilled, queues included. */
int64_t prefill_expected_ms (struct beryl_forward *f, const struct request *r,
                             int64_t now_ms);
/** Return whether R can run at once because its decode engine has the prompt
 * cached. If the engine first has to prefill the part of the answer that the
 * caller already has, mark R as prefilled locally and record the time at the
 * engine. */
bool prefill_use_cached (struct beryl_forward *f, struct request *r,
                         int64_t now_ms);
/** Have the prompt of R, which has a reservation, prefilled. */
void prefill_start (struct beryl_forward *f, struct request *r,
                    int64_t now_ms);
/** The engine of X has prefilled the prompt. */
void prefill_done (struct beryl_forward *f, struct request *r,
                   struct exchange *x,
                   const struct beryl_engine_result *result, int64_t now_ms);
/** Return whether X is a prefill that has broken off before its engine can
 * have processed the prompt. */
bool prefill_broke_early (const struct exchange *x, int64_t now_ms);
/** Learn from the prefills that take longer than they should. */
void prefill_learn_overdue (struct beryl_forward *f, int64_t now_ms);
/** The engine of X has refused to prefill the prompt. */
void prefill_refused (struct beryl_forward *f, struct request *r,
                      struct exchange *x,
                      const struct beryl_engine_result *result,
                      int64_t now_ms);

/* stream.c */
/** Return when R's stream is to be checked for a stall. */
int64_t stream_timer_ms (const struct request *r);
void stream_timer (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** Return whether R's stream may continue at another engine by its route and
 * the repeat budget. */
bool stream_may_relocate (struct beryl_forward *f, struct request *r,
                          int64_t now_ms);
/** R's stream has produced one more event: learn its speed. */
void stream_learn_pace (struct beryl_forward *f, struct request *r,
                        int64_t now_ms);
/** R's answer is complete: learn from its length. */
void stream_learn_length (struct beryl_forward *f, const struct request *r);

/* relocate.c */
/** Start to look for another engine for R's stream, which its own engine does
 * not continue. WHY is for the log. Does nothing if the route does not allow
 * it. */
void relocate_start (struct beryl_forward *f, struct request *r,
                     const char *why, int64_t now_ms);
/** Handle R's timer while it looks for another engine. */
void relocate_timer (struct beryl_forward *f, struct request *r,
                     int64_t now_ms);
/** An engine refused R a reservation or did not answer. */
void relocate_refused (struct beryl_forward *f, struct request *r,
                       int64_t now_ms);
/** The engine of X has granted a reservation: R continues there. */
void relocate_granted (struct beryl_forward *f, struct exchange *x,
                       const struct beryl_engine_result *result,
                       int64_t now_ms);
/** R's stream continues or has ended: stop looking for another engine. */
void relocate_end (struct beryl_forward *f, struct request *r);

/* balance.c */
/** Move runs away from engines that are about to run out of memory. */
void generation_balance (struct beryl_forward *f, int64_t now_ms);

/* answer.c */
/** Log that X's answer is none of its request's run. */
void answer_log_fault (struct beryl_forward *f, const struct exchange *x,
                       enum answer_fault fault, unsigned int status,
                       int64_t now_ms);
/** Give up X, whose answer, with STATUS, is none of its request's run. */
void answer_reject (struct beryl_forward *f, struct exchange *x,
                    enum answer_fault fault, unsigned int status,
                    int64_t now_ms);
void answer_head (struct beryl_forward *f, struct exchange *x, int64_t now_ms);
void answer_data (struct beryl_forward *f, struct exchange *x,
                  const char *bytes, size_t bytes_count, int64_t now_ms);
/** Return false if X stays open until its end is confirmed. */
bool answer_done (struct beryl_forward *f, struct exchange *x, int64_t now_ms);
/** DIAL, which dials the endpoint of an answer that has ended with its
 * connection, was accepted, or failed. */
void answer_end_confirmed (struct beryl_forward *f, struct exchange *dial,
                           int64_t now_ms);
void answer_end_refuted (struct beryl_forward *f, struct exchange *dial,
                         int64_t now_ms);
void answer_interrupted (struct beryl_forward *f, struct exchange *x,
                         enum beryl_exchange_failure how, bool sent,
                         int64_t now_ms);

/* move.c */
/** Start to move R's run to TARGET. */
void move_start (struct beryl_forward *f, struct request *r,
                 struct beryl_live_endpoint *target, int64_t now_ms);
/** The engine answered X, a MOVE. */
void move_result (struct beryl_forward *f, struct exchange *x,
                  const struct beryl_engine_result *result, int64_t now_ms);
/** A MOVE of R failed; SENT as in beryl_forward_exchange_failed. */
void move_failed (struct beryl_forward *f, struct request *r, bool sent,
                  int64_t now_ms);
/** R's stream ended early; return true if that is part of a move. */
bool move_stream_ended (struct beryl_forward *f, struct request *r,
                        int64_t now_ms);
/** The target engine of R's move rejected the run: continue at the source
 * engine. Return false if the source has rejected it too, or if its copy of
 * the run's memory is unknown or has expired. */
bool move_back (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** Clear the state of R's move. */
void move_clear (struct beryl_forward *f, struct request *r);

/* backlog.c */
/** Interval at which a waiting request asks for memory again. Shorter
 * intervals burden full engines with refusals, longer ones leave freed memory
 * unused. */
#define ASK_INTERVAL_MS 120
/** Time until other nodes know of a choice. It covers the 30 ms for which
 * reports are batched, and the network. */
#define PROPAGATION_MS 50
/** Return how many requests of R's service choose engines within
 * PROPAGATION_MS, so that they cannot know of each other's choices. */
double backlog_concurrent_choices (struct beryl_forward *f,
                                   const struct request *r, int64_t now_ms);
/** Return how many generations of R's service wait for memory at all nodes. */
uint32_t backlog_waiting (const struct beryl_forward *f,
                          const struct request *r, int64_t now_ms);
/** Return the part of what waits like R that gets the memory of RUNS requests
 * of its size; 1 if all that waits is alike. */
double backlog_order_part (struct beryl_forward *f, const struct request *r,
                           double runs, int64_t now_ms);
/** Return the rank that R has among those that wait. */
uint32_t backlog_rank (const struct request *r, int64_t now_ms);
/** Return whether requests of R's service differ in rank or organisation. */
bool backlog_is_ordered (const struct request *r);
/** Return how many runs of R's service end within MS. */
double backlog_run_ends (struct beryl_forward *f, const struct request *r,
                         int64_t ms, int64_t now_ms);
/** Return the expected wait of R for memory, from the rate at which memory is
 * freed and the requests that wait already; 0 if unknown. */
int64_t backlog_wait_ms (struct beryl_forward *f, const struct request *r,
                         int64_t now_ms);
/** Return the Retry-After for R, which is refused. */
int64_t backlog_retry_after_ms (struct beryl_forward *f,
                                const struct request *r, int64_t now_ms);

/* engines.c */
/** Return the number of runs at all decode engines of R's service. */
uint32_t engine_run_count (struct beryl_forward *f, const struct request *r,
                           int64_t now_ms);
/** Return the highest expected use of ENDPOINT's memory, in tokens, if R ran
 * there too. DEVIATIONS standard deviations are added. */
double engine_peak_with (struct beryl_forward *f, const struct request *r,
                         const struct beryl_live_endpoint *endpoint,
                         double deviations, int64_t now_ms);
/** ENDPOINT granted or refused a reservation of TOKENS: estimate from that how
 * much memory is used there by runs that no node has reported. */
void engine_learn_unreported_use (struct beryl_forward *f,
                                  const struct request *r,
                                  struct beryl_live_endpoint *endpoint,
                                  uint32_t tokens, bool granted,
                                  int64_t now_ms);
/** Choose an engine to move R's run to; NULL if none has enough memory.
 * NEEDED: the run is lost or interrupted otherwise. */
struct beryl_live_endpoint *engine_choose_target (struct beryl_forward *f,
                                                  const struct request *r,
                                                  bool needed, int64_t now_ms);
/** Return whether R's run is the one that its engine would preempt next: the
 * newest preemptible one, with the fewest generated tokens. */
bool engine_is_newest_run (struct beryl_forward *f, const struct request *r,
                           int64_t now_ms);
/** Return whether ENDPOINT has R's prompt cached. */
bool engine_has_prompt_cached (const struct request *r,
                               const struct beryl_live_endpoint *endpoint);
/** Estimated free capacity of a service's decode engines. */
struct engine_capacity
{
  /** Fraction of the emptiest sampled engine's memory in use if R ran there
   * too; 0 if there is no engine to ask or the memory size is unknown. */
  double min_fill;
  double fitting_runs; /**< how many requests of R's prompt and expected output
                          fit into the free memory */
};

/** Choose a decode engine to ask for a reservation; NULL if there is none.
 * *CAPACITY must be zero-initialised. */
struct beryl_live_endpoint *
engine_choose_decode (struct beryl_forward *f, const struct request *r,
                      struct engine_capacity *capacity, int64_t now_ms);
/** Return the prompt tokens queued at ENDPOINT by all nodes. */
double engine_queued_tokens (const struct beryl_forward *f,
                             const struct beryl_live_endpoint *endpoint,
                             int64_t now_ms);
/** Choose an engine to prefill R's prompt; NULL if there is none. *WAIT_MS is
 * set to the duration of its queue. */
struct beryl_live_endpoint *engine_choose_prefill (struct beryl_forward *f,
                                                   const struct request *r,
                                                   int64_t *wait_ms,
                                                   int64_t now_ms);
/** Return whether there is a usable prefill engine, rate limits apart. */
bool engine_has_prefill (struct beryl_forward *f, const struct request *r,
                         int64_t now_ms);
/** Return the duration of the shortest queue of a prefill engine; 0 if there
 * is no engine. */
int64_t engine_prefill_wait_ms (struct beryl_forward *f,
                                const struct request *r, int64_t now_ms);
/** Describe R's run at its engine, for the report to other nodes. */
void engine_describe_run (const struct request *r, int64_t now_ms,
                          struct beryl_engine_run *run);
/** Return whether ENDPOINT, a decode engine, is so slow that R's events would
 * come too late after one another. */
bool engine_makes_pauses (struct beryl_forward *f, const struct request *r,
                          const struct beryl_live_endpoint *endpoint,
                          int64_t now_ms);
/** Forecast the memory of ENDPOINT. */
void engine_forecast (struct beryl_forward *f, const struct service *s,
                      const struct beryl_live_endpoint *endpoint,
                      int64_t now_ms, struct memory_forecast *forecast);

#endif
