/* health.c -- whether a backend server is well, by what it says and does

   Health pages lag and mislead.  A single bad report is therefore not believed,
   and good reports do not outweigh connections that the agent itself sees
   fail.  That nothing is well anywhere in a service is for placement to
   outvote (bl_pool_finish).  */

#include "core/health.h"

#define REPORTS_BELIEVED  3
#define CONNECTS_BELIEVED 3

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
  return health->reported && health->bad_reports < REPORTS_BELIEVED
         && health->bad_connects < CONNECTS_BELIEVED;
}
