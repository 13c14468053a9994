/* histogram.h -- counts of durations in powers of two  */

#ifndef BL_HISTOGRAM_H
#define BL_HISTOGRAM_H

#include <stdint.h>

/* Counts of durations in powers of two: bucket I holds those below 2^I ms, the
   last all others.  */
#define BL_HISTOGRAM_BUCKETS 18

struct bl_histogram
{
  uint64_t counts[BL_HISTOGRAM_BUCKETS];
  uint64_t sum_ms;
};

void bl_histogram_add (struct bl_histogram *h, uint64_t ms);
uint64_t bl_histogram_count (const struct bl_histogram *h);

#endif
