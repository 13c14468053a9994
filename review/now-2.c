/* now-2.c -- prints the time of the steady clock in ms  */

#include "review/wire-2.h"

int
main (void)
{
  printf ("%lu\n", (unsigned long)now_ms ());
  return 0;
}
