/* pack.h -- MessagePack in buffers of fixed size  */

#ifndef BL_PACK_H
#define BL_PACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/* A caller's buffer that is filled instead of growing one.  */
struct bl_fixed_buffer
{
  uint8_t *buf;
  size_t cap; /* bytes */
  size_t len;
};

/* For msgpack_packer_init, with a struct bl_fixed_buffer.  */
int bl_fixed_buffer_write (void *data, const char *bytes, size_t len);
/* False unless O is a whole number from 0 to MAX.  */
bool bl_unpack_uint (const msgpack_object *o, uint64_t max, uint64_t *value);

#endif
