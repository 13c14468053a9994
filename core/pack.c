/* pack.c -- MessagePack encoding into buffers of fixed size

   The headers and messages that accompany packets have a known maximum size,
   so they are encoded without memory allocation.  */

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
