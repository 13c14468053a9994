/* passthrough.c -- pass-through agent: its backend server terminates flows
   itself

   The backend server decides which flows it holds: it returns every packet of
   any other flow.  The agent's table of flows is therefore only a cache.  After
   a planned restart it is taken over from the process before (handover.c).
   After any other restart it is empty; packets are delivered all the same, and
   the server's packets fill the table again.

   Draining is enforced here: once a heartbeat reports it, no first packet is
   delivered, even if balancers have not received that state yet.  A packet that
   an outdated route table sent to the wrong service is not delivered either.

   A backend server that leaves packets unanswered is checked by opening a
   connection.  If the connection is refused, the server is dead, and balancers
   are notified so that they reset its flows at once.  */

#include "core/passthrough_inner.h"
#include "core/store.h"

#include <stdlib.h>
#include <string.h>

/* The agent announces itself as STARTING if neither a heartbeat nor the outcome
   of a check has arrived for this long.  */
#define START_ANNOUNCE_MS 250
#define IDLE_DEFAULT_MS   15000 /* until a balancer tells the idle time */
/* Entries without packets expire after the idle time and this long.  */
#define FLOW_IDLE_MARGIN_MS 5000
#define FLOW_CLOSED_MS      3000 /* the same after a FIN or RST */
#define REQUEST_MAX_MS      8000 /* an unanswered request is over after this */
#define SWEEP_INTERVAL_MS   200
#define FIRST_REQUEST_MS    150   /* longest wait for a flow's first request */
#define FLOWS_MAX           65536 /* entries, about 10 MB of memory */
#define MONITOR_TTL_MS      10000 /* a monitor is kept after its last request */
#define MONITOR_SILENCE_MS  1500  /* without any request: contact the seeds */
#define ACK_WINDOW          (1u << 20) /* sequence numbers */
/* Queries are held for the flow table of the process before at most this long;
   the store answers within some tens of milliseconds.  */
#define HANDOVER_WAIT_MS 300

static const char *const counter_names[] = {
  [BL_PASSTHROUGH_DELIVERED] = "packets_delivered",
  [BL_PASSTHROUGH_ANSWERED] = "packets_answered",
  [BL_PASSTHROUGH_ACCEPTED] = "flows_accepted",
  [BL_PASSTHROUGH_REFUSED] = "flows_refused",
  [BL_PASSTHROUGH_RETURNED] = "packets_returned",
  [BL_PASSTHROUGH_WRONG_SERVICE] = "packets_of_other_services",
  [BL_PASSTHROUGH_MALFORMED] = "messages_malformed",
  [BL_PASSTHROUGH_NO_ROOM] = "flows_without_room",
  [BL_PASSTHROUGH_HEARTBEATS] = "heartbeats",
  [BL_PASSTHROUGH_IGNORED_HEARTBEATS] = "heartbeats_ignored",
};

struct bl_passthrough *
bl_passthrough_new (const struct bl_passthrough_settings *settings,
                    const struct bl_passthrough_ops *ops,
                    void *ctx)
{
  struct bl_passthrough *pass = calloc (1, sizeof *pass);

  if (pass == NULL)
    return NULL;
  pass->settings = *settings;
  pass->ops = *ops;
  pass->ctx = ctx;
  pass->self = settings->self;
  pass->self.state = BL_STATE_STARTING;
  pass->idle_ms = IDLE_DEFAULT_MS;
  pass->handover_settled = !settings->has_store;
  return pass;
}

struct bl_passthrough_flow *
bl_passthrough_find_flow (struct bl_passthrough *pass,
                          const struct bl_flow_key *key)
{
  struct bl_passthrough_flow *f;

  HASH_FIND (hh, pass->flows, key, sizeof *key, f);
  return f;
}

struct bl_passthrough_flow *
bl_passthrough_get_flow (struct bl_passthrough *pass,
                         const struct bl_flow_key *key)
{
  struct bl_passthrough_flow *f = bl_passthrough_find_flow (pass, key);

  if (f == NULL)
    {
      f = HASH_COUNT (pass->flows) < FLOWS_MAX ? calloc (1, sizeof *f) : NULL;
      if (f == NULL)
        {
          pass->counters[BL_PASSTHROUGH_NO_ROOM]++;
          return NULL;
        }
      f->key = *key;
      HASH_ADD (hh, pass->flows, key, sizeof f->key, f);
    }
  f->touched_ms = pass->now;
  return f;
}

static void
set_awaiting_request (struct bl_passthrough *pass,
                      struct bl_passthrough_flow *f,
                      bool awaiting)
{
  if (awaiting == f->awaiting_request)
    return;
  f->awaiting_request = awaiting;
  pass->load.classes[f->class].in_progress += awaiting ? 1 : -1;
}

/* Moves F and its request in progress to another class.  */
static void
set_class (struct bl_passthrough *pass,
           struct bl_passthrough_flow *f,
           unsigned class)
{
  uint32_t in_progress
      = (f->request_start_ms != 0 ? 1 : 0) + (f->awaiting_request ? 1 : 0);

  pass->load.classes[f->class].in_progress -= in_progress;
  f->class = (uint8_t) class;
  pass->load.classes[f->class].in_progress += in_progress;
}

/* Ends the request of F without an answer.  */
static void
cancel_request (struct bl_passthrough *pass, struct bl_passthrough_flow *f)
{
  if (f->request_start_ms == 0)
    return;
  f->request_start_ms = 0;
  pass->busy--;
  pass->load.classes[f->class].in_progress--;
}

/* Counts a request of F, and starts its time unless one is in progress.  */
static void
begin_request (struct bl_passthrough *pass, struct bl_passthrough_flow *f)
{
  bl_class_load_arrived (&pass->load, pass->now, f->class);
  if (f->request_start_ms != 0)
    return;
  f->request_start_ms = pass->now;
  f->queued_behind = pass->busy >= pass->self.slots;
  pass->busy++;
  pass->load.classes[f->class].in_progress++;
}

/* Handles the first packet of an answer.  The time of a request that waited at
   the server is not the time that it took a slot.  */
static void
finish_request (struct bl_passthrough *pass, struct bl_passthrough_flow *f)
{
  uint64_t ms = pass->now - f->request_start_ms;

  if (f->request_start_ms == 0)
    return;
  bl_histogram_add (&pass->service_times, ms);
  if (!f->queued_behind)
    bl_class_load_add_work (&pass->load, f->class, ms);
  cancel_request (pass, f);
}

static void
remove_flow (struct bl_passthrough *pass, struct bl_passthrough_flow *f)
{
  cancel_request (pass, f);
  set_awaiting_request (pass, f, false);
  HASH_DEL (pass->flows, f);
  free (f);
}

void
bl_passthrough_remove_flows (struct bl_passthrough *pass)
{
  struct bl_passthrough_flow *f;
  struct bl_passthrough_flow *next;

  HASH_ITER (hh, pass->flows, f, next)
  remove_flow (pass, f);
}

void
bl_passthrough_free (struct bl_passthrough *pass)
{
  if (pass == NULL)
    return;
  bl_passthrough_remove_flows (pass);
  bl_buffer_free (&pass->buffer);
  free (pass);
}

/* -- messages to balancers -- */

static void
send_status (struct bl_passthrough *pass, struct bl_addr to, bool with_record)
{
  struct bl_msg msg = {
    .type = BL_MSG_STATUS,
    .from = pass->self.id,
    .load = pass->busy,
    .flows = HASH_COUNT (pass->flows),
    .digest = pass->backend_start,
    .store_era = pass->store_era,
    .idle_ms = pass->idle_ms,
    .record_count = with_record ? 1 : 0,
    .records = &pass->self,
  };

  if (bl_msg_encode (&msg, &pass->buffer) == BL_OK)
    pass->ops.send (pass->ctx, to, pass->buffer.ptr, pass->buffer.len);
}

void
bl_passthrough_announce (struct bl_passthrough *pass, const char *reason)
{
  pass->self.seq++;
  pass->self.backend_start = pass->backend_start;
  pass->ops.log_decision (
      pass->ctx, bl_state_name (pass->self.state), reason, NULL,
      pass->last_heartbeat_ms > 0 ? pass->now - pass->last_heartbeat_ms : 0);
  for (size_t i = 0; i < pass->monitor_count; i++)
    send_status (pass, pass->monitors[i].addr, true);
  pass->next_seed_ms = 0;
  pass->ops.publish (pass->ctx, &pass->self);
}

void
bl_passthrough_set_state (struct bl_passthrough *pass,
                          enum bl_instance_state state,
                          const char *reason)
{
  /* A stop is announced even if the state was STARTING already.  */
  if (pass->self.state == state && state != BL_STATE_STARTING)
    return;
  pass->self.state = state;
  bl_passthrough_announce (pass, reason);
}

static void
note_monitor (struct bl_passthrough *pass, struct bl_addr addr)
{
  size_t stalest = 0;

  for (size_t i = 0; i < pass->monitor_count; i++)
    {
      if (bl_addr_equal (pass->monitors[i].addr, addr))
        {
          pass->monitors[i].last_request_ms = pass->now;
          return;
        }
      if (pass->monitors[i].last_request_ms
          < pass->monitors[stalest].last_request_ms)
        stalest = i;
    }
  if (pass->monitor_count < MONITORS_MAX)
    stalest = pass->monitor_count++;
  pass->monitors[stalest] = (struct bl_monitor){ addr, pass->now };
}

static void
reply (struct bl_passthrough *pass,
       struct bl_addr to,
       struct bl_link_msg *link,
       const uint8_t *packet,
       size_t len)
{
  link->service = bl_name_hash (&pass->self.service, 0);
  link->incarnation = pass->self.incarnation;
  link->backend_start = pass->backend_start;
  link->busy = pass->busy;
  link->flows = HASH_COUNT (pass->flows);
  pass->ops.send_to_balancer (pass->ctx, to, link, packet, len);
}

static void
refuse (struct bl_passthrough *pass,
        struct bl_addr to,
        const struct bl_flow_key *key,
        enum bl_link_reason reason)
{
  struct bl_link_msg link
      = { .type = BL_LINK_REFUSED, .reason = reason, .key = *key };

  pass->counters[BL_PASSTHROUGH_REFUSED]++;
  pass->ops.log_decision (
      pass->ctx, "refused", bl_link_reason_name (reason), key,
      pass->last_heartbeat_ms > 0 ? pass->now - pass->last_heartbeat_ms : 0);
  reply (pass, to, &link, NULL, 0);
}

static void
report_unknown (struct bl_passthrough *pass,
                struct bl_addr to,
                const struct bl_packet *packet,
                enum bl_link_reason reason,
                const uint8_t *bytes,
                size_t len)
{
  struct bl_link_msg link = {
    .type = BL_LINK_UNKNOWN_FLOW,
    .reason = reason,
    .key = packet->key,
    .ack = packet->ack,
  };

  pass->counters[BL_PASSTHROUGH_RETURNED]++;
  pass->ops.log_decision (pass->ctx, "not_held", bl_link_reason_name (reason),
                          &packet->key, 0);
  reply (pass, to, &link, bytes, len);
}

/* Returns true if ACK, a caller's acknowledgement number, belongs to flow F: it
   is within half of ACK_WINDOW of the server's next sequence number.  A port
   may be used again while the entry of the old flow is still held here.  */
static bool
matches_ack (const struct bl_passthrough_flow *f, uint32_t ack)
{
  uint32_t behind = f->next_seq - ack + ACK_WINDOW / 2;

  return f->next_seq_known && behind < ACK_WINDOW;
}

/* -- packets to the backend server -- */

/* The token that identifies a balancer in packets that the backend server
   returns; 0 when the table of balancers is full.  */
static uint32_t
token_of (struct bl_passthrough *pass, struct bl_addr balancer)
{
  for (size_t i = 0; i < pass->balancer_count; i++)
    if (bl_addr_equal (pass->balancers[i], balancer))
      return (uint32_t)i + 1;
  if (pass->balancer_count == BALANCERS_MAX)
    return 0;
  pass->balancers[pass->balancer_count++] = balancer;
  return (uint32_t)pass->balancer_count;
}

static void
deliver (struct bl_passthrough *pass,
         struct bl_addr from,
         const struct bl_packet *packet,
         const uint8_t *bytes,
         size_t len)
{
  bool wants_answer = bl_packet_is_first (packet) || packet->payload_len > 0;

  if (wants_answer && pass->unanswered_since_ms == 0)
    pass->unanswered_since_ms = pass->now;
  pass->counters[BL_PASSTHROUGH_DELIVERED]++;
  pass->ops.deliver (pass->ctx, bytes, len, token_of (pass, from));
}

static enum bl_link_reason
refusal_reason (struct bl_passthrough *pass, unsigned class)
{
  if (pass->self.state == BL_STATE_READY)
    return pass->self.slots == 0
                   || bl_class_load_admits (&pass->load, pass->now,
                                            pass->self.slots, class)
               ? BL_REASON_NONE
               : BL_REASON_FULL;
  return pass->self.state == BL_STATE_DRAINING ? BL_REASON_DRAINING
                                               : BL_REASON_DOWN;
}

static void
on_first_packet (struct bl_passthrough *pass,
                 struct bl_addr from,
                 unsigned class,
                 const struct bl_packet *packet,
                 const uint8_t *bytes,
                 size_t len)
{
  enum bl_link_reason reason = refusal_reason (pass, class);
  struct bl_passthrough_flow *f;

  if (reason != BL_REASON_NONE)
    {
      if (reason == BL_REASON_FULL)
        bl_class_load_refused (&pass->load, pass->now, class);
      refuse (pass, from, &packet->key, reason);
      return;
    }
  f = bl_passthrough_get_flow (pass, &packet->key);
  if (f == NULL)
    return;
  if (f->first_seq != packet->seq)
    {
      cancel_request (pass, f);
      f->established = false;
      f->closed = false;
      f->next_seq_known = false;
      f->caller_seq_known = false;
      f->handed_over = false;
    }
  set_class (pass, f, class);
  f->first_seq = packet->seq;
  f->offered_ms = pass->now;
  set_awaiting_request (pass, f, true);
  f->owner_reported = false;
  f->balancer = from;
  deliver (pass, from, packet, bytes, len);
}

/* Handles payload of a caller.  A request takes a slot of the backend server
   when it has arrived completely: while a long one arrives, its packets carry
   the most payload that a packet can hold.  A copy of a packet that arrived
   before starts no request, nor does a packet of a flow that has ended.  */
static void
note_payload (struct bl_passthrough *pass,
              struct bl_passthrough_flow *f,
              const struct bl_packet *packet)
{
  uint32_t end = packet->seq + packet->payload_len;
  uint32_t full = pass->settings.payload_max;

  if (f->closed || (f->caller_seq_known && (int32_t)(end - f->caller_seq) <= 0))
    return;
  f->caller_seq = end;
  f->caller_seq_known = true;
  set_awaiting_request (pass, f, false);
  if (full == 0 || packet->payload_len < full)
    begin_request (pass, f);
}

/* Handles the end of a flow by its caller; a reset ends its request too.  */
static void
note_end (struct bl_passthrough *pass,
          struct bl_passthrough_flow *f,
          uint8_t flags)
{
  if ((flags & (BL_TCP_FIN | BL_TCP_RST)) == 0)
    return;
  f->closed = true;
  set_awaiting_request (pass, f, false);
  if (flags & BL_TCP_RST)
    cancel_request (pass, f);
}

static void
on_later_packet (struct bl_passthrough *pass,
                 struct bl_addr from,
                 unsigned class,
                 const struct bl_packet *packet,
                 const uint8_t *bytes,
                 size_t len)
{
  struct bl_passthrough_flow *f = bl_passthrough_find_flow (pass, &packet->key);

  /* The flow may be older than this process.  If the backend server answers the
     packet, the balancer that sent it is notified; if the server returns it,
     the entry is removed.  */
  if (f == NULL && bl_passthrough_evidence (pass) == BL_EVIDENCE_NONE)
    {
      f = bl_passthrough_get_flow (pass, &packet->key);
      if (f != NULL)
        {
          set_class (pass, f, class);
          f->balancer = from;
        }
    }
  else if (f != NULL)
    {
      f->touched_ms = pass->now;
      f->owner_reported
          = f->owner_reported && bl_addr_equal (f->balancer, from);
      f->balancer = from;
      f->established = f->established || matches_ack (f, packet->ack);
      set_class (pass, f, class);
      if (packet->payload_len > 0)
        note_payload (pass, f, packet);
      note_end (pass, f, packet->flags);
    }
  deliver (pass, from, packet, bytes, len);
}

static void
on_packet (struct bl_passthrough *pass,
           struct bl_addr from,
           const struct bl_link_msg *link,
           const struct bl_packet *packet,
           const uint8_t *bytes,
           size_t len)
{
  bool first = bl_packet_is_first (packet);

  if (link->service != bl_name_hash (&pass->self.service, 0))
    {
      pass->counters[BL_PASSTHROUGH_WRONG_SERVICE]++;
      if (first)
        refuse (pass, from, &packet->key, BL_REASON_OTHER_SERVICE);
      else
        report_unknown (pass, from, packet, BL_REASON_OTHER_SERVICE, bytes,
                        len);
    }
  else if (first)
    on_first_packet (pass, from, bl_class_of (link->priority), packet, bytes,
                     len);
  else if (pass->self.state >= BL_STATE_LEFT)
    report_unknown (pass, from, packet, BL_REASON_DOWN, bytes, len);
  else
    on_later_packet (pass, from, bl_class_of (link->priority), packet, bytes,
                     len);
}

/* Holds a query while the flow table of the process before may still arrive.
   Returns false if it has to be answered now.  */
static bool
hold_query (struct bl_passthrough *pass,
            struct bl_addr from,
            const struct bl_link_msg *query)
{
  if (pass->handover_settled || pass->held_query_count == HELD_QUERIES_MAX)
    return false;
  pass->held_queries[pass->held_query_count++]
      = (struct bl_held_query){ from, *query };
  return true;
}

static void
on_query (struct bl_passthrough *pass,
          struct bl_addr from,
          const struct bl_link_msg *query)
{
  struct bl_passthrough_flow *f = bl_passthrough_find_flow (pass, &query->key);
  struct bl_link_msg link = { .key = query->key, .ack = query->ack };

  bl_passthrough_note_process_between (pass, query->incarnation);
  if (f != NULL && matches_ack (f, query->ack))
    {
      link.type = BL_LINK_OWNED;
      f->balancer = from;
      f->owner_reported = true;
    }
  else if (bl_passthrough_evidence (pass) == BL_EVIDENCE_NONE
           || (f != NULL && f->handed_over))
    {
      if (hold_query (pass, from, query))
        return;
      link.type = BL_LINK_INCOMPLETE;
    }
  else
    link.type = BL_LINK_NOT_OWNED;
  if (f != NULL && link.type != BL_LINK_OWNED)
    pass->ops.log_decision (pass->ctx, "not_owned",
                            f->next_seq_known ? "other_numbers"
                                              : "not_accepted_yet",
                            &query->key, pass->now - f->touched_ms);
  reply (pass, from, &link, NULL, 0);
}

void
bl_passthrough_settle_handover (struct bl_passthrough *pass, uint64_t now)
{
  size_t count = pass->held_query_count;

  pass->now = now;
  pass->handover_settled = true;
  pass->held_query_count = 0;
  for (size_t i = 0; i < count; i++)
    on_query (pass, pass->held_queries[i].from, &pass->held_queries[i].query);
}

void
bl_passthrough_link (struct bl_passthrough *pass,
                     uint64_t now,
                     struct bl_addr from,
                     const struct bl_link_msg *link,
                     const struct bl_packet *packet,
                     const uint8_t *bytes,
                     size_t len)
{
  pass->now = now;
  if (link->type == BL_LINK_PACKET && packet != NULL)
    on_packet (pass, from, link, packet, bytes, len);
  else if (link->type == BL_LINK_OWNER_QUERY)
    on_query (pass, from, link);
  else
    pass->counters[BL_PASSTHROUGH_MALFORMED]++;
}

/* -- packets of the backend server -- */

static void
on_accepted (struct bl_passthrough *pass,
             struct bl_passthrough_flow *f,
             const struct bl_packet *packet)
{
  struct bl_link_msg link
      = { .type = BL_LINK_ACCEPTED, .key = f->key, .seq = packet->seq };

  f->next_seq = packet->seq + 1;
  f->next_seq_known = true;
  f->handed_over = false;
  f->owner_reported = true;
  if (f->offered_ms != 0)
    bl_histogram_add (&pass->accept_times, pass->now - f->offered_ms);
  f->offered_ms = 0;
  pass->counters[BL_PASSTHROUGH_ACCEPTED]++;
  if (f->balancer.port != 0)
    reply (pass, f->balancer, &link, NULL, 0);
}

/* Advances the next sequence number of the server.  A retransmitted packet may
   end before it and changes nothing.  A number that an earlier process handed
   over may be of another flow with the same port.  */
static void
note_sent (struct bl_passthrough_flow *f, const struct bl_packet *packet)
{
  uint32_t end = packet->seq + packet->payload_len;

  if (!f->next_seq_known || f->handed_over || (int32_t)(end - f->next_seq) > 0)
    f->next_seq = end;
  f->next_seq_known = true;
  f->handed_over = false;
}

static void
note_outgoing (struct bl_passthrough *pass, const struct bl_packet *packet)
{
  const uint8_t both = BL_TCP_SYN | BL_TCP_ACK;
  struct bl_passthrough_flow *f = bl_passthrough_get_flow (pass, &packet->key);
  struct bl_link_msg link = { .type = BL_LINK_OWNED, .key = packet->key };

  if (f == NULL)
    return;
  if ((packet->flags & both) == both)
    {
      on_accepted (pass, f, packet);
      return;
    }
  f->established = true;
  note_sent (f, packet);
  if (packet->payload_len > 0)
    finish_request (pass, f);
  if (packet->flags & (BL_TCP_FIN | BL_TCP_RST))
    {
      f->closed = true;
      cancel_request (pass, f);
    }
  if (f->owner_reported || f->balancer.port == 0)
    return;
  f->owner_reported = true;
  reply (pass, f->balancer, &link, NULL, 0);
}

void
bl_passthrough_outgoing (struct bl_passthrough *pass,
                         uint64_t now,
                         const struct bl_packet *packet,
                         const uint8_t *bytes,
                         size_t len)
{
  pass->now = now;
  pass->unanswered_since_ms = 0;
  note_outgoing (pass, packet);
  pass->counters[BL_PASSTHROUGH_ANSWERED]++;
  pass->ops.send_to_caller (pass->ctx, packet->key.src_ip, bytes, len);
}

void
bl_passthrough_returned (struct bl_passthrough *pass,
                         uint64_t now,
                         const struct bl_packet *packet,
                         uint32_t token,
                         const uint8_t *bytes,
                         size_t len)
{
  struct bl_passthrough_flow *f = bl_passthrough_find_flow (pass, &packet->key);
  struct bl_addr balancer = { .port = 0 };

  pass->now = now;
  pass->unanswered_since_ms = 0;
  /* The server process that accepted flows so far may have ended.  */
  pass->check_requested
      = bl_packet_is_first (packet) || (f != NULL && f->established);
  if (token > 0 && token <= pass->balancer_count)
    balancer = pass->balancers[token - 1];
  else if (f != NULL)
    balancer = f->balancer;
  if (f != NULL && !(bl_packet_is_first (packet) && f->established))
    remove_flow (pass, f);
  if (balancer.port == 0)
    return;
  if (bl_packet_is_first (packet))
    refuse (pass, balancer, &packet->key, BL_REASON_FULL);
  else
    report_unknown (pass, balancer, packet, BL_REASON_NONE, bytes, len);
}

/* -- time -- */

static void
sweep (struct bl_passthrough *pass)
{
  struct bl_passthrough_flow *f;
  struct bl_passthrough_flow *next;

  HASH_ITER (hh, pass->flows, f, next)
  {
    uint64_t idle = pass->now - f->touched_ms;
    if (idle
        > (f->closed ? FLOW_CLOSED_MS : pass->idle_ms + FLOW_IDLE_MARGIN_MS))
      remove_flow (pass, f);
    else if (f->request_start_ms != 0
             && pass->now - f->request_start_ms > REQUEST_MAX_MS)
      cancel_request (pass, f);
    else if (f->awaiting_request && idle > FIRST_REQUEST_MS)
      set_awaiting_request (pass, f, false);
  }
  for (size_t i = 0; i < pass->monitor_count; i++)
    if (pass->now - pass->monitors[i].last_request_ms > MONITOR_TTL_MS)
      pass->monitors[i--] = pass->monitors[--pass->monitor_count];
}

/* Sends the own record to the seeds and to all monitors if no monitor has
   requested a status recently: the seeds may relay the record to other
   balancers.  */
static void
announce_to_seeds (struct bl_passthrough *pass)
{
  for (size_t i = 0; i < pass->monitor_count; i++)
    if (pass->now - pass->monitors[i].last_request_ms < MONITOR_SILENCE_MS)
      return;
  for (size_t i = 0; i < pass->settings.seed_count; i++)
    send_status (pass, pass->settings.seeds[i], true);
  for (size_t i = 0; i < pass->monitor_count; i++)
    send_status (pass, pass->monitors[i].addr, true);
}

void
bl_passthrough_tick (struct bl_passthrough *pass, uint64_t now)
{
  pass->now = now;
  if (pass->started_ms == 0)
    {
      pass->started_ms = now;
      bl_passthrough_require_record (pass);
      if (pass->settings.has_store)
        bl_passthrough_announce (pass, "started");
    }
  bl_passthrough_release_ready (pass);
  if (pass->self.seq == 0 && now - pass->started_ms > START_ANNOUNCE_MS)
    bl_passthrough_announce (pass, "no_outcome_yet");
  bl_passthrough_check_backend (pass);
  if (!pass->handover_settled && now - pass->started_ms > HANDOVER_WAIT_MS)
    bl_passthrough_settle_handover (pass, now);
  if (now >= pass->next_sweep_ms)
    {
      pass->next_sweep_ms = now + SWEEP_INTERVAL_MS;
      sweep (pass);
    }
  if (now >= pass->next_seed_ms)
    {
      pass->next_seed_ms = now + MONITOR_SILENCE_MS / 3;
      if (pass->self.seq > 0)
        announce_to_seeds (pass);
    }
}

/* Raises the own incarnation if the requesting balancer holds a record of a
   later start for this address: either the clock was set back since, or the
   record is of an instance that no longer exists.  The other record would
   replace the own record at every balancer.  */
static void
supersede (struct bl_passthrough *pass, const struct bl_msg *request)
{
  if (!bl_record_is_superseded (&pass->self, request->incarnation))
    return;
  pass->self.incarnation = request->incarnation + 1;
  bl_passthrough_announce (pass, "record_of_later_start");
}

/* Follows the idle time in the newest routes.  Balancers of an earlier version
   of this program, and those without routes, send none.  */
static void
note_idle_time (struct bl_passthrough *pass, const struct bl_msg *request)
{
  if (request->idle_ms == 0 || request->config_version < pass->routes_version)
    return;
  pass->routes_version = request->config_version;
  pass->idle_ms = request->idle_ms;
}

int
bl_passthrough_message (struct bl_passthrough *pass,
                        uint64_t now,
                        struct bl_addr from,
                        const uint8_t *buf,
                        size_t len)
{
  struct bl_msg msg;
  int err = bl_msg_decode (&msg, buf, len);

  pass->now = now;
  if (err == BL_OK && msg.type != BL_MSG_STATUS_QUERY)
    {
      bl_msg_clear (&msg);
      err = BL_EFORMAT;
    }
  if (err != BL_OK)
    {
      pass->counters[BL_PASSTHROUGH_MALFORMED]++;
      return err;
    }
  note_monitor (pass, from);
  if (msg.store_era > pass->store_era)
    pass->store_era = msg.store_era;
  note_idle_time (pass, &msg);
  bl_passthrough_note_process_between (pass, msg.incarnation);
  supersede (pass, &msg);
  send_status (pass, from,
               msg.seq != pass->self.seq
                   || msg.incarnation != pass->self.incarnation);
  bl_msg_clear (&msg);
  return BL_OK;
}

void
bl_passthrough_stop (struct bl_passthrough *pass, uint64_t now)
{
  pass->now = now;
  if (pass->self.state >= BL_STATE_LEFT)
    return;
  pass->stopping = true;
  bl_passthrough_set_state (pass, BL_STATE_STARTING, "stopping");
}

uint64_t
bl_passthrough_store_era (const struct bl_passthrough *pass)
{
  return pass->store_era;
}

const struct bl_record *
bl_passthrough_record (const struct bl_passthrough *pass)
{
  return &pass->self;
}

bool
bl_passthrough_has_no_backend (const struct bl_passthrough *pass)
{
  return pass->backend_left || pass->self.state >= BL_STATE_LEFT;
}

size_t
bl_passthrough_flow_count (const struct bl_passthrough *pass)
{
  return HASH_COUNT (pass->flows);
}

uint32_t
bl_passthrough_busy (const struct bl_passthrough *pass)
{
  return pass->busy;
}

uint64_t
bl_passthrough_counter (const struct bl_passthrough *pass,
                        enum bl_passthrough_counter counter)
{
  return pass->counters[counter];
}

const char *
bl_passthrough_counter_name (enum bl_passthrough_counter counter)
{
  return counter_names[counter];
}

const struct bl_histogram *
bl_passthrough_service_times (const struct bl_passthrough *pass)
{
  return &pass->service_times;
}

const struct bl_histogram *
bl_passthrough_accept_times (const struct bl_passthrough *pass)
{
  return &pass->accept_times;
}
