/* proxy.c -- joins callers' connections, ended by lwIP, to the backend server

   Each connection has one of its own to the backend server, opened when the
   caller's is accepted, so a protocol in which the server speaks first works.
   Bytes are taken from the caller only as fast as the backend server takes
   them.  Half-closes pass through in both directions.

   A request is what the caller sends until the backend server answers.  It is
   passed on when core/admit.c gives it a slot, and held until then; its bytes
   are not acknowledged to the window, so the caller holds the rest.

   A connection that fails, or whose request is given up, before any byte of it
   has reached the backend server is refused: with the listener's text and when
   to come back, or a reset.  After that a fault is a reset, which says nothing
   of what was done.  */

#include "core/admit.h"
#include "daemon/daemon.h"
#include "io/stack.h"

#include <errno.h>
#include <lwip/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#define CHUNK_BYTES          8192
#define KEEP_INTERVAL_MIN_MS 500
#define KEEP_INTERVAL_MAX_MS 15000
#define KEEP_COUNT           3

struct listener
{
  struct proxy *proxy;
  struct tcp_pcb *pcb; /* NULL: not listening */
  struct bl_listener spec;
  uint8_t class_index; /* among the listeners of the service */
  uint32_t idle_s;
};

struct conn
{
  struct io_source source; /* to the backend server */
  struct proxy *proxy;
  struct tcp_pcb *pcb; /* NULL once lwIP has let go */
  struct bl_flow_key key;
  struct bl_listener spec;
  struct bl_ticket ticket;
  bool passed;           /* a byte has reached the backend server */
  struct pbuf *pending;  /* from the caller, for the backend server */
  bool connected;        /* the backend server took the connection */
  bool caller_done;      /* the caller sent its FIN */
  bool caller_done_sent; /* passed on to the backend server */
  bool backend_done;     /* the backend server sent its FIN */
  struct conn *prev;
  struct conn *next;
};

struct proxy
{
  struct io_loop *loop;
  struct bl_addr backend;
  struct proxy_ops ops;
  void *ctx;
  struct listener listeners[BL_LISTENERS_MAX];
  struct conn *conns;
  struct bl_admit admit;
  bool serving; /* guards against serving from within serving */
  struct proxy_stats stats;
};

/* What became of a connection; a callback of lwIP must tell an abort.  */
enum outcome
{
  CONN_ALIVE,
  CONN_CLOSED,
  CONN_ABORTED,
};

/* -- ends of connections -- */

static void serve_waiting (struct proxy *p);

/* Forgets a connection; the caller's end has been dealt with.  */
static void
drop (struct conn *c)
{
  struct proxy *p = c->proxy;

  bl_admit_release (&p->admit, io_now_ms (), &c->ticket);
  if (c->source.fd >= 0)
    {
      io_loop_remove (p->loop, &c->source);
      close (c->source.fd);
    }
  if (c->pending != NULL)
    pbuf_free (c->pending);
  DL_DELETE (p->conns, c);
  p->stats.open--;
  p->ops.closed (p->ctx, &c->key);
  free (c);
  serve_waiting (p);
}

static void
detach (struct conn *c)
{
  tcp_arg (c->pcb, NULL);
  tcp_recv (c->pcb, NULL);
  tcp_sent (c->pcb, NULL);
  tcp_err (c->pcb, NULL);
}

static enum outcome
finish (struct conn *c)
{
  struct tcp_pcb *pcb = c->pcb;

  c->proxy->stats.finished++;
  detach (c);
  drop (c);
  if (tcp_close (pcb) == ERR_OK)
    return CONN_CLOSED;
  tcp_abort (pcb);
  return CONN_ABORTED;
}

/* Ends a connection whose outcome is not known.  */
static enum outcome
break_off (struct conn *c)
{
  struct tcp_pcb *pcb = c->pcb;

  c->proxy->stats.broken++;
  detach (c);
  tcp_abort (pcb);
  drop (c);
  return CONN_ABORTED;
}

/* Ends a connection of which no byte has reached the backend server.  */
static enum outcome
refuse (struct conn *c)
{
  struct tcp_pcb *pcb = c->pcb;
  struct proxy *p = c->proxy;
  char text[BL_REFUSAL_MAX + 16];
  uint32_t retry = bl_admit_retry_after_ms (&p->admit, c->ticket.class_index);
  size_t len = bl_refusal_format (&c->spec, retry, text);
  bool said = false;

  p->stats.refused++;
  detach (c);
  if (len > 0)
    said = tcp_write (pcb, text, (uint16_t)len, TCP_WRITE_FLAG_COPY) == ERR_OK;
  /* What the caller sent is taken, or closing would reset the connection
     before the text is there.  */
  if (c->pending != NULL)
    tcp_recved (pcb, c->pending->tot_len);
  drop (c);
  if (said && tcp_close (pcb) == ERR_OK)
    return CONN_CLOSED;
  tcp_abort (pcb);
  return CONN_ABORTED;
}

static enum outcome
give_up (struct conn *c)
{
  return c->passed ? break_off (c) : refuse (c);
}

/* -- caller to backend server -- */

static void
want (struct conn *c, uint32_t events, bool on)
{
  uint32_t now = on ? c->source.events | events : c->source.events & ~events;
  io_loop_change (c->proxy->loop, &c->source, now);
}

/* Passes on what is pending.  */
static enum outcome
push_pending (struct conn *c)
{
  while (c->pending != NULL)
    {
      ssize_t n = send (c->source.fd, c->pending->payload, c->pending->len,
                        MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        {
          want (c, EPOLLOUT, true);
          return CONN_ALIVE;
        }
      if (n < 0)
        return break_off (c);
      c->passed = true;
      c->proxy->stats.bytes_in += (uint64_t)n;
      tcp_recved (c->pcb, (uint16_t)n);
      c->pending = pbuf_free_header (c->pending, (uint16_t)n);
    }
  want (c, EPOLLOUT, false);
  if (c->caller_done && !c->caller_done_sent)
    {
      shutdown (c->source.fd, SHUT_WR);
      c->caller_done_sent = true;
    }
  if (c->caller_done && c->backend_done)
    return finish (c);
  return CONN_ALIVE;
}

/* Asks for a slot if need be, and passes on what is pending.  */
static enum outcome
push_request (struct conn *c)
{
  if (!c->connected)
    return CONN_ALIVE;
  if (c->pending == NULL || c->ticket.state == BL_TICKET_RUNNING)
    return push_pending (c);
  if (c->ticket.state == BL_TICKET_WAITING)
    return CONN_ALIVE;
  switch (bl_admit_request (&c->proxy->admit, io_now_ms (), &c->ticket))
    {
    case BL_ADMIT_RUN:
      return push_pending (c);
    case BL_ADMIT_REFUSE:
      return give_up (c);
    default:
      return CONN_ALIVE;
    }
}

static struct conn *
conn_of (struct bl_ticket *ticket)
{
  return (struct conn *)((char *)ticket - offsetof (struct conn, ticket));
}

/* A slot is free, or a wait is over.  */
static void
serve_waiting (struct proxy *p)
{
  struct bl_ticket *ticket;
  enum bl_verdict verdict;

  if (p->serving)
    return;
  p->serving = true;
  while ((ticket = bl_admit_next (&p->admit, io_now_ms (), &verdict)) != NULL)
    {
      if (verdict == BL_ADMIT_RUN)
        push_pending (conn_of (ticket));
      else
        give_up (conn_of (ticket));
    }
  p->serving = false;
}

void
proxy_tick (struct proxy *proxy)
{
  serve_waiting (proxy);
}

static err_t
on_caller_data (void *arg, struct tcp_pcb *pcb, struct pbuf *p, err_t err)
{
  struct conn *c = arg;

  (void)pcb;
  (void)err;
  if (p == NULL)
    c->caller_done = true;
  else if (c->pending == NULL)
    c->pending = p;
  else
    pbuf_cat (c->pending, p);
  if (push_request (c) == CONN_ABORTED)
    return ERR_ABRT;
  return ERR_OK;
}

/* -- backend server to caller -- */

/* The backend server answers, so its slot goes to the next.  What the caller
   has sent meanwhile is a request of its own.  */
static void
end_request (struct conn *c)
{
  struct proxy *p = c->proxy;

  if (c->ticket.state != BL_TICKET_RUNNING)
    return;
  bl_admit_release (&p->admit, io_now_ms (), &c->ticket);
  if (c->pending != NULL)
    push_request (c);
  serve_waiting (p);
}

static void
pull_answer (struct conn *c)
{
  uint8_t buf[CHUNK_BYTES];
  size_t room = tcp_sndbuf (c->pcb);
  ssize_t n;

  if (room > sizeof buf)
    room = sizeof buf;
  if (room == 0 || tcp_sndqueuelen (c->pcb) > TCP_SND_QUEUELEN / 2)
    {
      want (c, EPOLLIN, false);
      return;
    }
  n = recv (c->source.fd, buf, room, MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n < 0)
    {
      break_off (c);
      return;
    }
  if (n > 0)
    {
      c->proxy->stats.bytes_out += (uint64_t)n;
      if (tcp_write (c->pcb, buf, (uint16_t)n, TCP_WRITE_FLAG_COPY) != ERR_OK)
        {
          break_off (c);
          return;
        }
      tcp_output (c->pcb);
      end_request (c);
      return;
    }
  c->backend_done = true;
  want (c, EPOLLIN, false);
  if (c->caller_done)
    finish (c);
  else
    tcp_shutdown (c->pcb, 0, 1);
}

static err_t
on_caller_acked (void *arg, struct tcp_pcb *pcb, uint16_t len)
{
  struct conn *c = arg;

  (void)pcb;
  (void)len;
  if (!c->backend_done && c->connected)
    want (c, EPOLLIN, true);
  return ERR_OK;
}

static void
on_connected (struct conn *c)
{
  int err = 0;
  socklen_t len = sizeof err;

  getsockopt (c->source.fd, SOL_SOCKET, SO_ERROR, &err, &len);
  c->proxy->ops.connected (c->proxy->ctx, err == 0);
  if (err != 0)
    {
      refuse (c);
      return;
    }
  c->connected = true;
  want (c, EPOLLIN, true);
  want (c, EPOLLOUT, false);
  push_request (c);
}

static void
on_backend (struct io_source *source, uint32_t events)
{
  struct conn *c = (struct conn *)source;

  if (!c->connected)
    {
      on_connected (c);
      return;
    }
  if ((events & EPOLLOUT) && push_request (c) != CONN_ALIVE)
    return;
  if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
    {
      if (c->backend_done && (events & EPOLLERR))
        break_off (c);
      else if (!c->backend_done)
        pull_answer (c);
    }
}

/* -- connections -- */

/* lwIP has freed the connection: the caller reset it, or is gone.  The
   backend server sees its connection close and may cancel the work.  */
static void
on_caller_gone (void *arg, err_t err)
{
  struct conn *c = arg;

  (void)err;
  if (c == NULL)
    return;
  c->pcb = NULL;
  c->proxy->stats.broken++;
  drop (c);
}

/* A flow that is silent for IDLE_S is probed, and ended when its caller does
   not answer; one that answers is left alone, however long it is silent.  */
static void
watch_idle (struct tcp_pcb *pcb, uint32_t idle_s)
{
  uint32_t interval = idle_s * 1000 / 4;

  if (idle_s == 0)
    return;
  if (interval < KEEP_INTERVAL_MIN_MS)
    interval = KEEP_INTERVAL_MIN_MS;
  if (interval > KEEP_INTERVAL_MAX_MS)
    interval = KEEP_INTERVAL_MAX_MS;
  ip_set_option (pcb, SOF_KEEPALIVE);
  pcb->keep_idle = idle_s * 1000;
  pcb->keep_intvl = interval;
  pcb->keep_cnt = KEEP_COUNT;
}

static err_t
on_accept (void *arg, struct tcp_pcb *pcb, err_t err)
{
  struct listener *l = arg;
  struct conn *c;

  if (err != ERR_OK || pcb == NULL || l == NULL)
    return ERR_VAL;
  c = calloc (1, sizeof *c);
  if (c == NULL)
    return ERR_MEM;
  c->proxy = l->proxy;
  c->pcb = pcb;
  c->key = io_stack_flow_key (pcb);
  c->spec = l->spec;
  c->ticket.class_index = l->class_index;
  c->source = (struct io_source){
    .fd = io_tcp_connect (l->proxy->backend),
    .events = EPOLLOUT,
    .ready = on_backend,
  };
  DL_APPEND (l->proxy->conns, c);
  l->proxy->stats.open++;
  l->proxy->stats.accepted++;
  if (c->source.fd < 0 || io_loop_add (l->proxy->loop, &c->source) != 0)
    {
      l->proxy->stats.refused++;
      drop (c);
      return ERR_MEM; /* upon which lwIP resets the connection */
    }
  tcp_arg (pcb, c);
  tcp_recv (pcb, on_caller_data);
  tcp_sent (pcb, on_caller_acked);
  tcp_err (pcb, on_caller_gone);
  tcp_nagle_disable (pcb);
  watch_idle (pcb, l->idle_s);
  return ERR_OK;
}

/* -- listeners -- */

static void
open_listener (struct proxy *p, struct listener *l)
{
  struct tcp_pcb *pcb = tcp_new ();

  l->proxy = p;
  if (pcb == NULL)
    return;
  if (tcp_bind (pcb, IP_ANY_TYPE, l->spec.port) != ERR_OK)
    {
      tcp_abort (pcb);
      return;
    }
  l->pcb = tcp_listen (pcb);
  tcp_arg (l->pcb, l);
  tcp_accept (l->pcb, on_accept);
}

static const struct bl_listener *
find_spec (const struct bl_service *s, uint16_t port)
{
  for (size_t i = 0; i < s->listener_count; i++)
    if (s->listeners[i].port == port)
      return &s->listeners[i];
  return NULL;
}

static struct listener *
find_listener (struct proxy *p, uint16_t port)
{
  struct listener *unused = NULL;

  for (size_t i = 0; i < BL_LISTENERS_MAX; i++)
    {
      struct listener *l = &p->listeners[i];
      if (l->pcb != NULL && l->spec.port == port)
        return l;
      if (l->pcb == NULL && unused == NULL)
        unused = l;
    }
  return unused;
}

void
proxy_configure (struct proxy *p, const struct bl_service *service)
{
  io_stack_set_address (service->address);
  bl_admit_configure (&p->admit, service);
  for (size_t i = 0; i < BL_LISTENERS_MAX; i++)
    {
      struct listener *l = &p->listeners[i];
      if (l->pcb == NULL || find_spec (service, l->spec.port) != NULL)
        continue;
      tcp_close (l->pcb);
      l->pcb = NULL;
    }
  for (size_t i = 0; i < service->listener_count; i++)
    {
      struct listener *l = find_listener (p, service->listeners[i].port);
      if (l == NULL)
        continue;
      l->spec = service->listeners[i];
      l->class_index = (uint8_t)i;
      l->idle_s = service->idle_s;
      if (l->pcb == NULL)
        open_listener (p, l);
    }
}

struct proxy_stats
proxy_stats (const struct proxy *proxy)
{
  struct proxy_stats stats = proxy->stats;

  stats.busy = proxy->admit.running;
  stats.waiting = proxy->admit.waiting;
  return stats;
}

const struct bl_admit *
proxy_admit (const struct proxy *proxy)
{
  return &proxy->admit;
}

struct proxy *
proxy_new (struct io_loop *loop,
           struct bl_addr backend,
           uint32_t slots,
           uint64_t random_seed,
           const struct proxy_ops *ops,
           void *ctx)
{
  struct proxy *p = calloc (1, sizeof *p);

  if (p == NULL)
    return NULL;
  p->loop = loop;
  p->backend = backend;
  p->ops = *ops;
  p->ctx = ctx;
  bl_admit_init (&p->admit, slots, random_seed);
  return p;
}

void
proxy_free (struct proxy *proxy)
{
  struct conn *c;
  struct conn *next;

  if (proxy == NULL)
    return;
  DL_FOREACH_SAFE (proxy->conns, c, next) { break_off (c); }
  for (size_t i = 0; i < BL_LISTENERS_MAX; i++)
    if (proxy->listeners[i].pcb != NULL)
      tcp_close (proxy->listeners[i].pcb);
  free (proxy);
}
