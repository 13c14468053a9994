/* events.h -- what happens when, in order of time  */

#ifndef EVENTS_H
#define EVENTS_H

#include <stddef.h>
#include <stdint.h>

struct event
{
  uint64_t at_us;
  uint64_t order; /* of posting; decides between equal times */
  void (*run) (void *ctx, struct event *event);
  void *ctx;
  size_t index; /* whom it is for */
  uint64_t tag; /* to be checked by whom it is for */
  size_t len;
  uint8_t data[]; /* a message */
};

struct events
{
  struct event **heap; /* owned */
  size_t count;
  size_t cap;
  uint64_t posted;
};

void events_clear (struct events *events);
/* Adds an event with room for LEN bytes of data; exits when out of memory.  */
struct event *events_post (struct events *events, uint64_t at_us, size_t len);
/* Takes the first event due by UNTIL_US, which the caller frees, or NULL.  */
struct event *events_take (struct events *events, uint64_t until_us);

#endif
