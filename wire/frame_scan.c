#include "frame_scan.h"

/* The decoder allocates a container from its declared count, before it has
   seen one element: five bytes that declare an array of 2^32 values would
   take 100 GB and end the process.  The scan refuses counts that the body
   cannot hold, so that the decoder's memory is bounded by the body's size. */

/** What one value's first bytes say. */
struct item
{
  uint64_t skip;     /**< bytes of the value itself, its head included */
  uint64_t children; /**< values nested in it */
  bool container;
};

struct scan
{
  const uint8_t *bytes;
  size_t left;
};

/** Read a big-endian number of WIDTH bytes after the type byte. */
static bool
read_number (const struct scan *s, uint32_t width, uint64_t *number)
{
  if (s->left < 1U + width)
    return false;
  *number = 0;
  for (uint32_t i = 1; i <= width; i++)
    *number = *number << 8 | s->bytes[i];
  return true;
}

/** A string, binary or extension value with a length of WIDTH bytes. */
static bool
item_sized (const struct scan *s, uint32_t width, uint32_t extra,
            struct item *item)
{
  uint64_t length;

  if (!read_number (s, width, &length))
    return false;
  item->skip = 1 + width + extra + length;
  return true;
}

/** An array or map with a count of WIDTH bytes. */
static bool
item_container (const struct scan *s, uint32_t width, uint32_t per_element,
                struct item *item)
{
  uint64_t count;

  if (!read_number (s, width, &count))
    return false;
  item->skip = 1 + width;
  item->children = count * per_element;
  item->container = true;
  return true;
}

static void
item_small_container (uint32_t children, struct item *item)
{
  item->skip = 1;
  item->children = children;
  item->container = true;
}

/** Types 0xc0 to 0xdf, which have a code of their own. */
static bool
item_coded (const struct scan *s, uint8_t code, struct item *item)
{
  static const uint8_t fixed[32] = {
    [0x00] = 1,  [0x02] = 1, [0x03] = 1,              /* nil, false, true */
    [0x0a] = 5,  [0x0b] = 9,                          /* floats */
    [0x0c] = 2,  [0x0d] = 3, [0x0e] = 5, [0x0f] = 9,  /* unsigned */
    [0x10] = 2,  [0x11] = 3, [0x12] = 5, [0x13] = 9,  /* signed */
    [0x14] = 3,  [0x15] = 4, [0x16] = 6, [0x17] = 10, /* fixed extensions */
    [0x18] = 18,
  };

  switch (code)
    {
    case 0xc4:
    case 0xd9:
      return item_sized (s, 1, 0, item);
    case 0xc5:
    case 0xda:
      return item_sized (s, 2, 0, item);
    case 0xc6:
    case 0xdb:
      return item_sized (s, 4, 0, item);
    case 0xc7:
      return item_sized (s, 1, 1, item);
    case 0xc8:
      return item_sized (s, 2, 1, item);
    case 0xc9:
      return item_sized (s, 4, 1, item);
    case 0xdc:
      return item_container (s, 2, 1, item);
    case 0xdd:
      return item_container (s, 4, 1, item);
    case 0xde:
      return item_container (s, 2, 2, item);
    case 0xdf:
      return item_container (s, 4, 2, item);
    default:
      item->skip = fixed[code - 0xc0];
      return item->skip != 0;
    }
}

static bool
item_read (const struct scan *s, struct item *item)
{
  uint8_t code = s->bytes[0];

  *item = (struct item){ .skip = 1 };
  if (code < 0x80 || code >= 0xe0)
    return true;
  if (code < 0x90)
    item_small_container (2U * (code & 0x0f), item);
  else if (code < 0xa0)
    item_small_container (code & 0x0f, item);
  else if (code < 0xc0)
    item->skip = 1U + (code & 0x1f);
  else
    return item_coded (s, code, item);
  return true;
}

bool
frame_scan (const uint8_t *bytes, size_t bytes_count, uint32_t depth_max,
            uint32_t values_max)
{
  struct scan s = { bytes, bytes_count };
  uint64_t waiting[64] = { 1 };
  uint32_t depth = 0;
  uint64_t values = 0;

  if (depth_max >= 64)
    return false;
  for (;;)
    {
      struct item item;

      while (waiting[depth] == 0)
        {
          if (depth == 0)
            return s.left == 0;
          depth--;
        }
      if (s.left == 0 || !item_read (&s, &item) || item.skip > s.left)
        return false;
      waiting[depth]--;
      s.bytes += item.skip;
      s.left -= item.skip;
      if (++values > values_max || item.children > s.left)
        return false;
      if (!item.container)
        continue;
      if (depth == depth_max)
        return false;
      waiting[++depth] = item.children;
    }
}
