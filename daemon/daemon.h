/* daemon.h -- the two roles of the daemon  */

#ifndef DAEMON_H
#define DAEMON_H

#include "core/histogram.h"
#include "daemon/settings.h"
#include "io/io.h"

#include <pthread.h>

/* Each runs its role until it is stopped; returns the exit status.  */
int balancer_run (const struct settings *settings);
int agent_run (const struct settings *settings);
/* The same roles where backend servers end flows themselves.  */
int dispatcher_run (const struct settings *settings);
int passthrough_run (const struct settings *settings);

/* True once SIGTERM or SIGINT has come.  */
bool daemon_stop_requested (void);
/* True once after each SIGHUP.  */
bool daemon_take_reload_request (void);

/* What a role's threads share.  The first member of a role, whose address is
   what daemon_lock and daemon_unlock are given.  */
struct daemon_lock
{
  pthread_mutex_t mutex;
};

void daemon_lock (void *role);
void daemon_unlock (void *role);

/* Opens a UDP socket on IP and PORT and adds it to LOOP as SOURCE; a failure is
   logged.  0, or -1.  */
int daemon_open_udp (struct io_loop *loop,
                     struct io_source *source,
                     uint32_t ip,
                     unsigned long port,
                     void (*ready) (struct io_source *source, uint32_t events));

struct json_t;

/* -- admin server -- */

struct admin;

/* Text that grows; used for metrics.  */
struct text
{
  char *ptr; /* owned */
  size_t len;
  size_t cap;
};
void text_printf (struct text *text, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

void text_append (struct text *text, struct bl_str more);

/* What a role serves.  Every function is called with the lock held.  */
struct admin_ops
{
  bool (*ready) (void *ctx);
  void (*metrics) (void *ctx, struct text *out);
  struct json_t *(*status) (void *ctx); /* new reference */
  void (*drain) (void *ctx);
  void (*lock) (void *ctx);
  void (*unlock) (void *ctx);
};

/* Serves at ADDR, and at EXTRA_PORT of the same instance unless it is 0.  NULL
   when either cannot be had.  */
struct admin *admin_start (struct bl_addr addr,
                           unsigned long extra_port,
                           const struct admin_ops *ops,
                           void *ctx);
void admin_stop (struct admin *admin);

/* A request to a path that a role adds, and its answer.  */
struct admin_request
{
  struct bl_str method;
  struct bl_str path;
  struct bl_str body;
  struct text *answer; /* JSON */
};
/* Calls HANDLER, with the lock held, for requests whose path matches PATTERN;
   it returns the status.  */
void admin_add_handler (struct admin *admin,
                        const char *pattern,
                        int (*handler) (void *ctx,
                                        const struct admin_request *r));
/* Adds one counter or gauge in the Prometheus text format; LABELS may be
   "".  */
void metric_add (struct text *out,
                 const char *type,
                 const char *name,
                 const char *labels,
                 uint64_t value);

/* Adds a histogram of milliseconds; LABELS without braces.  */
void metric_add_histogram (struct text *out,
                           const char *name,
                           const char *labels,
                           const struct bl_histogram *h);

/* -- relay -- */

/* Watches the platform on a thread of its own while it is told to.  */
struct relay;

struct relay_ops
{
  bool (*enabled) (void *ctx);     /* is this instance a relay */
  uint64_t (*version) (void *ctx); /* held configuration */
  /* Takes ownership of SERVICES when it returns BL_OK.  */
  int (*configure) (void *ctx,
                    uint64_t from,
                    uint64_t up_to,
                    struct bl_service **services,
                    size_t count);
};

struct relay *relay_start (const char *url,
                           uint64_t random_seed,
                           const struct relay_ops *ops,
                           void *ctx);
void relay_stop (struct relay *relay);
uint64_t relay_calls (const struct relay *relay);

/* -- the platform's store -- */

/* Keeps the own record in the store, from a thread of its own.  */
struct registry;

struct registry *registry_start (struct bl_addr store, uint64_t random_seed);
/* Takes a copy, which replaces one that was not written yet.  */
void registry_publish (struct registry *registry,
                       const struct bl_record *record);
/* Ends the thread; WITHDRAW removes the record first, if the store answers
   soon.  */
void registry_stop (struct registry *registry, bool withdraw);
uint64_t registry_calls (const struct registry *registry);

/* Follows all objects of one kind, from a thread of its own.  */
struct follower;

struct follower_settings
{
  struct bl_addr store;
  const char *kind;
  unsigned wait_ms;  /* of one watch, at most; half of it at least */
  unsigned pause_ms; /* after a change, so that others join it in one call */
  bool allow_stale;  /* may be seconds old, for less */
  uint64_t random_seed;
};

struct follower_ops
{
  /* TEXT is NULL when the object was removed.  */
  void (*visit) (void *ctx,
                 struct bl_str name,
                 uint64_t revision,
                 const char *text);
  /* All objects have been visited; NULL: not wanted.  */
  void (*listed) (void *ctx);
};

/* The operations are called from the follower's thread.  */
struct follower *follower_start (const struct follower_settings *settings,
                                 const struct follower_ops *ops,
                                 void *ctx);
void follower_stop (struct follower *follower);
/* Changes how long the next watches wait; from any thread.  */
void follower_set_wait (struct follower *follower, unsigned wait_ms);
uint64_t follower_calls (const struct follower *follower);

/* -- documents of other instances -- */

/* Reads PATH from instances that are asked for it, on a thread of its own;
   RECEIVED is called from there.  */
struct puller;

struct puller *puller_start (const char *path,
                             void (*received) (void *ctx,
                                               struct bl_addr from,
                                               struct bl_str text),
                             void *ctx);
/* One read at a time: left out while another is under way.  */
void puller_request (struct puller *puller, struct bl_addr from);
void puller_stop (struct puller *puller);

/* -- log of decisions -- */

/* Lets so many lines of each kind through a second, and counts the rest.  */
struct decision_log;

struct decision_log *decision_log_new (unsigned lines_s);
void decision_log_free (struct decision_log *log);
void decision_log_set_limit (struct decision_log *log, unsigned lines_s);
/* After SIGHUP: reads what may change and puts it in force.  */
void decision_log_reload (struct decision_log *log, const struct settings *s);
/* False: the line is left out.  *SUPPRESSED were, before this one.  */
bool decision_log_allow (struct decision_log *log,
                         uint64_t now,
                         const char *what,
                         uint64_t *suppressed);
#define RECORD_TEXT_MAX 48
/* The version of a record, "INCARNATION.SEQ", or "-" for NULL.  */
const char *record_format (const struct bl_record *record, char *buf);
#define FLOW_TEXT_MAX 64
/* "1.2.3.4:5-6.7.8.9:10", or "-" for NULL.  */
const char *flow_format (const struct bl_flow_key *flow, char *buf);

/* -- proxy -- */

/* Joins callers' connections, ended by lwIP, to the backend server.  */
struct proxy;

struct proxy_ops
{
  /* A connection is gone.  */
  void (*closed) (void *ctx, const struct bl_flow_key *key);
  /* The backend server took a connection, or did not.  */
  void (*connected) (void *ctx, bool success);
};

struct proxy_stats
{
  uint64_t accepted;
  uint64_t refused;
  uint64_t broken; /* ended by a fault after bytes had passed */
  uint64_t finished;
  uint64_t bytes_in;
  uint64_t bytes_out;
  size_t open;
  size_t running; /* waiting for the backend server to answer */
  size_t waiting; /* for a slot */
};

struct bl_admit;

/* SLOTS: requests that the backend server runs at once.  */
struct proxy *proxy_new (struct io_loop *loop,
                         struct bl_addr backend,
                         uint32_t slots,
                         uint64_t random_seed,
                         const struct proxy_ops *ops,
                         void *ctx);
void proxy_free (struct proxy *proxy);
/* Listens on the ports of SERVICE; those of before that are gone are
   closed.  */
void proxy_configure (struct proxy *proxy, const struct bl_service *service);
struct proxy_stats proxy_stats (const struct proxy *proxy);
/* Gives up requests whose wait is over; to be called at each tick.  */
void proxy_tick (struct proxy *proxy);
/* Who waits, runs and is refused, by class.  */
const struct bl_admit *proxy_admit (const struct proxy *proxy);

#endif
