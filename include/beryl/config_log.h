/** @file
 * The accepted configuration as a replicated log of immutable entries.
 *
 * The acceptor creates each entry under the next version, on the condition
 * that it does not exist.  All nodes thus see one order, an entry is present
 * as a whole or not at all, and a former acceptor that was paused loses the
 * race.  A node's state is a prefix of the log and only moves forward,
 * whichever node an entry comes from.
 *
 * An entry is the JSON object {"version":N,"revisions":{KIND:R,...},
 * "changes":[{"kind":K,"name":N,"source":V,"object":{...}},...]}; a change
 * without "object" is a deletion.  "source" is the version of the operator's
 * object; "revisions" holds, by kind, the platform's revision up to which the
 * acceptor had read.
 */
#ifndef BERYL_CONFIG_LOG_H
#define BERYL_CONFIG_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/error.h"
#include "beryl/ids.h"

struct beryl_config_log;

/** Result of applying an entry or a snapshot. */
enum beryl_config_log_result
{
  BERYL_CONFIG_LOG_APPLIED,
  BERYL_CONFIG_LOG_OLD,     /**< not newer than the state */
  BERYL_CONFIG_LOG_GAP,     /**< earlier entries are missing */
  BERYL_CONFIG_LOG_INVALID, /**< malformed, or out of memory */
};

/** Create an empty state at version 0. */
struct beryl_config_log *beryl_config_log_create (void);

/** Free LOG; NULL is allowed. */
void beryl_config_log_destroy (struct beryl_config_log *log);

/** Return the version of the last entry applied. */
uint64_t beryl_config_log_version (const struct beryl_config_log *log);

/** Return the platform's revision up to which operators' objects of KIND had
 * been read when the last entry was made. */
uint64_t beryl_config_log_revision (const struct beryl_config_log *log,
                                    const char *kind);

/** Apply an entry; anything but APPLIED leaves the state unchanged, unless
 * memory runs out. */
enum beryl_config_log_result
beryl_config_log_apply (struct beryl_config_log *log, const char *entry,
                        size_t entry_bytes, struct beryl_error *error);

/** Return the entries after version AFTER as a JSON array of at most about
 * MAX_BYTES, but at least one entry.  Returns NULL if there are none or they
 * are no longer retained.  The caller frees the result with free(). */
char *beryl_config_log_entries_after (const struct beryl_config_log *log,
                                      uint64_t after, size_t max_bytes,
                                      size_t *byte_count);

/** Return the whole state as JSON, to be freed with free(). */
char *beryl_config_log_snapshot (const struct beryl_config_log *log,
                                 size_t *byte_count);

/** Replace the state by a snapshot; OLD if it is not newer than the state. */
enum beryl_config_log_result
beryl_config_log_load (struct beryl_config_log *log, const char *snapshot,
                       size_t byte_count, struct beryl_error *error);

/** Return all objects of the configuration as the JSON array that
 * beryl_config_parse expects, to be freed with free(). */
char *beryl_config_log_objects (const struct beryl_config_log *log,
                                size_t *byte_count);

/** An accepted object; its texts are owned by the log. */
struct beryl_config_log_object
{
  const char *kind;
  const char *name;
  uint64_t source_version; /**< version of the operator's object */
  const char *json;        /**< text of the object */
};

/** Access the objects, sorted by kind and name. */
size_t beryl_config_log_count (const struct beryl_config_log *log);
struct beryl_config_log_object
beryl_config_log_get (const struct beryl_config_log *log, size_t i);

/** Look up an object; returns false if it is absent. */
bool beryl_config_log_find (const struct beryl_config_log *log,
                            const char *kind, const char *name,
                            struct beryl_config_log_object *object);

/** Validates the operators' objects against the accepted state and makes the
 * entries that bring changes into force. */
struct beryl_acceptor;
struct beryl_acceptor_owner;

/** Result of validating one object. */
struct beryl_validation_result
{
  const char *kind;
  const char *name;
  uint64_t version;     /**< of the operator's object; 0: its deletion */
  bool accepted;        /**< part of the proposed entry */
  const char *findings; /**< reasons for a rejection, one per line */
};

/** Callbacks. */
struct beryl_acceptor_owner_impl
{
  /** An object was accepted for the proposed entry, or rejected.  The entry
   * may still lose the race.  A rejection is reported again only
   * if the object's version or the findings have changed. */
  void (*validated) (struct beryl_acceptor_owner *owner,
                     const struct beryl_validation_result *result);
};

/** Base of the owner; embed it as the first member. */
struct beryl_acceptor_owner
{
  const struct beryl_acceptor_owner_impl *impl;
};

/** Create an acceptor; LOG and OWNER must outlive it. */
struct beryl_acceptor *
beryl_acceptor_create (const struct beryl_config_log *log,
                       struct beryl_acceptor_owner *owner);

/** Free ACCEPTOR; NULL is allowed. */
void beryl_acceptor_destroy (struct beryl_acceptor *acceptor);

/** Record an operator's object as read; JSON is NULL for a deletion. */
void beryl_acceptor_observe (struct beryl_acceptor *acceptor, const char *kind,
                             const char *name, uint64_t version,
                             const char *json, size_t json_bytes);

/** Record that all objects of KIND up to REVISION have been observed. */
void beryl_acceptor_synced (struct beryl_acceptor *acceptor, const char *kind,
                            uint64_t revision);

/** Return the next entry to create, to be freed with free(), or NULL if there
 * is nothing to change.  Call it again once this entry, or the one that won
 * the race, has been applied to the log. */
char *beryl_acceptor_propose (struct beryl_acceptor *acceptor,
                              size_t *byte_count);

/** Kind under which the platform stores the log's entries. */
#define BERYL_ACCEPTED_KIND "accepted"
/** Kind of the checkpoint: a snapshot that is stored in parts, and a head
 * object that names them. */
#define BERYL_CHECKPOINT_KIND "accepted-base"
#define BERYL_CHECKPOINT_HEAD "head"
/** Kind of the objects by which the planner drains an engine before unloading
 * it.  The node with the acceptor role passes them to struct beryl_acceptor as
 * objects of BERYL_INSTANCE_KIND. */
#define BERYL_DRAIN_KIND "drains"
/** Kind of the instance states, {"leaving":true}, that are derived from the
 * platform's instance list and the planner's drains and distributed through
 * the log without being part of the configuration. */
#define BERYL_INSTANCE_KIND "instance"

/** Write the object name of log entry VERSION to NAME. */
void beryl_config_log_entry_name (uint64_t version,
                                  char name[BERYL_NAME_BYTES]);

/** Write the object name of part PART of the checkpoint at VERSION to NAME. */
void beryl_config_log_part_name (uint64_t version, uint32_t part,
                                 char name[BERYL_NAME_BYTES]);

#endif
