/* closing.c -- closes what a role has opened while its event loop goes on

   Threads and HTTP servers may take seconds to end: an HTTP server waits for
   its peers, a call to the store for its time-out.  Packets have to be passed
   on meanwhile, and the process has to end before it is killed.  So a thread
   closes, and the event loop waits for it, for CLOSING_MAX_MS at most.  */

#include "daemon/daemon.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <unistd.h>

struct closing
{
  pthread_t thread;
  uint64_t start_ms;
  atomic_bool done;
  void (*close) (void *ctx);
  void *ctx;
};

static void *
thread_main (void *ctx)
{
  struct closing *c = ctx;

  c->close (c->ctx);
  c->done = true;
  return NULL;
}

struct closing *
closing_start (void (*close) (void *ctx), void *ctx)
{
  struct closing *c = calloc (1, sizeof *c);

  if (c == NULL)
    return NULL;
  c->start_ms = io_now_ms ();
  c->close = close;
  c->ctx = ctx;
  if (pthread_create (&c->thread, NULL, thread_main, c) != 0)
    {
      free (c);
      return NULL;
    }
  return c;
}

bool
closing_is_over (const struct closing *closing)
{
  return closing->done || io_now_ms () - closing->start_ms >= CLOSING_MAX_MS;
}

void
closing_finish (struct closing *closing)
{
  if (!closing->done)
    {
      /* The thread still uses what would be freed now.  */
      io_log (IO_WARN, "stopped", "why=\"not all was closed in time\" ms=%lu",
              io_now_ms () - closing->start_ms);
      io_log_close ();
      _exit (EXIT_SUCCESS);
    }
  pthread_join (closing->thread, NULL);
  free (closing);
}
