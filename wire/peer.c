#include "wire/peer.h"

#include <stdio.h>
#include <string.h>

/* Keys of the fields; a number is never used again for another meaning. */
enum peer_field
{
  FIELD_ID = 1,
  FIELD_NODE = 2,
  FIELD_INCARNATION = 3,
  FIELD_CLAIM_TYPE = 4,
  FIELD_KEY_HIGH = 5,
  FIELD_KEY_LOW = 6,
  FIELD_BODY_HASH = 7,
  FIELD_RESULT = 8,
  FIELD_REQUEST_ID = 9,
  FIELD_ORGANISATION = 10,
  FIELD_SERVICE = 11,
  FIELD_METHOD = 12,
  FIELD_PATH = 13,
  FIELD_CONTENT_TYPE = 14,
  FIELD_KEY = 15,
  FIELD_KEY_KIND = 16,
  FIELD_TIME_LEFT = 17,
  FIELD_STREAM = 18,
  FIELD_PROMPT_TOKENS = 19,
  FIELD_MAX_TOKENS = 20,
  FIELD_BODY = 21,
  FIELD_PROMPT = 22,
  FIELD_OFFSET = 23,
  FIELD_STATUS = 24,
  FIELD_BYTES = 25,
  FIELD_TOKENS = 26,
  FIELD_FINISH_REASON = 27,
  FIELD_ANSWER_BYTES = 28,
  FIELD_COMPLETION_TOKENS = 29,
  FIELD_PROBLEM = 30,
  FIELD_OUTCOME = 31,
  FIELD_RETRY_AFTER = 32,
  FIELD_DETAIL = 33,
};

static void
copy_text (char *copy, size_t copy_bytes, const char *text)
{
  snprintf (copy, copy_bytes, "%s", text != NULL ? text : "");
}

void
peer_forward_from_call (struct peer_forward *forward,
                        const struct beryl_call *call, int64_t now_ms)
{
  *forward = (struct peer_forward){ 0 };
  copy_text (forward->request_id, sizeof forward->request_id,
             call->request_id);
  copy_text (forward->organisation, sizeof forward->organisation,
             call->organisation);
  copy_text (forward->service, sizeof forward->service, call->service);
  copy_text (forward->method, sizeof forward->method, call->method);
  copy_text (forward->path, sizeof forward->path, call->path);
  copy_text (forward->content_type, sizeof forward->content_type,
             call->content_type);
  copy_text (forward->key, sizeof forward->key, call->key);
  forward->key_kind = call->key_kind;
  forward->key_incarnation = call->key_incarnation;
  forward->time_left_ms = INT64_MAX;
  if (call->deadline_ms != INT64_MAX)
    forward->time_left_ms = call->deadline_ms - now_ms;
  forward->stream = call->stream;
  forward->prompt_tokens = call->prompt_tokens;
  forward->max_tokens = call->max_tokens;
  forward->body = call->body;
  forward->body_bytes = call->body_bytes;
  forward->prompt = call->prompt;
  forward->prompt_bytes = call->prompt_bytes;
}

static const char *
text_or_null (const char *text)
{
  return text[0] != '\0' ? text : NULL;
}

void
peer_forward_to_call (const struct peer_forward *forward, uint64_t request,
                      struct beryl_call *call, int64_t now_ms)
{
  *call = (struct beryl_call){
    .request = request,
    .request_id = forward->request_id,
    .organisation = forward->organisation,
    .service = forward->service,
    .method = text_or_null (forward->method),
    .path = text_or_null (forward->path),
    .content_type = text_or_null (forward->content_type),
    .body = forward->body,
    .body_bytes = forward->body_bytes,
    .key_kind = forward->key_kind,
    .key = text_or_null (forward->key),
    .key_incarnation = forward->key_incarnation,
    .forwarded = true,
    .deadline_ms = INT64_MAX,
    .stream = forward->stream,
    .prompt = forward->prompt,
    .prompt_bytes = forward->prompt_bytes,
    .prompt_tokens = forward->prompt_tokens,
    .max_tokens = forward->max_tokens,
  };
  if (forward->time_left_ms < INT64_MAX - now_ms)
    call->deadline_ms = now_ms + forward->time_left_ms;
}

static void
put_claim (struct frame_writer *writer,
           const struct beryl_claim_message *claim)
{
  frame_put_uint (writer, FIELD_CLAIM_TYPE, claim->type);
  frame_put_uint (writer, FIELD_ID, claim->id);
  frame_put_uint (writer, FIELD_KEY_HIGH, claim->key_high);
  frame_put_uint (writer, FIELD_KEY_LOW, claim->key_low);
  frame_put_uint (writer, FIELD_BODY_HASH, claim->call_hash);
  frame_put_uint (writer, FIELD_INCARNATION, claim->incarnation);
  frame_put_uint (writer, FIELD_RESULT, claim->result);
}

static void
put_forward (struct frame_writer *writer, const struct peer_forward *f)
{
  frame_put_string (writer, FIELD_REQUEST_ID, f->request_id);
  frame_put_string (writer, FIELD_ORGANISATION, f->organisation);
  frame_put_string (writer, FIELD_SERVICE, f->service);
  frame_put_string (writer, FIELD_METHOD, f->method);
  frame_put_string (writer, FIELD_PATH, f->path);
  frame_put_string (writer, FIELD_CONTENT_TYPE, f->content_type);
  frame_put_string (writer, FIELD_KEY, f->key);
  frame_put_uint (writer, FIELD_KEY_KIND, f->key_kind);
  frame_put_uint (writer, FIELD_INCARNATION, f->key_incarnation);
  frame_put_int (writer, FIELD_TIME_LEFT, f->time_left_ms);
  frame_put_bool (writer, FIELD_STREAM, f->stream);
  frame_put_uint (writer, FIELD_PROMPT_TOKENS, f->prompt_tokens);
  frame_put_uint (writer, FIELD_MAX_TOKENS, f->max_tokens);
  frame_put_bytes (writer, FIELD_BODY, f->body, f->body_bytes);
  frame_put_bytes (writer, FIELD_PROMPT, f->prompt, f->prompt_bytes);
}

static void
put_data (struct frame_writer *writer, const struct peer_data *data)
{
  frame_put_uint (writer, FIELD_OFFSET, data->offset);
  frame_put_bytes (writer, FIELD_BYTES, data->bytes, data->bytes_count);
  frame_put_uint (writer, FIELD_TOKENS, data->tokens);
}

static void
put_end (struct frame_writer *writer, const struct peer_end *end)
{
  frame_put_string (writer, FIELD_FINISH_REASON, end->finish_reason);
  frame_put_uint (writer, FIELD_ANSWER_BYTES, end->answer_bytes);
  frame_put_uint (writer, FIELD_PROMPT_TOKENS, end->prompt_tokens);
  frame_put_uint (writer, FIELD_COMPLETION_TOKENS, end->completion_tokens);
}

static void
put_error (struct frame_writer *writer, const struct peer_error *error)
{
  frame_put_uint (writer, FIELD_PROBLEM, error->problem);
  frame_put_uint (writer, FIELD_OUTCOME, error->outcome);
  frame_put_int (writer, FIELD_RETRY_AFTER, error->retry_after_ms);
  frame_put_string (writer, FIELD_DETAIL, error->detail);
}

void
peer_put (struct frame_writer *writer, const struct peer_message *message)
{
  frame_writer_reset (writer, (uint16_t)message->type);
  if (message->type != PEER_HELLO && message->type != PEER_CLAIM)
    frame_put_uint (writer, FIELD_ID, message->id);
  switch (message->type)
    {
    case PEER_HELLO:
      frame_put_string (writer, FIELD_NODE, message->hello.node);
      frame_put_uint (writer, FIELD_INCARNATION, message->hello.incarnation);
      return;
    case PEER_CLAIM:
      put_claim (writer, &message->claim);
      return;
    case PEER_FORWARD:
      put_forward (writer, &message->forward);
      return;
    case PEER_FETCH:
      frame_put_string (writer, FIELD_ORGANISATION,
                        message->fetch.organisation);
      frame_put_string (writer, FIELD_REQUEST_ID, message->fetch.request_id);
      frame_put_uint (writer, FIELD_OFFSET, message->fetch.offset);
      return;
    case PEER_HEAD:
      frame_put_uint (writer, FIELD_STATUS, message->head.status);
      frame_put_string (writer, FIELD_CONTENT_TYPE,
                        message->head.content_type);
      return;
    case PEER_DATA:
      put_data (writer, &message->data);
      return;
    case PEER_END:
      put_end (writer, &message->end);
      return;
    case PEER_ERROR:
      put_error (writer, &message->error);
      return;
    case PEER_CUT:
    case PEER_CALLER_GONE:
    case PEER_CALLER_DRAINED:
      return;
    }
}

/* Reads a number that must be at most MAX. */
static uint64_t
need_at_most (struct frame_map map, uint32_t key, uint64_t max)
{
  uint64_t value = frame_need_uint (map, key);

  if (value <= max)
    return value;
  frame_fail (map.frame);
  return 0;
}

static void
read_claim (struct frame_map map, struct beryl_claim_message *claim)
{
  claim->type = (enum beryl_claim_message_type)need_at_most (
      map, FIELD_CLAIM_TYPE, BERYL_CLAIM_REPLY);
  if (claim->type == 0)
    frame_fail (map.frame);
  claim->id = frame_need_uint (map, FIELD_ID);
  claim->key_high = frame_need_uint (map, FIELD_KEY_HIGH);
  claim->key_low = frame_need_uint (map, FIELD_KEY_LOW);
  claim->call_hash = frame_need_uint (map, FIELD_BODY_HASH);
  claim->incarnation = frame_need_uint (map, FIELD_INCARNATION);
  claim->result = (enum beryl_claim_result)need_at_most (map, FIELD_RESULT,
                                                         BERYL_CLAIM_UNKNOWN);
}

static void
read_forward (struct frame_map map, struct peer_forward *f)
{
  frame_need_string (map, FIELD_REQUEST_ID, f->request_id,
                     sizeof f->request_id);
  frame_need_string (map, FIELD_ORGANISATION, f->organisation,
                     sizeof f->organisation);
  frame_need_string (map, FIELD_SERVICE, f->service, sizeof f->service);
  frame_string (map, FIELD_METHOD, f->method, sizeof f->method);
  frame_string (map, FIELD_PATH, f->path, sizeof f->path);
  frame_string (map, FIELD_CONTENT_TYPE, f->content_type,
                sizeof f->content_type);
  frame_string (map, FIELD_KEY, f->key, sizeof f->key);
  f->key_kind = (enum beryl_key_kind)need_at_most (map, FIELD_KEY_KIND,
                                                   BERYL_KEY_FREE);
  if (f->key_kind != BERYL_KEY_NONE && f->key[0] == '\0')
    frame_fail (map.frame);
  f->key_incarnation = frame_need_uint (map, FIELD_INCARNATION);
  f->time_left_ms = frame_need_int (map, FIELD_TIME_LEFT);
  f->stream = frame_bool (map, FIELD_STREAM, false);
  f->prompt_tokens
      = (uint32_t)need_at_most (map, FIELD_PROMPT_TOKENS, UINT32_MAX);
  f->max_tokens = (uint32_t)need_at_most (map, FIELD_MAX_TOKENS, UINT32_MAX);
  f->body = frame_bytes (map, FIELD_BODY, &f->body_bytes);
  f->prompt = frame_bytes (map, FIELD_PROMPT, &f->prompt_bytes);
}

static void
read_data (struct frame_map map, struct peer_data *data)
{
  data->offset = frame_need_uint (map, FIELD_OFFSET);
  data->bytes = frame_bytes (map, FIELD_BYTES, &data->bytes_count);
  data->tokens = (uint32_t)need_at_most (map, FIELD_TOKENS, UINT32_MAX);
}

static void
read_end (struct frame_map map, struct peer_end *end)
{
  frame_string (map, FIELD_FINISH_REASON, end->finish_reason,
                sizeof end->finish_reason);
  end->answer_bytes = frame_need_uint (map, FIELD_ANSWER_BYTES);
  end->prompt_tokens
      = (uint32_t)need_at_most (map, FIELD_PROMPT_TOKENS, UINT32_MAX);
  end->completion_tokens
      = (uint32_t)need_at_most (map, FIELD_COMPLETION_TOKENS, UINT32_MAX);
}

static void
read_error (struct frame_map map, struct peer_error *error)
{
  error->problem = (enum beryl_problem)need_at_most (
      map, FIELD_PROBLEM, BERYL_PROBLEM_CONTEXT_LENGTH);
  error->outcome = (enum beryl_outcome)need_at_most (map, FIELD_OUTCOME,
                                                     BERYL_OUTCOME_UNKNOWN);
  error->retry_after_ms = frame_need_int (map, FIELD_RETRY_AFTER);
  frame_string (map, FIELD_DETAIL, error->detail, sizeof error->detail);
}

static void
read_head (struct frame_map map, struct peer_head *head)
{
  head->status = (unsigned int)need_at_most (map, FIELD_STATUS, 999);
  frame_string (map, FIELD_CONTENT_TYPE, head->content_type,
                sizeof head->content_type);
}

static void
read_fetch (struct frame_map map, struct peer_fetch *fetch)
{
  frame_need_string (map, FIELD_ORGANISATION, fetch->organisation,
                     sizeof fetch->organisation);
  frame_need_string (map, FIELD_REQUEST_ID, fetch->request_id,
                     sizeof fetch->request_id);
  fetch->offset = frame_need_uint (map, FIELD_OFFSET);
}

bool
peer_read (struct frame *frame, struct peer_message *message)
{
  struct frame_map map = frame_root (frame);

  memset (message, 0, sizeof *message);
  message->type = (enum peer_type)frame_type (frame);
  if (message->type != PEER_HELLO && message->type != PEER_CLAIM)
    message->id = frame_need_uint (map, FIELD_ID);
  switch (message->type)
    {
    case PEER_HELLO:
      frame_need_string (map, FIELD_NODE, message->hello.node,
                         sizeof message->hello.node);
      message->hello.incarnation = frame_need_uint (map, FIELD_INCARNATION);
      break;
    case PEER_CLAIM:
      read_claim (map, &message->claim);
      break;
    case PEER_FORWARD:
      read_forward (map, &message->forward);
      break;
    case PEER_FETCH:
      read_fetch (map, &message->fetch);
      break;
    case PEER_HEAD:
      read_head (map, &message->head);
      break;
    case PEER_DATA:
      read_data (map, &message->data);
      break;
    case PEER_END:
      read_end (map, &message->end);
      break;
    case PEER_ERROR:
      read_error (map, &message->error);
      break;
    case PEER_CUT:
    case PEER_CALLER_GONE:
    case PEER_CALLER_DRAINED:
      break;
    default:
      return false;
    }
  return frame_valid (frame);
}
