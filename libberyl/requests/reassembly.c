#include "reassembly.h"

#include <stdlib.h>
#include <string.h>

#include "../base/guard.h"

struct piece
{
  struct piece *next;
  uint64_t offset;
  size_t bytes_count;
  uint32_t tokens;
  char bytes[];
};

/* A resumed or reordered stream may repeat bytes, which would show as repeated
 * text.  Only bytes from offset NEXT on are delivered. */
static void
deliver (struct reassembly *reassembly, uint64_t offset, const char *bytes,
         size_t bytes_count, uint32_t tokens, reassembly_sink sink, void *data)
{
  uint64_t end = offset + bytes_count;
  size_t delivered = 0;

  if (offset < reassembly->next)
    delivered = (size_t)(reassembly->next - offset);
  if (delivered > bytes_count)
    delivered = bytes_count;
  if (!BERYL_GUARD (BERYL_GUARD_OFFSET_DEDUPE, delivered == 0))
    {
      bytes += delivered;
      bytes_count -= delivered;
    }
  if (bytes_count == 0)
    return;
  reassembly->next = end > reassembly->next ? end : reassembly->next;
  sink (data, bytes, bytes_count, tokens);
}

static bool
buffer_piece (struct reassembly *reassembly, uint64_t offset,
              const void *bytes, size_t bytes_count, uint32_t tokens)
{
  struct piece **at = &reassembly->buffered;
  struct piece *piece;

  if (reassembly->buffered_bytes + bytes_count > REASSEMBLY_BUFFER_MAX_BYTES)
    return false;
  piece = malloc (sizeof *piece + bytes_count);
  if (piece == NULL)
    return false;
  while (*at != NULL && (*at)->offset < offset)
    at = &(*at)->next;
  piece->next = *at;
  piece->offset = offset;
  piece->bytes_count = bytes_count;
  piece->tokens = tokens;
  memcpy (piece->bytes, bytes, bytes_count);
  *at = piece;
  reassembly->buffered_bytes += bytes_count;
  return true;
}

bool
reassembly_add (struct reassembly *reassembly, uint64_t offset,
                const void *bytes, size_t bytes_count, uint32_t tokens,
                reassembly_sink sink, void *data)
{
  struct piece *piece;

  if (bytes_count == 0)
    return true;
  if (!BERYL_GUARD (BERYL_GUARD_OFFSET_ORDER, offset <= reassembly->next))
    return buffer_piece (reassembly, offset, bytes, bytes_count, tokens);
  deliver (reassembly, offset, bytes, bytes_count, tokens, sink, data);
  while ((piece = reassembly->buffered) != NULL
         && piece->offset <= reassembly->next)
    {
      reassembly->buffered = piece->next;
      reassembly->buffered_bytes -= piece->bytes_count;
      deliver (reassembly, piece->offset, piece->bytes, piece->bytes_count,
               piece->tokens, sink, data);
      free (piece);
    }
  return true;
}

void
reassembly_discard_buffered (struct reassembly *reassembly)
{
  struct piece *piece;

  while ((piece = reassembly->buffered) != NULL)
    {
      reassembly->buffered = piece->next;
      free (piece);
    }
  reassembly->buffered_bytes = 0;
}
