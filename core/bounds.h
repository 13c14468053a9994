/* bounds.h -- check of the element counts in MessagePack input  */

#ifndef BL_BOUNDS_H
#define BL_BOUNDS_H

#include "boragelatch.h"

/* Returns BL_OK if BUF starts with one complete MessagePack object, none of
   whose counts exceeds the remaining input.  BL_ESHORT when the input ends too
   early, BL_EFORMAT for an extension type, an unassigned type byte or deeper
   nesting than any message of the protocol has.  */
int bl_msgpack_check (const uint8_t *buf, size_t len);

#endif
