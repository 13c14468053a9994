/* example.c -- selects the agent for a packet with the core library

   Creates the node of a balancer, adds the configuration of a service and the
   records of three backend servers, which a balancer would receive from a relay
   and from its peers, and routes the first packet of a flow.  Then the selected
   backend server is drained, and the same packet must be routed to another one.
   The exit status is 0 if it is, so the example serves as a test.  */

#include "boragelatch.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

/* An IPv4 packet with a TCP SYN from 10.0.0.1:4321 to 10.80.0.1:80.  */
static const uint8_t packet[40] = {
  0x45, 0x00, 0x00, 0x28, 0x00, 0x00, 0x00, 0x00, 0x40, 0x06,
  0x66, 0x7f, 0x0a, 0x00, 0x00, 0x01, 0x0a, 0x50, 0x00, 0x01,
  0x10, 0xe1, 0x00, 0x50, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00,
  0x00, 0x00, 0x50, 0x02, 0xff, 0xff, 0x8a, 0x5f, 0x00, 0x00,
};

/* Sends nothing; the example has no peers.  */
static void
discard_message (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  (void)ctx;
  (void)to;
  (void)buf;
  (void)len;
}

/* Applies VERSION of the configuration, the service "web" with RULES, a JSON
   array.  */
static void
configure (struct bl_node *node, uint64_t version, const char *rules)
{
  struct bl_findings findings = { .count = 0 };
  struct bl_service *service;
  json_t *json = json_pack (
      "{s:i, s:s, s:s, s:I, s:[{s:i, s:s}], s:o}", "id", 1, "name", "web",
      "address", "10.80.0.1", "changed", (json_int_t)version, "listeners",
      "port", 80, "class", "usual", "rules", json_loads (rules, 0, NULL));

  if (bl_service_from_json (&service, json, "web", &findings) == BL_OK)
    bl_node_apply_config (node, version - 1, version, &service, 1);
  for (size_t i = 0; i < findings.count; i++)
    printf ("%s: %s\n", findings.items[i].place, findings.items[i].text);
  json_decref (json);
}

/* Adds the record of a ready backend server of "web" with its agent at IP.  */
static void
add_backend_server (struct bl_node *node, const char *id, uint32_t ip)
{
  struct bl_record r = {
    .kind = BL_KIND_BACKEND,
    .state = BL_STATE_READY,
    .ip = ip,
    .data_port = 7000,
    .incarnation = 1,
    .seq = 1,
  };

  bl_name_set (&r.id, bl_str_of (id));
  bl_name_set (&r.dc, bl_str_of ("dc1"));
  bl_name_set (&r.service, bl_str_of ("web"));
  bl_node_apply_record (node, &r);
}

/* Returns the address of the agent that the packet is forwarded to; port 0 if
   there is none.  */
static struct bl_addr
route_packet (struct bl_node *node)
{
  struct bl_forward forward = { .fallback_count = 0 };
  struct bl_addr to = { .port = 0 };
  char text[BL_ADDR_TEXT_MAX];
  int err = bl_node_route (node, packet, sizeof packet, &to, &forward);

  if (err != BL_OK)
    printf ("not routed: %s\n", bl_strerror (err));
  else
    printf ("forwarded to the agent %s, with %zu fallbacks\n",
            bl_addr_format (to, text), forward.fallback_count);
  return to;
}

int
main (void)
{
  static const struct bl_node_ops ops
      = { .send = discard_message, .pull = discard_message };
  struct bl_node_settings settings = { .random_seed = 1, .incarnation = 1 };
  struct bl_node *node;
  struct bl_addr before;
  struct bl_addr after;
  char rules[96];

  bl_name_set (&settings.id, bl_str_of ("b1"));
  bl_name_set (&settings.dc, bl_str_of ("dc1"));
  node = bl_node_new (&settings, &ops, NULL);
  configure (node, 1, "[]");
  for (uint32_t i = 1; i <= 3; i++)
    {
      char id[8];
      snprintf (id, sizeof id, "s%u", i);
      add_backend_server (node, id, 0x0a010000u + i);
    }
  before = route_packet (node);
  snprintf (rules, sizeof rules, "[{\"backend\":\"s%u\",\"drain\":true}]",
            before.ip & 0xff);
  configure (node, 2, rules);
  after = route_packet (node);
  bl_node_free (node);
  return before.port != 0 && after.port != 0 && before.ip != after.ip
             ? EXIT_SUCCESS
             : EXIT_FAILURE;
}
