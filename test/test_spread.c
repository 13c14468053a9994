/* test_spread.c -- membership, announcements and configuration under failure

   Each case starts balancers and backend servers in three data centres,
   brings about a failure, and states what all must know by when.  Times are
   those passed in to the core, so a verdict does not depend on the
   machine.  */

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
#define IN_FORCE_MS 3000  /* the target */
#define DETECT_MS   20000 /* a dead instance is known everywhere */
#define REPAIR_MS   30000 /* after a cut or a mass restart */

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
  assert_true (fake_all_see_balancers (f, NODES));
  assert_true (fake_all_see_backends (f, AGENTS));
  return f;
}

static void
weigh (struct fake *f, unsigned weight)
{
  char json[160];

  snprintf (json, sizeof json,
            "[{\"rule\":{\"service\":\"web\",\"backend\":\"s1\","
            "\"weight\":%u}}]",
            weight);
  fake_apply_edits (f, json);
}

/* Runs until CHECK holds of COUNT, at most LIMIT.  */
static bool
eventually (struct fake *f,
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
  unsigned loss; /* in ten thousand */
  unsigned delay_max_ms;
} networks[] = {
  { "good", 0, 6 },
  { "lossy", 300, 12 },
  { "slow and lossy", 500, 80 },
};

static void
test_in_force_in_time (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof networks / sizeof networks[0]; i++)
    for (uint64_t seed = SEED; seed < SEED + 5; seed++)
      {
        struct fake *f = deployment (seed);
        uint64_t took;
        f->loss = networks[i].loss;
        f->delay_max_ms = networks[i].delay_max_ms;
        weigh (f, 50);
        took = fake_until_in_force (f, "web", f->version, 2 * IN_FORCE_MS);
        if (took > IN_FORCE_MS)
          print_error ("%s, seed %lu: %lu ms\n", networks[i].name, seed, took);
        assert_true (took <= IN_FORCE_MS);
        fake_free (f);
      }
}

static struct fake *
many_nodes (void)
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

/* With more balancers it still is, for news goes out in rounds of four; by
   probes alone it would take more seconds than are allowed.  */
static void
test_in_force_at_many (void **state)
{
  struct fake *f = many_nodes ();

  (void)state;
  assert_true (fake_all_see_balancers (f, MANY_NODES));
  for (unsigned i = 0; i < 5; i++)
    {
      weigh (f, 10 + i);
      assert_true (fake_until_in_force (f, "web", f->version, 2 * IN_FORCE_MS)
                   <= IN_FORCE_MS);
      fake_run (f, 1000);
    }
  fake_free (f);
}

/* So does a record, pushed in one round among so many; what the pushes miss,
   digests find.  */
static void
test_record_known_at_many (void **state)
{
  struct fake *f = many_nodes ();
  char id[16];

  (void)state;
  for (size_t i = 1; i <= 8; i++)
    {
      snprintf (id, sizeof id, "s%zu", i);
      fake_add_agent (f, id, "dc1", "web");
      fake_run (f, 2000);
      assert_true (eventually (f, fake_all_see_backends, i, DETECT_MS));
    }
  fake_free (f);
}

/* Many changes faster than they spread: all arrive, in order.  */
static void
test_burst_of_changes (void **state)
{
  struct fake *f = deployment (SEED);

  (void)state;
  f->loss = 300;
  for (unsigned i = 0; i < 40; i++)
    {
      weigh (f, 100 + i);
      fake_run (f, 30);
    }
  assert_true (fake_until_in_force (f, "web", f->version, IN_FORCE_MS)
               < IN_FORCE_MS);
  fake_free (f);
}

/* A platform that is down leaves everything as it is, and a node that starts
   meanwhile gets it all from its peers.  */
static void
test_restart_without_platform (void **state)
{
  struct fake *f = deployment (SEED);

  (void)state;
  weigh (f, 70);
  fake_until_in_force (f, "web", f->version, IN_FORCE_MS);
  f->platform_down = true;
  fake_restart (f, "b3");
  fake_restart (f, "s5");
  assert_true (eventually (f, fake_all_see_balancers, NODES, REPAIR_MS));
  assert_true (eventually (f, fake_all_see_backends, AGENTS, REPAIR_MS));
  assert_true (fake_until_in_force (f, "web", f->version, IN_FORCE_MS)
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

/* A node that was frozen over several changes wakes with an old view, says
   so to everybody, and moves nobody back.  */
static void
test_frozen_node_reverts_nothing (void **state)
{
  struct fake *f = deployment (SEED);
  uint64_t others;

  (void)state;
  fake_freeze (f, "b2", 12000);
  for (unsigned i = 0; i < 5; i++)
    {
      weigh (f, 200 + i);
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
} pieces[] = {
  { 5, 5, 6, BL_OK },     /* the next change */
  { 5, 3, 7, BL_OK },     /* overlaps what is held */
  { 5, 0, 6, BL_OK },     /* everything */
  { 5, 5, 5, BL_ESTALE }, /* the same again */
  { 5, 0, 4, BL_ESTALE }, /* an older configuration */
  { 5, 6, 7, BL_ESTALE }, /* a gap */
};

static void
test_never_older (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof pieces / sizeof pieces[0]; i++)
    {
      struct bl_config *c = bl_config_new ();
      uint64_t after;
      assert_int_equal (bl_config_apply (c, 0, pieces[i].held, NULL, 0), BL_OK);
      assert_int_equal (
          bl_config_apply (c, pieces[i].from, pieces[i].up_to, NULL, 0),
          pieces[i].expected);
      after = pieces[i].expected == BL_OK ? pieces[i].up_to : pieces[i].held;
      assert_int_equal (bl_config_version (c), after);
      bl_config_free (c);
    }
}

/* -- members -- */

static void
test_dead_node_is_found (void **state)
{
  struct fake *f = deployment (SEED);

  (void)state;
  fake_kill (f, "b4");
  assert_true (eventually (f, fake_all_see_balancers, NODES - 1, DETECT_MS));
  assert_true (fake_all_see_backends (f, AGENTS));
  fake_restart (f, "b4");
  assert_true (eventually (f, fake_all_see_balancers, NODES, REPAIR_MS));
  fake_free (f);
}

/* A node that was paused trusts neither its clock nor what it did not hear:
   it declares nobody dead.  */
static void
test_paused_node_blames_nobody (void **state)
{
  struct fake *f = deployment (SEED);
  const struct bl_node *b2 = fake_instance (f, "b2")->node;

  (void)state;
  fake_freeze (f, "b2", 15000);
  fake_run (f, 25000);
  assert_int_equal (bl_node_counter (b2, BL_NODE_DEATHS), 0);
  assert_true (eventually (f, fake_all_see_balancers, NODES, REPAIR_MS));
  assert_true (eventually (f, fake_all_see_backends, AGENTS, REPAIR_MS));
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

/* A node is paused while a suspicion that it heard of runs, which is refuted
   meanwhile; when it wakes, the time that it slept proves nothing.  */
static void
test_pause_over_a_suspicion (void **state)
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
  assert_true (eventually (f, fake_all_see_balancers, NODES, REPAIR_MS));
  fake_free (f);
}

/* All balancers of a data centre are paused, and what reached them meanwhile
   is lost: none of them has heard the agents, and none may say so.  */
static void
test_paused_keepers_blame_nobody (void **state)
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
  assert_true (eventually (f, fake_all_see_balancers, NODES, REPAIR_MS));
  assert_true (eventually (f, fake_all_see_backends, AGENTS, REPAIR_MS));
  fake_free (f);
}

/* Loss alone kills nobody for good.  */
static void
test_loss_kills_nobody (void **state)
{
  struct fake *f = deployment (SEED);

  (void)state;
  f->loss = 500;
  f->delay_max_ms = 80;
  fake_run (f, 60000);
  assert_true (eventually (f, fake_all_see_balancers, NODES, REPAIR_MS));
  assert_int_equal (fake_node_total (f, BL_NODE_DEATHS), 0);
  fake_free (f);
}

static void
count_dead (void *ctx, const struct bl_record *r)
{
  size_t *n = ctx;
  *n += r->state == BL_STATE_DEAD;
}

static void
test_cut_and_mend (void **state)
{
  struct fake *f = deployment (SEED);
  size_t dead = 0;

  (void)state;
  fake_partition (f, "dc0", "dc1");
  fake_partition (f, "dc0", "dc2");
  fake_run (f, 60000);
  /* Nobody can tell a data centre that is cut off from one that is lost, and
     nobody says that its backend servers are dead.  */
  for (size_t i = 0; i < NODES; i++)
    bl_node_each_record (f->instances[i].node, BL_KIND_BACKEND, count_dead,
                         &dead);
  assert_int_equal (dead, 0);
  weigh (f, 30);
  fake_run (f, 2000);
  fake_heal (f);
  assert_true (eventually (f, fake_all_see_balancers, NODES, REPAIR_MS));
  assert_true (eventually (f, fake_all_see_backends, AGENTS, REPAIR_MS));
  assert_true (fake_until_in_force (f, "web", f->version, IN_FORCE_MS)
               < IN_FORCE_MS);
  fake_free (f);
}

/* All balancers are replaced at once; no agent is taken for dead for it.  */
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
  assert_true (eventually (f, fake_all_see_balancers, NODES, REPAIR_MS));
  assert_true (eventually (f, fake_all_see_backends, AGENTS, REPAIR_MS));
  assert_int_equal (fake_node_total (f, BL_NODE_DEATHS), 0);
  fake_free (f);
}

/* -- agents -- */

static void
test_dead_agent_is_found (void **state)
{
  struct fake *f = deployment (SEED);

  (void)state;
  fake_kill (f, "s7");
  assert_true (eventually (f, fake_all_see_backends, AGENTS - 1, DETECT_MS));
  fake_restart (f, "s7");
  assert_true (eventually (f, fake_all_see_backends, AGENTS, REPAIR_MS));
  fake_free (f);
}

/* A whole data centre dies: balancers, and with them all keepers of its
   agents, and the agents.  The keepers that take these over have heard none of
   them, and must not take each other's word for it.  */
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
      eventually (f, fake_all_see_balancers, NODES - nodes, REPAIR_MS));
  assert_true (
      eventually (f, fake_all_see_backends, AGENTS - agents, REPAIR_MS));
  fake_free (f);
}

static void
test_data_centre_lost (void **state)
{
  (void)state;
  for (uint64_t seed = SEED; seed < SEED + 10; seed++)
    lose_data_centre (seed);
}

/* All balancers of a data centre die, its agents do not: balancers elsewhere
   adopt them, and hand them back.  */
static void
test_agents_are_adopted (void **state)
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
      eventually (f, fake_all_see_balancers, NODES - nodes, REPAIR_MS));
  assert_true (eventually (f, fake_all_see_backends, AGENTS, REPAIR_MS));
  fake_kill (f, "s4");
  assert_true (eventually (f, fake_all_see_backends, AGENTS - 1, DETECT_MS));
  for (size_t i = 0; i < NODES; i++)
    if (f->instances[i].dc.s[2] == '1')
      fake_restart (f, f->instances[i].id.s);
  assert_true (eventually (f, fake_all_see_balancers, NODES, REPAIR_MS));
  fake_run (f, REPAIR_MS);
  assert_true (fake_all_see_backends (f, AGENTS - 1));
  fake_free (f);
}

/* Keepers die one after the other; the agents they kept live on.  */
static void
test_keepers_die (void **state)
{
  struct fake *f = deployment (SEED);

  (void)state;
  fake_kill (f, "b1");
  fake_kill (f, "b4");
  fake_run (f, 4000);
  fake_kill (f, "b7");
  assert_true (eventually (f, fake_all_see_balancers, NODES - 3, DETECT_MS));
  fake_run (f, 10000);
  assert_true (fake_all_see_backends (f, AGENTS));
  fake_free (f);
}

/* An agent that was paused past its keepers' patience is declared dead, and
   says otherwise when it wakes.  */
static void
test_paused_agent_returns (void **state)
{
  struct fake *f = deployment (SEED);

  (void)state;
  fake_freeze (f, "s3", 15000);
  assert_true (eventually (f, fake_all_see_backends, AGENTS - 1, 14000));
  assert_true (eventually (f, fake_all_see_backends, AGENTS, REPAIR_MS));
  fake_free (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_in_force_in_time),
    cmocka_unit_test (test_in_force_at_many),
    cmocka_unit_test (test_record_known_at_many),
    cmocka_unit_test (test_burst_of_changes),
    cmocka_unit_test (test_restart_without_platform),
    cmocka_unit_test (test_frozen_node_reverts_nothing),
    cmocka_unit_test (test_never_older),
    cmocka_unit_test (test_dead_node_is_found),
    cmocka_unit_test (test_paused_node_blames_nobody),
    cmocka_unit_test (test_pause_over_a_suspicion),
    cmocka_unit_test (test_paused_keepers_blame_nobody),
    cmocka_unit_test (test_loss_kills_nobody),
    cmocka_unit_test (test_cut_and_mend),
    cmocka_unit_test (test_mass_restart),
    cmocka_unit_test (test_dead_agent_is_found),
    cmocka_unit_test (test_data_centre_lost),
    cmocka_unit_test (test_agents_are_adopted),
    cmocka_unit_test (test_keepers_die),
    cmocka_unit_test (test_paused_agent_returns),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
