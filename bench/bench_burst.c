/* bench_burst.c -- control traffic of each remaining balancer after the loss of
   a data centre

   Balancers and agents of three data centres run on the tests' fake network.
   All instances of one data centre are killed at the same time.  The control
   bytes that the remaining balancers send are counted from then until all of
   them have the correct membership, less the traffic of the idle system, and
   divided by the number of records that changed.  Pulls are counted separately
   because they are the most expensive messages.  */

#include "bench/bench.h"
#include "test/fake.h"

#include <stdlib.h>

#define SEED       99
#define SETTLE_MS  15000
#define IDLE_S     10 /* measurement of the idle system */
#define TIMEOUT_MS 120000
#define STEP_MS    200

/* Returns the bytes that the balancers that are alive have sent.  */
static uint64_t
sent_bytes (const struct fake *f)
{
  uint64_t n = 0;

  for (size_t i = 0; i < f->instance_count; i++)
    if (f->instances[i].kind == FAKE_NODE && f->instances[i].alive)
      n += f->instances[i].sent_bytes;
  return n;
}

static void
set_up (struct fake *f, int balancers, int agents)
{
  char id[16];
  char dc[16];

  for (int i = 0; i < balancers; i++)
    {
      snprintf (id, sizeof id, "b%d", i);
      snprintf (dc, sizeof dc, "dc%d", i % 3);
      fake_add_node (f, id, dc);
    }
  fake_create_service (f, "web");
  for (int i = 0; i < agents; i++)
    {
      snprintf (id, sizeof id, "s%d", i);
      snprintf (dc, sizeof dc, "dc%d", i % 3);
      fake_add_agent (f, id, dc, "web");
    }
  fake_run (f, SETTLE_MS);
}

static void
kill_data_centre (struct fake *f)
{
  for (size_t i = 0; i < f->instance_count; i++)
    if (f->instances[i].dc.s[2] == '1')
      fake_kill (f, f->instances[i].id.s);
}

/* Measures with this number of balancers and agents in three data centres.  */
static void
measure_size (int balancers, int agents)
{
  struct fake *f = fake_new (SEED);
  uint64_t start_ms;
  uint64_t idle_rate; /* bytes a second of the idle system */
  uint64_t bytes;
  uint64_t pulls;
  double remaining = balancers * 2 / 3.0; /* remaining balancers */
  char name[64];

  set_up (f, balancers, agents);
  idle_rate = sent_bytes (f);
  fake_run (f, IDLE_S * 1000);
  idle_rate = (sent_bytes (f) - idle_rate) / IDLE_S;
  kill_data_centre (f);
  start_ms = f->now;
  bytes = sent_bytes (f);
  pulls = fake_node_total (f, BL_NODE_PULLS);
  while (f->now - start_ms < TIMEOUT_MS
         && !(fake_all_list_balancers (f, (size_t)remaining)
              && fake_all_list_backends (f, (size_t)agents * 2 / 3)))
    fake_run (f, STEP_MS);
  bytes = sent_bytes (f) - bytes;
  snprintf (name, sizeof name, "dc_lost_known_s_%d", balancers + agents);
  print_result (name, (double)(f->now - start_ms) / 1000, "s");
  bytes -= idle_rate * (f->now - start_ms) / 1000;
  snprintf (name, sizeof name, "dc_lost_bytes_record_%d", balancers + agents);
  print_result (name, (double)bytes / remaining / ((balancers + agents) / 3.0),
                "B");
  snprintf (name, sizeof name, "dc_lost_pulls_node_%d", balancers + agents);
  print_result (
      name, (double)(fake_node_total (f, BL_NODE_PULLS) - pulls) / remaining,
      "1");
  fake_free (f);
}

int
main (void)
{
  measure_size (6, 12);
  measure_size (12, 48);
  measure_size (30, 120);
  return 0;
}
