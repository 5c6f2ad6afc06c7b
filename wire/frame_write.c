#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "wire/frame.h"

/** Bytes of a map or array header with a 16-bit count. */
#define CONTAINER_HEADER_BYTES 3
#define CONTAINER_COUNT_MAX 65535
#define MSGPACK_MAP16 0xde
#define MSGPACK_ARRAY16 0xdc

/** An open map or array; its count is patched when it ends. */
struct container
{
  size_t header_at;
  uint32_t count;
  bool is_map;
};

struct frame_writer
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  uint16_t type;
  struct container open[FRAME_DEPTH_MAX];
  uint32_t depth;
  uint32_t values;
  bool failed;
  bool finished;
};

/** Write the header of a container whose count is not known yet. */
static void
container_begin (struct frame_writer *w, bool is_map)
{
  unsigned char header[CONTAINER_HEADER_BYTES]
      = { is_map ? MSGPACK_MAP16 : MSGPACK_ARRAY16, 0, 0 };

  if (w->depth == FRAME_DEPTH_MAX)
    {
      w->failed = true;
      return;
    }
  w->open[w->depth].header_at = w->buffer.size;
  w->open[w->depth].count = 0;
  w->open[w->depth].is_map = is_map;
  w->depth++;
  msgpack_sbuffer_write (&w->buffer, (const char *)header, sizeof header);
}

static void
container_end (struct frame_writer *w)
{
  struct container *c = &w->open[--w->depth];
  unsigned char *header = (unsigned char *)w->buffer.data + c->header_at;

  header[1] = (unsigned char)(c->count >> 8);
  header[2] = (unsigned char)c->count;
}

/** Count a field of the open container and write its key; false if nothing
 * may be added. */
static bool
field_begin (struct frame_writer *w, uint32_t key)
{
  struct container *c;

  if (w->failed || w->finished)
    return false;
  c = &w->open[w->depth - 1];
  w->values += c->is_map ? 2 : 1;
  if (c->count == CONTAINER_COUNT_MAX || w->values > FRAME_VALUES_MAX)
    {
      w->failed = true;
      return false;
    }
  c->count++;
  if (c->is_map)
    msgpack_pack_uint32 (&w->packer, key);
  return true;
}

void
frame_writer_reset (struct frame_writer *w, uint16_t type)
{
  static const char header[FRAME_HEADER_BYTES];

  msgpack_sbuffer_clear (&w->buffer);
  msgpack_sbuffer_write (&w->buffer, header, sizeof header);
  w->type = type;
  w->depth = 0;
  w->values = 1;
  w->failed = false;
  w->finished = false;
  container_begin (w, true);
}

struct frame_writer *
frame_writer_create (uint16_t type)
{
  struct frame_writer *w = calloc (1, sizeof *w);

  msgpack_sbuffer_init (&w->buffer);
  msgpack_packer_init (&w->packer, &w->buffer, msgpack_sbuffer_write);
  frame_writer_reset (w, type);
  return w;
}

void
frame_writer_destroy (struct frame_writer *w)
{
  if (!w)
    return;
  msgpack_sbuffer_destroy (&w->buffer);
  free (w);
}

void
frame_put_uint (struct frame_writer *w, uint32_t key, uint64_t value)
{
  if (field_begin (w, key))
    msgpack_pack_uint64 (&w->packer, value);
}

void
frame_put_int (struct frame_writer *w, uint32_t key, int64_t value)
{
  if (field_begin (w, key))
    msgpack_pack_int64 (&w->packer, value);
}

void
frame_put_bool (struct frame_writer *w, uint32_t key, bool value)
{
  if (!field_begin (w, key))
    return;
  if (value)
    msgpack_pack_true (&w->packer);
  else
    msgpack_pack_false (&w->packer);
}

void
frame_put_double (struct frame_writer *w, uint32_t key, double value)
{
  if (field_begin (w, key))
    msgpack_pack_double (&w->packer, value);
}

void
frame_put_string (struct frame_writer *w, uint32_t key, const char *value)
{
  size_t bytes = value ? strlen (value) : 0;

  if (!field_begin (w, key))
    return;
  msgpack_pack_str (&w->packer, bytes);
  if (bytes)
    msgpack_pack_str_body (&w->packer, value, bytes);
}

void
frame_put_bytes (struct frame_writer *w, uint32_t key, const void *bytes,
                 size_t bytes_count)
{
  if (bytes_count > FRAME_BODY_MAX_BYTES)
    {
      w->failed = true;
      return;
    }
  if (!field_begin (w, key))
    return;
  msgpack_pack_bin (&w->packer, bytes_count);
  if (bytes_count)
    msgpack_pack_bin_body (&w->packer, bytes, bytes_count);
}

void
frame_put_map (struct frame_writer *w, uint32_t key)
{
  if (field_begin (w, key))
    container_begin (w, true);
}

void
frame_put_array (struct frame_writer *w, uint32_t key)
{
  if (field_begin (w, key))
    container_begin (w, false);
}

void
frame_put_end (struct frame_writer *w)
{
  if (w->failed || w->finished)
    return;
  if (w->depth < 2)
    {
      w->failed = true;
      return;
    }
  container_end (w);
}

/** Fill in the header now that the size is known. */
static void
header_write (struct frame_writer *w, size_t body_bytes)
{
  unsigned char *header = (unsigned char *)w->buffer.data;

  header[0] = (unsigned char)(body_bytes >> 24);
  header[1] = (unsigned char)(body_bytes >> 16);
  header[2] = (unsigned char)(body_bytes >> 8);
  header[3] = (unsigned char)body_bytes;
  header[4] = FRAME_VERSION;
  header[5] = 0;
  header[6] = (unsigned char)(w->type >> 8);
  header[7] = (unsigned char)w->type;
}

const void *
frame_writer_finish (struct frame_writer *w, size_t *frame_bytes)
{
  size_t body_bytes = w->buffer.size - FRAME_HEADER_BYTES;

  *frame_bytes = 0;
  if (w->failed || body_bytes > FRAME_BODY_MAX_BYTES)
    return NULL;
  if (!w->finished)
    {
      if (w->depth != 1)
        return NULL;
      container_end (w);
      header_write (w, body_bytes);
      w->finished = true;
    }
  *frame_bytes = w->buffer.size;
  return w->buffer.data;
}
