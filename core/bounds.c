/* bounds.c -- check of the element counts in MessagePack input

   The MessagePack library allocates the elements of an array as soon as it has
   read their count, so that five bytes of input could make it allocate
   gigabytes.  Each element takes at least one byte.  A count that exceeds the
   number of remaining bytes is therefore invalid, and is found here by walking
   over the input before the library decodes it.  */

#include "core/bounds.h"

#define NESTING_MAX 6

/* What follows an object's type byte: nothing, a number that is the value, or a
   number that counts the bytes, objects or pairs of objects after it.  */
enum follows
{
  NOTHING,
  VALUE,
  BYTES,
  OBJECTS,
  PAIRS,
  INVALID,
};

struct encoding
{
  enum follows follows;
  uint8_t width; /* bytes of that number */
};

/* Type bytes 0xc0 to 0xdf.  */
static const struct encoding encodings[32] = {
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

/* Reads the head of an object.  Sets *FOLLOWS to the kind of content after the
   head, and *COUNT to its number of bytes, objects or pairs.  */
static int
take_head (struct cursor *c, enum follows *follows, uint64_t *count)
{
  uint8_t type;
  struct encoding encoding;

  if (c->left == 0)
    return BL_ESHORT;
  type = (uint8_t)take_number (c, 1);
  *follows = NOTHING;
  *count = 0;
  if (type < 0x80 || type >= 0xe0)
    return BL_OK;
  if (type < 0xc0)
    {
      *follows = type < 0x90 ? PAIRS : type < 0xa0 ? OBJECTS : BYTES;
      *count = type < 0xa0 ? type & 0x0f : type & 0x1f;
      return BL_OK;
    }
  encoding = encodings[type - 0xc0];
  if (encoding.follows == INVALID)
    return BL_EFORMAT;
  if (c->left < encoding.width)
    return BL_ESHORT;
  *count = take_number (c, encoding.width);
  *follows = encoding.follows == VALUE ? NOTHING : encoding.follows;
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
  uint64_t remaining[NESTING_MAX] = { 1 }; /* objects left, by depth */
  unsigned depth = 0;

  for (;;)
    {
      enum follows follows;
      uint64_t count;
      int err;
      while (remaining[depth] == 0)
        {
          if (depth == 0)
            return BL_OK;
          depth--;
        }
      remaining[depth]--;
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
      if (++depth == NESTING_MAX)
        return BL_EFORMAT;
      remaining[depth] = count;
    }
}
