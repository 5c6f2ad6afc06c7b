#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake.h"
#include "../suite.h"

#define SEEDS 150
#define CLIENTS 4
#define ROUNDS 25

/** A client that increments a counter object by conditional writes. */
struct adder
{
  struct fake_client *client;
  uint32_t rounds;
  uint32_t granted;   /**< increments that certainly took effect */
  uint32_t uncertain; /**< increments that may have taken effect */
  uint32_t created;   /**< objects that this client created */
  char nonce[BERYL_NONCE_BYTES];
  uint64_t read;
  uint64_t write;
  uint64_t create;
};

static struct beryl_platform_options
options (const struct fake *f)
{
  return (struct beryl_platform_options){ .use = BERYL_USE_CLAIM,
                                          .deadline_ms = f->now_ms + 8000,
                                          .wait_for_recovery = true };
}

/** Begin a round: read the counter and try to create the round's object. */
static void
round_begin (struct adder *a)
{
  struct fake *f = a->client->fake;
  struct beryl_platform_options o = options (f);
  char nonce[BERYL_NONCE_BYTES], name[32], value[64];
  struct beryl_platform_write w
      = { "claim", name, BERYL_IF_ABSENT, 0, value, 0, nonce };

  if (a->rounds++ == ROUNDS)
    return;
  beryl_platform_nonce (a->client->core, nonce);
  snprintf (name, sizeof name, "c-%u", a->rounds);
  w.value_bytes
      = (size_t)snprintf (value, sizeof value, "{\"nonce\":\"%s\"}", nonce);
  a->create = beryl_platform_put (a->client->core, &o, &w, f->now_ms);
  a->read = beryl_platform_get (a->client->core, &o, "log", "counter", 0,
                                f->now_ms);
}

/** Write the incremented value. */
static void
count_up (struct adder *a, const struct beryl_platform_result *result)
{
  struct fake *f = a->client->fake;
  struct beryl_platform_options o = options (f);
  struct beryl_platform_write w
      = { "log", "counter", BERYL_IF_ABSENT, 0, NULL, 0, a->nonce };
  unsigned int n = 0;
  char value[96];

  if (result->code == BERYL_OK)
    {
      w.condition = BERYL_IF_VERSION;
      w.version = result->version;
      ck_assert_int_eq (sscanf (result->objects[0].value, "{\"n\":%u", &n), 1);
    }
  beryl_platform_nonce (a->client->core, a->nonce);
  w.value = value;
  w.value_bytes = (size_t)snprintf (
      value, sizeof value, "{\"n\":%u,\"nonce\":\"%s\"}", n + 1, a->nonce);
  a->write = beryl_platform_put (a->client->core, &o, &w, f->now_ms);
}

static void
adder_result (struct fake_client *c,
              const struct beryl_platform_result *result)
{
  struct adder *a = c->user;

  if (result->request == a->create)
    a->created += result->code == BERYL_OK;
  else if (result->request == a->read)
    {
      if (result->code == BERYL_OK || result->code == BERYL_ERROR_NOT_FOUND)
        count_up (a, result);
      else
        round_begin (a);
    }
  else if (result->request == a->write)
    {
      if (result->code == BERYL_OK)
        a->granted++;
      else if (result->code == BERYL_ERROR_UNKNOWN || result->overwritten)
        a->uncertain++;
      round_begin (a);
    }
}

/** Run with random faults, then without faults. */
static void
run_with_faults (struct fake *f, uint64_t seed)
{
  for (int phase = 0; phase < 60; phase++)
    {
      f->faults.lose_request_percent = (uint32_t)fake_random (f, 4) * 10;
      f->faults.lose_reply_percent = (uint32_t)fake_random (f, 4) * 10;
      f->faults.delay_max_ms = (int64_t)fake_random (f, 3) * 900;
      f->faults.stale_max_ms = (int64_t)fake_random (f, 3) * 1500;
      f->faults.outage = fake_random (f, 12) == 0;
      f->faults.hang = fake_random (f, 12) == 0;
      f->faults.write_delay_ms = fake_random (f, 6) == 0 ? 3000 : 0;
      fake_run (f, f->now_ms + 2000);
    }
  memset (&f->faults, 0, sizeof f->faults);
  fake_run (f, f->now_ms + 60000);
}

/** Return the counter's value in the store. */
static uint32_t
counter_value (struct fake *f)
{
  struct store_revision r;
  unsigned int n = 0;

  if (store_get (f->store, "log", "counter", f->now_ms, &r) == STORE_OK)
    ck_assert_int_eq (sscanf (r.value, "{\"n\":%u", &n), 1);
  return n;
}

static bool
count_object (void *user, const struct store_revision *r)
{
  (*(uint32_t *)user)++;
  return true;
}

/* Guards against two holders of one lease and a claim that is granted twice.
   Four nodes increment one counter and compete to create objects, while
   requests and replies are lost, writes arrive late, replicas lag and the
   platform has outages.  A write reported as granted must have taken effect
   exactly once, one reported as a conflict not at all, and no object may have
   two creators. */
START_TEST (test_histories)
{
  uint64_t seed = (uint64_t)_i + 1;
  struct fake *f = calloc (1, sizeof *f);
  struct adder adders[CLIENTS] = { 0 };
  uint32_t granted = 0, uncertain = 0, created = 0, objects = 0;
  uint32_t value;

  fake_init (f, seed);
  for (int i = 0; i < CLIENTS; i++)
    {
      adders[i].client = fake_add (f, NULL);
      adders[i].client->user = &adders[i];
      adders[i].client->on_result = adder_result;
      round_begin (&adders[i]);
    }
  run_with_faults (f, seed);
  for (int i = 0; i < CLIENTS; i++)
    {
      granted += adders[i].granted;
      uncertain += adders[i].uncertain;
      created += adders[i].created;
    }
  value = counter_value (f);
  store_list (f->store, "claim", "", "", f->now_ms, count_object, &objects);
  ck_assert_msg (granted <= value && value <= granted + uncertain,
                 "seed %" PRIu64 ": %u granted, %u uncertain, counter %u",
                 seed, granted, uncertain, value);
  ck_assert_msg (created <= objects, "seed %" PRIu64 ": %u creators, %u made",
                 seed, created, objects);
  ck_assert_uint_gt (value, 0);
  fake_destroy (f);
  free (f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("histories");
  TCase *tc = tcase_create ("histories");

  tcase_set_timeout (tc, 30);
  tcase_add_loop_test (tc, test_histories, 0, SEEDS);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
