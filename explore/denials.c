/* denials.c -- every order of a few events on one agent, its server and the
   store

   denials DEPTH [PART PARTS]

   Plays all series of up to DEPTH events, each after a short or a long pause,
   shortest first, and checks after each that the agent denies no flow that its
   server holds; at the end also for longer than the idle time.  PART of PARTS
   plays every PARTS-th series, from 0.

   The core holds its state in allocated memory, which is not compared, so each
   series is played from the start.  */

#include "test/agent_model.h"

#include <stdio.h>
#include <stdlib.h>

#define DEPTH_MAX 8
#define SEED      1
#define TAIL_MS   19000 /* idle time of the routes, and some seconds */

static const unsigned pauses_ms[] = { 250, 1700 };

static const char *const action_names[] = {
  [AGENT_NO_ACTION] = "nothing",
  [AGENT_STOP] = "the agent is stopped",
  [AGENT_KILL] = "the agent is killed",
  [SERVER_CRASH] = "the server crashes",
  [STORE_GOES_UP] = "the store is up",
  [STORE_GOES_DOWN] = "the store is down",
  [STORE_GOES_LATE] = "the store carries writes out late",
};

#define PAUSES  (sizeof pauses_ms / sizeof pauses_ms[0])
#define CHOICES (AGENT_ACTIONS * PAUSES)

struct event
{
  enum agent_action action;
  unsigned pause_ms;
};

/* Stores the series number INDEX of DEPTH events in OUT.  */
static void
choose (uint64_t index, unsigned depth, struct event *out)
{
  for (unsigned i = 0; i < depth; i++)
    {
      uint64_t choice = index % CHOICES;
      index /= CHOICES;
      out[i].action = (enum agent_action) (choice % AGENT_ACTIONS);
      out[i].pause_ms = pauses_ms[choice / AGENT_ACTIONS];
    }
}

static void
print_series (const struct event *events, unsigned depth, const char *fault)
{
  printf ("denied %s:\n", fault);
  for (unsigned i = 0; i < depth; i++)
    printf ("  after %u ms: %s\n", events[i].pause_ms,
            action_names[events[i].action]);
}

/* Returns false, with the series printed, if a flow was denied.  */
static bool
play (const struct event *events, unsigned depth)
{
  struct agent_model *model = agent_model_new (SEED);
  bool kept = model != NULL;

  for (unsigned i = 0; i < depth && kept; i++)
    {
      kept = agent_model_run (model, events[i].pause_ms);
      agent_model_act (model, events[i].action);
    }
  kept = kept && agent_model_run (model, TAIL_MS);
  if (!kept && model != NULL)
    print_series (events, depth, agent_model_fault (model));
  agent_model_free (model);
  return kept;
}

static uint64_t
power (uint64_t base, unsigned exponent)
{
  uint64_t result = 1;

  while (exponent-- > 0)
    result *= base;
  return result;
}

int
main (int argc, char **argv)
{
  unsigned max = argc > 1 ? (unsigned)strtoul (argv[1], NULL, 10) : 0;
  uint64_t part = argc > 3 ? strtoul (argv[2], NULL, 10) : 0;
  uint64_t parts = argc > 3 ? strtoul (argv[3], NULL, 10) : 1;
  unsigned long broken = 0;

  if (max == 0 || max > DEPTH_MAX || parts == 0)
    {
      fprintf (stderr, "denials DEPTH [PART PARTS]: DEPTH is 1 to %d\n",
               DEPTH_MAX);
      return 2;
    }
  for (unsigned depth = 1; depth <= max; depth++)
    {
      uint64_t all = power (CHOICES, depth);
      unsigned long played = 0;
      for (uint64_t index = part; index < all; index += parts)
        {
          struct event events[DEPTH_MAX];
          choose (index, depth, events);
          played++;
          broken += play (events, depth) ? 0 : 1;
        }
      printf ("depth %u: %lu series, %lu broken so far\n", depth, played,
              broken);
      fflush (stdout);
    }
  return broken > 0 ? 1 : 0;
}
