/* wire.c -- relays the traffic between instances and injects network faults,
   for the soak test

   Each instance is bound to an address of the inner network.  The other
   instances use the address with the same host number in the outer network,
   on which this process listens.  A datagram from inner host A to outer host B
   is relayed from outer host A to inner host B, so both ends see the addresses
   that they are configured with.  TCP streams to outer host B are relayed to
   inner host B.

   Each datagram to the control address is a command that injects a fault:
     delay A B MS      datagrams from host A to B are delayed by MS; 0: no delay
     lose A B COUNT    COUNT of a thousand datagrams from A to B are dropped
     cut A B           all datagrams from A to B are dropped
     mend              ends all of the above
     hold MS           data of streams is delayed by MS
     reset             all streams are reset
     silence           the streams that are open now transfer no more data
   A and B are host numbers (the last number of an address); * is any host.  */

#include "io/io.h"

#include <errno.h>
#include <netinet/in.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#define HOSTS_MAX          64 /* addresses in each network, with host 0 */
#define PORTS_MAX          8  /* of each protocol */
#define DATAGRAM_MAX_BYTES 65536
#define CHUNK_BYTES        16384 /* of a stream, in one read */
#define TICK_MS            2
#define ANY_HOST           HOSTS_MAX /* "*" in a command */

struct network;

/* Faults of the datagrams from one host to another host.  */
struct path
{
  unsigned delay_ms;
  unsigned loss_per_mille; /* datagrams dropped of a thousand */
  bool blocked;            /* all datagrams are dropped */
};

/* A datagram that is sent later.  */
struct delayed_datagram
{
  uint64_t due_ms;
  int fd;
  struct bl_addr to;
  size_t len;
  uint8_t *bytes; /* owned */
  struct delayed_datagram *prev;
  struct delayed_datagram *next;
};

/* A socket that listens on a host of the outer network, or for commands.  */
struct port
{
  struct io_source source;
  struct network *network;
  unsigned host;
  unsigned index; /* UDP: index of the port number; TCP: the port number */
};

/* One of the two sockets of a relayed stream, with the data that was read from
   it and is not yet written to the other.  */
struct endpoint
{
  struct io_source source;
  struct stream *stream;
  struct endpoint *peer;
  size_t len;
  uint64_t due_ms; /* when the data may be written */
  uint8_t bytes[CHUNK_BYTES];
};

struct stream
{
  struct network *network;
  bool stalled; /* transfers no more data */
  bool closed;  /* freed at the next tick */
  struct endpoint endpoints[2];
  struct stream *prev;
  struct stream *next;
};

struct network
{
  struct io_loop *loop;
  uint32_t inner; /* address of host 0 */
  uint32_t outer; /* address of host 0 */
  unsigned hosts; /* in each network, with host 0, which is not used */
  struct bl_random random;
  struct path paths[HOSTS_MAX][HOSTS_MAX]; /* from, to */
  size_t udp_count;
  uint16_t udp_ports[PORTS_MAX];              /* port numbers */
  struct port *sockets[HOSTS_MAX][PORTS_MAX]; /* for UDP */
  struct delayed_datagram *delayed;
  struct stream *streams;
  unsigned stream_delay_ms;
  struct port control;
  uint8_t buffer[DATAGRAM_MAX_BYTES];
};

static struct network network;

/* -- datagrams -- */

static void
send_delayed (struct network *net)
{
  uint64_t now = io_now_ms ();
  struct delayed_datagram *l;
  struct delayed_datagram *next;

  DL_FOREACH_SAFE (net->delayed, l, next)
  {
    if (l->due_ms > now)
      continue;
    io_udp_send (l->fd, l->to, l->bytes, l->len);
    DL_DELETE (net->delayed, l);
    free (l->bytes);
    free (l);
  }
}

static void
delay_datagram (struct network *net,
                const struct path *path,
                int fd,
                struct bl_addr to,
                size_t len)
{
  struct delayed_datagram *l = calloc (1, sizeof *l);

  if (l == NULL)
    return;
  *l = (struct delayed_datagram){ .due_ms = io_now_ms () + path->delay_ms,
                                  .fd = fd,
                                  .to = to,
                                  .len = len,
                                  .bytes = malloc (len) };
  if (l->bytes == NULL)
    {
      free (l);
      return;
    }
  memcpy (l->bytes, net->buffer, len);
  DL_APPEND (net->delayed, l);
}

/* Relays the datagram in the buffer, which FROM sent to P.  A datagram from an
   address or port outside the inner network is dropped.  */
static void
relay_datagram (struct port *p, struct bl_addr from, size_t len)
{
  struct network *net = p->network;
  unsigned a = from.ip - net->inner;
  struct bl_addr to = { net->inner + p->host, net->udp_ports[p->index] };
  const struct path *path;
  unsigned out = 0;

  if (a >= net->hosts)
    return;
  while (out < net->udp_count && net->udp_ports[out] != from.port)
    out++;
  if (out == net->udp_count)
    return;
  path = &net->paths[a][p->host];
  if (path->blocked
      || bl_random_below (&net->random, 1000) < path->loss_per_mille)
    return;
  if (path->delay_ms > 0)
    delay_datagram (net, path, net->sockets[a][out]->source.fd, to, len);
  else
    io_udp_send (net->sockets[a][out]->source.fd, to, net->buffer, len);
}

static void
on_datagrams (struct io_source *source, uint32_t events)
{
  struct port *p = (struct port *)source;
  struct bl_addr from;
  int n;

  (void)events;
  while ((n = io_udp_receive (source->fd, &from, p->network->buffer,
                              DATAGRAM_MAX_BYTES))
         >= 0)
    relay_datagram (p, from, (size_t)n);
}

/* -- streams -- */

static void
end_stream (struct stream *s, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (s->closed)
    return;
  s->closed = true;
  for (size_t i = 0; i < 2; i++)
    {
      int fd = s->endpoints[i].source.fd;
      if (reset)
        setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      io_loop_remove (s->network->loop, &s->endpoints[i].source);
      close (fd);
    }
}

/* Writes the data read from ENDPOINT to its peer.  ENDPOINT is read again once
   all data is written.  */
static void
flush_endpoint (struct endpoint *endpoint)
{
  ssize_t n;

  if (endpoint->len == 0 || endpoint->stream->stalled
      || io_now_ms () < endpoint->due_ms)
    return;
  n = send (endpoint->peer->source.fd, endpoint->bytes, endpoint->len,
            MSG_DONTWAIT | MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
    {
      end_stream (endpoint->stream, true);
      return;
    }
  if (n <= 0)
    return;
  memmove (endpoint->bytes, endpoint->bytes + n, endpoint->len - (size_t)n);
  endpoint->len -= (size_t)n;
  if (endpoint->len == 0)
    io_loop_change (endpoint->stream->network->loop, &endpoint->source,
                    EPOLLIN);
}

static void
on_stream (struct io_source *source, uint32_t events)
{
  struct endpoint *endpoint = (struct endpoint *)source;
  ssize_t n;

  if (endpoint->stream->closed)
    return;
  if (events & (EPOLLERR | EPOLLHUP))
    {
      end_stream (endpoint->stream, true);
      return;
    }
  if (endpoint->len > 0)
    return;
  n = recv (source->fd, endpoint->bytes, sizeof endpoint->bytes, MSG_DONTWAIT);
  if (n < 0 && errno == EAGAIN)
    return;
  if (n <= 0)
    {
      end_stream (endpoint->stream, n < 0);
      return;
    }
  endpoint->len = (size_t)n;
  endpoint->due_ms = io_now_ms () + endpoint->stream->network->stream_delay_ms;
  io_loop_change (endpoint->stream->network->loop, source, 0);
  flush_endpoint (endpoint);
}

/* Connects the accepted socket FD to TO.  */
static void
open_stream (struct network *net, int fd, struct bl_addr to)
{
  struct sockaddr_in sa = {
    .sin_family = AF_INET,
    .sin_port = htons (to.port),
    .sin_addr.s_addr = htonl (to.ip),
  };
  struct stream *s = calloc (1, sizeof *s);
  int out = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (s == NULL || out < 0
      || (connect (out, (struct sockaddr *)&sa, sizeof sa) != 0
          && errno != EINPROGRESS))
    {
      free (s);
      close (fd);
      if (out >= 0)
        close (out);
      return;
    }
  s->network = net;
  for (size_t i = 0; i < 2; i++)
    {
      s->endpoints[i].source = (struct io_source){
        .fd = i == 0 ? fd : out,
        .events = EPOLLIN,
        .ready = on_stream,
      };
      s->endpoints[i].stream = s;
      s->endpoints[i].peer = &s->endpoints[1 - i];
      io_loop_add (net->loop, &s->endpoints[i].source);
    }
  DL_APPEND (net->streams, s);
}

static void
on_accept (struct io_source *source, uint32_t events)
{
  struct port *p = (struct port *)source;
  struct bl_addr to = { p->network->inner + p->host, (uint16_t)p->index };
  int fd;

  (void)events;
  while ((fd = accept4 (source->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    open_stream (p->network, fd, to);
}

/* Writes data that is due and frees closed streams.  */
static void
flush_streams (struct network *net)
{
  struct stream *s;
  struct stream *next;

  DL_FOREACH_SAFE (net->streams, s, next)
  {
    for (size_t i = 0; i < 2 && !s->closed; i++)
      flush_endpoint (&s->endpoints[i]);
    if (!s->closed)
      continue;
    DL_DELETE (net->streams, s);
    free (s);
  }
}

/* -- faults -- */

static unsigned
parse_host (const char *text)
{
  return strcmp (text, "*") == 0 ? ANY_HOST
                                 : (unsigned)strtoul (text, NULL, 10);
}

static void
change_paths (struct network *net,
              const char *command,
              const char *from,
              const char *to,
              unsigned value)
{
  unsigned a = parse_host (from);
  unsigned b = parse_host (to);

  for (unsigned i = 0; i < net->hosts; i++)
    for (unsigned j = 0; j < net->hosts; j++)
      {
        struct path *path = &net->paths[i][j];
        if ((a != ANY_HOST && a != i) || (b != ANY_HOST && b != j))
          continue;
        if (strcmp (command, "delay") == 0)
          path->delay_ms = value;
        else if (strcmp (command, "lose") == 0)
          path->loss_per_mille = value;
        else
          path->blocked = true;
      }
}

/* Returns false if TEXT is not a command.  */
static bool
run_command (struct network *net, const char *text)
{
  char command[16] = "";
  char from[16] = "";
  char to[16] = "";
  unsigned value = 0;
  int field_count
      = sscanf (text, "%15s %15s %15s %u", command, from, to, &value);
  struct stream *s;

  if (strcmp (command, "mend") == 0)
    memset (net->paths, 0, sizeof net->paths);
  else if (strcmp (command, "hold") == 0 && field_count >= 2)
    net->stream_delay_ms = (unsigned)strtoul (from, NULL, 10);
  else if (strcmp (command, "reset") == 0)
    DL_FOREACH (net->streams, s)
  end_stream (s, true);
  else if (strcmp (command, "silence") == 0) DL_FOREACH (net->streams, s)
      s->stalled
      = true;
  else if ((strcmp (command, "cut") == 0 && field_count >= 3)
           || ((strcmp (command, "delay") == 0 || strcmp (command, "lose") == 0)
               && field_count == 4))
      change_paths (net, command, from, to, value);
  else return false;
  return true;
}

static void
on_command (struct io_source *source, uint32_t events)
{
  struct network *net = ((struct port *)source)->network;
  int n;

  (void)events;
  while ((n = io_udp_receive (source->fd, NULL, net->buffer,
                              DATAGRAM_MAX_BYTES - 1))
         >= 0)
    {
      net->buffer[n] = '\0';
      if (!run_command (net, (const char *)net->buffer))
        fprintf (stderr, "unknown or malformed command: %s\n",
                 (const char *)net->buffer);
    }
}

/* -- start -- */

static void
on_tick (void *ctx)
{
  send_delayed (ctx);
  flush_streams (ctx);
}

static void
open_udp (struct network *net, unsigned host, unsigned index)
{
  struct port *p = calloc (1, sizeof *p);
  struct bl_addr addr = { net->outer + host, net->udp_ports[index] };

  if (p == NULL)
    exit (1);
  *p = (struct port){ .source = { .fd = io_udp_open (&addr),
                                  .events = EPOLLIN,
                                  .ready = on_datagrams },
                      .network = net,
                      .host = host,
                      .index = index };
  if (p->source.fd < 0 || io_loop_add (net->loop, &p->source) != 0)
    {
      fprintf (stderr, "cannot bind UDP port %u of host %u\n", addr.port, host);
      exit (1);
    }
  net->sockets[host][index] = p;
}

static void
open_tcp (struct network *net, unsigned host, uint16_t port)
{
  struct port *p = calloc (1, sizeof *p);
  struct sockaddr_in sa = {
    .sin_family = AF_INET,
    .sin_port = htons (port),
    .sin_addr.s_addr = htonl (net->outer + host),
  };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (p == NULL || fd < 0 || bind (fd, (struct sockaddr *)&sa, sizeof sa) != 0
      || listen (fd, SOMAXCONN) != 0)
    {
      fprintf (stderr, "cannot bind TCP port %u of host %u\n", port, host);
      exit (1);
    }
  *p = (struct port){ .source
                      = { .fd = fd, .events = EPOLLIN, .ready = on_accept },
                      .network = net,
                      .host = host,
                      .index = port };
  io_loop_add (net->loop, &p->source);
}

static size_t
read_ports (const char *text, uint16_t *out)
{
  size_t n = 0;

  while (*text != '\0' && n < PORTS_MAX)
    {
      char *end;
      out[n++] = (uint16_t)strtoul (text, &end, 10);
      text = *end == ',' ? end + 1 : end;
    }
  return n;
}

static bool
read_network (const char *text, uint32_t *out)
{
  char address[32];

  snprintf (address, sizeof address, "%s.0", text);
  return bl_ip_parse (out, bl_str_of (address)) == BL_OK;
}

static bool
open_all (struct network *net, const char *tcp, struct bl_addr control)
{
  uint16_t tcp_ports[PORTS_MAX];
  size_t tcp_count = read_ports (tcp, tcp_ports);

  net->loop = io_loop_new ();
  for (unsigned h = 1; h < net->hosts; h++)
    {
      for (unsigned i = 0; i < net->udp_count; i++)
        open_udp (net, h, i);
      for (size_t i = 0; i < tcp_count; i++)
        open_tcp (net, h, tcp_ports[i]);
    }
  net->control = (struct port){ .source = { .fd = io_udp_open (&control),
                                            .events = EPOLLIN,
                                            .ready = on_command },
                                .network = net };
  return net->control.source.fd >= 0
         && io_loop_add (net->loop, &net->control.source) == 0;
}

int
main (int argc, const char **argv)
{
  char *inner = NULL;
  char *outer = NULL;
  char *udp_ports = NULL;
  char *tcp = NULL;
  char *control = NULL;
  int hosts = 32;
  int seed = 1;
  const struct poptOption table[] = {
    { "inner", 0, POPT_ARG_STRING, &inner, 0,
      "network that instances are bound to", "A.B.C" },
    { "outer", 0, POPT_ARG_STRING, &outer, 0, "network that instances send to",
      "A.B.C" },
    { "hosts", 0, POPT_ARG_INT, &hosts, 0, "size of each network, at most 64",
      "N" },
    { "udp", 0, POPT_ARG_STRING, &udp_ports, 0, "relayed ports", "PORT,..." },
    { "tcp", 0, POPT_ARG_STRING, &tcp, 0, "relayed ports", "PORT,..." },
    { "control", 0, POPT_ARG_STRING, &control, 0, "address for commands",
      "IP:PORT" },
    { "seed", 0, POPT_ARG_INT, &seed, 0, "seed of random losses", "N" },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext popt = poptGetContext (NULL, argc, argv, table, 0);
  struct bl_addr addr;

  if (poptGetNextOpt (popt) < -1 || inner == NULL || outer == NULL
      || control == NULL || hosts < 1 || hosts > HOSTS_MAX
      || !read_network (inner, &network.inner)
      || !read_network (outer, &network.outer)
      || bl_addr_parse (&addr, bl_str_of (control)) != BL_OK)
    {
      poptPrintUsage (popt, stderr, 0);
      return 1;
    }
  network.hosts = (unsigned)hosts;
  network.random.state = (uint64_t)seed;
  network.udp_count
      = read_ports (udp_ports != NULL ? udp_ports : "", network.udp_ports);
  if (!open_all (&network, tcp != NULL ? tcp : "", addr))
    return 1;
  io_loop_set_tick (network.loop, TICK_MS, on_tick, &network);
  io_loop_run (network.loop);
  poptFreeContext (popt);
  return 0;
}
