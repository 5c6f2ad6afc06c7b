#include "prompt_gate.h"

/* From this part of good runs on it is worth trying: a caller that is told at
   once that its request has not run can return, but only to the same chance.
 */
#define WORTH_TRYING 0.25
/* All nodes together send a probe at this interval. */
#define PROBE_INTERVAL_MS 200

static bool
probe_due (struct prompt_gate *gate, const struct prompt_gate_facts *facts)
{
  double nodes = facts->nodes > 0 ? facts->nodes : 1;
  double interval_ms = PROBE_INTERVAL_MS * nodes;

  /* Nodes that see the trouble at the same moment begin at different times. */
  if (gate->probed_ms == 0
      || (double)(facts->now_ms - gate->probed_ms) > 10 * interval_ms)
    gate->probed_ms = facts->now_ms - (int64_t)(facts->random * interval_ms);
  if ((double)(facts->now_ms - gate->probed_ms) < interval_ms)
    return false;
  gate->probed_ms = facts->now_ms;
  return true;
}

enum prompt_verdict
prompt_gate_ask (struct prompt_gate *gate,
                 const struct prompt_gate_facts *facts)
{
  if (facts->random < facts->success / WORTH_TRYING)
    return PROMPT_READ;
  return probe_due (gate, facts) ? PROMPT_PROBE : PROMPT_HOLD;
}
