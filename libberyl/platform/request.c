#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private.h"

/** Return the result code of a waiter of F that expires now. */
static enum beryl_error_code
expiry_code (struct beryl_platform *p, const struct fetch *f)
{
  if (platform_fetch_is_read (f))
    return BERYL_ERROR_UNAVAILABLE;
  if (!f->maybe_applied && f->job.state != JOB_CALLING)
    return BERYL_ERROR_UNAVAILABLE;
  p->counts.unsettled++;
  return BERYL_ERROR_UNKNOWN;
}

/** Move the expired waiters of F to p->completed. */
static void
waiters_expire (struct beryl_platform *p, struct fetch *f, bool fail_fast,
                int64_t now_ms)
{
  struct waiter *w = LIST_FIRST (&f->waiters);
  bool refused = fail_fast && p->breaker.state != BREAKER_CLOSED
                 && f->job.state != JOB_CALLING;

  while (w)
    {
      struct waiter *next = LIST_NEXT (w, entry);

      if (w->deadline_ms <= now_ms || (refused && !w->wait_for_recovery))
        {
          w->code = expiry_code (p, f);
          LIST_REMOVE (w, entry);
          LIST_INSERT_HEAD (&p->completed, w, entry);
        }
      w = next;
    }
}

void
platform_fetches_expire (struct beryl_platform *p, bool fail_fast,
                         int64_t now_ms)
{
  struct fetch *f = LIST_FIRST (&p->fetches);
  struct waiter *w;

  while (f)
    {
      struct fetch *next = LIST_NEXT (f, entry);

      waiters_expire (p, f, fail_fast, now_ms);
      if (LIST_EMPTY (&f->waiters))
        platform_fetch_free (p, f);
      f = next;
    }
  while ((w = LIST_FIRST (&p->completed)))
    {
      struct beryl_platform_result result = { .code = w->code };

      LIST_REMOVE (w, entry);
      LIST_INSERT_HEAD (&p->delivering, w, entry);
      platform_deliver_results (p, &result);
    }
}

int64_t
platform_fetches_next_ms (const struct beryl_platform *p)
{
  int64_t next_ms = LIST_EMPTY (&p->completed) ? BERYL_NEVER_MS : 0;
  const struct fetch *f;
  const struct waiter *w;

  for (f = LIST_FIRST (&p->fetches); f; f = LIST_NEXT (f, entry))
    {
      bool refused
          = p->breaker.state != BREAKER_CLOSED && f->job.state != JOB_CALLING;

      for (w = LIST_FIRST (&f->waiters); w; w = LIST_NEXT (w, entry))
        {
          if (refused && !w->wait_for_recovery)
            return 0;
          if (w->deadline_ms < next_ms)
            next_ms = w->deadline_ms;
        }
    }
  return next_ms;
}

/** Find a pending read that a new request can join. */
static struct fetch *
fetch_find (struct beryl_platform *p, enum fetch_type type, const char *kind,
            const char *name)
{
  struct fetch *f;

  for (f = LIST_FIRST (&p->fetches); f; f = LIST_NEXT (f, entry))
    {
      if (f->type == type && !f->outdated && strcmp (f->kind, kind) == 0
          && strcmp (f->name, name) == 0)
        return f;
    }
  return NULL;
}

static struct waiter *
waiter_new (struct beryl_platform *p,
            const struct beryl_platform_options *options)
{
  struct waiter *w = calloc (1, sizeof *w);

  w->request = ++p->last_id;
  w->deadline_ms = options->deadline_ms;
  w->wait_for_recovery = options->wait_for_recovery;
  w->use = options->use;
  p->waiter_count++;
  return w;
}

/** Create a request that ends with CODE at the next tick. */
static uint64_t
completed_new (struct beryl_platform *p,
               const struct beryl_platform_options *options,
               enum beryl_error_code code)
{
  struct waiter *w = waiter_new (p, options);

  w->code = code;
  LIST_INSERT_HEAD (&p->completed, w, entry);
  return w->request;
}

/** Start a read or join an equal one that is pending. */
static uint64_t
read_start (struct beryl_platform *p,
            const struct beryl_platform_options *options, enum fetch_type type,
            const char *kind, const char *name, uint64_t min_version)
{
  struct fetch *f;
  struct waiter *w;

  if (p->waiter_count >= p->settings.queue_max)
    return completed_new (p, options, BERYL_ERROR_LIMIT);
  f = fetch_find (p, type, kind, name);
  if (f)
    p->counts.uses[options->use].joined++;
  else
    {
      f = platform_fetch_new (p, type, options->use, kind, name);
      platform_job_ready (p, &f->job);
    }
  w = waiter_new (p, options);
  w->min_version = min_version;
  LIST_INSERT_HEAD (&f->waiters, w, entry);
  return w->request;
}

uint64_t
beryl_platform_get (struct beryl_platform *p,
                    const struct beryl_platform_options *options,
                    const char *kind, const char *name, uint64_t min_version,
                    int64_t now_ms)
{
  if (!beryl_platform_name_valid (kind) || !beryl_platform_name_valid (name))
    return completed_new (p, options, BERYL_ERROR_INVALID);
  return read_start (p, options, FETCH_GET, kind, name, min_version);
}

uint64_t
beryl_platform_list (struct beryl_platform *p,
                     const struct beryl_platform_options *options,
                     const char *kind, const char *prefix, int64_t now_ms)
{
  if (!beryl_platform_name_valid (kind)
      || (prefix[0] != '\0' && !beryl_platform_name_valid (prefix)))
    return completed_new (p, options, BERYL_ERROR_INVALID);
  return read_start (p, options, FETCH_LIST, kind, prefix, 0);
}

/** Start the write F with one waiter. */
static uint64_t
write_start (struct beryl_platform *p,
             const struct beryl_platform_options *options, struct fetch *f)
{
  struct waiter *w = waiter_new (p, options);

  LIST_INSERT_HEAD (&f->waiters, w, entry);
  platform_job_ready (p, &f->job);
  return w->request;
}

uint64_t
beryl_platform_put (struct beryl_platform *p,
                    const struct beryl_platform_options *options,
                    const struct beryl_platform_write *write, int64_t now_ms)
{
  struct fetch *f;

  if (!beryl_platform_name_valid (write->kind)
      || !beryl_platform_name_valid (write->name)
      || (write->nonce && strlen (write->nonce) >= BERYL_NONCE_BYTES))
    return completed_new (p, options, BERYL_ERROR_INVALID);
  if (p->waiter_count >= p->settings.queue_max)
    return completed_new (p, options, BERYL_ERROR_LIMIT);
  f = platform_fetch_new (p, FETCH_PUT, options->use, write->kind,
                          write->name);
  f->condition = write->condition;
  snprintf (f->version, sizeof f->version, "%" PRIu64, write->version);
  f->value = malloc (write->value_bytes + 1);
  memcpy (f->value, write->value, write->value_bytes);
  f->value[write->value_bytes] = '\0';
  f->value_bytes = write->value_bytes;
  if (write->nonce)
    memcpy (f->nonce, write->nonce, strlen (write->nonce) + 1);
  return write_start (p, options, f);
}

uint64_t
beryl_platform_delete (struct beryl_platform *p,
                       const struct beryl_platform_options *options,
                       const char *kind, const char *name, uint64_t version,
                       int64_t now_ms)
{
  struct fetch *f;

  if (!beryl_platform_name_valid (kind) || !beryl_platform_name_valid (name))
    return completed_new (p, options, BERYL_ERROR_INVALID);
  if (p->waiter_count >= p->settings.queue_max)
    return completed_new (p, options, BERYL_ERROR_LIMIT);
  f = platform_fetch_new (p, FETCH_DELETE, options->use, kind, name);
  f->condition = version ? BERYL_IF_VERSION : BERYL_IF_ANY;
  snprintf (f->version, sizeof f->version, "%" PRIu64, version);
  return write_start (p, options, f);
}

/** Remove REQUEST from LIST; return false if it is not in it. */
static bool
waiter_remove (struct beryl_platform *p, struct waiter_list *list,
               uint64_t request)
{
  struct waiter *w;

  for (w = LIST_FIRST (list); w; w = LIST_NEXT (w, entry))
    {
      if (w->request != request)
        continue;
      LIST_REMOVE (w, entry);
      p->waiter_count--;
      free (w);
      return true;
    }
  return false;
}

void
beryl_platform_cancel (struct beryl_platform *p, uint64_t request)
{
  struct fetch *f;

  if (waiter_remove (p, &p->completed, request)
      || waiter_remove (p, &p->delivering, request))
    return;
  for (f = LIST_FIRST (&p->fetches); f; f = LIST_NEXT (f, entry))
    {
      if (!waiter_remove (p, &f->waiters, request))
        continue;
      if (LIST_EMPTY (&f->waiters))
        platform_fetch_free (p, f);
      return;
    }
}
