/* options.c -- options of tests in the environment  */

#include "test/options.h"

#include <stdlib.h>

uint64_t
environment_number (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);

  return text != NULL ? strtoul (text, NULL, 10) : fallback;
}
