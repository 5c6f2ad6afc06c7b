/* Messages to the users' platform and parsing of its responses, with examples
 * from its published protocol. */
#include <check.h>
#include <string.h>

#include "../suite.h"
#include "platform.h"

static const struct gateway_wire *wire;
static struct beryl_live_endpoint endpoint;

static void
setup (void)
{
  wire = platform_gateway_wire ();
  endpoint = (struct beryl_live_endpoint){
    .info = { .id = "i-7f3a91c2", .address = "10.1.64.9", .port = 8080 }
  };
}

static struct beryl_object
object_of (const char *name, const char *value)
{
  return (struct beryl_object){ .name = (char *)name,
                                .version = 7,
                                .value = value,
                                .value_bytes = strlen (value) };
}

static const char configuration[]
    = "{\"version\":41,\"services\":["
      "{\"name\":\"api\",\"health_path\":\"/h\",\"max_connections\":96},"
      "{\"name\":\"llm\",\"health_path\":\"/h\",\"max_connections\":360,"
      "\"engine\":{\"slots\":64,\"kv_tokens\":106284,"
      "\"kv_token_bytes\":163840,\"link_mbps\":8800000.0,\"stride\":16,"
      "\"moves\":true,\"backups\":false,\"kv_hold_s\":1.5,"
      "\"stage_switch_s\":2,\"pin_ms\":900,\"hold_ms\":2500}}],"
      "\"routes\":["
      "{\"name\":\"lookup\",\"host\":\"a.example\",\"path_prefix\":\"/x/\","
      "\"kind\":\"safe\",\"service\":\"api\",\"max_attempts\":3,"
      "\"timeout_ms\":1500,\"target_latency_ms\":100,\"priority\":2},"
      "{\"name\":\"order\",\"host\":\"a.example\",\"path_prefix\":\"/y/\","
      "\"kind\":\"unsafe\",\"weighted_split\":["
      "{\"service\":\"api\",\"weight\":3},{\"service\":\"llm\",\"weight\":1}"
      "]},"
      "{\"name\":\"advice\",\"host\":\"b.example\",\"path_prefix\":\"/\","
      "\"kind\":\"streaming\",\"resumable\":true,\"sticky\":true,"
      "\"service\":\"llm\",\"max_attempts\":2,\"timeout_ms\":14000,"
      "\"target_latency_ms\":900,\"gap_aim_ms\":300}],"
      "\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":65536,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":20000}}";

START_TEST (test_configuration)
{
  struct beryl_object object = object_of ("main", configuration);
  struct beryl_error error = { 0 };
  struct beryl_routes *routes
      = wire->impl->read_routes (wire, &object, &error);
  const struct beryl_route *route;
  const struct beryl_engine_capabilities *engine;

  ck_assert_msg (routes != NULL, "%s", error.message);
  ck_assert_uint_eq (routes->version, 41);
  ck_assert_uint_eq (routes->limits.body_bytes, 65536);
  route = beryl_routes_find (routes, "a.example", "/x/1");
  ck_assert_str_eq (route->name, "lookup");
  ck_assert_int_eq (route->repeat, BERYL_REPEAT_IDEMPOTENT);
  ck_assert_uint_eq (route->endpoints_max, 3);
  ck_assert_int_eq (route->timeout_ms, 1500);
  ck_assert (!route->streaming && !route->generation);
  route = beryl_routes_find (routes, "a.example", "/y/");
  ck_assert_int_eq (route->repeat, BERYL_REPEAT_ONCE);
  ck_assert_uint_eq (route->endpoints_max, 1);
  ck_assert_uint_eq (route->target_count, 2);
  ck_assert_uint_eq (route->targets[0].weight, 3);
  route = beryl_routes_find (routes, "b.example", "/chat");
  ck_assert (route->streaming && route->resumable && route->generation);
  ck_assert_int_eq (route->repeat, BERYL_REPEAT_IDEMPOTENT);
  ck_assert_int_eq (route->gap_objective_ms, 300);
  ck_assert_int_eq (route->caller_idle_timeout_ms,
                    MAX (2400, 4 * route->objective_ms));
  engine = &routes->services[1].engine;
  ck_assert (routes->services[1].has_engines
             && !routes->services[0].has_engines);
  ck_assert_uint_eq (engine->kv_tokens, 106284);
  ck_assert_uint_eq (engine->event_tokens, 16);
  ck_assert_int_eq (engine->kv_handle_ms, 1500);
  ck_assert_int_eq (engine->stage_change_ms, 2000);
  ck_assert_int_eq (engine->reservation_ms, 2500);
  ck_assert (engine->can_relocate && !engine->can_back_up);
  beryl_routes_unref (routes);
}
END_TEST

/* A stream that is not resumable must not be retried. */
START_TEST (test_stream_without_resume)
{
  struct beryl_object object = object_of (
      "main", "{\"version\":1,\"services\":[{\"name\":\"s\"}],\"routes\":["
              "{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\","
              "\"kind\":\"streaming\",\"service\":\"s\"}]}");
  struct beryl_error error = { 0 };
  struct beryl_routes *routes
      = wire->impl->read_routes (wire, &object, &error);

  ck_assert_int_eq (beryl_routes_find (routes, "h", "/")->repeat,
                    BERYL_REPEAT_ONCE);
  beryl_routes_unref (routes);
}
END_TEST

#define ONE_ROUTE(name, host, path)                                           \
  "{\"version\":1,\"services\":[{\"name\":\"s\"}],\"routes\":[{\"name\":"     \
  "\"" name "\",\"host\":\"" host "\",\"path_prefix\":\"" path                \
  "\",\"kind\":\"safe\",\"service\":\"s\"}]}"

START_TEST (test_malformed_configurations)
{
  static const char *const values[] = {
    "",
    "[]",
    "{}",
    "{\"version\":\"1\",\"services\":[],\"routes\":[]}",
    "{\"version\":1,\"services\":[]}",
    "{\"version\":1,\"services\":[{\"name\":\"\"}],\"routes\":[]}",
    "{\"version\":1,\"services\":[{\"name\":\"s\"}],"
    "\"routes\":[{\"name\":\"r\",\"service\":\"other\"}]}",
    "{\"version\":1,\"services\":[{\"name\":\"s\"}],"
    "\"routes\":[{\"name\":\"r\",\"weighted_split\":[{\"service\":\"z\"}]}]}",
    "{\"version\":1,\"services\":[3],\"routes\":[4]}",
    ONE_ROUTE ("r\\u0000s", "h", "/"),
    ONE_ROUTE ("r", "h\\u0000i", "/"),
    ONE_ROUTE ("r", "h", "/a\\u0000/"),
  };

  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      struct beryl_object object = object_of ("main", values[i]);
      struct beryl_error error = { 0 };

      json_t *parsed = json_loads (values[i], JSON_ALLOW_NUL, NULL);

      ck_assert_ptr_null (wire->impl->read_routes (wire, &object, &error));
      ck_assert_str_ne (error.message, "");
      /* The same if the value is already parsed. */
      object.parsed = parsed;
      error.message[0] = '\0';
      ck_assert_ptr_null (wire->impl->read_routes (wire, &object, &error));
      ck_assert_str_ne (error.message, "");
      json_decref (parsed);
    }
}
END_TEST

START_TEST (test_endpoint)
{
  struct beryl_object object = object_of (
      "i-1", "{\"service\":\"llm\",\"address\":\"10.1.64.9:8080\","
             "\"zone\":\"hall-a\",\"version\":\"3\",\"slots\":64,"
             "\"state\":\"ready\",\"stage\":\"decode\",\"sequence\":9,"
             "\"born\":1780000000123}");
  struct beryl_error error = { 0 };
  struct beryl_live_info info;

  ck_assert (wire->impl->read_endpoint (wire, &object, &info, &error));
  ck_assert_str_eq (info.id, "i-1");
  ck_assert_str_eq (info.service, "llm");
  ck_assert_str_eq (info.address, "10.1.64.9");
  ck_assert_uint_eq (info.port, 8080);
  ck_assert_str_eq (info.data_centre, "hall-a");
  ck_assert_int_eq (info.stage, BERYL_STAGE_DECODE);
  ck_assert (!info.leaving);
  ck_assert_uint_eq (info.revision, 7);
  ck_assert_uint_eq (info.process_start_ms, 1780000000123);
  ck_assert_str_eq (info.software_version, "3");
  object
      = object_of ("i-1", "{\"service\":\"llm\",\"address\":\"10.1.64.9:1\","
                          "\"zone\":\"hall-a\",\"state\":\"draining\"}");
  ck_assert (wire->impl->read_endpoint (wire, &object, &info, &error));
  ck_assert (info.leaving);
  ck_assert_int_eq (info.stage, BERYL_STAGE_NONE);
  ck_assert_str_eq (info.software_version, "");
  ck_assert_uint_eq (info.process_start_ms, 0);
}
END_TEST

static bool
reads_address (const char *address)
{
  char *text = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\","
      "\"state\":\"ready\"}",
      address);
  struct beryl_object object = object_of ("i-1", text);
  struct beryl_error error = { 0 };
  struct beryl_live_info info;
  bool read = wire->impl->read_endpoint (wire, &object, &info, &error);

  g_free (text);
  return read;
}

/* Guards against requests to an address that no endpoint has stated. */
START_TEST (test_malformed_addresses)
{
  static const char *const addresses[] = {
    "10.1.1.1",       "10.1.1.1:0",      "10.1.1.1:70000", ":80",
    "10.1.1.1:8080x", "10.1.1.1:8080.5", "10.1.1.1: 8080", "10.1.1.1:+8080",
    "10.1.1.1:-1",    "10.1.1.1:0x1f90", "10.1.1.1:",      "999.1.1.1:80",
    "10.1.1:80",      "10.1.1.1 :80",    "host:80"
  };

  ck_assert (reads_address ("10.1.1.1:8080"));
  for (size_t i = 0; i < G_N_ELEMENTS (addresses); i++)
    ck_assert_msg (!reads_address (addresses[i]), "%s", addresses[i]);
}
END_TEST

/* Another program writes a malformed endpoint entry. If it were read in part,
 * requests would go to an address that was not meant as an endpoint. */
START_TEST (test_malformed_endpoints)
{
#define ENTRY(zone, state, more)                                              \
  "{\"service\":\"s\",\"address\":\"10.1.1.1:80\",\"zone\":" zone             \
  ",\"state\":" state more "}"
  static const char *const values[] = {
    "",
    "null",
    "\"text\"",
    "[1]",
    "{\"service\":\"s\",\"address\":\"10.1.1.1:80\",\"state\":\"ready\"}",
    "{\"service\":\"s\",\"address\":\"10.1.1.1:80\",\"zone\":\"z\"}",
    ENTRY ("7", "\"ready\"", ""),
    ENTRY ("\"z\"", "true", ""),
    ENTRY ("\"z\"", "\"asleep\"", ""),
    ENTRY ("\"z\"", "\"ready\"", ",\"slots\":\"many\""),
    ENTRY ("\"z\"", "\"ready\"", ",\"slots\":-1"),
    ENTRY ("\"z\"", "\"ready\"", ",\"stage\":\"juggle\""),
    ENTRY ("\"z\"", "\"ready\"", ",\"stage\":null"),
    ENTRY ("\"z\"", "\"ready\"", ",\"version\":\"\""),
    ENTRY ("\"z\"", "\"ready\"", ",\"version\":2"),
    ENTRY ("\"z\"", "\"ready\"", ",\"version\":\"v\\u00001\""),
    ENTRY ("\"z\"", "\"ready\"", ",\"born\":\"today\""),
    ENTRY ("\"z\"", "\"ready\"", ",\"born\":1.5"),
    ENTRY ("\"z\"", "\"ready\"", ",\"born\":0"),
    "{\"service\":\"s\"}",
    "{\"service\":\"s\",\"address\":\"10.1.1.1\"}",
    "{\"service\":\"s\",\"address\":\"10.1.1.1:0\"}",
    "{\"service\":\"s\",\"address\":\"10.1.1.1:70000\"}",
    "{\"service\":\"s\",\"address\":\":80\"}",
    "{\"service\":\"\",\"address\":\"10.1.1.1:80\"}",
    "{\"service\":4,\"address\":\"10.1.1.1:80\"}",
  };
#undef ENTRY

  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      struct beryl_object object = object_of ("i-1", values[i]);
      struct beryl_error error = { 0 };
      struct beryl_live_info info;

      ck_assert_msg (!wire->impl->read_endpoint (wire, &object, &info, &error),
                     "%s", values[i]);
    }
}
END_TEST

/* An entry without a stage, and with reals in place of integers, is valid. */
START_TEST (test_minimal_endpoint)
{
  struct beryl_object object = object_of (
      "i-1", "{\"service\":\"s\",\"address\":\"10.1.1.1:80\",\"zone\":\"z\","
             "\"state\":\"ready\",\"slots\":4.0,\"born\":12.0}");
  struct beryl_error error = { 0 };
  struct beryl_live_info info;

  ck_assert (wire->impl->read_endpoint (wire, &object, &info, &error));
  ck_assert_uint_eq (info.slots, 4);
  ck_assert_uint_eq (info.process_start_ms, 12);
}
END_TEST

static struct h1_field caller_fields[] = {
  { "Host", "ficu95.example" },
  { "X-Request-Id", "9c41d07be2a35f68" },
  { "Last-Event-Id", "12" },
  { "Resumes", "77aa01" },
  { "X-Model", "m" },
  { "X-Token-Counts", "1460,80" },
  { "X-Length-Hint", "64" },
  { "X-Deadline-Ms", "14000" },
  { "X-Kv-Hold", "stolen" },
  { "X-Kv-Source", "10.0.0.1:1/x" },
  { "X-Expect-Instance", "other" },
  { "X-Serving-Stage", "prefill" },
  { "X-Request-Urgency", "0" },
  { "Connection", "keep-alive, X-Mine" },
  { "X-Mine", "1" },
  { "Content-Length", "3" },
};

static const struct h1_head caller_head = {
  .method = "POST",
  .target = "/lohu930/2f?q=1",
  .fields = caller_fields,
  .field_count = G_N_ELEMENTS (caller_fields),
};

/* Guards against parts of prompts that are confused, and against the last one,
 * which belongs to the request, being taken for one that others share. */
START_TEST (test_prompt_parts)
{
  static const struct
  {
    const char *prompt;
    uint32_t parts;
  } cases[] = {
    { "", 0 },      { "a:5", 0 }, { "a:1,b:2", 1 },  { "a:1,b:2,c:3", 2 },
    { "a,b,c", 2 }, { ",,", 0 },  { "a:1,,c:3", 1 }, { ":3,b:1,c:1", 1 },
  };
  struct h1_field field = { "X-Prompt-Prefix", NULL };
  struct h1_head head = {
    .method = "POST", .target = "/x", .fields = &field, .field_count = 1
  };
  struct beryl_forward_request first = { 0 };
  GString *many = g_string_new (NULL);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct beryl_forward_request request = { 0 };

      field.value = cases[i].prompt;
      wire->impl->read_request (wire, &head, 0, &request);
      ck_assert_msg (request.prompt_part_count == cases[i].parts, "%s",
                     cases[i].prompt);
    }
  field.value = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";
  wire->impl->read_request (wire, &head, 0, &first);
  field.value = "91bd3f06:9,5c1e07a2:8,5c1e07a2:250";
  {
    struct beryl_forward_request other = { 0 };

    wire->impl->read_request (wire, &head, 0, &other);
    ck_assert_uint_eq (first.prompt_parts[0], other.prompt_parts[1]);
    ck_assert_uint_eq (first.prompt_parts[1], other.prompt_parts[0]);
    ck_assert_uint_ne (first.prompt_parts[0], first.prompt_parts[1]);
  }
  for (int i = 0; i < 3 * BERYL_PROMPT_PARTS_MAX; i++)
    g_string_append_printf (many, "%x:1,", i);
  field.value = many->str;
  first = (struct beryl_forward_request){ 0 };
  wire->impl->read_request (wire, &head, 0, &first);
  ck_assert_uint_eq (first.prompt_part_count, BERYL_PROMPT_PARTS_MAX);
  g_string_free (many, TRUE);
}
END_TEST

START_TEST (test_read_request)
{
  struct beryl_forward_request request = { 0 };

  wire->impl->read_request (wire, &caller_head, 1000, &request);
  ck_assert_str_eq (request.id, "9c41d07be2a35f68");
  ck_assert_str_eq (request.resumed_id, "77aa01");
  ck_assert (request.id_exact);
  ck_assert_str_eq (request.host, "ficu95.example");
  ck_assert_str_eq (request.path, "/lohu930/2f?q=1");
  ck_assert_int_eq (request.deadline_ms, 15000);
  ck_assert_uint_eq (request.prompt_tokens, 1460);
  ck_assert_uint_eq (request.output_tokens_max, 80);
  ck_assert_uint_eq (request.output_tokens_hint, 64);
  ck_assert (request.resumes);
  ck_assert_uint_eq (request.last_event_id, 12);
}
END_TEST

/* Request ids are logged and sent in the body of a move. Unprintable
 * characters must not reach either; an id that is too long to be stored
 * completely identifies no run. */
START_TEST (test_unprintable_ids)
{
  struct h1_field field = { "X-Request-Id", NULL };
  struct h1_head head
      = { .method = "GET", .target = "/", .fields = &field, .field_count = 1 };
  struct beryl_forward_request request = { 0 };
  char *long_id = g_strnfill (200, 'x');

  field.value = "a b\tid=c";
  wire->impl->read_request (wire, &head, 0, &request);
  ck_assert_str_eq (request.id, "a_b_id=c");
  ck_assert (!request.id_exact);
  field.value = long_id;
  wire->impl->read_request (wire, &head, 0, &request);
  ck_assert (!request.id_exact);
  g_free (long_id);
}
END_TEST

static GString *
formatted_request (const struct beryl_exchange_start *start)
{
  GString *out = g_string_new (NULL);

  wire->impl->format_request (wire, &caller_head, 3, start, out);
  return out;
}

/* Callers must not set fields that only the gateway may set: reservations, KV
 * caches of other requests, urgency. */
START_TEST (test_format_request)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_RUN,
                                        .endpoint = &endpoint,
                                        .remaining_ms = 13900 };
  GString *out = formatted_request (&start);

  ck_assert_str_eq (out->str, "POST /lohu930/2f?q=1 HTTP/1.1\r\n"
                              "Host: ficu95.example\r\n"
                              "X-Request-Id: 9c41d07be2a35f68\r\n"
                              "Last-Event-Id: 12\r\n"
                              "Resumes: 77aa01\r\n"
                              "X-Model: m\r\n"
                              "X-Token-Counts: 1460,80\r\n"
                              "X-Length-Hint: 64\r\n"
                              "X-Expect-Instance: i-7f3a91c2\r\n"
                              "X-Deadline-Ms: 13900\r\n"
                              "Content-Length: 3\r\n"
                              "Connection: close\r\n\r\n");
  g_string_free (out, TRUE);
}
END_TEST

START_TEST (test_format_prefill_and_run)
{
  struct beryl_exchange_start prefill
      = { .kind = BERYL_EXCHANGE_PREFILL, .endpoint = &endpoint };
  struct beryl_exchange_start run = { .kind = BERYL_EXCHANGE_RUN,
                                      .endpoint = &endpoint,
                                      .reservation = "h-1",
                                      .kv_handle = "3fa09c41b7d5",
                                      .kv_address = "10.1.64.8",
                                      .kv_port = 8081,
                                      .resumes = true,
                                      .last_event_id = 20 };
  GString *out = formatted_request (&prefill);

  ck_assert_ptr_nonnull (strstr (out->str, "X-Serving-Stage: prefill\r\n"));
  ck_assert_ptr_null (strstr (out->str, "X-Kv-"));
  g_string_free (out, TRUE);
  out = formatted_request (&run);
  ck_assert_ptr_null (strstr (out->str, "X-Serving-Stage"));
  ck_assert_ptr_nonnull (strstr (out->str, "X-Kv-Hold: h-1\r\n"));
  ck_assert_ptr_nonnull (
      strstr (out->str, "X-Kv-Source: 10.1.64.8:8081/3fa09c41b7d5\r\n"));
  ck_assert_ptr_nonnull (strstr (out->str, "Last-Event-Id: 20\r\n"));
  ck_assert_ptr_null (strstr (out->str, "Last-Event-Id: 12\r\n"));
  g_string_free (out, TRUE);
}
END_TEST

static struct beryl_answer_head
response_head (unsigned int status, const char *name, const char *value)
{
  struct h1_field field = { name, value };
  struct h1_head head
      = { .status = status, .fields = &field, .field_count = 1 };
  struct gateway_asked asked
      = { BERYL_EXCHANGE_RUN, "i-7f3a91c2", "9c41d07be2a35f68" };
  struct beryl_answer_head answer = { 0 };

  wire->impl->read_response (wire, &asked, &head, &answer);
  return answer;
}

START_TEST (test_responses)
{
  ck_assert (!response_head (503, "X-Other", "1").not_run);
  ck_assert (response_head (503, "X-Not-Executed", "1").not_run);
  ck_assert (response_head (421, "X-Instance-Id", "i-2").misdirected);
  ck_assert (response_head (421, "X-Instance-Id", "i-7f3a91c2").wrong_stage);
  ck_assert (response_head (421, "X-Other", "1").wrong_stage);
  ck_assert (response_head (200, "Content-Type", "text/event-stream; x=y")
                 .event_stream);
  ck_assert (!response_head (200, "Content-Type", "text/plain").event_stream);
}
END_TEST

/* Guards against an answer that is taken for another request's, or for one
   without its marks, and the other way round. */
START_TEST (test_marks)
{
  static const struct
  {
    const char *request_id;
    struct h1_field fields[2];
    struct beryl_answer_marks marks;
  } cases[] = {
    { "a", { { "x-request-id", "a" }, { "x-response-seal", "s" } }, { 0 } },
    { "a",
      { { "X-Request-Id", "a" }, { "X-Response-Seal", "" } },
      { .lacks_seal = true } },
    { "a",
      { { "X-Request-Id", "A" }, { "X-Response-Seal", "s" } },
      { .other_id = true } },
    { "a",
      { { "X-Request-Id", "" }, { "X-Response-Seal", "s" } },
      { .other_id = true } },
    { "a",
      { { "X-Request-Id", "a" }, { "X-Request-Id", "b" } },
      { .other_id = true, .lacks_seal = true } },
    { "a",
      { { "X-Other", "a" }, { "X-Response-Seal", "s" } },
      { .lacks_id = true } },
    { NULL, { { "X-Other", "a" }, { "X-Response-Seal", "s" } }, { 0 } },
    { NULL,
      { { "X-Request-Id", "a" }, { "X-Response-Seal", "s" } },
      { .other_id = true } },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct gateway_asked asked
          = { BERYL_EXCHANGE_RUN, "e", cases[i].request_id };
      struct h1_field fields[2] = { cases[i].fields[0], cases[i].fields[1] };
      struct h1_head head
          = { .status = 200, .fields = fields, .field_count = 2 };
      struct beryl_answer_head answer = { 0 };

      wire->impl->read_response (wire, &asked, &head, &answer);
      ck_assert_int_eq (answer.marks.lacks_id, cases[i].marks.lacks_id);
      ck_assert_int_eq (answer.marks.other_id, cases[i].marks.other_id);
      ck_assert_int_eq (answer.marks.lacks_seal, cases[i].marks.lacks_seal);
    }
  ck_assert (response_head (421, "X-Other", "1").not_run);
  ck_assert (response_head (421, "X-Instance-Id", "i-2").not_run);
  ck_assert (!response_head (421, "X-Request-Id", "other").not_run);
  ck_assert (!response_head (408, "X-Other", "1").not_run);
  ck_assert (!response_head (429, "X-Other", "1").not_run);
  ck_assert (!response_head (503, "X-Other", "1").not_run);
  ck_assert (response_head (421, "X-Request-Id", "9c41d07be2a35f68").not_run);
  ck_assert (!response_head (200, "X-Not-Executed", "1").not_run);
  ck_assert (
      response_head (200, "Content-Type", "Text/Event-Stream").event_stream);
  ck_assert (
      !response_head (200, "Content-Type", "text/event-streamx").event_stream);
}
END_TEST

/* A malformed limit must not be taken for a limit of zero. */
START_TEST (test_limits)
{
  ck_assert (!response_head (200, "X-Other", "1").limit.advertised);
  ck_assert (response_head (200, "Server-Limit", "5.2").limit.advertised);
  ck_assert_uint_eq (
      response_head (200, "server-limit", "5.2").limit.millirequests_per_s,
      5200);
  ck_assert (response_head (503, "Server-Limit", "0").limit.advertised);
  ck_assert_uint_eq (
      response_head (200, "Server-Limit", "1e99").limit.millirequests_per_s,
      UINT32_MAX);
  ck_assert (!response_head (200, "Server-Limit", "").limit.advertised);
  ck_assert (!response_head (200, "Server-Limit", "few").limit.advertised);
  ck_assert (!response_head (200, "Server-Limit", "-1").limit.advertised);
  ck_assert (!response_head (200, "Server-Limit", "nan").limit.advertised);
}
END_TEST

START_TEST (test_pause)
{
  static const char *const unreadable[] = {
    "", "0", "-3", "soon", "nan", "3 s", "Wed, 21 Oct 2026 07:28:00 GMT"
  };

  ck_assert_int_eq (response_head (503, "Retry-After", "3").pause_ms, 3000);
  ck_assert_int_eq (response_head (503, "retry-after", "2.5").pause_ms, 2500);
  ck_assert_int_eq (response_head (429, "Retry-After", "1").pause_ms, 1000);
  ck_assert_int_eq (response_head (200, "Retry-After", "3").pause_ms, 0);
  ck_assert_int_eq (response_head (503, "Retry-After", "1e99").pause_ms,
                    3600000);
  ck_assert_int_eq (response_head (503, "Retry-After", "inf").pause_ms,
                    3600000);
  for (size_t i = 0; i < G_N_ELEMENTS (unreadable); i++)
    ck_assert_int_eq (
        response_head (503, "Retry-After", unreadable[i]).pause_ms, 0);
}
END_TEST

START_TEST (test_leaving)
{
  ck_assert (response_head (200, "Server-Leaving", "1").leaving);
  ck_assert (response_head (503, "server-leaving", "1").leaving);
  ck_assert (!response_head (200, "Server-Leaving", "0").leaving);
  ck_assert (!response_head (200, "Server-Limit", "1").leaving);
}
END_TEST

static struct beryl_engine_result
engine_result (enum beryl_exchange_kind kind, unsigned int status,
               const char *body)
{
  struct h1_head head = { .status = status };
  struct gateway_asked asked = { kind, "i-7f3a91c2", "9c41d07be2a35f68" };
  struct beryl_engine_result result = { 0 };

  wire->impl->read_engine_response (wire, &asked, &head, body, strlen (body),
                                    &result);
  return result;
}

START_TEST (test_engine_responses)
{
  struct beryl_engine_result result;

  result = engine_result (BERYL_EXCHANGE_RESERVE, 200, "{\"hold\":\"h-9\"}");
  ck_assert (result.ok);
  ck_assert_str_eq (result.handle, "h-9");
  result = engine_result (BERYL_EXCHANGE_RESERVE, 200, "{\"hold\":17}");
  ck_assert_str_eq (result.handle, "17");
  ck_assert (!engine_result (BERYL_EXCHANGE_RESERVE, 200, "{}").ok);
  ck_assert (!engine_result (BERYL_EXCHANGE_RESERVE, 503, "").ok);
  result = engine_result (BERYL_EXCHANGE_PREFILL, 200,
                          "{\"kv_handle\":\"k\",\"tokens\":1460}");
  ck_assert (result.ok);
  ck_assert_uint_eq (result.tokens, 1460);
  result = engine_result (BERYL_EXCHANGE_MOVE, 503, "{\"kv_handle\":\"k\"}");
  ck_assert (!result.ok);
  ck_assert_str_eq (result.handle, "k");
  ck_assert (engine_result (BERYL_EXCHANGE_MOVE, 404, "").not_found);
}
END_TEST

/* A runner's handle is inserted into the path and header fields of later calls
 * to other runners; a line break in it would inject header fields. */
START_TEST (test_unsafe_handles)
{
  static const char *const bodies[]
      = { "{\"hold\":\"a\\r\\nX-Kv-Hold: b\"}", "{\"hold\":\"a b\"}",
          "{\"hold\":\"../order\"}", "{\"hold\":\"a?b\"}" };

  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      struct beryl_engine_result result
          = engine_result (BERYL_EXCHANGE_RESERVE, 200, bodies[i]);

      ck_assert (!result.ok);
      ck_assert_str_eq (result.handle, "");
    }
}
END_TEST

static char *
engine_call (const struct beryl_exchange_start *start)
{
  GString *head = g_string_new (NULL);
  GString *body = g_string_new (NULL);

  wire->impl->format_engine_call (wire, start, head, body);
  g_string_append (head, body->str);
  g_string_free (body, TRUE);
  return g_string_free (head, FALSE);
}

static void
assert_call (const struct beryl_exchange_start *start, const char *begins,
             const char *ends)
{
  char *text = engine_call (start);

  ck_assert_msg (g_str_has_prefix (text, begins), "%s", text);
  ck_assert_msg (g_str_has_suffix (text, ends), "%s", text);
  ck_assert_ptr_nonnull (strstr (text, "X-Expect-Instance: i-7f3a91c2\r\n"));
  g_free (text);
}

START_TEST (test_engine_calls)
{
  struct beryl_live_endpoint target
      = { .info = { .id = "i-2", .address = "10.1.64.7", .port = 8082 } };
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_RESERVE,
                                        .endpoint = &endpoint,
                                        .tokens = 1500,
                                        .lease_ms = 2500 };

  assert_call (&start, "POST /v1/hold-take HTTP/1.1\r\n",
               "\r\n\r\n{\"tokens\":1500,\"ttl_ms\":2500}");
  start = (struct beryl_exchange_start){ .kind = BERYL_EXCHANGE_UNRESERVE,
                                         .endpoint = &endpoint,
                                         .reservation = "h-9" };
  assert_call (&start, "DELETE /v1/hold-drop/h-9 HTTP/1.1\r\n", "\r\n\r\n");
  start = (struct beryl_exchange_start){ .kind = BERYL_EXCHANGE_DROP_KV,
                                         .endpoint = &endpoint,
                                         .kv_handle = "k-9" };
  assert_call (&start, "DELETE /v1/kv-handle/k-9 HTTP/1.1\r\n", "\r\n\r\n");
  start = (struct beryl_exchange_start){ .kind = BERYL_EXCHANGE_MOVE,
                                         .endpoint = &endpoint,
                                         .target = &target,
                                         .run_id = "a\"b" };
  assert_call (&start, "POST /v1/kv-move HTTP/1.1\r\n",
               "\r\n\r\n{\"id\":\"a\\\"b\",\"to\":\"10.1.64.7:8082\","
               "\"last\":true}");
}
END_TEST

START_TEST (test_order)
{
  struct gateway_stage_order order = { .engine = &endpoint.info,
                                       .stage = BERYL_STAGE_PREFILL,
                                       .holder = "node-7",
                                       .fence = 41,
                                       .expected_orders = 2 };
  GString *head = g_string_new (NULL);
  GString *body = g_string_new (NULL);
  struct h1_head answer = { .status = 412 };

  wire->impl->format_order (wire, &order, head, body);
  ck_assert_str_eq (body->str,
                    "{\"op\":\"stage\",\"stage\":\"prefill\",\"holder\":"
                    "\"node-7\",\"fence\":41,\"expected\":2}");
  ck_assert (g_str_has_prefix (head->str, "POST /v1/order HTTP/1.1\r\n"));
  ck_assert_int_eq (wire->impl->read_order_result (wire, &answer),
                    GATEWAY_ORDER_FENCED);
  answer.status = 202;
  ck_assert_int_eq (wire->impl->read_order_result (wire, &answer),
                    GATEWAY_ORDER_ACCEPTED);
  answer.status = 500;
  ck_assert_int_eq (wire->impl->read_order_result (wire, &answer),
                    GATEWAY_ORDER_REFUSED);
  g_string_free (head, TRUE);
  g_string_free (body, TRUE);
}
END_TEST

START_TEST (test_report)
{
  static const char body[]
      = "{\"stage\":\"decode\",\"models\":[],\"busy\":true,\"sequence\":2}";
  struct h1_head head = { .status = 200 };
  struct gateway_engine_report report;

  ck_assert (
      wire->impl->read_report (wire, &head, body, strlen (body), &report));
  ck_assert_int_eq (report.stage, BERYL_STAGE_DECODE);
  ck_assert (report.stage_change_pending);
  ck_assert_uint_eq (report.accepted_orders, 2);
  ck_assert (!wire->impl->read_report (wire, &head, "{}", 2, &report));
}
END_TEST

START_TEST (test_prompts)
{
  static const char body[]
      = "{\"epoch\":1,\"next\":9,\"held\":[[\"\",\"5c1e07a2\",800,\"m\"],"
        "[\"\",\"e4402b7d\",250,\"m\"],[],3]}";
  struct h1_field field
      = { "X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250" };
  struct h1_head prompt_head
      = { .method = "GET", .target = "/", .fields = &field, .field_count = 1 };
  struct h1_head head = { .status = 200 };
  struct beryl_forward_request request = { 0 };
  GArray *keys = g_array_new (FALSE, FALSE, sizeof (uint32_t));

  wire->impl->read_request (wire, &prompt_head, 0, &request);
  ck_assert_uint_ne (request.prompt_hash, 0);
  wire->impl->read_prompts (wire, &head, body, strlen (body), keys);
  ck_assert_uint_eq (keys->len, 2);
  ck_assert_uint_eq (g_array_index (keys, uint32_t, 1), request.prompt_hash);
  g_array_free (keys, TRUE);
}
END_TEST

static void
free_field (gpointer pointer)
{
  struct h1_field *field = pointer;

  g_free ((char *)field->value);
  g_free (field);
}

START_TEST (test_refusal)
{
  struct beryl_refusal refusal
      = { .status = 503, .not_run = true, .retry_after_ms = 1250 };
  GPtrArray *fields = g_ptr_array_new_with_free_func (free_field);
  const struct h1_field *field;

  wire->impl->format_refusal (wire, &refusal, "r-1", fields);
  ck_assert_uint_ge (fields->len, 2);
  field = g_ptr_array_index (fields, 0);
  ck_assert_str_eq (field->name, "X-Request-Id");
  field = g_ptr_array_index (fields, 1);
  ck_assert_str_eq (field->name, "Retry-After");
  ck_assert_str_eq (field->value, "1.250");
  g_ptr_array_free (fields, TRUE);
}
END_TEST

static enum gateway_node_request
node_request (const char *method, const char *target,
              struct gateway_location *location)
{
  struct h1_head head = { .method = method, .target = target };

  *location = (struct gateway_location){ 0 };
  return wire->impl->read_node_request (wire, &head, location);
}

START_TEST (test_node_requests)
{
  struct gateway_location location;

  ck_assert_int_eq (node_request ("GET", "/v1/ready", &location),
                    GATEWAY_NODE_REQUEST_READY);
  ck_assert_int_eq (node_request ("GET",
                                  "/v1/resolve?name=f&region=lj&zone=hall%2da",
                                  &location),
                    GATEWAY_NODE_REQUEST_ADDRESSES);
  ck_assert_str_eq (location.data_centre, "hall-a");
  ck_assert_str_eq (location.region, "lj");
  ck_assert_int_eq (node_request ("GET", "/v1/resolve", &location),
                    GATEWAY_NODE_REQUEST_ADDRESSES);
  ck_assert_int_eq (node_request ("POST", "/v1/ready", &location),
                    GATEWAY_NODE_REQUEST_NONE);
  ck_assert_int_eq (node_request ("GET", "/v1/readyx", &location),
                    GATEWAY_NODE_REQUEST_NONE);
}
END_TEST

START_TEST (test_addresses)
{
  const char *addresses[] = { "10.1.0.35:8144", "10.1.0.36:8144" };
  GString *body = g_string_new (NULL);

  wire->impl->format_addresses (wire, addresses, 2, 2000, body);
  ck_assert_str_eq (
      body->str,
      "{\"addresses\":[\"10.1.0.35:8144\",\"10.1.0.36:8144\"],\"ttl_s\":2}");
  g_string_free (body, TRUE);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("platform wire");
  TCase *tcase = tcase_create ("wire");

  tcase_add_checked_fixture (tcase, setup, NULL);
  tcase_add_test (tcase, test_pause);
  tcase_add_test (tcase, test_leaving);
  tcase_add_test (tcase, test_configuration);
  tcase_add_test (tcase, test_stream_without_resume);
  tcase_add_test (tcase, test_malformed_configurations);
  tcase_add_test (tcase, test_endpoint);
  tcase_add_test (tcase, test_malformed_endpoints);
  tcase_add_test (tcase, test_malformed_addresses);
  tcase_add_test (tcase, test_minimal_endpoint);
  tcase_add_test (tcase, test_prompt_parts);
  tcase_add_test (tcase, test_read_request);
  tcase_add_test (tcase, test_unprintable_ids);
  tcase_add_test (tcase, test_format_request);
  tcase_add_test (tcase, test_format_prefill_and_run);
  tcase_add_test (tcase, test_responses);
  tcase_add_test (tcase, test_marks);
  tcase_add_test (tcase, test_limits);
  tcase_add_test (tcase, test_engine_responses);
  tcase_add_test (tcase, test_unsafe_handles);
  tcase_add_test (tcase, test_engine_calls);
  tcase_add_test (tcase, test_order);
  tcase_add_test (tcase, test_report);
  tcase_add_test (tcase, test_prompts);
  tcase_add_test (tcase, test_refusal);
  tcase_add_test (tcase, test_node_requests);
  tcase_add_test (tcase, test_addresses);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
