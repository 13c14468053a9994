/* single_agent.h -- operations of a pass-through agent that a test drives input
   by input  */

#ifndef SINGLE_AGENT_H
#define SINGLE_AGENT_H

#include "core/passthrough.h"

/* Results of the operations that the agent has called.  */
struct observed
{
  unsigned delivered;
  unsigned checks;
  struct bl_link_msg last; /* message to a balancer */
  struct bl_record published;
};

/* Their context is a struct observed.  */
extern const struct bl_passthrough_ops single_agent_ops;

#endif
