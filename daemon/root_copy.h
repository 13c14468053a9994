/* root_copy.h -- the configuration as read from the platform, to be written
   again when a restore of the platform has lost it  */

#ifndef ROOT_COPY_H
#define ROOT_COPY_H

#include "core/root.h"
#include "io/io.h"

/* Zero-initialise before use; free with root_copy_clear.  */
struct root_copy
{
  struct bl_root root; /* version 0: none */
  char *text;          /* owned; of the root */
  /* Owned texts of the parts, as far as they were read here.  */
  char *parts[BL_ROOT_PARTS];
};

void root_copy_clear (struct root_copy *copy);
/* Keeps the text of part INDEX, and takes ownership of TEXT.  */
void root_copy_set_part (struct root_copy *copy, size_t index, char *text);
/* Keeps ROOT and its TEXT unless the root kept is newer.  Returns BL_OK,
   BL_ESTALE or BL_ENOMEM.  */
int root_copy_set_root (struct root_copy *copy,
                        const struct bl_root *root,
                        struct bl_str text);
/* Writes the configuration over the root that the platform holds at CURRENT:
   first the parts that it lacks, then the root.  Returns IO_KV_CONFLICT if the
   root was changed meanwhile, and IO_KV_NOT_FOUND if a part is neither kept nor
   on the platform.  */
enum io_kv_result root_copy_write (const struct root_copy *copy,
                                   struct io_kv *kv,
                                   struct io_kv_position current);

#endif
