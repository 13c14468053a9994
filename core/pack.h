/* pack.h -- MessagePack in buffers of fixed size  */

#ifndef BL_PACK_H
#define BL_PACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/* A caller's buffer that is filled instead of growing one.  */
struct bl_fixed
{
  uint8_t *buf;
  size_t cap; /* bytes */
  size_t len;
};

/* For msgpack_packer_init, with a struct bl_fixed.  */
int bl_fixed_write (void *data, const char *bytes, size_t len);
/* False unless O is a whole number from 0 to MAX.  */
bool bl_get_uint (const msgpack_object *o, uint64_t max, uint64_t *value);

#endif
