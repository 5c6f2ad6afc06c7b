/* Calls to the users' metadata store and parsing of its responses, with
 * examples from its published protocol. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../../libberyl/platform/private.h"
#include "../suite.h"
#include "platform.h"

static const struct gateway_wire *wire;

static void
setup (void)
{
  wire = platform_gateway_wire ();
}

static void
assert_store_call (const struct beryl_platform_call *call, const char *method,
                   const char *path, const char *body)
{
  struct platform_wire_call out = { 0 };

  wire->store.impl->call (&wire->store, call, &out);
  ck_assert_str_eq (out.method, method);
  ck_assert_str_eq (out.path, path);
  ck_assert_pstr_eq (out.body, body);
  g_free (out.path);
  g_free (out.body);
}

START_TEST (test_store_calls)
{
  struct beryl_platform_call call = { .op = BERYL_OP_PUT,
                                      .kind = "k",
                                      .name = "n",
                                      .condition = BERYL_IF_ABSENT,
                                      .body = "{\"a\":1}",
                                      .body_bytes = 7 };

  assert_store_call (&call, "POST", "/v1/objects/k",
                     "{\"metadata\":{\"name\":\"n\"},\"spec\":{\"a\":1}}");
  call.condition = BERYL_IF_VERSION;
  call.version = 12;
  assert_store_call (&call, "PUT", "/v1/objects/k/n",
                     "{\"metadata\":{\"name\":\"n\",\"revision\":12},"
                     "\"spec\":{\"a\":1}}");
  call.op = BERYL_OP_DELETE;
  assert_store_call (&call, "DELETE", "/v1/objects/k/n?revision=12", NULL);
  call.op = BERYL_OP_WATCH;
  call.revision = 40;
  call.wait_ms = 2000;
  assert_store_call (&call, "GET", "/v1/objects/k?watch=40&wait_ms=2000",
                     NULL);
}
END_TEST

/* Returns the native response as text, to be freed, or NULL. */
static char *
native_response (enum beryl_platform_op op, unsigned int *status,
                 const char *body)
{
  json_t *json = wire->store.impl->answer (&wire->store, op, "k", status, body,
                                           strlen (body));
  char *text = json_dumps (json, JSON_COMPACT | JSON_REAL_PRECISION (17));

  json_decref (json);
  return text;
}

static void
assert_store_response (enum beryl_platform_op op, unsigned int status,
                       const char *body, unsigned int native_status,
                       const char *native)
{
  char *text = native_response (op, &status, body);

  ck_assert_uint_eq (status, native_status);
  ck_assert_pstr_eq (text, native);
  free (text);
}

START_TEST (test_store_responses)
{
  static const char object[]
      = "{\"metadata\":{\"name\":\"n\",\"revision\":9},\"spec\":{\"a\":1}}";

  assert_store_response (
      BERYL_OP_GET, 200, object, 200,
      "{\"kind\":\"k\",\"name\":\"n\",\"version\":9,\"value\":{\"a\":1}}");
  assert_store_response (BERYL_OP_PUT, 200, object, 200, "{\"version\":9}");
  /* Conflict with another writer; the response contains the existing object.
   */
  assert_store_response (BERYL_OP_PUT, 409,
                         "{\"object\":{\"metadata\":{\"revision\":11}}}", 412,
                         "{\"version\":11}");
  assert_store_response (BERYL_OP_PUT, 404, "{}", 412, "{\"version\":0}");
  assert_store_response (
      BERYL_OP_WATCH, 200,
      "{\"store_revision\":10,\"events\":[{\"tombstone\":true,\"object\":"
      "{\"metadata\":{\"name\":\"n\",\"revision\":10}}}]}",
      200,
      "{\"events\":[{\"kind\":\"k\",\"name\":\"n\",\"version\":10,"
      "\"type\":\"delete\"}],\"revision\":10}");
  assert_store_response (BERYL_OP_WATCH, 410, "{}", 410, NULL);
  assert_store_response (BERYL_OP_LIST, 200, "{\"items\":3}", 200, NULL);
  assert_store_response (BERYL_OP_LIST, 200, "not json", 200, NULL);
}
END_TEST

#define GOOD_ITEM                                                             \
  "{\"metadata\":{\"name\":\"n\",\"revision\":9},\"spec\":{\"a\":1}}"
#define GOOD_NATIVE                                                           \
  "{\"kind\":\"k\",\"name\":\"n\",\"version\":9,\"value\":{\"a\":1}"

#define NULL_NATIVE                                                           \
  "{\"kind\":\"k\",\"name\":\"m\",\"version\":8,\"value\":null"

/* Another program writes a malformed object to the store. If the list or watch
 * failed because of it, no other entry would be read again: endpoints that
 * leave would still get requests, and new ones none. */
START_TEST (test_malformed_objects_are_skipped)
{
  static const char *const objects[] = {
    "7",
    "{}",
    "{\"metadata\":{\"name\":4,\"revision\":9},\"spec\":{}}",
    "{\"metadata\":{\"name\":\"a b\",\"revision\":9},\"spec\":{}}",
    "{\"metadata\":{\"name\":\"x\",\"revision\":\"9\"},\"spec\":{}}",
    "{\"metadata\":{\"name\":\"x\"},\"spec\":{}}",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (objects); i++)
    {
      char *list = g_strdup_printf ("{\"items\":[%s," GOOD_ITEM "],"
                                    "\"store_revision\":12}",
                                    objects[i]);
      char *events = g_strdup_printf (
          "{\"events\":[{\"object\":%s},{\"object\":" GOOD_ITEM "}],"
          "\"store_revision\":12}",
          objects[i]);

      assert_store_response (BERYL_OP_LIST, 200, list, 200,
                             "{\"items\":[" GOOD_NATIVE
                             "}],\"more\":false,\"revision\":12}");
      assert_store_response (BERYL_OP_WATCH, 200, events, 200,
                             "{\"events\":[" GOOD_NATIVE
                             ",\"type\":\"put\"}],\"revision\":12}");
      g_free (list);
      g_free (events);
    }
}
END_TEST

/* The same with invalid UTF-8, an embedded NUL, and numbers beyond the range
 * of an integer or a double. */
START_TEST (test_unreadable_values_keep_list)
{
  static const char *const values[]
      = { "\"\xff\xfe\"", "\"a\\u0000b\"", "99999999999999999999", "1e999",
          "[-2.5E+400, \"1e999\"]" };

  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      unsigned int status = 200;
      char *list = g_strdup_printf (
          "{\"items\":[{\"metadata\":{\"name\":\"m\",\"revision\":8},"
          "\"spec\":%s}," GOOD_ITEM "],\"store_revision\":12}",
          values[i]);
      char *text = native_response (BERYL_OP_LIST, &status, list);

      ck_assert_msg (text != NULL, "%s", values[i]);
      ck_assert_ptr_nonnull (strstr (text, "\"name\":\"n\",\"version\":9"));
      ck_assert_ptr_nonnull (strstr (text, "\"revision\":12"));
      free (text);
      g_free (list);
    }
}
END_TEST

/* What a parser rejects a whole text for, as the spec of an object. */
static char *
unreadable_spec (int i)
{
  static const char *const specs[] = { "{\"a\":\"\xff\"}",
                                       "{\"a\":\"shelf \\ud83d\"}",
                                       "{\"a\\u0000b\":1}",
                                       "{\"a\":1e999}",
                                       "{\"a\":NaN}",
                                       "[99999999999999999999]",
                                       "{\"a\":\"]}\\\"\\udc00\"}",
                                       "{\"a\":01}" };
  char *open, *close, *spec;

  if (i < (int)G_N_ELEMENTS (specs))
    return g_strdup (specs[i]);
  open = g_strnfill (5000, '[');
  close = g_strnfill (5000, ']');
  spec = g_strconcat (open, close, NULL);
  g_free (open);
  g_free (close);
  return spec;
}

#define UNREADABLE_SPECS 9

/* Guards against a list, or a watch, whose sound objects are not read because
 * of one object that cannot be; that object is not read in part. */
START_TEST (test_unreadable_object_keeps_others)
{
  char *spec = unreadable_spec (_i);
  char *item = g_strdup_printf (
      "{\"metadata\":{\"name\":\"m\",\"revision\":8},\"spec\":%s}", spec);
  char *list = g_strdup_printf ("{\"items\":[%s, " GOOD_ITEM " ,%s],"
                                "\"more_pages\":true,\"store_revision\":12}",
                                item, item);
  char *events = g_strdup_printf (
      "{\"events\":[{\"tombstone\":false,\"object\":%s},{\"object\":" GOOD_ITEM
      "}],\"store_revision\":12}",
      item);

  assert_store_response (BERYL_OP_LIST, 200, list, 200,
                         "{\"items\":[" NULL_NATIVE "}," GOOD_NATIVE
                         "}," NULL_NATIVE
                         "}],\"more\":true,\"revision\":12,\"after\":\"m\"}");
  assert_store_response (BERYL_OP_WATCH, 200, events, 200,
                         "{\"events\":[" NULL_NATIVE
                         ",\"type\":\"put\"}," GOOD_NATIVE
                         ",\"type\":\"put\"}],\"revision\":12}");
  g_free (events);
  g_free (list);
  g_free (item);
  g_free (spec);
}
END_TEST

/* Guards against the first part of a list, of an answer that was cut, being
 * taken for the whole. */
START_TEST (test_cut_answer_is_no_list)
{
  static const char list[]
      = "{\"store_revision\":12,\"more_pages\":false,\"items\":[" GOOD_ITEM
        "," GOOD_ITEM "]}";

  for (size_t n = 0; n + 1 < sizeof list - 1; n++)
    {
      char *part = g_strndup (list, n);

      assert_store_response (BERYL_OP_LIST, 200, part, 200, NULL);
      g_free (part);
    }
}
END_TEST

/* Guards against a next page that begins at the same place again, since the
 * last object's name cannot be read. */
START_TEST (test_last_name_is_unreadable)
{
  assert_store_response (BERYL_OP_LIST, 200,
                         "{\"items\":[" GOOD_ITEM
                         ",{\"metadata\":{\"name\":\"\\ud83d\","
                         "\"revision\":9},\"spec\":{}}],\"more_pages\":true,"
                         "\"store_revision\":12}",
                         200,
                         "{\"items\":[" GOOD_NATIVE
                         "}],\"more\":true,\"revision\":12,\"after\":\"n\"}");
}
END_TEST

/* Adds a page without a valid object to L, of which NAME is the last name. */
static bool
add_page (struct listing *l, const char *name, size_t name_bytes)
{
  json_t *page = json_pack ("{s:[], s:b, s:i, s:s%}", "items", "more", 1,
                            "revision", 5, "after", name, name_bytes);
  bool ok = platform_listing_add (l, page, "k");

  json_decref (page);
  return ok;
}

/* Guards against a list that makes no progress since names of another writer
   are too long, or have a NUL. Names that begin alike must be passed over, and
   no valid one. */
START_TEST (test_page_of_long_names)
{
  struct listing l = { 0 };
  GString *name = g_string_new ("n");

  ck_assert (add_page (&l, "a\0z", 3));
  ck_assert_int_gt (strcmp (l.after, "a"), 0);
  ck_assert_int_lt (strcmp (l.after, "a-"), 0);
  ck_assert (add_page (&l, "b", 1));
  while (name->len < 300)
    g_string_append (name, "\xc3\xa4");
  for (; name->len > 240; g_string_truncate (name, name->len - 2))
    {
      l = (struct listing){ 0 };
      ck_assert (add_page (&l, name->str, name->len));
      ck_assert_int_ge (strcmp (l.after, name->str), 0);
      ck_assert_int_lt (strcmp (l.after, "n\xc3\xa5"), 0);
      ck_assert (g_utf8_validate (l.after, -1, NULL));
    }
  g_string_free (name, TRUE);
}
END_TEST

/* Guards against a list of large objects of another program, which takes more
 * memory than a process may use. */
START_TEST (test_large_objects_are_not_kept)
{
  static const char *const fillings[]
      = { "{}", "\"0123456789abcdef\"", "[[]]" };
  GString *list = g_string_new ("{\"items\":[" GOOD_ITEM
                                ",{\"metadata\":{\"name\":\"m\","
                                "\"revision\":8},\"spec\":[0");
  unsigned int status = 200;
  json_t *json;

  for (int i = 0; i < 40000; i++)
    g_string_append_printf (list, ",%s", fillings[_i]);
  g_string_append (list, "]}],\"more_pages\":false,\"store_revision\":12}");
  assert_store_response (BERYL_OP_LIST, 200, list->str, 200,
                         "{\"items\":[" GOOD_NATIVE "}," NULL_NATIVE
                         "}],\"more\":false,\"revision\":12}");
  /* A configuration may be large. */
  json = wire->store.impl->answer (&wire->store, BERYL_OP_LIST, "config",
                                   &status, list->str, list->len);
  ck_assert_uint_eq (
      json_array_size (json_object_get (
          json_array_get (json_object_get (json, "items"), 1), "value")),
      40001);
  json_decref (json);
  g_string_free (list, TRUE);
}
END_TEST

/* A page without any valid object: the list continues after its last name. */
START_TEST (test_page_of_malformed_objects)
{
  struct beryl_platform_call call
      = { .op = BERYL_OP_LIST, .kind = "k", .after = "\xc3\xa4 b/&" };

  assert_store_response (BERYL_OP_LIST, 200,
                         "{\"items\":[{\"metadata\":{\"name\":\"A\"}},"
                         "{\"metadata\":{\"name\":\"\xc3\xa4 b/&\"}}],"
                         "\"more_pages\":true,\"store_revision\":12}",
                         200,
                         "{\"items\":[],\"more\":true,\"revision\":12,"
                         "\"after\":\"\xc3\xa4 b/&\"}");
  assert_store_call (&call, "GET", "/v1/objects/k?after=%C3%A4%20b%2F%26",
                     NULL);
}
END_TEST

/* A value's text that is stated with it is not printed again. */
START_TEST (test_stated_text_is_used)
{
  json_t *json = json_pack ("{s:s, s:s, s:i, s:[]}", "kind", "k", "name", "n",
                            "version", 1, "value");
  struct beryl_object object;

  json_object_set_new_nocheck (json, BERYL_PLATFORM_VALUE_TEXT,
                               json_string ("[ ]"));
  ck_assert (platform_object_read (json, "k", &object));
  ck_assert_str_eq (object.value, "[ ]");
  ck_assert_uint_eq (object.value_bytes, 3);
  platform_object_clear (&object);
  json_decref (json);
}
END_TEST

/* A platform that names the member in which a text is kept is not believed. */
START_TEST (test_text_is_not_taken_from_outside)
{
  static const char text[]
      = "{\"kind\":\"k\",\"name\":\"n\",\"version\":1,"
        "\"value\":1,\"" BERYL_PLATFORM_VALUE_TEXT "\":\"2\"}";

  ck_assert_ptr_null (json_loads (text, JSON_ALLOW_NUL, NULL));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("platform store wire");
  TCase *tcase = tcase_create ("store");

  tcase_add_checked_fixture (tcase, setup, NULL);
  tcase_add_test (tcase, test_store_calls);
  tcase_add_test (tcase, test_store_responses);
  tcase_add_test (tcase, test_malformed_objects_are_skipped);
  tcase_add_test (tcase, test_unreadable_values_keep_list);
  tcase_add_test (tcase, test_page_of_malformed_objects);
  tcase_add_loop_test (tcase, test_unreadable_object_keeps_others, 0,
                       UNREADABLE_SPECS);
  tcase_add_test (tcase, test_cut_answer_is_no_list);
  tcase_add_test (tcase, test_last_name_is_unreadable);
  tcase_add_test (tcase, test_page_of_long_names);
  tcase_add_loop_test (tcase, test_large_objects_are_not_kept, 0, 3);
  tcase_add_test (tcase, test_stated_text_is_used);
  tcase_add_test (tcase, test_text_is_not_taken_from_outside);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
