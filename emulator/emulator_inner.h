/* emulator_inner.h -- internal structures of an emulator, shared by its modules

   Events refer to balancers, servers and callers by index.  Each process counts
   its starts, and an event for a process carries that count, so that an event
   of an earlier start has no effect.  */

#ifndef EMULATOR_INNER_H
#define EMULATOR_INNER_H

#include "emulator/emulator.h"
#include "emulator/events.h"

#define EM_BALANCERS_MAX 64
#define EM_SERVERS_MAX   256
#define EM_QUEUE_MAX     64 /* requests that wait at a server */

/* A simulated process of a balancer or agent.  */
struct em_process
{
  bool alive;
  unsigned dc;
  uint64_t generation;            /* number of its starts */
  uint64_t disconnected_until_us; /* cut off from the network until then */
};

struct em_balancer
{
  struct em *em;
  size_t index;
  struct em_process process;
  struct bl_record self;
  struct bl_dispatch *core; /* owned */
  unsigned failed_probes;   /* consecutive probes that found it not ready */
  uint64_t store_disconnected_until_us; /* no records until then */
};

/* A flow at a backend server.  */
struct em_server_flow;

/* A request at a backend server, running or in the queue.  */
struct em_server_request
{
  struct bl_flow_key key;
  uint32_t request_seq; /* sequence number of the request packet */
};

/* A backend server and its agent.  */
struct em_server
{
  struct em *em;
  size_t index;
  unsigned service;
  uint32_t ip;
  struct em_process agent;
  struct bl_passthrough *core; /* owned */
  struct bl_record published;  /* the agent's record in the store */
  struct bl_handover handover; /* owned; the agent's flow table there */
  bool alive;                  /* the backend server */
  uint64_t generation;         /* number of the backend server's starts */
  uint64_t start_time_ms;      /* time of day of the last start */
  uint64_t started_us;         /* simulated time of the last start */
  uint64_t heartbeats_sent;    /* since the last start */
  bool draining;
  uint64_t drain_reported_us;   /* drain reached the agent; 0: not yet */
  double slowness;              /* factor of the time that requests run */
  struct em_server_flow *flows; /* owned */
  unsigned running;             /* requests */
  unsigned queued;              /* requests in QUEUE */
  struct em_server_request queue[EM_QUEUE_MAX];
  uint64_t requests_started; /* requests that began to run */
  uint64_t flows_opened;
};

enum em_caller_state
{
  EM_PAUSING, /* between two requests */
  EM_OPENING, /* waits for the acceptance of a flow */
  EM_WAITING, /* waits for an answer */
};

#define EM_ATTEMPTS_KEPT 8

/* An attempt of a caller: a request that was sent on a flow.  */
struct em_attempt
{
  uint64_t request_number;
  uint32_t seq; /* sequence number of the request packet */
  uint16_t port;
  bool has_run;
};

/* A caller, which has one request or none in progress.  */
struct em_caller
{
  unsigned class;
  unsigned dc;
  enum em_caller_state state;
  uint16_t port; /* source port of the present flow */
  bool flow_open;
  uint32_t seq;            /* sequence number of the next packet */
  uint32_t ack;            /* sequence number expected from the server */
  uint64_t requested_us;   /* start of the present request */
  uint64_t request_number; /* identifies the present request */
  /* Changes with each change of state; timers of an earlier value are void.  */
  uint64_t timer_generation;
  unsigned retry_count;                         /* of the present request */
  bool may_have_run;                            /* the present request */
  size_t attempt_count;                         /* since the start */
  struct em_attempt attempts[EM_ATTEMPTS_KEPT]; /* the last ones, a ring */
};

struct em
{
  struct em_settings settings;
  struct bl_random random;
  struct events events;
  uint64_t now_us;
  bool store_up;
  int64_t clock_offset_ms; /* of the time of day that new processes read */
  bool trace;              /* writes decisions of the core to stderr */
  uint64_t routes_version;
  size_t omitted_class; /* without a route; EM_CLASSES_MAX: none */
  double load_factor;
  struct bl_name dc_names[EM_DCS_MAX];
  struct bl_name service_names[EM_SERVICES_MAX];
  size_t balancer_count;
  struct em_balancer balancers[EM_BALANCERS_MAX];
  size_t server_count;
  struct em_server servers[EM_SERVERS_MAX];
  size_t caller_count;
  struct em_caller *callers; /* owned */
  struct em_totals totals;
};

/* -- emulator.c -- */

/* A random number of an exponential distribution.  */
double em_random_exponential (struct em *em, double mean);
/* Schedules CALLBACK after AFTER_US with LEN bytes of data.  The caller fills
   in the event's tag and data.  */
struct event *em_post (struct em *em,
                       double after_us,
                       void (*callback) (void *ctx, struct event *event),
                       size_t index,
                       size_t len);
/* Sends a packet of a caller in data centre DC to the balancer that the routers
   choose.  */
void em_send_from_caller (struct em *em,
                          unsigned dc,
                          const struct bl_packet *packet);
/* Passes a packet of the backend server to its agent.  RETURNED: it is a packet
   of a caller that the server does not take, delivered with TOKEN.  */
void em_server_send (struct em_server *s,
                     const struct bl_packet *packet,
                     bool returned,
                     uint32_t token);
/* Returns true if the agent of S can call the platform's store.  */
bool em_agent_reaches_store (const struct em_server *s);
/* A new table of the current routes, to be freed or passed on; NULL when out of
   memory.  */
struct bl_route_table *em_route_table (struct em *em);
/* Returns the key of a flow from the given port of a caller.  */
struct bl_flow_key em_caller_flow_key (const struct em *em,
                                       size_t caller,
                                       unsigned class,
                                       uint16_t port);
/* Returns the index of the caller that a flow belongs to.  */
size_t em_caller_index (const struct bl_flow_key *key);

/* The present time as passed to the core, in milliseconds.  */
uint64_t em_core_now_ms (const struct em *em);
/* The time of day that a process reads which starts now, milliseconds since
   1970.  */
uint64_t em_time_of_day (const struct em *em);
/* Events: start the server, send a heartbeat, or restart the process with the
   index of E.  */
void em_start_server (void *ctx, struct event *e);
void em_send_heartbeat (void *ctx, struct event *e);
void em_restart_agent (void *ctx, struct event *e);
void em_restart_balancer (void *ctx, struct event *e);

/* -- emulator_server.c -- */

/* Handles a packet that the agent delivers with TOKEN.  */
void em_server_receive (struct em_server *s,
                        const struct bl_packet *packet,
                        uint32_t token);
/* Drops all flows and requests of a server.  */
void em_server_clear (struct em_server *s);
/* True if a backend server that runs and is connected holds the open flow
   KEY.  */
bool em_server_holds_flow (const struct em *em, const struct bl_flow_key *key);

/* -- emulator_callers.c -- */

/* Counts the run of the request packet with sequence number SEQ on a flow, if
   the request must not run twice and has run before.  */
void em_note_run (struct em *em, const struct bl_flow_key *key, uint32_t seq);
/* Creates the callers, each in a pause.  */
void em_start_callers (struct em *em);
/* Sends a packet of a backend server to its caller; it arrives after the delay
   of the network.  */
void em_send_to_caller (struct em *em,
                        const struct em_server *from,
                        const struct bl_packet *packet);
/* Sends the caller a reset of flow KEY from the process FROM.  */
void em_send_reset_to_caller (struct em *em,
                              const struct bl_flow_key *key,
                              const struct em_process *from);

#endif
