#include "checkpoint.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Log entries between two checkpoints. */
#define INTERVAL_ENTRIES 256
/* Target size of a part; the platform stores values of up to 1 MB. */
#define PART_BYTES (512U * 1024U)
#define WRITE_MS 5000

struct checkpoint
{
  struct control *control;
  uint64_t request;          /* pending request; 0: none */
  uint64_t version;          /* version of the checkpoint being written */
  uint64_t written_version;  /* version of the last checkpoint */
  json_t *snapshot;          /* snapshot being written */
  size_t next_change;        /* index of the next change to write */
  uint32_t parts;            /* parts written so far */
  uint64_t previous_version; /* version of the replaced checkpoint */
  uint32_t previous_parts;
  uint64_t next_delete; /* first entry that is not deleted */
  GQueue obsolete;      /* objects to delete, as "kind/name" */
};

static const struct platform_client_options options
    = { .use = BERYL_USE_STATUS, .timeout_ms = WRITE_MS, .wait = true };

struct checkpoint *
checkpoint_create (struct control *control)
{
  struct checkpoint *c = g_new0 (struct checkpoint, 1);

  c->control = control;
  c->written_version = beryl_config_log_version (control->config_log);
  c->written_version -= c->written_version % INTERVAL_ENTRIES;
  c->next_delete = c->written_version > INTERVAL_ENTRIES
                       ? c->written_version - INTERVAL_ENTRIES + 1
                       : 1;
  return c;
}

void
checkpoint_destroy (struct checkpoint *c)
{
  if (c == NULL)
    return;
  if (c->request != 0)
    platform_client_forget (c->control->platform, c->request);
  json_decref (c->snapshot);
  g_queue_clear_full (&c->obsolete, g_free);
  g_free (c);
}

static void obsolete_delete (struct checkpoint *c);

static void
obsolete_deleted (void *user, const struct beryl_platform_result *result)
{
  struct checkpoint *c = user;

  (void)result;
  c->request = 0;
  obsolete_delete (c);
}

/* Deletes one object at a time, as nothing waits for it. */
static void
obsolete_delete (struct checkpoint *c)
{
  char *name = g_queue_pop_head (&c->obsolete);
  char *slash = name != NULL ? strchr (name, '/') : NULL;

  if (slash != NULL)
    {
      *slash = '\0';
      c->request
          = platform_client_delete (c->control->platform, &options, name,
                                    slash + 1, 0, obsolete_deleted, c);
    }
  g_free (name);
}

static void
obsolete_collect (struct checkpoint *c)
{
  char name[BERYL_NAME_BYTES];

  for (uint32_t i = 0; i < c->previous_parts; i++)
    {
      beryl_config_log_part_name (c->previous_version, i, name);
      g_queue_push_tail (&c->obsolete,
                         g_strdup_printf (BERYL_CHECKPOINT_KIND "/%s", name));
    }
  /* Keep one interval of entries for nodes that are slightly behind. */
  while (c->next_delete + INTERVAL_ENTRIES <= c->version)
    {
      beryl_config_log_entry_name (c->next_delete++, name);
      g_queue_push_tail (&c->obsolete,
                         g_strdup_printf (BERYL_ACCEPTED_KIND "/%s", name));
    }
}

static void
head_written (void *user, const struct beryl_platform_result *result)
{
  struct checkpoint *c = user;

  c->request = 0;
  if (result->code != BERYL_OK)
    return;
  g_info ("checkpoint at %" G_GUINT64_FORMAT " written in %u parts",
          c->version, c->parts);
  c->written_version = c->version;
  obsolete_collect (c);
  obsolete_delete (c);
}

static void
head_read (void *user, const struct beryl_platform_result *result)
{
  struct checkpoint *c = user;
  char value[96];
  struct beryl_platform_write write = { .kind = BERYL_CHECKPOINT_KIND,
                                        .name = BERYL_CHECKPOINT_HEAD,
                                        .condition = BERYL_IF_ABSENT,
                                        .value = value };

  c->request = 0;
  if (result->code != BERYL_OK && result->code != BERYL_ERROR_NOT_FOUND)
    return;
  if (result->code == BERYL_OK)
    {
      json_t *head = json_loadb (result->objects[0].value,
                                 result->objects[0].value_bytes, 0, NULL);
      json_int_t stored_version
          = json_integer_value (json_object_get (head, "version"));

      c->previous_version = (uint64_t)stored_version;
      c->previous_parts
          = (uint32_t)json_integer_value (json_object_get (head, "parts"));
      json_decref (head);
      /* A paused previous acceptor must not move the head back: the entries
       * after its checkpoint are already deleted. */
      if ((uint64_t)stored_version >= c->version)
        return;
      write.condition = BERYL_IF_VERSION;
      write.version = result->objects[0].version;
    }
  write.value_bytes = (size_t)snprintf (
      value, sizeof value, "{\"version\":%" G_GUINT64_FORMAT ",\"parts\":%u}",
      c->version, c->parts);
  c->request = platform_client_put (c->control->platform, &options, &write,
                                    head_written, c);
}

static char *
part_format (struct checkpoint *c, size_t *bytes_count)
{
  json_t *changes = json_object_get (c->snapshot, "changes");
  json_t *part = json_object ();
  json_t *some = json_array ();
  size_t bytes = 0;
  char *text;

  json_object_set (part, "version", json_object_get (c->snapshot, "version"));
  json_object_set (part, "revisions",
                   json_object_get (c->snapshot, "revisions"));
  json_object_set_new (part, "changes", some);
  while (c->next_change < json_array_size (changes) && bytes < PART_BYTES)
    {
      json_t *change = json_array_get (changes, c->next_change++);

      bytes += json_dumpb (change, NULL, 0, JSON_COMPACT);
      json_array_append (some, change);
    }
  text = json_dumps (part, JSON_COMPACT);
  json_decref (part);
  *bytes_count = text != NULL ? strlen (text) : 0;
  return text;
}

static void part_write (struct checkpoint *c);

static void
part_written (void *user, const struct beryl_platform_result *result)
{
  struct checkpoint *c = user;

  c->request = 0;
  if (result->code != BERYL_OK)
    return;
  c->parts++;
  if (c->next_change
      < json_array_size (json_object_get (c->snapshot, "changes")))
    {
      part_write (c);
      return;
    }
  c->request = platform_client_get (c->control->platform, &options,
                                    BERYL_CHECKPOINT_KIND,
                                    BERYL_CHECKPOINT_HEAD, 0, head_read, c);
}

/* A part's name determines its content, so rewriting it is harmless. */
static void
part_write (struct checkpoint *c)
{
  char name[BERYL_NAME_BYTES];
  size_t bytes = 0;
  char *text = part_format (c, &bytes);
  struct beryl_platform_write write = { .kind = BERYL_CHECKPOINT_KIND,
                                        .name = name,
                                        .condition = BERYL_IF_ANY,
                                        .value = text,
                                        .value_bytes = bytes };

  if (text == NULL)
    return;
  beryl_config_log_part_name (c->version, c->parts, name);
  c->request = platform_client_put (c->control->platform, &options, &write,
                                    part_written, c);
  free (text);
}

void
checkpoint_start_if_due (struct checkpoint *c)
{
  uint64_t version = beryl_config_log_version (c->control->config_log);
  size_t bytes = 0;
  char *text;

  if (c->request != 0 || version < c->written_version + INTERVAL_ENTRIES)
    return;
  c->previous_parts = 0;
  text = beryl_config_log_snapshot (c->control->config_log, &bytes);
  json_decref (c->snapshot);
  c->snapshot = json_loadb (text, bytes, 0, NULL);
  free (text);
  c->version = version;
  c->next_change = 0;
  c->parts = 0;
  part_write (c);
}
