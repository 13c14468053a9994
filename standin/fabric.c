/* fabric.c -- stand-in for the network fabric, and the callers behind it

   The callers use a real TCP stack (lwIP).  Each of their packets is sent to a
   balancer drawn at random from a seed (packet spraying); agents send packets
   to callers directly.  A balancer receives packets only while its /ready page
   returns 200, as with the health check of a real fabric.  Packets can be
   lost, duplicated and delayed at given rates.

   A caller opens a connection, sends requests one after the other with pauses
   between them, checks every byte of each answer, and closes the connection.
   At the end a table and one line of JSON are printed.  */

#include "io/io.h"
#include "io/stack.h"

#include <jansson.h>
#include <lwip/tcp.h>
#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define BALANCERS_MAX     64
#define LOADS_MAX         16
#define SERVERS_MAX       128
#define TICK_MS           5
#define DELAYED_MAX       256
#define DELAY_MIN_MS      5
#define DELAY_JITTER_MS   45          /* at random, above the minimum */
#define CALLER_IP         0x0a000001u /* 10.0.0.1 */
#define PROBE_INTERVAL_MS 200         /* interval of health checks */
#define PROBE_TIMEOUT_MS  300
/* Latencies stored for a flow without a limit of requests.  */
#define ANSWERS_MAX 10000

struct balancer
{
  struct bl_addr data;
  char admin[BL_ADDR_TEXT_MAX]; /* "IP:PORT" of its /ready page */
  volatile bool ready;
};

/* One kind of traffic: flows to a service with the same parameters.  */
struct load
{
  char service[32];
  char class_name[32];
  struct bl_addr to;
  unsigned flows;
  unsigned requests; /* of each flow; 0: until the run ends */
  unsigned bytes;    /* of an answer */
  unsigned work_ms;  /* on the backend server */
  unsigned pause_ms; /* mean pause between an answer and the next request */
  unsigned deadline_ms;
  unsigned started;
  /* Requests by outcome.  */
  unsigned sent;
  unsigned answered;
  unsigned refused;
  unsigned broken;
  unsigned late; /* the backend server did not run it in time, or was busy */
  unsigned flows_broken;
  unsigned broken_unserved; /* flows broken before any answer */
  uint32_t *latency;        /* owned; ms, of each answered request */
};

/* A backend server, by the name in its answers.  */
struct server
{
  char name[48];
  unsigned connections;
  unsigned requests;
  unsigned broken; /* flows */
};

struct flow
{
  struct load *load;
  struct tcp_pcb *pcb;
  unsigned number;
  uint16_t port;
  unsigned request; /* number of the current request, from 1 */
  bool connected;
  struct server *server; /* that sent the last answer; NULL: none yet */
  bool waiting;          /* for an answer */
  bool in_body;
  bool late;             /* the status of the answer is not OK */
  char id[64];           /* of the current request */
  char status_line[160]; /* first line of the answer */
  size_t status_line_len;
  unsigned long body_left;
  unsigned long body_offset;
  uint64_t sent_ms;
  uint64_t next_ms;
};

/* A packet that is sent later.  LEN is 0 in an unused entry.  */
struct delayed_packet
{
  uint64_t due_ms;
  size_t len;
  uint8_t packet[1600];
};

static struct
{
  struct io_loop *loop;
  struct io_source source;
  struct balancer balancers[BALANCERS_MAX];
  size_t balancer_count;
  struct load loads[LOADS_MAX];
  size_t load_count;
  struct flow *flows;
  size_t flow_count;
  size_t open_count;
  struct server servers[SERVERS_MAX];
  size_t server_count;
  struct bl_random random;
  struct delayed_packet delayed_packets[DELAYED_MAX];
  /* Rates, in packets of ten thousand.  */
  int loss;
  int duplication;
  int delaying;
  int open_rate; /* new flows a second */
  int run_s;
  uint64_t started_ms;
  uint64_t opened_count;
  bool stopping;
} fabric;

static volatile sig_atomic_t signalled;

static void
on_signal (int sig)
{
  (void)sig;
  signalled = 1;
}

/* -- spraying -- */

/* Sends a packet to a ready balancer drawn at random.  */
static void
spray_packet (const uint8_t *packet, size_t len)
{
  size_t n = 0;
  struct balancer *ready[BALANCERS_MAX];

  for (size_t i = 0; i < fabric.balancer_count; i++)
    if (fabric.balancers[i].ready)
      ready[n++] = &fabric.balancers[i];
  if (n == 0)
    return;
  io_udp_send (fabric.source.fd,
               ready[bl_random_below (&fabric.random, (uint32_t)n)]->data,
               packet, len);
}

/* Returns true at random, at the rate IN_TEN_THOUSAND.  */
static bool
draw_event (int in_ten_thousand)
{
  return (int)bl_random_below (&fabric.random, 10000) < in_ten_thousand;
}

/* Returns false if there is no room for the packet.  */
static bool
delay_packet (const uint8_t *packet, size_t len)
{
  for (size_t i = 0; i < DELAYED_MAX; i++)
    {
      struct delayed_packet *h = &fabric.delayed_packets[i];
      if (h->len != 0 || len > sizeof h->packet)
        continue;
      h->len = len;
      h->due_ms = io_now_ms () + DELAY_MIN_MS
                  + bl_random_below (&fabric.random, DELAY_JITTER_MS);
      memcpy (h->packet, packet, len);
      return true;
    }
  return false;
}

static void
stack_output (void *ctx, uint8_t *packet, size_t len)
{
  (void)ctx;
  if (draw_event (fabric.loss))
    return;
  if (draw_event (fabric.duplication))
    spray_packet (packet, len);
  if (draw_event (fabric.delaying) && delay_packet (packet, len))
    return;
  spray_packet (packet, len);
}

static void
send_delayed (uint64_t now)
{
  for (size_t i = 0; i < DELAYED_MAX; i++)
    {
      struct delayed_packet *h = &fabric.delayed_packets[i];
      if (h->len == 0 || h->due_ms > now)
        continue;
      spray_packet (h->packet, h->len);
      h->len = 0;
    }
}

static void
on_answers (struct io_source *source, uint32_t events)
{
  uint8_t buf[2048];
  int n;

  (void)events;
  for (int i = 0; i < 256; i++)
    {
      n = io_udp_receive (source->fd, NULL, buf, sizeof buf);
      if (n < 0)
        return;
      io_stack_input (buf, (size_t)n);
    }
}

/* -- callers -- */

static void
end_flow (struct flow *f)
{
  if (f->pcb != NULL)
    {
      tcp_arg (f->pcb, NULL);
      tcp_recv (f->pcb, NULL);
      tcp_err (f->pcb, NULL);
      if (tcp_close (f->pcb) != ERR_OK)
        tcp_abort (f->pcb);
    }
  f->pcb = NULL;
  f->next_ms = 0;
  f->waiting = false;
  fabric.open_count--;
}

/* Ends a flow that its caller did not end.  REFUSED: an agent refused it, or it
   ended before a byte was sent, so no backend server can have run a
   request.  */
static void
fail_flow (struct flow *f, bool refused, const char *reason)
{
  struct load *l = f->load;

  if (refused)
    {
      if (!f->waiting)
        l->sent++;
      l->refused++;
    }
  else
    {
      l->flows_broken++;
      if (f->waiting)
        l->broken++;
      if (f->server != NULL)
        f->server->broken++;
      else
        l->broken_unserved++;
      fprintf (stderr, "broken: flow=%u port=%u request=%u server=%s why=%s\n",
               f->number, f->port, f->request,
               f->server != NULL ? f->server->name : "-", reason);
    }
  f->waiting = false;
  end_flow (f);
}

/* Counts an answer of the backend server NAME.  */
static void
count_answer (struct flow *f, const char *name)
{
  size_t i = 0;

  while (i < fabric.server_count && strcmp (fabric.servers[i].name, name) != 0)
    i++;
  if (i == SERVERS_MAX)
    return;
  if (i == fabric.server_count)
    snprintf (fabric.servers[fabric.server_count++].name,
              sizeof fabric.servers[0].name, "%s", name);
  fabric.servers[i].requests++;
  if (f->server == NULL)
    fabric.servers[i].connections++;
  f->server = &fabric.servers[i];
}

static void
finish_answer (struct flow *f)
{
  struct load *l = f->load;
  uint64_t now = io_now_ms ();

  if (f->late)
    l->late++;
  else
    l->latency[l->answered++] = (uint32_t)(now - f->sent_ms);
  f->waiting = false;
  f->in_body = false;
  f->status_line_len = 0;
  f->next_ms = now + l->pause_ms / 2
               + bl_random_below (&fabric.random, l->pause_ms + 1);
}

/* Parses the first line of an answer.  Returns false if the answer does not
   belong to the current request or announces a wrong length.  */
static bool
parse_status_line (struct flow *f)
{
  char status[8];
  char id[64];
  char server[48];

  f->status_line[f->status_line_len] = '\0';
  if (sscanf (f->status_line, "%7s %63s %lu %47s", status, id, &f->body_left,
              server)
          != 4
      || strcmp (id, f->id) != 0)
    return false;
  count_answer (f, server);
  f->body_offset = 0;
  f->in_body = true;
  f->late = strcmp (status, "OK") != 0;
  return f->late || f->body_left == f->load->bytes;
}

/* Returns false if the byte is wrong.  */
static bool
parse_byte (struct flow *f, char byte)
{
  if (f->in_body)
    {
      if (byte != f->id[f->body_offset++ % strlen (f->id)])
        return false;
      f->body_left--;
    }
  else if (byte != '\n')
    {
      if (f->status_line_len + 1 >= sizeof f->status_line)
        return false;
      f->status_line[f->status_line_len++] = byte;
      return true;
    }
  else if (!f->waiting || !parse_status_line (f))
    return false;
  if (f->body_left == 0)
    finish_answer (f);
  return true;
}

static bool
is_refusal (const struct flow *f)
{
  return f->status_line_len >= 7 && memcmp (f->status_line, "REFUSED", 7) == 0;
}

static err_t
on_data (void *arg, struct tcp_pcb *pcb, struct pbuf *p, err_t err)
{
  struct flow *f = arg;
  bool valid = true;

  (void)err;
  if (p == NULL)
    {
      fail_flow (f, is_refusal (f), "closed");
      return ERR_OK;
    }
  for (struct pbuf *q = p; q != NULL; q = q->next)
    for (uint16_t i = 0; i < q->len && valid; i++)
      valid = parse_byte (f, ((const char *)q->payload)[i]);
  tcp_recved (pcb, p->tot_len);
  pbuf_free (p);
  if (!valid && !is_refusal (f))
    fail_flow (f, false, "wrong-answer");
  return ERR_OK;
}

static void
on_error (void *arg, err_t err)
{
  struct flow *f = arg;

  if (f == NULL)
    return;
  f->pcb = NULL;
  fail_flow (f, !f->connected || is_refusal (f),
             err == ERR_RST ? "reset" : "gave-up");
}

static void
send_request (struct flow *f)
{
  char line[128];
  struct load *l = f->load;
  int n;

  f->request++;
  snprintf (f->id, sizeof f->id, "%s-%u-%u", l->class_name, f->number,
            f->request);
  n = snprintf (line, sizeof line, "RUN %s %u %u %u\n", f->id, l->bytes,
                l->work_ms, l->deadline_ms);
  f->waiting = true;
  f->sent_ms = io_now_ms ();
  l->sent++;
  tcp_write (f->pcb, line, (uint16_t)n, TCP_WRITE_FLAG_COPY);
  tcp_output (f->pcb);
}

static err_t
on_connect (void *arg, struct tcp_pcb *pcb, err_t err)
{
  struct flow *f = arg;

  if (err != ERR_OK)
    return ERR_OK;
  f->connected = true;
  f->port = pcb->local_port;
  f->next_ms = io_now_ms ();
  return ERR_OK;
}

static void
open_flow (struct flow *f)
{
  ip_addr_t to = IPADDR4_INIT (lwip_htonl (f->load->to.ip));

  fabric.open_count++;
  f->pcb = tcp_new ();
  tcp_arg (f->pcb, f);
  tcp_recv (f->pcb, on_data);
  tcp_err (f->pcb, on_error);
  tcp_nagle_disable (f->pcb);
  if (tcp_connect (f->pcb, &to, f->load->to.port, on_connect) != ERR_OK)
    fail_flow (f, true, "no-connection");
}

/* -- the run -- */

static void
open_due_flows (uint64_t now)
{
  uint64_t due = (now - fabric.started_ms) * (uint64_t)fabric.open_rate / 1000;

  while (fabric.opened_count < fabric.flow_count && fabric.opened_count < due)
    open_flow (&fabric.flows[fabric.opened_count++]);
}

static void
advance_flow (struct flow *f, uint64_t now)
{
  bool finished = f->load->requests > 0 ? f->request >= f->load->requests
                                        : fabric.stopping;

  if (f->pcb == NULL || !f->connected || f->waiting || f->next_ms > now)
    return;
  if (finished || (fabric.stopping && f->load->requests == 0))
    end_flow (f);
  else
    send_request (f);
}

static void
on_tick (void *ctx)
{
  uint64_t now = io_now_ms ();

  (void)ctx;
  if (signalled
      || (fabric.run_s > 0
          && now - fabric.started_ms > (uint64_t)fabric.run_s * 1000))
    fabric.stopping = true;
  send_delayed (now);
  if (!fabric.stopping)
    open_due_flows (now);
  for (size_t i = 0; i < fabric.flow_count; i++)
    advance_flow (&fabric.flows[i], now);
  if (fabric.open_count == 0
      && (fabric.stopping || fabric.opened_count == fabric.flow_count))
    io_loop_stop (fabric.loop);
}

static void *
probe_balancers (void *ctx)
{
  (void)ctx;
  for (;;)
    {
      for (size_t i = 0; i < fabric.balancer_count; i++)
        {
          struct balancer *b = &fabric.balancers[i];
          struct io_object body = { .len = 0 };
          char url[64];
          snprintf (url, sizeof url, "http://%s/ready", b->admin);
          b->ready = io_http_request ("GET", url, NULL, PROBE_TIMEOUT_MS, &body)
                     == 200;
          io_object_clear (&body);
        }
      usleep (PROBE_INTERVAL_MS * 1000);
    }
  return NULL;
}

/* -- report -- */

static int
compare_values (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return (x > y) - (x < y);
}

static unsigned
percentile (struct load *l, unsigned percent)
{
  if (l->answered == 0)
    return 0;
  qsort (l->latency, l->answered, sizeof *l->latency, compare_values);
  return l->latency[(size_t)l->answered * percent / 100];
}

static void
print_report (void)
{
  json_t *classes = json_array ();
  json_t *servers = json_array ();
  json_t *json;
  char *text;

  printf ("%-16s %-16s %8s %8s %8s %8s %8s %8s\n", "service", "class",
          "requests", "answered", "refused", "broken", "p50_ms", "p99_ms");
  for (size_t i = 0; i < fabric.load_count; i++)
    {
      struct load *l = &fabric.loads[i];
      unsigned p50 = percentile (l, 50);
      unsigned p99 = percentile (l, 99);
      printf ("%-16s %-16s %8u %8u %8u %8u %8u %8u\n", l->service,
              l->class_name, l->sent, l->answered + l->late, l->refused,
              l->broken, p50, p99);
      json_array_append_new (
          classes,
          json_pack ("{s:s, s:s, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i}",
                     "service", l->service, "class", l->class_name, "requests",
                     l->sent, "answered", l->answered + l->late, "late",
                     l->late, "refused", l->refused, "broken", l->broken,
                     "flows_broken", l->flows_broken, "broken_unserved",
                     l->broken_unserved, "p50_ms", (int)p50, "p99_ms",
                     (int)p99));
    }
  printf ("%-16s %12s %12s\n", "server", "connections", "requests");
  for (size_t i = 0; i < fabric.server_count; i++)
    {
      printf ("%-16s %12u %12u\n", fabric.servers[i].name,
              fabric.servers[i].connections, fabric.servers[i].requests);
      json_array_append_new (
          servers,
          json_pack ("{s:s, s:i, s:i, s:i}", "name", fabric.servers[i].name,
                     "broken", fabric.servers[i].broken, "connections",
                     fabric.servers[i].connections, "requests",
                     fabric.servers[i].requests));
    }
  json = json_pack ("{s:o, s:o}", "classes", classes, "servers", servers);
  text = json_dumps (json, JSON_COMPACT);
  printf ("%s\n", text);
  free (text);
  json_decref (json);
}

/* Returns the exit status: 0 if each request has an outcome and no request or
   flow broke.  */
static int
exit_status (void)
{
  for (size_t i = 0; i < fabric.load_count; i++)
    {
      struct load *l = &fabric.loads[i];
      if (l->broken > 0 || l->flows_broken > 0
          || l->sent != l->answered + l->late + l->refused + l->broken)
        return 1;
    }
  return 0;
}

/* -- settings -- */

/* Parses DATA-IP:PORT=ADMIN-IP:PORT.  */
static bool
add_balancer (const char *text)
{
  struct balancer *b = &fabric.balancers[fabric.balancer_count];
  const char *at = strchr (text, '=');

  if (at == NULL || fabric.balancer_count == BALANCERS_MAX
      || bl_addr_parse (&b->data, (struct bl_str){ text, (size_t)(at - text) })
             != BL_OK)
    return false;
  snprintf (b->admin, sizeof b->admin, "%s", at + 1);
  fabric.balancer_count++;
  return true;
}

/* Parses
   SERVICE,IP:PORT,CLASS,FLOWS,REQUESTS,BYTES,WORK_MS,THINK_MS,DEADLINE_MS.  */
static bool
add_load (const char *text)
{
  struct load *l = &fabric.loads[fabric.load_count];
  char addr[BL_ADDR_TEXT_MAX];

  if (fabric.load_count == LOADS_MAX
      || sscanf (text, "%31[^,],%23[^,],%31[^,],%u,%u,%u,%u,%u,%u", l->service,
                 addr, l->class_name, &l->flows, &l->requests, &l->bytes,
                 &l->work_ms, &l->pause_ms, &l->deadline_ms)
             != 9
      || bl_addr_parse (&l->to, bl_str_of (addr)) != BL_OK)
    return false;
  fabric.load_count++;
  fabric.flow_count += l->flows;
  return true;
}

/* Creates the flows of all loads in random order, so that the loads start
   together.  */
static void
make_flows (void)
{
  size_t n = 0;
  unsigned per_flow;

  fabric.flows = calloc (fabric.flow_count + 1, sizeof *fabric.flows);
  for (size_t i = 0; i < fabric.load_count; i++)
    {
      struct load *l = &fabric.loads[i];
      per_flow = l->requests > 0 ? l->requests : ANSWERS_MAX;
      l->latency = calloc ((size_t)l->flows * per_flow + 1, sizeof *l->latency);
      for (unsigned k = 0; k < l->flows; k++, n++)
        fabric.flows[n] = (struct flow){ .load = l, .number = (unsigned)n };
    }
  for (size_t i = n; i > 1; i--)
    {
      uint32_t j = bl_random_below (&fabric.random, (uint32_t)i);
      struct flow f = fabric.flows[i - 1];
      fabric.flows[i - 1] = fabric.flows[j];
      fabric.flows[j] = f;
    }
}

enum
{
  OPT_BALANCER = 1,
  OPT_LOAD,
};

/* Opens the socket, starts the TCP stack and the health checks, and runs the
   loads.  */
static int
run_loads (struct bl_addr addr)
{
  pthread_t prober;

  fabric.loop = io_loop_new ();
  fabric.source = (struct io_source){
    .fd = io_udp_open (&addr),
    .events = EPOLLIN,
    .ready = on_answers,
  };
  if (fabric.source.fd < 0)
    return 1;
  io_loop_add (fabric.loop, &fabric.source);
  io_stack_start (stack_output, NULL);
  io_stack_lock (NULL);
  io_stack_set_address (CALLER_IP);
  io_stack_unlock (NULL);
  make_flows ();
  pthread_create (&prober, NULL, probe_balancers, NULL);
  usleep (2 * PROBE_INTERVAL_MS * 1000);
  fabric.started_ms = io_now_ms ();
  io_loop_set_lock (fabric.loop, io_stack_lock, io_stack_unlock, NULL);
  io_loop_set_tick (fabric.loop, TICK_MS, on_tick, NULL);
  io_loop_run (fabric.loop);
  print_report ();
  return exit_status ();
}

int
main (int argc, const char **argv)
{
  char *listen = "127.0.0.1:0";
  char *arg = NULL;
  int seed = 1;
  struct poptOption table[] = {
    { "listen", 0, POPT_ARG_STRING, &listen, 0,
      "UDP address that agents send to", "IP:PORT" },
    { "balancer", 0, POPT_ARG_STRING, &arg, OPT_BALANCER,
      "data and admin address", "IP:PORT=IP:PORT" },
    { "load", 0, POPT_ARG_STRING, &arg, OPT_LOAD, "a kind of traffic",
      "SERVICE,IP:PORT,CLASS,FLOWS,REQUESTS,BYTES,WORK,THINK,DEADLINE" },
    { "seed", 0, POPT_ARG_INT, &seed, 0, "seed of random choices", "N" },
    { "loss", 0, POPT_ARG_INT, &fabric.loss, 0, "packets in ten thousand",
      "N" },
    { "doubling", 0, POPT_ARG_INT, &fabric.duplication, 0,
      "packets in ten thousand", "N" },
    { "delaying", 0, POPT_ARG_INT, &fabric.delaying, 0,
      "packets in ten thousand", "N" },
    { "open-rate", 0, POPT_ARG_INT, &fabric.open_rate, 0, "flows a second",
      "N" },
    { "run-s", 0, POPT_ARG_INT, &fabric.run_s, 0,
      "duration; 0: until all flows end", "S" },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext popt = poptGetContext (NULL, argc, argv, table, 0);
  struct bl_addr addr;
  int opt;

  fabric.open_rate = 500;
  while ((opt = poptGetNextOpt (popt)) > 0)
    if (!(opt == OPT_BALANCER ? add_balancer (arg) : add_load (arg)))
      {
        fprintf (stderr, "malformed value: %s\n", arg);
        return 2;
      }
  if (opt < -1 || bl_addr_parse (&addr, bl_str_of (listen)) != BL_OK)
    {
      fprintf (stderr, "unknown or malformed option: %s\n",
               poptBadOption (popt, 0));
      return 2;
    }
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  fabric.random.state = (uint64_t)seed;
  printf ("seed=%d\n", seed);
  fflush (stdout);
  poptFreeContext (popt);
  return run_loads (addr);
}
