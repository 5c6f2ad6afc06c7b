/** @file
 * The exchanges with endpoints: prefills, decodes, plain calls and cancels.
 */
#ifndef ENTRYD_OUTBOUND_H
#define ENTRYD_OUTBOUND_H

#include "entry.h"

/** One exchange in flight. */
struct outbound
{
  struct http_call_handler base;
  struct entry *entry;
  uint64_t exchange;          /**< of beryl_requests; 0: a cancel */
  struct http_call *call;     /**< NULL: it has ended */
  struct loop_timer *failure; /**< failed before any call was made */
  const char *reason;
  GString *body;   /**< a small JSON answer, or the rest of a line */
  uint64_t offset; /**< of the next byte of a plain answer */
  uint32_t attempt;
  int depth;     /**< callbacks that use it */
  bool dropped;  /**< free it when they have left */
  bool finished; /**< END went out */
  bool refused;  /**< the answer says that it did not run */
  char endpoint[BERYL_NAME_BYTES];
  struct beryl_stream_id stream;
};

/** Do an action that concerns an endpoint. */
void outbound_act (struct entry *entry, const struct beryl_action *action);

/** Create an exchange and enter it; HANDLER takes the call's answer. */
struct outbound *outbound_create (struct entry *entry, uint64_t exchange,
                                  const struct http_call_handler_impl *impl);

/** Release OUT, now or when its callbacks have left. */
void outbound_drop (struct outbound *out);

/** Release all that have no call, before the loop ends. */
void outbound_drop_all (struct entry *entry);

/** Mark the begin and end of a callback that uses OUT. */
void outbound_enter (struct outbound *out);
void outbound_leave (struct outbound *out);

/** Report that OUT failed, from the loop, as nothing was sent. */
void outbound_fail_later (struct outbound *out, const char *reason);

/** Hand an event of OUT's exchange to beryl_requests. */
void outbound_event (struct outbound *out, struct beryl_event *event);

/** Report a failed exchange and release OUT. */
void outbound_failed (struct outbound *out, bool sent, const char *reason);

/** The failed callback that all kinds share. */
void outbound_broken (struct http_call_handler *handler,
                      struct http_call *call, bool sent, const char *reason);

/** Start the kinds of exchanges. */
void engine_prefill (struct entry *entry, const struct beryl_action *action);
void engine_decode (struct entry *entry, const struct beryl_action *action);
void engine_cancel (struct entry *entry, const struct beryl_action *action);
void plain_call (struct entry *entry, const struct beryl_action *action);

#endif
