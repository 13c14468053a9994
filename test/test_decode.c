/* test_decode.c -- decoders reject malformed input with the right error, and
   none crashes on it

   Tables of packets, forwarding headers, messages and services with one fault
   each, then a bounded fuzz run, from a fixed seed, of each decoder.  */

#include "core/bounds.h"
#include "core/edit.h"
#include "core/msg.h"
#include "core/root.h"
#include "test/fake.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define SEED        77
#define FUZZ_ROUNDS 20000

static const struct bl_flow_key flow
    = { 0x0a000001u, FAKE_SERVICE_IP, 1234, FAKE_PORT };

/* -- packets -- */

/* Each case changes one byte of a valid packet of 60 bytes, or cuts it.  */
static const struct
{
  const char *name;
  size_t len; /* 0: the whole packet */
  size_t at;
  uint8_t byte;
  int expected;
} packets[] = {
  { "good", 0, 0, 0x45, BL_OK },
  { "one byte", 1, 0, 0x45, BL_ESHORT },
  { "cut in the IP header", 19, 0, 0x45, BL_ESHORT },
  { "cut in the TCP header", 39, 0, 0x45, BL_ESHORT },
  { "cut in the payload", 59, 0, 0x45, BL_ESHORT },
  { "IPv6", 0, 0, 0x65, BL_EFORMAT },
  { "IP header too short", 0, 0, 0x44, BL_EFORMAT },
  { "IP options beyond the end", 0, 0, 0x4f, BL_ESHORT },
  { "total length too long", 0, 3, 200, BL_ESHORT },
  { "total length too short", 0, 3, 30, BL_ESHORT },
  { "a fragment", 0, 6, 0x20, BL_EFORMAT },
  { "a later fragment", 0, 7, 0x01, BL_EFORMAT },
  { "UDP", 0, 9, 17, BL_EFORMAT },
  { "IP checksum", 0, 10, 0xee, BL_ECHECKSUM },
  { "source changed", 0, 12, 0xee, BL_ECHECKSUM },
  { "TCP offset too small", 0, 32, 0x40, BL_EFORMAT },
  { "TCP offset too large", 0, 32, 0xf0, BL_EFORMAT },
  { "TCP checksum", 0, 36, 0xee, BL_ECHECKSUM },
  { "payload changed", 0, 50, 'y', BL_ECHECKSUM },
};

static void
test_packets (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof packets / sizeof packets[0]; i++)
    {
      uint8_t buf[64];
      struct bl_packet p;
      size_t len = fake_packet (buf, &flow, 1, 2, BL_TCP_ACK, 20);
      int err;
      buf[packets[i].at] = packets[i].byte;
      err = bl_packet_parse (&p, buf, packets[i].len ? packets[i].len : len);
      if (err != packets[i].expected)
        print_error ("%s: %s\n", packets[i].name, bl_strerror (err));
      assert_int_equal (err, packets[i].expected);
    }
}

/* A reset must itself be a valid packet, with the sequence numbers that make
   the caller accept it.  */
static void
test_resets (void **state)
{
  static const struct
  {
    uint8_t flags;
    size_t payload;
    uint32_t seq;
    uint32_t ack;
    uint8_t answer_flags; /* 0: no answer */
    uint32_t answer_seq;
    uint32_t answer_ack;
  } cases[] = {
    { BL_TCP_SYN, 0, 100, 0, BL_TCP_RST | BL_TCP_ACK, 0, 101 },
    { BL_TCP_ACK, 20, 100, 700, BL_TCP_RST, 700, 0 },
    { BL_TCP_ACK | BL_TCP_FIN, 0, 100, 700, BL_TCP_RST, 700, 0 },
    { BL_TCP_FIN, 20, 100, 0, BL_TCP_RST | BL_TCP_ACK, 0, 121 },
    { BL_TCP_RST, 0, 100, 0, 0, 0, 0 },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      uint8_t buf[64];
      uint8_t reset[BL_RESET_LEN];
      struct bl_packet p;
      struct bl_packet r;
      size_t len = fake_packet (buf, &flow, cases[i].seq, cases[i].ack,
                                cases[i].flags, cases[i].payload);
      assert_int_equal (bl_packet_parse (&p, buf, len), BL_OK);
      len = bl_packet_reset (&p, reset);
      assert_int_equal (len, cases[i].answer_flags ? BL_RESET_LEN : 0);
      if (len == 0)
        continue;
      assert_int_equal (bl_packet_parse (&r, reset, len), BL_OK);
      assert_int_equal (r.flags, cases[i].answer_flags);
      assert_int_equal (r.seq, cases[i].answer_seq);
      assert_int_equal (r.ack, cases[i].answer_ack);
      assert_int_equal (r.key.dst_port, flow.src_port);
    }
}

/* -- forwarding headers -- */

static struct bl_forward
largest_header (void)
{
  struct bl_forward f = {
    .service = UINT32_MAX,
    .target_incarnation = UINT64_MAX,
    .hops = 7,
    .placed = true,
    .to_owner = true,
    .primary_hop = { { UINT32_MAX, UINT16_MAX }, UINT64_MAX },
    .fallback_count = BL_FALLBACKS_MAX,
  };

  for (size_t i = 0; i < BL_FALLBACKS_MAX; i++)
    f.fallback_hops[i]
        = (struct bl_hop){ { UINT32_MAX, UINT16_MAX }, UINT64_MAX };
  return f;
}

static void
test_headers (void **state)
{
  struct bl_forward f = largest_header ();
  struct bl_forward back;
  uint8_t buf[BL_FORWARD_MAX];
  size_t len = bl_forward_encode (&f, buf);

  (void)state;
  assert_true (len < BL_FORWARD_MAX);
  assert_int_equal (bl_forward_decode (&back, buf, len), (int)len);
  assert_int_equal (back.fallback_count, BL_FALLBACKS_MAX);
  assert_true (back.fallback_hops[3].incarnation == UINT64_MAX);
  for (size_t cut = 0; cut < len; cut++)
    assert_int_equal (bl_forward_decode (&back, buf, cut), BL_ESHORT);
  buf[1] = BL_FORWARD_VERSION + 1;
  assert_int_equal (bl_forward_decode (&back, buf, len), BL_EVERSION);
  buf[0] = 0x91;
  buf[1] = BL_FORWARD_VERSION;
  assert_int_equal (bl_forward_decode (&back, buf, len), BL_EFORMAT);
  buf[0] = 0xc0;
  assert_int_equal (bl_forward_decode (&back, buf, len), BL_EFORMAT);
}

/* -- msgpack counts beyond the end of the input -- */

static const struct
{
  const char *name;
  size_t len;
  uint8_t bytes[12];
  int expected;
} msgpack_inputs[] = {
  { "nil", 1, { 0xc0 }, BL_OK },
  { "empty", 0, { 0 }, BL_ESHORT },
  { "a small array", 3, { 0x92, 0x01, 0x02 }, BL_OK },
  { "an array of 4G", 5, { 0xdd, 0xff, 0xff, 0xff, 0xff }, BL_ESHORT },
  { "an array of 64K", 3, { 0xdc, 0xff, 0xff }, BL_ESHORT },
  { "a map of 4G", 5, { 0xdf, 0xff, 0xff, 0xff, 0xff }, BL_ESHORT },
  { "a text of 4G", 5, { 0xdb, 0xff, 0xff, 0xff, 0xff }, BL_ESHORT },
  { "bytes of 4G", 5, { 0xc6, 0xff, 0xff, 0xff, 0xff }, BL_ESHORT },
  { "a number cut short", 4, { 0xcf, 0x00, 0x00, 0x00 }, BL_ESHORT },
  { "an extension", 3, { 0xd4, 0x00, 0x00 }, BL_EFORMAT },
  { "an unassigned byte", 1, { 0xc1 }, BL_EFORMAT },
  { "nested too deeply",
    8,
    { 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x01 },
    BL_EFORMAT },
};

static void
test_msgpack_bounds (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof msgpack_inputs / sizeof msgpack_inputs[0]; i++)
    {
      int err
          = bl_msgpack_check (msgpack_inputs[i].bytes, msgpack_inputs[i].len);
      if (err != msgpack_inputs[i].expected)
        print_error ("%s: %s\n", msgpack_inputs[i].name, bl_strerror (err));
      assert_int_equal (err, msgpack_inputs[i].expected);
    }
}

/* -- messages -- */

static void
make_message (struct bl_msg *msg,
              struct bl_record *record,
              struct bl_str *service)
{
  *record = (struct bl_record){
    .kind = BL_KIND_BACKEND,
    .state = BL_STATE_READY,
    .ip = 1,
    .data_port = 2,
    .incarnation = 3,
    .seq = 4,
    .slots = 5,
    .remotely_monitored = true,
  };
  bl_name_set (&record->id, bl_str_of ("s1"));
  bl_name_set (&record->dc, bl_str_of ("dc1"));
  bl_name_set (&record->service, bl_str_of ("web"));
  *service = bl_str_of ("{}");
  *msg = (struct bl_msg){
    .type = BL_MSG_VIEW,
    .seq = 6,
    .affirmative = true,
    .flow = flow,
    .record_count = 1,
    .records = record,
    .service_count = 1,
    .services = service,
    .dcs_without_balancers = { .count = 1, .items = { record->dc } },
  };
  bl_name_set (&msg->from, bl_str_of ("b1"));
}

static void
test_messages (void **state)
{
  struct bl_record record;
  struct bl_str service;
  struct bl_msg msg;
  struct bl_msg back;
  struct bl_buffer buffer = { .len = 0 };
  struct bl_service **services;

  (void)state;
  make_message (&msg, &record, &service);
  assert_int_equal (bl_msg_encode (&msg, &buffer), BL_OK);
  assert_int_equal (bl_msg_decode (&back, buffer.ptr, buffer.len), BL_OK);
  assert_int_equal (back.record_count, 1);
  assert_true (back.records[0].remotely_monitored);
  assert_true (bl_flow_key_equal (&back.flow, &flow));
  assert_int_equal (back.dcs_without_balancers.count, 1);
  assert_int_equal (bl_msg_parse_services (&back, &services), BL_EFORMAT);
  bl_msg_clear (&back);
  for (size_t cut = 0; cut < buffer.len; cut++)
    assert_int_equal (bl_msg_decode (&back, buffer.ptr, cut), BL_ESHORT);
  /* The version follows the array's header, of three bytes.  */
  buffer.ptr[3] = BL_MSG_VERSION + 1;
  assert_int_equal (bl_msg_decode (&back, buffer.ptr, buffer.len), BL_EVERSION);
  bl_buffer_free (&buffer);
}

/* Each function makes one field of a message invalid.  */
static void
clear_sender (struct bl_msg *msg)
{
  msg->from.len = 0;
}

static void
clear_record_id (struct bl_msg *msg)
{
  msg->records[0].id.len = 0;
}

static void
set_unknown_state (struct bl_msg *msg)
{
  msg->records[0].state = BL_STATE_DEAD + 1;
}

static void
set_unknown_kind (struct bl_msg *msg)
{
  msg->records[0].kind = BL_KIND_BACKEND + 1;
}

static void
clear_service (struct bl_msg *msg)
{
  msg->records[0].service.len = 0;
}

static void
set_invalid_name (struct bl_msg *msg)
{
  msg->records[0].dc.s[0] = '/';
}

static void
set_unknown_type (struct bl_msg *msg)
{
  msg->type = BL_MSG_TYPE_END;
}

static void
set_short_buckets (struct bl_msg *msg)
{
  msg->buckets = bl_str_of ("seven b");
}

static const struct
{
  const char *name;
  void (*invalidate) (struct bl_msg *msg);
  int expected;
} invalid_messages[] = {
  { "no sender", clear_sender, BL_ERANGE },
  { "record without id", clear_record_id, BL_ERANGE },
  { "unknown state", set_unknown_state, BL_ERANGE },
  { "unknown kind", set_unknown_kind, BL_ERANGE },
  { "backend server without service", clear_service, BL_ERANGE },
  { "a name with a slash", set_invalid_name, BL_ERANGE },
  { "unknown type", set_unknown_type, BL_ERANGE },
  { "digests of another length", set_short_buckets, BL_EFORMAT },
};

static void
test_invalid_messages (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof invalid_messages / sizeof invalid_messages[0];
       i++)
    {
      struct bl_record record;
      struct bl_str service;
      struct bl_msg msg;
      struct bl_msg back;
      struct bl_buffer buffer = { .len = 0 };
      int err;
      make_message (&msg, &record, &service);
      invalid_messages[i].invalidate (&msg);
      assert_int_equal (bl_msg_encode (&msg, &buffer), BL_OK);
      err = bl_msg_decode (&back, buffer.ptr, buffer.len);
      if (err != invalid_messages[i].expected)
        print_error ("%s: %s\n", invalid_messages[i].name, bl_strerror (err));
      assert_int_equal (err, invalid_messages[i].expected);
      bl_buffer_free (&buffer);
    }
}

/* -- changes and services -- */

/* All faults of a change must be reported together, each with its place.  */
static const struct
{
  const char *json;
  size_t count;
  const char *place; /* of the first finding */
} changes[] = {
  { "[", 1, "change" },
  { "{}", 1, "change" },
  { "[]", 1, "change" },
  { "[7]", 1, "change[0]" },
  { "[{\"make\":{}}]", 1, "change[0]" },
  { "[{\"remove\":\"a b\"}]", 1, "change[0]" },
  { "[{\"rule\":{\"service\":\"web\",\"backend\":\"s1\"}}]", 1, "change[0]" },
  { "[{\"rule\":{\"service\":\"web\",\"dc\":\"d\",\"weight\":1001}}]", 1,
    "change[0]" },
  { "[{\"rule\":{\"service\":\"web\",\"dc\":\"d\",\"rank\":-1}}]", 1,
    "change[0]" },
  { "[{\"rule\":{\"service\":\"web\",\"dc\":\"d\",\"drain\":1}}]", 1,
    "change[0]" },
  { "[{\"remove\":\"web\"},{\"rule\":{\"weight\":\"x\"}}]", 3, "change[1]" },
  { "[{\"create\":{\"name\":\"w\",\"address\":\"1.2.3\",\"listeners\":[]}}]", 2,
    "change[0].address" },
  { "[{\"create\":{\"name\":\"w\",\"address\":\"1.2.3.4\",\"listeners\":"
    "[{\"port\":70000,\"class\":\"c\"}]}}]",
    1, "change[0].listeners[0].port" },
  { "[{\"create\":{\"name\":\"w\",\"address\":\"1.2.3.4\",\"listeners\":"
    "[{\"port\":7,\"class\":\"c\"},{\"port\":7,\"class\":\"c\"}]}}]",
    1, "change[0]" },
  { "[{\"create\":{\"name\":\"w\",\"address\":\"1.2.3.4\",\"colour\":1,"
    "\"listeners\":[{\"port\":7,\"class\":\"c\",\"prioriti\":1}]}}]",
    2, "change[0].colour" },
};

static void
test_invalid_edits (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof changes / sizeof changes[0]; i++)
    {
      struct bl_findings findings = { .count = 0 };
      struct bl_edit edits[BL_EDITS_MAX];
      size_t count;
      int err = bl_edits_from_json (edits, &count, bl_str_of (changes[i].json),
                                    &findings);
      if (findings.count != changes[i].count)
        print_error ("%s: %zu findings\n", changes[i].json, findings.count);
      assert_int_equal (err, BL_EFORMAT);
      assert_int_equal (findings.count, changes[i].count);
      assert_string_equal (findings.items[0].place, changes[i].place);
      bl_edits_clear (edits, count);
    }
}

/* -- fuzzing -- */

static size_t
mutate (struct bl_random *r, uint8_t *buf, size_t len)
{
  uint32_t edits = 1 + bl_random_below (r, 4);

  for (uint32_t i = 0; i < edits && len > 0; i++)
    buf[bl_random_below (r, (uint32_t)len)] = (uint8_t)bl_random_next (r);
  if (bl_random_below (r, 4) == 0)
    len = bl_random_below (r, (uint32_t)len + 1);
  return len;
}

/* Copies to the heap, so that a sanitizer detects reads beyond the end.  */
static uint8_t *
mutated_copy (struct bl_random *r, const uint8_t *good, size_t *len)
{
  uint8_t *copy = malloc (*len + 1);

  memcpy (copy, good, *len);
  *len = mutate (r, copy, *len);
  return realloc (copy, *len + 1);
}

static void
fuzz_decoder (struct bl_random *r,
              const uint8_t *good,
              size_t len,
              void (*decode) (const uint8_t *buf, size_t len))
{
  for (size_t i = 0; i < FUZZ_ROUNDS; i++)
    {
      size_t n = len;
      uint8_t *buf = mutated_copy (r, good, &n);
      decode (buf, n);
      free (buf);
    }
}

static void
decode_packet (const uint8_t *buf, size_t len)
{
  struct bl_packet p;
  bl_packet_parse (&p, buf, len);
}

static void
decode_header (const uint8_t *buf, size_t len)
{
  struct bl_forward f;
  int n = bl_forward_decode (&f, buf, len);
  assert_true (n < 0
               || ((size_t)n <= len && f.fallback_count <= BL_FALLBACKS_MAX));
}

static void
decode_message (const uint8_t *buf, size_t len)
{
  struct bl_msg msg;
  struct bl_service **services;

  if (bl_msg_decode (&msg, buf, len) != BL_OK)
    return;
  if (bl_msg_parse_services (&msg, &services) == BL_OK)
    bl_services_free (services, msg.service_count);
  bl_msg_clear (&msg);
}

static void
decode_root (const uint8_t *buf, size_t len)
{
  struct bl_findings findings = { .count = 0 };
  struct bl_root root;
  bl_root_parse (&root, (struct bl_str){ (const char *)buf, len }, &findings);
}

static void
decode_change (const uint8_t *buf, size_t len)
{
  struct bl_findings findings = { .count = 0 };
  struct bl_edit edits[BL_EDITS_MAX];
  size_t count;

  bl_edits_from_json (edits, &count, (struct bl_str){ (const char *)buf, len },
                      &findings);
  bl_edits_clear (edits, count);
}

static void
test_fuzz (void **state)
{
  struct bl_random r = { .state = SEED };
  struct bl_forward f = largest_header ();
  struct bl_root root = { .version = 3, .next_id = 4 };
  struct bl_buffer buffer = { .len = 0 };
  struct bl_record record;
  struct bl_str service;
  struct bl_msg msg;
  uint8_t buf[BL_FORWARD_MAX];
  const char *change
      = "[{\"create\":{\"name\":\"w\",\"address\":\"1.2.3.4\",\"listeners\":"
        "[{\"port\":7,\"class\":\"c\"}]}},{\"rule\":{\"service\":\"w\","
        "\"dc\":\"d\",\"weight\":7}}]";
  char *text;

  (void)state;
  fuzz_decoder (&r, buf, fake_packet (buf, &flow, 1, 2, BL_TCP_ACK, 20),
                decode_packet);
  fuzz_decoder (&r, buf, bl_forward_encode (&f, buf), decode_header);
  make_message (&msg, &record, &service);
  service = bl_str_of ("{\"id\":1,\"name\":\"w\",\"address\":\"1.2.3.4\","
                       "\"listeners\":[{\"port\":7,\"class\":\"c\"}]}");
  bl_msg_encode (&msg, &buffer);
  fuzz_decoder (&r, buffer.ptr, buffer.len, decode_message);
  bl_buffer_free (&buffer);
  bl_part_key (root.parts[1].key, bl_str_of ("x"));
  text = bl_root_format (&root);
  fuzz_decoder (&r, (uint8_t *)text, strlen (text), decode_root);
  free (text);
  fuzz_decoder (&r, (const uint8_t *)change, strlen (change), decode_change);
}

/* Input that a balancer or an agent rejects must be counted by its fault, and
   gets no answer.  */
static void
test_rejected_input_counted (void **state)
{
  struct fake *f = fake_new (SEED);
  struct fake_instance *b;
  struct fake_instance *s;
  struct bl_addr to;
  struct bl_forward forward;
  uint8_t buf[256];
  uint8_t packet[64];
  size_t len;
  size_t head;

  (void)state;
  fake_add_node (f, "b1", "dc1");
  fake_create_service (f, "web");
  fake_add_agent (f, "s1", "dc1", "web");
  fake_run (f, 6000);
  b = fake_instance (f, "b1");
  s = fake_instance (f, "s1");
  len = fake_packet (packet, &flow, 1, 2, BL_TCP_ACK, 0);
  assert_int_equal (bl_node_route (b->node, packet, len, &to, &forward), BL_OK);
  assert_int_equal (bl_node_route (b->node, packet, 5, &to, &forward),
                    BL_ESHORT);
  assert_int_equal (bl_node_counter (b->node, BL_NODE_BAD_PACKET), 1);
  head = bl_forward_encode (&forward, buf);
  memcpy (buf + head, packet, len);
  buf[head + 30]++;
  assert_int_equal (bl_agent_packet (s->agent, f->now, buf, head + len),
                    BL_ECHECKSUM);
  assert_int_equal (bl_agent_counter (s->agent, BL_AGENT_BAD_CHECKSUM), 1);
  forward.service++;
  head = bl_forward_encode (&forward, buf);
  memcpy (buf + head, packet, len);
  assert_int_equal (bl_agent_packet (s->agent, f->now, buf, head + len),
                    BL_ENOTFOUND);
  assert_int_equal (bl_agent_counter (s->agent, BL_AGENT_WRONG_SERVICE), 1);
  assert_int_equal (bl_agent_packet (s->agent, f->now, buf, 3), BL_ESHORT);
  assert_int_equal (bl_agent_counter (s->agent, BL_AGENT_BAD_HEADER), 1);
  buf[1] = BL_FORWARD_VERSION + 1;
  assert_int_equal (bl_agent_packet (s->agent, f->now, buf, head + len),
                    BL_EVERSION);
  assert_int_equal (bl_agent_counter (s->agent, BL_AGENT_BAD_VERSION), 1);
  fake_free (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_packets),
    cmocka_unit_test (test_resets),
    cmocka_unit_test (test_headers),
    cmocka_unit_test (test_msgpack_bounds),
    cmocka_unit_test (test_messages),
    cmocka_unit_test (test_invalid_messages),
    cmocka_unit_test (test_invalid_edits),
    cmocka_unit_test (test_fuzz),
    cmocka_unit_test (test_rejected_input_counted),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
