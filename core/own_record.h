/* own_record.h -- when the membership record of this instance is written to the
   platform's store, and when the store is checked for it  */

#ifndef BL_OWN_RECORD_H
#define BL_OWN_RECORD_H

#include "boragelatch.h"

enum bl_own_record_action
{
  BL_OWN_RECORD_WAIT,
  BL_OWN_RECORD_WRITE, /* write the record, on the condition REVISION */
  BL_OWN_RECORD_CHECK, /* read the record that the store holds */
};

/* Zero-initialise before use, and seed RANDOM.  */
struct bl_own_record
{
  struct bl_random random;
  bool checked;           /* a check was answered since the start */
  bool dirty;             /* the record changed, or the store lacks it */
  uint64_t era;           /* of the store's last answer about it; 0: none */
  uint64_t revision;      /* of the object then; 0: there was none */
  uint64_t newest_era;    /* of the store, as heard from anybody */
  uint64_t written_ms;    /* when the last write was acknowledged */
  uint64_t check_ms;      /* when a check is due; 0: none */
  bool check_again;       /* another check follows that one */
  uint64_t not_before_ms; /* back-off until the next call */
  unsigned attempt;       /* calls that failed in a row */
};

/* What a check has found.  */
enum bl_own_record_finding
{
  BL_OWN_RECORD_KEPT,
  BL_OWN_RECORD_MISSING,
  BL_OWN_RECORD_OUTDATED,
  BL_OWN_RECORD_SUPERSEDED, /* a later start took over the name */
};

const char *bl_own_record_finding_name (enum bl_own_record_finding finding);

/* The record changed and has to be written.  Before the first write the store
   is checked for the record of an earlier process.  */
void bl_own_record_changed (struct bl_own_record *o);
/* The store is in ERA, by an answer to anybody.  Returns true if ERA is new and
   the record has to be checked.  */
bool
bl_own_record_note_era (struct bl_own_record *o, uint64_t now, uint64_t era);
/* Returns the action that is due, and stores in *DUE_MS when the next one is;
   0: only after a change.  A write clears DIRTY, so that a change during the
   call is noticed.  */
enum bl_own_record_action
bl_own_record_next (struct bl_own_record *o, uint64_t now, uint64_t *due_ms);
/* Outcomes of the action.  */
void bl_own_record_written (struct bl_own_record *o,
                            uint64_t now,
                            uint64_t era,
                            uint64_t revision);
/* Nothing was written, since the store holds REVISION; 0: it holds none.  */
void bl_own_record_conflict (struct bl_own_record *o,
                             uint64_t now,
                             uint64_t era,
                             uint64_t revision);
/* The write took effect in another era than that of its condition.  */
void
bl_own_record_restored (struct bl_own_record *o, uint64_t now, uint64_t era);
/* The call failed; a write may have taken effect.  */
void bl_own_record_failed (struct bl_own_record *o,
                           uint64_t now,
                           enum bl_own_record_action action);
/* The store holds STORED in REVISION; NULL: no record.  SELF is the record that
   it should hold.  */
enum bl_own_record_finding
bl_own_record_checked (struct bl_own_record *o,
                       uint64_t now,
                       uint64_t era,
                       uint64_t revision,
                       const struct bl_record *stored,
                       const struct bl_record *self);

#endif
