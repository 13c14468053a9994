/* client.c -- stand-in for clients and routers, for the cases of the review

   Probes the readiness of each balancer twice a second and sends each packet to
   one of those in rotation, chosen by a hash of the flow (hashAlgorithm
   "steady").  Opens FLOWS flows; on each flow, sends a request at each of the
   given times (milliseconds from the start) and keeps the flow open in between.
   A request may run once at most, so it is not retried once its flow has
   opened.

   Prints one line for each event, with the time in milliseconds: flows that
   open, requests sent, answers, and resets of open flows, which it accepts only
   within the window of the users' pages.  The last line holds the totals.  */

#include "io/io.h"
#include "standin/segment.h"

#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define FLOWS_MAX        256
#define TIMES_MAX        64
#define BALANCERS_MAX    8
#define TICK_MS          2
#define PROBE_MS         500
#define PROBE_MISSES_MAX 2
#define SYN_RETRANSMITS  2
#define OPEN_TIMEOUT_MS  1400
#define OPEN_ATTEMPTS    3
#define RETRANSMIT_MS    200
#define RETRANSMIT_MAX   1600
#define DEADLINE_MS      5000
#define RESET_WINDOW     76800u
#define ANSWER_BYTES     600
#define IN_ROTATION      (1ull << 40) /* above every score (32 bits) */

static const uint64_t syn_retransmit_ms[SYN_RETRANSMITS] = { 200, 600 };

enum state
{
  CLOSED,
  OPENING,
  IDLE,
  WAITING, /* for an answer */
  ENDED,   /* reset, or given up */
};

struct flow
{
  enum state state;
  uint16_t port;
  uint32_t iss, seq, ack;
  int attempts;
  int syn_retransmits;
  size_t next_time; /* index of the next request */
  uint64_t opened_ms, sent_ms, request_ms, retransmit_ms;
  char text[64];
  char id[32];
  size_t received;
};

static struct
{
  struct bl_addr local, route;
  int flow_count;
  struct flow flows[FLOWS_MAX];
  size_t time_count;
  uint64_t times[TIMES_MAX];
  size_t balancer_count;
  struct bl_addr balancers[BALANCERS_MAX];
  char urls[BALANCERS_MAX][96];
  volatile int misses[BALANCERS_MAX];
  volatile bool finished;
  uint64_t start_ms;
  uint16_t next_port;
  struct io_loop *loop;
  struct io_source udp;
  unsigned opened, sent, answered, unanswered, resets, wrong;
} s;

static unsigned long
elapsed (void)
{
  return (unsigned long)(io_now_ms () - s.start_ms);
}

static uint32_t
mix (uint32_t a)
{
  a ^= a >> 16;
  a *= 0x7feb352du;
  a ^= a >> 15;
  a *= 0x846ca68bu;
  return a ^ a >> 16;
}

static struct bl_addr
choose_balancer (const struct flow *f)
{
  size_t best = 0;
  uint64_t best_score = 0;

  for (size_t i = 0; i < s.balancer_count; i++)
    {
      uint64_t score = mix (s.balancers[i].ip ^ mix (f->port));
      if (s.misses[i] < PROBE_MISSES_MAX)
        score |= IN_ROTATION;
      if (i == 0 || score > best_score)
        {
          best = i;
          best_score = score;
        }
    }
  return s.balancers[best];
}

static void
send_packet (struct flow *f, uint8_t flags, uint32_t seq, const char *data)
{
  uint8_t buf[SEGMENT_HEADER_LEN + SEGMENT_DATA_MAX];
  struct segment out = {
    .dst = s.route.ip,
    .src = s.local.ip,
    .dport = s.route.port,
    .sport = f->port,
    .flags = flags,
    .seq = seq,
    .ack = flags & SEGMENT_SYN ? (uint32_t)f->syn_retransmits : f->ack,
    .len = data != NULL ? (uint16_t)strlen (data) : 0,
    .data = (const uint8_t *)data,
  };
  size_t len = segment_write (&out, buf);

  io_udp_send (s.udp.fd, choose_balancer (f), buf, len);
}

static void
open_flow (struct flow *f)
{
  f->state = OPENING;
  f->attempts++;
  f->syn_retransmits = 0;
  f->port = s.next_port++;
  f->iss = (uint32_t)random ();
  f->seq = f->iss + 1;
  f->sent_ms = io_now_ms ();
  send_packet (f, SEGMENT_SYN, f->iss, NULL);
}

static void
send_request (struct flow *f)
{
  f->sent_ms = io_now_ms ();
  send_packet (f, SEGMENT_ACK, f->seq, f->text);
}

static void
start_request (struct flow *f)
{
  snprintf (f->id, sizeof f->id, "o%ld-%zu", (long)(f - s.flows), f->next_time);
  snprintf (f->text, sizeof f->text, "%s %d", f->id, ANSWER_BYTES);
  f->next_time++;
  f->received = 0;
  f->retransmit_ms = RETRANSMIT_MS;
  f->request_ms = io_now_ms ();
  f->state = WAITING;
  s.sent++;
  printf ("%lu sent %s port=%u\n", elapsed (), f->id, f->port);
  send_request (f);
}

static void
end_flow (struct flow *f, const char *why)
{
  bool open = f->state == IDLE || f->state == WAITING;

  if (f->state == WAITING)
    {
      s.unanswered++;
      printf ("%lu unanswered %s port=%u why=%s\n", elapsed (), f->id, f->port,
              why);
    }
  f->state = ENDED;
  if (!open)
    printf ("%lu not_opened port=%u why=%s\n", elapsed (), f->port, why);
}

static void
on_reset (struct flow *f, const struct segment *in)
{
  bool open = f->state == IDLE || f->state == WAITING;

  if (!open && f->state != OPENING)
    return;
  if (open && in->seq - f->ack + RESET_WINDOW > 2 * RESET_WINDOW)
    {
      printf ("%lu reset_outside_window port=%u\n", elapsed (), f->port);
      return;
    }
  if (!open)
    {
      if (f->attempts < OPEN_ATTEMPTS)
        open_flow (f);
      else
        end_flow (f, "reset");
      return;
    }
  s.resets++;
  printf ("%lu reset_of_open_flow port=%u age_ms=%lu from_server=%d\n",
          elapsed (), f->port, (unsigned long)(io_now_ms () - f->opened_ms),
          in->checksum != 0);
  end_flow (f, "reset");
}

static void
on_data (struct flow *f, const struct segment *in)
{
  size_t n = strlen (f->id);

  if (f->state != WAITING || in->seq != f->ack)
    {
      send_packet (f, SEGMENT_ACK, f->seq, NULL);
      return;
    }
  if (f->received == 0
      && (in->len <= n || memcmp (in->data, f->id, n) != 0
          || in->data[n] != ' '))
    {
      s.wrong++;
      printf ("%lu wrong_answer %s\n", elapsed (), f->id);
    }
  f->ack += in->len;
  f->received += in->len;
  if (f->received >= ANSWER_BYTES)
    {
      f->seq += (uint32_t)strlen (f->text);
      f->state = IDLE;
      s.answered++;
      printf ("%lu answered %s port=%u\n", elapsed (), f->id, f->port);
    }
  send_packet (f, SEGMENT_ACK, f->seq, NULL);
}

static void
on_packet (const uint8_t *buf, size_t len)
{
  struct segment in;
  struct flow *f = NULL;

  if (!segment_read (&in, buf, len))
    return;
  for (int i = 0; i < s.flow_count && f == NULL; i++)
    if (s.flows[i].port == in.dport && s.flows[i].state != CLOSED)
      f = &s.flows[i];
  if (f == NULL)
    return;
  if (in.flags & SEGMENT_RST)
    on_reset (f, &in);
  else if (!segment_checksum_is_valid (&in, buf))
    s.wrong++;
  else if (in.flags & SEGMENT_SYN)
    {
      if (f->state != OPENING)
        return;
      f->state = IDLE;
      f->ack = in.seq + 1;
      f->opened_ms = io_now_ms ();
      s.opened++;
      printf ("%lu opened port=%u\n", elapsed (), f->port);
      start_request (f);
    }
  else if (in.len > 0)
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

static void
check_flow (struct flow *f, uint64_t now)
{
  uint64_t waited = now - f->sent_ms;

  if (f->state == CLOSED && now >= s.start_ms + s.times[0])
    open_flow (f);
  else if (f->state == OPENING && waited > OPEN_TIMEOUT_MS)
    {
      if (f->attempts < OPEN_ATTEMPTS)
        open_flow (f);
      else
        end_flow (f, "timeout");
    }
  else if (f->state == OPENING && f->syn_retransmits < SYN_RETRANSMITS
           && waited > syn_retransmit_ms[f->syn_retransmits])
    {
      f->syn_retransmits++;
      send_packet (f, SEGMENT_SYN, f->iss, NULL);
    }
  else if (f->state == WAITING && now - f->request_ms > DEADLINE_MS)
    {
      send_packet (f, SEGMENT_RST | SEGMENT_ACK, f->seq, NULL);
      end_flow (f, "deadline");
    }
  else if (f->state == WAITING && waited > f->retransmit_ms)
    {
      f->retransmit_ms = f->retransmit_ms * 2 < RETRANSMIT_MAX
                             ? f->retransmit_ms * 2
                             : RETRANSMIT_MAX;
      send_request (f);
    }
  else if (f->state == IDLE && f->next_time < s.time_count
           && now >= s.start_ms + s.times[f->next_time])
    start_request (f);
  else if (f->state == IDLE && f->next_time == s.time_count)
    {
      send_packet (f, SEGMENT_FIN | SEGMENT_ACK, f->seq, NULL);
      f->state = ENDED;
    }
}

static void
on_tick (void *ctx)
{
  uint64_t now = io_now_ms ();
  int ended = 0;

  (void)ctx;
  for (int i = 0; i < s.flow_count; i++)
    {
      check_flow (&s.flows[i], now);
      ended += s.flows[i].state == ENDED;
    }
  if (ended == s.flow_count)
    io_loop_stop (s.loop);
}

static void *
probe (void *ctx)
{
  (void)ctx;
  while (!s.finished)
    {
      for (size_t i = 0; i < s.balancer_count; i++)
        {
          struct io_object out = { .len = 0 };
          long status
              = io_http_request ("GET", s.urls[i], NULL, PROBE_MS, &out);
          io_object_clear (&out);
          s.misses[i] = status == 200 ? 0 : s.misses[i] + 1;
        }
      usleep (PROBE_MS * 1000);
    }
  return NULL;
}

static bool
read_balancers (const char *text, int http_port)
{
  while (*text != '\0' && s.balancer_count < BALANCERS_MAX)
    {
      size_t i = s.balancer_count++;
      size_t len = strcspn (text, ",");
      if (bl_ip_parse (&s.balancers[i].ip, (struct bl_str){ text, len })
          != BL_OK)
        return false;
      s.balancers[i].port = s.local.port;
      snprintf (s.urls[i], sizeof s.urls[i], "http://%.*s:%d/v1/readiness",
                (int)len, text, http_port);
      text += len + (text[len] == ',' ? 1 : 0);
    }
  return s.balancer_count > 0;
}

static void
read_times (const char *text)
{
  char *end;

  while (*text != '\0' && s.time_count < TIMES_MAX)
    {
      s.times[s.time_count++] = strtoul (text, &end, 10);
      text = *end == ',' ? end + 1 : end;
    }
}

int
main (int argc, const char **argv)
{
  char *local = NULL, *route = NULL, *balancers = NULL, *times = NULL;
  int http_port = 0;
  pthread_t thread;
  struct poptOption table[] = {
    { "local", 0, POPT_ARG_STRING, &local, 0, "IP:PORT of the clients", NULL },
    { "route", 0, POPT_ARG_STRING, &route, 0, "IP:PORT of the route", NULL },
    { "balancers", 0, POPT_ARG_STRING, &balancers, 0, "IP,IP,...", NULL },
    { "http-port", 0, POPT_ARG_INT, &http_port, 0, "for readiness", NULL },
    { "flows", 0, POPT_ARG_INT, &s.flow_count, 0, "number of flows", NULL },
    { "times", 0, POPT_ARG_STRING, &times, 0, "MS,MS,... of the requests",
      NULL },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext popt = poptGetContext (NULL, argc, argv, table, 0);

  if (poptGetNextOpt (popt) < -1 || local == NULL || route == NULL
      || balancers == NULL || times == NULL || s.flow_count < 1
      || s.flow_count > FLOWS_MAX
      || bl_addr_parse (&s.local, bl_str_of (local)) != BL_OK
      || bl_addr_parse (&s.route, bl_str_of (route)) != BL_OK
      || !read_balancers (balancers, http_port))
    return 2;
  read_times (times);
  setvbuf (stdout, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  srandom ((unsigned)(io_wall_ms () ^ (uint64_t)getpid ()));
  io_http_init ();
  s.next_port = (uint16_t)(2000 + random () % 20000);
  s.loop = io_loop_new ();
  s.udp = (struct io_source){ .fd = io_udp_open (&s.local),
                              .events = EPOLLIN,
                              .ready = on_udp };
  if (s.udp.fd < 0 || io_loop_add (s.loop, &s.udp) != 0)
    return 2;
  s.start_ms = io_now_ms ();
  pthread_create (&thread, NULL, probe, NULL);
  io_loop_set_tick (s.loop, TICK_MS, on_tick, NULL);
  io_loop_run (s.loop);
  s.finished = true;
  pthread_join (thread, NULL);
  printf ("total opened=%u sent=%u answered=%u unanswered=%u resets=%u "
          "wrong=%u\n",
          s.opened, s.sent, s.answered, s.unanswered, s.resets, s.wrong);
  return 0;
}
