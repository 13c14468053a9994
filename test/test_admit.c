/* test_admit.c -- admission control, refusals and health checks  */

#include "core/health.h"
#include "test/flood.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define SEED 31

/* Two deployments, each with a class of high priority and a flood of requests
   of a lower class.  Rotsuay: alerts and galleries.  The clinic: statements and
   queue views.  */
static const struct
{
  const char *name;
  uint32_t slots;
  uint32_t service_ms;
  struct flood_class high;
  struct flood_class low;
} floods[] = {
  { "rotsuay", 2, 10, { 7, 1, 500, 20 }, { 1, 0, 200, 1500 } },
  { "clinic", 7, 30, { 7, 2, 1000, 40 }, { 3, 0, 300, 2000 } },
};

/* Guards against a flood of the low class that delays or refuses requests of
   the high class, and against requests of the flood that wait before they are
   refused.  */
static void
test_priority_under_flood (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof floods / sizeof floods[0]; i++)
    for (uint64_t seed = SEED; seed < SEED + 5; seed++)
      {
        struct flood_class classes[2] = { floods[i].high, floods[i].low };
        struct flood_outcome idle[1];
        struct flood_outcome o[2];
        flood_run (seed, floods[i].slots, floods[i].service_ms, classes, 1, 8,
                   idle);
        flood_run (seed, floods[i].slots, floods[i].service_ms, classes, 2, 8,
                   o);
        /* The high class keeps its latency and is not refused.  */
        assert_int_equal (o[0].refused, 0);
        assert_int_equal (o[0].answered, o[0].requests);
        assert_true (o[0].p99_ms <= 2 * idle[0].p99_ms);
        /* The low class gets the remaining slots, and is refused on arrival
           rather than after waiting.  */
        assert_int_equal (o[1].answered + o[1].refused, o[1].requests);
        assert_true (o[1].answered > 0);
        assert_true (o[1].refused > o[1].requests / 2);
        assert_true (o[1].refused_late * 20 <= o[1].refused);
        assert_true (o[1].longest_wait_ms <= classes[1].wait_ms);
      }
}

/* Inputs to the admission control of one backend server, with the expected
   verdicts.  */
enum step_kind
{
  ARRIVE, /* a request arrives */
  DONE,   /* a request has been answered */
  NEXT,   /* the next waiting request is taken, if any */
};

static const struct
{
  enum step_kind kind;
  size_t ticket;
  uint64_t now;
  enum bl_verdict expected;
  size_t next; /* NEXT: the expected ticket; 9: none */
} steps[] = {
  /* Tickets 0 to 2 are of the low class, 3 to 5 of the high one; two slots, of
     which one is reserved for the high class.  */
  { ARRIVE, 0, 0, BL_ADMIT_RUN, 0 },
  { ARRIVE, 1, 1, BL_ADMIT_WAIT, 0 },
  { ARRIVE, 3, 2, BL_ADMIT_RUN, 0 },
  { ARRIVE, 4, 3, BL_ADMIT_WAIT, 0 },
  { NEXT, 0, 4, BL_ADMIT_REFUSE, 9 },
  { DONE, 0, 10, BL_ADMIT_RUN, 0 },
  /* The slot goes to the high class, although the low one has waited
     longer.  */
  { NEXT, 0, 10, BL_ADMIT_RUN, 4 },
  { NEXT, 0, 10, BL_ADMIT_REFUSE, 9 },
  { DONE, 3, 20, BL_ADMIT_RUN, 0 },
  /* One slot is free, but reserved.  */
  { NEXT, 0, 20, BL_ADMIT_REFUSE, 9 },
  { ARRIVE, 5, 21, BL_ADMIT_RUN, 0 },
  /* Ticket 1 has waited for its maximum, 100 ms.  */
  { NEXT, 0, 102, BL_ADMIT_REFUSE, 1 },
  { NEXT, 0, 102, BL_ADMIT_REFUSE, 9 },
  { DONE, 4, 103, BL_ADMIT_RUN, 0 },
  { DONE, 5, 103, BL_ADMIT_RUN, 0 },
  { ARRIVE, 2, 104, BL_ADMIT_RUN, 0 },
  { DONE, 2, 105, BL_ADMIT_RUN, 0 },
  /* A second release of a ticket has no effect.  */
  { DONE, 2, 106, BL_ADMIT_RUN, 0 },
};

static void
run_step (struct bl_admit *admit, struct bl_ticket *tickets, size_t i)
{
  enum bl_verdict verdict;
  struct bl_ticket *t;

  switch (steps[i].kind)
    {
    case ARRIVE:
      assert_int_equal (
          bl_admit_request (admit, steps[i].now, &tickets[steps[i].ticket]),
          steps[i].expected);
      break;
    case DONE:
      bl_admit_release (admit, steps[i].now, &tickets[steps[i].ticket]);
      break;
    case NEXT:
      t = bl_admit_next (admit, steps[i].now, &verdict);
      assert_int_equal (t == NULL ? 9 : (size_t)(t - tickets), steps[i].next);
      if (t != NULL)
        assert_int_equal (verdict, steps[i].expected);
      break;
    }
}

static void
test_steps (void **state)
{
  struct bl_service service = {
    .listener_count = 2,
    .listeners = { { .priority = 1, .wait_ms = 100 },
                   { .priority = 6, .reserved = 1, .wait_ms = 100 } },
  };
  struct bl_ticket tickets[6] = { 0 };
  struct bl_admit admit;

  (void)state;
  for (size_t i = 3; i < 6; i++)
    tickets[i].class_index = 1;
  bl_admit_init (&admit, 2, SEED);
  bl_admit_configure (&admit, &service);
  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    run_step (&admit, tickets, i);
  assert_int_equal (admit.running, 0);
  assert_int_equal (admit.waiting, 0);
}

/* Guards against synchronised retries: requests refused at the same time must
   get different times to retry after.  */
static void
test_retry_after (void **state)
{
  struct bl_service service = {
    .listener_count = 1,
    .listeners = { { .wait_ms = 100 } },
  };
  struct bl_admit admit;
  uint32_t least = UINT32_MAX;
  uint32_t most = 0;

  (void)state;
  bl_admit_init (&admit, 2, SEED);
  bl_admit_configure (&admit, &service);
  for (int i = 0; i < 100; i++)
    {
      uint32_t ms = bl_admit_retry_after_ms (&admit, 0);
      least = ms < least ? ms : least;
      most = ms > most ? ms : most;
    }
  assert_true (least >= 1000);
  assert_true (most <= 2000);
  assert_true (most - least > 500);
}

static const struct
{
  const char *refusal;
  uint32_t retry_after_ms;
  const char *expected;
} refusal_texts[] = {
  { "", 1000, "" },
  { "busy\n", 1000, "busy\n" },
  { "Retry-After: {retry_after}\r\n", 1000, "Retry-After: 1\r\n" },
  { "{retry_after}", 1001, "2" },
  { "{retry_after} {retry_after}", 59999, "60 {retry_after}" },
};

static void
test_refusal_texts (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof refusal_texts / sizeof refusal_texts[0]; i++)
    {
      struct bl_listener l = { .port = 1 };
      char buf[BL_REFUSAL_MAX + 16];
      size_t n;
      l.refusal_len = (uint8_t)strlen (refusal_texts[i].refusal);
      memcpy (l.refusal, refusal_texts[i].refusal, l.refusal_len);
      n = bl_refusal_format (&l, refusal_texts[i].retry_after_ms, buf);
      buf[n] = '\0';
      assert_string_equal (buf, refusal_texts[i].expected);
    }
}

/* Reports of a backend server (r, R: bad, good) and connection attempts to it
   (c, C: failed, successful), and whether it then counts as healthy.  */
static const struct
{
  const char *events;
  bool healthy;
} health_cases[] = {
  { "", false },      { "R", true },         { "C", false },
  { "rrr", false },   { "Rr", true },        { "Rrr", true },
  { "Rrrr", false },  { "RrrRrr", true },    { "RrrrR", true },
  { "RRccR", true },  { "RRcccRRR", false }, { "RcccC", true },
  { "RccCcc", true }, { "RcccrrrC", false },
};

static void
test_health (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof health_cases / sizeof health_cases[0]; i++)
    {
      struct bl_health health = { .bad_reports = 0 };
      for (const char *e = health_cases[i].events; *e != '\0'; e++)
        if (*e == 'r' || *e == 'R')
          bl_health_note_report (&health, *e == 'R');
        else
          bl_health_note_connect (&health, *e == 'C');
      if (bl_health_is_good (&health) != health_cases[i].healthy)
        print_error ("%s\n", health_cases[i].events);
      assert_true (bl_health_is_good (&health) == health_cases[i].healthy);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_steps),
    cmocka_unit_test (test_priority_under_flood),
    cmocka_unit_test (test_retry_after),
    cmocka_unit_test (test_refusal_texts),
    cmocka_unit_test (test_health),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
