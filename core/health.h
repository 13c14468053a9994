/* health.h -- whether a backend server is well, by what it says and does  */

#ifndef BL_HEALTH_H
#define BL_HEALTH_H

#include <stdbool.h>

struct bl_health
{
  unsigned bad_reports;  /* in a row, of its health page */
  unsigned bad_connects; /* in a row */
  bool reported;         /* it has said that it is well at least once */
};

/* Its health page answered, or did not.  */
void bl_health_note_report (struct bl_health *health, bool good);
/* A connection to it was opened, or could not be.  */
void bl_health_note_connect (struct bl_health *health, bool good);
bool bl_health_is_good (const struct bl_health *health);

#endif
