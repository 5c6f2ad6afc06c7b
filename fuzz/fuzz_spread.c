/** @file
 * Entries and snapshots of the accepted configuration, as the platform or a
 * peer may send them.
 */
#include <stdlib.h>

#include "beryl/config_log.h"
#include "fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct beryl_config_log *spread = beryl_config_log_create ();
  struct beryl_error error = { 0 };
  size_t bytes;

  beryl_config_log_apply (spread, (const char *)data, size, &error);
  beryl_config_log_load (spread, (const char *)data, size, &error);
  free (beryl_config_log_snapshot (spread, &bytes));
  free (beryl_config_log_objects (spread, &bytes));
  beryl_config_log_destroy (spread);
  return 0;
}
