/* test_handover.c -- the flow table that a pass-through agent leaves to its
   next process

   Two processes of an agent run one after the other.  The flows of the first
   must be claimed by the second, which may deny all others only if the table is
   that of the process before it.  */

#include "core/msg.h"
#include "test/single_agent.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define FIRST     100000 /* incarnation of the first process */
#define SECOND    200000
#define BETWEEN   150000
#define ERA       3
#define OPEN_PORT 1024 /* a flow whose sequence numbers are known */
#define NEW_PORT  1025 /* a flow that the server has not accepted yet */
#define FREE_PORT 1026 /* no flow */
#define OPEN_ACK  51
#define RUN_MS    30000 /* of a first process that has seen all flows */
#define STOPPED   (RUN_MS + 700) /* when the second one starts */
#define RUN_MS    30000 /* of a first process that has seen all flows */
#define STOPPED   (RUN_MS + 700) /* when the second one starts */

static const struct bl_addr balancer = { .ip = 9, .port = 1 };

static struct bl_passthrough *
new_agent_that (struct observed *observed,
                uint64_t incarnation,
                uint64_t now,
                bool has_store)
{
  struct bl_passthrough_settings settings = {
    .self = { .kind = BL_KIND_BACKEND, .incarnation = incarnation },
    .heartbeat_ms = 1000,
    .has_store = has_store,
  };
  struct bl_passthrough *p;

  bl_name_set (&settings.self.id, bl_str_of ("a"));
  bl_name_set (&settings.self.service, bl_str_of ("s"));
  p = bl_passthrough_new (&settings, &single_agent_ops, observed);
  bl_passthrough_tick (p, now);
  return p;
}

static struct bl_passthrough *
new_agent (struct observed *observed, uint64_t incarnation, uint64_t now)
{
  return new_agent_that (observed, incarnation, now, false);
}

static void
send_heartbeat (struct bl_passthrough *p, uint64_t now, uint64_t start)
{
  struct bl_heartbeat b = { .slots = 2, .backend_start = start, .seq = 1 };

  bl_name_set (&b.id, bl_str_of ("i"));
  bl_name_set (&b.service, bl_str_of ("s"));
  bl_passthrough_heartbeat (p, now, &b);
}

static struct bl_flow_key
key_of (uint16_t port)
{
  return (struct bl_flow_key){ 0x64400001, 0xc6120001, port, 443 };
}

/* Sends a packet of the server with payload, after which callers acknowledge
   ACK.  */
static void
send_numbers_from_server (struct bl_passthrough *p,
                          uint64_t now,
                          uint16_t port,
                          uint32_t ack)
{
  struct bl_packet out = {
    .key = key_of (port), .flags = BL_TCP_ACK, .seq = ack - 1, .payload_len = 1
  };

  bl_passthrough_outgoing (p, now, &out, (const uint8_t *)&out, sizeof out);
}

static void
send_from_server (struct bl_passthrough *p, uint64_t now, uint16_t port)
{
  send_numbers_from_server (p, now, port, OPEN_ACK);
}

static void
open_flow (struct bl_passthrough *p, uint64_t now, uint16_t port)
{
  struct bl_packet first
      = { .key = key_of (port), .flags = BL_TCP_SYN, .seq = 7 };
  struct bl_link_msg link = { .type = BL_LINK_PACKET, .key = key_of (port) };
  struct bl_name service;

  bl_name_set (&service, bl_str_of ("s"));
  link.service = bl_name_hash (&service, 0);
  bl_passthrough_link (p, now, balancer, &link, &first, (const uint8_t *)&first,
                       sizeof first);
}

static enum bl_link_type
query (struct bl_passthrough *p,
       struct observed *observed,
       uint64_t now,
       uint16_t port,
       uint32_t ack,
       uint64_t incarnation)
{
  struct bl_link_msg link = {
    .type = BL_LINK_OWNER_QUERY,
    .key = key_of (port),
    .ack = ack,
    .incarnation = incarnation,
  };

  bl_passthrough_link (p, now, balancer, &link, NULL, NULL, 0);
  return observed->last.type;
}

static void
request_status (struct bl_passthrough *p, uint64_t now, uint64_t incarnation)
{
  struct bl_buffer buffer = { .len = 0 };
  struct bl_msg msg
      = { .type = BL_MSG_STATUS_QUERY, .incarnation = incarnation };

  bl_name_set (&msg.from, bl_str_of ("b"));
  assert_int_equal (bl_msg_encode (&msg, &buffer), BL_OK);
  bl_passthrough_message (p, now, balancer, buffer.ptr, buffer.len);
  bl_buffer_free (&buffer);
}

/* Runs the first process until it has run for RUN_MS, and returns what it
   leaves as text.  */
static char *
run_first (uint64_t run_ms)
{
  struct observed observed = { .delivered = 0 };
  struct bl_passthrough *p = new_agent (&observed, FIRST, 1);
  struct bl_handover handover;
  char *text;

  send_heartbeat (p, 5, FIRST - 60000);
  open_flow (p, 10, OPEN_PORT);
  open_flow (p, 10, NEW_PORT);
  send_from_server (p, 20, OPEN_PORT);
  send_from_server (p, run_ms - 10, OPEN_PORT);
  open_flow (p, run_ms - 10, NEW_PORT);
  bl_passthrough_stop (p, run_ms);
  assert_int_equal (bl_passthrough_hand_over (p, run_ms, &handover), BL_OK);
  handover.store_era = ERA;
  text = bl_handover_format (&handover);
  assert_non_null (text);
  bl_handover_clear (&handover);
  bl_passthrough_free (p);
  return text;
}

/* What the second process does and hears before it is queried.  */
static const struct
{
  const char *name;
  uint64_t run_ms;   /* of the first process */
  int64_t gap_ms;    /* until the second one starts, by the steady clock */
  uint64_t previous; /* incarnation in the store's record */
  uint64_t store_era;
  uint64_t between; /* incarnation in a balancer's status request; 0: none */
  uint64_t known;   /* incarnation in the query */
  uint16_t port;
  uint32_t ack;
  uint64_t now; /* of the query, after the start */
  enum bl_link_type want;
} cases[] = {
  { "a flow of the table", RUN_MS, 700, FIRST, ERA, 0, 0, OPEN_PORT, OPEN_ACK,
    10, BL_LINK_OWNED },
  { "no flow", RUN_MS, 700, FIRST, ERA, 0, 0, FREE_PORT, OPEN_ACK, 10,
    BL_LINK_NOT_OWNED },
  { "a flow that was being accepted", RUN_MS, 700, FIRST, ERA, 0, 0, NEW_PORT,
    800, 10, BL_LINK_INCOMPLETE },
  { "other numbers", RUN_MS, 700, FIRST, ERA, 0, 0, OPEN_PORT, 1u << 30, 10,
    BL_LINK_INCOMPLETE },
  { "a table of an earlier process", RUN_MS, 700, FIRST + 1, ERA, 0, 0,
    FREE_PORT, OPEN_ACK, 10, BL_LINK_INCOMPLETE },
  { "no record in the store", RUN_MS, 700, 0, ERA, 0, 0, FREE_PORT, OPEN_ACK,
    10, BL_LINK_INCOMPLETE },
  { "a store that was restored since", RUN_MS, 700, FIRST, ERA + 1, 0, 0,
    FREE_PORT, OPEN_ACK, 10, BL_LINK_INCOMPLETE },
  { "a balancer knew a process in between", RUN_MS, 700, FIRST, ERA, BETWEEN, 0,
    FREE_PORT, OPEN_ACK, 10, BL_LINK_INCOMPLETE },
  { "the balancer that asks knew it", RUN_MS, 700, FIRST, ERA, 0, BETWEEN,
    FREE_PORT, OPEN_ACK, 10, BL_LINK_INCOMPLETE },
  { "balancers know the first and this one", RUN_MS, 700, FIRST, ERA, FIRST,
    SECOND, FREE_PORT, OPEN_ACK, 10, BL_LINK_NOT_OWNED },
  { "no time for a process in between", RUN_MS, 1499, FIRST, ERA, 0, 0,
    FREE_PORT, OPEN_ACK, 10, BL_LINK_NOT_OWNED },
  { "time for one that left no trace", RUN_MS, 1500, FIRST, ERA, 0, 0,
    FREE_PORT, OPEN_ACK, 10, BL_LINK_INCOMPLETE },
  { "the same, and a flow of the table", RUN_MS, 1500, FIRST, ERA, 0, 0,
    OPEN_PORT, OPEN_ACK, 10, BL_LINK_OWNED },
  { "the machine was restarted", RUN_MS, -1, FIRST, ERA, 0, 0, FREE_PORT,
    OPEN_ACK, 10, BL_LINK_INCOMPLETE },
  { "the first had not seen all flows", 7000, 700, FIRST, ERA, 0, 0, FREE_PORT,
    OPEN_ACK, 9000, BL_LINK_INCOMPLETE },
  { "both together have, but for the time between", 7000, 700, FIRST, ERA, 0, 0,
    FREE_PORT, OPEN_ACK, 11000, BL_LINK_INCOMPLETE },
  { "the second has", 7000, 700, FIRST, ERA, 0, 0, FREE_PORT, OPEN_ACK, 17000,
    BL_LINK_NOT_OWNED },
};

/* Guards against agents that know no flow after a planned restart, so that
   packets of open flows are sent to other servers, and against the reset of
   flows that are missing in a table of another process.  */
static void
test_second_process (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct observed observed = { .delivered = 0 };
      uint64_t start = (uint64_t)((int64_t)cases[i].run_ms + cases[i].gap_ms);
      struct bl_passthrough *p = new_agent (&observed, SECOND, start);
      char *text = run_first (cases[i].run_ms);
      struct bl_handover handover;
      enum bl_link_type got;
      assert_int_equal (bl_handover_parse (&handover, text), BL_OK);
      assert_int_equal (handover.count, 2);
      send_heartbeat (p, start + 1, FIRST - 60000);
      assert_int_equal (query (p, &observed, start + 2, FREE_PORT, OPEN_ACK, 0),
                        BL_LINK_INCOMPLETE);
      bl_passthrough_take_over (p, start + 5, &handover, cases[i].previous,
                                cases[i].store_era);
      if (cases[i].between != 0)
        request_status (p, start + 6, cases[i].between);
      got = query (p, &observed, start + cases[i].now, cases[i].port,
                   cases[i].ack, cases[i].known);
      if (got != cases[i].want)
        fail_msg ("%s: %d", cases[i].name, (int)got);
      bl_handover_clear (&handover);
      bl_passthrough_free (p);
      free (text);
    }
}

/* Once the server has sent a packet of a flow, its numbers are known for
   certain, and other ones belong to another flow of the same port.  The table
   may be of an earlier flow: its numbers must not outlive that packet.  */
static const struct
{
  const char *name;
  uint32_t sent_seq; /* end of the server's packet */
  uint32_t ack;
  enum bl_link_type want;
} confirmed[] = {
  { "the flow of the table", OPEN_ACK, OPEN_ACK, BL_LINK_OWNED },
  { "another one", OPEN_ACK, 1u << 30, BL_LINK_NOT_OWNED },
  { "numbers above the table's", 1u << 30, 1u << 30, BL_LINK_OWNED },
  { "numbers below the table's", 3u << 30, 3u << 30, BL_LINK_OWNED },
  { "the flow of the table has ended", 3u << 30, OPEN_ACK, BL_LINK_NOT_OWNED },
};

static void
test_server_confirms_flow (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof confirmed / sizeof confirmed[0]; i++)
    {
      struct observed observed = { .delivered = 0 };
      struct bl_passthrough *p = new_agent (&observed, SECOND, STOPPED);
      char *text = run_first (RUN_MS);
      struct bl_handover handover;
      enum bl_link_type got;
      assert_int_equal (bl_handover_parse (&handover, text), BL_OK);
      send_heartbeat (p, STOPPED + 1, FIRST - 60000);
      assert_true (
          bl_passthrough_take_over (p, STOPPED + 5, &handover, FIRST, ERA));
      send_numbers_from_server (p, STOPPED + 10, OPEN_PORT,
                                confirmed[i].sent_seq);
      got = query (p, &observed, STOPPED + 20, OPEN_PORT, confirmed[i].ack, 0);
      if (got != confirmed[i].want)
        fail_msg ("%s: %d", confirmed[i].name, (int)got);
      bl_handover_clear (&handover);
      bl_passthrough_free (p);
      free (text);
    }
}

/* Guards against probes of all flows that wait for an agent which is back but
   has not read the store yet: a query that it cannot decide is answered when it
   has, or after 300 ms.  */
static const struct
{
  const char *name;
  bool left;           /* the process before left a table */
  uint64_t settled_ms; /* the store was read; 0: not */
  uint64_t silent_ms;  /* no answer until then */
  uint64_t answer_ms;  /* an answer by then */
  enum bl_link_type want;
} waits[] = {
  { "the table arrives", true, 49, 48, 49, BL_LINK_NOT_OWNED },
  { "there is none", false, 49, 48, 49, BL_LINK_INCOMPLETE },
  { "the store does not answer", false, 0, 289, 329, BL_LINK_INCOMPLETE },
};

static void
test_undecided_query_waits (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof waits / sizeof waits[0]; i++)
    {
      struct observed observed = { .delivered = 0 };
      struct bl_passthrough *p
          = new_agent_that (&observed, SECOND, STOPPED, true);
      char *text = run_first (RUN_MS);
      struct bl_handover handover;
      assert_int_equal (bl_handover_parse (&handover, text), BL_OK);
      send_heartbeat (p, STOPPED + 1, FIRST - 60000);
      assert_int_equal (
          query (p, &observed, STOPPED + 2, FREE_PORT, OPEN_ACK, 0), 0);
      for (uint64_t ms = 9; ms <= waits[i].answer_ms; ms += 10)
        {
          uint64_t now = STOPPED + ms;
          if (ms == waits[i].settled_ms && waits[i].left)
            bl_passthrough_take_over (p, now, &handover, FIRST, ERA);
          if (ms == waits[i].settled_ms)
            bl_passthrough_settle_handover (p, now);
          bl_passthrough_tick (p, now);
          if (ms <= waits[i].silent_ms)
            assert_int_equal (observed.last.type, 0);
        }
      if (observed.last.type != waits[i].want)
        fail_msg ("%s: %d", waits[i].name, (int)observed.last.type);
      bl_handover_clear (&handover);
      bl_passthrough_free (p);
      free (text);
    }
}

/* An agent whose server has left has nothing to hand over.  */
static void
test_nothing_to_hand_over (void **state)
{
  struct observed observed = { .delivered = 0 };
  struct bl_passthrough *p = new_agent (&observed, FIRST, 1);
  struct bl_handover handover;
  struct bl_name id;

  (void)state;
  bl_name_set (&id, bl_str_of ("i"));
  send_heartbeat (p, 2, FIRST - 60000);
  bl_passthrough_leave (p, 3, &id);
  assert_int_equal (bl_passthrough_hand_over (p, 4, &handover), BL_ENOTFOUND);
  bl_passthrough_free (p);
}

#define FLOW "6440000112340001040001bb0000000700000033"

static const struct
{
  const char *name;
  const char *text;
  int want;
} texts[] = {
  { "two flows",
    "{\"incarnation\":5,\"store_era\":0,\"incomplete_ms\":0,\"flows\":\"" FLOW
    "3" FLOW "0\"}",
    BL_OK },
  { "no flows",
    "{\"incarnation\":5,\"store_era\":0,\"incomplete_ms\":0,\"flows\":\"\"}",
    BL_OK },
  { "a digit is missing",
    "{\"incarnation\":5,\"store_era\":0,\"incomplete_ms\":0,\"flows\":\"" FLOW
    "\"}",
    BL_EFORMAT },
  { "another character",
    "{\"incarnation\":5,\"store_era\":0,\"incomplete_ms\":0,\"flows\":\"" FLOW
    "g\"}",
    BL_EFORMAT },
  { "an unknown flag",
    "{\"incarnation\":5,\"store_era\":0,\"incomplete_ms\":0,\"flows\":\"" FLOW
    "8\"}",
    BL_EFORMAT },
  { "a negative time",
    "{\"incarnation\":5,\"store_era\":0,\"incomplete_ms\":-1,\"flows\":\"\"}",
    BL_EFORMAT },
  { "no era", "{\"incarnation\":5,\"incomplete_ms\":0,\"flows\":\"\"}",
    BL_EFORMAT },
  { "flows of another type",
    "{\"incarnation\":5,\"store_era\":0,\"incomplete_ms\":0,\"flows\":7}",
    BL_EFORMAT },
  { "no object", "[]", BL_EFORMAT },
  { "no JSON", "{", BL_EFORMAT },
};

/* Guards against a table that another writer left, or half of one.  */
static void
test_texts (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      struct bl_handover handover;
      int err = bl_handover_parse (&handover, texts[i].text);
      if (err != texts[i].want)
        fail_msg ("%s: %d", texts[i].name, err);
      bl_handover_clear (&handover);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_second_process),
    cmocka_unit_test (test_server_confirms_flow),
    cmocka_unit_test (test_undecided_query_waits),
    cmocka_unit_test (test_nothing_to_hand_over),
    cmocka_unit_test (test_texts),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
