/* test_overload.c -- decisions under more load than the backend servers or the
   links hold

   The first part checks the decisions themselves, in tables of cases; the
   second replays the load patterns that they are for in the emulator.  */

#include "core/class_load.h"
#include "core/link_budget.h"
#include "emulator/emulator.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#define SLOTS  4
#define PLACES 10 /* slots, and 6 requests in the queue */

/* Classes as in a service of orders, class 1, and views, class 2.  */
static const struct
{
  const char *name;
  uint32_t orders_in_progress;
  uint32_t views_in_progress;
  unsigned orders_arrived; /* within the last moment */
  unsigned orders_refused;
  unsigned views_arrived;
  bool want_order; /* one more flow is admitted */
  bool want_view;
} admissions[] = {
  { "idle", 0, 0, 0, 0, 0, true, true },
  { "views alone fill the slots", 0, PLACES - 1, 0, 0, 0, true, true },
  { "views alone fill all places", 0, PLACES, 0, 0, 0, false, false },
  { "orders fill all places", PLACES, 0, 40, 0, 0, false, false },
  { "views take more than their part", 0, 7, 40, 0, 0, true, false },
  { "views take their part", 0, 5, 40, 0, 0, true, true },
  { "refused orders count", 0, 7, 0, 40, 0, true, false },
  { "orders alone need all slots", 0, 0, 400, 0, 0, true, true },
  { "open flows of views use up the rest", 0, 1, 40, 0, 100, true, false },
  { "views are many but orders are absent", 0, 1, 0, 0, 200, true, true },
};

static void
test_admission_by_class (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof admissions / sizeof admissions[0]; i++)
    {
      struct bl_class_load load = { .decayed_ms = 1000 };
      load.classes[1].in_progress = admissions[i].orders_in_progress;
      load.classes[2].in_progress = admissions[i].views_in_progress;
      bl_class_load_add_work (&load, 1, 40);
      bl_class_load_add_work (&load, 2, 30);
      for (unsigned k = 0; k < admissions[i].orders_arrived; k++)
        bl_class_load_arrived (&load, 1000, 1);
      for (unsigned k = 0; k < admissions[i].orders_refused; k++)
        bl_class_load_refused (&load, 1000, 1);
      for (unsigned k = 0; k < admissions[i].views_arrived; k++)
        bl_class_load_arrived (&load, 1000, 2);
      if (bl_class_load_admits (&load, 1000, SLOTS, 1)
              != admissions[i].want_order
          || bl_class_load_admits (&load, 1000, SLOTS, 2)
                 != admissions[i].want_view)
        fail_msg ("%s", admissions[i].name);
    }
}

/* Nothing is kept for a class that has been absent for some seconds.  */
static void
test_reserve_ends (void **state)
{
  struct bl_class_load load = { .decayed_ms = 1000 };

  (void)state;
  load.classes[2].in_progress = 7;
  bl_class_load_add_work (&load, 1, 40);
  for (unsigned k = 0; k < 40; k++)
    bl_class_load_arrived (&load, 1000, 1);
  assert_false (bl_class_load_admits (&load, 1000, SLOTS, 2));
  assert_true (bl_class_load_admits (&load, 5000, SLOTS, 2));
}

/* A balancer on a link of 10 Mbit/s.  */
static const struct
{
  const char *name;
  double bytes_per_s;
  unsigned packets; /* of 1,000 bytes, in the same moment */
  uint64_t later_ms;
  bool want;
} budgets[] = {
  { "bandwidth not known", 0, 100000, 0, true },
  { "idle", 1250000, 0, 0, true },
  { "half of the link", 1250000, 110, 0, true },
  { "the whole link", 1250000, 230, 0, false },
  { "the whole link, a second ago", 1250000, 230, 1000, true },
  { "the same on a faster link", 25000000, 230, 0, true },
};

static void
test_link_budget (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof budgets / sizeof budgets[0]; i++)
    {
      struct bl_link_budget budget = { .bytes_per_s = budgets[i].bytes_per_s };
      for (unsigned k = 0; k < budgets[i].packets; k++)
        bl_link_budget_spend (&budget, 1000, 1000);
      if (bl_link_budget_has_room (&budget, 1000 + budgets[i].later_ms)
          != budgets[i].want)
        fail_msg ("%s", budgets[i].name);
    }
}

/* -- load patterns -- */

#define SEED         61
#define SEEDS        3
#define SETTLE_MS    6000
#define OVERLOAD_MS  6000
#define URGENT_SHARE 0.93 /* of the urgent requests, to be answered in time */

/* A service of an urgent class that opens a flow for each request, and a less
   urgent one that keeps its flows open.  */
static const struct
{
  const char *name;
  unsigned slots;
  unsigned servers; /* in each of two data centres */
  unsigned urgent_callers;
  unsigned other_callers;
  double urgent_work_ms;
  double other_work_ms;
  double factor; /* times the ordinary load of half of the slots */
} patterns[] = {
  { "few slots, three times the load", 2, 6, 20, 70, 39, 30, 3 },
  { "four slots, three times the load", 4, 3, 20, 70, 39, 30, 3 },
  { "long work, twice the load", 7, 3, 20, 70, 72, 55, 2.5 },
};

#define URGENT_PAUSE_MS 300

static struct em_settings
overload_settings (size_t i, uint64_t seed)
{
  return (struct em_settings){
    .seed = seed,
    .dc_count = 2,
    .balancers = { 2, 2 },
    .service_count = 1,
    .services = { { "floor",
                    { patterns[i].servers, patterns[i].servers },
                    patterns[i].slots,
                    8 } },
    .class_count = 2,
    .classes = { { .name = "order",
                   .flow_mode = EM_FLOW_PER_REQUEST,
                   .callers = patterns[i].urgent_callers,
                   .pause_ms = URGENT_PAUSE_MS,
                   .work_ms = patterns[i].urgent_work_ms,
                   .response_target_ms = 300,
                   .deadline_ms = 1500,
                   .retries = 2 },
                 { .name = "view",
                   .flow_mode = EM_PERSISTENT_FLOW,
                   .repeatable = true,
                   .callers = patterns[i].other_callers,
                   .pause_ms = URGENT_PAUSE_MS,
                   .work_ms = patterns[i].other_work_ms,
                   .response_target_ms = 300,
                   .deadline_ms = 1200,
                   .retries = 2 } },
    .near_ms = 0.1,
    .far_ms = 4,
    .caller_ms = 1,
  };
}

static double
share_in_time (const struct em_outcome *o)
{
  return (double)o->in_time / (double)o->requests;
}

/* Guards against an overload in which the urgent class is served worse than the
   other, because it opens a flow for each request and the other does not.  */
static void
test_urgent_class_first (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof patterns / sizeof patterns[0]; i++)
    for (uint64_t seed = SEED; seed < SEED + SEEDS; seed++)
      {
        struct em_settings settings = overload_settings (i, seed);
        struct em *em = em_new (&settings);
        const struct em_totals *t = em_totals (em);
        double urgent;
        double other;
        em_run (em, SETTLE_MS);
        em_set_load_factor (em, patterns[i].factor);
        em_reset_totals (em);
        em_run (em, em_elapsed_ms (em) + OVERLOAD_MS);
        urgent = share_in_time (&t->classes[0]);
        other = share_in_time (&t->classes[1]);
        printf ("%s, seed %lu: urgent %.3f of %lu, other %.3f of %lu, shed "
                "%lu\n",
                patterns[i].name, seed, urgent, t->classes[0].requests, other,
                t->classes[1].requests, t->shed);
        assert_int_equal (t->broken, 0);
        assert_int_equal (t->duplicate_runs, 0);
        assert_true (urgent >= URGENT_SHARE);
        assert_true (urgent >= other);
        em_free (em);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_admission_by_class),
    cmocka_unit_test (test_reserve_ends),
    cmocka_unit_test (test_link_budget),
    cmocka_unit_test (test_urgent_class_first),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
