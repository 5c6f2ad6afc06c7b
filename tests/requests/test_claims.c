/* Tests of the claim log with one failure at a time; test_history.c combines
 * them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/claims.h"
#include "store.h"
#include "../suite.h"

#define CALLS_MAX 64
#define DELETE_AFTER_MS 1000
#define RETENTION_MS 20000

enum operation
{
  OPERATION_LIST,
  OPERATION_GET,
  OPERATION_CREATE,
  OPERATION_REMOVE,
};

struct call
{
  uint64_t id;
  enum operation operation;
  char name[64];
  char *value;
};

/* A home node and its calls to the object API, which wait until the test
 * serves them. */
struct home
{
  struct beryl_claims_owner base;
  struct beryl_claims *claims;
  struct call calls[CALLS_MAX];
  int call_count;
  enum beryl_claim_result results[CALLS_MAX]; /* by request */
  uint64_t grantees[CALLS_MAX];
  bool ended[CALLS_MAX];
};

static struct store *objects;
static struct home a, b;
static int64_t now_ms;
/* Both nodes consider themselves home and send no messages, except in some
 * tests. */
static bool sends_allowed;
static struct beryl_claim_message last_message;

static void
on_result (struct beryl_claims_owner *owner, uint64_t request,
           enum beryl_claim_result result, uint64_t incarnation)
{
  struct home *home = (struct home *)owner;

  ck_assert (!home->ended[request]);
  home->ended[request] = true;
  home->results[request] = result;
  home->grantees[request] = incarnation;
}

static void
on_send (struct beryl_claims_owner *owner, const char *node,
         const struct beryl_claim_message *message)
{
  ck_assert (sends_allowed);
  last_message = *message;
}

static void
add_call (struct beryl_claims_owner *owner, enum operation operation,
          uint64_t id, const char *name, const char *value)
{
  struct home *home = (struct home *)owner;
  struct call *call = &home->calls[home->call_count++];

  call->id = id;
  call->operation = operation;
  snprintf (call->name, sizeof call->name, "%s", name);
  call->value = value != NULL ? strdup (value) : NULL;
}

static void
on_list (struct beryl_claims_owner *owner, uint64_t call, const char *prefix)
{
  add_call (owner, OPERATION_LIST, call, prefix, NULL);
}

static void
on_get (struct beryl_claims_owner *owner, uint64_t call, const char *name)
{
  add_call (owner, OPERATION_GET, call, name, NULL);
}

static void
on_create (struct beryl_claims_owner *owner, uint64_t call, const char *name,
           const char *value, size_t value_bytes, const char *nonce)
{
  add_call (owner, OPERATION_CREATE, call, name, value);
}

static void
on_remove (struct beryl_claims_owner *owner, uint64_t call, const char *name)
{
  add_call (owner, OPERATION_REMOVE, call, name, NULL);
}

static const struct beryl_claims_owner_impl impl = {
  .result = on_result,
  .send = on_send,
  .list = on_list,
  .get = on_get,
  .create = on_create,
  .remove = on_remove,
};

static struct beryl_object found[CALLS_MAX];
static size_t found_count;

static bool
collect (void *user, const struct store_revision *revision)
{
  found[found_count++]
      = (struct beryl_object){ .name = revision->name,
                               .value = revision->value,
                               .value_bytes = revision->value_bytes };
  return true;
}

/* Removes the oldest call of HOME. */
static struct call
take_call (struct home *home)
{
  struct call call = home->calls[0];

  ck_assert_int_gt (home->call_count, 0);
  memmove (&home->calls[0], &home->calls[1],
           (size_t)--home->call_count * sizeof call);
  return call;
}

/* Applies a write and returns the result that its reply would carry. */
static enum beryl_error_code
apply_write (struct call *call)
{
  uint64_t version = 0;
  enum store_status status;

  if (call->operation == OPERATION_REMOVE)
    status = store_delete (objects, BERYL_CLAIMS_KIND, call->name,
                           STORE_IF_ANY, &version, now_ms);
  else
    status
        = store_put (objects, BERYL_CLAIMS_KIND, call->name, STORE_IF_ABSENT,
                     &version, call->value, strlen (call->value), now_ms);
  free (call->value);
  if (status == STORE_ABSENT)
    return BERYL_ERROR_NOT_FOUND;
  return status == STORE_OK ? BERYL_OK : BERYL_ERROR_CONFLICT;
}

/* Fails the oldest call with CODE, without any effect. */
static void
refuse (struct home *home, enum beryl_error_code code)
{
  struct call call = take_call (home);

  free (call.value);
  if (call.operation == OPERATION_LIST || call.operation == OPERATION_GET)
    beryl_claims_read_done (home->claims, call.id, code, NULL, 0, now_ms);
  else
    beryl_claims_write_done (home->claims, call.id, code, now_ms);
}

static void
serve_one (struct home *home)
{
  struct call call = take_call (home);
  enum beryl_error_code code = BERYL_OK;

  found_count = 0;
  if (call.operation == OPERATION_CREATE || call.operation == OPERATION_REMOVE)
    {
      beryl_claims_write_done (home->claims, call.id, apply_write (&call),
                               now_ms);
      return;
    }
  store_list (objects, BERYL_CLAIMS_KIND, call.name, "", now_ms, collect,
              NULL);
  if (call.operation == OPERATION_GET && found_count == 0)
    code = BERYL_ERROR_NOT_FOUND;
  if (call.operation == OPERATION_GET && found_count > 0)
    found_count = 1;
  beryl_claims_read_done (home->claims, call.id, code, found, found_count,
                          now_ms);
}

static void
advance (struct home *home, int64_t ms)
{
  for (int64_t end_ms = now_ms + ms; now_ms < end_ms; now_ms += 10)
    {
      beryl_claims_tick (home->claims, now_ms);
      while (home->call_count > 0)
        serve_one (home);
    }
}

static void
claim (struct home *home, uint64_t request, const char *key)
{
  beryl_claims_claim (home->claims, request, "permits", key, 1, now_ms);
}

static void
home_start (struct home *home, const char *node, uint64_t incarnation)
{
  struct beryl_claims_settings settings = {
    .node = node,
    .incarnation = incarnation,
    .seed = 1,
    .shards = 1,
    .retention_ms = RETENTION_MS,
    .delete_after_ms = DELETE_AFTER_MS,
    .compact_min_segments = 4,
  };

  memset (home, 0, sizeof *home);
  home->base.impl = &impl;
  home->claims = beryl_claims_create (&settings, &home->base);
  beryl_claims_set_members (home->claims, &node, 1, now_ms);
  advance (home, 50);
}

static void
setup (void)
{
  now_ms = 100000;
  objects = store_create ();
  home_start (&a, "a", 1);
  home_start (&b, "b", 2);
}

static void
home_stop (struct home *home)
{
  while (home->call_count > 0)
    free (take_call (home).value);
  beryl_claims_destroy (home->claims);
}

static void
teardown (void)
{
  home_stop (&a);
  home_stop (&b);
  store_destroy (objects);
}

/* Two callers use one key within one commit interval: both would be granted it
 * if both claims were put into the same segment. */
START_TEST (one_commit_grants_a_key_once)
{
  claim (&a, 1, "warm up"); /* its write delays the next two claims */
  claim (&a, 2, "k");
  claim (&a, 3, "k");
  advance (&a, 300);
  ck_assert_int_eq (a.results[2], BERYL_CLAIM_GRANTED);
  ck_assert_int_eq (a.results[3], BERYL_CLAIM_TAKEN);
  ck_assert_uint_eq (a.grantees[3], 1);
}
END_TEST

/* Two nodes consider themselves home and write the same number.  The loser
 * must learn what the winner was granted before it grants anything. */
START_TEST (create_conflict_is_read_before_the_next_write)
{
  claim (&a, 1, "k");
  claim (&b, 1, "k");
  claim (&b, 2, "other");
  serve_one (&a);
  ck_assert_int_eq (a.results[1], BERYL_CLAIM_GRANTED);
  advance (&b, 300);
  ck_assert_int_eq (b.results[1], BERYL_CLAIM_TAKEN);
  ck_assert_uint_eq (b.grantees[1], 1);
  ck_assert_int_eq (b.results[2], BERYL_CLAIM_GRANTED);
  ck_assert_uint_eq (beryl_claims_counts (b.claims)->create_conflicts, 1);
}
END_TEST

/* A write takes effect and its reply is lost.  The claim belongs to this node,
 * and the caller must be told so. */
START_TEST (lost_reply_is_resolved_by_reading)
{
  struct call call;

  claim (&a, 1, "k");
  call = take_call (&a);
  ck_assert_int_eq (apply_write (&call), BERYL_OK);
  beryl_claims_write_done (a.claims, call.id, BERYL_ERROR_UNKNOWN, now_ms);
  ck_assert (!a.ended[1]);
  advance (&a, 500);
  ck_assert (a.ended[1]);
  ck_assert_uint_eq (a.grantees[1], 1);
  ck_assert (a.results[1] == BERYL_CLAIM_GRANTED
             || a.results[1] == BERYL_CLAIM_TAKEN);
}
END_TEST

/* A write's reply is lost, and the segment at that number is another node's:
 * the conflict of the second attempt looks like this node's own write. */
START_TEST (conflict_after_a_lost_reply_grants_nothing)
{
  claim (&a, 1, "k");
  refuse (&a, BERYL_ERROR_UNKNOWN); /* the write had no effect */
  claim (&b, 1, "k");
  advance (&b, 300);
  ck_assert_int_eq (b.results[1], BERYL_CLAIM_GRANTED);
  advance (&a, 500);
  ck_assert_int_eq (a.results[1], BERYL_CLAIM_TAKEN);
  ck_assert_uint_eq (a.grantees[1], 2);
}
END_TEST

/* The object API becomes unavailable.  A home that has just been the only
 * writer knows that a key is new, and which keys it has granted; another home
 * does not. */
START_TEST (outage_result_depends_on_what_is_known)
{
  advance (&a, 2000);
  claim (&a, 1, "old");
  advance (&a, 100);
  claim (&a, 2, "new");
  refuse (&a, BERYL_ERROR_UNAVAILABLE);
  ck_assert_int_eq (a.results[2], BERYL_CLAIM_UNAVAILABLE);
  claim (&a, 3, "old");
  ck_assert_int_eq (a.results[3], BERYL_CLAIM_TAKEN);
  claim (&b, 1, "old");
  refuse (&b, BERYL_ERROR_UNAVAILABLE);
  ck_assert_int_eq (b.results[1], BERYL_CLAIM_UNKNOWN);
}
END_TEST

/* A home is suspended while another one takes over, and the object API is
 * unavailable when it resumes: its old view must not report "not run" for a
 * key. */
START_TEST (resumed_home_reports_unknown_in_an_outage)
{
  advance (&a, 2000);
  claim (&a, 1, "x");
  advance (&a, 100);
  claim (&b, 1, "k");
  advance (&b, 300);
  ck_assert_int_eq (b.results[1], BERYL_CLAIM_GRANTED);
  now_ms += 3000;
  beryl_claims_tick (a.claims, now_ms);
  claim (&a, 2, "k");
  while (a.call_count > 0)
    refuse (&a, BERYL_ERROR_UNAVAILABLE);
  ck_assert_int_eq (a.results[2], BERYL_CLAIM_UNKNOWN);
}
END_TEST

static void
write_many (struct home *home, int count)
{
  char key[32];

  for (int i = 0; i < count; i++)
    {
      snprintf (key, sizeof key, "key-%d", i);
      claim (home, (uint64_t)i + 10, key);
      advance (home, 100);
      ck_assert_int_eq (home->results[i + 10], BERYL_CLAIM_GRANTED);
    }
}

/* Node A is suspended with a write in flight.  B takes over, compacts and
 * deletes, so that A's number is free again.  A's write then succeeds and must
 * grant nothing. */
START_TEST (write_to_a_deleted_number_grants_nothing)
{
  struct call call;

  claim (&a, 2, "first");
  advance (&a, 100);
  claim (&a, 1, "key-5");
  call = take_call (&a);
  write_many (&b, 8);
  advance (&b, DELETE_AFTER_MS * 12);
  ck_assert_uint_gt (beryl_claims_counts (b.claims)->deleted, 4);
  ck_assert_int_eq (apply_write (&call), BERYL_OK);
  beryl_claims_write_done (a.claims, call.id, BERYL_OK, now_ms);
  ck_assert (!a.ended[1]);
  advance (&a, 300);
  ck_assert_int_eq (a.results[1], BERYL_CLAIM_TAKEN);
  ck_assert_uint_eq (a.grantees[1], 2);
}
END_TEST

/* Compaction must lose no key: a node that starts later reads only the
 * compacted segment and those after it. */
START_TEST (compacted_keys_are_known_to_a_new_node)
{
  write_many (&a, 8);
  advance (&a, DELETE_AFTER_MS * 12);
  ck_assert_uint_gt (beryl_claims_counts (a.claims)->deleted, 4);
  home_stop (&b);
  home_start (&b, "b", 3);
  claim (&b, 1, "key-1");
  claim (&b, 2, "key-7");
  advance (&b, 300);
  ck_assert_int_eq (b.results[1], BERYL_CLAIM_TAKEN);
  ck_assert_int_eq (b.results[2], BERYL_CLAIM_TAKEN);
}
END_TEST

START_TEST (keys_expire_after_the_retention)
{
  write_many (&a, 8);
  advance (&a, RETENTION_MS + DELETE_AFTER_MS * 8);
  ck_assert_uint_le (beryl_claims_counts (a.claims)->keys, 1);
}
END_TEST

/* Pages of a list come from replicas with different lag, so that a segment
 * seems to be missing in the middle.  Nothing may be written then, since the
 * missing number may become free. */
START_TEST (list_with_a_gap_is_not_extended)
{
  uint64_t version = 0;

  write_many (&a, 5);
  home_stop (&b);
  store_delete (objects, BERYL_CLAIMS_KIND, "s000-0000000002", STORE_IF_ANY,
                &version, now_ms);
  home_start (&b, "b", 3);
  claim (&b, 1, "new");
  advance (&b, 3000);
  ck_assert (!b.ended[1]);
  ck_assert_uint_eq (beryl_claims_counts (b.claims)->segments, 0);
}
END_TEST

/* Node b's process dies with a request in flight and restarts; its request ids
 * start from 1 again.  The home's late reply to the dead process carries the
 * id of a new request for another key, which it must not grant. */
START_TEST (late_reply_to_a_dead_process_grants_nothing)
{
  const char *nodes[] = { "a", "b" };
  struct beryl_claim_message reply = { .type = BERYL_CLAIM_REPLY,
                                       .id = 1,
                                       .key_high = 5,
                                       .key_low = 6,
                                       .call_hash = 1,
                                       .incarnation = 1,
                                       .result = BERYL_CLAIM_GRANTED };

  beryl_claims_set_members (b.claims, nodes, 2, now_ms);
  if (strcmp (beryl_claims_home (b.claims, 0), "a") != 0)
    beryl_claims_set_members (b.claims, nodes, 1, now_ms);
  sends_allowed = true;
  claim (&b, 1, "k");
  beryl_claims_handle_message (b.claims, "a", &reply, now_ms);
  ck_assert (!b.ended[1]);
  ck_assert_uint_eq (last_message.id, 1);
  reply = last_message;
  reply.type = BERYL_CLAIM_REPLY;
  reply.result = BERYL_CLAIM_GRANTED;
  beryl_claims_handle_message (b.claims, "a", &reply, now_ms);
  ck_assert_int_eq (b.results[1], BERYL_CLAIM_GRANTED);
}
END_TEST

/* A home is suspended, replaced by another one, and resumes with a call
 * queued.  If it wrote the claim at once, the new home would not know it and,
 * in an outage, would report "not run" for the key.  It waits for the member
 * list and forwards the claim. */
START_TEST (resumed_home_forwards_its_claims)
{
  const char *others[] = { "b" };

  now_ms += 3000;
  sends_allowed = true;
  claim (&a, 1, "k");
  serve_one (&a); /* it reads the log again, since its view is outdated */
  ck_assert_int_eq (a.call_count, 0);
  now_ms += 50;
  beryl_claims_set_members (a.claims, others, 1, now_ms);
  now_ms += 100;
  beryl_claims_tick (a.claims, now_ms);
  ck_assert_int_eq (a.call_count, 0);
  ck_assert_int_eq (last_message.type, BERYL_CLAIM_REQUEST);
  ck_assert (!a.ended[1]);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("claims");
  TCase *tcase = tcase_create ("claims");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, one_commit_grants_a_key_once);
  tcase_add_test (tcase, create_conflict_is_read_before_the_next_write);
  tcase_add_test (tcase, lost_reply_is_resolved_by_reading);
  tcase_add_test (tcase, conflict_after_a_lost_reply_grants_nothing);
  tcase_add_test (tcase, outage_result_depends_on_what_is_known);
  tcase_add_test (tcase, resumed_home_reports_unknown_in_an_outage);
  tcase_add_test (tcase, write_to_a_deleted_number_grants_nothing);
  tcase_add_test (tcase, compacted_keys_are_known_to_a_new_node);
  tcase_add_test (tcase, keys_expire_after_the_retention);
  tcase_add_test (tcase, list_with_a_gap_is_not_extended);
  tcase_add_test (tcase, resumed_home_forwards_its_claims);
  tcase_add_test (tcase, late_reply_to_a_dead_process_grants_nothing);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
