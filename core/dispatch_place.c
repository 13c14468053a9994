/* dispatch_place.c -- which backend server a new flow is offered to

   Load pattern: few slots per backend server, long flows with pauses, several
   balancers that each see a part of the load, and backend servers that
   vanish without a word.

   The candidates are the ready agents of the service.  A few are drawn, in
   the own data centre before others, and the one that bears least for its
   slots is taken: its share of the work under way plus its share of the open
   flows, as last reported, plus what was placed there since.  One of another
   data centre is taken only if it is less crowded by REMOTE_FACTOR, or if the
   near one has no slot free, so traffic stays near while there is room.  An
   agent that does not answer an offer within OFFER_MS is passed over: the next
   is offered the same packet, which is harmless, since only the one whose
   answer the caller acknowledges opens the flow.  One that refuses is followed
   by the next at once, and when all have refused the caller is reset at once.
 */

#include "core/dispatch_inner.h"

#define OFFER_MS      60   /* until a further backend server is offered */
#define GIVE_UP_MS    1400 /* callers give up a first packet by then */
#define DRAW_NEAR     3    /* candidates drawn in the own data centre */
#define DRAW_FAR      2    /* and elsewhere */
#define REMOTE_FACTOR 1.35 /* what a far one's crowding counts for */
#define REMOTE_FLOWS  3    /* and so many flows a slot: few tell nothing */
#define WARM_MS       4000 /* a new server grows into its share */
#define WARM_START    0.3  /* share at its start */
#define CANDIDATES    512

struct totals
{
  double busy;
  double flows;
  double slots;
};

struct candidates
{
  size_t count;
  struct bl_target *items[CANDIDATES];
  struct totals totals;
};

static bool
was_tried (const struct bl_passing *f, const struct bl_target *t)
{
  for (size_t i = 0; i < f->try_count; i++)
    if (f->tries[i].target == t)
      return true;
  return false;
}

static double
slots_of (const struct bl_target *t)
{
  return t->record.slots > 0 ? t->record.slots : 1;
}

/* Those that may be offered F; suspects only when SUSPECT is wanted.  */
static void
collect (const struct bl_dispatch *d,
         const struct bl_passing *f,
         bool suspect,
         struct candidates *out)
{
  struct bl_target *t;
  struct bl_target *next;

  out->count = 0;
  out->totals = (struct totals){ .busy = 0.5, .flows = 1, .slots = 0 };
  HASH_ITER (hh, d->fleet.targets, t, next)
  {
    if (t->record.kind != BL_KIND_BACKEND || t->service != f->service
        || t->record.state != BL_STATE_READY)
      continue;
    out->totals.busy += t->busy;
    out->totals.flows += t->flows + t->placed;
    out->totals.slots += slots_of (t);
    if (t->suspect == suspect && !was_tried (f, t) && out->count < CANDIDATES)
      out->items[out->count++] = t;
  }
}

static double
warmth (const struct bl_dispatch *d, const struct bl_target *t)
{
  uint64_t age = d->now - t->warm_ms;

  if (t->warm_ms == 0 || age >= WARM_MS || d->now < t->warm_ms)
    return 1;
  return WARM_START + (1 - WARM_START) * (double)age / WARM_MS;
}

static double
burden (const struct bl_dispatch *d,
        const struct bl_target *t,
        const struct totals *totals)
{
  double flows = (double)t->flows + t->placed + 1;
  double work = t->busy + (t->placed + 1) * totals->busy / totals->flows;
  double share = work / totals->busy + flows / totals->flows;

  return share / (slots_of (t) * warmth (d, t));
}

static bool
is_near (const struct bl_dispatch *d, const struct bl_target *t)
{
  return bl_name_equal (&t->record.dc, &d->settings.self.dc);
}

/* Draws up to MAX of those near or far, and keeps the least burdened.  */
static struct bl_target *
draw (struct bl_dispatch *d,
      const struct candidates *c,
      bool near,
      size_t max,
      double *least)
{
  struct bl_target *best = NULL;
  uint32_t start = bl_random_below (&d->random, (uint32_t)c->count);
  size_t drawn = 0;

  for (size_t i = 0; i < c->count && drawn < max; i++)
    {
      struct bl_target *t = c->items[(start + i) % c->count];
      double bears;
      if (is_near (d, t) != near)
        continue;
      drawn++;
      bears = burden (d, t, &c->totals);
      if (best != NULL && bears >= *least)
        continue;
      best = t;
      *least = bears;
    }
  return best;
}

/* Open flows for each slot.  They tell more of the load to come than the work
   of one moment, which is mostly chance.  */
static double
crowding (const struct bl_dispatch *d, const struct bl_target *t)
{
  return ((double)t->flows + t->placed + 1) / (slots_of (t) * warmth (d, t));
}

static bool
is_full (const struct bl_target *t)
{
  return t->busy >= slots_of (t);
}

/* Whether FAR, in another data centre, is worth its way: the near one is much
   more crowded, or has no slot free while the far one has.  */
static bool
is_worth_its_way (const struct bl_dispatch *d,
                  const struct bl_target *far,
                  const struct bl_target *near)
{
  double far_crowd = crowding (d, far);
  double near_crowd = crowding (d, near);

  if (far_crowd * REMOTE_FACTOR + REMOTE_FLOWS < near_crowd)
    return true;
  return is_full (near) && !is_full (far) && far_crowd < near_crowd;
}

static struct bl_target *
choose (struct bl_dispatch *d, const struct bl_passing *f)
{
  static struct candidates c;
  struct bl_target *near;
  struct bl_target *far;
  double least = 0;

  collect (d, f, false, &c);
  if (c.count == 0)
    collect (d, f, true, &c);
  if (c.count == 0)
    return NULL;
  near = draw (d, &c, true, DRAW_NEAR, &least);
  far = draw (d, &c, false, DRAW_FAR, &least);
  if (near == NULL || far == NULL)
    return near != NULL ? near : far;
  return is_worth_its_way (d, far, near) ? far : near;
}

static void
offer (struct bl_dispatch *d, struct bl_passing *f, struct bl_target *t)
{
  f->tries[f->try_count++] = (struct bl_try){ .target = t, .sent_ms = d->now };
  t->placed++;
  bl_target_asked (t, d->now);
  bl_passing_wait (d, f, true);
  bl_dispatch_forward (d, f, t, f->held[0].ptr, f->held[0].len);
}

bool
bl_place_next (struct bl_dispatch *d, struct bl_passing *f)
{
  struct bl_target *t;

  if (f->try_count == BL_TRIES_MAX || f->held_count == 0)
    return false;
  t = choose (d, f);
  if (t == NULL)
    return false;
  if (f->try_count > 0)
    {
      d->counters[BL_DISPATCH_RETRIED]++;
      bl_dispatch_note (d, "offered_again", "no_answer_or_refused", &f->key, t,
                        d->now - f->since_ms);
    }
  offer (d, f, t);
  return true;
}

static const struct bl_try *
find_accepted (const struct bl_passing *f)
{
  for (size_t i = f->try_count; i > 0; i--)
    if (f->tries[i - 1].accepted)
      return &f->tries[i - 1];
  return NULL;
}

/* A copy of a first packet: the answer may be lost, or nobody has answered.  */
static void
repeat (struct bl_dispatch *d, struct bl_passing *f, const struct bl_bytes *b)
{
  const struct bl_try *accepted = find_accepted (f);

  f->touched_ms = d->now;
  if (f->phase != BL_PHASE_OPENING)
    return;
  bl_passing_release (f);
  bl_passing_hold (f, b);
  if (accepted != NULL)
    bl_dispatch_forward (d, f, accepted->target, b->ptr, b->len);
  if (accepted == NULL || d->now - f->since_ms > GIVE_UP_MS / 3)
    bl_place_next (d, f);
}

static struct bl_passing *
begin (struct bl_dispatch *d, const struct bl_bytes *b)
{
  const struct bl_packet *p = b->packet;
  const struct bl_table_route *route
      = bl_table_find (d->table, p->key.dst_ip, p->key.dst_port);
  const struct bl_split *split = bl_table_split (route, bl_flow_hash (&p->key));
  struct bl_passing *f;

  if (split == NULL)
    return NULL;
  f = bl_passing_add (d, &p->key);
  if (f == NULL)
    return NULL;
  f->phase = BL_PHASE_OPENING;
  f->service = split->service_hash;
  f->first_seq = p->seq;
  return f;
}

/* Nobody takes the flow.  A balancer that has only just started may not know
   who could, so it leaves the caller to its next copy.  */
static void
give_up (struct bl_dispatch *d, struct bl_passing *f, const char *why)
{
  if (bl_dispatch_ready (d))
    bl_dispatch_end (d, f, BL_DISPATCH_REFUSED, why);
  else
    bl_passing_remove (d, f);
}

void
bl_place_first (struct bl_dispatch *d, const struct bl_bytes *b)
{
  struct bl_passing *f = bl_passing_find (d, &b->packet->key);

  if (f != NULL && f->first_seq == b->packet->seq && f->try_count > 0)
    {
      repeat (d, f, b);
      return;
    }
  if (f != NULL)
    bl_passing_remove (d, f);
  f = begin (d, b);
  if (f == NULL)
    return;
  d->counters[BL_DISPATCH_PLACED]++;
  bl_passing_hold (f, b);
  if (!bl_place_next (d, f))
    give_up (d, f, "no_backend");
}

/* No offer is open or accepted any more.  */
static bool
all_refused (const struct bl_passing *f)
{
  for (size_t i = 0; i < f->try_count; i++)
    if (!f->tries[i].refused)
      return false;
  return true;
}

void
bl_place_answer (struct bl_dispatch *d,
                 struct bl_passing *f,
                 struct bl_target *from,
                 const struct bl_link *link)
{
  for (size_t i = 0; i < f->try_count; i++)
    {
      struct bl_try *t = &f->tries[i];
      if (t->target != from)
        continue;
      t->accepted = link->type == BL_LINK_ACCEPTED;
      t->refused = !t->accepted;
      t->seq = link->seq;
      t->born = link->born;
    }
  if (link->type == BL_LINK_ACCEPTED)
    {
      struct bl_dispatch_class *c
          = bl_dispatch_class_of (d, &f->key, f->service);
      if (c != NULL)
        bl_histogram_add (&c->accepts, d->now - f->since_ms);
      bl_passing_wait (d, f, false);
      return;
    }
  bl_dispatch_note (d, "offer_refused", bl_link_reason_name (link->reason),
                    &f->key, from, d->now - f->since_ms);
  if (find_accepted (f) != NULL || bl_place_next (d, f))
    return;
  if (all_refused (f))
    give_up (d, f, "all_refused");
}

struct bl_try *
bl_place_chosen (struct bl_passing *f, uint32_t ack)
{
  const uint32_t window = 1u << 20; /* more than an answer's bytes */

  for (size_t i = 0; i < f->try_count; i++)
    if (f->tries[i].accepted && ack - (f->tries[i].seq + 1) < window)
      return &f->tries[i];
  return NULL;
}

void
bl_place_wait (struct bl_dispatch *d, struct bl_passing *f)
{
  const struct bl_try *last = &f->tries[f->try_count - 1];

  if (d->now - f->since_ms > GIVE_UP_MS)
    {
      bl_passing_remove (d, f);
      return;
    }
  if (d->now - last->sent_ms >= OFFER_MS)
    bl_place_next (d, f);
}
