#include "completion_format.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static json_t *
envelope (const struct entry_request *request, bool chunk)
{
  bool chat = request->shape == REPLY_CHAT;
  const char *object = "text_completion";

  if (chat)
    object = chunk ? "chat.completion.chunk" : "chat.completion";
  return json_pack ("{s:s, s:s, s:I, s:s}", "id", request->request_id,
                    "object", object, "created",
                    (json_int_t)request->created_s, "model", request->model);
}

/* A piece may end inside a character; jansson refuses that, so that bytes
 * which are no UTF-8 by themselves become U+FFFD. */
static json_t *
text_value (const char *text, size_t text_bytes)
{
  json_t *value = json_stringn (text, text_bytes);
  char *clean;

  if (value != NULL)
    return value;
  clean = g_utf8_make_valid (text, (gssize)text_bytes);
  value = json_string (clean);
  g_free (clean);
  return value;
}

static json_t *
choice (const struct entry_request *request, json_t *text, bool chunk,
        const char *finish_reason)
{
  json_t *c = json_pack ("{s:i}", "index", 0);

  if (request->shape == REPLY_COMPLETION)
    json_object_set_new (c, "text", text != NULL ? text : json_string (""));
  else
    json_object_set_new (
        c, chunk ? "delta" : "message",
        text != NULL
            ? json_pack ("{s:s, s:o}", "role", "assistant", "content", text)
            : json_object ());
  json_object_set_new (c, "finish_reason",
                       finish_reason != NULL ? json_string (finish_reason)
                                             : json_null ());
  return c;
}

static json_t *
usage (const struct beryl_action *end)
{
  return json_pack ("{s:I, s:I, s:I}", "prompt_tokens",
                    (json_int_t)end->end.prompt_tokens, "completion_tokens",
                    (json_int_t)end->end.completion_tokens, "total_tokens",
                    (json_int_t)end->end.prompt_tokens
                        + end->end.completion_tokens);
}

static void
append_event (GString *events, json_t *body)
{
  char *json = json_dumps (body, JSON_COMPACT);

  g_string_append_printf (events, "data: %s\n\n", json);
  free (json);
  json_decref (body);
}

char *
completion_chunk (const struct entry_request *request, const void *bytes,
                  size_t bytes_count)
{
  GString *events = g_string_new (NULL);
  json_t *body = envelope (request, true);

  json_object_set_new (
      body, "choices",
      json_pack ("[o]", choice (request, text_value (bytes, bytes_count), true,
                                NULL)));
  append_event (events, body);
  return g_string_free (events, FALSE);
}

char *
completion_last_chunk (const struct entry_request *request,
                       const struct beryl_action *end)
{
  const char *reason
      = end->end.finish_reason != NULL ? end->end.finish_reason : "stop";
  GString *events = g_string_new (NULL);
  json_t *body = envelope (request, true);

  json_object_set_new (
      body, "choices",
      json_pack ("[o]", choice (request, NULL, true, reason)));
  json_object_set_new (body, "usage", usage (end));
  append_event (events, body);
  g_string_append (events, "data: [DONE]\n\n");
  return g_string_free (events, FALSE);
}

char *
completion_whole (const struct entry_request *request,
                  const struct beryl_action *end)
{
  const char *reason
      = end->end.finish_reason != NULL ? end->end.finish_reason : "stop";
  json_t *body = envelope (request, false);
  json_t *text = text_value (request->text->str, request->text->len);
  char *json;

  json_object_set_new (
      body, "choices",
      json_pack ("[o]", choice (request, text, false, reason)));
  json_object_set_new (body, "usage", usage (end));
  json = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return json;
}
