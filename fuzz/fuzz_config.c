/** @file
 * Configuration objects, as operators write them into the object API.
 */
#include "beryl/config.h"
#include "fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct beryl_findings *findings = beryl_findings_create ();

  beryl_config_destroy (
      beryl_config_parse ((const char *)data, size, 1, findings));
  beryl_config_check_object ((const char *)data, size, findings);
  beryl_findings_destroy (findings);
  return 0;
}
