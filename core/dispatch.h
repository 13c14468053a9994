/* dispatch.h -- a balancer for backend servers that terminate TCP connections
   themselves

   The balancer decides to which agent each packet of a caller is sent.  It
   opens no socket and reads no clock: packets, messages and the time, NOW in
   milliseconds, are passed in, and output goes through the operations of
   bl_dispatch_ops.  */

#ifndef BL_DISPATCH_H
#define BL_DISPATCH_H

#include "core/fleet.h"
#include "core/histogram.h"
#include "core/link.h"
#include "core/route_table.h"

struct bl_dispatch;

/* A policy that selects backend servers for new flows.  */
struct bl_balancing_policy;
/* Returns the policy of a name: near_and_light, which is the default, or of_two
   or hash, which serve for comparison.  Returns NULL for any other name.  */
const struct bl_balancing_policy *bl_balancing_policy_find (struct bl_str name);

struct bl_dispatch_settings
{
  struct bl_record self; /* kind, id, data centre, addresses, incarnation */
  uint64_t random_seed;
  size_t seed_count;
  struct bl_addr seeds[BL_SEEDS_MAX]; /* control addresses of balancers */
  const struct bl_balancing_policy *balancing_policy; /* NULL: the default */
  double link_bytes_per_s; /* bandwidth of the own link; 0: not known */
};

/* A decision, for the log.  */
struct bl_decision
{
  const char *event_name;             /* name of the event in the log */
  const char *reason;                 /* the input that led to the decision */
  const struct bl_flow_key *flow;     /* NULL: none */
  const struct bl_instance *instance; /* agent or balancer; NULL: none */
  uint64_t age_ms;                    /* age of that input */
  uint64_t version;                   /* version of the routes in force */
};

struct bl_dispatch_ops
{
  /* Sends LINK, and PACKET after it unless LEN is 0, to an agent.  */
  void (*send_to_agent) (void *ctx,
                         struct bl_addr to,
                         const struct bl_link_msg *link,
                         const uint8_t *packet,
                         size_t len);
  /* Sends the caller a TCP reset for a flow; SEQ is the sequence number that
     the caller expects next.  */
  void (*reset) (void *ctx, const struct bl_flow_key *key, uint32_t seq);
  /* Sends a control message.  */
  void (*send) (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len);
  /* Requests the routes of a balancer over its bulk address.  */
  void (*pull) (void *ctx, const struct bl_instance *peer);
  /* Logs a decision.  */
  void (*log_decision) (void *ctx, const struct bl_decision *decision);
};

enum bl_dispatch_counter
{
  BL_DISPATCH_FORWARDED,     /* packets sent to agents */
  BL_DISPATCH_PLACED,        /* new flows whose placement was started */
  BL_DISPATCH_OFFERED_AGAIN, /* offers after the first of a flow */
  BL_DISPATCH_REFUSED,       /* flows reset because no backend server accepted
                                them or their route was removed */
  BL_DISPATCH_NO_ROUTE,      /* packets without a route */
  BL_DISPATCH_OWNER_LOOKUPS, /* owner lookups started */
  BL_DISPATCH_OWNERS_FOUND,  /* owner lookups that found the owner */
  BL_DISPATCH_LOST,          /* flows reset because their backend server is
                                gone */
  BL_DISPATCH_DROPPED,       /* owner lookups that ended without an owner, so
                                that the held packets were dropped */
  BL_DISPATCH_MALFORMED,     /* malformed messages */
  BL_DISPATCH_NO_ROOM,       /* flows not tracked because the table was full or
                                memory ran out */
  BL_DISPATCH_LINK_FULL,     /* flows refused because the own link is full */
  BL_DISPATCH_COUNTERS,
};

/* Durations that the flows of one class take; a class is a service and a
   priority.  */
struct bl_dispatch_class
{
  struct bl_name service;
  uint64_t service_hash;
  uint8_t priority;
  struct bl_histogram accept_times; /* from first packet to acceptance */
  struct bl_histogram lookup_times; /* of successful owner lookups */
};

#define BL_DISPATCH_CLASSES_MAX 32 /* further classes count with the last */

struct bl_dispatch *bl_dispatch_new (const struct bl_dispatch_settings *s,
                                     const struct bl_dispatch_ops *ops,
                                     void *ctx);
void bl_dispatch_free (struct bl_dispatch *d);
/* Handles time-outs and periodic work; to be called every 10 to 50 ms.  */
void bl_dispatch_tick (struct bl_dispatch *d, uint64_t now);
/* Handles a packet of a caller; P holds the headers decoded from BYTES.  */
void bl_dispatch_packet (struct bl_dispatch *d,
                         uint64_t now,
                         const struct bl_packet *p,
                         const uint8_t *bytes,
                         size_t len);
/* Handles a message about a flow from the agent at FROM.  P and BYTES are the
   packet that follows the message; NULL if there is none.  */
void bl_dispatch_link (struct bl_dispatch *d,
                       uint64_t now,
                       struct bl_addr from,
                       const struct bl_link_msg *link,
                       const struct bl_packet *p,
                       const uint8_t *bytes,
                       size_t len);
/* Handles a control message.  Returns BL_OK or a BL_E* code.  */
int bl_dispatch_message (struct bl_dispatch *d,
                         uint64_t now,
                         struct bl_addr from,
                         const uint8_t *buf,
                         size_t len);
/* Puts the routes in TABLE into force and takes ownership of TABLE.  If TABLE
   is not newer than the routes in force, frees it and returns BL_ESTALE.  */
int bl_dispatch_configure (struct bl_dispatch *d,
                           uint64_t now,
                           struct bl_route_table *table);
const struct bl_route_table *bl_dispatch_table (const struct bl_dispatch *d);
/* Applies a record that did not come in a control message, such as a record
   read from the platform's store.  */
void bl_dispatch_apply_record (struct bl_dispatch *d,
                               uint64_t now,
                               const struct bl_record *record);
/* To be called when the records of all instances in the platform's store have
   been applied.  */
void bl_dispatch_list_complete (struct bl_dispatch *d, uint64_t now);
/* Notes that an answer of the platform's store states ERA.  Agents are told of
   a later era than they know, so that they check whether the store still holds
   their records.  */
void
bl_dispatch_note_store_era (struct bl_dispatch *d, uint64_t now, uint64_t era);
/* Returns true when packets of callers can be handled: there are routes, which
   were compared with those of other balancers if the store can be restored, and
   at least one agent that is not unreachable.  */
bool bl_dispatch_ready (const struct bl_dispatch *d);
/* Starts a graceful stop: announces the state draining to other balancers.  */
void bl_dispatch_drain (struct bl_dispatch *d, uint64_t now);
/* Returns true when this balancer may stop.  While fewer than half of a data
   centre's balancers are ready, the routers also send to those that are not, so
   a balancer that drains has to go on until enough others are ready.  */
bool bl_dispatch_may_leave (const struct bl_dispatch *d);
/* Returns the time after the start of a stop, in milliseconds, at which a
   balancer leaves whether it may or not.  GRACE_MS is the time until the
   process is killed.  */
uint64_t bl_dispatch_latest_leave_ms (uint64_t grace_ms);
/* Returns the record of this balancer itself; its state is starting, ready or
   draining.  */
const struct bl_record *bl_dispatch_own_record (const struct bl_dispatch *d);
const struct bl_fleet *bl_dispatch_fleet (const struct bl_dispatch *d);
size_t bl_dispatch_flow_count (const struct bl_dispatch *d);
/* Returns the classes of flows counted so far and sets *COUNT to their
   number.  */
const struct bl_dispatch_class *
bl_dispatch_classes (const struct bl_dispatch *d, size_t *count);
uint64_t bl_dispatch_counter (const struct bl_dispatch *d,
                              enum bl_dispatch_counter counter);
const char *bl_dispatch_counter_name (enum bl_dispatch_counter counter);

#endif
