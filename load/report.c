#include "report.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define WIDTH 640
#define HEIGHT 220
#define MARGIN 46

static double
number (json_t *json, const char *key)
{
  return json_number_value (json_object_get (json, key));
}

static void
text (FILE *out, const char *value)
{
  char *safe = g_markup_escape_text (value ? value : "", -1);
  fputs (safe, out);
  g_free (safe);
}

/** A drawing area and the values at its far ends. */
struct axes
{
  double x_max;
  double y_max;
};

static double
at_x (const struct axes *a, double x)
{
  return MARGIN + (a->x_max > 0 ? x / a->x_max : 0) * (WIDTH - 2 * MARGIN);
}

static double
at_y (const struct axes *a, double y)
{
  return HEIGHT - MARGIN
         - (a->y_max > 0 ? y / a->y_max : 0) * (HEIGHT - 2 * MARGIN);
}

static void
begin_chart (const struct axes *a, const char *title, const char *x_label,
             FILE *out)
{
  fprintf (out, "<h3>%s</h3>\n<svg viewBox=\"0 0 %d %d\" width=\"%d\">\n",
           title, WIDTH, HEIGHT, WIDTH);
  fprintf (out,
           "<path class=axis d=\"M%d %d V%d H%d\"/>"
           "<text x=\"%d\" y=\"%d\">%s</text>\n",
           MARGIN, MARGIN, HEIGHT - MARGIN, WIDTH - MARGIN, WIDTH / 2,
           HEIGHT - 8, x_label);
  for (int i = 0; i <= 4; i++)
    {
      double x = a->x_max * i / 4;
      double y = a->y_max * i / 4;
      fprintf (out,
               "<text class=tick x=\"%.0f\" y=\"%d\">%.4g</text>"
               "<text class=tick x=\"4\" y=\"%.0f\">%.4g</text>\n",
               at_x (a, x) - 8, HEIGHT - MARGIN + 16, x, at_y (a, y) + 4, y);
    }
}

static void
end_chart (FILE *out)
{
  fputs ("</svg>\n", out);
}

static void
point (const struct axes *a, double x, double y, bool first, FILE *out)
{
  fprintf (out, "%s%.1f %.1f", first ? "M" : " L", at_x (a, x), at_y (a, y));
}

static double
waste_percent (json_t *run)
{
  json_t *engines = json_object_get (run, "engines");
  double all = number (engines, "prefill_tokens");
  return all > 0 ? 100 * number (engines, "wasted_prefill_tokens") / all : 0;
}

static double
goodput (json_t *run)
{
  return number (run, "goodput_per_s");
}

typedef double value_fn (json_t *run);

/* One curve over the loads of all runs, in the order of the load. */
static void
curve (json_t *runs, const char *title, value_fn *value, FILE *out)
{
  struct axes a = { 0.1, 0.1 };
  size_t i;
  json_t *run;
  json_array_foreach (runs, i, run)
  {
    a.x_max = fmax (a.x_max, number (run, "load"));
    a.y_max = fmax (a.y_max, value (run) * 1.1);
  }
  begin_chart (&a, title, "load, of decode capacity", out);
  fputs ("<path class=line d=\"", out);
  json_array_foreach (runs, i, run)
      point (&a, number (run, "load"), value (run), i == 0, out);
  fputs ("\"/>\n", out);
  json_array_foreach (runs, i, run)
      fprintf (out, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\"/>\n",
               at_x (&a, number (run, "load")), at_y (&a, value (run)));
  end_chart (out);
}

static int
by_load (const void *x, const void *y)
{
  double a = number (*(json_t *const *)x, "load");
  double b = number (*(json_t *const *)y, "load");
  return (a > b) - (a < b);
}

static json_t *
sorted (json_t *runs)
{
  GPtrArray *list = g_ptr_array_new ();
  json_t *result = json_array ();
  for (size_t i = 0; i < json_array_size (runs); i++)
    g_ptr_array_add (list, json_array_get (runs, i));
  g_ptr_array_sort (list, by_load);
  for (guint i = 0; i < list->len; i++)
    json_array_append (result, list->pdata[i]);
  g_ptr_array_free (list, TRUE);
  return result;
}

static void
settings_table (json_t *run, FILE *out)
{
  const char *key;
  json_t *value;
  fputs ("<h3>Settings</h3><table>\n", out);
  json_object_foreach (run, key, value)
  {
    if (json_is_object (value) || json_is_array (value))
      continue;
    char *shown = json_dumps (value, JSON_ENCODE_ANY);
    fputs ("<tr><td>", out);
    text (out, key);
    fputs ("</td><td>", out);
    text (out, shown);
    fputs ("</td></tr>\n", out);
    free (shown);
  }
  fputs ("</table>\n", out);
}

static void
ends_table (json_t *run, FILE *out)
{
  static const char *const types[] = { "long", "urgent", "patient" };
  static const char *const keys[]
      = { "asked",   "in_time", "answered", "not_run",
          "unknown", "cut",     "lost",     "wrong" };
  fputs ("<h3>What became of the calls</h3><table><tr><th></th>", out);
  for (size_t k = 0; k < G_N_ELEMENTS (keys); k++)
    fprintf (out, "<th>%s</th>", keys[k]);
  fputs ("</tr>\n", out);
  for (size_t t = 0; t < G_N_ELEMENTS (types); t++)
    {
      json_t *type = json_object_get (run, types[t]);
      fprintf (out, "<tr><td>%s</td>", types[t]);
      for (size_t k = 0; k < G_N_ELEMENTS (keys); k++)
        fprintf (out, "<td>%.0f</td>", number (type, keys[k]));
      fputs ("</tr>\n", out);
    }
  fputs ("</table>\n", out);
}

static void
latency_row (json_t *run, const char *type, const char *what, FILE *out)
{
  static const char *const keys[] = { "p50", "p95", "p99", "p99_9", "max" };
  json_t *h = json_object_get (json_object_get (run, type), what);
  fprintf (out, "<tr><td>%s %s</td>", type, what);
  for (size_t k = 0; k < G_N_ELEMENTS (keys); k++)
    fprintf (out, "<td>%.1f</td>", number (h, keys[k]));
  fputs ("</tr>\n", out);
}

static void
latency_table (json_t *run, FILE *out)
{
  fputs ("<h3>Latency from the intended start, ms</h3><table><tr><th></th>"
         "<th>p50</th><th>p95</th><th>p99</th><th>p99.9</th><th>max</th>"
         "</tr>\n",
         out);
  latency_row (run, "long", "first_token_ms", out);
  latency_row (run, "long", "between_tokens_ms", out);
  latency_row (run, "long", "took_ms", out);
  latency_row (run, "urgent", "took_ms", out);
  latency_row (run, "patient", "took_ms", out);
  fputs ("</table>\n", out);
}

static void
line_of (const struct axes *a, json_t *seconds, const char *key,
         const char *class, FILE *out)
{
  size_t i;
  json_t *second;
  fprintf (out, "<path class=%s d=\"", class);
  json_array_foreach (seconds, i, second)
      point (a, (double)i, number (second, key), i == 0, out);
  fputs ("\"/>\n", out);
}

static void
time_line (json_t *run, FILE *out)
{
  json_t *seconds = json_object_get (run, "time_line");
  json_t *faults = json_object_get (run, "faults");
  struct axes a = { 1, 1 };
  size_t i;
  json_t *item;
  json_array_foreach (seconds, i, item)
  {
    a.x_max = fmax (a.x_max, (double)i);
    a.y_max = fmax (a.y_max,
                    fmax (number (item, "asked"), number (item, "in_time")));
  }
  begin_chart (&a, "Time line: asked (grey), in time (green), not run (red)",
               "seconds", out);
  line_of (&a, seconds, "asked", "asked", out);
  line_of (&a, seconds, "in_time", "line", out);
  line_of (&a, seconds, "not_run", "bad", out);
  json_array_foreach (faults, i, item)
  {
    double x = at_x (&a, number (item, "s"));
    fprintf (out,
             "<path class=bad d=\"M%.1f %d V%d\"/><text x=\"%.1f\" "
             "y=\"%d\">",
             x, MARGIN, HEIGHT - MARGIN, x + 3, MARGIN - 6);
    text (out, json_string_value (json_object_get (item, "text")));
    fputs ("</text>\n", out);
  }
  end_chart (out);
}

static void
invariant (const char *what, double broken, bool known, FILE *out)
{
  fprintf (out, "<tr><td>%s</td>", what);
  if (!known)
    fputs ("<td>not measured</td></tr>\n", out);
  else
    fprintf (out, "<td class=%s>%s (%.0f)</td></tr>\n",
             broken > 0 ? "broken" : "held", broken > 0 ? "broken" : "held",
             broken);
}

static void
invariants (json_t *run, FILE *out)
{
  json_t *engines = json_object_get (run, "engines");
  double wrong = 0;
  double lost = 0;
  static const char *const types[] = { "long", "urgent", "patient" };
  for (size_t t = 0; t < G_N_ELEMENTS (types); t++)
    {
      wrong += number (json_object_get (run, types[t]), "wrong");
      lost += number (json_object_get (run, types[t]), "lost");
    }
  fputs ("<h3>Invariants</h3><table>\n", out);
  invariant ("every caller had some answer", lost, true, out);
  invariant ("every whole answer was to its own request", wrong, true, out);
  invariant ("no request was decoded to its end twice",
             number (engines, "doubled"), engines != NULL, out);
  invariant ("no engine memory is held after the run",
             number (engines, "held"), engines != NULL, out);
  fputs ("</table>\n", out);
}

static void
one_run (json_t *run, FILE *out)
{
  fputs ("<h2>", out);
  text (out, json_string_value (json_object_get (run, "scenario")));
  fprintf (out, ", load %.2f</h2>\n", number (run, "load"));
  invariants (run, out);
  ends_table (run, out);
  latency_table (run, out);
  time_line (run, out);
  settings_table (run, out);
}

static const char head[]
    = "<!doctype html><meta charset=utf-8><title>beryl-load</title><style>"
      "body{font:14px sans-serif;max-width:60em;margin:2em auto}"
      "table{border-collapse:collapse}td,th{padding:2px 10px;text-align:right;"
      "border-bottom:1px solid #ddd}td:first-child{text-align:left}"
      "svg text{font-size:11px}svg .tick{fill:#666}"
      "path{fill:none;stroke-width:1.5}.axis{stroke:#888}.line{stroke:#283}"
      ".asked{stroke:#aaa}.bad{stroke:#c33}.held{color:#283}"
      ".broken{color:#c33;font-weight:bold}</style>\n"
      "<h1>beryl-load</h1>\n";

void
report_write (json_t *runs, FILE *out)
{
  json_t *list = sorted (runs);
  size_t i;
  json_t *run;
  fputs (head, out);
  curve (list, "Goodput: long jobs in time, per second", goodput, out);
  curve (list, "Wasted prefill, percent", waste_percent, out);
  json_array_foreach (list, i, run) one_run (run, out);
  json_decref (list);
}

bool
report_files (char *const *files, size_t file_count, FILE *out)
{
  json_t *runs = json_array ();
  for (size_t i = 0; i < file_count; i++)
    {
      json_error_t error;
      json_t *run = json_load_file (files[i], 0, &error);
      if (!run)
        {
          fprintf (stderr, "beryl-load: %s:%d: %s\n", files[i], error.line,
                   error.text);
          json_decref (runs);
          return false;
        }
      json_array_append_new (runs, run);
    }
  report_write (runs, out);
  json_decref (runs);
  return true;
}
