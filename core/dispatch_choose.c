/* dispatch_choose.c -- policies that select the backend server that a new flow
   is offered to

   Load pattern: few slots per backend server, long flows with pauses, several
   balancers that each see a part of the load, servers that have just started.

   The candidates are the ready agents of the service to which the flow was not
   offered yet.  The default policy, near_and_light, selects a few of them by
   rendezvous hashing, in the local data centre and, separately, in others.  Of
   each group it takes the agent with the least load for its slots.  The load is
   the agent's share of the requests in progress plus its share of the open
   flows, as last reported, plus the flows placed there since.  The agent of
   another data centre is selected only if it has fewer flows per slot by
   REMOTE_LOAD_FACTOR and REMOTE_MARGIN_FLOWS, or if the local agent has no free
   slot, so traffic stays local while there is capacity.  The other two policies
   serve for comparison (boragelatch-emulate).  */

#include "core/dispatch_inner.h"

#include <stdlib.h>
#include <string.h>

#define LOCAL_CANDIDATES  3 /* selected in the local data centre */
#define REMOTE_CANDIDATES 2 /* selected in other data centres */
/* A remote agent is preferred if its flows per slot, times the factor and plus
   the margin, are fewer than those of the local agent.  The margin is there
   because a ratio of few flows means little.  */
#define REMOTE_LOAD_FACTOR  1.35
#define REMOTE_MARGIN_FLOWS 3
#define WARM_UP_MS          4000 /* until a new server has its full share */
#define WARM_UP_START_SHARE 0.3  /* its share at the start */
#define SERVICE_AGENTS_MAX  512  /* further agents get no flows from here */

/* Sums over the ready agents of a service.  */
struct totals
{
  double busy;
  double flows;
  double slots;
};

struct candidates
{
  size_t count;
  struct bl_instance *items[SERVICE_AGENTS_MAX];
  struct totals totals;
};

static bool
was_offered (const struct bl_tracked_flow *f, const struct bl_instance *agent)
{
  for (size_t i = 0; i < f->offer_count; i++)
    if (f->offers[i].instance == agent)
      return true;
  return false;
}

static double
slots_of (const struct bl_instance *agent)
{
  return agent->record.slots > 0 ? agent->record.slots : 1;
}

/* Collects the agents that F may be offered to: the suspect ones if SUSPECT is
   set, else the others.  The sums of OUT cover all ready agents.  They start
   above 0 because relative_load divides by them.  */
static void
collect (const struct bl_dispatch *d,
         const struct bl_tracked_flow *f,
         bool suspect,
         struct candidates *out)
{
  const struct bl_service_agents *service_agents
      = bl_fleet_service_agents (&d->fleet, f->service);

  out->count = 0;
  out->totals = (struct totals){ .busy = 0.5, .flows = 1, .slots = 0 };
  for (size_t i = 0; service_agents != NULL && i < service_agents->count; i++)
    {
      struct bl_instance *agent = service_agents->items[i];
      if (agent->record.state != BL_STATE_READY)
        continue;
      out->totals.busy += agent->busy;
      out->totals.flows += agent->flows + agent->placed_since_report;
      out->totals.slots += slots_of (agent);
      if (agent->suspect == suspect && !was_offered (f, agent)
          && out->count < SERVICE_AGENTS_MAX)
        out->items[out->count++] = agent;
    }
}

/* The share of its usual load that AGENT takes; below 1 during its warm-up.  */
static double
warm_up_share (const struct bl_dispatch *d, const struct bl_instance *agent)
{
  uint64_t age = d->now - agent->warm_up_start_ms;

  if (agent->warm_up_start_ms == 0 || age >= WARM_UP_MS
      || d->now < agent->warm_up_start_ms)
    return 1;
  return WARM_UP_START_SHARE
         + (1 - WARM_UP_START_SHARE) * (double)age / WARM_UP_MS;
}

/* The load of AGENT if one more flow is placed there: its share of the requests
   in progress plus its share of the open flows, for each slot.  */
static double
relative_load (const struct bl_dispatch *d,
               const struct bl_instance *agent,
               const struct totals *totals)
{
  double flows = (double)agent->flows + agent->placed_since_report + 1;
  double work
      = agent->busy
        + (agent->placed_since_report + 1) * totals->busy / totals->flows;
  double share = work / totals->busy + flows / totals->flows;

  return share / (slots_of (agent) * warm_up_share (d, agent));
}

static bool
is_local (const struct bl_dispatch *d, const struct bl_instance *agent)
{
  return bl_name_equal (&agent->record.dc, &d->settings.self.dc);
}

/* The rank of an agent for a flow, by rendezvous hashing.  It is the same at
   every balancer, also at a balancer that has just started and holds no load
   reports.  The mixing function is the finaliser of SplitMix64.  */
static uint64_t
rendezvous_rank (const struct bl_instance *agent, uint64_t flow_hash)
{
  uint64_t x = agent->id_hash ^ flow_hash;

  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9u;
  x = (x ^ x >> 27) * 0x94d049bb133111ebu;
  return x ^ x >> 31;
}

struct ranked
{
  uint64_t rank;
  bool local;
  struct bl_instance *instance;
};

/* Orders agents of the local data centre before others, and each group by
   descending rank.  */
static int
compare_ranked (const void *a, const void *b)
{
  const struct ranked *x = a;
  const struct ranked *y = b;

  if (x->local != y->local)
    return x->local ? -1 : 1;
  return x->rank > y->rank ? -1 : x->rank < y->rank;
}

/* Moves the first REMOTE_CANDIDATES remote agents to the place after the first
   LOCAL_CANDIDATES local agents, if there are more local agents than that.  */
static void
move_remote_forward (struct ranked *all, size_t count, size_t local)
{
  for (size_t i = 0;
       i < REMOTE_CANDIDATES && local > LOCAL_CANDIDATES && local + i < count;
       i++)
    {
      struct ranked remote = all[local + i];
      size_t to = LOCAL_CANDIDATES + i;
      memmove (&all[to + 1], &all[to], (local + i - to) * sizeof *all);
      all[to] = remote;
    }
}

size_t
bl_rank_agents (const struct bl_dispatch *d,
                const struct bl_flow_key *key,
                uint64_t service,
                struct bl_instance **out,
                size_t max)
{
  static struct ranked all[SERVICE_AGENTS_MAX];
  const struct bl_service_agents *service_agents
      = bl_fleet_service_agents (&d->fleet, service);
  uint64_t flow_hash = bl_flow_hash (key);
  size_t count = 0;
  size_t local = 0;

  for (size_t i = 0; service_agents != NULL && i < service_agents->count; i++)
    {
      struct bl_instance *agent = service_agents->items[i];
      if (count == SERVICE_AGENTS_MAX || count == max)
        break;
      all[count++] = (struct ranked){ rendezvous_rank (agent, flow_hash),
                                      is_local (d, agent), agent };
      local += is_local (d, agent) ? 1 : 0;
    }
  qsort (all, count, sizeof *all, compare_ranked);
  move_remote_forward (all, count, local);
  for (size_t i = 0; i < count; i++)
    out[i] = all[i].instance;
  return count;
}

/* Of the MAX highest-ranking local or remote candidates, returns the least
   loaded; NULL if there is none.  */
static struct bl_instance *
pick_least_loaded (const struct bl_dispatch *d,
                   const struct candidates *c,
                   uint64_t flow_hash,
                   bool local,
                   size_t max)
{
  struct bl_instance *selected[LOCAL_CANDIDATES];
  uint64_t ranks[LOCAL_CANDIDATES];
  struct bl_instance *best = NULL;
  double least_load = 0;
  size_t count = 0;

  for (size_t i = 0; i < c->count; i++)
    {
      uint64_t rank = rendezvous_rank (c->items[i], flow_hash);
      size_t at;
      if (is_local (d, c->items[i]) != local
          || (count == max && rank <= ranks[count - 1]))
        continue;
      at = count < max ? count++ : max - 1;
      for (; at > 0 && ranks[at - 1] < rank; at--)
        {
          ranks[at] = ranks[at - 1];
          selected[at] = selected[at - 1];
        }
      ranks[at] = rank;
      selected[at] = c->items[i];
    }
  for (size_t i = 0; i < count; i++)
    {
      double load = relative_load (d, selected[i], &c->totals);
      if (best != NULL && load >= least_load)
        continue;
      best = selected[i];
      least_load = load;
    }
  return best;
}

/* Open flows per slot.  They predict the coming load better than the number of
   requests in progress at one moment, which varies at random.  */
static double
flows_per_slot (const struct bl_dispatch *d, const struct bl_instance *agent)
{
  return ((double)agent->flows + agent->placed_since_report + 1)
         / (slots_of (agent) * warm_up_share (d, agent));
}

static bool
is_saturated (const struct bl_instance *agent)
{
  return agent->busy >= slots_of (agent);
}

/* Returns true when REMOTE, in another data centre, is preferred to LOCAL:
   LOCAL has many more flows per slot, or it has no free slot while REMOTE has
   one and has fewer flows per slot.  */
static bool
is_remote_preferred (const struct bl_dispatch *d,
                     const struct bl_instance *remote,
                     const struct bl_instance *local)
{
  double remote_flows = flows_per_slot (d, remote);
  double local_flows = flows_per_slot (d, local);

  if (remote_flows * REMOTE_LOAD_FACTOR + REMOTE_MARGIN_FLOWS < local_flows)
    return true;
  return is_saturated (local) && !is_saturated (remote)
         && remote_flows < local_flows;
}

static struct bl_instance *
choose_near_and_light (struct bl_dispatch *d, const struct bl_tracked_flow *f)
{
  static struct candidates c;
  uint64_t flow_hash = bl_flow_hash (&f->key);
  struct bl_instance *local;
  struct bl_instance *remote;

  collect (d, f, false, &c);
  if (c.count == 0)
    collect (d, f, true, &c);
  if (c.count == 0)
    return NULL;
  local = pick_least_loaded (d, &c, flow_hash, true, LOCAL_CANDIDATES);
  remote = pick_least_loaded (d, &c, flow_hash, false, REMOTE_CANDIDATES);
  if (local == NULL || remote == NULL)
    return local != NULL ? local : remote;
  return is_remote_preferred (d, remote, local) ? remote : local;
}

/* -- policies for comparison -- */

/* Selects by rendezvous hashing alone: every balancer selects the same agent
   for a flow, whatever the load.  */
static struct bl_instance *
choose_by_hash (struct bl_dispatch *d, const struct bl_tracked_flow *f)
{
  static struct candidates c;
  uint64_t flow = bl_flow_hash (&f->key);
  struct bl_instance *best = NULL;
  uint64_t best_score = 0;

  collect (d, f, false, &c);
  for (size_t i = 0; i < c.count; i++)
    {
      uint64_t score = bl_name_hash (&c.items[i]->id, flow);
      if (best != NULL && score <= best_score)
        continue;
      best = c.items[i];
      best_score = score;
    }
  return best;
}

/* Selects two candidates at random, whatever their data centre, and returns the
   candidate with fewer open flows.  */
static struct bl_instance *
choose_of_two (struct bl_dispatch *d, const struct bl_tracked_flow *f)
{
  static struct candidates c;
  struct bl_instance *first;
  struct bl_instance *second;

  collect (d, f, false, &c);
  if (c.count == 0)
    return NULL;
  first = c.items[bl_random_below (&d->random, (uint32_t)c.count)];
  second = c.items[bl_random_below (&d->random, (uint32_t)c.count)];
  return first->flows + first->placed_since_report
                 <= second->flows + second->placed_since_report
             ? first
             : second;
}

static const struct bl_balancing_policy policies[] = {
  { .choose = choose_near_and_light, .name = "near_and_light" },
  { .choose = choose_of_two, .name = "of_two" },
  { .choose = choose_by_hash, .name = "hash" },
};

const struct bl_balancing_policy *
bl_balancing_policy_find (struct bl_str name)
{
  for (size_t i = 0; i < sizeof policies / sizeof policies[0]; i++)
    if (strlen (policies[i].name) == name.len
        && memcmp (policies[i].name, name.ptr, name.len) == 0)
      return &policies[i];
  return NULL;
}

const struct bl_balancing_policy *
bl_dispatch_policy (const struct bl_dispatch *d)
{
  return d->settings.balancing_policy != NULL ? d->settings.balancing_policy
                                              : &policies[0];
}
