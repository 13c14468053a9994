/* daemon.h -- the roles of the daemon and the modules that they share  */

#ifndef DAEMON_H
#define DAEMON_H

#include "core/handover.h"
#include "core/histogram.h"
#include "daemon/settings.h"
#include "io/io.h"

#include <pthread.h>

/* Each function runs its role until the process is requested to stop, and
   returns the exit status.  */
int balancer_run (const struct settings *settings);
int agent_run (const struct settings *settings);
/* These functions run the roles of the datagram transport, where backend
   servers terminate TCP connections themselves.  */
int dispatcher_run (const struct settings *settings);
int passthrough_run (const struct settings *settings);

/* Returns true once SIGTERM or SIGINT has been received.  */
bool daemon_stop_requested (void);
/* Returns true if SIGHUP was received since the last call, and clears the
   request.  */
bool daemon_take_reload_request (void);

/* Protects the state that a role's threads share.  It is the first member of
   the structure of a role, so daemon_lock and daemon_unlock take the address of
   that structure.  */
struct daemon_lock
{
  pthread_mutex_t mutex;
};

void daemon_lock (void *role);
void daemon_unlock (void *role);

/* Opens a UDP socket on IP and PORT and adds it to LOOP as SOURCE.  Returns 0,
   or -1 on failure; a socket that cannot be bound is logged.  */
int daemon_open_udp (struct io_loop *loop,
                     struct io_source *source,
                     uint32_t ip,
                     unsigned long port,
                     void (*ready) (struct io_source *source, uint32_t events));

struct json_t;

/* -- admin server -- */

/* An HTTP server for health, metrics and administration.  */
struct admin;

/* A null-terminated string that grows as text is appended.  Zero-initialise
   before use; free PTR after use.  */
struct strbuf
{
  char *ptr; /* owned */
  size_t len;
  size_t cap;
};
/* Appends formatted text, at most 511 bytes of it; the rest is cut off.  */
void strbuf_printf (struct strbuf *text, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Appends MORE; leaves TEXT unchanged if out of memory.  */
void strbuf_append (struct strbuf *text, struct bl_str more);

/* Callbacks into a role.  READY, METRICS, STATUS and DRAIN are called with the
   role's lock held, which LOCK and UNLOCK take and release.  */
struct admin_ops
{
  bool (*ready) (void *ctx); /* new work may be sent to this instance */
  void (*metrics) (void *ctx, struct strbuf *out); /* appends all metrics */
  struct json_t *(*status) (void *ctx);            /* new reference */
  void (*drain) (void *ctx); /* starts to drain this instance */
  void (*lock) (void *ctx);
  void (*unlock) (void *ctx);
};

/* Starts a server on ADDR, and on EXTRA_PORT of the same IP address unless it
   is 0.  Returns NULL when either cannot be bound.  */
struct admin *admin_start (struct bl_addr addr,
                           unsigned long extra_port,
                           const struct admin_ops *ops,
                           void *ctx);
void admin_stop (struct admin *admin);

/* A request to a path that a role added, and the body of the response to fill
 * in.  */
struct admin_request
{
  struct bl_str method;
  struct bl_str path;
  struct bl_str body;
  struct strbuf *response; /* JSON */
};
/* Registers HANDLER for requests whose path matches PATTERN.  It is called with
   the role's lock held and returns the HTTP status.  At most four handlers can
   be added to a server.  */
void admin_add_handler (struct admin *admin,
                        const char *pattern,
                        int (*handler) (void *ctx,
                                        const struct admin_request *r));
/* Appends a counter or gauge in the Prometheus text format.  TYPE is "counter"
   or "gauge"; LABELS includes the braces, or is "" for none.  */
void metric_add (struct strbuf *out,
                 const char *type,
                 const char *name,
                 const char *labels,
                 uint64_t value);

/* Appends a histogram of milliseconds; LABELS is without braces and not
   empty.  */
void metric_add_histogram (struct strbuf *out,
                           const char *name,
                           const char *labels,
                           const struct bl_histogram *h);

/* -- relay -- */

/* Reads the configuration from the platform, on a thread of its own, while this
   instance is a relay.  */
struct relay;

/* Called from the relay's thread, without the role's lock held.  */
struct relay_ops
{
  bool (*enabled) (void *ctx);     /* true while this instance is a relay */
  uint64_t (*version) (void *ctx); /* version of the configuration held */
  /* Applies the services changed after version FROM, up to version UP_TO.
     Takes ownership of SERVICES when it returns BL_OK; BL_ESTALE when
     UP_TO is not newer than the version held.  */
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
/* To be called after relay_stop.  */
void relay_free (struct relay *relay);
/* Returns the number of calls made to the platform.  */
uint64_t relay_calls (const struct relay *relay);

/* -- the platform's store -- */

/* Writes this instance's membership record to the store, on a thread of its
   own.  */
struct registry;

/* READ_HANDOVER is true for agents, which read what their earlier process left
   in the store.  */
struct registry *
registry_start (struct bl_addr store, uint64_t random_seed, bool read_handover);
/* Schedules a copy of RECORD to be written; it replaces a record that is not
   written yet.  */
void registry_publish (struct registry *registry,
                       const struct bl_record *record);
/* Stores in RECORD what the store held under this instance's name before the
   first write, all zero if that is not a record, and in FOUND whether it held
   anything.  Returns false until the store has been read.  */
bool registry_previous (struct registry *registry,
                        struct bl_record *record,
                        bool *found);
/* Returns the version of the record that the store has acknowledged last; 0:
   none.  */
uint32_t registry_recorded (struct registry *registry);
/* Writes HANDOVER, of which it takes ownership, before any other call.  */
void registry_hand_over (struct registry *registry,
                         struct bl_handover *handover);
/* Returns true if no handover waits to be written.  */
bool registry_is_handed_over (struct registry *registry);
/* Passes what an earlier process of this agent left in the store to OUT, which
   must then be released with bl_handover_clear, and stores in *ERA the era in
   which the store gave it.  Returns true once, when it was read; false as long
   as it was not, or if there is none.  */
bool registry_take_over (struct registry *registry,
                         struct bl_handover *out,
                         uint64_t *era);
/* Returns true if no handover of an earlier process can be had any more.  */
bool registry_is_taken_over (struct registry *registry);
/* Notes that the store is in ERA, as heard from anybody.  If the record was
   written in an earlier one, it is checked and, if the store lacks it, written
   again.  */
void registry_note_era (struct registry *registry, uint64_t era);
/* Ends the thread.  If WITHDRAW, first tries once to delete the record, which
   fails if the store does not answer soon; otherwise cancels a call under
   way.  */
void registry_stop (struct registry *registry, bool withdraw);
/* To be called after registry_stop.  */
void registry_free (struct registry *registry);
/* Returns the number of calls made to the store.  */
uint64_t registry_calls (const struct registry *registry);

/* Follows all objects of one kind in the store, on a thread of its own.  */
struct follower;

struct follower_settings
{
  struct bl_addr store;
  const char *kind;
  /* Longest wait of a watch.  Each wait is chosen at random between half of it
     and all of it.  */
  unsigned wait_ms;
  /* Pause after a change, so that the next call returns several changes.  */
  unsigned pause_ms;
  /* Accept answers that may be seconds old; such calls cost less.  */
  bool allow_stale;
  uint64_t random_seed;
};

/* Called from the follower's thread.  */
struct follower_ops
{
  /* Called for each object of a list and each change.  TEXT is the content as
     JSON, NULL when the object was removed.  */
  void (*visit) (void *ctx,
                 struct bl_str name,
                 uint64_t revision,
                 const char *text);
  /* Called when all objects of a list have been visited; may be NULL.  */
  void (*listed) (void *ctx);
  /* Called when an answer of the store states a later era; may be NULL.  */
  void (*restored) (void *ctx, uint64_t era);
};

struct follower *follower_start (const struct follower_settings *settings,
                                 const struct follower_ops *ops,
                                 void *ctx);
void follower_stop (struct follower *follower);
/* To be called after follower_stop.  */
void follower_free (struct follower *follower);
/* Changes the longest wait of the next watches.  Any thread may call it.  */
void follower_set_wait (struct follower *follower, unsigned wait_ms);
/* Sets the time over which the followers of all instances spread the lists that
   they make again when the store has lost their positions.  Any thread may call
   it.  */
void follower_set_relist_spread (struct follower *follower, unsigned spread_ms);
/* Returns the number of calls made to the store.  */
uint64_t follower_calls (const struct follower *follower);

/* -- end of a process -- */

#define CLOSING_MAX_MS 800 /* until the process ends all the same */

/* Closes what a role has opened, on a thread of its own.  */
struct closing;

/* Returns NULL if the thread cannot be started.  CLOSE must not free what the
   event loop uses.  */
struct closing *closing_start (void (*close) (void *ctx), void *ctx);
/* Returns true when all is closed, or has taken too long.  */
bool closing_is_over (const struct closing *closing);
/* To be called after the event loop has ended.  Ends the process at once if not
   all is closed; else frees CLOSING.  */
void closing_finish (struct closing *closing);

/* -- documents of other instances -- */

/* Reads the document at one HTTP path from other instances, on a thread of its
   own.  */
struct puller;

/* RECEIVED is called for each document read, from the puller's thread.  */
struct puller *puller_start (const char *path,
                             void (*received) (void *ctx,
                                               struct bl_addr from,
                                               struct bl_str text),
                             void *ctx);
/* Schedules a read from the instance whose HTTP address is FROM.  Does nothing
   while another read is scheduled or under way.  */
void puller_request (struct puller *puller, struct bl_addr from);
void puller_stop (struct puller *puller);
/* To be called after puller_stop.  */
void puller_free (struct puller *puller);

/* -- log of decisions -- */

/* Limits the logged decisions to LINES_S lines a second for each event name,
   and counts the lines that are suppressed.  */
struct decision_log;

struct decision_log *decision_log_new (unsigned lines_s);
void decision_log_free (struct decision_log *log);
void decision_log_set_limit (struct decision_log *log, unsigned lines_s);
/* Reads the settings that may change at run time from the reload file that S
   names, and applies them.  To be called after SIGHUP.  */
void decision_log_reload (struct decision_log *log, const struct settings *s);
/* Returns true if a line for the event EVENT_NAME, a string literal, may be
   logged now; *SUPPRESSED is then the number of its lines suppressed since the
   last line that was logged.  */
bool decision_log_allow (struct decision_log *log,
                         uint64_t now,
                         const char *event_name,
                         uint64_t *suppressed);
#define RECORD_VERSION_TEXT_MAX 48 /* bytes */
/* Formats the version of a record, "INCARNATION.SEQ", into BUF of
   RECORD_VERSION_TEXT_MAX bytes.  Returns BUF, or "-" if RECORD is NULL.  */
const char *record_version_format (const struct bl_record *record, char *buf);
#define FLOW_TEXT_MAX 64 /* bytes */
/* Formats source and destination of a flow, as "1.2.3.4:5-6.7.8.9:10", into BUF
   of FLOW_TEXT_MAX bytes.  Returns BUF, or "-" if FLOW is NULL.  */
const char *flow_format (const struct bl_flow_key *flow, char *buf);

/* -- proxy -- */

/* Forwards between callers' connections, which lwIP terminates, and connections
   to the backend server.  */
struct proxy;

struct proxy_ops
{
  /* Called when a caller's connection has been removed.  */
  void (*closed) (void *ctx, const struct bl_flow_key *key);
  /* Called with the outcome of each connection attempt to the backend
     server.  */
  void (*connected) (void *ctx, bool success);
};

struct proxy_stats
{
  /* Callers' connections.  */
  uint64_t accepted;
  uint64_t refused;   /* before any byte was sent to the backend server */
  uint64_t broken;    /* ended by a fault, or reset by the caller */
  uint64_t finished;  /* closed by both sides */
  uint64_t bytes_in;  /* from callers to the backend server */
  uint64_t bytes_out; /* from the backend server to callers */
  size_t open;        /* connections now */
  size_t running;     /* requests that hold a slot: not answered yet */
  size_t waiting;     /* requests that wait for a slot */
};

struct bl_admit;

/* BACKEND is the address of the backend server, SLOTS the number of requests
   that it runs at once.  */
struct proxy *proxy_new (struct io_loop *loop,
                         struct bl_addr backend,
                         uint32_t slots,
                         uint64_t random_seed,
                         const struct proxy_ops *ops,
                         void *ctx);
void proxy_free (struct proxy *proxy);
/* Listens on the ports of SERVICE, and closes listeners on other ports.  */
void proxy_configure (struct proxy *proxy, const struct bl_service *service);
struct proxy_stats proxy_stats (const struct proxy *proxy);
/* Refuses requests that have waited too long for a slot, and runs those that
   can run now; to be called at each tick.  */
void proxy_tick (struct proxy *proxy);
/* Returns the admission of requests, which holds the histograms and counters of
   each class.  */
const struct bl_admit *proxy_admit (const struct proxy *proxy);

#endif
