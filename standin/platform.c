/* platform.c -- stand-in for the platform's object API

   Serves objects with versions, conditional writes and watches over HTTP, all
   in memory.  POST /fault injects faults:
     mode=down | up       while down, each call is answered with 503
     slow_ms=N            each call takes N ms longer
     lose_answers=N       the next N writes take effect but get no response
     hide_parts=N         the next N reads of parts of the configuration find
                          none
     refuse_root=N        the next N writes of the root are refused
     copy=1               takes a copy of all objects
     mode=away            calls get no answer and watches are cut, until another
                          mode or a restore
     restore=1            comes back from the copy: what was written since is
                          lost, versions are given out again, a new era begins
   Every answer states the era in the header Store-Era.
   GET /stats reports the number of calls; a watch counts as one call.  */

#include <civetweb.h>
#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <uthash.h>

#define KEY_MAX_BYTES   256 /* with the terminating zero */
#define VALUE_MAX_BYTES (1024 * 1024)
#define ROOT_KEY        "config/root"
#define PART_PREFIX     "config/part-"
#define PART_PREFIX_LEN (sizeof PART_PREFIX - 1)

struct object
{
  char key[KEY_MAX_BYTES];
  uint64_t version;
  char *value;
  size_t len;
  UT_hash_handle hh;
};

static struct
{
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  struct object *objects; /* by key */
  uint64_t next_version;
  struct object *copy; /* by key */
  uint64_t copy_next_version;
  uint64_t era;
  uint64_t interruptions; /* incremented when all waiting watches are cut */
  bool down;
  bool away;
  int slow_ms;
  int lose_answers; /* writes left that get no response */
  int hide_parts;   /* reads of parts left that find none */
  int refuse_root;  /* writes of the root left that are refused */
  uint64_t reads;
  uint64_t writes;
  uint64_t watches;
} state = {
  .mutex = PTHREAD_MUTEX_INITIALIZER,
  .changed = PTHREAD_COND_INITIALIZER,
  .next_version = 1,
  .era = 1,
};

static volatile sig_atomic_t stopped;

static void
on_signal (int sig)
{
  (void)sig;
  stopped = 1;
}

static int
respond (struct mg_connection *conn,
         int status,
         uint64_t version,
         const char *body,
         size_t len)
{
  mg_printf (conn,
             "HTTP/1.1 %d x\r\nETag: \"%lu\"\r\nStore-Era: %lu\r\n"
             "Content-Length: %zu\r\nContent-Type: application/json\r\n\r\n",
             status, version, state.era, len);
  if (len > 0)
    mg_write (conn, body, len);
  return status;
}

static struct object *
find_object (const char *key)
{
  struct object *o;
  HASH_FIND_STR (state.objects, key, o);
  return o;
}

static long
query_number (const struct mg_request_info *info,
              const char *name,
              long default_value)
{
  char text[32];
  const char *q = info->query_string ? info->query_string : "";

  if (mg_get_var (q, strlen (q), name, text, sizeof text) <= 0)
    return default_value;
  return atol (text);
}

/* Responds with a copy of O, or 404 if O is NULL, and releases the mutex.  */
static int
respond_object (struct mg_connection *conn, const struct object *o)
{
  char *copy;
  size_t len;
  uint64_t version;

  if (o == NULL)
    {
      pthread_mutex_unlock (&state.mutex);
      return respond (conn, 404, 0, "", 0);
    }
  len = o->len;
  version = o->version;
  copy = malloc (len + 1);
  memcpy (copy, o->value, len);
  pthread_mutex_unlock (&state.mutex);
  respond (conn, 200, version, copy, len);
  free (copy);
  return 200;
}

/* Closes the connection without an answer.  */
static int
close_unanswered (struct mg_connection *conn)
{
  mg_close_connection (conn);
  return 499;
}

/* Handles GET.  With watch=VERSION it waits up to timeout_s until the object
   has another version (0: no object), and else responds with 304.  */
static int
get_object (struct mg_connection *conn,
            const struct mg_request_info *info,
            const char *key)
{
  long watch = query_number (info, "watch", -1);
  uint64_t interruptions;
  struct timespec until;
  struct object *o;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += query_number (info, "timeout_s", 0);
  pthread_mutex_lock (&state.mutex);
  watch >= 0 ? state.watches++ : state.reads++;
  interruptions = state.interruptions;
  for (;;)
    {
      if (interruptions != state.interruptions)
        {
          pthread_mutex_unlock (&state.mutex);
          return close_unanswered (conn);
        }
      o = find_object (key);
      if (state.hide_parts > 0
          && strncmp (key, PART_PREFIX, PART_PREFIX_LEN) == 0)
        {
          state.hide_parts--;
          o = NULL;
        }
      if (watch < 0 || (o != NULL ? (long)o->version : 0) != watch)
        return respond_object (conn, o);
      if (state.down
          || pthread_cond_timedwait (&state.changed, &state.mutex, &until) != 0)
        break;
    }
  pthread_mutex_unlock (&state.mutex);
  return respond (conn, state.down ? 503 : 304, 0, "", 0);
}

/* Returns true if the write of O meets the If-Match or If-None-Match header of
   the request.  */
static bool
precondition_holds (struct mg_connection *conn, const struct object *o)
{
  const char *match = mg_get_header (conn, "If-Match");
  const char *none = mg_get_header (conn, "If-None-Match");
  unsigned long version = 0;

  if (none != NULL)
    return o == NULL;
  if (match == NULL)
    return true;
  return o != NULL && sscanf (match, "\"%lu\"", &version) == 1
         && version == o->version;
}

/* Sets the value of O, or of a new object if O is NULL, and takes ownership of
   VALUE.  */
static struct object *
set_object (struct object *o, const char *key, char *value, size_t len)
{
  if (o == NULL)
    {
      o = calloc (1, sizeof *o);
      snprintf (o->key, sizeof o->key, "%s", key);
      HASH_ADD_STR (state.objects, key, o);
    }
  free (o->value);
  o->value = value;
  o->len = len;
  o->version = state.next_version++;
  pthread_cond_broadcast (&state.changed);
  return o;
}

static char *
read_body (struct mg_connection *conn,
           const struct mg_request_info *info,
           size_t *len)
{
  long long want = info->content_length;
  char *body;

  *len = 0;
  if (want < 0 || want > VALUE_MAX_BYTES)
    return NULL;
  body = malloc ((size_t)want + 1);
  while (*len < (size_t)want)
    {
      int n = mg_read (conn, body + *len, (size_t)want - *len);
      if (n <= 0)
        break;
      *len += (size_t)n;
    }
  body[*len] = '\0';
  return body;
}

static int
put_object (struct mg_connection *conn,
            const struct mg_request_info *info,
            const char *key)
{
  size_t len;
  char *body = read_body (conn, info, &len);
  struct object *o;
  uint64_t version;
  bool lost;

  if (body == NULL)
    return respond (conn, 413, 0, "", 0);
  pthread_mutex_lock (&state.mutex);
  state.writes++;
  if (state.refuse_root > 0 && strcmp (key, ROOT_KEY) == 0)
    {
      state.refuse_root--;
      pthread_mutex_unlock (&state.mutex);
      free (body);
      return respond (conn, 413, 0, "", 0);
    }
  o = find_object (key);
  if (!precondition_holds (conn, o))
    {
      pthread_mutex_unlock (&state.mutex);
      free (body);
      return respond (conn, 412, 0, "", 0);
    }
  version = set_object (o, key, body, len)->version;
  lost = state.lose_answers > 0;
  state.lose_answers -= lost ? 1 : 0;
  pthread_mutex_unlock (&state.mutex);
  if (lost)
    return close_unanswered (conn);
  return respond (conn, 200, version, "", 0);
}

static int
delete_object (struct mg_connection *conn, const char *key)
{
  struct object *o;
  bool holds;

  pthread_mutex_lock (&state.mutex);
  state.writes++;
  o = find_object (key);
  holds = o != NULL && precondition_holds (conn, o);
  if (holds)
    {
      HASH_DEL (state.objects, o);
      free (o->value);
      free (o);
      pthread_cond_broadcast (&state.changed);
    }
  pthread_mutex_unlock (&state.mutex);
  return respond (conn, holds ? 204 : 412, 0, "", 0);
}

static int
on_object (struct mg_connection *conn, void *ctx)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  const char *key = info->local_uri + strlen ("/v1/objects/");

  (void)ctx;
  if (state.slow_ms > 0)
    usleep ((useconds_t)state.slow_ms * 1000);
  if (state.away)
    return close_unanswered (conn);
  if (state.down)
    return respond (conn, 503, 0, "", 0);
  if (strlen (key) == 0 || strlen (key) >= KEY_MAX_BYTES)
    return respond (conn, 400, 0, "", 0);
  if (strcmp (info->request_method, "GET") == 0)
    return get_object (conn, info, key);
  if (strcmp (info->request_method, "PUT") == 0)
    return put_object (conn, info, key);
  if (strcmp (info->request_method, "DELETE") == 0)
    return delete_object (conn, key);
  return respond (conn, 405, 0, "", 0);
}

static void
free_objects (struct object **objects)
{
  struct object *o;
  struct object *next;

  HASH_ITER (hh, *objects, o, next)
  {
    HASH_DEL (*objects, o);
    free (o->value);
    free (o);
  }
}

/* Replaces the objects TO by copies of FROM.  */
static void
copy_objects (struct object **to, struct object *from)
{
  struct object *o;
  struct object *next;

  free_objects (to);
  HASH_ITER (hh, from, o, next)
  {
    struct object *c = calloc (1, sizeof *c);
    memcpy (c->key, o->key, sizeof c->key);
    c->version = o->version;
    c->len = o->len;
    c->value = malloc (o->len + 1);
    memcpy (c->value, o->value, o->len + 1);
    HASH_ADD_STR (*to, key, c);
  }
}

static void
take_copy (void)
{
  copy_objects (&state.copy, state.objects);
  state.copy_next_version = state.next_version;
}

static void
restore_copy (void)
{
  copy_objects (&state.objects, state.copy);
  state.next_version = state.copy_next_version;
  state.era++;
  state.away = false;
  state.interruptions++;
}

static int
on_fault (struct mg_connection *conn, void *ctx)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  const char *q = info->query_string ? info->query_string : "";
  char mode[16] = "";

  (void)ctx;
  pthread_mutex_lock (&state.mutex);
  mg_get_var (q, strlen (q), "mode", mode, sizeof mode);
  if (strcmp (mode, "down") == 0)
    state.down = true;
  if (strcmp (mode, "away") == 0)
    state.interruptions++;
  if (strcmp (mode, "up") == 0)
    state.down = false;
  if (mode[0] != '\0')
    state.away = strcmp (mode, "away") == 0;
  if (query_number (info, "copy", 0) > 0)
    take_copy ();
  if (query_number (info, "restore", 0) > 0)
    restore_copy ();
  state.slow_ms = (int)query_number (info, "slow_ms", state.slow_ms);
  state.lose_answers
      = (int)query_number (info, "lose_answers", state.lose_answers);
  state.refuse_root
      = (int)query_number (info, "refuse_root", state.refuse_root);
  state.hide_parts = (int)query_number (info, "hide_parts", state.hide_parts);
  pthread_cond_broadcast (&state.changed);
  pthread_mutex_unlock (&state.mutex);
  return respond (conn, 200, 0, "", 0);
}

static int
on_stats (struct mg_connection *conn, void *ctx)
{
  char text[160];
  int n;

  (void)ctx;
  pthread_mutex_lock (&state.mutex);
  n = snprintf (text, sizeof text,
                "{\"reads\":%lu,\"writes\":%lu,\"watches\":%lu,"
                "\"objects\":%u}\n",
                state.reads, state.writes, state.watches,
                HASH_COUNT (state.objects));
  pthread_mutex_unlock (&state.mutex);
  return respond (conn, 200, 0, text, (size_t)n);
}

int
main (int argc, const char **argv)
{
  char *listen = "127.0.0.1:0";
  struct poptOption table[] = {
    { "listen", 'l', POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &listen, 0,
      "address to listen on; port 0 selects a free port", "IP:PORT" },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext popt = poptGetContext (NULL, argc, argv, table, 0);
  struct mg_server_port ports[1];
  struct mg_context *http;
  int rc = poptGetNextOpt (popt);
  const char *options[] = { "listening_ports",    listen,  "num_threads", "64",
                            "request_timeout_ms", "40000", NULL };

  if (rc < -1)
    {
      fprintf (stderr, "%s: %s\n", poptBadOption (popt, 0), poptStrerror (rc));
      return 2;
    }
  options[1] = listen;
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  mg_init_library (0);
  http = mg_start (NULL, NULL, options);
  if (http == NULL || mg_get_server_ports (http, 1, ports) < 1)
    {
      fprintf (stderr, "cannot listen on %s\n", listen);
      return 1;
    }
  mg_set_request_handler (http, "/v1/objects/**", on_object, NULL);
  mg_set_request_handler (http, "/fault", on_fault, NULL);
  mg_set_request_handler (http, "/stats", on_stats, NULL);
  printf ("port=%d\n", ports[0].port);
  fflush (stdout);
  while (!stopped)
    usleep (50000);
  pthread_mutex_lock (&state.mutex);
  state.down = true;
  pthread_cond_broadcast (&state.changed);
  pthread_mutex_unlock (&state.mutex);
  mg_stop (http);
  poptFreeContext (popt);
  return 0;
}
