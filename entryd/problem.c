#include "problem.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_NOT_READY_MS 1000

/* What a problem means and what its reader can do. */
struct text
{
  unsigned int status;
  const char *title;
  const char *action;
};

static const struct
{
  const char *type;
  struct text text;
  int64_t retry_after_ms;
} own[] = {
  [ENTRY_INVALID_REQUEST]
  = { "invalid-request",
      { 400, "The request is malformed.", "Correct it as the detail says." },
      0 },
  [ENTRY_UNAUTHORIZED]
  = { "unauthorized",
      { 401, "The bearer token is missing or not known.",
        "Send Authorization: Bearer with a token of your organisation." },
      0 },
  [ENTRY_NO_ROUTE]
  = { "no-route",
      { 404, "There is nothing at this path.", "See the HTTP API page." },
      0 },
  [ENTRY_METHOD]
  = { "method-not-allowed",
      { 405, "The path does not take this method.", "See the HTTP API page." },
      0 },
  [ENTRY_UNKNOWN_MODEL]
  = { "unknown-model",
      { 404, "No service runs this model.", "Name a model that is served." },
      0 },
  [ENTRY_UNKNOWN_SERVICE]
  = { "no-service",
      { 404, "There is no such service.", "Name a service that exists." },
      0 },
  [ENTRY_DEADLINE_PASSED]
  = { "deadline",
      { 504, "The deadline had passed when the request arrived.",
        "Send it with a later deadline." },
      0 },
  [ENTRY_NOT_READY] = { "not-ready",
                        { 503, "This node has no configuration yet.",
                          "Use another address or try again later." },
                        RETRY_NOT_READY_MS },
  [ENTRY_OVERLOADED] = { "overloaded",
                         { 503, "This node has too many open requests.",
                           "Use another address or try again later." },
                         RETRY_NOT_READY_MS },
};

static const struct text texts[] = {
  [BERYL_PROBLEM_NO_SERVICE]
  = { 404, "There is no such service.", "Name a service that exists." },
  [BERYL_PROBLEM_OVER_LIMIT] = { 429, "The organisation is over its limit.",
                                 "Try again after the time in Retry-After." },
  [BERYL_PROBLEM_NO_CAPACITY] = { 503, "No endpoint has room in time.",
                                  "Try again after the time in Retry-After." },
  [BERYL_PROBLEM_DEADLINE]
  = { 504, "The deadline cannot be met or has passed.",
      "Try again with a later deadline." },
  [BERYL_PROBLEM_ENDPOINT_FAILED]
  = { 502, "The endpoint failed.",
      "If the outcome is not_run, try again; if it is unknown, ask "
      "/v1/requests/ before repeating a call that may not run twice." },
  [BERYL_PROBLEM_KEY_IN_USE]
  = { 409, "A call with this key is running.",
      "Wait, or ask /v1/requests/ for its outcome." },
  [BERYL_PROBLEM_KEY_ANSWERED]
  = { 409, "A call with this key was answered.",
      "Fetch the answer's rest at /v1/requests/." },
  [BERYL_PROBLEM_KEY_MISMATCH]
  = { 422, "The key was used for another request.",
      "Use a new key for a new request." },
  [BERYL_PROBLEM_KEY_UNKNOWN]
  = { 409, "The node of this key is gone; the call may have run.",
      "Find out from the service before sending it under a new key." },
  [BERYL_PROBLEM_CLAIM_UNAVAILABLE]
  = { 503, "The key cannot be recorded now.",
      "Try again later, or use a key bound to a node." },
  [BERYL_PROBLEM_NOT_FOUND]
  = { 404, "No such request is known here.",
      "Check the id; answers are kept for a limited time." },
  [BERYL_PROBLEM_CONTEXT_LENGTH]
  = { 400, "The prompt is longer than the model takes.",
      "Shorten the prompt." },
};

char *
problem_format (const char *type, unsigned int status, const char *title,
                const char *detail, const char *action,
                enum beryl_outcome outcome, int64_t retry_after_ms,
                const char *request_id)
{
  json_t *body = json_pack ("{s:s, s:i, s:s, s:s, s:s}", "type", type,
                            "status", (int)status, "title", title, "action",
                            action, "outcome", beryl_outcome_name (outcome));
  json_t *text = detail != NULL ? json_string (detail) : NULL;
  char *line;

  if (text != NULL)
    json_object_set_new (body, "detail", text);
  if (request_id != NULL)
    json_object_set_new (body, "request_id", json_string (request_id));
  if (retry_after_ms > 0)
    json_object_set_new (body, "retry_after_ms",
                         json_integer (retry_after_ms));
  line = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return line;
}

static void
respond (struct http_exchange *ex, const char *type, const struct text *text,
         const char *detail, enum beryl_outcome outcome,
         int64_t retry_after_ms, const char *request_id)
{
  char *body
      = problem_format (type, text->status, text->title, detail, text->action,
                        outcome, retry_after_ms, request_id);
  char seconds[24];

  if (request_id != NULL)
    http_exchange_add_header (ex, "x-request-id", request_id);
  if (retry_after_ms > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%" G_GINT64_FORMAT,
                  (retry_after_ms + 999) / 1000);
      http_exchange_add_header (ex, "retry-after", seconds);
    }
  if (text->status == 401)
    http_exchange_add_header (ex, "www-authenticate", "Bearer");
  http_exchange_respond (ex, text->status, "application/problem+json", body,
                         strlen (body));
  free (body);
}

void
problem_respond (struct http_exchange *ex, enum entry_problem problem,
                 const char *request_id, const char *detail)
{
  respond (ex, own[problem].type, &own[problem].text, detail,
           BERYL_OUTCOME_NOT_RUN, own[problem].retry_after_ms, request_id);
}

unsigned int
problem_status (enum beryl_problem problem)
{
  return texts[problem].status;
}

void
problem_respond_action (struct http_exchange *ex,
                        const struct beryl_action *action,
                        const char *request_id)
{
  respond (ex, beryl_problem_name (action->error.problem),
           &texts[action->error.problem], action->error.detail,
           action->error.outcome, action->error.retry_after_ms, request_id);
}
