/* admin.c -- health, metrics and administration over HTTP

   GET /health   200 while the process runs
   GET /ready    200 while new work may be sent to this instance, else 503
   GET /metrics  counters in the Prometheus text format
   GET /v1/status  state of this instance, as JSON
   POST /v1/drain  drains this instance; the process then stops, except in the
                   agent role for the ip transport

   CivetWeb calls the handlers from threads of its own; they take the role's
   lock for each callback into the role.  */

#include "daemon/daemon.h"

#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HANDLERS_MAX     4
#define WAKE_INTERVAL_MS 10    /* between connections that wake the server */
#define BODY_MAX_BYTES   65536 /* a request body must be shorter */

struct admin;

/* The handler of a path that a role added.  */
struct added_handler
{
  struct admin *admin;
  int (*handler) (void *ctx, const struct admin_request *r);
};

struct admin
{
  struct mg_context *http;
  struct bl_addr addr;
  volatile bool stopped; /* mg_stop has returned */
  struct admin_ops ops;
  void *ctx;
  size_t handler_count;
  struct added_handler handlers[HANDLERS_MAX];
};

void
strbuf_append (struct strbuf *text, struct bl_str more)
{
  if (text->len + more.len + 1 > text->cap)
    {
      size_t cap = (text->len + more.len + 1) * 2;
      char *ptr = realloc (text->ptr, cap);
      if (ptr == NULL)
        return;
      text->ptr = ptr;
      text->cap = cap;
    }
  memcpy (text->ptr + text->len, more.ptr, more.len);
  text->len += more.len;
  text->ptr[text->len] = '\0';
}

void
strbuf_printf (struct strbuf *text, const char *format, ...)
{
  char line[512];
  va_list args;
  size_t n;

  va_start (args, format);
  n = (size_t)vsnprintf (line, sizeof line, format, args);
  va_end (args);
  if (n >= sizeof line)
    n = sizeof line - 1;
  strbuf_append (text, (struct bl_str){ line, n });
}

void
metric_add (struct strbuf *out,
            const char *type,
            const char *name,
            const char *labels,
            uint64_t value)
{
  strbuf_printf (out, "# TYPE boragelatch_%s %s\n", name, type);
  strbuf_printf (out, "boragelatch_%s%s %lu\n", name, labels, value);
}

void
metric_add_histogram (struct strbuf *out,
                      const char *name,
                      const char *labels,
                      const struct bl_histogram *h)
{
  uint64_t count = 0;

  strbuf_printf (out, "# TYPE boragelatch_%s histogram\n", name);
  for (size_t i = 0; i < BL_HISTOGRAM_BUCKETS - 1; i++)
    {
      count += h->counts[i];
      strbuf_printf (out, "boragelatch_%s_bucket{%s,le=\"%lu\"} %lu\n", name,
                     labels, UINT64_C (1) << i, count);
    }
  count = bl_histogram_count (h);
  strbuf_printf (out, "boragelatch_%s_bucket{%s,le=\"+Inf\"} %lu\n", name,
                 labels, count);
  strbuf_printf (out, "boragelatch_%s_sum{%s} %lu\n", name, labels, h->sum_ms);
  strbuf_printf (out, "boragelatch_%s_count{%s} %lu\n", name, labels, count);
}

static int
respond (struct mg_connection *conn,
         int status,
         const char *type,
         const char *body,
         size_t len)
{
  mg_printf (conn,
             "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
             "\r\n",
             status, mg_get_response_code_text (conn, status), type, len);
  mg_write (conn, body, len);
  return status;
}

static int
respond_text (struct mg_connection *conn, int status, const char *text)
{
  return respond (conn, status, "text/plain", text, strlen (text));
}

static int
on_health (struct mg_connection *conn, void *ctx)
{
  (void)ctx;
  return respond_text (conn, 200, "ok\n");
}

static int
on_ready (struct mg_connection *conn, void *ctx)
{
  struct admin *a = ctx;
  bool ready;

  a->ops.lock (a->ctx);
  ready = a->ops.ready (a->ctx);
  a->ops.unlock (a->ctx);
  return ready ? respond_text (conn, 200, "ready\n")
               : respond_text (conn, 503, "not ready\n");
}

static int
on_metrics (struct mg_connection *conn, void *ctx)
{
  struct admin *a = ctx;
  struct strbuf out = { .len = 0 };
  int status;

  a->ops.lock (a->ctx);
  a->ops.metrics (a->ctx, &out);
  a->ops.unlock (a->ctx);
  status = respond (conn, 200, "text/plain; version=0.0.4", out.ptr, out.len);
  free (out.ptr);
  return status;
}

static int
on_status (struct mg_connection *conn, void *ctx)
{
  struct admin *a = ctx;
  json_t *json;
  char *text;
  int status;

  a->ops.lock (a->ctx);
  json = a->ops.status (a->ctx);
  a->ops.unlock (a->ctx);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  status = respond (conn, 200, "application/json", text, strlen (text));
  free (text);
  return status;
}

static int
on_drain (struct mg_connection *conn, void *ctx)
{
  struct admin *a = ctx;
  const char *method = mg_get_request_info (conn)->request_method;

  if (strcmp (method, "POST") != 0)
    return respond_text (conn, 405, "POST only\n");
  a->ops.lock (a->ctx);
  a->ops.drain (a->ctx);
  a->ops.unlock (a->ctx);
  return respond_text (conn, 202, "draining\n");
}

/* Reads a request's body into BUF of BODY_MAX_BYTES bytes.  Returns its length,
   or -1 if it has BODY_MAX_BYTES bytes or more.  */
static long
read_body (struct mg_connection *conn, char *buf)
{
  long len = 0;
  int n;

  while ((n = mg_read (conn, buf + len, (size_t)(BODY_MAX_BYTES - len))) > 0)
    {
      len += n;
      if (len == BODY_MAX_BYTES)
        return -1;
    }
  return len;
}

static int
call_added_handler (struct mg_connection *conn, void *ctx)
{
  struct added_handler *h = ctx;
  struct admin *a = h->admin;
  const struct mg_request_info *info = mg_get_request_info (conn);
  struct strbuf response = { .len = 0 };
  struct admin_request request = {
    .method = bl_str_of (info->request_method),
    .path = bl_str_of (info->local_uri),
    .response = &response,
  };
  char *body = malloc (BODY_MAX_BYTES);
  long len = body != NULL ? read_body (conn, body) : -1;
  int status = 413;

  if (len >= 0)
    {
      request.body = (struct bl_str){ body, (size_t)len };
      a->ops.lock (a->ctx);
      status = h->handler (a->ctx, &request);
      a->ops.unlock (a->ctx);
    }
  respond (conn, status, "application/json",
           response.ptr != NULL ? response.ptr : "{}",
           response.ptr != NULL ? response.len : 2);
  free (response.ptr);
  free (body);
  return status;
}

void
admin_add_handler (struct admin *admin,
                   const char *pattern,
                   int (*handler) (void *ctx, const struct admin_request *r))
{
  struct added_handler *h = &admin->handlers[admin->handler_count++];

  *h = (struct added_handler){ .admin = admin, .handler = handler };
  mg_set_request_handler (admin->http, pattern, call_added_handler, h);
}

struct admin *
admin_start (struct bl_addr addr,
             unsigned long extra_port,
             const struct admin_ops *ops,
             void *ctx)
{
  const struct bl_addr extra = { addr.ip, (uint16_t)extra_port };
  char first[BL_ADDR_TEXT_MAX];
  char second[BL_ADDR_TEXT_MAX];
  char listen[2 * BL_ADDR_TEXT_MAX + 1];
  const char *options[]
      = { "listening_ports", listen, "num_threads", "4", NULL };
  struct admin *a = calloc (1, sizeof *a);

  if (a == NULL)
    return NULL;
  a->ops = *ops;
  a->ctx = ctx;
  a->addr = addr;
  snprintf (listen, sizeof listen, "%s%s%s", bl_addr_format (addr, first),
            extra_port != 0 ? "," : "",
            extra_port != 0 ? bl_addr_format (extra, second) : "");
  mg_init_library (0);
  a->http = mg_start (NULL, NULL, options);
  if (a->http == NULL)
    {
      free (a);
      return NULL;
    }
  mg_set_request_handler (a->http, "/health$", on_health, a);
  mg_set_request_handler (a->http, "/ready$", on_ready, a);
  mg_set_request_handler (a->http, "/metrics$", on_metrics, a);
  mg_set_request_handler (a->http, "/v1/status$", on_status, a);
  mg_set_request_handler (a->http, "/v1/drain$", on_drain, a);
  return a;
}

static void *
stop_server (void *ctx)
{
  struct admin *a = ctx;

  mg_stop (a->http);
  a->stopped = true;
  return NULL;
}

/* The server checks its stop flag only when a connection arrives, or after
   seconds.  While another thread stops the server, this function therefore
   connects to the server's port, so that the flag is checked at once.  */
void
admin_stop (struct admin *admin)
{
  pthread_t thread;

  if (admin == NULL)
    return;
  if (pthread_create (&thread, NULL, stop_server, admin) != 0)
    mg_stop (admin->http);
  else
    {
      while (!admin->stopped)
        {
          int fd = io_tcp_connect (admin->addr);
          usleep (WAKE_INTERVAL_MS * 1000);
          if (fd >= 0)
            close (fd);
        }
      pthread_join (thread, NULL);
    }
  free (admin);
}
