/* io.h -- event loop, sockets, logs and the platform client  */

#ifndef IO_H
#define IO_H

#include "boragelatch.h"

/* -- clock -- */

/* Milliseconds of the monotonic clock.  */
uint64_t io_now_ms (void);
/* Milliseconds since 1970, for incarnations.  */
uint64_t io_wall_ms (void);

/* -- log: one line of key=value pairs for each event -- */

enum io_level
{
  IO_ERROR,
  IO_WARN,
  IO_INFO,
  IO_DEBUG,
};

/* Opens the log on standard output.  LEVEL is "error", "warn", "info" or
   "debug"; BL_EFORMAT for anything else.  */
int io_log_open (const char *level);
/* Changes the level; BL_EFORMAT for what is none.  */
int io_log_set_level (const char *level);
void io_log_close (void);
/* Logs "event=EVENT" and what FORMAT adds; a value that may hold a space is
   to be quoted by the caller.  */
void io_log (enum io_level level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Lets an event through at most once an interval, and counts the others.  */
struct io_rate_limit
{
  uint64_t next_ms;
  uint64_t suppressed;
};
/* True when the event may be logged; *SUPPRESSED were held back before.  */
bool io_rate_limit_allow (struct io_rate_limit *quiet,
                          uint64_t now,
                          uint64_t interval_ms,
                          uint64_t *suppressed);

/* Prints findings on standard error, a line each.  */
void io_print_findings (const struct bl_findings *findings);

/* -- event loop -- */

struct io_loop;

/* A file descriptor in a loop.  Embed it first in what it belongs to.  */
struct io_source
{
  int fd;
  uint32_t events; /* EPOLL* wanted */
  void (*ready) (struct io_source *source, uint32_t events);
};

struct io_loop *io_loop_new (void);
void io_loop_free (struct io_loop *loop);
int io_loop_add (struct io_loop *loop, struct io_source *source);
int io_loop_change (struct io_loop *loop,
                    struct io_source *source,
                    uint32_t events);
void io_loop_remove (struct io_loop *loop, struct io_source *source);
/* LOCK and UNLOCK are called round the handling of events, so that other
   threads can share what the handlers touch; NULL for none.  */
void io_loop_set_lock (struct io_loop *loop,
                       void (*lock) (void *ctx),
                       void (*unlock) (void *ctx),
                       void *ctx);
/* Calls TICK about every INTERVAL_MS with the lock held.  */
void io_loop_set_tick (struct io_loop *loop,
                       int interval_ms,
                       void (*tick) (void *ctx),
                       void *ctx);
/* Runs until io_loop_stop.  */
void io_loop_run (struct io_loop *loop);
/* May be called from a signal handler.  */
void io_loop_stop (struct io_loop *loop);

/* -- UDP -- */

/* Opens a non-blocking UDP socket on ADDR with large buffers.  A port of 0
   takes a free one, which is written back.  Returns the descriptor, or a
   negative errno.  */
int io_udp_open (struct bl_addr *addr);
int io_udp_send (int fd, struct bl_addr to, const void *buf, size_t len);
/* The same for a datagram in two parts; the second may be empty.  */
int io_udp_send_parts (int fd,
                       struct bl_addr to,
                       const void *head,
                       size_t head_len,
                       const void *body,
                       size_t body_len);
/* Asks the kernel to keep what it hears of datagrams that could not be
   delivered.  */
void io_udp_enable_error_queue (int fd);
/* The destination of a datagram that was turned down since no process listens
   there, into TO.  Returns 0, or -1 when there is none.  */
int io_udp_receive_refusal (int fd, struct bl_addr *to);
/* Returns the length of one datagram, or -1 when there is none.  */
int io_udp_receive (int fd, struct bl_addr *from, void *buf, size_t cap);

#define IO_BATCH_MAX 64 /* datagrams in one system call */

/* Datagrams received together.  */
struct io_batch;
struct io_batch *io_batch_new (void);
void io_batch_free (struct io_batch *batch);
/* Receives up to IO_BATCH_MAX datagrams; returns how many.  */
int io_batch_receive (struct io_batch *batch, int fd);
uint8_t *io_batch_data (struct io_batch *batch, int i, size_t *len);
/* Queues header and datagram I for TO, without copying the datagram.  */
void io_batch_queue (struct io_batch *batch,
                     int i,
                     struct bl_addr to,
                     const uint8_t *header,
                     size_t header_len);
/* Sends what was queued.  */
void io_batch_flush (struct io_batch *batch, int fd);

/* Connects a non-blocking TCP socket; returns the descriptor or -1.  */
int io_tcp_connect (struct bl_addr to);

/* Listens on ADDR, non-blocking; returns the descriptor or -1.  */
int io_tcp_listen (struct bl_addr addr);

/* -- bulk transfers over ZeroMQ -- */

/* Answers requests, asks others, and hands replies back.  */
struct io_bulk;

struct io_bulk_ops
{
  /* Returns the reply to a request, NULL for none.  */
  const uint8_t *(*request) (void *ctx,
                             const uint8_t *buf,
                             size_t len,
                             size_t *reply_len);
  void (*reply) (void *ctx, const uint8_t *buf, size_t len);
};

/* Binds ADDR unless its port is 0.  NULL on failure.  */
struct io_bulk *io_bulk_new (struct io_loop *loop,
                             struct bl_addr addr,
                             const struct io_bulk_ops *ops,
                             void *ctx);
void io_bulk_free (struct io_bulk *bulk);
/* Sends a request; lost silently when the peer does not take it.  */
void io_bulk_pull (struct io_bulk *bulk,
                   struct bl_addr to,
                   const uint8_t *buf,
                   size_t len);
/* Handles what has arrived; to be called every tick too, for ZeroMQ signals
   edges only.  */
void io_bulk_poll (struct io_bulk *bulk);

/* -- platform client -- */

enum io_platform_result
{
  IO_PLATFORM_OK,
  IO_PLATFORM_UNCHANGED, /* a watch ran out */
  IO_PLATFORM_NOT_FOUND,
  IO_PLATFORM_CONFLICT, /* the version was not the expected one */
  IO_PLATFORM_UNKNOWN,  /* no answer: a write may have taken effect */
  IO_PLATFORM_REFUSED,  /* refused for good; TEXT says why */
};

struct io_platform;

/* An object's value and version.  Free with io_object_clear.  */
struct io_object
{
  uint64_t version;
  char *text; /* owned; zero-terminated */
  size_t len;
};

void io_object_clear (struct io_object *object);

/* A client is for one thread.  URL is that of the platform's API.  */
struct io_platform *io_platform_new (const char *url, uint64_t random_seed);
void io_platform_free (struct io_platform *platform);
enum io_platform_result io_platform_get (struct io_platform *platform,
                                         const char *key,
                                         struct io_object *out);
/* Waits until the version differs from VERSION, or TIMEOUT_S.  */
enum io_platform_result io_platform_watch (struct io_platform *platform,
                                           const char *key,
                                           uint64_t version,
                                           unsigned timeout_s,
                                           struct io_object *out);
/* Writes if the held version is EXPECTED; 0: if there is none.  */
enum io_platform_result io_platform_put (struct io_platform *platform,
                                         const char *key,
                                         uint64_t expected,
                                         const char *text,
                                         size_t len,
                                         uint64_t *version);
#define IO_ANY_VERSION UINT64_MAX

/* EXPECTED as for a write, or IO_ANY_VERSION.  */
enum io_platform_result io_platform_delete (struct io_platform *platform,
                                            const char *key,
                                            uint64_t expected);
/* Milliseconds to wait before try ATTEMPT (from 1): exponential, jittered.  */
unsigned io_platform_backoff_ms (struct io_platform *platform,
                                 unsigned attempt);
/* Ends a call that waits, from another thread.  */
void io_platform_cancel (struct io_platform *platform);
uint64_t io_platform_calls (const struct io_platform *platform);

/* -- plain HTTP requests, for the command-line tool -- */

/* To be called by whoever uses the HTTP library directly.  */
void io_http_init (void);

/* GET or POST; returns the status, or 0 when there was no answer.  */
long io_http_request (const char *method,
                      const char *url,
                      const char *body,
                      unsigned timeout_ms,
                      struct io_object *out);

#endif
