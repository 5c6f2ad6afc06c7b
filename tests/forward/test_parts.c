#include <check.h>
#include <string.h>

#include <glib.h>

#include "../../libberyl/forward/events.h"
#include "../../libberyl/forward/repeat_budget.h"
#include "../suite.h"
#include "beryl/routes.h"

static void
add (struct event_splitter *s, const char *text)
{
  ck_assert (event_splitter_add (s, text, strlen (text)));
}

static void
expect_event (struct event_splitter *s, const char *text, uint64_t id)
{
  struct event event;

  ck_assert (event_splitter_next (s, &event));
  ck_assert_uint_eq (event.count, strlen (text));
  ck_assert_int_eq (memcmp (event.bytes, text, event.count), 0);
  ck_assert_uint_eq (event.has_id ? event.id : 0, id);
}

/* Events arrive in arbitrary pieces; each is forwarded unchanged once it is
   complete. */
START_TEST (test_events_in_pieces)
{
  static const char text[]
      = "id: 1\ndata: a\n\n: note\n\nid:2\r\ndata: b\r\n\r\nid: x\n\n";
  struct event event;

  for (size_t cut = 1; cut < sizeof text - 1; cut++)
    {
      struct event_splitter s = { 0 };
      GString *out = g_string_new (NULL);
      uint64_t ids = 0;

      for (size_t at = 0; at < sizeof text - 1; at += cut)
        {
          size_t count = MIN (cut, sizeof text - 1 - at);

          ck_assert (event_splitter_add (&s, text + at, count));
          while (event_splitter_next (&s, &event))
            {
              g_string_append_len (out, event.bytes, (gssize)event.count);
              ids = ids * 10 + (event.has_id ? event.id : 0);
            }
        }
      ck_assert_str_eq (out->str, text);
      ck_assert_uint_eq (ids, 1020);
      ck_assert (!event_splitter_partial (&s));
      event_splitter_clear (&s);
      g_string_free (out, TRUE);
    }
}
END_TEST

static const struct
{
  const char *name;
  const char *text;
  enum event_fault fault;
  bool is_comment;
} forms[] = {
  { "an event", "id: 7\ndata: a\n\n", EVENT_OK, false },
  { "CR LF", "id: 7\r\ndata: a\r\n\r\n", EVENT_OK, false },
  { "several lines", "event: a\nid:7\nretry: 5\n: b\ndata: c\ndata\n\n",
    EVENT_OK, false },
  { "field of the platform", "extra: 3\nid: 7\ndata: a\n\n", EVENT_OK, false },
  { "letters beyond ASCII", "id: 7\ndata: \xc4\x8d\xe2\x82\xac\n\n", EVENT_OK,
    false },
  { "a comment", ": still there\n\n", EVENT_OK, true },
  { "a time to retry", "retry: 1000\n\n", EVENT_OK, true },
  { "empty lines", "\n\n", EVENT_OK, true },
  { "data alone", "data: a\n\n", EVENT_WITHOUT_ID, false },
  { "an empty id", "id:\ndata: a\n\n", EVENT_BAD_ID, false },
  { "an id without a colon", "id\ndata: a\n\n", EVENT_BAD_ID, false },
  { "a negative id", "id: -7\ndata: a\n\n", EVENT_BAD_ID, false },
  { "an id that is no number", "id: 7a\ndata: a\n\n", EVENT_BAD_ID, false },
  { "an id that is too large", "id: 18446744073709551617\ndata: a\n\n",
    EVENT_BAD_ID, false },
  { "two ids", "id: 7\nid: 7\ndata: a\n\n", EVENT_BAD_ID, false },
  { "an id alone", "id: 7\n\n", EVENT_WITHOUT_DATA, false },
  { "the head of an answer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
    EVENT_UNKNOWN_FIELD, false },
  { "JSON", "{\"error\":\"id: 7\"}\n\n", EVENT_UNKNOWN_FIELD, false },
  { "a line before an event", "x\nid: 7\ndata: a\n\n", EVENT_UNKNOWN_FIELD,
    false },
  { "a field with a longer name", "id: 7\ndatax: a\n\n", EVENT_UNKNOWN_FIELD,
    false },
  { "no text", "id: 7\ndata: \xff\xfe\n\n", EVENT_NOT_TEXT, false },
  { "half a character", "id: 7\ndata: \xe2\x82\n\n", EVENT_NOT_TEXT, false },
  { "a CR alone", "id: 7\ndata: a\rdata: b\n\n", EVENT_NOT_TEXT, false },
  { "a comment that is no text", ": \xff\n\n", EVENT_NOT_TEXT, true },
};

/* Guards against pieces that no run made being taken for events. */
START_TEST (test_forms)
{
  struct event_splitter s = { .extra_field = "extra" };
  struct event event;

  add (&s, forms[_i].text);
  ck_assert (event_splitter_next (&s, &event));
  ck_assert_msg (event.fault == forms[_i].fault, "%s: %s", forms[_i].name,
                 event_fault_name (event.fault));
  ck_assert_int_eq (event.is_comment, forms[_i].is_comment);
  ck_assert (!event_splitter_partial (&s));
  event_splitter_clear (&s);
}
END_TEST

/* Guards against empty lines between events, which end nothing, being
   forwarded or taken for the beginning of another event. */
START_TEST (test_empty_lines_between)
{
  struct event_splitter s = { 0 };
  struct event event;

  add (&s, "\nid: 1\ndata: a\n\n\r\n");
  expect_event (&s, "id: 1\ndata: a\n\n", 1);
  ck_assert (!event_splitter_next (&s, &event));
  ck_assert (!event_splitter_partial (&s));
  add (&s, "id: 2\ndata: b\n\n");
  expect_event (&s, "id: 2\ndata: b\n\n", 2);
  event_splitter_clear (&s);
}
END_TEST

START_TEST (test_event_is_partial)
{
  struct event_splitter s = { 0 };
  struct event event;

  add (&s, "id: 1\n\nid: 2\n");
  expect_event (&s, "id: 1\n\n", 1);
  ck_assert (!event_splitter_next (&s, &event));
  ck_assert (event_splitter_partial (&s));
  event_splitter_clear (&s);
  ck_assert (!event_splitter_partial (&s));
  add (&s, "id: 7\n\n");
  expect_event (&s, "id: 7\n\n", 7);
  event_splitter_clear (&s);
}
END_TEST

/* An endpoint that never ends an event must not use unlimited memory. */
START_TEST (test_event_is_too_long)
{
  struct event_splitter s = { 0 };
  char *block = g_strnfill (65536, 'x');
  uint32_t count = 0;

  while (count < 1000 && event_splitter_add (&s, block, 65536))
    count++;
  ck_assert_uint_lt (count, 64);
  event_splitter_clear (&s);
  g_free (block);
}
END_TEST

START_TEST (test_budget)
{
  struct repeat_budget b = { 0 };
  struct repeat_limits terms = { .ratio = 0.1,
                                 .slack = 10,
                                 .window_ms = 10000,
                                 .nodes = 1,
                                 .started_ms = -20000 };

  ck_assert_uint_eq (repeat_budget_left (&b, &terms, 1000), 8);
  for (int i = 0; i < 8; i++)
    repeat_budget_spend (&b, &terms, 1000);
  ck_assert_uint_eq (repeat_budget_left (&b, &terms, 1000), 0);
  for (int i = 0; i < 100; i++)
    repeat_budget_count_request (&b, &terms, 2000);
  ck_assert_uint_eq (repeat_budget_left (&b, &terms, 2000), 8);
  /* Both leave the window. */
  ck_assert_uint_eq (repeat_budget_left (&b, &terms, 30000), 8);
  terms.nodes = 4;
  ck_assert_uint_eq (repeat_budget_left (&b, &terms, 30000), 2);
}
END_TEST

/* Whenever repeats are sent, no window of the stated length contains more than
   is allowed. */
START_TEST (test_budget_in_any_window)
{
  struct repeat_budget b = { 0 };
  struct repeat_limits terms
      = { .ratio = 0, .slack = 20, .window_ms = 10000, .nodes = 1 };
  int64_t spent_ms[1000];
  size_t count = 0;

  for (int64_t now_ms = 1; now_ms < 100000 && count < 1000; now_ms += 37)
    if (repeat_budget_left (&b, &terms, now_ms) > 0)
      {
        repeat_budget_spend (&b, &terms, now_ms);
        spent_ms[count++] = now_ms;
      }
  ck_assert_uint_gt (count, 100);
  for (size_t i = 20; i < count; i++)
    ck_assert_int_ge (spent_ms[i] - spent_ms[i - 20], 10000);
}
END_TEST

static void
add_route (struct beryl_routes *routes, const char *name, const char *host,
           const char *prefix)
{
  struct beryl_route_target target = { .service = 0, .weight = 1 };
  struct beryl_route route = { .host = (char *)host,
                               .path_prefix = (char *)prefix,
                               .endpoints_max = 1,
                               .targets = &target,
                               .target_count = 1 };

  strcpy (route.name, name);
  beryl_routes_add (routes, &route);
}

static const char *
found (const struct beryl_routes *routes, const char *host, const char *path)
{
  const struct beryl_route *route = beryl_routes_find (routes, host, path);

  return route != NULL ? route->name : "none";
}

START_TEST (test_routes)
{
  struct beryl_routes *routes = beryl_routes_create (3);
  struct beryl_route_service service = { .name = "s", .health_path = "" };

  beryl_routes_add_service (routes, &service);
  add_route (routes, "root", "a.example", "/");
  add_route (routes, "deep", "a.example", "/x/y/");
  add_route (routes, "x", "a.example", "/x/");
  add_route (routes, "other", "b.example", "/x/");
  beryl_routes_freeze (routes);
  ck_assert_str_eq (found (routes, "a.example", "/x/y/z"), "deep");
  ck_assert_str_eq (found (routes, "a.example", "/x/yz"), "x");
  ck_assert_str_eq (found (routes, "A.Example:8080", "/x/"), "x");
  ck_assert_str_eq (found (routes, "a.example", "/xy"), "root");
  ck_assert_str_eq (found (routes, "a.example", "/x/?q=/x/y/"), "x");
  ck_assert_str_eq (found (routes, "b.example", "/y"), "none");
  ck_assert_str_eq (found (routes, "c.example", "/x/"), "none");
  ck_assert_str_eq (found (routes, "", "/"), "none");
  beryl_routes_unref (routes);
}
END_TEST

START_TEST (test_routes_by_weight)
{
  struct beryl_routes *routes = beryl_routes_create (1);
  struct beryl_route_service service = { .name = "one", .health_path = "" };
  struct beryl_route_target targets[2] = { { 0, 3 }, { 1, 1 } };
  struct beryl_route route = { .name = "r",
                               .host = (char *)"h",
                               .path_prefix = (char *)"/",
                               .targets = targets,
                               .target_count = 2 };
  const struct beryl_route *kept;

  beryl_routes_add_service (routes, &service);
  strcpy (service.name, "two");
  beryl_routes_add_service (routes, &service);
  beryl_routes_add (routes, &route);
  beryl_routes_freeze (routes);
  kept = beryl_routes_find (routes, "h", "/");
  ck_assert_str_eq (beryl_routes_choose (routes, kept, 0)->name, "one");
  ck_assert_str_eq (beryl_routes_choose (routes, kept, 0.74)->name, "one");
  ck_assert_str_eq (beryl_routes_choose (routes, kept, 0.76)->name, "two");
  ck_assert_str_eq (beryl_routes_choose (routes, kept, 0.999)->name, "two");
  beryl_routes_unref (routes);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("forward parts");
  TCase *tcase = tcase_create ("parts");

  tcase_add_test (tcase, test_events_in_pieces);
  tcase_add_test (tcase, test_event_is_partial);
  tcase_add_loop_test (tcase, test_forms, 0, sizeof forms / sizeof *forms);
  tcase_add_test (tcase, test_empty_lines_between);
  tcase_add_test (tcase, test_event_is_too_long);
  tcase_add_test (tcase, test_budget);
  tcase_add_test (tcase, test_budget_in_any_window);
  tcase_add_test (tcase, test_routes);
  tcase_add_test (tcase, test_routes_by_weight);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
