/* dispatch_choose.c -- which backend server a new flow is offered to

   Load pattern: few slots per backend server, long flows with pauses, several
   balancers that each see a part of the load, servers that have just started.

   The candidates are the ready agents of the service that were not offered the
   flow yet.  The policy in force, near_and_light, draws a few, in the own data
   centre before others, and takes the one that bears least for its slots: its
   share of the work under way plus its share of the open flows, as last
   reported, plus what was placed there since.  One of another data centre is
   taken only if it is less crowded by REMOTE_FACTOR, or if the near one has no
   slot free, so traffic stays near while there is room.  The other two
   are what it is measured against (boragelatch-emulate).  */

#include "core/dispatch_inner.h"

#include <string.h>

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
  const struct bl_servers *servers = bl_fleet_servers (&d->fleet, f->service);

  out->count = 0;
  out->totals = (struct totals){ .busy = 0.5, .flows = 1, .slots = 0 };
  for (size_t i = 0; servers != NULL && i < servers->count; i++)
    {
      struct bl_target *t = servers->items[i];
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
choose_near_and_light (struct bl_dispatch *d, const struct bl_passing *f)
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

/* -- choices to compare with -- */

/* Rendezvous hashing: every balancer chooses the same one for a flow, and knows
   nothing of load.  */
static struct bl_target *
choose_by_hash (struct bl_dispatch *d, const struct bl_passing *f)
{
  static struct candidates c;
  uint64_t flow = bl_flow_hash (&f->key);
  struct bl_target *best = NULL;
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
static struct bl_target *
choose_of_two (struct bl_dispatch *d, const struct bl_passing *f)
{
  static struct candidates c;
  struct bl_target *one;
  struct bl_target *two;

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
