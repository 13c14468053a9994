/* emulator_callers.c -- callers of an emulator: requests, pauses, deadlines and
   retries

   A caller pauses, opens a flow unless its flow is still open, sends a request
   on it and waits for the answer.  A request that fails is retried on a new
   flow.  */

#include "emulator/emulator_inner.h"

#include <math.h>
#include <stdlib.h>

#define SYN_RETRANSMIT_1_US 200000 /* from a first packet to its first copy */
#define SYN_RETRANSMIT_2_US                                                    \
  600000                        /* from a first packet to its second copy      \
                                 */
#define OPEN_TIMEOUT_US 1400000 /* a first packet without acceptance */
#define REQUEST_RETRANSMIT_US                                                  \
  200000 /* until a request is first retransmitted */
#define REQUEST_RETRANSMIT_MAX_US 1600000 /* later intervals, at most */
#define PORT_FIRST                1024    /* smallest source port */
#define REQUEST_BYTES             900
#define BUCKETS_PER_OCTAVE        16 /* of a histogram of latencies */

static void start_request (struct em *em, size_t index);

static const struct em_class *
class_of (const struct em *em, const struct em_caller *caller)
{
  return &em->settings.classes[caller->class];
}

/* Schedules CALLBACK for a caller, tagged with the present timer_generation;
   the callback does nothing if the generation has changed.  */
static struct event *
post_timer (struct em *em,
            size_t index,
            double after_us,
            void (*callback) (void *ctx, struct event *event))
{
  struct event *e = em_post (em, after_us, callback, index, 0);

  e->tag = em->callers[index].timer_generation;
  return e;
}

static void
send_packet (struct em *em, size_t index, uint8_t flags, uint16_t len)
{
  const struct em_caller *caller = &em->callers[index];
  struct bl_packet packet = {
    .key = em_caller_flow_key (em, index, caller->class, caller->port),
    .seq = caller->seq,
    .ack = flags & BL_TCP_SYN ? 0 : caller->ack,
    .flags = flags,
    .payload_len = len,
  };

  em_send_from_caller (em, caller->dc, &packet);
}

/* -- outcomes -- */

static void
end_pause (void *ctx, struct event *e)
{
  struct em *em = ctx;

  if (em->callers[e->index].timer_generation == e->tag)
    start_request (em, e->index);
}

static void
start_pause (struct em *em, size_t index)
{
  struct em_caller *caller = &em->callers[index];
  double pause = class_of (em, caller)->pause_ms * 1000 / em->load_factor;

  caller->state = EM_PAUSING;
  caller->timer_generation++;
  post_timer (em, index, em_random_exponential (em, pause), end_pause);
}

/* The counts of the second in which the present request started; NULL if that
   second has none.  */
static struct em_outcome *
second_outcome (struct em *em, const struct em_caller *caller)
{
  uint64_t second = caller->requested_us / 1000000;
  return second < EM_SECONDS_MAX ? &em->totals.seconds[second] : NULL;
}

static size_t
latency_bucket (double ms)
{
  double bucket = ms <= 1 ? 0 : log2 (ms) * BUCKETS_PER_OCTAVE;
  return bucket < EM_LATENCY_BUCKETS - 1 ? (size_t)bucket
                                         : EM_LATENCY_BUCKETS - 1;
}

double
em_percentile (const struct em_latency_histogram *latencies, double p)
{
  uint64_t all = 0;
  uint64_t within = 0;

  for (size_t i = 0; i < EM_LATENCY_BUCKETS; i++)
    all += latencies->counts[i];
  for (size_t i = 0; i < EM_LATENCY_BUCKETS && all > 0; i++)
    {
      within += latencies->counts[i];
      if ((double)within >= p * (double)all)
        return exp2 ((double)(i + 1) / BUCKETS_PER_OCTAVE);
    }
  return 0;
}

void
em_add_outcome (struct em_outcome *sum, const struct em_outcome *added)
{
  sum->requests += added->requests;
  sum->in_time += added->in_time;
  sum->late += added->late;
  sum->failed += added->failed;
  sum->refused += added->refused;
}

struct em_outcome
em_sum_classes (const struct em_totals *totals)
{
  struct em_outcome all = { .requests = 0 };

  for (size_t i = 0; i < EM_CLASSES_MAX; i++)
    em_add_outcome (&all, &totals->classes[i]);
  return all;
}

enum result
{
  IN_TIME,
  LATE,
  FAILED,
  REFUSED,
};

/* Counts the outcome of the present request and starts the next pause.  */
static void
finish_request (struct em *em, size_t index, enum result result)
{
  struct em_caller *caller = &em->callers[index];
  struct em_outcome *all[2]
      = { &em->totals.classes[caller->class], second_outcome (em, caller) };

  for (int i = 0; i < 2; i++)
    {
      if (all[i] == NULL)
        continue;
      all[i]->requests++;
      all[i]->in_time += result == IN_TIME;
      all[i]->late += result == LATE;
      all[i]->failed += result == FAILED;
      all[i]->refused += result == REFUSED;
    }
  if (result == IN_TIME || result == LATE)
    em->totals.latencies[caller->class].counts[latency_bucket (
        (double)(em->now_us - caller->requested_us) / 1000)]++;
  start_pause (em, index);
}

/* -- attempts -- */

/* Stores the attempt that sends the present request on the present flow.  */
static void
record_attempt (struct em_caller *caller)
{
  size_t at = caller->attempt_count++ % EM_ATTEMPTS_KEPT;

  caller->attempts[at] = (struct em_attempt){
    .request_number = caller->request_number,
    .seq = caller->seq,
    .port = caller->port,
  };
}

void
em_note_run (struct em *em, const struct bl_flow_key *key, uint32_t seq)
{
  struct em_caller *caller = &em->callers[em_caller_index (key)];
  struct em_attempt *started = NULL;

  if (class_of (em, caller)->repeatable)
    return;
  for (size_t i = 0; i < EM_ATTEMPTS_KEPT; i++)
    if (caller->attempts[i].port == key->src_port
        && caller->attempts[i].seq == seq)
      started = &caller->attempts[i];
  if (started == NULL)
    return;
  for (size_t i = 0; i < EM_ATTEMPTS_KEPT; i++)
    if (caller->attempts[i].request_number == started->request_number
        && caller->attempts[i].has_run)
      {
        em->totals.duplicate_runs++;
        break;
      }
  started->has_run = true;
}

static void retransmit_request (void *ctx, struct event *e);

/* Sends the request and schedules its retransmission after WAIT_US.  */
static void
send_request (struct em *em, size_t index, double wait_us)
{
  send_packet (em, index, BL_TCP_ACK, REQUEST_BYTES);
  post_timer (em, index, wait_us, retransmit_request);
  em->callers[index].may_have_run = true;
}

/* Retransmits a request.  The next retransmission follows after as much time as
   has passed since the request started, within REQUEST_RETRANSMIT_US and
   REQUEST_RETRANSMIT_MAX_US, so that the intervals double.  */
static void
retransmit_request (void *ctx, struct event *e)
{
  struct em *em = ctx;
  struct em_caller *caller = &em->callers[e->index];
  uint64_t waited = em->now_us - caller->requested_us;

  if (caller->timer_generation != e->tag || caller->state != EM_WAITING)
    return;
  send_request (em, e->index,
                waited < REQUEST_RETRANSMIT_US
                    ? REQUEST_RETRANSMIT_US
                    : (waited < REQUEST_RETRANSMIT_MAX_US
                           ? (double)waited
                           : REQUEST_RETRANSMIT_MAX_US));
}

static void
retransmit_syn (void *ctx, struct event *e)
{
  struct em *em = ctx;
  const struct em_caller *caller = &em->callers[e->index];

  if (caller->timer_generation == e->tag && caller->state == EM_OPENING)
    send_packet (em, e->index, BL_TCP_SYN, 0);
}

static void retry_request (struct em *em, size_t index, enum result result);

static void
open_timed_out (void *ctx, struct event *e)
{
  struct em *em = ctx;
  struct em_caller *caller = &em->callers[e->index];

  if (caller->timer_generation == e->tag && caller->state == EM_OPENING)
    retry_request (em, e->index, FAILED);
}

/* Opens a flow from the next source port.  */
static void
open_flow (struct em *em, size_t index)
{
  struct em_caller *caller = &em->callers[index];

  caller->timer_generation++;
  caller->state = EM_OPENING;
  caller->flow_open = false;
  caller->port = caller->port < PORT_FIRST || caller->port == UINT16_MAX
                     ? PORT_FIRST
                     : (uint16_t)(caller->port + 1);
  caller->seq = (uint32_t)bl_random_next (&em->random);
  send_packet (em, index, BL_TCP_SYN, 0);
  post_timer (em, index, SYN_RETRANSMIT_1_US, retransmit_syn);
  post_timer (em, index, SYN_RETRANSMIT_2_US, retransmit_syn);
  post_timer (em, index, OPEN_TIMEOUT_US, open_timed_out);
}

/* Sends the present request on the open flow.  */
static void
start_exchange (struct em *em, size_t index)
{
  struct em_caller *caller = &em->callers[index];

  caller->timer_generation++;
  caller->state = EM_WAITING;
  record_attempt (caller);
  send_request (em, index, REQUEST_RETRANSMIT_US);
}

static void
deadline_passed (void *ctx, struct event *e)
{
  struct em *em = ctx;
  struct em_caller *caller = &em->callers[e->index];

  if (caller->request_number != e->tag || caller->state == EM_PAUSING)
    return;
  if (caller->flow_open)
    send_packet (em, e->index, BL_TCP_RST, 0);
  caller->flow_open = false;
  finish_request (em, e->index, FAILED);
}

/* Retries the present request on a new flow.  RESULT becomes its outcome if no
   retry is left, or if it may have run and must not run twice.  */
static void
retry_request (struct em *em, size_t index, enum result result)
{
  struct em_caller *caller = &em->callers[index];
  const struct em_class *c = class_of (em, caller);

  caller->flow_open = false;
  if (caller->retry_count++ >= c->retries
      || (caller->may_have_run && !c->repeatable && !c->retries_unsafely))
    {
      finish_request (em, index, result);
      return;
    }
  open_flow (em, index);
}

static void
start_request (struct em *em, size_t index)
{
  struct em_caller *caller = &em->callers[index];
  struct event *e;

  caller->requested_us = em->now_us;
  caller->request_number++;
  caller->retry_count = 0;
  caller->may_have_run = false;
  e = em_post (em, 1000.0 * class_of (em, caller)->deadline_ms, deadline_passed,
               index, 0);
  e->tag = caller->request_number;
  if (caller->flow_open)
    start_exchange (em, index);
  else
    open_flow (em, index);
}

/* -- packets to callers -- */

static void
on_accepted (struct em *em, size_t index, const struct bl_packet *p)
{
  struct em_caller *caller = &em->callers[index];

  if (caller->state != EM_OPENING || p->ack != caller->seq + 1)
    return;
  caller->flow_open = true;
  caller->seq++;
  caller->ack = p->seq + 1;
  start_exchange (em, index);
}

static void
on_answer (struct em *em, size_t index, const struct bl_packet *p)
{
  struct em_caller *caller = &em->callers[index];
  const struct em_class *c = class_of (em, caller);
  uint64_t latency_ms = (em->now_us - caller->requested_us) / 1000;

  if (caller->state != EM_WAITING || p->ack != caller->seq + 1)
    {
      em->totals.wasted += caller->state != EM_WAITING;
      return;
    }
  caller->seq++;
  if (p->flags & BL_TCP_FIN)
    {
      /* The server refused the request and reported that it has not run.  */
      caller->may_have_run = false;
      retry_request (em, index, REFUSED);
      return;
    }
  if (c->flow_mode == EM_FLOW_PER_REQUEST)
    {
      send_packet (em, index, BL_TCP_ACK | BL_TCP_FIN, 0);
      caller->flow_open = false;
    }
  finish_request (em, index,
                  latency_ms <= c->response_target_ms ? IN_TIME : LATE);
}

/* True if a server of the class's service has a free slot.  */
static bool
has_free_slot (const struct em *em, const struct em_class *c)
{
  const struct em_service *service = &em->settings.services[c->service];

  for (size_t i = 0; i < em->server_count; i++)
    {
      const struct em_server *s = &em->servers[i];
      if (s->alive && s->agent.alive && !s->draining && s->service == c->service
          && s->running < service->slots)
        return true;
    }
  return false;
}

static void
on_reset (struct em *em, size_t index, const struct bl_packet *p)
{
  struct em_caller *caller = &em->callers[index];

  if (caller->state == EM_OPENING && has_free_slot (em, class_of (em, caller)))
    em->totals.refused_with_free_slot++;
  if (caller->flow_open && em_server_holds_flow (em, &p->key))
    em->totals.broken++;
  caller->flow_open = false;
  if (caller->state != EM_PAUSING)
    retry_request (em, index, REFUSED);
}

static void
packet_at_caller (void *ctx, struct event *e)
{
  struct em *em = ctx;
  const struct bl_packet *p = (const struct bl_packet *)e->data;
  const struct em_caller *caller = &em->callers[e->index];

  /* The packet belongs to a flow that the caller has abandoned.  */
  if (p->key.src_port != caller->port)
    {
      em->totals.wasted += p->payload_len > 0;
      return;
    }
  if (p->flags & BL_TCP_RST)
    on_reset (em, e->index, p);
  else if (p->flags & BL_TCP_SYN)
    on_accepted (em, e->index, p);
  else if (p->payload_len > 0)
    on_answer (em, e->index, p);
}

static void
send_after_delay (struct em *em,
                  unsigned from_dc,
                  const struct bl_packet *packet)
{
  size_t index = em_caller_index (&packet->key);
  double ms = em->settings.caller_ms;
  struct event *e;

  if (index >= em->caller_count)
    return;
  if (from_dc != em->callers[index].dc)
    ms += em->settings.far_ms;
  e = em_post (em, 1000 * ms, packet_at_caller, index, sizeof *packet);
  *(struct bl_packet *)e->data = *packet;
}

void
em_send_to_caller (struct em *em,
                   const struct em_server *from,
                   const struct bl_packet *packet)
{
  send_after_delay (em, from->agent.dc, packet);
}

void
em_send_reset_to_caller (struct em *em,
                         const struct bl_flow_key *key,
                         const struct em_process *from)
{
  struct bl_packet packet = { .key = *key, .flags = BL_TCP_RST };

  send_after_delay (em, from->dc, &packet);
}

void
em_start_callers (struct em *em)
{
  size_t index = 0;

  for (size_t i = 0; i < em->settings.class_count; i++)
    em->caller_count
        += (size_t)em->settings.classes[i].callers * em->settings.dc_count;
  em->callers = calloc (em->caller_count + 1, sizeof *em->callers);
  if (em->callers == NULL)
    abort ();
  for (unsigned dc = 0; dc < em->settings.dc_count; dc++)
    for (unsigned c = 0; c < em->settings.class_count; c++)
      for (unsigned i = 0; i < em->settings.classes[c].callers; i++)
        {
          em->callers[index] = (struct em_caller){ .class = c, .dc = dc };
          em->callers[index].port = (uint16_t)(PORT_FIRST + index % 1000);
          start_pause (em, index++);
        }
}
