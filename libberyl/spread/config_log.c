#include "beryl/config_log.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/guard_control.h"
#include "object_table.h"

/* Entries retained for nodes that are slightly behind; nodes further behind
 * load a snapshot. */
#define RETAINED_ENTRIES 512
#define RETAINED_BYTES (1U << 20)

#define REVISIONS_MAX 16

struct revision
{
  char kind[BERYL_NAME_BYTES];
  uint64_t revision;
};

/* Text of a retained entry. */
struct retained
{
  char *text;
  size_t bytes;
};

struct beryl_config_log
{
  uint64_t version;
  struct object_table items;
  struct revision revisions[REVISIONS_MAX];
  size_t revision_count;
  struct retained retained[RETAINED_ENTRIES]; /* ring buffer */
  uint64_t first_retained;                    /* oldest version retained */
  size_t retained_bytes;
};

struct beryl_config_log *
beryl_config_log_create (void)
{
  struct beryl_config_log *log = calloc (1, sizeof *log);

  if (log != NULL)
    log->first_retained = 1;
  return log;
}

static void
retained_drop (struct beryl_config_log *log, uint64_t version)
{
  struct retained *r = &log->retained[version % RETAINED_ENTRIES];

  log->retained_bytes -= r->bytes;
  free (r->text);
  memset (r, 0, sizeof *r);
}

static void
retained_clear (struct beryl_config_log *log)
{
  while (log->first_retained <= log->version)
    retained_drop (log, log->first_retained++);
}

void
beryl_config_log_destroy (struct beryl_config_log *log)
{
  if (log == NULL)
    return;
  retained_clear (log);
  object_table_clear (&log->items);
  free (log);
}

uint64_t
beryl_config_log_version (const struct beryl_config_log *log)
{
  return log->version;
}

uint64_t
beryl_config_log_revision (const struct beryl_config_log *log,
                           const char *kind)
{
  for (size_t i = 0; i < log->revision_count; i++)
    if (strcmp (log->revisions[i].kind, kind) == 0)
      return log->revisions[i].revision;
  return 0;
}

static void
revision_raise (struct beryl_config_log *log, const char *kind,
                uint64_t revision)
{
  struct revision *r = log->revisions;
  size_t i = 0;

  while (i < log->revision_count && strcmp (r[i].kind, kind) != 0)
    i++;
  if (i == REVISIONS_MAX || strlen (kind) >= sizeof r->kind)
    return;
  if (i == log->revision_count)
    {
      log->revision_count++;
      strncpy (r[i].kind, kind, sizeof r->kind - 1);
    }
  if (revision > r[i].revision)
    r[i].revision = revision;
}

static void
revisions_raise (struct beryl_config_log *log, json_t *revisions)
{
  const char *kind;
  json_t *value;

  json_object_foreach (revisions, kind, value)
  {
    revision_raise (log, kind, (uint64_t)json_integer_value (value));
  }
}

static bool
name_fits (json_t *value)
{
  const char *text = json_string_value (value);

  return text != NULL && text[0] != '\0' && strlen (text) < BERYL_NAME_BYTES;
}

/* Validates all changes before any is applied, so that a malformed entry is
 * not applied in part. */
static bool
changes_valid (json_t *changes)
{
  json_t *change;
  size_t i;

  if (!json_is_array (changes))
    return false;
  json_array_foreach (changes, i, change)
  {
    json_t *object = json_object_get (change, "object");

    if (!name_fits (json_object_get (change, "kind"))
        || !name_fits (json_object_get (change, "name"))
        || !json_is_integer (json_object_get (change, "source")))
      return false;
    if (object != NULL && !json_is_object (object))
      return false;
  }
  return true;
}

static bool
change_apply (struct object_table *items, json_t *change)
{
  const char *kind = json_string_value (json_object_get (change, "kind"));
  const char *name = json_string_value (json_object_get (change, "name"));
  json_t *object = json_object_get (change, "object");
  json_t *source = json_object_get (change, "source");
  char *text;
  bool done;

  if (object == NULL)
    {
      object_table_remove (items, kind, name);
      return true;
    }
  text = json_dumps (object, JSON_COMPACT);
  if (text == NULL)
    return false;
  done = object_table_put (items, kind, name,
                           (uint64_t)json_integer_value (source), text,
                           strlen (text));
  free (text);
  return done;
}

static bool
changes_apply (struct object_table *items, json_t *changes)
{
  json_t *change;
  size_t i;

  json_array_foreach (changes, i, change)
  {
    if (!change_apply (items, change))
      return false;
  }
  return true;
}

static void
retained_add (struct beryl_config_log *log, const char *entry,
              size_t entry_bytes)
{
  struct retained *r = &log->retained[log->version % RETAINED_ENTRIES];

  if (log->version - log->first_retained >= RETAINED_ENTRIES)
    retained_drop (log, log->first_retained++);
  r->text = malloc (entry_bytes);
  if (r->text == NULL)
    {
      retained_clear (log);
      return;
    }
  memcpy (r->text, entry, entry_bytes);
  r->bytes = entry_bytes;
  log->retained_bytes += entry_bytes;
  while (log->retained_bytes > RETAINED_BYTES
         && log->first_retained < log->version)
    retained_drop (log, log->first_retained++);
}

static enum beryl_config_log_result
entry_apply (struct beryl_config_log *log, json_t *entry, const char *text,
             size_t text_bytes, struct beryl_error *error)
{
  json_t *changes = json_object_get (entry, "changes");
  uint64_t version
      = (uint64_t)json_integer_value (json_object_get (entry, "version"));

  if (version == 0 || !changes_valid (changes))
    {
      beryl_error_set (error, BERYL_ERROR_INVALID, "malformed entry");
      return BERYL_CONFIG_LOG_INVALID;
    }
  if (version <= log->version)
    return BERYL_CONFIG_LOG_OLD;
  if (!BERYL_GUARD (BERYL_GUARD_SPREAD_GAP, version == log->version + 1))
    return BERYL_CONFIG_LOG_GAP;
  if (!changes_apply (&log->items, changes))
    {
      beryl_error_set (error, BERYL_ERROR_INTERNAL, "out of memory");
      return BERYL_CONFIG_LOG_INVALID;
    }
  revisions_raise (log, json_object_get (entry, "revisions"));
  log->version = version;
  retained_add (log, text, text_bytes);
  return BERYL_CONFIG_LOG_APPLIED;
}

enum beryl_config_log_result
beryl_config_log_apply (struct beryl_config_log *log, const char *entry,
                        size_t entry_bytes, struct beryl_error *error)
{
  json_t *json = json_loadb (entry, entry_bytes, JSON_REJECT_DUPLICATES, NULL);
  enum beryl_config_log_result result;

  if (json == NULL)
    {
      beryl_error_set (error, BERYL_ERROR_INVALID, "entry is not JSON");
      return BERYL_CONFIG_LOG_INVALID;
    }
  result = entry_apply (log, json, entry, entry_bytes, error);
  json_decref (json);
  return result;
}

char *
beryl_config_log_entries_after (const struct beryl_config_log *log,
                                uint64_t after, size_t max_bytes,
                                size_t *byte_count)
{
  uint64_t version = after + 1;
  size_t total = 0;
  char *text = NULL;
  FILE *out;

  if (version < log->first_retained || version > log->version)
    return NULL;
  out = open_memstream (&text, byte_count);
  if (out == NULL)
    return NULL;
  fputc ('[', out);
  for (; version <= log->version; version++)
    {
      const struct retained *r = &log->retained[version % RETAINED_ENTRIES];

      if (total > 0 && total + r->bytes > max_bytes)
        break;
      if (total > 0)
        fputc (',', out);
      fwrite (r->text, 1, r->bytes, out);
      total += r->bytes;
    }
  fputc (']', out);
  fclose (out);
  return text;
}

static void
snapshot_revisions (const struct beryl_config_log *log, FILE *out)
{
  for (size_t i = 0; i < log->revision_count; i++)
    fprintf (out, "%s\"%s\":%" PRIu64, i > 0 ? "," : "",
             log->revisions[i].kind, log->revisions[i].revision);
}

char *
beryl_config_log_snapshot (const struct beryl_config_log *log,
                           size_t *byte_count)
{
  char *text = NULL;
  FILE *out = open_memstream (&text, byte_count);

  if (out == NULL)
    return NULL;
  fprintf (out, "{\"version\":%" PRIu64 ",\"revisions\":{", log->version);
  snapshot_revisions (log, out);
  fputs ("},\"changes\":[", out);
  for (size_t i = 0; i < log->items.count; i++)
    {
      const struct stored_object *item = &log->items.list[i];

      fprintf (out,
               "%s{\"kind\":\"%s\",\"name\":\"%s\",\"source\":%" PRIu64
               ",\"object\":%s}",
               i > 0 ? "," : "", item->kind, item->name, item->version,
               item->text);
    }
  fputs ("]}", out);
  fclose (out);
  return text;
}

static enum beryl_config_log_result
snapshot_load (struct beryl_config_log *log, json_t *json,
               struct beryl_error *error)
{
  json_t *changes = json_object_get (json, "changes");
  uint64_t version
      = (uint64_t)json_integer_value (json_object_get (json, "version"));
  struct object_table items = { 0 };

  if (!changes_valid (changes) || !changes_apply (&items, changes))
    {
      object_table_clear (&items);
      beryl_error_set (error, BERYL_ERROR_INVALID, "malformed snapshot");
      return BERYL_CONFIG_LOG_INVALID;
    }
  retained_clear (log);
  object_table_clear (&log->items);
  log->items = items;
  log->version = version;
  log->first_retained = version + 1;
  revisions_raise (log, json_object_get (json, "revisions"));
  return BERYL_CONFIG_LOG_APPLIED;
}

enum beryl_config_log_result
beryl_config_log_load (struct beryl_config_log *log, const char *snapshot,
                       size_t byte_count, struct beryl_error *error)
{
  json_t *json
      = json_loadb (snapshot, byte_count, JSON_REJECT_DUPLICATES, NULL);
  enum beryl_config_log_result result;
  uint64_t version;

  if (json == NULL)
    {
      beryl_error_set (error, BERYL_ERROR_INVALID, "snapshot is not JSON");
      return BERYL_CONFIG_LOG_INVALID;
    }
  version = (uint64_t)json_integer_value (json_object_get (json, "version"));
  if (!BERYL_GUARD (BERYL_GUARD_SPREAD_NEWER, version > log->version))
    result = BERYL_CONFIG_LOG_OLD;
  else
    result = snapshot_load (log, json, error);
  json_decref (json);
  return result;
}

char *
beryl_config_log_objects (const struct beryl_config_log *log,
                          size_t *byte_count)
{
  return object_table_format (&log->items, BERYL_INSTANCE_KIND, byte_count);
}

size_t
beryl_config_log_count (const struct beryl_config_log *log)
{
  return log->items.count;
}

struct beryl_config_log_object
beryl_config_log_get (const struct beryl_config_log *log, size_t i)
{
  const struct stored_object *item = &log->items.list[i];

  return (struct beryl_config_log_object){ item->kind, item->name,
                                           item->version, item->text };
}

bool
beryl_config_log_find (const struct beryl_config_log *log, const char *kind,
                       const char *name,
                       struct beryl_config_log_object *object)
{
  bool found;
  size_t i = object_table_find (&log->items, kind, name, &found);

  if (found)
    *object = beryl_config_log_get (log, i);
  return found;
}

void
beryl_config_log_entry_name (uint64_t version, char name[BERYL_NAME_BYTES])
{
  snprintf (name, BERYL_NAME_BYTES, "log-%012" PRIu64, version);
}

void
beryl_config_log_part_name (uint64_t version, uint32_t part,
                            char name[BERYL_NAME_BYTES])
{
  snprintf (name, BERYL_NAME_BYTES, "part-%012" PRIu64 "-%03u", version, part);
}
