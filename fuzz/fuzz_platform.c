/** @file
 * Answers of the platform, to every kind of call of its client.  The first
 * byte is the status, the second whether the replies of writes are lost.
 */
#include "beryl/platform.h"
#include "fuzz.h"

#define ROUNDS 12
#define STEP_MS 300

struct driver
{
  struct beryl_platform_handler base;
  uint64_t calls[64];
  size_t call_count;
};

static void
take_call (struct beryl_platform_handler *handler,
           const struct beryl_platform_call *call)
{
  struct driver *d = (struct driver *)handler;

  if (d->call_count < 64)
    d->calls[d->call_count++] = call->id;
}

static void
ignore_abort (struct beryl_platform_handler *handler, uint64_t call)
{
}

static void
ignore_result (struct beryl_platform_handler *handler,
               const struct beryl_platform_result *result)
{
}

static void
ignore_event (struct beryl_platform_handler *handler,
              const struct beryl_platform_event *event)
{
}

static void
ignore_synced (struct beryl_platform_handler *handler, uint64_t watch,
               uint64_t revision)
{
}

static void
ignore_instances (struct beryl_platform_handler *handler, uint64_t watch,
                  uint64_t revision, const struct beryl_instance *items,
                  size_t count)
{
}

static const struct beryl_platform_handler_impl impl
    = { take_call,    ignore_abort,  ignore_result,
        ignore_event, ignore_synced, ignore_instances };

static void
start_requests (struct beryl_platform *p)
{
  const struct beryl_platform_options options = { .use = BERYL_USE_CLAIM,
                                                  .deadline_ms = 5000,
                                                  .wait_for_recovery = true };
  const struct beryl_platform_write write
      = { "config", "a", BERYL_IF_ABSENT, 0, "{\"nonce\":\"n\"}", 13, "n" };

  beryl_platform_get (p, &options, "config", "a", 0, 0);
  beryl_platform_list (p, &options, "config", "", 0);
  beryl_platform_put (p, &options, &write, 0);
  beryl_platform_delete (p, &options, "config", "a", 3, 0);
  beryl_platform_watch (p, BERYL_USE_CONFIG, "config", 0);
  beryl_platform_watch_instances (p, 0);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const unsigned int statuses[]
      = { 200, 404, 412, 410, 429, 500, 503, 204 };
  struct driver d = { .base = { &impl } };
  struct beryl_platform *p;

  if (size < 2)
    return 0;
  p = beryl_platform_create (NULL, &d.base, 1);
  start_requests (p);
  for (int round = 0; round < ROUNDS; round++)
    {
      int64_t now_ms = round * STEP_MS;

      d.call_count = 0;
      beryl_platform_tick (p, now_ms);
      for (size_t i = 0; i < d.call_count; i++)
        if (round == 0 && (data[1] & 1) != 0)
          beryl_platform_failed (p, d.calls[i], true, now_ms);
        else
          beryl_platform_answer (p, d.calls[i], statuses[data[0] % 8], 0,
                                 (const char *)data + 2, size - 2, now_ms);
    }
  beryl_platform_destroy (p);
  return 0;
}
