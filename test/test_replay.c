/* test_replay.c -- replays recorded scenarios against their expectations

   Each file in test/traces is a scenario (scenario.h).  Those named found-* are
   runs of test_pairs that failed once.  */

#include "test/scenario.h"

#include <dirent.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define FOLDER "test/traces"

static int
is_trace (const struct dirent *entry)
{
  return strstr (entry->d_name, ".trace") != NULL;
}

static void
test_traces (void **state)
{
  struct dirent **names;
  int n = scandir (FOLDER, &names, is_trace, alphasort);

  (void)state;
  assert_true (n > 0);
  for (int i = 0; i < n; i++)
    {
      char path[300];
      snprintf (path, sizeof path, FOLDER "/%s", names[i]->d_name);
      assert_true (scenario_run_file (path));
      free (names[i]);
    }
  free (names);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_traces),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
