/* node_members.c -- the list of the region's members at a balancer

   The list is rebuilt from the records when a member's record has changed. Each
   balancer shuffles its own list, so that the probes and pushes of all
   balancers together are spread evenly over the members.  */

#include "core/node.h"

#include <stdlib.h>

/* A search for data centres without balancers.  */
struct dc_search
{
  const struct bl_node *node;
  struct bl_names dcs_without_balancers;
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
    .hash = bl_name_hash (&r->id, BL_MEMBER_HASH_SEED),
    .local = bl_name_equal (&r->dc, &node->settings.dc),
    .alive = r->state < BL_STATE_SUSPECT,
    .can_monitor = r->state == BL_STATE_READY || r->state == BL_STATE_SUSPECT,
    .id = r->id,
    .dc = r->dc,
    .control = { r->ip, r->control_port },
    .bulk = { r->ip, r->bulk_port },
  };
}

/* The order stays the same until the members change, so that this balancer
   probes every member equally often.  Each balancer has an order of its own, so
   that the probes of all balancers together are spread evenly.  */
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

/* Collects the data centres that records of members or backend servers name but
   that have no balancer that can monitor agents.  */
static void
collect_dc_without_balancers (void *ctx, const struct bl_record *r)
{
  struct dc_search *search = ctx;

  if (!bl_names_has (&search->node->monitored_dcs, &r->dc))
    bl_names_add (&search->dcs_without_balancers, &r->dc);
}

static void
update_data_centres (struct bl_node *node)
{
  struct dc_search search = { .node = node };

  node->monitored_dcs.count = 0;
  if (node->self.state == BL_STATE_READY)
    bl_names_add (&node->monitored_dcs, &node->settings.dc);
  for (size_t i = 0; i < node->member_count; i++)
    if (node->members[i].can_monitor)
      bl_names_add (&node->monitored_dcs, &node->members[i].dc);
  bl_store_each (node->store, BL_KIND_BALANCER, collect_dc_without_balancers,
                 &search);
  bl_store_each (node->store, BL_KIND_BACKEND, collect_dc_without_balancers,
                 &search);
  bl_service_pools_set_dcs_without_balancers (&node->service_pools,
                                              &search.dcs_without_balancers);
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
  update_data_centres (node);
  node->relay = bl_monitor_is_selected (node, "relay", BL_RELAYS_PER_DC);
  node->monitors_dirty = true;
}

const struct bl_member *
bl_node_find_member (struct bl_node *node, const struct bl_name *id)
{
  bl_node_refresh_members (node);
  for (size_t i = 0; i < node->member_count; i++)
    if (bl_name_equal (&node->members[i].id, id))
      return &node->members[i];
  return NULL;
}
