/** @file
 * Open-loop arrivals: when which call is due, whatever became of the others.
 * The same scenario, load and seed give the same arrivals.
 */
#ifndef LOAD_ARRIVALS_H
#define LOAD_ARRIVALS_H

#include <stddef.h>
#include <stdint.h>

#include "beryl/error.h"
#include "scenario.h"

/** Kinds of calls. */
enum arrival_type
{
  ARRIVAL_LONG,    /**< a model's job */
  ARRIVAL_URGENT,  /**< a small call with an immediate deadline */
  ARRIVAL_PATIENT, /**< a long call of the plain service */
};

/** One call. */
struct arrival
{
  int64_t at_us;
  enum arrival_type type;
  uint64_t id; /**< counts from 1 */
  uint32_t organisation;
  uint32_t entry; /**< 0 to entries - 1 */
  uint32_t preamble_tokens;
  uint32_t prompt_tokens; /**< with the preamble */
  uint32_t max_tokens;
  uint32_t output_tokens; /**< for virtual time: what the engine makes */
};

/** A list of calls in the order of time. */
struct arrivals
{
  struct arrival *items;
  size_t count;
};

/** Make the arrivals of SCENARIO, or read its trace; NULL and ERROR on
 * failure. */
struct arrivals *arrivals_create (const struct scenario *scenario,
                                  struct beryl_error *error);

/** Release A; NULL is allowed. */
void arrivals_destroy (struct arrivals *a);

/** Return the text of a prompt, prompt_tokens * 4 bytes; free() it.  Calls
 * of one organisation share the preamble. */
char *arrival_prompt (const struct arrival *arrival);

/** Write the chained prefix hashes that stand for the prompt in virtual
 * time; returns their number, at most MAX. */
size_t arrival_blocks (const struct arrival *arrival, uint32_t block_tokens,
                       uint64_t *blocks, size_t max);

/** Stable names, for example "urgent". */
const char *arrival_type_name (enum arrival_type type);

#endif
