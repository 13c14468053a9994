/* admit.c -- admission of requests to a backend server

   A backend server runs as many requests at once as it has slots.  Slots may be
   reserved for a priority and those above it: a request gets a slot only if
   more slots are free than are reserved for higher priorities.  Other requests
   wait in queues; a higher priority is served first, and requests of the same
   priority in order of arrival.

   A request that cannot get a slot in time is refused at once, not when its
   time is up.  Its wait is estimated from the requests queued before it and the
   smoothed time that a request holds a slot.  A queue is therefore never longer
   than can be served in time, and a caller is refused early, with the time to
   wait before a retry.  */

#include "core/admit.h"

#include <string.h>
#include <utlist.h>

#define SERVICE_START_MS 10.0 /* service time assumed at the start */
#define SMOOTHING        0.1  /* weight of the newest service time */
#define RETRY_MIN_MS     1000
#define RETRY_MAX_MS     30000

void
bl_admit_init (struct bl_admit *admit, uint32_t slots, uint64_t seed)
{
  memset (admit, 0, sizeof *admit);
  admit->slots = slots > 0 ? slots : 1;
  admit->service_ms = SERVICE_START_MS;
  admit->random.state = seed;
}

void
bl_admit_configure (struct bl_admit *admit, const struct bl_service *service)
{
  admit->class_count = service->listener_count;
  for (size_t i = 0; i < service->listener_count; i++)
    admit->classes[i] = (struct bl_admit_class){
      .priority = service->listeners[i].priority,
      .reserved = service->listeners[i].reserved,
      .wait_ms = service->listeners[i].wait_ms,
    };
}

/* Slots reserved for priorities above that of the class, but never all slots,
   because then every request of the class would be refused.  */
static uint32_t
reserved_above (const struct bl_admit *admit, size_t class_index)
{
  uint32_t reserved = 0;

  for (size_t i = 0; i < admit->class_count; i++)
    if (admit->classes[i].priority > admit->classes[class_index].priority)
      reserved += admit->classes[i].reserved;
  return reserved < admit->slots ? reserved : admit->slots - 1;
}

static bool
has_slot (const struct bl_admit *admit, size_t class_index)
{
  return admit->running + reserved_above (admit, class_index) < admit->slots;
}

/* Waiting requests that are served before a new request of the class.  */
static uint32_t
waiting_before (const struct bl_admit *admit, size_t class_index)
{
  uint32_t n = 0;

  for (size_t i = 0; i < admit->class_count; i++)
    {
      const struct bl_ticket *t;
      uint32_t count = 0;
      if (admit->classes[i].priority < admit->classes[class_index].priority)
        continue;
      DL_COUNT (admit->queues[i], t, count);
      n += count;
    }
  return n;
}

/* Estimated wait of a new request of the class for a slot.  */
static double
estimate_wait_ms (const struct bl_admit *admit, size_t class_index)
{
  uint32_t usable = admit->slots - reserved_above (admit, class_index);
  uint32_t before = waiting_before (admit, class_index) + 1;

  return before * admit->service_ms / usable;
}

static void
start_running (struct bl_admit *admit, uint64_t now, struct bl_ticket *ticket)
{
  ticket->state = BL_TICKET_RUNNING;
  ticket->since_ms = now;
  admit->running++;
}

enum bl_verdict
bl_admit_request (struct bl_admit *admit,
                  uint64_t now,
                  struct bl_ticket *ticket)
{
  size_t i = ticket->class_index;

  if (has_slot (admit, i) && waiting_before (admit, i) == 0)
    {
      bl_histogram_add (&admit->waits[i], 0);
      start_running (admit, now, ticket);
      return BL_ADMIT_RUN;
    }
  if (estimate_wait_ms (admit, i) > admit->classes[i].wait_ms)
    {
      admit->refused[i]++;
      return BL_ADMIT_REFUSE;
    }
  ticket->state = BL_TICKET_WAITING;
  ticket->since_ms = now;
  DL_APPEND (admit->queues[i], ticket);
  admit->waiting++;
  return BL_ADMIT_WAIT;
}

static void
leave_queue (struct bl_admit *admit, struct bl_ticket *ticket)
{
  DL_DELETE (admit->queues[ticket->class_index], ticket);
  admit->waiting--;
  ticket->state = BL_TICKET_IDLE;
}

void
bl_admit_release (struct bl_admit *admit,
                  uint64_t now,
                  struct bl_ticket *ticket)
{
  uint64_t held_ms = now - ticket->since_ms;

  if (ticket->state == BL_TICKET_WAITING)
    leave_queue (admit, ticket);
  if (ticket->state != BL_TICKET_RUNNING)
    return;
  ticket->state = BL_TICKET_IDLE;
  admit->running--;
  admit->service_ms += SMOOTHING * ((double)held_ms - admit->service_ms);
  bl_histogram_add (&admit->services[ticket->class_index], held_ms);
}

static struct bl_ticket *
find_expired (struct bl_admit *admit, uint64_t now)
{
  for (size_t i = 0; i < BL_LISTENERS_MAX; i++)
    {
      struct bl_ticket *t = admit->queues[i];
      if (t != NULL && now - t->since_ms > admit->classes[i].wait_ms)
        return t;
    }
  return NULL;
}

/* The waiting ticket that is served next: of those whose class has a free slot,
   the one with the highest priority, and among equals the oldest.  */
static struct bl_ticket *
find_next (struct bl_admit *admit)
{
  struct bl_ticket *best = NULL;

  for (size_t i = 0; i < BL_LISTENERS_MAX; i++)
    {
      struct bl_ticket *t = admit->queues[i];
      const struct bl_admit_class *c = &admit->classes[i];
      if (t == NULL || !has_slot (admit, i))
        continue;
      if (best == NULL
          || c->priority > admit->classes[best->class_index].priority
          || (c->priority == admit->classes[best->class_index].priority
              && t->since_ms < best->since_ms))
        best = t;
    }
  return best;
}

struct bl_ticket *
bl_admit_next (struct bl_admit *admit, uint64_t now, enum bl_verdict *verdict)
{
  struct bl_ticket *ticket = find_expired (admit, now);

  *verdict = BL_ADMIT_REFUSE;
  if (ticket != NULL)
    {
      admit->refused[ticket->class_index]++;
      leave_queue (admit, ticket);
      return ticket;
    }
  ticket = find_next (admit);
  if (ticket == NULL)
    return NULL;
  bl_histogram_add (&admit->waits[ticket->class_index], now - ticket->since_ms);
  leave_queue (admit, ticket);
  start_running (admit, now, ticket);
  *verdict = BL_ADMIT_RUN;
  return ticket;
}

uint32_t
bl_admit_retry_after_ms (struct bl_admit *admit, size_t class_index)
{
  double wait = estimate_wait_ms (admit, class_index);

  if (wait < RETRY_MIN_MS)
    wait = RETRY_MIN_MS;
  if (wait > RETRY_MAX_MS)
    wait = RETRY_MAX_MS;
  /* Jitter, so that callers refused together do not retry together.  */
  return (uint32_t)(wait * (1 + bl_random_unit (&admit->random)));
}
