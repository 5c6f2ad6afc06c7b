/* Records of calls: keys, outcomes and retained answers.  Once a call with
 * a key may have run, this incarnation runs no other call with the key. */
#include <stdlib.h>
#include <string.h>

#include "private.h"

/* An answer is retained only if answer_retention_bytes has room for this many
 * answers of its size, so that one answer cannot evict all others. */
#define RETAINED_ANSWERS_MIN 4

struct record *
record_find (struct beryl_requests *requests, const char *organisation,
             const char *key)
{
  /* Keys are scoped by organisation; otherwise whoever guesses a key could
   * fetch another organisation's answer.  The guard is true only in a mutation
   * test. */
  const char *scope
      = BERYL_GUARD (BERYL_GUARD_KEY_ORGANISATION, false) ? "" : organisation;

  return map_get (&requests->by_key, map_key_from_name (scope, key));
}

static struct map_key
record_key (const struct beryl_call *call)
{
  const char *scope = BERYL_GUARD (BERYL_GUARD_KEY_ORGANISATION, false)
                          ? ""
                          : call->organisation;

  return map_key_from_name (scope, call->key);
}

/* Whether the record's outcome and hash hold for its key.  A free key counts
 * only if its claim was granted to this incarnation: otherwise it may belong
 * to another node's call with other contents: the record of a call here then
 * says neither whether a call with the key has run, nor for which call the key
 * was used. */
bool
record_authoritative (const struct record *record)
{
  return !record->free_key
         || BERYL_GUARD (BERYL_GUARD_KEY_OWNED, record->claimed);
}

struct record *
record_open (struct beryl_requests *requests, const struct beryl_call *call,
             bool keyed)
{
  struct record *record = NULL;
  bool existed;

  if (keyed)
    record = record_find (requests, call->organisation, call->key);
  existed = record != NULL;
  if (!existed)
    {
      record = calloc (1, sizeof *record);
      if (record == NULL)
        return NULL;
      record->keyed = keyed;
      record->free_key = call->key_kind == BERYL_KEY_FREE;
      record->expires_ms = BERYL_NEVER_MS;
      if (keyed)
        record->key = record_key (call);
      if (keyed && !map_put (&requests->by_key, record->key, record))
        {
          free (record);
          return NULL;
        }
    }
  else
    map_remove (&requests->by_id, record->id);
  if (keyed && !(existed && record_authoritative (record)))
    record->call_hash = call_compute_hash (call);
  record->outcome = BERYL_OUTCOME_PENDING;
  record->delivered = false;
  record->id = map_key_from_name (call->organisation, call->request_id);
  map_put (&requests->by_id, record->id, record);
  return record;
}

static void
record_drop_answer (struct beryl_requests *requests, struct record *record)
{
  if (record->reader != 0)
    map_remove (&requests->by_reader, map_key_from_number (record->reader));
  record->reader = 0;
  if (record->answer == NULL)
    return;
  requests->retained_bytes -= record->answer->body.count;
  buffer_clear (&record->answer->body);
  free (record->answer);
  record->answer = NULL;
}

static void
record_retain_answer (struct beryl_requests *requests, struct record *record,
                      struct answer *answer)
{
  uint64_t limit = requests->settings.answer_retention_bytes;

  if (answer->body.count > limit / RETAINED_ANSWERS_MIN)
    return;
  record->answer = malloc (sizeof *answer);
  if (record->answer == NULL)
    return;
  *record->answer = *answer;
  answer->body = (struct buffer){ 0 };
  requests->retained_bytes += record->answer->body.count;
  for (struct record *old = requests->expiring_first;
       old != NULL && requests->retained_bytes > limit; old = old->next)
    if (old != record)
      record_drop_answer (requests, old);
}

static void
record_schedule (struct beryl_requests *requests, struct record *record,
                 int64_t now_ms)
{
  bool listed = record->expires_ms != BERYL_NEVER_MS;

  record->expires_ms = now_ms + requests->settings.answer_retention_ms;
  if (listed)
    return;
  record->next = NULL;
  if (requests->expiring_last != NULL)
    requests->expiring_last->next = record;
  else
    requests->expiring_first = record;
  requests->expiring_last = record;
}

void
record_close (struct beryl_requests *requests, struct request *request,
              enum beryl_outcome outcome, int64_t now_ms)
{
  struct record *record = request->record;

  if (record == NULL)
    return;
  record->outcome = outcome;
  /* The call has not run on this node, whatever became of its key elsewhere,
   * so the key may be claimed again. */
  if (request->phase == PHASE_CLAIM)
    record->outcome = BERYL_OUTCOME_NOT_RUN;
  if (outcome == BERYL_OUTCOME_ANSWERED && record->keyed)
    {
      record_drop_answer (requests, record);
      record_retain_answer (requests, record, &request->answer);
      if (record->answer != NULL && !request->detached)
        {
          record->reader = request->call.request;
          map_put (&requests->by_reader, map_key_from_number (record->reader),
                   record);
        }
    }
  record_schedule (requests, record, now_ms);
}

/* Handles the end of reading a retained answer: fully read, or the reader
 * disconnected. */
void
record_on_reader_event (struct beryl_requests *requests,
                        const struct beryl_event *event)
{
  struct record *record
      = map_get (&requests->by_reader, map_key_from_number (event->request));

  if (record == NULL)
    return;
  map_remove (&requests->by_reader, map_key_from_number (event->request));
  record->reader = 0;
  if (event->type == BERYL_EVENT_CALLER_CAUGHT_UP)
    record->delivered = true;
}

static void
record_expire (struct beryl_requests *requests, struct record *record)
{
  record_drop_answer (requests, record);
  record->expires_ms = BERYL_NEVER_MS;
  if (map_get (&requests->by_id, record->id) == record)
    map_remove (&requests->by_id, record->id);
  if (!record->keyed)
    free (record);
}

/* When a key is used again after its call has not run, its record gets a new
 * expiry time but keeps its place in the list.  Such a record, or one whose
 * call is open again, is moved to the end when it reaches the front, at most
 * one each time that this function runs. */
void
records_expire (struct beryl_requests *requests, int64_t now_ms)
{
  struct record *record;

  while ((record = requests->expiring_first) != NULL)
    {
      bool renewed = record->expires_ms > now_ms
                     || record->outcome == BERYL_OUTCOME_PENDING;

      if (renewed && record->next == NULL)
        return;
      if (renewed && record->outcome != BERYL_OUTCOME_PENDING
          && record->expires_ms <= record->next->expires_ms)
        return;
      requests->expiring_first = record->next;
      if (record->next == NULL)
        requests->expiring_last = NULL;
      if (!renewed)
        {
          record_expire (requests, record);
          continue;
        }
      record->next = NULL;
      requests->expiring_last->next = record;
      requests->expiring_last = record;
      return;
    }
}

static void
record_free (struct beryl_requests *requests, struct record *record)
{
  record_drop_answer (requests, record);
  free (record);
}

void
records_clear (struct beryl_requests *requests)
{
  struct record *record, *next;

  for (record = requests->expiring_first; record != NULL; record = next)
    {
      next = record->next;
      if (!record->keyed)
        record_free (requests, record);
    }
  for (size_t i = 0; i < requests->by_key.capacity; i++)
    if (requests->by_key.slots[i].value != NULL)
      record_free (requests, requests->by_key.slots[i].value);
  map_clear (&requests->by_id);
  map_clear (&requests->by_key);
}

static struct record *
record_for_fetch (struct beryl_requests *requests,
                  const struct beryl_event *event)
{
  struct record *record = map_get (
      &requests->by_id,
      map_key_from_name (event->fetch.organisation, event->fetch.id_or_key));

  if (record == NULL)
    record = record_find (requests, event->fetch.organisation,
                          event->fetch.id_or_key);
  if (record != NULL && record->keyed && !record_authoritative (record))
    return NULL;
  return record;
}

static void
fetch_answer (struct beryl_requests *requests, struct record *record,
              const struct beryl_event *event)
{
  const struct answer *answer = record->answer;

  if (record->reader != 0)
    {
      requests_reply_error (requests, event->request, BERYL_PROBLEM_KEY_IN_USE,
                            BERYL_OUTCOME_ANSWERED, 1000,
                            "the answer is being read on another connection");
      return;
    }
  if (answer == NULL || record->delivered
      || event->fetch.offset > answer->body.count)
    {
      requests_reply_error (
          requests, event->request, BERYL_PROBLEM_KEY_ANSWERED,
          BERYL_OUTCOME_ANSWERED, 0,
          record->delivered ? "the answer was delivered whole"
                            : "the answer is not kept");
      return;
    }
  record->reader = event->request;
  map_put (&requests->by_reader, map_key_from_number (record->reader), record);
  answer_send (requests, event->request, answer, event->fetch.offset);
}

void
requests_fetch (struct beryl_requests *requests,
                const struct beryl_event *event, int64_t now_ms)
{
  struct record *record = record_for_fetch (requests, event);

  (void)now_ms;
  if (record == NULL)
    {
      requests_reply_error (requests, event->request, BERYL_PROBLEM_NOT_FOUND,
                            BERYL_OUTCOME_UNKNOWN, 0, "no such request here");
      return;
    }
  switch (record->outcome)
    {
    case BERYL_OUTCOME_PENDING:
      requests_reply_error (requests, event->request, BERYL_PROBLEM_KEY_IN_USE,
                            BERYL_OUTCOME_PENDING, 1000, "it is running");
      return;
    case BERYL_OUTCOME_ANSWERED:
      fetch_answer (requests, record, event);
      return;
    case BERYL_OUTCOME_NOT_RUN:
      requests_reply_error (requests, event->request, BERYL_PROBLEM_NOT_FOUND,
                            BERYL_OUTCOME_NOT_RUN, 0, "it did not run");
      return;
    case BERYL_OUTCOME_UNKNOWN:
      requests_reply_error (requests, event->request,
                            BERYL_PROBLEM_KEY_UNKNOWN, BERYL_OUTCOME_UNKNOWN,
                            0, "it may have run");
      return;
    }
}
