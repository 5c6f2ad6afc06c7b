/** @file
 * Frames and every message in them, as a peer or a stranger may send them.
 */
#include <stdlib.h>

#include "fuzz.h"
#include "wire/gossip.h"
#include "wire/local.h"
#include "wire/peer.h"

/** A fresh frame for each reader: a failed one stays failed. */
static struct frame *
frame_again (const uint8_t *data, size_t size)
{
  return frame_parse (data, size, NULL);
}

static void
read_gossip (const uint8_t *data, size_t size)
{
  struct frame *frame = frame_again (data, size);
  struct beryl_gossip message;
  size_t count;
  uint64_t number;

  gossip_read (frame, &message);
  free (gossip_read_members (frame, &count));
  gossip_read_number (frame, &number);
  gossip_read_text (frame, &count);
  frame_destroy (frame);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct frame *frame = frame_again (data, size);
  struct local_message local;
  struct peer_message peer;

  if (frame == NULL)
    return 0;
  read_gossip (data, size);
  local_read (frame, &local);
  local_message_clear (&local);
  frame_destroy (frame);
  frame = frame_again (data, size);
  peer_read (frame, &peer);
  frame_destroy (frame);
  return 0;
}
