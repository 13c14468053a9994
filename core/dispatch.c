/* dispatch.c -- a balancer for backend servers that terminate TCP connections
   themselves

   The first packet of a flow is offered to a backend server of its service
   (dispatch_place.c).  The agent of the backend server reports the sequence
   number with which the backend server answered.  The caller's next packet
   acknowledges one of these numbers and so shows which answer the caller
   accepted; from then on the flow has an owner.  A balancer that receives a
   packet of a flow that it does not track sends owner queries to the agents
   (dispatch_lookup.c).  The tracked flows are therefore only a cache: they are
   not replicated to other balancers, and losing them costs one owner lookup per
   flow.

   A caller is reset only when its flow has no backend server any more: the
   owner has reported that its backend server stopped or restarted, all agents
   have replied that they do not own the flow, or the owner has left every
   request unanswered for BL_UNREACHABLE_MS while most other agents replied.
   Any other packet that cannot be placed is dropped, and the caller retransmits
   it.  */

#include "core/dispatch_inner.h"

#include <stdlib.h>
#include <string.h>

#define SWEEP_INTERVAL_MS 500
#define INSTANCES_PER_MS  50    /* at most visited; bounds the processor time */
#define IDLE_DEFAULT_MS   15000 /* until routes are configured */
#define IDLE_MARGIN_MS    2000  /* added to the time callers may be silent */

struct bl_dispatch *
bl_dispatch_new (const struct bl_dispatch_settings *s,
                 const struct bl_dispatch_ops *ops,
                 void *ctx)
{
  struct bl_dispatch *d = calloc (1, sizeof *d);

  if (d == NULL || bl_fleet_init (&d->fleet) != BL_OK)
    {
      free (d);
      return NULL;
    }
  d->settings = *s;
  d->ops = *ops;
  d->ctx = ctx;
  d->random.state = s->random_seed;
  d->link_budget.bytes_per_s = s->link_bytes_per_s;
  bl_store_put (d->fleet.store, &s->self, 0);
  return d;
}

void
bl_dispatch_free (struct bl_dispatch *d)
{
  struct bl_tracked_flow *f;
  struct bl_tracked_flow *next;

  if (d == NULL)
    return;
  HASH_ITER (hh, d->flows, f, next)
  bl_tracked_flow_remove (d, f);
  bl_route_table_free (d->table);
  bl_fleet_clear (&d->fleet);
  bl_buffer_free (&d->buffer);
  free (d);
}

/* -- flows -- */

struct bl_tracked_flow *
bl_tracked_flow_find (struct bl_dispatch *d, const struct bl_flow_key *key)
{
  struct bl_tracked_flow *f;

  HASH_FIND (hh, d->flows, key, sizeof *key, f);
  return f;
}

struct bl_tracked_flow *
bl_tracked_flow_add (struct bl_dispatch *d, const struct bl_flow_key *key)
{
  struct bl_tracked_flow *f = NULL;

  if (HASH_COUNT (d->flows) < BL_TRACKED_FLOWS_MAX)
    f = calloc (1, sizeof *f);
  if (f == NULL)
    {
      d->counters[BL_DISPATCH_NO_ROOM]++;
      return NULL;
    }
  f->key = *key;
  f->last_packet_ms = d->now;
  f->phase_start_ms = d->now;
  HASH_ADD (hh, d->flows, key, sizeof f->key, f);
  return f;
}

void
bl_tracked_flow_set_pending (struct bl_dispatch *d,
                             struct bl_tracked_flow *f,
                             bool pending)
{
  if (pending == f->pending)
    return;
  f->pending = pending;
  if (pending)
    {
      f->prev = NULL;
      f->next = d->pending;
      if (d->pending != NULL)
        d->pending->prev = f;
      d->pending = f;
      return;
    }
  if (f->prev != NULL)
    f->prev->next = f->next;
  else
    d->pending = f->next;
  if (f->next != NULL)
    f->next->prev = f->prev;
}

void
bl_tracked_flow_remove (struct bl_dispatch *d, struct bl_tracked_flow *f)
{
  bl_tracked_flow_set_pending (d, f, false);
  HASH_DEL (d->flows, f);
  free (f->lookup.queried);
  free (f->probes);
  bl_tracked_flow_discard_held (f);
  free (f);
}

static bool
holds_payload (const struct bl_tracked_flow *f, const struct bl_packet *packet)
{
  for (size_t i = 0; i < f->held_count; i++)
    if (f->held[i].payload_len > 0
        && f->held[i].payload_len == packet->payload_len
        && f->held[i].seq == packet->seq)
      return true;
  return false;
}

void
bl_tracked_flow_hold (struct bl_tracked_flow *f,
                      const struct bl_raw_packet *raw)
{
  uint8_t *copy;

  if (f->held_count == BL_HELD_PACKETS_MAX || holds_payload (f, raw->packet))
    return;
  copy = malloc (raw->len);
  if (copy == NULL)
    return;
  memcpy (copy, raw->ptr, raw->len);
  f->held[f->held_count++] = (struct bl_held_packet){
    .ptr = copy,
    .len = raw->len,
    .seq = raw->packet->seq,
    .payload_len = raw->packet->payload_len,
  };
  f->held_payload = f->held_payload || raw->packet->payload_len > 0;
}

void
bl_tracked_flow_discard_held (struct bl_tracked_flow *f)
{
  for (size_t i = 0; i < f->held_count; i++)
    free (f->held[i].ptr);
  f->held_count = 0;
  f->held_payload = false;
}

void
bl_tracked_flow_set_owner (struct bl_dispatch *d,
                           struct bl_tracked_flow *f,
                           struct bl_instance *owner,
                           uint64_t backend_start)
{
  f->phase = BL_PHASE_OPEN;
  f->owner = owner;
  f->owner_presumed = false;
  f->owner_backend_start = backend_start;
  f->owner_incarnation = owner->record.incarnation;
  f->phase_start_ms = d->now;
  bl_tracked_flow_set_pending (d, f, false);
  free (f->lookup.queried);
  f->lookup = (struct bl_dispatch_owner_lookup){ .count = 0 };
  bl_tracked_flow_discard_held (f);
}

/* -- decisions -- */

void
bl_dispatch_log_decision (struct bl_dispatch *d,
                          const char *event_name,
                          const char *reason,
                          const struct bl_flow_key *flow,
                          const struct bl_instance *instance,
                          uint64_t age_ms)
{
  struct bl_decision decision = {
    .event_name = event_name,
    .reason = reason,
    .flow = flow,
    .instance = instance,
    .age_ms = age_ms,
    .version = d->table != NULL ? d->table->version : 0,
  };

  d->ops.log_decision (d->ctx, &decision);
}

void
bl_dispatch_forward (struct bl_dispatch *d,
                     const struct bl_tracked_flow *f,
                     struct bl_instance *to,
                     const uint8_t *packet,
                     size_t len)
{
  const struct bl_route_entry *route
      = bl_route_table_find (d->table, f->key.dst_ip, f->key.dst_port);
  struct bl_link_msg link = {
    .type = BL_LINK_PACKET,
    .service = to->service,
    .key = f->key,
    .priority = route != NULL ? route->priority : 0,
  };

  d->counters[BL_DISPATCH_FORWARDED]++;
  bl_link_budget_spend (&d->link_budget, d->now, len);
  d->ops.send_to_agent (d->ctx, bl_instance_data_address (to), &link, packet,
                        len);
}

/* -- packets -- */

/* Returns true when the backend server that owned F has restarted, died or
   left. A claim of the owner outweighs an earlier record of a death.  */
static bool
owner_is_gone (const struct bl_tracked_flow *f)
{
  const struct bl_instance *owner = f->owner;

  if (owner->record.state == BL_STATE_LEFT
      || (owner->record.state == BL_STATE_DEAD
          && owner->record_ms >= f->phase_start_ms))
    return true;
  return f->owner_backend_start != 0 && owner->backend_start != 0
         && f->owner_backend_start != owner->backend_start;
}

/* Resets F because its owner is gone or silent.  */
static void
reset_for_owner (struct bl_dispatch *d,
                 struct bl_tracked_flow *f,
                 enum bl_evidence_kind kind)
{
  const struct bl_reset_evidence evidence = {
    .kind = kind,
    .instance = f->owner,
    .since_ms = f->owner->last_message_ms,
  };

  bl_dispatch_reset_flow (d, f, &evidence);
}

static void
handle_open (struct bl_dispatch *d,
             struct bl_tracked_flow *f,
             const struct bl_raw_packet *raw)
{
  if (owner_is_gone (f))
    {
      /* Another agent may be the owner.  */
      if (f->owner_presumed)
        bl_lookup_start (d, f, raw);
      else if (raw->packet->payload_len > 0)
        reset_for_owner (d, f, BL_EVIDENCE_SERVER_GONE);
      return;
    }
  bl_dispatch_forward (d, f, f->owner, raw->ptr, raw->len);
  if (raw->packet->flags & BL_TCP_RST)
    bl_tracked_flow_remove (d, f);
}

/* Handles a packet after the first: its acknowledgement number shows which
   answer the caller accepted.  */
static void
handle_opening (struct bl_dispatch *d,
                struct bl_tracked_flow *f,
                const struct bl_raw_packet *raw)
{
  struct bl_offer *chosen = bl_placement_find_chosen (f, raw->packet->ack);

  if (raw->packet->flags & BL_TCP_RST)
    {
      for (size_t i = 0; i < f->offer_count; i++)
        bl_dispatch_forward (d, f, f->offers[i].instance, raw->ptr, raw->len);
      bl_tracked_flow_remove (d, f);
      return;
    }
  if (chosen == NULL)
    {
      bl_lookup_start (d, f, raw);
      return;
    }
  bl_dispatch_log_decision (d, "placed", "accepted", &f->key, chosen->instance,
                            d->now - f->phase_start_ms);
  bl_tracked_flow_set_owner (d, f, chosen->instance, chosen->backend_start);
  handle_open (d, f, raw);
}

static void
handle_unknown (struct bl_dispatch *d, const struct bl_raw_packet *raw)
{
  struct bl_tracked_flow *f;

  /* A reset from a caller that has given up does not need an owner lookup.  */
  if (raw->packet->flags & BL_TCP_RST)
    return;
  f = bl_tracked_flow_add (d, &raw->packet->key);
  if (f == NULL)
    return;
  f->last_ack = raw->packet->ack;
  bl_lookup_start (d, f, raw);
}

static void
handle_no_route (struct bl_dispatch *d, const struct bl_raw_packet *raw)
{
  const struct bl_reset_evidence dropped
      = { .kind = BL_EVIDENCE_ROUTE_DROPPED };
  struct bl_tracked_flow *f = bl_tracked_flow_find (d, &raw->packet->key);
  const struct bl_packet *p = raw->packet;

  d->counters[BL_DISPATCH_NO_ROUTE]++;
  if (d->table == NULL || (p->flags & BL_TCP_RST))
    return;
  if (f != NULL)
    {
      bl_dispatch_reset_flow (d, f, &dropped);
      return;
    }
  /* A packet of an open flow may belong to a route that this balancer has not
     received yet.  */
  if (bl_packet_is_first (p))
    bl_dispatch_reset_untracked (d, p);
}

void
bl_dispatch_packet (struct bl_dispatch *d,
                    uint64_t now,
                    const struct bl_packet *p,
                    const uint8_t *bytes,
                    size_t len)
{
  struct bl_raw_packet raw = { .packet = p, .ptr = bytes, .len = len };
  struct bl_tracked_flow *f;

  d->now = now;
  if (bl_route_table_find (d->table, p->key.dst_ip, p->key.dst_port) == NULL)
    {
      handle_no_route (d, &raw);
      return;
    }
  if (bl_packet_is_first (p))
    {
      bl_placement_start (d, &raw);
      return;
    }
  f = bl_tracked_flow_find (d, &p->key);
  if (f == NULL)
    {
      handle_unknown (d, &raw);
      return;
    }
  f->last_packet_ms = now;
  f->last_ack = p->ack;
  if (f->phase == BL_PHASE_OPEN)
    handle_open (d, f, &raw);
  else if (f->phase == BL_PHASE_OPENING)
    handle_opening (d, f, &raw);
  else
    bl_lookup_add_packet (d, f, &raw);
}

/* -- messages -- */

static void
update_load (struct bl_instance *agent, const struct bl_link_msg *link)
{
  if (link->incarnation < agent->record.incarnation)
    return;
  agent->busy = link->busy;
  agent->flows = link->flows;
  agent->placed_since_report = 0;
  if (link->backend_start != 0)
    agent->backend_start = link->backend_start;
}

/* Handles the claim of an agent to a flow whose owner is known.  Only an owner
   that was presumed is replaced.  */
static void
on_claim (struct bl_dispatch *d,
          struct bl_tracked_flow *f,
          struct bl_instance *from,
          const struct bl_link_msg *link)
{
  if (!f->owner_presumed)
    return;
  bl_dispatch_log_decision (d, "owner_found", "claimed_later", &f->key, from,
                            d->now - f->phase_start_ms);
  bl_tracked_flow_set_owner (d, f, from, link->backend_start);
}

/* Handles a packet that an agent returned because its backend server does not
   hold the flow.  */
static void
on_unknown_flow (struct bl_dispatch *d,
                 struct bl_tracked_flow *f,
                 struct bl_instance *from,
                 uint32_t ack,
                 const struct bl_raw_packet *returned)
{
  bl_lookup_note_returned (f, from, ack);
  if (f->phase == BL_PHASE_OWNER_LOOKUP)
    bl_lookup_on_returned (d, f, from, returned);
  else if (f->phase == BL_PHASE_OPEN && f->owner == from
           && returned->packet != NULL)
    bl_lookup_start (d, f, returned);
}

void
bl_dispatch_link (struct bl_dispatch *d,
                  uint64_t now,
                  struct bl_addr from,
                  const struct bl_link_msg *link,
                  const struct bl_packet *p,
                  const uint8_t *bytes,
                  size_t len)
{
  struct bl_raw_packet returned = { .packet = p, .ptr = bytes, .len = len };
  struct bl_instance *agent = bl_fleet_find_by_address (&d->fleet, from);
  struct bl_tracked_flow *f = bl_tracked_flow_find (d, &link->key);

  d->now = now;
  if (agent == NULL)
    return;
  bl_fleet_note_message (&d->fleet, agent, now);
  update_load (agent, link);
  if (f == NULL)
    return;
  switch (link->type)
    {
    case BL_LINK_ACCEPTED:
    case BL_LINK_REFUSED:
      if (f->phase == BL_PHASE_OPENING)
        bl_placement_on_reply (d, f, agent, link);
      break;
    case BL_LINK_UNKNOWN_FLOW:
      on_unknown_flow (d, f, agent, link->ack, &returned);
      break;
    case BL_LINK_OWNED:
    case BL_LINK_NOT_OWNED:
    case BL_LINK_INCOMPLETE:
      if (f->phase == BL_PHASE_OWNER_LOOKUP)
        bl_lookup_on_reply (d, f, agent, link);
      else if (f->phase == BL_PHASE_OPEN && link->type == BL_LINK_OWNED)
        on_claim (d, f, agent, link);
      break;
    default:
      d->counters[BL_DISPATCH_MALFORMED]++;
      break;
    }
}

int
bl_dispatch_message (struct bl_dispatch *d,
                     uint64_t now,
                     struct bl_addr from,
                     const uint8_t *buf,
                     size_t len)
{
  struct bl_msg msg;
  int err = bl_msg_decode (&msg, buf, len);

  d->now = now;
  if (err == BL_OK)
    {
      err = bl_members_message (d, from, &msg);
      bl_msg_clear (&msg);
    }
  if (err != BL_OK)
    d->counters[BL_DISPATCH_MALFORMED]++;
  return err;
}

/* -- periodic work -- */

/* Returns true when the owner of F is gone, or is unreachable while other
   agents reply.  Such a flow is reset at once, before the caller sends a
   request on it.  */
static bool
is_lost (const struct bl_dispatch *d, const struct bl_tracked_flow *f)
{
  if (f->phase != BL_PHASE_OPEN)
    return false;
  if (owner_is_gone (f))
    return true;
  return bl_instance_is_gone (f->owner, d->now)
         && bl_fleet_is_connected (&d->fleet);
}

/* Resets F, whose owner is gone.  If the owner was only presumed, the flow is
   looked up again with the caller's next packet.  */
static void
give_up (struct bl_dispatch *d, struct bl_tracked_flow *f)
{
  enum bl_evidence_kind kind = f->owner->unreachable ? BL_EVIDENCE_SERVER_SILENT
                                                     : BL_EVIDENCE_SERVER_GONE;

  if (!f->owner_presumed)
    {
      reset_for_owner (d, f, kind);
      return;
    }
  bl_dispatch_log_decision (d, "owner_given_up", bl_evidence_name (kind),
                            &f->key, f->owner, 0);
  bl_tracked_flow_remove (d, f);
}

static void
sweep (struct bl_dispatch *d)
{
  uint64_t idle_ms = d->table != NULL && d->table->idle_ms > 0
                         ? d->table->idle_ms
                         : IDLE_DEFAULT_MS;
  struct bl_tracked_flow *f;
  struct bl_tracked_flow *next;

  HASH_ITER (hh, d->flows, f, next)
  {
    if (d->now - f->last_packet_ms > idle_ms + IDLE_MARGIN_MS)
      bl_tracked_flow_remove (d, f);
    else if (is_lost (d, f))
      give_up (d, f);
  }
}

static void
check_pending (struct bl_dispatch *d)
{
  struct bl_tracked_flow *f = d->pending;

  while (f != NULL)
    {
      struct bl_tracked_flow *next = f->next;
      if (f->phase == BL_PHASE_OWNER_LOOKUP)
        bl_lookup_check_timeouts (d, f);
      else
        bl_placement_check_timeouts (d, f);
      f = next;
    }
}

void
bl_dispatch_tick (struct bl_dispatch *d, uint64_t now)
{
  d->now = now;
  if (d->started_ms == 0)
    d->started_ms = now;
  if (now >= d->next_members_ms || d->update_pending)
    {
      d->next_members_ms
          = now + HASH_COUNT (d->fleet.instances) / INSTANCES_PER_MS;
      bl_fleet_update_reachability (&d->fleet, now);
      bl_dispatch_update_state (d);
      bl_members_tick (d);
    }
  check_pending (d);
  if (now < d->next_sweep_ms)
    return;
  d->next_sweep_ms = now + SWEEP_INTERVAL_MS;
  sweep (d);
}
