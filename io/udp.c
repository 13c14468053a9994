/* udp.c -- UDP sockets, which send and receive single datagrams or batches, and
   TCP sockets  */

#include "io/io.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/errqueue.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SOCKET_BUFFER_BYTES (4 * 1024 * 1024)

struct io_batch
{
  uint8_t data[IO_BATCH_MAX][BL_PACKET_MAX + BL_FORWARD_MAX];
  uint8_t headers[IO_BATCH_MAX][BL_FORWARD_MAX];
  struct iovec in_iov[IO_BATCH_MAX];
  struct mmsghdr in[IO_BATCH_MAX];
  struct iovec out_iov[IO_BATCH_MAX][2];
  struct sockaddr_in out_addr[IO_BATCH_MAX];
  struct mmsghdr out[IO_BATCH_MAX];
  unsigned queued; /* datagrams in OUT */
};

static struct sockaddr_in
to_sockaddr (struct bl_addr addr)
{
  return (struct sockaddr_in){
    .sin_family = AF_INET,
    .sin_port = htons (addr.port),
    .sin_addr.s_addr = htonl (addr.ip),
  };
}

static struct bl_addr
from_sockaddr (const struct sockaddr_in *sa)
{
  return (struct bl_addr){ ntohl (sa->sin_addr.s_addr), ntohs (sa->sin_port) };
}

int
io_udp_open (struct bl_addr *addr)
{
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct sockaddr_in sa = to_sockaddr (*addr);
  socklen_t len = sizeof sa;
  int bytes = SOCKET_BUFFER_BYTES;

  if (fd < 0)
    return -errno;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) != 0
      || getsockname (fd, (struct sockaddr *)&sa, &len) != 0)
    {
      int err = errno;
      close (fd);
      return -err;
    }
  *addr = from_sockaddr (&sa);
  return fd;
}

int
io_udp_send (int fd, struct bl_addr to, const void *buf, size_t len)
{
  struct sockaddr_in sa = to_sockaddr (to);
  ssize_t n
      = sendto (fd, buf, len, MSG_DONTWAIT, (struct sockaddr *)&sa, sizeof sa);

  /* With IP_RECVERR, sendto may fail with the error of an earlier datagram.
     The error is reported once, so the second call sends this datagram.  */
  if (n < 0 && errno == ECONNREFUSED)
    n = sendto (fd, buf, len, MSG_DONTWAIT, (struct sockaddr *)&sa, sizeof sa);
  return (int)n;
}

int
io_udp_send_parts (int fd,
                   struct bl_addr to,
                   const void *head,
                   size_t head_len,
                   const void *body,
                   size_t body_len)
{
  struct sockaddr_in sa = to_sockaddr (to);
  struct iovec iov[2] = {
    { .iov_base = (void *)head, .iov_len = head_len },
    { .iov_base = (void *)body, .iov_len = body_len },
  };
  struct msghdr msg = {
    .msg_name = &sa,
    .msg_namelen = sizeof sa,
    .msg_iov = iov,
    .msg_iovlen = body_len > 0 ? 2 : 1,
  };

  return (int)sendmsg (fd, &msg, MSG_DONTWAIT);
}

int
io_udp_receive (int fd, struct bl_addr *from, void *buf, size_t cap)
{
  struct sockaddr_in sa = { .sin_port = 0 };
  socklen_t len = sizeof sa;
  ssize_t n
      = recvfrom (fd, buf, cap, MSG_DONTWAIT, (struct sockaddr *)&sa, &len);

  if (n < 0)
    return -1;
  if (from != NULL)
    *from = from_sockaddr (&sa);
  return (int)n;
}

void
io_udp_enable_error_queue (int fd)
{
  int on = 1;
  setsockopt (fd, IPPROTO_IP, IP_RECVERR, &on, sizeof on);
}

/* Returns true if a message of the error queue reports that no process listens
   on the destination port.  */
static bool
is_port_unreachable (struct msghdr *msg)
{
  for (struct cmsghdr *c = CMSG_FIRSTHDR (msg); c != NULL;
       c = CMSG_NXTHDR (msg, c))
    {
      struct sock_extended_err err;
      if (c->cmsg_level != IPPROTO_IP || c->cmsg_type != IP_RECVERR)
        continue;
      memcpy (&err, CMSG_DATA (c), sizeof err);
      return err.ee_errno == ECONNREFUSED;
    }
  return false;
}

int
io_udp_receive_port_unreachable (int fd, struct bl_addr *to)
{
  struct sockaddr_in sa;
  char control[CMSG_SPACE (sizeof (struct sock_extended_err)
                           + sizeof (struct sockaddr_in))];

  /* Discards other errors.  */
  for (;;)
    {
      struct msghdr msg = {
        .msg_name = &sa,
        .msg_namelen = sizeof sa,
        .msg_control = control,
        .msg_controllen = sizeof control,
      };
      if (recvmsg (fd, &msg, MSG_ERRQUEUE | MSG_DONTWAIT) < 0)
        return -1;
      if (!is_port_unreachable (&msg))
        continue;
      *to = from_sockaddr (&sa);
      return 0;
    }
}

struct io_batch *
io_batch_new (void)
{
  struct io_batch *b = calloc (1, sizeof *b);

  if (b == NULL)
    return NULL;
  for (int i = 0; i < IO_BATCH_MAX; i++)
    {
      b->in_iov[i] = (struct iovec){ b->data[i], sizeof b->data[i] };
      b->in[i].msg_hdr.msg_iov = &b->in_iov[i];
      b->in[i].msg_hdr.msg_iovlen = 1;
    }
  return b;
}

void
io_batch_free (struct io_batch *batch)
{
  free (batch);
}

int
io_batch_receive (struct io_batch *batch, int fd)
{
  int n = recvmmsg (fd, batch->in, IO_BATCH_MAX, MSG_DONTWAIT, NULL);
  batch->queued = 0;
  return n < 0 ? 0 : n;
}

uint8_t *
io_batch_data (struct io_batch *batch, int i, size_t *len)
{
  *len = batch->in[i].msg_len;
  return batch->data[i];
}

void
io_batch_queue (struct io_batch *batch,
                int i,
                struct bl_addr to,
                const uint8_t *header,
                size_t header_len)
{
  unsigned slot = batch->queued++;
  struct msghdr *msg = &batch->out[slot].msg_hdr;

  memcpy (batch->headers[slot], header, header_len);
  batch->out_iov[slot][0] = (struct iovec){ batch->headers[slot], header_len };
  batch->out_iov[slot][1]
      = (struct iovec){ batch->data[i], batch->in[i].msg_len };
  batch->out_addr[slot] = to_sockaddr (to);
  msg->msg_name = &batch->out_addr[slot];
  msg->msg_namelen = sizeof batch->out_addr[slot];
  msg->msg_iov = batch->out_iov[slot];
  msg->msg_iovlen = 2;
}

void
io_batch_flush (struct io_batch *batch, int fd)
{
  unsigned sent = 0;

  while (sent < batch->queued)
    {
      int n = sendmmsg (fd, batch->out + sent, batch->queued - sent,
                        MSG_DONTWAIT);
      /* A datagram that the kernel does not accept is dropped, as it could be
         in the network.  */
      sent += n > 0 ? (unsigned)n : 1;
    }
  batch->queued = 0;
}

int
io_tcp_connect (struct bl_addr to)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct sockaddr_in sa = to_sockaddr (to);
  int on = 1;

  if (fd < 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return -1;
    }
  return fd;
}

int
io_tcp_listen (struct bl_addr addr)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct sockaddr_in sa = to_sockaddr (addr);
  int on = 1;

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) != 0
      || listen (fd, SOMAXCONN) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}
