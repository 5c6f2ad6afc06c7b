/** @file
 * Holds: engine memory that a process's streams occupy.  Tracks the holds of a
 * live process, decides whether a process is provably dead, and cancels the
 * holds of dead ones.  A process reports its holds to the control daemon of
 * its instance, which outlives it and can cancel them.
 *
 * Streams are identified by (incarnation, counter), so the holds of a process
 * at one engine are described by a window of counters: a few bytes per engine
 * instead of a message per request.  The module does no I/O; it is not
 * thread-safe.
 */
#ifndef BERYL_HOLDS_H
#define BERYL_HOLDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

/** Range of streams of one incarnation that may hold memory at one engine. */
struct beryl_hold_window
{
  char endpoint[BERYL_NAME_BYTES];
  uint64_t incarnation;
  uint64_t from; /**< first counter, inclusive */
  uint64_t to;   /**< last counter, inclusive; less than FROM: nothing is
                      held */
};

/** The windows of this process. */
struct beryl_hold_windows;

/** Create an empty set of windows for the process INCARNATION.  Returns NULL
 * if out of memory. */
struct beryl_hold_windows *beryl_hold_windows_create (uint64_t incarnation);

/** Release; NULL is allowed. */
void beryl_hold_windows_destroy (struct beryl_hold_windows *windows);

/** Record a hold of stream COUNTER at ENDPOINT.  Returns true if the window
 * had to be extended to cover it; then the new window (beryl_hold_windows_get)
 * must be written to the connection to the control daemon before the hold is
 * created.  Windows are extended ahead of need, so this is rare.  Also returns
 * true if out of memory: the hold is then not recorded, and there may be no
 * window. */
bool beryl_hold_windows_record (struct beryl_hold_windows *windows,
                                const char *endpoint, uint64_t counter);

/** Remove the hold of stream COUNTER at ENDPOINT. */
void beryl_hold_windows_erase (struct beryl_hold_windows *windows,
                               const char *endpoint, uint64_t counter);

/** Return the window of ENDPOINT that the control daemon must know, or NULL if
 * there is none. */
const struct beryl_hold_window *
beryl_hold_windows_get (const struct beryl_hold_windows *windows,
                        const char *endpoint);

/** Raise the start of each window to the oldest stream that is still held, or
 * empty it if none is, and copy the windows that changed to OUT, to be
 * reported occasionally.  Stops after MAX changed windows and leaves the
 * others for a later call.  Returns the number copied. */
size_t beryl_hold_windows_shrink (struct beryl_hold_windows *windows,
                                  struct beryl_hold_window *out, size_t max);

/** Copy up to MAX windows to OUT, to be sent on a new connection to the
 * control daemon.  Returns the total number of windows. */
size_t beryl_hold_windows_list (const struct beryl_hold_windows *windows,
                                struct beryl_hold_window *out, size_t max);

/** Proofs that a process is dead. */
enum beryl_death_proof
{
  BERYL_DEATH_NONE,              /**< no proof: alive, unreachable or
                                      unknown */
  BERYL_DEATH_LINK_BROKEN,       /**< its loopback connection to the control
                                      daemon broke */
  BERYL_DEATH_NEWER_INCARNATION, /**< a newer process uses its address */
  BERYL_DEATH_DELISTED,          /**< its instance (machine) was removed from
                                      the platform's list of instances */
};

/** What is known about a process.  A suspicion raised by gossip is
 * deliberately no evidence: an isolated node is alive, and cancelling its
 * streams would cut off its callers. */
struct beryl_death_evidence
{
  uint64_t incarnation;
  bool link_broken;             /**< its loopback connection ended with end
                                     of file or reset */
  int64_t link_broken_ms;       /**< when the connection broke; a live
                                     process reconnects */
  uint64_t address_incarnation; /**< highest incarnation seen at its
                                     address; 0: none */
  bool list_current;            /**< the platform's list was read recently */
  bool listed;                  /**< its instance is on the platform's list */
  int64_t delisted_ms;          /**< when its instance was first missing
                                     from the list */
  int64_t last_heard_ms;        /**< last gossip from the process or,
                                     through others, about it */
};

/** Time a live process is given to reconnect over loopback. */
#define BERYL_DEATH_LINK_GRACE_MS 500
/** Time an instance must be off the list and without any gossip. */
#define BERYL_DEATH_DELISTED_MS 10000

/** Return the proof that EVIDENCE gives at NOW_MS, or BERYL_DEATH_NONE. */
enum beryl_death_proof
beryl_death_evaluate (const struct beryl_death_evidence *evidence,
                      int64_t now_ms);

/** Return the stable name of PROOF, for logs. */
const char *beryl_death_proof_name (enum beryl_death_proof proof);

/** Cancels the windows of dead processes until the engines confirm. */
struct beryl_hold_cleanup;

/** Create an empty clean-up list.  Returns NULL if out of memory. */
struct beryl_hold_cleanup *beryl_hold_cleanup_create (void);

/** Release; NULL is allowed. */
void beryl_hold_cleanup_destroy (struct beryl_hold_cleanup *cleanup);

/** Start cancelling WINDOW at once.  A window of the same endpoint and
 * incarnation that is already listed is extended instead.  Returns false if
 * out of memory. */
bool beryl_hold_cleanup_add (struct beryl_hold_cleanup *cleanup,
                             const struct beryl_hold_window *window,
                             int64_t now_ms);

/** Copy a window whose cancel is due to OUT and schedule its retry; false if
 * none is due.  Call it until it returns false. */
bool beryl_hold_cleanup_take_due (struct beryl_hold_cleanup *cleanup,
                                  struct beryl_hold_window *out,
                                  int64_t now_ms);

/** The engine replied to a cancel: HELD streams of the window remain.  Returns
 * true if the window is finished. */
bool beryl_hold_cleanup_on_reply (struct beryl_hold_cleanup *cleanup,
                                  const char *endpoint, uint64_t incarnation,
                                  uint64_t held, int64_t now_ms);

/** Drop all windows of ENDPOINT, which no longer exists. */
void beryl_hold_cleanup_remove_endpoint (struct beryl_hold_cleanup *cleanup,
                                         const char *endpoint);

/** Return when the next cancel is due, or BERYL_NEVER_MS. */
int64_t beryl_hold_cleanup_next_ms (const struct beryl_hold_cleanup *cleanup);

/** Return the number of unfinished windows. */
size_t beryl_hold_cleanup_count (const struct beryl_hold_cleanup *cleanup);

#endif
