/* fake_inner.h -- the inside of the fake network, shared by its modules  */

#ifndef FAKE_INNER_H
#define FAKE_INNER_H

#include "test/fake.h"

enum message_kind
{
  TO_DATA,    /* packet with a forwarding header, to an agent */
  TO_NODE,    /* packet from a caller, to a balancer */
  TO_CALLER,  /* packet from an agent */
  TO_CONTROL, /* control message */
  TO_BULK,    /* request */
  TO_REPLY,   /* reply to a request */
};

/* fake.c */
/* Sends head and body to an instance, or to the callers, after a delay.  */
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
/* The operations that an agent asks of its stack.  */
void fake_stack_deliver (void *ctx, const uint8_t *packet, size_t len);
void fake_stack_forget (void *ctx, const struct bl_flow_key *key);
/* A packet has reached its caller, from the agent of this index.  */
void fake_caller_receive (struct fake *f,
                          size_t from,
                          const uint8_t *bytes,
                          size_t len);
/* Sends what is due of a caller.  */
void fake_caller_tick (struct fake *f, struct fake_caller *c);

#endif
