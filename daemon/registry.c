/* registry.c -- writes this instance's membership record to the platform's
   store

   One thread makes the calls that core/own_record.c decides on.  While the
   store fails, instances exchange their records directly.  */

#include "core/own_record.h"
#include "core/store.h"
#include "daemon/daemon.h"
#include "platform/platform.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

struct registry
{
  pthread_t thread;
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  struct platform_store *store;
  struct bl_record record;
  struct bl_own_record decisions;
  struct bl_record previous; /* in the store before the first write */
  bool stop_requested;
  bool withdraw;  /* delete the record before the thread ends */
  bool reachable; /* as of the last call */
};

/* The record that the store holds, as read by a check.  */
struct stored_record
{
  bool found;
  uint64_t revision;
  struct bl_record record; /* all zero: not valid */
};

/* Waits for MS milliseconds, or until the record changes, the store is in a new
   era, or the registry is stopped.  MS is 0 for no limit.  */
static void
wait_changed (struct registry *r, uint64_t ms)
{
  struct timespec until;

  if (ms == 0)
    {
      pthread_cond_wait (&r->changed, &r->mutex);
      return;
    }
  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += (time_t)(ms / 1000);
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
  bool reachable = result == PLATFORM_STORE_OK
                   || result == PLATFORM_STORE_CONFLICT
                   || result == PLATFORM_STORE_NOT_FOUND
                   || result == PLATFORM_STORE_RESTORED;

  if (reachable != r->reachable)
    io_log (reachable ? IO_INFO : IO_WARN,
            reachable ? "store_regained" : "store_lost",
            "by=registry result=\"%s\"", platform_store_result_name (result));
  r->reachable = reachable;
}

/* Writes a copy of the record.  The mutex is released during the call.  */
static void
write_record (struct registry *r)
{
  struct bl_record record = r->record;
  struct bl_own_record *o = &r->decisions;
  struct platform_store_position position = { o->era, o->revision };
  enum platform_store_result result = PLATFORM_STORE_REFUSED;
  uint64_t now;
  char *text;

  pthread_mutex_unlock (&r->mutex);
  text = bl_record_format (&record);
  if (text != NULL)
    result = platform_store_put (r->store, PLATFORM_INSTANCES_KIND, record.id.s,
                                 text, &position);
  free (text);
  now = io_now_ms ();
  pthread_mutex_lock (&r->mutex);
  update_reachable (r, result);
  switch (result)
    {
    case PLATFORM_STORE_OK:
      bl_own_record_written (o, now, position.era, position.revision);
      break;
    case PLATFORM_STORE_CONFLICT:
    case PLATFORM_STORE_NOT_FOUND:
      bl_own_record_conflict (o, now, position.era, position.revision);
      break;
    case PLATFORM_STORE_RESTORED:
      bl_own_record_restored (o, now, position.era);
      break;
    default:
      bl_own_record_failed (o, now, BL_OWN_RECORD_WRITE);
    }
}

/* Parses the record that the store holds; a visitor function of the store.  */
static void
note_stored (void *ctx, struct bl_str name, uint64_t revision, const char *text)
{
  struct stored_record *stored = ctx;

  (void)name;
  stored->found = text != NULL;
  stored->revision = revision;
  if (text != NULL && bl_record_parse (&stored->record, text) != BL_OK)
    stored->record = (struct bl_record){ .incarnation = 0 };
}

/* Compares the record with that in the store.  The mutex is released during the
   call.  */
static void
check_record (struct registry *r)
{
  struct bl_name id = r->record.id;
  struct bl_own_record *o = &r->decisions;
  struct stored_record stored = { .found = false };
  struct platform_store_visitor visitor
      = { .visit = note_stored, .ctx = &stored };
  enum platform_store_result result;
  enum bl_own_record_finding finding;
  uint64_t era;

  pthread_mutex_unlock (&r->mutex);
  result
      = platform_store_get (r->store, PLATFORM_INSTANCES_KIND, id.s, &visitor);
  era = platform_store_era (r->store);
  pthread_mutex_lock (&r->mutex);
  update_reachable (r, result);
  if (result != PLATFORM_STORE_OK && result != PLATFORM_STORE_NOT_FOUND)
    {
      bl_own_record_failed (o, io_now_ms (), BL_OWN_RECORD_CHECK);
      return;
    }
  if (!o->checked)
    r->previous = stored.record;
  finding = bl_own_record_checked (o, io_now_ms (), era, stored.revision,
                                   stored.found ? &stored.record : NULL,
                                   &r->record);
  io_log (IO_INFO, "record_checked", "era=%lu revision=%lu finding=%s", era,
          stored.revision, bl_own_record_finding_name (finding));
}

static void *
thread_main (void *ctx)
{
  struct registry *r = ctx;

  pthread_mutex_lock (&r->mutex);
  while (!r->stop_requested)
    {
      uint64_t now = io_now_ms ();
      uint64_t due_ms;
      switch (bl_own_record_next (&r->decisions, now, &due_ms))
        {
        case BL_OWN_RECORD_WRITE:
          write_record (r);
          break;
        case BL_OWN_RECORD_CHECK:
          check_record (r);
          break;
        default:
          wait_changed (r, due_ms != 0 ? due_ms - now : 0);
        }
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
  r->decisions.random.state = random_seed;
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
  bl_own_record_changed (&registry->decisions);
  pthread_cond_signal (&registry->changed);
  pthread_mutex_unlock (&registry->mutex);
}

bool
registry_previous (struct registry *registry, struct bl_record *record)
{
  bool known;

  pthread_mutex_lock (&registry->mutex);
  known = registry->decisions.checked;
  *record = registry->previous;
  pthread_mutex_unlock (&registry->mutex);
  return known;
}

void
registry_note_era (struct registry *registry, uint64_t era)
{
  if (registry == NULL)
    return;
  pthread_mutex_lock (&registry->mutex);
  if (bl_own_record_note_era (&registry->decisions, io_now_ms (), era))
    {
      io_log (IO_INFO, "store_restored", "by=registry era=%lu written_in=%lu",
              era, registry->decisions.era);
      pthread_cond_signal (&registry->changed);
    }
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
