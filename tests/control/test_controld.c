#include "stage.h"

#include <check.h>
#include <glib.h>
#include <string.h>

/* Story: operators apply a model and a service; every node must have both
 * within a moment, though only one of them watches the platform. */
START_TEST (change_reaches_all_nodes)
{
  struct stage s;

  stage_open (&s, 3);
  ck_assert (stage_await (&s, stage_all_know_all, 10000));
  stage_put (&s, "/v1/objects/model/m", MODEL);
  ck_assert (stage_await (&s, stage_all_have_1, 10000));
  stage_put (&s, "/v1/objects/service/s", SERVICE);
  ck_assert (stage_await (&s, stage_all_have_2, 5000));
  for (int i = 0; i < s.count; i++)
    {
      const struct beryl_config *config
          = config_task_parsed (s.nodes[i]->config);

      ck_assert_ptr_nonnull (config);
      ck_assert_ptr_nonnull (beryl_config_service (config, "s"));
    }
  stage_close (&s);
}
END_TEST

/* Story: the platform is out while a node is replaced.  The new node cannot
 * read the list nor the log; it must get both from a peer, and the others
 * must go on with what was accepted. */
START_TEST (outage_during_a_replacement)
{
  struct stage s;
  char seeds[40];

  stage_open (&s, 2);
  ck_assert (stage_await (&s, stage_all_know_all, 10000));
  stage_put (&s, "/v1/objects/model/m", MODEL);
  ck_assert (stage_await (&s, stage_all_have_1, 10000));
  stage_put (&s, "/standin/faults", "{\"outage\":true}");
  g_snprintf (seeds, sizeof seeds, "127.0.0.1:%u",
              gossip_task_port (s.nodes[0]->gossip));
  stage_node (&s, "key", seeds);
  ck_assert (stage_await (&s, stage_all_know_all, 10000));
  ck_assert (stage_await (&s, stage_all_have_1, 10000));
  stage_put (&s, "/standin/faults", "{\"outage\":false}");
  stage_put (&s, "/v1/objects/service/s", SERVICE);
  ck_assert (stage_await (&s, stage_all_have_2, 15000));
  stage_close (&s);
}
END_TEST

static bool
view_complete (struct stage *s)
{
  return s->view_config == 1 && s->view_members == 1 && s->view_leaving == 1;
}

/* Story: an endpoint is marked leaving in the platform's list.  Entryd must
 * hear of it in its view, or it goes on sending it work. */
START_TEST (view_reaches_entryd)
{
  struct stage s;
  struct control_link *link;

  stage_open (&s, 1);
  stage_put (&s, "/v1/instances/engine-1",
             "{\"name\":\"engine-1\",\"kind\":\"endpoint\","
             "\"address\":\"127.0.0.1\",\"port\":1,\"data_centre\":\"d\","
             "\"region\":\"r\",\"state\":\"leaving\"}");
  stage_put (&s, "/v1/objects/model/m", MODEL);
  link = stage_link (&s, 77);
  stage_await (&s, view_complete, 5000);
  ck_assert_uint_ge (s.view_config, 1);
  ck_assert_uint_eq (s.view_members, 1);
  ck_assert_uint_eq (s.view_leaving, 1);
  ck_assert_uint_le (s.views_with_objects, 3);
  control_link_destroy (link);
  stage_close (&s);
}
END_TEST

#define IN_FORCE "/v1/objects/status/in-force.hal-noord"

static bool
view_has_config (struct stage *s)
{
  return s->view_config >= 1;
}

/* Story: an operator is told that an edit is in force and takes an engine
 * away, while an entryd still sends it work: controld had the edit, entryd had
 * not taken it yet.  In force is what entryd has said that it uses. */
START_TEST (in_force_waits_for_entryd)
{
  struct stage s;
  struct control_link *link;

  stage_open (&s, 1);
  link = stage_link (&s, 77);
  stage_put (&s, "/v1/objects/model/m", MODEL);
  ck_assert (stage_await (&s, view_has_config, 10000));
  ck_assert (stage_reads (&s, IN_FORCE, "\"newest\":1"));
  ck_assert (stage_reads (&s, IN_FORCE, "\"configuration\":0"));
  ck_assert (stage_reads (&s, IN_FORCE, "\"behind\":[\"entry-0\"]"));
  control_link_applied (link, 1);
  ck_assert (stage_reads (&s, IN_FORCE, "\"configuration\":1"));
  ck_assert (stage_reads (&s, IN_FORCE, "\"behind\":[]"));
  control_link_destroy (link);
  stage_close (&s);
}
END_TEST

static bool
second_is_alone (struct stage *s)
{
  const struct beryl_member *m
      = beryl_membership_find (s->nodes[1]->members, "entry-0");

  return m != NULL && m->state == BERYL_MEMBER_ALIVE;
}

/* Story: a process without the cluster's key is started by mistake, or by
 * somebody else, and lists itself.  It must neither learn the members and
 * the configuration nor change them. */
START_TEST (wrong_key_is_kept_out)
{
  struct stage s;
  char seeds[40];

  stage_open (&s, 1);
  stage_put (&s, "/v1/objects/model/m", MODEL);
  ck_assert (stage_await (&s, stage_all_have_1, 10000));
  stage_put (&s, "/standin/faults", "{\"outage\":true}");
  g_snprintf (seeds, sizeof seeds, "127.0.0.1:%u",
              gossip_task_port (s.nodes[0]->gossip));
  stage_node (&s, "other", seeds);
  ck_assert (!stage_await (&s, second_is_alone, 3000));
  ck_assert_uint_eq (beryl_config_log_version (s.nodes[1]->config_log), 0);
  ck_assert_uint_eq (beryl_membership_count (s.nodes[0]->members), 1);
  stage_close (&s);
}
END_TEST

static int
holder (struct stage *s, enum control_role role)
{
  for (int i = 0; i < s->count; i++)
    if (s->nodes[i] != NULL && role_task_held (s->nodes[i]->roles, role, NULL))
      return i;
  return -1;
}

static bool
all_roles_held (struct stage *s)
{
  return holder (s, CONTROL_ROLE_WATCHER) >= 0
         && holder (s, CONTROL_ROLE_ACCEPTOR) >= 0;
}

static bool
acceptor_is_another (struct stage *s)
{
  return holder (s, CONTROL_ROLE_ACCEPTOR) >= 0;
}

/* Story: the node that accepts changes dies without a word.  Another must
 * take over within the lease's time, and changes made meanwhile must come
 * into force. */
START_TEST (acceptor_dies)
{
  struct stage s;

  stage_open (&s, 3);
  ck_assert (stage_await (&s, stage_all_know_all, 10000));
  ck_assert (stage_await (&s, all_roles_held, 10000));
  stage_kill (&s, holder (&s, CONTROL_ROLE_ACCEPTOR));
  stage_put (&s, "/v1/objects/model/m", MODEL);
  ck_assert (stage_await (&s, acceptor_is_another, 10000));
  ck_assert (stage_await (&s, stage_all_have_1, 10000));
  stage_close (&s);
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
  tcase_add_test (t, wrong_key_is_kept_out);
  tcase_add_test (t, acceptor_dies);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
