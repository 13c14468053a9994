/* fake.h -- balancers, agents and callers joined by a fake network

   Real nodes and agents of the core run in one process on passed-in time.
   Messages and packets between them take a delay drawn from a seed, and can
   be lost, doubled, or cut off.  The fake stack and the fake caller know just
   enough TCP to tell a whole flow from a broken one: sequence numbers,
   retransmission, resets, and which backend server each byte reached.  */

#ifndef FAKE_H
#define FAKE_H

#include "boragelatch.h"
#include "core/edit.h"

#define FAKE_INSTANCES_MAX 160
#define FAKE_CALLERS_MAX   16384
#define FAKE_SERVICE_IP    0x0a500001u
#define FAKE_PORT          7001

enum fake_kind
{
  FAKE_NODE,
  FAKE_AGENT,
};

#define FAKE_WHEEL_SLOTS                                                       \
  256 /* a message arrives within so many steps of 5 ms */

struct fake_message;

struct fake_queue
{
  struct fake_message *first;
  struct fake_message *last;
};

/* A connection of the fake stack.  */
struct fake_conn
{
  struct bl_flow_key key;
  bool used;
  bool established;
  bool closing; /* our FIN is sent and not acknowledged */
  uint32_t iss;
  uint32_t snd_nxt;
  uint32_t rcv_nxt;
};

/* An instance: a balancer or an agent.  */
struct fake_instance
{
  struct fake *fake;
  enum fake_kind kind;
  size_t index;
  bool alive;
  uint64_t frozen_until;
  bool drops_while_frozen; /* what reaches it while frozen is lost */
  uint64_t muted_until;    /* its messages to balancers are lost until then */
  struct fake_queue stalled;
  struct bl_name id;
  struct bl_name dc;
  uint32_t ip;
  struct bl_node *node;
  struct bl_agent *agent;
  struct fake_conn *conns; /* owned; of an agent, by caller */
  uint64_t sent_bytes;     /* control messages */
  uint64_t sent_messages;
  uint64_t first_packets; /* given to its stack */
  uint64_t last_first_packet_ms;
  bool sees_config; /* a relay that reads the platform directly */
};

enum fake_caller_state
{
  FAKE_IDLE,
  FAKE_CONNECTING,
  FAKE_OPEN,
  FAKE_DONE,
  FAKE_REFUSED,
  FAKE_BROKEN,
};

struct fake_caller
{
  enum fake_caller_state state;
  struct bl_flow_key key;
  uint32_t isn;
  uint32_t snd_una;
  uint32_t snd_nxt;
  uint32_t rcv_nxt;
  uint64_t sent_ms;          /* of what is not acknowledged yet */
  uint64_t unacked_since_ms; /* since when something is */
  uint64_t next_send_ms;     /* of the next data */
  unsigned segments_left;    /* segments still to be sent */
  bool fin_sent;
  uint32_t work; /* that it makes, in thousandths of a slot */
  size_t server; /* index of the agent whose stack took data */
  bool has_server;
  size_t handshake_server; /* index of the agent that its handshake was with */
  bool two_servers;        /* bytes reached a second backend server */
};

struct fake
{
  uint64_t now;
  struct bl_random random;
  unsigned delay_min_ms;
  unsigned delay_max_ms;
  unsigned loss;        /* in ten thousand, of packets and datagrams */
  unsigned duplication; /* in ten thousand */
  size_t instance_count;
  struct fake_instance instances[FAKE_INSTANCES_MAX];
  size_t caller_count;
  struct fake_caller *callers;               /* owned */
  struct fake_queue wheel[FAKE_WHEEL_SLOTS]; /* messages under way */
  uint64_t next_tick_ms;
  unsigned partition_count;
  struct
  {
    struct bl_name a;
    struct bl_name b;
  } partitions[16];
  /* The configuration as the platform holds it.  */
  struct bl_service_list services;
  uint64_t version;
  uint32_t next_id;
  bool platform_down;
  /* Draws the work of a caller's flow; NULL: 100 for each.  */
  uint32_t (*draw_work) (struct bl_random *random);
  uint64_t data_interval_ms; /* between segments of a caller */
};

struct fake *fake_new (uint64_t seed);
void fake_free (struct fake *f);

struct fake_instance *
fake_add_node (struct fake *f, const char *id, const char *dc);
struct fake_instance *fake_add_agent (struct fake *f,
                                      const char *id,
                                      const char *dc,
                                      const char *service);
struct fake_instance *fake_instance (struct fake *f, const char *id);
/* An instance dies without a word.  */
void fake_kill (struct fake *f, const char *id);
/* A new process at the same address and of the same name.  */
void fake_restart (struct fake *f, const char *id);
/* The same, of another service.  */
void fake_restart_as (struct fake *f, const char *id, const char *service);
void fake_freeze (struct fake *f, const char *id, uint64_t ms);
/* Nothing that an agent says reaches a balancer; packets pass.  */
void fake_mute (struct fake *f, const char *id, uint64_t ms);
/* Cuts two data centres apart, or mends it.  */
void fake_partition (struct fake *f, const char *a, const char *b);
void fake_heal (struct fake *f);

/* Accepts a change given as JSON edits; relays learn of it at once.  */
void fake_apply_edits (struct fake *f, const char *json);
/* The usual service: one listener at FAKE_SERVICE_IP:FAKE_PORT.  */
void fake_create_service (struct fake *f, const char *name);

/* Callers open flows of SEGMENTS data segments each; returns the index of the
   first.  */
size_t fake_open (struct fake *f, size_t count, unsigned segments);
/* Callers that are done open new flows from the same ports, with initial
   sequence numbers that have nothing to do with the old ones.  */
void fake_reopen (struct fake *f, unsigned segments);
/* All open callers give up what they wait for, reset their flows, and open new
   ones from the same ports at once, while old answers are under way.  */
void fake_reset_and_reopen (struct fake *f, unsigned segments);
void fake_run (struct fake *f, uint64_t ms);
/* Runs until every caller is done, or MS.  */
void fake_run_callers (struct fake *f, uint64_t ms);

size_t fake_count_callers (const struct fake *f, enum fake_caller_state state);
/* Flows of which bytes reached two backend servers.  */
size_t fake_flows_at_two_servers (const struct fake *f);
/* Flows whose stack lives at this agent.  */
size_t fake_flows_at (const struct fake *f, const char *id);
/* Milliseconds until VERSION, which changed service NAME, is in force at every
   live balancer and agent; LIMIT when it is not by then.  */
uint64_t fake_until_in_force (struct fake *f,
                              const char *name,
                              uint64_t version,
                              uint64_t limit);
/* The sum of a counter over all balancers.  */
uint64_t fake_node_total (const struct fake *f, enum bl_node_counter counter);
/* The sum of a counter over all agents.  */
uint64_t fake_agent_total (const struct fake *f, enum bl_agent_counter counter);
/* Whether all live balancers see this many balancers, themselves too.  */
bool fake_all_see_balancers (struct fake *f, size_t members);
/* Whether all live balancers see this many backend servers that are ready
   and can be reached.  */
bool fake_all_see_backends (struct fake *f, size_t ready);

/* Builds a TCP packet with right checksums; returns its length.  */
size_t fake_packet (uint8_t *buf,
                    const struct bl_flow_key *key,
                    uint32_t seq,
                    uint32_t ack,
                    uint8_t flags,
                    size_t payload);

#endif
