/* bench_flows.c -- broken flows and imbalance, compared with two baselines

   The product: real balancers and agents run on the tests' fake network, at the
   size of each deployment's largest service, with 2,000 connections for each
   backend server.  Flows are long and their work is heavy-tailed.  Once all
   flows are open, planned changes are made one after the other: a backend
   server is drained, two are added, a weight is changed, a balancer is stopped
   and another started.  Then one backend server crashes.

   The baselines: the same flows and changes are simulated on tables.  With
   "modulo" each balancer has a table of the flows that it has seen and hashes
   the others; with "rendezvous" it hashes every packet.  Each packet of a flow
   reaches a random balancer.  A flow breaks when a packet reaches a backend
   server other than that of the first packet.  */

#include "bench/baseline.h"
#include "bench/bench.h"
#include "test/fake.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define SEED        4711 /* default of the first argument */
#define RUNS        4
#define SERVERS     7
#define CONNECTIONS 2000 /* for each backend server */
#define SETTLE_MS   8000
/* Flows in each step: 1% of all flows a second, as at the target size.  */
#define OPEN_BATCH_FLOWS    7
#define OPEN_STEP_MS        50
#define CHANGE_INTERVAL_MS  4000  /* between two changes */
#define AFTER_CRASH_MS      40000 /* after the crash of a backend server */
#define FLOW_SEGMENTS       400
#define SEGMENT_INTERVAL_MS 10000 /* between two segments of a flow */
#define PACKETS_PER_CHANGE  3     /* of each flow, between two changes */
#define PARETO_SHAPE        1.3
#define WORK_MIN            10 /* thousandths of a slot */
#define WORK_MAX            2000

static uint64_t seed = SEED;

/* Draws the work of a flow from a truncated Pareto distribution.  */
static uint32_t
draw_heavy_tailed (struct bl_random *random)
{
  double u = 1.0 - bl_random_unit (random);
  double work = WORK_MIN / pow (u, 1.0 / PARETO_SHAPE);
  return work > WORK_MAX ? WORK_MAX : (uint32_t)work;
}

struct deployment
{
  const char *name;
  int dc_count;
  int balancers;
};

static const struct deployment deployments[] = {
  { "rotsuay", 4, 4 },
  { "clinic", 3, 3 },
};

static void
print_deployment_result (const struct deployment *d,
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
set_up (struct fake *f, const struct deployment *d)
{
  char id[16];
  char dc[16];

  for (int i = 0; i < d->balancers; i++)
    {
      snprintf (id, sizeof id, "b%d", i);
      snprintf (dc, sizeof dc, "dc%d", i % d->dc_count);
      fake_add_node (f, id, dc);
    }
  fake_create_service (f, "web");
  for (int i = 0; i < SERVERS; i++)
    {
      snprintf (id, sizeof id, "s%d", i);
      snprintf (dc, sizeof dc, "dc%d", i % d->dc_count);
      fake_add_agent (f, id, dc, "web");
    }
  fake_run (f, SETTLE_MS);
}

static void
open_all_flows (struct fake *f)
{
  for (int i = 0; i < SERVERS * CONNECTIONS; i += OPEN_BATCH_FLOWS)
    {
      fake_open (f, OPEN_BATCH_FLOWS, FLOW_SEGMENTS);
      fake_run (f, OPEN_STEP_MS);
    }
  fake_run (f, CHANGE_INTERVAL_MS);
}

/* Returns the largest value divided by the mean.  */
static double
max_over_mean (const double *value, size_t n)
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

/* Results of the runs of one deployment: sums, and the worst run.  */
struct sums
{
  double connections;
  double connections_worst;
  double work;
  double work_worst;
  double broken_planned; /* flows broken by planned changes */
  double broken_crash;   /* flows broken after the crash */
  double flows_at_crash; /* flows on the server that crashed */
};

static void
add_run (double *sum, double *worst, double value)
{
  *sum += value;
  *worst = value > *worst ? value : *worst;
}

static void
measure_balance (const struct fake *f,
                 const struct deployment *d,
                 struct sums *sums)
{
  double connections[FAKE_INSTANCES_MAX] = { 0 };
  double work[FAKE_INSTANCES_MAX] = { 0 };
  size_t first = (size_t)d->balancers;

  for (size_t i = 0; i < f->caller_count; i++)
    if (f->callers[i].has_server)
      {
        connections[f->callers[i].server]++;
        work[f->callers[i].server] += f->callers[i].work;
      }
  add_run (&sums->connections, &sums->connections_worst,
           max_over_mean (connections + first, SERVERS));
  add_run (&sums->work, &sums->work_worst,
           max_over_mean (work + first, SERVERS));
}

static void
make_planned_changes (struct fake *f)
{
  fake_apply_edits (f, "[{\"rule\":{\"service\":\"web\",\"backend\":\"s0\","
                       "\"drain\":true}}]");
  fake_run (f, CHANGE_INTERVAL_MS);
  fake_add_agent (f, "s7", "dc0", "web");
  fake_add_agent (f, "s8", "dc1", "web");
  fake_run (f, CHANGE_INTERVAL_MS);
  fake_apply_edits (f, "[{\"rule\":{\"service\":\"web\",\"backend\":\"s3\","
                       "\"weight\":300}}]");
  fake_run (f, CHANGE_INTERVAL_MS);
  bl_node_drain (fake_instance (f, "b0")->node);
  fake_run (f, CHANGE_INTERVAL_MS);
  bl_node_leave (fake_instance (f, "b0")->node);
  fake_kill (f, "b0");
  fake_add_node (f, "b9", "dc0");
  fake_run (f, CHANGE_INTERVAL_MS);
}

static void
run_product (const struct deployment *d, uint64_t run_seed, struct sums *sums)
{
  struct fake *f = fake_new (run_seed);
  size_t before;

  f->draw_work = draw_heavy_tailed;
  f->data_interval_ms = SEGMENT_INTERVAL_MS;
  set_up (f, d);
  open_all_flows (f);
  measure_balance (f, d, sums);
  make_planned_changes (f);
  before = fake_count_callers (f, FAKE_BROKEN);
  sums->broken_planned += (double)before;
  sums->flows_at_crash += (double)fake_flows_at (f, "s5");
  fake_kill (f, "s5");
  fake_run (f, AFTER_CRASH_MS);
  sums->broken_crash += (double)(fake_count_callers (f, FAKE_BROKEN) - before);
  fake_free (f);
}

static void
measure_product (const struct deployment *d)
{
  struct sums sums = { .flows_at_crash = 0 };

  for (uint64_t i = 0; i < RUNS; i++)
    run_product (d, seed + i, &sums);
  print_deployment_result (d, "imbalance_connections", "",
                           sums.connections / RUNS);
  print_deployment_result (d, "imbalance_connections", "_worst",
                           sums.connections_worst);
  print_deployment_result (d, "imbalance_work", "", sums.work / RUNS);
  print_deployment_result (d, "imbalance_work", "_worst", sums.work_worst);
  print_deployment_result (d, "broken_flows_planned", "", sums.broken_planned);
  print_deployment_result (d, "broken_flows_crash_ratio", "",
                           sums.broken_crash / sums.flows_at_crash);
}

/* -- the baselines -- */

#define TABLE_BALANCERS 4

struct flow
{
  uint64_t hash;
  uint32_t work;
  uint32_t server; /* of its first packet */
  bool broken;
  uint8_t seen; /* bit mask of the balancers with the flow in their table */
};

/* A simulated service and its flows.  */
struct simulation
{
  struct bl_policy *policy;
  bool has_flow_table; /* balancers have flow tables */
  struct bl_service service;
  struct bl_rule rules[4];
  struct bl_pool pool;
  struct bl_random random;
  size_t count;
  struct flow *flows;
};

static void
fill_pool (struct simulation *t, int servers)
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
choose_server (struct simulation *t, const struct flow *flow)
{
  uint32_t order[1] = { 0 };
  t->policy->ops->rank (t->policy, &t->pool, flow->hash, order, 1);
  return order[0];
}

static void
open_flows (struct simulation *t)
{
  for (size_t i = 0; i < t->count; i++)
    {
      struct flow *f = &t->flows[i];
      f->hash = bl_random_next (&t->random);
      f->work = draw_heavy_tailed (&t->random);
      f->server = choose_server (t, f);
      f->seen = (uint8_t)(1 << bl_random_below (&t->random, TABLE_BALANCERS));
    }
}

/* Sends PACKETS_PER_CHANGE packets of each flow to random balancers.  */
static void
send_packets (struct simulation *t)
{
  for (size_t i = 0; i < t->count; i++)
    for (int k = 0; k < PACKETS_PER_CHANGE && !t->flows[i].broken; k++)
      {
        struct flow *f = &t->flows[i];
        uint8_t balancer_bit
            = (uint8_t)(1 << bl_random_below (&t->random, TABLE_BALANCERS));
        if (t->has_flow_table && (f->seen & balancer_bit))
          continue;
        f->broken = choose_server (t, f) != f->server;
        f->seen |= balancer_bit;
      }
}

static void
add_rule (struct simulation *t, const char *id, uint16_t weight, bool drain)
{
  struct bl_rule *r = &t->rules[t->service.rule_count++];

  *r = (struct bl_rule){ .weight = weight, .drain = drain };
  bl_name_set (&r->name, bl_str_of (id));
}

static void
measure_baseline (const struct deployment *d,
                  struct bl_policy *policy,
                  bool has_flow_table,
                  const char *suffix)
{
  struct simulation t = { .policy = policy, .has_flow_table = has_flow_table };
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
    t.flows[i].seen &= (uint8_t)~1; /* a balancer is replaced */
  send_packets (&t);
  for (size_t i = 0; i < t.count; i++)
    broken += t.flows[i].broken;
  print_deployment_result (d, "imbalance_connections", suffix,
                           max_over_mean (connections, SERVERS));
  print_deployment_result (d, "imbalance_work", suffix,
                           max_over_mean (work, SERVERS));
  print_deployment_result (d, "broken_flows_planned", suffix, (double)broken);
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
      measure_product (d);
      measure_baseline (d, &baseline_modulo, true, "_modulo");
      measure_baseline (d, &bl_policy_rendezvous, false, "_rendezvous");
    }
  return 0;
}
