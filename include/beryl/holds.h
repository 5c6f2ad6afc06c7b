/** @file
 * What a process that has died may still hold at engines, how certain its
 * death is, and the cancelling of it.
 *
 * Streams are named by (incarnation, counter), so what a process may hold at
 * one engine is a window of counters: a few bytes per engine instead of a
 * message per request.  Nothing here does I/O; not thread-safe.
 */
#ifndef BERYL_HOLDS_H
#define BERYL_HOLDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

/** Streams of one incarnation that may hold memory at one engine. */
struct beryl_hold_window
{
  char endpoint[BERYL_NAME_BYTES];
  uint64_t incarnation;
  uint64_t from; /**< first counter */
  uint64_t to;   /**< last counter, inclusive; below FROM: nothing is held */
};

/** The windows of one living process, kept by itself. */
struct beryl_hold_windows;

/** Create for the process INCARNATION. */
struct beryl_hold_windows *beryl_hold_windows_create (uint64_t incarnation);

/** Release; NULL is allowed. */
void beryl_hold_windows_destroy (struct beryl_hold_windows *windows);

/** Record a hold of the stream COUNTER at ENDPOINT.  Returns true if the
 * window that was told to the keeper does not cover it: then the new window
 * (beryl_hold_windows_get) must be written to the keeper's connection
 * before the hold is made.  Windows reach ahead, so that this is rare. */
bool beryl_hold_windows_record (struct beryl_hold_windows *windows,
                                const char *endpoint, uint64_t counter);

/** Erase a hold. */
void beryl_hold_windows_erase (struct beryl_hold_windows *windows,
                               const char *endpoint, uint64_t counter);

/** Return the window of ENDPOINT as it was told last, or NULL. */
const struct beryl_hold_window *
beryl_hold_windows_get (const struct beryl_hold_windows *windows,
                        const char *endpoint);

/** Narrow the windows to what is held and copy up to MAX that changed to
 * OUT, for a lazy message now and then.  Returns their number. */
size_t beryl_hold_windows_shrink (struct beryl_hold_windows *windows,
                                  struct beryl_hold_window *out, size_t max);

/** Copy up to MAX told windows to OUT, for a new connection to the keeper.
 * Returns their number in all. */
size_t beryl_hold_windows_list (const struct beryl_hold_windows *windows,
                                struct beryl_hold_window *out, size_t max);

/** Proofs that a process has died. */
enum beryl_death_proof
{
  BERYL_DEATH_NONE,              /**< alive, unreachable or not known */
  BERYL_DEATH_LINK_BROKEN,       /**< its loopback connection broke */
  BERYL_DEATH_NEWER_INCARNATION, /**< a later process has its address */
  BERYL_DEATH_DELISTED,          /**< its instance left the platform's list */
};

/** What is known of a process.  Suspicion by gossip is no member: a node
 * that is cut off is alive, and cancelling its streams cuts its callers. */
struct beryl_death_evidence
{
  uint64_t incarnation;
  bool link_broken;             /**< loopback only: end of file or reset */
  int64_t link_broken_ms;       /**< when; a live process connects again */
  uint64_t address_incarnation; /**< highest heard at its address; 0: none */
  bool list_current;            /**< the platform's list was read lately */
  bool listed;                  /**< its instance is on the list */
  int64_t delisted_ms;          /**< since when it is not */
  int64_t last_heard_ms;        /**< by gossip, from itself or others */
};

/** How long a process may take to connect again over loopback. */
#define BERYL_DEATH_LINK_GRACE_MS 500
/** How long an instance must be off the list and unheard of. */
#define BERYL_DEATH_DELISTED_MS 10000

/** Return the proof that EVIDENCE holds at NOW_MS, if any. */
enum beryl_death_proof
beryl_death_evaluate (const struct beryl_death_evidence *evidence,
                      int64_t now_ms);

/** Return the stable name of DEATH, for logs. */
const char *beryl_death_proof_name (enum beryl_death_proof death);

/** Cancels windows of the dead until the engines confirm. */
struct beryl_hold_cleanup;

/** Create an empty clean-up. */
struct beryl_hold_cleanup *beryl_hold_cleanup_create (void);

/** Release; NULL is allowed. */
void beryl_hold_cleanup_destroy (struct beryl_hold_cleanup *cleanup);

/** Cancel WINDOW, beginning now; the same endpoint and incarnation is kept
 * once, with the wider window.  False without memory. */
bool beryl_hold_cleanup_add (struct beryl_hold_cleanup *cleanup,
                             const struct beryl_hold_window *window,
                             int64_t now_ms);

/** Copy a window that is to be cancelled now to OUT; false if there is
 * none.  Call until false; each call counts as one try. */
bool beryl_hold_cleanup_take_due (struct beryl_hold_cleanup *cleanup,
                                  struct beryl_hold_window *out,
                                  int64_t now_ms);

/** The engine answered a cancel: HELD streams of the window remain.  True
 * if the window is now finished. */
bool beryl_hold_cleanup_on_reply (struct beryl_hold_cleanup *cleanup,
                                  const char *endpoint, uint64_t incarnation,
                                  uint64_t held, int64_t now_ms);

/** ENDPOINT no longer exists. */
void beryl_hold_cleanup_remove_endpoint (struct beryl_hold_cleanup *cleanup,
                                         const char *endpoint);

/** Return when a cancel is due, or BERYL_NEVER_MS. */
int64_t beryl_hold_cleanup_next_ms (const struct beryl_hold_cleanup *cleanup);

/** Return the number of windows that are not finished. */
size_t beryl_hold_cleanup_count (const struct beryl_hold_cleanup *cleanup);

#endif
