#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/revision.h"
#include "private.h"

/* Longest answer with events that is read.  Many versions of a large object
 * could take more memory than the process may use; its list has only one. */
#define EVENTS_MAX_BYTES ((size_t)2 << 20)
/* How many of the next events are compared by is_overwritten. */
#define OVERWRITTEN_BY_NEXT 32
/* After a new era began, objects that are missing are kept for this long, and
 * those that had been deleted stay so.  Writers that are alive repeat what was
 * lost within two seconds; the platform itself removes the entries of the
 * others after three heartbeats, or some four seconds. */
#define KEEP_MISSING_MS 2500
#define KEEP_DELETED_MS 5000
/* Longest poll meanwhile. */
#define UNTRUSTED_POLL_MS 500

void
platform_watch_free (struct beryl_platform *p, struct watch *w)
{
  platform_job_stop (p, &w->job);
  LIST_REMOVE (w, entry);
  platform_listing_clear (&w->listing);
  free (w->known);
  free (w);
}

/** Find NAME among the known objects; otherwise set POSITION to where it would
 * be inserted and return false. */
static bool
known_find (const struct watch *w, const char *name, size_t *position)
{
  size_t low = 0, high = w->known_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      int order = strcmp (w->known[middle].name, name);

      if (order == 0)
        {
          *position = middle;
          return true;
        }
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  *position = low;
  return false;
}

static struct known_object *
known_insert (struct watch *w, size_t position, const char *name)
{
  struct known_object *k;

  if (w->known_count == w->known_capacity)
    {
      w->known_capacity = w->known_capacity ? 2 * w->known_capacity : 16;
      w->known = realloc (w->known, w->known_capacity * sizeof *w->known);
    }
  k = &w->known[position];
  memmove (k + 1, k, (w->known_count - position) * sizeof *k);
  w->known_count++;
  *k = (struct known_object){ 0 };
  memcpy (k->name, name, strlen (name) + 1);
  return k;
}

static void
known_remove (struct watch *w, size_t position)
{
  memmove (&w->known[position], &w->known[position + 1],
           (w->known_count - position - 1) * sizeof *w->known);
  w->known_count--;
}

/** Emit one event; the callback may remove W. */
static void
emit_event (struct beryl_platform *p, struct watch *w, bool deleted,
            const struct beryl_object *object)
{
  struct beryl_platform_event event
      = { .watch = w->id, .deleted = deleted, .object = *object };

  if (!w->removed)
    p->handler->impl->event (p->handler, &event);
}

static struct removed_object *
removed_find (struct watch *w, const char *name)
{
  for (size_t i = 0; i < REMOVED_MAX; i++)
    if (strcmp (w->removed_objects[i].name, name) == 0)
      return &w->removed_objects[i];
  return NULL;
}

static void
removed_record (struct watch *w, const char *name, uint64_t version)
{
  struct removed_object *r = removed_find (w, name);

  if (!r)
    r = &w->removed_objects[w->removed_next++ % REMOVED_MAX];
  *r = (struct removed_object){ .deleted = version };
  memcpy (r->name, name, strlen (name) + 1);
}

/** Return whether OBJECT, which is not known, was deleted in an earlier era
 * and is in a list only because the list is of an older copy. */
static bool
stays_removed (struct watch *w, const struct beryl_object *object)
{
  struct removed_object *r = removed_find (w, object->name);

  if (!r)
    return false;
  if (w->hides_deleted
      && beryl_revision_era (r->deleted) < beryl_revision_era (object->version)
      && (r->copied == 0 || r->copied == object->version))
    {
      r->copied = object->version;
      return true;
    }
  r->name[0] = '\0';
  return false;
}

/** Apply an object unless this version or a newer one is already known. */
static void
apply_put (struct beryl_platform *p, struct watch *w,
           const struct beryl_object *object)
{
  size_t position;
  struct known_object *k;

  if (known_find (w, object->name, &position))
    k = &w->known[position];
  else if (stays_removed (w, object))
    return;
  else
    k = known_insert (w, position, object->name);
  k->listed = true;
  if (object->version <= k->version)
    return;
  k->version = object->version;
  emit_event (p, w, false, object);
}

static void
apply_delete (struct beryl_platform *p, struct watch *w,
              const struct beryl_object *object)
{
  size_t position;

  if (!known_find (w, object->name, &position)
      || object->version <= w->known[position].version)
    return;
  known_remove (w, position);
  removed_record (w, object->name, object->version);
  emit_event (p, w, true, object);
}

/** Emit a deletion for every known object that is missing from a full list. */
static void
apply_missing (struct beryl_platform *p, struct watch *w)
{
  for (size_t i = 0; i < w->known_count;)
    {
      struct known_object k = w->known[i];
      struct beryl_object object = { .kind = w->kind,
                                     .name = k.name,
                                     .version = w->listing.revision };

      if (k.listed)
        {
          i++;
          continue;
        }
      known_remove (w, i);
      removed_record (w, k.name, w->listing.revision);
      emit_event (p, w, true, &object);
    }
}

/** Apply a full list; objects that it lacks are deleted unless KEEP_MISSING.
 */
static void
apply_listing (struct beryl_platform *p, struct watch *w, bool keep_missing)
{
  for (size_t i = 0; i < w->known_count; i++)
    w->known[i].listed = false;
  for (size_t i = 0; i < w->listing.count; i++)
    apply_put (p, w, &w->listing.objects[i]);
  if (!keep_missing)
    apply_missing (p, w);
}

static void
emit_synced (struct beryl_platform *p, struct watch *w)
{
  if (!w->removed)
    p->handler->impl->synced (p->handler, w->id, w->revision);
}

/** Discard an answer from a lagging replica, which would revert changes that
 * were already seen, and poll again unless the watch is paused. */
static void
answer_stale (struct beryl_platform *p, struct watch *w, int64_t now_ms)
{
  /* Changes that are newer than the answer were received through
   * beryl_platform_watch_apply; a paused watch need not poll again. */
  if (w->paused && !w->list_due && w->relist_ms == 0)
    return;
  p->counts.stale++;
  platform_listing_clear (&w->listing);
  platform_job_back_off (p, &w->job, now_ms);
}

/** Handle an answer that is malformed or has a status other than 200: discard
 * it and, unless it is the instance list, list all objects again. */
static void
answer_unusable (struct beryl_platform *p, struct watch *w, int64_t now_ms)
{
  p->counts.malformed++;
  platform_listing_clear (&w->listing);
  w->list_due = !w->instances;
  platform_job_back_off (p, &w->job, now_ms);
}

static void
watch_again (struct beryl_platform *p, struct watch *w, int64_t now_ms)
{
  w->job.failures = 0;
  if (w->relist_ms != 0 && now_ms >= w->relist_ms)
    w->list_due = true;
  if (w->paused && w->relist_ms != 0)
    platform_job_sleep (p, &w->job, w->relist_ms);
  else if (w->paused)
    return;
  else
    platform_job_sleep (p, &w->job, now_ms + p->settings.watch_spacing_ms);
}

/** Return whether an object is taken for deleted though it is listed. */
static bool
hides_objects (const struct watch *w)
{
  for (size_t i = 0; i < REMOVED_MAX; i++)
    if (w->removed_objects[i].name[0] != '\0'
        && w->removed_objects[i].copied != 0)
      return true;
  return false;
}

/** After the list that was due at relist_ms, trust the next ones, or schedule
 * one for when deleted objects are no longer hidden. */
static void
relist_done (struct watch *w, int64_t now_ms)
{
  if (w->relist_ms == 0 || now_ms < w->relist_ms)
    return;
  if (w->hidden_until_ms > now_ms && hides_objects (w))
    w->relist_ms = w->hidden_until_ms;
  else
    w->relist_ms = 0;
}

static void
list_answered (struct beryl_platform *p, struct watch *w, const json_t *json,
               int64_t now_ms)
{
  if (!platform_listing_add (&w->listing, json, w->kind))
    {
      answer_unusable (p, w, now_ms);
      return;
    }
  if (w->listing.more)
    {
      platform_job_ready (p, &w->job);
      return;
    }
  if (w->listing.revision < w->revision)
    {
      answer_stale (p, w, now_ms);
      return;
    }
  w->hides_deleted = now_ms < w->hidden_until_ms;
  apply_listing (p, w, now_ms < w->relist_ms);
  w->hides_deleted = false;
  w->revision = w->listing.revision;
  w->changed_ms = now_ms;
  w->list_due = false;
  relist_done (w, now_ms);
  platform_listing_clear (&w->listing);
  emit_synced (p, w);
  watch_again (p, w, now_ms);
}

/** Apply one event; return false if it is malformed. */
static bool
event_apply (struct beryl_platform *p, struct watch *w, const json_t *json)
{
  const char *type = json_string_value (json_object_get (json, "type"));
  struct beryl_object object;
  bool ok = platform_object_read (json, w->kind, &object);

  if (ok && type && strcmp (type, "delete") == 0)
    apply_delete (p, w, &object);
  else if (ok && type && strcmp (type, "put") == 0 && object.value)
    apply_put (p, w, &object);
  else
    ok = false;
  platform_object_clear (&object);
  return ok;
}

static const char *
event_member (const json_t *event, const char *key)
{
  const char *text = json_string_value (json_object_get (event, key));

  return text != NULL ? text : "";
}

/** Return whether event I is a write that one of the next few overwrites.  A
 * deletion between them is still reported, and so is the write before it. */
static bool
is_overwritten (const json_t *events, size_t i)
{
  const json_t *event = json_array_get (events, i);
  const char *name = event_member (event, "name");
  size_t end = i + 1 + OVERWRITTEN_BY_NEXT;

  if (end > json_array_size (events))
    end = json_array_size (events);
  if (strcmp (event_member (event, "type"), "put") != 0)
    return false;
  for (i++; i < end; i++)
    {
      const json_t *next = json_array_get (events, i);

      if (strcmp (event_member (next, "name"), name) == 0)
        return strcmp (event_member (next, "type"), "put") == 0;
    }
  return false;
}

static void
events_answered (struct beryl_platform *p, struct watch *w, const json_t *json,
                 int64_t now_ms)
{
  const json_t *events = json_object_get (json, "events");
  uint64_t revision;
  size_t i;
  json_t *event;

  if (!json_is_array (events)
      || !platform_number_read (json, "revision", &revision))
    {
      answer_unusable (p, w, now_ms);
      return;
    }
  if (revision < w->revision)
    {
      answer_stale (p, w, now_ms);
      return;
    }
  json_array_foreach ((json_t *)events, i, event)
  {
    if (is_overwritten (events, i) || event_apply (p, w, event))
      continue;
    answer_unusable (p, w, now_ms);
    return;
  }
  w->revision = revision;
  if (json_array_size (events) > 0)
    w->changed_ms = now_ms;
  emit_synced (p, w);
  watch_again (p, w, now_ms);
}

/** Read the well-formed entries, skipping malformed ones. */
static struct beryl_instance *
instances_read (struct beryl_platform *p, const json_t *items, size_t *count)
{
  struct beryl_instance *list
      = calloc (json_array_size (items) + 1, sizeof *list);
  size_t i;
  json_t *item;

  *count = 0;
  json_array_foreach ((json_t *)items, i, item)
  {
    if (platform_instance_read (item, &list[*count]))
      (*count)++;
    else
      p->counts.malformed++;
  }
  return list;
}

static void
instances_answered (struct beryl_platform *p, struct watch *w,
                    const json_t *json, int64_t now_ms)
{
  const json_t *items = json_object_get (json, "items");
  struct beryl_instance *list;
  uint64_t revision;
  size_t count;

  if (!json_is_array (items)
      || !platform_number_read (json, "revision", &revision))
    {
      answer_unusable (p, w, now_ms);
      return;
    }
  if (revision < w->revision)
    {
      answer_stale (p, w, now_ms);
      return;
    }
  if (revision > w->revision || w->list_due)
    {
      w->list_due = false;
      w->revision = revision;
      w->changed_ms = now_ms;
      list = instances_read (p, items, &count);
      p->handler->impl->instances (p->handler, w->id, revision, list, count);
      free (list);
    }
  /* Also if the list is unchanged, as its users must know its age. */
  emit_synced (p, w);
  watch_again (p, w, now_ms);
}

static void
watch_answered (struct beryl_platform *p, struct job *job, unsigned int status,
                const json_t *json, int64_t now_ms)
{
  struct watch *w = (struct watch *)job;

  if (w->outdated)
    {
      w->outdated = false;
      platform_job_ready (p, job);
      return;
    }
  if (status == 410 && !w->instances)
    {
      /* The events since the watch's revision are no longer available; only a
         full list shows which objects were deleted. */
      p->counts.relisted++;
      w->list_due = true;
      platform_listing_clear (&w->listing);
      platform_job_ready (p, job);
      return;
    }
  w->in_callback = true;
  if (status != 200)
    answer_unusable (p, w, now_ms);
  else if (w->instances)
    instances_answered (p, w, json, now_ms);
  else if (w->list_due)
    list_answered (p, w, json, now_ms);
  else
    events_answered (p, w, json, now_ms);
  w->in_callback = false;
  if (w->removed)
    platform_watch_free (p, w);
}

static void
watch_failed (struct beryl_platform *p, struct job *job, bool no_effect,
              int64_t now_ms)
{
  ((struct watch *)job)->outdated = false;
  platform_job_back_off (p, job, now_ms);
}

void
platform_watch_restart (struct beryl_platform *p, struct watch *w,
                        uint64_t call, int64_t now_ms)
{
  /* The first page of the first list is of any era. */
  if (w->instances || (w->revision == 0 && w->listing.after[0] == '\0'))
    return;
  platform_listing_clear (&w->listing);
  w->list_due = true;
  w->relist_ms = now_ms + KEEP_MISSING_MS;
  w->hidden_until_ms = now_ms + KEEP_DELETED_MS;
  for (size_t i = 0; i < REMOVED_MAX; i++)
    w->removed_objects[i].copied = 0;
  if (w->job.state == JOB_CALLING && w->job.call == call)
    {
      w->outdated = true;
      return;
    }
  platform_job_stop (p, &w->job);
  w->job.failures = 0;
  platform_job_ready (p, &w->job);
}

/** Return the long-poll time of a call that is made now.  Calls end at fixed
 * times after the last change, which all nodes hear of together: whenever a
 * node learns its place among them, and whatever calls it makes in between,
 * its later ones end there. */
static int64_t
scheduled_wait_ms (const struct beryl_platform_settings *s,
                   const struct watch *w, int64_t now_ms)
{
  int64_t period_ms = s->watch_wait_ms + s->watch_spacing_ms;
  int64_t since_ms = now_ms - w->changed_ms - s->first_wait_ms;
  int64_t left_ms
      = since_ms < 0 ? -since_ms : period_ms - since_ms % period_ms;

  return left_ms < s->watch_wait_ms ? left_ms : s->watch_wait_ms;
}

static void
watch_call (struct beryl_platform *p, struct job *job,
            struct beryl_platform_call *call, char path[PATH_BYTES],
            int64_t now_ms)
{
  struct watch *w = (struct watch *)job;
  /* Breaker probes, the first call and the first call after a failure must be
     answered at once, to show that the platform is available again. */
  bool at_once = p->breaker.state == BREAKER_HALF_OPEN || w->list_due
                 || job->failures > 0 || w->refresh_due;
  int64_t configured_ms = w->wait_ms != 0
                              ? w->wait_ms
                              : scheduled_wait_ms (&p->settings, w, now_ms);
  int64_t wait_ms = at_once ? 0 : configured_ms;

  if (w->relist_ms != 0 && wait_ms > UNTRUSTED_POLL_MS)
    wait_ms = UNTRUSTED_POLL_MS;

  w->refresh_due = false;
  call->method = "GET";
  call->path = path;
  call->kind = w->kind;
  call->name = "";
  call->after = w->listing.after;
  call->revision = w->revision;
  call->wait_ms = wait_ms;
  call->op = w->instances  ? BERYL_OP_INSTANCES
             : w->list_due ? BERYL_OP_LIST
                           : BERYL_OP_WATCH;
  if (w->instances)
    snprintf (path, PATH_BYTES,
              "/v1/instances?after=%" PRIu64 "&wait_ms=%" PRId64, w->revision,
              wait_ms);
  else if (w->list_due)
    snprintf (path, PATH_BYTES, "/v1/objects/%s?prefix=&after=%s", w->kind,
              w->listing.after);
  else
    snprintf (path, PATH_BYTES,
              "/v1/watch/%s?after=%" PRIu64 "&wait_ms=%" PRId64, w->kind,
              w->revision, wait_ms);
  call->timeout_ms = wait_ms + p->settings.call_timeout_ms;
  if (call->op == BERYL_OP_WATCH)
    call->answer_max_bytes = EVENTS_MAX_BYTES;
}

static const struct job_impl watch_impl
    = { watch_call, watch_answered, watch_failed };

static struct watch *
watch_new (struct beryl_platform *p, enum beryl_platform_use use)
{
  struct watch *w = calloc (1, sizeof *w);

  w->job.impl = &watch_impl;
  w->job.use = use;
  w->job.is_watch = true;
  w->id = ++p->last_id;
  w->list_due = true;
  LIST_INSERT_HEAD (&p->watches, w, entry);
  return w;
}

uint64_t
beryl_platform_watch (struct beryl_platform *p, enum beryl_platform_use use,
                      const char *kind, int64_t now_ms)
{
  struct watch *w;

  if (!beryl_platform_name_valid (kind))
    return 0;
  w = watch_new (p, use);
  memcpy (w->kind, kind, strlen (kind) + 1);
  platform_job_ready (p, &w->job);
  return w->id;
}

uint64_t
beryl_platform_watch_instances (struct beryl_platform *p, int64_t now_ms)
{
  struct watch *w = watch_new (p, BERYL_USE_INSTANCES);

  w->instances = true;
  platform_job_ready (p, &w->job);
  return w->id;
}

static struct watch *
watch_find (struct beryl_platform *p, uint64_t id)
{
  struct watch *w;

  for (w = LIST_FIRST (&p->watches); w; w = LIST_NEXT (w, entry))
    {
      if (w->id == id)
        return w;
    }
  return NULL;
}

static bool
is_receiving (const struct watch *w)
{
  return w->job.state == JOB_CALLING && w->job.answer_started;
}

void
beryl_platform_watch_refresh (struct beryl_platform *p, uint64_t id)
{
  struct watch *w = watch_find (p, id);

  /* A listing is pending and will show the current state. */
  if (!w || w->in_callback || w->list_due)
    return;
  /* The connection is alive.  If its answer were aborted, a large one on a
     slow link would never be received completely. */
  if (is_receiving (w))
    return;
  w->refresh_due = true;
  if (w->job.state == JOB_READY)
    return;
  platform_job_stop (p, &w->job);
  platform_job_ready (p, &w->job);
}

bool
beryl_platform_watch_apply (struct beryl_platform *p, uint64_t id,
                            uint64_t after, uint64_t revision,
                            const struct beryl_platform_event *events,
                            size_t count)
{
  struct watch *w = watch_find (p, id);
  uint64_t seen;

  if (!w || w->in_callback || w->list_due || after > w->revision)
    return false;
  seen = w->revision;
  w->in_callback = true;
  /* Skip changes that were already seen; later ones may have superseded them.
   */
  for (size_t i = 0; i < count; i++)
    if (events[i].object.version <= seen)
      continue;
    else if (events[i].deleted)
      apply_delete (p, w, &events[i].object);
    else
      apply_put (p, w, &events[i].object);
  if (revision > w->revision)
    w->revision = revision;
  emit_synced (p, w);
  w->in_callback = false;
  if (w->removed)
    platform_watch_free (p, w);
  return true;
}

void
beryl_platform_watch_pause (struct beryl_platform *p, uint64_t id, bool paused)
{
  struct watch *w = watch_find (p, id);

  if (!w || w->paused == paused)
    return;
  w->paused = paused;
  if (!paused)
    beryl_platform_watch_refresh (p, id);
  else if (w->job.state == JOB_SLEEPING && !w->list_due && w->relist_ms == 0)
    platform_job_stop (p, &w->job);
}

void
beryl_platform_watch_set_wait (struct beryl_platform *p, uint64_t id,
                               int64_t wait_ms)
{
  struct watch *w = watch_find (p, id);

  if (w)
    w->wait_ms = wait_ms;
}

bool
beryl_platform_watch_is_receiving (struct beryl_platform *p, uint64_t id)
{
  const struct watch *w = watch_find (p, id);

  return w && is_receiving (w);
}

void
beryl_platform_set_watch_waits (struct beryl_platform *p, int64_t first_ms,
                                int64_t wait_ms)
{
  p->settings.first_wait_ms = first_ms;
  p->settings.watch_wait_ms = wait_ms;
}

void
beryl_platform_set_backoff_max (struct beryl_platform *p,
                                int64_t backoff_max_ms)
{
  p->settings.backoff_max_ms = backoff_max_ms;
}

void
beryl_platform_unwatch (struct beryl_platform *p, uint64_t watch)
{
  struct watch *w;

  for (w = LIST_FIRST (&p->watches); w; w = LIST_NEXT (w, entry))
    {
      if (w->id != watch)
        continue;
      if (w->in_callback)
        w->removed = true;
      else
        platform_watch_free (p, w);
      return;
    }
}
