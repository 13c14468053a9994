/* dispatch_place.c -- placement of new flows: offers to backend servers

   Load pattern: backend servers that vanish without notice, or that are
   saturated in the moment after all callers have reconnected.

   The policy in force selects the agent that a first packet is offered to next
   (dispatch_choose.c).  If an agent does not reply to an offer within
   OFFER_TIMEOUT_MS, the same packet is offered to another agent as well.  This
   is harmless, since only the backend server whose answer the caller
   acknowledges opens the flow.  After a refusal the packet is offered to
   another agent at once, and when all agents have refused it, the caller is
   reset at once.  */

#include "core/dispatch_inner.h"

#define OFFER_TIMEOUT_MS     60   /* until the next agent gets an offer too */
#define PLACEMENT_TIMEOUT_MS 1400 /* callers have given up by then */

static void
send_offer (struct bl_dispatch *d,
            struct bl_tracked_flow *f,
            struct bl_instance *agent)
{
  f->offers[f->offer_count++]
      = (struct bl_offer){ .instance = agent, .sent_ms = d->now };
  agent->placed_since_report++;
  bl_instance_note_request (agent, d->now);
  bl_tracked_flow_set_pending (d, f, true);
  bl_dispatch_forward (d, f, agent, f->held[0].ptr, f->held[0].len);
}

bool
bl_placement_offer_next (struct bl_dispatch *d, struct bl_tracked_flow *f)
{
  struct bl_instance *agent;

  if (f->offer_count == BL_OFFERS_MAX || f->held_count == 0)
    return false;
  agent = bl_dispatch_policy (d)->choose (d, f);
  if (agent == NULL)
    return false;
  if (f->offer_count > 0)
    {
      d->counters[BL_DISPATCH_OFFERED_AGAIN]++;
      bl_dispatch_log_decision (d, "offered_again", "no_answer_or_refused",
                                &f->key, agent, d->now - f->phase_start_ms);
    }
  send_offer (d, f, agent);
  return true;
}

static const struct bl_offer *
find_accepted (const struct bl_tracked_flow *f)
{
  for (size_t i = f->offer_count; i > 0; i--)
    if (f->offers[i - 1].accepted)
      return &f->offers[i - 1];
  return NULL;
}

/* Handles a retransmission of a first packet: either the answer of the backend
   server was lost, or no agent has accepted the flow yet.  An agent that
   accepted gets the packet again.  A further agent gets an offer if none has
   accepted, or if the caller still has no answer after a third of
   PLACEMENT_TIMEOUT_MS.  */
static void
on_retransmission (struct bl_dispatch *d,
                   struct bl_tracked_flow *f,
                   const struct bl_raw_packet *raw)
{
  const struct bl_offer *accepted = find_accepted (f);

  f->last_packet_ms = d->now;
  if (f->phase != BL_PHASE_OPENING)
    return;
  bl_tracked_flow_discard_held (f);
  bl_tracked_flow_hold (f, raw);
  if (accepted != NULL)
    bl_dispatch_forward (d, f, accepted->instance, raw->ptr, raw->len);
  if (accepted == NULL || d->now - f->phase_start_ms > PLACEMENT_TIMEOUT_MS / 3)
    bl_placement_offer_next (d, f);
}

static struct bl_tracked_flow *
track_new (struct bl_dispatch *d, const struct bl_raw_packet *raw)
{
  const struct bl_packet *p = raw->packet;
  const struct bl_route_entry *route
      = bl_route_table_find (d->table, p->key.dst_ip, p->key.dst_port);
  const struct bl_split *split
      = bl_route_choose_split (route, bl_flow_hash (&p->key));
  struct bl_tracked_flow *f;

  if (split == NULL)
    return NULL;
  f = bl_tracked_flow_add (d, &p->key);
  if (f == NULL)
    return NULL;
  f->phase = BL_PHASE_OPENING;
  f->service = split->service_hash;
  f->first_seq = p->seq;
  return f;
}

/* Resets a flow that no agent accepts.  A balancer that is not ready, because
   it has just started, may lack the records of agents that would accept the
   flow.  It only stops tracking the flow; the caller's next retransmission is
   placed anew.  */
static void
refuse (struct bl_dispatch *d,
        struct bl_tracked_flow *f,
        enum bl_evidence_kind kind)
{
  const struct bl_reset_evidence evidence
      = { .kind = kind, .since_ms = f->phase_start_ms };

  if (bl_dispatch_ready (d))
    bl_dispatch_reset_flow (d, f, &evidence);
  else
    bl_tracked_flow_remove (d, f);
}

void
bl_placement_start (struct bl_dispatch *d, const struct bl_raw_packet *raw)
{
  struct bl_tracked_flow *f = bl_tracked_flow_find (d, &raw->packet->key);

  if (f != NULL && f->first_seq == raw->packet->seq && f->offer_count > 0)
    {
      on_retransmission (d, f, raw);
      return;
    }
  if (f != NULL)
    bl_tracked_flow_remove (d, f);
  f = track_new (d, raw);
  if (f == NULL)
    return;
  d->counters[BL_DISPATCH_PLACED]++;
  if (!bl_link_budget_has_room (&d->link_budget, d->now))
    {
      d->counters[BL_DISPATCH_LINK_FULL]++;
      refuse (d, f, BL_EVIDENCE_LINK_FULL);
      return;
    }
  bl_tracked_flow_hold (f, raw);
  if (!bl_placement_offer_next (d, f))
    refuse (d, f, BL_EVIDENCE_NO_SERVER);
}

/* Returns true when no offer is open and none was accepted.  */
static bool
all_refused (const struct bl_tracked_flow *f)
{
  for (size_t i = 0; i < f->offer_count; i++)
    if (!f->offers[i].refused)
      return false;
  return true;
}

void
bl_placement_on_reply (struct bl_dispatch *d,
                       struct bl_tracked_flow *f,
                       struct bl_instance *from,
                       const struct bl_link_msg *link)
{
  for (size_t i = 0; i < f->offer_count; i++)
    {
      struct bl_offer *offer = &f->offers[i];
      if (offer->instance != from)
        continue;
      offer->accepted = link->type == BL_LINK_ACCEPTED;
      offer->refused = !offer->accepted;
      offer->seq = link->seq;
      offer->backend_start = link->backend_start;
    }
  if (link->type == BL_LINK_ACCEPTED)
    {
      struct bl_dispatch_class *c
          = bl_dispatch_class_of (d, &f->key, f->service);
      if (c != NULL)
        bl_histogram_add (&c->accept_times, d->now - f->phase_start_ms);
      bl_tracked_flow_set_pending (d, f, false);
      return;
    }
  bl_dispatch_log_decision (d, "offer_refused",
                            bl_link_reason_name (link->reason), &f->key, from,
                            d->now - f->phase_start_ms);
  if (find_accepted (f) != NULL || bl_placement_offer_next (d, f))
    return;
  if (all_refused (f))
    refuse (d, f, BL_EVIDENCE_ALL_REFUSED);
}

struct bl_offer *
bl_placement_find_chosen (struct bl_tracked_flow *f, uint32_t ack)
{
  const uint32_t window = 1u << 20; /* an answer is shorter than this */

  for (size_t i = 0; i < f->offer_count; i++)
    if (f->offers[i].accepted && ack - (f->offers[i].seq + 1) < window)
      return &f->offers[i];
  return NULL;
}

void
bl_placement_check_timeouts (struct bl_dispatch *d, struct bl_tracked_flow *f)
{
  const struct bl_offer *last = &f->offers[f->offer_count - 1];

  if (d->now - f->phase_start_ms > PLACEMENT_TIMEOUT_MS)
    {
      bl_tracked_flow_remove (d, f);
      return;
    }
  if (d->now - last->sent_ms >= OFFER_TIMEOUT_MS)
    bl_placement_offer_next (d, f);
}
