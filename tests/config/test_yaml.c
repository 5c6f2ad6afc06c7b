#include <stdlib.h>
#include <string.h>

#include "common/settings.h"
#include "common/yaml.h"
#include "../suite.h"

static struct yaml_file *
parse (const char *text, struct beryl_findings *findings)
{
  return yaml_file_parse ("f.yaml", text, strlen (text), findings);
}

START_TEST (test_values)
{
  static const char text[]
      = "a: 1\nb: [true, null, 1.5, 'no', -]\n---\nc: x\n";
  struct beryl_findings *findings = beryl_findings_create ();
  struct yaml_file *file = parse (text, findings);
  char *json;

  ck_assert_ptr_nonnull (file);
  json = json_dumps (yaml_file_documents (file), JSON_COMPACT);
  ck_assert_str_eq (
      json, "[{\"a\":1,\"b\":[true,null,1.5,\"no\",\"-\"]},{\"c\":\"x\"}]");
  free (json);
  yaml_file_destroy (file);
  beryl_findings_destroy (findings);
}
END_TEST

/* Guards against alias expansion attacks, where nested aliases in a file of a
 * few hundred bytes expand to gigabytes.  The reader rejects the first anchor
 * with its location and never follows an alias. */
START_TEST (test_alias_bomb)
{
  static const char text[] = "a: &a [x, x, x, x, x, x, x, x, x]\n"
                             "b: &b [*a, *a, *a, *a, *a, *a, *a, *a]\n"
                             "c: [*b, *b, *b, *b, *b, *b, *b, *b]\n";
  struct beryl_findings *findings = beryl_findings_create ();

  ck_assert_ptr_null (parse (text, findings));
  ck_assert_uint_eq (beryl_findings_count (findings), 18);
  ck_assert_uint_eq (beryl_findings_get (findings, 0)->line, 1);
  ck_assert_uint_eq (beryl_findings_get (findings, 0)->column, 4);
  beryl_findings_destroy (findings);
}
END_TEST

START_TEST (test_refused)
{
  static const struct
  {
    const char *text;
    const char *part;
    uint32_t line;
  } cases[] = {
    { "a: 1\na: 2\n", "given twice", 2 },
    { "a: [1, 2\nb: 3\n", "", 2 },
    { "a: !!python/x 1\n", "tags", 1 },
    { "? [a]\n: 1\n", "key must be text", 1 },
    { "a: \"\\xff\\x00", "", 1 },
    { "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[", "nested", 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct beryl_findings *findings = beryl_findings_create ();
      const struct beryl_finding *f;

      ck_assert_ptr_null (parse (cases[i].text, findings));
      f = beryl_findings_get (findings, 0);
      ck_assert_ptr_nonnull (strstr (f->message, cases[i].part));
      ck_assert_uint_eq (f->line, cases[i].line);
      beryl_findings_destroy (findings);
    }
}
END_TEST

struct target
{
  char node[32];
  uint16_t port;
};

static const struct beryl_field fields[] = {
  { .key = "node",
    .type = BERYL_FIELD_NAME,
    .offset = offsetof (struct target, node),
    .bytes = 32,
    .required = true },
  { .key = "port",
    .type = BERYL_FIELD_UINT16,
    .offset = offsetof (struct target, port),
    .min = 1,
    .max = 65535 },
};

/* A misspelt key and an invalid value in a settings file must both be reported
 * with line and column, and the process must not start with partial settings.
 */
START_TEST (test_settings_findings)
{
  char path[] = "/tmp/beryl-settings-XXXXXX";
  struct beryl_findings *findings = beryl_findings_create ();
  struct target target = { 0 };
  FILE *f = fdopen (mkstemp (path), "w");

  fputs ("node: n1\nprot: 80\nport: many\n", f);
  fclose (f);
  ck_assert (!settings_load (path, fields, 2, &target, findings));
  ck_assert_uint_eq (beryl_findings_count (findings), 2);
  ck_assert_uint_eq (beryl_findings_get (findings, 0)->line, 2);
  ck_assert_uint_eq (beryl_findings_get (findings, 1)->line, 3);
  ck_assert_uint_eq (beryl_findings_get (findings, 1)->column, 7);
  ck_assert_str_eq (target.node, "n1");
  remove (path);
  beryl_findings_destroy (findings);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("yaml");
  TCase *tcase = tcase_create ("yaml");

  tcase_add_test (tcase, test_values);
  tcase_add_test (tcase, test_alias_bomb);
  tcase_add_test (tcase, test_refused);
  tcase_add_test (tcase, test_settings_findings);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
