/* place.c -- the candidates of a service and their order for a flow

   Weighted rendezvous hashing: each candidate gets the score -w / ln(u),
   where u in (0, 1) is the hash of flow and candidate, and the highest score
   is first.  A share is proportional to its weight, a changed weight moves
   only flows to or from that candidate, and the order of the others never
   changes.  With equal weights the order of scores is the order of the hashes
   and the logarithm is not computed.

   Ready candidates come before those that only keep their flows, and these
   before candidates declared dead.  Within each group a lower rank comes first.
   A new flow must not reach a draining backend server, while a packet of an old
   flow still finds it among the fallbacks.  */

#include "boragelatch.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

struct scored
{
  double score;
  uint16_t group; /* from group_of; lower first, before the score */
  uint32_t index;
};

void
bl_pool_clear (struct bl_pool *pool)
{
  pool->count = 0;
  pool->equal_weights = true;
}

void
bl_pool_free (struct bl_pool *pool)
{
  free (pool->items);
  *pool = (struct bl_pool){ .count = 0 };
}

static void
apply_rules (struct bl_candidate *c,
             const struct bl_service *service,
             const struct bl_record *record)
{
  /* A rule for the backend server itself overrides the weight and rank of one
     for its data centre, whatever their order, so it is applied last.  Either
     rule can drain the backend server.  */
  for (int want_dc = 1; want_dc >= 0; want_dc--)
    for (size_t i = 0; i < service->rule_count; i++)
      {
        const struct bl_rule *rule = &service->rules[i];
        const struct bl_name *name = want_dc ? &record->dc : &record->id;
        if (rule->is_dc != (want_dc == 1) || !bl_name_equal (&rule->name, name))
          continue;
        c->weight = rule->weight;
        c->rank = rule->rank;
        c->ready = c->ready && !rule->drain && rule->weight > 0;
      }
}

static int
grow (struct bl_pool *pool)
{
  size_t cap = pool->cap > 0 ? pool->cap * 2 : 8;
  struct bl_candidate *items = realloc (pool->items, cap * sizeof *items);

  if (items == NULL)
    return BL_ENOMEM;
  pool->items = items;
  pool->cap = cap;
  return BL_OK;
}

int
bl_pool_add (struct bl_pool *pool,
             const struct bl_service *service,
             const struct bl_record *record,
             const struct bl_names *dcs_without_balancers)
{
  struct bl_candidate c = {
    .hash = bl_name_hash (&record->id, 0),
    .incarnation = record->incarnation,
    .data = { record->ip, record->data_port },
    .control = { record->ip, record->control_port },
    .weight = BL_WEIGHT_DEFAULT,
    .ready = record->state == BL_STATE_READY,
    .declared_dead = record->state == BL_STATE_DEAD,
    .unhealthy = record->unhealthy,
    .id = record->id,
  };

  if (record->state == BL_STATE_LEFT || record->state == BL_STATE_STARTING
      || !bl_name_equal (&record->service, &service->name))
    return BL_OK;
  if (dcs_without_balancers != NULL && !record->remotely_monitored
      && bl_names_has (dcs_without_balancers, &record->dc))
    c.ready = false;
  if (pool->count == pool->cap && grow (pool) != BL_OK)
    return BL_ENOMEM;
  apply_rules (&c, service, record);
  if (pool->count == 0)
    pool->equal_weights = true;
  else if (pool->items[0].weight != c.weight)
    pool->equal_weights = false;
  pool->items[pool->count++] = c;
  return BL_OK;
}

void
bl_pool_finish (struct bl_pool *pool)
{
  bool any_healthy = false;

  for (size_t i = 0; i < pool->count; i++)
    any_healthy
        = any_healthy || (pool->items[i].ready && !pool->items[i].unhealthy);
  for (size_t i = 0; i < pool->count && any_healthy; i++)
    if (pool->items[i].unhealthy)
      pool->items[i].ready = false;
}

static uint64_t
pair_hash (uint64_t flow_hash, uint64_t candidate_hash)
{
  uint64_t pair[2] = { flow_hash, candidate_hash };
  return XXH3_64bits (pair, sizeof pair);
}

static double
score (const struct bl_candidate *c, uint64_t hash, bool equal_weights)
{
  double u;

  if (equal_weights)
    return (double)(hash >> 11);
  u = ((double)(hash >> 11) + 0.5) / 9007199254740992.0;
  /* A candidate of weight 0 is not ready and only needs a positive score.  */
  return -(c->weight > 0 ? c->weight : 1) / log (u);
}

/* Sort key: 0 for ready candidates, 1 for those that only keep their flows, 2
   for those declared dead; then the rank.  */
static uint16_t
group_of (const struct bl_candidate *c)
{
  unsigned group = 0;

  if (!c->ready)
    group = 1;
  if (c->declared_dead)
    group = 2;
  return (uint16_t)(group * 256 + c->rank);
}

static bool
comes_before (const struct scored *a, const struct scored *b)
{
  if (a->group != b->group)
    return a->group < b->group;
  if (a->score != b->score)
    return a->score > b->score;
  return a->index < b->index;
}

/* Inserts ITEM into BEST, a sorted list of the best MAX items with N entries;
   returns its new length.  */
static size_t
insert_best (struct scored *best, size_t n, size_t max, struct scored item)
{
  size_t at;

  if (n == max && !comes_before (&item, &best[n - 1]))
    return n;
  at = n < max ? n++ : n - 1;
  while (at > 0 && comes_before (&item, &best[at - 1]))
    {
      best[at] = best[at - 1];
      at--;
    }
  best[at] = item;
  return n;
}

static size_t
rendezvous_rank (struct bl_policy *policy,
                 const struct bl_pool *pool,
                 uint64_t flow_hash,
                 uint32_t *out,
                 size_t max)
{
  struct scored best[BL_FALLBACKS_MAX];
  size_t n = 0;

  (void)policy;
  if (max > BL_FALLBACKS_MAX)
    max = BL_FALLBACKS_MAX;
  for (size_t i = 0; i < pool->count && max > 0; i++)
    {
      const struct bl_candidate *c = &pool->items[i];
      struct scored item = {
        .score = score (c, pair_hash (flow_hash, c->hash), pool->equal_weights),
        .group = group_of (c),
        .index = (uint32_t)i,
      };
      n = insert_best (best, n, max, item);
    }
  for (size_t i = 0; i < n; i++)
    out[i] = best[i].index;
  return n;
}

static const struct bl_policy_ops rendezvous_ops = {
  .name = "rendezvous",
  .rank = rendezvous_rank,
};

struct bl_policy bl_policy_rendezvous = { .ops = &rendezvous_ops };
