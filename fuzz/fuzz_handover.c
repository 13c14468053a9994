/* fuzz_handover.c -- flow tables in the platform's store: one that is valid
   must be read back as it was written  */

#include "fuzz/fuzz.h"

#include "core/handover.h"

#include <stdlib.h>

static void
check_handover (const struct bl_handover *handover)
{
  char *text = bl_handover_format (handover);
  struct bl_handover again;

  if (text == NULL || bl_handover_parse (&again, text) != BL_OK
      || again.count != handover->count
      || again.incarnation != handover->incarnation
      || again.stopped_ms != handover->stopped_ms)
    abort ();
  bl_handover_clear (&again);
  free (text);
}

int
fuzz_input (const uint8_t *data, size_t size)
{
  char *text = fuzz_copy_text (data, size);
  struct bl_handover handover;

  if (bl_handover_parse (&handover, text) == BL_OK)
    check_handover (&handover);
  bl_handover_clear (&handover);
  free (text);
  return 0;
}
