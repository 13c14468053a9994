/* class_load.c -- requests at a backend server by class, and admission by class

   Load pattern: more requests than the backend servers can serve, of several
   classes, some of which keep their flows open while others open a flow for
   each request.  Requests on open flows cannot be refused here, so classes that
   open flows would get only what the others leave.

   A new flow is admitted while the requests in progress fill no more than the
   slots and a short queue.  Of these places, the more urgent classes keep the
   share that their requests need: their rate of arrival, times the time that
   one takes a slot.  The share follows the arrivals within ARRIVAL_WINDOW_MS,
   so nothing is kept for a class that is absent.  */

#include "core/class_load.h"

#include <math.h>

#define QUEUE_REQUESTS    6    /* queued at a server, which may shed more */
#define ARRIVAL_WINDOW_MS 1000 /* time constant of the decay */
#define WORK_WEIGHT       0.05 /* of the latest request in the mean */
#define FULL_LOAD         1.0  /* of the slots */
#define RESERVE_MAX       0.9  /* of the places; the rest is for any class */

unsigned
bl_class_of (uint8_t priority)
{
  return priority < BL_CLASS_COUNT ? priority : BL_CLASS_COUNT - 1;
}

static void
decay (struct bl_class_load *load, uint64_t now)
{
  double factor;

  if (now <= load->decayed_ms)
    return;
  factor = exp (-(double)(now - load->decayed_ms) / ARRIVAL_WINDOW_MS);
  for (unsigned i = 0; i < BL_CLASS_COUNT; i++)
    {
      load->classes[i].arrivals *= factor;
      load->classes[i].refused *= factor;
    }
  load->decayed_ms = now;
}

void
bl_class_load_arrived (struct bl_class_load *load, uint64_t now, unsigned class)
{
  decay (load, now);
  load->classes[class].arrivals++;
}

void
bl_class_load_refused (struct bl_class_load *load, uint64_t now, unsigned class)
{
  decay (load, now);
  load->classes[class].refused++;
}

void
bl_class_load_add_work (struct bl_class_load *load, unsigned class, uint64_t ms)
{
  struct bl_class *c = &load->classes[class];

  if (c->work_ms <= 0)
    c->work_ms = (double)ms;
  else
    c->work_ms += WORK_WEIGHT * ((double)ms - c->work_ms);
}

/* The slots that REQUESTS within ARRIVAL_WINDOW_MS of class C need.  */
static double
slots_of (const struct bl_class *c, double requests)
{
  return requests / ARRIVAL_WINDOW_MS * c->work_ms;
}

double
bl_class_load_reserve (struct bl_class_load *load, uint64_t now, unsigned class)
{
  double slots = 0;

  decay (load, now);
  for (unsigned i = 0; i < class; i++)
    slots += slots_of (&load->classes[i],
                       load->classes[i].arrivals + load->classes[i].refused);
  return slots;
}

/* Returns true if the requests that CLASS and the less urgent classes send on
   their open flows take all slots that the more urgent ones leave.  */
static bool
is_used_up (struct bl_class_load *load,
            uint64_t now,
            uint32_t slots,
            unsigned class)
{
  double reserve = bl_class_load_reserve (load, now, class);
  double used = 0;

  for (unsigned i = class; i < BL_CLASS_COUNT; i++)
    used += slots_of (&load->classes[i], load->classes[i].arrivals);
  return reserve > 0 && reserve + used >= FULL_LOAD * slots;
}

/* The part of PLACES that CLASS and the less urgent ones may take.  */
static double
places_of (struct bl_class_load *load,
           uint64_t now,
           uint32_t slots,
           unsigned class)
{
  double reserved = bl_class_load_reserve (load, now, class) / slots;

  if (reserved > RESERVE_MAX)
    reserved = RESERVE_MAX;
  return (slots + QUEUE_REQUESTS) * (1 - reserved);
}

bool
bl_class_load_admits (struct bl_class_load *load,
                      uint64_t now,
                      uint32_t slots,
                      unsigned class)
{
  double places = slots + QUEUE_REQUESTS;
  double less_urgent_places = places_of (load, now, slots, class + 1);
  double same = load->classes[class].in_progress;
  double more_urgent = 0;
  double less_urgent = 0;

  for (unsigned i = 0; i < class; i++)
    more_urgent += load->classes[i].in_progress;
  for (unsigned i = class + 1; i < BL_CLASS_COUNT; i++)
    less_urgent += load->classes[i].in_progress;
  /* Requests on open flows of less urgent classes may exceed their part; the
     excess takes no places of this class.  */
  if (less_urgent > less_urgent_places)
    less_urgent = less_urgent_places;
  return same + less_urgent < places_of (load, now, slots, class)
         && more_urgent + same + less_urgent < places
         && !is_used_up (load, now, slots, class);
}
