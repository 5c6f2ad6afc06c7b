/** @file
 * Objects of the claim log, as another release or a damaged write may leave
 * them.
 */
#include <stdio.h>
#include <string.h>

#include "beryl/claims.h"
#include "fuzz.h"

struct driver
{
  struct beryl_claims_owner base;
  uint64_t call; /**< the open list or get; 0: none */
  char prefix[64];
};

static void
ignore_result (struct beryl_claims_owner *owner, uint64_t request,
               enum beryl_claim_result result, uint64_t incarnation)
{
}

static void
ignore_send (struct beryl_claims_owner *owner, const char *node,
             const struct beryl_claim_message *message)
{
}

static void
take_read (struct beryl_claims_owner *owner, uint64_t call, const char *prefix)
{
  struct driver *d = (struct driver *)owner;

  d->call = call;
  snprintf (d->prefix, sizeof d->prefix, "%s", prefix);
}

static void
ignore_create (struct beryl_claims_owner *owner, uint64_t call,
               const char *name, const char *value, size_t value_bytes,
               const char *nonce)
{
}

static void
ignore_remove (struct beryl_claims_owner *owner, uint64_t call,
               const char *name)
{
}

static const struct beryl_claims_owner_impl impl
    = { ignore_result, ignore_send,   take_read,
        take_read,     ignore_create, ignore_remove };

/** Answer the open read with two segments that hold the input. */
static void
answer (struct driver *d, struct beryl_claims *claims, const uint8_t *data,
        size_t size, int64_t now_ms)
{
  char names[2][100];
  struct beryl_object objects[2];
  uint64_t call = d->call;

  for (unsigned int i = 0; i < 2; i++)
    {
      /* The first is folded: numbers 1 to 9. */
      snprintf (names[i], sizeof names[i],
                i == 0 ? "%s0000000001-0000000009" : "%s0000000010",
                d->prefix);
      objects[i] = (struct beryl_object){ BERYL_CLAIMS_KIND, names[i], i + 1,
                                          (const char *)data, size };
    }
  d->call = 0;
  beryl_claims_read_done (claims, call, BERYL_OK, objects, 2, now_ms);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const char *const nodes[] = { "n1" };
  const struct beryl_claims_settings settings
      = { .node = "n1", .incarnation = 7, .seed = 1 };
  struct driver d = { .base = { &impl } };
  struct beryl_claims *claims = beryl_claims_create (&settings, &d.base);

  beryl_claims_set_members (claims, nodes, 1, 0);
  beryl_claims_claim (claims, 1, "o", "k", 5, 0);
  for (int64_t now_ms = 0; now_ms < 20000; now_ms += 1000)
    {
      beryl_claims_tick (claims, now_ms);
      if (d.call != 0)
        answer (&d, claims, data, size, now_ms);
    }
  beryl_claims_destroy (claims);
  return 0;
}
