/* test_slow_start.c -- a backend server that has just started gets few flows

   Replays one trace, in which the started server may get at most 15 of 100 new
   flows; see docs/PROOFS.md.  */

#include "test/scenario.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static void
test_trace (void **state)
{
  (void)state;
  assert_true (scenario_run_file ("test/traces/red/slow-start.trace"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_trace),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
