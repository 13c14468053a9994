/* callers.c -- stand-in for the users' routers and callers

   Routers probe the readiness of each balancer twice a second and choose among
   those in rotation by a hash of the flow.  Each caller keeps a flow open for
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

#define CALLERS_MAX   512
#define BALANCERS_MAX 32
#define TICK_MS       2
/* Times from the first transmission of a flow's first packet to its two
   retransmissions and to the failure of the attempt.  */
#define SYN_RETRANSMIT_1_MS 200
#define SYN_RETRANSMIT_2_MS 600
#define OPEN_TIMEOUT_MS     1400
/* Time until a request is retransmitted; doubles with each retransmission.  */
#define REQUEST_RETRANSMIT_MS 200
#define REQUEST_TIMEOUT_MS    5000 /* of a request, with all retries */
#define RETRIES_MAX           3
#define PROBE_MS              500 /* interval and time-out of readiness probes */
/* Consecutive failed probes after which a balancer is out of rotation.  */
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

struct caller
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
  volatile int probe_failures; /* consecutive */
};

static struct
{
  struct bl_addr local; /* of all callers; balancers use the same port */
  struct bl_addr route; /* that callers connect to */
  int caller_count;
  int seed;     /* of the random choices; part of each id */
  int requests; /* of each caller */
  int bytes;    /* of each answer */
  int pause_ms; /* mean pause between requests */
  /* The requests of one caller in so many must not run twice; 0: of none.  */
  int at_most_once_interval;
  struct io_loop *loop;
  struct io_source udp;
  size_t balancer_count;
  struct balancer balancers[BALANCERS_MAX];
  struct caller callers[CALLERS_MAX];
  int active_callers; /* callers with requests left */
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
choose_balancer (const struct caller *caller)
{
  struct balancer *best = NULL;
  uint64_t best_score = 0;

  for (size_t i = 0; i < state.balancer_count; i++)
    {
      struct balancer *b = &state.balancers[i];
      uint64_t score
          = mix (b->data_addr.ip ^ mix (caller->port ^ mix (caller->ip)));
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
send_packet (struct caller *caller,
             uint8_t flags,
             uint32_t seq,
             const char *data)
{
  uint8_t buf[SEGMENT_HEADER_LEN + SEGMENT_DATA_MAX];
  struct segment out = {
    .dst = state.route.ip,
    .src = caller->ip,
    .dport = state.route.port,
    .sport = caller->port,
    .flags = flags,
    .seq = seq,
    .ack
    = flags & SEGMENT_SYN ? (uint32_t)caller->syn_retransmits : caller->ack,
    .len = data != NULL ? (uint16_t)strlen (data) : 0,
    .data = (const uint8_t *)data,
  };
  size_t len = segment_write (&out, buf);

  io_udp_send (state.udp.fd, choose_balancer (caller)->data_addr, buf, len);
}

static void
open_flow (struct caller *caller)
{
  caller->phase = OPENING;
  caller->open = false;
  caller->syn_retransmits = 0;
  caller->port = caller->port < 1024 || caller->port > 60000
                     ? (uint16_t)(1024 + (caller - state.callers) * 50)
                     : (uint16_t)(caller->port + 1);
  caller->iss = (uint32_t)random ();
  caller->seq = caller->iss + 1;
  caller->sent_ms = io_now_ms ();
  send_packet (caller, SEGMENT_SYN, caller->iss, NULL);
}

static void
send_request (struct caller *caller)
{
  char text[64];

  snprintf (text, sizeof text, "%s %d", caller->id, state.bytes);
  caller->phase = WAITING;
  caller->sent = true;
  caller->sent_ms = io_now_ms ();
  send_packet (caller, SEGMENT_ACK, caller->seq, text);
}

/* Ends the current request with the outcome that COUNTER counts.  */
static void
finish_request (struct caller *caller, unsigned *counter)
{
  ++*counter;
  if (counter != &state.answered)
    printf ("lost %s after_ms=%lu port=%u open=%d\n", caller->id,
            (unsigned long)(io_now_ms () - caller->start_ms), caller->port,
            caller->open);
  if (counter != &state.answered && caller->at_most_once && caller->sent)
    printf ("unsure %s\n", caller->id);
  if (caller->request_number == (unsigned)state.requests)
    state.active_callers--;
  caller->phase = PAUSING;
  caller->next_ms
      = io_now_ms () + (uint64_t)(random () % (2 * state.pause_ms + 1));
}

/* Retries the request on a new flow, unless there were enough retries or the
   request must not run twice and may have run.  */
static void
retry_request (struct caller *caller, unsigned *counter)
{
  caller->open = false;
  if (caller->retries++ >= RETRIES_MAX
      || (caller->at_most_once && caller->sent))
    finish_request (caller, counter);
  else
    open_flow (caller);
}

static void
start_request (struct caller *caller)
{
  caller->request_number++;
  caller->retries = 0;
  caller->sent = false;
  caller->received_bytes = 0;
  caller->start_ms = io_now_ms ();
  caller->retransmit_ms = REQUEST_RETRANSMIT_MS;
  snprintf (caller->id, sizeof caller->id, "%c%d.%ld-%u",
            caller->at_most_once ? 'o' : 'r', state.seed,
            (long)(caller - state.callers), caller->request_number);
  state.sent++;
  if (caller->open)
    send_request (caller);
  else
    open_flow (caller);
}

/* -- packets from balancers and agents -- */

static struct caller *
find_caller (const struct segment *in)
{
  for (int i = 0; i < state.caller_count; i++)
    if (state.callers[i].ip == in->dst && state.callers[i].port == in->dport)
      return &state.callers[i];
  return NULL;
}

static void
on_answer (struct caller *caller, const struct segment *in)
{
  size_t n = strlen (caller->id);

  if (caller->phase != WAITING || in->seq != caller->ack)
    {
      /* The answer is a duplicate or arrived out of order.  */
      send_packet (caller, SEGMENT_ACK, caller->seq, NULL);
      return;
    }
  caller->ack += in->len;
  if (caller->received_bytes == 0 && in->len > 7
      && memcmp (in->data, "refused", 7) == 0)
    {
      caller->seq
          += (uint32_t)snprintf (NULL, 0, "%s %d", caller->id, state.bytes);
      caller->sent = false;
      retry_request (caller, &state.refused);
      return;
    }
  if (caller->received_bytes == 0
      && (in->len < n || memcmp (in->data, caller->id, n) != 0))
    state.wrong++;
  caller->received_bytes += in->len;
  send_packet (caller, SEGMENT_ACK, caller->seq, NULL);
  if (caller->received_bytes < (size_t)state.bytes)
    return;
  caller->seq += (uint32_t)snprintf (NULL, 0, "%s %d", caller->id, state.bytes);
  finish_request (caller, &state.answered);
}

static void
on_packet (const uint8_t *buf, size_t len)
{
  struct segment in;
  struct caller *caller;

  if (!segment_read (&in, buf, len))
    return;
  caller = find_caller (&in);
  if (caller == NULL)
    return;
  if ((in.flags & SEGMENT_RST) && caller->open
      && in.seq - caller->ack + RESET_WINDOW_BYTES > 2 * RESET_WINDOW_BYTES)
    return;
  if (in.flags & SEGMENT_RST)
    {
      caller->open = false;
      if (caller->phase != PAUSING)
        retry_request (caller, &state.cut);
      return;
    }
  if (!segment_checksum_is_valid (&in, buf))
    state.wrong++;
  else if ((in.flags & SEGMENT_SYN) && caller->phase == OPENING)
    {
      caller->open = true;
      caller->ack = in.seq + 1;
      send_request (caller);
    }
  else if (in.len > 0)
    on_answer (caller, &in);
  else if ((in.flags & SEGMENT_FIN) && caller->phase == PAUSING && caller->open)
    {
      send_packet (caller, SEGMENT_FIN | SEGMENT_ACK, caller->seq, NULL);
      caller->open = false;
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
check_opening (struct caller *caller, uint64_t now)
{
  uint64_t waited = now - caller->sent_ms;

  if (waited > OPEN_TIMEOUT_MS)
    retry_request (caller, &state.failed);
  else if ((caller->syn_retransmits == 0 && waited > SYN_RETRANSMIT_1_MS)
           || (caller->syn_retransmits == 1 && waited > SYN_RETRANSMIT_2_MS))
    {
      caller->syn_retransmits++;
      send_packet (caller, SEGMENT_SYN, caller->iss, NULL);
    }
}

static void
check_waiting (struct caller *caller, uint64_t now)
{
  if (now - caller->start_ms > REQUEST_TIMEOUT_MS)
    {
      send_packet (caller, SEGMENT_RST | SEGMENT_ACK, caller->seq, NULL);
      caller->open = false;
      finish_request (caller, &state.failed);
    }
  else if (now - caller->sent_ms > caller->retransmit_ms)
    {
      caller->retransmit_ms *= 2;
      send_request (caller);
    }
}

static void
on_tick (void *ctx)
{
  uint64_t now = io_now_ms ();

  (void)ctx;
  for (int i = 0; i < state.caller_count; i++)
    {
      struct caller *caller = &state.callers[i];
      if (caller->phase == OPENING)
        check_opening (caller, now);
      else if (caller->phase == WAITING)
        check_waiting (caller, now);
      else if (caller->request_number < (unsigned)state.requests
               && now >= caller->next_ms)
        start_request (caller);
    }
  if (state.active_callers == 0)
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
run_callers (void)
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
  for (int i = 0; i < state.caller_count; i++)
    {
      state.callers[i].ip = state.local.ip;
      state.callers[i].at_most_once = state.at_most_once_interval > 0
                                      && i % state.at_most_once_interval == 0;
      state.callers[i].next_ms
          = io_now_ms () + (uint64_t)(random () % (state.pause_ms + 1));
    }
  state.active_callers = state.caller_count;
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
          { "users", 0, POPT_ARG_INT, &state.caller_count, 0,
            "number of callers", NULL },
          { "requests", 0, POPT_ARG_INT, &state.requests, 0,
            "requests of each caller", NULL },
          { "bytes", 0, POPT_ARG_INT, &state.bytes, 0, "bytes of an answer",
            NULL },
          { "pause-ms", 0, POPT_ARG_INT, &state.pause_ms, 0,
            "mean pause between requests", NULL },
          { "once", 0, POPT_ARG_INT, &state.at_most_once_interval, 0,
            "the requests of one caller in so many must not run twice", NULL },
          { "seed", 0, POPT_ARG_INT, &state.seed, 0,
            "seed of the random choices", NULL },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext popt = poptGetContext (NULL, argc, argv, table, 0);

  state.seed = 1;
  state.caller_count = 40;
  state.requests = 20;
  state.bytes = 2000;
  state.pause_ms = 100;
  if (poptGetNextOpt (popt) < -1 || local == NULL || to == NULL
      || balancers == NULL || state.caller_count > CALLERS_MAX
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
  return run_callers ();
}
