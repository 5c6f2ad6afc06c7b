/** @file
 * Parts of the forwarder, shared by its modules.
 */
#ifndef FORWARD_PRIVATE_H
#define FORWARD_PRIVATE_H

#include <stddef.h>
#include <sys/queue.h>

#include "../base/buffer.h"
#include "../base/map.h"
#include "../base/random.h"
#include "beryl/clock.h"
#include "beryl/forward.h"
#include "book.h"
#include "call_times.h"
#include "events.h"
#include "pace.h"
#include "prompts.h"
#include "repeat_budget.h"

/** When a caller that was refused for want of endpoints may come back. */
#define RETRY_AFTER_MS 1000
/** Endpoints that one request remembers to have tried. */
#define TRIED_MAX 8

/** What the other nodes have learned of a service's generations. */
struct peer_profiles
{
  struct peer_profile *items;
  size_t count;
  size_t changed; /**< that were told since paces were put together */
};

/** What is known of a service. */
struct service
{
  char name[BERYL_NAME_BYTES];
  struct repeat_budget budget;
  uint32_t asked_serial; /**< of the last question for repeats; 0: none open */
  int64_t asked_ms;      /**< when it was asked */
  double answer_ms;    /**< usual time to the head of an answer; 0: unknown */
  double deviation_ms; /**< its mean deviation */
  struct length_model lengths; /**< of generations */
  double prompt_tokens;        /**< mean of them */
  double output_tokens;        /**< mean of what they are expected to make */
  uint32_t seen;               /**< generations that arrived */
  struct pace prefill; /**< of its prefill engines, as this node saw them */
  double prefill_ms_per_token; /**< that this node goes by */
  struct call_times calls;     /**< reservations at its engines */
  struct peer_profiles peers;
  uint64_t kv_tokens; /**< of one engine; 0: unknown */
  uint32_t waiting;   /**< generations of this node without a place */
  int64_t return_ms;  /**< when the next refused caller may come back */
};

struct request;

/** One exchange with an endpoint. */
struct exchange
{
  TAILQ_ENTRY (exchange) entry;
  uint64_t id;
  struct request *request; /**< NULL: its request has ended */
  enum beryl_exchange_kind kind;
  struct beryl_live *live;
  int64_t started_ms;
  bool headed;
  bool paused;
  struct beryl_answer_head head;
  uint32_t tokens;
};

TAILQ_HEAD (exchange_list, exchange);

enum phase
{
  PHASE_WAITING,   /**< for room at an engine */
  PHASE_RESERVING, /**< a decode engine was asked for room */
  PHASE_PREFILLING,
  PHASE_RUNNING, /**< an endpoint has the request */
};

/** Where a generation's memory is reserved. */
struct reservation
{
  struct beryl_live *live; /**< NULL: none; counted as open there */
  char handle[BERYL_ENGINE_HANDLE_BYTES];
  uint32_t tokens;
  int64_t until_ms;
};

/** A prompt that was read. */
struct kv_cache
{
  struct beryl_live *live; /**< NULL: none; counted as open there */
  char handle[BERYL_ENGINE_HANDLE_BYTES];
  int64_t until_ms;
  uint32_t tries; /**< engines that were handed it */
};

/** One request of a caller. */
struct request
{
  TAILQ_ENTRY (request) entry;
  struct beryl_forward_request facts; /**< host and path are not kept */
  struct beryl_routes *routes;
  const struct beryl_route *route;
  const struct beryl_route_service *terms;
  struct service *service;
  enum phase phase;
  bool waiting;            /**< it has no place yet */
  int64_t timeout_ms;      /**< absolute: its final answer is due */
  int64_t due_ms;          /**< next look at it */
  struct exchange *first;  /**< open exchange */
  struct exchange *second; /**< a repeat beside the first */
  uint32_t sends;          /**< RUN and PREFILL that count as arrivals */
  uint32_t endpoints_run;  /**< that may have run it */
  bool may_have_run;
  uint64_t fingerprint;      /**< of what it asks; 0: was not needed so far */
  uint64_t tried[TRIED_MAX]; /**< hashes of endpoint ids */
  uint32_t tried_count;
  /* The answer. */
  bool begun;
  bool caller_slow;
  struct buffer held; /**< body that was not passed on yet */
  struct event_splitter events;
  uint64_t event_count; /**< passed on */
  uint64_t run_events;  /**< of these, from the present run */
  uint64_t last_event;
  int64_t event_ms; /**< time of the last one */
  /* Generations. */
  struct reservation reservation;
  struct kv_cache kv;
  uint32_t expected_tokens; /**< median of its output */
  int64_t first_event_ms;
  int64_t longest_gap_ms;
  struct beryl_live *move_to; /**< its run is being moved there; open there */
  bool moved;                 /**< the engine has stopped it for that */
  uint32_t runs;              /**< sends of the request itself to engines */
  bool prefilled;             /**< an engine has accepted to read its prompt */
  bool run_paid;        /**< the next run's repeat was taken from the budget */
  bool reads_alone;     /**< its decode engine reads its prompt itself */
  uint32_t warm_engine; /**< that has its prompt already; 0: none */
  bool same_run;        /**< the next run goes on with a moved run's memory */
  bool stalled;         /**< its stream was silent for a while */
  bool seeks;           /**< a new place, while it is still at its engine */
  bool stream_over;     /**< the old engine's stream has ended */
  uint32_t refusals;    /**< of engines asked for room, in this wait */
  bool suspect;         /**< an endpoint may have crashed by it */
  int64_t run_ms;       /**< when its present run was sent */
  int64_t waiting_since_ms;
  const char *wait_told; /**< why it waits, in the log; NULL: nothing yet */
};

TAILQ_HEAD (request_list, request);

struct beryl_forward
{
  struct beryl_forward_settings settings;
  struct beryl_live_set *lives;
  struct beryl_forward_owner *owner;
  struct beryl_routes *routes; /**< NULL before the first configuration */
  uint32_t nodes;
  bool isolated; /**< other nodes' runs are not known */
  struct map requests_by_handle;
  struct map exchanges_by_id;
  struct request_list requests;
  struct exchange_list exchanges;
  struct service **services;
  size_t service_count;
  uint32_t open;
  uint32_t waiting_count;
  uint64_t last_exchange;
  uint64_t random;
  int64_t balance_ms;     /**< next look at the engines' memory */
  int64_t end_ms;         /**< of the process; BERYL_NEVER_MS: not known */
  struct book book;       /**< what the other nodes run at engines */
  struct prompts prompts; /**< where prompts were run of late */
  struct beryl_repeat_transfers loans; /**< given, not told yet */
  uint32_t last_serial;
  bool runs_changed; /**< this node's runs, since they were read */
  struct beryl_limits *limits;
  uint32_t heard;   /**< nodes that can be heard, this one included */
  int64_t heard_ms; /**< when they were counted */
  struct beryl_quarantine_owner quarantine_owner;
  struct beryl_quarantine *quarantine;
  int64_t watch_ms; /**< until then a suspect of this node may be watched */
  int64_t sweep_ms; /**< when open requests are looked through for newly
                       quarantined ones; BERYL_NEVER_MS: there are none */
};

/* forward.c */
struct service *forward_service (struct beryl_forward *f, const char *name);
/** Return the service whose name has NUMBER, or NULL. */
struct service *forward_service_numbered (const struct beryl_forward *f,
                                          uint32_t number);
/** Start an exchange for R (NULL: clean-up). */
struct exchange *forward_start (struct beryl_forward *f, struct request *r,
                                struct beryl_exchange_start *start,
                                struct beryl_live *live, int64_t now_ms);
/** Forget an exchange whose connection is closed. */
void forward_exchange_free (struct beryl_forward *f, struct exchange *x);
/** Close the connection of X and forget it. */
void forward_exchange_abort (struct beryl_forward *f, struct exchange *x);
/** R does not wait for X any more.  A reservation that is being asked for is
 * let come, so that it can be given back; all else is cut off. */
void forward_exchange_disown (struct beryl_forward *f, struct request *r,
                              struct exchange *x);

/* news.c */
/** An answer showed that another process has LIVE's address. */
void news_replaced (struct beryl_forward *f, struct beryl_live *live,
                    int64_t now_ms);
/** LIVE did not accept a connection. */
void news_unreachable (struct beryl_forward *f, struct beryl_live *live,
                       int64_t now_ms);

/* crashes.c */
void crashes_init (struct beryl_forward *f);
/** R's run at LIVE broke off. */
void crashes_run_broke (struct beryl_forward *f, struct request *r,
                        struct beryl_live *live, int64_t now_ms);
/** LIVE accepts no connections, or its address belongs to another process. */
void crashes_ended (struct beryl_forward *f, const struct beryl_live *live,
                    int64_t now_ms);
/** R was answered whole. */
void crashes_answered (struct beryl_forward *f, struct request *r,
                       int64_t now_ms);
/** Whether R may go to no endpoint. */
bool crashes_quarantined (struct beryl_forward *f, struct request *r,
                          int64_t now_ms);
/** If so, R gets its answer and ends. */
bool crashes_refuse (struct beryl_forward *f, struct request *r,
                     int64_t now_ms);
/** An endpoint may crash by R, or has. */
void crashes_suspect (struct beryl_forward *f, struct request *r,
                      int64_t now_ms);
/** Whether there may be suspects that are watched, here or at peers. */
bool crashes_watching (const struct beryl_forward *f, int64_t now_ms);
/** Whether R, a suspect, may crash its endpoint yet. */
bool crashes_watches (const struct request *r, int64_t now_ms);
/** Whether a suspect other than R runs at LIVE. */
bool crashes_shares (const struct beryl_forward *f, const struct request *r,
                     const struct beryl_live *live, int64_t now_ms);
void crashes_tick (struct beryl_forward *f, int64_t now_ms);

/* rates.c */
/** The answer of X, which was SERVED or not, named LIMIT. */
void rates_heard (struct beryl_forward *f, const struct exchange *x,
                  const struct beryl_rate_limit *limit, bool served,
                  int64_t now_ms);
/** Whether LIVE names a limit. */
bool rates_limited (const struct beryl_forward *f,
                    const struct beryl_live *live);
/** Whether a request of S may go to LIVE now, by its limit. */
bool rates_allow (struct beryl_forward *f, struct service *s,
                  const struct beryl_live *live, int64_t now_ms);
/** One goes there. */
void rates_sent (struct beryl_forward *f, struct service *s,
                 const struct beryl_live *live, int64_t now_ms);
/** Return when a caller of S may come back for which no limit leaves room; 0:
 * no endpoint of S names one. */
int64_t rates_retry_after_ms (struct beryl_forward *f, struct service *s,
                              int64_t now_ms);

/* profile.c */
void profile_clear (struct peer_profiles *profiles);
/** Reading TOKENS took an engine of S TOOK_MS. */
void profile_learn_prefill (struct service *s, uint32_t tokens,
                            int64_t took_ms);
/** A stream of S made TOKENS in TOOK_MS. */
void profile_learn_stream (struct service *s, uint32_t tokens,
                           int64_t took_ms);
/** PEER has gone. */
void profile_forget (struct beryl_forward *f, const char *peer);

/* loans.c */
/** A repeat of S was sent, or could not be: ask others for some if few are
 * left. */
void loans_check (struct beryl_forward *f, struct service *s, int64_t now_ms);

/* request.c */
/** Begin ROUTE's terms for FACTS, which are copied. */
struct request *forward_request_new (struct beryl_forward *f,
                                     const struct beryl_forward_request *facts,
                                     const struct beryl_route *route);
/** Release R, which has no open exchange. */
void forward_request_free (struct beryl_forward *f, struct request *r);
/** The terms of repeats for all services. */
struct repeat_terms forward_repeat_terms (const struct beryl_forward *f);
/** Count R's arrival at S: repeats are allowed by it. */
void forward_request_count (struct beryl_forward *f, struct service *s,
                            int64_t now_ms);
/** Return the fingerprint of what R asks; 0: the owner does not know it. */
uint64_t forward_request_fingerprint (struct beryl_forward *f,
                                      struct request *r);
/** Log one step. */
void forward_request_decided (struct beryl_forward *f, const struct request *r,
                              const char *step, const struct beryl_live *live,
                              const char *outcome, int64_t number,
                              int64_t now_ms);
/** End R: abort what is open, free its memory at engines, release it. */
void forward_request_end (struct beryl_forward *f, struct request *r,
                          int64_t now_ms);
/** Answer R by this node's own refusal and end it. */
void forward_request_refuse (struct beryl_forward *f, struct request *r,
                             unsigned int status,
                             enum beryl_refusal_reason reason,
                             int64_t retry_after_ms, int64_t now_ms);
/** End R with the failure that fits what became of it. */
void forward_request_fail (struct beryl_forward *f, struct request *r,
                           enum beryl_refusal_reason reason, int64_t now_ms);
/** Whether R is planned at model engines. */
bool forward_request_is_generation (const struct request *r);
/** Whether R's run can be moved to another engine. */
bool forward_request_movable (const struct request *r);
/** Whether R may run again although it may have run. */
bool forward_request_repeatable (const struct request *r);
/** The endpoint that R was sent to runs it, or may do so. */
void forward_request_count_run (struct request *r);
/** Whether one more send, a repeat, fits R's terms and the budget; takes it
 * from the budget. */
bool forward_request_take_repeat (struct beryl_forward *f, struct request *r,
                                  int64_t now_ms);
/** Return how many such sends the budget has left, and take COUNT. */
uint32_t forward_request_repeats_left (struct beryl_forward *f,
                                       const struct request *r,
                                       int64_t now_ms);
void forward_request_take_repeats (struct beryl_forward *f, struct request *r,
                                   uint32_t count, int64_t now_ms);
void forward_request_note_tried (struct request *r,
                                 const struct beryl_live *live);
bool forward_request_tried (const struct request *r,
                            const struct beryl_live *live);

/* plain.c */
void plain_start (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** X of R ended without an answer that goes to the caller. */
void plain_attempt_failed (struct beryl_forward *f, struct request *r,
                           int64_t now_ms);
void plain_due (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** Learn from the time to the head of an answer. */
void service_learn (struct service *s, int64_t took_ms);
/** Return after how long an answer is unusually late. */
int64_t service_late_ms (const struct service *s);

/* place.c */
/** Have R wait for room at a decode engine, and ask for it. */
void place_wait (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** R gave up the place that it had found: it waits on. */
void place_put_off (struct beryl_forward *f, struct request *r,
                    int64_t now_ms);
/** R waits for room no more. */
void place_wait_end (struct beryl_forward *f, struct request *r);
/** Ask the next engine. */
void place_ask (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** R's time to wait or to ask again is over. */
void place_due (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** The engine of X granted or refused room. */
void place_granted (struct beryl_forward *f, struct exchange *x,
                    const struct beryl_engine_result *result, int64_t now_ms);
void place_refused (struct beryl_forward *f, struct exchange *x,
                    int64_t now_ms);
/** An engine that R asked for room could not be heard. */
void place_no_answer (struct beryl_forward *f, struct request *r,
                      int64_t now_ms);
/** Engines have come or gone: those that wait ask again at the next tick. */
void place_look_again (struct beryl_forward *f, int64_t now_ms);
/** Ask LIVE for the memory that R needs. */
struct exchange *place_reserve (struct beryl_forward *f, struct request *r,
                                struct beryl_live *live, int64_t now_ms);
/** Take what the engine of X, which is then forgotten, has granted. */
void place_take (struct beryl_forward *f, struct exchange *x,
                 const struct beryl_engine_result *result, int64_t now_ms);
/** Give back what is still reserved of PLACE, and forget it. */
void place_release (struct beryl_forward *f, struct reservation *place,
                    int64_t now_ms);
/** Forget a claim on memory without telling the engine. */
void place_clear (struct beryl_forward *f, struct reservation *place);
/** Give a reservation back to its engine. */
void place_give_back (struct beryl_forward *f, struct beryl_live *live,
                      const char *handle, int64_t now_ms);

/* generation.c */
void generation_start (struct beryl_forward *f, struct request *r,
                       int64_t now_ms);
/** Start an exchange of R with LIVE. */
void generation_exchange (struct beryl_forward *f, struct request *r,
                          struct beryl_exchange_start *start,
                          struct beryl_live *live, int64_t now_ms);
/** R has a place. */
void generation_placed (struct beryl_forward *f, struct request *r,
                        int64_t now_ms);
/** Send R to the engine where its memory is reserved, with its KV cache if it
 * has one. */
void generation_run (struct beryl_forward *f, struct request *r,
                     int64_t now_ms);
void generation_result (struct beryl_forward *f, struct exchange *x,
                        const struct beryl_engine_result *result,
                        int64_t now_ms);
/** An exchange of R's of KIND broke; SENT as in beryl_forward_broken. */
void generation_broken (struct beryl_forward *f, struct request *r,
                        enum beryl_exchange_kind kind, bool sent,
                        int64_t now_ms);
/** The engine said that it did not run R; WRONG_STAGE: because it does other
 * work now. */
void generation_not_run (struct beryl_forward *f, struct request *r,
                         bool wrong_stage, int64_t now_ms);
void generation_due (struct beryl_forward *f, struct request *r,
                     int64_t now_ms);
/** Give back what R holds at engines. */
void generation_release (struct beryl_forward *f, struct request *r,
                         int64_t now_ms);
/** The run of R at its decode engine ended. */
void generation_run_over (struct beryl_forward *f, struct request *r);
/** Forget a KV cache without telling the engine. */
void kv_clear (struct beryl_forward *f, struct kv_cache *kv);

/** Begin R anew after something did not work out; what KV cache there is may
 * still serve. */
void generation_start_over (struct beryl_forward *f, struct request *r,
                            int64_t now_ms);
/** LIVE has said that it has the other stage now. */
void generation_learn_stage (struct beryl_live *live);
/** LIVE has rejected what it had room for: leave it alone for a while. */
void generation_rejected (struct beryl_live *live, int64_t now_ms);

/* prefill.c */
/** Whether R, which asks for a place, would find that its prompt cannot be
 * read in time. */
bool prefill_is_behind (struct beryl_forward *f, const struct request *r,
                        int64_t now_ms);
/** Whether the engine with R's place has its prompt already. */
bool prefill_is_needless (struct beryl_forward *f, struct request *r,
                          int64_t now_ms);
/** R has a place: have its prompt read. */
void prefill_start (struct beryl_forward *f, struct request *r,
                    int64_t now_ms);
/** The engine of X has read the prompt. */
void prefill_done (struct beryl_forward *f, struct request *r,
                   struct exchange *x,
                   const struct beryl_engine_result *result, int64_t now_ms);
/** The engine of X has refused to. */
void prefill_refused (struct beryl_forward *f, struct request *r,
                      struct exchange *x,
                      const struct beryl_engine_result *result,
                      int64_t now_ms);

/* stream.c */
/** Return when R's stream is to be looked at again. */
int64_t stream_due_ms (const struct request *r);
void stream_due (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** Whether R's stream may go on at another engine by its terms and the
 * budget. */
bool stream_may_go_on (struct beryl_forward *f, struct request *r,
                       int64_t now_ms);
/** R's stream has had one more event: learn how fast it goes. */
void stream_learn_pace (const struct request *r, int64_t now_ms);
/** R's answer is whole: learn from its length. */
void stream_learn (struct beryl_forward *f, const struct request *r);

/* seek.c */
/** Look for another engine for R's stream, which its own does not go on
 * with; WHY is for the log.  Nothing if its terms do not allow that. */
void seek_start (struct beryl_forward *f, struct request *r, const char *why,
                 int64_t now_ms);
/** R's time to look again is over. */
void seek_due (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** An engine has no room for R, or did not answer. */
void seek_refused (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** The engine of X has room: R goes on there. */
void seek_granted (struct beryl_forward *f, struct exchange *x,
                   const struct beryl_engine_result *result, int64_t now_ms);
/** R's stream goes on, or has ended: nothing is looked for any more. */
void seek_end (struct beryl_forward *f, struct request *r);

/* balance.c */
/** Move runs away from engines that are about to run out of memory. */
void generation_balance (struct beryl_forward *f, int64_t now_ms);

/* answer.c */
void answer_head (struct beryl_forward *f, struct exchange *x, int64_t now_ms);
void answer_data (struct beryl_forward *f, struct exchange *x,
                  const char *bytes, size_t bytes_count, int64_t now_ms);
void answer_done (struct beryl_forward *f, struct exchange *x, int64_t now_ms);
void answer_broken (struct beryl_forward *f, struct exchange *x,
                    enum beryl_break how, bool sent, int64_t now_ms);

/* move.c */
/** Begin to move R's run to TARGET. */
void move_start (struct beryl_forward *f, struct request *r,
                 struct beryl_live *target, int64_t now_ms);
/** The engine answered X, a move. */
void move_result (struct beryl_forward *f, struct exchange *x,
                  const struct beryl_engine_result *result, int64_t now_ms);
/** A move of R's broke; SENT as in beryl_forward_broken. */
void move_broken (struct beryl_forward *f, struct request *r, bool sent,
                  int64_t now_ms);
/** R's stream ended early; true if that is part of its being moved. */
bool move_takes_end (struct beryl_forward *f, struct request *r,
                     int64_t now_ms);
/** The engine that R's run was moved to rejected it: go on where it was
 * stopped; false if that was tried already. */
bool move_return (struct beryl_forward *f, struct request *r, int64_t now_ms);
/** Forget that R is being moved. */
void move_clear (struct beryl_forward *f, struct request *r);

/* backlog.c */
/** A request without a place asks again after so long; much shorter and the
 * engines answer little else, much longer and freed memory stands empty. */
#define ASK_AGAIN_MS 120
/** How long it takes until other nodes have heard of a choice: they are told
 * after 30 ms. */
#define NEWS_MS 50
/** Return how many requests of R's service choose engines before they can hear
 * of each other's choices. */
double backlog_at_once (struct beryl_forward *f, const struct request *r,
                        int64_t now_ms);
/** Return how many generations of R's service wait for room at all nodes. */
uint32_t backlog_waiting (const struct beryl_forward *f,
                          const struct request *r, int64_t now_ms);
/** Return how long R will wait for room, by the places that free up and those
 * that wait already; 0: not known. */
int64_t backlog_wait_ms (struct beryl_forward *f, const struct request *r,
                         int64_t now_ms);
/** Return when R's caller may come back after a refusal. */
int64_t backlog_retry_after_ms (struct beryl_forward *f,
                                const struct request *r, int64_t now_ms);

/* engines.c */
/** Return the runs at all decode engines of R's service. */
uint32_t engine_runs (struct beryl_forward *f, const struct request *r,
                      int64_t now_ms);
/** Return the highest expected use of LIVE's memory if R ran there too. */
double engine_peak_with (struct beryl_forward *f, const struct request *r,
                         const struct beryl_live *live, double deviations,
                         int64_t now_ms);
/** LIVE granted or refused TOKENS: learn what unknown runs use there. */
void engine_learn_room (struct beryl_forward *f, const struct request *r,
                        struct beryl_live *live, uint32_t tokens, bool granted,
                        int64_t now_ms);
/** Choose an engine that R's run may move to; NULL: none has room. */
struct beryl_live *engine_choose_target (struct beryl_forward *f,
                                         const struct request *r,
                                         int64_t now_ms);
/** Whether R's run is the newest at its engine. */
bool engine_newest (struct beryl_forward *f, const struct request *r,
                    int64_t now_ms);
/** Whether LIVE has read R's prompt already. */
bool engine_is_warm_for (const struct request *r,
                         const struct beryl_live *live);
/** What is foreseen of a service's engines. */
struct engine_outlook
{
  /** Part of its memory that the emptiest engine will fill with one more
   * request; 0: there is none to be asked. */
  double lowest;
  double places; /**< for requests of that size */
};

/** Choose a decode engine to ask for room; NULL: none may have it.  *OUTLOOK
 * must be zero before. */
struct beryl_live *engine_choose_decode (struct beryl_forward *f,
                                         const struct request *r,
                                         struct engine_outlook *outlook,
                                         int64_t now_ms);
/** Choose an engine to read R's prompt; NULL: none.  WAIT_MS is how long
 * what it has to read already will take. */
struct beryl_live *engine_choose_prefill (struct beryl_forward *f,
                                          const struct request *r,
                                          int64_t *wait_ms, int64_t now_ms);
/** Whether there is an engine that reads prompts, limits apart. */
bool engine_may_prefill (struct beryl_forward *f, const struct request *r,
                         int64_t now_ms);
/** Return how long the prefill engine with the shortest queue is busy; 0:
 * there is none. */
int64_t engine_prefill_wait_ms (struct beryl_forward *f,
                                const struct request *r, int64_t now_ms);
/** Describe R's run at its engine. */
void engine_describe_run (const struct request *r, int64_t now_ms,
                          struct beryl_engine_run *run);
/** Foresee the memory of LIVE. */
void engine_curve (struct beryl_forward *f, const struct service *s,
                   const struct beryl_live *live, int64_t now_ms,
                   struct book_curve *curve);

#endif
