/** @file
 * Load: engines break off most of their runs right after the prompts were
 * read, and every new prompt takes time from the runs that succeed.  Decides
 * how many prompts are read for such engines.
 */
#ifndef DECIDE_PROMPT_GATE_H
#define DECIDE_PROMPT_GATE_H

#include <stdbool.h>
#include <stdint.h>

/** From this part of good runs on an engine counts as sound. */
#define PROMPT_GATE_SOUND 0.75

struct prompt_gate_facts
{
  double success; /**< expected part of good runs at such engines */
  uint32_t nodes;
  double random; /**< 0 to 1, evenly distributed */
  int64_t now_ms;
};

/** State of a node, for each service; zeros at first. */
struct prompt_gate
{
  int64_t probed_ms;
};

enum prompt_verdict
{
  PROMPT_READ,
  PROMPT_PROBE, /**< read it to see whether the run succeeds */
  PROMPT_HOLD,  /**< do not read it for such an engine */
};

/** Decide about one prompt. */
enum prompt_verdict prompt_gate_ask (struct prompt_gate *gate,
                                     const struct prompt_gate_facts *facts);

#endif
