/* events.h -- a queue of events in order of their time  */

#ifndef EVENTS_H
#define EVENTS_H

#include <stddef.h>
#include <stdint.h>

struct event
{
  uint64_t at_us;
  uint64_t order; /* running number; orders events of equal times */
  void (*callback) (void *ctx, struct event *event);
  void *ctx;    /* passed to CALLBACK */
  size_t index; /* of the instance or caller that the event is for */
  uint64_t tag; /* lets CALLBACK recognise an outdated event */
  size_t len;
  uint8_t data[]; /* LEN bytes, such as a packet */
};

struct events
{
  struct event **heap; /* owned */
  size_t count;
  size_t cap;      /* entries that HEAP has room for */
  uint64_t posted; /* events so far */
};

/* Frees all events.  */
void events_clear (struct events *events);
/* Adds an event at AT_US with LEN bytes of data, all zero.  Ends the process
   when out of memory.  */
struct event *events_post (struct events *events, uint64_t at_us, size_t len);
/* Removes and returns the first event due by UNTIL_US, to be freed with free;
   NULL if there is none.  */
struct event *events_take (struct events *events, uint64_t until_us);

#endif
