#include "private.h"

#include <math.h>
#include <stdlib.h>

/* What nodes learn of generations, each from its own few, put together.  In a
 * large fleet a node sees a generation now and then, and the holder of the
 * planner's lease needs several to know the engines' speed. */

/* Most of its own observations that a node's means go back to; more count no
 * more, so that a shift is followed. */
#define ARRIVED_MOST 20
#define PREFILLS_MOST 8
#define STREAMS_MOST 8
/* So many of all nodes make a profile that engines are ordered by. */
#define KNOWN_PREFILLS 8
#define KNOWN_STREAMS 4
#define NS_PER_MS 1e6
/* The fleet's paces are put together again once this part of the peers, one in
 * so many, has told something. */
#define CHANGED_PART 8

struct peer_profile
{
  uint32_t peer; /* the number of its name */
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
  double decode_ms = s->lengths.paces > 0 ? s->lengths.seen_ms_per_token
                                          : s->lengths.ms_per_token;

  return (struct beryl_generation_profile){
    .service = beryl_name_hash (s->name),
    .arrived = at_most (s->seen, ARRIVED_MOST),
    .prompt_tokens = (uint32_t)s->prompt_tokens,
    .output_tokens = (uint32_t)s->output_tokens,
    .prefills = at_most (s->prefill.seen, PREFILLS_MOST),
    .prefill_ns_per_token = (uint32_t)(s->prefill.ms_per_token * NS_PER_MS),
    .streams = at_most (s->lengths.paces, STREAMS_MOST),
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
    if (f->services[i]->seen > 0)
      profiles->items[profiles->count++] = own_profile (f->services[i]);
}

/* Sums of observations, by their numbers. */
struct sums
{
  double arrived, prompt, output;
};

/* A pace that a node has learned from COUNT observations. */
struct node_pace
{
  double ms_per_token;
  uint32_t count;
};

/* The paces of all nodes that have learned one. */
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
mean_of (double sum, double count, double otherwise)
{
  return count > 0 ? sum / count : otherwise;
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

/* Sorts PACES and returns the median of the observations.  In a mean one node
 * that was paused during its first prefill outweighs many others. */
static double
paces_median (struct node_paces *paces, double otherwise)
{
  uint64_t below = 0;

  qsort (paces->items, paces->count, sizeof *paces->items, compare_paces);
  for (size_t i = 0; i < paces->count; i++)
    {
      below += paces->items[i].count;
      if (2 * below >= paces->observations)
        return paces->items[i].ms_per_token;
    }
  return otherwise;
}

/* What all nodes have learned. */
struct fleet
{
  struct sums sums;
  struct node_paces prefills;
  struct node_paces streams;
};

static void
fleet_add (struct fleet *fleet, const struct beryl_generation_profile *profile)
{
  sums_add (&fleet->sums, profile);
  paces_add (&fleet->prefills, profile->prefill_ns_per_token,
             profile->prefills);
  paces_add (&fleet->streams, profile->decode_ns_per_token, profile->streams);
}

static void
note_prefills (struct beryl_generation_mix *mix,
               const struct node_paces *prefills)
{
  if (prefills->count == 0)
    return;
  mix->prefill_samples.nodes = (uint32_t)prefills->count;
  mix->prefill_samples.prefills = (uint32_t)prefills->observations;
  mix->prefill_samples.min_ms_per_token = prefills->items[0].ms_per_token;
  mix->prefill_samples.max_ms_per_token
      = prefills->items[prefills->count - 1].ms_per_token;
}

static struct beryl_generation_mix
mix_of (const struct service *s)
{
  struct beryl_generation_profile own = own_profile (s);
  struct beryl_generation_mix mix;
  struct fleet fleet = { 0 };
  const struct sums *sums = &fleet.sums;

  paces_init (&fleet.prefills, s->peers.count + 1);
  paces_init (&fleet.streams, s->peers.count + 1);
  fleet_add (&fleet, &own);
  for (size_t i = 0; i < s->peers.count; i++)
    fleet_add (&fleet, &s->peers.items[i].profile);
  mix = (struct beryl_generation_mix){
    .prompt_tokens = mean_of (sums->prompt, sums->arrived, s->prompt_tokens),
    .output_tokens = mean_of (sums->output, sums->arrived, s->output_tokens),
    .prefill_ms_per_token
    = paces_median (&fleet.prefills, s->prefill.ms_per_token),
    .decode_ms_per_token
    = paces_median (&fleet.streams, s->lengths.seen_ms_per_token),
    .kv_tokens = s->kv_tokens,
    .measured = fleet.prefills.observations >= KNOWN_PREFILLS
                && fleet.streams.observations >= KNOWN_STREAMS,
  };
  note_prefills (&mix, &fleet.prefills);
  free (fleet.prefills.items);
  free (fleet.streams.items);
  return mix;
}

struct beryl_generation_mix
beryl_forward_mix (struct beryl_forward *f, const char *name)
{
  return mix_of (forward_service (f, name));
}

static void
keep (struct peer_profiles *peers, uint32_t peer,
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

/* Until this node has seen enough for itself it goes by what all have seen. */
static void
take_paces (struct service *s)
{
  bool prefills_known = s->prefill.seen >= PREFILLS_MOST;
  bool streams_known = s->lengths.paces >= STREAMS_MOST;
  struct beryl_generation_mix mix;

  s->peers.changed = 0;
  s->prefill_ms_per_token = s->prefill.ms_per_token;
  if (prefills_known && streams_known)
    return;
  mix = mix_of (s);
  if (!prefills_known)
    s->prefill_ms_per_token = mix.prefill_ms_per_token;
  if (!streams_known)
    s->lengths.ms_per_token = mix.decode_ms_per_token;
}

void
profile_learn_prefill (struct service *s, uint32_t tokens, int64_t took_ms)
{
  pace_learn (&s->prefill, tokens, took_ms);
  take_paces (s);
}

void
profile_learn_stream (struct service *s, uint32_t tokens, int64_t took_ms)
{
  length_model_learn_pace (&s->lengths, tokens, took_ms);
  take_paces (s);
}

void
beryl_forward_peer_profiles (struct beryl_forward *f, const char *peer,
                             const struct beryl_generation_profiles *profiles)
{
  for (size_t i = 0; i < profiles->count; i++)
    {
      struct service *s
          = forward_service_numbered (f, profiles->items[i].service);

      if (s == NULL)
        continue;
      keep (&s->peers, beryl_name_hash (peer), &profiles->items[i]);
      if (++s->peers.changed > s->peers.count / CHANGED_PART)
        take_paces (s);
    }
}

void
profile_forget (struct beryl_forward *f, const char *peer)
{
  uint32_t number = beryl_name_hash (peer);

  for (size_t i = 0; i < f->service_count; i++)
    {
      struct peer_profiles *peers = &f->services[i]->peers;

      for (size_t k = peers->count; k > 0; k--)
        if (peers->items[k - 1].peer == number)
          peers->items[k - 1] = peers->items[--peers->count];
    }
}
