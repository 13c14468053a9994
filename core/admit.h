/* admit.h -- which requests a backend server is given, and when  */

#ifndef BL_ADMIT_H
#define BL_ADMIT_H

#include "boragelatch.h"
#include "core/histogram.h"

enum bl_verdict
{
  BL_ADMIT_RUN,    /* pass it on; it holds a slot until bl_admit_release */
  BL_ADMIT_WAIT,   /* hold it; bl_admit_next returns it later */
  BL_ADMIT_REFUSE, /* it cannot be run in time: say so at once */
};

enum bl_ticket_state
{
  BL_TICKET_IDLE = 0,
  BL_TICKET_WAITING,
  BL_TICKET_RUNNING,
};

/* A request's place.  Embed it; zero-initialise it but for CLASS.  */
struct bl_ticket
{
  uint8_t class_index; /* of the listener */
  enum bl_ticket_state state;
  uint64_t since_ms; /* waiting or running */
  struct bl_ticket *prev;
  struct bl_ticket *next;
};

struct bl_admit_class
{
  uint8_t priority;
  uint8_t reserved;
  uint32_t wait_ms; /* longest wait for a slot */
};

struct bl_admit
{
  uint32_t slots;
  uint32_t running;
  uint32_t waiting;
  double service_ms; /* smoothed time that a request holds a slot */
  struct bl_random random;
  size_t class_count;
  struct bl_admit_class classes[BL_LISTENERS_MAX];
  struct bl_ticket *queues[BL_LISTENERS_MAX]; /* oldest first */
  struct bl_histogram waits[BL_LISTENERS_MAX];
  struct bl_histogram services[BL_LISTENERS_MAX];
  uint64_t refused[BL_LISTENERS_MAX];
};

void bl_admit_init (struct bl_admit *admit, uint32_t slots, uint64_t seed);
/* Takes the classes from the listeners of SERVICE; those of a class that is
   gone keep their place.  */
void bl_admit_configure (struct bl_admit *admit,
                         const struct bl_service *service);
/* Asks for a slot.  An idle ticket only.  */
enum bl_verdict bl_admit_request (struct bl_admit *admit,
                                  uint64_t now,
                                  struct bl_ticket *ticket);
/* Gives a slot or a place in the queue back; an idle ticket is no fault.  */
void bl_admit_release (struct bl_admit *admit,
                       uint64_t now,
                       struct bl_ticket *ticket);
/* The next waiting ticket that can run now or is to be given up, or NULL.
   To be called until NULL after each bl_admit_release, and at each tick.  */
struct bl_ticket *
bl_admit_next (struct bl_admit *admit, uint64_t now, enum bl_verdict *verdict);
/* When a refused caller of a class should come back, in milliseconds: when
   what is before it will be done, with jitter, at least a second.  */
uint32_t bl_admit_retry_after_ms (struct bl_admit *admit, size_t class_index);

#endif
