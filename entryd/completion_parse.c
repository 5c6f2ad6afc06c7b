#include "completion_parse.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#define DEFAULT_MAX_TOKENS 256
#define MAX_TOKENS 1000000
/* No tokeniser is at hand; texts of our users run near four bytes a token. */
#define BYTES_PER_TOKEN 4

static bool
read_prompt (json_t *root, GString *prompt, struct beryl_error *error)
{
  json_t *value = json_object_get (root, "prompt");

  if (!json_is_string (value))
    return beryl_error_set (error, BERYL_ERROR_INVALID,
                            "prompt must be a string");
  g_string_append_len (prompt, json_string_value (value),
                       (gssize)json_string_length (value));
  return true;
}

static bool
append_content (GString *prompt, json_t *content)
{
  size_t i;
  json_t *part;

  if (json_is_string (content))
    {
      g_string_append_len (prompt, json_string_value (content),
                           (gssize)json_string_length (content));
      return true;
    }
  if (!json_is_array (content))
    return false;
  json_array_foreach (content, i, part)
  {
    json_t *text = json_object_get (part, "text");

    if (!json_is_string (text))
      return false;
    g_string_append_len (prompt, json_string_value (text),
                         (gssize)json_string_length (text));
  }
  return true;
}

static bool
read_messages (json_t *root, GString *prompt, struct beryl_error *error)
{
  json_t *messages = json_object_get (root, "messages");
  size_t i;
  json_t *message;

  if (!json_is_array (messages) || json_array_size (messages) == 0)
    return beryl_error_set (error, BERYL_ERROR_INVALID,
                            "messages must be a non-empty array");
  json_array_foreach (messages, i, message)
  {
    const char *role = json_string_value (json_object_get (message, "role"));

    if (role == NULL)
      return beryl_error_set (error, BERYL_ERROR_INVALID,
                              "messages[%zu].role must be a string", i);
    g_string_append_printf (prompt, "<|%s|>\n", role);
    if (!append_content (prompt, json_object_get (message, "content")))
      return beryl_error_set (
          error, BERYL_ERROR_INVALID,
          "messages[%zu].content must be a string or text parts", i);
    g_string_append_c (prompt, '\n');
  }
  g_string_append (prompt, "<|assistant|>\n");
  return true;
}

static bool
read_max_tokens (json_t *root, bool chat, uint32_t *max_tokens,
                 struct beryl_error *error)
{
  json_t *value = json_object_get (root, "max_tokens");

  if (value == NULL && chat)
    value = json_object_get (root, "max_completion_tokens");
  *max_tokens = DEFAULT_MAX_TOKENS;
  if (value == NULL || json_is_null (value))
    return true;
  if (!json_is_integer (value) || json_integer_value (value) < 1
      || json_integer_value (value) > MAX_TOKENS)
    return beryl_error_set (error, BERYL_ERROR_INVALID,
                            "max_tokens must be from 1 to %d", MAX_TOKENS);
  *max_tokens = (uint32_t)json_integer_value (value);
  return true;
}

static bool
read_choices (json_t *root, struct beryl_error *error)
{
  json_t *n = json_object_get (root, "n");

  if (n == NULL || json_is_null (n) || json_integer_value (n) == 1)
    return true;
  return beryl_error_set (error, BERYL_ERROR_INVALID,
                          "n must be 1: each call has one answer");
}

static bool
read_root (json_t *root, bool chat, GString *prompt,
           struct completion *completion, struct beryl_error *error)
{
  const char *model = json_string_value (json_object_get (root, "model"));
  json_t *stream = json_object_get (root, "stream");

  if (!json_is_object (root))
    return beryl_error_set (error, BERYL_ERROR_INVALID,
                            "the body must be a JSON object");
  if (model == NULL)
    return beryl_error_set (error, BERYL_ERROR_INVALID,
                            "model must be a string");
  if (stream != NULL && !json_is_boolean (stream) && !json_is_null (stream))
    return beryl_error_set (error, BERYL_ERROR_INVALID,
                            "stream must be true or false");
  if (!read_max_tokens (root, chat, &completion->max_tokens, error)
      || !read_choices (root, error))
    return false;
  if (!(chat ? read_messages (root, prompt, error)
             : read_prompt (root, prompt, error)))
    return false;
  if (prompt->len == 0)
    return beryl_error_set (error, BERYL_ERROR_INVALID, "the prompt is empty");
  completion->model = g_strdup (model);
  completion->stream = json_is_true (stream);
  return true;
}

bool
completion_parse (const void *body, size_t body_bytes, bool chat,
                  struct completion *completion, struct beryl_error *error)
{
  json_error_t json_error;
  json_t *root
      = json_loadb (body, body_bytes, JSON_REJECT_DUPLICATES, &json_error);
  GString *prompt;
  bool valid;

  memset (completion, 0, sizeof *completion);
  if (root == NULL)
    return beryl_error_set (error, BERYL_ERROR_INVALID,
                            "the body is not valid JSON: line %d column %d: "
                            "%.120s",
                            json_error.line, json_error.column,
                            json_error.text);
  prompt = g_string_new (NULL);
  valid = read_root (root, chat, prompt, completion, error);
  json_decref (root);
  completion->prompt_bytes = prompt->len;
  completion->prompt_tokens
      = (uint32_t)((prompt->len + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
  completion->prompt = g_string_free (prompt, FALSE);
  if (!valid)
    completion_clear (completion);
  return valid;
}

void
completion_clear (struct completion *completion)
{
  g_free (completion->model);
  g_free (completion->prompt);
  memset (completion, 0, sizeof *completion);
}
