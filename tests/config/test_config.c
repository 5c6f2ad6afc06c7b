#include <stdlib.h>
#include <string.h>

#include "beryl/config.h"
#include "../suite.h"

#define OBJECT(kind, name, spec)                                              \
  "{\"api_version\":\"beryl/v1\",\"kind\":\"" kind "\",\"name\":\"" name      \
  "\",\"spec\":" spec "}"

/* SHA-256 of "secret". */
#define DIGEST                                                                \
  "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

static const char whole[]
    = "[" OBJECT ("service", "adviesmodel",
                  "{\"model\":\"advies\",\"class\":"
                  "\"batch\","
                  "\"deadline_ms\":60000,\"waste_"
                  "weight\":2.5}") "," OBJECT ("service",
                                               "vergunni"
                                               "ng-api",
                                               "{\"class"
                                               "\":"
                                               "\"urgent"
                                               "\","
                                               "\"deadli"
                                               "ne_ms\":"
                                               "300,"
                                               "\"rules"
                                               "\":["
                                               "{\"metho"
                                               "d\":"
                                               "\"POST\""
                                               ",\"path"
                                               "\":\"/"
                                               "letters/"
                                               "*\","
                                               "\"non_"
                                               "idempote"
                                               "nt\":"
                                               "true}]}") "," OBJECT ("urgenc"
                                                                      "y",
                                                                      "status",
                                                                      "{\"serv"
                                                                      "ice\":"
                                                                      "\"vergu"
                                                                      "nning-"
                                                                      "api\","
                                                                      "\"rules"
                                                                      "\":["
                                                                      "{\"path"
                                                                      "\":\"/"
                                                                      "status"
                                                                      "\","
                                                                      "\"class"
                                                                      "\":"
                                                                      "\"urgen"
                                                                      "t\","
                                                                      "\"deadl"
                                                                      "ine_"
                                                                      "ms\":"
                                                                      "100}]}") "," OBJECT ("model",
                                                                                            "advies", "{\"version\":\"3\"}") "," OBJECT ("pool",
                                                                                                                                         "p", "{\"service\":\"adviesmodel\",\"role\":\"prefill\"}") "," OBJECT ("organisation", "loket", "{\"token_sha256\":[\"" DIGEST "\"]}") "," OBJECT ("endpoint", "e1",
                                                                                                                                                                                                                                                                                            "{\"service\":\"adviesmodel\",\"address\":\"127.0.0.1\","
                                                                                                                                                                                                                                                                                            "\"port\":9000,\"role\":\"both\",\"slots\":20}") "," OBJECT ("system",
                                                                                                                                                                                                                                                                                                                                                         "system",
                                                                                                                                                                                                                                                                                                                                                         "{\"log_level\":\"debug\"}") "]";

static struct beryl_config *
parse (const char *json, struct beryl_findings *findings)
{
  return beryl_config_parse (json, strlen (json), 7, findings);
}

START_TEST (test_whole)
{
  struct beryl_findings *findings = beryl_findings_create ();
  struct beryl_config *config = parse (whole, findings);
  const struct beryl_service *api;
  const struct beryl_call_rule *rule;

  ck_assert_ptr_nonnull (config);
  ck_assert_uint_eq (config->version, 7);
  ck_assert_uint_eq (config->service_count, 2);
  ck_assert_str_eq (config->system.log_level, "debug");
  ck_assert_uint_eq (config->system.claim_shards, 16);
  ck_assert_str_eq (beryl_config_service_of_model (config, "advies")->name,
                    "adviesmodel");
  api = beryl_config_service (config, "vergunning-api");
  rule = beryl_service_rule (api, "POST", "/letters/4");
  ck_assert (rule->non_idempotent);
  ck_assert_ptr_null (beryl_service_rule (api, "GET", "/letters/4"));
  rule = beryl_service_rule (api, "GET", "/status?permit=1");
  ck_assert_int_eq (rule->deadline_ms, 100);
  ck_assert_ptr_null (beryl_service_rule (api, "GET", "/statusx"));
  ck_assert_str_eq (
      beryl_config_organisation_of_token (config, "secret")->name, "loket");
  ck_assert_ptr_null (beryl_config_organisation_of_token (config, "Secret"));
  ck_assert_ptr_null (beryl_config_organisation_of_token (config, ""));
  beryl_config_destroy (config);
  beryl_findings_destroy (findings);
}
END_TEST

/* Guards against losing or truncating the data centre of an organisation's
 * callers, which would silently disable their even distribution over its
 * nodes. */
START_TEST (test_organisation_data_centre)
{
  static const char json[] = "[" OBJECT (
      "organisation", "loket",
      "{\"token_sha256\":[\"" DIGEST "\"],\"data_centre\":\"hal-noord\"}") "]";
  static const char wrong[] = "[" OBJECT ("organisation", "loket",
                                          "{\"token_sha256\":[\"" DIGEST
                                          "\"],\"data_centre\":7}") "]";
  struct beryl_findings *findings = beryl_findings_create ();
  struct beryl_config *config = parse (json, findings);

  ck_assert_ptr_nonnull (config);
  ck_assert_str_eq (config->organisations[0].data_centre, "hal-noord");
  beryl_config_destroy (config);
  ck_assert_ptr_null (parse (wrong, findings));
  ck_assert_str_eq (beryl_findings_get (findings, 0)->file,
                    "/0/spec/data_centre");
  beryl_findings_destroy (findings);
}
END_TEST

/* Guards against keys being looked up in a shard that no node has: the check
 * allowed 1,024 shards, while the claim log silently limits them to 1,000. */
START_TEST (test_claim_shards)
{
  static const char most[]
      = "[" OBJECT ("system", "system", "{\"claim_shards\":1000}") "]";
  static const char more[]
      = "[" OBJECT ("system", "system", "{\"claim_shards\":1001}") "]";
  struct beryl_findings *findings = beryl_findings_create ();
  struct beryl_config *config = parse (most, findings);

  ck_assert_ptr_nonnull (config);
  ck_assert_uint_eq (config->system.claim_shards, 1000);
  beryl_config_destroy (config);
  ck_assert_ptr_null (parse (more, findings));
  ck_assert_str_eq (beryl_findings_get (findings, 0)->file,
                    "/0/spec/claim_shards");
  beryl_findings_destroy (findings);
}
END_TEST

static bool
has_finding (const struct beryl_findings *findings, const char *pointer,
             const char *part)
{
  for (size_t i = 0; i < beryl_findings_count (findings); i++)
    {
      const struct beryl_finding *f = beryl_findings_get (findings, i);

      if (strstr (f->message, part) == NULL)
        continue;
      if (pointer == NULL || strcmp (f->file, pointer) == 0)
        return true;
    }
  return false;
}

/* All mistakes in a file must be reported in one run, each with its location.
 */
START_TEST (test_all_findings_together)
{
  static const char json[] = "[" OBJECT ("service", "a", "{\"deadline\":5,\"class\":\"asap\"}") "," OBJECT (
      "endpoint", "e",
      "{\"service\":\"a\",\"address\":\"host\",\"port\":70000,"
      "\"role\":\"both\"}") "," OBJECT ("organisation", "o",
                                        "{\"token_sha256\":[\"zz\"]}") "," OBJECT ("service",
                                                                                   "a",
                                                                                   "{}") "," OBJECT ("thing",
                                                                                                     "t",
                                                                                                     "{}") "," OBJECT ("pool",
                                                                                                                       "Upper",
                                                                                                                       "{}") ",7]";
  struct beryl_findings *findings = beryl_findings_create ();

  ck_assert_ptr_null (parse (json, findings));
  ck_assert (has_finding (findings, "/0/spec/deadline", "unknown key"));
  ck_assert (has_finding (findings, "/0/spec/class", "urgent, normal"));
  ck_assert (has_finding (findings, "/1/spec/address", "IP number"));
  ck_assert (has_finding (findings, "/1/spec/port", "from 1 to 65535"));
  ck_assert (has_finding (findings, "/2/spec/token_sha256/0", "hex"));
  ck_assert (has_finding (findings, "/3/name", "more than once"));
  ck_assert (has_finding (findings, "/4/kind", "kind must be"));
  ck_assert (has_finding (findings, "/5/name", "must match"));
  ck_assert (has_finding (findings, "/6", "must be an object"));
  beryl_findings_destroy (findings);
}
END_TEST

/* A configuration with an endpoint of a deleted service must be rejected as a
 * whole, as its calls could not be routed. */
START_TEST (test_references)
{
  static const char json[] = "[" OBJECT ("service", "a", "{\"model\":\"none\"}") "," OBJECT (
      "endpoint", "e",
      "{\"service\":\"gone\",\"address\":\"127.0.0.1\","
      "\"port\":1,\"role\":\"service\"}") "," OBJECT ("organisation", "o",
                                                      "{\"token_sha256\":["
                                                      "\"" DIGEST
                                                      "\"]}") "," OBJECT ("org"
                                                                          "ani"
                                                                          "sat"
                                                                          "io"
                                                                          "n",
                                                                          "p",
                                                                          "{\""
                                                                          "tok"
                                                                          "en_"
                                                                          "sha"
                                                                          "256"
                                                                          "\":"
                                                                          "["
                                                                          "\"" DIGEST
                                                                          "\"]"
                                                                          "}") "]";
  struct beryl_findings *findings = beryl_findings_create ();

  ck_assert_ptr_null (parse (json, findings));
  ck_assert (has_finding (findings, NULL, "there is no model none"));
  ck_assert (has_finding (findings, NULL, "there is no service gone"));
  ck_assert (has_finding (findings, NULL, "shares a token"));
  beryl_findings_destroy (findings);
}
END_TEST

START_TEST (test_bad_json)
{
  static const char *const texts[]
      = { "", "[", "{}", "[{\"kind\":\"service\",\"kind\":\"pool\"}]",
          "[\"\\u0000\"]" };

  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    {
      struct beryl_findings *findings = beryl_findings_create ();

      ck_assert_ptr_null (parse (texts[i], findings));
      ck_assert_uint_gt (beryl_findings_count (findings), 0);
      beryl_findings_destroy (findings);
    }
}
END_TEST

START_TEST (test_one_object)
{
  static const char good[] = OBJECT ("service", "a", "{}");
  static const char bad[] = OBJECT ("service", "a", "{\"deadline_ms\":0}");
  struct beryl_findings *findings = beryl_findings_create ();

  ck_assert (beryl_config_check_object (good, strlen (good), findings));
  ck_assert (!beryl_config_check_object (bad, strlen (bad), findings));
  ck_assert (has_finding (findings, "/spec/deadline_ms", "from 1 to"));
  beryl_findings_destroy (findings);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("config");
  TCase *tcase = tcase_create ("config");

  tcase_add_test (tcase, test_whole);
  tcase_add_test (tcase, test_organisation_data_centre);
  tcase_add_test (tcase, test_claim_shards);
  tcase_add_test (tcase, test_all_findings_together);
  tcase_add_test (tcase, test_references);
  tcase_add_test (tcase, test_bad_json);
  tcase_add_test (tcase, test_one_object);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
