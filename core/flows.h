/* flows.h -- what an agent knows of flows  */

#ifndef BL_FLOWS_H
#define BL_FLOWS_H

#include "boragelatch.h"

#include <uthash.h>

enum bl_ownership
{
  BL_NOT_OWNED = 0,
  BL_HALF_OPEN,   /* the handshake is under way */
  BL_ESTABLISHED, /* the caller proved to have our initial sequence number */
  BL_CLOSED,      /* the stack has let go; late packets still come here */
};

/* A search for the owner of a flow.  */
struct bl_owner_lookup
{
  uint64_t seq; /* of the queries; 0: no search under way */
  uint32_t ack; /* that peers were asked about */
  uint64_t started_ms;
  uint64_t denied_ms;      /* when all peers first denied; 0: never */
  size_t pending;          /* peers that have not answered */
  bool maybe_paused;       /* one that is declared dead may yet wake */
  uint64_t *awaited_peers; /* owned; hashes of their names */
  uint8_t *held;           /* owned; the packet that waits */
  size_t held_len;
  uint8_t held_hops;
  struct bl_hop held_primary_hop;
};

struct bl_flow
{
  struct bl_flow_key key;
  enum bl_ownership ownership;
  uint32_t client_isn; /* initial sequence number of the caller */
  uint32_t client_max; /* one past the highest sequence number it sent */
  uint32_t seq_shift;  /* added to the stack's sequence numbers */
  bool iss_known;
  uint32_t iss;         /* ours, once seen going out */
  uint32_t snd_max;     /* one past the highest sequence number sent */
  bool past_ack_window; /* more than BL_ACK_WINDOW bytes were sent */
  uint64_t owner_notice_ms;
  bool has_owner; /* a peer is known to own it */
  struct bl_hop owner;
  uint64_t owner_confirmed_ms; /* when the owner last said that it is */
  struct bl_owner_lookup owner_lookup;
  uint64_t touched_ms;
  bool passive; /* in the list of entries that expire */
  struct bl_flow *prev;
  struct bl_flow *next;
  UT_hash_handle hh;
};

#define BL_ACK_WINDOW        (1u << 30) /* sequence numbers */
#define BL_FLOW_TTL_MS       120000 /* of an entry that is not established */
#define BL_FLOWS_PASSIVE_MAX 200000

struct bl_flows
{
  struct bl_flow *table;
  struct bl_flow *passive; /* least recently touched first */
  size_t passive_count;
  size_t owned_count;
};

struct bl_flow *bl_flows_find (const struct bl_flows *flows,
                               const struct bl_flow_key *key);
/* Finds or adds; NULL when out of memory.  */
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
/* Removes passive entries untouched since before BEFORE_MS.  */
void bl_flows_expire (struct bl_flows *flows, uint64_t before_ms);
void bl_flows_clear (struct bl_flows *flows);
void bl_owner_lookup_stop (struct bl_owner_lookup *owner_lookup);

/* True when PACKET belongs to this very connection and not to another one of
   the same 4-tuple: it acknowledges what was sent here.  */
bool
bl_flow_matches_ack (const struct bl_flow *flow, uint32_t ack, bool has_ack);

#endif
