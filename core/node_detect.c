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

#define PROBE_INTERVAL_MS  1000
#define ACK_TIMEOUT_MS     300
#define INDIRECT_PROBES    3
#define SUSPECT_MS         4000
#define REJOIN_INTERVAL_MS 5000
#define TROUBLED_MS        10000
#define LOCAL_SHARE        8 /* one probe in so many goes out of the dc */

static uint64_t
stretched (const struct bl_node *node, uint64_t ms)
{
  return ms * (1 + node->awareness);
}

static void
aware (struct bl_node *node, int change)
{
  if (change < 0 && node->awareness > 0)
    node->awareness--;
  if (change > 0 && node->awareness < BL_AWARENESS_MAX)
    node->awareness++;
}

/* Pings TO.  A ping that introduces its sender carries the sender's record, and
   LOST, unless NULL, the record under which the receiver is taken for dead
   here, so that it can say otherwise.  */
static uint64_t
ping_with (struct bl_node *node,
           struct bl_addr to,
           bool introduce,
           const struct bl_record *lost)
{
  struct bl_record records[2];
  struct bl_msg msg = {
    .type = BL_MSG_PING,
    .seq = ++node->next_seq,
    .records = records,
  };

  bl_spread_fill (node, &msg);
  if (introduce)
    records[msg.record_count++] = node->self;
  if (lost != NULL)
    records[msg.record_count++] = *lost;
  node->counters[BL_NODE_PINGS]++;
  bl_node_send (node, to, &msg);
  return msg.seq;
}

static uint64_t
ping (struct bl_node *node, struct bl_addr to)
{
  return ping_with (node, to, false, NULL);
}

/* -- probes -- */

static bool
is_wanted (const struct bl_node *node,
           const struct bl_member *m,
           bool troubled,
           bool local)
{
  if (troubled)
    return m->alive && bl_name_equal (&m->dc, &node->troubled);
  return m->local == local;
}

static const struct bl_member *
next_target (struct bl_node *node)
{
  bool local = bl_random_below (&node->random, LOCAL_SHARE) != 0;
  bool troubled = node->now < node->troubled_until_ms
                  && bl_random_below (&node->random, 2) != 0;
  const struct bl_member *m = NULL;

  for (size_t i = 0; i < node->member_count; i++)
    {
      m = &node->members[node->probe_at++ % node->member_count];
      if (is_wanted (node, m, troubled, local))
        return m;
    }
  return m;
}

static void
start_probe (struct bl_node *node)
{
  const struct bl_member *m = next_target (node);

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
suspect (struct bl_node *node)
{
  const struct bl_record *held
      = bl_store_get (node->store, BL_KIND_BALANCER, &node->probe.id);
  struct bl_record r;

  node->probe.active = false;
  if (node->heard_ms < node->probe.sent_ms)
    aware (node, 1);
  if (held == NULL || held->state >= BL_STATE_SUSPECT)
    return;
  r = *held;
  r.state = BL_STATE_SUSPECT;
  node->counters[BL_NODE_SUSPICIONS]++;
  bl_node_put (node, &r, bl_node_news_rounds (node));
}

static void
watch_probe (struct bl_node *node)
{
  uint64_t waited = node->now - node->probe.sent_ms;

  if (!node->probe.active)
    return;
  if (!node->probe.indirect && waited >= stretched (node, ACK_TIMEOUT_MS))
    probe_indirectly (node);
  if (waited >= stretched (node, PROBE_INTERVAL_MS))
    suspect (node);
}

/* -- suspicions -- */

void
bl_detect_note_suspect (struct bl_node *node, const struct bl_record *record)
{
  if (!bl_name_equal (&record->dc, &node->settings.dc))
    {
      node->troubled = record->dc;
      node->troubled_until_ms = node->now + TROUBLED_MS;
    }
  if (node->suspect_count == BL_SUSPECTS_MAX)
    return;
  node->suspects[node->suspect_count++] = (struct bl_suspect){
    .id = record->id,
    .incarnation = record->incarnation,
    .seq = record->seq,
    .deadline_ms = node->now + stretched (node, SUSPECT_MS),
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
  bl_node_put (node, &r, bl_node_news_rounds (node));
}

static void
watch_suspects (struct bl_node *node)
{
  size_t kept = 0;

  for (size_t i = 0; i < node->suspect_count; i++)
    {
      struct bl_suspect s = node->suspects[i];
      if (node->now >= s.deadline_ms)
        declare_dead (node, &s);
      else
        node->suspects[kept++] = s;
    }
  node->suspect_count = kept;
}

/* A suspicion for which there was no room is found again here.  */
static void
find_suspect (void *ctx, const struct bl_record *r)
{
  struct bl_node *node = ctx;

  if (r->state == BL_STATE_SUSPECT && node->suspect_count < BL_SUSPECTS_MAX)
    bl_detect_note_suspect (node, r);
}

/* -- finding others again -- */

struct pick
{
  struct bl_node *node;
  uint32_t seen;
  struct bl_record lost;
};

static void
pick_lost (void *ctx, const struct bl_record *r)
{
  struct pick *p = ctx;

  if (r->state != BL_STATE_DEAD)
    return;
  p->seen++;
  if (bl_random_below (&p->node->random, p->seen) == 0)
    p->lost = *r;
}

static bool
is_known (const struct bl_node *node, struct bl_addr control)
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
      if (is_known (node, seed))
        continue;
      ping_with (node, seed, true, NULL);
      return;
    }
}

static void
rejoin (struct bl_node *node)
{
  struct pick p = { .node = node };

  if (node->now < node->next_rejoin_ms)
    return;
  node->next_rejoin_ms
      = node->now
        + (node->member_count > 0 ? REJOIN_INTERVAL_MS : PROBE_INTERVAL_MS / 2)
        + bl_random_below (&node->random, PROBE_INTERVAL_MS / 4);
  bl_store_each (node->store, BL_KIND_BALANCER, pick_lost, &p);
  if (p.seen > 0)
    ping_with (node, (struct bl_addr){ p.lost.ip, p.lost.control_port }, true,
               &p.lost);
  ping_seed (node);
}

void
bl_detect_tick (struct bl_node *node)
{
  watch_probe (node);
  watch_suspects (node);
  rejoin (node);
  if (node->now < node->next_probe_ms)
    return;
  node->next_probe_ms = node->now + PROBE_INTERVAL_MS;
  if (node->suspect_count == 0)
    bl_store_each (node->store, BL_KIND_BALANCER, find_suspect, node);
  if (!node->probe.active)
    start_probe (node);
}

void
bl_detect_on_pause (struct bl_node *node, uint64_t gap_ms)
{
  node->probe.active = false;
  node->awareness = BL_AWARENESS_MAX;
  for (size_t i = 0; i < node->suspect_count; i++)
    node->suspects[i].deadline_ms += gap_ms + SUSPECT_MS;
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

  bl_spread_fill (node, &ack);
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
answer_proxy (struct bl_node *node, const struct bl_msg *msg)
{
  for (size_t i = 0; i < BL_PROXIES_MAX; i++)
    {
      struct bl_proxy *p = &node->proxies[i];
      struct bl_msg ack = { .type = BL_MSG_ACK, .seq = p->their_seq };
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
  ping_with (node, to, true, NULL);
}

void
bl_detect_on_ack (struct bl_node *node, const struct bl_msg *msg)
{
  if (bl_keep_on_ack (node, msg))
    return;
  if (node->probe.active && node->probe.seq == msg->seq)
    {
      node->probe.active = false;
      aware (node, -1);
    }
  else
    answer_proxy (node, msg);
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
  const struct bl_member *m = bl_node_member (node, &msg->subject);
  struct bl_proxy *p;

  if (m == NULL)
    {
      struct bl_msg ack = {
        .type = BL_MSG_ACK,
        .seq = msg->seq,
        .subject = msg->subject,
        .affirmative = bl_keep_heard (node, &msg->subject),
      };
      bl_node_send (node, from, &ack);
      return;
    }
  p = &node->proxies[node->proxy_at++ % BL_PROXIES_MAX];
  p->their_seq = msg->seq;
  p->requester = from;
  p->seq = ping (node, m->control);
}
