#include <check.h>
#include <string.h>

#include "../suite.h"
#include "beryl/quarantine.h"

#define NODES 3
#define CULPRIT 100
#define BYSTANDER 200

struct node
{
  struct beryl_quarantine_owner owner;
  struct beryl_quarantine *quarantine;
  enum beryl_quarantine_cause cause; /* cause of the last change */
  uint32_t changes;
};

static struct node nodes[NODES];
static int64_t now_ms;

static void
changed (struct beryl_quarantine_owner *owner, uint64_t fingerprint,
         int64_t left_ms, enum beryl_quarantine_cause cause, int64_t at_ms)
{
  struct node *node = (struct node *)owner;

  ck_assert_int_eq (at_ms, now_ms);
  node->cause = cause;
  node->changes++;
}

static const struct beryl_quarantine_owner_impl impl = { .changed = changed };

static void
setup (void)
{
  now_ms = 100000;
  for (int i = 0; i < NODES; i++)
    {
      nodes[i] = (struct node){ .owner = { &impl } };
      nodes[i].quarantine = beryl_quarantine_create (&nodes[i].owner);
    }
}

static void
teardown (void)
{
  for (int i = 0; i < NODES; i++)
    beryl_quarantine_destroy (nodes[i].quarantine);
}

/* A run of FINGERPRINT at node N breaks off because its endpoint ended. */
static void
crash (int n, uint64_t fingerprint, uint32_t endpoint)
{
  beryl_quarantine_run_broken (nodes[n].quarantine, fingerprint, endpoint,
                               now_ms);
  beryl_quarantine_endpoint_ended (nodes[n].quarantine, endpoint, now_ms);
}

static void
send_update (int from, int to)
{
  struct beryl_quarantine_update update;

  beryl_quarantine_build_update (nodes[from].quarantine, &update, true,
                                 now_ms);
  beryl_quarantine_apply_update (nodes[to].quarantine, &update, now_ms);
}

static bool
is_quarantined (int n, uint64_t fingerprint)
{
  return beryl_quarantine_remaining_ms (nodes[n].quarantine, fingerprint,
                                        now_ms)
         > 0;
}

/* Waits until the peers' reports are in and requests are judged. */
static void
end_reviews (void)
{
  now_ms += 300;
  for (int i = 0; i < NODES; i++)
    beryl_quarantine_expire (nodes[i].quarantine, now_ms);
}

/* Guards against a request that crashed three endpoints being sent to a
 * fourth. */
START_TEST (test_third_crash)
{
  crash (0, CULPRIT, 1);
  crash (0, CULPRIT, 2);
  ck_assert (!is_quarantined (0, CULPRIT));
  ck_assert (beryl_quarantine_is_suspect (nodes[0].quarantine, CULPRIT));
  crash (0, CULPRIT, 3);
  ck_assert (is_quarantined (0, CULPRIT));
  ck_assert_uint_eq (nodes[0].changes, 0);
  end_reviews ();
  ck_assert (is_quarantined (0, CULPRIT));
  ck_assert_uint_eq (nodes[0].changes, 1);
  ck_assert_int_eq (nodes[0].cause, BERYL_QUARANTINE_CRASHES);
  ck_assert (!is_quarantined (0, BYSTANDER));
}
END_TEST

/* Guards against counting one crash repeatedly when it is reported more than
 * once. */
START_TEST (test_one_crash_counts_once)
{
  for (int i = 0; i < 5; i++)
    {
      crash (0, CULPRIT, 1);
      send_update (0, 1);
    }
  ck_assert (!is_quarantined (0, CULPRIT));
  ck_assert (!is_quarantined (1, CULPRIT));
}
END_TEST

/* Guards against counting broken connections to healthy endpoints as crashes.
 */
START_TEST (test_broken_connections)
{
  for (uint32_t i = 1; i <= 10; i++)
    beryl_quarantine_run_broken (nodes[0].quarantine, CULPRIT, i, now_ms);
  ck_assert (!is_quarantined (0, CULPRIT));
  now_ms += 60000;
  for (uint32_t i = 1; i <= 10; i++)
    beryl_quarantine_endpoint_ended (nodes[0].quarantine, i, now_ms);
  ck_assert (!is_quarantined (0, CULPRIT));
  beryl_quarantine_expire (nodes[0].quarantine, now_ms);
  ck_assert (beryl_quarantine_empty (nodes[0].quarantine));
}
END_TEST

/* Guards against missing a crashing request when each node observes only one
 * crash. */
START_TEST (test_crashes_at_different_nodes)
{
  for (int n = 0; n < NODES; n++)
    crash (n, CULPRIT, (uint32_t)n + 1);
  for (int n = 1; n < NODES; n++)
    send_update (n, 0);
  ck_assert (is_quarantined (0, CULPRIT));
  end_reviews ();
  ck_assert (is_quarantined (0, CULPRIT));
  /* A node that observed a crash writes the record. */
  ck_assert_int_eq (nodes[0].cause, BERYL_QUARANTINE_CRASHES);
  send_update (0, 1);
  ck_assert (is_quarantined (1, CULPRIT));
  ck_assert_int_eq (nodes[1].cause, BERYL_QUARANTINE_CRASHES);
}
END_TEST

/* Guards against a node that missed the original announcements never learning
 * of the quarantine. */
START_TEST (test_late_joining_node)
{
  for (uint32_t i = 1; i <= 3; i++)
    crash (0, CULPRIT, i);
  end_reviews ();
  now_ms += 600000;
  send_update (0, 1);
  ck_assert (is_quarantined (1, CULPRIT));
  ck_assert_int_eq (nodes[1].cause, BERYL_QUARANTINE_FROM_PEER);
}
END_TEST

/* Guards against blaming a request for crashes that another, quarantined
 * request explains. */
START_TEST (test_explained_crashes)
{
  for (uint32_t i = 1; i <= 2; i++)
    {
      beryl_quarantine_run_broken (nodes[0].quarantine, BYSTANDER, i, now_ms);
      crash (0, CULPRIT, i);
    }
  crash (0, CULPRIT, 3);
  ck_assert (is_quarantined (0, CULPRIT));
  end_reviews ();
  crash (0, BYSTANDER, 7);
  crash (0, BYSTANDER, 8);
  ck_assert (!is_quarantined (0, BYSTANDER));
}
END_TEST

/* Guards against quarantining an innocent request that ran at the same three
 * endpoints as the culprit. */
START_TEST (test_same_three_endpoints)
{
  for (uint32_t i = 1; i <= 3; i++)
    {
      beryl_quarantine_run_broken (nodes[0].quarantine, BYSTANDER, i, now_ms);
      crash (0, CULPRIT, i);
    }
  ck_assert (!is_quarantined (0, BYSTANDER));
  ck_assert (!is_quarantined (0, CULPRIT));
  crash (0, CULPRIT, 4);
  ck_assert (is_quarantined (0, CULPRIT));
  end_reviews ();
  ck_assert (is_quarantined (0, CULPRIT));
  ck_assert (!is_quarantined (0, BYSTANDER));
}
END_TEST

/* Guards against blaming a request for three crashes that its node observes
 * itself, before the peers have reported that another one ran there too. */
START_TEST (test_culprit_at_peers)
{
  for (uint32_t i = 1; i <= 3; i++)
    {
      crash (0, BYSTANDER, i);
      crash (1, CULPRIT, i);
    }
  crash (2, CULPRIT, 4);
  now_ms += 20;
  for (int n = 1; n < NODES; n++)
    {
      send_update (n, 0);
      send_update (0, n);
    }
  end_reviews ();
  ck_assert (!is_quarantined (0, BYSTANDER));
  ck_assert (is_quarantined (0, CULPRIT));
  send_update (0, 1);
  ck_assert (is_quarantined (1, CULPRIT));
  ck_assert (!is_quarantined (1, BYSTANDER));
}
END_TEST

/* Guards against missing the culprit's crash at an endpoint whose end only
 * another node has observed. */
START_TEST (test_peer_observes_end)
{
  for (uint32_t i = 1; i <= 4; i++)
    {
      beryl_quarantine_run_broken (nodes[1].quarantine, CULPRIT, i, now_ms);
      if (i > 1)
        beryl_quarantine_endpoint_ended (nodes[1].quarantine, i, now_ms);
    }
  for (uint32_t i = 1; i <= 3; i++)
    crash (0, BYSTANDER, i);
  now_ms += 20;
  send_update (0, 1);
  send_update (1, 0);
  end_reviews ();
  ck_assert (!is_quarantined (0, BYSTANDER));
  ck_assert (!is_quarantined (1, BYSTANDER));
  ck_assert (is_quarantined (0, CULPRIT));
  ck_assert (is_quarantined (1, CULPRIT));
}
END_TEST

/* Guards against judging a request whose review ends first, while one that
 * explains all its crashes is still under review. */
START_TEST (test_reviews_end_apart)
{
  for (uint32_t i = 1; i <= 4; i++)
    crash (0, BYSTANDER, i);
  now_ms += 100;
  for (uint32_t i = 1; i <= 5; i++)
    crash (1, CULPRIT, i);
  send_update (1, 0);
  now_ms += 200;
  beryl_quarantine_expire (nodes[0].quarantine, now_ms);
  ck_assert (is_quarantined (0, CULPRIT));
  ck_assert (!is_quarantined (0, BYSTANDER));
}
END_TEST

/* Guards against quarantining both of two requests that ran at the same
 * endpoints when one of them explains all crashes of the other. */
START_TEST (test_most_crashes_first)
{
  for (uint32_t i = 1; i <= 4; i++)
    {
      beryl_quarantine_run_broken (nodes[0].quarantine, BYSTANDER, i, now_ms);
      crash (0, CULPRIT, i);
    }
  crash (0, CULPRIT, 5);
  end_reviews ();
  ck_assert (is_quarantined (0, CULPRIT));
  ck_assert (!is_quarantined (0, BYSTANDER));
}
END_TEST

/* Guards against adding up crashes from before and after a successful answer.
 */
START_TEST (test_answered_in_between)
{
  crash (0, BYSTANDER, 1);
  crash (0, BYSTANDER, 2);
  send_update (0, 1);
  beryl_quarantine_run_answered (nodes[0].quarantine, BYSTANDER, now_ms);
  send_update (0, 1);
  crash (0, BYSTANDER, 3);
  crash (1, BYSTANDER, 3);
  ck_assert (!is_quarantined (0, BYSTANDER));
  ck_assert (!is_quarantined (1, BYSTANDER));
}
END_TEST

/* Guards against refusing a wrongly quarantined request after an endpoint has
 * answered it. */
START_TEST (test_answer_ends_quarantine)
{
  for (uint32_t i = 1; i <= 3; i++)
    crash (0, BYSTANDER, i);
  end_reviews ();
  send_update (0, 1);
  ck_assert (is_quarantined (1, BYSTANDER));
  now_ms += 2000;
  beryl_quarantine_run_answered (nodes[1].quarantine, BYSTANDER, now_ms);
  send_update (1, 0);
  ck_assert (!is_quarantined (0, BYSTANDER));
  /* Outdated reports of peers do not restore the quarantine. */
  send_update (0, 1);
  ck_assert (!is_quarantined (1, BYSTANDER));
  ck_assert (!beryl_quarantine_record_read (nodes[1].quarantine, BYSTANDER,
                                            1000, now_ms));
}
END_TEST

/* Guards against quarantining a request that many callers send, and that
 * therefore ran at all endpoints of a failing rack. */
START_TEST (test_popular_request)
{
  beryl_quarantine_run_answered (nodes[0].quarantine, BYSTANDER, now_ms);
  now_ms += 1000;
  for (uint32_t i = 1; i <= 5; i++)
    {
      crash (0, BYSTANDER, i);
      crash (1, BYSTANDER, i);
    }
  ck_assert (!is_quarantined (0, BYSTANDER));
  /* Node 1 has not answered it, and learns from node 0 that it is harmless. */
  ck_assert (is_quarantined (1, BYSTANDER));
  send_update (1, 0);
  ck_assert (!is_quarantined (0, BYSTANDER));
  send_update (0, 1);
  ck_assert (!is_quarantined (1, BYSTANDER));
  send_update (1, 0);
  ck_assert (!is_quarantined (0, BYSTANDER));
}
END_TEST

/* Guards against ignoring the stored records after a restart of all nodes. */
START_TEST (test_stored_record)
{
  ck_assert (beryl_quarantine_record_read (nodes[0].quarantine, CULPRIT, 50000,
                                           now_ms));
  beryl_quarantine_records_synced (nodes[0].quarantine, now_ms);
  ck_assert (is_quarantined (0, CULPRIT));
  ck_assert_int_eq (nodes[0].cause, BERYL_QUARANTINE_STORED);
}
END_TEST

/* Guards against refusing a request whose record an operator has deleted. */
START_TEST (test_lifted)
{
  for (uint32_t i = 1; i <= 3; i++)
    crash (0, CULPRIT, i);
  end_reviews ();
  /* Not stored yet: its absence from the list means nothing. */
  beryl_quarantine_records_synced (nodes[0].quarantine, now_ms);
  ck_assert (is_quarantined (0, CULPRIT));
  beryl_quarantine_record_read (nodes[0].quarantine, CULPRIT, 50000, now_ms);
  beryl_quarantine_records_synced (nodes[0].quarantine, now_ms);
  ck_assert (is_quarantined (0, CULPRIT));
  send_update (0, 1);
  beryl_quarantine_records_synced (nodes[0].quarantine, now_ms);
  ck_assert (!is_quarantined (0, CULPRIT));
  ck_assert_int_eq (nodes[0].cause, BERYL_QUARANTINE_LIFTED);
  send_update (0, 1);
  ck_assert (!is_quarantined (1, CULPRIT));
}
END_TEST

/* Guards against three more crashes by a request that is allowed again after
 * its quarantine expired. */
START_TEST (test_retry_after_expiry)
{
  for (uint32_t i = 1; i <= 3; i++)
    crash (0, CULPRIT, i);
  end_reviews ();
  now_ms += INT64_C (25) * 3600 * 1000;
  beryl_quarantine_expire (nodes[0].quarantine, now_ms);
  ck_assert (!is_quarantined (0, CULPRIT));
  ck_assert_int_eq (nodes[0].cause, BERYL_QUARANTINE_EXPIRED);
  crash (0, CULPRIT, 9);
  ck_assert (is_quarantined (0, CULPRIT));
}
END_TEST

/* Guards against evicting quarantined requests, and against unbounded memory,
 * when many requests crash. */
START_TEST (test_many_suspects)
{
  for (uint32_t i = 1; i <= 3; i++)
    crash (0, CULPRIT, i);
  for (uint64_t i = 0; i < 5000; i++)
    crash (0, 1000 + i, 10 + (uint32_t)i % 7);
  ck_assert (is_quarantined (0, CULPRIT));
  end_reviews ();
  for (uint64_t i = 0; i < 5000; i++)
    crash (0, 1000 + i, 10 + (uint32_t)i % 7);
  ck_assert (is_quarantined (0, CULPRIT));
  ck_assert_uint_le (beryl_quarantine_suspect_count (nodes[0].quarantine),
                     512);
}
END_TEST

/* Guards against quarantines that are never announced when there are more than
 * a message holds. */
START_TEST (test_many_quarantined)
{
  for (uint64_t i = 0; i < 100; i++)
    for (uint32_t k = 0; k < 3; k++)
      crash (0, 1000 + i, (uint32_t)(10 * i) + k);
  end_reviews ();
  ck_assert_uint_eq (beryl_quarantine_count (nodes[0].quarantine), 100);
  now_ms += 10000;
  for (int i = 0; i < 7; i++)
    send_update (0, 1);
  ck_assert_uint_eq (beryl_quarantine_count (nodes[1].quarantine), 100);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("quarantine");
  TCase *tcase = tcase_create ("quarantine");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_third_crash);
  tcase_add_test (tcase, test_one_crash_counts_once);
  tcase_add_test (tcase, test_broken_connections);
  tcase_add_test (tcase, test_crashes_at_different_nodes);
  tcase_add_test (tcase, test_late_joining_node);
  tcase_add_test (tcase, test_explained_crashes);
  tcase_add_test (tcase, test_same_three_endpoints);
  tcase_add_test (tcase, test_culprit_at_peers);
  tcase_add_test (tcase, test_peer_observes_end);
  tcase_add_test (tcase, test_reviews_end_apart);
  tcase_add_test (tcase, test_most_crashes_first);
  tcase_add_test (tcase, test_answered_in_between);
  tcase_add_test (tcase, test_answer_ends_quarantine);
  tcase_add_test (tcase, test_popular_request);
  tcase_add_test (tcase, test_stored_record);
  tcase_add_test (tcase, test_lifted);
  tcase_add_test (tcase, test_retry_after_expiry);
  tcase_add_test (tcase, test_many_suspects);
  tcase_add_test (tcase, test_many_quarantined);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
