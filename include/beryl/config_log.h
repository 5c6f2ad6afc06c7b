/** @file
 * The accepted configuration: a log of entries, each written once.
 *
 * An entry is made by "create only if absent" under the next number, so
 * that all nodes see one order, an entry is whole or absent, and a former
 * acceptor that was paused loses the race.  A node's state is a prefix of
 * the log; it only moves forward, whoever tells it what.
 *
 * An entry is the JSON object {"version":N,"revisions":{KIND:R,...},
 * "changes":[{"kind":K,"name":N,"source":V,"object":{...}},...]}; a change
 * without "object" is a deletion.  "source" is the version of the operator's
 * object, "revisions" the platform's revision that the acceptor had read.
 */
#ifndef BERYL_SPREAD_H
#define BERYL_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/error.h"
#include "beryl/ids.h"

struct beryl_config_log;

/** What became of an entry. */
enum beryl_config_log_result
{
  BERYL_CONFIG_LOG_APPLIED,
  BERYL_CONFIG_LOG_OLD, /**< already known */
  BERYL_CONFIG_LOG_GAP, /**< entries before it are missing */
  BERYL_CONFIG_LOG_INVALID,
};

/** Create an empty state, version 0. */
struct beryl_config_log *beryl_config_log_create (void);

/** Release SPREAD; NULL is allowed. */
void beryl_config_log_destroy (struct beryl_config_log *spread);

/** Return the number of the last entry applied. */
uint64_t beryl_config_log_version (const struct beryl_config_log *spread);

/** Return the revision up to which operators' objects of KIND were read
 * when they were accepted last. */
uint64_t beryl_config_log_revision (const struct beryl_config_log *spread,
                                    const char *kind);

/** Apply an entry. */
enum beryl_config_log_result
beryl_config_log_apply (struct beryl_config_log *spread, const char *entry,
                        size_t entry_bytes, struct beryl_error *error);

/** Return the entries after version AFTER as a JSON array of at most about
 * MOST_BYTES (at least one entry); NULL if they are no longer kept, or there
 * are none.  free() it. */
char *beryl_config_log_entries_after (const struct beryl_config_log *spread,
                                      uint64_t after, size_t max_bytes,
                                      size_t *bytes_count);

/** Return the whole state as JSON; free() it. */
char *beryl_config_log_snapshot (const struct beryl_config_log *spread,
                                 size_t *bytes_count);

/** Take a snapshot.  OLD if it is not newer than the state. */
enum beryl_config_log_result
beryl_config_log_load (struct beryl_config_log *spread, const char *snapshot,
                       size_t bytes_count, struct beryl_error *error);

/** Return all objects of the configuration as the JSON array that
 * beryl_config_parse takes; free() it. */
char *beryl_config_log_objects (const struct beryl_config_log *spread,
                                size_t *bytes_count);

/** One accepted object. */
struct beryl_config_log_object
{
  const char *kind;
  const char *name;
  uint64_t source;  /**< version of the operator's object */
  const char *json; /**< the object */
};

/** Return the number of objects, and object I in order of kind and name. */
size_t beryl_config_log_count (const struct beryl_config_log *spread);
struct beryl_config_log_object
beryl_config_log_get (const struct beryl_config_log *spread, size_t i);

/** Find an object; false if absent. */
bool beryl_config_log_find (const struct beryl_config_log *spread,
                            const char *kind, const char *name,
                            struct beryl_config_log_object *object);

/** Judges the operators' objects against the accepted state. */
struct beryl_acceptor;
struct beryl_acceptor_owner;

/** What was found out about one object. */
struct beryl_validation_result
{
  const char *kind;
  const char *name;
  uint64_t version;     /**< of the operator's object; 0: its deletion */
  bool accepted;        /**< will be in force with the proposed entry */
  const char *findings; /**< why not, one a line */
};

/** Actions. */
struct beryl_acceptor_owner_impl
{
  /** An object was judged; told once for each version of it and state. */
  void (*validated) (struct beryl_acceptor_owner *owner,
                     const struct beryl_validation_result *judgement);
};

/** The owner; the first member selects the implementation. */
struct beryl_acceptor_owner
{
  const struct beryl_acceptor_owner_impl *impl;
};

/** Create; SPREAD and OWNER must outlive it. */
struct beryl_acceptor *
beryl_acceptor_create (const struct beryl_config_log *spread,
                       struct beryl_acceptor_owner *owner);

/** Release ACCEPTOR; NULL is allowed. */
void beryl_acceptor_destroy (struct beryl_acceptor *acceptor);

/** An operator's object was seen; JSON is NULL for a deletion. */
void beryl_acceptor_observe (struct beryl_acceptor *acceptor, const char *kind,
                             const char *name, uint64_t version,
                             const char *json, size_t json_bytes);

/** Everything of KIND up to REVISION has been observed. */
void beryl_acceptor_synced (struct beryl_acceptor *acceptor, const char *kind,
                            uint64_t revision);

/** Return the next entry to create, or NULL if nothing is to change.  Call
 * it again once the entry, or the one that won the race, was applied to the
 * spread.  free() it. */
char *beryl_acceptor_propose (struct beryl_acceptor *acceptor,
                              size_t *bytes_count);

/** Kind of the log's entries in the platform. */
#define BERYL_ACCEPTED_KIND "accepted"
/** Kind of the checkpoint's parts and of its head, which names them. */
#define BERYL_CHECKPOINT_KIND "accepted-base"
#define BERYL_CHECKPOINT_HEAD "head"
/** Kind of the objects by which the planner has an engine take no new work
 * before it unloads it; the acceptor makes them instance facts. */
#define BERYL_DRAIN_KIND "drains"
/** Kind of the facts of the platform's instance list that travel with the
 * configuration: {"leaving":true}.  They are no part of it. */
#define BERYL_INSTANCE_KIND "instance"

/** Write the name of the log entry VERSION. */
void beryl_config_log_entry_name (uint64_t version,
                                  char name[BERYL_NAME_BYTES]);

/** Write the name of PART of the checkpoint at VERSION. */
void beryl_config_log_part_name (uint64_t version, uint32_t part,
                                 char name[BERYL_NAME_BYTES]);

#endif
