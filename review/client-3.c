/* client-3.c -- stand-in for clients and for the routers before the balancers

   client-3 LOCAL ROUTE BALANCERS LONG FRESH SECONDS

   LOCAL is the IP:PORT that all clients receive at, ROUTE the IP:PORT that they
   connect to, BALANCERS the IP:PORT of each balancer, separated by commas. LONG
   clients keep a flow open and send a request every half second; besides, FRESH
   flows a second are opened for one request each.  After SECONDS no further
   request is sent.  A packet goes to the balancer that a hash of its flow
   selects.

   Each line of the output begins with the milliseconds since the start:
     sent ID PORT, answered ID PORT, failed ID PORT  outcomes of requests
     reset PORT open|opening ID                       a reset by the system
   A flow counts as open once an answer has come on it.  */

#include "standin/segment.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define FLOWS_MAX      4096
#define BALANCERS_MAX  8
#define ANSWER_BYTES   600
#define DEADLINE_MS    3000
#define INTERVAL_MS    500
#define RESET_WINDOW   76800u
#define RETRANSMIT_MS  200
#define RETRANSMIT_MAX 1600
#define SYN_GIVE_UP_MS 1400

enum phase
{
  FREE,
  OPENING,
  WAITING, /* for an answer */
  PAUSING,
};

struct flow
{
  enum phase phase;
  int is_long;
  int is_open; /* an answer has come */
  uint16_t port;
  uint32_t iss, seq, ack;
  unsigned copies; /* of the first packet */
  uint64_t start_ms, sent_ms, next_ms, wait_ms;
  char id[32];
};

static struct flow flows[FLOWS_MAX];
static struct sockaddr_in balancers[BALANCERS_MAX];
static unsigned balancer_count;
static uint32_t local_ip, route_ip;
static uint16_t route_port;
static int fd;
static uint64_t start_ms;
static unsigned next_id;
static uint16_t next_port = 20000;

static uint64_t
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  char ip[32];
  unsigned port;

  if (sscanf (text, "%31[0-9.]:%u", ip, &port) != 2
      || inet_pton (AF_INET, ip, &sa.sin_addr) != 1)
    {
      fprintf (stderr, "client-3: \"%s\" is not IP:PORT\n", text);
      exit (2);
    }
  sa.sin_port = htons ((uint16_t)port);
  return sa;
}

static void
note (const char *what, const struct flow *f, const char *more)
{
  printf ("%lu %s %s %u%s%s\n", (unsigned long)(now_ms () - start_ms), what,
          f->id, f->port, more[0] != '\0' ? " " : "", more);
}

static void
send_packet (struct flow *f, uint8_t flags, uint32_t seq, const char *data)
{
  uint8_t buf[SEGMENT_HEADER_LEN + SEGMENT_DATA_MAX];
  struct segment out = {
    .dst = route_ip,
    .src = local_ip,
    .dport = route_port,
    .sport = f->port,
    .flags = flags,
    .seq = seq,
    .ack = flags & SEGMENT_SYN ? f->copies : f->ack,
    .len = data != NULL ? (uint16_t)strlen (data) : 0,
    .data = (const uint8_t *)data,
  };
  size_t len = segment_write (&out, buf);
  uint32_t hash = f->port * 2654435761u;
  const struct sockaddr_in *to = &balancers[(hash >> 16) % balancer_count];

  sendto (fd, buf, len, 0, (const struct sockaddr *)to, sizeof *to);
}

static void
send_request (struct flow *f)
{
  char text[64];

  snprintf (text, sizeof text, "%s %d", f->id, ANSWER_BYTES);
  f->phase = WAITING;
  f->sent_ms = now_ms ();
  send_packet (f, SEGMENT_ACK, f->seq, text);
}

static void
new_request (struct flow *f)
{
  snprintf (f->id, sizeof f->id, "%c%u", f->is_long ? 'l' : 'f', ++next_id);
  f->start_ms = now_ms ();
  f->wait_ms = RETRANSMIT_MS;
  note ("sent", f, "");
}

/* Opens a flow from a new port, for a new request.  */
static void
open_flow (struct flow *f, int is_long)
{
  *f = (struct flow){ .phase = OPENING, .is_long = is_long };
  f->port = next_port = next_port >= 60000 ? 20000 : next_port + 1;
  f->iss = (uint32_t)random ();
  f->seq = f->iss + 1;
  new_request (f);
  f->sent_ms = now_ms ();
  send_packet (f, SEGMENT_SYN, f->iss, NULL);
}

static void
end_flow (struct flow *f)
{
  int is_long = f->is_long;

  f->phase = FREE;
  if (is_long)
    {
      *f = (struct flow){ .phase = PAUSING, .is_long = 1 };
      f->next_ms = now_ms () + INTERVAL_MS;
    }
}

static void
on_reset (struct flow *f, const struct segment *in)
{
  int acknowledged = f->phase != OPENING;

  if (acknowledged && in->seq - f->ack + RESET_WINDOW > 2 * RESET_WINDOW)
    return;
  note ("reset", f, f->is_open ? "open" : "opening");
  if (f->phase != PAUSING)
    note ("failed", f, "");
  end_flow (f);
}

static void
on_answer (struct flow *f, const struct segment *in)
{
  if (f->phase != WAITING || in->seq != f->ack)
    {
      send_packet (f, SEGMENT_ACK, f->seq, NULL);
      return;
    }
  f->ack += in->len;
  f->seq += (uint32_t)snprintf (NULL, 0, "%s %d", f->id, ANSWER_BYTES);
  f->is_open = 1;
  note (strncmp ((const char *)in->data, f->id, strlen (f->id)) == 0
            ? "answered"
            : "wrong",
        f, "");
  if (f->is_long)
    {
      send_packet (f, SEGMENT_ACK, f->seq, NULL);
      f->phase = PAUSING;
      f->next_ms = now_ms () + INTERVAL_MS;
      return;
    }
  send_packet (f, SEGMENT_FIN | SEGMENT_ACK, f->seq, NULL);
  end_flow (f);
}

static void
on_packet (const uint8_t *buf, size_t len)
{
  struct segment in;
  struct flow *f = NULL;

  if (!segment_read (&in, buf, len) || in.dst != local_ip)
    return;
  for (int i = 0; i < FLOWS_MAX && f == NULL; i++)
    if (flows[i].phase != FREE && flows[i].port == in.dport)
      f = &flows[i];
  if (f == NULL)
    return;
  if (in.flags & SEGMENT_RST)
    on_reset (f, &in);
  else if (!segment_checksum_is_valid (&in, buf))
    note ("forged", f, "");
  else if ((in.flags & SEGMENT_SYN) && f->phase == OPENING)
    {
      f->ack = in.seq + 1;
      send_request (f);
    }
  else if (in.len > 0)
    on_answer (f, &in);
}

static void
on_tick (struct flow *f, uint64_t now, int ending)
{
  if (f->phase == PAUSING && now >= f->next_ms && !ending)
    {
      if (f->port == 0)
        open_flow (f, 1);
      else
        {
          new_request (f);
          send_request (f);
        }
    }
  else if (f->phase == OPENING && f->copies < 2
           && now - f->start_ms >= (f->copies == 0 ? 200u : 600u))
    {
      f->copies++;
      send_packet (f, SEGMENT_SYN, f->iss, NULL);
    }
  else if ((f->phase == OPENING && now - f->start_ms > SYN_GIVE_UP_MS)
           || (f->phase == WAITING && now - f->start_ms > DEADLINE_MS))
    {
      note ("failed", f, "deadline");
      end_flow (f);
    }
  else if (f->phase == WAITING && now - f->sent_ms >= f->wait_ms)
    {
      f->wait_ms
          = f->wait_ms * 2 < RETRANSMIT_MAX ? f->wait_ms * 2 : RETRANSMIT_MAX;
      send_request (f);
    }
}

int
main (int argc, char **argv)
{
  struct sockaddr_in local, route;
  unsigned long_count, fresh, seconds, opened = 0;
  uint64_t now;

  if (argc != 7)
    {
      fprintf (stderr, "client-3 LOCAL ROUTE BALANCERS LONG FRESH SECONDS\n");
      return 2;
    }
  local = parse_address (argv[1]);
  route = parse_address (argv[2]);
  for (char *t = strtok (argv[3], ","); t != NULL; t = strtok (NULL, ","))
    balancers[balancer_count++ % BALANCERS_MAX] = parse_address (t);
  long_count = (unsigned)atoi (argv[4]);
  fresh = (unsigned)atoi (argv[5]);
  seconds = (unsigned)atoi (argv[6]);
  local_ip = ntohl (local.sin_addr.s_addr);
  route_ip = ntohl (route.sin_addr.s_addr);
  route_port = ntohs (route.sin_port);
  fd = socket (AF_INET, SOCK_DGRAM, 0);
  if (fd < 0 || bind (fd, (struct sockaddr *)&local, sizeof local) != 0)
    {
      perror ("client-3: bind");
      return 2;
    }
  setvbuf (stdout, NULL, _IOLBF, 0);
  srandom ((unsigned)getpid ());
  start_ms = now_ms ();
  for (unsigned i = 0; i < long_count; i++)
    {
      flows[i] = (struct flow){ .phase = PAUSING, .is_long = 1 };
      flows[i].next_ms = start_ms + 20 * i;
    }
  while ((now = now_ms ()) - start_ms < (uint64_t)seconds * 1000 + DEADLINE_MS)
    {
      struct pollfd p = { .fd = fd, .events = POLLIN };
      int ending = now - start_ms >= (uint64_t)seconds * 1000;
      uint8_t buf[SEGMENT_HEADER_LEN + SEGMENT_DATA_MAX + 1];
      ssize_t n;

      poll (&p, 1, 2);
      while ((n = recv (fd, buf, sizeof buf, MSG_DONTWAIT)) >= 0)
        on_packet (buf, (size_t)n);
      now = now_ms ();
      for (int i = 0; i < FLOWS_MAX; i++)
        if (flows[i].phase != FREE)
          on_tick (&flows[i], now, ending);
      for (int i = (int)long_count;
           i < FLOWS_MAX && !ending && opened < (now - start_ms) * fresh / 1000;
           i++)
        if (flows[i].phase == FREE)
          {
            open_flow (&flows[i], 0);
            opened++;
          }
    }
  return 0;
}
