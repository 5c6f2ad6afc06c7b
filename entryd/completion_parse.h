/** @file
 * Reads the bodies of completions and chat completions.
 */
#ifndef ENTRYD_COMPLETION_PARSE_H
#define ENTRYD_COMPLETION_PARSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/error.h"

/** What a body asks for. */
struct completion
{
  char *model;
  char *prompt;
  size_t prompt_bytes;
  uint32_t prompt_tokens; /**< estimated */
  uint32_t max_tokens;
  bool stream;
};

/** Read BODY; CHAT takes "messages" instead of "prompt".  False and ERROR
 * if it is not valid. */
bool completion_parse (const void *body, size_t body_bytes, bool chat,
                       struct completion *completion,
                       struct beryl_error *error);

/** Release what COMPLETION points to. */
void completion_clear (struct completion *completion);

#endif
