/* fake_inner.h -- internal interface between the modules of the simulation  */

#ifndef FAKE_INNER_H
#define FAKE_INNER_H

#include "test/fake.h"

enum message_kind
{
  TO_DATA,    /* packet with a forwarding header, to an agent */
  TO_NODE,    /* packet from a caller to a balancer */
  TO_CALLER,  /* packet from an agent to a caller */
  TO_CONTROL, /* control message */
  TO_BULK,    /* request to a balancer's bulk address */
  TO_REPLY,   /* reply to a request */
};

/* fake.c */
/* Sends HEAD followed by BODY to instance TO, or to the callers, after a
   random delay.  Loss and duplication apply to all kinds but TO_BULK and
   TO_REPLY, which stand for TCP streams.  */
void fake_post (struct fake *f,
                enum message_kind kind,
                struct bl_addr from,
                size_t sender,
                size_t to,
                const uint8_t *head,
                size_t head_len,
                const uint8_t *body,
                size_t body_len);
/* Sends a packet from an agent to its caller.  */
void fake_send_to_caller (void *ctx, const uint8_t *packet, size_t len);

/* fake_tcp.c */
/* Operations of an agent on the stack of its backend server.  */
void fake_stack_deliver (void *ctx, const uint8_t *packet, size_t len);
void fake_stack_forget (void *ctx, const struct bl_flow_key *key);
/* Delivers a packet to its caller; FROM is the index of the sending agent.  */
void fake_caller_receive (struct fake *f,
                          size_t from,
                          const uint8_t *bytes,
                          size_t len);
/* Sends or retransmits the segment of a caller that is due; a caller without
   progress times out.  */
void fake_caller_tick (struct fake *f, struct fake_caller *c);

#endif
