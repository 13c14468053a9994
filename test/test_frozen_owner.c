/* test_frozen_owner.c -- a flow survives a long freeze of its owner

   Replays one trace.  The owner is frozen for 14 s and is declared dead
   meanwhile; agents that then receive packets of its flows must not reset
   them.  */

#include "test/scenario.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static void
test_trace (void **state)
{
  (void)state;
  assert_true (scenario_run_file ("test/traces/red/frozen-owner.trace"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_trace),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
