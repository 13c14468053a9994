/* dispatch_state.c -- routes, completeness of the known agents, and the state
   of this balancer

   The state follows from the routes and records that the balancer holds, and is
   announced to other balancers: starting until it has routes and at least one
   agent that is not unreachable, then ready, and draining once a stop is
   requested.

   A store that was restored from an older copy shows older routes until they
   are written again, while the balancers keep the newer ones.  A balancer that
   starts then must not serve the older routes, so it is not ready until it has
   compared its routes with its peers.  */

#include "core/dispatch_inner.h"

#define LIST_SETTLE_MS        300  /* after the store's list was read */
#define ROUTES_CONFIRM_MAX_MS 1000 /* for the comparison of routes */
/* Routers ask twice a second, and stop sending after two misses.  */
#define OUT_OF_ROTATION_MS 1500
#define START_SETTLE_MS    10000 /* after a start; records have spread by then */

static const char *const counter_names[] = {
  [BL_DISPATCH_FORWARDED] = "packets_forwarded",
  [BL_DISPATCH_PLACED] = "flows_placed",
  [BL_DISPATCH_OFFERED_AGAIN] = "flows_offered_again",
  [BL_DISPATCH_REFUSED] = "flows_refused",
  [BL_DISPATCH_NO_ROUTE] = "packets_without_route",
  [BL_DISPATCH_OWNER_LOOKUPS] = "owners_asked_for",
  [BL_DISPATCH_OWNERS_FOUND] = "owners_found",
  [BL_DISPATCH_LOST] = "flows_lost",
  [BL_DISPATCH_DROPPED] = "packets_dropped",
  [BL_DISPATCH_MALFORMED] = "messages_malformed",
  [BL_DISPATCH_NO_ROOM] = "flows_without_room",
  [BL_DISPATCH_LINK_FULL] = "flows_refused_link_full",
};

int
bl_dispatch_configure (struct bl_dispatch *d,
                       uint64_t now,
                       struct bl_route_table *table)
{
  size_t kept;
  int err;

  d->now = now;
  if (d->table != NULL && table->version <= d->table->version)
    {
      bl_route_table_free (table);
      return BL_ESTALE;
    }
  err = bl_route_table_keep_unreadable (table, d->table, &kept);
  if (err == BL_OK)
    err = bl_route_table_set_former (table, d->table);
  if (err != BL_OK)
    {
      bl_route_table_free (table);
      return err;
    }
  bl_route_table_free (d->table);
  d->table = table;
  d->update_pending = true;
  bl_dispatch_log_decision (
      d, "configured", kept > 0 ? "newer_version_routes_kept" : "newer_version",
      NULL, NULL, 0);
  return BL_OK;
}

const struct bl_route_table *
bl_dispatch_table (const struct bl_dispatch *d)
{
  return d->table;
}

void
bl_dispatch_apply_record (struct bl_dispatch *d,
                          uint64_t now,
                          const struct bl_record *record)
{
  struct bl_instance *instance;

  d->now = now;
  if (bl_name_equal (&record->id, &d->settings.self.id))
    return;
  instance = bl_fleet_apply_record (&d->fleet, now, record);
  if (instance != NULL)
    bl_dispatch_log_decision (d, "instance_learnt",
                              bl_state_name (record->state), NULL, instance, 0);
}

void
bl_dispatch_list_complete (struct bl_dispatch *d, uint64_t now)
{
  d->now = now;
  if (d->list_read_ms == 0)
    d->list_read_ms = now;
}

/* Agents register in the store when they start.  The record of an agent that
   registered while the list was read arrives a moment later, hence
   LIST_SETTLE_MS.  Without the store, the set is taken to be complete if a
   peer with a complete set holds the same records, or a long time after the
   start.  */
bool
bl_dispatch_has_all_agents (const struct bl_dispatch *d)
{
  if (d->list_read_ms != 0 && d->now - d->list_read_ms >= LIST_SETTLE_MS)
    return true;
  /* STARTED_MS is 0 when a packet arrives before the first tick.  */
  return d->records_confirmed
         || (d->started_ms != 0 && d->now - d->started_ms > START_SETTLE_MS);
}

/* Returns true if the answers of other balancers, as far as they have come,
   show whether the routes held are the newest: a balancer that has been ready
   has answered, or all that the store lists have answered or are suspect.  */
static bool
peers_have_answered (const struct bl_dispatch *d)
{
  bool all = d->list_read_ms != 0;
  struct bl_instance *instance;
  struct bl_instance *next;

  HASH_ITER (hh, d->fleet.instances, instance, next)
  {
    if (instance->record.kind != BL_KIND_BALANCER
        || instance->record.state >= BL_STATE_LEFT)
      continue;
    if (instance->last_message_ms != 0
        && instance->record.state != BL_STATE_STARTING)
      return true;
    if (instance->last_message_ms == 0 && !instance->suspect)
      all = false;
  }
  return all;
}

/* Returns true if another balancer has newer routes.  */
static bool
is_behind_peer (const struct bl_dispatch *d)
{
  struct bl_instance *instance;
  struct bl_instance *next;

  HASH_ITER (hh, d->fleet.instances, instance, next)
  {
    if (instance->config_version > d->table->version)
      return true;
  }
  return false;
}

/* A store that states no era is never restored, so it shows the newest
   routes.  */
static void
update_routes_confirmed (struct bl_dispatch *d)
{
  if (d->routes_confirmed || d->table == NULL)
    return;
  d->routes_confirmed = d->store_era == 0
                        || d->now - d->started_ms > ROUTES_CONFIRM_MAX_MS
                        || (!is_behind_peer (d) && peers_have_answered (d));
}

/* At least one agent must be reachable to accept flows.  After a start no agent
   is unreachable yet, so the record of one agent is enough.  Once all agents
   are unreachable, this process is isolated.  */
bool
bl_dispatch_ready (const struct bl_dispatch *d)
{
  return d->table != NULL && (d->routes_confirmed || d->store_era == 0)
         && d->fleet.backend_count > 0
         && d->fleet.unreachable_count < d->fleet.backend_count;
}

void
bl_dispatch_publish_self (struct bl_dispatch *d, const char *reason)
{
  struct bl_record *self = &d->settings.self;

  self->seq++;
  d->update_pending = true;
  bl_store_put (d->fleet.store, self, 0);
  bl_dispatch_log_decision (d, "state", reason, NULL, NULL, 0);
}

static void
set_state (struct bl_dispatch *d, enum bl_instance_state state)
{
  if (d->settings.self.state == state)
    return;
  d->settings.self.state = state;
  bl_dispatch_publish_self (d, bl_state_name (state));
}

void
bl_dispatch_update_state (struct bl_dispatch *d)
{
  if (d->settings.self.state == BL_STATE_DRAINING)
    return;
  update_routes_confirmed (d);
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
  struct bl_instance *instance;
  struct bl_instance *next;

  HASH_ITER (hh, d->fleet.instances, instance, next)
  {
    if (instance->record.kind != BL_KIND_BALANCER
        || instance->record.state >= BL_STATE_LEFT
        || !bl_name_equal (&instance->record.dc, &d->settings.self.dc))
      continue;
    all++;
    if (instance->record.state == BL_STATE_READY && !instance->suspect)
      ready++;
  }
  /* If none is ready, the routers use other data centres.  */
  return ready == 0 || 2 * ready >= all;
}

/* Balancers that stop together wait for each other.  Each is out of rotation
   after two thirds of its grace period; the rest is for packets under way, for
   closing, and for slow machines.  */
uint64_t
bl_dispatch_latest_leave_ms (uint64_t grace_ms)
{
  uint64_t out_ms = grace_ms * 2 / 3;

  return out_ms > OUT_OF_ROTATION_MS ? out_ms - OUT_OF_ROTATION_MS : 0;
}

const struct bl_record *
bl_dispatch_own_record (const struct bl_dispatch *d)
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
service_name (const struct bl_route_entry *route, uint64_t service)
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
  const struct bl_route_entry *route
      = bl_route_table_find (d->table, key->dst_ip, key->dst_port);
  const struct bl_name *name
      = route != NULL ? service_name (route, service) : NULL;
  struct bl_dispatch_class *c;

  if (name == NULL)
    return NULL;
  for (size_t i = 0; i < d->class_count; i++)
    if (d->classes[i].service_hash == service
        && d->classes[i].priority == route->priority)
      return &d->classes[i];
  if (d->class_count == BL_DISPATCH_CLASSES_MAX)
    return &d->classes[BL_DISPATCH_CLASSES_MAX - 1];
  c = &d->classes[d->class_count++];
  c->service = *name;
  c->service_hash = service;
  c->priority = route->priority;
  return c;
}
