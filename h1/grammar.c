#include "grammar.h"

#include <glib.h>
#include <string.h>

#define VERSION "HTTP/1."
#define STATUS_DIGITS 3

void
grammar_begin_head (struct answer_grammar *g)
{
  *g = (struct answer_grammar){ .state = GRAMMAR_VERSION };
}

void
grammar_begin_chunks (struct answer_grammar *g)
{
  *g = (struct answer_grammar){ .state = GRAMMAR_CHUNK_SIZE };
}

/* tchar */
static bool
is_token (unsigned char c)
{
  return g_ascii_isalnum (c)
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

/* What a value, a reason or an extension is made of. */
static bool
is_text (unsigned char c)
{
  return c == '\t' || (c >= ' ' && c != 0x7f);
}

/* Empty lines in front of a head are passed over, as the parser does. */
static enum grammar_state
take_version (struct answer_grammar *g, unsigned char c)
{
  if (g->count == 0 && (c == '\r' || c == '\n'))
    return GRAMMAR_VERSION;
  if (g->count < strlen (VERSION))
    return (char)c == VERSION[g->count++] ? GRAMMAR_VERSION : GRAMMAR_BROKEN;
  g->count = 0;
  return g_ascii_isdigit (c) ? GRAMMAR_VERSION_END : GRAMMAR_BROKEN;
}

/* A status is one of 100 to 599. */
static enum grammar_state
take_status (struct answer_grammar *g, unsigned char c)
{
  if (!g_ascii_isdigit (c) || (g->count == 0 && (c < '1' || c > '5')))
    return GRAMMAR_BROKEN;
  return ++g->count < STATUS_DIGITS ? GRAMMAR_STATUS : GRAMMAR_STATUS_END;
}

/* Within a line of text, which ends with CR LF or, as a reader may allow, with
 * LF alone. */
static enum grammar_state
take_text (unsigned char c, enum grammar_state text)
{
  if (c == '\r')
    return GRAMMAR_LINE_END;
  if (c == '\n')
    return GRAMMAR_LINE;
  return is_text (c) ? text : GRAMMAR_BROKEN;
}

/* Without a reason the blank behind the status is often left out. */
static enum grammar_state
take_status_end (unsigned char c)
{
  if (c == ' ')
    return GRAMMAR_REASON;
  return c == '\r' || c == '\n' ? take_text (c, GRAMMAR_REASON)
                                : GRAMMAR_BROKEN;
}

static enum grammar_state
take_line (struct answer_grammar *g, unsigned char c)
{
  if (c == '\r')
    return GRAMMAR_LAST_LINE_END;
  if (c == '\n')
    return GRAMMAR_WHOLE;
  if (c == ' ' || c == '\t')
    return g->has_field ? GRAMMAR_VALUE : GRAMMAR_BROKEN;
  g->has_field = true;
  return is_token (c) ? GRAMMAR_NAME : GRAMMAR_BROKEN;
}

static enum grammar_state
take_name (unsigned char c)
{
  if (c == ':')
    return GRAMMAR_VALUE;
  return is_token (c) ? GRAMMAR_NAME : GRAMMAR_BROKEN;
}

static enum grammar_state
take_chunk_size (struct answer_grammar *g, unsigned char c)
{
  if (g_ascii_isxdigit (c) && g->chunk_bytes <= UINT64_MAX >> 4)
    {
      g->count++;
      g->chunk_bytes
          = g->chunk_bytes << 4 | (uint64_t)g_ascii_xdigit_value (c);
      return GRAMMAR_CHUNK_SIZE;
    }
  if (g->count == 0)
    return GRAMMAR_BROKEN;
  if (c == '\r')
    return GRAMMAR_CHUNK_SIZE_END;
  return c == ';' || c == ' ' || c == '\t' ? GRAMMAR_CHUNK_EXTENSION
                                           : GRAMMAR_BROKEN;
}

static enum grammar_state
take_chunk_extension (unsigned char c)
{
  if (c == '\r')
    return GRAMMAR_CHUNK_SIZE_END;
  return is_text (c) ? GRAMMAR_CHUNK_EXTENSION : GRAMMAR_BROKEN;
}

/* The last chunk has no data; the trailer's fields follow. */
static enum grammar_state
take_chunk_size_end (struct answer_grammar *g, unsigned char c)
{
  g->count = 0;
  if (c != '\n')
    return GRAMMAR_BROKEN;
  return g->chunk_bytes > 0 ? GRAMMAR_CHUNK_DATA : GRAMMAR_LINE;
}

static enum grammar_state
take_byte (struct answer_grammar *g, unsigned char c)
{
  switch (g->state)
    {
    case GRAMMAR_VERSION:
      return take_version (g, c);
    case GRAMMAR_VERSION_END:
      return c == ' ' ? GRAMMAR_STATUS : GRAMMAR_BROKEN;
    case GRAMMAR_STATUS:
      return take_status (g, c);
    case GRAMMAR_STATUS_END:
      return take_status_end (c);
    case GRAMMAR_REASON:
      return take_text (c, GRAMMAR_REASON);
    case GRAMMAR_LINE_END:
      return c == '\n' ? GRAMMAR_LINE : GRAMMAR_BROKEN;
    case GRAMMAR_LINE:
      return take_line (g, c);
    case GRAMMAR_NAME:
      return take_name (c);
    case GRAMMAR_VALUE:
      return take_text (c, GRAMMAR_VALUE);
    case GRAMMAR_LAST_LINE_END:
      return c == '\n' ? GRAMMAR_WHOLE : GRAMMAR_BROKEN;
    case GRAMMAR_CHUNK_SIZE:
      return take_chunk_size (g, c);
    case GRAMMAR_CHUNK_EXTENSION:
      return take_chunk_extension (c);
    case GRAMMAR_CHUNK_SIZE_END:
      return take_chunk_size_end (g, c);
    case GRAMMAR_CHUNK_DATA_CR:
      return c == '\r' ? GRAMMAR_CHUNK_DATA_LF : GRAMMAR_BROKEN;
    case GRAMMAR_CHUNK_DATA_LF:
      return c == '\n' ? GRAMMAR_CHUNK_SIZE : GRAMMAR_BROKEN;
    default:
      return GRAMMAR_BROKEN;
    }
}

static size_t
take_chunk_data (struct answer_grammar *g, size_t bytes_count)
{
  size_t taken = (size_t)MIN (g->chunk_bytes, bytes_count);

  g->chunk_bytes -= taken;
  if (g->chunk_bytes == 0)
    g->state = GRAMMAR_CHUNK_DATA_CR;
  return taken;
}

size_t
grammar_take (struct answer_grammar *g, const char *bytes, size_t bytes_count)
{
  size_t taken = 0;

  while (taken < bytes_count && g->state != GRAMMAR_WHOLE)
    {
      if (g->state == GRAMMAR_CHUNK_DATA)
        {
          taken += take_chunk_data (g, bytes_count - taken);
          continue;
        }
      g->state = take_byte (g, (unsigned char)bytes[taken]);
      if (g->state == GRAMMAR_BROKEN)
        break;
      taken++;
    }
  return taken;
}
