/* dispatch_choose.c -- which backend server a new flow is offered to

   Load pattern: few slots per backend server, long flows with pauses, several
   balancers that each see a part of the load, servers that have just started.

   The candidates are the ready agents of the service that were not offered the
   flow yet.  The policy in force, near_and_light, draws a few by rendezvous, in
   the own data centre before others, and takes the one that bears least for its
   slots: its share of the work under way plus its share of the open flows, as
   last reported, plus what was placed there since.  One of another data centre
   is taken only if it is less crowded by REMOTE_FACTOR, or if the near one has
   no slot free, so traffic stays near while there is room.  The other two are
   what it is measured against (boragelatch-emulate).  */

#include "core/dispatch_inner.h"

#include <stdlib.h>
#include <string.h>

#define DRAW_NEAR     3    /* candidates drawn in the own data centre */
#define DRAW_FAR      2    /* and elsewhere */
#define REMOTE_FACTOR 1.35 /* what a far one's crowding counts for */
#define REMOTE_FLOWS  3    /* and so many flows a slot: few tell nothing */
#define WARM_MS       4000 /* a new server grows into its share */
#define WARM_START    0.3  /* share at its start */
#define CANDIDATES                                                             \
  512 /* agents of a service; further ones get no flows here                   \
       */

struct totals
{
  double busy;
  double flows;
  double slots;
};

struct candidates
{
  size_t count;
  struct bl_instance *items[CANDIDATES];
  struct totals totals;
};

static bool
was_tried (const struct bl_passing *f, const struct bl_instance *t)
{
  for (size_t i = 0; i < f->try_count; i++)
    if (f->tries[i].target == t)
      return true;
  return false;
}

static double
slots_of (const struct bl_instance *t)
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
  const struct bl_service_agents *servers
      = bl_fleet_service_agents (&d->fleet, f->service);

  out->count = 0;
  out->totals = (struct totals){ .busy = 0.5, .flows = 1, .slots = 0 };
  for (size_t i = 0; servers != NULL && i < servers->count; i++)
    {
      struct bl_instance *t = servers->items[i];
      if (t->record.state != BL_STATE_READY)
        continue;
      out->totals.busy += t->busy;
      out->totals.flows += t->flows + t->placed;
      out->totals.slots += slots_of (t);
      if (t->suspect == suspect && !was_tried (f, t) && out->count < CANDIDATES)
        out->items[out->count++] = t;
    }
}

static double
warmth (const struct bl_dispatch *d, const struct bl_instance *t)
{
  uint64_t age = d->now - t->warm_up_start_ms;

  if (t->warm_up_start_ms == 0 || age >= WARM_MS
      || d->now < t->warm_up_start_ms)
    return 1;
  return WARM_START + (1 - WARM_START) * (double)age / WARM_MS;
}

static double
burden (const struct bl_dispatch *d,
        const struct bl_instance *t,
        const struct totals *totals)
{
  double flows = (double)t->flows + t->placed + 1;
  double work = t->busy + (t->placed + 1) * totals->busy / totals->flows;
  double share = work / totals->busy + flows / totals->flows;

  return share / (slots_of (t) * warmth (d, t));
}

static bool
is_near (const struct bl_dispatch *d, const struct bl_instance *t)
{
  return bl_name_equal (&t->record.dc, &d->settings.self.dc);
}

/* The order in which agents are drawn for a flow: by rendezvous, so that it is
   the same at every balancer, and after a start that knows nothing.  */
static uint64_t
rank_of (const struct bl_instance *t, uint64_t flow_hash)
{
  uint64_t x = t->id_hash ^ flow_hash;

  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9u;
  x = (x ^ x >> 27) * 0x94d049bb133111ebu;
  return x ^ x >> 31;
}

struct ranked
{
  uint64_t rank;
  bool near;
  struct bl_instance *target;
};

/* Near ones before others, each by rank.  */
static int
compare_ranked (const void *a, const void *b)
{
  const struct ranked *x = a;
  const struct ranked *y = b;

  if (x->near != y->near)
    return x->near ? -1 : 1;
  return x->rank > y->rank ? -1 : x->rank < y->rank;
}

/* Moves the first far ones to where the drawn near ones end.  */
static void
put_drawn_first (struct ranked *all, size_t count, size_t near)
{
  for (size_t i = 0; i < DRAW_FAR && near > DRAW_NEAR && near + i < count; i++)
    {
      struct ranked far = all[near + i];
      size_t to = DRAW_NEAR + i;
      memmove (&all[to + 1], &all[to], (near + i - to) * sizeof *all);
      all[to] = far;
    }
}

size_t
bl_choice_agents (const struct bl_dispatch *d,
                  const struct bl_flow_key *key,
                  uint64_t service,
                  struct bl_instance **out,
                  size_t max)
{
  static struct ranked all[CANDIDATES];
  const struct bl_service_agents *servers
      = bl_fleet_service_agents (&d->fleet, service);
  uint64_t flow_hash = bl_flow_hash (key);
  size_t count = 0;
  size_t near = 0;

  for (size_t i = 0; servers != NULL && i < servers->count; i++)
    {
      struct bl_instance *t = servers->items[i];
      if (count == CANDIDATES || count == max)
        break;
      all[count++]
          = (struct ranked){ rank_of (t, flow_hash), is_near (d, t), t };
      near += is_near (d, t) ? 1 : 0;
    }
  qsort (all, count, sizeof *all, compare_ranked);
  put_drawn_first (all, count, near);
  for (size_t i = 0; i < count; i++)
    out[i] = all[i].target;
  return count;
}

/* Draws the MAX first of those near or far, and keeps the least burdened.  */
static struct bl_instance *
draw (const struct bl_dispatch *d,
      const struct candidates *c,
      uint64_t flow_hash,
      bool near,
      size_t max)
{
  struct bl_instance *drawn[DRAW_NEAR];
  uint64_t ranks[DRAW_NEAR];
  struct bl_instance *best = NULL;
  double least = 0;
  size_t count = 0;

  for (size_t i = 0; i < c->count; i++)
    {
      uint64_t rank = rank_of (c->items[i], flow_hash);
      size_t at;
      if (is_near (d, c->items[i]) != near
          || (count == max && rank <= ranks[count - 1]))
        continue;
      at = count < max ? count++ : max - 1;
      for (; at > 0 && ranks[at - 1] < rank; at--)
        {
          ranks[at] = ranks[at - 1];
          drawn[at] = drawn[at - 1];
        }
      ranks[at] = rank;
      drawn[at] = c->items[i];
    }
  for (size_t i = 0; i < count; i++)
    {
      double bears = burden (d, drawn[i], &c->totals);
      if (best != NULL && bears >= least)
        continue;
      best = drawn[i];
      least = bears;
    }
  return best;
}

/* Open flows for each slot.  They tell more of the load to come than the work
   of one moment, which is mostly chance.  */
static double
crowding (const struct bl_dispatch *d, const struct bl_instance *t)
{
  return ((double)t->flows + t->placed + 1) / (slots_of (t) * warmth (d, t));
}

static bool
is_full (const struct bl_instance *t)
{
  return t->busy >= slots_of (t);
}

/* Whether FAR, in another data centre, is worth its way: the near one is much
   more crowded, or has no slot free while the far one has.  */
static bool
is_worth_its_way (const struct bl_dispatch *d,
                  const struct bl_instance *far,
                  const struct bl_instance *near)
{
  double far_crowd = crowding (d, far);
  double near_crowd = crowding (d, near);

  if (far_crowd * REMOTE_FACTOR + REMOTE_FLOWS < near_crowd)
    return true;
  return is_full (near) && !is_full (far) && far_crowd < near_crowd;
}

static struct bl_instance *
choose_near_and_light (struct bl_dispatch *d, const struct bl_passing *f)
{
  static struct candidates c;
  uint64_t flow_hash = bl_flow_hash (&f->key);
  struct bl_instance *near;
  struct bl_instance *far;

  collect (d, f, false, &c);
  if (c.count == 0)
    collect (d, f, true, &c);
  if (c.count == 0)
    return NULL;
  near = draw (d, &c, flow_hash, true, DRAW_NEAR);
  far = draw (d, &c, flow_hash, false, DRAW_FAR);
  if (near == NULL || far == NULL)
    return near != NULL ? near : far;
  return is_worth_its_way (d, far, near) ? far : near;
}

/* -- choices to compare with -- */

/* Rendezvous hashing: every balancer chooses the same one for a flow, and knows
   nothing of load.  */
static struct bl_instance *
choose_by_hash (struct bl_dispatch *d, const struct bl_passing *f)
{
  static struct candidates c;
  uint64_t flow = bl_flow_hash (&f->key);
  struct bl_instance *best = NULL;
  uint64_t best_score = 0;

  collect (d, f, false, &c);
  for (size_t i = 0; i < c.count; i++)
    {
      uint64_t score = bl_name_hash (&c.items[i]->id, flow);
      if (best != NULL && score <= best_score)
        continue;
      best = c.items[i];
      best_score = score;
    }
  return best;
}

/* The one of two, drawn anywhere, with fewer open flows.  */
static struct bl_instance *
choose_of_two (struct bl_dispatch *d, const struct bl_passing *f)
{
  static struct candidates c;
  struct bl_instance *one;
  struct bl_instance *two;

  collect (d, f, false, &c);
  if (c.count == 0)
    return NULL;
  one = c.items[bl_random_below (&d->random, (uint32_t)c.count)];
  two = c.items[bl_random_below (&d->random, (uint32_t)c.count)];
  return one->flows + one->placed <= two->flows + two->placed ? one : two;
}

static const struct bl_choice choices[] = {
  { .choose = choose_near_and_light, .name = "near_and_light" },
  { .choose = choose_of_two, .name = "of_two" },
  { .choose = choose_by_hash, .name = "hash" },
};

const struct bl_choice *
bl_choice_find (struct bl_str name)
{
  for (size_t i = 0; i < sizeof choices / sizeof choices[0]; i++)
    if (strlen (choices[i].name) == name.len
        && memcmp (choices[i].name, name.ptr, name.len) == 0)
      return &choices[i];
  return NULL;
}

const struct bl_choice *
bl_dispatch_choice (const struct bl_dispatch *d)
{
  return d->settings.choice != NULL ? d->settings.choice : &choices[0];
}
