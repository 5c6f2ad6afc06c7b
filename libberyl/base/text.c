#include "text.h"

#include <stdint.h>

/* Returns the length of the character at BYTES, of which there are COUNT; 0 if
   there is none. Overlong forms, surrogates and numbers beyond U+10FFFF are no
   characters. */
static size_t
character_length (const unsigned char *bytes, size_t count)
{
  uint32_t code = bytes[0];
  size_t length;

  if (code < 0x80)
    return code != 0;
  if (code >= 0xc2 && code < 0xe0)
    length = 2;
  else if (code >= 0xe0 && code < 0xf0)
    length = 3;
  else if (code >= 0xf0 && code < 0xf5)
    length = 4;
  else
    return 0;
  if (length > count)
    return 0;
  code &= 0x7fU >> length;
  for (size_t i = 1; i < length; i++)
    {
      if ((bytes[i] & 0xc0) != 0x80)
        return 0;
      code = code << 6 | (bytes[i] & 0x3f);
    }
  if ((length == 3 && code < 0x800) || (length == 4 && code < 0x10000)
      || (code >= 0xd800 && code < 0xe000) || code > 0x10ffff)
    return 0;
  return length;
}

bool
text_is_utf8 (const char *bytes, size_t count)
{
  size_t at = 0;

  while (at < count)
    {
      size_t length
          = character_length ((const unsigned char *)bytes + at, count - at);

      if (length == 0)
        return false;
      at += length;
    }
  return true;
}
