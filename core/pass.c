/* pass.c -- an agent whose backend server ends flows itself

   The backend server is the last word on which flows it holds: it returns
   every packet of another.  So this agent's table of flows is a cache; after
   a restart it is empty, and packets are simply handed on.  What comes back
   fills it again.

   Draining is enforced here: once a heartbeat says so, no first packet is
   handed on, whatever balancers believe.  A packet that was meant for another
   service, by an old table, never reaches the backend server.

   A backend server that leaves packets without an answer is checked by
   opening a connection; if that is turned down, it is gone, and balancers
   are told, so that callers of its flows learn at once.  */

#include "core/pass_inner.h"
#include "core/store.h"

#include <stdlib.h>
#include <string.h>

#define START_TELL_MS 250   /* without an outcome until others are told */
#define UNSURE_MS     17000 /* flows that live have shown themselves by then */
#define IDLE_MS       20000 /* until a flow is forgotten */
#define CLOSED_MS     3000  /* the same once an end has closed it */
#define BUSY_MAX_MS   8000  /* an answer that late will not come */
#define SWEEP_MS      200
#define OPENING_MS    150 /* until the first request of a flow */
#define QUEUE_ROOM    6   /* requests that a server queues; more may be shed */
#define FLOWS_MAX     65536 /* known here; about 10 MB of memory */
#define WATCHER_MS    10000 /* a balancer that asked is told for so long */
#define LONELY_MS     1500  /* without a balancer until the seeds are told */
#define ACK_WINDOW    (1u << 20) /* sequence numbers */

static const char *const counter_names[] = {
  [BL_PASS_DELIVERED] = "packets_delivered",
  [BL_PASS_ANSWERED] = "packets_answered",
  [BL_PASS_ACCEPTED] = "flows_accepted",
  [BL_PASS_REFUSED] = "flows_refused",
  [BL_PASS_RETURNED] = "packets_returned",
  [BL_PASS_WRONG_SERVICE] = "packets_of_other_services",
  [BL_PASS_BAD] = "messages_malformed",
  [BL_PASS_NO_ROOM] = "flows_without_room",
  [BL_PASS_HEARTBEATS] = "heartbeats",
  [BL_PASS_BAD_HEARTBEATS] = "heartbeats_ignored",
};

struct bl_pass *
bl_pass_new (const struct bl_pass_settings *settings,
             const struct bl_pass_ops *ops,
             void *ctx)
{
  struct bl_pass *p = calloc (1, sizeof *p);

  if (p == NULL)
    return NULL;
  p->settings = *settings;
  p->ops = *ops;
  p->ctx = ctx;
  p->self = settings->self;
  p->self.state = BL_STATE_STARTING;
  return p;
}

static void
forget (struct bl_pass *p, struct bl_pass_flow *f)
{
  if (f->busy_ms != 0)
    p->busy--;
  if (f->opening)
    p->opening--;
  HASH_DEL (p->flows, f);
  free (f);
}

void
bl_pass_forget_all (struct bl_pass *p)
{
  struct bl_pass_flow *f;
  struct bl_pass_flow *next;

  HASH_ITER (hh, p->flows, f, next)
  forget (p, f);
}

void
bl_pass_free (struct bl_pass *pass)
{
  if (pass == NULL)
    return;
  bl_pass_forget_all (pass);
  bl_buffer_free (&pass->buffer);
  free (pass);
}

static struct bl_pass_flow *
find (struct bl_pass *p, const struct bl_flow_key *key)
{
  struct bl_pass_flow *f;

  HASH_FIND (hh, p->flows, key, sizeof *key, f);
  return f;
}

static struct bl_pass_flow *
get (struct bl_pass *p, const struct bl_flow_key *key)
{
  struct bl_pass_flow *f = find (p, key);

  if (f == NULL)
    {
      f = HASH_COUNT (p->flows) < FLOWS_MAX ? calloc (1, sizeof *f) : NULL;
      if (f == NULL)
        {
          p->counters[BL_PASS_NO_ROOM]++;
          return NULL;
        }
      f->key = *key;
      HASH_ADD (hh, p->flows, key, sizeof f->key, f);
    }
  f->touched_ms = p->now;
  return f;
}

static void
set_opening (struct bl_pass *p, struct bl_pass_flow *f, bool opening)
{
  if (opening == f->opening)
    return;
  f->opening = opening;
  p->opening += opening ? 1 : -1;
}

static void
set_busy (struct bl_pass *p, struct bl_pass_flow *f, bool busy)
{
  if (busy)
    set_opening (p, f, false);
  if (busy == (f->busy_ms != 0))
    return;
  if (!busy)
    bl_histogram_add (&p->services, p->now - f->busy_ms);
  f->busy_ms = busy ? p->now : 0;
  p->busy += busy ? 1 : -1;
}

/* -- telling balancers -- */

static void
send_status (struct bl_pass *p, struct bl_addr to, bool with_record)
{
  struct bl_msg msg = {
    .type = BL_MSG_STATUS,
    .from = p->self.id,
    .load = p->busy,
    .flows = HASH_COUNT (p->flows),
    .digest = p->born,
    .record_count = with_record ? 1 : 0,
    .records = &p->self,
  };

  if (bl_msg_encode (&msg, &p->buffer) == BL_OK)
    p->ops.send (p->ctx, to, p->buffer.ptr, p->buffer.len);
}

/* The record changed: everybody is told, and the store.  */
void
bl_pass_announce (struct bl_pass *p, const char *why)
{
  p->self.seq++;
  p->ops.decided (p->ctx, bl_state_name (p->self.state), why, NULL,
                  p->beat_ms > 0 ? p->now - p->beat_ms : 0);
  for (size_t i = 0; i < p->watcher_count; i++)
    send_status (p, p->watchers[i].addr, true);
  p->next_seed_ms = 0;
  p->ops.publish (p->ctx, &p->self);
}

void
bl_pass_set_state (struct bl_pass *p, enum bl_state state, const char *why)
{
  /* A stop is told even when nothing else changes.  */
  if (p->self.state == state && state != BL_STATE_STARTING)
    return;
  p->self.state = state;
  bl_pass_announce (p, why);
}

static void
note_watcher (struct bl_pass *p, struct bl_addr addr)
{
  size_t stalest = 0;

  for (size_t i = 0; i < p->watcher_count; i++)
    {
      if (bl_addr_equal (p->watchers[i].addr, addr))
        {
          p->watchers[i].heard_ms = p->now;
          return;
        }
      if (p->watchers[i].heard_ms < p->watchers[stalest].heard_ms)
        stalest = i;
    }
  if (p->watcher_count < WATCHERS_MAX)
    stalest = p->watcher_count++;
  p->watchers[stalest] = (struct bl_watcher){ addr, p->now };
}

static void
reply (struct bl_pass *p,
       struct bl_addr to,
       struct bl_link_msg *link,
       const uint8_t *packet,
       size_t len)
{
  link->service = bl_name_hash (&p->self.service, 0);
  link->incarnation = p->self.incarnation;
  link->born = p->born;
  link->busy = p->busy;
  link->flows = HASH_COUNT (p->flows);
  p->ops.to_balancer (p->ctx, to, link, packet, len);
}

static void
refuse (struct bl_pass *p,
        struct bl_addr to,
        const struct bl_flow_key *key,
        enum bl_link_reason reason)
{
  struct bl_link_msg link
      = { .type = BL_LINK_REFUSED, .reason = reason, .key = *key };

  p->counters[BL_PASS_REFUSED]++;
  p->ops.decided (p->ctx, "refused", bl_link_reason_name (reason), key,
                  p->beat_ms > 0 ? p->now - p->beat_ms : 0);
  reply (p, to, &link, NULL, 0);
}

static void
tell_unknown (struct bl_pass *p,
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

  p->counters[BL_PASS_RETURNED]++;
  p->ops.decided (p->ctx, "not_held", bl_link_reason_name (reason),
                  &packet->key, 0);
  reply (p, to, &link, bytes, len);
}

/* Whether a caller that expects ACK next means this flow: a port may be used
   again, and the old flow may still be held here.  */
static bool
fits (const struct bl_pass_flow *f, uint32_t ack)
{
  uint32_t behind = f->next - ack + ACK_WINDOW / 2;

  return f->next_known && behind < ACK_WINDOW;
}

/* -- packets to the backend server -- */

/* A number that stands for a balancer in what the backend server returns;
   0: none.  */
static uint32_t
token_of (struct bl_pass *p, struct bl_addr asker)
{
  for (size_t i = 0; i < p->asker_count; i++)
    if (bl_addr_equal (p->askers[i], asker))
      return (uint32_t)i + 1;
  if (p->asker_count == ASKERS_MAX)
    return 0;
  p->askers[p->asker_count++] = asker;
  return (uint32_t)p->asker_count;
}

static void
deliver (struct bl_pass *p,
         struct bl_addr from,
         const struct bl_packet *packet,
         const uint8_t *bytes,
         size_t len)
{
  bool wants_answer = bl_packet_is_first (packet) || packet->payload_len > 0;

  if (wants_answer && p->unanswered_ms == 0)
    p->unanswered_ms = p->now;
  p->counters[BL_PASS_DELIVERED]++;
  p->ops.deliver (p->ctx, bytes, len, token_of (p, from));
}

/* Load pattern: all callers come back at once, after a loss of power or in a
   burst.  A new flow brings a request at once; when the requests under way and
   to come fill the slots and a short queue, another server is the better place,
   and the caller loses a round trip instead of a try.  */
static bool
is_crowded (const struct bl_pass *p)
{
  return p->self.slots > 0
         && p->busy + p->opening >= p->self.slots + QUEUE_ROOM;
}

static enum bl_link_reason
why_not (const struct bl_pass *p)
{
  if (p->self.state == BL_STATE_READY)
    return is_crowded (p) ? BL_REASON_FULL : BL_REASON_NONE;
  return p->self.state == BL_STATE_DRAINING ? BL_REASON_DRAINING
                                            : BL_REASON_DOWN;
}

static void
on_first (struct bl_pass *p,
          struct bl_addr from,
          const struct bl_packet *packet,
          const uint8_t *bytes,
          size_t len)
{
  enum bl_link_reason reason = why_not (p);
  struct bl_pass_flow *f;

  if (reason != BL_REASON_NONE)
    {
      refuse (p, from, &packet->key, reason);
      return;
    }
  f = get (p, &packet->key);
  if (f == NULL)
    return;
  if (f->first_seq != packet->seq)
    {
      set_busy (p, f, false);
      f->open = false;
      f->closed = false;
      f->next_known = false;
    }
  f->first_seq = packet->seq;
  f->offered_ms = p->now;
  set_opening (p, f, true);
  f->told = false;
  f->asker = from;
  deliver (p, from, packet, bytes, len);
}

/* Whether flows may be held that this process, younger than they, has not
   seen.  */
static bool
is_unsure (const struct bl_pass *p)
{
  if (p->self.state >= BL_STATE_LEFT || p->left || p->watched || p->together)
    return false;
  /* A message may come before the first tick.  */
  return p->started_ms == 0 || p->now - p->started_ms < UNSURE_MS;
}

static void
on_later (struct bl_pass *p,
          struct bl_addr from,
          const struct bl_packet *packet,
          const uint8_t *bytes,
          size_t len)
{
  struct bl_pass_flow *f = find (p, &packet->key);

  /* A flow from before the start, perhaps: whoever offered the packet hears
     when the backend server answers it, and a returned one is forgotten.  */
  if (f == NULL && is_unsure (p))
    {
      f = get (p, &packet->key);
      if (f != NULL)
        f->asker = from;
    }
  else if (f != NULL)
    {
      f->touched_ms = p->now;
      f->told = f->told && bl_addr_equal (f->asker, from);
      f->asker = from;
      f->open = f->open || fits (f, packet->ack);
      f->closed = f->closed || (packet->flags & (BL_TCP_FIN | BL_TCP_RST)) != 0;
      if (packet->payload_len > 0)
        set_busy (p, f, true);
    }
  deliver (p, from, packet, bytes, len);
}

static void
on_packet (struct bl_pass *p,
           struct bl_addr from,
           const struct bl_link_msg *link,
           const struct bl_packet *packet,
           const uint8_t *bytes,
           size_t len)
{
  bool first = bl_packet_is_first (packet);

  if (link->service != bl_name_hash (&p->self.service, 0))
    {
      p->counters[BL_PASS_WRONG_SERVICE]++;
      if (first)
        refuse (p, from, &packet->key, BL_REASON_OTHER_SERVICE);
      else
        tell_unknown (p, from, packet, BL_REASON_OTHER_SERVICE, bytes, len);
    }
  else if (first)
    on_first (p, from, packet, bytes, len);
  else if (p->self.state >= BL_STATE_LEFT)
    tell_unknown (p, from, packet, BL_REASON_DOWN, bytes, len);
  else
    on_later (p, from, packet, bytes, len);
}

static void
on_query (struct bl_pass *p,
          struct bl_addr from,
          const struct bl_link_msg *query)
{
  struct bl_pass_flow *f = find (p, &query->key);
  struct bl_link_msg link = { .key = query->key, .ack = query->ack };

  if (f != NULL && fits (f, query->ack))
    {
      link.type = BL_LINK_OWNED;
      f->asker = from;
      f->told = true;
    }
  else
    link.type = is_unsure (p) ? BL_LINK_INCOMPLETE : BL_LINK_NOT_OWNED;
  if (f != NULL && link.type != BL_LINK_OWNED)
    p->ops.decided (p->ctx, "not_owned",
                    f->next_known ? "other_numbers" : "not_accepted_yet",
                    &query->key, p->now - f->touched_ms);
  reply (p, from, &link, NULL, 0);
}

void
bl_pass_link (struct bl_pass *pass,
              uint64_t now,
              struct bl_addr from,
              const struct bl_link_msg *link,
              const struct bl_packet *p,
              const uint8_t *bytes,
              size_t len)
{
  pass->now = now;
  if (link->type == BL_LINK_PACKET && p != NULL)
    on_packet (pass, from, link, p, bytes, len);
  else if (link->type == BL_LINK_OWNER_QUERY)
    on_query (pass, from, link);
  else
    pass->counters[BL_PASS_BAD]++;
}

/* -- packets of the backend server -- */

static void
on_accepted (struct bl_pass *p,
             struct bl_pass_flow *f,
             const struct bl_packet *packet)
{
  struct bl_link_msg link
      = { .type = BL_LINK_ACCEPTED, .key = f->key, .seq = packet->seq };

  f->next = packet->seq + 1;
  f->next_known = true;
  f->told = true;
  if (f->offered_ms != 0)
    bl_histogram_add (&p->accepts, p->now - f->offered_ms);
  f->offered_ms = 0;
  p->counters[BL_PASS_ACCEPTED]++;
  if (f->asker.port != 0)
    reply (p, f->asker, &link, NULL, 0);
}

/* Packets may be sent again: only a later end counts.  */
static void
note_sent (struct bl_pass_flow *f, const struct bl_packet *packet)
{
  uint32_t end = packet->seq + packet->payload_len;

  if (!f->next_known || (int32_t)(end - f->next) > 0)
    f->next = end;
  f->next_known = true;
}

static void
note_outgoing (struct bl_pass *p, const struct bl_packet *packet)
{
  const uint8_t both = BL_TCP_SYN | BL_TCP_ACK;
  struct bl_pass_flow *f = get (p, &packet->key);
  struct bl_link_msg link = { .type = BL_LINK_OWNED, .key = packet->key };

  if (f == NULL)
    return;
  if ((packet->flags & both) == both)
    {
      on_accepted (p, f, packet);
      return;
    }
  f->open = true;
  note_sent (f, packet);
  if (packet->payload_len > 0)
    set_busy (p, f, false);
  if (packet->flags & (BL_TCP_FIN | BL_TCP_RST))
    f->closed = true;
  if (f->told || f->asker.port == 0)
    return;
  f->told = true;
  reply (p, f->asker, &link, NULL, 0);
}

void
bl_pass_outgoing (struct bl_pass *pass,
                  uint64_t now,
                  const struct bl_packet *p,
                  const uint8_t *bytes,
                  size_t len)
{
  pass->now = now;
  pass->unanswered_ms = 0;
  note_outgoing (pass, p);
  pass->counters[BL_PASS_ANSWERED]++;
  pass->ops.answer (pass->ctx, p->key.src_ip, bytes, len);
}

void
bl_pass_returned (struct bl_pass *pass,
                  uint64_t now,
                  const struct bl_packet *p,
                  uint32_t token,
                  const uint8_t *bytes,
                  size_t len)
{
  struct bl_pass_flow *f = find (pass, &p->key);
  struct bl_addr asker = { .port = 0 };

  pass->now = now;
  pass->unanswered_ms = 0;
  /* What held the flow, or took flows before, may have ended.  */
  pass->doubted = bl_packet_is_first (p) || (f != NULL && f->open);
  if (token > 0 && token <= pass->asker_count)
    asker = pass->askers[token - 1];
  else if (f != NULL)
    asker = f->asker;
  if (f != NULL && !(bl_packet_is_first (p) && f->open))
    forget (pass, f);
  if (asker.port == 0)
    return;
  if (bl_packet_is_first (p))
    refuse (pass, asker, &p->key, BL_REASON_FULL);
  else
    tell_unknown (pass, asker, p, BL_REASON_NONE, bytes, len);
}

/* -- time -- */

static void
sweep (struct bl_pass *p)
{
  struct bl_pass_flow *f;
  struct bl_pass_flow *next;

  HASH_ITER (hh, p->flows, f, next)
  {
    uint64_t idle = p->now - f->touched_ms;
    if (idle > (f->closed ? CLOSED_MS : IDLE_MS))
      forget (p, f);
    else if (f->busy_ms != 0 && p->now - f->busy_ms > BUSY_MAX_MS)
      set_busy (p, f, false);
    else if (f->opening && idle > OPENING_MS)
      set_opening (p, f, false);
  }
  for (size_t i = 0; i < p->watcher_count; i++)
    if (p->now - p->watchers[i].heard_ms > WATCHER_MS)
      p->watchers[i--] = p->watchers[--p->watcher_count];
}

/* No balancer has asked for a while: the seeds may know others.  */
static void
tell_seeds (struct bl_pass *p)
{
  for (size_t i = 0; i < p->watcher_count; i++)
    if (p->now - p->watchers[i].heard_ms < LONELY_MS)
      return;
  for (size_t i = 0; i < p->settings.seed_count; i++)
    send_status (p, p->settings.seeds[i], true);
  for (size_t i = 0; i < p->watcher_count; i++)
    send_status (p, p->watchers[i].addr, true);
}

void
bl_pass_tick (struct bl_pass *pass, uint64_t now)
{
  pass->now = now;
  if (pass->started_ms == 0)
    pass->started_ms = now;
  if (pass->self.seq == 0 && now - pass->started_ms > START_TELL_MS)
    bl_pass_announce (pass, "no_outcome_yet");
  bl_pass_check_backend (pass);
  if (now >= pass->next_sweep_ms)
    {
      pass->next_sweep_ms = now + SWEEP_MS;
      sweep (pass);
    }
  if (now >= pass->next_seed_ms)
    {
      pass->next_seed_ms = now + LONELY_MS / 3;
      if (pass->self.seq > 0)
        tell_seeds (pass);
    }
}

/* The asker holds a record of a later start for this address: one from before
   the clock was set back, or of an instance that is no more.  The own record
   would lose against it everywhere.  */
static void
outdo (struct bl_pass *p, const struct bl_msg *question)
{
  if (!bl_record_is_outdone (&p->self, question->incarnation))
    return;
  p->self.incarnation = question->incarnation + 1;
  bl_pass_announce (p, "record_of_later_start");
}

int
bl_pass_message (struct bl_pass *pass,
                 uint64_t now,
                 struct bl_addr from,
                 const uint8_t *buf,
                 size_t len)
{
  struct bl_msg msg;
  int err = bl_msg_decode (&msg, buf, len);

  pass->now = now;
  if (err == BL_OK && msg.type != BL_MSG_HELLO)
    {
      bl_msg_clear (&msg);
      err = BL_EFORMAT;
    }
  if (err != BL_OK)
    {
      pass->counters[BL_PASS_BAD]++;
      return err;
    }
  note_watcher (pass, from);
  outdo (pass, &msg);
  send_status (pass, from,
               msg.seq != pass->self.seq
                   || msg.incarnation != pass->self.incarnation);
  bl_msg_clear (&msg);
  return BL_OK;
}

void
bl_pass_stop (struct bl_pass *pass, uint64_t now)
{
  pass->now = now;
  if (pass->self.state >= BL_STATE_LEFT)
    return;
  pass->stopping = true;
  bl_pass_set_state (pass, BL_STATE_STARTING, "stopping");
}

const struct bl_record *
bl_pass_record (const struct bl_pass *pass)
{
  return &pass->self;
}

bool
bl_pass_is_empty (const struct bl_pass *pass)
{
  return pass->left || pass->self.state >= BL_STATE_LEFT;
}

size_t
bl_pass_flow_count (const struct bl_pass *pass)
{
  return HASH_COUNT (pass->flows);
}

uint32_t
bl_pass_busy (const struct bl_pass *pass)
{
  return pass->busy;
}

uint64_t
bl_pass_counter (const struct bl_pass *pass, enum bl_pass_counter counter)
{
  return pass->counters[counter];
}

const char *
bl_pass_counter_name (enum bl_pass_counter counter)
{
  return counter_names[counter];
}

const struct bl_histogram *
bl_pass_service_times (const struct bl_pass *pass)
{
  return &pass->services;
}

const struct bl_histogram *
bl_pass_accept_times (const struct bl_pass *pass)
{
  return &pass->accepts;
}
