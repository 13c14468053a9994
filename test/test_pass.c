/* test_pass.c -- an agent whose backend server ends flows itself, step by step

   Each case is a list of steps and the state that the agent then tells.  */

#include "core/msg.h"
#include "core/pass.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define INCARNATION 100000 /* milliseconds since 1970 */
#define ASK_ACK     51     /* that agents are asked about */

/* What the agent asked its surroundings for.  */
struct seen
{
  unsigned delivered;
  unsigned checks;
  struct bl_link_msg last; /* told to a balancer */
  struct bl_record published;
};

static void
on_deliver (void *ctx, const uint8_t *packet, size_t len, uint32_t token)
{
  (void)packet;
  (void)len;
  (void)token;
  ((struct seen *)ctx)->delivered++;
}

static void
on_answer (void *ctx, uint32_t ip, const uint8_t *packet, size_t len)
{
  (void)ctx;
  (void)ip;
  (void)packet;
  (void)len;
}

static void
on_to_balancer (void *ctx,
                struct bl_addr to,
                const struct bl_link_msg *link,
                const uint8_t *packet,
                size_t len)
{
  (void)to;
  (void)packet;
  (void)len;
  ((struct seen *)ctx)->last = *link;
}

static void
on_send (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  (void)ctx;
  (void)to;
  (void)buf;
  (void)len;
}

static void
on_check (void *ctx)
{
  ((struct seen *)ctx)->checks++;
}

static void
on_publish (void *ctx, const struct bl_record *record)
{
  ((struct seen *)ctx)->published = *record;
}

static void
on_decided (void *ctx,
            const char *what,
            const char *why,
            const struct bl_flow_key *flow,
            uint64_t age_ms)
{
  (void)ctx;
  (void)what;
  (void)why;
  (void)flow;
  (void)age_ms;
}

static const struct bl_passthrough_ops ops = {
  .deliver = on_deliver,
  .send_to_caller = on_answer,
  .send_to_balancer = on_to_balancer,
  .send = on_send,
  .check = on_check,
  .publish = on_publish,
  .log_decision = on_decided,
};

static struct bl_passthrough *
new_agent_without_tick (struct seen *seen)
{
  struct bl_passthrough_settings settings = {
    .self = { .kind = BL_KIND_BACKEND, .incarnation = INCARNATION },
    .heartbeat_ms = 1000,
  };

  bl_name_set (&settings.self.id, bl_str_of ("a"));
  bl_name_set (&settings.self.dc, bl_str_of ("dc"));
  bl_name_set (&settings.self.service, bl_str_of ("s"));
  return bl_passthrough_new (&settings, &ops, seen);
}

static struct bl_passthrough *
new_agent (struct seen *seen)
{
  struct bl_passthrough *p = new_agent_without_tick (seen);

  bl_passthrough_tick (p, 1);
  return p;
}

enum step_kind
{
  END,
  ALIVE, /* a connection attempt succeeded */
  GONE,  /* it was turned down */
  READY, /* a heartbeat of start A and number B */
  DRAINING,
  OTHER, /* a heartbeat of another service */
  LEAVES,
  STOP, /* of the agent */
};

struct step
{
  enum step_kind kind;
  uint64_t a;
  uint64_t b;
};

static void
beat (struct bl_passthrough *p, uint64_t now, const struct step *step)
{
  struct bl_heartbeat b = {
    .draining = step->kind == DRAINING,
    .slots = 2,
    .backend_start = step->a,
    .seq = step->b,
  };

  bl_name_set (&b.id, bl_str_of ("i"));
  bl_name_set (&b.service, bl_str_of (step->kind == OTHER ? "t" : "s"));
  bl_passthrough_heartbeat (p, now, &b);
}

static void
take_step (struct bl_passthrough *p, uint64_t now, const struct step *step)
{
  struct bl_name id;

  bl_name_set (&id, bl_str_of ("i"));
  switch (step->kind)
    {
    case ALIVE:
    case GONE:
      bl_passthrough_check_result (p, now, step->kind == ALIVE);
      break;
    case LEAVES:
      bl_passthrough_leave (p, now, &id);
      break;
    case STOP:
      bl_passthrough_stop (p, now);
      break;
    default:
      beat (p, now, step);
      break;
    }
}

static void
test_states (void **state)
{
  static const struct
  {
    const char *name;
    struct step steps[5];
    enum bl_instance_state want;
  } cases[] = {
    { "just started", { { END, 0, 0 } }, BL_STATE_STARTING },
    { "finds its server", { { ALIVE, 0, 0 } }, BL_STATE_READY },
    { "finds none", { { GONE, 0, 0 } }, BL_STATE_LEFT },
    { "it comes later", { { GONE, 0, 0 }, { READY, 9, 1 } }, BL_STATE_READY },
    { "drains", { { READY, 9, 1 }, { DRAINING, 9, 2 } }, BL_STATE_DRAINING },
    { "late word that it is ready",
      { { READY, 9, 1 }, { DRAINING, 9, 3 }, { READY, 9, 2 } },
      BL_STATE_DRAINING },
    { "late word of an older start",
      { { READY, 9, 1 }, { READY, 12, 1 }, { DRAINING, 9, 5 } },
      BL_STATE_READY },
    { "starts again under its id, counting anew",
      { { READY, 9, 7 }, { DRAINING, 9, 8 }, { READY, 12, 1 } },
      BL_STATE_READY },
    { "another service's word",
      { { READY, 9, 1 }, { OTHER, 12, 2 } },
      BL_STATE_READY },
    { "leaves", { { READY, 9, 1 }, { LEAVES, 0, 0 } }, BL_STATE_LEFT },
    { "crashes", { { READY, 9, 1 }, { GONE, 0, 0 } }, BL_STATE_DEAD },
    { "crashes and comes back",
      { { READY, 9, 1 }, { GONE, 0, 0 }, { READY, 12, 1 } },
      BL_STATE_READY },
    { "the agent stops while its server lives on",
      { { READY, 9, 1 }, { STOP, 0, 0 } },
      BL_STATE_STARTING },
    { "a heartbeat does not undo the stop",
      { { READY, 9, 1 }, { STOP, 0, 0 }, { READY, 9, 2 } },
      BL_STATE_STARTING },
    { "nor does a connection attempt",
      { { READY, 9, 1 }, { STOP, 0, 0 }, { ALIVE, 0, 0 } },
      BL_STATE_STARTING },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct seen seen = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&seen);
      for (size_t s = 0; s < 5 && cases[i].steps[s].kind != END; s++)
        take_step (p, 10 + s, &cases[i].steps[s]);
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

/* Whatever balancers believe, a draining or gone server gets no new flow, and
   no server a packet that is meant for another service.  */
static void
test_first_packets (void **state)
{
  static const struct
  {
    const char *name;
    struct step step;
    const char *service;
    unsigned delivered;
    enum bl_link_reason reason;
  } cases[] = {
    { "ready", { READY, 9, 1 }, "s", 1, BL_REASON_NONE },
    { "draining", { DRAINING, 9, 1 }, "s", 0, BL_REASON_DRAINING },
    { "gone", { GONE, 0, 0 }, "s", 0, BL_REASON_DOWN },
    { "another service's", { READY, 9, 1 }, "t", 0, BL_REASON_OTHER_SERVICE },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct seen seen = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&seen);
      take_step (p, 5, &cases[i].step);
      send_to_agent (p, 10, cases[i].service, BL_TCP_SYN);
      if (seen.delivered != cases[i].delivered
          || seen.last.reason != cases[i].reason)
        fail_msg ("%s", cases[i].name);
      bl_passthrough_free (p);
    }
}

/* Slots and a short queue are full of flows that will bring requests: the next
   one is refused, until one of them has been answered.  */
static void
test_crowded (void **state)
{
  struct seen seen = { .delivered = 0 };
  struct bl_passthrough *p = new_agent (&seen);
  struct step ready = { READY, 9, 1 };
  const unsigned room = 8; /* 2 slots, and 6 in the queue */
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
  take_step (p, 5, &ready);
  for (unsigned i = 0; i <= room; i++)
    {
      first.key.src_port = (uint16_t)(1024 + i);
      bl_passthrough_link (p, 10, balancer, &link, &first,
                           (const uint8_t *)&first, sizeof first);
    }
  assert_int_equal (seen.delivered, room);
  assert_int_equal (seen.last.reason, BL_REASON_FULL);
  request.key.src_port = answer.key.src_port = 1024;
  bl_passthrough_link (p, 20, balancer, &link, &request,
                       (const uint8_t *)&request, sizeof request);
  bl_passthrough_outgoing (p, 30, &answer, (const uint8_t *)&answer,
                           sizeof answer);
  bl_passthrough_link (p, 40, balancer, &link, &first, (const uint8_t *)&first,
                       sizeof first);
  assert_int_equal (seen.delivered, room + 2);
  bl_passthrough_free (p);
}

static enum bl_link_type
ask (struct bl_passthrough *p, struct seen *seen, uint64_t now)
{
  struct bl_link_msg link
      = { .type = BL_LINK_OWNER_QUERY, .key = key, .ack = ASK_ACK };

  bl_passthrough_link (p, now, balancer, &link, NULL, NULL, 0);
  return seen->last.type;
}

/* Who may deny a flow that it does not know: an agent that would have seen it.
 */
static void
test_who_may_deny (void **state)
{
  static const struct
  {
    const char *name;
    struct step step;
    uint64_t now;
    enum bl_link_type want;
  } cases[] = {
    { "its server is older",
      { READY, INCARNATION - 60000, 1 },
      10,
      BL_LINK_INCOMPLETE },
    { "its server's start is not known",
      { ALIVE, 0, 0 },
      10,
      BL_LINK_INCOMPLETE },
    { "both started together",
      { READY, INCARNATION - 300, 1 },
      10,
      BL_LINK_NOT_OWNED },
    { "its server is younger",
      { READY, INCARNATION + 10, 1 },
      10,
      BL_LINK_NOT_OWNED },
    { "its server's clock was ahead",
      { READY, INCARNATION + 20000, 30 },
      10,
      BL_LINK_INCOMPLETE },
    { "the clock was set back by its server's age",
      { READY, INCARNATION, 6 },
      10,
      BL_LINK_INCOMPLETE },
    { "its server's heartbeats could not come while it started",
      { READY, INCARNATION - 300, 2 },
      10,
      BL_LINK_NOT_OWNED },
    { "there is no server", { GONE, 0, 0 }, 10, BL_LINK_NOT_OWNED },
    { "all flows have shown themselves",
      { READY, INCARNATION - 60000, 1 },
      20000,
      BL_LINK_NOT_OWNED },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct seen seen = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&seen);
      take_step (p, 5, &cases[i].step);
      if (ask (p, &seen, cases[i].now) != cases[i].want)
        fail_msg ("%s", cases[i].name);
      bl_passthrough_free (p);
    }
}

/* A server starts again while the clock is set back: its start seems earlier
   than that of the one before.  It is told from a late heartbeat by going on
   while the other is silent.  */
static void
test_start_with_clock_set_back (void **state)
{
  static const struct
  {
    const char *name;
    uint64_t first_ms; /* when heartbeats of the earlier start come */
    uint64_t second_ms;
    uint64_t other_ms; /* last heartbeat of the later start */
    int want;          /* of the second */
  } cases[] = {
    { "goes on alone", 5000, 6000, 1000, BL_OK },
    { "two late ones at once", 5000, 5001, 1000, BL_ESTALE },
    { "the other goes on", 5000, 6000, 5500, BL_ESTALE },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct seen seen = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&seen);
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

/* An agent that started after its server cannot tell whether that holds a flow.
   The server's answer does, and whoever offered the packet is told; a packet
   that comes back leaves nothing behind.  */
static void
test_server_answers_after_restart (void **state)
{
  struct bl_packet p
      = { .key = { 1, 2, 3, 4 }, .flags = BL_TCP_ACK, .payload_len = 10 };
  struct bl_link_msg link = { .type = BL_LINK_PACKET, .key = { 1, 2, 3, 4 } };
  struct step older = { READY, INCARNATION - 60000, 50 };

  (void)state;
  for (int holds = 0; holds < 2; holds++)
    {
      struct seen seen = { .delivered = 0 };
      struct bl_passthrough *agent = new_agent (&seen);
      take_step (agent, 5, &older);
      link.service = bl_name_hash (&bl_passthrough_record (agent)->service, 0);
      bl_passthrough_link (agent, 10, (struct bl_addr){ 9, 1 }, &link, &p,
                           (const uint8_t *)&p, sizeof p);
      assert_int_equal (seen.delivered, 1);
      assert_int_equal (bl_passthrough_busy (agent), 0);
      if (holds)
        bl_passthrough_outgoing (agent, 30, &p, (const uint8_t *)&p, sizeof p);
      else
        bl_passthrough_returned (agent, 12, &p, 1, (const uint8_t *)&p,
                                 sizeof p);
      assert_int_equal (seen.last.type,
                        holds ? BL_LINK_OWNED : BL_LINK_UNKNOWN_FLOW);
      assert_int_equal (bl_passthrough_flow_count (agent), (size_t)holds);
      bl_passthrough_free (agent);
    }
}

/* A record of a later start for the own address is held elsewhere: from before
   the clock was set back, or of an instance that was at the address.  */
static void
test_outdoes_later_start (void **state)
{
  static const struct
  {
    const char *name;
    uint64_t held;
    uint64_t want;
  } cases[] = {
    { "an older one", INCARNATION - 1, INCARNATION },
    { "the own one", INCARNATION, INCARNATION },
    { "a later one", INCARNATION + 7000, INCARNATION + 7001 },
    { "one that nothing can outdo", UINT64_MAX, INCARNATION },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct seen seen = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&seen);
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

/* What an agent is asked before its first tick, it cannot know either.  */
static void
test_asked_before_first_tick (void **state)
{
  struct seen seen = { .delivered = 0 };
  struct bl_passthrough *p = new_agent_without_tick (&seen);
  struct step ready = { READY, INCARNATION - 60000, 1 };

  (void)state;
  take_step (p, 50000, &ready);
  assert_int_equal (ask (p, &seen, 50001), BL_LINK_INCOMPLETE);
  bl_passthrough_free (p);
}

/* A flow is known by what its server sends, also after a restart of the
   agent; what the server returns is told with the packet.  */
static void
test_flows (void **state)
{
  struct seen seen = { .delivered = 0 };
  struct bl_passthrough *p = new_agent (&seen);
  struct bl_packet out = {
    .key = key,
    .flags = BL_TCP_ACK,
    .seq = ASK_ACK,
    .payload_len = 1,
  };
  struct step ready = { READY, INCARNATION - 60000, 1 };

  (void)state;
  take_step (p, 5, &ready);
  assert_int_equal (ask (p, &seen, 10), BL_LINK_INCOMPLETE);
  bl_passthrough_outgoing (p, 20, &out, (const uint8_t *)&out, sizeof out);
  assert_int_equal (ask (p, &seen, 30), BL_LINK_OWNED);
  send_to_agent (p, 40, "s", BL_TCP_ACK);
  assert_int_equal (seen.delivered, 1);
  bl_passthrough_returned (p, 50, &out, 1, (const uint8_t *)&out, sizeof out);
  assert_int_equal (seen.last.type, BL_LINK_UNKNOWN_FLOW);
  assert_int_equal (bl_passthrough_flow_count (p), 0);
  bl_passthrough_free (p);
}

/* A port is used again: the flow held here is not the one that is asked for. */
static void
test_port_used_again (void **state)
{
  struct seen seen = { .delivered = 0 };
  struct bl_passthrough *p = new_agent (&seen);
  struct bl_packet out = {
    .key = key,
    .flags = BL_TCP_ACK,
    .seq = ASK_ACK + 0x40000000,
    .payload_len = 1,
  };
  struct step ready = { READY, INCARNATION + 10, 1 };

  (void)state;
  take_step (p, 5, &ready);
  bl_passthrough_outgoing (p, 20, &out, (const uint8_t *)&out, sizeof out);
  assert_int_equal (ask (p, &seen, 30), BL_LINK_NOT_OWNED);
  bl_passthrough_free (p);
}

/* Silence leads to a connection attempt, not to a verdict.  */
static void
test_silence_is_checked (void **state)
{
  struct seen seen = { .delivered = 0 };
  struct bl_passthrough *p = new_agent (&seen);
  struct step ready = { READY, 9, 1 };
  unsigned before;

  (void)state;
  take_step (p, 5, &ready);
  before = seen.checks;
  send_to_agent (p, 100, "s", BL_TCP_SYN);
  bl_passthrough_tick (p, 200);
  assert_int_equal (seen.checks, before);
  bl_passthrough_tick (p, 400);
  assert_int_equal (seen.checks, before + 1);
  assert_int_equal (bl_passthrough_record (p)->state, BL_STATE_READY);
  bl_passthrough_free (p);
}

/* A server that returns a flow that it held may have crashed: it is checked at
   once, not when its heartbeats have been missed.  */
static void
test_returned_flow_is_checked (void **state)
{
  struct seen seen = { .delivered = 0 };
  struct bl_passthrough *p = new_agent (&seen);
  struct bl_packet out = { .key = key, .flags = BL_TCP_ACK, .payload_len = 1 };
  struct step ready = { READY, INCARNATION + 10, 1 };
  unsigned before;

  (void)state;
  take_step (p, 5, &ready);
  bl_passthrough_outgoing (p, 20, &out, (const uint8_t *)&out, sizeof out);
  before = seen.checks;
  bl_passthrough_returned (p, 500, &out, 0, (const uint8_t *)&out, sizeof out);
  bl_passthrough_tick (p, 520);
  assert_int_equal (seen.checks, before + 1);
  bl_passthrough_free (p);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_states),
    cmocka_unit_test (test_first_packets),
    cmocka_unit_test (test_crowded),
    cmocka_unit_test (test_who_may_deny),
    cmocka_unit_test (test_start_with_clock_set_back),
    cmocka_unit_test (test_server_answers_after_restart),
    cmocka_unit_test (test_outdoes_later_start),
    cmocka_unit_test (test_asked_before_first_tick),
    cmocka_unit_test (test_flows),
    cmocka_unit_test (test_port_used_again),
    cmocka_unit_test (test_silence_is_checked),
    cmocka_unit_test (test_returned_flow_is_checked),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
