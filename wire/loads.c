#include "wire/loads.h"

#include <string.h>
#include <sys/param.h>

#include "wire/link.h"

enum field
{
  FIELD_FROM = 1,
  FIELD_INCARNATION,
  FIELD_SEQUENCE,
  FIELD_RUNS,
  FIELD_CHANGING,
  FIELD_ENDPOINT_REVISION,
  FIELD_PROMPTS, /* in the order of the runs */
  FIELD_REPLACED,
  FIELD_UNREACHABLE,
  FIELD_ASKS,
  FIELD_LOANS,
  FIELD_PROFILES,
  FIELD_QUOTAS,
  FIELD_ENDPOINTS_LOST,
  FIELD_LEAVING,
  FIELD_TAKES_HANDOFFS,
  FIELD_CAPACITY,
  FIELD_ADMISSION,
  FIELD_QUOTA_RANKS,
  FIELD_ORGANISATIONS, /* in the order of the runs */
  FIELD_RESETTING,
  FIELD_OUTCOMES,
};

/* So is a profile. */
#define NUMBERS_PER_PROFILE 8

/* So is a transfer of repeats. */
#define NUMBERS_PER_TRANSFER 4

/* So is the use of an organisation. */
#define NUMBERS_PER_USE 4

/* So is the part of a rank in it: position of the organisation's use, rank and
 * part. */
#define NUMBERS_PER_RANK 3

/* So is a sample of an endpoint's capacity. */
#define NUMBERS_PER_SAMPLE 7

/* So is the demand for a service. */
#define NUMBERS_PER_DEMAND 5

/* So are the outcomes of an engine. */
#define NUMBERS_PER_OUTCOME 4

/* A run is six numbers in a row: small ones take a byte or two each, a map
 * with keys would double them. */
#define NUMBERS_PER_RUN 6

/* Bits of the fifth. */
#define RUN_STARTED 1
#define RUN_SUSPECT 2
/* The rank is in the bits above. */
#define RUN_RANK_SHIFT 2

static void
put_set (struct frame_writer *writer, enum field field,
         const struct beryl_endpoint_set *set)
{
  if (set->count == 0)
    return;
  frame_put_array (writer, field);
  for (size_t i = 0; i < set->count; i++)
    frame_put_uint (writer, 0, set->hashes[i]);
  frame_put_end (writer);
}

static void
put_transfers (struct frame_writer *writer, enum field field,
               const struct beryl_budget_transfers *transfers)
{
  if (transfers->count == 0)
    return;
  frame_put_array (writer, field);
  for (size_t i = 0; i < transfers->count; i++)
    {
      const struct beryl_budget_transfer *transfer = &transfers->items[i];

      frame_put_uint (writer, 0, transfer->node);
      frame_put_uint (writer, 0, transfer->service);
      frame_put_uint (writer, 0, transfer->count);
      frame_put_uint (writer, 0, transfer->serial);
    }
  frame_put_end (writer);
}

static void
put_profiles (struct frame_writer *writer,
              const struct beryl_generation_profiles *profiles)
{
  if (profiles->count == 0)
    return;
  frame_put_array (writer, FIELD_PROFILES);
  for (size_t i = 0; i < profiles->count; i++)
    {
      const struct beryl_generation_profile *profile = &profiles->items[i];

      frame_put_uint (writer, 0, profile->service);
      frame_put_uint (writer, 0, profile->arrived);
      frame_put_uint (writer, 0, profile->prompt_tokens);
      frame_put_uint (writer, 0, profile->output_tokens);
      frame_put_uint (writer, 0, profile->prefills);
      frame_put_uint (writer, 0, profile->prefill_ns_per_token);
      frame_put_uint (writer, 0, profile->streams);
      frame_put_uint (writer, 0, profile->decode_ns_per_token);
    }
  frame_put_end (writer);
}

static void
put_quotas (struct frame_writer *writer,
            const struct beryl_quota_report *report)
{
  if (report->count == 0)
    return;
  frame_put_array (writer, FIELD_QUOTAS);
  for (size_t i = 0; i < report->count; i++)
    {
      const struct beryl_quota_use *use = &report->items[i];

      frame_put_uint (writer, 0, use->organisation);
      frame_put_uint (writer, 0, use->used);
      frame_put_uint (writer, 0, use->recent);
      frame_put_uint (writer, 0, use->refused);
    }
  frame_put_end (writer);
}

static void
put_quota_ranks (struct frame_writer *writer,
                 const struct beryl_quota_report *report, size_t count)
{
  if (count == 0)
    return;
  frame_put_array (writer, FIELD_QUOTA_RANKS);
  for (size_t i = 0; i < count; i++)
    for (uint32_t rank = 0; rank < BERYL_QUOTA_RANKS; rank++)
      if (report->items[i].asked_permille[rank] > 0)
        {
          frame_put_uint (writer, 0, i);
          frame_put_uint (writer, 0, rank);
          frame_put_uint (writer, 0, report->items[i].asked_permille[rank]);
        }
  frame_put_end (writer);
}

static void
put_capacity (struct frame_writer *writer,
              const struct beryl_capacity_report *report, size_t count)
{
  if (count == 0)
    return;
  frame_put_array (writer, FIELD_CAPACITY);
  for (size_t i = 0; i < count; i++)
    {
      const struct beryl_capacity_sample *sample = &report->items[i];

      frame_put_uint (writer, 0, sample->key.service);
      frame_put_uint (writer, 0, sample->key.endpoint);
      frame_put_uint (writer, 0, sample->key.work);
      frame_put_uint (writer, 0, sample->weight_milli);
      frame_put_uint (writer, 0, sample->ns_per_unit);
      frame_put_uint (writer, 0, sample->sent_milli_per_s);
      frame_put_uint (writer, 0, sample->refused_milli);
    }
  frame_put_end (writer);
}

static void
put_admission (struct frame_writer *writer,
               const struct beryl_admission_report *report, size_t count)
{
  if (count == 0)
    return;
  frame_put_array (writer, FIELD_ADMISSION);
  for (size_t i = 0; i < count; i++)
    {
      const struct beryl_admission_demand *demand = &report->items[i];

      frame_put_uint (writer, 0, demand->requests.service);
      frame_put_uint (writer, 0, demand->requests.organisation);
      frame_put_uint (writer, 0, demand->requests.rank);
      frame_put_uint (writer, 0, demand->asked_milli_per_s);
      frame_put_uint (writer, 0, demand->sent_milli_per_s);
    }
  frame_put_end (writer);
}

/* They are left out where there are none. */
static void
put_organisations (struct frame_writer *writer,
                   const struct loads_message *message, size_t run_count)
{
  bool any = false;

  for (size_t i = 0; i < run_count; i++)
    any = any || message->runs[i].organisation != 0;
  if (!any)
    return;
  frame_put_array (writer, FIELD_ORGANISATIONS);
  for (size_t i = 0; i < run_count; i++)
    frame_put_uint (writer, 0, message->runs[i].organisation);
  frame_put_end (writer);
}

static void
put_outcomes (struct frame_writer *writer,
              const struct beryl_run_outcome_report *report, size_t count)
{
  if (count == 0)
    return;
  frame_put_array (writer, FIELD_OUTCOMES);
  for (size_t i = 0; i < count; i++)
    {
      const struct beryl_run_outcome *outcome = &report->items[i];

      frame_put_uint (writer, 0, outcome->service);
      frame_put_uint (writer, 0, outcome->endpoint);
      frame_put_uint (writer, 0, outcome->good_tenths);
      frame_put_uint (writer, 0, outcome->broken_tenths);
    }
  frame_put_end (writer);
}

/* Runs that are told before other reports are. */
#define RUNS_KEPT 24

/* How much of a message is told; what does not fit is told by later ones. */
struct message_parts
{
  size_t runs;
  size_t capacity;
  size_t admission;
  size_t outcomes;
  size_t quota_ranks; /* of organisations */
};

static void
put_message (struct frame_writer *writer, const struct loads_message *message,
             const struct message_parts *parts)
{
  size_t run_count = parts->runs;

  frame_writer_reset (writer, LOADS_DATAGRAM);
  frame_put_string (writer, FIELD_FROM, message->from);
  frame_put_uint (writer, FIELD_INCARNATION, message->incarnation);
  frame_put_uint (writer, FIELD_SEQUENCE, message->sequence);
  frame_put_uint (writer, FIELD_ENDPOINT_REVISION, message->endpoint_revision);
  frame_put_array (writer, FIELD_RUNS);
  for (size_t i = 0; i < run_count; i++)
    {
      const struct beryl_engine_run *run = &message->runs[i];

      /* One that waits reads no prompt: the place of its prefill engine has
         its service. */
      frame_put_uint (writer, 0, run->engine);
      frame_put_uint (writer, 0, run->prompt_tokens);
      frame_put_uint (writer, 0, run->expected_tokens);
      frame_put_uint (writer, 0, run->generated_tokens);
      frame_put_uint (writer, 0,
                      (run->started ? RUN_STARTED : 0)
                          | (run->suspect ? RUN_SUSPECT : 0)
                          | (uint64_t)run->rank << RUN_RANK_SHIFT);
      frame_put_uint (writer, 0,
                      run->engine != 0 ? run->prefill_engine : run->service);
    }
  frame_put_end (writer);
  frame_put_array (writer, FIELD_PROMPTS);
  for (size_t i = 0; i < run_count; i++)
    frame_put_uint (writer, 0, message->runs[i].prompt_hash);
  frame_put_end (writer);
  put_organisations (writer, message, run_count);
  put_set (writer, FIELD_CHANGING, &message->news.changing);
  put_set (writer, FIELD_REPLACED, &message->news.replaced);
  put_set (writer, FIELD_UNREACHABLE, &message->news.unreachable);
  put_set (writer, FIELD_LEAVING, &message->news.leaving);
  put_set (writer, FIELD_RESETTING, &message->news.resetting);
  put_transfers (writer, FIELD_ASKS, &message->asks);
  put_transfers (writer, FIELD_LOANS, &message->loans);
  put_profiles (writer, &message->profiles);
  put_quotas (writer, &message->quotas);
  put_quota_ranks (writer, &message->quotas, parts->quota_ranks);
  put_capacity (writer, &message->capacity, parts->capacity);
  put_admission (writer, &message->admission, parts->admission);
  put_outcomes (writer, &message->outcomes, parts->outcomes);
  if (message->endpoints_lost)
    frame_put_uint (writer, FIELD_ENDPOINTS_LOST, 1);
  if (message->takes_handoffs)
    frame_put_uint (writer, FIELD_TAKES_HANDOFFS, 1);
}

/* Leaves something out of a message of BYTES; returns false if only quotas are
   left. */
static bool
shorten (struct message_parts *parts, size_t bytes)
{
  size_t *reports[] = { &parts->outcomes, &parts->capacity, &parts->admission,
                        &parts->quota_ranks };
  size_t fitting = parts->runs * DATAGRAM_MAX_BYTES / bytes;

  if (parts->runs > RUNS_KEPT)
    {
      parts->runs = fitting > RUNS_KEPT ? fitting : RUNS_KEPT;
      return true;
    }
  for (size_t i = 0; i < sizeof reports / sizeof *reports; i++)
    if (*reports[i] > 0)
      {
        *reports[i] /= 2;
        return true;
      }
  if (parts->runs == 0)
    return false;
  parts->runs--;
  return true;
}

/* The runs that come first are the ones to be told. Quotas are never left out:
   what they report counts as told. */
void
loads_put (struct frame_writer *writer, const struct loads_message *message)
{
  struct message_parts parts = { .runs = message->run_count,
                                 .capacity = message->capacity.count,
                                 .admission = message->admission.count,
                                 .outcomes = message->outcomes.count,
                                 .quota_ranks = message->quotas.count };
  size_t bytes = 0;

  put_message (writer, message, &parts);
  frame_writer_finish (writer, &bytes);
  while (bytes > DATAGRAM_MAX_BYTES && shorten (&parts, bytes))
    {
      put_message (writer, message, &parts);
      frame_writer_finish (writer, &bytes);
    }
}

static void
read_set (struct frame *frame, struct frame_map map, enum field field,
          struct beryl_endpoint_set *set)
{
  struct frame_array array = frame_array (map, field);

  if (array.count > BERYL_ENDPOINT_SET_MAX)
    {
      frame_fail (frame);
      return;
    }
  for (uint32_t i = 0; i < array.count; i++)
    beryl_endpoint_set_add (set, frame_array_uint32 (array, i));
}

static void
read_transfers (struct frame *frame, struct frame_map map, enum field field,
                struct beryl_budget_transfers *transfers)
{
  struct frame_array array = frame_array (map, field);

  if (array.count > BERYL_BUDGET_TRANSFERS_MAX * NUMBERS_PER_TRANSFER
      || array.count % NUMBERS_PER_TRANSFER != 0)
    {
      frame_fail (frame);
      return;
    }
  for (uint32_t i = 0; i < array.count; i += NUMBERS_PER_TRANSFER)
    transfers->items[transfers->count++] = (struct beryl_budget_transfer){
      .node = frame_array_uint32 (array, i),
      .service = frame_array_uint32 (array, i + 1),
      .count = frame_array_uint32 (array, i + 2),
      .serial = frame_array_uint32 (array, i + 3),
    };
}

static void
read_profiles (struct frame *frame, struct frame_map map,
               struct beryl_generation_profiles *profiles)
{
  struct frame_array array = frame_array (map, FIELD_PROFILES);

  if (array.count > BERYL_GENERATION_PROFILES_MAX * NUMBERS_PER_PROFILE
      || array.count % NUMBERS_PER_PROFILE != 0)
    {
      frame_fail (frame);
      return;
    }
  for (uint32_t i = 0; i < array.count; i += NUMBERS_PER_PROFILE)
    profiles->items[profiles->count++] = (struct beryl_generation_profile){
      .service = frame_array_uint32 (array, i),
      .arrived = frame_array_uint32 (array, i + 1),
      .prompt_tokens = frame_array_uint32 (array, i + 2),
      .output_tokens = frame_array_uint32 (array, i + 3),
      .prefills = frame_array_uint32 (array, i + 4),
      .prefill_ns_per_token = frame_array_uint32 (array, i + 5),
      .streams = frame_array_uint32 (array, i + 6),
      .decode_ns_per_token = frame_array_uint32 (array, i + 7),
    };
}

static void
read_quotas (struct frame *frame, struct frame_map map,
             struct beryl_quota_report *report)
{
  struct frame_array array = frame_array (map, FIELD_QUOTAS);

  if (array.count > BERYL_QUOTA_USES_MAX * NUMBERS_PER_USE
      || array.count % NUMBERS_PER_USE != 0)
    {
      frame_fail (frame);
      return;
    }
  for (uint32_t i = 0; i < array.count; i += NUMBERS_PER_USE)
    report->items[report->count++] = (struct beryl_quota_use){
      .organisation = frame_array_uint32 (array, i),
      .used = frame_array_uint32 (array, i + 1),
      .recent = frame_array_uint32 (array, i + 2),
      .refused = frame_array_uint32 (array, i + 3),
    };
}

/* Newer peers may tell more ranks apart. */
static void
read_quota_ranks (struct frame *frame, struct frame_map map,
                  struct beryl_quota_report *report)
{
  struct frame_array array = frame_array (map, FIELD_QUOTA_RANKS);

  if (array.count % NUMBERS_PER_RANK != 0)
    {
      frame_fail (frame);
      return;
    }
  for (uint32_t i = 0; i < array.count; i += NUMBERS_PER_RANK)
    {
      uint32_t use = frame_array_uint32 (array, i);
      uint32_t rank = frame_array_uint32 (array, i + 1);
      uint32_t part = frame_array_uint32 (array, i + 2);

      if (use < report->count && rank < BERYL_QUOTA_RANKS && part <= 1000)
        report->items[use].asked_permille[rank] = (uint16_t)part;
    }
}

static void
read_capacity (struct frame *frame, struct frame_map map,
               struct beryl_capacity_report *report)
{
  struct frame_array array = frame_array (map, FIELD_CAPACITY);

  if (array.count > BERYL_CAPACITY_SAMPLES_MAX * NUMBERS_PER_SAMPLE
      || array.count % NUMBERS_PER_SAMPLE != 0)
    {
      frame_fail (frame);
      return;
    }
  for (uint32_t i = 0; i < array.count; i += NUMBERS_PER_SAMPLE)
    report->items[report->count++] = (struct beryl_capacity_sample){
      .key = { .service = frame_array_uint32 (array, i),
               .endpoint = frame_array_uint32 (array, i + 1),
               .work = frame_array_uint32 (array, i + 2) },
      .weight_milli = frame_array_uint32 (array, i + 3),
      .ns_per_unit = frame_array_uint32 (array, i + 4),
      .sent_milli_per_s = frame_array_uint32 (array, i + 5),
      .refused_milli = frame_array_uint32 (array, i + 6),
    };
}

static void
read_admission (struct frame *frame, struct frame_map map,
                struct beryl_admission_report *report)
{
  struct frame_array array = frame_array (map, FIELD_ADMISSION);

  if (array.count > BERYL_ADMISSION_DEMANDS_MAX * NUMBERS_PER_DEMAND
      || array.count % NUMBERS_PER_DEMAND != 0)
    {
      frame_fail (frame);
      return;
    }
  for (uint32_t i = 0; i < array.count; i += NUMBERS_PER_DEMAND)
    report->items[report->count++] = (struct beryl_admission_demand){
      .requests = { .service = frame_array_uint32 (array, i),
                    .organisation = frame_array_uint32 (array, i + 1),
                    .rank = frame_array_uint32 (array, i + 2) },
      .asked_milli_per_s = frame_array_uint32 (array, i + 3),
      .sent_milli_per_s = frame_array_uint32 (array, i + 4),
    };
}

static void
read_outcomes (struct frame *frame, struct frame_map map,
               struct beryl_run_outcome_report *report)
{
  struct frame_array array = frame_array (map, FIELD_OUTCOMES);

  if (array.count > BERYL_RUN_OUTCOMES_MAX * NUMBERS_PER_OUTCOME
      || array.count % NUMBERS_PER_OUTCOME != 0)
    {
      frame_fail (frame);
      return;
    }
  for (uint32_t i = 0; i < array.count; i += NUMBERS_PER_OUTCOME)
    report->items[report->count++] = (struct beryl_run_outcome){
      .service = frame_array_uint32 (array, i),
      .endpoint = frame_array_uint32 (array, i + 1),
      .good_tenths = frame_array_uint32 (array, i + 2),
      .broken_tenths = frame_array_uint32 (array, i + 3),
    };
}

bool
loads_read (struct frame *frame, struct loads_message *message)
{
  struct frame_map map = frame_root (frame);
  struct frame_array runs = frame_array (map, FIELD_RUNS);
  struct frame_array prompts = frame_array (map, FIELD_PROMPTS);
  struct frame_array organisations = frame_array (map, FIELD_ORGANISATIONS);

  memset (message, 0, sizeof *message);
  if (frame_type (frame) != LOADS_DATAGRAM
      || runs.count > BERYL_ENGINE_RUNS_MAX * NUMBERS_PER_RUN
      || runs.count % NUMBERS_PER_RUN != 0)
    return false;
  frame_need_string (map, FIELD_FROM, message->from, sizeof message->from);
  message->incarnation = frame_need_uint (map, FIELD_INCARNATION);
  message->sequence = frame_need_uint (map, FIELD_SEQUENCE);
  message->endpoint_revision = frame_uint (map, FIELD_ENDPOINT_REVISION, 0);
  for (uint32_t i = 0; i < runs.count; i += NUMBERS_PER_RUN)
    {
      struct beryl_engine_run *run = &message->runs[message->run_count++];

      run->engine = frame_array_uint32 (runs, i);
      run->prompt_tokens = frame_array_uint32 (runs, i + 1);
      run->expected_tokens = frame_array_uint32 (runs, i + 2);
      run->generated_tokens = frame_array_uint32 (runs, i + 3);
      run->started = (frame_array_uint32 (runs, i + 4) & RUN_STARTED) != 0;
      run->suspect = (frame_array_uint32 (runs, i + 4) & RUN_SUSPECT) != 0;
      run->rank = MIN (frame_array_uint32 (runs, i + 4) >> RUN_RANK_SHIFT,
                       BERYL_ENGINE_RUN_RANK_MAX);
      if (run->engine != 0)
        run->prefill_engine = frame_array_uint32 (runs, i + 5);
      else
        run->service = frame_array_uint32 (runs, i + 5);
    }
  for (uint32_t i = 0; i < prompts.count && i < message->run_count; i++)
    message->runs[i].prompt_hash = frame_array_uint32 (prompts, i);
  for (uint32_t i = 0; i < organisations.count && i < message->run_count; i++)
    message->runs[i].organisation = frame_array_uint32 (organisations, i);
  read_set (frame, map, FIELD_CHANGING, &message->news.changing);
  read_set (frame, map, FIELD_REPLACED, &message->news.replaced);
  read_set (frame, map, FIELD_UNREACHABLE, &message->news.unreachable);
  read_set (frame, map, FIELD_LEAVING, &message->news.leaving);
  read_set (frame, map, FIELD_RESETTING, &message->news.resetting);
  read_transfers (frame, map, FIELD_ASKS, &message->asks);
  read_transfers (frame, map, FIELD_LOANS, &message->loans);
  read_profiles (frame, map, &message->profiles);
  read_quotas (frame, map, &message->quotas);
  read_quota_ranks (frame, map, &message->quotas);
  read_capacity (frame, map, &message->capacity);
  read_admission (frame, map, &message->admission);
  read_outcomes (frame, map, &message->outcomes);
  message->endpoints_lost = frame_uint (map, FIELD_ENDPOINTS_LOST, 0) != 0;
  message->takes_handoffs = frame_uint (map, FIELD_TAKES_HANDOFFS, 0) != 0;
  return frame_valid (frame);
}
