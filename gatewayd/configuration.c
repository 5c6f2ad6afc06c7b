#include "configuration.h"

#include <string.h>

#include "beryl/freshness.h"
#include "beryl/revision.h"

/* A shorter delay is not met; it would only add calls. */
#define DELAY_MIN_MS 500

struct configuration
{
  struct loop *loop;
  const struct gateway_wire *wire;
  struct platform_client *client;
  struct configuration_owner *owner;
  uint64_t watch;
  uint64_t version;   /* stated in the text; 0 if none */
  uint64_t revision;  /* given by the store to the object; 0 if none */
  GString *text;      /* JSON text of the object in use */
  const char *origin; /* of the object in use */
  int64_t in_use_since_ms;
  int64_t confirmed_ms;       /* last answer of the watch; 0 if none */
  uint64_t rejected_revision; /* newest invalid one */
  uint64_t era;               /* of the last answer of the watch */
  struct beryl_freshness *freshness;
  struct loop_timer *step_timer; /* NULL while no node is known to be ahead */
};

/* Returns whether ROUTES, at REVISION, are those of an older copy of the
 * store: the operator writes the newer ones again. */
static bool
is_of_older_copy (const struct configuration *c,
                  const struct beryl_routes *routes, uint64_t revision)
{
  return beryl_revision_era (revision) > beryl_revision_era (c->revision)
         && routes->version < c->version;
}

/* Uses a configuration unless it is older than the one in use: the platform's
 * response and a peer's copy may arrive in any order, and the node must never
 * go back to an older configuration. */
static void
apply_object (struct configuration *c, const struct beryl_object *object,
              const char *origin)
{
  struct beryl_error error = { 0 };
  char revision[BERYL_REVISION_TEXT_BYTES], used[BERYL_REVISION_TEXT_BYTES];
  int64_t now_ms = loop_now_ms (c->loop);
  struct beryl_routes *routes;

  beryl_revision_text (object->version, revision);

  if (object->version <= c->revision)
    {
      if (object->version < c->revision)
        g_info ("configuration revision=%s from=%s is older than the one in "
                "force, revision=%s",
                revision, origin, beryl_revision_text (c->revision, used));
      return;
    }
  routes = c->wire->impl->read_routes (c->wire, object, &error);
  if (routes == NULL)
    {
      g_warning (
          "configuration revision=%s from=%s rejected, keeping the last "
          "valid one: %s",
          revision, origin, error.message);
      c->rejected_revision = MAX (c->rejected_revision, object->version);
      beryl_freshness_seen (c->freshness, object->version, now_ms);
      return;
    }
  if (is_of_older_copy (c, routes, object->version))
    {
      g_info ("configuration version=%" G_GUINT64_FORMAT
              " revision=%s from=%s is of an older copy of the store, "
              "version=%" G_GUINT64_FORMAT " stays in force",
              routes->version, revision, origin, c->version);
      beryl_freshness_seen (c->freshness, object->version, now_ms);
      beryl_routes_unref (routes);
      return;
    }
  g_info ("configuration version=%" G_GUINT64_FORMAT
          " revision=%s from=%s routes=%zu services=%zu organisations=%zu "
          "heard_ms=%" G_GINT64_FORMAT " in force",
          routes->version, revision, origin, routes->route_count,
          routes->service_count, routes->organisation_count,
          beryl_freshness_behind_ms (c->freshness, now_ms));
  c->version = routes->version;
  c->revision = object->version;
  c->origin = origin;
  c->in_use_since_ms = now_ms;
  beryl_freshness_seen (c->freshness, object->version, now_ms);
  g_string_truncate (c->text, 0);
  g_string_append_len (c->text, object->value, (gssize)object->value_bytes);
  c->owner->impl->routes_changed (c->owner, routes);
}

static void
watch_event (void *user, const struct beryl_platform_event *event)
{
  struct configuration *c = user;

  if (!event->deleted
      && strcmp (event->object.name, c->wire->impl->configuration_name) == 0)
    apply_object (c, &event->object, "platform");
}

static void
watch_synced (void *user, uint64_t revision)
{
  struct configuration *c = user;
  uint64_t era = beryl_revision_era (revision);
  bool restored = c->era != 0 && era > c->era;

  c->confirmed_ms = loop_now_ms (c->loop);
  c->era = era;
  if (restored)
    c->owner->impl->store_restored (c->owner);
}

static const struct platform_watch_callbacks watch_callbacks
    = { .event = watch_event, .synced = watch_synced };

void
configuration_offer (struct configuration *c, uint64_t revision,
                     const char *value, size_t value_bytes)
{
  struct beryl_object object = {
    .kind = c->wire->impl->configuration_kind,
    .name = c->wire->impl->configuration_name,
    .version = revision,
    .value = value,
    .value_bytes = value_bytes,
  };

  apply_object (c, &object, "peer");
}

void
configuration_ask_store (struct configuration *c)
{
  platform_client_poke (c->client, c->watch);
}

static void
log_behind (const struct configuration *c, const char *step)
{
  int64_t behind_ms
      = beryl_freshness_behind_ms (c->freshness, loop_now_ms (c->loop));

  g_info ("configuration is behind peers: behind_ms=%" G_GINT64_FORMAT ", %s",
          behind_ms, step);
}

/* Does what is due for a configuration that this node has heard of, and
 * schedules the next step. */
static void
catch_up (void *user)
{
  struct configuration *c = user;
  const struct beryl_freshness_store store = {
    .unreachable
    = beryl_platform_is_unreachable (platform_client_core (c->client)),
    .answering = platform_client_watch_arriving (c->client, c->watch),
  };
  int64_t now_ms = loop_now_ms (c->loop);
  int64_t next_ms;

  loop_timer_stop (c->step_timer);
  c->step_timer = NULL;
  switch (beryl_freshness_step (c->freshness, &store, now_ms))
    {
    case BERYL_FRESHNESS_WAIT:
      break;
    case BERYL_FRESHNESS_ASK_STORE:
      log_behind (c, "asking the store");
      configuration_ask_store (c);
      break;
    case BERYL_FRESHNESS_PULL:
      if (c->owner->impl->pull (c->owner))
        log_behind (c, "pulling it");
      else
        log_behind (c, "no peer has it yet");
      break;
    }
  next_ms = beryl_freshness_next_ms (c->freshness, now_ms);
  if (next_ms != BERYL_NEVER_MS)
    c->step_timer
        = loop_timer_start (c->loop, next_ms - now_ms, 0, catch_up, c);
}

void
configuration_heard (struct configuration *c, uint64_t revision)
{
  char heard[BERYL_REVISION_TEXT_BYTES], used[BERYL_REVISION_TEXT_BYTES];

  if (!beryl_freshness_heard (c->freshness, revision, loop_now_ms (c->loop)))
    return;
  g_info ("configuration revision=%s is at a peer, revision=%s is in force",
          beryl_revision_text (revision, heard),
          beryl_revision_text (c->revision, used));
  /* Not at once: the caller may be about to tell which peer has it. */
  if (c->step_timer == NULL)
    c->step_timer = loop_timer_start (c->loop, 1, 0, catch_up, c);
}

void
configuration_state (const struct configuration *c,
                     struct configuration_state *state)
{
  int64_t now_ms = loop_now_ms (c->loop);

  *state = (struct configuration_state){
    .version = c->version,
    .revision = c->revision,
    .origin = c->origin != NULL ? c->origin : "-",
    .age_ms = c->revision != 0 ? now_ms - c->in_use_since_ms : -1,
    .confirmed_ms = c->confirmed_ms != 0 ? now_ms - c->confirmed_ms : -1,
    .heard_revision = beryl_freshness_heard_revision (c->freshness),
    .behind_ms = beryl_freshness_behind_ms (c->freshness, now_ms),
    .rejected_revision = c->rejected_revision,
  };
}

bool
configuration_is_known (const struct configuration *c)
{
  return c->revision != 0;
}

uint64_t
configuration_revision (const struct configuration *c)
{
  return c->revision;
}

const char *
configuration_text (const struct configuration *c, size_t *value_bytes)
{
  *value_bytes = c->text->len;
  return c->text->str;
}

struct configuration *
configuration_create (struct loop *loop, const struct gateway_wire *wire,
                      struct platform_client *client, int64_t delay_ms,
                      struct configuration_owner *owner)
{
  struct configuration *c = g_new0 (struct configuration, 1);

  c->loop = loop;
  c->wire = wire;
  c->client = client;
  c->owner = owner;
  c->text = g_string_new (NULL);
  c->freshness = beryl_freshness_create (MAX (delay_ms, DELAY_MIN_MS));
  c->watch = platform_client_watch (client, BERYL_USE_CONFIG,
                                    wire->impl->configuration_kind,
                                    &watch_callbacks, c);
  return c;
}

void
configuration_destroy (struct configuration *c)
{
  if (c == NULL)
    return;
  platform_client_unwatch (c->client, c->watch);
  loop_timer_stop (c->step_timer);
  beryl_freshness_destroy (c->freshness);
  g_string_free (c->text, TRUE);
  g_free (c);
}
