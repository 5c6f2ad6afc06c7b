/** @file
 * Parts of the platform client, shared by its modules.
 */
#ifndef PLATFORM_PRIVATE_H
#define PLATFORM_PRIVATE_H

#include <jansson.h>
#include <sys/queue.h>

#include "beryl/clock.h"
#include "beryl/platform.h"

/** Longest path of a call, with its query. */
#define PATH_BYTES 512

/** Reads and writes have rates of their own. */
enum rate_class
{
  RATE_READS,
  RATE_WRITES,
  RATE_COUNT,
};

struct job;

/** What a job does when its call may be made and when it ended. */
struct job_impl
{
  /** Fill in CALL; PATH is its buffer. */
  void (*call) (struct beryl_platform *p, struct job *job,
                struct beryl_platform_call *call, char path[PATH_BYTES]);
  /** An answer below 500 other than 429 came; JSON is NULL if malformed.
   * The job is idle and must be queued again or freed. */
  void (*answer) (struct beryl_platform *p, struct job *job,
                  unsigned int status, const json_t *json, int64_t now_ms);
  /** The call failed; SAFE if it certainly had no effect. */
  void (*failed) (struct beryl_platform *p, struct job *job, bool safe,
                  int64_t now_ms);
};

enum job_state
{
  JOB_IDLE,
  JOB_SLEEPING, /**< until not_before_ms */
  JOB_READY,    /**< waits for the budget */
  JOB_CALLING,
};

/** Something that makes one call at a time. */
struct job
{
  const struct job_impl *impl;
  TAILQ_ENTRY (job) entry;
  enum job_state state;
  enum beryl_platform_use use;
  enum rate_class rate_class;
  bool is_watch;        /**< its failures don't open the breaker */
  bool counted_delayed; /**< was counted as delayed */
  bool answer_started;  /**< the answer of its call */
  uint64_t call;
  int64_t not_before_ms;
  uint32_t failures; /**< in a row */
};

TAILQ_HEAD (job_queue, job);

/** A token bucket and the fair queues before it. */
struct budget
{
  double rate_per_s;
  double tokens;
  int64_t refilled_ms;
  int64_t paused_until_ms; /**< the platform said: over the rate */
  struct job_queue ready[BERYL_USE_COUNT];
  double finish[BERYL_USE_COUNT]; /**< virtual finish time of the last call */
  double virtual_time;
};

enum breaker_state
{
  BREAKER_CLOSED,
  BREAKER_OPEN,
  BREAKER_HALF_OPEN, /**< one call is out to probe */
};

/** Stops calls to a platform that doesn't answer. */
struct breaker
{
  enum breaker_state state;
  uint32_t failures;
  uint32_t openings; /**< in a row */
  int64_t open_until_ms;
  uint64_t probe; /**< the call */
};

/** Somebody who waits for a fetch. */
struct waiter
{
  LIST_ENTRY (waiter) entry; /**< of its fetch or of the ended ones */
  uint64_t request;
  int64_t deadline_ms;
  bool wait_for_recovery;
  enum beryl_platform_use use;
  uint64_t min_version;
  enum beryl_error_code code; /**< of an ended one */
};

LIST_HEAD (waiter_list, waiter);

/** Longest name after which a list goes on. */
#define LISTING_AFTER_BYTES 256

/** Objects gathered from one or more pages. */
struct listing
{
  struct beryl_object *objects;
  size_t count;
  size_t capacity;
  uint64_t revision; /**< lowest of the pages; 0 before the first */
  bool more;
  char after[LISTING_AFTER_BYTES]; /**< may be the name of a foreign object */
};

enum fetch_type
{
  FETCH_GET,
  FETCH_LIST,
  FETCH_PUT,
  FETCH_DELETE,
};

/** A read that several may wait for, or one write. */
struct fetch
{
  struct job job;
  LIST_ENTRY (fetch) entry;
  enum fetch_type type;
  struct waiter_list waiters;
  char kind[BERYL_NAME_BYTES];
  char name[BERYL_NAME_BYTES]; /**< or prefix */
  /** A write of ours to the kind ended while the read was under way: its
   * answer may be older than what a new asker already knows. */
  bool outdated;
  struct listing listing;
  enum beryl_condition condition;
  char version[24]; /**< decimal, for the If-Match header */
  char *value;
  size_t value_bytes;
  char nonce[BERYL_NONCE_BYTES];
  bool maybe_applied;        /**< an earlier try may have taken effect */
  bool reading_back;         /**< the repeated write met a conflict */
  uint64_t conflict_version; /**< the version it met */
};

LIST_HEAD (fetch_list, fetch);

/** What a watch knows of one object. */
struct known_object
{
  char name[BERYL_NAME_BYTES];
  uint64_t version;
  bool listed;
};

struct watch
{
  struct job job;
  LIST_ENTRY (watch) entry;
  uint64_t id;
  char kind[BERYL_NAME_BYTES];
  bool instances;
  bool listing_now;
  bool refresh_due; /**< the next call must not wait */
  bool removed;     /**< freed once its callbacks have returned */
  bool in_callback;
  bool paused;     /**< fed by others; calls only when poked */
  int64_t wait_ms; /**< of its calls; 0: as in the settings */
  uint64_t revision;
  struct listing listing;
  struct known_object *known; /**< in order of names */
  size_t known_count;
  size_t known_capacity;
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
  struct waiter_list completed;  /**< told at the next tick */
  struct waiter_list delivering; /**< being told */
  uint32_t waiter_count;
  uint64_t last_id;
  uint64_t random;
};

/* random.c */
/** Return a delay of up to LIMIT_MS, at least half of it. */
int64_t platform_random_jitter_ms (uint64_t *state, int64_t limit_ms);

/* schedule.c */
void platform_schedule_init (struct beryl_platform *p);
/** Queue an idle job for a call now. */
void platform_job_ready (struct beryl_platform *p, struct job *job);
/** Queue an idle job for a call at UNTIL_MS. */
void platform_job_sleep (struct beryl_platform *p, struct job *job,
                         int64_t until_ms);
/** Queue an idle job after a failure, with back-off. */
void platform_job_back_off (struct beryl_platform *p, struct job *job,
                            int64_t now_ms);
/** Take a job out of every queue; an open call is aborted. */
void platform_job_stop (struct beryl_platform *p, struct job *job);
/** Find the job that made CALL; NULL if unknown. */
struct job *platform_job_find (struct beryl_platform *p, uint64_t call);
/** Find the job whose call ended and make it idle; NULL if unknown. */
struct job *platform_job_take (struct beryl_platform *p, uint64_t call);
/** Start all calls that may be made at NOW_MS. */
void platform_schedule_run (struct beryl_platform *p, int64_t now_ms);
/** Return when schedule_run has something to do. */
int64_t platform_schedule_next_ms (const struct beryl_platform *p);

/* breaker.c */
/** Whether a call may be made. */
bool platform_breaker_allows (const struct breaker *breaker, int64_t now_ms);
void platform_breaker_sent (struct beryl_platform *p, uint64_t call);
void platform_breaker_succeeded (struct beryl_platform *p);
void platform_breaker_failed (struct beryl_platform *p, uint64_t call,
                              bool counts, int64_t now_ms);
/** A call was given up without an answer. */
void platform_breaker_aborted (struct beryl_platform *p, uint64_t call);

/* fetch.c */
bool platform_fetch_is_read (const struct fetch *fetch);
struct fetch *platform_fetch_new (struct beryl_platform *p,
                                  enum fetch_type type,
                                  enum beryl_platform_use use,
                                  const char *kind, const char *name);
/** Tell the waiters in p->telling, one after another; each callback may
 * forget others of them. */
void platform_deliver_results (struct beryl_platform *p,
                               const struct beryl_platform_result *result);
void platform_fetch_free (struct beryl_platform *p, struct fetch *fetch);

/* request.c */
/** End the waiters whose time is over and, if REFUSING, those that do not
 * wait while the platform is away. */
void platform_fetches_expire (struct beryl_platform *p, bool fail_fast,
                              int64_t now_ms);
int64_t platform_fetches_next_ms (const struct beryl_platform *p);

/* watch.c */
void platform_watch_free (struct beryl_platform *p, struct watch *watch);

/* reply.c */
/** Read an object; its parts are borrowed from JSON, the value is to be
 * freed by object_clear. */
bool platform_object_read (const json_t *json, const char *kind,
                           struct beryl_object *object);
/** Release the copies in OBJECT. */
void platform_object_clear (struct beryl_object *object);
/** Read a version or revision; false if absent or negative. */
bool platform_number_read (const json_t *json, const char *key,
                           uint64_t *number);
/** Add a page; false if it is malformed. */
bool platform_listing_add (struct listing *listing, const json_t *json,
                           const char *kind);
void platform_listing_clear (struct listing *listing);
/** Read an entry of the instance list; false if it is malformed. */
bool platform_instance_read (const json_t *json,
                             struct beryl_instance *instance);
/** Whether a value carries NONCE. */
bool platform_value_has_nonce (const struct beryl_object *object,
                               const char *nonce);

#endif
