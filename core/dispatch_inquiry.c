/* dispatch_inquiry.c -- finding the owner of a flow that is not known here

   Load pattern: a balancer joins, stops or restarts, and packets of many open
   flows reach another one within a moment.

   The agents of the route's services are asked; if all of these deny, all
   others are, for the route may have led to other services when the flow
   began.  The packet is held meanwhile.  An agent that started after its
   backend server cannot deny: the packet is offered to such ones, a few at a
   time, and the backend servers themselves return what they do not hold.

   When everybody has denied, the backend server is gone and the caller is
   reset, but only if the packet carries data: one without may belong to a
   flow that both ends have closed; and only if this balancer knows all agents,
   which takes a moment after its start and is checked with a few others.
   Agents answer for one acknowledgement number: a packet whose own is far from
   it is of another flow of the same port, and begins the inquiry anew.  An
   agent that stopped in order to start again is waited for.  Silence of any
   agent that is not dark keeps the answer open, and the packet is dropped.  */

#include "core/dispatch_inner.h"

#include <stdlib.h>

#define INQUIRY_MS  180 /* callers send again after 200 ms */
#define PROBE_FAN   6   /* agents that have the packet at the same time */
#define PROBE_MS    50  /* until a backend server would have returned it */
#define ORDERED_MAX 512 /* agents of a service; further ones in any order */
#define ACK_WINDOW  (1u << 20) /* sequence numbers of one flow lie within it */

static bool
was_asked (const struct bl_inquiry *q, const struct bl_target *t)
{
  for (size_t i = 0; i < q->count; i++)
    if (q->asked[i].target == t)
      return true;
  return false;
}

static bool
note_asked (struct bl_inquiry *q, struct bl_target *t)
{
  if (q->count == q->cap)
    {
      size_t cap = q->cap > 0 ? q->cap * 2 : 16;
      struct bl_asked *asked = realloc (q->asked, cap * sizeof *asked);
      if (asked == NULL)
        return false;
      q->asked = asked;
      q->cap = cap;
    }
  q->asked[q->count++] = (struct bl_asked){ .target = t };
  return true;
}

static void
ask (struct bl_dispatch *d, struct bl_passing *f, struct bl_target *t)
{
  struct bl_link_msg link = {
    .type = BL_LINK_OWNER_QUERY,
    .service = t->service,
    .key = f->key,
    .ack = f->inquiry.ack,
  };

  if (was_asked (&f->inquiry, t) || !note_asked (&f->inquiry, t))
    return;
  bl_target_asked (t, d->now);
  d->ops.to_agent (d->ctx, bl_target_data (t), &link, NULL, 0);
}

/* Asks the agents of a service, in the order in which the packet will be
   offered to them if they cannot tell.  */
static void
ask_service (struct bl_dispatch *d, struct bl_passing *f, uint64_t service)
{
  static struct bl_target *agents[ORDERED_MAX];
  const struct bl_servers *servers = bl_fleet_servers (&d->fleet, service);
  size_t count = bl_choice_agents (d, &f->key, service, agents, ORDERED_MAX);

  for (size_t i = 0; i < count; i++)
    ask (d, f, agents[i]);
  if (servers != NULL && servers->count > count)
    for (size_t i = 0; i < servers->count; i++)
      ask (d, f, servers->items[i]);
}

/* Asks the agents of the route's services, first of the one that a new flow
   would go to; or all that were not asked yet: routes may have changed
   meanwhile, and instances have come.  Returns how many.  */
static size_t
ask_route (struct bl_dispatch *d, struct bl_passing *f)
{
  const struct bl_table_route *route
      = bl_table_find (d->table, f->key.dst_ip, f->key.dst_port);
  const struct bl_split *first
      = route != NULL ? bl_table_split (route, bl_flow_hash (&f->key)) : NULL;
  size_t before = f->inquiry.count;

  if (first != NULL)
    ask_service (d, f, first->service_hash);
  for (size_t s = 0; route != NULL && s < route->split_count; s++)
    if (&route->splits[s] != first)
      ask_service (d, f, route->splits[s].service_hash);
  return f->inquiry.count - before;
}

static size_t
ask_all (struct bl_dispatch *d, struct bl_passing *f)
{
  size_t before = f->inquiry.count;
  struct bl_servers *servers;
  struct bl_servers *next;

  HASH_ITER (hh, d->fleet.services, servers, next)
  ask_service (d, f, servers->service);
  return f->inquiry.count - before;
}

void
bl_inquiry_start (struct bl_dispatch *d,
                  struct bl_passing *f,
                  const struct bl_bytes *b)
{
  bl_passing_release (f);
  bl_passing_hold (f, b);
  free (f->inquiry.asked);
  f->inquiry
      = (struct bl_inquiry){ .started_ms = d->now, .ack = b->packet->ack };
  f->phase = BL_PHASE_SEARCHING;
  f->owner = NULL;
  f->since_ms = d->now;
  d->counters[BL_DISPATCH_SEARCHES]++;
  bl_passing_wait (d, f, true);
  ask_route (d, f);
}

void
bl_inquiry_packet (struct bl_dispatch *d,
                   struct bl_passing *f,
                   const struct bl_bytes *b)
{
  uint32_t apart = b->packet->ack - f->inquiry.ack + ACK_WINDOW / 2;

  if (apart < ACK_WINDOW)
    bl_passing_hold (f, b);
  else
    bl_inquiry_start (d, f, b);
}

/* An agent that is waited for, for the log.  */
static const struct bl_target *
first_silent (const struct bl_dispatch *d, const struct bl_inquiry *q)
{
  for (size_t i = 0; i < q->count; i++)
    if (q->asked[i].reply == BL_REPLY_PROBED
        || (q->asked[i].reply == BL_REPLY_NONE
            && !bl_target_is_gone (q->asked[i].target, d->now)))
      return q->asked[i].target;
  return NULL;
}

static void
drop (struct bl_dispatch *d, struct bl_passing *f, const char *why)
{
  d->counters[BL_DISPATCH_DROPPED]++;
  bl_dispatch_note (d, "dropped", why, &f->key, first_silent (d, &f->inquiry),
                    d->now - f->since_ms);
  bl_passing_remove (d, f);
}

/* Nobody who was asked holds the flow.  An agent that only other balancers have
   heard of may.  */
static void
nobody (struct bl_dispatch *d, struct bl_passing *f)
{
  if (!f->inquiry.everywhere)
    {
      f->inquiry.everywhere = true;
      if (ask_all (d, f) > 0)
        return;
    }
  if (!f->held_data || !bl_fleet_sees (&d->fleet) || !bl_dispatch_knows_all (d))
    drop (d, f, "denied_by_all");
  else if (bl_compare_confirmed (d, f->since_ms) && ask_all (d, f) == 0)
    bl_dispatch_end (d, f, BL_DISPATCH_LOST, "denied_by_all");
}

static void
found (struct bl_dispatch *d,
       struct bl_passing *f,
       struct bl_target *owner,
       uint64_t born,
       bool send)
{
  struct bl_dispatch_class *c
      = bl_dispatch_class_of (d, &f->key, owner->service);

  if (c != NULL)
    bl_histogram_add (&c->inquiries, d->now - f->since_ms);
  d->counters[BL_DISPATCH_FOUND]++;
  bl_dispatch_note (d, "owner_found", send ? "claimed" : "not_returned",
                    &f->key, owner, d->now - f->since_ms);
  /* The first was offered already if the owner was found by that.  */
  for (size_t i = send ? 0 : 1; i < f->held_count; i++)
    bl_dispatch_forward (d, f, owner, f->held[i].ptr, f->held[i].len);
  bl_passing_open (d, f, owner, born);
}

/* Offers the packet to the next agents that could not tell.  */
static bool
probe_next (struct bl_dispatch *d, struct bl_passing *f)
{
  struct bl_inquiry *q = &f->inquiry;

  for (size_t i = 0; i < q->count && f->held_count > 0; i++)
    {
      if (q->probed == PROBE_FAN)
        break;
      if (q->asked[i].reply != BL_REPLY_UNSURE)
        continue;
      q->asked[i].reply = BL_REPLY_PROBED;
      q->probed++;
      q->probed_ms = d->now;
      bl_dispatch_forward (d, f, q->asked[i].target, f->held[0].ptr,
                           f->held[0].len);
    }
  return q->probed > 0;
}

/* Whether every agent that was asked, but those that are gone, has answered. */
static bool
all_answered (const struct bl_dispatch *d, const struct bl_inquiry *q)
{
  for (size_t i = 0; i < q->count; i++)
    if (q->asked[i].reply == BL_REPLY_NONE
        && !bl_target_is_gone (q->asked[i].target, d->now))
      return false;
  return true;
}

static void
go_on (struct bl_dispatch *d, struct bl_passing *f)
{
  if (f->inquiry.probed > 0 || !all_answered (d, &f->inquiry))
    return;
  if (!probe_next (d, f))
    nobody (d, f);
}

static struct bl_asked *
find_asked (struct bl_inquiry *q, const struct bl_target *t)
{
  for (size_t i = 0; i < q->count; i++)
    if (q->asked[i].target == t)
      return &q->asked[i];
  return NULL;
}

void
bl_inquiry_answer (struct bl_dispatch *d,
                   struct bl_passing *f,
                   struct bl_target *from,
                   const struct bl_link_msg *link)
{
  struct bl_inquiry *q = &f->inquiry;
  struct bl_asked *asked = find_asked (q, from);

  if (link->type == BL_LINK_OWNED)
    {
      found (d, f, from, link->born,
             asked == NULL || asked->reply != BL_REPLY_PROBED);
      return;
    }
  if (asked == NULL || link->ack != q->ack)
    return;
  if (asked->reply == BL_REPLY_NONE)
    asked->reply
        = link->type == BL_LINK_NOT_OWNED ? BL_REPLY_DENIED : BL_REPLY_UNSURE;
  go_on (d, f);
}

void
bl_inquiry_returned (struct bl_dispatch *d,
                     struct bl_passing *f,
                     struct bl_target *from,
                     const struct bl_bytes *returned)
{
  struct bl_asked *asked = find_asked (&f->inquiry, from);

  if (asked != NULL && asked->reply == BL_REPLY_PROBED)
    {
      asked->reply = BL_REPLY_DENIED;
      f->inquiry.probed--;
    }
  else if (returned->packet != NULL)
    bl_passing_hold (f, returned);
  go_on (d, f);
}

/* No packet came back from these in time: one of them holds the flow, and its
   agent tells with the next packet of the backend server; or the packet was
   lost.  */
static void
probes_ran_out (struct bl_dispatch *d, struct bl_passing *f)
{
  struct bl_inquiry *q = &f->inquiry;
  struct bl_asked *only = NULL;

  for (size_t i = 0; i < q->count; i++)
    if (q->asked[i].reply == BL_REPLY_PROBED)
      only = &q->asked[i];
  if (q->probed == 1 && only != NULL)
    found (d, f, only->target, only->target->born, false);
  else
    drop (d, f, "no_answer");
}

void
bl_inquiry_wait (struct bl_dispatch *d, struct bl_passing *f)
{
  struct bl_inquiry *q = &f->inquiry;

  if (q->probed > 0)
    {
      if (d->now - q->probed_ms > PROBE_MS)
        probes_ran_out (d, f);
      return;
    }
  if (q->count == 0 || all_answered (d, q))
    {
      go_on (d, f);
      return;
    }
  if (d->now - q->started_ms <= INQUIRY_MS)
    return;
  /* Those that cannot tell may still hold it, whoever else is silent.  */
  if (!probe_next (d, f))
    drop (d, f, "no_answer");
}
