/* Admission of calls: checks the key, applies the service's settings, and
 * claims, forwards or plans the request. */
#include <stdlib.h>
#include <string.h>

#include "private.h"

/* Retry-after for a key that another call is using, and if out of memory. */
#define KEY_RETRY_MS 1000
#define CLAIM_RETRY_MS 1000

static struct request *
request_create (struct beryl_requests *requests, const struct beryl_call *call)
{
  struct request *request = calloc (1, sizeof *request);

  if (request == NULL)
    return NULL;
  if (!call_copy (&request->call, call)
      || !map_put (&requests->by_handle, map_key_from_number (call->request),
                   request))
    {
      call_clear (&request->call);
      free (request);
      return NULL;
    }
  request->slow_since_ms = BERYL_NEVER_MS;
  request->decode_retry_at_ms = BERYL_NEVER_MS;
  request->arrival_number = ++requests->last_arrival_number;
  request->previous = requests->last;
  if (requests->last != NULL)
    requests->last->next = request;
  else
    requests->first = request;
  requests->last = request;
  requests->open++;
  return request;
}

static void
request_hash_prompt (struct beryl_requests *requests, struct request *request,
                     const struct beryl_model *model)
{
  /* A token is taken as 4 bytes. */
  size_t block_bytes = (size_t)model->block_tokens * 4;

  if (block_bytes == 0 || request->call.prompt_bytes < block_bytes)
    return;
  request->block_hashes
      = calloc (PREFIX_BLOCKS_MAX, sizeof *request->block_hashes);
  if (request->block_hashes == NULL)
    return;
  request->block_count = beryl_prefix_hash (
      request->call.prompt, request->call.prompt_bytes, block_bytes,
      request->block_hashes, PREFIX_BLOCKS_MAX);
}

static void
request_apply_service (struct request *request,
                       const struct beryl_service *service, int64_t now_ms)
{
  const struct beryl_call *call = &request->call;
  const struct beryl_call_rule *rule = NULL;
  int64_t timeout_ms = service->deadline_ms;

  if (call->method != NULL && call->path != NULL)
    rule = beryl_service_rule (service, call->method, call->path);
  request->plain = service->model[0] == '\0';
  request->call_class = rule != NULL ? rule->call_class : service->call_class;
  request->idempotent
      = !(rule != NULL ? rule->non_idempotent : service->non_idempotent);
  request->arrived_ms = now_ms;
  request->answer.status = 200;
  request->answer.prompt_tokens = call->prompt_tokens;
  if (rule != NULL && rule->deadline_ms > 0)
    timeout_ms = rule->deadline_ms;
  if (call->deadline_ms == 0)
    request->call.deadline_ms
        = timeout_ms > 0 ? now_ms + timeout_ms : BERYL_NEVER_MS;
}

/* Returns false if the request exceeds the model's context. */
static bool
request_check_model (struct beryl_requests *requests, struct request *request,
                     const struct beryl_service *service)
{
  const struct beryl_model *model;

  if (request->plain)
    return true;
  model = beryl_config_model (requests->config, service->model);
  if (model == NULL)
    return true;
  if (model->context_tokens != 0
      && (uint64_t)request->call.prompt_tokens + request->call.max_tokens
             > model->context_tokens)
    return false;
  request_hash_prompt (requests, request, model);
  return true;
}

/* Replies with an error and returns true if no call with the key may run now;
 * returns false if one may. */
static bool
reject_known_key (struct beryl_requests *requests,
                  const struct beryl_call *call, const struct record *record)
{
  if (record_authoritative (record)
      && !BERYL_GUARD (BERYL_GUARD_KEY_BODY,
                       record->call_hash == call_compute_hash (call)))
    {
      requests_reply_error (requests, call->request,
                            BERYL_PROBLEM_KEY_MISMATCH, BERYL_OUTCOME_NOT_RUN,
                            0, "the key was used for another request");
      return true;
    }
  if (!BERYL_GUARD (BERYL_GUARD_KEY_RUNNING,
                    record->outcome != BERYL_OUTCOME_PENDING))
    {
      requests_reply_error (requests, call->request, BERYL_PROBLEM_KEY_IN_USE,
                            BERYL_OUTCOME_PENDING, KEY_RETRY_MS,
                            "a call with this key is running");
      return true;
    }
  /* PENDING gets here only if a mutation test disables the guard above. */
  if (BERYL_GUARD (BERYL_GUARD_KEY_ENDED,
                   record->outcome == BERYL_OUTCOME_NOT_RUN
                       || record->outcome == BERYL_OUTCOME_PENDING))
    return false;
  if (record->outcome == BERYL_OUTCOME_ANSWERED)
    requests_reply_error (requests, call->request, BERYL_PROBLEM_KEY_ANSWERED,
                          BERYL_OUTCOME_ANSWERED, 0,
                          "a call with this key was "
                          "answered");
  else
    requests_reply_error (requests, call->request, BERYL_PROBLEM_KEY_UNKNOWN,
                          BERYL_OUTCOME_UNKNOWN, 0,
                          "a call with this key may have run");
  return true;
}

static void
request_claim (struct beryl_requests *requests, struct request *request)
{
  struct beryl_action action = {
    .type = BERYL_ACTION_CLAIM,
    .request = request->call.request,
  };

  request_set_phase (requests, request, PHASE_CLAIM);
  action.claim.organisation = request->call.organisation;
  action.claim.key = request->call.key;
  action.claim.call_hash = call_compute_hash (&request->call);
  requests_emit (requests, &action);
}

void
request_forward (struct beryl_requests *requests, struct request *request,
                 uint64_t incarnation)
{
  struct beryl_action action = {
    .type = BERYL_ACTION_FORWARD,
    .request = request->call.request,
  };
  struct exchange *exchange = exchange_open (requests, request, "");

  if (exchange == NULL)
    return;
  request_set_phase (requests, request, PHASE_FORWARD);
  action.exchange = exchange->id;
  action.forward.incarnation = incarnation;
  action.forward.call = &request->call;
  requests_emit (requests, &action);
}

/* Whether the call's key is bound to another incarnation.  Only that one knows
 * whether a call with the key has run: it may be alive on another node, or be
 * an earlier process of this node. */
static bool
bound_to_other_incarnation (const struct beryl_requests *requests,
                            const struct beryl_call *call)
{
  return call->key_kind == BERYL_KEY_BOUND
         && !BERYL_GUARD (BERYL_GUARD_KEY_INCARNATION,
                          call->key_incarnation
                              == requests->settings.incarnation);
}

/* A call with a free key is forwarded here because its claim was granted to
 * this incarnation, which records such a call before it claims the key.
 * Without a record nothing shows that no earlier call with the key has run, so
 * the call is not run as a new one. */
static bool
forwarded_without_record (const struct beryl_call *call,
                          const struct record *record)
{
  return call->forwarded && call->key_kind == BERYL_KEY_FREE
         && !BERYL_GUARD (BERYL_GUARD_FORWARDED_KEY, record != NULL);
}

/* Checks the call's key before any state is kept for the call.  Returns true
 * if the final reply was sent. */
static bool
requests_reject_key (struct beryl_requests *requests,
                     const struct beryl_call *call)
{
  struct record *record;

  if (call->key_kind == BERYL_KEY_NONE)
    return false;
  if (bound_to_other_incarnation (requests, call))
    {
      if (call->forwarded)
        requests_reply_error (requests, call->request,
                              BERYL_PROBLEM_KEY_UNKNOWN, BERYL_OUTCOME_UNKNOWN,
                              0, "the node of this key is gone");
      return call->forwarded;
    }
  record = record_find (requests, call->organisation, call->key);
  if (forwarded_without_record (call, record))
    {
      requests_reply_error (requests, call->request, BERYL_PROBLEM_KEY_UNKNOWN,
                            BERYL_OUTCOME_UNKNOWN, 0,
                            "what became of this key is not known");
      return true;
    }
  return record != NULL && reject_known_key (requests, call, record);
}

/* A free key of an idempotent call needs no claim: running it twice is
 * harmless, and the call keeps working while the object API is unavailable. */
static bool
needs_claim (const struct request *request)
{
  return request->call.key_kind == BERYL_KEY_FREE && !request->idempotent
         && !(request->record != NULL && request->record->claimed);
}

static void
request_start (struct beryl_requests *requests, struct request *request,
               const struct beryl_service *service, int64_t now_ms)
{
  const struct beryl_call *call = &request->call;
  bool other_incarnation = bound_to_other_incarnation (requests, call);
  bool keyed = call->key_kind == BERYL_KEY_BOUND
               || (call->key_kind == BERYL_KEY_FREE && !request->idempotent);

  request->record = record_open (requests, call, keyed && !other_incarnation);
  if (request->record == NULL && keyed)
    {
      request_fail (requests, request, BERYL_PROBLEM_NO_CAPACITY, KEY_RETRY_MS,
                    "out of memory", now_ms);
      return;
    }
  retry_budget_earn (&requests->budgets, service->name,
                     service->retry_budget_percent);
  if (other_incarnation)
    request_forward (requests, request, call->key_incarnation);
  else if (!BERYL_GUARD (BERYL_GUARD_CLAIM_FIRST, !needs_claim (request)))
    request_claim (requests, request);
  else
    request_plan (requests, request, now_ms);
}

void
requests_admit (struct beryl_requests *requests, const struct beryl_call *call,
                int64_t now_ms)
{
  const struct beryl_service *service = NULL;
  struct request *request;

  if (requests->config != NULL)
    service = beryl_config_service (requests->config, call->service);
  if (service == NULL)
    {
      requests_reply_error (requests, call->request, BERYL_PROBLEM_NO_SERVICE,
                            BERYL_OUTCOME_NOT_RUN, 0, "no such service");
      return;
    }
  if (requests_reject_key (requests, call))
    return;
  request = request_create (requests, call);
  if (request == NULL)
    {
      requests_reply_error (requests, call->request, BERYL_PROBLEM_NO_CAPACITY,
                            BERYL_OUTCOME_NOT_RUN, KEY_RETRY_MS,
                            "out of memory");
      return;
    }
  request_apply_service (request, service, now_ms);
  requests_schedule_due (requests, request->call.deadline_ms);
  if (!request_check_model (requests, request, service))
    {
      request_fail (requests, request, BERYL_PROBLEM_CONTEXT_LENGTH, 0,
                    "prompt and answer are longer than the model takes",
                    now_ms);
      return;
    }
  request_start (requests, request, service, now_ms);
}

/* The claim names the incarnation that was granted the key.  If it is this
 * one, the local record is authoritative, and no call with the key has run:
 * otherwise requests_reject_key would have rejected this one. */
static void
request_claim_taken (struct beryl_requests *requests, struct request *request,
                     uint64_t incarnation, int64_t now_ms)
{
  if (incarnation == requests->settings.incarnation)
    {
      request->record->claimed = true;
      request_plan (requests, request, now_ms);
      return;
    }
  record_close (requests, request, BERYL_OUTCOME_NOT_RUN, now_ms);
  request->record = NULL;
  request_forward (requests, request, incarnation);
}

void
request_on_claim_result (struct beryl_requests *requests,
                         struct request *request,
                         const struct beryl_event *event, int64_t now_ms)
{
  if (request->phase != PHASE_CLAIM)
    return;
  switch (event->claim.result)
    {
    case BERYL_CLAIM_GRANTED:
      request->record->claimed = true;
      request_plan (requests, request, now_ms);
      return;
    case BERYL_CLAIM_TAKEN:
      request_claim_taken (requests, request, event->claim.incarnation,
                           now_ms);
      return;
    case BERYL_CLAIM_MISMATCH:
      request_fail_with_outcome (
          requests, request, BERYL_PROBLEM_KEY_MISMATCH, BERYL_OUTCOME_NOT_RUN,
          0, "the key was used for another request", now_ms);
      return;
    case BERYL_CLAIM_UNAVAILABLE:
      request_fail_with_outcome (requests, request,
                                 BERYL_PROBLEM_CLAIM_UNAVAILABLE,
                                 BERYL_OUTCOME_NOT_RUN, CLAIM_RETRY_MS,
                                 "the key could not be claimed", now_ms);
      return;
    case BERYL_CLAIM_UNKNOWN:
      request_fail_with_outcome (
          requests, request, BERYL_PROBLEM_KEY_UNKNOWN, BERYL_OUTCOME_UNKNOWN,
          CLAIM_RETRY_MS, "an earlier call with this key cannot be ruled out",
          now_ms);
      return;
    }
}
