/* agent_model.h -- one agent's processes beside a server and a store, on
   passed-in time

   Processes of the agent run one after the other; one that has ended is started
   again within a second.  A balancer opens flows whenever the agent accepts
   them and asks for flows that the server holds: a denial of one is a fault,
   since it would lead to its reset.  TRACE in the environment prints the
   events.  */

#ifndef TEST_AGENT_MODEL_H
#define TEST_AGENT_MODEL_H

#include <stdbool.h>
#include <stdint.h>

enum agent_action
{
  AGENT_NO_ACTION,
  AGENT_STOP, /* SIGTERM */
  AGENT_KILL,
  SERVER_CRASH, /* it starts again */
  STORE_GOES_UP,
  STORE_GOES_DOWN, /* calls fail at once */
  STORE_GOES_LATE, /* no answers; writes may take effect seconds later */
  AGENT_ACTIONS,
};

struct agent_model;

/* Creates a model at its start: the server starts, the agent 100 ms later.
   Times of packets and calls are drawn from SEED.  Returns NULL if out of
   memory.  */
struct agent_model *agent_model_new (uint64_t seed);
void agent_model_free (struct agent_model *model);
/* Lets the model draw from its seed when the agent starts and what is done to
   it, its server and the store.  */
void agent_model_draw (struct agent_model *model);
void agent_model_act (struct agent_model *model, enum agent_action action);
/* Lets MS milliseconds pass.  Returns false at once when a flow that the server
   holds is denied.  */
bool agent_model_run (struct agent_model *model, uint64_t ms);
/* Returns which flow was denied when; empty if none was.  */
const char *agent_model_fault (const struct agent_model *model);
/* Returns the number of denials of flows that do not exist.  */
unsigned agent_model_denials (const struct agent_model *model);

#endif
