/* admit.h -- admission of requests to a backend server  */

#ifndef BL_ADMIT_H
#define BL_ADMIT_H

#include "boragelatch.h"
#include "core/histogram.h"

enum bl_verdict
{
  BL_ADMIT_RUN,    /* run it; it holds a slot until bl_admit_release */
  BL_ADMIT_WAIT,   /* queue it; bl_admit_next returns it later */
  BL_ADMIT_REFUSE, /* refuse it at once: it cannot run in time */
};

enum bl_ticket_state
{
  BL_TICKET_IDLE = 0,
  BL_TICKET_WAITING,
  BL_TICKET_RUNNING,
};

/* Admission state of a request, to be embedded in the caller's structure.
   Zero-initialise it and set class_index.  */
struct bl_ticket
{
  uint8_t class_index; /* index of the listener */
  enum bl_ticket_state state;
  uint64_t since_ms; /* start of waiting or running */
  struct bl_ticket *prev;
  struct bl_ticket *next;
};

/* Limits for the requests of one listener.  */
struct bl_admit_class
{
  uint8_t priority; /* higher is served first */
  uint8_t reserved; /* slots kept free for this priority and above */
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
  struct bl_ticket *queues[BL_LISTENERS_MAX];     /* oldest first */
  struct bl_histogram waits[BL_LISTENERS_MAX];    /* for a slot */
  struct bl_histogram services[BL_LISTENERS_MAX]; /* times with a slot */
  uint64_t refused[BL_LISTENERS_MAX];             /* requests */
};

void bl_admit_init (struct bl_admit *admit, uint32_t slots, uint64_t seed);
/* Takes the classes from the listeners of SERVICE.  Requests of a class that no
   longer exists keep their slots and places in the queue.  */
void bl_admit_configure (struct bl_admit *admit,
                         const struct bl_service *service);
/* Requests a slot for an idle ticket.  */
enum bl_verdict bl_admit_request (struct bl_admit *admit,
                                  uint64_t now,
                                  struct bl_ticket *ticket);
/* Releases the slot, or the place in the queue, of a ticket; does nothing for
   an idle ticket.  */
void bl_admit_release (struct bl_admit *admit,
                       uint64_t now,
                       struct bl_ticket *ticket);
/* Returns the next waiting ticket that can run now, or that has waited too long
   and is refused, or NULL.  Call until NULL after each bl_admit_release and at
   each tick.  */
struct bl_ticket *
bl_admit_next (struct bl_admit *admit, uint64_t now, enum bl_verdict *verdict);
/* Returns the time after which a refused caller of a class should retry, in
   milliseconds: the estimated wait for a slot, with jitter, at least a
   second.  */
uint32_t bl_admit_retry_after_ms (struct bl_admit *admit, size_t class_index);

#endif
