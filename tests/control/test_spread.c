#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/config_log.h"

#define KINDS 7

static const char *const kinds[KINDS]
    = { "system",  "organisation", "model",   "service",
        "urgency", "pool",         "endpoint" };

struct acceptor_fixture
{
  struct beryl_acceptor_owner base;
  struct beryl_config_log *log;
  struct beryl_acceptor *acceptor;
  uint32_t accepted;
  uint32_t rejected;
};

static void
fixture_validated (struct beryl_acceptor_owner *owner,
                   const struct beryl_validation_result *result)
{
  struct acceptor_fixture *f = (struct acceptor_fixture *)owner;

  f->accepted += result->accepted;
  f->rejected += !result->accepted;
}

static const struct beryl_acceptor_owner_impl fixture_impl
    = { .validated = fixture_validated };

static void
fixture_init (struct acceptor_fixture *f)
{
  memset (f, 0, sizeof *f);
  f->base.impl = &fixture_impl;
  f->log = beryl_config_log_create ();
  f->acceptor = beryl_acceptor_create (f->log, &f->base);
}

static void
fixture_clear (struct acceptor_fixture *f)
{
  beryl_acceptor_destroy (f->acceptor);
  beryl_config_log_destroy (f->log);
}

static void
fixture_sync (struct acceptor_fixture *f, uint64_t revision)
{
  for (int i = 0; i < KINDS; i++)
    beryl_acceptor_synced (f->acceptor, kinds[i], revision);
}

static void
fixture_observe (struct acceptor_fixture *f, const char *kind,
                 const char *name, uint64_t version, const char *spec)
{
  char value[512];
  int n = snprintf (value, sizeof value,
                    "{\"api_version\":\"beryl/v1\",\"kind\":\"%s\","
                    "\"name\":\"%s\",\"nonce\":\"x\",\"spec\":%s}",
                    kind, name, spec);

  beryl_acceptor_observe (f->acceptor, kind, name, version, value, (size_t)n);
}

static bool
fixture_accept (struct acceptor_fixture *f)
{
  size_t bytes = 0;
  char *entry = beryl_acceptor_propose (f->acceptor, &bytes);
  bool applied;

  if (entry == NULL)
    return false;
  applied = beryl_config_log_apply (f->log, entry, bytes, NULL)
            == BERYL_CONFIG_LOG_APPLIED;
  free (entry);
  return applied;
}

/* Guards against an invalid edit replacing a valid service: the last valid
 * version must stay in force, also for a node that starts later, and the
 * rejection must be reported. */
START_TEST (invalid_edit_keeps_last_valid_version)
{
  struct acceptor_fixture f;
  struct beryl_config_log_object o;

  fixture_init (&f);
  fixture_observe (&f, "model", "m", 1, "{\"version\":\"1\"}");
  fixture_observe (&f, "service", "s", 2, "{\"model\":\"m\"}");
  fixture_sync (&f, 2);
  ck_assert (fixture_accept (&f));
  fixture_observe (&f, "service", "s", 3, "{\"modle\":\"m\"}");
  ck_assert (!fixture_accept (&f));
  ck_assert_uint_eq (f.rejected, 1);
  ck_assert (beryl_config_log_find (f.log, "service", "s", &o));
  ck_assert_uint_eq (o.source_version, 2);
  ck_assert (!fixture_accept (&f));
  ck_assert_uint_eq (f.rejected, 1);
  fixture_clear (&f);
}
END_TEST

/* Guards against accepting the deletion of a model that a service still refers
 * to, which would leave the service without a model. */
START_TEST (deletion_of_referenced_object_is_rejected)
{
  struct acceptor_fixture f;
  struct beryl_config_log_object o;

  fixture_init (&f);
  fixture_observe (&f, "model", "m", 1, "{\"version\":\"1\"}");
  fixture_observe (&f, "service", "s", 2, "{\"model\":\"m\"}");
  fixture_sync (&f, 2);
  ck_assert (fixture_accept (&f));
  beryl_acceptor_observe (f.acceptor, "model", "m", 3, NULL, 0);
  ck_assert (!fixture_accept (&f));
  ck_assert_uint_eq (f.rejected, 1);
  beryl_acceptor_observe (f.acceptor, "service", "s", 4, NULL, 0);
  ck_assert (fixture_accept (&f));
  ck_assert (!beryl_config_log_find (f.log, "model", "m", &o));
  fixture_clear (&f);
}
END_TEST

/* Guards against an acceptor that deletes accepted objects after an outage: it
 * lists from a replica that lags behind the accepted state, where a service
 * looks deleted. */
START_TEST (stale_acceptor_proposes_nothing)
{
  struct acceptor_fixture f;
  struct beryl_config_log_object o;

  fixture_init (&f);
  fixture_observe (&f, "service", "s", 8, "{}");
  fixture_sync (&f, 8);
  ck_assert (fixture_accept (&f));
  beryl_acceptor_destroy (f.acceptor);
  f.acceptor = beryl_acceptor_create (f.log, &f.base);
  fixture_sync (&f, 5);
  ck_assert (!fixture_accept (&f));
  ck_assert (beryl_config_log_find (f.log, "service", "s", &o));
  fixture_observe (&f, "service", "s", 8, "{}");
  fixture_sync (&f, 9);
  ck_assert (!fixture_accept (&f));
  ck_assert_uint_eq (beryl_config_log_version (f.log), 1);
  fixture_clear (&f);
}
END_TEST

/* Guards against one invalid object among thousands holding up the others,
 * which must come into force in entries within the platform's size limit. */
START_TEST (one_bad_object_among_many)
{
  struct acceptor_fixture f;
  char name[16];

  fixture_init (&f);
  for (int i = 0; i < 3000; i++)
    {
      snprintf (name, sizeof name, "s%d", i);
      fixture_observe (&f, "service", name, (uint64_t)i + 1,
                       i == 1234 ? "{\"model\":\"none\"}" : "{}");
    }
  fixture_sync (&f, 3000);
  while (fixture_accept (&f))
    ck_assert_uint_lt (beryl_config_log_version (f.log), 10);
  ck_assert_uint_eq (beryl_config_log_count (f.log), 2999);
  ck_assert_uint_eq (f.rejected, 1);
  fixture_clear (&f);
}
END_TEST

/* Guards against a node that was paused while entries were compacted applying
 * a later entry, which would skip changes for ever, or an old snapshot, which
 * would bring an old rule back into force. */
START_TEST (gaps_and_old_snapshots_are_refused)
{
  static const char first[] = "{\"version\":1,\"changes\":[]}";
  static const char second[] = "{\"version\":2,\"changes\":[]}";
  struct beryl_config_log *s = beryl_config_log_create ();
  size_t bytes = 0;
  char *old;

  ck_assert_int_eq (beryl_config_log_apply (s, second, strlen (second), NULL),
                    BERYL_CONFIG_LOG_GAP);
  ck_assert_int_eq (beryl_config_log_apply (s, first, strlen (first), NULL),
                    BERYL_CONFIG_LOG_APPLIED);
  old = beryl_config_log_snapshot (s, &bytes);
  ck_assert_int_eq (beryl_config_log_apply (s, second, strlen (second), NULL),
                    BERYL_CONFIG_LOG_APPLIED);
  ck_assert_int_eq (beryl_config_log_load (s, old, bytes, NULL),
                    BERYL_CONFIG_LOG_OLD);
  ck_assert_uint_eq (beryl_config_log_version (s), 2);
  free (old);
  beryl_config_log_destroy (s);
}
END_TEST

START_TEST (malformed_entries_change_nothing)
{
  static const char bad_object[]
      = "{\"version\":1,\"changes\":[{\"kind\":\"a\",\"name\":\"b\","
        "\"source\":1,\"object\":5}]}";
  static const char *const bad[]
      = { "",
          "[]",
          "{}",
          "{\"version\":1}",
          "{\"version\":1,\"changes\":[{\"kind\":\"a\"}]}",
          bad_object };
  struct beryl_config_log *s = beryl_config_log_create ();
  struct beryl_error error = { 0 };

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    ck_assert_int_eq (
        beryl_config_log_apply (s, bad[i], strlen (bad[i]), &error),
        BERYL_CONFIG_LOG_INVALID);
  ck_assert_uint_eq (beryl_config_log_version (s), 0);
  ck_assert_uint_eq (beryl_config_log_count (s), 0);
  beryl_config_log_destroy (s);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("spread");
  TCase *t = tcase_create ("configuration");
  SRunner *r;
  int failed;

  tcase_set_timeout (t, 50);
  tcase_add_test (t, invalid_edit_keeps_last_valid_version);
  tcase_add_test (t, deletion_of_referenced_object_is_rejected);
  tcase_add_test (t, stale_acceptor_proposes_nothing);
  tcase_add_test (t, one_bad_object_among_many);
  tcase_add_test (t, gaps_and_old_snapshots_are_refused);
  tcase_add_test (t, malformed_entries_change_nothing);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
