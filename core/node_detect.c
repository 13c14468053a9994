/* node_detect.c -- failure detection among balancers

   Each second a node pings one member, in a shuffled round, so a member is
   pinged once a second on average whatever the count.  A member that does
   not answer is pinged through others, then suspected, and declared dead
   when the suspicion was not refuted in time; a suspected node raises its
   sequence number and lives on.

   A node whose own clock or network is in trouble would suspect everybody.
   It therefore counts against itself (`awareness`): probes that went
   unanswered while nothing else came in either, and refutations it had to
   make, stretch its timeouts; answers shrink them; and a gap between its own
   ticks voids everything that it has not heard.

   Most probes stay within the data centre.  When a member elsewhere is
   suspected, half of them go to its data centre for a while, for that may be
   lost whole, and nobody in it is left to notice.

   Members that are dead are still pinged now and then, one at a time, so that
   two halves find each other after a cut without a storm.  */

#include "core/node.h"

#include <string.h>

#define PROBE_INTERVAL_MS    1000
#define ACK_TIMEOUT_MS       300
#define INDIRECT_PROBES      3
#define SUSPICION_TIMEOUT_MS 4000
#define REJOIN_INTERVAL_MS   5000
#define SUSPECT_DC_MS        10000
#define PROBES_PER_REMOTE_PROBE                                                \
  8 /* one probe in so many goes out of the dc                                 \
     */

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

/* Pings TO.  A ping that introduces its sender carries the sender's record, and
   LOST, unless NULL, the record under which the receiver is taken for dead
   here, so that it can say otherwise.  */
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
    .about = node->probe.id,
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
      = bl_store_get (node->store, BL_KIND_MEMBER, &node->probe.id);
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
      = bl_store_get (node->store, BL_KIND_MEMBER, &s->id);
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

/* A suspicion for which there was no room is found again here.  */
static void
restore_suspect (void *ctx, const struct bl_record *r)
{
  struct bl_node *node = ctx;

  if (r->state == BL_STATE_SUSPECT && node->suspect_count < BL_SUSPECTS_MAX)
    bl_detect_add_suspect (node, r);
}

/* -- finding others again -- */

struct dead_sample
{
  struct bl_node *node;
  uint32_t dead_count;
  struct bl_record dead_record;
};

static void
sample_dead (void *ctx, const struct bl_record *r)
{
  struct dead_sample *p = ctx;

  if (r->state != BL_STATE_DEAD)
    return;
  p->dead_count++;
  if (bl_random_below (&p->node->random, p->dead_count) == 0)
    p->dead_record = *r;
}

static bool
is_member_address (const struct bl_node *node, struct bl_addr control)
{
  if (control.ip == node->settings.ip
      && control.port == node->settings.control_port)
    return true;
  for (size_t i = 0; i < node->member_count; i++)
    if (bl_addr_equal (node->members[i].control, control))
      return true;
  return false;
}

/* A seed that is no member is asked again and again: two groups that started
   apart, or that have forgotten each other, meet at it.  */
static void
ping_seed (struct bl_node *node)
{
  const struct bl_node_settings *s = &node->settings;
  uint32_t first = bl_random_below (&node->random, (uint32_t)s->seed_count);

  for (size_t i = 0; i < s->seed_count; i++)
    {
      struct bl_addr seed = s->seeds[(first + i) % s->seed_count];
      if (is_member_address (node, seed))
        continue;
      send_ping (node, seed, true, NULL);
      return;
    }
}

static void
rejoin (struct bl_node *node)
{
  struct dead_sample p = { .node = node };

  if (node->now < node->next_rejoin_ms)
    return;
  node->next_rejoin_ms
      = node->now
        + (node->member_count > 0 ? REJOIN_INTERVAL_MS : PROBE_INTERVAL_MS / 2)
        + bl_random_below (&node->random, PROBE_INTERVAL_MS / 4);
  bl_store_each (node->store, BL_KIND_MEMBER, sample_dead, &p);
  if (p.dead_count > 0)
    send_ping (node,
               (struct bl_addr){ p.dead_record.ip, p.dead_record.control_port },
               true, &p.dead_record);
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
    bl_store_each (node->store, BL_KIND_MEMBER, restore_suspect, node);
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
      = bl_store_get (node->store, BL_KIND_MEMBER, &msg->from);
  struct bl_record records[2];
  struct bl_msg ack = {
    .type = BL_MSG_ACK,
    .seq = msg->seq,
    .records = records,
  };

  bl_spread_add_versions (node, &ack);
  /* A sender that is taken for dead must learn of it, to come back, and one
     that introduced itself may not know this node either.  */
  if (sender != NULL && sender->state >= BL_STATE_SUSPECT)
    records[ack.record_count++] = *sender;
  if (msg->record_count > 0)
    records[ack.record_count++] = node->self;
  bl_node_send (node, from, &ack);
  bl_spread_compare (node, msg);
}

/* Hands the answer to a ping sent for another on to it.  */
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
  /* An answer relayed by a proxy carries no state of the store.  */
  if (msg->digest != 0 || msg->config_version != 0)
    bl_spread_compare (node, msg);
}

/* Asked of a member, this node pings it; asked of an agent, it says whether
   it has heard of it lately.  */
void
bl_detect_on_ping_req (struct bl_node *node,
                       struct bl_addr from,
                       const struct bl_msg *msg)
{
  const struct bl_member *m = bl_node_find_member (node, &msg->about);
  struct bl_proxied_ping *p;

  if (m == NULL)
    {
      struct bl_msg ack = {
        .type = BL_MSG_ACK,
        .seq = msg->seq,
        .about = msg->about,
        .yes = bl_monitor_heard_recently (node, &msg->about),
      };
      bl_node_send (node, from, &ack);
      return;
    }
  p = &node->proxied_pings[node->next_proxied_ping++ % BL_PROXIED_PINGS_MAX];
  p->requester_seq = msg->seq;
  p->requester = from;
  p->seq = ping (node, m->control);
}
