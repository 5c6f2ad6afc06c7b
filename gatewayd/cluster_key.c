#include "cluster_key.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#define KEY_KIND "gateway-keys"
#define KEY_NAME "peers"
#define CALL_TIMEOUT_MS 3000
#define RETRY_MS 200
#define RANDOM_BYTES 32

struct cluster_key
{
  struct loop *loop;
  struct platform_client *client;
  cluster_key_cb *cb;
  void *user;
  struct loop_timer *retry_timer;
  uint64_t request;
  char key[CLUSTER_KEY_BYTES]; /* in use, or proposed by this node; "": none */
};

static const struct platform_client_options options
    = { .use = BERYL_USE_STATUS, .timeout_ms = CALL_TIMEOUT_MS, .wait = true };

static void read_key (void *user);

static void
schedule_retry (struct cluster_key *k)
{
  loop_timer_stop (k->retry_timer);
  k->retry_timer = loop_timer_start (k->loop, RETRY_MS, 0, read_key, k);
}

static void
report_key (struct cluster_key *k, const char *text)
{
  g_strlcpy (k->key, text, sizeof k->key);
  k->cb (k->user, k->key);
}

static bool
generate_key (struct cluster_key *k)
{
  unsigned char bytes[RANDOM_BYTES];

  if (getrandom (bytes, sizeof bytes, 0) != (ssize_t)sizeof bytes)
    return false;
  for (size_t i = 0; i < sizeof bytes; i++)
    g_snprintf (k->key + 2 * i, 3, "%02x", bytes[i]);
  return true;
}

static void
write_done (void *user, const struct beryl_platform_result *result)
{
  struct cluster_key *k = user;

  k->request = 0;
  if (result->code == BERYL_OK)
    k->cb (k->user, k->key);
  else
    /* Another node created it first, or the write failed: read again. */
    schedule_retry (k);
}

static void
write_key (struct cluster_key *k)
{
  char nonce[BERYL_NONCE_BYTES];
  struct beryl_platform_write write = { .kind = KEY_KIND,
                                        .name = KEY_NAME,
                                        .condition = BERYL_IF_ABSENT,
                                        .nonce = nonce };
  json_t *value;
  char *text;

  /* A key that is in use and that the store has lost is written again: a
     second one would divide the fleet. */
  if (k->key[0] == '\0' && !generate_key (k))
    {
      g_warning ("cannot generate cluster key: no random numbers");
      schedule_retry (k);
      return;
    }
  beryl_platform_nonce (platform_client_core (k->client), nonce);
  value = json_pack ("{s:s, s:s}", "key", k->key, "nonce", nonce);
  text = json_dumps (value, JSON_COMPACT);
  write.value = text;
  write.value_bytes = strlen (text);
  k->request
      = platform_client_put (k->client, &options, &write, write_done, k);
  free (text);
  json_decref (value);
}

static void
read_done (void *user, const struct beryl_platform_result *result)
{
  struct cluster_key *k = user;
  json_t *value = NULL;
  const char *text;

  k->request = 0;
  if (result->code == BERYL_ERROR_NOT_FOUND)
    {
      write_key (k);
      return;
    }
  if (result->code == BERYL_OK)
    value = json_loadb (result->objects[0].value,
                        result->objects[0].value_bytes, 0, NULL);
  text = json_string_value (json_object_get (value, "key"));
  if (text != NULL && strlen (text) == CLUSTER_KEY_BYTES - 1)
    report_key (k, text);
  else
    {
      g_warning ("cannot read cluster key: %s",
                 result->code == BERYL_OK
                     ? "malformed"
                     : beryl_error_code_name (result->code));
      schedule_retry (k);
    }
  json_decref (value);
}

static void
read_key (void *user)
{
  struct cluster_key *k = user;

  loop_timer_stop (k->retry_timer);
  k->retry_timer = NULL;
  k->request = platform_client_get (k->client, &options, KEY_KIND, KEY_NAME, 0,
                                    read_done, k);
}

struct cluster_key *
cluster_key_create (struct loop *loop, struct platform_client *client,
                    cluster_key_cb *cb, void *user)
{
  struct cluster_key *k = g_new0 (struct cluster_key, 1);

  k->loop = loop;
  k->client = client;
  k->cb = cb;
  k->user = user;
  read_key (k);
  return k;
}

void
cluster_key_check (struct cluster_key *k)
{
  if (k->request == 0 && k->retry_timer == NULL)
    read_key (k);
}

void
cluster_key_destroy (struct cluster_key *k)
{
  if (k == NULL)
    return;
  loop_timer_stop (k->retry_timer);
  if (k->request != 0)
    platform_client_forget (k->client, k->request);
  g_free (k);
}
