/* stack.h -- TCP over raw IPv4 packets, with lwIP  */

#ifndef IO_STACK_H
#define IO_STACK_H

#include "boragelatch.h"

/* A process has one stack, protected by one lock.  The caller of each function
   except io_stack_start and io_stack_lock must hold the lock.  lwIP calls all
   callbacks with the lock held, on any thread.  */

/* Starts the stack.  OUTPUT is called with each IPv4 packet that the stack
   sends; the packet is valid during the call only.  */
void io_stack_start (void (*output) (void *ctx, uint8_t *packet, size_t len),
                     void *ctx);
/* Lock and unlock functions for io_loop_set_lock.  */
void io_stack_lock (void *unused);
void io_stack_unlock (void *unused);
/* Sets the address of the stack, which has only one.  */
void io_stack_set_address (uint32_t ip);
/* Passes a received IPv4 packet to the stack.  */
void io_stack_input (const uint8_t *packet, size_t len);
/* Drops a connection in any state, including half-open and TIME-WAIT, without
   sending a reset.  The source of KEY is the remote end.  */
void io_stack_drop (const struct bl_flow_key *key);

struct tcp_pcb;
/* Returns the flow key of a connection.  Its source is the remote end.  */
struct bl_flow_key io_stack_flow_key (const struct tcp_pcb *pcb);

#endif
