/* stack.c -- TCP over raw IPv4 packets, with lwIP

   lwIP runs its timers on a thread of its own, with its core lock held.  The
   calling thread passes packets to ip_input directly under the same lock, so
   the mailbox of lwIP's thread is not used.  */

#include "io/stack.h"

#include <lwip/ip.h>
#include <lwip/netif.h>
#include <lwip/pbuf.h>
#include <lwip/priv/tcp_priv.h>
#include <lwip/tcp.h>
#include <lwip/tcpip.h>
#include <semaphore.h>
#include <string.h>

#define STACK_MTU_BYTES 1500

static struct
{
  struct netif netif;
  sem_t started;
  void (*output) (void *ctx, uint8_t *packet, size_t len);
  void *ctx;
} stack;

/* Output callback of the interface.  Copies the packet into one buffer, since
   lwIP may hold it in several; drops it if it is larger than the MTU.  */
static err_t
netif_output (struct netif *netif, struct pbuf *p, const ip4_addr_t *to)
{
  uint8_t buf[STACK_MTU_BYTES];
  uint16_t n = pbuf_copy_partial (p, buf, sizeof buf, 0);

  (void)netif;
  (void)to;
  if (n == p->tot_len)
    stack.output (stack.ctx, buf, n);
  return ERR_OK;
}

/* Initialisation callback of the interface.  */
static err_t
netif_setup (struct netif *netif)
{
  netif->name[0] = 'b';
  netif->name[1] = 'l';
  netif->mtu = STACK_MTU_BYTES;
  netif->output = netif_output;
  return ERR_OK;
}

/* Called by lwIP's thread once it runs.  */
static void
on_started (void *unused)
{
  ip4_addr_t zero = { 0 };

  (void)unused;
  netif_add (&stack.netif, &zero, &zero, &zero, NULL, netif_setup, ip_input);
  netif_set_default (&stack.netif);
  netif_set_link_up (&stack.netif);
  netif_set_up (&stack.netif);
  sem_post (&stack.started);
}

void
io_stack_start (void (*output) (void *ctx, uint8_t *packet, size_t len),
                void *ctx)
{
  stack.output = output;
  stack.ctx = ctx;
  sem_init (&stack.started, 0, 0);
  tcpip_init (on_started, NULL);
  sem_wait (&stack.started);
}

void
io_stack_lock (void *unused)
{
  (void)unused;
  LOCK_TCPIP_CORE ();
}

void
io_stack_unlock (void *unused)
{
  (void)unused;
  UNLOCK_TCPIP_CORE ();
}

void
io_stack_set_address (uint32_t ip)
{
  ip4_addr_t addr = { lwip_htonl (ip) };
  ip4_addr_t mask = { 0xffffffff };
  ip4_addr_t zero = { 0 };

  netif_set_addr (&stack.netif, &addr, &mask, &zero);
}

void
io_stack_input (const uint8_t *packet, size_t len)
{
  struct pbuf *p = pbuf_alloc (PBUF_RAW, (uint16_t)len, PBUF_RAM);

  if (p == NULL)
    return;
  pbuf_take (p, packet, (uint16_t)len);
  if (stack.netif.input (p, &stack.netif) != ERR_OK)
    pbuf_free (p);
}

struct bl_flow_key
io_stack_flow_key (const struct tcp_pcb *pcb)
{
  return (struct bl_flow_key){
    .src_ip = lwip_ntohl (ip_2_ip4 (&pcb->remote_ip)->addr),
    .dst_ip = lwip_ntohl (ip_2_ip4 (&pcb->local_ip)->addr),
    .src_port = pcb->remote_port,
    .dst_port = pcb->local_port,
  };
}

static struct tcp_pcb *
find_pcb (struct tcp_pcb *list, const struct bl_flow_key *key)
{
  for (struct tcp_pcb *pcb = list; pcb != NULL; pcb = pcb->next)
    {
      struct bl_flow_key k = io_stack_flow_key (pcb);
      if (bl_flow_key_equal (&k, key))
        return pcb;
    }
  return NULL;
}

/* The second argument of tcp_abandon, 0, suppresses the reset.  */
void
io_stack_drop (const struct bl_flow_key *key)
{
  struct tcp_pcb *pcb = find_pcb (tcp_active_pcbs, key);

  if (pcb == NULL)
    pcb = find_pcb (tcp_tw_pcbs, key);
  if (pcb != NULL)
    tcp_abandon (pcb, 0);
}
