/* bench_agent.c -- cost of control traffic for an agent, by the size of its
   service

   A real agent receives the messages of its two monitors and of its peers
   during RUN_S of simulated time.  Its own load and the loads of its peers
   change every second, which is the worst case of normal operation.  */

#include "bench/bench.h"
#include "core/msg.h"
#include "core/view.h"

#include <stdlib.h>
#include <string.h>

#define HEADER_BYTES 28      /* bytes of IP and UDP for a datagram */
#define START_MS     1000000 /* simulated time */
#define RUN_S        120
#define TICK_MS      50
#define HEARTBEAT_S  2 /* between two announcements of the agent */
#define MONITORS     2
#define FLOWS        2000 /* of each peer */

struct rig
{
  struct bl_agent *agent;
  size_t peers; /* backend servers of the service, with the agent's own */
  uint64_t now;
  uint64_t out_bytes;
  uint64_t in_bytes;
  uint64_t load_bytes_out; /* bytes of the load reports sent */
  uint64_t delivered;
  struct bl_buffer buffer;
};

static void
on_send (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  struct rig *rig = ctx;
  struct bl_msg msg;

  (void)to;
  rig->out_bytes += len + HEADER_BYTES;
  if (bl_msg_decode (&msg, buf, len) == BL_OK && msg.type == BL_MSG_LOAD)
    rig->load_bytes_out += len + HEADER_BYTES;
  bl_msg_clear (&msg);
}

static void
ignore_pull (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  (void)ctx;
  (void)to;
  (void)buf;
  (void)len;
}

static void
ignore_forward (void *ctx,
                struct bl_addr to,
                const struct bl_forward *f,
                const uint8_t *packet,
                size_t len)
{
  (void)ctx;
  (void)to;
  (void)f;
  (void)packet;
  (void)len;
}

static void
count_delivered (void *ctx, const uint8_t *packet, size_t len)
{
  struct rig *rig = ctx;

  (void)packet;
  (void)len;
  rig->delivered++;
}

static void
ignore_answer (void *ctx, const uint8_t *packet, size_t len)
{
  (void)ctx;
  (void)packet;
  (void)len;
}

static void
ignore_forget (void *ctx, const struct bl_flow_key *key)
{
  (void)ctx;
  (void)key;
}

static const struct bl_agent_ops ops = {
  .send = on_send,
  .pull = ignore_pull,
  .forward = ignore_forward,
  .deliver = count_delivered,
  .send_to_caller = ignore_answer,
  .remove_connection = ignore_forget,
};

/* Returns the membership record of backend server I.  */
static struct bl_record
peer_record (size_t i)
{
  struct bl_record r = {
    .kind = BL_KIND_BACKEND,
    .state = BL_STATE_READY,
    .ip = 0x0a200000u + (uint32_t)i,
    .data_port = 7000,
    .control_port = 7010,
    .incarnation = 1796342400000u + i,
    .seq = 2,
  };
  format_name (&r.id, "region1-server-%05zu", i);
  format_name (&r.dc, "region1-dc%zu", i % 3);
  format_name (&r.service, "tenant-service-%04zu", 1);
  return r;
}

/* Delivers MSG to the agent.  */
static void
deliver_message (struct rig *rig, struct bl_msg *msg)
{
  if (bl_msg_encode (msg, &rig->buffer) != BL_OK)
    abort ();
  rig->in_bytes += rig->buffer.len + HEADER_BYTES;
  bl_agent_message (rig->agent, rig->now, (struct bl_addr){ 1, 1 },
                    rig->buffer.ptr, rig->buffer.len);
}

/* Delivers the service and the records of all its backend servers.  */
static void
deliver_view (struct rig *rig)
{
  const char *text = "{\"id\":1,\"name\":\"tenant-service-0001\",\"changed\":7,"
                     "\"address\":\"10.80.0.1\",\"listeners\":[{\"port\":80,"
                     "\"class\":\"usual\"}]}";
  struct bl_str service = bl_str_of (text);
  struct bl_msg msg = {
    .type = BL_MSG_VIEW,
    .service_count = 1,
    .services = &service,
    .record_count = rig->peers,
  };

  format_name (&msg.from, "region1-balancer-%05zu", 1);
  msg.records = calloc (rig->peers, sizeof *msg.records);
  for (size_t i = 0; i < rig->peers; i++)
    msg.records[i] = peer_record (i);
  deliver_message (rig, &msg);
  free (msg.records);
}

static struct rig *
new_rig (size_t peers)
{
  struct rig *rig = calloc (1, sizeof *rig);
  struct bl_record self = peer_record (0);
  struct bl_agent_settings s = {
    .id = self.id,
    .dc = self.dc,
    .service = self.service,
    .ip = self.ip,
    .data_port = 7000,
    .control_port = 7010,
    .slots = 16,
    .max_flows = 4096,
    .incarnation = self.incarnation,
    .random_seed = 5,
  };

  rig->peers = peers;
  rig->now = START_MS;
  rig->agent = bl_agent_new (&s, &ops, rig);
  bl_agent_set_ready (rig->agent, true);
  deliver_view (rig);
  return rig;
}

/* Delivers a monitor's acknowledgement of an announcement.  During the first
   seconds it contains the list of monitors.  */
static void
deliver_ack (struct rig *rig, size_t monitor)
{
  struct bl_record records[MONITORS];
  struct bl_msg msg = { .type = BL_MSG_ANNOUNCE_ACK, .seq = 2, .digest = 1 };

  for (size_t i = 0; i < MONITORS; i++)
    {
      records[i] = peer_record (i + 1);
      format_name (&records[i].id, "region1-balancer-%05zu", i);
    }
  msg.from = records[monitor].id;
  if (rig->now < START_MS + 2000)
    {
      msg.records = records;
      msg.record_count = MONITORS;
    }
  deliver_message (rig, &msg);
}

/* Delivers load reports of peers, BYTES in all.  Each peer sends as many
   reports a second as this agent, to random peers, so the agent receives about
   as much as it sends.  */
static void
deliver_loads (struct rig *rig, uint64_t bytes, size_t second)
{
  struct bl_msg msg = { .type = BL_MSG_LOAD, .load = 3000, .flows = FLOWS };

  for (uint64_t delivered_bytes = 0; delivered_bytes < bytes && rig->peers > 1;)
    {
      uint64_t before = rig->in_bytes;
      msg.from
          = peer_record (1 + (second + delivered_bytes) % (rig->peers - 1)).id;
      deliver_message (rig, &msg);
      delivered_bytes += rig->in_bytes - before;
    }
}

static void
run_agent (struct rig *rig)
{
  for (size_t s = 0; s < RUN_S; s++)
    {
      uint64_t before = rig->load_bytes_out;
      bl_agent_set_load (rig->agent, s % 2 ? 1000 : 3000);
      for (int t = 0; t < 1000 / TICK_MS; t++)
        {
          rig->now += TICK_MS;
          bl_agent_tick (rig->agent, rig->now);
        }
      for (size_t k = 0; s % HEARTBEAT_S == 0 && k < MONITORS; k++)
        deliver_ack (rig, k);
      deliver_loads (rig, rig->load_bytes_out - before, s);
    }
}

static void
print_for_size (const char *name, size_t peers, double value, const char *unit)
{
  char text[64];
  snprintf (text, sizeof text, "%s_%zu", name, peers);
  print_result (text, value, unit);
}

static void
measure_size (size_t peers)
{
  double before = heap_bytes ();
  struct rig *rig = new_rig (peers);
  uint64_t start;

  print_for_size ("agent_view_kb", peers,
                  (heap_bytes () - before - (double)sizeof *rig) / 1024, "KB");
  rig->out_bytes = rig->in_bytes = 0;
  start = cpu_ns ();
  run_agent (rig);
  print_for_size ("agent_control_bytes_s", peers,
                  (double)(rig->out_bytes + rig->in_bytes) / RUN_S, "B/s");
  print_for_size ("agent_control_core_percent", peers,
                  (double)(cpu_ns () - start) / RUN_S / 1e9 * 100, "%");
  bl_agent_free (rig->agent);
  bl_buffer_free (&rig->buffer);
  free (rig);
}

int
main (void)
{
  measure_size (9);
  measure_size (36);
  measure_size (144);
  measure_size (600);
  return 0;
}
