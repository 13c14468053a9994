/* test_draws.c -- overload of deployments that are drawn at random

   Slots, queues, work, callers, their use of flows and the load are drawn from
   seeds, so that admission by class is not fitted to one deployment.  A test of
   its own, so that KNOWN-RED.txt can name it alone.  */

#include "emulator/emulator.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#define SETTLE_MS   6000
#define OVERLOAD_MS 6000

#define DRAWS     50
#define DRAWN_GAP 0.01 /* by which the urgent class may be served worse */

static double
share_in_time (const struct em_outcome *o)
{
  return (double)o->in_time / (double)o->requests;
}

/* Returns a random number from FROM to TO.  */
static double
draw (struct bl_random *random, double from, double to)
{
  return from + (to - from) * bl_random_unit (random);
}

/* A deployment drawn from a seed: slots, work, callers, response targets and
   the way in which each class uses flows.  The ordinary load takes 0.4 to 0.7
   of the slots.  */
static struct em_settings
drawn_settings (uint64_t seed)
{
  struct bl_random random = { .state = seed };
  struct em_settings s = {
    .seed = seed,
    .dc_count = 2,
    .balancers = { 2, 2 },
    .service_count = 1,
    .services = { { .name = "floor" } },
    .class_count = 2,
    .classes = { { .name = "urgent", .retries = 2 },
                 { .name = "other", .repeatable = true, .retries = 2 } },
    .near_ms = 0.1,
    .far_ms = 4,
    .caller_ms = 1,
  };
  double load = draw (&random, 0.4, 0.7);
  double urgent_part = draw (&random, 0.2, 0.5);

  s.services[0].slots = (unsigned)draw (&random, 2, 8);
  s.services[0].queue = (unsigned)draw (&random, 6, 17);
  s.services[0].servers[0] = (unsigned)draw (&random, 2, 6);
  s.services[0].servers[1] = (unsigned)draw (&random, 2, 6);
  for (unsigned c = 0; c < 2; c++)
    {
      struct em_class *class = &s.classes[c];
      double slots = s.services[0].slots
                     * (s.services[0].servers[0] + s.services[0].servers[1])
                     * load * (c == 0 ? urgent_part : 1 - urgent_part);
      class->flow_mode = bl_random_below (&random, 2) == 0
                             ? EM_PERSISTENT_FLOW
                             : EM_FLOW_PER_REQUEST;
      class->work_ms = draw (&random, 10, 80);
      class->pause_ms = draw (&random, 200, 800);
      class->callers = 1
                       + (unsigned)(slots * (class->pause_ms + class->work_ms)
                                    / class->work_ms / s.dc_count);
      class->response_target_ms = (unsigned)(6 * class->work_ms + 50);
      class->deadline_ms = 5 * class->response_target_ms;
    }
  return s;
}

/* The urgent class is not served worse than the other one, whatever the
   deployment.  */
static void
test_drawn_deployments (void **state)
{
  unsigned worse = 0;

  (void)state;
  for (uint64_t seed = 1; seed <= DRAWS; seed++)
    {
      struct em_settings settings = drawn_settings (seed);
      struct em *em = em_new (&settings);
      const struct em_totals *t = em_totals (em);
      struct bl_random random = { .state = seed * 1000 };
      double urgent;
      double other;
      em_run (em, SETTLE_MS);
      em_set_load_factor (em, draw (&random, 1.5, 4));
      em_reset_totals (em);
      em_run (em, em_elapsed_ms (em) + OVERLOAD_MS);
      urgent = share_in_time (&t->classes[0]);
      other = share_in_time (&t->classes[1]);
      if (urgent + DRAWN_GAP < other)
        {
          printf ("draw %lu: urgent %.3f, other %.3f; %u slots, flows %d and "
                  "%d\n",
                  seed, urgent, other, settings.services[0].slots,
                  settings.classes[0].flow_mode, settings.classes[1].flow_mode);
          worse++;
        }
      assert_int_equal (t->broken, 0);
      em_free (em);
    }
  assert_int_equal (worse, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_drawn_deployments),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
