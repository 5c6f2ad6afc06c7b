#include "metrics.h"

#include <glib.h>
#include <string.h>

#include "common/loop.h"

#define LABEL_BYTES 192

/* Number of organisations with counters of their own; the others share those
 * of OTHER_ORGANISATIONS. */
#define ORGANISATIONS_MAX 100
#define OTHER_ORGANISATIONS "other"

/* Number of endpoints with gauges of their own, in the order in which they
 * were first seen. */
#define ENDPOINTS_MAX 200

struct metrics
{
  struct counters *counters;
  GHashTable *organisations; /* names with counters of their own */
  /* Gauges of the present endpoints, made anew for each text: endpoints come
   * and go under new ids. */
  struct counters *endpoint_gauges;
  uint32_t endpoint_count;
};

/* Upper bounds of the histogram buckets.  They include the latency objectives
 * of plain services (whole response) and of engines (first event). */
static const int64_t bucket_ends_ms[]
    = { 5, 10, 20, 50, 100, 200, 300, 500, 900, 1500, 3000, 6000, 14000 };

struct metrics *
metrics_create (struct counters *counters)
{
  struct metrics *metrics = g_new0 (struct metrics, 1);

  metrics->counters = counters;
  metrics->organisations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  metrics->endpoint_gauges = counters_create ();
  return metrics;
}

void
metrics_destroy (struct metrics *metrics)
{
  if (metrics == NULL)
    return;
  g_hash_table_destroy (metrics->organisations);
  counters_destroy (metrics->endpoint_gauges);
  g_free (metrics);
}

/* Returns the label of an organisation. */
static const char *
organisation_label (struct metrics *metrics, const char *name)
{
  if (g_hash_table_contains (metrics->organisations, name))
    return name;
  if (g_hash_table_size (metrics->organisations) >= ORGANISATIONS_MAX)
    return OTHER_ORGANISATIONS;
  g_hash_table_add (metrics->organisations, g_strdup (name));
  return name;
}

/* Adds VALUE_MS to a histogram, whose buckets are cumulative in the text
 * format. */
static void
observe (struct metrics *metrics, const char *name, const char *service,
         int64_t value_ms)
{
  char labels[LABEL_BYTES];
  char full[96];

  g_snprintf (full, sizeof full, "%s_bucket", name);
  for (size_t i = 0; i < G_N_ELEMENTS (bucket_ends_ms); i++)
    {
      if (value_ms > bucket_ends_ms[i])
        continue;
      g_snprintf (labels, sizeof labels,
                  "service=\"%s\",le=\"%" G_GINT64_FORMAT "\"", service,
                  bucket_ends_ms[i]);
      counters_add (metrics->counters, full, labels, 1);
    }
  g_snprintf (labels, sizeof labels, "service=\"%s\",le=\"+Inf\"", service);
  counters_add (metrics->counters, full, labels, 1);
  g_snprintf (labels, sizeof labels, "service=\"%s\"", service);
  g_snprintf (full, sizeof full, "%s_sum", name);
  counters_add (metrics->counters, full, labels, (uint64_t)value_ms);
  g_snprintf (full, sizeof full, "%s_count", name);
  counters_add (metrics->counters, full, labels, 1);
}

static void
count_final_decision (struct metrics *metrics,
                      const struct beryl_request_step *d)
{
  char labels[LABEL_BYTES];

  g_snprintf (labels, sizeof labels, "service=\"%s\",end=\"%s\",cause=\"%s\"",
              d->service, d->step, d->outcome);
  counters_add (metrics->counters, "beryl_gateway_requests_total", labels, 1);
  if (d->organisation[0] != '\0')
    {
      g_snprintf (
          labels, sizeof labels, "organisation=\"%s\",end=\"%s\",cause=\"%s\"",
          organisation_label (metrics, d->organisation), d->step, d->outcome);
      counters_add (metrics->counters,
                    "beryl_gateway_organisation_requests_total", labels, 1);
    }
  if (strcmp (d->step, "answer") != 0)
    return;
  observe (metrics, "beryl_gateway_first_ms", d->service,
           d->first_event_ms > 0 ? d->first_event_ms : d->age_ms);
  observe (metrics, "beryl_gateway_answer_ms", d->service, d->age_ms);
}

void
metrics_count_decision (struct metrics *metrics,
                        const struct beryl_request_step *d)
{
  char labels[LABEL_BYTES];

  g_snprintf (labels, sizeof labels, "step=\"%s\",outcome=\"%s\"", d->step,
              d->outcome);
  counters_add (metrics->counters, "beryl_gateway_steps_total", labels, 1);
  if (d->final)
    count_final_decision (metrics, d);
}

void
metrics_count_endless (struct counters *counters, const char *kind,
                       const char *endpoint)
{
  char labels[LABEL_BYTES];

  g_snprintf (labels, sizeof labels, "kind=\"%s\"", kind);
  counters_add (counters, "beryl_gateway_endless_answers_total", labels, 1);
  g_info ("endless answer kind=%s endpoint=%s", kind, endpoint);
}

void
metrics_count_quarantine (struct metrics *metrics, const char *cause)
{
  char labels[LABEL_BYTES];

  g_snprintf (labels, sizeof labels, "cause=\"%s\"", cause);
  counters_add (metrics->counters, "beryl_gateway_quarantine_total", labels,
                1);
}

void
metrics_set_quota (struct metrics *metrics, const char *organisation,
                   const struct beryl_quota_state *state)
{
  const char *label = organisation_label (metrics, organisation);
  char labels[LABEL_BYTES];

  if (!state->limited || strcmp (label, organisation) != 0)
    return;
  g_snprintf (labels, sizeof labels, "organisation=\"%s\"", label);
  counters_set (metrics->counters, "beryl_gateway_quota_per_s", labels,
                (uint64_t)state->per_s);
  counters_set (metrics->counters, "beryl_gateway_quota_available", labels,
                (uint64_t)MAX (state->available, 0));
  counters_set (metrics->counters, "beryl_gateway_quota_used_per_s", labels,
                (uint64_t)state->used_per_s);
  counters_set (metrics->counters, "beryl_gateway_quota_refused_per_s", labels,
                (uint64_t)state->refused_per_s);
}

void
metrics_set_admission (struct metrics *metrics, const char *service,
                       const struct beryl_admission_state *state)
{
  char labels[LABEL_BYTES];

  g_snprintf (labels, sizeof labels, "service=\"%s\"", service);
  counters_set (metrics->counters, "beryl_gateway_room_per_s", labels,
                (uint64_t)state->room_per_s);
  counters_set (metrics->counters, "beryl_gateway_asked_per_s", labels,
                (uint64_t)state->asked_per_s);
  counters_set (metrics->counters, "beryl_gateway_sent_per_s", labels,
                (uint64_t)state->sent_per_s);
}

void
metrics_set_quota_rank (struct metrics *metrics, const char *organisation,
                        const struct beryl_quota_rank_state *state)
{
  const char *label = organisation_label (metrics, organisation);
  char labels[LABEL_BYTES];

  if (strcmp (label, organisation) != 0)
    return;
  g_snprintf (labels, sizeof labels, "organisation=\"%s\",rank=\"%u\"", label,
              state->rank);
  counters_set (metrics->counters, "beryl_gateway_quota_rank_asked_per_s",
                labels, (uint64_t)state->asked_per_s);
  counters_set (metrics->counters, "beryl_gateway_quota_rank_admitted_total",
                labels, state->admitted_total);
  counters_set (metrics->counters, "beryl_gateway_quota_rank_refused_total",
                labels, state->refused_total);
}

void
metrics_set_capacity (struct metrics *metrics,
                      const struct beryl_live_endpoint *endpoint,
                      const struct beryl_capacity_belief *belief)
{
  struct counters *set = metrics->endpoint_gauges;
  char labels[LABEL_BYTES];

  if (metrics->endpoint_count >= ENDPOINTS_MAX)
    return;
  metrics->endpoint_count++;
  g_snprintf (labels, sizeof labels, "service=\"%s\",endpoint=\"%s\"",
              endpoint->info.service, endpoint->info.id);
  counters_set (set, "beryl_gateway_endpoint_speed_permille", labels,
                (uint64_t)(1000 * belief->speed));
  counters_set (set, "beryl_gateway_endpoint_us_per_unit", labels,
                (uint64_t)(1000 * belief->ms_per_unit));
  counters_set (set, "beryl_gateway_endpoint_limit_per_s", labels,
                (uint64_t)belief->limit_per_s);
  counters_set (set, "beryl_gateway_endpoint_load_per_s", labels,
                (uint64_t)belief->load_per_s);
  counters_set (set, "beryl_gateway_endpoint_certainty_permille", labels,
                (uint64_t)(1000 * belief->certainty));
  counters_set (set, "beryl_gateway_endpoint_nodes", labels, belief->nodes);
  counters_set (set, "beryl_gateway_endpoint_age_ms", labels,
                (uint64_t)MAX (belief->age_ms, 0));
}

/* Returns the gauges of endpoints that were set since the last call. */
static char *
take_endpoint_gauges (struct metrics *metrics)
{
  char *text = counters_format (metrics->endpoint_gauges);

  counters_destroy (metrics->endpoint_gauges);
  metrics->endpoint_gauges = counters_create ();
  metrics->endpoint_count = 0;
  return text;
}

static void
set_gauge (struct metrics *metrics, const char *name, uint64_t value)
{
  counters_set (metrics->counters, name, "", value);
}

/* A time that is not known counts as 0. */
static void
set_configuration (struct metrics *metrics,
                   const struct configuration_state *c)
{
  set_gauge (metrics, "beryl_gateway_configuration_version", c->version);
  set_gauge (metrics, "beryl_gateway_configuration_revision", c->revision);
  set_gauge (metrics, "beryl_gateway_configuration_age_ms",
             (uint64_t)MAX (c->age_ms, 0));
  set_gauge (metrics, "beryl_gateway_configuration_confirmed_ms",
             (uint64_t)MAX (c->confirmed_ms, 0));
  set_gauge (metrics, "beryl_gateway_configuration_behind_ms",
             (uint64_t)c->behind_ms);
  set_gauge (metrics, "beryl_gateway_configuration_heard_revision",
             c->heard_revision);
  set_gauge (metrics, "beryl_gateway_configuration_rejected_revision",
             c->rejected_revision);
}

char *
metrics_format (struct metrics *metrics, const struct metrics_gauges *g)
{
  struct log_counts lines = log_counts ();
  g_autofree char *endpoints = take_endpoint_gauges (metrics);
  g_autofree char *others = NULL;

  set_gauge (metrics, "beryl_gateway_open", g->open_requests);
  set_gauge (metrics, "beryl_gateway_waiting", g->waiting_requests);
  set_gauge (metrics, "beryl_gateway_connections", g->connections);
  set_gauge (metrics, "beryl_gateway_malformed_total", g->malformed_requests);
  set_gauge (metrics, "beryl_gateway_kept_unread_total", g->kept_unread);
  set_gauge (metrics, "beryl_gateway_turned_away_total", g->turned_away);
  set_gauge (metrics, "beryl_gateway_nodes", g->nodes);
  set_gauge (metrics, "beryl_gateway_endpoints", g->endpoints);
  set_configuration (metrics, g->configuration);
  set_gauge (metrics, "beryl_gateway_endpoint_list_age_ms",
             (uint64_t)g->list_age_ms);
  set_gauge (metrics, "beryl_gateway_ready", g->ready);
  set_gauge (metrics, "beryl_gateway_reaches_endpoints", g->reaches_endpoints);
  set_gauge (metrics, "beryl_gateway_planner", g->holds_planner_lease);
  set_gauge (metrics, "beryl_gateway_endpoint_watcher",
             g->is_endpoint_watcher);
  set_gauge (metrics, "beryl_gateway_limited_endpoints", g->limited_endpoints);
  set_gauge (metrics, "beryl_gateway_quarantined", g->quarantined_requests);
  set_gauge (metrics, "beryl_gateway_suspects", g->suspect_requests);
  set_gauge (metrics, "beryl_gateway_quota_share_permille",
             g->quota_share_permille);
  set_gauge (metrics, "beryl_gateway_quota_report_age_ms",
             (uint64_t)g->quota_report_age_ms);
  counters_set (metrics->counters, "beryl_log_lines_total", "end=\"written\"",
                lines.written);
  counters_set (metrics->counters, "beryl_log_lines_total",
                "end=\"suppressed\"", lines.suppressed);
  counters_set (metrics->counters, "beryl_log_lines_total", "end=\"lost\"",
                lines.lost);
  others = counters_format (metrics->counters);
  return g_strconcat (others, endpoints, NULL);
}
