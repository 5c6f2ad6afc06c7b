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

/** Send a call to TARGET with a bearer TOKEN.  OUTCOME is made once. */
struct caller *caller_start (const struct caller_settings *settings,
                             const struct arrival *arrival,
                             const struct caller_target *target,
                             const char *token, caller_done_cb *done,
                             void *user);

#endif
