/* bounds.h -- a look at MessagePack before the library builds objects of it  */

#ifndef BL_BOUNDS_H
#define BL_BOUNDS_H

#include "boragelatch.h"

/* Whether BUF starts with one whole MessagePack object whose counts can be
   true.  BL_ESHORT when it ends too early, BL_EFORMAT for an extension type,
   an unassigned byte or deeper nesting than any message of ours has.  */
int bl_msgpack_check (const uint8_t *buf, size_t len);

#endif
