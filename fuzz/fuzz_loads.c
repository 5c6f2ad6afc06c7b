/** @file
 * Datagrams in which nodes tell of their runs at engines.  What is understood
 * is written and read again, and must be the same, less the runs that no
 * datagram holds.
 */
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "wire/loads.h"

/* So many always fit beside whatever else a message has. */
#define RUNS_THAT_FIT 8

static bool
same_runs (const struct loads_message *message,
           const struct loads_message *again)
{
  size_t least = message->run_count < RUNS_THAT_FIT ? message->run_count : 0;

  return again->run_count >= least && again->run_count <= message->run_count
         && memcmp (again->runs, message->runs,
                    again->run_count * sizeof *again->runs)
                == 0;
}

static void
write_and_compare (const struct loads_message *message)
{
  static struct loads_message again;
  struct frame_writer *writer = frame_writer_create (LOADS_DATAGRAM);
  struct frame *frame;
  const void *bytes;
  size_t count;

  loads_put (writer, message);
  bytes = frame_writer_finish (writer, &count);
  frame = frame_parse (bytes, count, NULL);
  if (frame == NULL || !loads_read (frame, &again)
      || strcmp (again.from, message->from) != 0
      || !same_runs (message, &again)
      || memcmp (&again.asks, &message->asks, sizeof again.asks) != 0
      || memcmp (&again.loans, &message->loans, sizeof again.loans) != 0
      || memcmp (&again.quotas, &message->quotas, sizeof again.quotas) != 0
      || memcmp (&again.news, &message->news, sizeof again.news) != 0)
    abort ();
  frame_destroy (frame);
  frame_writer_destroy (writer);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static struct loads_message message;
  struct frame *frame = frame_parse (data, size, NULL);

  if (frame == NULL)
    return 0;
  if (loads_read (frame, &message))
    write_and_compare (&message);
  frame_destroy (frame);
  return 0;
}
