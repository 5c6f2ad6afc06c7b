#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/revision.h"
#include "private.h"

bool
platform_fetch_is_read (const struct fetch *f)
{
  return f->type == FETCH_GET || f->type == FETCH_LIST;
}

void
platform_fetch_free (struct beryl_platform *p, struct fetch *f)
{
  struct waiter *w;

  platform_job_stop (p, &f->job);
  LIST_REMOVE (f, entry);
  while ((w = LIST_FIRST (&f->waiters)))
    {
      LIST_REMOVE (w, entry);
      p->waiter_count--;
      free (w);
    }
  platform_listing_clear (&f->listing);
  free (f->value);
  free (f);
}

void
platform_deliver_results (struct beryl_platform *p,
                          const struct beryl_platform_result *template)
{
  struct waiter *w;

  while ((w = LIST_FIRST (&p->delivering)))
    {
      struct beryl_platform_result result = *template;

      LIST_REMOVE (w, entry);
      p->waiter_count--;
      result.request = w->request;
      if (result.code == BERYL_ERROR_UNAVAILABLE
          || result.code == BERYL_ERROR_UNKNOWN)
        p->counts.uses[w->use].failed++;
      free (w);
      p->handler->impl->result (p->handler, &result);
    }
}

/** Move the waiters of F that are satisfied with VERSION to p->delivering. */
static void
waiters_take_satisfied (struct beryl_platform *p, struct fetch *f,
                        uint64_t version)
{
  struct waiter *w = LIST_FIRST (&f->waiters);

  while (w)
    {
      struct waiter *next = LIST_NEXT (w, entry);

      if (w->min_version <= version)
        {
          LIST_REMOVE (w, entry);
          LIST_INSERT_HEAD (&p->delivering, w, entry);
        }
      w = next;
    }
}

/** Mark pending reads of the same kind as outdated: their answers may be older
 * than the effect of WRITE. */
static void
reads_mark_outdated (struct beryl_platform *p, const struct fetch *write)
{
  struct fetch *f;

  for (f = LIST_FIRST (&p->fetches); f; f = LIST_NEXT (f, entry))
    {
      if (platform_fetch_is_read (f) && strcmp (f->kind, write->kind) == 0)
        f->outdated = true;
    }
}

/** End F and deliver the result to all its waiters. */
static void
fetch_end (struct beryl_platform *p, struct fetch *f,
           enum beryl_error_code code, uint64_t version)
{
  struct beryl_platform_result result = { .code = code, .version = version };
  struct listing listing = f->listing;

  f->listing = (struct listing){ 0 };
  result.overwritten = code == BERYL_ERROR_CONFLICT && f->maybe_applied;
  if (!platform_fetch_is_read (f))
    reads_mark_outdated (p, f);
  if (code == BERYL_OK && platform_fetch_is_read (f))
    {
      result.objects = listing.objects;
      result.object_count = listing.count;
    }
  waiters_take_satisfied (p, f, UINT64_MAX);
  platform_fetch_free (p, f);
  platform_deliver_results (p, &result);
  platform_listing_clear (&listing);
}

/** Repeat a read after a backoff. */
static void
fetch_retry (struct beryl_platform *p, struct fetch *f, int64_t now_ms)
{
  platform_listing_clear (&f->listing);
  f->outdated = false;
  platform_job_back_off (p, &f->job, now_ms);
}

/** Count a write whose outcome is known although an answer was lost. */
static void
count_settled (struct beryl_platform *p, const struct fetch *f)
{
  if (f->maybe_applied)
    p->counts.settled++;
}

void
platform_fetch_restart (struct fetch *f)
{
  if (f->listing.after[0] == '\0')
    return;
  platform_listing_clear (&f->listing);
  f->restart = f->job.state == JOB_CALLING;
}

static void
get_answered (struct beryl_platform *p, struct fetch *f, unsigned int status,
              const json_t *json, int64_t now_ms)
{
  struct beryl_object object;
  struct beryl_platform_result result = { .code = BERYL_OK };

  if (status == 404)
    {
      result.code = BERYL_ERROR_NOT_FOUND;
      waiters_take_satisfied (p, f, 0);
      object = (struct beryl_object){ 0 };
    }
  else if (status == 200 && platform_object_read (json, f->kind, &object)
           && object.value && strcmp (object.name, f->name) == 0)
    {
      result.version = object.version;
      result.objects = &object;
      result.object_count = 1;
      waiters_take_satisfied (p, f, object.version);
    }
  else
    {
      if (status == 200)
        platform_object_clear (&object);
      p->counts.malformed++;
      fetch_retry (p, f, now_ms);
      return;
    }
  /* The remaining waiters need a newer version than this replica has. */
  if (LIST_EMPTY (&f->waiters))
    platform_fetch_free (p, f);
  else
    {
      p->counts.stale++;
      fetch_retry (p, f, now_ms);
    }
  platform_deliver_results (p, &result);
  platform_object_clear (&object);
}

static void
list_answered (struct beryl_platform *p, struct fetch *f, unsigned int status,
               const json_t *json, int64_t now_ms)
{
  if (f->restart)
    {
      f->restart = false;
      platform_job_ready (p, &f->job);
    }
  else if (status != 200 || !platform_listing_add (&f->listing, json, f->kind))
    {
      p->counts.malformed++;
      fetch_retry (p, f, now_ms);
    }
  else if (f->listing.more)
    platform_job_ready (p, &f->job);
  else
    fetch_end (p, f, BERYL_OK, f->listing.revision);
}

/** Handle the read that follows a conflict of a repeated write: the nonce of
 * the current value shows whether this write made it. */
static void
read_back_answered (struct beryl_platform *p, struct fetch *f,
                    unsigned int status, const json_t *json, int64_t now_ms)
{
  struct beryl_object object = { 0 };
  uint64_t version;
  bool ours;

  if (status == 404 && f->condition_outdated)
    {
      count_settled (p, f);
      fetch_end (p, f,
                 f->type == FETCH_DELETE ? BERYL_OK : BERYL_ERROR_CONFLICT, 0);
      return;
    }
  if (status != 200 || !platform_object_read (json, f->kind, &object)
      || object.version < f->conflict_version)
    {
      /* An absent or older object comes from a lagging replica.  The write
         conflicted with conflict_version, so only that version or a later
         one is conclusive. */
      platform_object_clear (&object);
      p->counts.stale++;
      platform_job_back_off (p, &f->job, now_ms);
      return;
    }
  ours = platform_value_has_nonce (&object, f->nonce);
  version = object.version;
  platform_object_clear (&object);
  count_settled (p, f);
  fetch_end (p, f, ours ? BERYL_OK : BERYL_ERROR_CONFLICT, version);
}

/** Handle a write whose condition did not hold. */
static void
write_conflicted (struct beryl_platform *p, struct fetch *f,
                  const json_t *json)
{
  uint64_t current = 0;

  platform_number_read (json, "version", &current);
  /* After a lost answer the conflict may be with this write itself: the first
     attempt took effect, and the repetition conflicts with its version.
     Reading back the nonce decides; without it a write that succeeded would
     be reported as a conflict. */
  if (f->maybe_applied && f->type == FETCH_PUT && current != 0)
    {
      f->reading_back = true;
      f->conflict_version = current;
      f->job.rate_class = RATE_READS;
      platform_job_ready (p, &f->job);
      return;
    }
  count_settled (p, f);
  fetch_end (p, f, BERYL_ERROR_CONFLICT, current);
}

static void
write_answered (struct beryl_platform *p, struct fetch *f, unsigned int status,
                const json_t *json, int64_t now_ms)
{
  uint64_t version = 0;

  if (status == 412)
    {
      write_conflicted (p, f, json);
      return;
    }
  if (status == 404 && f->type == FETCH_DELETE)
    {
      count_settled (p, f);
      fetch_end (p, f, BERYL_OK, 0);
      return;
    }
  if (status == 200 && platform_number_read (json, "version", &version))
    {
      count_settled (p, f);
      fetch_end (p, f, BERYL_OK, version);
      return;
    }
  if (status >= 400)
    {
      fetch_end (p, f, status == 413 ? BERYL_ERROR_LIMIT : BERYL_ERROR_INVALID,
                 0);
      return;
    }
  p->counts.malformed++;
  f->job.impl->failed (p, &f->job, false, now_ms);
}

static void
fetch_answered (struct beryl_platform *p, struct job *job, unsigned int status,
                const json_t *json, int64_t now_ms)
{
  struct fetch *f = (struct fetch *)job;

  job->failures = 0;
  if (f->reading_back)
    read_back_answered (p, f, status, json, now_ms);
  else if (f->type == FETCH_GET)
    get_answered (p, f, status, json, now_ms);
  else if (f->type == FETCH_LIST)
    list_answered (p, f, status, json, now_ms);
  else
    write_answered (p, f, status, json, now_ms);
}

/** Return whether a write may be repeated after its answer was lost: its
 * condition must prevent a second effect, and a conflict with itself must be
 * distinguishable from one with another write. */
static bool
fetch_can_settle (const struct fetch *f)
{
  if (f->type == FETCH_DELETE)
    return f->condition == BERYL_IF_VERSION;
  return f->condition != BERYL_IF_ANY && f->nonce[0] != '\0';
}

static void
fetch_failed (struct beryl_platform *p, struct job *job, bool no_effect,
              int64_t now_ms)
{
  struct fetch *f = (struct fetch *)job;

  if (platform_fetch_is_read (f) || f->reading_back)
    {
      /* A list continues with the page that failed. */
      platform_job_back_off (p, job, now_ms);
      return;
    }
  if (!no_effect)
    {
      f->maybe_applied = true;
      if (!fetch_can_settle (f))
        {
          p->counts.unsettled++;
          fetch_end (p, f, BERYL_ERROR_UNKNOWN, 0);
          return;
        }
    }
  platform_job_back_off (p, job, now_ms);
}

/** Return whether F's condition is on a version of an earlier era.  The number
 * may belong to another write by now, so it must not be sent. */
static bool
condition_is_outdated (const struct beryl_platform *p, const struct fetch *f)
{
  uint64_t version = strtoull (f->version, NULL, 10);

  return f->condition == BERYL_IF_VERSION
         && beryl_revision_era (version) != p->era;
}

static void
fetch_call (struct beryl_platform *p, struct job *job,
            struct beryl_platform_call *call, char path[PATH_BYTES],
            int64_t now_ms)
{
  struct fetch *f = (struct fetch *)job;

  call->path = path;
  call->method = "GET";
  call->kind = f->kind;
  call->name = f->name;
  call->after = f->listing.after;
  call->condition = f->condition;
  call->version = strtoull (f->version, NULL, 10);
  call->op = BERYL_OP_GET;
  if (f->type == FETCH_LIST)
    {
      call->op = BERYL_OP_LIST;
      snprintf (path, PATH_BYTES, "/v1/objects/%s?prefix=%s&after=%s", f->kind,
                f->name, f->listing.after);
      return;
    }
  snprintf (path, PATH_BYTES, "/v1/objects/%s/%s", f->kind, f->name);
  if (condition_is_outdated (p, f))
    {
      f->condition_outdated = true;
      f->reading_back = true;
      f->conflict_version = 0;
    }
  if (platform_fetch_is_read (f) || f->reading_back)
    return;
  call->op = f->type == FETCH_PUT ? BERYL_OP_PUT : BERYL_OP_DELETE;
  call->method = f->type == FETCH_PUT ? "PUT" : "DELETE";
  call->if_none_match = f->condition == BERYL_IF_ABSENT;
  call->if_match = f->condition == BERYL_IF_VERSION ? f->version : NULL;
  call->body = f->value;
  call->body_bytes = f->value_bytes;
}

static const struct job_impl fetch_impl
    = { fetch_call, fetch_answered, fetch_failed };

struct fetch *
platform_fetch_new (struct beryl_platform *p, enum fetch_type type,
                    enum beryl_platform_use use, const char *kind,
                    const char *name)
{
  struct fetch *f = calloc (1, sizeof *f);

  f->job.impl = &fetch_impl;
  f->job.use = use;
  f->type = type;
  f->job.rate_class = platform_fetch_is_read (f) ? RATE_READS : RATE_WRITES;
  memcpy (f->kind, kind, strlen (kind) + 1);
  memcpy (f->name, name, strlen (name) + 1);
  LIST_INIT (&f->waiters);
  LIST_INSERT_HEAD (&p->fetches, f, entry);
  return f;
}
