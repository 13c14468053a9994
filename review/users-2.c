/* users-2.c -- stand-in for the platform's routers and the clients of one zone

   Routers ask each balancer for its readiness twice a second; one that misses
   two answers is out of rotation until it answers 200 again.  A packet goes to
   the balancer with the highest hash of the flow among those in rotation.  If
   fewer than half are, all are used.

   Opens FLOWS flows, one each GAP ms, each from a port of its own.  A client
   sends a request as soon as its flow is open, and after each answer the next
   one PAUSE ms later, REQUESTS in all.  A client whose flow is reset opens no
   other one.

   Prints one line an event, each with the time in ms:
     syn PORT COPY | opened PORT | request PORT ID | answer PORT ID
     reset PORT system|backend idle|waiting
     refused PORT      a reset before the flow was open
     gone PORT         no answer to the opening packets, or none by the deadline
     closed PORT       the backend ended the flow
     rotation IP in|out  */

#include "review/wire-2.h"

#include <poll.h>
#include <pthread.h>

#define FLOWS_MAX     2048
#define BALANCERS_MAX 16
#define PROBE_MS      500
#define RESET_WINDOW  76800u
#define FIRST_PORT    20000

enum phase
{
  NOT_YET,
  OPENING,
  WAITING,
  PAUSING,
  OVER
};

struct flow
{
  enum phase phase;
  uint16_t port;
  uint32_t iss, seq, ack;
  int copies;
  int requests;
  char id[40];
  char text[256];
  uint16_t len;
  uint64_t start_ms; /* of the opening, the request or the pause */
  uint64_t sent_ms, wait_ms;
  uint64_t pause_ms;
  bool open;
};

struct balancer
{
  struct sockaddr_in packets, ready;
  volatile int misses;
  bool out; /* as last recorded */
};

static struct flow flows[FLOWS_MAX];
static struct balancer balancers[BALANCERS_MAX];
static size_t balancer_count;
static struct sockaddr_in local, route;
static int flow_count = 10, gap_ms = 50, pause_ms = 1000, request_count = 2,
           deadline_ms = 5000, ready_port, run_ms = 20000;
static int spread; /* 1: pauses are random, from a tenth of PAUSE to twice it */
static int fd;

static void
record (const char *text, unsigned port, const char *more)
{
  printf ("%lu users %s %u%s%s\n", (unsigned long)now_ms (), text, port,
          more[0] != '\0' ? " " : "", more);
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

static struct balancer *
choose (const struct flow *f)
{
  size_t in = 0;
  struct balancer *best = NULL;
  uint32_t best_score = 0;

  for (size_t i = 0; i < balancer_count; i++)
    in += balancers[i].misses < 2;
  for (size_t i = 0; i < balancer_count; i++)
    {
      struct balancer *b = &balancers[i];
      uint32_t score = mix (ntohl (b->packets.sin_addr.s_addr) ^ mix (f->port));
      if (2 * in >= balancer_count && b->misses >= 2)
        continue;
      if (best == NULL || score > best_score)
        {
          best = b;
          best_score = score;
        }
    }
  return best;
}

static void
send_out (const struct flow *f,
          uint8_t flags,
          uint32_t seq,
          uint32_t ack,
          const char *data,
          uint16_t len)
{
  struct segment s = { .dst = ntohl (route.sin_addr.s_addr),
                       .src = ntohl (local.sin_addr.s_addr),
                       .dport = ntohs (route.sin_port),
                       .sport = f->port,
                       .flags = flags,
                       .seq = seq,
                       .ack = ack,
                       .len = len,
                       .data = (const uint8_t *)data };
  uint8_t buf[SEGMENT_HEADER_LEN + SEGMENT_DATA_MAX];
  size_t n = segment_write (&s, buf);
  struct balancer *b = choose (f);

  sendto (fd, buf, n, 0, (struct sockaddr *)&b->packets, sizeof b->packets);
}

static void
send_first (struct flow *f)
{
  char more[16];

  send_out (f, SEGMENT_SYN, f->iss, (uint32_t)f->copies, NULL, 0);
  snprintf (more, sizeof more, "%d", f->copies);
  record ("syn", f->port, more);
}

static void
send_request (struct flow *f)
{
  f->sent_ms = now_ms ();
  send_out (f, SEGMENT_ACK, f->seq, f->ack, f->text, f->len);
}

static void
start_request (struct flow *f)
{
  f->phase = WAITING;
  f->start_ms = now_ms ();
  f->wait_ms = 200;
  f->requests++;
  snprintf (f->id, sizeof f->id, "q%u-%d", f->port, f->requests);
  f->len = (uint16_t)snprintf (f->text, sizeof f->text,
                               "GET /watch HTTP/1.1\r\nHost: 198.18.0.1\r\n"
                               "X-Request-Id: %s\r\n\r\n",
                               f->id);
  record ("request", f->port, f->id);
  send_request (f);
}

static void
on_reset (struct flow *f, const struct segment *in)
{
  char more[40];

  if (f->open && in->seq - f->ack + RESET_WINDOW > 2 * RESET_WINDOW)
    return;
  snprintf (more, sizeof more, "%s %s",
            in->checksum == 0 ? "system" : "backend",
            f->phase == WAITING ? "waiting" : "idle");
  record (f->open ? "reset" : "refused", f->port, f->open ? more : "");
  f->phase = OVER;
}

static void
on_answer (struct flow *f, const struct segment *in)
{
  char text[SEGMENT_DATA_MAX + 1];

  if (f->phase != WAITING || in->seq != f->ack)
    {
      send_out (f, SEGMENT_ACK, f->seq, f->ack, NULL, 0);
      return;
    }
  memcpy (text, in->data, in->len);
  text[in->len] = '\0';
  record (strstr (text, f->id) != NULL ? "answer" : "wrong", f->port, f->id);
  f->ack += in->len;
  f->seq += f->len;
  f->start_ms = now_ms ();
  f->phase = PAUSING;
  f->pause_ms = (uint64_t)pause_ms;
  if (spread)
    f->pause_ms
        = f->pause_ms / 10 + (uint64_t)random () % (f->pause_ms * 19 / 10 + 1);
  send_out (f, SEGMENT_ACK, f->seq, f->ack, NULL, 0);
}

static void
on_packet (const uint8_t *buf, size_t n)
{
  struct segment in;
  struct flow *f = NULL;

  if (!segment_read (&in, buf, n))
    return;
  for (int i = 0; i < flow_count; i++)
    if (flows[i].port == in.dport && flows[i].phase != NOT_YET)
      f = &flows[i];
  if (f == NULL || f->phase == OVER)
    return;
  if (in.flags & SEGMENT_RST)
    {
      on_reset (f, &in);
      return;
    }
  if (!segment_checksum_is_valid (&in, buf))
    {
      record ("forged", f->port, "");
      return;
    }
  if (in.flags & SEGMENT_SYN)
    {
      if (f->phase != OPENING)
        return;
      f->ack = in.seq + 1;
      f->open = true;
      record ("opened", f->port, "");
      start_request (f);
    }
  else if (f->open && in.len > 0)
    on_answer (f, &in);
  else if (f->open && (in.flags & SEGMENT_FIN) && f->phase == PAUSING)
    {
      send_out (f, SEGMENT_FIN | SEGMENT_ACK, f->seq, in.seq + 1, NULL, 0);
      record ("closed", f->port, "");
      f->phase = OVER;
    }
}

static void
advance (struct flow *f, uint64_t now)
{
  if (f->phase == OPENING && now - f->start_ms > 1400)
    {
      record ("gone", f->port, "opening");
      f->phase = OVER;
    }
  else if (f->phase == OPENING
           && ((f->copies == 0 && now - f->start_ms >= 200)
               || (f->copies == 1 && now - f->start_ms >= 600)))
    {
      f->copies++;
      send_first (f);
    }
  else if (f->phase == WAITING && now - f->start_ms > (uint64_t)deadline_ms)
    {
      record ("gone", f->port, f->id);
      f->phase = OVER;
    }
  else if (f->phase == WAITING && now - f->sent_ms > f->wait_ms)
    {
      f->wait_ms = f->wait_ms < 1600 ? f->wait_ms * 2 : 1600;
      send_request (f);
    }
  else if (f->phase == PAUSING && f->requests < request_count
           && now - f->start_ms > f->pause_ms)
    start_request (f);
}

static void *
probe (void *ctx)
{
  struct balancer *b = ctx;

  for (;;)
    {
      uint64_t start = now_ms ();
      bool out;
      if (http_call (b->ready, "GET", "/v1/readiness", "", PROBE_MS) == 200)
        b->misses = 0;
      else
        b->misses++;
      out = b->misses >= 2;
      if (out != b->out)
        printf ("%lu users rotation %s %s\n", (unsigned long)now_ms (),
                inet_ntoa (b->packets.sin_addr), out ? "out" : "in");
      b->out = out;
      while (now_ms () - start < PROBE_MS)
        usleep (5000);
    }
  return NULL;
}

static void
add_balancers (const char *list)
{
  char text[256], *at, *save = NULL;

  snprintf (text, sizeof text, "%s", list);
  for (at = strtok_r (text, ",", &save);
       at != NULL && balancer_count < BALANCERS_MAX;
       at = strtok_r (NULL, ",", &save))
    {
      struct balancer *b = &balancers[balancer_count++];
      char addr[64];
      snprintf (addr, sizeof addr, "%s:%u", at, ntohs (local.sin_port));
      b->packets = parse_addr (addr);
      snprintf (addr, sizeof addr, "%s:%d", at, ready_port);
      b->ready = parse_addr (addr);
    }
}

int
main (int argc, char **argv)
{
  const char *list = "";
  int first_port = FIRST_PORT;
  pthread_t thread;
  uint64_t start;

  for (int i = 1; i + 1 < argc; i += 2)
    {
      const char *name = argv[i], *value = argv[i + 1];
      if (strcmp (name, "--local") == 0)
        local = parse_addr (value);
      else if (strcmp (name, "--route") == 0)
        route = parse_addr (value);
      else if (strcmp (name, "--balancers") == 0)
        list = value;
      else if (strcmp (name, "--ready-port") == 0)
        ready_port = atoi (value);
      else if (strcmp (name, "--flows") == 0)
        flow_count = atoi (value);
      else if (strcmp (name, "--gap-ms") == 0)
        gap_ms = atoi (value);
      else if (strcmp (name, "--pause-ms") == 0)
        pause_ms = atoi (value);
      else if (strcmp (name, "--spread") == 0)
        spread = atoi (value);
      else if (strcmp (name, "--requests") == 0)
        request_count = atoi (value);
      else if (strcmp (name, "--first-port") == 0)
        first_port = atoi (value);
      else if (strcmp (name, "--run-ms") == 0)
        run_ms = atoi (value);
      else
        {
          fprintf (stderr, "unknown option %s\n", name);
          return 2;
        }
    }
  add_balancers (list);
  if (balancer_count == 0 || flow_count > FLOWS_MAX)
    return 2;
  setvbuf (stdout, NULL, _IOLBF, 0);
  srandom ((unsigned)wall_ms ());
  fd = open_socket (SOCK_DGRAM, local);
  for (size_t i = 0; i < balancer_count; i++)
    pthread_create (&thread, NULL, probe, &balancers[i]);
  for (int i = 0; i < flow_count; i++)
    flows[i].port = (uint16_t)(first_port + i);
  start = now_ms ();
  while (now_ms () - start < (uint64_t)run_ms)
    {
      struct pollfd p = { .fd = fd, .events = POLLIN };
      uint8_t buf[SEGMENT_HEADER_LEN + SEGMENT_DATA_MAX + 1];
      uint64_t now;
      ssize_t n;
      poll (&p, 1, 2);
      while ((n = recv (fd, buf, sizeof buf, MSG_DONTWAIT)) >= 0)
        on_packet (buf, (size_t)n);
      now = now_ms ();
      for (int i = 0; i < flow_count; i++)
        {
          struct flow *f = &flows[i];
          if (f->phase == NOT_YET && now - start >= (uint64_t)(i * gap_ms))
            {
              f->phase = OPENING;
              f->start_ms = now;
              f->iss = (uint32_t)random ();
              f->seq = f->iss + 1;
              send_first (f);
            }
          else
            advance (f, now);
        }
    }
  return 0;
}
