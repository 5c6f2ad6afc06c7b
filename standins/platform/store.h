/** @file
 * The object store of the platform stand-in: versions, conditional writes,
 * a log for watches and reads from the past.  No I/O; the time is handed
 * in, so that tests in virtual time can use it.
 */
#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Largest value. */
#define STORE_VALUE_MAX_BYTES (1U << 20)
/** Most objects in one page of a list. */
#define STORE_LIST_MAX 500
/** Events that a watch can still see; a watch from before gets
 * STORE_COMPACTED. */
#define STORE_EVENTS_MAX 20000

struct store;

enum store_status
{
  STORE_OK,
  STORE_ABSENT,
  STORE_CONFLICT,
  STORE_TOO_LARGE,
  STORE_INVALID, /**< malformed kind or name */
  STORE_COMPACTED,
};

/** Condition of a write. */
enum store_condition
{
  STORE_IF_ANY,
  STORE_IF_ABSENT,
  STORE_IF_VERSION,
};

/** One revision of an object; owned by the store. */
struct store_revision
{
  const char *kind;
  const char *name;
  uint64_t version;
  int64_t time_ms; /**< when it was written */
  bool deleted;
  const char *value;
  size_t value_bytes;
};

struct store *store_create (void);

/** Release STORE; NULL is allowed. */
void store_destroy (struct store *store);

/** Return the revision of the last write at or before AT_MS. */
uint64_t store_revision_at (const struct store *store, int64_t at_ms);

/** Write.  VERSION is in and out: the condition's version, then the new one
 * or, on STORE_CONFLICT, the current one (0: absent). */
enum store_status store_put (struct store *store, const char *kind,
                             const char *name, enum store_condition condition,
                             uint64_t *version, const char *value,
                             size_t value_bytes, int64_t now_ms);

/** Delete, as store_put; STORE_ABSENT if there is nothing. */
enum store_status store_delete (struct store *store, const char *kind,
                                const char *name,
                                enum store_condition condition,
                                uint64_t *version, int64_t now_ms);

/** Read an object as it was at AT_MS; valid until the next write. */
enum store_status store_get (struct store *store, const char *kind,
                             const char *name, int64_t at_ms,
                             struct store_revision *revision);

/** Called for each item; false stops. */
typedef bool store_visit (void *user, const struct store_revision *revision);

/** Visit the objects of KIND as they were at AT_MS, in order of names, from
 * the first after AFTER (may be "") that begins with PREFIX. */
void store_list (struct store *store, const char *kind, const char *prefix,
                 const char *after, int64_t at_ms, store_visit *visit,
                 void *user);

/** Visit the writes to KIND after revision AFTER, oldest first.
 * STORE_COMPACTED if some of them are not kept any more. */
enum store_status store_events (struct store *store, const char *kind,
                                uint64_t after, store_visit *visit,
                                void *user);

/** Visit all writes of any kind after revision AFTER, without values. */
void store_writes (struct store *store, uint64_t after, store_visit *visit,
                   void *user);

/** Forget all events up to now, so that older watches are compacted. */
void store_compact (struct store *store);

/** Whether NAME is a kind or name that the store takes. */
bool store_name_valid (const char *name);

#endif
