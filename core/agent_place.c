/* agent_place.c -- placing a flow at this backend server or at a peer

   The agent that a first packet reaches compares the first candidates of its
   own view by what they bear; see docs/design/placement.md.  */

#include "core/agent.h"

#define CHOICES 2 /* candidates compared by load */

/* Work and connections of all peers together, as far as they are known.  */
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

/* What a candidate bears, as its share of all work plus its share of all
   connections, by weight.  Work alone would pile idle connections up at one
   backend server, which then has more of the next burst; connections alone
   tell nothing of the few that make most of the work.  Reports lag, so each
   flow placed since the last counts as one of mean work, and so does the one
   to be placed: a server without any, but still starting, is not the least
   burdened for that.  First packets are spread over all homes by their hash, so
   what this home placed at a peer stands for as many times that as there are
   homes.  */
static double
burden (const struct bl_view *view,
        const struct bl_candidate *c,
        const struct totals *t)
{
  const struct bl_peer_load *p = &view->peers[c - view->pool.items];
  double placed = (double)p->placed_since_report * (double)view->peer_count + 1;
  double flows = (double)p->flows + placed;
  double load = p->load + placed * t->load / t->flows;
  double weight = c->weight > 0 ? c->weight : 1;
  double ramp = p->ramp > 0 ? p->ramp : 1000;

  if (!p->reported)
    {
      flows = t->flows / (double)view->peer_count;
      load = t->load / (double)view->peer_count;
    }
  return (load / t->load + flows / t->flows) / (weight * ramp);
}

/* The better of the first candidates by load, or NULL when none is ready.  */
static const struct bl_candidate *
choose (struct bl_agent *agent, const struct bl_flow_key *key)
{
  const struct bl_pool *pool = &agent->view.pool;
  struct bl_policy *policy = &bl_policy_rendezvous;
  const struct bl_candidate *best = NULL;
  struct totals totals = sum_peers (&agent->view);
  uint32_t order[CHOICES];
  double least = 0;
  size_t n
      = policy->ops->rank (policy, pool, bl_flow_hash (key), order, CHOICES);

  for (size_t i = 0; i < n; i++)
    {
      const struct bl_candidate *c = &pool->items[order[i]];
      double bears = burden (&agent->view, c, &totals);
      if (!c->ready || (best != NULL && c->rank != best->rank))
        break;
      if (best != NULL && bears >= least)
        continue;
      best = c;
      least = bears;
    }
  return best;
}

/* Load reports lag, so what was placed since the last one is added.  */
static void
count_placed (struct bl_agent *agent, const struct bl_name *id)
{
  struct bl_peer_load *peer = bl_view_peer_load (&agent->view, id);

  if (peer != NULL)
    peer->placed_since_report++;
}

static void
own_flow (struct bl_agent *agent,
          struct bl_received_packet *rx,
          struct bl_flow *flow)
{
  flow->has_owner = false;
  flow->client_isn = rx->packet.seq;
  flow->client_max = rx->packet.seq + 1;
  flow->shift = (uint32_t)bl_random_next (&agent->random);
  flow->iss_known = false;
  flow->wrapped = false;
  flow->search.denied_ms = 0;
  bl_search_stop (&flow->search);
  bl_flows_set_ownership (&agent->flows, flow, agent->now, BL_HALF_OPEN);
  count_placed (agent, &agent->settings.id);
  agent->counters[BL_AGENT_PLACED_HERE]++;
  bl_agent_deliver (agent, rx, flow);
}

static void
refuse (struct bl_agent *agent, struct bl_received_packet *rx)
{
  agent->counters[BL_AGENT_REFUSED]++;
  bl_agent_send_reset (agent, &rx->packet);
}

static void
place_elsewhere (struct bl_agent *agent,
                 struct bl_received_packet *rx,
                 struct bl_flow *flow,
                 const struct bl_candidate *c)
{
  count_placed (agent, &c->id);
  /* The home sent it here; the next had better go straight there.  */
  if (rx->forward.direct)
    bl_agent_send_owner_notice (agent, rx, &c->id);
  flow->has_owner = true;
  flow->owner = (struct bl_hop){ c->data, c->incarnation };
  rx->forward.placed = true;
  rx->forward.direct = true;
  agent->counters[BL_AGENT_PLACED_ELSEWHERE]++;
  bl_agent_forward (agent, rx, &flow->owner);
}

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
      own_flow (agent, rx, flow);
      return;
    }
  c = choose (agent, &rx->packet.key);
  if (c != NULL && bl_name_equal (&c->id, &agent->settings.id))
    accepting ? own_flow (agent, rx, flow) : refuse (agent, rx);
  else if (c != NULL)
    place_elsewhere (agent, rx, flow, c);
  else
    refuse (agent, rx);
}
