/* dispatch_members.c -- who else is there, and what they say

   Every instance is asked for its status in turn; the interval grows with
   their number, so that what a balancer sends and gets stays within
   STATUS_BYTES_S whatever the size of the fleet.  An instance that has left a
   question open is asked again soon.  Balancers tell each other at once that
   they have newer routes, and send each other their records when the digests
   differ, so one of them that knows an instance is enough.  */

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
#define SHARE_MIN_MS    500  /* between sendings of records */
#define SHARE_BYTES_S   8000 /* of records, while digests differ */
#define RECORD_BYTES    120  /* of one record in a message */
#define PULL_MS         250  /* between two pulls of routes */
#define SHARE_RECORDS   8    /* records that fit a datagram */

static void
send_msg (struct bl_dispatch *d, struct bl_addr to, struct bl_msg *msg)
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
  msg->yes = bl_dispatch_knows_all (d);
}

static void
ask_status (struct bl_dispatch *d, struct bl_target *t)
{
  struct bl_msg msg = {
    .type = BL_MSG_HELLO,
    .about = t->id,
    .seq = t->record.seq,
    .incarnation = t->record.incarnation,
  };

  if (t->record.kind == BL_KIND_MEMBER)
    {
      msg.record_count = 1;
      msg.records = &d->settings.self;
    }
  tell_versions (d, &msg);
  t->pinged_ms = d->now;
  bl_target_asked (t, d->now);
  send_msg (d, bl_target_control (t), &msg);
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
      send_msg (d, d->settings.seeds[i], &msg);
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
pull_if_behind (struct bl_dispatch *d, struct bl_target *peer)
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
    bool told = d->has_news && t->record.kind == BL_KIND_MEMBER;
    bool sight;
    if (t->record.state >= BL_STATE_LEFT)
      continue;
    sight = shows_sight (d, t, &sight_left);
    if (told || d->now - last >= interval_of (d, t, sight))
      ask_status (d, t);
    if (t->record.kind == BL_KIND_MEMBER && !t->suspect)
      pull_if_behind (d, t);
  }
  d->has_news = false;
}

/* Sends all records held to a peer that holds others.  */
struct share
{
  struct bl_dispatch *d;
  struct bl_addr to;
  size_t count;
  struct bl_record records[SHARE_RECORDS];
};

static void
flush_share (struct share *s)
{
  struct bl_msg msg = {
    .type = BL_MSG_RECORDS,
    .record_count = s->count,
    .records = s->records,
  };

  if (s->count > 0)
    send_msg (s->d, s->to, &msg);
  s->count = 0;
}

static void
add_share (void *ctx, const struct bl_record *r)
{
  struct share *s = ctx;

  s->records[s->count++] = *r;
  if (s->count == SHARE_RECORDS)
    flush_share (s);
}

/* In a large fleet something always changes; the store's watch brings it, and
   sending all records is for when that fails.  */
static uint64_t
share_interval_ms (const struct bl_dispatch *d)
{
  uint64_t ms = (uint64_t)HASH_COUNT (d->fleet.targets) * RECORD_BYTES * 1000
                / SHARE_BYTES_S;

  return ms < SHARE_MIN_MS ? SHARE_MIN_MS : ms;
}

static void
share_records (struct bl_dispatch *d, struct bl_addr to)
{
  struct share s = { .d = d, .to = to };

  if (d->now < d->next_share_ms)
    return;
  d->next_share_ms = d->now + share_interval_ms (d);
  bl_store_each (d->fleet.store, BL_KIND_MEMBER, add_share, &s);
  bl_store_each (d->fleet.store, BL_KIND_BACKEND, add_share, &s);
  flush_share (&s);
}

static void
learn_all (struct bl_dispatch *d, const struct bl_msg *msg)
{
  for (size_t i = 0; i < msg->record_count; i++)
    bl_dispatch_learn (d, d->now, &msg->records[i]);
}

/* What another balancer says of its routes and records.  */
static void
compare_with (struct bl_dispatch *d,
              struct bl_target *peer,
              struct bl_addr from,
              const struct bl_msg *msg)
{
  peer->config_version = msg->config_version;
  pull_if_behind (d, peer);
  if (msg->digest != bl_store_digest (d->fleet.store))
    share_records (d, from);
  else if (msg->yes)
    d->vouched = true;
}

static void
on_status (struct bl_dispatch *d,
           struct bl_addr from,
           struct bl_target *t,
           const struct bl_msg *msg)
{
  bl_target_heard (t, d->now);
  if (t->record.kind == BL_KIND_MEMBER)
    {
      compare_with (d, t, from, msg);
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
  send_msg (d, from, &msg);
}

int
bl_members_message (struct bl_dispatch *d,
                    struct bl_addr from,
                    const struct bl_msg *msg)
{
  struct bl_target *t;

  if (msg->type != BL_MSG_HELLO && msg->type != BL_MSG_STATUS
      && msg->type != BL_MSG_RECORDS)
    return BL_EFORMAT;
  learn_all (d, msg);
  t = bl_fleet_find (&d->fleet, &msg->from);
  if (t != NULL && msg->type != BL_MSG_RECORDS)
    on_status (d, from, t, msg);
  if (msg->type == BL_MSG_HELLO)
    answer_status (d, from, msg);
  return BL_OK;
}
