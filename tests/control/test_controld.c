#include "control_fixture.h"

#include <check.h>
#include <glib.h>
#include <string.h>

/* Every node must get an applied model and service within seconds, although
 * only one of them watches the platform. */
START_TEST (change_reaches_all_nodes)
{
  struct control_fixture f;

  fixture_open (&f, 3);
  ck_assert (fixture_wait_until (&f, fixture_all_members_alive, 10000));
  fixture_put (&f, "/v1/objects/model/m", MODEL);
  ck_assert (fixture_wait_until (&f, fixture_all_have_version_1, 10000));
  fixture_put (&f, "/v1/objects/service/s", SERVICE);
  ck_assert (fixture_wait_until (&f, fixture_all_have_version_2, 5000));
  for (int i = 0; i < f.count; i++)
    {
      const struct beryl_config *config
          = config_task_parsed (f.nodes[i]->config);

      ck_assert_ptr_nonnull (config);
      ck_assert_ptr_nonnull (beryl_config_service (config, "s"));
    }
  fixture_close (&f);
}
END_TEST

/* A node is replaced during a platform outage.  It can read neither the
 * instance list nor the log, so it must get members and configuration from a
 * peer; the others must keep the accepted configuration. */
START_TEST (outage_during_a_replacement)
{
  struct control_fixture f;
  char seeds[40];

  fixture_open (&f, 2);
  ck_assert (fixture_wait_until (&f, fixture_all_members_alive, 10000));
  fixture_put (&f, "/v1/objects/model/m", MODEL);
  ck_assert (fixture_wait_until (&f, fixture_all_have_version_1, 10000));
  fixture_put (&f, "/standin/faults", "{\"outage\":true}");
  g_snprintf (seeds, sizeof seeds, "127.0.0.1:%u",
              gossip_task_port (f.nodes[0]->gossip));
  fixture_add_node (&f, "key", seeds);
  ck_assert (fixture_wait_until (&f, fixture_all_members_alive, 10000));
  ck_assert (fixture_wait_until (&f, fixture_all_have_version_1, 10000));
  fixture_put (&f, "/standin/faults", "{\"outage\":false}");
  fixture_put (&f, "/v1/objects/service/s", SERVICE);
  ck_assert (fixture_wait_until (&f, fixture_all_have_version_2, 15000));
  fixture_close (&f);
}
END_TEST

static bool
view_complete (struct control_fixture *f)
{
  return f->view_config_version == 1 && f->view_members == 1
         && f->view_leaving == 1;
}

/* An endpoint that is marked leaving in the platform's list must appear in
 * entryd's view; otherwise entryd keeps sending work to it. */
START_TEST (view_reaches_entryd)
{
  struct control_fixture f;
  struct control_link *link;

  fixture_open (&f, 1);
  fixture_put (&f, "/v1/instances/engine-1",
               "{\"name\":\"engine-1\",\"kind\":\"endpoint\","
               "\"address\":\"127.0.0.1\",\"port\":1,\"data_centre\":\"d\","
               "\"region\":\"r\",\"state\":\"leaving\"}");
  fixture_put (&f, "/v1/objects/model/m", MODEL);
  link = fixture_connect_entry (&f, 77);
  fixture_wait_until (&f, view_complete, 5000);
  ck_assert_uint_ge (f.view_config_version, 1);
  ck_assert_uint_eq (f.view_members, 1);
  ck_assert_uint_eq (f.view_leaving, 1);
  ck_assert_uint_le (f.views_with_objects, 3);
  control_link_destroy (link);
  fixture_close (&f);
}
END_TEST

#define IN_FORCE "/v1/objects/status/in-force.hal-noord"

static bool
view_has_config (struct control_fixture *f)
{
  return f->view_config_version >= 1;
}

/* A configuration is in force only once entryd has reported that it applied
 * it.  When controld's own version counted, an operator could remove an engine
 * to which entryd still sent work. */
START_TEST (in_force_waits_for_entryd)
{
  struct control_fixture f;
  struct control_link *link;

  fixture_open (&f, 1);
  link = fixture_connect_entry (&f, 77);
  fixture_put (&f, "/v1/objects/model/m", MODEL);
  ck_assert (fixture_wait_until (&f, view_has_config, 10000));
  ck_assert (fixture_wait_for_text (&f, IN_FORCE, "\"newest\":1"));
  ck_assert (fixture_wait_for_text (&f, IN_FORCE, "\"configuration\":0"));
  ck_assert (fixture_wait_for_text (&f, IN_FORCE, "\"behind\":[\"entry-0\"]"));
  control_link_applied (link, 1);
  ck_assert (fixture_wait_for_text (&f, IN_FORCE, "\"configuration\":1"));
  ck_assert (fixture_wait_for_text (&f, IN_FORCE, "\"behind\":[]"));
  control_link_destroy (link);
  fixture_close (&f);
}
END_TEST

static bool
node_1_sees_node_0 (struct control_fixture *f)
{
  const struct beryl_member *m
      = beryl_membership_find (f->nodes[1]->members, "entry-0");

  return m != NULL && m->state == BERYL_MEMBER_ALIVE;
}

/* A process with another cluster key must neither read nor change the members
 * and the configuration, even if it knows a node's address. */
START_TEST (wrong_key_is_refused)
{
  struct control_fixture f;
  char seeds[40];

  fixture_open (&f, 1);
  fixture_put (&f, "/v1/objects/model/m", MODEL);
  ck_assert (fixture_wait_until (&f, fixture_all_have_version_1, 10000));
  fixture_put (&f, "/standin/faults", "{\"outage\":true}");
  g_snprintf (seeds, sizeof seeds, "127.0.0.1:%u",
              gossip_task_port (f.nodes[0]->gossip));
  fixture_add_node (&f, "other", seeds);
  ck_assert (!fixture_wait_until (&f, node_1_sees_node_0, 3000));
  ck_assert_uint_eq (beryl_config_log_version (f.nodes[1]->config_log), 0);
  ck_assert_uint_eq (beryl_membership_count (f.nodes[0]->members), 1);
  fixture_close (&f);
}
END_TEST

static int
holder_of (struct control_fixture *f, enum control_role role)
{
  for (int i = 0; i < f->count; i++)
    if (f->nodes[i] != NULL && role_task_held (f->nodes[i]->roles, role, NULL))
      return i;
  return -1;
}

static bool
all_roles_held (struct control_fixture *f)
{
  return holder_of (f, CONTROL_ROLE_WATCHER) >= 0
         && holder_of (f, CONTROL_ROLE_ACCEPTOR) >= 0;
}

static bool
acceptor_is_another (struct control_fixture *f)
{
  return holder_of (f, CONTROL_ROLE_ACCEPTOR) >= 0;
}

/* The acceptor dies without releasing its lease.  Another node must take over
 * once the lease expires, and changes made meanwhile must come into force. */
START_TEST (acceptor_dies)
{
  struct control_fixture f;

  fixture_open (&f, 3);
  ck_assert (fixture_wait_until (&f, fixture_all_members_alive, 10000));
  ck_assert (fixture_wait_until (&f, all_roles_held, 10000));
  fixture_kill_node (&f, holder_of (&f, CONTROL_ROLE_ACCEPTOR));
  fixture_put (&f, "/v1/objects/model/m", MODEL);
  ck_assert (fixture_wait_until (&f, acceptor_is_another, 10000));
  ck_assert (fixture_wait_until (&f, fixture_all_have_version_1, 10000));
  fixture_close (&f);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("controld");
  TCase *t = tcase_create ("processes");
  SRunner *r;
  int failed;

  tcase_set_timeout (t, 50);
  tcase_add_test (t, change_reaches_all_nodes);
  tcase_add_test (t, outage_during_a_replacement);
  tcase_add_test (t, view_reaches_entryd);
  tcase_add_test (t, in_force_waits_for_entryd);
  tcase_add_test (t, wrong_key_is_refused);
  tcase_add_test (t, acceptor_dies);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
