#include "beryl/revision.h"

#include <inttypes.h>
#include <stdio.h>

const char *
beryl_revision_text (uint64_t position, char text[BERYL_REVISION_TEXT_BYTES])
{
  uint64_t era = beryl_revision_era (position);
  uint64_t number = beryl_revision_number (position);

  if (era == 0)
    snprintf (text, BERYL_REVISION_TEXT_BYTES, "%" PRIu64, number);
  else
    snprintf (text, BERYL_REVISION_TEXT_BYTES, "%" PRIu64 ":%" PRIu64, era,
              number);
  return text;
}
