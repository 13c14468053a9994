/* flows.c -- an agent's table of flows

   An entry records that a flow is owned here, that a peer owns it, or that a
   lookup of its owner is under way.  Entries that are not established here
   expire when they have not been used for a while: such an entry only saves a
   lookup, or waits for a handshake that was never completed.

   A 4-tuple may name two connections at once: a repeated first packet may have
   reached two agents, or a port was used again while the other end of its last
   connection is still open.  The two are distinguished by the acknowledgement
   number, since a packet acknowledges only what its sender has received.  This
   requires initial sequence numbers that are far apart.  Those of lwIP are not,
   neither between agents nor from one connection to the next.  Each flow
   therefore gets a random shift, which is added to the sequence numbers that
   the stack sends and subtracted from those that the caller acknowledges.  */

#include "core/flows.h"

#include <stdlib.h>
#include <utlist.h>

struct bl_flow *
bl_flows_find (const struct bl_flows *flows, const struct bl_flow_key *key)
{
  struct bl_flow *flow;
  HASH_FIND (hh, flows->table, key, sizeof *key, flow);
  return flow;
}

static void
set_expiring (struct bl_flows *flows, struct bl_flow *flow, bool expiring)
{
  if (flow->expiring == expiring)
    return;
  flow->expiring = expiring;
  if (expiring)
    {
      DL_APPEND (flows->expiring, flow);
      flows->expiring_count++;
    }
  else
    {
      DL_DELETE (flows->expiring, flow);
      flows->expiring_count--;
    }
}

void
bl_agent_owner_lookup_stop (struct bl_agent_owner_lookup *owner_lookup)
{
  free (owner_lookup->held);
  owner_lookup->held = NULL;
  free (owner_lookup->awaited_peers);
  owner_lookup->awaited_peers = NULL;
  owner_lookup->held_len = 0;
  owner_lookup->seq = 0;
  owner_lookup->pending = 0;
}

void
bl_flows_remove (struct bl_flows *flows, struct bl_flow *flow)
{
  if (flow->ownership == BL_HALF_OPEN || flow->ownership == BL_ESTABLISHED)
    flows->owned_count--;
  set_expiring (flows, flow, false);
  HASH_DEL (flows->table, flow);
  bl_agent_owner_lookup_stop (&flow->owner_lookup);
  free (flow);
}

struct bl_flow *
bl_flows_get (struct bl_flows *flows,
              uint64_t now,
              const struct bl_flow_key *key)
{
  struct bl_flow *flow = bl_flows_find (flows, key);

  if (flow != NULL)
    return flow;
  if (flows->expiring_count >= BL_FLOWS_EXPIRING_MAX)
    bl_flows_remove (flows, flows->expiring);
  flow = calloc (1, sizeof *flow);
  if (flow == NULL)
    return NULL;
  flow->key = *key;
  flow->touched_ms = now;
  HASH_ADD (hh, flows->table, key, sizeof flow->key, flow);
  set_expiring (flows, flow, true);
  return flow;
}

void
bl_flows_touch (struct bl_flows *flows, struct bl_flow *flow, uint64_t now)
{
  flow->touched_ms = now;
  if (!flow->expiring)
    return;
  DL_DELETE (flows->expiring, flow);
  DL_APPEND (flows->expiring, flow);
}

void
bl_flows_set_ownership (struct bl_flows *flows,
                        struct bl_flow *flow,
                        uint64_t now,
                        enum bl_ownership ownership)
{
  bool was
      = flow->ownership == BL_HALF_OPEN || flow->ownership == BL_ESTABLISHED;
  bool is = ownership == BL_HALF_OPEN || ownership == BL_ESTABLISHED;

  flow->ownership = ownership;
  flow->touched_ms = now;
  if (is && !was)
    flows->owned_count++;
  if (was && !is)
    flows->owned_count--;
  set_expiring (flows, flow, ownership != BL_ESTABLISHED);
}

void
bl_flows_expire (struct bl_flows *flows, uint64_t before_ms)
{
  while (flows->expiring != NULL && flows->expiring->touched_ms < before_ms)
    bl_flows_remove (flows, flows->expiring);
}

void
bl_flows_clear (struct bl_flows *flows)
{
  struct bl_flow *flow;
  struct bl_flow *next;

  HASH_ITER (hh, flows->table, flow, next) { bl_flows_remove (flows, flow); }
}

bool
bl_flow_matches_ack (const struct bl_flow *flow, uint32_t ack, bool has_ack)
{
  uint32_t behind = flow->snd_max - ack;

  if (flow->ownership == BL_NOT_OWNED)
    return false;
  if (!has_ack)
    return flow->ownership != BL_HALF_OPEN;
  if (!flow->iss_known)
    return false;
  if (flow->past_ack_window)
    return behind <= BL_ACK_WINDOW;
  return behind <= flow->snd_max - (flow->iss + 1);
}
