/* Load of claims on the object API at the target rate, with the default
 * settings of the library and the configuration. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "beryl/claims.h"
#include "beryl/config.h"

#define CLAIMS_PER_S 510
#define RUN_MS 90000
#define MEASURE_FROM_MS 50000
#define REPLY_MS 5
#define CALLS_MAX 4096
/* Writes that the platform sustains ("several hundred" per second), and the
 * part that leases, members and configuration changes need. */
#define WRITES_PER_S 300
#define OTHER_WRITES_PER_S 30

struct call
{
  uint64_t id;
  int64_t due_ms;
  bool read;
};

struct home
{
  struct beryl_claims_owner base;
  struct call calls[CALLS_MAX]; /* ring buffer, oldest first */
  uint32_t first, last;
  int64_t now_ms;
  uint32_t writes, granted;
  int64_t sent_ms[RUN_MS];
  int64_t slowest_ms;
};

static struct home home;

static void
on_result (struct beryl_claims_owner *owner, uint64_t request,
           enum beryl_claim_result result, uint64_t incarnation)
{
  int64_t took_ms = home.now_ms - home.sent_ms[request];

  ck_assert_int_eq (result, BERYL_CLAIM_GRANTED);
  home.granted++;
  if (took_ms > home.slowest_ms)
    home.slowest_ms = took_ms;
}

static void
on_send (struct beryl_claims_owner *owner, const char *node,
         const struct beryl_claim_message *message)
{
  ck_abort_msg ("a claim was sent to %s", node);
}

static void
begin (uint64_t id, bool read)
{
  home.calls[home.last++ % CALLS_MAX]
      = (struct call){ id, home.now_ms + REPLY_MS, read };
  if (!read && home.now_ms >= MEASURE_FROM_MS)
    home.writes++;
}

static void
on_read (struct beryl_claims_owner *owner, uint64_t call, const char *name)
{
  begin (call, true);
}

static void
on_create (struct beryl_claims_owner *owner, uint64_t call, const char *name,
           const char *value, size_t value_bytes, const char *nonce)
{
  begin (call, false);
}

static void
on_remove (struct beryl_claims_owner *owner, uint64_t call, const char *name)
{
  begin (call, false);
}

static const struct beryl_claims_owner_impl impl = {
  .result = on_result,
  .send = on_send,
  .list = on_read,
  .get = on_read,
  .create = on_create,
  .remove = on_remove,
};

static void
answer (struct beryl_claims *claims)
{
  while (home.first != home.last)
    {
      struct call call = home.calls[home.first % CALLS_MAX];

      if (call.due_ms > home.now_ms)
        return;
      home.first++;
      if (call.read)
        beryl_claims_read_done (claims, call.id, BERYL_OK, NULL, 0,
                                home.now_ms);
      else
        beryl_claims_write_done (claims, call.id, BERYL_OK, home.now_ms);
    }
}

/* Returns the number of shards of a configuration that does not set it. */
static uint32_t
default_shards (void)
{
  struct beryl_findings *findings = beryl_findings_create ();
  struct beryl_config *config = beryl_config_parse ("[]", 2, 1, findings);
  uint32_t shards;

  ck_assert_ptr_nonnull (config);
  shards = config->system.claim_shards;
  beryl_config_destroy (config);
  beryl_findings_destroy (findings);
  return shards;
}

/* Guards against claims using up the write rate of the object API, which loses
 * leases and delays changes.  Each commit of the claim log is a write and, ten
 * minutes later, a deletion: 160 commits per second caused 331 writes per
 * second, more than the object API sustains, and left none for other users. */
START_TEST (target_rate_fits_the_object_api)
{
  const char *self = "n1";
  struct beryl_claims_settings settings = {
    .node = self,
    .incarnation = 1,
    .seed = 1,
    .shards = default_shards (),
    .retention_ms = 40000,
    .delete_after_ms = 20000,
  };
  uint32_t sent = 0;
  uint32_t writes_per_s;
  struct beryl_claims *claims;

  memset (&home, 0, sizeof home);
  home.base.impl = &impl;
  claims = beryl_claims_create (&settings, &home.base);
  beryl_claims_set_members (claims, &self, 1, 0);
  for (home.now_ms = 1; home.now_ms < RUN_MS; home.now_ms++)
    {
      answer (claims);
      while ((int64_t)sent * 1000 < home.now_ms * CLAIMS_PER_S)
        {
          char key[24];

          home.sent_ms[++sent] = home.now_ms;
          snprintf (key, sizeof key, "key-%u", sent);
          beryl_claims_claim (claims, sent, "o", key, 1, home.now_ms);
        }
      if (beryl_claims_next_ms (claims) <= home.now_ms)
        beryl_claims_tick (claims, home.now_ms);
    }
  beryl_claims_destroy (claims);
  writes_per_s = home.writes / ((RUN_MS - MEASURE_FROM_MS) / 1000);
  ck_assert_uint_ge (writes_per_s, 100);
  ck_assert_uint_le (writes_per_s, WRITES_PER_S - OTHER_WRITES_PER_S);
  ck_assert_uint_ge (home.granted, sent - CLAIMS_PER_S);
  ck_assert_int_le (home.slowest_ms, 250);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("claims-budget");
  TCase *tcase = tcase_create ("claims-budget");

  tcase_set_timeout (tcase, 30);
  tcase_add_test (tcase, target_rate_fits_the_object_api);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
