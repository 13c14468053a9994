/* fleet.c -- the instances that a balancer tracks, and their reachability

   Which instances exist follows from versioned records of the platform's store,
   of seeds or of peers.  Which instances are alive follows only from their
   messages.  A status request, an owner query or an offer that is unanswered
   for BL_SUSPECT_MS makes its instance suspect, and others are preferred; after
   BL_UNREACHABLE_MS the instance counts as gone until it sends a message.  A
   single message clears both states.  While requests are unanswered and too few
   agents respond, this process assumes that it is itself cut off from the
   network.  Silence during that time is no evidence about other instances, so
   all time-outs start anew when the isolation ends.

   Instances are looked up by address for each message received, and by service
   for each new flow.  Both tables are updated as records arrive, so that the
   cost of a lookup does not grow with the fleet.  */

#include "core/fleet.h"

#include <stdlib.h>

#define REPLY_WEIGHT 0.125 /* of the latest reply time in the mean */
#define REPLY_FACTOR 4     /* mean reply times added to BL_UNREACHABLE_MS */
#define REPLY_MAX_MS 2000  /* a longer reply time counts as this */

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
  struct bl_instance *instance;
  struct bl_instance *next;

  HASH_CLEAR (hh, fleet->by_address);
  HASH_ITER (hh, fleet->services, agents, next_agents)
  {
    HASH_DEL (fleet->services, agents);
    free (agents->items);
    free (agents);
  }
  HASH_ITER (hh, fleet->instances, instance, next)
  {
    HASH_DEL (fleet->instances, instance);
    free (instance);
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
  struct bl_address_entry *entry;

  HASH_FIND (hh, fleet->by_address, &key, sizeof key, entry);
  return entry;
}

static void
remove_address (struct bl_fleet *fleet, struct bl_address_entry *entry)
{
  if (entry->key == 0 || fleet->by_address == NULL)
    return;
  HASH_DELETE (hh, fleet->by_address, entry);
  entry->key = 0;
}

/* Maps ADDR to INSTANCE, and to no other instance any longer.  */
static void
set_address (struct bl_fleet *fleet,
             struct bl_address_entry *entry,
             struct bl_instance *instance,
             struct bl_addr addr)
{
  uint64_t key = address_key (addr);
  struct bl_address_entry *before = find_address (fleet, key);

  if (before == entry)
    return;
  if (before != NULL)
    remove_address (fleet, before);
  remove_address (fleet, entry);
  entry->key = key;
  entry->instance = instance;
  HASH_ADD (hh, fleet->by_address, key, sizeof entry->key, entry);
}

/* -- by service -- */

const struct bl_service_agents *
bl_fleet_service_agents (const struct bl_fleet *fleet, uint64_t service)
{
  struct bl_service_agents *agents;

  HASH_FIND (hh, fleet->services, &service, sizeof service, agents);
  return agents;
}

static struct bl_service_agents *
get_agents (struct bl_fleet *fleet, uint64_t service)
{
  struct bl_service_agents *agents
      = (struct bl_service_agents *)bl_fleet_service_agents (fleet, service);

  if (agents != NULL)
    return agents;
  agents = calloc (1, sizeof *agents);
  if (agents == NULL)
    return NULL;
  agents->service = service;
  HASH_ADD (hh, fleet->services, service, sizeof agents->service, agents);
  return agents;
}

static void
remove_from_service (struct bl_instance *instance)
{
  struct bl_service_agents *agents = instance->agents;

  if (agents == NULL)
    return;
  agents->items[instance->position] = agents->items[--agents->count];
  agents->items[instance->position]->position = instance->position;
  instance->agents = NULL;
}

static void
add_to_service (struct bl_fleet *fleet, struct bl_instance *instance)
{
  struct bl_service_agents *agents = get_agents (fleet, instance->service);

  if (agents == NULL || agents == instance->agents)
    return;
  remove_from_service (instance);
  if (agents->count == agents->cap)
    {
      size_t cap = agents->cap > 0 ? agents->cap * 2 : 8;
      struct bl_instance **items = realloc (agents->items, cap * sizeof *items);
      if (items == NULL)
        return;
      agents->items = items;
      agents->cap = cap;
    }
  instance->agents = agents;
  instance->position = agents->count;
  agents->items[agents->count++] = instance;
}

/* Updates both tables from the record of INSTANCE.  An agent whose server died
   stays in them: the server may have started again, and the agent owns flows by
   the time that its record arrives here.  */
static void
update_tables (struct bl_fleet *fleet, struct bl_instance *instance)
{
  if (instance->record.state == BL_STATE_LEFT)
    {
      remove_address (fleet, &instance->data_entry);
      remove_address (fleet, &instance->control_entry);
      remove_from_service (instance);
      return;
    }
  set_address (fleet, &instance->data_entry, instance,
               bl_instance_data_address (instance));
  set_address (fleet, &instance->control_entry, instance,
               bl_instance_control_address (instance));
  if (instance->record.kind == BL_KIND_BACKEND)
    add_to_service (fleet, instance);
}

struct bl_instance *
bl_fleet_find (const struct bl_fleet *fleet, const struct bl_name *id)
{
  struct bl_instance *instance;

  HASH_FIND (hh, fleet->instances, id, sizeof *id, instance);
  return instance;
}

struct bl_instance *
bl_fleet_find_by_address (const struct bl_fleet *fleet, struct bl_addr addr)
{
  struct bl_address_entry *entry = find_address (fleet, address_key (addr));

  return entry != NULL ? entry->instance : NULL;
}

static struct bl_instance *
add (struct bl_fleet *fleet, const struct bl_record *record)
{
  struct bl_instance *instance = calloc (1, sizeof *instance);

  if (instance == NULL)
    return NULL;
  instance->id = record->id;
  instance->id_hash = bl_name_hash (&record->id, 0);
  HASH_ADD (hh, fleet->instances, id, sizeof instance->id, instance);
  return instance;
}

/* Of two instances with the same address only the one that started last still
   runs.  The other is marked as left; records may arrive in either order.  */
static void
retire_older (struct bl_fleet *fleet, struct bl_instance *updated)
{
  struct bl_address_entry *entry = find_address (
      fleet, address_key (bl_instance_control_address (updated)));
  struct bl_instance *older;

  if (entry == NULL || entry->instance == updated)
    return;
  older = entry->instance->record.incarnation < updated->record.incarnation
              ? entry->instance
              : updated;
  older->record.state = BL_STATE_LEFT;
  update_tables (fleet, older);
}

struct bl_instance *
bl_fleet_apply_record (struct bl_fleet *fleet,
                       uint64_t now,
                       const struct bl_record *record)
{
  struct bl_instance *instance;

  bl_store_set_time (fleet->store, now);
  if (bl_store_put (fleet->store, record, 0) != 1)
    return NULL;
  instance = bl_fleet_find (fleet, &record->id);
  if (instance == NULL)
    instance = add (fleet, record);
  if (instance == NULL)
    return NULL;
  if (instance->record.incarnation != record->incarnation)
    {
      instance->placed_since_report = 0;
      instance->unanswered_since_ms = 0;
      instance->suspect = false;
    }
  instance->record = *record;
  instance->record_ms = now;
  instance->service = bl_name_hash (&record->service, 0);
  if (record->state == BL_STATE_READY && instance->warm_up_start_ms == 0)
    instance->warm_up_start_ms = now;
  if (record->state != BL_STATE_LEFT)
    retire_older (fleet, instance);
  update_tables (fleet, instance);
  return instance->record.state < BL_STATE_LEFT ? instance : NULL;
}

bool
bl_instance_is_gone (const struct bl_instance *instance, uint64_t now)
{
  uint64_t known_ms = instance->last_message_ms > instance->record_ms
                          ? instance->last_message_ms
                          : instance->record_ms;
  bool restarting = instance->record.state == BL_STATE_STARTING
                    && now - known_ms < BL_RESTART_MAX_MS;

  return instance->unreachable && !restarting;
}

void
bl_fleet_note_message (struct bl_fleet *fleet,
                       struct bl_instance *instance,
                       uint64_t now)
{
  uint64_t reply_ms = instance->unanswered_since_ms > 0
                          ? now - instance->unanswered_since_ms
                          : 0;

  if (reply_ms > REPLY_MAX_MS)
    reply_ms = REPLY_MAX_MS;
  if (instance->unanswered_since_ms > 0)
    fleet->reply_ms += REPLY_WEIGHT * ((double)reply_ms - fleet->reply_ms);
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
                     struct bl_instance *instance,
                     uint64_t now)
{
  uint64_t unanswered_ms = instance->unanswered_since_ms > 0
                               ? now - instance->unanswered_since_ms
                               : 0;

  instance->suspect = unanswered_ms > BL_SUSPECT_MS;
  instance->unreachable = (double)unanswered_ms
                          > BL_UNREACHABLE_MS + REPLY_FACTOR * fleet->reply_ms;
  if (instance->record.kind != BL_KIND_BACKEND
      || instance->record.state >= BL_STATE_LEFT)
    return;
  fleet->backend_count++;
  fleet->unreachable_count += instance->unreachable ? 1 : 0;
  fleet->suspect_count += instance->suspect ? 1 : 0;
  if (!instance->suspect && instance->last_message_ms > 0
      && now - instance->last_message_ms < BL_UNREACHABLE_MS)
    fleet->responsive_count++;
}

/* Restarts the time-outs of all unanswered requests when the isolation of this
   process has ended.  */
static void
restart_timeouts (struct bl_fleet *fleet, uint64_t now)
{
  struct bl_instance *instance;
  struct bl_instance *next;

  HASH_ITER (hh, fleet->instances, instance, next)
  {
    if (instance->unanswered_since_ms > 0)
      instance->unanswered_since_ms = now;
    instance->suspect = false;
    instance->unreachable = false;
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
  struct bl_instance *instance;
  struct bl_instance *next;
  bool was_isolated = fleet->isolated;

  fleet->backend_count = 0;
  fleet->unreachable_count = 0;
  fleet->suspect_count = 0;
  fleet->responsive_count = 0;
  HASH_ITER (hh, fleet->instances, instance, next)
  update_reachability (fleet, instance, now);
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
