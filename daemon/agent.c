/* agent.c -- the agent role for the ip transport, where the agent terminates
   TCP connections

   Connects a bl_agent to the TCP stack, the proxy, sockets and threads.  The
   lock of the TCP stack protects the state of the whole process, because lwIP
   calls back from a thread of its own while it holds that lock.  */

#include "core/admit.h"
#include "core/health.h"
#include "daemon/daemon.h"
#include "io/stack.h"

#include <jansson.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define TICK_MS              50
#define DATAGRAM_MAX_BYTES   65536
#define READS_PER_EVENT      256 /* datagrams before other sources */
#define HEALTH_INTERVAL_MS   300
#define HEALTH_TIMEOUT_MS    1000
#define STOP_MIN_MS          1500 /* for monitors and peers to get the state */
#define LOAD_SMOOTHING_TICKS 8    /* time constant of the average */

struct agent;

/* A socket in the event loop; the callbacks find the role through it.  */
struct agent_socket
{
  struct io_source source;
  struct agent *agent;
};

struct agent
{
  const struct settings *settings;
  struct io_loop *loop;
  struct bl_agent *core;
  struct proxy *proxy;
  struct io_bulk *bulk;
  struct admin *admin;
  struct agent_socket data;    /* from balancers and agents; to callers */
  struct agent_socket control; /* control messages */
  pthread_t health_thread;
  bool health_thread_started;
  struct bl_health health;
  bool was_healthy;                 /* after the last update */
  volatile bool stop_health_thread; /* requests the end of the thread */
  uint64_t configured_version;      /* of the service, as the proxy has it */
  uint32_t smoothed_load;           /* thousandths of a slot */
  uint64_t stopping_ms;    /* start of the graceful stop; 0: not stopping */
  struct closing *closing; /* NULL: not yet */
  uint8_t datagram[DATAGRAM_MAX_BYTES];
};

/* -- operations of the core -- */

static void
core_send (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  struct agent *a = ctx;
  io_udp_send (a->control.source.fd, to, buf, len);
}

static void
core_pull (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  struct agent *a = ctx;
  io_bulk_pull (a->bulk, to, buf, len);
}

static void
core_forward (void *ctx,
              struct bl_addr to,
              const struct bl_forward *forward,
              const uint8_t *packet,
              size_t len)
{
  struct agent *a = ctx;
  uint8_t buf[BL_FORWARD_MAX + BL_PACKET_MAX];
  size_t n = bl_forward_encode (forward, buf);

  if (len > BL_PACKET_MAX)
    return;
  memcpy (buf + n, packet, len);
  io_udp_send (a->data.source.fd, to, buf, n + len);
}

static void
core_deliver (void *ctx, const uint8_t *packet, size_t len)
{
  (void)ctx;
  io_stack_input (packet, len);
}

static void
core_send_to_caller (void *ctx, const uint8_t *packet, size_t len)
{
  struct agent *a = ctx;
  io_udp_send (a->data.source.fd, a->settings->answers, packet, len);
}

static void
core_remove_connection (void *ctx, const struct bl_flow_key *key)
{
  (void)ctx;
  io_stack_drop (key);
}

static const struct bl_agent_ops core_ops = {
  .send = core_send,
  .pull = core_pull,
  .forward = core_forward,
  .deliver = core_deliver,
  .send_to_caller = core_send_to_caller,
  .remove_connection = core_remove_connection,
};

static void
stack_output (void *ctx, uint8_t *packet, size_t len)
{
  struct agent *a = ctx;

  if (bl_agent_outgoing (a->core, io_now_ms (), packet, len))
    core_send_to_caller (a, packet, len);
}

static void
proxy_closed (void *ctx, const struct bl_flow_key *key)
{
  struct agent *a = ctx;
  bl_agent_flow_closed (a->core, io_now_ms (), key);
}

/* -- input -- */

static void
on_data (struct io_source *source, uint32_t events)
{
  struct agent *a = ((struct agent_socket *)source)->agent;

  (void)events;
  for (int i = 0; i < READS_PER_EVENT; i++)
    {
      int n
          = io_udp_receive (source->fd, NULL, a->datagram, DATAGRAM_MAX_BYTES);
      if (n < 0)
        return;
      bl_agent_packet (a->core, io_now_ms (), a->datagram, (size_t)n);
    }
}

static void
on_control (struct io_source *source, uint32_t events)
{
  struct agent *a = ((struct agent_socket *)source)->agent;
  struct bl_addr from;
  int n;

  if (events & EPOLLERR)
    while (io_udp_receive_port_unreachable (source->fd, &from) == 0)
      bl_agent_port_unreachable (a->core, io_now_ms (), from);
  while (
      (n = io_udp_receive (source->fd, &from, a->datagram, DATAGRAM_MAX_BYTES))
      >= 0)
    bl_agent_message (a->core, io_now_ms (), from, a->datagram, (size_t)n);
}

static void
bulk_reply (void *ctx, const uint8_t *buf, size_t len)
{
  struct agent *a = ctx;
  bl_agent_message (a->core, io_now_ms (), (struct bl_addr){ .port = 0 }, buf,
                    len);
}

/* -- health of the backend server -- */

/* Requests the health page.  Returns true for status 200, or if there is no
   health page.  */
static bool
request_health (const struct agent *a)
{
  struct io_object body = { .len = 0 };
  char addr[BL_ADDR_TEXT_MAX];
  char url[64];
  long status;

  if (a->settings->health.port == 0)
    return true;
  snprintf (url, sizeof url, "http://%s/health",
            bl_addr_format (a->settings->health, addr));
  status = io_http_request ("GET", url, NULL, HEALTH_TIMEOUT_MS, &body);
  io_object_clear (&body);
  return status == 200;
}

/* Returns true if a connection to the backend server can be opened.  Called
   only while connection attempts for callers fail.  */
static bool
check_connect (const struct agent *a)
{
  struct pollfd poll_fd
      = { .fd = io_tcp_connect (a->settings->backend), .events = POLLOUT };
  int err = -1;
  socklen_t len = sizeof err;

  if (poll_fd.fd < 0)
    return false;
  if (poll (&poll_fd, 1, HEALTH_TIMEOUT_MS) == 1)
    getsockopt (poll_fd.fd, SOL_SOCKET, SO_ERROR, &err, &len);
  close (poll_fd.fd);
  return err == 0;
}

/* Passes the health of the backend server to the core, and logs a change.  The
   lock is held.  */
static void
update_health (struct agent *a)
{
  bool healthy = bl_health_is_good (&a->health);

  bl_agent_set_ready (a->core, healthy);
  if (healthy != a->was_healthy)
    io_log (IO_INFO, "health_changed", "well=%d bad_reports=%u bad_connects=%u",
            healthy, a->health.bad_reports, a->health.bad_connects);
  a->was_healthy = healthy;
}

static void
proxy_connected (void *ctx, bool success)
{
  struct agent *a = ctx;

  bl_health_note_connect (&a->health, success);
  update_health (a);
}

static void *
health_thread_main (void *ctx)
{
  struct agent *a = ctx;

  while (!a->stop_health_thread)
    {
      bool healthy = request_health (a);
      bool checked = a->health.bad_connects > 0;
      bool connected = checked && check_connect (a);
      io_stack_lock (NULL);
      bl_health_note_report (&a->health, healthy);
      if (checked)
        bl_health_note_connect (&a->health, connected);
      update_health (a);
      io_stack_unlock (NULL);
      usleep (HEALTH_INTERVAL_MS * 1000);
    }
  return NULL;
}

/* -- admin -- */

static void
admin_lock (void *ctx)
{
  io_stack_lock (ctx);
}

static void
admin_unlock (void *ctx)
{
  io_stack_unlock (ctx);
}

static bool
admin_ready (void *ctx)
{
  struct agent *a = ctx;
  return bl_agent_accepting (a->core);
}

/* Adds wait times, service times and refusals of each class.  */
static void
add_class_metrics (const struct agent *a, struct strbuf *out)
{
  const struct bl_service *s = bl_agent_service (a->core);
  const struct bl_admit *admit = proxy_admit (a->proxy);

  for (size_t i = 0; s != NULL && i < s->listener_count; i++)
    {
      const char *class_name = s->listeners[i].class_name.s;
      char labels[160];
      snprintf (labels, sizeof labels, "service=\"%s\",class=\"%s\"", s->name.s,
                class_name);
      metric_add_histogram (out, "agent_wait_ms", labels, &admit->waits[i]);
      metric_add_histogram (out, "agent_service_ms", labels,
                            &admit->services[i]);
      snprintf (labels, sizeof labels, "{service=\"%s\",class=\"%s\"}",
                s->name.s, class_name);
      metric_add (out, "counter", "agent_requests_refused_total", labels,
                  admit->refused[i]);
    }
}

static void
admin_metrics (void *ctx, struct strbuf *out)
{
  struct agent *a = ctx;
  struct proxy_stats s = proxy_stats (a->proxy);

  for (int i = 0; i < BL_AGENT_COUNTERS; i++)
    {
      char name[64];
      snprintf (name, sizeof name, "agent_%s_total", bl_agent_counter_name (i));
      metric_add (out, "counter", name, "", bl_agent_counter (a->core, i));
    }
  metric_add (out, "counter", "agent_connections_accepted_total", "",
              s.accepted);
  metric_add (out, "counter", "agent_connections_refused_total", "", s.refused);
  metric_add (out, "counter", "agent_connections_broken_total", "", s.broken);
  metric_add (out, "counter", "agent_connections_finished_total", "",
              s.finished);
  metric_add (out, "counter", "agent_bytes_in_total", "", s.bytes_in);
  metric_add (out, "counter", "agent_bytes_out_total", "", s.bytes_out);
  metric_add (out, "gauge", "agent_connections_open", "", s.open);
  metric_add (out, "gauge", "agent_requests_running", "", s.running);
  metric_add (out, "gauge", "agent_requests_waiting", "", s.waiting);
  add_class_metrics (a, out);
}

static json_t *
admin_status (void *ctx)
{
  struct agent *a = ctx;
  struct proxy_stats s = proxy_stats (a->proxy);

  return json_pack ("{s:s, s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:I, s:I}",
                    "role", "agent", "id", a->settings->id.s, "dc",
                    a->settings->dc.s, "service", a->settings->service.s,
                    "state", bl_state_name (bl_agent_state (a->core)),
                    "accepting", (int)bl_agent_accepting (a->core), "version",
                    (json_int_t)a->configured_version, "flows",
                    (json_int_t)bl_agent_flow_count (a->core), "connections",
                    (json_int_t)s.open, "busy", (json_int_t)s.running,
                    "accepted", (json_int_t)s.accepted);
}

static void
begin_stop (struct agent *a)
{
  if (a->stopping_ms != 0)
    return;
  a->stopping_ms = io_now_ms ();
  io_log (IO_INFO, "stop_started", "id=%s flows=%zu", a->settings->id.s,
          bl_agent_flow_count (a->core));
  bl_agent_drain (a->core);
}

static void
admin_drain (void *ctx)
{
  bl_agent_drain (((struct agent *)ctx)->core);
}

static const struct admin_ops admin_ops = {
  .ready = admin_ready,
  .metrics = admin_metrics,
  .status = admin_status,
  .drain = admin_drain,
  .lock = admin_lock,
  .unlock = admin_unlock,
};

/* -- start and stop -- */

/* Configures the proxy when the version of the service has changed.  */
static void
configure (struct agent *a)
{
  const struct bl_service *s = bl_agent_service (a->core);

  if (s == NULL || s->changed == a->configured_version)
    return;
  a->configured_version = s->changed;
  proxy_configure (a->proxy, s);
  io_log (IO_INFO, "service_configured", "service=%s version=%lu listeners=%zu",
          s->name.s, s->changed, s->listener_count);
}

/* Passes the load to the core: the number of requests that run or wait for a
   slot, as an exponentially weighted average.  */
static void
measure_load (struct agent *a)
{
  struct proxy_stats s = proxy_stats (a->proxy);
  uint32_t busy = (uint32_t)(s.running + s.waiting) * 1000;

  a->smoothed_load = (a->smoothed_load * (LOAD_SMOOTHING_TICKS - 1) + busy)
                     / LOAD_SMOOTHING_TICKS;
  bl_agent_set_load (a->core, a->smoothed_load);
}

/* Ends what runs beside the event loop.  */
static void
close_services (void *ctx)
{
  struct agent *a = ctx;

  a->stop_health_thread = true;
  if (a->health_thread_started)
    pthread_join (a->health_thread, NULL);
  admin_stop (a->admin);
}

/* Advances a graceful stop.  The agent runs until no connection and no flow is
   left, or until the grace period ends.  */
static void
advance_stop (struct agent *a)
{
  uint64_t waited = io_now_ms () - a->stopping_ms;
  uint64_t grace_ms = a->settings->stop_grace_s * 1000;

  if (a->stopping_ms == 0)
    return;
  if (a->closing != NULL)
    {
      if (closing_is_over (a->closing))
        io_loop_stop (a->loop);
      return;
    }
  if ((waited > STOP_MIN_MS && proxy_stats (a->proxy).open == 0
       && bl_agent_flow_count (a->core) == 0)
      || (grace_ms > 0 && waited + CLOSING_MAX_MS > grace_ms))
    {
      bl_agent_leave (a->core);
      a->closing = closing_start (close_services, a);
      if (a->closing == NULL)
        io_loop_stop (a->loop);
    }
}

static void
on_tick (void *ctx)
{
  struct agent *a = ctx;

  configure (a);
  proxy_tick (a->proxy);
  measure_load (a);
  bl_agent_tick (a->core, io_now_ms ());
  io_bulk_poll (a->bulk);
  if (daemon_stop_requested ())
    begin_stop (a);
  advance_stop (a);
}

static int
open_core (struct agent *a)
{
  const struct settings *s = a->settings;
  struct bl_agent_settings settings = {
    .id = s->id,
    .dc = s->dc,
    .service = s->service,
    .ip = s->ip,
    .data_port = (uint16_t)s->data_port,
    .control_port = (uint16_t)s->control_port,
    .admin_port = (uint16_t)s->admin_port,
    .slots = (uint32_t)s->slots,
    .max_flows = (uint32_t)s->max_flows,
    .incarnation = io_wall_ms (),
    .random_seed = s->random_seed,
    .seed_count = s->seed_count,
  };

  memcpy (settings.seeds, s->seeds, sizeof settings.seeds);
  a->core = bl_agent_new (&settings, &core_ops, a);
  return a->core != NULL ? 0 : -1;
}

static int
open_all (struct agent *a)
{
  const struct settings *s = a->settings;
  static const struct io_bulk_ops bulk_ops = { .reply = bulk_reply };
  static const struct proxy_ops proxy_ops
      = { .closed = proxy_closed, .connected = proxy_connected };

  a->loop = io_loop_new ();
  a->data.agent = a;
  a->control.agent = a;
  if (a->loop == NULL || open_core (a) != 0
      || daemon_open_udp (a->loop, &a->data.source, s->ip, s->data_port,
                          on_data)
             != 0
      || daemon_open_udp (a->loop, &a->control.source, s->ip, s->control_port,
                          on_control)
             != 0)
    return -1;
  io_udp_enable_error_queue (a->control.source.fd);
  a->proxy = proxy_new (a->loop, s->backend, (uint32_t)s->slots, s->random_seed,
                        &proxy_ops, a);
  a->bulk = io_bulk_new (a->loop, (struct bl_addr){ .port = 0 }, &bulk_ops, a);
  a->admin = admin_start ((struct bl_addr){ s->ip, (uint16_t)s->admin_port }, 0,
                          &admin_ops, a);
  if (a->proxy == NULL || a->bulk == NULL || a->admin == NULL)
    {
      io_log (IO_ERROR, "cannot_bind", "admin_port=%lu", s->admin_port);
      return -1;
    }
  io_stack_start (stack_output, a);
  a->health_thread_started
      = pthread_create (&a->health_thread, NULL, health_thread_main, a) == 0;
  return a->health_thread_started ? 0 : -1;
}

static void
close_all (struct agent *a)
{
  if (a->closing != NULL)
    closing_finish (a->closing);
  else
    close_services (a);
  if (a->health_thread_started)
    {
      io_stack_lock (NULL);
      proxy_free (a->proxy);
      io_stack_unlock (NULL);
    }
  io_bulk_free (a->bulk);
  if (a->data.source.fd > 0)
    close (a->data.source.fd);
  if (a->control.source.fd > 0)
    close (a->control.source.fd);
  /* The stack's thread keeps running and might call back into freed memory, so
     its lock stays held.  */
  if (a->health_thread_started)
    io_stack_lock (NULL);
  bl_agent_free (a->core);
  io_loop_free (a->loop);
  free (a);
}

int
agent_run (const struct settings *settings)
{
  struct agent *a = calloc (1, sizeof *a);
  int status = 1;

  if (a == NULL)
    return 1;
  a->settings = settings;
  if (open_all (a) == 0)
    {
      io_loop_set_lock (a->loop, io_stack_lock, io_stack_unlock, NULL);
      io_loop_set_tick (a->loop, TICK_MS, on_tick, a);
      io_log (IO_INFO, "started", "role=agent id=%s dc=%s service=%s",
              settings->id.s, settings->dc.s, settings->service.s);
      io_loop_run (a->loop);
      io_log (IO_INFO, "stopped", "role=agent id=%s", settings->id.s);
      status = 0;
    }
  close_all (a);
  return status;
}
