#include <inttypes.h>
#include <stdio.h>

#include "history.h"
#include "history_private.h"

static const char *const type_names[] = {
  [HISTORY_SENT] = "sent",
  [HISTORY_DATA] = "data",
  [HISTORY_COMPLETED] = "completed",
  [HISTORY_TRUNCATED] = "truncated",
  [HISTORY_ERROR] = "error",
  [HISTORY_CALLER_CLOSED] = "closed",
  [HISTORY_CONNECTION_LOST] = "connection-lost",
  [HISTORY_NO_ANSWER] = "no-answer",
  [HISTORY_RUN] = "run",
  [HISTORY_HOLD_LEAKED] = "hold-leaked",
  [HISTORY_HOLD_UNREPORTED] = "hold-unreported",
  [HISTORY_ENDPOINT_LEAVING] = "leaving",
  [HISTORY_LIVE_NODE_CANCELLED] = "live-node-cancelled",
  [HISTORY_NOTE] = "note",
};

void
history_print (const struct history *history)
{
  for (size_t i = 0; i < history->event_count; i++)
    {
      const struct history_event *e = &history->events[i];

      printf ("%8" PRIi64 " %-19s", e->at_ms, type_names[e->type]);
      if (e->type != HISTORY_NOTE && e->type != HISTORY_ENDPOINT_LEAVING)
        printf (" job=%u attempt=%u", e->job, e->attempt);
      if (e->type == HISTORY_RUN || e->type == HISTORY_ENDPOINT_LEAVING)
        printf (" endpoint=%u", e->endpoint);
      if (e->type == HISTORY_ERROR)
        printf (" %s %s", beryl_problem_name (e->problem),
                beryl_outcome_name (e->outcome));
      if (e->text != NULL)
        printf (" %s", e->text);
      printf ("\n");
    }
}
