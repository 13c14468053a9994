/* dispatcher.c -- the balancer role for the datagram transport, where backend
   servers terminate TCP connections themselves

   Connects a bl_dispatch to sockets and threads.  One thread follows the routes
   in the platform's store, one follows the records of instances there, and one
   writes this balancer's own record.  Routes are also pulled from other
   balancers, which serve the text that they read from the store.  A single lock
   protects the state: the event loop holds it except while it waits, and the
   other threads take it in their callbacks.  */

#include "core/dispatch.h"
#include "core/msg.h"
#include "core/store.h"
#include "daemon/daemon.h"
#include "daemon/link_io.h"
#include "platform/platform.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define TICK_MS            20
#define DATAGRAM_MAX_BYTES 65536
#define READS_PER_EVENT    16 /* batches before other sources are handled */
/* The wait of a watch of the routes grows with the number of balancers, so that
   all balancers together make about two calls a second.  When the store has
   lost its watches, the watch of some balancer ends within a second; that
   balancer reads the changed routes and announces them to the others.  */
#define ROUTES_WAIT_PER_BALANCER_MS 650
#define ROUTES_WAIT_MIN_MS          1500
#define ROUTES_WAIT_MAX_MS          15000
#define INSTANCES_WAIT_MS           25000 /* longest wait of a watch */
#define INSTANCES_PAUSE_MS          300 /* collects changes for the next call */
/* A restore of the store makes all balancers list the instances again, which is
   spread so that all together read a thousand pages a second.  Meanwhile the
   balancers compare their records with each other.  */
#define RELIST_MS_PER_PAGE 1
/* A balancer that reports that it is not ready continues for LEAVING_MIN_MS, in
   which the routers detect that state, and then until no packet has come for
   LEAVING_QUIET_MS, so that the routers have stopped sending to it.  */
#define LEAVING_MIN_MS      1300
#define LEAVING_QUIET_MS    500
#define EXIT_MARGIN_MS      1000 /* before the end of the grace period */
#define BYTES_PER_S_OF_MBPS 125000
#define GRACE_DEFAULT_S     6 /* if --stop-grace-s is 0 */

struct dispatcher;

/* A socket in the event loop; the callbacks find the role through it.  */
struct dispatcher_socket
{
  struct io_source source;
  struct dispatcher *dispatcher;
};

struct dispatcher
{
  struct daemon_lock lock; /* first: daemon_lock gets the role's address */
  const struct settings *settings;
  struct io_loop *loop;
  struct bl_dispatch *core;
  struct bl_record self; /* this balancer's record at its start */
  struct puller *puller;
  struct admin *admin;
  struct io_batch *batch;
  struct registry *registry;
  struct follower *routes;    /* of the routes in the store */
  struct follower *instances; /* of the instances' records in the store */
  struct decision_log *log;
  struct dispatcher_socket packets; /* from callers */
  struct dispatcher_socket links;   /* to and from agents */
  struct dispatcher_socket control; /* control messages */
  char *routes_text;                /* owned; text of the routes in force */
  uint64_t last_packet_ms;          /* when a packet was received last */
  uint64_t stopping_ms;    /* start of the graceful stop; 0: not stopping */
  struct closing *closing; /* NULL: not yet */
  uint64_t leaving_ms;     /* since when it reports not ready; 0: not leaving */
  uint64_t malformed;      /* packets and link messages */
  uint64_t unreadable;     /* objects of the store, and routes */
  uint8_t datagram[DATAGRAM_MAX_BYTES];
};

/* -- packets -- */

static void
on_packets (struct io_source *source, uint32_t events)
{
  struct dispatcher *d = ((struct dispatcher_socket *)source)->dispatcher;
  struct platform_packet p;

  (void)events;
  for (int reads = 0; reads < READS_PER_EVENT; reads++)
    {
      int n = io_batch_receive (d->batch, source->fd);
      uint64_t now = io_now_ms ();
      if (n == 0)
        return;
      d->last_packet_ms = now;
      for (int i = 0; i < n; i++)
        {
          size_t len;
          const uint8_t *bytes = io_batch_data (d->batch, i, &len);
          if (platform_packet_parse (&p, bytes, len, false) != BL_OK)
            d->malformed++;
          else
            bl_dispatch_packet (d->core, now, &p.packet, bytes, len);
        }
      if (n < IO_BATCH_MAX)
        return;
    }
}

static void
on_link (struct io_source *source, uint32_t events)
{
  struct dispatcher *d = ((struct dispatcher_socket *)source)->dispatcher;
  struct link_datagram in;
  int err;

  (void)events;
  while ((err = link_receive (source->fd, d->datagram, DATAGRAM_MAX_BYTES, &in))
         != BL_ENOTFOUND)
    if (err == BL_OK)
      bl_dispatch_link (d->core, io_now_ms (), in.from, &in.link,
                        link_packet (&in), in.bytes, in.len);
    else
      d->malformed++;
}

static void
on_control (struct io_source *source, uint32_t events)
{
  struct dispatcher *d = ((struct dispatcher_socket *)source)->dispatcher;
  struct bl_addr from;
  int n;

  (void)events;
  while (
      (n = io_udp_receive (source->fd, &from, d->datagram, DATAGRAM_MAX_BYTES))
      >= 0)
    bl_dispatch_message (d->core, io_now_ms (), from, d->datagram, (size_t)n);
}

/* -- operations of the core -- */

static void
core_send_to_agent (void *ctx,
                    struct bl_addr to,
                    const struct bl_link_msg *link,
                    const uint8_t *packet,
                    size_t len)
{
  struct dispatcher *d = ctx;
  link_send (d->links.source.fd, to, link, packet, len);
}

static void
core_reset (void *ctx, const struct bl_flow_key *key, uint32_t seq)
{
  struct dispatcher *d = ctx;
  struct bl_addr caller = { key->src_ip, d->settings->packets.port };
  uint8_t packet[PLATFORM_HEADER_LEN];

  platform_packet_reset (packet, key, seq);
  io_udp_send (d->links.source.fd, caller, packet, sizeof packet);
}

static void
core_send (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  struct dispatcher *d = ctx;
  io_udp_send (d->control.source.fd, to, buf, len);
}

static void
core_pull (void *ctx, const struct bl_instance *peer)
{
  struct dispatcher *d = ctx;
  struct bl_addr from = { peer->record.ip, peer->record.admin_port };

  if (from.port != 0)
    puller_request (d->puller, from);
}

static void
core_log_decision (void *ctx, const struct bl_decision *decision)
{
  struct dispatcher *d = ctx;
  char flow[FLOW_TEXT_MAX];
  char record[RECORD_VERSION_TEXT_MAX];
  uint64_t suppressed;

  if (!decision_log_allow (d->log, io_now_ms (), decision->event_name,
                           &suppressed))
    return;
  io_log (IO_INFO, decision->event_name,
          "flow=%s why=%s target=%s record=%s age_ms=%lu version=%lu "
          "suppressed=%lu",
          flow_format (decision->flow, flow), decision->reason,
          decision->instance != NULL ? decision->instance->id.s : "-",
          record_version_format (
              decision->instance != NULL ? &decision->instance->record : NULL,
              record),
          decision->age_ms, decision->version, suppressed);
}

/* -- routes -- */

static void
apply_routes (struct dispatcher *d, struct bl_str text, const char *source)
{
  static struct bl_findings findings;
  struct bl_route_table *table;
  uint64_t version;
  char *copy;
  int err;

  findings.count = 0;
  if (platform_route_table_parse (&table, text, &findings) != BL_OK)
    {
      io_log (IO_WARN, "routes_unreadable", "source=%s place=\"%s\" why=\"%s\"",
              source, findings.items[0].place, findings.items[0].text);
      d->unreadable++;
      return;
    }
  for (size_t i = 0; i < findings.count && i < BL_FINDINGS_MAX; i++)
    io_log (IO_WARN, "route_left_out", "source=%s place=\"%s\" why=\"%s\"",
            source, findings.items[i].place, findings.items[i].text);
  d->unreadable += findings.count;
  version = table->version;
  err = bl_dispatch_configure (d->core, io_now_ms (), table);
  if (err != BL_OK)
    {
      io_log (err == BL_ESTALE ? IO_INFO : IO_ERROR,
              err == BL_ESTALE ? "routes_not_newer" : "routes_out_of_memory",
              "version=%lu source=%s", version, source);
      return;
    }
  io_log (IO_INFO, "routes_in_force", "version=%lu source=%s", version, source);
  copy = malloc (text.len + 1);
  if (copy == NULL)
    return;
  memcpy (copy, text.ptr, text.len);
  copy[text.len] = '\0';
  free (d->routes_text);
  d->routes_text = copy;
}

static void
on_routes_object (void *ctx,
                  struct bl_str name,
                  uint64_t revision,
                  const char *text)
{
  struct dispatcher *d = ctx;

  (void)revision;
  if (text == NULL || name.len != strlen (PLATFORM_CONFIG_NAME)
      || memcmp (name.ptr, PLATFORM_CONFIG_NAME, name.len) != 0)
    return;
  daemon_lock (d);
  apply_routes (d, bl_str_of (text), "store");
  daemon_unlock (d);
}

static void
on_routes_pulled (void *ctx, struct bl_addr from, struct bl_str text)
{
  struct dispatcher *d = ctx;
  char source[BL_ADDR_TEXT_MAX];

  daemon_lock (d);
  apply_routes (d, text, bl_addr_format (from, source));
  daemon_unlock (d);
}

/* Serves the text of the routes in force to other balancers.  */
static int
on_routes_request (void *ctx, const struct admin_request *request)
{
  struct dispatcher *d = ctx;

  if (d->routes_text == NULL)
    return 503;
  strbuf_append (request->response, bl_str_of (d->routes_text));
  return 200;
}

/* -- instances -- */

static void
on_instance_object (void *ctx,
                    struct bl_str name,
                    uint64_t revision,
                    const char *text)
{
  struct dispatcher *d = ctx;
  struct bl_record record;

  /* The removal of a record is ignored: an instance that is gone is detected by
     its missing messages.  */
  if (text == NULL)
    return;
  if (bl_record_parse (&record, text) != BL_OK)
    {
      io_log (IO_WARN, "instance_unreadable", "object=%.*s revision=%lu",
              (int)name.len, name.ptr, revision);
      daemon_lock (d);
      d->unreadable++;
      daemon_unlock (d);
      return;
    }
  daemon_lock (d);
  bl_dispatch_apply_record (d->core, io_now_ms (), &record);
  daemon_unlock (d);
}

static void
on_instances_listed (void *ctx)
{
  struct dispatcher *d = ctx;

  daemon_lock (d);
  bl_dispatch_list_complete (d->core, io_now_ms ());
  daemon_unlock (d);
}

static void
on_store_era (void *ctx, uint64_t era)
{
  struct dispatcher *d = ctx;

  daemon_lock (d);
  bl_dispatch_note_store_era (d->core, io_now_ms (), era);
  daemon_unlock (d);
  registry_note_era (d->registry, era);
}

static const struct follower_ops routes_ops
    = { .visit = on_routes_object, .restored = on_store_era };
static const struct follower_ops instances_ops = {
  .visit = on_instance_object,
  .listed = on_instances_listed,
  .restored = on_store_era,
};

/* -- admin -- */

static bool
admin_ready (void *ctx)
{
  struct dispatcher *d = ctx;
  return bl_dispatch_ready (d->core) && d->leaving_ms == 0;
}

static int
on_readiness (void *ctx, const struct admin_request *request)
{
  (void)request;
  return admin_ready (ctx) ? 200 : 503;
}

static void
add_class_metrics (const struct dispatcher *d, struct strbuf *out)
{
  size_t count;
  const struct bl_dispatch_class *all = bl_dispatch_classes (d->core, &count);

  for (size_t i = 0; i < count; i++)
    {
      char labels[128];
      snprintf (labels, sizeof labels, "service=\"%s\",priority=\"%u\"",
                all[i].service.s, all[i].priority);
      metric_add_histogram (out, "dispatch_accept_ms", labels,
                            &all[i].accept_times);
      metric_add_histogram (out, "dispatch_inquiry_ms", labels,
                            &all[i].lookup_times);
    }
}

static void
admin_metrics (void *ctx, struct strbuf *out)
{
  struct dispatcher *d = ctx;
  const struct bl_route_table *table = bl_dispatch_table (d->core);
  const struct bl_fleet *fleet = bl_dispatch_fleet (d->core);

  for (int i = 0; i < BL_DISPATCH_COUNTERS; i++)
    {
      char name[64];
      snprintf (name, sizeof name, "dispatch_%s_total",
                bl_dispatch_counter_name (i));
      metric_add (out, "counter", name, "", bl_dispatch_counter (d->core, i));
    }
  metric_add (out, "counter", "dispatch_malformed_total", "", d->malformed);
  metric_add (out, "counter", "dispatch_unreadable_total", "", d->unreadable);
  metric_add (out, "gauge", "dispatch_flows", "",
              bl_dispatch_flow_count (d->core));
  metric_add (out, "gauge", "dispatch_routes_version", "",
              table != NULL ? table->version : 0);
  metric_add (out, "gauge", "dispatch_backends", "", fleet->backend_count);
  metric_add (out, "gauge", "dispatch_backends_silent", "",
              fleet->unreachable_count);
  metric_add (out, "counter", "dispatch_store_calls_total", "",
              registry_calls (d->registry) + follower_calls (d->routes)
                  + follower_calls (d->instances));
  add_class_metrics (d, out);
}

static json_t *
admin_status (void *ctx)
{
  struct dispatcher *d = ctx;
  const struct bl_route_table *table = bl_dispatch_table (d->core);
  const struct bl_fleet *fleet = bl_dispatch_fleet (d->core);
  json_t *list = json_array ();
  struct bl_instance *t;
  struct bl_instance *next;

  HASH_ITER (hh, fleet->instances, t, next)
  json_array_append_new (
      list,
      json_pack ("{s:s, s:s, s:s, s:s, s:I, s:I, s:b}", "id", t->id.s, "dc",
                 t->record.dc.s, "service", t->record.service.s, "state",
                 bl_state_name (t->record.state), "busy", (json_int_t)t->busy,
                 "flows", (json_int_t)t->flows, "suspect", (int)t->suspect));
  return json_pack ("{s:s, s:s, s:s, s:s, s:I, s:b, s:o}", "role", "balancer",
                    "id", d->settings->id.s, "dc", d->settings->dc.s, "state",
                    bl_state_name (bl_dispatch_own_record (d->core)->state),
                    "version", (json_int_t)(table != NULL ? table->version : 0),
                    "ready", (int)admin_ready (d), "instances", list);
}

static void
begin_stop (struct dispatcher *d)
{
  if (d->stopping_ms != 0)
    return;
  d->stopping_ms = io_now_ms ();
  io_log (IO_INFO, "stop_started", "id=%s flows=%zu", d->settings->id.s,
          bl_dispatch_flow_count (d->core));
  bl_dispatch_drain (d->core, d->stopping_ms);
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
  struct dispatcher *d = ctx;

  puller_stop (d->puller);
  follower_stop (d->routes);
  follower_stop (d->instances);
  registry_stop (d->registry, false);
  admin_stop (d->admin);
}

/* Ends the event loop once all else is closed.  */
static void
advance_closing (struct dispatcher *d, bool may_close)
{
  if (d->closing == NULL && may_close)
    {
      d->closing = closing_start (close_services, d);
      if (d->closing == NULL)
        io_loop_stop (d->loop);
    }
  if (d->closing != NULL && closing_is_over (d->closing))
    io_loop_stop (d->loop);
}

/* Advances a graceful stop.  The balancer stays ready until the core allows it
   to leave, or until it must.  It then reports that it is not ready.  All else
   is closed when the routers have stopped sending packets, or EXIT_MARGIN_MS
   before the end of the grace period; the event loop ends after that.  */
static void
advance_stop (struct dispatcher *d)
{
  uint64_t now = io_now_ms ();
  uint64_t waited = now - d->stopping_ms;
  uint64_t grace_s = d->settings->stop_grace_s > 0 ? d->settings->stop_grace_s
                                                   : GRACE_DEFAULT_S;
  uint64_t grace_ms = grace_s * 1000;

  if (d->stopping_ms == 0)
    return;
  if (d->leaving_ms == 0
      && (bl_dispatch_may_leave (d->core)
          || waited >= bl_dispatch_latest_leave_ms (grace_ms)))
    {
      d->leaving_ms = now;
      io_log (IO_INFO, "leaving", "id=%s waited_ms=%lu", d->settings->id.s,
              waited);
    }
  advance_closing (d, waited + EXIT_MARGIN_MS >= grace_ms
                          || (d->leaving_ms != 0
                              && now - d->leaving_ms > LEAVING_MIN_MS
                              && now - d->last_packet_ms > LEAVING_QUIET_MS));
}

/* Returns the number of balancers, including this one.  */
static size_t
balancer_count (const struct dispatcher *d)
{
  const struct bl_fleet *fleet = bl_dispatch_fleet (d->core);

  return HASH_COUNT (fleet->instances) - fleet->backend_count + 1;
}

/* Returns the time over which all balancers spread their lists.  */
static unsigned
relist_spread_ms (const struct dispatcher *d)
{
  const struct bl_fleet *fleet = bl_dispatch_fleet (d->core);
  size_t pages = HASH_COUNT (fleet->instances) / PLATFORM_STORE_PAGE + 1;

  return (unsigned)(balancer_count (d) * pages * RELIST_MS_PER_PAGE);
}

/* Returns the longest wait of a watch of the routes, for the current number of
   balancers.  */
static unsigned
routes_wait_ms (const struct dispatcher *d)
{
  size_t ms = balancer_count (d) * ROUTES_WAIT_PER_BALANCER_MS;

  if (ms < ROUTES_WAIT_MIN_MS)
    return ROUTES_WAIT_MIN_MS;
  return ms < ROUTES_WAIT_MAX_MS ? (unsigned)ms : ROUTES_WAIT_MAX_MS;
}

static void
on_tick (void *ctx)
{
  struct dispatcher *d = ctx;

  bl_dispatch_tick (d->core, io_now_ms ());
  follower_set_wait (d->routes, routes_wait_ms (d));
  follower_set_relist_spread (d->instances, relist_spread_ms (d));
  if (daemon_take_reload_request ())
    decision_log_reload (d->log, d->settings);
  if (daemon_stop_requested ())
    begin_stop (d);
  advance_stop (d);
}

static int
open_core (struct dispatcher *d)
{
  const struct settings *s = d->settings;
  static const struct bl_dispatch_ops ops = {
    .send_to_agent = core_send_to_agent,
    .reset = core_reset,
    .send = core_send,
    .pull = core_pull,
    .log_decision = core_log_decision,
  };
  struct bl_dispatch_settings settings = {
    .random_seed = s->random_seed,
    .seed_count = s->seed_count,
    .link_bytes_per_s = s->link_mbps * BYTES_PER_S_OF_MBPS,
  };

  d->self = (struct bl_record){
    .kind = BL_KIND_BALANCER,
    .state = BL_STATE_STARTING,
    .id = s->id,
    .dc = s->dc,
    .ip = s->ip,
    .data_port = (uint16_t)s->link_port,
    .control_port = (uint16_t)s->control_port,
    .admin_port = s->http.port,
    .incarnation = io_wall_ms () + s->clock_offset_ms,
    .seq = 1,
  };
  settings.self = d->self;
  memcpy (settings.seeds, s->seeds, sizeof settings.seeds);
  /* A seed may name another port of its instance; control messages go to the
     control port, which all balancers share.  */
  for (size_t i = 0; i < s->seed_count; i++)
    settings.seeds[i].port = (uint16_t)s->control_port;
  d->core = bl_dispatch_new (&settings, &ops, d);
  return d->core != NULL ? 0 : -1;
}

static int
open_sockets (struct dispatcher *d)
{
  const struct settings *s = d->settings;

  d->packets.dispatcher = d;
  d->links.dispatcher = d;
  d->control.dispatcher = d;
  if (daemon_open_udp (d->loop, &d->packets.source, s->packets.ip,
                       s->packets.port, on_packets)
          != 0
      || daemon_open_udp (d->loop, &d->links.source, s->listen_ip, s->link_port,
                          on_link)
             != 0
      || daemon_open_udp (d->loop, &d->control.source, s->listen_ip,
                          s->control_port, on_control)
             != 0)
    return -1;
  d->admin = admin_start (s->http, s->metrics_port, &admin_ops, d);
  if (d->admin != NULL)
    {
      admin_add_handler (d->admin, PLATFORM_READY_PATH "$", on_readiness);
      admin_add_handler (d->admin, BL_ROUTES_PATH "$", on_routes_request);
      return 0;
    }
  io_log (IO_ERROR, "cannot_bind", "http_port=%u metrics_port=%lu",
          s->http.port, s->metrics_port);
  return -1;
}

static int
start_threads (struct dispatcher *d)
{
  const struct settings *s = d->settings;
  struct follower_settings routes = {
    .store = s->store,
    .kind = PLATFORM_CONFIG_KIND,
    .wait_ms = ROUTES_WAIT_MIN_MS,
    .random_seed = s->random_seed,
  };
  struct follower_settings instances = {
    .store = s->store,
    .kind = PLATFORM_INSTANCES_KIND,
    .wait_ms = INSTANCES_WAIT_MS,
    .pause_ms = INSTANCES_PAUSE_MS,
    .allow_stale = true,
    .random_seed = s->random_seed + 1,
  };

  d->puller = puller_start (BL_ROUTES_PATH, on_routes_pulled, d);
  d->registry = registry_start (s->store, s->random_seed + 2, false);
  d->routes = follower_start (&routes, &routes_ops, d);
  d->instances = follower_start (&instances, &instances_ops, d);
  if (d->puller == NULL || d->registry == NULL || d->routes == NULL
      || d->instances == NULL)
    return -1;
  registry_publish (d->registry, &d->self);
  return 0;
}

static void
close_all (struct dispatcher *d)
{
  if (d->closing != NULL)
    closing_finish (d->closing);
  else
    close_services (d);
  puller_free (d->puller);
  follower_free (d->routes);
  follower_free (d->instances);
  registry_free (d->registry);
  for (size_t i = 0; i < 3; i++)
    {
      const struct dispatcher_socket *all[]
          = { &d->packets, &d->links, &d->control };
      if (all[i]->source.fd > 0)
        close (all[i]->source.fd);
    }
  bl_dispatch_free (d->core);
  decision_log_free (d->log);
  io_batch_free (d->batch);
  io_loop_free (d->loop);
  free (d->routes_text);
  free (d);
}

static int
open_all (struct dispatcher *d)
{
  d->loop = io_loop_new ();
  d->batch = io_batch_new ();
  d->log = decision_log_new ((unsigned)d->settings->log_lines_s);
  if (d->loop == NULL || d->batch == NULL || d->log == NULL)
    return -1;
  if (open_core (d) != 0 || open_sockets (d) != 0)
    return -1;
  return start_threads (d);
}

int
dispatcher_run (const struct settings *settings)
{
  struct dispatcher *d = calloc (1, sizeof *d);
  char address[BL_ADDR_TEXT_MAX];
  char record[RECORD_VERSION_TEXT_MAX];
  int status = 1;

  if (d == NULL)
    return 1;
  d->settings = settings;
  pthread_mutex_init (&d->lock.mutex, NULL);
  if (open_all (d) == 0)
    {
      io_loop_set_lock (d->loop, daemon_lock, daemon_unlock, d);
      io_loop_set_tick (d->loop, TICK_MS, on_tick, d);
      io_log (IO_INFO, "started",
              "role=balancer transport=datagram id=%s dc=%s address=%s "
              "record=%s",
              settings->id.s, settings->dc.s,
              bl_addr_format (settings->packets, address),
              record_version_format (&d->self, record));
      io_loop_run (d->loop);
      status = 0;
    }
  close_all (d);
  io_log (IO_INFO, "stopped", "role=balancer id=%s", settings->id.s);
  return status;
}
