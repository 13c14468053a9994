/* histogram.c -- histogram of durations

   The buckets are powers of two.  Adding a duration takes a few steps and no
   memory, so that every request can be counted; quantiles are exact to within a
   factor of two.  */

#include "core/histogram.h"

#include <stddef.h>

void
bl_histogram_add (struct bl_histogram *h, uint64_t ms)
{
  size_t i = 0;

  while (i < BL_HISTOGRAM_BUCKETS - 1 && ms >= (UINT64_C (1) << i))
    i++;
  h->counts[i]++;
  h->sum_ms += ms;
}

uint64_t
bl_histogram_count (const struct bl_histogram *h)
{
  uint64_t n = 0;

  for (size_t i = 0; i < BL_HISTOGRAM_BUCKETS; i++)
    n += h->counts[i];
  return n;
}
