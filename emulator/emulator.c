/* emulator.c -- network, balancers, agents and routers of an emulator

   All that happens in a run is an event in one queue, in order of simulated
   time.  Messages arrive after the delay of their path, and packets may be
   lost.  The bytes of a packet are the struct bl_packet itself, because the
   core forwards the bytes without reading them.

   Callers behave as the platform specifies: a first packet is retransmitted
   after 200 and 600 ms and abandoned after 1.4 s; a request is retransmitted
   while there is no answer; and failed attempts are repeated from new ports
   while the deadline allows.  Backend servers accept flows, return packets of
   flows that they do not hold, run a fixed number of requests at once, queue a
   few more and refuse the rest.  */

#include "emulator/emulator_inner.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_US           20000
#define RUN_START_TIME_MS 1800000000000u /* time of day of time 0 */
#define ROUTER_PROBE_US   500000         /* between probes of balancers */
#define PROBES_UNTIL_REMOVED                                                   \
  2 /* consecutive failures; then out of rotation                              \
     */
#define HEARTBEAT_INTERVAL_US 1200000
#define STORE_DELAY_US        30000 /* from a start until the first read */
#define CHECK_US              200   /* until the result of a check */
#define JITTER                0.3   /* of a delay, at most */
#define IDLE_MS               15000 /* idle time-out of flows */
#define SEED_COUNT            3     /* balancers that a process starts with */
#define ROUTES_IP             0xc6120001u
#define BALANCER_NET          0x0a000000u
#define AGENT_NET             0x0a010000u
#define CALLER_NET            0x64400000u
#define DATA_PORT             1
#define CONTROL_PORT          2
#define FIRST_CLASS_PORT      8000 /* of the first class, others follow */

uint64_t
em_core_now_ms (const struct em *em)
{
  /* The core takes a time of 0 for never.  */
  return em->now_us / 1000 + 1;
}

uint64_t
em_time_of_day (const struct em *em)
{
  return RUN_START_TIME_MS + em->now_us / 1000 + (uint64_t)em->clock_offset_ms;
}

double
em_random_exponential (struct em *em, double mean)
{
  return -mean * log (1 - bl_random_unit (&em->random));
}

struct event *
em_post (struct em *em,
         double after_us,
         void (*callback) (void *ctx, struct event *event),
         size_t index,
         size_t len)
{
  struct event *e
      = events_post (&em->events, em->now_us + (uint64_t)after_us, len);

  e->callback = callback;
  e->ctx = em;
  e->index = index;
  return e;
}

/* -- network -- */

enum em_port
{
  TO_DATA,
  TO_CONTROL,
};

struct datagram
{
  struct bl_addr from;
  enum em_port port;
  struct bl_link_msg link;
  bool has_packet;
  struct bl_packet packet;
  size_t len;
  uint8_t bytes[];
};

/* The delay of a message between two data centres, with random jitter.
   DATA: the message carries a packet of a caller, which is counted.  */
static double
delay_us (struct em *em, unsigned from_dc, unsigned to_dc, bool data)
{
  double ms = from_dc == to_dc ? em->settings.near_ms : em->settings.far_ms;

  if (from_dc == to_dc)
    em->totals.near_packets += data;
  else
    em->totals.far_packets += data;
  return 1000 * ms * (1 + JITTER * bl_random_unit (&em->random));
}

/* Decides at random whether a packet is lost.  */
static bool
is_lost (struct em *em)
{
  return bl_random_below (&em->random, 10000) < em->settings.loss;
}

static bool
is_up (const struct em *em, const struct em_process *p)
{
  return p->alive && em->now_us >= p->disconnected_until_us;
}

static void
deliver_to_balancer (struct em *em,
                     struct em_balancer *b,
                     const struct datagram *g)
{
  if (g->port == TO_DATA)
    bl_dispatch_link (b->core, em_core_now_ms (em), g->from, &g->link,
                      g->has_packet ? &g->packet : NULL,
                      (const uint8_t *)&g->packet, sizeof g->packet);
  else
    bl_dispatch_message (b->core, em_core_now_ms (em), g->from, g->bytes,
                         g->len);
}

static void
deliver_to_agent (struct em *em, struct em_server *s, const struct datagram *g)
{
  if (g->port == TO_DATA)
    bl_passthrough_link (s->core, em_core_now_ms (em), g->from, &g->link,
                         g->has_packet ? &g->packet : NULL,
                         (const uint8_t *)&g->packet, sizeof g->packet);
  else
    bl_passthrough_message (s->core, em_core_now_ms (em), g->from, g->bytes,
                            g->len);
}

static void
datagram_at_balancer (void *ctx, struct event *e)
{
  struct em *em = ctx;
  struct em_balancer *b = &em->balancers[e->index];

  if (is_up (em, &b->process))
    deliver_to_balancer (em, b, (const struct datagram *)e->data);
}

static void
datagram_at_agent (void *ctx, struct event *e)
{
  struct em *em = ctx;
  struct em_server *s = &em->servers[e->index];

  if (is_up (em, &s->agent))
    deliver_to_agent (em, s, (const struct datagram *)e->data);
}

/* Schedules the arrival of a datagram at the instance TO and returns it for the
   contents to be filled in.  Returns NULL if the datagram is lost.  */
static struct datagram *
send_to (struct em *em,
         const struct em_process *from,
         struct bl_addr source,
         struct bl_addr to,
         size_t len,
         bool data)
{
  size_t index = to.ip & 0xffff;
  bool is_agent = (to.ip & ~0xffffu) == AGENT_NET;
  unsigned dc;
  struct event *e;
  struct datagram *g;

  if (em->now_us < from->disconnected_until_us || is_lost (em)
      || index >= (is_agent ? em->server_count : em->balancer_count))
    return NULL;
  dc = is_agent ? em->servers[index].agent.dc : em->balancers[index].process.dc;
  e = em_post (em, delay_us (em, from->dc, dc, data),
               is_agent ? datagram_at_agent : datagram_at_balancer, index,
               sizeof *g + len);
  g = (struct datagram *)e->data;
  g->from = source;
  g->port = to.port == DATA_PORT ? TO_DATA : TO_CONTROL;
  g->len = len;
  return g;
}

static void
send_link (struct em *em,
           const struct em_process *from,
           uint32_t ip,
           struct bl_addr to,
           const struct bl_link_msg *link,
           const uint8_t *packet,
           size_t len)
{
  struct bl_addr source = { ip, DATA_PORT };
  struct datagram *g = send_to (em, from, source, to, 0, len > 0);

  if (g == NULL)
    return;
  g->link = *link;
  g->has_packet = len == sizeof g->packet;
  if (g->has_packet)
    memcpy (&g->packet, packet, len);
}

static void
send_control (struct em *em,
              const struct em_process *from,
              uint32_t ip,
              struct bl_addr to,
              const uint8_t *buf,
              size_t len)
{
  struct bl_addr source = { ip, CONTROL_PORT };
  struct datagram *g = send_to (em, from, source, to, len, false);

  if (g != NULL)
    memcpy (g->bytes, buf, len);
}

/* -- balancers -- */

static void
balancer_send_to_agent (void *ctx,
                        struct bl_addr to,
                        const struct bl_link_msg *link,
                        const uint8_t *packet,
                        size_t len)
{
  struct em_balancer *b = ctx;
  send_link (b->em, &b->process, b->self.ip, to, link, packet, len);
}

static void
balancer_reset (void *ctx, const struct bl_flow_key *key, uint32_t seq)
{
  struct em_balancer *b = ctx;

  (void)seq;
  if (b->em->now_us >= b->process.disconnected_until_us)
    em_send_reset_to_caller (b->em, key, &b->process);
}

static void
balancer_send (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  struct em_balancer *b = ctx;
  send_control (b->em, &b->process, b->self.ip, to, buf, len);
}

/* Applies the routes that a pull from a peer returned, after three one-way
   delays.  */
static void
apply_pulled_routes (void *ctx, struct event *e)
{
  struct em *em = ctx;
  struct em_balancer *b = &em->balancers[e->index];

  if (is_up (em, &b->process))
    bl_dispatch_configure (b->core, em_core_now_ms (em), em_route_table (em));
}

static void
balancer_pull (void *ctx, const struct bl_instance *peer)
{
  struct em_balancer *b = ctx;

  (void)peer;
  em_post (b->em, 3000 * b->em->settings.far_ms, apply_pulled_routes, b->index,
           0);
}

static void
balancer_log_decision (void *ctx, const struct bl_decision *decision)
{
  struct em_balancer *b = ctx;
  const struct bl_flow_key *k = decision->flow;

  if (b->em->trace)
    fprintf (stderr, "%8.3f %s %s why=%s flow=%x:%u target=%s age=%lu\n",
             (double)b->em->now_us / 1e6, b->self.id.s, decision->event_name,
             decision->reason, k != NULL ? k->src_ip : 0,
             k != NULL ? k->src_port : 0,
             decision->instance != NULL ? decision->instance->id.s : "-",
             decision->age_ms);
}

static const struct bl_dispatch_ops dispatch_ops = {
  .send_to_agent = balancer_send_to_agent,
  .reset = balancer_reset,
  .send = balancer_send,
  .pull = balancer_pull,
  .log_decision = balancer_log_decision,
};

/* Passes the current routes and the records of all instances in the store to a
   balancer, every 10 * STORE_DELAY_US.  A balancer gets none while the store is
   down or while the balancer is disconnected from the store.  */
static void
read_store (void *ctx, struct event *e)
{
  struct em *em = ctx;
  struct em_balancer *b = &em->balancers[e->index];

  if (!b->process.alive || e->tag != b->process.generation)
    return;
  if (!em->store_up)
    {
      em_post (em, 10 * STORE_DELAY_US, read_store, e->index, 0)->tag = e->tag;
      return;
    }
  if (em->now_us >= b->process.disconnected_until_us
      && em->now_us >= b->store_disconnected_until_us)
    {
      bl_dispatch_configure (b->core, em_core_now_ms (em), em_route_table (em));
      for (size_t i = 0; i < em->balancer_count; i++)
        if (em->balancers[i].self.incarnation > 0)
          bl_dispatch_apply_record (b->core, em_core_now_ms (em),
                                    &em->balancers[i].self);
      for (size_t i = 0; i < em->server_count; i++)
        if (em->servers[i].published.seq > 0)
          bl_dispatch_apply_record (b->core, em_core_now_ms (em),
                                    &em->servers[i].published);
      bl_dispatch_list_complete (b->core, em_core_now_ms (em));
    }
  em_post (em, 10 * STORE_DELAY_US, read_store, e->index, 0)->tag = e->tag;
}

static void
tick_balancer (void *ctx, struct event *e)
{
  struct em *em = ctx;
  struct em_balancer *b = &em->balancers[e->index];

  if (!b->process.alive || e->tag != b->process.generation)
    return;
  bl_dispatch_tick (b->core, em_core_now_ms (em));
  em_post (em, TICK_US, tick_balancer, e->index, 0)->tag = e->tag;
}

static void
start_balancer (struct em *em, size_t index)
{
  struct em_balancer *b = &em->balancers[index];
  struct bl_dispatch_settings settings
      = { .random_seed = bl_random_next (&em->random),
          .balancing_policy = em->settings.balancing_policy };

  b->process.alive = true;
  b->process.generation++;
  b->self.incarnation = em_time_of_day (em);
  b->self.seq = 1;
  settings.self = b->self;
  settings.seed_count
      = em->balancer_count < SEED_COUNT ? em->balancer_count : SEED_COUNT;
  for (size_t i = 0; i < settings.seed_count; i++)
    settings.seeds[i]
        = (struct bl_addr){ em->balancers[i].self.ip, CONTROL_PORT };
  bl_dispatch_free (b->core);
  b->core = bl_dispatch_new (&settings, &dispatch_ops, b);
  em_post (em, STORE_DELAY_US, read_store, index, 0)->tag
      = b->process.generation;
  em_post (em, 1, tick_balancer, index, 0)->tag = b->process.generation;
}

void
em_restart_balancer (void *ctx, struct event *e)
{
  start_balancer (ctx, e->index);
}

size_t
em_add_balancer (struct em *em, unsigned dc)
{
  size_t index = em->balancer_count++;
  struct em_balancer *b = &em->balancers[index];
  char name[32];

  b->em = em;
  b->index = index;
  b->process.dc = dc;
  b->self = (struct bl_record){
    .kind = BL_KIND_BALANCER,
    .state = BL_STATE_STARTING,
    .ip = BALANCER_NET | (uint32_t)index,
    .data_port = DATA_PORT,
    .control_port = CONTROL_PORT,
    .admin_port = 3,
  };
  snprintf (name, sizeof name, "balancer-%zu", index);
  bl_name_set (&b->self.id, bl_str_of (name));
  b->self.dc = em->dc_names[dc];
  start_balancer (em, index);
  return index;
}

/* -- routers -- */

/* Probes each balancer's readiness, as the routers do.  */
static void
probe_balancers (void *ctx, struct event *e)
{
  struct em *em = ctx;

  (void)e;
  for (size_t i = 0; i < em->balancer_count; i++)
    {
      struct em_balancer *b = &em->balancers[i];
      bool ready = is_up (em, &b->process) && bl_dispatch_ready (b->core);
      b->failed_probes = ready ? 0 : b->failed_probes + 1;
    }
  em_post (em, ROUTER_PROBE_US, probe_balancers, 0, 0);
}

/* Chooses the balancer that a packet is sent to, by rendezvous hashing.
   Balancers in rotation come before others, and balancers in the caller's data
   centre before those in others.  */
static struct em_balancer *
choose_balancer (struct em *em, const struct bl_flow_key *key, unsigned dc)
{
  struct em_balancer *best = NULL;
  uint64_t best_score = 0;

  for (size_t i = 0; i < em->balancer_count; i++)
    {
      struct em_balancer *b = &em->balancers[i];
      uint64_t score = bl_name_hash (&b->self.id, bl_flow_hash (key)) >> 2;
      if (b->process.dc == dc)
        score |= 1ull << 62;
      if (b->failed_probes < PROBES_UNTIL_REMOVED)
        score |= 1ull << 63;
      if (best == NULL || score > best_score)
        {
          best = b;
          best_score = score;
        }
    }
  return best;
}

static void
packet_at_balancer (void *ctx, struct event *e)
{
  struct em *em = ctx;
  struct em_balancer *b = &em->balancers[e->index];

  if (is_up (em, &b->process))
    bl_dispatch_packet (b->core, em_core_now_ms (em),
                        (const struct bl_packet *)e->data, e->data, e->len);
}

void
em_send_from_caller (struct em *em, unsigned dc, const struct bl_packet *packet)
{
  struct em_balancer *b = choose_balancer (em, &packet->key, dc);
  struct event *e;

  if (b == NULL || is_lost (em))
    return;
  e = em_post (em, 1000 * em->settings.caller_ms, packet_at_balancer, b->index,
               sizeof *packet);
  memcpy (e->data, packet, sizeof *packet);
}

/* -- agents -- */

static void
agent_deliver (void *ctx, const uint8_t *packet, size_t len, uint32_t token)
{
  struct em_server *s = ctx;

  (void)len;
  em_server_receive (s, (const struct bl_packet *)packet, token);
}

static void
agent_send_to_caller (void *ctx, uint32_t ip, const uint8_t *packet, size_t len)
{
  struct em_server *s = ctx;

  (void)ip;
  (void)len;
  if (s->em->now_us >= s->agent.disconnected_until_us && !is_lost (s->em))
    em_send_to_caller (s->em, s, (const struct bl_packet *)packet);
}

static void
agent_send_to_balancer (void *ctx,
                        struct bl_addr to,
                        const struct bl_link_msg *link,
                        const uint8_t *packet,
                        size_t len)
{
  struct em_server *s = ctx;
  send_link (s->em, &s->agent, s->ip, to, link, packet, len);
}

static void
agent_send (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  struct em_server *s = ctx;
  send_control (s->em, &s->agent, s->ip, to, buf, len);
}

static void
report_check_result (void *ctx, struct event *e)
{
  struct em *em = ctx;
  struct em_server *s = &em->servers[e->index];

  if (s->agent.alive)
    bl_passthrough_check_result (s->core, em_core_now_ms (em), s->alive);
}

static void
agent_check (void *ctx)
{
  struct em_server *s = ctx;
  em_post (s->em, CHECK_US, report_check_result, s->index, 0);
}

bool
em_agent_reaches_store (const struct em_server *s)
{
  return s->em->store_up && s->em->now_us >= s->agent.disconnected_until_us;
}

static void
agent_publish (void *ctx, const struct bl_record *record)
{
  struct em_server *s = ctx;

  if (em_agent_reaches_store (s))
    s->published = *record;
}

static void
agent_log_decision (void *ctx,
                    const char *event_name,
                    const char *reason,
                    const struct bl_flow_key *flow,
                    uint64_t age_ms)
{
  struct em_server *s = ctx;

  if (s->em->trace)
    fprintf (stderr, "%8.3f server-%zu %s why=%s flow=%x:%u age=%lu\n",
             (double)s->em->now_us / 1e6, s->index, event_name, reason,
             flow != NULL ? flow->src_ip : 0, flow != NULL ? flow->src_port : 0,
             age_ms);
}

static const struct bl_passthrough_ops pass_ops = {
  .deliver = agent_deliver,
  .send_to_caller = agent_send_to_caller,
  .send_to_balancer = agent_send_to_balancer,
  .send = agent_send,
  .check = agent_check,
  .publish = agent_publish,
  .log_decision = agent_log_decision,
};

static void
tick_agent (void *ctx, struct event *e)
{
  struct em *em = ctx;
  struct em_server *s = &em->servers[e->index];

  if (!s->agent.alive || e->tag != s->agent.generation)
    return;
  bl_passthrough_tick (s->core, em_core_now_ms (em));
  em_post (em, TICK_US, tick_agent, e->index, 0)->tag = e->tag;
}

static void
start_agent (struct em *em, size_t index)
{
  struct em_server *s = &em->servers[index];
  struct bl_passthrough_settings settings = {
    .self = {
      .kind = BL_KIND_BACKEND,
      .dc = em->dc_names[s->agent.dc],
      .service = em->service_names[s->service],
      .ip = s->ip,
      .data_port = DATA_PORT,
      .control_port = CONTROL_PORT,
      .incarnation = em_time_of_day (em),
    },
    .heartbeat_ms = HEARTBEAT_INTERVAL_US / 1000,
  };
  char name[32];

  snprintf (name, sizeof name, "agent-%zu", index);
  bl_name_set (&settings.self.id, bl_str_of (name));
  settings.seed_count
      = em->balancer_count < SEED_COUNT ? em->balancer_count : SEED_COUNT;
  for (size_t i = 0; i < settings.seed_count; i++)
    settings.seeds[i]
        = (struct bl_addr){ em->balancers[i].self.ip, CONTROL_PORT };
  s->agent.alive = true;
  s->agent.generation++;
  bl_passthrough_free (s->core);
  s->core = bl_passthrough_new (&settings, &pass_ops, s);
  if (em_agent_reaches_store (s))
    bl_passthrough_take_over (s->core, em_core_now_ms (em), &s->handover,
                              s->published.incarnation, 0);
  em_post (em, 1, tick_agent, index, 0)->tag = s->agent.generation;
}

void
em_restart_agent (void *ctx, struct event *e)
{
  start_agent (ctx, e->index);
}

void
em_server_send (struct em_server *s,
                const struct bl_packet *packet,
                bool returned,
                uint32_t token)
{
  uint64_t now = em_core_now_ms (s->em);

  if (!s->agent.alive)
    return;
  if (returned)
    bl_passthrough_returned (s->core, now, packet, token,
                             (const uint8_t *)packet, sizeof *packet);
  else
    bl_passthrough_outgoing (s->core, now, packet, (const uint8_t *)packet,
                             sizeof *packet);
}

void
em_send_heartbeat (void *ctx, struct event *e)
{
  struct em *em = ctx;
  struct em_server *s = &em->servers[e->index];
  struct bl_heartbeat heartbeat = {
    .service = em->service_names[s->service],
    .draining = s->draining,
    .slots = em->settings.services[s->service].slots,
    .backend_start = s->start_time_ms,
    .seq = ++s->heartbeats_sent,
  };
  char name[48];

  if (!s->alive || e->tag != s->generation)
    return;
  snprintf (name, sizeof name, "server-%zu", s->index);
  bl_name_set (&heartbeat.id, bl_str_of (name));
  if (s->agent.alive)
    {
      bl_passthrough_heartbeat (s->core, em_core_now_ms (em), &heartbeat);
      if (s->draining && s->drain_reported_us == 0)
        s->drain_reported_us = em->now_us;
    }
  em_post (em, HEARTBEAT_INTERVAL_US, em_send_heartbeat, e->index, 0)->tag
      = e->tag;
}

void
em_start_server (void *ctx, struct event *e)
{
  struct em *em = ctx;
  struct em_server *s = &em->servers[e->index];

  s->alive = true;
  s->generation++;
  s->start_time_ms = em_time_of_day (em);
  s->started_us = em->now_us;
  s->heartbeats_sent = 0;
  s->draining = false;
  s->drain_reported_us = 0;
  /* After its first start, a server sends its first heartbeat at a random time
     within the interval; after a restart, at once.  */
  em_post (em,
           bl_random_unit (&em->random)
               * (s->generation > 1 ? 1 : HEARTBEAT_INTERVAL_US),
           em_send_heartbeat, e->index, 0)
      ->tag
      = s->generation;
}

size_t
em_add_server (struct em *em, unsigned service, unsigned dc)
{
  size_t index = em->server_count++;
  struct em_server *s = &em->servers[index];

  s->em = em;
  s->index = index;
  s->service = service;
  s->agent.dc = dc;
  s->slowness = 1;
  s->ip = AGENT_NET | (uint32_t)index;
  em_start_server (em, &(struct event){ .index = index });
  start_agent (em, index);
  return index;
}

/* -- routes -- */

struct bl_route_table *
em_route_table (struct em *em)
{
  struct bl_route_table *table = bl_route_table_new (em->settings.class_count);

  if (table == NULL)
    return NULL;
  table->version = em->routes_version;
  table->idle_ms = IDLE_MS;
  for (size_t i = 0; i < em->settings.class_count; i++)
    {
      const struct em_class *c = &em->settings.classes[i];
      struct bl_route_entry *r = &table->routes[table->count];
      if (i == em->omitted_class)
        continue;
      table->count++;
      r->ip = ROUTES_IP;
      r->port = (uint16_t)(FIRST_CLASS_PORT + i);
      r->repeatable = c->repeatable;
      r->priority = (uint8_t)i;
      r->target_latency_ms = c->response_target_ms;
      r->deadline_ms = c->deadline_ms;
      bl_route_add_split (r, &em->service_names[c->service], 1);
    }
  bl_route_table_sort (table);
  return table;
}

struct bl_flow_key
em_caller_flow_key (const struct em *em,
                    size_t caller,
                    unsigned class,
                    uint16_t port)
{
  (void)em;
  return (struct bl_flow_key){
    .src_ip = CALLER_NET + (uint32_t)caller,
    .dst_ip = ROUTES_IP,
    .src_port = port,
    .dst_port = (uint16_t)(FIRST_CLASS_PORT + class),
  };
}

size_t
em_caller_index (const struct bl_flow_key *key)
{
  return key->src_ip - CALLER_NET;
}

/* -- the emulator -- */

static void
set_names (struct em *em)
{
  char name[32];

  for (unsigned i = 0; i < em->settings.dc_count; i++)
    {
      snprintf (name, sizeof name, "dc%u", i);
      bl_name_set (&em->dc_names[i], bl_str_of (name));
    }
  for (size_t i = 0; i < em->settings.service_count; i++)
    bl_name_set (&em->service_names[i],
                 bl_str_of (em->settings.services[i].name));
}

struct em *
em_new (const struct em_settings *settings)
{
  struct em *em = calloc (1, sizeof *em);

  if (em == NULL)
    return NULL;
  em->settings = *settings;
  em->random.state = settings->seed;
  em->store_up = true;
  em->routes_version = 1;
  em->omitted_class = EM_CLASSES_MAX;
  em->load_factor = 1;
  em->trace = getenv ("EM_TRACE") != NULL;
  set_names (em);
  for (unsigned dc = 0; dc < settings->dc_count; dc++)
    {
      for (size_t s = 0; s < settings->service_count; s++)
        for (unsigned i = 0; i < settings->services[s].servers[dc]; i++)
          em_add_server (em, (unsigned)s, dc);
      for (unsigned i = 0; i < settings->balancers[dc]; i++)
        em_add_balancer (em, dc);
    }
  em_post (em, 1, probe_balancers, 0, 0);
  em_start_callers (em);
  return em;
}

void
em_free (struct em *em)
{
  if (em == NULL)
    return;
  events_clear (&em->events);
  for (size_t i = 0; i < em->balancer_count; i++)
    bl_dispatch_free (em->balancers[i].core);
  for (size_t i = 0; i < em->server_count; i++)
    {
      bl_handover_clear (&em->servers[i].handover);
      bl_passthrough_free (em->servers[i].core);
      em_server_clear (&em->servers[i]);
    }
  free (em->callers);
  free (em);
}

void
em_run (struct em *em, uint64_t time_ms)
{
  struct event *e;

  while ((e = events_take (&em->events, time_ms * 1000)) != NULL)
    {
      em->now_us = e->at_us;
      e->callback (e->ctx, e);
      free (e);
    }
  em->now_us = time_ms * 1000;
}

uint64_t
em_elapsed_ms (const struct em *em)
{
  return em->now_us / 1000;
}

const struct em_totals *
em_totals (const struct em *em)
{
  return &em->totals;
}

void
em_reset_totals (struct em *em)
{
  memset (&em->totals, 0, sizeof em->totals);
}

size_t
em_balancer_count (const struct em *em)
{
  return em->balancer_count;
}

size_t
em_server_count (const struct em *em)
{
  return em->server_count;
}

struct bl_dispatch *
em_dispatch (struct em *em, size_t balancer)
{
  return em->balancers[balancer].core;
}

struct bl_passthrough *
em_passthrough (struct em *em, size_t server)
{
  return em->servers[server].core;
}

uint64_t
em_server_requests_started (const struct em *em, size_t server)
{
  return em->servers[server].requests_started;
}

unsigned
em_server_service (const struct em *em, size_t server)
{
  return em->servers[server].service;
}

uint64_t
em_server_flows_opened (const struct em *em, size_t server)
{
  return em->servers[server].flows_opened;
}
