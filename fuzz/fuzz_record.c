/* fuzz_record.c -- membership records in the platform's store: one that is
   valid must be read back as it was written  */

#include "fuzz/fuzz.h"

#include "core/store.h"

#include <stdlib.h>
#include <string.h>

static void
check_record (const struct bl_record *record)
{
  char *text = bl_record_format (record);
  struct bl_record again;
  char *same;

  if (text == NULL || bl_record_parse (&again, text) != BL_OK)
    abort ();
  same = bl_record_format (&again);
  if (same == NULL || strcmp (same, text) != 0)
    abort ();
  free (text);
  free (same);
}

int
fuzz_input (const uint8_t *data, size_t size)
{
  char *text = fuzz_copy_text (data, size);
  struct bl_record record;

  if (bl_record_parse (&record, text) == BL_OK)
    check_record (&record);
  free (text);
  return 0;
}
