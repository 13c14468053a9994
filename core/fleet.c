/* fleet.c -- the instances that a balancer knows, and how they answer

   Who exists is told by versioned records, whatever way they come: the
   platform's store, seeds or peers.  Who lives is told by answers alone.  A
   question, a ping or a flow's first packet, that stays open for
   BL_SUSPECT_MS puts its target behind the others; one that stays open for
   BL_UNREACHABLE_MS makes it count as gone until it is heard again.  Both are
   undone by a single message.  While questions are open and too few agents are
   heard, this process takes itself to be cut off; what was silent meanwhile
   proves nothing afterwards, so all questions start anew.

   Instances are found by address, which every message of theirs needs, and by
   service, which every new flow needs, in tables that are kept as records are
   learnt: neither grows with the fleet.  */

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
  struct bl_service_agents *servers;
  struct bl_service_agents *next_servers;
  struct bl_instance *t;
  struct bl_instance *next;

  HASH_CLEAR (hh, fleet->places);
  HASH_ITER (hh, fleet->services, servers, next_servers)
  {
    HASH_DEL (fleet->services, servers);
    free (servers->items);
    free (servers);
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
place_key (struct bl_addr addr)
{
  return (uint64_t)addr.ip << 16 | addr.port;
}

static struct bl_address_entry *
find_place (const struct bl_fleet *fleet, uint64_t key)
{
  struct bl_address_entry *p;

  HASH_FIND (hh, fleet->places, &key, sizeof key, p);
  return p;
}

static void
leave_place (struct bl_fleet *fleet, struct bl_address_entry *p)
{
  if (p->key == 0 || fleet->places == NULL)
    return;
  HASH_DELETE (hh, fleet->places, p);
  p->key = 0;
}

/* Whoever was there before has left.  */
static void
take_place (struct bl_fleet *fleet,
            struct bl_address_entry *p,
            struct bl_instance *t,
            struct bl_addr addr)
{
  uint64_t key = place_key (addr);
  struct bl_address_entry *before = find_place (fleet, key);

  if (before == p)
    return;
  if (before != NULL)
    leave_place (fleet, before);
  leave_place (fleet, p);
  p->key = key;
  p->target = t;
  HASH_ADD (hh, fleet->places, key, sizeof p->key, p);
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
get_servers (struct bl_fleet *fleet, uint64_t service)
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
leave_service (struct bl_instance *t)
{
  struct bl_service_agents *s = t->servers;

  if (s == NULL)
    return;
  s->items[t->position] = s->items[--s->count];
  s->items[t->position]->position = t->position;
  t->servers = NULL;
}

static void
join_service (struct bl_fleet *fleet, struct bl_instance *t)
{
  struct bl_service_agents *s = get_servers (fleet, t->service);

  if (s == NULL || s == t->servers)
    return;
  leave_service (t);
  if (s->count == s->cap)
    {
      size_t cap = s->cap > 0 ? s->cap * 2 : 8;
      struct bl_instance **items = realloc (s->items, cap * sizeof *items);
      if (items == NULL)
        return;
      s->items = items;
      s->cap = cap;
    }
  t->servers = s;
  t->position = s->count;
  s->items[s->count++] = t;
}

/* Brings the tables up to T's record.  */
static void
index_target (struct bl_fleet *fleet, struct bl_instance *t)
{
  if (t->record.state >= BL_STATE_LEFT)
    {
      leave_place (fleet, &t->data);
      leave_place (fleet, &t->control);
      leave_service (t);
      return;
    }
  take_place (fleet, &t->data, t, bl_instance_data_address (t));
  take_place (fleet, &t->control, t, bl_instance_control_address (t));
  if (t->record.kind == BL_KIND_BACKEND)
    join_service (fleet, t);
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
  struct bl_address_entry *p = find_place (fleet, place_key (addr));

  return p != NULL ? p->target : NULL;
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

/* Of two instances at the same address the one that started last is there;
   the other is gone, in whichever order they were learnt.  */
static void
retire_older (struct bl_fleet *fleet, struct bl_instance *learnt)
{
  struct bl_address_entry *p
      = find_place (fleet, place_key (bl_instance_control_address (learnt)));
  struct bl_instance *older;

  if (p == NULL || p->target == learnt)
    return;
  older = p->target->record.incarnation < learnt->record.incarnation ? p->target
                                                                     : learnt;
  older->record.state = BL_STATE_LEFT;
  index_target (fleet, older);
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
      t->asked_ms = 0;
      t->suspect = false;
    }
  t->record = *record;
  t->service = bl_name_hash (&record->service, 0);
  if (record->state == BL_STATE_READY && t->warm_up_start_ms == 0)
    t->warm_up_start_ms = now;
  if (record->state < BL_STATE_LEFT)
    retire_older (fleet, t);
  index_target (fleet, t);
  return t->record.state < BL_STATE_LEFT ? t : NULL;
}

bool
bl_instance_is_gone (const struct bl_instance *target, uint64_t now)
{
  bool returns = target->record.state == BL_STATE_STARTING
                 && now - target->last_message_ms < BL_RESTART_MAX_MS;

  return target->unreachable && !returns;
}

void
bl_instance_note_message (struct bl_instance *target, uint64_t now)
{
  target->last_message_ms = now;
  target->asked_ms = 0;
  target->suspect = false;
  target->unreachable = false;
}

void
bl_instance_note_request (struct bl_instance *target, uint64_t now)
{
  if (target->asked_ms == 0)
    target->asked_ms = now;
}

static void
judge_target (struct bl_fleet *fleet, struct bl_instance *t, uint64_t now)
{
  uint64_t open = t->asked_ms > 0 ? now - t->asked_ms : 0;

  t->suspect = open > BL_SUSPECT_MS;
  t->unreachable = open > BL_UNREACHABLE_MS;
  if (t->record.kind != BL_KIND_BACKEND || t->record.state >= BL_STATE_LEFT)
    return;
  fleet->backend_count++;
  fleet->unreachable_count += t->unreachable ? 1 : 0;
  fleet->suspect_count += t->suspect ? 1 : 0;
  if (!t->suspect && t->last_message_ms > 0
      && now - t->last_message_ms < BL_UNREACHABLE_MS)
    fleet->responsive_count++;
}

/* After having been cut off, all silence so far is forgotten.  */
static void
regain_sight (struct bl_fleet *fleet, uint64_t now)
{
  struct bl_instance *t;
  struct bl_instance *next;

  HASH_ITER (hh, fleet->instances, t, next)
  {
    if (t->asked_ms > 0)
      t->asked_ms = now;
    t->suspect = false;
    t->unreachable = false;
  }
  fleet->unreachable_count = 0;
}

/* In a small fleet fewer answers must do.  */
static size_t
sight_needed (const struct bl_fleet *fleet)
{
  size_t some = (fleet->backend_count + 2) / 3;

  return some < BL_ISOLATION_PROBES - 2 ? some : BL_ISOLATION_PROBES - 2;
}

void
bl_fleet_update_reachability (struct bl_fleet *fleet, uint64_t now)
{
  struct bl_instance *t;
  struct bl_instance *next;
  bool was_blind = fleet->isolated;

  fleet->backend_count = 0;
  fleet->unreachable_count = 0;
  fleet->suspect_count = 0;
  fleet->responsive_count = 0;
  HASH_ITER (hh, fleet->instances, t, next)
  judge_target (fleet, t, now);
  fleet->isolated = fleet->suspect_count > 0
                    && fleet->responsive_count < sight_needed (fleet);
  if (was_blind && !fleet->isolated)
    regain_sight (fleet, now);
}

bool
bl_fleet_is_connected (const struct bl_fleet *fleet)
{
  return !fleet->isolated;
}

struct bl_addr
bl_instance_data_address (const struct bl_instance *target)
{
  return (struct bl_addr){ target->record.ip, target->record.data_port };
}

struct bl_addr
bl_instance_control_address (const struct bl_instance *target)
{
  return (struct bl_addr){ target->record.ip, target->record.control_port };
}
