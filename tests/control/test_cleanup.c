#include "stage.h"

#include <check.h>
#include <glib.h>
#include <string.h>

static void
engine_request (struct http_handler *handler, struct http_exchange *ex)
{
  struct stage *s = stage_of_engine (handler);
  static const char answer[] = "{\"cancelled\":1,\"held\":0}";
  size_t bytes = 0;
  const char *body = http_exchange_body (ex, &bytes);

  g_snprintf (s->cancelled, sizeof s->cancelled, "%s %.*s",
              http_exchange_path (ex), (int)bytes, body);
  http_exchange_respond (ex, 200, "application/json", answer,
                         sizeof answer - 1);
}

static const struct http_handler_impl engine_impl
    = { .request = engine_request, .closed = stage_engine_closed };

static bool
engine_was_told (struct stage *s)
{
  return s->cancelled[0] != '\0';
}

static bool
view_has_config (struct stage *s)
{
  return s->view_config >= 1;
}

/* Story: entryd is killed in the middle of streams.  Nobody else knows them;
 * unless controld cancels them, the engine's memory stays held. */
START_TEST (dead_entryd_is_cleaned_up)
{
  struct stage s;
  struct local_hold hold = { "engine-1", 77, 3, 9 };
  struct local_holds holds = { &hold, 1 };
  struct control_link *link;

  stage_open (&s, 1);
  stage_engine (&s, &engine_impl);
  link = stage_link (&s, 77);
  control_link_holds (link, &holds);
  ck_assert (stage_await (&s, view_has_config, 5000));
  stage_await (&s, stage_never, 1500);
  ck_assert_str_eq (s.cancelled, "");
  control_link_destroy (link);
  ck_assert (stage_await (&s, engine_was_told, 3000));
  ck_assert_str_eq (s.cancelled,
                    "/v1/cancel {\"incarnation\":\"77\",\"from\":3,\"to\":9}");
  stage_close (&s);
}
END_TEST

static bool
first_is_suspect (struct stage *s)
{
  for (int i = 0; i < s->count; i++)
    {
      const struct beryl_member *m
          = beryl_membership_find (s->nodes[i]->members, "entry-0");

      if (m == NULL || m->state != BERYL_MEMBER_SUSPECT)
        return false;
    }
  return true;
}

/* The windows were told to the keepers by then. */
#define TOLD_MS 2500
/* A suspect that is not listed is dead by then. */
#define DEATH_MS 20000

/* Story: a machine dies, entryd and controld at once, in the middle of
 * streams.  Its windows are kept by two other nodes, and these must cancel
 * them; but not while it is only suspect, as it may be cut off and its
 * streams alive. */
START_TEST (dead_machine_is_cleaned_up)
{
  struct stage s;
  struct local_hold hold = { "engine-1", 77, 3, 9 };
  struct local_holds holds = { &hold, 1 };
  struct control_link *link;

  stage_open (&s, 3);
  stage_engine (&s, &engine_impl);
  ck_assert (stage_await (&s, stage_all_know_all, 10000));
  link = stage_link (&s, 77);
  control_link_holds (link, &holds);
  stage_await (&s, stage_never, TOLD_MS);
  stage_kill (&s, 0);
  control_link_destroy (link);
  ck_assert (stage_await (&s, first_is_suspect, 10000));
  stage_await (&s, stage_never, 6000);
  ck_assert_str_eq (s.cancelled, "");
  stage_delete (&s, "/v1/instances/entry-0");
  ck_assert (stage_await (&s, engine_was_told, DEATH_MS));
  ck_assert_str_eq (s.cancelled,
                    "/v1/cancel {\"incarnation\":\"77\",\"from\":3,\"to\":9}");
  stage_close (&s);
}
END_TEST

static bool
second_is_suspect (struct stage *s)
{
  const struct beryl_member *m
      = beryl_membership_find (s->nodes[0]->members, "entry-1");

  return m != NULL && m->state == BERYL_MEMBER_SUSPECT;
}

/* Story: the only keeper of a node's windows dies; a long stream runs on, so
 * that the windows do not change.  Then the node dies too.  The node that
 * joined meanwhile must have been told the windows, or nobody knows them. */
START_TEST (keeper_is_replaced)
{
  struct stage s;
  struct local_hold hold = { "engine-1", 77, 3, 9 };
  struct local_holds holds = { &hold, 1 };
  struct control_link *link;

  stage_open (&s, 2);
  stage_engine (&s, &engine_impl);
  ck_assert (stage_await (&s, stage_all_know_all, 10000));
  link = stage_link (&s, 77);
  control_link_holds (link, &holds);
  stage_await (&s, stage_never, TOLD_MS);
  stage_node (&s, "key", "");
  stage_list (&s, 2);
  ck_assert (stage_await (&s, stage_all_know_all, 10000));
  stage_kill (&s, 1);
  ck_assert (stage_await (&s, second_is_suspect, 10000));
  stage_await (&s, stage_never, TOLD_MS);
  stage_delete (&s, "/v1/instances/entry-0");
  stage_kill (&s, 0);
  control_link_destroy (link);
  ck_assert (stage_await (&s, engine_was_told, DEATH_MS));
  stage_close (&s);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("cleanup");
  TCase *t = tcase_create ("processes");
  SRunner *r;
  int failed;

  tcase_set_timeout (t, 50);
  tcase_add_test (t, dead_entryd_is_cleaned_up);
  tcase_add_test (t, dead_machine_is_cleaned_up);
  tcase_add_test (t, keeper_is_replaced);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
