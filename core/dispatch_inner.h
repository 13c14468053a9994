/* dispatch_inner.h -- internal declarations shared by the dispatch modules  */

#ifndef BL_DISPATCH_INNER_H
#define BL_DISPATCH_INNER_H

#include "core/dispatch.h"
#include "core/link_budget.h"
#include "core/msg.h"

#include <uthash.h>

#define BL_OFFERS_MAX 4 /* offers of one first packet, to different agents */

/* The offer of a first packet to an agent.  */
struct bl_offer
{
  struct bl_instance *instance;
  uint64_t sent_ms;
  uint64_t backend_start; /* start time of the backend server that accepted */
  uint32_t seq;           /* its initial sequence number */
  bool accepted;
  bool refused;
};

#define BL_TRACKED_FLOWS_MAX 65536 /* takes about 45 MB of memory */
#define BL_HELD_PACKETS_MAX  16 /* packets that a caller may have in flight */

struct bl_held_packet
{
  uint8_t *ptr; /* owned */
  size_t len;
  uint32_t seq;
  uint16_t payload_len;
};

enum bl_flow_phase
{
  BL_PHASE_OPENING,      /* offered; the caller has not acknowledged any of the
                            backend servers' answers yet */
  BL_PHASE_OPEN,         /* the owner is known */
  BL_PHASE_OWNER_LOOKUP, /* the agents are queried for the owner */
};

/* The reply of an agent in an owner lookup.  */
enum bl_reply
{
  BL_REPLY_NONE, /* no reply yet */
  BL_REPLY_NOT_OWNED,
  BL_REPLY_INCOMPLETE, /* the agent's flow table may miss the flow */
  BL_REPLY_PROBED,     /* incomplete; the agent was sent the packet and has not
                          returned it yet */
};

/* An agent that was sent an owner query, and its reply.  */
struct bl_queried_agent
{
  struct bl_instance *instance;
  enum bl_reply reply;
  uint64_t query_ms; /* when the last query was sent */
};

#define BL_RETURNED_MAX 8

/* A backend server that returned a packet of a flow: this start of it does not
   hold the flow.  */
struct bl_returned_by
{
  const struct bl_instance *instance;
  uint64_t backend_start;
};

/* What is known of a flow from packets that were sent to agents which had not
   claimed it.  Outlives a lookup without result.  */
struct bl_flow_probes
{
  uint32_t ack;     /* acknowledgement number of the packets */
  uint64_t sent_ms; /* when the last one was sent */
  size_t returned_count;
  struct bl_returned_by returned[BL_RETURNED_MAX];
};

/* The state of an owner lookup.  */
struct bl_dispatch_owner_lookup
{
  uint32_t ack; /* acknowledgement number in the owner queries */
  uint64_t started_ms;
  uint64_t last_probe_ms; /* when the packet was last sent as a probe */
  size_t count;
  size_t cap;
  struct bl_queried_agent *queried; /* owned */
  size_t open_probes; /* agents that were sent the packet and have not
                         returned it */
  bool paused;        /* no result; continues with the caller's next packet */
  bool only_offered;  /* only agents that were offered the flow are queried */
  bool all_services;  /* agents of all services are queried, not only those of
                         the route's services */
};

/* A flow of which this balancer keeps state.  */
struct bl_tracked_flow
{
  struct bl_flow_key key;
  enum bl_flow_phase phase;
  uint64_t service;        /* hash of the name of the service it is placed in */
  uint64_t last_packet_ms; /* when the caller last sent a packet */
  uint64_t phase_start_ms;
  uint32_t first_seq; /* sequence number of the caller's first packet */
  uint32_t last_ack;  /* acknowledgement number of the caller's last packet */
  struct bl_instance *owner;
  bool owner_presumed; /* found by elimination: the owner has not claimed the
                          flow */
  uint64_t owner_backend_start; /* start time of the owner's backend server */
  uint64_t owner_incarnation;
  size_t offer_count;
  struct bl_offer offers[BL_OFFERS_MAX];
  struct bl_dispatch_owner_lookup lookup;
  struct bl_flow_probes *probes; /* owned; NULL: none was sent */
  /* Packets held until the owner is known, or a first packet that may have to
     be offered again; in order of arrival.  */
  size_t held_count;
  struct bl_held_packet held[BL_HELD_PACKETS_MAX];
  bool held_payload; /* at least one held packet carries payload */
  bool pending;      /* in the list of flows that have a time-out running */
  struct bl_tracked_flow *prev;
  struct bl_tracked_flow *next;
  UT_hash_handle hh;
};

struct bl_dispatch
{
  struct bl_dispatch_settings settings;
  struct bl_dispatch_ops ops;
  void *ctx;
  struct bl_random random;
  uint64_t now; /* time of the current call */
  uint64_t started_ms;
  struct bl_fleet fleet;
  bool routes_confirmed; /* no peer is known to have newer routes, see
                            dispatch_state.c */
  uint64_t store_era;    /* newest of the platform's store; 0: not known */
  struct bl_link_budget link_budget;
  struct bl_route_table *table;    /* owned; NULL until routes are configured */
  struct bl_tracked_flow *flows;   /* owned; hash table by key */
  struct bl_tracked_flow *pending; /* list of flows that have a time-out
                                      running */
  uint64_t next_sweep_ms;
  uint64_t next_members_ms;
  uint64_t next_seed_ms;
  uint64_t next_compare_ms;
  uint64_t next_records_pull_ms; /* earliest time of the next pull of records */
  uint64_t next_records_send_ms; /* earliest time at which a pull of records is
                                    served again */
  uint64_t round_start_ms; /* start of the last comparison round; 0: none */
  size_t round_pending;    /* balancers queried in this round whose records are
                              not yet known to agree */
  uint64_t confirmed_round_ms; /* start of the last round that has ended */
  uint64_t next_routes_pull_ms;
  uint64_t list_read_ms;  /* when the store's list of instances was read; 0: not
                             yet */
  bool records_confirmed; /* a balancer with a complete set of agents held the
                             same records */
  bool update_pending; /* newer routes or a changed own record are announced to
                          other balancers with the next tick */
  struct bl_buffer buffer; /* for encoding control messages */
  size_t class_count;
  struct bl_dispatch_class classes[BL_DISPATCH_CLASSES_MAX];
  uint64_t counters[BL_DISPATCH_COUNTERS];
};

/* A caller's packet: its decoded headers and its bytes.  */
struct bl_raw_packet
{
  const struct bl_packet *packet;
  const uint8_t *ptr;
  size_t len;
};

struct bl_balancing_policy
{
  /* Selects the agent to which F is offered next; NULL if none is left.  */
  struct bl_instance *(*choose) (struct bl_dispatch *d,
                                 const struct bl_tracked_flow *f);
  const char *name;
};

/* dispatch_choose.c */
/* Returns the policy in force.  */
const struct bl_balancing_policy *
bl_dispatch_policy (const struct bl_dispatch *d);
/* Writes up to MAX agents of a service to OUT, starting with those that a new
   flow with KEY would be offered to.  Returns their number.  */
size_t bl_rank_agents (const struct bl_dispatch *d,
                       const struct bl_flow_key *key,
                       uint64_t service,
                       struct bl_instance **out,
                       size_t max);

/* dispatch.c */
/* Adds a flow.  Returns NULL when the table is full or memory runs out.  */
struct bl_tracked_flow *bl_tracked_flow_add (struct bl_dispatch *d,
                                             const struct bl_flow_key *key);
struct bl_tracked_flow *bl_tracked_flow_find (struct bl_dispatch *d,
                                              const struct bl_flow_key *key);
void bl_tracked_flow_remove (struct bl_dispatch *d, struct bl_tracked_flow *f);
/* Holds a copy of a packet.  Drops the packet if it repeats the payload of one
   that is held, if BL_HELD_PACKETS_MAX are held already or memory runs out.  */
void bl_tracked_flow_hold (struct bl_tracked_flow *f,
                           const struct bl_raw_packet *raw);
/* Frees all held packets.  */
void bl_tracked_flow_discard_held (struct bl_tracked_flow *f);
/* Adds F to the list of pending flows, or removes it.  */
void bl_tracked_flow_set_pending (struct bl_dispatch *d,
                                  struct bl_tracked_flow *f,
                                  bool pending);
/* Sets the owner of F, which is open from then on, and ends its lookup.  */
void bl_tracked_flow_set_owner (struct bl_dispatch *d,
                                struct bl_tracked_flow *f,
                                struct bl_instance *owner,
                                uint64_t backend_start);
/* Sends a packet of F to an agent.  */
void bl_dispatch_forward (struct bl_dispatch *d,
                          const struct bl_tracked_flow *f,
                          struct bl_instance *to,
                          const uint8_t *packet,
                          size_t len);
/* Calls the operation log_decision; the parameters are the members of struct
   bl_decision.  */
void bl_dispatch_log_decision (struct bl_dispatch *d,
                               const char *event_name,
                               const char *reason,
                               const struct bl_flow_key *flow,
                               const struct bl_instance *instance,
                               uint64_t age_ms);
/* Returns the class of the flows that a route sends to one of its services;
   adds the class if it is new.  Returns NULL without a route.  */
struct bl_dispatch_class *bl_dispatch_class_of (struct bl_dispatch *d,
                                                const struct bl_flow_key *key,
                                                uint64_t service);

/* dispatch_reset.c */
/* Why a caller is reset.  */
enum bl_evidence_kind
{
  BL_EVIDENCE_SERVER_GONE,   /* the owner announced that its server left, died
                                or restarted */
  BL_EVIDENCE_SERVER_SILENT, /* the owner does not reply, and others do */
  BL_EVIDENCE_DENIALS,       /* no agent holds the flow */
  BL_EVIDENCE_ROUTE_DROPPED, /* the routes in force lack its address and port */
  BL_EVIDENCE_NO_ROUTE,      /* the same, for a first packet */
  BL_EVIDENCE_ALL_REFUSED,   /* each agent that was offered the flow refused */
  BL_EVIDENCE_NO_SERVER,     /* there is none to offer it to */
  BL_EVIDENCE_LINK_FULL, /* this balancer's link has no room for new flows */
};

struct bl_reset_evidence
{
  enum bl_evidence_kind kind;
  const struct bl_instance *instance; /* that it is about; NULL: none */
  uint64_t since_ms; /* time of the event that it rests on; 0: now */
};

const char *bl_evidence_name (enum bl_evidence_kind kind);
/* Resets the caller's connection and removes F.  Returns false and only logs if
   EVIDENCE is not about F in its present state.  */
bool bl_dispatch_reset_flow (struct bl_dispatch *d,
                             struct bl_tracked_flow *f,
                             const struct bl_reset_evidence *evidence);
/* Resets a connection whose first packet P finds no route.  */
void bl_dispatch_reset_untracked (struct bl_dispatch *d,
                                  const struct bl_packet *p);

/* dispatch_state.c */
void bl_dispatch_update_state (struct bl_dispatch *d);
/* Increments the sequence number of the changed own record; the next tick
   sends it to other balancers.  */
void bl_dispatch_publish_self (struct bl_dispatch *d, const char *reason);
/* Returns true when the set of known agents is complete, so that no agent owns
   a flow if all of them reply that they do not own it.  */
bool bl_dispatch_has_all_agents (const struct bl_dispatch *d);

/* dispatch_place.c */
/* Offers the held first packet to one more backend server.  Returns false when
   none is left.  */
bool bl_placement_offer_next (struct bl_dispatch *d, struct bl_tracked_flow *f);
/* Handles a first packet, new or retransmitted.  */
void bl_placement_start (struct bl_dispatch *d,
                         const struct bl_raw_packet *raw);
/* Handles an agent's reply to an offer.  */
void bl_placement_on_reply (struct bl_dispatch *d,
                            struct bl_tracked_flow *f,
                            struct bl_instance *from,
                            const struct bl_link_msg *link);
/* Returns the accepted offer whose sequence number the caller acknowledges with
   ACK; NULL if there is none.  */
struct bl_offer *bl_placement_find_chosen (struct bl_tracked_flow *f,
                                           uint32_t ack);
void bl_placement_check_timeouts (struct bl_dispatch *d,
                                  struct bl_tracked_flow *f);

/* dispatch_lookup.c */
/* Starts an owner lookup for F and holds the packet; replaces a lookup that is
   in progress.  */
void bl_lookup_start (struct bl_dispatch *d,
                      struct bl_tracked_flow *f,
                      const struct bl_raw_packet *raw);
/* Handles a further packet of the caller during a lookup.  */
void bl_lookup_add_packet (struct bl_dispatch *d,
                           struct bl_tracked_flow *f,
                           const struct bl_raw_packet *raw);
/* Handles an agent's reply to an owner query.  */
void bl_lookup_on_reply (struct bl_dispatch *d,
                         struct bl_tracked_flow *f,
                         struct bl_instance *from,
                         const struct bl_link_msg *link);
/* Handles the packet RETURNED, which the agent FROM returned because its
   backend server does not hold the flow.  */
void bl_lookup_on_returned (struct bl_dispatch *d,
                            struct bl_tracked_flow *f,
                            struct bl_instance *from,
                            const struct bl_raw_packet *returned);
/* Notes that the backend server of the agent FROM does not hold the flow with
   acknowledgement number ACK.  */
void bl_lookup_note_returned (struct bl_tracked_flow *f,
                              const struct bl_instance *from,
                              uint32_t ack);
void bl_lookup_check_timeouts (struct bl_dispatch *d,
                               struct bl_tracked_flow *f);

/* dispatch_members.c */
void bl_members_tick (struct bl_dispatch *d);
/* Sends INSTANCE a status request.  */
void bl_members_request_status (struct bl_dispatch *d,
                                struct bl_instance *instance);
void
bl_members_send (struct bl_dispatch *d, struct bl_addr to, struct bl_msg *msg);
/* Handles a control message.  Returns BL_EFORMAT for an unexpected type or a
   malformed body.  */
int bl_members_message (struct bl_dispatch *d,
                        struct bl_addr from,
                        const struct bl_msg *msg);

/* dispatch_compare.c */
void bl_compare_tick (struct bl_dispatch *d);
/* Compares the digest of PEER's records, which MSG carries, with the own.  */
void bl_compare_on_digest (struct bl_dispatch *d,
                           struct bl_instance *peer,
                           const struct bl_msg *msg);
/* Serves PULL: sends the sender the records that it does not hold.  Returns
   BL_EFORMAT when PULL has no digests of the buckets.  */
int bl_compare_send_records (struct bl_dispatch *d,
                             struct bl_addr from,
                             const struct bl_msg *pull);
/* Returns true when a comparison round that began at SINCE_MS or later has
   ended, or there is no other balancer to compare with.  Starts a round if
   needed.  */
bool bl_compare_confirmed (struct bl_dispatch *d, uint64_t since_ms);

#endif
