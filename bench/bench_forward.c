/* bench_forward.c -- forwarding of a balancer, compared with a plain relay

   Both receive packets from a UDP socket in batches and send them to another
   socket.  They use the same sockets and batches and take turns in the same
   run.  The balancer also passes each packet to a real node, which chooses the
   destination and makes the forwarding header.  Only the processor time of
   receiving and sending is measured, because the sender and the sink run on the
   same thread.  */

#include "bench/bench.h"
#include "io/io.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TURNS        400 /* of each */
#define BATCHES      8   /* in a turn */
#define BACKENDS     9
#define PAYLOAD      512 /* bytes */
#define FLOWS        4096
#define SERVICE_IP   0x0a500001u
#define SERVICE_PORT 80

struct rig
{
  struct bl_node *node;
  struct io_batch *batch;
  int in_fd;
  int out_fd;
  int sink_fd;
  struct bl_addr in;
  struct bl_addr sink; /* takes the place of all agents */
  struct bl_random random;
  uint64_t forwarded; /* packets, in all turns of both */
};

static void
ignore_message (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  (void)ctx;
  (void)to;
  (void)buf;
  (void)len;
}

static const struct bl_node_ops ops
    = { .send = ignore_message, .pull = ignore_message };

/* One's complement sums as in RFC 1071.  sum_add needs an even LEN.  */
static uint16_t
sum_fold (uint32_t sum)
{
  while (sum >> 16)
    sum = (sum & 0xffff) + (sum >> 16);
  return (uint16_t)sum;
}

static uint32_t
sum_add (uint32_t sum, const void *p, size_t len)
{
  const uint8_t *b = p;
  for (size_t i = 0; i + 1 < len; i += 2)
    sum += (uint32_t)b[i] << 8 | b[i + 1];
  return sum;
}

/* Writes an IPv4 packet with a TCP segment of FLOW to BUF.  Returns its
   length.  */
static size_t
make_packet (uint8_t *buf, uint32_t flow)
{
  size_t segment = sizeof (struct tcphdr) + PAYLOAD;
  struct iphdr ip = {
    .version = 4,
    .ihl = 5,
    .ttl = 64,
    .protocol = IPPROTO_TCP,
    .tot_len = htons ((uint16_t)(sizeof ip + segment)),
    .saddr = htonl (0x0a000001u + flow),
    .daddr = htonl (SERVICE_IP),
  };
  struct tcphdr tcp = {
    .source = htons ((uint16_t)(1024 + flow)),
    .dest = htons (SERVICE_PORT),
    .seq = htonl (flow),
    .ack_seq = htonl (flow),
    .doff = 5,
    .ack = 1,
  };
  uint8_t *at = buf + sizeof ip;
  uint32_t sum;

  memset (at, 'x', segment);
  ip.check = htons ((uint16_t)~sum_fold (sum_add (0, &ip, sizeof ip)));
  memcpy (buf, &ip, sizeof ip);
  memcpy (at, &tcp, sizeof tcp);
  sum = sum_add (0, &ip.saddr, 8) + IPPROTO_TCP + (uint32_t)segment;
  tcp.check = htons ((uint16_t)~sum_fold (sum_add (sum, at, segment)));
  memcpy (at + 16, &tcp.check, sizeof tcp.check);
  return sizeof ip + segment;
}

static void
send_packets (struct rig *rig)
{
  uint8_t buf[BL_PACKET_MAX];

  for (int i = 0; i < BATCHES * IO_BATCH_MAX; i++)
    {
      size_t len = make_packet (buf, bl_random_below (&rig->random, FLOWS));
      io_udp_send (rig->sink_fd, rig->in, buf, len);
    }
}

static void
drain_sink (struct rig *rig)
{
  uint8_t buf[BL_PACKET_MAX + BL_FORWARD_MAX];

  while (io_udp_receive (rig->sink_fd, NULL, buf, sizeof buf) >= 0)
    rig->forwarded++;
}

/* Queues packet I as it is.  */
static void
queue_plain (struct rig *rig, int i)
{
  static const uint8_t none[1];
  io_batch_queue (rig->batch, i, rig->sink, none, 0);
}

/* Queues packet I with the forwarding header that the node chooses.  */
static void
queue_routed (struct rig *rig, int i)
{
  uint8_t header[BL_FORWARD_MAX];
  struct bl_forward f;
  struct bl_addr to;
  size_t len;
  const uint8_t *packet = io_batch_data (rig->batch, i, &len);

  if (bl_node_route (rig->node, packet, len, &to, &f) != BL_OK)
    abort ();
  io_batch_queue (rig->batch, i, rig->sink, header,
                  bl_forward_encode (&f, header));
}

/* Relays BATCHES batches of packets.  Returns the processor time used, in
   ns.  */
static uint64_t
run_turn (struct rig *rig, void (*queue) (struct rig *rig, int i))
{
  uint64_t start;
  uint64_t spent_ns;
  int n;

  send_packets (rig);
  start = cpu_ns ();
  while ((n = io_batch_receive (rig->batch, rig->in_fd)) > 0)
    {
      for (int i = 0; i < n; i++)
        queue (rig, i);
      io_batch_flush (rig->batch, rig->in_fd);
    }
  spent_ns = cpu_ns () - start;
  drain_sink (rig);
  return spent_ns;
}

static void
configure (struct rig *rig)
{
  struct bl_service *s = calloc (1, sizeof *s);
  struct bl_record r = {
    .kind = BL_KIND_BACKEND,
    .state = BL_STATE_READY,
    .data_port = 7000,
    .incarnation = 1796342400000u,
  };

  *s = (struct bl_service){
    .id = 1,
    .address = SERVICE_IP,
    .changed = 1,
    .listener_count = 1,
    .listeners = { { .port = SERVICE_PORT } },
  };
  bl_name_set (&s->name, bl_str_of ("web"));
  bl_name_set (&r.dc, bl_str_of ("dc1"));
  r.service = s->name;
  bl_node_apply_config (rig->node, 0, 1, &s, 1);
  for (int i = 0; i < BACKENDS; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "s%d", i);
      bl_name_set (&r.id, bl_str_of (name));
      r.ip = 0x7f010001u + (uint32_t)i;
      bl_node_apply_record (rig->node, &r);
    }
}

int
main (void)
{
  struct rig rig = { .in = { 0x7f000001u, 0 }, .sink = { 0x7f000001u, 0 } };
  struct bl_node_settings settings = { .ip = 0x7f000001u, .random_seed = 1 };
  uint64_t bare = 0;
  uint64_t routed = 0;

  bl_name_set (&settings.id, bl_str_of ("b1"));
  bl_name_set (&settings.dc, bl_str_of ("dc1"));
  rig.node = bl_node_new (&settings, &ops, NULL);
  rig.batch = io_batch_new ();
  rig.in_fd = io_udp_open (&rig.in);
  rig.sink_fd = io_udp_open (&rig.sink);
  configure (&rig);
  for (int i = 0; i < TURNS; i++)
    {
      bare += run_turn (&rig, queue_plain);
      routed += run_turn (&rig, queue_routed);
    }
  print_result ("forward_bare_ns", (double)bare * 2 / (double)rig.forwarded,
                "ns");
  print_result ("forward_routed_ns", (double)routed * 2 / (double)rig.forwarded,
                "ns");
  print_result ("forwarding_ratio", (double)bare / (double)routed, "1");
  bl_node_free (rig.node);
  io_batch_free (rig.batch);
  close (rig.in_fd);
  close (rig.sink_fd);
  return 0;
}
