/* callers.c -- stand-in for the users' routers and callers

   Routers probe the readiness of each balancer twice a second and choose among
   those in rotation by a hash of the flow.  Each user keeps a flow open for
   many requests with pauses between them; a request is one packet "ID BYTES".

   The last line printed is "caller sent=N answered=N refused=N failed=N cut=N
   wrong=N".  A line "lost ID ..." is printed for each request without an
   answer, and a line "unsure ID" if such a request must not run twice and may
   have run.  */

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
/* The first packet of a flow is sent again after these times; the attempt to
   open the flow fails after the last.  */
#define SYN_RETRANSMIT_1_MS 200
#define SYN_RETRANSMIT_2_MS 600
#define OPEN_TIMEOUT_MS     1400
/* Doubles with each retransmission of a request.  */
#define REQUEST_RETRANSMIT_MS 200
#define REQUEST_TIMEOUT_MS    5000 /* of a request, with all retries */
#define RETRIES_MAX           3
#define PROBE_MS              500 /* interval and time-out of readiness probes */
/* Failed probes in succession that take a balancer out of rotation.  */
#define PROBE_FAILURES_MAX 2
#define IN_ROTATION        (1ull << 40) /* above every score (32 bits) */
#define ID_MAX_BYTES       32
#define ANSWER_MAX_BYTES   65536
/* A reset is accepted if its sequence number is within this distance of the
   expected one.  */
#define RESET_WINDOW_BYTES 76800u

enum phase
{
  PAUSING, /* between two requests */
  OPENING, /* until the first packet of the flow is answered */
  WAITING, /* for an answer to the request */
};

struct user
{
  enum phase phase;
  uint32_t ip;
  uint16_t port;
  bool open;
  bool at_most_once; /* its requests must not run twice */
  uint32_t seq;
  uint32_t ack;
  uint32_t iss;            /* initial sequence number */
  uint64_t start_ms;       /* start of the request */
  uint64_t sent_ms;        /* last transmission */
  uint64_t next_ms;        /* start of the next request, when pausing */
  int syn_retransmits;     /* retransmissions of the first packet */
  int retries;             /* of the request, after the first attempt */
  bool sent;               /* the request was sent and was not refused since */
  unsigned request_number; /* requests started */
  char id[ID_MAX_BYTES];
  size_t received_bytes;  /* bytes of the answer */
  uint64_t retransmit_ms; /* until the next retransmission */
};

struct balancer
{
  struct bl_addr data_addr;
  char readiness_url[96];
  volatile int probe_failures; /* failed probes in succession */
};

static struct
{
  struct bl_addr local; /* of all callers; balancers use the same port */
  struct bl_addr route; /* that callers connect to */
  int users;
  int seed;     /* of the random choices; part of each id */
  int requests; /* of each user */
  int bytes;    /* of each answer */
  int pause_ms; /* mean pause between requests */
  /* The requests of one user in so many must not run twice; 0: of none.  */
  int at_most_once_interval;
  struct io_loop *loop;
  struct io_source udp;
  size_t balancer_count;
  struct balancer balancers[BALANCERS_MAX];
  struct user all[USERS_MAX];
  int active_users; /* users with requests left */
  volatile bool finished;
  /* Requests by outcome; wrong counts faulty packets and answers.  */
  unsigned sent, answered, refused, failed, cut, wrong;
} state;

static uint32_t
mix (uint32_t a)
{
  a ^= a >> 16;
  a *= 0x7feb352du;
  a ^= a >> 15;
  a *= 0x846ca68bu;
  return a ^ a >> 16;
}

/* Returns the balancer with the highest score for the flow among those in
   rotation, or among all if none is in rotation (rendezvous hashing).  */
static struct balancer *
choose_balancer (const struct user *u)
{
  struct balancer *best = NULL;
  uint64_t best_score = 0;

  for (size_t i = 0; i < state.balancer_count; i++)
    {
      struct balancer *b = &state.balancers[i];
      uint64_t score = mix (b->data_addr.ip ^ mix (u->port ^ mix (u->ip)));
      if (b->probe_failures < PROBE_FAILURES_MAX)
        score |= IN_ROTATION;
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
    .dst = state.route.ip,
    .src = u->ip,
    .dport = state.route.port,
    .sport = u->port,
    .flags = flags,
    .seq = seq,
    .ack = flags & SEGMENT_SYN ? (uint32_t)u->syn_retransmits : u->ack,
    .len = data != NULL ? (uint16_t)strlen (data) : 0,
    .data = (const uint8_t *)data,
  };
  size_t len = segment_write (&out, buf);

  io_udp_send (state.udp.fd, choose_balancer (u)->data_addr, buf, len);
}

static void
open_flow (struct user *u)
{
  u->phase = OPENING;
  u->open = false;
  u->syn_retransmits = 0;
  u->port = u->port < 1024 || u->port > 60000
                ? (uint16_t)(1024 + (u - state.all) * 50)
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

  snprintf (text, sizeof text, "%s %d", u->id, state.bytes);
  u->phase = WAITING;
  u->sent = true;
  u->sent_ms = io_now_ms ();
  send_packet (u, SEGMENT_ACK, u->seq, text);
}

/* Ends the current request with the outcome that COUNTER counts.  */
static void
end_request (struct user *u, unsigned *counter)
{
  ++*counter;
  if (counter != &state.answered)
    printf ("lost %s after_ms=%lu port=%u open=%d\n", u->id,
            (unsigned long)(io_now_ms () - u->start_ms), u->port, u->open);
  if (counter != &state.answered && u->at_most_once && u->sent)
    printf ("unsure %s\n", u->id);
  if (u->request_number == (unsigned)state.requests)
    state.active_users--;
  u->phase = PAUSING;
  u->next_ms = io_now_ms () + (uint64_t)(random () % (2 * state.pause_ms + 1));
}

/* Retries the request on a new flow, unless there were enough retries or the
   request must not run twice and may have run.  */
static void
retry_request (struct user *u, unsigned *counter)
{
  u->open = false;
  if (u->retries++ >= RETRIES_MAX || (u->at_most_once && u->sent))
    end_request (u, counter);
  else
    open_flow (u);
}

static void
start_request (struct user *u)
{
  u->request_number++;
  u->retries = 0;
  u->sent = false;
  u->received_bytes = 0;
  u->start_ms = io_now_ms ();
  u->retransmit_ms = REQUEST_RETRANSMIT_MS;
  snprintf (u->id, sizeof u->id, "%c%d.%ld-%u", u->at_most_once ? 'o' : 'r',
            state.seed, (long)(u - state.all), u->request_number);
  state.sent++;
  if (u->open)
    send_request (u);
  else
    open_flow (u);
}

/* -- packets from balancers and agents -- */

static struct user *
find_user (const struct segment *in)
{
  for (int i = 0; i < state.users; i++)
    if (state.all[i].ip == in->dst && state.all[i].port == in->dport)
      return &state.all[i];
  return NULL;
}

static void
on_answer (struct user *u, const struct segment *in)
{
  size_t n = strlen (u->id);

  if (u->phase != WAITING || in->seq != u->ack)
    {
      /* A duplicate, or out of order.  */
      send_packet (u, SEGMENT_ACK, u->seq, NULL);
      return;
    }
  u->ack += in->len;
  if (u->received_bytes == 0 && in->len > 7
      && memcmp (in->data, "refused", 7) == 0)
    {
      u->seq += (uint32_t)snprintf (NULL, 0, "%s %d", u->id, state.bytes);
      u->sent = false;
      retry_request (u, &state.refused);
      return;
    }
  if (u->received_bytes == 0
      && (in->len < n || memcmp (in->data, u->id, n) != 0))
    state.wrong++;
  u->received_bytes += in->len;
  send_packet (u, SEGMENT_ACK, u->seq, NULL);
  if (u->received_bytes < (size_t)state.bytes)
    return;
  u->seq += (uint32_t)snprintf (NULL, 0, "%s %d", u->id, state.bytes);
  end_request (u, &state.answered);
}

static void
on_packet (const uint8_t *buf, size_t len)
{
  struct segment in;
  struct user *u;

  if (!segment_read (&in, buf, len))
    return;
  u = find_user (&in);
  if (u == NULL)
    return;
  if ((in.flags & SEGMENT_RST) && u->open
      && in.seq - u->ack + RESET_WINDOW_BYTES > 2 * RESET_WINDOW_BYTES)
    return;
  if (in.flags & SEGMENT_RST)
    {
      u->open = false;
      if (u->phase != PAUSING)
        retry_request (u, &state.cut);
      return;
    }
  if (!segment_sum_is_valid (&in, buf))
    state.wrong++;
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

/* -- timers -- */

static void
step_opening (struct user *u, uint64_t now)
{
  uint64_t waited = now - u->sent_ms;

  if (waited > OPEN_TIMEOUT_MS)
    retry_request (u, &state.failed);
  else if ((u->syn_retransmits == 0 && waited > SYN_RETRANSMIT_1_MS)
           || (u->syn_retransmits == 1 && waited > SYN_RETRANSMIT_2_MS))
    {
      u->syn_retransmits++;
      send_packet (u, SEGMENT_SYN, u->iss, NULL);
    }
}

static void
step_waiting (struct user *u, uint64_t now)
{
  if (now - u->start_ms > REQUEST_TIMEOUT_MS)
    {
      send_packet (u, SEGMENT_RST | SEGMENT_ACK, u->seq, NULL);
      u->open = false;
      end_request (u, &state.failed);
    }
  else if (now - u->sent_ms > u->retransmit_ms)
    {
      u->retransmit_ms *= 2;
      send_request (u);
    }
}

static void
on_tick (void *ctx)
{
  uint64_t now = io_now_ms ();

  (void)ctx;
  for (int i = 0; i < state.users; i++)
    {
      struct user *u = &state.all[i];
      if (u->phase == OPENING)
        step_opening (u, now);
      else if (u->phase == WAITING)
        step_waiting (u, now);
      else if (u->request_number < (unsigned)state.requests
               && now >= u->next_ms)
        start_request (u);
    }
  if (state.active_users == 0)
    io_loop_stop (state.loop);
}

static void *
probe_balancers (void *ctx)
{
  (void)ctx;
  while (!state.finished)
    {
      for (size_t i = 0; i < state.balancer_count; i++)
        {
          struct balancer *b = &state.balancers[i];
          struct io_object out = { .len = 0 };
          long status
              = io_http_request ("GET", b->readiness_url, NULL, PROBE_MS, &out);
          io_object_clear (&out);
          b->probe_failures = status == 200 ? 0 : b->probe_failures + 1;
        }
      usleep (PROBE_MS * 1000);
    }
  return NULL;
}

/* Parses "IP,IP,...".  All balancers use the same ports.  */
static bool
read_balancers (const char *text, unsigned http_port)
{
  while (*text != '\0' && state.balancer_count < BALANCERS_MAX)
    {
      struct balancer *b = &state.balancers[state.balancer_count++];
      size_t len = strcspn (text, ",");
      if (bl_ip_parse (&b->data_addr.ip, (struct bl_str){ text, len }) != BL_OK)
        return false;
      b->data_addr.port = state.local.port;
      snprintf (b->readiness_url, sizeof b->readiness_url,
                "http://%.*s:%u/v1/readiness", (int)len, text, http_port);
      text += len + (text[len] == ',' ? 1 : 0);
    }
  return state.balancer_count > 0;
}

static int
run (void)
{
  pthread_t thread;

  state.loop = io_loop_new ();
  state.udp = (struct io_source){
    .fd = io_udp_open (&state.local),
    .events = EPOLLIN,
    .ready = on_udp,
  };
  if (state.udp.fd < 0 || io_loop_add (state.loop, &state.udp) != 0)
    {
      fprintf (stderr, "standin-callers: cannot bind the UDP socket\n");
      return 1;
    }
  for (int i = 0; i < state.users; i++)
    {
      state.all[i].ip = state.local.ip;
      state.all[i].at_most_once = state.at_most_once_interval > 0
                                  && i % state.at_most_once_interval == 0;
      state.all[i].next_ms
          = io_now_ms () + (uint64_t)(random () % (state.pause_ms + 1));
    }
  state.active_users = state.users;
  pthread_create (&thread, NULL, probe_balancers, NULL);
  io_loop_set_tick (state.loop, TICK_MS, on_tick, NULL);
  io_loop_run (state.loop);
  state.finished = true;
  pthread_join (thread, NULL);
  printf ("caller sent=%u answered=%u refused=%u failed=%u cut=%u wrong=%u\n",
          state.sent, state.answered, state.refused, state.failed, state.cut,
          state.wrong);
  return state.wrong > 0 ? 1 : 0;
}

int
main (int argc, const char **argv)
{
  char *local = NULL;
  char *to = NULL;
  char *balancers = NULL;
  int http_port = 0;
  struct poptOption table[]
      = { { "local", 0, POPT_ARG_STRING, &local, 0,
            "IP:PORT of the callers; balancers use the same port", NULL },
          { "route", 0, POPT_ARG_STRING, &to, 0,
            "IP:PORT that callers connect to", NULL },
          { "balancers", 0, POPT_ARG_STRING, &balancers, 0,
            "IP,IP,... of the balancers", NULL },
          { "http-port", 0, POPT_ARG_INT, &http_port, 0,
            "HTTP port of the balancers", NULL },
          { "users", 0, POPT_ARG_INT, &state.users, 0, "users", NULL },
          { "requests", 0, POPT_ARG_INT, &state.requests, 0,
            "requests of each user", NULL },
          { "bytes", 0, POPT_ARG_INT, &state.bytes, 0, "bytes of an answer",
            NULL },
          { "pause-ms", 0, POPT_ARG_INT, &state.pause_ms, 0,
            "mean pause between requests", NULL },
          { "once", 0, POPT_ARG_INT, &state.at_most_once_interval, 0,
            "the requests of one user in so many must not run twice", NULL },
          { "seed", 0, POPT_ARG_INT, &state.seed, 0,
            "seed of the random choices", NULL },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext popt = poptGetContext (NULL, argc, argv, table, 0);

  state.seed = 1;
  state.users = 40;
  state.requests = 20;
  state.bytes = 2000;
  state.pause_ms = 100;
  if (poptGetNextOpt (popt) < -1 || local == NULL || to == NULL
      || balancers == NULL || state.users > USERS_MAX
      || state.bytes > ANSWER_MAX_BYTES
      || bl_addr_parse (&state.local, bl_str_of (local)) != BL_OK
      || bl_addr_parse (&state.route, bl_str_of (to)) != BL_OK
      || !read_balancers (balancers, (unsigned)http_port))
    {
      fprintf (stderr, "standin-callers: missing or malformed option; "
                       "see --help\n");
      return 2;
    }
  setvbuf (stdout, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  srandom ((unsigned)state.seed);
  return run ();
}
