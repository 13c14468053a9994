/* node_spread.c -- dissemination of records and configuration

   Each balancer that receives an update pushes it at once to a few random
   members, which reaches nearly all members within a few rounds.  Anti-entropy
   finds what the pushes missed: pings, acknowledgements and pushes carry the
   version of the configuration and a digest of all records.  A balancer that
   receives a newer version pulls the changes after its own.  A balancer whose
   digest keeps differing from those of its peers sends its digests by bucket
   and gets the records of the buckets that differ.  Both kinds of pull are
   idempotent and their replies are bounded; each reply leaves the puller with
   less to pull, so a balancer that joins needs no transfer of another kind.  */

#include "core/node.h"

#include <stdlib.h>
#include <string.h>

#define RECORDS_PULL_INTERVAL_MS      1000
#define JOIN_RECORDS_PULL_INTERVAL_MS 100 /* until the balancer is synced */
#define CONFIG_PULL_INTERVAL_MS       200
/* A digest that differs leads to a pull of records when the store has not
   changed for STORE_QUIET_MS, or, while updates keep arriving, after
   DIGEST_DIFFERS_MAX_MS.  */
#define DIGEST_DIFFERS_MAX_MS 10000
#define STORE_QUIET_MS        1000
#define PULL_RECORDS_MAX      512 /* in one reply */
#define PULL_SERVICES_MAX     128 /* in one reply */
#define PUSH_SERVICES_MAX     8   /* in one push */
#define LOCAL_PUSH_TARGETS    3   /* of BL_PUSH_FANOUT, in the own dc */

void
bl_spread_add_versions (struct bl_node *node, struct bl_msg *msg)
{
  msg->digest = bl_store_digest (node->store);
  msg->config_version = bl_config_version (node->config);
}

/* -- pushing -- */

/* Picks up to BL_PUSH_FANOUT different members, in the order of the shuffled
   list from a random start.  At most LOCAL_PUSH_TARGETS are of this data
   centre; the other places are for other data centres, so that updates always
   reach some of these if there are any.  */
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
      if (!m->alive || locals + others == BL_PUSH_FANOUT)
        continue;
      if (m->local && locals < LOCAL_PUSH_TARGETS)
        out[locals++ + others] = m;
      else if (!m->local && others < BL_PUSH_FANOUT - LOCAL_PUSH_TARGETS)
        out[locals + others++] = m;
    }
  return locals + others;
}

/* Writes the JSON texts of the services changed after version FROM, as
   bl_config_since lists them.  The texts are to be released with
   free_texts.  */
static size_t
format_services_since (struct bl_node *node,
                       uint64_t from,
                       struct bl_str *texts,
                       size_t max,
                       uint64_t *up_to)
{
  const struct bl_service *services[PULL_SERVICES_MAX];
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

/* Sends the pending change if it fits one datagram, else only its version, so
   that the receiver pulls it.  */
static void
push_config (struct bl_node *node, struct bl_addr to)
{
  struct bl_str texts[PUSH_SERVICES_MAX];
  struct bl_msg msg = {
    .type = BL_MSG_CONFIG,
    .config_from = node->config_push_from,
    .services = texts,
  };

  msg.service_count = format_services_since (
      node, msg.config_from, texts, PUSH_SERVICES_MAX, &msg.config_version);
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
  const struct bl_member *targets[BL_PUSH_FANOUT];
  struct bl_record records[BL_PUSH_RECORDS_MAX];
  struct bl_msg msg = { .type = BL_MSG_PUSH, .records = records };
  size_t n;

  if (node->config_pushes_left == 0 && !bl_store_has_updates (node->store))
    return;
  n = pick_targets (node, targets);
  if (n == 0)
    return;
  bl_spread_add_versions (node, &msg);
  msg.record_count
      = bl_store_take_updates (node->store, records, BL_PUSH_RECORDS_MAX);
  for (size_t i = 0; i < n; i++)
    {
      if (msg.record_count > 0)
        bl_node_send (node, targets[i]->control, &msg);
      if (node->config_pushes_left > 0)
        push_config (node, targets[i]->control);
      node->counters[BL_NODE_UPDATES_SENT] += msg.record_count;
    }
  if (node->config_pushes_left > 0)
    node->config_pushes_left--;
}

/* -- comparison and pulls -- */

static void
send_pull (struct bl_node *node, const struct bl_name *from, struct bl_msg *msg)
{
  const struct bl_member *m = bl_node_find_member (node, from);

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
  send_pull (node, from, &msg);
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

  if (node->now < node->next_records_pull_ms)
    return;
  node->next_records_pull_ms = node->now
                               + (node->synced ? RECORDS_PULL_INTERVAL_MS
                                               : JOIN_RECORDS_PULL_INTERVAL_MS);
  send_pull (node, from, &msg);
}

/* Returns true when a digest that differs is to cause a pull.  While updates
   are still being pushed, digests differ although no update is missing; so a
   difference counts only when the store has not changed for a while, or when
   digests have differed for long.  A balancer that is not yet synced does not
   wait.  */
static bool
is_lasting_difference (struct bl_node *node)
{
  uint64_t generation = bl_store_generation (node->store);

  if (generation != node->seen_generation)
    {
      node->seen_generation = generation;
      node->last_change_ms = node->now;
    }
  if (node->digest_differs_since_ms == 0)
    node->digest_differs_since_ms = node->now;
  return !node->synced || node->now - node->last_change_ms >= STORE_QUIET_MS
         || node->now - node->digest_differs_since_ms >= DIGEST_DIFFERS_MAX_MS;
}

void
bl_spread_compare (struct bl_node *node, const struct bl_msg *msg)
{
  if (msg->config_version > bl_config_version (node->config))
    pull_config (node, &msg->from);
  /* The sender of a push holds an update that others do not hold yet, so its
     digest is expected to differ.  */
  if (msg->type == BL_MSG_PUSH)
    return;
  if (msg->digest != bl_store_digest (node->store))
    {
      /* A single differing peer is enough: the members of one data centre may
         all miss the same update and so agree with each other.  */
      if (is_lasting_difference (node))
        pull_records (node, &msg->from);
      return;
    }
  node->digest_differs_since_ms = 0;
  if (msg->config_version <= bl_config_version (node->config)
      && bl_node_find_member (node, &msg->from) != NULL)
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

/* -- replies to pulls -- */

static const uint8_t *
encode_reply (struct bl_node *node, struct bl_msg *msg, size_t *reply_len)
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
  uint64_t peer_digests[BL_STORE_BUCKETS];
  const uint8_t *out;

  if (request->buckets.len != sizeof peer_digests)
    return NULL;
  memcpy (peer_digests, request->buckets.ptr, sizeof peer_digests);
  msg.records = calloc (PULL_RECORDS_MAX, sizeof *msg.records);
  if (msg.records == NULL)
    return NULL;
  msg.record_count = bl_store_differing (node->store, peer_digests,
                                         request->seq % BL_STORE_BUCKETS,
                                         msg.records, PULL_RECORDS_MAX);
  out = encode_reply (node, &msg, reply_len);
  free (msg.records);
  return out;
}

static const uint8_t *
answer_config (struct bl_node *node,
               const struct bl_msg *request,
               size_t *reply_len)
{
  struct bl_str texts[PULL_SERVICES_MAX];
  struct bl_msg msg = {
    .type = BL_MSG_CONFIG,
    .config_from = request->config_version,
    .services = texts,
  };
  const uint8_t *out;

  msg.service_count = format_services_since (
      node, msg.config_from, texts, PULL_SERVICES_MAX, &msg.config_version);
  out = encode_reply (node, &msg, reply_len);
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
  struct bl_service_pool *service_pool;
  struct bl_str text;
  const uint8_t *out;

  if (s == NULL)
    return encode_reply (node, &msg, reply_len);
  service_pool = bl_service_pools_get (&node->service_pools, node->store, s);
  text = bl_str_of (bl_service_format (s));
  msg.services = &text;
  msg.service_count = 1;
  if (service_pool != NULL && service_pool->id_count > 0)
    msg.records = calloc (service_pool->id_count, sizeof *msg.records);
  for (size_t i = 0; msg.records != NULL && i < service_pool->id_count; i++)
    {
      const struct bl_record *r
          = bl_store_get (node->store, BL_KIND_BACKEND, &service_pool->ids[i]);
      if (r != NULL)
        msg.records[msg.record_count++] = *r;
    }
  bl_monitor_dcs_without_balancers (node, service_pool,
                                    &msg.dcs_without_balancers);
  out = encode_reply (node, &msg, reply_len);
  free (msg.records);
  free ((char *)text.ptr);
  return out;
}

const uint8_t *
bl_spread_answer_pull (struct bl_node *node,
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
