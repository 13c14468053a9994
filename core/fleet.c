/* fleet.c -- the instances that a balancer knows, and how they answer

   Who exists is told by versioned records, whatever way they come: the
   platform's store, seeds or peers.  Who lives is told by answers alone.  A
   question, a ping or a flow's first packet, that stays open for
   BL_SUSPECT_MS puts its target behind the others; one that stays open for
   BL_DARK_MS makes it count as gone until it is heard again.  Both are undone
   by a single message.  While questions are open and too few agents are heard,
   this process takes itself to be cut off; what was silent meanwhile proves
   nothing afterwards, so all questions start anew.  */

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
  struct bl_target *t;
  struct bl_target *next;

  HASH_ITER (hh, fleet->targets, t, next)
  {
    HASH_DEL (fleet->targets, t);
    free (t);
  }
  bl_store_free (fleet->store);
}

struct bl_target *
bl_fleet_find (const struct bl_fleet *fleet, const struct bl_name *id)
{
  struct bl_target *t;

  HASH_FIND (hh, fleet->targets, id, sizeof *id, t);
  return t;
}

struct bl_target *
bl_fleet_at (const struct bl_fleet *fleet, struct bl_addr addr)
{
  struct bl_target *t;
  struct bl_target *next;

  HASH_ITER (hh, fleet->targets, t, next)
  if (t->record.ip == addr.ip && t->record.state < BL_STATE_LEFT
      && (t->record.data_port == addr.port
          || t->record.control_port == addr.port))
    return t;
  return NULL;
}

static struct bl_target *
add (struct bl_fleet *fleet, const struct bl_record *record)
{
  struct bl_target *t = calloc (1, sizeof *t);

  if (t == NULL)
    return NULL;
  t->id = record->id;
  HASH_ADD (hh, fleet->targets, id, sizeof t->id, t);
  return t;
}

/* Of two instances at the same address the one that started last is there;
   the other is gone, in whichever order they were learnt.  */
static void
retire_older (struct bl_fleet *fleet, struct bl_target *learnt)
{
  struct bl_target *t;
  struct bl_target *next;

  HASH_ITER (hh, fleet->targets, t, next)
  {
    struct bl_target *older
        = t->record.incarnation < learnt->record.incarnation ? t : learnt;
    if (t != learnt && t->record.ip == learnt->record.ip
        && t->record.control_port == learnt->record.control_port
        && t->record.state < BL_STATE_LEFT)
      older->record.state = BL_STATE_LEFT;
  }
}

struct bl_target *
bl_fleet_learn (struct bl_fleet *fleet,
                uint64_t now,
                const struct bl_record *record)
{
  struct bl_target *t;

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
  if (record->state == BL_STATE_READY && t->warm_ms == 0)
    t->warm_ms = now;
  if (record->state < BL_STATE_LEFT)
    retire_older (fleet, t);
  return t->record.state < BL_STATE_LEFT ? t : NULL;
}

bool
bl_target_is_gone (const struct bl_target *target, uint64_t now)
{
  bool returns = target->record.state == BL_STATE_STARTING
                 && now - target->heard_ms < BL_RETURN_MS;

  return target->dark && !returns;
}

void
bl_target_heard (struct bl_target *target, uint64_t now)
{
  target->heard_ms = now;
  target->asked_ms = 0;
  target->suspect = false;
  target->dark = false;
}

void
bl_target_asked (struct bl_target *target, uint64_t now)
{
  if (target->asked_ms == 0)
    target->asked_ms = now;
}

static void
judge_target (struct bl_fleet *fleet, struct bl_target *t, uint64_t now)
{
  uint64_t open = t->asked_ms > 0 ? now - t->asked_ms : 0;

  t->suspect = open > BL_SUSPECT_MS;
  t->dark = open > BL_DARK_MS;
  if (t->record.kind != BL_KIND_BACKEND || t->record.state >= BL_STATE_LEFT)
    return;
  fleet->backend_count++;
  fleet->dark_count += t->dark ? 1 : 0;
  fleet->suspect_count += t->suspect ? 1 : 0;
  if (!t->suspect && t->heard_ms > 0 && now - t->heard_ms < BL_DARK_MS)
    fleet->heard_count++;
}

/* After having been cut off, all silence so far is forgotten.  */
static void
regain_sight (struct bl_fleet *fleet, uint64_t now)
{
  struct bl_target *t;
  struct bl_target *next;

  HASH_ITER (hh, fleet->targets, t, next)
  {
    if (t->asked_ms > 0)
      t->asked_ms = now;
    t->suspect = false;
    t->dark = false;
  }
  fleet->dark_count = 0;
}

/* In a small fleet fewer answers must do.  */
static size_t
sight_needed (const struct bl_fleet *fleet)
{
  size_t some = (fleet->backend_count + 2) / 3;

  return some < BL_SIGHT_AGENTS - 2 ? some : BL_SIGHT_AGENTS - 2;
}

void
bl_fleet_judge (struct bl_fleet *fleet, uint64_t now)
{
  struct bl_target *t;
  struct bl_target *next;
  bool was_blind = fleet->blind;

  fleet->backend_count = 0;
  fleet->dark_count = 0;
  fleet->suspect_count = 0;
  fleet->heard_count = 0;
  HASH_ITER (hh, fleet->targets, t, next)
  judge_target (fleet, t, now);
  fleet->blind
      = fleet->suspect_count > 0 && fleet->heard_count < sight_needed (fleet);
  if (was_blind && !fleet->blind)
    regain_sight (fleet, now);
}

bool
bl_fleet_sees (const struct bl_fleet *fleet)
{
  return !fleet->blind;
}
struct bl_addr
bl_target_data (const struct bl_target *target)
{
  return (struct bl_addr){ target->record.ip, target->record.data_port };
}

struct bl_addr
bl_target_control (const struct bl_target *target)
{
  return (struct bl_addr){ target->record.ip, target->record.control_port };
}
