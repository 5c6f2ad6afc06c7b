/** @file
 * Types and functions shared by the commands of berylctl.
 */
#ifndef BERYLCTL_CTL_H
#define BERYLCTL_CTL_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "beryl/error.h"
#include "beryl/findings.h"
#include "common/loop.h"
#include "common/platform_client.h"
#include "common/yaml.h"
#include "http/context.h"

/** Exit codes, as documented in berylctl(1). */
enum ctl_exit
{
  CTL_OK = 0,
  CTL_FAILED = 1,
  CTL_USAGE = 2,
  CTL_FINDINGS = 3,
  CTL_NOT_FOUND = 4,
  CTL_CONFLICT = 5,
  CTL_UNAVAILABLE = 6,
  CTL_UNKNOWN = 7,
  CTL_NOT_IN_FORCE = 8,
  CTL_REJECTED = 9,
};

/** Output formats. */
enum ctl_format
{
  CTL_FORMAT_TABLE,
  CTL_FORMAT_JSON,
  CTL_FORMAT_YAML,
};

/** Command-line options and connections. */
struct ctl
{
  enum ctl_format format;
  char platform_address[64];
  uint16_t platform_port;
  char entry_address[64];
  uint16_t entry_port; /**< 0: --entry was not given */
  const char *token;   /**< operators' token for entry nodes; may be
                        * NULL */
  int64_t timeout_ms;
  const char *log; /**< gateway log for explain, or NULL; "-": stdin */
  bool force;      /**< write regardless of the stored version */
  bool whole;      /**< the files are a complete configuration */
  struct loop *loop;
  struct http_context *http;
  struct platform_client *platform;
};

/** Create the loop and the platform client on first use. */
void ctl_connect (struct ctl *ctl);

/** Release what ctl_connect() created. */
void ctl_disconnect (struct ctl *ctl);

/** Run the loop until *DONE is true. */
void ctl_wait (struct ctl *ctl, const bool *done);

/** Run the loop for MS milliseconds. */
void ctl_sleep (struct ctl *ctl, int64_t ms);

/** Read an object as {"kind","name","version","value"}; NULL and ERROR on
 * failure. */
json_t *ctl_get (struct ctl *ctl, const char *kind, const char *name,
                 struct beryl_error *error);

/** Read all objects of KIND whose names start with PREFIX as an array; NULL
 * and ERROR on failure. */
json_t *ctl_list (struct ctl *ctl, const char *kind, const char *prefix,
                  struct beryl_error *error);

/** Write VALUE if the stored version is VERSION (0: the object is absent).
 * Returns the new version; 0 and ERROR on failure. */
uint64_t ctl_put (struct ctl *ctl, const char *kind, const char *name,
                  json_t *value, uint64_t version, struct beryl_error *error);

/** Delete an object if its version is VERSION; false and ERROR on failure. */
bool ctl_delete (struct ctl *ctl, const char *kind, const char *name,
                 uint64_t version, struct beryl_error *error);

/** GET a path of an HTTP server.  Returns the body, to be released with
 * g_free(), and *STATUS; NULL and ERROR if there is no answer. */
char *ctl_http_get (struct ctl *ctl, const char *address, uint16_t port,
                    const char *path, unsigned int *status,
                    struct beryl_error *error);

/** Explain request ID from the beryl-gatewayd log in PATH. */
enum ctl_exit ctl_explain_log (const char *path, const char *id);

/** Print ERROR and return its exit code. */
enum ctl_exit ctl_report_error (const struct beryl_error *error);

/** Objects read from files, each of which is valid by itself. */
struct ctl_objects
{
  json_t *items; /**< array of the objects, with "version" if given */
};

/** Read and check files; the findings of all files are printed together. */
bool ctl_objects_load (struct ctl *ctl, struct ctl_objects *objects,
                       char *const *paths, int path_count);

/** Release the objects. */
void ctl_objects_clear (struct ctl_objects *objects);

/** Return the canonical name of the kind TEXT; NULL, with a message, if there
 * is no such kind. */
const char *ctl_kind (const char *text);

/** Return a copy of OBJECT without the members that only the tools use. */
json_t *ctl_plain_object (const json_t *object);

/** Print VALUE on standard output; YAML prints an array as one document per
 * item. */
void ctl_print_json (const json_t *value);
void ctl_print_yaml (const json_t *value);

/** Print rows as an aligned table; cells are separated by tabs. */
void ctl_print_table (char *const *rows, size_t row_count);

/** Print each member that differs by its path; return their number. */
size_t ctl_print_difference (const json_t *before, const json_t *after);

/** Print each member that differs between THEIRS and YOURS, with its BASE
 * value unless BASE is NULL. */
void ctl_print_three_way (const json_t *base, const json_t *theirs,
                          const json_t *yours);

/** Wait until an object's version is in force in all data centres; prints why
 * if it is rejected or the timeout expires. */
enum ctl_exit ctl_wait_in_force (struct ctl *ctl, const char *kind,
                                 const char *name, uint64_t version);

/** Format the name of an object's status object. */
void ctl_status_name (const char *kind, const char *name, char *status,
                      size_t status_bytes);

/** Runs a command; ARGV are its arguments without its name. */
typedef enum ctl_exit ctl_command (struct ctl *ctl, int argc, char **argv);

ctl_command command_apply;
ctl_command command_delete;
ctl_command command_describe;
ctl_command command_diff;
ctl_command command_drain;
ctl_command command_explain;
ctl_command command_get;
ctl_command command_status;
ctl_command command_top;
ctl_command command_validate;
ctl_command command_watch;

#endif
