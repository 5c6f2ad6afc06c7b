/** @file
 * One call of the platform's interface and its answer, apart from HTTP, so
 * that tests in virtual time can use it.
 */
#ifndef STANDIN_OPERATION_H
#define STANDIN_OPERATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "store.h"

enum operation_type
{
  OPERATION_GET,
  OPERATION_LIST,
  OPERATION_PUT,
  OPERATION_DELETE,
  OPERATION_WATCH,
  OPERATION_INSTANCES,
  OPERATION_INSTANCE_PUT,
  OPERATION_INSTANCE_DELETE,
  OPERATION_TYPE_COUNT,
};

/** Return the stable name of TYPE, for counters. */
const char *operation_type_name (enum operation_type type);

/** Whether TYPE spends from the write rate. */
bool operation_type_writes (enum operation_type type);

/** A call; owns its parts, so that it may outlive its exchange. */
struct operation
{
  enum operation_type type;
  char kind[64];
  char name[64];
  char prefix[64];
  char after_name[64];
  uint64_t after;
  int64_t wait_ms;
  uint32_t limit;
  enum store_condition condition;
  uint64_t version;
  char *body;
  size_t body_bytes;
};

/** Read a call; NULL if none of the interface has this form.  PATH is with
 * the query; IF_MATCH may be NULL.  BODY is copied. */
struct operation *operation_create (const char *method, const char *path,
                                    const char *if_match, bool if_none_match,
                                    const char *body, size_t body_bytes);

/** Release OP; NULL is allowed. */
void operation_destroy (struct operation *op);

/** An answer; BODY is JSON, to be freed. */
struct answer
{
  unsigned int status;
  char *body;
};

/** Make OP take effect on the stores.  Reads see the state at READ_MS; the
 * instance list the one at INSTANCES_MS.  False: a watch with nothing to
 * tell yet. */
bool operation_run (const struct operation *op, struct store *objects,
                    struct store *instances, int64_t now_ms, int64_t read_ms,
                    int64_t instances_ms, struct answer *answer);

#endif
