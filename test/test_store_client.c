/* test_store_client.c -- clients of both object stores, across a restore

   Each case scripts the answers of a small HTTP server and checks the results
   of calls.  A store that is restored from an older copy gives out revisions
   again, in a later era.  */

#include "platform/platform.h"

#include <netinet/in.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define LOOPBACK      0x7f000001
#define ANSWERS_MAX   4
#define REQUEST_BYTES 4096

struct answer
{
  int status;   /* 0: no further answer */
  unsigned era; /* 0: none stated */
  const char *body;
};

/* A server that gives one answer for each connection, in order.  */
struct server
{
  int fd;
  struct bl_addr addr;
  const struct answer *answers;
  unsigned given;
  pthread_t thread;
};

/* Returns the length of the request in BUF; 0 if its headers are incomplete. */
static size_t
request_len (const char *buf)
{
  const char *end = strstr (buf, "\r\n\r\n");
  const char *field = strstr (buf, "Content-Length: ");
  size_t body = 0;

  if (end == NULL)
    return 0;
  if (field != NULL && field < end)
    body = strtoul (strchr (field, ' '), NULL, 10);
  return (size_t)(end + 4 - buf) + body;
}

/* Reads a whole request, so that closing the connection does not reset it.  */
static void
read_request (int fd)
{
  char buf[REQUEST_BYTES] = "";
  size_t len = 0;

  while (request_len (buf) == 0 || len < request_len (buf))
    {
      ssize_t n = recv (fd, buf + len, sizeof buf - 1 - len, 0);
      if (n <= 0)
        return;
      len += (size_t)n;
      buf[len] = '\0';
    }
}

static void
send_answer (int fd, const struct answer *a)
{
  char era[32] = "";

  if (a->era > 0)
    snprintf (era, sizeof era, "Store-Era: %u\r\n", a->era);
  dprintf (fd,
           "HTTP/1.1 %d x\r\nETag: \"7\"\r\n%sContent-Length: %zu\r\n"
           "Connection: close\r\n\r\n%s",
           a->status, era, strlen (a->body), a->body);
}

static void *
serve (void *ctx)
{
  struct server *s = ctx;

  while (s->given < ANSWERS_MAX && s->answers[s->given].status != 0)
    {
      int fd = accept (s->fd, NULL, NULL);
      if (fd < 0)
        return NULL;
      read_request (fd);
      send_answer (fd, &s->answers[s->given]);
      s->given++;
      shutdown (fd, SHUT_WR);
      close (fd);
    }
  return NULL;
}

static void
start_server (struct server *s, const struct answer *answers)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (LOOPBACK) };
  socklen_t len = sizeof addr;

  *s = (struct server){ .answers = answers };
  s->fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (s->fd, (struct sockaddr *)&addr, sizeof addr), 0);
  assert_int_equal (listen (s->fd, ANSWERS_MAX), 0);
  assert_int_equal (getsockname (s->fd, (struct sockaddr *)&addr, &len), 0);
  s->addr = (struct bl_addr){ LOOPBACK, ntohs (addr.sin_port) };
  assert_int_equal (pthread_create (&s->thread, NULL, serve, s), 0);
}

static void
stop_server (struct server *s)
{
  shutdown (s->fd, SHUT_RDWR);
  pthread_join (s->thread, NULL);
  close (s->fd);
}

/* -- the store of the users' platform -- */

enum call
{
  LIST,
  WATCH,
  UPDATE,
  CREATE,
};

#define PAGE(more, name)                                                       \
  "{\"items\":[{\"meta\":{\"name\":\"" name                                    \
  "\",\"revision\":5},\"spec\":{}}],\"hasMore\":" more ",\"currentRev\":9}"
#define EVENTS                                                                 \
  "{\"events\":[{\"removed\":false,\"object\":{\"meta\":{\"name\":\"a\","      \
  "\"revision\":9},\"spec\":{}}}],\"currentRev\":9}"
#define OBJECT "{\"meta\":{\"name\":\"a\",\"revision\":9},\"spec\":{}}"

/* Calls begin at revision 8 of era 1.  */
static const struct
{
  const char *name;
  enum call call;
  struct answer answers[ANSWERS_MAX];
  enum platform_store_result want;
  uint64_t era; /* of the position after the call */
  uint64_t revision;
  unsigned visited;
} store_cases[] = {
  { "a watch in the same era",
    WATCH,
    { { 200, 1, EVENTS } },
    PLATFORM_STORE_OK,
    1,
    9,
    1 },
  { "a watch in the next era",
    WATCH,
    { { 200, 2, EVENTS } },
    PLATFORM_STORE_RESTORED,
    1,
    8,
    0 },
  { "a watch in an earlier era",
    WATCH,
    { { 200, 0, EVENTS } },
    PLATFORM_STORE_RESTORED,
    1,
    8,
    0 },
  { "a watch from a revision that is gone",
    WATCH,
    { { 410, 2, "{}" } },
    PLATFORM_STORE_GONE,
    1,
    8,
    0 },
  { "a list in the next era",
    LIST,
    { { 200, 2, PAGE ("false", "a") } },
    PLATFORM_STORE_OK,
    2,
    9,
    1 },
  { "pages of one era",
    LIST,
    { { 200, 2, PAGE ("true", "a") }, { 200, 2, PAGE ("false", "b") } },
    PLATFORM_STORE_OK,
    2,
    9,
    2 },
  { "pages of two eras",
    LIST,
    { { 200, 1, PAGE ("true", "a") }, { 200, 2, PAGE ("false", "b") } },
    PLATFORM_STORE_RESTORED,
    1,
    9,
    1 },
  { "a page whose last object has no name",
    LIST,
    { { 200, 1,
        "{\"items\":[{\"spec\":{}}],\"hasMore\":true,\"currentRev\":9}" },
      { 200, 1, PAGE ("false", "b") } },
    PLATFORM_STORE_UNKNOWN,
    1,
    9,
    0 },
  { "the same page again",
    LIST,
    { { 200, 1, PAGE ("true", "a") },
      { 200, 1, PAGE ("true", "a") },
      { 200, 1, PAGE ("false", "b") } },
    PLATFORM_STORE_UNKNOWN,
    1,
    9,
    2 },
  { "an update in the same era",
    UPDATE,
    { { 200, 1, OBJECT } },
    PLATFORM_STORE_OK,
    1,
    9,
    0 },
  { "an update that took effect in the next era",
    UPDATE,
    { { 200, 2, OBJECT } },
    PLATFORM_STORE_RESTORED,
    2,
    9,
    0 },
  { "a conflict in the next era",
    UPDATE,
    { { 409, 2, OBJECT } },
    PLATFORM_STORE_CONFLICT,
    2,
    9,
    0 },
  { "a conflict whose answer has no object",
    CREATE,
    { { 409, 1, "{}" }, { 200, 1, OBJECT } },
    PLATFORM_STORE_CONFLICT,
    1,
    9,
    0 },
  { "the same, and the object cannot be read either",
    CREATE,
    { { 409, 1, "" }, { 503, 1, "{}" } },
    PLATFORM_STORE_UNKNOWN,
    1,
    0,
    0 },
  { "an object that the copy lacks",
    UPDATE,
    { { 404, 2, "{}" } },
    PLATFORM_STORE_NOT_FOUND,
    2,
    0,
    0 },
  { "an update that was turned away",
    UPDATE,
    { { 503, 2, "{}" } },
    PLATFORM_STORE_BUSY,
    1,
    8,
    0 },
  { "a create in the next era",
    CREATE,
    { { 200, 2, OBJECT } },
    PLATFORM_STORE_OK,
    2,
    9,
    0 },
};

static void
count_visit (void *ctx, struct bl_str name, uint64_t revision, const char *text)
{
  (void)name;
  (void)revision;
  (void)text;
  ++*(unsigned *)ctx;
}

static enum platform_store_result
make_call (struct platform_store *store,
           enum call call,
           struct platform_store_position *position,
           unsigned *visited)
{
  struct platform_store_visitor visitor = { count_visit, visited };

  switch (call)
    {
    case LIST:
      return platform_store_list (store, "k", &visitor, position);
    case WATCH:
      return platform_store_watch (store, "k", 100, false, &visitor, position);
    case CREATE:
      position->revision = 0;
      return platform_store_put (store, "k", "a", "{}", position);
    default:
      return platform_store_put (store, "k", "a", "{}", position);
    }
}

/* Guards against a revision of an earlier era that is taken as valid: changes
   would be missed, and a write on another change would count as a success.  */
static void
test_store_across_restore (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof store_cases / sizeof store_cases[0]; i++)
    {
      struct platform_store_position position = { .era = 1, .revision = 8 };
      enum platform_store_result result;
      struct platform_store *store;
      struct server server;
      unsigned visited = 0;
      start_server (&server, store_cases[i].answers);
      store = platform_store_new (server.addr);
      result = make_call (store, store_cases[i].call, &position, &visited);
      stop_server (&server);
      if (result != store_cases[i].want || position.era != store_cases[i].era
          || position.revision != store_cases[i].revision
          || visited != store_cases[i].visited)
        fail_msg ("%s: %s, position %lu.%lu, %u visited", store_cases[i].name,
                  platform_store_result_name (result), position.era,
                  position.revision, visited);
      platform_store_free (store);
    }
}

/* -- objects that cannot be read -- */

#define NESTED_10 "[[[[[[[[[["
#define CLOSED_10 "]]]]]]]]]]"
#define NAME_200                                                               \
  "n0123456789012345678901234567890123456789012345678901234567890123456789"    \
  "0123456789012345678901234567890123456789012345678901234567890123456789"     \
  "0123456789012345678901234567890123456789012345678901234567890"

/* Members of an object that another writer left, and the content that is passed
   on; NULL: the object is left out.  */
static const struct
{
  const char *name;
  const char *members; /* beside "meta" */
  const char *meta;    /* members of "meta" */
  const char *want;
} odd_cases[] = {
  { "nested deeply",
    "\"spec\":" NESTED_10 NESTED_10 NESTED_10 NESTED_10 CLOSED_10 CLOSED_10
        CLOSED_10 CLOSED_10,
    "\"name\":\"b\",\"revision\":8",
    NESTED_10 NESTED_10 NESTED_10 NESTED_10 CLOSED_10 CLOSED_10 CLOSED_10
        CLOSED_10 },
  { "a whole number that is too large",
    "\"spec\":{\"n\":123456789012345678901}", "\"name\":\"b\",\"revision\":8",
    "{\"n\":123456789012345678901}" },
  { "a number that is too large", "\"spec\":{\"n\":1e999}",
    "\"name\":\"b\",\"revision\":8", "{\"n\":1e999}" },
  { "a zero character in a string", "\"spec\":\"\\u0000\"",
    "\"name\":\"b\",\"revision\":8", "\"\\u0000\"" },
  { "half of a character", "\"spec\":\"\\ud800\"",
    "\"name\":\"b\",\"revision\":8", "\"\\ud800\"" },
  { "bytes that are not UTF-8", "\"spec\":\"\xff\"",
    "\"name\":\"b\",\"revision\":8", "\"\xff\"" },
  { "brackets in a string", "\"spec\":\"]}\\\"[{\"",
    "\"name\":\"b\",\"revision\":8", "\"]}\\\"[{\"" },
  { "the same member twice", "\"spec\":{\"a\":1,\"a\":2}",
    "\"name\":\"b\",\"revision\":8", "{\"a\":1,\"a\":2}" },
  { "a status that cannot be read", "\"status\":[1e999],\"spec\":1",
    "\"name\":\"b\",\"revision\":8", "1" },
  { "a finalizer that cannot be read", "\"spec\":1",
    "\"finalizers\":[1e999],\"name\":\"b\",\"revision\":8", "1" },
  { "a long name with other characters", "\"spec\":1",
    "\"name\":\"" NAME_200 " &?%\",\"revision\":8", "1" },
  { "no content", "\"status\":1", "\"name\":\"b\",\"revision\":8", NULL },
  { "no name", "\"spec\":1", "\"revision\":8", NULL },
  { "a name that is too large a number", "\"spec\":1",
    "\"name\":1e999,\"revision\":8", NULL },
  { "a name that cannot be read", "\"spec\":1",
    "\"name\":\"\\ud800\",\"revision\":8", NULL },
};

/* What a call has visited.  */
struct visited
{
  unsigned valid; /* objects "a" and "z" */
  unsigned odd;
  uint64_t revision; /* of the odd object */
  char text[512];    /* of the odd object */
};

static void
note_visit (void *ctx, struct bl_str name, uint64_t revision, const char *text)
{
  struct visited *v = ctx;

  if (name.len == 1 && (name.ptr[0] == 'a' || name.ptr[0] == 'z'))
    {
      v->valid++;
      return;
    }
  v->odd++;
  v->revision = revision;
  snprintf (v->text, sizeof v->text, "%s", text);
}

/* Calls that return several objects or one.  */
enum read
{
  READ_LIST,
  READ_PAGES, /* the odd object is the last one of its page */
  READ_WATCH,
  READ_GET,
  READ_CONFLICT, /* the answer to a write has the odd object */
  READS,
};

static const char *const read_names[] = {
  "list", "list in pages", "watch", "get", "conflict",
};

#define VALID(name)                                                            \
  "{\"meta\":{\"name\":\"" name "\",\"revision\":5},\"spec\":{}}"

/* Fills in the answers to a call, with OBJECT among others.  */
static void
fill_answers (enum read read,
              const char *object,
              struct answer *answers,
              char texts[2][2048])
{
  for (int i = 0; i < 2; i++)
    answers[i] = (struct answer){ 0, 1, texts[i] };
  answers[0].status = read == READ_CONFLICT ? 409 : 200;
  if (read == READ_LIST)
    snprintf (texts[0], 2048,
              "{\"items\":[" VALID ("a") ", %s ," VALID (
                  "z") "],\"hasMore\":false,\"currentRev\":9}",
              object);
  else if (read == READ_PAGES)
    {
      answers[1].status = 200;
      snprintf (
          texts[0], 2048,
          "{\"hasMore\":true,\"currentRev\":9,\"items\":[" VALID ("a") ",%s]}",
          object);
      snprintf (
          texts[1], 2048,
          "{\"items\":[" VALID ("z") "],\"hasMore\":false,\"currentRev\":9}");
    }
  else if (read == READ_WATCH)
    snprintf (texts[0], 2048,
              "{\"events\":[{\"object\":" VALID (
                  "a") ",\"removed\":false},{\"removed\":false,\"object\":%s},"
                       "{\"object\":" VALID (
                           "z") ",\"removed\":false}],\"currentRev\":9}",
              object);
  else
    snprintf (texts[0], 2048, "%s", object);
}

static enum platform_store_result
read_objects (struct platform_store *store,
              enum read read,
              struct platform_store_position *position,
              struct visited *visited)
{
  struct platform_store_visitor visitor = { note_visit, visited };

  switch (read)
    {
    case READ_LIST:
    case READ_PAGES:
      return platform_store_list (store, "k", &visitor, position);
    case READ_WATCH:
      return platform_store_watch (store, "k", 100, false, &visitor, position);
    case READ_GET:
      return platform_store_get (store, "k", "b", &visitor);
    default:
      return platform_store_put (store, "k", "b", "{}", position);
    }
}

static void
check_odd_object (size_t i, enum read read)
{
  struct platform_store_position position = { .era = 1, .revision = 7 };
  const char *want = odd_cases[i].want;
  struct answer answers[ANSWERS_MAX] = { { 0, 0, "" } };
  struct visited visited = { .valid = 0 };
  bool several = read <= READ_WATCH;
  bool conflict = read == READ_CONFLICT;
  enum platform_store_result result;
  struct platform_store *store;
  struct server server;
  char texts[2][2048];
  char object[1024];

  snprintf (object, sizeof object, "{%s,\"meta\":{%s}}", odd_cases[i].members,
            odd_cases[i].meta);
  fill_answers (read, object, answers, texts);
  start_server (&server, answers);
  store = platform_store_new (server.addr);
  result = read_objects (store, read, &position, &visited);
  platform_store_free (store);
  stop_server (&server);
  if (result != (conflict ? PLATFORM_STORE_CONFLICT : PLATFORM_STORE_OK)
      || visited.valid != (several ? 2 : 0)
      || visited.odd != (want != NULL && !conflict)
      || (conflict && position.revision != 8)
      || (visited.odd > 0
          && (visited.revision != 8 || strcmp (visited.text, want) != 0)))
    fail_msg ("%s, %s: %s, %u + %u visited, revision %lu, position %lu: %s",
              odd_cases[i].name, read_names[read],
              platform_store_result_name (result), visited.valid, visited.odd,
              visited.revision, position.revision, visited.text);
}

/* Guards against one object of another writer that makes a whole list, watch or
   answer unreadable.  */
static void
test_odd_objects (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof odd_cases / sizeof odd_cases[0]; i++)
    for (enum read read = 0; read < READS; read++)
      check_odd_object (i, read);
}

/* -- the object API of transport ip -- */

/* Calls begin at version 7 of era 1.  */
static const struct
{
  const char *name;
  bool put; /* otherwise a watch */
  struct answer answers[ANSWERS_MAX];
  enum io_kv_result want;
} kv_cases[] = {
  { "unchanged in the same era", false, { { 304, 1, "" } }, IO_KV_UNCHANGED },
  { "the same version in the next era",
    false,
    { { 304, 2, "" } },
    IO_KV_RESTORED },
  { "an object in the next era", false, { { 200, 2, "x" } }, IO_KV_OK },
  { "a write in the same era", true, { { 200, 1, "" } }, IO_KV_OK },
  { "a write that took effect in the next era",
    true,
    { { 200, 2, "" } },
    IO_KV_RESTORED },
  { "a conflict in the next era", true, { { 412, 2, "" } }, IO_KV_CONFLICT },
};

/* The same for the object API of transport ip.  */
static void
test_kv_across_restore (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof kv_cases / sizeof kv_cases[0]; i++)
    {
      struct io_kv_position seen = { .era = 1, .version = 7 };
      struct io_object object = { .len = 0 };
      enum io_kv_result result;
      struct server server;
      struct io_kv *kv;
      char addr[BL_ADDR_TEXT_MAX];
      char url[64];
      start_server (&server, kv_cases[i].answers);
      snprintf (url, sizeof url, "http://%s",
                bl_addr_format (server.addr, addr));
      kv = io_kv_new (url, 1);
      if (kv_cases[i].put)
        result = io_kv_put (kv, "k", seen, "x", 1, &seen);
      else
        result = io_kv_watch (kv, "k", seen, 0, &object);
      stop_server (&server);
      if (result != kv_cases[i].want)
        fail_msg ("%s: %d", kv_cases[i].name, (int)result);
      io_object_clear (&object);
      io_kv_free (kv);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_store_across_restore),
    cmocka_unit_test (test_odd_objects),
    cmocka_unit_test (test_kv_across_restore),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
