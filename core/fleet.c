/* fleet.c -- the instances that a balancer tracks, and their reachability

   Which instances exist follows from versioned records, whether they come from
   the platform's store, from seeds or from peers.  Which are alive follows only
   from their messages.  A request (a ping or a flow's first packet) that is
   unanswered for BL_SUSPECT_MS makes its instance suspect, and others are
   preferred; after BL_UNREACHABLE_MS the instance counts as gone until it sends
   something.  A single message clears both states.  While requests are
   unanswered and too few agents respond, this process assumes that it is itself
   cut off from the network.  Silence during that time says nothing about other
   instances, so all time-outs start anew when the isolation ends.

   Instances are looked up by address for each message received, and by service
   for each new flow.  Both tables are updated as records arrive, so that the
   cost of a look-up does not grow with the fleet.  */

#include "core/fleet.h"

#include <stdlib.h>

int
bl_fleet_init (struct bl_fleet *fleet)
{
  *fleet = (struct bl_fleet){ .store = bl_store_new () };
  return fleet->store != NULL ? BL_OK : BL_ENOMEM;
}

void
bl_fleet_clear (struct bl_fleet *fleet)
{
  struct bl_service_agents *agents;
  struct bl_service_agents *next_agents;
  struct bl_instance *t;
  struct bl_instance *next;

  HASH_CLEAR (hh, fleet->by_address);
  HASH_ITER (hh, fleet->services, agents, next_agents)
  {
    HASH_DEL (fleet->services, agents);
    free (agents->items);
    free (agents);
  }
  HASH_ITER (hh, fleet->instances, t, next)
  {
    HASH_DEL (fleet->instances, t);
    free (t);
  }
  bl_store_free (fleet->store);
}

/* -- by address -- */

static uint64_t
address_key (struct bl_addr addr)
{
  return (uint64_t)addr.ip << 16 | addr.port;
}

static struct bl_address_entry *
find_address (const struct bl_fleet *fleet, uint64_t key)
{
  struct bl_address_entry *p;

  HASH_FIND (hh, fleet->by_address, &key, sizeof key, p);
  return p;
}

static void
remove_address (struct bl_fleet *fleet, struct bl_address_entry *p)
{
  if (p->key == 0 || fleet->by_address == NULL)
    return;
  HASH_DELETE (hh, fleet->by_address, p);
  p->key = 0;
}

/* Maps ADDR to T.  An instance that had the address before no longer has
   it.  */
static void
set_address (struct bl_fleet *fleet,
             struct bl_address_entry *p,
             struct bl_instance *t,
             struct bl_addr addr)
{
  uint64_t key = address_key (addr);
  struct bl_address_entry *before = find_address (fleet, key);

  if (before == p)
    return;
  if (before != NULL)
    remove_address (fleet, before);
  remove_address (fleet, p);
  p->key = key;
  p->instance = t;
  HASH_ADD (hh, fleet->by_address, key, sizeof p->key, p);
}

/* -- by service -- */

const struct bl_service_agents *
bl_fleet_service_agents (const struct bl_fleet *fleet, uint64_t service)
{
  struct bl_service_agents *s;

  HASH_FIND (hh, fleet->services, &service, sizeof service, s);
  return s;
}

static struct bl_service_agents *
get_agents (struct bl_fleet *fleet, uint64_t service)
{
  struct bl_service_agents *s
      = (struct bl_service_agents *)bl_fleet_service_agents (fleet, service);

  if (s != NULL)
    return s;
  s = calloc (1, sizeof *s);
  if (s == NULL)
    return NULL;
  s->service = service;
  HASH_ADD (hh, fleet->services, service, sizeof s->service, s);
  return s;
}

static void
remove_from_service (struct bl_instance *t)
{
  struct bl_service_agents *s = t->agents;

  if (s == NULL)
    return;
  s->items[t->position] = s->items[--s->count];
  s->items[t->position]->position = t->position;
  t->agents = NULL;
}

static void
add_to_service (struct bl_fleet *fleet, struct bl_instance *t)
{
  struct bl_service_agents *s = get_agents (fleet, t->service);

  if (s == NULL || s == t->agents)
    return;
  remove_from_service (t);
  if (s->count == s->cap)
    {
      size_t cap = s->cap > 0 ? s->cap * 2 : 8;
      struct bl_instance **items = realloc (s->items, cap * sizeof *items);
      if (items == NULL)
        return;
      s->items = items;
      s->cap = cap;
    }
  t->agents = s;
  t->position = s->count;
  s->items[s->count++] = t;
}

/* Updates both tables from T's record.  */
static void
update_tables (struct bl_fleet *fleet, struct bl_instance *t)
{
  if (t->record.state >= BL_STATE_LEFT)
    {
      remove_address (fleet, &t->data_entry);
      remove_address (fleet, &t->control_entry);
      remove_from_service (t);
      return;
    }
  set_address (fleet, &t->data_entry, t, bl_instance_data_address (t));
  set_address (fleet, &t->control_entry, t, bl_instance_control_address (t));
  if (t->record.kind == BL_KIND_BACKEND)
    add_to_service (fleet, t);
}

struct bl_instance *
bl_fleet_find (const struct bl_fleet *fleet, const struct bl_name *id)
{
  struct bl_instance *t;

  HASH_FIND (hh, fleet->instances, id, sizeof *id, t);
  return t;
}

struct bl_instance *
bl_fleet_find_by_address (const struct bl_fleet *fleet, struct bl_addr addr)
{
  struct bl_address_entry *p = find_address (fleet, address_key (addr));

  return p != NULL ? p->instance : NULL;
}

static struct bl_instance *
add (struct bl_fleet *fleet, const struct bl_record *record)
{
  struct bl_instance *t = calloc (1, sizeof *t);

  if (t == NULL)
    return NULL;
  t->id = record->id;
  t->id_hash = bl_name_hash (&record->id, 0);
  HASH_ADD (hh, fleet->instances, id, sizeof t->id, t);
  return t;
}

/* Of two instances with the same address only the one that started last still
   runs.  The other is marked as left; records may arrive in either order.  */
static void
retire_older (struct bl_fleet *fleet, struct bl_instance *updated)
{
  struct bl_address_entry *p = find_address (
      fleet, address_key (bl_instance_control_address (updated)));
  struct bl_instance *older;

  if (p == NULL || p->instance == updated)
    return;
  older = p->instance->record.incarnation < updated->record.incarnation
              ? p->instance
              : updated;
  older->record.state = BL_STATE_LEFT;
  update_tables (fleet, older);
}

struct bl_instance *
bl_fleet_apply_record (struct bl_fleet *fleet,
                       uint64_t now,
                       const struct bl_record *record)
{
  struct bl_instance *t;

  bl_store_set_time (fleet->store, now);
  if (bl_store_put (fleet->store, record, 0) != 1)
    return NULL;
  t = bl_fleet_find (fleet, &record->id);
  if (t == NULL)
    t = add (fleet, record);
  if (t == NULL)
    return NULL;
  if (t->record.incarnation != record->incarnation)
    {
      t->placed = 0;
      t->unanswered_since_ms = 0;
      t->suspect = false;
    }
  t->record = *record;
  t->service = bl_name_hash (&record->service, 0);
  if (record->state == BL_STATE_READY && t->warm_up_start_ms == 0)
    t->warm_up_start_ms = now;
  if (record->state < BL_STATE_LEFT)
    retire_older (fleet, t);
  update_tables (fleet, t);
  return t->record.state < BL_STATE_LEFT ? t : NULL;
}

bool
bl_instance_is_gone (const struct bl_instance *instance, uint64_t now)
{
  bool restarting = instance->record.state == BL_STATE_STARTING
                    && now - instance->last_message_ms < BL_RESTART_MAX_MS;

  return instance->unreachable && !restarting;
}

void
bl_instance_note_message (struct bl_instance *instance, uint64_t now)
{
  instance->last_message_ms = now;
  instance->unanswered_since_ms = 0;
  instance->suspect = false;
  instance->unreachable = false;
}

void
bl_instance_note_request (struct bl_instance *instance, uint64_t now)
{
  if (instance->unanswered_since_ms == 0)
    instance->unanswered_since_ms = now;
}

static void
update_reachability (struct bl_fleet *fleet,
                     struct bl_instance *t,
                     uint64_t now)
{
  uint64_t unanswered_ms
      = t->unanswered_since_ms > 0 ? now - t->unanswered_since_ms : 0;

  t->suspect = unanswered_ms > BL_SUSPECT_MS;
  t->unreachable = unanswered_ms > BL_UNREACHABLE_MS;
  if (t->record.kind != BL_KIND_BACKEND || t->record.state >= BL_STATE_LEFT)
    return;
  fleet->backend_count++;
  fleet->unreachable_count += t->unreachable ? 1 : 0;
  fleet->suspect_count += t->suspect ? 1 : 0;
  if (!t->suspect && t->last_message_ms > 0
      && now - t->last_message_ms < BL_UNREACHABLE_MS)
    fleet->responsive_count++;
}

/* The isolation of this process has ended: time without answers counts only
   from now on.  */
static void
restart_timeouts (struct bl_fleet *fleet, uint64_t now)
{
  struct bl_instance *t;
  struct bl_instance *next;

  HASH_ITER (hh, fleet->instances, t, next)
  {
    if (t->unanswered_since_ms > 0)
      t->unanswered_since_ms = now;
    t->suspect = false;
    t->unreachable = false;
  }
  fleet->unreachable_count = 0;
}

/* Responsive agents needed to rule out isolation; fewer in a small fleet.  */
static size_t
responsive_min (const struct bl_fleet *fleet)
{
  size_t third = (fleet->backend_count + 2) / 3;

  return third < BL_ISOLATION_PROBES - 2 ? third : BL_ISOLATION_PROBES - 2;
}

void
bl_fleet_update_reachability (struct bl_fleet *fleet, uint64_t now)
{
  struct bl_instance *t;
  struct bl_instance *next;
  bool was_isolated = fleet->isolated;

  fleet->backend_count = 0;
  fleet->unreachable_count = 0;
  fleet->suspect_count = 0;
  fleet->responsive_count = 0;
  HASH_ITER (hh, fleet->instances, t, next)
  update_reachability (fleet, t, now);
  fleet->isolated = fleet->suspect_count > 0
                    && fleet->responsive_count < responsive_min (fleet);
  if (was_isolated && !fleet->isolated)
    restart_timeouts (fleet, now);
}

bool
bl_fleet_is_connected (const struct bl_fleet *fleet)
{
  return !fleet->isolated;
}

struct bl_addr
bl_instance_data_address (const struct bl_instance *instance)
{
  return (struct bl_addr){ instance->record.ip, instance->record.data_port };
}

struct bl_addr
bl_instance_control_address (const struct bl_instance *instance)
{
  return (struct bl_addr){ instance->record.ip, instance->record.control_port };
}
