#include "model.h"

#include <check.h>

struct fx fx;
struct fx_terms terms;

void
reopen (void)
{
  fx_close (&fx);
  fx_open (&fx, &terms);
}

void
engines (uint32_t prefill, uint32_t decode)
{
  char id[16];

  for (uint32_t i = 0; i < prefill; i++)
    {
      g_snprintf (id, sizeof id, "p%u", i);
      fx_endpoint (&fx, id, BERYL_STAGE_PREFILL);
    }
  for (uint32_t i = 0; i < decode; i++)
    {
      g_snprintf (id, sizeof id, "d%u", i);
      fx_endpoint (&fx, id, BERYL_STAGE_DECODE);
    }
}

void
model_setup (void)
{
  terms = fx_model_terms ();
  fx_open (&fx, &terms);
  engines (2, 3);
}

void
model_teardown (void)
{
  fx_close (&fx);
}

const struct fx_answer *
answer (uint64_t request)
{
  return &fx.answers[request];
}

struct fx_exchange *
open_of (uint64_t request, enum beryl_exchange_kind kind)
{
  struct fx_exchange *x = fx_open_of (&fx, request, kind);

  ck_assert_msg (x != NULL, "no open %s of %d; %s", beryl_exchange_name (kind),
                 (int)request, fx.log->str);
  return x;
}

struct fx_exchange *
move_asked (uint64_t request)
{
  fx_pass (&fx, 200);
  return open_of (request, BERYL_EXCHANGE_MOVE);
}

void
report_runs (const char *engine, uint32_t count)
{
  struct beryl_engine_run runs[16] = { 0 };

  for (uint32_t i = 0; i < count; i++)
    runs[i] = (struct beryl_engine_run){
      .engine = beryl_name_hash (engine),
      .prompt_tokens = 2000,
      .expected_tokens = 1000,
      .generated_tokens = 500,
      .started = true,
    };
  beryl_forward_peer_runs (fx.forward, "peer", runs, count, fx.now_ms);
}
