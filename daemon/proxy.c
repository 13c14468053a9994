/* proxy.c -- forwards between callers' connections, which lwIP terminates, and
   connections to the backend server

   Each caller's connection has its own connection to the backend server, opened
   when the caller's is accepted, so a protocol in which the server sends first
   works.  Bytes are taken from the caller only as fast as the backend server
   takes them.  Half-closes are forwarded in both directions.

   A request is what the caller sends until the backend server answers.  It is
   forwarded when core/admit.c gives it a slot, and held until then.  The bytes
   of a held request do not reopen the receive window, so the caller holds back
   what exceeds the window.

   A connection that fails, or whose request is refused, before any byte of it
   has been sent to the backend server is refused: the caller gets the
   listener's refusal text with the time after which to retry, or a reset.
   After that every fault leads to a reset, since the backend server may have
   done some or all of the work.  */

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

#define CHUNK_BYTES 8192 /* read from the backend server at once at most */
/* Limits of the interval between keepalive probes, and the number of probes
   without an answer after which a connection ends.  */
#define KEEPALIVE_INTERVAL_MIN_MS 500
#define KEEPALIVE_INTERVAL_MAX_MS 15000
#define KEEPALIVE_COUNT           3

/* A port that callers connect to.  */
struct listener
{
  struct proxy *proxy;
  struct tcp_pcb *pcb; /* NULL: not listening */
  struct bl_listener spec;
  uint8_t class_index; /* among the listeners of the service */
  uint32_t idle_s;     /* silence before keepalive probes; 0: none are sent */
};

/* A caller's connection and its connection to the backend server.  */
struct conn
{
  struct io_source source; /* to the backend server */
  struct proxy *proxy;
  struct tcp_pcb *pcb; /* to the caller; NULL once lwIP has freed it */
  struct bl_flow_key key;
  struct bl_listener spec;
  struct bl_ticket ticket;
  bool sent_to_backend;      /* a byte was sent to the backend server */
  struct pbuf *pending;      /* from the caller, for the backend server */
  bool connected;            /* the backend server accepted the connection */
  bool caller_fin;           /* the caller sent its FIN */
  bool caller_fin_forwarded; /* the backend server got the caller's FIN */
  bool backend_fin;          /* the backend server sent its FIN */
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
  bool admitting; /* admit_waiting runs; prevents recursion */
  struct proxy_stats stats;
};

/* State of a connection after an operation.  A callback of lwIP must return
   ERR_ABRT when the operation aborted the connection.  */
enum outcome
{
  CONN_ALIVE,
  CONN_CLOSED,
  CONN_ABORTED,
};

/* -- end of connections -- */

static void admit_waiting (struct proxy *p);

/* Frees a connection and closes its connection to the backend server.  The
   caller's side is closed by the function that calls this one.  */
static void
remove_conn (struct conn *c)
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
  admit_waiting (p);
}

/* Detaches the lwIP connection, so that lwIP calls back no more.  */
static void
detach (struct conn *c)
{
  tcp_arg (c->pcb, NULL);
  tcp_recv (c->pcb, NULL);
  tcp_sent (c->pcb, NULL);
  tcp_err (c->pcb, NULL);
}

/* Ends a connection that both sides have closed.  */
static enum outcome
finish_conn (struct conn *c)
{
  struct tcp_pcb *pcb = c->pcb;

  c->proxy->stats.finished++;
  detach (c);
  remove_conn (c);
  if (tcp_close (pcb) == ERR_OK)
    return CONN_CLOSED;
  tcp_abort (pcb);
  return CONN_ABORTED;
}

/* Resets a connection; the backend server may have done some of the work.  */
static enum outcome
abort_conn (struct conn *c)
{
  struct tcp_pcb *pcb = c->pcb;

  c->proxy->stats.broken++;
  detach (c);
  tcp_abort (pcb);
  remove_conn (c);
  return CONN_ABORTED;
}

/* Refuses a connection of which no byte was sent to the backend server.  */
static enum outcome
refuse_conn (struct conn *c)
{
  struct tcp_pcb *pcb = c->pcb;
  struct proxy *p = c->proxy;
  char text[BL_REFUSAL_MAX + 16];
  uint32_t retry = bl_admit_retry_after_ms (&p->admit, c->ticket.class_index);
  size_t len = bl_refusal_format (&c->spec, retry, text);
  bool text_sent = false;

  p->stats.refused++;
  detach (c);
  if (len > 0)
    text_sent
        = tcp_write (pcb, text, (uint16_t)len, TCP_WRITE_FLAG_COPY) == ERR_OK;
  /* Unread data would make tcp_close reset the connection before the text has
     arrived, so the data counts as read.  */
  if (c->pending != NULL)
    tcp_recved (pcb, c->pending->tot_len);
  remove_conn (c);
  if (text_sent && tcp_close (pcb) == ERR_OK)
    return CONN_CLOSED;
  tcp_abort (pcb);
  return CONN_ABORTED;
}

/* Ends a connection after a fault or a refused request.  */
static enum outcome
fail_conn (struct conn *c)
{
  return c->sent_to_backend ? abort_conn (c) : refuse_conn (c);
}

/* -- caller to backend server -- */

/* Adds EVENTS to those awaited from the backend server, or removes them.  */
static void
set_events (struct conn *c, uint32_t events, bool on)
{
  uint32_t now = on ? c->source.events | events : c->source.events & ~events;
  io_loop_change (c->proxy->loop, &c->source, now);
}

/* Sends the pending bytes to the backend server, then the caller's FIN.  */
static enum outcome
send_pending (struct conn *c)
{
  while (c->pending != NULL)
    {
      ssize_t n = send (c->source.fd, c->pending->payload, c->pending->len,
                        MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        {
          set_events (c, EPOLLOUT, true);
          return CONN_ALIVE;
        }
      if (n < 0)
        return abort_conn (c);
      c->sent_to_backend = true;
      c->proxy->stats.bytes_in += (uint64_t)n;
      tcp_recved (c->pcb, (uint16_t)n);
      c->pending = pbuf_free_header (c->pending, (uint16_t)n);
    }
  set_events (c, EPOLLOUT, false);
  if (c->caller_fin && !c->caller_fin_forwarded)
    {
      shutdown (c->source.fd, SHUT_WR);
      c->caller_fin_forwarded = true;
    }
  if (c->caller_fin && c->backend_fin)
    return finish_conn (c);
  return CONN_ALIVE;
}

/* Requests a slot if the connection has none, and sends the pending bytes once
   it has one.  */
static enum outcome
submit_request (struct conn *c)
{
  if (!c->connected)
    return CONN_ALIVE;
  if (c->pending == NULL || c->ticket.state == BL_TICKET_RUNNING)
    return send_pending (c);
  if (c->ticket.state == BL_TICKET_WAITING)
    return CONN_ALIVE;
  switch (bl_admit_request (&c->proxy->admit, io_now_ms (), &c->ticket))
    {
    case BL_ADMIT_RUN:
      return send_pending (c);
    case BL_ADMIT_REFUSE:
      return fail_conn (c);
    default:
      return CONN_ALIVE;
    }
}

static struct conn *
conn_of (struct bl_ticket *ticket)
{
  return (struct conn *)((char *)ticket - offsetof (struct conn, ticket));
}

/* Runs the waiting requests for which there is a slot, and refuses those that
   have waited too long.  */
static void
admit_waiting (struct proxy *p)
{
  struct bl_ticket *ticket;
  enum bl_verdict verdict;

  if (p->admitting)
    return;
  p->admitting = true;
  while ((ticket = bl_admit_next (&p->admit, io_now_ms (), &verdict)) != NULL)
    {
      if (verdict == BL_ADMIT_RUN)
        send_pending (conn_of (ticket));
      else
        fail_conn (conn_of (ticket));
    }
  p->admitting = false;
}

void
proxy_tick (struct proxy *proxy)
{
  admit_waiting (proxy);
}

static err_t
on_caller_data (void *arg, struct tcp_pcb *pcb, struct pbuf *p, err_t err)
{
  struct conn *c = arg;

  (void)pcb;
  (void)err;
  if (p == NULL)
    c->caller_fin = true;
  else if (c->pending == NULL)
    c->pending = p;
  else
    pbuf_cat (c->pending, p);
  if (submit_request (c) == CONN_ABORTED)
    return ERR_ABRT;
  return ERR_OK;
}

/* -- backend server to caller -- */

/* Completes the running request, because the backend server answers, and
   releases its slot.  Bytes that the caller has sent meanwhile are a new
   request.  */
static void
complete_request (struct conn *c)
{
  struct proxy *p = c->proxy;

  if (c->ticket.state != BL_TICKET_RUNNING)
    return;
  bl_admit_release (&p->admit, io_now_ms (), &c->ticket);
  if (c->pending != NULL)
    submit_request (c);
  admit_waiting (p);
}

/* Forwards bytes, or the FIN, from the backend server to the caller.  */
static void
forward_to_caller (struct conn *c)
{
  uint8_t buf[CHUNK_BYTES];
  size_t space = tcp_sndbuf (c->pcb);
  ssize_t n;

  if (space > sizeof buf)
    space = sizeof buf;
  if (space == 0 || tcp_sndqueuelen (c->pcb) > TCP_SND_QUEUELEN / 2)
    {
      set_events (c, EPOLLIN, false);
      return;
    }
  n = recv (c->source.fd, buf, space, MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n < 0)
    {
      abort_conn (c);
      return;
    }
  if (n > 0)
    {
      c->proxy->stats.bytes_out += (uint64_t)n;
      if (tcp_write (c->pcb, buf, (uint16_t)n, TCP_WRITE_FLAG_COPY) != ERR_OK)
        {
          abort_conn (c);
          return;
        }
      tcp_output (c->pcb);
      complete_request (c);
      return;
    }
  c->backend_fin = true;
  set_events (c, EPOLLIN, false);
  if (c->caller_fin)
    finish_conn (c);
  else
    tcp_shutdown (c->pcb, 0, 1);
}

static err_t
on_caller_acked (void *arg, struct tcp_pcb *pcb, uint16_t len)
{
  struct conn *c = arg;

  (void)pcb;
  (void)len;
  if (!c->backend_fin && c->connected)
    set_events (c, EPOLLIN, true);
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
      refuse_conn (c);
      return;
    }
  c->connected = true;
  set_events (c, EPOLLIN, true);
  set_events (c, EPOLLOUT, false);
  submit_request (c);
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
  if ((events & EPOLLOUT) && submit_request (c) != CONN_ALIVE)
    return;
  if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
    {
      if (c->backend_fin && (events & EPOLLERR))
        abort_conn (c);
      else if (!c->backend_fin)
        forward_to_caller (c);
    }
}

/* -- connections -- */

/* Called after lwIP has freed the connection, because the caller reset it or
   does not respond.  The connection to the backend server closes, so the server
   may cancel the work.  */
static void
on_caller_error (void *arg, err_t err)
{
  struct conn *c = arg;

  (void)err;
  if (c == NULL)
    return;
  c->pcb = NULL;
  c->proxy->stats.broken++;
  remove_conn (c);
}

/* Enables keepalive probes: a flow that is silent for IDLE_S is probed, and
   ended if its caller does not answer.  A flow whose caller answers stays open,
   however long it is silent.  */
static void
enable_keepalive (struct tcp_pcb *pcb, uint32_t idle_s)
{
  uint32_t interval = idle_s * 1000 / 4;

  if (idle_s == 0)
    return;
  if (interval < KEEPALIVE_INTERVAL_MIN_MS)
    interval = KEEPALIVE_INTERVAL_MIN_MS;
  if (interval > KEEPALIVE_INTERVAL_MAX_MS)
    interval = KEEPALIVE_INTERVAL_MAX_MS;
  ip_set_option (pcb, SOF_KEEPALIVE);
  pcb->keep_idle = idle_s * 1000;
  pcb->keep_intvl = interval;
  pcb->keep_cnt = KEEPALIVE_COUNT;
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
      remove_conn (c);
      return ERR_MEM; /* makes lwIP reset the connection */
    }
  tcp_arg (pcb, c);
  tcp_recv (pcb, on_caller_data);
  tcp_sent (pcb, on_caller_acked);
  tcp_err (pcb, on_caller_error);
  tcp_nagle_disable (pcb);
  enable_keepalive (pcb, l->idle_s);
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

/* Returns the listener on PORT, or else an unused one, or NULL.  */
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

  stats.running = proxy->admit.running;
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
  DL_FOREACH_SAFE (proxy->conns, c, next) { abort_conn (c); }
  for (size_t i = 0; i < BL_LISTENERS_MAX; i++)
    if (proxy->listeners[i].pcb != NULL)
      tcp_close (proxy->listeners[i].pcb);
  free (proxy);
}
