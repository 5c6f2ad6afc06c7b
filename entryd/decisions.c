#include "decisions.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "calls.h"
#include "problem.h"

/* Decisions that are kept, the oldest first out. */
#define KEPT 4096

/* One decision; texts are short, so that all fit in about three megabytes. */
struct decision
{
  char request_id[72];
  char reason[32];
  char prefill[BERYL_NAME_BYTES];
  char decode[BERYL_NAME_BYTES];
  char alternatives[320];
  int64_t first_token_ms;
  enum beryl_verdict verdict;
};

struct decisions
{
  struct decision *items; /* a ring */
  size_t count;
  size_t next;
};

struct decisions *
decisions_create (void)
{
  struct decisions *decisions = g_new0 (struct decisions, 1);

  decisions->items = g_new0 (struct decision, KEPT);
  return decisions;
}

void
decisions_destroy (struct decisions *decisions)
{
  if (decisions == NULL)
    return;
  g_free (decisions->items);
  g_free (decisions);
}

static const char *
verdict_name (enum beryl_verdict verdict)
{
  switch (verdict)
    {
    case BERYL_VERDICT_START:
      return "start";
    case BERYL_VERDICT_WAIT:
      return "wait";
    case BERYL_VERDICT_REFUSE:
      break;
    }
  return "refuse";
}

static char *
format_alternatives (const struct beryl_plan *plan)
{
  GString *text = g_string_new (NULL);

  for (uint32_t i = 0; i < plan->alternative_count; i++)
    {
      const struct beryl_alternative *a = &plan->alternatives[i];

      g_string_append_printf (text, "%s%s%s%s=%.1f", i > 0 ? "," : "",
                              a->prefill, a->prefill[0] != '\0' ? ">" : "",
                              a->decode, a->cost_ms);
    }
  return g_string_free (text, FALSE);
}

static void
copy_text (char *to, size_t to_bytes, const char *from)
{
  g_strlcpy (to, from != NULL ? from : "", to_bytes);
}

static struct decision *
keep (struct decisions *decisions, const struct beryl_action *action)
{
  const struct beryl_plan *plan = action->decision.plan;
  struct decision *d = &decisions->items[decisions->next];
  char *alternatives = format_alternatives (plan);

  decisions->next = (decisions->next + 1) % KEPT;
  decisions->count = MIN (decisions->count + 1, KEPT);
  copy_text (d->request_id, sizeof d->request_id, action->decision.request_id);
  copy_text (d->reason, sizeof d->reason, plan->reason);
  copy_text (d->prefill, sizeof d->prefill, plan->prefill);
  copy_text (d->decode, sizeof d->decode, plan->decode);
  copy_text (d->alternatives, sizeof d->alternatives, alternatives);
  d->first_token_ms = plan->first_token_ms;
  d->verdict = plan->verdict;
  g_free (alternatives);
  return d;
}

void
decisions_add (struct entry *entry, const struct beryl_action *action)
{
  const struct decision *d = keep (entry->decisions, action);
  struct entry_request *request
      = g_hash_table_lookup (entry->open, &action->request);
  char delay[24];

  if (request != NULL)
    request->waiting = d->verdict != BERYL_VERDICT_START;
  ++*entry->decisions_total[d->verdict];
  if (!log_level_enabled (G_LOG_LEVEL_INFO))
    return;
  g_snprintf (delay, sizeof delay, "%" G_GINT64_FORMAT, d->first_token_ms);
  g_log_structured (G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "REQUEST", d->request_id,
                    "VERDICT", verdict_name (d->verdict), "REASON", d->reason,
                    "PREFILL", d->prefill, "DECODE", d->decode,
                    "FIRST_TOKEN_MS", delay, "ALTERNATIVES_MS",
                    d->alternatives, "MESSAGE", "routing decision");
}

static json_t *
decision_json (const struct decision *d)
{
  return json_pack ("{s:s, s:s, s:s, s:s, s:I, s:s}", "verdict",
                    verdict_name (d->verdict), "reason", d->reason, "prefill",
                    d->prefill, "decode", d->decode, "first_token_ms",
                    (json_int_t)d->first_token_ms, "alternatives",
                    d->alternatives);
}

static json_t *
decisions_of (const struct decisions *decisions, const char *request_id)
{
  json_t *list = json_array ();
  size_t first = decisions->next + KEPT - decisions->count;

  for (size_t i = 0; i < decisions->count; i++)
    {
      const struct decision *d = &decisions->items[(first + i) % KEPT];

      if (strcmp (d->request_id, request_id) == 0)
        json_array_append_new (list, decision_json (d));
    }
  return list;
}

void
explain_request (struct entry *entry, struct http_exchange *ex,
                 const char *path)
{
  json_t *list;
  json_t *body;
  char *text;

  if (!caller_is_operator (entry, ex))
    {
      problem_respond (ex, ENTRY_UNAUTHORIZED, NULL,
                       "an operator's token is needed");
      return;
    }
  list = decisions_of (entry->decisions, path);
  if (json_array_size (list) == 0)
    {
      json_decref (list);
      problem_respond (ex, ENTRY_NOT_FOUND, NULL,
                       "no decision of this request is kept");
      return;
    }
  body = json_pack ("{s:s, s:o}", "request_id", path, "decisions", list);
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  http_exchange_respond (ex, 200, "application/json", text, strlen (text));
  free (text);
}
