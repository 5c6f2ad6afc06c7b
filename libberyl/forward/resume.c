#include "private.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Keeps a stream at endpoints of the software version that began it. A request
   that resumes a stream may come to a node that has never seen the stream; its
   version is then looked up at peers. While one version alone is in service,
   no records are exchanged: each stream can only have begun at that one. */

/* Assumed lifetime of streams, and of those without a deadline. */
#define LIFE_MIN_MS 15000
#define LIFE_UNKNOWN_MS 60000
/* Time after its deadline for which a stream's record is kept, and for which a
   version is remembered. */
#define LIFE_MARGIN_MS 2000
/* A node that has not had its list of endpoints confirmed for this long may be
   cut off from it. */
#define LIST_SILENT_MS 8000
/* A confirmation may have been under way for this long. */
#define LIST_MARGIN_MS 20
/* Interval at which the list's age is checked while streams are open. */
#define CHECK_INTERVAL_MS 200
/* Peers are asked again after this time, and a request is refused if its
   version is still unknown after LOOKUP_MAX_MS. */
#define LOOKUP_REPEAT_MS 150
#define LOOKUP_MAX_MS 1500
#define LOOKUP_TIMER_MS 20

/* The service and the organisation are part of the key, so that a caller
   cannot name another one's stream. */
static uint64_t
stream_key (const struct request *r, const char *id)
{
  char text[BERYL_REQUEST_ID_BYTES + 2 * BERYL_NAME_BYTES];
  int length = snprintf (text, sizeof text, "%s\n%s\n%s", id, r->service->name,
                         r->organisation != NULL ? r->organisation->name : "");

  return XXH3_64bits (text, (size_t)length);
}

static bool
resumes_stream (const struct request *r)
{
  return r->params.resumes && r->route->streaming
         && (r->params.last_event_id > 0 || r->params.resumed_id[0] != '\0');
}

/* Returns 0 if R's stream cannot be named by a later request. */
static uint64_t
stream_of (const struct request *r)
{
  if (resumes_stream (r))
    return r->params.resumed_id[0] != '\0'
               ? stream_key (r, r->params.resumed_id)
               : 0;
  return r->params.id_exact ? stream_key (r, r->params.id) : 0;
}

static int64_t
life_ms (const struct service *s)
{
  return LIFE_MARGIN_MS
         + (s->stream_life_ms > LIFE_MIN_MS ? s->stream_life_ms : LIFE_MIN_MS);
}

static void
learn_life (struct request *r, int64_t now_ms)
{
  int64_t life = r->params.deadline_ms == BERYL_NEVER_MS
                     ? LIFE_UNKNOWN_MS
                     : r->params.deadline_ms - now_ms;

  if (r->route->streaming && life > r->service->stream_life_ms)
    r->service->stream_life_ms = life;
}

/* Returns the only version that the list has had for as long as streams of S
   last, or 0. */
static uint32_t
sole_version (const struct beryl_forward *f, const struct service *s,
              int64_t now_ms)
{
  return version_history_sole (&s->versions, now_ms - life_ms (s));
}

/* The same, or 0 if this node has just started or may be cut off. */
static uint32_t
certain_version (const struct beryl_forward *f, const struct service *s,
                 int64_t now_ms)
{
  if (f->versions_known_ms == 0 || now_ms - f->versions_known_ms < life_ms (s)
      || now_ms - beryl_live_set_synced_ms (f->endpoints) > LIST_SILENT_MS)
    return 0;
  return sole_version (f, s, now_ms);
}

static void
tell_peers (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  const struct stream_record *record
      = stream_records_find (&f->streams, stream_of (r), now_ms);
  struct beryl_stream_record told;

  r->version_told = true;
  if (record == NULL || f->owner->impl->stream_begun == NULL)
    return;
  told.stream = record->stream;
  told.version = record->version;
  told.remaining_ms = (uint32_t)(record->until_ms - now_ms);
  f->owner->impl->stream_begun (f->owner, &told);
}

/* Tells peers of the open streams that they cannot know of by themselves any
   more. */
static void
tell_uncertain (struct beryl_forward *f, int64_t now_ms)
{
  struct request *r = NULL;

  TAILQ_FOREACH (r, &f->requests, entry)
  if (r->version != 0 && !r->version_told
      && certain_version (f, r->service, now_ms) == 0)
    tell_peers (f, r, now_ms);
}

void
resume_endpoints_changed (struct beryl_forward *f, int64_t now_ms)
{
  size_t count = beryl_live_set_count (f->endpoints);

  for (size_t i = 0; i < f->service_count; i++)
    version_history_begin (&f->services[i]->versions, now_ms);
  for (size_t i = 0; i < count; i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);

      version_history_list (
          &forward_service (f, endpoint->info.service)->versions,
          beryl_live_version (endpoint), now_ms);
    }
  if (f->versions_known_ms == 0 && count > 0)
    f->versions_known_ms = now_ms;
  tell_uncertain (f, now_ms);
}

void
resume_tick (struct beryl_forward *f, int64_t now_ms)
{
  if (now_ms < f->next_version_check_ms)
    return;
  f->next_version_check_ms = now_ms + CHECK_INTERVAL_MS;
  tell_uncertain (f, now_ms);
}

static int64_t
record_until_ms (const struct request *r, int64_t now_ms)
{
  if (r->params.deadline_ms == BERYL_NEVER_MS)
    return now_ms + LIFE_UNKNOWN_MS;
  return r->params.deadline_ms + LIFE_MARGIN_MS;
}

/* Binds R's stream to VERSION and records that, also for a request that
   resumes it: its record is then kept until the latest deadline. */
static void
bind_version (struct beryl_forward *f, struct request *r, uint32_t version,
              int64_t now_ms)
{
  uint64_t stream = stream_of (r);

  r->version = version;
  if (stream == 0)
    return;
  stream_records_put (&f->streams, stream, version,
                      record_until_ms (r, now_ms), now_ms);
  if (certain_version (f, r->service, now_ms) == 0)
    tell_peers (f, r, now_ms);
}

void
resume_first_event (struct beryl_forward *f, struct request *r,
                    const struct exchange *x, int64_t now_ms)
{
  if (x->kind == BERYL_EXCHANGE_RUN && r->version == 0)
    bind_version (f, r, x->version, now_ms);
}

bool
resume_keeps_version (const struct request *r,
                      const struct beryl_live_endpoint *endpoint)
{
  return r->version == 0 || beryl_live_version (endpoint) == r->version;
}

/* Returns whether ENDPOINT could serve R, whatever its version. */
static bool
is_of_kind (const struct request *r,
            const struct beryl_live_endpoint *endpoint)
{
  return strcmp (endpoint->info.service, r->service->name) == 0
         && (!forward_request_is_generation (r)
             || endpoint->info.stage == BERYL_STAGE_DECODE);
}

static enum resume_places
place_at (const struct beryl_forward *f, const struct request *r,
          const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  bool ready = beryl_live_accepts_work (endpoint);

  if (!is_of_kind (r, endpoint))
    return RESUME_NO_ENDPOINT;
  if (!resume_keeps_version (r, endpoint))
    return ready ? RESUME_NOWHERE : RESUME_NO_ENDPOINT;
  if (ready)
    return RESUME_AT_READY;
  return beryl_live_set_allows_bound_work (f->endpoints, endpoint, now_ms)
             ? RESUME_AT_LEAVING
             : RESUME_NO_ENDPOINT;
}

enum resume_places
resume_places (const struct beryl_forward *f, const struct request *r,
               int64_t now_ms)
{
  enum resume_places places = RESUME_NO_ENDPOINT;

  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      enum resume_places one
          = place_at (f, r, beryl_live_set_get (f->endpoints, i), now_ms);

      if (one > places)
        places = one;
    }
  return places;
}

bool
resume_refuse_without_version (struct beryl_forward *f, struct request *r,
                               int64_t now_ms)
{
  if (r->version == 0 || resume_places (f, r, now_ms) != RESUME_NOWHERE)
    return false;
  forward_request_fail (f, r, BERYL_REFUSAL_VERSION_GONE, now_ms);
  return true;
}

/* Lets R go on at VERSION; HOW that is known is logged. */
static void
go_on (struct beryl_forward *f, struct request *r, uint32_t version,
       const char *how, int64_t now_ms)
{
  bind_version (f, r, version, now_ms);
  forward_request_log (f, r, "resume", NULL, how,
                       (int64_t)r->params.last_event_id, now_ms);
}

static void
refuse_unknown (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  forward_request_fail (f, r, BERYL_REFUSAL_UNKNOWN_STREAM, now_ms);
}

static void
ask_peers (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_stream_question question
      = { stream_of (r), beryl_name_hash (r->service->name) };
  struct version_lookup *lookup = &r->lookup;

  lookup->answers = 0;
  lookup->agreeing = 0;
  lookup->asked = f->owner->impl->find_stream != NULL
                      ? f->owner->impl->find_stream (f->owner, &question)
                      : 0;
  if (sole_version (f, r->service, now_ms) != 0
      && f->owner->impl->confirm_list != NULL)
    f->owner->impl->confirm_list (f->owner);
}

/* Returns the version that R's stream must have begun at although nobody has a
   record of it, or 0: the list, which was confirmed after R's arrival, has
   only this one, and this node or half of its peers have seen no other for as
   long as streams last. */
static uint32_t
inferred_version (const struct beryl_forward *f, const struct request *r,
                  int64_t now_ms)
{
  const struct version_lookup *lookup = &r->lookup;

  if (lookup->contradicted
      || beryl_live_set_synced_ms (f->endpoints)
             <= lookup->begun_ms + LIST_MARGIN_MS)
    return 0;
  if (lookup->agreeing > 0 && 2 * lookup->agreeing >= lookup->asked)
    return sole_version (f, r->service, now_ms);
  return certain_version (f, r->service, now_ms);
}

/* Returns whether nothing is to be learned by waiting any longer. */
static bool
lookup_over (const struct beryl_forward *f, const struct request *r,
             int64_t now_ms)
{
  const struct version_lookup *lookup = &r->lookup;

  if (now_ms - lookup->begun_ms >= LOOKUP_MAX_MS)
    return true;
  return lookup->answers >= lookup->asked
         && (lookup->contradicted || sole_version (f, r->service, now_ms) == 0
             || (2 * lookup->agreeing < lookup->asked
                 && certain_version (f, r->service, now_ms) == 0));
}

static void
continue_lookup (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  uint32_t version = inferred_version (f, r, now_ms);

  r->timer_ms = now_ms + LOOKUP_TIMER_MS;
  if (version != 0)
    {
      go_on (f, r, version, "sole_version", now_ms);
      if (!resume_refuse_without_version (f, r, now_ms))
        forward_request_place (f, r, now_ms);
    }
  else if (lookup_over (f, r, now_ms))
    refuse_unknown (f, r, now_ms);
}

bool
resume_look_up (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  const struct stream_record *record;
  uint32_t version;

  learn_life (r, now_ms);
  if (!resumes_stream (r) || r->version != 0)
    return false;
  record = stream_records_find (&f->streams, stream_of (r), now_ms);
  if (record != NULL)
    {
      go_on (f, r, record->version, "recorded", now_ms);
      return resume_refuse_without_version (f, r, now_ms);
    }
  if (stream_of (r) == 0)
    {
      version = sole_version (f, r->service, now_ms);
      if (version == 0)
        refuse_unknown (f, r, now_ms);
      else
        go_on (f, r, version, "unnamed", now_ms);
      return version == 0;
    }
  r->phase = PHASE_LOOKING_UP;
  r->lookup = (struct version_lookup){ .begun_ms = now_ms };
  ask_peers (f, r, now_ms);
  forward_request_log (f, r, "resume", NULL, "asked", r->lookup.asked, now_ms);
  continue_lookup (f, r, now_ms);
  return true;
}

void
resume_timer (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct version_lookup *lookup = &r->lookup;

  if (!lookup->repeated && now_ms - lookup->begun_ms >= LOOKUP_REPEAT_MS)
    {
      lookup->repeated = true;
      ask_peers (f, r, now_ms);
    }
  continue_lookup (f, r, now_ms);
}

void
beryl_forward_learn_stream (struct beryl_forward *f,
                            const struct beryl_stream_record *record,
                            int64_t now_ms)
{
  if (record->stream != 0 && record->version != 0)
    stream_records_put (&f->streams, record->stream, record->version,
                        now_ms + record->remaining_ms, now_ms);
}

void
beryl_forward_describe_stream (struct beryl_forward *f,
                               const struct beryl_stream_question *question,
                               struct beryl_stream_answer *answer,
                               int64_t now_ms)
{
  const struct stream_record *record
      = stream_records_find (&f->streams, question->stream, now_ms);
  const struct service *s = forward_service_by_hash (f, question->service);

  *answer = (struct beryl_stream_answer){ .stream = question->stream };
  if (record != NULL)
    answer->version = record->version;
  if (s == NULL)
    return;
  answer->sole_version = certain_version (f, s, now_ms);
  answer->several_versions
      = s->versions.count > 0 && sole_version (f, s, now_ms) == 0;
}

static void
take_answer (struct beryl_forward *f, struct request *r,
             const struct beryl_stream_answer *answer, int64_t now_ms)
{
  struct version_lookup *lookup = &r->lookup;
  uint32_t own = sole_version (f, r->service, now_ms);

  if (answer->version != 0)
    {
      go_on (f, r, answer->version, "found", now_ms);
      if (!resume_refuse_without_version (f, r, now_ms))
        forward_request_place (f, r, now_ms);
      return;
    }
  lookup->answers++;
  if (answer->several_versions
      || (answer->sole_version != 0 && answer->sole_version != own))
    lookup->contradicted = true;
  else if (answer->sole_version != 0)
    lookup->agreeing++;
  continue_lookup (f, r, now_ms);
}

void
beryl_forward_stream_answered (struct beryl_forward *f,
                               const struct beryl_stream_answer *answer,
                               int64_t now_ms)
{
  struct request *r, *next;

  for (r = TAILQ_FIRST (&f->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, entry);
      if (r->phase == PHASE_LOOKING_UP && stream_of (r) == answer->stream)
        take_answer (f, r, answer, now_ms);
    }
}
