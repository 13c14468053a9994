/* handover.h -- the flow table that a pass-through agent leaves to its next
   process  */

#ifndef BL_HANDOVER_H
#define BL_HANDOVER_H

#include "boragelatch.h"

/* A table with more flows is not handed over: it would not fit into a value of
   the platform's store.  */
#define BL_HANDOVER_FLOWS_MAX 24000

struct bl_handover_flow
{
  struct bl_flow_key key;
  uint32_t first_seq; /* sequence number of the first packet */
  uint32_t next_seq;  /* next sequence number of the backend server */
  bool next_seq_known;
  bool established;
  bool closed; /* FIN or RST seen */
};

struct bl_handover
{
  uint64_t incarnation; /* of the process that wrote it */
  uint64_t store_era;   /* of the store when it was written; 0: none stated */
  /* For this much longer, flows that are older than the writer might have been
     missing; 0: the table is complete.  In milliseconds.  */
  uint64_t incomplete_ms;
  /* When the writer ceased to accept flows, by the machine's steady clock; 0:
     not stated, as by earlier versions.  In milliseconds.  */
  uint64_t stopped_ms;
  size_t count;
  struct bl_handover_flow *flows; /* owned */
};

void bl_handover_clear (struct bl_handover *handover);
/* Returns HANDOVER as JSON, which the caller frees; NULL if memory runs out or
   it has more than BL_HANDOVER_FLOWS_MAX flows.  */
char *bl_handover_format (const struct bl_handover *handover);
/* Parses TEXT into OUT, which must be released with bl_handover_clear after
   success.  Returns BL_EFORMAT or BL_ENOMEM.  */
int bl_handover_parse (struct bl_handover *out, const char *text);

#endif
