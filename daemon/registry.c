/* registry.c -- keeps the own record in the platform's store

   One thread writes the newest record whenever it changed.  A write is made
   under the condition of the revision that it replaces, so one that is done
   late, after its answer was lost, cannot bring an older record back; a
   conflict names the revision to go on from.  Failures are retried with
   backoff, and meanwhile instances tell each other directly.  */

#include "daemon/daemon.h"
#include "platform/platform.h"

#include <jansson.h>
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
  bool dirty;
  bool stopped;
  bool withdraw;
  bool reachable;    /* by the last call */
  uint64_t revision; /* of the object, as last heard; 0: none */
};

/* -- records as JSON -- */

static char *
record_text (const struct bl_record *r)
{
  json_t *json = json_pack (
      "{s:i, s:i, s:s, s:s, s:s, s:I, s:i, s:i, s:i, s:i, s:I, s:I, s:I}",
      "kind", (int)r->kind, "state", (int)r->state, "id", r->id.s, "dc",
      r->dc.s, "service", r->service.s, "ip", (json_int_t)r->ip, "data_port",
      (int)r->data_port, "control_port", (int)r->control_port, "bulk_port",
      (int)r->bulk_port, "admin_port", (int)r->admin_port, "incarnation",
      (json_int_t)r->incarnation, "seq", (json_int_t)r->seq, "slots",
      (json_int_t)r->slots);
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  return text;
}

static uint64_t
number (const json_t *json, const char *field, uint64_t max, bool *good)
{
  const json_t *value = json_object_get (json, field);
  json_int_t n = json_integer_value (value);

  if (!json_is_integer (value) || n < 0 || (uint64_t)n > max)
    {
      *good = false;
      return 0;
    }
  return (uint64_t)n;
}

static void
name (const json_t *json, const char *field, struct bl_name *out, bool *good)
{
  const char *text = json_string_value (json_object_get (json, field));

  if (text == NULL || bl_name_set (out, bl_str_of (text)) != BL_OK)
    *good = false;
}

int
registry_parse (struct bl_record *record, const char *text)
{
  json_t *json = json_loads (text, 0, NULL);
  bool good = json_is_object (json);
  bool optional = true;

  memset (record, 0, sizeof *record);
  record->kind = (enum bl_kind)number (json, "kind", BL_KIND_BACKEND, &good);
  record->state = (enum bl_state)number (json, "state", BL_STATE_DEAD, &good);
  name (json, "id", &record->id, &good);
  name (json, "dc", &record->dc, &good);
  name (json, "service", &record->service, &optional);
  record->ip = (uint32_t)number (json, "ip", UINT32_MAX, &good);
  record->data_port = (uint16_t)number (json, "data_port", UINT16_MAX, &good);
  record->control_port
      = (uint16_t)number (json, "control_port", UINT16_MAX, &good);
  record->bulk_port = (uint16_t)number (json, "bulk_port", UINT16_MAX, &good);
  record->admin_port = (uint16_t)number (json, "admin_port", UINT16_MAX, &good);
  record->incarnation = number (json, "incarnation", INT64_MAX, &good);
  record->seq = (uint32_t)number (json, "seq", UINT32_MAX, &good);
  record->slots = (uint32_t)number (json, "slots", UINT32_MAX, &good);
  json_decref (json);
  if (record->kind == BL_KIND_BACKEND && !optional)
    good = false;
  return good ? BL_OK : BL_EFORMAT;
}

/* -- writing -- */

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

static void
note_result (struct registry *r, enum platform_result result)
{
  bool reachable = result == PLATFORM_OK || result == PLATFORM_CONFLICT;

  if (reachable != r->reachable)
    io_log (reachable ? IO_INFO : IO_WARN,
            reachable ? "store_regained" : "store_lost",
            "by=registry result=\"%s\"", platform_result_name (result));
  r->reachable = reachable;
}

/* Writes a copy of the record with the lock released.  */
static enum platform_result
write_once (struct registry *r)
{
  struct bl_record record = r->record;
  enum platform_result result = PLATFORM_REFUSED;
  char *text;

  r->dirty = false;
  pthread_mutex_unlock (&r->mutex);
  text = record_text (&record);
  if (text != NULL)
    result = platform_store_put (r->store, REGISTRY_KIND, record.id.s, text,
                                 &r->revision);
  free (text);
  pthread_mutex_lock (&r->mutex);
  /* The object is gone: it is created anew.  */
  if (result == PLATFORM_NOT_FOUND)
    r->revision = 0;
  note_result (r, result);
  if (result != PLATFORM_OK)
    r->dirty = true;
  return result;
}

static unsigned
backoff_ms (struct registry *r, unsigned attempt)
{
  unsigned ms = BACKOFF_MIN_MS;

  while (attempt-- > 1 && ms < BACKOFF_MAX_MS)
    ms *= 2;
  return ms / 2 + bl_random_below (&r->random, ms / 2 + 1);
}

static void *
run (void *ctx)
{
  struct registry *r = ctx;
  unsigned attempt = 0;

  pthread_mutex_lock (&r->mutex);
  while (!r->stopped)
    {
      enum platform_result result;
      if (!r->dirty)
        {
          pthread_cond_wait (&r->changed, &r->mutex);
          continue;
        }
      result = write_once (r);
      if (result == PLATFORM_OK || result == PLATFORM_CONFLICT
          || result == PLATFORM_NOT_FOUND)
        attempt = 0;
      else if (!r->stopped)
        wait_changed (r, backoff_ms (r, ++attempt));
    }
  if (r->withdraw)
    {
      enum platform_result result
          = platform_store_delete (r->store, REGISTRY_KIND, r->record.id.s);
      io_log (IO_INFO, "record_withdrawn", "result=\"%s\"",
              platform_result_name (result));
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
  if (r->store == NULL || pthread_create (&r->thread, NULL, run, r) != 0)
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
  registry->stopped = true;
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
