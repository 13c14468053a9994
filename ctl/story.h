/* story.h -- the lines of many logs that belong to one flow, in order  */

#ifndef STORY_H
#define STORY_H

#include "boragelatch.h"

#include <stdio.h>

struct story;

/* A story of the flow that FLOW names: "IP:PORT-IP:PORT", or the caller's
   "IP:PORT" alone.  NULL when it is neither.  */
struct story *story_new (const char *flow);
void story_free (struct story *story);

/* Takes in the lines of IN; NAME stands for the instance until a line tells
   its id.  Lines that are not key=value are skipped.  */
void story_read (struct story *story, FILE *in, const char *name);

/* How many lines name the flow.  */
size_t story_size (const struct story *story);

/* Puts the lines in order, and prints them and the decision that ended the
   flow.  To be called once.  */
void story_print (struct story *story, FILE *out);

#endif
