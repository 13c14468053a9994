/* registry.c -- writes this instance's membership record to the platform's
   store, and an agent's flow table when it stops

   One thread makes the calls that core/own_record.c decides on.  While the
   store fails, instances exchange their records directly.  The flow table that
   an earlier process of the agent left is read once, after the first check of
   the record.  */

#include "core/handover.h"
#include "core/own_record.h"
#include "core/store.h"
#include "daemon/daemon.h"
#include "platform/platform.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define HANDOVER_READS_MAX 5   /* calls, until an earlier table is given up */
#define HANDOVER_RETRY_MS  100 /* after a call that failed */

/* What is known of the object with this agent's handover.  */
struct handover_object
{
  struct platform_store_position position;
  unsigned reads_left;
  uint64_t call_ms;           /* when the next call is due */
  bool loaded;                /* READ was filled, and is not passed on yet */
  uint64_t read_era;          /* of the answer that READ is from */
  struct bl_handover read;    /* owned */
  bool write_due;             /* WRITTEN has to be written */
  struct bl_handover written; /* owned */
};

/* The record that the store holds, as read by a check.  */
struct stored_record
{
  bool found;
  uint64_t revision;
  struct bl_record record; /* all zero: not valid */
};

struct registry
{
  pthread_t thread;
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  struct platform_store *store;
  struct bl_record record;
  struct bl_own_record decisions;
  struct stored_record previous; /* in the store before the first write */
  struct handover_object handover;
  uint32_t recorded_seq; /* version of the record that the store has; 0: none */
  bool stop_requested;
  bool withdraw;  /* delete the record before the thread ends */
  bool reachable; /* as of the last call */
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
      r->recorded_seq = record.seq;
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
    r->previous = stored;
  finding = bl_own_record_checked (o, io_now_ms (), era, stored.revision,
                                   stored.found ? &stored.record : NULL,
                                   &r->record);
  io_log (IO_INFO, "record_checked",
          "era=%lu revision=%lu finding=%s stored=%lu.%u state=%s "
          "backend_start=%lu",
          era, stored.revision, bl_own_record_finding_name (finding),
          stored.record.incarnation, stored.record.seq,
          bl_state_name (stored.record.state), stored.record.backend_start);
}

/* Parses the handover that the store holds; a visitor function of the store. */
static void
note_handover (void *ctx,
               struct bl_str name,
               uint64_t revision,
               const char *text)
{
  struct handover_object *h = ctx;

  (void)name;
  h->position.revision = revision;
  h->loaded = text != NULL && bl_handover_parse (&h->read, text) == BL_OK;
}

/* Reads the handover.  The mutex is released during the call.  */
static void
read_handover (struct registry *r)
{
  struct bl_name id = r->record.id;
  struct handover_object found = { .reads_left = r->handover.reads_left - 1 };
  struct platform_store_visitor visitor
      = { .visit = note_handover, .ctx = &found };
  enum platform_store_result result;

  pthread_mutex_unlock (&r->mutex);
  result
      = platform_store_get (r->store, PLATFORM_HANDOVERS_KIND, id.s, &visitor);
  found.position.era = platform_store_era (r->store);
  found.read_era = found.position.era;
  found.call_ms = io_now_ms () + HANDOVER_RETRY_MS;
  pthread_mutex_lock (&r->mutex);
  update_reachable (r, result);
  if (result == PLATFORM_STORE_OK || result == PLATFORM_STORE_NOT_FOUND)
    found.reads_left = 0;
  found.write_due = r->handover.write_due;
  found.written = r->handover.written;
  r->handover = found;
  io_log (IO_INFO, "handover_read", "result=\"%s\" era=%lu flows=%zu",
          platform_store_result_name (result), found.read_era,
          found.read.count);
}

/* Writes the handover.  The mutex is released during the call.  */
static void
write_handover (struct registry *r)
{
  struct handover_object *h = &r->handover;
  struct bl_name id = r->record.id;
  struct platform_store_position position = h->position;
  enum platform_store_result result = PLATFORM_STORE_REFUSED;
  char *text;

  h->written.store_era = r->decisions.newest_era;
  text = bl_handover_format (&h->written);
  pthread_mutex_unlock (&r->mutex);
  if (text != NULL)
    result = platform_store_put (r->store, PLATFORM_HANDOVERS_KIND, id.s, text,
                                 &position);
  io_log (IO_INFO, "handover_written", "result=\"%s\" flows=%zu bytes=%zu",
          platform_store_result_name (result), h->written.count,
          text != NULL ? strlen (text) : 0);
  free (text);
  pthread_mutex_lock (&r->mutex);
  update_reachable (r, result);
  h->position = position;
  h->write_due
      = result != PLATFORM_STORE_OK && result != PLATFORM_STORE_REFUSED;
  /* After a conflict the position is the current one.  */
  if (result != PLATFORM_STORE_CONFLICT)
    h->call_ms = io_now_ms () + HANDOVER_RETRY_MS;
}

/* Returns when the next call about the handover is due; 0: none is.  */
static uint64_t
handover_due_ms (const struct registry *r)
{
  const struct handover_object *h = &r->handover;

  if (!h->write_due && (h->reads_left == 0 || !r->decisions.checked))
    return 0;
  return h->call_ms != 0 ? h->call_ms : 1;
}

/* Returns true if the first write of the record is due.  It precedes the read
   of the handover, since an agent accepts no flows before it.  */
static bool
first_write_is_due (const struct registry *r, uint64_t now)
{
  return r->recorded_seq == 0 && r->decisions.dirty && r->decisions.checked
         && now >= r->decisions.not_before_ms;
}

/* Performs the next action on the record or the handover, or waits.  */
static void
perform_next (struct registry *r)
{
  uint64_t now = io_now_ms ();
  uint64_t handover_ms = handover_due_ms (r);
  uint64_t due_ms;

  if (r->handover.write_due && handover_ms <= now)
    {
      write_handover (r);
      return;
    }
  if (handover_ms != 0 && handover_ms <= now && !first_write_is_due (r, now))
    {
      read_handover (r);
      return;
    }
  switch (bl_own_record_next (&r->decisions, now, &due_ms))
    {
    case BL_OWN_RECORD_WRITE:
      write_record (r);
      break;
    case BL_OWN_RECORD_CHECK:
      check_record (r);
      break;
    default:
      if (due_ms == 0 || (handover_ms != 0 && handover_ms < due_ms))
        due_ms = handover_ms;
      wait_changed (r, due_ms != 0 ? due_ms - now : 0);
    }
}

/* Deletes what the store holds of an agent whose backend server has left.  */
static void
withdraw (struct registry *r)
{
  enum platform_store_result result = platform_store_delete (
      r->store, PLATFORM_INSTANCES_KIND, r->record.id.s);

  io_log (IO_INFO, "record_withdrawn", "result=\"%s\"",
          platform_store_result_name (result));
  if (r->handover.position.revision != 0)
    platform_store_delete (r->store, PLATFORM_HANDOVERS_KIND, r->record.id.s);
}

static void *
thread_main (void *ctx)
{
  struct registry *r = ctx;

  pthread_mutex_lock (&r->mutex);
  while (!r->stop_requested)
    perform_next (r);
  if (r->withdraw)
    withdraw (r);
  pthread_mutex_unlock (&r->mutex);
  return NULL;
}

struct registry *
registry_start (struct bl_addr store, uint64_t random_seed, bool read_handover)
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
  r->handover.reads_left = read_handover ? HANDOVER_READS_MAX : 0;
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
registry_previous (struct registry *registry,
                   struct bl_record *record,
                   bool *found)
{
  bool known;

  pthread_mutex_lock (&registry->mutex);
  known = registry->decisions.checked;
  *record = registry->previous.record;
  *found = registry->previous.found;
  pthread_mutex_unlock (&registry->mutex);
  return known;
}

uint32_t
registry_recorded (struct registry *registry)
{
  uint32_t seq;

  pthread_mutex_lock (&registry->mutex);
  seq = registry->recorded_seq;
  pthread_mutex_unlock (&registry->mutex);
  return seq;
}

void
registry_hand_over (struct registry *registry, struct bl_handover *handover)
{
  pthread_mutex_lock (&registry->mutex);
  registry->handover.written = *handover;
  registry->handover.write_due = true;
  registry->handover.call_ms = 0;
  pthread_cond_signal (&registry->changed);
  pthread_mutex_unlock (&registry->mutex);
}

bool
registry_is_handed_over (struct registry *registry)
{
  bool written;

  pthread_mutex_lock (&registry->mutex);
  written = !registry->handover.write_due;
  pthread_mutex_unlock (&registry->mutex);
  return written;
}

bool
registry_take_over (struct registry *registry,
                    struct bl_handover *out,
                    uint64_t *era)
{
  struct handover_object *h = &registry->handover;
  bool loaded;

  pthread_mutex_lock (&registry->mutex);
  loaded = h->loaded;
  h->loaded = false;
  if (loaded)
    {
      *out = h->read;
      *era = h->read_era;
      h->read = (struct bl_handover){ .count = 0 };
    }
  pthread_mutex_unlock (&registry->mutex);
  return loaded;
}

bool
registry_is_taken_over (struct registry *registry)
{
  bool over;

  pthread_mutex_lock (&registry->mutex);
  over = registry->handover.reads_left == 0 && !registry->handover.loaded;
  pthread_mutex_unlock (&registry->mutex);
  return over;
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
}

void
registry_free (struct registry *registry)
{
  if (registry == NULL)
    return;
  platform_store_free (registry->store);
  bl_handover_clear (&registry->handover.read);
  bl_handover_clear (&registry->handover.written);
  free (registry);
}

uint64_t
registry_calls (const struct registry *registry)
{
  return registry != NULL ? platform_store_calls (registry->store) : 0;
}
