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
  uint64_t passed = agent->now - agent->lookup_refill_ms;

  agent->lookup_refill_ms = agent->now;
  agent->lookup_tokens += passed * SEARCH_RATE;
  if (agent->lookup_tokens > SEARCH_BURST * 1000)
    agent->lookup_tokens = SEARCH_BURST * 1000;
  if (agent->lookup_tokens < 1000)
    return false;
  agent->lookup_tokens -= 1000;
  return true;
}

static void
hold_packet (struct bl_search *search, const struct bl_received_packet *rx)
{
  uint8_t *copy = malloc (rx->len);

  if (copy == NULL)
    return;
  memcpy (copy, rx->bytes, rx->len);
  free (search->held);
  search->held = copy;
  search->held_len = rx->len;
  search->held_hops = rx->forward.hops;
  search->held_home = rx->forward.home;
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
bl_agent_refused (struct bl_agent *agent, uint64_t now, struct bl_addr addr)
{
  const struct bl_pool *pool = &agent->view.pool;

  agent->now = now;
  for (size_t i = 0; i < pool->count; i++)
    {
      const struct bl_candidate *c = &pool->items[i];
      if (!c->gone || !bl_addr_equal (c->control, addr) || has_ended (agent, c))
        continue;
      agent->ended_peers[agent->ended_peers_next]
          = (struct bl_ended_peer){ c->hash, c->incarnation };
      agent->ended_peers_next
          = (agent->ended_peers_next + 1) % BL_ENDED_PEERS_MAX;
    }
}

/* Every peer has denied the flow.  */
static void
search_denied (struct bl_agent *agent, struct bl_flow *flow)
{
  struct bl_search *search = &flow->search;
  uint64_t apart_ms = search->maybe_paused ? PAUSE_MS : RESET_AFTER_MS;
  struct bl_packet packet;

  if (!view_is_fresh (agent))
    search->denied_ms = 0;
  else if (search->denied_ms == 0
           || agent->now - search->denied_ms > DENIED_MAX_MS)
    search->denied_ms = agent->now;
  else if (agent->now - search->denied_ms >= apart_ms
           && bl_packet_parse (&packet, search->held, search->held_len)
                  == BL_OK)
    {
      agent->counters[BL_AGENT_RESETS]++;
      bl_agent_send_reset (agent, &packet);
      bl_search_stop (search);
      return;
    }
  agent->counters[BL_AGENT_UNKNOWN_DROPPED]++;
  bl_search_stop (search);
}

static void
ask_peers (struct bl_agent *agent, struct bl_flow *flow, uint32_t ack)
{
  const struct bl_pool *pool = &agent->view.pool;
  struct bl_search *search = &flow->search;
  struct bl_msg msg = {
    .type = BL_MSG_QUERY,
    .seq = search->seq,
    .flow = flow->key,
    .ack = ack,
  };

  for (size_t i = 0; i < pool->count; i++)
    {
      const struct bl_candidate *c = &pool->items[i];
      if (bl_name_equal (&c->id, &agent->settings.id))
        continue;
      /* One that is declared dead is asked, but not waited for.  */
      if (!c->gone)
        search->awaited[search->pending++] = c->hash;
      else if (!has_ended (agent, c))
        search->maybe_paused = true;
      bl_agent_send (agent, c->control, &msg);
    }
}

/* Strikes a peer out of those that are waited for.  False: it is none, for its
   answer came twice.  */
static bool
strike_out (struct bl_search *search, uint64_t hash)
{
  for (size_t i = 0; i < search->pending; i++)
    if (search->awaited[i] == hash)
      {
        search->awaited[i] = search->awaited[--search->pending];
        return true;
      }
  return false;
}

static void
start_search (struct bl_agent *agent,
              struct bl_received_packet *rx,
              struct bl_flow *flow)
{
  struct bl_search *search = &flow->search;

  bl_search_stop (search);
  search->awaited = calloc (agent->view.pool.count + 1, sizeof (uint64_t));
  if (search->awaited == NULL)
    return;
  agent->counters[BL_AGENT_QUERIES]++;
  hold_packet (search, rx);
  search->ack = rx->packet.ack;
  search->seq = ++agent->lookup_seq;
  search->started_ms = agent->now;
  search->maybe_paused = false;
  ask_peers (agent, flow, rx->packet.ack);
  if (search->pending == 0)
    search_denied (agent, flow);
}

void
bl_agent_look_up_owner (struct bl_agent *agent,
                        struct bl_received_packet *rx,
                        struct bl_flow *flow)
{
  struct bl_search *search = &flow->search;

  if (search->seq != 0 && agent->now - search->started_ms < SEARCH_TIMEOUT_MS)
    {
      /* Peers were asked about one acknowledgement number; what they say must
         not be held against another.  */
      if (search->ack == rx->packet.ack)
        hold_packet (search, rx);
      return;
    }
  if (!take_search_token (agent))
    {
      agent->counters[BL_AGENT_UNKNOWN_DROPPED]++;
      return;
    }
  start_search (agent, rx, flow);
}

void
bl_agent_on_owner_query (struct bl_agent *agent,
                         struct bl_addr from,
                         const struct bl_msg *msg)
{
  const struct bl_flow *flow = bl_flows_find (&agent->flows, &msg->flow);
  struct bl_msg answer = {
    .type = BL_MSG_ANSWER,
    .seq = msg->seq,
    .flow = msg->flow,
    .yes = flow != NULL && bl_flow_accepts (flow, msg->ack, true),
  };

  bl_agent_send (agent, from, &answer);
}

/* Sends on the packet that waited for the owner.  */
static void
release_held (struct bl_agent *agent, struct bl_flow *flow)
{
  struct bl_search *search = &flow->search;
  struct bl_received_packet rx = {
    .bytes = search->held,
    .len = search->held_len,
    .forward = {
      .service = agent->view.service->id,
      .hops = search->held_hops,
      .home = search->held_home,
    },
  };

  if (rx.bytes != NULL)
    bl_agent_forward_to_owner (agent, &rx, flow);
  bl_search_stop (search);
  search->denied_ms = 0;
}

void
bl_agent_on_owner_answer (struct bl_agent *agent,
                          struct bl_addr from,
                          const struct bl_msg *msg)
{
  struct bl_flow *flow = bl_flows_find (&agent->flows, &msg->flow);
  const struct bl_candidate *peer = bl_view_find (&agent->view, &msg->from);

  (void)from;
  if (flow == NULL || peer == NULL || flow->search.seq != msg->seq
      || flow->search.seq == 0)
    return;
  if (msg->yes)
    {
      flow->vouched_ms = agent->now;
      flow->has_owner = true;
      flow->owner = (struct bl_hop){ peer->data, peer->incarnation };
      release_held (agent, flow);
      return;
    }
  if (strike_out (&flow->search, peer->hash) && flow->search.pending == 0)
    search_denied (agent, flow);
}

void
bl_agent_on_owner_notice (struct bl_agent *agent,
                          struct bl_addr from,
                          const struct bl_msg *msg)
{
  const struct bl_name *owner = &msg->about;
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
bl_agent_send_owner_notice (struct bl_agent *agent,
                            const struct bl_received_packet *rx,
                            const struct bl_name *owner)
{
  const struct bl_candidate *home
      = bl_view_find_by_data_address (&agent->view, rx->forward.home.data);
  struct bl_msg msg = {
    .type = BL_MSG_OWNER,
    .about = *owner,
    .flow = rx->packet.key,
  };

  if (home != NULL)
    bl_agent_send (agent, home->control, &msg);
}
