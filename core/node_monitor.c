/* node_monitor.c -- monitoring of agents, and the choice of monitors and relays

   The monitors of an agent are chosen by rendezvous hashing over the balancers
   of its data centre, so every balancer computes them from the list of members
   alone.  While the lists of balancers differ, an agent at most announces
   itself to one balancer too many.  An agent in a data centre without balancers
   is monitored by balancers of the whole region.

   A monitor that has received no announcement of an agent for AGENT_SILENCE_MS
   probes it: it pings the agent, which then announces itself, and queries the
   other monitors whether they received an announcement.  It declares the
   backend server dead only after three rounds of probes without an announcement
   or such a report.  A monitor that was itself paused probes in the same way
   and so receives a new announcement.  There is no lease: an agent that is
   wrongly declared dead raises its sequence number, and its new record replaces
   the wrong record.  */

#include "core/node.h"
#include "core/view.h"

#include <stdlib.h>
#include <string.h>

#define MONITOR_INTERVAL_MS 500
#define AGENT_SILENCE_MS    4500 /* longer than two announcement intervals */
#define PROBE_ROUNDS_MAX    3    /* one per MONITOR_INTERVAL_MS */

/* Seeds of bl_name_hash for the keys of rendezvous hashing.  They differ from
   BL_MEMBER_HASH_SEED, so that equal names hash differently.  */
#define AGENT_HASH_SEED 1
#define ROLE_HASH_SEED  2

struct ranked_member
{
  uint64_t score;
  const struct bl_member *member; /* NULL: this balancer */
};

static uint64_t
rendezvous_score (uint64_t key, uint64_t member)
{
  struct bl_random mix = { .state = key ^ (member * 0x9e3779b97f4a7c15u) };
  return bl_random_next (&mix);
}

/* Inserts ITEM into the N entries of BEST, which holds MAX and is sorted by
   descending score.  Returns the new number of entries.  */
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

/* Writes to BEST the MAX balancers with the highest scores for KEY, of DC or,
   when DC is NULL, of the region.  Returns their number.  */
static size_t
rank_members (struct bl_node *node,
              uint64_t key,
              const struct bl_name *dc,
              struct ranked_member *best,
              size_t max)
{
  uint64_t self = bl_name_hash (&node->settings.id, BL_MEMBER_HASH_SEED);
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
  uint64_t key = bl_name_hash (id, AGENT_HASH_SEED);
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
  n = rank_members (node, bl_name_hash (&name, ROLE_HASH_SEED),
                    &node->settings.dc, best, count);
  for (size_t i = 0; i < n; i++)
    if (best[i].member == NULL)
      return true;
  return false;
}

/* Returns true if this balancer is a monitor of the agent of R.  The loop ends
   as soon as enough other members with a higher score are found, which takes
   few steps for nearly all agents, whatever the number of members.  */
static bool
is_monitor_of (struct bl_node *node, const struct bl_record *r)
{
  uint64_t key = bl_name_hash (&r->id, AGENT_HASH_SEED);
  uint64_t own_score = rendezvous_score (
      key, bl_name_hash (&node->settings.id, BL_MEMBER_HASH_SEED));
  size_t before = 0;
  bool monitored;

  bl_node_refresh_members (node);
  monitored = bl_names_has (&node->monitored_dcs, &r->dc);
  if (node->self.state != BL_STATE_READY
      || (monitored ? !bl_name_equal (&r->dc, &node->settings.dc)
                    : !r->remotely_monitored))
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

/* -- table of monitored agents -- */

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

/* Only announcements of the agent itself count.  The start of monitoring and
   the reports of other monitors do not: monitors that confirmed each other's
   reports would keep a dead agent alive.  */
bool
bl_monitor_has_recent_announce (const struct bl_node *node,
                                const struct bl_name *id)
{
  const struct bl_monitored_agent *agent = find_monitored (node, id);
  return agent != NULL && agent->last_announce_ms != 0
         && node->now - agent->last_announce_ms < AGENT_SILENCE_MS;
}

/* -- silent agents -- */

/* Pings the agent, and queries its other monitors whether they have received an
   announcement of it recently.  */
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
    .subject = agent->id,
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

  if (msg->subject.len == 0)
    return false;
  agent = find_monitored (node, &msg->subject);
  if (agent != NULL && agent->probe_rounds > 0 && msg->affirmative)
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

/* -- answers and notifications to agents -- */

void
bl_monitor_dcs_without_balancers (const struct bl_node *node,
                                  const struct bl_service_pool *service_pool,
                                  struct bl_names *dcs_without_balancers)
{
  dcs_without_balancers->count = 0;
  if (node->service_pools.dcs_without_balancers.count == 0
      || service_pool == NULL)
    return;
  for (size_t i = 0; i < service_pool->id_count; i++)
    {
      const struct bl_record *r
          = bl_store_get (node->store, BL_KIND_BACKEND, &service_pool->ids[i]);
      if (r != NULL
          && bl_names_has (&node->service_pools.dcs_without_balancers, &r->dc))
        bl_names_add (dcs_without_balancers, &r->dc);
    }
}

/* The digest that an up-to-date agent's view of SERVICE has.  */
static uint64_t
view_digest (struct bl_node *node, const struct bl_name *service)
{
  const struct bl_service *s = bl_config_find (node->config, service);
  struct bl_service_pool *service_pool
      = s != NULL ? bl_service_pools_get (&node->service_pools, node->store, s)
                  : NULL;
  struct bl_names dcs_without_balancers;
  uint64_t digest = 0;

  bl_monitor_dcs_without_balancers (node, service_pool, &dcs_without_balancers);
  for (size_t i = 0; service_pool != NULL && i < service_pool->id_count; i++)
    digest ^= bl_record_digest (
        bl_store_get (node->store, BL_KIND_BACKEND, &service_pool->ids[i]));
  return bl_view_compute_digest (s, digest, &dcs_without_balancers);
}

/* Sends to an agent the state of HELD, its record here: the sequence number,
   and whether it counts as suspect, left or dead.  Adds the digest of the
   agent's service and, when their digest differs from KNOWN_MONITORS_DIGEST,
   the agent's monitors.  HELD is NULL when there is no record.  */
static void
send_announce_ack (struct bl_node *node,
                   struct bl_addr to,
                   uint64_t incarnation,
                   const struct bl_record *held,
                   uint64_t known_monitors_digest)
{
  const struct bl_member *monitors[BL_MONITORS_PER_AGENT];
  struct bl_record records[BL_MONITORS_PER_AGENT];
  struct bl_msg msg = { .type = BL_MSG_ANNOUNCE_ACK, .records = records };
  size_t n;

  if (held != NULL && held->incarnation == incarnation)
    {
      msg.seq = held->seq;
      msg.affirmative = held->state >= BL_STATE_SUSPECT;
    }
  if (held != NULL)
    {
      n = bl_monitor_choose (node, &held->dc, &held->id, monitors);
      for (size_t i = 0; i < n; i++)
        records[i] = monitors[i] == NULL
                         ? node->self
                         : *bl_store_get (node->store, BL_KIND_BALANCER,
                                          &monitors[i]->id);
      if (bl_monitors_digest (records, n) != known_monitors_digest)
        msg.record_count = n;
      msg.digest = view_digest (node, &held->service);
    }
  bl_node_send (node, to, &msg);
}

/* Notifies agents of a change of their service at once instead of at their next
   announcement, so that a drain or a new peer takes effect without delay.  */
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

/* -- periodic work -- */

/* Starts to monitor the agent of R when this balancer has become a monitor of
   it, as if the agent had just announced itself, and stops when this balancer
   is no longer a monitor of it.  */
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
