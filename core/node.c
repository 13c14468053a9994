/* node.c -- a balancer: message handling, routing of packets, start and stop

   A balancer holds the records that members and backend servers of its region
   publish (store.c), the configuration (config.c) and, derived from both, a
   pool of candidates for each service (service_pool.c).  It holds no state per
   flow: the packets of a flow may arrive at any balancer, and all balancers
   that hold the same tables choose the same candidates.  */

#include "core/node.h"

#include <stdlib.h>
#include <string.h>

#define PAUSE_MIN_MS          1500   /* least gap between ticks */
#define TOMBSTONE_MS          600000 /* retention of left and dead records */
#define EXPIRE_INTERVAL_MS    10000
#define TWO_ROUND_MEMBERS_MAX 64   /* members; more get one round of pushes */
#define SOLO_START_MS         3000 /* after which no other member is expected */
/* In a busy region the digests of two balancers may differ at each comparison,
   so a balancer counts as synced after this time at the latest.  */
#define SYNC_TIMEOUT_MS 10000

static const char *const counter_names[BL_NODE_COUNTERS] = {
  [BL_NODE_FORWARDED] = "packets_forwarded",
  [BL_NODE_BAD_PACKET] = "packets_bad",
  [BL_NODE_BAD_CHECKSUM] = "packets_bad_checksum",
  [BL_NODE_UNKNOWN_SERVICE] = "packets_unknown_service",
  [BL_NODE_NO_BACKEND] = "packets_no_backend",
  [BL_NODE_BAD_MESSAGE] = "messages_bad",
  [BL_NODE_BAD_VERSION] = "messages_bad_version",
  [BL_NODE_PINGS] = "pings_sent",
  [BL_NODE_SUSPICIONS] = "suspicions",
  [BL_NODE_DEATHS] = "deaths_declared",
  [BL_NODE_REFUTATIONS] = "refutations",
  [BL_NODE_PULLS] = "pulls",
  [BL_NODE_UPDATES_SENT] = "news_sent",
};

uint64_t
bl_node_counter (const struct bl_node *node, enum bl_node_counter counter)
{
  return node->counters[counter];
}

const char *
bl_node_counter_name (enum bl_node_counter counter)
{
  return counter_names[counter];
}

void
bl_node_send (struct bl_node *node, struct bl_addr to, struct bl_msg *msg)
{
  msg->from = node->settings.id;
  if (bl_msg_encode (msg, &node->buffer) == BL_OK)
    node->ops.send (node->ctx, to, node->buffer.ptr, node->buffer.len);
}

static void
init_self (struct bl_node *node)
{
  const struct bl_node_settings *s = &node->settings;

  node->self = (struct bl_record){
    .kind = BL_KIND_BALANCER,
    .state = BL_STATE_READY,
    .id = s->id,
    .dc = s->dc,
    .ip = s->ip,
    .data_port = s->data_port,
    .control_port = s->control_port,
    .bulk_port = s->bulk_port,
    .admin_port = s->admin_port,
    .incarnation = s->incarnation,
    .seq = 1,
  };
}

struct bl_node *
bl_node_new (const struct bl_node_settings *settings,
             const struct bl_node_ops *ops,
             void *ctx)
{
  struct bl_node *node = calloc (1, sizeof *node);

  if (node == NULL)
    return NULL;
  node->settings = *settings;
  node->ops = *ops;
  node->ctx = ctx;
  node->random.state = settings->random_seed;
  node->store = bl_store_new ();
  node->config = bl_config_new ();
  if (node->store == NULL || node->config == NULL)
    {
      bl_node_free (node);
      return NULL;
    }
  node->members_dirty = true;
  init_self (node);
  bl_store_put (node->store, &node->self, bl_node_push_rounds (node));
  return node;
}

void
bl_node_free (struct bl_node *node)
{
  if (node == NULL)
    return;
  bl_monitor_clear (node);
  bl_service_pools_clear (&node->service_pools);
  bl_config_free (node->config);
  bl_store_free (node->store);
  bl_buffer_free (&node->buffer);
  bl_buffer_free (&node->reply);
  free (node->members);
  free (node);
}

/* Among many members one round of pushes reaches nearly all, and the comparison
   of digests repairs the rest.  Among few members a lost push leaves a larger
   part of them without the update, so there are two rounds.  */
unsigned
bl_node_push_rounds (const struct bl_node *node)
{
  return node->member_count > TWO_ROUND_MEMBERS_MAX ? 1 : 2;
}

/* -- records -- */

static void
publish_self (struct bl_node *node)
{
  bl_store_put (node->store, &node->self, bl_node_push_rounds (node));
}

/* If RECORD, which another member holds for this balancer, would replace the
   balancer's own, publishes a newer record that replaces RECORD.  */
static void
refute (struct bl_node *node, const struct bl_record *record)
{
  if (record->incarnation > node->self.incarnation
      || bl_record_compare (record, &node->self) <= 0
      || node->self.state == BL_STATE_LEFT)
    return;
  node->counters[BL_NODE_REFUTATIONS]++;
  node->self.seq = record->seq + 1;
  if (node->health_penalty < BL_HEALTH_PENALTY_MAX)
    node->health_penalty++;
  publish_self (node);
}

void
bl_node_put (struct bl_node *node,
             const struct bl_record *record,
             unsigned transmits)
{
  struct bl_name old_service = { .len = 0 };
  const struct bl_record *held;

  if (record->kind == BL_KIND_BALANCER
      && bl_name_equal (&record->id, &node->settings.id))
    {
      refute (node, record);
      return;
    }
  held = bl_store_get (node->store, record->kind, &record->id);
  if (held != NULL)
    old_service = held->service;
  if (bl_store_put (node->store, record, transmits) != 1)
    return;
  if (record->kind == BL_KIND_BACKEND)
    {
      bl_service_pools_add (&node->service_pools, record);
      bl_service_pools_invalidate (&node->service_pools, &old_service);
      if (!bl_names_has (&node->monitored_dcs, &record->dc))
        node->members_dirty = true;
      return;
    }
  node->members_dirty = true;
  if (record->state == BL_STATE_SUSPECT)
    bl_detect_add_suspect (node, record);
}

void
bl_node_apply_record (struct bl_node *node, const struct bl_record *record)
{
  bl_node_put (node, record, 0);
}

/* -- routing -- */

static int
count_error (struct bl_node *node, enum bl_node_counter counter, int err)
{
  node->counters[counter]++;
  return err;
}

static void
fill_forward (struct bl_forward *forward,
              const struct bl_service *service,
              const struct bl_pool *pool,
              const uint32_t *order,
              size_t n)
{
  *forward = (struct bl_forward){
    .service = service->id,
    .target_incarnation = pool->items[order[0]].incarnation,
    .fallback_count = n - 1,
  };
  for (size_t i = 1; i < n; i++)
    forward->fallback_hops[i - 1] = (struct bl_hop){
      .data = pool->items[order[i]].data,
      .incarnation = pool->items[order[i]].incarnation,
    };
}

int
bl_node_route (struct bl_node *node,
               const uint8_t *packet,
               size_t len,
               struct bl_addr *to,
               struct bl_forward *forward)
{
  struct bl_policy *policy = &bl_policy_rendezvous;
  const struct bl_service *service;
  struct bl_service_pool *service_pool;
  struct bl_packet p;
  uint32_t order[BL_FALLBACKS_MAX];
  size_t n;
  int err = bl_packet_parse (&p, packet, len);

  if (err == BL_ECHECKSUM)
    return count_error (node, BL_NODE_BAD_CHECKSUM, err);
  if (err != BL_OK)
    return count_error (node, BL_NODE_BAD_PACKET, err);
  service = bl_config_lookup (node->config, p.key.dst_ip, p.key.dst_port, NULL);
  if (service == NULL)
    return count_error (node, BL_NODE_UNKNOWN_SERVICE, BL_ENOTFOUND);
  service_pool
      = bl_service_pools_get (&node->service_pools, node->store, service);
  if (service_pool == NULL || service_pool->pool.count == 0)
    return count_error (node, BL_NODE_NO_BACKEND, BL_ENOTFOUND);
  n = policy->ops->rank (policy, &service_pool->pool, bl_flow_hash (&p.key),
                         order, BL_FALLBACKS_MAX);
  fill_forward (forward, service, &service_pool->pool, order, n);
  *to = service_pool->pool.items[order[0]].data;
  node->counters[BL_NODE_FORWARDED]++;
  return BL_OK;
}

/* -- configuration -- */

int
bl_node_apply_config (struct bl_node *node,
                      uint64_t from,
                      uint64_t up_to,
                      struct bl_service **services,
                      size_t count)
{
  uint64_t old_version = bl_config_version (node->config);
  int err = bl_config_apply (node->config, from, up_to, services, count);

  if (err != BL_OK)
    return err;
  for (size_t i = 0; i < count; i++)
    bl_service_pools_invalidate (&node->service_pools, &services[i]->name);
  if (node->config_pushes_left == 0 || old_version < node->config_push_from)
    node->config_push_from = old_version;
  node->config_pushes_left = BL_CONFIG_PUSH_ROUNDS;
  return BL_OK;
}

const struct bl_config *
bl_node_config (const struct bl_node *node)
{
  return node->config;
}

bool
bl_node_is_relay (const struct bl_node *node)
{
  return node->relay;
}

bool
bl_node_is_ready (const struct bl_node *node)
{
  return node->synced && node->self.state == BL_STATE_READY;
}

/* -- start and stop, periodic work -- */

static void
set_state (struct bl_node *node, enum bl_instance_state state)
{
  node->self.state = state;
  node->self.seq++;
  publish_self (node);
}

void
bl_node_drain (struct bl_node *node)
{
  if (node->self.state == BL_STATE_READY)
    set_state (node, BL_STATE_DRAINING);
}

void
bl_node_leave (struct bl_node *node)
{
  set_state (node, BL_STATE_LEFT);
  bl_spread_tick (node);
}

static void
detect_pause (struct bl_node *node)
{
  uint64_t gap = node->now - node->last_tick_ms;

  if (node->last_tick_ms == 0 || gap < PAUSE_MIN_MS)
    return;
  bl_detect_on_pause (node, gap);
}

static void
expire_records (struct bl_node *node)
{
  if (node->now < node->next_expire_ms)
    return;
  node->next_expire_ms = node->now + EXPIRE_INTERVAL_MS;
  if (node->now > TOMBSTONE_MS
      && bl_store_expire (node->store, node->now - TOMBSTONE_MS) > 0)
    node->members_dirty = true;
}

/* Sets `synced` after a time limit, for the cases in which no comparison with a
   peer does: there is no member, or digests never match.  */
static void
finish_sync (struct bl_node *node)
{
  uint64_t age = node->now - node->started_ms;

  if (age > (node->member_count == 0 ? SOLO_START_MS : SYNC_TIMEOUT_MS))
    node->synced = true;
}

void
bl_node_tick (struct bl_node *node, uint64_t now)
{
  node->now = now;
  bl_store_set_time (node->store, now);
  if (node->started_ms == 0)
    node->started_ms = now;
  detect_pause (node);
  node->last_tick_ms = now;
  bl_node_refresh_members (node);
  bl_detect_tick (node);
  bl_monitor_tick (node);
  bl_spread_tick (node);
  expire_records (node);
  finish_sync (node);
}

static void
handle_message (struct bl_node *node,
                struct bl_addr from,
                const struct bl_msg *msg)
{
  switch (msg->type)
    {
    case BL_MSG_PING:
      bl_detect_on_ping (node, from, msg);
      break;
    case BL_MSG_ACK:
      bl_detect_on_ack (node, msg);
      break;
    case BL_MSG_PING_REQ:
      bl_detect_on_ping_req (node, from, msg);
      break;
    case BL_MSG_PUSH:
      bl_spread_compare (node, msg);
      break;
    case BL_MSG_ANNOUNCE:
      bl_monitor_on_announce (node, from, msg);
      break;
    case BL_MSG_RECORDS:
      bl_spread_on_records (node, msg);
      break;
    case BL_MSG_CONFIG:
      bl_spread_on_config (node, msg);
      break;
    default:
      node->counters[BL_NODE_BAD_MESSAGE]++;
      break;
    }
}

static int
decode_message (struct bl_node *node,
                struct bl_msg *msg,
                const uint8_t *buf,
                size_t len)
{
  int err = bl_msg_decode (msg, buf, len);

  if (err == BL_EVERSION)
    node->counters[BL_NODE_BAD_VERSION]++;
  else if (err != BL_OK)
    node->counters[BL_NODE_BAD_MESSAGE]++;
  return err;
}

int
bl_node_message (struct bl_node *node,
                 uint64_t now,
                 struct bl_addr from,
                 const uint8_t *buf,
                 size_t len)
{
  struct bl_msg msg;
  uint32_t seq = node->self.seq;
  int err = decode_message (node, &msg, buf, len);

  node->now = now;
  if (err != BL_OK)
    return err;
  node->last_message_ms = now;
  bl_store_set_time (node->store, now);
  for (size_t i = 0; i < msg.record_count; i++)
    if (msg.type != BL_MSG_ANNOUNCE && msg.type != BL_MSG_RECORDS)
      bl_node_put (node, &msg.records[i], bl_node_push_rounds (node));
  handle_message (node, from, &msg);
  /* The acknowledgement carried a record by which its sender holds this
     balancer suspect or dead.  The refutation goes to the sender directly,
     because updates are pushed only to members that are held alive here, and
     the sender may not be.  */
  if (msg.type == BL_MSG_ACK && node->self.seq != seq)
    bl_detect_introduce (node, from);
  bl_msg_clear (&msg);
  return BL_OK;
}

const uint8_t *
bl_node_request (struct bl_node *node,
                 uint64_t now,
                 const uint8_t *buf,
                 size_t len,
                 size_t *reply_len)
{
  struct bl_msg msg;
  const uint8_t *reply;

  node->now = now;
  if (decode_message (node, &msg, buf, len) != BL_OK)
    return NULL;
  reply = bl_spread_answer_pull (node, &msg, reply_len);
  if (reply == NULL)
    node->counters[BL_NODE_BAD_MESSAGE]++;
  bl_msg_clear (&msg);
  return reply;
}

const struct bl_record *
bl_node_record (const struct bl_node *node,
                enum bl_instance_kind kind,
                const struct bl_name *id)
{
  return bl_store_get (node->store, kind, id);
}

bool
bl_node_is_monitored (const struct bl_node *node,
                      const struct bl_record *record)
{
  return record->remotely_monitored
         || !bl_names_has (&node->service_pools.dcs_without_balancers,
                           &record->dc);
}

void
bl_node_each_record (struct bl_node *node,
                     enum bl_instance_kind kind,
                     void (*visit) (void *ctx, const struct bl_record *r),
                     void *ctx)
{
  bl_store_each (node->store, kind, visit, ctx);
}

void
bl_node_each_monitored (struct bl_node *node,
                        void (*visit) (void *ctx,
                                       const struct bl_record *r,
                                       uint64_t applied,
                                       uint32_t flows),
                        void *ctx)
{
  struct bl_monitored_agent *agent;
  struct bl_monitored_agent *next;

  HASH_ITER (hh, node->monitored_agents, agent, next)
  {
    const struct bl_record *r
        = bl_store_get (node->store, BL_KIND_BACKEND, &agent->id);
    if (r != NULL)
      visit (ctx, r, agent->applied_version, agent->flows);
  }
}
