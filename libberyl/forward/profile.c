#include "../decide/pool_pace.h"
#include "private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Merges what the nodes learn of generations. In a large fleet a node sees a
   generation only now and then, but the node that assigns engines to stages
   (it holds the planner's lease) needs several to know the engines' speed. */

/* Maximum weight of a node's profile in the merged one; below it, the weight
   is the node's number of observations. The maximum lets changes show soon:
   older observations of a node add no weight. */
#define ARRIVED_WEIGHT_MAX 20
#define PREFILLS_WEIGHT_MAX 8
#define STREAMS_WEIGHT_MAX 8
/* Minimum number of observations of all nodes for a merged profile to be used
   to assign engines. */
#define MEASURED_PREFILLS_MIN 8
#define MEASURED_STREAMS_MIN 4
/* Engines differ in speed if the upper quartile of the paces exceeds the lower
   one by this factor. Then each of them needs as many observations, as far as
   the nodes' weights allow. */
#define UNLIKE_QUARTILES 2.0
#define NS_PER_MS 1e6
/* The paces of all nodes are merged again once more profiles have arrived than
   the number of peers divided by this. */
#define MERGE_DIVISOR 8

struct peer_profile
{
  uint32_t peer; /* beryl_name_hash of its name */
  struct beryl_generation_profile profile;
};

void
profile_clear (struct peer_profiles *profiles)
{
  free (profiles->items);
  *profiles = (struct peer_profiles){ 0 };
}

static uint32_t
at_most (uint32_t count, uint32_t most)
{
  return count < most ? count : most;
}

static struct beryl_generation_profile
own_profile (const struct service *s)
{
  double decode_ms = s->output_model.pace_samples > 0
                         ? s->output_model.own_ms_per_token
                         : s->output_model.ms_per_token;

  return (struct beryl_generation_profile){
    .service = beryl_name_hash (s->name),
    .arrived = at_most (s->arrived, ARRIVED_WEIGHT_MAX),
    .prompt_tokens = (uint32_t)s->prompt_tokens_mean,
    .output_tokens = (uint32_t)s->output_tokens_mean,
    .prefills = at_most (s->prefill_pace.samples, PREFILLS_WEIGHT_MAX),
    .prefill_ns_per_token
    = (uint32_t)(s->prefill_pace.ms_per_token * NS_PER_MS),
    .streams = at_most (s->output_model.pace_samples, STREAMS_WEIGHT_MAX),
    .decode_ns_per_token = (uint32_t)(decode_ms * NS_PER_MS),
  };
}

void
beryl_forward_profiles (const struct beryl_forward *f,
                        struct beryl_generation_profiles *profiles)
{
  *profiles = (struct beryl_generation_profiles){ 0 };
  for (size_t i = 0;
       i < f->service_count && profiles->count < BERYL_GENERATION_PROFILES_MAX;
       i++)
    if (f->services[i]->arrived > 0)
      profiles->items[profiles->count++] = own_profile (f->services[i]);
}

/* Sums over nodes, weighted by their numbers of observations. */
struct sums
{
  double arrived, prompt, output;
};

/* A node's pace, learned from COUNT observations. */
struct node_pace
{
  double ms_per_token;
  uint32_t count;
};

/* The paces of all nodes that have observations. */
struct node_paces
{
  struct node_pace *items;
  size_t count;
  uint64_t observations;
};

static void
sums_add (struct sums *sums, const struct beryl_generation_profile *profile)
{
  sums->arrived += profile->arrived;
  sums->prompt += (double)profile->arrived * profile->prompt_tokens;
  sums->output += (double)profile->arrived * profile->output_tokens;
}

static double
mean_of (double sum, double count, double fallback)
{
  return count > 0 ? sum / count : fallback;
}

static void
paces_init (struct node_paces *paces, size_t most)
{
  *paces = (struct node_paces){ .items = calloc (most, sizeof *paces->items) };
}

static void
paces_add (struct node_paces *paces, uint32_t ns_per_token, uint32_t count)
{
  if (count == 0)
    return;
  paces->items[paces->count++]
      = (struct node_pace){ ns_per_token / NS_PER_MS, count };
  paces->observations += count;
}

static int
compare_paces (const void *a, const void *b)
{
  double left = ((const struct node_pace *)a)->ms_per_token;
  double right = ((const struct node_pace *)b)->ms_per_token;

  return (left > right) - (left < right);
}

/* Returns the pace that PART of the observations of PACES, which are sorted,
   do not exceed; FALLBACK if there are none. */
static double
paces_quantile (const struct node_paces *paces, double part, double fallback)
{
  uint64_t below = 0;

  for (size_t i = 0; i < paces->count; i++)
    {
      below += paces->items[i].count;
      if ((double)below >= part * (double)paces->observations)
        return paces->items[i].ms_per_token;
    }
  return fallback;
}

/* Sorts PACES and returns the median of the observations; FALLBACK if there
   are none. Unlike a mean, it is not distorted by a single node that was
   paused during its first prefill. */
static double
paces_median (struct node_paces *paces, double fallback)
{
  qsort (paces->items, paces->count, sizeof *paces->items, compare_paces);
  return paces_quantile (paces, 0.5, fallback);
}

static bool
paces_differ (const struct node_paces *paces)
{
  return paces_quantile (paces, 0.75, 0)
         > UNLIKE_QUARTILES * paces_quantile (paces, 0.25, 0);
}

/* Sums and lists from which the profiles of all nodes are merged. */
struct profile_merge
{
  struct sums sums;
  struct node_paces prefills;
  struct node_paces streams;
};

static void
profile_merge_add (struct profile_merge *merge,
                   const struct beryl_generation_profile *profile)
{
  sums_add (&merge->sums, profile);
  paces_add (&merge->prefills, profile->prefill_ns_per_token,
             profile->prefills);
  paces_add (&merge->streams, profile->decode_ns_per_token, profile->streams);
}

static void
set_prefill_range (struct beryl_generation_mix *merged,
                   const struct node_paces *prefills)
{
  if (prefills->count == 0)
    return;
  merged->prefill_samples.nodes = (uint32_t)prefills->count;
  merged->prefill_samples.prefills = (uint32_t)prefills->observations;
  merged->prefill_samples.min_ms_per_token = prefills->items[0].ms_per_token;
  merged->prefill_samples.max_ms_per_token
      = prefills->items[prefills->count - 1].ms_per_token;
}

static struct beryl_generation_mix
merge_profiles (const struct service *s)
{
  struct beryl_generation_profile own = own_profile (s);
  struct beryl_generation_mix merged;
  struct profile_merge merge = { 0 };
  const struct sums *sums = &merge.sums;

  paces_init (&merge.prefills, s->peer_profiles.count + 1);
  paces_init (&merge.streams, s->peer_profiles.count + 1);
  profile_merge_add (&merge, &own);
  for (size_t i = 0; i < s->peer_profiles.count; i++)
    profile_merge_add (&merge, &s->peer_profiles.items[i].profile);
  merged = (struct beryl_generation_mix){
    .prompt_tokens
    = mean_of (sums->prompt, sums->arrived, s->prompt_tokens_mean),
    .output_tokens
    = mean_of (sums->output, sums->arrived, s->output_tokens_mean),
    .prefill_ms_per_token
    = paces_median (&merge.prefills, s->prefill_pace.ms_per_token),
    .decode_ms_per_token
    = paces_median (&merge.streams, s->output_model.own_ms_per_token),
    .kv_tokens = s->kv_tokens,
    .measured = merge.prefills.observations >= MEASURED_PREFILLS_MIN
                && merge.streams.observations >= MEASURED_STREAMS_MIN,
    .unlike_engines = paces_differ (&merge.prefills),
  };
  set_prefill_range (&merged, &merge.prefills);
  free (merge.prefills.items);
  free (merge.streams.items);
  return merged;
}

/* Returns the time per token of WORK at an engine of S of mean speed. */
static double
mean_pace (struct beryl_forward *f, const struct service *s,
           enum beryl_work work, double usual_ms_per_token, int64_t now_ms)
{
  size_t count = beryl_live_set_count (f->endpoints);
  struct engine_pace *engines = calloc (count + 1, sizeof *engines);
  size_t engine_count = 0;
  double pace;

  for (size_t i = 0; i < count; i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);
      struct beryl_capacity_belief belief;

      if (endpoint->info.stage == BERYL_STAGE_NONE
          || strcmp (endpoint->info.service, s->name) != 0
          || !beryl_live_accepts_work (endpoint))
        continue;
      belief = speeds_of (f, s, endpoint, work, now_ms);
      engines[engine_count++]
          = (struct engine_pace){ belief.unloaded_ms_per_unit, belief.speed };
    }
  pace = pool_pace (engines, engine_count, usual_ms_per_token);
  free (engines);
  return pace;
}

/* Returns how many prefills must have been observed before engines that differ
   in speed are assigned by them. */
static uint32_t
unlike_prefills_min (const struct beryl_forward *f, const struct service *s)
{
  uint32_t most = f->nodes * PREFILLS_WEIGHT_MAX / 2;
  uint32_t engines = 0;

  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);

      engines += endpoint->info.stage == BERYL_STAGE_PREFILL
                 && strcmp (endpoint->info.service, s->name) == 0;
    }
  return at_most (engines * MEASURED_PREFILLS_MIN, most);
}

struct beryl_generation_mix
beryl_forward_merged_profile (struct beryl_forward *f, const char *name,
                              int64_t now_ms)
{
  struct service *s = forward_service (f, name);
  struct beryl_generation_mix mix = merge_profiles (s);

  if (mix.unlike_engines
      && mix.prefill_samples.prefills < unlike_prefills_min (f, s))
    mix.measured = false;
  mix.prefill_ms_per_token
      = mean_pace (f, s, BERYL_WORK_PREFILL, mix.prefill_ms_per_token, now_ms);
  mix.decode_ms_per_token
      = mean_pace (f, s, BERYL_WORK_DECODE, mix.decode_ms_per_token, now_ms);
  return mix;
}

static void
store_profile (struct peer_profiles *peers, uint32_t peer,
               const struct beryl_generation_profile *profile)
{
  size_t i = 0;

  while (i < peers->count && peers->items[i].peer != peer)
    i++;
  if (i == peers->count)
    {
      peers->items
          = realloc (peers->items, (peers->count + 1) * sizeof *peers->items);
      peers->count++;
    }
  peers->items[i] = (struct peer_profile){ .peer = peer, .profile = *profile };
}

/* Sets the paces used in estimates: the fleet's until this node has enough
   observations of its own. */
static void
update_paces (struct service *s)
{
  bool prefills_known = s->prefill_pace.samples >= PREFILLS_WEIGHT_MAX;
  bool streams_known = s->output_model.pace_samples >= STREAMS_WEIGHT_MAX;
  struct beryl_generation_mix merged;

  s->peer_profiles.unmerged = 0;
  s->prefill_ms_per_token = s->prefill_pace.ms_per_token;
  if (prefills_known && streams_known)
    return;
  merged = merge_profiles (s);
  if (!prefills_known)
    s->prefill_ms_per_token = merged.prefill_ms_per_token;
  if (!streams_known)
    s->output_model.ms_per_token = merged.decode_ms_per_token;
}

void
profile_learn_prefill (struct service *s, uint32_t tokens, int64_t took_ms)
{
  pace_learn (&s->prefill_pace, tokens, took_ms);
  update_paces (s);
}

void
profile_learn_stream (struct service *s, uint32_t tokens, int64_t took_ms)
{
  output_model_learn_pace (&s->output_model, tokens, took_ms);
  update_paces (s);
}

void
beryl_forward_peer_profiles (struct beryl_forward *f, const char *peer,
                             const struct beryl_generation_profiles *profiles)
{
  for (size_t i = 0; i < profiles->count; i++)
    {
      struct service *s
          = forward_service_by_hash (f, profiles->items[i].service);

      if (s == NULL)
        continue;
      store_profile (&s->peer_profiles, beryl_name_hash (peer),
                     &profiles->items[i]);
      if (++s->peer_profiles.unmerged > s->peer_profiles.count / MERGE_DIVISOR)
        update_paces (s);
    }
}

void
profile_remove_peer (struct beryl_forward *f, const char *peer)
{
  uint32_t hash = beryl_name_hash (peer);

  for (size_t i = 0; i < f->service_count; i++)
    {
      struct peer_profiles *peers = &f->services[i]->peer_profiles;

      for (size_t k = peers->count; k > 0; k--)
        if (peers->items[k - 1].peer == hash)
          peers->items[k - 1] = peers->items[--peers->count];
    }
}
