/* emulator_server.c -- backend servers of an emulator: flows, slots and a queue

   A server accepts first packets, runs as many requests at once as it has
   slots, queues a few more and refuses the rest.  It returns packets of flows
   that it does not hold to its agent.  */

#include "emulator/emulator_inner.h"

#include <stdlib.h>

#define HANDSHAKE_US   300     /* from a first packet to its acceptance */
#define WARM_UP_US     2000000 /* after a restart; requests run longer */
#define WARM_UP_FACTOR 1.6     /* of the time that requests run then */
#define DRAIN_GRACE_US 3000000 /* after it, no first packet may arrive */
#define ANSWER_BYTES   1000
#define REFUSAL_BYTES  100
#define NOT_RUN_FLAG   BL_TCP_FIN /* in an answer: the request did not run */

struct em_server_flow
{
  struct bl_flow_key key;
  uint32_t iss;         /* initial sequence number of the server */
  uint32_t last_ack;    /* acknowledgement number of the last answer */
  uint32_t running_seq; /* of the request in progress; 0: none */
  bool open;            /* the caller has acknowledged the acceptance */
  UT_hash_handle hh;
};

static struct em_server_flow *
find_flow (const struct em_server *s, const struct bl_flow_key *key)
{
  struct em_server_flow *f;

  HASH_FIND (hh, s->flows, key, sizeof *key, f);
  return f;
}

void
em_server_clear (struct em_server *s)
{
  struct em_server_flow *f;
  struct em_server_flow *next;

  HASH_ITER (hh, s->flows, f, next)
  {
    HASH_DEL (s->flows, f);
    free (f);
  }
  s->running = 0;
  s->queued = 0;
}

bool
em_server_holds_flow (const struct em *em, const struct bl_flow_key *key)
{
  for (size_t i = 0; i < em->server_count; i++)
    {
      const struct em_server *s = &em->servers[i];
      const struct em_server_flow *f = s->alive ? find_flow (s, key) : NULL;
      if (f != NULL && f->open && em->now_us >= s->agent.disconnected_until_us)
        return true;
    }
  return false;
}

static void
send_answer (struct em_server *s,
             const struct em_server_flow *f,
             uint8_t flags,
             uint16_t len)
{
  struct bl_packet packet = {
    .key = f->key,
    .seq = f->iss + 1,
    .ack = f->last_ack,
    .flags = flags,
    .payload_len = len,
  };

  em_server_send (s, &packet, false, 0);
}

static void start_queued_request (struct em_server *s);

/* Frees the slot of a request that has run, and answers unless its flow has
   ended.  */
static void
finish_request (void *ctx, struct event *e)
{
  struct em *em = ctx;
  struct em_server *s = &em->servers[e->index];
  const struct em_server_request *request
      = (const struct em_server_request *)e->data;
  struct em_server_flow *f;

  if (!s->alive || e->tag != s->generation)
    return;
  s->running--;
  f = find_flow (s, &request->key);
  if (f != NULL && f->running_seq == request->request_seq)
    {
      f->running_seq = 0;
      f->last_ack = request->request_seq + 1;
      send_answer (s, f, BL_TCP_ACK, ANSWER_BYTES);
    }
  start_queued_request (s);
}

/* Runs a request for 60 to 140 % of the class's mean time.  */
static void
run_request (struct em_server *s, const struct em_server_request *request)
{
  const struct em_class *c
      = &s->em->settings
             .classes[s->em->callers[em_caller_index (&request->key)].class];
  uint64_t age_us = s->em->now_us - s->started_us;
  double us = 1000 * c->work_ms * s->slowness
              * (0.6 + 0.8 * bl_random_unit (&s->em->random));
  struct event *e;

  if (s->generation > 1 && age_us < WARM_UP_US)
    us *= WARM_UP_FACTOR;
  s->running++;
  s->requests_started++;
  em_note_run (s->em, &request->key, request->request_seq);
  e = em_post (s->em, us, finish_request, s->index, sizeof *request);
  e->tag = s->generation;
  *(struct em_server_request *)e->data = *request;
}

/* Runs the request at the head of the queue, if there is one.  */
static void
start_queued_request (struct em_server *s)
{
  struct em_server_request request;

  if (s->queued == 0)
    return;
  request = s->queue[0];
  s->queued--;
  for (unsigned i = 0; i < s->queued; i++)
    s->queue[i] = s->queue[i + 1];
  run_request (s, &request);
}

/* Handles a request packet.  A request in progress is not started again, and
   an answered request gets the same answer again.  */
static void
on_request (struct em_server *s,
            struct em_server_flow *f,
            const struct bl_packet *p)
{
  const struct em_service *service = &s->em->settings.services[s->service];
  struct em_server_request request = { .key = p->key, .request_seq = p->seq };

  if (f->running_seq == p->seq)
    return;
  if (f->last_ack == p->seq + 1)
    {
      send_answer (s, f, BL_TCP_ACK, ANSWER_BYTES);
      return;
    }
  if (s->running >= service->slots && s->queued >= service->queue)
    {
      s->em->totals.shed++;
      f->last_ack = p->seq + 1;
      send_answer (s, f, BL_TCP_ACK | NOT_RUN_FLAG, REFUSAL_BYTES);
      return;
    }
  f->running_seq = p->seq;
  if (s->running < service->slots)
    run_request (s, &request);
  else
    s->queue[s->queued++] = request;
}

/* Counts a first packet that should not have reached this server.  */
static void
check_first_packet (struct em_server *s, const struct bl_packet *p)
{
  const struct em *em = s->em;
  unsigned class = em->callers[em_caller_index (&p->key)].class;

  if (em->settings.classes[class].service != s->service)
    s->em->totals.wrong_service++;
  if (s->drain_reported_us != 0
      && em->now_us > s->drain_reported_us + DRAIN_GRACE_US)
    s->em->totals.after_drain++;
}

/* Accepts a flow, or sends the acceptance again for a copy of its first
   packet.  */
static void
accept_flow (void *ctx, struct event *e)
{
  struct em *em = ctx;
  struct em_server *s = &em->servers[e->index];
  const struct bl_packet *p = (const struct bl_packet *)e->data;
  struct em_server_flow *f;
  struct bl_packet reply = { .key = p->key };

  if (!s->alive || e->tag != s->generation)
    return;
  check_first_packet (s, p);
  f = find_flow (s, &p->key);
  if (f == NULL)
    {
      f = calloc (1, sizeof *f);
      if (f == NULL)
        return;
      f->key = p->key;
      f->iss = (uint32_t)bl_random_next (&em->random);
      HASH_ADD (hh, s->flows, key, sizeof f->key, f);
    }
  reply.seq = f->iss;
  reply.ack = p->seq + 1;
  reply.flags = BL_TCP_SYN | BL_TCP_ACK;
  em_server_send (s, &reply, false, 0);
}

void
em_server_receive (struct em_server *s,
                   const struct bl_packet *packet,
                   uint32_t token)
{
  struct em_server_flow *f;
  struct event *e;

  if (!s->alive)
    return;
  if (bl_packet_is_first (packet))
    {
      e = em_post (s->em, HANDSHAKE_US, accept_flow, s->index, sizeof *packet);
      e->tag = s->generation;
      *(struct bl_packet *)e->data = *packet;
      return;
    }
  f = find_flow (s, &packet->key);
  if (f == NULL || packet->ack != f->iss + 1)
    {
      s->em->totals.unknown_flow_packets++;
      em_server_send (s, packet, true, token);
      return;
    }
  if (!f->open)
    s->flows_opened++;
  f->open = true;
  if (packet->flags & (BL_TCP_RST | BL_TCP_FIN))
    {
      HASH_DEL (s->flows, f);
      free (f);
      return;
    }
  if (packet->payload_len > 0)
    on_request (s, f, packet);
}
