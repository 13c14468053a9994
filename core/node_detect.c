/* node_detect.c -- failure detection among balancers

   Each balancer pings one member a second, in the shuffled order of its list of
   members, so a member is pinged once a second on average whatever their
   number.  A member that does not acknowledge is pinged through other members,
   then suspected, and declared dead when the suspicion is not refuted in time.
   A suspected member refutes by raising its sequence number.

   A balancer whose own clock or network is faulty would suspect every member.
   It therefore holds a penalty against itself (`health_penalty`) that stretches
   its time-outs.  The penalty grows with each probe that timed out while no
   other message arrived either, and with each refutation that the balancer had
   to send; acknowledgements reduce it.  After a gap between two ticks, the
   absence of messages is no evidence: the current probe is dropped, and the
   deadlines of suspicions are extended.

   Most probes stay within the data centre.  When a member of another data
   centre is suspected, half of the probes go there for a while, because that
   data centre may have failed as a whole, with no balancer left in it to detect
   the failures.

   Dead members are still pinged, one at a time, at long intervals, so that the
   two sides of a network partition find each other once it ends, without a
   storm of pings.  */

#include "core/node.h"

#include <string.h>

#define PROBE_INTERVAL_MS       1000
#define ACK_TIMEOUT_MS          300 /* then indirect probes are sent */
#define INDIRECT_PROBES         3
#define SUSPICION_TIMEOUT_MS    4000
#define REJOIN_INTERVAL_MS      5000
#define SUSPECT_DC_MS           10000 /* of more probes of a suspect's dc */
#define PROBES_PER_REMOTE_PROBE 8     /* the others stay in the data centre */

static uint64_t
scaled_timeout (const struct bl_node *node, uint64_t ms)
{
  return ms * (1 + node->health_penalty);
}

static void
adjust_health_penalty (struct bl_node *node, int change)
{
  if (change < 0 && node->health_penalty > 0)
    node->health_penalty--;
  if (change > 0 && node->health_penalty < BL_HEALTH_PENALTY_MAX)
    node->health_penalty++;
}

/* Pings TO and returns the sequence number.  With INTRODUCE, the ping carries
   the record of this balancer.  DEAD_RECORD, unless NULL, is the record by
   which the receiver is held dead here, sent so that the receiver can refute
   it.  */
static uint64_t
send_ping (struct bl_node *node,
           struct bl_addr to,
           bool introduce,
           const struct bl_record *dead_record)
{
  struct bl_record records[2];
  struct bl_msg msg = {
    .type = BL_MSG_PING,
    .seq = ++node->last_seq,
    .records = records,
  };

  bl_spread_add_versions (node, &msg);
  if (introduce)
    records[msg.record_count++] = node->self;
  if (dead_record != NULL)
    records[msg.record_count++] = *dead_record;
  node->counters[BL_NODE_PINGS]++;
  bl_node_send (node, to, &msg);
  return msg.seq;
}

static uint64_t
ping (struct bl_node *node, struct bl_addr to)
{
  return send_ping (node, to, false, NULL);
}

/* -- probes -- */

static bool
is_eligible_target (const struct bl_node *node,
                    const struct bl_member *m,
                    bool prefer_suspect_dc,
                    bool local)
{
  if (prefer_suspect_dc)
    return m->alive && bl_name_equal (&m->dc, &node->suspect_dc);
  return m->local == local;
}

static const struct bl_member *
next_probe_target (struct bl_node *node)
{
  bool local = bl_random_below (&node->random, PROBES_PER_REMOTE_PROBE) != 0;
  bool prefer_suspect_dc = node->now < node->suspect_dc_until_ms
                           && bl_random_below (&node->random, 2) != 0;
  const struct bl_member *m = NULL;

  for (size_t i = 0; i < node->member_count; i++)
    {
      m = &node->members[node->next_probe_index++ % node->member_count];
      if (is_eligible_target (node, m, prefer_suspect_dc, local))
        return m;
    }
  return m;
}

static void
start_probe (struct bl_node *node)
{
  const struct bl_member *m = next_probe_target (node);

  if (m == NULL)
    return;
  node->probe = (struct bl_probe){
    .active = true,
    .sent_ms = node->now,
    .id = m->id,
  };
  node->probe.seq = ping (node, m->control);
}

static void
probe_indirectly (struct bl_node *node)
{
  struct bl_msg msg = {
    .type = BL_MSG_PING_REQ,
    .seq = node->probe.seq,
    .subject = node->probe.id,
  };
  uint32_t first
      = bl_random_below (&node->random, (uint32_t)node->member_count);
  unsigned sent = 0;

  node->probe.indirect = true;
  for (size_t i = 0; i < node->member_count && sent < INDIRECT_PROBES; i++)
    {
      const struct bl_member *m
          = &node->members[(first + i) % node->member_count];
      if (!m->alive || bl_name_equal (&m->id, &node->probe.id))
        continue;
      bl_node_send (node, m->control, &msg);
      sent++;
    }
}

static void
suspect_target (struct bl_node *node)
{
  const struct bl_record *held
      = bl_store_get (node->store, BL_KIND_BALANCER, &node->probe.id);
  struct bl_record r;

  node->probe.active = false;
  if (node->last_message_ms < node->probe.sent_ms)
    adjust_health_penalty (node, 1);
  if (held == NULL || held->state >= BL_STATE_SUSPECT)
    return;
  r = *held;
  r.state = BL_STATE_SUSPECT;
  node->counters[BL_NODE_SUSPICIONS]++;
  bl_node_put (node, &r, bl_node_push_rounds (node));
}

static void
check_probe (struct bl_node *node)
{
  uint64_t waited = node->now - node->probe.sent_ms;

  if (!node->probe.active)
    return;
  if (!node->probe.indirect && waited >= scaled_timeout (node, ACK_TIMEOUT_MS))
    probe_indirectly (node);
  if (waited >= scaled_timeout (node, PROBE_INTERVAL_MS))
    suspect_target (node);
}

/* -- suspicions -- */

void
bl_detect_add_suspect (struct bl_node *node, const struct bl_record *record)
{
  if (!bl_name_equal (&record->dc, &node->settings.dc))
    {
      node->suspect_dc = record->dc;
      node->suspect_dc_until_ms = node->now + SUSPECT_DC_MS;
    }
  if (node->suspect_count == BL_SUSPECTS_MAX)
    return;
  node->suspects[node->suspect_count++] = (struct bl_suspect){
    .id = record->id,
    .incarnation = record->incarnation,
    .seq = record->seq,
    .deadline_ms = node->now + scaled_timeout (node, SUSPICION_TIMEOUT_MS),
  };
}

static void
declare_dead (struct bl_node *node, const struct bl_suspect *s)
{
  const struct bl_record *held
      = bl_store_get (node->store, BL_KIND_BALANCER, &s->id);
  struct bl_record r;

  if (held == NULL || held->incarnation != s->incarnation || held->seq != s->seq
      || held->state != BL_STATE_SUSPECT)
    return;
  r = *held;
  r.state = BL_STATE_DEAD;
  node->counters[BL_NODE_DEATHS]++;
  bl_node_put (node, &r, bl_node_push_rounds (node));
}

static void
check_suspects (struct bl_node *node)
{
  size_t remaining = 0;

  for (size_t i = 0; i < node->suspect_count; i++)
    {
      struct bl_suspect s = node->suspects[i];
      if (node->now >= s.deadline_ms)
        declare_dead (node, &s);
      else
        node->suspects[remaining++] = s;
    }
  node->suspect_count = remaining;
}

/* Starts the deadline of a suspicion that found the table of suspects full.  */
static void
restore_suspect (void *ctx, const struct bl_record *r)
{
  struct bl_node *node = ctx;

  if (r->state == BL_STATE_SUSPECT && node->suspect_count < BL_SUSPECTS_MAX)
    bl_detect_add_suspect (node, r);
}

/* -- reconnection after partitions -- */

/* One random member among those held dead.  */
struct dead_sample
{
  struct bl_node *node;
  uint32_t dead_count; /* visited so far */
  struct bl_record dead_record;
};

static void
sample_dead (void *ctx, const struct bl_record *r)
{
  struct dead_sample *sample = ctx;

  if (r->state != BL_STATE_DEAD)
    return;
  sample->dead_count++;
  if (bl_random_below (&sample->node->random, sample->dead_count) == 0)
    sample->dead_record = *r;
}

/* Returns true if CONTROL is the address of a member or of this balancer.  */
static bool
is_known_address (const struct bl_node *node, struct bl_addr control)
{
  if (control.ip == node->settings.ip
      && control.port == node->settings.control_port)
    return true;
  for (size_t i = 0; i < node->member_count; i++)
    if (bl_addr_equal (node->members[i].control, control))
      return true;
  return false;
}

/* Pings a seed that is not a member.  This is repeated for as long as there is
   such a seed, so that two groups of balancers that started separately, or that
   have removed each other's records, join through it.  */
static void
ping_seed (struct bl_node *node)
{
  const struct bl_node_settings *s = &node->settings;
  uint32_t first = bl_random_below (&node->random, (uint32_t)s->seed_count);

  for (size_t i = 0; i < s->seed_count; i++)
    {
      struct bl_addr seed = s->seeds[(first + i) % s->seed_count];
      if (is_known_address (node, seed))
        continue;
      send_ping (node, seed, true, NULL);
      return;
    }
}

static void
rejoin (struct bl_node *node)
{
  struct dead_sample sample = { .node = node };

  if (node->now < node->next_rejoin_ms)
    return;
  node->next_rejoin_ms
      = node->now
        + (node->member_count > 0 ? REJOIN_INTERVAL_MS : PROBE_INTERVAL_MS / 2)
        + bl_random_below (&node->random, PROBE_INTERVAL_MS / 4);
  bl_store_each (node->store, BL_KIND_BALANCER, sample_dead, &sample);
  if (sample.dead_count > 0)
    send_ping (node,
               (struct bl_addr){ sample.dead_record.ip,
                                 sample.dead_record.control_port },
               true, &sample.dead_record);
  ping_seed (node);
}

void
bl_detect_tick (struct bl_node *node)
{
  check_probe (node);
  check_suspects (node);
  rejoin (node);
  if (node->now < node->next_probe_ms)
    return;
  node->next_probe_ms = node->now + PROBE_INTERVAL_MS;
  if (node->suspect_count == 0)
    bl_store_each (node->store, BL_KIND_BALANCER, restore_suspect, node);
  if (!node->probe.active)
    start_probe (node);
}

void
bl_detect_on_pause (struct bl_node *node, uint64_t gap_ms)
{
  node->probe.active = false;
  node->health_penalty = BL_HEALTH_PENALTY_MAX;
  for (size_t i = 0; i < node->suspect_count; i++)
    node->suspects[i].deadline_ms += gap_ms + SUSPICION_TIMEOUT_MS;
}

/* -- messages -- */

void
bl_detect_on_ping (struct bl_node *node,
                   struct bl_addr from,
                   const struct bl_msg *msg)
{
  const struct bl_record *sender
      = bl_store_get (node->store, BL_KIND_BALANCER, &msg->from);
  struct bl_record records[2];
  struct bl_msg ack = {
    .type = BL_MSG_ACK,
    .seq = msg->seq,
    .records = records,
  };

  bl_spread_add_versions (node, &ack);
  /* A sender that is suspect or dead here receives that record, so that it can
     refute the record.  A sender that sent its own record may lack the record
     of this balancer in turn.  */
  if (sender != NULL && sender->state >= BL_STATE_SUSPECT)
    records[ack.record_count++] = *sender;
  if (msg->record_count > 0)
    records[ack.record_count++] = node->self;
  bl_node_send (node, from, &ack);
  bl_spread_compare (node, msg);
}

/* Forwards the acknowledgement of a proxied ping to its requester.  */
static void
forward_ack (struct bl_node *node, const struct bl_msg *msg)
{
  for (size_t i = 0; i < BL_PROXIED_PINGS_MAX; i++)
    {
      struct bl_proxied_ping *p = &node->proxied_pings[i];
      struct bl_msg ack = { .type = BL_MSG_ACK, .seq = p->requester_seq };
      if (p->seq == 0 || p->seq != msg->seq)
        continue;
      p->seq = 0;
      bl_node_send (node, p->requester, &ack);
      return;
    }
}

void
bl_detect_introduce (struct bl_node *node, struct bl_addr to)
{
  send_ping (node, to, true, NULL);
}

void
bl_detect_on_ack (struct bl_node *node, const struct bl_msg *msg)
{
  if (bl_monitor_on_ack (node, msg))
    return;
  if (node->probe.active && node->probe.seq == msg->seq)
    {
      node->probe.active = false;
      adjust_health_penalty (node, -1);
    }
  else
    forward_ack (node, msg);
  /* An acknowledgement forwarded by a proxy carries no version and digest.  */
  if (msg->digest != 0 || msg->config_version != 0)
    bl_spread_compare (node, msg);
}

/* A request about a member makes this balancer ping the member.  The reply to a
   request about an agent is sent at once and states whether the agent announced
   itself here recently.  */
void
bl_detect_on_ping_req (struct bl_node *node,
                       struct bl_addr from,
                       const struct bl_msg *msg)
{
  const struct bl_member *m = bl_node_find_member (node, &msg->subject);
  struct bl_proxied_ping *p;

  if (m == NULL)
    {
      struct bl_msg ack = {
        .type = BL_MSG_ACK,
        .seq = msg->seq,
        .subject = msg->subject,
        .affirmative = bl_monitor_has_recent_announce (node, &msg->subject),
      };
      bl_node_send (node, from, &ack);
      return;
    }
  p = &node->proxied_pings[node->next_proxied_ping++ % BL_PROXIED_PINGS_MAX];
  p->requester_seq = msg->seq;
  p->requester = from;
  p->seq = ping (node, m->control);
}
