/* emulator_inner.h -- the inside of an emulator, shared by its modules  */

#ifndef EMULATOR_INNER_H
#define EMULATOR_INNER_H

#include "emulator/emulator.h"
#include "emulator/events.h"

#define EM_BALANCERS_MAX 64
#define EM_SERVERS_MAX   256
#define EM_QUEUE_MAX     64

struct em_process
{
  bool alive;
  unsigned dc;
  uint64_t generation;            /* counts its starts */
  uint64_t disconnected_until_us; /* microseconds */
};

struct em_balancer
{
  struct em *em;
  size_t index;
  struct em_process process;
  struct bl_record self;
  struct bl_dispatch *core;             /* owned */
  unsigned failed_probes;               /* of the routers' looks */
  uint64_t store_disconnected_until_us; /* microseconds; by the store */
};

/* A flow at a backend server.  */
struct em_server_flow;

struct em_job
{
  struct bl_flow_key key;
  uint32_t request_seq; /* sequence number of the caller's packet */
};

struct em_server
{
  struct em *em;
  size_t index;
  unsigned service;
  uint32_t ip;
  struct em_process agent;
  struct bl_passthrough *core; /* owned */
  struct bl_record published;  /* as it lies in the store */
  bool alive;
  uint64_t generation;
  uint64_t start_time_ms;
  uint64_t heartbeats_sent;
  bool draining;
  uint64_t drain_reported_us; /* the agent has heard; 0: not */
  double slowness;
  struct em_server_flow *flows; /* owned */
  unsigned running;
  unsigned queued;
  struct em_job queue[EM_QUEUE_MAX];
  uint64_t requests_started;
  uint64_t flows_opened;
};

enum em_user_state
{
  EM_PAUSING,
  EM_OPENING,
  EM_WAITING, /* for an answer */
};

struct em_user
{
  unsigned class;
  unsigned dc;
  enum em_user_state state;
  uint16_t port; /* of the present flow */
  bool flow_open;
  uint32_t seq;            /* next to be sent */
  uint32_t ack;            /* next expected */
  uint64_t requested_us;   /* first try of the present request */
  uint64_t request_number; /* counts requests */
  uint64_t
      timer_generation; /* counts steps: an event of an older one is void */
  unsigned retry_count;
  bool may_have_run; /* the present request may have run */
};

struct em
{
  struct em_settings settings;
  struct bl_random random;
  struct events events;
  uint64_t now_us;
  bool store_up;
  int64_t clock_offset_ms;
  bool trace;
  uint64_t routes_version;
  size_t omitted_class;
  double load_factor;
  struct bl_name dc_names[EM_DCS_MAX];
  struct bl_name service_names[EM_SERVICES_MAX];
  size_t balancer_count;
  struct em_balancer balancers[EM_BALANCERS_MAX];
  size_t server_count;
  struct em_server servers[EM_SERVERS_MAX];
  size_t user_count;
  struct em_user *users; /* owned */
  struct em_totals totals;
};

/* emulator.c */
double em_random_exponential (struct em *em, double mean);
struct event *em_post (struct em *em,
                       double after_us,
                       void (*run) (void *ctx, struct event *event),
                       size_t index,
                       size_t len);
/* A packet of a caller, to whichever balancer the routers choose.  */
void em_send_from_caller (struct em *em,
                          unsigned dc,
                          const struct bl_packet *packet);
/* A packet that the backend server hands to its agent.  */
void em_server_send (struct em_server *s,
                     const struct bl_packet *packet,
                     bool returned,
                     uint32_t token);
struct bl_route_table *em_route_table (struct em *em);
struct bl_flow_key em_user_flow_key (const struct em *em,
                                     size_t user,
                                     unsigned class,
                                     uint16_t port);
size_t em_user_index (const struct bl_flow_key *key);

/* The core's clock, in milliseconds.  */
uint64_t em_core_now_ms (const struct em *em);
/* The time of day that a process which starts now reads.  */
uint64_t em_time_of_day (const struct em *em);
void em_start_server (void *ctx, struct event *e);
void em_heartbeat (void *ctx, struct event *e);
void em_restart_agent (void *ctx, struct event *e);
void em_restart_balancer (void *ctx, struct event *e);

/* emulator_server.c */
void em_server_receive (struct em_server *s,
                        const struct bl_packet *packet,
                        uint32_t token);
void em_server_clear (struct em_server *s);
/* Whether a backend server that lives holds the open flow KEY.  */
bool em_server_holds_flow (const struct em *em, const struct bl_flow_key *key);

/* emulator_callers.c */
void em_callers_start (struct em *em);
/* A packet of a backend server reaches its caller later.  */
void em_send_to_caller (struct em *em,
                        const struct em_server *from,
                        const struct bl_packet *packet);
void em_send_reset_to_caller (struct em *em,
                              const struct bl_flow_key *key,
                              const struct em_process *from);

#endif
