/* pack.c -- MessagePack in buffers of fixed size

   Messages on the way of packets have a bound that is known, so their encoder
   needs no memory of its own.  */

#include "core/pack.h"

#include <string.h>

int
bl_fixed_buffer_write (void *data, const char *bytes, size_t len)
{
  struct bl_fixed_buffer *f = data;

  if (f->len + len > f->cap)
    return -1;
  memcpy (f->buf + f->len, bytes, len);
  f->len += len;
  return 0;
}

bool
bl_unpack_uint (const msgpack_object *o, uint64_t max, uint64_t *value)
{
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
    return false;
  *value = o->via.u64;
  return true;
}
