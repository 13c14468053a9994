/* test_flow.c -- a flow stays at one backend server through planned changes

   Each case starts three balancers and seven backend servers, opens flows, and
   makes a change while they are open.  No flow may break.  */

#include "test/fake.h"

#include <setjmp.h>
#include <stddef.h>
#include <stdarg.h>
#include <stdio.h>

#include <cmocka.h>

#define SEED       20261204
#define SETTLE_MS  6000
#define FLOWS      300
#define SEGMENTS   12
#define RUN_MAX_MS 60000

static struct fake *
deployment (uint64_t seed)
{
  struct fake *f = fake_new (seed);
  char id[16];

  for (int i = 1; i <= 3; i++)
    {
      snprintf (id, sizeof id, "b%d", i);
      fake_add_node (f, id, i == 3 ? "dc2" : "dc1");
    }
  fake_create_service (f, "web");
  for (int i = 1; i <= 7; i++)
    {
      snprintf (id, sizeof id, "s%d", i);
      fake_add_agent (f, id, i % 2 ? "dc1" : "dc2", "web");
    }
  fake_run (f, SETTLE_MS);
  assert_true (fake_all_list_backends (f, 7));
  return f;
}

static void
no_change (struct fake *f)
{
  (void)f;
}

static void
two_additions (struct fake *f)
{
  fake_add_agent (f, "s8", "dc1", "web");
  fake_run (f, 150);
  fake_add_agent (f, "s9", "dc2", "web");
}

static void
drain_one (struct fake *f)
{
  fake_apply_edits (f, "[{\"rule\":{\"service\":\"web\",\"backend\":\"s1\","
                       "\"drain\":true}}]");
}

static void
drain_two_overlapping (struct fake *f)
{
  drain_one (f);
  fake_run (f, 200);
  fake_apply_edits (f, "[{\"rule\":{\"service\":\"web\",\"backend\":\"s2\","
                       "\"drain\":true}}]");
  fake_run (f, 1000);
  bl_agent_drain (fake_instance (f, "s3")->agent);
}

static void
reweight_all (struct fake *f)
{
  fake_apply_edits (
      f, "[{\"rule\":{\"service\":\"web\",\"backend\":\"s1\",\"weight\":900}},"
         "{\"rule\":{\"service\":\"web\",\"backend\":\"s4\",\"weight\":1}},"
         "{\"rule\":{\"service\":\"web\",\"dc\":\"dc2\",\"weight\":30}}]");
}

static void
rerank (struct fake *f)
{
  fake_apply_edits (f, "[{\"rule\":{\"service\":\"web\",\"dc\":\"dc1\","
                       "\"rank\":5}}]");
  fake_run (f, 700);
  fake_apply_edits (f, "[{\"rule\":{\"service\":\"web\",\"dc\":\"dc1\","
                       "\"rank\":0}},{\"rule\":{\"service\":\"web\","
                       "\"dc\":\"dc2\",\"rank\":3}}]");
}

static void
balancer_joins (struct fake *f)
{
  fake_add_node (f, "b4", "dc1");
  fake_add_node (f, "b5", "dc2");
}

static void
balancer_stops (struct fake *f)
{
  bl_node_drain (fake_instance (f, "b1")->node);
  fake_run (f, 3000);
  bl_node_leave (fake_instance (f, "b1")->node);
  fake_kill (f, "b1");
}

static void
balancer_dies (struct fake *f)
{
  fake_kill (f, "b2");
}

static void
balancer_frozen (struct fake *f)
{
  fake_freeze (f, "b2", 8000);
}

/* Kills the only balancer of dc2, which monitors the agents there.  */
static void
last_balancer_dies (struct fake *f)
{
  fake_kill (f, "b3");
}

static void
short_partition (struct fake *f)
{
  fake_partition (f, "dc1", "dc2");
  fake_run (f, 5000);
  fake_heal (f);
}

/* Long enough that each side declares the other's balancers dead, and short
   enough that no flow of a caller times out.  */
static void
longer_partition (struct fake *f)
{
  fake_partition (f, "dc1", "dc2");
  fake_run (f, 12000);
  fake_heal (f);
}

/* The agent is declared dead; its flows must continue after the freeze.  */
static void
agent_frozen (struct fake *f)
{
  fake_freeze (f, "s2", 9000);
}

/* Only the agent's control messages to balancers are lost.  It is declared
   dead; its flows must continue.  */
static void
agent_muted (struct fake *f)
{
  fake_mute (f, "s2", 25000);
}

static void
combined_changes (struct fake *f)
{
  two_additions (f);
  reweight_all (f);
  fake_kill (f, "b2");
  fake_run (f, 100);
  drain_two_overlapping (f);
  fake_add_node (f, "b6", "dc2");
  rerank (f);
}

static const struct
{
  const char *name;
  void (*change) (struct fake *f);
  unsigned loss;     /* per ten thousand */
  unsigned segments; /* of each flow; 0: SEGMENTS */
} changes[] = {
  { "nothing", no_change, 0, 0 },
  { "nothing, lossy", no_change, 300, 0 },
  { "two additions", two_additions, 0, 0 },
  { "two additions, lossy", two_additions, 300, 0 },
  { "drain", drain_one, 0, 0 },
  { "overlapping drains", drain_two_overlapping, 0, 0 },
  { "reweight", reweight_all, 0, 0 },
  { "rerank and back", rerank, 0, 0 },
  { "balancers join", balancer_joins, 0, 0 },
  { "balancer stops", balancer_stops, 0, 0 },
  { "balancer dies", balancer_dies, 0, 0 },
  { "balancer frozen", balancer_frozen, 0, 0 },
  { "last balancer of a data centre dies", last_balancer_dies, 0, 0 },
  { "short partition", short_partition, 0, 0 },
  { "longer partition", longer_partition, 0, 0 },
  { "agent frozen", agent_frozen, 0, 0 },
  { "agent declared dead, but alive", agent_muted, 0, 60 },
  { "all at once", combined_changes, 0, 0 },
  { "all at once, lossy", combined_changes, 300, 0 },
};

/* Opens flows before, during and after the change.  */
static void
run_change (size_t i)
{
  struct fake *f = deployment (SEED + i);
  unsigned segments = changes[i].segments ? changes[i].segments : SEGMENTS;

  f->loss = changes[i].loss;
  f->duplication = changes[i].loss;
  fake_open (f, FLOWS, segments);
  fake_run (f, 1500);
  changes[i].change (f);
  fake_open (f, FLOWS, segments);
  fake_run (f, 300);
  fake_open (f, FLOWS, segments);
  fake_run_callers (f, RUN_MAX_MS);
  if (fake_count_callers (f, FAKE_DONE) != 3 * FLOWS)
    print_error (
        "%s: done %zu refused %zu broken %zu open %zu\n", changes[i].name,
        fake_count_callers (f, FAKE_DONE), fake_count_callers (f, FAKE_REFUSED),
        fake_count_callers (f, FAKE_BROKEN), fake_count_callers (f, FAKE_OPEN));
  assert_int_equal (fake_count_callers (f, FAKE_BROKEN), 0);
  assert_int_equal (fake_count_callers (f, FAKE_DONE), 3 * FLOWS);
  assert_int_equal (fake_flows_at_two_servers (f), 0);
  fake_free (f);
}

static void
test_planned_changes (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof changes / sizeof changes[0]; i++)
    run_change (i);
}

/* Guards against packets that reach the wrong flow: callers use their ports
   again while agents still hold the previous flows, whose primary agents
   differ, and while packets of these flows are in flight.  */
static void
test_reused_ports (void **state)
{
  (void)state;
  for (uint64_t seed = SEED; seed < SEED + 12; seed++)
    {
      struct fake *f = deployment (seed);
      f->loss = 100;
      f->duplication = 300;
      f->delay_max_ms = 200;
      for (int round = 0; round < 4; round++)
        {
          if (round == 0)
            fake_open (f, FLOWS, SEGMENTS);
          else
            fake_reopen (f, SEGMENTS);
          fake_run (f, 1000);
          round % 2 ? drain_one (f) : reweight_all (f);
          fake_run_callers (f, RUN_MAX_MS);
          assert_int_equal (fake_count_callers (f, FAKE_BROKEN), 0);
          assert_int_equal (fake_count_callers (f, FAKE_DONE), FLOWS);
          assert_int_equal (fake_flows_at_two_servers (f), 0);
        }
      fake_free (f);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_planned_changes),
    cmocka_unit_test (test_reused_ports),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
