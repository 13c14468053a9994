/* events.c -- a queue of events in order of their time

   The queue is a binary heap.  Events of the same time are taken in the order
   in which they were posted, so that a run depends on nothing but its seed.  */

#include "emulator/events.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

void
events_clear (struct events *events)
{
  for (size_t i = 0; i < events->count; i++)
    free (events->heap[i]);
  free (events->heap);
  *events = (struct events){ .count = 0 };
}

static bool
is_earlier (const struct event *a, const struct event *b)
{
  if (a->at_us != b->at_us)
    return a->at_us < b->at_us;
  return a->order < b->order;
}

static void
swap (struct events *events, size_t a, size_t b)
{
  struct event *e = events->heap[a];

  events->heap[a] = events->heap[b];
  events->heap[b] = e;
}

static void *
exit_if_null (void *ptr)
{
  if (ptr == NULL)
    {
      fprintf (stderr, "emulator: out of memory\n");
      exit (1);
    }
  return ptr;
}

struct event *
events_post (struct events *events, uint64_t at_us, size_t len)
{
  struct event *e = exit_if_null (calloc (1, sizeof *e + len));
  size_t at = events->count;

  if (events->count == events->cap)
    {
      events->cap = events->cap > 0 ? events->cap * 2 : 1024;
      events->heap = exit_if_null (
          realloc (events->heap, events->cap * sizeof *events->heap));
    }
  e->at_us = at_us;
  e->order = events->posted++;
  e->len = len;
  events->heap[events->count++] = e;
  while (at > 0 && is_earlier (events->heap[at], events->heap[(at - 1) / 2]))
    {
      swap (events, at, (at - 1) / 2);
      at = (at - 1) / 2;
    }
  return e;
}

/* Restores the order of the heap after its root was replaced.  */
static void
sift_down (struct events *events)
{
  size_t at = 0;

  for (;;)
    {
      size_t least = at;
      for (size_t child = 2 * at + 1; child <= 2 * at + 2; child++)
        if (child < events->count
            && is_earlier (events->heap[child], events->heap[least]))
          least = child;
      if (least == at)
        return;
      swap (events, at, least);
      at = least;
    }
}

struct event *
events_take (struct events *events, uint64_t until_us)
{
  struct event *e;

  if (events->count == 0 || events->heap[0]->at_us > until_us)
    return NULL;
  e = events->heap[0];
  events->heap[0] = events->heap[--events->count];
  sift_down (events);
  return e;
}
