/** @file
 * Internal interfaces of the platform client.
 */
#ifndef PLATFORM_PRIVATE_H
#define PLATFORM_PRIVATE_H

#include <jansson.h>
#include <sys/queue.h>

#include "beryl/clock.h"
#include "beryl/platform.h"

/** Buffer size for the path of a call, including its query. */
#define PATH_BYTES 512

/** Reads and writes have separate rate limits. */
enum rate_class
{
  RATE_READS,
  RATE_WRITES,
  RATE_COUNT,
};

struct job;

/** Implementation of a job: its call and the handling of the outcome. */
struct job_impl
{
  /** Fill in CALL; PATH is its buffer. */
  void (*call) (struct beryl_platform *p, struct job *job,
                struct beryl_platform_call *call, char path[PATH_BYTES],
                int64_t now_ms);
  /** Handle an answer with a status below 500 other than 429; JSON is NULL if
   * malformed.
   * The job is idle and must be queued again or freed. */
  void (*answer) (struct beryl_platform *p, struct job *job,
                  unsigned int status, const json_t *json, int64_t now_ms);
  /** Handle a failed call; NO_EFFECT if it certainly had no effect. */
  void (*failed) (struct beryl_platform *p, struct job *job, bool no_effect,
                  int64_t now_ms);
};

enum job_state
{
  JOB_IDLE,
  JOB_SLEEPING, /**< until not_before_ms */
  JOB_READY,    /**< waits for the budget */
  JOB_CALLING,  /**< call in progress */
};

/** Schedulable part of a fetch or watch, which makes one call at a time. */
struct job
{
  const struct job_impl *impl;
  TAILQ_ENTRY (job) entry;
  enum job_state state;
  enum beryl_platform_use use;
  enum rate_class rate_class;
  bool is_watch;        /**< calls without an answer do not open the breaker */
  bool counted_delayed; /**< already counted as delayed */
  bool answer_started;  /**< the answer has begun to arrive */
  uint64_t call;
  int64_t not_before_ms;
  uint32_t failures; /**< consecutive failures */
};

TAILQ_HEAD (job_queue, job);

/** A token bucket with one fair queue per use. */
struct budget
{
  double rate_per_s;
  double tokens;
  int64_t refilled_ms;
  int64_t paused_until_ms; /**< end of the pause after a 429 answer */
  uint32_t refusals;       /**< 429 answers in a row */
  struct job_queue ready[BERYL_USE_COUNT];
  double finish[BERYL_USE_COUNT]; /**< virtual finish time of the last call */
  double virtual_time;
};

enum breaker_state
{
  BREAKER_CLOSED,
  BREAKER_OPEN,
  BREAKER_HALF_OPEN, /**< one probe is in progress */
};

/** Circuit breaker for calls to a platform that does not answer. */
struct breaker
{
  enum breaker_state state;
  uint32_t failures; /**< consecutive failures */
  uint32_t openings; /**< consecutive openings */
  int64_t open_until_ms;
  uint64_t probe; /**< id of the probing call */
};

/** A request that waits for a fetch. */
struct waiter
{
  LIST_ENTRY (waiter) entry; /**< in its fetch or among the completed ones */
  uint64_t request;
  int64_t deadline_ms;
  bool wait_for_recovery;
  enum beryl_platform_use use;
  uint64_t min_version;
  enum beryl_error_code code; /**< result once completed */
};

LIST_HEAD (waiter_list, waiter);

/** Buffer size for the name after which a list continues. */
#define LISTING_AFTER_BYTES 256

/** Objects collected from one or more pages of a list. */
struct listing
{
  struct beryl_object *objects;
  size_t count;
  size_t capacity;
  uint64_t revision; /**< lowest revision of the pages; 0 before the first */
  bool more;
  char after[LISTING_AFTER_BYTES]; /**< name to continue after; not
                                      necessarily that of a listed object */
};

enum fetch_type
{
  FETCH_GET,
  FETCH_LIST,
  FETCH_PUT,
  FETCH_DELETE,
};

/** An operation in progress: a read shared by several requests, or one write
 * or deletion. */
struct fetch
{
  struct job job;
  LIST_ENTRY (fetch) entry;
  enum fetch_type type;
  struct waiter_list waiters;
  char kind[BERYL_NAME_BYTES];
  char name[BERYL_NAME_BYTES]; /**< name, or prefix of a list */
  /** A write of this client to the kind ended while the read was pending, so
   * its answer may be too old for a new request. */
  bool outdated;
  struct listing listing;
  enum beryl_condition condition;
  char version[24]; /**< decimal, for the If-Match header */
  char *value;
  size_t value_bytes;
  char nonce[BERYL_NONCE_BYTES];
  bool maybe_applied;        /**< an earlier attempt may have taken effect */
  bool restart;              /**< discard the answer and list anew */
  bool condition_outdated;   /**< its version is of an earlier era */
  bool reading_back;         /**< reads the value back after a conflict */
  uint64_t conflict_version; /**< version that the write conflicted with */
};

LIST_HEAD (fetch_list, fetch);

/** Last state of an object seen by a watch. */
struct known_object
{
  char name[BERYL_NAME_BYTES];
  uint64_t version;
  bool listed; /**< part of the current list */
};

/** Removed objects that a watch remembers. */
#define REMOVED_MAX 64

/** An object that was reported as deleted.  If an older copy of the platform
 * shows it again, it stays deleted until it is written again or the copy is
 * trusted. */
struct removed_object
{
  char name[BERYL_NAME_BYTES]; /**< "": unused */
  uint64_t deleted;            /**< version of the deletion */
  uint64_t copied; /**< version that the copy shows; 0 if it shows none */
};

/** A watch on all objects of a kind or on the instance list. */
struct watch
{
  struct job job;
  LIST_ENTRY (watch) entry;
  uint64_t id;
  char kind[BERYL_NAME_BYTES];
  bool instances;   /**< watches the instance list */
  bool list_due;    /**< the next call lists all objects; for the instance
                        list: none was received yet */
  bool refresh_due; /**< the next call must not long-poll */
  bool removed;     /**< to be freed once its callbacks have returned */
  bool in_callback;
  bool paused; /**< calls only on refresh; see beryl_platform_watch_pause */
  int64_t wait_ms;    /**< long-poll time; 0: as in the settings */
  int64_t changed_ms; /**< when the store last answered with a change, or a
                         list */
  uint64_t revision;
  struct listing listing;
  struct known_object *known; /**< sorted by name */
  size_t known_count;
  size_t known_capacity;
  bool outdated;     /**< the call in progress was made in an earlier era */
  int64_t relist_ms; /**< when the list is to be trusted after a new era began;
                        0: it is */
  int64_t hidden_until_ms; /**< lists do not bring back deleted objects until
                              then */
  bool hides_deleted;      /**< such a list is being applied */
  struct removed_object removed_objects[REMOVED_MAX];
  size_t removed_next;
};

LIST_HEAD (watch_list, watch);

struct beryl_platform
{
  struct beryl_platform_handler *handler;
  struct beryl_platform_settings settings;
  struct beryl_platform_counts counts;
  struct budget budgets[RATE_COUNT];
  struct breaker breaker;
  struct job_queue sleeping;
  struct job_queue calling;
  struct fetch_list fetches;
  struct watch_list watches;
  struct waiter_list completed;  /**< results due at the next tick */
  struct waiter_list delivering; /**< results being delivered */
  uint32_t waiter_count;
  uint64_t last_id;
  uint64_t era; /**< newest one; 0 if the platform states none */
  uint64_t random;
};

/* random.c */
/** Return a random delay between half of LIMIT_MS and LIMIT_MS. */
int64_t platform_random_jitter_ms (uint64_t *state, int64_t limit_ms);

/* schedule.c */
void platform_schedule_init (struct beryl_platform *p);
/** Queue an idle job for a call as soon as the budget allows. */
void platform_job_ready (struct beryl_platform *p, struct job *job);
/** Queue an idle job for a call at UNTIL_MS. */
void platform_job_sleep (struct beryl_platform *p, struct job *job,
                         int64_t until_ms);
/** Queue an idle job for a call after a backoff delay. */
void platform_job_back_off (struct beryl_platform *p, struct job *job,
                            int64_t now_ms);
/** Make a job idle; an open call is aborted. */
void platform_job_stop (struct beryl_platform *p, struct job *job);
/** Find the job that made CALL; NULL if unknown. */
struct job *platform_job_find (struct beryl_platform *p, uint64_t call);
/** Find the job that made CALL and make it idle; NULL if unknown. */
struct job *platform_job_take (struct beryl_platform *p, uint64_t call);
/** Start all calls that are allowed at NOW_MS. */
void platform_schedule_run (struct beryl_platform *p, int64_t now_ms);
/** Return the time at which platform_schedule_run is due. */
int64_t platform_schedule_next_ms (const struct beryl_platform *p);

/* breaker.c */
/** Return whether a call may be made. */
bool platform_breaker_allows (const struct breaker *breaker, int64_t now_ms);
void platform_breaker_sent (struct beryl_platform *p, uint64_t call);
void platform_breaker_succeeded (struct beryl_platform *p);
/** Record a failed call; CAN_OPEN if it counts towards opening a closed
 * breaker. */
void platform_breaker_failed (struct beryl_platform *p, uint64_t call,
                              bool can_open, int64_t now_ms);
/** Record that a call was aborted; an aborted probe must not leave the breaker
 * half open. */
void platform_breaker_aborted (struct beryl_platform *p, uint64_t call);

/* fetch.c */
bool platform_fetch_is_read (const struct fetch *fetch);
struct fetch *platform_fetch_new (struct beryl_platform *p,
                                  enum fetch_type type,
                                  enum beryl_platform_use use,
                                  const char *kind, const char *name);
/** Deliver RESULT to the waiters in p->delivering one by one; each callback
 * may cancel others of them. */
void platform_deliver_results (struct beryl_platform *p,
                               const struct beryl_platform_result *result);
void platform_fetch_free (struct beryl_platform *p, struct fetch *fetch);
/** Begin a list again whose first pages are of an earlier era. */
void platform_fetch_restart (struct fetch *fetch);

/* request.c */
/** End the waiters whose deadline has passed and, if FAIL_FAST, those that do
 * not wait for recovery while the breaker is not closed; deliver the results
 * in p->completed. */
void platform_fetches_expire (struct beryl_platform *p, bool fail_fast,
                              int64_t now_ms);
int64_t platform_fetches_next_ms (const struct beryl_platform *p);

/* watch.c */
void platform_watch_free (struct beryl_platform *p, struct watch *watch);
/** List all objects again, since the answer to CALL showed a new era.  CALL
 * may be that of WATCH. */
void platform_watch_restart (struct beryl_platform *p, struct watch *watch,
                             uint64_t call, int64_t now_ms);

/* reply.c */
/** Read an object of KIND into OBJECT, which must be cleared with
 * platform_object_clear; false if it is malformed. */
bool platform_object_read (const json_t *json, const char *kind,
                           struct beryl_object *object);
/** Free the contents of OBJECT. */
void platform_object_clear (struct beryl_object *object);
/** Read a version or revision; false if absent or negative. */
bool platform_number_read (const json_t *json, const char *key,
                           uint64_t *number);
/** Add a page to a listing; false if it is malformed. */
bool platform_listing_add (struct listing *listing, const json_t *json,
                           const char *kind);
void platform_listing_clear (struct listing *listing);
/** Read an entry of the instance list; false if it is malformed. */
bool platform_instance_read (const json_t *json,
                             struct beryl_instance *instance);
/** Return whether the value of OBJECT has the given nonce. */
bool platform_value_has_nonce (const struct beryl_object *object,
                               const char *nonce);

#endif
