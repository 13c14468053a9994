/* health.c -- health of a backend server, from its health page and from
   connection attempts

   A health page may be late or wrong.  A single bad report is therefore
   ignored, and good reports do not outweigh failed connection attempts of the
   agent.  If all backend servers of a service are unhealthy, placement uses
   them all the same (bl_pool_finish).  */

#include "core/health.h"

/* Consecutive failures that make a backend server unhealthy.  */
#define BAD_REPORTS_MIN  3
#define BAD_CONNECTS_MIN 3

void
bl_health_note_report (struct bl_health *health, bool good)
{
  health->bad_reports = good ? 0 : health->bad_reports + 1;
  health->reported = health->reported || good;
}

void
bl_health_note_connect (struct bl_health *health, bool good)
{
  health->bad_connects = good ? 0 : health->bad_connects + 1;
}

bool
bl_health_is_good (const struct bl_health *health)
{
  return health->reported && health->bad_reports < BAD_REPORTS_MIN
         && health->bad_connects < BAD_CONNECTS_MIN;
}
