/* test_power_return.c -- the moment after the power has returned

   A test of its own, so that KNOWN-RED.txt can name it alone.  */

#include "test/deployment.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#define SEED      41
#define SEEDS     3
#define SETTLE_MS 8000 /* before the loss of power */
#define BURST_LOAD_FACTOR                                                      \
  2.0 /* times the load: callers of a burst come back at once */

/* Guards against overload when the power returns: all callers open new flows
   at once, while servers are slow.  A request that a server sheds costs its
   caller a retry, so at most one request in a hundred may be shed.  */
static void
test_no_overload_after_power_loss (void **state)
{
  (void)state;
  for (uint64_t seed = SEED; seed < SEED + SEEDS; seed++)
    {
      struct em_settings settings = deployment_settings (seed);
      struct em *em = em_new (&settings);
      em_set_load_factor (em, BURST_LOAD_FACTOR);
      em_run (em, SETTLE_MS);
      em_reset_totals (em);
      em_power_off (em, 1000);
      em_run (em, em_elapsed_ms (em) + 6000);
      printf ("power lost under load, seed %lu: asked %lu shed %lu\n", seed,
              em_sum_classes (em_totals (em)).requests, em_totals (em)->shed);
      assert_true (em_totals (em)->shed * 100
                   <= em_sum_classes (em_totals (em)).requests);
      em_free (em);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_overload_after_power_loss),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
