/* histogram.h -- histogram of durations  */

#ifndef BL_HISTOGRAM_H
#define BL_HISTOGRAM_H

#include <stdint.h>

/* Bucket I counts the durations below 2^I ms that no earlier bucket counts; the
   last bucket counts all others.  */
#define BL_HISTOGRAM_BUCKETS 18

struct bl_histogram
{
  uint64_t counts[BL_HISTOGRAM_BUCKETS];
  uint64_t sum_ms;
};

/* Counts a duration of MS milliseconds.  */
void bl_histogram_add (struct bl_histogram *h, uint64_t ms);
/* Returns the number of durations counted.  */
uint64_t bl_histogram_count (const struct bl_histogram *h);

#endif
