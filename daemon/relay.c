/* relay.c -- reads the configuration from the platform

   While this instance is a relay, its thread keeps one watch on the root
   object.  When the root changes, the relay reads the parts that changed since
   the version that the node holds, and passes their changed services to the
   node, which distributes them.  Reading is idempotent, so several relays at a
   time do no harm, and an instance that becomes a relay again continues from
   the version that its node then holds.  Failures are retried with back-off;
   meanwhile the last configuration stays in force.

   A platform that was restored from an older copy gives out versions of objects
   again, so a watch from one of an earlier era is not continued.  A
   configuration that the restore has lost is written again.  */

#include "daemon/daemon.h"
#include "daemon/root_copy.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WATCH_TIMEOUT_S  25
#define POLL_INTERVAL_MS 200   /* between checks whether this is a relay */
#define LOG_INTERVAL_MS  10000 /* between log lines about faults, at least */

struct relay
{
  pthread_t thread;
  volatile bool stop_requested;
  struct io_kv *kv;
  struct relay_ops ops;
  void *ctx;
  struct io_rate_limit fault_limit;
  struct root_copy copy;          /* the configuration last read */
  struct io_kv_position position; /* of the root object last read; version 0:
                                     none */
};

/* The changed services of several parts.  */
struct collected_services
{
  struct bl_service **list; /* owned */
  size_t count;
};

/* Sleeps for MS milliseconds, or until the relay is stopped.  */
static void
interruptible_sleep (struct relay *r, unsigned ms)
{
  while (ms > 0 && !r->stop_requested)
    {
      unsigned step = ms < POLL_INTERVAL_MS ? ms : POLL_INTERVAL_MS;
      usleep (step * 1000);
      ms -= step;
    }
}

static void
log_fault (struct relay *r, const char *step, const char *reason)
{
  uint64_t suppressed;

  if (io_rate_limit_allow (&r->fault_limit, io_now_ms (), LOG_INTERVAL_MS,
                           &suppressed))
    io_log (IO_WARN, "platform_fault", "step=%s reason=\"%s\" suppressed=%lu",
            step, reason, suppressed);
}

/* Moves those of a part's SERVICES that changed after version FROM to
   COLLECTED, and frees the others and the array.  On BL_ENOMEM SERVICES is
   unchanged.  */
static int
collect_changed (struct collected_services *collected,
                 struct bl_service **services,
                 size_t count,
                 uint64_t from)
{
  struct bl_service **list = realloc (
      collected->list, (collected->count + count + 1) * sizeof *list);

  if (list == NULL)
    return BL_ENOMEM;
  collected->list = list;
  for (size_t i = 0; i < count; i++)
    if (services[i]->changed > from)
      list[collected->count++] = services[i];
    else
      bl_service_free (services[i]);
  free (services);
  return BL_OK;
}

/* Reads part INDEX of ROOT and collects its services that changed after
   FROM.  */
static int
read_part (struct relay *r,
           const struct bl_root *root,
           size_t index,
           uint64_t from,
           struct collected_services *collected)
{
  const char *key = root->parts[index].key;
  struct io_object object = { .len = 0 };
  struct bl_findings findings = { .count = 0 };
  struct bl_service **services;
  size_t count;
  int err;

  if (io_kv_get (r->kv, key, &object) != IO_KV_OK)
    {
      log_fault (r, "read_part", key);
      return BL_ENOTFOUND;
    }
  err = bl_part_parse (&services, &count,
                       (struct bl_str){ object.text, object.len }, &findings);
  root_copy_set_part (&r->copy, index, object.text);
  if (err != BL_OK)
    {
      log_fault (r, findings.items[0].place, findings.items[0].text);
      return err;
    }
  err = collect_changed (collected, services, count, from);
  if (err != BL_OK)
    bl_services_free (services, count);
  return err;
}

/* Reads all parts that changed after version FROM.  */
static int
read_parts (struct relay *r,
            const struct bl_root *root,
            uint64_t from,
            struct collected_services *collected)
{
  for (size_t i = 0; i < BL_ROOT_PARTS; i++)
    {
      const struct bl_part *part = &root->parts[i];
      int err;
      if (part->key[0] == '\0' || part->changed <= from)
        continue;
      err = read_part (r, root, i, from, collected);
      if (err != BL_OK)
        return err;
    }
  return BL_OK;
}

/* Updates the configuration of the node to the version of ROOT.  */
static int
apply_root (struct relay *r, const struct bl_root *root)
{
  uint64_t from = r->ops.version (r->ctx);
  struct collected_services collected = { .count = 0 };
  int err;

  if (root->version <= from)
    return BL_OK;
  err = read_parts (r, root, from, &collected);
  if (err == BL_OK)
    err = r->ops.configure (r->ctx, from, root->version, collected.list,
                            collected.count);
  if (err != BL_OK)
    {
      bl_services_free (collected.list, collected.count);
      /* BL_ESTALE: the node got this version from a peer in the meantime.  */
      return err == BL_ESTALE ? BL_OK : err;
    }
  free (collected.list);
  io_log (IO_INFO, "configuration_read", "from=%lu version=%lu services=%zu",
          from, root->version, collected.count);
  return BL_OK;
}

/* Writes the configuration again if OBJECT, which holds ROOT, is the root of a
   platform that was restored and has lost it.  Returns BL_ESTALE if the root
   has to be read again.  */
static int
write_lost_root (struct relay *r,
                 const struct bl_root *root,
                 const struct io_object *object)
{
  struct io_kv_position current = { object->era, object->version };
  enum io_kv_result result;

  if (root->version >= r->copy.root.version || object->era == r->position.era)
    return BL_OK;
  result = root_copy_write (&r->copy, r->kv, current);
  io_log (result == IO_KV_OK ? IO_INFO : IO_WARN, "configuration_restored",
          "era=%lu held=%lu version=%lu result=%d", object->era, root->version,
          r->copy.root.version, (int)result);
  /* A part is lost for good; the nodes keep what they have.  */
  if (result == IO_KV_NOT_FOUND)
    return BL_OK;
  return BL_ESTALE;
}

static int
apply_root_object (struct relay *r, const struct io_object *object)
{
  struct bl_findings findings = { .count = 0 };
  struct bl_root *root = malloc (sizeof *root);
  int err = BL_ENOMEM;

  if (root != NULL)
    err = bl_root_parse (root, (struct bl_str){ object->text, object->len },
                         &findings);
  if (err == BL_EFORMAT)
    log_fault (r, findings.items[0].place, findings.items[0].text);
  if (err == BL_OK)
    err = write_lost_root (r, root, object);
  if (err == BL_OK)
    err = apply_root (r, root);
  if (err == BL_OK)
    {
      root_copy_set_root (&r->copy, root,
                          (struct bl_str){ object->text, object->len });
      r->position = (struct io_kv_position){ object->era, object->version };
    }
  free (root);
  return err;
}

static void *
thread_main (void *ctx)
{
  struct relay *r = ctx;
  struct io_object object = { .len = 0 };
  unsigned attempt = 0;

  while (!r->stop_requested)
    {
      enum io_kv_result result;
      if (!r->ops.enabled (r->ctx))
        {
          interruptible_sleep (r, POLL_INTERVAL_MS);
          continue;
        }
      /* A retry does not wait, so that its answer shows a restore at once.  */
      result = io_kv_watch (r->kv, BL_ROOT_KEY, r->position,
                            attempt > 0 ? 0 : WATCH_TIMEOUT_S, &object);
      if (result == IO_KV_UNCHANGED
          || (result == IO_KV_OK && apply_root_object (r, &object) == BL_OK))
        attempt = 0;
      else if (result == IO_KV_RESTORED)
        r->position.version = 0; /* reads the root whatever its version */
      else if (!r->stop_requested)
        {
          if (result == IO_KV_UNKNOWN)
            log_fault (r, "watch", "no answer");
          interruptible_sleep (r, io_kv_backoff_ms (r->kv, ++attempt));
        }
    }
  io_object_clear (&object);
  return NULL;
}

struct relay *
relay_start (const char *url,
             uint64_t random_seed,
             const struct relay_ops *ops,
             void *ctx)
{
  struct relay *r = calloc (1, sizeof *r);

  if (r == NULL)
    return NULL;
  r->ops = *ops;
  r->ctx = ctx;
  r->kv = io_kv_new (url, random_seed);
  if (r->kv == NULL || pthread_create (&r->thread, NULL, thread_main, r) != 0)
    {
      io_kv_free (r->kv);
      free (r);
      return NULL;
    }
  return r;
}

void
relay_stop (struct relay *relay)
{
  if (relay == NULL)
    return;
  relay->stop_requested = true;
  io_kv_cancel (relay->kv);
  pthread_join (relay->thread, NULL);
}

void
relay_free (struct relay *relay)
{
  if (relay == NULL)
    return;
  io_kv_free (relay->kv);
  root_copy_clear (&relay->copy);
  free (relay);
}

uint64_t
relay_calls (const struct relay *relay)
{
  return relay != NULL ? io_kv_calls (relay->kv) : 0;
}
