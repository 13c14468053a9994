/* bench.h -- measuring and printing for the benchmarks  */

#ifndef BENCH_H
#define BENCH_H

#include "boragelatch.h"

#include <malloc.h>
#include <stdint.h>
#include <stdio.h>
#include <time.h>

/* Returns the processor time that this process has used, in nanoseconds.  */
static inline uint64_t
cpu_ns (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (uint64_t)ts.tv_sec * 1000000000u + (uint64_t)ts.tv_nsec;
}

/* Returns the number of bytes allocated from the heap.  */
static inline double
heap_bytes (void)
{
  struct mallinfo2 m = mallinfo2 ();
  return (double)(m.uordblks + m.hblkhd);
}

/* Prints a line "NAME VALUE UNIT".  */
static inline void
print_result (const char *name, double value, const char *unit)
{
  printf ("%s %.6g %s\n", name, value, unit);
}

/* Sets NAME from FORMAT, which has one conversion, for a size_t.  */
static inline void
format_name (struct bl_name *name, const char *format, size_t i)
{
  char text[BL_NAME_MAX];
  snprintf (text, sizeof text, format, i);
  bl_name_set (name, bl_str_of (text));
}

#endif
