#include "request_helpers.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

struct beryl_platform_options
request_options (const struct fake *f, enum beryl_platform_use use,
                 int64_t seconds, bool wait)
{
  return (struct beryl_platform_options){ .use = use,
                                          .deadline_ms
                                          = f->now_ms + seconds * 1000,
                                          .wait_for_recovery = wait };
}

uint64_t
request_put (struct fake_client *c, const char *name,
             enum beryl_condition condition, uint64_t version,
             const char *nonce, int64_t seconds)
{
  struct beryl_platform_options o
      = request_options (c->fake, BERYL_USE_CLAIM, seconds, true);
  char value[128];
  struct beryl_platform_write w
      = { "log", name, condition, version, value, 0, nonce };

  w.value_bytes = (size_t)snprintf (value, sizeof value, "{\"nonce\":\"%s\"}",
                                    nonce ? nonce : "");
  return beryl_platform_put (c->core, &o, &w, c->fake->now_ms);
}

uint64_t
request_get (struct fake_client *c, const char *name, uint64_t min_version,
             int64_t seconds)
{
  struct beryl_platform_options o
      = request_options (c->fake, BERYL_USE_CONFIG, seconds, true);

  return beryl_platform_get (c->core, &o, "log", name, min_version,
                             c->fake->now_ms);
}

void
store_write_as_other (struct fake *f, const char *name, const char *value)
{
  uint64_t version = 0;

  ck_assert_int_eq (store_put (f->store, "log", name, STORE_IF_ANY, &version,
                               value, strlen (value), f->now_ms),
                    STORE_OK);
}

static bool
count_write (void *user, const struct store_revision *r)
{
  (*(uint32_t *)user)++;
  return true;
}

uint32_t
store_count_writes (struct fake *f)
{
  uint32_t n = 0;

  store_writes (f->store, 0, count_write, &n);
  return n;
}
