/* One shard of the claim log: reads its segments and writes batches of claims.
 * At most one call to the object API is in flight, besides compaction. */
#include <stdlib.h>
#include <string.h>

#include "claim_private.h"

#define BACKOFF_FIRST_MS 50
#define BACKOFF_MAX_MS 1000
/* Number of lost replies after which a repeated write is abandoned and its
 * claims fail.  Those calls have not run and will not run; the write may still
 * have taken effect, and then a later claim finds the key granted to the
 * claiming incarnation. */
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
queue_free (struct pending_queue *queue)
{
  struct pending_claim *pending;

  while ((pending = queue_take (queue)) != NULL)
    free (pending);
}

void
shard_destroy (struct shard *shard)
{
  if (shard == NULL)
    return;
  log_clear (shard);
  queue_free (&shard->queue);
  queue_free (&shard->batch);
  free (shard->segments);
  free (shard->value);
  free (shard);
}

/* Completes a claim from the index; returns false if the key is not in it. */
static bool
answer_from_index (struct shard *shard, struct pending_claim *pending)
{
  const struct claim *claim = map_get (&shard->index, pending->key);

  if (claim == NULL)
    return false;
  if (claim->call_hash != pending->call_hash)
    claims_complete (shard->claims, pending, BERYL_CLAIM_MISMATCH,
                     claim->incarnation);
  else
    claims_complete (shard->claims, pending, BERYL_CLAIM_TAKEN,
                     claim->incarnation);
  return true;
}

static void
answer_queue_from_index (struct shard *shard)
{
  struct pending_queue kept = { 0 };
  struct pending_claim *pending;

  while ((pending = queue_take (&shard->queue)) != NULL)
    if (!shard->loaded || !answer_from_index (shard, pending))
      queue_add (&kept, pending);
  shard->queue = kept;
}

static void
answer_all (struct shard *shard, struct pending_queue *queue,
            enum beryl_claim_result result)
{
  struct pending_claim *pending;

  while ((pending = queue_take (queue)) != NULL)
    claims_complete (shard->claims, pending, result, 0);
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
  shard->call_id = claims_register_call (shard->claims, shard);
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
queue_has (const struct pending_queue *queue, struct map_key key)
{
  for (const struct pending_claim *p = queue->first; p != NULL; p = p->next)
    if (p->key.high == key.high && p->key.low == key.low)
      return true;
  return false;
}

/* Two callers may claim the same key within one commit interval.  In one
 * segment both would be granted, so the second claim is left for the next
 * batch, where it finds the key taken. */
static void
form_batch (struct shard *shard)
{
  struct pending_queue later = { 0 };
  struct pending_claim *pending;

  while (shard->batch.count < SEGMENT_CLAIMS_MAX
         && (pending = queue_take (&shard->queue)) != NULL)
    if (BERYL_GUARD (BERYL_GUARD_CLAIM_DUPLICATE,
                     !queue_has (&shard->batch, pending->key)))
      queue_add (&shard->batch, pending);
    else
      queue_add (&later, pending);
  while ((pending = queue_take (&shard->queue)) != NULL)
    queue_add (&later, pending);
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
  for (struct pending_claim *p = shard->batch.first; p != NULL; p = p->next)
    {
      struct claim claim = { p->call_hash, p->incarnation, shard->next };

      segment_writer_add (writer, p->key, &claim);
    }
  free (shard->value);
  shard->value = segment_writer_finish (writer);
  shard->lost_replies = 0;
  shard->next_ms = now_ms + shard->claims->settings.commit_interval_ms;
  claims_charge_commit (shard->claims, shard, now_ms);
  begin_create (shard, now_ms);
}

/* Whether the known end of the log is recent enough to write after it.  Old
 * segments are deleted, which frees their numbers: a home that was suspended
 * for longer than delete_after_ms could create one of them again and take that
 * for success. */
static bool
log_end_is_current (const struct shard *shard, int64_t now_ms)
{
  return BERYL_GUARD (BERYL_GUARD_CLAIM_VERIFIED,
                      now_ms - shard->verified_ms
                          < shard->claims->settings.delete_after_ms / 2);
}

/* A home that has been replaced must stop writing: the new home would not see
 * these claims until its own next write and, in an outage of the object API,
 * would report their keys as "not run".  Local claims are sent to the new
 * home; claims of other nodes are dropped, since those nodes retry at the new
 * home themselves.  Claims whose home has ended stay here and are written by
 * this node (HOME_DOWN). */
static void
hand_over_queue (struct shard *shard, int64_t now_ms)
{
  struct beryl_claims *claims = shard->claims;
  struct pending_queue kept = { 0 };
  struct pending_claim *pending;

  while ((pending = queue_take (&shard->queue)) != NULL)
    if (pending->home_down && !claims_is_isolated (claims))
      queue_add (&kept, pending);
    else if (pending->received)
      free (pending);
    else if (claims_is_isolated (claims))
      claims_complete (claims, pending, BERYL_CLAIM_UNKNOWN, 0);
    else
      remote_claim_start (claims, pending,
                          beryl_claims_home (claims, shard->number), now_ms);
  shard->queue = kept;
}

/* Whether this node is the shard's home and not isolated.  Only claims whose
 * home has ended (HOME_DOWN) are written by another node. */
static bool
is_connected_home (const struct shard *shard)
{
  return BERYL_GUARD (BERYL_GUARD_CLAIM_HOME,
                      !claims_is_isolated (shard->claims)
                          && claims_is_home (shard->claims, shard->number));
}

void
shard_step (struct shard *shard, int64_t now_ms)
{
  if (shard->call != SHARD_IDLE || now_ms < shard->next_ms)
    return;
  answer_queue_from_index (shard);
  if (shard->batch.count == 0 && !is_connected_home (shard))
    hand_over_queue (shard, now_ms);
  if (shard->batch.count > 0)
    begin_create (shard, now_ms);
  else if (shard->queue.count == 0)
    return;
  else if (!shard->loaded || !log_end_is_current (shard, now_ms))
    begin_list (shard, now_ms);
  else if (shard->must_catch_up)
    begin_get (shard, now_ms);
  else if (claims_may_commit (shard->claims, now_ms))
    begin_commit (shard, now_ms);
}

void
shard_load (struct shard *shard, int64_t now_ms)
{
  if (shard->call == SHARD_IDLE && !shard->loaded && now_ms >= shard->next_ms)
    begin_list (shard, now_ms);
}

void
shard_claim (struct shard *shard, struct pending_claim *pending,
             int64_t now_ms)
{
  if (shard->loaded && answer_from_index (shard, pending))
    return;
  queue_add (&shard->queue, pending);
  shard_step (shard, now_ms);
}

/* Result of a claim when the object API is unavailable.  This attempt has not
 * run, but an earlier one with the same key may have; a caller that is told
 * "not run" would repeat the call under a new key.  Only a node that has been
 * the only writer since it read the whole log knows that a key is new; an
 * isolated node cannot know what the others have written. */
static enum beryl_claim_result
outage_result (const struct shard *shard)
{
  bool certain = shard->loaded && shard->sole_writer
                 && !claims_is_isolated (shard->claims)
                 && claims_is_home (shard->claims, shard->number);

  return BERYL_GUARD (BERYL_GUARD_CLAIM_OUTAGE, certain)
             ? BERYL_CLAIM_UNAVAILABLE
             : BERYL_CLAIM_UNKNOWN;
}

static void
fail_queue (struct shard *shard)
{
  answer_queue_from_index (shard);
  answer_all (shard, &shard->queue, outage_result (shard));
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
  shard->loaded = true;
  shard->sole_writer = false; /* the list may lag */
  shard->verified_ms = shard->call_ms;
  /* The list may not contain the conflicting segment yet: then the next create
   * conflicts again.  The delay keeps this from looping without a pause. */
  if (shard->must_catch_up)
    back_off (shard, now_ms);
  shard->must_catch_up = false;
}

void
shard_on_read (struct shard *shard, enum beryl_error_code code,
               const struct beryl_object *objects, size_t object_count,
               int64_t now_ms)
{
  bool get = shard->call == SHARD_GET;

  shard->call = SHARD_IDLE;
  if (code == BERYL_OK && get && object_count == 1)
    shard->must_catch_up = !log_apply (shard, objects, 1, now_ms);
  else if (code == BERYL_OK && !get)
    on_listed (shard, objects, object_count, now_ms);
  else if (get && code == BERYL_ERROR_NOT_FOUND)
    begin_list (shard, now_ms); /* the read lagged, or the segment has been
                                   compacted */
  else
    {
      back_off (shard, now_ms);
      fail_queue (shard);
    }
  shard_step (shard, now_ms);
}

/* Puts the batch back at the front of the queue. */
static void
requeue_batch (struct shard *shard)
{
  struct pending_claim *pending;

  while ((pending = queue_take (&shard->queue)) != NULL)
    queue_add (&shard->batch, pending);
  shard->queue = shard->batch;
  shard->batch = (struct pending_queue){ 0 };
}

static void
on_written (struct shard *shard, int64_t now_ms)
{
  struct pending_claim *pending;

  /* The write took very long, for example because the process was suspended:
   * the number that was created may be an old one whose segment had been
   * deleted. */
  if (!log_end_is_current (shard, now_ms))
    {
      requeue_batch (shard);
      shard->loaded = false;
      return;
    }
  shard->claims->counts.segments++;
  if (shard->lost_replies > 0)
    shard->claims->counts.lost_replies_resolved++;
  log_append (shard, now_ms);
  shard->sole_writer
      = claims_is_established_home (shard->claims, shard->number, now_ms);
  shard->verified_ms = shard->call_ms;
  shard->backoff_ms = BACKOFF_FIRST_MS;
  while ((pending = queue_take (&shard->batch)) != NULL)
    claims_complete (shard->claims, pending, BERYL_CLAIM_GRANTED,
                     pending->incarnation);
}

/* Either another node wrote this number, or this node did and the reply was
 * lost.  The segment is read, and claims of the batch that it contains then
 * end as TAKEN by the incarnation that it names, which may be this one, or as
 * MISMATCH. */
static void
on_create_conflict (struct shard *shard)
{
  shard->claims->counts.create_conflicts++;
  shard->sole_writer = false;
  requeue_batch (shard);
  shard->next_ms = 0;
  /* True only in a mutation test. */
  if (BERYL_GUARD (BERYL_GUARD_CLAIM_REREAD, false))
    shard->next++;
  else
    shard->must_catch_up = true;
}

static void
on_reply_lost (struct shard *shard, int64_t now_ms)
{
  shard->lost_replies++;
  back_off (shard, now_ms);
  if (shard->lost_replies < LOST_REPLIES_MAX)
    return;
  answer_all (shard, &shard->batch, outage_result (shard));
  fail_queue (shard);
}

static void
on_not_written (struct shard *shard, int64_t now_ms)
{
  back_off (shard, now_ms);
  answer_all (shard, &shard->batch, outage_result (shard));
  fail_queue (shard);
}

void
shard_on_create_done (struct shard *shard, enum beryl_error_code code,
                      int64_t now_ms)
{
  bool written = code == BERYL_OK;

  shard->call = SHARD_IDLE;
  /* A conflict is never taken for success, not even after a lost reply: the
   * segment may be another node's.  Both guards are true only in a mutation
   * test. */
  written |= code == BERYL_ERROR_CONFLICT && shard->lost_replies > 0
             && BERYL_GUARD (BERYL_GUARD_CLAIM_NONCE, false);
  written |= code == BERYL_ERROR_CONFLICT
             && BERYL_GUARD (BERYL_GUARD_CLAIM_CREATE, false);
  if (written)
    on_written (shard, now_ms);
  else if (code == BERYL_ERROR_CONFLICT)
    on_create_conflict (shard);
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
  /* Only a new batch is subject to the commit rate. */
  if (shard->batch.count == 0 && shard->loaded && !shard->must_catch_up
      && claims_next_commit_ms (shard->claims) > shard->next_ms)
    return claims_next_commit_ms (shard->claims);
  return shard->next_ms;
}
