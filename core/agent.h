/* agent.h -- the inside of an agent, shared by its modules  */

#ifndef BL_AGENT_H
#define BL_AGENT_H

#include "core/flows.h"
#include "core/msg.h"
#include "core/view.h"

#define BL_AGENT_MONITORS_MAX                                                  \
  8 /* members named in an answer to an announcement */

/* An incarnation of a peer that is known to have ended.  */
struct bl_ended_peer
{
  uint64_t hash; /* of its name; 0: no entry */
  uint64_t incarnation;
};

#define BL_ENDED_PEERS_MAX                                                     \
  64 /* the latest; a forgotten one is found out again */

struct bl_agent
{
  struct bl_agent_settings settings;
  struct bl_agent_ops ops;
  void *ctx;
  struct bl_random random;
  uint64_t now; /* of the call under way */
  struct bl_record self;
  bool backend_ready;
  bool draining;
  uint32_t load;
  uint64_t ready_ms; /* since when; 0: not yet */
  struct bl_view view;
  struct bl_flows flows;
  uint64_t next_seq;
  /* Searches for owners are limited: tokens in thousandths.  */
  uint64_t search_tokens;
  uint64_t search_filled_ms;
  /* Announcements.  */
  size_t keeper_count;
  struct bl_record keepers[BL_AGENT_MONITORS_MAX];
  uint32_t
      known_seq[BL_AGENT_MONITORS_MAX]; /* of the own record, at each keeper */
  uint64_t next_announce_ms;
  uint64_t answered_ms; /* when a balancer last answered */
  uint64_t next_pull_ms;
  uint64_t pull_wait_ms;  /* until the next try, doubled at each */
  bool behind;            /* a keeper named another digest than the view's */
  uint64_t told_digest;   /* that digest */
  struct bl_name told_by; /* that keeper */
  struct bl_ended_peer ended[BL_ENDED_PEERS_MAX];
  size_t ended_next; /* entry that is overwritten next */
  /* Load reports.  */
  uint32_t reported_load;
  uint32_t reported_ramp;
  uint64_t next_report_ms;
  struct bl_buffer buffer;
  uint64_t counters[BL_AGENT_COUNTERS];
};

/* A packet with all that belongs to it.  */
struct bl_received_packet
{
  struct bl_forward forward;
  struct bl_packet packet;
  const uint8_t *bytes;
  size_t len;
};

/* agent.c */
/* Gives a packet to the stack, in the stack's own sequence numbers.  */
void bl_agent_deliver (struct bl_agent *agent,
                       const struct bl_received_packet *a,
                       const struct bl_flow *flow);
void bl_agent_send_reset (struct bl_agent *agent,
                          const struct bl_packet *packet);
/* Passes a packet on to HOP; the rest of the chain stays with it.  */
void bl_agent_forward (struct bl_agent *agent,
                       struct bl_received_packet *a,
                       const struct bl_hop *hop);
/* Sends a packet to the owner that FLOW names.  */
void bl_agent_forward_to_owner (struct bl_agent *agent,
                                struct bl_received_packet *a,
                                struct bl_flow *flow);

/* agent_place.c */
/* Places the flow of a first packet: here, at a peer, or nowhere.  */
void bl_agent_place (struct bl_agent *agent,
                     struct bl_received_packet *a,
                     struct bl_flow *flow);

/* agent_search.c */
/* Asks the peers whose flow it is, and holds the packet meanwhile.  */
void bl_agent_look_up_owner (struct bl_agent *agent,
                             struct bl_received_packet *a,
                             struct bl_flow *flow);
/* Tells the agent that saw a packet first where its flow lives, or goes.  */
void bl_agent_send_owner_notice (struct bl_agent *agent,
                                 const struct bl_received_packet *a,
                                 const struct bl_name *owner);
/* Messages of other agents about flows.  */
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
/* Encodes and sends MSG, with the sender filled in.  */
void
bl_agent_send (struct bl_agent *agent, struct bl_addr to, struct bl_msg *msg);

#endif
