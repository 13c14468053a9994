/* dispatch_place.c -- offering a new flow to backend servers

   Load pattern: backend servers that vanish without a word, or are full in the
   moment after all callers have come back.

   Whom a first packet is offered to next is said by the policy in force
   (dispatch_choose.c).  An agent that does not answer an offer within OFFER_MS
   is passed over: the next is offered the same packet, which is harmless, since
   only the one whose answer the caller acknowledges opens the flow.  One that
   refuses is followed by the next at once, and when all have refused the caller
   is reset at once.
 */

#include "core/dispatch_inner.h"

#define OFFER_MS   60   /* until a further backend server is offered */
#define GIVE_UP_MS 1400 /* callers give up a first packet by then */

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
  t = bl_dispatch_choice (d)->choose (d, f);
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
                 const struct bl_link_msg *link)
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
