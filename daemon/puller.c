/* puller.c -- reads documents from other instances over HTTP

   One thread, one read at a time: a newer request replaces one that waits.  A
   read that fails is not repeated here; whoever wants the document asks
   again.  */

#include "daemon/daemon.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#define PULL_TIMEOUT_MS 1000
#define URL_MAX_BYTES   128

struct puller
{
  pthread_t thread;
  pthread_mutex_t mutex;
  pthread_cond_t wanted;
  bool stopped;
  struct bl_addr from; /* port 0: nothing is wanted */
  const char *path;
  void (*received) (void *ctx, struct bl_addr from, struct bl_str text);
  void *ctx;
};

static void
pull (struct puller *p, struct bl_addr from)
{
  struct io_object object = { .len = 0 };
  char text[BL_ADDR_TEXT_MAX];
  char url[URL_MAX_BYTES];
  long status;

  snprintf (url, sizeof url, "http://%s%s", bl_addr_format (from, text),
            p->path);
  status = io_http_request ("GET", url, NULL, PULL_TIMEOUT_MS, &object);
  if (status == 200 && object.len > 0)
    p->received (p->ctx, from, (struct bl_str){ object.text, object.len });
  else
    io_log (IO_WARN, "pull_failed", "from=%s path=%s status=%ld", text, p->path,
            status);
  io_object_clear (&object);
}

static void *
run (void *ctx)
{
  struct puller *p = ctx;

  pthread_mutex_lock (&p->mutex);
  while (!p->stopped)
    {
      struct bl_addr from = p->from;
      if (from.port == 0)
        {
          pthread_cond_wait (&p->wanted, &p->mutex);
          continue;
        }
      pthread_mutex_unlock (&p->mutex);
      pull (p, from);
      pthread_mutex_lock (&p->mutex);
      p->from.port = 0;
    }
  pthread_mutex_unlock (&p->mutex);
  return NULL;
}

struct puller *
puller_start (const char *path,
              void (*received) (void *ctx,
                                struct bl_addr from,
                                struct bl_str text),
              void *ctx)
{
  struct puller *p = calloc (1, sizeof *p);

  if (p == NULL)
    return NULL;
  p->path = path;
  p->received = received;
  p->ctx = ctx;
  pthread_mutex_init (&p->mutex, NULL);
  pthread_cond_init (&p->wanted, NULL);
  if (pthread_create (&p->thread, NULL, run, p) != 0)
    {
      free (p);
      return NULL;
    }
  return p;
}

void
puller_request (struct puller *puller, struct bl_addr from)
{
  pthread_mutex_lock (&puller->mutex);
  if (puller->from.port == 0)
    puller->from = from;
  pthread_cond_signal (&puller->wanted);
  pthread_mutex_unlock (&puller->mutex);
}

void
puller_stop (struct puller *puller)
{
  if (puller == NULL)
    return;
  pthread_mutex_lock (&puller->mutex);
  puller->stopped = true;
  pthread_cond_signal (&puller->wanted);
  pthread_mutex_unlock (&puller->mutex);
  pthread_join (puller->thread, NULL);
  free (puller);
}
