/* bulk.c -- pull requests and replies between processes over ZeroMQ

   A ROUTER socket receives requests.  Requests are sent through DEALER sockets,
   one per peer.  A process sends requests to few peers at a time, so these
   sockets are kept in a small table, from which the least recently used one
   is closed to make room.  Queues are short and no call blocks: a request or
   reply that cannot be queued is dropped, and the process that needs the data
   pulls again.  */

#include "io/io.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <zmq.h>

#define PEERS_MAX          8  /* open DEALER sockets */
#define QUEUE_MAX_MESSAGES 16 /* per socket and direction */
#define MESSAGE_MAX_BYTES  (4 * 1024 * 1024)

struct peer
{
  struct io_source source;
  struct io_bulk *bulk;
  struct bl_addr addr;
  void *socket;
  uint64_t last_used_ms;
};

struct io_bulk
{
  struct io_source source;
  struct io_loop *loop;
  struct io_bulk_ops ops;
  void *ctx;
  void *zmq;
  void *router;
  struct peer peers[PEERS_MAX];
};

static void
set_limits (void *socket)
{
  int zero = 0;
  int queue = QUEUE_MAX_MESSAGES;
  int64_t bytes = MESSAGE_MAX_BYTES;

  zmq_setsockopt (socket, ZMQ_LINGER, &zero, sizeof zero);
  zmq_setsockopt (socket, ZMQ_SNDHWM, &queue, sizeof queue);
  zmq_setsockopt (socket, ZMQ_RCVHWM, &queue, sizeof queue);
  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &bytes, sizeof bytes);
}

static int
socket_fd (void *socket)
{
  int fd = -1;
  size_t len = sizeof fd;
  zmq_getsockopt (socket, ZMQ_FD, &fd, &len);
  return fd;
}

static void
format_endpoint (char *buf, size_t cap, struct bl_addr addr)
{
  char text[BL_ADDR_TEXT_MAX];
  snprintf (buf, cap, "tcp://%s", bl_addr_format (addr, text));
}

/* -- receiving -- */

/* Receives one request and sends the reply to it.  Returns false if no request
   was waiting.  */

static bool
serve_request (struct io_bulk *bulk)
{
  zmq_msg_t identity;
  zmq_msg_t body;
  const uint8_t *reply;
  size_t reply_len;
  bool got;

  zmq_msg_init (&identity);
  zmq_msg_init (&body);
  got = zmq_msg_recv (&identity, bulk->router, ZMQ_DONTWAIT) >= 0;
  if (got && zmq_msg_more (&identity)
      && zmq_msg_recv (&body, bulk->router, ZMQ_DONTWAIT) >= 0)
    {
      reply = bulk->ops.request (bulk->ctx, zmq_msg_data (&body),
                                 zmq_msg_size (&body), &reply_len);
      if (reply != NULL
          && zmq_msg_send (&identity, bulk->router, ZMQ_SNDMORE | ZMQ_DONTWAIT)
                 >= 0)
        zmq_send (bulk->router, reply, reply_len, ZMQ_DONTWAIT);
    }
  zmq_msg_close (&identity);
  zmq_msg_close (&body);
  return got;
}

/* Receives one reply.  Returns false if none was waiting.  */
static bool
receive_reply (struct peer *peer)
{
  zmq_msg_t body;
  bool got;

  zmq_msg_init (&body);
  got = zmq_msg_recv (&body, peer->socket, ZMQ_DONTWAIT) >= 0;
  if (got)
    peer->bulk->ops.reply (peer->bulk->ctx, zmq_msg_data (&body),
                           zmq_msg_size (&body));
  zmq_msg_close (&body);
  return got;
}

void
io_bulk_poll (struct io_bulk *bulk)
{
  while (bulk->router != NULL && serve_request (bulk))
    continue;
  for (size_t i = 0; i < PEERS_MAX; i++)
    while (bulk->peers[i].socket != NULL && receive_reply (&bulk->peers[i]))
      continue;
}

static void
router_ready (struct io_source *source, uint32_t events)
{
  (void)events;
  io_bulk_poll ((struct io_bulk *)source);
}

static void
peer_ready (struct io_source *source, uint32_t events)
{
  (void)events;
  io_bulk_poll (((struct peer *)source)->bulk);
}

/* -- sending requests -- */

static void
close_peer (struct io_bulk *bulk, struct peer *peer)
{
  if (peer->socket == NULL)
    return;
  io_loop_remove (bulk->loop, &peer->source);
  zmq_close (peer->socket);
  peer->socket = NULL;
}

/* Returns the entry of the peer at ADDR.  If there is none, returns an entry
   without a socket; if the table is full, closes the socket of the least
   recently used peer to free its entry.  */
static struct peer *
find_peer (struct io_bulk *bulk, struct bl_addr addr)
{
  struct peer *least_recent = &bulk->peers[0];

  for (size_t i = 0; i < PEERS_MAX; i++)
    {
      struct peer *p = &bulk->peers[i];
      if (p->socket != NULL && bl_addr_equal (p->addr, addr))
        return p;
      if (p->socket == NULL || p->last_used_ms < least_recent->last_used_ms)
        least_recent = p;
      if (p->socket == NULL)
        break;
    }
  close_peer (bulk, least_recent);
  return least_recent;
}

static bool
open_peer (struct io_bulk *bulk, struct peer *peer, struct bl_addr addr)
{
  char endpoint[BL_ADDR_TEXT_MAX + 8];

  format_endpoint (endpoint, sizeof endpoint, addr);
  peer->socket = zmq_socket (bulk->zmq, ZMQ_DEALER);
  if (peer->socket == NULL)
    return false;
  set_limits (peer->socket);
  peer->addr = addr;
  peer->bulk = bulk;
  peer->source = (struct io_source){
    .fd = socket_fd (peer->socket),
    .events = EPOLLIN,
    .ready = peer_ready,
  };
  io_loop_add (bulk->loop, &peer->source);
  return zmq_connect (peer->socket, endpoint) == 0;
}

void
io_bulk_pull (struct io_bulk *bulk,
              struct bl_addr to,
              const uint8_t *buf,
              size_t len)
{
  struct peer *peer = find_peer (bulk, to);

  if (peer->socket == NULL && !open_peer (bulk, peer, to))
    {
      close_peer (bulk, peer);
      return;
    }
  peer->last_used_ms = io_now_ms ();
  zmq_send (peer->socket, buf, len, ZMQ_DONTWAIT);
}

/* -- creation -- */

static int
bind_router (struct io_bulk *bulk, struct bl_addr addr)
{
  char endpoint[BL_ADDR_TEXT_MAX + 8];

  bulk->router = zmq_socket (bulk->zmq, ZMQ_ROUTER);
  if (bulk->router == NULL)
    return -1;
  set_limits (bulk->router);
  format_endpoint (endpoint, sizeof endpoint, addr);
  if (zmq_bind (bulk->router, endpoint) != 0)
    return -1;
  bulk->source = (struct io_source){
    .fd = socket_fd (bulk->router),
    .events = EPOLLIN,
    .ready = router_ready,
  };
  return io_loop_add (bulk->loop, &bulk->source);
}

struct io_bulk *
io_bulk_new (struct io_loop *loop,
             struct bl_addr addr,
             const struct io_bulk_ops *ops,
             void *ctx)
{
  struct io_bulk *bulk = calloc (1, sizeof *bulk);

  if (bulk == NULL)
    return NULL;
  bulk->loop = loop;
  bulk->ops = *ops;
  bulk->ctx = ctx;
  bulk->zmq = zmq_ctx_new ();
  if (bulk->zmq == NULL || (addr.port != 0 && bind_router (bulk, addr) != 0))
    {
      io_bulk_free (bulk);
      return NULL;
    }
  return bulk;
}

void
io_bulk_free (struct io_bulk *bulk)
{
  if (bulk == NULL)
    return;
  for (size_t i = 0; i < PEERS_MAX; i++)
    close_peer (bulk, &bulk->peers[i]);
  if (bulk->router != NULL)
    {
      io_loop_remove (bulk->loop, &bulk->source);
      zmq_close (bulk->router);
    }
  if (bulk->zmq != NULL)
    zmq_ctx_term (bulk->zmq);
  free (bulk);
}
