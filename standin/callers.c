/* callers.c -- stand-in for the users' routers and callers

   Routers look at each balancer's readiness twice a second and choose among
   those in rotation by a hash of the flow.  Each user keeps a flow open for
   many requests with pauses between; a request is one packet "ID BYTES". Prints
   one line "caller sent=N answered=N refused=N failed=N cut=N wrong=N", and for
   each request that may have run only once and failed "unsure ID".  */

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

#define USERS_MAX     512
#define BALANCERS_MAX 32
#define TICK_MS       2
#define FIRST_MS      200 /* until a first packet is repeated */
#define SECOND_MS     600
#define GIVE_UP_MS    1400
#define RESEND_MS     200
#define DEADLINE_MS   5000
#define TRIES         3
#define PROBE_MS      500
#define ID_MAX        32
#define ANSWER_MAX    65536
#define RESET_WINDOW  76800u /* a reset counts if its number is so near */

enum phase
{
  PAUSING,
  OPENING,
  WAITING,
};

struct user
{
  enum phase phase;
  uint32_t ip;
  uint16_t port;
  bool open;
  bool once; /* its requests may run once only */
  uint32_t seq;
  uint32_t ack;
  uint32_t iss;
  uint64_t asked_ms;
  uint64_t sent_ms;
  uint64_t next_ms; /* of the next step */
  int copies;
  int tries;
  bool sent; /* the request has left */
  unsigned number;
  char id[ID_MAX];
  size_t got; /* bytes of the answer */
  uint64_t wait_ms;
};

struct balancer
{
  struct bl_addr packets;
  char url[96];
  volatile int misses;
};

static struct
{
  struct bl_addr local; /* of all callers; the port is that of balancers */
  struct bl_addr route;
  int users;
  int seed;     /* of pauses and ports; part of each id */
  int requests; /* of each user */
  int bytes;
  int pause_ms;
  int once; /* every so many users' requests may run once only; 0: none */
  struct io_loop *loop;
  struct io_source udp;
  size_t balancer_count;
  struct balancer balancers[BALANCERS_MAX];
  struct user all[USERS_MAX];
  int busy; /* users that have not ended */
  volatile bool over;
  unsigned sent, answered, refused, failed, cut, wrong;
} c;

static uint32_t
mix (uint32_t a)
{
  a ^= a >> 16;
  a *= 0x7feb352du;
  a ^= a >> 15;
  a *= 0x846ca68bu;
  return a ^ a >> 16;
}

/* The balancer with the highest score among those in rotation.  */
static struct balancer *
route (const struct user *u)
{
  struct balancer *best = NULL;
  uint64_t best_score = 0;

  for (size_t i = 0; i < c.balancer_count; i++)
    {
      struct balancer *b = &c.balancers[i];
      uint64_t score = mix (b->packets.ip ^ mix (u->port ^ mix (u->ip)));
      if (b->misses < 2)
        score |= 1ull << 40;
      if (best == NULL || score > best_score)
        {
          best = b;
          best_score = score;
        }
    }
  return best;
}

static void
send_packet (struct user *u, uint8_t flags, uint32_t seq, const char *data)
{
  uint8_t buf[SEGMENT_HEADER_LEN + SEGMENT_DATA_MAX];
  struct segment out = {
    .dst = c.route.ip,
    .src = u->ip,
    .dport = c.route.port,
    .sport = u->port,
    .flags = flags,
    .seq = seq,
    .ack = flags & SEGMENT_SYN ? (uint32_t)u->copies : u->ack,
    .len = data != NULL ? (uint16_t)strlen (data) : 0,
    .data = (const uint8_t *)data,
  };
  size_t len = segment_write (&out, buf);

  io_udp_send (c.udp.fd, route (u)->packets, buf, len);
}

static void
open_flow (struct user *u)
{
  u->phase = OPENING;
  u->open = false;
  u->copies = 0;
  u->port = u->port < 1024 || u->port > 60000
                ? (uint16_t)(1024 + (u - c.all) * 50)
                : (uint16_t)(u->port + 1);
  u->iss = (uint32_t)random ();
  u->seq = u->iss + 1;
  u->sent_ms = io_now_ms ();
  send_packet (u, SEGMENT_SYN, u->iss, NULL);
}

static void
send_request (struct user *u)
{
  char text[64];

  snprintf (text, sizeof text, "%s %d", u->id, c.bytes);
  u->phase = WAITING;
  u->sent = true;
  u->sent_ms = io_now_ms ();
  send_packet (u, SEGMENT_ACK, u->seq, text);
}

static void
end_request (struct user *u, unsigned *counter)
{
  ++*counter;
  if (counter != &c.answered)
    printf ("lost %s after_ms=%lu port=%u open=%d\n", u->id,
            (unsigned long)(io_now_ms () - u->asked_ms), u->port, u->open);
  if (counter != &c.answered && u->once && u->sent)
    printf ("unsure %s\n", u->id);
  if (u->number == (unsigned)c.requests)
    c.busy--;
  u->phase = PAUSING;
  u->next_ms = io_now_ms () + (uint64_t)(random () % (2 * c.pause_ms + 1));
}

static void
try_again (struct user *u, unsigned *counter)
{
  u->open = false;
  if (u->tries++ >= TRIES || (u->once && u->sent))
    end_request (u, counter);
  else
    open_flow (u);
}

static void
next_request (struct user *u)
{
  u->number++;
  u->tries = 0;
  u->sent = false;
  u->got = 0;
  u->asked_ms = io_now_ms ();
  u->wait_ms = RESEND_MS;
  snprintf (u->id, sizeof u->id, "%c%d.%ld-%u", u->once ? 'o' : 'r', c.seed,
            (long)(u - c.all), u->number);
  c.sent++;
  if (u->open)
    send_request (u);
  else
    open_flow (u);
}

/* -- what comes back -- */

static struct user *
find (const struct segment *in)
{
  for (int i = 0; i < c.users; i++)
    if (c.all[i].ip == in->dst && c.all[i].port == in->dport)
      return &c.all[i];
  return NULL;
}

static void
on_answer (struct user *u, const struct segment *in)
{
  size_t n = strlen (u->id);

  if (u->phase != WAITING || in->seq != u->ack)
    {
      /* Repeated, or out of order.  */
      send_packet (u, SEGMENT_ACK, u->seq, NULL);
      return;
    }
  u->ack += in->len;
  if (u->got == 0 && in->len > 7 && memcmp (in->data, "refused", 7) == 0)
    {
      u->seq += (uint32_t)snprintf (NULL, 0, "%s %d", u->id, c.bytes);
      u->sent = false;
      try_again (u, &c.refused);
      return;
    }
  if (u->got == 0 && (in->len < n || memcmp (in->data, u->id, n) != 0))
    c.wrong++;
  u->got += in->len;
  send_packet (u, SEGMENT_ACK, u->seq, NULL);
  if (u->got < (size_t)c.bytes)
    return;
  u->seq += (uint32_t)snprintf (NULL, 0, "%s %d", u->id, c.bytes);
  end_request (u, &c.answered);
}

static void
on_packet (const uint8_t *buf, size_t len)
{
  struct segment in;
  struct user *u;

  if (!segment_read (&in, buf, len))
    return;
  u = find (&in);
  if (u == NULL)
    return;
  if ((in.flags & SEGMENT_RST) && u->open
      && in.seq - u->ack + RESET_WINDOW > 2 * RESET_WINDOW)
    return;
  if (in.flags & SEGMENT_RST)
    {
      u->open = false;
      if (u->phase != PAUSING)
        try_again (u, &c.cut);
      return;
    }
  if (!segment_sum_is_valid (&in, buf))
    c.wrong++;
  else if ((in.flags & SEGMENT_SYN) && u->phase == OPENING)
    {
      u->open = true;
      u->ack = in.seq + 1;
      send_request (u);
    }
  else if (in.len > 0)
    on_answer (u, &in);
  else if ((in.flags & SEGMENT_FIN) && u->phase == PAUSING && u->open)
    {
      send_packet (u, SEGMENT_FIN | SEGMENT_ACK, u->seq, NULL);
      u->open = false;
    }
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

/* -- time -- */

static void
step_opening (struct user *u, uint64_t now)
{
  uint64_t waited = now - u->sent_ms;

  if (waited > GIVE_UP_MS)
    try_again (u, &c.failed);
  else if ((u->copies == 0 && waited > FIRST_MS)
           || (u->copies == 1 && waited > SECOND_MS))
    {
      u->copies++;
      send_packet (u, SEGMENT_SYN, u->iss, NULL);
    }
}

static void
step_waiting (struct user *u, uint64_t now)
{
  if (now - u->asked_ms > DEADLINE_MS)
    {
      send_packet (u, SEGMENT_RST | SEGMENT_ACK, u->seq, NULL);
      u->open = false;
      end_request (u, &c.failed);
    }
  else if (now - u->sent_ms > u->wait_ms)
    {
      u->wait_ms *= 2;
      send_request (u);
    }
}

static void
on_tick (void *ctx)
{
  uint64_t now = io_now_ms ();

  (void)ctx;
  for (int i = 0; i < c.users; i++)
    {
      struct user *u = &c.all[i];
      if (u->phase == OPENING)
        step_opening (u, now);
      else if (u->phase == WAITING)
        step_waiting (u, now);
      else if (u->number < (unsigned)c.requests && now >= u->next_ms)
        next_request (u);
    }
  if (c.busy == 0)
    io_loop_stop (c.loop);
}

static void *
watch_ready (void *ctx)
{
  (void)ctx;
  while (!c.over)
    {
      for (size_t i = 0; i < c.balancer_count; i++)
        {
          struct balancer *b = &c.balancers[i];
          struct io_object out = { .len = 0 };
          long status = io_http_request ("GET", b->url, NULL, PROBE_MS, &out);
          io_object_clear (&out);
          b->misses = status == 200 ? 0 : b->misses + 1;
        }
      usleep (PROBE_MS * 1000);
    }
  return NULL;
}

/* BALANCERS: "IP,IP", which all use the same ports.  */
static bool
read_balancers (const char *text, unsigned http_port)
{
  while (*text != '\0' && c.balancer_count < BALANCERS_MAX)
    {
      struct balancer *b = &c.balancers[c.balancer_count++];
      size_t len = strcspn (text, ",");
      if (bl_ip_parse (&b->packets.ip, (struct bl_str){ text, len }) != BL_OK)
        return false;
      b->packets.port = c.local.port;
      snprintf (b->url, sizeof b->url, "http://%.*s:%u/v1/readiness", (int)len,
                text, http_port);
      text += len + (text[len] == ',' ? 1 : 0);
    }
  return c.balancer_count > 0;
}

static int
run (void)
{
  pthread_t thread;

  c.loop = io_loop_new ();
  c.udp = (struct io_source){
    .fd = io_udp_open (&c.local),
    .events = EPOLLIN,
    .ready = on_udp,
  };
  if (c.udp.fd < 0 || io_loop_add (c.loop, &c.udp) != 0)
    {
      fprintf (stderr, "standin-callers: cannot bind\n");
      return 1;
    }
  for (int i = 0; i < c.users; i++)
    {
      c.all[i].ip = c.local.ip;
      c.all[i].once = c.once > 0 && i % c.once == 0;
      c.all[i].next_ms
          = io_now_ms () + (uint64_t)(random () % (c.pause_ms + 1));
    }
  c.busy = c.users;
  pthread_create (&thread, NULL, watch_ready, NULL);
  io_loop_set_tick (c.loop, TICK_MS, on_tick, NULL);
  io_loop_run (c.loop);
  c.over = true;
  pthread_join (thread, NULL);
  printf ("caller sent=%u answered=%u refused=%u failed=%u cut=%u wrong=%u\n",
          c.sent, c.answered, c.refused, c.failed, c.cut, c.wrong);
  return c.wrong > 0 ? 1 : 0;
}

int
main (int argc, const char **argv)
{
  char *local = NULL;
  char *to = NULL;
  char *balancers = NULL;
  int http_port = 0;
  struct poptOption table[] = {
    { "local", 0, POPT_ARG_STRING, &local, 0,
      "IP:PORT of the callers; the port is that of the balancers", NULL },
    { "route", 0, POPT_ARG_STRING, &to, 0, "IP:PORT that callers use", NULL },
    { "balancers", 0, POPT_ARG_STRING, &balancers, 0, "IP,IP,...", NULL },
    { "http-port", 0, POPT_ARG_INT, &http_port, 0, "of the balancers", NULL },
    { "users", 0, POPT_ARG_INT, &c.users, 0, "users", NULL },
    { "requests", 0, POPT_ARG_INT, &c.requests, 0, "of each user", NULL },
    { "bytes", 0, POPT_ARG_INT, &c.bytes, 0, "of an answer", NULL },
    { "pause-ms", 0, POPT_ARG_INT, &c.pause_ms, 0, "between requests", NULL },
    { "once", 0, POPT_ARG_INT, &c.once, 0,
      "requests of every so many users may run once only", NULL },
    { "seed", 0, POPT_ARG_INT, &c.seed, 0, "of pauses and ports", NULL },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext popt = poptGetContext (NULL, argc, argv, table, 0);

  c.seed = 1;
  c.users = 40;
  c.requests = 20;
  c.bytes = 2000;
  c.pause_ms = 100;
  if (poptGetNextOpt (popt) < -1 || local == NULL || to == NULL
      || balancers == NULL || c.users > USERS_MAX || c.bytes > ANSWER_MAX
      || bl_addr_parse (&c.local, bl_str_of (local)) != BL_OK
      || bl_addr_parse (&c.route, bl_str_of (to)) != BL_OK
      || !read_balancers (balancers, (unsigned)http_port))
    {
      fprintf (stderr, "standin-callers: see --help\n");
      return 2;
    }
  setvbuf (stdout, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  srandom ((unsigned)c.seed);
  return run ();
}
