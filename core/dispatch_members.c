/* dispatch_members.c -- who else is there, and what they say

   Every instance is asked for its status in turn; the interval grows with
   their number, so that what a balancer sends and gets stays within
   STATUS_BYTES_S whatever the size of the fleet.  An instance that has left a
   question open is asked again soon.  Balancers tell each other at once that
   they have newer routes; dispatch_compare.c has what they do about different
   records.  */

#include "core/dispatch_inner.h"

#include <stdlib.h>
#include <string.h>

#define STATUS_BYTES_S  1500 /* of questions and answers, half the budget */
#define STATUS_BYTES    110  /* of one question with its answer */
#define STATUS_MIN_MS   400  /* between questions to the same instance */
#define SUSPECT_PING_MS 120  /* the same while one is open */
#define DARK_PING_MS    1000 /* the same once it counts as gone */
#define SIGHT_PING_MS   300  /* of those whose answers show own sight */
#define SEED_MS         1000 /* between questions to the seeds */
#define PULL_MS         250  /* between two pulls of routes */

void
bl_members_send (struct bl_dispatch *d, struct bl_addr to, struct bl_msg *msg)
{
  msg->from = d->settings.self.id;
  if (bl_msg_encode (msg, &d->buffer) == BL_OK)
    d->ops.send (d->ctx, to, d->buffer.ptr, d->buffer.len);
}

/* What every message to another balancer tells of this one.  */
static void
tell_versions (const struct bl_dispatch *d, struct bl_msg *msg)
{
  msg->config_version = d->table != NULL ? d->table->version : 0;
  msg->digest = bl_store_digest (d->fleet.store);
  msg->affirmative = bl_dispatch_knows_all (d);
}

void
bl_members_ask (struct bl_dispatch *d, struct bl_target *t)
{
  struct bl_msg msg = {
    .type = BL_MSG_STATUS_QUERY,
    .subject = t->id,
    .seq = t->record.seq,
    .incarnation = t->record.incarnation,
  };

  if (t->record.kind == BL_KIND_BALANCER)
    {
      msg.record_count = 1;
      msg.records = &d->settings.self;
    }
  tell_versions (d, &msg);
  t->pinged_ms = d->now;
  bl_target_asked (t, d->now);
  bl_members_send (d, bl_target_control (t), &msg);
}

static void
ask_seeds (struct bl_dispatch *d)
{
  struct bl_msg msg = {
    .type = BL_MSG_STATUS,
    .record_count = 1,
    .records = &d->settings.self,
  };

  if (d->now < d->next_seed_ms)
    return;
  d->next_seed_ms = d->now + SEED_MS;
  tell_versions (d, &msg);
  for (size_t i = 0; i < d->settings.seed_count; i++)
    if (bl_fleet_at (&d->fleet, d->settings.seeds[i]) == NULL
        && d->settings.seeds[i].ip != d->settings.self.ip)
      bl_members_send (d, d->settings.seeds[i], &msg);
}

/* Whether T is one of the few whose answers show that this process is not cut
   off; *LEFT counts them down.  */
static bool
shows_sight (const struct bl_dispatch *d,
             const struct bl_target *t,
             size_t *left)
{
  if (d->fleet.suspect_count == 0 || *left == 0 || t->suspect
      || t->record.kind != BL_KIND_BACKEND)
    return false;
  --*left;
  return true;
}

static uint64_t
interval_of (const struct bl_dispatch *d,
             const struct bl_target *t,
             bool shows_sight)
{
  uint64_t ms
      = HASH_COUNT (d->fleet.targets) * STATUS_BYTES * 1000 / STATUS_BYTES_S;

  if (t->dark && !d->fleet.blind)
    return DARK_PING_MS;
  if (t->suspect)
    return SUSPECT_PING_MS;
  if (shows_sight)
    return SIGHT_PING_MS;
  return ms < STATUS_MIN_MS ? STATUS_MIN_MS : ms;
}

/* A pull may be lost: it is made again for as long as the peer is ahead.  */
static void
pull_routes (struct bl_dispatch *d, struct bl_target *peer)
{
  uint64_t version = d->table != NULL ? d->table->version : 0;

  if (peer->config_version <= version || d->now < d->next_pull_ms)
    return;
  d->next_pull_ms = d->now + PULL_MS;
  bl_dispatch_note (d, "routes_pulled", "peer_is_ahead", NULL, peer,
                    d->now - peer->heard_ms);
  d->ops.pull (d->ctx, peer);
}

void
bl_members_tick (struct bl_dispatch *d)
{
  size_t sight_left = BL_SIGHT_AGENTS;
  struct bl_target *t;
  struct bl_target *next;

  ask_seeds (d);
  HASH_ITER (hh, d->fleet.targets, t, next)
  {
    /* What was heard on a flow's behalf is as good as an answer.  */
    uint64_t last = t->heard_ms > t->pinged_ms ? t->heard_ms : t->pinged_ms;
    bool told = d->has_news && t->record.kind == BL_KIND_BALANCER;
    bool sight;
    if (t->record.state >= BL_STATE_LEFT)
      continue;
    sight = shows_sight (d, t, &sight_left);
    if (told || d->now - last >= interval_of (d, t, sight))
      bl_members_ask (d, t);
    if (t->record.kind == BL_KIND_BALANCER && !t->suspect)
      pull_routes (d, t);
  }
  d->has_news = false;
  bl_compare_tick (d);
}

static void
learn_all (struct bl_dispatch *d, const struct bl_msg *msg)
{
  for (size_t i = 0; i < msg->record_count; i++)
    bl_dispatch_learn (d, d->now, &msg->records[i]);
}

static void
on_status (struct bl_dispatch *d, struct bl_target *t, const struct bl_msg *msg)
{
  bl_target_heard (t, d->now);
  if (t->record.kind == BL_KIND_BALANCER)
    {
      t->config_version = msg->config_version;
      pull_routes (d, t);
      bl_compare_digest (d, t, msg);
      return;
    }
  t->busy = msg->load;
  t->flows = msg->flows;
  t->placed = 0;
  if (msg->digest == 0)
    return;
  if (t->born != 0 && t->born != msg->digest)
    {
      bl_dispatch_note (d, "backend_restarted", "later_start", NULL, t, 0);
      t->warm_ms = d->now;
    }
  t->born = msg->digest;
}

/* The asker holds a record of a later start for this address: one from before
   the clock was set back, or of an instance that is no more.  */
static void
outdo (struct bl_dispatch *d, const struct bl_msg *question)
{
  struct bl_record *self = &d->settings.self;

  if (!bl_record_is_superseded (self, question->incarnation))
    return;
  self->incarnation = question->incarnation + 1;
  bl_dispatch_tell_self (d, "record_of_later_start");
}

static void
answer_status (struct bl_dispatch *d,
               struct bl_addr from,
               const struct bl_msg *question)
{
  const struct bl_record *self = &d->settings.self;
  struct bl_msg msg = { .type = BL_MSG_STATUS };

  tell_versions (d, &msg);
  if (question->incarnation != self->incarnation || question->seq != self->seq)
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
  struct bl_target *t;

  switch (msg->type)
    {
    case BL_MSG_STATUS_QUERY:
    case BL_MSG_STATUS:
      learn_all (d, msg);
      t = bl_fleet_find (&d->fleet, &msg->from);
      if (t != NULL)
        on_status (d, t, msg);
      if (msg->type == BL_MSG_STATUS_QUERY)
        {
          outdo (d, msg);
          answer_status (d, from, msg);
        }
      return BL_OK;
    case BL_MSG_PULL_RECORDS:
      return bl_compare_answer (d, from, msg);
    case BL_MSG_RECORDS:
      learn_all (d, msg);
      return BL_OK;
    default:
      return BL_EFORMAT;
    }
}
