/* flows.h -- an agent's table of flows  */

#ifndef BL_FLOWS_H
#define BL_FLOWS_H

#include "boragelatch.h"

#include <uthash.h>

enum bl_ownership
{
  BL_NOT_OWNED = 0,
  BL_HALF_OPEN,   /* the handshake is under way */
  BL_ESTABLISHED, /* the caller acknowledged the initial sequence number */
  BL_CLOSED,      /* the stack closed it; late packets still arrive here */
};

/* Lookup of the owner of a flow.  */
struct bl_agent_owner_lookup
{
  uint64_t seq; /* of the queries; 0: no lookup under way */
  uint32_t ack; /* acknowledgement number in the queries */
  uint64_t started_ms;
  uint64_t denied_ms;      /* when all peers first denied that they own the
                              flow; 0: not yet */
  size_t pending;          /* peers that have not answered */
  bool maybe_paused;       /* a peer declared dead may only be paused */
  uint64_t *awaited_peers; /* owned; hashes of the names of pending peers */
  /* The packet that is held until the owner is found.  */
  uint8_t *held; /* owned */
  size_t held_len;
  uint8_t held_hops;
  struct bl_hop held_primary_hop;
};

struct bl_flow
{
  struct bl_flow_key key;
  enum bl_ownership ownership;
  uint32_t client_isn; /* initial sequence number of the caller */
  uint32_t client_max; /* one past the caller's highest sequence number */
  uint32_t seq_shift;  /* added to the stack's sequence numbers */
  bool iss_known;
  uint32_t iss;             /* initial sequence number sent to the caller */
  uint32_t snd_max;         /* one past the highest sequence number sent */
  bool past_ack_window;     /* more than BL_ACK_WINDOW bytes were sent */
  uint64_t owner_notice_ms; /* sending of the last owner notice */
  bool has_owner;           /* a peer owns it: OWNER */
  struct bl_hop owner;
  uint64_t owner_confirmed_ms; /* when the owner last confirmed it */
  struct bl_agent_owner_lookup owner_lookup;
  uint64_t touched_ms; /* last use of the entry */
  bool expiring;       /* in the list of entries that expire */
  struct bl_flow *prev;
  struct bl_flow *next;
  UT_hash_handle hh;
};

#define BL_ACK_WINDOW         (1u << 30) /* sequence numbers */
#define BL_FLOW_TTL_MS        120000 /* of an entry that is not established */
#define BL_FLOWS_EXPIRING_MAX 200000

struct bl_flows
{
  struct bl_flow *table;    /* owned */
  struct bl_flow *expiring; /* least recently touched first */
  size_t expiring_count;
  size_t owned_count; /* half-open or established here */
};

struct bl_flow *bl_flows_find (const struct bl_flows *flows,
                               const struct bl_flow_key *key);
/* Finds or adds the entry of a flow.  Returns NULL when out of memory.  */
struct bl_flow *bl_flows_get (struct bl_flows *flows,
                              uint64_t now,
                              const struct bl_flow_key *key);
void
bl_flows_touch (struct bl_flows *flows, struct bl_flow *flow, uint64_t now);
void bl_flows_set_ownership (struct bl_flows *flows,
                             struct bl_flow *flow,
                             uint64_t now,
                             enum bl_ownership ownership);
void bl_flows_remove (struct bl_flows *flows, struct bl_flow *flow);
/* Removes expiring entries that were last touched before BEFORE_MS.  */
void bl_flows_expire (struct bl_flows *flows, uint64_t before_ms);
void bl_flows_clear (struct bl_flows *flows);
/* Ends a lookup and frees the held packet.  */
void bl_agent_owner_lookup_stop (struct bl_agent_owner_lookup *owner_lookup);

/* Returns true if a packet with acknowledgement number ACK belongs to this
   connection and not to another connection of the same 4-tuple: the packet
   acknowledges bytes that were sent here.  A packet without an acknowledgement
   number (HAS_ACK is false) matches every entry that is owned and past its
   handshake.  */
bool
bl_flow_matches_ack (const struct bl_flow *flow, uint32_t ack, bool has_ack);

#endif
