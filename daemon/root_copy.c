/* root_copy.c -- the configuration as read from the platform, to be written
   again when a restore of the platform has lost it

   Nodes never go back to an older version, so a version that the restored
   platform lacks stays in force, and is written to the platform again.  The
   keys of parts are hashes of their contents and the root is written on the
   condition of its version, so several relays may write the same configuration
   at a time.  */

#include "daemon/root_copy.h"

#include <stdlib.h>
#include <string.h>

void
root_copy_clear (struct root_copy *copy)
{
  for (size_t i = 0; i < BL_ROOT_PARTS; i++)
    free (copy->parts[i]);
  free (copy->text);
  *copy = (struct root_copy){ .text = NULL };
}

void
root_copy_set_part (struct root_copy *copy, size_t index, char *text)
{
  free (copy->parts[index]);
  copy->parts[index] = text;
}

int
root_copy_set_root (struct root_copy *copy,
                    const struct bl_root *root,
                    struct bl_str text)
{
  char *duplicate;

  if (root->version < copy->root.version)
    return BL_ESTALE;
  duplicate = strndup (text.ptr, text.len);
  if (duplicate == NULL)
    return BL_ENOMEM;
  free (copy->text);
  copy->text = duplicate;
  copy->root = *root;
  return BL_OK;
}

/* Returns whether the text kept of part INDEX is the one that the root
   references.  */
static bool
has_part (const struct root_copy *copy, size_t index)
{
  char key[BL_PART_KEY_MAX];

  if (copy->parts[index] == NULL)
    return false;
  bl_part_key (key, bl_str_of (copy->parts[index]));
  return strcmp (key, copy->root.parts[index].key) == 0;
}

/* Writes part INDEX unless the platform has it.  */
static enum io_kv_result
write_part (const struct root_copy *copy, struct io_kv *kv, size_t index)
{
  const char *key = copy->root.parts[index].key;
  const char *text = copy->parts[index];
  struct io_object object = { .len = 0 };
  struct io_kv_position position = { .version = 0 };
  enum io_kv_result result = io_kv_get (kv, key, &object);

  io_object_clear (&object);
  if (result != IO_KV_NOT_FOUND || !has_part (copy, index))
    return result;
  result = io_kv_put (kv, key, position, text, strlen (text), &position);
  /* Another relay has written the same content.  */
  return result == IO_KV_CONFLICT ? IO_KV_OK : result;
}

enum io_kv_result
root_copy_write (const struct root_copy *copy,
                 struct io_kv *kv,
                 struct io_kv_position current)
{
  for (size_t i = 0; i < BL_ROOT_PARTS; i++)
    if (copy->root.parts[i].key[0] != '\0')
      {
        enum io_kv_result result = write_part (copy, kv, i);
        if (result != IO_KV_OK)
          return result;
      }
  return io_kv_put (kv, BL_ROOT_KEY, current, copy->text, strlen (copy->text),
                    &current);
}
