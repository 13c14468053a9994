/* relay.c -- brings the configuration from the platform

   While this instance is a relay it keeps one watch on the root.  When the
   root moves on, the parts changed since the held version are read and what
   they bring is handed to the node, which spreads it.  Reading is idempotent,
   so two relays do no harm, and a relay that was away starts from whatever
   its node holds by then.  Failures are retried with backoff; meanwhile the
   last configuration stays in force.  */

#include "core/root.h"
#include "daemon/daemon.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WATCH_TIMEOUT_S 25
#define IDLE_MS         200 /* between looks at whether a relay is wanted */
#define LOG_INTERVAL_MS 10000

struct relay
{
  pthread_t thread;
  volatile bool stopped;
  struct io_platform *platform;
  struct relay_ops ops;
  void *ctx;
  struct io_rate_limit quiet;
};

/* Services gathered from several parts.  */
struct gathered
{
  struct bl_service **list; /* owned */
  size_t count;
};

static void
nap (struct relay *r, unsigned ms)
{
  while (ms > 0 && !r->stopped)
    {
      unsigned step = ms < IDLE_MS ? ms : IDLE_MS;
      usleep (step * 1000);
      ms -= step;
    }
}

static void
complain (struct relay *r, const char *what, const char *why)
{
  uint64_t suppressed;

  if (io_rate_limit_allow (&r->quiet, io_now_ms (), LOG_INTERVAL_MS,
                           &suppressed))
    io_log (IO_WARN, "platform_fault", "step=%s reason=\"%s\" suppressed=%lu",
            what, why, suppressed);
}

/* Keeps those of a part that were changed after FROM, frees the others.  */
static int
gather (struct gathered *g,
        struct bl_service **services,
        size_t count,
        uint64_t from)
{
  struct bl_service **list
      = realloc (g->list, (g->count + count + 1) * sizeof *list);

  if (list == NULL)
    return BL_ENOMEM;
  g->list = list;
  for (size_t i = 0; i < count; i++)
    if (services[i]->changed > from)
      list[g->count++] = services[i];
    else
      bl_service_free (services[i]);
  free (services);
  return BL_OK;
}

static int
read_part (struct relay *r, const char *key, uint64_t from, struct gathered *g)
{
  struct io_object object = { .len = 0 };
  struct bl_findings findings = { .count = 0 };
  struct bl_service **services;
  size_t count;
  int err;

  if (io_platform_get (r->platform, key, &object) != IO_PLATFORM_OK)
    {
      complain (r, "read_part", key);
      return BL_ENOTFOUND;
    }
  err = bl_part_parse (&services, &count,
                       (struct bl_str){ object.text, object.len }, &findings);
  io_object_clear (&object);
  if (err != BL_OK)
    {
      complain (r, findings.items[0].place, findings.items[0].text);
      return err;
    }
  err = gather (g, services, count, from);
  if (err != BL_OK)
    bl_services_free (services, count);
  return err;
}

static int
read_parts (struct relay *r,
            const struct bl_root *root,
            uint64_t from,
            struct gathered *g)
{
  for (size_t i = 0; i < BL_ROOT_PARTS; i++)
    {
      const struct bl_part *part = &root->parts[i];
      int err;
      if (part->key[0] == '\0' || part->changed <= from)
        continue;
      err = read_part (r, part->key, from, g);
      if (err != BL_OK)
        return err;
    }
  return BL_OK;
}

static int
apply (struct relay *r, const struct bl_root *root)
{
  uint64_t from = r->ops.version (r->ctx);
  struct gathered g = { .count = 0 };
  int err;

  if (root->version <= from)
    return BL_OK;
  err = read_parts (r, root, from, &g);
  if (err == BL_OK)
    err = r->ops.configure (r->ctx, from, root->version, g.list, g.count);
  if (err != BL_OK)
    {
      bl_services_free (g.list, g.count);
      /* Stale: a peer was faster.  */
      return err == BL_ESTALE ? BL_OK : err;
    }
  free (g.list);
  io_log (IO_INFO, "configuration_read", "from=%lu version=%lu services=%zu",
          from, root->version, g.count);
  return BL_OK;
}

static int
take_root (struct relay *r, const struct io_object *object)
{
  struct bl_findings findings = { .count = 0 };
  struct bl_root *root = malloc (sizeof *root);
  int err = BL_ENOMEM;

  if (root != NULL)
    err = bl_root_parse (root, (struct bl_str){ object->text, object->len },
                         &findings);
  if (err == BL_EFORMAT)
    complain (r, findings.items[0].place, findings.items[0].text);
  if (err == BL_OK)
    err = apply (r, root);
  free (root);
  return err;
}

static void *
run (void *ctx)
{
  struct relay *r = ctx;
  struct io_object object = { .len = 0 };
  uint64_t seen = 0; /* version of the root object that was applied */
  unsigned attempt = 0;

  while (!r->stopped)
    {
      enum io_platform_result result;
      if (!r->ops.wanted (r->ctx))
        {
          nap (r, IDLE_MS);
          continue;
        }
      result = io_platform_watch (r->platform, BL_ROOT_KEY, seen,
                                  WATCH_TIMEOUT_S, &object);
      if (result == IO_PLATFORM_OK && take_root (r, &object) == BL_OK)
        {
          seen = object.version;
          attempt = 0;
        }
      else if (result == IO_PLATFORM_UNCHANGED)
        attempt = 0;
      else if (!r->stopped)
        {
          if (result == IO_PLATFORM_UNKNOWN)
            complain (r, "watch", "no answer");
          nap (r, io_platform_backoff_ms (r->platform, ++attempt));
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
  r->platform = io_platform_new (url, random_seed);
  if (r->platform == NULL || pthread_create (&r->thread, NULL, run, r) != 0)
    {
      io_platform_free (r->platform);
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
  relay->stopped = true;
  io_platform_cancel (relay->platform);
  pthread_join (relay->thread, NULL);
  io_platform_free (relay->platform);
  free (relay);
}

uint64_t
relay_calls (const struct relay *relay)
{
  return relay != NULL ? io_platform_calls (relay->platform) : 0;
}
