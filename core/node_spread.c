/* node_spread.c -- how records and configuration reach everybody

   News is pushed at once to a few random members by each node that learns of
   it, which reaches nearly all within a few rounds.  What that misses is
   found by comparing: every message carries the version of the configuration
   and a digest of all records.  A node that sees a newer version pulls what
   was changed since its own; one whose digest keeps differing sends its
   digests by bucket and gets the records of those buckets that differ.  Both
   pulls are idempotent and come in bounded pieces, each of which leaves the
   puller further on, so a joiner needs nothing of its own kind.  */

#include "core/node.h"

#include <stdlib.h>
#include <string.h>

#define PULL_INTERVAL_MS        1000 /* of records */
#define JOIN_PULL_INTERVAL_MS   100
#define CONFIG_PULL_INTERVAL_MS 200
#define DIFFERS_MAX_MS          10000 /* though news keeps coming */
#define QUIET_MS                1000  /* without news */
#define PIECE_RECORDS           512
#define PIECE_SERVICES          128
#define PUSH_SERVICES           8
#define LOCAL_PUSHES            3 /* of BL_NEWS_FANOUT, within the dc */

void
bl_spread_fill (struct bl_node *node, struct bl_msg *msg)
{
  msg->digest = bl_store_digest (node->store);
  msg->config_version = bl_config_version (node->config);
}

/* -- pushing -- */

/* Picks up to BL_NEWS_FANOUT different members, mostly of this data centre,
   but always some of others if there are any: a step through the shuffled
   list from a random start.  */
static size_t
pick_targets (struct bl_node *node, const struct bl_member **out)
{
  size_t count = node->member_count;
  size_t locals = 0;
  size_t others = 0;
  uint32_t first = bl_random_below (&node->random, (uint32_t)count);

  for (size_t i = 0; i < count; i++)
    {
      const struct bl_member *m = &node->members[(first + i) % count];
      if (!m->alive || locals + others == BL_NEWS_FANOUT)
        continue;
      if (m->local && locals < LOCAL_PUSHES)
        out[locals++ + others] = m;
      else if (!m->local && others < BL_NEWS_FANOUT - LOCAL_PUSHES)
        out[locals + others++] = m;
    }
  return locals + others;
}

static size_t
texts_since (struct bl_node *node,
             uint64_t from,
             struct bl_str *texts,
             size_t max,
             uint64_t *up_to)
{
  const struct bl_service *services[PIECE_SERVICES];
  size_t n = bl_config_since (node->config, from, services, max, up_to);

  for (size_t i = 0; i < n; i++)
    {
      char *text = bl_service_format (services[i]);
      texts[i] = bl_str_of (text != NULL ? text : "");
    }
  return n;
}

static void
free_texts (struct bl_str *texts, size_t n)
{
  for (size_t i = 0; i < n; i++)
    if (texts[i].len > 0)
      free ((char *)texts[i].ptr);
}

/* Sends the last change whole when it fits a datagram; else the version
   alone, upon which the receiver pulls.  */
static void
push_config (struct bl_node *node, struct bl_addr to)
{
  struct bl_str texts[PUSH_SERVICES];
  struct bl_msg msg = {
    .type = BL_MSG_CONFIG,
    .config_from = node->config_sent_from,
    .services = texts,
  };

  msg.service_count = texts_since (node, msg.config_from, texts, PUSH_SERVICES,
                                   &msg.config_version);
  msg.from = node->settings.id;
  if (msg.config_version != bl_config_version (node->config)
      || bl_msg_encode (&msg, &node->buffer) != BL_OK
      || node->buffer.len > BL_DATAGRAM_MAX)
    {
      struct bl_msg version = {
        .type = BL_MSG_PUSH,
        .config_version = bl_config_version (node->config),
        .digest = bl_store_digest (node->store),
      };
      bl_node_send (node, to, &version);
    }
  else
    node->ops.send (node->ctx, to, node->buffer.ptr, node->buffer.len);
  free_texts (texts, msg.service_count);
}

void
bl_spread_tick (struct bl_node *node)
{
  const struct bl_member *targets[BL_NEWS_FANOUT];
  struct bl_record records[BL_NEWS_RECORDS];
  struct bl_msg msg = { .type = BL_MSG_PUSH, .records = records };
  size_t n;

  if (node->config_transmits == 0 && !bl_store_has_updates (node->store))
    return;
  n = pick_targets (node, targets);
  if (n == 0)
    return;
  bl_spread_fill (node, &msg);
  msg.record_count
      = bl_store_take_updates (node->store, records, BL_NEWS_RECORDS);
  for (size_t i = 0; i < n; i++)
    {
      if (msg.record_count > 0)
        bl_node_send (node, targets[i]->control, &msg);
      if (node->config_transmits > 0)
        push_config (node, targets[i]->control);
      node->counters[BL_NODE_UPDATES_SENT] += msg.record_count;
    }
  if (node->config_transmits > 0)
    node->config_transmits--;
}

/* -- comparing and pulling -- */

static void
pull (struct bl_node *node, const struct bl_name *from, struct bl_msg *msg)
{
  const struct bl_member *m = bl_node_member (node, from);

  if (m == NULL || m->bulk.port == 0)
    return;
  msg->from = node->settings.id;
  node->counters[BL_NODE_PULLS]++;
  if (bl_msg_encode (msg, &node->buffer) == BL_OK)
    node->ops.pull (node->ctx, m->bulk, node->buffer.ptr, node->buffer.len);
}

static void
pull_config (struct bl_node *node, const struct bl_name *from)
{
  struct bl_msg msg = {
    .type = BL_MSG_PULL_CONFIG,
    .config_version = bl_config_version (node->config),
  };

  if (node->now < node->next_config_pull_ms)
    return;
  node->next_config_pull_ms = node->now + CONFIG_PULL_INTERVAL_MS;
  pull (node, from, &msg);
}

static void
pull_records (struct bl_node *node, const struct bl_name *from)
{
  struct bl_msg msg = {
    .type = BL_MSG_PULL_RECORDS,
    .seq = bl_random_below (&node->random, BL_STORE_BUCKETS),
    .buckets = { (const char *)bl_store_bucket_digests (node->store),
                 BL_STORE_BUCKETS * sizeof (uint64_t) },
  };

  if (node->now < node->next_pull_ms)
    return;
  node->next_pull_ms
      = node->now + (node->synced ? PULL_INTERVAL_MS : JOIN_PULL_INTERVAL_MS);
  pull (node, from, &msg);
}

/* While news is on its way digests differ by their nature; so they are looked
   at when none has come for a while, or when they have differed for long.  */
static bool
is_settled (struct bl_node *node)
{
  uint64_t generation = bl_store_generation (node->store);

  if (generation != node->quiet_generation)
    {
      node->quiet_generation = generation;
      node->quiet_since_ms = node->now;
    }
  if (node->differs_since_ms == 0)
    node->differs_since_ms = node->now;
  return !node->synced || node->now - node->quiet_since_ms >= QUIET_MS
         || node->now - node->differs_since_ms >= DIFFERS_MAX_MS;
}

void
bl_spread_compare (struct bl_node *node, const struct bl_msg *msg)
{
  if (msg->config_version > bl_config_version (node->config))
    pull_config (node, &msg->from);
  /* A push is news, so it differs by its nature.  */
  if (msg->type == BL_MSG_PUSH)
    return;
  if (msg->digest != bl_store_digest (node->store))
    {
      /* One peer that differs is enough: those of the same data centre agree
         among themselves on what none of them has heard.  */
      if (is_settled (node))
        pull_records (node, &msg->from);
      return;
    }
  node->differs_since_ms = 0;
  if (msg->config_version <= bl_config_version (node->config)
      && bl_node_member (node, &msg->from) != NULL)
    node->synced = true;
}

void
bl_spread_on_records (struct bl_node *node, const struct bl_msg *msg)
{
  for (size_t i = 0; i < msg->record_count; i++)
    bl_node_put (node, &msg->records[i], 0);
  if (msg->record_count == 0 || node->synced)
    return;
  if (msg->digest != bl_store_digest (node->store))
    pull_records (node, &msg->from);
}

void
bl_spread_on_config (struct bl_node *node, const struct bl_msg *msg)
{
  struct bl_service **services;
  int err = bl_msg_parse_services (msg, &services);

  if (err != BL_OK)
    {
      node->counters[BL_NODE_BAD_MESSAGE]++;
      return;
    }
  err = bl_node_apply_config (node, msg->config_from, msg->config_version,
                              services, msg->service_count);
  for (size_t i = 0; err != BL_OK && i < msg->service_count; i++)
    bl_service_free (services[i]);
  free (services);
  if (msg->config_version > bl_config_version (node->config))
    pull_config (node, &msg->from);
}

/* -- answering pulls -- */

static const uint8_t *
reply (struct bl_node *node, struct bl_msg *msg, size_t *reply_len)
{
  msg->from = node->settings.id;
  if (bl_msg_encode (msg, &node->reply) != BL_OK)
    return NULL;
  *reply_len = node->reply.len;
  return node->reply.ptr;
}

static const uint8_t *
answer_records (struct bl_node *node,
                const struct bl_msg *request,
                size_t *reply_len)
{
  struct bl_msg msg = {
    .type = BL_MSG_RECORDS,
    .digest = bl_store_digest (node->store),
    .config_version = bl_config_version (node->config),
  };
  uint64_t theirs[BL_STORE_BUCKETS];
  const uint8_t *out;

  if (request->buckets.len != sizeof theirs)
    return NULL;
  memcpy (theirs, request->buckets.ptr, sizeof theirs);
  msg.records = calloc (PIECE_RECORDS, sizeof *msg.records);
  if (msg.records == NULL)
    return NULL;
  msg.record_count = bl_store_differing (node->store, theirs,
                                         request->seq % BL_STORE_BUCKETS,
                                         msg.records, PIECE_RECORDS);
  out = reply (node, &msg, reply_len);
  free (msg.records);
  return out;
}

static const uint8_t *
answer_config (struct bl_node *node,
               const struct bl_msg *request,
               size_t *reply_len)
{
  struct bl_str texts[PIECE_SERVICES];
  struct bl_msg msg = {
    .type = BL_MSG_CONFIG,
    .config_from = request->config_version,
    .services = texts,
  };
  const uint8_t *out;

  msg.service_count = texts_since (node, msg.config_from, texts, PIECE_SERVICES,
                                   &msg.config_version);
  out = reply (node, &msg, reply_len);
  free_texts (texts, msg.service_count);
  return out;
}

static const uint8_t *
answer_view (struct bl_node *node,
             const struct bl_msg *request,
             size_t *reply_len)
{
  const struct bl_service *s = bl_config_find (node->config, &request->subject);
  struct bl_msg msg = { .type = BL_MSG_VIEW };
  struct bl_route *route;
  struct bl_str text;
  const uint8_t *out;

  if (s == NULL)
    return reply (node, &msg, reply_len);
  route = bl_routes_get (&node->routes, node->store, s);
  text = bl_str_of (bl_service_format (s));
  msg.services = &text;
  msg.service_count = 1;
  if (route != NULL && route->id_count > 0)
    msg.records = calloc (route->id_count, sizeof *msg.records);
  for (size_t i = 0; msg.records != NULL && i < route->id_count; i++)
    {
      const struct bl_record *r
          = bl_store_get (node->store, BL_KIND_BACKEND, &route->ids[i]);
      if (r != NULL)
        msg.records[msg.record_count++] = *r;
    }
  bl_keep_lost_of (node, route, &msg.lost);
  out = reply (node, &msg, reply_len);
  free (msg.records);
  free ((char *)text.ptr);
  return out;
}

const uint8_t *
bl_spread_answer (struct bl_node *node,
                  const struct bl_msg *request,
                  size_t *reply_len)
{
  switch (request->type)
    {
    case BL_MSG_PULL_RECORDS:
      return answer_records (node, request, reply_len);
    case BL_MSG_PULL_CONFIG:
      return answer_config (node, request, reply_len);
    case BL_MSG_PULL_VIEW:
      return answer_view (node, request, reply_len);
    default:
      return NULL;
    }
}
