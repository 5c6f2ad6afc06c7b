/** @file
 * The callers of scripts/demo: a mixed load on a small system, and a check of
 * what they were told against what really ran.  Not installed.
 */
#ifndef DEMO_DEMO_H
#define DEMO_DEMO_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "beryl/outcome.h"
#include "common/loop.h"
#include "http/client.h"

#define DEMO_PLACES_MAX 16

/** An address of a process. */
struct place
{
  char address[64];
  uint16_t port;
};

/** An entry node that discovery named. */
struct target
{
  struct place place;
  char incarnation[24];
  uint32_t weight;
  int64_t avoid_until_ms; /**< it did not answer */
  uint32_t cut;           /**< calls that broke off there */
};

/** Kinds of calls. */
enum call_kind
{
  CALL_DOCUMENT, /**< long, streamed */
  CALL_STATUS,   /**< urgent, idempotent */
  CALL_LETTER,   /**< urgent, non-idempotent, with a key */
  CALL_KINDS,
};

/** What callers were told, by kind. */
struct tally
{
  uint32_t asked;
  uint32_t answered;
  uint32_t not_run;
  uint32_t unknown;
  uint32_t lost;    /**< no final word at all */
  uint32_t in_time; /**< answered within the deadline */
};

struct demo
{
  struct loop *loop;
  struct http_context *http;
  GRand *rand;
  const char *bearer;
  struct place seeds[DEMO_PLACES_MAX];
  size_t seed_count;
  struct place services[DEMO_PLACES_MAX];
  size_t service_count;
  struct place engines[DEMO_PLACES_MAX];
  size_t engine_count;
  struct target targets[DEMO_PLACES_MAX];
  size_t target_count;
  int64_t ttl_ms;
  int64_t begin_ms;
  int64_t end_ms;
  double rate[CALL_KINDS]; /**< calls a second */
  double due[CALL_KINDS];
  struct tally tally[CALL_KINDS];
  uint32_t open;
  uint64_t last_id;
  GHashTable *letters; /**< request id -> enum beryl_outcome + 1 */
  GArray *first_token_ms;
  GArray *between_tokens_ms;
  GArray *urgent_ms;
  uint32_t doubled;
  uint32_t false_not_run;
  uint64_t wasted_tokens;
  uint64_t prefill_tokens;
  uint64_t held;
};

/** Ask the entry nodes which addresses to use; again and again. */
void targets_refresh (struct demo *demo);

/** Choose a target by weight; NULL if none is known. */
struct target *targets_choose (struct demo *demo);

/** Find a target by its place. */
struct target *targets_find (struct demo *demo, const struct place *place);

/** Send a call of KIND. */
void call_send (struct demo *demo, enum call_kind kind);

/** Ask the stand-ins what ran; runs the loop. */
void truth_read (struct demo *demo);

/** Print the table and the JSON line; true if every promise was kept. */
bool report_print (struct demo *demo);

/** GET a small JSON document; runs the loop.  NULL without an answer. */
json_t *fetch_json (struct demo *demo, const struct place *place,
                    const char *path);

#endif
