#include "beryl/lease.h"

#include <stdlib.h>
#include <string.h>

#include "beryl/clock.h"
#include "../base/guard_control.h"

/* Writes whose outcome may still be unknown.  More are never under way: a
 * write is sent only after the one before was answered. */
#define SENT_COUNT 8

/* Wait after a failure, so that an outage does not become a storm. */
#define RETRY_DIVISOR 4

struct sent
{
  uint64_t nonce;
  int64_t sent_ms;
  bool release;
};

enum work
{
  WORK_NONE,
  WORK_READING,
  WORK_WRITING,
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
  bool wanted;
  enum work work;
  struct beryl_lease_record seen; /* highest version seen */
  bool seen_any;                  /* also of there being no object */
  int64_t seen_ms;                /* when that version was seen first */
  struct sent sent[SENT_COUNT];
  size_t sent_next;
  uint64_t fence;        /* 0: not held */
  int64_t held_until_ms; /* early end */
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
  return lease->seen.holder;
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
  int64_t next_ms = lease->work == WORK_NONE ? lease->next_ms : BERYL_NEVER_MS;

  if (lease->fence != 0 && lease->held_until_ms < next_ms)
    next_ms = lease->held_until_ms;
  return next_ms;
}

static void
lease_lose (struct beryl_lease *lease)
{
  if (lease->fence == 0)
    return;
  lease->fence = 0;
  lease->owner->impl->changed (lease->owner, lease, 0);
}

static void
lease_gain (struct beryl_lease *lease, uint64_t version, int64_t sent_ms,
            int64_t now_ms)
{
  /* The reply may be late; the others have been waiting since the write. */
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
  lease->work = WORK_READING;
  lease->owner->impl->read (lease->owner, lease);
}

static void
lease_write (struct beryl_lease *lease, bool release, int64_t now_ms)
{
  struct sent *s = &lease->sent[lease->sent_next++ % SENT_COUNT];
  struct beryl_lease_record record = lease->seen;

  memset (record.holder, 0, sizeof record.holder);
  if (!release)
    memcpy (record.holder, lease->holder, sizeof record.holder);
  record.nonce = ++lease->nonce;
  record.ttl_ms = lease->ttl_ms;
  s->nonce = record.nonce;
  /* Taken before the write leaves: whatever delays it, the others start
   * to wait later than this. */
  s->sent_ms = now_ms;
  s->release = release;
  lease->work = WORK_WRITING;
  lease->owner->impl->write (lease->owner, lease, &record);
}

static const struct sent *
lease_find_sent (const struct beryl_lease *lease, uint64_t nonce)
{
  for (size_t i = 0; i < SENT_COUNT; i++)
    if (lease->sent[i].nonce == nonce && nonce != 0)
      return &lease->sent[i];
  return NULL;
}

/* Whether the object says that this process holds the role. */
static bool
lease_is_mine (const struct beryl_lease *lease)
{
  const struct sent *s = lease_find_sent (lease, lease->seen.nonce);

  return s != NULL && !s->release;
}

/* When nobody else can hold it for certain.  Waiting starts at the first
 * sight of the version, which is later than the holder's own start. */
static int64_t
lease_free_ms (const struct beryl_lease *lease)
{
  if (lease->seen.holder[0] == '\0' || lease_is_mine (lease))
    return lease->seen_ms;
  return lease->seen_ms + lease->seen.ttl_ms + lease->margin_ms;
}

static void
lease_proceed (struct beryl_lease *lease, int64_t now_ms)
{
  if (!lease->wanted)
    {
      lease->next_ms = BERYL_NEVER_MS;
      if (lease_is_mine (lease))
        lease_write (lease, true, now_ms);
      return;
    }
  if (lease->fence == 0
      && BERYL_GUARD (BERYL_GUARD_LEASE_WAIT, now_ms >= lease_free_ms (lease)))
    lease_write (lease, false, now_ms);
  else if (lease->fence == 0)
    {
      int64_t free_ms = lease_free_ms (lease);
      int64_t poll_ms = now_ms + lease->poll_ms;

      lease->next_ms = free_ms < poll_ms ? free_ms : poll_ms;
    }
}

void
beryl_lease_set_candidate (struct beryl_lease *lease, bool wanted,
                           int64_t now_ms)
{
  if (lease->wanted == wanted)
    return;
  lease->wanted = wanted;
  if (wanted)
    {
      lease->next_ms = now_ms;
      return;
    }
  if (lease->fence == 0)
    return;
  lease_lose (lease);
  if (lease->work == WORK_NONE)
    lease_write (lease, true, now_ms);
  else
    lease->next_ms = now_ms + lease->poll_ms / RETRY_DIVISOR;
}

/* Keeps the highest version: a lagging replica may show an old one, which
 * would restart or shorten the wait for the present holder. */
static void
lease_observe (struct beryl_lease *lease,
               const struct beryl_lease_record *record, int64_t now_ms)
{
  if (lease->seen_any
      && !BERYL_GUARD (BERYL_GUARD_LEASE_OLD_READ,
                       record->version > lease->seen.version))
    return;
  lease->seen = *record;
  lease->seen_any = true;
  lease->seen_ms = now_ms;
}

void
beryl_lease_read_done (struct beryl_lease *lease,
                       const struct beryl_lease_record *record, int64_t now_ms)
{
  const struct sent *s;

  lease->work = WORK_NONE;
  lease_observe (lease, record, now_ms);
  s = lease_find_sent (lease, lease->seen.nonce);
  /* A write whose reply was lost shows here: its nonce is the proof. */
  if (s != NULL && !s->release && lease->wanted)
    lease_gain (lease, lease->seen.version, s->sent_ms, now_ms);
  else if (s == NULL && lease->seen.version > lease->fence)
    lease_lose (lease);
  if (lease->fence == 0)
    lease_proceed (lease, now_ms);
  else if (lease->next_ms <= now_ms)
    lease_write (lease, false, now_ms);
}

static void
lease_retry (struct beryl_lease *lease, int64_t now_ms)
{
  lease->next_ms = now_ms + lease->poll_ms / RETRY_DIVISOR;
}

void
beryl_lease_read_failed (struct beryl_lease *lease, int64_t now_ms)
{
  lease->work = WORK_NONE;
  lease_retry (lease, now_ms);
}

static void
lease_written (struct beryl_lease *lease, uint64_t version, int64_t now_ms)
{
  const struct sent *s = lease_find_sent (lease, lease->nonce);
  struct beryl_lease_record record
      = { .version = version, .nonce = lease->nonce, .ttl_ms = lease->ttl_ms };

  if (!s->release)
    memcpy (record.holder, lease->holder, sizeof record.holder);
  lease_observe (lease, &record, now_ms);
  if (s->release)
    lease->next_ms = lease->wanted ? now_ms + lease->poll_ms : BERYL_NEVER_MS;
  else if (lease->wanted)
    lease_gain (lease, version, s->sent_ms, now_ms);
  else
    lease_write (lease, true, now_ms);
}

/* Somebody deleted the object.  Its holder does not know yet, so its name
 * and time stay, and the wait starts anew; only the version changes, as the
 * next write must create the object. */
static void
lease_vanished (struct beryl_lease *lease, int64_t now_ms)
{
  lease->seen.version = 0;
  lease->seen_ms = now_ms;
}

void
beryl_lease_write_done (struct beryl_lease *lease,
                        enum beryl_lease_write result, uint64_t version,
                        int64_t now_ms)
{
  lease->work = WORK_NONE;
  switch (result)
    {
    case BERYL_LEASE_WRITTEN:
      lease_written (lease, version, now_ms);
      return;
    case BERYL_LEASE_CONFLICT:
      if (version == 0)
        lease_vanished (lease, now_ms);
      lease_read (lease);
      return;
    case BERYL_LEASE_UNKNOWN:
      lease_read (lease);
      return;
    case BERYL_LEASE_FAILED:
      lease_retry (lease, now_ms);
      return;
    }
}

void
beryl_lease_tick (struct beryl_lease *lease, int64_t now_ms)
{
  if (lease->fence != 0
      && !BERYL_GUARD (BERYL_GUARD_LEASE_EARLY, now_ms < lease->held_until_ms))
    lease_lose (lease);
  if (now_ms < lease->next_ms || lease->work != WORK_NONE)
    return;
  lease->next_ms = now_ms + lease->poll_ms;
  if (!lease->wanted)
    {
      lease_proceed (lease, now_ms);
    }
  else if (lease->fence != 0)
    lease_write (lease, false, now_ms);
  else
    lease_read (lease);
}
