/* emulator.h -- callers, routers, backend servers and a network round the real
   core of balancers and agents, on passed-in time

   The same settings and seed give the same run.  Used by the tests that replay
   a load, and by boragelatch-emulate.  */

#ifndef EMULATOR_H
#define EMULATOR_H

#include "core/dispatch.h"
#include "core/pass.h"

#define EM_CLASSES_MAX  4
#define EM_SERVICES_MAX 4
#define EM_DCS_MAX      8
#define EM_SECONDS_MAX  128 /* seconds that outcomes are kept for */

/* How callers of a class use flows.  */
enum em_flow_mode
{
  EM_PERSISTENT_FLOW,  /* one flow for many requests */
  EM_FLOW_PER_REQUEST, /* a flow for each request */
};

struct em_class
{
  const char *name;
  unsigned service; /* index */
  enum em_flow_mode flow_mode;
  bool repeatable;
  unsigned users;  /* in each data centre */
  double pause_ms; /* mean, between an answer and the next request */
  double work_ms;  /* mean */
  unsigned response_target_ms; /* answers within it are in time */
  unsigned deadline_ms;
  unsigned retries;
};

struct em_service
{
  const char *name;
  unsigned servers[EM_DCS_MAX]; /* in each data centre */
  unsigned slots;
  unsigned queue;
};

struct em_settings
{
  uint64_t seed;
  const struct bl_balancing_policy
      *balancing_policy; /* of balancers; NULL: the usual one */
  unsigned dcs;
  unsigned balancers[EM_DCS_MAX];
  size_t service_count;
  struct em_service services[EM_SERVICES_MAX];
  size_t class_count;
  struct em_class classes[EM_CLASSES_MAX];
  double near_ms;   /* one way, within a data centre */
  double far_ms;    /* between two */
  double caller_ms; /* between caller and data centre */
  unsigned loss;    /* of packets, in ten thousand */
};

struct em_outcome
{
  uint64_t requests;
  uint64_t in_time;
  uint64_t late;
  uint64_t failed;  /* no answer by the deadline */
  uint64_t refused; /* reset or turned away, no try left */
};

/* Times from a request until its answer, in steps of a sixteenth of an octave
   of milliseconds.  */
#define EM_LATENCY_BUCKETS 256

struct em_latency_histogram
{
  uint64_t counts[EM_LATENCY_BUCKETS];
};

/* The time that a share P of all were within; 0 when there are none.  */
double em_percentile (const struct em_latency_histogram *latencies, double p);

struct em_totals
{
  struct em_outcome classes[EM_CLASSES_MAX];
  struct em_outcome seconds[EM_SECONDS_MAX];
  uint64_t broken; /* flows reset though their backend server held them */
  uint64_t duplicate_runs; /* requests that ran more than once and may not */
  uint64_t wrong_service;  /* first packets that reached another service */
  uint64_t after_drain;    /* first packets taken by a server told to drain */
  uint64_t far_packets;    /* of callers, between data centres */
  uint64_t near_packets;
  uint64_t shed; /* requests that servers turned away, queue full */
  uint64_t unknown_flow_packets; /* packets at backend servers that hold no such
                                    flow */
  uint64_t wasted; /* requests that ran though their callers had left */
  uint64_t
      refused_with_free_slot; /* flows refused while a server had a slot free */
  struct em_latency_histogram latencies[EM_CLASSES_MAX];
};

void em_add_outcome (struct em_outcome *sum, const struct em_outcome *one);
/* Of all classes together.  */
struct em_outcome em_sum_classes (const struct em_totals *totals);

struct em;

struct em *em_new (const struct em_settings *settings);
void em_free (struct em *em);
/* Runs until TIME_MS since the start.  */
void em_run (struct em *em, uint64_t time_ms);
uint64_t em_elapsed_ms (const struct em *em);
const struct em_totals *em_totals (const struct em *em);
/* Forgets all outcomes so far.  */
void em_reset_totals (struct em *em);

size_t em_balancer_count (const struct em *em);
size_t em_server_count (const struct em *em);
struct bl_dispatch *em_dispatch (struct em *em, size_t balancer);
struct bl_passthrough *em_passthrough (struct em *em, size_t server);
/* Requests that have begun to run at a backend server.  */
uint64_t em_server_requests_started (const struct em *em, size_t server);
uint64_t em_server_flows_opened (const struct em *em, size_t server);
/* Index of the service that it serves.  */
unsigned em_server_service (const struct em *em, size_t server);

/* Faults and planned work, at the present time.  A balancer or agent that is
   killed starts anew after DOWN_MS, knowing nothing.  */
void em_kill_balancer (struct em *em, size_t balancer, uint64_t down_ms);
void em_kill_agent (struct em *em, size_t server, uint64_t down_ms);
/* As SIGTERM: says so first.  */
void em_stop_agent (struct em *em, size_t server, uint64_t down_ms);
/* The backend server process ends without a word; starts anew after DOWN_MS,
   or never for 0.  */
void em_crash_server (struct em *em, size_t server, uint64_t down_ms);
/* Instance and all on it vanish from the network, and come back, as they were,
   after FOR_MS; 0: never.  */
void em_disconnect_server (struct em *em, size_t server, uint64_t for_ms);
void em_disconnect_balancer (struct em *em, size_t balancer, uint64_t for_ms);
/* All instances lose power; they are back after DOWN_MS, and so are their
   backend servers.  */
void em_power_off (struct em *em, uint64_t down_ms);
/* The backend server says that it drains.  */
void em_drain_server (struct em *em, size_t server);
/* Adds a backend server with its agent; returns its index.  */
size_t em_add_server (struct em *em, unsigned service, unsigned dc);
/* Adds a balancer; returns its index.  */
size_t em_add_balancer (struct em *em, unsigned dc);
/* The store tells this balancer nothing for FOR_MS; 0: never again.  */
void em_disconnect_store (struct em *em, size_t balancer, uint64_t for_ms);
/* From now on a store that is down tells nobody of instances.  */
void em_set_store_up (struct em *em, bool up);
/* Processes that start from now on read a time of day that is off by MS.  */
void em_set_clock_offset (struct em *em, int64_t ms);
/* Multiplies what callers ask for.  */
void em_set_load_factor (struct em *em, double factor);
/* Puts the routes of VERSION in force, without those of class DROPPED; a
   number beyond the classes drops none.  */
void em_set_routes (struct em *em, uint64_t version, size_t omitted_class);
/* The backend server works SLOWNESS times as long.  */
void em_slow_server (struct em *em, size_t server, double slowness);

#endif
