#include "arrivals.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/router.h"

#define SECOND_US 1e6

/* Bursts: for this part of each period calls come this many times as often. */
#define BURST_PERIOD_S 20.0
#define BURST_PART 0.2
#define BURST_FACTOR 3.0

/* The trough of a day's curve, of its peak. */
#define DAY_TROUGH 0.1

#define LENGTH_MIN 0.3

/* How often calls come at a moment, of the mean (bursts) or peak (day). */
static double
intensity (const struct scenario *s, double at_s)
{
  if (strcmp (s->arrivals, "bursts") == 0)
    {
      double rest = (1 - BURST_PART * BURST_FACTOR) / (1 - BURST_PART);
      double phase = fmod (at_s, BURST_PERIOD_S) / BURST_PERIOD_S;
      return phase < BURST_PART ? BURST_FACTOR : rest;
    }
  if (strcmp (s->arrivals, "day") == 0)
    {
      double turn = 2 * G_PI * at_s / s->duration_s;
      return DAY_TROUGH + (1 - DAY_TROUGH) * (1 - cos (turn)) / 2;
    }
  return 1;
}

static double
intensity_max (const struct scenario *s)
{
  return strcmp (s->arrivals, "bursts") == 0 ? BURST_FACTOR : 1;
}

static uint32_t
draw_organisation (const struct scenario *s, GRand *rand)
{
  if (g_rand_double (rand) < s->heavy_part)
    return 0;
  return (uint32_t)g_rand_int_range (rand, 0, (gint32)s->organisations);
}

static double
draw_normal (GRand *rand)
{
  double u = 1 - g_rand_double (rand);
  double v = g_rand_double (rand);
  return sqrt (-2 * log (u)) * cos (2 * G_PI * v);
}

static void
draw_long (const struct scenario *s, GRand *rand, struct arrival *a)
{
  double tokens
      = s->document_tokens * exp (s->document_spread * draw_normal (rand));
  double part = LENGTH_MIN + (1 - LENGTH_MIN) * g_rand_double (rand);
  a->preamble_tokens = s->preamble_tokens;
  a->prompt_tokens = s->preamble_tokens
                     + (uint32_t)CLAMP (tokens, 16, s->document_tokens_max);
  a->max_tokens = s->max_tokens;
  a->output_tokens = (uint32_t)fmax (1, part * s->max_tokens);
}

static void
add_process (const struct scenario *s, GRand *rand, GArray *list,
             enum arrival_type type, double per_s)
{
  double peak = per_s * intensity_max (s);
  double at_s = 0;
  while (peak > 0)
    {
      at_s -= log (1 - g_rand_double (rand)) / peak;
      if (at_s >= s->duration_s)
        return;
      if (g_rand_double (rand) * intensity_max (s) > intensity (s, at_s))
        continue;
      struct arrival a = {
        .at_us = (int64_t)(at_s * SECOND_US),
        .type = type,
        .organisation = draw_organisation (s, rand),
        .entry = (uint32_t)g_rand_int_range (rand, 0, (gint32)s->entries),
      };
      if (type == ARRIVAL_LONG)
        draw_long (s, rand, &a);
      g_array_append_val (list, a);
    }
}

static bool
parse_type (const char *name, enum arrival_type *type)
{
  for (int i = ARRIVAL_LONG; i <= ARRIVAL_PATIENT; i++)
    if (strcmp (arrival_type_name ((enum arrival_type)i), name) == 0)
      {
        *type = (enum arrival_type)i;
        return true;
      }
  return false;
}

/* A line is "at_ms,type,organisation,prompt_tokens,max_tokens". */
static bool
parse_line (const struct scenario *s, GRand *rand, const char *line,
            struct arrival *a)
{
  char type[16];
  double at_ms;
  unsigned int organisation, prompt_tokens, max_tokens;
  if (sscanf (line, "%lf,%15[a-z],%u,%u,%u", &at_ms, type, &organisation,
              &prompt_tokens, &max_tokens)
          != 5
      || !parse_type (type, &a->type) || at_ms < 0)
    return false;
  double part = LENGTH_MIN + (1 - LENGTH_MIN) * g_rand_double (rand);
  a->at_us = (int64_t)(at_ms * 1000);
  a->organisation = organisation;
  a->entry = (uint32_t)g_rand_int_range (rand, 0, (gint32)s->entries);
  a->prompt_tokens = prompt_tokens;
  a->preamble_tokens = MIN (s->preamble_tokens, prompt_tokens);
  a->max_tokens = max_tokens;
  a->output_tokens = (uint32_t)fmax (1, part * max_tokens);
  return true;
}

static bool
read_trace (const struct scenario *s, GRand *rand, GArray *list,
            struct beryl_error *error)
{
  char *text = NULL;
  if (!g_file_get_contents (s->trace, &text, NULL, NULL))
    return beryl_error_set (error, BERYL_ERROR_NOT_FOUND,
                            "cannot read trace %s", s->trace);
  char **lines = g_strsplit (text, "\n", -1);
  bool ok = true;
  for (size_t i = 0; ok && lines[i]; i++)
    {
      struct arrival a = { 0 };
      if (lines[i][0] == '\0' || lines[i][0] == '#')
        continue;
      ok = parse_line (s, rand, lines[i], &a);
      if (ok)
        g_array_append_val (list, a);
      else
        beryl_error_set (error, BERYL_ERROR_INVALID, "%s:%zu: bad line",
                         s->trace, i + 1);
    }
  g_strfreev (lines);
  g_free (text);
  return ok;
}

static int
by_time (const void *a, const void *b)
{
  const struct arrival *x = a;
  const struct arrival *y = b;
  return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

struct arrivals *
arrivals_create (const struct scenario *s, struct beryl_error *error)
{
  GRand *rand = g_rand_new_with_seed ((guint32)s->seed);
  GArray *list = g_array_new (FALSE, TRUE, sizeof (struct arrival));
  bool ok = true;
  if (strcmp (s->arrivals, "trace") == 0)
    ok = read_trace (s, rand, list, error);
  else
    {
      double patient_per_s = s->load * s->patient_load * s->service_endpoints
                             * s->service_concurrent * 1000.0
                             / (double)s->patient_ms;
      add_process (s, rand, list, ARRIVAL_LONG,
                   s->load * scenario_capacity_per_s (s));
      add_process (s, rand, list, ARRIVAL_URGENT, s->urgent_per_s);
      add_process (s, rand, list, ARRIVAL_PATIENT, patient_per_s);
    }
  g_rand_free (rand);
  if (!ok)
    {
      g_array_free (list, TRUE);
      return NULL;
    }
  struct arrivals *a = g_new0 (struct arrivals, 1);
  a->count = list->len;
  a->items = (struct arrival *)(void *)g_array_free (list, FALSE);
  if (a->count > 0)
    qsort (a->items, a->count, sizeof *a->items, by_time);
  for (size_t i = 0; i < a->count; i++)
    a->items[i].id = i + 1;
  return a;
}

void
arrivals_destroy (struct arrivals *a)
{
  if (a == NULL)
    return;
  g_free (a->items);
  g_free (a);
}

/* Fill N tokens of four bytes with words that depend on SEED. */
static void
fill_words (char *text, uint32_t tokens, uint64_t seed)
{
  uint64_t x = seed * UINT64_C (0x9e3779b97f4a7c15) + 1;
  for (uint32_t i = 0; i < tokens; i++)
    {
      x ^= x << 13;
      x ^= x >> 7;
      x ^= x << 17;
      for (int k = 0; k < BERYL_BYTES_PER_TOKEN - 1; k++)
        *text++ = (char)('a' + (x >> (8 * k)) % 26);
      *text++ = ' ';
    }
}

char *
arrival_prompt (const struct arrival *a)
{
  size_t bytes = (size_t)a->prompt_tokens * BERYL_BYTES_PER_TOKEN;
  char *text = malloc (bytes + 1);
  if (!text)
    return NULL;
  size_t preamble = (size_t)a->preamble_tokens * BERYL_BYTES_PER_TOKEN;
  fill_words (text, a->preamble_tokens, a->organisation);
  fill_words (text + preamble, a->prompt_tokens - a->preamble_tokens,
              (a->id << 20) + 77);
  text[bytes] = '\0';
  return text;
}

size_t
arrival_blocks (const struct arrival *a, uint32_t block_tokens,
                uint64_t *blocks, size_t max)
{
  size_t count = MIN (a->prompt_tokens / block_tokens, max);
  for (size_t i = 0; i < count; i++)
    {
      bool shared = (i + 1) * block_tokens <= a->preamble_tokens;
      uint64_t x = shared ? a->organisation + 1 : a->id << 20;
      x = (x * 8192 + i) * UINT64_C (0xbf58476d1ce4e5b9);
      blocks[i] = x ^ (x >> 29);
    }
  return count;
}

const char *
arrival_type_name (enum arrival_type type)
{
  static const char *const names[] = { "long", "urgent", "patient" };
  return names[type];
}
