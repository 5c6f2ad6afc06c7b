#include <check.h>
#include <string.h>

#include "../suite.h"
#include "model.h"

/* Each test runs with this many seeds, since engines are chosen at random. */
#define SEEDS 12
/* Time after which the node has seen all versions that a stream which is
   still open may have begun at. */
#define SETTLED_MS 120000

/* Decode engines "a0" to "a2" of one version and "b0" to "b5" of another, and
   prefill engines of both. */
static void
two_versions (uint64_t seed)
{
  static const char *const first[] = { "a0", "a1", "a2" };
  static const char *const second[] = { "b0", "b1", "b2", "b3", "b4", "b5" };

  fx_close (&fx);
  fx_open_seeded (&fx, &terms, seed);
  fx_versioned (&fx, "pa", BERYL_STAGE_PREFILL, "v1");
  fx_versioned (&fx, "pb", BERYL_STAGE_PREFILL, "v2");
  for (size_t i = 0; i < G_N_ELEMENTS (first); i++)
    fx_versioned (&fx, first[i], BERYL_STAGE_DECODE, "v1");
  for (size_t i = 0; i < G_N_ELEMENTS (second); i++)
    fx_versioned (&fx, second[i], BERYL_STAGE_DECODE, "v2");
}

/* Removes all decode engines except KEPT. */
static void
keep_only (const char *kept)
{
  static const char *const ids[]
      = { "a0", "a1", "a2", "b0", "b1", "b2", "b3", "b4", "b5" };

  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    if (strcmp (ids[i], kept) != 0)
      fx_remove (&fx, ids[i]);
}

/* Refuses the reservations of REQUEST for MS; fails if one is asked for at an
   engine of another version than that of ENGINE. */
static void
assert_asks_like (const char *engine, uint64_t request, int64_t ms)
{
  for (int64_t end_ms = fx.now_ms + ms; fx.now_ms < end_ms;)
    {
      struct fx_exchange *x
          = fx_open_of (&fx, request, BERYL_EXCHANGE_RESERVE);

      if (x == NULL)
        {
          fx_pass (&fx, 10);
          continue;
        }
      ck_assert_int_eq (x->endpoint[0], engine[0]);
      fx_refused (&fx, x);
    }
}

/* Guards against a stream whose run breaks off and that goes on at an engine
   of another version. */
START_TEST (test_broken_run)
{
  struct fx_exchange *run;

  two_versions ((uint64_t)_i + 1);
  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  fx_broken (&fx, run, BERYL_FAILURE_RESET, true);
  assert_asks_like (run->endpoint, 1, 500);
}
END_TEST

/* Guards against the same with a stream whose engine has fallen silent. */
START_TEST (test_silent_engine)
{
  struct fx_exchange *run;

  two_versions ((uint64_t)_i + 1);
  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  fx_pass (&fx, 1000);
  assert_asks_like (run->endpoint, 1, 1500);
}
END_TEST

/* Guards against a run that is moved to an engine of another version because
   its own leaves. */
START_TEST (test_moved_run)
{
  two_versions ((uint64_t)_i + 1);
  for (uint64_t request = 1; request <= 6; request++)
    {
      struct fx_exchange *run, *move;

      fx_arrive (&fx, request);
      run = fx_to_stream (&fx, request, 2);
      fx_leaving (&fx, run->endpoint);
      fx_pass (&fx, 200);
      move = fx_open_of (&fx, request, BERYL_EXCHANGE_MOVE);
      if (move != NULL)
        ck_assert_int_eq (move->target[0], run->endpoint[0]);
    }
}
END_TEST

/* Guards against a stream that goes on at another version because its own has
   no engine left; its caller learns at once that it ends. */
START_TEST (test_last_engine_of_version)
{
  struct fx_exchange *run;

  two_versions ((uint64_t)_i + 1);
  keep_only ("a0");
  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  ck_assert_str_eq (run->endpoint, "a0");
  fx_versioned (&fx, "b0", BERYL_STAGE_DECODE, "v2");
  fx_remove (&fx, "a0");
  fx_broken (&fx, run, BERYL_FAILURE_CLOSED, true);
  ck_assert_ptr_null (fx_open_of (&fx, 1, BERYL_EXCHANGE_RESERVE));
  ck_assert (answer (1)->cut);
}
END_TEST

/* Guards against a stream of a version without other engines that is not
   finished by the leaving engine which may still serve it. */
START_TEST (test_leaving_engine_is_the_last)
{
  struct fx_exchange *run;

  two_versions ((uint64_t)_i + 1);
  keep_only ("a0");
  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  fx_versioned (&fx, "b0", BERYL_STAGE_DECODE, "v2");
  fx_leaving (&fx, "a0");
  fx_pass (&fx, 200);
  fx_broken (&fx, run, BERYL_FAILURE_RESET, true);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RESERVE)->endpoint, "a0");
}
END_TEST

/* A caller's request NUMBER that resumes the stream of request FIRST. */
static void
resume (uint64_t number, uint64_t first, uint64_t last_event)
{
  struct beryl_forward_request params = fx_request_params (&fx, number);

  params.resumes = true;
  params.last_event_id = last_event;
  if (first != 0)
    g_snprintf (params.resumed_id, sizeof params.resumed_id,
                "r-%" G_GUINT64_FORMAT, first);
  beryl_forward_submit (fx.forward, &params, fx.now_ms);
}

/* Guards against a caller that takes its stream up again and gets events of
   another version; also when it does so twice. */
START_TEST (test_caller_resumes)
{
  struct fx_exchange *run;
  char version;

  two_versions ((uint64_t)_i + 1);
  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  version = run->endpoint[0];
  beryl_forward_cancel (fx.forward, 1, fx.now_ms);
  for (uint64_t again = 2; again <= 3; again++)
    {
      fx_pass (&fx, 100);
      resume (again, 1, 3);
      run = fx_to_run (&fx, again);
      ck_assert_int_eq (run->endpoint[0], version);
      fx_stream (&fx, run);
      fx_event (&fx, run, 4);
      fx_broken (&fx, run, BERYL_FAILURE_RESET, true);
      assert_asks_like (run->endpoint, again, 300);
      beryl_forward_cancel (fx.forward, again, fx.now_ms);
    }
}
END_TEST

/* Guards against a stream of unknown version that goes on at any. */
START_TEST (test_unknown_stream)
{
  two_versions ((uint64_t)_i + 1);
  fx_pass (&fx, SETTLED_MS);
  beryl_live_set_synced (fx.endpoints, fx.now_ms);
  resume (2, 1, 3);
  fx_pass (&fx, 3000);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RESERVE), 0);
  ck_assert (answer (2)->refused);
  ck_assert_uint_eq (answer (2)->refusal.status, 503);
  ck_assert (answer (2)->refusal.not_run);
}
END_TEST

/* Guards against streams of unknown version that are refused although only one
   version has served for long. */
START_TEST (test_unknown_stream_one_version)
{
  fx_close (&fx);
  fx_open_seeded (&fx, &terms, (uint64_t)_i + 1);
  fx_versioned (&fx, "pa", BERYL_STAGE_PREFILL, "v1");
  fx_versioned (&fx, "a0", BERYL_STAGE_DECODE, "v1");
  fx_pass (&fx, SETTLED_MS);
  beryl_live_set_synced (fx.endpoints, fx.now_ms);
  resume (2, 1, 3);
  for (int i = 0; i < 10; i++)
    {
      if (fx_open_of (&fx, 2, BERYL_EXCHANGE_RESERVE) != NULL)
        break;
      fx_pass (&fx, 100);
      beryl_live_set_synced (fx.endpoints, fx.now_ms);
    }
  fx_to_run (&fx, 2);
}
END_TEST

/* Guards against a prompt that was read for a stream of one version and draws
   the caller's resumption of it to another. */
START_TEST (test_cached_prompt)
{
  struct beryl_forward_request params;
  struct fx_exchange *run;
  char version;

  two_versions ((uint64_t)_i + 1);
  params = fx_request_params (&fx, 1);
  params.prompt_hash = 77;
  beryl_forward_submit (fx.forward, &params, fx.now_ms);
  run = fx_to_stream (&fx, 1, 3);
  version = run->endpoint[0];
  beryl_forward_cancel (fx.forward, 1, fx.now_ms);
  beryl_forward_prompt_cached (
      fx.forward, 77,
      beryl_live_hash (fx_find_endpoint (&fx, version == 'a' ? "b0" : "a0")),
      fx.now_ms);
  params = fx_request_params (&fx, 2);
  params.prompt_hash = 77;
  params.resumes = true;
  params.last_event_id = 3;
  g_strlcpy (params.resumed_id, "r-1", sizeof params.resumed_id);
  beryl_forward_submit (fx.forward, &params, fx.now_ms);
  assert_asks_like (run->endpoint, 2, 300);
}
END_TEST

/* Guards against the same with a stream of a service without engines. */
START_TEST (test_plain_stream)
{
  struct fx_exchange *run;
  char version;

  terms = fx_plain_terms ();
  terms.route.streaming = true;
  terms.route.resumable = true;
  two_versions ((uint64_t)_i + 1);
  fx_arrive (&fx, 1);
  run = open_of (1, BERYL_EXCHANGE_RUN);
  version = run->endpoint[0];
  if (version == 'p')
    version = run->endpoint[1];
  fx_stream (&fx, run);
  fx_event (&fx, run, 1);
  beryl_forward_cancel (fx.forward, 1, fx.now_ms);
  resume (2, 1, 1);
  for (int i = 0; i < 3; i++)
    {
      run = open_of (2, BERYL_EXCHANGE_RUN);
      ck_assert_int_eq (run->endpoint[0] == 'p' ? run->endpoint[1]
                                                : run->endpoint[0],
                        version);
      fx_not_run (&fx, run, 503);
    }
}
END_TEST

/* Lets MS pass, during which the list is confirmed again and again. */
static void
pass_in_contact (int64_t ms)
{
  for (int64_t end_ms = fx.now_ms + ms; fx.now_ms < end_ms;)
    {
      fx_pass (&fx, 500);
      beryl_live_set_synced (fx.endpoints, fx.now_ms);
    }
}

/* Opens the node with one version, which has served for long. */
static void
one_version (void)
{
  fx_close (&fx);
  fx_open (&fx, &terms);
  fx_versioned (&fx, "pa", BERYL_STAGE_PREFILL, "v1");
  fx_versioned (&fx, "a0", BERYL_STAGE_DECODE, "v1");
  fx_versioned (&fx, "a1", BERYL_STAGE_DECODE, "v1");
  pass_in_contact (SETTLED_MS);
}

/* Guards against messages for each stream while one version alone serves, and
 * against streams that peers are not told of once a second one comes, or once
 * the list falls silent. */
START_TEST (test_peers_are_told)
{
  one_version ();
  fx_arrive (&fx, 1);
  fx_to_stream (&fx, 1, 2);
  ck_assert_uint_eq (fx.told->len, 0);
  if (_i == 0)
    fx_versioned (&fx, "b0", BERYL_STAGE_DECODE, "v2");
  else
    {
      for (uint64_t event = 3; event < 200; event++)
        {
          fx_pass (&fx, 50);
          fx_event (&fx, open_of (1, BERYL_EXCHANGE_RUN), event);
        }
    }
  ck_assert_uint_eq (fx.told->len, 1);
  fx_arrive (&fx, 2);
  fx_to_stream (&fx, 2, 2);
  ck_assert_uint_eq (fx.told->len, 2);
}
END_TEST

static struct beryl_stream_answer
answer_for_last_question (void)
{
  ck_assert_uint_gt (fx.questions->len, 0);
  return (struct beryl_stream_answer){
    .stream = g_array_index (fx.questions, struct beryl_stream_question,
                             fx.questions->len - 1)
                  .stream
  };
}

static void
answer_question (const struct beryl_stream_answer *reply)
{
  beryl_forward_stream_answered (fx.forward, reply, fx.now_ms);
}

/* Guards against a stream that goes on at another version than the one that a
 * peer has recorded. */
START_TEST (test_peer_has_record)
{
  struct beryl_stream_answer reply;

  two_versions ((uint64_t)_i + 1);
  fx.peers = 2;
  resume (2, 1, 3);
  reply = answer_for_last_question ();
  answer_question (&reply);
  reply.version = beryl_live_version (fx_find_endpoint (&fx, "b0"));
  answer_question (&reply);
  assert_asks_like ("b0", 2, 300);
}
END_TEST

/* Guards against a caller that is kept waiting although no peer has a record,
 * and against one that waits for peers which do not answer. */
START_TEST (test_no_peer_has_record)
{
  struct beryl_stream_answer reply;

  two_versions (1);
  fx.peers = 2;
  resume (2, 1, 3);
  reply = answer_for_last_question ();
  if (_i == 0)
    {
      answer_question (&reply);
      answer_question (&reply);
    }
  else
    fx_pass (&fx, 2000);
  ck_assert (answer (2)->refused);
  ck_assert (answer (2)->refusal.not_run);
  ck_assert_int_gt (answer (2)->refusal.retry_after_ms, 0);
  answer_question (&reply);
}
END_TEST

/* Guards against a version that is inferred although a peer has seen another
   one, no peer has seen the list for long, or the list was not confirmed since
   the request came. */
START_TEST (test_version_inferred_from_peers)
{
  enum
  {
    INFERRED,
    CONTRADICTED,
    PEERS_ARE_NEW,
    LIST_NOT_CONFIRMED,
  };
  struct beryl_stream_answer reply;

  fx_close (&fx);
  fx_open (&fx, &terms);
  fx_versioned (&fx, "pa", BERYL_STAGE_PREFILL, "v1");
  fx_versioned (&fx, "a0", BERYL_STAGE_DECODE, "v1");
  fx.peers = 3;
  resume (2, 1, 3);
  fx_pass (&fx, 50);
  if (_i != LIST_NOT_CONFIRMED)
    beryl_live_set_synced (fx.endpoints, fx.now_ms);
  reply = answer_for_last_question ();
  if (_i != PEERS_ARE_NEW)
    reply.sole_version = beryl_live_version (fx_find_endpoint (&fx, "a0"));
  answer_question (&reply);
  reply.several_versions = _i == CONTRADICTED;
  answer_question (&reply);
  reply.several_versions = false;
  answer_question (&reply);
  fx_pass (&fx, 2000);
  if (_i == INFERRED)
    open_of (2, BERYL_EXCHANGE_RESERVE);
  else
    ck_assert (answer (2)->refused);
}
END_TEST

/* Guards against a peer that is told the version of another stream, or of
 * another service. */
START_TEST (test_question_of_peer)
{
  struct beryl_stream_answer reply;
  struct beryl_stream_question question;

  two_versions (1);
  fx_arrive (&fx, 1);
  fx_to_stream (&fx, 1, 1);
  ck_assert_uint_eq (fx.told->len, 1);
  question.stream
      = g_array_index (fx.told, struct beryl_stream_record, 0).stream;
  question.service = beryl_name_hash (FX_SERVICE);
  beryl_forward_describe_stream (fx.forward, &question, &reply, fx.now_ms);
  ck_assert_uint_ne (reply.version, 0);
  ck_assert (reply.several_versions);
  question.stream++;
  question.service++;
  beryl_forward_describe_stream (fx.forward, &question, &reply, fx.now_ms);
  ck_assert_uint_eq (reply.version, 0);
  ck_assert (!reply.several_versions);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("versions of engines");
  TCase *tcase = tcase_create ("versions");

  tcase_add_checked_fixture (tcase, model_setup, model_teardown);
  tcase_add_loop_test (tcase, test_broken_run, 0, SEEDS);
  tcase_add_loop_test (tcase, test_silent_engine, 0, SEEDS);
  tcase_add_loop_test (tcase, test_moved_run, 0, SEEDS);
  tcase_add_loop_test (tcase, test_last_engine_of_version, 0, SEEDS);
  tcase_add_loop_test (tcase, test_leaving_engine_is_the_last, 0, SEEDS);
  tcase_add_loop_test (tcase, test_caller_resumes, 0, SEEDS);
  tcase_add_loop_test (tcase, test_unknown_stream, 0, SEEDS);
  tcase_add_loop_test (tcase, test_unknown_stream_one_version, 0, 2);
  tcase_add_loop_test (tcase, test_cached_prompt, 0, SEEDS);
  tcase_add_loop_test (tcase, test_plain_stream, 0, SEEDS);
  tcase_add_loop_test (tcase, test_peers_are_told, 0, 2);
  tcase_add_loop_test (tcase, test_peer_has_record, 0, SEEDS);
  tcase_add_loop_test (tcase, test_no_peer_has_record, 0, 2);
  tcase_add_loop_test (tcase, test_version_inferred_from_peers, 0, 4);
  tcase_add_test (tcase, test_question_of_peer);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
