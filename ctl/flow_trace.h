/* flow_trace.h -- trace of one flow across the logs of several instances  */

#ifndef FLOW_TRACE_H
#define FLOW_TRACE_H

#include "boragelatch.h"

#include <stdio.h>

struct flow_trace;

/* Returns an empty trace of FLOW, which is either "IP:PORT-IP:PORT" (caller and
   service) or only the caller's "IP:PORT".  Returns NULL on any other text, or
   if out of memory.  */
struct flow_trace *flow_trace_new (const char *flow);
void flow_trace_free (struct flow_trace *trace);

/* Adds the lines of the log IN that may belong to the trace.  NAME stands for
   the id of the instance until a line of the log gives the id.  Lines without
   time=... and event=... are skipped.  */
void flow_trace_read (struct flow_trace *trace, FILE *in, const char *name);

/* Returns the number of lines added that name the flow.  */
size_t flow_trace_line_count (const struct flow_trace *trace);

/* Prints the lines in causal order, and the reason for the end of the flow.
   May be called only once for a trace.  */
void flow_trace_print (struct flow_trace *trace, FILE *out);

#endif
