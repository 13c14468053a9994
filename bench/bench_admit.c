/* bench_admit.c -- latency of a high class during a flood of a low class

   The ratio compares the high class's 99th percentile with and without the
   flood, for the numbers of slots of both deployments.  In the classless runs
   both classes have the same priority and no reserved slots, as on a balancer
   without classes.  */

#include "bench/bench.h"
#include "test/flood.h"

#define SEED    5
#define SECONDS 10

static const struct
{
  const char *name;
  uint32_t slots;
  uint32_t service_ms;
  struct flood_class classes[2];
} floods[] = {
  { "rotsuay", 2, 10, { { 7, 1, 500, 20 }, { 1, 0, 200, 1500 } } },
  { "clinic", 7, 30, { { 7, 2, 1000, 40 }, { 3, 0, 300, 2000 } } },
};

static void
print_deployment_result (const char *name,
                         const char *deployment,
                         const char *suffix,
                         double value,
                         const char *unit)
{
  char text[96];
  snprintf (text, sizeof text, "%s_%s%s", name, deployment, suffix);
  print_result (text, value, unit);
}

int
main (void)
{
  for (size_t i = 0; i < sizeof floods / sizeof floods[0]; i++)
    {
      struct flood_class classes[2]
          = { floods[i].classes[0], floods[i].classes[1] };
      struct flood_outcome idle[1];
      struct flood_outcome both[2];
      flood_run (SEED, floods[i].slots, floods[i].service_ms, classes, 1,
                 SECONDS, idle);
      flood_run (SEED, floods[i].slots, floods[i].service_ms, classes, 2,
                 SECONDS, both);
      print_deployment_result ("high_class_p99_ratio", floods[i].name, "",
                               (double)both[0].p99_ms / idle[0].p99_ms, "1");
      print_deployment_result (
          "low_class_answered_share", floods[i].name, "",
          (double)both[1].answered / (double)both[1].requests, "1");
      classes[0].priority = classes[1].priority;
      classes[0].reserved = 0;
      flood_run (SEED, floods[i].slots, floods[i].service_ms, classes, 2,
                 SECONDS, both);
      print_deployment_result ("high_class_p99_ratio", floods[i].name,
                               "_classless",
                               (double)both[0].p99_ms / idle[0].p99_ms, "1");
    }
  return 0;
}
