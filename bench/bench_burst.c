/* bench_burst.c -- what the loss of a data centre costs each balancer left

   Balancers and agents of three data centres on the tests' fake network; one
   data centre dies at once.  Control messages of the balancers left are
   counted from then until all know, and set against the records that changed.
   Pulls are counted beside, for they are the dearest messages.  */

#include "bench/bench.h"
#include "test/fake.h"

#include <stdlib.h>

#define SEED      99
#define SETTLE_MS 15000
#define LIMIT_MS  120000
#define STEP_MS   200

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
start (struct fake *f, int nodes, int agents)
{
  char id[16];
  char dc[16];

  for (int i = 0; i < nodes; i++)
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
lose_data_centre (struct fake *f)
{
  for (size_t i = 0; i < f->instance_count; i++)
    if (f->instances[i].dc.s[2] == '1')
      fake_kill (f, f->instances[i].id.s);
}

static void
at_size (int nodes, int agents)
{
  struct fake *f = fake_new (SEED);
  uint64_t start_ms;
  uint64_t quiet;
  uint64_t bytes;
  uint64_t pulls;
  double left = nodes * 2 / 3.0;
  char name[64];

  start (f, nodes, agents);
  quiet = sent_bytes (f);
  fake_run (f, 10000);
  quiet = (sent_bytes (f) - quiet) / 10;
  lose_data_centre (f);
  start_ms = f->now;
  bytes = sent_bytes (f);
  pulls = fake_node_total (f, BL_NODE_PULLS);
  while (f->now - start_ms < LIMIT_MS
         && !(fake_all_see_balancers (f, (size_t)left)
              && fake_all_see_backends (f, (size_t)agents * 2 / 3)))
    fake_run (f, STEP_MS);
  bytes = sent_bytes (f) - bytes;
  snprintf (name, sizeof name, "dc_lost_known_s_%d", nodes + agents);
  result (name, (double)(f->now - start_ms) / 1000, "s");
  bytes -= quiet * (f->now - start_ms) / 1000;
  snprintf (name, sizeof name, "dc_lost_bytes_record_%d", nodes + agents);
  result (name, (double)bytes / left / ((nodes + agents) / 3.0), "B");
  snprintf (name, sizeof name, "dc_lost_pulls_node_%d", nodes + agents);
  result (name, (double)(fake_node_total (f, BL_NODE_PULLS) - pulls) / left,
          "1");
  fake_free (f);
}

int
main (void)
{
  at_size (6, 12);
  at_size (12, 48);
  at_size (30, 120);
  return 0;
}
