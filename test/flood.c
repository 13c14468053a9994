/* flood.c -- simulates requests of two classes at one backend server  */

#include "test/flood.h"

#include <stdlib.h>
#include <string.h>

struct request
{
  struct bl_ticket ticket; /* first member: serve_queue casts it to this */
  uint64_t arrived_ms;
  uint64_t done_ms;     /* end of service, once the request runs */
  struct request *next; /* in the list of running requests */
};

struct run
{
  struct bl_admit admit;
  struct bl_random random;
  uint64_t now;
  uint32_t service_ms;
  struct request *running;
  struct flood_outcome *outcomes;
  uint32_t *latencies[2];
};

static void
start_request (struct run *run, struct request *r)
{
  uint32_t waited = (uint32_t)(run->now - r->arrived_ms);
  struct flood_outcome *o = &run->outcomes[r->ticket.class_index];

  if (waited > o->longest_wait_ms)
    o->longest_wait_ms = waited;
  r->done_ms = run->now + run->service_ms / 2
               + bl_random_below (&run->random, run->service_ms + 1);
  r->next = run->running;
  run->running = r;
}

static void
add_request (struct run *run, size_t class_index)
{
  struct flood_outcome *o = &run->outcomes[class_index];
  struct request *r = calloc (1, sizeof *r);

  if (r == NULL)
    abort ();
  r->ticket.class_index = (uint8_t)class_index;
  r->arrived_ms = run->now;
  o->requests++;
  switch (bl_admit_request (&run->admit, run->now, &r->ticket))
    {
    case BL_ADMIT_RUN:
      start_request (run, r);
      break;
    case BL_ADMIT_REFUSE:
      o->refused++;
      free (r);
      break;
    default:
      break;
    }
}

static void
finish_requests (struct run *run)
{
  struct request **at = &run->running;

  while (*at != NULL)
    {
      struct request *r = *at;
      size_t i = r->ticket.class_index;
      if (r->done_ms > run->now)
        {
          at = &r->next;
          continue;
        }
      *at = r->next;
      run->latencies[i][run->outcomes[i].answered++]
          = (uint32_t)(run->now - r->arrived_ms);
      bl_admit_release (&run->admit, run->now, &r->ticket);
      free (r);
    }
}

static void
serve_queue (struct run *run)
{
  enum bl_verdict verdict;
  struct bl_ticket *t;

  while ((t = bl_admit_next (&run->admit, run->now, &verdict)) != NULL)
    {
      struct request *r = (struct request *)t;
      if (verdict == BL_ADMIT_RUN)
        {
          start_request (run, r);
          continue;
        }
      run->outcomes[t->class_index].refused++;
      run->outcomes[t->class_index].refused_late++;
      free (r);
    }
}

static int
compare_values (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return (x > y) - (x < y);
}

static void
summarise (struct flood_outcome *o, uint32_t *latencies)
{
  if (o->answered == 0)
    return;
  qsort (latencies, o->answered, sizeof *latencies, compare_values);
  o->p50_ms = latencies[o->answered / 2];
  o->p99_ms = latencies[o->answered * 99 / 100];
}

static void
configure_admission (struct run *run,
                     uint32_t slots,
                     uint64_t seed,
                     const struct flood_class *classes,
                     size_t count)
{
  struct bl_service service = { .listener_count = count };

  for (size_t i = 0; i < count; i++)
    service.listeners[i] = (struct bl_listener){
      .priority = classes[i].priority,
      .reserved = classes[i].reserved,
      .wait_ms = classes[i].wait_ms,
    };
  bl_admit_init (&run->admit, slots, seed);
  bl_admit_configure (&run->admit, &service);
}

void
flood_run (uint64_t seed,
           uint32_t slots,
           uint32_t service_ms,
           const struct flood_class *classes,
           size_t count,
           unsigned seconds,
           struct flood_outcome *outcomes)
{
  struct run run = {
    .random = { .state = seed },
    .service_ms = service_ms,
    .outcomes = outcomes,
  };

  memset (outcomes, 0, count * sizeof *outcomes);
  configure_admission (&run, slots, seed, classes, count);
  for (size_t i = 0; i < count; i++)
    run.latencies[i] = calloc (FLOOD_REQUESTS_MAX, sizeof (uint32_t));
  for (; run.now < seconds * 1000u || run.running != NULL; run.now++)
    {
      finish_requests (&run);
      serve_queue (&run);
      for (size_t i = 0; i < count && run.now < seconds * 1000u; i++)
        for (unsigned k = 0; k < (classes[i].arrivals_per_s + 999) / 1000; k++)
          if (bl_random_below (&run.random, 1000)
              < classes[i].arrivals_per_s
                    / ((classes[i].arrivals_per_s + 999) / 1000))
            add_request (&run, i);
    }
  for (size_t i = 0; i < count; i++)
    {
      summarise (&outcomes[i], run.latencies[i]);
      free (run.latencies[i]);
    }
}
