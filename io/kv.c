/* kv.c -- client of the platform's object API, a key-value store over
   HTTP

   An object is identified by a key.  Its version is sent in the ETag header,
   and a write is conditional on a version (If-Match, If-None-Match).  A write
   without a response may have taken effect.  The client reports this result as
   IO_KV_UNKNOWN and never repeats a write.  The header Store-Era of each
   response tells whether the platform was restored from an older copy since an
   earlier one; the versions of that one then belong to other changes.  */

#include "io/io.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CALL_TIMEOUT_MS    2000
#define BACKOFF_MIN_MS     100
#define BACKOFF_MAX_MS     10000
#define CALLS_PER_S        20.0 /* limit per client */
#define CALLS_BURST        100.0
#define URL_MAX_BYTES      512
#define RESPONSE_MAX_BYTES (2 * BL_VALUE_MAX_BYTES)

struct io_kv
{
  char url[URL_MAX_BYTES];
  CURL *curl;
  struct bl_random random;
  volatile bool cancelled;
  double tokens; /* calls that may be made now; negative while a call waits */
  uint64_t last_refill_ms;
  uint64_t calls;
};

/* Request and response of a call.  */
struct call
{
  struct io_kv *kv;
  const char *method;
  const char *condition; /* If-Match or If-None-Match header, or NULL */
  const char *body;
  size_t body_len;
  unsigned timeout_ms;
  struct io_object *out;
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void
init_curl (void)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
}

void
io_http_init (void)
{
  pthread_once (&curl_once, init_curl);
}

void
io_object_clear (struct io_object *object)
{
  free (object->text);
  *object = (struct io_object){ .len = 0 };
}

/* Body callback of libcurl.  A result other than the data's length aborts the
   call, as for a response above RESPONSE_MAX_BYTES.  */
static size_t
append_body (char *data, size_t size, size_t count, void *ctx)
{
  struct io_object *out = ctx;
  size_t len = size * count;
  char *text;

  if (out->len + len > RESPONSE_MAX_BYTES)
    return 0;
  text = realloc (out->text, out->len + len + 1);
  if (text == NULL)
    return 0;
  memcpy (text + out->len, data, len);
  out->text = text;
  out->len += len;
  out->text[out->len] = '\0';
  return len;
}

/* Header callback of libcurl: reads the version from the ETag header, and the
   era.  */
static size_t
read_header (char *data, size_t size, size_t count, void *ctx)
{
  struct io_object *out = ctx;
  char line[64];
  size_t len = size * count;

  if (len >= sizeof line)
    return len;
  memcpy (line, data, len);
  line[len] = '\0';
  if (strncasecmp (line, "etag:", 5) == 0)
    sscanf (line + 5, " \"%lu", &out->version);
  if (strncasecmp (line, "store-era:", 10) == 0)
    sscanf (line + 10, "%lu", &out->era);
  return len;
}

/* Progress callback of libcurl: aborts the call if the client is cancelled.  */
static int
check_cancelled (
    void *ctx, curl_off_t a, curl_off_t b, curl_off_t c, curl_off_t d)
{
  const struct io_kv *kv = ctx;
  (void)a, (void)b, (void)c, (void)d;
  return kv != NULL && kv->cancelled;
}

static void
set_options (CURL *curl,
             const char *url,
             const struct call *call,
             struct curl_slist *headers)
{
  curl_easy_reset (curl);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, call->method);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, call->out);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, read_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, call->out);
  curl_easy_setopt (curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt (curl, CURLOPT_XFERINFOFUNCTION, check_cancelled);
  curl_easy_setopt (curl, CURLOPT_XFERINFODATA, call->kv);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  if (call->body == NULL)
    return;
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, call->body);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)call->body_len);
}

/* Returns the HTTP status, or 0 if there was no response.  */
static long
perform_call (CURL *curl, const char *url, const struct call *call)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  long status = 0;

  if (call->condition != NULL)
    headers = curl_slist_append (headers, call->condition);
  set_options (curl, url, call, headers);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all (headers);
  return status;
}

static enum io_kv_result
status_to_result (long status)
{
  switch (status)
    {
    case 200:
    case 201:
    case 204:
      return IO_KV_OK;
    case 304:
      return IO_KV_UNCHANGED;
    case 404:
      return IO_KV_NOT_FOUND;
    case 412:
      return IO_KV_CONFLICT;
    case 400:
    case 413:
      return IO_KV_REFUSED;
    default:
      return IO_KV_UNKNOWN;
    }
}

struct io_kv *
io_kv_new (const char *url, uint64_t random_seed)
{
  struct io_kv *kv = calloc (1, sizeof *kv);

  io_http_init ();
  if (kv == NULL)
    return NULL;
  snprintf (kv->url, sizeof kv->url, "%s", url);
  kv->random.state = random_seed;
  kv->tokens = CALLS_BURST;
  kv->last_refill_ms = io_now_ms ();
  kv->curl = curl_easy_init ();
  if (kv->curl == NULL)
    {
      free (kv);
      return NULL;
    }
  return kv;
}

void
io_kv_free (struct io_kv *kv)
{
  if (kv == NULL)
    return;
  curl_easy_cleanup (kv->curl);
  free (kv);
}

/* Limits the rate of calls with a token bucket, because the platform counts
   every call and a faulty client must not exceed its share.  Once the burst is
   used up, a call waits until its token is due.  */
static void
limit_call_rate (struct io_kv *kv)
{
  uint64_t now = io_now_ms ();

  kv->tokens += (double)(now - kv->last_refill_ms) * CALLS_PER_S / 1000;
  if (kv->tokens > CALLS_BURST)
    kv->tokens = CALLS_BURST;
  kv->last_refill_ms = now;
  kv->tokens -= 1;
  if (kv->tokens < 0)
    usleep ((useconds_t)(-kv->tokens * 1000000 / CALLS_PER_S));
}

static enum io_kv_result
call_object_api (struct io_kv *kv,
                 const char *key,
                 const char *query,
                 struct call *call)
{
  char url[URL_MAX_BYTES + 256];

  limit_call_rate (kv);
  kv->calls++;
  call->kv = kv;
  io_object_clear (call->out);
  snprintf (url, sizeof url, "%s/v1/objects/%s%s", kv->url, key, query);
  return status_to_result (perform_call (kv->curl, url, call));
}

enum io_kv_result
io_kv_get (struct io_kv *kv, const char *key, struct io_object *out)
{
  struct call call = {
    .method = "GET",
    .timeout_ms = CALL_TIMEOUT_MS,
    .out = out,
  };
  return call_object_api (kv, key, "", &call);
}

enum io_kv_result
io_kv_watch (struct io_kv *kv,
             const char *key,
             struct io_kv_position seen,
             unsigned timeout_s,
             struct io_object *out)
{
  struct call call = {
    .method = "GET",
    .timeout_ms = timeout_s * 1000 + CALL_TIMEOUT_MS,
    .out = out,
  };
  enum io_kv_result result;
  char query[64];

  snprintf (query, sizeof query, "?watch=%lu&timeout_s=%u", seen.version,
            timeout_s);
  result = call_object_api (kv, key, query, &call);
  if (result == IO_KV_UNCHANGED && out->era != seen.era)
    return IO_KV_RESTORED;
  return result;
}

static void
format_condition (char *buf, size_t cap, uint64_t expected)
{
  if (expected == 0)
    snprintf (buf, cap, "If-None-Match: *");
  else
    snprintf (buf, cap, "If-Match: \"%lu\"", expected);
}

enum io_kv_result
io_kv_put (struct io_kv *kv,
           const char *key,
           struct io_kv_position expected,
           const char *text,
           size_t len,
           struct io_kv_position *position)
{
  struct io_object out = { .len = 0 };
  char condition[64];
  struct call call = {
    .method = "PUT",
    .condition = condition,
    .body = text,
    .body_len = len,
    .timeout_ms = CALL_TIMEOUT_MS,
    .out = &out,
  };
  enum io_kv_result result;

  if (len > BL_VALUE_MAX_BYTES)
    return IO_KV_REFUSED;
  format_condition (condition, sizeof condition, expected.version);
  result = call_object_api (kv, key, "", &call);
  *position = (struct io_kv_position){ out.era, out.version };
  io_object_clear (&out);
  if (result == IO_KV_OK && expected.version != 0
      && position->era != expected.era)
    return IO_KV_RESTORED;
  return result;
}

enum io_kv_result
io_kv_delete (struct io_kv *kv, const char *key, uint64_t expected)
{
  struct io_object out = { .len = 0 };
  char condition[64];
  struct call call = {
    .method = "DELETE",
    .condition = condition,
    .timeout_ms = CALL_TIMEOUT_MS,
    .out = &out,
  };
  enum io_kv_result result;

  format_condition (condition, sizeof condition, expected);
  if (expected == IO_KV_ANY_VERSION)
    call.condition = NULL;
  result = call_object_api (kv, key, "", &call);
  io_object_clear (&out);
  return result;
}

unsigned
io_kv_backoff_ms (struct io_kv *kv, unsigned attempt)
{
  unsigned ms = BACKOFF_MIN_MS;

  while (attempt-- > 1 && ms < BACKOFF_MAX_MS)
    ms *= 2;
  if (ms > BACKOFF_MAX_MS)
    ms = BACKOFF_MAX_MS;
  return ms / 2 + bl_random_below (&kv->random, ms / 2 + 1);
}

void
io_kv_cancel (struct io_kv *kv)
{
  kv->cancelled = true;
}

uint64_t
io_kv_calls (const struct io_kv *kv)
{
  return kv->calls;
}

long
io_http_request (const char *method,
                 const char *url,
                 const char *body,
                 unsigned timeout_ms,
                 struct io_object *out)
{
  struct call call = {
    .method = method,
    .body = body,
    .body_len = body != NULL ? strlen (body) : 0,
    .timeout_ms = timeout_ms,
    .out = out,
  };
  CURL *curl;
  long status;

  io_http_init ();
  curl = curl_easy_init ();
  if (curl == NULL)
    return 0;
  io_object_clear (out);
  status = perform_call (curl, url, &call);
  curl_easy_cleanup (curl);
  return status;
}
