/* test_slow_start.c -- a server that has just started takes few flows

   Replays one trace; see docs/PROOFS.md.  */

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
