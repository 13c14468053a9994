/* bench_forward.c -- a balancer's forwarding against a bare relay

   Both take packets from one UDP socket in batches and send them on to
   another, with the same batches and sockets in the same run, in turns; the
   one gives each packet to a real node first.  What is compared is the
   processor time of taking and sending, for the sender and the sink share the
   thread and are left out.  */

#include "bench/bench.h"
#include "io/io.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TURNS        400
#define BATCHES      8
#define BACKENDS     9
#define PAYLOAD      512
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
  struct bl_addr sink;
  struct bl_random random;
  uint64_t forwarded;
};

static void
ignore (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  (void)ctx;
  (void)to;
  (void)buf;
  (void)len;
}

static const struct bl_node_ops ops = { .send = ignore, .pull = ignore };

static uint16_t
fold (uint32_t sum)
{
  while (sum >> 16)
    sum = (sum & 0xffff) + (sum >> 16);
  return (uint16_t)sum;
}

static uint32_t
add (uint32_t sum, const void *p, size_t len)
{
  const uint8_t *b = p;
  for (size_t i = 0; i + 1 < len; i += 2)
    sum += (uint32_t)b[i] << 8 | b[i + 1];
  return sum;
}

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
  ip.check = htons ((uint16_t)~fold (add (0, &ip, sizeof ip)));
  memcpy (buf, &ip, sizeof ip);
  memcpy (at, &tcp, sizeof tcp);
  sum = add (0, &ip.saddr, 8) + IPPROTO_TCP + (uint32_t)segment;
  tcp.check = htons ((uint16_t)~fold (add (sum, at, segment)));
  memcpy (at + 16, &tcp.check, sizeof tcp.check);
  return sizeof ip + segment;
}

static void
send_packets (struct rig *rig)
{
  uint8_t buf[BL_PACKET_MAX];

  for (int i = 0; i < BATCHES * IO_BATCH; i++)
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

static void
queue_bare (struct rig *rig, int i)
{
  static const uint8_t none[1];
  io_batch_queue (rig->batch, i, rig->sink, none, 0);
}

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

static uint64_t
turn (struct rig *rig, void (*queue) (struct rig *rig, int i))
{
  uint64_t start;
  uint64_t spent;
  int n;

  send_packets (rig);
  start = cpu_ns ();
  while ((n = io_batch_receive (rig->batch, rig->in_fd)) > 0)
    {
      for (int i = 0; i < n; i++)
        queue (rig, i);
      io_batch_flush (rig->batch, rig->in_fd);
    }
  spent = cpu_ns () - start;
  drain_sink (rig);
  return spent;
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
      bare += turn (&rig, queue_bare);
      routed += turn (&rig, queue_routed);
    }
  result ("forward_bare_ns", (double)bare * 2 / (double)rig.forwarded, "ns");
  result ("forward_routed_ns", (double)routed * 2 / (double)rig.forwarded,
          "ns");
  result ("forwarding_ratio", (double)bare / (double)routed, "1");
  bl_node_free (rig.node);
  io_batch_free (rig.batch);
  close (rig.in_fd);
  close (rig.sink_fd);
  return 0;
}
