/** @file
 * Contents of a history, for its own files.
 */
#ifndef TESTS_HISTORY_PRIVATE_H
#define TESTS_HISTORY_PRIVATE_H

#include "history.h"

/** Jobs by id, and events in order of time. */
struct history
{
  struct history_job *jobs;
  size_t job_count;
  struct history_event *events;
  size_t event_count;
  size_t event_capacity;
};

#endif
