/* loop.c -- event loop with a periodic tick, using epoll

   The loop holds the lock at all times except while it waits for events.
   Handlers and the tick therefore never run at the same time as code of other
   threads that holds the lock.  */

#include "io/io.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#define EVENTS_MAX 64 /* handled per round */

struct io_loop
{
  int epoll_fd;
  volatile bool stop_requested;
  int interval_ms;
  uint64_t next_tick_ms;
  void (*tick) (void *ctx);
  void *tick_ctx;
  void (*lock) (void *ctx);
  void (*unlock) (void *ctx);
  void *lock_ctx;
  /* Number of events in the current round.  io_loop_remove clears the events of
     the removed source, which may be freed before its turn.  */
  int event_count;
  struct epoll_event events[EVENTS_MAX];
};

uint64_t
io_now_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t
io_wall_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_REALTIME, &ts);
  return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

struct io_loop *
io_loop_new (void)
{
  struct io_loop *loop = calloc (1, sizeof *loop);

  if (loop == NULL)
    return NULL;
  loop->interval_ms = 1000;
  loop->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (loop->epoll_fd < 0)
    {
      free (loop);
      return NULL;
    }
  return loop;
}

void
io_loop_free (struct io_loop *loop)
{
  if (loop == NULL)
    return;
  close (loop->epoll_fd);
  free (loop);
}

int
io_loop_add (struct io_loop *loop, struct io_source *source)
{
  struct epoll_event ev = { .events = source->events, .data.ptr = source };
  return epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, source->fd, &ev);
}

int
io_loop_change (struct io_loop *loop, struct io_source *source, uint32_t events)
{
  struct epoll_event ev = { .events = events, .data.ptr = source };

  if (source->events == events)
    return 0;
  source->events = events;
  return epoll_ctl (loop->epoll_fd, EPOLL_CTL_MOD, source->fd, &ev);
}

void
io_loop_remove (struct io_loop *loop, struct io_source *source)
{
  epoll_ctl (loop->epoll_fd, EPOLL_CTL_DEL, source->fd, NULL);
  for (int i = 0; i < loop->event_count; i++)
    if (loop->events[i].data.ptr == source)
      loop->events[i].data.ptr = NULL;
}

void
io_loop_set_lock (struct io_loop *loop,
                  void (*lock) (void *ctx),
                  void (*unlock) (void *ctx),
                  void *ctx)
{
  loop->lock = lock;
  loop->unlock = unlock;
  loop->lock_ctx = ctx;
}

void
io_loop_set_tick (struct io_loop *loop,
                  int interval_ms,
                  void (*tick) (void *ctx),
                  void *ctx)
{
  loop->interval_ms = interval_ms;
  loop->tick = tick;
  loop->tick_ctx = ctx;
}

static int
time_to_tick_ms (const struct io_loop *loop)
{
  uint64_t now = io_now_ms ();
  return now >= loop->next_tick_ms ? 0 : (int)(loop->next_tick_ms - now);
}

static void
handle_events (struct io_loop *loop, int n)
{
  loop->event_count = n;
  for (int i = 0; i < n; i++)
    {
      struct io_source *source = loop->events[i].data.ptr;
      if (source != NULL)
        source->ready (source, loop->events[i].events);
    }
  loop->event_count = 0;
  if (io_now_ms () < loop->next_tick_ms)
    return;
  loop->next_tick_ms = io_now_ms () + (uint64_t)loop->interval_ms;
  if (loop->tick != NULL)
    loop->tick (loop->tick_ctx);
}

void
io_loop_run (struct io_loop *loop)
{
  while (!loop->stop_requested)
    {
      int n = epoll_wait (loop->epoll_fd, loop->events, EVENTS_MAX,
                          time_to_tick_ms (loop));
      if (n < 0 && errno != EINTR)
        return;
      if (loop->lock != NULL)
        loop->lock (loop->lock_ctx);
      handle_events (loop, n < 0 ? 0 : n);
      if (loop->unlock != NULL)
        loop->unlock (loop->lock_ctx);
    }
}

void
io_loop_stop (struct io_loop *loop)
{
  loop->stop_requested = true;
}
