/** @file
 * Bodies of callers' requests.
 */
#include "completion_parse.h"
#include "fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  for (int chat = 0; chat < 2; chat++)
    {
      struct completion completion = { 0 };

      if (completion_parse (data, size, chat == 1, &completion, NULL))
        completion_clear (&completion);
    }
  return 0;
}
