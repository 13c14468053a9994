/* agent_lookup.c -- lookup of the owner of a flow, and owner notices

   An agent that receives a packet and has neither a known owner nor a candidate
   left in the header sends an owner query to all peers of the service, also
   those declared dead, and holds the packet meanwhile.  The owner confirms that
   it owns the flow, and later packets are forwarded to it directly.  The caller
   is reset when every peer that is not declared dead has denied twice,
   RESET_AFTER_MS apart, that it owns the flow, while the view was confirmed.
   This interval is longer than a change takes to reach every process, so a peer
   that joined in the meantime is in the view by then.

   A peer that is declared dead may only be paused, and still hold the flow when
   it resumes.  Peers that are declared dead get the queries as well, which
   reveals the processes that have ended: where no process listens, the host
   rejects the datagram.  While the query to a dead peer is neither rejected nor
   answered, the two denials must be RESET_AFTER_PAUSE_MS apart.  */

#include "core/agent.h"

#include <stdlib.h>
#include <string.h>

#define RESET_AFTER_MS       5000  /* between two denials by all peers */
#define RESET_AFTER_PAUSE_MS 20000 /* same, while a dead peer may be paused */
#define DENIAL_TTL_MS        60000 /* an older first denial is discarded */
#define VIEW_FRESH_MS        5000  /* since a monitor confirmed the view */
#define LOOKUP_TIMEOUT_MS    400
#define LOOKUP_RATE_PER_S    200
#define LOOKUP_BURST         400
#define LOOKUP_TOKEN         1000 /* thousandths that one lookup takes */

/* Takes the token for one lookup; returns false when the bucket is empty.  */
static bool
take_lookup_token (struct bl_agent *agent)
{
  uint64_t elapsed_ms = agent->now - agent->lookup_refill_ms;

  agent->lookup_refill_ms = agent->now;
  agent->lookup_tokens += elapsed_ms * LOOKUP_RATE_PER_S;
  if (agent->lookup_tokens > LOOKUP_BURST * LOOKUP_TOKEN)
    agent->lookup_tokens = LOOKUP_BURST * LOOKUP_TOKEN;
  if (agent->lookup_tokens < LOOKUP_TOKEN)
    return false;
  agent->lookup_tokens -= LOOKUP_TOKEN;
  return true;
}

/* Holds a copy of the packet in place of the one held before.  */
static void
hold_packet (struct bl_agent_owner_lookup *lookup,
             const struct bl_received_packet *rx)
{
  uint8_t *copy = malloc (rx->len);

  if (copy == NULL)
    return;
  memcpy (copy, rx->bytes, rx->len);
  free (lookup->held);
  lookup->held = copy;
  lookup->held_len = rx->len;
  lookup->held_hops = rx->forward.hops;
  lookup->held_primary_hop = rx->forward.primary_hop;
}

static bool
view_is_fresh (const struct bl_agent *agent)
{
  return agent->view.confirmed_ms != 0
         && agent->now - agent->view.confirmed_ms <= VIEW_FRESH_MS;
}

static bool
has_ended (const struct bl_agent *agent, const struct bl_candidate *c)
{
  for (size_t i = 0; i < BL_ENDED_PEERS_MAX; i++)
    if (agent->ended_peers[i].hash == c->hash
        && agent->ended_peers[i].incarnation == c->incarnation)
      return true;
  return false;
}

void
bl_agent_port_unreachable (struct bl_agent *agent,
                           uint64_t now,
                           struct bl_addr addr)
{
  const struct bl_pool *pool = &agent->view.pool;

  agent->now = now;
  for (size_t i = 0; i < pool->count; i++)
    {
      const struct bl_candidate *c = &pool->items[i];
      if (!c->declared_dead || !bl_addr_equal (c->control, addr)
          || has_ended (agent, c))
        continue;
      agent->ended_peers[agent->ended_peers_next]
          = (struct bl_ended_peer){ c->hash, c->incarnation };
      agent->ended_peers_next
          = (agent->ended_peers_next + 1) % BL_ENDED_PEERS_MAX;
    }
}

/* Every awaited peer has denied that it owns the flow.  Resets the caller if
   this is the second denial, far enough from the first; drops the held packet
   otherwise.  */
static void
on_all_denied (struct bl_agent *agent, struct bl_flow *flow)
{
  struct bl_agent_owner_lookup *lookup = &flow->owner_lookup;
  uint64_t required_ms
      = lookup->maybe_paused ? RESET_AFTER_PAUSE_MS : RESET_AFTER_MS;
  struct bl_packet packet;

  if (!view_is_fresh (agent))
    lookup->denied_ms = 0;
  else if (lookup->denied_ms == 0
           || agent->now - lookup->denied_ms > DENIAL_TTL_MS)
    lookup->denied_ms = agent->now;
  else if (agent->now - lookup->denied_ms >= required_ms
           && bl_packet_parse (&packet, lookup->held, lookup->held_len)
                  == BL_OK)
    {
      agent->counters[BL_AGENT_RESETS]++;
      bl_agent_send_reset (agent, &packet);
      bl_agent_owner_lookup_stop (lookup);
      return;
    }
  agent->counters[BL_AGENT_UNKNOWN_DROPPED]++;
  bl_agent_owner_lookup_stop (lookup);
}

static void
query_peers (struct bl_agent *agent, struct bl_flow *flow, uint32_t ack)
{
  const struct bl_pool *pool = &agent->view.pool;
  struct bl_agent_owner_lookup *lookup = &flow->owner_lookup;
  struct bl_msg msg = {
    .type = BL_MSG_OWNER_QUERY,
    .seq = lookup->seq,
    .flow = flow->key,
    .ack = ack,
  };

  for (size_t i = 0; i < pool->count; i++)
    {
      const struct bl_candidate *c = &pool->items[i];
      if (bl_name_equal (&c->id, &agent->settings.id))
        continue;
      /* A peer that is declared dead gets the query, but its answer is not
         awaited.  */
      if (!c->declared_dead)
        lookup->awaited_peers[lookup->pending++] = c->hash;
      else if (!has_ended (agent, c))
        lookup->maybe_paused = true;
      bl_agent_send (agent, c->control, &msg);
    }
}

/* Removes a peer from those whose answers are awaited.  Returns false when it
   is not among them: its answer arrived twice, and must be counted only
   once.  */
static bool
remove_awaited (struct bl_agent_owner_lookup *lookup, uint64_t hash)
{
  for (size_t i = 0; i < lookup->pending; i++)
    if (lookup->awaited_peers[i] == hash)
      {
        lookup->awaited_peers[i] = lookup->awaited_peers[--lookup->pending];
        return true;
      }
  return false;
}

static void
start_lookup (struct bl_agent *agent,
              struct bl_received_packet *rx,
              struct bl_flow *flow)
{
  struct bl_agent_owner_lookup *lookup = &flow->owner_lookup;

  bl_agent_owner_lookup_stop (lookup);
  lookup->awaited_peers
      = calloc (agent->view.pool.count + 1, sizeof (uint64_t));
  if (lookup->awaited_peers == NULL)
    return;
  agent->counters[BL_AGENT_OWNER_LOOKUPS]++;
  hold_packet (lookup, rx);
  lookup->ack = rx->packet.ack;
  lookup->seq = ++agent->lookup_seq;
  lookup->started_ms = agent->now;
  lookup->maybe_paused = false;
  query_peers (agent, flow, rx->packet.ack);
  if (lookup->pending == 0)
    on_all_denied (agent, flow);
}

void
bl_agent_look_up_owner (struct bl_agent *agent,
                        struct bl_received_packet *rx,
                        struct bl_flow *flow)
{
  struct bl_agent_owner_lookup *lookup = &flow->owner_lookup;

  if (lookup->seq != 0 && agent->now - lookup->started_ms < LOOKUP_TIMEOUT_MS)
    {
      /* The queries carry one acknowledgement number, and the answers must not
         decide about a packet with another.  */
      if (lookup->ack == rx->packet.ack)
        hold_packet (lookup, rx);
      return;
    }
  if (!take_lookup_token (agent))
    {
      agent->counters[BL_AGENT_UNKNOWN_DROPPED]++;
      return;
    }
  start_lookup (agent, rx, flow);
}

void
bl_agent_on_owner_query (struct bl_agent *agent,
                         struct bl_addr from,
                         const struct bl_msg *msg)
{
  const struct bl_flow *flow = bl_flows_find (&agent->flows, &msg->flow);
  struct bl_msg answer = {
    .type = BL_MSG_OWNER_ANSWER,
    .seq = msg->seq,
    .flow = msg->flow,
    .affirmative = flow != NULL && bl_flow_matches_ack (flow, msg->ack, true),
  };

  bl_agent_send (agent, from, &answer);
}

/* Forwards the held packet to the owner that the lookup has found.  */
static void
forward_held_packet (struct bl_agent *agent, struct bl_flow *flow)
{
  struct bl_agent_owner_lookup *lookup = &flow->owner_lookup;
  struct bl_received_packet rx = {
    .bytes = lookup->held,
    .len = lookup->held_len,
    .forward = {
      .service = agent->view.service->id,
      .hops = lookup->held_hops,
      .primary_hop = lookup->held_primary_hop,
    },
  };

  if (rx.bytes != NULL)
    bl_agent_forward_to_owner (agent, &rx, flow);
  bl_agent_owner_lookup_stop (lookup);
  lookup->denied_ms = 0;
}

void
bl_agent_on_owner_answer (struct bl_agent *agent,
                          struct bl_addr from,
                          const struct bl_msg *msg)
{
  struct bl_flow *flow = bl_flows_find (&agent->flows, &msg->flow);
  const struct bl_candidate *peer = bl_view_find (&agent->view, &msg->from);

  (void)from;
  if (flow == NULL || peer == NULL || flow->owner_lookup.seq != msg->seq
      || flow->owner_lookup.seq == 0)
    return;
  if (msg->affirmative)
    {
      flow->owner_confirmed_ms = agent->now;
      flow->has_owner = true;
      flow->owner = (struct bl_hop){ peer->data, peer->incarnation };
      forward_held_packet (agent, flow);
      return;
    }
  if (remove_awaited (&flow->owner_lookup, peer->hash)
      && flow->owner_lookup.pending == 0)
    on_all_denied (agent, flow);
}

void
bl_agent_on_owner_notice (struct bl_agent *agent,
                          struct bl_addr from,
                          const struct bl_msg *msg)
{
  const struct bl_name *owner = &msg->subject;
  const struct bl_candidate *peer = bl_view_find (&agent->view, owner);
  struct bl_flow *flow;

  (void)from;
  if (peer == NULL || bl_name_equal (owner, &agent->settings.id))
    return;
  flow = bl_flows_get (&agent->flows, agent->now, &msg->flow);
  if (flow == NULL)
    return;
  /* A half-open flow that is owned here stays, since it may be the caller's
     next flow.  The acknowledgement number of a packet decides which of the two
     flows it belongs to.  */
  flow->has_owner = true;
  flow->owner = (struct bl_hop){ peer->data, peer->incarnation };
}

void
bl_agent_send_owner_notice (struct bl_agent *agent,
                            const struct bl_received_packet *rx,
                            const struct bl_name *owner)
{
  const struct bl_candidate *primary = bl_view_find_by_data_address (
      &agent->view, rx->forward.primary_hop.data);
  struct bl_msg msg = {
    .type = BL_MSG_OWNER_NOTICE,
    .subject = *owner,
    .flow = rx->packet.key,
  };

  if (primary != NULL)
    bl_agent_send (agent, primary->control, &msg);
}
