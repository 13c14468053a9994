/* dispatch_members.c -- status of the other instances, and control messages

   Every instance is sent status requests in turn.  The interval grows with the
   number of instances, so that the traffic of a balancer stays within
   STATUS_BYTES_PER_S whatever the size of the fleet.  An instance that has left
   a request unanswered is sent another after a short interval.  A balancer
   whose routes or own record have changed announces that to all other balancers
   at once.  Agents are told of a new era of the platform's store and of another
   idle time of flows, each at a random time within the usual interval between
   two requests to it.  dispatch_compare.c handles differences between the
   records of two balancers.  */

#include "core/dispatch_inner.h"

#include <stdlib.h>
#include <string.h>

#define STATUS_BYTES_PER_S    1500 /* requests and replies; half the budget */
#define STATUS_EXCHANGE_BYTES 110  /* one request with its reply */
/* Intervals between status requests to the same instance: the shortest in
   general; to a suspect; to an unreachable instance; and, while there are
   suspects, to the agents whose replies show that this process is not
   isolated.  */
#define STATUS_INTERVAL_MIN_MS      400
#define SUSPECT_INTERVAL_MS         120
#define UNREACHABLE_INTERVAL_MS     1000
#define ISOLATION_PROBE_INTERVAL_MS 300

#define SEED_INTERVAL_MS        1000 /* between messages to the seeds */
#define ROUTES_PULL_INTERVAL_MS 250  /* between two pulls of routes */

void
bl_members_send (struct bl_dispatch *d, struct bl_addr to, struct bl_msg *msg)
{
  msg->from = d->settings.self.id;
  if (bl_msg_encode (msg, &d->buffer) == BL_OK)
    d->ops.send (d->ctx, to, d->buffer.ptr, d->buffer.len);
}

/* Sets the fields by which other balancers compare their state with the state
   of this balancer.  */
static void
set_versions (const struct bl_dispatch *d, struct bl_msg *msg)
{
  msg->config_version = d->table != NULL ? d->table->version : 0;
  msg->digest = bl_store_digest (d->fleet.store);
  msg->store_era = d->store_era;
  msg->idle_ms = d->table != NULL ? d->table->idle_ms : 0;
  msg->affirmative = bl_dispatch_has_all_agents (d);
}

void
bl_members_request_status (struct bl_dispatch *d, struct bl_instance *instance)
{
  struct bl_msg msg = {
    .type = BL_MSG_STATUS_QUERY,
    .subject = instance->id,
    .seq = instance->record.seq,
    .incarnation = instance->record.incarnation,
  };

  if (instance->record.kind == BL_KIND_BALANCER)
    {
      msg.record_count = 1;
      msg.records = &d->settings.self;
    }
  set_versions (d, &msg);
  instance->status_request_ms = d->now;
  bl_instance_note_request (instance, d->now);
  bl_members_send (d, bl_instance_control_address (instance), &msg);
}

/* Sends the status of this balancer to the seeds, except those that are tracked
   as instances already or have the address of this balancer.  */
static void
send_to_seeds (struct bl_dispatch *d)
{
  struct bl_msg msg = {
    .type = BL_MSG_STATUS,
    .record_count = 1,
    .records = &d->settings.self,
  };

  if (d->now < d->next_seed_ms)
    return;
  d->next_seed_ms = d->now + SEED_INTERVAL_MS;
  set_versions (d, &msg);
  for (size_t i = 0; i < d->settings.seed_count; i++)
    if (bl_fleet_find_by_address (&d->fleet, d->settings.seeds[i]) == NULL
        && d->settings.seeds[i].ip != d->settings.self.ip)
      bl_members_send (d, d->settings.seeds[i], &msg);
}

/* While agents are suspect, a few others are queried often because their
   replies show that this process is not isolated.  Returns true when INSTANCE
   is such a probe; *LEFT is the number of agents still to be selected.  */
static bool
is_isolation_probe (const struct bl_dispatch *d,
                    const struct bl_instance *instance,
                    size_t *left)
{
  if (d->fleet.suspect_count == 0 || *left == 0 || instance->suspect
      || instance->record.kind != BL_KIND_BACKEND)
    return false;
  --*left;
  return true;
}

/* Returns the interval between status requests to an instance that replies.  */
static uint64_t
usual_interval (const struct bl_dispatch *d)
{
  uint64_t ms = HASH_COUNT (d->fleet.instances) * STATUS_EXCHANGE_BYTES * 1000
                / STATUS_BYTES_PER_S;

  return ms < STATUS_INTERVAL_MIN_MS ? STATUS_INTERVAL_MIN_MS : ms;
}

static uint64_t
status_interval (const struct bl_dispatch *d,
                 const struct bl_instance *instance,
                 bool is_isolation_probe)
{
  if (instance->unreachable && !d->fleet.isolated)
    return UNREACHABLE_INTERVAL_MS;
  if (instance->suspect)
    return SUSPECT_INTERVAL_MS;
  if (is_isolation_probe)
    return ISOLATION_PROBE_INTERVAL_MS;
  return usual_interval (d);
}

void
bl_dispatch_note_store_era (struct bl_dispatch *d, uint64_t now, uint64_t era)
{
  struct bl_instance *instance;
  struct bl_instance *next;

  d->now = now;
  if (era <= d->store_era)
    return;
  d->store_era = era;
  HASH_ITER (hh, d->fleet.instances, instance, next)
  instance->tell_ms
      = now + bl_random_below (&d->random, (uint32_t)usual_interval (d));
  bl_dispatch_log_decision (d, "store_era", "later_era", NULL, NULL, 0);
}

/* Returns true when INSTANCE is an agent that is to be told of a later era of
   the store or of another idle time of flows.  A lost request is repeated after
   the usual interval.  */
static bool
must_tell (struct bl_dispatch *d, struct bl_instance *instance)
{
  bool idle_differs = d->table != NULL && d->table->idle_ms != 0
                      && instance->idle_ms != d->table->idle_ms;

  if (instance->record.kind != BL_KIND_BACKEND
      || (instance->store_era >= d->store_era && !idle_differs)
      || instance->unreachable || d->now < instance->tell_ms)
    return false;
  instance->tell_ms = d->now + usual_interval (d);
  return true;
}

/* Pulls the routes of a peer that has newer routes.  A pull may be lost, so it
   is repeated for as long as the peer is ahead.  */
static void
pull_routes (struct bl_dispatch *d, struct bl_instance *peer)
{
  uint64_t version = d->table != NULL ? d->table->version : 0;

  if (peer->config_version <= version || d->now < d->next_routes_pull_ms)
    return;
  d->next_routes_pull_ms = d->now + ROUTES_PULL_INTERVAL_MS;
  bl_dispatch_log_decision (d, "routes_pulled", "peer_is_ahead", NULL, peer,
                            d->now - peer->last_message_ms);
  d->ops.pull (d->ctx, peer);
}

void
bl_members_tick (struct bl_dispatch *d)
{
  size_t isolation_probes_left = BL_ISOLATION_PROBES;
  struct bl_instance *instance;
  struct bl_instance *next;

  send_to_seeds (d);
  HASH_ITER (hh, d->fleet.instances, instance, next)
  {
    /* A message about a flow counts like a reply to a status request.  */
    uint64_t last = instance->last_message_ms > instance->status_request_ms
                        ? instance->last_message_ms
                        : instance->status_request_ms;
    bool has_update
        = d->update_pending && instance->record.kind == BL_KIND_BALANCER;
    bool isolation_probe;
    if (instance->record.state == BL_STATE_LEFT)
      continue;
    isolation_probe = is_isolation_probe (d, instance, &isolation_probes_left);
    if (has_update || must_tell (d, instance)
        || d->now - last >= status_interval (d, instance, isolation_probe))
      bl_members_request_status (d, instance);
    if (instance->record.kind == BL_KIND_BALANCER && !instance->suspect)
      pull_routes (d, instance);
  }
  d->update_pending = false;
  bl_compare_tick (d);
}

static void
apply_records (struct bl_dispatch *d, const struct bl_msg *msg)
{
  for (size_t i = 0; i < msg->record_count; i++)
    bl_dispatch_apply_record (d, d->now, &msg->records[i]);
}

static void
on_status (struct bl_dispatch *d,
           struct bl_instance *instance,
           const struct bl_msg *msg)
{
  bl_fleet_note_message (&d->fleet, instance, d->now);
  if (instance->record.kind == BL_KIND_BALANCER)
    {
      instance->config_version = msg->config_version;
      pull_routes (d, instance);
      bl_compare_on_digest (d, instance, msg);
      return;
    }
  /* The digest in an agent's status is the start time of its backend
     server.  */
  instance->busy = msg->load;
  instance->flows = msg->flows;
  instance->placed_since_report = 0;
  instance->store_era = msg->store_era;
  instance->idle_ms = msg->idle_ms;
  if (msg->digest == 0)
    return;
  if (instance->backend_start != 0 && instance->backend_start != msg->digest)
    {
      bl_dispatch_log_decision (d, "backend_restarted", "later_start", NULL,
                                instance, 0);
      instance->warm_up_start_ms = d->now;
    }
  instance->backend_start = msg->digest;
}

/* Supersedes a record with a later incarnation that the sender of REQUEST holds
   for this address: a record from before the clock was set back, or of an
   instance that no longer exists.  */
static void
supersede (struct bl_dispatch *d, const struct bl_msg *request)
{
  struct bl_record *self = &d->settings.self;

  if (!bl_record_is_superseded (self, request->incarnation))
    return;
  self->incarnation = request->incarnation + 1;
  bl_dispatch_publish_self (d, "record_of_later_start");
}

static void
reply_status (struct bl_dispatch *d,
              struct bl_addr from,
              const struct bl_msg *request)
{
  const struct bl_record *self = &d->settings.self;
  struct bl_msg msg = { .type = BL_MSG_STATUS };

  set_versions (d, &msg);
  if (request->incarnation != self->incarnation || request->seq != self->seq)
    {
      msg.record_count = 1;
      msg.records = &d->settings.self;
    }
  bl_members_send (d, from, &msg);
}

int
bl_members_message (struct bl_dispatch *d,
                    struct bl_addr from,
                    const struct bl_msg *msg)
{
  struct bl_instance *instance;

  switch (msg->type)
    {
    case BL_MSG_STATUS_QUERY:
    case BL_MSG_STATUS:
      apply_records (d, msg);
      instance = bl_fleet_find (&d->fleet, &msg->from);
      if (instance != NULL)
        on_status (d, instance, msg);
      if (msg->type == BL_MSG_STATUS_QUERY)
        {
          supersede (d, msg);
          reply_status (d, from, msg);
        }
      return BL_OK;
    case BL_MSG_PULL_RECORDS:
      return bl_compare_send_records (d, from, msg);
    case BL_MSG_RECORDS:
      apply_records (d, msg);
      return BL_OK;
    default:
      return BL_EFORMAT;
    }
}
