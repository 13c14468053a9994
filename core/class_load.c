/* class_load.c -- requests at a backend server by class, and admission by class

   Load pattern: more requests than the backend servers can serve, of several
   classes, some of which keep their flows open while others open a flow for
   each request.  Requests on open flows cannot be refused here, so classes that
   open flows would get only what the others leave.

   A new flow is admitted while the requests in progress fill no more than the
   slots and a short queue.  The more urgent classes keep a part of both: the
   slots that their requests need, which is their rate of arrival times the time
   that one takes a slot.  A flow that is kept open brings further requests, so
   a less urgent class gets no new flow either while its requests already use
   all slots that the more urgent classes leave.  The rates are those of the
   last ARRIVAL_WINDOW_MS, so nothing is kept for a class that is absent.  */

#include "core/class_load.h"

#include <math.h>

#define QUEUE_REQUESTS    6    /* queued at a server, which may shed more */
#define ARRIVAL_WINDOW_MS 1000 /* time constant of the decay */
#define WORK_WEIGHT       0.05 /* of the latest request in the mean */
#define RESERVE_MAX       0.9  /* of the slots; the rest is for any class */

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

bool
bl_class_load_admits (struct bl_class_load *load,
                      uint64_t now,
                      uint32_t slots,
                      unsigned class)
{
  double reserve = bl_class_load_reserve (load, now, class);
  double places = slots + QUEUE_REQUESTS;
  double used = 0; /* slots, by requests of this and less urgent classes */
  uint32_t all = 0;
  uint32_t same = 0; /* of this class and less urgent ones */

  if (reserve > RESERVE_MAX * slots)
    reserve = RESERVE_MAX * slots;
  for (unsigned i = 0; i < BL_CLASS_COUNT; i++)
    all += load->classes[i].in_progress;
  for (unsigned i = class; i < BL_CLASS_COUNT; i++)
    {
      same += load->classes[i].in_progress;
      used += slots_of (&load->classes[i], load->classes[i].arrivals);
    }
  if (reserve > 0 && reserve + used >= slots)
    return false;
  return all < places && same < places * (1 - reserve / slots);
}
