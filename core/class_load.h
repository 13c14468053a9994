/* class_load.h -- requests at a backend server by class, and admission by class
 */

#ifndef BL_CLASS_LOAD_H
#define BL_CLASS_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/* A class is the priority of a route, 0 being the most urgent.  Priorities from
   the last class on share that class.  */
#define BL_CLASS_COUNT 8

/* The load of one class.  */
struct bl_class
{
  uint32_t in_progress; /* requests, and flows whose first request is due */
  double arrivals;      /* requests that have arrived, decaying */
  double refused;       /* flows that were refused, decaying */
  double work_ms;       /* mean time that a request takes a slot; 0: unknown */
};

struct bl_class_load
{
  uint64_t decayed_ms; /* when the arrivals were last updated */
  struct bl_class classes[BL_CLASS_COUNT];
};

/* Returns the class of a priority.  */
unsigned bl_class_of (uint8_t priority);
/* Counts a request of CLASS that has arrived.  */
void bl_class_load_arrived (struct bl_class_load *load,
                            uint64_t now,
                            unsigned class);
/* Counts a flow of CLASS that was refused for lack of room.  */
void bl_class_load_refused (struct bl_class_load *load,
                            uint64_t now,
                            unsigned class);
/* Adds the time that a request of CLASS took a slot of an unsaturated server,
   in milliseconds.  */
void bl_class_load_add_work (struct bl_class_load *load,
                             unsigned class,
                             uint64_t ms);
/* Returns the slots that the more urgent classes than CLASS need.  */
double bl_class_load_reserve (struct bl_class_load *load,
                              uint64_t now,
                              unsigned class);
/* Returns true if a server with SLOTS slots, at least 1, takes one more flow of
   CLASS.  */
bool bl_class_load_admits (struct bl_class_load *load,
                           uint64_t now,
                           uint32_t slots,
                           unsigned class);

#endif
