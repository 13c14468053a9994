/* test_emulator.c -- what the emulator counts and simulates

   Checks of other tests rely on these counts, so each is shown to be able to
   report a fault.  */

#include "emulator/emulator.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#define SEED      5
#define SETTLE_MS 5000

static struct em_settings
deployment_settings (void)
{
  return (struct em_settings){
    .seed = SEED,
    .dc_count = 2,
    .balancers = { 2, 2 },
    .service_count = 1,
    .services = { { "web", { 2, 2 }, 4, 8 } },
    .class_count = 1,
    .classes = { { .name = "order",
                   .flow_mode = EM_FLOW_PER_REQUEST,
                   .callers = 40,
                   .pause_ms = 500,
                   .work_ms = 30,
                   .response_target_ms = 200,
                   .deadline_ms = 2000,
                   .retries = 2 } },
    .near_ms = 0.1,
    .far_ms = 4,
    .caller_ms = 1,
  };
}

/* Callers that retry requests after the servers were cut off run them twice;
   others do not.  */
static void
test_duplicate_runs (void **state)
{
  (void)state;
  for (int unsafe = 0; unsafe <= 1; unsafe++)
    {
      struct em_settings settings = deployment_settings ();
      struct em *em;
      settings.classes[0].retries_unsafely = unsafe;
      em = em_new (&settings);
      em_run (em, SETTLE_MS);
      for (size_t i = 0; i < em_server_count (em); i++)
        em_slow_server (em, i, 20);
      em_run (em, em_elapsed_ms (em) + 200);
      for (size_t i = 0; i < em_server_count (em); i++)
        em_crash_server (em, i, 100);
      em_run (em, em_elapsed_ms (em) + SETTLE_MS);
      printf ("callers %s: %lu duplicate runs\n", unsafe ? "unsafe" : "safe",
              em_totals (em)->duplicate_runs);
      assert_int_equal (em_totals (em)->duplicate_runs > 0, unsafe);
      em_free (em);
    }
}

/* The median of the answers since the last reset of the counts, in
   milliseconds.  */
static double
median_ms (const struct em *em)
{
  return em_percentile (&em_totals (em)->latencies[0], 0.5);
}

/* A server that has just started runs requests for longer.  */
static void
test_servers_start_cold (void **state)
{
  struct em_settings settings = deployment_settings ();
  struct em *em = em_new (&settings);
  double warm_ms;
  double cold_ms;

  (void)state;
  em_run (em, SETTLE_MS);
  em_reset_totals (em);
  em_run (em, em_elapsed_ms (em) + SETTLE_MS);
  warm_ms = median_ms (em);
  for (size_t i = 0; i < em_server_count (em); i++)
    em_crash_server (em, i, 10);
  em_run (em, em_elapsed_ms (em) + 600);
  em_reset_totals (em);
  em_run (em, em_elapsed_ms (em) + 1000);
  cold_ms = median_ms (em);
  printf ("median after a start %.0f ms, later %.0f ms\n", cold_ms, warm_ms);
  assert_true (cold_ms > 1.3 * warm_ms);
  em_free (em);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_duplicate_runs),
    cmocka_unit_test (test_servers_start_cold),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
