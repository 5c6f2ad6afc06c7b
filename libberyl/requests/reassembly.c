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

/* A resumed or reordered stream sends bytes again; delivering them twice
 * would show as repeated text.  Only what lies beyond NEXT is handed on. */
static void
deliver (struct reassembly *reassembly, uint64_t offset, const char *bytes,
         size_t bytes_count, uint32_t tokens, reassembly_sink sink, void *data)
{
  uint64_t end = offset + bytes_count;
  size_t seen = 0;

  if (offset < reassembly->next)
    seen = (size_t)(reassembly->next - offset);
  if (seen > bytes_count)
    seen = bytes_count;
  if (!BERYL_GUARD (BERYL_GUARD_OFFSET_DEDUPE, seen == 0))
    {
      bytes += seen;
      bytes_count -= seen;
    }
  if (bytes_count == 0)
    return;
  reassembly->next = end > reassembly->next ? end : reassembly->next;
  sink (data, bytes, bytes_count, tokens);
}

static bool
keep_early (struct reassembly *reassembly, uint64_t offset, const void *bytes,
            size_t bytes_count, uint32_t tokens)
{
  struct piece **at = &reassembly->early;
  struct piece *piece;

  if (reassembly->early_bytes + bytes_count > REASSEMBLY_EARLY_BYTES)
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
  reassembly->early_bytes += bytes_count;
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
    return keep_early (reassembly, offset, bytes, bytes_count, tokens);
  deliver (reassembly, offset, bytes, bytes_count, tokens, sink, data);
  while ((piece = reassembly->early) != NULL
         && piece->offset <= reassembly->next)
    {
      reassembly->early = piece->next;
      reassembly->early_bytes -= piece->bytes_count;
      deliver (reassembly, piece->offset, piece->bytes, piece->bytes_count,
               piece->tokens, sink, data);
      free (piece);
    }
  return true;
}

void
reassembly_drop_early (struct reassembly *reassembly)
{
  struct piece *piece;

  while ((piece = reassembly->early) != NULL)
    {
      reassembly->early = piece->next;
      free (piece);
    }
  reassembly->early_bytes = 0;
}
