/* node_members.c -- the members of a region, as a balancer's choices need them

   Made anew from the records when a member's record has changed, and in a
   random order of this node's own, so that probes and pushes fall evenly.  */

#include "core/node.h"

#include <stdlib.h>

struct lost_search
{
  const struct bl_node *node;
  struct bl_names lost;
};

static void
add_member (void *ctx, const struct bl_record *r)
{
  struct bl_node *node = ctx;

  if (r->state >= BL_STATE_LEFT || bl_name_equal (&r->id, &node->settings.id))
    return;
  if (node->member_count == node->member_cap)
    {
      size_t cap = node->member_cap > 0 ? node->member_cap * 2 : 16;
      struct bl_member *m = realloc (node->members, cap * sizeof *m);
      if (m == NULL)
        return;
      node->members = m;
      node->member_cap = cap;
    }
  node->members[node->member_count++] = (struct bl_member){
    .hash = bl_name_hash (&r->id, 0),
    .local = bl_name_equal (&r->dc, &node->settings.dc),
    .alive = r->state < BL_STATE_SUSPECT,
    .keeps = r->state == BL_STATE_READY || r->state == BL_STATE_SUSPECT,
    .id = r->id,
    .dc = r->dc,
    .control = { r->ip, r->control_port },
    .bulk = { r->ip, r->bulk_port },
  };
}

/* A random order that stays the same while the members do; each node has its
   own, so that a member is pinged evenly.  */
static void
shuffle_members (struct bl_node *node)
{
  for (size_t i = node->member_count; i > 1; i--)
    {
      uint32_t j = bl_random_below (&node->random, (uint32_t)i);
      struct bl_member m = node->members[i - 1];
      node->members[i - 1] = node->members[j];
      node->members[j] = m;
    }
}

/* Data centres that are named by members or backend servers, but have no
   balancer left that keeps.  */
static void
find_lost (void *ctx, const struct bl_record *r)
{
  struct lost_search *search = ctx;

  if (!bl_names_has (&search->node->live_dcs, &r->dc))
    bl_names_add (&search->lost, &r->dc);
}

static void
note_data_centres (struct bl_node *node)
{
  struct lost_search search = { .node = node };

  node->live_dcs.count = 0;
  if (node->self.state == BL_STATE_READY)
    bl_names_add (&node->live_dcs, &node->settings.dc);
  for (size_t i = 0; i < node->member_count; i++)
    if (node->members[i].keeps)
      bl_names_add (&node->live_dcs, &node->members[i].dc);
  bl_store_each (node->store, BL_KIND_BALANCER, find_lost, &search);
  bl_store_each (node->store, BL_KIND_BACKEND, find_lost, &search);
  bl_routes_note_lost (&node->routes, &search.lost);
}

void
bl_node_refresh_members (struct bl_node *node)
{
  if (!node->members_dirty)
    return;
  node->members_dirty = false;
  node->member_count = 0;
  bl_store_each (node->store, BL_KIND_BALANCER, add_member, node);
  shuffle_members (node);
  note_data_centres (node);
  node->relay = bl_keep_is_among (node, "relay", BL_RELAYS);
  node->keepers_dirty = true;
}

const struct bl_member *
bl_node_member (struct bl_node *node, const struct bl_name *id)
{
  bl_node_refresh_members (node);
  for (size_t i = 0; i < node->member_count; i++)
    if (bl_name_equal (&node->members[i].id, id))
      return &node->members[i];
  return NULL;
}
