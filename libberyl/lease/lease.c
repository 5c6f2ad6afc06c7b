#include "beryl/lease.h"

#include <stdlib.h>
#include <string.h>

#include "beryl/clock.h"
#include "../base/guard_control.h"

/* Latest writes that are remembered.  One is in flight at a time, but several
 * in a row may have unknown outcomes. */
#define WRITES_REMEMBERED 8

/* A failed call, or a release that waits for the call in flight, is retried
 * after the poll interval divided by this: sooner than the next poll, but not
 * at once, so that an outage causes no burst. */
#define RETRY_DIVISOR 4

struct sent_write
{
  uint64_t nonce;
  int64_t sent_ms;
  bool release;
};

enum lease_io
{
  LEASE_IO_NONE,
  LEASE_IO_READ,
  LEASE_IO_WRITE,
};

struct beryl_lease
{
  struct beryl_lease_owner *owner;
  char name[BERYL_NAME_BYTES];
  char holder[BERYL_NAME_BYTES];
  int64_t ttl_ms;
  int64_t margin_ms;
  int64_t poll_ms;
  int64_t settle_ms;
  uint64_t nonce;
  bool candidate;
  enum lease_io io;
  struct beryl_lease_record observed; /* newest; version 0: deleted */
  bool observed_any;                  /* OBSERVED is valid */
  int64_t observed_ms;                /* first observation of its version */
  struct sent_write writes[WRITES_REMEMBERED];
  size_t writes_next;
  uint64_t era;                /* newest of the object API */
  int64_t not_before_ms;       /* until then terms of earlier eras may run */
  bool conflicted;             /* the last write conflicted */
  uint64_t conflicted_version; /* on which it was conditional */
  uint64_t fence;              /* fencing token; 0: not held */
  int64_t held_until_ms;       /* expiry less the margin */
  int64_t acquired_ms;
  int64_t next_ms;
};

struct beryl_lease *
beryl_lease_create (const struct beryl_lease_settings *settings,
                    struct beryl_lease_owner *owner)
{
  struct beryl_lease *lease = calloc (1, sizeof *lease);

  if (lease == NULL)
    return NULL;
  lease->owner = owner;
  strncpy (lease->name, settings->name, sizeof lease->name - 1);
  strncpy (lease->holder, settings->holder, sizeof lease->holder - 1);
  lease->ttl_ms = settings->ttl_ms;
  lease->margin_ms = settings->margin_ms;
  lease->poll_ms = settings->poll_ms;
  lease->settle_ms = settings->settle_ms;
  lease->nonce = settings->seed;
  lease->next_ms = BERYL_NEVER_MS;
  return lease;
}

void
beryl_lease_destroy (struct beryl_lease *lease)
{
  free (lease);
}

const char *
beryl_lease_name (const struct beryl_lease *lease)
{
  return lease->name;
}

const char *
beryl_lease_holder (const struct beryl_lease *lease)
{
  return lease->observed.holder;
}

bool
beryl_lease_held (const struct beryl_lease *lease, int64_t now_ms,
                  uint64_t *fence)
{
  if (lease->fence == 0
      || !BERYL_GUARD (BERYL_GUARD_LEASE_EARLY, now_ms < lease->held_until_ms))
    return false;
  if (fence != NULL)
    *fence = lease->fence;
  return true;
}

bool
beryl_lease_settled (const struct beryl_lease *lease, int64_t now_ms)
{
  return beryl_lease_held (lease, now_ms, NULL)
         && BERYL_GUARD (BERYL_GUARD_LEASE_SETTLED,
                         now_ms - lease->acquired_ms >= lease->settle_ms);
}

int64_t
beryl_lease_next_ms (const struct beryl_lease *lease)
{
  int64_t next_ms
      = lease->io == LEASE_IO_NONE ? lease->next_ms : BERYL_NEVER_MS;

  if (lease->fence != 0 && lease->held_until_ms < next_ms)
    next_ms = lease->held_until_ms;
  return next_ms;
}

static void
lease_lost (struct beryl_lease *lease)
{
  if (lease->fence == 0)
    return;
  lease->fence = 0;
  lease->owner->impl->changed (lease->owner, lease, 0);
}

static void
lease_confirm (struct beryl_lease *lease, uint64_t version, int64_t sent_ms,
               int64_t now_ms)
{
  /* The term starts when the write was sent: other nodes count from when they
   * see the write, which may be long before the reply arrives.  FROM_REPLY is
   * true only in a mutation test (BERYL_GUARD). */
  bool from_reply = BERYL_GUARD (BERYL_GUARD_LEASE_SENT, false);
  int64_t from_ms = from_reply ? now_ms : sent_ms;
  int64_t until_ms = from_ms + lease->ttl_ms - lease->margin_ms;

  if (until_ms <= now_ms)
    return;
  lease->held_until_ms = until_ms;
  lease->next_ms = sent_ms + lease->ttl_ms / 3;
  if (lease->fence != 0)
    return;
  lease->fence = version;
  lease->acquired_ms = now_ms;
  lease->owner->impl->changed (lease->owner, lease, version);
}

static void
lease_read (struct beryl_lease *lease)
{
  lease->io = LEASE_IO_READ;
  lease->owner->impl->read (lease->owner, lease);
}

static void
lease_write (struct beryl_lease *lease, bool release, int64_t now_ms)
{
  struct sent_write *write
      = &lease->writes[lease->writes_next++ % WRITES_REMEMBERED];
  struct beryl_lease_record record = lease->observed;

  memset (record.holder, 0, sizeof record.holder);
  if (!release)
    memcpy (record.holder, lease->holder, sizeof record.holder);
  record.nonce = ++lease->nonce;
  record.ttl_ms = lease->ttl_ms;
  write->nonce = record.nonce;
  /* Taken before the write is sent: whatever delays it, the other nodes start
   * to count later than this. */
  write->sent_ms = now_ms;
  write->release = release;
  lease->io = LEASE_IO_WRITE;
  lease->owner->impl->write (lease->owner, lease, &record);
}

static const struct sent_write *
lease_find_write (const struct beryl_lease *lease, uint64_t nonce)
{
  for (size_t i = 0; i < WRITES_REMEMBERED; i++)
    if (lease->writes[i].nonce == nonce && nonce != 0)
      return &lease->writes[i];
  return NULL;
}

/* Whether the observed object says that this process holds the role. */
static bool
lease_is_own (const struct beryl_lease *lease)
{
  const struct sent_write *write
      = lease_find_write (lease, lease->observed.nonce);

  return write != NULL && !write->release;
}

/* Returns when no other node can hold the role any more.  The term is counted
 * from when this node first observed the version, which is later than the
 * holder's own start; the margin covers differing clock rates. */
static int64_t
lease_free_from_ms (const struct beryl_lease *lease)
{
  int64_t free_ms = lease->observed_ms;

  if (lease->observed.holder[0] != '\0' && !lease_is_own (lease))
    free_ms += lease->observed.ttl_ms + lease->margin_ms;
  return free_ms > lease->not_before_ms ? free_ms : lease->not_before_ms;
}

static void
lease_acquire_or_release (struct beryl_lease *lease, int64_t now_ms)
{
  if (!lease->candidate)
    {
      lease->next_ms = BERYL_NEVER_MS;
      if (lease_is_own (lease))
        lease_write (lease, true, now_ms);
      return;
    }
  if (lease->fence == 0
      && BERYL_GUARD (BERYL_GUARD_LEASE_WAIT,
                      now_ms >= lease_free_from_ms (lease)))
    lease_write (lease, false, now_ms);
  else if (lease->fence == 0)
    {
      int64_t free_ms = lease_free_from_ms (lease);
      int64_t poll_ms = now_ms + lease->poll_ms;

      lease->next_ms = free_ms < poll_ms ? free_ms : poll_ms;
    }
}

void
beryl_lease_set_candidate (struct beryl_lease *lease, bool candidate,
                           int64_t now_ms)
{
  if (lease->candidate == candidate)
    return;
  lease->candidate = candidate;
  if (candidate)
    {
      lease->next_ms = now_ms;
      return;
    }
  if (lease->fence == 0)
    return;
  lease_lost (lease);
  if (lease->io == LEASE_IO_NONE)
    lease_write (lease, true, now_ms);
  else
    lease->next_ms = now_ms + lease->poll_ms / RETRY_DIVISOR;
}

/* Ends the terms of all writes: one of them may be back from the copy after
   another node has taken the role since, in a record that is lost. */
static void
lease_end_writes (struct beryl_lease *lease, int64_t now_ms)
{
  for (size_t i = 0; i < WRITES_REMEMBERED; i++)
    if (lease->writes[i].sent_ms > now_ms - lease->ttl_ms)
      lease->writes[i].sent_ms = now_ms - lease->ttl_ms;
}

void
beryl_lease_set_era (struct beryl_lease *lease, uint64_t era, int64_t now_ms)
{
  if (era <= lease->era)
    return;
  lease->era = era;
  lease->not_before_ms = now_ms + lease->ttl_ms + lease->margin_ms;
  if (beryl_lease_held (lease, now_ms, NULL))
    return;
  lease_lost (lease);
  lease_end_writes (lease, now_ms);
}

/* Keeps the record with the highest version: an older one from a lagging
 * replica would restart or shorten the wait for the current holder. */
static void
lease_observe (struct beryl_lease *lease,
               const struct beryl_lease_record *record, int64_t now_ms)
{
  if (lease->observed_any
      && !BERYL_GUARD (BERYL_GUARD_LEASE_STALE_READ,
                       record->version > lease->observed.version))
    return;
  lease->observed = *record;
  lease->observed_any = true;
  lease->observed_ms = now_ms;
}

static void
lease_schedule_retry (struct beryl_lease *lease, int64_t now_ms)
{
  lease->next_ms = now_ms + lease->poll_ms / RETRY_DIVISOR;
}

void
beryl_lease_read_done (struct beryl_lease *lease,
                       const struct beryl_lease_record *record, int64_t now_ms)
{
  const struct sent_write *write;
  bool still_conflicts;

  lease->io = LEASE_IO_NONE;
  lease_observe (lease, record, now_ms);
  still_conflicts = lease->conflicted && lease->observed.version != 0
                    && lease->observed.version == lease->conflicted_version;
  lease->conflicted = false;
  write = lease_find_write (lease, lease->observed.nonce);
  /* The nonce proves that a write whose reply was lost has succeeded. */
  if (write != NULL && !write->release && lease->candidate)
    lease_confirm (lease, lease->observed.version, write->sent_ms, now_ms);
  else if (write == NULL && lease->observed.version > lease->fence)
    lease_lost (lease);
  /* A replica that lags does not show yet what the write conflicted with. */
  if (still_conflicts)
    lease_schedule_retry (lease, now_ms);
  else if (lease->fence == 0)
    lease_acquire_or_release (lease, now_ms);
  else if (lease->next_ms <= now_ms)
    lease_write (lease, false, now_ms);
}

void
beryl_lease_read_failed (struct beryl_lease *lease, int64_t now_ms)
{
  lease->io = LEASE_IO_NONE;
  lease_schedule_retry (lease, now_ms);
}

static void
lease_written (struct beryl_lease *lease, uint64_t version, int64_t now_ms)
{
  const struct sent_write *write = lease_find_write (lease, lease->nonce);
  struct beryl_lease_record record
      = { .version = version, .nonce = lease->nonce, .ttl_ms = lease->ttl_ms };

  if (!write->release)
    memcpy (record.holder, lease->holder, sizeof record.holder);
  lease_observe (lease, &record, now_ms);
  if (write->release)
    lease->next_ms
        = lease->candidate ? now_ms + lease->poll_ms : BERYL_NEVER_MS;
  else if (lease->candidate)
    lease_confirm (lease, version, write->sent_ms, now_ms);
  else
    lease_write (lease, true, now_ms);
}

/* The object was deleted.  Its holder may not know yet, so the holder's name
 * and term are kept and other nodes wait for the full term again.  The version
 * is reset, since the next write must create the object. */
static void
lease_object_deleted (struct beryl_lease *lease, int64_t now_ms)
{
  lease->observed.version = 0;
  lease->observed_ms = now_ms;
}

void
beryl_lease_write_done (struct beryl_lease *lease,
                        enum beryl_lease_write result, uint64_t version,
                        int64_t now_ms)
{
  lease->io = LEASE_IO_NONE;
  switch (result)
    {
    case BERYL_LEASE_WRITTEN:
      lease_written (lease, version, now_ms);
      return;
    case BERYL_LEASE_CONFLICT:
      if (version == 0)
        lease_object_deleted (lease, now_ms);
      lease->conflicted_version = lease->observed.version;
      lease->conflicted = true;
      lease_read (lease);
      return;
    case BERYL_LEASE_UNKNOWN:
      lease_read (lease);
      return;
    case BERYL_LEASE_FAILED:
      lease_schedule_retry (lease, now_ms);
      return;
    }
}

void
beryl_lease_tick (struct beryl_lease *lease, int64_t now_ms)
{
  if (lease->fence != 0
      && !BERYL_GUARD (BERYL_GUARD_LEASE_EARLY, now_ms < lease->held_until_ms))
    lease_lost (lease);
  if (now_ms < lease->next_ms || lease->io != LEASE_IO_NONE)
    return;
  lease->next_ms = now_ms + lease->poll_ms;
  if (!lease->candidate)
    {
      lease_acquire_or_release (lease, now_ms);
    }
  else if (lease->fence != 0)
    lease_write (lease, false, now_ms);
  else
    lease_read (lease);
}
