#include <stdlib.h>
#include <string.h>

#include "wire/peer.h"
#include "../suite.h"

static struct frame_writer *writer;
static struct frame *frame;

static void
setup (void)
{
  writer = frame_writer_create (PEER_HELLO);
}

static void
teardown (void)
{
  frame_writer_destroy (writer);
  frame_destroy (frame);
  frame = NULL;
}

static bool
round_trip (const struct peer_message *message, struct peer_message *read)
{
  const void *bytes;
  size_t bytes_count;

  frame_destroy (frame);
  peer_put (writer, message);
  bytes = frame_writer_finish (writer, &bytes_count);
  ck_assert_ptr_nonnull (bytes);
  frame = frame_parse (bytes, bytes_count, NULL);
  ck_assert_ptr_nonnull (frame);
  return peer_read (frame, read);
}

START_TEST (forwarded_call_arrives_whole)
{
  struct peer_message message = { .type = PEER_FORWARD, .id = 9 }, read;
  struct beryl_call call = {
    .request_id = "r1",
    .organisation = "permits",
    .service = "letters",
    .method = "POST",
    .path = "/x?y=1",
    .body = "a\0b",
    .body_bytes = 3,
    .key_kind = BERYL_KEY_BOUND,
    .key = "k1",
    .key_incarnation = UINT64_MAX,
    .deadline_ms = 5000,
    .prompt = "hello",
    .prompt_bytes = 5,
    .stream = true,
  };
  struct beryl_call got;

  peer_forward_from_call (&message.forward, &call, 1000);
  ck_assert (round_trip (&message, &read));
  ck_assert_uint_eq (read.id, 9);
  peer_forward_to_call (&read.forward, 77, &got, 200);
  ck_assert_uint_eq (got.request, 77);
  ck_assert (got.forwarded);
  ck_assert (got.stream);
  ck_assert_int_eq (got.deadline_ms, 4200);
  ck_assert_uint_eq (got.key_incarnation, UINT64_MAX);
  ck_assert_str_eq (got.key, "k1");
  ck_assert_str_eq (got.path, "/x?y=1");
  ck_assert_uint_eq (got.body_bytes, 3);
  ck_assert (memcmp (got.body, "a\0b", 3) == 0);
  ck_assert_uint_eq (got.prompt_bytes, 5);
  ck_assert_ptr_null (got.content_type);
}
END_TEST

START_TEST (call_without_deadline_keeps_none)
{
  struct peer_message message = { .type = PEER_FORWARD }, read;
  struct beryl_call call = { .request_id = "r1",
                             .organisation = "permits",
                             .service = "letters",
                             .deadline_ms = INT64_MAX };
  struct beryl_call got;

  peer_forward_from_call (&message.forward, &call, 1000);
  ck_assert (round_trip (&message, &read));
  peer_forward_to_call (&read.forward, 1, &got, 999);
  ck_assert_int_eq (got.deadline_ms, INT64_MAX);
}
END_TEST

START_TEST (other_messages_arrive_whole)
{
  struct peer_message message = { .type = PEER_CLAIM }, read;

  message.claim
      = (struct beryl_claim_message){ BERYL_CLAIM_REPLY, 5, 1, 2, 3, 4,
                                      BERYL_CLAIM_TAKEN };
  ck_assert (round_trip (&message, &read));
  ck_assert_int_eq (read.claim.type, BERYL_CLAIM_REPLY);
  ck_assert_uint_eq (read.claim.id, 5);
  ck_assert_uint_eq (read.claim.key_high, 1);
  ck_assert_uint_eq (read.claim.key_low, 2);
  ck_assert_uint_eq (read.claim.call_hash, 3);
  ck_assert_uint_eq (read.claim.incarnation, 4);
  ck_assert_int_eq (read.claim.result, BERYL_CLAIM_TAKEN);
  message = (struct peer_message){ .type = PEER_DATA, .id = 3 };
  message.data = (struct peer_data){ 7, "xyz", 3, 2 };
  ck_assert (round_trip (&message, &read));
  ck_assert_uint_eq (read.data.offset, 7);
  ck_assert (memcmp (read.data.bytes, "xyz", 3) == 0);
  message = (struct peer_message){ .type = PEER_ERROR, .id = 3 };
  message.error.problem = BERYL_PROBLEM_KEY_ANSWERED;
  message.error.outcome = BERYL_OUTCOME_ANSWERED;
  strcpy (message.error.detail, "answered");
  ck_assert (round_trip (&message, &read));
  ck_assert_int_eq (read.error.problem, BERYL_PROBLEM_KEY_ANSWERED);
  ck_assert_str_eq (read.error.detail, "answered");
  message = (struct peer_message){ .type = PEER_END, .id = 4 };
  message.end = (struct peer_end){ "stop", 10, 11, 12 };
  ck_assert (round_trip (&message, &read));
  ck_assert_uint_eq (read.end.answer_bytes, 10);
  ck_assert_str_eq (read.end.finish_reason, "stop");
  message = (struct peer_message){ .type = PEER_CALLER_GONE, .id = 8 };
  ck_assert (round_trip (&message, &read));
  ck_assert_uint_eq (read.id, 8);
}
END_TEST

/* A faulty node sends an outcome that does not exist; taken as a plain number
 * it would be reported to a caller as another outcome. */
START_TEST (impossible_values_are_refused)
{
  struct peer_message message = { .type = PEER_ERROR, .id = 3 }, read;

  message.error.outcome = (enum beryl_outcome)99;
  ck_assert (!round_trip (&message, &read));
  message = (struct peer_message){ .type = PEER_CLAIM };
  message.claim.result = (enum beryl_claim_result)17;
  message.claim.type = BERYL_CLAIM_REQUEST;
  ck_assert (!round_trip (&message, &read));
  message.claim.result = BERYL_CLAIM_GRANTED;
  message.claim.type = (enum beryl_claim_message_type)0;
  ck_assert (!round_trip (&message, &read));
  message = (struct peer_message){ .type = PEER_FORWARD };
  strcpy (message.forward.request_id, "r");
  message.forward.key_kind = BERYL_KEY_BOUND;
  ck_assert (!round_trip (&message, &read));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("peer");
  TCase *tcase = tcase_create ("peer");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, forwarded_call_arrives_whole);
  tcase_add_test (tcase, call_without_deadline_keeps_none);
  tcase_add_test (tcase, other_messages_arrive_whole);
  tcase_add_test (tcase, impossible_values_are_refused);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
