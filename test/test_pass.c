/* test_pass.c -- pass-through agent: its backend server terminates flows itself

   Each case passes a list of inputs to an agent and checks the state that the
   agent reports or the messages that it sends.  */

#include "core/msg.h"
#include "test/single_agent.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define FULL_PAYLOAD 1200   /* bytes */
#define INCARNATION  100000 /* milliseconds since 1970 */
#define QUERIED_ACK  51     /* acknowledgement number of owner queries */

static struct bl_passthrough *
new_agent_that (struct observed *observed, bool has_store)
{
  struct bl_passthrough_settings settings = {
    .self = { .kind = BL_KIND_BACKEND, .incarnation = INCARNATION },
    .heartbeat_ms = 1000,
    .payload_max = FULL_PAYLOAD,
    .has_store = has_store,
  };

  bl_name_set (&settings.self.id, bl_str_of ("a"));
  bl_name_set (&settings.self.dc, bl_str_of ("dc"));
  bl_name_set (&settings.self.service, bl_str_of ("s"));
  return bl_passthrough_new (&settings, &single_agent_ops, observed);
}

static struct bl_passthrough *
new_agent_without_tick (struct observed *observed)
{
  return new_agent_that (observed, false);
}

static struct bl_passthrough *
new_agent (struct observed *observed)
{
  struct bl_passthrough *p = new_agent_without_tick (observed);

  bl_passthrough_tick (p, 1);
  return p;
}

enum input_kind
{
  INPUT_END,
  CONNECTED, /* a connection attempt to the backend server succeeded */
  REFUSED,   /* a connection attempt was refused */
  HB_READY,  /* a heartbeat with state ready */
  HB_DRAINING,
  HB_OTHER, /* a heartbeat of another service */
  LEAVE,    /* the backend server announces that it stops */
  STOP,     /* the agent stops */
};

struct input
{
  enum input_kind kind;
  uint64_t backend_start; /* start of the backend server; heartbeats only */
  uint64_t seq;           /* number of the heartbeat; heartbeats only */
};

static void
send_heartbeat (struct bl_passthrough *p,
                uint64_t now,
                const struct input *input)
{
  struct bl_heartbeat b = {
    .draining = input->kind == HB_DRAINING,
    .slots = 2,
    .backend_start = input->backend_start,
    .seq = input->seq,
  };

  bl_name_set (&b.id, bl_str_of ("i"));
  bl_name_set (&b.service, bl_str_of (input->kind == HB_OTHER ? "t" : "s"));
  bl_passthrough_heartbeat (p, now, &b);
}

static void
pass_input (struct bl_passthrough *p, uint64_t now, const struct input *input)
{
  struct bl_name id;

  bl_name_set (&id, bl_str_of ("i"));
  switch (input->kind)
    {
    case CONNECTED:
    case REFUSED:
      bl_passthrough_check_result (p, now, input->kind == CONNECTED);
      break;
    case LEAVE:
      bl_passthrough_leave (p, now, &id);
      break;
    case STOP:
      bl_passthrough_stop (p, now);
      break;
    default:
      send_heartbeat (p, now, input);
      break;
    }
}

/* Guards against a wrong state in the agent's record: late heartbeats, restarts
   and connection attempts must not undo a later drain or stop.  */
static void
test_states (void **state)
{
  static const struct
  {
    const char *name;
    struct input inputs[5];
    enum bl_instance_state want;
  } cases[] = {
    { "just started", { { INPUT_END, 0, 0 } }, BL_STATE_STARTING },
    { "its server accepts connections",
      { { CONNECTED, 0, 0 } },
      BL_STATE_READY },
    { "there is no server", { { REFUSED, 0, 0 } }, BL_STATE_DEAD },
    { "the server starts later",
      { { REFUSED, 0, 0 }, { HB_READY, 9, 1 } },
      BL_STATE_READY },
    { "drains",
      { { HB_READY, 9, 1 }, { HB_DRAINING, 9, 2 } },
      BL_STATE_DRAINING },
    { "late heartbeat: ready",
      { { HB_READY, 9, 1 }, { HB_DRAINING, 9, 3 }, { HB_READY, 9, 2 } },
      BL_STATE_DRAINING },
    { "late heartbeat of an older start",
      { { HB_READY, 9, 1 }, { HB_READY, 12, 1 }, { HB_DRAINING, 9, 5 } },
      BL_STATE_READY },
    { "restarts under its id, numbers from 1",
      { { HB_READY, 9, 7 }, { HB_DRAINING, 9, 8 }, { HB_READY, 12, 1 } },
      BL_STATE_READY },
    { "heartbeat of another service",
      { { HB_READY, 9, 1 }, { HB_OTHER, 12, 2 } },
      BL_STATE_READY },
    { "leaves", { { HB_READY, 9, 1 }, { LEAVE, 0, 0 } }, BL_STATE_LEFT },
    { "crashes", { { HB_READY, 9, 1 }, { REFUSED, 0, 0 } }, BL_STATE_DEAD },
    { "crashes and restarts",
      { { HB_READY, 9, 1 }, { REFUSED, 0, 0 }, { HB_READY, 12, 1 } },
      BL_STATE_READY },
    { "the agent stops while its server runs",
      { { HB_READY, 9, 1 }, { STOP, 0, 0 } },
      BL_STATE_STARTING },
    { "a heartbeat does not undo the stop",
      { { HB_READY, 9, 1 }, { STOP, 0, 0 }, { HB_READY, 9, 2 } },
      BL_STATE_STARTING },
    { "a connection attempt does not undo the stop",
      { { HB_READY, 9, 1 }, { STOP, 0, 0 }, { CONNECTED, 0, 0 } },
      BL_STATE_STARTING },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct observed observed = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&observed);
      for (size_t s = 0; s < 5 && cases[i].inputs[s].kind != INPUT_END; s++)
        pass_input (p, 10 + s, &cases[i].inputs[s]);
      if (bl_passthrough_record (p)->state != cases[i].want)
        fail_msg ("%s: %s", cases[i].name,
                  bl_state_name (bl_passthrough_record (p)->state));
      bl_passthrough_free (p);
    }
}

static const struct bl_flow_key key = { 1, 2, 3, 4 };
static const struct bl_addr balancer = { 7, 7 };

static void
send_to_agent (struct bl_passthrough *p,
               uint64_t now,
               const char *service,
               uint8_t flags)
{
  struct bl_name name;
  struct bl_packet packet = { .key = key, .flags = flags };
  struct bl_link_msg link = { .type = BL_LINK_PACKET };

  bl_name_set (&name, bl_str_of (service));
  link.service = bl_name_hash (&name, 0);
  bl_passthrough_link (p, now, balancer, &link, &packet,
                       (const uint8_t *)&packet, sizeof packet);
}

/* Guards against delivery on old records of balancers: a draining or stopped
   server must get no new flow, and no server a packet of another service.  */
static void
test_first_packets (void **state)
{
  static const struct
  {
    const char *name;
    struct input input;
    const char *service;
    unsigned delivered;
    enum bl_link_reason reason;
  } cases[] = {
    { "ready", { HB_READY, 9, 1 }, "s", 1, BL_REASON_NONE },
    { "draining", { HB_DRAINING, 9, 1 }, "s", 0, BL_REASON_DRAINING },
    { "gone", { REFUSED, 0, 0 }, "s", 0, BL_REASON_DOWN },
    { "packet of another service",
      { HB_READY, 9, 1 },
      "t",
      0,
      BL_REASON_OTHER_SERVICE },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct observed observed = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&observed);
      pass_input (p, 5, &cases[i].input);
      send_to_agent (p, 10, cases[i].service, BL_TCP_SYN);
      if (observed.delivered != cases[i].delivered
          || observed.last.reason != cases[i].reason)
        fail_msg ("%s", cases[i].name);
      bl_passthrough_free (p);
    }
}

/* Guards against overload: when the slots and a short queue are taken by flows
   that are about to send requests, the next flow must be refused until a
   request has been answered.  */
static void
test_refuses_when_saturated (void **state)
{
  struct observed observed = { .delivered = 0 };
  struct bl_passthrough *p = new_agent (&observed);
  struct input ready = { HB_READY, 9, 1 };
  const unsigned capacity = 8; /* 2 slots, and 6 in the queue */
  struct bl_name name;
  struct bl_packet first = { .key = key, .flags = BL_TCP_SYN };
  struct bl_packet answer
      = { .key = key, .flags = BL_TCP_ACK, .payload_len = 1 };
  struct bl_packet request
      = { .key = key, .flags = BL_TCP_ACK, .payload_len = 1 };
  struct bl_link_msg link = { .type = BL_LINK_PACKET };

  (void)state;
  bl_name_set (&name, bl_str_of ("s"));
  link.service = bl_name_hash (&name, 0);
  pass_input (p, 5, &ready);
  for (unsigned i = 0; i <= capacity; i++)
    {
      first.key.src_port = (uint16_t)(1024 + i);
      bl_passthrough_link (p, 10, balancer, &link, &first,
                           (const uint8_t *)&first, sizeof first);
    }
  assert_int_equal (observed.delivered, capacity);
  assert_int_equal (observed.last.reason, BL_REASON_FULL);
  request.key.src_port = answer.key.src_port = 1024;
  bl_passthrough_link (p, 20, balancer, &link, &request,
                       (const uint8_t *)&request, sizeof request);
  bl_passthrough_outgoing (p, 30, &answer, (const uint8_t *)&answer,
                           sizeof answer);
  bl_passthrough_link (p, 40, balancer, &link, &first, (const uint8_t *)&first,
                       sizeof first);
  assert_int_equal (observed.delivered, capacity + 2);
  bl_passthrough_free (p);
}

enum packet_kind
{
  PACKET_END,
  SYN,
  PAYLOAD, /* of the caller */
  FIN,
  RST,
  ANSWER, /* of the backend server, with payload */
  SERVER_FIN,
  SERVER_RST,
};

/* A packet of the caller, or of the backend server.  */
struct flow_packet
{
  enum packet_kind kind;
  uint32_t seq;
  uint16_t len;
};

static const uint8_t packet_flags[] = { [SYN] = BL_TCP_SYN,
                                        [PAYLOAD] = BL_TCP_ACK,
                                        [FIN] = BL_TCP_ACK | BL_TCP_FIN,
                                        [RST] = BL_TCP_RST,
                                        [ANSWER] = BL_TCP_ACK,
                                        [SERVER_FIN] = BL_TCP_ACK | BL_TCP_FIN,
                                        [SERVER_RST] = BL_TCP_RST };

/* Passes a packet of the flow KEY to the agent.  */
static void
pass_packet (struct bl_passthrough *p,
             uint64_t now,
             const struct flow_packet *flow_packet)
{
  struct bl_link_msg link = { .type = BL_LINK_PACKET };
  struct bl_packet packet = {
    .key = key,
    .seq = flow_packet->seq,
    .flags = packet_flags[flow_packet->kind],
    .payload_len = flow_packet->len,
  };
  struct bl_name name;

  bl_name_set (&name, bl_str_of ("s"));
  link.service = bl_name_hash (&name, 0);
  if (flow_packet->kind >= ANSWER)
    bl_passthrough_outgoing (p, now, &packet, (const uint8_t *)&packet,
                             sizeof packet);
  else
    bl_passthrough_link (p, now, balancer, &link, &packet,
                         (const uint8_t *)&packet, sizeof packet);
}

static const struct
{
  const char *name;
  struct flow_packet packets[8];
  uint32_t want_busy;
} requests[] = {
  { "a request", { { SYN, 9, 0 }, { PAYLOAD, 10, 900 } }, 1 },
  { "an answered request",
    { { SYN, 9, 0 }, { PAYLOAD, 10, 900 }, { ANSWER, 1, 300 } },
    0 },
  { "a copy of an answered request",
    { { SYN, 9, 0 },
      { PAYLOAD, 10, 900 },
      { ANSWER, 1, 300 },
      { PAYLOAD, 10, 900 } },
    0 },
  { "the next request",
    { { SYN, 9, 0 },
      { PAYLOAD, 10, 900 },
      { ANSWER, 1, 300 },
      { PAYLOAD, 910, 900 } },
    1 },
  { "a request that still arrives",
    { { SYN, 9, 0 },
      { PAYLOAD, 10, FULL_PAYLOAD },
      { PAYLOAD, 1210, FULL_PAYLOAD } },
    0 },
  { "a long request that has arrived",
    { { SYN, 9, 0 },
      { PAYLOAD, 10, FULL_PAYLOAD },
      { PAYLOAD, 1210, FULL_PAYLOAD },
      { PAYLOAD, 2410, 20 } },
    1 },
  { "a caller that has left",
    { { SYN, 9, 0 }, { PAYLOAD, 10, 900 }, { RST, 910, 0 } },
    0 },
  { "a flow that the server resets",
    { { SYN, 9, 0 }, { PAYLOAD, 10, 900 }, { SERVER_RST, 1, 0 } },
    0 },
  { "a request on a flow that has ended",
    { { SYN, 9, 0 },
      { PAYLOAD, 10, 900 },
      { ANSWER, 1, 300 },
      { SERVER_FIN, 301, 0 },
      { PAYLOAD, 910, 900 } },
    0 },
  { "a caller that sends no more",
    { { SYN, 9, 0 }, { PAYLOAD, 10, 900 }, { FIN, 910, 0 } },
    1 },
};

/* Guards against backend servers that are taken to be busy while they are idle,
   so that callers are refused without need: copies of answered requests,
   requests that still arrive, and callers that have left take no slot.  */
static void
test_requests_in_progress (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof requests / sizeof requests[0]; i++)
    {
      struct observed observed = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&observed);
      pass_input (p, 5, &(struct input){ HB_READY, 9, 1 });
      for (unsigned k = 0; requests[i].packets[k].kind != PACKET_END; k++)
        pass_packet (p, 10 + k, &requests[i].packets[k]);
      if (bl_passthrough_busy (p) != requests[i].want_busy)
        fail_msg ("%s: %u requests in progress", requests[i].name,
                  bl_passthrough_busy (p));
      bl_passthrough_free (p);
    }
}

static enum bl_link_type
query_owner (struct bl_passthrough *p, struct observed *observed, uint64_t now)
{
  struct bl_link_msg link
      = { .type = BL_LINK_OWNER_QUERY, .key = key, .ack = QUERIED_ACK };

  bl_passthrough_link (p, now, balancer, &link, NULL, NULL, 0);
  return observed->last.type;
}

/* Guards against the reset of a flow after a wrong denial: an agent may deny a
   flow only if it has run for long enough to have seen each flow of its backend
   server; otherwise it must report its table as incomplete.  */
static void
test_denial_requires_complete_table (void **state)
{
  static const struct
  {
    const char *name;
    struct input input;
    uint64_t now;
    enum bl_link_type want;
  } cases[] = {
    { "its server is older",
      { HB_READY, INCARNATION - 60000, 1 },
      10,
      BL_LINK_INCOMPLETE },
    { "its server's start time is unknown",
      { CONNECTED, 0, 0 },
      10,
      BL_LINK_INCOMPLETE },
    { "its server is a little older, and an earlier agent may have run",
      { HB_READY, INCARNATION - 300, 1 },
      10,
      BL_LINK_INCOMPLETE },
    { "both started in the same millisecond",
      { HB_READY, INCARNATION, 1 },
      10,
      BL_LINK_INCOMPLETE },
    { "its server is younger",
      { HB_READY, INCARNATION + 10, 1 },
      10,
      BL_LINK_NOT_OWNED },
    { "its server's clock was ahead",
      { HB_READY, INCARNATION + 20000, 30 },
      10,
      BL_LINK_INCOMPLETE },
    { "the clock was set back by its server's age",
      { HB_READY, INCARNATION, 6 },
      10,
      BL_LINK_INCOMPLETE },
    { "the same, and its first heartbeat got no answer",
      { HB_READY, INCARNATION - 300, 2 },
      10,
      BL_LINK_INCOMPLETE },
    { "there is no server", { REFUSED, 0, 0 }, 10, BL_LINK_NOT_OWNED },
    { "all flows have had a packet since",
      { HB_READY, INCARNATION - 60000, 1 },
      20000,
      BL_LINK_NOT_OWNED },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct observed observed = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&observed);
      pass_input (p, 5, &cases[i].input);
      if (query_owner (p, &observed, cases[i].now) != cases[i].want)
        fail_msg ("%s", cases[i].name);
      bl_passthrough_free (p);
    }
}

/* Guards against the reset of flows that an earlier process of this agent
   delivered: a server that is a little older than the agent holds none only if
   the record of that process names another server.  */
static void
test_record_of_earlier_process (void **state)
{
  static const struct
  {
    const char *name;
    uint64_t start; /* of the server */
    enum
    {
      UNREAD, /* the store has not answered */
      ABSENT, /* it has no record of an earlier process */
      RECORD,
    } store;
    uint64_t previous; /* server in the record; 0: none */
    enum bl_link_type want;
  } cases[] = {
    { "the store has not answered", INCARNATION - 300, UNREAD, 0,
      BL_LINK_INCOMPLETE },
    { "another server", INCARNATION - 300, RECORD, INCARNATION - 60000,
      BL_LINK_NOT_OWNED },
    { "this server", INCARNATION - 300, RECORD, INCARNATION - 300,
      BL_LINK_INCOMPLETE },
    { "no server: killed before its first heartbeat", INCARNATION - 300, RECORD,
      0, BL_LINK_INCOMPLETE },
    { "no record", INCARNATION - 300, ABSENT, 0, BL_LINK_NOT_OWNED },
    { "a much older server", INCARNATION - 60000, ABSENT, 0,
      BL_LINK_INCOMPLETE },
    { "a younger server", INCARNATION + 10, UNREAD, 0, BL_LINK_NOT_OWNED },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct observed observed = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&observed);
      struct input ready = { HB_READY, cases[i].start, 1 };
      struct bl_record record = { .backend_start = cases[i].previous };
      if (cases[i].store != UNREAD)
        bl_passthrough_note_previous (p, cases[i].store == RECORD ? &record
                                                                  : NULL);
      pass_input (p, 5, &ready);
      assert_true (observed.published.backend_start == cases[i].start);
      if (query_owner (p, &observed, 10) != cases[i].want)
        fail_msg ("%s", cases[i].name);
      bl_passthrough_free (p);
    }
}

/* Guards against the reset of live flows after the first heartbeat was a late
   one of an earlier start: the server's own then names a later start, but one
   from before this process, so it may hold older flows.  */
static void
test_server_after_late_heartbeat (void **state)
{
  static const struct
  {
    const char *name;
    struct input inputs[2];
    enum bl_link_type want;
  } cases[] = {
    { "a server from before this process",
      { { HB_READY, INCARNATION - 90000, 9 },
        { HB_READY, INCARNATION - 60000, 50 } },
      BL_LINK_INCOMPLETE },
    { "a server from the time of the start of this process",
      { { HB_READY, INCARNATION - 90000, 9 },
        { HB_READY, INCARNATION - 300, 2 } },
      BL_LINK_INCOMPLETE },
    { "a server that has started again",
      { { HB_READY, INCARNATION - 90000, 9 },
        { HB_READY, INCARNATION + 1900, 1 } },
      BL_LINK_NOT_OWNED },
    { "the same, the first one started after this process too",
      { { HB_READY, INCARNATION + 10, 1 },
        { HB_READY, INCARNATION + 1900, 1 } },
      BL_LINK_NOT_OWNED },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct observed observed = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&observed);
      pass_input (p, 500, &cases[i].inputs[0]);
      pass_input (p, 2000, &cases[i].inputs[1]);
      if (query_owner (p, &observed, 2010) != cases[i].want)
        fail_msg ("%s", cases[i].name);
      bl_passthrough_free (p);
    }
}

static const struct
{
  const char *name;
  struct input inputs[3];
  uint64_t input_ms[3];
  uint32_t recorded; /* version of the record that the store has at NOW */
  uint64_t now;
  enum bl_instance_state want;
} record_waits[] = {
  { "not recorded",
    { { CONNECTED, 0, 0 } },
    { 10 },
    0,
    1400,
    BL_STATE_STARTING },
  { "not recorded for 1.5 s",
    { { CONNECTED, 0, 0 } },
    { 10 },
    0,
    1501,
    BL_STATE_READY },
  { "recorded", { { CONNECTED, 0, 0 } }, { 10 }, 1, 50, BL_STATE_READY },
  { "recorded, the heartbeat comes first",
    { { HB_READY, INCARNATION - 60000, 9 } },
    { 10 },
    1,
    50,
    BL_STATE_READY },
  { "a drain is not withheld",
    { { HB_DRAINING, INCARNATION - 60000, 9 } },
    { 10 },
    0,
    50,
    BL_STATE_DRAINING },
  { "a server that starts later, not recorded",
    { { REFUSED, 0, 0 }, { HB_READY, INCARNATION + 1400, 1 } },
    { 10, 1400 },
    0,
    2800,
    BL_STATE_STARTING },
  { "the same for 1.5 s",
    { { REFUSED, 0, 0 }, { HB_READY, INCARNATION + 1400, 1 } },
    { 10, 1400 },
    0,
    2901,
    BL_STATE_READY },
  { "a new start of the server, the record names the one before",
    { { HB_READY, INCARNATION - 60000, 9 },
      { HB_READY, INCARNATION + 5000, 1 } },
    { 10, 5000 },
    2,
    5100,
    BL_STATE_STARTING },
  { "the same, recorded",
    { { HB_READY, INCARNATION - 60000, 9 },
      { HB_READY, INCARNATION + 5000, 1 } },
    { 10, 5000 },
    9,
    5100,
    BL_STATE_READY },
  { "the agent stops",
    { { CONNECTED, 0, 0 }, { STOP, 0, 0 } },
    { 10, 20 },
    9,
    3000,
    BL_STATE_STARTING },
};

/* Guards against a process that accepts flows and leaves no trace in the store,
   so that its next process denies them: it is not ready before its record is
   written, or 1.5 s have passed.  */
static void
test_ready_when_recorded (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof record_waits / sizeof record_waits[0]; i++)
    {
      struct observed observed = { .delivered = 0 };
      struct bl_passthrough *p = new_agent_that (&observed, true);
      bl_passthrough_tick (p, 1);
      for (size_t k = 0; k < 3 && record_waits[i].inputs[k].kind != INPUT_END;
           k++)
        pass_input (p, record_waits[i].input_ms[k], &record_waits[i].inputs[k]);
      bl_passthrough_note_recorded (p, record_waits[i].now,
                                    record_waits[i].recorded);
      bl_passthrough_tick (p, record_waits[i].now);
      if (bl_passthrough_record (p)->state != record_waits[i].want)
        fail_msg ("%s: %s", record_waits[i].name,
                  bl_state_name (bl_passthrough_record (p)->state));
      bl_passthrough_free (p);
    }
}

/* A server restarts after its clock was set back, so that its start time is
   lower than that of the previous process.  Its heartbeats must be
   distinguished from late ones of an older start: they continue while those of
   the previous process have stopped.  */
static void
test_start_with_clock_set_back (void **state)
{
  static const struct
  {
    const char *name;
    uint64_t first_ms; /* arrival of the heartbeats with the lower start time */
    uint64_t second_ms;
    uint64_t other_ms; /* last heartbeat with the higher start time */
    int want;          /* result of the second heartbeat */
  } cases[] = {
    { "only the lower start continues", 5000, 6000, 1000, BL_OK },
    { "two late heartbeats at once", 5000, 5001, 1000, BL_ESTALE },
    { "the higher start continues", 5000, 6000, 5500, BL_ESTALE },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct observed observed = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&observed);
      struct bl_heartbeat b = { .slots = 2, .backend_start = 9000, .seq = 1 };
      int second;
      bl_name_set (&b.id, bl_str_of ("i"));
      bl_name_set (&b.service, bl_str_of ("s"));
      assert_int_equal (bl_passthrough_heartbeat (p, 1000, &b), BL_OK);
      b.backend_start = 7000;
      assert_int_equal (bl_passthrough_heartbeat (p, cases[i].first_ms, &b),
                        BL_ESTALE);
      if (cases[i].other_ms > 1000)
        {
          b.backend_start = 9000;
          b.seq = 2;
          assert_int_equal (bl_passthrough_heartbeat (p, cases[i].other_ms, &b),
                            BL_OK);
        }
      b.backend_start = 7000;
      b.seq = 2;
      second = bl_passthrough_heartbeat (p, cases[i].second_ms, &b);
      if (second != cases[i].want)
        fail_msg ("%s: %d", cases[i].name, second);
      bl_passthrough_free (p);
    }
}

/* An agent that started after its server has no list of the flows that the
   server holds.  A packet that the server sends proves that it holds the
   packet's flow, and the agent must report the ownership to the balancer that
   offered a packet of the flow.  A packet that the server returns must leave no
   entry behind.  */
static void
test_server_answers_after_restart (void **state)
{
  struct bl_packet p
      = { .key = { 1, 2, 3, 4 }, .flags = BL_TCP_ACK, .payload_len = 10 };
  struct bl_link_msg link = { .type = BL_LINK_PACKET, .key = { 1, 2, 3, 4 } };
  struct input older = { HB_READY, INCARNATION - 60000, 50 };

  (void)state;
  for (int owned = 0; owned < 2; owned++)
    {
      struct observed observed = { .delivered = 0 };
      struct bl_passthrough *agent = new_agent (&observed);
      pass_input (agent, 5, &older);
      link.service = bl_name_hash (&bl_passthrough_record (agent)->service, 0);
      bl_passthrough_link (agent, 10, (struct bl_addr){ 9, 1 }, &link, &p,
                           (const uint8_t *)&p, sizeof p);
      assert_int_equal (observed.delivered, 1);
      assert_int_equal (bl_passthrough_busy (agent), 0);
      if (owned)
        bl_passthrough_outgoing (agent, 30, &p, (const uint8_t *)&p, sizeof p);
      else
        bl_passthrough_returned (agent, 12, &p, 1, (const uint8_t *)&p,
                                 sizeof p);
      assert_int_equal (observed.last.type,
                        owned ? BL_LINK_OWNED : BL_LINK_UNKNOWN_FLOW);
      assert_int_equal (bl_passthrough_flow_count (agent), (size_t)owned);
      bl_passthrough_free (agent);
    }
}

/* Guards against an agent that other instances ignore: a balancer holds a
   record for the agent's address with a higher incarnation, from before the
   clock was set back or of another instance that had the address.  The agent
   must take an incarnation above it.  */
static void
test_supersedes_later_incarnation (void **state)
{
  static const struct
  {
    const char *name;
    uint64_t held;
    uint64_t want;
  } cases[] = {
    { "a lower incarnation", INCARNATION - 1, INCARNATION },
    { "the agent's own incarnation", INCARNATION, INCARNATION },
    { "a higher incarnation", INCARNATION + 7000, INCARNATION + 7001 },
    { "the highest incarnation, which cannot be superseded", UINT64_MAX,
      INCARNATION },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct observed observed = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&observed);
      struct bl_buffer buffer = { .len = 0 };
      struct bl_msg msg
          = { .type = BL_MSG_STATUS_QUERY, .incarnation = cases[i].held };
      bl_name_set (&msg.from, bl_str_of ("b"));
      assert_int_equal (bl_msg_encode (&msg, &buffer), BL_OK);
      bl_passthrough_message (p, 10, (struct bl_addr){ 20, 2 }, buffer.ptr,
                              buffer.len);
      if (bl_passthrough_record (p)->incarnation != cases[i].want)
        fail_msg ("%s", cases[i].name);
      bl_buffer_free (&buffer);
      bl_passthrough_free (p);
    }
}

/* Guards against a denial before the first tick, when the agent's start time is
   not set yet.  */
static void
test_query_before_first_tick (void **state)
{
  struct observed observed = { .delivered = 0 };
  struct bl_passthrough *p = new_agent_without_tick (&observed);
  struct input ready = { HB_READY, INCARNATION - 60000, 1 };

  (void)state;
  pass_input (p, 50000, &ready);
  assert_int_equal (query_owner (p, &observed, 50001), BL_LINK_INCOMPLETE);
  bl_passthrough_free (p);
}

/* After a restart of the agent, a packet that the server sends must enter the
   flow into the agent's table.  A packet that the server returns must go back
   to the balancer with the reason, and remove the entry.  */
static void
test_flow_ownership (void **state)
{
  struct observed observed = { .delivered = 0 };
  struct bl_passthrough *p = new_agent (&observed);
  struct bl_packet out = {
    .key = key,
    .flags = BL_TCP_ACK,
    .seq = QUERIED_ACK,
    .payload_len = 1,
  };
  struct input ready = { HB_READY, INCARNATION - 60000, 1 };

  (void)state;
  pass_input (p, 5, &ready);
  assert_int_equal (query_owner (p, &observed, 10), BL_LINK_INCOMPLETE);
  bl_passthrough_outgoing (p, 20, &out, (const uint8_t *)&out, sizeof out);
  assert_int_equal (query_owner (p, &observed, 30), BL_LINK_OWNED);
  send_to_agent (p, 40, "s", BL_TCP_ACK);
  assert_int_equal (observed.delivered, 1);
  bl_passthrough_returned (p, 50, &out, 1, (const uint8_t *)&out, sizeof out);
  assert_int_equal (observed.last.type, BL_LINK_UNKNOWN_FLOW);
  assert_int_equal (bl_passthrough_flow_count (p), 0);
  bl_passthrough_free (p);
}

/* Guards against a wrong owner after a caller's port was used again: the agent
   holds another flow of the same key than the one that the balancer queries,
   as the acknowledgement number shows.  */
static void
test_reused_port (void **state)
{
  struct observed observed = { .delivered = 0 };
  struct bl_passthrough *p = new_agent (&observed);
  struct bl_packet out = {
    .key = key,
    .flags = BL_TCP_ACK,
    .seq = QUERIED_ACK + 0x40000000,
    .payload_len = 1,
  };
  struct input ready = { HB_READY, INCARNATION + 10, 1 };

  (void)state;
  pass_input (p, 5, &ready);
  bl_passthrough_outgoing (p, 20, &out, (const uint8_t *)&out, sizeof out);
  assert_int_equal (query_owner (p, &observed, 30), BL_LINK_NOT_OWNED);
  bl_passthrough_free (p);
}

static const struct
{
  const char *name;
  uint32_t told_ms[2]; /* idle times, by balancers with VERSIONS */
  uint64_t versions[2];
  uint64_t start_offset; /* of the server's start against the agent's */
  bool has_packet;       /* the server has sent one at 20 ms */
  uint64_t now;
  enum bl_link_type want;
} idle_times[] = {
  { "not told, within the default",
    { 0, 0 },
    { 0, 0 },
    10,
    true,
    14000,
    BL_LINK_OWNED },
  { "not told, after the default",
    { 0, 0 },
    { 0, 0 },
    10,
    true,
    21000,
    BL_LINK_NOT_OWNED },
  { "told a longer one",
    { 30000, 0 },
    { 2, 0 },
    10,
    true,
    29000,
    BL_LINK_OWNED },
  { "after the longer one",
    { 30000, 0 },
    { 2, 0 },
    10,
    true,
    36000,
    BL_LINK_NOT_OWNED },
  { "newer routes have a longer one",
    { 15000, 30000 },
    { 2, 3 },
    10,
    true,
    29000,
    BL_LINK_OWNED },
  { "older routes have a shorter one",
    { 30000, 15000 },
    { 3, 2 },
    10,
    true,
    29000,
    BL_LINK_OWNED },
  { "a balancer without routes",
    { 30000, 0 },
    { 3, 4 },
    10,
    true,
    29000,
    BL_LINK_OWNED },
  { "an older server, not seen for the longer one",
    { 30000, 0 },
    { 2, 0 },
    0,
    false,
    31000,
    BL_LINK_INCOMPLETE },
  { "an older server, seen for long enough",
    { 30000, 0 },
    { 2, 0 },
    0,
    false,
    33000,
    BL_LINK_NOT_OWNED },
};

static void
tell_idle_time (struct bl_passthrough *p, uint64_t version, uint32_t idle_ms)
{
  struct bl_buffer buffer = { .len = 0 };
  struct bl_msg msg = {
    .type = BL_MSG_STATUS_QUERY,
    .config_version = version,
    .idle_ms = idle_ms,
  };

  bl_name_set (&msg.from, bl_str_of ("b"));
  assert_int_equal (bl_msg_encode (&msg, &buffer), BL_OK);
  bl_passthrough_message (p, 10, (struct bl_addr){ 20, 2 }, buffer.ptr,
                          buffer.len);
  bl_buffer_free (&buffer);
}

/* Guards against a flow that is forgotten, and then denied, before the routes
   allow it to be discarded.  */
static void
test_idle_time (void **state)
{

  (void)state;
  for (size_t i = 0; i < sizeof idle_times / sizeof idle_times[0]; i++)
    {
      struct observed observed = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&observed);
      struct bl_packet out = {
        .key = key, .flags = BL_TCP_ACK, .seq = QUERIED_ACK, .payload_len = 1
      };
      struct input ready
          = { HB_READY, INCARNATION - 5 + idle_times[i].start_offset, 1 };
      pass_input (p, 5, &ready);
      for (int k = 0; k < 2; k++)
        tell_idle_time (p, idle_times[i].versions[k], idle_times[i].told_ms[k]);
      if (idle_times[i].has_packet)
        bl_passthrough_outgoing (p, 20, &out, (const uint8_t *)&out,
                                 sizeof out);
      bl_passthrough_tick (p, idle_times[i].now);
      if (query_owner (p, &observed, idle_times[i].now) != idle_times[i].want)
        fail_msg ("%s: %d", idle_times[i].name, (int)observed.last.type);
      bl_passthrough_free (p);
    }
}

/* A server that does not answer a first packet must be checked by a connection
   attempt, and must not be declared dead without one.  */
static void
test_silence_is_checked (void **state)
{
  struct observed observed = { .delivered = 0 };
  struct bl_passthrough *p = new_agent (&observed);
  struct input ready = { HB_READY, 9, 1 };
  unsigned before;

  (void)state;
  pass_input (p, 5, &ready);
  before = observed.checks;
  send_to_agent (p, 100, "s", BL_TCP_SYN);
  bl_passthrough_tick (p, 200);
  assert_int_equal (observed.checks, before);
  bl_passthrough_tick (p, 400);
  assert_int_equal (observed.checks, before + 1);
  assert_int_equal (bl_passthrough_record (p)->state, BL_STATE_READY);
  bl_passthrough_free (p);
}

/* A server that returns a packet of a flow that it held may have crashed.  It
   must be checked at once, not only after missing heartbeats.  */
static void
test_returned_flow_is_checked (void **state)
{
  struct observed observed = { .delivered = 0 };
  struct bl_passthrough *p = new_agent (&observed);
  struct bl_packet out = { .key = key, .flags = BL_TCP_ACK, .payload_len = 1 };
  struct input ready = { HB_READY, INCARNATION + 10, 1 };
  unsigned before;

  (void)state;
  pass_input (p, 5, &ready);
  bl_passthrough_outgoing (p, 20, &out, (const uint8_t *)&out, sizeof out);
  before = observed.checks;
  bl_passthrough_returned (p, 500, &out, 0, (const uint8_t *)&out, sizeof out);
  bl_passthrough_tick (p, 520);
  assert_int_equal (observed.checks, before + 1);
  bl_passthrough_free (p);
}

/* Guards against an agent that forgets the newest era of the store when another
   balancer, which has not heard of it, requests a status.  */
static void
test_store_era (void **state)
{
  static const uint64_t told[] = { 0, 1, 3, 2, 0, 4 };
  static const uint64_t want[] = { 0, 1, 3, 3, 3, 4 };
  struct observed observed = { .delivered = 0 };
  struct bl_passthrough *p = new_agent (&observed);

  (void)state;
  for (size_t i = 0; i < sizeof told / sizeof told[0]; i++)
    {
      struct bl_buffer buffer = { .len = 0 };
      struct bl_msg msg = { .type = BL_MSG_STATUS_QUERY, .store_era = told[i] };
      bl_name_set (&msg.from, bl_str_of ("b"));
      assert_int_equal (bl_msg_encode (&msg, &buffer), BL_OK);
      bl_passthrough_message (p, 10, (struct bl_addr){ 20, 2 }, buffer.ptr,
                              buffer.len);
      assert_int_equal (bl_passthrough_store_era (p), want[i]);
      bl_buffer_free (&buffer);
    }
  bl_passthrough_free (p);
}

/* Guards against the reset of open flows after a late heartbeat of an earlier
   start of the server that is the first one after the agent's own restart: the
   store tells which start the earlier process served.  Heartbeats that continue
   at their interval are taken, since the clock may have been set back.  */
static void
test_late_first_heartbeat (void **state)
{
  static const struct
  {
    const char *name;
    uint64_t previous; /* start in the record; 0: none */
    struct input inputs[3];
    uint64_t want_start; /* 0: none */
  } cases[] = {
    { "late", 5000, { { HB_READY, 4000, 9 } }, 0 },
    { "late, then the server's own",
      5000,
      { { HB_READY, 4000, 9 }, { HB_READY, 5000, 3 } },
      5000 },
    { "late, in one burst",
      5000,
      { { HB_READY, 4000, 9 }, { HB_READY, 4000, 9 } },
      0 },
    { "the clock was set back",
      5000,
      { { HB_READY, 4000, 1 }, { HB_READY, 4000, 2 } },
      4000 },
    { "a later start", 5000, { { HB_READY, 6000, 1 } }, 6000 },
    { "no record", 0, { { HB_READY, 4000, 9 } }, 4000 },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct observed observed = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&observed);
      struct bl_record record = { .backend_start = cases[i].previous };
      bl_passthrough_note_previous (p, &record);
      for (size_t k = 0; k < 3 && cases[i].inputs[k].kind != INPUT_END; k++)
        pass_input (p, 10000 + 1000 * k, &cases[i].inputs[k]);
      if (observed.published.backend_start != cases[i].want_start)
        fail_msg ("%s: %lu", cases[i].name, observed.published.backend_start);
      bl_passthrough_free (p);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_states),
    cmocka_unit_test (test_late_first_heartbeat),
    cmocka_unit_test (test_store_era),
    cmocka_unit_test (test_first_packets),
    cmocka_unit_test (test_refuses_when_saturated),
    cmocka_unit_test (test_requests_in_progress),
    cmocka_unit_test (test_denial_requires_complete_table),
    cmocka_unit_test (test_start_with_clock_set_back),
    cmocka_unit_test (test_server_answers_after_restart),
    cmocka_unit_test (test_supersedes_later_incarnation),
    cmocka_unit_test (test_query_before_first_tick),
    cmocka_unit_test (test_record_of_earlier_process),
    cmocka_unit_test (test_ready_when_recorded),
    cmocka_unit_test (test_server_after_late_heartbeat),
    cmocka_unit_test (test_flow_ownership),
    cmocka_unit_test (test_idle_time),
    cmocka_unit_test (test_reused_port),
    cmocka_unit_test (test_silence_is_checked),
    cmocka_unit_test (test_returned_flow_is_checked),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
