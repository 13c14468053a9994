/* view.c -- an agent's copy of its service and of the service's backend servers

   Records are merged by version and the service is replaced by a newer one
   only.  Two monitors that have not received the same updates yet therefore
   cannot make the view alternate between two states.  */

#include "core/view.h"

#include <stdlib.h>
#include <string.h>

uint64_t
bl_view_compute_digest (const struct bl_service *service,
                        uint64_t records_digest,
                        const struct bl_names *dcs_without_balancers)
{
  struct bl_random mix = { .state = service != NULL ? service->changed : 0 };
  uint64_t digest = records_digest ^ bl_random_next (&mix);

  for (size_t i = 0; i < dcs_without_balancers->count; i++)
    digest ^= bl_name_hash (&dcs_without_balancers->items[i], 4);
  return digest;
}

uint64_t
bl_view_digest (const struct bl_view *view)
{
  return bl_view_compute_digest (view->service, bl_store_digest (view->store),
                                 &view->dcs_without_balancers);
}

uint64_t
bl_monitors_digest (const struct bl_record *monitors, size_t count)
{
  uint64_t digest = 0;

  for (size_t i = 0; i < count; i++)
    digest ^= bl_name_hash (&monitors[i].id, monitors[i].incarnation);
  return digest;
}

int
bl_view_init (struct bl_view *view)
{
  *view = (struct bl_view){ .store = bl_store_new () };
  return view->store != NULL ? BL_OK : BL_ENOMEM;
}

void
bl_view_clear (struct bl_view *view)
{
  bl_service_free (view->service);
  bl_store_free (view->store);
  bl_pool_free (&view->pool);
  free (view->peers);
  *view = (struct bl_view){ .store = NULL };
}

void
bl_view_set_service (struct bl_view *view, struct bl_service *service)
{
  if (view->service != NULL && service->changed <= view->service->changed)
    {
      bl_service_free (service);
      return;
    }
  bl_service_free (view->service);
  view->service = service;
}

static void
add_record (void *ctx, const struct bl_record *r)
{
  struct bl_view *view = ctx;
  bl_pool_add (&view->pool, view->service, r, &view->dcs_without_balancers);
}

static struct bl_peer_load *
find_peer (struct bl_peer_load *peers, size_t count, const struct bl_name *id)
{
  for (size_t i = 0; i < count; i++)
    if (bl_name_equal (&peers[i].id, id))
      return &peers[i];
  return NULL;
}

static void
rebuild_peers (struct bl_view *view)
{
  size_t count = view->pool.count;
  struct bl_peer_load *peers = calloc (count + 1, sizeof *peers);

  if (peers == NULL)
    return;
  for (size_t i = 0; i < count; i++)
    {
      const struct bl_name *id = &view->pool.items[i].id;
      struct bl_peer_load *old = find_peer (view->peers, view->peer_count, id);
      if (old != NULL)
        peers[i] = *old;
      peers[i].id = *id;
    }
  free (view->peers);
  view->peers = peers;
  view->peer_count = count;
}

void
bl_view_rebuild (struct bl_view *view)
{
  bl_pool_clear (&view->pool);
  if (view->service != NULL && !view->service->removed)
    bl_store_each (view->store, BL_KIND_BACKEND, add_record, view);
  bl_pool_finish (&view->pool);
  rebuild_peers (view);
}

const struct bl_candidate *
bl_view_find (const struct bl_view *view, const struct bl_name *id)
{
  for (size_t i = 0; i < view->pool.count; i++)
    if (bl_name_equal (&view->pool.items[i].id, id))
      return &view->pool.items[i];
  return NULL;
}

const struct bl_candidate *
bl_view_find_by_data_address (const struct bl_view *view, struct bl_addr data)
{
  for (size_t i = 0; i < view->pool.count; i++)
    if (bl_addr_equal (view->pool.items[i].data, data))
      return &view->pool.items[i];
  return NULL;
}

struct bl_peer_load *
bl_view_peer_load (struct bl_view *view, const struct bl_name *id)
{
  return find_peer (view->peers, view->peer_count, id);
}
