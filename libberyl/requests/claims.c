#include "beryl/claims.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/random.h"
#include "claim_private.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#define SHARDS_DEFAULT 16
#define FOLD_SEGMENTS_DEFAULT 16
#define COMMIT_INTERVAL_DEFAULT_MS 20
#define COMMITS_PER_S_DEFAULT 120
/* Commits that a quiet node may make at once. */
#define COMMIT_BURST 8
#define RETENTION_DEFAULT_MS 3600000
#define DELETE_AFTER_DEFAULT_MS 600000
#define ASK_TIMEOUT_DEFAULT_MS 500
/* Ticks come at least this often; a far longer gap is a stopped process.  It
 * must be noticed before the others could have replaced this home. */
#define HEARTBEAT_MS 200
#define GAP_MS (3 * HEARTBEAT_MS)
/* How long a woken process waits for the members that it missed. */
#define CATCH_UP_MS 100
/* How long a new home is not certain of its log. */
#define TENURE_MS 2000

static void
default_to (int64_t *setting, int64_t value)
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
  if (claims->settings.fold_segments == 0)
    claims->settings.fold_segments = FOLD_SEGMENTS_DEFAULT;
  if (claims->settings.shards > BERYL_CLAIM_SHARDS_MAX)
    claims->settings.shards = BERYL_CLAIM_SHARDS_MAX;
  if (claims->settings.commits_per_s == 0)
    claims->settings.commits_per_s = COMMITS_PER_S_DEFAULT;
  default_to (&claims->settings.commit_interval_ms,
              COMMIT_INTERVAL_DEFAULT_MS);
  default_to (&claims->settings.retention_ms, RETENTION_DEFAULT_MS);
  default_to (&claims->settings.delete_after_ms, DELETE_AFTER_DEFAULT_MS);
  default_to (&claims->settings.ask_timeout_ms, ASK_TIMEOUT_DEFAULT_MS);
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
  ask_clear (claims);
  map_clear (&claims->calls);
  free (claims->shards);
  free (claims->homes);
  free (claims->home_since_ms);
  free (claims->members);
  free (claims);
}

void
queue_add (struct waiting_queue *queue, struct waiting *waiting)
{
  waiting->next = NULL;
  if (queue->last != NULL)
    queue->last->next = waiting;
  else
    queue->first = waiting;
  queue->last = waiting;
  queue->count++;
}

struct waiting *
queue_take (struct waiting_queue *queue)
{
  struct waiting *waiting = queue->first;

  if (waiting == NULL)
    return NULL;
  queue->first = waiting->next;
  if (queue->first == NULL)
    queue->last = NULL;
  queue->count--;
  return waiting;
}

uint64_t
claims_call (struct beryl_claims *claims, struct shard *shard)
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
count_result (struct beryl_claims *claims, enum beryl_claim_result result)
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

/* Ends WAITING, which is released. */
void
claims_answer (struct beryl_claims *claims, struct waiting *waiting,
               enum beryl_claim_result result, uint64_t incarnation)
{
  struct beryl_claims_owner *owner = claims->owner;
  struct beryl_claim_message reply = {
    .type = BERYL_CLAIM_REPLY,
    .id = waiting->id,
    .key_high = waiting->key.high,
    .key_low = waiting->key.low,
    .body_hash = waiting->body_hash,
    .incarnation = incarnation,
    .result = result,
  };

  count_result (claims, result);
  if (waiting->remote)
    owner->impl->send (owner, waiting->node, &reply);
  else
    owner->impl->result (owner, waiting->id, result, incarnation);
  free (waiting);
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

/* Rendezvous hashing: when a member comes or goes, only its own shards
 * change their home. */
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

/* Whether no other node is known to be there. */
bool
claims_is_alone (const struct beryl_claims *claims)
{
  return claims->member_count == 0;
}

bool
claims_is_home (const struct beryl_claims *claims, uint32_t shard)
{
  const char *home = beryl_claims_home (claims, shard);

  return home == NULL || strcmp (home, claims->node) == 0;
}

/* Whether this node has been SHARD's home so long that nobody writes for its
 * predecessor any more: when a home dies, nodes whose asks it refused write by
 * themselves for a moment. */
bool
claims_settled_home (const struct beryl_claims *claims, uint32_t shard,
                     int64_t now_ms)
{
  int64_t since_ms = claims->home_since_ms[shard];

  return since_ms != BERYL_NEVER_MS && now_ms - since_ms >= TENURE_MS;
}

/* Whoever is home now may write what this node does not see. */
static void
claims_count_shards (struct beryl_claims *claims, int64_t now_ms)
{
  claims->home_count = 0;
  for (uint32_t i = 0; i < claims->settings.shards; i++)
    claims->homes[i] = home_of (claims, i);
  for (uint32_t i = 0; i < claims->settings.shards; i++)
    {
      bool home = !claims_is_alone (claims) && claims_is_home (claims, i);

      if (home)
        claims->home_count++;
      if (!home)
        claims->home_since_ms[i] = BERYL_NEVER_MS;
      else if (claims->home_since_ms[i] == BERYL_NEVER_MS)
        claims->home_since_ms[i] = now_ms;
      if (!home && claims->shards[i] != NULL)
        claims->shards[i]->sole = false;
    }
}

/* Time that one commit uses up, so that all homes together stay within the
 * rate that the object API can bear. */
static int64_t
commit_cost_us (const struct beryl_claims *claims)
{
  uint64_t homes = claims->home_count > 0 ? claims->home_count : 1;

  return (int64_t)(UINT64_C (1000000) * claims->settings.shards
                   / (claims->settings.commits_per_s * homes));
}

int64_t
claims_commit_ms (const struct beryl_claims *claims)
{
  int64_t burst_us = COMMIT_BURST * commit_cost_us (claims);

  int64_t rate_ms = (claims->commits_until_us - burst_us + 999) / 1000;

  return rate_ms > claims->write_from_ms ? rate_ms : claims->write_from_ms;
}

/* Whether SHARD may write now.  Once the burst is used up, shards take turns
 * in the tick: a busy one would else take each place as it becomes free. */
bool
claims_may_commit (const struct beryl_claims *claims, int64_t now_ms)
{
  int64_t spare_us = now_ms * 1000 - claims->commits_until_us;

  if (now_ms < claims->write_from_ms)
    return false;
  if (claims->in_turn)
    return now_ms >= claims_commit_ms (claims);
  return spare_us >= -COMMIT_BURST / 2 * commit_cost_us (claims);
}

void
claims_count_commit (struct beryl_claims *claims, const struct shard *shard,
                     int64_t now_ms)
{
  if (claims->commits_until_us < now_ms * 1000)
    claims->commits_until_us = now_ms * 1000;
  claims->commits_until_us += commit_cost_us (claims);
  claims->turn = shard->number + 1;
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
  claims_count_shards (claims, now_ms);
  beryl_claims_tick (claims, now_ms);
}

/* A process that was stopped may have lost its shards to another home
 * meanwhile. */
static void
claims_note_time (struct beryl_claims *claims, int64_t now_ms)
{
  int64_t gap_ms = now_ms - claims->last_tick_ms;

  claims->last_tick_ms = now_ms;
  if (gap_ms < GAP_MS)
    return;
  /* It may also have lost its members' view: what it wrote now as home would
   * escape the node that has become home. */
  claims->write_from_ms = now_ms + CATCH_UP_MS;
  for (uint32_t i = 0; i < claims->settings.shards; i++)
    {
      if (claims->home_since_ms[i] != BERYL_NEVER_MS)
        claims->home_since_ms[i] = now_ms;
      if (claims->shards[i] != NULL)
        claims->shards[i]->sole = false;
    }
}

void
beryl_claims_claim (struct beryl_claims *claims, uint64_t request,
                    const char *organisation, const char *key,
                    uint64_t body_hash, int64_t now_ms)
{
  struct waiting *waiting = calloc (1, sizeof *waiting);
  uint32_t number;

  claims_note_time (claims, now_ms);
  if (waiting == NULL)
    {
      claims->owner->impl->result (claims->owner, request,
                                   BERYL_CLAIM_UNAVAILABLE, 0);
      return;
    }
  waiting->key = map_key_from_name (organisation, key);
  waiting->body_hash = body_hash;
  waiting->incarnation = claims->settings.incarnation;
  waiting->id = request;
  number = claims_shard_number (claims, waiting->key);
  if (claims_is_alone (claims))
    claims_answer (claims, waiting, BERYL_CLAIM_UNKNOWN, 0);
  else if (claims_is_home (claims, number))
    shard_ask (claims_shard (claims, number), waiting, now_ms);
  else
    ask_home (claims, waiting, beryl_claims_home (claims, number), now_ms);
}

static void
on_ask (struct beryl_claims *claims, const char *node,
        const struct beryl_claim_message *message, int64_t now_ms)
{
  struct waiting *waiting = calloc (1, sizeof *waiting);

  if (waiting == NULL)
    return;
  waiting->key = (struct map_key){ message->key_high, message->key_low };
  waiting->body_hash = message->body_hash;
  waiting->incarnation = message->incarnation;
  waiting->id = message->id;
  waiting->remote = true;
  snprintf (waiting->node, sizeof waiting->node, "%s", node);
  shard_ask (claims_shard (claims, claims_shard_number (claims, waiting->key)),
             waiting, now_ms);
}

void
beryl_claims_message (struct beryl_claims *claims, const char *node,
                      const struct beryl_claim_message *message,
                      int64_t now_ms)
{
  claims_note_time (claims, now_ms);
  if (message->type == BERYL_CLAIM_REPLY)
    ask_on_reply (claims, message);
  else
    on_ask (claims, node, message, now_ms);
}

static struct shard *
call_take (struct beryl_claims *claims, uint64_t call)
{
  struct shard *shard = map_get (&claims->calls, map_key_from_number (call));

  map_remove (&claims->calls, map_key_from_number (call));
  return shard;
}

void
beryl_claims_read (struct beryl_claims *claims, uint64_t call,
                   enum beryl_error_code code,
                   const struct beryl_object *objects, size_t object_count,
                   int64_t now_ms)
{
  struct shard *shard = call_take (claims, call);

  claims_note_time (claims, now_ms);
  if (shard != NULL && shard->call_id == call)
    shard_on_read (shard, code, objects, object_count, now_ms);
}

void
beryl_claims_written (struct beryl_claims *claims, uint64_t call,
                      enum beryl_error_code code, int64_t now_ms)
{
  struct shard *shard = call_take (claims, call);

  claims_note_time (claims, now_ms);
  if (shard == NULL)
    return;
  if (shard->call_id == call)
    shard_on_created (shard, code, now_ms);
  else if (shard->fold_id == call)
    fold_on_written (shard, code, now_ms);
}

/* Reads the shards that this node is home of before they are needed, one
 * after another: in an outage of the object API their keys are then known. */
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

      if ((shard != NULL && (shard->read || now_ms < shard->next_ms))
          || !claims_is_home (claims, i))
        continue;
      shard_load (claims_shard (claims, i), now_ms);
      return;
    }
}

void
beryl_claims_tick (struct beryl_claims *claims, int64_t now_ms)
{
  claims_note_time (claims, now_ms);
  ask_step (claims, now_ms);
  claims->in_turn = true;
  for (uint32_t n = 0, turn = claims->turn; n < claims->settings.shards; n++)
    {
      uint32_t i = (turn + n) % claims->settings.shards;
      struct shard *shard = claims->shards[i];

      if (shard == NULL)
        continue;
      shard_step (shard, now_ms);
      if (claims_is_home (claims, i))
        fold_step (shard, now_ms);
    }
  claims->in_turn = false;
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
  int64_t next_ms = claims->last_tick_ms + HEARTBEAT_MS;

  for (const struct asked *a = claims->asked; a != NULL; a = a->next)
    next_ms = earlier (next_ms, a->due_ms);
  for (uint32_t i = 0; i < claims->settings.shards; i++)
    {
      const struct shard *shard = claims->shards[i];

      if (shard == NULL)
        continue;
      next_ms = earlier (next_ms, shard_next_ms (shard));
      if (claims_is_home (claims, i))
        next_ms = earlier (next_ms, fold_next_ms (shard));
      if (!shard->read && shard->call == SHARD_IDLE
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
