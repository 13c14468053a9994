/* bench_dispatch.c -- processor time of a balancer's decisions on the datagram
   transport, by the number of agents

   Measured for each size are: the opening of a flow, from its first packet to
   the first packet after its acceptance; a packet of an open flow; an owner
   lookup that finds the owner; a tick; and the memory for a flow.  A service
   has ten backend servers, as at the target size.  */

#include "bench/bench.h"
#include "core/dispatch.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS_PER_SERVICE 10
#define FLOWS               4000
#define CALLER_PORTS        60000 /* of each caller address */
#define NOW_MS              1001
#define PACKETS             200000
#define TICKS               200
#define ROUTES_NET          0xc6120000u
#define CALLERS_NET         0x64400000u
#define AGENTS_NET          0x0a000000u

/* Discards the packet and stores its destination.  */
static void
record_destination (void *ctx,
                    struct bl_addr to,
                    const struct bl_link_msg *link,
                    const uint8_t *packet,
                    size_t len)
{
  struct bl_addr *last_dest = ctx;

  (void)link;
  (void)packet;
  (void)len;
  *last_dest = to;
}

static void
discard_reset (void *ctx, const struct bl_flow_key *key, uint32_t seq)
{
  (void)ctx;
  (void)key;
  (void)seq;
}

static void
discard_message (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  (void)ctx;
  (void)to;
  (void)buf;
  (void)len;
}

static void
discard_pull (void *ctx, const struct bl_instance *peer)
{
  (void)ctx;
  (void)peer;
}

static void
discard_decision (void *ctx, const struct bl_decision *decision)
{
  (void)ctx;
  (void)decision;
}

static const struct bl_dispatch_ops ops = {
  .send_to_agent = record_destination,
  .reset = discard_reset,
  .send = discard_message,
  .pull = discard_pull,
  .log_decision = discard_decision,
};

static void
set_service_name (struct bl_name *name, size_t i)
{
  char text[32];

  snprintf (text, sizeof text, "service-%zu", i);
  bl_name_set (name, bl_str_of (text));
}

/* Returns a table with one route to each service.  */
static struct bl_route_table *
new_route_table (size_t services)
{
  struct bl_route_table *table = bl_route_table_new (services);
  struct bl_name service;

  table->version = 1;
  table->count = services;
  for (size_t i = 0; i < services; i++)
    {
      struct bl_route_entry *r = &table->routes[i];
      r->ip = ROUTES_NET + (uint32_t)i;
      r->port = 443;
      set_service_name (&service, i);
      bl_route_add_split (r, &service, 1);
    }
  bl_route_table_sort (table);
  return table;
}

static void
add_agents (struct bl_dispatch *d, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct bl_record r = {
        .kind = BL_KIND_BACKEND,
        .state = BL_STATE_READY,
        .ip = AGENTS_NET + (uint32_t)i,
        .data_port = 1,
        .control_port = 2,
        .incarnation = 1,
        .seq = 1,
        .slots = 2,
      };
      char text[32];
      snprintf (text, sizeof text, "agent-%zu", i);
      bl_name_set (&r.id, bl_str_of (text));
      bl_name_set (&r.dc, bl_str_of (i % 4 == 0 ? "dc" : "elsewhere"));
      set_service_name (&r.service, i / SERVERS_PER_SERVICE);
      bl_dispatch_apply_record (d, 10, &r);
    }
}

static struct bl_dispatch *
new_balancer (size_t agents, struct bl_addr *last_dest)
{
  struct bl_dispatch_settings settings
      = { .self = { .kind = BL_KIND_BALANCER, .ip = 1 }, .random_seed = 3 };
  struct bl_dispatch *d;

  bl_name_set (&settings.self.id, bl_str_of ("b"));
  bl_name_set (&settings.self.dc, bl_str_of ("dc"));
  d = bl_dispatch_new (&settings, &ops, last_dest);
  bl_dispatch_configure (d, 1, new_route_table (agents / SERVERS_PER_SERVICE));
  add_agents (d, agents);
  bl_dispatch_list_complete (d, 10);
  bl_dispatch_tick (d, 1000);
  return d;
}

static struct bl_packet
packet_of (size_t flow, size_t services, uint8_t flags)
{
  return (struct bl_packet){
    .key = { .src_ip = CALLERS_NET + (uint32_t)(flow / CALLER_PORTS),
             .src_port = (uint16_t)(1024 + flow % CALLER_PORTS),
             .dst_ip = ROUTES_NET + (uint32_t)(flow % services),
             .dst_port = 443 },
    .seq = 100,
    .ack = flags & BL_TCP_SYN ? 0 : 501,
    .flags = flags,
    .payload_len = flags & BL_TCP_SYN ? 0 : 10,
  };
}

/* Delivers a packet of a caller to the balancer.  */
static void
deliver_packet (struct bl_dispatch *d,
                size_t flow,
                size_t services,
                uint8_t flags)
{
  struct bl_packet p = packet_of (flow, services, flags);

  bl_dispatch_packet (d, NOW_MS, &p, (const uint8_t *)&p, sizeof p);
}

/* Delivers the message TYPE of an agent about FLOW to the balancer.  */
static void
deliver_link (struct bl_dispatch *d,
              size_t flow,
              size_t services,
              struct bl_addr from,
              enum bl_link_type type)
{
  struct bl_packet p = packet_of (flow, services, 0);
  struct bl_link_msg link = {
    .type = type, .key = p.key, .seq = 500, .ack = 501, .incarnation = 1
  };

  bl_dispatch_link (d, NOW_MS, from, &link, NULL, NULL, 0);
}

static void
measure_flows (struct bl_dispatch *d,
               size_t services,
               const struct bl_addr *last_dest)
{
  size_t before = mallinfo2 ().uordblks;
  uint64_t start = cpu_ns ();

  for (size_t i = 0; i < FLOWS; i++)
    {
      deliver_packet (d, i, services, BL_TCP_SYN);
      deliver_link (d, i, services, *last_dest, BL_LINK_ACCEPTED);
      deliver_packet (d, i, services, BL_TCP_ACK);
    }
  print_result ("  flow_opened_ns", (double)(cpu_ns () - start) / FLOWS, "ns");
  print_result ("  flow_bytes",
                (double)(mallinfo2 ().uordblks - before) / FLOWS, "bytes");
  start = cpu_ns ();
  for (size_t i = 0; i < PACKETS; i++)
    deliver_packet (d, i % FLOWS, services, BL_TCP_ACK);
  print_result ("  packet_ns", (double)(cpu_ns () - start) / PACKETS, "ns");
}

static void
measure_owner_lookups (struct bl_dispatch *d,
                       size_t services,
                       const struct bl_addr *last_dest)
{
  uint64_t start = cpu_ns ();

  for (size_t i = FLOWS; i < 2 * FLOWS; i++)
    {
      deliver_packet (d, i, services, BL_TCP_ACK);
      deliver_link (d, i, services, *last_dest, BL_LINK_OWNED);
    }
  print_result ("  owner_found_ns", (double)(cpu_ns () - start) / FLOWS, "ns");
}

static void
measure_ticks (struct bl_dispatch *d)
{
  uint64_t start = cpu_ns ();

  for (size_t i = 0; i < TICKS; i++)
    bl_dispatch_tick (d, NOW_MS + 1 + i * 20);
  print_result ("  tick_us", (double)(cpu_ns () - start) / TICKS / 1000, "us");
}

int
main (void)
{
  static const size_t sizes[] = { 40, 160, 640, 2560, 10240 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      size_t services = sizes[i] / SERVERS_PER_SERVICE;
      struct bl_addr last_dest = { .port = 0 };
      struct bl_dispatch *d = new_balancer (sizes[i], &last_dest);
      printf ("agents %zu\n", sizes[i]);
      measure_flows (d, services, &last_dest);
      measure_owner_lookups (d, services, &last_dest);
      measure_ticks (d);
      bl_dispatch_free (d);
    }
  return 0;
}
