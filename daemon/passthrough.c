/* passthrough.c -- the agent role for the datagram transport, where the backend
   server terminates TCP connections itself

   Connects a bl_passthrough to its sockets: packets from balancers, packets
   from the backend server, control messages, and heartbeats of the backend
   server over HTTP.  A connection attempt, on request of the core, checks
   whether the backend server is alive.  A single lock protects the state.  */

#include "core/passthrough.h"
#include "daemon/daemon.h"
#include "daemon/link_io.h"
#include "platform/platform.h"

#include <errno.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define TICK_MS            20
#define DATAGRAM_MAX_BYTES 4096
#define READS_PER_EVENT    256  /* datagrams before other sources are handled */
#define CHECK_TIMEOUT_MS   1000 /* of a connection attempt */
#define STOP_DELAY_MS      100  /* in which the last messages reach balancers */
#define HANDOVER_MAX_MS    1000 /* for writing the flow table at a stop */

struct passthrough;

/* A socket in the event loop; the callbacks find the role through it.  */
struct passthrough_socket
{
  struct io_source source;
  struct passthrough *passthrough;
};

struct passthrough
{
  struct daemon_lock lock; /* first: daemon_lock gets the role's address */
  const struct settings *settings;
  struct io_loop *loop;
  struct bl_passthrough *core;
  struct admin *admin;           /* readiness and metrics */
  struct admin *heartbeat_admin; /* HTTP server for heartbeats */
  struct registry *registry;
  struct decision_log *log;
  struct passthrough_socket links;    /* link messages; packets to callers */
  struct passthrough_socket outgoing; /* to and from the backend server */
  struct passthrough_socket control;  /* control messages */
  struct passthrough_socket check;    /* connection attempt; fd 0: none */
  bool previous_noted;   /* the core knows which server was served before */
  bool handover_settled; /* the core knows what an earlier process left */
  uint64_t check_start_ms;
  uint64_t stopping_ms;    /* start of the graceful stop; 0: not stopping */
  struct closing *closing; /* NULL: not yet */
  uint64_t malformed;      /* packets, link messages and heartbeats */
  uint8_t datagram[DATAGRAM_MAX_BYTES];
};

/* -- packets -- */

static void
on_link (struct io_source *source, uint32_t events)
{
  struct passthrough *p = ((struct passthrough_socket *)source)->passthrough;
  struct link_datagram in;

  (void)events;
  for (int i = 0; i < READS_PER_EVENT; i++)
    {
      int err = link_receive (source->fd, p->datagram, DATAGRAM_MAX_BYTES, &in);
      if (err == BL_ENOTFOUND)
        return;
      if (err == BL_OK)
        bl_passthrough_link (p->core, io_now_ms (), in.from, &in.link,
                             link_packet (&in), in.bytes, in.len);
      else
        p->malformed++;
    }
}

static void
on_outgoing (struct io_source *source, uint32_t events)
{
  struct passthrough *p = ((struct passthrough_socket *)source)->passthrough;
  struct platform_packet packet;

  (void)events;
  for (int i = 0; i < READS_PER_EVENT; i++)
    {
      int n
          = io_udp_receive (source->fd, NULL, p->datagram, DATAGRAM_MAX_BYTES);
      uint64_t now = io_now_ms ();
      if (n < 0)
        return;
      if (platform_packet_parse (&packet, p->datagram, (size_t)n, true)
          != BL_OK)
        p->malformed++;
      else if (!packet.returned)
        bl_passthrough_outgoing (p->core, now, &packet.packet, p->datagram,
                                 (size_t)n);
      else
        {
          platform_packet_set_token (p->datagram, 0);
          bl_passthrough_returned (p->core, now, &packet.packet, packet.token,
                                   p->datagram, (size_t)n);
        }
    }
}

static void
on_control (struct io_source *source, uint32_t events)
{
  struct passthrough *p = ((struct passthrough_socket *)source)->passthrough;
  struct bl_addr from;
  int n;

  (void)events;
  while (
      (n = io_udp_receive (source->fd, &from, p->datagram, DATAGRAM_MAX_BYTES))
      >= 0)
    bl_passthrough_message (p->core, io_now_ms (), from, p->datagram,
                            (size_t)n);
}

/* -- check whether the backend server is alive -- */

static void
end_check (struct passthrough *p)
{
  io_loop_remove (p->loop, &p->check.source);
  close (p->check.source.fd);
  p->check.source.fd = 0;
}

static void
on_check (struct io_source *source, uint32_t events)
{
  struct passthrough *p = ((struct passthrough_socket *)source)->passthrough;
  int err = 0;
  socklen_t len = sizeof err;

  (void)events;
  if (getsockopt (source->fd, SOL_SOCKET, SO_ERROR, &err, &len) != 0)
    err = errno;
  end_check (p);
  bl_passthrough_check_result (p->core, io_now_ms (), err == 0);
}

static void
core_check (void *ctx)
{
  struct passthrough *p = ctx;
  int fd;

  if (p->check.source.fd > 0)
    return;
  fd = io_tcp_connect (p->settings->backend);
  if (fd < 0)
    {
      io_log (IO_WARN, "check_failed", "reason=\"%s\"", strerror (errno));
      return;
    }
  p->check_start_ms = io_now_ms ();
  p->check.source = (struct io_source){
    .fd = fd,
    .events = EPOLLOUT,
    .ready = on_check,
  };
  io_loop_add (p->loop, &p->check.source);
}

/* Ends a connection attempt that takes too long, without a result: the backend
   server's accept queue may be full, so the server may be alive.  */
static void
expire_check (struct passthrough *p)
{
  if (p->check.source.fd > 0
      && io_now_ms () - p->check_start_ms > CHECK_TIMEOUT_MS)
    end_check (p);
}

/* -- operations of the core -- */

static void
core_deliver (void *ctx, const uint8_t *packet, size_t len, uint32_t token)
{
  struct passthrough *p = ctx;
  uint8_t copy[DATAGRAM_MAX_BYTES];

  memcpy (copy, packet, len);
  platform_packet_set_token (copy, token);
  io_udp_send (p->outgoing.source.fd, p->settings->backend, copy, len);
}

static void
core_send_to_caller (void *ctx, uint32_t ip, const uint8_t *packet, size_t len)
{
  struct passthrough *p = ctx;
  struct bl_addr caller = { ip, p->settings->packets.port };

  io_udp_send (p->links.source.fd, caller, packet, len);
}

static void
core_send_to_balancer (void *ctx,
                       struct bl_addr to,
                       const struct bl_link_msg *link,
                       const uint8_t *packet,
                       size_t len)
{
  struct passthrough *p = ctx;
  link_send (p->links.source.fd, to, link, packet, len);
}

static void
core_send (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  struct passthrough *p = ctx;
  io_udp_send (p->control.source.fd, to, buf, len);
}

static void
core_publish (void *ctx, const struct bl_record *record)
{
  struct passthrough *p = ctx;
  registry_publish (p->registry, record);
}

static void
core_log_decision (void *ctx,
                   const char *event_name,
                   const char *reason,
                   const struct bl_flow_key *flow,
                   uint64_t age_ms)
{
  struct passthrough *p = ctx;
  char text[FLOW_TEXT_MAX];
  char record[RECORD_VERSION_TEXT_MAX];
  uint64_t suppressed;

  if (!decision_log_allow (p->log, io_now_ms (), event_name, &suppressed))
    return;
  io_log (
      IO_INFO, event_name,
      "flow=%s why=%s record=%s age_ms=%lu busy=%u flows=%zu suppressed=%lu",
      flow_format (flow, text), reason,
      record_version_format (bl_passthrough_record (p->core), record), age_ms,
      bl_passthrough_busy (p->core), bl_passthrough_flow_count (p->core),
      suppressed);
}

/* -- heartbeats -- */

static int
put_heartbeat (struct passthrough *p,
               struct bl_str id,
               const struct admin_request *r)
{
  static struct bl_findings findings;
  struct bl_heartbeat heartbeat;

  findings.count = 0;
  if (platform_heartbeat_parse (&heartbeat, id, r->body, &findings) != BL_OK)
    {
      p->malformed++;
      io_log (IO_WARN, "heartbeat_unreadable", "place=\"%s\" why=\"%s\"",
              findings.items[0].place, findings.items[0].text);
      return 400;
    }
  switch (bl_passthrough_heartbeat (p->core, io_now_ms (), &heartbeat))
    {
    case BL_OK:
      return 200;
    case BL_ESTALE:
      return 409; /* what it says is not in force, so it is not acknowledged */
    default:
      return 400;
    }
}

static int
on_heartbeat (void *ctx, const struct admin_request *r)
{
  struct passthrough *p = ctx;
  size_t prefix = strlen (PLATFORM_HEARTBEAT_PATH);
  struct bl_str id = { r->path.ptr + prefix, r->path.len - prefix };
  struct bl_name name;

  if (r->method.len == 3 && memcmp (r->method.ptr, "PUT", 3) == 0)
    return put_heartbeat (p, id, r);
  if (r->method.len != 6 || memcmp (r->method.ptr, "DELETE", 6) != 0)
    return 405;
  if (bl_name_set (&name, id) != BL_OK)
    return 400;
  /* If another backend server runs here by now, ID has left already; that is no
     error.  */
  bl_passthrough_leave (p->core, io_now_ms (), &name);
  return 200;
}

/* -- admin -- */

static bool
admin_ready (void *ctx)
{
  struct passthrough *p = ctx;
  return p->stopping_ms == 0;
}

static int
on_readiness (void *ctx, const struct admin_request *request)
{
  (void)request;
  return admin_ready (ctx) ? 200 : 503;
}

static void
admin_metrics (void *ctx, struct strbuf *out)
{
  struct passthrough *p = ctx;
  char labels[128];

  for (int i = 0; i < BL_PASSTHROUGH_COUNTERS; i++)
    {
      char name[64];
      snprintf (name, sizeof name, "pass_%s_total",
                bl_passthrough_counter_name (i));
      metric_add (out, "counter", name, "",
                  bl_passthrough_counter (p->core, i));
    }
  metric_add (out, "counter", "pass_malformed_total", "", p->malformed);
  metric_add (out, "gauge", "pass_flows", "",
              bl_passthrough_flow_count (p->core));
  metric_add (out, "gauge", "pass_busy", "", bl_passthrough_busy (p->core));
  metric_add (out, "counter", "pass_store_calls_total", "",
              registry_calls (p->registry));
  snprintf (labels, sizeof labels, "service=\"%s\"", p->settings->service.s);
  metric_add_histogram (out, "pass_accept_ms", labels,
                        bl_passthrough_accept_times (p->core));
  metric_add_histogram (out, "pass_service_ms", labels,
                        bl_passthrough_service_times (p->core));
}

static json_t *
admin_status (void *ctx)
{
  struct passthrough *p = ctx;
  const struct bl_record *r = bl_passthrough_record (p->core);

  return json_pack ("{s:s, s:s, s:s, s:s, s:s, s:I, s:I}", "role", "agent",
                    "id", r->id.s, "dc", r->dc.s, "service", r->service.s,
                    "state", bl_state_name (r->state), "flows",
                    (json_int_t)bl_passthrough_flow_count (p->core), "busy",
                    (json_int_t)bl_passthrough_busy (p->core));
}

/* Leaves the flow table to the next process.  */
static void
hand_over (struct passthrough *p)
{
  struct bl_handover handover;
  int err = bl_passthrough_hand_over (p->core, io_now_ms (), &handover);

  if (err == BL_OK)
    registry_hand_over (p->registry, &handover);
  else
    io_log (IO_INFO, "handover_omitted", "why=\"%s\"",
            err == BL_ENOTFOUND ? "no backend server"
            : err == BL_ERANGE  ? "too many flows"
                                : "out of memory");
}

static void
begin_stop (struct passthrough *p)
{
  if (p->stopping_ms != 0)
    return;
  p->stopping_ms = io_now_ms ();
  io_log (IO_INFO, "stop_started", "id=%s flows=%zu", p->settings->id.s,
          bl_passthrough_flow_count (p->core));
  bl_passthrough_stop (p->core, p->stopping_ms);
  hand_over (p);
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

/* Tells the core which backend server an earlier process served, as soon as the
   store has been read.  */
static void
note_previous (struct passthrough *p)
{
  struct bl_record previous;
  bool found;

  if (p->previous_noted || !registry_previous (p->registry, &previous, &found))
    return;
  p->previous_noted = true;
  bl_passthrough_note_previous (p->core, found ? &previous : NULL);
}

/* Passes the flow table of an earlier process to the core, once it was read. */
static void
take_over (struct passthrough *p)
{
  struct bl_handover handover;
  struct bl_record previous;
  bool found;
  uint64_t era;

  if (p->handover_settled)
    return;
  if (registry_take_over (p->registry, &handover, &era))
    {
      registry_previous (p->registry, &previous, &found);
      bl_passthrough_take_over (p->core, io_now_ms (), &handover,
                                previous.incarnation, era);
      bl_handover_clear (&handover);
    }
  p->handover_settled = registry_is_taken_over (p->registry);
  if (p->handover_settled)
    bl_passthrough_settle_handover (p->core, io_now_ms ());
}

/* Returns true when the last messages have had time to reach the balancers and
   the flow table was written, or could not be written in time.  */
static bool
may_close (const struct passthrough *p, uint64_t now)
{
  uint64_t waited_ms = now - p->stopping_ms;

  if (p->stopping_ms == 0 || waited_ms < STOP_DELAY_MS)
    return false;
  return registry_is_handed_over (p->registry) || waited_ms >= HANDOVER_MAX_MS;
}

/* Ends what runs beside the event loop.  */
static void
close_services (void *ctx)
{
  struct passthrough *p = ctx;

  registry_stop (p->registry,
                 p->core != NULL && bl_passthrough_has_no_backend (p->core));
  admin_stop (p->admin);
  admin_stop (p->heartbeat_admin);
}

/* Ends the event loop once all else is closed.  */
static void
advance_stop (struct passthrough *p, uint64_t now)
{
  if (p->closing == NULL && may_close (p, now))
    {
      p->closing = closing_start (close_services, p);
      if (p->closing == NULL)
        io_loop_stop (p->loop);
    }
  if (p->closing != NULL && closing_is_over (p->closing))
    io_loop_stop (p->loop);
}

static void
on_tick (void *ctx)
{
  struct passthrough *p = ctx;
  uint64_t now = io_now_ms ();

  bl_passthrough_tick (p->core, now);
  note_previous (p);
  bl_passthrough_note_recorded (p->core, now, registry_recorded (p->registry));
  take_over (p);
  registry_note_era (p->registry, bl_passthrough_store_era (p->core));
  expire_check (p);
  if (daemon_take_reload_request ())
    decision_log_reload (p->log, p->settings);
  if (daemon_stop_requested ())
    begin_stop (p);
  advance_stop (p, now);
}

static int
open_core (struct passthrough *p)
{
  const struct settings *s = p->settings;
  static const struct bl_passthrough_ops ops = {
    .deliver = core_deliver,
    .send_to_caller = core_send_to_caller,
    .send_to_balancer = core_send_to_balancer,
    .send = core_send,
    .check = core_check,
    .publish = core_publish,
    .log_decision = core_log_decision,
  };
  struct bl_passthrough_settings settings = {
    .self = {
      .kind = BL_KIND_BACKEND,
      .id = s->id,
      .dc = s->dc,
      .service = s->service,
      .ip = s->ip,
      .data_port = s->packets.port,
      .control_port = (uint16_t)s->control_port,
      .admin_port = s->http.port,
      .incarnation = io_wall_ms () + s->clock_offset_ms,
    },
    .backend = s->backend,
    .heartbeat_ms = s->heartbeat_ms,
    .payload_max = PLATFORM_PAYLOAD_MAX,
    .has_store = true,
    .seed_count = s->seed_count,
  };

  memcpy (settings.seeds, s->seeds, sizeof settings.seeds);
  for (size_t i = 0; i < s->seed_count; i++)
    settings.seeds[i].port = (uint16_t)s->control_port;
  p->core = bl_passthrough_new (&settings, &ops, p);
  return p->core != NULL ? 0 : -1;
}

static int
open_http (struct passthrough *p)
{
  const struct settings *s = p->settings;

  p->admin = admin_start (s->http, s->metrics_port, &admin_ops, p);
  p->heartbeat_admin = admin_start (s->heartbeats, 0, &admin_ops, p);
  if (p->admin == NULL || p->heartbeat_admin == NULL)
    {
      io_log (IO_ERROR, "cannot_bind",
              "http_port=%u metrics_port=%lu heartbeats_port=%u", s->http.port,
              s->metrics_port, s->heartbeats.port);
      return -1;
    }
  admin_add_handler (p->admin, PLATFORM_READY_PATH "$", on_readiness);
  admin_add_handler (p->heartbeat_admin, PLATFORM_HEARTBEAT_PATH "**",
                     on_heartbeat);
  return 0;
}

static int
open_all (struct passthrough *p)
{
  const struct settings *s = p->settings;

  p->links.passthrough = p;
  p->outgoing.passthrough = p;
  p->control.passthrough = p;
  p->check.passthrough = p;
  p->loop = io_loop_new ();
  p->log = decision_log_new ((unsigned)s->log_lines_s);
  p->registry = registry_start (s->store, s->random_seed, true);
  if (p->loop == NULL || p->log == NULL || p->registry == NULL
      || open_core (p) != 0)
    return -1;
  if (daemon_open_udp (p->loop, &p->links.source, s->packets.ip,
                       s->packets.port, on_link)
          != 0
      || daemon_open_udp (p->loop, &p->outgoing.source, s->outgoing.ip,
                          s->outgoing.port, on_outgoing)
             != 0
      || daemon_open_udp (p->loop, &p->control.source, s->listen_ip,
                          s->control_port, on_control)
             != 0)
    return -1;
  return open_http (p);
}

static void
close_all (struct passthrough *p)
{
  const struct passthrough_socket *all[]
      = { &p->links, &p->outgoing, &p->control, &p->check };

  if (p->closing != NULL)
    closing_finish (p->closing);
  else
    close_services (p);
  registry_free (p->registry);
  for (size_t i = 0; i < sizeof all / sizeof all[0]; i++)
    if (all[i]->source.fd > 0)
      close (all[i]->source.fd);
  bl_passthrough_free (p->core);
  decision_log_free (p->log);
  io_loop_free (p->loop);
  free (p);
}

int
passthrough_run (const struct settings *settings)
{
  struct passthrough *p = calloc (1, sizeof *p);
  char address[BL_ADDR_TEXT_MAX];
  char record[RECORD_VERSION_TEXT_MAX];
  int status = 1;

  if (p == NULL)
    return 1;
  p->settings = settings;
  pthread_mutex_init (&p->lock.mutex, NULL);
  if (open_all (p) == 0)
    {
      io_loop_set_lock (p->loop, daemon_lock, daemon_unlock, p);
      io_loop_set_tick (p->loop, TICK_MS, on_tick, p);
      io_log (IO_INFO, "started",
              "role=agent transport=datagram id=%s dc=%s address=%s record=%s",
              settings->id.s, settings->dc.s,
              bl_addr_format (settings->packets, address),
              record_version_format (bl_passthrough_record (p->core), record));
      io_loop_run (p->loop);
      status = 0;
    }
  close_all (p);
  io_log (IO_INFO, "stopped", "role=agent id=%s", settings->id.s);
  return status;
}
