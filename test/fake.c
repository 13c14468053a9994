/* fake.c -- the simulated network, its instances and their configuration

   Messages in flight are held in a timing wheel with slots of STEP_MS, so that
   a step of the simulation delivers one slot in the order of sending.  */

#include "test/fake_inner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_MS      5
#define TICK_MS      50
#define PORT_DATA    1
#define PORT_CONTROL 2
#define PORT_BULK    3

struct fake_message
{
  struct fake_message *next;
  enum message_kind kind;
  struct bl_addr from;
  size_t to; /* index of the receiving instance */
  size_t sender;
  size_t len;
  uint8_t bytes[];
};

/* -- network -- */

/* Returns true at random, at the rate IN_TEN_THOUSAND.  */
static bool
draw_event (struct fake *f, unsigned in_ten_thousand)
{
  return bl_random_below (&f->random, 10000) < in_ten_thousand;
}

static bool
is_partitioned (const struct fake *f, size_t a, size_t b)
{
  const struct bl_name *x = &f->instances[a].dc;
  const struct bl_name *y = &f->instances[b].dc;

  for (unsigned i = 0; i < f->partition_count; i++)
    if ((bl_name_equal (x, &f->partitions[i].a)
         && bl_name_equal (y, &f->partitions[i].b))
        || (bl_name_equal (x, &f->partitions[i].b)
            && bl_name_equal (y, &f->partitions[i].a)))
      return true;
  return false;
}

static void
enqueue (struct fake_queue *q, struct fake_message *m)
{
  m->next = NULL;
  if (q->first == NULL)
    q->first = m;
  else
    q->last->next = m;
  q->last = m;
}

static struct fake_message *
dequeue (struct fake_queue *q)
{
  struct fake_message *m = q->first;

  if (m != NULL)
    q->first = m->next;
  return m;
}

static void
post_once (struct fake *f,
           enum message_kind kind,
           struct bl_addr from,
           size_t sender,
           size_t to,
           const uint8_t *head,
           size_t head_len,
           const uint8_t *body,
           size_t body_len)
{
  struct fake_message *m = malloc (sizeof *m + head_len + body_len);
  uint64_t due;
  uint32_t spread = f->delay_max_ms - f->delay_min_ms + 1;

  if (m == NULL)
    abort ();
  m->kind = kind;
  m->from = from;
  m->sender = sender;
  m->to = to;
  m->len = head_len + body_len;
  if (head_len > 0)
    memcpy (m->bytes, head, head_len);
  memcpy (m->bytes + head_len, body, body_len);
  due = f->now + f->delay_min_ms + bl_random_below (&f->random, spread);
  enqueue (&f->wheel[(due + STEP_MS - 1) / STEP_MS % FAKE_WHEEL_SLOTS], m);
}

void
fake_post (struct fake *f,
           enum message_kind kind,
           struct bl_addr from,
           size_t sender,
           size_t to,
           const uint8_t *head,
           size_t head_len,
           const uint8_t *body,
           size_t body_len)
{
  bool reliable = kind == TO_BULK || kind == TO_REPLY;

  if (!reliable && draw_event (f, f->loss))
    return;
  if (!reliable && draw_event (f, f->duplication))
    post_once (f, kind, from, sender, to, head, head_len, body, body_len);
  post_once (f, kind, from, sender, to, head, head_len, body, body_len);
}

static size_t
instance_at (const struct fake *f, uint32_t ip)
{
  for (size_t i = 0; i < f->instance_count; i++)
    if (f->instances[i].ip == ip)
      return i;
  return FAKE_INSTANCES_MAX;
}

static struct bl_addr
addr_of (const struct fake_instance *e, uint16_t port)
{
  return (struct bl_addr){ e->ip, port };
}

static void
op_send (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  struct fake_instance *e = ctx;
  size_t i = instance_at (e->fake, to.ip);

  e->sent_bytes += len;
  e->sent_messages++;
  if (e->muted_until_ms > e->fake->now && i < FAKE_INSTANCES_MAX
      && e->fake->instances[i].kind == FAKE_NODE)
    return;
  if (i < FAKE_INSTANCES_MAX && !is_partitioned (e->fake, e->index, i))
    fake_post (e->fake, TO_CONTROL, addr_of (e, PORT_CONTROL), e->index, i,
               NULL, 0, buf, len);
}

static void
op_pull (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  struct fake_instance *e = ctx;
  size_t i = instance_at (e->fake, to.ip);

  if (i < FAKE_INSTANCES_MAX && !is_partitioned (e->fake, e->index, i))
    fake_post (e->fake, TO_BULK, addr_of (e, PORT_BULK), e->index, i, NULL, 0,
               buf, len);
}

static void
op_forward (void *ctx,
            struct bl_addr to,
            const struct bl_forward *forward,
            const uint8_t *packet,
            size_t len)
{
  struct fake_instance *e = ctx;
  uint8_t head[BL_FORWARD_MAX];
  size_t head_len = bl_forward_encode (forward, head);
  size_t i = instance_at (e->fake, to.ip);

  if (i < FAKE_INSTANCES_MAX && !is_partitioned (e->fake, e->index, i))
    fake_post (e->fake, TO_DATA, addr_of (e, PORT_DATA), e->index, i, head,
               head_len, packet, len);
}

void
fake_send_to_caller (void *ctx, const uint8_t *packet, size_t len)
{
  struct fake_instance *e = ctx;
  fake_post (e->fake, TO_CALLER, addr_of (e, PORT_DATA), e->index, 0, NULL, 0,
             packet, len);
}

/* -- instances -- */

static const struct bl_node_ops node_ops = { .send = op_send, .pull = op_pull };

static const struct bl_agent_ops agent_ops = {
  .send = op_send,
  .pull = op_pull,
  .forward = op_forward,
  .deliver = fake_stack_deliver,
  .send_to_caller = fake_send_to_caller,
  .remove_connection = fake_stack_forget,
};

static void
fill_seeds (const struct fake *f, size_t *count, struct bl_addr *seeds)
{
  *count = 0;
  for (size_t i = 0; i < f->instance_count && *count < 4; i++)
    if (f->instances[i].kind == FAKE_NODE)
      seeds[(*count)++] = addr_of (&f->instances[i], PORT_CONTROL);
}

static void
start_node (struct fake *f, struct fake_instance *e)
{
  struct bl_node_settings s = {
    .id = e->id,
    .dc = e->dc,
    .ip = e->ip,
    .data_port = PORT_DATA,
    .control_port = PORT_CONTROL,
    .bulk_port = PORT_BULK,
    .incarnation = f->now,
    .random_seed = bl_random_next (&f->random),
  };

  fill_seeds (f, &s.seed_count, s.seeds);
  e->node = bl_node_new (&s, &node_ops, e);
}

static void
start_agent (struct fake *f,
             struct fake_instance *e,
             const struct bl_name *service)
{
  struct bl_agent_settings s = {
    .id = e->id,
    .dc = e->dc,
    .service = *service,
    .ip = e->ip,
    .data_port = PORT_DATA,
    .control_port = PORT_CONTROL,
    .slots = 2,
    .max_flows = FAKE_CALLERS_MAX,
    .incarnation = f->now,
    .random_seed = bl_random_next (&f->random),
  };

  fill_seeds (f, &s.seed_count, s.seeds);
  e->agent = bl_agent_new (&s, &agent_ops, e);
  bl_agent_set_ready (e->agent, true);
}

static struct fake_instance *
add_instance (struct fake *f,
              enum fake_kind kind,
              const char *id,
              const char *dc)
{
  struct fake_instance *e = &f->instances[f->instance_count];

  if (f->instance_count == FAKE_INSTANCES_MAX)
    abort ();
  *e = (struct fake_instance){
    .fake = f,
    .kind = kind,
    .index = f->instance_count,
    .alive = true,
    .ip = 0x7f010000u + (uint32_t)f->instance_count + 1,
  };
  bl_name_set (&e->id, bl_str_of (id));
  bl_name_set (&e->dc, bl_str_of (dc));
  f->instance_count++;
  return e;
}

struct fake_instance *
fake_add_node (struct fake *f, const char *id, const char *dc)
{
  struct fake_instance *e = add_instance (f, FAKE_NODE, id, dc);
  start_node (f, e);
  return e;
}

struct fake_instance *
fake_add_agent (struct fake *f,
                const char *id,
                const char *dc,
                const char *service)
{
  struct fake_instance *e = add_instance (f, FAKE_AGENT, id, dc);
  struct bl_name name;

  bl_name_set (&name, bl_str_of (service));
  e->conns = calloc (FAKE_CALLERS_MAX, sizeof *e->conns);
  start_agent (f, e, &name);
  return e;
}

struct fake_instance *
fake_instance (struct fake *f, const char *id)
{
  for (size_t i = 0; i < f->instance_count; i++)
    if (strcmp (f->instances[i].id.s, id) == 0)
      return &f->instances[i];
  fprintf (stderr, "no instance %s\n", id);
  abort ();
}

void
fake_kill (struct fake *f, const char *id)
{
  struct fake_instance *e = fake_instance (f, id);

  e->alive = false;
  for (size_t i = 0; e->conns != NULL && i < FAKE_CALLERS_MAX; i++)
    e->conns[i].used = false;
}

void
fake_restart_as (struct fake *f, const char *id, const char *service)
{
  struct fake_instance *e = fake_instance (f, id);
  struct bl_name name;

  bl_name_set (&name, bl_str_of (service));
  fake_kill (f, id);
  e->alive = true;
  e->first_packets = 0;
  bl_agent_free (e->agent);
  start_agent (f, e, &name);
}

void
fake_restart (struct fake *f, const char *id)
{
  struct fake_instance *e = fake_instance (f, id);

  if (e->kind == FAKE_AGENT)
    {
      struct bl_name service = bl_agent_service (e->agent)->name;
      fake_restart_as (f, id, service.s);
      return;
    }
  fake_kill (f, id);
  e->alive = true;
  bl_node_free (e->node);
  start_node (f, e);
}

void
fake_freeze (struct fake *f, const char *id, uint64_t ms)
{
  fake_instance (f, id)->frozen_until_ms = f->now + ms;
}

void
fake_mute (struct fake *f, const char *id, uint64_t ms)
{
  fake_instance (f, id)->muted_until_ms = f->now + ms;
}

void
fake_partition (struct fake *f, const char *a, const char *b)
{
  bl_name_set (&f->partitions[f->partition_count].a, bl_str_of (a));
  bl_name_set (&f->partitions[f->partition_count].b, bl_str_of (b));
  f->partition_count++;
}

void
fake_heal (struct fake *f)
{
  f->partition_count = 0;
}

/* -- configuration -- */

static struct bl_service *
copy_service (const struct bl_service *s)
{
  struct bl_service *copy = malloc (sizeof *copy);

  *copy = *s;
  copy->rules = NULL;
  if (s->rule_count > 0)
    {
      copy->rules = malloc (s->rule_count * sizeof *s->rules);
      memcpy (copy->rules, s->rules, s->rule_count * sizeof *s->rules);
    }
  return copy;
}

/* Reads changed services from the platform, as a relay does when its watch
   reports a new root.  */
static void
relay_read (struct fake *f, struct fake_instance *e)
{
  uint64_t have = bl_config_version (bl_node_config (e->node));
  struct bl_service *list[64];
  size_t n = 0;

  if (have >= f->version)
    return;
  for (size_t i = 0; i < f->services.count; i++)
    if (f->services.items[i]->changed > have)
      list[n++] = copy_service (f->services.items[i]);
  if (bl_node_apply_config (e->node, have, f->version, list, n) != BL_OK)
    abort ();
}

void
fake_apply_edits (struct fake *f, const char *json)
{
  struct bl_findings findings = { .count = 0 };
  struct bl_edit edits[BL_EDITS_MAX];
  size_t count;

  bl_edits_from_json (edits, &count, bl_str_of (json), &findings);
  if (findings.count == 0)
    bl_edits_apply (&f->services, edits, count, ++f->version, &f->next_id,
                    &findings);
  if (findings.count > 0)
    {
      fprintf (stderr, "%s: %s\n", findings.items[0].place,
               findings.items[0].text);
      abort ();
    }
  bl_edits_clear (edits, count);
}

void
fake_create_service (struct fake *f, const char *name)
{
  char json[256];

  snprintf (json, sizeof json,
            "[{\"create\":{\"name\":\"%s\",\"address\":\"10.80.0.%zu\","
            "\"listeners\":[{\"port\":%d,\"class\":\"usual\"}]}}]",
            name, f->services.count + 1, FAKE_PORT);
  fake_apply_edits (f, json);
}

/* -- simulation -- */

static bool
is_running (const struct fake *f, const struct fake_instance *e)
{
  return e->alive && e->frozen_until_ms <= f->now;
}

static void
deliver_data (struct fake *f,
              struct fake_instance *e,
              const struct fake_message *m)
{
  struct bl_forward forward;
  struct bl_addr to;
  size_t i;

  if (m->kind == TO_DATA)
    {
      if (e->kind == FAKE_AGENT)
        bl_agent_packet (e->agent, f->now, m->bytes, m->len);
      return;
    }
  if (bl_node_route (e->node, m->bytes, m->len, &to, &forward) != BL_OK)
    return;
  i = instance_at (f, to.ip);
  if (i < FAKE_INSTANCES_MAX && !is_partitioned (f, e->index, i))
    op_forward (e, to, &forward, m->bytes, m->len);
}

static void
deliver_control (struct fake *f,
                 struct fake_instance *e,
                 const struct fake_message *m)
{
  if (e->kind == FAKE_NODE)
    bl_node_message (e->node, f->now, m->from, m->bytes, m->len);
  else
    bl_agent_message (e->agent, f->now, m->from, m->bytes, m->len);
}

static void
deliver_request (struct fake *f,
                 struct fake_instance *e,
                 const struct fake_message *m)
{
  size_t len = 0;
  const uint8_t *reply
      = bl_node_request (e->node, f->now, m->bytes, m->len, &len);

  if (reply != NULL)
    fake_post (f, TO_REPLY, addr_of (e, PORT_BULK), e->index, m->sender, NULL,
               0, reply, len);
}

static void
deliver_message (struct fake *f, const struct fake_message *m)
{
  struct fake_instance *e = &f->instances[m->to];

  if (m->kind == TO_CALLER)
    {
      fake_caller_receive (f, m->sender, m->bytes, m->len);
      return;
    }
  if (!e->alive)
    {
      if (m->kind == TO_CONTROL && f->instances[m->sender].kind == FAKE_AGENT
          && f->instances[m->sender].alive)
        bl_agent_port_unreachable (f->instances[m->sender].agent, f->now,
                                   addr_of (e, PORT_CONTROL));
      return;
    }
  switch (m->kind)
    {
    case TO_DATA:
    case TO_NODE:
      deliver_data (f, e, m);
      break;
    case TO_BULK:
      deliver_request (f, e, m);
      break;
    default:
      deliver_control (f, e, m);
      break;
    }
}

/* Delivers the messages of this step.  Messages to a frozen instance wait, as
   in its socket buffers, until the freeze ends.  */
static void
deliver_due (struct fake *f)
{
  struct fake_queue *due = &f->wheel[f->now / STEP_MS % FAKE_WHEEL_SLOTS];
  struct fake_message *m;

  for (size_t i = 0; i < f->instance_count; i++)
    while (f->instances[i].frozen_until_ms <= f->now
           && (m = dequeue (&f->instances[i].frozen_input)) != NULL)
      {
        deliver_message (f, m);
        free (m);
      }
  while ((m = dequeue (due)) != NULL)
    {
      if (m->kind != TO_CALLER && f->instances[m->to].frozen_until_ms > f->now)
        {
          if (f->instances[m->to].drops_while_frozen)
            free (m);
          else
            enqueue (&f->instances[m->to].frozen_input, m);
          continue;
        }
      deliver_message (f, m);
      free (m);
    }
}

/* Reports to each agent the load of its flows, as its proxy would measure
   it.  */
static void
report_loads (struct fake *f)
{
  uint64_t work[FAKE_INSTANCES_MAX] = { 0 };

  for (size_t i = 0; i < f->caller_count; i++)
    if (f->callers[i].state == FAKE_OPEN && f->callers[i].has_server)
      work[f->callers[i].server] += f->callers[i].work;
  for (size_t i = 0; i < f->instance_count; i++)
    if (f->instances[i].kind == FAKE_AGENT && is_running (f, &f->instances[i]))
      bl_agent_set_load (f->instances[i].agent, (uint32_t)work[i]);
}

static void
tick_instances (struct fake *f)
{
  report_loads (f);
  for (size_t i = 0; i < f->instance_count; i++)
    {
      struct fake_instance *e = &f->instances[i];
      if (!is_running (f, e))
        continue;
      if (e->kind == FAKE_AGENT)
        {
          bl_agent_tick (e->agent, f->now);
          continue;
        }
      bl_node_tick (e->node, f->now);
      if (bl_node_is_relay (e->node) && !f->platform_down)
        relay_read (f, e);
    }
}

void
fake_run (struct fake *f, uint64_t ms)
{
  uint64_t until = f->now + ms;

  while (f->now < until)
    {
      f->now += STEP_MS;
      deliver_due (f);
      for (size_t i = 0; i < f->caller_count; i++)
        fake_caller_tick (f, &f->callers[i]);
      if (f->now < f->next_tick_ms)
        continue;
      f->next_tick_ms = f->now + TICK_MS;
      tick_instances (f);
    }
}

void
fake_run_callers (struct fake *f, uint64_t ms)
{
  uint64_t until = f->now + ms;

  while (f->now < until
         && fake_count_callers (f, FAKE_CONNECTING)
                    + fake_count_callers (f, FAKE_OPEN)
                > 0)
    fake_run (f, 100);
}

/* -- results -- */

size_t
fake_count_callers (const struct fake *f, enum fake_caller_state state)
{
  size_t n = 0;

  for (size_t i = 0; i < f->caller_count; i++)
    n += f->callers[i].state == state;
  return n;
}

size_t
fake_flows_at_two_servers (const struct fake *f)
{
  size_t n = 0;

  for (size_t i = 0; i < f->caller_count; i++)
    n += f->callers[i].two_servers;
  return n;
}

size_t
fake_flows_at (const struct fake *f, const char *id)
{
  const struct fake_instance *e = fake_instance ((struct fake *)f, id);
  size_t n = 0;

  for (size_t i = 0; i < FAKE_CALLERS_MAX; i++)
    n += e->conns[i].used;
  return n;
}

struct ready_count
{
  const struct bl_node *node;
  size_t ready;
};

static void
count_ready (void *ctx, const struct bl_record *r)
{
  struct ready_count *ready_count = ctx;

  if (r->state == BL_STATE_READY && bl_node_is_monitored (ready_count->node, r))
    ready_count->ready++;
}

bool
fake_all_list_backends (struct fake *f, size_t ready)
{
  for (size_t i = 0; i < f->instance_count; i++)
    {
      struct ready_count ready_count = { .node = f->instances[i].node };
      if (f->instances[i].kind != FAKE_NODE || !f->instances[i].alive)
        continue;
      bl_node_each_record (f->instances[i].node, BL_KIND_BACKEND, count_ready,
                           &ready_count);
      if (ready_count.ready != ready)
        return false;
    }
  return true;
}

static void
count_live (void *ctx, const struct bl_record *r)
{
  size_t *n = ctx;
  *n += r->state < BL_STATE_SUSPECT;
}

bool
fake_all_list_balancers (struct fake *f, size_t members)
{
  for (size_t i = 0; i < f->instance_count; i++)
    {
      size_t n = 0;
      if (f->instances[i].kind != FAKE_NODE || !f->instances[i].alive)
        continue;
      bl_node_each_record (f->instances[i].node, BL_KIND_BALANCER, count_live,
                           &n);
      if (n != members)
        return false;
    }
  return true;
}

static bool
is_in_force (const struct fake_instance *e,
             const struct bl_name *service,
             uint64_t version)
{
  const struct bl_service *s;

  if (!e->alive)
    return true;
  if (e->kind == FAKE_NODE)
    return bl_config_version (bl_node_config (e->node)) >= version;
  s = bl_agent_service (e->agent);
  return s != NULL
         && (!bl_name_equal (&s->name, service) || s->changed >= version);
}

uint64_t
fake_run_until_in_force (struct fake *f,
                         const char *name,
                         uint64_t version,
                         uint64_t limit)
{
  uint64_t start = f->now;
  struct bl_name service;
  bool done = false;

  bl_name_set (&service, bl_str_of (name));
  while (!done && f->now - start < limit)
    {
      fake_run (f, STEP_MS);
      done = true;
      for (size_t i = 0; i < f->instance_count && done; i++)
        done = is_in_force (&f->instances[i], &service, version);
    }
  return done ? f->now - start : limit;
}

uint64_t
fake_node_total (const struct fake *f, enum bl_node_counter counter)
{
  uint64_t n = 0;

  for (size_t i = 0; i < f->instance_count; i++)
    if (f->instances[i].kind == FAKE_NODE)
      n += bl_node_counter (f->instances[i].node, counter);
  return n;
}

uint64_t
fake_agent_total (const struct fake *f, enum bl_agent_counter counter)
{
  uint64_t n = 0;

  for (size_t i = 0; i < f->instance_count; i++)
    if (f->instances[i].kind == FAKE_AGENT)
      n += bl_agent_counter (f->instances[i].agent, counter);
  return n;
}

struct fake *
fake_new (uint64_t seed)
{
  struct fake *f = calloc (1, sizeof *f);

  if (f == NULL)
    abort ();
  f->now = 1000000;
  f->random.state = seed;
  f->delay_min_ms = 1;
  f->delay_max_ms = 6;
  f->next_id = 1;
  f->data_interval_ms = 400;
  f->callers = calloc (FAKE_CALLERS_MAX, sizeof *f->callers);
  return f;
}

static void
free_queue (struct fake_queue *q)
{
  struct fake_message *m;

  while ((m = dequeue (q)) != NULL)
    free (m);
}

void
fake_free (struct fake *f)
{
  for (size_t i = 0; i < f->instance_count; i++)
    {
      bl_node_free (f->instances[i].node);
      bl_agent_free (f->instances[i].agent);
      free (f->instances[i].conns);
      free_queue (&f->instances[i].frozen_input);
    }
  for (size_t i = 0; i < FAKE_WHEEL_SLOTS; i++)
    free_queue (&f->wheel[i]);
  bl_service_list_clear (&f->services);
  free (f->callers);
  free (f);
}
