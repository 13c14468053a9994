/* relay-3.c -- relays TCP connections from LISTEN to TO (each IP:PORT)

   At SIGUSR1 all connections that are open go silent for good: they stay open,
   but nothing that arrives on them is passed on.  New connections work.  */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define PAIRS_MAX 256

struct pair
{
  int fd[2]; /* -1: free */
  int silent;
};

static struct pair pairs[PAIRS_MAX];
static volatile sig_atomic_t silence_requested;

static void
on_signal (int sig)
{
  (void)sig;
  silence_requested = 1;
}

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  char ip[32];
  unsigned port;

  if (sscanf (text, "%31[0-9.]:%u", ip, &port) != 2
      || inet_pton (AF_INET, ip, &sa.sin_addr) != 1)
    exit (2);
  sa.sin_port = htons ((uint16_t)port);
  return sa;
}

static void
close_pair (struct pair *p)
{
  close (p->fd[0]);
  close (p->fd[1]);
  *p = (struct pair){ .fd = { -1, -1 } };
}

/* Passes on what has come at one end; a silent connection drops it.  */
static void
pass_on (struct pair *p, int from)
{
  char buf[65536];
  ssize_t n = recv (p->fd[from], buf, sizeof buf, MSG_DONTWAIT);

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (p->silent && n > 0)
    return;
  if (p->silent && from == 1)
    {
      /* The end of the far side is not passed on either.  */
      shutdown (p->fd[1], SHUT_RDWR);
      return;
    }
  if (n <= 0 || send (p->fd[1 - from], buf, (size_t)n, MSG_NOSIGNAL) != n)
    close_pair (p);
}

static void
accept_one (int listener, const struct sockaddr_in *to)
{
  int a = accept (listener, NULL, NULL);
  int b = socket (AF_INET, SOCK_STREAM, 0);

  for (int i = 0; a >= 0 && b >= 0 && i < PAIRS_MAX; i++)
    if (pairs[i].fd[0] < 0)
      {
        if (connect (b, (const struct sockaddr *)to, sizeof *to) != 0)
          break;
        pairs[i] = (struct pair){ .fd = { a, b } };
        return;
      }
  close (a);
  close (b);
}

int
main (int argc, char **argv)
{
  struct sockaddr_in listen_at, to;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  if (argc != 3)
    return 2;
  listen_at = parse_address (argv[1]);
  to = parse_address (argv[2]);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (listener, (struct sockaddr *)&listen_at, sizeof listen_at) != 0
      || listen (listener, 64) != 0)
    return 2;
  signal (SIGUSR1, on_signal);
  for (int i = 0; i < PAIRS_MAX; i++)
    pairs[i] = (struct pair){ .fd = { -1, -1 } };
  for (;;)
    {
      struct pollfd polled[1 + 2 * PAIRS_MAX];

      polled[0] = (struct pollfd){ .fd = listener, .events = POLLIN };
      for (int i = 0; i < PAIRS_MAX; i++)
        for (int k = 0; k < 2; k++)
          polled[1 + 2 * i + k] = (struct pollfd){
            .fd = pairs[i].silent && k == 1 ? -1 : pairs[i].fd[k],
            .events = POLLIN,
          };
      if (poll (polled, 1 + 2 * PAIRS_MAX, 20) < 0 && errno != EINTR)
        return 1;
      if (silence_requested)
        {
          silence_requested = 0;
          for (int i = 0; i < PAIRS_MAX; i++)
            pairs[i].silent = pairs[i].fd[0] >= 0;
          continue;
        }
      for (int i = 0; i < PAIRS_MAX; i++)
        for (int k = 0; k < 2; k++)
          if (pairs[i].fd[k] >= 0
              && (polled[1 + 2 * i + k].revents & ~POLLNVAL))
            pass_on (&pairs[i], k);
      if (polled[0].revents & POLLIN)
        accept_one (listener, &to);
    }
}
