/* dispatch.c -- a balancer for backend servers that end flows themselves

   A first packet is offered to a backend server of its service
   (dispatch_place.c).  Its agent says with which sequence number the backend
   server answered, so the caller's next packet, which acknowledges one, tells
   which answer it took; from then on the flow has an owner.  A balancer that
   gets a packet of a flow that it does not know asks the agents
   (dispatch_inquiry.c).  What is kept here is a cache: nothing is agreed with
   other balancers, and losing it costs a question.

   A caller is reset only when its flow has no backend server any more: its
   agent said so, everybody denied it, or its instance left every question
   open for BL_DARK_MS while most others answered.  Otherwise a packet that
   cannot be placed is dropped, and the caller sends it again.  */

#include "core/dispatch_inner.h"

#include <stdlib.h>
#include <string.h>

#define SWEEP_MS        500
#define INSTANCES_A_MS  50    /* looked at; bounds the time spent on them */
#define IDLE_DEFAULT_MS 15000 /* until the routes tell */
#define IDLE_SLACK_MS   2000  /* kept longer than callers may be silent */

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
  bl_store_put (d->fleet.store, &s->self, 0);
  return d;
}

void
bl_dispatch_free (struct bl_dispatch *d)
{
  struct bl_passing *f;
  struct bl_passing *next;

  if (d == NULL)
    return;
  HASH_ITER (hh, d->flows, f, next)
  bl_passing_remove (d, f);
  bl_table_free (d->table);
  bl_fleet_clear (&d->fleet);
  bl_buffer_free (&d->buffer);
  free (d);
}

/* -- flows -- */

struct bl_passing *
bl_passing_find (struct bl_dispatch *d, const struct bl_flow_key *key)
{
  struct bl_passing *f;

  HASH_FIND (hh, d->flows, key, sizeof *key, f);
  return f;
}

struct bl_passing *
bl_passing_add (struct bl_dispatch *d, const struct bl_flow_key *key)
{
  struct bl_passing *f = NULL;

  if (HASH_COUNT (d->flows) < BL_PASSING_MAX)
    f = calloc (1, sizeof *f);
  if (f == NULL)
    {
      d->counters[BL_DISPATCH_NO_ROOM]++;
      return NULL;
    }
  f->key = *key;
  f->touched_ms = d->now;
  f->since_ms = d->now;
  HASH_ADD (hh, d->flows, key, sizeof f->key, f);
  return f;
}

void
bl_passing_wait (struct bl_dispatch *d, struct bl_passing *f, bool wait)
{
  if (wait == f->pending)
    return;
  f->pending = wait;
  if (wait)
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
bl_passing_remove (struct bl_dispatch *d, struct bl_passing *f)
{
  bl_passing_wait (d, f, false);
  HASH_DEL (d->flows, f);
  free (f->inquiry.asked);
  bl_passing_release (f);
  free (f);
}

void
bl_passing_hold (struct bl_passing *f, const struct bl_bytes *b)
{
  uint8_t *copy;

  if (f->held_count == BL_HELD_MAX)
    return;
  copy = malloc (b->len);
  if (copy == NULL)
    return;
  memcpy (copy, b->ptr, b->len);
  f->held[f->held_count++] = (struct bl_held){ copy, b->len };
  f->held_data = f->held_data || b->packet->payload_len > 0;
}

void
bl_passing_release (struct bl_passing *f)
{
  for (size_t i = 0; i < f->held_count; i++)
    free (f->held[i].ptr);
  f->held_count = 0;
  f->held_data = false;
}

void
bl_passing_open (struct bl_dispatch *d,
                 struct bl_passing *f,
                 struct bl_target *owner,
                 uint64_t born)
{
  f->phase = BL_PHASE_OPEN;
  f->owner = owner;
  f->owner_born = born;
  f->owner_incarnation = owner->record.incarnation;
  f->since_ms = d->now;
  bl_passing_wait (d, f, false);
  free (f->inquiry.asked);
  f->inquiry = (struct bl_inquiry){ .count = 0 };
  bl_passing_release (f);
}

/* -- decisions -- */

void
bl_dispatch_note (struct bl_dispatch *d,
                  const char *what,
                  const char *why,
                  const struct bl_flow_key *flow,
                  const struct bl_target *target,
                  uint64_t age_ms)
{
  struct bl_decision decision = {
    .what = what,
    .why = why,
    .flow = flow,
    .target = target,
    .age_ms = age_ms,
    .version = d->table != NULL ? d->table->version : 0,
  };

  d->ops.decided (d->ctx, &decision);
}

void
bl_dispatch_end (struct bl_dispatch *d,
                 struct bl_passing *f,
                 enum bl_dispatch_counter counter,
                 const char *why)
{
  uint64_t heard = f->owner != NULL ? f->owner->heard_ms : 0;

  d->counters[counter]++;
  bl_dispatch_note (d, "reset", why, &f->key, f->owner,
                    heard > 0 ? d->now - heard : 0);
  d->ops.reset (d->ctx, &f->key, f->last_ack);
  bl_passing_remove (d, f);
}

void
bl_dispatch_forward (struct bl_dispatch *d,
                     const struct bl_passing *f,
                     struct bl_target *to,
                     const uint8_t *packet,
                     size_t len)
{
  struct bl_link_msg link = {
    .type = BL_LINK_PACKET,
    .service = to->service,
    .key = f->key,
  };

  d->counters[BL_DISPATCH_FORWARDED]++;
  d->ops.to_agent (d->ctx, bl_target_data (to), &link, packet, len);
}

/* -- packets -- */

/* The backend server that owned F has started again, or is gone.  */
static bool
owner_is_gone (const struct bl_passing *f)
{
  const struct bl_target *t = f->owner;

  if (t->record.state >= BL_STATE_LEFT)
    return true;
  return f->owner_born != 0 && t->born != 0 && f->owner_born != t->born;
}

static void
pass_on_open (struct bl_dispatch *d,
              struct bl_passing *f,
              const struct bl_bytes *b)
{
  if (owner_is_gone (f))
    {
      if (b->packet->payload_len > 0)
        bl_dispatch_end (d, f, BL_DISPATCH_LOST, "backend_gone");
      return;
    }
  bl_dispatch_forward (d, f, f->owner, b->ptr, b->len);
  if (b->packet->flags & BL_TCP_RST)
    bl_passing_remove (d, f);
}

/* A packet after the first: the acknowledgement tells whose answer the caller
   took.  */
static void
pass_on_opening (struct bl_dispatch *d,
                 struct bl_passing *f,
                 const struct bl_bytes *b)
{
  struct bl_try *chosen = bl_place_chosen (f, b->packet->ack);

  if (b->packet->flags & BL_TCP_RST)
    {
      for (size_t i = 0; i < f->try_count; i++)
        bl_dispatch_forward (d, f, f->tries[i].target, b->ptr, b->len);
      bl_passing_remove (d, f);
      return;
    }
  if (chosen == NULL)
    {
      bl_inquiry_start (d, f, b);
      return;
    }
  bl_dispatch_note (d, "placed", "accepted", &f->key, chosen->target,
                    d->now - f->since_ms);
  bl_passing_open (d, f, chosen->target, chosen->born);
  pass_on_open (d, f, b);
}

static void
pass_on_unknown (struct bl_dispatch *d, const struct bl_bytes *b)
{
  struct bl_passing *f;

  /* A reset of a caller that has given up needs no owner found for it.  */
  if (b->packet->flags & BL_TCP_RST)
    return;
  f = bl_passing_add (d, &b->packet->key);
  if (f == NULL)
    return;
  f->last_ack = b->packet->ack;
  bl_inquiry_start (d, f, b);
}

static void
without_route (struct bl_dispatch *d, const struct bl_bytes *b)
{
  struct bl_passing *f = bl_passing_find (d, &b->packet->key);
  const struct bl_packet *p = b->packet;

  d->counters[BL_DISPATCH_NO_ROUTE]++;
  if (d->table == NULL || (p->flags & BL_TCP_RST))
    return;
  if (f != NULL)
    {
      bl_dispatch_end (d, f, BL_DISPATCH_REFUSED, "route_dropped");
      return;
    }
  /* An open flow of a route that this balancer has never seen may be of newer
     routes than it holds.  */
  if (!bl_packet_is_first (p))
    return;
  bl_dispatch_note (d, "reset", "no_route", &p->key, NULL, 0);
  d->ops.reset (d->ctx, &p->key, p->ack);
}

void
bl_dispatch_packet (struct bl_dispatch *d,
                    uint64_t now,
                    const struct bl_packet *p,
                    const uint8_t *bytes,
                    size_t len)
{
  struct bl_bytes b = { .packet = p, .ptr = bytes, .len = len };
  struct bl_passing *f;

  d->now = now;
  if (bl_table_find (d->table, p->key.dst_ip, p->key.dst_port) == NULL)
    {
      without_route (d, &b);
      return;
    }
  if (bl_packet_is_first (p))
    {
      bl_place_first (d, &b);
      return;
    }
  f = bl_passing_find (d, &p->key);
  if (f == NULL)
    {
      pass_on_unknown (d, &b);
      return;
    }
  f->touched_ms = now;
  f->last_ack = p->ack;
  if (f->phase == BL_PHASE_OPEN)
    pass_on_open (d, f, &b);
  else if (f->phase == BL_PHASE_OPENING)
    pass_on_opening (d, f, &b);
  else
    bl_inquiry_packet (d, f, &b);
}

/* -- messages -- */

static void
note_load (struct bl_target *t, const struct bl_link_msg *link)
{
  if (link->incarnation < t->record.incarnation)
    return;
  t->busy = link->busy;
  t->flows = link->flows;
  t->placed = 0;
  if (link->born != 0)
    t->born = link->born;
}

/* The owner does not hold the flow after all.  */
static void
on_unknown (struct bl_dispatch *d,
            struct bl_passing *f,
            struct bl_target *from,
            const struct bl_bytes *returned)
{
  if (f->phase == BL_PHASE_SEARCHING)
    bl_inquiry_returned (d, f, from, returned);
  else if (f->phase == BL_PHASE_OPEN && f->owner == from
           && returned->packet != NULL)
    bl_inquiry_start (d, f, returned);
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
  struct bl_bytes returned = { .packet = p, .ptr = bytes, .len = len };
  struct bl_target *t = bl_fleet_at (&d->fleet, from);
  struct bl_passing *f = bl_passing_find (d, &link->key);

  d->now = now;
  if (t == NULL)
    return;
  bl_target_heard (t, now);
  note_load (t, link);
  if (f == NULL)
    return;
  switch (link->type)
    {
    case BL_LINK_ACCEPTED:
    case BL_LINK_REFUSED:
      if (f->phase == BL_PHASE_OPENING)
        bl_place_answer (d, f, t, link);
      break;
    case BL_LINK_UNKNOWN_FLOW:
      on_unknown (d, f, t, &returned);
      break;
    case BL_LINK_OWNED:
    case BL_LINK_NOT_OWNED:
    case BL_LINK_INCOMPLETE:
      if (f->phase == BL_PHASE_SEARCHING)
        bl_inquiry_answer (d, f, t, link);
      break;
    default:
      d->counters[BL_DISPATCH_BAD]++;
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
    d->counters[BL_DISPATCH_BAD]++;
  return err;
}

/* -- time -- */

/* A flow whose owner is gone, or has been dark while others answer, is ended
   before its caller sends a request into it.  */
static bool
is_lost (const struct bl_dispatch *d, const struct bl_passing *f)
{
  if (f->phase != BL_PHASE_OPEN)
    return false;
  if (owner_is_gone (f))
    return true;
  return bl_target_is_gone (f->owner, d->now) && bl_fleet_sees (&d->fleet);
}

static void
sweep (struct bl_dispatch *d)
{
  uint64_t idle_ms = d->table != NULL && d->table->idle_ms > 0
                         ? d->table->idle_ms
                         : IDLE_DEFAULT_MS;
  struct bl_passing *f;
  struct bl_passing *next;

  HASH_ITER (hh, d->flows, f, next)
  {
    if (d->now - f->touched_ms > idle_ms + IDLE_SLACK_MS)
      bl_passing_remove (d, f);
    else if (is_lost (d, f))
      bl_dispatch_end (d, f, BL_DISPATCH_LOST,
                       f->owner->dark ? "backend_silent" : "backend_gone");
  }
}

static void
wait_for_answers (struct bl_dispatch *d)
{
  struct bl_passing *f = d->pending;

  while (f != NULL)
    {
      struct bl_passing *next = f->next;
      if (f->phase == BL_PHASE_SEARCHING)
        bl_inquiry_wait (d, f);
      else
        bl_place_wait (d, f);
      f = next;
    }
}

void
bl_dispatch_tick (struct bl_dispatch *d, uint64_t now)
{
  d->now = now;
  if (d->started_ms == 0)
    d->started_ms = now;
  if (now >= d->next_members_ms || d->has_news)
    {
      d->next_members_ms = now + HASH_COUNT (d->fleet.targets) / INSTANCES_A_MS;
      bl_fleet_judge (&d->fleet, now);
      bl_dispatch_update_state (d);
      bl_members_tick (d);
    }
  wait_for_answers (d);
  if (now < d->next_sweep_ms)
    return;
  d->next_sweep_ms = now + SWEEP_MS;
  sweep (d);
}
