/* stack.h -- TCP over raw IPv4 packets, with lwIP  */

#ifndef IO_STACK_H
#define IO_STACK_H

#include "boragelatch.h"

/* There is one stack in a process.  Every call but io_stack_start needs its
   lock held, and every callback of lwIP runs with the lock held, whichever
   thread it is on.  */

/* Starts the stack.  OUTPUT is called for each IPv4 packet to be sent.  */
void io_stack_start (void (*output) (void *ctx, uint8_t *packet, size_t len),
                     void *ctx);
/* For io_loop_set_lock.  */
void io_stack_lock (void *unused);
void io_stack_unlock (void *unused);
/* Sets the one address of the stack.  */
void io_stack_set_address (uint32_t ip);
/* Gives an IPv4 packet to the stack.  */
void io_stack_input (const uint8_t *packet, size_t len);
/* Drops a connection, half-open or in TIME-WAIT too, without a reset; KEY is
   seen from the other end.  */
void io_stack_drop (const struct bl_flow_key *key);

struct tcp_pcb;
/* The flow of a connection, seen from the other end.  */
struct bl_flow_key io_stack_flow_key (const struct tcp_pcb *pcb);

#endif
