/* io.h -- event loop, sockets, logging and HTTP clients

   The input and output that the core leaves to the programs.  */

#ifndef IO_H
#define IO_H

#include "boragelatch.h"

/* -- clock -- */

/* Returns the time of the monotonic clock in milliseconds.  */
uint64_t io_now_ms (void);
/* Returns the time in milliseconds since 1970, from which incarnations are
   taken.  */
uint64_t io_wall_ms (void);

/* -- logging: one line of key=value pairs per event -- */

enum io_level
{
  IO_ERROR,
  IO_WARN,
  IO_INFO,
  IO_DEBUG,
};

/* Opens the log on standard output.  LEVEL is "error", "warn", "info" or
   "debug"; returns BL_EFORMAT for any other text.  */
int io_log_open (const char *level);
/* Changes the level; returns BL_EFORMAT if LEVEL is not a level.  */
int io_log_set_level (const char *level);
void io_log_close (void);
/* Logs "event=EVENT" followed by the pairs that FORMAT produces.  A value that
   may contain a space must be quoted in FORMAT.  Has no effect while the log
   is closed.  */
void io_log (enum io_level level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Limits an event to one log line per interval and counts the events that are
   suppressed.  Zero-initialise before use.  */
struct io_rate_limit
{
  uint64_t interval_end_ms; /* end of the current interval */
  uint64_t suppressed;      /* events since the last one that was allowed */
};
/* Returns true if the event may be logged at NOW, and stores in *SUPPRESSED how
   many events were suppressed since the last event that was allowed.  */
bool io_rate_limit_allow (struct io_rate_limit *limit,
                          uint64_t now,
                          uint64_t interval_ms,
                          uint64_t *suppressed);

/* Prints the stored findings to standard error, one per line.  */
void io_print_findings (const struct bl_findings *findings);

/* -- event loop -- */

struct io_loop;

/* A file descriptor watched by a loop.  Embed it as the first member of the
   structure that READY works on, so that READY can cast SOURCE to it.  */
struct io_source
{
  int fd;
  uint32_t events; /* EPOLL* flags to wait for */
  void (*ready) (struct io_source *source, uint32_t events);
};

struct io_loop *io_loop_new (void);
void io_loop_free (struct io_loop *loop);
/* io_loop_add and io_loop_change return 0, or -1 with errno set.  The loop
   keeps a pointer to SOURCE until io_loop_remove.  */
int io_loop_add (struct io_loop *loop, struct io_source *source);
int io_loop_change (struct io_loop *loop,
                    struct io_source *source,
                    uint32_t events);
void io_loop_remove (struct io_loop *loop, struct io_source *source);
/* Sets functions that are called before and after the handling of events, so
   that handlers can share data with other threads; NULL for none.  */
void io_loop_set_lock (struct io_loop *loop,
                       void (*lock) (void *ctx),
                       void (*unlock) (void *ctx),
                       void *ctx);
/* Sets a function that is called about every INTERVAL_MS, with the lock held.
   The default interval is 1000 ms.  */
void io_loop_set_tick (struct io_loop *loop,
                       int interval_ms,
                       void (*tick) (void *ctx),
                       void *ctx);
/* Handles events until io_loop_stop is called or epoll_wait fails.  */
void io_loop_run (struct io_loop *loop);
/* Ends io_loop_run after the current round of events.  May be called from a
   signal handler.  */
void io_loop_stop (struct io_loop *loop);

/* -- UDP -- */

/* Opens a non-blocking UDP socket with large buffers and binds it to ADDR.  If
   the port is 0, the kernel chooses a free one, which is stored in ADDR.
   Returns the descriptor, or a negative errno.  */
int io_udp_open (struct bl_addr *addr);
/* Sends a datagram without blocking.  Returns the bytes sent, or -1.  */
int io_udp_send (int fd, struct bl_addr to, const void *buf, size_t len);
/* Sends HEAD and BODY as one datagram; BODY may be empty.  Returns the bytes
   sent, or -1.  */
int io_udp_send_parts (int fd,
                       struct bl_addr to,
                       const void *head,
                       size_t head_len,
                       const void *body,
                       size_t body_len);
/* Makes the kernel queue the ICMP errors that it receives for datagrams sent
   on FD (IP_RECVERR).  */
void io_udp_enable_error_queue (int fd);
/* Takes the next "port unreachable" error from the queue and stores in TO the
   destination of the datagram that caused it.  Returns 0, or -1 if there is
   none.  */
int io_udp_receive_port_unreachable (int fd, struct bl_addr *to);
/* Receives one datagram into BUF; FROM may be NULL.  Returns its length, or -1
   if there is none.  */
int io_udp_receive (int fd, struct bl_addr *from, void *buf, size_t cap);

#define IO_BATCH_MAX 64 /* datagrams per system call */

/* Datagrams received with one system call, and those of them that are queued
   for sending with one.  */
struct io_batch;
struct io_batch *io_batch_new (void);
void io_batch_free (struct io_batch *batch);
/* Receives up to IO_BATCH_MAX datagrams and empties the send queue.  Returns
   the number of datagrams, 0 if there are none.  */
int io_batch_receive (struct io_batch *batch, int fd);
/* Returns datagram I and stores its length in *LEN.  The buffer is overwritten
   by the next io_batch_receive.  */
uint8_t *io_batch_data (struct io_batch *batch, int i, size_t *len);
/* Queues HEADER followed by the received datagram I for sending to TO.  The
   datagram is not copied.  At most IO_BATCH_MAX datagrams can be queued.  */
void io_batch_queue (struct io_batch *batch,
                     int i,
                     struct bl_addr to,
                     const uint8_t *header,
                     size_t header_len);
/* Sends the queued datagrams.  Those that the kernel does not accept are
   dropped.  */
void io_batch_flush (struct io_batch *batch, int fd);

/* -- TCP -- */

/* Starts to connect a non-blocking TCP socket; returns the descriptor, or -1
   with errno set.  */
int io_tcp_connect (struct bl_addr to);

/* Opens a non-blocking TCP socket that listens on ADDR; returns the descriptor,
   or -1 with errno set.  */
int io_tcp_listen (struct bl_addr addr);

/* -- bulk transfers over ZeroMQ -- */

/* Server for the pull requests of other processes, and client for sending such
   requests to them.  */
struct io_bulk;

struct io_bulk_ops
{
  /* Handles a request of another process.  Returns the reply, which is copied,
     and its length in *REPLY_LEN, or NULL to send none.  Not called if the
     server is not bound.  */
  const uint8_t *(*request) (void *ctx,
                             const uint8_t *buf,
                             size_t len,
                             size_t *reply_len);
  /* Handles the reply to a request that io_bulk_pull sent.  */
  void (*reply) (void *ctx, const uint8_t *buf, size_t len);
};

/* Binds the server to ADDR, unless the port is 0, and adds its sockets to LOOP.
   Returns NULL on failure.  */
struct io_bulk *io_bulk_new (struct io_loop *loop,
                             struct bl_addr addr,
                             const struct io_bulk_ops *ops,
                             void *ctx);
void io_bulk_free (struct io_bulk *bulk);
/* Sends a pull request.  It is dropped without an error if it cannot be sent;
   the caller has to send it again if no reply arrives.  */
void io_bulk_pull (struct io_bulk *bulk,
                   struct bl_addr to,
                   const uint8_t *buf,
                   size_t len);
/* Handles all messages that have arrived.  Must also be called at every tick,
   since the descriptors of ZeroMQ are edge-triggered.  */
void io_bulk_poll (struct io_bulk *bulk);

/* -- client of the platform's object API, a key-value store -- */

enum io_kv_result
{
  IO_KV_OK,
  IO_KV_UNCHANGED, /* a watch ended without a change */
  IO_KV_NOT_FOUND,
  IO_KV_CONFLICT, /* the version is not the expected one */
  IO_KV_UNKNOWN,  /* no usable response: a write may have taken effect */
  IO_KV_RESTORED, /* the platform was restored from an older copy since the
                     position that the call was given */
  IO_KV_REFUSED,  /* invalid request, so a retry fails as well; a call
                           that returns an object stores the reason in TEXT */
};

struct io_kv;

/* The version of an object.  When the platform is restored from an older copy,
   it begins a new era, in which it gives out versions of the last one again. */
struct io_kv_position
{
  uint64_t era;     /* 0: the platform states none */
  uint64_t version; /* 0: no object */
};

/* Value and version of an object, or the body of a response.  Zero-initialise
   before use; free with io_object_clear.  */
struct io_object
{
  uint64_t version;
  uint64_t era; /* in which the platform answered; 0: it stated none */
  char *text;   /* owned; null-terminated; NULL if empty */
  size_t len;
};

void io_object_clear (struct io_object *object);

/* Creates a client of the API at URL.  A client must be used by one thread
   only, except for io_kv_cancel.  RANDOM_SEED is for the jitter of the
   back-off.  Returns NULL on failure.  */
struct io_kv *io_kv_new (const char *url, uint64_t random_seed);
void io_kv_free (struct io_kv *kv);
/* Reads the object KEY.  */
enum io_kv_result
io_kv_get (struct io_kv *kv, const char *key, struct io_object *out);
/* Waits up to TIMEOUT_S until the version of the object KEY differs from that
   of SEEN, and reads the object.  Returns IO_KV_RESTORED if the version is the
   same but in another era.  */
enum io_kv_result io_kv_watch (struct io_kv *kv,
                               const char *key,
                               struct io_kv_position seen,
                               unsigned timeout_s,
                               struct io_object *out);
/* Writes the object KEY if its version is that of EXPECTED, or creates it if
   that is 0.  Stores what the platform returned in *POSITION, version 0 if it
   returned none.  If the platform does so in another era than that of EXPECTED,
   the version was perhaps that of another change; the result is then
   IO_KV_RESTORED although the write took effect.  Returns IO_KV_REFUSED if LEN
   is above BL_VALUE_MAX_BYTES.  */
enum io_kv_result io_kv_put (struct io_kv *kv,
                             const char *key,
                             struct io_kv_position expected,
                             const char *text,
                             size_t len,
                             struct io_kv_position *position);
#define IO_KV_ANY_VERSION UINT64_MAX

/* Deletes the object KEY if its version is EXPECTED, or in any version if
   EXPECTED is IO_KV_ANY_VERSION.  */
enum io_kv_result
io_kv_delete (struct io_kv *kv, const char *key, uint64_t expected);
/* Returns the time in milliseconds to wait before retry ATTEMPT, counted from
   1: exponential back-off with jitter.  */
unsigned io_kv_backoff_ms (struct io_kv *kv, unsigned attempt);
/* Aborts the call in progress and all later ones.  May be called from another
   thread.  */
void io_kv_cancel (struct io_kv *kv);
/* Returns the number of calls made so far.  */
uint64_t io_kv_calls (const struct io_kv *kv);

/* -- single HTTP requests -- */

/* Initialises libcurl.  Must be called before libcurl is used directly.
   Repeated calls have no effect.  */
void io_http_init (void);

/* Sends a request with METHOD; BODY may be NULL.  Stores the body of the
   response in OUT.  Returns the HTTP status, or 0 if there was no response.  */
long io_http_request (const char *method,
                      const char *url,
                      const char *body,
                      unsigned timeout_ms,
                      struct io_object *out);

#endif
