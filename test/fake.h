/* fake.h -- simulates balancers, agents and callers on a network

   Balancers and agents of the core run in one process; the simulation passes
   the time to them.  Messages and packets between them are delayed by a time
   drawn from a seeded generator, and can be lost, duplicated or blocked by a
   partition.  The TCP of the simulated stacks and callers has only what is
   needed to distinguish a completed flow from a broken one: sequence numbers,
   retransmission, resets, and a record of which backend server each byte
   reached.  */

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

/* Slots of the timing wheel, of 5 ms each: the longest delay of a message.  */
#define FAKE_WHEEL_SLOTS 256

struct fake_message;

struct fake_queue
{
  struct fake_message *first;
  struct fake_message *last;
};

/* A connection in the simulated TCP stack of a backend server.  */
struct fake_conn
{
  struct bl_flow_key key;
  bool used;
  bool established;
  bool closing; /* the stack has sent a FIN that is not acknowledged */
  uint32_t iss;
  uint32_t snd_nxt;
  uint32_t rcv_nxt;
};

/* A balancer or an agent.  */
struct fake_instance
{
  struct fake *fake;
  enum fake_kind kind;
  size_t index;
  bool alive;
  uint64_t frozen_until_ms;
  bool drops_while_frozen; /* input that arrives during a freeze is lost */
  uint64_t muted_until_ms; /* its control messages to balancers are lost */
  struct fake_queue frozen_input; /* messages that arrived during a freeze */
  struct bl_name id;
  struct bl_name dc;
  uint32_t ip;
  struct bl_node *node;
  struct bl_agent *agent;
  struct fake_conn *conns; /* owned; agents only, indexed by caller */
  uint64_t sent_bytes;     /* of control messages */
  uint64_t sent_messages;
  uint64_t first_packets; /* first packets of flows delivered to its stack */
  uint64_t last_first_packet_ms;
  bool reads_platform; /* a relay, which reads the platform directly; unused */
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
  uint64_t sent_ms; /* last transmission of the unacknowledged segment */
  uint64_t unacked_since_ms; /* first transmission of that segment */
  uint64_t next_send_ms;     /* when the next segment is sent */
  unsigned segments_left;    /* data segments still to be sent */
  bool fin_sent;
  uint32_t work; /* load of the flow, in thousandths of a slot */
  size_t server; /* index of the agent whose stack last accepted data */
  bool has_server;
  size_t handshake_server; /* index of the agent that sent the SYN-ACK */
  bool two_servers;        /* bytes reached a second backend server */
};

struct fake
{
  uint64_t now;
  struct bl_random random;
  unsigned delay_min_ms;
  unsigned delay_max_ms;
  unsigned loss;        /* per ten thousand packets and control messages */
  unsigned duplication; /* per ten thousand */
  size_t instance_count;
  struct fake_instance instances[FAKE_INSTANCES_MAX];
  size_t caller_count;
  struct fake_caller *callers;               /* owned */
  struct fake_queue wheel[FAKE_WHEEL_SLOTS]; /* messages in flight */
  uint64_t next_tick_ms;
  unsigned partition_count;
  struct
  {
    struct bl_name a;
    struct bl_name b;
  } partitions[16];
  /* The configuration that the platform holds.  */
  struct bl_service_list services;
  uint64_t version;
  uint32_t next_id;
  bool platform_down;
  /* Draws the load of a caller's flow in thousandths of a slot; NULL: 100 for
     each flow.  */
  uint32_t (*draw_work) (struct bl_random *random);
  uint64_t data_interval_ms; /* mean pause between segments of a caller */
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
/* Kills an instance: it stops without sending anything.  */
void fake_kill (struct fake *f, const char *id);
/* Replaces an instance by a new process with the same id and address.  */
void fake_restart (struct fake *f, const char *id);
/* Replaces an agent by a new process that belongs to another service.  */
void fake_restart_as (struct fake *f, const char *id, const char *service);
/* Pauses an instance for MS.  */
void fake_freeze (struct fake *f, const char *id, uint64_t ms);
/* Drops the control messages of an instance to balancers for MS; packets are
   still delivered.  */
void fake_mute (struct fake *f, const char *id, uint64_t ms);
/* Drops all messages between two data centres, until fake_heal.  */
void fake_partition (struct fake *f, const char *a, const char *b);
/* Removes all partitions.  */
void fake_heal (struct fake *f);

/* Applies JSON edits to the configuration on the platform; relays read it at
   their next tick.  Aborts if an edit is refused.  */
void fake_apply_edits (struct fake *f, const char *json);
/* Creates a service with one listener at port FAKE_PORT.  The first service
   has the address FAKE_SERVICE_IP.  */
void fake_create_service (struct fake *f, const char *name);

/* Adds COUNT callers, each of which opens a flow of SEGMENTS data segments;
   returns the index of the first caller.  */
size_t fake_open (struct fake *f, size_t count, unsigned segments);
/* Callers in state FAKE_DONE open new flows from the same ports, with initial
   sequence numbers that are independent of the previous ones.  */
void fake_reopen (struct fake *f, unsigned segments);
/* Callers with an open flow reset it and at once open a new flow from the same
   port, while packets of the previous flow are still in flight.  */
void fake_reset_and_reopen (struct fake *f, unsigned segments);
/* Advances the simulation by MS.  */
void fake_run (struct fake *f, uint64_t ms);
/* Runs until no caller is connecting or has an open flow, for MS at most.  */
void fake_run_callers (struct fake *f, uint64_t ms);

size_t fake_count_callers (const struct fake *f, enum fake_caller_state state);
/* Number of flows with bytes that reached two backend servers.  */
size_t fake_flows_at_two_servers (const struct fake *f);
/* Number of connections in the stack behind this agent.  */
size_t fake_flows_at (const struct fake *f, const char *id);
/* Runs until VERSION, which changed service NAME, is in force at every live
   balancer and agent.  Returns the milliseconds taken, or LIMIT if that time
   passes first.  */
uint64_t fake_run_until_in_force (struct fake *f,
                                  const char *name,
                                  uint64_t version,
                                  uint64_t limit);
/* Returns the sum of a counter over all balancers.  */
uint64_t fake_node_total (const struct fake *f, enum bl_node_counter counter);
/* Returns the sum of a counter over all agents.  */
uint64_t fake_agent_total (const struct fake *f, enum bl_agent_counter counter);
/* Returns true if every live balancer has records of this many live balancers,
   its own record included.  */
bool fake_all_list_balancers (struct fake *f, size_t members);
/* Returns true if every live balancer has records of this many backend servers
   that are ready and monitored.  */
bool fake_all_list_backends (struct fake *f, size_t ready);

/* Builds a TCP packet with valid checksums; returns its length.  */
size_t fake_packet (uint8_t *buf,
                    const struct bl_flow_key *key,
                    uint32_t seq,
                    uint32_t ack,
                    uint8_t flags,
                    size_t payload);

#endif
