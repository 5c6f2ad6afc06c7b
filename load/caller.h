/** @file
 * One call to an entry instance.
 */
#ifndef LOAD_CALLER_H
#define LOAD_CALLER_H

#include "http/context.h"
#include "outcome.h"

/** An entry instance's address. */
struct caller_target
{
  char address[64];
  uint16_t port;
  char incarnation[20]; /**< of the process there; empty: not known */
};

/** What all calls have in common. */
struct caller_settings
{
  struct http_context *http;
  struct loop *loop;
  const struct scenario *scenario;
  int64_t started_ms; /**< the run's start on the loop's clock */
  bool check_answers; /**< against the stand-in engine's text */
  const char *run;    /**< begins the request ids */
};

struct caller;

/** Takes the outcome; the caller is released afterwards. */
typedef void caller_done_cb (const struct call_outcome *outcome, void *user);

/** Write the idempotency key of a call to TARGET: only calls that must not run
 * twice have one, a part of them bound to the process and a part free as the
 * scenario says; empty for none. */
void caller_key (const struct scenario *scenario,
                 const struct caller_target *target, const char *request_id,
                 const struct arrival *arrival, char *key, size_t key_bytes);

/** Send a call to TARGET with a bearer TOKEN.  OUTCOME is made once. */
struct caller *caller_start (const struct caller_settings *settings,
                             const struct arrival *arrival,
                             const struct caller_target *target,
                             const char *token, caller_done_cb *done,
                             void *user);

#endif
