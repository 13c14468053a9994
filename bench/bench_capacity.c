/* bench_capacity.c -- cost of control traffic for a balancer, by size

   A real balancer (node) holds the members, backend servers and services of a
   region at 1/16, 1/4 and the whole of the target size.  For RUN_S of simulated
   time it receives, through its real entry points and from real encoders, the
   messages that reach a balancer in normal operation, and the messages that it
   sends are counted.  Bytes include HEADER_BYTES for IP and UDP.  */

#include "bench/bench.h"
#include "core/msg.h"
#include "core/node.h"
#include "core/view.h"

#include <stdlib.h>
#include <string.h>

#define HEADER_BYTES  28 /* bytes of IP and UDP for a datagram */
#define RUN_S         120
#define TICK_MS       50
#define HEARTBEAT_S   2 /* between two announcements of an agent */
#define CONFIG_ROUNDS 200
#define MEMBER_ROUNDS 20

/* The target size, for one region of seven.  */
#define REGION_MEMBERS  1571 /* balancers of three data centres */
#define REGION_BACKENDS 8571
#define ALL_SERVICES    6800
#define DATA_CENTRES    3
#define CHANGES_S       (18000.0 / 86400) /* of configuration, in all regions */
/* Changes of records a second in a region.  There are 200 failures and 4,200
   replacements a day in seven regions.  Each changes three records: one at the
   end of the old instance, two for the states of the start of the new one.  */
#define RECORDS_S (4400.0 / 86400 / 7 * 3)

/* Traffic of the balancer.  */
struct meter
{
  uint64_t out_bytes;
  uint64_t out_count;
  uint64_t in_bytes;
  uint64_t in_count;
  uint64_t pulls;
  uint64_t ping_seq; /* of the last ping sent; 0 once it is answered */
  struct bl_addr ping_to;
};

struct rig
{
  struct meter meter;
  struct bl_node *node;
  size_t members;
  size_t backends;
  size_t services;
  uint64_t now;
  uint64_t changed; /* configuration version */
  struct bl_buffer buffer;
  uint64_t seq[REGION_BACKENDS + 1]; /* changes of each record so far */
};

static void
on_send (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  struct rig *rig = ctx;
  struct bl_msg msg;

  rig->meter.out_bytes += len + HEADER_BYTES;
  rig->meter.out_count++;
  if (bl_msg_decode (&msg, buf, len) == BL_OK && msg.type == BL_MSG_PING)
    {
      rig->meter.ping_seq = msg.seq;
      rig->meter.ping_to = to;
    }
  bl_msg_clear (&msg);
}

static void
on_pull (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  struct rig *rig = ctx;

  (void)to;
  (void)buf;
  rig->meter.out_bytes += len + HEADER_BYTES;
  rig->meter.pulls++;
}

static const struct bl_node_ops ops = { .send = on_send, .pull = on_pull };

static struct bl_record
make_member (size_t i)
{
  struct bl_record r = {
    .kind = BL_KIND_BALANCER,
    .state = BL_STATE_READY,
    .ip = 0x0a100000u + (uint32_t)i,
    .data_port = 7000,
    .control_port = 7010,
    .bulk_port = 7020,
    .admin_port = 8400,
    .incarnation = 1796342400000u + i,
    .seq = 1,
  };
  format_name (&r.id, "region1-balancer-%05zu", i);
  format_name (&r.dc, "region1-dc%zu", i % DATA_CENTRES);
  return r;
}

static struct bl_record
make_backend (const struct rig *rig, size_t i)
{
  struct bl_record r = {
    .kind = BL_KIND_BACKEND,
    .state = BL_STATE_READY,
    .ip = 0x0a200000u + (uint32_t)i,
    .data_port = 7000,
    .control_port = 7010,
    .admin_port = 8400,
    .incarnation = 1796342400000u + i,
    .seq = 2 + (uint32_t)rig->seq[i],
    .slots = 16,
  };
  format_name (&r.id, "region1-server-%05zu", i);
  format_name (&r.dc, "region1-dc%zu", i % DATA_CENTRES);
  format_name (&r.service, "tenant-service-%04zu", i % rig->services);
  return r;
}

static struct bl_service *
make_service (size_t i, uint64_t changed)
{
  struct bl_service *s = calloc (1, sizeof *s);

  if (s == NULL)
    abort ();
  *s = (struct bl_service){
    .id = (uint32_t)i + 1,
    .address = 0x0a500000u + (uint32_t)i,
    .changed = changed,
    .idle_s = 60,
    .listener_count = 2,
    .listeners = { { .port = 443, .priority = 5 }, { .port = 80 } },
  };
  format_name (&s->name, "tenant-service-%04zu", i);
  format_name (&s->listeners[0].class_name, "class-%zu", 0);
  format_name (&s->listeners[1].class_name, "class-%zu", 1);
  return s;
}

static void
fill_config (struct rig *rig)
{
  struct bl_service **list = calloc (rig->services, sizeof *list);

  for (size_t i = 0; i < rig->services; i++)
    list[i] = make_service (i, i + 1);
  bl_node_apply_config (rig->node, 0, rig->services, list, rig->services);
  rig->changed = rig->services;
  free (list);
}

static struct rig *
new_rig (size_t divisor)
{
  struct rig *rig = calloc (1, sizeof *rig);
  struct bl_record self = make_member (0);
  struct bl_node_settings s = {
    .id = self.id,
    .dc = self.dc,
    .ip = self.ip,
    .data_port = 7000,
    .control_port = 7010,
    .bulk_port = 7020,
    .admin_port = 8400,
    .incarnation = self.incarnation,
    .random_seed = 42,
  };

  rig->members = REGION_MEMBERS / divisor;
  rig->backends = REGION_BACKENDS / divisor;
  rig->services = ALL_SERVICES / divisor;
  rig->now = 1000000;
  rig->node = bl_node_new (&s, &ops, rig);
  return rig;
}

static void
fill_rig (struct rig *rig)
{
  fill_config (rig);
  for (size_t i = 1; i < rig->members; i++)
    {
      struct bl_record r = make_member (i);
      bl_node_put (rig->node, &r, 0);
    }
  for (size_t i = 0; i < rig->backends; i++)
    {
      struct bl_record r = make_backend (rig, i);
      bl_node_put (rig->node, &r, 0);
    }
  rig->node->synced = true;
}

/* Builds the pools of all services, as packets to all of them would.  */
static void
build_pools (struct rig *rig)
{
  for (size_t i = 0; i < rig->services; i++)
    {
      struct bl_name name;
      format_name (&name, "tenant-service-%04zu", i);
      bl_service_pools_get (&rig->node->service_pools, rig->node->store,
                            bl_config_find (rig->node->config, &name));
    }
}

static void
deliver_message (struct rig *rig, struct bl_addr from, struct bl_msg *msg)
{
  if (bl_msg_encode (msg, &rig->buffer) != BL_OK)
    abort ();
  rig->meter.in_bytes += rig->buffer.len + HEADER_BYTES;
  rig->meter.in_count++;
  bl_node_message (rig->node, rig->now, from, rig->buffer.ptr, rig->buffer.len);
}

/* -- normal operation -- */

static void
deliver_ping (struct rig *rig, size_t i)
{
  struct bl_record r = make_member (1 + i % (rig->members - 1));
  struct bl_msg msg = {
    .type = BL_MSG_PING,
    .from = r.id,
    .seq = i + 1,
    .config_version = rig->changed,
    .digest = bl_store_digest (rig->node->store),
  };
  deliver_message (rig, (struct bl_addr){ r.ip, r.control_port }, &msg);
}

/* Answers the last ping that the balancer sent.  */
static void
answer_ping (struct rig *rig)
{
  struct bl_record r = make_member (rig->meter.ping_to.ip - 0x0a100000u);
  struct bl_msg msg = {
    .type = BL_MSG_ACK,
    .from = r.id,
    .seq = rig->meter.ping_seq,
    .config_version = rig->changed,
    .digest = bl_store_digest (rig->node->store),
  };

  if (rig->meter.ping_seq == 0)
    return;
  rig->meter.ping_seq = 0;
  deliver_message (rig, rig->meter.ping_to, &msg);
}

/* Changes a record of a backend server and delivers it as often as the balancer
   would receive it on average: each balancer pushes an update to so many
   peers in so many rounds.  */
static void
deliver_update (struct rig *rig, size_t i)
{
  size_t which = i * 7919 % rig->backends;
  struct bl_record r;
  struct bl_msg msg = { .type = BL_MSG_PUSH };

  rig->seq[which]++;
  r = make_backend (rig, which);
  msg.records = &r;
  msg.record_count = 1;
  msg.config_version = rig->changed;
  for (int k = 0; k < BL_PUSH_FANOUT * (int)bl_node_push_rounds (rig->node);
       k++)
    {
      msg.from = make_member (1 + (i * 31 + (size_t)k) % (rig->members - 1)).id;
      deliver_message (rig, (struct bl_addr){ 1, 1 }, &msg);
    }
}

/* Delivers a change of configuration, also as often as on average.  */
static void
deliver_change (struct rig *rig, size_t i)
{
  struct bl_service *s
      = make_service (i * 104729 % rig->services, rig->changed + 1);
  struct bl_str text = bl_str_of (bl_service_format (s));
  struct bl_msg msg = {
    .type = BL_MSG_CONFIG,
    .config_from = rig->changed,
    .config_version = rig->changed + 1,
    .services = &text,
    .service_count = 1,
  };

  rig->changed++;
  for (int k = 0; k < BL_PUSH_FANOUT * BL_CONFIG_PUSH_ROUNDS; k++)
    {
      msg.from = make_member (1 + (i * 37 + (size_t)k) % (rig->members - 1)).id;
      deliver_message (rig, (struct bl_addr){ 1, 1 }, &msg);
    }
  free ((char *)text.ptr);
  bl_service_free (s);
}

/* Returns the digest of the monitors of R's agent.  */
static uint64_t
monitors_digest (struct rig *rig, const struct bl_record *r)
{
  const struct bl_member *monitors[BL_MONITORS_PER_AGENT];
  struct bl_record records[BL_MONITORS_PER_AGENT];
  size_t n = bl_monitor_choose (rig->node, &r->dc, &r->id, monitors);

  for (size_t i = 0; i < n; i++)
    records[i] = monitors[i] == NULL
                     ? rig->node->self
                     : *bl_store_get (rig->node->store, BL_KIND_BALANCER,
                                      &monitors[i]->id);
  return bl_monitors_digest (records, n);
}

/* Delivers the periodic announcement of an agent to its monitor.  */
static void
deliver_announcement (struct rig *rig, size_t which)
{
  struct bl_record r = make_backend (rig, which);
  struct bl_msg msg = {
    .type = BL_MSG_ANNOUNCE,
    .from = r.id,
    .config_version = rig->changed,
    .seq = r.seq,
    .incarnation = r.incarnation,
    .digest = monitors_digest (rig, &r),
    .flows = 2000,
    .load = 3000,
  };
  deliver_message (rig, (struct bl_addr){ r.ip, r.control_port }, &msg);
}

/* Returns true if the balancer monitors the agent.  */
static bool
is_monitor_of (struct rig *rig, size_t which)
{
  struct bl_record r = make_backend (rig, which);
  const struct bl_member *monitors[BL_MONITORS_PER_AGENT];
  size_t n = bl_monitor_choose (rig->node, &r.dc, &r.id, monitors);

  for (size_t i = 0; i < n; i++)
    if (monitors[i] == NULL)
      return true;
  return false;
}

static size_t
list_monitored (struct rig *rig, size_t *out, size_t max)
{
  size_t n = 0;

  for (size_t i = 0; i < rig->backends && n < max; i++)
    if (is_monitor_of (rig, i))
      out[n++] = i;
  return n;
}

/* Returns the highest number of agents that a balancer of the data centre
   monitors.  */
static size_t
max_monitored (struct rig *rig)
{
  size_t *counts = calloc (rig->members + 1, sizeof *counts);
  size_t most = 0;

  for (size_t i = 0; i < rig->backends; i += DATA_CENTRES)
    {
      struct bl_record r = make_backend (rig, i);
      const struct bl_member *monitors[BL_MONITORS_PER_AGENT];
      size_t n = bl_monitor_choose (rig->node, &r.dc, &r.id, monitors);
      for (size_t k = 0; k < n; k++)
        {
          size_t at = monitors[k] == NULL
                          ? rig->members
                          : (size_t)(monitors[k] - rig->node->members);
          if (++counts[at] > most)
            most = counts[at];
        }
    }
  free (counts);
  return most;
}

/* Fractions of changes that are due, and changes delivered so far.  */
struct due
{
  double updates;
  double changes;
  size_t updates_done;
  size_t changes_done;
};

static void
run_second (struct rig *rig,
            size_t second,
            const size_t *monitored,
            size_t monitored_count,
            struct due *due)
{
  for (int t = 0; t < 1000 / TICK_MS; t++)
    {
      rig->now += TICK_MS;
      bl_node_tick (rig->node, rig->now);
      answer_ping (rig);
    }
  deliver_ping (rig, second);
  for (size_t i = second % HEARTBEAT_S; i < monitored_count; i += HEARTBEAT_S)
    deliver_announcement (rig, monitored[i]);
  due->updates += RECORDS_S * (double)rig->backends / REGION_BACKENDS;
  due->changes += CHANGES_S;
  for (; due->updates >= 1; due->updates -= 1)
    deliver_update (rig, due->updates_done++);
  for (; due->changes >= 1; due->changes -= 1)
    deliver_change (rig, due->changes_done++);
}

static void
print_scaled (const char *name, size_t divisor, double value, const char *unit)
{
  char text[80];

  if (divisor == 1)
    snprintf (text, sizeof text, "%s", name);
  else
    snprintf (text, sizeof text, "%s_%zux", name, 16 / divisor);
  print_result (text, value, unit);
}

static void
measure_normal_operation (struct rig *rig, size_t divisor)
{
  size_t monitored[256];
  size_t monitored_count = list_monitored (rig, monitored, 256);
  struct due due = { .updates = 0 };
  uint64_t start;
  double bytes;

  memset (&rig->meter, 0, sizeof rig->meter);
  start = cpu_ns ();
  for (size_t s = 0; s < RUN_S; s++)
    run_second (rig, s, monitored, monitored_count, &due);
  bytes = (double)(rig->meter.in_bytes + rig->meter.out_bytes) / RUN_S;
  print_scaled ("node_control_bytes_s", divisor, bytes, "B/s");
  print_scaled ("node_control_messages_s", divisor,
                (double)(rig->meter.in_count + rig->meter.out_count) / RUN_S,
                "1/s");
  /* The time to encode the received messages is included, so this is an upper
     bound.  */
  print_scaled ("node_control_core_percent", divisor,
                (double)(cpu_ns () - start) / RUN_S / 1e9 * 100, "%");
  print_scaled ("node_agents_kept", divisor, (double)monitored_count, "1");
  print_scaled ("node_agents_kept_most", divisor, (double)max_monitored (rig),
                "1");
}

/* -- single operations -- */

static void
time_config_change (struct rig *rig, size_t divisor)
{
  uint64_t start = cpu_ns ();

  for (size_t i = 0; i < CONFIG_ROUNDS; i++)
    {
      struct bl_service *s = make_service (i, rig->changed + 1);
      bl_node_apply_config (rig->node, rig->changed, rig->changed + 1, &s, 1);
      rig->changed++;
    }
  print_scaled ("change_apply_us", divisor,
                (double)(cpu_ns () - start) / CONFIG_ROUNDS / 1000, "us");
}

static void
time_member_change (struct rig *rig, size_t divisor)
{
  uint64_t start = cpu_ns ();

  for (size_t i = 0; i < MEMBER_ROUNDS; i++)
    {
      struct bl_record r = make_member (5);
      r.seq += (uint32_t)i + 1;
      bl_node_put (rig->node, &r, 0);
      bl_node_refresh_members (rig->node);
      rig->node->next_monitor_ms = 0;
      bl_monitor_tick (rig->node);
    }
  print_scaled ("member_change_us", divisor,
                (double)(cpu_ns () - start) / MEMBER_ROUNDS / 1000, "us");
}

/* Lets a joining balancer pull all records, one part at a time, and counts
   bytes and parts.  */
static void
measure_join (struct rig *rig, size_t divisor)
{
  uint64_t zeros[BL_STORE_BUCKETS] = { 0 };
  struct bl_store *store = bl_store_new ();
  struct bl_msg request = {
    .type = BL_MSG_PULL_RECORDS,
    .from = make_member (1).id,
  };
  double bytes = 0;
  size_t parts = 0;

  for (;;)
    {
      struct bl_msg msg;
      const uint8_t *reply;
      size_t len;
      memcpy (zeros, bl_store_bucket_digests (store), sizeof zeros);
      request.buckets = (struct bl_str){ (const char *)zeros, sizeof zeros };
      bl_msg_encode (&request, &rig->buffer);
      reply = bl_node_request (rig->node, rig->now, rig->buffer.ptr,
                               rig->buffer.len, &len);
      bytes += (double)len;
      if (bl_msg_decode (&msg, reply, len) != BL_OK || msg.record_count == 0)
        break;
      for (size_t i = 0; i < msg.record_count; i++)
        bl_store_put (store, &msg.records[i], 0);
      bl_msg_clear (&msg);
      parts++;
    }
  print_scaled ("join_records_kb", divisor, bytes / 1024, "KB");
  print_scaled ("join_pieces", divisor, (double)parts, "1");
  bl_store_free (store);
}

static void
measure_messages (struct rig *rig)
{
  struct bl_record r = make_backend (rig, 1);
  struct bl_msg msg = { .type = BL_MSG_PUSH, .from = r.id };
  struct bl_service *s = make_service (1, 123456);
  char *text = bl_service_format (s);
  size_t bare;

  msg.config_version = rig->changed;
  msg.digest = UINT64_MAX;
  bl_msg_encode (&msg, &rig->buffer);
  bare = rig->buffer.len;
  msg.records = &r;
  msg.record_count = 1;
  bl_msg_encode (&msg, &rig->buffer);
  print_result ("message_bare_bytes", (double)bare, "B");
  print_result ("record_wire_bytes", (double)(rig->buffer.len - bare), "B");
  print_result ("service_wire_bytes", (double)strlen (text), "B");
  free (text);
  bl_service_free (s);
}

/* Measures at the target size divided by DIVISOR.  */
static void
measure_size (size_t divisor)
{
  double before = heap_bytes ();
  struct rig *rig = new_rig (divisor);

  fill_rig (rig);
  build_pools (rig);
  print_scaled ("node_memory_target_mb", divisor,
                (heap_bytes () - before - (double)sizeof *rig) / 1048576, "MB");
  measure_normal_operation (rig, divisor);
  time_config_change (rig, divisor);
  time_member_change (rig, divisor);
  measure_join (rig, divisor);
  if (divisor == 1)
    measure_messages (rig);
  bl_node_free (rig->node);
  bl_buffer_free (&rig->buffer);
  free (rig);
}

int
main (void)
{
  measure_size (16);
  measure_size (4);
  measure_size (1);
  return 0;
}
