#include "beryl/claims.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/random.h"
#include "claim_private.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#define SHARDS_DEFAULT 16
#define COMPACT_MIN_SEGMENTS_DEFAULT 16
#define COMMIT_INTERVAL_DEFAULT_MS 20
#define COMMITS_PER_S_DEFAULT 120
/* Commits that an idle node may make in a burst; claims_may_commit keeps half
 * of them for the tick. */
#define COMMIT_BURST 8
#define RETENTION_DEFAULT_MS 3600000
#define DELETE_AFTER_DEFAULT_MS 600000
#define REQUEST_TIMEOUT_DEFAULT_MS 500
/* A tick is due this long after the last event. */
#define TICK_INTERVAL_MAX_MS 200
/* A gap of this length between events means that the process was suspended.
 * It must be shorter than the silence after which other nodes replace this
 * home. */
#define SUSPENSION_DETECTED_MS (3 * TICK_INTERVAL_MAX_MS)
/* How long a process waits after a suspension for the member changes that it
 * missed. */
#define SUSPENSION_RECOVERY_MS 100
/* Time for which other nodes may still write to a shard on behalf of its
 * previous home, so that the new home's view of the log may be incomplete. */
#define HOME_ESTABLISHED_MS 2000

static void
set_default (int64_t *setting, int64_t value)
{
  if (*setting == 0)
    *setting = value;
}

struct beryl_claims *
beryl_claims_create (const struct beryl_claims_settings *settings,
                     struct beryl_claims_owner *owner)
{
  struct beryl_claims *claims = calloc (1, sizeof *claims);

  if (claims == NULL)
    return NULL;
  claims->settings = *settings;
  claims->owner = owner;
  claims->random = settings->seed ^ settings->incarnation;
  snprintf (claims->node, sizeof claims->node, "%s", settings->node);
  if (claims->settings.shards == 0)
    claims->settings.shards = SHARDS_DEFAULT;
  if (claims->settings.compact_min_segments == 0)
    claims->settings.compact_min_segments = COMPACT_MIN_SEGMENTS_DEFAULT;
  if (claims->settings.shards > BERYL_CLAIM_SHARDS_MAX)
    claims->settings.shards = BERYL_CLAIM_SHARDS_MAX;
  if (claims->settings.commits_per_s == 0)
    claims->settings.commits_per_s = COMMITS_PER_S_DEFAULT;
  set_default (&claims->settings.commit_interval_ms,
               COMMIT_INTERVAL_DEFAULT_MS);
  set_default (&claims->settings.retention_ms, RETENTION_DEFAULT_MS);
  set_default (&claims->settings.delete_after_ms, DELETE_AFTER_DEFAULT_MS);
  set_default (&claims->settings.request_timeout_ms,
               REQUEST_TIMEOUT_DEFAULT_MS);
  claims->shards = calloc (claims->settings.shards, sizeof (struct shard *));
  claims->homes = calloc (claims->settings.shards, sizeof *claims->homes);
  claims->home_since_ms
      = calloc (claims->settings.shards, sizeof *claims->home_since_ms);
  if (claims->shards != NULL && claims->homes != NULL
      && claims->home_since_ms != NULL)
    {
      for (uint32_t i = 0; i < claims->settings.shards; i++)
        claims->home_since_ms[i] = BERYL_NEVER_MS;
      return claims;
    }
  free (claims->shards);
  free (claims->homes);
  free (claims->home_since_ms);
  free (claims);
  return NULL;
}

void
beryl_claims_destroy (struct beryl_claims *claims)
{
  if (claims == NULL)
    return;
  for (uint32_t i = 0; i < claims->settings.shards; i++)
    shard_destroy (claims->shards[i]);
  remote_claims_clear (claims);
  map_clear (&claims->calls);
  free (claims->shards);
  free (claims->homes);
  free (claims->home_since_ms);
  free (claims->members);
  free (claims);
}

void
queue_add (struct pending_queue *queue, struct pending_claim *pending)
{
  pending->next = NULL;
  if (queue->last != NULL)
    queue->last->next = pending;
  else
    queue->first = pending;
  queue->last = pending;
  queue->count++;
}

struct pending_claim *
queue_take (struct pending_queue *queue)
{
  struct pending_claim *pending = queue->first;

  if (pending == NULL)
    return NULL;
  queue->first = pending->next;
  if (queue->first == NULL)
    queue->last = NULL;
  queue->count--;
  return pending;
}

uint64_t
claims_register_call (struct beryl_claims *claims, struct shard *shard)
{
  uint64_t call = ++claims->last_call;

  map_put (&claims->calls, map_key_from_number (call), shard);
  return call;
}

void
claims_nonce (struct beryl_claims *claims, char nonce[33])
{
  uint64_t high = random_next (&claims->random);
  uint64_t low = random_next (&claims->random);

  snprintf (nonce, 33, "%016llx%016llx", (unsigned long long)high,
            (unsigned long long)low);
}

static void
update_counts (struct beryl_claims *claims, enum beryl_claim_result result)
{
  switch (result)
    {
    case BERYL_CLAIM_GRANTED:
      claims->counts.granted++;
      return;
    case BERYL_CLAIM_TAKEN:
    case BERYL_CLAIM_MISMATCH:
      claims->counts.taken++;
      return;
    case BERYL_CLAIM_UNAVAILABLE:
      claims->counts.unavailable++;
      return;
    case BERYL_CLAIM_UNKNOWN:
      claims->counts.unknown++;
      return;
    }
}

/* Reports the result of PENDING to its requester and frees it. */
void
claims_complete (struct beryl_claims *claims, struct pending_claim *pending,
                 enum beryl_claim_result result, uint64_t incarnation)
{
  struct beryl_claims_owner *owner = claims->owner;
  struct beryl_claim_message reply = {
    .type = BERYL_CLAIM_REPLY,
    .id = pending->id,
    .key_high = pending->key.high,
    .key_low = pending->key.low,
    .call_hash = pending->call_hash,
    .incarnation = incarnation,
    .result = result,
  };

  update_counts (claims, result);
  if (pending->received)
    owner->impl->send (owner, pending->requester, &reply);
  else
    owner->impl->result (owner, pending->id, result, incarnation);
  free (pending);
}

struct shard *
claims_shard (struct beryl_claims *claims, uint32_t number)
{
  if (claims->shards[number] == NULL)
    claims->shards[number] = shard_create (claims, number);
  return claims->shards[number];
}

uint32_t
claims_shard_number (const struct beryl_claims *claims, struct map_key key)
{
  return (uint32_t)(key.low % claims->settings.shards);
}

/* Rendezvous hashing: when a member joins or leaves, only shards that it is
 * home of change their home. */
static uint32_t
home_of (const struct beryl_claims *claims, uint32_t shard)
{
  uint32_t home = 0;
  uint64_t best = 0;

  for (uint32_t i = 0; i < claims->member_count; i++)
    {
      const char *node = claims->members[i];
      uint64_t weight = XXH3_64bits_withSeed (node, strlen (node), shard);

      if (i > 0
          && (weight < best
              || (weight == best && strcmp (node, claims->members[home]) > 0)))
        continue;
      home = i;
      best = weight;
    }
  return home;
}

const char *
beryl_claims_home (const struct beryl_claims *claims, uint32_t shard)
{
  if (claims->member_count == 0)
    return NULL;
  return claims->members[claims->homes[shard]];
}

/* Whether this node is isolated: it knows no members, not even itself. */
bool
claims_is_isolated (const struct beryl_claims *claims)
{
  return claims->member_count == 0;
}

bool
claims_is_home (const struct beryl_claims *claims, uint32_t shard)
{
  const char *home = beryl_claims_home (claims, shard);

  return home == NULL || strcmp (home, claims->node) == 0;
}

/* Whether this node has been SHARD's home for long enough that nobody writes
 * on behalf of the previous home any more: when a home dies, nodes whose
 * requests are refused write to its shards themselves for a moment. */
bool
claims_is_established_home (const struct beryl_claims *claims, uint32_t shard,
                            int64_t now_ms)
{
  int64_t since_ms = claims->home_since_ms[shard];

  return since_ms != BERYL_NEVER_MS
         && now_ms - since_ms >= HOME_ESTABLISHED_MS;
}

/* Another home may write segments that this node does not see, so sole_writer
 * is cleared for the shards of other homes. */
static void
claims_assign_homes (struct beryl_claims *claims, int64_t now_ms)
{
  claims->home_count = 0;
  for (uint32_t i = 0; i < claims->settings.shards; i++)
    claims->homes[i] = home_of (claims, i);
  for (uint32_t i = 0; i < claims->settings.shards; i++)
    {
      bool home = !claims_is_isolated (claims) && claims_is_home (claims, i);

      if (home)
        claims->home_count++;
      if (!home)
        claims->home_since_ms[i] = BERYL_NEVER_MS;
      else if (claims->home_since_ms[i] == BERYL_NEVER_MS)
        claims->home_since_ms[i] = now_ms;
      if (!home && claims->shards[i] != NULL)
        claims->shards[i]->sole_writer = false;
    }
}

/* Interval between commits, in microseconds, at this node's share of the
 * commit rate; all homes together stay within what the object API sustains. */
static int64_t
commit_spacing_us (const struct beryl_claims *claims)
{
  uint64_t homes = claims->home_count > 0 ? claims->home_count : 1;

  return (int64_t)(UINT64_C (1000000) * claims->settings.shards
                   / (claims->settings.commits_per_s * homes));
}

int64_t
claims_next_commit_ms (const struct beryl_claims *claims)
{
  int64_t burst_us = COMMIT_BURST * commit_spacing_us (claims);

  int64_t rate_ms = (claims->rate_charged_until_us - burst_us + 999) / 1000;

  return rate_ms > claims->write_not_before_ms ? rate_ms
                                               : claims->write_not_before_ms;
}

/* Whether a shard may write now.  Once half of the burst is used up, only the
 * tick commits, which serves the shards in turn; otherwise a busy shard would
 * take every slot as it becomes free. */
bool
claims_may_commit (const struct beryl_claims *claims, int64_t now_ms)
{
  int64_t spare_us = now_ms * 1000 - claims->rate_charged_until_us;

  if (now_ms < claims->write_not_before_ms)
    return false;
  if (claims->serving_shards)
    return now_ms >= claims_next_commit_ms (claims);
  return spare_us >= -COMMIT_BURST / 2 * commit_spacing_us (claims);
}

void
claims_charge_commit (struct beryl_claims *claims, const struct shard *shard,
                      int64_t now_ms)
{
  if (claims->rate_charged_until_us < now_ms * 1000)
    claims->rate_charged_until_us = now_ms * 1000;
  claims->rate_charged_until_us += commit_spacing_us (claims);
  claims->next_shard = shard->number + 1;
}

void
beryl_claims_set_members (struct beryl_claims *claims,
                          const char *const *nodes, size_t node_count,
                          int64_t now_ms)
{
  char (*members)[BERYL_NAME_BYTES] = calloc (node_count + 1, sizeof *members);

  if (members == NULL)
    return;
  for (size_t i = 0; i < node_count; i++)
    snprintf (members[i], sizeof members[i], "%s", nodes[i]);
  free (claims->members);
  claims->members = members;
  claims->member_count = node_count;
  claims_assign_homes (claims, now_ms);
  beryl_claims_tick (claims, now_ms);
}

/* A process that was suspended may have lost shards to another home
 * meanwhile. */
static void
claims_detect_suspension (struct beryl_claims *claims, int64_t now_ms)
{
  int64_t gap_ms = now_ms - claims->last_event_ms;

  claims->last_event_ms = now_ms;
  if (gap_ms < SUSPENSION_DETECTED_MS)
    return;
  /* Its view of the members may be old too: a claim that it wrote as home now
   * would be unknown to the node that has become home. */
  claims->write_not_before_ms = now_ms + SUSPENSION_RECOVERY_MS;
  for (uint32_t i = 0; i < claims->settings.shards; i++)
    {
      if (claims->home_since_ms[i] != BERYL_NEVER_MS)
        claims->home_since_ms[i] = now_ms;
      if (claims->shards[i] != NULL)
        claims->shards[i]->sole_writer = false;
    }
}

void
beryl_claims_claim (struct beryl_claims *claims, uint64_t request,
                    const char *organisation, const char *key,
                    uint64_t call_hash, int64_t now_ms)
{
  struct pending_claim *pending = calloc (1, sizeof *pending);
  uint32_t number;

  claims_detect_suspension (claims, now_ms);
  if (pending == NULL)
    {
      claims->owner->impl->result (claims->owner, request,
                                   BERYL_CLAIM_UNAVAILABLE, 0);
      return;
    }
  pending->key = map_key_from_name (organisation, key);
  pending->call_hash = call_hash;
  pending->incarnation = claims->settings.incarnation;
  pending->id = request;
  number = claims_shard_number (claims, pending->key);
  if (claims_is_isolated (claims))
    claims_complete (claims, pending, BERYL_CLAIM_UNKNOWN, 0);
  else if (claims_is_home (claims, number))
    shard_claim (claims_shard (claims, number), pending, now_ms);
  else
    remote_claim_start (claims, pending, beryl_claims_home (claims, number),
                        now_ms);
}

static void
on_claim_request (struct beryl_claims *claims, const char *node,
                  const struct beryl_claim_message *message, int64_t now_ms)
{
  struct pending_claim *pending = calloc (1, sizeof *pending);

  if (pending == NULL)
    return;
  pending->key = (struct map_key){ message->key_high, message->key_low };
  pending->call_hash = message->call_hash;
  pending->incarnation = message->incarnation;
  pending->id = message->id;
  pending->received = true;
  snprintf (pending->requester, sizeof pending->requester, "%s", node);
  shard_claim (
      claims_shard (claims, claims_shard_number (claims, pending->key)),
      pending, now_ms);
}

void
beryl_claims_handle_message (struct beryl_claims *claims, const char *node,
                             const struct beryl_claim_message *message,
                             int64_t now_ms)
{
  claims_detect_suspension (claims, now_ms);
  if (message->type == BERYL_CLAIM_REPLY)
    remote_claims_on_reply (claims, message);
  else
    on_claim_request (claims, node, message, now_ms);
}

static struct shard *
call_take (struct beryl_claims *claims, uint64_t call)
{
  struct shard *shard = map_get (&claims->calls, map_key_from_number (call));

  map_remove (&claims->calls, map_key_from_number (call));
  return shard;
}

void
beryl_claims_read_done (struct beryl_claims *claims, uint64_t call,
                        enum beryl_error_code code,
                        const struct beryl_object *objects,
                        size_t object_count, int64_t now_ms)
{
  struct shard *shard = call_take (claims, call);

  claims_detect_suspension (claims, now_ms);
  if (shard != NULL && shard->call_id == call)
    shard_on_read (shard, code, objects, object_count, now_ms);
}

void
beryl_claims_write_done (struct beryl_claims *claims, uint64_t call,
                         enum beryl_error_code code, int64_t now_ms)
{
  struct shard *shard = call_take (claims, call);

  claims_detect_suspension (claims, now_ms);
  if (shard == NULL)
    return;
  if (shard->call_id == call)
    shard_on_create_done (shard, code, now_ms);
  else if (shard->compaction_call_id == call)
    compaction_on_written (shard, code, now_ms);
}

/* Reads the shards of this home ahead of need, one after another, so that
 * their keys are known in an outage of the object API. */
static void
claims_preload (struct beryl_claims *claims, int64_t now_ms)
{
  for (uint32_t i = 0; i < claims->settings.shards; i++)
    {
      struct shard *shard = claims->shards[i];

      if (shard != NULL && shard->call == SHARD_LIST)
        return;
    }
  for (uint32_t i = 0; i < claims->settings.shards; i++)
    {
      struct shard *shard = claims->shards[i];

      if ((shard != NULL && (shard->loaded || now_ms < shard->next_ms))
          || !claims_is_home (claims, i))
        continue;
      shard_load (claims_shard (claims, i), now_ms);
      return;
    }
}

void
beryl_claims_tick (struct beryl_claims *claims, int64_t now_ms)
{
  claims_detect_suspension (claims, now_ms);
  remote_claims_retry (claims, now_ms);
  claims->serving_shards = true;
  for (uint32_t n = 0, first = claims->next_shard; n < claims->settings.shards;
       n++)
    {
      uint32_t i = (first + n) % claims->settings.shards;
      struct shard *shard = claims->shards[i];

      if (shard == NULL)
        continue;
      shard_step (shard, now_ms);
      if (claims_is_home (claims, i))
        compaction_step (shard, now_ms);
    }
  claims->serving_shards = false;
  if (claims->member_count > 0)
    claims_preload (claims, now_ms);
}

static int64_t
earlier (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

int64_t
beryl_claims_next_ms (const struct beryl_claims *claims)
{
  int64_t next_ms = claims->last_event_ms + TICK_INTERVAL_MAX_MS;

  for (const struct remote_claim *r = claims->remotes; r != NULL; r = r->next)
    next_ms = earlier (next_ms, r->due_ms);
  for (uint32_t i = 0; i < claims->settings.shards; i++)
    {
      const struct shard *shard = claims->shards[i];

      if (shard == NULL)
        continue;
      next_ms = earlier (next_ms, shard_next_ms (shard));
      if (claims_is_home (claims, i))
        next_ms = earlier (next_ms, compaction_next_ms (shard));
      if (!shard->loaded && shard->call == SHARD_IDLE
          && claims_is_home (claims, i))
        next_ms = earlier (next_ms, shard->next_ms);
    }
  return next_ms;
}

const struct beryl_claims_counts *
beryl_claims_counts (const struct beryl_claims *claims)
{
  return &claims->counts;
}
