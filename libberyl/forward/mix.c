#include "private.h"

#include <math.h>
#include <stdlib.h>

/* What all nodes together have learned of a service's generations.  Of many
 * nodes each sees few requests; the one that plans for all would know their
 * sizes and the engines' speeds too late, and had moved engines by what was
 * assumed. */

/* A node counts by what it has seen, up to as much: its means follow the
 * newest, not all that it ever saw. */
#define SEEN_MOST 20
/* What a peer that is gone has learned holds for a while. */
#define KEPT_MS 30000
/* Prefills, of all nodes, after which the mix counts as measured. */
#define MEASURED_PREFILLS 8
#define NS_PER_MS 1e6

static struct peer_mix *
find (struct beryl_forward *f, uint32_t peer, uint32_t service)
{
  for (size_t i = 0; i < f->mix_count; i++)
    if (f->mixes[i].peer == peer && f->mixes[i].report.service == service)
      return &f->mixes[i];
  return NULL;
}

static struct peer_mix *
add (struct beryl_forward *f)
{
  f->mixes = realloc (f->mixes, (f->mix_count + 1) * sizeof *f->mixes);
  return &f->mixes[f->mix_count++];
}

/* Nodes come and go: a place whose news is too old is used again. */
static struct peer_mix *
find_old (struct beryl_forward *f, int64_t now_ms)
{
  for (size_t i = 0; i < f->mix_count; i++)
    if (now_ms - f->mixes[i].told_ms > KEPT_MS)
      return &f->mixes[i];
  return NULL;
}

void
beryl_forward_peer_mix (struct beryl_forward *f, const char *peer,
                        const struct beryl_mix_reports *reports,
                        int64_t now_ms)
{
  uint32_t number = beryl_engine_number (peer);

  for (size_t i = 0; i < reports->count; i++)
    {
      struct peer_mix *mix = find (f, number, reports->items[i].service);

      if (mix == NULL)
        mix = find_old (f, now_ms);
      if (mix == NULL)
        mix = add (f);
      *mix = (struct peer_mix){ .peer = number,
                                .report = reports->items[i],
                                .told_ms = now_ms };
    }
}

static struct beryl_mix_report
own_report (const struct service *s)
{
  return (struct beryl_mix_report){
    .service = beryl_engine_number (s->name),
    .prefills = s->prefill.seen,
    .prompt_tokens = (uint32_t)s->prompt_tokens,
    .prefill_ns_per_token = (uint32_t)(s->prefill.ms_per_token * NS_PER_MS),
    .runs = s->lengths.seen,
    .output_tokens = (uint32_t)s->lengths.seen_mean,
    .decode_ns_per_token = (uint32_t)(s->lengths.ms_per_token * NS_PER_MS),
  };
}

void
beryl_forward_mix_reports (const struct beryl_forward *f,
                           struct beryl_mix_reports *reports)
{
  reports->count = 0;
  for (size_t i = 0; i < f->service_count; i++)
    if (f->services[i]->prefill.seen > 0
        && reports->count < BERYL_MIX_REPORTS_MAX)
      reports->items[reports->count++] = own_report (f->services[i]);
}

/* Sums, each times what it was learned from. */
struct sums
{
  double prefills;
  double prompt_tokens;
  double prefill_ms;
  double runs;
  double output_tokens;
  double decode_ms;
};

static void
sum (struct sums *sums, const struct beryl_mix_report *report)
{
  double prefills = fmin (report->prefills, SEEN_MOST);
  double runs = fmin (report->runs, SEEN_MOST);

  sums->prefills += prefills;
  sums->prompt_tokens += prefills * report->prompt_tokens;
  sums->prefill_ms += prefills * report->prefill_ns_per_token / NS_PER_MS;
  sums->runs += runs;
  sums->output_tokens += runs * report->output_tokens;
  sums->decode_ms += runs * report->decode_ns_per_token / NS_PER_MS;
}

/* Return the mean, or ASSUMED without anything seen. */
static double
mean (double total, double count, double assumed)
{
  return count > 0 ? total / count : assumed;
}

struct beryl_generation_mix
beryl_forward_mix (struct beryl_forward *f, const char *name, int64_t now_ms)
{
  const struct service *s = forward_service (f, name);
  struct beryl_mix_report own = own_report (s);
  struct sums sums = { 0 };

  sum (&sums, &own);
  for (size_t i = 0; i < f->mix_count; i++)
    if (f->mixes[i].report.service == own.service
        && now_ms - f->mixes[i].told_ms <= KEPT_MS)
      sum (&sums, &f->mixes[i].report);
  return (struct beryl_generation_mix){
    .prompt_tokens
    = mean (sums.prompt_tokens, sums.prefills, s->prompt_tokens),
    .output_tokens = length_model_joint_mean (sums.output_tokens, sums.runs),
    .prefill_ms_per_token
    = mean (sums.prefill_ms, sums.prefills, s->prefill.ms_per_token),
    .decode_ms_per_token
    = mean (sums.decode_ms, sums.runs, s->lengths.ms_per_token),
    .kv_tokens = s->kv_tokens,
    .measured = sums.prefills >= MEASURED_PREFILLS,
  };
}
