/* own_record.c -- when the membership record of this instance is written to the
   platform's store, and when the store is checked for it

   A changed record is written on the condition of the revision that it
   replaces, so a write that takes effect late cannot bring back an older
   record.  After a conflict the write is repeated with the revision that the
   store reports; failures are retried with back-off.

   A store that was restored from an older copy begins a new era.  The copy may
   lack the last writes, and the revision held means another change in it.  So
   the record is read before it is written again, and written only if the store
   lacks it.

   Load pattern: all instances hear of a new era within a second.  The copy is
   some seconds old, so it lacks the few records that were written since; only
   these are checked at once.  All others are checked in the course of
   CHECK_SPREAD_MS.  A write of the old era whose answer was lost may take
   effect after the restore, if its condition holds again, so a record that was
   checked at once is checked once more.  */

#include "core/own_record.h"

#define COPY_AGE_MAX_MS  60000  /* age that a copy of the store may have */
#define CHECK_AT_ONCE_MS 500    /* spread of the checks of recent records */
#define CHECK_AGAIN_MS   10000  /* by then late writes have taken effect */
#define CHECK_SPREAD_MS  120000 /* spread of all other checks */
#define BACKOFF_MIN_MS   200
#define BACKOFF_MAX_MS   2000
#define UNCONFIRMED_MAX  4 /* checks that are answered in an earlier era */

static const char *const finding_names[] = {
  [BL_OWN_RECORD_KEPT] = "kept",
  [BL_OWN_RECORD_MISSING] = "missing",
  [BL_OWN_RECORD_OUTDATED] = "outdated",
  [BL_OWN_RECORD_SUPERSEDED] = "superseded",
};

const char *
bl_own_record_finding_name (enum bl_own_record_finding finding)
{
  return finding_names[finding];
}

void
bl_own_record_changed (struct bl_own_record *o)
{
  o->dirty = true;
}

static void
schedule_late_check (struct bl_own_record *o, uint64_t now)
{
  o->check_again = false;
  o->check_ms
      = now + CHECK_AGAIN_MS + bl_random_below (&o->random, CHECK_SPREAD_MS);
}

static void
schedule_check (struct bl_own_record *o, uint64_t now)
{
  if (now - o->written_ms > COPY_AGE_MAX_MS)
    {
      schedule_late_check (o, now);
      return;
    }
  o->check_again = true;
  o->check_ms = now + 1 + bl_random_below (&o->random, CHECK_AT_ONCE_MS);
}

bool
bl_own_record_note_era (struct bl_own_record *o, uint64_t now, uint64_t era)
{
  if (era <= o->newest_era)
    return false;
  o->newest_era = era;
  if (o->era == 0 || era <= o->era)
    return false;
  schedule_check (o, now);
  return true;
}

enum bl_own_record_action
bl_own_record_next (struct bl_own_record *o, uint64_t now, uint64_t *due_ms)
{
  /* The revision held belongs to an earlier era.  */
  bool outdated = o->revision != 0 && o->era < o->newest_era;

  *due_ms = o->dirty ? now : o->check_ms;
  if (*due_ms == 0)
    return BL_OWN_RECORD_WAIT;
  if (*due_ms < o->not_before_ms)
    *due_ms = o->not_before_ms;
  if (now < *due_ms)
    return BL_OWN_RECORD_WAIT;
  if (!o->dirty || outdated || !o->checked)
    return BL_OWN_RECORD_CHECK;
  o->dirty = false;
  return BL_OWN_RECORD_WRITE;
}

/* Delays the next call: exponential back-off, with jitter.  */
static void
back_off (struct bl_own_record *o, uint64_t now)
{
  uint32_t ms = BACKOFF_MIN_MS;

  for (unsigned i = 0; i < o->attempt && ms < BACKOFF_MAX_MS; i++)
    ms *= 2;
  if (ms > BACKOFF_MAX_MS)
    ms = BACKOFF_MAX_MS;
  o->attempt++;
  o->not_before_ms = now + ms / 2 + bl_random_below (&o->random, ms / 2 + 1);
}

/* Notes the era and revision of an answer.  */
static void
set_position (struct bl_own_record *o, uint64_t era, uint64_t revision)
{
  o->era = era;
  o->revision = revision;
  if (era > o->newest_era)
    o->newest_era = era;
}

void
bl_own_record_written (struct bl_own_record *o,
                       uint64_t now,
                       uint64_t era,
                       uint64_t revision)
{
  set_position (o, era, revision);
  o->written_ms = now;
  o->attempt = 0;
  o->not_before_ms = 0;
  /* The answer came late: the store was restored after the write.  */
  if (era < o->newest_era)
    schedule_check (o, now);
}

void
bl_own_record_conflict (struct bl_own_record *o,
                        uint64_t now,
                        uint64_t era,
                        uint64_t revision)
{
  o->dirty = true;
  set_position (o, era, revision);
  /* The first conflict is resolved at once by the revision in the answer.  */
  if (o->attempt > 0)
    back_off (o, now);
  else
    o->attempt++;
}

void
bl_own_record_restored (struct bl_own_record *o, uint64_t now, uint64_t era)
{
  o->dirty = true;
  if (era > o->newest_era)
    o->newest_era = era;
  schedule_late_check (o, now);
}

void
bl_own_record_failed (struct bl_own_record *o,
                      uint64_t now,
                      enum bl_own_record_action action)
{
  if (action == BL_OWN_RECORD_WRITE)
    o->dirty = true;
  back_off (o, now);
}

/* The record of a later start is left alone: if this instance is the one that
   runs, balancers make it raise its incarnation.  */
static enum bl_own_record_finding
compare (const struct bl_record *stored, const struct bl_record *self)
{
  if (stored == NULL)
    return BL_OWN_RECORD_MISSING;
  if (stored->incarnation > self->incarnation)
    return BL_OWN_RECORD_SUPERSEDED;
  return stored->incarnation == self->incarnation && stored->seq == self->seq
             ? BL_OWN_RECORD_KEPT
             : BL_OWN_RECORD_OUTDATED;
}

enum bl_own_record_finding
bl_own_record_checked (struct bl_own_record *o,
                       uint64_t now,
                       uint64_t era,
                       uint64_t revision,
                       const struct bl_record *stored,
                       const struct bl_record *self)
{
  enum bl_own_record_finding finding = compare (stored, self);

  set_position (o, era, stored != NULL ? revision : 0);
  o->dirty
      = finding == BL_OWN_RECORD_MISSING || finding == BL_OWN_RECORD_OUTDATED;
  /* An answer from before a restore decides nothing.  An era that the store
     itself does not confirm is given up.  */
  if (era < o->newest_era && o->attempt < UNCONFIRMED_MAX)
    {
      o->check_ms = now;
      back_off (o, now);
      return finding;
    }
  /* The first write may replace the record of a later start, if the clock was
     set back since.  */
  o->dirty = o->dirty || !o->checked;
  o->checked = true;
  o->newest_era = era;
  o->attempt = 0;
  o->not_before_ms = 0;
  if (o->check_ms != 0 && now >= o->check_ms)
    {
      o->check_ms = 0;
      if (o->check_again)
        schedule_late_check (o, now);
    }
  return finding;
}
