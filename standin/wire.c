/* wire.c -- the network between instances, for the fault soak

   Each instance is bound to an address of the inner network and known to the
   others by the same host of the outer one, where this process listens.  A
   datagram that comes from inner host A to outer host B goes on from outer host
   A to inner host B, so both ends see the addresses that they know.  Streams
   are passed on likewise.

   Faults are commands, a datagram each, to the control address:
     delay A B MS      datagrams from host A to B take MS longer; 0: as before
     lose A B COUNT    COUNT of a thousand datagrams are lost
     cut A B           nothing passes from A to B
     mend              all of the above ends
     hold MS           what streams carry takes MS longer
     reset             all streams are reset
     silence           all streams of now carry nothing any more
   A and B are last numbers of addresses; * is every host.  */

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

#define HOSTS_MAX    64    /* addresses on each network */
#define PORTS_MAX    8     /* of each protocol */
#define DATAGRAM_CAP 65536 /* bytes */
#define CHUNK        16384 /* bytes of a stream, read at once */
#define TICK_MS      2
#define EVERY        HOSTS_MAX /* "*" in a command */

struct wire;

/* What holds for datagrams from one host to another.  */
struct path
{
  unsigned delay_ms;
  unsigned lost; /* of a thousand */
  bool cut;
};

struct late
{
  uint64_t due_ms;
  int fd;
  struct bl_addr to;
  size_t len;
  uint8_t *bytes; /* owned */
  struct late *prev;
  struct late *next;
};

struct port
{
  struct io_source source;
  struct wire *wire;
  unsigned host;
  unsigned index; /* of the port's number */
};

/* One direction of a stream.  */
struct half
{
  struct io_source source;
  struct stream *stream;
  struct half *other;
  size_t len;
  uint64_t due_ms; /* of what was read */
  uint8_t bytes[CHUNK];
};

struct stream
{
  struct wire *wire;
  bool silent;
  bool done;
  struct half halves[2];
  struct stream *prev;
  struct stream *next;
};

struct wire
{
  struct io_loop *loop;
  uint32_t inner; /* networks, host 0 */
  uint32_t outer;
  unsigned hosts;
  struct bl_random random;
  struct path paths[HOSTS_MAX][HOSTS_MAX];
  size_t udp_count;
  uint16_t udp[PORTS_MAX];
  struct port *sockets[HOSTS_MAX][PORTS_MAX];
  struct late *late;
  struct stream *streams;
  unsigned hold_ms;
  struct port control;
  uint8_t buffer[DATAGRAM_CAP];
};

static struct wire wire;

/* -- datagrams -- */

static void
send_late (struct wire *w)
{
  uint64_t now = io_now_ms ();
  struct late *l;
  struct late *next;

  DL_FOREACH_SAFE (w->late, l, next)
  {
    if (l->due_ms > now)
      continue;
    io_udp_send (l->fd, l->to, l->bytes, l->len);
    DL_DELETE (w->late, l);
    free (l->bytes);
    free (l);
  }
}

static void
keep_late (struct wire *w,
           const struct path *path,
           int fd,
           struct bl_addr to,
           size_t len)
{
  struct late *l = calloc (1, sizeof *l);

  if (l == NULL)
    return;
  *l = (struct late){ .due_ms = io_now_ms () + path->delay_ms,
                      .fd = fd,
                      .to = to,
                      .len = len,
                      .bytes = malloc (len) };
  if (l->bytes == NULL)
    {
      free (l);
      return;
    }
  memcpy (l->bytes, w->buffer, len);
  DL_APPEND (w->late, l);
}

static void
pass_datagram (struct port *p, struct bl_addr from, size_t len)
{
  struct wire *w = p->wire;
  unsigned a = from.ip - w->inner;
  struct bl_addr to = { w->inner + p->host, w->udp[p->index] };
  const struct path *path;
  unsigned out = 0;

  if (a >= w->hosts)
    return;
  while (out < w->udp_count && w->udp[out] != from.port)
    out++;
  if (out == w->udp_count)
    return;
  path = &w->paths[a][p->host];
  if (path->cut || bl_random_below (&w->random, 1000) < path->lost)
    return;
  if (path->delay_ms > 0)
    keep_late (w, path, w->sockets[a][out]->source.fd, to, len);
  else
    io_udp_send (w->sockets[a][out]->source.fd, to, w->buffer, len);
}

static void
on_datagrams (struct io_source *source, uint32_t events)
{
  struct port *p = (struct port *)source;
  struct bl_addr from;
  int n;

  (void)events;
  while ((n = io_udp_receive (source->fd, &from, p->wire->buffer, DATAGRAM_CAP))
         >= 0)
    pass_datagram (p, from, (size_t)n);
}

/* -- streams -- */

static void
end_stream (struct stream *s, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (s->done)
    return;
  s->done = true;
  for (size_t i = 0; i < 2; i++)
    {
      int fd = s->halves[i].source.fd;
      if (reset)
        setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      io_loop_remove (s->wire->loop, &s->halves[i].source);
      close (fd);
    }
}

/* Writes what HALF has read to the other end; reading goes on once all is
   written.  */
static void
flush_half (struct half *half)
{
  ssize_t n;

  if (half->len == 0 || half->stream->silent || io_now_ms () < half->due_ms)
    return;
  n = send (half->other->source.fd, half->bytes, half->len,
            MSG_DONTWAIT | MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
    {
      end_stream (half->stream, true);
      return;
    }
  if (n <= 0)
    return;
  memmove (half->bytes, half->bytes + n, half->len - (size_t)n);
  half->len -= (size_t)n;
  if (half->len == 0)
    io_loop_change (half->stream->wire->loop, &half->source, EPOLLIN);
}

static void
on_stream (struct io_source *source, uint32_t events)
{
  struct half *half = (struct half *)source;
  ssize_t n;

  if (half->stream->done)
    return;
  if (events & (EPOLLERR | EPOLLHUP))
    {
      end_stream (half->stream, true);
      return;
    }
  if (half->len > 0)
    return;
  n = recv (source->fd, half->bytes, sizeof half->bytes, MSG_DONTWAIT);
  if (n < 0 && errno == EAGAIN)
    return;
  if (n <= 0)
    {
      end_stream (half->stream, n < 0);
      return;
    }
  half->len = (size_t)n;
  half->due_ms = io_now_ms () + half->stream->wire->hold_ms;
  io_loop_change (half->stream->wire->loop, source, 0);
  flush_half (half);
}

static void
open_stream (struct wire *w, int fd, struct bl_addr to)
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
  s->wire = w;
  for (size_t i = 0; i < 2; i++)
    {
      s->halves[i].source = (struct io_source){
        .fd = i == 0 ? fd : out,
        .events = EPOLLIN,
        .ready = on_stream,
      };
      s->halves[i].stream = s;
      s->halves[i].other = &s->halves[1 - i];
      io_loop_add (w->loop, &s->halves[i].source);
    }
  DL_APPEND (w->streams, s);
}

static void
on_accept (struct io_source *source, uint32_t events)
{
  struct port *p = (struct port *)source;
  struct bl_addr to = { p->wire->inner + p->host, (uint16_t)p->index };
  int fd;

  (void)events;
  while ((fd = accept4 (source->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    open_stream (p->wire, fd, to);
}

static void
tend_streams (struct wire *w)
{
  struct stream *s;
  struct stream *next;

  DL_FOREACH_SAFE (w->streams, s, next)
  {
    for (size_t i = 0; i < 2 && !s->done; i++)
      flush_half (&s->halves[i]);
    if (!s->done)
      continue;
    DL_DELETE (w->streams, s);
    free (s);
  }
}

/* -- faults -- */

static unsigned
host_of (const char *text)
{
  return strcmp (text, "*") == 0 ? EVERY : (unsigned)strtoul (text, NULL, 10);
}

static void
change_paths (struct wire *w,
              const char *what,
              const char *from,
              const char *to,
              unsigned value)
{
  unsigned a = host_of (from);
  unsigned b = host_of (to);

  for (unsigned i = 0; i < w->hosts; i++)
    for (unsigned j = 0; j < w->hosts; j++)
      {
        struct path *path = &w->paths[i][j];
        if ((a != EVERY && a != i) || (b != EVERY && b != j))
          continue;
        if (strcmp (what, "delay") == 0)
          path->delay_ms = value;
        else if (strcmp (what, "lose") == 0)
          path->lost = value;
        else
          path->cut = true;
      }
}

static bool
run_command (struct wire *w, const char *text)
{
  char what[16] = "";
  char from[16] = "";
  char to[16] = "";
  unsigned value = 0;
  int words = sscanf (text, "%15s %15s %15s %u", what, from, to, &value);
  struct stream *s;

  if (strcmp (what, "mend") == 0)
    memset (w->paths, 0, sizeof w->paths);
  else if (strcmp (what, "hold") == 0 && words >= 2)
    w->hold_ms = (unsigned)strtoul (from, NULL, 10);
  else if (strcmp (what, "reset") == 0)
    DL_FOREACH (w->streams, s)
  end_stream (s, true);
  else if (strcmp (what, "silence") == 0) DL_FOREACH (w->streams, s) s->silent
      = true;
  else if ((strcmp (what, "cut") == 0 && words >= 3)
           || ((strcmp (what, "delay") == 0 || strcmp (what, "lose") == 0)
               && words == 4)) change_paths (w, what, from, to, value);
  else return false;
  return true;
}

static void
on_command (struct io_source *source, uint32_t events)
{
  struct wire *w = ((struct port *)source)->wire;
  int n;

  (void)events;
  while ((n = io_udp_receive (source->fd, NULL, w->buffer, DATAGRAM_CAP - 1))
         >= 0)
    {
      w->buffer[n] = '\0';
      if (!run_command (w, (const char *)w->buffer))
        fprintf (stderr, "not a command: %s\n", (const char *)w->buffer);
    }
}

/* -- life -- */

static void
on_tick (void *ctx)
{
  send_late (ctx);
  tend_streams (ctx);
}

static void
open_udp (struct wire *w, unsigned host, unsigned index)
{
  struct port *p = calloc (1, sizeof *p);
  struct bl_addr addr = { w->outer + host, w->udp[index] };

  if (p == NULL)
    exit (1);
  *p = (struct port){ .source = { .fd = io_udp_open (&addr),
                                  .events = EPOLLIN,
                                  .ready = on_datagrams },
                      .wire = w,
                      .host = host,
                      .index = index };
  if (p->source.fd < 0 || io_loop_add (w->loop, &p->source) != 0)
    {
      fprintf (stderr, "cannot bind UDP port %u of host %u\n", addr.port, host);
      exit (1);
    }
  w->sockets[host][index] = p;
}

static void
open_tcp (struct wire *w, unsigned host, uint16_t port)
{
  struct port *p = calloc (1, sizeof *p);
  struct sockaddr_in sa = {
    .sin_family = AF_INET,
    .sin_port = htons (port),
    .sin_addr.s_addr = htonl (w->outer + host),
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
                      .wire = w,
                      .host = host,
                      .index = port };
  io_loop_add (w->loop, &p->source);
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
read_net (const char *text, uint32_t *out)
{
  char address[32];

  snprintf (address, sizeof address, "%s.0", text);
  return bl_ip_parse (out, bl_str_of (address)) == BL_OK;
}

static bool
open_all (struct wire *w, const char *tcp, struct bl_addr control)
{
  uint16_t tcp_ports[PORTS_MAX];
  size_t tcp_count = read_ports (tcp, tcp_ports);

  w->loop = io_loop_new ();
  for (unsigned h = 1; h < w->hosts; h++)
    {
      for (unsigned i = 0; i < w->udp_count; i++)
        open_udp (w, h, i);
      for (size_t i = 0; i < tcp_count; i++)
        open_tcp (w, h, tcp_ports[i]);
    }
  w->control = (struct port){ .source = { .fd = io_udp_open (&control),
                                          .events = EPOLLIN,
                                          .ready = on_command },
                              .wire = w };
  return w->control.source.fd >= 0
         && io_loop_add (w->loop, &w->control.source) == 0;
}

int
main (int argc, const char **argv)
{
  char *inner = NULL;
  char *outer = NULL;
  char *udp = NULL;
  char *tcp = NULL;
  char *control = NULL;
  int hosts = 32;
  int seed = 1;
  const struct poptOption table[] = {
    { "inner", 0, POPT_ARG_STRING, &inner, 0, "network of instances", "A.B.C" },
    { "outer", 0, POPT_ARG_STRING, &outer, 0, "network that they know",
      "A.B.C" },
    { "hosts", 0, POPT_ARG_INT, &hosts, 0, "on each, at most 64", "N" },
    { "udp", 0, POPT_ARG_STRING, &udp, 0, "ports", "PORT,..." },
    { "tcp", 0, POPT_ARG_STRING, &tcp, 0, "ports", "PORT,..." },
    { "control", 0, POPT_ARG_STRING, &control, 0, "for commands", "IP:PORT" },
    { "seed", 0, POPT_ARG_INT, &seed, 0, "of what is lost", "N" },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext popt = poptGetContext (NULL, argc, argv, table, 0);
  struct bl_addr addr;

  if (poptGetNextOpt (popt) < -1 || inner == NULL || outer == NULL
      || control == NULL || hosts < 1 || hosts > HOSTS_MAX
      || !read_net (inner, &wire.inner) || !read_net (outer, &wire.outer)
      || bl_addr_parse (&addr, bl_str_of (control)) != BL_OK)
    {
      poptPrintUsage (popt, stderr, 0);
      return 1;
    }
  wire.hosts = (unsigned)hosts;
  wire.random.state = (uint64_t)seed;
  wire.udp_count = read_ports (udp != NULL ? udp : "", wire.udp);
  if (!open_all (&wire, tcp != NULL ? tcp : "", addr))
    return 1;
  io_loop_set_tick (wire.loop, TICK_MS, on_tick, &wire);
  io_loop_run (wire.loop);
  poptFreeContext (popt);
  return 0;
}
