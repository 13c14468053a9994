/* dispatch.h -- a balancer for backend servers that end flows themselves

   Decides where each packet of a caller goes; opens no socket and reads no
   clock.  */

#ifndef BL_DISPATCH_H
#define BL_DISPATCH_H

#include "core/fleet.h"
#include "core/histogram.h"
#include "core/link.h"
#include "core/table.h"

struct bl_dispatch;

/* How backend servers are chosen for new flows.  */
struct bl_choice;
/* The policy NAME: near_and_light, which is the usual one; of_two and hash, to
   compare with.  NULL for others.  */
const struct bl_choice *bl_choice_find (struct bl_str name);

struct bl_dispatch_settings
{
  struct bl_record self; /* kind, id, data centre, addresses, incarnation */
  uint64_t random_seed;
  size_t seed_count;
  struct bl_addr seeds[BL_SEEDS_MAX]; /* control addresses of balancers */
  const struct bl_choice *choice;     /* NULL: the usual one */
};

/* One decision, for the log.  */
struct bl_decision
{
  const char *what;               /* what was decided */
  const char *why;                /* the input that decided it */
  const struct bl_flow_key *flow; /* NULL: none */
  const struct bl_target *target; /* NULL: none */
  uint64_t age_ms;                /* of the input */
  uint64_t version;               /* of the routes */
};

struct bl_dispatch_ops
{
  /* Sends LINK, and PACKET after it unless LEN is 0, to an agent.  */
  void (*to_agent) (void *ctx,
                    struct bl_addr to,
                    const struct bl_link_msg *link,
                    const uint8_t *packet,
                    size_t len);
  /* Resets the caller's end of a flow; SEQ is what it expects next.  */
  void (*reset) (void *ctx, const struct bl_flow_key *key, uint32_t seq);
  /* Sends a control message.  */
  void (*send) (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len);
  /* Asks a balancer for its routes over the bulk address.  */
  void (*pull) (void *ctx, const struct bl_target *peer);
  void (*decided) (void *ctx, const struct bl_decision *decision);
};

enum bl_dispatch_counter
{
  BL_DISPATCH_FORWARDED, /* packets sent to agents */
  BL_DISPATCH_PLACED,    /* first packets given a backend server */
  BL_DISPATCH_RETRIED,   /* first packets given a further one */
  BL_DISPATCH_REFUSED,   /* flows reset since nobody takes them */
  BL_DISPATCH_NO_ROUTE,  /* packets without a route */
  BL_DISPATCH_SEARCHES,  /* owners asked for */
  BL_DISPATCH_FOUND,     /* owners found */
  BL_DISPATCH_LOST,      /* flows reset since their backend server is gone */
  BL_DISPATCH_DROPPED,   /* packets without a known owner */
  BL_DISPATCH_BAD,       /* messages malformed */
  BL_DISPATCH_NO_ROOM,   /* flows not taken for want of room */
  BL_DISPATCH_COUNTERS,
};

/* How long flows of one class take, a class being a service and a priority.  */
struct bl_dispatch_class
{
  struct bl_name service;
  uint64_t service_hash;
  uint8_t priority;
  struct bl_histogram accepts;   /* from a first packet until it is accepted */
  struct bl_histogram inquiries; /* until the owner of a flow is found */
};

#define BL_DISPATCH_CLASSES 32 /* further ones count with the last */

struct bl_dispatch *bl_dispatch_new (const struct bl_dispatch_settings *s,
                                     const struct bl_dispatch_ops *ops,
                                     void *ctx);
void bl_dispatch_free (struct bl_dispatch *d);
/* To be called every 10 to 50 ms.  */
void bl_dispatch_tick (struct bl_dispatch *d, uint64_t now);
/* A packet of a caller: P is what BYTES hold.  */
void bl_dispatch_packet (struct bl_dispatch *d,
                         uint64_t now,
                         const struct bl_packet *p,
                         const uint8_t *bytes,
                         size_t len);
/* A message about a flow, from the agent at FROM.  P and BYTES are the packet
   after it; NULL when there is none.  */
void bl_dispatch_link (struct bl_dispatch *d,
                       uint64_t now,
                       struct bl_addr from,
                       const struct bl_link_msg *link,
                       const struct bl_packet *p,
                       const uint8_t *bytes,
                       size_t len);
/* A control message.  Returns a BL_E* code.  */
int bl_dispatch_message (struct bl_dispatch *d,
                         uint64_t now,
                         struct bl_addr from,
                         const uint8_t *buf,
                         size_t len);
/* Takes ownership of TABLE.  BL_ESTALE, and TABLE is freed, when it is not
   newer than what is in force.  */
int bl_dispatch_configure (struct bl_dispatch *d,
                           uint64_t now,
                           struct bl_table *table);
const struct bl_table *bl_dispatch_table (const struct bl_dispatch *d);
/* Takes in a record that was learnt by other means than messages.  */
void bl_dispatch_learn (struct bl_dispatch *d,
                        uint64_t now,
                        const struct bl_record *record);
/* All instances that the platform's store holds have been learnt.  */
void bl_dispatch_listed (struct bl_dispatch *d, uint64_t now);
/* Whether callers' packets can be handled: routes and agents are known.  */
bool bl_dispatch_ready (const struct bl_dispatch *d);
/* Starts a graceful stop: other balancers see it draining.  */
void bl_dispatch_drain (struct bl_dispatch *d, uint64_t now);
/* Whether the routers can do without this balancer: while fewer than half of a
   data centre's balancers are ready, they also use those that are not.  */
bool bl_dispatch_may_leave (const struct bl_dispatch *d);
/* The own record, whose state follows from what this balancer can do.  */
const struct bl_record *bl_dispatch_record (const struct bl_dispatch *d);
const struct bl_fleet *bl_dispatch_fleet (const struct bl_dispatch *d);
size_t bl_dispatch_flow_count (const struct bl_dispatch *d);
/* The classes seen so far.  */
const struct bl_dispatch_class *
bl_dispatch_classes (const struct bl_dispatch *d, size_t *count);
uint64_t bl_dispatch_counter (const struct bl_dispatch *d,
                              enum bl_dispatch_counter counter);
const char *bl_dispatch_counter_name (enum bl_dispatch_counter counter);

#endif
