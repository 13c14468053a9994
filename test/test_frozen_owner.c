/* test_frozen_owner.c -- a flow outlives a long freeze of its owner

   Replays one trace; see KNOWN-RED.txt.  */

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
