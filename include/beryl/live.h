/** @file
 * The endpoints that service discovery shows at present, and what this node
 * has learned from its own calls to them.
 *
 * Discovery says who exists and who is leaving; outcomes say who works.  An
 * endpoint that fails is avoided, not forgotten: it gets a trial from time to
 * time, and the last one of a service is never left out.
 *
 * No I/O.  Not thread-safe.
 */
#ifndef BERYL_LIVE_H
#define BERYL_LIVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

/** What an engine is set to do at present. */
enum beryl_stage
{
  BERYL_STAGE_NONE, /**< a plain service's process */
  BERYL_STAGE_PREFILL,
  BERYL_STAGE_DECODE,
};

/** One endpoint as discovery tells of it. */
struct beryl_live_info
{
  char id[BERYL_NAME_BYTES]; /**< kept when the process starts again */
  char service[BERYL_NAME_BYTES];
  char address[48]; /**< IP number */
  uint16_t port;
  char data_centre[BERYL_NAME_BYTES];
  uint32_t slots; /**< requests at a time; 0: unknown */
  bool leaving;   /**< takes no new work */
  enum beryl_stage stage;
  /** When this life of the process began, in Unix milliseconds of its own
   * clock; 0: not told.  A process may start again under its id, so that the
   * two together name one life.  Compared for being the same, never with the
   * time here: clocks differ and jump. */
  uint64_t process_start_ms;
  uint64_t revision; /**< of this news */
};

/** Former lives of an endpoint that are remembered. */
#define BERYL_LIVE_PREVIOUS_MAX 4

/** The most that an endpoint takes from all nodes together. */
struct beryl_rate_limit
{
  bool advertised;      /**< otherwise it takes whatever it has room for */
  uint32_t milli_per_s; /**< thousandths of a request a second */
};

/** One endpoint. */
struct beryl_live
{
  struct beryl_live_info info;
  bool gone; /**< left the list; kept while work is open there */
  /** Its entry has lapsed with an outage of the list; it counts as gone from
   * then on unless it is back.  0: not so. */
  int64_t lapsed_until_ms;
  /** When an answer showed that another process has its address, which proves
   * that this one has ended; 0: none did. */
  int64_t replaced_ms;
  int64_t unreachable_ms; /**< last connection of this node that it did not
                             accept; 0: none since an answer */
  int64_t answered_ms;    /**< last answer to this node; 0: none */
  uint32_t
      suspected_by;     /**< the peer that could not reach it last; a number */
  int64_t suspected_ms; /**< when that was told */
  int64_t leaving_since_ms; /**< when it was first known to leave; 0: it does
                               not */
  int64_t stage_change_until_ms; /**< an engine that was ordered to another
                                    stage */
  uint32_t open_exchanges;       /**< exchanges of this node */
  int64_t
      last_failure_ms; /**< time of the last failure; 0: none since success */
  uint32_t consecutive_failures; /**< in a row */
  int64_t avoid_until_ms;
  int64_t last_probe_ms;   /**< last trial while avoided */
  double response_time_ms; /**< usual time to an answer; 0: unknown */
  double failure_rate;     /**< recent share of failures, 0 to 1 */
  int64_t
      oldest_open_ms; /**< since when the oldest open request waits; 0: none */
  double unreported_tokens;    /**< used there by runs that nobody told of */
  int64_t unreported_since_ms; /**< when that was learned */
  int64_t
      combined_run_ms;   /**< when it was last given a prompt to read itself */
  int64_t full_until_ms; /**< it said it has no room; do not ask before */
  uint32_t open_prefills;       /**< this node has open there */
  uint64_t open_prefill_tokens; /**< of these */
  /** Births of lives before this one under the same id, the newest first; what
   * they say may still come late.  0: none. */
  uint64_t previous_starts_ms[BERYL_LIVE_PREVIOUS_MAX];
};

struct beryl_live_set;

/** Create an empty set.  LEAVE_MS is how long after an endpoint left the list
 * it may still get work. */
struct beryl_live_set *beryl_live_set_create (int64_t leave_ms);

/** Release the set; NULL is allowed. */
void beryl_live_set_destroy (struct beryl_live_set *lives);

/** Return the number that stands for this life of an endpoint in messages. */
uint32_t beryl_live_hash (const struct beryl_live *live);

/** Take news of an endpoint that came at NOW_MS; older ones than known, and
 * those of a former life, are ignored.  One that has started again is a new
 * endpoint, of which nothing is known; the former one is replaced and gone.
 * Returns the endpoint. */
struct beryl_live *beryl_live_set_put (struct beryl_live_set *lives,
                                       const struct beryl_live_info *info,
                                       int64_t now_ms);

/** The endpoint left the list.  Entries are kept alive by the endpoints, so
 * that an outage of the list makes those of healthy ones lapse; they are back
 * within seconds of its end.  One that leaves right after an outage is kept
 * for as long as it may get work. */
void beryl_live_set_remove (struct beryl_live_set *lives, const char *id,
                            int64_t now_ms);

/** The entry of ID names no endpoint any more: what stands there was not
 * written by it.  Unlike a removed one it is not kept. */
void beryl_live_set_reject (struct beryl_live_set *lives, const char *id,
                            int64_t now_ms);

/** The list was read or confirmed whole at NOW_MS. */
void beryl_live_set_synced (struct beryl_live_set *lives, int64_t now_ms);

/** Return when the list was read or confirmed last; 0: never. */
int64_t beryl_live_set_synced_ms (const struct beryl_live_set *lives);

/** Let go of lapsed endpoints whose time is over; true if there were any. */
bool beryl_live_set_expire (struct beryl_live_set *lives, int64_t now_ms);

/** Find by id, also one that is gone but has open work; NULL if unknown. */
struct beryl_live *beryl_live_set_find (const struct beryl_live_set *lives,
                                        const char *id);

/** Return the number of endpoints, gone ones with open work included, and
 * endpoint I; indices change with put, remove and close. */
size_t beryl_live_set_count (const struct beryl_live_set *lives);
struct beryl_live *beryl_live_set_get (const struct beryl_live_set *lives,
                                       size_t i);

/** Whether new work may go to LIVE at all. */
bool beryl_live_accepts_work (const struct beryl_live *live);

/** Whether work that only LIVE can do may still go to it: it takes work, or is
 * known to leave for less time than such endpoints may get some. */
bool beryl_live_set_allows_bound_work (const struct beryl_live_set *lives,
                                       const struct beryl_live *live,
                                       int64_t now_ms);

/** Whether LIVE, an engine, is being changed to another stage. */
bool beryl_live_stage_changing (const struct beryl_live *live, int64_t now_ms);

/** An exchange with LIVE begins. */
void beryl_live_open (struct beryl_live *live);

/** It ended; a gone endpoint without open work is released. */
void beryl_live_close (struct beryl_live_set *lives, struct beryl_live *live);

/** What became of an exchange. */
enum beryl_live_outcome
{
  BERYL_LIVE_ANSWERED,
  BERYL_LIVE_FAILED,    /**< an error of its own */
  BERYL_LIVE_BROKEN,    /**< reset, garbled or cut */
  BERYL_LIVE_TIMED_OUT, /**< no answer in the usual time, or no connection */
};

/** Learn from an outcome after TOOK_MS. */
void beryl_live_record_outcome (struct beryl_live *live,
                                enum beryl_live_outcome outcome,
                                int64_t took_ms, int64_t now_ms);

/** Another process has answered at LIVE's address. */
void beryl_live_mark_replaced (struct beryl_live *live, int64_t now_ms);

/** LIVE did not accept a connection of this node. */
void beryl_live_mark_unreachable (struct beryl_live *live, int64_t now_ms);

/** The peer with number BY could not reach LIVE a moment ago.  True if LIVE is
 * avoided because of that from now on. */
bool beryl_live_suspect (struct beryl_live *live, uint32_t by, int64_t now_ms);

/** Whether LIVE is avoided at present, and whether a trial of it is due. */
bool beryl_live_avoided (const struct beryl_live *live, int64_t now_ms);
bool beryl_live_probe_due (const struct beryl_live *live, int64_t now_ms);

/** Return the stable name of STAGE. */
const char *beryl_stage_name (enum beryl_stage stage);

#endif
