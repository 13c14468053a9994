/* emulator.h -- simulation of callers, routers, backend servers and the network
   around the real core of balancers and agents

   Time is simulated too: the core reads no clock, and the emulator passes the
   time in.  The same settings and seed give the same run.  The emulator serves
   the tests that replay a load, and boragelatch-emulate.  */

#ifndef EMULATOR_H
#define EMULATOR_H

#include "core/dispatch.h"
#include "core/passthrough.h"

#define EM_CLASSES_MAX  4
#define EM_SERVICES_MAX 4
#define EM_DCS_MAX      8
#define EM_SECONDS_MAX  128 /* seconds of a run with their own counts */

/* How the callers of a class use flows.  */
enum em_flow_mode
{
  EM_PERSISTENT_FLOW,  /* a flow carries many requests */
  EM_FLOW_PER_REQUEST, /* each request opens a new flow */
};

/* A kind of requests and the callers that send them.  */
struct em_class
{
  const char *name;
  unsigned service; /* index in the services of em_settings */
  enum em_flow_mode flow_mode;
  bool repeatable;       /* a request that may have run can be sent again */
  bool retries_unsafely; /* faulty callers: send it again nevertheless */
  unsigned callers;      /* callers in each data centre */
  double pause_ms;       /* mean time between an answer and the next request */
  double work_ms;        /* mean time that a request runs */
  unsigned response_target_ms; /* answers within this time are in time */
  unsigned deadline_ms;        /* a request without an answer by then fails */
  unsigned retries;            /* attempts after the first, on new flows */
};

/* A service and its backend servers.  */
struct em_service
{
  const char *name;
  unsigned servers[EM_DCS_MAX]; /* in each data centre */
  unsigned slots;               /* requests that a server runs at once */
  unsigned queue;               /* requests that wait for a slot, at most */
};

struct em_settings
{
  uint64_t seed;
  const struct bl_balancing_policy *balancing_policy; /* NULL: the default */
  unsigned dc_count;                                  /* data centres */
  unsigned balancers[EM_DCS_MAX];                     /* in each data centre */
  size_t service_count;
  struct em_service services[EM_SERVICES_MAX];
  size_t class_count;
  struct em_class classes[EM_CLASSES_MAX];
  double near_ms;   /* one-way delay within a data centre */
  double far_ms;    /* one-way delay between two data centres */
  double caller_ms; /* one-way delay between a caller and its data centre */
  unsigned loss;    /* packets lost of 10,000 */
};

/* Counts of requests by outcome.  */
struct em_outcome
{
  uint64_t requests;
  uint64_t in_time; /* answered within the response target */
  uint64_t late;    /* answered after it */
  uint64_t failed;  /* no answer by the deadline, or no flow opened and no retry
                       left */
  uint64_t refused; /* flow reset or queue full, and no retry left */
};

/* Counts of the times from a request until its answer, in milliseconds.  The
   buckets are a sixteenth of an octave wide.  */
#define EM_LATENCY_BUCKETS 256

struct em_latency_histogram
{
  uint64_t counts[EM_LATENCY_BUCKETS];
};

/* The upper bound of the bucket, in milliseconds, that holds the quantile P,
   0 to 1; 0 without any count.  */
double em_percentile (const struct em_latency_histogram *latencies, double p);

struct em_totals
{
  struct em_outcome classes[EM_CLASSES_MAX];
  struct em_outcome seconds[EM_SECONDS_MAX]; /* by the request's start */
  uint64_t broken; /* flows reset although their backend server held them */
  /* Runs beyond the first of requests that must not run twice.  */
  uint64_t duplicate_runs;
  uint64_t wrong_service; /* first packets at servers of another service */
  /* First packets at servers that had announced a drain more than the grace
     period before.  */
  uint64_t after_drain;
  /* Packets of callers that were sent between balancers and agents: to another
     data centre, and within a data centre.  */
  uint64_t far_packets;
  uint64_t near_packets;
  uint64_t shed; /* requests that servers refused because the queue was full */
  uint64_t unknown_flow_packets; /* packets at servers without their flow */
  uint64_t wasted; /* answers to callers that no longer wait for them */
  /* Flows reset before they opened, while a server of the service had a free
     slot.  */
  uint64_t refused_with_free_slot;
  struct em_latency_histogram latencies[EM_CLASSES_MAX];
};

void em_add_outcome (struct em_outcome *sum, const struct em_outcome *added);
/* The counts of all classes together.  */
struct em_outcome em_sum_classes (const struct em_totals *totals);

struct em;

/* Creates an emulator at time 0.  Returns NULL, or ends the process, when
   memory runs out.  */
struct em *em_new (const struct em_settings *settings);
void em_free (struct em *em);
/* Runs until TIME_MS after the start.  */
void em_run (struct em *em, uint64_t time_ms);
/* Simulated time since the start.  */
uint64_t em_elapsed_ms (const struct em *em);
const struct em_totals *em_totals (const struct em *em);
/* Sets all counts to 0.  */
void em_reset_totals (struct em *em);

size_t em_balancer_count (const struct em *em);
size_t em_server_count (const struct em *em);
struct bl_dispatch *em_dispatch (struct em *em, size_t balancer);
struct bl_passthrough *em_passthrough (struct em *em, size_t server);
/* Requests that have begun to run at a backend server since its first start. */
uint64_t em_server_requests_started (const struct em *em, size_t server);
/* Flows that were opened at a backend server since its first start.  */
uint64_t em_server_flows_opened (const struct em *em, size_t server);
/* Index of the service of a backend server.  */
unsigned em_server_service (const struct em *em, size_t server);

/* The functions below inject faults or do planned work, at the present time.
   A balancer or agent that is killed starts again after DOWN_MS, with no state
   left.  */
void em_kill_balancer (struct em *em, size_t balancer, uint64_t down_ms);
void em_kill_agent (struct em *em, size_t server, uint64_t down_ms);
/* Stops an agent as SIGTERM does: it announces the stop first.  */
void em_stop_agent (struct em *em, size_t server, uint64_t down_ms);
/* The backend server's process ends without an announcement.  It starts again
   after DOWN_MS, or never if that is 0.  */
void em_crash_server (struct em *em, size_t server, uint64_t down_ms);
/* Cuts an instance and all its processes off from the network.  They keep their
   state and are reachable again after FOR_MS, or never if that is 0.  */
void em_disconnect_server (struct em *em, size_t server, uint64_t for_ms);
void em_disconnect_balancer (struct em *em, size_t balancer, uint64_t for_ms);
/* All instances lose power; they and their backend servers start again about
   DOWN_MS later.  */
void em_power_off (struct em *em, uint64_t down_ms);
/* The backend server begins to drain and announces it in a heartbeat.  */
void em_drain_server (struct em *em, size_t server);
/* Adds a backend server with its agent; returns its index.  */
size_t em_add_server (struct em *em, unsigned service, unsigned dc);
/* Adds a balancer; returns its index.  */
size_t em_add_balancer (struct em *em, unsigned dc);
/* A balancer gets no records from the store for FOR_MS; 0: never again.  */
void em_disconnect_store (struct em *em, size_t balancer, uint64_t for_ms);
/* Sets whether the store is up.  While it is down, agents publish no records
   and balancers read none.  */
void em_set_store_up (struct em *em, bool up);
/* Processes that start from now on read a time of day that is MS ahead.  */
void em_set_clock_offset (struct em *em, int64_t ms);
/* Multiplies the load: divides the mean pause of callers by FACTOR.  */
void em_set_load_factor (struct em *em, double factor);
/* Makes version VERSION of the routes current, without the route of the class
   with index OMITTED_CLASS; an index beyond the classes omits none.  */
void em_set_routes (struct em *em, uint64_t version, size_t omitted_class);
/* Requests run SLOWNESS times as long at the backend server.  */
void em_slow_server (struct em *em, size_t server, double slowness);

#endif
