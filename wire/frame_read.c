#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "frame_scan.h"
#include "wire/frame.h"

struct frame
{
  uint16_t type;
  bool invalid;
  unsigned char *raw;
  size_t raw_bytes;
  msgpack_unpacked unpacked;
};

bool
frame_read_header (const void *bytes, uint16_t *type, uint32_t *body_bytes,
                   struct beryl_error *error)
{
  const unsigned char *b = bytes;

  if (b[4] != FRAME_VERSION || b[5] != 0)
    return beryl_error_set (error, BERYL_ERROR_INVALID,
                            "protocol version %u.%u is not supported", b[4],
                            b[5]);
  *body_bytes = (uint32_t)b[0] << 24 | (uint32_t)b[1] << 16
                | (uint32_t)b[2] << 8 | b[3];
  *type = (uint16_t)(b[6] << 8 | b[7]);
  if (*body_bytes > FRAME_BODY_MAX_BYTES)
    return beryl_error_set (error, BERYL_ERROR_LIMIT,
                            "frame of %u bytes is too long", *body_bytes);
  return true;
}

/** Decode the body of F, whose bounds have been scanned. */
static bool
body_decode (struct frame *f, struct beryl_error *error)
{
  const char *body = (const char *)f->raw + FRAME_HEADER_BYTES;
  size_t body_bytes = f->raw_bytes - FRAME_HEADER_BYTES;

  if (!frame_scan ((const uint8_t *)body, body_bytes, FRAME_DEPTH_MAX,
                   FRAME_VALUES_MAX))
    return beryl_error_set (error, BERYL_ERROR_INVALID,
                            "frame body is malformed or over a limit");
  if (msgpack_unpack_next (&f->unpacked, body, body_bytes, NULL)
          != MSGPACK_UNPACK_SUCCESS
      || f->unpacked.data.type != MSGPACK_OBJECT_MAP)
    return beryl_error_set (error, BERYL_ERROR_INVALID,
                            "frame body is not a map");
  return true;
}

struct frame *
frame_parse (const void *bytes, size_t bytes_count, struct beryl_error *error)
{
  struct frame *f;
  uint16_t type = 0;
  uint32_t body_bytes = 0;

  if (bytes_count < FRAME_HEADER_BYTES)
    {
      beryl_error_set (error, BERYL_ERROR_INVALID, "frame has no header");
      return NULL;
    }
  if (!frame_read_header (bytes, &type, &body_bytes, error))
    return NULL;
  if (bytes_count - FRAME_HEADER_BYTES != body_bytes)
    {
      beryl_error_set (error, BERYL_ERROR_INVALID, "frame length is wrong");
      return NULL;
    }
  f = calloc (1, sizeof *f);
  f->type = type;
  f->raw = malloc (bytes_count);
  memcpy (f->raw, bytes, bytes_count);
  f->raw_bytes = bytes_count;
  msgpack_unpacked_init (&f->unpacked);
  if (body_decode (f, error))
    return f;
  frame_destroy (f);
  return NULL;
}

void
frame_destroy (struct frame *f)
{
  if (!f)
    return;
  msgpack_unpacked_destroy (&f->unpacked);
  free (f->raw);
  free (f);
}

uint16_t
frame_type (const struct frame *f)
{
  return f->type;
}

const void *
frame_raw (const struct frame *f, size_t *bytes_count)
{
  *bytes_count = f->raw_bytes;
  return f->raw;
}

bool
frame_valid (const struct frame *f)
{
  return !f->invalid;
}

void
frame_fail (struct frame *f)
{
  f->invalid = true;
}

struct frame_map
frame_root (struct frame *f)
{
  return (struct frame_map){ f, &f->unpacked.data };
}

/** Find KEY; NULL if absent.  A repeated key counts once, the first. */
static const msgpack_object *
find (struct frame_map map, uint32_t key)
{
  const msgpack_object *o = map.object;

  if (!o)
    return NULL;
  for (uint32_t i = 0; i < o->via.map.size; i++)
    {
      const msgpack_object_kv *kv = &o->via.map.ptr[i];

      if (kv->key.type == MSGPACK_OBJECT_POSITIVE_INTEGER
          && kv->key.via.u64 == key)
        return &kv->val;
    }
  return NULL;
}

bool
frame_has (struct frame_map map, uint32_t key)
{
  return find (map, key) != NULL;
}

/** Whether O is of TYPE; an object of another type fails the frame. */
static bool
expect (struct frame *f, const msgpack_object *o, msgpack_object_type type)
{
  if (!o)
    return false;
  if (o->type == type)
    return true;
  frame_fail (f);
  return false;
}

uint64_t
frame_uint (struct frame_map map, uint32_t key, uint64_t fallback)
{
  const msgpack_object *o = find (map, key);

  return expect (map.frame, o, MSGPACK_OBJECT_POSITIVE_INTEGER) ? o->via.u64
                                                                : fallback;
}

int64_t
frame_int (struct frame_map map, uint32_t key, int64_t fallback)
{
  const msgpack_object *o = find (map, key);

  if (o && o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return o->via.i64;
  if (!expect (map.frame, o, MSGPACK_OBJECT_POSITIVE_INTEGER))
    return fallback;
  if (o->via.u64 > INT64_MAX)
    {
      frame_fail (map.frame);
      return fallback;
    }
  return (int64_t)o->via.u64;
}

bool
frame_bool (struct frame_map map, uint32_t key, bool fallback)
{
  const msgpack_object *o = find (map, key);

  return expect (map.frame, o, MSGPACK_OBJECT_BOOLEAN) ? o->via.boolean
                                                       : fallback;
}

double
frame_double (struct frame_map map, uint32_t key, double fallback)
{
  const msgpack_object *o = find (map, key);

  if (!o)
    return fallback;
  if (o->type == MSGPACK_OBJECT_FLOAT64 || o->type == MSGPACK_OBJECT_FLOAT32)
    return o->via.f64;
  frame_fail (map.frame);
  return fallback;
}

/** Fail the frame if KEY is absent. */
static void
need (struct frame_map map, uint32_t key)
{
  if (!frame_has (map, key))
    frame_fail (map.frame);
}

uint64_t
frame_need_uint (struct frame_map map, uint32_t key)
{
  need (map, key);
  return frame_uint (map, key, 0);
}

int64_t
frame_need_int (struct frame_map map, uint32_t key)
{
  need (map, key);
  return frame_int (map, key, 0);
}

/** Copy string O; VALUE becomes "" if it cannot be. */
static bool
copy_string (struct frame *f, const msgpack_object *o, char *value,
             size_t value_bytes)
{
  value[0] = '\0';
  if (!expect (f, o, MSGPACK_OBJECT_STR))
    return false;
  if (o->via.str.size >= value_bytes
      || (o->via.str.size && memchr (o->via.str.ptr, 0, o->via.str.size)))
    {
      frame_fail (f);
      return false;
    }
  if (o->via.str.size)
    memcpy (value, o->via.str.ptr, o->via.str.size);
  value[o->via.str.size] = '\0';
  return true;
}

bool
frame_string (struct frame_map map, uint32_t key, char *value,
              size_t value_bytes)
{
  return copy_string (map.frame, find (map, key), value, value_bytes);
}

void
frame_need_string (struct frame_map map, uint32_t key, char *value,
                   size_t value_bytes)
{
  need (map, key);
  frame_string (map, key, value, value_bytes);
}

const void *
frame_bytes (struct frame_map map, uint32_t key, size_t *bytes_count)
{
  const msgpack_object *o = find (map, key);

  *bytes_count = 0;
  if (!expect (map.frame, o, MSGPACK_OBJECT_BIN))
    return NULL;
  *bytes_count = o->via.bin.size;
  return o->via.bin.size ? o->via.bin.ptr : "";
}

struct frame_map
frame_map (struct frame_map map, uint32_t key)
{
  const msgpack_object *o = find (map, key);

  if (!expect (map.frame, o, MSGPACK_OBJECT_MAP))
    o = NULL;
  return (struct frame_map){ map.frame, o };
}

struct frame_array
frame_array (struct frame_map map, uint32_t key)
{
  const msgpack_object *o = find (map, key);

  if (!expect (map.frame, o, MSGPACK_OBJECT_ARRAY))
    return (struct frame_array){ map.frame, NULL, 0 };
  return (struct frame_array){ map.frame, o, o->via.array.size };
}

/** Return element I, or NULL with the frame failed. */
static const msgpack_object *
element (struct frame_array array, uint32_t i)
{
  const msgpack_object *o = array.object;

  if (i < array.count)
    return &o->via.array.ptr[i];
  frame_fail (array.frame);
  return NULL;
}

struct frame_map
frame_array_map (struct frame_array array, uint32_t i)
{
  const msgpack_object *o = element (array, i);

  if (!expect (array.frame, o, MSGPACK_OBJECT_MAP))
    o = NULL;
  return (struct frame_map){ array.frame, o };
}

uint64_t
frame_array_uint (struct frame_array array, uint32_t i)
{
  const msgpack_object *o = element (array, i);

  return expect (array.frame, o, MSGPACK_OBJECT_POSITIVE_INTEGER) ? o->via.u64
                                                                  : 0;
}

uint32_t
frame_array_uint32 (struct frame_array array, uint32_t i)
{
  uint64_t number = frame_array_uint (array, i);

  if (number > UINT32_MAX)
    frame_fail (array.frame);
  return (uint32_t)number;
}

void
frame_array_string (struct frame_array array, uint32_t i, char *value,
                    size_t value_bytes)
{
  copy_string (array.frame, element (array, i), value, value_bytes);
}
