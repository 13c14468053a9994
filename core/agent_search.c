/* agent_search.c -- finding the owner of a flow, and telling it

   An agent that knows neither owner nor chain for a packet asks all peers of
   the service, also those declared dead, and holds the packet.  Whose the flow
   is says so, and later packets go there directly.  When every living peer in
   a confirmed view has denied it twice, RESET_AFTER_MS apart, the caller is
   reset: that is longer than a change takes to be known everywhere, so a peer
   that joined meanwhile has become visible.

   A peer that is declared dead may be paused, and hold the flow when it wakes.
   One that has ended is told from it by the queries that all dead ones get:
   where no process listens, the instance turns them down.  While one is neither
   turned down nor heard, the denials must be PAUSE_MS apart.  */

#include "core/agent.h"

#include <stdlib.h>
#include <string.h>

#define RESET_AFTER_MS    5000  /* between two denials of a flow */
#define PAUSE_MS          20000 /* the same while a dead peer may be paused */
#define DENIED_MAX_MS     60000 /* an older denial says nothing any more */
#define VIEW_FRESH_MS     5000  /* since a keeper confirmed the view */
#define SEARCH_TIMEOUT_MS 400
#define SEARCH_RATE       200 /* searches a second */
#define SEARCH_BURST      400

static bool
take_search_token (struct bl_agent *agent)
{
  uint64_t passed = agent->now - agent->search_filled_ms;

  agent->search_filled_ms = agent->now;
  agent->search_tokens += passed * SEARCH_RATE;
  if (agent->search_tokens > SEARCH_BURST * 1000)
    agent->search_tokens = SEARCH_BURST * 1000;
  if (agent->search_tokens < 1000)
    return false;
  agent->search_tokens -= 1000;
  return true;
}

static void
hold_packet (struct bl_owner_lookup *owner_lookup, const struct bl_arrival *a)
{
  uint8_t *copy = malloc (a->len);

  if (copy == NULL)
    return;
  memcpy (copy, a->bytes, a->len);
  free (owner_lookup->held);
  owner_lookup->held = copy;
  owner_lookup->held_len = a->len;
  owner_lookup->held_hops = a->forward.hops;
  owner_lookup->held_primary_hop = a->forward.primary_hop;
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
  for (size_t i = 0; i < BL_ENDED_MAX; i++)
    if (agent->ended[i].hash == c->hash
        && agent->ended[i].incarnation == c->incarnation)
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
      agent->ended[agent->ended_next]
          = (struct bl_ended){ c->hash, c->incarnation };
      agent->ended_next = (agent->ended_next + 1) % BL_ENDED_MAX;
    }
}

/* Every peer has denied the flow.  */
static void
search_denied (struct bl_agent *agent, struct bl_flow *flow)
{
  struct bl_owner_lookup *owner_lookup = &flow->owner_lookup;
  uint64_t apart_ms = owner_lookup->maybe_paused ? PAUSE_MS : RESET_AFTER_MS;
  struct bl_packet packet;

  if (!view_is_fresh (agent))
    owner_lookup->denied_ms = 0;
  else if (owner_lookup->denied_ms == 0
           || agent->now - owner_lookup->denied_ms > DENIED_MAX_MS)
    owner_lookup->denied_ms = agent->now;
  else if (agent->now - owner_lookup->denied_ms >= apart_ms
           && bl_packet_parse (&packet, owner_lookup->held,
                               owner_lookup->held_len)
                  == BL_OK)
    {
      agent->counters[BL_AGENT_RESETS]++;
      bl_agent_answer_reset (agent, &packet);
      bl_owner_lookup_stop (owner_lookup);
      return;
    }
  agent->counters[BL_AGENT_UNKNOWN_DROPPED]++;
  bl_owner_lookup_stop (owner_lookup);
}

static void
ask_peers (struct bl_agent *agent, struct bl_flow *flow, uint32_t ack)
{
  const struct bl_pool *pool = &agent->view.pool;
  struct bl_owner_lookup *owner_lookup = &flow->owner_lookup;
  struct bl_msg msg = {
    .type = BL_MSG_OWNER_QUERY,
    .seq = owner_lookup->seq,
    .flow = flow->key,
    .ack = ack,
  };

  for (size_t i = 0; i < pool->count; i++)
    {
      const struct bl_candidate *c = &pool->items[i];
      if (bl_name_equal (&c->id, &agent->settings.id))
        continue;
      /* One that is declared dead is asked, but not waited for.  */
      if (!c->declared_dead)
        owner_lookup->awaited_peers[owner_lookup->pending++] = c->hash;
      else if (!has_ended (agent, c))
        owner_lookup->maybe_paused = true;
      bl_agent_send (agent, c->control, &msg);
    }
}

/* Strikes a peer out of those that are waited for.  False: it is none, for its
   answer came twice.  */
static bool
strike_out (struct bl_owner_lookup *owner_lookup, uint64_t hash)
{
  for (size_t i = 0; i < owner_lookup->pending; i++)
    if (owner_lookup->awaited_peers[i] == hash)
      {
        owner_lookup->awaited_peers[i]
            = owner_lookup->awaited_peers[--owner_lookup->pending];
        return true;
      }
  return false;
}

static void
start_search (struct bl_agent *agent,
              struct bl_arrival *a,
              struct bl_flow *flow)
{
  struct bl_owner_lookup *owner_lookup = &flow->owner_lookup;

  bl_owner_lookup_stop (owner_lookup);
  owner_lookup->awaited_peers
      = calloc (agent->view.pool.count + 1, sizeof (uint64_t));
  if (owner_lookup->awaited_peers == NULL)
    return;
  agent->counters[BL_AGENT_QUERIES]++;
  hold_packet (owner_lookup, a);
  owner_lookup->ack = a->packet.ack;
  owner_lookup->seq = ++agent->next_seq;
  owner_lookup->started_ms = agent->now;
  owner_lookup->maybe_paused = false;
  ask_peers (agent, flow, a->packet.ack);
  if (owner_lookup->pending == 0)
    search_denied (agent, flow);
}

void
bl_agent_search (struct bl_agent *agent,
                 struct bl_arrival *a,
                 struct bl_flow *flow)
{
  struct bl_owner_lookup *owner_lookup = &flow->owner_lookup;

  if (owner_lookup->seq != 0
      && agent->now - owner_lookup->started_ms < SEARCH_TIMEOUT_MS)
    {
      /* Peers were asked about one acknowledgement number; what they say must
         not be held against another.  */
      if (owner_lookup->ack == a->packet.ack)
        hold_packet (owner_lookup, a);
      return;
    }
  if (!take_search_token (agent))
    {
      agent->counters[BL_AGENT_UNKNOWN_DROPPED]++;
      return;
    }
  start_search (agent, a, flow);
}

void
bl_agent_on_query (struct bl_agent *agent,
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

/* Sends on the packet that waited for the owner.  */
static void
release_held (struct bl_agent *agent, struct bl_flow *flow)
{
  struct bl_owner_lookup *owner_lookup = &flow->owner_lookup;
  struct bl_arrival a = {
    .bytes = owner_lookup->held,
    .len = owner_lookup->held_len,
    .forward = {
      .service = agent->view.service->id,
      .hops = owner_lookup->held_hops,
      .primary_hop = owner_lookup->held_primary_hop,
    },
  };

  if (a.bytes != NULL)
    bl_agent_redirect (agent, &a, flow);
  bl_owner_lookup_stop (owner_lookup);
  owner_lookup->denied_ms = 0;
}

void
bl_agent_on_answer (struct bl_agent *agent,
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
      release_held (agent, flow);
      return;
    }
  if (strike_out (&flow->owner_lookup, peer->hash)
      && flow->owner_lookup.pending == 0)
    search_denied (agent, flow);
}

void
bl_agent_on_owner (struct bl_agent *agent,
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
  /* What is half-open here stays: it may be the caller's next flow, and packets
     tell by their acknowledgement number whose they are.  */
  flow->has_owner = true;
  flow->owner = (struct bl_hop){ peer->data, peer->incarnation };
}

/* Tells the agent that saw a packet first where its flow lives, or goes.  */
void
bl_agent_hint_home (struct bl_agent *agent,
                    const struct bl_arrival *a,
                    const struct bl_name *owner)
{
  const struct bl_candidate *primary_hop
      = bl_view_find_data (&agent->view, a->forward.primary_hop.data);
  struct bl_msg msg = {
    .type = BL_MSG_OWNER_NOTICE,
    .subject = *owner,
    .flow = a->packet.key,
  };

  if (primary_hop != NULL)
    bl_agent_send (agent, primary_hop->control, &msg);
}
