/** @file
 * The entry of a fuzz harness, called by libFuzzer or by replay.c.
 */
#ifndef FUZZ_FUZZ_H
#define FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/** Handle one input; returns 0.  A crash or sanitizer report is a finding. */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#endif
