/* bench_dispatch.c -- processor time of a balancer's decisions on the datagram
   transport, by the number of instances and of flows

   For each size: a flow from its first packet until its caller's choice, a
   packet of an open flow, an owner asked for and found, a tick; and memory a
   flow.  Backend servers are ten to a service, as at the target.  */

#include "bench/bench.h"
#include "core/dispatch.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS_A_SERVICE 10
#define FLOWS             4000
#define PACKETS           200000
#define TICKS             200
#define ROUTES_NET        0xc6120000u
#define CALLERS_NET       0x64400000u
#define AGENTS_NET        0x0a000000u

static void
drop_link (void *ctx,
           struct bl_addr to,
           const struct bl_link_msg *link,
           const uint8_t *packet,
           size_t len)
{
  struct bl_addr *last = ctx;

  (void)link;
  (void)packet;
  (void)len;
  *last = to;
}

static void
drop_reset (void *ctx, const struct bl_flow_key *key, uint32_t seq)
{
  (void)ctx;
  (void)key;
  (void)seq;
}

static void
drop_message (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  (void)ctx;
  (void)to;
  (void)buf;
  (void)len;
}

static void
drop_pull (void *ctx, const struct bl_instance *peer)
{
  (void)ctx;
  (void)peer;
}

static void
drop_decision (void *ctx, const struct bl_decision *decision)
{
  (void)ctx;
  (void)decision;
}

static const struct bl_dispatch_ops ops = {
  .send_to_agent = drop_link,
  .reset = drop_reset,
  .send = drop_message,
  .pull = drop_pull,
  .log_decision = drop_decision,
};

static void
name_service (struct bl_name *name, size_t i)
{
  char text[32];

  snprintf (text, sizeof text, "service-%zu", i);
  bl_name_set (name, bl_str_of (text));
}

static struct bl_route_table *
routes (size_t services)
{
  struct bl_route_table *table = bl_route_table_new (services);

  table->version = 1;
  table->count = services;
  for (size_t i = 0; i < services; i++)
    {
      struct bl_route_entry *r = &table->routes[i];
      r->ip = ROUTES_NET + (uint32_t)i;
      r->port = 443;
      r->split_count = 1;
      name_service (&r->splits[0].service, i);
      r->splits[0].service_hash = bl_name_hash (&r->splits[0].service, 0);
      r->splits[0].weight = 1;
    }
  bl_route_table_sort (table);
  return table;
}

static void
learn_agents (struct bl_dispatch *d, size_t count)
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
      name_service (&r.service, i / SERVERS_A_SERVICE);
      bl_dispatch_apply_record (d, 10, &r);
    }
}

static struct bl_dispatch *
balancer (size_t agents, struct bl_addr *last)
{
  struct bl_dispatch_settings settings
      = { .self = { .kind = BL_KIND_BALANCER, .ip = 1 }, .random_seed = 3 };
  struct bl_dispatch *d;

  bl_name_set (&settings.self.id, bl_str_of ("b"));
  bl_name_set (&settings.self.dc, bl_str_of ("dc"));
  d = bl_dispatch_new (&settings, &ops, last);
  bl_dispatch_configure (d, 1, routes (agents / SERVERS_A_SERVICE));
  learn_agents (d, agents);
  bl_dispatch_list_complete (d, 10);
  bl_dispatch_tick (d, 1000);
  return d;
}

static struct bl_packet
packet_of (size_t flow, size_t services, uint8_t flags)
{
  return (struct bl_packet){
    .key = { .src_ip = CALLERS_NET + (uint32_t)(flow / 60000),
             .src_port = (uint16_t)(1024 + flow % 60000),
             .dst_ip = ROUTES_NET + (uint32_t)(flow % services),
             .dst_port = 443 },
    .seq = 100,
    .ack = flags & BL_TCP_SYN ? 0 : 501,
    .flags = flags,
    .payload_len = flags & BL_TCP_SYN ? 0 : 10,
  };
}

static void
send (struct bl_dispatch *d, size_t flow, size_t services, uint8_t flags)
{
  struct bl_packet p = packet_of (flow, services, flags);

  bl_dispatch_packet (d, 1001, &p, (const uint8_t *)&p, sizeof p);
}

static void
answer (struct bl_dispatch *d,
        size_t flow,
        size_t services,
        struct bl_addr from,
        enum bl_link_type type)
{
  struct bl_packet p = packet_of (flow, services, 0);
  struct bl_link_msg link = {
    .type = type, .key = p.key, .seq = 500, .ack = 501, .incarnation = 1
  };

  bl_dispatch_link (d, 1001, from, &link, NULL, NULL, 0);
}

static void
measure_flows (struct bl_dispatch *d,
               size_t services,
               const struct bl_addr *last)
{
  size_t before = mallinfo2 ().uordblks;
  uint64_t start = cpu_ns ();

  for (size_t i = 0; i < FLOWS; i++)
    {
      send (d, i, services, BL_TCP_SYN);
      answer (d, i, services, *last, BL_LINK_ACCEPTED);
      send (d, i, services, BL_TCP_ACK);
    }
  result ("  flow_opened_ns", (double)(cpu_ns () - start) / FLOWS, "ns");
  result ("  flow_bytes", (double)(mallinfo2 ().uordblks - before) / FLOWS,
          "bytes");
  start = cpu_ns ();
  for (size_t i = 0; i < PACKETS; i++)
    send (d, i % FLOWS, services, BL_TCP_ACK);
  result ("  packet_ns", (double)(cpu_ns () - start) / PACKETS, "ns");
}

static void
measure_searches (struct bl_dispatch *d,
                  size_t services,
                  const struct bl_addr *last)
{
  uint64_t start = cpu_ns ();

  for (size_t i = FLOWS; i < 2 * FLOWS; i++)
    {
      send (d, i, services, BL_TCP_ACK);
      answer (d, i, services, *last, BL_LINK_OWNED);
    }
  result ("  owner_found_ns", (double)(cpu_ns () - start) / FLOWS, "ns");
}

static void
measure_ticks (struct bl_dispatch *d)
{
  uint64_t start = cpu_ns ();

  for (size_t i = 0; i < TICKS; i++)
    bl_dispatch_tick (d, 1002 + i * 20);
  result ("  tick_us", (double)(cpu_ns () - start) / TICKS / 1000, "us");
}

int
main (void)
{
  static const size_t sizes[] = { 40, 160, 640, 2560, 10240 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      size_t services = sizes[i] / SERVERS_A_SERVICE;
      struct bl_addr last = { .port = 0 };
      struct bl_dispatch *d = balancer (sizes[i], &last);
      printf ("agents %zu\n", sizes[i]);
      measure_flows (d, services, &last);
      measure_searches (d, services, &last);
      measure_ticks (d);
      bl_dispatch_free (d);
    }
  return 0;
}
