/* balancer.c -- the balancer role for the ip transport, where agents terminate
   TCP connections

   Connects a bl_node to sockets and threads.  Packets are received and sent in
   batches, to save system calls; each is parsed, gets a forwarding header and
   is sent to the agent that the node chooses.  A single lock protects the
   state: the event loop holds it except while it waits, and the other threads
   take it in their callbacks.  */

#include "daemon/daemon.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define TICK_MS            50
#define STOP_QUIET_MS      3000 /* without packets; then none is expected */
#define STOP_MIN_MS        1500 /* in which peers receive the new state */
#define DATAGRAM_MAX_BYTES 65536
#define READS_PER_EVENT    16 /* batches before other sources are handled */

struct balancer;

/* A socket in the event loop; the callbacks find the role through it.  */
struct balancer_socket
{
  struct io_source source;
  struct balancer *balancer;
};

struct balancer
{
  struct daemon_lock lock; /* first: daemon_lock gets the role's address */
  const struct settings *settings;
  struct io_loop *loop;
  struct bl_node *node;
  struct io_bulk *bulk;
  struct relay *relay;
  struct admin *admin;
  struct io_batch *batch;
  struct balancer_socket data;    /* packets of callers, to agents */
  struct balancer_socket control; /* control messages */
  uint64_t last_packet_ms;        /* when a packet was received last */
  uint64_t stopping_ms;    /* start of the graceful stop; 0: not stopping */
  struct closing *closing; /* NULL: not yet */
  uint8_t datagram[DATAGRAM_MAX_BYTES];
};

/* -- packets -- */

/* Sends the received datagram I to the agent that the node chooses.  */
static void
forward_packet (struct balancer *b, int i)
{
  uint8_t header[BL_FORWARD_MAX];
  struct bl_forward f;
  struct bl_addr to;
  size_t len;
  const uint8_t *packet = io_batch_data (b->batch, i, &len);

  if (bl_node_route (b->node, packet, len, &to, &f) != BL_OK)
    return;
  io_batch_queue (b->batch, i, to, header, bl_forward_encode (&f, header));
}

static void
on_data (struct io_source *source, uint32_t events)
{
  struct balancer *b = ((struct balancer_socket *)source)->balancer;

  (void)events;
  for (int reads = 0; reads < READS_PER_EVENT; reads++)
    {
      int n = io_batch_receive (b->batch, source->fd);
      if (n == 0)
        return;
      b->last_packet_ms = io_now_ms ();
      for (int i = 0; i < n; i++)
        forward_packet (b, i);
      io_batch_flush (b->batch, source->fd);
      if (n < IO_BATCH_MAX)
        return;
    }
}

/* -- control -- */

static void
on_control (struct io_source *source, uint32_t events)
{
  struct balancer *b = ((struct balancer_socket *)source)->balancer;
  struct bl_addr from;
  int n;

  (void)events;
  while (
      (n = io_udp_receive (source->fd, &from, b->datagram, DATAGRAM_MAX_BYTES))
      >= 0)
    bl_node_message (b->node, io_now_ms (), from, b->datagram, (size_t)n);
}

static void
node_send (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  struct balancer *b = ctx;
  io_udp_send (b->control.source.fd, to, buf, len);
}

static void
node_pull (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  struct balancer *b = ctx;
  io_bulk_pull (b->bulk, to, buf, len);
}

static const uint8_t *
bulk_request (void *ctx, const uint8_t *buf, size_t len, size_t *reply_len)
{
  struct balancer *b = ctx;
  return bl_node_request (b->node, io_now_ms (), buf, len, reply_len);
}

static void
bulk_reply (void *ctx, const uint8_t *buf, size_t len)
{
  struct balancer *b = ctx;
  bl_node_message (b->node, io_now_ms (), (struct bl_addr){ .port = 0 }, buf,
                   len);
}

/* -- relay -- */

static bool
relay_enabled (void *ctx)
{
  struct balancer *b = ctx;
  bool enabled;

  daemon_lock (b);
  enabled = bl_node_is_relay (b->node);
  daemon_unlock (b);
  return enabled;
}

static uint64_t
relay_version (void *ctx)
{
  struct balancer *b = ctx;
  uint64_t version;

  daemon_lock (b);
  version = bl_config_version (bl_node_config (b->node));
  daemon_unlock (b);
  return version;
}

static int
relay_configure (void *ctx,
                 uint64_t from,
                 uint64_t up_to,
                 struct bl_service **services,
                 size_t count)
{
  struct balancer *b = ctx;
  int err;

  daemon_lock (b);
  err = bl_node_apply_config (b->node, from, up_to, services, count);
  daemon_unlock (b);
  return err;
}

static const struct relay_ops relay_ops = {
  .enabled = relay_enabled,
  .version = relay_version,
  .configure = relay_configure,
};

/* -- admin -- */

static bool
admin_ready (void *ctx)
{
  struct balancer *b = ctx;
  return bl_node_is_ready (b->node) && b->stopping_ms == 0;
}

static void
admin_metrics (void *ctx, struct strbuf *out)
{
  struct balancer *b = ctx;

  for (int i = 0; i < BL_NODE_COUNTERS; i++)
    {
      char name[64];
      snprintf (name, sizeof name, "balancer_%s_total",
                bl_node_counter_name (i));
      metric_add (out, "counter", name, "", bl_node_counter (b->node, i));
    }
  metric_add (out, "counter", "balancer_platform_calls_total", "",
              relay_calls (b->relay));
  metric_add (out, "gauge", "balancer_configuration_version", "",
              bl_config_version (bl_node_config (b->node)));
  metric_add (out, "gauge", "balancer_is_relay", "",
              bl_node_is_relay (b->node));
}

static json_t *
record_to_json (const struct balancer *b, const struct bl_record *r)
{
  struct bl_addr data = { r->ip, r->data_port };
  struct bl_addr admin = { r->ip, r->admin_port };
  char data_text[BL_ADDR_TEXT_MAX];
  char admin_text[BL_ADDR_TEXT_MAX];
  const char *state = bl_node_is_monitored (b->node, r)
                          ? bl_state_name (r->state)
                          : "unreachable";

  return json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:I}", "id", r->id.s,
                    "dc", r->dc.s, "service", r->service.s, "state", state,
                    "data", bl_addr_format (data, data_text), "admin",
                    bl_addr_format (admin, admin_text), "incarnation",
                    (json_int_t)r->incarnation, "slots", (json_int_t)r->slots);
}

/* The context of add_record: a JSON list that is being built.  */
struct record_list
{
  const struct balancer *balancer;
  json_t *list;
};

static void
add_record (void *ctx, const struct bl_record *r)
{
  struct record_list *record_list = ctx;
  json_array_append_new (record_list->list,
                         record_to_json (record_list->balancer, r));
}

static json_t *
list_records (struct balancer *b, enum bl_instance_kind kind)
{
  struct record_list record_list = { .balancer = b, .list = json_array () };

  bl_node_each_record (b->node, kind, add_record, &record_list);
  return record_list.list;
}

static void
add_monitored (void *ctx,
               const struct bl_record *r,
               uint64_t applied,
               uint32_t flows)
{
  json_array_append_new (ctx, json_pack ("{s:s, s:s, s:I, s:I}", "id", r->id.s,
                                         "service", r->service.s, "applied",
                                         (json_int_t)applied, "flows",
                                         (json_int_t)flows));
}

static json_t *
admin_status (void *ctx)
{
  struct balancer *b = ctx;
  json_t *monitored = json_array ();

  bl_node_each_monitored (b->node, add_monitored, monitored);
  return json_pack (
      "{s:s, s:s, s:s, s:I, s:b, s:b, s:o, s:o, s:o}", "role", "balancer", "id",
      b->settings->id.s, "dc", b->settings->dc.s, "version",
      (json_int_t)bl_config_version (bl_node_config (b->node)), "relay",
      (int)bl_node_is_relay (b->node), "ready", (int)admin_ready (b),
      "balancers", list_records (b, BL_KIND_BALANCER), "backends",
      list_records (b, BL_KIND_BACKEND), "kept", monitored);
}

static void
begin_stop (struct balancer *b)
{
  if (b->stopping_ms != 0)
    return;
  b->stopping_ms = io_now_ms ();
  io_log (IO_INFO, "stop_started", "id=%s", b->settings->id.s);
  bl_node_drain (b->node);
}

static void
admin_drain (void *ctx)
{
  begin_stop (ctx);
}

static const struct admin_ops admin_ops = {
  .ready = admin_ready,
  .metrics = admin_metrics,
  .status = admin_status,
  .drain = admin_drain,
  .lock = daemon_lock,
  .unlock = daemon_unlock,
};

/* -- start and stop -- */

/* Ends what runs beside the event loop.  */
static void
close_services (void *ctx)
{
  struct balancer *b = ctx;

  relay_stop (b->relay);
  admin_stop (b->admin);
}

/* Advances a graceful stop.  The balancer forwards until no packet has come for
   STOP_QUIET_MS, because the network then routes none to it any more, or until
   the grace period ends.  */
static void
advance_stop (struct balancer *b)
{
  uint64_t now = io_now_ms ();
  uint64_t waited = now - b->stopping_ms;
  uint64_t grace_ms = b->settings->stop_grace_s * 1000;

  if (b->stopping_ms == 0)
    return;
  if (b->closing != NULL)
    {
      if (closing_is_over (b->closing))
        io_loop_stop (b->loop);
      return;
    }
  if ((waited > STOP_MIN_MS && now - b->last_packet_ms > STOP_QUIET_MS)
      || (grace_ms > 0 && waited + CLOSING_MAX_MS > grace_ms))
    {
      bl_node_leave (b->node);
      b->closing = closing_start (close_services, b);
      if (b->closing == NULL)
        io_loop_stop (b->loop);
    }
}

static void
on_tick (void *ctx)
{
  struct balancer *b = ctx;

  bl_node_tick (b->node, io_now_ms ());
  io_bulk_poll (b->bulk);
  if (daemon_stop_requested ())
    begin_stop (b);
  advance_stop (b);
}

static int
open_node (struct balancer *b)
{
  const struct settings *s = b->settings;
  struct bl_node_settings settings = {
    .id = s->id,
    .dc = s->dc,
    .ip = s->ip,
    .data_port = (uint16_t)s->data_port,
    .control_port = (uint16_t)s->control_port,
    .bulk_port = (uint16_t)s->bulk_port,
    .admin_port = (uint16_t)s->admin_port,
    .incarnation = io_wall_ms (),
    .random_seed = s->random_seed,
    .seed_count = s->seed_count,
  };
  static const struct bl_node_ops ops
      = { .send = node_send, .pull = node_pull };

  memcpy (settings.seeds, s->seeds, sizeof settings.seeds);
  b->node = bl_node_new (&settings, &ops, b);
  return b->node != NULL ? 0 : -1;
}

static int
open_all (struct balancer *b)
{
  const struct settings *s = b->settings;
  struct bl_addr bulk = { s->ip, (uint16_t)s->bulk_port };
  static const struct io_bulk_ops bulk_ops
      = { .request = bulk_request, .reply = bulk_reply };

  b->loop = io_loop_new ();
  b->batch = io_batch_new ();
  b->data.balancer = b;
  b->control.balancer = b;
  if (b->loop == NULL || b->batch == NULL || open_node (b) != 0
      || daemon_open_udp (b->loop, &b->data.source, s->ip, s->data_port,
                          on_data)
             != 0
      || daemon_open_udp (b->loop, &b->control.source, s->ip, s->control_port,
                          on_control)
             != 0)
    return -1;
  b->bulk = io_bulk_new (b->loop, bulk, &bulk_ops, b);
  b->admin = admin_start ((struct bl_addr){ s->ip, (uint16_t)s->admin_port }, 0,
                          &admin_ops, b);
  if (b->bulk == NULL || b->admin == NULL)
    {
      io_log (IO_ERROR, "cannot_bind", "bulk_port=%lu admin_port=%lu",
              s->bulk_port, s->admin_port);
      return -1;
    }
  if (s->platform != NULL)
    b->relay = relay_start (s->platform, s->random_seed, &relay_ops, b);
  return 0;
}

static void
close_all (struct balancer *b)
{
  if (b->closing != NULL)
    closing_finish (b->closing);
  else
    close_services (b);
  relay_free (b->relay);
  io_bulk_free (b->bulk);
  if (b->data.source.fd > 0)
    close (b->data.source.fd);
  if (b->control.source.fd > 0)
    close (b->control.source.fd);
  bl_node_free (b->node);
  io_batch_free (b->batch);
  io_loop_free (b->loop);
  free (b);
}

int
balancer_run (const struct settings *settings)
{
  struct balancer *b = calloc (1, sizeof *b);
  int status = 1;

  if (b == NULL)
    return 1;
  b->settings = settings;
  pthread_mutex_init (&b->lock.mutex, NULL);
  if (open_all (b) == 0)
    {
      io_loop_set_lock (b->loop, daemon_lock, daemon_unlock, b);
      io_loop_set_tick (b->loop, TICK_MS, on_tick, b);
      io_log (IO_INFO, "started", "role=balancer id=%s dc=%s", settings->id.s,
              settings->dc.s);
      io_loop_run (b->loop);
      io_log (IO_INFO, "stopped", "role=balancer id=%s", settings->id.s);
      status = 0;
    }
  close_all (b);
  return status;
}
