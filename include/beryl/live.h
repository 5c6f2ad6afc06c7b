/** @file
 * Endpoints that service discovery lists, and their health as observed by this
 * node's own requests.
 *
 * Discovery tells which endpoints exist and which are leaving; outcomes tell
 * which work.  A failing endpoint is avoided rather than removed: it is probed
 * from time to time, and the last endpoint of a service is never excluded.
 *
 * No I/O.  Not thread-safe.
 */
#ifndef BERYL_LIVE_H
#define BERYL_LIVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/event_numbering.h"
#include "beryl/ids.h"

/** Current stage of an engine.  Router and autoscaler use enum beryl_role,
 * which can also be both. */
enum beryl_stage
{
  BERYL_STAGE_NONE, /**< process of a plain service */
  BERYL_STAGE_PREFILL,
  BERYL_STAGE_DECODE,
};

/** Endpoint as listed by discovery. */
struct beryl_live_info
{
  char id[BERYL_NAME_BYTES]; /**< unchanged when the process restarts */
  char service[BERYL_NAME_BYTES];
  char address[48]; /**< IP address */
  uint16_t port;
  char data_centre[BERYL_NAME_BYTES];
  uint32_t slots; /**< concurrent requests; 0: unknown */
  bool leaving;   /**< accepts no new work */
  enum beryl_stage stage;
  char software_version[BERYL_NAME_BYTES]; /**< "" if not stated */
  /** Start of the process, in Unix milliseconds of its own clock; 0: not
   * reported.  A process may restart under its id, so the two together
   * identify one incarnation.  Compared for equality only, never with local
   * time: clocks differ and jump. */
  uint64_t process_start_ms;
  uint64_t revision; /**< revision of this entry */
};

/** Number of previous incarnations of an endpoint that are remembered. */
#define BERYL_LIVE_PREVIOUS_MAX 4

/** Rate limit that an endpoint advertises for all nodes together. */
struct beryl_rate_limit
{
  bool advertised;              /**< false: no limit */
  uint32_t millirequests_per_s; /**< in thousandths of a request per second */
};

/** What this node has learned of an endpoint's limit on connections. */
struct beryl_connection_share
{
  double allowed;     /**< connections of this node right after RESET_MS */
  int64_t reset_ms;   /**< when the endpoint last reset a connection before
                         anything was sent on it; 0: never */
  int64_t doubted_ms; /**< when it last reset one that was not answered yet, or
                         said that it is full; 0: never */
  int64_t told_ms;    /**< when a peer last reported either; 0: never */
};

/** Endpoint with the state learned about it; it may be gone, replaced or
 * unreachable. */
struct beryl_live_endpoint
{
  struct beryl_live_info info;
  bool gone; /**< left the list; kept while it has open exchanges */
  /** End of the grace period of an endpoint whose entry expired during an
   * outage of the list: it counts as gone then unless the entry is back; 0:
   * not expired. */
  int64_t grace_end_ms;
  /** When an answer showed that another process has the address, which proves
   * that this incarnation has ended; 0: never. */
  int64_t replaced_ms;
  int64_t unreachable_ms; /**< last failed connection attempt of this node; 0:
                             none since an answer */
  int64_t unreachable_begun_ms; /**< start of that attempt */
  bool end_unconfirmed;      /**< a connection failed, which may be this node's
                                fault */
  int64_t connect_failed_ms; /**< start of the last failed connection attempt;
                                0: none since an answer */
  int64_t answered_ms;       /**< last answer to this node; 0: none */
  uint32_t
      suspected_by; /**< hash of the peer that last reported it unreachable */
  int64_t suspected_ms; /**< time of that report */
  bool says_leaving; /**< it has stated in an answer that it leaves, whatever
                        its entry says; final for an incarnation */
  int64_t leaving_since_ms; /**< when it was first known to be leaving or to
                               have left the list; 0: neither */
  int64_t stage_change_until_ms; /**< time until which it is assumed to be
                                    changing its stage */
  struct beryl_connection_share connections;
  uint32_t open_exchanges; /**< of this node */
  int64_t last_failure_ms; /**< last failure; 0: none since a success */
  uint32_t consecutive_failures;
  int64_t avoid_until_ms;
  int64_t last_probe_ms;   /**< last probe while avoided */
  double response_time_ms; /**< exponential moving average of its response
                              times; 0: unknown */
  double failure_rate;     /**< recent fraction of failures, 0 to 1 */
  int64_t
      oldest_open_ms; /**< start of the oldest unanswered request; 0: none */
  double unreported_tokens; /**< estimated memory used by runs that no node
                               reported */
  int64_t unreported_updated_ms; /**< when unreported_tokens was updated */
  int64_t last_local_prefill_ms; /**< when this node last sent it, a decode
                                    engine, a prompt to prefill itself */
  int64_t paused_until_ms; /**< it wants no requests from this node before */
  int64_t full_until_ms;   /**< do not send work before; it answered that it is
                              full */
  struct beryl_event_numbering event_numbering; /**< of its streams */
  uint32_t open_prefills;       /**< open prefills of this node */
  uint64_t open_prefill_tokens; /**< prompt tokens of the open prefills */
  /** process_start_ms of previous incarnations under the same id, newest
   * first; late messages may still name them.  0: none. */
  uint64_t previous_starts_ms[BERYL_LIVE_PREVIOUS_MAX];
};

struct beryl_live_set;

/** Create an empty set.  LEAVE_MS is the grace period of a leaving endpoint:
 * how long after it was marked as leaving or removed from the list it may
 * still get work that only it can do.  This node uses only a part of it, since
 * updates of the list may be late. */
struct beryl_live_set *beryl_live_set_create (int64_t leave_ms);

/** Release the set; NULL is allowed. */
void beryl_live_set_destroy (struct beryl_live_set *set);

/** Return the hash that identifies this incarnation of an endpoint in
 * messages. */
uint32_t beryl_live_hash (const struct beryl_live_endpoint *endpoint);

/** Return a number for the version of ENDPOINT's software; never 0. */
uint32_t beryl_live_version (const struct beryl_live_endpoint *endpoint);

/** Add or update an endpoint listed at NOW_MS and return it.  Entries older
 * than the known one and those of a previous incarnation are ignored.  A
 * restarted process becomes a new endpoint without history; the previous one
 * is marked replaced and gone. */
struct beryl_live_endpoint *
beryl_live_set_put (struct beryl_live_set *set,
                    const struct beryl_live_info *info, int64_t now_ms);

/** Record that the endpoint left the list.  Entries expire unless their
 * endpoints renew them, so an outage of the list makes entries of healthy
 * endpoints expire; these return within seconds of its end.  An endpoint that
 * disappears right after an outage without having been marked as leaving is
 * therefore kept for the grace period. */
void beryl_live_set_remove (struct beryl_live_set *set, const char *id,
                            int64_t now_ms);

/** Record that the entry of ID was not written by its endpoint.  Unlike a
 * removed endpoint it is not kept. */
void beryl_live_set_reject (struct beryl_live_set *set, const char *id,
                            int64_t now_ms);

/** Record that the complete list was read or confirmed at NOW_MS. */
void beryl_live_set_synced (struct beryl_live_set *set, int64_t now_ms);

/** Return when the list was last read or confirmed; 0: never. */
int64_t beryl_live_set_synced_ms (const struct beryl_live_set *set);

/** Drop endpoints with an expired entry whose grace period is over.  Returns
 * whether there were any. */
bool beryl_live_set_expire (struct beryl_live_set *set, int64_t now_ms);

/** Find an endpoint by id, including one that is gone but has open exchanges;
 * NULL if unknown. */
struct beryl_live_endpoint *
beryl_live_set_find (const struct beryl_live_set *set, const char *id);

/** Return the number of endpoints, gone ones with open exchanges included, and
 * endpoint I; indices change with put, remove and close. */
size_t beryl_live_set_count (const struct beryl_live_set *set);
struct beryl_live_endpoint *
beryl_live_set_get (const struct beryl_live_set *set, size_t i);

/** Return whether new work may be sent to ENDPOINT. */
bool beryl_live_accepts_work (const struct beryl_live_endpoint *endpoint);

/** Return whether work that only ENDPOINT can do may be sent to it: it accepts
 * work, or its grace period has not ended. */
bool
beryl_live_set_allows_bound_work (const struct beryl_live_set *set,
                                  const struct beryl_live_endpoint *endpoint,
                                  int64_t now_ms);

/** Return whether the engine ENDPOINT is changing its stage. */
bool beryl_live_stage_changing (const struct beryl_live_endpoint *endpoint,
                                int64_t now_ms);

/** Record the start of an exchange with ENDPOINT. */
void beryl_live_open (struct beryl_live_endpoint *endpoint);

/** Record the end of an exchange; a gone endpoint without open exchanges is
 * released. */
void beryl_live_close (struct beryl_live_set *set,
                       struct beryl_live_endpoint *endpoint);

/** Outcome of an exchange. */
enum beryl_live_outcome
{
  BERYL_LIVE_ANSWERED,
  BERYL_LIVE_FAILED,    /**< error response of the endpoint */
  BERYL_LIVE_BROKEN,    /**< connection reset, malformed or truncated answer */
  BERYL_LIVE_TIMED_OUT, /**< no answer, or no event of a stream, within the
                           caller's time limit, or no connection */
};

/** Update the health of ENDPOINT from an outcome after TOOK_MS. */
void beryl_live_record_outcome (struct beryl_live_endpoint *endpoint,
                                enum beryl_live_outcome outcome,
                                int64_t took_ms, int64_t now_ms);

/** Record that another process answered at ENDPOINT's address. */
void beryl_live_mark_replaced (struct beryl_live_endpoint *endpoint,
                               int64_t now_ms);

/** Record that ENDPOINT has stated in an answer, to this node or to a peer,
 * that it leaves.  Returns whether that is new. */
bool beryl_live_mark_leaving (struct beryl_live_endpoint *endpoint,
                              int64_t now_ms);

/** Record that ENDPOINT wants no requests from this node for PAUSE_MS.
 * Returns whether it was not paused before. */
bool beryl_live_pause (struct beryl_live_endpoint *endpoint, int64_t pause_ms,
                       int64_t now_ms);

/** Return whether ENDPOINT wants no requests from this node now. */
bool beryl_live_paused (const struct beryl_live_endpoint *endpoint,
                        int64_t now_ms);

/** Record that a connection attempt of this node to ENDPOINT failed. */
void beryl_live_mark_unreachable (struct beryl_live_endpoint *endpoint,
                                  int64_t now_ms);

/** Record that the peer with hash BY could not reach ENDPOINT.  Returns
 * whether ENDPOINT is avoided from now on because of that. */
bool beryl_live_suspect (struct beryl_live_endpoint *endpoint, uint32_t by,
                         int64_t now_ms);

/** Forget the failures of ENDPOINT: their cause was not the endpoint. */
void beryl_live_forget_failures (struct beryl_live_endpoint *endpoint);

/** Return whether ENDPOINT is avoided, and whether a probe of it is due. */
bool beryl_live_avoided (const struct beryl_live_endpoint *endpoint,
                         int64_t now_ms);
bool beryl_live_probe_due (const struct beryl_live_endpoint *endpoint,
                           int64_t now_ms);

/** Return the stable name of STAGE. */
const char *beryl_stage_name (enum beryl_stage stage);

#endif
