#include "results.h"

#include <glib.h>
#include <string.h>

#include "histogram.h"

#define TYPES 3

struct type_results
{
  uint64_t asked;
  uint64_t ends[CALL_END_COUNT];
  uint64_t in_time;
  struct histogram *took;
  struct histogram *first;
  struct histogram *between;
};

struct second
{
  uint32_t asked;
  uint32_t in_time;
  uint32_t not_run;
  uint32_t failed;
  uint32_t tokens;
};

struct results
{
  const struct scenario *scenario;
  struct type_results types[TYPES];
  GArray *seconds; /* of struct second */
};

const char *
call_end_name (enum call_end end)
{
  static const char *const names[]
      = { "answered", "not_run", "unknown", "cut", "lost", "wrong" };
  return names[end];
}

struct results *
results_create (const struct scenario *scenario)
{
  struct results *r = g_new0 (struct results, 1);
  r->scenario = scenario;
  r->seconds = g_array_new (FALSE, TRUE, sizeof (struct second));
  for (int i = 0; i < TYPES; i++)
    {
      r->types[i].took = histogram_create ();
      r->types[i].first = histogram_create ();
      r->types[i].between = histogram_create ();
    }
  return r;
}

void
results_destroy (struct results *r)
{
  if (r == NULL)
    return;
  for (int i = 0; i < TYPES; i++)
    {
      histogram_destroy (r->types[i].took);
      histogram_destroy (r->types[i].first);
      histogram_destroy (r->types[i].between);
    }
  g_array_free (r->seconds, TRUE);
  g_free (r);
}

static struct second *
second_at (struct results *r, int64_t at_us)
{
  guint at = (guint)(MAX (0, at_us) / G_USEC_PER_SEC);
  if (at >= r->seconds->len)
    g_array_set_size (r->seconds, at + 1);
  return &g_array_index (r->seconds, struct second, at);
}

void
results_asked (struct results *r, const struct arrival *a)
{
  r->types[a->type].asked++;
  second_at (r, a->at_us)->asked++;
}

void
results_add (struct results *r, const struct call_outcome *c)
{
  struct type_results *t = &r->types[c->arrival->type];
  struct second *s = second_at (r, c->ended_us);
  t->ends[c->end]++;
  s->tokens += c->tokens;
  if (c->end == CALL_NOT_RUN)
    s->not_run++;
  else if (c->end != CALL_ANSWERED)
    s->failed++;
  if (c->end != CALL_ANSWERED)
    return;
  t->in_time += c->in_time;
  s->in_time += c->in_time;
  histogram_record (t->took, c->took_us);
  if (c->first_us > 0)
    histogram_record (t->first, c->first_us);
  if (c->between_us > 0)
    histogram_record (t->between, c->between_us);
}

void
results_progress (const struct results *r, int64_t elapsed_ms, FILE *out)
{
  const struct type_results *l = &r->types[ARRIVAL_LONG];
  const struct type_results *u = &r->types[ARRIVAL_URGENT];
  fprintf (out,
           "%5.1f s  long: asked %llu in time %llu not run %llu cut %llu "
           "unknown %llu  urgent: asked %llu in time %llu\n",
           (double)elapsed_ms / 1000, (unsigned long long)l->asked,
           (unsigned long long)l->in_time,
           (unsigned long long)l->ends[CALL_NOT_RUN],
           (unsigned long long)l->ends[CALL_CUT],
           (unsigned long long)l->ends[CALL_UNKNOWN],
           (unsigned long long)u->asked, (unsigned long long)u->in_time);
  fflush (out);
}

static json_t *
percentiles (const struct histogram *h)
{
  return json_pack ("{s:I,s:f,s:f,s:f,s:f,s:f}", "count",
                    (json_int_t)histogram_count (h), "p50",
                    (double)histogram_percentile_us (h, 50) / 1000, "p95",
                    (double)histogram_percentile_us (h, 95) / 1000, "p99",
                    (double)histogram_percentile_us (h, 99) / 1000, "p99_9",
                    (double)histogram_percentile_us (h, 99.9) / 1000, "max",
                    (double)histogram_max_us (h) / 1000);
}

static json_t *
type_json (const struct type_results *t)
{
  json_t *json = json_pack (
      "{s:I,s:I,s:f,s:o,s:o,s:o}", "asked", (json_int_t)t->asked, "in_time",
      (json_int_t)t->in_time, "in_time_percent",
      t->asked ? 100.0 * (double)t->in_time / (double)t->asked : 100.0,
      "took_ms", percentiles (t->took), "first_token_ms",
      percentiles (t->first), "between_tokens_ms", percentiles (t->between));
  for (int i = 0; i < CALL_END_COUNT; i++)
    json_object_set_new (json, call_end_name ((enum call_end)i),
                         json_integer ((json_int_t)t->ends[i]));
  return json;
}

static json_t *
time_line (const struct results *r)
{
  json_t *list = json_array ();
  for (guint i = 0; i < r->seconds->len; i++)
    {
      const struct second *s = &g_array_index (r->seconds, struct second, i);
      json_array_append_new (
          list, json_pack ("{s:i,s:i,s:i,s:i,s:i,s:i}", "s", (int)i, "asked",
                           (int)s->asked, "in_time", (int)s->in_time,
                           "not_run", (int)s->not_run, "failed",
                           (int)s->failed, "tokens", (int)s->tokens));
    }
  return list;
}

json_t *
results_json (const struct results *r)
{
  const struct scenario *s = r->scenario;
  json_t *json
      = json_pack ("{s:s,s:I,s:f,s:i,s:i,s:f}", "scenario", s->name, "seed",
                   (json_int_t)s->seed, "load", s->load, "duration_s",
                   (int)s->duration_s, "entries", (int)s->entries,
                   "capacity_per_s", scenario_capacity_per_s (s));
  double goodput = (double)r->types[ARRIVAL_LONG].in_time / s->duration_s;
  json_object_set_new (json, "goodput_per_s", json_real (goodput));
  for (int i = 0; i < TYPES; i++)
    json_object_set_new (json, arrival_type_name ((enum arrival_type)i),
                         type_json (&r->types[i]));
  json_object_set_new (json, "time_line", time_line (r));
  return json;
}

void
results_csv_head (FILE *out)
{
  fputs ("id,type,at_ms,organisation,entry_port,prompt_tokens,max_tokens,end,"
         "status,in_time,took_ms,first_token_ms,between_tokens_ms,tokens,"
         "retry_after_ms,detail\n",
         out);
}

void
results_csv_line (const struct call_outcome *c, FILE *out)
{
  const struct arrival *a = c->arrival;
  fprintf (out,
           "%llu,%s,%.3f,%u,%u,%u,%u,%s,%u,%d,%.3f,%.3f,%.3f,%u,%lld,\"%s\"\n",
           (unsigned long long)a->id, arrival_type_name (a->type),
           (double)a->at_us / 1000, a->organisation, c->entry_port,
           a->prompt_tokens, a->max_tokens, call_end_name (c->end), c->status,
           c->in_time, (double)c->took_us / 1000, (double)c->first_us / 1000,
           (double)c->between_us / 1000, c->tokens,
           (long long)c->retry_after_ms, c->detail);
}
