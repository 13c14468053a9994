/* test_denials.c -- an agent denies no flow that its server holds, in any
   series of stops, kills, starts and outages

   Each draw plays a model of one agent's processes, beside one server and a
   store, with 1 to 5 stops and kills.  */

#include "test/agent_model.h"
#include "test/options.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define DRAWS   200
#define DRAW_MS 45000

/* Guards against the reset of live flows: an agent that takes a flow table with
   gaps for complete denies them.  SEED is the first draw, RUNS their number,
   TRACE prints the events.  */
static void
test_drawn_runs (void **state)
{
  uint64_t first = environment_number ("SEED", 1);
  uint64_t runs = environment_number ("RUNS", DRAWS);
  unsigned broken = 0;
  unsigned without_denial = 0;

  (void)state;
  for (uint64_t seed = first; seed < first + runs; seed++)
    {
      struct agent_model *model = agent_model_new (seed);
      agent_model_draw (model);
      if (!agent_model_run (model, DRAW_MS))
        {
          print_message ("draw %lu: denied %s\n", seed,
                         agent_model_fault (model));
          broken++;
        }
      else if (agent_model_denials (model) == 0)
        without_denial++;
      agent_model_free (model);
    }
  print_message ("%u of %lu draws broken, %u without any denial\n", broken,
                 runs, without_denial);
  assert_int_equal (broken, 0);
  /* The check would be empty if agents denied nothing at all.  */
  assert_true (without_denial <= runs / 10);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_drawn_runs) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
