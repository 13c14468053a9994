/* node_keep.c -- keepers of agents, and relays of the configuration

   Who keeps an agent follows from rendezvous hashing over the live balancers
   of its data centre, so everybody who knows the members can tell, and two
   views that differ only make an agent announce itself once too often.  When
   a data centre has fewer balancers than keepers are wanted, those of the
   whole region are taken.

   A keeper that has not heard an agent for AGENT_SILENCE_MS asks it and the
   other keepers, three times; only when none answers or has heard it, is the
   backend server declared dead.  A keeper that was paused itself asks the same
   way, and is answered.  No lease is involved: an agent that is wrongly
   declared dead raises its sequence number and is back.  */

#include "core/node.h"
#include "core/view.h"

#include <stdlib.h>
#include <string.h>

#define MONITOR_INTERVAL_MS 500
#define AGENT_SILENCE_MS    4500 /* two announcements */
#define PROBE_ROUNDS_MAX    3    /* questions after an agent, one a look */

struct ranked_member
{
  uint64_t score;
  const struct bl_member *member; /* NULL: this node */
};

static uint64_t
rendezvous_score (uint64_t key, uint64_t member)
{
  struct bl_random mix = { .state = key ^ (member * 0x9e3779b97f4a7c15u) };
  return bl_random_next (&mix);
}

static size_t
insert_ranked (struct ranked_member *best,
               size_t n,
               size_t max,
               struct ranked_member item)
{
  size_t at;

  if (n == max && item.score <= best[n - 1].score)
    return n;
  at = n < max ? n++ : n - 1;
  while (at > 0 && item.score > best[at - 1].score)
    {
      best[at] = best[at - 1];
      at--;
    }
  best[at] = item;
  return n;
}

/* The first MAX of the members of DC (of all: NULL) for KEY.  */
static size_t
rank_members (struct bl_node *node,
              uint64_t key,
              const struct bl_name *dc,
              struct ranked_member *best,
              size_t max)
{
  uint64_t self = bl_name_hash (&node->settings.id, 0);
  size_t n = 0;

  if (node->self.state == BL_STATE_READY
      && (dc == NULL || bl_name_equal (dc, &node->settings.dc)))
    n = insert_ranked (
        best, n, max,
        (struct ranked_member){ rendezvous_score (key, self), NULL });
  for (size_t i = 0; i < node->member_count; i++)
    {
      const struct bl_member *m = &node->members[i];
      if (!m->can_monitor || (dc != NULL && !bl_name_equal (dc, &m->dc)))
        continue;
      n = insert_ranked (
          best, n, max,
          (struct ranked_member){ rendezvous_score (key, m->hash), m });
    }
  return n;
}

size_t
bl_monitor_choose (struct bl_node *node,
                   const struct bl_name *dc,
                   const struct bl_name *id,
                   const struct bl_member **out)
{
  struct ranked_member best[BL_MONITORS_PER_AGENT];
  uint64_t key = bl_name_hash (id, 1);
  bool monitored;
  size_t n;

  bl_node_refresh_members (node);
  monitored = bl_names_has (&node->monitored_dcs, dc);
  n = rank_members (node, key, monitored ? dc : NULL, best,
                    BL_MONITORS_PER_AGENT);
  for (size_t i = 0; i < n; i++)
    out[i] = best[i].member;
  return n;
}

bool
bl_monitor_is_selected (struct bl_node *node, const char *key, size_t count)
{
  struct ranked_member best[BL_MONITORS_PER_AGENT + BL_RELAYS_PER_DC];
  struct bl_name name;
  size_t n;

  bl_name_set (&name, bl_str_of (key));
  n = rank_members (node, bl_name_hash (&name, 2), &node->settings.dc, best,
                    count);
  for (size_t i = 0; i < n; i++)
    if (best[i].member == NULL)
      return true;
  return false;
}

/* Whether this node is among the keepers of an agent.  It is not once as many
   others are found that come before it, which for nearly all agents takes
   few steps, however many members there are.  */
static bool
is_monitor_of (struct bl_node *node, const struct bl_record *r)
{
  uint64_t key = bl_name_hash (&r->id, 1);
  uint64_t own_score
      = rendezvous_score (key, bl_name_hash (&node->settings.id, 0));
  size_t before = 0;
  bool monitored;

  bl_node_refresh_members (node);
  monitored = bl_names_has (&node->monitored_dcs, &r->dc);
  if (node->self.state != BL_STATE_READY
      || (monitored ? !bl_name_equal (&r->dc, &node->settings.dc)
                    : !r->adopted))
    return false;
  for (size_t i = 0; i < node->member_count && before < BL_MONITORS_PER_AGENT;
       i++)
    {
      const struct bl_member *m = &node->members[i];
      if (m->can_monitor && (m->local || !monitored)
          && rendezvous_score (key, m->hash) > own_score)
        before++;
    }
  return before < BL_MONITORS_PER_AGENT;
}

/* -- the table of agents -- */

static struct bl_monitored_agent *
find_monitored (const struct bl_node *node, const struct bl_name *id)
{
  struct bl_monitored_agent *agent;
  HASH_FIND (hh, node->monitored_agents, id, sizeof *id, agent);
  return agent;
}

static struct bl_monitored_agent *
get_or_add_monitored (struct bl_node *node, const struct bl_name *id)
{
  struct bl_monitored_agent *agent = find_monitored (node, id);

  if (agent != NULL)
    return agent;
  agent = calloc (1, sizeof *agent);
  if (agent == NULL)
    return NULL;
  agent->id = *id;
  agent->last_alive_ms = node->now;
  HASH_ADD (hh, node->monitored_agents, id, sizeof agent->id, agent);
  return agent;
}

static void
remove_monitored (struct bl_node *node, struct bl_monitored_agent *agent)
{
  HASH_DEL (node->monitored_agents, agent);
  free (agent);
}

void
bl_monitor_clear (struct bl_node *node)
{
  struct bl_monitored_agent *agent;
  struct bl_monitored_agent *next;

  HASH_ITER (hh, node->monitored_agents, agent, next)
  {
    remove_monitored (node, agent);
  }
}

static void
note_alive (struct bl_node *node, struct bl_monitored_agent *agent)
{
  agent->last_alive_ms = node->now;
  agent->probe_rounds = 0;
}

/* Only the agent's own word counts: what this node took up or was told of, it
   must not vouch for.  */
bool
bl_monitor_heard_recently (const struct bl_node *node, const struct bl_name *id)
{
  const struct bl_monitored_agent *agent = find_monitored (node, id);
  return agent != NULL && agent->last_announce_ms != 0
         && node->now - agent->last_announce_ms < AGENT_SILENCE_MS;
}

/* -- silence -- */

/* Asks the agent itself and the other keepers.  */
static void
probe_agent (struct bl_node *node,
             struct bl_monitored_agent *agent,
             const struct bl_record *r)
{
  const struct bl_member *monitors[BL_MONITORS_PER_AGENT];
  size_t n = bl_monitor_choose (node, &r->dc, &r->id, monitors);
  struct bl_msg ping = { .type = BL_MSG_PING, .seq = ++node->last_seq };
  struct bl_msg msg = {
    .type = BL_MSG_PING_REQ,
    .about = agent->id,
    .seq = ++node->last_seq,
  };

  agent->probe_rounds++;
  bl_node_send (node, (struct bl_addr){ r->ip, r->control_port }, &ping);
  for (size_t i = 0; i < n; i++)
    if (monitors[i] != NULL)
      bl_node_send (node, monitors[i]->control, &msg);
}

bool
bl_monitor_on_ack (struct bl_node *node, const struct bl_msg *msg)
{
  struct bl_monitored_agent *agent;

  if (msg->about.len == 0)
    return false;
  agent = find_monitored (node, &msg->about);
  if (agent != NULL && agent->probe_rounds > 0 && msg->yes)
    note_alive (node, agent);
  return true;
}

static void
declare_dead (struct bl_node *node, const struct bl_record *held)
{
  struct bl_record r = *held;

  r.state = BL_STATE_DEAD;
  node->counters[BL_NODE_DEATHS]++;
  bl_node_put (node, &r, bl_node_push_rounds (node));
}

static void
check_monitored (struct bl_node *node, struct bl_monitored_agent *agent)
{
  const struct bl_record *r
      = bl_store_get (node->store, BL_KIND_BACKEND, &agent->id);

  if (r == NULL || r->state >= BL_STATE_LEFT)
    {
      if (node->now - agent->last_alive_ms > AGENT_SILENCE_MS)
        remove_monitored (node, agent);
      return;
    }
  if (node->now - agent->last_alive_ms < AGENT_SILENCE_MS)
    return;
  if (agent->probe_rounds == PROBE_ROUNDS_MAX)
    declare_dead (node, r);
  else
    probe_agent (node, agent, r);
}

/* -- what agents are told -- */

void
bl_monitor_lost_dcs (const struct bl_node *node,
                     const struct bl_route *route,
                     struct bl_names *lost)
{
  lost->count = 0;
  if (node->routes.lost.count == 0 || route == NULL)
    return;
  for (size_t i = 0; i < route->id_count; i++)
    {
      const struct bl_record *r
          = bl_store_get (node->store, BL_KIND_BACKEND, &route->ids[i]);
      if (r != NULL && bl_names_has (&node->routes.lost, &r->dc))
        bl_names_add (lost, &r->dc);
    }
}

/* The digest that the agent's view of its service should have.  */
static uint64_t
view_digest (struct bl_node *node, const struct bl_name *service)
{
  const struct bl_service *s = bl_config_find (node->config, service);
  struct bl_route *route
      = s != NULL ? bl_routes_get (&node->routes, node->store, s) : NULL;
  struct bl_names lost;
  uint64_t digest = 0;

  bl_monitor_lost_dcs (node, route, &lost);
  for (size_t i = 0; route != NULL && i < route->id_count; i++)
    digest ^= bl_store_record_digest (
        bl_store_get (node->store, BL_KIND_BACKEND, &route->ids[i]));
  return bl_view_digest_of (s, digest, &lost);
}

/* Tells an agent how its record is known here, the digest of its service and,
   when KEEPERS_KNOWN is not their digest, its keepers.  */
static void
send_announce_ack (struct bl_node *node,
                   struct bl_addr to,
                   uint64_t incarnation,
                   const struct bl_record *held,
                   uint64_t known_monitors_digest)
{
  const struct bl_member *monitors[BL_MONITORS_PER_AGENT];
  struct bl_record records[BL_MONITORS_PER_AGENT];
  struct bl_msg msg = { .type = BL_MSG_ANNOUNCED, .records = records };
  size_t n;

  if (held != NULL && held->incarnation == incarnation)
    {
      msg.seq = held->seq;
      msg.yes = held->state >= BL_STATE_SUSPECT;
    }
  if (held != NULL)
    {
      n = bl_monitor_choose (node, &held->dc, &held->id, monitors);
      for (size_t i = 0; i < n; i++)
        records[i] = monitors[i] == NULL
                         ? node->self
                         : *bl_store_get (node->store, BL_KIND_MEMBER,
                                          &monitors[i]->id);
      if (bl_keepers_digest (records, n) != known_monitors_digest)
        msg.record_count = n;
      msg.digest = view_digest (node, &held->service);
    }
  bl_node_send (node, to, &msg);
}

/* Agents hear of a change of their service at once, not at their next
   announcement: a drain must not wait, nor must a new peer.  */
static void
notify_changes (struct bl_node *node)
{
  uint64_t generation = bl_store_generation (node->store);
  uint64_t version = bl_config_version (node->config);
  struct bl_monitored_agent *agent;
  struct bl_monitored_agent *next;

  if (generation == node->notified_generation
      && version == node->notified_config_version)
    return;
  node->notified_generation = generation;
  node->notified_config_version = version;
  HASH_ITER (hh, node->monitored_agents, agent, next)
  {
    const struct bl_record *r
        = bl_store_get (node->store, BL_KIND_BACKEND, &agent->id);
    uint64_t digest;
    if (r == NULL || r->state >= BL_STATE_LEFT)
      continue;
    digest = view_digest (node, &r->service);
    if (digest == agent->sent_view_digest)
      continue;
    agent->sent_view_digest = digest;
    send_announce_ack (node, (struct bl_addr){ r->ip, r->control_port },
                       r->incarnation, r, agent->known_monitors_digest);
  }
}

/* -- upkeep -- */

/* Takes up agents that this node became a keeper of, as if it had just heard
   them, and drops those that it keeps no longer.  */
static void
update_monitored (void *ctx, const struct bl_record *r)
{
  struct bl_node *node = ctx;
  struct bl_monitored_agent *agent = find_monitored (node, &r->id);
  bool is_monitor = r->state < BL_STATE_LEFT && is_monitor_of (node, r);

  if (is_monitor && agent == NULL)
    get_or_add_monitored (node, &r->id);
  else if (!is_monitor && agent != NULL)
    remove_monitored (node, agent);
}

void
bl_monitor_tick (struct bl_node *node)
{
  struct bl_monitored_agent *agent;
  struct bl_monitored_agent *next;

  notify_changes (node);
  if (node->now < node->next_monitor_ms)
    return;
  node->next_monitor_ms = node->now + MONITOR_INTERVAL_MS;
  if (node->monitors_dirty)
    {
      node->monitors_dirty = false;
      bl_store_each (node->store, BL_KIND_BACKEND, update_monitored, node);
    }
  HASH_ITER (hh, node->monitored_agents, agent, next)
  {
    check_monitored (node, agent);
  }
}

/* -- announcements -- */

static bool
is_announcement (const struct bl_msg *msg)
{
  if (msg->record_count == 0)
    return true;
  return msg->record_count == 1 && msg->records[0].kind == BL_KIND_BACKEND
         && bl_name_equal (&msg->records[0].id, &msg->from);
}

void
bl_monitor_on_announce (struct bl_node *node,
                        struct bl_addr from,
                        const struct bl_msg *msg)
{
  const struct bl_record *held;
  struct bl_monitored_agent *agent = NULL;

  if (!is_announcement (msg))
    {
      node->counters[BL_NODE_BAD_MESSAGE]++;
      return;
    }
  if (msg->record_count == 1)
    bl_node_put (node, &msg->records[0], bl_node_push_rounds (node));
  held = bl_store_get (node->store, BL_KIND_BACKEND, &msg->from);
  if (held != NULL && held->incarnation == msg->incarnation
      && is_monitor_of (node, held))
    agent = get_or_add_monitored (node, &held->id);
  if (agent != NULL)
    {
      note_alive (node, agent);
      agent->last_announce_ms = node->now;
      agent->applied_version = msg->config_version;
      agent->flows = msg->flows;
      agent->known_monitors_digest = msg->digest;
    }
  send_announce_ack (node, from, msg->incarnation, held, msg->digest);
}
