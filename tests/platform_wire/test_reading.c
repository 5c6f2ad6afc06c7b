/* Long answers of the store that are read in parts: what is read is what the
 * parser makes of the whole text. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../../libberyl/platform/private.h"
#include "../suite.h"
#include "platform.h"

#define ROUTES 1000
#define MUTATIONS 60

static const struct gateway_wire *wire;

static void
setup (void)
{
  wire = platform_gateway_wire ();
}

/* Returns an event with a large configuration. */
static GString *
long_answer (const char *space, const char *last_member)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "{\"events\":[{\"object\":{\"metadata\":"
                          "{\"name\":\"main\",\"revision\":9},\"spec\":%s"
                          "{\"version\":3,\"routes\":[",
                          space);
  for (int i = 0; i < ROUTES; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"r-%d\",\"host\":\"a\\\"]}\\u00e4\",\"l\":[1.5,-2,{}],"
        "\"x\":null}",
        i > 0 ? "," : "", i);
  g_string_append_printf (text,
                          "]%s}},\"tombstone\":false}],"
                          "\"store_revision\":9}",
                          last_member);
  return text;
}

/* Reads TEXT in steps of STEP_BYTES; returns their number. */
static size_t
read_steps (struct platform_reading *reading, size_t step_bytes)
{
  size_t steps = 1;

  while (!platform_read_some (reading, step_bytes))
    steps++;
  return steps;
}

/* Asserts that TEXT is read in parts as in one. */
static void
assert_same (const char *text, size_t bytes, size_t step_bytes)
{
  struct platform_reading *reading
      = platform_read_begin (&wire->store, text, bytes);
  json_t *whole = platform_parse (text, bytes);
  json_t *parts;

  read_steps (reading, step_bytes);
  parts = platform_read_value (reading);
  ck_assert_int_eq (parts == NULL, whole == NULL);
  ck_assert (whole == NULL || json_equal (parts, whole));
  json_decref (parts);
  json_decref (whole);
  platform_read_free (reading);
}

START_TEST (test_same_as_whole)
{
  static const char *const members[] = {
    "",
    ",\"version\":4,\"routes\":[]",            /* again: the last one counts */
    ",\"nul\":\"a\\u0000b\"",                  /* accepted in a string */
    ",\"a\\u0000b\":1",                        /* but not in a name */
    ",\"half\":\"\\ud800\"",                   /* half of a character */
    ",\"big\":123456789012345678901234567890", /* out of range */
    ",\"bad\":\"\xff\"",
    ",",
    ",}",
    ",\"a\"",
    ",\"a\":",
    ",\"a\" 1",
    ",1:1",
    "]",
    "}",
    "{",
    ",\"open\":\"",
  };
  static const size_t steps[] = { 1, 4000, 65536 };

  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    for (int spaced = 0; spaced < 2; spaced++)
      {
        GString *text = long_answer (spaced ? " \r\n\t" : "", members[i]);

        assert_same (text->str, text->len, steps[i % G_N_ELEMENTS (steps)]);
        g_string_append (text, " \n");
        assert_same (text->str, text->len, 65536);
        g_string_append (text, "x");
        assert_same (text->str, text->len, 65536);
        g_string_free (text, TRUE);
      }
}
END_TEST

START_TEST (test_odd_texts)
{
  static const char *const texts[] = { "",
                                       " ",
                                       "{",
                                       "[",
                                       "]",
                                       "{}",
                                       "[]",
                                       " [ ] ",
                                       "1",
                                       "null",
                                       "\"a\"",
                                       "{\"a\":1}",
                                       "{\"a\":1",
                                       "{\"a\":1}}",
                                       "[1,]",
                                       "[,1]",
                                       "[1 2]",
                                       "{\"a\"}",
                                       "\xef\xbb\xbf{}" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    assert_same (texts[i], strlen (texts[i]), 1);
}
END_TEST

/* Around the depth at which the parser gives up, and that of a part. */
START_TEST (test_deep)
{
  static const int depths[]
      = { 7, 8, 9, 20, 1000, 1030, 2046, 2047, 2048, 2049, 20000 };

  for (size_t i = 0; i < G_N_ELEMENTS (depths); i++)
    for (int is_long = 0; is_long < 2; is_long++)
      {
        GString *text = g_string_new (NULL);

        for (int d = 0; d < depths[i]; d++)
          g_string_append_c (text, '[');
        for (int n = 0; is_long && n < 20000; n++)
          g_string_append (text, "1,");
        g_string_append_c (text, '1');
        for (int d = 0; d < depths[i]; d++)
          g_string_append_c (text, ']');
        assert_same (text->str, text->len, 4000);
        g_string_free (text, TRUE);
      }
}
END_TEST

START_TEST (test_cut)
{
  GString *text = long_answer ("", "");

  for (size_t bytes = 0; bytes < text->len; bytes += 9770)
    assert_same (text->str, bytes, 65536);
  for (size_t bytes = text->len - 40; bytes < text->len; bytes++)
    assert_same (text->str, bytes, 65536);
  g_string_free (text, TRUE);
}
END_TEST

START_TEST (test_changed_bytes)
{
  static const char bytes[] = "{}[],:\"\\ 0e-ntx\x00\x1f\xc3";
  GString *text = long_answer ("", "");
  GRand *random = g_rand_new_with_seed (52);

  for (int i = 0; i < MUTATIONS; i++)
    {
      size_t at = (size_t)g_rand_int_range (random, 0, (gint32)text->len);
      size_t with = (size_t)g_rand_int_range (random, 0, sizeof bytes - 1);
      char before = text->str[at];

      text->str[at] = bytes[with];
      assert_same (text->str, text->len, 65536);
      text->str[at] = before;
    }
  g_rand_free (random);
  g_string_free (text, TRUE);
}
END_TEST

/* No step reads much more than it is told to. */
START_TEST (test_steps_are_short)
{
  GString *text = long_answer ("", "");
  struct platform_reading *reading
      = platform_read_begin (&wire->store, text->str, text->len);

  ck_assert_uint_ge (read_steps (reading, 4000), text->len / (4000 + 16384));
  platform_read_free (reading);
  g_string_free (text, TRUE);
}
END_TEST

START_TEST (test_free_half_read)
{
  GString *text = long_answer ("", "");
  struct platform_reading *reading
      = platform_read_begin (&wire->store, text->str, text->len);

  ck_assert (!platform_read_some (reading, 4000));
  platform_read_free (reading);
  g_string_free (text, TRUE);
}
END_TEST

/* Reads the only event of TEXT in parts. */
static void
read_event (const GString *text, struct beryl_object *object)
{
  struct platform_reading *reading
      = platform_read_begin (&wire->store, text->str, text->len);
  unsigned int status = 200;
  json_t *native;

  read_steps (reading, 65536);
  native = wire->store.impl->read_end (&wire->store, reading, BERYL_OP_WATCH,
                                       "config", &status);
  platform_read_free (reading);
  ck_assert (platform_object_read (
      json_array_get (json_object_get (native, "events"), 0), "config",
      object));
  json_decref (native);
}

/* The value's text is the one that came. */
START_TEST (test_text_is_kept)
{
  GString *text = long_answer ("", "");
  const char *from = strstr (text->str, "{\"version\"");
  size_t bytes = (size_t)(strstr (text->str, "},\"tombstone\"") - from);
  struct beryl_object object;

  read_event (text, &object);
  ck_assert_uint_eq (object.value_bytes, bytes);
  ck_assert_int_eq (memcmp (object.value, from, bytes), 0);
  platform_object_clear (&object);
  g_string_free (text, TRUE);
}
END_TEST

/* With spaces it would be longer than one that is printed. */
START_TEST (test_spaced_text_is_printed)
{
  GString *text = long_answer (" ", ",\"last\": 1");
  struct beryl_object object;

  read_event (text, &object);
  ck_assert_ptr_nonnull (strstr (object.value, "],\"last\":1}"));
  platform_object_clear (&object);
  g_string_free (text, TRUE);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("platform reading");
  TCase *tcase = tcase_create ("reading");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, setup, NULL);
  tcase_add_test (tcase, test_same_as_whole);
  tcase_add_test (tcase, test_odd_texts);
  tcase_add_test (tcase, test_deep);
  tcase_add_test (tcase, test_cut);
  tcase_add_test (tcase, test_changed_bytes);
  tcase_add_test (tcase, test_steps_are_short);
  tcase_add_test (tcase, test_free_half_read);
  tcase_add_test (tcase, test_text_is_kept);
  tcase_add_test (tcase, test_spaced_text_is_printed);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
