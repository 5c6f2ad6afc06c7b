/** @file
 * What the users' platform, its runners and callers may send.  The first byte
 * chooses the translation.
 */
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "platform.h"

static void
read_object (const struct gateway_wire *wire, const char *text, size_t bytes)
{
  struct beryl_object object = {
    .name = (char *)"o", .version = 1, .value = text, .value_bytes = bytes
  };
  struct beryl_error error = { 0 };
  struct beryl_live_info info;
  struct beryl_routes *routes
      = wire->impl->read_routes (wire, &object, &error);

  if (routes != NULL)
    beryl_routes_find (routes, "h", "/a/b");
  beryl_routes_unref (routes);
  wire->impl->read_endpoint (wire, &object, &info, &error);
}

static void
read_answers (const struct gateway_wire *wire, const char *text, size_t bytes)
{
  static const enum beryl_exchange_kind kinds[]
      = { BERYL_EXCHANGE_RESERVE, BERYL_EXCHANGE_PREFILL,
          BERYL_EXCHANGE_MOVE };
  struct h1_head head = { .status = 200 };
  struct gateway_engine_report report;

  for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
    {
      struct gateway_asked asked = { kinds[i], "e", "r" };
      struct beryl_engine_result result = { 0 };

      wire->impl->read_engine_response (wire, &asked, &head, text, bytes,
                                        &result);
      if (strpbrk (result.handle, " \r\n/") != NULL)
        abort ();
    }
  wire->impl->read_report (wire, &head, text, bytes, &report);
}

static void
read_store (const struct gateway_wire *wire, const char *text, size_t bytes)
{
  static const enum beryl_platform_op ops[]
      = { BERYL_OP_GET, BERYL_OP_LIST, BERYL_OP_WATCH, BERYL_OP_PUT,
          BERYL_OP_DELETE };

  for (size_t i = 0; i < sizeof ops / sizeof *ops; i++)
    {
      unsigned int status = 200;

      json_decref (wire->store.impl->answer (&wire->store, ops[i], "k",
                                             &status, text, bytes));
    }
}

/* A caller's head: each line is a field's value. */
static void
read_caller (const struct gateway_wire *wire, const char *text, size_t bytes)
{
  static const char *const names[]
      = { "Host",          "X-Request-Id",  "X-Deadline-Ms", "X-Token-Counts",
          "X-Length-Hint", "Last-Event-Id", "Connection" };
  char *copy = g_strndup (text, bytes);
  char **lines = g_strsplit (copy, "\n", G_N_ELEMENTS (names) + 1);
  struct h1_field fields[G_N_ELEMENTS (names)];
  struct h1_head head = { .method = "GET", .target = "/", .fields = fields };
  struct beryl_live_endpoint endpoint = { .info = { .id = "e" } };
  struct beryl_exchange_start start
      = { .kind = BERYL_EXCHANGE_RUN, .endpoint = &endpoint };
  struct beryl_forward_request request = { 0 };
  GString *out = g_string_new (NULL);

  for (size_t i = 0; lines[i] != NULL && i < G_N_ELEMENTS (names); i++)
    fields[head.field_count++] = (struct h1_field){ names[i], lines[i] };
  wire->impl->read_request (wire, &head, 0, &request);
  wire->impl->format_request (wire, &head, 0, &start, out);
  g_string_free (out, TRUE);
  g_strfreev (lines);
  g_free (copy);
}

static void
read_question (const struct gateway_wire *wire, const char *text, size_t bytes)
{
  char *target = g_strndup (text, bytes);
  struct h1_head head = { .method = "GET", .target = target };
  struct gateway_location place = { 0 };

  wire->impl->read_node_request (wire, &head, &place);
  g_free (target);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static void (*const readers[]) (const struct gateway_wire *, const char *,
                                  size_t)
      = { read_object, read_answers, read_store, read_caller, read_question };
  const struct gateway_wire *wire = platform_gateway_wire ();

  if (size == 0)
    return 0;
  readers[data[0] % G_N_ELEMENTS (readers)](wire, (const char *)data + 1,
                                            size - 1);
  return 0;
}
