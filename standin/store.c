/* store.c -- stand-in for the users' object store

   Serves objects by kind and name over HTTP, with one revision counter, lists
   in pages, conditional writes and watches, all in memory.  POST /fault injects
   faults:
     mode=down | up     while down, each call is answered with 503
     turn_away=NAME     calls about objects of that name, as the machine of
                        that name makes them, are answered with 429; "-": none
     lose_answers=N     the next N writes take effect but get no response
     forget=1           the history is dropped; watches from the current or an
                        earlier revision are answered with 410
     copy=1             takes a copy of the store
     mode=away          calls get no answer and watches are cut, until another
                        mode or a restore
     restore=1          comes back from the copy: what was written since is
                        lost, the revision counter goes back, and a new era
                        begins
     restore=repeat     the same, and the operator then repeats the writes that
                        were lost or got no answer since the copy was taken
   Every answer states the era in the header Store-Era.  A watch from a revision
   that the store has not given out in this era is answered with 410.
   GET /stats reports the number of calls, the revision and the era.  */

#include <civetweb.h>
#include <jansson.h>
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

#define KEY_MAX_BYTES  160
#define BODY_MAX_BYTES (1024 * 1024)
#define PAGE_OBJECTS   50 /* objects in one response */
#define OBJECTS_PATH   "/v1/objects/"

#define OPERATOR_KIND "config" /* objects that the operator writes */

/* An object.  Removed objects are kept so that watches can report the
   removal.  */
struct object
{
  char key[KEY_MAX_BYTES]; /* kind/name */
  uint64_t revision;       /* of the last change */
  bool removed;
  json_t *json; /* meta, spec, status */
  UT_hash_handle hh;
};

/* A write of the operator since the copy was taken, made or unanswered.  */
struct repeated_write
{
  char key[KEY_MAX_BYTES];
  json_t *spec;
};

static struct
{
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  struct object *objects;
  uint64_t revision;
  uint64_t history_start; /* watches from lower revisions get 410 */
  bool down;
  bool away;
  uint64_t interruptions; /* incremented when all waiting watches are cut */
  char turned_away[KEY_MAX_BYTES]; /* name; empty: none */
  int lose_answers;                /* writes left that get no response */
  uint64_t calls;
  uint64_t era;
  struct object *copy; /* by key */
  uint64_t copy_revision;
  struct repeated_write *writes; /* of the operator since the copy */
  size_t write_count;
} state = {
  .mutex = PTHREAD_MUTEX_INITIALIZER,
  .changed = PTHREAD_COND_INITIALIZER,
  .revision = 1,
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
respond (struct mg_connection *conn, int status, json_t *json)
{
  char *text = json != NULL ? json_dumps (json, JSON_COMPACT) : strdup ("{}");

  mg_printf (conn,
             "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
             "Store-Era: %lu\r\nContent-Length: %zu\r\n\r\n%s",
             status, mg_get_response_code_text (conn, status), state.era,
             strlen (text), text);
  free (text);
  json_decref (json);
  return status;
}

static struct object *
find_object (const char *key)
{
  struct object *o;

  HASH_FIND_STR (state.objects, key, o);
  return o;
}

static int
compare_keys (const struct object *a, const struct object *b)
{
  return strcmp (a->key, b->key);
}

static bool
is_of_kind (const struct object *o, const char *kind)
{
  size_t len = strlen (kind);
  return strncmp (o->key, kind, len) == 0 && o->key[len] == '/';
}

static unsigned long
query_number (const struct mg_request_info *info, const char *name)
{
  char text[32] = "";

  if (info->query_string != NULL)
    mg_get_var (info->query_string, strlen (info->query_string), name, text,
                sizeof text);
  return strtoul (text, NULL, 10);
}

/* -- reading -- */

/* Returns the first page of objects of a kind with names above the query's
   "after".  */
static json_t *
list_objects (const struct mg_request_info *info, const char *kind)
{
  char after[KEY_MAX_BYTES] = "";
  json_t *items = json_array ();
  bool more = false;
  struct object *o;
  struct object *next;

  if (info->query_string != NULL)
    mg_get_var (info->query_string, strlen (info->query_string), "after", after,
                sizeof after);
  HASH_SORT (state.objects, compare_keys);
  HASH_ITER (hh, state.objects, o, next)
  {
    if (o->removed || !is_of_kind (o, kind)
        || strcmp (o->key + strlen (kind) + 1, after) <= 0)
      continue;
    more = json_array_size (items) == PAGE_OBJECTS;
    if (more)
      break;
    json_array_append (items, o->json);
  }
  return json_pack ("{s:o, s:b, s:I}", "items", items, "hasMore", (int)more,
                    "currentRev", (json_int_t)state.revision);
}

/* Returns an event for each object that changed after REVISION.  */
static json_t *
changes_since (const char *kind, uint64_t revision)
{
  json_t *events = json_array ();
  struct object *o;
  struct object *next;

  HASH_ITER (hh, state.objects, o, next)
  if (o->revision > revision && is_of_kind (o, kind))
    json_array_append_new (events,
                           json_pack ("{s:b, s:O}", "removed", (int)o->removed,
                                      "object", o->json));
  return events;
}

/* Closes the connection without an answer.  */
static int
close_unanswered (struct mg_connection *conn)
{
  mg_close_connection (conn);
  return 503;
}

/* Waits up to WAIT_MS for changes after REVISION; the mutex is held except
   during the wait.  Returns NULL with *STATUS set to 410 if the store does not
   have the history since REVISION, or to 0 if the watch was cut.  */
static json_t *
wait_for_changes (const char *kind,
                  uint64_t revision,
                  unsigned long wait_ms,
                  int *status)
{
  uint64_t interruptions = state.interruptions;
  struct timespec until;
  json_t *events = NULL;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += (time_t)(wait_ms / 1000);
  until.tv_nsec += (long)(wait_ms % 1000) * 1000000;
  until.tv_sec += until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  for (;;)
    {
      *status = interruptions != state.interruptions ? 0 : 410;
      if (*status == 0 || revision < state.history_start
          || revision > state.revision)
        return NULL;
      events = changes_since (kind, revision);
      if (json_array_size (events) > 0 || stopped
          || pthread_cond_timedwait (&state.changed, &state.mutex, &until) != 0)
        break;
      json_decref (events);
    }
  return json_pack ("{s:o, s:I}", "events", events, "currentRev",
                    (json_int_t)state.revision);
}

static int
on_get (struct mg_connection *conn, const char *key)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  struct object *o;
  json_t *json;
  int status;

  if (strchr (key, '/') != NULL)
    {
      o = find_object (key);
      return o != NULL && !o->removed
                 ? respond (conn, 200, json_incref (o->json))
                 : respond (conn, 404, NULL);
    }
  if (info->query_string == NULL
      || strstr (info->query_string, "watch=") == NULL)
    return respond (conn, 200, list_objects (info, key));
  json = wait_for_changes (key, query_number (info, "watch"),
                           query_number (info, "waitMs"), &status);
  if (json == NULL && status == 0)
    return close_unanswered (conn);
  return json != NULL ? respond (conn, 200, json)
                      : respond (conn, status, NULL);
}

/* -- writing -- */

/* Wakes the watches and sends the response of a write, or closes the connection
   if the response is to be lost.  */
static int
respond_write (struct mg_connection *conn, json_t *json)
{
  pthread_cond_broadcast (&state.changed);
  if (state.lose_answers > 0)
    {
      state.lose_answers--;
      json_decref (json);
      return close_unanswered (conn);
    }
  return respond (conn, 200, json);
}

/* Adds an object in the removed state.  */
static struct object *
add_object (const char *key)
{
  struct object *o = calloc (1, sizeof *o);

  snprintf (o->key, sizeof o->key, "%s", key);
  o->removed = true;
  HASH_ADD_STR (state.objects, key, o);
  return o;
}

static void
set_object (struct object *o, const char *name, json_t *spec)
{
  o->revision = ++state.revision;
  o->removed = false;
  json_decref (o->json);
  o->json = json_pack ("{s:{s:s, s:I, s:[], s:b}, s:o, s:n}", "meta", "name",
                       name, "revision", (json_int_t)o->revision, "finalizers",
                       "deletionPending", 0, "spec", spec, "status");
}

/* Notes a write of the operator, which a restore may repeat.  */
static void
note_write (const char *key, json_t *spec)
{
  struct repeated_write *w
      = realloc (state.writes, (state.write_count + 1) * sizeof *state.writes);

  if (w == NULL)
    return;
  state.writes = w;
  w = &state.writes[state.write_count++];
  snprintf (w->key, sizeof w->key, "%s", key);
  w->spec = json_incref (spec);
}

static bool
is_of_operator (const char *key)
{
  return strncmp (key, OPERATOR_KIND "/", sizeof OPERATOR_KIND) == 0;
}

/* Creates an object of the kind PATH, or updates the object with the key PATH.
   The response is 409 if an object to be created exists, or if the body has a
   revision other than 0 that is not the object's.  */
static int
on_write (struct mg_connection *conn,
          const char *path,
          bool create,
          json_t *body)
{
  const json_t *meta = json_object_get (body, "meta");
  const char *name = json_string_value (json_object_get (meta, "name"));
  uint64_t revision
      = (uint64_t)json_integer_value (json_object_get (meta, "revision"));
  json_t *spec = json_incref (json_object_get (body, "spec"));
  char key[KEY_MAX_BYTES];
  struct object *o;

  if (name == NULL || spec == NULL)
    return respond (conn, 400, NULL);
  snprintf (key, sizeof key, create ? "%s/%s" : "%s", path, name);
  o = find_object (key);
  if ((o == NULL || o->removed) && !create)
    return respond (conn, 404, NULL);
  if (o != NULL && !o->removed
      && (create || (revision != 0 && revision != o->revision)))
    return respond (conn, 409, json_incref (o->json));
  /* A write that changes nothing makes no new revision and no event.  */
  if (o != NULL && !o->removed
      && json_equal (json_object_get (o->json, "spec"), spec))
    {
      json_decref (spec);
      return respond (conn, 200, json_incref (o->json));
    }
  if (is_of_operator (key))
    note_write (key, spec);
  set_object (o != NULL ? o : add_object (key), name, spec);
  return respond_write (conn, json_incref (find_object (key)->json));
}

static int
on_delete (struct mg_connection *conn, const char *key)
{
  struct object *o = find_object (key);

  if (o == NULL || o->removed)
    return respond (conn, 404, NULL);
  o->removed = true;
  o->revision = ++state.revision;
  return respond_write (conn, json_object ());
}

static json_t *
read_body (struct mg_connection *conn)
{
  char *body = malloc (BODY_MAX_BYTES);
  size_t len = 0;
  json_t *json;
  int n;

  while (body != NULL && len < BODY_MAX_BYTES
         && (n = mg_read (conn, body + len, BODY_MAX_BYTES - len)) > 0)
    len += (size_t)n;
  json = body != NULL ? json_loadb (body, len, 0, NULL) : NULL;
  free (body);
  return json;
}

/* Returns true if a call about PATH, with BODY if it creates an object, is
   about an object of the name that is turned away.  */
static bool
is_turned_away (const char *path, const json_t *body)
{
  const char *slash = strchr (path, '/');
  const char *name = slash != NULL ? slash + 1
                                   : json_string_value (json_object_get (
                                       json_object_get (body, "meta"), "name"));

  return state.turned_away[0] != '\0' && name != NULL
         && strcmp (name, state.turned_away) == 0;
}

static int
on_objects (struct mg_connection *conn, void *ctx)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  const char *path = info->local_uri + strlen (OBJECTS_PATH);
  const char *method = info->request_method;
  json_t *body = strcmp (method, "GET") != 0 ? read_body (conn) : NULL;
  int status = 405;

  (void)ctx;
  pthread_mutex_lock (&state.mutex);
  state.calls++;
  if (state.away)
    {
      if (body != NULL && is_of_operator (path))
        note_write (path, json_object_get (body, "spec"));
      status = close_unanswered (conn);
    }
  else if (state.down)
    status = respond (conn, 503, NULL);
  else if (is_turned_away (path, body))
    status = respond (conn, 429, NULL);
  else if (strcmp (method, "GET") == 0)
    status = on_get (conn, path);
  else if (strcmp (method, "DELETE") == 0)
    status = on_delete (conn, path);
  else
    status = on_write (conn, path, strcmp (method, "POST") == 0, body);
  pthread_mutex_unlock (&state.mutex);
  json_decref (body);
  return status;
}

/* -- restoring a copy -- */

static void
free_objects (struct object **objects)
{
  struct object *o;
  struct object *next;

  HASH_ITER (hh, *objects, o, next)
  {
    HASH_DEL (*objects, o);
    json_decref (o->json);
    free (o);
  }
}

static void
forget_writes (void)
{
  while (state.write_count > 0)
    json_decref (state.writes[--state.write_count].spec);
}

/* Replaces the objects TO by copies of FROM.  The JSON of an object is replaced
   when it changes, so it can be shared.  */
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
    c->revision = o->revision;
    c->removed = o->removed;
    c->json = json_incref (o->json);
    HASH_ADD_STR (*to, key, c);
  }
}

static void
take_copy (void)
{
  copy_objects (&state.copy, state.objects);
  state.copy_revision = state.revision;
  forget_writes ();
}

static void
restore_copy (bool repeat)
{
  copy_objects (&state.objects, state.copy);
  state.revision = state.copy_revision;
  state.era++;
  state.away = false;
  for (size_t i = 0; repeat && i < state.write_count; i++)
    {
      struct repeated_write *w = &state.writes[i];
      struct object *o = find_object (w->key);
      set_object (o != NULL ? o : add_object (w->key), strchr (w->key, '/') + 1,
                  json_incref (w->spec));
    }
  if (!repeat)
    forget_writes ();
}

static int
on_fault (struct mg_connection *conn, void *ctx)
{
  char body[256] = "";
  char value[32];
  int len = mg_read (conn, body, sizeof body - 1);

  (void)ctx;
  if (len < 0)
    len = 0;
  pthread_mutex_lock (&state.mutex);
  if (mg_get_var (body, (size_t)len, "mode", value, sizeof value) > 0)
    {
      state.down = strcmp (value, "down") == 0;
      state.away = strcmp (value, "away") == 0;
      state.interruptions += state.away ? 1 : 0;
    }
  if (mg_get_var (body, (size_t)len, "turn_away", value, sizeof value) > 0)
    snprintf (state.turned_away, sizeof state.turned_away, "%s",
              strcmp (value, "-") != 0 ? value : "");
  if (mg_get_var (body, (size_t)len, "lose_answers", value, sizeof value) > 0)
    state.lose_answers = atoi (value);
  if (mg_get_var (body, (size_t)len, "forget", value, sizeof value) > 0)
    state.history_start = state.revision + 1;
  if (mg_get_var (body, (size_t)len, "copy", value, sizeof value) > 0)
    take_copy ();
  if (mg_get_var (body, (size_t)len, "restore", value, sizeof value) > 0)
    {
      state.interruptions++;
      restore_copy (strcmp (value, "repeat") == 0);
    }
  pthread_cond_broadcast (&state.changed);
  pthread_mutex_unlock (&state.mutex);
  return respond (conn, 200, NULL);
}

static int
on_stats (struct mg_connection *conn, void *ctx)
{
  (void)ctx;
  return respond (conn, 200,
                  json_pack ("{s:I, s:I, s:I}", "calls",
                             (json_int_t)state.calls, "revision",
                             (json_int_t)state.revision, "era",
                             (json_int_t)state.era));
}

int
main (int argc, const char **argv)
{
  char *listen = NULL;
  struct poptOption table[] = { { "listen", 0, POPT_ARG_STRING, &listen, 0,
                                  "IP:PORT to listen on", NULL },
                                POPT_AUTOHELP POPT_TABLEEND };
  poptContext popt = poptGetContext (NULL, argc, argv, table, 0);
  const char *options[]
      = { "listening_ports", NULL, "num_threads", "120", NULL };
  struct mg_context *http;

  if (poptGetNextOpt (popt) < -1 || listen == NULL)
    {
      fprintf (stderr, "standin-store: --listen IP:PORT is required\n");
      return 2;
    }
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  options[1] = listen;
  mg_init_library (0);
  http = mg_start (NULL, NULL, options);
  if (http == NULL)
    return 1;
  mg_set_request_handler (http, OBJECTS_PATH "**", on_objects, NULL);
  mg_set_request_handler (http, "/fault$", on_fault, NULL);
  mg_set_request_handler (http, "/stats$", on_stats, NULL);
  while (!stopped)
    pause ();
  return 0;
}
