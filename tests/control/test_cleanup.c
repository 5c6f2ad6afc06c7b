#include "control_fixture.h"

#include <check.h>
#include <glib.h>
#include <string.h>

static void
engine_request (struct http_handler *handler, struct http_exchange *ex)
{
  struct control_fixture *f = fixture_of_engine (handler);
  static const char answer[] = "{\"cancelled\":1,\"held\":0}";
  size_t bytes = 0;
  const char *body = http_exchange_body (ex, &bytes);

  g_snprintf (f->cancelled, sizeof f->cancelled, "%s %.*s",
              http_exchange_path (ex), (int)bytes, body);
  http_exchange_respond (ex, 200, "application/json", answer,
                         sizeof answer - 1);
}

static const struct http_handler_impl engine_impl
    = { .request = engine_request, .closed = fixture_engine_closed };

static bool
engine_got_cancel (struct control_fixture *f)
{
  return f->cancelled[0] != '\0';
}

static bool
view_has_config (struct control_fixture *f)
{
  return f->view_config_version >= 1;
}

/* entryd is killed while it has streams.  controld must cancel them, or they
 * keep the engine's memory. */
START_TEST (dead_entryd_is_cleaned_up)
{
  struct control_fixture f;
  struct local_hold hold = { "engine-1", 77, 3, 9 };
  struct local_holds holds = { &hold, 1 };
  struct control_link *link;

  fixture_open (&f, 1);
  fixture_add_engine (&f, &engine_impl);
  link = fixture_connect_entry (&f, 77);
  control_link_holds (link, &holds);
  ck_assert (fixture_wait_until (&f, view_has_config, 5000));
  fixture_wait_until (&f, fixture_never, 1500);
  ck_assert_str_eq (f.cancelled, "");
  control_link_destroy (link);
  ck_assert (fixture_wait_until (&f, engine_got_cancel, 3000));
  ck_assert_str_eq (f.cancelled,
                    "/v1/cancel {\"incarnation\":\"77\",\"from\":3,\"to\":9}");
  fixture_close (&f);
}
END_TEST

static bool
node_0_is_suspect (struct control_fixture *f)
{
  for (int i = 0; i < f->count; i++)
    {
      const struct beryl_member *m
          = beryl_membership_find (f->nodes[i]->members, "entry-0");

      if (m == NULL || m->state != BERYL_MEMBER_SUSPECT)
        return false;
    }
  return true;
}

/* Time to send the windows to the replicas. */
#define REPLICATION_MS 2500
/* Time to declare a suspect dead that is not listed. */
#define DEATH_MS 20000

/* An instance dies with its entryd and controld while it has streams.  The two
 * replicas of its windows must cancel them, but not while the node is only
 * suspect: it may be partitioned with its streams still running. */
START_TEST (dead_instance_is_cleaned_up)
{
  struct control_fixture f;
  struct local_hold hold = { "engine-1", 77, 3, 9 };
  struct local_holds holds = { &hold, 1 };
  struct control_link *link;

  fixture_open (&f, 3);
  fixture_add_engine (&f, &engine_impl);
  ck_assert (fixture_wait_until (&f, fixture_all_members_alive, 10000));
  link = fixture_connect_entry (&f, 77);
  control_link_holds (link, &holds);
  fixture_wait_until (&f, fixture_never, REPLICATION_MS);
  fixture_kill_node (&f, 0);
  control_link_destroy (link);
  ck_assert (fixture_wait_until (&f, node_0_is_suspect, 10000));
  fixture_wait_until (&f, fixture_never, 6000);
  ck_assert_str_eq (f.cancelled, "");
  fixture_delete (&f, "/v1/instances/entry-0");
  ck_assert (fixture_wait_until (&f, engine_got_cancel, DEATH_MS));
  ck_assert_str_eq (f.cancelled,
                    "/v1/cancel {\"incarnation\":\"77\",\"from\":3,\"to\":9}");
  fixture_close (&f);
}
END_TEST

static bool
node_1_is_suspect (struct control_fixture *f)
{
  const struct beryl_member *m
      = beryl_membership_find (f->nodes[0]->members, "entry-1");

  return m != NULL && m->state == BERYL_MEMBER_SUSPECT;
}

/* The only replica of a node's windows dies, then the node itself.  A long
 * stream keeps the windows unchanged meanwhile.  They must still be sent to a
 * node that joined in between, or they are lost. */
START_TEST (replica_is_replaced)
{
  struct control_fixture f;
  struct local_hold hold = { "engine-1", 77, 3, 9 };
  struct local_holds holds = { &hold, 1 };
  struct control_link *link;

  fixture_open (&f, 2);
  fixture_add_engine (&f, &engine_impl);
  ck_assert (fixture_wait_until (&f, fixture_all_members_alive, 10000));
  link = fixture_connect_entry (&f, 77);
  control_link_holds (link, &holds);
  fixture_wait_until (&f, fixture_never, REPLICATION_MS);
  fixture_add_node (&f, "key", "");
  fixture_list_node (&f, 2);
  ck_assert (fixture_wait_until (&f, fixture_all_members_alive, 10000));
  fixture_kill_node (&f, 1);
  ck_assert (fixture_wait_until (&f, node_1_is_suspect, 10000));
  fixture_wait_until (&f, fixture_never, REPLICATION_MS);
  fixture_delete (&f, "/v1/instances/entry-0");
  fixture_kill_node (&f, 0);
  control_link_destroy (link);
  ck_assert (fixture_wait_until (&f, engine_got_cancel, DEATH_MS));
  fixture_close (&f);
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
  tcase_add_test (t, dead_instance_is_cleaned_up);
  tcase_add_test (t, replica_is_replaced);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
