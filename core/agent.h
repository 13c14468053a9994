/* agent.h -- internal interface between the modules of an agent  */

#ifndef BL_AGENT_H
#define BL_AGENT_H

#include "core/flows.h"
#include "core/msg.h"
#include "core/view.h"

/* Monitors named in one acknowledgement of an announcement.  */
#define BL_AGENT_MONITORS_MAX 8

/* An incarnation of a peer whose process is known to have ended.  */
struct bl_ended_peer
{
  uint64_t hash; /* of the name of the peer; 0: empty entry */
  uint64_t incarnation;
};

/* The most recent entries are held.  An entry that was overwritten is added
   again after the next owner query to that peer.  */
#define BL_ENDED_PEERS_MAX 64

struct bl_agent
{
  struct bl_agent_settings settings;
  struct bl_agent_ops ops;
  void *ctx;
  struct bl_random random;
  uint64_t now;           /* time passed to the current call */
  struct bl_record self;  /* the agent's own membership record */
  bool backend_was_ready; /* the backend server has been ready once */
  bool draining;
  uint32_t load;           /* thousandths of a slot */
  uint64_t ready_since_ms; /* first time in state READY; 0: never */
  struct bl_view view;
  struct bl_flows flows;
  /* Owner lookups, limited by a token bucket.  */
  uint64_t lookup_seq;    /* of the last lookup */
  uint64_t lookup_tokens; /* thousandths of a lookup */
  uint64_t lookup_refill_ms;
  /* Announcements to the monitors.  */
  size_t monitor_count;
  struct bl_record monitors[BL_AGENT_MONITORS_MAX];
  /* Sequence number of SELF that each monitor acknowledged; 0: none.  */
  uint32_t acked_seq[BL_AGENT_MONITORS_MAX];
  uint64_t next_announce_ms;
  uint64_t monitor_reply_ms; /* when a balancer last acknowledged */
  uint64_t next_pull_ms;
  uint64_t pull_backoff_ms;           /* doubled at each attempt */
  bool view_outdated;                 /* the digest of a monitor differs */
  uint64_t monitor_digest;            /* digest that a monitor last reported */
  struct bl_name monitor_digest_from; /* that monitor */
  struct bl_ended_peer ended_peers[BL_ENDED_PEERS_MAX];
  size_t ended_peers_next; /* entry that is overwritten next */
  /* Load reports to peers.  */
  uint32_t reported_load;
  uint32_t reported_warm_up_share;
  uint64_t next_report_ms;
  struct bl_buffer buffer; /* holds the message that is being sent */
  uint64_t counters[BL_AGENT_COUNTERS];
};

/* A received packet and its forwarding header.  */
struct bl_received_packet
{
  struct bl_forward forward;
  struct bl_packet packet;
  const uint8_t *bytes; /* of the IP packet */
  size_t len;
};

/* agent.c */
/* Delivers a packet to the TCP stack, with the acknowledgement number adjusted
   to the stack's own sequence numbers.  */
void bl_agent_deliver (struct bl_agent *agent,
                       const struct bl_received_packet *rx,
                       const struct bl_flow *flow);
/* Answers PACKET, which came from the caller, with a reset.  */
void bl_agent_send_reset (struct bl_agent *agent,
                          const struct bl_packet *packet);
/* Forwards a packet to the agent HOP.  The candidates that are still listed in
   its header stay there.  Drops the packet after BL_FORWARD_HOPS_MAX hops.  */
void bl_agent_forward (struct bl_agent *agent,
                       struct bl_received_packet *rx,
                       const struct bl_hop *hop);
/* Forwards a packet to the owner that FLOW names, and removes the remaining
   candidates from its header.  */
void bl_agent_forward_to_owner (struct bl_agent *agent,
                                struct bl_received_packet *rx,
                                struct bl_flow *flow);

/* agent_place.c */
/* Places the flow of a first packet at this backend server or at a peer, or
   refuses it.  */
void bl_agent_place (struct bl_agent *agent,
                     struct bl_received_packet *rx,
                     struct bl_flow *flow);

/* agent_lookup.c */
/* Starts an owner lookup: sends the peers an owner query, and holds the packet
   meanwhile.  */
void bl_agent_look_up_owner (struct bl_agent *agent,
                             struct bl_received_packet *rx,
                             struct bl_flow *flow);
/* Sends the name of the flow's owner to the primary of RX, the agent that first
   received the packet.  */
void bl_agent_send_owner_notice (struct bl_agent *agent,
                                 const struct bl_received_packet *rx,
                                 const struct bl_name *owner);
/* These functions handle messages of other agents about the owners of
   flows.  */
void bl_agent_on_owner_query (struct bl_agent *agent,
                              struct bl_addr from,
                              const struct bl_msg *msg);
void bl_agent_on_owner_answer (struct bl_agent *agent,
                               struct bl_addr from,
                               const struct bl_msg *msg);
void bl_agent_on_owner_notice (struct bl_agent *agent,
                               struct bl_addr from,
                               const struct bl_msg *msg);

/* agent_control.c */
/* Fills in the sender of MSG, encodes MSG and sends it.  */
void
bl_agent_send (struct bl_agent *agent, struct bl_addr to, struct bl_msg *msg);

#endif
