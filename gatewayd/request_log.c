#include "request_log.h"

#include <glib.h>
#include <string.h>

#include "beryl/revision.h"
#include "common/loop.h"

/* FINGERPRINT is 0 if the quarantine has not needed it, for example because no
 * RUN exchange of the request was interrupted. */
static const char *
format_fingerprint (uint64_t fingerprint, char *text, size_t text_bytes)
{
  if (fingerprint == 0)
    return "-";
  g_snprintf (text, text_bytes, "%016" G_GINT64_MODIFIER "x", fingerprint);
  return text;
}

/* Formats what a refusal for a quota was decided by; "" for all other
 * steps. */
static const char *
format_quota (const struct beryl_quota_state *a, char *text, size_t text_bytes)
{
  text[0] = '\0';
  if (a != NULL)
    g_snprintf (text, text_bytes,
                " limit_per_s=%.0f available=%.0f used_per_s=%.0f"
                " refused_per_s=%.0f share=%.3f"
                " report_age_ms=%" G_GINT64_FORMAT
                " rank=%u set_aside=%.0f granted_per_s=%.0f",
                a->per_s, a->available, a->used_per_s, a->refused_per_s,
                a->share, a->report_age_ms, a->rank, a->set_aside,
                a->granted_per_s);
  return text;
}

/* The same for a refusal for want of room at a plain service. */
static const char *
format_admission (const struct beryl_admission_verdict *a, char *text,
                  size_t text_bytes)
{
  text[0] = '\0';
  if (a != NULL)
    g_snprintf (text, text_bytes,
                " room_per_s=%.0f asked_per_s=%.0f granted_per_s=%.1f",
                a->room_per_s, a->asked_per_s, a->granted_per_s);
  return text;
}

/* Formats what is wrong with a piece of a stream; "" for all other steps. */
static const char *
format_event (const struct beryl_event_finding *e, char *text,
              size_t text_bytes)
{
  char id[24] = "-";

  text[0] = '\0';
  if (e == NULL)
    return text;
  if (e->has_id)
    g_snprintf (id, sizeof id, "%" G_GUINT64_FORMAT, e->id);
  g_snprintf (text, text_bytes, " event_id=%s after_id=%" G_GUINT64_FORMAT, id,
              e->after_id);
  return text;
}

/* Formats the configuration by which a request was refused; "" for all other
 * steps. */
static const char *
format_configuration (const struct beryl_request_step *d,
                      const struct configuration_state *c, char *text,
                      size_t text_bytes)
{
  char used[BERYL_REVISION_TEXT_BYTES], heard[BERYL_REVISION_TEXT_BYTES];
  char rejected[BERYL_REVISION_TEXT_BYTES];

  text[0] = '\0';
  if (strcmp (d->step, "refuse") == 0)
    g_snprintf (text, text_bytes,
                " configuration_revision=%s"
                " configuration_from=%s"
                " configuration_age_ms=%" G_GINT64_FORMAT
                " configuration_confirmed_ms=%" G_GINT64_FORMAT
                " configuration_heard=%s"
                " configuration_rejected=%s",
                beryl_revision_text (c->revision, used), c->origin, c->age_ms,
                c->confirmed_ms,
                beryl_revision_text (c->heard_revision, heard),
                beryl_revision_text (c->rejected_revision, rejected));
  return text;
}

void
request_log_step (const struct beryl_request_step *d,
                  const struct configuration_state *configuration)
{
  char fingerprint[20];
  char seen[BERYL_REVISION_TEXT_BYTES];
  char quota[240];
  char admission[96];
  char event[64];
  char state[384];

  if (!log_level_enabled (G_LOG_LEVEL_INFO))
    return;
  g_info ("request id=%s route=%s step=%s outcome=%s endpoint=%s age_ms="
          "%" G_GINT64_FORMAT " n=%" G_GINT64_FORMAT
          " first_ms=%" G_GINT64_FORMAT " gap_ms=%" G_GINT64_FORMAT
          " configuration=%" G_GUINT64_FORMAT " seen=%s"
          " fingerprint=%s organisation=%s sends=%u repeats=%u%s%s%s%s%s%s",
          d->id, d->route, d->step, d->outcome,
          d->endpoint != NULL ? d->endpoint->info.id : "-", d->age_ms,
          d->value, d->first_event_ms, d->longest_gap_ms, d->config_version,
          beryl_revision_text (d->endpoint_revision, seen),
          format_fingerprint (d->fingerprint, fingerprint, sizeof fingerprint),
          d->organisation[0] != '\0' ? d->organisation : "-", d->sends,
          d->repeats, d->resumed_id[0] != '\0' ? " resumes=" : "",
          d->resumed_id, format_quota (d->quota, quota, sizeof quota),
          format_admission (d->admission, admission, sizeof admission),
          format_event (d->event, event, sizeof event),
          format_configuration (d, configuration, state, sizeof state));
}

void
request_log_endpoint (const struct beryl_live_endpoint *endpoint,
                      const char *state, const char *source)
{
  char revision[BERYL_REVISION_TEXT_BYTES];

  g_info ("endpoint id=%s revision=%s %s from=%s", endpoint->info.id,
          beryl_revision_text (endpoint->info.revision, revision), state,
          source);
}
