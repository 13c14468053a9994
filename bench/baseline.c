/* baseline.c -- placement policies for comparison with the core's

   Modulo hashing is the policy of a balancer that considers only the number of
   backend servers.  The other baseline, rendezvous hashing alone, needs no code
   here: it is the core's own policy without agents that forward packets.  */

#include "bench/baseline.h"

static size_t
modulo_rank (struct bl_policy *policy,
             const struct bl_pool *pool,
             uint64_t flow_hash,
             uint32_t *out,
             size_t max)
{
  size_t ready = 0;
  size_t skip;

  (void)policy;
  for (size_t i = 0; i < pool->count; i++)
    ready += pool->items[i].ready;
  if (ready == 0 || max == 0)
    return 0;
  skip = flow_hash % ready;
  for (size_t i = 0; i < pool->count; i++)
    if (pool->items[i].ready && skip-- == 0)
      {
        out[0] = (uint32_t)i;
        return 1;
      }
  return 0;
}

static const struct bl_policy_ops modulo_ops = {
  .name = "modulo",
  .rank = modulo_rank,
};

struct bl_policy baseline_modulo = { .ops = &modulo_ops };
