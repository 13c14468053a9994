/* test_pairs.c -- failures two at a time

   Every pair of eight failures is brought about while flows run and new ones
   open, at times, places and in an order drawn from a seed.  What must always
   hold is checked after each step.  A run that fails prints itself as a
   scenario, which can be saved below test/traces and is then replayed by
   test_replay.

   SEED and RUNS in the environment make a longer run; see `make soak`.  */

#include "test/scenario.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define SEED      1
#define RUNS      2
#define FLOWS     60
#define SEGMENTS  10
#define TEXT_MAX  8192
#define BALANCERS 4
#define SERVERS   7

enum failure
{
  BALANCER_DIES,
  BALANCER_JOINS,
  BACKEND_DRAINS,
  BACKEND_DIES,
  PLATFORM_DOWN,
  PLATFORM_SLOW,
  DATA_CENTRES_CUT,
  PROCESS_FROZEN,
  FAILURES,
};

/* A run under way, and the scenario that repeats it.  */
struct run
{
  struct fake *fake;
  struct bl_random random;
  size_t len;
  char text[TEXT_MAX];
  int joined;
  bool changed;                         /* the configuration was */
  uint64_t highest[FAKE_INSTANCES_MAX]; /* version seen at each balancer */
  bool drained;
  uint64_t drained_ms;
  char dead[64]; /* names of backend servers that died */
};

static void say (struct run *run, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Adds a line to the scenario and runs it.  */
static void
say (struct run *run, const char *format, ...)
{
  char line[160];
  char why[64];
  va_list args;
  bool good;

  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  run->len += (size_t)snprintf (run->text + run->len, TEXT_MAX - run->len,
                                "%s\n", line);
  good = scenario_run_line (run->fake, line, why, sizeof why);
  if (!good)
    fail_msg ("%s: %s; the run was:\n%s", line, why, run->text);
}

/* -- what must always hold -- */

/* No balancer goes back to an older configuration in its lifetime.  */
static void
check_versions (struct run *run)
{
  for (size_t i = 0; i < run->fake->instance_count; i++)
    {
      const struct fake_instance *e = &run->fake->instances[i];
      uint64_t version;
      if (e->kind != FAKE_NODE || !e->alive)
        continue;
      version = bl_config_version (bl_node_config (e->node));
      if (version < run->highest[i])
        fail_msg ("%s went back to %lu; the run was:\n%s", e->id.s, version,
                  run->text);
      run->highest[i] = version;
    }
}

/* Nothing of the service that callers want reaches a server of another.  */
static void
check_other_service (struct run *run)
{
  if (fake_flows_at (run->fake, "other") != 0)
    fail_msg ("packets reached another service; the run was:\n%s", run->text);
}

static void
step (struct run *run, unsigned ms)
{
  say (run, "run %u", ms);
  check_versions (run);
  check_other_service (run);
  say (run, "expect doubled 0");
  say (run, "expect broken-only %s", run->dead);
  say (run, "expect refused-unserved");
}

/* -- failures -- */

static unsigned
pick (struct run *run, unsigned bound)
{
  return bl_random_below (&run->random, bound);
}

static void
bring_about (struct run *run, enum failure failure)
{
  switch (failure)
    {
    case BALANCER_DIES:
      say (run, "kill b%u", pick (run, BALANCERS));
      break;
    case BALANCER_JOINS:
      say (run, "node n%d dc%u", run->joined++, pick (run, 2));
      break;
    case BACKEND_DRAINS:
      say (run, "drain s0");
      run->changed = true;
      run->drained = true;
      run->drained_ms = run->fake->now;
      break;
    case BACKEND_DIES:
      say (run, "kill s1");
      snprintf (run->dead, sizeof run->dead, "s1");
      break;
    case PLATFORM_DOWN:
      say (run, "platform down");
      say (run, "weigh s3 %u", 1 + pick (run, 300));
      run->changed = true;
      break;
    case PLATFORM_SLOW:
      say (run, "platform down");
      say (run, "weigh s4 %u", 1 + pick (run, 300));
      say (run, "run %u", 500 + pick (run, 2000));
      say (run, "platform up");
      run->changed = true;
      break;
    case DATA_CENTRES_CUT:
      say (run, "cut dc0 dc1");
      break;
    case PROCESS_FROZEN:
      say (run, "freeze %s%u %u", pick (run, 2) ? "b" : "s", 2 + pick (run, 2),
           2000 + pick (run, 4000));
      break;
    default:
      break;
    }
}

static void
put_right (struct run *run)
{
  say (run, "platform up");
  say (run, "mend");
}

/* -- a run -- */

static void
deploy (struct run *run, uint64_t seed)
{
  run->fake = fake_new (seed);
  run->random.state = seed * 7919;
  run->len = (size_t)snprintf (run->text, TEXT_MAX, "seed %lu\n", seed);
  say (run, "service web");
  say (run, "service elsewhere");
  for (int i = 0; i < BALANCERS; i++)
    say (run, "node b%d dc%d", i, i % 2);
  for (int i = 0; i < SERVERS; i++)
    say (run, "agent s%d dc%d web", i, i % 2);
  say (run, "agent other dc0 elsewhere");
  say (run, "run 7000");
  say (run, "expect ready %d", SERVERS + 1);
}

/* A drained backend server gets nothing new, once the change had its time.  */
static void
check_drain (struct run *run)
{
  if (!run->drained)
    return;
  say (run, "run 4000");
  say (run, "mark");
  say (run, "open %d 2", FLOWS);
  say (run, "run 1500");
  say (run, "expect no-new s0");
}

static void
run_pair (uint64_t seed, enum failure a, enum failure b)
{
  struct run *run = calloc (1, sizeof *run);

  deploy (run, seed);
  say (run, "loss %u", pick (run, 2) ? 100 : 0);
  say (run, "open %d %d", FLOWS, SEGMENTS);
  step (run, 600 + pick (run, 800));
  bring_about (run, a);
  step (run, pick (run, 2) ? 10 : 200 + pick (run, 1200));
  say (run, "open %d %d", FLOWS, SEGMENTS);
  bring_about (run, b);
  step (run, 500 + pick (run, 500));
  say (run, "open %d %d", FLOWS, SEGMENTS);
  step (run, 1500);
  put_right (run);
  step (run, 1000);
  check_drain (run);
  say (run, "finish 60000");
  step (run, 8000);
  say (run, "expect open 0");
  if (run->changed)
    say (run, "expect in-force 3000");
  fake_free (run->fake);
  free (run);
}

static uint64_t
from_environment (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);
  return text != NULL ? strtoul (text, NULL, 10) : fallback;
}

static void
test_pairs (void **state)
{
  uint64_t first = from_environment ("SEED", SEED);
  uint64_t runs = from_environment ("RUNS", RUNS);

  (void)state;
  for (uint64_t r = 0; r < runs; r++)
    for (unsigned a = 0; a < FAILURES; a++)
      for (unsigned b = 0; b < FAILURES; b++)
        run_pair (first * 100000 + r * 100 + a * FAILURES + b, (enum failure)a,
                  (enum failure)b);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pairs),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
