#include "config_task.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "gossip_task.h"

/* Timeout of one request to the platform. */
#define READ_TIMEOUT_MS 5000

struct config_task
{
  struct control *control;
  uint64_t watch;   /* watch of the log; 0: none */
  uint64_t request; /* pending request; 0: none */
  struct beryl_config *config;
  uint64_t config_version; /* version that CONFIG was parsed from */
  /* State of reading the checkpoint's parts. */
  uint64_t checkpoint_version;
  uint32_t part;
  uint32_t part_count;
  json_t *checkpoint;
};

static const struct platform_client_options read_options
    = { .use = BERYL_USE_CONFIG, .timeout_ms = READ_TIMEOUT_MS };

struct config_task *
config_task_create (struct control *control)
{
  struct config_task *task = g_new0 (struct config_task, 1);

  task->control = control;
  control->config_log = beryl_config_log_create ();
  return task;
}

void
config_task_destroy (struct config_task *task)
{
  if (task == NULL)
    return;
  json_decref (task->checkpoint);
  beryl_config_destroy (task->config);
  g_free (task);
}

const struct beryl_config *
config_task_parsed (struct config_task *task)
{
  uint64_t version = beryl_config_log_version (task->control->config_log);
  struct beryl_findings *findings;
  struct beryl_config *config;
  size_t bytes = 0;
  char *text;

  if (version == 0 || version == task->config_version)
    return task->config;
  text = beryl_config_log_objects (task->control->config_log, &bytes);
  findings = beryl_findings_create ();
  config = beryl_config_parse (text, bytes, version, findings);
  beryl_findings_destroy (findings);
  free (text);
  task->config_version = version;
  if (config == NULL)
    {
      g_warning ("cannot parse accepted configuration %" G_GUINT64_FORMAT
                 "; keeping the previous one",
                 version);
      return task->config;
    }
  beryl_config_destroy (task->config);
  task->config = config;
  return config;
}

static void
config_advanced (struct config_task *task, uint64_t before, const char *from)
{
  uint64_t version = beryl_config_log_version (task->control->config_log);

  if (version == before)
    return;
  g_info ("configuration %" G_GUINT64_FORMAT " loaded from %s", version, from);
  control_config_changed (task->control);
}

static enum beryl_config_log_result
entry_apply (struct config_task *task, const char *text, size_t bytes_count,
             const char *from)
{
  struct beryl_error error = { 0 };
  enum beryl_config_log_result result = beryl_config_log_apply (
      task->control->config_log, text, bytes_count, &error);

  if (result == BERYL_CONFIG_LOG_INVALID)
    g_warning ("invalid log entry from %s: %s", from, error.message);
  return result;
}

void
config_task_apply_entries (struct config_task *task, const char *text,
                           size_t bytes_count, const char *from)
{
  uint64_t before = beryl_config_log_version (task->control->config_log);
  json_t *array = json_loadb (text, bytes_count, 0, NULL);
  json_t *entry;
  size_t i;

  json_array_foreach (array, i, entry)
  {
    char *one = json_dumps (entry, JSON_COMPACT);

    if (one != NULL)
      entry_apply (task, one, strlen (one), from);
    free (one);
  }
  json_decref (array);
  config_advanced (task, before, from);
}

void
config_task_load_snapshot (struct config_task *task, const char *text,
                           size_t bytes_count, const char *from)
{
  uint64_t before = beryl_config_log_version (task->control->config_log);
  struct beryl_error error = { 0 };

  if (beryl_config_log_load (task->control->config_log, text, bytes_count,
                             &error)
      == BERYL_CONFIG_LOG_INVALID)
    g_warning ("invalid snapshot from %s: %s", from, error.message);
  config_advanced (task, before, from);
}

/* Objects are listed by name, which is the order of the versions. */
static void
log_listed (void *user, const struct beryl_platform_result *result)
{
  struct config_task *task = user;
  uint64_t before = beryl_config_log_version (task->control->config_log);

  task->request = 0;
  if (result->code != BERYL_OK)
    return;
  for (size_t i = 0; i < result->object_count; i++)
    entry_apply (task, result->objects[i].value,
                 result->objects[i].value_bytes, "the platform's log");
  config_advanced (task, before, "the platform's log");
}

static void
log_list (struct config_task *task)
{
  task->request
      = platform_client_list (task->control->platform, &read_options,
                              BERYL_ACCEPTED_KIND, "log-", log_listed, task);
}

static void
checkpoint_apply (struct config_task *task)
{
  char *text = json_dumps (task->checkpoint, JSON_COMPACT);

  json_decref (task->checkpoint);
  task->checkpoint = NULL;
  if (text != NULL)
    config_task_load_snapshot (task, text, strlen (text), "the checkpoint");
  free (text);
  log_list (task);
}

static void part_get (struct config_task *task);

static void
part_read (void *user, const struct beryl_platform_result *result)
{
  struct config_task *task = user;
  json_t *part;

  task->request = 0;
  if (result->code != BERYL_OK)
    return;
  part = json_loadb (result->objects[0].value, result->objects[0].value_bytes,
                     0, NULL);
  if (part == NULL)
    return;
  if (task->checkpoint == NULL)
    task->checkpoint = json_deep_copy (part);
  else
    json_array_extend (json_object_get (task->checkpoint, "changes"),
                       json_object_get (part, "changes"));
  json_decref (part);
  if (++task->part < task->part_count)
    part_get (task);
  else
    checkpoint_apply (task);
}

static void
part_get (struct config_task *task)
{
  char name[BERYL_NAME_BYTES];

  beryl_config_log_part_name (task->checkpoint_version, task->part, name);
  task->request
      = platform_client_get (task->control->platform, &read_options,
                             BERYL_CHECKPOINT_KIND, name, 0, part_read, task);
}

static void
head_read (void *user, const struct beryl_platform_result *result)
{
  struct config_task *task = user;
  json_t *head;

  task->request = 0;
  if (result->code == BERYL_ERROR_NOT_FOUND)
    {
      log_list (task);
      return;
    }
  if (result->code != BERYL_OK)
    return;
  head = json_loadb (result->objects[0].value, result->objects[0].value_bytes,
                     0, NULL);
  task->checkpoint_version
      = (uint64_t)json_integer_value (json_object_get (head, "version"));
  task->part_count
      = (uint32_t)json_integer_value (json_object_get (head, "parts"));
  task->part = 0;
  json_decref (head);
  json_decref (task->checkpoint);
  task->checkpoint = NULL;
  if (task->checkpoint_version
          > beryl_config_log_version (task->control->config_log)
      && task->part_count > 0)
    part_get (task);
  else
    log_list (task);
}

void
config_task_read_log (struct config_task *task)
{
  if (task->request != 0)
    return;
  task->request = platform_client_get (
      task->control->platform, &read_options, BERYL_CHECKPOINT_KIND,
      BERYL_CHECKPOINT_HEAD, 0, head_read, task);
}

static void
watch_event (void *user, const struct beryl_platform_event *event)
{
  struct config_task *task = user;
  uint64_t before = beryl_config_log_version (task->control->config_log);

  if (event->deleted || !g_str_has_prefix (event->object.name, "log-"))
    return;
  /* A gap means that earlier entries were folded into a checkpoint. */
  if (entry_apply (task, event->object.value, event->object.value_bytes,
                   "the watch")
      == BERYL_CONFIG_LOG_GAP)
    config_task_read_log (task);
  config_advanced (task, before, "the watch");
}

static void
watch_synced (void *user, uint64_t revision)
{
  struct config_task *task = user;

  (void)revision;
  if (task->request != 0)
    return;
  beryl_membership_confirm_config (task->control->members,
                                   control_now_ms (task->control));
}

static const struct platform_watch_callbacks watch_callbacks
    = { .event = watch_event, .synced = watch_synced };

void
config_task_watch (struct config_task *task, bool on)
{
  if (on && task->watch == 0)
    task->watch
        = platform_client_watch (task->control->platform, BERYL_USE_CONFIG,
                                 BERYL_ACCEPTED_KIND, &watch_callbacks, task);
  else if (!on && task->watch != 0)
    {
      platform_client_unwatch (task->control->platform, task->watch);
      task->watch = 0;
    }
}
