#include "quarantine_records.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "registry.h"

#define NAME_PREFIX "quarantine-"
#define NAME_BYTES 32
#define CALL_TIMEOUT_MS 3000
#define RETRY_MS 500

struct quarantine_records
{
  struct loop *loop;
  struct platform_client *client;
  const struct gateway_settings *settings;
  struct beryl_quarantine *quarantine;
  GQueue *pending; /* struct record, the first is being written */
  uint64_t write_request;
  uint64_t delete_request;
  struct loop_timer *retry_timer;
};

/* A record to be written. */
struct record
{
  uint64_t fingerprint;
  int64_t expires_s;         /* Unix time */
  uint64_t existing_version; /* of a record to replace; 0 if none */
};

static const struct platform_client_options options
    = { .use = BERYL_USE_STATUS, .timeout_ms = CALL_TIMEOUT_MS, .wait = true };

static int64_t
unix_time_s (void)
{
  return g_get_real_time () / G_USEC_PER_SEC;
}

static void write_first (struct quarantine_records *q);

static void
retry_due (void *user)
{
  struct quarantine_records *q = user;

  loop_timer_stop (q->retry_timer);
  q->retry_timer = NULL;
  write_first (q);
}

static void
write_done (void *user, const struct beryl_platform_result *result)
{
  struct quarantine_records *q = user;
  struct record *record = g_queue_peek_head (q->pending);

  q->write_request = 0;
  if (result->code == BERYL_OK)
    {
      g_free (g_queue_pop_head (q->pending));
      write_first (q);
      return;
    }
  /* The existing record may be from an earlier quarantine: replace it. */
  if (result->code == BERYL_ERROR_CONFLICT)
    record->existing_version = result->version;
  else
    g_warning ("record of fingerprint=%016" G_GINT64_MODIFIER
               "x not written, retrying: %s",
               record->fingerprint, beryl_error_code_name (result->code));
  q->retry_timer = loop_timer_start (q->loop, RETRY_MS, 0, retry_due, q);
}

static void
write_first (struct quarantine_records *q)
{
  const struct record *record = g_queue_peek_head (q->pending);
  char nonce[BERYL_NONCE_BYTES];
  char name[NAME_BYTES];
  struct beryl_platform_write write
      = { .kind = REGISTRY_KIND, .name = name, .nonce = nonce };
  json_t *value;
  char *text;

  if (record == NULL || q->write_request != 0 || q->retry_timer != NULL)
    return;
  g_snprintf (name, sizeof name, NAME_PREFIX "%016" G_GINT64_MODIFIER "x",
              record->fingerprint);
  write.condition
      = record->existing_version != 0 ? BERYL_IF_VERSION : BERYL_IF_ABSENT;
  write.version = record->existing_version;
  beryl_platform_nonce (platform_client_core (q->client), nonce);
  value
      = json_pack ("{s:I, s:s, s:s}", "until_s", (json_int_t)record->expires_s,
                   "node", q->settings->node, "nonce", nonce);
  text = json_dumps (value, JSON_COMPACT);
  write.value = text;
  write.value_bytes = strlen (text);
  q->write_request
      = platform_client_put (q->client, &options, &write, write_done, q);
  free (text);
  json_decref (value);
}

struct quarantine_records *
quarantine_records_create (struct loop *loop, struct platform_client *client,
                           const struct gateway_settings *settings,
                           struct beryl_quarantine *quarantine)
{
  struct quarantine_records *q = g_new0 (struct quarantine_records, 1);

  q->loop = loop;
  q->client = client;
  q->settings = settings;
  q->quarantine = quarantine;
  q->pending = g_queue_new ();
  return q;
}

void
quarantine_records_destroy (struct quarantine_records *q)
{
  if (q == NULL)
    return;
  loop_timer_stop (q->retry_timer);
  if (q->write_request != 0)
    platform_client_forget (q->client, q->write_request);
  if (q->delete_request != 0)
    platform_client_forget (q->client, q->delete_request);
  g_queue_free_full (q->pending, g_free);
  g_free (q);
}

void
quarantine_records_add (struct quarantine_records *q, uint64_t fingerprint,
                        int64_t remaining_ms)
{
  struct record *record = g_new0 (struct record, 1);

  record->fingerprint = fingerprint;
  record->expires_s = unix_time_s () + remaining_ms / 1000;
  g_queue_push_tail (q->pending, record);
  write_first (q);
}

static bool
read_fingerprint (const char *name, uint64_t *fingerprint)
{
  char *end;

  if (!g_str_has_prefix (name, NAME_PREFIX))
    return false;
  *fingerprint = g_ascii_strtoull (name + strlen (NAME_PREFIX), &end, 16);
  return *end == '\0' && *fingerprint != 0;
}

static int64_t
read_remaining_ms (const struct beryl_object *object)
{
  json_t *value = json_loadb (object->value, object->value_bytes, 0, NULL);
  json_int_t expires_s
      = json_integer_value (json_object_get (value, "until_s"));
  int64_t now_s = unix_time_s ();

  json_decref (value);
  return expires_s > now_s ? (expires_s - now_s) * 1000 : 0;
}

static void
delete_done (void *user, const struct beryl_platform_result *result)
{
  ((struct quarantine_records *)user)->delete_request = 0;
}

/* Deletes one record at a time; the next list shows the others again. */
static void
remove_record (struct quarantine_records *q, const struct beryl_object *object)
{
  if (q->delete_request == 0)
    q->delete_request = platform_client_delete (
        q->client, &options, REGISTRY_KIND, object->name, object->version,
        delete_done, q);
}

void
quarantine_records_update (struct quarantine_records *q,
                           const struct beryl_object *objects, size_t count)
{
  int64_t now_ms = loop_now_ms (q->loop);

  for (size_t i = 0; i < count; i++)
    {
      uint64_t fingerprint;
      int64_t remaining_ms;

      if (!read_fingerprint (objects[i].name, &fingerprint))
        continue;
      /* Remove records that have expired, and those of requests that have been
         cleared since. */
      remaining_ms = read_remaining_ms (&objects[i]);
      if (remaining_ms == 0
          || !beryl_quarantine_record_read (q->quarantine, fingerprint,
                                            remaining_ms, now_ms))
        remove_record (q, &objects[i]);
    }
  beryl_quarantine_records_synced (q->quarantine, now_ms);
}
