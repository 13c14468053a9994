/* pack.h -- MessagePack encoding into buffers of fixed size  */

#ifndef BL_PACK_H
#define BL_PACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/* A buffer of fixed size that a function encodes into.  */
struct bl_fixed_buffer
{
  uint8_t *buf;
  size_t cap; /* bytes */
  size_t len;
};

/* The write callback for msgpack_packer_init; DATA is a bl_fixed_buffer.
   Returns -1, and writes nothing, if the bytes do not fit.  */
int bl_fixed_buffer_write (void *data, const char *bytes, size_t len);
/* Stores the integer O in *VALUE.  Returns false if O is not an integer from 0
   to MAX.  */
bool bl_unpack_uint (const msgpack_object *o, uint64_t max, uint64_t *value);

#endif
