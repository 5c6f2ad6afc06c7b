#include "common/stored_lease.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#include "common/ticker.h"

/* Stands for whoever wrote a record that cannot be read. */
#define UNREADABLE_HOLDER "(unreadable)"
/* No lease here is longer; a record that says so is another writer's. */
#define TTL_MAX_MS 60000

struct stored_lease
{
  struct beryl_lease_owner base;
  struct stored_lease_owner *owner;
  struct loop *loop;
  struct platform_client *client;
  char kind[BERYL_NAME_BYTES];
  int64_t ttl_ms;
  struct beryl_lease *lease;
  struct ticker *ticker;
  uint64_t request; /* of the read or write under way */
};

static int64_t
now_ms (const struct stored_lease *s)
{
  return loop_now_ms (s->loop);
}

static void
arm (struct stored_lease *s)
{
  ticker_set (s->ticker, beryl_lease_next_ms (s->lease));
}

/* What another writer put there would otherwise keep the role free for ever:
 * nobody could read who holds it.  Its last holder keeps it for as long as any
 * record of this kind says, and loses it with its next renewal. */
static void
record_parse (const struct stored_lease *s, const struct beryl_object *object,
              struct beryl_lease_record *record)
{
  json_t *json = json_loadb (object->value, object->value_bytes, 0, NULL);
  const char *holder = json_string_value (json_object_get (json, "holder"));
  const char *nonce = json_string_value (json_object_get (json, "nonce"));
  int64_t ttl_ms
      = (int64_t)json_integer_value (json_object_get (json, "ttl_ms"));

  record->version = object->version;
  g_strlcpy (record->holder, holder != NULL ? holder : UNREADABLE_HOLDER,
             sizeof record->holder);
  if (nonce != NULL)
    record->nonce = g_ascii_strtoull (nonce, NULL, 16);
  record->ttl_ms = ttl_ms > 0 && ttl_ms <= TTL_MAX_MS ? ttl_ms : s->ttl_ms;
  json_decref (json);
}

/* Tells the lease the era of the answer that has just been received. */
static void
update_era (struct stored_lease *s)
{
  uint64_t era = beryl_platform_era (platform_client_core (s->client));

  beryl_lease_set_era (s->lease, era, now_ms (s));
}

static void
read_done (void *user, const struct beryl_platform_result *result)
{
  struct stored_lease *s = user;
  struct beryl_lease_record record = { 0 };

  s->request = 0;
  update_era (s);
  if (result->code == BERYL_OK)
    record_parse (s, &result->objects[0], &record);
  if (result->code == BERYL_OK || result->code == BERYL_ERROR_NOT_FOUND)
    beryl_lease_read_done (s->lease, &record, now_ms (s));
  else
    beryl_lease_read_failed (s->lease, now_ms (s));
  arm (s);
}

static struct platform_client_options
options_of (const struct stored_lease *s)
{
  return (struct platform_client_options){ .use = BERYL_USE_LEASE,
                                           .timeout_ms = s->ttl_ms / 2 };
}

static void
lease_read (struct beryl_lease_owner *owner, struct beryl_lease *lease)
{
  struct stored_lease *s = (struct stored_lease *)owner;
  struct platform_client_options options = options_of (s);

  s->request = platform_client_get (s->client, &options, s->kind,
                                    beryl_lease_name (lease), 0, read_done, s);
}

static void
write_done (void *user, const struct beryl_platform_result *result)
{
  struct stored_lease *s = user;
  enum beryl_lease_write outcome = BERYL_LEASE_FAILED;

  s->request = 0;
  update_era (s);
  if (result->code == BERYL_OK)
    outcome = BERYL_LEASE_WRITTEN;
  else if (result->code == BERYL_ERROR_CONFLICT)
    outcome = BERYL_LEASE_CONFLICT;
  else if (result->code == BERYL_ERROR_UNKNOWN)
    outcome = BERYL_LEASE_UNKNOWN;
  beryl_lease_write_done (s->lease, outcome, result->version, now_ms (s));
  arm (s);
}

static void
lease_write (struct beryl_lease_owner *owner, struct beryl_lease *lease,
             const struct beryl_lease_record *record)
{
  struct stored_lease *s = (struct stored_lease *)owner;
  struct platform_client_options options = options_of (s);
  char value[256];
  struct beryl_platform_write write
      = { .kind = s->kind, .name = beryl_lease_name (lease), .value = value };

  /* The number is written as text: JSON numbers are not exact to 64 bits
   * everywhere. */
  write.value_bytes = (size_t)snprintf (
      value, sizeof value,
      "{\"holder\":\"%s\",\"nonce\":\"%016" G_GINT64_MODIFIER
      "x\",\"ttl_ms\":%" G_GINT64_FORMAT "}",
      record->holder, record->nonce, record->ttl_ms);
  write.condition = record->version != 0 ? BERYL_IF_VERSION : BERYL_IF_ABSENT;
  write.version = record->version;
  s->request
      = platform_client_put (s->client, &options, &write, write_done, s);
}

static void
lease_changed (struct beryl_lease_owner *owner, struct beryl_lease *lease,
               uint64_t fence)
{
  struct stored_lease *s = (struct stored_lease *)owner;

  s->owner->impl->changed (s->owner, s, fence);
}

static const struct beryl_lease_owner_impl lease_impl
    = { .read = lease_read, .write = lease_write, .changed = lease_changed };

static void
tick (void *user)
{
  struct stored_lease *s = user;

  beryl_lease_tick (s->lease, now_ms (s));
  arm (s);
}

struct stored_lease *
stored_lease_create (struct loop *loop, struct platform_client *client,
                     const char *kind,
                     const struct beryl_lease_settings *settings,
                     struct stored_lease_owner *owner)
{
  struct stored_lease *s = g_new0 (struct stored_lease, 1);

  s->base.impl = &lease_impl;
  s->owner = owner;
  s->loop = loop;
  s->client = client;
  s->ttl_ms = settings->ttl_ms;
  g_strlcpy (s->kind, kind, sizeof s->kind);
  s->ticker = ticker_create (loop, tick, s);
  s->lease = beryl_lease_create (settings, &s->base);
  return s;
}

void
stored_lease_destroy (struct stored_lease *s)
{
  if (s == NULL)
    return;
  if (s->request != 0)
    platform_client_forget (s->client, s->request);
  ticker_destroy (s->ticker);
  beryl_lease_destroy (s->lease);
  g_free (s);
}

void
stored_lease_want (struct stored_lease *s, bool wanted)
{
  beryl_lease_set_candidate (s->lease, wanted, now_ms (s));
  arm (s);
}

bool
stored_lease_held (const struct stored_lease *s, uint64_t *fence)
{
  return beryl_lease_held (s->lease, now_ms (s), fence);
}

bool
stored_lease_settled (const struct stored_lease *s)
{
  return beryl_lease_settled (s->lease, now_ms (s));
}

const char *
stored_lease_name (const struct stored_lease *s)
{
  return beryl_lease_name (s->lease);
}
