#include "metrics_task.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "gossip_task.h"
#include "http/server.h"

#define BODY_BYTES 1024

struct metrics_task
{
  struct http_handler base;
  struct control *control;
  struct http_server *server;
};

static uint64_t
resident_bytes (void)
{
  uint64_t pages = 0;
  FILE *in = fopen ("/proc/self/statm", "r");
  char line[128];

  if (in == NULL)
    return 0;
  if (fgets (line, sizeof line, in) != NULL)
    {
      char *end;

      /* The first field is the total size, the second the resident set. */
      strtoull (line, &end, 10);
      pages = strtoull (end, NULL, 10);
    }
  fclose (in);
  return pages * (uint64_t)sysconf (_SC_PAGESIZE);
}

static uint64_t
cpu_ms (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000
         + (uint64_t)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1000;
}

static void
metrics_update (struct metrics_task *task)
{
  struct control *control = task->control;
  struct counters *set = control->counters;
  int64_t stale_ms = beryl_membership_config_age_ms (control->members,
                                                     control_now_ms (control));

  struct http_traffic traffic = http_context_client_traffic (control->http);

  gossip_task_update_counters (control->gossip);
  counters_set (set, "beryl_http_client_bytes_total", "direction=\"sent\"",
                traffic.sent_bytes);
  counters_set (set, "beryl_http_client_bytes_total", "direction=\"received\"",
                traffic.received_bytes);
  counters_set (set, "beryl_process_resident_bytes", "", resident_bytes ());
  counters_set (set, "beryl_process_cpu_ms_total", "", cpu_ms ());
  counters_set (set, "beryl_config_version", "",
                beryl_config_log_version (control->config_log));
  counters_set (set, "beryl_config_applied_version", "",
                beryl_membership_self (control->members)->config_applied);
  counters_set (set, "beryl_config_objects", "",
                beryl_config_log_count (control->config_log));
  if (stale_ms >= 0)
    counters_set (set, "beryl_config_stale_ms", "", (uint64_t)stale_ms);
}

static void
handle_request (struct http_handler *handler, struct http_exchange *ex)
{
  struct metrics_task *task = (struct metrics_task *)handler;
  char *text;

  if (strcmp (http_exchange_path (ex), "/healthz") == 0)
    {
      http_exchange_respond (ex, 200, "text/plain", "ok\n", 3);
      return;
    }
  if (strcmp (http_exchange_path (ex), "/metrics") != 0)
    {
      http_exchange_respond (ex, 404, "text/plain", "not found\n", 10);
      return;
    }
  metrics_update (task);
  text = counters_format (task->control->counters);
  http_exchange_respond (ex, 200, "text/plain; version=0.0.4", text,
                         strlen (text));
  free (text);
}

static void
handle_closed (struct http_handler *handler, struct http_exchange *ex,
               bool whole)
{
  (void)handler;
  (void)ex;
  (void)whole;
}

static const struct http_handler_impl handler_impl
    = { .request = handle_request, .closed = handle_closed };

struct metrics_task *
metrics_task_create (struct control *control, struct beryl_error *error)
{
  struct metrics_task *task = g_new0 (struct metrics_task, 1);
  struct http_server_settings settings
      = { .address = "127.0.0.1",
          .port = control->settings.metrics_port,
          .max_body_bytes = BODY_BYTES };

  task->base.impl = &handler_impl;
  task->control = control;
  task->server
      = http_server_create (control->http, &settings, &task->base, error);
  if (task->server != NULL)
    return task;
  g_free (task);
  return NULL;
}

void
metrics_task_destroy (struct metrics_task *task)
{
  g_free (task);
}

uint16_t
metrics_task_port (const struct metrics_task *task)
{
  return http_server_port (task->server);
}
