/* puller.c -- reads documents from other instances over HTTP

   One thread makes one read at a time; a request is dropped while another is
   scheduled or under way.  A read that fails is not retried here: a document
   that is still needed has to be requested again.  */

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
  pthread_cond_t requested;
  bool stop_requested;
  struct bl_addr from; /* of the current request; port 0: none */
  const char *path;
  void (*received) (void *ctx, struct bl_addr from, struct bl_str text);
  void *ctx;
};

static void
read_document (struct puller *p, struct bl_addr from)
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
thread_main (void *ctx)
{
  struct puller *p = ctx;

  pthread_mutex_lock (&p->mutex);
  while (!p->stop_requested)
    {
      struct bl_addr from = p->from;
      if (from.port == 0)
        {
          pthread_cond_wait (&p->requested, &p->mutex);
          continue;
        }
      pthread_mutex_unlock (&p->mutex);
      read_document (p, from);
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
  pthread_cond_init (&p->requested, NULL);
  if (pthread_create (&p->thread, NULL, thread_main, p) != 0)
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
  pthread_cond_signal (&puller->requested);
  pthread_mutex_unlock (&puller->mutex);
}

void
puller_stop (struct puller *puller)
{
  if (puller == NULL)
    return;
  pthread_mutex_lock (&puller->mutex);
  puller->stop_requested = true;
  pthread_cond_signal (&puller->requested);
  pthread_mutex_unlock (&puller->mutex);
  pthread_join (puller->thread, NULL);
}

void
puller_free (struct puller *puller)
{
  free (puller);
}
