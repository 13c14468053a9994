/* bounds.c -- a look at MessagePack before the library builds objects of it

   The library allocates an array's elements as soon as it has read their
   count, so five bytes could make it ask for gigabytes.  Every element takes a
   byte at least: a count beyond the bytes that are left is a lie, and is
   found here by walking over the objects without building any.  */

#include "core/bounds.h"

#define DEPTH_MAX 6

/* How a first byte continues: so many bytes of a number follow, which is
   itself the value, or a count of bytes, or of objects.  */
enum follows
{
  NOTHING,
  VALUE,
  BYTES,
  OBJECTS,
  PAIRS,
  INVALID,
};

struct shape
{
  enum follows follows;
  uint8_t width; /* bytes of the number */
};

/* First bytes 0xc0 to 0xdf.  */
static const struct shape shapes[32] = {
  { NOTHING, 0 }, { INVALID, 0 }, { NOTHING, 0 }, { NOTHING, 0 },
  { BYTES, 1 },   { BYTES, 2 },   { BYTES, 4 },   { INVALID, 0 },
  { INVALID, 0 }, { INVALID, 0 }, { VALUE, 4 },   { VALUE, 8 },
  { VALUE, 1 },   { VALUE, 2 },   { VALUE, 4 },   { VALUE, 8 },
  { VALUE, 1 },   { VALUE, 2 },   { VALUE, 4 },   { VALUE, 8 },
  { INVALID, 0 }, { INVALID, 0 }, { INVALID, 0 }, { INVALID, 0 },
  { INVALID, 0 }, { BYTES, 1 },   { BYTES, 2 },   { BYTES, 4 },
  { OBJECTS, 2 }, { OBJECTS, 4 }, { PAIRS, 2 },   { PAIRS, 4 },
};

struct cursor
{
  const uint8_t *at;
  size_t left;
};

static uint64_t
take_number (struct cursor *c, uint8_t width)
{
  uint64_t n = 0;

  for (uint8_t i = 0; i < width; i++)
    n = n << 8 | c->at[i];
  c->at += width;
  c->left -= width;
  return n;
}

/* Reads the head of an object: what follows it, and how many.  */
static int
take_head (struct cursor *c, enum follows *follows, uint64_t *count)
{
  uint8_t first;
  struct shape shape;

  if (c->left == 0)
    return BL_ESHORT;
  first = (uint8_t)take_number (c, 1);
  *follows = NOTHING;
  *count = 0;
  if (first < 0x80 || first >= 0xe0)
    return BL_OK;
  if (first < 0xc0)
    {
      *follows = first < 0x90 ? PAIRS : first < 0xa0 ? OBJECTS : BYTES;
      *count = first < 0xa0 ? first & 0x0f : first & 0x1f;
      return BL_OK;
    }
  shape = shapes[first - 0xc0];
  if (shape.follows == INVALID)
    return BL_EFORMAT;
  if (c->left < shape.width)
    return BL_ESHORT;
  *count = take_number (c, shape.width);
  *follows = shape.follows == VALUE ? NOTHING : shape.follows;
  return BL_OK;
}

static int
skip_bytes (struct cursor *c, uint64_t count)
{
  if (count > c->left)
    return BL_ESHORT;
  c->at += count;
  c->left -= (size_t)count;
  return BL_OK;
}

int
bl_msgpack_check (const uint8_t *buf, size_t len)
{
  struct cursor c = { .at = buf, .left = len };
  uint64_t open[DEPTH_MAX] = { 1 }; /* objects still to come, by depth */
  unsigned depth = 0;

  for (;;)
    {
      enum follows follows;
      uint64_t count;
      int err;
      while (open[depth] == 0)
        {
          if (depth == 0)
            return BL_OK;
          depth--;
        }
      open[depth]--;
      err = take_head (&c, &follows, &count);
      if (err == BL_OK && follows == BYTES)
        err = skip_bytes (&c, count);
      if (err != BL_OK)
        return err;
      if (follows != OBJECTS && follows != PAIRS)
        continue;
      if (follows == PAIRS)
        count *= 2;
      if (count > c.left)
        return BL_ESHORT;
      if (++depth == DEPTH_MAX)
        return BL_EFORMAT;
      open[depth] = count;
    }
}
