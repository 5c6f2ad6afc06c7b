#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/random.h"
#include "private.h"
#include "shares.h"

/* Interval at which free slots are counted, longer by REFRESH_MS for each
 * REFRESH_LIST_SIZE endpoints, so that the work per decision does not grow
 * with the fleet. */
#define REFRESH_MS 50
#define REFRESH_LIST_SIZE 128

/* Endpoints sampled for slots to borrow. */
#define BORROW_SAMPLE 128

/* Initial mean and standard deviation of the bind delay. */
#define BIND_DELAY_MS 100

#define FAILURES_TO_EJECT 3
#define EJECT_BASE_MS 1000
#define EJECT_MAX_MS 30000

static int
compare_names (const void *a, const void *b)
{
  const struct router_endpoint *x = a;
  const struct router_endpoint *y = b;
  return strcmp (x->name, y->name);
}

uint32_t
fleet_find (const struct beryl_router *r, const char *name)
{
  size_t low = 0;
  size_t high = r->endpoint_count;
  while (low < high)
    {
      size_t mid = (low + high) / 2;
      int order = strcmp (name, r->endpoints[mid].name);
      if (order == 0)
        return (uint32_t)mid;
      if (order < 0)
        high = mid;
      else
        low = mid + 1;
    }
  return ROUTER_NONE;
}

bool
fleet_usable (const struct router_endpoint *e, int64_t now_ms)
{
  return e->config && !e->config->leaving && e->ejected_until_ms <= now_ms;
}

bool
fleet_excluded (const struct beryl_job *job, const struct router_endpoint *e)
{
  for (uint32_t i = 0; i < job->excluded_count; i++)
    if (strcmp (job->excluded[i], e->name) == 0)
      return true;
  return false;
}

void
fleet_record_busy (struct router_endpoint *e, int64_t now_ms)
{
  e->changes[e->change_count++ % ROUTER_CHANGES_MAX]
      = (struct router_change){ now_ms, 0, (int32_t)e->busy };
}

/* Returns this node's busy slots at the time of the last report.  If older
 * changes are lost from the ring, the oldest known one is the best estimate.
 */
static uint32_t
busy_when_reported (const struct router_endpoint *e)
{
  int32_t busy = (int32_t)e->busy;
  for (uint32_t i = 1; i <= ROUTER_CHANGES_MAX && i <= e->change_count; i++)
    {
      const struct router_change *c
          = &e->changes[(e->change_count - i) % ROUTER_CHANGES_MAX];
      if (c->busy_slots < 0)
        continue;
      busy = c->busy_slots;
      if (c->at_ms <= e->report.measured_ms)
        break;
    }
  return (uint32_t)busy;
}

uint32_t
fleet_free_slots (const struct router_endpoint *e, int64_t now_ms)
{
  uint32_t used = e->busy + e->reserved;
  if (e->reported
      && now_ms - e->report.measured_ms <= ROUTER_REPORT_MAX_AGE_MS)
    {
      uint32_t own = busy_when_reported (e);
      if (e->report.decoding > own)
        used += e->report.decoding - own;
    }
  return used < e->slots ? e->slots - used : 0;
}

uint32_t
fleet_free_own (const struct router_endpoint *e, int64_t now_ms)
{
  uint32_t used = e->busy + e->reserved;
  uint32_t own = used < e->share ? e->share - used : 0;
  if (own == 0)
    return 0;
  uint32_t all = fleet_free_slots (e, now_ms);
  return own < all ? own : all;
}

/* Unused slots of other nodes are lent: each node counts only its fraction of
 * them, so that nodes with the same old report do not all take the same slot.
 */
static int32_t
borrowable_slots (struct beryl_router *r, const struct router_service *s,
                  int64_t now_ms)
{
  size_t count = s->decode.count;
  size_t sample = count < BORROW_SAMPLE ? count : BORROW_SAMPLE;
  size_t at = count > sample ? random_next (&r->random) % count : 0;
  double borrowable = 0;
  for (size_t i = 0; i < sample; i++)
    {
      const struct router_endpoint *e
          = &r->endpoints[s->decode.items[(at + i) % count]];
      if (!e->reported || !fleet_usable (e, now_ms)
          || now_ms - e->report.measured_ms > ROUTER_REPORT_MAX_AGE_MS)
        continue;
      borrowable += fleet_free_slots (e, now_ms) - fleet_free_own (e, now_ms);
    }
  if (sample > 0)
    borrowable *= (double)count / (double)sample;
  if (r->member_count > 1)
    borrowable /= (double)r->member_count;
  return (int32_t)borrowable;
}

void
fleet_refresh (struct beryl_router *r, struct router_service *s,
               int64_t now_ms)
{
  int64_t interval_factor = 1 + (int64_t)(s->own.count / REFRESH_LIST_SIZE);
  if (now_ms - s->slots_counted_ms < interval_factor * REFRESH_MS
      && s->slots_counted_ms != 0)
    return;
  s->slots_counted_ms = now_ms;
  s->free_own = 0;
  for (size_t i = 0; i < s->own.count; i++)
    {
      const struct router_endpoint *e = &r->endpoints[s->own.items[i]];
      if (fleet_usable (e, now_ms))
        s->free_own += (int32_t)fleet_free_own (e, now_ms);
    }
  s->borrowable = borrowable_slots (r, s, now_ms);
}

static const struct router_list *
endpoints_of_role (const struct router_service *s, enum beryl_role role)
{
  if (role == BERYL_ROLE_SERVICE)
    return &s->plain;
  return role == BERYL_ROLE_PREFILL ? &s->prefill : &s->decode;
}

/* Ejects an endpoint after repeated failures, with exponential backoff, but
 * never the last usable one: a false suspicion must not make a service
 * unavailable. */
void
fleet_record_failure (struct beryl_router *r, uint32_t endpoint,
                      int64_t now_ms)
{
  struct router_endpoint *e = &r->endpoints[endpoint];
  e->consecutive_failures++;
  if (e->consecutive_failures < FAILURES_TO_EJECT || !e->config)
    return;
  const struct router_list *list
      = endpoints_of_role (&r->services[e->service], e->config->role);
  size_t usable = 0;
  for (size_t i = 0; i < list->count; i++)
    if (fleet_usable (&r->endpoints[list->items[i]], now_ms))
      usable++;
  if (usable <= 1)
    return;
  int64_t ejection_ms = EJECT_BASE_MS;
  for (uint32_t i = FAILURES_TO_EJECT; i < e->consecutive_failures; i++)
    ejection_ms
        = ejection_ms < EJECT_MAX_MS / 2 ? ejection_ms * 2 : EJECT_MAX_MS;
  e->ejected_until_ms = now_ms + ejection_ms;
  r->services[e->service].slots_counted_ms = 0;
}

void
fleet_record_success (struct router_endpoint *e)
{
  e->consecutive_failures = 0;
  e->ejected_until_ms = 0;
}

static void
endpoint_init (struct router_endpoint *e, const struct beryl_endpoint *config)
{
  snprintf (e->name, sizeof e->name, "%s", config->name);
  e->name_hash = shares_hash (e->name);
  e->config = config;
  e->slots = config->slots ? config->slots : ROUTER_DEFAULT_SLOTS;
  e->predicted_hit_accuracy = 1;
}

/* Copies the state of an endpoint from the previous configuration. */
static void
endpoint_carry_over (struct router_endpoint *e,
                     const struct router_endpoint *old)
{
  const struct beryl_endpoint *config = e->config;
  uint32_t slots = e->slots;
  *e = *old;
  e->config = config;
  e->slots = slots;
}

static void
list_free (struct router_list *list)
{
  free (list->items);
  *list = (struct router_list){ 0 };
}

static bool
list_add (struct router_list *list, uint32_t item)
{
  if ((list->count & (list->count - 1)) == 0)
    {
      size_t size = list->count ? list->count * 2 : 1;
      uint32_t *items = realloc (list->items, size * sizeof *items);
      if (!items)
        return false;
      list->items = items;
    }
  list->items[list->count++] = item;
  return true;
}

static void
service_release (struct router_service *s)
{
  list_free (&s->prefill);
  list_free (&s->decode);
  list_free (&s->plain);
  list_free (&s->own);
}

void
fleet_release (struct beryl_router *r)
{
  for (size_t i = 0; i < r->service_count; i++)
    service_release (&r->services[i]);
  free (r->services);
  free (r->endpoints);
  r->services = NULL;
  r->endpoints = NULL;
  r->service_count = 0;
  r->endpoint_count = 0;
}

/* Initial estimates of an unknown service: a prefill takes 5 ms and 0.1 ms per
 * token, a token 25 ms and 0.75 ms per request of the batch, a transfer 2 ms
 * and 0.4 ms per megabyte; answers have 60 % of max_tokens, and a decode takes
 * 5 s.  They only need the right order of magnitude until a few dozen requests
 * have corrected them. */
static void
service_init (struct router_service *s)
{
  estimate_line_init (&s->prefill_ms, 5, 0.1, 8000);
  estimate_line_init (&s->interval_ms, 25, 0.75, 20);
  estimate_line_init (&s->transfer_ms, 2, 0.4, 400);
  estimate_mean_init (&s->length_ratio, 0.6, 0.25);
  estimate_mean_init (&s->decode_ms, 5000, 2500);
  estimate_mean_init (&s->bind_delay_ms, BIND_DELAY_MS, BIND_DELAY_MS);
}

static void
service_carry_over (struct router_service *s, const struct router_service *old)
{
  s->prefill_ms = old->prefill_ms;
  s->interval_ms = old->interval_ms;
  s->transfer_ms = old->transfer_ms;
  s->length_ratio = old->length_ratio;
  s->decode_ms = old->decode_ms;
  s->bind_delay_ms = old->bind_delay_ms;
  memcpy (s->answer_ms, old->answer_ms, sizeof s->answer_ms);
  s->unbound = old->unbound;
  s->non_urgent = old->non_urgent;
  s->decoding = old->decoding;
}

static bool
services_build (struct beryl_router *r, const struct beryl_config *config,
                struct router_service *services)
{
  for (size_t i = 0; i < config->service_count; i++)
    {
      struct router_service *s = &services[i];
      s->config = &config->services[i];
      snprintf (s->name, sizeof s->name, "%s", s->config->name);
      if (s->config->model[0])
        s->model = beryl_config_model (config, s->config->model);
      service_init (s);
      const struct router_service *old = router_service_find (r, s->name);
      if (old)
        service_carry_over (s, old);
    }
  return true;
}

static uint32_t
service_number (const struct beryl_config *config, const char *name)
{
  for (size_t i = 0; i < config->service_count; i++)
    if (strcmp (config->services[i].name, name) == 0)
      return (uint32_t)i;
  return ROUTER_NONE;
}

static size_t
endpoints_build (struct beryl_router *r, const struct beryl_config *config,
                 struct router_endpoint *endpoints)
{
  size_t n = 0;
  for (size_t i = 0; i < config->endpoint_count; i++)
    {
      uint32_t service = service_number (config, config->endpoints[i].service);
      if (service == ROUTER_NONE)
        continue;
      struct router_endpoint *e = &endpoints[n++];
      endpoint_init (e, &config->endpoints[i]);
      uint32_t old = fleet_find (r, e->name);
      if (old != ROUTER_NONE)
        endpoint_carry_over (e, &r->endpoints[old]);
      e->service = service;
    }
  qsort (endpoints, n, sizeof *endpoints, compare_names);
  return n;
}

static bool
lists_build (struct beryl_router *r)
{
  bool ok = true;
  for (size_t i = 0; i < r->endpoint_count; i++)
    {
      const struct router_endpoint *e = &r->endpoints[i];
      struct router_service *s = &r->services[e->service];
      if (e->config->role & BERYL_ROLE_PREFILL)
        ok = ok && list_add (&s->prefill, (uint32_t)i);
      if (e->config->role & BERYL_ROLE_DECODE)
        ok = ok && list_add (&s->decode, (uint32_t)i);
      if (e->config->role == BERYL_ROLE_SERVICE)
        ok = ok && list_add (&s->plain, (uint32_t)i);
    }
  return ok;
}

/* Tickets and the prefix index refer to endpoints by index. */
static void
renumber (struct beryl_router *r, const struct router_endpoint *old,
          size_t old_count)
{
  uint32_t *numbers = calloc (old_count + 1, sizeof *numbers);
  if (!numbers)
    return;
  for (size_t i = 0; i < old_count; i++)
    numbers[i] = fleet_find (r, old[i].name);
  prefix_index_renumber (r->prefix, numbers, old_count);
  for (size_t i = 0; i < r->ticket_count; i++)
    {
      struct router_ticket *t = &r->tickets[i];
      if (t->prefill != ROUTER_NONE)
        t->prefill = numbers[t->prefill];
      if (t->decode != ROUTER_NONE)
        t->decode = numbers[t->decode];
    }
  free (numbers);
}

static uint32_t
renumber_service (const struct beryl_router *r,
                  const struct router_service *old, uint32_t number)
{
  return service_number (r->config, old[number].name);
}

static void
renumber_services (struct beryl_router *r, const struct router_service *old)
{
  for (size_t i = 0; i < r->ticket_count; i++)
    if (r->tickets[i].phase != ROUTER_PHASE_FREE
        && r->tickets[i].service != ROUTER_NONE)
      r->tickets[i].service = renumber_service (r, old, r->tickets[i].service);
  size_t i = 0;
  while (i < r->waiting_count)
    {
      uint32_t number = renumber_service (r, old, r->waiting[i].service);
      if (number == ROUTER_NONE)
        {
          organisation_job_closed (r, r->waiting[i].organisation);
          waiting_remove_index (r, i);
          continue;
        }
      r->waiting[i++].service = number;
    }
}

bool
fleet_build (struct beryl_router *r, const struct beryl_config *config)
{
  struct router_service *services
      = calloc (config->service_count + 1, sizeof *services);
  struct router_endpoint *endpoints
      = calloc (config->endpoint_count + 1, sizeof *endpoints);
  if (!services || !endpoints)
    {
      free (services);
      free (endpoints);
      return false;
    }
  services_build (r, config, services);
  size_t count = endpoints_build (r, config, endpoints);
  struct router_endpoint *old = r->endpoints;
  size_t old_count = r->endpoint_count;
  struct router_service *old_services = r->services;
  size_t old_service_count = r->service_count;
  r->config = config;
  r->services = services;
  r->service_count = config->service_count;
  r->endpoints = endpoints;
  r->endpoint_count = count;
  renumber (r, old, old_count);
  renumber_services (r, old_services);
  for (size_t i = 0; i < old_service_count; i++)
    service_release (&old_services[i]);
  free (old_services);
  free (old);
  if (!lists_build (r))
    return false;
  fleet_assign_shares (r);
  return true;
}

/* Returns how much of a plain service's limit non-urgent calls may use: a
 * quarter is reserved for urgent ones. */
static uint32_t
non_urgent_slots (uint32_t max_concurrent)
{
  uint32_t urgent_slots = (max_concurrent + 3) / 4;
  return max_concurrent - urgent_slots;
}

void
fleet_assign_shares (struct beryl_router *r)
{
  uint64_t own = shares_hash (r->node);
  for (size_t i = 0; i < r->service_count; i++)
    {
      struct router_service *s = &r->services[i];
      s->own_slots = 0;
      s->non_urgent_slots = 0;
      s->own.count = 0;
      s->slots_counted_ms = 0;
    }
  for (size_t i = 0; i < r->endpoint_count; i++)
    {
      struct router_endpoint *e = &r->endpoints[i];
      struct router_service *s = &r->services[e->service];
      uint32_t slots = e->slots;
      if (e->config->role == BERYL_ROLE_SERVICE)
        slots = non_urgent_slots (s->config->max_concurrent);
      e->share = shares_of_node (e->name_hash, slots, own, r->members,
                                 r->member_count);
      if (e->config->role == BERYL_ROLE_SERVICE)
        s->non_urgent_slots += e->share;
      if (e->share == 0 || !(e->config->role & BERYL_ROLE_DECODE))
        continue;
      s->own_slots += e->share;
      list_add (&s->own, (uint32_t)i);
    }
}
