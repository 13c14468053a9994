/* fuzz.c -- what several targets of the fuzzer share  */

#include "fuzz/fuzz.h"

#include <stdlib.h>
#include <string.h>

char *
fuzz_copy_text (const uint8_t *data, size_t size)
{
  char *text = malloc (size + 1);

  if (text == NULL)
    abort ();
  memcpy (text, data, size);
  text[size] = '\0';
  return text;
}
