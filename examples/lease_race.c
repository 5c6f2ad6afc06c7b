/** @file
 * Example: two workers compete for a role through one object.
 *
 * Embeds beryl/lease.h alone.  The "platform" is a variable with a version;
 * a real owner would send the reads and writes to a store with conditional
 * updates.  Worker 1 wins, is paused, and worker 2 takes over once the lease
 * has run out; worker 1 then finds out before it acts.
 */
#include <beryl/clock.h>
#include <beryl/lease.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define TTL_MS 1000
#define STEP_MS 50
#define PAUSE_FROM_MS 500
#define PAUSE_TO_MS 3000
#define END_MS 4000

/** The shared object. */
static struct beryl_lease_record object;

struct worker
{
  struct beryl_lease_owner owner;
  struct beryl_lease *lease;
  const char *name;
  int64_t now_ms;
};

static void
read_object (struct beryl_lease_owner *owner, struct beryl_lease *lease)
{
  beryl_lease_read_done (lease, &object, ((struct worker *)owner)->now_ms);
}

static void
write_object (struct beryl_lease_owner *owner, struct beryl_lease *lease,
              const struct beryl_lease_record *record)
{
  int64_t now_ms = ((struct worker *)owner)->now_ms;

  if (record->version != object.version)
    {
      beryl_lease_write_done (lease, BERYL_LEASE_CONFLICT, object.version,
                              now_ms);
      return;
    }
  object = *record;
  object.version++;
  beryl_lease_write_done (lease, BERYL_LEASE_WRITTEN, object.version, now_ms);
}

static void
changed (struct beryl_lease_owner *owner, struct beryl_lease *lease,
         uint64_t fence)
{
  struct worker *w = (struct worker *)owner;

  if (fence > 0)
    printf ("%5" PRId64 " ms: %s holds the role, fencing number %" PRIu64 "\n",
            w->now_ms, w->name, fence);
  else
    printf ("%5" PRId64 " ms: %s has lost the role\n", w->now_ms, w->name);
}

static const struct beryl_lease_owner_impl owner_impl
    = { read_object, write_object, changed };

static void
worker_start (struct worker *w, const char *name, uint64_t seed)
{
  const struct beryl_lease_settings settings = { .name = "planner",
                                                 .holder = name,
                                                 .ttl_ms = TTL_MS,
                                                 .margin_ms = TTL_MS / 10,
                                                 .poll_ms = TTL_MS / 4,
                                                 .settle_ms = TTL_MS,
                                                 .seed = seed };

  w->owner.impl = &owner_impl;
  w->name = name;
  w->lease = beryl_lease_create (&settings, &w->owner);
  beryl_lease_set_candidate (w->lease, true, 0);
}

/** Let W run at NOW_MS. */
static void
worker_run (struct worker *w, int64_t now_ms)
{
  w->now_ms = now_ms;
  if (beryl_lease_next_ms (w->lease) <= now_ms)
    beryl_lease_tick (w->lease, now_ms);
}

int
main (void)
{
  struct worker first = { 0 }, second = { 0 };
  uint64_t fence = 0;
  bool both = false;

  worker_start (&first, "worker-1", 1);
  worker_start (&second, "worker-2", 2);
  for (int64_t now_ms = 0; now_ms <= END_MS; now_ms += STEP_MS)
    {
      if (now_ms < PAUSE_FROM_MS || now_ms >= PAUSE_TO_MS)
        worker_run (&first, now_ms);
      worker_run (&second, now_ms);
      both = both
             || (beryl_lease_held (first.lease, now_ms, NULL)
                 && beryl_lease_held (second.lease, now_ms, NULL));
    }
  printf ("both at one time: %s\n", both ? "yes" : "no");
  both = both || !beryl_lease_held (second.lease, END_MS, &fence);
  beryl_lease_destroy (first.lease);
  beryl_lease_destroy (second.lease);
  return both ? EXIT_FAILURE : EXIT_SUCCESS;
}
