/* node_keep.c -- keepers of agents, and relays of the configuration

   Who keeps an agent follows from rendezvous hashing over the live balancers
   of its data centre, so everybody who knows the members can tell, and two
   views that differ only make an agent announce itself once too often.  When
   a data centre has fewer balancers than keepers are wanted, those of the
   whole region are taken.

   A keeper that has not heard an agent for SILENCE_MS asks it and the other
   keepers, three times; only when none answers or has heard it, is the backend
   server declared dead.  A keeper that was paused itself asks the same way, and
   is answered.  No lease
   is involved: an agent that is wrongly declared dead raises its sequence
   number and is back.  */

#include "core/node.h"
#include "core/view.h"

#include <stdlib.h>
#include <string.h>

#define KEEP_INTERVAL_MS 500
#define SILENCE_MS       4500 /* two announcements */
#define CHECKS           3    /* questions after an agent, one a look */

struct ranked
{
  uint64_t score;
  const struct bl_member *member; /* NULL: this node */
};

static uint64_t
score (uint64_t key, uint64_t member)
{
  struct bl_random mix = { .state = key ^ (member * 0x9e3779b97f4a7c15u) };
  return bl_random_next (&mix);
}

static size_t
insert (struct ranked *best, size_t n, size_t max, struct ranked item)
{
  size_t at;

  if (n == max && item.score <= best[n - 1].score)
    return n;
  at = n < max ? n++ : n - 1;
  while (at > 0 && item.score > best[at - 1].score)
    {
      best[at] = best[at - 1];
      at--;
    }
  best[at] = item;
  return n;
}

/* The first MAX of the members of DC (of all: NULL) for KEY.  */
static size_t
rank_members (struct bl_node *node,
              uint64_t key,
              const struct bl_name *dc,
              struct ranked *best,
              size_t max)
{
  uint64_t self = bl_name_hash (&node->settings.id, 0);
  size_t n = 0;

  if (node->self.state == BL_STATE_READY
      && (dc == NULL || bl_name_equal (dc, &node->settings.dc)))
    n = insert (best, n, max, (struct ranked){ score (key, self), NULL });
  for (size_t i = 0; i < node->member_count; i++)
    {
      const struct bl_member *m = &node->members[i];
      if (!m->keeps || (dc != NULL && !bl_name_equal (dc, &m->dc)))
        continue;
      n = insert (best, n, max, (struct ranked){ score (key, m->hash), m });
    }
  return n;
}

size_t
bl_keep_choose (struct bl_node *node,
                const struct bl_name *dc,
                const struct bl_name *id,
                const struct bl_member **out)
{
  struct ranked best[BL_KEEPERS];
  uint64_t key = bl_name_hash (id, 1);
  bool live;
  size_t n;

  bl_node_refresh_members (node);
  live = bl_names_has (&node->live_dcs, dc);
  n = rank_members (node, key, live ? dc : NULL, best, BL_KEEPERS);
  for (size_t i = 0; i < n; i++)
    out[i] = best[i].member;
  return n;
}

bool
bl_keep_is_among (struct bl_node *node, const char *key, size_t count)
{
  struct ranked best[BL_KEEPERS + BL_RELAYS];
  struct bl_name name;
  size_t n;

  bl_name_set (&name, bl_str_of (key));
  n = rank_members (node, bl_name_hash (&name, 2), &node->settings.dc, best,
                    count);
  for (size_t i = 0; i < n; i++)
    if (best[i].member == NULL)
      return true;
  return false;
}

/* Whether this node is among the keepers of an agent.  It is not once as many
   others are found that come before it, which for nearly all agents takes
   few steps, however many members there are.  */
static bool
is_keeper_of (struct bl_node *node, const struct bl_record *r)
{
  uint64_t key = bl_name_hash (&r->id, 1);
  uint64_t mine = score (key, bl_name_hash (&node->settings.id, 0));
  size_t before = 0;
  bool live;

  bl_node_refresh_members (node);
  live = bl_names_has (&node->live_dcs, &r->dc);
  if (node->self.state != BL_STATE_READY
      || (live ? !bl_name_equal (&r->dc, &node->settings.dc) : !r->adopted))
    return false;
  for (size_t i = 0; i < node->member_count && before < BL_KEEPERS; i++)
    {
      const struct bl_member *m = &node->members[i];
      if (m->keeps && (m->local || !live) && score (key, m->hash) > mine)
        before++;
    }
  return before < BL_KEEPERS;
}

/* -- the table of agents -- */

static struct bl_kept *
find_kept (const struct bl_node *node, const struct bl_name *id)
{
  struct bl_kept *k;
  HASH_FIND (hh, node->kept, id, sizeof *id, k);
  return k;
}

static struct bl_kept *
get_kept (struct bl_node *node, const struct bl_name *id)
{
  struct bl_kept *k = find_kept (node, id);

  if (k != NULL)
    return k;
  k = calloc (1, sizeof *k);
  if (k == NULL)
    return NULL;
  k->id = *id;
  k->heard_ms = node->now;
  HASH_ADD (hh, node->kept, id, sizeof k->id, k);
  return k;
}

static void
drop_kept (struct bl_node *node, struct bl_kept *k)
{
  HASH_DEL (node->kept, k);
  free (k);
}

void
bl_keep_clear (struct bl_node *node)
{
  struct bl_kept *k;
  struct bl_kept *next;

  HASH_ITER (hh, node->kept, k, next) { drop_kept (node, k); }
}

static void
note_heard (struct bl_node *node, struct bl_kept *k)
{
  k->heard_ms = node->now;
  k->checks = 0;
}

/* Only the agent's own word counts: what this node took up or was told of, it
   must not vouch for.  */
bool
bl_keep_heard (const struct bl_node *node, const struct bl_name *id)
{
  const struct bl_kept *k = find_kept (node, id);
  return k != NULL && k->spoke_ms != 0 && node->now - k->spoke_ms < SILENCE_MS;
}

/* -- silence -- */

/* Asks the agent itself and the other keepers.  */
static void
ask_after (struct bl_node *node, struct bl_kept *k, const struct bl_record *r)
{
  const struct bl_member *keepers[BL_KEEPERS];
  size_t n = bl_keep_choose (node, &r->dc, &r->id, keepers);
  struct bl_msg ping = { .type = BL_MSG_PING, .seq = ++node->next_seq };
  struct bl_msg msg = {
    .type = BL_MSG_PING_REQ,
    .about = k->id,
    .seq = ++node->next_seq,
  };

  k->checks++;
  bl_node_send (node, (struct bl_addr){ r->ip, r->control_port }, &ping);
  for (size_t i = 0; i < n; i++)
    if (keepers[i] != NULL)
      bl_node_send (node, keepers[i]->control, &msg);
}

bool
bl_keep_on_ack (struct bl_node *node, const struct bl_msg *msg)
{
  struct bl_kept *k;

  if (msg->about.len == 0)
    return false;
  k = find_kept (node, &msg->about);
  if (k != NULL && k->checks > 0 && msg->yes)
    note_heard (node, k);
  return true;
}

static void
declare_dead (struct bl_node *node, const struct bl_record *held)
{
  struct bl_record r = *held;

  r.state = BL_STATE_DEAD;
  node->counters[BL_NODE_DEATHS]++;
  bl_node_put (node, &r, bl_node_news_rounds (node));
}

static void
watch_kept (struct bl_node *node, struct bl_kept *k)
{
  const struct bl_record *r
      = bl_store_get (node->store, BL_KIND_BACKEND, &k->id);

  if (r == NULL || r->state >= BL_STATE_LEFT)
    {
      if (node->now - k->heard_ms > SILENCE_MS)
        drop_kept (node, k);
      return;
    }
  if (node->now - k->heard_ms < SILENCE_MS)
    return;
  if (k->checks == CHECKS)
    declare_dead (node, r);
  else
    ask_after (node, k, r);
}

/* -- what agents are told -- */

void
bl_keep_lost_of (const struct bl_node *node,
                 const struct bl_route *route,
                 struct bl_names *lost)
{
  lost->count = 0;
  if (node->routes.lost.count == 0 || route == NULL)
    return;
  for (size_t i = 0; i < route->id_count; i++)
    {
      const struct bl_record *r
          = bl_store_get (node->store, BL_KIND_BACKEND, &route->ids[i]);
      if (r != NULL && bl_names_has (&node->routes.lost, &r->dc))
        bl_names_add (lost, &r->dc);
    }
}

/* The digest that the agent's view of its service should have.  */
static uint64_t
view_digest (struct bl_node *node, const struct bl_name *service)
{
  const struct bl_service *s = bl_config_find (node->config, service);
  struct bl_route *route
      = s != NULL ? bl_routes_get (&node->routes, node->store, s) : NULL;
  struct bl_names lost;
  uint64_t digest = 0;

  bl_keep_lost_of (node, route, &lost);
  for (size_t i = 0; route != NULL && i < route->id_count; i++)
    digest ^= bl_store_record_digest (
        bl_store_get (node->store, BL_KIND_BACKEND, &route->ids[i]));
  return bl_view_compute_digest (s, digest, &lost);
}

/* Tells an agent how its record is known here, the digest of its service and,
   when KEEPERS_KNOWN is not their digest, its keepers.  */
static void
tell (struct bl_node *node,
      struct bl_addr to,
      uint64_t incarnation,
      const struct bl_record *held,
      uint64_t keepers_known)
{
  const struct bl_member *keepers[BL_KEEPERS];
  struct bl_record records[BL_KEEPERS];
  struct bl_msg msg = { .type = BL_MSG_ANNOUNCED, .records = records };
  size_t n;

  if (held != NULL && held->incarnation == incarnation)
    {
      msg.seq = held->seq;
      msg.yes = held->state >= BL_STATE_SUSPECT;
    }
  if (held != NULL)
    {
      n = bl_keep_choose (node, &held->dc, &held->id, keepers);
      for (size_t i = 0; i < n; i++)
        records[i] = keepers[i] == NULL
                         ? node->self
                         : *bl_store_get (node->store, BL_KIND_MEMBER,
                                          &keepers[i]->id);
      if (bl_monitors_digest (records, n) != keepers_known)
        msg.record_count = n;
      msg.digest = view_digest (node, &held->service);
    }
  bl_node_send (node, to, &msg);
}

/* Agents hear of a change of their service at once, not at their next
   announcement: a drain must not wait, nor must a new peer.  */
static void
tell_changes (struct bl_node *node)
{
  uint64_t generation = bl_store_generation (node->store);
  uint64_t version = bl_config_version (node->config);
  struct bl_kept *k;
  struct bl_kept *next;

  if (generation == node->told_generation && version == node->told_version)
    return;
  node->told_generation = generation;
  node->told_version = version;
  HASH_ITER (hh, node->kept, k, next)
  {
    const struct bl_record *r
        = bl_store_get (node->store, BL_KIND_BACKEND, &k->id);
    uint64_t digest;
    if (r == NULL || r->state >= BL_STATE_LEFT)
      continue;
    digest = view_digest (node, &r->service);
    if (digest == k->told)
      continue;
    k->told = digest;
    tell (node, (struct bl_addr){ r->ip, r->control_port }, r->incarnation, r,
          k->keepers_known);
  }
}

/* -- upkeep -- */

/* Takes up agents that this node became a keeper of, as if it had just heard
   them, and drops those that it keeps no longer.  */
static void
take_up (void *ctx, const struct bl_record *r)
{
  struct bl_node *node = ctx;
  struct bl_kept *k = find_kept (node, &r->id);
  bool mine = r->state < BL_STATE_LEFT && is_keeper_of (node, r);

  if (mine && k == NULL)
    get_kept (node, &r->id);
  else if (!mine && k != NULL)
    drop_kept (node, k);
}

void
bl_keep_tick (struct bl_node *node)
{
  struct bl_kept *k;
  struct bl_kept *next;

  tell_changes (node);
  if (node->now < node->next_keep_ms)
    return;
  node->next_keep_ms = node->now + KEEP_INTERVAL_MS;
  if (node->keepers_dirty)
    {
      node->keepers_dirty = false;
      bl_store_each (node->store, BL_KIND_BACKEND, take_up, node);
    }
  HASH_ITER (hh, node->kept, k, next) { watch_kept (node, k); }
}

/* -- announcements -- */

static bool
is_announcement (const struct bl_msg *msg)
{
  if (msg->record_count == 0)
    return true;
  return msg->record_count == 1 && msg->records[0].kind == BL_KIND_BACKEND
         && bl_name_equal (&msg->records[0].id, &msg->from);
}

void
bl_keep_on_announce (struct bl_node *node,
                     struct bl_addr from,
                     const struct bl_msg *msg)
{
  const struct bl_record *held;
  struct bl_kept *k = NULL;

  if (!is_announcement (msg))
    {
      node->counters[BL_NODE_BAD_MESSAGE]++;
      return;
    }
  if (msg->record_count == 1)
    bl_node_put (node, &msg->records[0], bl_node_news_rounds (node));
  held = bl_store_get (node->store, BL_KIND_BACKEND, &msg->from);
  if (held != NULL && held->incarnation == msg->incarnation
      && is_keeper_of (node, held))
    k = get_kept (node, &held->id);
  if (k != NULL)
    {
      note_heard (node, k);
      k->spoke_ms = node->now;
      k->applied = msg->config_version;
      k->flows = msg->flows;
      k->keepers_known = msg->digest;
    }
  tell (node, from, msg->incarnation, held, msg->digest);
}
