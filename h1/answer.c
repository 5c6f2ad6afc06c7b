#include "h1/answer.h"

#include "builder.h"
#include "grammar.h"

/* Bytes of framing for each byte of the body. */
#define FRAMING_PER_BYTE 64

struct h1_answer
{
  struct h1_answer_handler *handler;
  struct h1_answer_bytes limits;
  http_parser parser;
  struct head_builder builder;
  struct answer_grammar grammar;
  enum h1_answer_state state;
  uint64_t read_bytes;
  uint64_t body_bytes;
  bool without_body;
  bool in_head;
  bool has_head; /* the final one */
  bool chunked;
  bool over_limit;
};

static int
on_begin (http_parser *parser)
{
  struct h1_answer *answer = parser->data;

  answer->in_head = true;
  if (answer->handler->impl->begin != NULL)
    answer->handler->impl->begin (answer->handler);
  return 0;
}

static int
on_status (http_parser *parser, const char *at, size_t length)
{
  struct h1_answer *answer = parser->data;

  head_builder_add (&answer->builder, HEAD_START, at, length);
  return 0;
}

static int
on_field (http_parser *parser, const char *at, size_t length)
{
  struct h1_answer *answer = parser->data;

  if (!answer->has_head)
    head_builder_add (&answer->builder, HEAD_NAME, at, length);
  return 0;
}

static int
on_value (http_parser *parser, const char *at, size_t length)
{
  struct h1_answer *answer = parser->data;

  if (!answer->has_head)
    head_builder_add (&answer->builder, HEAD_VALUE, at, length);
  return 0;
}

static bool
is_interim (const http_parser *parser)
{
  return parser->status_code / 100 == 1;
}

static int
on_head (http_parser *parser)
{
  struct h1_answer *answer = parser->data;
  bool without_body
      = answer->without_body || h1_status_without_body (parser->status_code);

  parser->upgrade = 0;
  answer->in_head = false;
  if (is_interim (parser))
    return without_body ? 1 : 0;
  head_builder_finish (&answer->builder, parser);
  if (!h1_head_framing_known (&answer->builder.head))
    return -1;
  answer->has_head = true;
  answer->chunked = (parser->flags & F_CHUNKED) != 0;
  grammar_begin_chunks (&answer->grammar);
  answer->handler->impl->head (answer->handler, &answer->builder.head);
  return without_body ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  struct h1_answer *answer = parser->data;

  answer->body_bytes += length;
  if (answer->limits.body_bytes > 0
      && answer->body_bytes > answer->limits.body_bytes)
    answer->over_limit = true;
  else
    answer->handler->impl->data (answer->handler, at, length);
  return 0;
}

static int
on_message (http_parser *parser)
{
  struct h1_answer *answer = parser->data;

  if (is_interim (parser))
    {
      head_builder_reset (&answer->builder);
      grammar_begin_head (&answer->grammar);
      return 0;
    }
  answer->state = H1_ANSWER_WHOLE;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_begin,
  .on_status = on_status,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_message,
};

struct h1_answer *
h1_answer_create (bool without_body, struct h1_answer_bytes limits,
                  struct h1_answer_handler *handler)
{
  struct h1_answer *answer = g_new0 (struct h1_answer, 1);

  answer->handler = handler;
  answer->limits = limits;
  answer->without_body = without_body;
  head_builder_init (&answer->builder);
  grammar_begin_head (&answer->grammar);
  http_parser_init (&answer->parser, HTTP_RESPONSE);
  answer->parser.data = answer;
  return answer;
}

void
h1_answer_destroy (struct h1_answer *answer)
{
  if (answer == NULL)
    return;
  head_builder_clear (&answer->builder);
  g_free (answer);
}

/* Bytes that are no body grow with it only as far as framing needs them. */
static bool
exceeds_bytes (const struct h1_answer *answer)
{
  return answer->over_limit
         || (answer->limits.head_bytes > 0
             && answer->read_bytes - answer->body_bytes
                    > answer->limits.head_bytes
                          + FRAMING_PER_BYTE * answer->body_bytes);
}

static void
answer_parse (struct h1_answer *answer, const char *bytes, size_t bytes_count)
{
  size_t taken = http_parser_execute (&answer->parser, &parser_settings, bytes,
                                      bytes_count);
  enum http_errno error = HTTP_PARSER_ERRNO (&answer->parser);

  answer->read_bytes += taken;
  if (exceeds_bytes (answer) || error == HPE_HEADER_OVERFLOW)
    answer->state = H1_ANSWER_ENDLESS;
  else if (answer->state == H1_ANSWER_READING
           && (taken != bytes_count || error != HPE_OK))
    answer->state = H1_ANSWER_GARBLED;
}

enum h1_answer_state
h1_answer_read (struct h1_answer *answer, const char *bytes,
                size_t bytes_count)
{
  while (bytes_count > 0 && answer->state == H1_ANSWER_READING)
    {
      size_t part = bytes_count;

      if (!answer->has_head || answer->chunked)
        part = grammar_take (&answer->grammar, bytes, bytes_count);
      if (part > 0)
        answer_parse (answer, bytes, part);
      else
        answer->state = H1_ANSWER_GARBLED;
      bytes += part;
      bytes_count -= part;
    }
  return answer->state;
}

enum h1_answer_state
h1_answer_end (struct h1_answer *answer)
{
  if (answer->state == H1_ANSWER_READING)
    http_parser_execute (&answer->parser, &parser_settings, NULL, 0);
  return answer->state;
}

bool
h1_answer_in_head (const struct h1_answer *answer)
{
  return answer->in_head;
}

uint64_t
h1_answer_read_bytes (const struct h1_answer *answer)
{
  return answer->read_bytes;
}

uint64_t
h1_answer_body_bytes (const struct h1_answer *answer)
{
  return answer->body_bytes;
}
