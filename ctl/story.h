/* story.h -- the lines of many logs that belong to one flow, in order  */

#ifndef STORY_H
#define STORY_H

#include "boragelatch.h"

#include <stdio.h>

struct flow_trace;

/* A story of the flow that FLOW names: "IP:PORT-IP:PORT", or the caller's
   "IP:PORT" alone.  NULL when it is neither.  */
struct flow_trace *flow_trace_new (const char *flow);
void flow_trace_free (struct flow_trace *flow_trace);

/* Takes in the lines of IN; NAME stands for the instance until a line tells
   its id.  Lines that are not key=value are skipped.  */
void
flow_trace_read (struct flow_trace *flow_trace, FILE *in, const char *name);

/* How many lines name the flow.  */
size_t flow_trace_line_count (const struct flow_trace *flow_trace);

/* Puts the lines in order, and prints them and the decision that ended the
   flow.  To be called once.  */
void flow_trace_print (struct flow_trace *flow_trace, FILE *out);

#endif
