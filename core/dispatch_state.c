/* dispatch_state.c -- what a balancer knows as a whole, and what it can do

   Its own state follows from that and is told to other balancers: starting
   until it has routes and an agent that answers, then ready, draining once it
   is told to stop.  */

#include "core/dispatch_inner.h"

#define LIST_SETTLE_MS 300   /* after the list was read */
#define SETTLE_MS      10000 /* after a start; records have spread by then */

static const char *const counter_names[] = {
  [BL_DISPATCH_FORWARDED] = "packets_forwarded",
  [BL_DISPATCH_PLACED] = "flows_placed",
  [BL_DISPATCH_RETRIED] = "flows_offered_again",
  [BL_DISPATCH_REFUSED] = "flows_refused",
  [BL_DISPATCH_NO_ROUTE] = "packets_without_route",
  [BL_DISPATCH_SEARCHES] = "owners_asked_for",
  [BL_DISPATCH_FOUND] = "owners_found",
  [BL_DISPATCH_LOST] = "flows_lost",
  [BL_DISPATCH_DROPPED] = "packets_dropped",
  [BL_DISPATCH_BAD] = "messages_malformed",
  [BL_DISPATCH_NO_ROOM] = "flows_without_room",
};

int
bl_dispatch_configure (struct bl_dispatch *d,
                       uint64_t now,
                       struct bl_table *table)
{
  d->now = now;
  if (d->table != NULL && table->version <= d->table->version)
    {
      bl_table_free (table);
      return BL_ESTALE;
    }
  bl_table_free (d->table);
  d->table = table;
  d->has_news = true;
  bl_dispatch_note (d, "configured", "newer_version", NULL, NULL, 0);
  return BL_OK;
}

const struct bl_table *
bl_dispatch_table (const struct bl_dispatch *d)
{
  return d->table;
}

void
bl_dispatch_learn (struct bl_dispatch *d,
                   uint64_t now,
                   const struct bl_record *record)
{
  struct bl_target *t;

  d->now = now;
  if (bl_name_equal (&record->id, &d->settings.self.id))
    return;
  t = bl_fleet_learn (&d->fleet, now, record);
  if (t != NULL)
    bl_dispatch_note (d, "instance_learnt", bl_state_name (record->state), NULL,
                      t, 0);
}

void
bl_dispatch_listed (struct bl_dispatch *d, uint64_t now)
{
  d->now = now;
  if (d->listed_ms == 0)
    d->listed_ms = now;
}

/* Agents register in the store as they start; one that did so while the list
   was read is heard of a moment later.  With the store away, a peer that knows
   all and holds the same records will do, or much time.  */
bool
bl_dispatch_knows_all (const struct bl_dispatch *d)
{
  if (d->listed_ms != 0 && d->now - d->listed_ms >= LIST_SETTLE_MS)
    return true;
  /* A packet may come before the first tick.  */
  return d->vouched
         || (d->started_ms != 0 && d->now - d->started_ms > SETTLE_MS);
}

/* Someone must be there to take flows; right after a start one's word is
   enough, later silence of all means that this process is cut off.  */
bool
bl_dispatch_ready (const struct bl_dispatch *d)
{
  return d->table != NULL && d->fleet.backend_count > 0
         && d->fleet.dark_count < d->fleet.backend_count;
}

void
bl_dispatch_tell_self (struct bl_dispatch *d, const char *why)
{
  struct bl_record *self = &d->settings.self;

  self->seq++;
  d->has_news = true;
  bl_store_put (d->fleet.store, self, 0);
  bl_dispatch_note (d, "state", why, NULL, NULL, 0);
}

static void
set_state (struct bl_dispatch *d, enum bl_instance_state state)
{
  if (d->settings.self.state == state)
    return;
  d->settings.self.state = state;
  bl_dispatch_tell_self (d, bl_state_name (state));
}

void
bl_dispatch_update_state (struct bl_dispatch *d)
{
  if (d->settings.self.state == BL_STATE_DRAINING)
    return;
  set_state (d, bl_dispatch_ready (d) ? BL_STATE_READY : BL_STATE_STARTING);
}

void
bl_dispatch_drain (struct bl_dispatch *d, uint64_t now)
{
  d->now = now;
  set_state (d, BL_STATE_DRAINING);
}

bool
bl_dispatch_may_leave (const struct bl_dispatch *d)
{
  size_t all = 1;
  size_t ready = 0;
  struct bl_target *t;
  struct bl_target *next;

  HASH_ITER (hh, d->fleet.targets, t, next)
  {
    if (t->record.kind != BL_KIND_BALANCER || t->record.state >= BL_STATE_LEFT
        || !bl_name_equal (&t->record.dc, &d->settings.self.dc))
      continue;
    all++;
    if (t->record.state == BL_STATE_READY && !t->suspect)
      ready++;
  }
  /* With none ready, the routers use other data centres.  */
  return ready == 0 || 2 * ready >= all;
}

const struct bl_record *
bl_dispatch_record (const struct bl_dispatch *d)
{
  return &d->settings.self;
}

const struct bl_fleet *
bl_dispatch_fleet (const struct bl_dispatch *d)
{
  return &d->fleet;
}

size_t
bl_dispatch_flow_count (const struct bl_dispatch *d)
{
  return HASH_COUNT (d->flows);
}

uint64_t
bl_dispatch_counter (const struct bl_dispatch *d,
                     enum bl_dispatch_counter counter)
{
  return d->counters[counter];
}

const char *
bl_dispatch_counter_name (enum bl_dispatch_counter counter)
{
  return counter_names[counter];
}

const struct bl_dispatch_class *
bl_dispatch_classes (const struct bl_dispatch *d, size_t *count)
{
  *count = d->class_count;
  return d->classes;
}

static const struct bl_name *
service_name (const struct bl_table_route *route, uint64_t service)
{
  for (size_t i = 0; i < route->split_count; i++)
    if (route->splits[i].service_hash == service)
      return &route->splits[i].service;
  return NULL;
}

struct bl_dispatch_class *
bl_dispatch_class_of (struct bl_dispatch *d,
                      const struct bl_flow_key *key,
                      uint64_t service)
{
  const struct bl_table_route *route
      = bl_table_find (d->table, key->dst_ip, key->dst_port);
  const struct bl_name *name
      = route != NULL ? service_name (route, service) : NULL;
  struct bl_dispatch_class *c;

  if (name == NULL)
    return NULL;
  for (size_t i = 0; i < d->class_count; i++)
    if (d->classes[i].service_hash == service
        && d->classes[i].priority == route->priority)
      return &d->classes[i];
  if (d->class_count == BL_DISPATCH_CLASSES)
    return &d->classes[BL_DISPATCH_CLASSES - 1];
  c = &d->classes[d->class_count++];
  c->service = *name;
  c->service_hash = service;
  c->priority = route->priority;
  return c;
}
