/** @file
 * Reads an answer's server-sent events as they come.
 */
#ifndef LOAD_SSE_H
#define LOAD_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct sse;

/** Called for each event's data, without its line end. */
typedef void sse_cb (const char *data, void *user);

struct sse *sse_create (sse_cb *cb, void *user);
void sse_destroy (struct sse *sse);

/** Take bytes in pieces of any size. */
void sse_feed (struct sse *sse, const void *bytes, size_t bytes_count);

#endif
