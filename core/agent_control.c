/* agent_control.c -- how an agent announces itself and learns of its peers

   An agent tells a few keepers among the balancers about itself, once a
   second, and hears from them who its keepers are now and the digest of its
   service.  Only when that digest differs from its own does it pull the view.
   When no keeper answers it turns to the seeds of its settings, and any
   balancer can name the keepers.  Load goes to peers of the same service
   only, when it changed, and the more peers there are, the more seldom.  */

#include "core/agent.h"

#include <stdlib.h>
#include <string.h>

#define ANNOUNCE_INTERVAL_MS 2000
#define ANNOUNCE_JITTER_MS   200
#define KEEPER_SILENCE_MS    4500 /* then seeds are asked too */
#define PULL_MIN_MS          200
#define PULL_MAX_MS          5000
#define VIEW_FORGET_MS       300000 /* out of touch: learn everything anew */
#define REPORT_INTERVAL_MS   100    /* for each peer that is told */
#define REPORT_PEERS_MAX     16
#define REPORT_CHANGE_MIN    100   /* thousandths of a slot */
#define RAMP_MS              10000 /* from ready to a usual share */
#define RAMP_START           100   /* thousandths */
#define RAMP_FULL            1000
#define FLOW_EXPIRE_MS       BL_FLOW_TTL_MS

void
bl_agent_send (struct bl_agent *agent, struct bl_addr to, struct bl_msg *msg)
{
  msg->from = agent->settings.id;
  if (bl_msg_encode (msg, &agent->buffer) == BL_OK)
    agent->ops.send (agent->ctx, to, agent->buffer.ptr, agent->buffer.len);
}

static void
init_self (struct bl_agent *agent)
{
  const struct bl_agent_settings *s = &agent->settings;

  agent->self = (struct bl_record){
    .kind = BL_KIND_BACKEND,
    .state = BL_STATE_STARTING,
    .id = s->id,
    .dc = s->dc,
    .service = s->service,
    .ip = s->ip,
    .data_port = s->data_port,
    .control_port = s->control_port,
    .admin_port = s->admin_port,
    .incarnation = s->incarnation,
    .seq = 1,
    .slots = s->slots,
  };
}

struct bl_agent *
bl_agent_new (const struct bl_agent_settings *settings,
              const struct bl_agent_ops *ops,
              void *ctx)
{
  struct bl_agent *agent = calloc (1, sizeof *agent);

  if (agent == NULL)
    return NULL;
  agent->settings = *settings;
  agent->ops = *ops;
  agent->ctx = ctx;
  agent->random.state = settings->random_seed;
  if (bl_view_init (&agent->view) != BL_OK)
    {
      free (agent);
      return NULL;
    }
  init_self (agent);
  return agent;
}

void
bl_agent_free (struct bl_agent *agent)
{
  if (agent == NULL)
    return;
  bl_flows_clear (&agent->flows);
  bl_view_clear (&agent->view);
  bl_buffer_free (&agent->buffer);
  free (agent);
}

/* -- own state -- */

static void
put_self (struct bl_agent *agent)
{
  bl_store_put (agent->view.store, &agent->self, 0);
  bl_view_rebuild (&agent->view);
}

static void
set_state (struct bl_agent *agent, enum bl_state state)
{
  if (agent->self.state == state)
    return;
  agent->self.state = state;
  if (state == BL_STATE_READY && agent->ready_since_ms == 0)
    agent->ready_since_ms = agent->now;
  agent->self.seq++;
  agent->next_announce_ms = 0;
  put_self (agent);
}

/* An agent without a view cannot place flows, so it is not ready; nor is one
   whose backend server was never well.  */
static void
update_state (struct bl_agent *agent)
{
  if (agent->self.state == BL_STATE_LEFT)
    return;
  if (agent->draining)
    set_state (agent, BL_STATE_DRAINING);
  else if (agent->backend_was_ready && agent->view.service != NULL)
    set_state (agent, BL_STATE_READY);
}

void
bl_agent_set_ready (struct bl_agent *agent, bool ready)
{
  agent->backend_was_ready = agent->backend_was_ready || ready;
  if (agent->backend_was_ready && agent->self.unwell == ready)
    {
      agent->self.unwell = !ready;
      agent->self.seq++;
      agent->next_announce_ms = 0;
      put_self (agent);
    }
  update_state (agent);
}

void
bl_agent_drain (struct bl_agent *agent)
{
  agent->draining = true;
  update_state (agent);
}

/* A backend server that has just started is slow at first, so it takes a
   share that grows over RAMP_MS.  */
static uint32_t
own_ramp (const struct bl_agent *agent)
{
  uint64_t age = agent->now - agent->ready_since_ms;

  if (agent->ready_since_ms == 0 || age >= RAMP_MS)
    return RAMP_FULL;
  /* Squared: caches and pools fill late, and a share that grows evenly is
     used up ahead of time by flows that stay.  */
  return RAMP_START
         + (uint32_t)((RAMP_FULL - RAMP_START) * age * age
                      / (RAMP_MS * RAMP_MS));
}

void
bl_agent_set_load (struct bl_agent *agent, uint32_t load)
{
  struct bl_peer_load *self
      = bl_view_peer_load (&agent->view, &agent->settings.id);

  agent->load = load;
  if (self == NULL)
    return;
  self->reported = true;
  self->load = load;
  self->ramp = own_ramp (agent);
  self->flows = (uint32_t)agent->flows.owned_count;
  self->placed_since_report = 0;
}

enum bl_state
bl_agent_state (const struct bl_agent *agent)
{
  return agent->self.state;
}

const struct bl_service *
bl_agent_service (const struct bl_agent *agent)
{
  return agent->view.service;
}

size_t
bl_agent_peer_count (const struct bl_agent *agent)
{
  return agent->view.pool.count;
}

/* -- announcements -- */

/* A keeper that knows the record as it is needs only to hear that the agent
   lives.  */
static void
announce_to (struct bl_agent *agent, struct bl_addr to, bool known)
{
  struct bl_msg msg = {
    .type = BL_MSG_ANNOUNCE,
    .seq = agent->self.seq,
    .incarnation = agent->self.incarnation,
    .digest = bl_monitors_digest (agent->monitors, agent->monitor_count),
    .config_version
    = agent->view.service != NULL ? agent->view.service->changed : 0,
    .load = agent->load,
    .flows = (uint32_t)agent->flows.owned_count,
    .record_count = known ? 0 : 1,
    .records = &agent->self,
  };
  bl_agent_send (agent, to, &msg);
}

static void
announce (struct bl_agent *agent)
{
  const struct bl_agent_settings *s = &agent->settings;
  bool silent = agent->now - agent->monitor_reply_ms > KEEPER_SILENCE_MS;

  for (size_t i = 0; i < agent->monitor_count; i++)
    announce_to (agent,
                 (struct bl_addr){ agent->monitors[i].ip,
                                   agent->monitors[i].control_port },
                 agent->acked_seq[i] == agent->self.seq);
  if ((agent->monitor_count == 0 || silent) && s->seed_count > 0)
    {
      uint32_t i = bl_random_below (&agent->random, (uint32_t)s->seed_count);
      announce_to (agent, s->seeds[i], false);
    }
}

void
bl_agent_leave (struct bl_agent *agent)
{
  set_state (agent, BL_STATE_LEFT);
  announce (agent);
}

static void
pull_view (struct bl_agent *agent, struct bl_addr bulk)
{
  struct bl_msg msg = {
    .type = BL_MSG_PULL_VIEW,
    .from = agent->settings.id,
    .about = agent->settings.service,
  };

  if (agent->now < agent->next_pull_ms || bulk.port == 0)
    return;
  if (agent->pull_backoff_ms < PULL_MIN_MS)
    agent->pull_backoff_ms = PULL_MIN_MS;
  agent->next_pull_ms = agent->now + agent->pull_backoff_ms;
  agent->pull_backoff_ms *= 2;
  if (agent->pull_backoff_ms > PULL_MAX_MS)
    agent->pull_backoff_ms = PULL_MAX_MS;
  if (bl_msg_encode (&msg, &agent->buffer) == BL_OK)
    agent->ops.pull (agent->ctx, bulk, agent->buffer.ptr, agent->buffer.len);
}

static bool
same_keepers (const struct bl_agent *agent,
              const struct bl_msg *msg,
              size_t count)
{
  if (agent->monitor_count != count)
    return false;
  for (size_t i = 0; i < count; i++)
    if (!bl_name_equal (&agent->monitors[i].id, &msg->records[i].id)
        || agent->monitors[i].incarnation != msg->records[i].incarnation)
      return false;
  return true;
}

/* Keepers of another data centre are named only where the own has none.  */
static void
note_adopted (struct bl_agent *agent)
{
  bool adopted = true;

  for (size_t i = 0; i < agent->monitor_count; i++)
    if (bl_name_equal (&agent->monitors[i].dc, &agent->settings.dc))
      adopted = false;
  if (adopted == agent->self.adopted || agent->self.state == BL_STATE_LEFT)
    return;
  agent->self.adopted = adopted;
  agent->self.seq++;
  agent->next_announce_ms = 0;
  put_self (agent);
}

static void
take_keepers (struct bl_agent *agent, const struct bl_msg *msg)
{
  size_t n = msg->record_count;

  if (n > BL_AGENT_MONITORS_MAX)
    n = BL_AGENT_MONITORS_MAX;
  if (n == 0)
    return;
  if (!same_keepers (agent, msg, n))
    {
      agent->next_announce_ms = 0;
      memset (agent->acked_seq, 0, sizeof agent->acked_seq);
    }
  memcpy (agent->monitors, msg->records, n * sizeof *msg->records);
  agent->monitor_count = n;
  note_adopted (agent);
}

/* SEQ is the sequence number under which this agent is known there, 0 for not
   at all, and YES that it is taken for dead.  Then only a higher number brings
   it back.  */
static void
take_known (struct bl_agent *agent, const struct bl_msg *msg)
{
  for (size_t i = 0; i < agent->monitor_count; i++)
    if (bl_name_equal (&agent->monitors[i].id, &msg->from))
      agent->acked_seq[i] = msg->yes ? 0 : (uint32_t)msg->seq;
  if (msg->seq < agent->self.seq || (msg->seq == agent->self.seq && !msg->yes)
      || msg->seq >= UINT32_MAX || agent->self.state == BL_STATE_LEFT)
    return;
  agent->self.seq = (uint32_t)msg->seq + 1;
  agent->next_announce_ms = 0;
  put_self (agent);
}

/* Where the sender of MSG answers pulls; port 0 when it is no keeper.  */
static struct bl_addr
bulk_of (const struct bl_agent *agent, const struct bl_name *from)
{
  for (size_t i = 0; i < agent->monitor_count; i++)
    if (bl_name_equal (&agent->monitors[i].id, from))
      return (struct bl_addr){ agent->monitors[i].ip,
                               agent->monitors[i].bulk_port };
  return (struct bl_addr){ .port = 0 };
}

/* Compares the view with what a keeper last named.  */
static void
compare_view (struct bl_agent *agent)
{
  if (agent->monitor_digest != bl_view_digest (&agent->view)
      || agent->view.service == NULL)
    {
      agent->view_outdated = true;
      return;
    }
  agent->view_outdated = false;
  agent->pull_backoff_ms = 0;
  agent->view.confirmed_ms = agent->now;
}

static void
on_announced (struct bl_agent *agent, const struct bl_msg *msg)
{
  agent->monitor_reply_ms = agent->now;
  agent->monitor_digest = msg->digest;
  agent->monitor_digest_from = msg->from;
  take_keepers (agent, msg);
  take_known (agent, msg);
  compare_view (agent);
  if (agent->view_outdated)
    pull_view (agent, bulk_of (agent, &msg->from));
}

static void
on_view (struct bl_agent *agent, const struct bl_msg *msg)
{
  struct bl_view *view = &agent->view;
  struct bl_service **services;

  if (msg->service_count != 1 || bl_msg_services (msg, &services) != BL_OK)
    return;
  bl_view_set_service (view, services[0]);
  free (services);
  for (size_t i = 0; i < msg->record_count; i++)
    {
      const struct bl_record *r = &msg->records[i];
      if (r->kind == BL_KIND_BACKEND
          && !bl_name_equal (&r->id, &agent->settings.id))
        bl_store_put (view->store, r, 0);
    }
  view->dcs_without_balancers = msg->lost;
  /* Keepers hear at once that the change is in force here.  */
  agent->next_announce_ms = 0;
  put_self (agent);
  update_state (agent);
  compare_view (agent);
}

/* -- load among peers -- */

static void
on_load (struct bl_agent *agent, const struct bl_msg *msg)
{
  struct bl_peer_load *peer = bl_view_peer_load (&agent->view, &msg->from);

  if (peer == NULL)
    return;
  peer->reported = true;
  peer->load = msg->load;
  peer->flows = msg->flows;
  peer->ramp = msg->ramp;
  peer->placed_since_report = 0;
}

static bool
is_news (const struct bl_agent *agent)
{
  uint32_t change = agent->load > agent->reported_load
                        ? agent->load - agent->reported_load
                        : agent->reported_load - agent->load;

  return change >= REPORT_CHANGE_MIN || agent->reported_ramp != RAMP_FULL;
}

static void
report_load (struct bl_agent *agent)
{
  const struct bl_pool *pool = &agent->view.pool;
  struct bl_msg msg = {
    .type = BL_MSG_LOAD,
    .load = agent->load,
    .flows = (uint32_t)agent->flows.owned_count,
    .ramp = own_ramp (agent),
  };
  size_t told = pool->count < REPORT_PEERS_MAX ? pool->count : REPORT_PEERS_MAX;
  uint32_t first = bl_random_below (&agent->random, (uint32_t)pool->count);

  if (agent->now < agent->next_report_ms || !is_news (agent) || told == 0)
    return;
  agent->next_report_ms = agent->now + told * REPORT_INTERVAL_MS;
  agent->reported_load = agent->load;
  agent->reported_ramp = msg.ramp;
  for (size_t i = 0; i < told; i++)
    {
      const struct bl_candidate *c = &pool->items[(first + i) % pool->count];
      if (!bl_name_equal (&c->id, &agent->settings.id))
        bl_agent_send (agent, c->control, &msg);
    }
}

/* -- entry points -- */

void
bl_agent_tick (struct bl_agent *agent, uint64_t now)
{
  agent->now = now;
  bl_store_set_time (agent->view.store, now);
  if (now >= agent->next_announce_ms)
    {
      agent->next_announce_ms
          = now + ANNOUNCE_INTERVAL_MS
            + bl_random_below (&agent->random, ANNOUNCE_JITTER_MS);
      announce (agent);
    }
  /* What was told while a pull was under way, or a pull that was lost.  */
  if (agent->view_outdated)
    pull_view (agent, bulk_of (agent, &agent->monitor_digest_from));
  report_load (agent);
  if (now > FLOW_EXPIRE_MS)
    bl_flows_expire (&agent->flows, now - FLOW_EXPIRE_MS);
}

/* Records that died while this agent was out of touch may have been forgotten
   by everybody, so that nobody would ever contradict them.  */
static void
forget_old_view (struct bl_agent *agent)
{
  struct bl_view *view = &agent->view;

  if (view->confirmed_ms == 0
      || agent->now - view->confirmed_ms < VIEW_FORGET_MS)
    return;
  bl_store_free (view->store);
  view->store = bl_store_new ();
  view->confirmed_ms = agent->now;
  put_self (agent);
}

static void
dispatch (struct bl_agent *agent, struct bl_addr from, const struct bl_msg *msg)
{
  switch (msg->type)
    {
    case BL_MSG_PING:
      /* A keeper that has not heard this agent for a while.  */
      announce_to (agent, from, false);
      break;
    case BL_MSG_ANNOUNCED:
      on_announced (agent, msg);
      break;
    case BL_MSG_VIEW:
      forget_old_view (agent);
      on_view (agent, msg);
      break;
    case BL_MSG_LOAD:
      on_load (agent, msg);
      break;
    case BL_MSG_QUERY:
      bl_agent_on_owner_query (agent, from, msg);
      break;
    case BL_MSG_ANSWER:
      bl_agent_on_owner_answer (agent, from, msg);
      break;
    case BL_MSG_OWNER:
      bl_agent_on_owner_notice (agent, from, msg);
      break;
    default:
      agent->counters[BL_AGENT_BAD_MESSAGE]++;
      break;
    }
}

int
bl_agent_message (struct bl_agent *agent,
                  uint64_t now,
                  struct bl_addr from,
                  const uint8_t *buf,
                  size_t len)
{
  struct bl_msg msg;
  int err = bl_msg_decode (&msg, buf, len);

  agent->now = now;
  bl_store_set_time (agent->view.store, now);
  if (err != BL_OK)
    {
      agent->counters[BL_AGENT_BAD_MESSAGE]++;
      return err;
    }
  dispatch (agent, from, &msg);
  bl_msg_clear (&msg);
  return BL_OK;
}
