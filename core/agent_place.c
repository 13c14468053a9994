/* agent_place.c -- placement of a flow at this backend server or at a peer

   The agent that receives a first packet ranks the candidates of its view by
   rendezvous hashing and places the flow at the less loaded of the first two;
   see docs/design/placement.md.  */

#include "core/agent.h"

#define CANDIDATES_COMPARED    2    /* of the ranked candidates, by load */
#define FULL_SHARE_THOUSANDTHS 1000 /* assumed until a peer reports */

/* Load and flows of all backend servers of the service, as last reported.  Both
   start at 1, because they serve as divisors.  */
struct totals
{
  double load;
  double flows;
};

static struct totals
sum_peers (const struct bl_view *view)
{
  struct totals t = { .load = 1, .flows = 1 };

  for (size_t i = 0; i < view->peer_count; i++)
    {
      t.load += view->peers[i].load;
      t.flows += view->peers[i].flows + view->peers[i].placed_since_report;
    }
  return t;
}

/* Returns the load of a candidate: its share of the load of all backend servers
   plus its share of their flows, divided by its weight and its warm-up share.

   Load alone would collect idle connections at one backend server, which then
   gets more of the next burst of requests.  The number of flows alone does not
   reflect the few flows that cause most of the load.  Load reports lag, so each
   flow placed since the last report counts as a flow of average load.  So does
   the flow to be placed; otherwise an empty backend server that is warming up
   would seem to have no load at all.  First packets are distributed over all
   agents by their hash, so the flows that this agent placed at a peer are
   multiplied by the number of agents.  A candidate without a report counts as
   average.  */
static double
relative_load (const struct bl_view *view,
               const struct bl_candidate *c,
               const struct totals *t)
{
  const struct bl_peer_load *p = &view->peers[c - view->pool.items];
  double placed = (double)p->placed_since_report * (double)view->peer_count + 1;
  double flows = (double)p->flows + placed;
  double load = p->load + placed * t->load / t->flows;
  double weight = c->weight > 0 ? c->weight : 1;
  double warm_up_share
      = p->warm_up_share > 0 ? p->warm_up_share : FULL_SHARE_THOUSANDTHS;

  if (!p->reported)
    {
      flows = t->flows / (double)view->peer_count;
      load = t->load / (double)view->peer_count;
    }
  return (load / t->load + flows / t->flows) / (weight * warm_up_share);
}

/* Returns the less loaded of the first candidates that are ready and of equal
   rank; NULL when none is ready.  */
static const struct bl_candidate *
choose_candidate (struct bl_agent *agent, const struct bl_flow_key *key)
{
  const struct bl_pool *pool = &agent->view.pool;
  struct bl_policy *policy = &bl_policy_rendezvous;
  const struct bl_candidate *best = NULL;
  struct totals totals = sum_peers (&agent->view);
  uint32_t order[CANDIDATES_COMPARED];
  double best_load = 0;
  size_t n = policy->ops->rank (policy, pool, bl_flow_hash (key), order,
                                CANDIDATES_COMPARED);

  for (size_t i = 0; i < n; i++)
    {
      const struct bl_candidate *c = &pool->items[order[i]];
      double candidate_load = relative_load (&agent->view, c, &totals);
      if (!c->ready || (best != NULL && c->rank != best->rank))
        break;
      if (best != NULL && candidate_load >= best_load)
        continue;
      best = c;
      best_load = candidate_load;
    }
  return best;
}

/* Counts a flow placed at the instance ID since its last load report.  */
static void
count_placed (struct bl_agent *agent, const struct bl_name *id)
{
  struct bl_peer_load *peer = bl_view_peer_load (&agent->view, id);

  if (peer != NULL)
    peer->placed_since_report++;
}

/* Makes this agent the owner of the flow and delivers its first packet.  */
static void
accept_flow (struct bl_agent *agent,
             struct bl_received_packet *rx,
             struct bl_flow *flow)
{
  flow->has_owner = false;
  flow->client_isn = rx->packet.seq;
  flow->client_max = rx->packet.seq + 1;
  flow->seq_shift = (uint32_t)bl_random_next (&agent->random);
  flow->iss_known = false;
  flow->past_ack_window = false;
  flow->owner_lookup.denied_ms = 0;
  bl_agent_owner_lookup_stop (&flow->owner_lookup);
  bl_flows_set_ownership (&agent->flows, flow, agent->now, BL_HALF_OPEN);
  count_placed (agent, &agent->settings.id);
  agent->counters[BL_AGENT_PLACED_HERE]++;
  bl_agent_deliver (agent, rx, flow);
}

static void
refuse_flow (struct bl_agent *agent, struct bl_received_packet *rx)
{
  agent->counters[BL_AGENT_REFUSED]++;
  bl_agent_send_reset (agent, &rx->packet);
}

static void
place_at_peer (struct bl_agent *agent,
               struct bl_received_packet *rx,
               struct bl_flow *flow,
               const struct bl_candidate *c)
{
  count_placed (agent, &c->id);
  /* The agent that first received the packet expected the flow's owner here.
     The notice lets it forward the next packets to C directly.  */
  if (rx->forward.to_owner)
    bl_agent_send_owner_notice (agent, rx, &c->id);
  flow->has_owner = true;
  flow->owner = (struct bl_hop){ c->data, c->incarnation };
  rx->forward.placed = true;
  rx->forward.to_owner = true;
  agent->counters[BL_AGENT_PLACED_ELSEWHERE]++;
  bl_agent_forward (agent, rx, &flow->owner);
}

/* Returns true while fewer flows are open than the limit of the settings.  */
static bool
has_room (const struct bl_agent *agent)
{
  return agent->flows.owned_count < agent->settings.max_flows;
}

void
bl_agent_place (struct bl_agent *agent,
                struct bl_received_packet *rx,
                struct bl_flow *flow)
{
  bool accepting = bl_agent_accepting (agent) && has_room (agent);
  const struct bl_candidate *c;

  if (rx->forward.placed && accepting)
    {
      accept_flow (agent, rx, flow);
      return;
    }
  c = choose_candidate (agent, &rx->packet.key);
  if (c != NULL && bl_name_equal (&c->id, &agent->settings.id))
    accepting ? accept_flow (agent, rx, flow) : refuse_flow (agent, rx);
  else if (c != NULL)
    place_at_peer (agent, rx, flow, c);
  else
    refuse_flow (agent, rx);
}
