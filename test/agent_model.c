/* agent_model.c -- one agent's processes beside a server and a store, on
   passed-in time

   The agent's decisions are those of the project; the server, the store, the
   balancer and the registry that writes the agent's record are small models. */

#include "test/agent_model.h"

#include "core/own_record.h"
#include "core/passthrough.h"
#include "core/store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define QUERY_GAP_MS          50
#define STEP_MS               10
#define WALL_START_MS         1000000 /* of the day, at the start of a draw */
#define HEARTBEAT_MS          1200
#define FLOWS_MAX             512
#define AGENT_AFTER_SERVER_MS 100
#define ACTIONS_MAX           5 /* on the agent in a draw */
#define OPEN_GAP_MS           120
#define IDLE_MAX_MS           12000 /* between two packets of a flow; it may be 15 s */
#define CALL_MS               40 /* the longest that the store takes to answer */
#define TIMEOUT_MS            1500 /* of a call without an answer */
#define LATE_MAX_MS           4000 /* until an unanswered write takes effect */
#define STOP_MIN_MS           100  /* from SIGTERM until the process ends */
#define STOP_MAX_MS           1000

enum store_mode
{
  STORE_UP,
  STORE_DOWN,   /* calls fail at once */
  STORE_SILENT, /* calls get no answer and have no effect */
  STORE_LATE,   /* no answer; writes may take effect later */
  STORE_MODES,
};

struct object
{
  uint64_t revision; /* 0: there is none */
  struct bl_record record;
  struct bl_handover handover;
};

enum object_kind
{
  OBJECT_RECORD,
  OBJECT_HANDOVER,
  OBJECT_KINDS,
};

/* A call to the store.  */
struct call
{
  bool active;
  bool write;
  bool answered; /* otherwise it fails at END_MS */
  bool effective;
  enum object_kind kind;
  uint64_t effect_ms;
  uint64_t end_ms;
  uint64_t condition; /* revision that a write requires */
  struct object object;
};

struct flow
{
  struct bl_flow_key key;
  uint32_t first_seq;
  uint64_t next_ms; /* when the caller sends the next packet */
  bool open;        /* the server holds it, and its caller knows */
};

struct agent_model
{
  struct bl_random random;
  uint64_t now;
  /* Store */
  enum store_mode mode;
  uint64_t mode_until_ms;
  uint64_t revision;
  struct object objects[OBJECT_KINDS];
  struct call late; /* write of an earlier call */
  /* Server */
  bool server_runs;
  uint64_t server_start; /* wall clock */
  uint64_t heartbeat_ms; /* when the next one is due */
  uint64_t heartbeat_seq;
  uint64_t server_restart_ms; /* 0: none planned */
  /* Agent */
  struct bl_passthrough *agent; /* NULL: no process runs */
  struct bl_own_record own;
  struct bl_record previous; /* in the store before the first write */
  struct bl_record published;
  uint32_t recorded_seq;
  struct call call;
  uint64_t handover_revision;
  bool handover_read;
  bool handover_due;
  struct bl_handover handover; /* to be written */
  bool check_due;
  uint64_t stop_ms;  /* SIGTERM; 0: none */
  uint64_t start_ms; /* when the next process starts */
  unsigned actions_left;
  uint64_t action_ms;
  /* Flows */
  size_t flow_count;
  struct flow flows[FLOWS_MAX];
  uint64_t open_ms;
  /* What the balancer was told last.  */
  struct bl_link_msg last;
  unsigned denied_free; /* denials of flows that do not exist */
  char fault[160];      /* empty: none */
};

static const struct bl_addr balancer = { .ip = 9, .port = 1 };

static uint32_t
below (struct agent_model *d, uint32_t n)
{
  return bl_random_below (&d->random, n);
}

static uint64_t
wall_ms (const struct agent_model *d)
{
  return WALL_START_MS + d->now;
}

/* -- store -- */

static void
copy_handover (struct bl_handover *to, const struct bl_handover *from)
{
  *to = *from;
  to->flows = calloc (from->count + 1, sizeof *to->flows);
  memcpy (to->flows, from->flows, from->count * sizeof *to->flows);
}

static void
apply_write (struct agent_model *d, struct call *call)
{
  struct object *o = &d->objects[call->kind];

  call->effective = o->revision == call->condition;
  if (!call->effective)
    return;
  o->revision = ++d->revision;
  if (call->kind == OBJECT_RECORD)
    o->record = call->object.record;
  else
    {
      bl_handover_clear (&o->handover);
      copy_handover (&o->handover, &call->object.handover);
    }
}

static void
begin_call (struct agent_model *d,
            enum object_kind kind,
            bool write,
            uint64_t condition)
{
  struct call *c = &d->call;

  *c = (struct call){
    .active = true, .write = write, .kind = kind, .condition = condition
  };
  c->end_ms = d->now + STEP_MS + below (d, CALL_MS);
  c->effect_ms = d->now + STEP_MS;
  c->answered = d->mode == STORE_UP;
  if (d->mode == STORE_SILENT || d->mode == STORE_LATE)
    c->end_ms = d->now + TIMEOUT_MS;
  if (!write)
    return;
  if (kind == OBJECT_RECORD)
    c->object.record = d->published;
  else
    copy_handover (&c->object.handover, &d->handover);
  if (d->mode == STORE_LATE && !d->late.active)
    {
      d->late = *c;
      d->late.effect_ms = d->now + below (d, LATE_MAX_MS);
      if (kind == OBJECT_HANDOVER)
        copy_handover (&d->late.object.handover, &d->handover);
    }
}

static void
end_record_call (struct agent_model *d, const struct call *c)
{
  const struct object *o = &d->objects[OBJECT_RECORD];

  if (!c->answered)
    bl_own_record_failed (&d->own, d->now,
                          c->write ? BL_OWN_RECORD_WRITE : BL_OWN_RECORD_CHECK);
  else if (!c->write)
    {
      if (!d->own.checked)
        {
          d->previous = o->record;
          bl_passthrough_note_previous (d->agent,
                                        o->revision != 0 ? &o->record : NULL);
        }
      bl_own_record_checked (&d->own, d->now, 1, o->revision,
                             o->revision != 0 ? &o->record : NULL,
                             &d->published);
    }
  else if (c->effective)
    {
      bl_own_record_written (&d->own, d->now, 1, o->revision);
      d->recorded_seq = c->object.record.seq;
    }
  else
    bl_own_record_conflict (&d->own, d->now, 1, o->revision);
}

static void
end_handover_call (struct agent_model *d, const struct call *c)
{
  const struct object *o = &d->objects[OBJECT_HANDOVER];

  if (c->answered && !c->write)
    {
      d->handover_read = true;
      d->handover_revision = o->revision;
      if (o->revision != 0)
        bl_passthrough_take_over (d->agent, d->now, &o->handover,
                                  d->previous.incarnation, 0);
      bl_passthrough_settle_handover (d->agent, d->now);
    }
  else if (c->answered && c->effective)
    d->handover_due = false;
  else if (c->answered)
    d->handover_revision = o->revision;
}

static void
clear_call (struct call *c)
{
  bl_handover_clear (&c->object.handover);
  c->active = false;
}

/* Makes the call that the agent's process has to make, as daemon/registry.c
   does.  */
static void
begin_next_call (struct agent_model *d)
{
  bool first_write = d->recorded_seq == 0 && d->own.dirty && d->own.checked
                     && d->now >= d->own.not_before_ms;
  uint64_t due_ms;

  if (d->handover_due)
    begin_call (d, OBJECT_HANDOVER, true, d->handover_revision);
  else if (d->own.checked && !d->handover_read && !first_write)
    begin_call (d, OBJECT_HANDOVER, false, 0);
  else
    switch (bl_own_record_next (&d->own, d->now, &due_ms))
      {
      case BL_OWN_RECORD_WRITE:
        begin_call (d, OBJECT_RECORD, true, d->own.revision);
        break;
      case BL_OWN_RECORD_CHECK:
        begin_call (d, OBJECT_RECORD, false, 0);
        break;
      default:
        break;
      }
}

static void
step_store (struct agent_model *d)
{
  struct call *c = &d->call;

  if (d->now >= d->mode_until_ms)
    {
      d->mode = below (d, 2) ? STORE_UP : below (d, STORE_MODES);
      d->mode_until_ms = d->now + 200 + below (d, 6000);
    }
  if (d->late.active && d->now >= d->late.effect_ms)
    {
      apply_write (d, &d->late);
      clear_call (&d->late);
    }
  if (c->active && c->answered && c->write && c->effect_ms != 0
      && d->now >= c->effect_ms)
    {
      c->effect_ms = 0;
      apply_write (d, c);
    }
  if (c->active && d->now >= c->end_ms)
    {
      if (d->agent != NULL && c->kind == OBJECT_RECORD)
        end_record_call (d, c);
      else if (d->agent != NULL)
        end_handover_call (d, c);
      clear_call (c);
    }
  if (d->agent != NULL && !c->active)
    begin_next_call (d);
}

/* -- operations of the agent -- */

/* The server accepts a first packet, or answers one of an open flow.  */
static void
on_deliver (void *ctx, const uint8_t *packet, size_t len, uint32_t token)
{
  struct agent_model *d = ctx;
  struct bl_packet p;
  struct bl_packet answer;

  (void)len;
  memcpy (&p, packet, sizeof p);
  if (!d->server_runs)
    return;
  answer = (struct bl_packet){ .key = p.key, .flags = BL_TCP_ACK };
  for (size_t i = 0; i < d->flow_count; i++)
    {
      struct flow *f = &d->flows[i];
      if (memcmp (&f->key, &p.key, sizeof p.key) != 0)
        continue;
      f->open = true;
      answer.seq = f->first_seq + 1000;
      if (bl_packet_is_first (&p))
        answer.flags |= BL_TCP_SYN;
      else
        answer.payload_len = 10, answer.seq += 1;
      bl_passthrough_outgoing (d->agent, d->now, &answer,
                               (const uint8_t *)&answer, sizeof answer);
      return;
    }
  bl_passthrough_returned (d->agent, d->now, &p, token, packet, len);
}

static void
on_caller (void *ctx, uint32_t ip, const uint8_t *packet, size_t len)
{
  (void)ctx, (void)ip, (void)packet, (void)len;
}

static void
on_balancer (void *ctx,
             struct bl_addr to,
             const struct bl_link_msg *link,
             const uint8_t *packet,
             size_t len)
{
  (void)to, (void)packet, (void)len;
  ((struct agent_model *)ctx)->last = *link;
}

static void
on_send (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  (void)ctx, (void)to, (void)buf, (void)len;
}

static void
on_check (void *ctx)
{
  ((struct agent_model *)ctx)->check_due = true;
}

static void
on_publish (void *ctx, const struct bl_record *record)
{
  struct agent_model *d = ctx;

  d->published = *record;
  bl_own_record_changed (&d->own);
}

static void
on_decision (void *ctx,
             const char *event_name,
             const char *reason,
             const struct bl_flow_key *flow,
             uint64_t age_ms)
{
  struct agent_model *d = ctx;

  (void)flow;
  if (getenv ("TRACE") != NULL)
    fprintf (stderr, "%6lu %s why=%s age=%lu\n", d->now, event_name, reason,
             age_ms);
}

static const struct bl_passthrough_ops ops = {
  .deliver = on_deliver,
  .send_to_caller = on_caller,
  .send_to_balancer = on_balancer,
  .send = on_send,
  .check = on_check,
  .publish = on_publish,
  .log_decision = on_decision,
};

/* -- processes -- */

static void
note (struct agent_model *d, const char *text)
{
  if (getenv ("TRACE") != NULL)
    fprintf (stderr, "%6lu -- %s store=%d server=%lu\n", d->now, text,
             (int)d->mode, d->server_runs ? d->server_start : 0);
}

static void
start_agent (struct agent_model *d)
{
  struct bl_passthrough_settings settings = {
    .self = { .kind = BL_KIND_BACKEND, .incarnation = wall_ms (d) },
    .heartbeat_ms = HEARTBEAT_MS,
    .has_store = true,
  };

  note (d, "agent starts");
  bl_name_set (&settings.self.id, bl_str_of ("a"));
  bl_name_set (&settings.self.dc, bl_str_of ("dc"));
  bl_name_set (&settings.self.service, bl_str_of ("s"));
  d->own = (struct bl_own_record){ .random = { .state = below (d, 1000) } };
  d->recorded_seq = 0;
  d->handover_read = false;
  d->handover_due = false;
  d->handover_revision = 0;
  d->check_due = false;
  d->stop_ms = 0;
  d->agent = bl_passthrough_new (&settings, &ops, d);
  bl_passthrough_tick (d->agent, d->now);
}

static void
end_agent (struct agent_model *d)
{
  note (d, "agent ends");
  bl_passthrough_free (d->agent);
  d->agent = NULL;
  clear_call (&d->call);
  bl_handover_clear (&d->handover);
  d->start_ms = d->now + 50 + below (d, 900);
}

static void
stop_agent (struct agent_model *d)
{
  note (d, "agent is stopped");
  d->stop_ms = d->now;
  bl_passthrough_stop (d->agent, d->now);
  if (bl_passthrough_hand_over (d->agent, d->now, &d->handover) == BL_OK)
    d->handover_due = true;
}

/* Draws an action on the agent: begins a stop, or kills the process.  */
static void
draw_action (struct agent_model *d)
{
  bool in_row = below (d, 2) == 0;

  d->actions_left--;
  d->action_ms
      = d->now + (in_row ? 1000 + below (d, 3000) : 2000 + below (d, 9000));
  /* The store may go away between this action and the next.  */
  if (in_row)
    d->mode_until_ms = d->now + 150 + below (d, 600);
  if (d->agent == NULL || d->stop_ms != 0)
    return;
  if (below (d, 3) == 0)
    end_agent (d);
  else
    stop_agent (d);
}

static void
step_agent (struct agent_model *d)
{
  if (d->agent == NULL)
    {
      if (d->now >= d->start_ms)
        start_agent (d);
      return;
    }
  if (d->check_due)
    {
      d->check_due = false;
      bl_passthrough_check_result (d->agent, d->now, d->server_runs);
    }
  bl_passthrough_note_recorded (d->agent, d->now, d->recorded_seq);
  bl_passthrough_tick (d->agent, d->now);
  if (d->stop_ms != 0 && d->now >= d->stop_ms + STOP_MIN_MS
      && (!d->handover_due || d->now >= d->stop_ms + STOP_MAX_MS))
    end_agent (d);
}

static void
start_server (struct agent_model *d)
{
  d->server_runs = true;
  d->server_start = wall_ms (d);
  d->heartbeat_ms = d->now;
  d->heartbeat_seq = 0;
  note (d, "server starts");
}

static void
step_server (struct agent_model *d)
{
  struct bl_heartbeat b = { .slots = 1000 };

  if (d->server_restart_ms != 0 && d->now >= d->server_restart_ms)
    {
      d->server_restart_ms = 0;
      if (d->server_runs)
        {
          note (d, "server ends");
          d->server_runs = false;
          d->flow_count = 0;
          d->server_restart_ms = d->now + 20 + below (d, 1500);
        }
      else
        start_server (d);
    }
  if (!d->server_runs || d->now < d->heartbeat_ms)
    return;
  d->heartbeat_ms += HEARTBEAT_MS;
  b.seq = ++d->heartbeat_seq;
  b.backend_start = d->server_start;
  bl_name_set (&b.id, bl_str_of ("i"));
  bl_name_set (&b.service, bl_str_of ("s"));
  if (d->agent != NULL)
    bl_passthrough_heartbeat (d->agent, d->now, &b);
}

/* -- flows -- */

static void
send_packet (struct agent_model *d, const struct flow *f, bool first)
{
  struct bl_packet p = {
    .key = f->key,
    .flags = first ? BL_TCP_SYN : BL_TCP_ACK,
    .seq = first ? f->first_seq : f->first_seq + 1,
    .ack = f->first_seq + 1000,
    .payload_len = first ? 0 : 5,
  };
  struct bl_link_msg link = { .type = BL_LINK_PACKET, .key = f->key };
  struct bl_name service;

  bl_name_set (&service, bl_str_of ("s"));
  link.service = bl_name_hash (&service, 0);
  bl_passthrough_link (d->agent, d->now, balancer, &link, &p,
                       (const uint8_t *)&p, sizeof p);
}

static enum bl_link_type
query (struct agent_model *d, const struct bl_flow_key *key, uint32_t ack)
{
  struct bl_link_msg link
      = { .type = BL_LINK_OWNER_QUERY, .key = *key, .ack = ack };

  d->last.type = 0;
  bl_passthrough_link (d->agent, d->now, balancer, &link, NULL, NULL, 0);
  return d->last.type;
}

static void
open_flow (struct agent_model *d)
{
  struct flow *f = &d->flows[d->flow_count];

  if (d->flow_count == FLOWS_MAX)
    return;
  *f = (struct flow){
    .key = { 0x64400001, 0xc6120001, (uint16_t)(1024 + d->flow_count), 443 },
    .first_seq = below (d, 1u << 30),
    .next_ms = d->now + 200 + below (d, IDLE_MAX_MS),
  };
  d->flow_count++;
  send_packet (d, f, true);
  if (!f->open)
    d->flow_count--;
}

static void
step_flows (struct agent_model *d)
{
  struct bl_flow_key none = { 0x64400002, 0xc6120001, 1, 443 };

  if (d->agent == NULL)
    return;
  if (d->now >= d->open_ms)
    {
      d->open_ms = d->now + 1 + below (d, OPEN_GAP_MS);
      open_flow (d);
    }
  for (size_t i = 0; i < d->flow_count; i++)
    {
      struct flow *f = &d->flows[i];
      if (d->now < f->next_ms)
        continue;
      f->next_ms = d->now + 200 + below (d, IDLE_MAX_MS);
      send_packet (d, f, false);
    }
  if (d->now % QUERY_GAP_MS != 0)
    return;
  if (query (d, &none, 7) == BL_LINK_NOT_OWNED)
    d->denied_free++;
  for (size_t i = 0; i < d->flow_count && d->fault[0] == '\0'; i++)
    if (query (d, &d->flows[i].key, d->flows[i].first_seq + 1001)
        == BL_LINK_NOT_OWNED)
      snprintf (d->fault, sizeof d->fault,
                "at %lu ms, flow %zu of the server of %lu ms", d->now, i,
                d->server_start - WALL_START_MS);
}

struct agent_model *
agent_model_new (uint64_t seed)
{
  struct agent_model *d = calloc (1, sizeof *d);

  if (d == NULL)
    return NULL;
  d->random.state = seed;
  d->now = STEP_MS;
  d->mode_until_ms = UINT64_MAX;
  d->start_ms = d->now + AGENT_AFTER_SERVER_MS;
  start_server (d);
  return d;
}

void
agent_model_draw (struct agent_model *d)
{
  d->mode_until_ms = 1000 + below (d, 8000);
  d->actions_left = 1 + below (d, ACTIONS_MAX);
  d->start_ms = d->now + below (d, 1400);
  d->action_ms = 500 + below (d, 8000);
  if (below (d, 2))
    {
      /* The agent is young, as its server is, and the store may be away.  */
      d->action_ms = d->start_ms + below (d, 1000);
      d->mode_until_ms = d->now + below (d, 3000);
      d->mode = below (d, STORE_MODES);
    }
  if (below (d, 2))
    d->server_restart_ms = d->now + below (d, 12000);
}

void
agent_model_act (struct agent_model *d, enum agent_action action)
{
  switch (action)
    {
    case AGENT_STOP:
      if (d->agent != NULL && d->stop_ms == 0)
        stop_agent (d);
      break;
    case AGENT_KILL:
      if (d->agent != NULL)
        end_agent (d);
      break;
    case SERVER_CRASH:
      if (d->server_restart_ms == 0)
        d->server_restart_ms = d->now;
      break;
    case STORE_GOES_UP:
      d->mode = STORE_UP;
      break;
    case STORE_GOES_DOWN:
      d->mode = STORE_DOWN;
      break;
    case STORE_GOES_LATE:
      d->mode = STORE_LATE;
      break;
    default:
      break;
    }
}

bool
agent_model_run (struct agent_model *d, uint64_t ms)
{
  uint64_t end = d->now + ms;

  while (d->now < end && d->fault[0] == '\0')
    {
      d->now += STEP_MS;
      step_server (d);
      step_store (d);
      step_agent (d);
      step_flows (d);
      if (d->actions_left > 0 && d->now >= d->action_ms)
        draw_action (d);
    }
  return d->fault[0] == '\0';
}

const char *
agent_model_fault (const struct agent_model *d)
{
  return d->fault;
}

unsigned
agent_model_denials (const struct agent_model *d)
{
  return d->denied_free;
}

void
agent_model_free (struct agent_model *d)
{
  if (d == NULL)
    return;
  if (d->agent != NULL)
    end_agent (d);
  clear_call (&d->call);
  clear_call (&d->late);
  bl_handover_clear (&d->handover);
  bl_handover_clear (&d->objects[OBJECT_HANDOVER].handover);
  free (d);
}
