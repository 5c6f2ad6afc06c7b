#include <stdio.h>
#include <stdlib.h>

#include "demo.h"

static int
compare (gconstpointer a, gconstpointer b)
{
  return *(const int32_t *)a - *(const int32_t *)b;
}

static int
percentile (GArray *samples, double p)
{
  if (samples->len == 0)
    return 0;
  g_array_sort (samples, compare);
  return g_array_index (samples, int32_t,
                        (guint)((double)(samples->len - 1) * p));
}

static void
print_tally (const char *name, const struct tally *t)
{
  printf ("%-22s %7u %9u %8u %8u %6u %8u\n", name, t->asked, t->answered,
          t->not_run, t->unknown, t->lost, t->in_time);
}

static void
add (struct tally *sum, const struct tally *t)
{
  sum->asked += t->asked;
  sum->answered += t->answered;
  sum->not_run += t->not_run;
  sum->unknown += t->unknown;
  sum->lost += t->lost;
  sum->in_time += t->in_time;
}

static void
print_latencies (struct demo *demo)
{
  printf ("first token        p50 %5d ms   p95 %5d ms   p99 %5d ms\n",
          percentile (demo->first_token_ms, 0.5),
          percentile (demo->first_token_ms, 0.95),
          percentile (demo->first_token_ms, 0.99));
  printf ("between tokens     p50 %5d ms   p95 %5d ms   p99 %5d ms\n",
          percentile (demo->between_tokens_ms, 0.5),
          percentile (demo->between_tokens_ms, 0.95),
          percentile (demo->between_tokens_ms, 0.99));
  printf ("urgent calls       p50 %5d ms   p95 %5d ms   p99 %5d ms\n",
          percentile (demo->urgent_ms, 0.5),
          percentile (demo->urgent_ms, 0.95),
          percentile (demo->urgent_ms, 0.99));
}

static void
print_json (struct demo *demo, const struct tally *sum, bool kept)
{
  json_t *cuts = json_object ();
  json_t *root;
  char port[16];

  for (size_t i = 0; i < demo->target_count; i++)
    {
      g_snprintf (port, sizeof port, "%u", demo->targets[i].place.port);
      json_object_set_new (cuts, port, json_integer (demo->targets[i].cut));
    }
  root = json_pack (
      "{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:I, s:I, s:I, s:o, s:b}", "asked",
      (int)sum->asked, "answered", (int)sum->answered, "not_run",
      (int)sum->not_run, "unknown", (int)sum->unknown, "lost", (int)sum->lost,
      "doubled", (int)demo->doubled, "false_not_run", (int)demo->false_not_run,
      "wasted_prefill_tokens", (json_int_t)demo->wasted_tokens,
      "prefill_tokens", (json_int_t)demo->prefill_tokens, "held",
      (json_int_t)demo->held, "cut_by_port", cuts, "promises_kept", (int)kept);
  json_dumpf (root, stdout, JSON_COMPACT);
  putchar ('\n');
  json_decref (root);
}

bool
report_print (struct demo *demo)
{
  struct tally sum = { 0 };
  bool kept;

  for (int k = 0; k < CALL_KINDS; k++)
    add (&sum, &demo->tally[k]);
  kept = sum.lost == 0 && demo->doubled == 0 && demo->false_not_run == 0
         && demo->held == 0 && sum.answered > 0;
  printf ("\n%-22s %7s %9s %8s %8s %6s %8s\n", "", "asked", "answered",
          "not run", "unknown", "lost", "in time");
  print_tally ("documents (streamed)", &demo->tally[CALL_DOCUMENT]);
  print_tally ("status (idempotent)", &demo->tally[CALL_STATUS]);
  print_tally ("letters (run once)", &demo->tally[CALL_LETTER]);
  print_tally ("all", &sum);
  printf ("\n");
  print_latencies (demo);
  printf (
      "doubled %u, \"not run\" that ran %u, engine memory still held %llu, "
      "wasted prefill %llu of %llu tokens\n",
      demo->doubled, demo->false_not_run, (unsigned long long)demo->held,
      (unsigned long long)demo->wasted_tokens,
      (unsigned long long)demo->prefill_tokens);
  print_json (demo, &sum, kept);
  return kept;
}
