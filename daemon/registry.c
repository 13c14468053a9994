/* registry.c -- writes this instance's membership record to the platform's
   store

   One thread writes the newest record whenever it has changed.  A write is
   conditional on the revision that it replaces, so a write that takes effect
   late, after its answer was lost, cannot bring back an older record.  After a
   conflict the write is repeated with the revision that the store reports.
   Failures are retried with back-off; meanwhile instances exchange their
   records directly.  */

#include "core/store.h"
#include "daemon/daemon.h"
#include "platform/platform.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define BACKOFF_MIN_MS 200
#define BACKOFF_MAX_MS 2000

struct registry
{
  pthread_t thread;
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  struct platform_store *store;
  struct bl_random random;
  struct bl_record record;
  bool dirty; /* the record has to be written */
  bool stop_requested;
  bool withdraw;     /* delete the record before the thread ends */
  bool reachable;    /* as of the last call */
  uint64_t revision; /* of the object, as last reported; 0: none */
};

/* -- writing -- */

/* Waits for MS milliseconds, or until the record changes or the registry is
   stopped.  */
static void
wait_changed (struct registry *r, unsigned ms)
{
  struct timespec until;

  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += ms / 1000;
  until.tv_nsec += (long)(ms % 1000) * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  pthread_cond_timedwait (&r->changed, &r->mutex, &until);
}

/* Logs when the store becomes unreachable, and when it is reachable again.  */
static void
update_reachable (struct registry *r, enum platform_store_result result)
{
  bool reachable
      = result == PLATFORM_STORE_OK || result == PLATFORM_STORE_CONFLICT;

  if (reachable != r->reachable)
    io_log (reachable ? IO_INFO : IO_WARN,
            reachable ? "store_regained" : "store_lost",
            "by=registry result=\"%s\"", platform_store_result_name (result));
  r->reachable = reachable;
}

/* Writes a copy of the record.  The mutex is released during the call.  */
static enum platform_store_result
write_record (struct registry *r)
{
  struct bl_record record = r->record;
  enum platform_store_result result = PLATFORM_STORE_REFUSED;
  char *text;

  r->dirty = false;
  pthread_mutex_unlock (&r->mutex);
  text = bl_record_format (&record);
  if (text != NULL)
    result = platform_store_put (r->store, PLATFORM_INSTANCES_KIND, record.id.s,
                                 text, &r->revision);
  free (text);
  pthread_mutex_lock (&r->mutex);
  /* The object was deleted: the next write creates it.  */
  if (result == PLATFORM_STORE_NOT_FOUND)
    r->revision = 0;
  update_reachable (r, result);
  if (result != PLATFORM_STORE_OK)
    r->dirty = true;
  return result;
}

/* Returns the back-off before retry ATTEMPT, counted from 1: exponential, with
   jitter.  */
static unsigned
backoff_ms (struct registry *r, unsigned attempt)
{
  unsigned ms = BACKOFF_MIN_MS;

  while (attempt-- > 1 && ms < BACKOFF_MAX_MS)
    ms *= 2;
  return ms / 2 + bl_random_below (&r->random, ms / 2 + 1);
}

static void *
thread_main (void *ctx)
{
  struct registry *r = ctx;
  unsigned attempt = 0;

  pthread_mutex_lock (&r->mutex);
  while (!r->stop_requested)
    {
      enum platform_store_result result;
      if (!r->dirty)
        {
          pthread_cond_wait (&r->changed, &r->mutex);
          continue;
        }
      result = write_record (r);
      if (result == PLATFORM_STORE_OK || result == PLATFORM_STORE_CONFLICT
          || result == PLATFORM_STORE_NOT_FOUND)
        attempt = 0;
      else if (!r->stop_requested)
        wait_changed (r, backoff_ms (r, ++attempt));
    }
  if (r->withdraw)
    {
      enum platform_store_result result = platform_store_delete (
          r->store, PLATFORM_INSTANCES_KIND, r->record.id.s);
      io_log (IO_INFO, "record_withdrawn", "result=\"%s\"",
              platform_store_result_name (result));
    }
  pthread_mutex_unlock (&r->mutex);
  return NULL;
}

struct registry *
registry_start (struct bl_addr store, uint64_t random_seed)
{
  struct registry *r = calloc (1, sizeof *r);
  pthread_condattr_t attr;

  if (r == NULL)
    return NULL;
  pthread_mutex_init (&r->mutex, NULL);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&r->changed, &attr);
  r->random.state = random_seed;
  r->reachable = true;
  r->store = platform_store_new (store);
  if (r->store == NULL
      || pthread_create (&r->thread, NULL, thread_main, r) != 0)
    {
      platform_store_free (r->store);
      free (r);
      return NULL;
    }
  return r;
}

void
registry_publish (struct registry *registry, const struct bl_record *record)
{
  if (registry == NULL)
    return;
  pthread_mutex_lock (&registry->mutex);
  registry->record = *record;
  registry->dirty = true;
  pthread_cond_signal (&registry->changed);
  pthread_mutex_unlock (&registry->mutex);
}

void
registry_stop (struct registry *registry, bool withdraw)
{
  if (registry == NULL)
    return;
  if (!withdraw)
    platform_store_cancel (registry->store);
  pthread_mutex_lock (&registry->mutex);
  registry->stop_requested = true;
  registry->withdraw = withdraw;
  pthread_cond_signal (&registry->changed);
  pthread_mutex_unlock (&registry->mutex);
  pthread_join (registry->thread, NULL);
  platform_store_free (registry->store);
  free (registry);
}

uint64_t
registry_calls (const struct registry *registry)
{
  return registry != NULL ? platform_store_calls (registry->store) : 0;
}
