/* dispatch_lookup.c -- owner lookups for flows that this balancer does not
   track

   Load pattern: a balancer joins, stops or restarts, and packets of many open
   flows reach another balancer within a moment.

   The agents of the route's services receive an owner query, and those of the
   services that the route led to before; for a flow that is opening here, at
   first only the agents that were offered it.  The agents of all other services
   receive it once these have replied without a claim, or if one of them does
   not reply in time: this balancer may not know all former services of the
   route.  The packet is held meanwhile.  The flow table of an agent that
   started after its backend server is incomplete, so such an agent cannot rule
   out that its backend server holds the flow.  When all agents were queried,
   the packet is sent to these agents as a probe, to a few at a time, and a
   backend server that does not hold the flow returns it.

   If no agent owns the flow, its backend server is gone and the caller is
   reset, but on two conditions only.  First, the packet must carry payload: a
   packet without payload may belong to a flow that both ends have closed.
   Second, this balancer must hold the records of all agents, which takes a
   moment after its start and is checked against a few other balancers.  A reply
   of an agent holds for one acknowledgement number: a packet with a number far
   from it belongs to another flow of the same port and starts the lookup anew.
   An agent that stopped in order to restart is waited for, and queried again
   when it is back; until then few packets are sent as probes.  An agent whose
   backend server died is queried too, but only a reset waits for its reply.  If
   any agent that is not unreachable leaves its query unanswered for
   LOOKUP_MAX_MS, the lookup has no result and the packet is dropped.  Which
   agents returned packets is kept for the next lookup of the flow.

   A single agent that does not return its probe in time is presumed to be the
   owner if all others have denied the flow.  This is no evidence for a reset,
   since the probe may have been lost: if that agent leaves before it has
   claimed the flow, the flow is looked up again.  */

#include "core/dispatch_inner.h"

#include <stdlib.h>

#define LOOKUP_TIMEOUT_MS 180 /* callers retransmit after 200 ms */
/* An agent replies within it, plus some mean reply times.  If agents of the
   route's services do not, the agents of all other services are queried.  */
#define REPLY_TIMEOUT_MS 60
#define REPLY_FACTOR     4
/* A lookup ends without result if it lasts longer.  Callers send a packet again
   after 1.6 s at most.  */
#define LOOKUP_MAX_MS   2000
#define QUERY_REPEAT_MS 60 /* until a query that got lost is repeated */
/* While an agent that may own the flow restarts, one packet at most is sent as
   a probe within this time: a flow counts as broken after several packets at
   other servers while none reaches its own.  */
#define PROBE_INTERVAL_MS 2000
#define RESTART_USUAL_MS  2000 /* an agent that restarts is back within it */
#define OPEN_PROBES_MAX   6   /* agents that have the packet at the same time */
#define PROBE_TIMEOUT_MS  50  /* a backend server returns a packet within it */
#define RANKED_AGENTS_MAX 512 /* of a service; any others come after them */
#define ACK_WINDOW        (1u << 20) /* span of a flow's sequence numbers */

/* Returns true if the backend server of AGENT may hold flows: it has not left,
   and no other instance has taken over its address.  An agent whose server died
   is queried, since the server may have started again.  */
static bool
may_hold_flows (const struct bl_instance *agent)
{
  return agent->record.state != BL_STATE_LEFT;
}

static bool
is_queried (const struct bl_dispatch_owner_lookup *lookup,
            const struct bl_instance *agent)
{
  for (size_t i = 0; i < lookup->count; i++)
    if (lookup->queried[i].instance == agent)
      return true;
  return false;
}

static bool
add_queried (struct bl_dispatch_owner_lookup *lookup, struct bl_instance *agent)
{
  if (lookup->count == lookup->cap)
    {
      size_t cap = lookup->cap > 0 ? lookup->cap * 2 : 16;
      struct bl_queried_agent *queried
          = realloc (lookup->queried, cap * sizeof *queried);
      if (queried == NULL)
        return false;
      lookup->queried = queried;
      lookup->cap = cap;
    }
  lookup->queried[lookup->count++]
      = (struct bl_queried_agent){ .instance = agent };
  return true;
}

static void
send_query (struct bl_dispatch *d,
            struct bl_tracked_flow *f,
            struct bl_queried_agent *queried)
{
  struct bl_instance *agent = queried->instance;
  struct bl_link_msg link = {
    .type = BL_LINK_OWNER_QUERY,
    .service = agent->service,
    .key = f->key,
    .ack = f->lookup.ack,
    .incarnation = agent->record.incarnation,
  };

  queried->query_ms = d->now;
  bl_instance_note_request (agent, d->now);
  bl_link_budget_spend (&d->link_budget, d->now, 0);
  d->ops.send_to_agent (d->ctx, bl_instance_data_address (agent), &link, NULL,
                        0);
}

static void
query_agent (struct bl_dispatch *d,
             struct bl_tracked_flow *f,
             struct bl_instance *agent)
{
  if (!is_queried (&f->lookup, agent) && add_queried (&f->lookup, agent))
    send_query (d, f, &f->lookup.queried[f->lookup.count - 1]);
}

/* Returns true if AGENT was heard of since it was queried, or only if it has
   announced a new record if ANNOUNCED is set, as after a restart.  */
static bool
was_heard (const struct bl_queried_agent *queried, bool announced)
{
  const struct bl_instance *agent = queried->instance;

  return agent->record_ms > queried->query_ms
         || (!announced && agent->last_message_ms > queried->query_ms);
}

/* Queries agents again that have not replied, or could not tell, and were heard
   of since: they have restarted, or a message was lost.  */
static void
repeat_queries (struct bl_dispatch *d,
                struct bl_tracked_flow *f,
                bool announced)
{
  for (size_t i = 0; i < f->lookup.count; i++)
    {
      struct bl_queried_agent *queried = &f->lookup.queried[i];
      bool undecided = queried->reply == BL_REPLY_NONE
                       || queried->reply == BL_REPLY_INCOMPLETE;
      if (undecided && was_heard (queried, announced)
          && may_hold_flows (queried->instance)
          && (announced || d->now - queried->query_ms >= QUERY_REPEAT_MS))
        send_query (d, f, queried);
    }
}

/* Queries the agents of a service, in the order in which those whose flow table
   is incomplete are sent the packet as a probe.  */
static void
query_service (struct bl_dispatch *d,
               struct bl_tracked_flow *f,
               uint64_t service)
{
  static struct bl_instance *agents[RANKED_AGENTS_MAX];
  const struct bl_service_agents *service_agents
      = bl_fleet_service_agents (&d->fleet, service);
  size_t count
      = bl_rank_agents (d, &f->key, service, agents, RANKED_AGENTS_MAX);

  for (size_t i = 0; i < count; i++)
    query_agent (d, f, agents[i]);
  if (service_agents != NULL && service_agents->count > count)
    for (size_t i = 0; i < service_agents->count; i++)
      query_agent (d, f, service_agents->items[i]);
}

/* Queries the agents of the route's services, starting with the service that a
   new flow would be placed in, and of the services that the route led to
   before.  Returns the number of agents queried.  */
static size_t
query_route (struct bl_dispatch *d, struct bl_tracked_flow *f)
{
  const struct bl_route_entry *route
      = bl_route_table_find (d->table, f->key.dst_ip, f->key.dst_port);
  const struct bl_split *first
      = route != NULL ? bl_route_choose_split (route, bl_flow_hash (&f->key))
                      : NULL;
  size_t before = f->lookup.count;

  if (first != NULL)
    query_service (d, f, first->service_hash);
  for (size_t s = 0; route != NULL && s < route->split_count; s++)
    if (&route->splits[s] != first)
      query_service (d, f, route->splits[s].service_hash);
  for (size_t s = 0; route != NULL && s < route->former_count; s++)
    query_service (d, f, route->former[s]);
  return f->lookup.count - before;
}

/* Queries the agents of all services that were not queried yet.  This finds new
   agents even on a later call, since routes may have changed meanwhile and
   instances may have been added.  Returns the number of agents queried.  */
static size_t
query_all (struct bl_dispatch *d, struct bl_tracked_flow *f)
{
  size_t before = f->lookup.count;
  struct bl_service_agents *service_agents;
  struct bl_service_agents *next;

  HASH_ITER (hh, d->fleet.services, service_agents, next)
  query_service (d, f, service_agents->service);
  return f->lookup.count - before;
}

/* Queries the agents that were offered a flow which opened through this
   balancer.  Only they can own it unless a copy of its first packet went
   elsewhere.  */
static void
query_offered (struct bl_dispatch *d, struct bl_tracked_flow *f)
{
  f->lookup.only_offered = true;
  for (size_t i = 0; i < f->offer_count; i++)
    query_agent (d, f, f->offers[i].instance);
}

void
bl_lookup_start (struct bl_dispatch *d,
                 struct bl_tracked_flow *f,
                 const struct bl_raw_packet *raw)
{
  bool opening = f->phase == BL_PHASE_OPENING && f->offer_count > 0;

  bl_tracked_flow_discard_held (f);
  bl_tracked_flow_hold (f, raw);
  free (f->lookup.queried);
  f->lookup = (struct bl_dispatch_owner_lookup){ .started_ms = d->now,
                                                 .ack = raw->packet->ack };
  f->phase = BL_PHASE_OWNER_LOOKUP;
  f->owner = NULL;
  f->phase_start_ms = d->now;
  d->counters[BL_DISPATCH_OWNER_LOOKUPS]++;
  bl_tracked_flow_set_pending (d, f, true);
  if (opening)
    query_offered (d, f);
  else
    query_route (d, f);
}

/* Returns true if packets with these acknowledgement numbers belong to the same
   flow, and not to another flow of the same port.  */
static bool
is_same_flow (uint32_t ack, uint32_t other)
{
  return ack - other + ACK_WINDOW / 2 < ACK_WINDOW;
}

void
bl_lookup_add_packet (struct bl_dispatch *d,
                      struct bl_tracked_flow *f,
                      const struct bl_raw_packet *raw)
{
  if (f->lookup.paused || !is_same_flow (raw->packet->ack, f->lookup.ack))
    {
      bl_lookup_start (d, f, raw);
      return;
    }
  bl_tracked_flow_hold (f, raw);
  repeat_queries (d, f, false);
}

/* The first agent whose reply is outstanding, for the log.  */
static const struct bl_instance *
first_unanswered (const struct bl_dispatch *d,
                  const struct bl_dispatch_owner_lookup *lookup)
{
  for (size_t i = 0; i < lookup->count; i++)
    if (lookup->queried[i].reply == BL_REPLY_PROBED
        || (lookup->queried[i].reply == BL_REPLY_NONE
            && !bl_instance_is_gone (lookup->queried[i].instance, d->now)))
      return lookup->queried[i].instance;
  return NULL;
}

/* Ends a lookup without a result among the agents that were offered the flow.
   The offers are kept, so that the lookup for the caller's next packet is as
   short.  */
static void
return_to_opening (struct bl_dispatch *d, struct bl_tracked_flow *f)
{
  bl_tracked_flow_set_pending (d, f, false);
  bl_tracked_flow_discard_held (f);
  free (f->lookup.queried);
  f->lookup = (struct bl_dispatch_owner_lookup){ .count = 0 };
  f->phase = BL_PHASE_OPENING;
}

/* Ends a lookup without a result, until the caller's next packet.  */
static void
pause_lookup (struct bl_dispatch *d, struct bl_tracked_flow *f)
{
  bl_tracked_flow_set_pending (d, f, false);
  bl_tracked_flow_discard_held (f);
  free (f->lookup.queried);
  f->lookup = (struct bl_dispatch_owner_lookup){ .ack = f->lookup.ack,
                                                 .paused = true };
}

static void
drop_held (struct bl_dispatch *d, struct bl_tracked_flow *f, const char *reason)
{
  d->counters[BL_DISPATCH_DROPPED]++;
  bl_dispatch_log_decision (d, "dropped", reason, &f->key,
                            first_unanswered (d, &f->lookup),
                            d->now - f->phase_start_ms);
  if (f->lookup.only_offered)
    return_to_opening (d, f);
  else if (f->probes != NULL)
    pause_lookup (d, f);
  else
    bl_tracked_flow_remove (d, f);
}

/* Extends the lookup to further agents that may own the flow.  Returns false if
   all have been queried.  */
static bool
query_further (struct bl_dispatch *d, struct bl_tracked_flow *f)
{
  if (f->lookup.only_offered)
    {
      f->lookup.only_offered = false;
      if (query_route (d, f) > 0)
        return true;
    }
  if (f->lookup.all_services)
    return false;
  f->lookup.all_services = true;
  return query_all (d, f) > 0;
}

/* Returns true if the reply of QUERIED is outstanding and may still come.  */
static bool
is_awaited (const struct bl_dispatch *d, const struct bl_queried_agent *queried)
{
  return queried->reply == BL_REPLY_NONE && may_hold_flows (queried->instance)
         && !bl_instance_is_gone (queried->instance, d->now);
}

/* Returns true when all queried agents, except those that are gone, have
   replied.  An agent whose server died probably owns nothing, so only a reset
   waits for it.  */
static bool
all_answered (const struct bl_dispatch *d,
              const struct bl_dispatch_owner_lookup *lookup)
{
  for (size_t i = 0; i < lookup->count; i++)
    if (is_awaited (d, &lookup->queried[i])
        && lookup->queried[i].instance->record.state != BL_STATE_DEAD)
      return false;
  return true;
}

/* Returns the time within which an agent that runs replies to a query.  It is
   longer while all replies are slow, as on a full link, which more queries
   would only fill.  */
static double
reply_timeout_ms (const struct bl_dispatch *d)
{
  return REPLY_TIMEOUT_MS + REPLY_FACTOR * d->fleet.reply_ms;
}

/* Returns true if the agent of QUERIED may still deny the flow, or claim it.
   One whose server died is given the usual time for a reply only.  */
static bool
is_undecided (const struct bl_dispatch *d,
              const struct bl_queried_agent *queried)
{
  if (queried->reply == BL_REPLY_INCOMPLETE)
    return may_hold_flows (queried->instance);
  return is_awaited (d, queried)
         && (queried->instance->record.state != BL_STATE_DEAD
             || (double)(d->now - queried->query_ms) <= reply_timeout_ms (d));
}

/* Returns true if each agent whose server may hold the flow has denied it, or
   is gone.  */
static bool
is_denied_by_all (const struct bl_dispatch *d,
                  const struct bl_dispatch_owner_lookup *lookup)
{
  for (size_t i = 0; i < lookup->count; i++)
    if (is_undecided (d, &lookup->queried[i]))
      return false;
  return true;
}

/* Returns true if the lookup ends, whatever is outstanding.  */
static bool
is_overdue (const struct bl_dispatch *d,
            const struct bl_dispatch_owner_lookup *lookup)
{
  uint64_t max_ms = lookup->only_offered ? LOOKUP_TIMEOUT_MS : LOOKUP_MAX_MS;

  return d->now - lookup->started_ms > max_ms;
}

/* Handles a lookup in which no agent has claimed the flow.  The owner may be an
   agent that could not be sent the packet yet, or one of which only other
   balancers hold the record.  */
static void
on_none_owns (struct bl_dispatch *d, struct bl_tracked_flow *f)
{
  const struct bl_reset_evidence evidence = {
    .kind = BL_EVIDENCE_DENIALS,
    .since_ms = f->phase_start_ms,
  };

  if (!is_denied_by_all (d, &f->lookup))
    {
      if (is_overdue (d, &f->lookup))
        drop_held (d, f, "no_answer");
      return;
    }
  if (!f->held_payload || !bl_fleet_is_connected (&d->fleet)
      || !bl_dispatch_has_all_agents (d))
    drop_held (d, f, "denied_by_all");
  else if (bl_compare_confirmed (d, f->phase_start_ms) && query_all (d, f) == 0)
    bl_dispatch_reset_flow (d, f, &evidence);
}

static void
on_owner_found (struct bl_dispatch *d,
                struct bl_tracked_flow *f,
                struct bl_instance *owner,
                uint64_t backend_start,
                const char *reason,
                bool send)
{
  struct bl_dispatch_class *c
      = bl_dispatch_class_of (d, &f->key, owner->service);

  if (c != NULL)
    bl_histogram_add (&c->lookup_times, d->now - f->phase_start_ms);
  d->counters[BL_DISPATCH_OWNERS_FOUND]++;
  bl_dispatch_log_decision (d, "owner_found", reason, &f->key, owner,
                            d->now - f->phase_start_ms);
  /* If a probe found the owner, the owner has the first packet already.  */
  for (size_t i = send ? 0 : 1; i < f->held_count; i++)
    bl_dispatch_forward (d, f, owner, f->held[i].ptr, f->held[i].len);
  bl_tracked_flow_set_owner (d, f, owner, backend_start);
}

/* Returns true if an agent that has announced a restart, or was queried a
   moment ago, has not replied.  It is back soon, unlike one that is silent
   without notice.  */
static bool
awaits_restart (const struct bl_dispatch *d,
                const struct bl_dispatch_owner_lookup *lookup)
{
  for (size_t i = 0; i < lookup->count; i++)
    {
      const struct bl_queried_agent *queried = &lookup->queried[i];
      const struct bl_instance *agent = queried->instance;
      bool restarting = agent->record.state == BL_STATE_STARTING
                        && d->now - agent->record_ms < RESTART_USUAL_MS;
      bool just_queried = agent->record.state != BL_STATE_DEAD
                          && d->now - queried->query_ms < QUERY_REPEAT_MS;
      if (is_awaited (d, queried) && (restarting || just_queried))
        return true;
    }
  return false;
}

/* Returns the record of probes for the flow that the caller's packets belong
   to, or NULL if memory runs out.  */
static struct bl_flow_probes *
get_probes (struct bl_tracked_flow *f, uint32_t ack)
{
  if (f->probes == NULL)
    f->probes = calloc (1, sizeof *f->probes);
  else if (is_same_flow (ack, f->probes->ack))
    return f->probes;
  if (f->probes != NULL)
    *f->probes = (struct bl_flow_probes){ .ack = ack };
  return f->probes;
}

/* Returns true if AGENT returned a packet of the flow with acknowledgement
   number ACK, and its backend server has not started anew since.  */
static bool
has_returned (const struct bl_tracked_flow *f,
              const struct bl_instance *agent,
              uint32_t ack)
{
  const struct bl_flow_probes *probes = f->probes;

  if (probes == NULL || !is_same_flow (ack, probes->ack))
    return false;
  for (size_t i = 0; i < probes->returned_count; i++)
    if (probes->returned[i].instance == agent
        && probes->returned[i].backend_start == agent->backend_start)
      return true;
  return false;
}

void
bl_lookup_note_returned (struct bl_tracked_flow *f,
                         const struct bl_instance *from,
                         uint32_t ack)
{
  struct bl_flow_probes *probes = get_probes (f, ack);

  if (probes != NULL && !has_returned (f, from, ack)
      && probes->returned_count < BL_RETURNED_MAX)
    probes->returned[probes->returned_count++]
        = (struct bl_returned_by){ from, from->backend_start };
}

/* Returns how many probes may be open now.  */
static size_t
open_probes_max (const struct bl_dispatch *d, const struct bl_tracked_flow *f)
{
  if (!awaits_restart (d, &f->lookup))
    return OPEN_PROBES_MAX;
  if (f->probes != NULL && f->probes->sent_ms != 0
      && d->now - f->probes->sent_ms < PROBE_INTERVAL_MS)
    return 0;
  return 1;
}

/* Sends the packet as a probe to the next agents with incomplete flow tables.
   Returns false when no probe is open.  */
static bool
probe_next (struct bl_dispatch *d, struct bl_tracked_flow *f)
{
  struct bl_dispatch_owner_lookup *lookup = &f->lookup;
  size_t open_max = open_probes_max (d, f);

  for (size_t i = 0; i < lookup->count && f->held_count > 0; i++)
    {
      if (lookup->open_probes >= open_max)
        break;
      if (lookup->queried[i].reply != BL_REPLY_INCOMPLETE
          || !may_hold_flows (lookup->queried[i].instance))
        continue;
      lookup->queried[i].reply = BL_REPLY_PROBED;
      lookup->open_probes++;
      lookup->last_probe_ms = d->now;
      if (get_probes (f, lookup->ack) != NULL)
        f->probes->sent_ms = d->now;
      bl_dispatch_forward (d, f, lookup->queried[i].instance, f->held[0].ptr,
                           f->held[0].len);
    }
  return lookup->open_probes > 0;
}

static void
advance (struct bl_dispatch *d, struct bl_tracked_flow *f)
{
  if (f->lookup.open_probes > 0 || !all_answered (d, &f->lookup))
    return;
  /* Agents that were offered the flow are sent the packet before any others are
     queried, but no agent is sent it while another one may claim the flow.  */
  if (f->lookup.only_offered && probe_next (d, f))
    return;
  if (!query_further (d, f) && !probe_next (d, f))
    on_none_owns (d, f);
}

static struct bl_queried_agent *
find_queried (struct bl_dispatch_owner_lookup *lookup,
              const struct bl_instance *agent)
{
  for (size_t i = 0; i < lookup->count; i++)
    if (lookup->queried[i].instance == agent)
      return &lookup->queried[i];
  return NULL;
}

void
bl_lookup_on_reply (struct bl_dispatch *d,
                    struct bl_tracked_flow *f,
                    struct bl_instance *from,
                    const struct bl_link_msg *link)
{
  struct bl_dispatch_owner_lookup *lookup = &f->lookup;
  struct bl_queried_agent *queried = find_queried (lookup, from);

  if (link->type == BL_LINK_OWNED)
    {
      on_owner_found (d, f, from, link->backend_start, "claimed",
                      queried == NULL || queried->reply != BL_REPLY_PROBED);
      return;
    }
  if (queried == NULL || link->ack != lookup->ack)
    return;
  if (queried->reply == BL_REPLY_NONE || queried->reply == BL_REPLY_INCOMPLETE)
    queried->reply
        = link->type == BL_LINK_NOT_OWNED || has_returned (f, from, lookup->ack)
              ? BL_REPLY_NOT_OWNED
              : BL_REPLY_INCOMPLETE;
  advance (d, f);
}

void
bl_lookup_on_returned (struct bl_dispatch *d,
                       struct bl_tracked_flow *f,
                       struct bl_instance *from,
                       const struct bl_raw_packet *returned)
{
  struct bl_queried_agent *queried = find_queried (&f->lookup, from);

  if (f->lookup.paused)
    {
      if (returned->packet != NULL)
        bl_lookup_start (d, f, returned);
      return;
    }
  if (queried != NULL && queried->reply == BL_REPLY_PROBED)
    {
      queried->reply = BL_REPLY_NOT_OWNED;
      f->lookup.open_probes--;
    }
  else if (returned->packet != NULL)
    bl_tracked_flow_hold (f, returned);
  advance (d, f);
}

/* Closes the probes of agents that have left since.  */
static void
close_left_probes (struct bl_dispatch_owner_lookup *lookup)
{
  for (size_t i = 0; i < lookup->count; i++)
    if (lookup->queried[i].reply == BL_REPLY_PROBED
        && !may_hold_flows (lookup->queried[i].instance))
      {
        lookup->queried[i].reply = BL_REPLY_NOT_OWNED;
        lookup->open_probes--;
      }
}

/* Handles the only probe that was not returned in time, when all other agents
   have denied the flow.  An agent that was heard of since would have returned
   the packet, so it is presumed to be the owner.  Any other one may have
   stopped before the packet arrived; it is queried again when it returns.  */
static void
on_last_probe_timeout (struct bl_dispatch *d,
                       struct bl_tracked_flow *f,
                       struct bl_queried_agent *probed)
{
  struct bl_instance *agent = probed->instance;

  if (agent->last_message_ms > f->lookup.last_probe_ms)
    {
      on_owner_found (d, f, agent, agent->backend_start, "not_returned", false);
      f->owner_presumed = true;
      return;
    }
  f->lookup.open_probes--;
  probed->reply = BL_REPLY_NONE;
  probed->query_ms = f->lookup.last_probe_ms;
}

/* Handles probes that were not returned in time.  While other agents have not
   replied, they are waited for.  If several probes are open after that, the
   held packets are dropped: either one of the backend servers holds the flow,
   which its agent reports with the next packet of the backend server, or a
   probe was lost.  */
static void
on_probe_timeout (struct bl_dispatch *d, struct bl_tracked_flow *f)
{
  struct bl_dispatch_owner_lookup *lookup = &f->lookup;
  struct bl_queried_agent *only = NULL;
  bool answered = all_answered (d, lookup);
  bool overdue = is_overdue (d, lookup);

  for (size_t i = 0; i < lookup->count; i++)
    if (lookup->queried[i].reply == BL_REPLY_PROBED)
      only = &lookup->queried[i];
  if (answered && lookup->open_probes == 1 && only != NULL && !overdue)
    on_last_probe_timeout (d, f, only);
  else if (answered || overdue)
    drop_held (d, f, "no_answer");
}

void
bl_lookup_check_timeouts (struct bl_dispatch *d, struct bl_tracked_flow *f)
{
  struct bl_dispatch_owner_lookup *lookup = &f->lookup;
  uint64_t elapsed_ms = d->now - lookup->started_ms;

  close_left_probes (lookup);
  repeat_queries (d, f, true);
  if (lookup->open_probes > 0)
    {
      if (d->now - lookup->last_probe_ms > PROBE_TIMEOUT_MS)
        on_probe_timeout (d, f);
      return;
    }
  if (lookup->count == 0 || all_answered (d, lookup))
    {
      advance (d, f);
      return;
    }
  if (!lookup->only_offered && (double)elapsed_ms > reply_timeout_ms (d))
    query_further (d, f);
  /* An agent with an incomplete flow table may own the flow even if other
     agents have not replied.  */
  if (elapsed_ms > LOOKUP_TIMEOUT_MS && !probe_next (d, f)
      && is_overdue (d, lookup))
    drop_held (d, f, "no_answer");
}
