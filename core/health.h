/* health.h -- health of a backend server, from its health page and from
   connection attempts  */

#ifndef BL_HEALTH_H
#define BL_HEALTH_H

#include <stdbool.h>

struct bl_health
{
  unsigned bad_reports;  /* consecutive failed requests of the health page */
  unsigned bad_connects; /* consecutive failed connection attempts */
  bool reported;         /* the health page has succeeded at least once */
};

/* Records the outcome of a request to the health page.  */
void bl_health_note_report (struct bl_health *health, bool good);
/* Records the outcome of a connection attempt.  */
void bl_health_note_connect (struct bl_health *health, bool good);
bool bl_health_is_good (const struct bl_health *health);

#endif
