/* fake_tcp.c -- TCP of the simulation: packets, stacks and callers

   Implements the part of TCP that distinguishes a completed flow from a broken
   one: one segment in flight at a time, retransmission, and challenge
   acknowledgements and resets as in RFC 9293 and RFC 5961.  Initial sequence
   numbers of the stacks are close together, as those of lwIP are.  */

#include "test/fake_inner.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#define RETRANSMIT_MS     300   /* retransmission time-out of a caller */
#define CALLER_TIMEOUT_MS 20000 /* without any progress */
#define IP_BYTES          20
#define TCP_BYTES         20
#define STACK_INITIAL_SEQ 6510
#define DEFAULT_WORK      100 /* load of a flow, thousandths of a slot */
#define SEGMENT_BYTES     100
#define FLOW_SEQ_SPAN_MAX (1u << 20) /* sequence numbers of one flow */
#define FIRST_PORT        10000
#define CALLER_IP         0x0a000001u

/* -- packets -- */

static uint16_t
checksum (uint32_t sum, const uint8_t *p, size_t len)
{
  for (size_t i = 0; i < len; i++)
    sum += i % 2 == 0 ? (uint32_t)p[i] << 8 : p[i];
  while (sum >> 16)
    sum = (sum & 0xffff) + (sum >> 16);
  return (uint16_t)~sum;
}

static void
put16 (uint8_t *p, uint32_t value)
{
  p[0] = (uint8_t)(value >> 8);
  p[1] = (uint8_t)value;
}

static void
put32 (uint8_t *p, uint32_t value)
{
  put16 (p, value >> 16);
  put16 (p + 2, value & 0xffff);
}

static void
put_ip (uint8_t *p, const struct bl_flow_key *key, size_t len)
{
  memset (p, 0, IP_BYTES);
  p[0] = 0x45;
  put16 (p + 2, (uint32_t)len);
  p[8] = 64;
  p[9] = IPPROTO_TCP;
  put32 (p + 12, key->src_ip);
  put32 (p + 16, key->dst_ip);
  put16 (p + 10, checksum (0, p, IP_BYTES));
}

size_t
fake_packet (uint8_t *buf,
             const struct bl_flow_key *key,
             uint32_t seq,
             uint32_t ack,
             uint8_t flags,
             size_t payload)
{
  size_t segment = TCP_BYTES + payload;
  uint8_t *tcp = buf + IP_BYTES;
  uint32_t pseudo;

  put_ip (buf, key, IP_BYTES + segment);
  memset (tcp, 0, TCP_BYTES);
  put16 (tcp, key->src_port);
  put16 (tcp + 2, key->dst_port);
  put32 (tcp + 4, seq);
  put32 (tcp + 8, ack);
  tcp[12] = TCP_BYTES / 4 << 4;
  tcp[13] = flags;
  put16 (tcp + 14, 65535);
  memset (tcp + TCP_BYTES, 'x', payload);
  pseudo = (key->src_ip >> 16) + (key->src_ip & 0xffff) + (key->dst_ip >> 16)
           + (key->dst_ip & 0xffff) + IPPROTO_TCP + (uint32_t)segment;
  put16 (tcp + 16, checksum (pseudo, tcp, segment));
  return IP_BYTES + segment;
}

/* -- stack of a backend server -- */

/* Callers have consecutive ports, so the port gives the index.  */
static size_t
index_of (const struct bl_flow_key *key)
{
  return (size_t)key->src_port - FIRST_PORT;
}

static struct fake_conn *
find_conn (struct fake_instance *e, const struct bl_flow_key *key)
{
  struct fake_conn *c = &e->conns[index_of (key)];
  return c->used ? c : NULL;
}

static struct fake_conn *
new_conn (struct fake_instance *e, const struct bl_packet *p)
{
  struct fake_conn *c = &e->conns[index_of (&p->key)];

  *c = (struct fake_conn){
    .key = p->key,
    .used = true,
    .iss = STACK_INITIAL_SEQ + (uint32_t)(e->fake->now / 500),
    .rcv_nxt = p->seq + 1,
  };
  c->snd_nxt = c->iss + 1;
  return c;
}

static void
stack_send (struct fake_instance *e,
            const struct bl_flow_key *key,
            uint32_t seq,
            uint32_t ack,
            uint8_t flags)
{
  struct bl_flow_key back
      = { key->dst_ip, key->src_ip, key->dst_port, key->src_port };
  uint8_t buf[64] = { 0 };
  size_t len = fake_packet (buf, &back, seq, ack, flags, 0);

  if (bl_agent_outgoing (e->agent, e->fake->now, buf, len))
    fake_send_to_caller (e, buf, len);
}

static struct fake_caller *
caller_of (struct fake *f, const struct bl_flow_key *key)
{
  return &f->callers[index_of (key)];
}

/* Records which backend server received bytes of a caller's flow.  Bytes of an
   earlier flow from the same port are recognised by their sequence numbers and
   ignored.  */
static void
record_receiver (struct fake_instance *e, const struct bl_packet *p)
{
  struct fake_caller *c = caller_of (e->fake, &p->key);

  if (p->seq - c->isn > FLOW_SEQ_SPAN_MAX)
    return;
  if (c->has_server && c->server != e->index)
    c->two_servers = true;
  c->has_server = true;
  c->server = e->index;
}

static void
close_conn (struct fake_instance *e, struct fake_conn *c)
{
  c->used = false;
  bl_agent_flow_closed (e->agent, e->fake->now, &c->key);
}

/* Handles a packet in the state LAST-ACK: sends the FIN again unless the packet
   acknowledges it.  */
static void
stack_closing (struct fake_instance *e,
               struct fake_conn *c,
               const struct bl_packet *p)
{
  if (p->ack == c->snd_nxt + 1)
    close_conn (e, c);
  else
    stack_send (e, &p->key, c->snd_nxt, c->rcv_nxt, BL_TCP_ACK | BL_TCP_FIN);
}

static void
stack_data (struct fake_instance *e,
            struct fake_conn *c,
            const struct bl_packet *p)
{
  if (p->flags & BL_TCP_RST)
    {
      if (p->seq == c->rcv_nxt)
        close_conn (e, c);
      return;
    }
  if (c->closing)
    {
      stack_closing (e, c, p);
      return;
    }
  if (!c->established && p->ack != c->iss + 1)
    {
      stack_send (e, &p->key, p->ack, 0, BL_TCP_RST);
      return;
    }
  c->established = true;
  if (p->payload_len > 0 && p->seq == c->rcv_nxt)
    {
      record_receiver (e, p);
      c->rcv_nxt += p->payload_len;
    }
  if ((p->flags & BL_TCP_FIN) && p->seq + p->payload_len == c->rcv_nxt)
    {
      c->rcv_nxt++;
      c->closing = true;
      stack_closing (e, c, p);
      return;
    }
  if (p->payload_len > 0 || (p->flags & BL_TCP_FIN))
    stack_send (e, &p->key, c->snd_nxt, c->rcv_nxt, BL_TCP_ACK);
}

void
fake_stack_deliver (void *ctx, const uint8_t *packet, size_t len)
{
  struct fake_instance *e = ctx;
  struct bl_packet p;
  struct fake_conn *c;

  if (bl_packet_parse (&p, packet, len) != BL_OK)
    abort ();
  c = find_conn (e, &p.key);
  if (bl_packet_is_first (&p))
    {
      if (c == NULL)
        {
          c = new_conn (e, &p);
          e->first_packets++;
          e->last_first_packet_ms = e->fake->now;
        }
      if (c->established)
        stack_send (e, &p.key, c->snd_nxt, c->rcv_nxt, BL_TCP_ACK);
      else
        stack_send (e, &p.key, c->iss, c->rcv_nxt, BL_TCP_SYN | BL_TCP_ACK);
    }
  else if (c != NULL)
    stack_data (e, c, &p);
  else if ((p.flags & BL_TCP_RST) == 0)
    stack_send (e, &p.key, p.ack, 0, BL_TCP_RST);
}

void
fake_stack_forget (void *ctx, const struct bl_flow_key *key)
{
  struct fake_conn *c = find_conn (ctx, key);

  if (c != NULL)
    c->used = false;
}

/* -- callers -- */

static void
send_to_random_balancer (struct fake *f, const uint8_t *packet, size_t len)
{
  size_t ready[FAKE_INSTANCES_MAX];
  size_t n = 0;

  for (size_t i = 0; i < f->instance_count; i++)
    if (f->instances[i].kind == FAKE_NODE && f->instances[i].alive
        && bl_node_is_ready (f->instances[i].node))
      ready[n++] = i;
  if (n > 0)
    fake_post (f, TO_NODE, (struct bl_addr){ CALLER_IP, 1 }, 0,
               ready[bl_random_below (&f->random, (uint32_t)n)], NULL, 0,
               packet, len);
}

static void
caller_send (struct fake *f,
             struct fake_caller *c,
             uint32_t seq,
             uint8_t flags,
             size_t payload)
{
  uint8_t buf[64 + SEGMENT_BYTES] = { 0 };
  uint32_t ack = (flags & BL_TCP_ACK) ? c->rcv_nxt : 0;

  send_to_random_balancer (
      f, buf, fake_packet (buf, &c->key, seq, ack, flags, payload));
}

static void
send_current (struct fake *f, struct fake_caller *c)
{
  c->sent_ms = f->now;
  if (c->state == FAKE_CONNECTING)
    caller_send (f, c, c->isn, BL_TCP_SYN, 0);
  else if (c->snd_nxt - c->snd_una == SEGMENT_BYTES)
    caller_send (f, c, c->snd_una, BL_TCP_ACK, SEGMENT_BYTES);
  else
    caller_send (f, c, c->snd_una, BL_TCP_ACK | BL_TCP_FIN, 0);
}

static void
send_next (struct fake *f, struct fake_caller *c)
{
  c->snd_nxt += c->segments_left > 0 ? SEGMENT_BYTES : 1;
  c->fin_sent = c->segments_left == 0;
  if (c->segments_left > 0)
    c->segments_left--;
  c->unacked_since_ms = f->now;
  send_current (f, c);
}

void
fake_caller_tick (struct fake *f, struct fake_caller *c)
{
  bool waiting = c->snd_una != c->snd_nxt;

  if (c->state != FAKE_CONNECTING && c->state != FAKE_OPEN)
    return;
  if (waiting && f->now - c->unacked_since_ms > CALLER_TIMEOUT_MS)
    c->state = c->state == FAKE_OPEN ? FAKE_BROKEN : FAKE_REFUSED;
  else if (waiting && f->now - c->sent_ms >= RETRANSMIT_MS)
    send_current (f, c);
  else if (!waiting && f->now >= c->next_send_ms)
    send_next (f, c);
}

static void
caller_acked (struct fake *f, struct fake_caller *c, const struct bl_packet *p)
{
  if (p->ack != c->snd_nxt || c->snd_una == c->snd_nxt)
    return;
  /* A closing flow is done only once the FIN of the server has arrived.  */
  if (c->fin_sent && (p->flags & BL_TCP_FIN) == 0)
    return;
  c->snd_una = c->snd_nxt;
  c->next_send_ms
      = f->now + f->data_interval_ms / 2
        + bl_random_below (&f->random, (uint32_t)f->data_interval_ms);
  if (p->flags & BL_TCP_FIN)
    {
      c->rcv_nxt = p->seq + 1;
      c->state = FAKE_DONE;
      caller_send (f, c, c->snd_nxt, BL_TCP_ACK, 0);
    }
}

void
fake_caller_receive (struct fake *f,
                     size_t from,
                     const uint8_t *bytes,
                     size_t len)
{
  struct bl_packet p;
  struct bl_flow_key key;
  struct fake_caller *c;

  if (bl_packet_parse (&p, bytes, len) != BL_OK)
    abort ();
  key = (struct bl_flow_key){ p.key.dst_ip, p.key.src_ip, p.key.dst_port,
                              p.key.src_port };
  c = caller_of (f, &key);
  if (c->state == FAKE_DONE && (p.flags & BL_TCP_FIN))
    caller_send (f, c, c->snd_nxt, BL_TCP_ACK, 0);
  if (c->state == FAKE_CONNECTING)
    {
      if ((p.flags & BL_TCP_RST) && p.ack == c->isn + 1)
        c->state = FAKE_REFUSED;
      else if ((p.flags & BL_TCP_SYN) && p.ack == c->isn + 1)
        {
          c->rcv_nxt = p.seq + 1;
          c->snd_una = c->snd_nxt;
          c->state = FAKE_OPEN;
          c->handshake_server = from;
          c->next_send_ms = f->now;
          caller_send (f, c, c->snd_nxt, BL_TCP_ACK, 0);
        }
      else if ((p.flags & BL_TCP_ACK) && (p.flags & BL_TCP_RST) == 0)
        caller_send (f, c, p.ack, BL_TCP_RST, 0);
      return;
    }
  if (c->state != FAKE_OPEN)
    return;
  if (p.flags & BL_TCP_RST)
    {
      if (p.seq == c->rcv_nxt)
        c->state = FAKE_BROKEN;
    }
  else if (p.seq == c->rcv_nxt && !(p.flags & BL_TCP_SYN))
    caller_acked (f, c, &p);
  else
    /* The segment is outside the window: the caller sends a challenge
       acknowledgement (RFC 5961).  */
    caller_send (f, c, c->snd_nxt, BL_TCP_ACK, 0);
}

static void
connect_caller (struct fake *f,
                struct fake_caller *c,
                uint32_t isn,
                unsigned segments)
{
  *c = (struct fake_caller){
    .state = FAKE_CONNECTING,
    .key = c->key,
    .isn = isn,
    .snd_una = isn,
    .snd_nxt = isn + 1,
    .unacked_since_ms = f->now,
    .segments_left = segments,
    .work = f->draw_work != NULL ? f->draw_work (&f->random) : DEFAULT_WORK,
  };
  send_current (f, c);
}

size_t
fake_open (struct fake *f, size_t count, unsigned segments)
{
  size_t first = f->caller_count;

  if (first + count > FAKE_CALLERS_MAX)
    abort ();
  for (size_t i = 0; i < count; i++)
    {
      struct fake_caller *c = &f->callers[f->caller_count++];
      c->key
          = (struct bl_flow_key){ CALLER_IP, FAKE_SERVICE_IP,
                                  (uint16_t)(FIRST_PORT + f->caller_count - 1),
                                  FAKE_PORT };
      connect_caller (f, c, (uint32_t)bl_random_next (&f->random), segments);
    }
  return first;
}

void
fake_reset_and_reopen (struct fake *f, unsigned segments)
{
  for (size_t i = 0; i < f->caller_count; i++)
    {
      struct fake_caller *c = &f->callers[i];
      if (c->state != FAKE_OPEN)
        continue;
      caller_send (f, c, c->snd_nxt, BL_TCP_RST | BL_TCP_ACK, 0);
      connect_caller (f, c, (uint32_t)bl_random_next (&f->random), segments);
    }
}

void
fake_reopen (struct fake *f, unsigned segments)
{
  for (size_t i = 0; i < f->caller_count; i++)
    if (f->callers[i].state == FAKE_DONE)
      connect_caller (f, &f->callers[i], (uint32_t)bl_random_next (&f->random),
                      segments);
}
