/* flood.h -- simulates requests of two classes at one backend server

   Runs the admission control of the core in simulated time.  */

#ifndef FLOOD_H
#define FLOOD_H

#include "core/admit.h"

#define FLOOD_REQUESTS_MAX 20000

struct flood_class
{
  uint8_t priority;
  uint8_t reserved;
  uint32_t wait_ms;
  unsigned arrivals_per_s; /* mean arrival rate, at random times */
};

/* Results of one class.  */
struct flood_outcome
{
  size_t requests;
  size_t answered;
  size_t refused;
  size_t refused_late; /* refused after waiting, not on arrival */
  uint32_t longest_wait_ms;
  uint32_t p50_ms; /* percentiles of the time from arrival to answer */
  uint32_t p99_ms;
};

/* Runs COUNT classes, 2 at most, for SECONDS against SLOTS slots.  The service
   time of a request is random, between half of SERVICE_MS and one and a half
   times SERVICE_MS.  */
void flood_run (uint64_t seed,
                uint32_t slots,
                uint32_t service_ms,
                const struct flood_class *classes,
                size_t count,
                unsigned seconds,
                struct flood_outcome *outcomes);

#endif
