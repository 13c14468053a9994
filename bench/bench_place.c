/* bench_place.c -- processor time of a placement decision, by the number of
   candidates  */

#include "bench/bench.h"
#include "boragelatch.h"

#include <stdlib.h>

#define ROUNDS 200000 /* about so many decisions with 9 candidates */

static void
fill_pool (struct bl_pool *pool, const struct bl_service *service, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct bl_record r = {
        .kind = BL_KIND_BACKEND,
        .state = BL_STATE_READY,
        .ip = (uint32_t)i + 1,
        .data_port = 1,
        .service = service->name,
      };
      char text[32];
      snprintf (text, sizeof text, "server-%zu", i);
      bl_name_set (&r.id, bl_str_of (text));
      bl_pool_add (pool, service, &r, NULL);
    }
}

static double
time_rank (const struct bl_pool *pool, size_t rounds)
{
  struct bl_policy *p = &bl_policy_rendezvous;
  uint32_t order[BL_FALLBACKS_MAX];
  volatile uint32_t sink = 0; /* keeps the calls from being optimised out */
  uint64_t start = cpu_ns ();

  for (size_t i = 0; i < rounds; i++)
    {
      p->ops->rank (p, pool, i * 0x9e3779b97f4a7c15u, order, BL_FALLBACKS_MAX);
      sink += order[0];
    }
  return (double)(cpu_ns () - start) / (double)rounds;
}

/* Measures with COUNT candidates, of equal weight and then with one at a weight
   of 50.  */
static void
measure_count (size_t count)
{
  struct bl_service service = { .id = 1 };
  struct bl_rule rule = { .weight = 50 };
  struct bl_pool pool = { .count = 0 };
  char name[48];

  bl_name_set (&service.name, bl_str_of ("web"));
  fill_pool (&pool, &service, count);
  snprintf (name, sizeof name, "decision_ns_%zu", count);
  print_result (name, time_rank (&pool, ROUNDS * 9 / count + 1000), "ns");
  bl_pool_clear (&pool);
  bl_name_set (&rule.name, bl_str_of ("server-0"));
  service.rules = &rule;
  service.rule_count = 1;
  fill_pool (&pool, &service, count);
  snprintf (name, sizeof name, "decision_weighted_ns_%zu", count);
  print_result (name, time_rank (&pool, ROUNDS * 9 / count + 1000), "ns");
  bl_pool_free (&pool);
}

int
main (void)
{
  measure_count (9);
  measure_count (36);
  measure_count (144);
  measure_count (600);
  return 0;
}
