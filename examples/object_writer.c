/** @file
 * Example: a write whose reply is lost, settled by its nonce.
 *
 * Embeds beryl/platform.h alone.  The "network" is an array of calls; the
 * "store" holds one object.  The first create takes effect but its reply is
 * dropped; the client repeats it, meets its own object, reads it back and
 * reports success exactly once.
 */
#include <beryl/clock.h>
#include <beryl/platform.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLS_MAX 16
#define CALL_MS 5
#define END_MS 10000

/** A call on its way. */
struct pending
{
  uint64_t id;
  int64_t at_ms;
  bool write;
};

struct program
{
  struct beryl_platform_handler base;
  struct pending pending[CALLS_MAX];
  size_t count;
  char value[128];
  uint64_t version;
  int64_t now_ms;
  uint32_t calls;
  uint32_t granted;
};

static void
send_call (struct beryl_platform_handler *handler,
           const struct beryl_platform_call *call)
{
  struct program *p = (struct program *)handler;
  struct pending *pending = &p->pending[p->count++];

  *pending = (struct pending){ .id = call->id, .at_ms = p->now_ms + CALL_MS };
  pending->write = strcmp (call->method, "PUT") == 0;
  printf ("%5" PRId64 " ms: %s %s\n", p->now_ms, call->method, call->path);
  p->calls++;
  if (pending->write && p->version == 0)
    {
      /* It takes effect at once; the reply is what gets lost. */
      snprintf (p->value, sizeof p->value, "%s", call->body);
      p->version = 1;
      pending->at_ms = BERYL_NEVER_MS;
    }
}

static void
abort_call (struct beryl_platform_handler *handler, uint64_t call)
{
}

static void
ended (struct beryl_platform_handler *handler,
       const struct beryl_platform_result *result)
{
  struct program *p = (struct program *)handler;

  p->granted += result->code == BERYL_OK;
  printf ("%5" PRId64 " ms: %s, version %" PRIu64 "\n", p->now_ms,
          beryl_error_code_name (result->code), result->version);
}

static void
no_event (struct beryl_platform_handler *handler,
          const struct beryl_platform_event *event)
{
}

static void
no_sync (struct beryl_platform_handler *handler, uint64_t watch,
         uint64_t revision)
{
}

static void
no_instances (struct beryl_platform_handler *handler, uint64_t watch,
              uint64_t revision, const struct beryl_instance *items,
              size_t count)
{
}

static const struct beryl_platform_handler_impl impl
    = { send_call, abort_call, ended, no_event, no_sync, no_instances };

/** Answer one call as the store would, or let it time out. */
static void
answer (struct program *p, struct beryl_platform *client,
        const struct pending *pending)
{
  char body[256];

  if (pending->at_ms == BERYL_NEVER_MS)
    {
      beryl_platform_failed (client, pending->id, true, p->now_ms);
      return;
    }
  if (pending->write)
    snprintf (body, sizeof body, "{\"version\":%" PRIu64 "}", p->version);
  else
    snprintf (body, sizeof body,
              "{\"kind\":\"note\",\"name\":\"first\",\"version\":%" PRIu64
              ",\"value\":%s}",
              p->version, p->value);
  beryl_platform_answer (client, pending->id, pending->write ? 412 : 200, 0,
                         body, strlen (body), p->now_ms);
}

int
main (void)
{
  struct program p = { .base = { &impl } };
  struct beryl_platform *client = beryl_platform_create (NULL, &p.base, 7);
  const struct beryl_platform_options options = { .use = BERYL_USE_OPERATOR,
                                                  .deadline_ms = END_MS,
                                                  .wait_for_recovery = true };
  char nonce[BERYL_NONCE_BYTES], value[64];
  struct beryl_platform_write write = { .kind = "note",
                                        .name = "first",
                                        .condition = BERYL_IF_ABSENT,
                                        .value = value,
                                        .nonce = nonce };

  beryl_platform_nonce (client, nonce);
  write.value_bytes
      = (size_t)snprintf (value, sizeof value, "{\"nonce\":\"%s\"}", nonce);
  beryl_platform_put (client, &options, &write, 0);
  for (; p.now_ms < END_MS; p.now_ms += CALL_MS)
    {
      struct pending calls[CALLS_MAX];
      size_t count = p.count;

      memcpy (calls, p.pending, sizeof calls);
      p.count = 0;
      for (size_t i = 0; i < count; i++)
        answer (&p, client, &calls[i]);
      beryl_platform_tick (client, p.now_ms);
    }
  beryl_platform_destroy (client);
  return p.granted == 1 && p.calls == 3 ? EXIT_SUCCESS : EXIT_FAILURE;
}
