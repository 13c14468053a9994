/* test_own_record.c -- the own record in the platform's store

   Each case is a list of events, each followed by the action that must be due
   then.  */

#include "core/own_record.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#define STEPS_MAX   10
#define SEED        5
#define INCARNATION 100
#define NO_RECORD   0

enum event
{
  END,
  CHANGED,
  ERA,      /* heard that the store is in ERA */
  WRITTEN,  /* a write acknowledged in ERA */
  CONFLICT, /* a write refused in ERA */
  MISSED,   /* a write took effect in another era than its condition */
  FAILED,   /* the last action failed */
  CHECKED,  /* the record was read in ERA; STORED is its incarnation */
  LATER,    /* time passes */
};

struct step
{
  enum event event;
  uint64_t now;
  uint64_t era;
  uint64_t stored;
  enum bl_own_record_action want;
};

/* The time-outs are those of core/own_record.c: 500 ms until a check at once,
   then 10 to 130 s until another one.  */
static const struct
{
  const char *name;
  struct step steps[STEPS_MAX];
} cases[] = {
  { "nothing is due without a record",
    { { LATER, 1000000, 0, 0, BL_OWN_RECORD_WAIT } } },
  { "a change is written at once",
    { { CHANGED, 1, 0, 0, BL_OWN_RECORD_WRITE },
      { WRITTEN, 5, 1, 0, BL_OWN_RECORD_WAIT } } },
  { "an era heard before the first write needs no check",
    { { ERA, 1, 3, 0, BL_OWN_RECORD_WAIT },
      { CHANGED, 2, 0, 0, BL_OWN_RECORD_WRITE },
      { WRITTEN, 5, 3, 0, BL_OWN_RECORD_WAIT },
      { LATER, 900000, 0, 0, BL_OWN_RECORD_WAIT } } },
  { "a record written just before a restore is checked at once, and again",
    { { CHANGED, 1, 0, 0, BL_OWN_RECORD_WRITE },
      { WRITTEN, 5, 1, 0, BL_OWN_RECORD_WAIT },
      { ERA, 10, 2, 0, BL_OWN_RECORD_WAIT },
      { LATER, 600, 0, 0, BL_OWN_RECORD_CHECK },
      { CHECKED, 610, 2, INCARNATION, BL_OWN_RECORD_WAIT },
      { LATER, 10000, 0, 0, BL_OWN_RECORD_WAIT },
      { LATER, 140610, 0, 0, BL_OWN_RECORD_CHECK },
      { CHECKED, 140620, 2, INCARNATION, BL_OWN_RECORD_WAIT },
      { LATER, 900000, 0, 0, BL_OWN_RECORD_WAIT } } },
  { "an old record is checked later",
    { { CHANGED, 1, 0, 0, BL_OWN_RECORD_WRITE },
      { WRITTEN, 5, 1, 0, BL_OWN_RECORD_WAIT },
      { ERA, 100000, 2, 0, BL_OWN_RECORD_WAIT },
      { LATER, 101000, 0, 0, BL_OWN_RECORD_WAIT },
      { LATER, 230000, 0, 0, BL_OWN_RECORD_CHECK } } },
  { "a record that the copy lacks is written again",
    { { CHANGED, 1, 0, 0, BL_OWN_RECORD_WRITE },
      { WRITTEN, 5, 1, 0, BL_OWN_RECORD_WAIT },
      { ERA, 10, 2, 0, BL_OWN_RECORD_WAIT },
      { LATER, 600, 0, 0, BL_OWN_RECORD_CHECK },
      { CHECKED, 610, 2, NO_RECORD, BL_OWN_RECORD_WRITE },
      { WRITTEN, 620, 2, 0, BL_OWN_RECORD_WAIT } } },
  { "so is one of an earlier start",
    { { CHANGED, 1, 0, 0, BL_OWN_RECORD_WRITE },
      { WRITTEN, 5, 1, 0, BL_OWN_RECORD_WAIT },
      { ERA, 10, 2, 0, BL_OWN_RECORD_WAIT },
      { LATER, 600, 0, 0, BL_OWN_RECORD_CHECK },
      { CHECKED, 610, 2, INCARNATION - 1, BL_OWN_RECORD_WRITE } } },
  { "that of a later start is left alone",
    { { CHANGED, 1, 0, 0, BL_OWN_RECORD_WRITE },
      { WRITTEN, 5, 1, 0, BL_OWN_RECORD_WAIT },
      { ERA, 10, 2, 0, BL_OWN_RECORD_WAIT },
      { LATER, 600, 0, 0, BL_OWN_RECORD_CHECK },
      { CHECKED, 610, 2, INCARNATION + 1, BL_OWN_RECORD_WAIT } } },
  { "a revision of an earlier era is not written on",
    { { CHANGED, 1, 0, 0, BL_OWN_RECORD_WRITE },
      { WRITTEN, 5, 1, 0, BL_OWN_RECORD_WAIT },
      { ERA, 10, 2, 0, BL_OWN_RECORD_WAIT },
      { CHANGED, 20, 0, 0, BL_OWN_RECORD_CHECK },
      { CHECKED, 30, 2, INCARNATION - 1, BL_OWN_RECORD_WRITE } } },
  { "a write that took effect in another era is no success",
    { { CHANGED, 1, 0, 0, BL_OWN_RECORD_WRITE },
      { WRITTEN, 5, 1, 0, BL_OWN_RECORD_WAIT },
      { CHANGED, 20, 0, 0, BL_OWN_RECORD_WRITE },
      { MISSED, 30, 2, 0, BL_OWN_RECORD_CHECK },
      { CHECKED, 40, 2, INCARNATION, BL_OWN_RECORD_WAIT } } },
  { "a late answer of the old era is no success",
    { { CHANGED, 1, 0, 0, BL_OWN_RECORD_WRITE },
      { ERA, 2, 2, 0, BL_OWN_RECORD_WAIT },
      { WRITTEN, 5, 1, 0, BL_OWN_RECORD_WAIT },
      { LATER, 600, 0, 0, BL_OWN_RECORD_CHECK } } },
  { "two restores: the second one counts as well",
    { { CHANGED, 1, 0, 0, BL_OWN_RECORD_WRITE },
      { WRITTEN, 5, 1, 0, BL_OWN_RECORD_WAIT },
      { ERA, 10, 2, 0, BL_OWN_RECORD_WAIT },
      { LATER, 600, 0, 0, BL_OWN_RECORD_CHECK },
      { CHECKED, 610, 2, NO_RECORD, BL_OWN_RECORD_WRITE },
      { WRITTEN, 620, 2, 0, BL_OWN_RECORD_WAIT },
      { ERA, 700, 3, 0, BL_OWN_RECORD_WAIT },
      { LATER, 1300, 0, 0, BL_OWN_RECORD_CHECK } } },
  { "an earlier era changes nothing",
    { { CHANGED, 1, 0, 0, BL_OWN_RECORD_WRITE },
      { WRITTEN, 5, 2, 0, BL_OWN_RECORD_WAIT },
      { ERA, 10, 1, 0, BL_OWN_RECORD_WAIT },
      { LATER, 900000, 0, 0, BL_OWN_RECORD_WAIT } } },
  { "a check that is answered in the old era decides nothing",
    { { CHANGED, 1, 0, 0, BL_OWN_RECORD_WRITE },
      { WRITTEN, 5, 1, 0, BL_OWN_RECORD_WAIT },
      { ERA, 10, 2, 0, BL_OWN_RECORD_WAIT },
      { LATER, 600, 0, 0, BL_OWN_RECORD_CHECK },
      { CHECKED, 610, 1, INCARNATION, BL_OWN_RECORD_WAIT },
      { LATER, 900, 0, 0, BL_OWN_RECORD_CHECK } } },
  { "a first conflict is resolved at once, the next ones with back-off",
    { { CHANGED, 1, 0, 0, BL_OWN_RECORD_WRITE },
      { CONFLICT, 2, 1, 0, BL_OWN_RECORD_WRITE },
      { CONFLICT, 3, 1, 0, BL_OWN_RECORD_WAIT },
      { LATER, 500, 0, 0, BL_OWN_RECORD_WRITE } } },
  { "a failed write is repeated with back-off",
    { { CHANGED, 1, 0, 0, BL_OWN_RECORD_WRITE },
      { FAILED, 2, 0, 0, BL_OWN_RECORD_WAIT },
      { LATER, 300, 0, 0, BL_OWN_RECORD_WRITE } } },
};

static void
pass_event (struct bl_own_record *o,
            const struct step *s,
            enum bl_own_record_action last)
{
  const struct bl_record self = { .incarnation = INCARNATION, .seq = 1 };
  const struct bl_record stored = { .incarnation = s->stored, .seq = 1 };

  switch (s->event)
    {
    case CHANGED:
      bl_own_record_changed (o);
      break;
    case ERA:
      bl_own_record_note_era (o, s->now, s->era);
      break;
    case WRITTEN:
      bl_own_record_written (o, s->now, s->era, 7);
      break;
    case CONFLICT:
      bl_own_record_conflict (o, s->now, s->era, 7);
      break;
    case MISSED:
      bl_own_record_restored (o, s->now, s->era);
      break;
    case FAILED:
      bl_own_record_failed (o, s->now, last);
      break;
    case CHECKED:
      bl_own_record_checked (o, s->now, s->era, 7,
                             s->stored != NO_RECORD ? &stored : NULL, &self);
      break;
    default:
      break;
    }
}

/* Guards against a record that the store lost in a restore and nobody writes
   again, and against a write on a revision of an earlier era.  */
static void
test_actions (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct bl_own_record o = { .random = { SEED }, .checked = true };
      enum bl_own_record_action last = BL_OWN_RECORD_WAIT;
      for (unsigned k = 0; k < STEPS_MAX && cases[i].steps[k].event != END; k++)
        {
          const struct step *s = &cases[i].steps[k];
          uint64_t due_ms;
          pass_event (&o, s, last);
          last = bl_own_record_next (&o, s->now, &due_ms);
          if (last != s->want)
            fail_msg ("%s: step %u: action %d, not %d", cases[i].name, k + 1,
                      (int)last, (int)s->want);
        }
    }
}

/* Before the first write the store is read for the record of an earlier
   process; whatever it holds, the record of this one is written then.  */
static void
test_first_write (void **state)
{
  static const uint64_t stored[]
      = { NO_RECORD, INCARNATION - 1, INCARNATION + 1 };

  (void)state;
  for (size_t i = 0; i < sizeof stored / sizeof stored[0]; i++)
    {
      struct bl_own_record o = { .random = { SEED } };
      const struct step check = { CHECKED, 5, 1, stored[i], 0 };
      uint64_t due_ms;
      bl_own_record_changed (&o);
      assert_int_equal (bl_own_record_next (&o, 1, &due_ms),
                        BL_OWN_RECORD_CHECK);
      bl_own_record_failed (&o, 2, BL_OWN_RECORD_CHECK);
      assert_int_equal (bl_own_record_next (&o, 3, &due_ms),
                        BL_OWN_RECORD_WAIT);
      assert_int_equal (bl_own_record_next (&o, 300, &due_ms),
                        BL_OWN_RECORD_CHECK);
      pass_event (&o, &check, BL_OWN_RECORD_CHECK);
      assert_int_equal (bl_own_record_next (&o, 300, &due_ms),
                        BL_OWN_RECORD_WRITE);
    }
}

#define INSTANCES    71000 /* of the target size */
#define READS_S      1000  /* half of the store's rate */
#define RESTORE_MS   1000000
#define SPAN_S       200
#define RECENT_EVERY 2000 /* one of so many records was just written */

/* Guards against checks of the whole fleet that exceed the store's rate: no
   second after a restore has more than half of the reads that it serves.  */
static void
test_checks_are_spread (void **state)
{
  static unsigned checks[SPAN_S];
  struct bl_random seeds = { SEED };

  (void)state;
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      struct bl_own_record o
          = { .random = { bl_random_next (&seeds) }, .checked = true };
      uint64_t written = i % RECENT_EVERY == 0 ? RESTORE_MS - 1000 : 1000;
      uint64_t due_ms;
      bl_own_record_written (&o, written, 1, 7);
      bl_own_record_note_era (&o, RESTORE_MS, 2);
      while (bl_own_record_next (&o, RESTORE_MS, &due_ms), due_ms != 0)
        {
          const struct bl_record self = { .incarnation = INCARNATION };
          assert_in_range (due_ms, RESTORE_MS, RESTORE_MS + SPAN_S * 1000 - 1);
          checks[(due_ms - RESTORE_MS) / 1000]++;
          bl_own_record_checked (&o, due_ms, 2, 7, &self, &self);
        }
    }
  for (unsigned s = 0; s < SPAN_S; s++)
    assert_in_range (checks[s], 0, READS_S);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_actions),
    cmocka_unit_test (test_first_write),
    cmocka_unit_test (test_checks_are_spread),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
