#include "beryl/findings.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct beryl_findings
{
  struct beryl_finding *items;
  size_t count;
  size_t capacity;
};

struct beryl_findings *
beryl_findings_create (void)
{
  return calloc (1, sizeof (struct beryl_findings));
}

void
beryl_findings_destroy (struct beryl_findings *findings)
{
  if (findings == NULL)
    return;
  for (size_t i = 0; i < findings->count; i++)
    {
      free (findings->items[i].file);
      free (findings->items[i].message);
    }
  free (findings->items);
  free (findings);
}

static struct beryl_finding *
findings_append (struct beryl_findings *findings)
{
  if (findings->count == findings->capacity)
    {
      size_t capacity = findings->capacity != 0 ? findings->capacity * 2 : 8;
      struct beryl_finding *items
          = realloc (findings->items, capacity * sizeof *items);

      if (items == NULL)
        return NULL;
      findings->items = items;
      findings->capacity = capacity;
    }
  return &findings->items[findings->count++];
}

void
beryl_findings_add (struct beryl_findings *findings, const char *file,
                    uint32_t line, uint32_t column, const char *format, ...)
{
  struct beryl_finding *finding = findings_append (findings);
  char message[512];
  va_list ap;

  if (finding == NULL)
    return;
  va_start (ap, format);
  vsnprintf (message, sizeof message, format, ap);
  va_end (ap);
  finding->file = file != NULL ? strdup (file) : NULL;
  finding->line = line;
  finding->column = column;
  finding->message = strdup (message);
}

size_t
beryl_findings_count (const struct beryl_findings *findings)
{
  return findings->count;
}

const struct beryl_finding *
beryl_findings_get (const struct beryl_findings *findings, size_t i)
{
  return &findings->items[i];
}

char *
beryl_findings_format (const struct beryl_findings *findings)
{
  char *text = NULL;
  size_t text_bytes = 0;
  FILE *out = open_memstream (&text, &text_bytes);

  if (out == NULL)
    return NULL;
  for (size_t i = 0; i < findings->count; i++)
    {
      const struct beryl_finding *f = &findings->items[i];

      fprintf (out, "%s:%u:%u: %s\n", f->file != NULL ? f->file : "-", f->line,
               f->column, f->message);
    }
  fclose (out);
  return text;
}
