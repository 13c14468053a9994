/* agent.c -- handling of packets by an agent

   Balancers keep no state of flows in this mode, so a packet may reach an agent
   that does not own its flow: balancers may hold different routing data for a
   while, or the flow was placed at a peer.  The rules below are therefore safe
   whichever agent a packet reaches:

   - A packet is delivered to the TCP stack only when its flow is owned here
     and the packet acknowledges data that was sent here (flows.c).  Sequence
     numbers are shifted between stack and network by a random number that each
     flow has of its own.
   - Otherwise the packet is forwarded to the owner if that is known, else to
     the next candidate in its header.  When none is left, the agent looks the
     owner up among the peers of the service (agent_lookup.c).
   - A reset is sent only when every peer in a confirmed view has denied twice,
     RESET_AFTER_MS apart, that it owns the flow.  This interval is longer than
     a change takes to reach every process, so a peer that joined in the
     meantime is in the view by then.  Until then packets are dropped, and TCP
     retransmits them.

   A first packet is placed by the agent that receives it, at its own backend
   server or at a peer with less load (agent_place.c).  The agent records the
   choice, so that retransmissions of the first packet go to the same place.  */

#include "core/agent.h"

#include <stdlib.h>
#include <string.h>

/* An owner that is declared dead still gets packets for this long after it
   confirmed that it owns the flow.  */
#define OWNER_CONFIRMATION_MS 5000
/* At most one owner notice for a flow is sent in this time.  */
#define OWNER_NOTICE_INTERVAL_MS 1000

static const char *const counter_names[BL_AGENT_COUNTERS] = {
  [BL_AGENT_DELIVERED] = "packets_delivered",
  [BL_AGENT_FORWARDED_TO_FALLBACK] = "packets_passed",
  [BL_AGENT_FORWARDED_TO_OWNER] = "packets_redirected",
  [BL_AGENT_PLACED_HERE] = "flows_placed_here",
  [BL_AGENT_PLACED_ELSEWHERE] = "flows_placed_elsewhere",
  [BL_AGENT_REFUSED] = "flows_refused",
  [BL_AGENT_OWNER_LOOKUPS] = "owner_queries",
  [BL_AGENT_RESETS] = "resets_sent",
  [BL_AGENT_UNKNOWN_DROPPED] = "packets_unknown_dropped",
  [BL_AGENT_BAD_HEADER] = "packets_bad_header",
  [BL_AGENT_BAD_VERSION] = "packets_bad_version",
  [BL_AGENT_BAD_PACKET] = "packets_bad",
  [BL_AGENT_BAD_CHECKSUM] = "packets_bad_checksum",
  [BL_AGENT_WRONG_SERVICE] = "packets_wrong_service",
  [BL_AGENT_OLD_INCARNATION] = "packets_old_incarnation",
  [BL_AGENT_TOO_MANY_HOPS] = "packets_too_many_hops",
  [BL_AGENT_BAD_MESSAGE] = "messages_bad",
  [BL_AGENT_SUPPRESSED] = "stack_packets_suppressed",
};

uint64_t
bl_agent_counter (const struct bl_agent *agent, enum bl_agent_counter counter)
{
  return agent->counters[counter];
}

const char *
bl_agent_counter_name (enum bl_agent_counter counter)
{
  return counter_names[counter];
}

bool
bl_agent_accepting (const struct bl_agent *agent)
{
  const struct bl_candidate *self
      = bl_view_find (&agent->view, &agent->settings.id);
  return agent->self.state == BL_STATE_READY && self != NULL && self->ready;
}

static struct bl_hop
self_hop (const struct bl_agent *agent)
{
  return (struct bl_hop){
    .data = { agent->settings.ip, agent->settings.data_port },
    .incarnation = agent->settings.incarnation,
  };
}

static bool
is_self (const struct bl_agent *agent, const struct bl_hop *hop)
{
  return bl_addr_equal (hop->data, self_hop (agent).data);
}

void
bl_agent_deliver (struct bl_agent *agent,
                  const struct bl_received_packet *rx,
                  const struct bl_flow *flow)
{
  uint8_t copy[BL_PACKET_MAX];

  if (rx->len > sizeof copy)
    return;
  memcpy (copy, rx->bytes, rx->len);
  bl_packet_adjust_seq (copy, 0, 0u - flow->seq_shift);
  agent->counters[BL_AGENT_DELIVERED]++;
  agent->ops.deliver (agent->ctx, copy, rx->len);
}

void
bl_agent_send_reset (struct bl_agent *agent, const struct bl_packet *packet)
{
  uint8_t buf[BL_RESET_LEN];
  size_t len = bl_packet_reset (packet, buf);

  if (len > 0)
    agent->ops.send_to_caller (agent->ctx, buf, len);
}

void
bl_agent_forward (struct bl_agent *agent,
                  struct bl_received_packet *rx,
                  const struct bl_hop *hop)
{
  struct bl_hop to = *hop;

  if (rx->forward.hops >= BL_FORWARD_HOPS_MAX)
    {
      agent->counters[BL_AGENT_TOO_MANY_HOPS]++;
      return;
    }
  if (rx->forward.primary_hop.data.port == 0)
    rx->forward.primary_hop = self_hop (agent);
  rx->forward.hops++;
  rx->forward.target_incarnation = to.incarnation;
  agent->ops.forward (agent->ctx, to.data, &rx->forward, rx->bytes, rx->len);
}

void
bl_agent_forward_to_owner (struct bl_agent *agent,
                           struct bl_received_packet *rx,
                           struct bl_flow *flow)
{
  agent->counters[BL_AGENT_FORWARDED_TO_OWNER]++;
  bl_flows_touch (&agent->flows, flow, agent->now);
  rx->forward.to_owner = true;
  rx->forward.fallback_count = 0;
  bl_agent_forward (agent, rx, &flow->owner);
}

/* -- first packets -- */

/* Removes the next candidate from the header and returns it in HOP; skips this
   agent.  Returns false when none is left.  */
static bool
next_fallback (const struct bl_agent *agent,
               struct bl_forward *forward,
               struct bl_hop *hop)
{
  while (forward->fallback_count > 0)
    {
      *hop = forward->fallback_hops[0];
      forward->fallback_count--;
      memmove (&forward->fallback_hops[0], &forward->fallback_hops[1],
               forward->fallback_count * sizeof *hop);
      if (!is_self (agent, hop))
        return true;
    }
  return false;
}

/* Returns true when FLOW has an owner that packets can be sent to: the same
   process is still in the view, and it is not declared dead or has confirmed
   its ownership recently.  */
static bool
owner_is_reachable (struct bl_agent *agent, const struct bl_flow *flow)
{
  const struct bl_candidate *c;

  if (!flow->has_owner)
    return false;
  c = bl_view_find_by_data_address (&agent->view, flow->owner.data);
  if (c == NULL || c->incarnation != flow->owner.incarnation)
    return false;
  return !c->declared_dead
         || agent->now - flow->owner_confirmed_ms < OWNER_CONFIRMATION_MS;
}

/* Returns true when a first packet with the key of FLOW, which is owned here,
   opens a new flow.  A delayed duplicate of an old first packet must not
   disturb a flow that is open or has just ended, so only a sequence number at
   or beyond the end of the data that the caller sent opens a new flow.  */
static bool
opens_new_flow (const struct bl_flow *flow, const struct bl_packet *packet)
{
  if (flow->ownership == BL_ESTABLISHED)
    return false;
  return (int32_t)(packet->seq - flow->client_max) >= 0;
}

/* Answers a first packet for a flow that is owned here and that it does not
   replace.  The stack handles it when the flow is established or when the
   packet repeats the one that opened the flow: it retransmits its SYN-ACK or
   sends a challenge acknowledgement.  In all other cases the stack has no
   matching connection, or has one from another first packet, so the agent sends
   the challenge acknowledgement.  A caller that holds the acknowledged
   connection ignores it; any other caller resets that connection and sends its
   first packet again.  */
static void
handle_repeated_first_packet (struct bl_agent *agent,
                              struct bl_received_packet *rx,
                              struct bl_flow *flow)
{
  uint8_t buf[BL_RESET_LEN];
  size_t len;

  if (flow->ownership == BL_ESTABLISHED
      || (flow->ownership == BL_HALF_OPEN
          && flow->client_isn == rx->packet.seq))
    {
      bl_agent_deliver (agent, rx, flow);
      return;
    }
  len = bl_packet_challenge_ack (&rx->packet, flow->snd_max, flow->client_max,
                                 buf);
  agent->ops.send_to_caller (agent->ctx, buf, len);
}

static void
handle_first_packet (struct bl_agent *agent, struct bl_received_packet *rx)
{
  struct bl_flow *flow
      = bl_flows_get (&agent->flows, agent->now, &rx->packet.key);

  if (flow == NULL)
    return;
  flow->owner_lookup.denied_ms = 0;
  if (flow->ownership != BL_NOT_OWNED && !opens_new_flow (flow, &rx->packet))
    {
      handle_repeated_first_packet (agent, rx, flow);
      return;
    }
  if (flow->ownership != BL_NOT_OWNED)
    {
      agent->ops.remove_connection (agent->ctx, &flow->key);
      bl_flows_set_ownership (&agent->flows, flow, agent->now, BL_NOT_OWNED);
    }
  else if (!rx->forward.to_owner && owner_is_reachable (agent, flow))
    {
      rx->forward.placed = true;
      bl_agent_forward_to_owner (agent, rx, flow);
      return;
    }
  bl_agent_place (agent, rx, flow);
}

/* -- later packets -- */

/* Sends an owner notice to the primary, the agent that first received the
   packet, when it forwarded a packet of an established flow without the
   information that this agent owns the flow.  */
static void
notify_primary (struct bl_agent *agent,
                const struct bl_received_packet *rx,
                struct bl_flow *flow)
{
  if (flow->ownership != BL_ESTABLISHED || !(rx->packet.flags & BL_TCP_ACK)
      || rx->forward.hops == 0 || rx->forward.to_owner
      || agent->now - flow->owner_notice_ms < OWNER_NOTICE_INTERVAL_MS)
    return;
  flow->owner_notice_ms = agent->now;
  bl_agent_send_owner_notice (agent, rx, &agent->settings.id);
}

static void
deliver_owned (struct bl_agent *agent,
               struct bl_received_packet *rx,
               struct bl_flow *flow)
{
  uint32_t end = rx->packet.seq + rx->packet.payload_len;

  if (rx->packet.flags & BL_TCP_FIN)
    end++;
  if ((int32_t)(end - flow->client_max) > 0)
    flow->client_max = end;
  if (flow->ownership == BL_HALF_OPEN && (rx->packet.flags & BL_TCP_ACK))
    bl_flows_set_ownership (&agent->flows, flow, agent->now, BL_ESTABLISHED);
  flow->touched_ms = agent->now;
  notify_primary (agent, rx, flow);
  bl_agent_deliver (agent, rx, flow);
}

/* Returns true when PACKET is the reset by which a caller answers a challenge
   acknowledgement: the caller does not hold the connection that is half-open or
   has ended here.  The flow is removed, so that the caller's next first packet
   can open a new one.  */
static bool
is_reset_by_caller (const struct bl_flow *flow, const struct bl_packet *packet)
{
  return (flow->ownership == BL_HALF_OPEN || flow->ownership == BL_CLOSED)
         && (packet->flags & BL_TCP_RST) && packet->seq == flow->client_max;
}

static void
handle_later_packet (struct bl_agent *agent, struct bl_received_packet *rx)
{
  struct bl_flow *flow = bl_flows_find (&agent->flows, &rx->packet.key);
  bool has_ack = (rx->packet.flags & BL_TCP_ACK) != 0;
  struct bl_hop hop;

  if (flow != NULL && is_reset_by_caller (flow, &rx->packet))
    {
      agent->ops.remove_connection (agent->ctx, &flow->key);
      bl_flows_set_ownership (&agent->flows, flow, agent->now, BL_NOT_OWNED);
      return;
    }
  if (flow != NULL && bl_flow_matches_ack (flow, rx->packet.ack, has_ack))
    {
      deliver_owned (agent, rx, flow);
      return;
    }
  if (flow != NULL && flow->has_owner && !rx->forward.to_owner
      && owner_is_reachable (agent, flow))
    {
      bl_agent_forward_to_owner (agent, rx, flow);
      return;
    }
  if (next_fallback (agent, &rx->forward, &hop))
    {
      agent->counters[BL_AGENT_FORWARDED_TO_FALLBACK]++;
      bl_agent_forward (agent, rx, &hop);
      return;
    }
  /* Peers match flows by the acknowledgement number, so the owner of a packet
     without one cannot be looked up.  */
  if (!has_ack)
    {
      agent->counters[BL_AGENT_UNKNOWN_DROPPED]++;
      return;
    }
  if (flow == NULL)
    flow = bl_flows_get (&agent->flows, agent->now, &rx->packet.key);
  if (flow != NULL)
    bl_agent_look_up_owner (agent, rx, flow);
}

/* -- entry points -- */

/* Counts a rejected packet; returns ERR.  */
static int
count_error (struct bl_agent *agent, enum bl_agent_counter counter, int err)
{
  agent->counters[counter]++;
  return err;
}

static int
parse_received (struct bl_agent *agent,
                struct bl_received_packet *rx,
                const uint8_t *buf,
                size_t len)
{
  int n = bl_forward_decode (&rx->forward, buf, len);
  int err;

  if (n == BL_EVERSION)
    return count_error (agent, BL_AGENT_BAD_VERSION, n);
  if (n < 0)
    return count_error (agent, BL_AGENT_BAD_HEADER, n);
  rx->bytes = buf + n;
  rx->len = len - (size_t)n;
  err = bl_packet_parse (&rx->packet, rx->bytes, rx->len);
  if (err == BL_ECHECKSUM)
    return count_error (agent, BL_AGENT_BAD_CHECKSUM, err);
  if (err != BL_OK)
    return count_error (agent, BL_AGENT_BAD_PACKET, err);
  return BL_OK;
}

/* Returns true when the packet is for the service of this agent, by the id in
   the header and by the packet's own destination address and port.  */
static bool
is_for_service (const struct bl_agent *agent,
                const struct bl_received_packet *rx)
{
  const struct bl_service *s = agent->view.service;

  if (s == NULL || s->removed || rx->forward.service != s->id
      || rx->packet.key.dst_ip != s->address)
    return false;
  for (size_t i = 0; i < s->listener_count; i++)
    if (s->listeners[i].port == rx->packet.key.dst_port)
      return true;
  return false;
}

/* Before the first pull of the view an agent can neither place nor own flows.
   The balancer listed other candidates in the header, each of which checks the
   service itself.  */
static void
forward_without_view (struct bl_agent *agent, struct bl_received_packet *rx)
{
  struct bl_hop hop;

  if (next_fallback (agent, &rx->forward, &hop))
    {
      agent->counters[BL_AGENT_FORWARDED_TO_FALLBACK]++;
      bl_agent_forward (agent, rx, &hop);
      return;
    }
  agent->counters[BL_AGENT_UNKNOWN_DROPPED]++;
}

int
bl_agent_packet (struct bl_agent *agent,
                 uint64_t now,
                 const uint8_t *buf,
                 size_t len)
{
  struct bl_received_packet rx = { .len = 0 };
  int err = parse_received (agent, &rx, buf, len);

  agent->now = now;
  if (err != BL_OK)
    return err;
  if (agent->view.service == NULL)
    {
      forward_without_view (agent, &rx);
      return BL_OK;
    }
  if (!is_for_service (agent, &rx))
    return count_error (agent, BL_AGENT_WRONG_SERVICE, BL_ENOTFOUND);
  if (rx.forward.target_incarnation != agent->settings.incarnation)
    agent->counters[BL_AGENT_OLD_INCARNATION]++;
  if (bl_packet_is_first (&rx.packet))
    handle_first_packet (agent, &rx);
  else
    handle_later_packet (agent, &rx);
  return BL_OK;
}

/* Records which sequence numbers the stack has used, as seen by the caller.  */
static void
note_sent (struct bl_flow *flow, const struct bl_packet *packet)
{
  uint32_t end = packet->seq + packet->payload_len;

  if (packet->flags & BL_TCP_SYN)
    {
      flow->iss = packet->seq;
      flow->iss_known = true;
      flow->snd_max = packet->seq + 1;
      return;
    }
  if (packet->flags & BL_TCP_FIN)
    end++;
  if ((int32_t)(end - flow->snd_max) > 0)
    flow->snd_max = end;
  if (flow->snd_max - flow->iss > BL_ACK_WINDOW)
    flow->past_ack_window = true;
}

bool
bl_agent_outgoing (struct bl_agent *agent,
                   uint64_t now,
                   uint8_t *packet,
                   size_t len)
{
  struct bl_packet p;
  struct bl_flow_key key;
  struct bl_flow *flow;

  agent->now = now;
  if (bl_packet_parse (&p, packet, len) != BL_OK)
    return false;
  key = (struct bl_flow_key){
    .src_ip = p.key.dst_ip,
    .dst_ip = p.key.src_ip,
    .src_port = p.key.dst_port,
    .dst_port = p.key.src_port,
  };
  flow = bl_flows_find (&agent->flows, &key);
  if (flow == NULL || flow->ownership == BL_NOT_OWNED)
    {
      agent->counters[BL_AGENT_SUPPRESSED]++;
      return false;
    }
  bl_packet_adjust_seq (packet, flow->seq_shift, 0);
  p.seq += flow->seq_shift;
  if ((p.flags & BL_TCP_RST) == 0)
    note_sent (flow, &p);
  return true;
}

void
bl_agent_flow_closed (struct bl_agent *agent,
                      uint64_t now,
                      const struct bl_flow_key *key)
{
  struct bl_flow *flow = bl_flows_find (&agent->flows, key);

  if (flow != NULL && flow->ownership != BL_NOT_OWNED)
    bl_flows_set_ownership (&agent->flows, flow, now, BL_CLOSED);
}

size_t
bl_agent_flow_count (const struct bl_agent *agent)
{
  return agent->flows.owned_count;
}
