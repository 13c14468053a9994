/* flood.h -- requests of two classes at one backend server, on passed-in time
 */

#ifndef FLOOD_H
#define FLOOD_H

#include "core/admit.h"

#define FLOOD_REQUESTS_MAX 20000

struct flood_class
{
  uint8_t priority;
  uint8_t reserved;
  uint32_t wait_ms;
  unsigned per_s; /* arrivals, on average, at random times */
};

/* What became of one class.  */
struct flood_outcome
{
  size_t requests;
  size_t answered;
  size_t refused;
  size_t refused_late; /* given up while waiting, not when they asked */
  uint32_t longest_wait_ms;
  uint32_t p50_ms; /* from asked to answered */
  uint32_t p99_ms;
};

/* Runs COUNT classes (2 at the most) for SECONDS against SLOTS slots, each
   request taking SERVICE_MS, half as much more or less at random.  */
void flood_run (uint64_t seed,
                uint32_t slots,
                uint32_t service_ms,
                const struct flood_class *classes,
                size_t count,
                unsigned seconds,
                struct flood_outcome *outcomes);

#endif
