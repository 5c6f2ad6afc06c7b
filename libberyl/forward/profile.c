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
  return (struct beryl_generation_profile){
    .service = beryl_engine_number (s->name),
    .arrived = at_most (s->seen, ARRIVED_MOST),
    .prompt_tokens = (uint32_t)s->prompt_tokens,
    .output_tokens = (uint32_t)s->output_tokens,
    .prefills = at_most (s->prefill.seen, PREFILLS_MOST),
    .prefill_ns_per_token = (uint32_t)(s->prefill.ms_per_token * NS_PER_MS),
    .streams = at_most (s->lengths.paces, STREAMS_MOST),
    .decode_ns_per_token = (uint32_t)(s->lengths.ms_per_token * NS_PER_MS),
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
  double prefills, prefill_ns;
  double streams, decode_ns;
};

static void
sums_add (struct sums *sums, const struct beryl_generation_profile *profile)
{
  sums->arrived += profile->arrived;
  sums->prompt += (double)profile->arrived * profile->prompt_tokens;
  sums->output += (double)profile->arrived * profile->output_tokens;
  sums->prefills += profile->prefills;
  sums->prefill_ns
      += (double)profile->prefills * profile->prefill_ns_per_token;
  sums->streams += profile->streams;
  sums->decode_ns += (double)profile->streams * profile->decode_ns_per_token;
}

static double
mean_of (double sum, double count, double otherwise)
{
  return count > 0 ? sum / count : otherwise;
}

static void
note_prefills (struct beryl_generation_mix *mix,
               const struct beryl_generation_profile *profile)
{
  double pace = profile->prefill_ns_per_token / NS_PER_MS;

  if (profile->prefills == 0)
    return;
  if (mix->prefill_seen.nodes == 0 || pace < mix->prefill_seen.least)
    mix->prefill_seen.least = pace;
  if (mix->prefill_seen.nodes == 0 || pace > mix->prefill_seen.most)
    mix->prefill_seen.most = pace;
  mix->prefill_seen.nodes++;
  mix->prefill_seen.prefills += profile->prefills;
}

static struct beryl_generation_mix
mix_of (const struct service *s)
{
  struct beryl_generation_profile own = own_profile (s);
  struct beryl_generation_mix mix;
  struct sums sums = { 0 };

  sums_add (&sums, &own);
  for (size_t i = 0; i < s->peers.count; i++)
    sums_add (&sums, &s->peers.items[i].profile);
  mix = (struct beryl_generation_mix){
    .prompt_tokens = mean_of (sums.prompt, sums.arrived, s->prompt_tokens),
    .output_tokens = mean_of (sums.output, sums.arrived, s->output_tokens),
    .prefill_ms_per_token = mean_of (sums.prefill_ns / NS_PER_MS,
                                     sums.prefills, s->prefill.ms_per_token),
    .decode_ms_per_token = mean_of (sums.decode_ns / NS_PER_MS, sums.streams,
                                    s->lengths.ms_per_token),
    .kv_tokens = s->kv_tokens,
    .measured
    = sums.prefills >= KNOWN_PREFILLS && sums.streams >= KNOWN_STREAMS,
  };
  note_prefills (&mix, &own);
  for (size_t i = 0; i < s->peers.count; i++)
    note_prefills (&mix, &s->peers.items[i].profile);
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

/* Until this node has seen for itself it goes by what the others have. */
static void
take_paces (struct service *s)
{
  struct beryl_generation_mix mix;

  if (s->prefill.seen != 0 && s->lengths.paces != 0)
    return;
  mix = mix_of (s);
  if (s->prefill.seen == 0)
    s->prefill.ms_per_token = mix.prefill_ms_per_token;
  if (s->lengths.paces == 0)
    s->lengths.ms_per_token = mix.decode_ms_per_token;
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
      keep (&s->peers, beryl_engine_number (peer), &profiles->items[i]);
      take_paces (s);
    }
}

void
profile_forget (struct beryl_forward *f, const char *peer)
{
  uint32_t number = beryl_engine_number (peer);

  for (size_t i = 0; i < f->service_count; i++)
    {
      struct peer_profiles *peers = &f->services[i]->peers;

      for (size_t k = peers->count; k > 0; k--)
        if (peers->items[k - 1].peer == number)
          peers->items[k - 1] = peers->items[--peers->count];
    }
}
