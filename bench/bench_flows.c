/* bench_flows.c -- broken flows and imbalance, against two baselines

   The product: real balancers and agents on the tests' fake network, at the
   size of each deployment's largest service, 2,000 connections a backend
   server, long flows whose work is heavy-tailed.  Once all are open, planned
   changes are made one after the other: a backend server drained, two added, a
   weight changed, a balancer stopped, one started.  Then one backend server
   dies.

   The baselines: the same flows and changes on tables alone.  Under "modulo"
   each balancer keeps a table of the flows it has seen and hashes the others;
   under "rendezvous" each hashes every packet.  Each packet of a flow goes to
   a balancer at random; a flow breaks when a packet reaches another backend
   server than its first.  */

#include "bench/baseline.h"
#include "bench/bench.h"
#include "test/fake.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define SEED            4711 /* unless another is given as argument */
#define RUNS            4
#define SERVERS         7
#define CONNECTIONS     2000 /* for each backend server */
#define SETTLE_MS       8000
#define OPEN_BATCH      7 /* 1% of all a second, as at the target */
#define OPEN_STEP_MS    50
#define BETWEEN_MS      4000
#define SEGMENTS        400
#define INTERVAL_MS     10000
#define PACKETS_BETWEEN 3 /* of each flow, between two changes */
#define PARETO_SHAPE    1.3
#define WORK_MIN        10 /* thousandths of a slot */
#define WORK_MAX        2000

static uint64_t seed = SEED;

static uint32_t
heavy_tailed (struct bl_random *random)
{
  double u = 1.0 - bl_random_unit (random);
  double work = WORK_MIN / pow (u, 1.0 / PARETO_SHAPE);
  return work > WORK_MAX ? WORK_MAX : (uint32_t)work;
}

struct deployment
{
  const char *name;
  int dcs;
  int balancers;
};

static const struct deployment deployments[] = {
  { "rotsuay", 4, 4 },
  { "clinic", 3, 3 },
};

static void
print (const struct deployment *d,
       const char *name,
       const char *suffix,
       double value)
{
  char text[96];
  snprintf (text, sizeof text, "%s_%s%s", name, d->name, suffix);
  print_result (text, value, "1");
}

/* -- the product -- */

static void
start (struct fake *f, const struct deployment *d)
{
  char id[16];
  char dc[16];

  for (int i = 0; i < d->balancers; i++)
    {
      snprintf (id, sizeof id, "b%d", i);
      snprintf (dc, sizeof dc, "dc%d", i % d->dcs);
      fake_add_node (f, id, dc);
    }
  fake_create_service (f, "web");
  for (int i = 0; i < SERVERS; i++)
    {
      snprintf (id, sizeof id, "s%d", i);
      snprintf (dc, sizeof dc, "dc%d", i % d->dcs);
      fake_add_agent (f, id, dc, "web");
    }
  fake_run (f, SETTLE_MS);
}

static void
open_all (struct fake *f)
{
  for (int i = 0; i < SERVERS * CONNECTIONS; i += OPEN_BATCH)
    {
      fake_open (f, OPEN_BATCH, SEGMENTS);
      fake_run (f, OPEN_STEP_MS);
    }
  fake_run (f, BETWEEN_MS);
}

static double
ratio (const double *value, size_t n)
{
  double sum = 0;
  double most = 0;

  for (size_t i = 0; i < n; i++)
    {
      sum += value[i];
      most = value[i] > most ? value[i] : most;
    }
  return most * (double)n / sum;
}

/* What the runs of one deployment came to.  */
struct sums
{
  double connections;
  double connections_worst;
  double work;
  double work_worst;
  double broken_planned;
  double broken_crash;
  double lived;
};

static void
keep_worst (double *sum, double *worst, double value)
{
  *sum += value;
  *worst = value > *worst ? value : *worst;
}

static void
measure_balance (const struct fake *f,
                 const struct deployment *d,
                 struct sums *sums)
{
  double connections[FAKE_ENDS_MAX] = { 0 };
  double work[FAKE_ENDS_MAX] = { 0 };
  size_t first = (size_t)d->balancers;

  for (size_t i = 0; i < f->caller_count; i++)
    if (f->callers[i].has_server)
      {
        connections[f->callers[i].server]++;
        work[f->callers[i].server] += f->callers[i].work;
      }
  keep_worst (&sums->connections, &sums->connections_worst,
              ratio (connections + first, SERVERS));
  keep_worst (&sums->work, &sums->work_worst, ratio (work + first, SERVERS));
}

static void
change_everything (struct fake *f)
{
  fake_change (f, "[{\"rule\":{\"service\":\"web\",\"backend\":\"s0\","
                  "\"drain\":true}}]");
  fake_run (f, BETWEEN_MS);
  fake_add_agent (f, "s7", "dc0", "web");
  fake_add_agent (f, "s8", "dc1", "web");
  fake_run (f, BETWEEN_MS);
  fake_change (f, "[{\"rule\":{\"service\":\"web\",\"backend\":\"s3\","
                  "\"weight\":300}}]");
  fake_run (f, BETWEEN_MS);
  bl_node_drain (fake_end (f, "b0")->node);
  fake_run (f, BETWEEN_MS);
  bl_node_leave (fake_end (f, "b0")->node);
  fake_kill (f, "b0");
  fake_add_node (f, "b9", "dc0");
  fake_run (f, BETWEEN_MS);
}

static void
run_product (const struct deployment *d, uint64_t run_seed, struct sums *sums)
{
  struct fake *f = fake_new (run_seed);
  size_t before;

  f->draw_work = heavy_tailed;
  f->data_interval_ms = INTERVAL_MS;
  start (f, d);
  open_all (f);
  measure_balance (f, d, sums);
  change_everything (f);
  before = fake_count (f, FAKE_BROKEN);
  sums->broken_planned += (double)before;
  sums->lived += (double)fake_flows_at (f, "s5");
  fake_kill (f, "s5");
  fake_run (f, 40000);
  sums->broken_crash += (double)(fake_count (f, FAKE_BROKEN) - before);
  fake_free (f);
}

static void
product (const struct deployment *d)
{
  struct sums sums = { .lived = 0 };

  for (uint64_t i = 0; i < RUNS; i++)
    run_product (d, seed + i, &sums);
  print (d, "imbalance_connections", "", sums.connections / RUNS);
  print (d, "imbalance_connections", "_worst", sums.connections_worst);
  print (d, "imbalance_work", "", sums.work / RUNS);
  print (d, "imbalance_work", "_worst", sums.work_worst);
  print (d, "broken_flows_planned", "", sums.broken_planned);
  print (d, "broken_flows_crash_ratio", "", sums.broken_crash / sums.lived);
}

/* -- the baselines -- */

#define TABLE_BALANCERS 4

struct flow
{
  uint64_t hash;
  uint32_t work;
  uint32_t server; /* where it lives */
  bool broken;
  uint8_t seen; /* balancers that have it in their table, as bits */
};

struct table
{
  struct bl_policy *policy;
  bool remembers;
  struct bl_service service;
  struct bl_rule rules[4];
  struct bl_pool pool;
  struct bl_random random;
  size_t count;
  struct flow *flows;
};

static void
fill_pool (struct table *t, int servers)
{
  bl_pool_clear (&t->pool);
  for (int i = 0; i < servers; i++)
    {
      struct bl_record r = {
        .kind = BL_KIND_BACKEND,
        .state = BL_STATE_READY,
        .service = t->service.name,
      };
      char id[16];
      snprintf (id, sizeof id, "s%d", i);
      bl_name_set (&r.id, bl_str_of (id));
      bl_pool_add (&t->pool, &t->service, &r, NULL);
    }
}

static uint32_t
choose (struct table *t, const struct flow *flow)
{
  uint32_t order[1] = { 0 };
  t->policy->ops->rank (t->policy, &t->pool, flow->hash, order, 1);
  return order[0];
}

static void
open_flows (struct table *t)
{
  for (size_t i = 0; i < t->count; i++)
    {
      struct flow *f = &t->flows[i];
      f->hash = bl_random_next (&t->random);
      f->work = heavy_tailed (&t->random);
      f->server = choose (t, f);
      f->seen = (uint8_t)(1 << bl_random_below (&t->random, TABLE_BALANCERS));
    }
}

static void
send_packets (struct table *t)
{
  for (size_t i = 0; i < t->count; i++)
    for (int k = 0; k < PACKETS_BETWEEN && !t->flows[i].broken; k++)
      {
        struct flow *f = &t->flows[i];
        uint8_t at
            = (uint8_t)(1 << bl_random_below (&t->random, TABLE_BALANCERS));
        if (t->remembers && (f->seen & at))
          continue;
        f->broken = choose (t, f) != f->server;
        f->seen |= at;
      }
}

static void
add_rule (struct table *t, const char *id, uint16_t weight, bool drain)
{
  struct bl_rule *r = &t->rules[t->service.rule_count++];

  *r = (struct bl_rule){ .weight = weight, .drain = drain };
  bl_name_set (&r->name, bl_str_of (id));
}

static void
baseline (const struct deployment *d,
          struct bl_policy *policy,
          bool remembers,
          const char *suffix)
{
  struct table t = { .policy = policy, .remembers = remembers };
  double connections[SERVERS] = { 0 };
  double work[SERVERS] = { 0 };
  size_t broken = 0;

  t.random.state = seed;
  t.count = SERVERS * CONNECTIONS;
  t.flows = calloc (t.count, sizeof *t.flows);
  t.service.rules = t.rules;
  bl_name_set (&t.service.name, bl_str_of ("web"));
  fill_pool (&t, SERVERS);
  open_flows (&t);
  for (size_t i = 0; i < t.count; i++)
    {
      connections[t.flows[i].server]++;
      work[t.flows[i].server] += t.flows[i].work;
    }
  send_packets (&t);
  add_rule (&t, "s0", BL_WEIGHT_DEFAULT, true);
  fill_pool (&t, SERVERS);
  send_packets (&t);
  fill_pool (&t, SERVERS + 2);
  send_packets (&t);
  add_rule (&t, "s3", 300, false);
  fill_pool (&t, SERVERS + 2);
  send_packets (&t);
  for (size_t i = 0; i < t.count; i++)
    t.flows[i].seen &= (uint8_t)~1; /* a balancer replaced */
  send_packets (&t);
  for (size_t i = 0; i < t.count; i++)
    broken += t.flows[i].broken;
  print (d, "imbalance_connections", suffix, ratio (connections, SERVERS));
  print (d, "imbalance_work", suffix, ratio (work, SERVERS));
  print (d, "broken_flows_planned", suffix, (double)broken);
  bl_pool_free (&t.pool);
  free (t.flows);
}

int
main (int argc, char **argv)
{
  if (argc > 1)
    seed = strtoul (argv[1], NULL, 10);
  for (size_t i = 0; i < sizeof deployments / sizeof deployments[0]; i++)
    {
      const struct deployment *d = &deployments[i];
      product (d);
      baseline (d, &baseline_modulo, true, "_modulo");
      baseline (d, &bl_policy_rendezvous, false, "_rendezvous");
    }
  return 0;
}
