#include <inttypes.h>
#include <stdio.h>

#include "history.h"
#include "history_private.h"

static const char *const type_names[] = {
  [HISTORY_ASKED] = "asked",     [HISTORY_BYTES] = "bytes",
  [HISTORY_ENDED] = "ended",     [HISTORY_CUT] = "cut",
  [HISTORY_TOLD] = "told",       [HISTORY_LEFT] = "left",
  [HISTORY_BROKEN] = "broken",   [HISTORY_LATE] = "late",
  [HISTORY_RUN] = "run",         [HISTORY_HELD] = "held",
  [HISTORY_UNTOLD] = "untold",   [HISTORY_LEAVING] = "leaving",
  [HISTORY_CLEANED] = "cleaned", [HISTORY_NODE] = "node",
};

void
history_print (const struct history *history)
{
  for (size_t i = 0; i < history->event_count; i++)
    {
      const struct history_event *e = &history->events[i];

      printf ("%8" PRIi64 " %-8s", e->at_ms, type_names[e->type]);
      if (e->type != HISTORY_NODE && e->type != HISTORY_LEAVING)
        printf (" job=%u try=%u", e->job, e->attempt);
      if (e->type == HISTORY_RUN || e->type == HISTORY_LEAVING)
        printf (" endpoint=%u", e->endpoint);
      if (e->type == HISTORY_TOLD)
        printf (" %s %s", beryl_problem_name (e->problem),
                beryl_outcome_name (e->outcome));
      if (e->text != NULL)
        printf (" %s", e->text);
      printf ("\n");
    }
}
