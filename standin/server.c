/* server.c -- stand-in for a backend server that terminates flows itself

   The server receives packets from the agent on its host.  It runs up to SLOTS
   requests at once, queues QUEUE_MAX more and refuses the rest; packets of
   flows that it does not hold are returned to the agent.  A request is one
   packet "ID BYTES"; its answer is BYTES long and starts with "ID ".  Each
   request that starts to run is printed as "run ID", and each packet with a
   wrong checksum as "forged".

   The server sends heartbeats to the agent over HTTP.  On SIGTERM it drains:
   it ends each flow after the flow's next answer, withdraws itself from the
   agent and exits.  */

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

#define TICK_MS              2
#define QUEUE_MAX            8 /* requests */
#define RETRANSMIT_MS        200
#define ANSWER_MAX_BYTES     65536
#define ID_MAX_BYTES         32
#define HEARTBEAT_TIMEOUT_MS 1000
#define REFUSED_TEXT         "refused"

/* A flow, in host byte order, as the caller sends it.  */
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
  uint32_t iss;     /* initial sequence number of the server */
  uint32_t first;   /* sequence number of the caller's first packet */
  uint32_t next;    /* sequence number expected from the caller */
  uint32_t sent;    /* bytes of all answers so far */
  uint32_t acked;   /* bytes acknowledged of these */
  uint64_t sent_ms; /* time of the last transmission of the answer */
  /* The current request, or the last one.  */
  char id[ID_MAX_BYTES];
  size_t bytes;     /* of the answer */
  bool waiting;     /* in the queue */
  uint64_t done_ms; /* when the request ends; 0: none runs */
  uint64_t order;   /* position in the queue: lowest first */
  UT_hash_handle hh;
};

static struct
{
  struct bl_addr app;      /* receives packets and TCP health probes */
  struct bl_addr outbound; /* of the agent; receives the server's packets */
  char *name;
  char *service;
  char *zone;
  char *heartbeats; /* "IP:PORT" of the agent's HTTP listener */
  int slots;
  int work_ms;
  int heartbeat_ms;
  int drain_ms;
  struct io_loop *loop;
  struct io_source udp;
  struct io_source tcp;
  struct flow *flows;
  int running;
  int queued;
  uint64_t order;         /* of the next request that is queued */
  uint64_t start_wall_ms; /* wall-clock time of the start, ms */
  volatile bool draining;
  uint64_t drain_start_ms;
  /* The agent acknowledged a heartbeat with the state "draining".  */
  volatile bool drain_acknowledged;
  volatile bool finished;
} server;

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

  io_udp_send (server.udp.fd, server.outbound, buf, len);
}

static void
send_to_caller (const struct flow *f,
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

/* Sends the part of the answer to F's last request that is not acknowledged
   yet.  */
static void
send_answer (struct flow *f)
{
  static uint8_t text[ANSWER_MAX_BYTES];
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
      send_to_caller (
          f, SEGMENT_ACK, f->iss + 1 + start + (uint32_t)at, text + at,
          (uint16_t)(left < SEGMENT_DATA_MAX ? left : SEGMENT_DATA_MAX));
    }
}

static void
start_request (struct flow *f)
{
  f->waiting = false;
  f->done_ms = io_now_ms () + (uint64_t)server.work_ms;
  server.running++;
  printf ("run %s\n", f->id);
}

/* Sends the answer.  A draining server then ends the flow.  */
static void
finish_request (struct flow *f)
{
  f->done_ms = 0;
  server.running--;
  f->sent += (uint32_t)f->bytes;
  send_answer (f);
  if (server.draining)
    send_to_caller (f, SEGMENT_FIN | SEGMENT_ACK, f->iss + 1 + f->sent, NULL,
                    0);
}

static void
on_request (struct flow *f, const struct segment *in)
{
  char text[64];
  unsigned bytes = 0;
  size_t len = in->len < sizeof text - 1 ? in->len : sizeof text - 1;

  memcpy (text, in->data, len);
  text[len] = '\0';
  if (sscanf (text, "%31s %u", f->id, &bytes) != 2 || bytes > ANSWER_MAX_BYTES)
    return;
  f->next = in->seq + in->len;
  f->bytes = bytes;
  if (server.running >= server.slots && server.queued >= QUEUE_MAX)
    {
      snprintf (f->id, sizeof f->id, REFUSED_TEXT);
      f->bytes = sizeof REFUSED_TEXT + 1;
      f->sent += (uint32_t)f->bytes;
      send_answer (f);
      return;
    }
  if (server.running < server.slots)
    {
      start_request (f);
      return;
    }
  f->waiting = true;
  f->order = server.order++;
  server.queued++;
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
  server.running -= f->done_ms != 0;
  server.queued -= f->waiting;
  HASH_DEL (server.flows, f);
  free (f);
}

/* Returns a packet of a flow that the server does not hold to the agent.  */
static void
return_packet (const uint8_t *buf, size_t len)
{
  uint8_t copy[SEGMENT_HEADER_LEN + SEGMENT_DATA_MAX];

  memcpy (copy, buf, len);
  copy[SEGMENT_FLAGS_OFFSET] |= SEGMENT_RETURNED;
  memset (copy + SEGMENT_PAD_OFFSET, 0, SEGMENT_PAD_LEN);
  io_udp_send (server.udp.fd, server.outbound, copy, len);
}

static void
on_first_packet (struct flow *f,
                 const struct key *key,
                 const struct segment *in)
{
  /* The caller reused the port for a new flow.  */
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
      HASH_ADD (hh, server.flows, key, sizeof f->key, f);
    }
  f->next = in->seq + 1;
  send_to_caller (f, SEGMENT_SYN | SEGMENT_ACK, f->iss, NULL, 0);
}

static void
on_packet (const uint8_t *buf, size_t len)
{
  struct segment in;
  struct key key;
  struct flow *f;

  if (!segment_read (&in, buf, len) || !segment_checksum_is_valid (&in, buf))
    {
      printf ("forged\n");
      return;
    }
  memset (&key, 0, sizeof key);
  key = (struct key){ in.src, in.dst, in.sport, in.dport };
  HASH_FIND (hh, server.flows, &key, sizeof key, f);
  if ((in.flags & (SEGMENT_SYN | SEGMENT_ACK)) == SEGMENT_SYN)
    on_first_packet (f, &key, &in);
  else if (f == NULL || in.ack - (f->iss + 1) > f->sent)
    return_packet (buf, len);
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

/* Closes each connection at once: connections are health probes only.  */
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

  snprintf (url, sizeof url, "http://%s/v1/instances/%s", server.heartbeats,
            server.name);
  status = io_http_request (method, url, body, HEARTBEAT_TIMEOUT_MS, &out);
  io_object_clear (&out);
  return status == 200;
}

static bool
send_heartbeat (uint64_t seq)
{
  char app[BL_ADDR_TEXT_MAX];
  char body[512];

  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"concurrencyLimit\":%d,\"state\":\"%s\","
            "\"warmupRemainingMs\":0,\"sequence\":%lu,\"born\":%lu}",
            server.service, bl_addr_format (server.app, app), server.zone,
            server.slots, server.draining ? "draining" : "ready", seq,
            server.start_wall_ms);
  return call_agent ("PUT", body);
}

static void *
send_heartbeats (void *ctx)
{
  uint64_t seq = 0;

  (void)ctx;
  while (!server.finished)
    {
      bool draining = server.draining;
      if (send_heartbeat (++seq) && draining)
        server.drain_acknowledged = true;
      for (int i = 0; i < server.heartbeat_ms / 20
                      && server.draining == draining && !server.finished;
           i++)
        usleep (20000);
    }
  return NULL;
}

/* -- timers -- */

static struct flow *
first_waiting (void)
{
  struct flow *best = NULL;
  struct flow *f;
  struct flow *next;

  HASH_ITER (hh, server.flows, f, next)
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
  HASH_ITER (hh, server.flows, f, next)
  {
    if (f->done_ms != 0 && now >= f->done_ms)
      finish_request (f);
    else if (f->done_ms == 0 && f->acked < f->sent
             && now - f->sent_ms > RETRANSMIT_MS)
      send_answer (f);
  }
  while (server.running < server.slots && server.queued > 0)
    {
      server.queued--;
      start_request (first_waiting ());
    }
  if (stopping && !server.draining)
    {
      server.draining = true;
      server.drain_start_ms = now;
    }
  if (server.draining && server.drain_acknowledged && server.running == 0
      && server.queued == 0
      && now - server.drain_start_ms > (uint64_t)server.drain_ms)
    io_loop_stop (server.loop);
}

static int
open_tcp (void)
{
  int fd = io_tcp_listen (server.app);

  server.tcp
      = (struct io_source){ .fd = fd, .events = EPOLLIN, .ready = on_tcp };
  return fd < 0 ? -1 : io_loop_add (server.loop, &server.tcp);
}

static int
open_all (void)
{
  server.loop = io_loop_new ();
  server.udp = (struct io_source){
    .fd = io_udp_open (&server.app),
    .events = EPOLLIN,
    .ready = on_udp,
  };
  if (server.udp.fd < 0 || io_loop_add (server.loop, &server.udp) != 0)
    return -1;
  return open_tcp ();
}

static void
serve (void)
{
  pthread_t thread;

  pthread_create (&thread, NULL, send_heartbeats, NULL);
  io_loop_set_tick (server.loop, TICK_MS, on_tick, NULL);
  io_loop_run (server.loop);
  server.finished = true;
  pthread_join (thread, NULL);
  call_agent ("DELETE", NULL);
}

int
main (int argc, const char **argv)
{
  char *app = NULL;
  char *outbound = NULL;
  struct poptOption table[] = {
    { "name", 0, POPT_ARG_STRING, &server.name, 0, "id of this server", NULL },
    { "service", 0, POPT_ARG_STRING, &server.service, 0, "service", NULL },
    { "zone", 0, POPT_ARG_STRING, &server.zone, 0, "data centre", NULL },
    { "app", 0, POPT_ARG_STRING, &app, 0, "IP:PORT to receive packets on",
      NULL },
    { "outbound", 0, POPT_ARG_STRING, &outbound, 0, "IP:PORT of the agent",
      NULL },
    { "heartbeats", 0, POPT_ARG_STRING, &server.heartbeats, 0,
      "IP:PORT of the agent", NULL },
    { "slots", 0, POPT_ARG_INT, &server.slots, 0, "concurrent requests", NULL },
    { "work-ms", 0, POPT_ARG_INT, &server.work_ms, 0, "duration of a request",
      NULL },
    { "beat-ms", 0, POPT_ARG_INT, &server.heartbeat_ms, 0,
      "interval of heartbeats", NULL },
    { "drain-ms", 0, POPT_ARG_INT, &server.drain_ms, 0,
      "minimum duration of a drain", NULL },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext popt = poptGetContext (NULL, argc, argv, table, 0);

  server.slots = 2;
  server.work_ms = 10;
  server.heartbeat_ms = 500;
  server.drain_ms = 3000;
  if (poptGetNextOpt (popt) < -1 || app == NULL || outbound == NULL
      || bl_addr_parse (&server.app, bl_str_of (app)) != BL_OK
      || bl_addr_parse (&server.outbound, bl_str_of (outbound)) != BL_OK
      || server.name == NULL || server.service == NULL || server.zone == NULL
      || server.heartbeats == NULL)
    {
      fprintf (stderr, "standin-server: missing or malformed option; "
                       "see --help\n");
      return 2;
    }
  setvbuf (stdout, NULL, _IOLBF, 0);
  signal (SIGTERM, on_signal);
  signal (SIGPIPE, SIG_IGN);
  server.start_wall_ms = io_wall_ms ();
  srandom ((unsigned)(server.start_wall_ms ^ server.app.ip));
  if (open_all () != 0)
    {
      fprintf (stderr, "standin-server: cannot bind %s\n", app);
      return 1;
    }
  serve ();
  return 0;
}
