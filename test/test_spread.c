/* test_spread.c -- membership, announcements and configuration under failures

   Each case starts balancers and backend servers in three data centres, injects
   a failure, and checks which state all instances must reach by when.  Times
   are simulated, so that the result does not depend on the machine.  */

#include "test/fake.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#define SEED        515
#define NODES       18
#define AGENTS      24
#define DCS         3
#define MANY_NODES  150
#define SETTLE_MS   8000
#define IN_FORCE_MS 3000  /* target: a change is in force everywhere */
#define DETECT_MS   20000 /* until all balancers have detected a death */
#define REPAIR_MS   30000 /* until records agree after a partition or restart */

static struct fake *
deployment (uint64_t seed)
{
  struct fake *f = fake_new (seed);
  char id[16];
  char dc[16];

  for (int i = 1; i <= NODES; i++)
    {
      snprintf (id, sizeof id, "b%d", i);
      snprintf (dc, sizeof dc, "dc%d", i % DCS);
      fake_add_node (f, id, dc);
    }
  fake_create_service (f, "web");
  for (int i = 1; i <= AGENTS; i++)
    {
      snprintf (id, sizeof id, "s%d", i);
      snprintf (dc, sizeof dc, "dc%d", i % DCS);
      fake_add_agent (f, id, dc, "web");
    }
  fake_run (f, SETTLE_MS);
  assert_true (fake_all_list_balancers (f, NODES));
  assert_true (fake_all_list_backends (f, AGENTS));
  return f;
}

static void
set_weight (struct fake *f, unsigned weight)
{
  char json[160];

  snprintf (json, sizeof json,
            "[{\"rule\":{\"service\":\"web\",\"backend\":\"s1\","
            "\"weight\":%u}}]",
            weight);
  fake_apply_edits (f, json);
}

/* Runs until CHECK holds for COUNT, for LIMIT milliseconds at most.  */
static bool
run_until (struct fake *f,
           bool (*check) (struct fake *f, size_t count),
           size_t count,
           uint64_t limit)
{
  for (uint64_t t = 0; t < limit; t += 100)
    {
      if (check (f, count))
        return true;
      fake_run (f, 100);
    }
  return check (f, count);
}

/* -- configuration -- */

static const struct
{
  const char *name;
  unsigned loss; /* per ten thousand */
  unsigned delay_max_ms;
} networks[] = {
  { "good", 0, 6 },
  { "lossy", 300, 12 },
  { "slow and lossy", 500, 80 },
};

/* Guards against slow propagation of configuration on networks that lose and
   delay messages.  */
static void
test_config_in_force_in_time (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof networks / sizeof networks[0]; i++)
    for (uint64_t seed = SEED; seed < SEED + 5; seed++)
      {
        struct fake *f = deployment (seed);
        uint64_t took;
        f->loss = networks[i].loss;
        f->delay_max_ms = networks[i].delay_max_ms;
        set_weight (f, 50);
        took = fake_run_until_in_force (f, "web", f->version, 2 * IN_FORCE_MS);
        if (took > IN_FORCE_MS)
          print_error ("%s, seed %lu: %lu ms\n", networks[i].name, seed, took);
        assert_true (took <= IN_FORCE_MS);
        fake_free (f);
      }
}

static struct fake *
deployment_of_many_nodes (void)
{
  struct fake *f = fake_new (SEED);
  char id[16];
  char dc[16];

  for (int i = 0; i < MANY_NODES; i++)
    {
      snprintf (id, sizeof id, "b%d", i);
      snprintf (dc, sizeof dc, "dc%d", i % DCS);
      fake_add_node (f, id, dc);
    }
  fake_create_service (f, "web");
  fake_run (f, 2 * SETTLE_MS);
  return f;
}

/* Guards against slow propagation to many balancers: updates are pushed in
   rounds of four.  Propagation by probes alone would exceed the target.  */
static void
test_config_in_force_at_many_nodes (void **state)
{
  struct fake *f = deployment_of_many_nodes ();

  (void)state;
  assert_true (fake_all_list_balancers (f, MANY_NODES));
  for (unsigned i = 0; i < 5; i++)
    {
      set_weight (f, 10 + i);
      assert_true (
          fake_run_until_in_force (f, "web", f->version, 2 * IN_FORCE_MS)
          <= IN_FORCE_MS);
      fake_run (f, 1000);
    }
  fake_free (f);
}

/* Guards against records that do not reach all of many balancers: a record is
   pushed in one round only, and the comparison of digests must repair what the
   push misses.  */
static void
test_record_known_at_many_nodes (void **state)
{
  struct fake *f = deployment_of_many_nodes ();
  char id[16];

  (void)state;
  for (size_t i = 1; i <= 8; i++)
    {
      snprintf (id, sizeof id, "s%zu", i);
      fake_add_agent (f, id, "dc1", "web");
      fake_run (f, 2000);
      assert_true (run_until (f, fake_all_list_backends, i, DETECT_MS));
    }
  fake_free (f);
}

/* Changes follow each other faster than they propagate.  All must arrive, in
   order, so that the last version is in force everywhere in time.  */
static void
test_burst_of_changes (void **state)
{
  struct fake *f = deployment (SEED);

  (void)state;
  f->loss = 300;
  for (unsigned i = 0; i < 40; i++)
    {
      set_weight (f, 100 + i);
      fake_run (f, 30);
    }
  assert_true (fake_run_until_in_force (f, "web", f->version, IN_FORCE_MS)
               < IN_FORCE_MS);
  fake_free (f);
}

/* Guards against a dependency on the platform: while it is down, a balancer and
   an agent that restart must receive records and configuration from their
   peers.  */
static void
test_restart_while_platform_down (void **state)
{
  struct fake *f = deployment (SEED);

  (void)state;
  set_weight (f, 70);
  fake_run_until_in_force (f, "web", f->version, IN_FORCE_MS);
  f->platform_down = true;
  fake_restart (f, "b3");
  fake_restart (f, "s5");
  assert_true (run_until (f, fake_all_list_balancers, NODES, REPAIR_MS));
  assert_true (run_until (f, fake_all_list_backends, AGENTS, REPAIR_MS));
  assert_true (fake_run_until_in_force (f, "web", f->version, IN_FORCE_MS)
               < IN_FORCE_MS);
  fake_free (f);
}

static uint64_t
lowest_version (const struct fake *f)
{
  uint64_t lowest = UINT64_MAX;

  for (size_t i = 0; i < f->instance_count; i++)
    if (f->instances[i].kind == FAKE_NODE && f->instances[i].alive)
      {
        uint64_t v = bl_config_version (bl_node_config (f->instances[i].node));
        lowest = v < lowest ? v : lowest;
      }
  return lowest;
}

/* Guards against a return to an older configuration: a balancer that was frozen
   during several changes sends its old version to all others when it
   continues.  */
static void
test_frozen_node_reverts_no_config (void **state)
{
  struct fake *f = deployment (SEED);
  uint64_t others;

  (void)state;
  fake_freeze (f, "b2", 12000);
  for (unsigned i = 0; i < 5; i++)
    {
      set_weight (f, 200 + i);
      fake_run (f, 1000);
    }
  fake_run (f, 6900);
  fake_instance (f, "b2")->alive = false;
  others = lowest_version (f);
  fake_instance (f, "b2")->alive = true;
  assert_int_equal (others, f->version);
  fake_run (f, 200);
  for (int i = 0; i < 50; i++)
    {
      fake_run (f, 100);
      assert_true (
          lowest_version (f) >= others
          || bl_config_version (bl_node_config (fake_instance (f, "b2")->node))
                 < others);
    }
  assert_int_equal (lowest_version (f), f->version);
  fake_free (f);
}

static const struct
{
  uint64_t held;
  uint64_t from;
  uint64_t up_to;
  int expected;
} deltas[] = {
  { 5, 5, 6, BL_OK },     /* the next change */
  { 5, 3, 7, BL_OK },     /* overlaps the held configuration */
  { 5, 0, 6, BL_OK },     /* the whole configuration */
  { 5, 5, 5, BL_ESTALE }, /* the same again */
  { 5, 0, 4, BL_ESTALE }, /* an older configuration */
  { 5, 6, 7, BL_ESTALE }, /* a gap */
};

/* Guards against an older configuration, or one with changes missing, that
   replaces the held one.  */
static void
test_older_config_refused (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof deltas / sizeof deltas[0]; i++)
    {
      struct bl_config *c = bl_config_new ();
      uint64_t after;
      assert_int_equal (bl_config_apply (c, 0, deltas[i].held, NULL, 0), BL_OK);
      assert_int_equal (
          bl_config_apply (c, deltas[i].from, deltas[i].up_to, NULL, 0),
          deltas[i].expected);
      after = deltas[i].expected == BL_OK ? deltas[i].up_to : deltas[i].held;
      assert_int_equal (bl_config_version (c), after);
      bl_config_free (c);
    }
}

/* -- members -- */

/* Guards against records that stay wrong after the death and the restart of a
   balancer.  */
static void
test_dead_node_detected (void **state)
{
  struct fake *f = deployment (SEED);

  (void)state;
  fake_kill (f, "b4");
  assert_true (run_until (f, fake_all_list_balancers, NODES - 1, DETECT_MS));
  assert_true (fake_all_list_backends (f, AGENTS));
  fake_restart (f, "b4");
  assert_true (run_until (f, fake_all_list_balancers, NODES, REPAIR_MS));
  fake_free (f);
}

/* Guards against false deaths after a pause: a balancer that was paused must
   not take the messages that it missed for silence of other instances.  */
static void
test_paused_node_declares_no_deaths (void **state)
{
  struct fake *f = deployment (SEED);
  const struct bl_node *b2 = fake_instance (f, "b2")->node;

  (void)state;
  fake_freeze (f, "b2", 15000);
  fake_run (f, 25000);
  assert_int_equal (bl_node_counter (b2, BL_NODE_DEATHS), 0);
  assert_true (run_until (f, fake_all_list_balancers, NODES, REPAIR_MS));
  assert_true (run_until (f, fake_all_list_backends, AGENTS, REPAIR_MS));
  fake_free (f);
}

static bool
suspects (const struct fake_instance *e, const char *id)
{
  struct bl_name name;
  const struct bl_record *r;

  bl_name_set (&name, bl_str_of (id));
  r = bl_node_record (e->node, BL_KIND_BALANCER, &name);
  return r != NULL && r->state == BL_STATE_SUSPECT;
}

/* Guards against a false death after a pause: a balancer is paused after it has
   received a suspicion, and the refutation is lost meanwhile.  When it
   continues, the time of the pause must not count towards the suspicion's
   time-out.  */
static void
test_pause_during_suspicion (void **state)
{
  struct fake *f = deployment (SEED);
  struct fake_instance *b2 = fake_instance (f, "b2");

  (void)state;
  fake_freeze (f, "b5", 6000);
  for (int i = 0; i < 100 && !suspects (b2, "b5"); i++)
    fake_run (f, 50);
  assert_true (suspects (b2, "b5"));
  b2->drops_while_frozen = true;
  fake_freeze (f, "b2", 15000);
  fake_run (f, 25000);
  assert_int_equal (bl_node_counter (b2->node, BL_NODE_DEATHS), 0);
  assert_true (run_until (f, fake_all_list_balancers, NODES, REPAIR_MS));
  fake_free (f);
}

/* Guards against false deaths of agents: all balancers of a data centre are
   paused and lose the messages of that time, so none of them has received
   announcements of the agents that they monitor.  */
static void
test_paused_monitors_declare_no_deaths (void **state)
{
  struct fake *f = deployment (SEED);
  uint64_t deaths = 0;

  (void)state;
  for (size_t i = 0; i < NODES; i++)
    if (f->instances[i].dc.s[2] == '1')
      {
        f->instances[i].drops_while_frozen = true;
        fake_freeze (f, f->instances[i].id.s, 3000);
      }
  fake_run (f, 20000);
  for (size_t i = 0; i < NODES; i++)
    if (f->instances[i].dc.s[2] == '1')
      deaths += bl_node_counter (f->instances[i].node, BL_NODE_DEATHS);
  assert_int_equal (deaths, 0);
  assert_true (run_until (f, fake_all_list_balancers, NODES, REPAIR_MS));
  assert_true (run_until (f, fake_all_list_backends, AGENTS, REPAIR_MS));
  fake_free (f);
}

/* Guards against false deaths by packet loss alone.  */
static void
test_loss_causes_no_deaths (void **state)
{
  struct fake *f = deployment (SEED);

  (void)state;
  f->loss = 500;
  f->delay_max_ms = 80;
  fake_run (f, 60000);
  assert_true (run_until (f, fake_all_list_balancers, NODES, REPAIR_MS));
  assert_int_equal (fake_node_total (f, BL_NODE_DEATHS), 0);
  fake_free (f);
}

static void
count_dead (void *ctx, const struct bl_record *r)
{
  size_t *n = ctx;
  *n += r->state == BL_STATE_DEAD;
}

/* Guards against false deaths during a partition, and against records and
   configuration that differ after it.  */
static void
test_partition_and_heal (void **state)
{
  struct fake *f = deployment (SEED);
  size_t dead = 0;

  (void)state;
  fake_partition (f, "dc0", "dc1");
  fake_partition (f, "dc0", "dc2");
  fake_run (f, 60000);
  /* A data centre behind a partition cannot be distinguished from a failed one,
     so its backend servers must not be declared dead.  */
  for (size_t i = 0; i < NODES; i++)
    bl_node_each_record (f->instances[i].node, BL_KIND_BACKEND, count_dead,
                         &dead);
  assert_int_equal (dead, 0);
  set_weight (f, 30);
  fake_run (f, 2000);
  fake_heal (f);
  assert_true (run_until (f, fake_all_list_balancers, NODES, REPAIR_MS));
  assert_true (run_until (f, fake_all_list_backends, AGENTS, REPAIR_MS));
  assert_true (fake_run_until_in_force (f, "web", f->version, IN_FORCE_MS)
               < IN_FORCE_MS);
  fake_free (f);
}

/* Guards against false deaths of agents when all balancers are replaced at
   once.  */
static void
test_mass_restart (void **state)
{
  struct fake *f = deployment (SEED);
  char id[16];

  (void)state;
  for (int i = 1; i <= NODES; i++)
    {
      snprintf (id, sizeof id, "b%d", i);
      fake_restart (f, id);
    }
  assert_true (run_until (f, fake_all_list_balancers, NODES, REPAIR_MS));
  assert_true (run_until (f, fake_all_list_backends, AGENTS, REPAIR_MS));
  assert_int_equal (fake_node_total (f, BL_NODE_DEATHS), 0);
  fake_free (f);
}

/* -- agents -- */

/* Guards against a dead agent that stays listed, and a restarted agent that is
   not listed.  */
static void
test_dead_agent_detected (void **state)
{
  struct fake *f = deployment (SEED);

  (void)state;
  fake_kill (f, "s7");
  assert_true (run_until (f, fake_all_list_backends, AGENTS - 1, DETECT_MS));
  fake_restart (f, "s7");
  assert_true (run_until (f, fake_all_list_backends, AGENTS, REPAIR_MS));
  fake_free (f);
}

/* Guards against dead agents that stay listed: a whole data centre fails, with
   its agents and all balancers that monitored them.  The monitors that take
   over have received nothing from these agents, and must not accept each
   other's reports as a sign of life.  */
static void
lose_data_centre (uint64_t seed)
{
  struct fake *f = deployment (seed);
  size_t nodes = 0;
  size_t agents = 0;

  for (size_t i = 0; i < f->instance_count; i++)
    {
      struct fake_instance *e = &f->instances[i];
      if (e->dc.s[2] != '1')
        continue;
      e->kind == FAKE_NODE ? nodes++ : agents++;
      fake_kill (f, e->id.s);
    }
  assert_true (
      run_until (f, fake_all_list_balancers, NODES - nodes, REPAIR_MS));
  assert_true (
      run_until (f, fake_all_list_backends, AGENTS - agents, REPAIR_MS));
  fake_free (f);
}

static void
test_data_centre_lost (void **state)
{
  (void)state;
  for (uint64_t seed = SEED; seed < SEED + 10; seed++)
    lose_data_centre (seed);
}

/* All balancers of a data centre die while its agents run.  Balancers of other
   data centres must monitor (adopt) these agents, detect the death of one, and
   return them when their own balancers restart.  */
static void
test_orphaned_agents_adopted (void **state)
{
  struct fake *f = deployment (SEED);
  size_t nodes = 0;

  (void)state;
  for (size_t i = 0; i < NODES; i++)
    if (f->instances[i].dc.s[2] == '1')
      {
        nodes++;
        fake_kill (f, f->instances[i].id.s);
      }
  assert_true (
      run_until (f, fake_all_list_balancers, NODES - nodes, REPAIR_MS));
  assert_true (run_until (f, fake_all_list_backends, AGENTS, REPAIR_MS));
  fake_kill (f, "s4");
  assert_true (run_until (f, fake_all_list_backends, AGENTS - 1, DETECT_MS));
  for (size_t i = 0; i < NODES; i++)
    if (f->instances[i].dc.s[2] == '1')
      fake_restart (f, f->instances[i].id.s);
  assert_true (run_until (f, fake_all_list_balancers, NODES, REPAIR_MS));
  fake_run (f, REPAIR_MS);
  assert_true (fake_all_list_backends (f, AGENTS - 1));
  fake_free (f);
}

/* Guards against false deaths of agents whose monitors die one after the
   other.  */
static void
test_monitors_die (void **state)
{
  struct fake *f = deployment (SEED);

  (void)state;
  fake_kill (f, "b1");
  fake_kill (f, "b4");
  fake_run (f, 4000);
  fake_kill (f, "b7");
  assert_true (run_until (f, fake_all_list_balancers, NODES - 3, DETECT_MS));
  fake_run (f, 10000);
  assert_true (fake_all_list_backends (f, AGENTS));
  fake_free (f);
}

/* An agent that is paused for longer than its monitors' time-out is declared
   dead, and must refute that when it continues.  */
static void
test_paused_agent_returns (void **state)
{
  struct fake *f = deployment (SEED);

  (void)state;
  fake_freeze (f, "s3", 15000);
  assert_true (run_until (f, fake_all_list_backends, AGENTS - 1, 14000));
  assert_true (run_until (f, fake_all_list_backends, AGENTS, REPAIR_MS));
  fake_free (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_config_in_force_in_time),
    cmocka_unit_test (test_config_in_force_at_many_nodes),
    cmocka_unit_test (test_record_known_at_many_nodes),
    cmocka_unit_test (test_burst_of_changes),
    cmocka_unit_test (test_restart_while_platform_down),
    cmocka_unit_test (test_frozen_node_reverts_no_config),
    cmocka_unit_test (test_older_config_refused),
    cmocka_unit_test (test_dead_node_detected),
    cmocka_unit_test (test_paused_node_declares_no_deaths),
    cmocka_unit_test (test_pause_during_suspicion),
    cmocka_unit_test (test_paused_monitors_declare_no_deaths),
    cmocka_unit_test (test_loss_causes_no_deaths),
    cmocka_unit_test (test_partition_and_heal),
    cmocka_unit_test (test_mass_restart),
    cmocka_unit_test (test_dead_agent_detected),
    cmocka_unit_test (test_data_centre_lost),
    cmocka_unit_test (test_orphaned_agents_adopted),
    cmocka_unit_test (test_monitors_die),
    cmocka_unit_test (test_paused_agent_returns),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
