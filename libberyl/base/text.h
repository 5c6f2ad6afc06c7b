/** @file
 * Checks of text.
 */
#ifndef BERYL_BASE_TEXT_H
#define BERYL_BASE_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/** Return whether COUNT bytes are UTF-8 (RFC 3629) without NUL. */
bool text_is_utf8 (const char *bytes, size_t count);

#endif
