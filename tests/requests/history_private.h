/** @file
 * The inside of a history.
 */
#ifndef TESTS_HISTORY_PRIVATE_H
#define TESTS_HISTORY_PRIVATE_H

#include "history.h"

/** Jobs and events, in the order of time. */
struct history
{
  struct history_job *jobs;
  size_t job_count;
  struct history_event *events;
  size_t event_count;
  size_t event_capacity;
};

#endif
