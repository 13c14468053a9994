/* backend.c -- stand-in for a backend server

   Serves a line protocol over TCP.  A request is
     RUN ID BYTES WORK_MS DEADLINE_MS
   and its answer is
     OK ID BYTES SERVER
   followed by BYTES bytes that depend on ID.  In place of OK the answer has
   BUSY if the queue is full, or LATE if the request cannot end before its
   deadline; then no bytes follow.  A malformed request gets "BAD - 0 -".

   A request occupies one of the slots for WORK_MS.  Requests wait in order for
   a free slot, in a queue of limited length.  When a connection
   closes, its requests are cancelled.

   Over HTTP: GET /health (200 or 503), GET /load, GET /executed (the id of each
   request that was started, one a line), POST /drain.  The reports of health
   and load can be delayed (--lag-ms) and false (--lie).  */

#include "io/io.h"

#include <civetweb.h>
#include <errno.h>
#include <netinet/in.h>
#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#define LINE_MAX_BYTES  256
#define BODY_MAX_BYTES  (4 * 1024 * 1024)
#define TICK_MS         2
#define HISTORY_LEN     64 /* reports stored, for --lag-ms */
#define HISTORY_STEP_MS 50 /* interval between them */

struct conn;

struct request
{
  struct conn *conn;
  char id[64];
  unsigned long bytes;
  unsigned long work_ms;
  uint64_t deadline_ms; /* 0: none */
  uint64_t done_ms;     /* end of the request, when running */
  struct request *prev;
  struct request *next;
};

struct conn
{
  struct io_source source;
  char line[LINE_MAX_BYTES];
  size_t line_len;
  char *out; /* owned; bytes of answers that are not yet sent */
  size_t out_len;
  size_t out_cap;
  bool read_done;
};

static struct
{
  char *name;
  char *listen;
  char *http;
  int slots;
  int queue_max;     /* length of the queue at which requests get BUSY */
  int startup_ms;    /* time from the start until the server is ready */
  int report_lag_ms; /* age of reported health and load */
  int false_reports; /* always report health 200 and load 0 */
  struct io_loop *loop;
  struct io_source listener;
  struct request *waiting;
  struct request *running;
  int waiting_count;
  int running_count;
  uint64_t started_ms;
  bool draining;
  uint64_t served;
  /* Ids of all requests that were started, one a line.  */
  char *executed;
  size_t executed_len;
  size_t executed_cap;
  pthread_mutex_t mutex; /* of executed and of the histories */
  /* Past load and health, newest first.  */
  int load_history[HISTORY_LEN];
  bool ready_history[HISTORY_LEN];
  uint64_t next_history_ms;
} server = {
  .name = "backend",
  .listen = "127.0.0.1:0",
  .http = "127.0.0.1:0",
  .slots = 2,
  .queue_max = 10000,
  .mutex = PTHREAD_MUTEX_INITIALIZER,
};

static volatile sig_atomic_t stopped;

static void
on_signal (int sig)
{
  (void)sig;
  stopped = 1;
}

/* -- requests -- */

static void
ensure_capacity (char **buf, size_t *cap, size_t need)
{
  if (need <= *cap)
    return;
  *cap = need * 2;
  *buf = realloc (*buf, *cap);
  if (*buf == NULL)
    abort ();
}

static void
append_output (struct conn *c, const char *data, size_t len)
{
  ensure_capacity (&c->out, &c->out_cap, c->out_len + len);
  memcpy (c->out + c->out_len, data, len);
  c->out_len += len;
}

/* Sends as much pending output as the socket accepts.  */
static void
flush_output (struct conn *c)
{
  while (c->out_len > 0)
    {
      ssize_t n = send (c->source.fd, c->out, c->out_len,
                        MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n <= 0)
        break;
      memmove (c->out, c->out + n, c->out_len - (size_t)n);
      c->out_len -= (size_t)n;
    }
  io_loop_change (server.loop, &c->source,
                  EPOLLIN | (c->out_len > 0 ? EPOLLOUT : 0));
}

static void
send_answer (struct request *r, const char *result, unsigned long bytes)
{
  char head[LINE_MAX_BYTES];
  int n = snprintf (head, sizeof head, "%s %s %lu %s\n", result, r->id, bytes,
                    server.name);
  size_t id_len = strlen (r->id);

  append_output (r->conn, head, (size_t)n);
  ensure_capacity (&r->conn->out, &r->conn->out_cap, r->conn->out_len + bytes);
  for (unsigned long i = 0; i < bytes; i++)
    r->conn->out[r->conn->out_len++] = r->id[i % id_len];
  flush_output (r->conn);
}

static void
record_executed (const char *id)
{
  size_t len = strlen (id);

  pthread_mutex_lock (&server.mutex);
  ensure_capacity (&server.executed, &server.executed_cap,
                   server.executed_len + len + 1);
  memcpy (server.executed + server.executed_len, id, len);
  server.executed[server.executed_len + len] = '\n';
  server.executed_len += len + 1;
  pthread_mutex_unlock (&server.mutex);
}

/* Starts waiting requests while slots are free.  */
static void
start_waiting_requests (uint64_t now)
{
  while (server.waiting != NULL && server.running_count < server.slots)
    {
      struct request *r = server.waiting;
      DL_DELETE (server.waiting, r);
      server.waiting_count--;
      if (r->deadline_ms != 0 && now + r->work_ms > r->deadline_ms)
        {
          send_answer (r, "LATE", 0);
          free (r);
          continue;
        }
      r->done_ms = now + r->work_ms;
      DL_APPEND (server.running, r);
      server.running_count++;
      record_executed (r->id);
    }
}

static void
finish_running_requests (uint64_t now)
{
  struct request *r;
  struct request *next;

  DL_FOREACH_SAFE (server.running, r, next)
  {
    if (r->done_ms > now)
      continue;
    DL_DELETE (server.running, r);
    server.running_count--;
    server.served++;
    send_answer (r, "OK", r->bytes);
    free (r);
  }
}

/* Removes the requests of a connection from LIST.  */
static void
cancel_requests (struct request **list, int *count, const struct conn *c)
{
  struct request *r;
  struct request *next;

  DL_FOREACH_SAFE (*list, r, next)
  {
    if (r->conn != c)
      continue;
    DL_DELETE (*list, r);
    (*count)--;
    free (r);
  }
}

static void
parse_request (struct conn *c, char *line)
{
  struct request *r = calloc (1, sizeof *r);
  unsigned long deadline = 0;

  if (r == NULL)
    abort ();
  r->conn = c;
  if (sscanf (line, "RUN %63s %lu %lu %lu", r->id, &r->bytes, &r->work_ms,
              &deadline)
          != 4
      || r->bytes > BODY_MAX_BYTES)
    {
      append_output (c, "BAD - 0 -\n", 10);
      flush_output (c);
      free (r);
      return;
    }
  if (deadline > 0)
    r->deadline_ms = io_now_ms () + deadline;
  if (server.waiting_count >= server.queue_max)
    {
      send_answer (r, "BUSY", 0);
      free (r);
      return;
    }
  DL_APPEND (server.waiting, r);
  server.waiting_count++;
}

/* -- connections -- */

static void
close_conn (struct conn *c)
{
  cancel_requests (&server.waiting, &server.waiting_count, c);
  cancel_requests (&server.running, &server.running_count, c);
  io_loop_remove (server.loop, &c->source);
  close (c->source.fd);
  free (c->out);
  free (c);
}

static void
parse_bytes (struct conn *c, const char *data, size_t len)
{
  for (size_t i = 0; i < len; i++)
    {
      if (data[i] != '\n' && c->line_len < sizeof c->line - 1)
        {
          c->line[c->line_len++] = data[i];
          continue;
        }
      c->line[c->line_len] = '\0';
      c->line_len = 0;
      parse_request (c, c->line);
    }
}

static void
on_conn (struct io_source *source, uint32_t events)
{
  struct conn *c = (struct conn *)source;
  char buf[4096];
  ssize_t n;

  if (events & EPOLLOUT)
    flush_output (c);
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) == 0)
    return;
  n = recv (source->fd, buf, sizeof buf, MSG_DONTWAIT);
  if (n < 0 && errno == EAGAIN)
    return;
  if (n <= 0)
    {
      close_conn (c);
      return;
    }
  parse_bytes (c, buf, (size_t)n);
  start_waiting_requests (io_now_ms ());
}

static void
on_listener (struct io_source *source, uint32_t events)
{
  struct conn *c;
  int fd = accept4 (source->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)events;
  if (fd < 0)
    return;
  c = calloc (1, sizeof *c);
  if (c == NULL)
    abort ();
  c->source
      = (struct io_source){ .fd = fd, .events = EPOLLIN, .ready = on_conn };
  io_loop_add (server.loop, &c->source);
}

/* -- health and load -- */

static bool
is_ready (uint64_t now)
{
  return !server.draining
         && now - server.started_ms >= (uint64_t)server.startup_ms;
}

static void
record_history (uint64_t now)
{
  if (now < server.next_history_ms)
    return;
  server.next_history_ms = now + HISTORY_STEP_MS;
  pthread_mutex_lock (&server.mutex);
  memmove (&server.load_history[1], &server.load_history[0],
           sizeof server.load_history - sizeof server.load_history[0]);
  memmove (&server.ready_history[1], &server.ready_history[0],
           sizeof server.ready_history - sizeof server.ready_history[0]);
  server.load_history[0] = server.running_count + server.waiting_count;
  server.ready_history[0] = is_ready (now);
  pthread_mutex_unlock (&server.mutex);
}

static int
lag_index (void)
{
  int i = server.report_lag_ms / HISTORY_STEP_MS;
  return i < HISTORY_LEN ? i : HISTORY_LEN - 1;
}

static int
respond (struct mg_connection *conn, int status, const char *body, size_t len)
{
  mg_printf (conn, "HTTP/1.1 %d x\r\nContent-Length: %zu\r\n\r\n", status, len);
  mg_write (conn, body, len);
  return status;
}

static int
on_health (struct mg_connection *conn, void *ctx)
{
  bool ready;

  (void)ctx;
  pthread_mutex_lock (&server.mutex);
  ready = server.ready_history[lag_index ()] || server.false_reports;
  pthread_mutex_unlock (&server.mutex);
  return respond (conn, ready ? 200 : 503, "", 0);
}

static int
on_load (struct mg_connection *conn, void *ctx)
{
  char text[32];
  int load;

  (void)ctx;
  pthread_mutex_lock (&server.mutex);
  load = server.false_reports ? 0 : server.load_history[lag_index ()];
  pthread_mutex_unlock (&server.mutex);
  return respond (conn, 200, text,
                  (size_t)snprintf (text, sizeof text, "%d\n", load));
}

static int
on_executed (struct mg_connection *conn, void *ctx)
{
  char *copy;
  size_t len;
  int status;

  (void)ctx;
  pthread_mutex_lock (&server.mutex);
  len = server.executed_len;
  copy = malloc (len + 1);
  if (len > 0)
    memcpy (copy, server.executed, len);
  pthread_mutex_unlock (&server.mutex);
  status = respond (conn, 200, copy, len);
  free (copy);
  return status;
}

static int
on_drain (struct mg_connection *conn, void *ctx)
{
  (void)ctx;
  server.draining = true;
  return respond (conn, 202, "", 0);
}

/* -- start -- */

static void
on_tick (void *ctx)
{
  uint64_t now = io_now_ms ();

  (void)ctx;
  finish_running_requests (now);
  start_waiting_requests (now);
  record_history (now);
  if (stopped)
    io_loop_stop (server.loop);
}

static int
open_listener (unsigned *port)
{
  struct bl_addr addr;
  struct sockaddr_in sa = { .sin_family = AF_INET };
  socklen_t len = sizeof sa;
  const char *colon = strrchr (server.listen, ':');
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (colon == NULL
      || bl_ip_parse (
             &addr.ip,
             (struct bl_str){ server.listen, (size_t)(colon - server.listen) })
             != BL_OK)
    return -1;
  sa.sin_addr.s_addr = htonl (addr.ip);
  sa.sin_port = htons ((uint16_t)atoi (colon + 1));
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) != 0
      || listen (fd, 4096) != 0
      || getsockname (fd, (struct sockaddr *)&sa, &len) != 0)
    return -1;
  *port = ntohs (sa.sin_port);
  server.listener = (struct io_source){
    .fd = fd,
    .events = EPOLLIN,
    .ready = on_listener,
  };
  return io_loop_add (server.loop, &server.listener);
}

static struct mg_context *
open_http (int *port)
{
  struct mg_server_port ports[1];
  const char *options[]
      = { "listening_ports", server.http, "num_threads", "2", NULL };
  struct mg_context *http;

  mg_init_library (0);
  http = mg_start (NULL, NULL, options);
  if (http == NULL || mg_get_server_ports (http, 1, ports) < 1)
    return NULL;
  *port = ports[0].port;
  mg_set_request_handler (http, "/health$", on_health, NULL);
  mg_set_request_handler (http, "/load$", on_load, NULL);
  mg_set_request_handler (http, "/executed$", on_executed, NULL);
  mg_set_request_handler (http, "/drain$", on_drain, NULL);
  return http;
}

int
main (int argc, const char **argv)
{
  struct poptOption table[] = {
    { "name", 0, POPT_ARG_STRING, &server.name, 0, "server name in answers",
      "NAME" },
    { "listen", 0, POPT_ARG_STRING, &server.listen, 0, "address for requests",
      "IP:PORT" },
    { "http", 0, POPT_ARG_STRING, &server.http, 0, "address for HTTP",
      "IP:PORT" },
    { "slots", 0, POPT_ARG_INT, &server.slots, 0, "concurrent requests", "N" },
    { "shed", 0, POPT_ARG_INT, &server.queue_max, 0,
      "maximum length of the queue", "N" },
    { "cold-ms", 0, POPT_ARG_INT, &server.startup_ms, 0, "time until ready",
      "MS" },
    { "lag-ms", 0, POPT_ARG_INT, &server.report_lag_ms, 0,
      "age of reported health and load", "MS" },
    { "lie", 0, POPT_ARG_NONE, &server.false_reports, 0,
      "always report healthy and idle", NULL },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext popt = poptGetContext (NULL, argc, argv, table, 0);
  struct mg_context *http;
  unsigned port = 0;
  int http_port = 0;

  if (poptGetNextOpt (popt) < -1)
    return 2;
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGPIPE, SIG_IGN);
  server.started_ms = io_now_ms ();
  server.loop = io_loop_new ();
  http = open_http (&http_port);
  if (http == NULL || open_listener (&port) != 0)
    {
      fprintf (stderr, "cannot listen on the TCP or HTTP address\n");
      return 1;
    }
  printf ("port=%u http=%d\n", port, http_port);
  fflush (stdout);
  io_loop_set_tick (server.loop, TICK_MS, on_tick, NULL);
  io_loop_run (server.loop);
  mg_stop (http);
  poptFreeContext (popt);
  return 0;
}
