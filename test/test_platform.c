/* test_platform.c -- formats of the users' platform

   Tables of valid and malformed packets, heartbeats and configurations, and a
   bounded fuzz run, from a fixed seed, of each decoder.  */

#include "platform/platform.h"

#include "core/root.h"
#include "core/store.h"
#include "test/single_agent.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <ucontext.h>
#include <unistd.h>

#include <cmocka.h>

#define FUZZ_RUNS 20000
#define FUZZ_SEED 17

/* -- packets -- */

/* A first packet from 100.64.0.7:40001 to 198.18.0.1:443.  */
static const uint8_t first_packet[PLATFORM_HEADER_LEN] = {
  0xc6, 0x12, 0x00, 0x01, 0x64, 0x40, 0x00, 0x07, 0x01, 0xbb, 0x9c, 0x41,
  0x08, 0x00, 0x00, 0x00, 0x00, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00,
  0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5,
};

static const uint8_t reset_packet[PLATFORM_HEADER_LEN] = {
  0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41, 0x01, 0xbb,
  0x20, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
  0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
};

static void
test_first_packet (void **state)
{
  struct platform_packet p;

  (void)state;
  assert_int_equal (
      platform_packet_parse (&p, first_packet, sizeof first_packet, false),
      BL_OK);
  assert_int_equal (p.packet.key.src_ip, 0x64400007);
  assert_int_equal (p.packet.key.dst_ip, 0xc6120001);
  assert_int_equal (p.packet.key.src_port, 40001);
  assert_int_equal (p.packet.key.dst_port, 443);
  assert_int_equal (p.packet.seq, 0x11223344);
  assert_true (bl_packet_is_first (&p.packet));
  assert_false (p.returned);
}

static void
test_reset (void **state)
{
  struct bl_flow_key key = { 0x64400007, 0xc6120001, 40001, 443 };
  uint8_t buf[PLATFORM_HEADER_LEN];

  (void)state;
  platform_packet_reset (buf, &key, 0);
  assert_memory_equal (buf, reset_packet, sizeof reset_packet);
}

/* The key of a packet from a backend server must be that of the flow from the
   caller's side; a packet that the server returns keeps the key that the caller
   sent.  */
static void
test_directions (void **state)
{
  struct platform_packet p;
  uint8_t buf[PLATFORM_HEADER_LEN];

  (void)state;
  assert_int_equal (
      platform_packet_parse (&p, reset_packet, sizeof reset_packet, true),
      BL_OK);
  assert_int_equal (p.packet.key.src_port, 40001);
  assert_int_equal (p.packet.flags, BL_TCP_RST);
  memcpy (buf, first_packet, sizeof buf);
  platform_packet_set_token (buf, 7);
  buf[12] |= 0x10;
  assert_int_equal (platform_packet_parse (&p, buf, sizeof buf, true), BL_OK);
  assert_true (p.returned);
  assert_int_equal (p.token, 7);
  assert_int_equal (p.packet.key.src_port, 40001);
  platform_packet_set_token (buf, 0);
  assert_memory_equal (buf, first_packet, sizeof first_packet);
}

static void
test_bad_packets (void **state)
{
  static const struct
  {
    const char *name;
    size_t len;
    size_t at;
    uint8_t value;
    int want;
  } cases[] = {
    { "empty", 0, 0, 0xc6, BL_ESHORT },
    { "one byte short", PLATFORM_HEADER_LEN - 1, 0, 0xc6, BL_ESHORT },
    { "data missing", PLATFORM_HEADER_LEN, 31, 1, BL_EFORMAT },
    { "length beyond any packet", PLATFORM_HEADER_LEN, 30, 0xff, BL_EFORMAT },
    { "unknown flag", PLATFORM_HEADER_LEN, 12, 0x41, BL_EFORMAT },
    { "undeclared data", PLATFORM_HEADER_LEN + 1, 0, 0xc6, BL_EFORMAT },
  };
  struct platform_packet p;

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      uint8_t buf[PLATFORM_HEADER_LEN + 1] = { 0 };
      memcpy (buf, first_packet, sizeof first_packet);
      buf[cases[i].at] = cases[i].value;
      if (platform_packet_parse (&p, buf, cases[i].len, false) != cases[i].want)
        fail_msg ("%s", cases[i].name);
    }
}

/* -- heartbeats -- */

#define HEARTBEAT_FIELDS                                                       \
  "\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","              \
  "\"version\":\"v1\",\"concurrencyLimit\":2,\"warmupRemainingMs\":0"

static const struct
{
  const char *name;
  const char *id;
  const char *body;
  int want;
  const char *place; /* of the first finding */
} heartbeats[] = {
  { "ready", "i-1",
    "{" HEARTBEAT_FIELDS ",\"state\":\"ready\",\"sequence\":4,\"born\":9}",
    BL_OK, NULL },
  { "start time missing", "i-1",
    "{" HEARTBEAT_FIELDS ",\"state\":\"ready\",\"sequence\":4}", BL_EFORMAT,
    "body" },
  { "start time is 0", "i-1",
    "{" HEARTBEAT_FIELDS ",\"state\":\"ready\",\"sequence\":4,\"born\":0}",
    BL_EFORMAT, "body" },
  { "start time is text", "i-1",
    "{" HEARTBEAT_FIELDS ",\"state\":\"ready\",\"sequence\":4,\"born\":\"9\"}",
    BL_EFORMAT, "body" },
  { "start time is too large", "i-1",
    "{" HEARTBEAT_FIELDS ",\"state\":\"ready\",\"sequence\":4,"
    "\"born\":99999999999999999999}",
    BL_EFORMAT, "line 1, column 164" },
  { "sequence is negative", "i-1",
    "{" HEARTBEAT_FIELDS ",\"state\":\"ready\",\"sequence\":-1,\"born\":9}",
    BL_EFORMAT, "body" },
  { "draining", "i-1",
    "{" HEARTBEAT_FIELDS ",\"state\":\"draining\",\"sequence\":4,\"born\":9}",
    BL_OK, NULL },
  { "unknown field", "i-1",
    "{" HEARTBEAT_FIELDS
    ",\"state\":\"ready\",\"sequence\":4,\"born\":9,\"colour\":[]}",
    BL_OK, NULL },
  { "unknown state", "i-1",
    "{" HEARTBEAT_FIELDS ",\"state\":\"tired\",\"sequence\":4}", BL_EFORMAT,
    "body" },
  { "state missing", "i-1", "{" HEARTBEAT_FIELDS ",\"sequence\":4}", BL_EFORMAT,
    "body" },
  { "sequence is text", "i-1",
    "{" HEARTBEAT_FIELDS ",\"state\":\"ready\",\"sequence\":\"4\"}", BL_EFORMAT,
    "body" },
  { "start time is a fraction", "i-1",
    "{" HEARTBEAT_FIELDS ",\"state\":\"ready\",\"sequence\":4,\"born\":1.5}",
    BL_EFORMAT, "body" },
  { "service is a number", "i-1",
    "{\"service\":4,\"address\":\"10.0.0.1:80\",\"state\":\"ready\","
    "\"concurrencyLimit\":2,\"sequence\":1}",
    BL_EFORMAT, "body" },
  { "address without port", "i-1",
    "{\"service\":\"s\",\"address\":\"10.0.0.1\",\"state\":\"ready\","
    "\"concurrencyLimit\":2,\"sequence\":1}",
    BL_EFORMAT, "body" },
  { "zone missing", "i-1",
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"version\":\"v1\","
    "\"concurrencyLimit\":2,\"warmupRemainingMs\":0,\"state\":\"ready\","
    "\"sequence\":4,\"born\":9}",
    BL_EFORMAT, "body" },
  { "version is a number", "i-1",
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
    "\"version\":1,\"concurrencyLimit\":2,\"warmupRemainingMs\":0,"
    "\"state\":\"ready\",\"sequence\":4,\"born\":9}",
    BL_EFORMAT, "body" },
  { "remaining warm-up missing", "i-1",
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
    "\"version\":\"v1\",\"concurrencyLimit\":2,\"state\":\"ready\","
    "\"sequence\":4,\"born\":9}",
    BL_EFORMAT, "body" },
  { "not an object", "i-1", "[1]", BL_EFORMAT, "body" },
  { "cut short", "i-1", "{\"service\":", BL_EFORMAT, "line 1, column 11" },
  { "not text", "i-1", "\xff\xfe", BL_EFORMAT, "line 1, column 0" },
  { "id is not a valid name", "a/b",
    "{" HEARTBEAT_FIELDS ",\"state\":\"ready\",\"sequence\":4}", BL_EFORMAT,
    "path" },
};

static void
test_heartbeats (void **state)
{

  (void)state;
  for (size_t i = 0; i < sizeof heartbeats / sizeof heartbeats[0]; i++)
    {
      struct bl_findings f = { .count = 0 };
      struct bl_heartbeat heartbeat;
      int got
          = platform_heartbeat_parse (&heartbeat, bl_str_of (heartbeats[i].id),
                                      bl_str_of (heartbeats[i].body), &f);
      if (got != heartbeats[i].want)
        fail_msg ("%s: got %d", heartbeats[i].name, got);
      if (heartbeats[i].place != NULL
          && strcmp (f.items[0].place, heartbeats[i].place) != 0)
        fail_msg ("%s: place %s", heartbeats[i].name, f.items[0].place);
    }
}

/* -- routes -- */

#define ROUTE(host, path, to)                                                  \
  "{\"name\":\"r\",\"host\":\"" host "\",\"pathPrefix\":\"" path               \
  "\",\"type\":\"idempotent\",\"timeoutMs\":1000,\"targetLatencyMs\":120,"     \
  "\"priority\":2," to "}"
#define TO_A "\"service\":\"a\""

static const struct
{
  const char *name;
  const char *text;
  int want;
  size_t routes;
  size_t findings;
} route_texts[] = {
  { "one", "{\"version\":7,\"routes\":[" ROUTE ("1.2.3.4", "/80/", TO_A) "]}",
    BL_OK, 1, 0 },
  { "a split",
    "{\"version\":7,\"routes\":[" ROUTE (
        "1.2.3.4",
        "/80/",
        "\"trafficSplit\":[{\"service\":\"a\",\"weight\":90},"
        "{\"service\":\"b\",\"weight\":10}]") "]}",
    BL_OK, 1, 0 },
  { "an invalid one of two is left out",
    "{\"version\":7,\"routes\":[" ROUTE ("1.2.3.4", "/80/", TO_A) "," ROUTE (
        "1.2.3", "/80/", TO_A) "]}",
    BL_OK, 1, 1 },
  { "port beyond 65535",
    "{\"version\":7,\"routes\":[" ROUTE ("1.2.3.4", "/70000/", TO_A) "]}",
    BL_OK, 0, 1 },
  { "port without slash",
    "{\"version\":7,\"routes\":[" ROUTE ("1.2.3.4", "/80", TO_A) "]}", BL_OK, 0,
    1 },
  { "no service",
    "{\"version\":7,\"routes\":[" ROUTE ("1.2.3.4", "/80/", "\"x\":1") "]}",
    BL_OK, 0, 1 },
  { "one with a number that is too large",
    "{\"version\":7,\"routes\":[" ROUTE ("1.2.3.4", "/80/", TO_A) "," ROUTE (
        "1.2.3.4", "/81/", TO_A ",\"x\":1e999") "]}",
    BL_OK, 1, 1 },
  { "one that is nested deeply",
    "{\"version\":7,\"routes\":[" ROUTE (
        "1.2.3.4",
        "/81/",
        TO_A
        ",\"x\":[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]"
        "]]]]]]]]]]]]]") "," ROUTE ("1.2.3.4", "/80/", TO_A) "]}",
    BL_OK, 1, 1 },
  { "another member that cannot be read",
    "{\"version\":7,\"x\":1e999,\"routes\":[" ROUTE (
        "1.2.3.4", "/80/", TO_A) "]}",
    BL_OK, 1, 0 },
  { "limits that cannot be read",
    "{\"version\":7,\"limits\":[1e999],\"routes\":[" ROUTE (
        "1.2.3.4", "/80/", TO_A) "]}",
    BL_OK, 1, 1 },
  { "version is too large a number",
    "{\"version\":99999999999999999999,\"routes\":[]}", BL_EFORMAT, 0, 1 },
  { "no version", "{\"routes\":[]}", BL_EFORMAT, 0, 1 },
  { "version is text", "{\"version\":\"7\",\"routes\":[]}", BL_EFORMAT, 0, 1 },
  { "no list", "{\"version\":7}", BL_EFORMAT, 0, 1 },
  { "cut short", "{\"version\":7,\"routes\":[", BL_EFORMAT, 0, 1 },
};

static void
test_routes (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof route_texts / sizeof route_texts[0]; i++)
    {
      struct bl_findings f = { .count = 0 };
      struct bl_route_table *table;
      int got = platform_route_table_parse (
          &table, bl_str_of (route_texts[i].text), &f);
      if (got != route_texts[i].want || f.count != route_texts[i].findings)
        fail_msg ("%s: got %d, %zu findings", route_texts[i].name, got,
                  f.count);
      if (table != NULL && table->count != route_texts[i].routes)
        fail_msg ("%s: %zu routes", route_texts[i].name, table->count);
      bl_route_table_free (table);
    }
}

/* Guards against lookups that fail in a large table: each of 1500 routes, 250
   KB of text, must be found, and no route that is not in the table.  */
static void
test_many_routes (void **state)
{
  static char text[300000];
  struct bl_findings f = { .count = 0 };
  struct bl_route_table *table;
  size_t len = (size_t)sprintf (text, "{\"version\":7,\"routes\":[");

  (void)state;
  for (unsigned i = 0; i < 1500; i++)
    len += (size_t)sprintf (
        text + len,
        "%s{\"name\":\"r%u\",\"host\":\"198.18.%u.%u\","
        "\"pathPrefix\":\"/443/\",\"type\":\"download\",\"timeoutMs\":1,"
        "\"targetLatencyMs\":1,\"priority\":0,\"service\":\"a\","
        "\"maxAttempts\":2}",
        i > 0 ? "," : "", i, i / 250, i % 250);
  strcpy (text + len, "]}");
  assert_int_equal (platform_route_table_parse (&table, bl_str_of (text), &f),
                    BL_OK);
  assert_int_equal (table->count, 1500);
  for (unsigned i = 0; i < 1500; i++)
    assert_non_null (bl_route_table_find (
        table, 0xc6120000u + (i / 250) * 256 + i % 250, 443));
  assert_null (bl_route_table_find (table, 0xc6120000u, 444));
  bl_route_table_free (table);
}

/* Guards against open flows that are reset because their route cannot be read
   in a new version: it stays as it was, and others change as they should.  */
static void
test_unreadable_routes (void **state)
{
  static const char *const before = "{\"version\":7,\"routes\":[" ROUTE (
      "1.2.3.4", "/80/", TO_A) "," ROUTE ("1.2.3.4", "/81/",
                                          TO_A) "," ROUTE ("1.2.3.4", "/82/",
                                                           TO_A) "]}";
  static const char *const after = "{\"version\":8,\"routes\":[" ROUTE (
      "1.2.3.4", "/80/",
      "\"service\":\"b\"") "," ROUTE ("1.2.3.4", "/81/",
                                      "\"service\":[1e999]") "," ROUTE ("1.2.3."
                                                                        "4",
                                                                        "/83/",
                                                                        "\"serv"
                                                                        "ice\":"
                                                                        "1") "]"
                                                                             "}";
  struct bl_findings f = { .count = 0 };
  struct bl_route_table *old;
  struct bl_route_table *table;
  const struct bl_route_entry *route;
  size_t kept;

  (void)state;
  assert_int_equal (platform_route_table_parse (&old, bl_str_of (before), &f),
                    BL_OK);
  assert_int_equal (platform_route_table_parse (&table, bl_str_of (after), &f),
                    BL_OK);
  assert_int_equal (f.count, 2);
  assert_int_equal (bl_route_table_keep_unreadable (table, old, &kept), BL_OK);
  assert_int_equal (kept, 1);
  assert_int_equal (table->count, 2);
  route = bl_route_table_find (table, 0x01020304, 80);
  assert_string_equal (route->splits[0].service.s, "b");
  route = bl_route_table_find (table, 0x01020304, 81);
  assert_non_null (route);
  assert_string_equal (route->splits[0].service.s, "a");
  assert_null (bl_route_table_find (table, 0x01020304, 82));
  assert_null (bl_route_table_find (table, 0x01020304, 83));
  bl_route_table_free (old);
  bl_route_table_free (table);
}

#define SPLITS 300

/* Guards against a valid route that is left out: it may lead to hundreds of
   services, and its name is the operator's.  */
static void
test_wide_split (void **state)
{
  static char text[32768];
  struct bl_findings f = { .count = 0 };
  struct bl_route_table *table;
  size_t len = (size_t)sprintf (
      text, "{\"version\":7,\"routes\":[{\"name\":\"my route, of "
            "0123456789012345678901234567890123456789\",\"host\":\"1.2.3.4\","
            "\"pathPrefix\":\"/80/\",\"trafficSplit\":[");

  (void)state;
  for (unsigned i = 0; i < SPLITS; i++)
    len += (size_t)sprintf (text + len, "%s{\"service\":\"s%u\",\"weight\":1}",
                            i > 0 ? "," : "", i);
  strcpy (text + len, "]}]}");
  assert_int_equal (platform_route_table_parse (&table, bl_str_of (text), &f),
                    BL_OK);
  assert_int_equal (f.count, 0);
  assert_int_equal (table->count, 1);
  assert_int_equal (table->routes[0].split_count, SPLITS);
  assert_string_equal (table->routes[0].splits[SPLITS - 1].service.s, "s299");
  bl_route_table_free (table);
}

static struct bl_route_table *
new_table (unsigned first, unsigned count)
{
  struct bl_route_table *table = bl_route_table_new (1);
  struct bl_name name;
  char text[16];

  table->count = 1;
  for (unsigned i = first; i < first + count; i++)
    {
      snprintf (text, sizeof text, "s%u", i);
      bl_name_set (&name, bl_str_of (text));
      assert_int_equal (bl_route_add_split (&table->routes[0], &name, 1),
                        BL_OK);
    }
  return table;
}

static bool
is_former (const struct bl_route_table *table, unsigned service)
{
  struct bl_name name;
  char text[16];

  snprintf (text, sizeof text, "s%u", service);
  bl_name_set (&name, bl_str_of (text));
  for (size_t i = 0; i < table->routes[0].former_count; i++)
    if (table->routes[0].former[i] == bl_name_hash (&name, 0))
      return true;
  return false;
}

/* Guards against flows that are not looked up in the service that holds them:
   all services of a wide split are kept as former ones, the latest first.  */
static void
test_former_services (void **state)
{
  struct bl_route_table *before = new_table (0, SPLITS);

  (void)state;
  for (unsigned first = SPLITS; first < 10 * SPLITS; first += SPLITS)
    {
      struct bl_route_table *table = new_table (first, SPLITS);
      assert_int_equal (bl_route_table_set_former (table, before), BL_OK);
      for (unsigned i = first - SPLITS; i < first; i++)
        assert_true (is_former (table, i));
      assert_false (is_former (table, first));
      assert_in_range (table->routes[0].former_count, SPLITS, BL_FORMER_MAX);
      bl_route_table_free (before);
      before = table;
    }
  bl_route_table_free (before);
}

/* A traffic split must divide flows by weight, and all balancers must choose
   the same service for a flow.  */
static void
test_split (void **state)
{
  struct bl_split splits[] = { { .weight = 90 }, { .weight = 10 } };
  struct bl_route_entry route = { .split_count = 2, .splits = splits };
  unsigned second = 0;

  (void)state;
  for (uint64_t i = 0; i < 10000; i++)
    {
      struct bl_flow_key key = { (uint32_t)i, 2, 3, 4 };
      uint64_t hash = bl_flow_hash (&key);
      assert_ptr_equal (bl_route_choose_split (&route, hash),
                        bl_route_choose_split (&route, hash));
      second += bl_route_choose_split (&route, hash) == &route.splits[1];
    }
  assert_in_range (second, 800, 1200);
}

/* -- deep nesting -- */

#define SMALL_STACK_BYTES 98304 /* the HTTP server asks for a little more */
#define NESTING           2000

static char nested_text[NESTING * 8];

static unsigned refusals; /* by the decoders below */

/* Passes the nested text to each decoder of JSON that comes from outside.  */
static void
decode_nested_text (void)
{
  struct bl_str text = bl_str_of (nested_text);
  static struct bl_findings f;
  static struct bl_heartbeat heartbeat;
  static struct bl_root root;
  struct bl_route_table *table;
  struct bl_service **services;
  struct bl_record record;
  size_t count;

  refusals = (platform_heartbeat_parse (&heartbeat, bl_str_of ("i"), text, &f)
              == BL_EFORMAT)
             + (platform_route_table_parse (&table, text, &f) == BL_EFORMAT)
             + (bl_record_parse (&record, text.ptr) == BL_EFORMAT)
             + (bl_root_parse (&root, text, &f) == BL_EFORMAT)
             + (bl_part_parse (&services, &count, text, &f) == BL_EFORMAT);
}

/* Calls FUNCTION on a stack of SMALL_STACK_BYTES with a page after its end that
   cannot be accessed.  The least stack of a thread is larger on some machines,
   so this is no thread.  */
static void
call_on_small_stack (void (*function) (void))
{
  size_t page = (size_t)sysconf (_SC_PAGESIZE);
  size_t size = (SMALL_STACK_BYTES + page - 1) / page * page;
  ucontext_t caller;
  ucontext_t callee;
  char *memory
      = mmap (NULL, page + size, PROT_NONE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);

  assert_ptr_not_equal (memory, MAP_FAILED);
  assert_int_equal (mprotect (memory + page, size, PROT_READ | PROT_WRITE), 0);
  assert_int_equal (getcontext (&callee), 0);
  callee.uc_stack.ss_sp = memory + page;
  callee.uc_stack.ss_size = size;
  callee.uc_link = &caller;
  makecontext (&callee, function, 0);
  assert_int_equal (swapcontext (&caller, &callee), 0);
  munmap (memory, page + size);
}

/* Guards against a text that ends the process: the parser recurses for each
   level of nesting, on a thread with a small stack.  */
static void
test_deep_nesting (void **state)
{
  static const char *const levels[] = { "[", "{\"a\":", "[{\"a\":" };

  (void)state;
  for (size_t i = 0; i < sizeof levels / sizeof levels[0]; i++)
    {
      nested_text[0] = '\0';
      for (unsigned k = 0; k < NESTING; k++)
        strcat (nested_text, levels[i]);
      call_on_small_stack (decode_nested_text);
      assert_int_equal (refusals, 5);
    }
}

/* Heartbeats of another writer that reach the agent of server "i-1", each with
   one field that is not that server's.  */
static const struct
{
  const char *field; /* "id", or a member of the body */
  const char *value; /* NULL: the member is missing */
} foreign[] = {
  { "service", NULL },
  { "service", "7" },
  { "service", "\"other\"" },
  { "address", NULL },
  { "address", "80" },
  { "address", "\"10.0.0.2:80\"" },
  { "address", "\"10.0.0.1:81\"" },
  { "address", "\"10.0.0.1:65616\"" },
  { "zone", NULL },
  { "zone", "{}" },
  { "version", NULL },
  { "version", "1" },
  { "concurrencyLimit", NULL },
  { "concurrencyLimit", "\"2\"" },
  { "concurrencyLimit", "-1" },
  { "concurrencyLimit", "4294967296" },
  { "warmupRemainingMs", NULL },
  { "warmupRemainingMs", "1.5" },
  { "warmupRemainingMs", "99999999999999999999" },
  { "state", NULL },
  { "state", "1" },
  { "state", "\"tired\"" },
  { "sequence", NULL },
  { "sequence", "\"1000\"" },
  { "sequence", "-1" },
  { "sequence", "1e999" },
  { "sequence", "2" },
  { "sequence", "1000" },
  { "sequence", "9223372036854775807" },
  { "born", NULL },
  { "born", "\"100000\"" },
  { "born", "0" },
  { "born", "1" },
  { "born", "1.5" },
  { "born", "9223372036854775807" },
  { "born", "99999999999999999999" },
  { "id", "i-2" },
};

#define SERVER_START 100000 /* milliseconds since 1970 */
#define BEAT_MS      1000

/* Passes a heartbeat to the agent as daemon/passthrough.c does.  */
static int
pass_heartbeat (struct bl_passthrough *agent,
                uint64_t now,
                const char *id,
                const char *body)
{
  struct bl_findings f = { .count = 0 };
  struct bl_heartbeat heartbeat;
  int err = platform_heartbeat_parse (&heartbeat, bl_str_of (id),
                                      bl_str_of (body), &f);

  return err == BL_OK ? bl_passthrough_heartbeat (agent, now, &heartbeat) : err;
}

/* Formats a heartbeat of the server with FIELD replaced by VALUE.  */
static void
format_heartbeat (char *out,
                  size_t size,
                  const char *state,
                  unsigned seq,
                  const char *field,
                  const char *value)
{
  char number[16];
  const char *members[][2] = {
    { "service", "\"s\"" },      { "address", "\"10.0.0.1:80\"" },
    { "zone", "\"z\"" },         { "version", "\"v1\"" },
    { "concurrencyLimit", "2" }, { "warmupRemainingMs", "0" },
    { "state", state },          { "sequence", number },
    { "born", "100000" },
  };
  size_t len = 0;

  snprintf (number, sizeof number, "%u", seq);
  for (size_t i = 0; i < sizeof members / sizeof members[0]; i++)
    {
      bool replaced = strcmp (members[i][0], field) == 0;
      if (replaced && value == NULL)
        continue;
      len += (size_t)snprintf (out + len, size - len, "%s\"%s\":%s",
                               len == 0 ? "{" : ",", members[i][0],
                               replaced ? value : members[i][1]);
    }
  snprintf (out + len, size - len, "}");
}

static struct bl_passthrough *
new_agent (struct observed *observed)
{
  struct bl_passthrough_settings settings = {
    .self = { .kind = BL_KIND_BACKEND, .incarnation = SERVER_START - 1000 },
    .backend = { 0x0a000001, 80 },
    .heartbeat_ms = BEAT_MS,
  };
  struct bl_passthrough *agent;

  bl_name_set (&settings.self.id, bl_str_of ("a"));
  bl_name_set (&settings.self.service, bl_str_of ("s"));
  agent = bl_passthrough_new (&settings, &single_agent_ops, observed);
  bl_passthrough_tick (agent, 1);
  return agent;
}

/* Sends a packet of the server on a flow that the agent must not forget.  */
static void
send_from_server (struct bl_passthrough *agent, uint64_t now)
{
  struct bl_packet out = {
    .key = { 1, 2, 3, 443 }, .flags = BL_TCP_ACK, .seq = 50, .payload_len = 1
  };

  bl_passthrough_outgoing (agent, now, &out, (const uint8_t *)&out, sizeof out);
}

static void
check_drain_after (size_t i)
{
  const char *field = foreign[i].field;
  bool other_id = strcmp (field, "id") == 0;
  struct observed observed = { .delivered = 0 };
  struct bl_passthrough *agent = new_agent (&observed);
  uint64_t now = 1000;
  bool acknowledged = false;
  char body[512];

  for (unsigned seq = 1; seq <= 3; seq++, now += BEAT_MS)
    {
      format_heartbeat (body, sizeof body, "\"ready\"", seq, "", NULL);
      assert_int_equal (pass_heartbeat (agent, now, "i-1", body), BL_OK);
    }
  send_from_server (agent, now);
  format_heartbeat (body, sizeof body, "\"ready\"", 4, field, foreign[i].value);
  pass_heartbeat (agent, now, other_id ? foreign[i].value : "i-1", body);
  if (bl_passthrough_flow_count (agent) != 1)
    fail_msg ("%s: the flow is forgotten", body);
  for (unsigned seq = 4; seq <= 6; seq++, now += BEAT_MS)
    {
      format_heartbeat (body, sizeof body, "\"draining\"", seq, "", NULL);
      if (pass_heartbeat (agent, now, "i-1", body) == BL_OK)
        acknowledged = true;
      if (acknowledged
          != (bl_passthrough_record (agent)->state == BL_STATE_DRAINING))
        fail_msg ("%s %s: acknowledged, but not in force", field,
                  foreign[i].value);
      if (!acknowledged && seq > 4)
        fail_msg ("%s %s: the drain is not acknowledged", field,
                  foreign[i].value);
    }
  bl_passthrough_free (agent);
}

/* Guards against a heartbeat of another writer after which the agent is deaf to
   its server: what it acknowledges must be in force, and a drain be
   acknowledged with the second heartbeat at the latest.  */
static void
test_drain_after_foreign_heartbeat (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof foreign / sizeof foreign[0]; i++)
    check_drain_after (i);
}

#define RECORD(ip, data, control, admin, incarnation)                          \
  "{\"kind\":1,\"state\":1,\"id\":\"w\",\"dc\":\"d\",\"service\":\"s\","       \
  "\"ip\":" ip ",\"data_port\":" data ",\"control_port\":" control             \
  ",\"bulk_port\":0,\"admin_port\":" admin ",\"incarnation\":" incarnation     \
  ",\"seq\":4,\"slots\":2,\"backend_start\":5}"

/* Guards against an entry of another writer that is taken for an instance:
   flows would be offered to nobody, or no later start could replace it.  */
static void
test_records (void **state)
{
  static const struct
  {
    const char *name;
    const char *text;
    int want;
  } cases[] = {
    { "valid", RECORD ("16", "7", "8", "9", "1777803005000"), BL_OK },
    { "no admin port", RECORD ("16", "7", "8", "0", "1777803005000"), BL_OK },
    { "no address", RECORD ("0", "7", "8", "9", "1"), BL_EFORMAT },
    { "no data port", RECORD ("16", "0", "8", "9", "1"), BL_EFORMAT },
    { "no control port", RECORD ("16", "7", "0", "9", "1"), BL_EFORMAT },
    { "a port out of range", RECORD ("16", "65536", "8", "9", "1"),
      BL_EFORMAT },
    { "a negative port", RECORD ("16", "7", "-1", "9", "1"), BL_EFORMAT },
    { "a port with a fraction", RECORD ("16", "7", "8.5", "9", "1"),
      BL_EFORMAT },
    { "a port as text", RECORD ("16", "\"7\"", "8", "9", "1"), BL_EFORMAT },
    { "a port that is nested deeply",
      RECORD ("16",
              "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[7]]]]]]]]]]]]]]]]]]]]]]]]]]]]"
              "]]]]]]",
              "8", "9", "1"),
      BL_EFORMAT },
    { "an incarnation that is too large for a number",
      RECORD ("16", "7", "8", "9", "99999999999999999999"), BL_EFORMAT },
    { "the largest number as incarnation",
      RECORD ("16", "7", "8", "9", "9223372036854775807"), BL_EFORMAT },
    { "an incarnation that no later start reaches",
      RECORD ("16", "7", "8", "9", "9223372036854775806"), BL_EFORMAT },
    { "an incarnation of 1e999", RECORD ("16", "7", "8", "9", "1e999"),
      BL_EFORMAT },
    { "no incarnation", RECORD ("16", "7", "8", "9", "0"), BL_EFORMAT },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct bl_record record;
      int err = bl_record_parse (&record, cases[i].text);
      if (err != cases[i].want)
        fail_msg ("%s: %d", cases[i].name, err);
    }
}

/* Brackets inside strings are no nesting.  */
static void
test_brackets_in_strings (void **state)
{
  static char body[4096];
  struct bl_findings f = { .count = 0 };
  struct bl_heartbeat heartbeat;

  (void)state;
  strcpy (body,
          "{" HEARTBEAT_FIELDS ",\"state\":\"ready\",\"sequence\":4,\"born\":9,"
          "\"x\":\"\\\"");
  memset (body + strlen (body), '[', NESTING / 2);
  strcat (body, "\"}");
  assert_int_equal (platform_heartbeat_parse (&heartbeat, bl_str_of ("i"),
                                              bl_str_of (body), &f),
                    BL_OK);
}

/* -- fuzzing -- */

static void
decode_all (const uint8_t *buf, size_t len)
{
  struct bl_findings f = { .count = 0 };
  struct bl_str text = { (const char *)buf, len };
  struct platform_packet p;
  struct bl_heartbeat heartbeat;
  struct bl_route_table *table;
  struct bl_link_msg link;

  platform_packet_parse (&p, buf, len, true);
  platform_heartbeat_parse (&heartbeat, bl_str_of ("i"), text, &f);
  if (platform_route_table_parse (&table, text, &f) == BL_OK)
    bl_route_table_free (table);
  bl_link_decode (&link, buf, len);
}

static size_t
make_link (uint8_t *buf)
{
  struct bl_link_msg link = {
    .type = BL_LINK_ACCEPTED,
    .service = UINT64_MAX,
    .key = { 1, 2, 3, 4 },
    .seq = 5,
    .incarnation = 1ull << 40,
  };
  return bl_link_encode (&link, buf);
}

static void
test_fuzz (void **state)
{
  static const char heartbeat[]
      = "{" HEARTBEAT_FIELDS ",\"state\":\"ready\",\"sequence\":4}";
  static const char routes[]
      = "{\"version\":7,\"routes\":[" ROUTE ("1.2.3.4", "/80/", TO_A) "]}";
  struct bl_random random = { FUZZ_SEED };
  uint8_t link[BL_LINK_MAX];
  size_t link_len = make_link (link);

  (void)state;
  for (unsigned i = 0; i < FUZZ_RUNS; i++)
    {
      const void *from[] = { heartbeat, routes, link, first_packet };
      size_t lens[] = { sizeof heartbeat - 1, sizeof routes - 1, link_len,
                        sizeof first_packet };
      unsigned kind = i % 4;
      size_t len = lens[kind];
      uint8_t *buf = malloc (len + 1);
      assert_non_null (buf);
      memcpy (buf, from[kind], len);
      for (unsigned n = bl_random_below (&random, 4); n > 0; n--)
        buf[bl_random_below (&random, (uint32_t)len)]
            = (uint8_t)bl_random_next (&random);
      decode_all (buf, len - bl_random_below (&random, 3));
      free (buf);
    }
}

static void
test_link_round_trip (void **state)
{
  struct bl_link_msg link;
  uint8_t buf[BL_LINK_MAX];
  size_t len = make_link (buf);

  (void)state;
  assert_int_equal (bl_link_decode (&link, buf, len), (int)len);
  assert_int_equal (link.type, BL_LINK_ACCEPTED);
  assert_true (link.service == UINT64_MAX);
  assert_int_equal (link.key.dst_port, 4);
  assert_int_equal (bl_link_decode (&link, buf, len - 1), BL_ESHORT);
  buf[1] = BL_LINK_VERSION + 1;
  assert_int_equal (bl_link_decode (&link, buf, len), BL_EVERSION);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_first_packet),
    cmocka_unit_test (test_reset),
    cmocka_unit_test (test_directions),
    cmocka_unit_test (test_bad_packets),
    cmocka_unit_test (test_heartbeats),
    cmocka_unit_test (test_routes),
    cmocka_unit_test (test_many_routes),
    cmocka_unit_test (test_split),
    cmocka_unit_test (test_unreadable_routes),
    cmocka_unit_test (test_wide_split),
    cmocka_unit_test (test_former_services),
    cmocka_unit_test (test_link_round_trip),
    cmocka_unit_test (test_deep_nesting),
    cmocka_unit_test (test_records),
    cmocka_unit_test (test_drain_after_foreign_heartbeat),
    cmocka_unit_test (test_brackets_in_strings),
    cmocka_unit_test (test_fuzz),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
