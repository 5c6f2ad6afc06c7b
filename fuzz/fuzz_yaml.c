/** @file
 * YAML files of settings and objects.
 */
#include "common/yaml.h"
#include "fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct beryl_findings *findings = beryl_findings_create ();

  yaml_file_destroy (
      yaml_file_parse ("input", (const char *)data, size, findings));
  beryl_findings_destroy (findings);
  return 0;
}
