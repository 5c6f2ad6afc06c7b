#include "events.h"

#include <stdlib.h>
#include <string.h>

#include "../base/text.h"

/* Memory that is kept for the next events; a burst of them may need more. */
#define KEPT_BYTES 4096

bool
event_splitter_add (struct event_splitter *s, const char *bytes, size_t count)
{
  return s->pending.count + count <= EVENT_MAX_BYTES
         && buffer_append (&s->pending, bytes, count);
}

/* Returns the length of the first event, including its empty line; 0 if it is
   incomplete. Lines end in LF or CR LF. */
static size_t
event_length (struct event_splitter *s)
{
  const char *bytes = s->pending.bytes;
  size_t count = s->pending.count;

  for (size_t i = s->scanned; i < count; i++)
    {
      size_t before = i;

      if (bytes[i] != '\n')
        continue;
      if (before > 0 && bytes[before - 1] == '\r')
        before--;
      if (before > 0 && bytes[before - 1] == '\n')
        return i + 1;
    }
  /* The search goes on at the last two bytes; the bytes before them end no
     event. */
  s->scanned = count > 2 ? count - 2 : 0;
  return 0;
}

/* Parses a decimal number that takes up all of TEXT. */
static bool
read_number (const char *text, size_t count, uint64_t *number)
{
  *number = 0;
  if (count == 0 || count > 19)
    return false;
  for (size_t i = 0; i < count; i++)
    {
      if (text[i] < '0' || text[i] > '9')
        return false;
      *number = *number * 10 + (uint64_t)(text[i] - '0');
    }
  return true;
}

/* A line without a colon is a field without a value. */
static bool
is_field (const char *line, size_t length, const char *name)
{
  size_t name_length = strlen (name);

  return length >= name_length && memcmp (line, name, name_length) == 0
         && (length == name_length || line[name_length] == ':');
}

static void
set_fault (struct event *event, enum event_fault fault)
{
  if (event->fault == EVENT_OK)
    event->fault = fault;
}

static void
read_id (struct event *event, const char *line, size_t length)
{
  size_t skip = length > 3 && line[3] == ' ' ? 4 : 3;

  if (event->has_id || length <= skip
      || !read_number (line + skip, length - skip, &event->id))
    set_fault (event, EVENT_BAD_ID);
  event->has_id = event->fault != EVENT_BAD_ID;
}

static void
read_line (struct event *event, const char *line, size_t length,
           const char *extra_field)
{
  if (length == 0 || line[0] == ':' || is_field (line, length, "retry"))
    return;
  event->is_comment = false;
  if (is_field (line, length, "id"))
    read_id (event, line, length);
  else if (is_field (line, length, "data"))
    event->has_data = true;
  else if (!is_field (line, length, "event")
           && (extra_field == NULL || !is_field (line, length, extra_field)))
    set_fault (event, EVENT_UNKNOWN_FIELD);
}

static void
read_lines (struct event *event, const char *extra_field)
{
  const char *line = event->bytes;
  const char *end = event->bytes + event->count;

  while (line < end)
    {
      const char *stop = memchr (line, '\n', (size_t)(end - line));
      size_t length = (size_t)((stop != NULL ? stop : end) - line);

      if (length > 0 && line[length - 1] == '\r')
        length--;
      /* A CR alone would end a line at the caller. */
      if (!text_is_utf8 (line, length) || memchr (line, '\r', length) != NULL)
        set_fault (event, EVENT_NOT_TEXT);
      read_line (event, line, length, extra_field);
      if (stop == NULL)
        break;
      line = stop + 1;
    }
}

/* The number of bytes of empty lines at the start. */
static size_t
empty_lines (const char *bytes, size_t count)
{
  size_t i = 0;

  while (i < count
         && (bytes[i] == '\n'
             || (bytes[i] == '\r' && i + 1 < count && bytes[i + 1] == '\n')))
    i++;
  return i;
}

static void
read_event (struct event *event, const char *extra_field)
{
  size_t skip = empty_lines (event->bytes, event->count);

  event->bytes += skip;
  event->count -= skip;
  event->is_comment = true;
  read_lines (event, extra_field);
  if (event->is_comment)
    return;
  if (!event->has_id)
    set_fault (event, EVENT_WITHOUT_ID);
  if (!event->has_data)
    set_fault (event, EVENT_WITHOUT_DATA);
}

bool
event_splitter_next (struct event_splitter *s, struct event *event)
{
  size_t length;

  *event = (struct event){ 0 };
  if (s->consumed > 0)
    {
      memmove (s->pending.bytes, s->pending.bytes + s->consumed,
               s->pending.count - s->consumed);
      s->pending.count -= s->consumed;
      s->consumed = 0;
      s->scanned = 0;
    }
  if (s->pending.count == 0 && s->pending.capacity > KEPT_BYTES)
    buffer_clear (&s->pending);
  length = event_length (s);
  if (length == 0)
    return false;
  event->bytes = s->pending.bytes;
  event->count = length;
  s->consumed = length;
  read_event (event, s->extra_field);
  return true;
}

bool
event_splitter_partial (const struct event_splitter *s)
{
  size_t rest = s->pending.count - s->consumed;

  return rest > 0 && empty_lines (s->pending.bytes + s->consumed, rest) < rest;
}

void
event_splitter_clear (struct event_splitter *s)
{
  buffer_clear (&s->pending);
  s->scanned = 0;
  s->consumed = 0;
}
