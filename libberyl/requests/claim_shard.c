#include <stdlib.h>
#include <string.h>

#include "claim_private.h"

#define BACKOFF_FIRST_MS 50
#define BACKOFF_MAX_MS 1000
/* Times that a write whose reply was lost is repeated before its claims are
 * given up.  They have not run and will not; the key may turn out to be this
 * node's when it is claimed again. */
#define LOST_REPLIES_MAX 5

struct shard *
shard_create (struct beryl_claims *claims, uint32_t number)
{
  struct shard *shard = calloc (1, sizeof *shard);

  if (shard == NULL)
    return NULL;
  shard->claims = claims;
  shard->number = number;
  shard->backoff_ms = BACKOFF_FIRST_MS;
  shard->verified_ms = INT64_MIN / 2;
  return shard;
}

static void
queue_free (struct waiting_queue *queue)
{
  struct waiting *waiting;

  while ((waiting = queue_take (queue)) != NULL)
    free (waiting);
}

void
shard_destroy (struct shard *shard)
{
  if (shard == NULL)
    return;
  log_forget (shard);
  queue_free (&shard->queue);
  queue_free (&shard->batch);
  free (shard->segments);
  free (shard->value);
  free (shard);
}

/* Answers a claim from the index; false if the key is not in it. */
static bool
answer_known (struct shard *shard, struct waiting *waiting)
{
  const struct claim *claim = map_get (&shard->index, waiting->key);

  if (claim == NULL)
    return false;
  if (claim->body_hash != waiting->body_hash)
    claims_answer (shard->claims, waiting, BERYL_CLAIM_MISMATCH,
                   claim->incarnation);
  else
    claims_answer (shard->claims, waiting, BERYL_CLAIM_TAKEN,
                   claim->incarnation);
  return true;
}

static void
answer_all_known (struct shard *shard)
{
  struct waiting_queue kept = { 0 };
  struct waiting *waiting;

  while ((waiting = queue_take (&shard->queue)) != NULL)
    if (!shard->read || !answer_known (shard, waiting))
      queue_add (&kept, waiting);
  shard->queue = kept;
}

static void
answer_all (struct shard *shard, struct waiting_queue *queue,
            enum beryl_claim_result result)
{
  struct waiting *waiting;

  while ((waiting = queue_take (queue)) != NULL)
    claims_answer (shard->claims, waiting, result, 0);
}

static void
back_off (struct shard *shard, int64_t now_ms)
{
  shard->next_ms = now_ms + shard->backoff_ms;
  shard->backoff_ms *= 2;
  if (shard->backoff_ms > BACKOFF_MAX_MS)
    shard->backoff_ms = BACKOFF_MAX_MS;
}

static void
begin_call (struct shard *shard, enum shard_call call, int64_t now_ms)
{
  shard->call = call;
  shard->call_id = claims_call (shard->claims, shard);
  shard->call_ms = now_ms;
}

static void
begin_list (struct shard *shard, int64_t now_ms)
{
  struct beryl_claims_owner *owner = shard->claims->owner;
  char prefix[SEGMENT_NAME_BYTES];

  segment_prefix (prefix, shard->number);
  begin_call (shard, SHARD_LIST, now_ms);
  shard->claims->counts.reads++;
  owner->impl->list (owner, shard->call_id, prefix);
}

static void
begin_get (struct shard *shard, int64_t now_ms)
{
  struct beryl_claims_owner *owner = shard->claims->owner;
  char name[SEGMENT_NAME_BYTES];

  segment_name (name, shard->number, shard->next, shard->next);
  begin_call (shard, SHARD_GET, now_ms);
  shard->claims->counts.reads++;
  owner->impl->get (owner, shard->call_id, name);
}

static void
begin_create (struct shard *shard, int64_t now_ms)
{
  struct beryl_claims_owner *owner = shard->claims->owner;
  char name[SEGMENT_NAME_BYTES];

  segment_name (name, shard->number, shard->next, shard->next);
  begin_call (shard, SHARD_CREATE, now_ms);
  owner->impl->create (owner, shard->call_id, name, shard->value,
                       strlen (shard->value), shard->nonce);
}

static bool
queue_has (const struct waiting_queue *queue, struct map_key key)
{
  for (const struct waiting *w = queue->first; w != NULL; w = w->next)
    if (w->key.high == key.high && w->key.low == key.low)
      return true;
  return false;
}

/* Two callers may ask for the same key within one commit interval.  Both in
 * one segment would both be granted; the second one waits and finds the key
 * taken. */
static void
form_batch (struct shard *shard)
{
  struct waiting_queue later = { 0 };
  struct waiting *waiting;

  while (shard->batch.count < SEGMENT_CLAIMS_MAX
         && (waiting = queue_take (&shard->queue)) != NULL)
    if (BERYL_GUARD (BERYL_GUARD_CLAIM_DUPLICATE,
                     !queue_has (&shard->batch, waiting->key)))
      queue_add (&shard->batch, waiting);
    else
      queue_add (&later, waiting);
  while ((waiting = queue_take (&shard->queue)) != NULL)
    queue_add (&later, waiting);
  shard->queue = later;
}

static void
begin_commit (struct shard *shard, int64_t now_ms)
{
  struct segment_writer *writer;

  form_batch (shard);
  claims_nonce (shard->claims, shard->nonce);
  writer = segment_writer_create (shard->nonce);
  if (writer == NULL)
    {
      answer_all (shard, &shard->batch, BERYL_CLAIM_UNAVAILABLE);
      return;
    }
  for (struct waiting *w = shard->batch.first; w != NULL; w = w->next)
    {
      struct claim claim = { w->body_hash, w->incarnation, shard->next };

      segment_writer_add (writer, w->key, &claim);
    }
  free (shard->value);
  shard->value = segment_writer_finish (writer);
  shard->lost_replies = 0;
  shard->next_ms = now_ms + shard->claims->settings.commit_interval_ms;
  claims_count_commit (shard->claims, shard, now_ms);
  begin_create (shard, now_ms);
}

/* Whether the end of the log that this node knows is young enough to be
 * built on.  Old objects are deleted, so that their numbers are free again:
 * a home that slept longer could create one of them and believe that it had
 * won the race. */
static bool
verified (const struct shard *shard, int64_t now_ms)
{
  return BERYL_GUARD (BERYL_GUARD_CLAIM_VERIFIED,
                      now_ms - shard->verified_ms
                          < shard->claims->settings.delete_after_ms / 2);
}

/* A home that its members have replaced must stop to write: the new one would
 * not see these claims until its own next write, and in an outage it would
 * call their keys "not run".  Its callers' claims go to the new home; other
 * nodes ask that one by themselves. */
static void
hand_over (struct shard *shard, int64_t now_ms)
{
  struct beryl_claims *claims = shard->claims;
  struct waiting_queue kept = { 0 };
  struct waiting *waiting;

  while ((waiting = queue_take (&shard->queue)) != NULL)
    if (waiting->forced && !claims_is_alone (claims))
      queue_add (&kept, waiting);
    else if (waiting->remote)
      free (waiting);
    else if (claims_is_alone (claims))
      claims_answer (claims, waiting, BERYL_CLAIM_UNKNOWN, 0);
    else
      ask_home (claims, waiting, beryl_claims_home (claims, shard->number),
                now_ms);
  shard->queue = kept;
}

static bool
may_write (const struct shard *shard)
{
  return BERYL_GUARD (BERYL_GUARD_CLAIM_HOME,
                      !claims_is_alone (shard->claims)
                          && claims_is_home (shard->claims, shard->number));
}

void
shard_step (struct shard *shard, int64_t now_ms)
{
  if (shard->call != SHARD_IDLE || now_ms < shard->next_ms)
    return;
  answer_all_known (shard);
  if (shard->batch.count == 0 && !may_write (shard))
    hand_over (shard, now_ms);
  if (shard->batch.count > 0)
    begin_create (shard, now_ms);
  else if (shard->queue.count == 0)
    return;
  else if (!shard->read || !verified (shard, now_ms))
    begin_list (shard, now_ms);
  else if (shard->catch_up)
    begin_get (shard, now_ms);
  else if (claims_may_commit (shard->claims, now_ms))
    begin_commit (shard, now_ms);
}

void
shard_load (struct shard *shard, int64_t now_ms)
{
  if (shard->call == SHARD_IDLE && !shard->read && now_ms >= shard->next_ms)
    begin_list (shard, now_ms);
}

void
shard_ask (struct shard *shard, struct waiting *waiting, int64_t now_ms)
{
  if (shard->read && answer_known (shard, waiting))
    return;
  queue_add (&shard->queue, waiting);
  shard_step (shard, now_ms);
}

/* The object API is away.  This try has not run, but an earlier one with the
 * same key may have, and a caller that is told "not run" then would send its
 * letter again under a new key.  Only who wrote the whole log alone since it
 * has read it knows that the key is new; a node that is cut off from the
 * others cannot know what they have written. */
static enum beryl_claim_result
result_of_outage (const struct shard *shard)
{
  bool certain = shard->read && shard->sole && !claims_is_alone (shard->claims)
                 && claims_is_home (shard->claims, shard->number);

  return BERYL_GUARD (BERYL_GUARD_CLAIM_OUTAGE, certain)
             ? BERYL_CLAIM_UNAVAILABLE
             : BERYL_CLAIM_UNKNOWN;
}

static void
give_up (struct shard *shard)
{
  answer_all_known (shard);
  answer_all (shard, &shard->queue, result_of_outage (shard));
}

static void
on_listed (struct shard *shard, const struct beryl_object *objects,
           size_t object_count, int64_t now_ms)
{
  if (!log_apply (shard, objects, object_count, now_ms))
    {
      back_off (shard, now_ms);
      return;
    }
  shard->read = true;
  shard->sole = false; /* the list may lag; the next write tells */
  shard->verified_ms = shard->call_ms;
  if (shard->catch_up)
    back_off (shard, now_ms);
  shard->catch_up = false;
}

void
shard_on_read (struct shard *shard, enum beryl_error_code code,
               const struct beryl_object *objects, size_t object_count,
               int64_t now_ms)
{
  bool get = shard->call == SHARD_GET;

  shard->call = SHARD_IDLE;
  if (code == BERYL_OK && get && object_count == 1)
    shard->catch_up = !log_apply (shard, objects, 1, now_ms);
  else if (code == BERYL_OK && !get)
    on_listed (shard, objects, object_count, now_ms);
  else if (get && code == BERYL_ERROR_NOT_FOUND)
    begin_list (shard, now_ms); /* a lagging read, or it was folded */
  else
    {
      back_off (shard, now_ms);
      give_up (shard);
    }
  shard_step (shard, now_ms);
}

/* Puts the batch back in front of the queue. */
static void
batch_back (struct shard *shard)
{
  struct waiting *waiting;

  while ((waiting = queue_take (&shard->queue)) != NULL)
    queue_add (&shard->batch, waiting);
  shard->queue = shard->batch;
  shard->batch = (struct waiting_queue){ 0 };
}

static void
on_durable (struct shard *shard, int64_t now_ms)
{
  struct waiting *waiting;

  /* This process was stopped while its write was on the way: what the write
   * has met may be an old number that had been deleted. */
  if (!verified (shard, now_ms))
    {
      batch_back (shard);
      shard->read = false;
      return;
    }
  shard->claims->counts.segments++;
  if (shard->lost_replies > 0)
    shard->claims->counts.settled++;
  log_append (shard, now_ms);
  shard->sole = claims_settled_home (shard->claims, shard->number, now_ms);
  shard->verified_ms = shard->call_ms;
  shard->backoff_ms = BACKOFF_FIRST_MS;
  while ((waiting = queue_take (&shard->batch)) != NULL)
    claims_answer (shard->claims, waiting, BERYL_CLAIM_GRANTED,
                   waiting->incarnation);
}

/* Another home has written this number, or this node did and the reply was
 * lost.  Which one it was is read from the segment itself. */
static void
on_race_lost (struct shard *shard)
{
  shard->claims->counts.races_lost++;
  shard->sole = false;
  batch_back (shard);
  shard->next_ms = 0;
  if (BERYL_GUARD (BERYL_GUARD_CLAIM_REREAD, false))
    shard->next++;
  else
    shard->catch_up = true;
}

static void
on_reply_lost (struct shard *shard, int64_t now_ms)
{
  shard->lost_replies++;
  back_off (shard, now_ms);
  if (shard->lost_replies < LOST_REPLIES_MAX)
    return;
  answer_all (shard, &shard->batch, result_of_outage (shard));
  give_up (shard);
}

static void
on_not_written (struct shard *shard, int64_t now_ms)
{
  back_off (shard, now_ms);
  answer_all (shard, &shard->batch, result_of_outage (shard));
  give_up (shard);
}

void
shard_on_created (struct shard *shard, enum beryl_error_code code,
                  int64_t now_ms)
{
  bool written = code == BERYL_OK;

  shard->call = SHARD_IDLE;
  /* A conflict after a lost reply looks like one's own first write, but may
   * be another home's. */
  written |= code == BERYL_ERROR_CONFLICT && shard->lost_replies > 0
             && BERYL_GUARD (BERYL_GUARD_CLAIM_NONCE, false);
  written |= code == BERYL_ERROR_CONFLICT
             && BERYL_GUARD (BERYL_GUARD_CLAIM_CREATE, false);
  if (written)
    on_durable (shard, now_ms);
  else if (code == BERYL_ERROR_CONFLICT)
    on_race_lost (shard);
  else if (code == BERYL_ERROR_UNKNOWN)
    on_reply_lost (shard, now_ms);
  else
    on_not_written (shard, now_ms);
  shard_step (shard, now_ms);
}

int64_t
shard_next_ms (const struct shard *shard)
{
  if (shard->call != SHARD_IDLE
      || (shard->queue.count == 0 && shard->batch.count == 0))
    return BERYL_NEVER_MS;
  /* Only a new batch waits for the rate. */
  if (shard->batch.count == 0 && shard->read && !shard->catch_up
      && claims_commit_ms (shard->claims) > shard->next_ms)
    return claims_commit_ms (shard->claims);
  return shard->next_ms;
}
