#include "private.h"

#include <string.h>
#include <xxhash.h>

/* Answers up to this size are buffered until they are complete, so that one
   that breaks off can be requested again without the caller seeing it. */
#define BUFFER_MAX_BYTES 65536
/* A stream that has more events than this for each token that its caller has
   asked for, and some more for what engines say at its beginning and end, has
   no end. */
#define EVENTS_PER_TOKEN 2
#define EVENTS_EXTRA 16
/* Bytes of comments between two events, such as those that keep connections
   open. */
#define COMMENTS_MAX_BYTES 65536
/* Memory of all streams' incomplete events from which on a stream may have
   only a small one, so that endless lines of many engines at once do not take
   all of the process's memory. */
#define REMEMBERED_MAX_BYTES (16U << 20)
#define SMALL_EVENT_BYTES 65536
/* The kernel closes the sockets of a process that has crashed one after the
   other, and may close the one that listens last: until then it accepts
   connections, and resets them with it. */
#define CONFIRM_HOLD_MS 25

/* The endpoint states that it did not run the request. */
static void
send_rejected (struct beryl_forward *f, struct exchange *x, int64_t now_ms)
{
  struct request *r = x->request;
  bool wrong_stage = x->head.wrong_stage;

  forward_request_log (f, r, "send", x->endpoint,
                       wrong_stage ? "wrong_stage" : "not_run", x->head.status,
                       now_ms);
  if (x->head.misdirected)
    endpoint_report_replaced (f, x->endpoint, now_ms);
  else if (!forward_request_is_generation (r) && !x->head.leaving
           && !wrong_stage && x->head.pause_ms == 0)
    speeds_learn_full (f, r->service, x->endpoint, BERYL_WORK_CALL, now_ms);
  if (x->head.status == 503)
    connections_full (f, x, now_ms);
  forward_exchange_abort (f, x);
  repeats_count_lost_move (f, r, now_ms);
  if (forward_request_is_generation (r))
    generation_run_rejected (f, r, wrong_stage, now_ms);
  else
    plain_send_failed (f, r, now_ms);
}

/* Returns whether another endpoint may be tried after one has failed. */
static bool
may_try_another (const struct request *r)
{
  return !r->answer_begun && forward_request_is_repeatable (r)
         && r->endpoints_run_count < r->route->endpoints_max;
}

static bool
is_server_error (unsigned int status)
{
  return status >= 500;
}

static bool
is_success (unsigned int status)
{
  return status / 100 == 2;
}

/* Of two concurrent sends the first whose answer is not an error is used; the
   other is aborted. */
static void
abort_other_send (struct beryl_forward *f, struct request *r,
                  const struct exchange *x)
{
  if (r->primary == NULL || r->secondary == NULL)
    return;
  forward_exchange_abort (f, r->primary == x ? r->secondary : r->primary);
}

void
answer_head (struct beryl_forward *f, struct exchange *x, int64_t now_ms)
{
  struct request *r = x->request;
  int64_t took_ms = now_ms - x->started_ms;
  bool error = is_server_error (x->head.status);

  rates_learn (f, x, &x->head.limit, is_success (x->head.status), now_ms);
  if (x->head.not_run)
    {
      send_rejected (f, x, now_ms);
      return;
    }
  relocate_end (f, r);
  forward_request_record_run (r);
  kv_clear (f, &r->kv);
  beryl_live_record_outcome (x->endpoint,
                             error ? BERYL_LIVE_FAILED : BERYL_LIVE_ANSWERED,
                             took_ms, now_ms);
  if (!forward_request_is_generation (r))
    service_learn_answer_time (r->service, took_ms);
  /* An error may come sooner than an answer, or later. */
  if (!forward_request_is_generation (r) && is_success (x->head.status))
    speeds_learn (f, r->service, x->endpoint, BERYL_WORK_CALL, 1, took_ms,
                  now_ms);
  forward_request_log (f, r, "head", x->endpoint, error ? "error" : "answered",
                       x->head.status, now_ms);
  if (r->answer_begun && (x->head.status != 200 || !x->head.event_stream))
    {
      /* The caller already has the head of a stream; a different answer's body
         must not follow it. */
      forward_exchange_abort (f, x);
      generation_exchange_failed (f, r, BERYL_EXCHANGE_RUN, true, now_ms);
      return;
    }
  if (error && r->secondary != NULL)
    {
      /* The other send may still produce a good answer. */
      forward_exchange_abort (f, x);
      return;
    }
  if (error && may_try_another (r) && !forward_request_is_generation (r))
    {
      forward_exchange_abort (f, x);
      plain_send_failed (f, r, now_ms);
      return;
    }
  abort_other_send (f, r, x);
  r->timer_ms = r->deadline_ms;
  r->last_event_ms = now_ms;
  /* Starts the check for stalls. */
  if (forward_request_is_generation (r))
    generation_timer (f, r, now_ms);
}

/* Returns whether the body of X's answer is a stream of numbered events. The
   body of any other answer is its endpoint's, whatever it looks like. */
static bool
is_numbered (const struct request *r, const struct exchange *x)
{
  return x->head.event_stream && r->route->streaming
         && is_success (x->head.status);
}

static void
begin_answer (struct beryl_forward *f, struct request *r, struct exchange *x)
{
  if (r->answer_begun)
    return;
  r->answer_begun = true;
  f->owner->impl->answer_begin (f->owner, r->params.handle, x->id,
                                !is_numbered (r, x));
}

static void
forward_buffered (struct beryl_forward *f, struct request *r)
{
  if (r->buffered.count == 0)
    return;
  f->owner->impl->answer_data (f->owner, r->params.handle, r->buffered.bytes,
                               r->buffered.count);
  r->buffered.count = 0;
}

/* Returns whether X is a generation that this node has sent to an engine
   itself. */
static bool
is_own_generation (const struct exchange *x)
{
  return x->kind == BERYL_EXCHANGE_RUN
         && forward_request_is_generation (x->request);
}

static bool
goes_back_behind_held (const struct exchange *x, const struct event *event)
{
  return x->held.count > 0 && event->id > x->sequence.last_id
         && event->id <= held_events_last_id (&x->held);
}

static enum event_fault
check_event (const struct exchange *x, const struct event *event)
{
  if (event->fault != EVENT_OK || event->is_comment)
    return event->fault;
  if (goes_back_behind_held (x, event))
    return EVENT_REPEATED;
  return event_sequence_check (&x->sequence, &x->endpoint->event_numbering,
                               event->id);
}

static void
log_event_fault (struct beryl_forward *f, const struct request *r,
                 const struct exchange *x, const struct event *event,
                 enum event_fault fault, int64_t now_ms)
{
  struct beryl_event_finding finding = { .fault = event_fault_name (fault),
                                         .has_id = event->has_id,
                                         .id = event->id,
                                         .after_id = x->sequence.last_id };

  forward_request_log_event (f, r, x->endpoint, &finding, now_ms);
}

static void
forward_event (struct beryl_forward *f, struct request *r, struct exchange *x,
               const struct event *event, int64_t now_ms)
{
  bool own_generation = is_own_generation (x);

  begin_answer (f, r, x);
  r->skipped_ids = r->skipped_ids || event->id > r->last_event_id + 1;
  r->last_event_id = event->id;
  r->empty_end_engine = 0;
  r->last_event_hash = XXH3_64bits (event->bytes, event->count);
  resume_first_event (f, r, x, now_ms);
  if (r->event_count == 0)
    {
      r->first_event_ms = now_ms;
      crashes_written (f, r, now_ms);
    }
  else if (now_ms - r->last_event_ms > r->longest_gap_ms)
    r->longest_gap_ms = now_ms - r->last_event_ms;
  r->event_count++;
  r->run_events++;
  r->last_event_ms = now_ms;
  r->stalled = false;
  relocate_end (f, r);
  if (own_generation)
    stream_learn_pace (f, r, now_ms);
  if (r->run_events == 1 && own_generation)
    prompts_record (f, r, x->endpoint, true, now_ms);
  /* A stall is detected sooner between events than before the first. */
  if (r->run_events == 1 && own_generation)
    r->timer_ms = stream_timer_ms (r);
  f->owner->impl->answer_data (f->owner, r->params.handle, event->bytes,
                               event->count);
}

/* Returns whether EVENT is the newest one that R's caller has. */
static bool
is_newest (const struct request *r, const struct event *event)
{
  return event->has_id && r->event_count > 0 && event->id == r->last_event_id
         && XXH3_64bits (event->bytes, event->count) == r->last_event_hash;
}

/* Counts EVENT and returns whether X's stream, which goes on, can still be
   that of a proper answer. */
static bool
may_go_on (const struct request *r, struct exchange *x,
           const struct event *event)
{
  uint64_t most = EVENTS_PER_TOKEN * (uint64_t)r->params.output_tokens_max
                  + EVENTS_EXTRA;

  if (is_newest (r, event))
    return ++x->repeated_events <= EVENTS_EXTRA;
  if (event->is_comment)
    {
      x->comment_bytes += event->count;
      return x->comment_bytes <= COMMENTS_MAX_BYTES;
    }
  x->comment_bytes = 0;
  return !is_own_generation (x) || r->params.output_tokens_max == 0
         || ++x->events <= most;
}

/* Gives up X, whose endpoint sends what is no answer. */
static void
give_up (struct beryl_forward *f, const struct exchange *x,
         enum beryl_exchange_failure how, int64_t now_ms)
{
  f->owner->impl->abort (f->owner, x->id);
  beryl_forward_exchange_failed (f, x->id, how, true, now_ms);
}

void
answer_log_fault (struct beryl_forward *f, const struct exchange *x,
                  enum answer_fault fault, unsigned int status, int64_t now_ms)
{
  forward_request_log (f, x->request, "foreign", x->endpoint,
                       answer_fault_name (fault), status, now_ms);
}

/* Its endpoint may have run the request all the same, and have taken its KV
   cache. */
void
answer_reject (struct beryl_forward *f, struct exchange *x,
               enum answer_fault fault, unsigned int status, int64_t now_ms)
{
  answer_log_fault (f, x, fault, status, now_ms);
  kv_clear (f, &x->request->kv);
  give_up (f, x, BERYL_FAILURE_MALFORMED, now_ms);
}

/* Returns whether the newest event that R's caller has may not be one of its
   run: another one with the same id has come, or one with a lower id after ids
   were left out. */
static bool
is_in_doubt (const struct request *r, const struct event *event,
             enum event_fault fault)
{
  return fault == EVENT_REPEATED && r->run_events > 0
         && (r->skipped_ids || event->id == r->last_event_id);
}

/* X's stream has a piece that is no event of its run. Nothing that follows is
   believed, not even the end; the events before it are sound. */
static void
reject_event (struct beryl_forward *f, struct request *r, struct exchange *x,
              const struct event *event, enum event_fault fault,
              int64_t now_ms)
{
  log_event_fault (f, r, x, event, fault, now_ms);
  r->events_in_doubt = is_in_doubt (r, event, fault);
  give_up (f, x, BERYL_FAILURE_MALFORMED, now_ms);
}

/* Returns whether a peer has checked the events of X. */
static bool
is_from_peer (const struct exchange *x)
{
  return x->kind == BERYL_EXCHANGE_HANDOFF;
}

static void
accept_event (struct beryl_forward *f, struct request *r, struct exchange *x,
              const struct event *event, int64_t now_ms)
{
  if (!is_from_peer (x))
    {
      event_numbering_learn (&x->endpoint->event_numbering, &x->sequence,
                             event->id);
      event_numbering_learn (&r->service->event_numbering, &x->sequence,
                             event->id);
    }
  event_sequence_advance (&x->sequence, event->id);
  forward_event (f, r, x, event, now_ms);
}

/* Returns whether the event with ID has to wait for others behind it, of which
   FOLLOWERS have arrived. */
static bool
has_to_wait (const struct exchange *x, uint64_t id, uint32_t followers)
{
  return event_sequence_jumps (&x->sequence, id) && !is_from_peer (x)
         && followers < event_sequence_followers (
                &x->sequence, &x->endpoint->event_numbering);
}

static void
release_first (struct beryl_forward *f, struct request *r, struct exchange *x,
               int64_t now_ms)
{
  struct event event = held_events_first (&x->held);

  accept_event (f, r, x, &event, now_ms);
  held_events_drop_first (&x->held);
}

/* Forwards the events that X has held back and that are confirmed. */
static void
release_confirmed (struct beryl_forward *f, struct request *r,
                   struct exchange *x, int64_t now_ms)
{
  while (x->held.count > 0
         && !has_to_wait (x, x->held.items[0].id, x->held.count - 1))
    release_first (f, r, x, now_ms);
}

/* Holds EVENT back until others confirm it. Its engine is not silent. */
static bool
hold_event (struct request *r, struct exchange *x, const struct event *event,
            int64_t now_ms)
{
  r->last_event_ms = now_ms;
  r->stalled = false;
  return held_events_add (&x->held, event);
}

/* Handles one piece of X's stream; returns false if X has ended by it. */
static bool
take_event (struct beryl_forward *f, struct request *r, struct exchange *x,
            const struct event *event, int64_t now_ms)
{
  enum event_fault fault = check_event (x, event);
  bool repeated = fault == EVENT_REPEATED && is_newest (r, event);

  if (fault != EVENT_OK && !repeated)
    {
      reject_event (f, r, x, event, fault, now_ms);
      return false;
    }
  if (!may_go_on (r, x, event))
    {
      give_up (f, x, BERYL_FAILURE_ENDLESS, now_ms);
      return false;
    }
  if (event->is_comment || repeated)
    return true;
  if (x->held.count == 0 && !has_to_wait (x, event->id, 0))
    accept_event (f, r, x, event, now_ms);
  else if (hold_event (r, x, event, now_ms))
    release_confirmed (f, r, x, now_ms);
  else
    {
      give_up (f, x, BERYL_FAILURE_ENDLESS, now_ms);
      return false;
    }
  return true;
}

static void
count_remembered (struct beryl_forward *f, struct exchange *x)
{
  size_t bytes = x->pieces.pending.capacity + x->held.bytes.capacity;

  f->remembered_bytes += bytes - x->remembered_bytes;
  x->remembered_bytes = bytes;
}

static bool
may_remember (const struct beryl_forward *f, const struct exchange *x)
{
  return f->remembered_bytes <= REMEMBERED_MAX_BYTES
         || x->pieces.pending.count <= SMALL_EVENT_BYTES;
}

static void
forward_events (struct beryl_forward *f, struct request *r, struct exchange *x,
                const char *bytes, size_t bytes_count, int64_t now_ms)
{
  struct event event;

  if (!may_remember (f, x)
      || !event_splitter_add (&x->pieces, bytes, bytes_count))
    {
      give_up (f, x, BERYL_FAILURE_ENDLESS, now_ms);
      return;
    }
  while (event_splitter_next (&x->pieces, &event))
    if (!take_event (f, r, x, &event, now_ms))
      return;
  count_remembered (f, x);
}

void
answer_data (struct beryl_forward *f, struct exchange *x, const char *bytes,
             size_t bytes_count, int64_t now_ms)
{
  struct request *r = x->request;

  if (is_numbered (r, x))
    {
      forward_events (f, r, x, bytes, bytes_count, now_ms);
      return;
    }
  if (!buffer_append (&r->buffered, bytes, bytes_count))
    {
      forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
      return;
    }
  if (r->answer_begun || x->head.event_stream
      || r->buffered.count > BUFFER_MAX_BYTES)
    {
      begin_answer (f, r, x);
      forward_buffered (f, r);
    }
}

/* Returns whether a stream was cut off although its answer seems complete: it
   ends within an event, or it ends with its connection, which an engine also
   closes when it crashes, and when it stops a run to move it. */
static bool
is_cut_off (const struct request *r, const struct exchange *x)
{
  if (!is_numbered (r, x))
    return false;
  if (event_splitter_partial (&x->pieces))
    return true;
  return x->head.ends_with_connection
         && ((r->run_events == 0 && x->held.count == 0) || x->may_be_stopped);
}

/* Returns whether X's stream has ended before its first event. One that goes
   on behind an event, for its caller or after another run, may have no
   other: see ends_empty_unconfirmed. */
static bool
is_empty_stream (const struct request *r, const struct exchange *x)
{
  return is_numbered (r, x) && x->held.count == 0 && r->event_count == 0
         && r->last_event_id == 0;
}

/* R's caller has all of its answer, by X. GENERATED: this node has had it
   generated. */
static void
complete (struct beryl_forward *f, struct request *r, struct exchange *x,
          bool generated, int64_t value, int64_t now_ms)
{
  uint64_t handle = r->params.handle;

  forward_request_log (f, r, "answer", x->endpoint, "whole", value, now_ms);
  if (x->kind != BERYL_EXCHANGE_HANDOFF)
    stop_learn_run (r, now_ms);
  forward_exchange_free (f, x);
  if (generated)
    {
      stream_learn_length (f, r);
      generation_run_ended (f, r);
    }
  forward_request_end (f, r, now_ms);
  f->owner->impl->answer_end (f->owner, handle);
}

/* The caller gets the rest of its answer by X, and its end. */
static void
finish (struct beryl_forward *f, struct request *r, struct exchange *x,
        int64_t now_ms)
{
  int64_t value;

  while (x->held.count > 0)
    release_first (f, r, x, now_ms);
  value = x->head.event_stream ? (int64_t)r->event_count
                               : (int64_t)x->head.status;
  if (is_success (x->head.status))
    crashes_answered (f, r, now_ms);
  begin_answer (f, r, x);
  forward_buffered (f, r);
  complete (f, r, x, is_own_generation (x), value, now_ms);
}

/* X's answer has ended with its connection, which the kernel closes in the
   same way if the endpoint has crashed. The endpoint is dialled, and the
   answer is whole only if it still accepts connections and keeps this one. */
static void
confirm_end (struct beryl_forward *f, struct exchange *x, int64_t now_ms)
{
  struct beryl_exchange_start dial
      = { .kind = BERYL_EXCHANGE_DIAL, .hold_ms = CONFIRM_HOLD_MS };
  struct request *r = x->request;

  r->phase = PHASE_CONFIRMING;
  r->timer_ms = r->deadline_ms;
  r->secondary = forward_exchange_start (f, r, &dial, x->endpoint, now_ms);
}

void
answer_end_confirmed (struct beryl_forward *f, struct exchange *dial,
                      int64_t now_ms)
{
  struct request *r = dial->request;
  struct exchange *x = r->primary;
  uint64_t id = x->id;

  forward_exchange_free (f, dial);
  finish (f, r, x, now_ms);
  f->owner->impl->abort (f->owner, id);
}

void
answer_end_refuted (struct beryl_forward *f, struct exchange *dial,
                    int64_t now_ms)
{
  struct request *r = dial->request;
  struct exchange *x = r->primary;

  forward_exchange_free (f, dial);
  r->phase = PHASE_RUNNING;
  f->owner->impl->abort (f->owner, x->id);
  answer_interrupted (f, x, BERYL_FAILURE_CLOSED, true, now_ms);
}

/* Returns whether X's stream, which ends with an event that waits, is believed
   without a second run. One that ends with its connection may also have been
   cut off: as its only event, such an event is not believed if it may run
   again. */
static bool
ends_in_order (const struct request *r, const struct exchange *x)
{
  if (x->head.ends_with_connection && r->run_events == 0
      && r->route->resumable)
    return false;
  return event_sequence_ends (&x->sequence, &x->endpoint->event_numbering,
                              &r->service->event_numbering,
                              held_events_jumps (&x->held, &x->sequence));
}

/* Returns whether X's stream ends with an event that nothing confirms, for the
   first time: a second run that ends with the same one does. */
static bool
ends_unconfirmed (struct request *r, const struct exchange *x)
{
  if (x->held.count == 0 || r->unconfirmed_id == held_events_last_id (&x->held)
      || ends_in_order (r, x))
    return false;
  r->unconfirmed_id = held_events_last_id (&x->held);
  return true;
}

/* Returns whether X's stream goes on behind an event and has ended without
   another one, which no other endpoint has confirmed. Neither the number of
   events nor the tokens asked for tell whether one is left. A peer that R was
   handed over to has asked for itself. A caller that resumes behind an event
   may lack nothing but the end: it gets it unconfirmed if R may not run
   again. */
static bool
ends_empty_unconfirmed (struct beryl_forward *f, struct request *r,
                        const struct exchange *x, int64_t now_ms)
{
  uint32_t engine = beryl_live_hash (x->endpoint);

  if (!is_numbered (r, x) || x->kind != BERYL_EXCHANGE_RUN || r->run_events > 0
      || x->held.count > 0
      || (r->empty_end_engine != 0 && r->empty_end_engine != engine)
      || (r->event_count == 0 && !stream_may_relocate (f, r, now_ms)))
    return false;
  r->empty_end_engine = engine;
  return true;
}

bool
answer_done (struct beryl_forward *f, struct exchange *x, int64_t now_ms)
{
  struct request *r = x->request;

  if (r == NULL)
    forward_exchange_free (f, x);
  else if (is_cut_off (r, x))
    answer_interrupted (f, x, BERYL_FAILURE_CLOSED, true, now_ms);
  else if (ends_unconfirmed (r, x))
    {
      struct event event
          = { .has_id = true, .id = held_events_last_id (&x->held) };

      log_event_fault (f, r, x, &event, EVENT_SKIPPED, now_ms);
      answer_interrupted (f, x, BERYL_FAILURE_MALFORMED, true, now_ms);
    }
  else if (is_empty_stream (r, x))
    {
      answer_log_fault (f, x, ANSWER_EMPTY_STREAM, x->head.status, now_ms);
      if (x->kind == BERYL_EXCHANGE_RUN)
        beryl_live_record_outcome (x->endpoint, BERYL_LIVE_BROKEN,
                                   now_ms - x->started_ms, now_ms);
      answer_interrupted (f, x, BERYL_FAILURE_MALFORMED, true, now_ms);
    }
  else if (ends_empty_unconfirmed (f, r, x, now_ms))
    {
      answer_log_fault (f, x, ANSWER_EMPTY_STREAM, x->head.status, now_ms);
      answer_interrupted (f, x, BERYL_FAILURE_MALFORMED, true, now_ms);
    }
  else if (x->kind == BERYL_EXCHANGE_RUN && x->head.ends_with_connection
           && r->secondary == NULL)
    {
      confirm_end (f, x, now_ms);
      return false;
    }
  else
    finish (f, r, x, now_ms);
  return true;
}

static const char *
failure_name (enum beryl_exchange_failure how)
{
  static const char *const names[]
      = { "no_connection", "reset", "closed", "garbled", "endless", "silent" };

  return names[how];
}

void
answer_interrupted (struct beryl_forward *f, struct exchange *x,
                    enum beryl_exchange_failure how, bool sent, int64_t now_ms)
{
  struct request *r = x->request;
  bool has_head = x->has_head;
  bool handoff = x->kind == BERYL_EXCHANGE_HANDOFF;

  if (sent && !handoff
      && (how == BERYL_FAILURE_RESET || how == BERYL_FAILURE_CLOSED))
    crashes_run_interrupted (f, r, x->endpoint, now_ms);
  if (sent && is_own_generation (x) && r->move_target == NULL
      && (r->run_events == 0 || how == BERYL_FAILURE_MALFORMED))
    prompts_record (f, r, x->endpoint, false, now_ms);
  forward_request_log (f, r, handoff ? "handoff" : "send", x->endpoint,
                       failure_name (how), sent, now_ms);
  forward_exchange_free (f, x);
  r->buffered.count = 0;
  if (handoff)
    {
      handoff_interrupted (f, r, sent && !has_head, now_ms);
      return;
    }
  if (sent && !has_head)
    forward_request_record_lost_run (f, r, now_ms);
  if (r->events_in_doubt)
    {
      forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
      return;
    }
  if (has_head && move_stream_ended (f, r, now_ms))
    return;
  if (forward_request_is_generation (r))
    generation_exchange_failed (f, r, BERYL_EXCHANGE_RUN, sent, now_ms);
  else if (r->answer_begun)
    forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
  else
    plain_send_failed (f, r, now_ms);
}
