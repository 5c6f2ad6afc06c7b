#include "beryl/admission.h"
#include "beryl/clock.h"

#include <math.h>
#include <stdlib.h>

#include "../base/map.h"
#include "../base/random.h"
#include "shares.h"

/* Part of an endpoint's slots that may be occupied on average. */
#define SLOTS_PART 0.9
/* Bounds of the room, as a part of the load. */
#define LOAD_LEAST 0.8
#define LOAD_MOST 1.3
/* Time constant of the rates. */
#define RATE_MS 1000.0
/* A node that has just started divides what it has counted by the time for
   which it counts, but at least by this. */
#define START_MIN_MS 200
/* A class that nobody mentions for this long is released. */
#define KEEP_MS 30000
#define CLASSES_MAX 4096
/* A peer's demand is taken to be constant until its next report.  It fades
   from this many of the peer's usual intervals on, but not before
   SILENT_MIN_MS. */
#define SILENT_INTERVALS 3
#define SILENT_MIN_MS 600
/* Weight of the newest interval in the usual one, and bound of the latter. */
#define INTERVAL_WEIGHT 0.2
#define INTERVAL_MAX_MS 5000.0
#define FADE_INTERVAL_MS 100
/* A peer that fades is counted on for this long after its last report. */
#define HEARD_MS 3000
#define PEERS_MAX 1024
/* Demand of a peer below this rate is forgotten. */
#define RATE_MIN_PER_S 0.002
/* Demand is reported again for this long, since datagrams may be lost. */
#define REPEAT_MS 600
/* From this part of the room on, a peak may be near: a node reports more often
   for PRESSURE_MS after such a request. */
#define PRESSURE_PART 0.6
#define PRESSURE_MS 1500
/* Interval of these reports: at least this long, and longer in a large fleet.
   They do not follow the requests: just after one, a rate is above its mean.
 */
#define REPORT_MS 200
#define REPORT_PER_PEER_MS 3
/* How long a division of the room is used. */
#define DIVIDE_MS 20
/* A share counts as granted in full up to this error. */
#define FULL_PART 0.999
/* Part of a class's grant that is meant for callers who return; the rest is
   for new requests. */
#define RETURN_PART 0.5
/* Bounds of the Retry-After. */
#define RETRY_MIN_MS 300
#define RETRY_MAX_MS 10000

/* Exponentially decaying average of a rate. */
struct rate
{
  double per_s;
  int64_t updated_ms;
};

struct demand_class
{
  struct beryl_admission_class key;
  struct rate own_asked;
  struct rate own_sent;
  double peers_asked_per_s;
  double peers_sent_per_s;
  uint32_t record_count;
  double granted; /* part of what is asked, at the last division */
  double granted_per_s;
  bool any_in_full; /* another class of its rank is granted in full */
  double credit;    /* a request is admitted at 1 */
  int64_t asked_ms; /* last request at this node; 0: none */
  bool changed;     /* since its last report */
  int64_t mentioned_ms;
  int64_t next_return_ms;
};

/* What a peer has reported of a class. */
struct record
{
  struct record *next; /* of the same peer */
  struct demand_class *class;
  double asked_per_s;
  double sent_per_s;
};

struct peer
{
  uint32_t node;
  int64_t reported_ms;
  double interval_ms; /* usual time between two reports */
  double faded_ms;    /* time by which its records have decayed since */
  struct record *records;
};

struct service
{
  uint32_t hash;
  double room_per_s;
  int64_t divided_ms; /* 0: never */
};

struct beryl_admission
{
  uint64_t random;
  uint32_t nodes;
  struct demand_class **classes;
  size_t class_count;
  struct map class_by_key;
  struct service services[BERYL_ADMISSION_SERVICES_MAX];
  size_t service_count;
  struct peer *peers;
  size_t peer_count;
  int64_t started_ms; /* first request; 0: none */
  int64_t faded_ms;
  int64_t released_ms;
  int64_t reported_ms;
  int64_t pressure_end_ms;
  bool report_due;
  size_t next_report; /* class from which the next report starts */
};

struct beryl_admission *
beryl_admission_create (uint64_t seed)
{
  struct beryl_admission *a = calloc (1, sizeof *a);

  a->random = seed;
  a->nodes = 1;
  return a;
}

static void
record_free (struct record *record)
{
  record->class->peers_asked_per_s -= record->asked_per_s;
  record->class->peers_sent_per_s -= record->sent_per_s;
  record->class->record_count--;
  free (record);
}

void
beryl_admission_destroy (struct beryl_admission *admission)
{
  if (admission == NULL)
    return;
  for (size_t i = 0; i < admission->peer_count; i++)
    while (admission->peers[i].records != NULL)
      {
        struct record *record = admission->peers[i].records;

        admission->peers[i].records = record->next;
        record_free (record);
      }
  for (size_t i = 0; i < admission->class_count; i++)
    free (admission->classes[i]);
  free (admission->peers);
  free (admission->classes);
  map_clear (&admission->class_by_key);
  free (admission);
}

void
beryl_admission_set_nodes (struct beryl_admission *admission, uint32_t nodes)
{
  admission->nodes = nodes > 0 ? nodes : 1;
}

static double
decay (double age_ms)
{
  return age_ms > 0 ? exp (-age_ms / RATE_MS) : 1;
}

static double
rate_get (const struct rate *rate, int64_t now_ms)
{
  return rate->per_s * decay ((double)(now_ms - rate->updated_ms));
}

static void
rate_count (struct rate *rate, int64_t now_ms)
{
  rate->per_s = rate_get (rate, now_ms) + 1000 / RATE_MS;
  rate->updated_ms = now_ms;
}

/* Returns the factor by which rates of this node that are still rising from
   its start come to their mean. */
static double
start_factor (const struct beryl_admission *a, int64_t now_ms)
{
  int64_t counted_ms = now_ms - a->started_ms;

  if (counted_ms < 0)
    return 1;
  return 1 / (1 - decay (fmax ((double)counted_ms, START_MIN_MS)));
}

static struct map_key
class_key (const struct beryl_admission_class *class)
{
  return (struct map_key){
    (uint64_t) class->service << 32 | class->organisation, class->rank
  };
}

static void
release_old (struct beryl_admission *a, int64_t now_ms)
{
  a->released_ms = now_ms;
  for (size_t i = a->class_count; i > 0; i--)
    {
      struct demand_class *c = a->classes[i - 1];

      if (c->record_count > 0 || now_ms - c->mentioned_ms < KEEP_MS)
        continue;
      map_remove (&a->class_by_key, class_key (&c->key));
      a->classes[i - 1] = a->classes[--a->class_count];

      free (c);
    }
}

/* Returns NULL if there are too many. */
static struct demand_class *
class_get (struct beryl_admission *a, const struct beryl_admission_class *key,
           int64_t now_ms)
{
  struct demand_class *c = map_get (&a->class_by_key, class_key (key));

  if (c == NULL)
    {
      release_old (a, now_ms);
      if (a->class_count == CLASSES_MAX)
        return NULL;
      c = calloc (1, sizeof *c);
      c->key = *key;
      c->granted = 1;
      c->credit = random_unit (&a->random);
      a->classes
          = realloc (a->classes, (a->class_count + 1) * sizeof (void *));
      a->classes[a->class_count++] = c;
      map_put (&a->class_by_key, class_key (key), c);
    }
  c->mentioned_ms = now_ms;
  return c;
}

/* Returns NULL if there are too many. */
static struct service *
service_get (struct beryl_admission *a, uint32_t hash)
{
  struct service *s;

  for (size_t i = 0; i < a->service_count; i++)
    if (a->services[i].hash == hash)
      return &a->services[i];
  if (a->service_count == BERYL_ADMISSION_SERVICES_MAX)
    return NULL;
  s = &a->services[a->service_count++];
  *s = (struct service){ .hash = hash };
  return s;
}

/* Lets the records of PEER decay by MS, and forgets the small ones. */
static void
peer_decay (struct peer *peer, double ms)
{
  struct record **at = &peer->records;
  double lost = 1 - decay (ms);

  while (*at != NULL)
    {
      struct record *record = *at;

      record->class->peers_asked_per_s -= lost * record->asked_per_s;
      record->class->peers_sent_per_s -= lost * record->sent_per_s;
      record->asked_per_s -= lost * record->asked_per_s;
      record->sent_per_s -= lost * record->sent_per_s;
      if (record->asked_per_s < RATE_MIN_PER_S)
        {
          *at = record->next;
          record_free (record);
        }
      else
        at = &record->next;
    }
}

static double
silent_limit_ms (const struct peer *peer)
{
  return fmax (SILENT_INTERVALS * peer->interval_ms, SILENT_MIN_MS);
}

/* Lets the demand of silent peers fade. */
static void
fade_peers (struct beryl_admission *a, int64_t now_ms)
{
  if (now_ms >= a->faded_ms && now_ms - a->faded_ms < FADE_INTERVAL_MS)
    return;
  a->faded_ms = now_ms;
  for (size_t i = 0; i < a->peer_count; i++)
    {
      struct peer *peer = &a->peers[i];
      double fade_ms
          = (double)(now_ms - peer->reported_ms) - silent_limit_ms (peer);

      if (fade_ms <= peer->faded_ms)
        continue;
      peer_decay (peer, fade_ms - peer->faded_ms);
      peer->faded_ms = fade_ms;
    }
}

/* Returns the part of the fleet that this node knows the demand of.  The nodes
   that it does not hear ask for their part of the room, too. */
static double
known_part (const struct beryl_admission *a, int64_t now_ms)
{
  uint32_t heard = 1;

  for (size_t i = 0; i < a->peer_count; i++)
    heard += (double)(now_ms - a->peers[i].reported_ms)
             < fmax (silent_limit_ms (&a->peers[i]), HEARD_MS);
  return a->nodes > heard ? (double)heard / a->nodes : 1;
}

static double
asked_per_s (const struct beryl_admission *a, const struct demand_class *c,
             int64_t now_ms)
{
  return start_factor (a, now_ms) * rate_get (&c->own_asked, now_ms)
         + fmax (c->peers_asked_per_s, 0);
}

static double
sent_per_s (const struct beryl_admission *a, const struct demand_class *c,
            int64_t now_ms)
{
  return start_factor (a, now_ms) * rate_get (&c->own_sent, now_ms)
         + fmax (c->peers_sent_per_s, 0);
}

static struct beryl_admission_state
service_state (struct beryl_admission *a, const struct service *s,
               int64_t now_ms)
{
  struct beryl_admission_state state
      = { .service = s->hash, .room_per_s = s->room_per_s };

  fade_peers (a, now_ms);
  for (size_t i = 0; i < a->class_count; i++)
    {
      const struct demand_class *c = a->classes[i];

      if (c->key.service != s->hash)
        continue;
      state.asked_per_s += asked_per_s (a, c, now_ms);
      state.sent_per_s += sent_per_s (a, c, now_ms);
    }
  return state;
}

static bool
is_granted_in_full (const struct share_claim *claim)
{
  return claim->granted >= FULL_PART * claim->asked;
}

/* Returns whether a claim of RANK is granted in full. */
static bool
any_in_full (const struct share_claim *claims, size_t count, uint32_t rank)
{
  for (size_t i = 0; i < count; i++)
    if (claims[i].rank == rank && is_granted_in_full (&claims[i]))
      return true;
  return false;
}

static void
apply_claim (struct beryl_admission *a, const struct service *s,
             const struct share_claim *claim, bool others_in_full)
{
  struct beryl_admission_class key = { .service = s->hash,
                                       .organisation = claim->organisation,
                                       .rank = claim->rank };
  struct demand_class *c = map_get (&a->class_by_key, class_key (&key));

  c->granted = is_granted_in_full (claim) ? 1 : claim->granted / claim->asked;
  c->granted_per_s = claim->granted;
  c->any_in_full = others_in_full;
}

/* Divides the room of S among the classes of all nodes. */
static void
divide (struct beryl_admission *a, struct service *s, int64_t now_ms)
{
  struct share_claim *claims;
  size_t count = 0;

  if (s->divided_ms != 0 && now_ms >= s->divided_ms
      && now_ms - s->divided_ms < DIVIDE_MS)
    return;
  s->divided_ms = now_ms;
  claims = calloc (a->class_count + 1, sizeof *claims);
  for (size_t i = 0; i < a->class_count; i++)
    {
      const struct demand_class *c = a->classes[i];

      if (c->key.service == s->hash)
        claims[count++] = (struct share_claim){
          .organisation = c->key.organisation,
          .rank = c->key.rank,
          .weight = 1,
          .asked = asked_per_s (a, c, now_ms),
        };
    }
  shares_divide (claims, count, s->room_per_s * known_part (a, now_ms));
  for (size_t i = 0; i < count; i++)
    apply_claim (a, s, &claims[i],
                 any_in_full (claims, count, claims[i].rank));
  free (claims);
}

/* Admits the granted part of a class's requests, evenly spread. */
static bool
admits (struct demand_class *c)
{
  if (c->granted >= 1)
    return true;
  c->credit += c->granted;
  if (c->credit < 1)
    return false;
  c->credit -= 1;
  return true;
}

/* Spreads the returns of refused callers: they follow each other at the pace
   at which this node's part of the grant admits them. */
static int64_t
retry_after_ms (struct beryl_admission *a, struct demand_class *c,
                int64_t now_ms)
{
  double own_per_s = c->granted * rate_get (&c->own_asked, now_ms);
  double pause_ms = RETRY_MAX_MS;
  int64_t return_ms = now_ms + RETRY_MIN_MS;
  int64_t latest_ms = now_ms + RETRY_MAX_MS;

  if (own_per_s > 0)
    pause_ms = fmin (1000 / (RETURN_PART * own_per_s), RETRY_MAX_MS);
  if (c->next_return_ms > return_ms)
    return_ms = c->next_return_ms < latest_ms ? c->next_return_ms : latest_ms;
  c->next_return_ms
      = return_ms + (int64_t)(2 * random_unit (&a->random) * pause_ms);
  return return_ms - now_ms;
}

static int64_t
report_interval_ms (const struct beryl_admission *a)
{
  int64_t fleet_ms = REPORT_PER_PEER_MS * (int64_t)a->peer_count;

  return fleet_ms > REPORT_MS ? fleet_ms : REPORT_MS;
}

int64_t
beryl_admission_next_ms (const struct beryl_admission *admission)
{
  int64_t next_ms = admission->reported_ms + report_interval_ms (admission);

  return !admission->report_due && next_ms < admission->pressure_end_ms
             ? next_ms
             : BERYL_NEVER_MS;
}

void
beryl_admission_tick (struct beryl_admission *admission, int64_t now_ms)
{
  if (beryl_admission_next_ms (admission) <= now_ms)
    admission->report_due = true;
}

/* Without a queue, all slots together finish one call each in its usual time.
   Once there is one, calls take longer than they keep a slot; then the load
   that the endpoint has is the best measure of what it takes, and the time of
   the calls tells whether that is too much. */
double
beryl_admission_room (const struct beryl_admission_endpoint *endpoint)
{
  double by_slots, by_load;

  if (endpoint->slots == 0 || endpoint->ms_per_call <= 0)
    return 0;
  by_slots = SLOTS_PART * endpoint->slots * 1000 / endpoint->ms_per_call;
  by_load = endpoint->target_ms / endpoint->ms_per_call;
  by_load
      = fmin (fmax (by_load, LOAD_LEAST), LOAD_MOST) * endpoint->load_per_s;
  return fmax (by_slots, by_load);
}

/* The first request begins the time for which requests are counted. */
static void
count_asked (struct beryl_admission *a, struct demand_class *c, int64_t now_ms)
{
  c->asked_ms = now_ms;
  c->changed = true;
  if (a->started_ms == 0)
    a->started_ms = now_ms;
  else
    rate_count (&c->own_asked, now_ms);
}

struct beryl_admission_verdict
beryl_admission_ask (struct beryl_admission *admission,
                     const struct beryl_admission_class *request,
                     double room_per_s, int64_t now_ms)
{
  struct beryl_admission_verdict verdict = { .room_per_s = room_per_s };
  struct service *s = service_get (admission, request->service);
  struct demand_class *c = class_get (admission, request, now_ms);

  if (s == NULL || c == NULL)
    return verdict;
  count_asked (admission, c, now_ms);
  s->room_per_s = room_per_s;
  verdict.asked_per_s = service_state (admission, s, now_ms).asked_per_s;
  if (room_per_s > 0)
    {
      if (verdict.asked_per_s
          > PRESSURE_PART * room_per_s * known_part (admission, now_ms))
        admission->pressure_end_ms = now_ms + PRESSURE_MS;
      divide (admission, s, now_ms);
      verdict.granted_per_s = c->granted_per_s;
      if (!admits (c))
        {
          verdict.reason = c->any_in_full ? BERYL_ADMISSION_OVER_SHARE
                                          : BERYL_ADMISSION_NO_ROOM;
          verdict.retry_after_ms = retry_after_ms (admission, c, now_ms);
          return verdict;
        }
    }
  rate_count (&c->own_sent, now_ms);
  return verdict;
}

size_t
beryl_admission_services (struct beryl_admission *admission,
                          struct beryl_admission_state *states, size_t count,
                          int64_t now_ms)
{
  size_t written = 0;

  while (written < admission->service_count && written < count)
    {
      states[written]
          = service_state (admission, &admission->services[written], now_ms);
      written++;
    }
  return written;
}

bool
beryl_admission_report_due (const struct beryl_admission *admission)
{
  return admission->report_due;
}

static uint32_t
milli (double value)
{
  double scaled = fmax (value, 0) * 1000;

  return scaled < (double)UINT32_MAX ? (uint32_t)scaled : UINT32_MAX;
}

static bool
is_reported (const struct demand_class *c, int64_t now_ms)
{
  return c->changed || (c->asked_ms != 0 && now_ms - c->asked_ms <= REPEAT_MS);
}

void
beryl_admission_report (struct beryl_admission *admission,
                        struct beryl_admission_report *report, int64_t now_ms)
{
  double factor = start_factor (admission, now_ms);
  size_t count, first;

  if (now_ms < admission->released_ms
      || now_ms - admission->released_ms >= KEEP_MS)
    release_old (admission, now_ms);
  count = admission->class_count;
  first = count > 0 ? admission->next_report % count : 0;
  report->count = 0;
  admission->report_due = false;
  admission->reported_ms = now_ms;
  for (size_t i = 0; i < count && report->count < BERYL_ADMISSION_DEMANDS_MAX;
       i++)
    {
      struct demand_class *c = admission->classes[(first + i) % count];

      admission->next_report = first + i + 1;
      if (!is_reported (c, now_ms))
        continue;
      c->changed = false;
      report->items[report->count++] = (struct beryl_admission_demand){
        .requests = c->key,
        .asked_milli_per_s = milli (factor * rate_get (&c->own_asked, now_ms)),
        .sent_milli_per_s = milli (factor * rate_get (&c->own_sent, now_ms)),
      };
    }
}

/* Returns a peer's entry: a new one, or that of the peer which has been silent
   for the longest time. */
static struct peer *
peer_allocate (struct beryl_admission *a)
{
  size_t oldest = 0;

  if (a->peer_count < PEERS_MAX)
    {
      a->peers = realloc (a->peers, (a->peer_count + 1) * sizeof *a->peers);
      a->peers[a->peer_count] = (struct peer){ 0 };
      return &a->peers[a->peer_count++];
    }
  for (size_t i = 1; i < a->peer_count; i++)
    if (a->peers[i].reported_ms < a->peers[oldest].reported_ms)
      oldest = i;
  peer_decay (&a->peers[oldest], INFINITY);
  return &a->peers[oldest];
}

/* Returns the entry of NODE, whose report has arrived.  Its records have
   decayed until now. */
static struct peer *
peer_get (struct beryl_admission *a, uint32_t node, int64_t now_ms)
{
  struct peer *peer = NULL;
  double passed_ms;

  for (size_t i = 0; i < a->peer_count && peer == NULL; i++)
    if (a->peers[i].node == node)
      peer = &a->peers[i];
  if (peer == NULL)
    {
      peer = peer_allocate (a);
      *peer = (struct peer){ .node = node, .reported_ms = now_ms };
    }
  passed_ms = fmax ((double)(now_ms - peer->reported_ms), 0);
  peer_decay (peer, passed_ms - peer->faded_ms);
  peer->interval_ms
      += INTERVAL_WEIGHT
         * (fmin (passed_ms, INTERVAL_MAX_MS) - peer->interval_ms);
  peer->reported_ms = now_ms;
  peer->faded_ms = 0;
  return peer;
}

static struct record *
record_get (struct peer *peer, struct demand_class *c)
{
  struct record *record = peer->records;

  while (record != NULL && record->class != c)
    record = record->next;
  if (record != NULL)
    return record;
  record = calloc (1, sizeof *record);
  record->class = c;
  record->next = peer->records;
  peer->records = record;
  c->record_count++;
  return record;
}

void
beryl_admission_apply (struct beryl_admission *admission, uint32_t node,
                       const struct beryl_admission_report *report,
                       int64_t now_ms)
{
  struct peer *peer = peer_get (admission, node, now_ms);

  for (size_t i = 0; i < report->count; i++)
    {
      const struct beryl_admission_demand *item = &report->items[i];
      struct demand_class *c = class_get (admission, &item->requests, now_ms);
      struct record *record;

      if (c == NULL)
        continue;
      record = record_get (peer, c);
      c->peers_asked_per_s -= record->asked_per_s;
      c->peers_sent_per_s -= record->sent_per_s;
      record->asked_per_s = item->asked_milli_per_s / 1000.0;
      record->sent_per_s = item->sent_milli_per_s / 1000.0;
      c->peers_asked_per_s += record->asked_per_s;
      c->peers_sent_per_s += record->sent_per_s;
    }
}
