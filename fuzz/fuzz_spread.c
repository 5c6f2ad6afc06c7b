/** @file
 * Entries and snapshots of the accepted configuration, as the platform or a
 * peer may send them.
 */
#include <stdlib.h>

#include "beryl/spread.h"
#include "fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct beryl_spread *spread = beryl_spread_create ();
  struct beryl_error error = { 0 };
  size_t bytes;

  beryl_spread_apply (spread, (const char *)data, size, &error);
  beryl_spread_load (spread, (const char *)data, size, &error);
  free (beryl_spread_snapshot (spread, &bytes));
  free (beryl_spread_objects (spread, &bytes));
  beryl_spread_destroy (spread);
  return 0;
}
