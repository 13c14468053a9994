/* follower.c -- follows all objects of one kind in the platform's store

   A follower lists the objects once and then watches for changes.  The wait of
   each watch is random, so that the watches of different instances end at
   different times: when the store has lost all its watches, one of the
   followers detects this soon.  When the store has discarded the history that a
   watch needs, or was restored from an older copy, the objects are listed
   again.

   When the store does not answer, the call is retried from the same position
   after an increasing back-off.  Such a retry does not wait for changes: a
   store that was restored meanwhile would let it wait for revisions that mean
   other changes now.  Its answer shows the new era at once.  */

#include "daemon/daemon.h"
#include "platform/platform.h"

#include <pthread.h>
#include <stdlib.h>
#include <unistd.h>

#define BACKOFF_MIN_MS 150
#define BACKOFF_MAX_MS 1200
#define SLEEP_STEP_MS  50 /* between checks of the stop flag */
/* Age that a stale answer may have.  For this time after the position was lost,
   such an answer may be from before the restore.  */
#define STALE_MAX_MS 10000

struct follower
{
  pthread_t thread;
  struct follower_settings settings;
  struct platform_store *store;
  struct platform_store_visitor visitor;
  struct bl_random random;
  volatile bool stop_requested;
  volatile unsigned wait_ms;
  volatile unsigned relist_spread_ms;
  bool reachable;                          /* as of the last call */
  struct platform_store_position position; /* where the next watch begins */
  bool changed;        /* the current call returned an object */
  bool listed;         /* the objects were listed, and POSITION is valid */
  uint64_t newest_era; /* of the store's answers so far */
  uint64_t lost_ms;    /* when the position was last given up; 0: never */
  struct follower_ops ops;
  void *ctx;
};

/* Sleeps for MS milliseconds, or until the follower is stopped.  */
static void
interruptible_sleep (struct follower *f, unsigned ms)
{
  while (ms > 0 && !f->stop_requested)
    {
      unsigned step = ms < SLEEP_STEP_MS ? ms : SLEEP_STEP_MS;
      usleep (step * 1000);
      ms -= step;
    }
}

/* Reports a later era of the store.  */
static void
note_era (struct follower *f)
{
  uint64_t era = platform_store_era (f->store);

  if (era <= f->newest_era)
    return;
  f->newest_era = era;
  if (f->ops.restored != NULL)
    f->ops.restored (f->ctx, era);
}

static void
on_object (void *ctx, struct bl_str name, uint64_t revision, const char *text)
{
  struct follower *f = ctx;

  f->changed = true;
  /* The objects count as read in the era of this answer.  */
  note_era (f);
  f->ops.visit (f->ctx, name, revision, text);
}

/* Logs when the store becomes unreachable, and when it is reachable again after
   a call that began at position FROM.  */
static void
update_reachable (struct follower *f,
                  enum platform_store_result result,
                  struct platform_store_position from)
{
  bool reachable = result == PLATFORM_STORE_OK || result == PLATFORM_STORE_GONE
                   || result == PLATFORM_STORE_RESTORED;

  if (reachable != f->reachable && !f->stop_requested)
    io_log (reachable ? IO_INFO : IO_WARN,
            reachable ? "store_regained" : "store_lost",
            "by=follower kind=%s result=\"%s\" from=%lu.%lu to=%lu.%lu "
            "era=%lu changed=%d",
            f->settings.kind, platform_store_result_name (result), from.era,
            from.revision, f->position.era, f->position.revision,
            platform_store_era (f->store), (int)f->changed);
  f->reachable = reachable;
}

/* Returns the back-off before retry ATTEMPT, counted from 1: exponential, with
   jitter.  */
static unsigned
backoff_ms (struct follower *f, unsigned attempt)
{
  unsigned ms = BACKOFF_MIN_MS;

  while (attempt-- > 1 && ms < BACKOFF_MAX_MS)
    ms *= 2;
  return ms / 2 + bl_random_below (&f->random, ms / 2 + 1);
}

/* Returns the wait of the next watch, a random time from half of wait_ms to all
   of it.  */
static unsigned
next_wait_ms (struct follower *f)
{
  unsigned half = f->wait_ms / 2;

  return half + bl_random_below (&f->random, half + 1);
}

static enum platform_store_result
list_objects (struct follower *f)
{
  enum platform_store_result result = platform_store_list (
      f->store, f->settings.kind, &f->visitor, &f->position);

  if (result != PLATFORM_STORE_OK)
    return result;
  f->listed = true;
  if (f->ops.listed != NULL)
    f->ops.listed (f->ctx);
  return result;
}

static enum platform_store_result
watch_objects (struct follower *f, bool is_retry)
{
  bool stale
      = f->settings.allow_stale && !is_retry
        && (f->lost_ms == 0 || io_now_ms () - f->lost_ms >= STALE_MAX_MS);

  return platform_store_watch (f->store, f->settings.kind,
                               is_retry ? 0 : next_wait_ms (f), stale,
                               &f->visitor, &f->position);
}

/* Gives up the position; the objects are listed again.  */
static void
give_up_position (struct follower *f, enum platform_store_result result)
{
  f->listed = false;
  f->lost_ms = io_now_ms ();
  io_log (IO_INFO, "store_position_lost",
          "kind=%s result=\"%s\" position=%lu.%lu era=%lu", f->settings.kind,
          platform_store_result_name (result), f->position.era,
          f->position.revision, platform_store_era (f->store));
}

static void *
thread_main (void *ctx)
{
  struct follower *f = ctx;
  unsigned attempt = 0;

  while (!f->stop_requested)
    {
      struct platform_store_position from = f->position;
      enum platform_store_result result;
      bool watching = f->listed;
      f->changed = false;
      result = watching ? watch_objects (f, attempt > 0) : list_objects (f);
      update_reachable (f, result, from);
      note_era (f);
      switch (result)
        {
        case PLATFORM_STORE_OK:
          /* After a list, a watch that fails at once must not reset it.  */
          attempt = watching ? 0 : attempt;
          interruptible_sleep (f, f->changed ? f->settings.pause_ms : 0);
          break;
        case PLATFORM_STORE_GONE:
        case PLATFORM_STORE_RESTORED:
          give_up_position (f, result);
          interruptible_sleep (f, attempt > 0 ? backoff_ms (f, attempt) : 0);
          interruptible_sleep (
              f, bl_random_below (&f->random, f->relist_spread_ms));
          attempt++;
          break;
        default:
          interruptible_sleep (f, backoff_ms (f, ++attempt));
        }
    }
  return NULL;
}

struct follower *
follower_start (const struct follower_settings *settings,
                const struct follower_ops *ops,
                void *ctx)
{
  struct follower *f = calloc (1, sizeof *f);

  if (f == NULL)
    return NULL;
  f->settings = *settings;
  f->random.state = settings->random_seed;
  f->wait_ms = settings->wait_ms;
  f->visitor = (struct platform_store_visitor){ .visit = on_object, .ctx = f };
  f->ops = *ops;
  f->ctx = ctx;
  f->reachable = true;
  f->store = platform_store_new (settings->store);
  if (f->store == NULL
      || pthread_create (&f->thread, NULL, thread_main, f) != 0)
    {
      platform_store_free (f->store);
      free (f);
      return NULL;
    }
  return f;
}

void
follower_stop (struct follower *follower)
{
  if (follower == NULL)
    return;
  follower->stop_requested = true;
  platform_store_cancel (follower->store);
  pthread_join (follower->thread, NULL);
}

void
follower_free (struct follower *follower)
{
  if (follower == NULL)
    return;
  platform_store_free (follower->store);
  free (follower);
}

void
follower_set_wait (struct follower *follower, unsigned wait_ms)
{
  follower->wait_ms = wait_ms;
}

void
follower_set_relist_spread (struct follower *follower, unsigned spread_ms)
{
  follower->relist_spread_ms = spread_ms;
}

uint64_t
follower_calls (const struct follower *follower)
{
  return follower != NULL ? platform_store_calls (follower->store) : 0;
}
