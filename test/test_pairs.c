/* test_pairs.c -- each pair of two failures at a time

   Each ordered pair of eight failures is injected while flows are open and new
   ones start.  Times and instances are drawn from a seeded generator.  The
   invariants are checked after each step.  A run that fails prints its
   scenario, which can be saved below test/traces and is then replayed by
   test_replay.

   SEED and RUNS in the environment select other seeds and more runs; see `make
   soak`.  */

#include "test/options.h"
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
  DATA_CENTRES_PARTITIONED,
  PROCESS_FROZEN,
  FAILURE_COUNT,
};

/* A run and the scenario that reproduces it.  */
struct run
{
  struct fake *fake;
  struct bl_random random;
  size_t len;
  char text[TEXT_MAX];
  int nodes_joined;
  bool config_changed;
  /* Highest configuration version seen, by balancer.  */
  uint64_t highest_versions[FAKE_INSTANCES_MAX];
  bool drained;
  uint64_t drained_ms;
  char dead_servers[64]; /* ids of backend servers that died */
};

static void run_line (struct run *run, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Adds a line to the scenario and runs it.  */
static void
run_line (struct run *run, const char *format, ...)
{
  char line[160];
  char reason[64];
  va_list args;
  bool good;

  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  run->len += (size_t)snprintf (run->text + run->len, TEXT_MAX - run->len,
                                "%s\n", line);
  good = scenario_run_line (run->fake, line, reason, sizeof reason);
  if (!good)
    fail_msg ("%s: %s; the run was:\n%s", line, reason, run->text);
}

/* -- invariants -- */

/* No balancer may return to an older configuration in its lifetime.  */
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
      if (version < run->highest_versions[i])
        fail_msg ("%s returned to version %lu; the run was:\n%s", e->id.s,
                  version, run->text);
      run->highest_versions[i] = version;
    }
}

/* No flow of a caller may reach a backend server of another service.  */
static void
check_service_isolation (struct run *run)
{
  if (fake_flows_at (run->fake, "other") != 0)
    fail_msg ("packets reached another service; the run was:\n%s", run->text);
}

static void
run_and_check (struct run *run, unsigned ms)
{
  run_line (run, "run %u", ms);
  check_versions (run);
  check_service_isolation (run);
  run_line (run, "expect doubled 0");
  run_line (run, "expect broken-only %s", run->dead_servers);
  run_line (run, "expect refused-unserved");
}

/* -- failures -- */

static unsigned
random_below (struct run *run, unsigned bound)
{
  return bl_random_below (&run->random, bound);
}

static void
inject_failure (struct run *run, enum failure failure)
{
  switch (failure)
    {
    case BALANCER_DIES:
      run_line (run, "kill b%u", random_below (run, BALANCERS));
      break;
    case BALANCER_JOINS:
      run_line (run, "node n%d dc%u", run->nodes_joined++,
                random_below (run, 2));
      break;
    case BACKEND_DRAINS:
      run_line (run, "drain s0");
      run->config_changed = true;
      run->drained = true;
      run->drained_ms = run->fake->now;
      break;
    case BACKEND_DIES:
      run_line (run, "kill s1");
      snprintf (run->dead_servers, sizeof run->dead_servers, "s1");
      break;
    case PLATFORM_DOWN:
      run_line (run, "platform down");
      run_line (run, "weigh s3 %u", 1 + random_below (run, 300));
      run->config_changed = true;
      break;
    case PLATFORM_SLOW:
      run_line (run, "platform down");
      run_line (run, "weigh s4 %u", 1 + random_below (run, 300));
      run_line (run, "run %u", 500 + random_below (run, 2000));
      run_line (run, "platform up");
      run->config_changed = true;
      break;
    case DATA_CENTRES_PARTITIONED:
      run_line (run, "cut dc0 dc1");
      break;
    case PROCESS_FROZEN:
      run_line (run, "freeze %s%u %u", random_below (run, 2) ? "b" : "s",
                2 + random_below (run, 2), 2000 + random_below (run, 4000));
      break;
    default:
      break;
    }
}

static void
repair (struct run *run)
{
  run_line (run, "platform up");
  run_line (run, "mend");
}

/* -- a run -- */

static void
start_deployment (struct run *run, uint64_t seed)
{
  run->fake = fake_new (seed);
  run->random.state = seed * 7919;
  run->len = (size_t)snprintf (run->text, TEXT_MAX, "seed %lu\n", seed);
  run_line (run, "service web");
  run_line (run, "service elsewhere");
  for (int i = 0; i < BALANCERS; i++)
    run_line (run, "node b%d dc%d", i, i % 2);
  for (int i = 0; i < SERVERS; i++)
    run_line (run, "agent s%d dc%d web", i, i % 2);
  run_line (run, "agent other dc0 elsewhere");
  run_line (run, "run 7000");
  run_line (run, "expect ready %d", SERVERS + 1);
}

/* Once its drain is in force, a backend server must get no new flow.  */
static void
check_drain (struct run *run)
{
  if (!run->drained)
    return;
  run_line (run, "run 4000");
  run_line (run, "mark");
  run_line (run, "open %d 2", FLOWS);
  run_line (run, "run 1500");
  run_line (run, "expect no-new s0");
}

static void
run_pair (uint64_t seed, enum failure a, enum failure b)
{
  struct run *run = calloc (1, sizeof *run);

  start_deployment (run, seed);
  run_line (run, "loss %u", random_below (run, 2) ? 100 : 0);
  run_line (run, "open %d %d", FLOWS, SEGMENTS);
  run_and_check (run, 600 + random_below (run, 800));
  inject_failure (run, a);
  run_and_check (run,
                 random_below (run, 2) ? 10 : 200 + random_below (run, 1200));
  run_line (run, "open %d %d", FLOWS, SEGMENTS);
  inject_failure (run, b);
  run_and_check (run, 500 + random_below (run, 500));
  run_line (run, "open %d %d", FLOWS, SEGMENTS);
  run_and_check (run, 1500);
  repair (run);
  run_and_check (run, 1000);
  check_drain (run);
  run_line (run, "finish 60000");
  run_and_check (run, 8000);
  run_line (run, "expect open 0");
  if (run->config_changed)
    run_line (run, "expect in-force 3000");
  fake_free (run->fake);
  free (run);
}

static void
test_pairs (void **state)
{
  uint64_t first = environment_number ("SEED", SEED);
  uint64_t runs = environment_number ("RUNS", RUNS);

  (void)state;
  for (uint64_t r = 0; r < runs; r++)
    for (unsigned a = 0; a < FAILURE_COUNT; a++)
      for (unsigned b = 0; b < FAILURE_COUNT; b++)
        run_pair (first * 100000 + r * 100 + a * FAILURE_COUNT + b,
                  (enum failure)a, (enum failure)b);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pairs),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
