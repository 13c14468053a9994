/* agent_control.c -- announcements of an agent, its view and its load reports

   An agent announces itself to its monitors, a few balancers that watch it,
   every ANNOUNCE_INTERVAL_MS.  The acknowledgement names its current monitors
   and the digest of its service.  The agent pulls the view from a monitor only
   when that digest differs from that of its own view.  While no monitor
   acknowledges, the agent also announces itself to the seeds of its settings,
   since any balancer can name the monitors.

   Load is reported to peers of the same service only, and only after a change
   or during warm-up.  The interval between reports grows with the number of
   peers that receive them, which bounds the messages that an agent sends.  */

#include "core/agent.h"

#include <stdlib.h>
#include <string.h>

#define ANNOUNCE_INTERVAL_MS    2000
#define ANNOUNCE_JITTER_MS      200
#define MONITOR_SILENCE_MS      4500 /* until seeds get announcements too */
#define PULL_BACKOFF_MIN_MS     200  /* between pulls of the view */
#define PULL_BACKOFF_MAX_MS     5000
#define VIEW_DISCARD_MS         300000 /* since a monitor confirmed the view */
#define REPORT_INTERVAL_MS      100 /* for each peer that gets a load report */
#define REPORT_PEERS_MAX        16  /* peers that get one load report */
#define REPORT_CHANGE_MIN       100 /* thousandths of a slot */
#define WARM_UP_MS              10000 /* from ready to the full share */
#define START_SHARE_THOUSANDTHS 100   /* of the usual share */
#define FULL_SHARE_THOUSANDTHS  1000
#define FLOW_EXPIRE_MS          BL_FLOW_TTL_MS

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

/* Puts a changed record of this agent into its own view.  */
static void
store_own_record (struct bl_agent *agent)
{
  bl_store_put (agent->view.store, &agent->self, 0);
  bl_view_rebuild (&agent->view);
}

static void
set_state (struct bl_agent *agent, enum bl_instance_state state)
{
  if (agent->self.state == state)
    return;
  agent->self.state = state;
  if (state == BL_STATE_READY && agent->ready_since_ms == 0)
    agent->ready_since_ms = agent->now;
  agent->self.seq++;
  agent->next_announce_ms = 0;
  store_own_record (agent);
}

/* An agent is ready only once it has a view, because it cannot place flows
   without one, and once its backend server has been ready.  */
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
  if (agent->backend_was_ready && agent->self.unhealthy == ready)
    {
      agent->self.unhealthy = !ready;
      agent->self.seq++;
      agent->next_announce_ms = 0;
      store_own_record (agent);
    }
  update_state (agent);
}

void
bl_agent_drain (struct bl_agent *agent)
{
  agent->draining = true;
  update_state (agent);
}

/* Returns the share of new flows that this backend server takes, in thousandths
   of its usual share.  A backend server is slow just after its start, so the
   share grows over WARM_UP_MS.  */
static uint32_t
own_warm_up_share (const struct bl_agent *agent)
{
  uint64_t age = agent->now - agent->ready_since_ms;

  if (agent->ready_since_ms == 0 || age >= WARM_UP_MS)
    return FULL_SHARE_THOUSANDTHS;
  /* The share grows with the square of the age.  Caches and connection pools
     fill late, and with linear growth the flows that stay open would exceed
     what the backend server can serve at its age.  */
  return START_SHARE_THOUSANDTHS
         + (uint32_t)((FULL_SHARE_THOUSANDTHS - START_SHARE_THOUSANDTHS) * age
                      * age / (WARM_UP_MS * WARM_UP_MS));
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
  self->warm_up_share = own_warm_up_share (agent);
  self->flows = (uint32_t)agent->flows.owned_count;
  self->placed_since_report = 0;
}

enum bl_instance_state
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

/* Announces this agent to the balancer at TO.  When RECORD_HELD, the balancer
   holds the current record, so the announcement leaves the record out and
   serves as a sign of life only.  */
static void
announce_to (struct bl_agent *agent, struct bl_addr to, bool record_held)
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
    .record_count = record_held ? 0 : 1,
    .records = &agent->self,
  };
  bl_agent_send (agent, to, &msg);
}

static void
announce (struct bl_agent *agent)
{
  const struct bl_agent_settings *s = &agent->settings;
  bool monitors_silent
      = agent->now - agent->monitor_reply_ms > MONITOR_SILENCE_MS;

  for (size_t i = 0; i < agent->monitor_count; i++)
    announce_to (agent,
                 (struct bl_addr){ agent->monitors[i].ip,
                                   agent->monitors[i].control_port },
                 agent->acked_seq[i] == agent->self.seq);
  if ((agent->monitor_count == 0 || monitors_silent) && s->seed_count > 0)
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
    .subject = agent->settings.service,
  };

  if (agent->now < agent->next_pull_ms || bulk.port == 0)
    return;
  if (agent->pull_backoff_ms < PULL_BACKOFF_MIN_MS)
    agent->pull_backoff_ms = PULL_BACKOFF_MIN_MS;
  agent->next_pull_ms = agent->now + agent->pull_backoff_ms;
  agent->pull_backoff_ms *= 2;
  if (agent->pull_backoff_ms > PULL_BACKOFF_MAX_MS)
    agent->pull_backoff_ms = PULL_BACKOFF_MAX_MS;
  if (bl_msg_encode (&msg, &agent->buffer) == BL_OK)
    agent->ops.pull (agent->ctx, bulk, agent->buffer.ptr, agent->buffer.len);
}

static bool
same_monitors (const struct bl_agent *agent,
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

/* An agent is remotely monitored when all its monitors are in other data
   centres.  It gets such monitors only while its own data centre has no
   balancers.  */
static void
update_remotely_monitored (struct bl_agent *agent)
{
  bool remotely_monitored = true;

  for (size_t i = 0; i < agent->monitor_count; i++)
    if (bl_name_equal (&agent->monitors[i].dc, &agent->settings.dc))
      remotely_monitored = false;
  if (remotely_monitored == agent->self.remotely_monitored
      || agent->self.state == BL_STATE_LEFT)
    return;
  agent->self.remotely_monitored = remotely_monitored;
  agent->self.seq++;
  agent->next_announce_ms = 0;
  store_own_record (agent);
}

static void
update_monitors (struct bl_agent *agent, const struct bl_msg *msg)
{
  size_t n = msg->record_count;

  if (n > BL_AGENT_MONITORS_MAX)
    n = BL_AGENT_MONITORS_MAX;
  if (n == 0)
    return;
  if (!same_monitors (agent, msg, n))
    {
      agent->next_announce_ms = 0;
      memset (agent->acked_seq, 0, sizeof agent->acked_seq);
    }
  memcpy (agent->monitors, msg->records, n * sizeof *msg->records);
  agent->monitor_count = n;
  update_remotely_monitored (agent);
}

/* Compares this agent's record with the copy that the sender of MSG holds.  SEQ
   is the sequence number of that copy, 0 when there is none.  AFFIRMATIVE means
   that the copy is marked suspect, left or dead; only a record with a higher
   sequence number replaces such a copy, so the agent raises its own.  */
static void
handle_acked_seq (struct bl_agent *agent, const struct bl_msg *msg)
{
  for (size_t i = 0; i < agent->monitor_count; i++)
    if (bl_name_equal (&agent->monitors[i].id, &msg->from))
      agent->acked_seq[i] = msg->affirmative ? 0 : (uint32_t)msg->seq;
  if (msg->seq < agent->self.seq
      || (msg->seq == agent->self.seq && !msg->affirmative)
      || msg->seq >= UINT32_MAX || agent->self.state == BL_STATE_LEFT)
    return;
  agent->self.seq = (uint32_t)msg->seq + 1;
  agent->next_announce_ms = 0;
  store_own_record (agent);
}

/* Returns the address at which the monitor FROM answers pulls; port 0 when FROM
   is not a monitor of this agent.  */
static struct bl_addr
monitor_bulk_address (const struct bl_agent *agent, const struct bl_name *from)
{
  for (size_t i = 0; i < agent->monitor_count; i++)
    if (bl_name_equal (&agent->monitors[i].id, from))
      return (struct bl_addr){ agent->monitors[i].ip,
                               agent->monitors[i].bulk_port };
  return (struct bl_addr){ .port = 0 };
}

/* Compares the digest of the view with the digest that a monitor last
   reported.  */
static void
check_view_digest (struct bl_agent *agent)
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
on_announce_ack (struct bl_agent *agent, const struct bl_msg *msg)
{
  agent->monitor_reply_ms = agent->now;
  agent->monitor_digest = msg->digest;
  agent->monitor_digest_from = msg->from;
  update_monitors (agent, msg);
  handle_acked_seq (agent, msg);
  check_view_digest (agent);
  if (agent->view_outdated)
    pull_view (agent, monitor_bulk_address (agent, &msg->from));
}

static void
on_view (struct bl_agent *agent, const struct bl_msg *msg)
{
  struct bl_view *view = &agent->view;
  struct bl_service **services;

  if (msg->service_count != 1
      || bl_msg_parse_services (msg, &services) != BL_OK)
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
  view->dcs_without_balancers = msg->dcs_without_balancers;
  /* The next tick announces this agent, so that the monitors receive the
     version of the service that it applies.  */
  agent->next_announce_ms = 0;
  store_own_record (agent);
  update_state (agent);
  check_view_digest (agent);
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
  peer->warm_up_share = msg->warm_up_share;
  peer->placed_since_report = 0;
}

/* Returns true when the load has changed enough since the last report, or no
   report was sent since the end of the warm-up.  */
static bool
load_report_needed (const struct bl_agent *agent)
{
  uint32_t change = agent->load > agent->reported_load
                        ? agent->load - agent->reported_load
                        : agent->reported_load - agent->load;

  return change >= REPORT_CHANGE_MIN
         || agent->reported_warm_up_share != FULL_SHARE_THOUSANDTHS;
}

/* Reports the load to at most REPORT_PEERS_MAX peers, from a random one on.  */
static void
report_load (struct bl_agent *agent)
{
  const struct bl_pool *pool = &agent->view.pool;
  struct bl_msg msg = {
    .type = BL_MSG_LOAD,
    .load = agent->load,
    .flows = (uint32_t)agent->flows.owned_count,
    .warm_up_share = own_warm_up_share (agent),
  };
  size_t receiver_count
      = pool->count < REPORT_PEERS_MAX ? pool->count : REPORT_PEERS_MAX;
  uint32_t first = bl_random_below (&agent->random, (uint32_t)pool->count);

  if (agent->now < agent->next_report_ms || !load_report_needed (agent)
      || receiver_count == 0)
    return;
  agent->next_report_ms = agent->now + receiver_count * REPORT_INTERVAL_MS;
  agent->reported_load = agent->load;
  agent->reported_warm_up_share = msg.warm_up_share;
  for (size_t i = 0; i < receiver_count; i++)
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
  /* Covers a digest that was reported while a pull was under way, and a pull
     that was lost.  */
  if (agent->view_outdated)
    pull_view (agent,
               monitor_bulk_address (agent, &agent->monitor_digest_from));
  report_load (agent);
  if (now > FLOW_EXPIRE_MS)
    bl_flows_expire (&agent->flows, now - FLOW_EXPIRE_MS);
}

/* Empties a view that no monitor has confirmed for VIEW_DISCARD_MS.  Other
   processes may have removed records of dead backend servers in the meantime,
   so no update would ever replace the copies that are held here.  */
static void
discard_old_view (struct bl_agent *agent)
{
  struct bl_view *view = &agent->view;

  if (view->confirmed_ms == 0
      || agent->now - view->confirmed_ms < VIEW_DISCARD_MS)
    return;
  bl_store_free (view->store);
  view->store = bl_store_new ();
  view->confirmed_ms = agent->now;
  store_own_record (agent);
}

static void
handle_message (struct bl_agent *agent,
                struct bl_addr from,
                const struct bl_msg *msg)
{
  switch (msg->type)
    {
    case BL_MSG_PING:
      /* A monitor pings an agent when announcements are missing.  */
      announce_to (agent, from, false);
      break;
    case BL_MSG_ANNOUNCE_ACK:
      on_announce_ack (agent, msg);
      break;
    case BL_MSG_VIEW:
      discard_old_view (agent);
      on_view (agent, msg);
      break;
    case BL_MSG_LOAD:
      on_load (agent, msg);
      break;
    case BL_MSG_OWNER_QUERY:
      bl_agent_on_owner_query (agent, from, msg);
      break;
    case BL_MSG_OWNER_ANSWER:
      bl_agent_on_owner_answer (agent, from, msg);
      break;
    case BL_MSG_OWNER_NOTICE:
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
  handle_message (agent, from, &msg);
  bl_msg_clear (&msg);
  return BL_OK;
}
