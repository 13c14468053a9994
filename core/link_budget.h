/* link_budget.h -- how much of its network link an instance uses  */

#ifndef BL_LINK_BUDGET_H
#define BL_LINK_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct bl_link_budget
{
  double bytes_per_s; /* bandwidth of the link; 0: not known */
  double sent;        /* bytes, decaying */
  uint64_t decayed_ms;
};

/* Counts a packet of LEN bytes, without headers, that is sent.  */
void
bl_link_budget_spend (struct bl_link_budget *budget, uint64_t now, size_t len);
/* Returns true if the link has room for the packets of one more flow, or its
   bandwidth is not known.  */
bool bl_link_budget_has_room (struct bl_link_budget *budget, uint64_t now);

#endif
