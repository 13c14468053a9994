/* bench_admit.c -- a high class under a flood of a low one, against idle

   At the slots of both deployments.  Without classes both have the same
   priority and nothing is reserved: what a balancer does that knows no
   classes.  */

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
print (const char *name,
       const char *deployment,
       const char *suffix,
       double value,
       const char *unit)
{
  char text[96];
  snprintf (text, sizeof text, "%s_%s%s", name, deployment, suffix);
  result (text, value, unit);
}

int
main (void)
{
  for (size_t i = 0; i < sizeof floods / sizeof floods[0]; i++)
    {
      struct flood_class classes[2]
          = { floods[i].classes[0], floods[i].classes[1] };
      struct flood_outcome idle[1];
      struct flood_outcome o[2];
      flood_run (SEED, floods[i].slots, floods[i].service_ms, classes, 1,
                 SECONDS, idle);
      flood_run (SEED, floods[i].slots, floods[i].service_ms, classes, 2,
                 SECONDS, o);
      print ("high_class_p99_ratio", floods[i].name, "",
             (double)o[0].p99_ms / idle[0].p99_ms, "1");
      print ("low_class_answered_share", floods[i].name, "",
             (double)o[1].answered / (double)o[1].requests, "1");
      classes[0].priority = classes[1].priority;
      classes[0].reserved = 0;
      flood_run (SEED, floods[i].slots, floods[i].service_ms, classes, 2,
                 SECONDS, o);
      print ("high_class_p99_ratio", floods[i].name, "_classless",
             (double)o[0].p99_ms / idle[0].p99_ms, "1");
    }
  return 0;
}
