/** @file
 * The event loop of a daemon: libuv, shared with libwebsockets, plus
 * stop signals and log set-up.
 */
#ifndef COMMON_LOOP_H
#define COMMON_LOOP_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct loop;

/** Called on the first SIGTERM or SIGINT; later signals change nothing. */
typedef void loop_stop_cb (void *user);

/** Create a loop. */
struct loop *loop_create (void);

/** Bound the process's descriptors; before an HTTP context is created. */
void loop_limit_descriptors (uint32_t count);

/** Release LOOP; every handle on it must have been closed. */
void loop_destroy (struct loop *loop);

/** Return the libuv loop. */
uv_loop_t *loop_uv (struct loop *loop);

/** Return monotonic time in milliseconds.  It also counts while the machine is
 * suspended: a lease must not outlive a pause that nothing else shows. */
int64_t loop_now_ms (struct loop *loop);

/** Call CB at the first stop signal. */
void loop_on_stop (struct loop *loop, loop_stop_cb *cb, void *user);

/** Return whether a stop signal has come. */
bool loop_stopping (const struct loop *loop);

/** Call CB at each SIGHUP, which otherwise changes nothing. */
void loop_on_reload (struct loop *loop, loop_stop_cb *cb, void *user);

/** Run until loop_quit. */
void loop_run (struct loop *loop);

/** Make loop_run return. */
void loop_quit (struct loop *loop);

/** A timer.  Its callback runs after what has arrived on the sockets until the
 * timer became due has been read, so that it can judge silence. */
struct loop_timer;

/** A timer's callback. */
typedef void loop_timer_cb (void *user);

/** Create a timer that is not set. */
struct loop_timer *loop_timer_create (struct loop *loop, loop_timer_cb *cb,
                                      void *user);

/** Set TIMER, anew if it is set, to run after DELAY_MS, repeating each
 * REPEAT_MS unless 0. */
void loop_timer_set (struct loop_timer *timer, int64_t delay_ms,
                     int64_t repeat_ms);

/** Do not run TIMER until it is set again. */
void loop_timer_unset (struct loop_timer *timer);

/** Create and set a timer. */
struct loop_timer *loop_timer_start (struct loop *loop, int64_t delay_ms,
                                     int64_t repeat_ms, loop_timer_cb *cb,
                                     void *user);

/** Stop and release TIMER; NULL is allowed, also inside its callback. */
void loop_timer_stop (struct loop_timer *timer);

/** Log format of GLib's structured log writer. */
enum log_format
{
  LOG_FORMAT_TEXT,
  LOG_FORMAT_JSON,
};

/** Install the log writer: one line per record on standard error.
 * LEVEL is one of "error", "warning", "info" and "debug". */
void log_init (const char *program, enum log_format format, const char *level);

/** Write to FD without ever waiting for its reader, at most LINES_PER_S info
 * and debug lines; 0: any number.  What is left out is counted, and told in a
 * line once there is room. */
void log_bound (int fd, uint32_t lines_per_s);

/** Lines of this process. */
struct log_counts
{
  uint64_t written;
  uint64_t suppressed; /**< by the rate */
  uint64_t lost;       /**< since the reader did not read */
};

/** Return the counts. */
struct log_counts log_counts (void);

/** Whether records of LEVEL (a GLogLevelFlags) are written; saves building
 * lines that nobody reads. */
bool log_level_enabled (int level);

/** Change the level at run time; returns false if LEVEL is unknown. */
bool log_set_level (const char *level);

#endif
