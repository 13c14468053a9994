/* server.c -- stand-in for a backend server that ends flows itself

   Takes packets from the agent beside it, runs so many requests at once,
   queues a few more and turns away the rest; returns packets of flows that it
   does not hold.  A request is one packet "ID BYTES"; its answer is BYTES long
   and starts with "ID ".  Each request that begins to run is printed as "run
   ID".  Announces itself over HTTP; SIGTERM lets it drain, end each flow after
   its next answer, say goodbye and end.  */

#include "io/io.h"
#include "standin/segment.h"

#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <uthash.h>

#define TICK_MS      2
#define QUEUE_MAX    8
#define RESEND_MS    200
#define ANSWER_MAX   65536
#define ID_MAX       32
#define BEAT_WAIT_MS 1000
#define REFUSED_TEXT "refused"

struct key
{
  uint32_t src;
  uint32_t dst;
  uint16_t sport;
  uint16_t dport;
};

struct flow
{
  struct key key;
  uint32_t iss;
  uint32_t first; /* sequence number of the caller's first packet */
  uint32_t next;  /* sequence number that the caller sends next */
  uint32_t sent;  /* bytes answered so far, all requests */
  uint32_t acked;
  uint64_t sent_ms;
  char id[ID_MAX]; /* of the request under way, or the last */
  size_t bytes;
  bool waiting;     /* in the queue */
  uint64_t done_ms; /* when it ends; 0: none runs */
  uint64_t order;   /* in the queue */
  UT_hash_handle hh;
};

static struct
{
  struct bl_addr app;
  struct bl_addr outbound;
  char *name;
  char *service;
  char *zone;
  char *heartbeats;
  int slots;
  int work_ms;
  int beat_ms;
  int drain_ms;
  struct io_loop *loop;
  struct io_source udp;
  struct io_source tcp;
  struct flow *flows;
  int running;
  int queued;
  uint64_t order;
  uint64_t born;
  volatile bool draining;
  uint64_t draining_ms;
  volatile bool told; /* somebody acknowledged that it drains */
  volatile bool over;
} s;

static volatile sig_atomic_t stopping;

static void
on_signal (int sig)
{
  (void)sig;
  stopping = 1;
}

static void
send_segment (const struct segment *segment)
{
  uint8_t buf[SEGMENT_HEADER_LEN + SEGMENT_DATA_MAX];
  size_t len = segment_write (segment, buf);

  io_udp_send (s.udp.fd, s.outbound, buf, len);
}

static void
reply (const struct flow *f,
       uint8_t flags,
       uint32_t seq,
       const uint8_t *data,
       uint16_t len)
{
  struct segment out = {
    .dst = f->key.src,
    .src = f->key.dst,
    .dport = f->key.sport,
    .sport = f->key.dport,
    .flags = flags,
    .seq = seq,
    .ack = f->next,
    .len = len,
    .data = data,
  };

  send_segment (&out);
}

/* The whole answer to the last request of F, from where it is acknowledged.  */
static void
send_answer (struct flow *f)
{
  static uint8_t text[ANSWER_MAX];
  uint32_t start = f->sent - (uint32_t)f->bytes;
  size_t from = f->acked > start ? f->acked - start : 0;

  memset (text, '.', f->bytes);
  snprintf ((char *)text, sizeof text, "%s ", f->id);
  text[strlen (f->id) + 1] = '.';
  if (f->bytes > 0)
    text[f->bytes - 1] = '\n';
  f->sent_ms = io_now_ms ();
  for (size_t at = from; at < f->bytes; at += SEGMENT_DATA_MAX)
    {
      size_t left = f->bytes - at;
      reply (f, SEGMENT_ACK, f->iss + 1 + start + (uint32_t)at, text + at,
             (uint16_t)(left < SEGMENT_DATA_MAX ? left : SEGMENT_DATA_MAX));
    }
}

static void
begin (struct flow *f)
{
  f->waiting = false;
  f->done_ms = io_now_ms () + (uint64_t)s.work_ms;
  s.running++;
  printf ("run %s\n", f->id);
}

/* A draining server ends each flow after its next answer.  */
static void
finish (struct flow *f)
{
  f->done_ms = 0;
  s.running--;
  f->sent += (uint32_t)f->bytes;
  send_answer (f);
  if (s.draining)
    reply (f, SEGMENT_FIN | SEGMENT_ACK, f->iss + 1 + f->sent, NULL, 0);
}

static void
on_request (struct flow *f, const struct segment *in)
{
  char text[64];
  unsigned bytes = 0;
  size_t len = in->len < sizeof text - 1 ? in->len : sizeof text - 1;

  memcpy (text, in->data, len);
  text[len] = '\0';
  if (sscanf (text, "%31s %u", f->id, &bytes) != 2 || bytes > ANSWER_MAX)
    return;
  f->next = in->seq + in->len;
  f->bytes = bytes;
  if (s.running >= s.slots && s.queued >= QUEUE_MAX)
    {
      snprintf (f->id, sizeof f->id, REFUSED_TEXT);
      f->bytes = sizeof REFUSED_TEXT + 1;
      f->sent += (uint32_t)f->bytes;
      send_answer (f);
      return;
    }
  if (s.running < s.slots)
    {
      begin (f);
      return;
    }
  f->waiting = true;
  f->order = s.order++;
  s.queued++;
}

static void
on_data (struct flow *f, const struct segment *in)
{
  uint32_t acked = in->ack - (f->iss + 1);

  if (acked <= f->sent && acked > f->acked)
    f->acked = acked;
  if (in->len > 0 && in->seq == f->next && f->done_ms == 0 && !f->waiting)
    on_request (f, in);
}

static void
drop_flow (struct flow *f)
{
  s.running -= f->done_ms != 0;
  s.queued -= f->waiting;
  HASH_DEL (s.flows, f);
  free (f);
}

static void
give_back (const uint8_t *buf, size_t len)
{
  uint8_t copy[SEGMENT_HEADER_LEN + SEGMENT_DATA_MAX];

  memcpy (copy, buf, len);
  copy[12] |= SEGMENT_RETURNED;
  memset (copy + 13, 0, 5);
  io_udp_send (s.udp.fd, s.outbound, copy, len);
}

static void
on_first (struct flow *f, const struct key *key, const struct segment *in)
{
  /* The port is used again.  */
  if (f != NULL && f->first != in->seq)
    {
      drop_flow (f);
      f = NULL;
    }
  if (f == NULL)
    {
      f = calloc (1, sizeof *f);
      if (f == NULL)
        return;
      f->key = *key;
      f->iss = (uint32_t)random ();
      f->first = in->seq;
      HASH_ADD (hh, s.flows, key, sizeof f->key, f);
    }
  f->next = in->seq + 1;
  reply (f, SEGMENT_SYN | SEGMENT_ACK, f->iss, NULL, 0);
}

static void
on_packet (const uint8_t *buf, size_t len)
{
  struct segment in;
  struct key key;
  struct flow *f;

  if (!segment_read (&in, buf, len) || !segment_sum_is_valid (&in, buf))
    {
      printf ("forged\n");
      return;
    }
  memset (&key, 0, sizeof key);
  key = (struct key){ in.src, in.dst, in.sport, in.dport };
  HASH_FIND (hh, s.flows, &key, sizeof key, f);
  if ((in.flags & (SEGMENT_SYN | SEGMENT_ACK)) == SEGMENT_SYN)
    on_first (f, &key, &in);
  else if (f == NULL || in.ack - (f->iss + 1) > f->sent)
    give_back (buf, len);
  else if (in.flags & (SEGMENT_FIN | SEGMENT_RST))
    drop_flow (f);
  else
    on_data (f, &in);
}

static void
on_udp (struct io_source *source, uint32_t events)
{
  uint8_t buf[SEGMENT_HEADER_LEN + SEGMENT_DATA_MAX + 1];
  int n;

  (void)events;
  while ((n = io_udp_receive (source->fd, NULL, buf, sizeof buf)) >= 0)
    on_packet (buf, (size_t)n);
}

/* Whoever connects only wants to know that it lives.  */
static void
on_tcp (struct io_source *source, uint32_t events)
{
  int fd = accept (source->fd, NULL, NULL);

  (void)events;
  if (fd >= 0)
    close (fd);
}

/* -- heartbeats -- */

static bool
call_agent (const char *method, const char *body)
{
  struct io_object out = { .len = 0 };
  char url[160];
  long status;

  snprintf (url, sizeof url, "http://%s/v1/instances/%s", s.heartbeats, s.name);
  status = io_http_request (method, url, body, BEAT_WAIT_MS, &out);
  io_object_clear (&out);
  return status == 200;
}

static bool
beat (uint64_t seq)
{
  char app[BL_ADDR_TEXT_MAX];
  char body[512];

  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"concurrencyLimit\":%d,\"state\":\"%s\","
            "\"warmupRemainingMs\":0,\"sequence\":%lu,\"born\":%lu}",
            s.service, bl_addr_format (s.app, app), s.zone, s.slots,
            s.draining ? "draining" : "ready", seq, s.born);
  return call_agent ("PUT", body);
}

static void *
beat_all (void *ctx)
{
  uint64_t seq = 0;

  (void)ctx;
  while (!s.over)
    {
      bool draining = s.draining;
      if (beat (++seq) && draining)
        s.told = true;
      for (int i = 0; i < s.beat_ms / 20 && s.draining == draining && !s.over;
           i++)
        usleep (20000);
    }
  return NULL;
}

/* -- time -- */

static struct flow *
first_waiting (void)
{
  struct flow *best = NULL;
  struct flow *f;
  struct flow *next;

  HASH_ITER (hh, s.flows, f, next)
  if (f->waiting && (best == NULL || f->order < best->order))
    best = f;
  return best;
}

static void
on_tick (void *ctx)
{
  uint64_t now = io_now_ms ();
  struct flow *f;
  struct flow *next;

  (void)ctx;
  HASH_ITER (hh, s.flows, f, next)
  {
    if (f->done_ms != 0 && now >= f->done_ms)
      finish (f);
    else if (f->done_ms == 0 && f->acked < f->sent
             && now - f->sent_ms > RESEND_MS)
      send_answer (f);
  }
  while (s.running < s.slots && s.queued > 0)
    {
      s.queued--;
      begin (first_waiting ());
    }
  if (stopping && !s.draining)
    {
      s.draining = true;
      s.draining_ms = now;
    }
  if (s.draining && s.told && s.running == 0 && s.queued == 0
      && now - s.draining_ms > (uint64_t)s.drain_ms)
    io_loop_stop (s.loop);
}

static int
open_tcp (void)
{
  int fd = io_tcp_listen (s.app);

  s.tcp = (struct io_source){ .fd = fd, .events = EPOLLIN, .ready = on_tcp };
  return fd < 0 ? -1 : io_loop_add (s.loop, &s.tcp);
}

static int
open_all (void)
{
  s.loop = io_loop_new ();
  s.udp = (struct io_source){
    .fd = io_udp_open (&s.app),
    .events = EPOLLIN,
    .ready = on_udp,
  };
  if (s.udp.fd < 0 || io_loop_add (s.loop, &s.udp) != 0)
    return -1;
  return open_tcp ();
}

static void
serve (void)
{
  pthread_t thread;

  pthread_create (&thread, NULL, beat_all, NULL);
  io_loop_set_tick (s.loop, TICK_MS, on_tick, NULL);
  io_loop_run (s.loop);
  s.over = true;
  pthread_join (thread, NULL);
  call_agent ("DELETE", NULL);
}

int
main (int argc, const char **argv)
{
  char *app = NULL;
  char *outbound = NULL;
  struct poptOption table[] = {
    { "name", 0, POPT_ARG_STRING, &s.name, 0, "id", NULL },
    { "service", 0, POPT_ARG_STRING, &s.service, 0, "service", NULL },
    { "zone", 0, POPT_ARG_STRING, &s.zone, 0, "data centre", NULL },
    { "app", 0, POPT_ARG_STRING, &app, 0, "IP:PORT of packets", NULL },
    { "outbound", 0, POPT_ARG_STRING, &outbound, 0, "IP:PORT of the agent",
      NULL },
    { "heartbeats", 0, POPT_ARG_STRING, &s.heartbeats, 0,
      "IP:PORT of the agent", NULL },
    { "slots", 0, POPT_ARG_INT, &s.slots, 0, "requests at once", NULL },
    { "work-ms", 0, POPT_ARG_INT, &s.work_ms, 0, "of a request", NULL },
    { "beat-ms", 0, POPT_ARG_INT, &s.beat_ms, 0, "between heartbeats", NULL },
    { "drain-ms", 0, POPT_ARG_INT, &s.drain_ms, 0, "it drains at least", NULL },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext popt = poptGetContext (NULL, argc, argv, table, 0);

  s.slots = 2;
  s.work_ms = 10;
  s.beat_ms = 500;
  s.drain_ms = 3000;
  if (poptGetNextOpt (popt) < -1 || app == NULL || outbound == NULL
      || bl_addr_parse (&s.app, bl_str_of (app)) != BL_OK
      || bl_addr_parse (&s.outbound, bl_str_of (outbound)) != BL_OK
      || s.name == NULL || s.service == NULL || s.zone == NULL
      || s.heartbeats == NULL)
    {
      fprintf (stderr, "standin-server: see --help\n");
      return 2;
    }
  setvbuf (stdout, NULL, _IOLBF, 0);
  signal (SIGTERM, on_signal);
  signal (SIGPIPE, SIG_IGN);
  s.born = io_wall_ms ();
  srandom ((unsigned)(s.born ^ s.app.ip));
  if (open_all () != 0)
    {
      fprintf (stderr, "standin-server: cannot bind %s\n", app);
      return 1;
    }
  serve ();
  return 0;
}
