/* link_budget.c -- how much of its network link an instance uses

   Load pattern: a burst of callers at instances of unequal bandwidth.  On a
   link that is full, packets wait for longer than callers wait for answers, and
   all flows through it fail, the open ones too.  So new flows are refused while
   the use of the link is above FULL_SHARE; their callers come back through
   other instances.  */

#include "core/link_budget.h"

#include <math.h>

#define WINDOW_MS    200 /* time constant of the decay */
#define FULL_SHARE   0.8 /* of the bandwidth; open flows need the rest */
#define HEADER_BYTES 90  /* of a message between instances, with IP and UDP */

static void
decay (struct bl_link_budget *budget, uint64_t now)
{
  if (now <= budget->decayed_ms)
    return;
  budget->sent *= exp (-(double)(now - budget->decayed_ms) / WINDOW_MS);
  budget->decayed_ms = now;
}

void
bl_link_budget_spend (struct bl_link_budget *budget, uint64_t now, size_t len)
{
  decay (budget, now);
  budget->sent += (double)(len + HEADER_BYTES);
}

bool
bl_link_budget_has_room (struct bl_link_budget *budget, uint64_t now)
{
  if (budget->bytes_per_s <= 0)
    return true;
  decay (budget, now);
  return budget->sent * 1000 / WINDOW_MS < FULL_SHARE * budget->bytes_per_s;
}
