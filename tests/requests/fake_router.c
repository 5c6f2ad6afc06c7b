/* A router for tests of beryl_requests: it picks the first endpoint of the
 * service that is not excluded, and a test can limit its reservations. */
#include "fake_router.h"

#include <stdlib.h>
#include <string.h>

/* More than are open at a time. */
#define TICKETS 1024

struct beryl_router
{
  const struct beryl_config *config;
  uint64_t last_ticket;
  uint32_t open_tickets;
  uint32_t limit;
  bool no_decode;
  char refusal[64];
  const char *services[TICKETS]; /* by ticket */
};

struct beryl_router *
beryl_router_create (const char *node, const char *data_centre,
                     enum beryl_policy policy, uint64_t seed)
{
  struct beryl_router *router = calloc (1, sizeof *router);

  router->limit = UINT32_MAX;
  return router;
}

void
beryl_router_destroy (struct beryl_router *router)
{
  free (router);
}

void
beryl_router_set_config (struct beryl_router *router,
                         const struct beryl_config *config, int64_t now_ms)
{
  router->config = config;
}

void
fake_router_limit (struct beryl_router *router, uint32_t limit)
{
  router->limit = limit;
}

void
fake_router_refuse (struct beryl_router *router, const char *reason)
{
  strncpy (router->refusal, reason, sizeof router->refusal - 1);
}

void
fake_router_decodes (struct beryl_router *router, bool decodes)
{
  router->no_decode = !decodes;
}

uint32_t
fake_router_open (const struct beryl_router *router)
{
  return router->open_tickets;
}

static bool
excluded (const struct beryl_job *job, const char *name)
{
  for (uint32_t i = 0; i < job->excluded_count; i++)
    if (strcmp (job->excluded[i], name) == 0)
      return true;
  return false;
}

static const char *
find (const struct beryl_router *router, const struct beryl_job *job, int role)
{
  for (size_t i = 0; i < router->config->endpoint_count; i++)
    {
      const struct beryl_endpoint *e = &router->config->endpoints[i];

      if (strcmp (e->service, job->service) == 0 && ((int)e->role & role) != 0
          && !e->leaving && !excluded (job, e->name))
        return e->name;
    }
  return NULL;
}

/* Returns the name of the job's service with a lifetime beyond the job. */
static const char *
config_name (const struct beryl_router *router, const struct beryl_job *job)
{
  return beryl_config_service (router->config, job->service)->name;
}

void
beryl_router_plan (struct beryl_router *router, const struct beryl_job *job,
                   int64_t now_ms, struct beryl_plan *plan)
{
  *plan = (struct beryl_plan){ .verdict = BERYL_VERDICT_REFUSE };
  plan->reason = router->refusal[0] != '\0' ? router->refusal : "no endpoint";
  plan->retry_after_ms = 700;
  if (router->refusal[0] != '\0')
    return;
  if (!job->plain)
    plan->prefill = find (router, job, BERYL_ROLE_PREFILL);
  plan->decode = find (router, job,
                       job->plain ? BERYL_ROLE_SERVICE : BERYL_ROLE_DECODE);
  if (plan->decode == NULL || (!job->plain && plan->prefill == NULL))
    {
      if (job->excluded_count == 0)
        return;
      plan->verdict = BERYL_VERDICT_WAIT;
      plan->retry_at_ms = now_ms + 20;
      plan->reason = "no_endpoint";
      return;
    }
  if (router->open_tickets >= router->limit)
    {
      plan->verdict = BERYL_VERDICT_WAIT;
      plan->retry_at_ms = now_ms + 50;
      return;
    }
  plan->verdict = BERYL_VERDICT_START;
  plan->ticket = ++router->last_ticket;
  router->services[plan->ticket % TICKETS] = config_name (router, job);
  router->open_tickets++;
}

void
beryl_router_release (struct beryl_router *router, uint64_t ticket,
                      enum beryl_release how, const char *failed_endpoint,
                      int64_t now_ms)
{
  router->open_tickets--;
}

void
beryl_router_set_late_binding (struct beryl_router *router, bool late)
{
}

/* A ticket's decode engine is the first one, or another one if that
 * refused. */
void
beryl_router_bind_decode (struct beryl_router *router, uint64_t ticket,
                          int64_t kv_expires_ms, const char *refused_by,
                          int64_t now_ms, struct beryl_plan *plan)
{
  struct beryl_job job = { .service = router->services[ticket % TICKETS],
                           .excluded_count = refused_by != NULL,
                           .excluded = &refused_by };

  *plan = (struct beryl_plan){ .verdict = BERYL_VERDICT_REFUSE,
                               .reason = "no_slot" };
  if (now_ms >= kv_expires_ms)
    return;
  plan->verdict = BERYL_VERDICT_WAIT;
  plan->retry_at_ms = now_ms + 50;
  plan->decode = find (router, &job, BERYL_ROLE_DECODE);
  if (plan->decode != NULL && !router->no_decode)
    plan->verdict = BERYL_VERDICT_START;
}

void
beryl_router_cache_resync (struct beryl_router *router, const char *endpoint,
                           uint64_t sequence, const uint64_t *blocks,
                           size_t block_count, int64_t now_ms)
{
}

bool
beryl_router_cache_has_gap (const struct beryl_router *router,
                            const char *endpoint)
{
  return false;
}

int64_t
beryl_router_next_ms (const struct beryl_router *router)
{
  return INT64_MAX;
}

void
beryl_router_set_members (struct beryl_router *router,
                          const char *const *nodes, size_t node_count,
                          int64_t now_ms)
{
}

void
beryl_router_load_report (struct beryl_router *router,
                          const struct beryl_load_report *report,
                          int64_t now_ms)
{
}

void
beryl_router_cache_event (struct beryl_router *router,
                          const struct beryl_cache_event *event,
                          int64_t now_ms)
{
}

void
beryl_router_drop_waiting (struct beryl_router *router, uint64_t request)
{
}

void
beryl_router_prefill_done (struct beryl_router *router, uint64_t ticket,
                           uint32_t cached_tokens, uint64_t kv_bytes,
                           int64_t now_ms)
{
}

void
beryl_router_first_token (struct beryl_router *router, uint64_t ticket,
                          int64_t now_ms)
{
}

void
beryl_router_tokens_generated (struct beryl_router *router, uint64_t ticket,
                               uint32_t tokens, int64_t now_ms)
{
}

size_t
beryl_prefix_hash (const char *prompt, size_t prompt_bytes, size_t block_bytes,
                   uint64_t *hashes, size_t max)
{
  return 0;
}

const char *
beryl_policy_name (enum beryl_policy policy)
{
  return "fake";
}

bool
beryl_policy_parse (const char *name, enum beryl_policy *policy)
{
  return false;
}
